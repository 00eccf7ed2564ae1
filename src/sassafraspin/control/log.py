"""In-memory replicated log: a snapshot and the entries after it."""

import math
from collections.abc import Iterable

from sassafraspin.control.messages import (
    CommandEntry,
    Entry,
    Snapshot,
    Voter,
    VotersEntry,
)

__all__ = ["EMPTY_SNAPSHOT", "ReplicatedLog", "command_bytes"]

EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


class ReplicatedLog:
    """Log entries indexed from 1; a snapshot replaces a prefix of them."""

    def __init__(
        self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: tuple[Entry, ...] = ()
    ) -> None:
        self._snapshot = snapshot
        self._entries = list(entries)
        self._entry_bytes = command_bytes(self._entries)
        self._update_voters()

    @property
    def snapshot(self) -> Snapshot:
        """Return the snapshot that precedes the entries."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self._snapshot.term

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Return the latest voters in the log, committed or not."""
        return self._voters

    @property
    def voters_index(self) -> int:
        """Return the index of the entry that set the latest voters."""
        return self._voters_index

    @property
    def bytes(self) -> int:
        """Return the bytes of the snapshot and of the commands after it."""
        return len(self._snapshot.data) + self._entry_bytes

    @property
    def entry_bytes(self) -> int:
        """Return the bytes of the commands after the snapshot."""
        return self._entry_bytes

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, ``None`` if the log lacks it."""
        if index == self._snapshot.index:
            return self._snapshot.term
        if self._snapshot.index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at ``index``."""
        return self._entries[index - self._snapshot.index - 1]

    def entries_from(
        self, index: int, limit: int | None = None, max_bytes: float = math.inf
    ) -> tuple[Entry, ...]:
        """Return the entries from an index on.

        Parameters
        ----------
        index : int
            Index of the first entry.
        limit : int or None
            Maximum number of entries.
        max_bytes : float
            Maximum bytes of their commands; the first entry may exceed it alone.

        Returns
        -------
        tuple of Entry
            The entries; empty if the log ends before ``index``.
        """
        start = index - self._snapshot.index - 1
        stop = None if limit is None else start + limit
        entries = self._entries[start:stop]
        total = 0
        for count, entry in enumerate(entries):
            total += command_bytes((entry,))
            if count > 0 and total > max_bytes:
                return tuple(entries[:count])
        return tuple(entries)

    def write(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        """Replace all entries from ``first_index`` on with ``entries``."""
        start = first_index - self._snapshot.index - 1
        self._entry_bytes -= command_bytes(self._entries[start:])
        del self._entries[start:]
        self._entries.extend(entries)
        self._entry_bytes += command_bytes(entries)
        self._update_voters()

    def merge(self, previous_index: int, entries: tuple[Entry, ...]) -> int | None:
        """Write the leader's entries, from the first one that this log lacks.

        Parameters
        ----------
        previous_index : int
            Index before the first entry; both logs agree up to it.
        entries : tuple of Entry
            The leader's entries.

        Returns
        -------
        int or None
            Index of the first entry written, ``None`` if the log had all of them.
        """
        for offset, entry in enumerate(entries):
            index = previous_index + 1 + offset
            if index <= self._snapshot.index:
                continue
            if self.term_at(index) != entry.term:
                self.write(index, entries[offset:])
                return index
        return None

    def conflict_hint(self, previous_index: int, committed: int) -> int:
        """Return the index to retry from, skipping back over a conflicting term."""
        hint = min(previous_index, self.last_index + 1)
        conflicting = self.term_at(hint)
        while hint > self._snapshot.index + 1 and (
            self.term_at(hint - 1) == conflicting
        ):
            hint -= 1
        return max(hint, committed + 1)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index with the snapshot."""
        kept = ()
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries_from(snapshot.index + 1)
        self._snapshot = snapshot
        self._entries = list(kept)
        self._entry_bytes = command_bytes(kept)
        self._update_voters()

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """Return the voters in effect at ``index``."""
        for position in range(index, self._snapshot.index, -1):
            entry = self.entry(position)
            if isinstance(entry, VotersEntry):
                return entry.voters
        return self._snapshot.voters

    def _update_voters(self) -> None:
        """Update the latest voters after the log has changed."""
        self._voters = self._snapshot.voters
        self._voters_index = self._snapshot.index
        for offset in range(len(self._entries) - 1, -1, -1):
            entry = self._entries[offset]
            if isinstance(entry, VotersEntry):
                self._voters = entry.voters
                self._voters_index = self._snapshot.index + 1 + offset
                return


def command_bytes(entries: Iterable[Entry]) -> int:
    """Return the bytes of the commands in some entries."""
    return sum(len(entry.data) for entry in entries if isinstance(entry, CommandEntry))
