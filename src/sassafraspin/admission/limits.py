"""Limits per client account: request rate and tokens in flight."""

from dataclasses import dataclass
from typing import Protocol

from sassafraspin.dispatch.messages import SlotRequest
from sassafraspin.settings import ClientAccountSettings

__all__ = [
    "AccountLimits",
    "LimitDecision",
    "LimitExceeded",
    "Limits",
    "WithinLimits",
]

_BURST_SECONDS = 2.0
_TOKENS_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class WithinLimits:
    """The request is admitted and counted against its account."""


@dataclass(frozen=True)
class LimitExceeded:
    """The request exceeds a limit; ``retry_after`` is the delay in seconds."""

    retry_after: float


LimitDecision = WithinLimits | LimitExceeded


class Limits(Protocol):
    """Interface of the limits that a dispatcher enforces on client accounts."""

    def admit(self, request: SlotRequest, now: float) -> LimitDecision:
        """Count a request against its account if the limits allow it."""

    def withdraw(self, request: SlotRequest) -> None:
        """Undo the admission of a request that got no slot."""

    def finish(self, request: SlotRequest) -> None:
        """Record the end of a request that had a slot."""


@dataclass
class _Usage:
    allowance: float
    refilled_at: float
    tokens_in_flight: int = 0


class AccountLimits:
    """Token buckets for request rates, and tokens in flight, across all instances.

    Parameters
    ----------
    accounts : tuple of ClientAccountSettings
        Accounts with their limits; other accounts are not limited.
    """

    def __init__(self, accounts: tuple[ClientAccountSettings, ...]) -> None:
        self._settings = {account.name: account for account in accounts}
        self._usage: dict[str, _Usage] = {}

    def admit(self, request: SlotRequest, now: float) -> LimitDecision:
        """Count a request against its account if the limits allow it."""
        account, tokens = request.client_account, request.tokens
        settings = self._settings.get(account)
        if settings is None:
            return WithinLimits()
        usage = self._refilled(settings, now)
        if usage.allowance < 1:
            missing = 1 - usage.allowance
            return LimitExceeded(missing / settings.requests_per_second)
        in_flight = usage.tokens_in_flight
        if in_flight and in_flight + tokens > settings.tokens_in_flight:
            return LimitExceeded(_TOKENS_RETRY_SECONDS)
        usage.allowance -= 1
        usage.tokens_in_flight += tokens
        return WithinLimits()

    def withdraw(self, request: SlotRequest) -> None:
        """Release the tokens in flight of a request that got no slot.

        It still counts towards the request rate.
        """
        self.finish(request)

    def finish(self, request: SlotRequest) -> None:
        """Release the tokens in flight of a request that has ended."""
        usage = self._usage.get(request.client_account)
        if usage is not None:
            left = usage.tokens_in_flight - request.tokens
            usage.tokens_in_flight = max(0, left)

    def _refilled(self, settings: ClientAccountSettings, now: float) -> _Usage:
        capacity = max(1.0, settings.requests_per_second * _BURST_SECONDS)
        usage = self._usage.setdefault(settings.name, _Usage(capacity, now))
        elapsed = now - usage.refilled_at
        refill = elapsed * settings.requests_per_second
        usage.allowance = min(capacity, usage.allowance + refill)
        usage.refilled_at = now
        return usage
