"""Model of a pool whose entry instances may be cut off from all backend servers."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement

__all__ = ["DEFAULT_SHAPE", "Cut", "PartitionModel", "Shape"]

_TICK_SECONDS = 0.02
_REPORT_SECONDS = 0.2
_REFUSAL_SECONDS = 0.002
_CONNECT_TIMEOUT_SECONDS = 0.4
_DEADLINE_MS = 2_000
_MAX_TRIES = 3


class Cut(Enum):
    """How connections of an instance fail that is cut off."""

    REFUSED = "refused"
    HANGING = "hanging"
    """New connections hang until the connect timeout."""
    SILENT = "silent"
    """Open connections hang until the time limit of the request."""


@dataclass(frozen=True)
class Shape:
    """Size and load; ``service_seconds`` are the bounds of the time of an answer."""

    entries: int = 8
    servers: int = 6
    slots: int = 4
    requests_per_second: float = 120.0
    service_seconds: tuple[float, float] = (0.02, 0.08)
    paces_servers: bool = False


DEFAULT_SHAPE = Shape()


@dataclass(order=True)
class _Event:
    at: float
    number: int
    action: Callable[[], None] = field(compare=False)


@dataclass
class _Call:
    request: SlotRequest
    entry: str
    sent_at: float
    tried: tuple[str, ...] = ()


class PartitionModel:
    """Entry instances with retries, sound and failing servers, and a pool.

    Parameters
    ----------
    seed : int
        Seed of arrivals and times.
    shape : Shape
        Size and load.
    """

    def __init__(self, seed: int, shape: Shape = DEFAULT_SHAPE) -> None:
        self.now = 10.0
        self.shape = shape
        self.entries = [f"entry-{number}" for number in range(shape.entries)]
        self.cut: dict[str, Cut] = {}
        self.failing: set[str] = set()
        self.bad_versions: set[str] = set()
        self.knows_its_path: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.fewest_accepting = shape.servers
        self.ejected_at: dict[str, float] = {}
        self._generator = random.Random(seed)
        self._numbers = count()
        self._events: list[_Event] = []
        self._calls: dict[str, _Call] = {}
        self._running: dict[str, tuple[SlotGrant, float]] = {}
        self.pool = Pool(
            SERVICE,
            DispatchSettings(paces_servers=shape.paces_servers, retry_allowance=10_000),
            AccountLimits(()),
            VersionGate("v1", random.Random(seed)),
            random.Random(seed),
            "term",
            0.0,
        )
        for number in range(shape.servers):
            self.announce(number)
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, self._report)

    def announce(self, number: int, **fields) -> None:
        """Announce a server."""
        fields = {"slots": self.shape.slots, "ttl_ms": 600_000, **fields}
        self._run(self.pool.announce(announcement(number, **fields), self.now))

    def cut_off(self, number: int, how: Cut) -> None:
        """Cut the first instances off, and break off what they run."""
        for entry in self.entries[:number]:
            self.cut[entry] = how
            for grant, sent_at in list(self._running.values()):
                call = self._calls[grant.request_id]
                if call.entry == entry and how is not Cut.SILENT:
                    self._end(grant, sent_at, ReleaseResult.FAILED)

    def heal(self) -> None:
        """End all partitions."""
        self.cut.clear()

    def forget_counts(self) -> None:
        """Count what is sent, served and accepting from now on."""
        self.sent.clear()
        self.served.clear()
        self.fewest_accepting = self.shape.servers

    def served_share(self, entries: list[str]) -> float:
        """Return the share of the calls at some instances that were served."""
        sent = sum(self.sent[entry] for entry in entries)
        return sum(self.served[entry] for entry in entries) / max(1, sent)

    @property
    def sound_entries(self) -> list[str]:
        """Return the instances that are not cut off."""
        return [entry for entry in self.entries if entry not in self.cut]

    def advance(self, seconds: float) -> None:
        """Play for some time."""
        end = self.now + seconds
        while self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()
        self.now = end

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        at = self.now + seconds
        heapq.heappush(self._events, _Event(at, next(self._numbers), action))

    def _tick(self) -> None:
        self._run(self.pool.tick(self.now))
        accepting = self.pool.status(self.now).accepting
        self.fewest_accepting = min(self.fewest_accepting, accepting)
        for backend in self.pool.backends:
            if backend.is_ejected(self.now):
                self.ejected_at.setdefault(backend.announcement.id, self.now)
        self._schedule(_TICK_SECONDS, self._tick)

    def _report(self) -> None:
        self.pool.record_overdue(self.now)
        self._schedule(_REPORT_SECONDS, self._report)

    def _arrive(self) -> None:
        entry = self._generator.choice(self.entries)
        self.sent[entry] += 1
        self._ask(entry, self.now, ())
        rate = self.shape.requests_per_second
        self._schedule(self._generator.expovariate(rate), self._arrive)

    def _ask(self, entry: str, sent_at: float, tried: tuple[str, ...]) -> None:
        left_ms = _DEADLINE_MS - int((self.now - sent_at) * 1000)
        if left_ms <= 0:
            return
        request = SlotRequest(
            f"{SERVICE}:{next(self._numbers)}", SERVICE, "a", "p", "/r", 0, 10, 5,
            left_ms, False, avoid=tried, tries=len(tried),
        )  # fmt: skip
        self._calls[request.request_id] = _Call(request, entry, sent_at, tried)
        self._run(self.pool.request(entry, request, self.now))

    def _run(self, effects: list) -> None:
        for effect in effects:
            match effect.message:
                case SlotGrant() as grant:
                    self._start(grant)
                case SlotRefusal(request_id=request_id):
                    self._calls.pop(request_id, None)

    def _start(self, grant: SlotGrant) -> None:
        call = self._calls[grant.request_id]
        self._running[grant.grant_id] = grant, self.now
        seconds, result = self._outcome(grant, call)
        at = self.now
        self._schedule(seconds, lambda: self._end(grant, at, result))

    def _outcome(self, grant: SlotGrant, call: _Call) -> tuple[float, ReleaseResult]:
        match self.cut.get(call.entry):
            case Cut.REFUSED:
                return _REFUSAL_SECONDS, ReleaseResult.NOT_SENT
            case Cut.HANGING:
                return _CONNECT_TIMEOUT_SECONDS, ReleaseResult.NOT_SENT
            case Cut.SILENT:
                left = call.sent_at + _DEADLINE_MS / 1000 - self.now
                return max(0.0, left), ReleaseResult.CANCELLED
        seconds = self._generator.uniform(*self.shape.service_seconds)
        if grant.backend_id in self.failing or grant.version in self.bad_versions:
            return seconds, ReleaseResult.FAILED
        return seconds, ReleaseResult.ANSWERED

    def _end(self, grant: SlotGrant, sent_at: float, result: ReleaseResult) -> None:
        if self._running.pop(grant.grant_id, None) is None:
            return
        call = self._calls.pop(grant.request_id)
        seconds = self.now - sent_at
        is_answered = result is ReleaseResult.ANSWERED
        is_cut = call.entry in self.cut
        knows = is_cut and call.entry in self.knows_its_path
        fields = {"path_failed": True} if knows else {}
        release = SlotRelease(
            SERVICE, grant.request_id, grant.grant_id, grant.backend_id, result,
            int(seconds * 1000), int(seconds * 1000), 5 if is_answered else 0,
            may_have_crashed_server=result is ReleaseResult.FAILED and is_cut,
            was_broken_off=result is ReleaseResult.FAILED,
            **fields,
        )  # fmt: skip
        self._run(self.pool.release(release, self.now))
        self.served[call.entry] += is_answered
        tried = (*call.tried, grant.backend_id)
        is_failure = result in (ReleaseResult.FAILED, ReleaseResult.NOT_SENT)
        if is_failure and len(tried) < _MAX_TRIES:
            self._ask(call.entry, call.sent_at, tried)
