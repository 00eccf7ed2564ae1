"""Loans of unused slots between instances while no dispatcher responds."""

import random
import unittest
from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace

import trio
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sassafraspin.admission import UsageCaps
from sassafraspin.control import ControlState
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import (
    HeldGrants,
    RefusalReason,
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWaiting,
    SlotWithdraw,
)
from sassafraspin.dispatch.budget import RetryBudget
from sassafraspin.dispatch.lenders import LenderChoice, LoanCounts
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.membership import Member, View
from sassafraspin.routed.standby_scope import StandbyScope
from sassafraspin.settings import DispatchSettings
from tests.fuzz import fuzz_settings
from tests.pool_model import SERVICE as POOL_SERVICE
from tests.pool_model import announcement
from tests.routed_model import (
    CONTROL,
    SERVICE,
    RoutedModel,
    routed_model,
    run_in_virtual_time,
)
from tests.standby_load import SERVER_SLOTS, run_load, slot_request


class TestShareOfWork(unittest.TestCase):
    """Slots that one instance does not use serve the requests of another."""

    def test_uneven_arrivals_are_served_until_the_lease_ends(self):
        """Without loans, 0.56 to 0.60 of the requests were served."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                led = run_load(seed, lends_slots=True, loses_core=False)
                alone = run_load(seed, lends_slots=True, loses_core=True)
                self.assertGreaterEqual(alone.served, 0.9 * led.served)
                self.assertLessEqual(alone.most_in_use, SERVER_SLOTS)

    def test_uneven_arrivals_are_served_as_long_as_a_longer_lease_lasts(self):
        """Without loans, 0.65 of the requests were served in 17 s."""
        options = {"seconds": 17.0, "lease_seconds": 20.0}
        led = run_load(1, lends_slots=True, loses_core=False, **options)
        alone = run_load(1, lends_slots=True, loses_core=True, **options)
        self.assertGreaterEqual(alone.served, 0.9 * led.served)
        self.assertLessEqual(alone.most_in_use, SERVER_SLOTS)

    def test_deployments_without_loans_send_none(self):
        load = run_load(1, lends_slots=False, loses_core=True)
        lent = [
            message
            for _, _, message in load.model.delivered
            if getattr(message, "lent", False)
        ]
        self.assertEqual(lent, [])


class LoanTestCase(unittest.TestCase):
    """Runs a scenario in which ``e0`` borrows the slots of the other instances."""

    def run_scenario(self, scenario, entries=("e0", "e1", "e2")) -> None:
        async def run() -> None:
            async with routed_model(
                ("i1", "i2"),
                entries=entries,
                lends_slots=True,
                server_slots=6,
                lease_seconds=30.0,
            ) as model:
                await scenario(model)

        run_in_virtual_time(run)

    async def acquire(
        self, model: RoutedModel, instance: str, count: int, **fields
    ) -> list[SlotGrant]:
        """Request slots one after the other; return those that are granted."""
        grants = []
        for number in range(count):
            request = slot_request(f"{instance}-{number}", **fields)
            grant = await model.runtimes[instance]._slots.acquire(request)
            if isinstance(grant, SlotGrant):
                grants.append(grant)
        return grants

    async def lose_leader(self, model: RoutedModel, instances: tuple[str, ...]) -> None:
        """Cut instances off from the control instances until they dispatch alone."""
        model.cut(instances, CONTROL)
        for instance in instances:
            request = slot_request(f"first-{instance}")
            grant = await model.runtimes[instance]._slots.acquire(request)
            if isinstance(grant, SlotGrant):
                self.release(model, instance, grant)
            self.assertTrue(model.uses_standby(instance))
        await trio.sleep(0.2)

    def release(self, model: RoutedModel, instance: str, grant: SlotGrant) -> None:
        message = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            ReleaseResult.ANSWERED,
        )
        model.runtimes[instance]._slots.release(message)

    def standby_slots(self, model: RoutedModel, instance: str) -> int:
        """Return the number of slots that an instance's standby counts as in use."""
        backends = model.runtimes[instance]._standby.backends()
        return sum(backend.busy_slots for backend in backends)

    def assigned_slots(self, model: RoutedModel, instance: str) -> int:
        backends = model.runtimes[instance]._standby.backends()
        return sum(backend.announcement.slots for backend in backends)


