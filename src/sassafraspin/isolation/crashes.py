"""Crashes of servers, with what the requests that they lost had in common."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["REPORTS_SECONDS", "Crash", "crashes_by_moment", "crashes_that_count"]

_MOMENT_SECONDS = 0.25
_MAX_CRASHES_PER_MOMENT = 2
"""A zone or a service that fails takes servers along whatever they answer, so of the
servers that crash within a moment only some count."""

_SETTLE_SECONDS = 0.2
"""Reports about a crash come from several entry instances."""

_CONFIRM_SECONDS = 0.5
"""Time in which an answer may show that a server that closed connections went on."""

REPORTS_SECONDS = 0.5
_RESTART_SECONDS = 5.0
"""A server that closes connections again within this time, without an answer since its
crash, has not restarted yet."""


@dataclass(eq=False)
class Crash:
    """Crash of one server, with the signatures of each request that may have caused it.

    ``is_refused`` says that the server refused connections afterwards. Without that, it
    may have broken off the requests for another reason. ``reporters`` are the entry
    instances that reported it, empty for a crash that an earlier leader knew.
    """

    server: str
    incarnation: int
    at: float
    requests: list[frozenset[str]] = field(default_factory=list)
    is_refused: bool = False
    reporters: set[str] = field(default_factory=set)

    @property
    def run(self) -> tuple[str, int]:
        """Return the server and its incarnation."""
        return self.server, self.incarnation

    @property
    def settled_at(self) -> float:
        """Return when all reports about the crash should have arrived."""
        return self.at + (_SETTLE_SECONDS if self.is_refused else _CONFIRM_SECONDS)

    def signatures(self) -> Iterator[str]:
        """Yield the signatures of all its requests, some more than once."""
        for request in self.requests:
            yield from request

    def is_refuted(self, sent_at: float, now: float) -> bool:
        """Return whether the server went on, as it answered an earlier request."""
        was_running = self.at - sent_at > _MOMENT_SECONDS
        return was_running and not self.is_refused and now - self.at > REPORTS_SECONDS

    def explains(self, now: float, is_refused: bool) -> bool:
        """Return whether a loss belongs to this crash, or is due to the restart."""
        is_proven = self.is_refused or not is_refused
        return is_proven and now - self.at < _RESTART_SECONDS


def crashes_that_count(crashes: list[Crash]) -> list[Crash]:
    """Return the crashes that count, a bounded number of each moment."""
    return [
        crash
        for moment in crashes_by_moment(crashes)
        for crash in moment[:_MAX_CRASHES_PER_MOMENT]
    ]


def crashes_by_moment(crashes: list[Crash]) -> list[list[Crash]]:
    """Return crashes, oldest first, in groups that begin within a moment."""
    moments: list[list[Crash]] = []
    for crash in crashes:
        if moments and crash.at - moments[-1][0].at <= _MOMENT_SECONDS:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments
