"""Status documents of the operator API."""

from dataclasses import dataclass

from sassafraspin.dispatch.pool import PoolStatus
from sassafraspin.membership import View
from sassafraspin.moves import Move
from sassafraspin.profiles import ProfileChange
from sassafraspin.telemetry import HistogramSummary

__all__ = ["BackendStatus", "ControlStatus", "InstanceStatus"]


@dataclass(frozen=True)
class ControlStatus:
    """Control replica state of one instance."""

    role: str
    term: int
    leader: str | None
    commit_index: int
    voters: tuple[str, ...]
    is_voter: bool
    failure: str | None


@dataclass(frozen=True)
class BackendStatus:
    """State of a backend server as known to its dispatcher.

    ``leaving`` is true if the server announces that it accepts no new requests;
    ``ejected`` if it gets none for a while because of recent failures. ``pace`` is the
    number of requests that it may have in flight, and ``cold_ms`` how much longer it is
    slow after its start. ``held_tokens`` is the estimated size of the prompt parts in
    its prefix cache, and ``overhead_ms`` the part of the time to first token that does
    not depend on the prompt.
    """

    id: str
    service: str
    hardware: str
    versions: tuple[str, ...]
    busy_slots: int
    slots: int
    accepts_work: bool
    leaving: bool
    ejected: bool
    prefill_tokens_per_second: float
    decode_tokens_per_second: float
    pace: int = 0
    cold_ms: int = 0
    held_tokens: int = 0
    overhead_ms: int = 0


@dataclass(frozen=True)
class InstanceStatus:
    """State of one instance.

    ``configuration_age_ms`` is the time since the leader last confirmed that the
    configuration is current, ``None`` if it has not done so since the start. ``fresh``
    is true if the age is at most four heartbeat intervals. ``records`` is the number of
    stored request records, and ``synced_view`` the newest view in which this instance
    has synchronized them.
    """

    instance: str
    incarnation: int
    ready: bool
    draining: bool
    lease_held: bool
    in_flight: int
    configuration_index: int
    configuration_age_ms: int | None
    fresh: bool
    peer_bytes_sent: int
    peer_bytes_received: int
    synced_view: int
    records: int
    view: View
    control: ControlStatus | None
    pools: tuple[PoolStatus, ...]
    backend_servers: tuple[BackendStatus, ...]
    moves: tuple[Move, ...]
    profiles: tuple[ProfileChange, ...]
    counters: dict[str, int]
    histograms: tuple[HistogramSummary, ...]
