"""Cost of control for each instance, and how fast a change is in force everywhere.

Run as ``python -m benchmarks.control_cost``. The instances serve no callers.
"""

import json
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click
from tests.deployment import OPERATOR_TOKEN, Deployment, Instance, call

from benchmarks.processes import read_usage

_SIZES = (5, 11, 25, 50)
_CONTROL_INSTANCES = 5
_SETTLE_SECONDS = 8.0
_CHANGES = 5


@dataclass(frozen=True)
class Reading:
    """Counters of one instance at one time."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    peer_bytes: int
    role: str


@dataclass(frozen=True)
class Rate:
    """Usage of one instance: CPU in ms a second, memory in MB, bytes a second."""

    role: str
    cpu_ms: float
    resident_mb: float
    bytes_per_second: float


@click.command()
@click.option("--seconds", default=10.0, help="Length of each measurement.")
@click.option("--sizes", default=",".join(map(str, _SIZES)), help="Sizes to measure.")
@click.option("--heartbeat-ms", default=500, help="Interval of heartbeats.")
@click.option("--lease-ms", default=3000, help="Length of a member's lease.")
@click.option("--election-ms", default=1000, help="Election timeout.")
def main(
    seconds: float, sizes: str, heartbeat_ms: int, lease_ms: int, election_ms: int
) -> None:
    """Print usage by role, and the spread of profile changes, for each size."""
    for size in map(int, sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment.create(Path(folder), size, _CONTROL_INSTANCES)
            timings = {
                "heartbeat_interval_ms": heartbeat_ms,
                "member_lease_ms": lease_ms,
                "election_timeout_ms": election_ms,
            }
            _set_timings(deployment, timings)
            try:
                _measure(deployment, seconds)
            finally:
                deployment.stop()


def _set_timings(deployment: Deployment, timings: dict[str, int]) -> None:
    for instance in deployment.instances:
        settings = json.loads(instance.file.read_text())
        settings["control"].update(timings)
        instance.file.write_text(json.dumps(settings))


def _measure(deployment: Deployment, seconds: float) -> None:
    deployment.start()
    time.sleep(_SETTLE_SECONDS)
    before = [_read(deployment, item) for item in deployment.instances]
    time.sleep(seconds)
    after = [_read(deployment, item) for item in deployment.instances]
    rates = [_rate(*pair) for pair in zip(before, after, strict=True)]
    size = len(deployment.instances)
    for role in ("leader", "follower", "member"):
        group = [rate for rate in rates if rate.role == role]
        if group:
            click.echo(
                f"{size:3} instances, {role:8}: "
                f"CPU {_mean(rate.cpu_ms for rate in group):6.1f} ms/s, "
                f"memory {_mean(rate.resident_mb for rate in group):5.1f} MB, "
                f"{_mean(rate.bytes_per_second for rate in group):7.0f} bytes/s"
            )
    spreads = [_spread(deployment, version) for version in range(1, _CHANGES + 1)]
    click.echo(
        f"{size:3} instances: change in force everywhere after "
        f"{statistics.median(spreads):.2f} s (median of {_CHANGES}, "
        f"slowest {max(spreads):.2f} s)"
    )


def _spread(deployment: Deployment, version: int) -> float:
    """Return the time from the acknowledgement until all instances have a change."""
    first = deployment.instances[0]
    document = {
        "name": "spread",
        "version": version,
        "service": "sorter-model",
        "tier": 0,
        "deadline_ms": 1000,
    }
    url = f"http://127.0.0.1:{first.operators}/v1/profiles/spread"
    status, body = call("PUT", url, document, token=OPERATOR_TOKEN)
    assert status == 200, body
    acknowledged_at = time.monotonic()

    def wait(instance: Instance) -> float:
        target = f"http://127.0.0.1:{instance.operators}/v1/profiles/spread"
        while True:
            code, answer = call("GET", target, token=OPERATOR_TOKEN)
            if code == 200 and json.loads(answer)["profile"]["version"] >= version:
                return time.monotonic() - acknowledged_at
            time.sleep(0.05)

    with ThreadPoolExecutor(8) as pool:
        return max(pool.map(wait, deployment.instances))


def _read(deployment: Deployment, instance: Instance) -> Reading:
    status = deployment.status(instance)
    usage = read_usage(instance.process.pid)
    control = status["control"]
    role = "member" if control is None else control["role"]
    return Reading(
        time.monotonic(),
        usage.cpu_seconds,
        usage.resident_bytes,
        status["peer_bytes_sent"] + status["peer_bytes_received"],
        role,
    )


def _rate(before: Reading, after: Reading) -> Rate:
    seconds = after.at - before.at
    return Rate(
        after.role,
        (after.cpu_seconds - before.cpu_seconds) * 1000 / seconds,
        after.resident_bytes / 1e6,
        (after.peer_bytes - before.peer_bytes) / seconds,
    )


def _mean(values) -> float:
    return statistics.mean(values)


if __name__ == "__main__":
    main()
