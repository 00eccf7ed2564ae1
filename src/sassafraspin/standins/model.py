"""Settings of the stand-ins for backend servers."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from sassafraspin.settings import Address, Name

__all__ = ["AnnouncerSettings", "EngineSettings", "FaultSettings", "ServiceSettings"]

_FORBID_UNKNOWN_FIELDS = ConfigDict(extra="forbid")
_Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]
_Share = Annotated[float, Field(ge=0, le=1)]


@dataclass(frozen=True)
class FaultSettings:
    """A way in which one version is bad.

    Parameters
    ----------
    version : str
        Version that has the fault.
    kind : {"fail", "slow"}
        Whether requests fail or take longer.
    share : float
        Share of the requests that it hits.
    factor : float
        By how much a slow request takes longer.
    after_requests : int
        Requests of the version that are served well first.
    running_from : int
        Least number of running requests at which it shows.
    route : str or None
        Path that it is limited to.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    version: Name
    kind: Literal["fail", "slow"]
    share: _Share = 1.0
    factor: Annotated[float, Field(ge=1, le=1000)] = 1.0
    after_requests: Annotated[int, Field(ge=0)] = 0
    running_from: Annotated[int, Field(ge=0)] = 0
    route: str | None = None


@dataclass(frozen=True)
class AnnouncerSettings:
    """Where a stand-in announces itself, and how often."""

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    targets: Annotated[tuple[Address, ...], Field(min_length=1)]
    token: str
    ttl_ms: Annotated[int, Field(ge=100, le=60_000)] = 3_000
    interval_ms: Annotated[int, Field(ge=10, le=60_000)] = 500
    report_lag_ms: _Milliseconds = 0
    cache_report_loss: _Share = 0.0


@dataclass(frozen=True)
class EngineSettings:
    """A stand-in model engine.

    Speeds are in tokens a second: prefill for one request at a time, decode for one
    stream alone; each further stream slows all of them by ``crowding``.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    id: Name
    service: Name
    listen: Address
    availability_zone: Name
    announcer: AnnouncerSettings
    hardware: Name = "gen1"
    versions: Annotated[tuple[Name, ...], Field(min_length=1)] = ("v1",)
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    kv_tokens: Annotated[int, Field(ge=0)] = 100_000
    prefill_tokens_per_second: Annotated[float, Field(gt=0)] = 10_000.0
    decode_tokens_per_second: Annotated[float, Field(gt=0)] = 100.0
    crowding: Annotated[float, Field(ge=0, le=10)] = 0.05
    cache_blocks: Annotated[int, Field(ge=0)] = 10_000
    load_ms: _Milliseconds = 500
    max_versions: Annotated[int, Field(ge=1, le=16)] = 2
    checks_fencing: bool = True
    faults: tuple[FaultSettings, ...] = ()
    seed: int = 1


@dataclass(frozen=True)
class ServiceSettings:
    """A stand-in plain service that counts how often each call was executed."""

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    id: Name
    service: Name
    listen: Address
    availability_zone: Name
    announcer: AnnouncerSettings
    versions: Annotated[tuple[Name, ...], Field(min_length=1)] = ("v1",)
    slots: Annotated[int, Field(ge=1, le=10_000)] = 32
    answer_ms: _Milliseconds = 20
    faults: tuple[FaultSettings, ...] = ()
    seed: int = 1
