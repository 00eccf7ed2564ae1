"""Replication state that a control leader keeps during its term."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafraspin.control.messages import Voter
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
    """

    def __init__(
        self, own: Voter, last_index: int, timings: "ReplicaTimings", now: float
    ) -> None:
        self._own = own
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
        """Record that an entry of this term is committed."""
        self._term_committed = True

    def peers(self, voters: tuple[Voter, ...]) -> tuple[Voter, ...]:
        """Return the other voters and the learners, which all receive entries."""
        others = [voter for voter in voters if voter != self._own]
        learners = [peer for peer in self._learners.values() if peer not in voters]
        return (*others, *learners)

    def replicates_to(self, peer: Voter, voters: tuple[Voter, ...]) -> bool:
        """Return whether entries are replicated to this peer and disk."""
        return peer in voters or self._learners.get(peer.name) == peer

    def add_learner(self, peer: Voter, last_index: int, now: float) -> None:
        """Start to replicate to a peer that does not vote."""
        if self._learners.get(peer.name) != peer:
            self._learners[peer.name] = peer
            self._progress[peer] = _Progress(last_index + 1, now)

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
        self._cached_contact = None

    def heartbeat_due(self, now: float) -> bool:
        """Return whether the heartbeat interval has elapsed."""
        return now - self._last_heartbeat >= self._timings.heartbeat

    def record_heartbeat(self, now: float) -> None:
        """Record that a heartbeat is being sent."""
        self._last_heartbeat = now

    def majority_match(self, voters: tuple[Voter, ...], last_index: int) -> int:
        """Return the highest index that a majority of the voters has stored."""
        matches = [
            last_index if voter == self._own else self._progress_of(voter).match_index
            for voter in voters
        ]
        return _majority_value(matches) if matches else 0

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
        """Return the peers that are alive and have stored every committed entry."""
        alive_since = now - self._timings.election_timeout
        return {
            peer
            for peer in self.peers(voters)
            if self._progress_of(peer).contact > alive_since
            and self._progress_of(peer).match_index >= commit_index
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

    def has_lost_quorum(self, voters: tuple[Voter, ...], now: float) -> bool:
        """Return whether no majority has answered for two election timeouts."""
        contact = max(self._majority_contact(voters, now), self._since)
        return now - contact > 2 * self._timings.election_timeout

    def _majority_contact(self, voters: tuple[Voter, ...], now: float) -> float:
        """Return the latest send time that a majority of the voters has answered.

        The value is cached, because it is needed for every message.
        """
        if self._cached_contact is None or self._cached_contact[0] is not voters:
            contacts = [
                math.inf if voter == self._own else self._progress_of(voter).contact
                for voter in voters
            ]
            contact = _majority_value(contacts) if contacts else -math.inf
            self._cached_contact = voters, contact
        return min(now, self._cached_contact[1])

    def _progress_of(self, peer: Voter) -> _Progress:
        if peer not in self._progress:
            self._progress[peer] = _Progress(self._first_next_index)
        return self._progress[peer]


def _majority_value(values: list) -> float:
    """Return the highest value that a majority of the values reaches."""
    return sorted(values, reverse=True)[len(values) // 2]
