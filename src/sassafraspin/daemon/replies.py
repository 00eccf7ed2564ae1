"""Waiting for messages that answer a request."""

from typing import Any

import trio

__all__ = ["ReplyTable"]


class ReplyTable:
    """Hands received answers to the tasks that wait for them, by identity."""

    def __init__(self) -> None:
        self._channels: dict[str, trio.MemorySendChannel[Any]] = {}

    def open(self, identity: str) -> trio.MemoryReceiveChannel[Any]:
        """Start to collect answers for ``identity``."""
        send, receive = trio.open_memory_channel[Any](8)
        self._channels[identity] = send
        return receive

    def close(self, identity: str) -> None:
        """Stop collecting answers for ``identity``."""
        self._channels.pop(identity, None)

    def deliver_all(self, message: Any) -> None:
        """Hand a message to every task that waits."""
        for identity in self._channels:
            self.deliver(identity, message)

    def deliver(self, identity: str, message: Any) -> bool:
        """Hand an answer over; return whether somebody waits for it."""
        channel = self._channels.get(identity)
        if channel is None:
            return False
        try:
            channel.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False
        return True
