"""Decisions of the control leader on the phases of a move."""

import math
from dataclasses import dataclass

from sassafraspin.moves.messages import MoveEvidence
from sassafraspin.moves.move import Move, MovePhase, TakeBackReason
from sassafraspin.moves.store import MoveStep

__all__ = ["DirectorSettings", "decide_step", "servers_needed"]

_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class DirectorSettings:
    """When a move advances.

    Parameters
    ----------
    ramp_shares : tuple of float
        Shares of the traffic that the ramp goes through.
    ramp_requests : tuple of int
        Requests of the new version that have to end in each step of the ramp.
    ramp_ends : tuple of float
        Part of the time before the take-back by which each step of the ramp ends,
        so that the soak has the rest; a step that is out of time goes on with
        ``least_share`` of its requests.
    least_share : float
        Share of a step's requests that have to end in any case.
    soak_requests : int
        Requests of the new version that have to end in the soak.
    step_ms : int
        Least time in each step, in milliseconds.
    take_back_ms : int
        Time kept before the deadline to take a move back, in milliseconds.
    drain_ms : int
        Time after which a take-back ends although requests still run.
    """

    ramp_shares: tuple[float, ...] = (0.1, 0.25, 0.5)
    ramp_requests: tuple[int, ...] = (10, 20, 30)
    ramp_ends: tuple[float, ...] = (0.3, 0.4, 0.5)
    least_share: float = 0.3
    soak_requests: int = 60
    step_ms: int = 300
    take_back_ms: int = 2_000
    drain_ms: int = 10_000


def decide_step(
    move: Move, evidence: MoveEvidence | None, now_ms: int, settings: DirectorSettings
) -> MoveStep | None:
    """Return the transition that is due for a move, if any.

    Parameters
    ----------
    move : Move
        The move as the log has it.
    evidence : MoveEvidence or None
        Newest report of the dispatcher; one of another phase counts only for a
        verdict against the new version.
    now_ms : int
        Wall clock time in milliseconds since 1970.
    settings : DirectorSettings
        When a move advances.

    Returns
    -------
    MoveStep or None
        Transition to propose.
    """
    if move.phase.is_final:
        return None
    if move.phase is MovePhase.TAKING_BACK:
        return _end_take_back(move, evidence, now_ms, settings)
    if evidence is not None and evidence.reason is not TakeBackReason.NONE:
        return _take_back(move, evidence.reason, evidence.detail)
    if now_ms >= move.deadline_ms - _take_back_time(move, settings):
        return _take_back(move, _late_reason(move), _late_detail(move, evidence))
    if move.phase is MovePhase.DECLARED:
        return _step(move, MovePhase.LOADING, 0.0, "the new version is being loaded")
    if evidence is None or not _belongs(evidence, move):
        return None
    return _advance(move, evidence, now_ms, settings)


def servers_needed(move: Move, servers: int, settings: DirectorSettings) -> int:
    """Return how many backend servers should have the new version by now."""
    share = _next_share(move.share, settings)
    if move.phase in (MovePhase.DECLARED, MovePhase.LOADING, MovePhase.SAMPLING):
        share = settings.ramp_shares[0]
    return min(servers, max(move.spec.runners, math.ceil(share * servers)))


def _advance(
    move: Move, evidence: MoveEvidence, now_ms: int, settings: DirectorSettings
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
            if evidence.ended < _requests_to_end(move, now_ms, settings):
                return None
            if in_phase_ms < settings.step_ms:
                return None
            return _next_ramp_step(move, evidence, settings)
        case MovePhase.SOAKING:
            if in_phase_ms < move.spec.soak_ms:
                return None
            if evidence.ended < settings.soak_requests:
                return None
            return _step(move, MovePhase.DONE, 1.0, evidence.detail)
        case _:
            return None


def _is_sampled(move: Move, evidence: MoveEvidence) -> bool:
    """Return whether the first requests have ended, most of them with a result."""
    wanted = move.spec.exposed_requests
    all_ended = evidence.shown >= wanted and evidence.in_flight == 0
    return all_ended and 2 * evidence.ended >= wanted


def _next_ramp_step(
    move: Move, evidence: MoveEvidence, settings: DirectorSettings
) -> MoveStep | None:
    share = _next_share(move.share, settings)
    if evidence.new_servers < math.ceil(share * evidence.servers):
        return None
    phase = MovePhase.SOAKING if share >= 1 else MovePhase.RAMPING
    return _step(move, phase, share, evidence.detail)


def _requests_to_end(move: Move, now_ms: int, settings: DirectorSettings) -> int:
    """Return how many requests end a step of the ramp, fewer once it is overdue."""
    position = settings.ramp_shares.index(move.share)
    wanted = settings.ramp_requests[position]
    usable_ms = move.spec.finish_within_ms - _take_back_time(move, settings)
    if now_ms < move.declared_at_ms + settings.ramp_ends[position] * usable_ms:
        return wanted
    return math.ceil(settings.least_share * wanted)


def _next_share(share: float, settings: DirectorSettings) -> float:
    larger = [value for value in settings.ramp_shares if value > share]
    return larger[0] if larger else 1.0


def _end_take_back(
    move: Move,
    evidence: MoveEvidence | None,
    now_ms: int,
    settings: DirectorSettings,
) -> MoveStep | None:
    is_drained = (
        evidence is not None and _belongs(evidence, move) and evidence.in_flight == 0
    )
    is_overdue = now_ms - move.phase_since_ms >= settings.drain_ms
    if not is_drained and not is_overdue and now_ms < move.deadline_ms:
        return None
    return MoveStep(
        move.spec.name,
        move.phase,
        MovePhase.TAKEN_BACK,
        0.0,
        move.reason,
        move.detail,
    )


def _belongs(evidence: MoveEvidence, move: Move) -> bool:
    return evidence.phase is move.phase and evidence.share == move.share


def _take_back_time(move: Move, settings: DirectorSettings) -> int:
    return min(settings.take_back_ms, move.spec.finish_within_ms // 4)


def _late_reason(move: Move) -> TakeBackReason:
    if move.phase in (MovePhase.DECLARED, MovePhase.LOADING):
        return TakeBackReason.NOT_LOADED
    return TakeBackReason.DEADLINE


def _late_detail(move: Move, evidence: MoveEvidence | None) -> str:
    seen = "no report" if evidence is None else evidence.detail
    return f"not done in time, still {move.phase} at {move.share:.0%}: {seen}"


def _take_back(move: Move, reason: TakeBackReason, detail: str) -> MoveStep:
    return MoveStep(
        move.spec.name, move.phase, MovePhase.TAKING_BACK, 0.0, reason, detail
    )


def _step(move: Move, phase: MovePhase, share: float, detail: str) -> MoveStep:
    return MoveStep(
        move.spec.name, move.phase, phase, share, TakeBackReason.NONE, detail
    )
