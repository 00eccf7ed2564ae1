"""Orders to a stand-in engine: loading and unloading of versions."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from sassafraspin.settings import Name

__all__ = ["FencingGuard", "Order"]


@dataclass(frozen=True)
class Order:
    """An order with the fencing number of whoever gives it."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    kind: Literal["load", "unload"]
    version: Name
    fencing: Annotated[int, Field(ge=0)]


class FencingGuard:
    """Refuses orders with an older number than one seen before.

    Parameters
    ----------
    checks : bool
        Whether numbers are checked at all.
    """

    def __init__(self, checks: bool) -> None:
        self._checks = checks
        self._highest = 0

    @property
    def highest(self) -> int:
        """Return the highest number seen."""
        return self._highest

    def admits(self, order: Order) -> bool:
        """Return whether the order may be carried out, and note its number."""
        if self._checks and order.fencing < self._highest:
            return False
        self._highest = max(self._highest, order.fencing)
        return True
