"""Queue of requests waiting for a slot, by tier and fair between accounts and routes.

Within a tier, requests that can still meet their latency objective are served before
late ones. During a load peak of a few seconds, late requests are thus served after the
peak instead of being refused.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from sassafraspin.admission.fair_queue import FairQueue
from sassafraspin.admission.waiting import WaitingRequest
from sassafraspin.dispatch.messages import LOWEST_TIER, SlotRequest

__all__ = ["WaitingQueue"]

_RANKS = 2 * (LOWEST_TIER + 1)
"""Number of ranks: each tier has one for on-time requests and one for late ones."""


class _Queued(NamedTuple):
    """A request and the rank in which it waits."""

    waiting: WaitingRequest
    rank: int


class WaitingQueue:
    """Orders requests by tier, by lateness, then by fair queueing.

    A rank holds the on-time or the late requests of one tier; see ``FairQueue`` for the
    order in a rank.
    """

    def __init__(self) -> None:
        self._queued: dict[str, _Queued] = {}
        self._ranks = tuple(FairQueue() for _ in range(_RANKS))

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._queued

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter([item.waiting for item in self._queued.values()])

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
        return sum(map(len, self._ranks[:rank])) + self._ranks[rank].count_ahead(
            request
        )

    def add(self, waiting: WaitingRequest, late: bool = False) -> None:
        """Add a request at the end of those of its account and route."""
        rank = _rank(waiting.request.tier, late)
        self._ranks[rank].add(waiting)
        self._queued[waiting.request.request_id] = _Queued(waiting, rank)

    def is_same_rank(self, one: WaitingRequest, other: WaitingRequest) -> bool:
        """Return whether two requests have the same tier and lateness in the queue."""
        queued = self._queued
        return queued[one.request.request_id].rank == (
            queued[other.request.request_id].rank
        )

    def is_queued_late(self, request_id: str) -> bool:
        """Return whether a request is queued in the late rank of its tier."""
        queued = self._queued.get(request_id)
        return queued is not None and _is_late_rank(queued.rank)

    def newly_late(self, now: float) -> list[WaitingRequest]:
        """Return the requests that have become late since they were queued."""
        return [
            waiting
            for waiting, rank in self._queued.values()
            if not _is_late_rank(rank) and waiting.is_late(now)
        ]

    def queued_late(self, tier: int) -> list[WaitingRequest]:
        """Return the requests in the late ranks of a tier and of lower ones."""
        return [
            waiting
            for waiting, rank in self._queued.values()
            if _is_late_rank(rank) and waiting.request.tier >= tier
        ]

    def defer(self, waiting: WaitingRequest) -> None:
        """Move a request to the late rank of its tier."""
        self.remove(waiting.request.request_id)
        self.add(waiting, late=True)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that gets no slot; return it if it was queued."""
        queued = self._queued.pop(request_id, None)
        if queued is None:
            return None
        self._ranks[queued.rank].remove(queued.waiting)
        return queued.waiting

    def serve(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that gets a slot; return it if it was queued."""
        queued = self._queued.pop(request_id, None)
        if queued is None:
            return None
        self._ranks[queued.rank].serve(queued.waiting)
        return queued.waiting

    def in_order(
        self, limit: int, may_start: Callable[[SlotRequest], bool] | None = None
    ) -> list[WaitingRequest]:
        """Return the first ``limit`` requests in the order of service.

        Requests for which ``may_start`` is false are left out and do not count.
        """
        ordered: list[WaitingRequest] = []
        for rank in self._ranks:
            if len(ordered) == limit:
                break
            if len(rank) > 0:
                ordered += rank.in_order(limit - len(ordered), may_start)
        return ordered

    def last_of_lowest_tier(self) -> WaitingRequest | None:
        """Return the last request of the lowest rank, which is shed first."""
        for rank in reversed(self._ranks):
            if len(rank) > 0:
                return rank.last()
        return None


def _rank(tier: int, late: bool) -> int:
    return 2 * tier + late


def _is_late_rank(rank: int) -> bool:
    return bool(rank % 2)
