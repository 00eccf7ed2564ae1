"""Admission control: queue a new request, queue it as late, or refuse it.

Under overload, a request that cannot start within its latency objective is still
useful to its caller. It is queued behind the requests that are on time, provided that
it is likely to meet its deadline. A request that is expected to miss its deadline, or
to be abandoned by its caller, is refused at once with a retry delay.
"""

import heapq
import math

from sassafraspin.admission import (
    LimitExceeded,
    Limits,
    WaitingQueue,
    WaitingRequest,
)
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.messages import RefusalReason, SlotRequest
from sassafraspin.dispatch.overload import OverloadControl
from sassafraspin.dispatch.servers import ServerTable
from sassafraspin.dispatch.trials import Trials

__all__ = ["Admission"]

_MS_PER_SECOND = 1000

_DEFAULT_RETRY_SECONDS = 1.0
"""Retry delay if no backend server may be chosen or the retry budget is exhausted."""

_MAX_WAITING_COPIES = 4
"""Equal requests in the queue, while they are suspected of a crash."""

_REFUSAL_DELIVERY_MS = 120
"""Time reserved for a refusal to reach the caller: up to 50 ms until the dispatcher
decides (the minimum interval of its scan for late requests), and the rest for
transmission across two zones with one retransmission."""

_MAX_REFUSAL_SHARE = 0.2
"""Largest share of a short deadline that is reserved for a refusal."""

_LATE_WAIT_FACTOR = 2.0
"""Factor applied to the estimated wait of a late request, because on-time requests
that arrive later are served before it."""

_MIN_BORROWING_SECONDS = 0.24
_MAX_BORROWING_SECONDS = 0.8
_BORROWING_SHARE = 2 / 3
"""A request that only another instance can serve is refused after two thirds of the
time in which it has to be sent, which is half of its latency objective, so that its
caller can be served elsewhere. Three instances that do not answer within 80 ms fit in
the shortest time. The longest is twice the election timeout, in which a lost leader is
replaced."""


