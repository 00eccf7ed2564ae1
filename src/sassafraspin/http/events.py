"""Server-sent events: writing them and cutting a byte stream into them."""

from dataclasses import dataclass

__all__ = [
    "EventBlock",
    "EventParser",
    "EventSplitter",
    "EventTooLarge",
    "ServerSentEvent",
    "format_event",
]

_MAX_EVENT_BYTES = 1_048_576
_EVENT_END = b"\n\n"


@dataclass(frozen=True)
class ServerSentEvent:
    """One event.

    Parameters
    ----------
    data : str
        Payload.
    id : str or None
        Sequence number given by the sender, if any.
    """

    data: str
    id: str | None = None


def format_event(event: ServerSentEvent) -> bytes:
    """Return the bytes of one event."""
    lines = [] if event.id is None else [f"id: {event.id}"]
    lines += [f"data: {line}" for line in event.data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class EventTooLarge(ValueError):
    """An event does not end within the bound on its size."""


class EventParser:
    """Cuts a byte stream into events; keeps the rest for the next call."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Add bytes and return the events they complete."""
        received = (self._rest + data).replace(b"\r\n", b"\n")
        *blocks, self._rest = received.split(b"\n\n")
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return [event for block in blocks if (event := _parse_block(block))]


def _parse_block(block: bytes) -> ServerSentEvent | None:
    data: list[str] = []
    event_id = None
    for line in block.decode("utf-8", "replace").split("\n"):
        name, _, value = line.partition(":")
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
    """The bytes of one event with its end, and the identity in them, if any."""

    raw: bytes
    id: str | None


class EventSplitter:
    """Cuts a byte stream into whole events and leaves their bytes as they are."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[EventBlock]:
        """Add bytes and return the events they complete."""
        *blocks, self._rest = (self._rest + data).split(_EVENT_END)
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return [EventBlock(block + _EVENT_END, _event_id(block)) for block in blocks]

    def take_rest(self) -> bytes:
        """Return the bytes after the last whole event, and forget them."""
        rest, self._rest = self._rest, b""
        return rest


def _event_id(block: bytes) -> str | None:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None
