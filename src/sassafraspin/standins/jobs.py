"""Requests of a stand-in engine, retained so that their streams can be resumed."""

from dataclasses import dataclass, field
from enum import StrEnum

import trio

__all__ = ["Job", "JobState", "JobTable"]


_MAX_JOBS = 2_000


class JobState(StrEnum):
    """State of a request."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass
class Job:
    """One request and the events of its answer generated so far.

    Parameters
    ----------
    request_id : str
        Request identifier.
    chat : bool
        Whether the request is a chat completion.
    model : str
        Model named in the request.
    answer_tokens : int
        Number of tokens to generate.
    events : list of str
        Data of the events generated so far.
    state : JobState
        Whether the request is running, finished or cancelled; a failed request is
        cancelled.
    scope : trio.CancelScope
        Scope to cancel to stop the request.
    """

    request_id: str
    chat: bool
    model: str
    answer_tokens: int
    events: list[str] = field(default_factory=list)
    state: JobState = JobState.RUNNING
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _changed: trio.Event = field(default_factory=trio.Event)

    def append_event(self, data: str) -> None:
        """Append an event and notify all waiting tasks."""
        self.events.append(data)
        self._notify()

    def end(self, state: JobState) -> None:
        """Set the final state and notify all waiting tasks."""
        self.state = state
        self._notify()

    async def wait_for_event(self, position: int) -> None:
        """Wait until the event at ``position`` exists or the request has ended."""
        while len(self.events) <= position and self.state is JobState.RUNNING:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class JobTable:
    """The most recent jobs, by request identifier."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Add a job and evict the oldest ones beyond the limit."""
        self._jobs[job.request_id] = job
        while len(self._jobs) > _MAX_JOBS:
            self._jobs.pop(next(iter(self._jobs)))

    def get(self, request_id: str) -> Job | None:
        """Return a job, or ``None`` if it is unknown or was evicted."""
        return self._jobs.get(request_id)
