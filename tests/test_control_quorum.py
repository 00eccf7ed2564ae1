"""Control quorum: stateful fuzzing against a model, and single fault scenarios."""

import random
import statistics
import unittest
from collections import deque
from copy import copy

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sassafraspin.control import (
    ControlReplica,
    PersistentState,
    ReplicaDisk,
    ReplicaMessage,
    ReplicaTimings,
    Role,
    Voter,
)
from sassafraspin.control.effects import (
    AppendToDisk,
    Effect,
    SaveSnapshot,
    SendToReplica,
)
from sassafraspin.control.log import EMPTY_SNAPSHOT
from sassafraspin.control.messages import (
    AppendReply,
    AppendRequest,
    CommandEntry,
    Hello,
    NoopEntry,
    Snapshot,
    VoteReply,
    VoteRequest,
    VotersEntry,
    Welcome,
)
from sassafraspin.control.voters import VoterPolicy
from tests.fuzz import fuzz_settings
from tests.quorum_model import SPARE_TIMINGS, TICK_SECONDS, TIMINGS, QuorumModel
from tests.simulation import MemoryFiles, NetworkConditions

FUZZ_SETTINGS = fuzz_settings(examples=150, steps=40)

NODES = st.sampled_from(["c0", "c1", "c2"])


class QuorumMachine(RuleBasedStateMachine):
    """Random faults of control instances, in any order and at any time."""

    syncs = True
    spares = 0
    counts_damage = True

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.model = QuorumModel(3, self.syncs, seed, self.spares)
        self.model.network.generator = random.Random(seed)
        self.model.run(4.0)

    @rule(milliseconds=st.integers(10, 3000), loss=st.sampled_from([0, 0.05, 0.3]))
    def let_time_pass(self, milliseconds, loss):
        self.model.network.conditions = NetworkConditions(0.001, 0.05, loss, 0.1)
        self.model.run(milliseconds / 1000)

    @rule(node=NODES, milliseconds=st.integers(0, 300))
    def propose(self, node, milliseconds):
        leader = self.model.leader()
        self.model.propose(node if leader is None else leader.name)
        self.model.run(milliseconds / 1000)

    @rule(node=NODES)
    def crash(self, node):
        self.model.crash(node)

    @rule(
        node=NODES,
        writes=st.integers(0, 3),
        torn=st.integers(0, 30),
        hole=st.integers(0, 30),
    )
    def crash_at_write(self, node, writes, torn, hole):
        self.tear_next_write(node, writes, torn, hole)

    @rule(torn=st.integers(0, 30), hole=st.integers(0, 30))
    def lose_power_during_writes(self, torn, hole):
        for name in self.model.nodes:
            self.tear_next_write(name, 0, torn, hole)
        leader = self.model.leader()
        if leader is not None:
            self.model.propose(leader.name)
        self.model.run(0.3)
        self.restart_all()

    def tear_next_write(self, name, writes, torn, hole):
        files = self.model.nodes[name].files
        files.crash_after_writes = writes
        files.torn_bytes, files.hole_bytes = torn, hole

    @rule(node=NODES)
    def restart(self, node):
        self.model.restart(node)

    @rule()
    def restart_all(self):
        for node in self.model.nodes:
            self.model.crash(node)
            self.model.restart(node)

    @rule(node=NODES)
    def lose_disk(self, node):
        if self.model.lose_disk(node):
            self.model.restart(node)

    @rule(node=NODES)
    def kill(self, node):
        self.model.kill(node)

    @rule(node=NODES, position=st.integers(0, 40))
    def damage_log(self, node, position):
        if self.counts_damage and self.model.damage_log(node, position):
            self.model.restart(node)

    @rule(node=NODES, full=st.booleans(), taken=st.integers(0, 30))
    def fill_disk(self, node, full, taken):
        self.model.nodes[node].files.full = full
        self.model.nodes[node].files.torn_bytes = taken

    @rule(node=NODES, fails=st.booleans())
    def fail_syncs(self, node, fails):
        self.model.nodes[node].files.fails_to_sync = fails

    @rule(node=NODES, frozen=st.booleans())
    def freeze(self, node, frozen):
        self.model.nodes[node].frozen = frozen

    @rule(source=NODES, receiver=NODES)
    def cut_one_way(self, source, receiver):
        if source != receiver:
            self.model.network.blocked_links.add((source, receiver))

    @rule()
    def heal(self):
        self.model.network.blocked_links.clear()

    @invariant()
    def always(self):
        if hasattr(self, "model"):
            self.model.check()

    def teardown(self):
        if hasattr(self, "model"):
            self.model.network.conditions = NetworkConditions()
            self.model.check_recovery()


