"""Failures of instances that are cut off from the servers, at the dispatcher."""

import random
import unittest
from unittest import mock

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import ReleaseResult, SlotGrant, SlotRelease, SlotRequest
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.moves import (
    MovePhase,
    MoveSpec,
    MoveStep,
    MoveStore,
    RollbackReason,
)
from sassafraspin.settings import DispatchSettings
from sassafraspin.telemetry.events import InstanceCutOff
from tests.partition_model import DEFAULT_SHAPE, Cut, PartitionModel, Shape
from tests.pool_model import SERVICE, announcement

SEEDS = range(5)
SETTLING_SECONDS = 1.0
"""Time after which the failures of an instance have to be attributed to its path."""


def play(seed: int, cut: int, how: Cut, shape: Shape = DEFAULT_SHAPE) -> PartitionModel:
    """Cut some instances off, and count after the time in which that is found out."""
    model = PartitionModel(seed, shape)
    model.advance(2.0)
    model.cut_off(cut, how)
    model.advance(SETTLING_SECONDS)
    model.forget_counts()
    model.advance(5.0)
    return model


class TestServersInRotation(unittest.TestCase):
    """Servers stay in rotation while some instances cannot reach them."""

    def check(self, cut: int, how: Cut, shape: Shape = DEFAULT_SHAPE) -> None:
        for seed in SEEDS:
            with self.subTest(cut=cut, how=how, seed=seed):
                model = play(seed, cut, how, shape)
                self.assertEqual(model.fewest_accepting, shape.servers)
                share = model.served_share(model.sound_entries)
                self.assertGreaterEqual(share, 0.97)

    def test_two_of_eight_instances_are_refused(self):
        self.check(2, Cut.REFUSED)

    def test_connections_of_two_of_eight_instances_hang(self):
        self.check(2, Cut.HANGING)

    def test_seven_of_eight_instances_are_refused(self):
        self.check(7, Cut.REFUSED)

    def test_connections_of_seven_of_eight_instances_hang(self):
        self.check(7, Cut.HANGING)

    def test_seven_of_eleven_instances_are_refused(self):
        self.check(7, Cut.REFUSED, Shape(entries=11))

    def test_two_servers(self):
        self.check(2, Cut.REFUSED, Shape(entries=3, servers=2, slots=12))

    def test_requests_of_two_of_three_instances_get_no_answer(self):
        """Calls of a sound instance must not wait for slots of requests that hang."""
        self.check(2, Cut.SILENT, Shape(entries=3))

    def test_connections_of_two_of_three_instances_hang(self):
        self.check(2, Cut.HANGING, Shape(entries=3))

    def test_servers_ejected_at_the_start_of_the_cut_are_readmitted(self):
        for seed in SEEDS:
            model = PartitionModel(seed)
            model.advance(2.0)
            model.cut_off(7, Cut.REFUSED)
            model.advance(0.8)
            self.assertEqual(model.pool.status(model.now).accepting, 6, seed)

    def test_instances_without_a_path_are_logged_once(self):
        with mock.patch("sassafraspin.dispatch.pool.log_event") as log:
            model = play(1, 2, Cut.REFUSED)
        logged = [call.args[0] for call in log.call_args_list]
        self.assertEqual(
            sorted(logged, key=lambda event: event.instance),
            [InstanceCutOff(SERVICE, entry, False) for entry in model.entries[:2]],
        )

    def test_failures_that_the_instance_attributes_to_its_path_eject_nothing(self):
        model = PartitionModel(1)
        model.knows_its_path = set(model.entries)
        model.advance(2.0)
        model.cut_off(8, Cut.REFUSED)
        model.advance(3.0)
        self.assertEqual(model.ejected_at, {})

    def test_pace_of_a_started_server_grows_beside_a_cut(self):
        for seed in SEEDS:
            model = PartitionModel(seed, Shape(slots=8, paces_servers=True))
            model.advance(2.0)
            model.cut_off(3, Cut.REFUSED)
            model.advance(SETTLING_SECONDS)
            model.announce(0, incarnation=2)
            model.advance(2.0)
            self.assertEqual(model.pool.server("runner-0").slot_limit, 8, seed)


