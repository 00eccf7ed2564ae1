"""The replicated log in memory: a snapshot point and the entries after it."""

from sassafraspin.control.messages import Entry, Snapshot, Voter, VotersEntry

__all__ = ["EMPTY_SNAPSHOT", "ReplicatedLog"]

EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


class ReplicatedLog:
    """Entries numbered from 1, of which a prefix is replaced by a snapshot."""

    def __init__(
        self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: tuple[Entry, ...] = ()
    ) -> None:
        self._snapshot = snapshot
        self._entries = list(entries)
        self._find_voters()

    @property
    def snapshot(self) -> Snapshot:
        """Return the snapshot that the entries follow."""
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
        """Return the newest voters in the log, committed or not."""
        return self._voters

    @property
    def voters_index(self) -> int:
        """Return the index that the newest voters stand at."""
        return self._voters_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, ``None`` if it is not held."""
        if index == self._snapshot.index:
            return self._snapshot.term
        if self._snapshot.index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at ``index``."""
        return self._entries[index - self._snapshot.index - 1]

    def entries_from(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """Return up to ``limit`` entries from ``index`` on."""
        start = index - self._snapshot.index - 1
        stop = None if limit is None else start + limit
        return tuple(self._entries[start:stop])

    def write(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        """Replace everything from ``first_index`` on by ``entries``."""
        del self._entries[first_index - self._snapshot.index - 1 :]
        self._entries.extend(entries)
        self._find_voters()

    def merge(self, previous_index: int, entries: tuple[Entry, ...]) -> int | None:
        """Write a leader's entries from the first one that is not held yet.

        Parameters
        ----------
        previous_index : int
            Index before the first entry, at which both logs agree.
        entries : tuple of Entry
            The leader's entries.

        Returns
        -------
        int or None
            Index of the first entry written, ``None`` if all were held.
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
        """Return where a leader should try next, a whole conflicting term back."""
        hint = min(previous_index, self.last_index + 1)
        conflicting = self.term_at(hint)
        while hint > self._snapshot.index + 1 and (
            self.term_at(hint - 1) == conflicting
        ):
            hint -= 1
        return max(hint, committed + 1)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        kept = ()
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries_from(snapshot.index + 1)
        self._snapshot = snapshot
        self._entries = list(kept)
        self._find_voters()

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """Return the voters that the log names up to ``index``."""
        for position in range(index, self._snapshot.index, -1):
            entry = self.entry(position)
            if isinstance(entry, VotersEntry):
                return entry.voters
        return self._snapshot.voters

    def _find_voters(self) -> None:
        """Look the newest voters up again after the log has changed."""
        self._voters = self._snapshot.voters
        self._voters_index = self._snapshot.index
        for offset in range(len(self._entries) - 1, -1, -1):
            entry = self._entries[offset]
            if isinstance(entry, VotersEntry):
                self._voters = entry.voters
                self._voters_index = self._snapshot.index + 1 + offset
                return
