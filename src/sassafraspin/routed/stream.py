"""Relay of event streams to the caller, complete and in order."""

from sassafraspin.http import Headers, Responder
from sassafraspin.http.events import EventBlock, EventSplitter, sequence_number

__all__ = ["StreamRelay"]

_EVENT_END = b"\n\n"


class StreamRelay:
    """Relays the streams of all attempts at a call as one answer.

    A resumable stream is forwarded in complete events, so that another server can
    continue after the last one. Any other stream is forwarded as it arrives.

    Parameters
    ----------
    resumable : bool
        Whether another backend server may continue the stream.
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
        """Return the identifier of the last forwarded event.

        Only numeric identifiers in resumable streams are recorded; ``None`` before one.
        """
        return self._last_event_id

    def start_attempt(self) -> None:
        """Discard an incomplete event of the previous attempt."""
        self._splitter.take_remainder()

    async def forward(self, status: int, headers: Headers, chunk: bytes) -> int:
        """Forward a chunk; return the number of events that it completed.

        On a stream that is not resumable, an event end split over two chunks is not
        counted.
        """
        if not self._resumable:
            await self._write(status, headers, chunk)
            return chunk.count(_EVENT_END)
        blocks = [block for block in self._splitter.feed(chunk) if self._is_new(block)]
        if blocks:
            data = b"".join(block.raw for block in blocks)
            await self._write(status, headers, data)
        return len(blocks)

    async def finish(self, status: int, headers: Headers) -> None:
        """Finish the answer after a complete stream."""
        rest = self._splitter.take_remainder()
        if rest:
            await self._write(status, headers, rest)
        if not self._responder.has_started:
            await self._responder.start(status, headers)
        await self._responder.finish()

    async def _write(self, status: int, headers: Headers, data: bytes) -> None:
        if not self._responder.has_started:
            await self._responder.start(status, headers)
        await self._responder.write(data)

    def _is_new(self, block: EventBlock) -> bool:
        """Return whether an event was not forwarded before, and record its identifier.

        An event without a numeric identifier always counts as new.
        """
        number = sequence_number(block.id)
        if number is None:
            return True
        last = sequence_number(self._last_event_id)
        if last is not None and number <= last:
            return False
        self._last_event_id = block.id
        return True
