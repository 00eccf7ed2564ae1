"""Limit on the bytes of messages that may wait."""

__all__ = ["ByteBudget"]


class ByteBudget:
    """Token bucket of bytes for messages that must not delay others on a link.

    Parameters
    ----------
    bytes_per_second : float
        Rate at which the budget is refilled.
    burst_bytes : float
        Largest amount that may be saved.
    """

    def __init__(self, bytes_per_second: float, burst_bytes: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._left = burst_bytes
        self._refilled_at: float | None = None

    def try_spend(self, size: float, now: float) -> bool:
        """Take ``size`` bytes from the budget if it has them; return whether it did.

        More than the burst is taken from a full budget, which is then in debt.
        """
        if self._refilled_at is not None:
            gained = self._bytes_per_second * (now - self._refilled_at)
            self._left = min(self._burst_bytes, self._left + gained)
        self._refilled_at = now
        if self._left < min(size, self._burst_bytes):
            return False
        self._left -= size
        return True
