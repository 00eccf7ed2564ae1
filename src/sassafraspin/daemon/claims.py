"""An entry instance's side of the ledger: claiming keys and closing claims."""

import trio

from sassafraspin.daemon.calls import Call
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.replies import ReplyTable
from sassafraspin.ledger import (
    Claim,
    ClaimAnswer,
    ClaimDecision,
    CloseClaim,
    RecordKey,
    RecordState,
)

__all__ = ["ClaimClient"]

_REPEAT_SECONDS = 0.2


class ClaimClient:
    """Asks the home of a key whether a request may be dispatched.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._replies = ReplyTable()

    async def claim(self, call: Call) -> ClaimDecision:
        """Return the home's decision, ``NOT_READY`` if there was none in time.

        A claim without decision is closed as not run, so the key can be used again.
        """
        assert call.key is not None
        key = RecordKey(call.account.name, call.key)
        receive = self._replies.open(call.request_id)
        timeout = min(self._node.settings.ledger.claim_timeout_ms, call.deadline_ms)
        try:
            with trio.move_on_after(timeout / 1000):
                return await self._ask(key, call, receive)
        finally:
            self._replies.close(call.request_id)
        self.close(call, RecordState.NOT_RUN)
        return ClaimDecision.NOT_READY

    def close(self, call: Call, state: RecordState) -> None:
        """Tell the home how a claimed request ended."""
        if call.key is None:
            return
        key = RecordKey(call.account.name, call.key)
        self._send_home(key, CloseClaim(key, call.request_id, state))

    def receive(self, answer: ClaimAnswer) -> None:
        """Handle a home's answer."""
        self._replies.deliver(answer.request_id, answer)

    async def _ask(
        self, key: RecordKey, call: Call, receive: trio.MemoryReceiveChannel
    ) -> ClaimDecision:
        while True:
            claim = Claim(key, call.digest, call.request_id, self._node.view.number)
            self._send_home(key, claim)
            with trio.move_on_after(_REPEAT_SECONDS):
                answer = await receive.receive()
                if answer.decision is not ClaimDecision.NOT_READY:
                    return answer.decision
                await trio.sleep(_REPEAT_SECONDS)

    def _send_home(self, key: RecordKey, message: object) -> None:
        ranked = self._node.view.ranked(key.placement, 1)
        if ranked:
            self._node.send(ranked[0].name, message)
