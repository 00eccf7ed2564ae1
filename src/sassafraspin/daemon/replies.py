"""Delivery of replies to the tasks that wait for them."""

from typing import Any

import trio

__all__ = ["PendingReplies"]


class PendingReplies:
    """Routes received replies to waiting tasks by correlation identifier."""

    def __init__(self) -> None:
        self._channels: dict[str, trio.MemorySendChannel[Any]] = {}

    def open(self, correlation_id: str) -> trio.MemoryReceiveChannel[Any]:
        """Register a waiting task and return the channel of its replies."""
        send, receive = trio.open_memory_channel[Any](8)
        self._channels[correlation_id] = send
        return receive

    def close(self, correlation_id: str) -> None:
        """Unregister the waiting task of ``correlation_id``."""
        self._channels.pop(correlation_id, None)

    def deliver_all(self, message: Any) -> None:
        """Deliver a message to every waiting task."""
        for correlation_id in self._channels:
            self.deliver(correlation_id, message)

    def deliver(self, correlation_id: str, message: Any) -> bool:
        """Deliver a reply; return whether it was queued for a waiting task.

        It is dropped if no task waits or the queue of the task is full.
        """
        channel = self._channels.get(correlation_id)
        if channel is None:
            return False
        try:
            channel.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False
        return True
