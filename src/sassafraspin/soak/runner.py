"""Runs a soak test and checks its invariants."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from sassafraspin.errors import RemoteFailure
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request
from sassafraspin.load import (
    LoadReport,
    LoadRunner,
    LoadSettings,
    RequestClass,
    TokenLengths,
)
from sassafraspin.loopback import LOOPBACK_HOST
from sassafraspin.settings import Address
from sassafraspin.soak.model import (
    CutLink,
    DelayLink,
    Fault,
    FreezeEngine,
    FreezeInstance,
    KillEngine,
    KillInstance,
    LoseDisk,
    PutProfile,
    ResetLink,
    RestartAll,
    SoakReport,
    SoakSettings,
    StopInstance,
    Violation,
)
from sassafraspin.soak.operator import ProfileOperator
from sassafraspin.soak.plan import plan_faults
from sassafraspin.soak.processes import PROFILE, TOKEN, Deployment
from sassafraspin.soak.proxy import LinkProxy

__all__ = ["Soak", "run_soak"]

_RECOVERY_TIMEOUT_SECONDS = 60.0
"""Time within which all instances must be ready, before and after the faults.

It also limits the wait for the first profile change. Start and lease renewal take less
than 10 s; the rest allows for a busy machine.
"""

_FINAL_LOAD_SECONDS = 3.0
_POLL_INTERVAL_SECONDS = 0.1
_RETRIES = 6
_DEADLINE_MS = 15_000


async def run_soak(settings: SoakSettings, folder: Path) -> SoakReport:
    """Run one soak test and stop all its processes before returning.

    Parameters
    ----------
    settings : SoakSettings
        Seed, duration and size of the run.
    folder : Path
        Empty folder for settings files, data and logs.
    """
    soak = Soak(settings, folder)
    async with trio.open_nursery() as nursery:
        try:
            return await soak.run(nursery)
        finally:
            with trio.CancelScope(shield=True):
                await soak.deployment.stop()
            nursery.cancel_scope.cancel()


class Soak:
    """One soak run; use ``run_soak`` to start one."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._folder = folder
        self._faults = plan_faults(settings)
        self._operator = ProfileOperator()
        self._violations: list[Violation] = []
        self.deployment = Deployment(settings, folder)
        self._links = [LinkProxy(address) for address in self.deployment.callers]

    async def run(self, nursery: trio.Nursery) -> SoakReport:
        """Start all processes, inject the faults, wait for recovery and check.

        Ends early if the instances are not ready before the first fault. The results in
        the report are those of the load that was sent during the faults.
        """
        for link in self._links:
            await link.open()
            nursery.start_soon(link.serve)
        await self._start_all()
        if not await self._recover("before any fault"):
            return self.report({})
        await self._wait_for(self._put_first_profile, "a first profile is acknowledged")
        load_with_faults = await self._run_with_faults()
        if await self._recover("after the last fault"):
            await self._check_profile()
            final_load = await self._load(_FINAL_LOAD_SECONDS, "calm", keyed=False)
            self.check_answers(final_load)
            if set(final_load.results) - {"good", "late"}:
                self._add_violation(
                    "calls are answered after the faults", final_load.results
                )
        return self.report(load_with_faults.results)

    async def _start_all(self) -> None:
        for number in range(self._settings.instances):
            await self.deployment.start_instance(number)
        for number in range(self._settings.engines):
            await self.deployment.start_engine(number)

    async def _put_first_profile(self) -> bool:
        return await self._operator.put(self.deployment.operators[0])

    async def _run_with_faults(self) -> LoadReport:
        reports: list[LoadReport] = []

        async def load() -> None:
            reports.append(await self._load(self._settings.seconds, "harmed"))

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            for fault in self._faults:
                await trio.sleep_until(started_at + fault.at)
                nursery.start_soon(self._inject, fault)
        self.check_answers(reports[0])
        return reports[0]

    async def _load(self, seconds: float, name: str, keyed: bool = True) -> LoadReport:
        """Send a load through the proxies, with retries.

        If both holders of a key's record stopped at the same time, the key is answered
        as ``unknown`` for an hour, since its call may have been executed. Calls without
        a key are not affected.
        """
        settings = LoadSettings(
            targets=tuple(Address(LOOPBACK_HOST, link.port) for link in self._links),
            seconds=seconds,
            requests_per_second=self._settings.requests_per_second,
            classes=(
                RequestClass(
                    name,
                    1.0,
                    0,
                    PROFILE,
                    TOKEN,
                    _DEADLINE_MS,
                    answer=TokenLengths(10, 0.5, 60),
                    keyed=keyed,
                ),
            ),
            retries=_RETRIES,
            engines=tuple(self.deployment.engines),
            seed=2 * self._settings.seed + (name == "calm"),
        )
        return await LoadRunner(settings).run()

    # Faults

    async def _inject(self, fault: Fault) -> None:
        deployment = self.deployment
        match fault:
            case KillInstance(target=target, seconds=seconds):
                deployment.signal_instance(target, signal.SIGKILL)
                await self._start_later(target, seconds)
            case LoseDisk(target=target, seconds=seconds):
                deployment.signal_instance(target, signal.SIGKILL)
                await deployment.wait_instance_exit(target)
                deployment.delete_data(target)
                await self._start_later(target, seconds)
            case FreezeInstance(target=target, seconds=seconds):
                deployment.signal_instance(target, signal.SIGSTOP)
                await trio.sleep(seconds)
                deployment.signal_instance(target, signal.SIGCONT)
            case StopInstance(target=target, seconds=seconds):
                await self._stop(target)
                await self._start_later(target, seconds)
            case RestartAll(seconds=seconds):
                for target in range(self._settings.instances):
                    await self._stop(target)
                    await self._start_later(target, seconds)
            case KillEngine(target=target, seconds=seconds):
                deployment.signal_engine(target, signal.SIGKILL)
                await deployment.wait_engine_exit(target)
                await trio.sleep(seconds)
                await deployment.start_engine(target)
            case FreezeEngine(target=target, seconds=seconds):
                deployment.signal_engine(target, signal.SIGSTOP)
                await trio.sleep(seconds)
                deployment.signal_engine(target, signal.SIGCONT)
            case DelayLink(target=target, seconds=seconds, delay=delay):
                await self._links[target].delay(seconds, delay)
            case CutLink(target=target, seconds=seconds, direction=direction):
                await self._links[target].block(seconds, direction)
            case ResetLink(target=target):
                self._links[target].reset()
            case PutProfile(target=target):
                await self._operator.put(deployment.operators[target])

    async def _stop(self, target: int) -> None:
        """Send SIGTERM to an instance and check its exit status.

        The status of SIGKILL is accepted, since another fault may kill the instance
        meanwhile, and that of SIGTERM, since it may not handle signals yet. An instance
        that is suspended at that time stops once it has been resumed.
        """
        self.deployment.signal_instance(target, signal.SIGTERM)
        status = await self.deployment.wait_instance_exit(target)
        if status not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self._add_violation("a stopped instance ends with status 0", status)

    async def _start_later(self, target: int, seconds: float) -> None:
        await self.deployment.wait_instance_exit(target)
        await trio.sleep(seconds)
        await self.deployment.start_instance(target)

    # Checks

    def check_answers(self, report: LoadReport) -> None:
        """Check the answers and the execution counts of a load."""
        if report.executions is not None and report.executions.repeated:
            seen = report.executions.repeated
            self._add_violation("a key is executed at most once", seen)
        if "wrong" in report.results:
            self._add_violation(
                "answers are complete and belong to their request", "wrong"
            )

    async def _check_profile(self) -> None:
        """Check that every instance has at least the acknowledged profile version."""
        expected = self._operator.acknowledged_version
        for number, address in enumerate(self.deployment.operators):
            version = await self._operator.version_at(address)
            if version is None or version < expected:
                seen = f"entry-{number} has version {version}, expected {expected}"
                self._add_violation("acknowledged changes are kept", seen)

    async def _recover(self, stage: str) -> bool:
        """Start all stopped processes and wait until all instances are ready."""
        await self._start_all()
        return await self._wait_for(self._all_ready, f"all instances are ready {stage}")

    async def _all_ready(self) -> bool:
        client = HttpClient(ClientTimeouts(connect=0.5, progress=1.0))
        request = Request("GET", "/readyz", Headers((("host", "soak"),)))
        try:
            for address in self.deployment.callers:
                if (await client.send(address, request)).status != 200:
                    return False
        except RemoteFailure:
            return False
        finally:
            client.close()
        return True

    async def _wait_for(
        self, condition: Callable[[], Awaitable[bool]], invariant: str
    ) -> bool:
        with trio.move_on_after(_RECOVERY_TIMEOUT_SECONDS):
            while not await condition():
                await trio.sleep(_POLL_INTERVAL_SECONDS)
            return True
        self._add_violation(invariant, f"not within {_RECOVERY_TIMEOUT_SECONDS:g} s")
        return False

    def _add_violation(self, invariant: str, seen: object) -> None:
        self._violations.append(Violation(invariant, str(seen)))

    def report(self, results: dict[str, int]) -> SoakReport:
        """Return the report of the run so far."""
        return SoakReport(
            self._settings.seed,
            tuple(map(str, self._faults)),
            {str(kind): count for kind, count in results.items()},
            self._operator.acknowledged_version,
            tuple(self._violations),
            str(self._folder),
        )
