"""Directory of backend servers that each instance keeps.

Its content is summarized by digests of pages, so that instances find out what they
lack without sending it.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

import msgspec
import xxhash

from sassafraspin.backends import Announcement
from sassafraspin.dispatch.directory_messages import (
    DirectoryListing,
    DirectoryQuery,
    DirectoryUpdate,
)
from sassafraspin.settings import Address

__all__ = ["BackendDirectory", "ServerState"]

_PAGES = 64
"""Number of pages; the digests of all of them fit into a datagram."""

_PAGE_DIGEST_BITS = 32
_MS_PER_SECOND = 1000

_EXPIRY_SECONDS = 1.0
"""Shortest interval between two searches for servers that were not confirmed."""

_SPEED_CHANGE_RATIO = 1.2
"""Ratio between the current and the last published speed of a server above which it
is published again."""


class ServerState(NamedTuple):
    """An announcement with what a dispatcher has observed of the server since."""

    announcement: Announcement
    leaving: bool
    prefill_rate: float
    decode_rate: float
    rate_limit: float | None
    pace: int
    cold_ms: int
    overload_tolerance: float | None

    @classmethod
    def announced(cls, announcement: Announcement) -> "ServerState":
        """Return the state of a server that nobody has observed."""
        return cls(
            announcement,
            announcement.leaving,
            announcement.prefill_tokens_per_second,
            announcement.decode_tokens_per_second,
            announcement.rate_limit,
            announcement.pace,
            announcement.cold_ms,
            announcement.overload_tolerance,
        )

    def differs(self, known: Announcement) -> bool:
        """Return whether another incarnation, offer or clearly other speed is known."""
        own = self.announcement
        return (
            own.incarnation != known.incarnation
            or self.leaving != known.leaving
            or own.slots != known.slots
            or own.versions != known.versions
            or own.address != known.address
            or self.pace != known.pace
            or self.overload_tolerance != known.overload_tolerance
            or _has_other_limit(self.rate_limit, known.rate_limit)
            or _has_changed(self.prefill_rate, known.prefill_tokens_per_second)
            or _has_changed(self.decode_rate, known.decode_tokens_per_second)
        )

    def to_announcement(self) -> Announcement:
        """Return the announcement to publish."""
        return replace(
            self.announcement,
            prefill_tokens_per_second=self.prefill_rate,
            decode_tokens_per_second=self.decode_rate,
            leaving=self.leaving,
            rate_limit=self.rate_limit,
            pace=self.pace,
            cold_ms=self.cold_ms,
            overload_tolerance=self.overload_tolerance,
        )


def _has_other_limit(limit: float | None, known: float | None) -> bool:
    if limit is None or known is None:
        return limit is not known
    return _has_changed(limit, known)


def _has_changed(rate: float, known: float) -> bool:
    return rate > _SPEED_CHANGE_RATIO * known or known > _SPEED_CHANGE_RATIO * rate


@dataclass(frozen=True)
class _Entry:
    announcement: Announcement
    at: float
    page: int
    fingerprint: int
    cold_until: float


class BackendDirectory:
    """Backend servers as last published by the dispatchers.

    Parameters
    ----------
    retention : float
        Time without an update or a confirmation after which a server is removed, in
        seconds.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._entries: dict[str, _Entry] = {}
        self._pages = [0] * _PAGES
        self._digest: int | None = None
        self._confirmed_at = float("-inf")
        self._next_expiry_at = float("-inf")
        self._revision = 0
        self._addresses: frozenset[Address] = frozenset()
        self._addresses_revision = 0

    @property
    def addresses(self) -> frozenset[Address]:
        """Return the addresses of all servers, those that leave included."""
        if self._addresses_revision != self._revision:
            self._addresses_revision = self._revision
            self._addresses = frozenset(
                entry.announcement.address for entry in self._entries.values()
            )
        return self._addresses

    @property
    def revision(self) -> int:
        """Return a number that increases with each change of the content."""
        return self._revision

    @property
    def digest(self) -> int:
        """Return the digest of the servers that do not leave; never 0.

        It covers what identifies a server, its offer, its rate limit, the refusals that
        it tolerates, and whether it is paced or cold, not its measured speed.
        """
        if self._digest is None:
            pages = msgspec.msgpack.encode(self._pages)
            self._digest = xxhash.xxh64_intdigest(pages) >> 1 or 1
        return self._digest

    @property
    def page_digests(self) -> tuple[int, ...]:
        """Return the digests of the pages."""
        return tuple(self._pages)

    @property
    def is_empty(self) -> bool:
        """Return whether no server is known."""
        return not self._entries

    def apply(self, update: DirectoryUpdate, now: float) -> None:
        """Apply an update; announcements older than the known ones are ignored."""
        for entry in update.entries:
            self._store(entry.to_announcement(), now)
        for backend_id, incarnation in update.gone.items():
            known = self._entries.get(backend_id)
            if known is not None and known.announcement.incarnation <= incarnation:
                self._remove(backend_id)
        self._expire(now)

    def confirm(self, digest: int, now: float) -> bool:
        """Keep the servers if the digest is that of this directory.

        Returns whether it is.
        """
        if digest != self.digest:
            return False
        self._confirmed_at = now
        self._expire(now)
        return True

    def refresh(self, backend_ids: Collection[str], now: float) -> None:
        """Keep the servers of this instance's own dispatcher."""
        for backend_id in backend_ids:
            entry = self._entries.get(backend_id)
            if entry is not None:
                self._entries[backend_id] = replace(entry, at=now)
        self._expire(now)

    def find(self, backend_id: str) -> Announcement | None:
        """Return the announcement of a server, ``None`` if it is not known."""
        entry = self._entries.get(backend_id)
        return None if entry is None else entry.announcement

    def cold_ms(self, backend_id: str, now: float) -> int:
        """Return how much longer a server is cold, as published."""
        entry = self._entries.get(backend_id)
        return 0 if entry is None else _remaining_ms(entry, now)

    def incarnations(self) -> dict[str, int]:
        """Return the incarnation of each server that does not leave."""
        return {
            backend_id: entry.announcement.incarnation
            for backend_id, entry in self._entries.items()
            if not entry.announcement.leaving
        }

    def differing_pages(self, query: DirectoryQuery) -> tuple[int, ...]:
        """Return the numbers of the pages that the sender of a query lacks."""
        theirs = query.pages
        return tuple(
            number
            for number, digest in enumerate(self._pages)
            if number >= len(theirs) or theirs[number] != digest
        )

    def page_contents(
        self, pages: Collection[int], now: float
    ) -> dict[int, tuple[Announcement, ...]]:
        """Return the announcements by page, those of servers that leave included.

        A cold server is sent with the time for which it is still cold. At least 1 ms is
        sent until its dispatcher publishes the end: the digest covers whether a server
        is cold.
        """
        contents: dict[int, list[Announcement]] = {page: [] for page in pages}
        for entry in self._entries.values():
            if entry.page not in contents:
                continue
            announcement = entry.announcement
            if announcement.cold_ms:
                cold_ms = max(1, _remaining_ms(entry, now))
                announcement = replace(announcement, cold_ms=cold_ms)
            contents[entry.page].append(announcement)
        return {page: tuple(content) for page, content in contents.items()}

    def apply_listing(self, listing: DirectoryListing) -> None:
        """Remove the servers in the listed pages that the listing does not name."""
        names = set(listing.names)
        pages = set(listing.pages)
        for backend_id, entry in list(self._entries.items()):
            if entry.page in pages and backend_id not in names:
                self._remove(backend_id)

    def incarnation_of(self, backend_id: str) -> int | None:
        """Return the newest known incarnation of a server, ``None`` if not known."""
        known = self.find(backend_id)
        return None if known is None else known.incarnation

    def of_service(self, service: str) -> Iterator[Announcement]:
        """Yield the announcements of a service's servers that are not leaving."""
        for entry in self._entries.values():
            announcement = entry.announcement
            if announcement.service == service and not announcement.leaving:
                yield announcement

    def known_servers(self, service: str, now: float) -> Iterator[Announcement]:
        """Yield the same with the time for which each server is still cold."""
        for announcement in self.of_service(service):
            cold_ms = self.cold_ms(announcement.id, now)
            if cold_ms != announcement.cold_ms:
                announcement = replace(announcement, cold_ms=cold_ms)
            yield announcement

    def _store(self, announcement: Announcement, now: float) -> None:
        known = self._entries.get(announcement.id)
        if known is not None and known.announcement.order > announcement.order:
            return
        fingerprint = _fingerprint(announcement)
        page = _page_of(announcement.id) if known is None else known.page
        cold_until = now + announcement.cold_ms / _MS_PER_SECOND
        self._entries[announcement.id] = _Entry(
            announcement, now, page, fingerprint, cold_until
        )
        before = 0 if known is None else known.fingerprint
        self._change_page(page, before ^ fingerprint)
        state = ServerState.announced(announcement)
        is_cold_longer = known is not None and cold_until > max(now, known.cold_until)
        if known is None or is_cold_longer or state.differs(known.announcement):
            self._revision += 1

    def _remove(self, backend_id: str) -> None:
        entry = self._entries.pop(backend_id)
        self._change_page(entry.page, entry.fingerprint)
        self._revision += 1

    def _change_page(self, page: int, difference: int) -> None:
        if difference:
            self._pages[page] ^= difference
            self._digest = None

    def _expire(self, now: float) -> None:
        """Remove what was not confirmed for too long, once a second at most."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + _EXPIRY_SECONDS
        for backend_id, entry in list(self._entries.items()):
            kept_at = entry.at
            if not entry.announcement.leaving:
                kept_at = max(kept_at, self._confirmed_at)
            if now - kept_at > self._retention:
                self._remove(backend_id)


def _remaining_ms(entry: _Entry, now: float) -> int:
    return max(0, int((entry.cold_until - now) * _MS_PER_SECOND))


def _page_of(backend_id: str) -> int:
    return xxhash.xxh64_intdigest(backend_id.encode()) % _PAGES


def _fingerprint(announcement: Announcement) -> int:
    """Return a hash of what identifies a server and its offer, 0 if it leaves."""
    if announcement.leaving:
        return 0
    fields = (
        announcement.id,
        announcement.incarnation,
        announcement.service,
        announcement.address.host,
        announcement.address.port,
        announcement.availability_zone,
        announcement.versions,
        announcement.slots,
    )
    # Instances of older builds know no limits.
    if announcement.rate_limit is not None:
        fields += (announcement.rate_limit,)
    # A standby that missed an update must not send a cold server all it takes warm. The
    # numbers change too often to be compared.
    if announcement.pace or announcement.cold_ms:
        fields += (announcement.pace > 0, announcement.cold_ms > 0)
    if announcement.overload_tolerance is not None:
        fields += (("overload_tolerance", announcement.overload_tolerance),)
    identity = msgspec.msgpack.encode(fields)
    return xxhash.xxh64_intdigest(identity) >> (64 - _PAGE_DIGEST_BITS)
