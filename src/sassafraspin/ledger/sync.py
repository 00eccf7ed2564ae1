"""Progress of copying records after a view change."""

from dataclasses import dataclass, field

__all__ = ["SyncProgress"]


@dataclass
class _Parts:
    received: set[int] = field(default_factory=set)
    count: int | None = None

    @property
    def is_whole(self) -> bool:
        return self.count is not None and len(self.received) == self.count


class SyncProgress:
    """Which members have sent all their records for one view.

    A repeated request starts another attempt, whose parts are counted apart: what a
    member holds may have changed in between.

    Parameters
    ----------
    view_number : int
        The view.
    members : frozenset of str
        Names of the members to hear from.
    """

    def __init__(self, view_number: int, members: frozenset[str]) -> None:
        self._view_number = view_number
        self._missing = set(members)
        self._parts: dict[tuple[str, int], _Parts] = {}
        self._attempt = 0

    @property
    def view_number(self) -> int:
        """Return the number of the view."""
        return self._view_number

    @property
    def attempt(self) -> int:
        """Return the number of the newest attempt."""
        return self._attempt

    @property
    def missing(self) -> frozenset[str]:
        """Return the members that have not sent everything."""
        return frozenset(self._missing)

    @property
    def is_done(self) -> bool:
        """Return whether every member has sent everything."""
        return not self._missing

    def start_attempt(self) -> int:
        """Begin another attempt and return its number."""
        self._attempt += 1
        return self._attempt

    def note_part(self, name: str, attempt: int, part: int, last: bool) -> None:
        """Record that a part has arrived."""
        if name not in self._missing:
            return
        parts = self._parts.setdefault((name, attempt), _Parts())
        parts.received.add(part)
        if last:
            parts.count = part + 1
        if parts.is_whole:
            self._missing.discard(name)
