"""Turns of other tasks while one connection delivers many protocol events."""

import trio

__all__ = ["CheckpointCounter"]

_EVENTS_PER_CHECKPOINT = 64
"""One read of the socket may hold ten thousand protocol events."""


class CheckpointCounter:
    """Gives other tasks a turn after a number of protocol events."""

    def __init__(self) -> None:
        self._events = 0

    async def count_event(self) -> None:
        """Count a protocol event that is about to be handled."""
        self._events += 1
        if self._events >= _EVENTS_PER_CHECKPOINT:
            self._events = 0
            await trio.lowlevel.checkpoint()
