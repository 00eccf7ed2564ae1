"""A request in the queue of a dispatcher, with its time limits."""

import math
from dataclasses import dataclass

from sassafraspin.dispatch.messages import SlotRequest

__all__ = ["WaitingRequest"]


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    entry : str
        Entry instance that sent the request.
    request : SlotRequest
        The request.
    expected_seconds : float
        Expected time on a backend server, in seconds.
    deadline : float
        Monotonic time at which the complete answer is due, in seconds.
    start_by : float
        Monotonic time by which it has to be sent to meet its latency objective.
    queued_at : float
        Monotonic time at which it was queued.
    disconnects_at : float
        Monotonic time by which the first token or a refusal has to be sent, so that it
        arrives before the caller disconnects.
    first_token_seconds : float
        Expected time to first token on a backend server, in seconds.
    refuse_by : float
        Monotonic time by which a refusal has to be sent, so that it arrives before the
        deadline.
    expected_by : float
        Monotonic time by which a late request was expected to start.
    """

    entry: str
    request: SlotRequest
    expected_seconds: float
    deadline: float
    start_by: float = math.inf
    queued_at: float = 0.0
    disconnects_at: float = math.inf
    first_token_seconds: float = 0.0
    refuse_by: float = math.inf
    expected_by: float = math.inf

    @property
    def latest_start(self) -> float:
        """Return the latest start to answer in time and before the disconnection."""
        return min(
            self.refuse_by,
            self.deadline - self.expected_seconds,
            self.disconnects_at - self.first_token_seconds,
        )

    def is_late(self, now: float) -> bool:
        """Return whether the request can no longer meet its latency objective."""
        return now > self.start_by
