"""Attempts at backend servers: their progress and their outcomes."""

from dataclasses import dataclass

from sassafraspin.dispatch import ReleaseResult
from sassafraspin.http import BodyFraming, Response

__all__ = [
    "Answered",
    "AttemptOutcome",
    "AttemptProgress",
    "Delivered",
    "Failed",
    "Lost",
    "NotRun",
    "Unused",
    "release_result",
]


@dataclass(frozen=True)
class Answered:
    """The backend server returned a complete answer, which the caller lacks yet."""

    response: Response


@dataclass(frozen=True)
class Delivered:
    """The caller received the complete answer while it was read."""


@dataclass(frozen=True)
class NotRun:
    """The request was not run: it was not sent, or the backend server refused it.

    ``names_limit`` says that the server named a rate limit with its refusal.
    """

    names_limit: bool = False


@dataclass(frozen=True)
class Unused:
    """The request was not sent, because the grant may not be used."""


@dataclass(frozen=True)
class Failed:
    """The backend server ran the request and returned an error."""

    response: Response


@dataclass(frozen=True)
class Lost:
    """The request may have run, and no valid complete answer arrived."""

    reason: str


AttemptOutcome = Answered | Delivered | NotRun | Unused | Failed | Lost
"""Outcome of an attempt at one backend server."""


@dataclass
class AttemptProgress:
    """What has arrived of the answer in an attempt, and when, in seconds."""

    sent_at: float
    first_data_at: float | None = None
    last_data_at: float = 0.0
    longest_pause: float = 0.0
    events: int = 0
    framing: BodyFraming | None = None
    rate_limit: float | None = None
    was_broken_off: bool = False
    server_crashed: bool = False
    server_failed_it: bool = False
    relay: str | None = None
    path_failed: bool = False
    lacked_room: bool = False
    overload_tolerance: float | None = None
    resumed_after: str | None = None

    def record_data(self, now: float) -> None:
        """Record that a complete answer or a chunk of a stream has arrived."""
        if self.first_data_at is None:
            self.first_data_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_data_at)
        self.last_data_at = now


def release_result(outcome: AttemptOutcome) -> ReleaseResult:
    """Return what the dispatcher is told of an outcome."""
    match outcome:
        case Answered() | Delivered():
            return ReleaseResult.ANSWERED
        # A refusal by a rate limit is no failure of the server.
        case Unused() | NotRun(names_limit=True):
            return ReleaseResult.CANCELLED
        case NotRun():
            return ReleaseResult.NOT_SENT
        case Failed() | Lost():
            return ReleaseResult.FAILED
