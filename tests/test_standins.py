"""The stand-in engine: orders, fencing and bad versions."""

import random
import unittest

import msgspec
import trio

from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request, Response
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address
from sassafraspin.standins import (
    AnnouncerSettings,
    EngineCore,
    EngineServer,
    EngineSettings,
    FaultSettings,
)
from sassafraspin.standins.faults import FaultModel

HOST = "127.0.0.1"


class TestOrders(unittest.TestCase):
    """Orders are carried out, refused with an old number, or named as invalid."""

    def give(self, checks_fencing: bool, *orders: dict) -> list[Response]:
        """Give orders to an engine and return its answers."""

        async def run() -> list[Response]:
            [port, nowhere] = free_ports(2)
            announcer = AnnouncerSettings((Address(HOST, nowhere),), "token")
            self.engine = EngineServer(
                EngineSettings(
                    "runner-1",
                    "model",
                    Address(HOST, port),
                    "zone",
                    announcer,
                    load_ms=1,
                    checks_fencing=checks_fencing,
                )
            )
            client = HttpClient(ClientTimeouts())
            async with trio.open_nursery() as nursery:
                await nursery.start(self.engine.run)
                answers = [
                    await client.send(
                        Address(HOST, port),
                        Request(
                            "POST",
                            "/v1/orders",
                            Headers((("host", "test"),)),
                            msgspec.json.encode(order),
                        ),
                    )
                    for order in orders
                ]
                nursery.cancel_scope.cancel()
            client.close()
            return answers

        return trio.run(run)

    def test_load_keeps_the_newest_versions(self):
        answers = self.give(
            True,
            {"kind": "load", "version": "v2", "fencing": 1},
            {"kind": "load", "version": "v3", "fencing": 1},
        )
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual(len(self.engine._versions), 2)
        self.assertIn("v3", self.engine._versions)

    def test_older_number_is_refused(self):
        answers = self.give(
            True,
            {"kind": "load", "version": "v2", "fencing": 5},
            {"kind": "load", "version": "v3", "fencing": 4},
        )
        self.assertEqual([answer.status for answer in answers], [200, 422])

    def test_engine_that_ignores_numbers(self):
        answers = self.give(
            False,
            {"kind": "load", "version": "v2", "fencing": 5},
            {"kind": "load", "version": "v3", "fencing": 4},
        )
        self.assertEqual([answer.status for answer in answers], [200, 200])

    def test_role(self):
        [answer] = self.give(True, {"kind": "role", "role": "prefill", "fencing": 1})
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.engine._role, "prefill")

    def test_invalid_order(self):
        answers = self.give(
            True, {"kind": "load", "fencing": 1}, {"kind": "sing", "fencing": 1}
        )
        self.assertEqual([answer.status for answer in answers], [422, 422])


class TestEngineCore(unittest.TestCase):
    """Memory, prefix cache and reports."""

    def core(self, **fields) -> EngineCore:
        announcer = AnnouncerSettings((Address(HOST, 1),), "t", report_lag_ms=1_000)
        return EngineCore(
            EngineSettings(
                "runner-1", "model", Address(HOST, 1), "zone", announcer, **fields
            )
        )

    def test_memory_is_reserved_for_the_answer(self):
        core = self.core(kv_tokens=100)
        core.start(b"x" * 200, 40, "v1", "/r")
        self.assertFalse(core.has_memory(b"x" * 40, 10))
        self.assertTrue(core.has_memory(b"x" * 20, 5))
        core.finish(b"x" * 200, 40, 40)
        self.assertTrue(core.has_memory(b"x" * 4_000, 10))

    def test_shared_prefix_is_computed_once(self):
        core = self.core()
        first = core.prefill(b"x" * 1024, 0.0)
        again = core.prefill(b"x" * 1024, 0.0)
        self.assertEqual((first, again), (256, 1))

    def test_cache_reports_come_late_with_evictions(self):
        core = self.core(cache_blocks=2)
        core.prefill(b"x" * 768, 0.0)
        early = core.cache_report(0.5)
        late = core.cache_report(1.0)
        self.assertEqual((early.added, early.removed), ((), ()))
        self.assertEqual((len(late.added), len(late.removed)), (3, 1))
        self.assertEqual((early.sequence, late.sequence), (1, 2))

    def test_load_reports_lag(self):
        core = self.core()
        core.load_report(0.0)
        core.start(b"x", 1, "v1", "/r")
        self.assertEqual(core.load_report(0.5).running, 0)
        self.assertEqual(core.load_report(1.6).running, 1)


class TestFaults(unittest.TestCase):
    """A version can be bad in each of the ways."""

    def model(self, **fields) -> FaultModel:
        fault = FaultSettings(**{"version": "v2", "kind": "fail", **fields})
        return FaultModel((fault,), random.Random(1))

    def test_only_its_version(self):
        self.assertFalse(self.model().effect("v1", "/r", 0).fails)
        self.assertTrue(self.model().effect("v2", "/r", 0).fails)

    def test_late(self):
        model = self.model(after_requests=2)
        fails = [model.effect("v2", "/r", 0).fails for _ in range(3)]
        self.assertEqual(fails, [False, False, True])

    def test_under_load(self):
        model = self.model(running_from=3)
        self.assertFalse(model.effect("v2", "/r", 2).fails)
        self.assertTrue(model.effect("v2", "/r", 3).fails)

    def test_on_one_route(self):
        model = self.model(route="/r")
        self.assertFalse(model.effect("v2", "/s", 0).fails)
        self.assertTrue(model.effect("v2", "/r", 0).fails)

    def test_slow(self):
        effect = self.model(kind="slow", factor=3.0).effect("v2", "/r", 0)
        self.assertEqual(effect.slowdown, 3.0)
