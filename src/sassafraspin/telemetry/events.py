"""Structured log events of the daemons.

Each event is logged as one JSON object with ``time`` (Unix seconds), ``level``,
``part`` (component), ``text`` (message), ``event`` (class name) and the fields of its
class. The class docstrings appear in the output of ``sassafraspin events``.
"""

from dataclasses import dataclass, fields
from typing import ClassVar

from loguru import logger

__all__ = [
    "CallEnded",
    "CallRefused",
    "ControlChanged",
    "ControlDiskReopened",
    "ControlLogCut",
    "ControlRecovered",
    "DispatcherLost",
    "DispatcherRegained",
    "EVENTS",
    "EvacuationsInForce",
    "Event",
    "InstanceCutOff",
    "InstanceStarted",
    "InstanceStopped",
    "InstanceStopping",
    "LeaderChanged",
    "PartIsolated",
    "PartReadmitted",
    "PathLost",
    "PathRegained",
    "RequestIsolated",
    "ResourceUsage",
    "ServerLeaving",
    "SlotsBorrowed",
    "OverloadToleranceChanged",
    "QuorumChanged",
    "RateLimitChanged",
    "ReplicaStarted",
    "ServerCold",
    "ServerPaced",
    "ServerNoticed",
    "StreamFailed",
    "TableInForce",
    "TryEnded",
    "VoteRefused",
    "ZoneOrdered",
    "describe_events",
    "log_event",
]


@dataclass(frozen=True)
class Event:
    """Base class of events; ``part`` is the component and ``text`` the message."""

    part: ClassVar[str] = "daemon"
    text: ClassVar[str] = ""


@dataclass(frozen=True)
class InstanceStarted(Event):
    """An instance is listening; it is ready once its configuration is confirmed."""

    text: ClassVar[str] = "The instance is listening."
    instance: str
    incarnation: int


@dataclass(frozen=True)
class InstanceStopping(Event):
    """A shutdown began; readiness checks fail from now on."""

    text: ClassVar[str] = "Shutdown started; readiness checks now fail."
    instance: str
    in_flight: int


@dataclass(frozen=True)
class InstanceStopped(Event):
    """A shutdown ended; ``cut`` requests were still in flight."""

    text: ClassVar[str] = "Shutdown finished."
    instance: str
    cut: int


@dataclass(frozen=True)
class ControlChanged(Event):
    """The control instances were discovered, or one of them was replaced."""

    text: ClassVar[str] = "The set of control instances was discovered or changed."
    instances: tuple[str, ...]


@dataclass(frozen=True)
class ReplicaStarted(Event):
    """A control replica started from its disk.

    ``disk`` identifies the disk and is new if it was empty or discarded; ``voters`` are
    those of its log, as names with disks. ``term`` and ``last_index`` are those of the
    log.
    """

    part: ClassVar[str] = "control"
    text: ClassVar[str] = "The control replica started."
    disk: str
    term: int
    last_index: int
    is_recovering: bool
    voters: tuple[str, ...]


@dataclass(frozen=True)
class QuorumChanged(Event):
    """The voters of the control quorum, or what is known of them, have changed.

    ``voters`` are names with disks. A leader, or a candidate that has not won yet, also
    knows ``states``, and ``tolerated`` disks that may still be lost; with less than
    none there is no quorum. At most one is logged a second, besides one for each change
    of the voters.
    """

    part: ClassVar[str] = "control"
    text: ClassVar[str] = "The control quorum has changed."
    role: str
    term: int
    voters: tuple[str, ...]
    states: dict[str, str]
    tolerated: int | None


@dataclass(frozen=True)
class VoteRefused(Event):
    """A control replica refused its vote to a candidate.

    It is logged again for the same candidate and reason after some seconds only.
    """

    part: ClassVar[str] = "control"
    text: ClassVar[str] = "A vote was refused."
    candidate: str
    term: int
    own_term: int
    reason: str


@dataclass(frozen=True)
class ControlDiskReopened(Event):
    """The control disk takes writes again after a storage error.

    ``term`` and ``last_index`` are those of the log on the disk.
    """

    part: ClassVar[str] = "control"
    text: ClassVar[str] = "The control replica restarted from its disk."
    term: int
    last_index: int


@dataclass(frozen=True)
class ControlLogCut(Event):
    """A damaged record was cut from the end of the control log at the start.

    An interrupted write leaves one, and so does damage to what was acknowledged; the
    replica is recovering until a leader has shown that it lacks nothing. ``bytes``
    were cut; ``term`` and ``last_index`` are those of the log that remains.
    """

    part: ClassVar[str] = "storage"
    text: ClassVar[str] = "The end of the control log was damaged and has been cut."
    bytes: int
    term: int
    last_index: int


