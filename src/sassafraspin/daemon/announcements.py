"""Client that forwards announcements of backend servers to their dispatcher."""

import trio

from sassafraspin.backends import Announcement
from sassafraspin.daemon.messages import LeaveConfirmed
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import LeaveUnconfirmed, NotMember
from sassafraspin.dispatch import AnnounceBackend

__all__ = ["AnnouncementClient"]

_RETRY_INTERVAL_SECONDS = 0.1

_ANSWER_SECONDS = 0.8
"""Longest wait for the dispatcher; backend servers wait a second for the answer."""


class AnnouncementClient:
    """Forwards announcements; waits until the dispatcher knows that a server leaves.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._waiting: dict[LeaveConfirmed, list[trio.Event]] = {}

    async def announce(self, announcement: Announcement) -> None:
        """Forward an announcement to the dispatcher of its service.

        Returns once the dispatcher has confirmed a leave. Any other announcement may
        be lost; the server repeats it.

        Raises
        ------
        NotMember
            If this instance does not know which instance dispatches.
        LeaveUnconfirmed
            If the dispatcher did not confirm a leave in time.
        """
        if not self._node.is_active_member():
            raise NotMember
        if not announcement.leaving:
            self._forward(announcement)
            return
        with trio.move_on_after(_ANSWER_SECONDS):
            await self._forward_until_confirmed(announcement)
            return
        raise LeaveUnconfirmed(announcement.id)

    def receive(self, confirmation: LeaveConfirmed) -> None:
        """Wake the tasks that wait for a confirmation of the dispatcher."""
        for confirmed in self._waiting.get(confirmation, ()):
            confirmed.set()

    async def _forward_until_confirmed(self, announcement: Announcement) -> None:
        confirmation = LeaveConfirmed.of(announcement)
        confirmed = trio.Event()
        waiting = self._waiting.setdefault(confirmation, [])
        waiting.append(confirmed)
        try:
            while not confirmed.is_set():
                self._forward(announcement)
                with trio.move_on_after(_RETRY_INTERVAL_SECONDS):
                    await confirmed.wait()
        finally:
            waiting.remove(confirmed)
            if not waiting:
                del self._waiting[confirmation]

    def _forward(self, announcement: Announcement) -> None:
        dispatcher = self._node.dispatcher_of(announcement.service)
        if dispatcher is not None:
            self._node.send(dispatcher, AnnounceBackend(announcement))
