"""Time for which a message to another instance may be in transit."""

__all__ = ["LARGE_BYTES", "slow_link_seconds", "transit_timeout"]

LARGE_BYTES = 1_000
"""Size from which a message may go over a stream; smaller ones fit into a datagram."""

_SLOW_BYTES_PER_SECOND = 400_000
"""Rate of a slow link that other messages share."""


def slow_link_seconds(size: int) -> float:
    """Return the time that a number of bytes takes on a slow link, in seconds."""
    return size / _SLOW_BYTES_PER_SECOND


def transit_timeout(size: int, small: float, large: float) -> float:
    """Return the time after which a message without answer counts as lost, in seconds.

    Parameters
    ----------
    size : int
        Bytes of the message.
    small : float
        Time limit of a message that fits into a datagram, in seconds.
    large : float
        Time limit of a larger one, besides the time that it takes on a slow link, in
        seconds.
    """
    return small if size < LARGE_BYTES else large + slow_link_seconds(size)
