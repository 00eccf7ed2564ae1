"""Headers of the platform's callers and runners."""

from sassafraspin.http import BadRequest, Headers, Request, RequestProblem, Response
from sassafraspin.http.problems import problem_response
from sassafraspin.platform.control_api import ControlApi
from sassafraspin.routed import (
    BackendTarget,
    CallMetadata,
    Operations,
    ResponseMetadata,
)
from sassafraspin.routed.adapter import ControlHandler

__all__ = ["PlatformAdapter"]

_REQUEST_ID = "x-request-id"
_WAIT_MS = "x-deadline-ms"  # a duration from now, not a point in time
_TOKEN_COUNTS = "x-token-counts"  # tokens of the prompt, then at most of the answer
_ANSWER_ESTIMATE = "x-length-hint"
_RESUME_AFTER = "last-event-id"
_EXPECTED_SERVER = "x-expect-instance"
_ACCOUNT = "x-tenant"
_SEAL = "x-response-seal"
_NOT_RUN = "x-not-executed"
_KEY_SCHEME = "token"
_MISDIRECTED_STATUS = 421  # another runner has the address now; it has not run

_CONNECTION_ONLY = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_BY_US = frozenset(
    {
        "authorization",
        "kv-fetch",
        "kv-from",
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
        _ACCOUNT,
        _EXPECTED_SERVER,
        _RESUME_AFTER,
        _WAIT_MS,
    }
)


class PlatformAdapter:
    """Translates between the platform's HTTP messages and the daemon's metadata.

    Parameters
    ----------
    announcement_ttl_ms : int
        Time after which a silent runner counts as gone.
    """

    def __init__(self, announcement_ttl_ms: int) -> None:
        self._announcement_ttl_ms = announcement_ttl_ms

    def read_call(self, request: Request) -> CallMetadata:
        """Return what a request's headers say; raises ``BadRequest``."""
        headers = request.headers
        prompt_tokens, most_answer_tokens = _token_counts(headers)
        charged = prompt_tokens + most_answer_tokens
        estimate = _whole_number(headers, _ANSWER_ESTIMATE)
        return CallMetadata(
            request_id=headers.get(_REQUEST_ID) or "",
            host=headers.get("host") or "",
            key=_key(headers),
            timeout_ms=_whole_number(headers, _WAIT_MS),
            prompt_tokens=prompt_tokens,
            answer_tokens=min(estimate or most_answer_tokens, most_answer_tokens),
            charged_tokens=charged if charged else None,
            resume_after=headers.get(_RESUME_AFTER),
        )

    def backend_request(self, request: Request, target: BackendTarget) -> Request:
        """Return a caller's request as a runner gets it."""
        dropped = _CONNECTION_ONLY | _SET_BY_US | _nominated(request.headers)
        headers = request.headers.without(dropped)
        headers = headers.adding(_WAIT_MS, str(target.timeout_ms))
        headers = headers.adding(_EXPECTED_SERVER, target.instance_id)
        if target.account is not None:
            headers = headers.adding(_ACCOUNT, target.account)
        if target.resume_after is not None:
            headers = headers.adding(_RESUME_AFTER, target.resume_after)
        return Request(request.method, request.target, headers, request.body)

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what the head of a runner's answer says."""
        is_refusal = headers.get(_NOT_RUN) is not None
        return ResponseMetadata(
            request_id=headers.get(_REQUEST_ID),
            not_run=is_refusal or status == _MISDIRECTED_STATUS,
            is_sealed=headers.get(_SEAL) is not None,
        )

    def caller_headers(self, headers: Headers) -> Headers:
        """Return a runner's headers without those of its connection."""
        return headers.without(_CONNECTION_ONLY | _nominated(headers))

    def refusal(self, problem: RequestProblem) -> Response:
        """Return a problem document; the time to come back may have fractions."""
        response = problem_response(problem)
        if problem.retry_after_ms is None:
            return response
        headers = response.headers.without(frozenset({"retry-after"}))
        seconds = f"{problem.retry_after_ms / 1000:.3f}"
        headers = headers.adding("retry-after", seconds)
        return Response(response.status, headers, response.body)

    def control_handler(self, operations: Operations) -> ControlHandler:
        """Return the handler of operators and runners."""
        return ControlApi(operations, self._announcement_ttl_ms).handle


def _key(headers: Headers) -> str | None:
    scheme, _, key = (headers.get("authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME and key else None


def _whole_number(headers: Headers, name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError) as error:
        raise BadRequest(f"{name}: must be a number") from error


def _token_counts(headers: Headers) -> tuple[int, int]:
    """Return the tokens of the prompt and at most of the answer, 0 if not given."""
    text = headers.get(_TOKEN_COUNTS)
    if text is None:
        return 0, 0
    try:
        prompt, answer = (int(part) for part in text.split(","))
    except ValueError as error:
        raise BadRequest(f"{_TOKEN_COUNTS}: must be two whole numbers") from error
    return max(0, prompt), max(0, answer)


def _nominated(headers: Headers) -> frozenset[str]:
    """Return the headers that the connection header declares for one connection."""
    names = (headers.get("connection") or "").lower().split(",")
    return frozenset(name.strip() for name in names) - {_REQUEST_ID, _SEAL, ""}
