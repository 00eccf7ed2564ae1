"""Shares in which the routes of one tier are served in a lasting overload (CONFIG)."""

import heapq
import random
import unittest
from collections import Counter
from collections.abc import Callable

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.dispatch.pool import Pool, SendToEntry
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, TICK_SECONDS, announcement

SERVERS = 3
SLOTS = 4
WORK_SECONDS = 0.25
CAPACITY = SERVERS * SLOTS / WORK_SECONDS
FIRST_OBJECTIVE_MS = 500
SECONDS = 40.0
WARMUP_SECONDS = 8.0
ADDED_EVERY = 5
LEAST_SHARE = 0.25


class _Overload:
    """Requests of a first and of an added route to a service, in virtual time."""

    def __init__(
        self,
        load: float,
        added_objective_ms: int,
        added_every: int = ADDED_EVERY,
        other_accounts: int = 0,
    ) -> None:
        self._added_every = added_every
        self._other_accounts = other_accounts
        self._objectives = {"first": FIRST_OBJECTIVE_MS, "added": added_objective_ms}
        self._gap = 1 / (load * CAPACITY)
        self._now = 0.0
        self._count = 0
        self._arrivals = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sent: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "t",
            0.0,
            tuple(announcement(number, slots=SLOTS) for number in range(SERVERS)),
        )

    def served_shares(self) -> tuple[float, float]:
        """Return the served shares of the first and of the added route."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        while self._events[0][0] < SECONDS:
            self._now, _, action = heapq.heappop(self._events)
            action()
        first, added = (
            self._served[route] / self._sent[route] for route in ("first", "added")
        )
        return first, added

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _tick(self) -> None:
        self._receive(self._pool.tick(self._now))
        self._schedule(self._now + TICK_SECONDS, self._tick)

    def _arrive(self) -> None:
        self._arrivals += 1
        route = "first" if self._arrivals % self._added_every else "added"
        request = SlotRequest(
            request_id=f"{route}:{self._arrivals}",
            service=SERVICE,
            client_account=self._account(route),
            profile=route,
            route=route,
            tier=0,
            prompt_tokens=1,
            answer_tokens=1,
            deadline_ms=1_000,
            cancellable=False,
            start_within_ms=int(0.75 * self._objectives[route]),
        )
        self._sent[route] += self._now >= WARMUP_SECONDS
        self._receive(self._pool.request("e", request, self._now))
        self._schedule(self._now + self._gap, self._arrive)

    def _account(self, route: str) -> str:
        """Return the account of a request; others may share the first route."""
        if route == "added" or not self._other_accounts:
            return "a"
        return f"b{self._arrivals % self._other_accounts}"

    def _receive(self, effects: list[SendToEntry]) -> None:
        for effect in effects:
            match effect.message:
                case SlotGrant() as grant:
                    ends_at = self._now + WORK_SECONDS
                    self._schedule(ends_at, lambda grant=grant: self._end(grant))
                case SlotRefusal():
                    continue

    def _end(self, grant: SlotGrant) -> None:
        route = grant.request_id.partition(":")[0]
        self._served[route] += self._now >= WARMUP_SECONDS + WORK_SECONDS
        work_ms = int(WORK_SECONDS * 1_000)
        release = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            ReleaseResult.ANSWERED,
            work_ms,
            work_ms,
            1,
        )
        self._receive(self._pool.release(release, self._now))


class TestRouteShares(unittest.TestCase):
    """An added route of the same tier is not starved by the first one."""

    def check(self, load: float, added_objective_ms: int) -> None:
        first, added = _Overload(load, added_objective_ms).served_shares()
        self.assertGreaterEqual(added, LEAST_SHARE * first, f"first: {first:.3f}")

    def check_both(self, load: float, added_objective_ms: int, every: int) -> None:
        """Check that neither route starves if both ask for more than their share."""
        shares = _Overload(load, added_objective_ms, every).served_shares()
        self.assertGreaterEqual(min(shares), LEAST_SHARE * max(shares), f"{shares}")

    def test_equal_objectives(self):
        self.check(1.5, FIRST_OBJECTIVE_MS)

    def test_shorter_objective(self):
        self.check(1.5, FIRST_OBJECTIVE_MS // 2)

    def test_objective_below_the_time_of_an_answer(self):
        self.check(1.5, 100)

    def test_shorter_objective_and_half_of_the_requests(self):
        self.check_both(3.0, FIRST_OBJECTIVE_MS // 2, 2)

    def test_equal_objectives_and_a_third_of_the_requests(self):
        self.check_both(3.0, FIRST_OBJECTIVE_MS, 3)

    def test_shorter_objective_beside_many_accounts(self):
        """The account has its share if its objective is as long as that of others."""
        shares = [
            _Overload(1.5, objective_ms, other_accounts=30).served_shares()[1]
            for objective_ms in (FIRST_OBJECTIVE_MS // 2, FIRST_OBJECTIVE_MS)
        ]
        self.assertGreaterEqual(shares[0], LEAST_SHARE * shares[1], f"{shares}")


if __name__ == "__main__":
    unittest.main()
