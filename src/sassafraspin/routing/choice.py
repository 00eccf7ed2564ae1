"""Choice of a backend server for one request."""

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
_CROWDING_WEIGHT = 0.5
_AMPLE_SHARE = 0.5
_MS_PER_SECOND = 1000

_HARM_WEIGHT = 0.5
"""Part of a prompt's time that each request beside it is held up, since prompts are
computed in chunks between the tokens of others."""


@dataclass(frozen=True)
class BackendChoice:
    """A backend server with the time it is expected to need, in seconds."""

    backend: Backend
    expected_seconds: float


def uncached_tokens(backend: Backend, request: SlotRequest) -> int:
    """Return the prompt tokens that the server has to compute."""
    cached = backend.cache.matching_blocks(request.prefixes) * _TOKENS_PER_BLOCK
    return max(request.prompt_tokens - cached, 1)


def nominal_seconds(
    backend: Backend, request: SlotRequest, answer_tokens: int
) -> float:
    """Return the time that the announced speed predicts for an ended request."""
    announcement = backend.announcement
    prefill = request.prompt_tokens / announcement.prefill_tokens_per_second
    tokens = answer_tokens or request.answer_tokens
    return prefill + tokens / announcement.decode_tokens_per_second


def expected_first_token(backend: Backend, request: SlotRequest, now: float) -> float:
    """Return the seconds until the first token if the request were sent now."""
    prefill = backend.speed.prefill_seconds(uncached_tokens(backend, request))
    return backend.backlog.wait(now) + prefill + 1 / backend.speed.decode_rate


def expected_seconds(backend: Backend, request: SlotRequest) -> float:
    """Return the time until the whole answer if the request started now.

    A crowded server decodes more slowly, so its share of busy slots counts as
    extra time.
    """
    prefill_tokens = uncached_tokens(backend, request)
    alone = backend.speed.seconds(prefill_tokens, request.answer_tokens)
    crowding = backend.busy_slots / backend.announcement.slots
    return alone * (1 + _CROWDING_WEIGHT * crowding)


def _order(
    backend: Backend, request: SlotRequest, now: float
) -> tuple[bool, float, float]:
    """Return what servers are compared by, least first.

    A server that brings the first token on time goes before one that does not. While
    there is ample time, the prompt tokens to compute come next; else the expected
    time alone decides, with the harm to those beside it, whose tokens wait for the
    prompt.
    """
    if request.first_token_within_ms:
        return _stream_order(backend, request, now)
    seconds = expected_seconds(backend, request)
    if seconds > _AMPLE_SHARE * request.deadline_ms / 1000:
        return False, request.prompt_tokens, seconds
    return False, uncached_tokens(backend, request), seconds


def _stream_order(
    backend: Backend, request: SlotRequest, now: float
) -> tuple[bool, float, float]:
    first_token = expected_first_token(backend, request, now)
    is_late = first_token > request.first_token_within_ms / _MS_PER_SECOND
    prefill = backend.speed.prefill_seconds(uncached_tokens(backend, request))
    harm = _HARM_WEIGHT * prefill * backend.busy_slots
    seconds = backend.backlog.wait(now) + expected_seconds(backend, request) + harm
    return is_late, first_token if is_late else seconds, first_token


def choose_backend(
    candidates: Sequence[Backend], request: SlotRequest, now: float
) -> BackendChoice | None:
    """Return the server that has cached most while there is time, else the fastest.

    Parameters
    ----------
    candidates : sequence of Backend
        Servers that accept the request and have room for it.
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
    best = min(candidates, key=lambda backend: _order(backend, request, now))
    return BackendChoice(best, expected_seconds(best, request))
