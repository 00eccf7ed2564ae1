"""Phase transitions of a move, as decided by the control leader."""

import math
from dataclasses import dataclass

from sassafraspin.moves.messages import MoveEvidence
from sassafraspin.moves.move import Move, MovePhase, RollbackReason
from sassafraspin.moves.store import MoveStep

__all__ = ["RolloutSettings", "decide_step", "servers_needed"]

_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class RolloutSettings:
    """Conditions under which a move advances.

    Parameters
    ----------
    ramp_shares : tuple of float
        Traffic shares of the new version in the stages of the ramp.
    ramp_requests : tuple of int
        Number of requests of the new version that have to end in each stage. Answered
        and failed requests count; cancelled and unsent ones do not.
    ramp_time_limits : tuple of float
        Point in time from which each stage needs only ``min_requests_share`` of its
        requests, counted from the declaration of the move, as a fraction of the time
        until the rollback would have to start. The time after the last limit is left
        for the soak.
    min_requests_share : float
        Share of a stage's requests that have to end even after its time limit.
    soak_requests : int
        Number of requests of the new version that have to end in the soak, counted
        like ``ramp_requests``.
    min_stage_ms : int
        Minimum duration of a stage of the ramp, in milliseconds.
    rollback_ms : int
        Time reserved for a rollback before the deadline, in milliseconds; at most a
        quarter of the move's ``finish_within_ms`` is reserved. Requests that are still
        running may take its first half. The second half is left for the commit, so that
        operators see the outcome by the deadline.
    drain_timeout_ms : int
        Time after which a rollback completes although requests are still running, in
        milliseconds. It completes earlier if the deadline is close.
    """

    ramp_shares: tuple[float, ...] = (0.1, 0.25, 0.5)
    ramp_requests: tuple[int, ...] = (10, 20, 30)
    ramp_time_limits: tuple[float, ...] = (0.3, 0.4, 0.5)
    min_requests_share: float = 0.3
    soak_requests: int = 60
    min_stage_ms: int = 300
    rollback_ms: int = 2_000
    drain_timeout_ms: int = 10_000


def decide_step(
    move: Move, evidence: MoveEvidence | None, now_ms: int, settings: RolloutSettings
) -> MoveStep | None:
    """Return the transition that is due for a move, if any.

    Parameters
    ----------
    move : Move
        The move as recorded in the replicated log.
    evidence : MoveEvidence or None
        Latest report of the dispatcher. A report on another phase or traffic share than
        the current one can only trigger a rollback.
    now_ms : int
        Wall clock time in milliseconds since the Unix epoch.
    settings : RolloutSettings
        Conditions under which a move advances.

    Returns
    -------
    MoveStep or None
        Transition to propose.
    """
    if move.phase.is_final:
        return None
    if move.phase is MovePhase.ROLLING_BACK:
        return _finish_rollback(move, evidence, now_ms, settings)
    if evidence is not None and evidence.reason is not RollbackReason.NONE:
        return _start_rollback(move, evidence.reason, evidence.detail)
    if now_ms >= move.deadline_ms - _rollback_reserve_ms(move, settings):
        return _start_rollback(
            move, _deadline_reason(move), _deadline_detail(move, evidence)
        )
    if move.phase is MovePhase.DECLARED:
        return _step(move, MovePhase.LOADING, 0.0, "the new version is being loaded")
    if evidence is None or not _is_current(evidence, move):
        return None
    return _advance(move, evidence, now_ms, settings)


def servers_needed(move: Move, servers: int, settings: RolloutSettings) -> int:
    """Return how many of a number of backend servers need the new version.

    The number covers the next stage of the ramp (the first one until the ramp starts,
    all servers after the last one) and the minimum of the move's specification.
    """
    share = _next_share(move.share, settings)
    if move.phase in (MovePhase.DECLARED, MovePhase.LOADING, MovePhase.SAMPLING):
        share = settings.ramp_shares[0]
    return min(servers, max(move.spec.runners, math.ceil(share * servers)))


