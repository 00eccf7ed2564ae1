"""Evacuated availability zones get no new requests, whoever dispatches."""

import random
import unittest

import msgspec
import trio

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import Evacuation
from sassafraspin.control import (
    CommandOutcome,
    ControlState,
    EvacuateZone,
    OutcomeKind,
    ReopenZone,
)
from sassafraspin.control.commands import decode_command, encode_command
from sassafraspin.dispatch import (
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement
from tests.routed_model import (
    CONTROL,
    RoutedModel,
    routed_model,
    run_in_virtual_time,
)

EVACUATE_SECONDS = 5.0
"""Bound of the platform from the acknowledgement until the zone gets nothing more."""

ACK_SECONDS = 1.0


class TestEvacuationOrders(unittest.TestCase):
    """Orders in the control log."""

    def setUp(self):
        self.state = ControlState()

    def apply(self, command: EvacuateZone | ReopenZone) -> CommandOutcome:
        """Apply a command in the form in which the log stores it."""
        stored = decode_command(encode_command(command))
        return self.state.apply(self.state.index + 1, stored)

    def test_order_that_is_sent_again_changes_nothing(self):
        first = self.apply(EvacuateZone("c1", "operator", 5, "z1"))
        again = self.apply(EvacuateZone("c2", "operator", 9, "z1"))
        self.assertIs(first.kind, OutcomeKind.ACCEPTED)
        self.assertIs(again.kind, OutcomeKind.UNCHANGED)
        evacuations = self.state.evacuations.all_evacuations()
        self.assertEqual(evacuations, (Evacuation("z1", 5),))

    def test_zone_that_is_not_evacuated_may_be_reopened(self):
        outcome = self.apply(ReopenZone("c1", "operator", 5, "z1"))
        self.assertIs(outcome.kind, OutcomeKind.UNCHANGED)

    def test_orders_survive_a_snapshot(self):
        """A snapshot without the evacuations would lose acknowledged orders."""
        for number, zone in enumerate(("z1", "z2", "z3")):
            self.apply(EvacuateZone(f"c{number}", "operator", number, zone))
        self.apply(ReopenZone("c4", "operator", 9, "z2"))
        restored = ControlState.from_bytes(self.state.index, self.state.to_bytes())
        self.assertEqual(restored.evacuations.zones, {"z1", "z3"})

    def test_snapshot_of_an_older_build_is_loaded(self):
        """It has no evacuations; an instance that refuses it would lose its state."""
        self.apply(EvacuateZone("c1", "operator", 5, "z1"))
        fields = msgspec.msgpack.decode(self.state.to_bytes())
        del fields["evacuations"]
        restored = ControlState.from_bytes(1, msgspec.msgpack.encode(fields))
        self.assertEqual(restored.evacuations.zones, set())


class TestPoolOfEvacuatedZone(unittest.TestCase):
    """A pool with a server of one slot in each of two zones."""

    def setUp(self):
        self.pool = Pool(
            SERVICE,
            DispatchSettings(grant_use_within_ms=500),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "d",
            0.0,
            tuple(
                announcement(number, availability_zone=f"z{number}", slots=1)
                for number in (1, 2)
            ),
        )

    def ask(self, name: str, now: float, **fields) -> list[object]:
        """Request a slot; return the messages to its entry instance."""
        request = SlotRequest(
            f"{SERVICE}:{name}", SERVICE, "a", "p", "/r", 0, 10, 10, 60_000, False
        )
        request = msgspec.structs.replace(request, **fields)
        return [effect.message for effect in self.pool.request("e1", request, now)]

    def granted(self, name: str, now: float, **fields) -> SlotGrant:
        """Request a slot that is granted at once."""
        messages = self.ask(name, now, **fields)
        return next(item for item in messages if isinstance(item, SlotGrant))

    def test_requests_use_the_remaining_zone(self):
        self.pool.close_zones(frozenset({"z1"}), 0.0)
        grant = self.granted("a", 0.1)
        self.assertEqual(grant.backend_id, "runner-2")

    def test_server_that_registers_later_is_not_used_either(self):
        self.pool.close_zones(frozenset({"z1", "z2"}), 0.0)
        self.pool.announce(announcement(3, availability_zone="z1"), 0.1)
        (refusal,) = self.ask("a", 0.2)
        self.assertIs(refusal.reason, RefusalReason.NO_BACKEND)

    def test_running_request_ends_in_its_zone(self):
        grant = self.granted("a", 0.0)
        zone = f"z{grant.backend_id[-1]}"
        self.pool.close_zones(frozenset({zone}), 0.1)
        self.assertIsNotNone(self.pool.grant(grant.grant_id))
        ended = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            ReleaseResult.ANSWERED,
        )
        self.pool.release(ended, 0.5)
        self.assertIsNone(self.pool.grant(grant.grant_id))
        other = self.granted("b", 0.6)
        self.assertNotEqual(other.backend_id, grant.backend_id)

    def test_waiting_request_gets_a_slot_when_a_zone_is_reopened(self):
        self.pool.close_zones(frozenset({"z1"}), 0.0)
        self.ask("a", 0.0)
        self.ask("b", 0.0)
        effects = self.pool.close_zones(frozenset(), 0.1)
        granted = [item.message.backend_id for item in effects]
        self.assertEqual(granted, ["runner-1"])

    def test_requests_that_run_in_the_zone_use_no_slot_elsewhere(self):
        """They must not make the remaining zone look full while it has a free slot."""
        for number in (1, 2):
            item = announcement(
                number, availability_zone=f"z{number}", slots=4, sequence=1
            )
            self.pool.announce(item, 0.0)
        for number in range(6):
            self.granted(f"running-{number}", 0.0, answer_tokens=500)
        self.pool.close_zones(frozenset({"z1"}), 0.1)
        grant = self.granted("a", 0.2, start_within_ms=400, deadline_ms=1_000)
        self.assertEqual(grant.backend_id, "runner-2")

    def test_request_that_runs_in_the_zone_is_not_preempted(self):
        """Its slot would be free, but nobody may use it."""
        low = {"answer_tokens": 5_000, "tier": 2, "cancellable": True}
        running = {
            item.backend_id: item
            for item in (
                self.granted("low-1", 0.0, **low),
                self.granted("low-2", 0.0, **low),
            )
        }
        self.pool.close_zones(frozenset({"z1"}), 0.1)
        revoked = [
            message.grant_id
            for number in range(2)
            for message in self.ask(f"high-{number}", 0.2, deadline_ms=2_000)
            if isinstance(message, SlotRevoke)
        ]
        self.assertEqual(revoked, [running["runner-2"].grant_id])

    def test_evacuation_of_all_zones_is_a_refusal_before_the_request_has_run(self):
        self.pool.close_zones(frozenset({"z1", "z2"}), 0.0)
        (refusal,) = self.ask("a", 0.1)
        self.assertIsInstance(refusal, SlotRefusal)
        self.assertGreater(refusal.retry_after_ms, 0)


