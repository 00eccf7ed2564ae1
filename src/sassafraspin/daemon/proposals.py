"""Client that proposes commands to the replicated control log."""

import msgspec
import trio

from sassafraspin.control import Command, CommandOutcome, OutcomeKind
from sassafraspin.daemon.messages import Propose, ProposeReply
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import Conflict, ControlUnavailable
from sassafraspin.daemon.replies import PendingReplies

__all__ = ["ProposalClient", "require_in_force"]

_RETRY_INTERVAL_SECONDS = 0.3
_TIMEOUT_SECONDS = 5.0


class ProposalClient:
    """Sends a command to the control leader repeatedly until it is decided.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._replies = PendingReplies()

    async def propose(self, command: Command) -> CommandOutcome | None:
        """Return the outcome of a command, ``None`` on timeout.

        Repeats carry the same change identifier, so the command is applied at most
        once. The pause before each repeat doubles, because an earlier copy may still be
        in transit; another leader is asked at once.
        """
        receive = self._replies.open(command.change_id)
        try:
            with trio.move_on_after(_TIMEOUT_SECONDS):
                return await self._propose_until_decided(command, receive)
        finally:
            self._replies.close(command.change_id)
        return None

    def receive(self, reply: ProposeReply) -> None:
        """Deliver a reply from a control instance."""
        self._replies.deliver(reply.change_id, reply)

    async def _propose_until_decided(
        self, command: Command, receive: trio.MemoryReceiveChannel
    ) -> CommandOutcome:
        asked: str | None = None
        pause = _RETRY_INTERVAL_SECONDS
        repeat_at = float("-inf")
        while True:
            leader = self._node.lease.leader
            if leader != asked:
                pause = _RETRY_INTERVAL_SECONDS
                repeat_at = float("-inf")
            if leader is not None and trio.current_time() >= repeat_at:
                self._node.send(leader, Propose(command))
                asked = leader
                repeat_at = trio.current_time() + pause
                pause *= 2
            with trio.move_on_after(_RETRY_INTERVAL_SECONDS):
                reply = await receive.receive()
                if reply.outcome is not None:
                    return reply.outcome
                # The instance that was asked does not lead.
                asked = None
                await trio.sleep(_RETRY_INTERVAL_SECONDS)


def with_timestamp(command: Command, at_ms: int) -> Command:
    """Return a copy of the command with its ``at_ms`` set."""
    return msgspec.structs.replace(command, at_ms=at_ms)


def require_in_force(outcome: CommandOutcome | None) -> CommandOutcome:
    """Return the outcome of a command that is in force.

    Parameters
    ----------
    outcome : CommandOutcome or None
        Outcome of a proposal, ``None`` if it is not known.

    Raises
    ------
    ControlUnavailable
        If the outcome is not known.
    Conflict
        If the command has no effect.
    """
    if outcome is None:
        raise ControlUnavailable
    match outcome.kind:
        case OutcomeKind.ACCEPTED | OutcomeKind.UNCHANGED:
            return outcome
        case OutcomeKind.CONFLICT | OutcomeKind.REFUSED:
            raise Conflict(_conflict_message(outcome))


def _conflict_message(outcome: CommandOutcome) -> str:
    if outcome.profile is not None:
        current = outcome.profile
        return (
            f"version {current.profile.version} by {current.operator} is in force "
            f"(change {current.change_id}); {outcome.reason}"
        )
    if outcome.move is not None:
        move = outcome.move
        return f"{outcome.reason}: move {move.spec.name!r} is {move.phase}"
    return outcome.reason
