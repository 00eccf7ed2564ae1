"""CPU time of a dispatch decision by number of backend servers.

Run as ``python -m benchmarks.decision_cost``.
"""

import random
import time
from collections import deque

import click
from tests.pool_model import SERVICE, PoolModel, announcement

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import ReleaseResult, SlotGrant, SlotRelease
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings

_SIZES = (10, 100, 600)
_SLOTS = 8
_DECISIONS = 2_000


@click.command()
def main() -> None:
    """Print the CPU time of a slot request, its grant and its release together."""
    for servers in _SIZES:
        for busy_share in (0.5, 0.95):
            cost = _measure(servers, busy_share)
            click.echo(
                f"{servers:4} servers, {busy_share:.0%} busy: {cost * 1e6:7.0f} us"
            )


def _measure(servers: int, busy_share: float) -> float:
    model = PoolModel(servers=0)
    pool = Pool(
        SERVICE,
        DispatchSettings(),
        AccountLimits(()),
        VersionGate("v1", random.Random(1)),
        random.Random(1),
        "t",
        0.0,
    )
    for number in range(servers):
        pool.announce(announcement(number, slots=_SLOTS), 10.0)
    requests = [model.ask(1, 50, 60_000) for _ in range(_DECISIONS)]
    running: deque[SlotGrant] = deque()
    initial_count = int(servers * _SLOTS * busy_share)
    cpu_seconds = 0.0
    now = 10.0
    initial_requests = [
        model.ask(1, 50, 600_000) for _ in range(max(0, initial_count - len(running)))
    ]
    for request in initial_requests:
        running.extend(_grants(pool.request("entry", request, now)))
    for request in requests:
        now += 0.001
        started_at = time.process_time()
        running.extend(_grants(pool.request("entry", request, now)))
        oldest = running.popleft()
        pool.release(
            SlotRelease(
                SERVICE,
                oldest.request_id,
                oldest.grant_id,
                oldest.backend_id,
                ReleaseResult.ANSWERED,
                10,
                500,
                50,
            ),
            now,
        )
        cpu_seconds += time.process_time() - started_at
    return cpu_seconds / len(requests)


def _grants(effects: list) -> list[SlotGrant]:
    return [item.message for item in effects if isinstance(item.message, SlotGrant)]


if __name__ == "__main__":
    main()
