"""Usage caps: what an account may use in any span of the length of a window.

A dispatcher tells the instances that may follow it what was used, so that a change of
dispatcher neither forgets it nor makes every account wait for an empty window.
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
"""Charges within one tick are kept as one; a window counts one tick too long."""

_LATENESS_SECONDS = 0.5
"""Longest time from the sending of a request to its charge that is allowed for: two
requests that were sent a window apart are charged less than that farther apart."""


_RESERVE_SECONDS = 3.0
"""What an account may use at once besides its burst, in seconds of its rate. It bounds
what is used twice when every instance that could follow a dispatcher stops with it."""

_ACCOUNTS_IN_REPORT = 40
"""Accounts in one report, so that it fits a datagram."""

_LOG_KEPT_SECONDS = 3.0
"""Age of the last report up to which a follower counts on from it; an election and
several lost reports take less."""


class UsageReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What some accounts were charged in the last ``seconds``."""

    seconds: float
    charges: dict[str, float]


@dataclass
class _Tick:
    began_at: float
    charge: float


class UsageWindow:
    """What one account used in the last window.

    Parameters
    ----------
    seconds : float
        Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds + _LATENESS_SECONDS + _TICK_SECONDS
        self._ticks: deque[_Tick] = deque()
        self._used = 0.0

    def copy(self) -> "UsageWindow":
        """Return a window with the same charges."""
        other = copy.copy(self)
        other._ticks = deque(replace(tick) for tick in self._ticks)
        return other

    def used(self, now: float) -> float:
        """Return the charges of the window that ends now."""
        while self._ticks and now - self._ticks[0].began_at >= self._seconds:
            self._used -= self._ticks.popleft().charge
        if not self._ticks:
            self._used = 0.0
        return self._used

    def add(self, charge: float, now: float) -> None:
        """Charge a request."""
        if not self._ticks or now - self._ticks[-1].began_at >= _TICK_SECONDS:
            self._ticks.append(_Tick(now, 0.0))
        self._ticks[-1].charge += charge
        self._used += charge

    def take_back(self, charge: float) -> None:
        """Take a charge back, from the newest ones."""
        for tick in reversed(self._ticks):
            part = min(charge, tick.charge)
            tick.charge -= part
            self._used -= part
            charge -= part
            if charge <= 0:
                return

    def seconds_until(self, limit: float, now: float) -> float:
        """Return the time until less than a limit is used."""
        left = self.used(now)
        for tick in self._ticks:
            left -= tick.charge
            if left < limit:
                return tick.began_at + self._seconds - now
        return 0.0


@dataclass
class _Reserve:
    """What an account may use at once; it fills at its rate."""

    level: float
    filled_at: float

    def fill(self, account: RoutedAccount, now: float) -> None:
        """Add what has come since the last time."""
        gained = account.rate_per_second * (now - self.filled_at)
        most = account.burst + _RESERVE_SECONDS * account.rate_per_second
        self.level = min(most, self.level + gained)
        self.filled_at = now

    def seconds_until_filled(self, account: RoutedAccount) -> float:
        """Return the time until something may be used."""
        return max(0.0, -self.level / account.rate_per_second)


@dataclass(frozen=True)
class _Pace:
    per_second: float
    at: float


class UsageLog:
    """What the dispatcher before was heard to charge.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._seconds = settings.cap_window_ms / _MS_PER_SECOND
        self._windows: dict[str, UsageWindow] = {}
        self._paces: dict[str, _Pace] = {}
        self._heard_at = -math.inf

    def is_recent(self, now: float) -> bool:
        """Return whether the last report is new enough to count on from it."""
        return now - self._heard_at < _LOG_KEPT_SECONDS

    def take(self, report: UsageReport, now: float) -> None:
        """Take in a report."""
        self._heard_at = now
        for name, charge in report.charges.items():
            window = self._windows.setdefault(name, UsageWindow(self._seconds))
            window.add(charge, now)
            self._paces[name] = _Pace(charge / report.seconds, now)

    def windows(self, now: float) -> dict[str, UsageWindow]:
        """Return copies of all windows, with the time since the last report added.

        An account that the last report names goes on at its pace there.
        """
        silent = now - self._heard_at
        windows = {name: window.copy() for name, window in self._windows.items()}
        for name, pace in self._paces.items():
            if self._heard_at - pace.at < _TICK_SECONDS:
                windows[name].add(silent * pace.per_second, now)
        return windows


