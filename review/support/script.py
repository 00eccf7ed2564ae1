"""Frame of a script: its record, its temporary folder and its exit status."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from support.deployment import Deployment

__all__ = ["CannotRun", "Record", "run_script"]

_MAX_SECONDS = 110.0


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Lines on what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._began_at = time.monotonic()

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line; ``at`` is a monotonic time, now by default."""
        seconds = (time.monotonic() if at is None else at) - self._began_at
        self._lines.append(f"{seconds:8.3f} s  {text}")

    def result(self, text: str) -> None:
        """Add a line to the record and print it."""
        self._lines.append(text)
        print(text)

    def save(self) -> None:
        """Write the record."""
        self._path.write_text("\n".join([*self._lines, ""]))


def run_script(
    case: Callable[[Deployment, Record, bool], Awaitable[bool]],
    folder: Path,
    memory_mb: int = 300,
) -> None:
    """Run a case and exit: 1 if it broke its rule, 0 if not, 2 if it could not run.

    Parameters
    ----------
    case : callable
        Coroutine function that gets the deployment, the record, and whether the
        disruption is to happen; returns whether the rule held.
    folder : Path
        Folder of the case, for its record.
    memory_mb : int
        Memory limit of an instance.
    """
    # A script that is told to end ends its processes first, and shows nothing.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    status = 2
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(Path(temporary), memory_mb=memory_mb)
        try:
            status = asyncio.run(_run(case, deployment, record, with_trouble))
        except Exception as error:
            # Only a broken rule may end with 1.
            record.result(f"cannot run: {error!r}")
        finally:
            deployment.stop()
            record.result(f"exit status {status}")
            record.save()
    sys.exit(status)


async def _run(
    case: Callable[[Deployment, Record, bool], Awaitable[bool]],
    deployment: Deployment,
    record: Record,
    with_trouble: bool,
) -> int:
    for number in range(deployment.count):
        deployment.start(number)
    async with asyncio.timeout(_MAX_SECONDS):
        has_held = await case(deployment, record, with_trouble)
    # Connections that are being closed need another turn of the event loop.
    await asyncio.sleep(0.1)
    return 0 if has_held else 1
