"""Backend servers that get no new requests, as agreed in the control log."""

from collections.abc import Iterable
from dataclasses import dataclass

from sassafraspin.backends.announcement import Announcement

__all__ = ["Retirement", "RetirementStore"]

_MAX_RETIREMENTS = 2_000

_END_OF_INCARNATION = 2**63 - 1
"""Sequence number that no announcement exceeds."""


@dataclass(frozen=True)
class Retirement:
    """The statement that a backend server gets no new requests.

    It covers the announcements of the server up to ``order``; one that the server
    makes later ends it.

    Parameters
    ----------
    server : str
        Name of the backend server.
    incarnation, sequence : int
        Order of the announcement with which the server said that it leaves.
    """

    server: str
    incarnation: int
    sequence: int

    @property
    def order(self) -> tuple[int, int]:
        """Return the order of the last announcement that is covered."""
        return self.incarnation, self.sequence

    def covers(self, announcement: Announcement) -> bool:
        """Return whether the announcement may not be acted on any more."""
        return (
            announcement.id == self.server
            and announcement.order <= self.order
            and not announcement.leaving
        )

    @classmethod
    def of_leaving(cls, announcement: Announcement) -> "Retirement":
        """Return the retirement of a server that says that it leaves."""
        return cls(announcement.id, announcement.incarnation, announcement.sequence)

    @classmethod
    def of_withdrawn(cls, server: str, incarnation: int) -> "Retirement":
        """Return the retirement of a server until it is started again."""
        return cls(server, incarnation, _END_OF_INCARNATION)


class RetirementStore:
    """Retirements, oldest first; beyond ``_MAX_RETIREMENTS`` the oldest is dropped.

    Parameters
    ----------
    retirements : iterable of Retirement
        Initial content, oldest first.
    last_index : int
        Log index of the last retirement.
    """

    def __init__(
        self, retirements: Iterable[Retirement] = (), last_index: int = 0
    ) -> None:
        self._retirements = {item.server: item for item in retirements}
        self._last_index = last_index

    @property
    def last_index(self) -> int:
        """Return the log index of the last retirement, 0 if there was none."""
        return self._last_index

    def all_retirements(self) -> tuple[Retirement, ...]:
        """Return the retirements, oldest first."""
        return tuple(self._retirements.values())

    def find(self, server: str) -> Retirement | None:
        """Return the last retirement of a server, ``None`` if there is none."""
        return self._retirements.get(server)

    def covers(self, announcement: Announcement) -> bool:
        """Return whether the announcement is covered by a retirement."""
        known = self._retirements.get(announcement.id)
        return known is not None and known.covers(announcement)

    def includes(self, retirement: Retirement) -> bool:
        """Return whether a retirement of the server covers at least as much."""
        known = self._retirements.get(retirement.server)
        return known is not None and known.order >= retirement.order

    def end(self, retirement: Retirement) -> bool:
        """End a retirement; return ``False`` if it is not the one of its server."""
        if self._retirements.get(retirement.server) != retirement:
            return False
        del self._retirements[retirement.server]
        return True

    def retire(self, retirement: Retirement, index: int) -> bool:
        """Record a retirement; return ``False`` if one covers at least as much."""
        if self.includes(retirement):
            return False
        self._retirements.pop(retirement.server, None)
        self._retirements[retirement.server] = retirement
        self._last_index = index
        if len(self._retirements) > _MAX_RETIREMENTS:
            del self._retirements[next(iter(self._retirements))]
        return True
