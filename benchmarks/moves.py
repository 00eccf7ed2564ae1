"""Good versions done in time and bad ones taken back, beside a fixed-step ramp.

Run as ``python -m benchmarks.moves --seeds 100``; prints the table of
docs/MEASURES.md. The gate, the evidence and the director are the project's own; the
versions are drawn at random.
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
    DirectorSettings,
    EvidenceSettings,
    MovePhase,
    MoveSpec,
    MoveStore,
    TakeBackReason,
    decide_step,
)

_RATE = 20.0
_ROUTES = ("report", "question", "tag")
_ROUTE_WEIGHTS = (0.6, 0.3, 0.1)
_SERVERS = 10
_REPORT_SECONDS = 0.2
_FINISH_MS = 600_000
_SOAK_MS = 60_000
_OLD_FAILURES = 0.005
_OLD_NOISE = 0.25
_TYPICAL_SECONDS = 0.5


@dataclass(frozen=True)
class Badness:
    """How a new version is bad.

    Parameters
    ----------
    failures : float
        Added share of failed requests.
    slowdown : float
        Factor on the time.
    after_requests : int
        Requests that are served well first.
    from_share : float
        Least share of the traffic at which it shows.
    route : str or None
        Route that it is limited to.
    """

    name: str
    failures: float = 0.0
    slowdown: float = 1.0
    after_requests: int = 0
    from_share: float = 0.0
    route: str | None = None


VERSIONS = (
    Badness("good"),
    Badness("fails at once, 100%", failures=1.0),
    Badness("fails at once, 50%", failures=0.5),
    Badness("fails at once, 10%", failures=0.1),
    Badness("fails at once, 3%", failures=0.03),
    Badness("slow at once, 5x", slowdown=5.0),
    Badness("slow at once, 2x", slowdown=2.0),
    Badness("slow at once, 1.3x", slowdown=1.3),
    Badness("fails late, 30%", failures=0.3, after_requests=100),
    Badness("slow late, 2x", slowdown=2.0, after_requests=100),
    Badness("slow under load, 2x", slowdown=2.0, from_share=0.4),
    Badness("fails on the rarest route, 50%", failures=0.5, route="tag"),
    Badness("slow on the rarest route, 3x", slowdown=3.0, route="tag"),
)


@dataclass(frozen=True)
class MoveOutcome:
    """How one move ended."""

    done: bool
    reason: TakeBackReason
    seconds: float
    shown: int
    bad_shown: int
    sent: int


class _Run:
    """One move in virtual time."""

    def __init__(self, badness: Badness, seed: int, settings: EvidenceSettings) -> None:
        self._badness = badness
        self._generator = random.Random(seed)
        self._gate = VersionGate("v1", random.Random(seed + 1), settings)
        self._store = MoveStore()
        spec = MoveSpec("move", "model", "v1", "v2", _FINISH_MS, soak_ms=_SOAK_MS)
        self._store.declare(spec, "operator", 0)
        self._now = 0.0
        self._events: list = []
        self._counter = itertools.count()
        self._sent = 0
        self._shown_new = 0
        self._bad_shown = 0

    def run(self) -> MoveOutcome:
        self._at(0.0, self._arrive)
        self._at(0.0, self._report)
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
            self._bad_shown,
            self._sent,
        )

    def _at(self, when: float, action) -> None:
        heapq.heappush(self._events, (when, next(self._counter), action))

    def _report(self) -> None:
        move = self._store.get("move")
        self._gate.follow(
            self._store.versions.get("model", "v1"), self._store.running("model")
        )
        evidence = self._gate.report(ServerCounts(_SERVERS, _SERVERS))
        step = decide_step(move, evidence, int(self._now * 1000), DirectorSettings())
        if step is not None:
            self._store.advance(step, int(self._now * 1000))
            self._gate.follow(
                self._store.versions.get("model", "v1"), self._store.running("model")
            )
        self._at(self._now + _REPORT_SECONDS, self._report)

    def _arrive(self) -> None:
        self._at(self._now + self._generator.expovariate(_RATE), self._arrive)
        self._sent += 1
        [route] = self._generator.choices(_ROUTES, _ROUTE_WEIGHTS)
        version = self._gate.choose_version()
        self._gate.note_start(version)
        failures, slowdown = _OLD_FAILURES, 1.0
        if version == "v2":
            is_bad = self._is_bad(route)
            self._shown_new += 1
            self._bad_shown += is_bad
            if is_bad:
                failures += self._badness.failures
                slowdown = self._badness.slowdown
        noise = math.exp(_OLD_NOISE * self._generator.gauss(0, 1))
        seconds = _TYPICAL_SECONDS * noise * slowdown
        failed = self._generator.random() < failures
        self._at(
            self._now + seconds, lambda: self._end(route, version, seconds, failed)
        )

    def _is_bad(self, route: str) -> bool:
        badness = self._badness
        move = self._store.get("move")
        return (
            badness.route in (None, route)
            and self._shown_new >= badness.after_requests
            and move.share >= badness.from_share
        )

    def _end(self, route: str, version: str, seconds: float, failed: bool) -> None:
        request = SlotRequest("r", "model", "a", "p", route, 0, 10, 50, 10_000, False)
        result = ReleaseResult.FAILED if failed else ReleaseResult.ANSWERED
        release = SlotRelease(
            "model", "r", "g", "b", result, 10, int(seconds * 1000), 50
        )
        self._gate.note_end(version)
        server = ServerTime("gen1", _TYPICAL_SECONDS)
        self._gate.note_outcome(version, request, release, server)


class _FixedRamp:
    """Baseline: fixed steps of 30 s each; back if over 5% of a step failed.

    A step also counts as bad if its mean time exceeds the old mean by half.
    """

    _SHARES = (0.05, 0.1, 0.25, 0.5, 1.0)
    _STEP_SECONDS = 30.0

    def __init__(self, badness: Badness, seed: int) -> None:
        self._badness = badness
        self._generator = random.Random(seed)

    def run(self) -> MoveOutcome:
        now = 0.0
        shown = bad_shown = sent = 0
        for share in self._SHARES:
            end = now + self._STEP_SECONDS
            failed = ended = 0
            total = 0.0
            while now < end:
                now += self._generator.expovariate(_RATE)
                sent += 1
                [route] = self._generator.choices(_ROUTES, _ROUTE_WEIGHTS)
                if self._generator.random() >= share:
                    continue
                is_bad = (
                    self._badness.route in (None, route)
                    and shown >= self._badness.after_requests
                    and share >= self._badness.from_share
                )
                shown += 1
                bad_shown += is_bad
                failures = _OLD_FAILURES + (self._badness.failures if is_bad else 0)
                slowdown = self._badness.slowdown if is_bad else 1.0
                noise = math.exp(_OLD_NOISE * self._generator.gauss(0, 1))
                ended += 1
                failed += self._generator.random() < failures
                total += noise * slowdown
            if ended and (failed / ended > 0.05 or total / ended > 1.5):
                reason = TakeBackReason.FAILURES
                return MoveOutcome(False, reason, now, shown, bad_shown, sent)
        return MoveOutcome(True, TakeBackReason.NONE, now, shown, bad_shown, sent)


@dataclass(frozen=True)
class Job:
    """One run to make; ``threshold`` is ``None`` for the baseline."""

    version: int
    seed: int
    false_alarm: float | None


def run_job(job: Job) -> MoveOutcome:
    """Make one run."""
    badness = VERSIONS[job.version]
    if job.false_alarm is None:
        return _FixedRamp(badness, job.seed).run()
    settings = EvidenceSettings(false_alarm=job.false_alarm)
    return _Run(badness, job.seed, settings).run()


@click.command()
@click.option("--seeds", default=100, help="Number of seeds, from 1 on.")
@click.option("--processes", default=6, help="Runs at the same time.")
@click.option("--curve", is_flag=True, help="Vary the bound on false alarms.")
def main(seeds: int, processes: int, curve: bool) -> None:
    """Print a Markdown table of outcomes for each kind of version."""
    own = EvidenceSettings().false_alarm
    ways = (0.5, 0.1, own, 0.001, 0.0001) if curve else (own,)
    click.echo(
        "| version | way | done | taken back | shown while bad, median (most) | "
        "seconds to the end, median |"
    )
    click.echo("| --- " * 6 + "|")
    with multiprocessing.Pool(processes) as pool:
        for number, version in enumerate(VERSIONS):
            for way in (*ways, None):
                jobs = [Job(number, seed, way) for seed in range(1, seeds + 1)]
                outcomes = pool.map(run_job, jobs, chunksize=4)
                click.echo(_row(version.name, way, outcomes))


def _row(name: str, way: float | None, outcomes: list[MoveOutcome]) -> str:
    label = "fixed steps" if way is None else f"own, {way:g}"
    done = sum(item.done for item in outcomes)
    bad = [item.bad_shown for item in outcomes]
    seconds = statistics.median(item.seconds for item in outcomes)
    return (
        f"| {name} | {label} | {done} | {len(outcomes) - done} | "
        f"{statistics.median(bad):.0f} ({max(bad)}) | {seconds:.0f} |"
    )


if __name__ == "__main__":
    main()
