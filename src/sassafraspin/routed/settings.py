"""Settings of a daemon for declared routes."""

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
    """Addresses that a daemon listens on."""

    callers: Address
    readiness: Address
    control: Address
    peers: Address


@dataclass(frozen=True)
class RoutedSettings:
    """All settings of one daemon for declared routes.

    Parameters
    ----------
    instance : InstanceSettings
        Name and place.
    listen : RoutedListen
        Addresses.
    seeds : tuple of Address
        Peer addresses of a few instances.
    founds : bool
        Whether this instance chooses the first quorum; at most one may.
    may_found : bool
        Whether this instance may be part of the first quorum.
    tolerated_losses : int
        Control instances that may be lost at the same time.
    data_folder : Path or None
        Folder on a disk, ``None`` without one.
    control : ControlSettings
        Timings of the quorum and the leases; its instances are found at run time.
    dispatch : DispatchSettings
        Timings of dispatch.
    http : HttpLimits
        Bounds on callers until a routing table sets others.
    founding_settle_ms : int
        Time for which the founder waits for the other instances of a first start.
    announcement_ttl_ms : int
        Time after which a silent backend server counts as gone.
    readiness_grace_ms : int
        Time for which a stopping instance still accepts connections.
    drain_timeout_ms : int
        Time after that within which requests in flight may end.
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
