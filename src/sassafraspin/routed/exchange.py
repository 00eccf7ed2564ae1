"""Execution of one call: slots, attempts at backend servers, and the answer."""

from contextlib import aclosing
from typing import NoReturn

import msgspec
import trio

from sassafraspin.backends import ServerNotice, ServerNotices, ServerRun
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import (
    FirstTokenNotice,
    RateLimitNotice,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
)
from sassafraspin.http import (
    ConnectFailed,
    ConnectionLost,
    Headers,
    HttpClient,
    MemoryHold,
    OpenResponse,
    Responder,
    Response,
)
from sassafraspin.http.events import sequence_number
from sassafraspin.routed.adapter import (
    BackendTarget,
    ProtocolAdapter,
    ResponseMetadata,
)
from sassafraspin.routed.attempt import (
    Answered,
    AttemptOutcome,
    AttemptProgress,
    Delivered,
    Failed,
    Lost,
    NotRun,
    Unused,
    release_result,
)
from sassafraspin.routed.call import RoutedCall
from sassafraspin.routed.problems import (
    AccountOverCap,
    AnswerLost,
    InstanceStops,
    NoAnswerInTime,
    NotDispatched,
    ServerRefused,
    StoppedBeforeAnswer,
    isolation_problem,
)
from sassafraspin.routed.stream import StreamHead, StreamRelay
from sassafraspin.routes import RouteKind
from sassafraspin.settings import Address
from sassafraspin.telemetry.events import ServerNoticed, TryEnded, log_event

__all__ = ["RoutedExchange"]

_RETRY_AFTER_MS = 500
_BEGINNING_SECONDS = 0.5
"""A server that wrote an answer for longer did not crash for it."""

_MAX_UNUSED_GRANTS = 3
"""Grants that may come to nothing before a call is refused."""

_MS_PER_SECOND = 1000


