"""Decides whether requests that missed their objective may still wait for a slot.

Under sustained overload the requests on time take every slot, and late ones wait until
they time out. One that is not served when it was expected to be shows that requests on
time overtake it. Others of the same or a lower tier are then refused at once for a
while, so that their callers can come back in time.
"""

import math

from sassafraspin.dispatch.messages import LOWEST_TIER

__all__ = ["LateRequests"]

_FIRST_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 8.0
"""Pauses double up to the length of a burst of the users, so that few late requests are
held for nothing while it lasts, and soon after it late ones are served again."""


class LateRequests:
    """Pauses the queueing of late requests by tier, with exponential back-off."""

    def __init__(self) -> None:
        tiers = LOWEST_TIER + 1
        self._pauses = [_FIRST_PAUSE_SECONDS] * tiers
        self._paused_until = [-math.inf] * tiers

    def is_paused(self, tier: int, now: float) -> bool:
        """Return whether one of this tier or a higher one was overtaken lately."""
        return any(now < until for until in self._paused_until[: tier + 1])

    def record_overtaken(self, tier: int, now: float) -> None:
        """Record that a request of a tier was not served when it was expected to be."""
        since_pause = now - self._paused_until[tier]
        if since_pause < 0:
            return
        pause = _FIRST_PAUSE_SECONDS
        if since_pause < self._pauses[tier]:
            pause = min(2 * self._pauses[tier], _MAX_PAUSE_SECONDS)
        self._pauses[tier] = pause
        self._paused_until[tier] = now + pause

    def record_start(self, tier: int) -> None:
        """Record that a late request got a slot: the next pause is a short one."""
        self._pauses[tier] = _FIRST_PAUSE_SECONDS
