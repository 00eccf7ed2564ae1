"""Table of the slots that are granted and not yet released."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sassafraspin.dispatch.messages import LOWEST_TIER, SlotGrant, SlotRequest

__all__ = ["Grant", "GrantTable"]

_CANCEL_TIMEOUT_SECONDS = 0.2
"""Time within which an entry instance is expected to cancel a revoked request."""


@dataclass
class Grant:
    """A slot in use by an entry instance.

    Parameters
    ----------
    entry : str
        Entry instance that holds the slot.
    request : SlotRequest
        Request that the slot was granted for.
    message : SlotGrant
        Grant that was sent to the entry instance.
    granted_at : float
        Monotonic time of the grant, in seconds.
    expires_at : float
        Monotonic time at which the slot counts as released without a message.
    expected_end : float
        Monotonic time at which the answer is expected to be complete.
    revoked_at : float or None
        Monotonic time at which the request was preempted by a higher tier.
    expected_first_token : float
        Time to first token that was expected at the time of the grant, in seconds.
    prefill_rate : float
        Prefill rate of the server that this estimate was made with.
    overhead : float
        Overhead of the server that this estimate was made with, in seconds.
    uncached_tokens : int
        Tokens of the prompt that the server was expected to prefill.
    limits_counted : int
        Number of slow limits for which the request was counted, while running, in the
        comparison of a new version with the old one.
    has_paced : bool
        Whether the pace of the server has taken the first token into account.
    in_flight : int
        Granted requests of the server at the time of the grant, with this one; 0 if it
        was granted by another dispatcher.
    """

    entry: str
    request: SlotRequest
    message: SlotGrant
    granted_at: float
    expires_at: float
    expected_end: float
    revoked_at: float | None = None
    expected_first_token: float = 0.0
    prefill_rate: float = 1.0
    overhead: float = 0.0
    uncached_tokens: int = 0
    limits_counted: int = 0
    has_paced: bool = False
    in_flight: int = 0

    @property
    def revoked(self) -> bool:
        """Return whether the request was preempted by a higher tier."""
        return self.revoked_at is not None

    @property
    def grant_id(self) -> str:
        """Return the identifier of the grant."""
        return self.message.grant_id


class GrantTable:
    """Grants by identifier, with indexes for preemption and wait estimates."""

    def __init__(self) -> None:
        self._grants: dict[str, Grant] = {}
        self._by_request: dict[str, Grant] = {}
        self._by_signature: dict[str, dict[str, Grant]] = {}
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
    def revoked_count(self) -> int:
        """Return the number of revoked grants that are not yet released."""
        return self._revoked

    @property
    def has_cancellable(self) -> bool:
        """Return whether any running request may be cancelled."""
        return any(self._cancellable)

    def get(self, grant_id: str) -> Grant | None:
        """Return a grant by its identifier."""
        return self._grants.get(grant_id)

    def of_request(self, request_id: str) -> Grant | None:
        """Return the grant of a request."""
        return self._by_request.get(request_id)

    def of_signature(self, signature: str) -> tuple[Grant, ...]:
        """Return the grants of equal requests."""
        return tuple(self._by_signature.get(signature, {}).values())

    @property
    def mean_seconds(self) -> float:
        """Return the expected mean time from the grant to the end of the answer."""
        total = self._expected_end_sum - self._granted_at_sum
        return max(0.0, total / max(1, len(self._grants)))

    def slot_time(self, position: int, now: float) -> float:
        """Return when the slot at ``position``, in order of release, becomes free."""
        if self._revoked:
            return self.slot_times(now)[position]
        return max(self._ends[position], now)

    def slot_times(self, now: float) -> list[float]:
        """Return when each slot is expected to become free, earliest first.

        A revoked slot counts as free now only for a short time: an entry instance
        that has not cancelled by then may have stopped or lost its connection.
        """
        return sorted(
            now if _is_being_cancelled(grant, now) else max(grant.expected_end, now)
            for grant in self._grants.values()
        )

    def preemption_candidate(
        self, tier: int, frees_slot: Callable[[Grant], bool]
    ) -> Grant | None:
        """Return the newest cancellable grant of the lowest tier below ``tier``.

        Grants for which ``frees_slot`` is false are left out.
        """
        for lower in range(LOWEST_TIER, tier, -1):
            for grant in reversed(self._cancellable[lower].values()):
                if frees_slot(grant):
                    return grant
        return None

    def add(self, grant: Grant) -> None:
        """Add a grant."""
        self._grants[grant.grant_id] = grant
        self._by_request[grant.request.request_id] = grant
        if grant.request.signature:
            equal = self._by_signature.setdefault(grant.request.signature, {})
            equal[grant.grant_id] = grant
        insort(self._ends, grant.expected_end)
        self._expected_end_sum += grant.expected_end
        self._granted_at_sum += grant.granted_at
        if grant.request.cancellable:
            self._cancellable[grant.request.tier][grant.grant_id] = grant

    def revoke(self, grant: Grant, now: float) -> None:
        """Mark a grant as revoked."""
        grant.revoked_at = now
        self._revoked += 1
        self._cancellable[grant.request.tier].pop(grant.grant_id, None)

    def remove(self, grant_id: str) -> Grant | None:
        """Remove a grant and return it, ``None`` if it is not known."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._by_request.pop(grant.request.request_id, None)
        self._remove_signature(grant)
        self._cancellable[grant.request.tier].pop(grant_id, None)
        self._revoked -= grant.revoked
        del self._ends[bisect_left(self._ends, grant.expected_end)]
        self._expected_end_sum -= grant.expected_end
        self._granted_at_sum -= grant.granted_at
        if not self._grants:
            self._expected_end_sum = 0.0
            self._granted_at_sum = 0.0
        return grant

    def _remove_signature(self, grant: Grant) -> None:
        signature = grant.request.signature
        equal = self._by_signature.get(signature, {})
        equal.pop(grant.grant_id, None)
        if not equal:
            self._by_signature.pop(signature, None)


def _is_being_cancelled(grant: Grant, now: float) -> bool:
    return (
        grant.revoked_at is not None
        and now - grant.revoked_at < _CANCEL_TIMEOUT_SECONDS
    )
