"""Running requests of a stand-in engine, kept for a while to resume streams."""

from dataclasses import dataclass, field
from enum import StrEnum

import trio

__all__ = ["Job", "JobState", "JobTable"]


_KEPT_JOBS = 2_000


class JobState(StrEnum):
    """How far a request has come."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass
class Job:
    """One request and the events of its answer so far.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    chat : bool
        Whether it is a chat completion.
    model : str
        Model named in the request.
    answer_tokens : int
        Tokens to generate.
    """

    request_id: str
    chat: bool
    model: str
    answer_tokens: int
    events: list[str] = field(default_factory=list)
    state: JobState = JobState.RUNNING
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _changed: trio.Event = field(default_factory=trio.Event)

    def add_event(self, data: str) -> None:
        """Add an event and wake those who follow."""
        self.events.append(data)
        self._wake()

    def end(self, state: JobState) -> None:
        """Record how the request ended."""
        self.state = state
        self._wake()

    async def wait_past(self, position: int) -> None:
        """Wait until there are more events than ``position`` or it has ended."""
        while len(self.events) <= position and self.state is JobState.RUNNING:
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class JobTable:
    """Jobs by request identity, the newest ones kept."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Add a job and forget the oldest ones."""
        self._jobs[job.request_id] = job
        while len(self._jobs) > _KEPT_JOBS:
            self._jobs.pop(next(iter(self._jobs)))

    def get(self, request_id: str) -> Job | None:
        """Return a job."""
        return self._jobs.get(request_id)
