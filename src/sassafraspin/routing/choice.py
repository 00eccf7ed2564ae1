"""Choice of a backend server for one request."""

from collections.abc import Sequence
from dataclasses import dataclass

from sassafraspin.backends import PREFIX_BLOCK_BYTES, Backend
from sassafraspin.dispatch.messages import SlotRequest

__all__ = [
    "BackendChoice",
    "choose_backend",
    "expected_seconds",
    "nominal_seconds",
    "uncached_tokens",
]

_BYTES_PER_TOKEN = 4
_TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES // _BYTES_PER_TOKEN
_CROWDING_WEIGHT = 0.5
_AMPLE_SHARE = 0.5


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


def expected_seconds(backend: Backend, request: SlotRequest) -> float:
    """Return the time until the whole answer if the request started now.

    A crowded server decodes more slowly, so its share of busy slots counts as
    extra time.
    """
    prefill_tokens = uncached_tokens(backend, request)
    alone = backend.speed.seconds(prefill_tokens, request.answer_tokens)
    crowding = backend.busy_slots / backend.announcement.slots
    return alone * (1 + _CROWDING_WEIGHT * crowding)


def _order(backend: Backend, request: SlotRequest) -> tuple[int, float]:
    """Return what servers are compared by, least first.

    While there is ample time, the prompt tokens to compute come first; else the
    expected time alone decides.
    """
    seconds = expected_seconds(backend, request)
    if seconds > _AMPLE_SHARE * request.deadline_ms / 1000:
        return request.prompt_tokens, seconds
    return uncached_tokens(backend, request), seconds


def choose_backend(
    candidates: Sequence[Backend], request: SlotRequest
) -> BackendChoice | None:
    """Return the server that has cached most while there is time, else the fastest.

    Parameters
    ----------
    candidates : sequence of Backend
        Servers that accept the request and have room for it.
    request : SlotRequest
        The request.

    Returns
    -------
    BackendChoice or None
        ``None`` if there is no candidate.
    """
    if not candidates:
        return None
    best = min(candidates, key=lambda backend: _order(backend, request))
    return BackendChoice(best, expected_seconds(best, request))