class RoutedExchange:
    """Executes one call on a backend server, with retries.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    adapter : ProtocolAdapter
        Translates between HTTP messages and the daemon's own types.
    slots : SlotClient
        Acquires slots from the dispatcher and releases them.
    client : HttpClient
        Client for the backend servers.
    notices : ServerNotices
        What backend servers have said about themselves.
    call : RoutedCall
        The call to execute.
    responder : Responder
        Sends the answer to the caller.
    started_at : float
        Monotonic time at which the call arrived, in seconds.
    """

    def __init__(
        self,
        node: Node,
        adapter: ProtocolAdapter,
        slots: SlotClient,
        client: HttpClient,
        notices: ServerNotices,
        call: RoutedCall,
        responder: Responder,
        started_at: float,
    ) -> None:
        self._node = node
        self._adapter = adapter
        self._slots = slots
        self._client = client
        self._notices = notices
        self._call = call
        self._responder = responder
        self._stream = StreamRelay(
            call.route.resumable, responder, call.metadata.resume_after
        )
        self._started_at = started_at
        self._last_failure: Failed | Lost | None = None
        self._hold: MemoryHold | None = None
        self._may_have_run = False
        self._avoid: tuple[str, ...] = ()
        self._unused_grants = 0
        self._time_limit = trio.CancelScope()
        self._is_stopped = False

    @property
    def _tries(self) -> int:
        return len(self._avoid)

    @property
    def _resume_after(self) -> str | None:
        """Return the event after which the next attempt goes on, ``None`` for all."""
        return self._stream.last_event_id

    @property
    def _isolated(self) -> str | None:
        """Return a signature of the call that is isolated, ``None`` if none is."""
        isolation = self._node.configuration.state.isolation
        return isolation.find(self._call.signatures)

    async def run(self) -> None:
        """Answer the call; raises ``RequestProblem`` if it cannot be answered."""
        remaining_ms = self._call.deadline_ms - self._elapsed_ms()
        remaining = max(0.0, remaining_ms / _MS_PER_SECOND)
        self._time_limit.deadline = trio.current_time() + remaining
        try:
            with self._time_limit:
                await self._run_attempts()
                return
        finally:
            self._keep_memory(None)
        has_run = self._may_have_run or self._last_failure is not None
        if self._is_stopped:
            self._raise_stopped(has_run)
        if has_run:
            raise NoAnswerInTime("the time of the request ran out")
        raise NotDispatched(
            SlotRefusal(self._call.call_id, RefusalReason.TOO_LATE, _RETRY_AFTER_MS)
        )

    def _keep_memory(self, hold: MemoryHold | None) -> None:
        """Keep the memory of the last complete response, until the call has ended.

        It replaces that of a failed response, which is lost then.
        """
        if self._hold is not None:
            self._hold.release()
            self._forget_failed_response()
        self._hold = hold

    def _allow_reclaim(self) -> None:
        """Let others have the memory of a failed response while there is a retry."""
        if self._hold is not None:
            self._hold.allow_reclaim(self._forget_failed_response)

    def _forget_failed_response(self) -> None:
        if isinstance(self._last_failure, Failed):
            self._last_failure = Lost("other responses needed the memory of the answer")

    def stop(self) -> None:
        """End the call now with a final answer, as the instance stops."""
        self._is_stopped = True
        self._time_limit.cancel()

    def _raise_stopped(self, has_run: bool) -> NoReturn:
        if has_run:
            raise StoppedBeforeAnswer("the instance stopped before the answer")
        raise InstanceStops()

    async def _run_attempts(self) -> None:
        while self._may_try_again():
            self._allow_reclaim()
            slot = await self._acquire_slot()
            if isinstance(slot, SlotRefusal):
                await self._finish_without_success(slot)
                return
            if await self._try_server(slot):
                return
        await self._finish_without_success(None)

    async def _try_server(self, slot: SlotGrant) -> bool:
        """Make an attempt; return whether the caller has the answer.

        The slot is released before a complete answer is sent, as its caller may read
        slowly. Only ``_last_failure`` keeps a failed response, so that it can be given
        up.
        """
        outcome = await self._attempt(slot)
        match outcome:
            case Answered(response):
                await self._responder.send(response)
                return True
            case Delivered():
                return True
            case Unused():
                self._unused_grants += 1
                return False
            case Lost():
                self._keep_memory(None)
                self._last_failure = outcome
            case Failed():
                self._last_failure = outcome
        self._avoid = (*self._avoid, slot.backend_id)
        return False

    def _may_try_again(self) -> bool:
        if self._isolated is not None:
            return False
        if self._last_failure is not None and not self._call.route.is_idempotent:
            return False
        if not self._stream.may_go_on:
            return False
        return (
            self._tries < self._call.route.max_tries
            and self._unused_grants < _MAX_UNUSED_GRANTS
        )

    async def _finish_without_success(self, refusal: SlotRefusal | None) -> None:
        """Send the backend server's error response, or raise the problem that fits.

        The last failure decides, even if later attempts were not run. Without a
        failure, no backend server has run the request.
        """
        if self._hold is not None:
            self._hold.forbid_reclaim()
        match self._last_failure:
            case Failed(response) if not self._responder.has_started:
                await self._responder.send(response)
            case Failed():
                raise AnswerLost("the stream broke and could not go on elsewhere")
            case Lost(reason):
                raise AnswerLost(reason)
            case None if self._isolated is not None:
                raise isolation_problem(self._isolated)
            case None if refusal is None:
                raise ServerRefused("no backend server that was tried took it")
            case None if refusal.reason is RefusalReason.ACCOUNT_LIMIT:
                raise AccountOverCap(refusal)
            case None:
                raise NotDispatched(refusal)

    async def _acquire_slot(self) -> SlotGrant | SlotRefusal:
        paused = self._notices.paused(self._call.service, self._node.now())
        request = self._call.slot_request(
            self._tries + self._unused_grants,
            self._tries,
            (*self._avoid, *paused),
            self._elapsed_ms(),
            self._responder.has_started,
        )
        try:
            slot = await self._slots.acquire(request)
        except trio.Cancelled:
            self._slots.withdraw(request)
            raise
        if isinstance(slot, SlotRefusal) and slot.reason is RefusalReason.NO_BACKEND:
            return self._delay_until_pause_ends(slot)
        return slot

    def _delay_until_pause_ends(self, refusal: SlotRefusal) -> SlotRefusal:
        """Return the refusal with the time at which the first server's pause ends."""
        ends_in = self._notices.earliest_end(self._call.service, self._node.now())
        if ends_in is None:
            return refusal
        return msgspec.structs.replace(refusal, retry_after_ms=_ms(ends_in) + 1)

    async def _attempt(self, grant: SlotGrant) -> AttemptOutcome:
        progress = AttemptProgress(self._node.now(), resumed_after=self._resume_after)
        result = ReleaseResult.CANCELLED
        try:
            outcome = await self._send(grant, progress)
            result = release_result(outcome)
            return outcome
        finally:
            self._release(grant, result, progress)
            self._log_attempt(grant, result, progress)

    async def _send(
        self, grant: SlotGrant, progress: AttemptProgress
    ) -> AttemptOutcome:
        # It may have been isolated while the request waited for its slot.
        if self._isolated is not None or not self._slots.is_usable(grant):
            return Unused()
        if self._notices.forbids(self._server_run(grant), self._node.now()):
            return Unused()
        target = BackendTarget(
            grant.backend_id,
            self._call.account_name,
            max(1, self._call.deadline_ms - self._elapsed_ms()),
            self._resume_after,
        )
        request = self._adapter.backend_request(self._call.request, target)
        address = Address(grant.host, grant.port)
        self._may_have_run = True
        may_abandon = self._call.route.is_idempotent
        try:
            async with self._client.open(address, request, may_abandon) as response:
                outcome = await self._read_response(response, grant, progress)
        except ConnectFailed:
            outcome = NotRun()
            progress.path_failed = self._client.has_lost_path(address)
        except ConnectionLost as error:
            outcome = Lost(str(error))
            await self._find_cause(error, address, progress)
        self._may_have_run = not isinstance(outcome, NotRun)
        return outcome

    async def _find_cause(
        self, error: ConnectionLost, address: Address, progress: AttemptProgress
    ) -> None:
        """Find out whether the server or the path to it broke a connection."""
        progress.relay = error.relay
        progress.was_broken_off = error.is_closed
        if error.is_path_lost:
            progress.path_failed = True
            return
        if error.is_closed or self._call.shared_parts:
            progress.server_crashed = await self._client.refuses_connections(address)
        if not progress.server_crashed:
            progress.path_failed = self._client.has_lost_path(address)

    def _server_run(self, grant: SlotGrant) -> ServerRun:
        return ServerRun(self._call.service, grant.backend_id, grant.incarnation)

    def _record_notice(self, grant: SlotGrant, notice: ServerNotice) -> None:
        self._report_rate_limit(grant, notice)
        run = self._server_run(grant)
        if self._notices.record(run, notice, self._node.now()):
            log_event(
                ServerNoticed(
                    run.name,
                    run.incarnation,
                    notice.leaving,
                    _ms(notice.pause_seconds),
                )
            )

    def _report_rate_limit(self, grant: SlotGrant, notice: ServerNotice) -> None:
        """Tell the dispatcher if the server names another limit than it knows."""
        if notice.request_rate != grant.rate_limit:
            self._slots.report_rate_limit(
                RateLimitNotice(
                    self._call.service,
                    grant.grant_id,
                    grant.backend_id,
                    grant.incarnation,
                    notice.request_rate,
                )
            )

    async def _read_response(
        self, response: OpenResponse, grant: SlotGrant, progress: AttemptProgress
    ) -> AttemptOutcome:
        progress.framing = response.framing
        progress.relay = response.relay
        metadata = self._adapter.read_response(response.status, response.headers)
        if not self._is_own(response, metadata):
            raise ConnectionLost("the answer may belong to another request")
        progress.rate_limit = metadata.notice.rate_limit
        progress.overload_tolerance = metadata.notice.overload_tolerance
        progress.lacked_room = metadata.lacked_room
        self._record_notice(grant, metadata.notice)
        if metadata.not_run:
            # The head decides alone, whatever becomes of the body.
            self._may_have_run = False
            await response.discard()
            return NotRun(names_limit=metadata.notice.rate_limit is not None)
        is_success = 200 <= response.status < 300
        # Callers reject a success without the seal header.
        if is_success and not metadata.is_sealed:
            raise ConnectionLost("the answer bears no seal")
        if is_success and response.is_encoded and not self._call.accepts_encodings:
            raise ConnectionLost(
                "the answer is encoded, and the caller asked for no encoding"
            )
        headers = self._adapter.caller_headers(response.headers)
        if is_success and self._call.route.kind is RouteKind.STREAM:
            return await self._relay_stream(response, headers, grant, progress)
        body = await response.read()
        hold = response.take_hold()
        self._keep_memory(hold)
        whole = Response(response.status, headers, body, response.is_framed, hold)
        if not is_success:
            progress.server_failed_it = True
            return Failed(whole)
        progress.record_data(self._node.now())
        return Answered(whole)

    def _is_own(self, response: OpenResponse, metadata: ResponseMetadata) -> bool:
        """Return whether an answer belongs to this request.

        A request that was refused unread has no identifier to return. On a connection
        that was used before, such a refusal may be a copy of an earlier one.
        """
        if metadata.request_id is None and metadata.not_run:
            return response.is_first_on_connection
        return metadata.request_id == self._call.metadata.request_id

    async def _relay_stream(
        self,
        response: OpenResponse,
        headers: Headers,
        grant: SlotGrant,
        progress: AttemptProgress,
    ) -> AttemptOutcome:
        is_resumed = self._resume_after is not None
        head = StreamHead(response.status, headers, response.is_framed, is_resumed)
        self._stream.start_attempt(head)
        async with aclosing(response.chunks()) as chunks:
            async for chunk in chunks:
                is_first = progress.first_data_at is None
                progress.record_data(self._node.now())
                if is_first and grant.reports_first_token:
                    self._report_first_token(grant, progress)
                progress.events += await self._stream.forward(chunk)
        await self._stream.finish()
        return Delivered()

    def _report_first_token(self, grant: SlotGrant, progress: AttemptProgress) -> None:
        first_token_ms = _ms(progress.last_data_at - progress.sent_at)
        notice = FirstTokenNotice(self._call.service, grant.grant_id, first_token_ms)
        self._slots.report_first_token(notice)

    def _release(
        self, grant: SlotGrant, result: ReleaseResult, progress: AttemptProgress
    ) -> None:
        now = self._node.now()
        first_data_at = progress.first_data_at or now
        has_just_begun = now - first_data_at < _BEGINNING_SECONDS
        is_answered = progress.framing is not None
        self._slots.release(
            SlotRelease(
                self._call.service,
                grant.request_id,
                grant.grant_id,
                grant.backend_id,
                result,
                int((first_data_at - progress.sent_at) * _MS_PER_SECOND),
                int((now - progress.sent_at) * _MS_PER_SECOND),
                progress.events * self._call.tokens_per_event,
                self._call.shared_parts,
                progress.server_crashed and has_just_begun,
                progress.was_broken_off and has_just_begun,
                self._notices.leaves(self._server_run(grant)),
                progress.server_failed_it,
                progress.path_failed,
                progress.lacked_room,
                progress.overload_tolerance,
                turned_away=result is ReleaseResult.NOT_SENT and is_answered,
            )
        )

    def _log_attempt(
        self, grant: SlotGrant, result: ReleaseResult, progress: AttemptProgress
    ) -> None:
        first = progress.first_data_at
        log_event(
            TryEnded(
                request=self._call.metadata.request_id,
                route=self._call.route.name,
                tier=self._call.tier,
                account=self._call.account_name,
                table_version=self._call.table_version,
                server=grant.backend_id,
                grant=grant.grant_id,
                tries=self._tries,
                prompt_tokens=self._call.metadata.prompt_tokens,
                answer_tokens=self._call.metadata.answer_tokens,
                waited_ms=grant.waited_ms,
                asked_ms=_ms(progress.sent_at - self._started_at),
                expected_first_ms=grant.expected_first_ms,
                first_ms=None if first is None else _ms(first - progress.sent_at),
                longest_pause_ms=_ms(progress.longest_pause),
                total_ms=_ms(self._node.now() - progress.sent_at),
                events=progress.events,
                parts=self._call.shared_parts,
                signature=self._call.signature,
                server_crashed=progress.server_crashed,
                broken_off=progress.was_broken_off,
                framing=None if progress.framing is None else progress.framing.value,
                rate_limit=progress.rate_limit,
                end=result.value,
                relay=progress.relay,
                path_failed=progress.path_failed,
                resumed_after=sequence_number(progress.resumed_after),
                last_event=sequence_number(self._resume_after),
            )
        )

    def _elapsed_ms(self) -> int:
        return int((self._node.now() - self._started_at) * _MS_PER_SECOND)


def _ms(seconds: float) -> int:
    return int(seconds * _MS_PER_SECOND)
