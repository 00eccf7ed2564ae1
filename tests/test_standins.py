"""Stand-in engine: orders, fencing tokens, memory, cache and injected faults."""

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
    """Orders are executed, or refused for a stale fencing token or as invalid."""

    def send_orders(self, checks_fencing: bool, *orders: dict) -> list[Response]:
        """Send orders to an engine and return its responses."""

        async def run() -> list[Response]:
            [port, unused_port] = free_ports(2)
            announcer = AnnouncerSettings((Address(HOST, unused_port),), "token")
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
        answers = self.send_orders(
            True,
            {"kind": "load", "version": "v2", "fencing": 1},
            {"kind": "load", "version": "v3", "fencing": 1},
        )
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual(len(self.engine._versions), 2)
        self.assertIn("v3", self.engine._versions)

    def test_stale_fencing_token_is_refused(self):
        answers = self.send_orders(
            True,
            {"kind": "load", "version": "v2", "fencing": 5},
            {"kind": "load", "version": "v3", "fencing": 4},
        )
        self.assertEqual([answer.status for answer in answers], [200, 422])

    def test_fencing_check_can_be_disabled(self):
        answers = self.send_orders(
            False,
            {"kind": "load", "version": "v2", "fencing": 5},
            {"kind": "load", "version": "v3", "fencing": 4},
        )
        self.assertEqual([answer.status for answer in answers], [200, 200])

    def test_role_is_changed(self):
        [answer] = self.send_orders(
            True, {"kind": "role", "role": "prefill", "fencing": 1}
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.engine._role, "prefill")

    def test_invalid_orders_are_refused(self):
        answers = self.send_orders(
            True, {"kind": "load", "fencing": 1}, {"kind": "sing", "fencing": 1}
        )
        self.assertEqual([answer.status for answer in answers], [422, 422])


class TestEngineCore(unittest.TestCase):
    """KV memory, prefix cache, and delayed load and cache reports.

    A token is 4 bytes long, and a prompt block 64 tokens.
    """

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

    def test_cache_reports_are_delayed_and_list_evictions(self):
        core = self.core(cache_blocks=2)
        core.prefill(b"x" * 768, 0.0)
        early = core.cache_report(0.5)
        late = core.cache_report(1.0)
        self.assertEqual((early.added, early.removed), ((), ()))
        self.assertEqual((len(late.added), len(late.removed)), (3, 1))
        self.assertEqual((early.sequence, late.sequence), (1, 2))

    def test_load_reports_are_delayed(self):
        core = self.core()
        core.load_report(0.0)
        core.start(b"x", 1, "v1", "/r")
        self.assertEqual(core.load_report(0.5).running, 0)
        self.assertEqual(core.load_report(1.6).running, 1)


class TestFaults(unittest.TestCase):
    """Each kind of fault affects the configured requests only."""

    def model(self, **fields) -> FaultModel:
        fault = FaultSettings(**{"version": "v2", "kind": "fail", **fields})
        return FaultModel((fault,), random.Random(1))

    def test_fault_is_limited_to_its_version(self):
        self.assertFalse(self.model().effect("v1", "/r", 0).fails)
        self.assertTrue(self.model().effect("v2", "/r", 0).fails)

    def test_fault_begins_after_a_number_of_requests(self):
        model = self.model(after_requests=2)
        fails = [model.effect("v2", "/r", 0).fails for _ in range(3)]
        self.assertEqual(fails, [False, False, True])

    def test_fault_needs_a_minimum_of_running_requests(self):
        model = self.model(running_from=3)
        self.assertFalse(model.effect("v2", "/r", 2).fails)
        self.assertTrue(model.effect("v2", "/r", 3).fails)

    def test_fault_is_limited_to_its_route(self):
        model = self.model(route="/r")
        self.assertFalse(model.effect("v2", "/s", 0).fails)
        self.assertTrue(model.effect("v2", "/r", 0).fails)

    def test_slow_fault_multiplies_the_duration(self):
        effect = self.model(kind="slow", factor=3.0).effect("v2", "/r", 0)
        self.assertEqual(effect.slowdown, 3.0)
