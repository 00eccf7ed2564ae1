"""Selection of the backend server for a request."""

from collections.abc import Sequence
from dataclasses import dataclass

from sassafraspin.backends import PREFIX_BLOCK_BYTES, Backend
from sassafraspin.dispatch.messages import SlotRequest

__all__ = [
    "BackendChoice",
    "choose_backend",
    "expected_first_token",
    "expected_seconds",
    "nominal_seconds",
    "uncached_tokens",
]

_BYTES_PER_TOKEN = 4
_TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES // _BYTES_PER_TOKEN
_BUSY_SLOWDOWN_WEIGHT = 0.5
_AMPLE_TIME_SHARE = 0.5
_MS_PER_SECOND = 1000

_INTERFERENCE_WEIGHT = 0.5
"""Fraction of a prompt's prefill time by which each concurrent request is delayed:
engines prefill in chunks, between the decode steps of other requests."""


@dataclass(frozen=True)
class BackendChoice:
    """A selected backend server and the expected time for the request, in seconds."""

    backend: Backend
    expected_seconds: float


def uncached_tokens(backend: Backend, request: SlotRequest) -> int:
    """Return the number of prompt tokens that are not in the server's prefix cache."""
    cached = backend.cache.matching_blocks(request.prefixes) * _TOKENS_PER_BLOCK
    return max(request.prompt_tokens - cached, 1)


def nominal_seconds(
    backend: Backend, request: SlotRequest, answer_tokens: int
) -> float:
    """Return the time predicted from the announced speed for an ended request."""
    announcement = backend.announcement
    prefill = request.prompt_tokens / announcement.prefill_tokens_per_second
    tokens = answer_tokens or request.answer_tokens
    return prefill + tokens / announcement.decode_tokens_per_second


def expected_first_token(backend: Backend, request: SlotRequest, now: float) -> float:
    """Return the expected time to first token of a request sent now, in seconds."""
    prefill = backend.speed.prefill_seconds(uncached_tokens(backend, request))
    return backend.backlog.wait(now) + prefill + 1 / backend.speed.decode_rate


def expected_seconds(backend: Backend, request: SlotRequest) -> float:
    """Return the expected time to the complete answer, without the prefill backlog.

    A server decodes more slowly under load, so its share of busy slots adds time.
    """
    prefill_tokens = uncached_tokens(backend, request)
    unloaded = backend.speed.seconds(prefill_tokens, request.answer_tokens)
    busy_share = backend.busy_slots / backend.announcement.slots
    return unloaded * (1 + _BUSY_SLOWDOWN_WEIGHT * busy_share)


def _sort_key(
    backend: Backend, request: SlotRequest, now: float
) -> tuple[bool, float, float]:
    """Return the sort key of a server; the lowest is preferred.

    Without an objective for the first token, the server with the fewest uncached prompt
    tokens is preferred if it leaves ample time before the deadline; otherwise the
    expected time decides.
    """
    if request.first_token_within_ms:
        return _stream_sort_key(backend, request, now)
    seconds = expected_seconds(backend, request)
    if seconds > _AMPLE_TIME_SHARE * request.deadline_ms / 1000:
        return False, request.prompt_tokens, seconds
    return False, uncached_tokens(backend, request), seconds


def _stream_sort_key(
    backend: Backend, request: SlotRequest, now: float
) -> tuple[bool, float, float]:
    """Return the sort key of a server if the first token has an objective.

    Servers that meet the objective are preferred, ordered by the expected time plus
    the delay that the prefill causes to concurrent requests. The others are ordered by
    the time to first token.
    """
    first_token = expected_first_token(backend, request, now)
    is_late = first_token > request.first_token_within_ms / _MS_PER_SECOND
    prefill = backend.speed.prefill_seconds(uncached_tokens(backend, request))
    interference = _INTERFERENCE_WEIGHT * prefill * backend.busy_slots
    seconds = (
        backend.backlog.wait(now) + expected_seconds(backend, request) + interference
    )
    return is_late, first_token if is_late else seconds, first_token


def choose_backend(
    candidates: Sequence[Backend], request: SlotRequest, now: float
) -> BackendChoice | None:
    """Return the best server for a request according to its sort key.

    Parameters
    ----------
    candidates : sequence of Backend
        Servers that accept the request and have free capacity for it.
    request : SlotRequest
        The request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    BackendChoice or None
        ``None`` if there is no candidate.
    """
    if not candidates:
        return None
    best = min(candidates, key=lambda backend: _sort_key(backend, request, now))
    return BackendChoice(best, expected_seconds(best, request))
