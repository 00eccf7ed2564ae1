"""Servers that leave get no requests after this is acknowledged, whoever dispatches."""

import random
import unittest
from dataclasses import replace
from types import SimpleNamespace

import msgspec
import trio
import trio.testing

from sassafraspin.admission import AccountLimits
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import SlotGrant, SlotRequest
from sassafraspin.dispatch.directory_messages import (
    DirectoryUpdate,
)
from sassafraspin.dispatch.messages import DispatchMessage
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.membership import MemberIdentity
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement
from tests.routed_model import (
    ANNOUNCEMENT_TTL_SECONDS,
    CONTROL,
    ENTRIES,
    LEASE_SECONDS,
    RoutedModel,
    routed_model,
    run_in_virtual_time,
)
from tests.test_slots import slot_request

MAX_USE_SECONDS = 2.0
"""Time after the acknowledgement for which a server that leaves still serves."""

MAX_DELAY_SECONDS = 15.0
"""Longest time that an announcement is on its way."""

MAX_JOIN_SECONDS = 0.3
MAX_REFUSAL_SECONDS = 0.1
GRANT_USE_SECONDS = 0.5
SERVERS = ("i1", "i2")
DESK = "desk"
"""Service of the backend servers of the model."""


class LeavingTestCase(unittest.TestCase):
    """Runs a scenario with the servers ``i1``, which leaves, and ``i2``."""

    def run_scenario(self, scenario) -> None:
        async def run() -> None:
            async with routed_model(SERVERS) as model:
                await scenario(model)

        run_in_virtual_time(run)

    async def assert_unused(
        self, model: RoutedModel, names: tuple[str, ...], seconds: float = 5.0
    ) -> None:
        """Check that requests at some instances do not use ``i1`` for some time."""
        self.assertNotIn("i1", await model.used_servers(names, seconds))


class TestStandby(LeavingTestCase):
    """Instances that dispatch by themselves while they do not hear from the leader."""

    def test_open_standby_stops_using_a_server_that_the_directory_says_leaves(self):
        async def scenario(model):
            leader = model.leader()
            model.cut(("e0",), CONTROL)
            used = await model.used_servers(("e0",), 0.8)
            self.assertIn("i1", used)
            (ready,) = [
                item.announcement
                for item in model.runtimes[leader]._dispatch.backends()
                if item.announcement.id == "i1"
            ]
            left = replace(ready, leaving=True, sequence=ready.sequence + 1)
            model.runtimes["e0"].receive(
                MemberIdentity(leader, 1), DirectoryUpdate.of(left)
            )
            await self.assert_unused(model, ("e0",), 1.0)

        self.run_scenario(scenario)

    def test_leave_is_not_acknowledged_while_a_cut_off_instance_may_use_the_server(
        self,
    ):
        async def scenario(model):
            model.cut(("e0",), CONTROL)
            await model.used_servers(("e0",), 0.8)
            await model.report_leave("i1")
            await trio.sleep(MAX_USE_SECONDS)
            await self.assert_unused(model, ("e0",))

        self.run_scenario(scenario)

    def test_withdrawal_is_not_acknowledged_while_a_cut_off_instance_may_use_the_server(
        self,
    ):
        async def scenario(model):
            model.cut(("e0",), CONTROL)
            await model.used_servers(("e0",), 0.8)
            await model.delete("i1")
            await trio.sleep(MAX_USE_SECONDS)
            await self.assert_unused(model, ("e0",))

        self.run_scenario(scenario)

    def test_cut_off_instance_refuses_at_once_after_its_lease(self):
        async def scenario(model):
            model.cut(("e0",), CONTROL)
            await model.used_servers(("e0",), LEASE_SECONDS + 0.5)
            asked_at = trio.current_time()
            self.assertIsNone(await model.used_server("e0"))
            self.assertLess(trio.current_time() - asked_at, MAX_REFUSAL_SECONDS)

        self.run_scenario(scenario)

    def test_leave_while_the_old_leader_is_cut_off_from_its_quorum(self):
        async def scenario(model):
            old = model.leader()
            model.cut((old,), tuple(name for name in CONTROL if name != old))
            await model.used_servers(ENTRIES, 0.8)
            await model.wait_for_leader(other_than=old)
            await model.report_leave("i1")
            await trio.sleep(MAX_USE_SECONDS)
            await self.assert_unused(model, (*CONTROL, *ENTRIES))

        self.run_scenario(scenario)


