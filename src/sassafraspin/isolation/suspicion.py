"""How far a signature is suspected of crashes."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["Harmful", "NoSuspects", "Suspected", "Suspects", "Suspicion", "Unsuspected"]


@dataclass(frozen=True)
class Unsuspected:
    """No crash since the last answer may be due to the signature."""


@dataclass(frozen=True)
class Suspected:
    """``crashes`` servers crashed under the signature since it was last answered."""

    crashes: int


@dataclass(frozen=True)
class Harmful:
    """The signature was found to crash servers."""


Suspicion = Unsuspected | Suspected | Harmful
"""What is known about a signature."""


class Suspects(Protocol):
    """Interface of what a dispatcher has to know about signatures."""

    def suspicion(self, signature: str) -> Suspicion:
        """Return how far a signature is suspected."""


class NoSuspects:
    """Suspects of a dispatcher that collects no evidence."""

    def suspicion(self, signature: str) -> Suspicion:
        """Return that the signature is not suspected."""
        return Unsuspected()
