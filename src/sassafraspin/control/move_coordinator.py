"""Move transitions that the control leader decides from dispatcher reports."""

from collections.abc import Callable

from sassafraspin.control.commands import AdvanceMove
from sassafraspin.control.state import ControlState
from sassafraspin.moves import MoveEvidence, MoveStep, RolloutSettings, decide_step
from sassafraspin.telemetry import part_logger

__all__ = ["MoveCoordinator"]

_log = part_logger("moves")


class MoveCoordinator:
    """Decides the transitions of running moves while this instance is the leader.

    Parameters
    ----------
    settings : RolloutSettings
        Thresholds for advancing a move.
    """

    def __init__(self, settings: RolloutSettings) -> None:
        self._settings = settings
        self._evidence: dict[str, MoveEvidence] = {}

    def receive(self, evidence: MoveEvidence) -> None:
        """Store the latest report of a dispatcher on a move."""
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
            Proposes a command. A transition is proposed again, with the same
            ``change_id``, until it is applied.
        """
        for move in state.moves.all_moves():
            if move.phase.is_final:
                self._evidence.pop(move.spec.name, None)
                continue
            evidence = self._evidence.get(move.spec.name)
            step = decide_step(move, evidence, now_ms, self._settings)
            if step is None:
                continue
            command = AdvanceMove(_transition_id(step), now_ms, step)
            if state.outcome(command.change_id) is None:
                propose(command)


def _transition_id(step: MoveStep) -> str:
    """Return the ``change_id`` of a transition; a move makes each one at most once.

    One that was refused starts from a phase that the move has left for good.
    """
    return f"move-{step.name}-{step.expected_phase}-{step.phase}-{step.share:.3f}"