class TestFaults(LoanTestCase):
    """Lenders and borrowers that do not respond, and messages that are lost."""

    entries = ("e0", "e1", "e2")

    def test_silent_lender_costs_one_timeout_and_is_not_asked_again(self):
        async def scenario(model):
            await self.lose_leader(model, self.entries)
            model.stop("e2")
            own = self.assigned_slots(model, "e0")
            await self.acquire(model, "e0", own)
            lent = self.assigned_slots(model, "e1")
            started_at = trio.current_time()
            for number in range(lent):
                grant = await model.runtimes["e0"]._slots.acquire(
                    slot_request(f"lent-{number}")
                )
                self.assertIsInstance(grant, SlotGrant)
            # The control instances are cut off too: three, and ``e2``.
            waited = trio.current_time() - started_at
            counts = model.runtimes["e0"]._slots._lenders.take_counts()
            self.assertEqual(counts.granted, lent)
            self.assertLessEqual(counts.unanswered, len(CONTROL) + 1)
            self.assertLessEqual(waited, 0.08 * counts.unanswered + 0.1)

        self.run_scenario(scenario)

    def test_instance_without_requests_lends_its_slots(self):
        """It does not notice by itself that the dispatcher does not respond."""

        async def scenario(model):
            model.cut(self.entries, CONTROL)
            grants = await self.acquire(model, "e0", 1, deadline_ms=20_000)
            own = self.assigned_slots(model, "e0")
            started_at = trio.current_time()
            while len(grants) <= own and trio.current_time() < started_at + 1:
                number = trio.current_time()
                request = slot_request(f"more-{number}", deadline_ms=20_000)
                grant = await model.runtimes["e0"]._slots.acquire(request)
                if isinstance(grant, SlotGrant):
                    grants.append(grant)
            self.assertGreater(len(grants), own)

        self.run_scenario(scenario)

    def test_instance_in_contact_with_its_leader_lends_nothing(self):
        """Its leader grants those slots, and it must not take the leader for lost."""

        async def scenario(model):
            await self.lose_leader(model, ("e0",))
            own = self.assigned_slots(model, "e0")
            grants = await self.acquire(model, "e0", 2 * own, deadline_ms=2_000)
            self.assertLessEqual(len(grants), 2 * own)
            for name in ("e1", "e2"):
                self.assertFalse(model.uses_standby(name))
                self.assertEqual(self.standby_slots(model, name), 0)

        self.run_scenario(scenario)

    def test_slot_whose_release_was_lost_is_used_again(self):
        async def scenario(model):
            await self.lose_leader(model, self.entries)
            total = sum(self.assigned_slots(model, name) for name in self.entries)
            grants = await self.acquire(model, "e0", total, deadline_ms=60_000)
            self.assertEqual(len(grants), total)
            self.assertEqual(
                self.standby_slots(model, "e1"), self.assigned_slots(model, "e1")
            )
            model.cut(("e0",), ("e1",))
            for grant in grants:
                self.release(model, "e0", grant)
            await trio.sleep(0.1)
            model.blocked_links -= {("e0", "e1"), ("e1", "e0")}
            self.assertGreater(self.standby_slots(model, "e1"), 0)
            seconds = await model.seconds_until(
                lambda: self.standby_slots(model, "e1") == 0
            )
            self.assertLess(seconds, 4.0)

        self.run_scenario(scenario)

    def test_slots_of_a_borrower_that_is_cut_off_return_by_expiry(self):
        async def scenario(model):
            await self.lose_leader(model, self.entries)
            total = sum(self.assigned_slots(model, name) for name in self.entries)
            await self.acquire(model, "e0", total, deadline_ms=3_000)
            model.cut(("e0",), ("e1", "e2"))
            await trio.sleep(2.5)
            self.assertGreater(self.standby_slots(model, "e1"), 0)
            await trio.sleep(3.0)
            self.assertEqual(self.standby_slots(model, "e1"), 0)

        self.run_scenario(scenario)

    def test_grant_that_arrives_after_the_caller_left_is_returned(self):
        async def scenario(model):
            await self.lose_leader(model, self.entries)
            await self.acquire(model, "e0", self.assigned_slots(model, "e0"))
            slots = model.runtimes["e0"]._slots
            for number in range(20):
                with trio.move_on_after(0.003):
                    await slots.acquire(slot_request(f"left-{number}"))
                    self.fail("a loan takes a round trip")
            await trio.sleep(0.1)
            for name in ("e1", "e2"):
                self.assertEqual(self.standby_slots(model, name), 0)
            grants = await self.acquire(model, "e0", 50, deadline_ms=500)
            self.assertTrue(grants)

        self.run_scenario(scenario)

    def test_leader_that_returns_knows_the_slots_that_are_lent(self):
        async def scenario(model):
            await self.lose_leader(model, self.entries)
            total = sum(self.assigned_slots(model, name) for name in self.entries)
            grants = await self.acquire(model, "e0", total, deadline_ms=20_000)
            self.assertEqual(len(grants), total)
            leader = model.runtimes[model.leader()]
            model.blocked_links.clear()
            await trio.sleep(1.0)
            for name in self.entries:
                self.assertFalse(model.uses_standby(name))
                self.assertEqual(model.runtimes[name]._standby.backends(), ())
            known = {
                item.grant_id
                for pool in leader._dispatch._pools.values()
                for item in pool._grants
            }
            self.assertLessEqual({grant.grant_id for grant in grants}, known)
            for grant in grants:
                self.release(model, "e0", grant)
            await trio.sleep(0.1)
            busy = sum(item.busy_slots for item in leader._dispatch.backends())
            self.assertEqual(busy, 0)

        self.run_scenario(scenario)


