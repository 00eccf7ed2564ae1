"""Order of the rate limits that a server names in answers that overtake one another."""

from sassafraspin.backends import RateLimit
from sassafraspin.dispatch.grants import Grant
from sassafraspin.dispatch.messages import RateLimitNotice

__all__ = ["replaces_limit"]


def replaces_limit(
    notice: RateLimitNotice, known: RateLimit | None, grant: Grant | None
) -> bool:
    """Return whether a notice replaces the limit in force.

    A lower limit does at once. A higher one, or none, does if its answer is certainly
    later than the one that named the limit in force: its request was granted under it.

    Parameters
    ----------
    notice : RateLimitNotice
        What an answer named.
    known : RateLimit or None
        The limit in force.
    grant : Grant or None
        Grant of the request that was answered, ``None`` if it is not in use any more.
    """
    if known is None:
        return notice.rate_limit is not None
    if notice.rate_limit is not None and notice.rate_limit <= known.named:
        return notice.rate_limit < known.named
    return (
        grant is not None
        and grant.message.rate_limit == known.named
        and grant.granted_at >= known.set_at
    )