class SpareMachine(QuorumMachine):
    """Random faults with a spare instance that may replace a lost voter.

    A voter that is silent counts as lost here, which is one disk less to damage.
    """

    spares = 1
    counts_damage = False

    @rule(node=st.sampled_from(["c0", "c1", "c2", "s0"]))
    def leave(self, node):
        self.model.leave(node)

    @rule()
    def crash_spare(self):
        self.model.crash("s0")

    @rule()
    def restart_spare(self):
        self.model.restart("s0")

    @rule(frozen=st.booleans())
    def freeze_spare(self, frozen):
        self.model.nodes["s0"].frozen = frozen

    @rule()
    def lose_disk_of_spare(self):
        if self.model.lose_disk("s0"):
            self.model.restart("s0")

    @rule(node=NODES)
    def cut_spare(self, node):
        self.model.network.blocked_links |= {("s0", node), (node, "s0")}


class TestSpares(unittest.TestCase):
    """A spare instance replaces a lost voter."""

    def test_fuzz(self):
        run_state_machine_as_test(SpareMachine, settings=FUZZ_SETTINGS)

    def voters(self, model: QuorumModel) -> list[str]:
        return [voter.name for voter in model.leader().control.replica.log.voters]

    def test_spare_replaces_a_voter_that_stays_silent(self):
        model = QuorumModel(3, spares=1)
        model.run(4.0)
        model.propose(model.leader().name)
        lost = next(name for name in ("c0", "c1", "c2") if name != model.leader().name)
        model.crash(lost)
        model.run(8.0)
        voters = self.voters(model)
        self.assertIn("s0", voters)
        self.assertNotIn(lost, voters)
        other = next(name for name in voters if name != model.leader().name)
        model.crash(other)
        model.run(4.0)
        model.propose(model.leader().name)
        model.run(2.0)
        self.assertEqual(len(model.acknowledged), 2)

    def test_removal_of_an_intact_voter_is_caught(self):
        original = VoterPolicy._candidates
        self.addCleanup(setattr, VoterPolicy, "_candidates", original)

        def remove_first(policy, voters, *arguments):
            if len(voters) == policy._size:
                policy = copy(policy)
                policy._size -= 1
            return original(policy, voters, *arguments)

        VoterPolicy._candidates = remove_first
        model = QuorumModel(3, spares=1)
        with self.assertRaisesRegex(AssertionError, "removed"):
            model.run(8.0)

    def test_replaced_voter_comes_back_as_a_spare(self):
        model = QuorumModel(3, spares=1)
        model.run(4.0)
        lost = next(name for name in ("c0", "c1", "c2") if name != model.leader().name)
        model.crash(lost)
        model.run(8.0)
        model.restart(lost)
        model.run(8.0)
        self.assertNotIn(lost, self.voters(model))
        other = next(n for n in self.voters(model) if n != model.leader().name)
        model.crash(other)
        model.run(8.0)
        self.assertIn(lost, self.voters(model))

    def test_replaced_voter_finds_a_spare_that_leads(self):
        """A replaced voter restarts after the spare in its place became the leader."""
        machine = SpareMachine()
        machine.start(seed=6432)
        machine.crash(node="c2")
        machine.let_time_pass(loss=0, milliseconds=3000)
        machine.restart_all()
        machine.let_time_pass(loss=0.05, milliseconds=50)
        machine.restart_all()
        machine.restart_all()
        machine.teardown()

    def test_voter_is_not_replaced_after_a_short_silence(self):
        model = QuorumModel(3, spares=1)
        model.run(4.0)
        before = self.voters(model)
        lost = next(name for name in before if name != model.leader().name)
        model.crash(lost)
        model.run(1.5)
        model.restart(lost)
        model.run(4.0)
        self.assertEqual(self.voters(model), before)

    def test_quorum_recovers_after_a_freeze_and_a_disk_loss(self):
        """A leader must not remove a silent voter that the quorum still needs.

        One voter is frozen and another loses its disk. When the frozen voter has been
        silent for ``replace_after``, the leader removes it in favor of the spare. The
        voters left are the leader and the lost disk. They never form a majority, even
        after all instances run again.
        """
        machine = SpareMachine()
        machine.start(seed=14542)
        machine.let_time_pass(loss=0.05, milliseconds=3000)
        machine.freeze(frozen=True, node="c1")
        machine.let_time_pass(loss=0.05, milliseconds=1699)
        machine.lose_disk(node="c0")
        machine.teardown()


