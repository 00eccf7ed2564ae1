"""The story of one request, read from the log lines of all instances."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["StoryLine", "read_story"]

_CONTEXT_SECONDS = 10.0
"""Time before a request in which changes of what an instance believes are told."""

_CONTEXT_EVENTS = frozenset(
    {
        "ControlChanged",
        "DispatcherLost",
        "DispatcherRegained",
        "InstanceStarted",
        "InstanceStopping",
        "TableInForce",
    }
)
_SHOWN_APART = frozenset({"time", "level", "part", "text", "event"})


@dataclass(frozen=True)
class StoryLine:
    """One event.

    Parameters
    ----------
    time : float
        Unix time in seconds.
    source : str
        Log that it stands in.
    event : str
        Name of the event.
    text : str
        What happened.
    facts : tuple of (str, object)
        Its fields.
    """

    time: float
    source: str
    event: str
    text: str
    facts: tuple[tuple[str, object], ...]


def read_story(
    request_id: str, logs: Iterable[tuple[str, Iterable[bytes]]]
) -> list[StoryLine]:
    """Return what logs tell of a request, in the order of time.

    Changes of what the instances that handled it believe are told too, as far as they
    came shortly before.

    Parameters
    ----------
    request_id : str
        The caller's name for the request.
    logs : iterable of (str, iterable of bytes)
        Name and lines of each log; lines that are no events are passed over.
    """
    story: list[StoryLine] = []
    for source, lines in logs:
        events = [line for line in map(_parse, lines) if line is not None]
        own = [item for item in events if item.get("request") == request_id]
        if not own:
            continue
        begin = min(item["time"] for item in own) - _CONTEXT_SECONDS
        end = max(item["time"] for item in own)
        context = [
            item
            for item in events
            if item.get("event") in _CONTEXT_EVENTS and begin <= item["time"] <= end
        ]
        story.extend(_line(source, item) for item in (*context, *own))
    return sorted(story, key=lambda line: line.time)


def _parse(line: bytes) -> dict | None:
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        item = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(item, dict) or not isinstance(item.get("time"), float):
        return None
    return item


def _line(source: str, item: dict) -> StoryLine:
    facts = tuple(
        (name, value) for name, value in item.items() if name not in _SHOWN_APART
    )
    return StoryLine(
        item["time"],
        source,
        str(item.get("event", "")),
        str(item.get("text", "")),
        facts,
    )
