"""Orders to a stand-in engine: load or unload a version, or change the role."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from sassafraspin.settings import Name

__all__ = ["FencingGuard", "Order"]


@dataclass(frozen=True)
class Order:
    """An order with the fencing token of its sender.

    ``version`` is required for the kinds ``load`` and ``unload``, ``role`` for the
    kind ``role``.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    kind: Literal["load", "unload", "role"]
    fencing: Annotated[int, Field(ge=0)]
    version: Name | None = None
    role: Literal["prefill", "decode", "both"] | None = None


class FencingGuard:
    """Rejects orders whose fencing token is lower than one seen before.

    Parameters
    ----------
    enabled : bool
        Whether fencing tokens are checked; if not, all orders are accepted.
    """

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._highest = 0

    @property
    def highest(self) -> int:
        """Return the highest fencing token seen."""
        return self._highest

    def accept(self, order: Order) -> bool:
        """Return whether an order is accepted, and record its fencing token."""
        if self._enabled and order.fencing < self._highest:
            return False
        self._highest = max(self._highest, order.fencing)
        return True
