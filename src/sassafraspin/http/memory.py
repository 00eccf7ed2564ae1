"""Budget for the bytes that a process holds for requests and responses."""

import enum
import mmap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from sassafraspin.http.messages import Request
from sassafraspin.http.problems import OutOfMemory

__all__ = [
    "BodyBuffer",
    "Claim",
    "MemoryBudget",
    "MemoryHold",
    "MemoryKind",
    "MemoryUsage",
]

SMALL_BYTES = 32_768
"""Largest request that is served from the part for small requests, and largest body
that is kept in ordinary memory."""

_CHECK_SECONDS = 0.5
"""How often a request that waits looks for transfers that are too slow."""

_WINDOW_SECONDS = 2.0
"""Shortest time over which the rate of a transfer is measured. Lost packets are sent
again within a second on links of the platform."""

_MAX_WAITING = 256
"""Requests that may wait for a part; a waiting one occupies a connection."""

_MS_PER_SECOND = 1000
_LOWEST_TIER = 1_000


class MemoryKind(enum.Enum):
    """What memory is held for; each kind has a part of the budget."""

    SMALL = "small"
    BODY = "body"
    RESPONSE = "response"


_SHARES = {MemoryKind.SMALL: 0.15, MemoryKind.BODY: 0.6, MemoryKind.RESPONSE: 0.25}

_OWNER_FRACTION = 0.75
"""Fraction of a part that one owner may hold, so that others need not wait for it."""


@dataclass(frozen=True)
class Claim:
    """Who needs memory, and how urgently.

    Parameters
    ----------
    owner : str
        Client account, or address of a client without one. Among requests of a tier,
        the owner that holds the least comes first.
    tier : int
        Tier; lower numbers come first.
    timeout_ms : int or None
        Time that the caller has left, ``None`` if it did not say.
    """

    owner: str = ""
    tier: int = _LOWEST_TIER
    timeout_ms: int | None = None


@dataclass(frozen=True)
class MemoryUsage:
    """Bytes that are held by kind, and what was ended for lack of memory."""

    held_bytes: dict[str, int]
    refused_requests: int
    closed_connections: int


@dataclass(eq=False)
class _Waiter:
    """A hold that waits until its bytes fit."""

    hold: "MemoryHold"
    size: int
    claim: Claim
    number: int
    woken: trio.Event = field(default_factory=trio.Event)
    is_granted: bool = False


class _Part:
    """The part of the budget for one kind."""

    def __init__(self, kind: MemoryKind, limit_bytes: int) -> None:
        self.kind = kind
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.waiting: list[_Waiter] = []
        self._held_by_owner: dict[str, int] = {}

    def fits(self, size: int, hold: "MemoryHold") -> bool:
        """Return whether a hold may have bytes; the only hold always may."""
        others = self.held_bytes - hold.bytes_of(self)
        return others + size <= self.limit_bytes or not others

    def is_over_share(self, size: int, hold: "MemoryHold", owner: str) -> bool:
        """Return whether an owner would leave too little to others.

        The only hold of an owner never does; nor do holds without an owner.
        """
        held = self._held_by_owner.get(owner, 0) - hold.bytes_of(self)
        return bool(owner and held) and (
            held + size > _OWNER_FRACTION * self.limit_bytes
        )

    def add(self, owner: str, size: int) -> None:
        """Change the bytes that an owner holds."""
        self.held_bytes += size
        held = self._held_by_owner.get(owner, 0) + size
        if held:
            self._held_by_owner[owner] = held
        else:
            self._held_by_owner.pop(owner, None)

    def rank(self, waiter: _Waiter) -> tuple[int, int, int]:
        """Return the place of a waiter in the order in which they are served."""
        claim = waiter.claim
        return claim.tier, self._held_by_owner.get(claim.owner, 0), waiter.number


