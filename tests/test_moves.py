"""Tests of moves: phases, exposure limit and evidence."""

import math
import random
import unittest
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sassafraspin.control import (
    AdvanceMove,
    ControlState,
    DeclareMove,
    MoveCoordinator,
    OutcomeKind,
)
from sassafraspin.dispatch import ReleaseResult, SlotRelease, SlotRequest
from sassafraspin.dispatch.versions import ServerCounts, ServerTime, VersionGate
from sassafraspin.moves import (
    Evidence,
    MoveAccepted,
    MoveEvidence,
    MovePhase,
    MoveRefusal,
    MoveRefused,
    MoveSpec,
    MoveStep,
    MoveStore,
    Observation,
    RollbackReason,
    RolloutSettings,
    decide_step,
)
from tests.fuzz import fuzz_settings
from tests.pool_model import SERVICE, PoolModel

FUZZ_SETTINGS = fuzz_settings(examples=150, steps=60)

SERVERS = 10


def spec(name: str = "move", **fields) -> MoveSpec:
    """Return the specification of a move with short durations."""
    return MoveSpec(
        **{
            "name": name,
            "service": "model",
            "from_version": "v1",
            "to_version": "v2",
            "finish_within_ms": 60_000,
            "exposed_requests": 10,
            "exposed_share": 0.3,
            "soak_ms": 2_000,
            **fields,
        }
    )


class MoveMachine(RuleBasedStateMachine):
    """A move with succeeding and failing requests, lost reports and undo."""

    def __init__(self):
        super().__init__()
        self.store = MoveStore()
        self.store.declare(spec(), "ayse", 0)
        self.gate = VersionGate("v1", random.Random(1))
        self.now_ms = 0
        self.running: list[str] = []
        self.sampled = 0
        self.final: MovePhase | None = None
        self.update_gate()

    @property
    def move(self):
        return self.store.get("move")

    def update_gate(self):
        version = self.store.versions.get("model", "v1")
        self.gate.set_move(version, self.store.running("model"))

    @rule(count=st.integers(1, 30))
    def send(self, count):
        for _ in range(count):
            version = self.gate.choose_version()
            if version == "v2" and self.move.phase is not MovePhase.DONE:
                assert self.move.phase.admits_new_version, self.move.phase
                reason = self.gate.report(ServerCounts(SERVERS, SERVERS)).reason
                assert reason is RollbackReason.NONE, "shown after it was found bad"
                if self.move.phase is MovePhase.SAMPLING:
                    self.sampled += 1
            self.gate.record_start(version)
            self.running.append(version)
        bound = self.move.spec.exposed_requests
        assert self.sampled <= bound, f"{self.sampled} shown while sampling"

    @rule(count=st.integers(1, 40), bad=st.booleans())
    def end(self, count, bad):
        for version in self.running[:count]:
            failed = bad and version == "v2"
            result = ReleaseResult.FAILED if failed else ReleaseResult.ANSWERED
            request = SlotRequest("r", "model", "a", "p", "/r", 0, 1, 1, 1, False)
            release = SlotRelease("model", "r", "g", "b", result, 1, 500, 1)
            self.gate.record_end(version)
            server = ServerTime("gen1", 0.5)
            self.gate.record_outcome(version, request, release, server)
        del self.running[:count]

    @rule(
        servers=st.integers(0, SERVERS), milliseconds=st.sampled_from([50, 500, 5000])
    )
    def report(self, servers, milliseconds):
        self.now_ms += milliseconds
        evidence = self.gate.report(ServerCounts(SERVERS, servers))
        step = decide_step(self.move, evidence, self.now_ms, RolloutSettings())
        if step is not None:
            self.store.advance(step, self.now_ms)
        self.update_gate()

    @rule()
    def lose_report(self):
        self.now_ms += 200
        step = decide_step(self.move, None, self.now_ms, RolloutSettings())
        if step is not None:
            self.store.advance(step, self.now_ms)
        self.update_gate()

    @rule(odds=st.integers(0, 19))
    def undo(self, odds):
        if odds == 0:
            self.store.undo("move", "mehmet", self.now_ms)
            self.update_gate()

    @invariant()
    def ends_once(self):
        phase = self.move.phase
        if self.final is not None:
            assert phase is self.final, f"{self.final} became {phase}"
        elif phase.is_final:
            self.final = phase

    def teardown(self):
        self.now_ms = self.move.deadline_ms + 1
        for _ in range(3):
            self.end(len(self.running), False)
            self.report(SERVERS, 50)
        assert self.move.phase.is_final, f"still {self.move.phase} after its deadline"
        expected = "v2" if self.move.phase is MovePhase.DONE else "v1"
        self.update_gate()
        assert self.gate.choose_version() == expected


