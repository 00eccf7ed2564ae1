"""Settings of a daemon that serves a routing table."""

from dataclasses import dataclass, field
from pathlib import Path

from sassafraspin.settings import (
    Address,
    ControlSettings,
    DispatchSettings,
    HttpLimits,
    InstanceSettings,
)

__all__ = ["RoutedListen", "RoutedSettings"]


@dataclass(frozen=True)
class RoutedListen:
    """Listening addresses of a daemon.

    ``tunnels`` accepts the tunnels of other instances to backend servers; its port is
    the same on all instances. Without it there are no tunnels in either direction.
    """

    callers: Address
    readiness: Address
    control: Address
    peers: Address
    tunnels: Address | None = None


@dataclass(frozen=True)
class RoutedSettings:
    """Settings of one daemon that serves a routing table.

    Parameters
    ----------
    instance : InstanceSettings
        Name, region and availability zone.
    listen : RoutedListen
        Listening addresses.
    seeds : tuple of Address
        Peer addresses of a few instances, used for discovery.
    founds : bool
        Whether this instance bootstraps the quorum; at most one may.
    may_found : bool
        Whether this instance may join the initial quorum.
    tolerated_losses : int
        Number of control instances that may fail at the same time.
    data_folder : Path or None
        Folder for durable data, ``None`` without a disk.
    control : ControlSettings
        Timings of the quorum and the leases; discovery fills in the instances.
    dispatch : DispatchSettings
        Settings of dispatch.
    http : HttpLimits
        Limits for callers until a routing table overrides them.
    founding_settle_ms : int
        How long the bootstrapping instance waits for the others.
    announcement_ttl_ms : int
        Lifetime of a backend server's announcement.
    readiness_grace_ms : int
        How long a stopping instance still accepts connections.
    drain_timeout_ms : int
        Time limit for requests in flight after the grace period.
    max_tunnels : int
        Largest number of tunnels of other instances at the same time.
    """

    instance: InstanceSettings
    listen: RoutedListen
    seeds: tuple[Address, ...]
    founds: bool
    may_found: bool
    tolerated_losses: int
    data_folder: Path | None
    control: ControlSettings
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    http: HttpLimits = field(default_factory=HttpLimits)
    founding_settle_ms: int = 1_000
    announcement_ttl_ms: int = 4_000
    readiness_grace_ms: int = 2_500
    drain_timeout_ms: int = 5_000
    max_tunnels: int = 128