class MemoryHold:
    """Bytes that one request or one response holds.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that they are taken from.
    """

    def __init__(self, budget: "MemoryBudget") -> None:
        self._budget = budget
        self._part: _Part | None = None
        self._owner = ""
        self._bytes = 0
        self._scope: trio.CancelScope | None = None
        self._least_rate = 0.0
        self._transferred = 0
        self._active_seconds = 0.0
        self._active_since = 0.0
        self._mark_seconds = 0.0
        self._mark_transferred = 0
        self._is_too_slow = False

    @property
    def bytes(self) -> int:
        """Return the bytes that are held."""
        return self._bytes

    @property
    def kind(self) -> MemoryKind | None:
        """Return what the bytes are held for, ``None`` if none are."""
        return None if self._part is None else self._part.kind

    def bytes_of(self, part: _Part) -> int:
        """Return the bytes that are held of a part."""
        return self._bytes if self._part is part else 0

    @property
    def is_too_slow(self) -> bool:
        """Return whether the transfer was ended because others wait for its bytes."""
        return self._is_too_slow

    def try_take(self, kind: MemoryKind, size: int, claim: Claim) -> bool:
        """Hold bytes, in place of those held before, if that needs no wait."""
        part = self._budget.part(kind)
        if part.waiting or not part.fits(size, self):
            return False
        if part.is_over_share(size, self, claim.owner):
            return False
        self.assign(part, size, claim)
        return True

    async def take(self, kind: MemoryKind, size: int, claim: Claim) -> None:
        """Hold bytes, in place of those held before; wait until they fit.

        Raises
        ------
        OutOfMemory
            If too many requests wait and this one is the last of them.
        """
        if not self.try_take(kind, size, claim):
            await self._budget.wait_for(self, kind, size, claim)

    def assign(self, part: _Part, size: int, claim: Claim) -> None:
        """Take bytes from a part and return those that were held before."""
        part.add(claim.owner, size)
        self.release()
        self._part, self._bytes, self._owner = part, size, claim.owner

    def shrink(self, size: int) -> None:
        """Return what exceeds a size."""
        if self._part is not None and size < self._bytes:
            self._part.add(self._owner, size - self._bytes)
            self._bytes = size
            self._budget.serve_waiting(self._part)

    def release(self) -> None:
        """Return all bytes."""
        part, size = self._part, self._bytes
        if part is None:
            return
        self._part, self._bytes = None, 0
        part.add(self._owner, -size)
        if part.waiting:
            self._budget.serve_waiting(part)

    @contextmanager
    def transfer(self, scope: trio.CancelScope, least_rate: float) -> Iterator[None]:
        """Cancel a scope if others wait and the transfer in it is too slow.

        Its rate is that over all such transfers of the hold; the time between them
        does not count.

        Parameters
        ----------
        scope : trio.CancelScope
            Scope of the transfer.
        least_rate : float
            Bytes a second.
        """
        self._scope = scope
        self._least_rate = least_rate
        self._active_since = trio.current_time()
        self._budget.start_transfer(self)
        try:
            yield
        finally:
            self._budget.end_transfer(self)
            self._active_seconds += trio.current_time() - self._active_since
            self._scope = None

    def record(self, size: int) -> None:
        """Record that bytes were transferred."""
        self._transferred += size

    def end_if_slow(self, now: float) -> bool:
        """End a transfer that is slower than its rate; return whether it was."""
        active = self._active_seconds + now - self._active_since
        elapsed = active - self._mark_seconds
        if self._scope is None or self._is_too_slow or elapsed < _WINDOW_SECONDS:
            return False
        if self._transferred - self._mark_transferred >= self._least_rate * elapsed:
            self._mark_seconds = active
            self._mark_transferred = self._transferred
            return False
        self._is_too_slow = True
        self._scope.cancel()
        return True


