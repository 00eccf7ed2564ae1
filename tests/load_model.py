"""Load of streamed requests on model engines, dispatched by a pool in virtual time."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from sassafraspin.admission import AccountLimits
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.dispatch.pool import Pool, SendToEntry
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement

__all__ = ["Engine", "LoadReport", "LoadShape", "play_load"]

ASSUMED_PREFILL_RATE = 40_000.0
ASSUMED_DECODE_RATE = 120.0

_LINK_SECONDS = 0.003
_STEP_SECONDS = 0.00635
_TICK_SECONDS = 0.1
_ANNOUNCEMENT_SECONDS = 1.2


@dataclass(frozen=True)
class Kind:
    """Requests of one kind: sizes in tokens, share of the load, limits in ms."""

    tier: int
    prompt: int
    answer: int
    share: float
    objective_ms: int
    deadline_ms: int


KINDS = (
    Kind(0, 2_950, 51, 0.45, 635, 6_353),
    Kind(1, 1_860, 24, 0.35, 519, 4_152),
    Kind(2, 603, 279, 0.20, 315, 15_745),
)
"""The three kinds of streams of a large deployment of the users."""


@dataclass(frozen=True)
class LoadShape:
    """A load and the engines that take it.

    Parameters
    ----------
    engines, slots : int
        Number of engines, and of requests that each runs at once.
    requests_per_second : float
        Rate of arrivals, Poisson.
    prefill_rate : float
        Tokens per second that an engine of mean speed reads.
    spread : tuple of float
        Slowest and fastest engine, as a ratio to the mean speed.
    cached_share : float
        Mean share of a prompt that an engine finds in its cache.
    seconds, warmup : float
        Time that is played, and its part that is not counted.
    patience_ms : int
        Time after which a caller leaves that got no first token.
    """

    engines: int = 20
    slots: int = 4
    requests_per_second: float = 60.0
    prefill_rate: float = ASSUMED_PREFILL_RATE
    spread: tuple[float, float] = (0.6, 1.7)
    cached_share: float = 0.0
    seconds: float = 30.0
    warmup: float = 8.0
    seed: int = 1
    patience_ms: int = 1_000


class Engine:
    """Reads prompts one after the other and decodes all its requests at once."""

    def __init__(self, prefill_rate: float) -> None:
        self.prefill_rate = prefill_rate
        self.running = 0
        self._free_at = 0.0

    def first_token_at(self, prompt: int, now: float) -> float:
        """Accept a prompt and return when its first token is made."""
        start = max(now, self._free_at)
        self._free_at = start + prompt / self.prefill_rate
        return self._free_at + self._step_seconds

    def decode_seconds(self, answer: int) -> float:
        """Return the time for the answer after its first token."""
        return answer * self._step_seconds

    @property
    def _step_seconds(self) -> float:
        return _STEP_SECONDS * (1 + 0.1 * self.running)


@dataclass
class LoadReport:
    """What callers got, and what was expected.

    Parameters
    ----------
    ratios : list of float
        Expected by measured time to first token.
    outcomes : Counter
        Numbers of requests ``in time``, ``late`` and refused, by tier and outcome.
    idle_seconds : float
        Longest time for which a slot was free while a request waited.
    refused_after : list of float
        Share of its caller's patience after which each refused request was refused.
    """

    ratios: list[float] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)
    idle_seconds: float = 0.0
    refused_after: list[float] = field(default_factory=list)

    def ratio_at(self, share: float) -> float:
        """Return a quantile of the ratios."""
        ordered = sorted(self.ratios)
        return ordered[int(share * (len(ordered) - 1))]

    def served_share(self, tier: int, outcome: str = "in time") -> float:
        """Return the share of a tier's requests with an outcome."""
        total = sum(n for (key, _), n in self.outcomes.items() if key == tier)
        return self.outcomes[tier, outcome] / max(1, total)


