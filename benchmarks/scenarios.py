"""Goodput by tier and wasted prefill under load, compared with simple policies.

Run as ``python -m benchmarks.scenarios --seeds 100``; prints the table of
docs/MEASURES.md.
"""

import multiprocessing
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, replace

import click

from benchmarks.simulation import (
    POLICIES,
    EngineSpec,
    Outcome,
    RequestKind,
    Scenario,
    simulate,
)

__all__ = ["SCENARIOS"]

_REQUEST_KINDS = (
    RequestKind(0, 3.0, 100, 30, 3.0, account="a"),
    RequestKind(1, 2.0, 600, 120, 8.0, account="b"),
    RequestKind(2, 2.0, 200, 20, 5.0, account="c"),
    RequestKind(3, 1.0, 3000, 300, 30.0, cancellable=True, account="d"),
)

_ENGINES = (
    EngineSpec(10_000, 100),
    EngineSpec(10_000, 100),
    EngineSpec(6_000, 60),
    EngineSpec(6_000, 60),
    EngineSpec(4_000, 40),
    EngineSpec(4_000, 40),
)

_SLOW_ENGINE = (replace(_ENGINES[0], true_factor=2.0), *_ENGINES[1:])

_TWO_ACCOUNTS = (
    replace(_REQUEST_KINDS[1], account="burst", weight=2.0),
    replace(_REQUEST_KINDS[1], account="steady", weight=2.0),
)

SCENARIOS = (
    Scenario("unloaded, 0.3x", _REQUEST_KINDS, _ENGINES, 0.3),
    Scenario("steady, 0.8x", _REQUEST_KINDS, _ENGINES, 0.8),
    Scenario("overload, 2x", _REQUEST_KINDS, _ENGINES, 2.0),
    Scenario("overload, 4x", _REQUEST_KINDS, _ENGINES, 4.0),
    Scenario("one engine at half speed, 0.8x", _REQUEST_KINDS, _SLOW_ENGINE, 0.8),
    Scenario("heavy-tailed lengths, 0.8x", _REQUEST_KINDS, _ENGINES, 0.8, sigma=1.2),
    Scenario("burst of one account, 0.6x", _TWO_ACCOUNTS, _ENGINES, 0.6, burst=8.0),
    Scenario(
        "shared prefixes, reports 0.1 s late, 0.6x",
        _REQUEST_KINDS,
        _ENGINES,
        0.6,
        prefixes=40,
        prefix_tokens=1024,
        report_lag=0.1,
    ),
    Scenario(
        "shared prefixes, reports 5 s late, 30% lost, 0.6x",
        _REQUEST_KINDS,
        _ENGINES,
        0.6,
        prefixes=40,
        prefix_tokens=1024,
        report_lag=5.0,
        cache_loss=0.3,
    ),
)


@dataclass(frozen=True)
class Job:
    """Parameters of one run."""

    scenario: int
    policy: str
    seed: int


def run_job(job: Job) -> Outcome:
    """Simulate one scenario with one policy and seed."""
    return simulate(SCENARIOS[job.scenario], job.policy, job.seed)


@click.command()
@click.option("--seeds", default=100, help="Number of seeds, starting at 1.")
@click.option("--processes", default=6, help="Number of parallel runs.")
@click.option("--only", default="", help="Run only scenarios whose name contains this.")
def main(seeds: int, processes: int, only: str) -> None:
    """Print a Markdown table of medians over the seeds, with the 5th percentile."""
    chosen = [n for n, item in enumerate(SCENARIOS) if only in item.name]
    jobs = [
        Job(scenario, policy, seed)
        for scenario in chosen
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    with multiprocessing.Pool(processes) as pool:
        outcomes = pool.map(run_job, jobs, chunksize=4)
    click.echo(
        "| scenario | policy | tier 0 | tier 1 | tier 2 | tier 3 | all | "
        "good work / capacity | wasted prefill / prompt |"
    )
    click.echo("| --- " * 9 + "|")
    for scenario in chosen:
        for policy in POLICIES:
            group = [
                outcome
                for job, outcome in zip(jobs, outcomes, strict=True)
                if (job.scenario, job.policy) == (scenario, policy)
            ]
            cells = " | ".join(_cells(group))
            click.echo(f"| {SCENARIOS[scenario].name} | {policy} | {cells} |")
    _echo_accounts(chosen, jobs, outcomes)


def _cells(group: list[Outcome]) -> Iterator[str]:
    for tier in range(4):
        yield _median([_share(item.good, item.sent, tier) for item in group])
    yield _median(
        [sum(item.good.values()) / max(1, sum(item.sent.values())) for item in group]
    )
    yield _median([item.good_work / item.capacity for item in group])
    yield _median([item.wasted_tokens / max(1, item.prefill_tokens) for item in group])


def _echo_accounts(chosen: list[int], jobs: list[Job], outcomes: list[Outcome]) -> None:
    for scenario in chosen:
        if SCENARIOS[scenario].burst == 1.0:
            continue
        click.echo(f"\n{SCENARIOS[scenario].name}: goodput of the steady account")
        for policy in POLICIES:
            shares = [
                item.good_by_account.get("steady", 0)
                / max(1, item.sent_by_account.get("steady", 0))
                for job, item in zip(jobs, outcomes, strict=True)
                if (job.scenario, job.policy) == (scenario, policy)
            ]
            click.echo(f"- {policy}: {_median(shares)}")


def _share(good: dict[int, int], sent: dict[int, int], tier: int) -> float | None:
    return good.get(tier, 0) / sent[tier] if sent.get(tier) else None


def _median(values: list[float | None]) -> str:
    known = sorted(value for value in values if value is not None)
    if not known:
        return "-"
    low = known[len(known) // 20]
    return f"{statistics.median(known):.1%} ({low:.1%})"


if __name__ == "__main__":
    main()
