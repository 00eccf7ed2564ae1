"""Runs the script of a case: record, time limit, exit status and clean-up."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.support2.deployment import Deployment, Record
from review.support2.runner import Runner

__all__ = ["Case", "run_case"]

_TIME_LIMIT_SECONDS = 110.0
_BROKEN, _HELD, _COULD_NOT_RUN = 1, 0, 2


class Case:
    """What a scenario works with.

    Parameters
    ----------
    record : Record
        Where it writes what was sent, answered and run.
    daemons : int
        Number of daemons.
    """

    def __init__(self, record: Record, daemons: int) -> None:
        self.record = record
        self.deployment = Deployment(record, daemons)
        self.runners: list[Runner] = []
        self.tasks: list[asyncio.Task] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def start(self, configuration: dict, runners: list[Runner]) -> None:
        """Start daemons and runners; return once the daemons take clients."""
        for number in range(self.deployment.count):
            self.deployment.start(number)
        path = "/sassafraspin/config"
        answer = await self.deployment.order("PUT", path, configuration)
        if answer.status != 200:
            raise OSError(f"the configuration was not accepted: {answer.status}")
        await self.add_runners(runners)
        await self.deployment.wait_ready()
        # Each daemon hears of all runners within a heartbeat.
        await asyncio.sleep(2.0)

    async def add_runners(self, runners: list[Runner]) -> None:
        """Start further runners, which are stopped at the end."""
        for runner in runners:
            self.runners.append(runner)
            await runner.start()

    def runs_by_id(self) -> dict[str, int]:
        """Return how often each request has run."""
        counts: dict[str, int] = {}
        for runner in self.runners:
            for run in runner.runs:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts

    def stop(self) -> None:
        """End everything that was started."""
        for runner in self.runners:
            runner.stop()
        self.deployment.stop()


Scenario = Callable[[Case], Awaitable[bool]]


def run_case(folder: Path, scenario: Scenario, daemons: int = 3) -> None:
    """Run a scenario, which returns whether the rule was broken, and exit."""
    # A script that is ended stops its daemons too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(_COULD_NOT_RUN))
    record = Record(folder / "record.txt")
    case = Case(record, daemons)
    record.write(f"disruption: {'on' if case.has_trouble else 'off'}")
    status = _COULD_NOT_RUN
    try:
        is_broken = asyncio.run(_run_in_time(scenario, case))
        status = _BROKEN if is_broken else _HELD
    except Exception as error:  # noqa: BLE001
        # Whatever went wrong in the script says nothing about the rule.
        record.write(f"could not run: {error!r}")
    finally:
        case.stop()
        record.write(f"exit {status}")
        record.close()
    sys.exit(status)


async def _run_in_time(scenario: Scenario, case: Case) -> bool:
    try:
        async with asyncio.timeout(_TIME_LIMIT_SECONDS):
            return await scenario(case)
    finally:
        for task in case.tasks:
            task.cancel()