class _Load:
    """One play of a load."""

    def __init__(self, shape: LoadShape) -> None:
        self._shape = shape
        self._generator = random.Random(shape.seed)
        self._report = LoadReport()
        self._now = 0.0
        self._events: list[tuple[float, int, object]] = []
        self._count = 0
        self._asked: dict[str, tuple[Kind, float]] = {}
        self._idle_since: float | None = None
        low, high = shape.spread
        self._engines = {
            announcement(n).id: Engine(
                shape.prefill_rate * self._generator.uniform(low, high)
            )
            for n in range(shape.engines)
        }
        self._pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(shape.seed),
            "t",
            0.0,
            self._announcements(0),
        )

    def play(self) -> LoadReport:
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, lambda: self._announce(1))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self._shape.seconds:
                break
            self._now = at
            action()
            self._watch_idle_slots()
        return self._report

    def _schedule(self, at: float, action) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _announcements(self, sequence: int):
        return tuple(
            announcement(
                number,
                slots=self._shape.slots,
                prefill_tokens_per_second=ASSUMED_PREFILL_RATE,
                decode_tokens_per_second=ASSUMED_DECODE_RATE,
                sequence=sequence,
            )
            for number in range(self._shape.engines)
        )

    def _announce(self, sequence: int) -> None:
        for item in self._announcements(sequence):
            self._receive(self._pool.announce(item, self._now))
        later = self._now + _ANNOUNCEMENT_SECONDS
        self._schedule(later, lambda: self._announce(sequence + 1))

    def _tick(self) -> None:
        self._receive(self._pool.tick(self._now))
        self._schedule(self._now + _TICK_SECONDS, self._tick)

    def _arrive(self) -> None:
        weights = [kind.share for kind in KINDS]
        [kind] = self._generator.choices(KINDS, weights)
        identity = f"{SERVICE}:{self._count}"
        scale = self._generator.uniform(0.3, 1.7)
        request = SlotRequest(
            request_id=identity,
            service=SERVICE,
            client_account="a",
            profile="p",
            route=f"/{kind.tier}",
            tier=kind.tier,
            prompt_tokens=int(scale * kind.prompt),
            answer_tokens=kind.answer,
            deadline_ms=kind.deadline_ms,
            cancellable=False,
            start_within_ms=int(0.75 * kind.objective_ms),
            first_token_within_ms=kind.objective_ms,
            leaves_within_ms=self._shape.patience_ms,
        )
        self._asked[identity] = kind, self._now
        self._receive(self._pool.request("e", request, self._now))
        gap = self._generator.expovariate(self._shape.requests_per_second)
        self._schedule(self._now + gap, self._arrive)

    def _receive(self, effects: list[SendToEntry]) -> None:
        for effect in effects:
            match effect.message:
                case SlotGrant() as grant:
                    at = self._now + _LINK_SECONDS
                    self._schedule(at, lambda grant=grant: self._send(grant))
                case SlotRefusal() as refusal:
                    kind, asked_at = self._asked.pop(refusal.request_id)
                    self._count_outcome(kind, refusal.reason.value)
                    if asked_at >= self._shape.warmup:
                        waited = (self._now - asked_at) / self._shape.patience_ms
                        self._report.refused_after.append(1_000 * waited)

    def _send(self, grant: SlotGrant) -> None:
        kind, asked_at = self._asked.pop(grant.request_id)
        engine = self._engines[grant.backend_id]
        engine.running += 1
        sent_at = self._now
        prompt = self._pool._grants.get(grant.grant_id).request.prompt_tokens
        cached = min(0.95, self._shape.cached_share * self._generator.uniform(0, 2))
        first_at = engine.first_token_at(int(prompt * (1 - cached)), sent_at)
        end_at = first_at + engine.decode_seconds(kind.answer)
        measured = first_at - sent_at
        if asked_at >= self._shape.warmup:
            self._report.ratios.append(grant.expected_first_ms / 1000 / measured)
        is_late = first_at - asked_at > kind.objective_ms / 1000
        self._count_outcome(kind, "late" if is_late else "in time")
        release = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            ReleaseResult.ANSWERED,
            int(measured * 1000),
            int((end_at - sent_at) * 1000),
            kind.answer,
        )
        self._schedule(end_at, lambda: self._end(engine, release))

    def _end(self, engine: Engine, release: SlotRelease) -> None:
        engine.running -= 1
        self._receive(self._pool.release(release, self._now))

    def _count_outcome(self, kind: Kind, outcome: str) -> None:
        if self._now >= self._shape.warmup:
            self._report.outcomes[kind.tier, outcome] += 1

    def _watch_idle_slots(self) -> None:
        status = self._pool.status(self._now)
        if not status.waiting or status.busy_slots >= status.slots:
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = self._now
        if self._now >= self._shape.warmup:
            idle = self._now - self._idle_since
            self._report.idle_seconds = max(self._report.idle_seconds, idle)


def play_load(shape: LoadShape) -> LoadReport:
    """Play a load and return what callers got."""
    return _Load(shape).play()
