"""Memory that the bodies of responses share while they are read."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

__all__ = ["BodyBudget", "BodyShare"]


class BodyShare:
    """Bytes that one body takes of a budget."""

    def __init__(self, budget: "BodyBudget") -> None:
        self._budget = budget
        self._scope = trio.CancelScope()
        self._is_evicted = False
        self._bytes = 0

    @property
    def bytes(self) -> int:
        """Return the bytes of the body that were read so far."""
        return self._bytes

    @property
    def is_evicted(self) -> bool:
        """Return whether the body has to give its memory back."""
        return self._is_evicted

    @property
    def scope(self) -> trio.CancelScope:
        """Return the scope in which the body is read; an eviction cancels it."""
        return self._scope

    def grow(self, size: int) -> None:
        """Record that ``size`` more bytes were read."""
        self._bytes += size
        self._budget.evict_excess()

    def evict(self) -> None:
        """End the reading of this body."""
        self._is_evicted = True
        self._scope.cancel()


class BodyBudget:
    """Limits the bytes of all bodies that are read as a whole at the same time.

    If they exceed the limit, the largest ones are evicted: a server that sends without
    end takes the memory from its own answers and not from those of others.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all bodies may take together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._shares: set[BodyShare] = set()

    @property
    def limit_bytes(self) -> int:
        """Return the bytes that all bodies may take together."""
        return self._limit_bytes

    @contextmanager
    def share(self) -> Iterator[BodyShare]:
        """Take part in the budget while a body is read."""
        share = BodyShare(self)
        self._shares.add(share)
        try:
            yield share
        finally:
            self._shares.discard(share)

    def evict_excess(self) -> None:
        """Evict the largest bodies until the rest keeps to the limit."""
        held = {share for share in self._shares if not share.is_evicted}
        total = sum(share.bytes for share in held)
        while total > self._limit_bytes:
            largest = max(held, key=lambda share: share.bytes)
            held.remove(largest)
            total -= largest.bytes
            largest.evict()
