"""Evidence, trials and refusals of equal requests that crash servers."""

import json
import unittest
from unittest import mock

import trio

from sassafraspin.dispatch import RefusalReason
from sassafraspin.isolation import (
    CrashEvidence,
    Harmful,
    Suspected,
    Suspicion,
    Unsuspected,
    request_signature,
)
from tests.crash_model import CrashModel, CrashShape
from tests.pool_model import PoolModel
from tests.test_harmful_parts import PAUSE_SECONDS, HarmfulPartTestCase

SOUND = request_signature("desk", "mill", "POST", "/safe/1", b"sound")
HARMFUL = request_signature("desk", "mill", "POST", "/safe/1", b"harmful")
SETTLED_SECONDS = 1.0


class TestRequestSignature(unittest.TestCase):
    """What makes two requests equal."""

    def test_each_field_counts(self):
        fields = ("desk", "mill", "POST", "/safe/1", b"harmful")
        others = ("model", "farm", "PUT", "/safe/2", b"sound")
        for number, other in enumerate(others):
            changed = (*fields[:number], other, *fields[number + 1 :])
            self.assertNotEqual(request_signature(*changed), HARMFUL)
        self.assertEqual(request_signature(*fields), HARMFUL)

    def test_fields_do_not_run_into_each_other(self):
        first = request_signature("a", "bc", "POST", "/", b"")
        second = request_signature("ab", "c", "POST", "/", b"")
        self.assertNotEqual(first, second)


class TestRequestEvidence(unittest.TestCase):
    """Attribution of crashes to equal requests."""

    def setUp(self):
        self.evidence = CrashEvidence()

    def crash(self, at: float, *signatures: str, is_refused: bool = True):
        """Record a crash of another server; return the verdict, if any."""
        for signature in signatures:
            record = self.evidence.record_loss
            if is_refused:
                record = self.evidence.record_crash
            record(f"s{at}", (signature,), at)
        return self.evidence.find_harmful(at + SETTLED_SECONDS)

    def test_third_crash_decides(self):
        self.assertIsNone(self.crash(1.0, HARMFUL))
        self.assertIsNone(self.crash(3.0, HARMFUL))
        self.assertEqual(self.evidence.suspicion(HARMFUL), Suspected(2))
        verdict = self.crash(5.0, HARMFUL)
        self.assertEqual(verdict.signature, HARMFUL)
        self.assertEqual(verdict.servers, ("s1.0", "s3.0", "s5.0"))

    def test_third_crash_decides_though_addresses_accept_connections(self):
        for number in range(200):
            self.evidence.record_running(f"s{number % 8}", 0.0, 0.5)
        for at in (1.0, 3.0):
            self.assertIsNone(self.crash(at, HARMFUL, is_refused=False))
        verdict = self.crash(5.0, HARMFUL, is_refused=False)
        self.assertEqual(verdict.signature, HARMFUL)

    def test_answer_clears_a_request_that_was_beside_all_crashes(self):
        self.crash(1.0, HARMFUL, SOUND)
        self.crash(3.0, HARMFUL, SOUND)
        self.evidence.record_answer((SOUND,), 4.0)
        self.assertEqual(self.evidence.suspicion(SOUND), Unsuspected())
        self.assertEqual(self.crash(5.0, HARMFUL, SOUND).signature, HARMFUL)
        self.assertIsNone(self.evidence.find_harmful(9.0))

    def test_request_that_was_found_leaves_its_part_under_suspicion(self):
        for at in (1.0, 3.0, 5.0):
            self.evidence.record_crash(f"s{at}", ("part", HARMFUL), at)
        verdict = self.evidence.find_harmful(6.0)
        self.assertEqual(verdict.signature, HARMFUL)
        self.evidence.record_crash("s7", ("part", SOUND), 7.0)
        self.assertEqual(self.evidence.find_harmful(8.0).signature, "part")

    def test_restarted_server_crashes_again(self):
        for incarnation in (1, 2, 3):
            at = 2.0 * incarnation
            self.evidence.record_crash("s1", (HARMFUL,), at, incarnation)
        self.assertEqual(self.evidence.find_harmful(8.0).signature, HARMFUL)

    def test_successor_goes_on_with_the_evidence(self):
        self.crash(1.0, HARMFUL)
        self.crash(3.0, HARMFUL)
        successor = CrashEvidence()
        successor.adopt(self.evidence.report(4.0), 4.0)
        self.assertEqual(successor.suspicion(HARMFUL), Suspected(2))
        successor.record_crash("s5", (HARMFUL,), 5.0)
        self.assertEqual(successor.find_harmful(6.0).signature, HARMFUL)

    def test_crashes_that_only_instances_without_a_path_reported_are_withdrawn(self):
        for server, reporters in (("s1", "a"), ("s2", "ab"), ("s3", "ac")):
            for reporter in reporters:
                self.evidence.record_crash(server, (SOUND,), 1.0, 1, reporter)
        self.evidence.withdraw(frozenset("ab"))
        self.assertEqual(self.evidence.suspicion(SOUND), Suspected(1))
        self.evidence.withdraw(frozenset("abc"))
        self.assertEqual(self.evidence.suspicion(SOUND), Unsuspected())

    def test_request_that_does_not_come_again_is_soon_not_reported(self):
        self.crash(1.0, SOUND)
        self.crash(2.0, HARMFUL)
        self.crash(3.0, HARMFUL)
        self.assertEqual(len(self.evidence.report(30.0).crashes), 3)
        reported = self.evidence.report(100.0).crashes
        self.assertEqual([item.server for item in reported], ["s2.0", "s3.0"])

    def test_answers_of_many_requests_do_not_displace_those_of_parts(self):
        self.evidence.record_answer(("part",), 0.0)
        for number in range(20_000):
            signature = request_signature("desk", "", "GET", f"/{number}", b"")
            self.evidence.record_answer((signature,), 0.0)
        for at in (1.0, 2.0, 3.0, 4.0):
            self.assertIsNone(self.crash(at, "part"))


