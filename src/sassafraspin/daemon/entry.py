"""Serving of client calls, from the HTTP request to the complete answer."""

from contextlib import aclosing

import msgspec
import trio

from sassafraspin.daemon.access import AccessControl
from sassafraspin.daemon.calls import MODELS_PATH, Call, CallReader
from sassafraspin.daemon.claims import ClaimClient
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import (
    AlreadyAnswered,
    BackendUnreachable,
    InternalFailure,
    KeyReused,
    LedgerUnavailable,
    OutcomeUnknown,
    SlotRefused,
    StillRunning,
)
from sassafraspin.daemon.relay import (
    AnswerTiming,
    BackendRelay,
    forwarded_headers,
    is_event_stream,
)
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.http import (
    ConnectFailed,
    ConnectionLost,
    Headers,
    OpenResponse,
    Request,
    RequestProblem,
    Responder,
    Response,
    ServerSentEvent,
    format_event,
    problem_response,
)
from sassafraspin.ledger import ClaimDecision, RecordState
from sassafraspin.telemetry import RequestLabels, part_logger

__all__ = ["EntryService"]

_MAX_ATTEMPTS = 3

_log = part_logger("entry")


class EntryService:
    """Accepts calls, acquires slots for them and relays the answers.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    access : AccessControl
        Authenticates callers.
    claims : ClaimClient
        Client of the ledger.
    slots : SlotClient
        Client of the dispatchers.
    relay : BackendRelay
        Forwards calls to backend servers.
    """

    def __init__(
        self,
        node: Node,
        access: AccessControl,
        claims: ClaimClient,
        slots: SlotClient,
        relay: BackendRelay,
    ) -> None:
        self._node = node
        self._access = access
        self._claims = claims
        self._slots = slots
        self._relay = relay
        self._reader = CallReader(node.settings.services)
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._in_flight

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one HTTP request from a caller."""
        self._in_flight += 1
        try:
            await self._serve(request, responder)
        except RequestProblem as problem:
            await self._send_problem(problem, responder)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            _log.exception("Unhandled exception while serving a call.")
            await self._send_problem(InternalFailure(), responder)
        finally:
            self._in_flight -= 1

    async def _serve(self, request: Request, responder: Responder) -> None:
        account = self._access.authenticate_client(request)
        if (request.method, request.path) == ("GET", MODELS_PATH):
            await responder.send(self._list_models())
            return
        profiles = self._node.configuration.state.profiles
        call = self._reader.read(request, account, profiles)
        exchange = _CallExchange(
            self._node, self._claims, self._slots, self._relay, call, responder
        )
        await exchange.run()

    def _list_models(self) -> Response:
        """Return the model services in the format of the OpenAI-compatible API."""
        models = [
            {"id": service.name, "object": "model", "created": 0, "owned_by": "club"}
            for service in self._node.settings.services
            if service.kind == "model"
        ]
        body = msgspec.json.encode({"object": "list", "data": models})
        return Response(200, Headers((("content-type", "application/json"),)), body)

    async def _send_problem(
        self, problem: RequestProblem, responder: Responder
    ) -> None:
        """Send a problem document; in a started stream, send it as the last event."""
        self._node.metrics.count(f"refused.{problem.execution}.{problem.reason}")
        if not responder.has_started:
            await responder.send(problem_response(problem))
            return
        _log.info("Aborting a streamed answer: {}.", problem)
        document = msgspec.json.encode({"error": problem.document()}).decode()
        await responder.write(format_event(ServerSentEvent(document)))


class _CallExchange:
    """Processes one call: claim, slot, exchange with the backend server, answer."""

    def __init__(
        self,
        node: Node,
        claims: ClaimClient,
        slots: SlotClient,
        relay: BackendRelay,
        call: Call,
        responder: Responder,
    ) -> None:
        self._node = node
        self._claims = claims
        self._slots = slots
        self._relay = relay
        self._call = call
        self._responder = responder
        self._started_at = node.now() - call.request.read_seconds
        self._record_state = RecordState.NOT_RUN
        self._tried_backends: tuple[str, ...] = ()

    async def run(self) -> None:
        """Serve the call; raises a typed problem on failure."""
        try:
            if self._call.key is not None:
                _check_claim(await self._claims.claim(self._call))
            await self._dispatch()
        finally:
            self._claims.close(self._call, self._record_state)

    async def _dispatch(self) -> None:
        for attempt in range(_MAX_ATTEMPTS):
            grant = await self._acquire(attempt)
            if await self._try_send(grant):
                self._record_metrics()
                return
            self._tried_backends = (*self._tried_backends, grant.backend_id)
        if self._record_state is RecordState.UNKNOWN:
            raise _unknown_after_send("every server that was tried lost it")
        raise BackendUnreachable

    async def _acquire(self, attempt: int) -> SlotGrant:
        call = self._call
        request = SlotRequest(
            request_id=f"{call.request_id}:{attempt}",
            service=call.service.name,
            client_account=call.account.name,
            profile=call.profile.name,
            route=call.route,
            tier=call.profile.tier,
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
            deadline_ms=max(1, int(self._seconds_left() * 1000)),
            cancellable=call.profile.cancellable,
            prefixes=call.prefixes(),
            avoid=self._tried_backends,
        )
        try:
            answer = await self._slots.acquire(request)
        except trio.Cancelled:
            self._slots.withdraw(request)
            raise
        match answer:
            case SlotGrant():
                return answer
            case SlotRefusal():
                raise SlotRefused(answer.reason, answer.retry_after_ms)

    async def _try_send(self, grant: SlotGrant) -> bool:
        """Send the call; return ``False`` if it may be sent to another server.

        A retry is safe if no byte was sent, or if the profile is idempotent and the
        caller has received no part of the answer.
        """
        timing = AnswerTiming(self._node.now())
        if not self._slots.is_usable(grant):
            self._release(grant, ReleaseResult.CANCELLED, timing)
            return False
        result = ReleaseResult.CANCELLED
        state_before = self._record_state
        try:
            result = await self._exchange(grant, timing)
        except ConnectFailed:
            result = ReleaseResult.NOT_SENT
            self._record_state = state_before
        except ConnectionLost as error:
            result = ReleaseResult.FAILED
            await self._relay.cancel(self._call, grant)
            if self._may_retry():
                return False
            raise _unknown_after_send(str(error)) from error
        finally:
            if result is ReleaseResult.CANCELLED:
                await self._relay.cancel(self._call, grant)
            self._release(grant, result, timing)
        return result is not ReleaseResult.NOT_SENT

    def _may_retry(self) -> bool:
        return self._call.profile.idempotent and not self._responder.has_started

    async def _exchange(self, grant: SlotGrant, timing: AnswerTiming) -> ReleaseResult:
        """Send the call and relay its answer.

        Raises ``OutcomeUnknown`` if the deadline passes or the grant is revoked first.
        """
        with trio.move_on_after(self._seconds_left()) as scope:
            self._slots.allow_revocation(grant, scope)
            self._record_state = RecordState.UNKNOWN
            async with self._relay.open(self._call, grant) as response:
                return await self._relay_answer(grant, response, timing)
        revoked = self._slots.is_revoked(grant)
        reason = "it made room for a higher tier" if revoked else "its deadline passed"
        raise _unknown_after_send(reason)

    async def _relay_answer(
        self, grant: SlotGrant, response: OpenResponse, timing: AnswerTiming
    ) -> ReleaseResult:
        self._check_request_id(response)
        if is_event_stream(response):
            await self._relay_stream(grant, response, timing)
        else:
            complete = await self._relay.read_complete(response, timing)
            self._record_state = RecordState.ANSWERED
            await self._responder.send(complete)
        failed = response.status >= 500
        return ReleaseResult.FAILED if failed else ReleaseResult.ANSWERED

    async def _relay_stream(
        self, grant: SlotGrant, response: OpenResponse, timing: AnswerTiming
    ) -> None:
        await self._responder.start(
            response.status, forwarded_headers(response.headers)
        )
        events = self._relay.events(self._call, grant, response, timing)
        async with aclosing(events):
            async for batch in events:
                await self._responder.write(b"".join(map(format_event, batch)))
        self._record_state = RecordState.ANSWERED
        await self._responder.finish()

    def _check_request_id(self, response: OpenResponse) -> None:
        """Reject an answer that carries the identifier of another request."""
        answered_id = response.headers.get("x-request-id")
        if answered_id is not None and answered_id != self._call.request_id:
            raise ConnectionLost("the answer belongs to another request")

    def _seconds_left(self) -> float:
        elapsed = self._node.now() - self._started_at
        return max(0.0, self._call.deadline_ms / 1000 - elapsed)

    def _release(
        self, grant: SlotGrant, result: ReleaseResult, timing: AnswerTiming
    ) -> None:
        now = self._node.now()
        first_token_at = timing.first_token_at or now
        self._slots.release(
            SlotRelease(
                self._call.service.name,
                self._call.request_id,
                grant.grant_id,
                grant.backend_id,
                result,
                int((first_token_at - timing.sent_at) * 1000),
                int((now - timing.sent_at) * 1000),
                timing.answer_tokens,
            )
        )

    def _record_metrics(self) -> None:
        call = self._call
        labels = RequestLabels(call.account.name, call.profile.tier, call.profile.name)
        elapsed_ms = (self._node.now() - self._started_at) * 1000
        self._node.metrics.count(f"answered.tier.{call.profile.tier}")
        self._node.metrics.observe_request("answer_ms", labels, elapsed_ms)


def _unknown_after_send(reason: str) -> OutcomeUnknown:
    return OutcomeUnknown(f"the request was sent, then {reason}")


def _check_claim(decision: ClaimDecision) -> None:
    """Raise the problem that corresponds to a decision other than ``GRANTED``."""
    match decision:
        case ClaimDecision.GRANTED:
            return
        case ClaimDecision.IN_FLIGHT:
            raise StillRunning
        case ClaimDecision.ANSWERED:
            raise AlreadyAnswered
        case ClaimDecision.UNKNOWN:
            raise OutcomeUnknown("an earlier try under this key may have run")
        case ClaimDecision.KEY_REUSED:
            raise KeyReused
        case ClaimDecision.NOT_READY | ClaimDecision.FULL:
            raise LedgerUnavailable