class TestMoves(unittest.TestCase):
    """A move has exactly one outcome and keeps its exposure limit and deadline."""

    def test_invariants_hold_for_random_histories(self):
        run_state_machine_as_test(MoveMachine, settings=FUZZ_SETTINGS)

    def test_missing_exposure_bound_is_caught(self):
        def admits(gate):
            return gate._move is not None and gate._move.phase.admits_new_version

        with mock.patch.object(VersionGate, "_admits_new", admits):
            with self.assertRaisesRegex(AssertionError, "shown"):
                run_state_machine_as_test(MoveMachine, settings=FUZZ_SETTINGS)

    def test_missing_deadline_is_caught(self):
        with mock.patch(
            "sassafraspin.moves.transitions._rollback_reserve_ms",
            lambda move, settings: -(10**9),
        ):
            with self.assertRaisesRegex(AssertionError, "after its deadline"):
                run_state_machine_as_test(MoveMachine, settings=FUZZ_SETTINGS)

    def test_undo_after_the_end_is_refused(self):
        store = MoveStore()
        store.declare(spec(), "ayse", 0)
        store.undo("move", "ayse", 1)
        step = MoveStep(
            "move",
            MovePhase.ROLLING_BACK,
            MovePhase.ROLLED_BACK,
            0.0,
            RollbackReason.OPERATOR,
            "",
        )
        self.assertIsInstance(store.advance(step, 2), MoveAccepted)
        refused = store.undo("move", "ayse", 3)
        self.assertEqual(
            refused, MoveRefused(MoveRefusal.ALREADY_ENDED, store.get("move"))
        )

    def test_one_move_at_a_time_for_a_service(self):
        store = MoveStore()
        store.declare(spec(), "ayse", 0)
        second = store.declare(spec("second"), "mehmet", 0)
        self.assertEqual(second.refusal, MoveRefusal.SERVICE_BUSY)

    def test_move_from_a_version_not_in_force_is_refused(self):
        store = MoveStore(versions={"model": "v3"})
        refused = store.declare(spec(), "ayse", 0)
        self.assertEqual(refused.refusal, MoveRefusal.WRONG_VERSION)


class TestDuration(unittest.TestCase):
    """A good version under steady load with a short deadline."""

    STEP_MS = 50

    def simulate(
        self, seed: int, per_second: float, finish_within_ms: int
    ) -> MovePhase:
        """Simulate a move and return its last phase."""
        generator = random.Random(seed)
        store = MoveStore()
        fields = {"finish_within_ms": finish_within_ms, "soak_ms": 1_000}
        store.declare(spec(**fields), "ayse", 0)
        gate = VersionGate("v1", generator)
        running: list[tuple[int, str]] = []
        for now_ms in range(0, finish_within_ms, self.STEP_MS):
            gate.set_move(store.versions.get("model", "v1"), store.running("model"))
            mean = per_second * self.STEP_MS / 1_000
            while generator.random() < mean / (1 + mean):
                version = gate.choose_version()
                gate.record_start(version)
                running.append((now_ms + generator.randrange(50, 600), version))
            for item in [item for item in running if item[0] <= now_ms]:
                running.remove(item)
                self.end(gate, item[1])
            evidence = gate.report(ServerCounts(SERVERS, SERVERS))
            step = decide_step(store.get("move"), evidence, now_ms, RolloutSettings())
            if step is not None:
                store.advance(step, now_ms)
            if store.get("move").phase.is_final:
                break
        return store.get("move").phase

    def end(self, gate: VersionGate, version: str) -> None:
        request = SlotRequest("r", "model", "a", "p", "/r", 0, 1, 1, 1, False)
        answered = ReleaseResult.ANSWERED
        release = SlotRelease("model", "r", "g", "b", answered, 1, 500, 1)
        gate.record_end(version)
        gate.record_outcome(version, request, release, ServerTime("gen1", 0.5))

    def test_good_version_is_rolled_out_before_a_short_deadline(self):
        phases = [self.simulate(seed, 45, 12_000) for seed in range(20)]
        self.assertEqual(phases, [MovePhase.DONE] * 20)

    def test_version_is_not_rolled_out_with_too_little_evidence(self):
        phases = [self.simulate(seed, 4, 12_000) for seed in range(5)]
        self.assertNotIn(MovePhase.DONE, phases)