class FixedSuspects:
    """Suspects with the suspicions that the test sets."""

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}

    def suspicion(self, signature: str) -> Suspicion:
        """Return how far a signature is suspected."""
        return self.suspicions.get(signature, Unsuspected())


class TestTrials(unittest.TestCase):
    """When and where a pool runs requests that may have crashed servers."""

    def setUp(self):
        self.suspects = FixedSuspects()
        self.model = PoolModel(servers=3, suspects=self.suspects)

    def ask(self, signature: str = HARMFUL, answer_tokens: int = 10) -> str | None:
        """Send a request; return the server that it runs at, ``None`` if it waits."""
        request = self.model.ask(0, answer_tokens, signature=signature)
        running = self.model.running.get(request.request_id)
        return None if running is None else running.grant.backend_id

    def suspect(self, crashes: int, signature: str = HARMFUL) -> None:
        self.suspects.suspicions[signature] = Suspected(crashes)

    def test_unsuspected_requests_run_at_the_same_time(self):
        self.assertEqual(len({self.ask() for _ in range(3)} - {None}), 3)

    def test_suspect_runs_once_at_a_time(self):
        self.suspect(1)
        self.assertIsNotNone(self.ask())
        self.assertIsNone(self.ask())
        self.model.advance(0.5)
        self.assertEqual(self.model.waiting, {})

    def test_suspect_that_runs_on_does_not_hold_up_others(self):
        self.suspect(1)
        self.assertIsNotNone(self.ask(answer_tokens=400))
        self.assertIsNone(self.ask())
        self.model.advance(1.2)
        self.assertEqual(self.model.waiting, {})

    def test_suspects_run_apart_from_each_other(self):
        self.suspect(2)
        self.suspect(1, SOUND)
        self.assertNotEqual(self.ask(), self.ask(SOUND))

    def test_others_avoid_the_server_of_a_suspect_of_several_crashes(self):
        self.suspect(2)
        server = self.ask()
        used = {self.ask("") for _ in range(4)}
        self.assertNotIn(server, used)

    def test_others_use_every_server_if_they_must(self):
        self.suspect(2)
        server = self.ask()
        used = [self.ask("") for _ in range(5)]
        self.assertIn(server, used)

    def test_trials_after_three_crashes_are_spaced(self):
        self.suspect(3)
        self.model.advance(1.0)
        self.assertIsNotNone(self.ask())
        self.model.advance(1.0)
        self.assertIsNone(self.ask())
        [refused] = self.model.refused
        self.assertIs(refused.reason, RefusalReason.ON_TRIAL)
        self.model.advance(2.5)
        self.assertIsNotNone(self.ask())

    def test_trials_become_rarer_with_each_crash(self):
        pauses = []
        for crashes in (3, 4, 5, 6, 300):
            self.suspect(crashes)
            self.model.now += 100.0
            for number in range(3):
                self.model.announce(number)
            self.assertIsNotNone(self.ask())
            self.ask()
            pauses.append(self.model.refusals[-1].retry_after_ms / 1000)
            self.model.advance(0.5)
        self.assertEqual([round(pause) for pause in pauses], [3, 12, 30, 30, 30])

    def test_copies_that_wait_are_few(self):
        self.suspect(2)
        self.ask(answer_tokens=50)
        for _ in range(10):
            self.ask()
        self.assertLessEqual(len(self.model.waiting), 4)
        reasons = {item.reason for item in self.model.refused}
        self.assertEqual(reasons, {RefusalReason.ON_TRIAL})

    def test_harmful_request_is_refused_before_its_verdict_is_in_force(self):
        self.suspects.suspicions[HARMFUL] = Harmful()
        self.assertIsNone(self.ask())
        self.assertEqual(self.model.waiting, {})