@dataclass(frozen=True)
class ControlRecovered(Event):
    """A control replica whose log was cut lacks nothing any more.

    ``leader`` is the control leader that it has followed.
    """

    part: ClassVar[str] = "control"
    text: ClassVar[str] = "The control replica has recovered all that it may have lost."
    term: int
    leader: str | None


@dataclass(frozen=True)
class TableInForce(Event):
    """The instance uses another routing table from now on."""

    part: ClassVar[str] = "routes"
    text: ClassVar[str] = "A new routing table is active on this instance."
    version: int
    routes: int
    services: int
    accounts: int


@dataclass(frozen=True)
class DispatcherLost(Event):
    """The dispatcher does not respond; this instance dispatches by itself."""

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "The dispatcher does not respond."
    dispatcher: str | None
    silent_ms: int


@dataclass(frozen=True)
class DispatcherRegained(Event):
    """The dispatcher responds again."""

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "The dispatcher responds again."
    dispatcher: str | None


@dataclass(frozen=True)
class SlotsBorrowed(Event):
    """How often this instance asked others for a slot while there was no dispatcher.

    It is logged when a dispatcher responds again. ``granted`` slots were lent,
    ``refused`` is the number of instances that had none, and ``unanswered`` of those
    that did not respond.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "Other instances were asked for unused slots."
    granted: int
    refused: int
    unanswered: int


@dataclass(frozen=True)
class LeaderChanged(Event):
    """The instance follows another control leader.

    ``told_by`` is the instance that named it, ``view`` the number of the view here, and
    ``configuration_age_ms`` the time since the configuration was last confirmed as
    current, empty if it never was.
    """

    part: ClassVar[str] = "membership"
    text: ClassVar[str] = "This instance follows another control leader."
    leader: str | None
    told_by: str | None
    view: int
    configuration_age_ms: int | None


@dataclass(frozen=True)
class ServerLeaving(Event):
    """A backend server said that it leaves, or was withdrawn.

    ``incarnation`` and ``sequence`` order its announcements; a withdrawal has the
    highest sequence. ``acknowledged`` says whether the answer was a success,
    ``after_ms`` is the time until the answer, and ``pending`` names the instances that
    may still send it requests.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "A backend server is leaving or was withdrawn."
    server: str
    incarnation: int
    sequence: int
    acknowledged: bool
    after_ms: int
    pending: tuple[str, ...]


@dataclass(frozen=True)
class ResourceUsage(Event):
    """Memory of the process and bytes by owner, each 5 s and when memory has grown.

    ``resident_kb`` is the memory of the process, ``pending_bytes`` what waits to be
    sent to other instances, most of it to ``largest_peer``, ``dropped_messages`` the
    messages discarded since the start, ``sent_kb`` the traffic to other instances since
    the start by type of message, ``retained_bytes`` the commands kept for updates,
    ``log_bytes`` the control log and ``in_flight`` the calls in progress.
    ``callback_delay_ms`` is how long a callback last waited in the event loop of the
    streams. ``held_bytes`` is what the memory budget of requests and responses holds by
    kind, ``refused_for_memory`` the requests that it refused since the start, and
    ``closed_for_memory`` the transfers and idle connections that were ended for others.
    """

    text: ClassVar[str] = "Memory and bytes by owner."
    resident_kb: int
    pending_bytes: int
    largest_peer: str | None
    largest_peer_bytes: int
    dropped_messages: int
    sent_kb: dict[str, int]
    retained_bytes: int
    log_bytes: int
    in_flight: int
    callback_delay_ms: int
    held_bytes: dict[str, int]
    refused_for_memory: int
    closed_for_memory: int


@dataclass(frozen=True)
class StreamFailed(Event):
    """A stream to another instance failed; the next message opens another one.

    ``lasted_ms`` is its duration, ``unacknowledged_bytes`` what was sent over it
    without an acknowledgement, ``pending_bytes`` what waits for the next stream, and
    ``late_ms`` the longest delay of the timer that watches it: how late this process
    runs its tasks.
    """

    part: ClassVar[str] = "rpc"
    text: ClassVar[str] = "A stream to another instance failed."
    peer: str
    error: str
    lasted_ms: int
    unacknowledged_bytes: int
    pending_bytes: int
    late_ms: int


