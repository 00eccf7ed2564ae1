"""Decoder for the platform's TOML settings file."""

import tomllib
from dataclasses import replace
from pathlib import Path

import msgspec

from sassafraspin.errors import InvalidInput, Problem
from sassafraspin.relay import TUNNEL_BYTES
from sassafraspin.routed import RoutedListen, RoutedSettings
from sassafraspin.settings import (
    Address,
    ControlSettings,
    DispatchSettings,
    HttpLimits,
    InstanceSettings,
)

__all__ = ["decode_boot_settings", "load_boot_settings"]

_MS_PER_SECOND = 1000

_EXPIRY_HEARTBEATS = 3.5
"""Lifetime of a registration in heartbeat intervals, so that three may be lost."""

_RETRY_BUDGET_FRACTION = 0.8
"""Fraction of the platform's retry budget that is used. The rest covers retries that
instances allow by themselves while no dispatcher responds."""

_ELECTION_TIMEOUT_MS = 400
"""A lost leader is replaced within twice this time. Heartbeats are sent four times per
timeout, over links with a latency of a few milliseconds."""

_REPLACE_AFTER_MS = 3_000
"""How long a control instance may be unresponsive before it is replaced: longer than a
restart takes, shorter than the time in which another control instance may fail."""

_LOST_FRACTION = 1 / 3
"""Fraction of the time for a recovery, after which an unresponsive control instance
counts as lost; the rest is for the recovery."""

_ABORT_FRACTION = 5 / 6
_ABORT_MARGIN_S = 0.4
"""Requests may be aborted only in the last sixth of the shutdown time, and are aborted
the margin after its start. What remains is for closing connections and exiting."""

_READINESS_GRACE_S = 2.2
"""The load balancer probes once a second and removes an instance after two failures."""

_DISPATCH = DispatchSettings(
    slot_timeout_ms=1_000,
    grant_use_within_ms=500,
    connect_timeout_ms=400,
    progress_timeout_ms=30_000,
    slot_repeat_ms=40,
    standby_after_ms=80,
)
"""Slot repeat and standby times are below the users' strictest objective, 100 ms."""


_RECOVERING_SERVERS = "health"
"""Contract of deployments whose runners fail and come back while they are in use."""

_SHARED_SLOTS = "pool"
"""Contract of deployments whose instances share the runners without a leader too."""

_PARTITIONED_INSTANCES = "recover"
"""Contract of deployments whose instances may be partitioned from all runners."""


_MB = 1_000_000
_PROCESS_MB = 64
"""Memory of a process beside requests and responses: 50 MB at rest, and the state at
the size that docs/CAPACITY.md names."""

_CONNECTIONS_FRACTION = 0.25
"""Largest fraction of the remaining memory for connections that wait or send a header
section; the rest is the budget for requests and responses."""

_CONNECTION_BYTES = 36_864
"""Memory of a connection: 20 kB of objects, and a header section of the usual limit."""

_RESERVED_DESCRIPTORS = 200
"""Descriptors of files."""

_CALLER_FRACTION = 0.33
_CONTROL_FRACTION = 0.33
"""Fractions of the descriptors for connections of callers, and of operators and backend
servers. Each caller may need another one to a backend server."""

_TUNNELS_MEMORY_FRACTION = 0.08
_TUNNELS_DESCRIPTOR_FRACTION = 0.1
_TUNNEL_DESCRIPTORS = 2
_MAX_TUNNELS = 256
"""Largest number of tunnels for partitioned instances."""

_MAX_CONNECTIONS = 2_000
_LEAST_CONNECTIONS = 64


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    control: str


class _MachineLimits(msgspec.Struct):
    memory_mb: int = 300
    max_fds: int = 4_100


class _Tolerance(msgspec.Struct):
    machines: int = 1


class _Bounds(msgspec.Struct):
    grace_s: float = 8.0
    recovery_s: float = 12.0
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50.0
    budget_window_s: float = 10.0
    quota_overshoot: float = 0.0
    quota_window_s: float = 8.0
    reuse_window_s: float = 10.0


class _BootSettings(msgspec.Struct):
    """Fields of the settings file that are read; others are ignored.

    ``node_name`` is the host name, ``seeds`` are ``control`` addresses, ``bootstrap``
    is true only on the first start of the deployment, and ``internal_ports`` are the
    first and last port for messages between instances. ``zones`` maps availability
    zones to regions.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: list[int]
    seeds: list[str]
    bootstrap: bool
    listen: _Listen
    data_dir: str = ""
    heartbeat_ms: int = 1_200
    contracts: list[str] = []
    zones: dict[str, str] = {}
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_boot_settings(path: Path) -> RoutedSettings:
    """Load the settings from a file.

    Raises
    ------
    InvalidInput
        If the file cannot be read, or a field is missing or has the wrong type.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        problem = Problem("$", f"cannot be read: {error.strerror}")
        raise InvalidInput(str(path), (problem,)) from error
    return decode_boot_settings(content, str(path))


