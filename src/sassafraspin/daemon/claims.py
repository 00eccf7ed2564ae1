"""Ledger client of an entry instance: claims idempotency keys and closes claims."""

import trio

from sassafraspin.daemon.calls import Call
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.replies import PendingReplies
from sassafraspin.ledger import (
    Claim,
    ClaimAnswer,
    ClaimDecision,
    CloseClaim,
    RecordKey,
    RecordState,
)

__all__ = ["ClaimClient"]

_RETRY_INTERVAL_SECONDS = 0.2


class ClaimClient:
    """Asks the primary of an idempotency key whether a request may be dispatched.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._replies = PendingReplies()

    async def claim(self, call: Call) -> ClaimDecision:
        """Return the primary's decision, or ``NOT_READY`` on timeout.

        A claim that timed out is closed as not run, so that the key can be reused.
        """
        assert call.key is not None
        key = RecordKey(call.account.name, call.key)
        receive = self._replies.open(call.request_id)
        timeout = min(self._node.settings.ledger.claim_timeout_ms, call.deadline_ms)
        try:
            with trio.move_on_after(timeout / 1000):
                return await self._claim_until_decided(key, call, receive)
        finally:
            self._replies.close(call.request_id)
        self.close(call, RecordState.NOT_RUN)
        return ClaimDecision.NOT_READY

    def close(self, call: Call, state: RecordState) -> None:
        """Report to the primary how a claimed request ended."""
        if call.key is None:
            return
        key = RecordKey(call.account.name, call.key)
        self._send_to_primary(key, CloseClaim(key, call.request_id, state))

    def receive(self, answer: ClaimAnswer) -> None:
        """Deliver a primary's answer to the task that waits for it."""
        self._replies.deliver(answer.request_id, answer)

    async def _claim_until_decided(
        self, key: RecordKey, call: Call, receive: trio.MemoryReceiveChannel
    ) -> ClaimDecision:
        while True:
            claim = Claim(key, call.digest, call.request_id, self._node.view.number)
            self._send_to_primary(key, claim)
            with trio.move_on_after(_RETRY_INTERVAL_SECONDS):
                answer = await receive.receive()
                if answer.decision is not ClaimDecision.NOT_READY:
                    return answer.decision
                await trio.sleep(_RETRY_INTERVAL_SECONDS)

    def _send_to_primary(self, key: RecordKey, message: object) -> None:
        ranked = self._node.view.ranked(key.hash_key, 1)
        if ranked:
            self._node.send(ranked[0].name, message)