@dataclass(frozen=True)
class TryEnded(Event):
    """An attempt to serve a request on a backend server ended.

    ``waited_ms`` is the time spent waiting for a slot at the dispatcher, ``asked_ms``
    the time from the arrival of the request until it was sent to the server,
    ``expected_first_ms`` the dispatcher's estimate of ``first_ms``, and ``tries`` the
    number of servers that were tried before. ``signature`` is a digest that equal
    requests of an account to a service share. ``framing`` is how the server declared
    the end of its answer: ``length``, ``chunked``, ``none`` without a body,
    ``connection`` if it ends with its connection, empty if no answer began. ``parts``
    are the prompt parts that other requests may share, ``server_crashed`` says that the
    server refused connections after the answer was lost, and ``broken_off`` that it
    closed or reset the connection before its answer was complete. ``rate_limit`` is the
    limit that the server named in its answer, in requests a second, empty if it named
    none. ``relay`` is the instance through which the connection led, empty if it was
    direct, and ``path_failed`` says that the attempt failed because this instance lost
    its path to the server, which is no fault of the server. ``resumed_after`` is the
    number of the event after which a stream was to go on, and ``last_event`` that of
    the last one that its caller has; both are empty without a number.
    """

    part: ClassVar[str] = "entry"
    text: ClassVar[str] = "An attempt to serve a request on a backend server ended."
    request: str
    route: str
    tier: int
    account: str | None
    table_version: int
    server: str
    grant: str
    tries: int
    prompt_tokens: int
    answer_tokens: int
    waited_ms: int
    asked_ms: int
    expected_first_ms: int
    first_ms: int | None
    longest_pause_ms: int
    total_ms: int
    events: int
    parts: tuple[str, ...]
    signature: str
    server_crashed: bool
    broken_off: bool
    framing: str | None
    rate_limit: float | None
    end: str
    relay: str | None = None
    path_failed: bool = False
    resumed_after: int | None = None
    last_event: int | None = None


@dataclass(frozen=True)
class PathLost(Event):
    """An instance is partitioned from the backend servers, which others reach.

    New connections lead through other instances. ``server`` is the last one that was
    not reached, and ``hangs`` says whether the connection hung instead of being
    refused.
    """

    part: ClassVar[str] = "relay"
    text: ClassVar[str] = "This instance lost its path to the backend servers."
    server: str
    hangs: bool


@dataclass(frozen=True)
class PathRegained(Event):
    """An instance reaches backend servers again, ``lost_ms`` after it lost its path.

    New connections are direct again.
    """

    part: ClassVar[str] = "relay"
    text: ClassVar[str] = "This instance reaches the backend servers again."
    lost_ms: int


@dataclass(frozen=True)
class ServerNoticed(Event):
    """A backend server said in an answer that it leaves, or asked for a pause.

    This instance sends it no requests until it is restarted, or for ``pause_ms``.
    """

    part: ClassVar[str] = "entry"
    text: ClassVar[str] = "A backend server wants no requests from this instance."
    server: str
    incarnation: int
    leaving: bool
    pause_ms: int


@dataclass(frozen=True)
class RateLimitChanged(Event):
    """A backend server named another rate limit in an answer, or none any more.

    The dispatcher sends it no more than ``rate_limit`` requests a second from now on;
    empty if it has no limit.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "The rate limit of a backend server changed."
    server: str
    incarnation: int
    rate_limit: float | None


@dataclass(frozen=True)
class OverloadToleranceChanged(Event):
    """A backend server named in an answer how many refusals it tolerates, or none.

    While it tolerates only ``tolerance`` refusals a second, the dispatcher finds out
    from them how many requests it takes at a time (``ServerPaced``); empty if it
    names no number any more.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "The overload tolerance of a backend server changed."
    server: str
    incarnation: int
    tolerance: float | None


@dataclass(frozen=True)
class ServerPaced(Event):
    """The dispatcher changed how many requests a server may have in flight.

    A server that has just started, came back, turned cold or was ejected begins with a
    small ``limit`` (``reason`` is ``started``); answers that are ``on-time`` raise it,
    those that are ``late`` or ``failed`` halve it. A server that tolerates few refusals
    gets fewer when it has ``refused`` one. It is ``restored`` if the server was ejected
    for failures of an instance that reaches no server. At ``slots`` it has no effect.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "The pace of a backend server changed."
    server: str
    incarnation: int
    limit: int
    slots: int
    reason: str


@dataclass(frozen=True)
class InstanceCutOff(Event):
    """An instance gets no answers from servers that answer other instances.

    Its failures do not count against the servers until it gets an answer. ``reported``
    says that it found so itself; otherwise the dispatcher did.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "An instance does not reach the backend servers."
    service: str
    instance: str
    reported: bool