def decode_boot_settings(content: bytes, source: str) -> RoutedSettings:
    """Decode the settings from TOML; raises ``InvalidInput``."""
    try:
        document = tomllib.loads(content.decode())
        boot = msgspec.convert(document, _BootSettings)
        return _settings(boot)
    except (ValueError, msgspec.ValidationError) as error:
        raise InvalidInput(source, (Problem("$", str(error)),)) from error


def _settings(boot: _BootSettings) -> RoutedSettings:
    peer_port = boot.internal_ports[0]
    seeds = tuple(Address(_parse_address(item).host, peer_port) for item in boot.seeds)
    own = Address(boot.ip, peer_port)
    listen = RoutedListen(
        _parse_address(boot.listen.front),
        _parse_address(boot.listen.readiness),
        _parse_address(boot.listen.control),
        own,
        _tunnels(boot),
    )
    max_tunnels = 0 if listen.tunnels is None else _max_tunnels(boot.limits)
    folder = Path(boot.data_dir) if boot.data_dir else None
    bounds = boot.bounds
    abort_after_s = _ABORT_FRACTION * bounds.grace_s + _ABORT_MARGIN_S
    drain_s = max(0.5, abort_after_s - _READINESS_GRACE_S)
    return RoutedSettings(
        instance=InstanceSettings(boot.node_name, boot.region, boot.zone),
        listen=listen,
        seeds=seeds,
        founds=boot.bootstrap and seeds[:1] == (own,),
        may_found=boot.bootstrap and folder is not None,
        tolerated_losses=boot.fault_tolerance.machines,
        data_folder=folder,
        control=ControlSettings(
            (),
            election_timeout_ms=_ELECTION_TIMEOUT_MS,
            replace_after_ms=_REPLACE_AFTER_MS,
            lost_after_ms=int(_LOST_FRACTION * bounds.recovery_s * _MS_PER_SECOND),
        ),
        dispatch=replace(
            _DISPATCH,
            cap_window_ms=int(bounds.quota_window_s * _MS_PER_SECOND),
            cap_overshoot=bounds.quota_overshoot,
            retry_share=_RETRY_BUDGET_FRACTION * bounds.retry_budget_ratio,
            retry_allowance=int(_RETRY_BUDGET_FRACTION * bounds.budget_slack),
            retry_window_ms=int(bounds.budget_window_s * _MS_PER_SECOND),
            zone_regions=boot.zones,
            reuse_window_ms=int(bounds.reuse_window_s * _MS_PER_SECOND),
            paces_servers=_RECOVERING_SERVERS in boot.contracts,
            lends_slots=_SHARED_SLOTS in boot.contracts,
        ),
        http=_http_limits(boot.limits, max_tunnels),
        readiness_grace_ms=int(_READINESS_GRACE_S * _MS_PER_SECOND),
        drain_timeout_ms=int(drain_s * _MS_PER_SECOND),
        announcement_ttl_ms=int(_EXPIRY_HEARTBEATS * boot.heartbeat_ms),
        max_tunnels=max_tunnels,
    )


def _tunnels(boot: _BootSettings) -> Address | None:
    """Return the address for tunnels: the second port between instances, if any."""
    port = boot.internal_ports[0] + 1
    if _PARTITIONED_INSTANCES not in boot.contracts or port > boot.internal_ports[1]:
        return None
    return Address(boot.ip, port)


def _max_tunnels(machine: _MachineLimits) -> int:
    descriptors = int(_sockets(machine) * _TUNNELS_DESCRIPTOR_FRACTION)
    return min(
        _MAX_TUNNELS,
        descriptors // _TUNNEL_DESCRIPTORS,
        int(_memory_left(machine) * _TUNNELS_MEMORY_FRACTION) // TUNNEL_BYTES,
    )


def _sockets(machine: _MachineLimits) -> int:
    return max(0, machine.max_fds - _RESERVED_DESCRIPTORS)


def _memory_left(machine: _MachineLimits) -> int:
    """Return the memory for connections, requests, responses and tunnels."""
    left = max(0, machine.memory_mb - _PROCESS_MB) * _MB
    return max(left, _LEAST_CONNECTIONS * _CONNECTION_BYTES * 4)


def _http_limits(machine: _MachineLimits, max_tunnels: int) -> HttpLimits:
    """Return the limits that keep a process within the memory of its machine."""
    left = _memory_left(machine) - max_tunnels * TUNNEL_BYTES
    sockets = _sockets(machine) - max_tunnels * _TUNNEL_DESCRIPTORS
    connections = min(
        _MAX_CONNECTIONS,
        int(sockets * _CALLER_FRACTION),
        int(left * _CONNECTIONS_FRACTION) // _CONNECTION_BYTES,
    )
    connections = max(_LEAST_CONNECTIONS, connections)
    return HttpLimits(
        connections=connections,
        control_connections=max(_LEAST_CONNECTIONS, int(sockets * _CONTROL_FRACTION)),
        memory_bytes=left - connections * _CONNECTION_BYTES,
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