class TestControlQuorum(unittest.TestCase):
    """Agreement, durability and recovery under faults."""

    def test_fuzz(self):
        run_state_machine_as_test(QuorumMachine, settings=FUZZ_SETTINGS)

    def test_missing_sync_is_caught(self):
        class Mutant(QuorumMachine):
            syncs = False

        with self.assertRaises(AssertionError):
            run_state_machine_as_test(Mutant, settings=FUZZ_SETTINGS)

    def test_vote_during_lease_is_caught(self):
        _cut_leader_from_one_follower()
        original = ControlReplica._has_recent_leader
        self.addCleanup(setattr, ControlReplica, "_has_recent_leader", original)
        ControlReplica._has_recent_leader = lambda replica, now: False
        with self.assertRaisesRegex(AssertionError, "two leaders"):
            _cut_leader_from_one_follower()

    def test_commit_of_older_terms_by_count_is_safe_with_noop(self):
        model = QuorumModel(3)
        model.run(5.0)
        leader = model.leader()
        model.propose(leader.name)
        model.crash(leader.name)
        model.run(5.0)
        model.check()

    def test_leader_is_elected_soon_after_full_restart(self):
        """Loading longer than the election timeout must not delay the first election.

        A leader contact before the start is older than the timeout by then.
        """
        waits = []
        for seed in range(20):
            model = QuorumModel(3, seed=seed)
            model.run(5.0)
            for name in model.nodes:
                model.crash(name)
            model.run(6.0)
            for name in model.nodes:
                model.restart(name, loading=2 * TIMINGS.election_timeout)
            waits.append(self.wait_for_leader(model))
        self.assertLess(statistics.median(waits), 0.5 * TIMINGS.election_timeout)
        one_split_vote = 2.5 * TIMINGS.election_timeout
        self.assertLess(max(waits), one_split_vote)

    def test_replica_without_majority_retries_pre_vote_soon(self):
        """A replica without a majority repeats its pre-vote every few heartbeats.

        When a second replica starts, a leader is elected within one timeout.
        """
        for seed in range(10):
            model = QuorumModel(3, seed=seed)
            model.run(5.0)
            for name in model.nodes:
                model.crash(name)
            model.run(5.0)
            model.restart("c0")
            model.run(5.0)
            model.restart("c1", loading=2 * TIMINGS.election_timeout)
            self.assertLess(self.wait_for_leader(model), TIMINGS.election_timeout)

    def wait_for_leader(self, model: QuorumModel) -> float:
        """Return the seconds until a node becomes leader."""
        started_at = model.network.now
        while model.leader() is None:
            model.run(0.05)
            self.assertLess(model.network.now - started_at, 20.0)
        return model.network.now - started_at

    def test_permanently_lost_instance_is_replaced(self):
        for gone in ("c0", "c1", "c2"):
            with self.subTest(gone=gone):
                model = QuorumModel(3)
                model.run(5.0)
                model.propose(model.leader().name)
                model.run(1.0)
                model.replace(gone, "c9")
                model.run(20.0)
                leader = model.leader()
                voters = {voter.name for voter in leader.control.replica.log.voters}
                self.assertEqual(voters, set(model.nodes))
                model.check_recovery()

    def test_isolated_leader_does_not_acknowledge(self):
        model = QuorumModel(3)
        model.run(5.0)
        leader = model.leader()
        others = [name for name in model.nodes if name != leader.name]
        for other in others:
            model.network.blocked_links |= {(leader.name, other), (other, leader.name)}
        model.propose(leader.name)
        model.run(20.0)
        self.assertEqual(model.acknowledged, {})
        term = leader.control.replica.term
        model.network.blocked_links.clear()
        new_leader = model.leader()
        model.run(5.0)
        self.assertEqual(model.leader().name, new_leader.name)
        self.assertGreater(leader.control.replica.term, term)

    def test_voters_are_complete_after_repeated_disk_losses(self):
        """A voter that loses its disk again during its readmission is readmitted.

        An instance loses its disk three times in a row. The replicated log then admits
        one of the lost disks as a voter. The instance hears the leader and sends no
        ``Hello`` with its new disk, so the leader never replaces the lost one.
        """
        machine = QuorumMachine()
        machine.start(seed=2256)
        machine.lose_disk(node="c0")
        machine.propose(milliseconds=0, node="c0")
        machine.let_time_pass(loss=0.05, milliseconds=422)
        machine.let_time_pass(loss=0, milliseconds=559)
        machine.let_time_pass(loss=0.3, milliseconds=1054)
        machine.lose_disk(node="c1")
        machine.let_time_pass(loss=0.05, milliseconds=202)
        machine.lose_disk(node="c1")
        machine.let_time_pass(loss=0.3, milliseconds=216)
        machine.let_time_pass(loss=0.3, milliseconds=235)
        machine.let_time_pass(loss=0, milliseconds=197)
        machine.lose_disk(node="c1")
        machine.teardown()


