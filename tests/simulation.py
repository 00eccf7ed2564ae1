"""Simulated network, clocks and disks with fault injection, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sassafraspin.storage import DiskFull

MAX_CLOCK_DRIFT = 0.04


class SimulatedCrash(BaseException):
    """Raised at the point where the simulated process crashes."""


@dataclass(frozen=True)
class NetworkConditions:
    """Delay, loss and duplication of messages.

    Delays are in seconds; the other values are probabilities.
    """

    min_delay: float = 0.001
    max_delay: float = 0.01
    loss: float = 0.0
    duplication: float = 0.0


class SimulatedNetwork:
    """Delivers messages between named nodes in virtual time.

    Parameters
    ----------
    deliver : callable
        Called with source, target and message.
    """

    def __init__(self, deliver: Callable[[str, str, Any], None]) -> None:
        self._deliver = deliver
        self._queue: list[tuple[float, int, str, str, Any]] = []
        self._counter = itertools.count()
        self.now = 0.0
        self.conditions = NetworkConditions()
        self.generator = random.Random(0)
        self.blocked_links: set[tuple[str, str]] = set()

    def send(self, source: str, target: str, message: Any) -> None:
        """Queue a message for delivery."""
        copies = 2 if self.generator.random() < self.conditions.duplication else 1
        for _ in range(copies):
            if self.generator.random() < self.conditions.loss:
                continue
            delay = self.generator.uniform(
                self.conditions.min_delay, self.conditions.max_delay
            )
            if source == target:
                delay = 0.0
            item = (self.now + delay, next(self._counter), source, target, message)
            heapq.heappush(self._queue, item)

    def run(self, seconds: float, tick: Callable[[], None], step: float) -> None:
        """Advance virtual time: deliver due messages and call ``tick`` at each step."""
        end = self.now + seconds
        next_tick = self.now
        while self.now < end:
            due = self._queue[0][0] if self._queue else end
            self.now = max(self.now, min(due, next_tick, end))
            if self.now >= next_tick:
                tick()
                next_tick = self.now + step
            while self._queue and self._queue[0][0] <= self.now:
                _, _, source, target, message = heapq.heappop(self._queue)
                if (source, target) not in self.blocked_links:
                    self._deliver(source, target, message)


class DriftingClock:
    """Clock of a node, with a random offset and rate.

    Parameters
    ----------
    network : SimulatedNetwork
        Source of true time.
    generator : random.Random
        Source of the offset and the rate.
    """

    def __init__(self, network: SimulatedNetwork, generator: random.Random) -> None:
        self._network = network
        self._offset = generator.uniform(0, 1000)
        half = MAX_CLOCK_DRIFT / 2
        self._rate = 1 + generator.uniform(-half, half)

    def now(self) -> float:
        """Return the node's time in seconds."""
        return self._offset + self._rate * self._network.now


class MemoryFiles:
    """A data folder in memory that can crash or fail at any write.

    Parameters
    ----------
    syncs : bool
        Whether appended bytes survive a crash; ``False`` injects a defect.
    """

    def __init__(self, syncs: bool = True) -> None:
        self._syncs = syncs
        self._durable: dict[str, bytes] = {}
        self._unsynced: dict[str, bytes] = {}
        self.crash_after_writes: int | None = None
        self.torn_bytes = 0
        self.full = False

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it does not exist."""
        if name not in self._durable and name not in self._unsynced:
            return None
        return self._durable.get(name, b"") + self._unsynced.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file."""
        self._fail_if_full()
        if self._is_crash_due():
            torn = data[: self.torn_bytes]
            self._durable[name] = self._durable.get(name, b"") + torn
            raise SimulatedCrash
        if self._syncs:
            self._durable[name] = self._durable.get(name, b"") + data
        else:
            self._unsynced[name] = self._unsynced.get(name, b"") + data

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically."""
        self._fail_if_full()
        if self._is_crash_due():
            raise SimulatedCrash
        self._unsynced.pop(name, None)
        self._durable[name] = data

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._durable.pop(name, None)
        self._unsynced.pop(name, None)

    def crash(self) -> None:
        """Discard unsynced bytes."""
        self._unsynced.clear()
        self.crash_after_writes = None

    def erase(self) -> None:
        """Erase all files."""
        self._durable.clear()
        self._unsynced.clear()
        self.crash_after_writes = None

    def flip_bit(self, name: str, position: int) -> None:
        """Flip one bit of a file."""
        content = bytearray(self._durable[name])
        content[position % len(content)] ^= 1
        self._durable[name] = bytes(content)

    def _fail_if_full(self) -> None:
        if self.full:
            raise DiskFull("data folder: no space left")

    def _is_crash_due(self) -> bool:
        if self.crash_after_writes is None:
            return False
        self.crash_after_writes -= 1
        return self.crash_after_writes < 0
