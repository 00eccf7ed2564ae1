"""Outcomes that may be due to the path of an instance, until that is known."""

from collections import deque
from dataclasses import dataclass

from sassafraspin.dispatch.messages import ReleaseResult, SlotRelease, SlotRequest
from sassafraspin.dispatch.versions import ServerTime

__all__ = ["HeldOutcomes", "Outcome"]

_HOLD_SECONDS = 1.0
"""Time after which an outcome counts if nothing is wrong with the path."""

_MAX_OUTCOMES = 64


@dataclass(frozen=True)
class Outcome:
    """How a request to a version ended, as ``VersionGate.record_outcome`` takes it."""

    version: str
    request: SlotRequest
    release: SlotRelease
    server: ServerTime | None
    limits_counted: int

    @property
    def may_be_due_to_path(self) -> bool:
        """Return whether a request without a path would have ended like this."""
        match self.release.result:
            case ReleaseResult.FAILED:
                return not self.release.server_failed_it
            case ReleaseResult.CANCELLED:
                return not self.release.answer_tokens
            case _:
                return False


class HeldOutcomes:
    """Outcomes of entry instances that may be cut off, by instance.

    A comparison of versions cannot be undone, so they are kept back until their
    instance gets an answer, which shows that it has a path, or is found to have none.
    """

    def __init__(self) -> None:
        self._held: dict[str, deque[tuple[float, Outcome]]] = {}

    def hold(self, entry: str, outcome: Outcome, now: float) -> None:
        """Keep an outcome; beyond a maximum, the oldest is dropped."""
        held = self._held.setdefault(entry, deque(maxlen=_MAX_OUTCOMES))
        held.append((now, outcome))

    def take(self, entry: str) -> list[Outcome]:
        """Return the outcomes of an instance, and keep them no longer."""
        return [outcome for _, outcome in self._held.pop(entry, ())]

    def take_due(self, now: float) -> list[Outcome]:
        """Return the outcomes that have been kept for long enough."""
        due = []
        for entry, held in list(self._held.items()):
            while held and now - held[0][0] >= _HOLD_SECONDS:
                due.append(held.popleft()[1])
            if not held:
                del self._held[entry]
        return due