def _cut_leader_from_one_follower() -> None:
    """Disconnect one follower from a leader that the other follower still reaches."""
    model = QuorumModel(3)
    model.run(5.0)
    leader = model.leader()
    missing = next(name for name in model.nodes if name != leader.name)
    model.network.blocked_links |= {(leader.name, missing), (missing, leader.name)}
    model.run(10.0)


class LeaderHarness:
    """A leader ``c0`` whose peers acknowledge every append with a given disk.

    Parameters
    ----------
    timings : ReplicaTimings
        Timeouts of the leader.
    configured : tuple of str or None
        Control instances known to the leader; ``None`` for the voters.
    """

    def __init__(
        self,
        timings: ReplicaTimings = TIMINGS,
        configured: tuple[str, ...] | None = None,
    ) -> None:
        names = ("c0", "c1", "c2")
        self.now = 0.0
        self.disks = {name: f"{name}-first" for name in names}
        voters = tuple(Voter(name, disk) for name, disk in self.disks.items())
        persistent_state = PersistentState(
            self.disks["c0"], 1, None, Snapshot(10, 1, voters, b"state")
        )
        self.replica = ControlReplica(
            "c0",
            configured or names,
            persistent_state,
            timings,
            random.Random(1),
            self.now,
            voters=len(names),
        )
        self.history = [voters]
        self.run(3.0)

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Return the voters that the leader has appended last."""
        return self.replica.log.voters

    def voter(self, name: str) -> Voter:
        """Return an instance with its current disk."""
        return Voter(name, self.disks[name])

    def run(self, seconds: float) -> None:
        """Tick the leader and answer its messages."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.answer(self.replica.tick(self.now))

    def receive(self, source: str, message: ReplicaMessage) -> None:
        """Deliver a message to the leader and answer what it sends."""
        self.answer(self.replica.receive(source, message, self.now))

    def answer(self, effects: list[Effect]) -> None:
        """Answer the leader's messages in the name of the running peers."""
        if self.voters != self.history[-1]:
            self.history.append(self.voters)
        for effect in effects:
            if isinstance(effect, SendToReplica) and effect.name in self.disks:
                self._answer_message(effect.name, effect.message)

    def _answer_message(self, name: str, message: ReplicaMessage) -> None:
        disk = self.disks[name]
        match message:
            case VoteRequest(term, pre):
                current = term - 1 if pre else term
                self.receive(name, VoteReply(term, pre, True, disk, current))
            case AppendRequest():
                end = message.previous_index + len(message.entries)
                reply = AppendReply(message.term, True, end, disk, message.sent_at)
                self.receive(name, reply)