class TestJoiningInstance(LeavingTestCase):
    """An instance that joins the view knows the servers as soon as it may use them."""

    def test_server_that_came_while_an_instance_was_cut_off_is_known_there(self):
        async def scenario(model):
            everyone = tuple(name for name in (*CONTROL, *ENTRIES) if name != "e0")
            model.cut(("e0",), everyone)
            await trio.sleep(LEASE_SECONDS + 1.0)
            await model.announce(model.leader(), "i3", "ready", sequence=1)
            await trio.sleep(0.5)
            model.blocked_links.clear()
            joining = model.runtimes["e0"]
            leader = model.runtimes[model.leader()]
            await model.seconds_until(lambda: leader.node.view.find("e0") is not None)
            await trio.sleep(MAX_JOIN_SECONDS)
            known = {item.id for item in joining._directory.of_service(DESK)}
            self.assertIn("i3", known)

        self.run_scenario(scenario)


class TestLateAnnouncements(LeavingTestCase):
    """An announcement that was sent before the leave and arrives after it."""

    async def leave_then_forget(self, model: RoutedModel) -> None:
        await model.report_leave("i1")
        await trio.sleep(ANNOUNCEMENT_TTL_SECONDS + 0.5)

    async def change_leader(self, model: RoutedModel) -> str:
        old = model.leader()
        model.stop(old)
        new = await model.wait_for_leader(other_than=old)
        await trio.sleep(0.5)
        return new

    def test_late_announcement_does_not_bring_back_a_forgotten_server(self):
        async def scenario(model):
            await self.leave_then_forget(model)
            await model.announce(model.leader(), "i1", "ready", sequence=1)
            await self.assert_unused(model, ENTRIES, 1.0)

        self.run_scenario(scenario)

    def test_leave_older_than_the_last_announcement_is_not_acknowledged(self):
        async def scenario(model):
            response = await model.announce(
                model.leader(), "i1", "draining", sequence=0
            )
            self.assertEqual(response.status, 503)
            self.assertIn("i1", await model.used_servers(ENTRIES, 0.5))

        self.run_scenario(scenario)

    def test_server_that_numbers_its_announcements_anew_is_used_again(self):
        async def scenario(model):
            await self.leave_then_forget(model)
            await trio.sleep(MAX_DELAY_SECONDS)
            await model.announce(model.leader(), "i1", "ready", sequence=1)
            self.assertIn("i1", await model.used_servers(ENTRIES, 1.0))
            await self.change_leader(model)
            self.assertIn("i1", await model.used_servers(ENTRIES, 1.0))

        self.run_scenario(scenario)

    def test_late_announcement_does_not_bring_back_a_server_at_a_new_leader(self):
        async def scenario(model):
            await model.report_leave("i1")
            await trio.sleep(0.5)
            new = await self.change_leader(model)
            await model.announce(new, "i1", "ready", sequence=1)
            await self.assert_unused(model, ENTRIES, 1.0)

        self.run_scenario(scenario)

    def test_late_announcement_does_not_bring_back_a_withdrawn_server(self):
        async def scenario(model):
            await model.delete("i1")
            await trio.sleep(0.5)
            new = await self.change_leader(model)
            await model.announce(new, "i1", "ready", sequence=1)
            await self.assert_unused(model, ENTRIES, 1.0)

        self.run_scenario(scenario)

    def test_late_announcement_does_not_bring_back_a_server_unknown_when_withdrawn(
        self,
    ):
        async def scenario(model):
            await model.delete("i0")
            for _ in range(3):
                await model.announce(model.leader(), "i0", "ready", sequence=1)
                used = await model.used_servers(ENTRIES, 0.3)
                self.assertNotIn("i0", used)
            await self.change_leader(model)
            await model.announce(model.leader(), "i0", "ready", sequence=1)
            self.assertNotIn("i0", await model.used_servers(ENTRIES, 1.0))

        self.run_scenario(scenario)

    def test_late_announcement_does_not_bring_back_a_server_withdrawn_while_unknown(
        self,
    ):
        async def scenario(model):
            model.stop_server("i1")
            await trio.sleep(ANNOUNCEMENT_TTL_SECONDS + 0.5)
            await model.delete("i1")
            await model.announce(model.leader(), "i1", "ready", sequence=1)
            await self.assert_unused(model, ENTRIES, 1.0)

        self.run_scenario(scenario)

    def test_leave_outlives_the_leader_that_acknowledged_it(self):
        """The leader stops before it has told the other instances."""

        async def scenario(model):
            old = model.leader()
            await model.report_leave("i1")
            model.stop(old)
            await trio.sleep(MAX_USE_SECONDS)
            await self.assert_unused(model, ENTRIES)

        self.run_scenario(scenario)


