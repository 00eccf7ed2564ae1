"""Simulation of a continuous-batching engine without I/O: memory, cache, timing."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from sassafraspin.backends import (
    PREFIX_BLOCK_BYTES,
    CacheReport,
    LoadReport,
    prefix_hashes,
)
from sassafraspin.standins.faults import FaultEffect, FaultModel
from sassafraspin.standins.model import EngineSettings

__all__ = ["EngineCore", "EngineTotals", "count_tokens"]


_BYTES_PER_TOKEN = 4


def count_tokens(text: bytes) -> int:
    """Return the approximate length of a text in tokens."""
    return max(1, len(text) // _BYTES_PER_TOKEN)


@dataclass(frozen=True)
class EngineTotals:
    """Work of an engine since its start, in tokens."""

    prefill_tokens: int
    cached_tokens: int
    decode_tokens: int
    cancelled_prefill_tokens: int


@dataclass(frozen=True)
class _CacheChange:
    """A prefix block that was cached or evicted; ``value`` is the block's hash."""

    at: float
    value: int
    is_added: bool


class EngineCore:
    """State of one simulated engine.

    It computes durations but never waits: the caller sleeps for the returned times.

    Parameters
    ----------
    settings : EngineSettings
        Speeds, memory size and faults.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._faults = FaultModel(settings.faults, random.Random(settings.seed))
        self._running = 0
        self._waiting = 0
        self._kv_tokens_used = 0
        self._kv_tokens_reserved = 0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._unreported_changes: deque[_CacheChange] = deque()
        self._cache_sequence = 0
        self._load_history: deque[tuple[float, LoadReport]] = deque()
        self._prefill_tokens = 0
        self._cached_tokens = 0
        self._decode_tokens = 0
        self._cancelled_prefill_tokens = 0

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return self._running

    @property
    def totals(self) -> EngineTotals:
        """Return the work since the start of the engine."""
        return EngineTotals(
            self._prefill_tokens,
            self._cached_tokens,
            self._decode_tokens,
            self._cancelled_prefill_tokens,
        )

    def record_waiting(self, change: int) -> None:
        """Add ``change`` (+1 or -1) to the number of requests that wait for a slot."""
        self._waiting += change

    def start(
        self, prompt: bytes, answer_tokens: int, version: str, route: str
    ) -> FaultEffect:
        """Add a request to the batch and reserve KV memory for prompt and answer."""
        effect = self._faults.effect(version, route, self._running)
        self._running += 1
        self._kv_tokens_reserved += count_tokens(prompt) + answer_tokens
        self._kv_tokens_used += count_tokens(prompt)
        return effect

    def finish(self, prompt: bytes, answer_tokens: int, generated: int) -> None:
        """Remove a request with ``generated`` answer tokens and free its KV memory."""
        self._running -= 1
        self._kv_tokens_reserved -= count_tokens(prompt) + answer_tokens
        self._kv_tokens_used -= count_tokens(prompt) + generated

    def record_cancelled(self, prefill_tokens: int) -> None:
        """Count the prefill of a failed or cancelled request as cancelled."""
        self._cancelled_prefill_tokens += prefill_tokens

    def prefill(self, prompt: bytes, now: float) -> int:
        """Cache a prompt and return the tokens to compute for it.

        These are the tokens after the longest cached prefix, but at least one, even if
        the whole prompt is cached.
        """
        hashes = prefix_hashes(prompt)
        cached_blocks = 0
        for value in hashes:
            if value not in self._cache:
                break
            cached_blocks += 1
        cached = cached_blocks * PREFIX_BLOCK_BYTES // _BYTES_PER_TOKEN
        tokens = max(count_tokens(prompt) - cached, 1)
        self._prefill_tokens += tokens
        self._cached_tokens += cached
        self._cache_blocks(hashes, now)
        return tokens

    def prefill_seconds(self, tokens: int) -> float:
        """Return the time to compute a number of prompt tokens."""
        return tokens / self._settings.prefill_tokens_per_second

    def token_seconds(self) -> float:
        """Return the time per answer token with the current batch size."""
        slowdown = 1 + self._settings.crowding * max(0, self._running - 1)
        return slowdown / self._settings.decode_tokens_per_second

    def record_token(self) -> None:
        """Record one generated answer token."""
        self._decode_tokens += 1
        self._kv_tokens_used += 1

    def load_report(self, now: float) -> LoadReport:
        """Record the current load and return the load of ``report_lag_ms`` ago."""
        lag = self._settings.announcer.report_lag_ms / 1000
        current = LoadReport(
            0, self._running, self._waiting, max(0, self._kv_tokens_used)
        )
        self._load_history.append((now, current))
        while len(self._load_history) > 1 and self._load_history[1][0] <= now - lag:
            self._load_history.popleft()
        at, report = self._load_history[0]
        age_ms = int((now - at) * 1000)
        return LoadReport(age_ms, report.running, report.waiting, report.kv_tokens_used)

    def cache_report(self, now: float) -> CacheReport:
        """Return the cache changes older than ``report_lag_ms``, each only once."""
        lag = self._settings.announcer.report_lag_ms / 1000
        due: list[_CacheChange] = []
        while self._unreported_changes and self._unreported_changes[0].at <= now - lag:
            due.append(self._unreported_changes.popleft())
        self._cache_sequence += 1
        return CacheReport(
            self._cache_sequence,
            tuple(change.value for change in due if change.is_added),
            tuple(change.value for change in due if not change.is_added),
        )

    def has_memory(self, prompt: bytes, answer_tokens: int) -> bool:
        """Return whether the KV memory has room for a request and its answer.

        An empty engine accepts any request, even one that exceeds its memory.
        """
        limit = self._settings.kv_tokens
        if limit == 0 or self._running == 0:
            return True
        return self._kv_tokens_reserved + count_tokens(prompt) + answer_tokens <= limit

    def _cache_blocks(self, hashes: tuple[int, ...], now: float) -> None:
        for value in hashes:
            if value not in self._cache:
                self._unreported_changes.append(_CacheChange(now, value, True))
            self._cache[value] = None
            self._cache.move_to_end(value)
        while len(self._cache) > self._settings.cache_blocks:
            removed, _ = self._cache.popitem(last=False)
            self._unreported_changes.append(_CacheChange(now, removed, False))
