"""Data classes of the daemon settings, with their validation constraints."""

import ipaddress
from dataclasses import dataclass, field
from typing import Annotated, Literal

from sassafraspin.settings.constraints import (
    FORBID_UNKNOWN_FIELDS,
    Checked,
    Constraint,
)

__all__ = [
    "AccessSettings",
    "Address",
    "ClientAccountSettings",
    "ControlSettings",
    "DaemonSettings",
    "DispatchSettings",
    "HttpLimits",
    "InstanceSettings",
    "LedgerSettings",
    "ListenSettings",
    "Name",
    "NamedAddress",
    "OperatorSettings",
    "ServiceSettings",
    "TelemetrySettings",
]


def _check_ip_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Name = Annotated[
    str, Constraint(min_length=1, max_length=63, pattern=r"^[a-z0-9][a-z0-9._-]*$")
]
_IpAddress = Annotated[str, Checked(_check_ip_address)]
_Port = Annotated[int, Constraint(ge=1, le=65535)]
_Sha256 = Annotated[str, Constraint(pattern=r"^[0-9a-f]{64}$")]
_Milliseconds = Annotated[int, Constraint(ge=1, le=3_600_000)]
_Count = Annotated[int, Constraint(ge=1, le=1_000_000_000)]


@dataclass(frozen=True)
class Address:
    """An IP address and a TCP port."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    host: _IpAddress
    port: _Port


@dataclass(frozen=True)
class NamedAddress:
    """The peer address of a named instance."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    host: _IpAddress
    port: _Port


@dataclass(frozen=True)
class InstanceSettings:
    """Name and location of one instance."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    region: Name
    availability_zone: Name


@dataclass(frozen=True)
class ListenSettings:
    """Addresses on which a daemon listens."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    callers: Address
    operators: Address
    peers: Address


@dataclass(frozen=True)
class ControlSettings:
    """The control quorum, and the timing of its heartbeats, leases and elections.

    An instance with ``spare`` set may replace a control instance that has not
    responded for ``replace_after_ms``. If ``replace_after_ms`` is not set, only the
    listed instances can be part of the quorum. ``data_folder`` is required on control
    instances and spares; it is relative to the folder of the settings file. The log is
    compacted into a snapshot after ``snapshot_after_entries`` applied entries, or
    once its entries take ``snapshot_after_bytes``.
    ``voters`` is the size of the quorum, by default the number of ``instances``.
    After ``lost_after_ms`` without an answer a control instance counts as lost if the
    others have damaged logs; if it is not set, they wait for it.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    instances: Annotated[
        tuple[NamedAddress, ...], Constraint(min_length=1, max_length=7)
    ]
    data_folder: str | None = None
    heartbeat_interval_ms: _Milliseconds = 500
    member_lease_ms: _Milliseconds = 3000
    election_timeout_ms: _Milliseconds = 1000
    snapshot_after_entries: _Count = 1000
    snapshot_after_bytes: _Count = 4 * 1024 * 1024
    spare: bool = False
    replace_after_ms: _Milliseconds | None = None
    lost_after_ms: _Milliseconds | None = None
    voters: Annotated[int, Constraint(ge=1, le=7)] | None = None


@dataclass(frozen=True)
class ClientAccountSettings:
    """A client account, its token hash and its limits across all instances.

    A request that is the only one in flight may exceed ``tokens_in_flight``.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    token_sha256: _Sha256
    default_profile: Name
    requests_per_second: Annotated[float, Constraint(gt=0, le=1e6)] = 1000.0
    tokens_in_flight: _Count = 10_000_000


@dataclass(frozen=True)
class OperatorSettings:
    """An operator and the hash of their token."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    token_sha256: _Sha256


@dataclass(frozen=True)
class AccessSettings:
    """Credentials of client accounts, operators and backend servers."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    client_accounts: tuple[ClientAccountSettings, ...]
    operators: tuple[OperatorSettings, ...]
    backend_server_token_sha256: _Sha256


@dataclass(frozen=True)
class ServiceSettings:
    """A service: a group of backend servers that handle the same kind of call.

    ``path_prefix`` applies to plain services only: calls whose path starts with it
    are routed to this service.

    ``loads_versions`` states whether backend servers are instructed to load the new
    version of a move. They are instructed one at a time, at least
    ``weight_load_interval_ms`` apart. If they do not check fencing tokens
    (``checks_fencing``), a new dispatcher instructs them only after the leases of
    earlier dispatchers have expired.

    A server that says that it is slow after its start gets at most ``cold_rate``
    requests a second from all instances together; 0 for no limit. ``cache_tokens`` is
    the size of the prefix cache of one server, 0 if it is not known.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    kind: Literal["model", "plain"]
    path_prefix: Annotated[str, Constraint(pattern=r"^/[A-Za-z0-9._/-]*$")] | None = (
        None
    )
    initial_version: Name = "v1"
    checks_fencing: bool = False
    weight_load_interval_ms: _Milliseconds = 500
    loads_versions: bool = True
    cold_rate: Annotated[float, Constraint(ge=0, le=1e6)] = 0.0
    cache_tokens: Annotated[int, Constraint(ge=0, le=1_000_000_000)] = 0


@dataclass(frozen=True)
class HttpLimits:
    """Size limits, connection limits and timeouts of an HTTP server.

    ``memory_bytes`` limits what requests and responses hold together. Beyond it,
    requests wait until their body fits or their time is over. ``control_connections``
    limits the connections of operators and backend servers, and ``connections`` those
    of callers.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    header_bytes: Annotated[int, Constraint(ge=1024, le=1_048_576)] = 16_384
    body_bytes: Annotated[int, Constraint(ge=1024, le=268_435_456)] = 8_388_608
    connections: _Count = 1024
    control_connections: _Count = 1024
    header_timeout_ms: _Milliseconds = 5_000
    body_timeout_ms: _Milliseconds = 30_000
    idle_timeout_ms: _Milliseconds = 60_000
    write_timeout_ms: _Milliseconds = 20_000
    memory_bytes: _Count = 268_435_456