class TestEvacuationAcrossInstances(unittest.TestCase):
    """Orders of operators to instances that may lose one another."""

    def run_scenario(self, scenario) -> None:
        async def run() -> None:
            async with routed_model(("i1", "i2")) as model:
                await scenario(model)

        run_in_virtual_time(run)

    async def order(self, model: RoutedModel, method: str, zone: str) -> int:
        """Send an order to the leader and return the status."""
        leader = await model.wait_for_leader()
        response = await model.control(leader, method, f"evacuations/{zone}")
        return response.status

    def test_order_is_acknowledged_and_in_force_on_all_instances(self):
        async def scenario(model):
            asked_at = trio.current_time()
            self.assertEqual(await self.order(model, "POST", "a"), 200)
            self.assertLess(trio.current_time() - asked_at, ACK_SECONDS)
            self.assertEqual(await self.order(model, "POST", "a"), 200)
            await trio.sleep(1.0)
            used = await model.used_servers(("e0", *CONTROL), 1.0)
            self.assertEqual(used, set())
            self.assertEqual(await self.order(model, "DELETE", "a"), 200)
            self.assertEqual(await self.order(model, "DELETE", "a"), 200)
            await trio.sleep(0.5)
            self.assertTrue(await model.used_servers(("e0",), 1.0))

        self.run_scenario(scenario)

    def test_unknown_zone_is_named_in_the_refusal(self):
        async def scenario(model):
            leader = await model.wait_for_leader()
            response = await model.control(leader, "POST", "evacuations/nowhere")
            self.assertEqual(response.status, 404)
            self.assertIn(b"nowhere", response.body)

        self.run_scenario(scenario)

    def test_order_is_acknowledged_again_after_its_servers_are_gone(self):
        """An accepted order must not be refused when it is sent again."""

        async def scenario(model):
            self.assertEqual(await self.order(model, "POST", "a"), 200)
            model.stop_server("i1")
            model.stop_server("i2")
            await trio.sleep(10.0)
            self.assertEqual(await self.order(model, "POST", "a"), 200)

        self.run_scenario(scenario)

    def test_instance_without_a_leader_does_not_call_a_zone_unknown(self):
        """It has no servers of its own, so that it cannot tell."""

        async def scenario(model):
            await model.wait_for_leader()
            model.cut(("e0",), CONTROL)
            await trio.sleep(EVACUATE_SECONDS)
            response = await model.control("e0", "POST", "evacuations/a")
            self.assertEqual(response.status, 503)

        self.run_scenario(scenario)

    def test_new_leader_and_standby_obey_the_order(self):
        """A dispatcher that takes over must know the order before it grants a slot."""

        async def scenario(model):
            leader = await model.wait_for_leader()
            self.assertEqual(await self.order(model, "POST", "a"), 200)
            await trio.sleep(1.0)
            model.stop(leader)
            names = tuple(name for name in (*CONTROL, "e0") if name != leader)
            self.assertEqual(await model.used_servers(names, 4.0), set())

        self.run_scenario(scenario)

    def test_partitioned_instance_stops_within_the_bound(self):
        """Its standby may use the zone until its lease has ended, not longer."""

        async def scenario(model):
            model.cut(("e0",), CONTROL)
            await trio.sleep(1.0)
            self.assertEqual(await self.order(model, "POST", "a"), 200)
            await trio.sleep(EVACUATE_SECONDS)
            self.assertEqual(await model.used_servers(("e0",), 2.0), set())

        self.run_scenario(scenario)

    def test_order_to_a_minority_is_not_acknowledged(self):
        """An acknowledged order must survive, so that a minority cannot take it."""

        async def scenario(model):
            leader = await model.wait_for_leader()
            others = tuple(name for name in CONTROL if name != leader)
            model.cut((leader,), others)
            response = await model.control(leader, "POST", "evacuations/a")
            self.assertNotEqual(response.status, 200)
            await model.wait_for_leader(other_than=leader)
            self.assertEqual(await self.order(model, "POST", "a"), 200)

        self.run_scenario(scenario)
