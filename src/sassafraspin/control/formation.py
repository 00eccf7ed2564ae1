"""Bootstrap of the first quorum from control instances with empty disks."""

from sassafraspin.control.messages import Voter

__all__ = ["QuorumFormation"]


class QuorumFormation:
    """Collects the disk identities of all configured instances before bootstrap.

    Parameters
    ----------
    own : Voter
        This instance and its disk identity.
    configured : tuple of str
        Names of all control instances in the settings.
    interval : float
        Time between two ``Hello`` broadcasts, in seconds.
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

    def is_hello_due(self, now: float) -> bool:
        """Return whether a ``Hello`` broadcast is due, and schedule the next one."""
        if now < self._next_at:
            return False
        self._next_at = now + self._interval
        return True

    def record_empty_disk(self, name: str, disk_id: str) -> None:
        """Record that another instance reported an empty disk."""
        self._empty_disks[name] = disk_id

    def initial_voters(self) -> tuple[Voter, ...] | None:
        """Return the first voters once every instance has reported an empty disk."""
        if any(name not in self._empty_disks for name in self._others):
            return None
        peers = (Voter(name, disk) for name, disk in self._empty_disks.items())
        return tuple(sorted([self._own, *peers]))
