"""Relay of event streams to the caller, complete and in order."""

from dataclasses import dataclass

from sassafraspin.http import ConnectionLost, Headers, Responder
from sassafraspin.http.events import (
    EventBlock,
    EventSplitter,
    StreamPosition,
    sequence_number,
)

__all__ = ["StreamHead", "StreamRelay"]

_EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True)
class StreamHead:
    """Head of a backend server's stream.

    Parameters
    ----------
    status : int
        Status code.
    headers : Headers
        Header fields for the caller.
    is_framed : bool
        Whether the server declares the end of the stream.
    is_resumed : bool
        Whether the stream goes on after an earlier event; it may have none left.
    """

    status: int
    headers: Headers
    is_framed: bool = True
    is_resumed: bool = False

    @property
    def has_events(self) -> bool:
        """Return whether the body consists of events, as it does without a type."""
        content_type = self.headers.get("content-type")
        return content_type is None or content_type.lower().startswith(_EVENT_STREAM)

    def continues(self, first: "StreamHead") -> bool:
        """Return whether the body may follow what was sent of another one.

        The caller has the head of the first one, and what it says has to stay true.
        """
        is_alike = self._encoding == first._encoding
        return is_alike and self.has_events and first.has_events

    @property
    def _encoding(self) -> str | None:
        return self.headers.get("content-encoding")


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
    resume_after : str or None
        Identifier of the last event that the caller has of an interrupted stream.
    """

    def __init__(
        self, resumable: bool, responder: Responder, resume_after: str | None
    ) -> None:
        self._resumable = resumable
        self._responder = responder
        self._splitter = EventSplitter()
        self._last_event_id = resume_after
        self._ends_unnumbered = False
        self._head = StreamHead(200, Headers())
        self._caller_head: StreamHead | None = None
        self._position = StreamPosition()

    @property
    def last_event_id(self) -> str | None:
        """Return the identifier of the last event that the caller has.

        Of forwarded events only numeric identifiers in resumable streams are recorded;
        before one it is that which the caller named, or ``None``.
        """
        return self._last_event_id

    @property
    def may_go_on(self) -> bool:
        """Return whether another run would not repeat what was forwarded.

        It repeats the events after the last one with a numeric identifier.
        """
        return not self._ends_unnumbered

    def start_attempt(self, head: StreamHead) -> None:
        """Begin a stream; discard an incomplete event of the previous one.

        Raises
        ------
        ConnectionLost
            If the stream can't follow what the caller has received.
        """
        first = self._caller_head
        if first is not None and not head.continues(first):
            raise ConnectionLost("the answer does not continue the stream")
        self._head = head
        self._splitter.take_remainder()
        self._position = StreamPosition()

    async def forward(self, chunk: bytes) -> int:
        """Forward a chunk; return the number of new events that it completed."""
        completed_events = self._position.feed(chunk)
        if not (self._resumable and self._head.has_events):
            await self._write(chunk)
            return completed_events
        blocks = [block for block in self._splitter.feed(chunk) if self._is_new(block)]
        if blocks:
            await self._write(b"".join(block.raw for block in blocks))
        return len(blocks)

    async def finish(self) -> None:
        """Finish the answer at the end of a stream.

        Raises
        ------
        ConnectionLost
            If the stream was broken off, or if the caller was promised a declared end
            and this stream has none.
        """
        self._check_end()
        rest = self._splitter.take_remainder()
        if rest and self._is_new(EventBlock.from_bytes(rest)):
            await self._write(rest)
        await self._start()
        if self._caller_head.is_framed and not self._head.is_framed:
            raise ConnectionLost("the end of the stream is not declared")
        await self._responder.finish()

    def _check_end(self) -> None:
        """Raise ``ConnectionLost`` if the stream ended where no whole stream ends."""
        head = self._head
        if not head.has_events:
            return
        if self._position.is_inside_event:
            raise ConnectionLost("the stream ended inside an event", not head.is_framed)
        if self._position.is_at_start and not (head.is_framed or head.is_resumed):
            raise ConnectionLost(
                "the stream ended before its first event", is_closed=True
            )

    async def _start(self) -> None:
        if self._caller_head is not None:
            return
        self._caller_head = head = self._head
        await self._responder.start(head.status, head.headers, is_framed=head.is_framed)

    async def _write(self, data: bytes) -> None:
        await self._start()
        await self._responder.write(data)

    def _is_new(self, block: EventBlock) -> bool:
        """Return whether an event was not forwarded before, and record its identifier.

        An event without a numeric identifier always counts as new.
        """
        number = sequence_number(block.id)
        if number is None:
            self._ends_unnumbered |= block.has_data
            return True
        last = sequence_number(self._last_event_id)
        if last is not None and number <= last:
            return False
        self._last_event_id = block.id
        self._ends_unnumbered = False
        return True