class TestLeaderAboutToBeReplaced(LeavingTestCase):
    """A leader that is cut off from its quorum holds its lease for a moment."""

    def test_leave_acknowledged_by_a_leader_just_cut_off_from_its_quorum(self):
        async def scenario(model):
            old = model.leader()
            others = tuple(name for name in CONTROL if name != old)
            model.cut((old,), others)
            await model.report_leave("i1")
            await trio.sleep(MAX_USE_SECONDS)
            await self.assert_unused(model, (*others, *ENTRIES))

        self.run_scenario(scenario)


class DispatcherLink:
    """A slot client and its dispatcher, whose answers can be lost or delayed."""

    def __init__(self) -> None:
        self.delay = 0.0
        self.loses_answers = False
        self.nursery: trio.Nursery | None = None
        settings = DispatchSettings(
            grant_use_within_ms=int(GRANT_USE_SECONDS * 1000), slot_repeat_ms=40
        )
        self.pool = Pool(
            SERVICE,
            settings,
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "term",
            trio.current_time(),
            (announcement(0),),
        )
        node = SimpleNamespace(
            name="entry",
            settings=SimpleNamespace(dispatch=settings),
            lease=SimpleNamespace(leader="leader"),
            view=SimpleNamespace(number=1),
            now=trio.current_time,
            dispatcher_of=lambda service: "leader",
            send=self._receive,
        )
        self.client = SlotClient(node)

    def _receive(self, target: str, message: DispatchMessage) -> None:
        if not isinstance(message, SlotRequest):
            return
        effects = self.pool.request("entry", message, trio.current_time())
        if not self.loses_answers:
            self.nursery.start_soon(self._answer, effects, self.delay)

    async def _answer(self, effects: list, delay: float) -> None:
        await trio.sleep(delay)
        for effect in effects:
            self.client.receive("leader", effect.message)


class TestLateGrants(unittest.TestCase):
    """A grant ends at the dispatcher's time, however late its message arrives."""

    def assert_not_usable(self, before_the_answer) -> None:
        """Check that a grant is not used whose server left before it arrived."""

        async def scenario() -> None:
            request = msgspec.structs.replace(slot_request(3_000), service=SERVICE)
            link = DispatcherLink()
            async with trio.open_nursery() as link.nursery:
                link.nursery.start_soon(before_the_answer, link)
                await trio.testing.wait_all_tasks_blocked()
                grant = await link.client.acquire(request)
                is_usable = isinstance(grant, SlotGrant) and link.client.is_usable(
                    grant
                )
                self.assertFalse(is_usable)
                link.nursery.cancel_scope.cancel()

        run_in_virtual_time(scenario)

    async def leave_soon(self, link: DispatcherLink) -> None:
        await trio.sleep(0.1)
        link.pool.announce(announcement(0, leaving=True), trio.current_time())

    def test_grant_that_arrives_late_is_not_used(self):
        async def delay(link):
            link.delay = 3 * GRANT_USE_SECONDS
            await self.leave_soon(link)

        self.assert_not_usable(delay)

    def test_grant_that_is_sent_again_is_not_used(self):
        async def lose(link):
            link.loses_answers = True
            await self.leave_soon(link)
            await trio.sleep(3 * GRANT_USE_SECONDS)
            link.loses_answers = False

        self.assert_not_usable(lose)
