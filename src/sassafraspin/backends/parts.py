"""Parts of prompts that the prefix cache of a server is estimated to hold."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["HeldParts"]

_MAX_PARTS = 512
"""Bounds the memory of the estimate: twice the parts that fit into a cache of 300,000
tokens at some 1,200 tokens each."""


@dataclass(slots=True)
class _HeldPart:
    tokens: int
    used_at: float
    grant_id: str


class HeldParts:
    """Estimated parts in a server's prefix cache.

    A part counts as held from the time at which a request with it was sent: prompts
    are prefilled in the order of arrival, so that a later request finds it. The least
    recently used parts are evicted when the cache is full. If its capacity is not
    known, parts are evicted when they have not been used for some time.
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[str, _HeldPart] = OrderedDict()
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Return the size of all held parts."""
        return self._tokens

    def __len__(self) -> int:
        return len(self._parts)

    def __contains__(self, part: str) -> bool:
        return part in self._parts

    def leading_tokens(self, parts: tuple[tuple[str, int], ...]) -> int:
        """Return the size of the longest leading run of a prompt's parts held here."""
        tokens = 0
        for part, size in parts:
            if part not in self._parts:
                break
            tokens += size
        return tokens

    def record_sent(
        self,
        parts: tuple[tuple[str, int], ...],
        grant_id: str,
        now: float,
        capacity: int,
        keep_seconds: float,
    ) -> None:
        """Add the parts of a prompt that is sent now, and evict others for them.

        Parameters
        ----------
        parts : tuple of (str, int)
            Identifiers and sizes, in the order of the prompt.
        grant_id : str
            Grant on which the prompt is sent.
        now : float
            Monotonic time in seconds.
        capacity : int
            Size of the cache in tokens, 0 if it is not known.
        keep_seconds : float
            Time for which parts are kept if the capacity is not known.
        """
        # A part is of no use without those before it, so the first is evicted last.
        for part, size in reversed(parts):
            held = self._parts.get(part)
            if held is None:
                self._parts[part] = _HeldPart(size, now, grant_id)
                self._tokens += size
            else:
                held.used_at = now
                self._parts.move_to_end(part)
        while self._parts and self._is_over(now, capacity, keep_seconds):
            _, evicted = self._parts.popitem(last=False)
            self._tokens -= evicted.tokens

    def _is_over(self, now: float, capacity: int, keep_seconds: float) -> bool:
        if len(self._parts) > _MAX_PARTS:
            return True
        if capacity:
            return self._tokens > capacity
        oldest = next(iter(self._parts.values()))
        return now - oldest.used_at > keep_seconds

    def forget_grant(self, grant_id: str, parts: tuple[tuple[str, int], ...]) -> None:
        """Remove the parts that were first sent on a grant that came to nothing."""
        for part, _ in parts:
            held = self._parts.get(part)
            if held is not None and held.grant_id == grant_id:
                del self._parts[part]
                self._tokens -= held.tokens
