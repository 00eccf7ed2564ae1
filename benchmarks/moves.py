"""Outcomes of moves to good and defective versions, compared with a fixed-step ramp.

Run as ``python -m benchmarks.moves --seeds 100``; prints the table of
docs/MEASURES.md. It runs the real version gate, evidence and decision logic on a
virtual clock; arrivals, durations and failures are random.
"""

import heapq
import itertools
import math
import multiprocessing
import random
import statistics
from dataclasses import dataclass

import click

from sassafraspin.dispatch import ReleaseResult, SlotRelease, SlotRequest
from sassafraspin.dispatch.versions import ServerCounts, ServerTime, VersionGate
from sassafraspin.moves import (
    EvidenceSettings,
    MovePhase,
    MoveSpec,
    MoveStore,
    RollbackReason,
    RolloutSettings,
    decide_step,
)

_REQUESTS_PER_SECOND = 20.0
_ROUTES = ("report", "question", "tag")
_ROUTE_WEIGHTS = (0.6, 0.3, 0.1)
_SERVERS = 10
_REPORT_INTERVAL_SECONDS = 0.2
_FINISH_WITHIN_MS = 600_000
_SOAK_MS = 60_000
_BASELINE_FAILURE_SHARE = 0.005
_DURATION_SIGMA = 0.25
_MEDIAN_SECONDS = 0.5


@dataclass(frozen=True)
class Defect:
    """Defect of a new version.

    Parameters
    ----------
    name : str
        Name in the table.
    failures : float
        Additional share of failed requests.
    slowdown : float
        Factor on the duration of requests.
    after_requests : int
        Number of requests that are served before the defect begins.
    from_share : float
        Minimum share of the traffic for the defect to apply.
    route : str or None
        Route to which the defect is limited.
    """

    name: str
    failures: float = 0.0
    slowdown: float = 1.0
    after_requests: int = 0
    from_share: float = 0.0
    route: str | None = None


VERSIONS = (
    Defect("good"),
    Defect("fails at once, 100%", failures=1.0),
    Defect("fails at once, 50%", failures=0.5),
    Defect("fails at once, 10%", failures=0.1),
    Defect("fails at once, 3%", failures=0.03),
    Defect("slow at once, 5x", slowdown=5.0),
    Defect("slow at once, 2x", slowdown=2.0),
    Defect("slow at once, 1.3x", slowdown=1.3),
    Defect("fails late, 30%", failures=0.3, after_requests=100),
    Defect("slow late, 2x", slowdown=2.0, after_requests=100),
    Defect("slow under load, 2x", slowdown=2.0, from_share=0.4),
    Defect("fails on the rarest route, 50%", failures=0.5, route="tag"),
    Defect("slow on the rarest route, 3x", slowdown=3.0, route="tag"),
)


@dataclass(frozen=True)
class MoveOutcome:
    """Outcome of one move.

    ``sent`` counts all requests, ``shown`` those that the new version served, and
    ``affected`` those of them that its defect affected.
    """

    done: bool
    reason: RollbackReason
    seconds: float
    shown: int
    affected: int
    sent: int


class _MoveSimulation:
    """Simulation of one move on a virtual clock."""

    def __init__(self, defect: Defect, seed: int, settings: EvidenceSettings) -> None:
        self._defect = defect
        self._generator = random.Random(seed)
        self._gate = VersionGate("v1", random.Random(seed + 1), settings)
        self._store = MoveStore()
        spec = MoveSpec(
            "move", "model", "v1", "v2", _FINISH_WITHIN_MS, soak_ms=_SOAK_MS
        )
        self._store.declare(spec, "operator", 0)
        self._now = 0.0
        self._events: list = []
        self._counter = itertools.count()
        self._sent = 0
        self._new_version_requests = 0
        self._affected = 0

    def run(self) -> MoveOutcome:
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._report)
        while True:
            self._now, _, action = heapq.heappop(self._events)
            action()
            move = self._store.get("move")
            if move.phase.is_final:
                break
        return MoveOutcome(
            move.phase is MovePhase.DONE,
            move.reason,
            self._now,
            self._gate.shown,
            self._affected,
            self._sent,
        )

    def _schedule(self, when: float, action) -> None:
        heapq.heappush(self._events, (when, next(self._counter), action))

    def _report(self) -> None:
        move = self._store.get("move")
        self._gate.set_move(
            self._store.versions.get("model", "v1"), self._store.running("model")
        )
        evidence = self._gate.report(ServerCounts(_SERVERS, _SERVERS))
        step = decide_step(move, evidence, int(self._now * 1000), RolloutSettings())
        if step is not None:
            self._store.advance(step, int(self._now * 1000))
            self._gate.set_move(
                self._store.versions.get("model", "v1"), self._store.running("model")
            )
        self._schedule(self._now + _REPORT_INTERVAL_SECONDS, self._report)

    def _arrive(self) -> None:
        self._schedule(
            self._now + self._generator.expovariate(_REQUESTS_PER_SECOND), self._arrive
        )
        self._sent += 1
        [route] = self._generator.choices(_ROUTES, _ROUTE_WEIGHTS)
        version = self._gate.choose_version()
        self._gate.record_start(version)
        failures, slowdown = _BASELINE_FAILURE_SHARE, 1.0
        if version == "v2":
            is_affected = self._is_defective(route)
            self._new_version_requests += 1
            self._affected += is_affected
            if is_affected:
                failures += self._defect.failures
                slowdown = self._defect.slowdown
        noise = math.exp(_DURATION_SIGMA * self._generator.gauss(0, 1))
        seconds = _MEDIAN_SECONDS * noise * slowdown
        failed = self._generator.random() < failures
        self._schedule(
            self._now + seconds, lambda: self._end(route, version, seconds, failed)
        )

    def _is_defective(self, route: str) -> bool:
        defect = self._defect
        move = self._store.get("move")
        return (
            defect.route in (None, route)
            and self._new_version_requests >= defect.after_requests
            and move.share >= defect.from_share
        )

    def _end(self, route: str, version: str, seconds: float, failed: bool) -> None:
        request = SlotRequest("r", "model", "a", "p", route, 0, 10, 50, 10_000, False)
        result = ReleaseResult.FAILED if failed else ReleaseResult.ANSWERED
        release = SlotRelease(
            "model", "r", "g", "b", result, 10, int(seconds * 1000), 50
        )
        self._gate.record_end(version)
        server = ServerTime("gen1", _MEDIAN_SECONDS)
        self._gate.record_outcome(version, request, release, server)


