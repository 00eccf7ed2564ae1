"""Log output that never blocks on a slow reader."""

import os

__all__ = ["LineWriter"]

_MAX_PENDING_BYTES = 65_536
"""Limit of the buffer that holds a partly written line and the lines after it."""


class LineWriter:
    """Writes complete lines to a file descriptor without blocking.

    Lines that do not fit into the buffer are dropped and counted. If the reader has
    closed the pipe, the whole buffer is dropped, which counts as one line.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Write a line, or drop it if the buffer is full."""
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self._flush()
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._pending += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, and there is no other place to report it.
            self._dropped += 1
            self._pending = b""
            return
        self._pending = self._pending[written:]
