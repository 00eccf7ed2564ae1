"""Quorum of voters, some of which may have lost what they acknowledged."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import StrEnum

from sassafraspin.control.messages import Voter

__all__ = ["Quorum", "VoterState"]


class VoterState(StrEnum):
    """What a leader or a candidate knows of a voter."""

    PRESENT = "present"
    RECOVERING = "recovering"
    SILENT = "silent"
    DISK_LOST = "disk-lost"


@dataclass(frozen=True)
class Quorum:
    """Decides which voters together may elect, commit or hold a lease.

    A recovering voter has cut a damaged record from the end of its log, and cannot
    tell whether it had acknowledged it. Therefore a quorum is either a majority made
    of other voters, or all voters except the lost ones, recovering or not. Either
    shares a voter that has kept what it acknowledged with each earlier quorum, unless
    more disks are damaged or lost than a majority tolerates.

    Parameters
    ----------
    voters : tuple of Voter
        All voters.
    recovering : collection of Voter
        Voters that may have lost what they acknowledged.
    lost : collection of Voter
        Voters that never answer again.
    """

    voters: tuple[Voter, ...]
    recovering: Collection[Voter] = ()
    lost: Collection[Voter] = ()

    def is_reached_by(self, present: Collection[Voter]) -> bool:
        """Return whether some voters are a quorum."""
        return self.value({voter: 1.0 for voter in present}) == 1.0

    def value(self, values: Mapping[Voter, float]) -> float:
        """Return the highest value that a quorum reaches.

        Parameters
        ----------
        values : mapping of Voter to float
            Value of each voter; minus infinity for those that are missing.

        Returns
        -------
        float
            Minus infinity if no quorum has a value.
        """
        reached = {voter: values.get(voter, -math.inf) for voter in self.voters}
        reliable = [
            value for voter, value in reached.items() if voter not in self.recovering
        ]
        remaining = [
            value for voter, value in reached.items() if voter not in self.lost
        ]
        highest = -math.inf
        if len(reliable) >= self._majority:
            highest = sorted(reliable, reverse=True)[self._majority - 1]
        if len(remaining) >= self._majority:
            highest = max(highest, min(remaining))
        return highest

    @property
    def tolerated_losses(self) -> int:
        """Return how many more disks may be lost; negative without a quorum."""
        remaining = sum(voter not in self.lost for voter in self.voters)
        return remaining - self._majority

    @property
    def _majority(self) -> int:
        return len(self.voters) // 2 + 1
