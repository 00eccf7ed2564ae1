"""Index from the parts of prompts to the servers that were sent them last."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["PartIndex"]

_MAX_PARTS = 20_000
"""Parts of 10 s at 500 requests a second with four parts each, none of them shared;
some 5 MB."""

_MAX_HOLDERS = 8
"""Servers listed for one part. Others that hold a part which is used everywhere are
found among the sampled servers."""


@dataclass(slots=True)
class _Holders:
    names: tuple[str, ...]
    used_at: float


class PartIndex:
    """Servers that were sent each part last, and when.

    Entries are not removed when a server evicts a part: the estimate of that server is
    asked before it is chosen.

    Parameters
    ----------
    reuse_seconds : float
        Time after its last use within which a part is expected to be used again.
    """

    def __init__(self, reuse_seconds: float) -> None:
        self._reuse_seconds = reuse_seconds
        self._holders: OrderedDict[str, _Holders] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def record_sent(
        self, parts: tuple[tuple[str, int], ...], backend_id: str, now: float
    ) -> None:
        """Record that a prompt with these parts is sent to a server now."""
        for part, _ in parts:
            known = self._holders.get(part)
            if known is None:
                self._holders[part] = _Holders((backend_id,), now)
                continue
            known.used_at = now
            self._holders.move_to_end(part)
            if known.names[-1] != backend_id:
                others = tuple(name for name in known.names if name != backend_id)
                known.names = (*others[1 - _MAX_HOLDERS :], backend_id)
        while len(self._holders) > _MAX_PARTS:
            self._holders.popitem(last=False)

    def holders(self, parts: tuple[tuple[str, int], ...]) -> Iterator[str]:
        """Yield servers that may hold the parts: those of the last part first.

        A server may be yielded several times.
        """
        for part, _ in reversed(parts):
            known = self._holders.get(part)
            if known is not None:
                yield from reversed(known.names)

    def indexed_tokens(self, parts: tuple[tuple[str, int], ...]) -> int:
        """Return the size of the leading parts that some server may hold."""
        tokens = 0
        for part, size in parts:
            if part not in self._holders:
                break
            tokens += size
        return tokens

    def reused_tokens(self, parts: tuple[tuple[str, int], ...], now: float) -> int:
        """Return the size of the leading parts that some server was sent lately."""
        tokens = 0
        for part, size in parts:
            known = self._holders.get(part)
            if known is None or now - known.used_at > self._reuse_seconds:
                break
            tokens += size
        return tokens