class MemoryBudget:
    """Limits the bytes that a process holds for requests and responses.

    Bytes are taken before they are read. What does not fit waits; meanwhile transfers
    that are too slow are ended.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be held in all.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._parts = {
            kind: _Part(kind, int(limit_bytes * share))
            for kind, share in _SHARES.items()
        }
        self._transfers: set[MemoryHold] = set()
        self._waiters = 0
        self._refused = 0
        self._closed = 0

    def part(self, kind: MemoryKind) -> _Part:
        """Return the part for a kind."""
        return self._parts[kind]

    def limit_bytes(self, kind: MemoryKind) -> int:
        """Return the bytes that may be held for a kind."""
        return self._parts[kind].limit_bytes

    @property
    def usage(self) -> MemoryUsage:
        """Return what is held, and what was ended so far."""
        held = {kind.value: part.held_bytes for kind, part in self._parts.items()}
        return MemoryUsage(held, self._refused, self._closed)

    def count_refused(self) -> None:
        """Count a request that was refused for lack of memory."""
        self._refused += 1

    def count_closed(self) -> None:
        """Count a connection that was closed for lack of memory or descriptors."""
        self._closed += 1

    def start_transfer(self, hold: MemoryHold) -> None:
        """Watch the rate of a transfer while others wait."""
        self._transfers.add(hold)

    def end_transfer(self, hold: MemoryHold) -> None:
        """Stop watching a transfer."""
        self._transfers.discard(hold)

    async def wait_for(
        self, hold: MemoryHold, kind: MemoryKind, size: int, claim: Claim
    ) -> None:
        """Wait until bytes fit, and assign them; raises ``OutOfMemory``."""
        part = self._parts[kind]
        self._waiters += 1
        waiter = _Waiter(hold, size, claim, self._waiters)
        part.waiting.append(waiter)
        try:
            self.serve_waiting(part)
            if len(part.waiting) > _MAX_WAITING:
                last = max(part.waiting, key=part.rank)
                part.waiting.remove(last)
                last.woken.set()
            while not waiter.woken.is_set():
                with trio.move_on_after(_CHECK_SECONDS):
                    await waiter.woken.wait()
                self._end_slow_transfers(kind)
        finally:
            if waiter in part.waiting:
                part.waiting.remove(waiter)
                self.serve_waiting(part)
        if not waiter.is_granted:
            raise OutOfMemory

    def serve_waiting(self, part: _Part) -> None:
        """Assign what fits to those that wait, in their order."""
        while waiter := self._next_waiter(part):
            part.waiting.remove(waiter)
            waiter.is_granted = True
            waiter.woken.set()
            waiter.hold.assign(part, waiter.size, waiter.claim)

    @staticmethod
    def _next_waiter(part: _Part) -> _Waiter | None:
        """Return the first waiter that may have its bytes now.

        Others pass one whose owner has its share, but not one that needs more room.
        """
        for waiter in sorted(part.waiting, key=part.rank):
            if not part.fits(waiter.size, waiter.hold):
                return None
            owner = waiter.claim.owner
            if not part.is_over_share(waiter.size, waiter.hold, owner):
                return waiter
        return None

    def _end_slow_transfers(self, kind: MemoryKind) -> None:
        """End the slow transfers whose end may make room for a kind.

        The end of a response makes room for all, since its request is held as long.
        """
        now = trio.current_time()
        for hold in list(self._transfers):
            if hold.kind in (kind, MemoryKind.RESPONSE) and hold.end_if_slow(now):
                self._closed += 1


class BodyBuffer:
    """Collects a body without copying it when it is complete.

    A large body lies in a memory map of its own: its pages are used as they are
    filled, and return to the system at once, which memory of the allocator does not.
    """

    def __init__(self) -> None:
        self._small = bytearray()
        self._map: mmap.mmap | None = None
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def capacity(self) -> int:
        """Return the size up to which the body may grow."""
        return SMALL_BYTES if self._map is None else len(self._map)

    def expand(self, capacity: int) -> None:
        """Make room for a large body."""
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._map = mmap.mmap(-1, capacity, flags=flags)
        self._map[: self._size] = bytes(self._small)
        self._small.clear()

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes, which must fit into the capacity."""
        end = self._size + len(data)
        if self._map is None:
            self._small += data
        else:
            self._map[self._size : end] = data
        self._size = end

    def content(self) -> bytes | memoryview:
        """Return the body; a large one is not copied."""
        if self._map is None:
            return bytes(self._small)
        return memoryview(self._map)[: self._size]


Classify = Callable[[Request, str], Claim]
"""Returns the claim of a request without its body, from the address of its peer."""


def least_rate(size: int, limit_ms: int, timeout_ms: int | None) -> float:
    """Return half of the rate at which a transfer takes all the time it has.

    Parameters
    ----------
    size : int
        Bytes to transfer.
    limit_ms : int
        Longest time for a transfer.
    timeout_ms : int or None
        Time that the caller has left.
    """
    time_ms = limit_ms if timeout_ms is None else min(limit_ms, timeout_ms)
    return 0.5 * size * _MS_PER_SECOND / max(1, time_ms)
