"""What a backend server tells about itself."""

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import ConfigDict, Field

from sassafraspin.settings import Address, Name

__all__ = ["Announcement", "CacheReport", "LoadReport"]

_STRICT = ConfigDict(extra="forbid")

_Count = Annotated[int, Field(ge=0, le=1_000_000_000)]


@dataclass(frozen=True)
class LoadReport:
    """Load as the backend server saw it some time ago.

    Parameters
    ----------
    age_ms : int
        Age of the figures when they were sent, in milliseconds.
    running, waiting : int
        Requests being computed and waiting.
    kv_tokens_used : int
        Tokens held in KV memory.
    """

    __pydantic_config__ = _STRICT

    age_ms: _Count = 0
    running: _Count = 0
    waiting: _Count = 0
    kv_tokens_used: _Count = 0


@dataclass(frozen=True)
class CacheReport:
    """Changes of the prefix cache since the report before.

    Parameters
    ----------
    sequence : int
        Number of this report; a gap means that reports were lost.
    added, removed : tuple of int
        Hashes of prompt prefixes, one for each whole block.
    """

    __pydantic_config__ = _STRICT

    sequence: _Count = 0
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass(frozen=True)
class Announcement:
    """A backend server announces itself, repeated within its time to live.

    Parameters
    ----------
    id : str
        Name of the backend server.
    incarnation : int
        Number that grows with each start.
    service : str
        Service it belongs to.
    address : Address
        Where it takes requests.
    availability_zone : str
        Where it runs.
    hardware : str
        Hardware generation.
    versions : tuple of str
        Versions that it has loaded.
    ttl_ms : int
        Time after which it counts as gone unless it announces itself again.
    slots : int
        Requests that it computes at once.
    kv_tokens : int
        KV memory, in tokens; 0 for plain services.
    prefill_tokens_per_second, decode_tokens_per_second : float
        Nominal speed; a first guess that is corrected by what is observed.
    leaving : bool
        Whether it takes no new requests.
    sequence : int
        Number that grows with each announcement of one incarnation, so that a late
        one is told from a new one; 0 if the backend server does not count.
    """

    __pydantic_config__ = _STRICT

    id: Name
    incarnation: Annotated[int, Field(ge=0, lt=2**63)]
    service: Name
    address: Address
    availability_zone: Name
    hardware: Name
    versions: Annotated[tuple[Name, ...], Field(min_length=1, max_length=16)]
    ttl_ms: Annotated[int, Field(ge=100, le=60_000)]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    kv_tokens: _Count = 0
    prefill_tokens_per_second: Annotated[float, Field(gt=0, le=1e9)] = 10_000.0
    decode_tokens_per_second: Annotated[float, Field(gt=0, le=1e6)] = 40.0
    leaving: bool = False
    load: LoadReport = field(default_factory=LoadReport)
    cache: CacheReport = field(default_factory=CacheReport)
    sequence: _Count = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return what newer announcements of a backend server are greater by."""
        return self.incarnation, self.sequence
