"""Whether the dispatcher answers, as one entry instance sees it."""

__all__ = ["DispatcherHealth"]


class DispatcherHealth:
    """Notes the silence of a dispatcher until it is heard again.

    Parameters
    ----------
    patience : float
        Time for which one question may go without any answer, in seconds.
    """

    def __init__(self, patience: float) -> None:
        self._patience = patience
        self._silent = False

    @property
    def is_silent(self) -> bool:
        """Return whether questions have gone without an answer."""
        return self._silent

    def note_answer(self) -> None:
        """Record that the dispatcher was heard."""
        self._silent = False

    def note_waiting(self, seconds: float) -> None:
        """Record how long a question has gone without any answer."""
        if seconds >= self._patience:
            self._silent = True
