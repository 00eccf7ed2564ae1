"""Simulation of engines and dispatch policies on a virtual clock.

Runs of different policies with the same seed get the same requests.
"""

import heapq
import itertools
import math
import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import Announcement, CacheReport, prefix_hashes
from sassafraspin.dispatch import (
    ReleaseResult,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
)
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.settings import Address, ClientAccountSettings, DispatchSettings

__all__ = [
    "POLICIES",
    "EngineSpec",
    "Outcome",
    "RequestKind",
    "Scenario",
    "simulate",
]

_BYTES_PER_TOKEN = 4
_BLOCK_TOKENS = 64
_TICK_SECONDS = 0.1
_PREFILL_PER_DECODE = 100
_SERVICE = "model"


@dataclass(frozen=True)
class RequestKind:
    """One class of requests: median lengths in tokens, and a deadline in seconds."""

    tier: int
    weight: float
    prompt_tokens: int
    answer_tokens: int
    deadline: float
    cancellable: bool = False
    account: str = "a"


@dataclass(frozen=True)
class EngineSpec:
    """One engine; it is slower than it announces by the factor ``true_factor``."""

    prefill_rate: float
    decode_rate: float
    slots: int = 4
    crowding: float = 0.05
    cache_blocks: int = 400
    true_factor: float = 1.0


