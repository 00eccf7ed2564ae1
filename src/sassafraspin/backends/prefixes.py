"""Hashes of prompt prefixes and the estimated content of a server's prefix cache."""

from collections import OrderedDict

import xxhash

from sassafraspin.backends.announcement import CacheReport

__all__ = ["PREFIX_BLOCK_BYTES", "PrefixCacheView", "prefix_hashes"]

PREFIX_BLOCK_BYTES = 256
"""Block length for hashing prompt prefixes, in bytes."""

_MAX_BLOCKS = 64
_MAX_CACHED_HASHES = 20_000


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return a hash for each prefix of the prompt that ends at a block boundary."""
    hashes = []
    digest = xxhash.xxh64()
    block_count = min(len(prompt) // PREFIX_BLOCK_BYTES, _MAX_BLOCKS)
    for number in range(block_count):
        start = number * PREFIX_BLOCK_BYTES
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest() >> 1)
    return tuple(hashes)


class PrefixCacheView:
    """Estimated content of a backend server's prefix cache.

    It is based on the server's reports, which may be delayed or lost, and on the
    prompts that were sent to the server.
    """

    def __init__(self) -> None:
        self._hashes: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0

    def apply_report(self, report: CacheReport) -> None:
        """Apply a report unless it or a newer one was applied before.

        If a report with removals was lost, stale hashes remain. They cause a few wrong
        predictions, which costs less than clearing the whole view.
        """
        if report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        for value in report.removed:
            self._hashes.pop(value, None)
        self._add(report.added)

    def record_sent(self, hashes: tuple[int, ...]) -> None:
        """Add the prefixes of a prompt that was sent to the server."""
        self._add(hashes)

    def matching_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are estimated to be cached."""
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
        while len(self._hashes) > _MAX_CACHED_HASHES:
            self._hashes.popitem(last=False)
