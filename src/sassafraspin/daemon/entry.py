"""Calls of client accounts: from the HTTP request to the whole answer."""

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
    BackendRelay,
    Timing,
    is_event_stream,
    passed_on,
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

_MAX_TRIES = 3

_log = part_logger("entry")


class EntryService:
    """Takes calls, has them dispatched and relays the answers.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    access : AccessControl
        Tokens of the callers.
    claims : ClaimClient
        Client of the ledger.
    slots : SlotClient
        Client of the dispatchers.
    relay : BackendRelay
        Exchange with backend servers.
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
        """Return the number of calls that are being served."""
        return self._in_flight

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one HTTP request of a caller."""
        self._in_flight += 1
        try:
            await self._serve(request, responder)
        except RequestProblem as problem:
            await self._refuse(problem, responder)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            _log.exception("A call failed.")
            await self._refuse(InternalFailure(), responder)
        finally:
            self._in_flight -= 1

    async def _serve(self, request: Request, responder: Responder) -> None:
        account = self._access.client_account(request)
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

    async def _refuse(self, problem: RequestProblem, responder: Responder) -> None:
        """Send the problem; inside a stream as its last event, before the cut."""
        self._node.metrics.count(f"refused.{problem.execution}.{problem.reason}")
        if not responder.has_started:
            await responder.send(problem_response(problem))
            return
        _log.info("A streamed answer is cut: {}.", problem)
        document = msgspec.json.encode({"error": problem.document()}).decode()
        await responder.write(format_event(ServerSentEvent(document)))


class _CallExchange:
    """One call from its claim to its last byte."""

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
        self._started_at = node.now()
        self._state = RecordState.NOT_RUN
        self._avoid: tuple[str, ...] = ()

    async def run(self) -> None:
        """Serve the call; raises typed problems for what it could not do."""
        try:
            if self._call.key is not None:
                _check_claim(await self._claims.claim(self._call))
            await self._dispatch()
        finally:
            self._claims.close(self._call, self._state)

    async def _dispatch(self) -> None:
        for attempt in range(_MAX_TRIES):
            grant = await self._acquire(attempt)
            if await self._try_send(grant):
                self._observe()
                return
            self._avoid = (*self._avoid, grant.backend_id)
        if self._state is RecordState.UNKNOWN:
            raise _sent_without_answer("every server that was tried lost it")
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
            avoid=self._avoid,
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

        That is so if no byte of it left, or if its profile says that it may run more
        than once and the caller has got nothing of an answer.
        """
        timing = Timing(self._node.now())
        if not self._slots.is_usable(grant):
            self._release(grant, ReleaseResult.CANCELLED, timing)
            return False
        result = ReleaseResult.CANCELLED
        state_before = self._state
        try:
            result = await self._exchange(grant, timing)
        except ConnectFailed:
            result = ReleaseResult.NOT_SENT
            self._state = state_before
        except ConnectionLost as error:
            result = ReleaseResult.FAILED
            await self._relay.cancel(self._call, grant)
            if self._may_run_again():
                return False
            raise _sent_without_answer(str(error)) from error
        finally:
            if result is ReleaseResult.CANCELLED:
                await self._relay.cancel(self._call, grant)
            self._release(grant, result, timing)
        return result is not ReleaseResult.NOT_SENT

    def _may_run_again(self) -> bool:
        return self._call.profile.idempotent and not self._responder.has_started

    async def _exchange(self, grant: SlotGrant, timing: Timing) -> ReleaseResult:
        """Send the call and relay its answer within the deadline."""
        with trio.move_on_after(self._seconds_left()) as scope:
            self._slots.allow_revocation(grant, scope)
            self._state = RecordState.UNKNOWN
            async with self._relay.open(self._call, grant) as response:
                return await self._answer(grant, response, timing)
        revoked = self._slots.is_revoked(grant)
        reason = "it made room for a higher tier" if revoked else "its deadline passed"
        raise _sent_without_answer(reason)

    async def _answer(
        self, grant: SlotGrant, response: OpenResponse, timing: Timing
    ) -> ReleaseResult:
        self._check_identity(response)
        if is_event_stream(response):
            await self._relay_stream(grant, response, timing)
        else:
            whole = await self._relay.read_whole(response, timing)
            self._state = RecordState.ANSWERED
            await self._responder.send(whole)
        failed = response.status >= 500
        return ReleaseResult.FAILED if failed else ReleaseResult.ANSWERED

    async def _relay_stream(
        self, grant: SlotGrant, response: OpenResponse, timing: Timing
    ) -> None:
        await self._responder.start(response.status, passed_on(response.headers))
        events = self._relay.events(self._call, grant, response, timing)
        async with aclosing(events):
            async for batch in events:
                await self._responder.write(b"".join(map(format_event, batch)))
        self._state = RecordState.ANSWERED
        await self._responder.finish()

    def _check_identity(self, response: OpenResponse) -> None:
        """Refuse the answer to another request."""
        identity = response.headers.get("x-request-id")
        if identity is not None and identity != self._call.request_id:
            raise ConnectionLost("the answer belongs to another request")

    def _seconds_left(self) -> float:
        elapsed = self._node.now() - self._started_at
        return max(0.0, self._call.deadline_ms / 1000 - elapsed)

    def _release(self, grant: SlotGrant, result: ReleaseResult, timing: Timing) -> None:
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

    def _observe(self) -> None:
        call = self._call
        labels = RequestLabels(call.account.name, call.profile.tier, call.profile.name)
        elapsed_ms = (self._node.now() - self._started_at) * 1000
        self._node.metrics.count(f"answered.tier.{call.profile.tier}")
        self._node.metrics.observe_request("answer_ms", labels, elapsed_ms)


def _sent_without_answer(reason: str) -> OutcomeUnknown:
    return OutcomeUnknown(f"the request was sent, then {reason}")


def _check_claim(decision: ClaimDecision) -> None:
    """Raise the problem that a home's decision stands for, unless it granted."""
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
