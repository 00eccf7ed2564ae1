"""Lengths of the latest answers on each route."""

from collections import OrderedDict, deque

__all__ = ["AnswerLengths"]

_ANSWERS = 64
"""Answers of a route that are remembered."""

_MAX_ROUTES = 1_024


class AnswerLengths:
    """Remembers how long the answers on each route are, in tokens.

    Callers declare the largest length of an answer. Few answers reach it, so that it
    does not tell whether one can be complete in time.
    """

    def __init__(self) -> None:
        self._lengths: OrderedDict[str, deque[int]] = OrderedDict()

    def record(self, route: str, tokens: int) -> None:
        """Record the length of a complete answer."""
        self._lengths.setdefault(route, deque(maxlen=_ANSWERS)).append(tokens)
        self._lengths.move_to_end(route)
        if len(self._lengths) > _MAX_ROUTES:
            self._lengths.popitem(last=False)

    def longest(self, route: str) -> int:
        """Return the longest of the latest answers, 1 if there were none."""
        return max(self._lengths.get(route, ()), default=1)