@dataclass(frozen=True)
class Scenario:
    """Engines and the load that is sent to them.

    Parameters
    ----------
    load : float
        Offered work as a multiple of the capacity of the engines.
    burst : float
        Factor on the rate of the first account in the middle third of the run.
    prefixes : int
        Number of shared prefixes, each ``prefix_tokens`` long; 0 for none.
    cache_loss : float
        Share of announcements, with their cache reports, that are lost.
    report_lag : float
        Age of announcements when they arrive, in seconds.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    engines: tuple[EngineSpec, ...]
    load: float
    sigma: float = 0.5
    seconds: float = 30.0
    burst: float = 1.0
    prefixes: int = 0
    prefix_tokens: int = 0
    cache_loss: float = 0.0
    report_lag: float = 0.5


@dataclass(frozen=True)
class Outcome:
    """Results of one run.

    ``good_work`` is the work of good requests that ended while requests arrived, and
    ``capacity`` the work that all engines can do in that period, in answer tokens.
    ``decisions`` is the number of requests that arrived.
    """

    sent: dict[int, int]
    good: dict[int, int]
    good_by_account: dict[str, int]
    sent_by_account: dict[str, int]
    good_work: float
    capacity: float
    prefill_tokens: int
    wasted_tokens: int
    decisions: int


@dataclass
class _Request:
    number: int
    at: float
    kind: RequestKind
    prompt_tokens: int
    answer_tokens: int
    hashes: tuple[int, ...]
    ended: bool = False


@dataclass
class _Engine:
    spec: EngineSpec
    running: dict[int, _Request] = field(default_factory=dict)
    queue: list[_Request] = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    added: list[int] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)
    sequence: int = 0

    def cache_prompt(self, request: _Request) -> int:
        """Cache a prompt and return the number of tokens to compute, at least 1."""
        cached = 0
        for value in request.hashes:
            if value not in self.cache:
                break
            cached += 1
        for value in request.hashes:
            if value not in self.cache:
                self.added.append(value)
            self.cache[value] = None
            self.cache.move_to_end(value)
        while len(self.cache) > self.spec.cache_blocks:
            self.removed.append(self.cache.popitem(last=False)[0])
        return max(1, request.prompt_tokens - cached * _BLOCK_TOKENS)

    def seconds(self, tokens: int, answer_tokens: int) -> float:
        """Return the duration of a request that joins the running ones now."""
        slowdown = 1 + self.spec.crowding * len(self.running)
        alone = tokens / self.spec.prefill_rate + answer_tokens / self.spec.decode_rate
        return alone * slowdown * self.spec.true_factor


class _Simulation:
    """Event loop, engines and statistics; a policy assigns requests to engines."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.generator = random.Random(seed)
        self.engines = [_Engine(spec) for spec in scenario.engines]
        self.now = 0.0
        self._events: list = []
        self._counter = itertools.count()
        self.sent: Counter = Counter()
        self.good: Counter = Counter()
        self.sent_by_account: Counter = Counter()
        self.good_by_account: Counter = Counter()
        self.good_work = 0.0
        self.prefill_tokens = 0
        self.cancelled_tokens = 0
        self.blocks: set[int] = set()
        self.unshared_tokens = 0
        self.decisions = 0
        self.policy: _Policy | None = None

    def schedule(self, when: float, action) -> None:
        heapq.heappush(self._events, (when, next(self._counter), action))

    def run(self, policy: "_Policy") -> Outcome:
        self.policy = policy
        for request in self._generate_requests():
            self.schedule(request.at, lambda request=request: self._arrive(request))
        policy.start()
        # Lets the last requests end: the longest deadline in scenarios.py is 30 s.
        end = self.scenario.seconds + 40.0
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        least = _BLOCK_TOKENS * len(self.blocks) + self.unshared_tokens
        return Outcome(
            dict(self.sent),
            dict(self.good),
            dict(self.good_by_account),
            dict(self.sent_by_account),
            self.good_work,
            _capacity_work(self.scenario) * self.scenario.seconds,
            self.prefill_tokens,
            max(0, self.prefill_tokens - least),
            self.decisions,
        )

    def start(self, engine: _Engine, request: _Request, on_end) -> None:
        """Run a request on an engine, or add it to its queue if no slot is free."""
        if len(engine.running) >= engine.spec.slots:
            engine.queue.append((request, on_end))
            return
        tokens = engine.cache_prompt(request)
        self.prefill_tokens += tokens
        seconds = engine.seconds(tokens, request.answer_tokens)
        engine.running[request.number] = request
        first = tokens / engine.spec.prefill_rate * engine.spec.true_factor
        started_at = self.now

        def finish() -> None:
            if engine.running.pop(request.number, None) is None:
                return
            self._record_completion(request)
            self._next(engine)
            on_end(first, self.now - started_at)

        self.schedule(self.now + seconds, finish)

    def cancel(self, engine: _Engine, request: _Request) -> None:
        """Cancel a running request."""
        if engine.running.pop(request.number, None) is not None:
            self.cancelled_tokens += request.prompt_tokens
            self._next(engine)

    def _next(self, engine: _Engine) -> None:
        if engine.queue:
            request, on_end = engine.queue.pop(0)
            self.start(engine, request, on_end)

    def _record_completion(self, request: _Request) -> None:
        self.blocks.update(request.hashes)
        self.unshared_tokens += max(
            1, request.prompt_tokens - _BLOCK_TOKENS * len(request.hashes)
        )
        if self.now - request.at <= request.kind.deadline:
            self.good[request.kind.tier] += 1
            self.good_by_account[request.kind.account] += 1
            if self.now <= self.scenario.seconds:
                work = _work(request.prompt_tokens, request.answer_tokens)
                self.good_work += work

    def _arrive(self, request: _Request) -> None:
        self.sent[request.kind.tier] += 1
        self.sent_by_account[request.kind.account] += 1
        self.decisions += 1
        assert self.policy is not None
        self.policy.arrive(request)

    def _generate_requests(self):
        scenario = self.scenario
        weights = [kind.weight for kind in scenario.kinds]
        rate = scenario.load * _capacity_rate(scenario)
        burst_account = scenario.kinds[0].account
        at = 0.0
        for number in itertools.count():
            at += self.generator.expovariate(rate * scenario.burst)
            if at >= scenario.seconds:
                return
            [kind] = self.generator.choices(scenario.kinds, weights)
            in_burst = scenario.seconds / 3 <= at < 2 * scenario.seconds / 3
            is_extra = self.generator.random() >= 1 / scenario.burst
            if is_extra and not (in_burst and kind.account == burst_account):
                continue
            prompt = self._length(kind.prompt_tokens)
            hashes: tuple[int, ...] = ()
            if scenario.prefixes:
                which = self.generator.randrange(scenario.prefixes)
                text = f"prefix {which} ".encode() * (scenario.prefix_tokens)
                hashes = prefix_hashes(text[: scenario.prefix_tokens * 4])
                prompt += scenario.prefix_tokens
            answer = self._length(kind.answer_tokens)
            yield _Request(number, at, kind, prompt, answer, hashes)

    def _length(self, median: int) -> int:
        factor = math.exp(self.scenario.sigma * self.generator.gauss(0, 1))
        return max(1, min(int(median * factor), 20 * median))


