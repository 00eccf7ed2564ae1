"""Processor time and memory of routed instances: start, rest and requests.

Run as ``python -m benchmarks.instance_cost``. With ``--other SRC``, the ``src`` folder
of another build, both builds run side by side: their starts and rounds of requests
alternate, and they rest at the same time, so that drift affects both equally.
"""

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import click
import trio

from benchmarks.processes import read_usage
from sassafraspin.http import (
    ClientTimeouts,
    ConnectFailed,
    ConnectionLost,
    Headers,
    HttpClient,
    HttpServer,
    Request,
    Responder,
    Response,
)
from sassafraspin.loopback import free_ports
from sassafraspin.settings import Address, HttpLimits

_SOURCES = Path(__file__).resolve().parent.parent / "src"
_REGISTER_SECONDS = 1.2
_READY_WITHIN_SECONDS = 60.0
_SETTLE_SECONDS = 5.0
_EVENTS = 50
_NANOSECONDS = 1e9
_MB = 1_048_576
_SEAL = ("x-response-seal", "seal")
_GAP_SECONDS = 0.01
_KINDS = ("safe", "burst", "paced")
"""A whole answer, a stream whose events come at once, and one with gaps between its
events. Requests of the last kind run at the same time, the others one after another."""
_SETTINGS = """
node_name = "front-{number}"
ip = "{host}"
zone = "z{zone}"
region = "south"
internal_ports = [7600, 7615]
seeds = [{seeds}]
bootstrap = true
data_dir = "{folder}"
contracts = ["pool", "health"]
[listen]
front = "{host}:8221"
readiness = "{host}:8224"
control = "{host}:8229"
[zones]
z0 = "south"
z1 = "south"
z2 = "south"
"""


@dataclass(frozen=True)
class _Scale:
    """Numbers of a run."""

    instances: int
    servers: int
    starts: int
    rest_seconds: float
    rounds: int
    requests: int


