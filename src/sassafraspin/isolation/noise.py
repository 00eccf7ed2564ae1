"""Share of the requests that are broken off, whatever parts they have."""

import math
from collections import OrderedDict

__all__ = ["LossNoise", "weight"]

_MEAN_SECONDS = 30.0
_MAX_SERVERS = 1_024
_PRIOR_LOSSES = 0.5
"""Without an answer, every request may be one that is broken off."""

_PRIOR_REQUESTS = 10.0
"""Weight of all servers in the share of one."""


class _DecayingCount:
    """Count of events in which earlier ones weigh less."""

    def __init__(self, count: float = 0.0, counted_at: float = 0.0) -> None:
        self._count = count
        self._counted_at = counted_at

    def add(self, now: float) -> None:
        """Count an event."""
        self._count = self.at(now) + 1.0
        self._counted_at = now

    def at(self, now: float) -> float:
        """Return the weighted count."""
        return self._count * weight(now - self._counted_at)


class _Outcomes:
    """Counts of requests that were answered or broken off."""

    def __init__(self) -> None:
        self.answers = _DecayingCount()
        self.losses = _DecayingCount()


class LossNoise:
    """Counts the requests of late that were answered or broken off, by server.

    Parameters
    ----------
    answers, losses : float
        Initial counts of all servers.
    counted_at : float
        Time of the initial counts, in seconds.
    """

    def __init__(
        self, answers: float = 0.0, losses: float = 0.0, counted_at: float = 0.0
    ) -> None:
        self._all = _Outcomes()
        self._all.answers = _DecayingCount(answers, counted_at)
        self._all.losses = _DecayingCount(losses, counted_at)
        self._by_server: OrderedDict[str, _Outcomes] = OrderedDict()

    def answers(self, now: float) -> float:
        """Return the weighted count of answered requests."""
        return self._all.answers.at(now)

    def losses(self, now: float) -> float:
        """Return the weighted count of requests that were broken off."""
        return self._all.losses.at(now)

    def record_answer(self, server: str, now: float) -> None:
        """Count an answered request."""
        self._all.answers.add(now)
        self._of_server(server).answers.add(now)

    def record_loss(self, server: str, now: float) -> None:
        """Count a request that was broken off."""
        self._all.losses.add(now)
        self._of_server(server).losses.add(now)

    def share(self, server: str, own: float, own_here: float, now: float) -> float:
        """Return the share of losses at all servers, or at this one if it is larger.

        Parameters
        ----------
        server : str
            Name of the server.
        own, own_here : float
            Weight of the losses at all servers and at this one that do not count.
        now : float
            Current time in seconds.
        """
        losses = max(0.0, self.losses(now) - own) + _PRIOR_LOSSES
        share = losses / (losses + self.answers(now))
        outcomes = self._by_server.get(server, _Outcomes())
        losses_here = max(0.0, outcomes.losses.at(now) - own_here)
        requests_here = losses_here + outcomes.answers.at(now) + _PRIOR_REQUESTS
        return max(share, (losses_here + _PRIOR_REQUESTS * share) / requests_here)

    def _of_server(self, server: str) -> _Outcomes:
        outcomes = self._by_server.setdefault(server, _Outcomes())
        self._by_server.move_to_end(server)
        if len(self._by_server) > _MAX_SERVERS:
            self._by_server.popitem(last=False)
        return outcomes


def weight(age: float) -> float:
    """Return the weight of a request of this age in seconds."""
    return math.exp(-age / _MEAN_SECONDS)
