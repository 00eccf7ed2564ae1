"""Control node of one instance: replica, disk, configuration and members."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from sassafraspin.control.commands import (
    ChangeView,
    Command,
    CommandOutcome,
    decode_command,
    encode_command,
)
from sassafraspin.control.config import Configuration
from sassafraspin.control.disk import ReplicaDisk
from sassafraspin.control.effects import (
    AppendToDisk,
    ApplyEntry,
    Effect,
    ReportRefusal,
    RestoreState,
    SaveSnapshot,
    SaveTerm,
    SendToReplica,
)
from sassafraspin.control.messages import CommandEntry, ReplicaMessage
from sassafraspin.control.quorum_log import QuorumLog
from sassafraspin.control.replica import (
    ControlReplica,
    PersistentState,
    ReplicaTimings,
    Role,
)
from sassafraspin.control.transfers import ConfigTransfers
from sassafraspin.membership import (
    ConfigUpdate,
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberTable,
    MemberTimings,
    View,
)
from sassafraspin.storage import StorageError
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import (
    ControlDiskReopened,
    ControlRecovered,
    log_event,
)

__all__ = ["ControlNode", "ControlNodeSettings", "ProposalResult"]

_log = part_logger("control")

_PROPOSAL_TIMEOUT_SECONDS = 5.0

_SETTLE_SECONDS = 3.7
"""Longest time for which the outcome of a proposal waits for a change of the voters.
A voter that is gone for good is replaced after 3 s; operators wait for 4 s."""

_REOPEN_INTERVAL_SECONDS = 0.25

_REACHED_INDEX_SECONDS = 0.02
"""Time for which the lowest index of the members is kept; many tasks may ask for it."""


@dataclass(frozen=True)
class ControlNodeSettings:
    """Settings of the control node of one instance.

    Parameters
    ----------
    name : str
        Name of this instance.
    configured : tuple of str
        Names of all configured control instances.
    replica : ReplicaTimings
        Timings of the Raft replica.
    members : MemberTimings
        Timings of member leases.
    snapshot_after_entries : int
        Number of applied log entries after which the log is compacted.
    snapshot_after_bytes : int
        Bytes of log entries after which the log is compacted.
    voters : int or None
        Number of voters to keep; ``None`` for as many as are configured.
    """

    name: str
    configured: tuple[str, ...]
    replica: ReplicaTimings
    members: MemberTimings
    snapshot_after_entries: int
    snapshot_after_bytes: int = 4 * 1024 * 1024
    voters: int | None = None


@dataclass(frozen=True)
class ProposalResult:
    """Result of a proposal.

    ``outcome`` is ``None`` if this node proposed nothing or the outcome is unknown.
    """

    change_id: str
    outcome: CommandOutcome | None


ProposalCallback = Callable[[ProposalResult], None]


@dataclass
class _Proposal:
    callbacks: list[ProposalCallback]
    expires_at: float
    outcome: CommandOutcome | None = None


class ControlNode:
    """Runs one control replica and, while it is the leader, the member table.

    The class performs no network I/O itself: messages go out through ``send``.

    Parameters
    ----------
    settings : ControlNodeSettings
        Instance names and timeouts.
    disk : ReplicaDisk
        Durable state of the replica.
    configuration : Configuration
        State machine that committed commands are applied to.
    send : callable
        Sends a replica message to another control instance by name.
    generator : random.Random
        Randomizes election timeouts.
    now : float
        Monotonic time in seconds.
    wall_clock_ms : callable
        Returns the wall clock time in milliseconds since 1970.
    started_at : float or None
        Monotonic time at which this process started; ``now`` if unknown.
    """

    def __init__(
        self,
        settings: ControlNodeSettings,
        disk: ReplicaDisk,
        configuration: Configuration,
        send: Callable[[str, ReplicaMessage], None],
        generator: random.Random,
        now: float,
        wall_clock_ms: Callable[[], int],
        started_at: float | None = None,
    ) -> None:
        self._settings = settings
        self._wall_clock_ms = wall_clock_ms
        self._disk = disk
        self._configuration = configuration
        self._send = send
        self._generator = generator
        self._member_table: MemberTable | None = None
        self._leads_since = now
        self._reached_at = float("-inf")
        self._reached_index = 0.0
        self._transfers = ConfigTransfers(configuration)
        self._proposals: dict[str, _Proposal] = {}
        self._failure: StorageError | None = None
        self._next_reopen_at = float("-inf")
        self._is_leaving = False
        self._start_replica(disk.persistent_state, now, started_at)

    @property
    def replica(self) -> ControlReplica:
        """Return the Raft replica."""
        return self._replica

    @property
    def failure(self) -> StorageError | None:
        """Return the storage error that this node recovers from, if any."""
        return self._failure

    def leads(self, now: float) -> bool:
        """Return whether this instance is the leader and holds the leader lease."""
        return self._failure is None and self._replica.has_lease(now)

    def tick(self, now: float) -> None:
        """Advance the replica's timers and expire proposals; as leader, plan a view."""
        if self._failure is not None:
            self._reopen_disk(now)
            return
        self._execute_all(self._replica.tick(now))
        self._quorum_log.observe(now)
        self._report_outcomes(now)
        self._expire_proposals(now)
        if not self.leads(now):
            if self._member_table is not None:
                _log.info("This instance has no leader lease any more.")
            self._member_table = None
            return
        if self._member_table is None:
            self._member_table = MemberTable(self._settings.members, now)
            self._leads_since = now
            self._reached_at = float("-inf")
            self._transfers = ConfigTransfers(self._configuration)
            _log.info(
                "This instance acquired the leader lease in term {}.",
                self._replica.term,
            )
        self._plan_view(now)

    @property
    def is_leaving(self) -> bool:
        """Return whether this instance shuts down."""
        return self._is_leaving

    def leave(self) -> None:
        """Hand the place of this voter over to a spare, if there is one.

        See ``ControlReplica.leave``.
        """
        self._is_leaving = True
        self._replica.leave()

    def receive(self, source: str, message: ReplicaMessage, now: float) -> None:
        """Handle a message from another replica."""
        if self._failure is None:
            self._execute_all(self._replica.receive(source, message, now))
            self._report_outcomes(now)

    def heartbeat(
        self, identity: MemberIdentity, heartbeat: MemberHeartbeat, now: float
    ) -> HeartbeatReply:
        """Answer a member's heartbeat.

        Only the leader grants a lease and sends configuration updates.
        """
        lease = 0.0
        update: ConfigUpdate | None = None
        voters: tuple[str, ...] = ()
        leader = self._replica.current_leader(now)
        if self._member_table is not None and self.leads(now):
            view = self._configuration.state.view
            lease = self._member_table.grant(identity, heartbeat, view, now)
            voters = self._control_names
            update = self._transfers.reply_update(identity, heartbeat, now)
        elif leader == self._settings.name:
            leader = None
        return HeartbeatReply(
            leader,
            int(lease * 1000),
            self._replica.commit_index,
            heartbeat.sent_at,
            update,
            voters,
            self._replica.term,
        )

    @property
    def leads_since(self) -> float:
        """Return the monotonic time since which this instance leads, in seconds."""
        return self._leads_since

    def announcement(self, update: ConfigUpdate | None = None) -> HeartbeatReply:
        """Return the message that tells a member unasked that this instance leads."""
        return HeartbeatReply(
            self._settings.name,
            0,
            self._replica.commit_index,
            0.0,
            update,
            self._control_names,
            self._replica.term,
        )

    def silent_members(self, silence: float, now: float) -> list[Member]:
        """Return the members that have not reported for ``silence`` seconds."""
        if self._member_table is None:
            return []
        view = self._configuration.state.view
        return self._member_table.silent_members(view, silence, now)

    def is_in_force(self, index: int, since: float, now: float) -> bool:
        """Return whether no member may act on an older configuration any more.

        A member that lacks the index may act alone until a lease has ended that was
        granted before the index was committed. See also ``may_report``.

        Parameters
        ----------
        index : int
            Index of a committed command.
        since : float
            Monotonic time at which the command was known to be committed, in seconds.
        now : float
            Monotonic time in seconds.
        """
        if self._member_table is None or not self.leads(now):
            return False
        if not self.may_report(since, now):
            return False
        if self._member_table.has_outlived_leases(since, now):
            return True
        if now - self._reached_at >= _REACHED_INDEX_SECONDS:
            self._reached_at = now
            view = self._configuration.state.view
            self._reached_index = self._member_table.reached_index(view)
        return index <= self._reached_index

    def may_report(self, since: float, now: float) -> bool:
        """Return whether a committed command may be acknowledged to operators.

        That is once the voters are settled, so that the command is kept although
        another disk is lost then, or if they are not for some time.

        Parameters
        ----------
        since : float
            Monotonic time since which the acknowledgement waits, in seconds.
        now : float
            Monotonic time in seconds.
        """
        has_waited = now - since >= _SETTLE_SECONDS
        return has_waited or self._replica.are_voters_settled(now)

    def lagging_members(self, index: int) -> list[str]:
        """Return the names of the members that may act and lack a log index."""
        view = self._configuration.state.view
        if self._member_table is None:
            return [member.name for member in view.members]
        return self._member_table.lagging_members(index, view)

    @property
    def _control_names(self) -> tuple[str, ...]:
        """Return the names of the voters and, if it is none any more, of this leader.

        A leader that shuts down leads on after its place was handed over.
        """
        names = [voter.name for voter in self._replica.log.voters]
        if self._settings.name not in names:
            names.append(self._settings.name)
        return tuple(names)

    def push_update(
        self, identity: MemberIdentity, index: int, now: float
    ) -> ConfigUpdate | None:
        """Return an update for a member that has not asked for it, if one is due.

        See ``ConfigTransfers.push_update``.
        """
        return self._transfers.push_update(identity, index, now)

    def is_proposed(self, change_id: str) -> bool:
        """Return whether a command proposed here still waits for its outcome."""
        return change_id in self._proposals

    def propose(self, command: Command, callback: ProposalCallback, now: float) -> None:
        """Propose a command; the callback receives a ``ProposalResult``.

        A command with a retained outcome is not applied again; the callback receives
        that outcome. An outcome waits for ``may_report``. Only the ``outcome`` of the
        result may be ``None``:

        - At once if this instance does not hold the leader lease. Nothing is proposed.
        - Later if this instance loses the leadership, if a storage error occurs, or
          after a timeout. The outcome is unknown: the command may still be applied.

        In both cases the command may be proposed again with the same ``change_id``.
        """
        change_id = command.change_id
        if not self.leads(now):
            callback(ProposalResult(change_id, None))
            return
        pending = self._proposals.get(change_id)
        if pending is not None:
            pending.callbacks.append(callback)
            return
        known = self._configuration.state.outcome(change_id)
        expires_at = now + _PROPOSAL_TIMEOUT_SECONDS
        self._proposals[change_id] = _Proposal([callback], expires_at, known)
        if known is None:
            _, effects = self._replica.propose(encode_command(command), now)
            self._execute_all(effects)
        self._report_outcomes(now)

    def _plan_view(self, now: float) -> None:
        assert self._member_table is not None
        if self._has_unapplied_entries():
            return
        view = self._member_table.plan_view(self._configuration.state.view, now)
        if view is not None:
            self._propose_view(view, now)

    def _propose_view(self, view: View, now: float) -> None:
        change_id = f"view-{view.number}-{self._replica.term}"
        names = ", ".join(member.name for member in view.members)
        _log.info("Proposing view {} with members: {}.", view.number, names or "nobody")
        command = ChangeView(change_id, self._wall_clock_ms(), view)
        self.propose(command, lambda result: None, now)

    def _has_unapplied_entries(self) -> bool:
        return self._replica.log.last_index > self._configuration.index

    def _expire_proposals(self, now: float) -> None:
        for change_id, proposal in list(self._proposals.items()):
            if now >= proposal.expires_at or self._replica.role is not Role.LEADER:
                self._complete_proposal(change_id, None)

    def _report_outcomes(self, now: float) -> None:
        """Report the known outcomes that need not wait any more."""
        known = {
            change_id: proposal
            for change_id, proposal in self._proposals.items()
            if proposal.outcome is not None
        }
        if not known:
            return
        for change_id, proposal in known.items():
            if self.may_report(proposal.expires_at - _PROPOSAL_TIMEOUT_SECONDS, now):
                self._complete_proposal(change_id, proposal.outcome)

    def _complete_proposal(
        self, change_id: str, outcome: CommandOutcome | None
    ) -> None:
        proposal = self._proposals.pop(change_id, None)
        if proposal is None:
            return
        for callback in proposal.callbacks:
            callback(ProposalResult(change_id, outcome))

    def _start_replica(
        self, state: PersistentState, now: float, started_at: float | None
    ) -> None:
        """Start a replica from the durable state."""
        self._saved_term = SaveTerm(state.term, state.voted_for, state.recovering)
        self._replica = ControlReplica(
            self._settings.name,
            self._settings.configured,
            state,
            self._settings.replica,
            self._generator,
            now,
            started_at,
            self._settings.voters,
        )
        self._quorum_log = QuorumLog(self._replica)
        if self._is_leaving:
            self._replica.leave()
        self._execute_all(self._replica.start())

    def _reopen_disk(self, now: float) -> None:
        """Start again from the disk once it takes writes again.

        The replica is ahead of the disk: it counts on writes that have failed.
        """
        if now < self._next_reopen_at:
            return
        self._next_reopen_at = now + _REOPEN_INTERVAL_SECONDS
        try:
            state = self._disk.reload()
        except StorageError as error:
            _log.debug("The control disk still fails: {}.", error)
            return
        self._failure = None
        self._start_replica(state, now, now)
        log_event(ControlDiskReopened(self._replica.term, self._replica.log.last_index))

    def _execute_all(self, effects: list[Effect]) -> None:
        """Execute effects in order; after a storage error, skip the rest of them.

        The replica never acknowledges state that is not durable. It is discarded, and
        a new one starts from the disk; see ``_reopen_disk``.
        """
        try:
            for effect in effects:
                self._execute(effect)
        except StorageError as error:
            self._failure = error
            self._member_table = None
            _log.error("Storage error; starting again from the disk: {}.", error)
            for change_id in list(self._proposals):
                self._complete_proposal(change_id, None)
            return
        self._compact_if_due()

    def _execute(self, effect: Effect) -> None:
        match effect:
            case SaveTerm():
                self._disk.save_term(effect)
                if self._saved_term.recovering and not effect.recovering:
                    log_event(ControlRecovered(effect.term, self._replica.leader))
                self._saved_term = effect
            case AppendToDisk():
                self._disk.append(effect)
            case SaveSnapshot():
                self._disk.save_snapshot(effect, self._saved_term)
            case SendToReplica():
                self._send(effect.name, effect.message)
            case ApplyEntry():
                self._apply(effect)
            case RestoreState():
                if effect.data:
                    self._configuration.restore(effect.index, effect.data)
            case ReportRefusal():
                self._quorum_log.record_refusal(effect)

    def _apply(self, effect: ApplyEntry) -> None:
        entry = effect.entry
        data = entry.data if isinstance(entry, CommandEntry) else None
        outcome = self._configuration.apply(effect.index, data)
        if data is None or not self._proposals:
            return
        change_id = decode_command(data).change_id
        proposal = self._proposals.get(change_id)
        if proposal is not None:
            proposal.outcome = outcome or self._configuration.state.outcome(change_id)

    def _compact_if_due(self) -> None:
        log = self._replica.log
        applied = self._configuration.index
        if applied == log.snapshot.index or applied != self._replica.applied_index:
            return
        is_long = applied - log.snapshot.index >= self._settings.snapshot_after_entries
        if not is_long and log.entry_bytes < self._settings.snapshot_after_bytes:
            return
        self._execute_all(self._replica.compact(self._configuration.state.to_bytes()))