class TestRollback(unittest.TestCase):
    """End of a rollback while requests of the new version are still running."""

    def completed_at(self, rollback_at_ms: int, finish_within_ms: int) -> int:
        """Return when a rollback completes although a request never ends."""
        store = MoveStore()
        store.declare(spec(finish_within_ms=finish_within_ms), "ayse", 0)
        store.undo("move", "ayse", rollback_at_ms)
        move = store.get("move")
        evidence = MoveEvidence(
            "move", move.phase, 0.0, 1, 0, 1, 1, SERVERS, RollbackReason.SLOWNESS, ""
        )
        for now_ms in range(rollback_at_ms, 2 * finish_within_ms, 10):
            step = decide_step(move, evidence, now_ms, RolloutSettings())
            if step is not None:
                self.assertEqual(step.phase, MovePhase.ROLLED_BACK)
                return now_ms
        self.fail("the rollback never completes")

    def test_rollback_with_running_requests_is_complete_before_the_deadline(self):
        self.assertLessEqual(self.completed_at(10_700, 15_000), 14_000)
        self.assertLessEqual(self.completed_at(13_000, 15_000), 14_000)
        self.assertLess(self.completed_at(750, 1_000), 1_000)

    def test_running_requests_have_time_to_end(self):
        self.assertGreaterEqual(self.completed_at(1_000, 60_000), 11_000)
        self.assertGreaterEqual(self.completed_at(13_000, 15_000), 14_000)


class TestRefusedSteps(unittest.TestCase):
    """Steps that were decided on a phase that the move has left meanwhile."""

    def test_rollback_is_proposed_again_after_a_refusal(self):
        # Guards against a bad version that keeps its share as a refusal looks final.
        state = ControlState()
        state.apply(1, DeclareMove("declare", "ayse", 0, spec()))
        coordinator = MoveCoordinator(RolloutSettings())
        late: list[AdvanceMove] = []
        failing = MoveEvidence(
            "move", MovePhase.DECLARED, 0, 0, 0, 0, 0, 1, RollbackReason.FAILURES, ""
        )
        coordinator.receive(failing)
        coordinator.tick(state, 100, late.append)
        loading = MoveStep(
            "move", MovePhase.DECLARED, MovePhase.LOADING, 0, RollbackReason.NONE, ""
        )
        state.apply(2, AdvanceMove("loading", 100, loading))
        for index, command in enumerate(late, start=3):
            outcome = state.apply(index, command)
            self.assertIs(outcome.kind, OutcomeKind.REFUSED)
        for now_ms in range(200, 1_000, 100):
            coordinator.tick(
                state, now_ms, lambda command: state.apply(state.index + 1, command)
            )
        self.assertIn(
            state.moves.get("move").phase,
            (MovePhase.ROLLING_BACK, MovePhase.ROLLED_BACK),
        )


