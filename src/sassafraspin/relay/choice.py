"""Choice of the instance through which a tunnel leads."""

import random
from collections.abc import Callable, Sequence

from sassafraspin.membership import Member

__all__ = ["RelayChoice"]

_AVOID_SECONDS = 2.0
_PREFER_SECONDS = 5.0


class RelayChoice:
    """Orders the other instances, those that worked lately first.

    Among those that are equally good, the ones of the same region come first: the hop
    is short. Availability zones play no part: a zone may be partitioned as a whole.

    Parameters
    ----------
    region : str
        Region of this instance.
    members : callable
        Returns the other members of the view.
    generator : random.Random
        Spreads the tunnels over instances that are equally good.
    """

    def __init__(
        self,
        region: str,
        members: Callable[[], Sequence[Member]],
        generator: random.Random,
    ) -> None:
        self._region = region
        self._members = members
        self._generator = generator
        self._worked_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def candidates(self, now: float, count: int) -> list[Member]:
        """Return up to ``count`` instances in the order to ask them."""
        members = list(self._members())
        self._generator.shuffle(members)
        members.sort(key=lambda member: self._rank(member, now))
        return members[:count]

    def record_success(self, name: str, now: float) -> None:
        """Record that an instance reaches servers."""
        self._worked_at[name] = now
        self._failed_at.pop(name, None)

    def record_failure(self, name: str, now: float) -> None:
        """Record that an instance did not answer or cannot help."""
        self._failed_at[name] = now
        self._worked_at.pop(name, None)

    def _rank(self, member: Member, now: float) -> tuple[int, bool]:
        is_far = member.region != self._region
        if now - self._failed_at.get(member.name, float("-inf")) <= _AVOID_SECONDS:
            return 2, is_far
        if now - self._worked_at.get(member.name, float("-inf")) <= _PREFER_SECONDS:
            return 0, is_far
        return 1, is_far