class TestVoterChanges(unittest.TestCase):
    """Voters that a leader adds and removes."""

    def test_new_disk_known_only_from_its_answers_becomes_a_voter(self):
        """A replica that hears the leader sends no ``Hello`` with its new disk."""
        harness = LeaderHarness()
        lost = harness.voter("c1")
        harness.disks["c1"] = "c1-second"
        harness.run(3.0)
        self.assertNotIn(lost, harness.voters)
        self.assertIn(harness.voter("c1"), harness.voters)

    def test_spare_is_added_before_a_silent_voter_is_removed(self):
        """Two voters out of three would not survive the loss of a disk."""
        harness = LeaderHarness(SPARE_TIMINGS)
        silent = harness.voter("c1")
        del harness.disks["c1"]
        harness.disks["s0"] = "s0-first"
        harness.receive("s0", Hello("s0-first"))
        harness.run(5.0)
        self.assertIn(harness.voter("s0"), harness.voters)
        self.assertNotIn(silent, harness.voters)
        self.assertEqual([len(voters) for voters in harness.history], [3, 4, 3])

    def test_voters_stay_while_a_majority_of_the_new_ones_is_silent(self):
        harness = LeaderHarness(SPARE_TIMINGS)
        before = harness.voters
        del harness.disks["c1"]
        harness.disks["s0"] = "s0-first"
        harness.receive("s0", Hello("s0-first"))
        harness.run(0.9)
        del harness.disks["c2"]
        harness.run(5.0)
        self.assertEqual(harness.voters, before)

    def test_late_message_of_an_older_disk_removes_no_voter(self):
        harness = LeaderHarness()
        harness.receive("c1", Hello("c1-older"))
        harness.run(3.0)
        self.assertEqual(len(harness.history), 1)

    def test_number_of_voters_does_not_follow_the_known_instances(self):
        """A restart during a change of the voters knows one name fewer or more."""
        for configured in (("c0", "c1"), ("c0", "c1", "c2", "s0")):
            with self.subTest(configured=configured):
                harness = LeaderHarness(SPARE_TIMINGS, configured)
                harness.disks["s0"] = "s0-first"
                harness.receive("s0", Hello("s0-first"))
                harness.run(3.0)
                self.assertEqual(len(harness.history), 1)

    def test_voters_are_complete_after_a_replaced_voter_returns(self):
        """A voter that returns while its replacement is being added leaves again."""
        harness = LeaderHarness(SPARE_TIMINGS)
        disk = harness.disks.pop("c1")
        harness.disks["s0"] = "s0-first"
        harness.receive("s0", Hello("s0-first"))
        while len(harness.history) == 1:
            harness.run(TICK_SECONDS)
            self.assertLess(harness.now, 20.0)
        harness.disks["c1"] = disk
        harness.run(3.0)
        self.assertEqual(len(harness.voters), 3)


class TestBootstrap(unittest.TestCase):
    """Empty disks form the first quorum, and never a second one."""

    NAMES = ("c0", "c1", "c2")

    def replica(
        self, name: str, disk: str, snapshot: Snapshot = EMPTY_SNAPSHOT
    ) -> ControlReplica:
        """Return a replica with a spare's timings."""
        persistent_state = PersistentState(disk, snapshot.term, None, snapshot)
        generator = random.Random(name)
        return ControlReplica(
            name, self.NAMES, persistent_state, SPARE_TIMINGS, generator, 0.0
        )

    def run_replicas(self, replicas: dict[str, ControlReplica], seconds: float) -> None:
        """Tick replicas and deliver what they send to each other."""
        for step in range(round(seconds / TICK_SECONDS)):
            now = step * TICK_SECONDS
            queue = deque()
            for name, replica in replicas.items():
                queue.extend((name, effect) for effect in replica.tick(now))
            while queue:
                source, effect = queue.popleft()
                if isinstance(effect, SendToReplica) and effect.name in replicas:
                    target = replicas[effect.name]
                    effects = target.receive(source, effect.message, now)
                    queue.extend((effect.name, item) for item in effects)

    def test_empty_disks_form_no_second_quorum_with_a_voter_without_a_leader(self):
        """Two replaced voters lose their disks and hear a voter without a leader."""
        voters = (Voter("c0", "d0"), Voter("s0", "d1"), Voter("s1", "d2"))
        replicas = {
            "c0": self.replica("c0", "d0", Snapshot(10, 3, voters, b"state")),
            "c1": self.replica("c1", "d3"),
            "c2": self.replica("c2", "d4"),
        }
        self.run_replicas(replicas, 10.0)
        self.assertEqual(replicas["c0"].log.voters, voters)
        self.assertFalse(any(replicas[name].is_voter for name in ("c1", "c2")))
        roles = {replica.role for replica in replicas.values()}
        self.assertNotIn(Role.LEADER, roles)

    def test_empty_disks_form_the_first_quorum(self):
        replicas = {name: self.replica(name, f"d-{name}") for name in self.NAMES}
        self.run_replicas(replicas, 10.0)
        roles = sorted(replica.role for replica in replicas.values())
        self.assertEqual(roles, [Role.FOLLOWER, Role.FOLLOWER, Role.LEADER])


