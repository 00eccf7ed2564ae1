"""Dispatcher client of an entry instance: acquires and releases slots."""

import random
from dataclasses import dataclass

import msgspec
import trio

from sassafraspin.daemon.dispatch_service import DispatcherMessage, DispatchService
from sassafraspin.daemon.dispatcher_health import DispatcherHealth
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.replies import PendingReplies
from sassafraspin.dispatch import (
    ActiveGrant,
    FirstTokenNotice,
    HeldGrants,
    RateLimitNotice,
    RefusalReason,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWaiting,
    SlotWithdraw,
    UnknownGrants,
)
from sassafraspin.dispatch.lenders import LenderChoice
from sassafraspin.telemetry.events import (
    DispatcherLost,
    DispatcherRegained,
    SlotsBorrowed,
    log_event,
)

__all__ = ["SlotClient"]

_RETRY_AFTER_MS = 1_000
_REPORT_INTERVAL_SECONDS = 1.0
_MS_PER_SECOND = 1000

_MAX_REPEAT_SECONDS = 0.64
"""Longest interval between repeats of a queued request. A repeat recovers a lost grant,
but costs the dispatcher a message."""

_MAX_LOAN_ATTEMPTS = 3
"""Instances that are asked for a slot one after the other, before a pause."""

_LOAN_ANSWER_SECONDS = 0.08
"""Time for which a request waits for an instance that may lend a slot: that after which
a dispatcher counts as silent."""

_LOAN_REPORTS = 4
"""Reports to an instance after the last loan. A lender ends grants that are not
reported once they are 2 s old, so the last report finds one whose release was lost."""

_CHECK_SECONDS = 0.2
"""Time for which a dispatcher may leave a heartbeat unanswered that asks whether it is
there. Answers wait up to 128 ms behind the directory at 390 instances."""

_REFUSAL_DELIVERY_MS = 120
"""Time before its end at which a request that nobody has decided about is refused, so
that the refusal reaches its caller: as dispatchers reserve it (``Admission``)."""


@dataclass(frozen=True)
class _DispatcherChanged:
    """Makes waiting requests send again: the dispatcher may be another one now."""


@dataclass(frozen=True)
class _LoanGranted:
    """Another instance lends a slot."""

    lender: str
    grant: SlotGrant


@dataclass(frozen=True)
class _LoanRefused:
    """Another instance has no unused slot."""

    lender: str


_Answer = SlotGrant | SlotRefusal | _LoanGranted | _DispatcherChanged
"""What decides about a request, or makes it be sent again."""


@dataclass
class _HeldGrant:
    """A grant in use.

    ``dispatcher`` is the instance that knows of the grant, ``None`` if the standby was
    in use or no dispatcher was known. ``scope`` is cancelled if the grant is revoked.
    ``lender`` is the instance whose standby lends the slot, ``None`` for the others.
    """

    request: SlotRequest
    grant: SlotGrant
    granted_at: float
    dispatcher: str | None
    lender: str | None = None
    scope: trio.CancelScope | None = None
    revoked: bool = False


