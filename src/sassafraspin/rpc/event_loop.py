"""Event loop of the gRPC streams, run by trio."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import trio
import trio_asyncio

__all__ = ["open_event_loop"]

_MAX_CALLBACKS_PER_PASS = 1_000
"""Callbacks that schedule each other must not keep trio's tasks from running."""


@asynccontextmanager
async def open_event_loop() -> AsyncIterator[trio_asyncio.TrioEventLoop]:
    """Open an asyncio event loop that runs all due callbacks in a pass of trio.

    ``trio_asyncio`` runs one callback per pass of the trio scheduler. In a process with
    long passes, callbacks would be scheduled faster than they run.
    """
    async with trio_asyncio.open_loop() as loop:
        run_one = loop._main_loop_one

        async def run_due(no_wait: bool = False) -> None:
            await run_one(no_wait)
            if no_wait:
                return
            with suppress(trio.WouldBlock):
                for _ in range(_MAX_CALLBACKS_PER_PASS - 1):
                    await run_one(no_wait=True)

        loop._main_loop_one = run_due
        yield loop
