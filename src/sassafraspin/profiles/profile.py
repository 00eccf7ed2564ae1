"""Profile: scheduling parameters for one kind of request."""

from dataclasses import dataclass
from typing import Annotated

from sassafraspin.settings import FORBID_UNKNOWN_FIELDS, Constraint, Name

__all__ = ["LOWEST_TIER", "Profile"]

LOWEST_TIER = 3
"""Tiers are numbered from 0, the highest priority, to this value."""


@dataclass(frozen=True)
class Profile:
    """Named, versioned scheduling parameters, kept in the operators' version control.

    Parameters
    ----------
    name : str
        Name that requests refer to.
    version : int
        Version of the profile; each change increases it by one.
    service : str
        Service that the requests go to.
    tier : int
        Priority from 0, the highest tier, to ``LOWEST_TIER``.
    deadline_ms : int
        Time from arrival to the complete answer, in milliseconds.
    answer_tokens : int
        Initial estimate of the answer length, in tokens; corrected by observed
        lengths.
    idempotent : bool
        Whether a request may be executed more than once.
    cancellable : bool
        Whether a running request may be cancelled to make room for a higher tier.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: Name
    version: Annotated[int, Constraint(ge=1, le=1_000_000_000)]
    service: Name
    tier: Annotated[int, Constraint(ge=0, le=LOWEST_TIER)]
    deadline_ms: Annotated[int, Constraint(ge=1, le=3_600_000)]
    answer_tokens: Annotated[int, Constraint(ge=1, le=1_000_000)] = 256
    idempotent: bool = False
    cancellable: bool = False