def _work(prompt_tokens: float, answer_tokens: float) -> float:
    """Return work in answer tokens; prefill is 100 times as fast as decoding."""
    return prompt_tokens / _PREFILL_PER_DECODE + answer_tokens


def _capacity_work(scenario: Scenario) -> float:
    """Return the work per second of all engines with all slots busy."""
    return sum(
        spec.slots * spec.decode_rate / (1 + spec.crowding * (spec.slots - 1))
        for spec in scenario.engines
    )


def _capacity_rate(scenario: Scenario) -> float:
    """Return the request rate per second at which all slots are busy."""
    total = sum(kind.weight for kind in scenario.kinds)
    factor = math.exp(scenario.sigma**2 / 2)
    mean = sum(
        kind.weight
        / total
        * _work(
            kind.prompt_tokens * factor + scenario.prefix_tokens,
            kind.answer_tokens * factor,
        )
        for kind in scenario.kinds
    )
    return _capacity_work(scenario) / mean


class _Policy:
    def __init__(self, simulation: _Simulation) -> None:
        self.simulation = simulation
        self.outstanding = [0] * len(simulation.engines)

    def start(self) -> None:
        """Prepare the policy; called once before the first request."""

    def arrive(self, request: _Request) -> None:
        """Send a request to the chosen engine immediately."""
        engine_index = self.choose(request)
        self.outstanding[engine_index] += 1

        def ended(first: float, total: float) -> None:
            self.outstanding[engine_index] -= 1

        engine = self.simulation.engines[engine_index]
        self.simulation.start(engine, request, ended)

    def choose(self, request: _Request) -> int:
        raise NotImplementedError


class _Random(_Policy):
    def choose(self, request: _Request) -> int:
        return self.simulation.generator.randrange(len(self.outstanding))


class _RoundRobin(_Policy):
    _next = 0

    def choose(self, request: _Request) -> int:
        self._next = (self._next + 1) % len(self.outstanding)
        return self._next


class _LeastOutstanding(_Policy):
    def choose(self, request: _Request) -> int:
        least = min(self.outstanding)
        best = [i for i, value in enumerate(self.outstanding) if value == least]
        return self.simulation.generator.choice(best)


class _FirstComeFirstServed(_Policy):
    """Central FIFO queue that ignores tiers and deadlines."""

    def __init__(self, simulation: _Simulation) -> None:
        super().__init__(simulation)
        self._queue: list[_Request] = []

    def arrive(self, request: _Request) -> None:
        self._queue.append(request)
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        engines = self.simulation.engines
        while self._queue:
            free = [
                i
                for i, engine in enumerate(engines)
                if self.outstanding[i] < engine.spec.slots
            ]
            if not free:
                return
            engine_index = max(free, key=lambda i: engines[i].spec.decode_rate)
            self.outstanding[engine_index] += 1
            request = self._queue.pop(0)

            def ended(first: float, total: float, engine_index=engine_index) -> None:
                self.outstanding[engine_index] -= 1
                self._dispatch_queued()

            self.simulation.start(engines[engine_index], request, ended)


