"""When to stand for election, and the votes that were given."""

import random
from typing import TYPE_CHECKING

from sassafraspin.control.messages import Voter

if TYPE_CHECKING:
    from sassafraspin.control.replica import ReplicaTimings

__all__ = ["Election"]

_START_SPREAD = 0.25
"""Part of the election timeout over which first elections after a start are spread;
many times a round trip, so that two replicas seldom stand at once."""


class Election:
    """Election timer, contact with the leader, and the votes of the running ballot.

    A replica that restarts has forgotten when it heard of a leader. That was before
    its process began, so it counts the beginning as contact.

    Parameters
    ----------
    own : Voter
        This replica.
    timings : ReplicaTimings
        Time limits.
    generator : random.Random
        Source of election delays.
    now : float
        Monotonic time in seconds.
    started_at : float
        Monotonic time at which this process began.
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
        self._asked_pre = False
        self._last_contact = started_at
        self._due_at = self._first_due(now)

    @property
    def asked_pre(self) -> bool:
        """Return whether the running ballot only asks who would vote."""
        return self._asked_pre

    def is_due(self, now: float) -> bool:
        """Return whether the leader has been silent for long enough."""
        return now >= self._due_at

    def _first_due(self, now: float) -> float:
        """Return when to stand first; replicas that start together are spread."""
        spread = _START_SPREAD * self._timings.election_timeout
        free_at = self._last_contact + self._timings.election_timeout
        return max(now, free_at) + spread * self._generator.random()

    def ask_again_soon(self, now: float) -> None:
        """Draw the time of the next question whether others would vote."""
        factor = 1 + self._generator.random()
        self._due_at = now + factor * self._timings.heartbeat

    def yield_to_other(self, now: float) -> None:
        """Leave time for the election of a replica that was promised a vote."""
        self._due_at = max(self._due_at, now + self._timings.heartbeat)

    def postpone(self, now: float) -> None:
        """Draw the time of the next election."""
        factor = 1 + self._generator.random()
        self._due_at = now + factor * self._timings.election_timeout

    def note_contact(self, now: float) -> None:
        """Record a message of the leader."""
        self._last_contact = now
        self.postpone(now)

    def hears_leader(self, now: float) -> bool:
        """Return whether a leader was heard of so recently that its lease holds."""
        return now - self._last_contact < self._timings.election_timeout

    def start(self, pre: bool) -> None:
        """Begin a ballot with the own vote."""
        self._asked_pre = pre
        self._votes = {self._own}

    def add_vote(self, voter: Voter) -> None:
        """Count a vote."""
        self._votes.add(voter)

    def has_majority(self, voters: tuple[Voter, ...]) -> bool:
        """Return whether a majority of the voters has voted for this replica."""
        return 2 * len(self._votes & set(voters)) > len(voters)
