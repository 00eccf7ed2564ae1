"""Attribution of the ends of backend servers to parts of prompts."""

from collections import OrderedDict
from dataclasses import dataclass, field

from sassafraspin.isolation.messages import EndReport, SuspectedEnd

__all__ = ["EndEvidence", "PartVerdict"]

_ENDS_OF_UNANSWERED_PART = 4
_ENDS_OF_ANSWERED_PART = 5
"""A part that was answered before is less likely to be the cause."""

_MOMENT_SECONDS = 0.25
_MAX_ENDS_PER_MOMENT = 2
"""A zone or a service that fails takes servers along whatever they answer, so of the
servers that end within a moment only some count."""

_SETTLE_SECONDS = 0.2
"""Reports about an end come from several entry instances."""

_END_RETENTION_SECONDS = 600.0
_MAX_ENDS = 256
_MAX_REQUESTS_PER_END = 64
_MAX_ANSWERED_PARTS = 10_000

_MAX_REPORTED_ENDS = 16
_MAX_REPORTED_REQUESTS = 16
"""Bounds of a report, which is sent while parts are suspected."""

_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class PartVerdict:
    """A part under which servers ended.

    Parameters
    ----------
    part : str
        Identifier of the part.
    servers : tuple of str
        Servers that ended, oldest first.
    was_answered : bool
        Whether a request with the part was answered before these ends.
    """

    part: str
    servers: tuple[str, ...]
    was_answered: bool


@dataclass
class _ServerEnd:
    """End of one server, with the parts of each request that may have caused it."""

    server: str
    at: float
    requests: list[frozenset[str]] = field(default_factory=list)


class EndEvidence:
    """Finds the parts that are common to the ends of servers.

    A part is suspected of each end at which a request with it had not been answered for
    long. An answered request clears its parts of all earlier ends. A part that has been
    found explains the ends of its requests, so that the other parts of these requests
    are not suspected of them.
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[str, _ServerEnd] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._search_at: float | None = None

    def record_answer(self, parts: tuple[str, ...], now: float) -> None:
        """Record that a server answered a request with these parts and went on."""
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > _MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)

    def record_end(self, server: str, parts: tuple[str, ...], now: float) -> None:
        """Record a request that a server was to answer when it ended."""
        self._drop_old(now)
        end = self._ends.setdefault(server, _ServerEnd(server, now))
        if len(end.requests) < _MAX_REQUESTS_PER_END:
            end.requests.append(frozenset(parts))
        if self._search_at is None:
            self._search_at = now + _SETTLE_SECONDS

    def find_harmful(self, now: float) -> PartVerdict | None:
        """Return the most suspected part if it has reached its number of ends.

        Its requests are removed from all ends: it is found once, and it explains the
        ends of its requests.
        """
        if self._search_at is None or now < self._search_at:
            return None
        settled = [
            end for end in self._ends.values() if now - end.at >= _SETTLE_SECONDS
        ]
        verdict = self._most_suspected(settled)
        if verdict is not None:
            self._remove(verdict.part)
            return verdict
        is_settled = len(settled) == len(self._ends)
        self._search_at = None if is_settled else now + _SETTLE_SECONDS
        return None

    def report(self, now: float) -> EndReport:
        """Return the latest ends with the parts that are still suspected."""
        ends = (self._suspected_end(end, now) for end in self._ends.values())
        suspected = [end for end in ends if end.requests]
        return EndReport(tuple(suspected[-_MAX_REPORTED_ENDS:]))

    def adopt(self, report: EndReport, received_at: float) -> None:
        """Take over the ends that a previous leader reported."""
        for item in report.ends:
            end = _ServerEnd(item.server, received_at - item.age_ms / _MS_PER_SECOND)
            end.requests = [frozenset(parts) for parts in item.requests]
            self._ends[item.server] = end
        self._search_at = received_at

    def _suspected_end(self, end: _ServerEnd, now: float) -> SuspectedEnd:
        requests = (
            tuple(sorted(part for part in request if self._is_suspected(part, end)))
            for request in end.requests
        )
        suspected = tuple(parts for parts in requests if parts)
        age_ms = int((now - end.at) * _MS_PER_SECOND)
        return SuspectedEnd(end.server, age_ms, suspected[:_MAX_REPORTED_REQUESTS])

    def _is_suspected(self, part: str, end: _ServerEnd) -> bool:
        """Return whether a part was not answered since the end."""
        return end.at > self._answered_at.get(part, float("-inf"))

    def _drop_old(self, now: float) -> None:
        while self._ends:
            server, end = next(iter(self._ends.items()))
            is_old = now - end.at > _END_RETENTION_SECONDS
            if not is_old and len(self._ends) < _MAX_ENDS:
                return
            del self._ends[server]

    def _most_suspected(self, ends: list[_ServerEnd]) -> PartVerdict | None:
        """Return the part that explains most among those that have enough ends.

        A part that was never answered goes first, then the one with more ends, then
        the one whose ends are less explained by the other parts of its requests.
        """
        suspected = self._ends_by_part(ends)
        counts = {part: _count_ends(own) for part, own in suspected.items()}
        harmful = [
            part for part, count in counts.items() if count >= self._required_ends(part)
        ]
        if not harmful:
            return None

        def rank(part: str) -> tuple[bool, int, int, str]:
            is_unanswered = part not in self._answered_at
            explained = _explained(part, suspected[part], counts)
            return is_unanswered, counts[part], -explained, part

        part = max(harmful, key=rank)
        servers = tuple(end.server for end in suspected[part])
        return PartVerdict(part, servers, part in self._answered_at)

    def _required_ends(self, part: str) -> int:
        if part in self._answered_at:
            return _ENDS_OF_ANSWERED_PART
        return _ENDS_OF_UNANSWERED_PART

    def _ends_by_part(self, ends: list[_ServerEnd]) -> dict[str, list[_ServerEnd]]:
        """Return the ends at which each part is suspected, oldest first."""
        by_part: dict[str, list[_ServerEnd]] = {}
        for end in ends:
            for part in frozenset().union(*end.requests):
                if self._is_suspected(part, end):
                    by_part.setdefault(part, []).append(end)
        return by_part

    def _remove(self, part: str) -> None:
        """Remove the requests with a part from all ends."""
        for end in self._ends.values():
            end.requests = [item for item in end.requests if part not in item]


def _count_ends(ends: list[_ServerEnd]) -> int:
    """Return the number of ends, at most ``_MAX_ENDS_PER_MOMENT`` of each moment."""
    count = of_moment = 0
    moment_at = float("-inf")
    for end in ends:
        if end.at - moment_at > _MOMENT_SECONDS:
            moment_at = end.at
            of_moment = 0
        of_moment += 1
        count += of_moment <= _MAX_ENDS_PER_MOMENT
    return count


def _explained(part: str, ends: list[_ServerEnd], counts: dict[str, int]) -> int:
    """Return how far the other parts of its requests explain the ends of a part."""
    others = (
        max((counts.get(other, 0) for other in request - {part}), default=0)
        for end in ends
        for request in end.requests
        if part in request
    )
    return sum(others)
