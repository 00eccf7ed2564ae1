"""Whether a new request waits for a slot, on time or late, or is refused at once.

This answers a load above what the servers can carry. A request that cannot start
within its objective is still worth an answer to its caller, so it waits behind those
that can as long as its deadline is likely to be met. Only one that could not be
answered at all, before its deadline or before its caller leaves, is refused at once and
with the time to come back.
"""

import math

from sassafraspin.admission import (
    LimitExceeded,
    Limits,
    WaitingQueue,
    WaitingRequest,
)
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.grants import GrantTable
from sassafraspin.dispatch.messages import RefusalReason, SlotRequest
from sassafraspin.dispatch.servers import ServerTable
from sassafraspin.dispatch.shortage import Shortage

__all__ = ["Admission"]

_MS_PER_SECOND = 1000
_NO_BACKEND_RETRY_SECONDS = 1.0

_REFUSAL_MS = 120
"""Time that a refusal needs to reach a caller before it leaves: it is decided on within
50 ms, and the rest is the way over two zones with one repeat."""

_OVERTAKEN_FACTOR = 2.0
"""A late request is overtaken by requests that come after it, so it is expected to
wait this many times as long as the requests ahead of it need."""


class Admission:
    """Admits requests to the queue of a service.

    Parameters
    ----------
    limits : Limits
        Limits of the client accounts.
    budget : RetryBudget
        Bounds what is sent to a further server.
    queue : WaitingQueue
        Requests that wait.
    grants : GrantTable
        Slots that are granted.
    servers : ServerTable
        Backend servers.
    shortage : Shortage
        Estimates waits and sends refusals.
    """

    def __init__(
        self,
        limits: Limits,
        budget: RetryBudget,
        queue: WaitingQueue,
        grants: GrantTable,
        servers: ServerTable,
        shortage: Shortage,
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._queue = queue
        self._grants = grants
        self._servers = servers
        self._shortage = shortage

    def admit(self, entry: str, request: SlotRequest, now: float) -> None:
        """Let a request wait, or refuse it."""
        refusal = self._refusal(request, now)
        if refusal is not None:
            reason, retry = refusal
            self._shortage.refuse(entry, request, reason, retry, now)
            return
        waiting = self._waiting(entry, request, now)
        if self._is_on_time(waiting, now):
            self._queue.add(waiting)
        else:
            wait = self._shortage.expected_wait(request, now, late=True)
            if not self._may_wait_late(waiting, wait, now):
                self._limits.withdraw(request)
                self._shortage.refuse(entry, request, RefusalReason.TOO_LATE, wait, now)
                return
            self._queue.add(waiting, late=True)
        self._shortage.bound_queue(now)

    def _refusal(
        self, request: SlotRequest, now: float
    ) -> tuple[RefusalReason, float] | None:
        """Return why no request like this is taken now and when to come back."""
        if not self._shortage.is_served(now):
            return RefusalReason.NO_BACKEND, _NO_BACKEND_RETRY_SECONDS
        if request.tries and not self._budget.take(now):
            return RefusalReason.RETRY_BUDGET, _NO_BACKEND_RETRY_SECONDS
        decision = self._limits.admit(request, now)
        if isinstance(decision, LimitExceeded):
            return RefusalReason.ACCOUNT_LIMIT, decision.retry_after
        return None

    def _waiting(self, entry: str, request: SlotRequest, now: float) -> WaitingRequest:
        start_by = leaves_at = math.inf
        if request.start_within_ms and not self._shortage.is_learning(now):
            start_by = now + request.start_within_ms / _MS_PER_SECOND
        if request.leaves_within_ms:
            leaves_ms = request.leaves_within_ms - _REFUSAL_MS
            leaves_at = now + max(0, leaves_ms) / _MS_PER_SECOND
        return WaitingRequest(
            entry,
            request,
            self._servers.fastest_seconds(request),
            now + request.deadline_ms / _MS_PER_SECOND,
            start_by,
            now,
            leaves_at,
            self._servers.fastest_first_token(request),
        )

    def _is_on_time(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether it is expected to start within its objective."""
        request = waiting.request
        if now <= waiting.latest_start and self._grants.victim(request.tier):
            return True
        start_by = min(waiting.start_by, waiting.latest_start)
        return now + self._shortage.expected_wait(request, now) <= start_by

    def _may_wait_late(self, waiting: WaitingRequest, wait: float, now: float) -> bool:
        """Return whether it is likely to be answered by its deadline after a wait."""
        if waiting.start_by >= waiting.latest_start:
            return False
        if self._shortage.is_starved(waiting.request.tier, now):
            return False
        return now + _OVERTAKEN_FACTOR * wait <= waiting.latest_start
