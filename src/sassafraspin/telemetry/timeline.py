"""Timeline of one request, assembled from the JSON logs of several instances."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["TimelineEntry", "read_timeline"]

_CONTEXT_SECONDS = 10.0
"""Instance events are included from this long before the request's first event."""

_CONTEXT_EVENTS = frozenset(
    {
        "ControlChanged",
        "DispatcherLost",
        "DispatcherRegained",
        "InstanceStarted",
        "InstanceStopping",
        "LeaderChanged",
        "TableInForce",
    }
)
_COMMON_FIELDS = frozenset({"time", "level", "part", "text", "event"})


@dataclass(frozen=True)
class TimelineEntry:
    """One event in the timeline of a request.

    Parameters
    ----------
    time : float
        Unix time in seconds.
    source : str
        Name of the log that contains the event.
    event : str
        Name of the event class.
    text : str
        Log message.
    fields : tuple of (str, object)
        Names and values of the remaining fields.
    """

    time: float
    source: str
    event: str
    text: str
    fields: tuple[tuple[str, object], ...]


def read_timeline(
    request_id: str, logs: Iterable[tuple[str, Iterable[bytes]]]
) -> list[TimelineEntry]:
    """Return the events of a request from all logs, ordered by time.

    For each instance that logged the request, events about the instance itself (such
    as a lost dispatcher or a new routing table) that were logged during the request or
    shortly before it are included as context.

    Parameters
    ----------
    request_id : str
        Request identifier sent by the caller.
    logs : iterable of (str, iterable of bytes)
        Name and lines of each log; lines that are not JSON events are skipped.

    Returns
    -------
    list of TimelineEntry
        Empty if no log contains the request.
    """
    timeline: list[TimelineEntry] = []
    for source, lines in logs:
        events = [line for line in map(_parse_event, lines) if line is not None]
        request_events = [item for item in events if item.get("request") == request_id]
        if not request_events:
            continue
        begin = min(item["time"] for item in request_events) - _CONTEXT_SECONDS
        end = max(item["time"] for item in request_events)
        context = [
            item
            for item in events
            if item.get("event") in _CONTEXT_EVENTS and begin <= item["time"] <= end
        ]
        timeline.extend(_to_entry(source, item) for item in (*context, *request_events))
    return sorted(timeline, key=lambda entry: entry.time)


def _parse_event(line: bytes) -> dict | None:
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


def _to_entry(source: str, item: dict) -> TimelineEntry:
    fields = tuple(
        (name, value) for name, value in item.items() if name not in _COMMON_FIELDS
    )
    return TimelineEntry(
        item["time"],
        source,
        str(item.get("event", "")),
        str(item.get("text", "")),
        fields,
    )
