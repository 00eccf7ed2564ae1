"""Model of a control quorum on a simulated network, with its invariants."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from sassafraspin.control import (
    Configuration,
    ControlNode,
    ControlNodeSettings,
    OutcomeKind,
    ProposalResult,
    PutProfile,
    ReplicaDisk,
    ReplicaTimings,
    Voter,
)
from sassafraspin.control.messages import VotersEntry
from sassafraspin.control.state import ControlState
from sassafraspin.membership import MemberTimings
from sassafraspin.profiles import Profile
from sassafraspin.storage import StorageError
from tests.simulation import (
    MAX_CLOCK_DRIFT,
    DriftingClock,
    MemoryFiles,
    SimulatedCrash,
    SimulatedNetwork,
)

TICK_SECONDS = 0.05

TIMINGS = ReplicaTimings(
    election_timeout=1.0, heartbeat=0.2, clock_drift=MAX_CLOCK_DRIFT
)


SPARE_TIMINGS = replace(TIMINGS, replace_after=2.0, lost_after=4.0)


@dataclass
class QuorumNode:
    """A control instance with its disk and its clock."""

    name: str
    files: MemoryFiles
    clock: DriftingClock
    control: ControlNode | None = None
    frozen: bool = False
    crashed_at: float | None = None


class QuorumModel:
    """Control instances, their disks and the changes acknowledged to operators.

    Parameters
    ----------
    size : int
        Number of control instances.
    syncs : bool
        Whether disks sync appended data; ``False`` injects a defect.
    seed : int
        Seed of the clocks and the election timeouts.
    spares : int
        Number of instances that are not among the initial voters.
    timings : ReplicaTimings or None
        Timeouts of the replicas; ``None`` for those of the model.
    """

    def __init__(
        self,
        size: int = 3,
        syncs: bool = True,
        seed: int = 0,
        spares: int = 0,
        timings: ReplicaTimings | None = None,
    ) -> None:
        self._timings = timings or (SPARE_TIMINGS if spares else TIMINGS)
        self.network = SimulatedNetwork(self._deliver)
        self._generator = random.Random(seed)
        self._names = tuple(f"c{number}" for number in range(size))
        self._spares = tuple(f"s{number}" for number in range(spares))
        self.nodes = {
            name: QuorumNode(
                name,
                MemoryFiles(syncs),
                DriftingClock(self.network, self._generator),
            )
            for name in (*self._names, *self._spares)
        }
        self.acknowledged: dict[str, int] = {}
        self.winners: dict[str, str] = {}
        self._applied: dict[int, bytes | None] = {}
        self._checked_index: dict[str, int] = {}
        self._counter = 0
        self._disk_lost_at = float("-inf")
        self._has_left = False
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        for name in self.nodes:
            self.restart(name)

    # Faults

    def crash(self, name: str) -> None:
        """Cut a node's power; unsynced writes are lost."""
        self.kill(name)
        self.nodes[name].files.crash()

    def kill(self, name: str) -> None:
        """Kill a node's process; its files stay as they are, synced or not."""
        node = self.nodes[name]
        if node.control is not None:
            node.crashed_at = node.clock.now()
        node.control = None

    def restart(self, name: str, loading: float | None = None) -> None:
        """Start a node from its disk.

        ``loading`` is the time since the process started, in seconds. If it is
        ``None``, a random time since the crash is used.
        """
        node = self.nodes[name]
        if node.control is not None:
            return
        settings = ControlNodeSettings(
            name,
            self._names,
            self._timings,
            MemberTimings(),
            snapshot_after_entries=6,
        )
        node.frozen = False
        self._checked_index.pop(name, None)
        try:
            node.control = ControlNode(
                settings,
                ReplicaDisk(node.files),
                Configuration(),
                lambda target, message: self.network.send(name, target, message),
                random.Random(self._generator.random()),
                node.clock.now(),
                lambda: int(self.network.now * 1000),
                self._process_start(node, loading),
            )
        except SimulatedCrash:
            self.crash(name)
        except StorageError:
            self.kill(name)

    def _process_start(self, node: QuorumNode, loading: float | None) -> float:
        """Return the start time of a node's new process, after the old one crashed."""
        now = node.clock.now()
        if loading is not None:
            return now - loading
        if node.crashed_at is None:
            return now
        return self._generator.uniform(node.crashed_at, now)

    def leave(self, name: str) -> None:
        """Tell a node that its instance shuts down soon; it still runs."""
        node = self.nodes[name]
        if node.control is not None:
            self._has_left = True
            node.control.leave()

    def replace(self, old: str, new: str) -> None:
        """Replace a permanently lost instance with a new one.

        All instances are restarted one by one with the new settings.
        """
        self.crash(old)
        del self.nodes[old]
        self._names = tuple(new if name == old else name for name in self._names)
        clock = DriftingClock(self.network, self._generator)
        self.nodes[new] = QuorumNode(new, MemoryFiles(), clock)
        for name in self._names:
            self.crash(name)
            self.restart(name)
            self.run(5.0)

    def lose_disk(self, name: str) -> bool:
        """Crash a node and erase its disk; return whether that was done.

        It is done only if no more disks are lost than the quorum tolerates.
        """
        if not self._may_lose_disk(name):
            return False
        self.crash(name)
        self.nodes[name].files.erase()
        self._disk_lost_at = self.network.now
        return True

    def damage_log(self, name: str, position: int) -> bool:
        """Crash a node and flip a bit near the end of its log.

        It is done only if the disk may be lost; return whether it was done.
        """
        has_log = self.nodes[name].files.read("control.log") is not None
        if not has_log or not self._may_lose_disk(name):
            return False
        self.crash(name)
        self.nodes[name].files.flip_bit("control.log", -1 - position)
        self._disk_lost_at = self.network.now
        return True

    def _may_lose_disk(self, name: str) -> bool:
        """Return whether the quorum tolerates the loss of a node's disk.

        There is a leader other than this node, and the other voters run with their own
        disks, lack nothing and form a majority. While a voter leaves, a spare takes its
        place, so that the loss of another disk, a spare's too, must be known by then.
        """
        leader = self.leader()
        if leader is None or leader.name == name:
            return False
        since_loss = self.network.now - self._disk_lost_at
        if self._has_left and since_loss <= 2 * self._timings.election_timeout:
            return False
        voters = leader.control.replica.log.voters
        intact = {
            node.control.replica.disk_id
            for node in self.nodes.values()
            if node.control is not None
            and node.name != name
            and not node.control.replica.is_recovering
        }
        others = [voter for voter in voters if voter.name != name]
        if any(voter.disk_id not in intact for voter in others):
            return False
        return 2 * len(others) > len(voters)

    # Proposals

    def propose(self, name: str) -> None:
        """Propose a new profile through a node."""
        node = self.nodes[name]
        if node.control is None or node.frozen:
            return
        self._counter += 1
        change_id = f"change-{self._counter}"
        profile = Profile(f"p{self._counter}", 1, "s", 0, 1000)
        command = PutProfile(change_id, "operator", 0, profile)
        self._run_or_crash(
            node,
            lambda: node.control.propose(command, self._on_result, node.clock.now()),
        )

    def propose_conflicting(self, name: str) -> None:
        """Propose the same profile version with other content as another operator."""
        node = self.nodes[name]
        if node.control is None or node.frozen:
            return
        profile = Profile(f"p{self._counter}", 1, "s", 3, 1000)
        change_id = f"change-{self._counter}-by-{name}"
        command = PutProfile(change_id, name, 0, profile)
        self._run_or_crash(
            node,
            lambda: node.control.propose(command, self._on_result, node.clock.now()),
        )

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after ``seconds`` of virtual time."""
        self._scheduled.append((self.network.now + seconds, action))

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.network.run(seconds, self._tick, TICK_SECONDS)

    def leader(self) -> QuorumNode | None:
        """Return the node that holds the leader lease, if any."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.control is not None and node.control.leads(node.clock.now())
        ]
        assert len(leaders) <= 1, f"two leaders: {[node.name for node in leaders]}"
        return leaders[0] if leaders else None

    # Invariants

    def check(self) -> None:
        """Check agreement and durability of acknowledged changes."""
        leader = self.leader()
        for node in self.nodes.values():
            if node.control is not None:
                self._check_applied(node)
        if leader is not None:
            self._check_acknowledged(self._state(leader), leader.name)

    def check_recovery(self) -> None:
        """Remove all faults and check that the quorum recovers.

        Only nodes that have crashed are started again, and those that leave, which end
        sooner or later.
        """
        self.network.blocked_links.clear()
        for name, node in self.nodes.items():
            node.frozen = False
            node.files.full = False
            node.files.fails_to_sync = False
            node.files.crash_after_writes = None
            if node.control is not None and node.control.is_leaving:
                self.kill(name)
            self.restart(name)
        self.run(30.0)
        leader = self.leader()
        assert leader is not None, "no leader after all faults were removed"
        before = len(self.acknowledged)
        self.propose(leader.name)
        self.run(5.0)
        assert len(self.acknowledged) == before + 1, "a change was not acknowledged"
        for node in self.nodes.values():
            self._check_acknowledged(self._state(node), node.name)
        voting = [node for node in self.nodes.values() if node.control.replica.is_voter]
        assert len(voting) == len(self._names), f"only {len(voting)} voters"

    def _check_applied(self, node: QuorumNode) -> None:
        """Check that all nodes apply the same entries in the same order."""
        replica = node.control.replica
        start = max(replica.log.snapshot.index, self._checked_index.get(node.name, 0))
        for index in range(start + 1, replica.commit_index + 1):
            entry = replica.log.entry(index)
            known = self._applied.setdefault(index, entry)
            assert known == entry, f"{node.name} applied a different entry at {index}"
            if isinstance(entry, VotersEntry):
                self._check_voters(replica.log.voters_at(index - 1), entry.voters)
        self._checked_index[node.name] = replica.commit_index

    def _check_voters(
        self, before: tuple[Voter, ...], after: tuple[Voter, ...]
    ) -> None:
        """Check a committed change of the voters.

        Only a disk that is lost leaves less than the configured number of voters.
        """
        names = {voter.name for voter in after}
        assert len(names) == len(after), f"two voters of one name: {after}"
        assert len(after) <= len(self._names) + 1, f"too many voters: {after}"
        if not before:
            return
        assert len(set(before) ^ set(after)) == 1, f"{before} changed to {after}"
        if len(after) >= len(self._names):
            return
        for removed in set(before).difference(after):
            node = self.nodes.get(removed.name)
            if node is not None and node.control is not None:
                is_intact = node.control.replica.disk_id == removed.disk_id
                assert not is_intact, f"removed {removed}, left {after}"

    def _check_acknowledged(self, state: ControlState, name: str) -> None:
        for change_id in self.acknowledged:
            assert state.outcome(change_id) is not None, f"{name} lost {change_id}"

    def _state(self, node: QuorumNode) -> ControlState:
        return node.control._configuration.state

    def _on_result(self, result: ProposalResult) -> None:
        if result.outcome is not None and result.outcome.kind is OutcomeKind.ACCEPTED:
            self.acknowledged[result.change_id] = 1
            name = result.outcome.profile.profile.name
            self.winners.setdefault(name, result.change_id)
            assert self.winners[name] == result.change_id, f"two winners for {name}"

    def _tick(self) -> None:
        due = [item for item in self._scheduled if item[0] <= self.network.now]
        for item in due:
            self._scheduled.remove(item)
            item[1]()
        for node in self.nodes.values():
            if node.control is not None and not node.frozen:
                self._run_or_crash(
                    node, lambda node=node: node.control.tick(node.clock.now())
                )
        self.check()

    def _deliver(self, source: str, target: str, message: object) -> None:
        node = self.nodes.get(target)
        if node is None or node.control is None or node.frozen:
            return
        self._run_or_crash(
            node, lambda: node.control.receive(source, message, node.clock.now())
        )

    def _run_or_crash(self, node: QuorumNode, action) -> None:
        try:
            action()
        except SimulatedCrash:
            self.crash(node.name)
