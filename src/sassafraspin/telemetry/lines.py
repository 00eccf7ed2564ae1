"""Lines of a log, written without ever waiting for the reader."""

import os

__all__ = ["LineWriter"]

_MAX_PENDING_BYTES = 65_536
"""Most bytes of a line that the reader took only in part, plus what came after it."""


class LineWriter:
    """Writes whole lines to a file descriptor; drops and counts what does not fit.

    Parameters
    ----------
    descriptor : int
        Where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Write a line, or drop it if the reader does not keep up."""
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
            # Nobody reads any more; there is no other place to say so.
            self._dropped += 1
            self._pending = b""
            return
        self._pending = self._pending[written:]