class TestRequestsOnConnections(HarmfulPartTestCase):
    """Equal requests to servers that crash on them, on real connections."""

    harmful = "/harmful"
    path = "/safe/harmful"
    allowed_requests = 6
    """Three until the third crash, and three more."""

    async def crash_servers(self, deployment, calls: int = 10) -> list[int]:
        """Send the harmful request; return the statuses of its answers."""
        statuses = []
        for _ in range(calls):
            statuses.append((await deployment.call(self.path)).status)
            await trio.sleep(PAUSE_SECONDS)
        return statuses

    def count_harmful(self, servers) -> int:
        requests = [item for server in servers for item in server.requests]
        return sum(self.harmful.encode() in item for item in requests)

    def test_copies_are_refused_as_not_run(self):
        async def scenario(deployment, servers):
            statuses = await self.crash_servers(deployment)
            self.assertLessEqual(self.count_harmful(servers), self.allowed_requests)
            self.assertEqual(statuses[-1], 503)
            response = await deployment.call(self.path)
            document = json.loads(response.body)
            self.assertEqual(document["execution"], "not-run")
            self.assertIn("request-isolated", document["type"])
            self.assertIsNotNone(response.headers.get("retry-after"))

        self.run_scenario(scenario)

    def test_other_requests_are_served(self):
        async def scenario(deployment, servers):
            await self.crash_servers(deployment)
            for _ in range(10):
                response = await deployment.call("/safe/sound")
                self.assertEqual(response.status, 200)

        self.run_scenario(scenario)

    def test_operator_lists_and_readmits_a_request(self):
        async def scenario(deployment, servers):
            await self.crash_servers(deployment)
            listed = await deployment.control("GET", "isolated-parts")
            [isolated] = json.loads(listed.body)
            signature = isolated["part"]
            self.assertTrue(signature.startswith("request:"))
            path = f"isolated-parts/{signature}"
            self.assertEqual((await deployment.control("DELETE", path)).status, 200)
            reached = self.count_harmful(servers)
            await deployment.call(self.path)
            self.assertGreater(self.count_harmful(servers), reached)

        self.run_scenario(scenario)


class TestExpiry(unittest.TestCase):
    """A request that was isolated is tried again some time later."""

    def test_isolation_of_a_request_ends_with_its_time(self):
        async def scenario(model):
            model.start_harmful()
            await trio.sleep(15.0)
            crashes.append(model.crashes)
            await trio.sleep(25.0)
            crashes.append(model.crashes)

        crashes = []
        model = CrashModel(1, CrashShape(calls_per_second=6.0))
        with mock.patch("sassafraspin.routed.isolation._REQUEST_ISOLATION_MS", 25_000):
            model.run(scenario)
        before, after = crashes
        self.assertGreater(after, before)
        self.assertLessEqual(after, before + 6)