class _Build:
    """Processes of one build, and what was measured of them."""

    def __init__(self, name: str, sources: Path, network: int, folder: Path) -> None:
        self.name = name
        self.samples: dict[str, list[float]] = {}
        self._sources = sources
        self._network = network
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []

    def add(self, name: str, value: float) -> None:
        """Add a sample."""
        self.samples.setdefault(name, []).append(value)

    def host(self, number: int) -> str:
        """Return the loopback address of an instance."""
        return f"127.0.{self._network}.{number + 1}"

    def front(self, number: int) -> Address:
        """Return the address of an instance for callers."""
        return Address(self.host(number), 8221)

    def control(self, number: int) -> Address:
        """Return the address of an instance for servers and operators."""
        return Address(self.host(number), 8229)

    @property
    def pids(self) -> list[int]:
        """Return the process identifiers of the running instances."""
        return [process.pid for process in self._processes]

    def start(self, count: int, label: str) -> None:
        """Start instances with empty data folders."""
        seeds = ", ".join(f'"{self.host(i)}:8229"' for i in range(min(3, count)))
        for number in range(count):
            folder = self._folder / f"{label}-{number}"
            folder.mkdir()
            path = folder / "settings.toml"
            path.write_text(
                _SETTINGS.format(
                    number=number,
                    host=self.host(number),
                    zone=number % 3,
                    seeds=seeds,
                    folder=folder / "data",
                )
            )
            environment = {
                **os.environ,
                "PYTHONPATH": str(self._sources),
                "SASSAFRASPIN_SETTINGS": str(path),
            }
            code = "from sassafraspin.platform.main import main; main()"
            with (folder / "log").open("wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "-c", code],
                    env=environment,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
            self._processes.append(process)

    def stop(self) -> None:
        """End all instances."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
        self._processes.clear()

    def cpu_seconds(self) -> list[float]:
        """Return the processor time of each instance."""
        return [_cpu_seconds(pid) for pid in self.pids]

    def resident_mb(self) -> list[float]:
        """Return the resident memory of each instance."""
        return [read_usage(pid).resident_bytes / _MB for pid in self.pids]


@dataclass
class _Servers:
    """Backend servers in this process, registered with all builds."""

    addresses: list[Address]
    sequence: int = 0
    client: HttpClient = field(default_factory=lambda: HttpClient(_timeouts()))

    async def serve(self, nursery: trio.Nursery) -> None:
        """Start all servers."""
        for address in self.addresses:
            server = HttpServer(address, HttpLimits(), _answer)
            await nursery.start(server.serve)

    async def register(self, build: _Build, instances: int) -> None:
        """Register all servers until cancelled, spread over the interval."""
        pause = _REGISTER_SECONDS / len(self.addresses)
        while True:
            self.sequence += 1
            for number, address in enumerate(self.addresses):
                document = {
                    "service": "desk",
                    "address": f"{address.host}:{address.port}",
                    "zone": f"z{number % 3}",
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "sequence": self.sequence,
                    "born": 1,
                }
                target = build.control(number % instances)
                path = f"instances/i-{number}"
                with suppress(ConnectFailed, ConnectionLost):
                    await _control(self.client, target, "PUT", path, document)
                await trio.sleep(pause)


async def _answer(request: Request, responder: Responder) -> None:
    request_id = request.headers.get("x-request-id") or ""
    headers = Headers((("x-request-id", request_id), _SEAL))
    if request.path.startswith("/safe/"):
        await responder.send(Response(200, headers, b"answer"))
        return
    content = ("content-type", "text/event-stream")
    await responder.start(200, headers.adding(*content))
    for number in range(_EVENTS):
        if request.path.startswith("/paced/"):
            await trio.sleep(_GAP_SECONDS)
        await responder.write(f"id: {number}\ndata: token\n\n".encode())
    await responder.finish()


@click.command()
@click.option("--other", help="The src folder of another build to compare with.")
@click.option("--instances", default=6, help="Instances of each build.")
@click.option("--servers", default=50, help="Backend servers.")
@click.option("--starts", default=5, help="Starts of a single instance.")
@click.option("--rest", default=15.0, help="Seconds without requests.")
@click.option("--rounds", default=20, help="Rounds of requests.")
@click.option("--requests", default=48, help="Requests of a round.")
def main(
    other: str | None,
    instances: int,
    servers: int,
    starts: int,
    rest: float,
    rounds: int,
    requests: int,
) -> None:
    """Print what an instance spends, for one build or two."""
    scale = _Scale(instances, servers, starts, rest, rounds, requests)
    with _builds(other) as builds:
        for number in range(starts):
            for build in builds:
                trio.run(_measure_start, build, f"start-{number}")
        trio.run(_measure_deployment, builds, scale)
    _echo(builds)


@contextmanager
def _builds(other: str | None) -> Iterator[list[_Build]]:
    sources = {"this": _SOURCES}
    if other is not None:
        sources = {"other": Path(other), **sources}
    with tempfile.TemporaryDirectory() as folder:
        builds = []
        for number, (name, path) in enumerate(sources.items(), start=1):
            (Path(folder) / name).mkdir()
            builds.append(_Build(name, path, number, Path(folder) / name))
        try:
            yield builds
        finally:
            for build in builds:
                build.stop()


async def _measure_start(build: _Build, label: str) -> None:
    """Measure a single instance from its start until it accepts its configuration."""
    build.start(1, label)
    client = HttpClient(_timeouts())
    await _configure(client, build, 1)
    build.add("start: processor ms until ready", 1000 * build.cpu_seconds()[0])
    build.add("start: resident MB", build.resident_mb()[0])
    client.close()
    build.stop()


async def _measure_deployment(builds: list[_Build], scale: _Scale) -> None:
    addresses = [Address("127.0.0.1", port) for port in free_ports(scale.servers)]
    servers = _Servers(addresses)
    client = HttpClient(_timeouts())
    for build in builds:
        build.start(scale.instances, "deployment")
    async with trio.open_nursery() as nursery:
        await servers.serve(nursery)
        for build in builds:
            await _configure(client, build, scale.instances)
            nursery.start_soon(servers.register, build, scale.instances)
        await trio.sleep(_SETTLE_SECONDS)
        await _measure_rest(builds, scale)
        for build in builds:
            for kind in _KINDS:
                await _send_requests(client, build, kind, scale)
        for number in range(scale.rounds):
            for kind in _KINDS:
                for build in builds[:: 1 if number % 2 else -1]:
                    before = sum(build.cpu_seconds())
                    await _send_requests(client, build, kind, scale)
                    spent_ms = 1000 * (sum(build.cpu_seconds()) - before)
                    count = scale.requests // scale.instances * scale.instances
                    name = f"{kind}: processor ms of a request, all instances"
                    build.add(name, spent_ms / count)
        for build in builds:
            build.add("end: resident MB, mean", statistics.mean(build.resident_mb()))
        nursery.cancel_scope.cancel()


async def _measure_rest(builds: list[_Build], scale: _Scale) -> None:
    before = {build.name: build.cpu_seconds() for build in builds}
    started_at = time.monotonic()
    await trio.sleep(scale.rest_seconds)
    elapsed = time.monotonic() - started_at
    for build in builds:
        after = build.cpu_seconds()
        spent = sorted(
            1000 * (later - earlier) / elapsed
            for earlier, later in zip(before[build.name], after, strict=True)
        )
        build.add("rest: ms/s of the busiest instance", spent[-1])
        build.add("rest: ms/s of the others, mean", statistics.mean(spent[:-1]))
        build.add("rest: resident MB, mean", statistics.mean(build.resident_mb()))


async def _configure(client: HttpClient, build: _Build, instances: int) -> None:
    """Offer the configuration until all instances are ready."""
    with trio.fail_after(_READY_WITHIN_SECONDS):
        accepted = False
        for number in range(instances):
            while not await _is_ready(client, build, number):
                for target in range(0 if accepted else instances):
                    with suppress(ConnectFailed, ConnectionLost):
                        response = await _control(
                            client, build.control(target), "PUT", "config", _TABLE
                        )
                        accepted = accepted or response.status == 200
                await trio.sleep(0.02)


async def _is_ready(client: HttpClient, build: _Build, number: int) -> bool:
    address = Address(build.host(number), 8224)
    request = Request("GET", "/sassafraspin/ready", Headers((("host", "balancer"),)))
    with suppress(ConnectFailed, ConnectionLost):
        return (await client.send(address, request)).status == 200
    return False


async def _send_requests(
    client: HttpClient, build: _Build, kind: str, scale: _Scale
) -> None:
    """Send one round of requests, the same number to each instance."""
    count = scale.requests // scale.instances
    tasks, each = (count, 1) if kind == "paced" else (1, count)
    async with trio.open_nursery() as nursery:
        for number in range(scale.instances):
            for _ in range(tasks):
                nursery.start_soon(_send_to, client, build.front(number), kind, each)


async def _send_to(client: HttpClient, target: Address, kind: str, count: int) -> None:
    for number in range(count):
        headers = Headers(
            (
                ("host", "mill.example"),
                ("x-request-id", f"{time.time_ns()}"),
                ("authorization", "Token key"),
                ("x-deadline-ms", "15000"),
                ("x-prefix-hash", f"a:200,b{number}:100"),
                ("x-token-counts", "300,50"),
            )
        )
        body = b"q" * 500 + str(time.time_ns()).encode()
        request = Request("POST", f"/{kind}/x", headers, body)
        response = await client.send(target, request)
        assert response.status == 200, response.body


async def _control(
    client: HttpClient, target: Address, method: str, path: str, document: dict
) -> Response:
    headers = Headers((("host", "control"),))
    body = json.dumps(document).encode()
    request = Request(method, f"/sassafraspin/{path}", headers, body)
    return await client.send(target, request)


_TABLE = {
    "version": 1,
    "routes": [
        {
            "name": kind,
            "hostname": "mill.example",
            "path_prefix": f"/{kind}/",
            "route_type": "safe" if kind == "safe" else "stream",
            "timeout_ms": 20_000,
            "target_latency_ms": 10_000,
            "service": "desk",
            "max_attempts": 2,
        }
        for kind in _KINDS
    ],
    "services": [{"name": "desk", "max_connections": 500}],
    "tenants": [{"name": "mill", "api_keys": ["key"]}],
}


def _timeouts() -> ClientTimeouts:
    return ClientTimeouts(connect=5.0, progress=20.0, idle=2.0)


def _cpu_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process, to the nanosecond."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with suppress(OSError):
            total += int(path.read_text().split()[0])
    return total / _NANOSECONDS


def _echo(builds: list[_Build]) -> None:
    """Print the medians, and that of the ratios of samples taken in turn."""
    names = list(builds[0].samples)
    click.echo(f"| measured | {' | '.join(build.name for build in builds)} | ratio |")
    click.echo("| --- |" + " --- |" * (len(builds) + 1))
    for name in names:
        samples = [build.samples[name] for build in builds]
        cells = [f"{statistics.median(values):.2f}" for values in samples]
        pairs = zip(samples[0], samples[-1], strict=True)
        ratio = statistics.median(last / first for first, last in pairs)
        click.echo(f"| {name} | {' | '.join(cells)} | {ratio:.3f} |")


if __name__ == "__main__":
    main()
