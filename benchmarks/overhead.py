"""Added latency and CPU of an entry instance, side by side with going straight.

Run as ``python -m benchmarks.overhead``.
"""

import json
import statistics
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import trio
from tests.deployment import CALLER_TOKEN, Deployment

from benchmarks.processes import read_usage
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request
from sassafraspin.settings import Address

_ROUNDS = 10
_REQUESTS_PER_ROUND = 40
_LENGTHS = (1, 101)
_FAST = 1_000_000.0


@dataclass(frozen=True)
class Sample:
    """One measured way."""

    median_ms: float
    cpu_ms: float


@dataclass(frozen=True)
class Round:
    """Times of the requests of one round, and the CPU of all instances in it."""

    times_ms: tuple[float, ...]
    cpu_ms: float


class Series:
    """Rounds of one way; the ways take turns, so that drift meets all alike."""

    def __init__(self) -> None:
        self._rounds: list[Round] = []

    def add(self, part: Round) -> None:
        """Take in a round."""
        self._rounds.append(part)

    def sample(self) -> Sample:
        """Return the median time and the mean CPU of a request."""
        times = [value for part in self._rounds for value in part.times_ms]
        cpu_ms = sum(part.cpu_ms for part in self._rounds) / len(times)
        return Sample(statistics.median(times), cpu_ms)


@click.command()
def main() -> None:
    """Print the cost of each request and each streamed token."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.create(Path(folder), count=3, control=1)
        try:
            _measure(deployment)
        finally:
            deployment.stop()


def _measure(deployment: Deployment) -> None:
    deployment.start()
    engine = deployment.start_engine(
        1, decode_tokens_per_second=_FAST, prefill_tokens_per_second=_FAST
    )
    deployment.put_profile(answer_tokens=200)
    deployment.wait_backends("sorter-model", 1)
    entry = Address("127.0.0.1", deployment.instances[1].callers)
    direct = Address("127.0.0.1", engine)

    def cpu_seconds() -> float:
        return sum(
            read_usage(item.process.pid).cpu_seconds for item in deployment.instances
        )

    ways = {
        "direct": (direct, False),
        "entry": (entry, False),
        "entry, keyed": (entry, True),
    }
    series = {(name, length): Series() for name in ways for length in _LENGTHS}
    for number in range(_ROUNDS + 1):
        for (name, length), taken in series.items():
            address, keyed = ways[name]
            part = trio.run(_run, address, keyed, length, cpu_seconds)
            if number > 0:
                taken.add(part)
    samples = {place: taken.sample() for place, taken in series.items()}
    for (name, length), sample in samples.items():
        click.echo(
            f"{name:14} {length:4} tokens: median {sample.median_ms:7.2f} ms, "
            f"CPU of the instances {sample.cpu_ms:6.2f} ms a request"
        )
    _echo_added(samples)


def _echo_added(samples: dict[tuple[str, int], Sample]) -> None:
    short, long = _LENGTHS
    for name in ("entry", "entry, keyed"):
        added_ms = samples[name, short].median_ms - samples["direct", short].median_ms
        slope = (samples[name, long].cpu_ms - samples[name, short].cpu_ms) / (
            long - short
        )
        wait = (
            samples[name, long].median_ms - samples["direct", long].median_ms - added_ms
        ) / (long - short)
        click.echo(
            f"{name}: {added_ms:.2f} ms and {samples[name, short].cpu_ms:.2f} ms of "
            f"CPU a request of one token; {wait * 1000:.0f} us and "
            f"{slope * 1000:.0f} us of CPU for each further token"
        )


async def _run(
    address: Address, keyed: bool, length: int, cpu_seconds: Callable[[], float]
) -> Round:
    """Send a round of requests one after the other."""
    client = HttpClient(ClientTimeouts())
    times = []
    cpu_before = cpu_seconds()
    for _ in range(_REQUESTS_PER_ROUND):
        started_at = time.perf_counter()
        key = f"{time.time_ns()}" if keyed else None
        response = await client.send(address, _request(length, key))
        assert response.status == 200, response.body
        times.append((time.perf_counter() - started_at) * 1000)
    cpu_ms = (cpu_seconds() - cpu_before) * 1000
    client.close()
    return Round(tuple(times), cpu_ms)


def _request(length: int, key: str | None) -> Request:
    headers = Headers(
        (
            ("host", "benchmark"),
            ("authorization", f"Bearer {CALLER_TOKEN}"),
            ("content-type", "application/json"),
        )
    )
    if key is not None:
        headers = headers.adding("idempotency-key", key)
    document = {
        "model": "sorter-model:v1",
        "messages": [{"role": "user", "content": "fill power of lot 7?"}],
        "max_tokens": length,
        "stream": True,
    }
    body = json.dumps(document).encode()
    return Request("POST", "/v1/chat/completions", headers, body)


if __name__ == "__main__":
    main()
