"""Start-time fair queueing between the routes of client accounts."""

import heapq
import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import itemgetter
from typing import NamedTuple

from sassafraspin.admission.waiting import WaitingRequest
from sassafraspin.dispatch.messages import SlotRequest

__all__ = ["FairQueue"]

_MAX_TURNS_PER_FLOW = 4
"""Kept turns, outdated ones included, per flow that waits."""


class _Flow(NamedTuple):
    """Requests of one client account on one route."""

    account: str
    route: str


_Turn = tuple[float, int]
"""Place of a request: virtual time, then number of its arrival, which is unique."""

_Queued = tuple[int, WaitingRequest]
"""Number of the arrival of a request, and the request."""


@dataclass
class _Backlog:
    """Waiting requests of one flow, by identifier, in order of arrival.

    ``start`` is the virtual time at which the first one has its turn.
    """

    start: float
    requests: OrderedDict[str, _Queued] = field(default_factory=OrderedDict)

    @property
    def turn(self) -> _Turn:
        """Return the turn of the first request."""
        return self.start, next(iter(self.requests.values()))[0]


class FairQueue:
    """Requests that are served in turns of their account and route.

    Each route of an account has a virtual time, which advances by the cost of the
    requests that are served. A burst on one route thus delays its own requests and not
    those of other accounts or routes. An account shares its turns among its routes.

    A turn belongs to the route and not to the request that waits for it: if that one
    leaves unserved, the next request of the route takes the turn.
    """

    def __init__(self) -> None:
        self._backlogs: dict[_Flow, _Backlog] = {}
        self._virtual_time = 0.0
        self._flow_time: dict[_Flow, float] = {}
        self._route_counts: dict[str, int] = {}
        self._arrivals = 0
        self._count = 0
        # Turns that have passed or changed are dropped once they come first.
        self._turns: list[tuple[_Turn, _Flow]] = []

    def __len__(self) -> int:
        return self._count

    def count_ahead(self, request: SlotRequest) -> int:
        """Return how many requests would be served before a new one."""
        flow = _flow(request)
        backlog = self._backlogs.get(flow)
        own = 0 if backlog is None else len(backlog.requests)
        routes = self._route_counts.get(flow.account, 0) + (backlog is None)
        turns = (own + 1) * routes
        others = sum(
            min(
                len(item.requests),
                math.ceil(turns / self._route_counts[other.account]),
            )
            for other, item in self._backlogs.items()
            if other != flow
        )
        return own + others

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request at the end of those of its account and route."""
        if not self._backlogs:
            self._flow_time.clear()
        self._arrivals += 1
        self._count += 1
        flow = _flow(waiting.request)
        queued = self._arrivals, waiting
        backlog = self._backlogs.get(flow)
        if backlog is not None:
            backlog.requests[waiting.request.request_id] = queued
            return
        start = max(self._virtual_time, self._flow_time.get(flow, 0.0))
        backlog = self._backlogs[flow] = _Backlog(start)
        backlog.requests[waiting.request.request_id] = queued
        routes = self._route_counts.get(flow.account, 0)
        self._route_counts[flow.account] = routes + 1
        self._push_turn(flow)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that gets no slot."""
        flow = _flow(waiting.request)
        self._remove(waiting, self._backlogs[flow].start)

    def serve(self, waiting: WaitingRequest) -> None:
        """Remove a request that gets a slot; its route has used a turn."""
        flow = _flow(waiting.request)
        start = self._backlogs[flow].start
        self._virtual_time = max(self._virtual_time, start)
        self._remove(waiting, start + self._cost(flow, waiting))

    def in_order(
        self, limit: int, may_start: Callable[[SlotRequest], bool] | None = None
    ) -> list[WaitingRequest]:
        """Return the first ``limit`` requests in the order of their turns.

        Requests for which ``may_start`` is false are left out and do not count.
        """
        ordered: list[WaitingRequest] = []
        passed: list[tuple[_Turn, _Flow]] = []
        # The next request of each flow whose first turn was passed.
        opened: list[tuple[_Turn, _Flow, WaitingRequest, Iterator[_Queued]]] = []
        while len(ordered) < limit:
            first = self._first_turn()
            if first is not None and (not opened or first < opened[0]):
                turn, flow = heapq.heappop(self._turns)
                passed.append(first)
                following = iter(self._backlogs[flow].requests.values())
                _, waiting = next(following)
            elif opened:
                turn, flow, waiting, following = heapq.heappop(opened)
            else:
                break
            if may_start is None or may_start(waiting.request):
                ordered.append(waiting)
            queued = next(following, None)
            if queued is not None:
                later = turn[0] + self._cost(flow, waiting), queued[0]
                heapq.heappush(opened, (later, flow, queued[1], following))
        for item in passed:
            heapq.heappush(self._turns, item)
        return ordered

    def last(self) -> WaitingRequest:
        """Return the request whose turn comes last; the queue may not be empty."""
        return max(map(self._last_turn, self._backlogs), key=itemgetter(0))[1]

    def _first_turn(self) -> tuple[_Turn, _Flow] | None:
        """Return the first turn, ``None`` if nothing waits, and drop outdated ones."""
        while self._turns:
            turn, flow = self._turns[0]
            backlog = self._backlogs.get(flow)
            if backlog is not None and backlog.turn == turn:
                return turn, flow
            heapq.heappop(self._turns)
        return None

    def _last_turn(self, flow: _Flow) -> tuple[_Turn, WaitingRequest]:
        """Return the last request of a flow with its turn."""
        backlog = self._backlogs[flow]
        arrival, last = next(reversed(backlog.requests.values()))
        earlier = sum(item.expected_seconds for _, item in backlog.requests.values())
        start = backlog.start + self._route_counts[flow.account] * (
            earlier - last.expected_seconds
        )
        return (start, arrival), last

    def _cost(self, flow: _Flow, waiting: WaitingRequest) -> float:
        return self._route_counts[flow.account] * waiting.expected_seconds

    def _remove(self, waiting: WaitingRequest, start: float) -> None:
        """Remove a request; ``start`` is the next turn of its flow."""
        flow = _flow(waiting.request)
        backlog = self._backlogs[flow]
        turn = backlog.turn
        del backlog.requests[waiting.request.request_id]
        self._count -= 1
        backlog.start = self._flow_time[flow] = start
        if not backlog.requests:
            del self._backlogs[flow]
            self._remove_route(flow.account)
        elif backlog.turn != turn:
            self._push_turn(flow)

    def _push_turn(self, flow: _Flow) -> None:
        heapq.heappush(self._turns, (self._backlogs[flow].turn, flow))
        if len(self._turns) > _MAX_TURNS_PER_FLOW * len(self._backlogs):
            self._turns = [(item.turn, key) for key, item in self._backlogs.items()]
            heapq.heapify(self._turns)

    def _remove_route(self, account: str) -> None:
        self._route_counts[account] -= 1
        if not self._route_counts[account]:
            del self._route_counts[account]


def _flow(request: SlotRequest) -> _Flow:
    return _Flow(request.client_account, request.route)