def _advance(
    move: Move, evidence: MoveEvidence, now_ms: int, settings: RolloutSettings
) -> MoveStep | None:
    in_phase_ms = now_ms - move.phase_since_ms
    match move.phase:
        case MovePhase.LOADING:
            needed = servers_needed(move, evidence.servers, settings)
            if evidence.new_servers < needed:
                return None
            detail = f"{evidence.new_servers} backend servers have it loaded"
            return _step(move, MovePhase.SAMPLING, move.spec.exposed_share, detail)
        case MovePhase.SAMPLING:
            if not _is_sampled(move, evidence):
                return None
            first = settings.ramp_shares[0]
            return _step(move, MovePhase.RAMPING, first, evidence.detail)
        case MovePhase.RAMPING:
            if evidence.ended < _required_requests(move, now_ms, settings):
                return None
            if in_phase_ms < settings.min_stage_ms:
                return None
            return _next_ramp_stage(move, evidence, settings)
        case MovePhase.SOAKING:
            if in_phase_ms < move.spec.soak_ms:
                return None
            if evidence.ended < settings.soak_requests:
                return None
            return _step(move, MovePhase.DONE, 1.0, evidence.detail)
        case _:
            return None


def _is_sampled(move: Move, evidence: MoveEvidence) -> bool:
    """Return whether all sampled requests have ended, most of them conclusively.

    At least half of them have to be answered or failed, not cancelled or unsent.
    """
    required = move.spec.exposed_requests
    all_ended = evidence.shown >= required and evidence.in_flight == 0
    return all_ended and 2 * evidence.ended >= required


def _next_ramp_stage(
    move: Move, evidence: MoveEvidence, settings: RolloutSettings
) -> MoveStep | None:
    share = _next_share(move.share, settings)
    if evidence.new_servers < math.ceil(share * evidence.servers):
        return None
    phase = MovePhase.SOAKING if share >= 1 else MovePhase.RAMPING
    return _step(move, phase, share, evidence.detail)


def _required_requests(move: Move, now_ms: int, settings: RolloutSettings) -> int:
    """Return how many requests have to end in the current stage of the ramp."""
    position = settings.ramp_shares.index(move.share)
    required = settings.ramp_requests[position]
    usable_ms = move.spec.finish_within_ms - _rollback_reserve_ms(move, settings)
    if now_ms < move.declared_at_ms + settings.ramp_time_limits[position] * usable_ms:
        return required
    return math.ceil(settings.min_requests_share * required)


def _next_share(share: float, settings: RolloutSettings) -> float:
    larger = [value for value in settings.ramp_shares if value > share]
    return larger[0] if larger else 1.0


def _finish_rollback(
    move: Move,
    evidence: MoveEvidence | None,
    now_ms: int,
    settings: RolloutSettings,
) -> MoveStep | None:
    is_drained = (
        evidence is not None and _is_current(evidence, move) and evidence.in_flight == 0
    )
    complete_at_ms = min(
        move.phase_since_ms + settings.drain_timeout_ms,
        move.deadline_ms - _rollback_reserve_ms(move, settings) // 2,
    )
    if not is_drained and now_ms < complete_at_ms:
        return None
    return MoveStep(
        move.spec.name,
        move.phase,
        MovePhase.ROLLED_BACK,
        0.0,
        move.reason,
        move.detail,
    )


def _is_current(evidence: MoveEvidence, move: Move) -> bool:
    return evidence.phase is move.phase and evidence.share == move.share


def _rollback_reserve_ms(move: Move, settings: RolloutSettings) -> int:
    return min(settings.rollback_ms, move.spec.finish_within_ms // 4)


def _deadline_reason(move: Move) -> RollbackReason:
    if move.phase in (MovePhase.DECLARED, MovePhase.LOADING):
        return RollbackReason.NOT_LOADED
    return RollbackReason.DEADLINE


def _deadline_detail(move: Move, evidence: MoveEvidence | None) -> str:
    observed = "no report" if evidence is None else evidence.detail
    return f"not done in time, still {move.phase} at {move.share:.0%}: {observed}"


def _start_rollback(move: Move, reason: RollbackReason, detail: str) -> MoveStep:
    return MoveStep(
        move.spec.name, move.phase, MovePhase.ROLLING_BACK, 0.0, reason, detail
    )


def _step(move: Move, phase: MovePhase, share: float, detail: str) -> MoveStep:
    return MoveStep(
        move.spec.name, move.phase, phase, share, RollbackReason.NONE, detail
    )
