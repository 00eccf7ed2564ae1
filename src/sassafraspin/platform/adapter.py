"""HTTP headers of the platform's callers and runners."""

import math

from sassafraspin.backends import PromptPart, ServerNotice
from sassafraspin.http import (
    BadRequest,
    Headers,
    Request,
    RequestProblem,
    Response,
    decode_text,
    encode_text,
)
from sassafraspin.http.problems import problem_response
from sassafraspin.platform.control_api import ControlApi
from sassafraspin.routed import (
    BackendTarget,
    CallMetadata,
    Operations,
    ResponseMetadata,
)
from sassafraspin.routed.adapter import ControlHandler
from sassafraspin.telemetry import part_logger

__all__ = ["PlatformAdapter"]

_REQUEST_ID = "x-request-id"
_TIMEOUT_MS = "x-deadline-ms"  # relative time limit, not a point in time
_TOKEN_COUNTS = "x-token-counts"  # prompt tokens, then maximum answer tokens
_PROMPT_PARTS = "x-prefix-hash"  # identifiers and sizes, no hashes of prefixes
_ANSWER_TOKENS_ESTIMATE = "x-length-hint"
_RESUME_AFTER = "last-event-id"
_EXPECTED_SERVER = "x-expect-instance"
_ACCOUNT = "x-tenant"
_SEAL = "x-response-seal"
_NOT_RUN = "x-not-executed"
_LEAVING = "server-leaving"
_IS_LEAVING = "1"
_RATE_LIMIT = "server-limit"  # requests a second from all instances together
_OVERLOAD_TOLERANCE = "server-brittle"  # refusals a second, over all instances
_RETRY_AFTER = "retry-after"
_UNAVAILABLE_STATUS = 503
_KEY_SCHEME = "token"
_MISDIRECTED_STATUS = 421  # another runner now has the address; the request was not run

_MAX_PART_ID_CHARACTERS = 64
_MAX_TOKEN_DIGITS = 9
_MAX_PAUSE_SECONDS = 86_400.0

_HOP_BY_HOP = frozenset(
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
_RESERVED = frozenset(
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
        _TIMEOUT_MS,
    }
)

_log = part_logger("platform")


class PlatformAdapter:
    """Translates between the platform's HTTP messages and the daemon's types.

    Parameters
    ----------
    announcement_ttl_ms : int
        Lifetime of a runner's registration.
    """

    def __init__(self, announcement_ttl_ms: int) -> None:
        self._announcement_ttl_ms = announcement_ttl_ms

    def read_call(self, request: Request) -> CallMetadata:
        """Read a caller's request headers; raises ``BadRequest``."""
        headers = request.headers
        prompt_tokens, max_answer_tokens = _parse_token_counts(headers)
        charged = prompt_tokens + max_answer_tokens
        estimate = _parse_integer(headers, _ANSWER_TOKENS_ESTIMATE)
        return CallMetadata(
            request_id=headers.get(_REQUEST_ID) or "",
            host=headers.get("host") or "",
            key=_api_key(headers),
            timeout_ms=_parse_integer(headers, _TIMEOUT_MS),
            prompt_tokens=prompt_tokens,
            answer_tokens=min(estimate or max_answer_tokens, max_answer_tokens),
            charged_tokens=charged if charged else None,
            resume_after=headers.get(_RESUME_AFTER),
            prompt=_parse_prompt(headers),
        )

    def backend_request(self, request: Request, target: BackendTarget) -> Request:
        """Return the request to send to a runner."""
        dropped = _HOP_BY_HOP | _RESERVED | _connection_names(request.headers)
        headers = request.headers.without(dropped)
        headers = headers.adding(_TIMEOUT_MS, str(target.timeout_ms))
        headers = headers.adding(_EXPECTED_SERVER, encode_text(target.instance_id))
        if target.account is not None:
            headers = headers.adding(_ACCOUNT, encode_text(target.account))
        if target.resume_after is not None:
            headers = headers.adding(_RESUME_AFTER, target.resume_after)
        return Request(request.method, request.target, headers, request.body)

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Read the headers of a runner's response."""
        is_refusal = headers.get(_NOT_RUN) is not None
        is_leaving = headers.get(_LEAVING) == _IS_LEAVING
        rate_limit = _parse_amount(headers, _RATE_LIMIT)
        tolerance = None
        if status != _MISDIRECTED_STATUS:
            # Another runner speaks for itself.
            tolerance = _parse_amount(headers, _OVERLOAD_TOLERANCE)
        return ResponseMetadata(
            request_id=headers.get(_REQUEST_ID),
            not_run=is_refusal or status == _MISDIRECTED_STATUS,
            is_sealed=headers.get(_SEAL) is not None,
            notice=ServerNotice(
                leaving=is_leaving,
                pause_seconds=(
                    _parse_pause(headers) if status == _UNAVAILABLE_STATUS else 0.0
                ),
                rate_limit=rate_limit,
                overload_tolerance=tolerance,
            ),
            lacked_room=(
                is_refusal
                and status == _UNAVAILABLE_STATUS
                and rate_limit is None
                and not is_leaving
            ),
        )

    def caller_headers(self, headers: Headers) -> Headers:
        """Return a runner's response headers without the hop-by-hop ones."""
        return headers.without(_HOP_BY_HOP | _connection_names(headers))

    def refusal(self, problem: RequestProblem) -> Response:
        """Return a problem document, with fractional seconds in ``retry-after``."""
        response = problem_response(problem)
        if problem.retry_after_ms is None:
            return response
        headers = response.headers.without(frozenset({"retry-after"}))
        seconds = f"{problem.retry_after_ms / 1000:.3f}"
        headers = headers.adding("retry-after", seconds)
        return Response(response.status, headers, response.body)

    def control_handler(self, operations: Operations) -> ControlHandler:
        """Return the handler for requests of operators and runners."""
        return ControlApi(operations, self._announcement_ttl_ms).handle


