"""Requests that wait for a slot: by tier, and fair between client accounts."""

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

from sassafraspin.dispatch.messages import LOWEST_TIER, SlotRequest

__all__ = ["WaitingQueue", "WaitingRequest"]


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
    since : float
        Monotonic time at which it began to wait.
    """

    entry: str
    request: SlotRequest
    seconds: float
    deadline: float
    start_by: float = math.inf
    since: float = 0.0

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
        self._counts: list[dict[str, int]] = [{} for _ in range(LOWEST_TIER + 1)]
        self._counter = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._waiting.values()))

    def count_ahead(self, tier: int, account: str) -> int:
        """Return how many requests go before a new one.

        Parameters
        ----------
        tier : int
            Tier of the request.
        account : str
            Client account that sends it.

        Returns
        -------
        int
            Requests of higher tiers, of the account itself, and of each other account
            in the tier as far as its turn comes first.
        """
        higher = sum(sum(counts.values()) for counts in self._counts[:tier])
        own = self._counts[tier].get(account, 0)
        others = sum(
            min(count, own + 1)
            for name, count in self._counts[tier].items()
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
        counts = self._counts[tier]
        counts[account] = counts.get(account, 0) + 1

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request wherever it stands."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return None
        del self._starts[request_id]
        self._uncount(waiting)
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
                self._account_time[tier].clear()
        return ordered

    def last_of_lowest_tier(self) -> WaitingRequest | None:
        """Return the request that is shed first."""
        for heap in reversed(self._heaps):
            live = [item for item in heap if item[2] in self._waiting]
            if live:
                return self._waiting[max(live)[2]]
        return None

    def _uncount(self, waiting: WaitingRequest) -> None:
        counts = self._counts[waiting.request.tier]
        account = waiting.request.client_account
        counts[account] -= 1
        if not counts[account]:
            del counts[account]
