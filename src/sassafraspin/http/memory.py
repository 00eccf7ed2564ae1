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

_GROWING_FRACTION = 0.25
"""Fraction of a part that growing holds may fill, except for one of them: it always
gets the rest, so that they do not all wait for each other."""


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
        self._growing_bytes = 0
        self._unrestricted: MemoryHold | None = None
        self._reclaimable: dict[MemoryHold, Callable[[], None]] = {}

    def fits(self, size: int, hold: "MemoryHold") -> bool:
        """Return whether a hold may have bytes; the only hold always may."""
        others = self.held_bytes - hold.bytes_of(self)
        return others + size <= self.limit_bytes or not others

    def allows(self, size: int, hold: "MemoryHold", owner: str) -> bool:
        """Return whether a hold with these bytes leaves enough to others."""
        if hold.is_growing and not self._may_grow(size, hold):
            return False
        return not self._is_over_share(size, hold, owner)

    def _may_grow(self, size: int, hold: "MemoryHold") -> bool:
        if self._unrestricted in (None, hold):
            return True
        others = self._restricted_bytes - hold.bytes_of(self)
        return others + size <= _GROWING_FRACTION * self.limit_bytes

    @property
    def _restricted_bytes(self) -> int:
        """Return the bytes of all growing holds except for the unrestricted one."""
        if self._unrestricted is None:
            return self._growing_bytes
        return self._growing_bytes - self._unrestricted.bytes

    def _is_over_share(self, size: int, hold: "MemoryHold", owner: str) -> bool:
        """Return whether an owner would leave too little to others.

        The only hold of an owner never does; nor do holds without an owner.
        """
        held = self._held_by_owner.get(owner, 0) - hold.bytes_of(self)
        return bool(owner and held) and (
            held + size > _OWNER_FRACTION * self.limit_bytes
        )

    def add(self, owner: str, size: int, is_growing: bool) -> None:
        """Change the bytes that an owner holds."""
        self.held_bytes += size
        if is_growing:
            self._growing_bytes += size
        held = self._held_by_owner.get(owner, 0) + size
        if held:
            self._held_by_owner[owner] = held
        else:
            self._held_by_owner.pop(owner, None)

    def restrict_growth(self, hold: "MemoryHold") -> None:
        """Restrict all growing holds but this one, if they fill their fraction."""
        if self._restricted_bytes > _GROWING_FRACTION * self.limit_bytes:
            self._unrestricted = hold

    def end_growth(self, hold: "MemoryHold") -> None:
        """Count a hold as one that does not grow any more."""
        self._growing_bytes -= hold.bytes
        if self._unrestricted is hold:
            self._unrestricted = None

    def add_reclaimable(
        self, hold: "MemoryHold", on_reclaim: Callable[[], None]
    ) -> None:
        """Let a hold be taken back for others."""
        self._reclaimable[hold] = on_reclaim

    def remove_reclaimable(self, hold: "MemoryHold") -> None:
        """Let a hold no longer be taken back; does nothing if it could not be."""
        self._reclaimable.pop(hold, None)

    def reclaim(self, size: int, hold: "MemoryHold") -> bool:
        """Take back holds, oldest first, until bytes fit; return whether they do."""
        while self._reclaimable and not self.fits(size, hold):
            other, on_reclaim = next(iter(self._reclaimable.items()))
            other.drop()
            on_reclaim()
        return self.fits(size, hold)

    def is_deadlocked(self) -> bool:
        """Return whether all that is held belongs to holds that wait to grow."""
        waiting = sum(waiter.hold.bytes_of(self) for waiter in self.waiting)
        return 0 < waiting == self.held_bytes

    def rank(self, waiter: _Waiter) -> tuple[bool, int, int, int]:
        """Return the place of a waiter in the order in which they are served.

        Those that hold bytes already come first, as others wait for their end.
        """
        claim = waiter.claim
        held = self._held_by_owner.get(claim.owner, 0)
        return not waiter.hold.bytes_of(self), claim.tier, held, waiter.number


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
        self._is_growing = False
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

    @property
    def is_growing(self) -> bool:
        """Return whether the hold may have to grow further."""
        return self._is_growing

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
        if not part.allows(size, self, claim.owner):
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

    async def grow(self, kind: MemoryKind, size: int, claim: Claim) -> None:
        """Hold more bytes, for a body of unknown length; wait until they fit.

        A hold that grows does so from its first byte on, until it is shrunk.

        Raises
        ------
        OutOfMemory
            If this is the largest of holds that wait for each other, or the last of
            too many that wait.
        """
        self._is_growing = True
        await self.take(kind, size, claim)

    def assign(self, part: _Part, size: int, claim: Claim) -> None:
        """Take bytes from a part and return those that were held before."""
        is_growing = self._is_growing
        if self._part is part and self._owner == claim.owner:
            part.add(self._owner, size - self._bytes, is_growing)
        else:
            part.add(claim.owner, size, is_growing)
            self.release()
        self._part, self._bytes, self._owner = part, size, claim.owner
        self._is_growing = is_growing
        if is_growing:
            part.restrict_growth(self)

    def shrink(self, size: int) -> None:
        """Return what exceeds a size; the hold does not grow any more."""
        part = self._part
        if part is None:
            return
        self._end_growth(part)
        if size < self._bytes:
            part.add(self._owner, size - self._bytes, is_growing=False)
            self._bytes = size
        self._budget.serve_waiting(part)

    def release(self) -> None:
        """Return all bytes."""
        part = self._part
        self.drop()
        if part is not None:
            self._budget.serve_waiting(part)

    def drop(self) -> None:
        """Return all bytes, but do not assign them to those that wait."""
        part = self._part
        if part is None:
            return
        self._end_growth(part)
        part.remove_reclaimable(self)
        part.add(self._owner, -self._bytes, is_growing=False)
        self._part, self._bytes = None, 0

    def _end_growth(self, part: _Part) -> None:
        if self._is_growing:
            part.end_growth(self)
            self._is_growing = False

    def allow_reclaim(self, on_reclaim: Callable[[], None]) -> None:
        """Let the bytes be taken back as soon as others would have to wait for them.

        Parameters
        ----------
        on_reclaim : callable
            Called when they were taken back; must drop what lies in them.
        """
        if self._part is not None:
            self._part.add_reclaimable(self, on_reclaim)
            self._budget.serve_waiting(self._part)

    def forbid_reclaim(self) -> None:
        """Keep the bytes from now on, unless they were taken back already."""
        if self._part is not None:
            self._part.remove_reclaimable(self)

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
        """Assign what fits to those that wait, in their order.

        If all bytes belong to holds that wait to grow, the largest of them is refused.
        """
        while waiter := self._next_waiter(part):
            part.waiting.remove(waiter)
            waiter.is_granted = True
            waiter.woken.set()
            waiter.hold.assign(part, waiter.size, waiter.claim)
        if part.is_deadlocked():
            largest = max(part.waiting, key=lambda waiter: waiter.hold.bytes_of(part))
            part.waiting.remove(largest)
            largest.woken.set()

    @staticmethod
    def _next_waiter(part: _Part) -> _Waiter | None:
        """Return the first waiter that may have its bytes now.

        Others pass one that has its share, but not one that needs more room. Holds that
        grow pass each other, as room for one of them may let it end.
        """
        is_full = False
        for waiter in sorted(part.waiting, key=part.rank):
            size, hold = waiter.size, waiter.hold
            has_begun = hold.bytes_of(part) > 0
            if is_full and not has_begun:
                return None
            is_allowed = part.allows(size, hold, waiter.claim.owner)
            fits = part.fits(size, hold) or (is_allowed and part.reclaim(size, hold))
            if fits and is_allowed:
                return waiter
            if not fits and not has_begun:
                return None
            is_full = is_full or not fits
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
        """Make room for a large body; what it has is not copied again."""
        if self._map is not None:
            self._map.resize(capacity)
            return
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
