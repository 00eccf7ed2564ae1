"""Messages about the directory of backend servers between instances."""

import msgspec

from sassafraspin.backends import Announcement
from sassafraspin.settings import Address

__all__ = [
    "DirectoryListing",
    "DirectoryQuery",
    "DirectoryUpdate",
    "ServerEntry",
    "split_updates",
]

_MAX_UPDATE_BYTES = 1_000
"""Size of the servers in an update, so that it fits into a datagram."""


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """What is sent of an announcement; ``speeds`` are those of prefill and decode.

    ``cold_ms`` is how much longer the server is cold at the time of sending.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    host: str
    port: int
    availability_zone: str
    hardware: str
    versions: tuple[str, ...]
    ttl_ms: int
    slots: int
    kv_tokens: int
    speeds: tuple[float, float]
    leaving: bool
    rate_limit: float | None = None
    cold_ms: int = 0
    pace: int = 0
    overload_tolerance: float | None = None

    @classmethod
    def of(cls, announcement: Announcement) -> "ServerEntry":
        """Return the entry of an announcement."""
        return cls(
            announcement.id,
            announcement.incarnation,
            announcement.sequence,
            announcement.service,
            announcement.address.host,
            announcement.address.port,
            announcement.availability_zone,
            announcement.hardware,
            announcement.versions,
            announcement.ttl_ms,
            announcement.slots,
            announcement.kv_tokens,
            (
                announcement.prefill_tokens_per_second,
                announcement.decode_tokens_per_second,
            ),
            announcement.leaving,
            announcement.rate_limit,
            announcement.cold_ms,
            announcement.pace,
            announcement.overload_tolerance,
        )

    def to_announcement(self) -> Announcement:
        """Return the announcement, without its reports of load and cache."""
        prefill_rate, decode_rate = self.speeds
        return Announcement(
            id=self.id,
            incarnation=self.incarnation,
            service=self.service,
            address=Address(self.host, self.port),
            availability_zone=self.availability_zone,
            hardware=self.hardware,
            versions=self.versions,
            ttl_ms=self.ttl_ms,
            slots=self.slots,
            kv_tokens=self.kv_tokens,
            prefill_tokens_per_second=prefill_rate,
            decode_tokens_per_second=decode_rate,
            leaving=self.leaving,
            sequence=self.sequence,
            rate_limit=self.rate_limit,
            cold_ms=self.cold_ms,
            pace=self.pace,
            overload_tolerance=self.overload_tolerance,
        )


class DirectoryUpdate(
    msgspec.Struct, frozen=True, tag="DirectoryEntries", array_like=True
):
    """Part of a dispatcher's view of its backend servers.

    ``gone`` maps the names of removed servers to their last known incarnations.
    """

    entries: tuple[ServerEntry, ...]
    gone: dict[str, int] = {}

    @classmethod
    def of(cls, *announcements: Announcement) -> "DirectoryUpdate":
        """Return the update with some announcements."""
        return cls(tuple(map(ServerEntry.of, announcements)))


class DirectoryQuery(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks for the pages of a directory that the sender lacks.

    Parameters
    ----------
    digest : int
        Digest of the directory that is wanted.
    pages : tuple of int
        Digests of the sender's pages.
    """

    digest: int
    pages: tuple[int, ...]


class DirectoryListing(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Names of all servers in some pages; their announcements are sent as updates."""

    pages: tuple[int, ...]
    names: tuple[str, ...]


def split_updates(announcements: list[Announcement]) -> list[DirectoryUpdate]:
    """Return updates that fit into datagrams."""
    updates: list[DirectoryUpdate] = []
    entries: list[ServerEntry] = []
    size = 0
    for announcement in announcements:
        entry = ServerEntry.of(announcement)
        entry_size = len(msgspec.msgpack.encode(entry))
        if entries and size + entry_size > _MAX_UPDATE_BYTES:
            updates.append(DirectoryUpdate(tuple(entries)))
            entries, size = [], 0
        entries.append(entry)
        size += entry_size
    if entries:
        updates.append(DirectoryUpdate(tuple(entries)))
    return updates
