"""Dispatcher side of announcements: retires the backend servers that leave."""

from sassafraspin.backends import Announcement, Retirement
from sassafraspin.control import RetireServer
from sassafraspin.daemon.dispatch_service import DispatchService
from sassafraspin.daemon.messages import LeaveConfirmed, Propose
from sassafraspin.daemon.node import Node

__all__ = ["AnnouncementReceiver", "LeaveTracker"]


class LeaveTracker:
    """Remembers with which announcement a server began to leave.

    Parameters
    ----------
    dispatch : DispatchService
        Pools of the services that this instance dispatches for.
    """

    def __init__(self, dispatch: DispatchService) -> None:
        self._dispatch = dispatch
        self._leaving: dict[str, Retirement] = {}

    def retirement_of(
        self, announcement: Announcement, before: Announcement | None
    ) -> Retirement:
        """Return the retirement of a server that leaves.

        While the server repeats that it leaves, its first announcement of that counts,
        so that it is retired once.

        Parameters
        ----------
        announcement : Announcement
            Announcement of a server that leaves.
        before : Announcement or None
            The announcement before it, if the server was known.
        """
        known = self._leaving.get(announcement.id)
        is_repeated = (
            known is not None
            and before is not None
            and before.leaving
            and known.incarnation == before.incarnation == announcement.incarnation
        )
        if is_repeated:
            return known
        self._forget_gone()
        retirement = Retirement.of_leaving(announcement)
        self._leaving[announcement.id] = retirement
        return retirement

    def _forget_gone(self) -> None:
        """Forget the servers that no pool knows any more."""
        known = {backend.announcement.id for backend in self._dispatch.backends()}
        self._leaving = {
            server: retirement
            for server, retirement in self._leaving.items()
            if server in known
        }


class AnnouncementReceiver:
    """Applies forwarded announcements; confirms a leave once it is in the control log.

    The next dispatcher is placed by a later log entry, so it knows of the retirement
    from its start.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    dispatch : DispatchService
        Pools of the services that this instance dispatches for.
    """

    def __init__(self, node: Node, dispatch: DispatchService) -> None:
        self._node = node
        self._dispatch = dispatch
        self._leaves = LeaveTracker(dispatch)

    def receive(self, source: str, announcement: Announcement) -> None:
        """Apply an announcement that an instance forwards.

        The sender repeats a leave until it is confirmed.
        """
        retirements = self._node.configuration.state.retirements
        if retirements.covers(announcement):
            return
        before = self._dispatch.announcement_of(announcement.id)
        if not self._dispatch.announce(announcement) or not announcement.leaving:
            return
        retirement = self._leaves.retirement_of(announcement, before)
        if retirements.includes(retirement):
            self._node.send(source, LeaveConfirmed.of(announcement))
        else:
            self._propose(retirement)

    def _propose(self, retirement: Retirement) -> None:
        leader = self._node.lease.leader
        if leader is None:
            return
        incarnation, sequence = retirement.order
        change_id = f"retire-{retirement.server}-{incarnation}-{sequence}"
        self._node.send(leader, Propose(RetireServer(change_id, 0, retirement)))
