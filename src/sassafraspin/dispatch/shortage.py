"""What is done with requests when slots are short."""

import math
from collections import deque
from collections.abc import Callable

from sassafraspin.admission import Limits, WaitingQueue, WaitingRequest
from sassafraspin.dispatch.grants import Grant, GrantTable
from sassafraspin.dispatch.messages import (
    LOWEST_TIER,
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

_STARVED_SECONDS = 1.0
"""Time after a waiting request got no slot in which those behind it are not let wait
late; long enough that a lasting overload is asked about about once a second."""


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
    learns_until : float or None
        Monotonic time until which servers that are not known yet announce themselves,
        ``None`` if they were known from the start.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        limits: Limits,
        queue: WaitingQueue,
        grants: GrantTable,
        servers: ServerTable,
        send: Callable[[str, DispatchMessage], None],
        learns_until: float | None,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._queue = queue
        self._grants = grants
        self._servers = servers
        self._send = send
        self._learns_until = -math.inf if learns_until is None else learns_until
        self._next_late_scan = 0.0
        self._starved_until = [-math.inf] * (LOWEST_TIER + 1)

    def is_served(self, now: float) -> bool:
        """Return whether a server accepts work or may still announce itself."""
        return self._servers.accepts_work or self.is_learning(now)

    def is_learning(self, now: float) -> bool:
        """Return whether servers that are not known yet may announce themselves.

        Until then the slots are counted too low to tell who would be late.
        """
        return now < self._learns_until

    def is_starved(self, tier: int, now: float) -> bool:
        """Return whether requests of a tier or a higher one waited in vain lately."""
        return any(now < until for until in self._starved_until[: tier + 1])

    def expected_wait(
        self, request: SlotRequest, now: float, late: bool = False
    ) -> float:
        """Return how long a new request would wait for a slot."""
        if self.is_learning(now):
            return 0.0
        slots = self._servers.open_slots
        free = slots - len(self._grants)
        if free > len(self._queue):
            return 0.0
        account = request.client_account
        ahead = self._queue.count_ahead(request.tier, account, late)
        return self._slot_wait(max(0, ahead - max(free, 0)), slots, now)

    def _slot_wait(self, position: int, slots: int, now: float) -> float:
        """Return the time until so many slots and one more are free again."""
        if position < len(self._grants):
            return self._grants.slot_time(position, now) - now
        return self._grants.mean_seconds * (1 + position) / max(slots, 1)

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
        """Refuse what cannot be answered any more, defer what cannot be on time."""
        if now < self._next_late_scan:
            return
        self._next_late_scan = now + _LATE_SCAN_SECONDS
        is_served = self.is_served(now)
        for waiting in self._queue:
            if not is_served:
                self.shed(waiting, RefusalReason.NO_BACKEND, now)
            elif now > waiting.latest_start:
                self.shed(waiting, RefusalReason.TOO_LATE, now)
        self._queue.defer_late(now)

    def shed(self, waiting: WaitingRequest, reason: RefusalReason, now: float) -> None:
        """Refuse a waiting request."""
        request = waiting.request
        if reason is RefusalReason.TOO_LATE:
            self._starved_until[request.tier] = now + _STARVED_SECONDS
        self._queue.remove(request.request_id)
        self._limits.withdraw(request)
        wait = self.expected_wait(request, now, late=True)
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