class _FixedRamp:
    """Baseline: raises the traffic share in fixed steps of 30 s.

    It rolls back at the end of a step if more than 5% of its requests failed, or if
    their mean duration exceeds 1.5 times the median of the old version.
    """

    _SHARES = (0.05, 0.1, 0.25, 0.5, 1.0)
    _STEP_SECONDS = 30.0

    def __init__(self, defect: Defect, seed: int) -> None:
        self._defect = defect
        self._generator = random.Random(seed)

    def run(self) -> MoveOutcome:
        now = 0.0
        shown = affected = sent = 0
        for share in self._SHARES:
            end = now + self._STEP_SECONDS
            failed = ended = 0
            total = 0.0
            while now < end:
                now += self._generator.expovariate(_REQUESTS_PER_SECOND)
                sent += 1
                [route] = self._generator.choices(_ROUTES, _ROUTE_WEIGHTS)
                if self._generator.random() >= share:
                    continue
                is_affected = (
                    self._defect.route in (None, route)
                    and shown >= self._defect.after_requests
                    and share >= self._defect.from_share
                )
                shown += 1
                affected += is_affected
                failures = _BASELINE_FAILURE_SHARE + (
                    self._defect.failures if is_affected else 0
                )
                slowdown = self._defect.slowdown if is_affected else 1.0
                noise = math.exp(_DURATION_SIGMA * self._generator.gauss(0, 1))
                ended += 1
                failed += self._generator.random() < failures
                total += noise * slowdown
            if ended and (failed / ended > 0.05 or total / ended > 1.5):
                reason = RollbackReason.FAILURES
                return MoveOutcome(False, reason, now, shown, affected, sent)
        return MoveOutcome(True, RollbackReason.NONE, now, shown, affected, sent)


@dataclass(frozen=True)
class Job:
    """Parameters of one run; ``false_alarm`` is ``None`` for the baseline."""

    version: int
    seed: int
    false_alarm: float | None


def run_job(job: Job) -> MoveOutcome:
    """Simulate one move with the real logic or with the baseline."""
    defect = VERSIONS[job.version]
    if job.false_alarm is None:
        return _FixedRamp(defect, job.seed).run()
    settings = EvidenceSettings(false_alarm=job.false_alarm)
    return _MoveSimulation(defect, job.seed, settings).run()


@click.command()
@click.option("--seeds", default=100, help="Number of seeds, starting at 1.")
@click.option("--processes", default=6, help="Number of parallel runs.")
@click.option("--curve", is_flag=True, help="Vary the false alarm bound.")
def main(seeds: int, processes: int, curve: bool) -> None:
    """Print a Markdown table of the outcomes for each version."""
    default = EvidenceSettings().false_alarm
    false_alarms = (0.5, 0.1, default, 0.001, 0.0001) if curve else (default,)
    click.echo(
        "| version | way | done | taken back | shown while bad, median (most) | "
        "seconds to the end, median |"
    )
    click.echo("| --- " * 6 + "|")
    with multiprocessing.Pool(processes) as pool:
        for number, version in enumerate(VERSIONS):
            for false_alarm in (*false_alarms, None):
                jobs = [Job(number, seed, false_alarm) for seed in range(1, seeds + 1)]
                outcomes = pool.map(run_job, jobs, chunksize=4)
                click.echo(_row(version.name, false_alarm, outcomes))


def _row(name: str, false_alarm: float | None, outcomes: list[MoveOutcome]) -> str:
    label = "fixed steps" if false_alarm is None else f"own, {false_alarm:g}"
    done = sum(item.done for item in outcomes)
    bad = [item.affected for item in outcomes]
    seconds = statistics.median(item.seconds for item in outcomes)
    return (
        f"| {name} | {label} | {done} | {len(outcomes) - done} | "
        f"{statistics.median(bad):.0f} ({max(bad)}) | {seconds:.0f} |"
    )


if __name__ == "__main__":
    main()
