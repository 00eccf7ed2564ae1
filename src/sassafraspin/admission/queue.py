"""Requests that wait for a slot: by tier, and fair between client accounts.

In each tier the requests that can still be answered within their objective go before
those that can only be answered late. This answers a load that exceeds the slots for
some seconds: what cannot be on time is served after the peak instead of being refused.
"""

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

from sassafraspin.dispatch.messages import LOWEST_TIER, SlotRequest

__all__ = ["WaitingQueue", "WaitingRequest"]

_RANKS = 2 * (LOWEST_TIER + 1)
"""Each tier has a rank for requests on time and one for late ones."""


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
        Monotonic time by which it has to be sent to be answered within its objective.
    since : float
        Monotonic time at which it began to wait.
    leaves_at : float
        Monotonic time at which its caller leaves unless it has the first token.
    first_seconds : float
        Expected time to the first token at a backend server.
    """

    entry: str
    request: SlotRequest
    seconds: float
    deadline: float
    start_by: float = math.inf
    since: float = 0.0
    leaves_at: float = math.inf
    first_seconds: float = 0.0

    @property
    def latest_start(self) -> float:
        """Return the time after which no answer reaches the caller."""
        return min(self.deadline - self.seconds, self.leaves_at - self.first_seconds)

    def is_late(self, now: float) -> bool:
        """Return whether it can no longer be answered within its objective."""
        return now > self.start_by


class WaitingQueue:
    """Orders waiting requests by tier, lateness, then by start-time fair queueing.

    Each client account in a rank, which is a tier's requests on time or its late
    ones, has a virtual clock that advances by the cost of its requests, so an account
    that sends a burst waits behind its own requests and not before those of others.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}
        self._ranks: dict[str, int] = {}
        self._starts: dict[str, float] = {}
        self._heaps: list[list[tuple[float, int, str]]] = [[] for _ in range(_RANKS)]
        self._virtual_time = [0.0] * _RANKS
        self._account_time: list[dict[str, float]] = [{} for _ in range(_RANKS)]
        self._counts: list[dict[str, int]] = [{} for _ in range(_RANKS)]
        self._counter = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._waiting.values()))

    def count_ahead(self, tier: int, account: str, late: bool = False) -> int:
        """Return how many requests go before a new one.

        Parameters
        ----------
        tier : int
            Tier of the request.
        account : str
            Client account that sends it.
        late : bool
            Whether it can no longer be on time.

        Returns
        -------
        int
            Requests of higher ranks, of the account itself, and of each other account
            in the rank as far as its turn comes first.
        """
        rank = _rank(tier, late)
        higher = sum(sum(counts.values()) for counts in self._counts[:rank])
        own = self._counts[rank].get(account, 0)
        others = sum(
            min(count, own + 1)
            for name, count in self._counts[rank].items()
            if name != account
        )
        return higher + own + others

    def add(self, waiting: WaitingRequest, late: bool = False) -> None:
        """Add a request."""
        request = waiting.request
        rank = _rank(request.tier, late)
        times = self._account_time[rank]
        account = request.client_account
        start = max(self._virtual_time[rank], times.get(account, 0.0))
        times[account] = start + waiting.seconds
        self._counter += 1
        heapq.heappush(self._heaps[rank], (start, self._counter, request.request_id))
        self._waiting[request.request_id] = waiting
        self._ranks[request.request_id] = rank
        self._starts[request.request_id] = start
        counts = self._counts[rank]
        counts[account] = counts.get(account, 0) + 1

    def defer_late(self, now: float) -> None:
        """Put the requests that can no longer be on time behind those that can."""
        for request_id, waiting in list(self._waiting.items()):
            if waiting.is_late(now) and not self._ranks[request_id] % 2:
                self.remove(request_id)
                self.add(waiting, late=True)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request wherever it stands."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return None
        del self._starts[request_id]
        self._uncount(waiting, self._ranks.pop(request_id))
        return waiting

    def serve(self, request_id: str) -> None:
        """Remove a request that gets its slot; its account's turn has passed."""
        rank = self._ranks[request_id]
        start = self._starts[request_id]
        self._virtual_time[rank] = max(self._virtual_time[rank], start)
        self.remove(request_id)

    def in_order(self, limit: int) -> list[WaitingRequest]:
        """Return the first ``limit`` requests in the order they are served."""
        ordered: list[WaitingRequest] = []
        for rank, heap in enumerate(self._heaps):
            taken = []
            while heap and len(ordered) < limit:
                item = heapq.heappop(heap)
                if self._ranks.get(item[2]) == rank:
                    taken.append(item)
                    ordered.append(self._waiting[item[2]])
            for item in taken:
                heapq.heappush(heap, item)
            if not heap:
                self._account_time[rank].clear()
        return ordered

    def last_of_lowest_tier(self) -> WaitingRequest | None:
        """Return the request that is shed first."""
        for rank in reversed(range(_RANKS)):
            heap = self._heaps[rank]
            live = [item for item in heap if self._ranks.get(item[2]) == rank]
            if live:
                return self._waiting[max(live)[2]]
        return None

    def _uncount(self, waiting: WaitingRequest, rank: int) -> None:
        counts = self._counts[rank]
        account = waiting.request.client_account
        counts[account] -= 1
        if not counts[account]:
            del counts[account]


def _rank(tier: int, late: bool) -> int:
    return 2 * tier + late
