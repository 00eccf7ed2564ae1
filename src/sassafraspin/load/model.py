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
    """Log-normal lengths in tokens, cut at ``most``."""

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    median: Annotated[int, Field(ge=1, le=1_000_000)]
    sigma: Annotated[float, Field(ge=0, le=5)] = 0.0
    most: Annotated[int, Field(ge=1, le=1_000_000)] = 100_000


@dataclass(frozen=True)
class RequestClass:
    """One kind of request in the mix.

    Parameters
    ----------
    name : str
        Name in the report.
    weight : float
        Share of the requests, relative to the other classes.
    tier : int
        Tier that the report counts the class under.
    profile : str
        Profile that is asked for.
    account_token : str
        Token of the client account.
    deadline_ms : int
        Time within which a whole answer counts as good.
    path : str
        Path of the call.
    kind : {"chat", "plain"}
        Whether the body is a chat completion.
    prompt, answer : TokenLengths
        Lengths of the prompt and the answer.
    streamed : bool
        Whether the answer is streamed.
    keyed : bool
        Whether the request carries an idempotency key.
    shared_prefixes : int
        Number of different prefixes that prompts begin with; 0 for none.
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
    """Times at which the rate is multiplied."""

    __pydantic_config__ = _FORBID_UNKNOWN_FIELDS

    every_seconds: Annotated[float, Field(gt=0)]
    length_seconds: Annotated[float, Field(gt=0)]
    factor: Annotated[float, Field(ge=1, le=1000)]


@dataclass(frozen=True)
class LoadSettings:
    """An open-loop load run.

    Parameters
    ----------
    targets : tuple of Address
        Callers' addresses of the entry instances, taken in turn as a balancer does.
    seconds : float
        Length of the run.
    requests_per_second : float
        Mean rate of the Poisson arrivals outside bursts.
    classes : tuple of RequestClass
        The mix.
    retries : int
        How often a request that was not run, or whose connection was lost, is sent
        again, after the pause that the answer names.
    engines, services : tuple of Address
        Stand-ins that are asked for their work and executions at the end.
    seed : int
        Seed of the schedule.
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
