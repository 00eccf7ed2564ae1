"""Orders to a stand-in engine: loading and unloading of versions, and its role."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from sassafraspin.settings import Name

__all__ = ["FencingGuard", "Order"]


@dataclass(frozen=True)
class Order:
    """An order with the fencing number of whoever gives it.

    ``version`` belongs to orders to load or unload, ``role`` to those that change
    the role.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    kind: Literal["load", "unload", "role"]
    fencing: Annotated[int, Field(ge=0)]
    version: Name | None = None
    role: Literal["prefill", "decode", "both"] | None = None


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
