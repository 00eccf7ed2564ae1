"""I/O of the control plane: replica storage, heartbeats, configuration and moves."""

import random
from collections.abc import Callable
from pathlib import Path

import msgspec

from sassafraspin.control import (
    AdvanceMove,
    ControlNode,
    ControlNodeSettings,
    MoveCoordinator,
    OutcomeKind,
    ProposalResult,
    ReplicaDisk,
    ReplicaTimings,
)
from sassafraspin.control.messages import ReplicaMessage
from sassafraspin.control.transit import LARGE_BYTES
from sassafraspin.daemon.messages import Propose, ProposeReply
from sassafraspin.daemon.node import Node, wall_clock_ms
from sassafraspin.daemon.proposals import with_timestamp
from sassafraspin.daemon.status import ControlStatus
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberTimings,
)
from sassafraspin.moves import MoveEvidence, MovePhase, RolloutSettings
from sassafraspin.settings import DaemonSettings, NamedAddress
from sassafraspin.storage import DataFolder, StorageError
from sassafraspin.telemetry import part_logger

__all__ = ["ControlService"]

_MS_PER_SECOND = 1000
_HEARTBEATS_PER_TIMEOUT = 4

_SILENT_AFTER_HEARTBEATS = 2

_REOPEN_INTERVAL_SECONDS = 0.25

_FIRST_ANNOUNCEMENTS_SECONDS = 0.5
"""Time at the start of a term in which the leader is announced with each tick."""

_log = part_logger("control")
_moves_log = part_logger("moves")


