"""Load of prompts with shared parts on uneven engines with prefix caches.

A pool dispatches in virtual time. Each engine alternates chunks of prompts with decode
steps, so that long prompts delay the streams that run there.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
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

__all__ = ["PrefixReport", "PrefixShape", "play_prefixes"]

_LINK_SECONDS = 0.002
_TICK_SECONDS = 0.05
_ANNOUNCEMENT_SECONDS = 1.2
_ASSUMED_PREFILL_RATE = 40_000.0
_ASSUMED_DECODE_RATE = 120.0
_STEP_SECONDS = 0.008
_TOKENS_PER_EVENT = 4


@dataclass(frozen=True)
class Kind:
    """Requests of one kind: sizes in tokens, share of the load, objectives in ms."""

    tier: int
    own_tokens: int
    answer: int
    share: float
    objective_ms: int
    gap_ms: int
    has_session: bool = True


KINDS = (
    Kind(0, 700, 224, 0.55, 600, 500),
    Kind(1, 2_400, 160, 0.25, 800, 400),
    Kind(1, 9_000, 120, 0.10, 800, 500),
    Kind(0, 570, 120, 0.10, 500, 250, has_session=False),
)


@dataclass(frozen=True)
class PrefixShape:
    """A load and the engines that take it.

    Parameters
    ----------
    engines : int
        Number of engines.
    slots : tuple of int
        Fewest and most requests that an engine runs at once.
    requests_per_second : float
        Rate of arrivals, Poisson.
    peak : float
        Factor of the rate from ``peak_at`` on, for ``peak_seconds``.
    prefill_rate : float
        Tokens per second that an engine of mean speed prefills.
    chunk_tokens : int
        Tokens of a prompt that are prefilled between two decode steps.
    overhead : float
        Part of the time to first token that does not depend on the load, in seconds.
    cache_tokens : int
        Size of a prefix cache, shared with the running requests.
    sessions, common_parts : int
        Number of sessions and of first parts that many sessions share.
    hot_share : float
        Share of the requests that belong to one session.
    reuse_seconds : float
        Time after its last use within which prefilling a part again is priced.
    names_parts : bool
        Whether requests name their parts to the dispatcher.
    knows_gaps : bool
        Whether requests name their pause objectives.
    """

    engines: int = 19
    slots: tuple[int, int] = (4, 7)
    requests_per_second: float = 30.0
    peak: float = 1.0
    peak_at: float = 20.0
    peak_seconds: float = 10.0
    prefill_rate: float = 60_000.0
    spread: tuple[float, float] = (0.6, 1.7)
    chunk_tokens: int = 1_024
    overhead: float = 0.05
    cache_tokens: int = 260_000
    sessions: int = 300
    common_parts: int = 4
    hot_share: float = 0.0
    reuse_seconds: float = 8.0
    names_parts: bool = True
    knows_gaps: bool = True
    seconds: float = 45.0
    warmup: float = 12.0
    seed: int = 1


@dataclass
class PrefixReport:
    """What callers got, and what engines prefilled.

    Parameters
    ----------
    prefilled, again : int
        Tokens that engines prefilled, and those of parts that any engine had used
        within the time in which prefilling them again is priced.
    on_time, late_first, late_pause, refused : int
        Requests that kept both objectives, missed one, and were refused.
    ratios : list of float
        Measured by expected time to first token, with the size of the prompt.
    arrivals : dict
        Requests by engine.
    first_tokens : list of float
        Times from arrival to first token, in seconds.
    """

    prefilled: int = 0
    again: int = 0
    asked: int = 0
    on_time: int = 0
    late_first: int = 0
    late_pause: int = 0
    refused: int = 0
    ratios: list[tuple[int, float]] = field(default_factory=list)
    arrivals: dict[str, int] = field(default_factory=dict)
    first_tokens: list[float] = field(default_factory=list)

    @property
    def again_share(self) -> float:
        """Return the share of the prefilled tokens that were prefilled again."""
        return self.again / max(1, self.prefilled)

    @property
    def on_time_share(self) -> float:
        """Return the share of all requests that kept both objectives."""
        return self.on_time / max(1, self.asked)

    def ratio_at(self, share: float, fewest: int = 0, most: int = 1_000_000) -> float:
        """Return a quantile of the ratios for prompts of a range of sizes."""
        chosen = sorted(item for size, item in self.ratios if fewest <= size <= most)
        return chosen[int(share * (len(chosen) - 1))]

    @property
    def imbalance(self) -> float:
        """Return the arrivals at the busiest engine by the mean."""
        counts = self.arrivals.values()
        return max(counts) * len(counts) / sum(counts)


@dataclass
class _Call:
    kind: Kind
    parts: tuple[tuple[str, int], ...]
    prompt: int
    asked_at: float
    grant: SlotGrant | None = None
    sent_at: float = 0.0
    left: int | None = None
    decoded: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_pause: float = 0.0


class _Cache:
    """Parts in order of their last use."""

    def __init__(self, tokens: int) -> None:
        self._size = tokens
        self._parts: OrderedDict[str, int] = OrderedDict()

    def read(self, parts: tuple[tuple[str, int], ...], running: int) -> list[str]:
        """Use the parts; return those that had to be prefilled."""
        missing: list[str] = []
        for part, _ in parts:
            if missing or part not in self._parts:
                missing.append(part)
        for part, tokens in reversed(parts):
            self._parts[part] = tokens
            self._parts.move_to_end(part)
        while self._parts and sum(self._parts.values()) > self._size - running:
            self._parts.popitem(last=False)
        return missing


class _Engine:
    def __init__(self, play: "_Play", shape: PrefixShape, speed: float) -> None:
        self._play = play
        self._rate = speed * shape.prefill_rate
        self._step = _STEP_SECONDS / speed
        self._chunk_tokens = shape.chunk_tokens
        self._cache = _Cache(shape.cache_tokens)
        self._unread: deque[_Call] = deque()
        self._decoding: list[_Call] = []
        self._is_running = False

    def accept(self, call: _Call) -> None:
        self._unread.append(call)
        if not self._is_running:
            self._is_running = True
            self._run()

    def _run(self) -> None:
        """Run one step: a chunk of the first prompt, and one token of each stream."""
        seconds = self._step if self._decoding else 0.0
        if self._unread:
            call = self._unread[0]
            if call.left is None:
                running = sum(item.prompt + item.decoded for item in self._decoding)
                missing = self._cache.read(call.parts, running)
                call.left = max(1, self._play.count_prefill(call, missing))
            chunk = min(call.left, self._chunk_tokens)
            seconds += chunk / self._rate
            call.left -= chunk
        self._play.schedule(self._play.now + seconds, self._end_step)

    def _end_step(self) -> None:
        decoding = list(self._decoding)
        if self._unread and self._unread[0].left == 0:
            self._decoding.append(self._unread.popleft())
        for call in decoding:
            call.decoded += 1
            is_end = call.decoded >= call.kind.answer
            if call.decoded % _TOKENS_PER_EVENT == 0 or is_end:
                self._play.record_event(call)
            if is_end:
                self._decoding.remove(call)
                self._play.end(call)
        if self._unread or self._decoding:
            self._run()
        else:
            self._is_running = False


class _Play:
    """One play of a load."""

    def __init__(self, shape: PrefixShape) -> None:
        self._shape = shape
        self._generator = random.Random(shape.seed)
        self.report = PrefixReport()
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._calls: dict[str, _Call] = {}
        self._used_at: dict[str, float] = {}
        self._sizes: dict[str, int] = {}
        low, high = shape.spread
        self._slots = [
            self._generator.randint(*shape.slots) for _ in range(shape.engines)
        ]
        self._engines = {}
        for number in range(shape.engines):
            # Even steps between the slowest and the fastest.
            speed = low + (high - low) * number / max(1, shape.engines - 1)
            self._engines[announcement(number).id] = _Engine(self, shape, speed)
        self.report.arrivals = dict.fromkeys(self._engines, 0)
        self._pool = Pool(
            SERVICE,
            DispatchSettings(reuse_window_ms=int(shape.reuse_seconds * 1000)),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(shape.seed),
            "t",
            0.0,
            self._announcements(0),
        )
        self._pool.set_cache_tokens(shape.cache_tokens)

    def play(self) -> PrefixReport:
        self.schedule(0.0, self._arrive)
        self.schedule(0.0, self._tick)
        self.schedule(0.0, lambda: self._announce(1))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self._shape.seconds:
                break
            self.now = at
            action()
        return self.report

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _is_counted(self, call: _Call) -> bool:
        end = self._shape.seconds - 6.0
        return self._shape.warmup <= call.asked_at <= end

    def _announcements(self, sequence: int):
        return tuple(
            announcement(
                number,
                slots=self._slots[number],
                prefill_tokens_per_second=_ASSUMED_PREFILL_RATE,
                decode_tokens_per_second=_ASSUMED_DECODE_RATE,
                sequence=sequence,
            )
            for number in range(self._shape.engines)
        )

    def _announce(self, sequence: int) -> None:
        for item in self._announcements(sequence):
            self._receive(self._pool.announce(item, self.now))
        later = self.now + _ANNOUNCEMENT_SECONDS
        self.schedule(later, lambda: self._announce(sequence + 1))

    def _tick(self) -> None:
        self._receive(self._pool.tick(self.now))
        self.schedule(self.now + _TICK_SECONDS, self._tick)

    def _rate(self) -> float:
        shape = self._shape
        is_peak = 0 <= self.now - shape.peak_at < shape.peak_seconds
        return shape.requests_per_second * (shape.peak if is_peak else 1.0)

    def _parts(self, kind: Kind, identity: str) -> tuple[tuple[str, int], ...]:
        shape, generator = self._shape, self._generator
        own = int(kind.own_tokens * generator.uniform(0.4, 1.6))
        if not kind.has_session:
            return ((identity, own),)
        is_hot = generator.random() < shape.hot_share
        # Some sessions are busier than others.
        session = 0 if is_hot else int(shape.sessions * generator.random() ** 1.5)
        common = f"common-{session % shape.common_parts}"
        return (
            (common, self._size(common, 2_520)),
            (f"session-{session}", self._size(f"session-{session}", 3_780)),
            (identity, own),
        )

    def _size(self, part: str, mean: int) -> int:
        if part not in self._sizes:
            generator = random.Random(f"{self._shape.seed}-{part}")
            self._sizes[part] = int(mean * generator.uniform(0.5, 1.5))
        return self._sizes[part]

    def _arrive(self) -> None:
        kinds = self._generator.choices(KINDS, [kind.share for kind in KINDS])
        kind = kinds[0]
        identity = f"r{self._count}"
        parts = self._parts(kind, identity)
        prompt = sum(tokens for _, tokens in parts)
        call = _Call(kind, parts, prompt, self.now)
        request = SlotRequest(
            request_id=identity,
            service=SERVICE,
            client_account="a",
            profile="p",
            route=f"/{kind.tier}",
            tier=kind.tier,
            prompt_tokens=prompt,
            answer_tokens=kind.answer,
            deadline_ms=10_000,
            cancellable=False,
            start_within_ms=int(0.75 * kind.objective_ms),
            first_token_within_ms=kind.objective_ms,
            leaves_within_ms=2_000,
            parts=parts if self._shape.names_parts else (),
            gap_ms=kind.gap_ms if self._shape.knows_gaps else 0,
        )
        self._calls[identity] = call
        self.report.asked += self._is_counted(call)
        self._receive(self._pool.request("e", request, self.now))
        gap = self._generator.expovariate(self._rate())
        self.schedule(self.now + gap, self._arrive)

    def _receive(self, effects: list[SendToEntry]) -> None:
        for effect in effects:
            match effect.message:
                case SlotGrant() as grant:
                    at = self.now + _LINK_SECONDS
                    self.schedule(at, lambda grant=grant: self._send(grant))
                case SlotRefusal() as refusal:
                    call = self._calls.pop(refusal.request_id)
                    self.report.refused += self._is_counted(call)

    def _send(self, grant: SlotGrant) -> None:
        call = self._calls[grant.request_id]
        call.grant = grant
        call.sent_at = self.now
        if self._is_counted(call):
            self.report.arrivals[grant.backend_id] += 1
        self._engines[grant.backend_id].accept(call)

    def count_prefill(self, call: _Call, missing: list[str]) -> int:
        """Count and return the tokens to prefill."""
        tokens = again = 0
        for part, size in call.parts:
            used_at = self._used_at.get(part)
            if part in missing:
                tokens += size
                if used_at is not None:
                    is_priced = self.now - used_at <= self._shape.reuse_seconds
                    again += size if is_priced else 0
            self._used_at[part] = self.now
        if self._is_counted(call):
            self.report.prefilled += tokens
            self.report.again += again
        return tokens

    def record_event(self, call: _Call) -> None:
        """Record that an event of the answer has arrived."""
        at = self.now + self._shape.overhead
        if not call.first_at:
            call.first_at = at
            grant = call.grant
            assert grant is not None
            if self._is_counted(call):
                expected = grant.expected_first_ms / 1000
                ratio = (at - call.sent_at) / expected
                self.report.ratios.append((call.prompt, ratio))
        else:
            call.longest_pause = max(call.longest_pause, at - call.last_at)
        call.last_at = at

    def end(self, call: _Call) -> None:
        """Count the answered request and release its slot."""
        grant = call.grant
        assert grant is not None
        if self._is_counted(call):
            first = call.first_at - call.asked_at
            self.report.first_tokens.append(first)
            if first > call.kind.objective_ms / 1000:
                self.report.late_first += 1
            elif call.longest_pause > call.kind.gap_ms / 1000:
                self.report.late_pause += 1
            else:
                self.report.on_time += 1
        release = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            ReleaseResult.ANSWERED,
            int((call.first_at - call.sent_at) * 1000),
            int((call.last_at - call.sent_at) * 1000),
            call.decoded,
        )
        at = self.now + self._shape.overhead
        self.schedule(at, lambda: self._receive(self._pool.release(release, self.now)))


def play_prefixes(shape: PrefixShape) -> PrefixReport:
    """Play a load and return what callers got."""
    return _Play(shape).play()
