"""Start-time fair queueing between the routes of client accounts."""

import heapq
import math
from collections import OrderedDict, deque
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


class _Turn(NamedTuple):
    """Place of a request: by virtual time, then by number of its arrival."""

    start: float
    arrival: int


class _Queued(NamedTuple):
    """A request and the number of its arrival."""

    arrival: int
    waiting: WaitingRequest


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
        return _Turn(self.start, next(iter(self.requests.values())).arrival)


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
        self._arrivals += 1
        self._count += 1
        flow = _flow(waiting.request)
        queued = _Queued(self._arrivals, waiting)
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
        if not self._backlogs:
            self._flow_time.clear()
        ordered: list[WaitingRequest] = []
        passed: list[tuple[_Turn, _Flow]] = []
        # The next request of each flow whose first turn was passed.
        opened: list[tuple[_Turn, WaitingRequest, Iterator]] = []
        while len(ordered) < limit:
            first = self._first_turn()
            if first is not None and (not opened or first[0] < opened[0][0]):
                passed.append(heapq.heappop(self._turns))
                following = self._flow_turns(first[1])
                _, waiting = next(following)
            elif opened:
                _, waiting, following = heapq.heappop(opened)
            else:
                break
            if may_start is None or may_start(waiting.request):
                ordered.append(waiting)
            for turn, later in following:
                heapq.heappush(opened, (turn, later, following))
                break
        for item in passed:
            heapq.heappush(self._turns, item)
        return ordered

    def last(self) -> WaitingRequest:
        """Return the request whose turn comes last; the queue may not be empty."""
        last_turns = (deque(self._flow_turns(flow), 1)[0] for flow in self._backlogs)
        return max(last_turns, key=itemgetter(0))[1]

    def _first_turn(self) -> tuple[_Turn, _Flow] | None:
        """Return the first turn, ``None`` if nothing waits, and drop outdated ones."""
        while self._turns:
            turn, flow = self._turns[0]
            backlog = self._backlogs.get(flow)
            if backlog is not None and backlog.turn == turn:
                return turn, flow
            heapq.heappop(self._turns)
        return None

    def _flow_turns(self, flow: _Flow) -> Iterator[tuple[_Turn, WaitingRequest]]:
        """Yield the requests of a flow with their turns."""
        start = self._backlogs[flow].start
        for arrival, waiting in self._backlogs[flow].requests.values():
            yield _Turn(start, arrival), waiting
            start += self._cost(flow, waiting)

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