class TestVersionGate(unittest.TestCase):
    """Share of the new version while its servers are often full."""

    def test_share_is_kept_although_servers_are_often_full(self):
        store = MoveStore()
        store.declare(spec(exposed_requests=1_000, exposed_share=0.2), "ayse", 0)
        for phase in (MovePhase.LOADING, MovePhase.SAMPLING):
            before = store.get("move").phase
            step = MoveStep("move", before, phase, 0.2, RollbackReason.NONE, "")
            store.advance(step, 0)
        gate = VersionGate("v1", random.Random(1))
        gate.set_move("v1", store.running("model"))
        generator = random.Random(2)
        for _ in range(1_000):
            version = gate.choose_version()
            has_room = generator.random() < 0.4
            gate.record_start(version if has_room else "v1")
        self.assertGreater(gate.shown, 170)
        self.assertLess(gate.shown, 230)


class TestUnfinishedRequests(unittest.TestCase):
    """Requests that are slow before they end, or whose callers leave."""

    def setUp(self):
        self.model = PoolModel(servers=0)
        self.model.announce(0, slots=100)
        self.model.announce(1, slots=100, versions=("v2",))
        self.store = MoveStore()
        fields = {"exposed_requests": 40, "exposed_share": 0.5, "service": SERVICE}
        self.store.declare(spec(**fields), "ayse", 0)
        self.set_move()
        for _ in range(30):
            self.ask()
        self.model.advance(1.0)
        for phase in (MovePhase.LOADING, MovePhase.SAMPLING):
            before = self.store.get("move").phase
            step = MoveStep("move", before, phase, 0.5, RollbackReason.NONE, "")
            self.store.advance(step, 0)
        self.set_move()

    def set_move(self) -> None:
        self.model.pool.gate.set_move("v1", self.store.running(SERVICE))

    def ask(self, hanging: tuple[str, ...] = ()) -> None:
        """Send a request that never ends on the versions given."""
        request = self.model.ask(0, 10, 60_000)
        running = self.model.running[request.request_id]
        if running.grant.version in hanging:
            running.ends_at = math.inf

    def evidence(self) -> MoveEvidence:
        self.model.pool.record_overdue(self.model.now)
        return self.model.pool.gate.report(self.model.pool.server_counts())

    def test_requests_that_never_end_count_as_slow(self):
        for _ in range(40):
            self.ask(hanging=("v2",))
        self.model.advance(1.0)
        evidence = self.evidence()
        self.assertEqual(evidence.reason, RollbackReason.SLOWNESS, evidence.detail)
        self.assertEqual(evidence.ended, 0)

    def test_slow_requests_whose_callers_leave_count_as_slow(self):
        for _ in range(40):
            self.ask(hanging=("v2",))
        self.model.advance(1.0)
        for running in list(self.model.running.values()):
            self.model.end_cancelled(running, 1.0)
        evidence = self.evidence()
        self.assertEqual(evidence.reason, RollbackReason.SLOWNESS, evidence.detail)

    def test_requests_whose_callers_leave_early_do_not_count(self):
        for _ in range(40):
            self.ask(hanging=("v2",))
        for running in list(self.model.running.values()):
            self.model.end_cancelled(running, 0.1)
        self.assertEqual(self.evidence().reason, RollbackReason.NONE)

    def test_delay_of_both_versions_does_not_count(self):
        for _ in range(80):
            self.ask(hanging=("v1", "v2"))
        self.model.advance(1.0)
        evidence = self.evidence()
        self.assertEqual(evidence.reason, RollbackReason.NONE, evidence.detail)

    def test_running_request_counts_for_each_limit_that_it_exceeds(self):
        evidence = Evidence()
        generator = random.Random(1)
        for _ in range(100):
            time = generator.choice([0.6, 1.7, 1.7]) * generator.lognormvariate(0, 0.4)
            evidence.observe_old(Observation("/r", "gen1", False, time))
        for _ in range(10):
            counted = 0
            for time in (1.0, 3.0, 4.0, 10.0, 11.0):
                seen = Observation("/r", "gen1", False, time, limits_counted=counted)
                counted = evidence.observe_unfinished(seen, is_new=True)
            self.assertEqual(counted, 2)
        self.assertEqual(evidence.reason, RollbackReason.SLOWNESS, evidence.detail)

    def test_slow_request_counts_once(self):
        for _ in range(5):
            self.ask(hanging=("v2",))
        self.model.advance(1.0)
        details = {self.evidence().detail for _ in range(10)}
        self.assertEqual(len(details), 1)
        for running in list(self.model.running.values()):
            running.ends_at = self.model.now
        self.model.advance(0.1)
        slow = [
            detail.rpartition(", ")[2] for detail in (*details, self.evidence().detail)
        ]
        self.assertEqual(slow[0], slow[1])


