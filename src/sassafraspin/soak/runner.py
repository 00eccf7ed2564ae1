"""Runs a soak and checks the promises."""

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

_HEAL_SECONDS = 60.0
"""Time after the last fault in which all must be ready; start and leases take less
than ten seconds, the rest is for a busy machine."""

_CALM_SECONDS = 3.0
_POLL_SECONDS = 0.1
_RETRIES = 6
_DEADLINE_MS = 15_000


async def run_soak(settings: SoakSettings, folder: Path) -> SoakReport:
    """Run one soak; processes that it started are ended before it returns.

    Parameters
    ----------
    settings : SoakSettings
        Seed and size.
    folder : Path
        Empty folder for settings, data and logs.
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
    """One run; ``run_soak`` uses it."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._folder = folder
        self._faults = plan_faults(settings)
        self._operator = ProfileOperator()
        self._violations: list[Violation] = []
        self.deployment = Deployment(settings, folder)
        self._links = [LinkProxy(address) for address in self.deployment.callers]

    async def run(self, nursery: trio.Nursery) -> SoakReport:
        """Start, harm, heal and check."""
        for link in self._links:
            await link.open()
            nursery.start_soon(link.serve)
        await self._start_all()
        if not await self._heals("before any fault"):
            return self.report({})
        await self._until(self._put_first_profile, "a first profile is acknowledged")
        harmed = await self._harm()
        if await self._heals("after the last fault"):
            await self._check_profile()
            calm = await self._load(_CALM_SECONDS, "calm", keyed=False)
            self.check_answers(calm)
            if set(calm.results) - {"good", "late"}:
                self._violate("calls are answered after the faults", calm.results)
        return self.report(harmed.results)

    async def _start_all(self) -> None:
        for number in range(self._settings.instances):
            await self.deployment.start_instance(number)
        for number in range(self._settings.engines):
            await self.deployment.start_engine(number)

    async def _put_first_profile(self) -> bool:
        return await self._operator.put(self.deployment.operators[0])

    async def _harm(self) -> LoadReport:
        reports: list[LoadReport] = []

        async def load() -> None:
            reports.append(await self._load(self._settings.seconds, "harmed"))

        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            for fault in self._faults:
                await trio.sleep_until(began_at + fault.at)
                nursery.start_soon(self._inject, fault)
        self.check_answers(reports[0])
        return reports[0]

    async def _load(self, seconds: float, name: str, keyed: bool = True) -> LoadReport:
        """Send a load over the links, with retries.

        Keys whose two holders stopped together are answered as unknown for an hour,
        since they may have been executed; calls without a key are not bound to that.
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
                await deployment.instance_end(target)
                deployment.lose_disk(target)
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
                await deployment.engine_end(target)
                await trio.sleep(seconds)
                await deployment.start_engine(target)
            case FreezeEngine(target=target, seconds=seconds):
                deployment.signal_engine(target, signal.SIGSTOP)
                await trio.sleep(seconds)
                deployment.signal_engine(target, signal.SIGCONT)
            case DelayLink(target=target, seconds=seconds, delay=delay):
                await self._links[target].delay(seconds, delay)
            case CutLink(target=target, seconds=seconds, direction=direction):
                await self._links[target].hold(seconds, direction)
            case ResetLink(target=target):
                self._links[target].reset()
            case PutProfile(target=target):
                await self._operator.put(deployment.operators[target])

    async def _stop(self, target: int) -> None:
        """Ask an instance to stop; one that is frozen meanwhile goes on later."""
        self.deployment.signal_instance(target, signal.SIGTERM)
        status = await self.deployment.instance_end(target)
        if status not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self._violate("a stopped instance ends with status 0", status)

    async def _start_later(self, target: int, seconds: float) -> None:
        await self.deployment.instance_end(target)
        await trio.sleep(seconds)
        await self.deployment.start_instance(target)

    # Checks

    def check_answers(self, report: LoadReport) -> None:
        """Check what callers and back ends saw of a load."""
        if report.executions is not None and report.executions.repeated:
            seen = report.executions.repeated
            self._violate("a key is executed at most once", seen)
        if "wrong" in report.results:
            self._violate("answers are whole and belong to their request", "wrong")

    async def _check_profile(self) -> None:
        """Check that no instance has lost what was acknowledged."""
        acknowledged = self._operator.acknowledged
        for number, address in enumerate(self.deployment.operators):
            version = await self._operator.version_at(address)
            if version is None or version < acknowledged:
                seen = f"entry-{number} has {version}, not {acknowledged}"
                self._violate("acknowledged changes are kept", seen)

    async def _heals(self, when: str) -> bool:
        """Start what does not run and wait until all instances are ready."""
        await self._start_all()
        return await self._until(self._all_ready, f"all instances are ready {when}")

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

    async def _until(self, condition: Callable[[], Awaitable[bool]], what: str) -> bool:
        with trio.move_on_after(_HEAL_SECONDS):
            while not await condition():
                await trio.sleep(_POLL_SECONDS)
            return True
        self._violate(what, f"not within {_HEAL_SECONDS:g} s")
        return False

    def _violate(self, promise: str, seen: object) -> None:
        self._violations.append(Violation(promise, str(seen)))

    def report(self, results: dict[str, int]) -> SoakReport:
        """Return the outcome so far."""
        return SoakReport(
            self._settings.seed,
            tuple(map(str, self._faults)),
            {str(kind): count for kind, count in results.items()},
            self._operator.acknowledged,
            tuple(self._violations),
            str(self._folder),
        )
