"""Attribution of the crashes of backend servers to parts of prompts."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from sassafraspin.isolation.messages import CrashReport, SuspectedCrash
from sassafraspin.isolation.noise import LossNoise, weight

__all__ = ["CrashEvidence", "PartVerdict"]

_CRASHES_OF_UNANSWERED_PART = 4
_CRASHES_OF_ANSWERED_PART = 5
"""A part that was answered before is less likely to be the cause."""

_MOMENT_SECONDS = 0.25
_MAX_CRASHES_PER_MOMENT = 2
"""A zone or a service that fails takes servers along whatever they answer, so of the
servers that crash within a moment only some count."""

_SETTLE_SECONDS = 0.2
"""Reports about a crash come from several entry instances."""

_CONFIRM_SECONDS = 0.5
"""Time in which an answer may show that a server that closed connections went on."""

_REPORTS_SECONDS = 0.5
_RESTART_SECONDS = 5.0
"""A server that closes connections again within this time, without an answer since its
crash, has not restarted yet."""

_LEAST_LOSS_SHARE = 0.03
_CHANCE_OF_UNANSWERED_PART = 1e-5
_CHANCE_OF_ANSWERED_PART = 1e-7
"""Largest chance of the losses of an innocent part at which it is found."""

_CRASH_RETENTION_SECONDS = 600.0
_MAX_CRASHES = 256
_MAX_REQUESTS_PER_CRASH = 64
_MAX_ANSWERED_PARTS = 10_000

_MAX_REPORTED_CRASHES = 16
_MAX_REPORTED_REQUESTS = 16
"""Bounds of a report, which is sent while parts are suspected."""

_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class PartVerdict:
    """A part whose requests crash servers.

    Parameters
    ----------
    part : str
        Identifier of the part.
    servers : tuple of str
        Servers that crashed, oldest first.
    was_answered : bool
        Whether a request with the part was answered before these crashes.
    """

    part: str
    servers: tuple[str, ...]
    was_answered: bool


@dataclass
class _Crash:
    """Crash of one server, with the parts of each request that may have caused it.

    ``is_refused`` says that the server refused connections afterwards. Without that, it
    may have broken off the requests for another reason.
    """

    server: str
    at: float
    requests: list[frozenset[str]] = field(default_factory=list)
    is_refused: bool = False

    @property
    def settled_at(self) -> float:
        """Return when all reports about the crash should have arrived."""
        return self.at + (_SETTLE_SECONDS if self.is_refused else _CONFIRM_SECONDS)

    def is_refuted(self, sent_at: float, now: float) -> bool:
        """Return whether the server went on, as it answered an earlier request."""
        was_running = self.at - sent_at > _MOMENT_SECONDS
        return was_running and not self.is_refused and now - self.at > _REPORTS_SECONDS

    def explains(self, now: float, is_refused: bool) -> bool:
        """Return whether a loss belongs to this crash, or is due to the restart."""
        is_proven = self.is_refused or not is_refused
        return is_proven and now - self.at < _RESTART_SECONDS


class CrashEvidence:
    """Finds the parts that make requests crash servers (queries of death).

    A part is suspected of each crash of a server that had not answered a request with
    it, or had only begun to. An answered request clears its parts of all earlier
    crashes. A part that was found explains the crashes of its requests, so that their
    other parts are not suspected of them.

    A server that broke off requests and refused connections has crashed. One that
    accepts connections may have; not if it then answers a request that it had before.
    Such crashes count if an innocent part is unlikely to be at all of them, by the
    share of other requests that are broken off.
    """

    def __init__(self) -> None:
        self._crashes: deque[_Crash] = deque()
        self._last_crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._noise = LossNoise()
        self._search_at: float | None = None
        self._next_search_at = 0.0

    def record_answer(self, parts: tuple[str, ...], now: float) -> None:
        """Record that a server answered a request with these parts and went on."""
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > _MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)

    def record_running(self, server: str, sent_at: float, now: float) -> None:
        """Record that a server answered a request that was sent to it at this time."""
        self._noise.record_answer(server, now)
        crash = self._last_crashes.get(server)
        if crash is None:
            return
        if sent_at > crash.at:
            del self._last_crashes[server]
        elif crash.is_refuted(sent_at, now):
            crash.requests.clear()
            del self._last_crashes[server]

    def record_crash(self, server: str, parts: tuple[str, ...], now: float) -> None:
        """Record a request of a server that refused connections when it was lost."""
        self._record(server, parts, now, is_refused=True)

    def record_loss(self, server: str, parts: tuple[str, ...], now: float) -> None:
        """Record a request that a server broke off, for whatever reason."""
        self._record(server, parts, now, is_refused=False)

    def _record(
        self, server: str, parts: tuple[str, ...], now: float, is_refused: bool
    ) -> None:
        self._drop_old(now)
        crash = self._last_crashes.get(server)
        if crash is None or not crash.explains(now, is_refused):
            crash = self._open_crash(server, now, is_refused)
        if now - crash.at < _REPORTS_SECONDS:
            self._add_request(crash, parts, now)

    def _open_crash(self, server: str, now: float, is_refused: bool) -> _Crash:
        crash = _Crash(server, now, is_refused=is_refused)
        self._crashes.append(crash)
        self._last_crashes[server] = crash
        self._last_crashes.move_to_end(server)
        if len(self._last_crashes) > _MAX_CRASHES:
            self._last_crashes.popitem(last=False)
        return crash

    def _add_request(self, crash: _Crash, parts: tuple[str, ...], now: float) -> None:
        self._noise.record_loss(crash.server, now)
        if len(crash.requests) < _MAX_REQUESTS_PER_CRASH:
            crash.requests.append(frozenset(parts))
        if self._search_at is None or crash.settled_at < self._search_at:
            self._search_at = crash.settled_at

    def find_harmful(self, now: float) -> PartVerdict | None:
        """Return the most suspected part if it has reached its number of crashes.

        Its requests are removed from all crashes: it is found once, and it explains the
        crashes of its requests.
        """
        if self._search_at is None or now < max(self._search_at, self._next_search_at):
            return None
        self._drop_cleared(now)
        settled = [crash for crash in self._crashes if now >= crash.settled_at]
        verdict = self._most_suspected(settled, now)
        if verdict is not None:
            self._remove(verdict.part)
            return verdict
        self._next_search_at = now + _SETTLE_SECONDS
        self._search_at = min(
            (crash.settled_at for crash in self._crashes if now < crash.settled_at),
            default=None,
        )
        return None

    def report(self, now: float) -> CrashReport:
        """Return the latest crashes with the parts that are still suspected."""
        crashes = (self._suspected_crash(crash, now) for crash in self._crashes)
        suspected = [crash for crash in crashes if crash.requests]
        return CrashReport(
            tuple(suspected[-_MAX_REPORTED_CRASHES:]),
            self._noise.answers(now),
            self._noise.losses(now),
        )

    def adopt(self, report: CrashReport, received_at: float) -> None:
        """Take over the crashes that a previous leader reported."""
        for item in report.crashes:
            at = received_at - item.age_ms / _MS_PER_SECOND
            requests = [frozenset(parts) for parts in item.requests]
            crash = _Crash(item.server, at, requests, item.is_refused)
            self._crashes.append(crash)
            self._last_crashes[item.server] = crash
        self._noise = LossNoise(report.answers, report.losses, received_at)
        self._search_at = received_at

    def _suspected_crash(self, crash: _Crash, now: float) -> SuspectedCrash:
        remaining = (
            tuple(sorted(part for part in request if self._is_suspected(part, crash)))
            for request in crash.requests
        )
        suspected = tuple(parts for parts in remaining if parts)
        age_ms = int((now - crash.at) * _MS_PER_SECOND)
        requests = suspected[:_MAX_REPORTED_REQUESTS]
        return SuspectedCrash(crash.server, age_ms, requests, crash.is_refused)

    def _is_suspected(self, part: str, crash: _Crash) -> bool:
        """Return whether a part was not answered since the crash."""
        return crash.at > self._answered_at.get(part, float("-inf"))

    def _drop_old(self, now: float) -> None:
        while self._crashes:
            crash = self._crashes[0]
            is_old = now - crash.at > _CRASH_RETENTION_SECONDS
            if not is_old and len(self._crashes) < _MAX_CRASHES:
                return
            self._crashes.popleft()

    def _drop_cleared(self, now: float) -> None:
        """Drop settled crashes of which no part is suspected any more."""
        self._crashes = deque(
            crash
            for crash in self._crashes
            if now < crash.settled_at
            or any(
                self._is_suspected(part, crash)
                for request in crash.requests
                for part in request
            )
        )

    def _most_suspected(self, crashes: list[_Crash], now: float) -> PartVerdict | None:
        """Return the part that explains most among those that have enough crashes.

        A part that was never answered goes first, then the one with more crashes, then
        the one whose crashes are less explained by the other parts of its requests.
        """
        suspected = self._crashes_by_part(crashes)
        counted = {part: _counted(own) for part, own in suspected.items()}
        counts = {part: len(own) for part, own in counted.items()}
        harmful = [
            part
            for part in suspected
            if self._is_harmful(part, counted[part], suspected[part], now)
        ]
        if not harmful:
            return None

        def rank(part: str) -> tuple[bool, int, int, str]:
            is_unanswered = part not in self._answered_at
            explained = _explained(part, suspected[part], counts)
            return is_unanswered, counts[part], -explained, part

        part = max(harmful, key=rank)
        servers = tuple(crash.server for crash in suspected[part])
        return PartVerdict(part, servers, part in self._answered_at)

    def _is_harmful(
        self, part: str, counted: list[_Crash], suspected: list[_Crash], now: float
    ) -> bool:
        """Return whether a part has enough crashes, and not by chance.

        Servers that refused connections afterwards need no further proof.
        """
        required = self._required_crashes(part)
        refusing = {crash.server for crash in counted if crash.is_refused}
        if len(refusing) >= required:
            return True
        if len(counted) < required:
            return False
        chance = self._chance(counted, suspected, now)
        return chance <= self._largest_chance(part)

    def _chance(
        self, counted: list[_Crash], suspected: list[_Crash], now: float
    ) -> float:
        """Return the chance that an innocent part is at all of these crashes.

        Crashes within a moment may have a cause in common.
        """
        own = Counter[str]()
        for crash in suspected:
            own[crash.server] += len(crash.requests) * weight(now - crash.at)
        total = own.total()
        chance = 1.0
        for moment in _by_moment(counted):
            server = moment[0].server
            share = self._noise.share(server, total, own[server], now)
            chance *= max(_LEAST_LOSS_SHARE, share)
        return chance

    def _largest_chance(self, part: str) -> float:
        if part in self._answered_at:
            return _CHANCE_OF_ANSWERED_PART
        return _CHANCE_OF_UNANSWERED_PART

    def _required_crashes(self, part: str) -> int:
        if part in self._answered_at:
            return _CRASHES_OF_ANSWERED_PART
        return _CRASHES_OF_UNANSWERED_PART

    def _crashes_by_part(self, crashes: Iterable[_Crash]) -> dict[str, list[_Crash]]:
        """Return the crashes at which each part is suspected, oldest first."""
        by_part: dict[str, list[_Crash]] = {}
        for crash in crashes:
            for part in frozenset().union(*crash.requests):
                if self._is_suspected(part, crash):
                    by_part.setdefault(part, []).append(crash)
        return by_part

    def _remove(self, part: str) -> None:
        """Remove the requests with a part from all crashes."""
        for crash in self._crashes:
            crash.requests = [item for item in crash.requests if part not in item]


def _counted(crashes: list[_Crash]) -> list[_Crash]:
    """Return the crashes that count, a bounded number of each moment."""
    return [
        crash
        for moment in _by_moment(crashes)
        for crash in moment[:_MAX_CRASHES_PER_MOMENT]
    ]


def _by_moment(crashes: list[_Crash]) -> list[list[_Crash]]:
    """Return crashes, oldest first, in groups that begin within a moment."""
    moments: list[list[_Crash]] = []
    for crash in crashes:
        if moments and crash.at - moments[-1][0].at <= _MOMENT_SECONDS:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments


def _explained(part: str, crashes: list[_Crash], counts: dict[str, int]) -> int:
    """Return how far the other parts of its requests explain the crashes of a part."""
    others = (
        max((counts.get(other, 0) for other in request - {part}), default=0)
        for crash in crashes
        for request in crash.requests
        if part in request
    )
    return sum(others)
