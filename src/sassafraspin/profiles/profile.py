"""The profile: how requests of one kind are treated."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict, Field

from sassafraspin.settings import Name

__all__ = ["LOWEST_TIER", "Profile"]

LOWEST_TIER = 3
"""Tiers are numbered from 0, the most urgent, to this one."""


@dataclass(frozen=True)
class Profile:
    """A named, versioned rule for requests, kept in the operators' version control.

    Parameters
    ----------
    name : str
        Name that requests refer to.
    version : int
        Version of this content; a change names the next one.
    service : str
        Service that the requests go to.
    tier : int
        Urgency from 0, the highest tier, to ``LOWEST_TIER``.
    deadline_ms : int
        Time from arrival to the whole answer, in milliseconds.
    answer_tokens : int
        Typical length of an answer, in tokens; a first guess that is corrected by
        what is observed.
    idempotent : bool
        Whether a call may run more than once.
    cancellable : bool
        Whether a running request may be cancelled to make room for a higher tier.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Name
    version: Annotated[int, Field(ge=1, le=1_000_000_000)]
    service: Name
    tier: Annotated[int, Field(ge=0, le=LOWEST_TIER)]
    deadline_ms: Annotated[int, Field(ge=1, le=3_600_000)]
    answer_tokens: Annotated[int, Field(ge=1, le=1_000_000)] = 256
    idempotent: bool = False
    cancellable: bool = False