class TestFailingServers(unittest.TestCase):
    """Servers that fail for all instances are ejected as before."""

    def check(self, cut: int, shape: Shape, limit: float) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                model = PartitionModel(seed, shape)
                model.advance(2.0)
                model.cut_off(cut, Cut.REFUSED)
                model.advance(2.0)
                model.ejected_at.clear()
                failed_at = model.now
                model.failing.add("runner-2")
                model.advance(1.0)
                self.assertEqual(list(model.ejected_at), ["runner-2"])
                self.assertLess(model.ejected_at["runner-2"] - failed_at, limit)

    def test_many_reporters(self):
        self.check(0, Shape(), 0.5)

    def test_one_reporter(self):
        self.check(0, Shape(entries=1), 0.5)

    def test_beside_a_cut(self):
        self.check(2, Shape(), 0.7)

    def test_single_server(self):
        model = PartitionModel(1, Shape(servers=1, slots=20))
        model.advance(1.0)
        model.failing.add("runner-0")
        model.advance(0.5)
        self.assertIn("runner-0", model.ejected_at)

    def test_all_servers_fail_for_the_only_reporter(self):
        """Without another reporter, nothing shows that the servers are sound."""
        model = PartitionModel(1, Shape(entries=1))
        model.advance(2.0)
        model.cut_off(1, Cut.REFUSED)
        model.advance(0.2)
        self.assertEqual(len(model.ejected_at), 2)

    def test_third_failure_ejects(self):
        for reporters in (("a", "a", "a"), ("a", "b", "c")):
            pool = _Pool()
            pool.ask("b", "runner-1", ReleaseResult.ANSWERED)
            for entry in reporters[:2]:
                pool.ask(entry, "runner-0", ReleaseResult.FAILED)
            self.assertFalse(pool.is_ejected("runner-0"))
            pool.ask(reporters[2], "runner-0", ReleaseResult.FAILED)
            self.assertTrue(pool.is_ejected("runner-0"))


class _Pool:
    """A pool with two servers and chosen outcomes."""

    def __init__(self, **settings) -> None:
        self.now = 20.0
        self.limits = _CountingLimits()
        self._count = 0
        self.pool = Pool(
            SERVICE,
            DispatchSettings(**settings),
            self.limits,
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "term",
            0.0,
        )
        for number in range(2):
            self.pool.announce(announcement(number, slots=8), self.now)

    def ask(
        self,
        entry: str,
        server: str,
        result: ReleaseResult | None,
        tries: int = 0,
        **fields,
    ) -> bool:
        """Send a request to a server; return whether it got a slot.

        It ends with ``result``, ``None`` if it runs on.
        """
        self._count += 1
        self.now += 0.02
        other = {"runner-0": "runner-1", "runner-1": "runner-0"}[server]
        request = SlotRequest(
            f"{SERVICE}:{self._count}", SERVICE, "a", "p", "/r", 0, 10, 5, 5_000,
            False, avoid=(other,), tries=tries,
        )  # fmt: skip
        effects = self.pool.request(entry, request, self.now)
        grants = [
            item.message for item in effects if isinstance(item.message, SlotGrant)
        ]
        for grant in grants if result is not None else ():
            release = SlotRelease(
                SERVICE, grant.request_id, grant.grant_id, server, result, 10, 10, 5,
                **fields,
            )  # fmt: skip
            self.now += 0.01
            self.pool.release(release, self.now)
        return bool(grants)

    def is_ejected(self, server: str) -> bool:
        """Return whether a server is ejected."""
        return self.pool.server(server).is_ejected(self.now)


class TestSlowRequests(unittest.TestCase):
    """Requests that take long at an instance with little traffic."""

    def test_they_do_not_limit_the_instance_while_slots_are_free(self):
        pool = _Pool()
        for server in ("runner-0", "runner-1"):
            pool.ask("a", server, None)
        for number in range(50):
            pool.pool.tick(pool.now)
            for server in ("runner-0", "runner-1"):
                pool.ask(f"b{number % 8}", server, ReleaseResult.ANSWERED)
        for server in ("runner-0", "runner-1"):
            self.assertTrue(pool.ask("a", server, None))
            self.assertTrue(pool.ask("a", server, None))