class FakeMembers:
    """Node of a client whose view has other members; records what is sent."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.name = "entry"
        self.settings = SimpleNamespace(
            dispatch=DispatchSettings(
                slot_repeat_ms=40, standby_after_ms=80, lends_slots=True
            )
        )
        self.lease = SimpleNamespace(leader="leader", search_leader=lambda: None)
        members = tuple(Member(name, 1, "r", "z", "::1", 1) for name in names)
        self.view = View(1, 1, members)
        self.sent: list[tuple[str, object]] = []

    def now(self) -> float:
        return trio.current_time()

    def dispatcher_of(self, service: str) -> str | None:
        return self.lease.leader

    def send(self, peer: str, message: object) -> None:
        self.sent.append((peer, message))


class UndecidedStandby:
    """A standby that never decides; it may confirm that a request waits."""

    def __init__(self, confirm) -> None:
        self._confirm = confirm

    def receive(self, source: str, message: object) -> None:
        if isinstance(message, SlotRequest) and self._confirm is not None:
            self._confirm(SlotWaiting(message.request_id))

    def may_borrow(self, request: SlotRequest) -> bool:
        return True


class TestEveryRequestIsDecided(unittest.TestCase):
    """A request about which nobody decides is refused before its caller gives up."""

    def seconds_to_refusal(self, request: SlotRequest, *, is_confirmed: bool) -> float:
        result = []

        async def run() -> None:
            node = FakeMembers(("entry", "a", "b", "c", "d"))

            def confirm(message: SlotWaiting) -> None:
                client.receive("entry", message)

            standby = UndecidedStandby(confirm if is_confirmed else None)
            client = SlotClient(node, standby, random.Random(1))
            answer = await client.acquire(request)
            self.assertIsInstance(answer, SlotRefusal)
            result.append(trio.current_time())

        run_in_virtual_time(run)
        return result[0]

    def test_refusal_arrives_before_the_deadline(self):
        for is_confirmed in (False, True):
            request = slot_request(1, deadline_ms=2_000)
            seconds = self.seconds_to_refusal(request, is_confirmed=is_confirmed)
            self.assertLessEqual(seconds, 1.9)

    def test_refusal_arrives_before_the_caller_leaves(self):
        request = slot_request(1, deadline_ms=60_000, leaves_within_ms=800)
        self.assertLessEqual(self.seconds_to_refusal(request, is_confirmed=True), 0.7)

    def test_next_dispatcher_is_told_how_much_time_is_left(self):
        """A standby that counts the whole time anew refuses when it is too late."""

        async def run() -> None:
            node = FakeMembers(("entry",))
            client = SlotClient(node, UndecidedStandby(None), random.Random(1))
            with trio.move_on_after(0.3):
                await client.acquire(slot_request(1, deadline_ms=2_000))
            asked = [item for _, item in node.sent if isinstance(item, SlotRequest)]
            self.assertLess(asked[-1].deadline_ms, asked[0].deadline_ms)
            self.assertLess(asked[-1].start_within_ms, asked[0].start_within_ms)
            self.assertEqual(asked[-1].leaves_within_ms, 0)

        run_in_virtual_time(run)


class TestLenderChoice(unittest.TestCase):
    """Which instance is asked for a slot."""

    names = ("a", "b", "c", "d")

    def setUp(self):
        self.choice = LenderChoice(random.Random(1))

    def test_burst_of_requests_spreads(self):
        chosen = [self.choice.choose(self.names, {"a"}, 0.0) for _ in range(4)]
        self.assertCountEqual(chosen, ["b", "c", "d", None])

    def test_silent_instance_is_left_out_for_a_lease(self):
        self.choice.record_silence("b", 0.0)
        self.assertIsNone(self.choice.choose(("b",), set(), 2.9))
        self.assertEqual(self.choice.choose(("b",), set(), 3.1), "b")

    def test_instance_without_a_slot_is_left_out_for_a_short_time(self):
        self.choice.record_refusal("b", 0.0)
        self.assertIsNone(self.choice.choose(("b",), set(), 0.09))
        self.assertEqual(self.choice.choose(("b",), set(), 0.11), "b")

    def test_instance_that_lent_a_slot_is_asked_first(self):
        self.choice.record_grant("c", 0.0)
        self.assertEqual(self.choice.choose(self.names, set(), 0.4), "c")

    def test_outcomes_are_counted_once(self):
        self.choice.record_grant("c", 0.0)
        self.choice.record_silence("b", 0.0)
        self.assertEqual(self.choice.take_counts(), LoanCounts(1, 0, 1))
        self.assertEqual(self.choice.take_counts(), LoanCounts())

    def test_departed_members_are_forgotten(self):
        for name in range(1_000):
            self.choice.choose((str(name),), set(), 0.0)
        self.assertEqual(len(self.choice._lenders), 1)


def make_pool(name: str, servers, now: float = 0.0, **fields) -> Pool:
    """Return the pool of an instance in standby that lends its unused slots."""
    settings = DispatchSettings(lends_slots=True, retry_allowance=2, retry_share=0.0)
    return Pool(
        POOL_SERVICE,
        settings,
        fields.pop("limits", UsageCaps(settings, now)),
        VersionGate("v1", random.Random(1)),
        random.Random(1),
        name,
        now,
        tuple(servers),
        RetryBudget(settings),
    )


def pool_request(number: object, **fields) -> SlotRequest:
    """Return a request to the service of the pools."""
    values = {"tier": 0, "deadline_ms": 4_000, "answer_tokens": 10, **fields}
    return SlotRequest(
        request_id=f"{POOL_SERVICE}:{number}",
        service=POOL_SERVICE,
        client_account="mill",
        profile="p",
        route="/r",
        prompt_tokens=10,
        cancellable=False,
        **values,
    )


def answers(effects: list) -> list[object]:
    """Return the messages of effects."""
    return [effect.message for effect in effects]


class CountingLimits:
    """Limits that count what is charged."""

    def __init__(self, settings: DispatchSettings) -> None:
        self.charged = 0
        self._caps = UsageCaps(settings, 0.0)

    def admit(self, request: SlotRequest, now: float):
        self.charged += 1
        return self._caps.admit(request, now)

    def withdraw(self, request: SlotRequest) -> None:
        self.charged -= 1

    def finish(self, request: SlotRequest) -> None:
        pass


class TestLending(unittest.TestCase):
    """What a pool lends, and what it is charged for."""

    def setUp(self):
        self.limits = CountingLimits(DispatchSettings())

    def test_lender_serves_its_own_requests_first(self):
        pool = make_pool("a", [announcement(1, slots=1)])
        (first,) = answers(pool.request("a", pool_request(1), 0.0))
        pool.request("a", pool_request(2, tier=3), 0.0)
        (refusal,) = answers(pool.request("b", pool_request(3, lent=True), 0.0))
        self.assertIsInstance(refusal, SlotRefusal)
        release = SlotRelease(
            POOL_SERVICE,
            first.request_id,
            first.grant_id,
            first.backend_id,
            ReleaseResult.ANSWERED,
        )
        (second,) = answers(pool.release(release, 0.1))
        self.assertEqual(second.request_id, f"{POOL_SERVICE}:2")

    def test_lent_request_is_never_queued(self):
        """A lender that kept it would also be asked for it by others."""
        pool = make_pool("a", [])
        (refusal,) = answers(pool.request("b", pool_request(1, lent=True), 0.0))
        self.assertEqual(refusal.reason, RefusalReason.OVERLOADED)
        self.assertFalse(pool.is_waiting(f"{POOL_SERVICE}:1"))

    def test_lender_is_not_charged(self):
        pool = make_pool("a", [announcement(1, slots=4)], limits=self.limits)
        for number in range(4):
            request = pool_request(number, lent=True, tries=1)
            (grant,) = answers(pool.request("b", request, 0.0))
            self.assertIsInstance(grant, SlotGrant)
        self.assertEqual(self.limits.charged, 0)
        # The allowance of two retries is still there for its own callers.
        self.assertTrue(pool._budget.try_acquire(0.0))

    def test_borrower_is_charged_once(self):
        pool = make_pool("b", [announcement(1, slots=1)], limits=self.limits)
        pool.request("b", pool_request(1), 0.0)
        pool.request("b", pool_request(2, tries=1), 0.0)
        self.assertTrue(pool.borrowed(f"{POOL_SERVICE}:2", 0.0))
        self.assertFalse(pool.borrowed(f"{POOL_SERVICE}:2", 0.0))
        self.assertEqual(self.limits.charged, 2)
        self.assertTrue(pool._budget.try_acquire(0.0))
        self.assertFalse(pool._budget.try_acquire(0.0))

    def test_request_over_its_cap_is_not_lent_a_slot(self):
        pool = make_pool("b", [announcement(1, slots=1)])
        pool.request("b", pool_request(1), 0.0)
        for number in (2, 3):
            pool.request("b", pool_request(number, tries=1), 0.0)
        (refusal,) = answers(pool.request("b", pool_request(4, tries=1), 0.0))
        self.assertEqual(refusal.reason, RefusalReason.RETRY_BUDGET)
        self.assertFalse(pool.may_borrow(f"{POOL_SERVICE}:4"))

    def test_refused_request_is_refunded(self):
        pool = make_pool("b", [announcement(1, slots=1)], limits=self.limits)
        request = pool_request(1, avoid=("runner-1",))
        (waiting,) = answers(pool.request("b", request, 0.0))
        self.assertIsInstance(waiting, SlotWaiting)
        self.assertEqual(pool.tick(0.2), [])
        (refusal,) = answers(pool.tick(0.3))
        self.assertEqual(refusal.reason, RefusalReason.NO_BACKEND)
        self.assertEqual(self.limits.charged, 0)

    def test_slot_that_becomes_free_early_serves_the_own_request(self):
        """It would stay unused while the request asks other instances."""
        pool = make_pool("b", [announcement(1, slots=1)])
        long = pool_request(1, answer_tokens=1_000, deadline_ms=60_000)
        (first,) = answers(pool.request("b", long, 0.0))
        late = pool_request(2, start_within_ms=700)
        (waiting,) = answers(pool.request("b", late, 0.0))
        self.assertIsInstance(waiting, SlotWaiting)
        self.assertTrue(pool._admission.is_unserved(late.request_id))
        release = SlotRelease(
            POOL_SERVICE,
            first.request_id,
            first.grant_id,
            first.backend_id,
            ReleaseResult.ANSWERED,
        )
        (grant,) = answers(pool.release(release, 0.1))
        self.assertEqual(grant.request_id, late.request_id)
        self.assertFalse(pool.is_waiting(late.request_id))

    def test_withdrawn_request_is_refunded(self):
        pool = make_pool("b", [announcement(1, slots=1)], limits=self.limits)
        request = pool_request(1, avoid=("runner-1",))
        pool.request("b", request, 0.0)
        pool.withdraw(SlotWithdraw(POOL_SERVICE, request.request_id), 0.0)
        self.assertFalse(pool.is_waiting(request.request_id))
        self.assertEqual(self.limits.charged, 0)

    def test_higher_tiers_borrow_first(self):
        pool = make_pool("b", [announcement(1, slots=1)])
        pool.request("b", pool_request("run"), 0.0)
        for number in range(20):
            pool.request("b", pool_request(number, tier=3), 0.0)
        pool.request("b", pool_request("high", tier=0), 0.0)
        self.assertTrue(pool.may_borrow(f"{POOL_SERVICE}:high"))
        self.assertFalse(pool.may_borrow(f"{POOL_SERVICE}:19"))

    def test_higher_tiers_that_the_own_slots_do_not_serve_borrow_first(self):
        pool = make_pool("b", [announcement(1, slots=1)])
        avoid = ("runner-1",)
        for number in range(20):
            pool.request("b", pool_request(number, tier=3, avoid=avoid), 0.0)
        pool.request("b", pool_request("high", tier=0, avoid=avoid), 0.1)
        self.assertTrue(pool.may_borrow(f"{POOL_SERVICE}:high"))
        self.assertFalse(pool.may_borrow(f"{POOL_SERVICE}:19"))


@dataclass
class Use:
    """A request that runs on a slot."""

    borrower: int
    lender: int
    grant: SlotGrant
    ends_at: float


class LoanMachine(RuleBasedStateMachine):
    """Instances without a leader lend each other slots; any message may be lost."""

    instances = 6
    server_slots = 4

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.count = 0
        self.uses: list[Use] = []
        servers = tuple(
            announcement(number, slots=self.server_slots) for number in range(3)
        )
        members = tuple(
            Member(f"m{number}", 1, "r", "z", "::1", 1)
            for number in range(self.instances)
        )
        view = View(1, 1, members)
        settings = SimpleNamespace(dispatch=DispatchSettings(lends_slots=True))
        leader_scope = SimpleNamespace(known_backends=lambda service: servers)
        self.pools = []
        applied = SimpleNamespace(state=ControlState())
        for member in members:
            node = SimpleNamespace(
                name=member.name, view=view, settings=settings, configuration=applied
            )
            scope = StandbyScope(node, leader_scope, None, lambda: True, self.random)
            known = scope.known_backends(POOL_SERVICE)
            self.pools.append(make_pool(member.name, known, self.now))

    def run(self, lender: int, effects: list, lasts: float) -> None:
        """Use the slots that are granted."""
        for effect in effects:
            if not isinstance(effect.message, SlotGrant):
                continue
            owner = int(effect.entry.removeprefix("m"))
            if any(item.grant == effect.message for item in self.uses):
                continue
            self.uses.append(Use(owner, lender, effect.message, self.now + lasts))

    @rule(
        borrower=st.integers(0, 5),
        count=st.integers(1, 12),
        lasts=st.floats(0.05, 4.0),
        is_lost=st.booleans(),
    )
    def ask(self, borrower, count, lasts, is_lost):
        """Ask for slots, of which the last grant may be lost."""
        for number in range(count):
            lender = self.random.randrange(self.instances)
            self.count += 1
            request = pool_request(self.count, lent=borrower != lender)
            effects = self.pools[lender].request(f"m{borrower}", request, self.now)
            if not is_lost or number < count - 1:
                self.run(lender, effects, lasts)

    @rule(is_lost=st.booleans())
    def end_one(self, is_lost):
        """End a request; its release may be lost."""
        if not self.uses:
            return
        use = self.uses.pop(self.random.randrange(len(self.uses)))
        if not is_lost:
            self.release(use)

    def release(self, use: Use) -> None:
        message = SlotRelease(
            POOL_SERVICE,
            use.grant.request_id,
            use.grant.grant_id,
            use.grant.backend_id,
            ReleaseResult.ANSWERED,
        )
        effects = self.pools[use.lender].release(message, self.now)
        self.run(use.lender, effects, 1.0)

    @rule(borrower=st.integers(0, 5), lender=st.integers(0, 5))
    def report(self, borrower, lender):
        """Tell a lender which of its slots are in use."""
        grant_ids = tuple(
            use.grant.grant_id
            for use in self.uses
            if use.borrower == borrower and use.lender == lender
        )
        held = HeldGrants(POOL_SERVICE, grant_ids, lent=borrower != lender)
        effects = self.pools[lender].reconcile(f"m{borrower}", held, self.now)
        self.run(lender, effects, 1.0)

    @rule(seconds=st.floats(0.05, 3.0))
    def let_time_pass(self, seconds):
        """End the requests that are due, at their deadline at the latest."""
        self.now += seconds
        for use in [item for item in self.uses if item.ends_at <= self.now]:
            self.uses.remove(use)
            self.release(use)
        for number, pool in enumerate(self.pools):
            self.run(number, pool.tick(self.now), 1.0)

    @invariant()
    def no_slot_is_used_twice(self):
        in_use = Counter(use.grant.backend_id for use in getattr(self, "uses", ()))
        assert all(count <= self.server_slots for count in in_use.values()), in_use


class ScarceLoanMachine(LoanMachine):
    """The same with fewer slots than instances, of which some have none to lend."""

    server_slots = 1


class TestAnyOrderOfLoans(unittest.TestCase):
    """No order of loans, releases and losses uses a slot twice."""

    def test_six_instances_and_three_servers(self):
        run_state_machine_as_test(
            LoanMachine, settings=fuzz_settings(examples=60, steps=40)
        )

    def test_fewer_slots_than_instances(self):
        """Without loans, an instance without a slot uses one of another instance."""
        run_state_machine_as_test(
            ScarceLoanMachine, settings=fuzz_settings(examples=40, steps=40)
        )
