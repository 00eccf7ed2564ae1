"""An instance's side of the control log: having a command committed."""

import msgspec
import trio

from sassafraspin.control import Command, CommandOutcome
from sassafraspin.daemon.messages import Propose, ProposeReply
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.replies import ReplyTable

__all__ = ["ProposalClient"]

_REPEAT_SECONDS = 0.3
_TIMEOUT_SECONDS = 5.0


class ProposalClient:
    """Sends commands to the control leader until one is decided.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._replies = ReplyTable()

    async def propose(self, command: Command) -> CommandOutcome | None:
        """Return the outcome, ``None`` if it is not known in time.

        The command is repeated under its identity, so it is applied at most once.
        """
        receive = self._replies.open(command.change_id)
        try:
            with trio.move_on_after(_TIMEOUT_SECONDS):
                return await self._ask(command, receive)
        finally:
            self._replies.close(command.change_id)
        return None

    def receive(self, reply: ProposeReply) -> None:
        """Handle an answer of a control instance."""
        self._replies.deliver(reply.change_id, reply)

    async def _ask(
        self, command: Command, receive: trio.MemoryReceiveChannel
    ) -> CommandOutcome:
        while True:
            leader = self._node.lease.leader
            if leader is not None:
                self._node.send(leader, Propose(command))
            with trio.move_on_after(_REPEAT_SECONDS):
                reply = await receive.receive()
                if reply.outcome is not None:
                    return reply.outcome
                await trio.sleep(_REPEAT_SECONDS)


def with_time(command: Command, at_ms: int) -> Command:
    """Return the command with the leader's wall clock time."""
    return msgspec.structs.replace(command, at_ms=at_ms)
