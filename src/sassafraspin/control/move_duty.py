"""The control leader's part in moves: reports come in, transitions go out."""

from collections.abc import Callable

from sassafraspin.control.commands import AdvanceMove
from sassafraspin.control.state import ControlState
from sassafraspin.moves import DirectorSettings, MoveEvidence, MoveStep, decide_step
from sassafraspin.telemetry import part_logger

__all__ = ["MoveDuty"]

_log = part_logger("moves")


class MoveDuty:
    """Decides the transitions of running moves while this instance leads.

    Parameters
    ----------
    settings : DirectorSettings
        When a move advances.
    """

    def __init__(self, settings: DirectorSettings) -> None:
        self._settings = settings
        self._evidence: dict[str, MoveEvidence] = {}

    def receive(self, evidence: MoveEvidence) -> None:
        """Take in a dispatcher's report."""
        self._evidence[evidence.name] = evidence

    def tick(
        self, state: ControlState, now_ms: int, propose: Callable[[AdvanceMove], None]
    ) -> None:
        """Propose the transitions that are due.

        Parameters
        ----------
        state : ControlState
            Applied state of the log.
        now_ms : int
            Wall clock time in milliseconds since 1970.
        propose : callable
            Has a command committed; a transition is proposed until it is applied,
            each time under the same identity.
        """
        for move in state.moves.all_moves():
            if move.phase.is_final:
                self._evidence.pop(move.spec.name, None)
                continue
            evidence = self._evidence.get(move.spec.name)
            step = decide_step(move, evidence, now_ms, self._settings)
            if step is None:
                continue
            command = AdvanceMove(_change_id(step), now_ms, step)
            if state.outcome(command.change_id) is None:
                propose(command)


def _change_id(step: MoveStep) -> str:
    """Return the identity of a transition, which a move makes at most once."""
    return f"move-{step.name}-{step.phase}-{step.share:.3f}"
