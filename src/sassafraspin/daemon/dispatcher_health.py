"""Dispatcher failure detection on an entry instance."""

__all__ = ["DispatcherHealth"]


class DispatcherHealth:
    """Marks a dispatcher as silent after a timeout until it answers again.

    Parameters
    ----------
    timeout : float
        Longest time for which a request may stay unanswered, in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._silent = False

    @property
    def is_silent(self) -> bool:
        """Return whether the dispatcher is considered silent."""
        return self._silent

    def record_answer(self) -> None:
        """Record that the dispatcher has answered."""
        self._silent = False

    def record_silence(self, seconds: float) -> None:
        """Record how long a request has gone unanswered."""
        if seconds >= self._timeout:
            self._silent = True
