"""Added latency and CPU time of an entry instance, compared with direct requests.

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
_ANSWER_TOKENS = (1, 101)
_UNLIMITED_TOKENS_PER_SECOND = 1_000_000.0


@dataclass(frozen=True)
class Sample:
    """Median latency and mean CPU time per request."""

    median_ms: float
    cpu_ms: float


@dataclass(frozen=True)
class Round:
    """Latencies of one round of requests, and the CPU time of all instances in it."""

    times_ms: tuple[float, ...]
    cpu_ms: float


class Series:
    """Rounds of one configuration.

    Rounds of all configurations alternate, so that drift affects all of them equally.
    """

    def __init__(self) -> None:
        self._rounds: list[Round] = []

    def add(self, round_: Round) -> None:
        """Add a round."""
        self._rounds.append(round_)

    def sample(self) -> Sample:
        """Return the median latency and the mean CPU time of a request."""
        times = [value for round_ in self._rounds for value in round_.times_ms]
        cpu_ms = sum(round_.cpu_ms for round_ in self._rounds) / len(times)
        return Sample(statistics.median(times), cpu_ms)


@click.command()
def main() -> None:
    """Print the overhead per request and per streamed token."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.create(Path(folder), count=3, control=1)
        try:
            _measure(deployment)
        finally:
            deployment.stop()


def _measure(deployment: Deployment) -> None:
    deployment.start()
    engine_port = deployment.start_engine(
        1,
        decode_tokens_per_second=_UNLIMITED_TOKENS_PER_SECOND,
        prefill_tokens_per_second=_UNLIMITED_TOKENS_PER_SECOND,
    )
    deployment.put_profile(answer_tokens=200)
    deployment.wait_backends("sorter-model", 1)
    entry = Address("127.0.0.1", deployment.instances[1].callers_port)
    direct = Address("127.0.0.1", engine_port)

    def cpu_seconds() -> float:
        return sum(
            read_usage(item.process.pid).cpu_seconds for item in deployment.instances
        )

    configurations = {
        "direct": (direct, False),
        "entry": (entry, False),
        "entry, keyed": (entry, True),
    }
    series = {
        (name, length): Series() for name in configurations for length in _ANSWER_TOKENS
    }
    for number in range(_ROUNDS + 1):
        for (name, length), rounds in series.items():
            address, keyed = configurations[name]
            round_ = trio.run(_run, address, keyed, length, cpu_seconds)
            if number > 0:  # Round 0 is a warm-up.
                rounds.add(round_)
    samples = {
        configuration: rounds.sample() for configuration, rounds in series.items()
    }
    for (name, length), sample in samples.items():
        click.echo(
            f"{name:14} {length:4} tokens: median {sample.median_ms:7.2f} ms, "
            f"CPU of the instances {sample.cpu_ms:6.2f} ms a request"
        )
    _echo_added(samples)


def _echo_added(samples: dict[tuple[str, int], Sample]) -> None:
    short, long = _ANSWER_TOKENS
    for name in ("entry", "entry, keyed"):
        added_ms = samples[name, short].median_ms - samples["direct", short].median_ms
        token_cpu_ms = (samples[name, long].cpu_ms - samples[name, short].cpu_ms) / (
            long - short
        )
        token_ms = (
            samples[name, long].median_ms - samples["direct", long].median_ms - added_ms
        ) / (long - short)
        click.echo(
            f"{name}: {added_ms:.2f} ms and {samples[name, short].cpu_ms:.2f} ms of "
            f"CPU a request of one token; {token_ms * 1000:.0f} us and "
            f"{token_cpu_ms * 1000:.0f} us of CPU for each further token"
        )


async def _run(
    address: Address, keyed: bool, length: int, cpu_seconds: Callable[[], float]
) -> Round:
    """Send one round of requests sequentially."""
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