class TestWelcome(unittest.TestCase):
    """Replies to ``Hello`` never make a disk drop entries that it has acknowledged."""

    INITIAL = (Voter("c0", "d0"), Voter("c1", "d1"), Voter("c2", "d2"))
    ENTRIES = (NoopEntry(1), CommandEntry(1, b"acknowledged"))

    def replica(
        self, own: Voter, snapshot: Snapshot = EMPTY_SNAPSHOT
    ) -> ControlReplica:
        """Return a replica that has received ``ENTRIES`` from a leader."""
        names = tuple(voter.name for voter in self.INITIAL)
        persistent_state = PersistentState(own.disk_id, 1, None, snapshot)
        replica = ControlReplica(
            own.name, names, persistent_state, SPARE_TIMINGS, random.Random(1), 0.0
        )
        replica.receive("c0", AppendRequest(1, 0, 0, self.ENTRIES, 2, 0.0), 1.0)
        return replica

    def welcome(self, member: ControlReplica, hello: Voter) -> Welcome:
        """Return the reply of a voter to ``Hello``."""
        effects = member.receive(hello.name, Hello(hello.disk_id), 1.1)
        [message] = [item.message for item in effects if item.name == hello.name]
        return message

    def test_learner_that_became_a_voter_does_not_start_again(self):
        learner = Voter("s0", "d3")
        member = self.replica(self.INITIAL[1], Snapshot(0, 0, self.INITIAL, b""))
        enlarged = VotersEntry(1, (*self.INITIAL, learner))
        member.receive("c0", AppendRequest(1, 2, 1, (enlarged,), 2, 0.0), 1.0)
        message = self.welcome(member, learner)
        effects = self.replica(learner).receive("c1", message, 1.2)
        self.assertEqual(
            [], [item for item in effects if isinstance(item, SaveSnapshot)]
        )

    def test_initial_voter_keeps_entries_received_before_the_voters(self):
        member = self.replica(self.INITIAL[1], Snapshot(0, 0, self.INITIAL, b""))
        message = self.welcome(member, self.INITIAL[2])
        late = self.replica(self.INITIAL[2])
        [saved] = late.receive("c1", message, 1.2)
        self.assertEqual(saved.snapshot.voters, self.INITIAL)
        self.assertEqual(saved.entries, self.ENTRIES)


class TestFollower(unittest.TestCase):
    """Appends that overlap with the snapshot of a follower."""

    def append(self, previous_index: int, count: int) -> list:
        """Append entries of term 1 to a replica with a snapshot at index 10."""
        voters = (Voter("c0", "d0"), Voter("c1", "d1"))
        snapshot = Snapshot(10, 1, voters, b"state")
        persistent_state = PersistentState("d1", 1, None, snapshot)
        generator = random.Random(1)
        replica = ControlReplica(
            "c1", ("c0", "c1"), persistent_state, TIMINGS, generator, 0.0
        )
        entries = tuple(CommandEntry(1, b"%d" % number) for number in range(count))
        request = AppendRequest(
            1, previous_index, 1, entries, previous_index + count, 0.5
        )
        return replica.receive("c0", request, 1.0)

    def reply(self, effects: list) -> AppendReply:
        [sent] = [item for item in effects if isinstance(item, SendToReplica)]
        return sent.message

    def test_only_entries_after_the_snapshot_are_stored(self):
        effects = self.append(4, 8)
        self.assertEqual(self.reply(effects).match_index, 12)
        self.assertTrue(self.reply(effects).success)
        [stored] = [item for item in effects if isinstance(item, AppendToDisk)]
        self.assertEqual((stored.first_index, len(stored.entries)), (11, 2))

    def test_entries_before_the_snapshot_are_not_stored(self):
        effects = self.append(2, 3)
        self.assertTrue(self.reply(effects).success)
        self.assertEqual(self.reply(effects).match_index, 10)
        self.assertFalse([item for item in effects if isinstance(item, AppendToDisk)])

    def test_entries_after_a_gap_are_refused(self):
        self.assertFalse(self.reply(self.append(12, 1)).success)


class TestReplicaDisk(unittest.TestCase):
    """Disk identity after corruption of the log."""

    def test_torn_tail_keeps_the_identity(self):
        files = MemoryFiles()
        identity = ReplicaDisk(files).persistent_state.disk_id
        files.append("control.log", b"\x40\x00\x00")
        self.assertEqual(ReplicaDisk(files).persistent_state.disk_id, identity)

    def test_flipped_bit_changes_the_identity(self):
        for position in range(12, 40):
            files = MemoryFiles()
            identity = ReplicaDisk(files).persistent_state.disk_id
            files.flip_bit("control.log", position)
            self.assertNotEqual(ReplicaDisk(files).persistent_state.disk_id, identity)
