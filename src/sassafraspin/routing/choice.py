"""Selection of the backend server for a request."""

from collections.abc import Sequence
from dataclasses import dataclass

from sassafraspin.backends import PREFIX_BLOCK_BYTES, Backend
from sassafraspin.dispatch.messages import SlotRequest

__all__ = [
    "BackendChoice",
    "again_tokens",
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

_PART_INTERFERENCE_WEIGHT = 1.0
"""The same for requests that are placed by their parts. The whole time is lost, since a
chunk lengthens the decode step of every stream; with half of it, 5 to 10 % more tokens
were prefilled again in ``tests/prefix_model.py``, as busy servers were filled up that
later requests with the same parts found without a slot."""

_REUSE_WEIGHT = 4.0
"""Weight of the time in which a server prefills parts that another one holds: it is
taken from the capacity for other requests. It decides only among servers that meet the
objective of the request. With a weight of 1, a sixth to a half more tokens were
prefilled again in ``tests/prefix_model.py`` below full load, and none fewer on time."""

_ANSWER_WEIGHT = 0.1
"""Weight of the time from the first token to the end of an answer, for requests that
are placed by their parts: callers' objectives are for the first token and for pauses.
With the whole time, fast servers are preferred to those that hold the parts."""

_LONG_PREFILL_SHARE = 0.3
"""Share of the pause objective from which on a prefill counts as long. Shorter ones are
not moved: with shares of 0.05 and 0.2 they lose their held parts and cause more late
pauses elsewhere (205 and 204 instead of 167 in ``tests/prefix_model.py``)."""


@dataclass(frozen=True)
class BackendChoice:
    """A selected backend server and the expected time for the request, in seconds."""

    backend: Backend
    expected_seconds: float


def uncached_tokens(backend: Backend, request: SlotRequest) -> int:
    """Return the number of prompt tokens that are not in the server's prefix cache."""
    cached = backend.cache.matching_blocks(request.prefixes) * _TOKENS_PER_BLOCK
    cached += backend.parts.leading_tokens(request.parts)
    return max(request.prompt_tokens - cached, 1)


def again_tokens(request: SlotRequest, uncached: int, reused: int) -> int:
    """Return how many tokens a server prefills although another one has lately.

    Parameters
    ----------
    request : SlotRequest
        The request.
    uncached : int
        Tokens of its prompt that the server has to prefill.
    reused : int
        Size of the leading parts of the prompt that some server was sent lately.
    """
    return max(0, uncached - max(0, request.prompt_tokens - reused)) if reused else 0


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
    uncached = uncached_tokens(backend, request)
    return backend.backlog.wait(now) + backend.speed.first_token_seconds(uncached)


def expected_seconds(backend: Backend, request: SlotRequest) -> float:
    """Return the expected time to the complete answer, without the prefill backlog.

    A server decodes more slowly under load, so its share of busy slots adds time.
    """
    prefill_tokens = uncached_tokens(backend, request)
    unloaded = backend.speed.seconds(prefill_tokens, request.answer_tokens)
    busy_share = backend.busy_slots / backend.announcement.slots
    return unloaded * (1 + _BUSY_SLOWDOWN_WEIGHT * busy_share)


def _sort_key(
    backend: Backend, request: SlotRequest, now: float, waited: float, reused: int
) -> tuple[bool, bool, float, float]:
    """Return the sort key of a server; the lowest is preferred.

    Without an objective for the first token, the server with the fewest uncached prompt
    tokens is preferred if it leaves ample time before the deadline; otherwise the
    expected time decides.
    """
    if request.first_token_within_ms:
        return _stream_sort_key(backend, request, now, waited, reused)
    seconds = expected_seconds(backend, request)
    if seconds > _AMPLE_TIME_SHARE * request.deadline_ms / 1000:
        return False, False, request.prompt_tokens, seconds
    return False, False, uncached_tokens(backend, request), seconds


def _stream_sort_key(
    backend: Backend, request: SlotRequest, now: float, waited: float, reused: int
) -> tuple[bool, bool, float, float]:
    """Return the sort key of a server if the first token has an objective.

    Servers that meet the objective are preferred, then those whose streams keep theirs.
    They are ordered by the expected time plus the delay that the prefill causes to
    concurrent requests, and that of prefilling again what others have prefilled.
    Servers that do not meet the objective are ordered by the time to first token.
    """
    uncached = uncached_tokens(backend, request)
    wait = backend.backlog.wait(now)
    first_token = wait + backend.speed.first_token_seconds(uncached)
    objective = request.first_token_within_ms / _MS_PER_SECOND
    is_late = waited + first_token > objective
    prefill = backend.speed.prefill_seconds(uncached)
    answer = wait + expected_seconds(backend, request) - first_token
    seconds = first_token
    if request.parts:
        again = again_tokens(request, uncached, reused)
        seconds += _REUSE_WEIGHT * backend.speed.prefill_seconds(again)
        seconds += _PART_INTERFERENCE_WEIGHT * prefill * backend.busy_slots
        seconds += _ANSWER_WEIGHT * answer
    else:
        seconds += _INTERFERENCE_WEIGHT * prefill * backend.busy_slots + answer
    breaks_pauses = _breaks_pauses(backend, wait, prefill)
    return is_late, breaks_pauses, first_token if is_late else seconds, first_token


def _breaks_pauses(backend: Backend, wait: float, prefill: float) -> bool:
    """Return whether a long prompt delays a running stream beyond its objective.

    The chunks of the prompt and of those before it lie between the events.
    """
    gap = backend.shortest_gap
    if not gap or prefill < _LONG_PREFILL_SHARE * gap:
        return False
    return wait + prefill > gap


def choose_backend(
    candidates: Sequence[Backend],
    request: SlotRequest,
    now: float,
    waited: float = 0.0,
    reused_tokens: int = 0,
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
    waited : float
        Time for which the request has waited, in seconds.
    reused_tokens : int
        Size of the leading parts of its prompt that some server was sent lately.

    Returns
    -------
    BackendChoice or None
        ``None`` if there is no candidate.
    """
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda item: _sort_key(item, request, now, waited, reused_tokens),
    )
    return BackendChoice(best, expected_seconds(best, request))