class SlotClient:
    """Acquires slots from the dispatcher of a service and tracks the grants in use.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    standby : DispatchService or None
        Local dispatcher that decides while the regular one does not answer.
    generator : random.Random or None
        Spreads requests for a loan over the other instances.
    """

    def __init__(
        self,
        node: Node,
        standby: DispatchService | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._node = node
        self._standby = standby
        self._lends_slots = standby is not None and node.settings.dispatch.lends_slots
        self._lenders = LenderChoice(generator or random.Random())
        self._health = DispatcherHealth(
            node.settings.dispatch.standby_after_ms / _MS_PER_SECOND
        )
        self._replies = PendingReplies()
        self._grants: dict[str, _HeldGrant] = {}
        self._repeat_seconds = node.settings.dispatch.slot_repeat_ms / _MS_PER_SECOND
        self._services_to_report: set[str] = set()
        self._lenders_to_report: dict[tuple[str, str], int] = {}
        self._borrowing: dict[str, SlotRequest] = {}
        self._checked_since: float | None = None
        self._next_report_at = 0.0
        self._known_epoch = self._dispatcher_epoch

    @property
    def _dispatcher_epoch(self) -> tuple[str | None, int]:
        """Return the leader and view number; a change may mean a new dispatcher."""
        return self._node.lease.leader, self._node.view.number

    @property
    def uses_standby(self) -> bool:
        """Return whether the standby decides because the dispatcher is silent."""
        return self._standby is not None and self._health.is_silent

    def on_dispatcher_active(self) -> None:
        """Stop using the standby, if it is in use: the dispatcher answers again."""
        self._checked_since = None
        if not self.uses_standby:
            return
        log_event(DispatcherRegained(self._node.lease.leader))
        self._log_loans()
        self._health.record_answer()
        self._replies.deliver_all(_DispatcherChanged())

    def check_dispatcher(self) -> None:
        """Find out whether the dispatcher responds, which another instance doubts.

        An instance without requests of its own would not notice, and lend nothing.
        """
        is_following = self._lends_slots and not self.uses_standby
        if is_following and self._checked_since is None:
            self._checked_since = self._node.now()
            self._node.lease.report_soon()

    def _end_check(self, now: float) -> None:
        """Use the standby if the dispatcher has not answered a check."""
        if self._checked_since is None or now < self._checked_since + _CHECK_SECONDS:
            return
        seconds = now - self._checked_since
        self._checked_since = None
        if not self.uses_standby:
            self._record_silence(seconds)

    def _log_loans(self) -> None:
        counts = self._lenders.take_counts()
        if counts.granted or counts.refused or counts.unanswered:
            log_event(SlotsBorrowed(counts.granted, counts.refused, counts.unanswered))

    async def acquire(self, request: SlotRequest) -> SlotGrant | SlotRefusal:
        """Return a grant or a refusal, at the latest when the deadline passes.

        The request is repeated until it is answered, and sent to the new dispatcher
        if that changes. Dispatchers deduplicate it by its identifier. If instances lend
        each other slots, a refusal is early enough to reach the caller before the
        deadline, or before it leaves.
        """
        receive = self._replies.open(request.request_id)
        try:
            with trio.move_on_after(self._decision_seconds(request)):
                answer = await self._request_until_decided(request, receive)
                match answer:
                    case _LoanGranted(lender, grant):
                        self._record_grant(request, grant, lender)
                        return grant
                    case SlotGrant():
                        self._record_grant(request, answer)
                return answer
        finally:
            self._replies.close(request.request_id)
            self._borrowing.pop(request.request_id, None)
            self._return_unread_loans(receive)
        self.withdraw(request)
        return SlotRefusal(request.request_id, RefusalReason.TOO_LATE, _RETRY_AFTER_MS)

    def _decision_seconds(self, request: SlotRequest) -> float:
        """Return the time within which a request has to be decided about."""
        if not self._lends_slots:
            return request.deadline_ms / _MS_PER_SECOND
        ends_ms = request.deadline_ms
        if request.leaves_within_ms:
            ends_ms = min(ends_ms, request.leaves_within_ms)
        return max(ends_ms - _REFUSAL_DELIVERY_MS, ends_ms / 2) / _MS_PER_SECOND

    def _record_grant(
        self, request: SlotRequest, grant: SlotGrant, lender: str | None = None
    ) -> None:
        """Track a grant; grants of the standby are reported to the next dispatcher."""
        dispatcher = None
        if lender is None and not self.uses_standby:
            dispatcher = self._node.dispatcher_of(request.service)
        now = self._node.now()
        held = _HeldGrant(request, grant, now, dispatcher, lender)
        self._grants[grant.grant_id] = held

    def withdraw(self, request: SlotRequest) -> None:
        """Withdraw a request from the dispatcher's queue."""
        message = SlotWithdraw(request.service, request.request_id)
        self._notify_dispatchers(request.service, message)

    def release(self, release: SlotRelease) -> None:
        """Release a slot and report the result."""
        self._services_to_report.add(release.service)
        self._notify_lender(release.grant_id, release)
        self._grants.pop(release.grant_id, None)
        self._notify_dispatchers(release.service, release)

    def report_rate_limit(self, notice: RateLimitNotice) -> None:
        """Report a rate limit that the dispatcher did not know, or that has ended."""
        self._notify_lender(notice.grant_id, notice)
        self._notify_dispatchers(notice.service, notice)

    def report_first_token(self, notice: FirstTokenNotice) -> None:
        """Report the first token of a request whose dispatcher waits for it."""
        self._notify_lender(notice.grant_id, notice)
        self._notify_dispatchers(notice.service, notice)

    def allow_revocation(self, grant: SlotGrant, scope: trio.CancelScope) -> None:
        """Register ``scope``, to be cancelled if the dispatcher revokes the grant."""
        held = self._grants.get(grant.grant_id)
        if held is not None:
            held.scope = scope

    def is_usable(self, grant: SlotGrant) -> bool:
        """Return whether the request may still be sent on the grant.

        It may not if the grant was revoked or has ended: the backend server may have
        left while the grant was on its way or this process was suspended.
        """
        held = self._grants.get(grant.grant_id)
        if held is None or held.revoked or self._has_ended(grant):
            return False
        age_ms = (self._node.now() - held.granted_at) * _MS_PER_SECOND
        return age_ms < grant.use_within_ms

    def _has_ended(self, grant: SlotGrant) -> bool:
        return grant.use_until is not None and self._node.now() >= grant.use_until

    def is_revoked(self, grant: SlotGrant) -> bool:
        """Return whether the grant was revoked."""
        held = self._grants.get(grant.grant_id)
        return held is not None and held.revoked

    def tick(self) -> None:
        """Report grants in use, periodically and after a dispatcher change.

        After a change of the leader or the view, waiting requests are sent again.
        """
        if self._known_epoch != self._dispatcher_epoch:
            self._known_epoch = self._dispatcher_epoch
            self._replies.deliver_all(_DispatcherChanged())
        self._report_to_new_dispatcher()
        now = self._node.now()
        self._end_check(now)
        if now < self._next_report_at:
            return
        self._next_report_at = now + _REPORT_INTERVAL_SECONDS
        for service in self._services_to_report:
            self._report_held(service)
        self._services_to_report = {
            item.request.service for item in self._grants.values()
        }
        self._report_loans()

    def _report_held(self, service: str) -> None:
        """Report the grants in use; the standby does not know of borrowed slots."""
        held = {
            grant_id: item
            for grant_id, item in self._grants.items()
            if item.request.service == service
        }
        if self._standby is not None:
            own = tuple(key for key, item in held.items() if item.lender is None)
            self._standby.receive(self._node.name, HeldGrants(service, own))
        self._send_to_dispatcher(service, HeldGrants(service, tuple(held)))

    def _report_loans(self) -> None:
        """Report to each instance which of the slots that it lent are in use."""
        for held in self._grants.values():
            if held.lender is not None:
                self._report_lender(held.lender, held.request.service)
        for lender, service in self._lenders_to_report:
            grant_ids = tuple(
                grant_id
                for grant_id, held in self._grants.items()
                if held.lender == lender and held.request.service == service
            )
            self._node.send(lender, HeldGrants(service, grant_ids, lent=True))
        self._lenders_to_report = {
            key: rest - 1 for key, rest in self._lenders_to_report.items() if rest > 1
        }

    def _report_to_new_dispatcher(self) -> None:
        """Report the grants of an earlier dispatcher to the new one."""
        if self.uses_standby:
            return
        for held in self._grants.values():
            dispatcher = self._node.dispatcher_of(held.request.service)
            if dispatcher is not None and dispatcher != held.dispatcher:
                held.dispatcher = dispatcher
                self._node.send(dispatcher, ActiveGrant(held.request, held.grant))

    def receive(
        self,
        source: str,
        message: SlotGrant | SlotRefusal | SlotRevoke | SlotWaiting | UnknownGrants,
    ) -> None:
        """Handle a message from a dispatcher."""
        is_leader = source == self._node.lease.leader
        if (
            is_leader
            and source != self._node.name
            and not _is_wrong_dispatcher(message)
        ):
            self.on_dispatcher_active()
        is_lender = self._lends_slots and not is_leader and source != self._node.name
        match message:
            case SlotGrant() if is_lender:
                self._on_loan(source, message)
            case SlotRefusal() if is_lender:
                # A former dispatcher answers so too; nobody waits for it then.
                self._replies.deliver(message.request_id, _LoanRefused(source))
            case SlotGrant():
                if not self._replies.deliver(message.request_id, message):
                    self._return_unclaimed(message)
            case SlotRefusal():
                self._replies.deliver(message.request_id, message)
            case SlotWaiting():
                self._replies.deliver(message.request_id, message)
            case UnknownGrants():
                self._report_unknown_grants(source, message)
            case SlotRevoke():
                held = self._grants.get(message.grant_id)
                if held is not None and held.scope is not None:
                    held.revoked = True
                    held.scope.cancel()

    def _on_loan(self, lender: str, grant: SlotGrant) -> None:
        """Pass on the grant of a borrowed slot, or return one that nobody waits for."""
        if grant.grant_id in self._grants:
            return
        loan = _LoanGranted(lender, grant)
        self._report_lender(lender, grant.request_id.partition(":")[0])
        if not self._replies.deliver(grant.request_id, loan):
            self._return_loan(loan)

    def _return_unread_loans(self, receive: trio.MemoryReceiveChannel) -> None:
        """Return the slots that were lent to a request after it was decided about."""
        while receive.statistics().current_buffer_used:
            message = receive.receive_nowait()
            if isinstance(message, _LoanGranted):
                self._lenders.record_end(message.lender)
                self._return_loan(message)

    def _return_loan(self, loan: _LoanGranted) -> None:
        service = loan.grant.request_id.partition(":")[0]
        message = SlotWithdraw(service, loan.grant.request_id)
        self._node.send(loan.lender, message)

    def _report_unknown_grants(self, dispatcher: str, unknown: UnknownGrants) -> None:
        for grant_id in unknown.grant_ids:
            held = self._grants.get(grant_id)
            if held is None:
                continue
            if held.lender == dispatcher and dispatcher != held.dispatcher:
                self._report_to_lender(dispatcher, held)
                continue
            message = ActiveGrant(held.request, held.grant)
            if self._standby is not None and dispatcher == self._node.name:
                self._standby.receive(dispatcher, message)
            self._node.send(dispatcher, message)

    async def _request_until_decided(
        self, request: SlotRequest, receive: trio.MemoryReceiveChannel
    ) -> SlotGrant | SlotRefusal | _LoanGranted:
        requested_at = unanswered_since = self._node.now()
        repeat_seconds = self._repeat_seconds
        while True:
            self._send_request(request, requested_at)
            pause_ends_at = self._node.now() + repeat_seconds
            is_acknowledged, answer = await self._next_answer(
                receive, pause_ends_at, request
            )
            if answer is None and is_acknowledged and self._may_borrow(request):
                answer = await self._borrow(request, requested_at, receive)
                if answer is None:
                    _, answer = await self._next_answer(receive, pause_ends_at)
            if isinstance(answer, _DispatcherChanged):
                unanswered_since = self._node.now()
                repeat_seconds = self._repeat_seconds
                continue
            if isinstance(answer, SlotGrant | SlotRefusal | _LoanGranted):
                return answer
            now = self._node.now()
            if is_acknowledged:
                unanswered_since = now
                repeat_seconds = min(2 * repeat_seconds, _MAX_REPEAT_SECONDS)
            else:
                repeat_seconds = self._repeat_seconds
                if not self.uses_standby:
                    self._record_silence(now - unanswered_since)
            if self._lacks_dispatcher(request, (now - requested_at) * _MS_PER_SECOND):
                self.withdraw(request)
                return SlotRefusal(
                    request.request_id, RefusalReason.NO_BACKEND, _RETRY_AFTER_MS
                )

    async def _next_answer(
        self,
        receive: trio.MemoryReceiveChannel,
        ends_at: float,
        borrower: SlotRequest | None = None,
    ) -> tuple[bool, _Answer | None]:
        """Return whether the request is queued, and the answer that decides about it.

        The answer is ``None`` if there is none until ``ends_at``, or if a slot of
        another instance may be used for ``borrower``, which is queued.
        """
        is_acknowledged = False
        with trio.move_on_after(max(0.0, ends_at - self._node.now())):
            while True:
                message = await receive.receive()
                if isinstance(message, SlotWaiting):
                    is_acknowledged = True
                    if borrower is not None and self._may_borrow(borrower):
                        return True, None
                    continue
                answer = self._decision(message)
                if answer is not None:
                    return is_acknowledged, answer
        return is_acknowledged, None

    def _decision(self, message: object) -> _Answer | None:
        """Return an answer that decides about its request, else ``None``."""
        match message:
            case SlotWaiting() | _LoanRefused():
                return None
            case _LoanGranted():
                return message if self._accepts_loan(message) else None
            case _:
                return None if self._is_outdated(message) else message

    def _accepts_loan(self, loan: _LoanGranted) -> bool:
        """Return whether a borrowed slot is used; it is returned otherwise.

        The standby must not have decided about the request meanwhile.
        """
        request = self._borrowing.get(loan.grant.request_id)
        is_wanted = request is not None and self.uses_standby
        if is_wanted and not self._has_ended(loan.grant):
            if self._standby.accept_loan(request):
                self._lenders.record_grant(loan.lender, self._node.now())
                return True
        self._lenders.record_end(loan.lender)
        self._return_loan(loan)
        return False

    def _may_borrow(self, request: SlotRequest) -> bool:
        is_lending = self._lends_slots and self.uses_standby
        return is_lending and self._standby.may_borrow(request)

    async def _borrow(
        self,
        request: SlotRequest,
        requested_at: float,
        receive: trio.MemoryReceiveChannel,
    ) -> _Answer | None:
        """Ask a few instances for a slot, one after the other.

        Returns the decision, which may also come from the standby or a dispatcher, or
        ``None`` if the request goes on waiting.
        """
        self._borrowing[request.request_id] = request
        names = [member.name for member in self._node.view.members]
        excluded = {self._node.name, self._node.lease.leader}
        for _ in range(_MAX_LOAN_ATTEMPTS):
            now = self._node.now()
            lender = self._lenders.choose(names, excluded, now)
            if lender is None:
                break
            excluded.add(lender)
            lent = msgspec.structs.replace(
                self._dated(request, requested_at), lent=True
            )
            self._node.send(lender, lent)
            answer = await self._answer_of_lender(lender, request, receive)
            if answer is not None:
                return answer
        return None

    async def _answer_of_lender(
        self, lender: str, request: SlotRequest, receive: trio.MemoryReceiveChannel
    ) -> _Answer | None:
        """Return a decision about the request, ``None`` if this instance lends nothing.

        An instance that does not answer for a while lends nothing.
        """
        try:
            with trio.move_on_after(_LOAN_ANSWER_SECONDS):
                while True:
                    message = await receive.receive()
                    if message == _LoanRefused(lender):
                        self._lenders.record_refusal(lender, self._node.now())
                        return None
                    answer = self._decision(message)
                    if answer is not None:
                        return answer
            self._lenders.record_silence(lender, self._node.now())
            self._report_lender(lender, request.service)
            return None
        finally:
            self._lenders.record_end(lender)

    def _report_lender(self, lender: str, service: str) -> None:
        """Report to an instance for a while which of its slots are in use here."""
        self._lenders_to_report[lender, service] = _LOAN_REPORTS

    def _is_outdated(self, answer: object) -> bool:
        """Return whether an answer does not count: it came too late or from another."""
        if isinstance(answer, SlotGrant):
            return self._has_ended(answer)
        return _is_wrong_dispatcher(answer)

    def _record_silence(self, seconds: float) -> None:
        self._health.record_silence(seconds)
        if self.uses_standby:
            leader = self._node.lease.leader
            log_event(DispatcherLost(leader, int(seconds * _MS_PER_SECOND)))
            self._node.lease.search_leader()
            self._adopt_grants()
            self._replies.deliver_all(_DispatcherChanged())

    def _adopt_grants(self) -> None:
        """Count the requests that run as users of the slots of standbys.

        Those on borrowed slots count at the lender, whose standby may have been closed.
        """
        if not self._lends_slots:
            return
        for held in self._grants.values():
            if held.lender is None:
                message = ActiveGrant(held.request, held.grant)
                self._standby.receive(self._node.name, message)
            else:
                self._report_to_lender(held.lender, held)

    def _report_to_lender(self, lender: str, held: _HeldGrant) -> None:
        lent = msgspec.structs.replace(held.request, lent=True)
        self._node.send(lender, ActiveGrant(lent, held.grant))

    def _dated(self, request: SlotRequest, requested_at: float) -> SlotRequest:
        """Return the request as of now.

        If instances lend each other slots, its times are those that are left, since it
        may go to several of them one after the other.
        """
        now = self._node.now()
        if not self._lends_slots:
            return msgspec.structs.replace(request, asked_at=now)
        waited_ms = int((now - requested_at) * _MS_PER_SECOND)
        return msgspec.structs.replace(
            request,
            asked_at=now,
            deadline_ms=_remaining(request.deadline_ms, waited_ms),
            start_within_ms=_remaining(request.start_within_ms, waited_ms),
            first_token_within_ms=_remaining(request.first_token_within_ms, waited_ms),
            leaves_within_ms=_remaining(request.leaves_within_ms, waited_ms),
        )

    def _send_request(self, request: SlotRequest, requested_at: float) -> None:
        dated = self._dated(request, requested_at)
        if self.uses_standby:
            self._standby.receive(self._node.name, dated)
        else:
            self._send_to_dispatcher(request.service, dated)

    def _lacks_dispatcher(self, request: SlotRequest, waited_ms: float) -> bool:
        """Return whether the request waited too long while no dispatcher is known.

        A dispatcher that is lost for a whole lease rarely returns soon, and callers may
        be served by another instance, so they are told at once.
        """
        if self._node.dispatcher_of(request.service) is not None:
            return False
        if self.uses_standby:
            return True
        return waited_ms > self._node.settings.dispatch.slot_timeout_ms

    def _return_unclaimed(self, grant: SlotGrant) -> None:
        """Free the slot of a late grant, which no task waits for any more.

        A repeated message for a grant in use is ignored. The service is the part of
        the request identifier before the colon.
        """
        service = grant.request_id.partition(":")[0]
        if grant.grant_id in self._grants:
            return
        message = SlotWithdraw(service, grant.request_id)
        self._notify_dispatchers(service, message)

    def _notify_lender(self, grant_id: str, message: DispatcherMessage) -> None:
        """Notify the instance that lent a slot, if another one did."""
        held = self._grants.get(grant_id)
        if held is not None and held.lender is not None:
            self._report_lender(held.lender, held.request.service)
            self._node.send(held.lender, message)

    def _notify_dispatchers(self, service: str, message: DispatcherMessage) -> None:
        """Notify the dispatcher and the standby; one of them knows the request."""
        if self._standby is not None:
            self._standby.receive(self._node.name, message)
        self._send_to_dispatcher(service, message)

    def _send_to_dispatcher(self, service: str, message: DispatcherMessage) -> None:
        dispatcher = self._node.dispatcher_of(service)
        if dispatcher is not None:
            self._node.send(dispatcher, message)


def _is_wrong_dispatcher(answer: object) -> bool:
    return (
        isinstance(answer, SlotRefusal)
        and answer.reason is RefusalReason.NOT_DISPATCHER
    )


def _remaining(limit_ms: int, waited_ms: int) -> int:
    """Return what is left of a time limit, 0 if there is none."""
    return max(1, limit_ms - waited_ms) if limit_ms else 0
