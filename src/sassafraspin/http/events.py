"""Formatting and parsing of server-sent events."""

import re
from dataclasses import dataclass

from sassafraspin.http.client_connection import ConnectionLost

__all__ = [
    "EventBlock",
    "EventParser",
    "EventSplitter",
    "EventTooLarge",
    "ServerSentEvent",
    "StreamPosition",
    "format_event",
    "sequence_number",
]

_MAX_EVENT_BYTES = 1_048_576
_MAX_SEQUENCE_DIGITS = 18
_LINE_END = re.compile(rb"\r\n|\n|\r")
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n|\Z)){2}")
"""An event ends with an empty line; a carriage return at the end of the received bytes
may be the first half of a line end."""
_LAST_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}\Z")
_MAX_EVENT_END_BYTES = 4
_DATA_LINE = re.compile(rb"(?:\A|[\r\n])data")


@dataclass(frozen=True)
class ServerSentEvent:
    """One server-sent event.

    Parameters
    ----------
    data : str
        Payload.
    id : str or None
        Event identifier; backend servers send a sequence number.
    """

    data: str
    id: str | None = None


def format_event(event: ServerSentEvent) -> bytes:
    """Encode one event."""
    lines = [] if event.id is None else [f"id: {event.id}"]
    lines += [f"data: {line}" for line in event.data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


def sequence_number(event_id: str | None) -> int | None:
    """Return the sequence number in an event identifier, ``None`` if it is none.

    It consists of ASCII digits, of at most ``_MAX_SEQUENCE_DIGITS`` of them.
    """
    if event_id is None or len(event_id) > _MAX_SEQUENCE_DIGITS:
        return None
    if not (event_id.isascii() and event_id.isdigit()):
        return None
    return int(event_id)


class EventTooLarge(ConnectionLost):
    """An incomplete event exceeds the size limit."""

    def __init__(self) -> None:
        super().__init__(f"an event exceeds {_MAX_EVENT_BYTES} bytes")


class _EventBuffer:
    """Divides a byte stream at event ends; searches each byte once."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes; return the events completed by them, with their ends.

        Raises
        ------
        EventTooLarge
            If the event that is not complete yet exceeds the limit.
        """
        self._data += data
        events = []
        start = 0
        # The last bytes searched may be the beginning of an event end.
        search = max(0, self._searched_bytes - _MAX_EVENT_END_BYTES + 1)
        for found in _EVENT_END.finditer(self._data, search):
            events.append(bytes(self._data[start : found.end()]))
            start = found.end()
        del self._data[:start]
        self._searched_bytes = len(self._data)
        if len(self._data) > _MAX_EVENT_BYTES:
            raise EventTooLarge
        return events

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        remainder = bytes(self._data)
        self._data.clear()
        self._searched_bytes = 0
        return remainder


class StreamPosition:
    """Tracks where the events of a byte stream end, without keeping them."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes so far end inside an event."""
        return bool(self._tail) and _LAST_EVENT_END.search(self._tail) is None

    @property
    def is_at_start(self) -> bool:
        """Return whether no byte was received."""
        return not self._tail

    def feed(self, data: bytes) -> int:
        """Append received bytes and return the number of events completed by them."""
        counted_before = len(_EVENT_END.findall(self._tail))
        joined = self._tail + data
        self._tail = joined[-_MAX_EVENT_END_BYTES:]
        return len(_EVENT_END.findall(joined)) - counted_before


class EventParser:
    """Parses events from a byte stream, buffering incomplete ones.

    Events without a ``data`` field, such as comments, are dropped.
    """

    def __init__(self) -> None:
        self._buffer = _EventBuffer()

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Append received bytes and return the events completed by them."""
        blocks = self._buffer.feed(data)
        return [event for block in blocks if (event := _parse_block(block))]


def _parse_block(block: bytes) -> ServerSentEvent | None:
    data: list[str] = []
    event_id = None
    for line in _LINE_END.split(block):
        name, _, value = line.decode("utf-8", "replace").partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id":
            event_id = value
    if not data:
        return None
    return ServerSentEvent("\n".join(data), event_id)


@dataclass(frozen=True)
class EventBlock:
    """The raw bytes of one event with its terminator, and its identifier, if any.

    A block without data, such as a comment, is no event.
    """

    raw: bytes
    id: str | None
    has_data: bool = True

    @classmethod
    def from_bytes(cls, raw: bytes) -> "EventBlock":
        """Return the block of one event's bytes."""
        return cls(raw, _event_id(raw), _DATA_LINE.search(raw) is not None)


class EventSplitter:
    """Splits a byte stream into complete events without altering their bytes."""

    def __init__(self) -> None:
        self._buffer = _EventBuffer()

    def feed(self, data: bytes) -> list[EventBlock]:
        """Append received bytes and return the events completed by them."""
        return [EventBlock.from_bytes(raw) for raw in self._buffer.feed(data)]

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        return self._buffer.take_remainder()


def _event_id(block: bytes) -> str | None:
    for line in _LINE_END.split(block):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
