"""Aggregate of the slots that are granted and not yet given back."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass

from sassafraspin.dispatch.messages import LOWEST_TIER, SlotGrant, SlotRequest

__all__ = ["Grant", "GrantTable"]

_CANCEL_SECONDS = 0.2
"""Time within which an entry instance is expected to cancel a request."""


@dataclass
class Grant:
    """A slot that an entry instance uses.

    Parameters
    ----------
    entry : str
        Entry instance.
    request : SlotRequest
        What it asked for.
    message : SlotGrant
        What it was given.
    granted_at : float
        Monotonic time of the grant, in seconds.
    lapses_at : float
        Time after which the slot counts as given back.
    expected_end : float
        Time at which the answer is expected to be whole.
    revoked_at : float or None
        Time at which its cancelling for a higher tier began.
    prompt_was_alone : bool
        Whether the server had no other prompt to compute when it was granted.
    """

    entry: str
    request: SlotRequest
    message: SlotGrant
    granted_at: float
    lapses_at: float
    expected_end: float
    revoked_at: float | None = None
    prompt_was_alone: bool = True

    @property
    def revoked(self) -> bool:
        """Return whether the request is being cancelled for a higher tier."""
        return self.revoked_at is not None

    @property
    def grant_id(self) -> str:
        """Return the identity of the grant."""
        return self.message.grant_id


class GrantTable:
    """Grants by identity, with what the tier rule asks of them kept up to date."""

    def __init__(self) -> None:
        self._grants: dict[str, Grant] = {}
        self._by_request: dict[str, Grant] = {}
        self._cancellable: list[dict[str, Grant]] = [{} for _ in range(LOWEST_TIER + 1)]
        self._revoked = 0
        self._ends: list[float] = []
        self._expected_end_sum = 0.0
        self._granted_at_sum = 0.0

    def __len__(self) -> int:
        return len(self._grants)

    def __contains__(self, grant_id: str) -> bool:
        return grant_id in self._grants

    def __iter__(self) -> Iterator[Grant]:
        return iter(list(self._grants.values()))

    @property
    def revoked(self) -> int:
        """Return how many requests are being cancelled."""
        return self._revoked

    @property
    def has_cancellable(self) -> bool:
        """Return whether any running request could be cancelled."""
        return any(self._cancellable)

    def get(self, grant_id: str) -> Grant | None:
        """Return a grant."""
        return self._grants.get(grant_id)

    def of_request(self, request_id: str) -> Grant | None:
        """Return the grant of a request."""
        return self._by_request.get(request_id)

    @property
    def mean_seconds(self) -> float:
        """Return the expected mean time from the grant to the end of the answer."""
        total = self._expected_end_sum - self._granted_at_sum
        return max(0.0, total / max(1, len(self._grants)))

    def slot_time(self, position: int, now: float) -> float:
        """Return when so many slots and one more are expected to be free again."""
        if self._revoked:
            return self.slot_times(now)[position]
        return max(self._ends[position], now)

    def slot_times(self, now: float) -> list[float]:
        """Return when each slot is expected to be free again, soonest first.

        An entry instance that does not cancel soon may be stopped or cut off.
        """
        return sorted(
            now if _is_ending(grant, now) else max(grant.expected_end, now)
            for grant in self._grants.values()
        )

    def victim(self, tier: int) -> Grant | None:
        """Return the newest cancellable grant of the lowest tier below ``tier``."""
        for lower in range(LOWEST_TIER, tier, -1):
            grants = self._cancellable[lower]
            if grants:
                return grants[next(reversed(grants))]
        return None

    def add(self, grant: Grant) -> None:
        """Take in a grant."""
        self._grants[grant.grant_id] = grant
        self._by_request[grant.request.request_id] = grant
        insort(self._ends, grant.expected_end)
        self._expected_end_sum += grant.expected_end
        self._granted_at_sum += grant.granted_at
        if grant.request.cancellable:
            self._cancellable[grant.request.tier][grant.grant_id] = grant

    def revoke(self, grant: Grant, now: float) -> None:
        """Note that a request is being cancelled."""
        grant.revoked_at = now
        self._revoked += 1
        self._cancellable[grant.request.tier].pop(grant.grant_id, None)

    def remove(self, grant_id: str) -> Grant | None:
        """Take out a grant."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._by_request.pop(grant.request.request_id, None)
        self._cancellable[grant.request.tier].pop(grant_id, None)
        self._revoked -= grant.revoked
        del self._ends[bisect_left(self._ends, grant.expected_end)]
        self._expected_end_sum -= grant.expected_end
        self._granted_at_sum -= grant.granted_at
        if not self._grants:
            self._expected_end_sum = 0.0
            self._granted_at_sum = 0.0
        return grant


def _is_ending(grant: Grant, now: float) -> bool:
    return grant.revoked_at is not None and now - grant.revoked_at < _CANCEL_SECONDS
