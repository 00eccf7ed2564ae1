"""Exchange of the backend directory between instances.

The leader pushes changes as far as its link allows. It says with each answer to a
heartbeat which directory is current, and a member that has another one asks a control
instance for the pages that differ.
"""

from collections.abc import Iterator

import msgspec

from sassafraspin.backends import Announcement, Backend
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.dispatch.directory_messages import (
    DirectoryListing,
    DirectoryQuery,
    DirectoryUpdate,
    split_updates,
)
from sassafraspin.dispatch.directory_publisher import DirectoryPublisher
from sassafraspin.rpc.pacing import ByteBudget

__all__ = ["DirectoryExchange"]

_PUSH_BYTES_PER_SECOND = 250_000.0
"""2 Mbit/s for pushes to all, a small part of the link of a control instance."""

_PAGE_BYTES_PER_SECOND = 1_000_000.0
_BURST_SECONDS = 0.5
_QUERY_INTERVAL_SECONDS = 0.25
_NAMES_PER_LISTING = 40


class DirectoryExchange:
    """Keeps the directory of this instance like that of the leader.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    directory : BackendDirectory
        Directory of this instance.
    settle_seconds : float
        Time within which every server announces itself to a new leader.
    """

    def __init__(
        self, node: Node, directory: BackendDirectory, settle_seconds: float
    ) -> None:
        self._node = node
        self._directory = directory
        self._settle_seconds = settle_seconds
        self._publisher = DirectoryPublisher(directory)
        self._push_budget = _budget(_PUSH_BYTES_PER_SECOND)
        self._page_budget = _budget(_PAGE_BYTES_PER_SECOND)
        self._settled_at: float | None = None
        self._next_query_at = float("-inf")
        self._queries = 0

    # Leader

    def publish(self, backends: tuple[Backend, ...], now: float) -> None:
        """Apply the changes at the dispatcher, and send them to the others.

        The control instances get all of them. Others get them as far as the budget
        allows, and ask for the rest.
        """
        if self._settled_at is None:
            is_known = not self._directory.is_empty
            self._settled_at = now if is_known else now + self._settle_seconds
        for update in self._publisher.updates(backends, now):
            for name in self._targets(update, now):
                self._node.send(name, update)

    def stop_publishing(self) -> None:
        """Follow another leader from now on."""
        self._settled_at = None
        self._publisher.stop()

    def advertised_digest(self, now: float) -> int:
        """Return the digest that members should have, 0 if this is not known yet.

        A leader that started without a directory does not know all servers at first.
        """
        if self._settled_at is None or now < self._settled_at:
            return 0
        return self._directory.digest

    def _targets(self, update: DirectoryUpdate, now: float) -> tuple[str, ...]:
        others = tuple(
            member.name
            for member in self._node.view.members
            if member.name != self._node.name
        )
        size = len(msgspec.msgpack.encode(update))
        if self._push_budget.try_spend(size * len(others), now):
            return others
        control = self._node.lease.control_names
        return tuple(name for name in control if name != self._node.name)

    # Members

    def follow(self, digest: int, now: float) -> None:
        """Compare the own directory with the leader's; ask for what differs."""
        if digest == 0 or self._directory.confirm(digest, now):
            return
        if now < self._next_query_at:
            return
        self._next_query_at = now + _QUERY_INTERVAL_SECONDS
        holder = self._next_holder()
        if holder is not None:
            query = DirectoryQuery(digest, self._directory.page_digests)
            self._node.send(holder, query)

    def _next_holder(self) -> str | None:
        """Return the control instance to ask.

        Members begin with different ones, so that the load is spread.
        """
        names = [
            name for name in self._node.lease.control_names if name != self._node.name
        ]
        if not names:
            return None
        members = [member.name for member in self._node.view.members]
        own = members.index(self._node.name) if self._node.name in members else 0
        self._queries += 1
        return names[(own + self._queries) % len(names)]

    def apply_listing(self, listing: DirectoryListing) -> None:
        """Remove the servers that are no longer listed."""
        self._directory.apply_listing(listing)

    # Control instances

    def answer(self, source: str, query: DirectoryQuery, now: float) -> None:
        """Send the pages that a member lacks, if they are known here.

        What exceeds the budget is dropped; the member asks again.
        """
        if query.digest != self._directory.digest:
            return
        for message in self._differences(query, now):
            size = len(msgspec.msgpack.encode(message))
            if not self._page_budget.try_spend(size, now):
                return
            self._node.send(source, message)

    def _differences(
        self, query: DirectoryQuery, now: float
    ) -> Iterator[DirectoryUpdate | DirectoryListing]:
        """Yield updates, each followed by the listing of its pages."""
        pages: list[int] = []
        content: list[Announcement] = []
        differing = self._directory.differing_pages(query)
        for page, announcements in self._directory.page_contents(
            differing, now
        ).items():
            pages.append(page)
            content += announcements
            if len(content) >= _NAMES_PER_LISTING:
                yield from _messages(pages, content)
                pages, content = [], []
        if pages:
            yield from _messages(pages, content)


def _messages(
    pages: list[int], content: list[Announcement]
) -> Iterator[DirectoryUpdate | DirectoryListing]:
    yield from split_updates(content)
    names = tuple(announcement.id for announcement in content)
    yield DirectoryListing(tuple(pages), names)


def _budget(bytes_per_second: float) -> ByteBudget:
    return ByteBudget(bytes_per_second, _BURST_SECONDS * bytes_per_second)