class TestBusyServers(unittest.TestCase):
    """Servers that turn requests away for want of room."""

    def test_instance_that_is_turned_away_is_not_cut_off(self):
        """Its refusals must go on to lower the pace of servers without room."""
        pool = _Pool()
        for _ in range(20):
            for server in ("runner-0", "runner-1"):
                pool.ask("a", server, ReleaseResult.NOT_SENT, turned_away=True)
                for _ in range(5):
                    pool.ask("b", server, ReleaseResult.ANSWERED)
        self.assertEqual(pool.pool.cut_off, frozenset())
        for _ in range(3):
            pool.ask("a", "runner-0", ReleaseResult.NOT_SENT, turned_away=True)
        self.assertTrue(pool.is_ejected("runner-0"))


class _CountingLimits(AccountLimits):
    """Limits that count refunds."""

    def __init__(self) -> None:
        super().__init__(())
        self.refunded: list[str] = []

    def withdraw(self, request: SlotRequest) -> None:
        """Record the refund of a request."""
        self.refunded.append(request.request_id)


class TestRefunds(unittest.TestCase):
    """Attempts that never left a cut instance use up neither budget nor cap."""

    def test_retries_that_were_not_sent_are_refunded(self):
        pool = _Pool(retry_allowance=2, retry_share=0.0)
        for _ in range(10):
            result = ReleaseResult.NOT_SENT
            self.assertTrue(pool.ask("a", "runner-0", result, 1, path_failed=True))
        self.assertEqual(len(pool.limits.refunded), 10)

    def test_first_attempts_that_were_not_sent_allow_no_retries(self):
        pool = _Pool(retry_allowance=0, retry_share=0.5)
        for _ in range(10):
            pool.ask("a", "runner-0", ReleaseResult.NOT_SENT, path_failed=True)
        self.assertFalse(pool.ask("a", "runner-0", ReleaseResult.ANSWERED, 1))

    def test_requests_that_may_have_arrived_stay_charged(self):
        for fields in ({}, {"path_failed": True}):
            pool = _Pool(retry_allowance=2, retry_share=0.0)
            result = ReleaseResult.FAILED if fields else ReleaseResult.NOT_SENT
            granted = [
                pool.ask("a", f"runner-{number % 2}", result, 1, **fields)
                for number in range(4)
            ]
            self.assertEqual(granted, [True, True, False, False])
            self.assertEqual(len(pool.limits.refunded), 0)


class TestVersions(unittest.TestCase):
    """Verdicts on a new version while some instances are cut off."""

    def play(
        self, seed: int, cut: int, how: Cut, is_bad: bool, share: float = 0.5
    ) -> RollbackReason:
        model = PartitionModel(seed, Shape(servers=8))
        for number in range(8):
            versions = ("v2",) if number >= 4 else ("v1",)
            model.announce(number, versions=versions, sequence=1)
        store = MoveStore()
        spec = MoveSpec("move", SERVICE, "v1", "v2", 60_000, 10_000, share, 2_000)
        store.declare(spec, "ayse", 0)
        for phase in (MovePhase.LOADING, MovePhase.SAMPLING):
            before = store.get("move").phase
            step = MoveStep("move", before, phase, share, RollbackReason.NONE, "")
            store.advance(step, 0)
        model.pool.gate.set_move("v1", store.running(SERVICE))
        model.advance(2.0)
        if is_bad:
            model.bad_versions.add("v2")
        if cut:
            model.cut_off(cut, how)
        model.advance(5.0)
        return model.pool.gate.report(model.pool.server_counts()).reason

    def test_good_version_is_kept_while_instances_are_cut(self):
        for cut in (2, 7):
            for how in Cut:
                for seed in SEEDS:
                    with self.subTest(cut=cut, how=how, seed=seed):
                        reason = self.play(seed, cut, how, is_bad=False)
                        self.assertEqual(reason, RollbackReason.NONE)

    def test_bad_version_is_found(self):
        for seed in SEEDS:
            reason = self.play(seed, 0, Cut.REFUSED, is_bad=True)
            self.assertEqual(reason, RollbackReason.FAILURES)

    def test_bad_version_is_found_beside_a_cut(self):
        for how in Cut:
            for seed in SEEDS:
                reason = self.play(seed, 3, how, is_bad=True)
                self.assertEqual(reason, RollbackReason.FAILURES, how)