def _api_key(headers: Headers) -> str | None:
    scheme, _, key = (headers.get("authorization") or "").partition(" ")
    if scheme.lower() != _KEY_SCHEME or not key:
        return None
    return decode_text(key.strip())


def _parse_integer(headers: Headers, name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError) as error:
        raise BadRequest(f"{name}: must be a number") from error


def _parse_token_counts(headers: Headers) -> tuple[int, int]:
    """Return the prompt tokens and maximum answer tokens, 0 if not given."""
    text = headers.get(_TOKEN_COUNTS)
    if text is None:
        return 0, 0
    try:
        prompt, answer = (int(part) for part in text.split(","))
    except ValueError as error:
        raise BadRequest(f"{_TOKEN_COUNTS}: must be two whole numbers") from error
    return max(0, prompt), max(0, answer)


def _parse_prompt(headers: Headers) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt, none if the header cannot be read.

    The header serves placement and protection of runners, not the request itself, so a
    request is not refused for it.
    """
    parts = []
    for item in (headers.get(_PROMPT_PARTS) or "").split(","):
        name, _, tokens = item.strip().partition(":")
        if not (name and tokens.isascii() and tokens.isdigit()):
            return ()
        if len(name) > _MAX_PART_ID_CHARACTERS or len(tokens) > _MAX_TOKEN_DIGITS:
            return ()
        parts.append(PromptPart(name.lower(), int(tokens)))
    return tuple(parts)


def _parse_pause(headers: Headers) -> float:
    """Return the seconds for which a runner wants no requests, 0 if it asks for none.

    Dates are ignored: clocks may differ, and runners give seconds.
    """
    return min(_parse_amount(headers, _RETRY_AFTER) or 0.0, _MAX_PAUSE_SECONDS)


def _parse_amount(headers: Headers, name: str) -> float | None:
    """Return a finite number that is not negative, ``None`` if the header has none."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        amount = float(text) if text.isascii() and "_" not in text else math.nan
    except ValueError:
        amount = math.nan
    if 0 <= amount < math.inf:
        return amount
    _log.debug("Ignored {} of a runner: {!r}.", name, text)
    return None


def _connection_names(headers: Headers) -> frozenset[str]:
    """Return the header names that the ``connection`` header lists as hop-by-hop."""
    names = (headers.get("connection") or "").lower().split(",")
    return frozenset(name.strip() for name in names) - {_REQUEST_ID, _SEAL, ""}
