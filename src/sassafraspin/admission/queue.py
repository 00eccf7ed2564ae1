"""Requests that wait for a slot: by tier, and fair between client accounts."""

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

from sassafraspin.dispatch.messages import SlotRequest
from sassafraspin.profiles import LOWEST_TIER

__all__ = ["WaitingQueue", "WaitingRequest"]

_NEGLIGIBLE_SECONDS = 1e-6


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    entry : str
        Entry instance that asked.
    request : SlotRequest
        What it asked for.
    seconds : float
        Expected time at a backend server.
    deadline : float
        Monotonic time at which the whole answer is due, in seconds.
    start_by : float
        Monotonic time by which it has to be sent, whatever its deadline is.
    """

    entry: str
    request: SlotRequest
    seconds: float
    deadline: float
    start_by: float = math.inf

    @property
    def latest_start(self) -> float:
        """Return the time after which the answer would be late."""
        return min(self.deadline - self.seconds, self.start_by)


class WaitingQueue:
    """Orders waiting requests by tier, then by start-time fair queueing.

    Each client account in a tier has a virtual clock that advances by the cost of
    its requests, so an account that sends a burst waits behind its own requests and
    not before those of others.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}
        self._starts: dict[str, float] = {}
        self._heaps: list[list[tuple[float, int, str]]] = [
            [] for _ in range(LOWEST_TIER + 1)
        ]
        self._virtual_time = [0.0] * (LOWEST_TIER + 1)
        self._account_time: list[dict[str, float]] = [
            {} for _ in range(LOWEST_TIER + 1)
        ]
        self._work: list[dict[str, float]] = [{} for _ in range(LOWEST_TIER + 1)]
        self._counter = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._waiting.values()))

    def seconds_ahead(self, tier: int, account: str, seconds: float) -> float:
        """Return the expected work that goes before a new request.

        Parameters
        ----------
        tier : int
            Tier of the request.
        account : str
            Client account that sends it.
        seconds : float
            Its expected time.

        Returns
        -------
        float
            Work of higher tiers, of the account itself, and of each other account
            in the tier as far as its turn comes first.
        """
        higher = sum(sum(work.values()) for work in self._work[:tier])
        own = self._work[tier].get(account, 0.0)
        others = sum(
            min(work, own + seconds)
            for name, work in self._work[tier].items()
            if name != account
        )
        return higher + own + others

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        request = waiting.request
        tier = request.tier
        times = self._account_time[tier]
        account = request.client_account
        start = max(self._virtual_time[tier], times.get(account, 0.0))
        times[account] = start + waiting.seconds
        self._counter += 1
        heapq.heappush(self._heaps[tier], (start, self._counter, request.request_id))
        self._waiting[request.request_id] = waiting
        self._starts[request.request_id] = start
        work = self._work[tier]
        work[account] = work.get(account, 0.0) + waiting.seconds

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request wherever it stands."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return None
        del self._starts[request_id]
        self._forget_work(waiting)
        return waiting

    def serve(self, request_id: str) -> None:
        """Remove a request that gets its slot; its account's turn has passed."""
        waiting = self._waiting[request_id]
        tier = waiting.request.tier
        start = self._starts[request_id]
        self._virtual_time[tier] = max(self._virtual_time[tier], start)
        self.remove(request_id)

    def in_order(self, limit: int) -> list[WaitingRequest]:
        """Return the first ``limit`` requests in the order they are served."""
        ordered: list[WaitingRequest] = []
        for tier, heap in enumerate(self._heaps):
            taken = []
            while heap and len(ordered) < limit:
                item = heapq.heappop(heap)
                waiting = self._waiting.get(item[2])
                if waiting is not None:
                    taken.append(item)
                    ordered.append(waiting)
            for item in taken:
                heapq.heappush(heap, item)
            if not heap:
                self._work[tier].clear()
                self._account_time[tier].clear()
        return ordered

    def last_of_lowest_tier(self) -> WaitingRequest | None:
        """Return the request that is shed first."""
        for heap in reversed(self._heaps):
            live = [item for item in heap if item[2] in self._waiting]
            if live:
                return self._waiting[max(live)[2]]
        return None

    def _forget_work(self, waiting: WaitingRequest) -> None:
        work = self._work[waiting.request.tier]
        account = waiting.request.client_account
        left = work.get(account, 0.0) - waiting.seconds
        if left > _NEGLIGIBLE_SECONDS:
            work[account] = left
        else:
            work.pop(account, None)
