"""What a control leader knows of the other replicas during its term."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafraspin.control.messages import Voter

if TYPE_CHECKING:
    from sassafraspin.control.replica import ReplicaTimings

__all__ = ["Leadership"]

_SNAPSHOT_INTERVAL_HEARTBEATS = 5


@dataclass
class _Progress:
    next_index: int
    match_index: int = 0
    contact: float = float("-inf")
    snapshot_sent: float = float("-inf")


class Leadership:
    """Progress of each replica, the leader lease and the quorum check.

    Parameters
    ----------
    own : Voter
        The leader.
    last_index : int
        Last index of the leader's log when the term began.
    timings : ReplicaTimings
        Time limits.
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
        self._contact: tuple[tuple[Voter, ...], float] | None = None
        self._learners: dict[str, Voter] = {}

    @property
    def term_committed(self) -> bool:
        """Return whether an entry of this term is committed."""
        return self._term_committed

    def note_term_committed(self) -> None:
        """Record that an entry of this term is committed."""
        self._term_committed = True

    def peers(self, voters: tuple[Voter, ...]) -> tuple[Voter, ...]:
        """Return every replica to send entries to."""
        others = [voter for voter in voters if voter != self._own]
        learners = [peer for peer in self._learners.values() if peer not in voters]
        return (*others, *learners)

    def knows(self, peer: Voter, voters: tuple[Voter, ...]) -> bool:
        """Return whether the peer, with this disk, is replicated to."""
        return peer in voters or self._learners.get(peer.name) == peer

    def add_learner(self, peer: Voter, last_index: int) -> None:
        """Replicate to a disk that does not vote."""
        if self._learners.get(peer.name) != peer:
            self._learners[peer.name] = peer
            self._progress[peer] = _Progress(last_index + 1)

    def next_index(self, peer: Voter) -> int:
        """Return the index of the first entry to send to a peer."""
        return self._of(peer).next_index

    def match_index(self, peer: Voter) -> int:
        """Return the last index known to be on the peer's disk."""
        return self._of(peer).match_index

    def note_sent(self, peer: Voter, next_index: int) -> None:
        """Expect that what was sent arrives; a refusal backs up again."""
        self._of(peer).next_index = next_index

    def note_match(self, peer: Voter, index: int) -> None:
        """Record what a peer has stored."""
        progress = self._of(peer)
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, index + 1)

    def back_up(self, peer: Voter, hint: int) -> None:
        """Send from an earlier index after a refusal."""
        progress = self._of(peer)
        progress.next_index = max(
            progress.match_index + 1, min(hint, progress.next_index)
        )

    def may_send_snapshot(self, peer: Voter, now: float) -> bool:
        """Return whether a snapshot is due, and note that it is sent."""
        progress = self._of(peer)
        interval = _SNAPSHOT_INTERVAL_HEARTBEATS * self._timings.heartbeat
        if now - progress.snapshot_sent < interval:
            return False
        progress.snapshot_sent = now
        return True

    def note_contact(self, peer: Voter, sent_at: float) -> None:
        """Record that a peer has answered a message sent at ``sent_at``."""
        progress = self._of(peer)
        progress.contact = max(progress.contact, sent_at)
        self._contact = None

    def heartbeat_due(self, now: float) -> bool:
        """Return whether it is time for a heartbeat."""
        return now - self._last_heartbeat >= self._timings.heartbeat

    def note_heartbeat(self, now: float) -> None:
        """Record that a heartbeat is being sent."""
        self._last_heartbeat = now

    def majority_match(self, voters: tuple[Voter, ...], last_index: int) -> int:
        """Return the highest index that a majority of the voters has stored."""
        matches = [
            last_index if voter == self._own else self._of(voter).match_index
            for voter in voters
        ]
        return _majority_value(matches) if matches else 0

    def lease_until(self, voters: tuple[Voter, ...], now: float) -> float:
        """Return the time until which no other replica can be elected."""
        contact = self._majority_contact(voters, now)
        usable = self._timings.election_timeout * (1 - self._timings.clock_drift)
        return contact + usable

    def silent_for(self, peer: Voter, now: float) -> float:
        """Return the seconds since a replica was heard of in this leadership."""
        return now - max(self._of(peer).contact, self._since)

    def has_spare(
        self, voters: tuple[Voter, ...], commit_index: int, now: float
    ) -> bool:
        """Return whether a replica that is no voter holds all that is committed."""
        return any(
            peer not in voters
            and self._of(peer).match_index >= commit_index
            and self.silent_for(peer, now) < self._timings.election_timeout
            for peer in self._learners.values()
        )

    def has_lost_quorum(self, voters: tuple[Voter, ...], now: float) -> bool:
        """Return whether a majority has been silent for two election timeouts."""
        contact = max(self._majority_contact(voters, now), self._since)
        return now - contact > 2 * self._timings.election_timeout

    def _majority_contact(self, voters: tuple[Voter, ...], now: float) -> float:
        """Return when a majority was heard; looked up for each message."""
        if self._contact is None or self._contact[0] is not voters:
            contacts = [
                math.inf if voter == self._own else self._of(voter).contact
                for voter in voters
            ]
            contact = _majority_value(contacts) if contacts else -math.inf
            self._contact = voters, contact
        return min(now, self._contact[1])

    def _of(self, peer: Voter) -> _Progress:
        if peer not in self._progress:
            self._progress[peer] = _Progress(self._first_next_index)
        return self._progress[peer]


def _majority_value(values: list) -> float:
    """Return the highest value that a majority reaches or exceeds."""
    return sorted(values, reverse=True)[len(values) // 2]
