"""Resource usage of the control quorum, and propagation time of changes.

Run as ``python -m benchmarks.control_cost``. The instances serve no calls meanwhile.
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
_WARM_UP_SECONDS = 8.0
_CHANGES = 5


@dataclass(frozen=True)
class Snapshot:
    """Resource counters of one instance at one point in time."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    peer_bytes: int
    role: str


@dataclass(frozen=True)
class Usage:
    """Resource usage of one instance: CPU in ms/s, memory in MB, traffic in bytes/s."""

    role: str
    cpu_ms: float
    resident_mb: float
    bytes_per_second: float


@click.command()
@click.option("--seconds", default=10.0, help="Duration of each measurement.")
@click.option(
    "--sizes", default=",".join(map(str, _SIZES)), help="Numbers of instances."
)
@click.option("--heartbeat-ms", default=500, help="Heartbeat interval.")
@click.option("--lease-ms", default=3000, help="Duration of a member lease.")
@click.option("--election-ms", default=1000, help="Election timeout.")
def main(
    seconds: float, sizes: str, heartbeat_ms: int, lease_ms: int, election_ms: int
) -> None:
    """Print the usage by role and the propagation time of changes for each size."""
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
    time.sleep(_WARM_UP_SECONDS)
    before = [_snapshot(deployment, item) for item in deployment.instances]
    time.sleep(seconds)
    after = [_snapshot(deployment, item) for item in deployment.instances]
    usages = [_usage_between(*pair) for pair in zip(before, after, strict=True)]
    size = len(deployment.instances)
    for role in ("leader", "follower", "member"):
        group = [usage for usage in usages if usage.role == role]
        if group:
            click.echo(
                f"{size:3} instances, {role:8}: "
                f"CPU {_mean(usage.cpu_ms for usage in group):6.1f} ms/s, "
                f"memory {_mean(usage.resident_mb for usage in group):5.1f} MB, "
                f"{_mean(usage.bytes_per_second for usage in group):7.0f} bytes/s"
            )
    propagation_times = [
        _propagation_seconds(deployment, version) for version in range(1, _CHANGES + 1)
    ]
    click.echo(
        f"{size:3} instances: change active on all instances after "
        f"{statistics.median(propagation_times):.2f} s (median of {_CHANGES}, "
        f"slowest {max(propagation_times):.2f} s)"
    )


def _propagation_seconds(deployment: Deployment, version: int) -> float:
    """Return the time from a change's acknowledgement until all instances have it."""
    first = deployment.instances[0]
    document = {
        "name": "spread",
        "version": version,
        "service": "sorter-model",
        "tier": 0,
        "deadline_ms": 1000,
    }
    url = f"http://127.0.0.1:{first.operators_port}/v1/profiles/spread"
    status, body = call("PUT", url, document, token=OPERATOR_TOKEN)
    assert status == 200, body
    acknowledged_at = time.monotonic()

    def wait(instance: Instance) -> float:
        target = f"http://127.0.0.1:{instance.operators_port}/v1/profiles/spread"
        while True:
            code, answer = call("GET", target, token=OPERATOR_TOKEN)
            if code == 200 and json.loads(answer)["profile"]["version"] >= version:
                return time.monotonic() - acknowledged_at
            time.sleep(0.05)

    with ThreadPoolExecutor(8) as pool:
        return max(pool.map(wait, deployment.instances))


def _snapshot(deployment: Deployment, instance: Instance) -> Snapshot:
    status = deployment.status(instance)
    usage = read_usage(instance.process.pid)
    control = status["control"]
    role = "member" if control is None else control["role"]
    return Snapshot(
        time.monotonic(),
        usage.cpu_seconds,
        usage.resident_bytes,
        status["peer_bytes_sent"] + status["peer_bytes_received"],
        role,
    )


def _usage_between(before: Snapshot, after: Snapshot) -> Usage:
    seconds = after.at - before.at
    return Usage(
        after.role,
        (after.cpu_seconds - before.cpu_seconds) * 1000 / seconds,
        after.resident_bytes / 1e6,
        (after.peer_bytes - before.peer_bytes) / seconds,
    )


def _mean(values) -> float:
    return statistics.mean(values)


if __name__ == "__main__":
    main()
