"""First tries served while instances are partitioned from all backend servers.

Daemons in one process share six servers; the links of some daemons are cut 3 s after
the start for 6 s. Run ``python -m benchmarks.partition KIND CUT ALL`` with ``KIND``
``reset``, ``silent`` or ``living``, and the numbers of daemons.
"""

import random
import sys
from collections import Counter
from dataclasses import dataclass, field

import trio
from loguru import logger
from tests.partitioned_deployment import (
    Cut,
    PartitionedDeployment,
    PartitionedInstance,
    answer_by_kind,
    partitioned_deployment,
)

from sassafraspin.errors import RemoteFailure
from sassafraspin.http import Request, Responder

_SERVERS = 6
_CALLS_PER_SECOND = 50
_PATHS = ("/safe/1", "/unsafe/1", "/resumed/1")
_CALLER_SECONDS = 4.0
_CUT_AT = 3.0
_HEAL_AT = 9.0
_END_AT = 11.0
_SHORTEST_RUN, _LONGEST_RUN = 0.02, 0.1


@dataclass
class Tally:
    """Calls by phase and by whether their instance is cut."""

    sent: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)

    def describe(self) -> str:
        """Return a line for each phase and kind of instance."""
        return "\n".join(
            f"{phase:12} {'cut' if is_cut else 'others':7} "
            f"{self.served[phase, is_cut]} of {self.sent[phase, is_cut]}"
            for phase, is_cut in sorted(self.sent)
        )


async def work(request: Request, responder: Responder) -> None:
    """Answer after a random time."""
    await trio.sleep(random.uniform(_SHORTEST_RUN, _LONGEST_RUN))
    await answer_by_kind(request, responder)


def phase_of(elapsed: float) -> str:
    """Return the phase of the run."""
    if elapsed < _CUT_AT:
        return "1 before"
    if elapsed < _CUT_AT + 1:
        return "2 first second"
    return "3 later" if elapsed < _HEAL_AT else "4 healed"


async def call(instance: PartitionedInstance, tally: Tally, key: tuple) -> None:
    """Make one call and count it."""
    tally.sent[key] += 1
    with trio.move_on_after(_CALLER_SECONDS):
        try:
            response = await instance.call(random.choice(_PATHS))
        except RemoteFailure as error:
            print(f"{key}: {error}", file=sys.stderr)
            return
        tally.served[key] += response.status == 200


async def measure(
    deployment: PartitionedDeployment, kind: Cut, cut_count: int
) -> Tally:
    """Send calls to the instances in turn and cut some of them."""
    tally = Tally()
    cut = deployment.instances[:cut_count]
    for runner in deployment.runners:
        runner.behaviour = work
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        is_cut = is_healed = False
        number = 0
        while (elapsed := trio.current_time() - started_at) < _END_AT:
            if elapsed >= _CUT_AT and not is_cut:
                is_cut = True
                for instance in cut:
                    instance.links.cut(kind)
            if elapsed >= _HEAL_AT and not is_healed and kind is not Cut.SILENT:
                is_healed = True
                for instance in cut:
                    instance.links.heal()
            index = number % len(deployment.instances)
            key = (phase_of(elapsed), index < cut_count)
            nursery.start_soon(call, deployment.instances[index], tally, key)
            number += 1
            await trio.sleep(1 / _CALLS_PER_SECOND)
    return tally


async def main() -> None:
    """Run the benchmark and print its tally."""
    kind, cut_count, count = Cut(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    async with partitioned_deployment(count, _SERVERS) as deployment:
        tally = await measure(deployment, kind, cut_count)
    print(tally.describe())


if __name__ == "__main__":
    logger.remove()
    trio.run(main)
