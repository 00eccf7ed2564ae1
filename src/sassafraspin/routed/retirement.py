"""Retirement of backend servers: no instance sends them new requests."""

import uuid
from dataclasses import dataclass

import trio

from sassafraspin.backends import Announcement, Retirement
from sassafraspin.control import ReinstateServer, RetireServer
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.messages import Propose
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.proposals import ProposalClient
from sassafraspin.routed.problems import RetirementPending

__all__ = ["RetirementView", "ServerRetirement"]

_ANSWER_SECONDS = 0.8
"""Longest wait before the answer; backend servers wait a second for it."""

_FIRST_POLL_SECONDS = 0.02
_MAX_POLL_SECONDS = 0.08
_COMMIT_RETENTION_SECONDS = 30.0

_MAX_DELAY_SECONDS = 15.0
"""Longest delay of an announcement. A lower one after that comes from a server that was
started again and numbers its announcements from the start."""


class RetirementView:
    """Retirements of the applied configuration, and since when they are known here.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._seen_index = 0
        self._seen_at: dict[Retirement, float] = {}

    def is_outdated(self, announcement: Announcement) -> bool:
        """Return whether a server sent an announcement before it was retired."""
        self._note_new()
        retirements = self._node.configuration.state.retirements
        if not retirements.covers(announcement):
            return False
        seen_at = self._seen_at[retirements.find(announcement.id)]
        return self._node.now() - seen_at < _MAX_DELAY_SECONDS

    def _note_new(self) -> None:
        """Note since when each retirement is known here."""
        retirements = self._node.configuration.state.retirements
        if retirements.last_index == self._seen_index:
            return
        self._seen_index = retirements.last_index
        now = self._node.now()
        self._seen_at = {
            retirement: self._seen_at.get(retirement, now)
            for retirement in retirements.all_retirements()
        }


@dataclass(frozen=True)
class _Commit:
    """A retirement that is in the control log.

    Parameters
    ----------
    retirement : Retirement
        The retirement.
    index : int
        Log index of the retirement, or a later one.
    known_at : float
        Monotonic time at which it was known to be committed, in seconds.
    """

    retirement: Retirement
    index: int
    known_at: float


class ServerRetirement:
    """Commits retirements and waits until every instance acts on them.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    control : ControlService
        Knows which members may still act on an older configuration.
    proposals : ProposalClient
        Client for the control log.
    """

    def __init__(
        self, node: Node, control: ControlService, proposals: ProposalClient
    ) -> None:
        self._node = node
        self._control = control
        self._proposals = proposals
        self._commits: dict[str, _Commit] = {}

    async def retire(self, retirement: Retirement) -> None:
        """Return once no instance sends new requests to the server.

        Raises
        ------
        RetirementPending
            If some instances may still do so. The wait goes on with the next call.
        """
        commit: _Commit | None = None
        with trio.move_on_after(_ANSWER_SECONDS):
            commit = await self._commit(retirement)
            pause = _FIRST_POLL_SECONDS
            while not self._control.is_in_force(commit.index, commit.known_at):
                await trio.sleep(pause)
                pause = min(2 * pause, _MAX_POLL_SECONDS)
            return
        lagging = () if commit is None else self._control.lagging_members(commit.index)
        raise RetirementPending(retirement.server, lagging)

    def end_outlived(self, announcement: Announcement) -> None:
        """End a retirement that covers an announcement which is not outdated.

        Otherwise the other instances would go on leaving the server out. A command that
        is lost is sent again with the next announcement.
        """
        retirements = self._node.configuration.state.retirements
        if retirements.covers(announcement):
            ended = retirements.find(announcement.id)
            change_id = f"reinstate-{uuid.uuid4().hex}"
            command = ReinstateServer(change_id, 0, ended)
            self._node.send(self._node.name, Propose(command))

    async def _commit(self, retirement: Retirement) -> _Commit:
        """Return the commit of a retirement that covers at least as much."""
        known = self._commits.get(retirement.server)
        if known is not None and known.retirement.order >= retirement.order:
            return known
        while not self._node.configuration.state.retirements.includes(retirement):
            change_id = f"retire-{uuid.uuid4().hex}"
            await self._proposals.propose(RetireServer(change_id, 0, retirement))
        now = self._node.now()
        commit = _Commit(retirement, self._node.configuration.index, now)
        self._forget_old_commits(now)
        self._commits[retirement.server] = commit
        return commit

    def _forget_old_commits(self, now: float) -> None:
        for server, commit in list(self._commits.items()):
            if now - commit.known_at > _COMMIT_RETENTION_SECONDS:
                del self._commits[server]
