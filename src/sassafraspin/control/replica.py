"""Raft replica of the control log: elections, replication and membership changes.

Raft is extended with pre-vote and a leader lease. Voters are added and removed one at
a time. A voter is identified by its name and the identity of its disk.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from sassafraspin.control.bootstrap import QuorumBootstrap
from sassafraspin.control.effects import (
    AppendToDisk,
    ApplyEntry,
    Effect,
    ReportRefusal,
    RestoreState,
    SaveSnapshot,
    SaveTerm,
    SendToReplica,
    VoteRefusal,
)
from sassafraspin.control.election import Election
from sassafraspin.control.leadership import Leadership
from sassafraspin.control.log import EMPTY_SNAPSHOT, ReplicatedLog, command_bytes
from sassafraspin.control.messages import (
    AppendReply,
    AppendRequest,
    CommandEntry,
    Entry,
    Hello,
    InstallSnapshot,
    NoopEntry,
    ReplicaMessage,
    Snapshot,
    Voter,
    VoteReply,
    VoteRequest,
    VotersEntry,
    Welcome,
)
from sassafraspin.control.quorum import VoterState
from sassafraspin.control.voters import VoterPolicy

__all__ = ["ControlReplica", "PersistentState", "ReplicaTimings", "Role"]

_MAX_ENTRIES_PER_APPEND = 256
_MAX_BYTES_PER_APPEND = 256 * 1024
"""Bytes of commands in one append, unless a single command is larger."""


class Role(StrEnum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class ReplicaTimings:
    """Timeouts of a replica, in seconds.

    Parameters
    ----------
    election_timeout : float
        Time without leader contact after which an election may start. Replicas grant
        no vote until then, and the leader lease relies on that. After a leader
        contact, the actual timeout is random, between one and two times this value.
    heartbeat : float
        Interval of the leader's heartbeats.
    clock_drift : float
        Maximum relative difference between the rates of two clocks.
    replace_after : float or None
        Time without an answer after which a spare replaces a voter; ``None`` if
        only the configured instances may be voters.
    lost_after : float or None
        Time without an answer after which a voter counts as lost in an election that
        recovering voters decide, see ``Quorum``; ``None`` if it never does.
    """

    election_timeout: float = 1.0
    heartbeat: float = 0.2
    clock_drift: float = 0.05
    replace_after: float | None = None
    lost_after: float | None = None


@dataclass(frozen=True)
class PersistentState:
    """Durable state of a replica.

    Parameters
    ----------
    disk_id : str
        Identity of the disk.
    term : int
        Current term.
    voted_for : str or None
        Vote in the current term.
    snapshot : Snapshot
        State before the first entry.
    entries : tuple of Entry
        Entries after the snapshot.
    recovering : bool
        Whether the end of the log was cut, so that entries and votes may be missing
        that were acknowledged; see ``Quorum``.
    may_bootstrap : bool
        Whether the disk may bootstrap a quorum while it is empty. It may not if it
        held a log that was discarded.
    """

    disk_id: str
    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[Entry, ...] = ()
    recovering: bool = False
    may_bootstrap: bool = True


class ControlReplica:
    """Raft state machine of one replica, without I/O.

    Methods return effects. The caller executes them in order and stops the replica
    if writing durable state fails.

    Parameters
    ----------
    name : str
        Name of this instance.
    configured : tuple of str
        Names of all control instances in the settings.
    persistent_state : PersistentState
        Durable state loaded from the disk.
    timings : ReplicaTimings
        Timeouts.
    generator : random.Random
        Randomizes election timeouts.
    now : float
        Monotonic time in seconds.
    started_at : float or None
        Monotonic time at which this process started; ``now`` if unknown.
    voters : int or None
        Number of voters to keep; ``None`` for as many as are configured.
    """

    def __init__(
        self,
        name: str,
        configured: tuple[str, ...],
        persistent_state: PersistentState,
        timings: ReplicaTimings,
        generator: random.Random,
        now: float,
        started_at: float | None = None,
        voters: int | None = None,
    ) -> None:
        self._name = name
        self._configured = configured
        self._own = Voter(name, persistent_state.disk_id)
        self._timings = timings
        process_started_at = now if started_at is None else started_at
        self._election = Election(
            self._own, timings, generator, now, process_started_at
        )
        self._bootstrap = QuorumBootstrap(self._own, configured, timings.heartbeat, now)
        self._voter_policy = VoterPolicy(
            self._own, configured, voters or len(configured), timings.replace_after
        )
        self._term = persistent_state.term
        self._voted_for = persistent_state.voted_for
        self._may_bootstrap = persistent_state.may_bootstrap
        # Tells the replies of this recovery from those of earlier ones.
        self._recovery = (
            f"{generator.getrandbits(64):016x}" if persistent_state.recovering else ""
        )
        self._log = ReplicatedLog(persistent_state.snapshot, persistent_state.entries)
        self._commit_index = persistent_state.snapshot.index
        self._applied_index = persistent_state.snapshot.index
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        self._leadership: Leadership | None = None
        self._is_leaving = False
        self._effects: list[Effect] = []

    @property
    def _admits_spares(self) -> bool:
        return self._timings.replace_after is not None

    @property
    def _is_empty(self) -> bool:
        """Return whether this disk may bootstrap a quorum."""
        is_empty = not self._log.voters and self._log.last_index == 0
        return is_empty and self._may_bootstrap

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self._role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._term

    @property
    def leader(self) -> str | None:
        """Return the name of the leader, if one is known."""
        return self._leader

    def current_leader(self, now: float) -> str | None:
        """Return the leader of this term, ``None`` if it was not heard from lately."""
        return self._leader if self._has_recent_leader(now) else None

    @property
    def commit_index(self) -> int:
        """Return the index up to which entries are committed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """Return the index up to which entries were passed to the state machine."""
        return self._applied_index

    @property
    def log(self) -> ReplicatedLog:
        """Return the log."""
        return self._log

    @property
    def disk_id(self) -> str:
        """Return the identity of this replica's disk."""
        return self._own.disk_id

    @property
    def is_voter(self) -> bool:
        """Return whether this replica, with its current disk, is a voter."""
        return self._own in self._log.voters

    @property
    def is_recovering(self) -> bool:
        """Return whether this replica may have lost what it had acknowledged."""
        return self._recovery != ""

    def voter_states(self, now: float) -> dict[Voter, VoterState] | None:
        """Return what a leader or a candidate knows of each voter.

        ``None`` on a follower, which hears from the leader only.
        """
        if self._role is Role.FOLLOWER:
            return None
        known = self._leadership or self._election
        return {voter: known.state_of(voter, now) for voter in self._log.voters}

    def has_lease(self, now: float) -> bool:
        """Return whether this replica is the leader and no other leader can exist now.

        The lease requires a committed entry of the current term. While it holds,
        reads of the applied state are linearizable.
        """
        leadership = self._leadership
        if leadership is None or not leadership.term_committed:
            return False
        return now < leadership.lease_until(self._log.voters, now)

    def are_voters_settled(self, now: float) -> bool:
        """Return whether this replica leads and no change of the voters is due.

        See ``VoterPolicy.is_settled``.
        """
        leadership = self._leadership
        return leadership is not None and self._voter_policy.is_settled(
            self._log, self._commit_index, leadership, now
        )

    def leave(self) -> None:
        """Hand the place of this voter over to a spare, if there is one.

        The instance shuts down. It may not return, and the next voter may be lost as
        soon as its successor has had time to catch up.
        """
        self._is_leaving = True

    def start(self) -> list[Effect]:
        """Return the effects that restore the state machine from the snapshot."""
        snapshot = self._log.snapshot
        if snapshot.data:
            self._effects.append(RestoreState(snapshot.index, snapshot.data))
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Advance timers: announce the disk, send heartbeats or start a pre-vote."""
        if not self._log.voters:
            self._announce_disk(now)
        elif self._role is Role.LEADER:
            self._tick_leader(now)
        else:
            if not self.is_voter and not self._election.has_recent_leader(now):
                self._announce_disk(now)
            if self._election.is_due(now):
                self._start_pre_vote(now)
        return self._take_effects()

    def propose(self, data: bytes, now: float) -> tuple[int | None, list[Effect]]:
        """Append a command if this replica is the leader.

        Returns
        -------
        index : int or None
            Log index of the command; ``None`` if this replica is not the leader.
        effects : list of Effect
            Effects for the caller to execute.
        """
        if self._role is not Role.LEADER:
            return None, []
        self._append(CommandEntry(self._term, data), now)
        return self._log.last_index, self._take_effects()

    def compact(self, data: bytes) -> list[Effect]:
        """Replace the applied entries with a snapshot of the state machine."""
        index = self._applied_index
        term = self._log.term_at(index)
        assert term is not None
        snapshot = Snapshot(index, term, self._log.voters_at(index), data)
        self._log.compact(snapshot)
        entries = self._log.entries_from(index + 1)
        self._effects.append(SaveSnapshot(snapshot, entries))
        return self._take_effects()

    def receive(self, source: str, message: ReplicaMessage, now: float) -> list[Effect]:
        """Handle a message from another replica."""
        match message:
            case VoteRequest():
                self._on_vote_request(source, message, now)
            case VoteReply():
                self._on_vote_reply(source, message, now)
            case AppendRequest():
                self._on_append_request(source, message, now)
            case AppendReply():
                self._on_append_reply(source, message, now)
            case InstallSnapshot():
                self._on_snapshot(source, message, now)
            case Hello():
                self._on_hello(source, message, now)
            case Welcome():
                self._on_welcome(source, message, now)
        return self._take_effects()

    # Quorum bootstrap

    def _announce_disk(self, now: float) -> None:
        """Announce this disk to the other configured instances if a round is due."""
        if not self._bootstrap.start_hello_round(now):
            return
        self._send_hello()
        self._bootstrap_quorum(now)

    def _send_hello(self) -> None:
        for name in self._bootstrap.others:
            self._send(name, Hello(self._own.disk_id, self._is_empty))

    def _on_hello(self, source: str, message: Hello, now: float) -> None:
        if not self._voter_policy.may_learn(source):
            return
        sender = Voter(source, message.disk_id)
        if self._log.voters:
            initial = self._initial_voters_for(sender)
            self._send(source, Welcome(initial, self._leader))
            self._register_learner(sender, now)
            return
        if source in self._configured and message.is_empty:
            self._bootstrap.record_announced_disk(source, message.disk_id)
            self._bootstrap_quorum(now)

    def _initial_voters_for(self, sender: Voter) -> tuple[Voter, ...]:
        """Return the voters that the sender of a ``Hello`` may start with.

        They are the voters before the first entry, if this log still has them and the
        sender is one of them. Voters that were added later receive entries or a
        snapshot that name them.
        """
        snapshot = self._log.snapshot
        if snapshot.index == 0 and sender in snapshot.voters:
            return snapshot.voters
        return ()

    def _bootstrap_quorum(self, now: float) -> None:
        """Bootstrap the log once all configured instances have announced empty disks.

        A log with entries comes from a leader, so the quorum exists already.
        """
        if self._name not in self._configured or not self._is_empty:
            return
        voters = self._bootstrap.initial_voters()
        if voters is not None:
            self._install_initial_voters(voters, now)

    def _on_welcome(self, source: str, message: Welcome, now: float) -> None:
        leader = message.leader
        is_unknown = not self._election.has_recent_leader(now)
        if leader is not None and leader not in (source, self._name) and is_unknown:
            # A spare that leads is not among the configured instances.
            self._send(leader, Hello(self._own.disk_id, self._is_empty))
        if self._log.snapshot.index > 0 or self._log.voters:
            return
        if self._own in message.voters:
            self._install_initial_voters(message.voters, now)

    def _install_initial_voters(self, voters: tuple[Voter, ...], now: float) -> None:
        """Store the voters before the first entry; entries after them are kept."""
        snapshot = Snapshot(0, 0, voters, b"")
        self._log.compact(snapshot)
        self._effects.append(SaveSnapshot(snapshot, self._log.entries_from(1)))
        self._election.postpone(now)

    # Elections

    def _start_pre_vote(self, now: float) -> None:
        self._election.schedule_pre_vote(now)
        if not self.is_voter:
            return
        if self._admits_spares:
            # A voter that was replaced while it was down does not know that yet.
            self._send_hello()
        self._set_role(Role.CANDIDATE, now)
        self._leader = None
        self._request_votes(pre=True, term=self._term + 1, now=now)

    def _start_election(self, now: float) -> None:
        self._save_term(self._term + 1, self._name)
        self._election.postpone(now)
        self._request_votes(pre=False, term=self._term, now=now)

    def _request_votes(self, pre: bool, term: int, now: float) -> None:
        self._election.start(pre, self.is_recovering)
        request = VoteRequest(term, pre, self._log.last_index, self._log.last_term)
        for voter in self._log.voters:
            if voter != self._own:
                self._send(voter.name, request)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self._election.is_won(self._log.voters, now):
            return
        if self._election.is_pre_vote:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _on_vote_request(self, source: str, request: VoteRequest, now: float) -> None:
        if self._has_recent_leader(now):
            refusal = VoteRefusal.RECENT_LEADER
        elif request.pre:
            refusal = self._pre_vote_refusal(source, request)
            if refusal is None:
                self._election.defer_to_candidate(now)
        else:
            refusal = self._grant_vote(source, request, now)
        if refusal is not None:
            self._effects.append(ReportRefusal(source, request.term, refusal, now))
        reply = VoteReply(
            request.term,
            request.pre,
            refusal is None,
            self._own.disk_id,
            self._term,
            self.is_recovering,
        )
        self._send(source, reply)

    def _pre_vote_refusal(
        self, source: str, request: VoteRequest
    ) -> VoteRefusal | None:
        if request.term <= self._term:
            return VoteRefusal.OLDER_TERM
        if not self._is_log_up_to_date(request):
            return VoteRefusal.SHORTER_LOG
        if self._has_tie_break_priority(source, request):
            return VoteRefusal.TIE
        return None

    def _grant_vote(
        self, source: str, request: VoteRequest, now: float
    ) -> VoteRefusal | None:
        """Vote for a candidate; return the reason if the vote is refused."""
        if request.term < self._term:
            return VoteRefusal.OLDER_TERM
        if request.term > self._term:
            self._become_follower(request.term, None, now)
        if self._voted_for not in (None, source):
            return VoteRefusal.OTHER_VOTE
        if not self._is_log_up_to_date(request):
            return VoteRefusal.SHORTER_LOG
        if self._voted_for is None:
            self._save_term(self._term, source)
        self._election.postpone(now)
        return None

    def _has_recent_leader(self, now: float) -> bool:
        """Return whether a leader's lease, possibly this replica's own, may hold."""
        if self._role is Role.LEADER:
            return self.has_lease(now)
        return self._election.has_recent_leader(now)

    def _has_tie_break_priority(self, source: str, request: VoteRequest) -> bool:
        """Return whether this replica runs a pre-vote too and wins the tie.

        A tie is a request with an equal log; it is broken by name.
        """
        if self._role is not Role.CANDIDATE or not self._election.is_pre_vote:
            return False
        own = (self._log.last_term, self._log.last_index)
        is_equal = (request.last_term, request.last_index) == own
        return is_equal and self._name < source

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        own = (self._log.last_term, self._log.last_index)
        return (request.last_term, request.last_index) >= own

    def _on_vote_reply(self, source: str, reply: VoteReply, now: float) -> None:
        if reply.current_term > self._term:
            self._become_follower(reply.current_term, None, now)
            return
        if (
            self._role is not Role.CANDIDATE
            or reply.pre is not self._election.is_pre_vote
        ):
            return
        asked_term = self._term + 1 if reply.pre else self._term
        if reply.term != asked_term:
            return
        voter = Voter(source, reply.disk_id)
        self._election.record_answer(voter, now)
        if reply.granted:
            self._election.add_vote(voter, reply.recovering)
        self._count_votes(now)

    def _become_leader(self, now: float) -> None:
        lost = self._election.lost_voters(self._log.voters, now)
        self._set_role(Role.LEADER, now)
        self._leader = self._name
        self._leadership = Leadership(
            self._own,
            self._log.last_index,
            self._timings,
            now,
            self.is_recovering,
            lost,
        )
        self._append(NoopEntry(self._term), now)

    def _become_follower(self, term: int, leader: str | None, now: float) -> None:
        if term > self._term:
            self._save_term(term, None)
        self._set_role(Role.FOLLOWER, now)
        self._leader = leader

    def _set_role(self, role: Role, now: float) -> None:
        if Role.LEADER in (role, self._role):
            self._election.forget_answers(now)
        self._role = role
        self._leadership = None

    # Leader

    def _tick_leader(self, now: float) -> None:
        leadership = self._leadership
        assert leadership is not None
        if leadership.has_lost_quorum(self._log.voters, now):
            self._set_role(Role.FOLLOWER, now)
            self._leader = None
            self._election.postpone(now)
            return
        self._change_voters(leadership, now)
        if leadership.heartbeat_due(now):
            self._replicate(now)

    def _append(self, entry: Entry, now: float) -> None:
        first_index = self._log.last_index + 1
        self._log.write(first_index, (entry,))
        self._effects.append(AppendToDisk(first_index, (entry,)))
        self._advance_commit()
        self._replicate(now)

    def _replicate(self, now: float) -> None:
        leadership = self._leadership
        assert leadership is not None
        leadership.record_heartbeat(now)
        for peer in leadership.peers(self._log.voters):
            self._send_entries(peer, now)

    def _send_entries(self, peer: Voter, now: float) -> None:
        """Send a peer the next batch of entries, or the snapshot that it needs.

        It is sent a heartbeat while earlier ones are in transit, and a probe, which is
        an append without entries, while it is unknown where the logs match.
        """
        leadership = self._leadership
        assert leadership is not None
        if leadership.is_in_transit(peer, now):
            self._send_append(peer, leadership.match_index(peer), (), now)
            return
        leadership.expire_sent(peer)
        next_index = leadership.next_index(peer)
        if self._log.term_at(next_index - 1) is None:
            self._send_snapshot(peer, now)
            return
        entries: tuple[Entry, ...] = ()
        if not leadership.is_probing(peer):
            entries = self._log.entries_from(
                next_index, _MAX_ENTRIES_PER_APPEND, _MAX_BYTES_PER_APPEND
            )
            size = command_bytes(entries)
            leadership.record_sent(peer, next_index + len(entries), size, now)
        self._send_append(peer, next_index - 1, entries, now)

    def _send_snapshot(self, peer: Voter, now: float) -> None:
        """Send the snapshot, or a heartbeat while it may still be in transit."""
        leadership = self._leadership
        assert leadership is not None
        snapshot = self._log.snapshot
        if leadership.may_send_snapshot(peer, len(snapshot.data), now):
            self._send(peer.name, InstallSnapshot(self._term, snapshot, now))
        else:
            self._send_append(peer, 0, (), now)

    def _send_append(
        self, peer: Voter, previous_index: int, entries: tuple[Entry, ...], now: float
    ) -> None:
        """Send entries after an index, or a heartbeat if there are none.

        If the log no longer has the previous entry, a heartbeat refers to the start of
        the log, where all logs match.
        """
        assert self._leadership is not None
        previous_term = self._log.term_at(previous_index)
        if previous_term is None:
            previous_index, previous_term = 0, 0
        request = AppendRequest(
            self._term,
            previous_index,
            previous_term,
            entries,
            self._commit_index,
            now,
            self._leadership.completed_recovery(peer, self._log.voters, now),
        )
        self._send(peer.name, request)

    def _on_append_reply(self, source: str, reply: AppendReply, now: float) -> None:
        if reply.term > self._term:
            self._become_follower(reply.term, None, now)
            return
        leadership = self._leadership
        if leadership is None or reply.term < self._term:
            return
        peer = Voter(source, reply.disk_id)
        if not leadership.replicates_to(peer, self._log.voters):
            # A replica that hears the leader does not announce a new disk.
            self._register_learner(peer, now)
            return
        last_index = self._log.last_index
        if not leadership.accept_reply(peer, reply.recovery, last_index, now):
            return
        leadership.record_contact(peer, reply.sent_at)
        leadership.record_leaving(peer, reply.leaving, now)
        if reply.success:
            self._record_match(leadership, peer, reply.match_index, now)
        elif not leadership.is_in_transit(peer, now):
            leadership.rewind(peer, reply.match_index)
            self._send_entries(peer, now)
        if not self.are_voters_settled(now):
            self._change_voters(leadership, now)

    def _record_match(
        self, leadership: Leadership, peer: Voter, index: int, now: float
    ) -> None:
        """Record that a peer has stored the entries up to an index."""
        match_index = min(index, self._log.last_index)
        has_advanced = leadership.record_match(peer, match_index)
        self._advance_commit()
        has_more = leadership.next_index(peer) <= self._log.last_index
        if has_advanced and has_more and not leadership.is_in_transit(peer, now):
            self._send_entries(peer, now)

    def _advance_commit(self) -> None:
        # No quorum is sought for the replies to heartbeats.
        if self._commit_index >= self._log.last_index:
            return
        leadership = self._leadership
        assert leadership is not None
        index = leadership.majority_match(self._log.voters, self._log.last_index)
        if index <= self._commit_index or self._log.term_at(index) != self._term:
            return
        leadership.record_term_committed()
        self._end_recovery(self._name)
        self._advance_commit_to(index)

    def _register_learner(self, learner: Voter, now: float) -> None:
        """Replicate to an instance that is not a voter with this disk."""
        leadership = self._leadership
        if leadership is None or learner in self._log.voters:
            return
        if not self._voter_policy.may_learn(learner.name):
            return
        if leadership.add_learner(learner, self._log.last_index, now):
            self._send_entries(learner, now)

    def _change_voters(self, leadership: Leadership, now: float) -> None:
        """Add or remove one voter if the policy allows it."""
        before = self._log.voters
        voters = self._voter_policy.next_voters(
            self._log, self._commit_index, leadership, now, self._is_leaving
        )
        if voters is None:
            return
        self._append(VotersEntry(self._term, voters), now)
        for removed in set(before).difference((*voters, self._own)):
            if not leadership.is_disk_lost(removed):
                self._register_learner(removed, now)

    # Follower

    def _on_append_request(
        self, source: str, request: AppendRequest, now: float
    ) -> None:
        if not self._accept_leader(source, request.term, request.sent_at, now):
            return
        if not self._matches_previous_entry(request):
            self._reject_append(source, request)
            return
        self._store_new_entries(request)
        if request.recovered == self._recovery:
            self._end_recovery(source)
        end = request.previous_index + len(request.entries)
        self._advance_commit_to(min(request.commit_index, end))
        match_index = max(end, self._commit_index)
        self._reply_to_append(source, True, match_index, request.sent_at)

    def _matches_previous_entry(self, request: AppendRequest) -> bool:
        """Return whether the log matches the leader's before the request's entries.

        Every later leader has the entries that this replica has committed, so
        indexes before the snapshot always match.
        """
        if request.previous_index < self._log.snapshot.index:
            return True
        return self._log.term_at(request.previous_index) == request.previous_term

    def _accept_leader(
        self, source: str, term: int, sent_at: float, now: float
    ) -> bool:
        if term < self._term:
            self._reply_to_append(source, False, 0, sent_at)
            return False
        if term > self._term or self._role is not Role.FOLLOWER:
            self._become_follower(term, source, now)
        self._leader = source
        self._election.record_contact(now)
        return True

    def _reject_append(self, source: str, request: AppendRequest) -> None:
        """Reject an append and tell the leader which index to retry from."""
        hint = self._log.conflict_hint(request.previous_index, self._commit_index)
        self._reply_to_append(source, False, hint, request.sent_at)

    def _reply_to_append(
        self, leader: str, success: bool, match_index: int, sent_at: float
    ) -> None:
        reply = AppendReply(
            self._term,
            success,
            match_index,
            self._own.disk_id,
            sent_at,
            self._recovery,
            self._is_leaving,
        )
        self._send(leader, reply)

    def _end_recovery(self, leader: str) -> None:
        """End a recovery; a vote in this term that may be lost counts as the leader's.

        Nothing happens if this replica is not recovering.
        """
        if not self.is_recovering:
            return
        self._recovery = ""
        self._save_term(self._term, self._voted_for or leader)

    def _store_new_entries(self, request: AppendRequest) -> None:
        first = self._log.merge(request.previous_index, request.entries)
        if first is not None:
            written = self._log.entries_from(first)
            self._effects.append(AppendToDisk(first, written))

    def _on_snapshot(self, source: str, message: InstallSnapshot, now: float) -> None:
        if not self._accept_leader(source, message.term, message.sent_at, now):
            return
        snapshot = message.snapshot
        if snapshot.index > self._commit_index:
            self._log.compact(snapshot)
            entries = self._log.entries_from(snapshot.index + 1)
            self._effects.append(SaveSnapshot(snapshot, entries))
            self._effects.append(RestoreState(snapshot.index, snapshot.data))
            self._commit_index = snapshot.index
            self._applied_index = snapshot.index
        match_index = max(snapshot.index, self._commit_index)
        self._reply_to_append(source, True, match_index, message.sent_at)

    # Shared helpers

    def _advance_commit_to(self, index: int) -> None:
        self._commit_index = max(self._commit_index, index)
        while self._applied_index < self._commit_index:
            self._applied_index += 1
            entry = self._log.entry(self._applied_index)
            self._effects.append(ApplyEntry(self._applied_index, entry))

    def _save_term(self, term: int, voted_for: str | None) -> None:
        self._term = term
        self._voted_for = voted_for
        self._effects.append(SaveTerm(term, voted_for, self.is_recovering))

    def _send(self, name: str, message: ReplicaMessage) -> None:
        self._effects.append(SendToReplica(name, message))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