class UsageCaps:
    """Usage caps of the accounts of a routing table.

    In any window an account may use what its rate gives for the window and its burst
    besides, and the declared overshoot, but not all of that at once; the last request
    may go beyond, so that large ones are served too.

    Parameters
    ----------
    settings : DispatchSettings
        Length of the window and the overshoot.
    now : float
        Monotonic time in seconds.
    log : UsageLog or None
        What the dispatcher before charged. Without a recent one, until a window has
        passed, accounts count as having used their rate and half of their burst.
    generator : random.Random or None
        Given where many instances share a cap. Each has room for a part of a request
        then, and lets it through with that chance, so that together they keep the cap.
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
        self._factor = 1 + settings.cap_overshoot
        self._accounts: dict[str, RoutedAccount] = {}
        self._reserves: dict[str, _Reserve] = {}
        self.restart(now, log)

    def restart(self, now: float, log: UsageLog | None = None) -> None:
        """Count anew from a log, as a dispatcher that begins to act does."""
        self._windows: dict[str, UsageWindow] = {}
        self._reserves.clear()
        self._unreported: defaultdict[str, float] = defaultdict(float)
        self._reported_at = now
        self._began_at = now
        if log is not None and log.is_recent(now):
            self._windows = log.windows(now)
            self._began_at = -math.inf

    def follow(self, accounts: tuple[RoutedAccount, ...]) -> None:
        """Take over the accounts of a newer routing table."""
        self._accounts = {account.name: account for account in accounts}

    def admit(self, request: SlotRequest, now: float) -> LimitDecision:
        """Charge a request to its account if its window has room for it."""
        account = self._accounts.get(request.client_account)
        if account is None or account.rate_per_second <= 0:
            return WithinLimits()
        window = self._windows.setdefault(account.name, UsageWindow(self._seconds))
        limit = self._limit(account, now)
        room = limit - window.used(now)
        reserve = self._filled_reserve(account, room, now)
        if room <= 0:
            return LimitExceeded(window.seconds_until(limit, now))
        if reserve.level <= 0:
            return LimitExceeded(reserve.seconds_until_filled(account))
        used = _charge(account, request)
        if not self._has_luck(used, room):
            window.add(room, now)
            return LimitExceeded(window.seconds_until(limit, now))
        window.add(used, now)
        reserve.level -= used
        self._unreported[account.name] += used
        return WithinLimits()

    def reports(self, now: float) -> Iterator[UsageReport]:
        """Return what was charged since the last time."""
        seconds = max(now - self._reported_at, _TICK_SECONDS)
        charges = list(self._unreported.items())
        self._reported_at = now
        self._unreported.clear()
        for start in range(0, max(1, len(charges)), _ACCOUNTS_IN_REPORT):
            part = charges[start : start + _ACCOUNTS_IN_REPORT]
            yield UsageReport(seconds, dict(part))

    def withdraw(self, request: SlotRequest) -> None:
        """Take back the charge of a request that got no slot."""
        account = self._accounts.get(request.client_account)
        window = self._windows.get(request.client_account)
        if account is not None and window is not None:
            charge = _charge(account, request)
            window.take_back(charge)
            if account.name in self._reserves:
                self._reserves[account.name].level += charge
            self._unreported[account.name] -= charge

    def finish(self, request: SlotRequest) -> None:
        """Keep the charge of a request that had a slot."""

    def _has_luck(self, charge: float, room: float) -> bool:
        """Return whether a request may take more than the room that is left."""
        if self._generator is None or charge <= room:
            return True
        return self._generator.random() * charge < room

    def _filled_reserve(
        self, account: RoutedAccount, room: float, now: float
    ) -> _Reserve:
        """Return the reserve of an account; a new one holds what its window allows."""
        reserve = self._reserves.setdefault(account.name, _Reserve(room, now))
        reserve.fill(account, now)
        return reserve

    def _limit(self, account: RoutedAccount, now: float) -> float:
        """Return what may be used in the window that ends now."""
        counted, burst = self._seconds, account.burst
        if now - self._began_at < self._seconds:
            counted, burst = now - self._began_at, account.burst / 2
        return self._factor * (account.rate_per_second * counted + burst)


def _charge(account: RoutedAccount, request: SlotRequest) -> float:
    return request.charged_tokens if account.charges_tokens else 1.0
