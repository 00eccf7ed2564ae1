"""Bootstrap of the control quorum: choice of its initial voters."""

from sassafraspin.control.messages import Voter

__all__ = ["QuorumBootstrap"]


class QuorumBootstrap:
    """Collects the identities of the empty disks of all configured instances.

    The initial voters are all configured instances, not only a majority of them. An
    instance whose log names no voters announces its disk with ``Hello``. Only disks
    announced as empty are collected: they have an identity, but no log entries and no
    snapshot.

    Parameters
    ----------
    own : Voter
        This instance and its disk identity.
    configured : tuple of str
        Names of all control instances in the settings.
    interval : float
        Minimum time between two rounds of ``Hello`` messages, in seconds.
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
        self._announced_disks: dict[str, str] = {}

    @property
    def others(self) -> tuple[str, ...]:
        """Return the names of the other configured instances."""
        return self._others

    def start_hello_round(self, now: float) -> bool:
        """Start a round of ``Hello`` messages if one is due, and schedule the next.

        Returns
        -------
        bool
            Whether a round was started; the caller sends its messages.
        """
        if now < self._next_at:
            return False
        self._next_at = now + self._interval
        return True

    def record_announced_disk(self, name: str, disk_id: str) -> None:
        """Record the empty disk that another instance has announced."""
        self._announced_disks[name] = disk_id

    def initial_voters(self) -> tuple[Voter, ...] | None:
        """Return the initial voters once every other instance has announced.

        Returns
        -------
        tuple of Voter or None
            All configured instances, ``None`` while an announcement is missing.
        """
        if any(name not in self._announced_disks for name in self._others):
            return None
        peers = (Voter(name, disk) for name, disk in self._announced_disks.items())
        return tuple(sorted([self._own, *peers]))
