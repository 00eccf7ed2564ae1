"""Dispatcher client of an entry instance: acquires and releases slots."""

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
from sassafraspin.telemetry.events import (
    DispatcherLost,
    DispatcherRegained,
    log_event,
)

__all__ = ["SlotClient"]

_RETRY_AFTER_MS = 1_000
_REPORT_INTERVAL_SECONDS = 1.0
_MS_PER_SECOND = 1000

_MAX_REPEAT_SECONDS = 0.64
"""Longest interval between repeats of a queued request. A repeat recovers a lost grant,
but costs the dispatcher a message."""


@dataclass(frozen=True)
class _DispatcherChanged:
    """Makes waiting requests send again: the dispatcher may be another one now."""


@dataclass
class _HeldGrant:
    """A grant in use.

    ``dispatcher`` is the instance that knows of the grant, ``None`` if the standby was
    in use or no dispatcher was known. ``scope`` is cancelled if the grant is revoked.
    """

    request: SlotRequest
    grant: SlotGrant
    granted_at: float
    dispatcher: str | None
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
    """

    def __init__(self, node: Node, standby: DispatchService | None = None) -> None:
        self._node = node
        self._standby = standby
        self._health = DispatcherHealth(
            node.settings.dispatch.standby_after_ms / _MS_PER_SECOND
        )
        self._replies = PendingReplies()
        self._grants: dict[str, _HeldGrant] = {}
        self._repeat_seconds = node.settings.dispatch.slot_repeat_ms / _MS_PER_SECOND
        self._services_to_report: set[str] = set()
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
        if not self.uses_standby:
            return
        log_event(DispatcherRegained(self._node.lease.leader))
        self._health.record_answer()
        self._replies.deliver_all(_DispatcherChanged())

    async def acquire(self, request: SlotRequest) -> SlotGrant | SlotRefusal:
        """Return a grant or a refusal, at the latest when the deadline passes.

        The request is repeated until it is answered, and sent to the new dispatcher
        if that changes. Dispatchers deduplicate it by its identifier.
        """
        receive = self._replies.open(request.request_id)
        try:
            with trio.move_on_after(request.deadline_ms / 1000):
                answer = await self._request_until_decided(request, receive)
                if isinstance(answer, SlotGrant):
                    self._record_grant(request, answer)
                return answer
        finally:
            self._replies.close(request.request_id)
        self.withdraw(request)
        return SlotRefusal(request.request_id, RefusalReason.TOO_LATE, _RETRY_AFTER_MS)

    def _record_grant(self, request: SlotRequest, grant: SlotGrant) -> None:
        """Track a grant; grants of the standby are reported to the next dispatcher."""
        dispatcher = None
        if not self.uses_standby:
            dispatcher = self._node.dispatcher_of(request.service)
        now = self._node.now()
        self._grants[grant.grant_id] = _HeldGrant(request, grant, now, dispatcher)

    def withdraw(self, request: SlotRequest) -> None:
        """Withdraw a request from the dispatcher's queue."""
        message = SlotWithdraw(request.service, request.request_id)
        self._notify_dispatchers(request.service, message)

    def release(self, release: SlotRelease) -> None:
        """Release a slot and report the result."""
        self._services_to_report.add(release.service)
        self._grants.pop(release.grant_id, None)
        self._notify_dispatchers(release.service, release)

    def report_rate_limit(self, notice: RateLimitNotice) -> None:
        """Report a rate limit that the dispatcher did not know, or that has ended."""
        self._notify_dispatchers(notice.service, notice)

    def report_first_token(self, notice: FirstTokenNotice) -> None:
        """Report the first token of a request whose dispatcher waits for it."""
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
        if now < self._next_report_at:
            return
        self._next_report_at = now + _REPORT_INTERVAL_SECONDS
        for service in self._services_to_report:
            grant_ids = tuple(
                grant_id
                for grant_id, held in self._grants.items()
                if held.request.service == service
            )
            self._notify_dispatchers(service, HeldGrants(service, grant_ids))
        self._services_to_report = {
            item.request.service for item in self._grants.values()
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
        match message:
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

    def _report_unknown_grants(self, dispatcher: str, unknown: UnknownGrants) -> None:
        for grant_id in unknown.grant_ids:
            held = self._grants.get(grant_id)
            if held is None:
                continue
            message = ActiveGrant(held.request, held.grant)
            if self._standby is not None and dispatcher == self._node.name:
                self._standby.receive(dispatcher, message)
            self._node.send(dispatcher, message)

    async def _request_until_decided(
        self, request: SlotRequest, receive: trio.MemoryReceiveChannel
    ) -> SlotGrant | SlotRefusal:
        requested_at = unanswered_since = self._node.now()
        repeat_seconds = self._repeat_seconds
        while True:
            self._send_request(request)
            is_acknowledged = False
            with trio.move_on_after(repeat_seconds):
                answer = await receive.receive()
                while isinstance(answer, SlotWaiting) or self._is_outdated(answer):
                    is_acknowledged |= isinstance(answer, SlotWaiting)
                    answer = await receive.receive()
                if isinstance(answer, _DispatcherChanged):
                    unanswered_since = self._node.now()
                    repeat_seconds = self._repeat_seconds
                    continue
                return answer
            now = self._node.now()
            if is_acknowledged:
                unanswered_since = now
                repeat_seconds = min(2 * repeat_seconds, _MAX_REPEAT_SECONDS)
            else:
                repeat_seconds = self._repeat_seconds
                if not self.uses_standby:
                    self._record_silence(request.service, now - unanswered_since)
            if self._lacks_dispatcher(request, (now - requested_at) * _MS_PER_SECOND):
                self.withdraw(request)
                return SlotRefusal(
                    request.request_id, RefusalReason.NO_BACKEND, _RETRY_AFTER_MS
                )

    def _is_outdated(self, answer: object) -> bool:
        """Return whether an answer does not count: it came too late or from another."""
        if isinstance(answer, SlotGrant):
            return self._has_ended(answer)
        return _is_wrong_dispatcher(answer)

    def _record_silence(self, service: str, seconds: float) -> None:
        self._health.record_silence(seconds)
        if self.uses_standby:
            dispatcher = self._node.dispatcher_of(service)
            log_event(DispatcherLost(dispatcher, int(seconds * _MS_PER_SECOND)))
            self._node.lease.search_leader()
            self._replies.deliver_all(_DispatcherChanged())

    def _send_request(self, request: SlotRequest) -> None:
        dated = msgspec.structs.replace(request, asked_at=self._node.now())
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
