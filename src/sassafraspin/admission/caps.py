"""Usage caps: limits on what an account may use within any sliding window.

A dispatcher reports the usage to the instances that may take over, so that a failover
neither resets the usage nor makes every account wait for an empty window.
"""

import copy
import math
import random
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from sassafraspin.admission.limits import LimitDecision, LimitExceeded, WithinLimits
from sassafraspin.dispatch.messages import SlotRequest
from sassafraspin.routes import RoutedAccount
from sassafraspin.settings import DispatchSettings

__all__ = ["UsageCaps", "UsageLog", "UsageReport"]

_MS_PER_SECOND = 1000

_TICK_SECONDS = 0.1
"""Resolution of the window: charges within one tick are summed. The window is one tick
longer to compensate."""

_MAX_CHARGE_DELAY_SECONDS = 0.5
"""Maximum delay between the sending of a request and its charge. It extends the window,
because requests sent one window apart may be charged this much farther apart."""


_BUCKET_SECONDS = 3.0
"""Capacity of the token bucket besides the burst, in seconds of the account's rate. It
limits what can be used twice if a dispatcher and all its possible successors stop."""

_SHARED_RETRY_SECONDS = 0.5
"""Longest retry delay given by an instance that knows only its own part of the usage.
It decides alone for about as long, until there is a dispatcher again."""

_ACCOUNTS_PER_REPORT = 40
"""Maximum number of accounts in a report, so that it fits into a datagram."""

_LOG_MAX_AGE_SECONDS = 3.0
"""Maximum age of the last report for a successor to continue from it; an election and
several lost reports take less."""


class UsageReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Charges of some accounts during the last ``seconds``."""

    seconds: float
    charges: dict[str, float]


@dataclass
class _Tick:
    began_at: float
    charge: float


class UsageWindow:
    """Usage of one account in a sliding window.

    Parameters
    ----------
    seconds : float
        Length of the window, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds + _MAX_CHARGE_DELAY_SECONDS + _TICK_SECONDS
        self._ticks: deque[_Tick] = deque()
        self._used = 0.0

    def copy(self) -> "UsageWindow":
        """Return a window with the same charges."""
        other = copy.copy(self)
        other._ticks = deque(replace(tick) for tick in self._ticks)
        return other

    def used(self, now: float) -> float:
        """Return the sum of the charges in the window that ends now."""
        while self._ticks and now - self._ticks[0].began_at >= self._seconds:
            self._used -= self._ticks.popleft().charge
        if not self._ticks:
            self._used = 0.0
        return self._used

    def add(self, charge: float, now: float) -> None:
        """Add a charge."""
        if not self._ticks or now - self._ticks[-1].began_at >= _TICK_SECONDS:
            self._ticks.append(_Tick(now, 0.0))
        self._ticks[-1].charge += charge
        self._used += charge

    def refund(self, charge: float) -> None:
        """Refund a charge, starting with the newest tick."""
        for tick in reversed(self._ticks):
            part = min(charge, tick.charge)
            tick.charge -= part
            self._used -= part
            charge -= part
            if charge <= 0:
                return

    def seconds_until(self, limit: float, now: float) -> float:
        """Return the time until the usage falls below a limit, in seconds."""
        left = self.used(now)
        for tick in self._ticks:
            left -= tick.charge
            if left < limit:
                return tick.began_at + self._seconds - now
        return 0.0


@dataclass
class _TokenBucket:
    """Token bucket of an account, refilled at the account's rate."""

    level: float
    refilled_at: float

    def refill(self, account: RoutedAccount, now: float) -> None:
        """Add the tokens that have accrued since the last refill."""
        gained = account.rate_per_second * (now - self.refilled_at)
        capacity = account.burst + _BUCKET_SECONDS * account.rate_per_second
        self.level = min(capacity, self.level + gained)
        self.refilled_at = now

    def seconds_until_filled(self, account: RoutedAccount) -> float:
        """Return the time until the level is no longer negative, in seconds."""
        return max(0.0, -self.level / account.rate_per_second)


@dataclass(frozen=True)
class _ChargeRate:
    per_second: float
    at: float


