"""Settings of a load run."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from sassafraspin.profiles import LOWEST_TIER
from sassafraspin.settings import Address, Name

__all__ = ["BurstSettings", "LoadSettings", "RequestClass", "TokenLengths"]

_FORBID_UNKNOWN_FIELDS = ConfigDict(extra="forbid")


@dataclass(frozen=True)
class TokenLengths:
    """Log-normal distribution of lengths in tokens, between 1 and ``most``."""

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    median: Annotated[int, Field(ge=1, le=1_000_000)]
    sigma: Annotated[float, Field(ge=0, le=5)] = 0.0
    most: Annotated[int, Field(ge=1, le=1_000_000)] = 100_000


@dataclass(frozen=True)
class RequestClass:
    """One class of requests in the mix.

    Parameters
    ----------
    name : str
        Name of the class. It seeds the text of the shared prefixes.
    weight : float
        Share of the requests, relative to the other classes.
    tier : int
        Tier under which the report counts the class.
    profile : str
        Profile named in the request.
    account_token : str
        Token of the client account.
    deadline_ms : int
        Time from the first attempt within which a complete answer counts as good.
        No retry starts later than that.
    path : str
        Request path.
    kind : {"chat", "plain"}
        Whether the body is a chat completion or a call of a plain service.
    prompt, answer : TokenLengths
        Lengths of the prompt, without its shared prefix, and of the answer. A plain
        call has neither.
    streamed : bool
        Whether the answer of a chat completion is streamed.
    keyed : bool
        Whether the request carries an idempotency key.
    shared_prefixes : int
        Number of distinct prefixes, one of which is put before each prompt; 0 for
        none.
    prefix_tokens : int
        Length of each shared prefix.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    name: Name
    weight: Annotated[float, Field(gt=0)]
    tier: Annotated[int, Field(ge=0, le=LOWEST_TIER)]
    profile: Name
    account_token: str
    deadline_ms: Annotated[int, Field(ge=1)]
    path: str = "/v1/chat/completions"
    kind: Literal["chat", "plain"] = "chat"
    prompt: TokenLengths = field(default_factory=lambda: TokenLengths(32))
    answer: TokenLengths = field(default_factory=lambda: TokenLengths(16))
    streamed: bool = True
    keyed: bool = True
    shared_prefixes: Annotated[int, Field(ge=0, le=10_000)] = 0
    prefix_tokens: Annotated[int, Field(ge=0, le=100_000)] = 0


@dataclass(frozen=True)
class BurstSettings:
    """Periodic bursts in which the request rate is multiplied by ``factor``.

    A burst of ``length_seconds`` starts every ``every_seconds``, the first one at the
    start of the run.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    every_seconds: Annotated[float, Field(gt=0)]
    length_seconds: Annotated[float, Field(gt=0)]
    factor: Annotated[float, Field(ge=1, le=1000)]


@dataclass(frozen=True)
class LoadSettings:
    """Settings of an open-loop load run.

    Parameters
    ----------
    targets : tuple of Address
        Caller addresses of the entry instances, used round-robin.
    seconds : float
        Duration of the run.
    requests_per_second : float
        Mean rate of the Poisson arrivals outside bursts.
    classes : tuple of RequestClass
        Request classes of the mix.
    burst : BurstSettings or None
        Bursts, or ``None`` for a constant rate.
    retries : int
        Maximum number of retries of a request that was not run or whose connection was
        lost. Each waits for the retry delay that the last refusal stated, or 0.2 s if
        none did.
    engines, services : tuple of Address
        Stand-ins whose execution counts are read at the end, and for engines also their
        totals. Unreachable ones are left out.
    seed : int
        Random seed of the schedule.
    """

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    targets: Annotated[tuple[Address, ...], Field(min_length=1)]
    seconds: Annotated[float, Field(gt=0, le=86_400)]
    requests_per_second: Annotated[float, Field(gt=0, le=100_000)]
    classes: Annotated[tuple[RequestClass, ...], Field(min_length=1)]
    burst: BurstSettings | None = None
    retries: Annotated[int, Field(ge=0, le=20)] = 0
    engines: tuple[Address, ...] = ()
    services: tuple[Address, ...] = ()
    seed: int = 1
