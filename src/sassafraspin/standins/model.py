"""Settings of the stand-ins for backend servers."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from sassafraspin.settings import Address, Name

__all__ = [
    "AnnouncerSettings",
    "EngineSettings",
    "FaultSettings",
    "PlainServiceSettings",
]

_FORBID_UNKNOWN_FIELDS = ConfigDict(extra="forbid")
_Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]
_Share = Annotated[float, Field(ge=0, le=1)]


@dataclass(frozen=True)
class FaultSettings:
    """A fault injected into one version.

    Parameters
    ----------
    version : str
        Version that has the fault.
    kind : {"fail", "slow"}
        Whether affected requests fail or are slow.
    share : float
        Share of the requests that are affected.
    factor : float
        Factor on the duration of slow requests.
    after_requests : int
        Number of requests of the version that are served before the fault begins.
    running_from : int
        Minimum number of running requests for the fault to apply.
    route : str or None
        Request path to which the fault is limited.
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
    """Targets, token and timing of the announcements of a stand-in.

    ``report_lag_ms`` is the minimum age of what the load and cache reports state, and
    ``cache_report_loss`` the share of cache reports that are lost.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    targets: Annotated[tuple[Address, ...], Field(min_length=1)]
    token: str
    ttl_ms: Annotated[int, Field(ge=100, le=60_000)] = 3_000
    interval_ms: Annotated[int, Field(ge=10, le=60_000)] = 500
    report_lag_ms: _Milliseconds = 0
    cache_report_loss: _Share = 0.0


@dataclass(frozen=True)
class EngineSettings:
    """Settings of a stand-in model engine.

    ``kv_tokens`` is the size of the KV memory, 0 for no limit, and ``cache_blocks`` the
    number of prompt blocks that stay cached. Every order takes ``load_ms``; a load
    order unloads the least recently used versions beyond ``max_versions``.
    ``prefill_tokens_per_second`` applies to each request.
    ``decode_tokens_per_second`` applies to a single stream; each further stream adds
    the share ``crowding`` to the time per token of all streams.
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
class PlainServiceSettings:
    """Settings of a stand-in plain service.

    ``slots`` is announced but not enforced.
    """

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
