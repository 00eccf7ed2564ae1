"""Queue of requests waiting for a slot, by tier and fair between accounts and routes.

Within a tier, requests that can still meet their latency objective are served before
late ones. During a load peak of a few seconds, late requests are thus served after the
peak instead of being refused.
"""

import heapq
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from sassafraspin.dispatch.messages import LOWEST_TIER, SlotRequest

__all__ = ["WaitingQueue", "WaitingRequest"]

_RANKS = 2 * (LOWEST_TIER + 1)
"""Number of ranks: each tier has one for on-time requests and one for late ones."""


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    entry : str
        Entry instance that sent the request.
    request : SlotRequest
        The request.
    expected_seconds : float
        Expected time on a backend server, in seconds.
    deadline : float
        Monotonic time at which the complete answer is due, in seconds.
    start_by : float
        Monotonic time by which it has to be sent to meet its latency objective.
    queued_at : float
        Monotonic time at which it was queued.
    disconnects_at : float
        Monotonic time by which the first token or a refusal has to be sent, so that it
        arrives before the caller disconnects.
    first_token_seconds : float
        Expected time to first token on a backend server, in seconds.
    refuse_by : float
        Monotonic time by which a refusal has to be sent, so that it arrives before the
        deadline.
    expected_by : float
        Monotonic time by which a late request was expected to start.
    """

    entry: str
    request: SlotRequest
    expected_seconds: float
    deadline: float
    start_by: float = math.inf
    queued_at: float = 0.0
    disconnects_at: float = math.inf
    first_token_seconds: float = 0.0
    refuse_by: float = math.inf
    expected_by: float = math.inf

    @property
    def latest_start(self) -> float:
        """Return the latest start to answer in time and before the disconnection."""
        return min(
            self.refuse_by,
            self.deadline - self.expected_seconds,
            self.disconnects_at - self.first_token_seconds,
        )

    def is_late(self, now: float) -> bool:
        """Return whether the request can no longer meet its latency objective."""
        return now > self.start_by


class _Flow(NamedTuple):
    """Requests of one client account on one route."""

    account: str
    route: str


class WaitingQueue:
    """Orders requests by tier, by lateness, then by start-time fair queueing.

    A rank holds the on-time or the late requests of one tier. In each rank, every
    route of a client account has a virtual time that advances by the cost of its
    requests, so a burst on one route delays its own requests and not those of other
    accounts or routes. An account shares its turns among its routes. A request that
    leaves unserved gives its cost back, as it has used no turn.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}
        self._ranks: dict[str, int] = {}
        self._starts: dict[str, float] = {}
        self._costs: dict[str, float] = {}
        self._heaps: list[list[tuple[float, int, str]]] = [[] for _ in range(_RANKS)]
        self._virtual_time = [0.0] * _RANKS
        self._flow_time: list[dict[_Flow, float]] = [{} for _ in range(_RANKS)]
        self._last_start: list[dict[_Flow, float]] = [{} for _ in range(_RANKS)]
        self._counts: list[dict[_Flow, int]] = [{} for _ in range(_RANKS)]
        self._route_counts: list[dict[str, int]] = [{} for _ in range(_RANKS)]
        self._counter = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._waiting.values()))

    def count_ahead(self, request: SlotRequest, late: bool = False) -> int:
        """Return how many requests would be served before a new one.

        Parameters
        ----------
        request : SlotRequest
            The new request.
        late : bool
            Whether it can no longer meet its latency objective.

        Returns
        -------
        int
            Number of requests in higher ranks, of its account and route in the rank,
            and of the others in the rank whose turn comes first.
        """
        rank = _rank(request.tier, late)
        higher = sum(sum(counts.values()) for counts in self._counts[:rank])
        flow = _flow(request)
        own = self._counts[rank].get(flow, 0)
        turns = (own + 1) * self._routes_with(rank, flow)
        others = sum(
            min(count, math.ceil(turns / self._route_counts[rank][other.account]))
            for other, count in self._counts[rank].items()
            if other != flow
        )
        return higher + own + others

    def add(self, waiting: WaitingRequest, late: bool = False) -> None:
        """Add a request at the end of those of its account and route."""
        request = waiting.request
        rank = _rank(request.tier, late)
        times = self._flow_time[rank]
        flow = _flow(request)
        routes = self._routes_with(rank, flow)
        cost = routes * waiting.expected_seconds
        turn = max(self._virtual_time[rank], times.get(flow, 0.0))
        times[flow] = turn + cost
        # Costs that were given back may not let it pass older ones of its flow.
        start = max(turn, self._last_start[rank].get(flow, 0.0))
        self._last_start[rank][flow] = start
        self._counter += 1
        heapq.heappush(self._heaps[rank], (start, self._counter, request.request_id))
        self._waiting[request.request_id] = waiting
        self._ranks[request.request_id] = rank
        self._starts[request.request_id] = start
        self._costs[request.request_id] = cost
        counts = self._counts[rank]
        counts[flow] = counts.get(flow, 0) + 1
        self._route_counts[rank][flow.account] = routes

    def _routes_with(self, rank: int, flow: _Flow) -> int:
        """Return the number of routes of an account that wait, one more included."""
        routes = self._route_counts[rank].get(flow.account, 0)
        return routes + (flow not in self._counts[rank])

    def is_same_rank(self, one: WaitingRequest, other: WaitingRequest) -> bool:
        """Return whether two requests have the same tier and lateness in the queue."""
        ranks = self._ranks
        return ranks[one.request.request_id] == ranks[other.request.request_id]

    def is_queued_late(self, request_id: str) -> bool:
        """Return whether a request is queued in the late rank of its tier."""
        return bool(self._ranks.get(request_id, 0) % 2)

    def newly_late(self, now: float) -> list[WaitingRequest]:
        """Return the requests that have become late since they were queued."""
        return [
            waiting
            for request_id, waiting in self._waiting.items()
            if waiting.is_late(now) and not self.is_queued_late(request_id)
        ]

    def queued_late(self, tier: int) -> list[WaitingRequest]:
        """Return the requests in the late ranks of a tier and of lower ones."""
        return [
            waiting
            for request_id, waiting in self._waiting.items()
            if waiting.request.tier >= tier and self.is_queued_late(request_id)
        ]

    def defer(self, waiting: WaitingRequest) -> None:
        """Move a request to the late rank of its tier."""
        self.remove(waiting.request.request_id)
        self.add(waiting, late=True)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that gets no slot; return it if it was queued."""
        if request_id not in self._ranks:
            return None
        times = self._flow_time[self._ranks[request_id]]
        cost = self._costs[request_id]
        waiting = self._take(request_id)
        times[_flow(waiting.request)] -= cost
        return waiting

    def _take(self, request_id: str) -> WaitingRequest:
        waiting = self._waiting.pop(request_id)
        del self._starts[request_id], self._costs[request_id]
        self._decrement_count(waiting, self._ranks.pop(request_id))
        return waiting

    def serve(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that gets a slot and advance its rank's virtual time.

        Return it if it was queued.
        """
        if request_id not in self._ranks:
            return None
        rank = self._ranks[request_id]
        start = self._starts[request_id]
        self._virtual_time[rank] = max(self._virtual_time[rank], start)
        return self._take(request_id)

    def in_order(
        self, limit: int, may_start: Callable[[SlotRequest], bool] | None = None
    ) -> list[WaitingRequest]:
        """Return the first ``limit`` requests in the order of service.

        Requests for which ``may_start`` is false are left out and do not count.
        """
        ordered: list[WaitingRequest] = []
        for rank, heap in enumerate(self._heaps):
            taken = []
            while heap and len(ordered) < limit:
                item = heapq.heappop(heap)
                if self._ranks.get(item[2]) != rank:
                    continue
                taken.append(item)
                waiting = self._waiting[item[2]]
                if may_start is None or may_start(waiting.request):
                    ordered.append(waiting)
            for item in taken:
                heapq.heappush(heap, item)
            if not heap:
                self._flow_time[rank].clear()
        return ordered

    def last_of_lowest_tier(self) -> WaitingRequest | None:
        """Return the last request of the lowest rank, which is shed first."""
        for rank in reversed(range(_RANKS)):
            heap = self._heaps[rank]
            live = [item for item in heap if self._ranks.get(item[2]) == rank]
            if live:
                return self._waiting[max(live)[2]]
        return None

    def _decrement_count(self, waiting: WaitingRequest, rank: int) -> None:
        counts = self._counts[rank]
        flow = _flow(waiting.request)
        counts[flow] -= 1
        if counts[flow]:
            return
        del counts[flow]
        self._last_start[rank].pop(flow, None)
        routes = self._route_counts[rank]
        routes[flow.account] -= 1
        if not routes[flow.account]:
            del routes[flow.account]


def _flow(request: SlotRequest) -> _Flow:
    return _Flow(request.client_account, request.route)


def _rank(tier: int, late: bool) -> int:
    return 2 * tier + late
