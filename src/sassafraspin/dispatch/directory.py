"""Directory of backend servers, replicated from the dispatchers to each instance."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from sassafraspin.backends import Announcement, Backend

__all__ = ["BackendDirectory", "DirectoryPublisher", "DirectoryUpdate"]

_ANNOUNCEMENTS_PER_UPDATE = 5
"""Maximum number of announcements in an update, so that it fits into a datagram."""

_REMOVAL_ROUNDS = 3
"""Full rounds that repeat the removal of a server, in case an update was lost."""

_SPEED_CHANGE_RATIO = 1.2
"""Ratio between the current and the last published speed of a server above which it
is published again."""


class DirectoryUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Part of a dispatcher's view of its backend servers.

    ``gone`` maps the names of removed servers to their last known incarnations.
    """

    announcements: tuple[Announcement, ...]
    gone: dict[str, int] = {}


class DirectoryPublisher:
    """Decides which directory updates a dispatcher publishes to the other instances.

    New servers, restarts, removals, and changes of slots, speed or ``leaving`` are
    published at once and the full directory once per round, so that the traffic between
    rounds grows with the number of changes, not of servers.

    Parameters
    ----------
    interval : float
        Time between two full rounds, in seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_round_at = float("-inf")
        self._published: dict[str, Announcement] = {}
        self._gone: dict[str, _Removal] = {}

    def updates(
        self, backends: tuple[Backend, ...], now: float
    ) -> list[DirectoryUpdate]:
        """Return the updates that are due."""
        announcements = [_observed_announcement(backend) for backend in backends]
        gone = self._new_removals({item.id for item in announcements})
        if now >= self._next_round_at:
            self._next_round_at = now + self._interval
            gone.update(self._repeated_removals())
        else:
            announcements = [
                item for item in announcements if _has_changed(item, self._published)
            ]
        self._published.update((item.id, item) for item in announcements)
        updates = _split(announcements)
        if gone:
            updates.append(DirectoryUpdate((), gone))
        return updates

    def full_updates(self) -> list[DirectoryUpdate]:
        """Return everything published, for an instance that has just joined."""
        return _split(list(self._published.values()))

    def forget_published(self) -> None:
        """Publish everything again: it is not known what the others have."""
        self._next_round_at = float("-inf")
        self._published.clear()
        self._gone.clear()

    def _new_removals(self, known: set[str]) -> dict[str, int]:
        gone = {}
        for backend_id in self._published.keys() - known:
            gone[backend_id] = self._published.pop(backend_id).incarnation
        for backend_id, incarnation in gone.items():
            self._gone[backend_id] = _Removal(incarnation, _REMOVAL_ROUNDS)
        return gone

    def _repeated_removals(self) -> dict[str, int]:
        again = {
            backend_id: item.incarnation for backend_id, item in self._gone.items()
        }
        for backend_id, item in list(self._gone.items()):
            item.rounds -= 1
            if item.rounds <= 0 or backend_id in self._published:
                del self._gone[backend_id]
        return again


@dataclass
class _Removal:
    incarnation: int
    rounds: int


@dataclass(frozen=True)
class _Entry:
    announcement: Announcement
    at: float


class BackendDirectory:
    """Backend servers as last published by the dispatchers.

    Parameters
    ----------
    retention : float
        Time without an update after which a server is removed, in seconds.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._entries: dict[str, _Entry] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return a number that increases with each change of the content."""
        return self._revision

    def apply(self, update: DirectoryUpdate, now: float) -> None:
        """Apply an update; announcements older than the known ones are ignored."""
        for announcement in update.announcements:
            self._store(announcement, now)
        for backend_id, incarnation in update.gone.items():
            known = self._entries.get(backend_id)
            if known is not None and known.announcement.incarnation <= incarnation:
                self._remove(backend_id)
        for backend_id, entry in list(self._entries.items()):
            if now - entry.at > self._retention:
                self._remove(backend_id)

    def _store(self, announcement: Announcement, now: float) -> None:
        known = self._entries.get(announcement.id)
        if known is not None and known.announcement.order > announcement.order:
            return
        self._entries[announcement.id] = _Entry(announcement, now)
        if known is None or _differs(announcement, known.announcement):
            self._revision += 1

    def _remove(self, backend_id: str) -> None:
        del self._entries[backend_id]
        self._revision += 1

    def of_service(self, service: str) -> Iterator[Announcement]:
        """Yield the announcements of a service's servers that are not leaving."""
        for entry in self._entries.values():
            announcement = entry.announcement
            if announcement.service == service and not announcement.leaving:
                yield announcement


def _split(announcements: list[Announcement]) -> list[DirectoryUpdate]:
    """Return updates that fit into datagrams."""
    return [
        DirectoryUpdate(tuple(announcements[start : start + _ANNOUNCEMENTS_PER_UPDATE]))
        for start in range(0, len(announcements), _ANNOUNCEMENTS_PER_UPDATE)
    ]


def _observed_announcement(backend: Backend) -> Announcement:
    """Return the announcement with the measured speed and the withdrawal applied."""
    return replace(
        backend.announcement,
        prefill_tokens_per_second=backend.speed.prefill_rate,
        decode_tokens_per_second=backend.speed.decode_rate,
        leaving=backend.announcement.leaving or backend.is_withdrawn,
    )


def _has_changed(
    announcement: Announcement, published: dict[str, Announcement]
) -> bool:
    """Return whether a server has to be published before the next full round."""
    before = published.get(announcement.id)
    return before is None or _differs(announcement, before)


def _differs(announcement: Announcement, before: Announcement) -> bool:
    """Return whether another incarnation, offer or clearly other speed is announced."""
    offer = (announcement.incarnation, announcement.leaving, announcement.slots)
    if offer != (before.incarnation, before.leaving, before.slots):
        return True
    speeds = (
        (before.prefill_tokens_per_second, announcement.prefill_tokens_per_second),
        (before.decode_tokens_per_second, announcement.decode_tokens_per_second),
    )
    return any(max(pair) > _SPEED_CHANGE_RATIO * min(pair) for pair in speeds)
