"""Goodput by tier, and moves, measured with real processes and ``sassafraspin load``.

Run as ``python -m benchmarks.daemons``. It starts three instances and three engines of
different speeds as separate processes on the loopback interface.
"""

import itertools
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
from tests.deployment import CALLER_TOKEN, Deployment

_DECODE_RATES = (100.0, 60.0, 40.0)
_SLOTS = 4
_CROWDING = 0.05

_SEEDS = itertools.count(1)
"""Each load needs its own seed, because answered idempotency keys are not run again."""

_REQUEST_CLASSES = (
    {
        "name": "question",
        "tier": 0,
        "weight": 3,
        "prompt": 100,
        "answer": 20,
        "ms": 3000,
    },
    {"name": "report", "tier": 1, "weight": 2, "prompt": 400, "answer": 60, "ms": 8000},
    {
        "name": "history",
        "tier": 3,
        "weight": 1,
        "prompt": 2000,
        "answer": 150,
        "ms": 30000,
    },
)


@click.command()
@click.option("--seconds", default=15.0, help="Duration of each load.")
@click.option(
    "--loads", default="0.3,0.8,2,4", help="Loads as multiples of the capacity."
)
def main(seconds: float, loads: str) -> None:
    """Print goodput by tier for each load, then the outcomes of two moves."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.create(Path(folder), count=3, control=3)
        try:
            engine_ports = _start(deployment)
            for load in map(float, loads.split(",")):
                report = _run_load(deployment, engine_ports, load, seconds)
                click.echo(f"{load:g}x: {_summary(report)}")
            _run_moves(deployment, engine_ports)
        finally:
            deployment.stop()


def _start(deployment: Deployment) -> list[int]:
    """Start instances and engines, and return the ports of the engines."""
    deployment.start()
    fault = {"version": "bad", "kind": "slow", "factor": 3.0}
    engine_ports = [
        deployment.start_engine(
            number,
            hardware=f"gen{number}",
            decode_tokens_per_second=rate,
            prefill_tokens_per_second=100 * rate,
            slots=_SLOTS,
            crowding=_CROWDING,
            faults=[fault],
        )
        for number, rate in enumerate(_DECODE_RATES, start=1)
    ]
    for kind in _REQUEST_CLASSES:
        put = deployment.put_profile(
            name=kind["name"],
            tier=kind["tier"],
            deadline_ms=kind["ms"],
            answer_tokens=kind["answer"],
            cancellable=kind["tier"] == 3,
        )
        assert put.returncode == 0, put.stderr
    deployment.wait_backends("sorter-model", len(_DECODE_RATES))
    return engine_ports


def _capacity_rate() -> float:
    """Return the request rate per second at which all slots are busy.

    The work of a request is counted in answer tokens; a prompt token counts 1/100,
    since the engines compute it 100 times as fast.
    """
    total = sum(kind["weight"] for kind in _REQUEST_CLASSES)
    mean_work = sum(
        kind["weight"] / total * (kind["prompt"] / 100 + kind["answer"])
        for kind in _REQUEST_CLASSES
    )
    slowdown = 1 + _CROWDING * (_SLOTS - 1)
    return sum(_DECODE_RATES) * _SLOTS / slowdown / mean_work


def _run_load(
    deployment: Deployment, engine_ports: list[int], load: float, seconds: float
) -> dict:
    settings = {
        "targets": [
            {"host": "127.0.0.1", "port": item.callers_port}
            for item in deployment.instances
        ],
        "seconds": seconds,
        "requests_per_second": load * _capacity_rate(),
        "engines": [{"host": "127.0.0.1", "port": port} for port in engine_ports],
        "seed": next(_SEEDS),
        "classes": [
            {
                "name": kind["name"],
                "weight": kind["weight"],
                "tier": kind["tier"],
                "profile": kind["name"],
                "account_token": CALLER_TOKEN,
                "deadline_ms": kind["ms"],
                "prompt": {"median": kind["prompt"], "sigma": 0.3},
                "answer": {"median": kind["answer"], "sigma": 0.3},
            }
            for kind in _REQUEST_CLASSES
        ],
    }
    file = deployment.folder / "load.json"
    file.write_text(json.dumps(settings))
    done = subprocess.run(
        [sys.executable, "-m", "sassafraspin", "load", str(file), "--json"],
        capture_output=True,
        check=True,
    )
    return json.loads(done.stdout)


def _summary(report: dict) -> str:
    tiers = ", ".join(
        f"tier {item['tier']} {item['goodput']:.1%} of {item['sent']}"
        for item in report["tiers"]
    )
    results = ", ".join(f"{name} {n}" for name, n in report["results"].items())
    repeated = len(report["executions"]["repeated"])
    return f"{tiers}; {results}; repeated keys {repeated}"


def _run_moves(deployment: Deployment, engine_ports: list[int]) -> None:
    for name, to_version, from_version in (
        ("to-good", "v2", "v1"),
        ("to-bad", "bad", "v2"),
    ):
        document = {
            "name": name,
            "service": "sorter-model",
            "from_version": from_version,
            "to_version": to_version,
            "finish_within_ms": 120_000,
            "exposed_share": 0.2,
            "soak_ms": 5_000,
        }
        file = deployment.folder / f"{name}.json"
        file.write_text(json.dumps(document))
        declared = deployment.command("move", "declare", str(file))
        assert declared.returncode == 0, declared.stderr
        while True:
            _run_load(deployment, engine_ports, 0.6, 5.0)
            status = deployment.command("move", "status", name, "--json")
            [move] = json.loads(status.stdout)
            if move["phase"] in ("done", "taken-back"):
                break
            time.sleep(0.1)
        click.echo(f"{name}: {move['phase']} ({move['reason']}): {move['detail']}")


if __name__ == "__main__":
    main()
