"""Declared rate of servers that are cold, over all instances and dispatchers."""

import json
import random
import unittest
from types import SimpleNamespace

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import STRICT_SHARE, Announcement
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
)
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.dispatch.directory_publisher import DirectoryPublisher
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.membership import Member, View
from sassafraspin.platform.document import decode_table
from sassafraspin.platform.registration import decode_registration
from sassafraspin.routed.standby_scope import StandbyScope
from sassafraspin.settings import DispatchSettings
from tests.fuzz import fuzz_settings
from tests.pool_model import SERVICE, announcement
from tests.routed_deployment import configuration

RATE = 9.3
OVERSHOOT, SLACK = 1.5, 5
"""Bound of the platform in any second: the rate times ``OVERSHOOT``, plus ``SLACK``."""

USE_SECONDS = 0.5
"""Time after a grant within which its request may be sent."""

FUZZ_SETTINGS = fuzz_settings(examples=15, steps=20)


def most_in_a_second(times: list[float]) -> int:
    """Return the largest number of times within any second."""
    times = sorted(times)
    return max(
        (sum(start <= at < start + 1 for at in times) for start in times), default=0
    )


class Dispatcher:
    """A pool that is always asked for more than its servers can do.

    Parameters
    ----------
    known : tuple of Announcement
        Servers that it starts with.
    now : float
        Time of the start.
    share : callable
        Part of the rate of a cold server that it may use.
    demand : int
        Slots that are asked for in each step.
    """

    def __init__(
        self,
        known: tuple[Announcement, ...],
        now: float,
        share=lambda name, rate: STRICT_SHARE,
        demand: int = 20,
    ) -> None:
        self._demand = demand
        self.pool = Pool(
            SERVICE,
            DispatchSettings(paces_servers=True, waiting_requests=20),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "d",
            now,
            known,
            cold_share=share,
        )
        self.pool.set_cold_rate(RATE, now)
        self._count = 0

    def step(self, now: float) -> list[SlotGrant]:
        """Answer what was granted before, ask for slots, and return the grants."""
        effects = self.pool.tick(now)
        for _ in range(self._demand):
            self._count += 1
            request = SlotRequest(
                f"{SERVICE}:{id(self)}-{self._count}", SERVICE, "a", "p", "/r", 0, 1,
                1, 60_000, False,
            )  # fmt: skip
            effects += self.pool.request("e", request, now)
        grants = []
        while effects:
            message = effects.pop(0).message
            if isinstance(message, SlotGrant):
                grants.append(message)
                ended = SlotRelease(
                    SERVICE,
                    message.request_id,
                    message.grant_id,
                    message.backend_id,
                    ReleaseResult.ANSWERED,
                )
                effects += self.pool.release(ended, now)
        return grants


class ColdMachine(RuleBasedStateMachine):
    """Leaders and standbys take turns, while a server turns cold at any moment."""

    instances = 24

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.sequence = 0
        self.cold_from = self.cold_until = 0.0
        self.sent: list[float] = []
        self.directory = BackendDirectory(60.0)
        self.publisher = DirectoryPublisher(self.directory)
        members = tuple(
            Member(f"m{number}", 1, "r", "z", "::1", 1)
            for number in range(self.instances)
        )
        view = View(1, 1, members)
        settings = SimpleNamespace(dispatch=DispatchSettings())
        self.scopes = [
            StandbyScope(
                SimpleNamespace(name=member.name, view=view, settings=settings),
                None,
                self.directory,
                lambda: True,
                self.random,
            )
            for member in members
        ]
        self.lead()
        self.register(0)

    def known(self) -> tuple[Announcement, ...]:
        return tuple(self.directory.known_servers(SERVICE, self.now))

    @rule()
    def lead(self):
        """Another leader starts from what was published."""
        self.dispatchers = [Dispatcher(self.known(), self.now)]

    @rule()
    def lose_leader(self):
        """Every instance dispatches by itself."""
        self.dispatchers = [
            Dispatcher(self.known(), self.now, scope.cold_share, demand=3)
            for scope in self.scopes
        ]

    @rule(cold_ms=st.sampled_from([0, 6_000, 9_000]))
    def register(self, cold_ms):
        """Register the server with the leader, if there is one."""
        if len(self.dispatchers) > 1:
            return
        self.sequence += 1
        item = announcement(1, slots=6, sequence=self.sequence, cold_ms=cold_ms)
        if cold_ms and self.now >= self.cold_until:
            self.cold_from = self.now
        self.cold_until = self.now + cold_ms / 1000
        (leader,) = self.dispatchers
        leader.pool.announce(item, self.now)
        self.publisher.updates(leader.pool.backends, self.now)

    @rule(steps=st.integers(10, 60))
    def let_time_pass(self, steps):
        for _ in range(steps):
            self.now += 0.05
            for dispatcher in self.dispatchers:
                granted = dispatcher.step(self.now)
                if self.cold_from <= self.now < self.cold_until:
                    self.sent += [
                        self.now + self.random.uniform(0, USE_SECONDS) for _ in granted
                    ]

    @invariant()
    def cold_server_gets_no_more_than_the_bound(self):
        bound = RATE * OVERSHOOT + SLACK
        assert most_in_a_second(self.sent[-200:]) <= bound