class _PoolPolicy(_Policy):
    """The pool of ``sassafraspin.dispatch``."""

    def __init__(self, simulation: _Simulation) -> None:
        super().__init__(simulation)
        self._pool = Pool(
            _SERVICE,
            DispatchSettings(),
            AccountLimits(
                (ClientAccountSettings("a", "0" * 64, "p", 1e6, 1_000_000_000),)
            ),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "t",
            0.0,
        )
        self._requests: dict[str, _Request] = {}
        self._running: dict[str, tuple[SlotGrant, int]] = {}

    def start(self) -> None:
        self._announce()
        self._tick()

    def arrive(self, request: _Request) -> None:
        kind = request.kind
        message = SlotRequest(
            str(request.number),
            _SERVICE,
            kind.account,
            "p",
            "/v1/completions",
            kind.tier,
            request.prompt_tokens,
            kind.answer_tokens,
            int(kind.deadline * 1000),
            kind.cancellable,
            request.hashes,
        )
        self._requests[message.request_id] = request
        self._run(self._pool.request("entry", message, self.simulation.now))

    def _tick(self) -> None:
        now = self.simulation.now
        self._run(self._pool.tick(now))
        self.simulation.schedule(now + _TICK_SECONDS, self._tick)

    def _announce(self) -> None:
        scenario = self.simulation.scenario
        now = self.simulation.now
        for number, engine in enumerate(self.simulation.engines):
            engine.sequence += 1
            report = CacheReport(
                engine.sequence, tuple(engine.added), tuple(engine.removed)
            )
            engine.added.clear()
            engine.removed.clear()
            if self.simulation.generator.random() < scenario.cache_loss and now > 0:
                continue
            announcement = Announcement(
                id=f"engine-{number}",
                incarnation=1,
                service=_SERVICE,
                address=Address("127.0.0.1", 1),
                availability_zone="z",
                hardware=f"gen{number % 3}",
                versions=("v1",),
                ttl_ms=60_000,
                slots=engine.spec.slots,
                prefill_tokens_per_second=engine.spec.prefill_rate,
                decode_tokens_per_second=engine.spec.decode_rate,
                cache=report,
            )
            lag = scenario.report_lag if now > 0 else 0.0
            self.simulation.schedule(
                now + lag,
                lambda item=announcement: self._run(
                    self._pool.announce(item, self.simulation.now)
                ),
            )
        self.simulation.schedule(now + 0.5, self._announce)

    def _run(self, effects: list) -> None:
        for effect in effects:
            match effect.message:
                case SlotGrant():
                    self._send(effect.message)
                case SlotRevoke():
                    self._cancel(effect.message)
                case SlotRefusal():
                    self._requests.pop(effect.message.request_id)

    def _send(self, grant: SlotGrant) -> None:
        request = self._requests[grant.request_id]
        engine_index = int(grant.backend_id.partition("-")[2])
        self._running[grant.request_id] = (grant, engine_index)

        def ended(first: float, total: float) -> None:
            self._running.pop(grant.request_id, None)
            release = self._release(grant, ReleaseResult.ANSWERED)
            release = with_times(release, first, total, request.answer_tokens)
            self._run(self._pool.release(release, self.simulation.now))

        self.simulation.start(self.simulation.engines[engine_index], request, ended)

    def _cancel(self, revoke: SlotRevoke) -> None:
        running = self._running.pop(revoke.request_id, None)
        if running is None:
            return
        grant, engine_index = running
        engine = self.simulation.engines[engine_index]
        self.simulation.cancel(engine, self._requests[revoke.request_id])
        release = self._release(grant, ReleaseResult.CANCELLED)
        now = self.simulation.now
        self.simulation.schedule(
            now, lambda: self._run(self._pool.release(release, now))
        )

    def _release(self, grant: SlotGrant, result: ReleaseResult) -> SlotRelease:
        return SlotRelease(
            _SERVICE, grant.request_id, grant.grant_id, grant.backend_id, result
        )


def with_times(
    release: SlotRelease, first: float, total: float, tokens: int
) -> SlotRelease:
    """Return a copy of a release with measured times and token count."""
    return SlotRelease(
        release.service,
        release.request_id,
        release.grant_id,
        release.backend_id,
        release.result,
        int(first * 1000),
        int(total * 1000),
        tokens,
    )


POLICIES = {
    "pool": _PoolPolicy,
    "random": _Random,
    "round robin": _RoundRobin,
    "least outstanding": _LeastOutstanding,
    "first come first served": _FirstComeFirstServed,
}


def simulate(scenario: Scenario, policy: str, seed: int) -> Outcome:
    """Simulate one scenario with one policy."""
    simulation = _Simulation(scenario, seed)
    return simulation.run(POLICIES[policy](simulation))
