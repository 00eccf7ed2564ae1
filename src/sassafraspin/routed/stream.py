"""Passing the events of a stream on to the caller, whole and in order."""

from sassafraspin.http import Headers, Responder
from sassafraspin.http.events import EventBlock, EventSplitter

__all__ = ["StreamRelay"]

_EVENT_END = b"\n\n"


class StreamRelay:
    """Passes streams of one call on as one answer.

    A stream that may be resumed is passed on in whole events, so that another
    server can go on after the last one; any other stream byte by byte.

    Parameters
    ----------
    resumable : bool
        Whether the stream may go on at another backend server.
    responder : Responder
        Sends the answer to the caller.
    """

    def __init__(self, resumable: bool, responder: Responder) -> None:
        self._resumable = resumable
        self._responder = responder
        self._splitter = EventSplitter()
        self._last_event_id: str | None = None

    @property
    def last_event_id(self) -> str | None:
        """Return the name of the last event that was passed on."""
        return self._last_event_id

    def begin(self) -> None:
        """Forget the part of an event that an earlier server did not end."""
        self._splitter.take_rest()

    async def pass_on(self, status: int, headers: Headers, chunk: bytes) -> int:
        """Pass a piece on; return the number of events that it ended."""
        if not self._resumable:
            await self._write(status, headers, chunk)
            return chunk.count(_EVENT_END)
        blocks = [block for block in self._splitter.feed(chunk) if self._is_next(block)]
        if blocks:
            data = b"".join(block.raw for block in blocks)
            await self._write(status, headers, data)
        return len(blocks)

    async def finish(self, status: int, headers: Headers) -> None:
        """End the answer after a stream that ended whole."""
        rest = self._splitter.take_rest()
        if rest:
            await self._write(status, headers, rest)
        if not self._responder.has_started:
            await self._responder.start(status, headers)
        await self._responder.finish()

    async def _write(self, status: int, headers: Headers, data: bytes) -> None:
        if not self._responder.has_started:
            await self._responder.start(status, headers)
        await self._responder.write(data)

    def _is_next(self, block: EventBlock) -> bool:
        """Return whether an event was not passed on before."""
        if block.id is None or not block.id.isdigit():
            return True
        last = self._last_event_id
        if last is not None and last.isdigit() and int(block.id) <= int(last):
            return False
        self._last_event_id = block.id
        return True
