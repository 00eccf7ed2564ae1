"""Attribution of the crashes of backend servers to parts of prompts."""

from collections import OrderedDict
from dataclasses import dataclass, field

from sassafraspin.isolation.messages import CrashReport, SuspectedCrash

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
    """Crash of one server, with the parts of each request that may have caused it."""

    server: str
    at: float
    requests: list[frozenset[str]] = field(default_factory=list)


class CrashEvidence:
    """Finds the parts that make requests crash servers (queries of death).

    A part is suspected of each crash of a server that had not answered a request with
    it, or had only begun to. An answered request clears its parts of all earlier
    crashes. A part that was found explains the crashes of its requests, so that their
    other parts are not suspected of them.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._search_at: float | None = None

    def record_answer(self, parts: tuple[str, ...], now: float) -> None:
        """Record that a server answered a request with these parts and went on."""
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > _MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)

    def record_crash(self, server: str, parts: tuple[str, ...], now: float) -> None:
        """Record a request that a server was to answer when it crashed."""
        self._drop_old(now)
        crash = self._crashes.setdefault(server, _Crash(server, now))
        if len(crash.requests) < _MAX_REQUESTS_PER_CRASH:
            crash.requests.append(frozenset(parts))
        if self._search_at is None:
            self._search_at = now + _SETTLE_SECONDS

    def find_harmful(self, now: float) -> PartVerdict | None:
        """Return the most suspected part if it has reached its number of crashes.

        Its requests are removed from all crashes: it is found once, and it explains the
        crashes of its requests.
        """
        if self._search_at is None or now < self._search_at:
            return None
        settled = [
            crash
            for crash in self._crashes.values()
            if now - crash.at >= _SETTLE_SECONDS
        ]
        verdict = self._most_suspected(settled)
        if verdict is not None:
            self._remove(verdict.part)
            return verdict
        is_settled = len(settled) == len(self._crashes)
        self._search_at = None if is_settled else now + _SETTLE_SECONDS
        return None

    def report(self, now: float) -> CrashReport:
        """Return the latest crashes with the parts that are still suspected."""
        crashes = (
            self._suspected_crash(crash, now) for crash in self._crashes.values()
        )
        suspected = [crash for crash in crashes if crash.requests]
        return CrashReport(tuple(suspected[-_MAX_REPORTED_CRASHES:]))

    def adopt(self, report: CrashReport, received_at: float) -> None:
        """Take over the crashes that a previous leader reported."""
        for item in report.crashes:
            crash = _Crash(item.server, received_at - item.age_ms / _MS_PER_SECOND)
            crash.requests = [frozenset(parts) for parts in item.requests]
            self._crashes[item.server] = crash
        self._search_at = received_at

    def _suspected_crash(self, crash: _Crash, now: float) -> SuspectedCrash:
        requests = (
            tuple(sorted(part for part in request if self._is_suspected(part, crash)))
            for request in crash.requests
        )
        suspected = tuple(parts for parts in requests if parts)
        age_ms = int((now - crash.at) * _MS_PER_SECOND)
        return SuspectedCrash(crash.server, age_ms, suspected[:_MAX_REPORTED_REQUESTS])

    def _is_suspected(self, part: str, crash: _Crash) -> bool:
        """Return whether a part was not answered since the crash."""
        return crash.at > self._answered_at.get(part, float("-inf"))

    def _drop_old(self, now: float) -> None:
        while self._crashes:
            server, crash = next(iter(self._crashes.items()))
            is_old = now - crash.at > _CRASH_RETENTION_SECONDS
            if not is_old and len(self._crashes) < _MAX_CRASHES:
                return
            del self._crashes[server]

    def _most_suspected(self, crashes: list[_Crash]) -> PartVerdict | None:
        """Return the part that explains most among those that have enough crashes.

        A part that was never answered goes first, then the one with more crashes, then
        the one whose crashes are less explained by the other parts of its requests.
        """
        suspected = self._crashes_by_part(crashes)
        counts = {part: _count_crashes(own) for part, own in suspected.items()}
        harmful = [
            part
            for part, count in counts.items()
            if count >= self._required_crashes(part)
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

    def _required_crashes(self, part: str) -> int:
        if part in self._answered_at:
            return _CRASHES_OF_ANSWERED_PART
        return _CRASHES_OF_UNANSWERED_PART

    def _crashes_by_part(self, crashes: list[_Crash]) -> dict[str, list[_Crash]]:
        """Return the crashes at which each part is suspected, oldest first."""
        by_part: dict[str, list[_Crash]] = {}
        for crash in crashes:
            for part in frozenset().union(*crash.requests):
                if self._is_suspected(part, crash):
                    by_part.setdefault(part, []).append(crash)
        return by_part

    def _remove(self, part: str) -> None:
        """Remove the requests with a part from all crashes."""
        for crash in self._crashes.values():
            crash.requests = [item for item in crash.requests if part not in item]


def _count_crashes(crashes: list[_Crash]) -> int:
    """Return the number of crashes, a bounded number of each moment."""
    count = of_moment = 0
    moment_at = float("-inf")
    for crash in crashes:
        if crash.at - moment_at > _MOMENT_SECONDS:
            moment_at = crash.at
            of_moment = 0
        of_moment += 1
        count += of_moment <= _MAX_CRASHES_PER_MOMENT
    return count


def _explained(part: str, crashes: list[_Crash], counts: dict[str, int]) -> int:
    """Return how far the other parts of its requests explain the crashes of a part."""
    others = (
        max((counts.get(other, 0) for other in request - {part}), default=0)
        for crash in crashes
        for request in crash.requests
        if part in request
    )
    return sum(others)
