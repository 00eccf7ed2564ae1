"""Election timer and vote counting of a control replica."""

import math
import random
from typing import TYPE_CHECKING

from sassafraspin.control.messages import Voter
from sassafraspin.control.quorum import Quorum, VoterState

if TYPE_CHECKING:
    from sassafraspin.control.replica import ReplicaTimings

__all__ = ["Election"]

_FIRST_ELECTION_JITTER = 0.25
"""Jitter of the first election after a start, as a fraction of the election timeout.

The jitter spans many round trips, so two replicas rarely become candidates at once."""


class Election:
    """Election timer, last leader contact and votes of the current election.

    A restarted replica no longer knows when it last heard from a leader. Any contact
    was before its process started, so the process start counts as the last contact.

    Parameters
    ----------
    own : Voter
        This replica.
    timings : ReplicaTimings
        Timeouts.
    generator : random.Random
        Randomizes election timeouts.
    now : float
        Monotonic time in seconds.
    started_at : float
        Monotonic time at which this process started.
    """

    def __init__(
        self,
        own: Voter,
        timings: "ReplicaTimings",
        generator: random.Random,
        now: float,
        started_at: float,
    ) -> None:
        self._own = own
        self._timings = timings
        self._generator = generator
        self._votes: set[Voter] = set()
        self._recovering: set[Voter] = set()
        self._answered_at: dict[Voter, float] = {}
        self._campaigning_since = now
        self._is_pre_vote = False
        self._last_contact = started_at
        self._election_due_at = self._first_due(now)

    @property
    def is_pre_vote(self) -> bool:
        """Return whether the current election is a pre-vote."""
        return self._is_pre_vote

    def is_due(self, now: float) -> bool:
        """Return whether the election timeout has expired."""
        return now >= self._election_due_at

    def _first_due(self, now: float) -> float:
        """Return when the first election is due, with jitter between replicas."""
        jitter = _FIRST_ELECTION_JITTER * self._timings.election_timeout
        contact_expires_at = self._last_contact + self._timings.election_timeout
        return max(now, contact_expires_at) + jitter * self._generator.random()

    def schedule_pre_vote(self, now: float) -> None:
        """Schedule the next pre-vote after one to two heartbeat intervals."""
        factor = 1 + self._generator.random()
        self._election_due_at = now + factor * self._timings.heartbeat

    def defer_to_candidate(self, now: float) -> None:
        """Delay the own election after a pre-vote was granted to another replica."""
        self._election_due_at = max(
            self._election_due_at, now + self._timings.heartbeat
        )

    def postpone(self, now: float) -> None:
        """Restart the election timer with a random timeout."""
        factor = 1 + self._generator.random()
        self._election_due_at = now + factor * self._timings.election_timeout

    def record_contact(self, now: float) -> None:
        """Record a message from the leader and restart the election timer."""
        self._last_contact = now
        self._campaigning_since = now
        self._answered_at.clear()
        self.postpone(now)

    def forget_answers(self, now: float) -> None:
        """Forget which disks have answered, because this replica leads or has led.

        Voters may have replaced their disks since, and an answer of an older disk would
        make the present one count as lost.
        """
        self._campaigning_since = now
        self._answered_at.clear()

    def has_recent_leader(self, now: float) -> bool:
        """Return whether the leader was heard from within the election timeout.

        Its lease may still hold then, so this replica must not vote for another one.
        """
        return now - self._last_contact < self._timings.election_timeout

    def start(self, pre: bool, recovering: bool) -> None:
        """Start an election or a pre-vote with a vote for this replica."""
        self._is_pre_vote = pre
        self._votes = set()
        self._recovering = set()
        self.add_vote(self._own, recovering)

    def record_answer(self, voter: Voter, now: float) -> None:
        """Record that an instance has answered with a disk, for or against."""
        self._answered_at[voter] = now

    def add_vote(self, voter: Voter, recovering: bool) -> None:
        """Count a vote for this replica."""
        self._votes.add(voter)
        if recovering:
            self._recovering.add(voter)

    def is_won(self, voters: tuple[Voter, ...], now: float) -> bool:
        """Return whether a quorum of the voters voted for this replica."""
        quorum = Quorum(voters, self._recovering, self.lost_voters(voters, now))
        return quorum.is_reached_by(self._votes)

    def lost_voters(self, voters: tuple[Voter, ...], now: float) -> frozenset[Voter]:
        """Return the voters that count as lost while there is no leader.

        Their instance has answered with another disk, or not at all for a long time.
        """
        return frozenset(
            voter
            for voter in voters
            if voter != self._own and self._is_lost(voter, now)
        )

    def state_of(self, voter: Voter, now: float) -> VoterState:
        """Return what is known of a voter while there is no leader."""
        if self._has_another_disk(voter):
            return VoterState.DISK_LOST
        if voter in self._recovering:
            return VoterState.RECOVERING
        answered_at = self._answered_at.get(voter, -math.inf)
        if voter == self._own or now - answered_at <= self._timings.election_timeout:
            return VoterState.PRESENT
        return VoterState.SILENT

    def _has_another_disk(self, voter: Voter) -> bool:
        """Return whether the voter's instance has answered with another disk."""
        answered = self._answered_at
        return any(item.name == voter.name and item != voter for item in answered)

    def _is_lost(self, voter: Voter, now: float) -> bool:
        answered = self._answered_at
        if self._has_another_disk(voter):
            return True
        if self._timings.lost_after is None:
            return False
        heard_at = max(self._campaigning_since, answered.get(voter, -math.inf))
        return now - heard_at >= self._timings.lost_after
