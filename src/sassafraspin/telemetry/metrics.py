"""Counters and histograms, kept in memory and optionally sent to a statsd server."""

from dataclasses import dataclass

import statsd
from hdrh.histogram import HdrHistogram

__all__ = ["HistogramSummary", "Metrics", "RequestLabels"]

_LOWEST_MS = 1
_HIGHEST_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True)
class RequestLabels:
    """Labels by which the measurements of a request are grouped."""

    client_account: str
    tier: int
    profile: str

    def name_suffixes(self) -> tuple[str, ...]:
        """Return the metric name suffix of each label; ``.`` and ``:`` become ``_``."""
        return (
            f"account.{_escape(self.client_account)}",
            f"tier.{self.tier}",
            f"profile.{_escape(self.profile)}",
        )


@dataclass(frozen=True)
class HistogramSummary:
    """Percentiles of one histogram, in milliseconds."""

    name: str
    count: int
    p50_ms: int
    p95_ms: int
    p99_ms: int


class Metrics:
    """Counters and histograms of one daemon.

    Parameters
    ----------
    prefix : str
        Prefix of every metric name sent to the statsd server.
    host : str or None
        IP address of the statsd server, or ``None`` to send nothing.
    port : int
        UDP port of the statsd server.
    """

    def __init__(self, prefix: str, host: str | None = None, port: int = 8125) -> None:
        self._client = None
        if host is not None:
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._counters: dict[str, int] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    @property
    def counters(self) -> dict[str, int]:
        """Return a copy of all counters, keyed by name."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._counters[name] = self._counters.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in the histogram ``name``, limited to 1 ms to 1 h.

        The statsd server gets the unlimited value.

        Parameters
        ----------
        name : str
            Metric name.
        value_ms : float
            Duration in milliseconds.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(min(max(int(value_ms), _LOWEST_MS), _HIGHEST_MS))
        if self._client is not None:
            self._client.timing(name, value_ms)

    def observe_request(
        self, name: str, labels: RequestLabels, value_ms: float
    ) -> None:
        """Record a duration once for each label of a request."""
        for suffix in labels.name_suffixes():
            self.observe_ms(f"{name}.{suffix}", value_ms)

    def summaries(self) -> tuple[HistogramSummary, ...]:
        """Return the percentiles of all histograms, ordered by name."""
        return tuple(
            _summarize(name, histogram)
            for name, histogram in sorted(self._histograms.items())
        )


def _summarize(name: str, histogram: HdrHistogram) -> HistogramSummary:
    p50, p95, p99 = (histogram.get_value_at_percentile(p) for p in _PERCENTILES)
    return HistogramSummary(name, histogram.get_total_count(), p50, p95, p99)


def _escape(name: str) -> str:
    return name.replace(".", "_").replace(":", "_")
