"""Rate limit of one backend server, as enforced by one dispatcher."""

__all__ = ["STRICT_SHARE", "RateLimit"]

_BURST_SECONDS = 0.25
"""Requests that may be sent at once, in seconds of the rate."""

STRICT_SHARE = 1 / (1 + _BURST_SECONDS)
"""Part of a rate for which a burst and the refill of a second stay within the rate."""


class RateLimit:
    """Token bucket for the requests that may be sent to a server.

    It starts empty: a dispatcher that takes over adds nothing to what its predecessor
    has just sent.

    Parameters
    ----------
    named : float
        Requests a second that the server takes from all instances together.
    share : float
        Part of them that this dispatcher may use.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, named: float, share: float, now: float) -> None:
        self._named = named
        self._rate = share * named
        self._level = 0.0
        self._refilled_at = now
        self._set_at = now
        self._counted = 0

    @property
    def named(self) -> float:
        """Return the limit over all instances, in requests a second."""
        return self._named

    @property
    def rate(self) -> float:
        """Return the requests a second that this dispatcher may send."""
        return self._rate

    @property
    def set_at(self) -> float:
        """Return the monotonic time since which the limit is in force."""
        return self._set_at

    @property
    def counted(self) -> int:
        """Return the number of requests that were sent under this limit."""
        return self._counted

    def level(self, now: float) -> float:
        """Return the number of requests that may be sent now."""
        capacity = max(1.0, _BURST_SECONDS * self._rate)
        gained = self._rate * (now - self._refilled_at)
        self._level = min(capacity, self._level + gained)
        self._refilled_at = now
        return self._level

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.level(now) >= 1

    def count_request(self, now: float) -> None:
        """Count a request that is sent now."""
        self._level = self.level(now) - 1
        self._counted += 1
