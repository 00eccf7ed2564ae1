"""The backend servers that a dispatcher knows, kept by every other instance too."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from sassafraspin.backends import Announcement, Backend

__all__ = ["BackendDirectory", "DirectoryFeed", "DirectoryUpdate"]

_UPDATE_SIZE = 5
"""Announcements in one update, so that it fits a datagram."""


_GONE_ROUNDS = 3
"""Rounds in which a server that is gone is told again, for a lost update."""

_TOLD_SPEED_RATIO = 1.2
"""Change of a server's learned speed since it was told at which it is told again."""


class DirectoryUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Some of the backend servers that a dispatcher knows, as it sees them.

    ``gone`` are the incarnations of servers, by name, that it knows no longer.
    """

    announcements: tuple[Announcement, ...]
    gone: dict[str, int] = {}


class DirectoryFeed:
    """Decides what a dispatcher tells the other instances of its backend servers.

    What changed is told at once and everything in each round, so that the volume grows
    with the changes and not with the servers.

    Parameters
    ----------
    interval : float
        Time between two rounds, in seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_round_at = float("-inf")
        self._told: dict[str, Announcement] = {}
        self._gone: dict[str, _Gone] = {}

    def updates(
        self, backends: tuple[Backend, ...], now: float
    ) -> list[DirectoryUpdate]:
        """Return the updates that are due."""
        announcements = [_as_seen(backend) for backend in backends]
        gone = self._newly_gone({item.id for item in announcements})
        if now >= self._next_round_at:
            self._next_round_at = now + self._interval
            gone.update(self._gone_again())
        else:
            announcements = [
                item for item in announcements if _is_news(item, self._told)
            ]
        self._told.update((item.id, item) for item in announcements)
        updates = [
            DirectoryUpdate(tuple(announcements[start : start + _UPDATE_SIZE]))
            for start in range(0, len(announcements), _UPDATE_SIZE)
        ]
        if gone:
            updates.append(DirectoryUpdate((), gone))
        return updates

    def _newly_gone(self, known: set[str]) -> dict[str, int]:
        gone = {}
        for backend_id in self._told.keys() - known:
            gone[backend_id] = self._told.pop(backend_id).incarnation
        for backend_id, incarnation in gone.items():
            self._gone[backend_id] = _Gone(incarnation, _GONE_ROUNDS)
        return gone

    def _gone_again(self) -> dict[str, int]:
        again = {
            backend_id: item.incarnation for backend_id, item in self._gone.items()
        }
        for backend_id, item in list(self._gone.items()):
            item.rounds -= 1
            if item.rounds <= 0 or backend_id in self._told:
                del self._gone[backend_id]
        return again


@dataclass
class _Gone:
    incarnation: int
    rounds: int


@dataclass(frozen=True)
class _Entry:
    announcement: Announcement
    at: float


class BackendDirectory:
    """Backend servers as the dispatchers last told of them.

    Parameters
    ----------
    keep : float
        Time after which a server that nobody tells of is forgotten, in seconds.
    """

    def __init__(self, keep: float) -> None:
        self._keep = keep
        self._entries: dict[str, _Entry] = {}

    def take(self, update: DirectoryUpdate, now: float) -> None:
        """Take in an update; what is older than known is passed over."""
        for announcement in update.announcements:
            known = self._entries.get(announcement.id)
            if known is None or known.announcement.order <= announcement.order:
                self._entries[announcement.id] = _Entry(announcement, now)
        for backend_id, incarnation in update.gone.items():
            known = self._entries.get(backend_id)
            if known is not None and known.announcement.incarnation <= incarnation:
                del self._entries[backend_id]
        for backend_id, entry in list(self._entries.items()):
            if now - entry.at > self._keep:
                del self._entries[backend_id]

    def of_service(self, service: str) -> Iterator[Announcement]:
        """Return the servers of a service that may take new requests."""
        for entry in self._entries.values():
            announcement = entry.announcement
            if announcement.service == service and not announcement.leaving:
                yield announcement


def _as_seen(backend: Backend) -> Announcement:
    """Return the announcement with the learned speed and what was withdrawn."""
    return replace(
        backend.announcement,
        prefill_tokens_per_second=backend.speed.prefill_rate,
        decode_tokens_per_second=backend.speed.decode_rate,
        leaving=backend.announcement.leaving or backend.is_withdrawn,
    )


def _is_news(announcement: Announcement, told: dict[str, Announcement]) -> bool:
    """Return whether what decides on new requests has changed since it was told."""
    before = told.get(announcement.id)
    if before is None:
        return True
    offer = (announcement.incarnation, announcement.leaving, announcement.slots)
    if offer != (before.incarnation, before.leaving, before.slots):
        return True
    speeds = (
        (before.prefill_tokens_per_second, announcement.prefill_tokens_per_second),
        (before.decode_tokens_per_second, announcement.decode_tokens_per_second),
    )
    return any(max(pair) > _TOLD_SPEED_RATIO * min(pair) for pair in speeds)