class Admission:
    """Admits requests to the queue of a service.

    Parameters
    ----------
    limits : Limits
        Limits of the client accounts.
    budget : RetryBudget
        Limits retries on another backend server.
    queue : WaitingQueue
        Requests waiting for a slot.
    servers : ServerTable
        Backend servers.
    overload : OverloadControl
        Estimates waiting times and sends refusals.
    trials : Trials
        Decides when requests may run that may have crashed servers.
    lends_slots : bool
        Whether other instances may lend a slot to a request that is not served here.
        Such a request is then kept and stays charged until that is known.
    """

    def __init__(
        self,
        limits: Limits,
        budget: RetryBudget,
        queue: WaitingQueue,
        servers: ServerTable,
        overload: OverloadControl,
        trials: Trials,
        lends_slots: bool = False,
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._queue = queue
        self._servers = servers
        self._overload = overload
        self._trials = trials
        self._lends_slots = lends_slots
        self._unserved: dict[str, WaitingRequest] = {}

    def admit(self, entry: str, request: SlotRequest, now: float) -> None:
        """Queue a request or refuse it.

        Parameters
        ----------
        entry : str
            Name of the entry instance that sent the request.
        request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.
        """
        refusal = self._refusal(request, now)
        if refusal is not None:
            reason, retry = refusal
            self._overload.refuse(entry, request, reason, retry, now)
            return
        waiting = self.waiting(entry, request, now)
        if self._lends_slots and self._has_no_server(request, now):
            self._unserved[request.request_id] = waiting
            return
        if self._is_on_time(waiting, now):
            self._queue.add(waiting)
        else:
            wait = self._overload.expected_wait(request, now, late=True)
            may_wait = self._may_wait_late(waiting, wait, now)
            if not may_wait and self._lends_slots:
                self._unserved[request.request_id] = waiting
                return
            if not may_wait:
                self._limits.withdraw(request)
                self._overload.refuse(entry, request, RefusalReason.TOO_LATE, wait, now)
                return
            self._queue.add(self._overload.as_late(waiting, now), late=True)
        self._overload.enforce_queue_limit(now)

    def _refusal(
        self, request: SlotRequest, now: float
    ) -> tuple[RefusalReason, float] | None:
        """Return the reason and retry delay in seconds if the request is refused.

        Otherwise return ``None``; the request is then counted against the limits of
        its account. A retry is counted against the retry budget even if an account
        limit is exceeded.
        """
        if not self._lends_slots and self._has_no_server(request, now):
            return RefusalReason.NO_BACKEND, _DEFAULT_RETRY_SECONDS
        if self._trials.is_suspect(request):
            pause = self._trials.pause(request, now)
            if pause > 0 or self._waiting_copies(request) >= _MAX_WAITING_COPIES:
                return RefusalReason.ON_TRIAL, max(pause, _DEFAULT_RETRY_SECONDS)
        if request.tries and not self._budget.try_acquire(now):
            return RefusalReason.RETRY_BUDGET, _DEFAULT_RETRY_SECONDS
        decision = self._limits.admit(request, now)
        if isinstance(decision, LimitExceeded):
            return RefusalReason.ACCOUNT_LIMIT, decision.retry_after
        return None

    def is_unserved(self, request_id: str) -> bool:
        """Return whether only another instance can serve a request."""
        return request_id in self._unserved

    def take_unserved(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that only another instance can serve, and return it."""
        return self._unserved.pop(request_id, None)

    def first_unserved(self, limit: int) -> list[WaitingRequest]:
        """Return the first requests that only another instance can serve, by tier."""
        return heapq.nsmallest(
            limit,
            self._unserved.values(),
            key=lambda item: (item.request.tier, item.queued_at),
        )

    def expire_unserved(self, now: float) -> None:
        """Refuse the requests to which no other instance has lent a slot in time."""
        for waiting in list(self._unserved.values()):
            ends_at = waiting.queued_at + _borrowing_seconds(waiting.request)
            if now >= min(ends_at, waiting.latest_start):
                self._refuse_unserved(waiting, now)

    def _refuse_unserved(self, waiting: WaitingRequest, now: float) -> None:
        request = waiting.request
        del self._unserved[request.request_id]
        self._limits.withdraw(request)
        reason, retry = RefusalReason.NO_BACKEND, _DEFAULT_RETRY_SECONDS
        if not self._has_no_server(request, now):
            reason = RefusalReason.TOO_LATE
            retry = self._overload.expected_wait(request, now, late=True)
        self._overload.refuse(waiting.entry, request, reason, retry, now)

    def _has_no_server(self, request: SlotRequest, now: float) -> bool:
        """Return whether none of the servers known here may be used."""
        is_available = self._overload.is_service_available(now)
        return not is_available or self._servers.avoids_all(request)

    def _waiting_copies(self, request: SlotRequest) -> int:
        """Return the number of equal requests in the queue."""
        signature = request.signature
        return sum(item.request.signature == signature for item in self._queue)

    def waiting(self, entry: str, request: SlotRequest, now: float) -> WaitingRequest:
        """Return the queue item for a request.

        During discovery, lateness cannot be predicted, so the latency objective is
        disregarded.
        """
        start_by = disconnects_at = math.inf
        if request.start_within_ms and not self._overload.is_discovering(now):
            start_by = now + self._start_within(request)
        if request.leaves_within_ms:
            leaves_ms = request.leaves_within_ms - _REFUSAL_DELIVERY_MS
            disconnects_at = now + max(0, leaves_ms) / _MS_PER_SECOND
        refusal_ms = min(_REFUSAL_DELIVERY_MS, _MAX_REFUSAL_SHARE * request.deadline_ms)
        return WaitingRequest(
            entry,
            request,
            self._servers.fastest_seconds(request),
            now + request.deadline_ms / _MS_PER_SECOND,
            start_by,
            now,
            disconnects_at,
            self._servers.fastest_first_token(request),
            now + max(request.deadline_ms - refusal_ms, 0) / _MS_PER_SECOND,
        )

    def _start_within(self, request: SlotRequest) -> float:
        """Return the time within which a request has to start, in seconds.

        It is on time then. A request that is too large to be on time even if it starts
        at once keeps the time that its entry instance has set, so that size alone does
        not make it late.
        """
        start_within = request.start_within_ms / _MS_PER_SECOND
        objective = request.first_token_within_ms / _MS_PER_SECOND
        room = objective - self._servers.typical_first_token(request)
        return min(start_within, room) if room > 0 else start_within

    def _is_on_time(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether the request is expected to start in time.

        The start is limited by the latency objective (``start_by``), and by the
        deadline and the disconnection of the caller (``latest_start``). If a running
        request of a lower tier can be preempted, its slot becomes free at once, so only
        ``latest_start`` is checked.
        """
        request = waiting.request
        if now <= waiting.latest_start and self._overload.preemption_candidate(request):
            return True
        start_by = min(waiting.start_by, waiting.latest_start)
        return now + self._overload.expected_wait(request, now) <= start_by

    def _may_wait_late(self, waiting: WaitingRequest, wait: float, now: float) -> bool:
        """Return whether the request may be queued as late.

        After the wait, it has to be likely to start by ``latest_start``. If
        ``start_by`` is no earlier than that, ``_is_on_time`` has already found that it
        is not. No request is queued as late for a while after a request of the same or
        a higher tier timed out in the queue.
        """
        if waiting.start_by >= waiting.latest_start:
            return False
        if self._overload.is_late_blocked(waiting.request.tier, now):
            return False
        return now + _LATE_WAIT_FACTOR * wait <= waiting.latest_start


def _borrowing_seconds(request: SlotRequest) -> float:
    """Return how long other instances are asked before the request is refused."""
    share = _BORROWING_SHARE * request.start_within_ms / _MS_PER_SECOND
    return min(max(share, _MIN_BORROWING_SECONDS), _MAX_BORROWING_SECONDS)
