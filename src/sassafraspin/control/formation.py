"""Forming the first quorum out of control instances with empty disks."""

from sassafraspin.control.messages import Voter

__all__ = ["QuorumFormation"]


class QuorumFormation:
    """Collects the identities of empty disks until every instance is known.

    Parameters
    ----------
    own : Voter
        This instance with its disk.
    configured : tuple of str
        Names of all control instances in the settings.
    interval : float
        Time between two greetings, in seconds.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self, own: Voter, configured: tuple[str, ...], interval: float, now: float
    ) -> None:
        self._own = own
        self._others = tuple(name for name in configured if name != own.name)
        self._interval = interval
        self._next_at = now
        self._empty_disks: dict[str, str] = {}

    @property
    def others(self) -> tuple[str, ...]:
        """Return the names of the other configured instances."""
        return self._others

    def is_greeting_due(self, now: float) -> bool:
        """Return whether it is time to tell the others of this disk, and note it."""
        if now < self._next_at:
            return False
        self._next_at = now + self._interval
        return True

    def note_empty(self, name: str, disk_id: str) -> None:
        """Record that another instance's disk is empty."""
        self._empty_disks[name] = disk_id

    def first_voters(self) -> tuple[Voter, ...] | None:
        """Return the first voters once every instance has told that it is empty."""
        if any(name not in self._empty_disks for name in self._others):
            return None
        peers = (Voter(name, disk) for name, disk in self._empty_disks.items())
        return tuple(sorted([self._own, *peers]))
