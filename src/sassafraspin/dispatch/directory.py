"""The backend servers that a dispatcher knows, kept by every other instance too."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from sassafraspin.backends import Announcement, Backend

__all__ = ["BackendDirectory", "DirectoryFeed", "DirectoryUpdate"]

_UPDATE_SIZE = 5
"""Announcements in one update, so that it fits a datagram."""


class DirectoryUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Some of the backend servers that a dispatcher knows, as it sees them."""

    announcements: tuple[Announcement, ...]


class DirectoryFeed:
    """Decides what a dispatcher tells the other instances of its backend servers.

    What decides on new requests is told at once, everything else in each round.

    Parameters
    ----------
    interval : float
        Time between two rounds, in seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_round_at = float("-inf")
        self._told: dict[str, tuple[int, bool]] = {}

    def updates(
        self, backends: tuple[Backend, ...], now: float
    ) -> list[DirectoryUpdate]:
        """Return the updates that are due."""
        announcements = [_as_seen(backend) for backend in backends]
        if now >= self._next_round_at:
            self._next_round_at = now + self._interval
        else:
            announcements = [
                item for item in announcements if self._told.get(item.id) != _key(item)
            ]
        self._told.update((item.id, _key(item)) for item in announcements)
        return [
            DirectoryUpdate(tuple(announcements[start : start + _UPDATE_SIZE]))
            for start in range(0, len(announcements), _UPDATE_SIZE)
        ]


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


def _key(announcement: Announcement) -> tuple[int, bool]:
    return announcement.incarnation, announcement.leaving
