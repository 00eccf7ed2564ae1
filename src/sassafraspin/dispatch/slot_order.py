"""Order in which waiting requests are tried when slots are free.

Under load a single slot is free at a time, so that a request can rarely choose its
server. Among the first requests of the queue, the one whose prompt the server of the
free slot holds already is tried first: the slot is free again sooner, for all of them.
"""

from collections.abc import Callable, Sequence

from sassafraspin.admission import WaitingRequest
from sassafraspin.dispatch.messages import SlotRequest

__all__ = ["order_for_slots"]

_MIN_HELD_SHARE = 0.25
"""Share of its prompt that has to be held for a request to overtake others. Less saves
too little of the time in the slot."""

_OVERTAKING_SHARE = 0.5
"""Share of the time that a request may wait in which others may overtake it."""


def order_for_slots(
    batch: Sequence[WaitingRequest],
    is_same_rank: Callable[[WaitingRequest, WaitingRequest], bool],
    held_tokens: Callable[[SlotRequest], int],
    now: float,
) -> Sequence[WaitingRequest]:
    """Return the first requests of the queue in the order in which to try them.

    Parameters
    ----------
    batch : sequence of WaitingRequest
        First requests in queue order.
    is_same_rank : callable
        Returns whether two requests have the same tier and are both on time or late; a
        request overtakes only others of its rank.
    held_tokens : callable
        Returns the size of the part of a prompt that a server with a free slot holds.
    now : float
        Monotonic time in seconds.
    """
    if len(batch) < 2 or not _may_be_overtaken(batch[0], now):
        return batch
    first = batch[0]
    best, most = first, _held_tokens(first, held_tokens)
    for waiting in batch[1:]:
        if not is_same_rank(first, waiting):
            break
        held = _held_tokens(waiting, held_tokens)
        if held > most:
            best, most = waiting, held
    if best is first:
        return batch
    return [best, *(waiting for waiting in batch if waiting is not best)]


def _held_tokens(
    waiting: WaitingRequest, held_tokens: Callable[[SlotRequest], int]
) -> int:
    """Return the held tokens of a prompt, 0 if they are a small part of it."""
    request = waiting.request
    if not request.parts:
        return 0
    held = held_tokens(request)
    return held if held >= _MIN_HELD_SHARE * request.prompt_tokens else 0


def _may_be_overtaken(waiting: WaitingRequest, now: float) -> bool:
    """Return whether a request has waited for a part of its time only."""
    end = waiting.latest_start
    if not waiting.is_late(now):
        end = min(end, waiting.start_by)
    return now - waiting.queued_at < _OVERTAKING_SHARE * (end - waiting.queued_at)
