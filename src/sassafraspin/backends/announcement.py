"""Announcements that backend servers send about themselves."""

from dataclasses import dataclass, field
from typing import Annotated

from sassafraspin.settings import FORBID_UNKNOWN_FIELDS, Address, Constraint, Name

__all__ = ["Announcement", "CacheReport", "LoadReport"]

_Count = Annotated[int, Constraint(ge=0, le=1_000_000_000)]


@dataclass(frozen=True)
class LoadReport:
    """Load of a backend server, as measured by itself.

    Parameters
    ----------
    age_ms : int
        Age of the measurement when it was sent, in milliseconds.
    running, waiting : int
        Number of requests being executed and waiting.
    kv_tokens_used : int
        Number of tokens in KV memory.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    age_ms: _Count = 0
    running: _Count = 0
    waiting: _Count = 0
    kv_tokens_used: _Count = 0


@dataclass(frozen=True)
class CacheReport:
    """Changes of the prefix cache since the previous report.

    Parameters
    ----------
    sequence : int
        Sequence number of the report; a gap means that reports were lost.
    added, removed : tuple of int
        Hashes of prompt prefixes, one for each complete block.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    sequence: _Count = 0
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass(frozen=True)
class Announcement:
    """Announcement of a backend server, repeated before its time to live ends.

    Parameters
    ----------
    id : str
        Name of the backend server.
    incarnation : int
        Number that increases with each start of the backend server.
    service : str
        Service that it belongs to.
    address : Address
        Address at which it accepts requests.
    availability_zone : str
        Availability zone in which it runs.
    hardware : str
        Hardware generation.
    versions : tuple of str
        Versions that it has loaded.
    ttl_ms : int
        Time after which it expires unless it announces itself again.
    slots : int
        Maximum number of concurrent requests.
    kv_tokens : int
        Capacity of the KV memory, in tokens; 0 for services that are not model engines.
    prefill_tokens_per_second, decode_tokens_per_second : float
        Nominal speed; initial estimate that is corrected by measurements.
    leaving : bool
        Whether it accepts no new requests.
    load : LoadReport
        Load, as measured by itself.
    cache : CacheReport
        Changes of its prefix cache.
    sequence : int
        Number that increases with each announcement of an incarnation, so that delayed
        announcements are recognised; 0 if the backend server does not number them.
    rate_limit : float or None
        Requests a second that it takes from all instances together, as published by
        its dispatcher; servers name it in their answers, not in announcements.
    cold_ms : int
        How much longer the server is slow after its start, in milliseconds; 0 if it is
        not cold.
    pace : int
        Requests in flight that its dispatcher allows, as published by the dispatcher; 0
        if it allows all slots.
    overload_tolerance : float or None
        Refusals a second that it tolerates from all instances together, as published
        by its dispatcher; ``None`` if it has not named any number in its answers.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    id: Name
    incarnation: Annotated[int, Constraint(ge=0, lt=2**63)]
    service: Name
    address: Address
    availability_zone: Name
    hardware: Name
    versions: Annotated[tuple[Name, ...], Constraint(min_length=1, max_length=16)]
    ttl_ms: Annotated[int, Constraint(ge=100, le=60_000)]
    slots: Annotated[int, Constraint(ge=1, le=10_000)]
    kv_tokens: _Count = 0
    prefill_tokens_per_second: Annotated[float, Constraint(gt=0, le=1e9)] = 10_000.0
    decode_tokens_per_second: Annotated[float, Constraint(gt=0, le=1e6)] = 40.0
    leaving: bool = False
    load: LoadReport = field(default_factory=LoadReport)
    cache: CacheReport = field(default_factory=CacheReport)
    sequence: _Count = 0
    rate_limit: Annotated[float, Constraint(gt=0)] | None = None
    cold_ms: _Count = 0
    pace: _Count = 0
    overload_tolerance: Annotated[float, Constraint(ge=0)] | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key by age of the announcements of one backend server.

        An announcement with a lower key is outdated.
        """
        return self.incarnation, self.sequence
