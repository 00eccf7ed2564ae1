"""An entry instance's side of dispatch: asking for slots and giving them back."""

from dataclasses import dataclass

import trio

from sassafraspin.daemon.dispatch_duty import DispatchDuty, DispatcherMessage
from sassafraspin.daemon.dispatcher_health import DispatcherHealth
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.replies import ReplyTable
from sassafraspin.dispatch import (
    ActiveGrant,
    HeldGrants,
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
_REPORT_SECONDS = 1.0
_MS_PER_SECOND = 1000

_LONGEST_REPEAT_SECONDS = 0.64
"""Longest time between two questions of a request that is known to wait. A grant that
was lost comes again with the answer; each repeat costs the dispatcher a message."""


@dataclass(frozen=True)
class _AskAgain:
    """Another dispatcher decides from now on, so every waiting request asks again."""


@dataclass
class _Active:
    request: SlotRequest
    grant: SlotGrant
    granted_at: float
    dispatcher: str | None
    scope: trio.CancelScope | None = None
    revoked: bool = False


class SlotClient:
    """Asks the dispatcher of a service for slots.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    standby : DispatchDuty or None
        Decides on this instance while the dispatcher does not answer.
    """

    def __init__(self, node: Node, standby: DispatchDuty | None = None) -> None:
        self._node = node
        self._standby = standby
        self._health = DispatcherHealth(
            node.settings.dispatch.standby_after_ms / _MS_PER_SECOND
        )
        self._replies = ReplyTable()
        self._active: dict[str, _Active] = {}
        self._repeat_seconds = node.settings.dispatch.slot_repeat_ms / _MS_PER_SECOND
        self._used_services: set[str] = set()
        self._next_report_at = 0.0
        self._followed = self._current_dispatchers

    @property
    def _current_dispatchers(self) -> tuple[str | None, int]:
        """Return what decides on who dispatches."""
        return self._node.lease.leader, self._node.view.number

    @property
    def uses_standby(self) -> bool:
        """Return whether requests are decided on here for want of a dispatcher."""
        return self._standby is not None and self._health.is_silent

    def note_dispatcher(self) -> None:
        """Record that the dispatcher is known to act."""
        if not self.uses_standby:
            return
        log_event(DispatcherRegained(self._node.lease.leader))
        self._health.note_answer()
        self._replies.deliver_all(_AskAgain())

    async def acquire(self, request: SlotRequest) -> SlotGrant | SlotRefusal:
        """Return a slot or a refusal, at the latest when the deadline has passed.

        The request is repeated until it is answered, also to another instance when
        the dispatcher changes; the dispatcher knows it by its identity.
        """
        receive = self._replies.open(request.request_id)
        try:
            with trio.move_on_after(request.deadline_ms / 1000):
                answer = await self._ask(request, receive)
                if isinstance(answer, SlotGrant):
                    self._note_grant(request, answer)
                return answer
        finally:
            self._replies.close(request.request_id)
        self.withdraw(request)
        return SlotRefusal(request.request_id, RefusalReason.TOO_LATE, _RETRY_AFTER_MS)

    def _note_grant(self, request: SlotRequest, grant: SlotGrant) -> None:
        """Keep a grant; one of the standby is told to the next dispatcher."""
        dispatcher = None
        if not self.uses_standby:
            dispatcher = self._node.dispatcher_of(request.service)
        now = self._node.now()
        self._active[grant.grant_id] = _Active(request, grant, now, dispatcher)

    def withdraw(self, request: SlotRequest) -> None:
        """Tell the dispatcher that a request no longer waits."""
        message = SlotWithdraw(request.service, request.request_id)
        self._tell_dispatchers(request.service, message)

    def release(self, release: SlotRelease) -> None:
        """Give a slot back."""
        self._used_services.add(release.service)
        self._active.pop(release.grant_id, None)
        self._tell_dispatchers(release.service, release)

    def allow_revocation(self, grant: SlotGrant, scope: trio.CancelScope) -> None:
        """Let a revocation of the grant cancel ``scope``."""
        active = self._active.get(grant.grant_id)
        if active is not None:
            active.scope = scope

    def is_usable(self, grant: SlotGrant) -> bool:
        """Return whether the request may still be sent on the grant.

        A process that was stopped meanwhile must not use it: the backend server
        may have left since.
        """
        active = self._active.get(grant.grant_id)
        if active is None or active.revoked:
            return False
        age_ms = (self._node.now() - active.granted_at) * 1000
        return age_ms < grant.use_within_ms

    def is_revoked(self, grant: SlotGrant) -> bool:
        """Return whether the grant was revoked."""
        active = self._active.get(grant.grant_id)
        return active is not None and active.revoked

    def tick(self) -> None:
        """Tell dispatchers of the slots in use, now and then and after a change."""
        if self._followed != self._current_dispatchers:
            self._followed = self._current_dispatchers
            self._replies.deliver_all(_AskAgain())
        self._hand_over()
        now = self._node.now()
        if now < self._next_report_at:
            return
        self._next_report_at = now + _REPORT_SECONDS
        for service in self._used_services:
            grant_ids = tuple(
                grant_id
                for grant_id, active in self._active.items()
                if active.request.service == service
            )
            self._tell_dispatchers(service, HeldGrants(service, grant_ids))
        self._used_services = {item.request.service for item in self._active.values()}

    def _hand_over(self) -> None:
        """Tell a new dispatcher of the slots that an older one granted."""
        if self.uses_standby:
            return
        for active in self._active.values():
            dispatcher = self._node.dispatcher_of(active.request.service)
            if dispatcher is not None and dispatcher != active.dispatcher:
                active.dispatcher = dispatcher
                self._node.send(dispatcher, ActiveGrant(active.request, active.grant))

    def receive(
        self,
        source: str,
        message: SlotGrant | SlotRefusal | SlotRevoke | SlotWaiting | UnknownGrants,
    ) -> None:
        """Handle a message of a dispatcher."""
        if source != self._node.name and not _is_wrong_dispatcher(message):
            self.note_dispatcher()
        match message:
            case SlotGrant():
                if not self._replies.deliver(message.request_id, message):
                    self._give_back_unwanted(message)
            case SlotRefusal():
                self._replies.deliver(message.request_id, message)
            case SlotWaiting():
                self._replies.deliver(message.request_id, message)
            case UnknownGrants():
                self._describe_grants(source, message)
            case SlotRevoke():
                active = self._active.get(message.grant_id)
                if active is not None and active.scope is not None:
                    active.revoked = True
                    active.scope.cancel()

    def _describe_grants(self, dispatcher: str, unknown: UnknownGrants) -> None:
        for grant_id in unknown.grant_ids:
            active = self._active.get(grant_id)
            if active is None:
                continue
            message = ActiveGrant(active.request, active.grant)
            if self._standby is not None and dispatcher == self._node.name:
                self._standby.receive(dispatcher, message)
            self._node.send(dispatcher, message)

    async def _ask(
        self, request: SlotRequest, receive: trio.MemoryReceiveChannel
    ) -> SlotGrant | SlotRefusal:
        asked_at = unanswered_since = self._node.now()
        repeat_seconds = self._repeat_seconds
        while True:
            self._ask_once(request)
            is_heard = False
            with trio.move_on_after(repeat_seconds):
                answer = await receive.receive()
                while isinstance(answer, SlotWaiting):
                    is_heard = True
                    answer = await receive.receive()
                if isinstance(answer, _AskAgain):
                    unanswered_since = self._node.now()
                    repeat_seconds = self._repeat_seconds
                    continue
                if not _is_wrong_dispatcher(answer):
                    return answer
                await trio.sleep_forever()
            now = self._node.now()
            if is_heard:
                unanswered_since = now
                repeat_seconds = min(2 * repeat_seconds, _LONGEST_REPEAT_SECONDS)
            else:
                repeat_seconds = self._repeat_seconds
                if not self.uses_standby:
                    self._note_silence(request.service, now - unanswered_since)
            if self._is_unreachable(request, (now - asked_at) * _MS_PER_SECOND):
                self.withdraw(request)
                return SlotRefusal(
                    request.request_id, RefusalReason.NO_BACKEND, _RETRY_AFTER_MS
                )

    def _note_silence(self, service: str, seconds: float) -> None:
        self._health.note_waiting(seconds)
        if self.uses_standby:
            dispatcher = self._node.dispatcher_of(service)
            log_event(DispatcherLost(dispatcher, int(seconds * _MS_PER_SECOND)))
            self._replies.deliver_all(_AskAgain())

    def _ask_once(self, request: SlotRequest) -> None:
        if self.uses_standby:
            self._standby.receive(self._node.name, request)
        else:
            self._send_to_dispatcher(request.service, request)

    def _is_unreachable(self, request: SlotRequest, waited_ms: float) -> bool:
        """Return whether no dispatcher can be asked for longer than allowed."""
        if self._node.dispatcher_of(request.service) is not None:
            return False
        return waited_ms > self._node.settings.dispatch.slot_timeout_ms

    def _give_back_unwanted(self, grant: SlotGrant) -> None:
        """Return a slot that came too late; its request id names the service."""
        service = grant.request_id.partition(":")[0]
        if grant.grant_id in self._active:
            return
        message = SlotWithdraw(service, grant.request_id)
        self._tell_dispatchers(service, message)

    def _tell_dispatchers(self, service: str, message: DispatcherMessage) -> None:
        """Tell the dispatcher and the standby, one of which knows of the request."""
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