class ControlService:
    """Connects the control-plane replica to the daemon's network, disk and clock.

    Does nothing on instances without the control role. A disk failure suspends only
    the control role, until the disk takes writes again; the rest of the daemon keeps
    running.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    base_folder : Path
        Folder that a relative data folder is resolved against.
    generator : random.Random
        Source of randomized election delays.
    set_peer_address : callable
        Registers the network address of an instance.
    """

    def __init__(
        self,
        node: Node,
        base_folder: Path,
        generator: random.Random,
        set_peer_address: Callable[[NamedAddress], None],
    ) -> None:
        self._node = node
        self._base_folder = base_folder
        self._generator = generator
        self._set_peer_address = set_peer_address
        self._moves = MoveCoordinator(RolloutSettings())
        self._pushed_index: int | None = None
        self._next_announcement_at = float("-inf")
        self._storage_failure: StorageError | None = None
        self._next_open_at = float("-inf")
        self._control_node = self._make_control_node()

    def status(self) -> ControlStatus | None:
        """Return the state of the control role, ``None`` on instances without it."""
        if self._storage_failure is not None:
            failure = str(self._storage_failure)
            return ControlStatus("stopped", 0, None, 0, (), False, failure)
        if self._control_node is None:
            return None
        replica = self._control_node.replica
        failure = self._control_node.failure
        return ControlStatus(
            replica.role,
            replica.term,
            replica.leader,
            replica.commit_index,
            tuple(voter.name for voter in replica.log.voters),
            replica.is_voter,
            None if failure is None else str(failure),
        )

    @property
    def term(self) -> int:
        """Return the term of the replica, 0 without one."""
        return 0 if self._control_node is None else self._control_node.replica.term

    @property
    def log_bytes(self) -> int:
        """Return the bytes of the control log held in memory, 0 without a replica."""
        return 0 if self._control_node is None else self._control_node.replica.log.bytes

    def leads(self, now: float) -> bool:
        """Return whether this instance is the control leader and holds its lease."""
        return self._control_node is not None and self._control_node.leads(now)

    def is_in_force(self, index: int, since: float) -> bool:
        """Return whether no member may act on an older configuration any more.

        See ``ControlNode.is_in_force``; it is known on the leader alone.
        """
        if self._control_node is None:
            return False
        return self._control_node.is_in_force(index, since, self._node.now())

    def may_report(self, since: float) -> bool:
        """Return whether a committed command may be acknowledged to operators.

        See ``ControlNode.may_report``; it is known on the leader alone.
        """
        if self._control_node is None:
            return False
        return self._control_node.may_report(since, self._node.now())

    def silent_members(self, now: float) -> list[Member]:
        """Return the members that do not report to this leader, none if it is none."""
        if self._control_node is None or not self._control_node.leads(now):
            return []
        silence = _SILENT_AFTER_HEARTBEATS * self._heartbeat_seconds
        return self._control_node.silent_members(silence, now)

    @property
    def _heartbeat_seconds(self) -> float:
        return self._node.settings.control.heartbeat_interval_ms / _MS_PER_SECOND

    def lagging_members(self, index: int) -> tuple[str, ...]:
        """Return the names of the members that may act and lack a log index."""
        if self._control_node is None:
            return ()
        return tuple(self._control_node.lagging_members(index))

    def tick(self, now: float) -> None:
        """Advance timers; on the leader, push commands and drive running moves."""
        if self._storage_failure is not None and now >= self._next_open_at:
            self._control_node = self._make_control_node()
        control_node = self._control_node
        if control_node is None:
            return
        control_node.tick(now)
        if not control_node.leads(now):
            self._pushed_index = None
        else:
            self._push_committed(control_node, now)
            self._announce_leader(control_node, now)
            self._advance_moves(control_node, now)

    def leave(self) -> None:
        """Hand the place of this control instance over to a spare, if there is one."""
        if self._control_node is not None:
            self._control_node.leave()

    def on_heartbeat(
        self,
        source: MemberIdentity,
        heartbeat: MemberHeartbeat,
        now: float,
        directory: int = 0,
    ) -> None:
        """Answer a member's heartbeat.

        A leader adds the digest of its directory of backend servers.
        """
        if self._control_node is None:
            return
        if heartbeat.member is not None and source.name != self._node.name:
            self._set_peer_address(heartbeat.member.address)
        reply = self._control_node.heartbeat(source, heartbeat, now)
        if directory and reply.leader == self._node.name:
            reply = msgspec.structs.replace(reply, directory=directory)
        update = reply.update
        if update is not None and update.size >= LARGE_BYTES:
            # A stream may take seconds for an update; the lease must not wait for it.
            reply = msgspec.structs.replace(reply, update=None)
            self._node.send(source.name, self._control_node.announcement(update))
        self._node.send(source.name, reply)

    def on_propose(self, source: str, message: Propose, now: float) -> None:
        """Propose a command and reply to its sender with the outcome."""
        command = with_timestamp(message.command, wall_clock_ms())
        if self._control_node is None:
            self._node.send(source, ProposeReply(command.change_id, None))
            return
        self._control_node.propose(
            command,
            lambda end: self._node.send(
                source, ProposeReply(end.change_id, end.outcome)
            ),
            now,
        )

    def on_evidence(self, evidence: MoveEvidence) -> None:
        """Record the measurements that a dispatcher reports on a move."""
        self._moves.receive(evidence)

    def on_replica_message(
        self, source: str, message: ReplicaMessage, now: float
    ) -> None:
        """Handle a message of another control instance."""
        if self._control_node is not None:
            self._control_node.receive(source, message, now)

    def _make_control_node(self) -> ControlNode | None:
        """Open the disk; after a storage error, ``tick`` tries again."""
        settings = self._node.settings
        if not settings.has_control_role:
            return None
        assert settings.control.data_folder is not None
        try:
            folder = DataFolder(self._base_folder / settings.control.data_folder)
            disk = ReplicaDisk(folder)
        except StorageError as error:
            if self._storage_failure is None:
                _log.error("Cannot open control storage, trying again: {}.", error)
            self._storage_failure = error
            self._next_open_at = self._node.now() + _REOPEN_INTERVAL_SECONDS
            return None
        if self._storage_failure is not None:
            self._storage_failure = None
            _log.info("The control storage is open.")
        return ControlNode(
            _control_node_settings(settings),
            disk,
            self._node.configuration,
            self._node.send,
            self._generator,
            self._node.now(),
            wall_clock_ms,
            self._node.started_at,
        )

    def _push_committed(self, control_node: ControlNode, now: float) -> None:
        """Send newly committed commands to all members without waiting for heartbeats.

        A new leader does not push older commands: members that lack them ask. Pushing
        them to every member would saturate the links while members wait for
        heartbeats.
        """
        index = self._node.configuration.index
        pushed_index = index if self._pushed_index is None else self._pushed_index
        self._pushed_index = index
        if index == pushed_index:
            return
        reply: HeartbeatReply | None = None
        for member in self._node.view.members:
            if member.name == self._node.name:
                continue
            self._set_peer_address(member.address)
            update = control_node.push_update(member.identity, pushed_index, now)
            # Reused while members lack the same commands, so that it is encoded once.
            # Without an update it still announces the leader.
            if reply is None or reply.update is not update:
                reply = control_node.announcement(update)
            self._node.send(member.name, reply)

    def _announce_leader(self, control_node: ControlNode, now: float) -> None:
        """Tell the members that do not report to this leader that it leads.

        They may be asking an instance that does not know it, and would be removed from
        the view although they can be reached.
        """
        if now < self._next_announcement_at:
            return
        silent = self.silent_members(now)
        if not silent:
            return
        interval = self._heartbeat_seconds
        term_age = now - control_node.leads_since
        is_new = term_age < _FIRST_ANNOUNCEMENTS_SECONDS
        self._next_announcement_at = now + (0.0 if is_new else interval)
        announcement = control_node.announcement()
        for member in silent:
            if member.name != self._node.name:
                self._set_peer_address(member.address)
            self._node.send(member.name, announcement)

    def _advance_moves(self, control_node: ControlNode, now: float) -> None:
        def propose(command: AdvanceMove) -> None:
            if not control_node.is_proposed(command.change_id):
                control_node.propose(command, self._report_move, now)

        state = self._node.configuration.state
        self._moves.tick(state, wall_clock_ms(), propose)

    def _report_move(self, end: ProposalResult) -> None:
        """Log and count each committed step of a move."""
        outcome = end.outcome
        if outcome is None or outcome.kind is not OutcomeKind.ACCEPTED:
            return
        move = outcome.move
        assert move is not None
        name = move.spec.name
        self._node.metrics.count(f"move.{move.phase}")
        match move.phase:
            case MovePhase.DONE:
                _moves_log.info("Move {} completed: {}.", name, move.detail)
            case MovePhase.ROLLED_BACK:
                _moves_log.warning(
                    "Move {} was rolled back ({}): {}.",
                    name,
                    move.reason,
                    move.detail,
                )
            case _:
                _moves_log.info(
                    "Move {} is now in phase {}: {}.", name, move.phase, move.detail
                )


def _control_node_settings(settings: DaemonSettings) -> ControlNodeSettings:
    control = settings.control
    election_timeout = control.election_timeout_ms / _MS_PER_SECOND
    return ControlNodeSettings(
        settings.instance.name,
        tuple(address.name for address in control.instances),
        ReplicaTimings(
            election_timeout,
            election_timeout / _HEARTBEATS_PER_TIMEOUT,
            replace_after=(
                None
                if control.replace_after_ms is None
                else control.replace_after_ms / _MS_PER_SECOND
            ),
            lost_after=(
                None
                if control.lost_after_ms is None
                else control.lost_after_ms / _MS_PER_SECOND
            ),
        ),
        MemberTimings(control.member_lease_ms / _MS_PER_SECOND),
        control.snapshot_after_entries,
        control.snapshot_after_bytes,
        control.voters,
    )