class UsageLog:
    """Charges reported by the previous dispatcher.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._seconds = settings.cap_window_ms / _MS_PER_SECOND
        self._windows: dict[str, UsageWindow] = {}
        self._rates: dict[str, _ChargeRate] = {}
        self._last_report_at = -math.inf

    def is_recent(self, now: float) -> bool:
        """Return whether the last report is recent enough to continue from it."""
        return now - self._last_report_at < _LOG_MAX_AGE_SECONDS

    def add_report(self, report: UsageReport, now: float) -> None:
        """Add the charges of a report."""
        self._last_report_at = now
        for name, charge in report.charges.items():
            window = self._windows.setdefault(name, UsageWindow(self._seconds))
            window.add(charge, now)
            self._rates[name] = _ChargeRate(charge / report.seconds, now)

    def windows(self, now: float) -> dict[str, UsageWindow]:
        """Return copies of all windows, extrapolated to the current time.

        Accounts in the last report are assumed to have continued at the same rate.
        """
        elapsed = now - self._last_report_at
        windows = {name: window.copy() for name, window in self._windows.items()}
        for name, rate in self._rates.items():
            if self._last_report_at - rate.at < _TICK_SECONDS:
                windows[name].add(elapsed * rate.per_second, now)
        return windows


class UsageCaps:
    """Usage caps of the accounts of a routing table.

    Within any window an account may use its rate times the length of the window plus
    its burst, increased by the configured overshoot. A token bucket prevents it from
    using all of that at once. The last admitted request may exceed the cap, so that
    requests larger than the cap can be served.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window and the overshoot.
    now : float
        Monotonic time in seconds.
    log : UsageLog or None
        Charges of the previous dispatcher. Without a recent log, accounts are assumed
        to have used their rate and half of their burst before ``now``.
    generator : random.Random or None
        Set if several instances share a cap. An instance whose remaining share covers
        only part of a request admits it with the corresponding probability, so that
        all instances together keep the cap.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        now: float,
        log: UsageLog | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._generator = generator
        self._seconds = settings.cap_window_ms / _MS_PER_SECOND
        self._overshoot_factor = 1 + settings.cap_overshoot
        self._accounts: dict[str, RoutedAccount] = {}
        self._buckets: dict[str, _TokenBucket] = {}
        self.restart(now, log)

    def restart(self, now: float, log: UsageLog | None = None) -> None:
        """Reset the usage to that of a log, for a dispatcher that takes over."""
        self._windows: dict[str, UsageWindow] = {}
        self._buckets.clear()
        self._unreported: defaultdict[str, float] = defaultdict(float)
        self._reported_at = now
        self._began_at = now
        if log is not None and log.is_recent(now):
            self._windows = log.windows(now)
            self._began_at = -math.inf

    def set_accounts(self, accounts: tuple[RoutedAccount, ...]) -> None:
        """Replace the accounts by those of a newer routing table."""
        self._accounts = {account.name: account for account in accounts}

    def admit(self, request: SlotRequest, now: float) -> LimitDecision:
        """Charge a request to its account if its cap allows it."""
        account = self._accounts.get(request.client_account)
        if account is None or account.rate_per_second <= 0:
            return WithinLimits()
        window = self._windows.setdefault(account.name, UsageWindow(self._seconds))
        limit = self._limit(account, now)
        room = limit - window.used(now)
        bucket = self._refilled_bucket(account, room, now)
        if room <= 0:
            return self._exceeded(window.seconds_until(limit, now))
        if bucket.level <= 0:
            return self._exceeded(bucket.seconds_until_filled(account))
        used = _charge(account, request)
        if not self._passes_draw(used, room):
            window.add(room, now)
            return self._exceeded(window.seconds_until(limit, now))
        window.add(used, now)
        bucket.level -= used
        self._unreported[account.name] += used
        return WithinLimits()

    def reports(self, now: float) -> Iterator[UsageReport]:
        """Yield reports of the charges since the previous call."""
        seconds = max(now - self._reported_at, _TICK_SECONDS)
        charges = list(self._unreported.items())
        self._reported_at = now
        self._unreported.clear()
        for start in range(0, max(1, len(charges)), _ACCOUNTS_PER_REPORT):
            part = charges[start : start + _ACCOUNTS_PER_REPORT]
            yield UsageReport(seconds, dict(part))

    def withdraw(self, request: SlotRequest) -> None:
        """Refund the charge of a request that got no slot."""
        account = self._accounts.get(request.client_account)
        window = self._windows.get(request.client_account)
        if account is not None and window is not None:
            charge = _charge(account, request)
            window.refund(charge)
            if account.name in self._buckets:
                self._buckets[account.name].level += charge
            self._unreported[account.name] -= charge

    def finish(self, request: SlotRequest) -> None:
        """Do nothing: the charge of a request that had a slot stays."""

    def _exceeded(self, seconds: float) -> LimitExceeded:
        is_shared = self._generator is not None
        return LimitExceeded(
            min(seconds, _SHARED_RETRY_SECONDS) if is_shared else seconds
        )

    def _passes_draw(self, charge: float, room: float) -> bool:
        """Return whether a request fits or is admitted by the random draw."""
        if self._generator is None or charge <= room:
            return True
        return self._generator.random() * charge < room

    def _refilled_bucket(
        self, account: RoutedAccount, room: float, now: float
    ) -> _TokenBucket:
        """Return the refilled token bucket; a new one starts with ``room`` tokens."""
        bucket = self._buckets.setdefault(account.name, _TokenBucket(room, now))
        bucket.refill(account, now)
        return bucket

    def _limit(self, account: RoutedAccount, now: float) -> float:
        """Return the cap for the window that ends now."""
        counted, burst = self._seconds, account.burst
        if now - self._began_at < self._seconds:
            counted, burst = now - self._began_at, account.burst / 2
        return self._overshoot_factor * (account.rate_per_second * counted + burst)


def _charge(account: RoutedAccount, request: SlotRequest) -> float:
    return request.charged_tokens if account.charges_tokens else 1.0