@dataclass(frozen=True)
class ServerCold(Event):
    """A backend server is cold, or is no longer so: ``cold_ms`` is 0 then.

    While it is, the dispatcher sends it no more than ``rate`` requests a second;
    ``granted`` is the number that it was sent since it turned cold.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "A backend server turned cold or warm."
    server: str
    incarnation: int
    cold_ms: int
    rate: float
    granted: int


@dataclass(frozen=True)
class PartIsolated(Event):
    """Requests with a prompt part are refused from now on, by all instances.

    ``servers`` crashed while they were to answer a request with the part, or soon after
    they had begun to, and ``was_answered`` says whether such a request was answered
    before.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "A part of prompts crashes servers; its requests are refused."
    prompt_part: str
    servers: tuple[str, ...]
    was_answered: bool


@dataclass(frozen=True)
class RequestIsolated(Event):
    """Requests that equal one another are refused from now on, by all instances.

    ``servers`` crashed while they were to answer one of them, or soon after they had
    begun to, and ``was_answered`` says whether such a request was answered before.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "A request crashes servers; equal ones are refused."
    signature: str
    servers: tuple[str, ...]
    was_answered: bool


@dataclass(frozen=True)
class PartReadmitted(Event):
    """An operator ended the isolation of a prompt part or a request."""

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "Requests with an isolated part are accepted again."
    prompt_part: str


@dataclass(frozen=True)
class ZoneOrdered(Event):
    """An operator's order to evacuate a zone, or to reopen it, was acknowledged.

    ``is_new`` is false if the order was in force before, as when it is sent again;
    ``after_ms`` is the time from its arrival until it was acknowledged.
    """

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "An order about a zone is in force."
    zone: str
    is_evacuated: bool
    is_new: bool
    after_ms: int


@dataclass(frozen=True)
class EvacuationsInForce(Event):
    """The servers of these zones get no new requests from this instance any more."""

    part: ClassVar[str] = "dispatch"
    text: ClassVar[str] = "The evacuated zones have changed."
    zones: tuple[str, ...]


@dataclass(frozen=True)
class CallRefused(Event):
    """A call was refused, or its answer was cut off.

    ``charged_tokens`` is the charge against the usage cap. It, ``route``, ``tier`` and
    ``account`` are empty if the call was refused before they were known. If a
    dispatcher refused the call, ``wait_ms`` is the expected wait, ``open_slots`` and
    ``busy_slots`` are the slots of servers that accept work, and ``waiting`` is the
    length of the queue.
    """

    part: ClassVar[str] = "entry"
    text: ClassVar[str] = "A call was refused or its answer was cut off."
    request: str
    status: int
    reason: str
    execution: str
    detail: str
    retry_after_ms: int | None
    after_ms: int
    cut: bool
    route: str | None = None
    tier: int | None = None
    account: str | None = None
    charged_tokens: int = 0
    wait_ms: int = 0
    open_slots: int = 0
    busy_slots: int = 0
    waiting: int = 0


@dataclass(frozen=True)
class CallEnded(Event):
    """A call ended early: the caller disconnected or this instance stopped."""

    part: ClassVar[str] = "entry"
    text: ClassVar[str] = "A call ended before its answer was complete."
    request: str
    route: str | None
    tier: int | None
    account: str | None
    after_ms: int
    cut: bool


EVENTS: tuple[type[Event], ...] = (
    InstanceStarted,
    InstanceStopping,
    InstanceStopped,
    ControlChanged,
    ReplicaStarted,
    QuorumChanged,
    VoteRefused,
    ControlDiskReopened,
    ControlLogCut,
    ControlRecovered,
    TableInForce,
    LeaderChanged,
    ServerLeaving,
    DispatcherLost,
    DispatcherRegained,
    SlotsBorrowed,
    ResourceUsage,
    StreamFailed,
    TryEnded,
    PathLost,
    PathRegained,
    OverloadToleranceChanged,
    RateLimitChanged,
    ServerPaced,
    InstanceCutOff,
    ServerCold,
    ServerNoticed,
    PartIsolated,
    RequestIsolated,
    PartReadmitted,
    ZoneOrdered,
    EvacuationsInForce,
    CallRefused,
    CallEnded,
)


def log_event(event: Event) -> None:
    """Log an event at INFO level.

    Field values are not copied: they do not change after the call.
    """
    logger.bind(part=event.part, event=type(event).__name__, **vars(event)).info(
        event.text
    )


def describe_events() -> str:
    """Return a Markdown table of all events and their fields."""
    lines = ["| event | part | meaning | fields |", "| --- | --- | --- | --- |"]
    for kind in EVENTS:
        meaning = " ".join((kind.__doc__ or "").split())
        names = ", ".join(f"`{item.name}`" for item in fields(kind))
        lines.append(f"| `{kind.__name__}` | {kind.part} | {meaning} | {names} |")
    return "\n".join(lines)
