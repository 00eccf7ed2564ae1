"""Overload control: wait estimates, load shedding and preemption by tier."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import cache

from sassafraspin.admission import Limits, WaitingQueue, WaitingRequest
from sassafraspin.dispatch.grants import Grant, GrantTable
from sassafraspin.dispatch.late_requests import LateRequests
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

__all__ = ["OverloadControl"]

_MIN_RETRY_MS = 200
_MAX_RETRY_MS = 30_000
_LATE_SCAN_SECONDS = 0.05
_PREEMPTION_SCAN_REQUESTS = 64

_OVERTAKEN_SHARE = 0.7
"""Share of the time until its latest start for which a late request may wait, though it
was expected to start sooner. A caller with a long deadline is thus served after a peak,
and one with a short deadline has time left to come back."""


class OverloadControl:
    """Refuses, sheds and preempts requests so that higher tiers are served first.

    A request is not shed while a running request of a lower tier can be cancelled
    instead.

    Parameters
    ----------
    settings : DispatchSettings
        Maximum length of the queue.
    limits : Limits
        Limits of the client accounts.
    queue : WaitingQueue
        Requests waiting for a slot.
    grants : GrantTable
        Slots in use.
    servers : ServerTable
        Backend servers.
    send : callable
        Sends a message to an entry instance by name.
    discovery_ends_at : float or None
        Monotonic time until which unknown servers may still announce themselves;
        ``None`` if the servers were known from the start.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        limits: Limits,
        queue: WaitingQueue,
        grants: GrantTable,
        servers: ServerTable,
        send: Callable[[str, DispatchMessage], None],
        discovery_ends_at: float | None,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._queue = queue
        self._grants = grants
        self._servers = servers
        self._send = send
        self._discovery_ends_at = (
            -math.inf if discovery_ends_at is None else discovery_ends_at
        )
        self._next_late_scan = 0.0
        self._late_requests = LateRequests()

    def is_service_available(self, now: float) -> bool:
        """Return whether a server accepts work or discovery is still running."""
        return self._servers.accepts_work or self.is_discovering(now)

    def is_discovering(self, now: float) -> bool:
        """Return whether unknown servers may still announce themselves.

        During that time the slot count is too low to predict lateness: expected waits
        are 0 and latency objectives are disregarded.
        """
        return now < self._discovery_ends_at

    def is_late_blocked(self, tier: int, now: float) -> bool:
        """Return whether a request of this tier or a higher one timed out recently."""
        return self._late_requests.is_paused(tier, now)

    def record_late_start(self, tier: int) -> None:
        """Record that a late request got a slot."""
        self._late_requests.record_start(tier)

    def expected_wait(
        self, request: SlotRequest, now: float, late: bool = False
    ) -> float:
        """Return the estimated time that a new request waits for a slot, in seconds.

        ``late`` selects the estimate for a request that is queued as late.
        """
        if self.is_discovering(now):
            return 0.0
        free = self._servers.free_slots(now)
        is_bound = request.regions is not None
        if is_bound and not self._servers.has_free_slot_in(request.regions):
            free = 0
        if free > len(self._queue):
            return 0.0
        ahead = self._queue.count_ahead(request, late)
        position = max(0, ahead - free)
        slot_wait = self._slot_wait(position, self._servers.open_slots(now), now)
        return max(slot_wait, self._servers.rate_wait(position, now))

    def _slot_wait(self, position: int, slots: int, now: float) -> float:
        """Return the time until a queue position gets a slot, in seconds."""
        if position < len(self._grants):
            return self._grants.slot_time(position, now) - now
        return self._grants.mean_seconds * (1 + position) / max(slots, 1)

    def enforce_queue_limit(self, now: float) -> None:
        """Shed the last requests of the lowest tiers while the queue is too long.

        If a running request of an even lower tier can be cancelled, it is preempted
        instead. Each preempted slot allows one more request in the queue.
        """
        while (
            len(self._queue)
            > self._settings.waiting_requests + self._grants.revoked_count
        ):
            last = self._queue.last_of_lowest_tier()
            assert last is not None
            candidate = self.preemption_candidate(last.request)
            if candidate is None:
                self.shed(last, RefusalReason.OVERLOADED, now)
            else:
                self._revoke(candidate, now)

    def expire_late(self, now: float) -> None:
        """Refuse requests that missed their latest start; defer those that are late.

        Late ones are refused too while those of their tier are overtaken. If no backend
        server is available, all requests are refused; if none is in some regions, those
        that are bound to these. Nothing is done until a minimum interval since the last
        scan has passed.
        """
        if now < self._next_late_scan:
            return
        self._next_late_scan = now + _LATE_SCAN_SECONDS
        is_discovering = self.is_discovering(now)
        accepts_work_in = cache(self._servers.accepts_work_in)
        for waiting in self._queue:
            if not is_discovering and not accepts_work_in(waiting.request.regions):
                self.shed(waiting, RefusalReason.NO_BACKEND, now)
            elif now > waiting.latest_start:
                self.time_out(waiting, now)
        for waiting in self._queue.newly_late(now):
            if self.is_late_blocked(waiting.request.tier, now):
                self.shed(waiting, RefusalReason.TOO_LATE, now)
            else:
                self._queue.defer(self.as_late(waiting, now))
        self._refuse_overtaken(now)

    def as_late(self, waiting: WaitingRequest, now: float) -> WaitingRequest:
        """Return the request with the time by which it is expected to start."""
        wait = self.expected_wait(waiting.request, now, late=True)
        room = _OVERTAKEN_SHARE * (waiting.latest_start - now)
        expected_by = now + max(wait, room)
        return replace(waiting, expected_by=expected_by)

    def _refuse_overtaken(self, now: float) -> None:
        """Refuse the late requests behind one that did not start when expected.

        The overtaken one waits on; others of its tier and of lower ones may not.
        """
        for waiting in self._queue.queued_late(0):
            tier = waiting.request.tier
            if now <= waiting.expected_by or self.is_late_blocked(tier, now):
                continue
            self._late_requests.record_overtaken(tier, now)
            for other in self._queue.queued_late(tier):
                if other is not waiting:
                    self.shed(other, RefusalReason.TOO_LATE, now)

    def time_out(self, waiting: WaitingRequest, now: float) -> None:
        """Refuse a request that missed its latest start."""
        self._late_requests.record_overtaken(waiting.request.tier, now)
        self.shed(waiting, RefusalReason.TOO_LATE, now)

    def shed(self, waiting: WaitingRequest, reason: RefusalReason, now: float) -> None:
        """Remove a request from the queue and refuse it."""
        request = waiting.request
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
        """Refuse a request; ``retry`` is the retry delay, in seconds."""
        retry_ms = min(max(int(retry * 1000), _MIN_RETRY_MS), _MAX_RETRY_MS)
        refusal = SlotRefusal(
            request.request_id,
            reason,
            retry_ms,
            int(self.expected_wait(request, now) * 1000),
            self._servers.open_slots(now),
            len(self._grants),
            len(self._queue),
        )
        self._send(entry, refusal)

    def preempt_lower_tiers(self, now: float) -> None:
        """Preempt lower tiers for queued requests that would miss their latest start.

        Only the first requests of the queue are considered, to limit the cost.
        """
        if not self._grants.has_cancellable or len(self._queue) == 0:
            return
        free_at = deque(self._grants.slot_times(now))
        # Tiers from which on a search for the regions has found no grant to revoke.
        without_candidate: dict[tuple[str, ...] | None, int] = {}
        for item in self._queue.in_order(_PREEMPTION_SCAN_REQUESTS):
            if free_at and free_at[0] <= item.latest_start:
                free_at.popleft()
                continue
            request = item.request
            if request.tier >= without_candidate.get(request.regions, LOWEST_TIER):
                continue
            candidate = self.preemption_candidate(request)
            if candidate is None:
                without_candidate[request.regions] = request.tier
            else:
                self._revoke(candidate, now)

    def preemption_candidate(self, request: SlotRequest) -> Grant | None:
        """Return the grant to revoke so that a request gets a slot, if there is one.

        Requests that run in an evacuated zone or in other regions are left alone: the
        request could not use their slots.
        """

        def frees_slot(grant: Grant) -> bool:
            backend_id = grant.message.backend_id
            return not self._servers.is_out_of_bounds(backend_id, request.regions)

        return self._grants.preemption_candidate(request.tier, frees_slot)

    def _revoke(self, grant: Grant, now: float) -> None:
        self._grants.revoke(grant, now)
        message = SlotRevoke(grant.request.request_id, grant.grant_id)
        self._send(grant.entry, message)
