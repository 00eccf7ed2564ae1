"""What is done with requests when slots are short."""

from collections import deque
from collections.abc import Callable

from sassafraspin.admission import Limits, WaitingQueue, WaitingRequest
from sassafraspin.dispatch.grants import Grant, GrantTable
from sassafraspin.dispatch.messages import (
    DispatchMessage,
    RefusalReason,
    SlotRefusal,
    SlotRequest,
    SlotRevoke,
)
from sassafraspin.dispatch.servers import ServerTable
from sassafraspin.settings import DispatchSettings

__all__ = ["Shortage"]

_MIN_RETRY_MS = 200
_MAX_RETRY_MS = 30_000
_LATE_SCAN_SECONDS = 0.05
_ROOM_SCAN_REQUESTS = 64

_WARM_UP_SECONDS = 2.0
"""Time in which a new dispatcher waits for backend servers to announce themselves."""


class Shortage:
    """Refuses, sheds and cancels so that higher tiers come first.

    A request of a tier is not shed while running work of a lower tier can be
    cancelled for it.

    Parameters
    ----------
    settings : DispatchSettings
        Bound on the requests that wait.
    limits : Limits
        Limits of the client accounts.
    queue : WaitingQueue
        Requests that wait.
    grants : GrantTable
        Slots that are granted.
    servers : ServerTable
        Backend servers.
    send : callable
        Sends a message to an entry instance by name.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        limits: Limits,
        queue: WaitingQueue,
        grants: GrantTable,
        servers: ServerTable,
        send: Callable[[str, DispatchMessage], None],
        now: float,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._queue = queue
        self._grants = grants
        self._servers = servers
        self._send = send
        self._warm_at = now + _WARM_UP_SECONDS
        self._next_late_scan = 0.0

    def is_served(self, now: float) -> bool:
        """Return whether a server accepts work or may still announce itself."""
        return self._servers.accepts_work or now < self._warm_at

    def expected_wait(self, request: SlotRequest, now: float) -> float:
        """Return how long a new request would wait for a slot."""
        slots = self._servers.open_slots
        if slots == 0 and now < self._warm_at:
            return 0.0
        free = slots - len(self._grants)
        if free > len(self._queue):
            return 0.0
        ahead = self._queue.count_ahead(request.tier, request.client_account)
        return self._slot_wait(max(0, ahead - max(free, 0)), slots, now)

    def _slot_wait(self, position: int, slots: int, now: float) -> float:
        """Return the time until so many slots and one more are free again."""
        times = self._grants.slot_times(now)
        if position < len(times):
            return times[position] - now
        running = self._grants.remaining_seconds(now) / max(len(times), 1)
        return running * (1 + position) / max(slots, 1)

    def bound_queue(self, now: float) -> None:
        """Shed the last requests of the lowest tiers when too many wait.

        While running work of a still lower tier can be cancelled instead, that is
        done; a slot that is being made free lets one more request wait.
        """
        while len(self._queue) > self._settings.waiting_requests + self._grants.revoked:
            last = self._queue.last_of_lowest_tier()
            assert last is not None
            victim = self._grants.victim(last.request.tier)
            if victim is None:
                self.shed(last, RefusalReason.OVERLOADED, now)
            else:
                self._revoke(victim, now)

    def refuse_late(self, now: float) -> None:
        """Refuse waiting requests that can no longer be answered in time."""
        if now < self._next_late_scan:
            return
        self._next_late_scan = now + _LATE_SCAN_SECONDS
        is_served = self.is_served(now)
        for waiting in self._queue:
            if not is_served:
                self.shed(waiting, RefusalReason.NO_BACKEND, now)
            elif now > waiting.latest_start:
                self.shed(waiting, RefusalReason.TOO_LATE, now)

    def shed(self, waiting: WaitingRequest, reason: RefusalReason, now: float) -> None:
        """Refuse a waiting request."""
        request = waiting.request
        self._queue.remove(request.request_id)
        self._limits.withdraw(request)
        wait = self.expected_wait(request, now)
        self.refuse(waiting.entry, request, reason, wait, now)

    def refuse(
        self,
        entry: str,
        request: SlotRequest,
        reason: RefusalReason,
        retry: float,
        now: float,
    ) -> None:
        """Refuse a request; ``retry`` is when to come back, in seconds."""
        retry_ms = min(max(int(retry * 1000), _MIN_RETRY_MS), _MAX_RETRY_MS)
        refusal = SlotRefusal(
            request.request_id,
            reason,
            retry_ms,
            int(self.expected_wait(request, now) * 1000),
            self._servers.open_slots,
            len(self._grants),
            len(self._queue),
        )
        self._send(entry, refusal)

    def make_room(self, now: float) -> None:
        """Cancel running work of lower tiers for requests that would be late."""
        if not self._grants.has_cancellable or len(self._queue) == 0:
            return
        free_at = deque(self._grants.slot_times(now))
        for item in self._queue.in_order(_ROOM_SCAN_REQUESTS):
            if free_at and free_at[0] <= item.latest_start:
                free_at.popleft()
                continue
            victim = self._grants.victim(item.request.tier)
            if victim is not None:
                self._revoke(victim, now)

    def _revoke(self, grant: Grant, now: float) -> None:
        self._grants.revoke(grant, now)
        message = SlotRevoke(grant.request.request_id, grant.grant_id)
        self._send(grant.entry, message)