class LargeColdMachine(ColdMachine):
    """The same with as many instances as the design size has."""

    instances = 390


class TestAnyOrderOfDispatchers(unittest.TestCase):
    """No order of leaders and standbys adds up to more than the bound."""

    def test_instances_in_standby_do_not_save_up_a_request_each(self):
        """Together they would send one request for each instance at once."""
        machine = ColdMachine()
        machine.start(seed=1)
        machine.register(6_000)
        machine.lose_leader()
        machine.let_time_pass(110)
        self.assertTrue(machine.sent)
        machine.cold_server_gets_no_more_than_the_bound()

    def test_at_24_instances(self):
        run_state_machine_as_test(ColdMachine, settings=FUZZ_SETTINGS)

    def test_at_390_instances(self):
        run_state_machine_as_test(
            LargeColdMachine, settings=fuzz_settings(examples=2, steps=8)
        )


class TestDeclaredRate(unittest.TestCase):
    """Servers of one dispatcher that come back cold under load."""

    def test_rate_holds_in_any_second_and_ends_with_the_cold_time(self):
        servers = tuple(announcement(number, slots=6) for number in range(4))
        dispatcher = Dispatcher(servers, 0.0)
        for number in range(4):
            item = announcement(number, slots=6, incarnation=2, cold_ms=5_000)
            dispatcher.pool.announce(item, 0.0)
        granted: dict[str, list[float]] = {item.id: [] for item in servers}
        for tick in range(200):
            for grant in dispatcher.step(tick * 0.05):
                granted[grant.backend_id].append(tick * 0.05)
        for times in granted.values():
            cold = [at for at in times if at < 5.0]
            self.assertLessEqual(most_in_a_second(cold), RATE)
            self.assertGreater(len(cold), 5 * RATE / 2)
            self.assertGreater(len(times) - len(cold), len(cold))

    def test_zone_that_comes_back_cold_serves_what_its_servers_take(self):
        """Neither is the rest of the fleet left out, nor are callers kept waiting."""
        servers = tuple(announcement(number, slots=6) for number in range(8))
        dispatcher = Dispatcher(servers, 0.0)
        for number in range(4):
            item = announcement(number, slots=6, incarnation=2, cold_ms=5_000)
            dispatcher.pool.announce(item, 0.0)
        warm = {f"runner-{number}" for number in range(4, 8)}
        used = {grant.backend_id for grant in dispatcher.step(0.0)}
        self.assertTrue(used and used <= warm)

    def test_flapping_server_starts_with_nothing_to_spend(self):
        dispatcher = Dispatcher((announcement(1, slots=6),), 0.0)
        sent = []
        for tick in range(200):
            now = tick * 0.05
            if tick % 20 == 0:
                item = announcement(1, slots=6, incarnation=2 + tick, cold_ms=3_000)
                dispatcher.pool.announce(item, now)
            sent += [now for _ in dispatcher.step(now)]
        self.assertLessEqual(most_in_a_second(sent), RATE)


class TestExpectedWait(unittest.TestCase):
    """Wait estimates of a pool whose only server is cold."""

    def first_answer(self, share: float, cold_ms: int, deadline_ms: int) -> object:
        """Ask for a slot that an objective of 400 ms needs; return the answer."""
        known = (announcement(1, slots=6, cold_ms=cold_ms),)
        pool = Dispatcher(known, 0.0, lambda name, rate: share).pool
        request = SlotRequest(
            f"{SERVICE}:1", SERVICE, "a", "p", "/r", 0, 1, 1, deadline_ms, False,
            start_within_ms=400,
        )  # fmt: skip
        return pool.request("e", request, 0.0)[0].message

    def test_request_that_no_rate_is_left_for_is_refused_at_once(self):
        """In standby most instances may send a cold server nothing."""
        refusal = self.first_answer(share=0.0, cold_ms=3_000, deadline_ms=1_000)
        self.assertIsInstance(refusal, SlotRefusal)
        self.assertGreater(refusal.wait_ms, 2_900)

    def test_request_that_the_server_is_warm_for_in_time_waits(self):
        """A rate that ends soon says nothing about the time after it."""
        waiting = self.first_answer(share=0.01, cold_ms=300, deadline_ms=1_000)
        self.assertIsInstance(waiting, SlotWaiting)


class TestDeclaration(unittest.TestCase):
    """Fields of the platform's documents."""

    def test_registration_says_how_long_a_runner_stays_cold(self):
        document = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
        }
        item = decode_registration("i", json.dumps(document).encode(), 1_000)
        self.assertEqual(item.cold_ms, 0)
        document["cold_remaining_ms"] = 2_400
        item = decode_registration("i", json.dumps(document).encode(), 1_000)
        self.assertEqual(item.cold_ms, 2_400)

    def test_service_declares_the_rate_that_cold_servers_take(self):
        document = configuration()
        document["services"][0] |= {"cold_start_s": 3.0, "cold_per_s": RATE}
        table = decode_table(json.dumps(document).encode())
        self.assertEqual(table.services[0].cold_rate, RATE)
