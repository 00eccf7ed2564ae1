"""Hashes of prompt prefixes and the view of a backend server's prefix cache."""

from collections import OrderedDict

import xxhash

from sassafraspin.backends.announcement import CacheReport

__all__ = ["PREFIX_BLOCK_BYTES", "PrefixCacheView", "prefix_hashes"]

PREFIX_BLOCK_BYTES = 256
"""Length of the blocks by which prompt prefixes are hashed, in bytes."""

_MAX_BLOCKS = 64
_KEPT_HASHES = 20_000


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return a hash for each prefix of the prompt that ends at a whole block."""
    hashes = []
    digest = xxhash.xxh64()
    whole = min(len(prompt) // PREFIX_BLOCK_BYTES, _MAX_BLOCKS)
    for number in range(whole):
        start = number * PREFIX_BLOCK_BYTES
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest() >> 1)
    return tuple(hashes)


class PrefixCacheView:
    """What is believed to be in a backend server's prefix cache.

    It follows late reports with gaps, and adds what this system sent itself.
    """

    def __init__(self) -> None:
        self._hashes: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0

    def take_report(self, report: CacheReport) -> None:
        """Apply a report; older ones are passed over.

        Removals lost in a gap leave hashes that only mislead until the server
        evicts; forgetting everything would cost more.
        """
        if report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        for value in report.removed:
            self._hashes.pop(value, None)
        self._add(report.added)

    def note_sent(self, hashes: tuple[int, ...]) -> None:
        """Expect that a prompt's prefixes are cached once it has been sent."""
        self._add(hashes)

    def matching_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are believed to be cached."""
        count = 0
        for value in hashes:
            if value not in self._hashes:
                break
            count += 1
        return count

    def _add(self, hashes: tuple[int, ...]) -> None:
        for value in hashes:
            self._hashes[value] = None
            self._hashes.move_to_end(value)
        while len(self._hashes) > _KEPT_HASHES:
            self._hashes.popitem(last=False)
