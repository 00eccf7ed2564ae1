"""Replication state that a control leader keeps during its term."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafraspin.control.messages import Voter
from sassafraspin.control.quorum import Quorum, VoterState
from sassafraspin.control.transit import slow_link_seconds, transit_timeout

if TYPE_CHECKING:
    from sassafraspin.control.replica import ReplicaTimings

__all__ = ["Leadership"]

_SNAPSHOT_INTERVAL_HEARTBEATS = 5
_FIRST_RETRANSMIT_HEARTBEATS = 3
_MAX_RETRANSMIT_HEARTBEATS = 24


@dataclass
class _Progress:
    """Replication progress of one peer.

    Parameters
    ----------
    next_index : int
        Index of the first entry that was not sent yet. While probing, the index after
        the one at which the logs may match.
    since : float
        Time at which the peer became a learner, in seconds.
    match_index : int
        Last index known to be stored by the peer.
    is_probing : bool
        Whether it is still unknown where the logs match.
    contact : float
        Send time of the last message that the peer answered, in seconds.
    sent_at : float
        Time at which entries were last sent, in seconds.
    sent_bytes : int
        Bytes of these entries.
    retransmit_heartbeats : int
        Heartbeats without progress after which large entries count as lost, besides
        the time that they take on a slow link. Small ones count as lost after one.
    snapshot_sent : float
        Time at which a snapshot was last sent, in seconds.
    recovery : str
        Recovery that the peer is in, empty if it is in none; see ``Quorum``.
    recovery_since : float
        Time at which the leader learned of it, in seconds.
    recovery_index : int
        Last index of the leader's log at that time.
    is_recovered : bool
        Whether the peer was told that the recovery is complete.
    leaving_since : float
        Time since which the instance of the peer is known to shut down, in seconds;
        infinite if it does not.
    """

    next_index: int
    since: float = float("-inf")
    match_index: int = 0
    is_probing: bool = True
    contact: float = float("-inf")
    sent_at: float = float("-inf")
    sent_bytes: int = 0
    retransmit_heartbeats: int = _FIRST_RETRANSMIT_HEARTBEATS
    snapshot_sent: float = float("-inf")
    recovery: str = ""
    recovery_since: float = float("-inf")
    recovery_index: int = 0
    is_recovered: bool = False
    leaving_since: float = math.inf

    @property
    def is_sending(self) -> bool:
        return not self.is_probing and self.next_index > self.match_index + 1


class Leadership:
    """Replication progress of each peer, the leader lease and the quorum check.

    Parameters
    ----------
    own : Voter
        The leader.
    last_index : int
        Last index of the leader's log when the term started.
    timings : ReplicaTimings
        Timeouts.
    now : float
        Monotonic time in seconds.
    recovering : bool
        Whether the leader itself is recovering; see ``Quorum``.
    lost : frozenset of Voter
        Voters that counted as lost in the election.
    """

    def __init__(
        self,
        own: Voter,
        last_index: int,
        timings: "ReplicaTimings",
        now: float,
        recovering: bool = False,
        lost: frozenset[Voter] = frozenset(),
    ) -> None:
        self._own = own
        self._is_recovering = recovering
        self._lost = set(lost)
        self._first_next_index = last_index + 1
        self._timings = timings
        self._since = now
        self._last_heartbeat = float("-inf")
        self._term_committed = False
        self._progress: dict[Voter, _Progress] = {}
        self._cached_contact: tuple[tuple[Voter, ...], float] | None = None
        self._learners: dict[str, Voter] = {}

    @property
    def term_committed(self) -> bool:
        """Return whether an entry of this term is committed."""
        return self._term_committed

    def record_term_committed(self) -> None:
        """Record that an entry of this term is committed.

        That ends a recovery of the leader: the quorum that elected it and the one that
        committed the entry make up for what it may have lost.
        """
        self._term_committed = True
        self._is_recovering = False
        self._cached_contact = None

    def peers(self, voters: tuple[Voter, ...]) -> tuple[Voter, ...]:
        """Return the other voters and the learners, which all receive entries."""
        others = [voter for voter in voters if voter != self._own]
        learners = [peer for peer in self._learners.values() if peer not in voters]
        return (*others, *learners)

    def replicates_to(self, peer: Voter, voters: tuple[Voter, ...]) -> bool:
        """Return whether entries are replicated to this peer and disk."""
        return peer in voters or self._learners.get(peer.name) == peer

    def add_learner(self, peer: Voter, last_index: int, now: float) -> bool:
        """Start to replicate to a peer that does not vote; return whether it is new."""
        if self._learners.get(peer.name) == peer:
            return False
        self._learners[peer.name] = peer
        self._progress[peer] = _Progress(last_index + 1, now)
        return True

    def next_index(self, peer: Voter) -> int:
        """Return the index of the first entry to send to a peer."""
        return self._progress_of(peer).next_index

    def match_index(self, peer: Voter) -> int:
        """Return the last index known to be stored on the peer's disk."""
        return self._progress_of(peer).match_index

    def is_probing(self, peer: Voter) -> bool:
        """Return whether it is still unknown where the peer's log matches."""
        return self._progress_of(peer).is_probing

    def is_in_transit(self, peer: Voter, now: float) -> bool:
        """Return whether entries were sent that may still arrive at the peer."""
        progress = self._progress_of(peer)
        heartbeat = self._timings.heartbeat
        timeout = transit_timeout(
            progress.sent_bytes, heartbeat, progress.retransmit_heartbeats * heartbeat
        )
        return progress.is_sending and now - progress.sent_at < timeout

    def record_sent(self, peer: Voter, next_index: int, size: int, now: float) -> None:
        """Record that entries before ``next_index`` are sent, ``size`` bytes in all."""
        progress = self._progress_of(peer)
        progress.next_index = next_index
        progress.sent_bytes = size
        progress.sent_at = now

    def expire_sent(self, peer: Voter) -> None:
        """Record that entries sent to the peer are lost, if there are any."""
        progress = self._progress_of(peer)
        if progress.is_sending:
            progress.next_index = progress.match_index + 1
            progress.retransmit_heartbeats = min(
                2 * progress.retransmit_heartbeats, _MAX_RETRANSMIT_HEARTBEATS
            )

    def record_match(self, peer: Voter, index: int) -> bool:
        """Record what a peer has stored; return whether it has advanced."""
        progress = self._progress_of(peer)
        has_advanced = progress.is_probing or index > progress.match_index
        if has_advanced:
            progress.retransmit_heartbeats = _FIRST_RETRANSMIT_HEARTBEATS
        progress.match_index = max(progress.match_index, index)
        if progress.is_probing:
            progress.is_probing = False
            progress.next_index = progress.match_index + 1
        else:
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        return has_advanced

    def rewind(self, peer: Voter, hint: int) -> None:
        """Probe from an earlier index after a rejection."""
        progress = self._progress_of(peer)
        progress.is_probing = True
        progress.next_index = max(
            progress.match_index + 1, min(hint, progress.next_index)
        )

    def may_send_snapshot(self, peer: Voter, size: int, now: float) -> bool:
        """Return whether a snapshot may be sent now, and record that it is sent.

        Parameters
        ----------
        peer : Voter
            The receiver.
        size : int
            Bytes of the snapshot.
        now : float
            Monotonic time in seconds.
        """
        progress = self._progress_of(peer)
        interval = _SNAPSHOT_INTERVAL_HEARTBEATS * self._timings.heartbeat
        interval += slow_link_seconds(size)
        if now - progress.snapshot_sent < interval:
            return False
        progress.snapshot_sent = now
        return True

    def record_contact(self, peer: Voter, sent_at: float) -> None:
        """Record that a peer answered a message sent at ``sent_at``.

        An answer to a message sent before the peer became a learner is ignored.
        """
        progress = self._progress_of(peer)
        if sent_at < progress.since:
            return
        if sent_at - progress.contact > self._timings.election_timeout:
            # What was sent to a silent peer may be lost with its stream.
            progress.sent_at = float("-inf")
            progress.retransmit_heartbeats = _FIRST_RETRANSMIT_HEARTBEATS
        progress.contact = max(progress.contact, sent_at)
        self._lost.discard(peer)
        self._cached_contact = None

    def record_leaving(self, peer: Voter, is_leaving: bool, now: float) -> None:
        """Record whether the instance of a peer shuts down."""
        progress = self._progress_of(peer)
        since = min(progress.leaving_since, now)
        progress.leaving_since = since if is_leaving else math.inf

    def leaving_since(self, peer: Voter) -> float:
        """Return since when a peer is known to shut down; infinite if it does not."""
        return self._progress_of(peer).leaving_since

    def is_leaving(self, peer: Voter) -> bool:
        """Return whether the instance of a peer shuts down."""
        return self.leaving_since(peer) < math.inf

    def is_awaited(self, peer: Voter, patience: float, now: float) -> bool:
        """Return whether a peer that has not answered in this term may still do so.

        It has the time for an answer, in any case, and ``patience`` more seconds.
        """
        has_answered = self._progress_of(peer).contact > float("-inf")
        return not has_answered and now - self._since < patience + self._answer_seconds

    def is_new(self, now: float) -> bool:
        """Return whether some peers may not have reached this leader yet."""
        return now - self._since < self._answer_seconds

    def is_learning(self, peer: Voter, now: float) -> bool:
        """Return whether a learner has answered lately, or is new."""
        progress = self._progress_of(peer)
        return now - max(progress.contact, progress.since) < self._answer_seconds

    @property
    def _answer_seconds(self) -> float:
        return 2 * self._timings.election_timeout

    def has_answered_since(self, peer: Voter, since: float) -> bool:
        """Return whether a peer has answered a message sent after a time."""
        return self._progress_of(peer).contact > since

    def accept_reply(
        self, peer: Voter, recovery: str, last_index: int, now: float
    ) -> bool:
        """Record whether a peer is recovering; return whether its reply counts.

        What it had stored before it began to recover does not count any more. A reply
        that it sent before that is ignored.

        Parameters
        ----------
        peer : Voter
            The sender of the reply.
        recovery : str
            Its recovery, as in ``AppendReply``.
        last_index : int
            Last index of the leader's log.
        now : float
            Monotonic time in seconds.
        """
        progress = self._progress_of(peer)
        if recovery == progress.recovery:
            return True
        if not recovery and not progress.is_recovered:
            return False
        self._cached_contact = None
        if not recovery:
            progress.recovery = ""
            return True
        self._progress[peer] = _Progress(
            last_index + 1,
            progress.since,
            recovery=recovery,
            recovery_since=now,
            recovery_index=last_index,
        )
        return True

    def completed_recovery(
        self, peer: Voter, voters: tuple[Voter, ...], now: float
    ) -> str:
        """Return the recovery of a peer that is complete, empty if there is none.

        The peer has stored all that it may have acknowledged, and a quorum has followed
        this leader since it began to recover. So there was no later leader then, whose
        entries or votes it might have lost.
        """
        progress = self._progress_of(peer)
        is_complete = (
            progress.recovery != ""
            and progress.match_index >= progress.recovery_index
            and self._majority_contact(voters, now) >= progress.recovery_since
        )
        if not is_complete:
            return ""
        progress.is_recovered = True
        return progress.recovery

    def heartbeat_due(self, now: float) -> bool:
        """Return whether the heartbeat interval has elapsed."""
        return now - self._last_heartbeat >= self._timings.heartbeat

    def record_heartbeat(self, now: float) -> None:
        """Record that a heartbeat is being sent."""
        self._last_heartbeat = now

    def majority_match(self, voters: tuple[Voter, ...], last_index: int) -> int:
        """Return the highest index that a quorum of the voters has stored."""
        matches = {
            voter: last_index
            if voter == self._own
            else self._progress_of(voter).match_index
            for voter in voters
        }
        return int(max(0, self._quorum(voters).value(matches)))

    def lease_until(self, voters: tuple[Voter, ...], now: float) -> float:
        """Return the end of the leader lease; no other leader is elected before it."""
        contact = self._majority_contact(voters, now)
        usable = self._timings.election_timeout * (1 - self._timings.clock_drift)
        return contact + usable

    def silent_for(self, peer: Voter, now: float) -> float:
        """Return the seconds since a peer last answered, or since the term started."""
        return now - max(self._progress_of(peer).contact, self._since)

    def confirmed_peers(
        self, voters: tuple[Voter, ...], commit_index: int, now: float
    ) -> set[Voter]:
        """Return the peers that are alive and have stored every committed entry.

        A recovering peer is not among them.
        """
        alive_since = now - self._timings.election_timeout
        return {
            peer
            for peer in self.peers(voters)
            if self._progress_of(peer).contact > alive_since
            and self._progress_of(peer).match_index >= commit_index
            and not self._progress_of(peer).recovery
        }

    def is_disk_lost(self, voter: Voter) -> bool:
        """Return whether the voter's instance has answered with a newer disk.

        A learner of the same name is registered after the voter was added. If it has
        answered a message sent since, its disk is newer than the voter's. A delayed
        message of an older disk is no such answer.
        """
        learner = self._learners.get(voter.name)
        if learner is None or learner == voter:
            return False
        return self._progress_of(learner).contact > float("-inf")

    def state_of(self, voter: Voter, now: float) -> VoterState:
        """Return what is known of a voter in this term."""
        if self.is_disk_lost(voter):
            return VoterState.DISK_LOST
        is_recovering = self._is_recovering
        if voter != self._own:
            if self.silent_for(voter, now) > self._timings.election_timeout:
                return VoterState.SILENT
            is_recovering = bool(self._progress_of(voter).recovery)
        return VoterState.RECOVERING if is_recovering else VoterState.PRESENT

    def has_lost_quorum(self, voters: tuple[Voter, ...], now: float) -> bool:
        """Return whether no majority has answered for two election timeouts."""
        contact = max(self._majority_contact(voters, now), self._since)
        return now - contact > self._answer_seconds

    def _majority_contact(self, voters: tuple[Voter, ...], now: float) -> float:
        """Return the latest send time that a quorum of the voters has answered.

        The value is cached, because it is needed for every message.
        """
        if self._cached_contact is None or self._cached_contact[0] is not voters:
            contacts = {
                voter: math.inf
                if voter == self._own
                else self._progress_of(voter).contact
                for voter in voters
            }
            self._cached_contact = voters, self._quorum(voters).value(contacts)
        return min(now, self._cached_contact[1])

    def _quorum(self, voters: tuple[Voter, ...]) -> Quorum:
        recovering = {peer for peer, item in self._progress.items() if item.recovery}
        if self._is_recovering:
            recovering.add(self._own)
        lost = {voter for voter in voters if self.is_disk_lost(voter)}
        return Quorum(voters, recovering, lost | self._lost)

    def _progress_of(self, peer: Voter) -> _Progress:
        if peer not in self._progress:
            self._progress[peer] = _Progress(self._first_next_index)
        return self._progress[peer]