class TestEvidence(unittest.TestCase):
    """Verdicts of the sequential test."""

    def feed(self, failures: float, slowdown: float, count: int) -> Evidence:
        generator = random.Random(1)
        evidence = Evidence()
        for _ in range(count):
            time = generator.uniform(0.8, 1.2)
            evidence.observe_old(Observation("/r", "gen1", False, time))
            failed = generator.random() < failures
            slow = None if failed else generator.uniform(0.8, 1.2) * slowdown
            evidence.observe_new(Observation("/r", "gen1", failed, slow))
            if evidence.reason is not RollbackReason.NONE:
                break
        return evidence

    def test_good_version_is_kept(self):
        self.assertEqual(self.feed(0.0, 1.0, 1000).reason, RollbackReason.NONE)

    def test_failures_are_detected(self):
        evidence = self.feed(0.5, 1.0, 100)
        self.assertEqual(evidence.reason, RollbackReason.FAILURES)
        self.assertLessEqual(evidence.ended, 20)

    def test_slowness_is_detected(self):
        evidence = self.feed(0.0, 2.0, 100)
        self.assertEqual(evidence.reason, RollbackReason.SLOWNESS)
        self.assertLessEqual(evidence.ended, 20)

    def test_regression_by_several_times_is_detected_although_servers_differ(self):
        for seed in range(20):
            generator = random.Random(seed)
            evidence = Evidence()
            for position in range(130):
                spread = generator.lognormvariate(0.0, 0.4)
                old = generator.choice([0.6, 1.7, 1.7]) * spread
                evidence.observe_old(Observation("/r", "gen1", False, old))
                if position >= 100 and evidence.reason is RollbackReason.NONE:
                    new = 5 * 1.7 * spread
                    evidence.observe_new(Observation("/r", "gen1", False, new))
            self.assertEqual(evidence.reason, RollbackReason.SLOWNESS)
            self.assertLessEqual(evidence.ended, 10)

    def test_differences_between_servers_do_not_count_as_slowness(self):
        for seed in range(20):
            generator = random.Random(seed)
            evidence = Evidence()
            for position in range(600):
                time = generator.choice([0.6, 1.7, 1.7]) * generator.lognormvariate(
                    0.0, 0.4
                )
                seen = Observation("/r", "gen1", False, time)
                if position < 100 or position % 2:
                    evidence.observe_old(seen)
                else:
                    evidence.observe_new(seen)
            self.assertEqual(evidence.reason, RollbackReason.NONE, evidence.detail)

    def test_overhead_of_a_busy_machine_does_not_count_as_slowness(self):
        for seed in range(20):
            generator = random.Random(seed)
            evidence = Evidence()
            nominal = 0.035
            for position in range(400):
                overhead = 0.02 + 0.04 * position / 400
                seconds = nominal + overhead * generator.expovariate(1.0)
                seen = Observation("/r", "gen1", False, seconds / nominal, nominal)
                if generator.random() < 0.9 * position / 400:
                    evidence.observe_new(seen)
                else:
                    evidence.observe_old(seen)
            self.assertEqual(evidence.reason, RollbackReason.NONE, evidence.detail)

    def test_slowness_of_short_requests_is_detected(self):
        generator = random.Random(1)
        evidence = Evidence()
        nominal = 0.035
        for _ in range(60):
            overhead = 0.02 * generator.expovariate(1.0)
            relative = 1 + overhead / nominal
            old = Observation("/r", "gen1", False, relative, nominal)
            evidence.observe_old(old)
            new = Observation("/r", "gen1", False, 6 * relative, nominal)
            evidence.observe_new(new)
        self.assertEqual(evidence.reason, RollbackReason.SLOWNESS)
