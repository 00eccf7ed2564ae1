"""Choice of the instance that is asked to lend a slot while there is no dispatcher."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

__all__ = ["LenderChoice", "LoanCounts"]

_REFUSED_SECONDS = 0.1
"""Time for which an instance that had no unused slot is not asked again: the strictest
latency objective of callers. A slot is in use for 0.2 to 15 s, so few are missed."""

_SILENT_SECONDS = 3.0
"""Time for which an instance that did not answer is not asked again: a lease. By then
either a leader is back, or no instance may dispatch alone any more."""

_LENT_SECONDS = 0.5
"""Time for which an instance that lent a slot is asked before the others: a grant must
be used within this time, after which what was free is probably in use."""


@dataclass(frozen=True)
class LoanCounts:
    """Numbers of the requests for a loan, by outcome."""

    granted: int = 0
    refused: int = 0
    unanswered: int = 0


@dataclass
class _Lender:
    """What is known of an instance; times are monotonic, in seconds."""

    held_off_until: float = 0.0
    preferred_until: float = 0.0
    is_asked: bool = False


class LenderChoice:
    """Remembers which instances lent a slot, had none, or did not answer.

    Each instance is asked by one request at a time, so that a burst of requests spreads
    over the instances, and one that does not answer delays a single request.

    Parameters
    ----------
    generator : random.Random
        Spreads the requests over the instances.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._lenders: dict[str, _Lender] = {}
        self._granted = self._refused = self._unanswered = 0

    def choose(
        self, names: Iterable[str], excluded: Collection[str], now: float
    ) -> str | None:
        """Return the instance to ask next, ``None`` if none should be asked now.

        Parameters
        ----------
        names : iterable of str
            Members of the view. What is known of other instances is forgotten.
        excluded : collection of str
            Instances that must not be chosen.
        now : float
            Monotonic time in seconds.
        """
        known = self._lenders
        self._lenders = {name: known.get(name) or _Lender() for name in names}
        askable = [
            name
            for name, lender in self._lenders.items()
            if name not in excluded
            and not lender.is_asked
            and now >= lender.held_off_until
        ]
        if not askable:
            return None
        preferred = [
            name for name in askable if now < self._lenders[name].preferred_until
        ]
        chosen = self._generator.choice(preferred or askable)
        self._lenders[chosen].is_asked = True
        return chosen

    def record_grant(self, name: str, now: float) -> None:
        """Record that an instance lent a slot."""
        self._granted += 1
        lender = self._answered(name)
        lender.held_off_until = 0.0
        lender.preferred_until = now + _LENT_SECONDS

    def record_refusal(self, name: str, now: float) -> None:
        """Record that an instance had no unused slot."""
        self._refused += 1
        lender = self._answered(name)
        lender.held_off_until = now + _REFUSED_SECONDS
        lender.preferred_until = 0.0

    def record_silence(self, name: str, now: float) -> None:
        """Record that an instance did not answer in time."""
        self._unanswered += 1
        lender = self._answered(name)
        lender.held_off_until = now + _SILENT_SECONDS
        lender.preferred_until = 0.0

    def record_end(self, name: str) -> None:
        """Record that the request that was sent to an instance needs no answer."""
        self._answered(name)

    def take_counts(self) -> LoanCounts:
        """Return the outcomes since the previous call."""
        counts = LoanCounts(self._granted, self._refused, self._unanswered)
        self._granted = self._refused = self._unanswered = 0
        return counts

    def _answered(self, name: str) -> _Lender:
        lender = self._lenders.setdefault(name, _Lender())
        lender.is_asked = False
        return lender
