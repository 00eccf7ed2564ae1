"""Faults of the instances of a routed deployment, in a series drawn from a seed."""

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count

import trio

from tests.control_processes import ControlProcesses

__all__ = ["CATCH_UP_SECONDS", "CONTACT_SECONDS", "ControlFaults"]

CONTROL_INSTANCES = 3
OTHER_INSTANCES = 5

CONTACT_SECONDS = 3.0
"""Time for which an instance and the control instances must have run undisturbed."""

CATCH_UP_SECONDS = 4.0
"""Time after which a control instance that is back may be relied on."""


@dataclass
class _Instance:
    """An instance that is meant to run; times are those of the soak's clock."""

    has_disk: bool
    disturbed_at: float = field(default_factory=trio.current_time)
    is_frozen: bool = False


class ControlFaults:
    """Starts the instances, harms them, and knows since when they are undisturbed.

    At most one control instance is lost at a time, unless all are killed.

    Parameters
    ----------
    processes : ControlProcesses
        The processes of the instances.
    generator : random.Random
        Selects the faults and the times between them.
    note : callable
        Called with a violation.
    """

    def __init__(
        self,
        processes: ControlProcesses,
        generator: random.Random,
        note: Callable[[str], None],
    ) -> None:
        self._processes = processes
        self._generator = generator
        self._note = note
        self._instances: dict[int, _Instance] = {}
        self._numbers = count()
        self._core_disturbed_at = float("-inf")

    @property
    def instances(self) -> list[int]:
        """Return the numbers of the instances that are meant to run."""
        return sorted(self._instances)

    @property
    def disturbed_at(self) -> float:
        """Return when an instance was last disturbed."""
        instances = self._instances.values()
        return max(self._core_disturbed_at, *(item.disturbed_at for item in instances))

    def any_instance(self) -> int:
        """Return the number of an instance, drawn at random."""
        return self._generator.choice(self.instances)

    def is_in_touch(self, number: int) -> bool:
        """Return whether an instance and the control instances are undisturbed."""
        instance = self._instances.get(number)
        if instance is None or instance.is_frozen:
            return False
        undisturbed_since = max(instance.disturbed_at, self._core_disturbed_at)
        return trio.current_time() - undisturbed_since > CONTACT_SECONDS

    def start_all(self) -> None:
        """Start the whole deployment for the first time."""
        first = list(range(CONTROL_INSTANCES))
        for _ in range(CONTROL_INSTANCES + OTHER_INSTANCES):
            number = next(self._numbers)
            has_disk = number < CONTROL_INSTANCES
            self._instances[number] = _Instance(has_disk)
            self._processes.start(number, first, has_disk, is_first=True)

    async def inject(self, seconds: float) -> None:
        """Inject faults, one after the other, for some time."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self._replace_planned,
            self._replace_lost,
            self._lose_disk,
            self._restart_control,
            self.restart_all,
            self._freeze,
            self._restart,
        ]
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            await self._generator.choice(faults)()
            await trio.sleep(CATCH_UP_SECONDS + self._generator.choice((0.1, 0.5, 3.0)))

    @property
    def _control(self) -> list[int]:
        return [number for number, item in self._instances.items() if item.has_disk]

    def _start(self, number: int, has_disk: bool) -> None:
        """Start an instance whose seeds are any that run."""
        others = sorted({*self._instances, number})
        seeds = self._generator.sample(others, min(3, len(others)))
        self._instances[number] = _Instance(has_disk)
        self._processes.start(number, seeds, has_disk)
        if has_disk:
            self._core_disturbed_at = trio.current_time()

    async def _end(self, number: int, signal_number: signal.Signals) -> None:
        """End an instance; after SIGTERM its status has to be 0."""
        instance = self._instances.pop(number)
        self._processes.signal(number, signal_number)
        status = await self._processes.wait_exit(number)
        if signal_number is signal.SIGTERM and status != 0:
            self._note(f"instance {number} ends with status {status}")
        if instance.has_disk:
            self._core_disturbed_at = trio.current_time()

    async def _replace_planned(self) -> None:
        """Start a successor of a control instance, then stop the instance."""
        old = self._generator.choice(self._control)
        self._start(next(self._numbers), has_disk=True)
        await trio.sleep(self._generator.uniform(0.5, 4.5))
        await self._end(old, signal.SIGTERM)

    async def _replace_lost(self) -> None:
        """Kill a control instance for good, and start another one."""
        old = self._generator.choice(self._control)
        await self._end(old, signal.SIGKILL)
        await trio.sleep(self._generator.choice((0.0, 1.0, 4.0)))
        self._start(next(self._numbers), has_disk=True)

    async def _lose_disk(self) -> None:
        number = self._generator.choice(self._control)
        await self._end(number, signal.SIGKILL)
        self._processes.delete_data(number)
        await trio.sleep(self._generator.choice((0.0, 0.5, 3.0)))
        self._start(number, has_disk=True)

    async def _restart_control(self) -> None:
        await self._restart_together(self._control)

    async def restart_all(self, loses_disk: bool = False) -> None:
        """Kill all instances at once, and start them; a disk may be lost."""
        numbers = sorted(self._instances)
        lost = self._generator.choice(self._control) if loses_disk else None
        await self._restart_together(numbers, lost)

    async def _restart_together(
        self, numbers: list[int], lost_disk: int | None = None
    ) -> None:
        """Kill instances at the same moment, and start them again in any order."""
        stopped = {number: self._instances[number] for number in numbers}
        self._core_disturbed_at = trio.current_time() + CONTACT_SECONDS
        for number in stopped:
            self._processes.signal(number, signal.SIGKILL)
        for number in stopped:
            await self._processes.wait_exit(number)
        if lost_disk is not None:
            self._processes.delete_data(lost_disk)
        await trio.sleep(self._generator.uniform(0.1, 1.0))
        self._generator.shuffle(numbers)
        for number in numbers:
            self._start(number, stopped[number].has_disk)

    async def _freeze(self) -> None:
        number = self.any_instance()
        instance = self._instances[number]
        instance.is_frozen = True
        self._processes.signal(number, signal.SIGSTOP)
        if instance.has_disk:
            self._core_disturbed_at = trio.current_time() + CONTACT_SECONDS
        await trio.sleep(self._generator.choice((0.6, 1.5, 3.0, 6.0)))
        self._processes.signal(number, signal.SIGCONT)
        instance.is_frozen = False
        instance.disturbed_at = trio.current_time()
        if instance.has_disk:
            self._core_disturbed_at = trio.current_time()

    async def _restart(self) -> None:
        number = self.any_instance()
        has_disk = self._instances[number].has_disk
        kind = self._generator.choice((signal.SIGKILL, signal.SIGTERM))
        await self._end(number, kind)
        await trio.sleep(self._generator.choice((0.0, 0.3, 2.0)))
        self._start(number, has_disk)
