"""Rule for changes of the voters: which voter the leader may add or remove next."""

import math
from collections.abc import Iterator

from sassafraspin.control.leadership import Leadership
from sassafraspin.control.log import ReplicatedLog
from sassafraspin.control.messages import Voter

__all__ = ["VoterPolicy"]


class VoterPolicy:
    """Chooses the next change of the voters by one voter.

    - A change starts once the previous one and an entry of the term are committed.
    - The new voters must be able to commit the change. Only those that have answered
      within the election timeout and have stored every committed entry are counted.
    - A voter is known to be lost if its instance has answered with another disk since.
      It is removed at once, because it can never vote again.
    - Every other voter may return with its disk, however long it is silent. It is
      removed only while there are more than ``size`` voters, so its replacement is
      added first.
    - A voter is replaced if it is silent for long, or if its instance shuts down, also
      that of the leader.
    - A learner is added if it is counted as above and stays, no voter has its name, and
      there are fewer than ``size`` voters or one of them is to be replaced.

    At each step, a majority of the voters remains if as many disks are lost as ``size``
    voters tolerate and all other voters return.

    Parameters
    ----------
    own : Voter
        The leader; it is removed only while it shuts down.
    configured : tuple of str
        Names of all control instances in the settings.
    size : int
        Number of voters to keep.
    replace_after : float or None
        Time without an answer after which a spare replaces a voter, in seconds;
        ``None`` if only the configured instances may be voters.
    """

    def __init__(
        self,
        own: Voter,
        configured: tuple[str, ...],
        size: int,
        replace_after: float | None,
    ) -> None:
        self._own = own
        self._configured = configured
        self._size = size
        self._replace_after = replace_after

    def may_learn(self, name: str) -> bool:
        """Return whether an instance may become a learner."""
        return self._replace_after is not None or name in self._configured

    def is_settled(
        self,
        log: ReplicatedLog,
        commit_index: int,
        leadership: Leadership,
        now: float,
    ) -> bool:
        """Return whether no change of the voters is under way or about to follow.

        Until then the loss of one more disk may end the quorum for good: a voter whose
        disk is lost may still be counted, and its successor is not. A new leader does
        not know that before the voters have answered, or have had time to. Always true
        if only the configured instances may be voters.

        Parameters
        ----------
        log : ReplicatedLog
            The leader's log.
        commit_index : int
            Index up to which entries are committed.
        leadership : Leadership
            What the leader knows of its peers.
        now : float
            Monotonic time in seconds.
        """
        voters = log.voters
        if self._replace_after is None:
            return True
        if log.voters_index > commit_index:
            return False
        others = [voter for voter in voters if voter != self._own]
        if any(leadership.is_disk_lost(voter) for voter in others):
            return False
        names = {voter.name for voter in voters}
        has_learner = any(
            leadership.is_learning(peer, now)
            for peer in leadership.peers(voters)
            if peer.name not in names and not leadership.is_leaving(peer)
        )
        # A learner replaces a voter that is gone for good once it has been silent.
        patience = self._replace_after if has_learner else 0.0
        if any(leadership.is_awaited(voter, patience, now) for voter in others):
            return False
        if len(voters) > self._size:
            # A replacement was added, and the voter that it replaces is removed next.
            return False
        if len(voters) == self._size:
            return True
        # Learners announce themselves to a new leader.
        return not has_learner and not leadership.is_new(now)

    def next_voters(
        self,
        log: ReplicatedLog,
        commit_index: int,
        leadership: Leadership,
        now: float,
        is_leaving: bool = False,
    ) -> tuple[Voter, ...] | None:
        """Return the voters after the next change, ``None`` if none is allowed.

        Parameters
        ----------
        log : ReplicatedLog
            The leader's log.
        commit_index : int
            Index up to which entries are committed.
        leadership : Leadership
            What the leader knows of its peers.
        now : float
            Monotonic time in seconds.
        is_leaving : bool
            Whether the leader's instance shuts down.
        """
        if not leadership.term_committed or log.voters_index > commit_index:
            return None
        confirmed = {self._own} | leadership.confirmed_peers(
            log.voters, commit_index, now
        )
        leadership.record_leaving(self._own, is_leaving, now)
        for voters in self._candidates(log.voters, confirmed, leadership, now):
            if 2 * len(confirmed.intersection(voters)) > len(voters):
                return voters
        return None

    def _candidates(
        self,
        voters: tuple[Voter, ...],
        confirmed: set[Voter],
        leadership: Leadership,
        now: float,
    ) -> Iterator[tuple[Voter, ...]]:
        others = [voter for voter in voters if voter != self._own]
        lost = [voter for voter in others if leadership.is_disk_lost(voter)]
        for voter in lost:
            yield _without(voters, voter)
        removable = [*others]
        if leadership.is_leaving(self._own) and self._own in voters:
            removable.append(self._own)
        if len(voters) > self._size and not lost:
            yield _without(voters, self._least_needed(removable, leadership, now))
        replaceable = [
            voter for voter in removable if self._is_replaceable(voter, leadership, now)
        ]
        if len(voters) < self._size + bool(replaceable):
            yield from self._enlarged(voters, replaceable, confirmed, leadership)

    def _enlarged(
        self,
        voters: tuple[Voter, ...],
        replaceable: list[Voter],
        confirmed: set[Voter],
        leadership: Leadership,
    ) -> Iterator[tuple[Voter, ...]]:
        """Yield the voters with each learner that may be added.

        A learner that replaces a voter which shuts down has answered since that is
        known. Otherwise its disk may have been lost, with that of another voter.
        """
        names = {voter.name for voter in voters}
        left_at = [leadership.leaving_since(voter) for voter in replaceable]
        known_at = max((time for time in left_at if time < math.inf), default=-math.inf)
        for learner in sorted(confirmed.difference(voters)):
            if learner.name in names or leadership.is_leaving(learner):
                continue
            if leadership.has_answered_since(learner, known_at):
                yield tuple(sorted((*voters, learner)))

    def _is_replaceable(self, voter: Voter, leadership: Leadership, now: float) -> bool:
        """Return whether another instance may take the place of a voter."""
        if leadership.is_leaving(voter):
            return True
        if self._replace_after is None:
            return voter.name not in self._configured
        return leadership.silent_for(voter, now) >= self._replace_after

    def _least_needed(
        self, others: list[Voter], leadership: Leadership, now: float
    ) -> Voter:
        """Return a replaceable voter, the one silent longest, else one that leaves."""

        def rank(voter: Voter) -> tuple[bool, float]:
            is_replaceable = self._is_replaceable(voter, leadership, now)
            if voter == self._own:
                return is_replaceable, 0.0
            return is_replaceable, leadership.silent_for(voter, now)

        return max(others, key=rank)


def _without(voters: tuple[Voter, ...], removed: Voter) -> tuple[Voter, ...]:
    return tuple(voter for voter in voters if voter != removed)