@dataclass(frozen=True)
class LedgerSettings:
    """Replication and retention of request records.

    A record expires ``record_window_ms`` after its last change; a claimed one whose
    entry instance is still a member becomes unknown first. A call is refused if its key
    is not claimed within ``claim_timeout_ms``, or if the primary of the key already has
    ``records`` records.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    backup_copies: Annotated[int, Constraint(ge=0, le=3)] = 2
    record_window_ms: _Milliseconds = 600_000
    claim_timeout_ms: _Milliseconds = 1_500
    records: _Count = 200_000


@dataclass(frozen=True)
class DispatchSettings:
    """Timeouts and limits of dispatching.

    A request is refused if it has waited for ``slot_timeout_ms`` and no dispatcher is
    known. It must be sent within ``grant_use_within_ms`` of the grant of its slot. The
    queue of a service holds at most ``waiting_requests`` requests; beyond that, the
    lowest tiers are shed or preempted.
    ``connect_timeout_ms`` and ``progress_timeout_ms`` limit the opening of a connection
    to a backend server, and each read from or write to it.

    An entry instance repeats a slot request that a dispatcher has not answered within
    ``slot_repeat_ms``. It fails over to a standby, if it has one, when the dispatcher
    has not responded for ``standby_after_ms``.

    Retries on another backend server are limited to the share ``retry_share`` of the
    requests within ``retry_window_ms``, plus ``retry_allowance``.

    Instances keep a backend server that no dispatcher has confirmed for
    ``directory_keep_ms``. ``directory_interval_ms`` has no effect; it is accepted for
    settings files of earlier builds. Usage caps apply to any period of
    ``cap_window_ms`` and may be exceeded by the share ``cap_overshoot``.

    If ``paces_servers`` is set, a backend server that has just started or is back gets
    few requests at first, and more as it answers in time.

    A part of a prompt is expected to be used again within ``reuse_window_ms``. Servers
    that hold it are preferred for that time.

    If ``lends_slots`` is set, instances without a dispatcher use each other's unused
    slots.

    ``zone_regions`` maps availability zones to regions, for requests that may only be
    served in some regions.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    slot_timeout_ms: _Milliseconds = 2_000
    grant_use_within_ms: _Milliseconds = 1_000
    connect_timeout_ms: _Milliseconds = 1_000
    progress_timeout_ms: _Milliseconds = 10_000
    waiting_requests: _Count = 10_000
    slot_repeat_ms: _Milliseconds = 250
    standby_after_ms: _Milliseconds = 300
    directory_interval_ms: _Milliseconds = 5_000
    directory_keep_ms: _Milliseconds = 30_000
    cap_window_ms: _Milliseconds = 8_000
    cap_overshoot: Annotated[float, Constraint(ge=0, le=1)] = 0.0
    retry_share: Annotated[float, Constraint(ge=0, le=1)] = 0.2
    retry_allowance: Annotated[int, Constraint(ge=0, le=1_000_000)] = 50
    retry_window_ms: _Milliseconds = 10_000
    zone_regions: dict[Name, Name] = field(default_factory=dict)
    paces_servers: bool = False
    reuse_window_ms: _Milliseconds = 10_000
    lends_slots: bool = False


@dataclass(frozen=True)
class TelemetrySettings:
    """Log level, log format and the address of the statsd server."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    log_format: Literal["text", "json"] = "text"
    statsd: Address | None = None


@dataclass(frozen=True)
class DaemonSettings:
    """All settings of one daemon.

    At shutdown, readiness checks fail for ``readiness_grace_ms`` before calls are
    drained; calls still in flight after ``drain_timeout_ms`` are aborted.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    instance: InstanceSettings
    listen: ListenSettings
    control: ControlSettings
    access: AccessSettings
    services: Annotated[tuple[ServiceSettings, ...], Constraint(min_length=1)]
    http: HttpLimits = field(default_factory=HttpLimits)
    ledger: LedgerSettings = field(default_factory=LedgerSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    drain_timeout_ms: _Milliseconds = 30_000
    readiness_grace_ms: Annotated[int, Constraint(ge=0, le=600_000)] = 2_000

    @property
    def has_control_role(self) -> bool:
        """Return whether this instance is a control instance or a spare."""
        names = (address.name for address in self.control.instances)
        return self.control.spare or self.instance.name in names
