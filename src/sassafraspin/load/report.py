"""Results and statistics of a load run."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from sassafraspin.load.schedule import PlannedRequest
from sassafraspin.standins.executions import ExecutionCount

__all__ = [
    "EngineWork",
    "LoadReport",
    "LoadResult",
    "LoadRecorder",
    "ResultKind",
    "TierReport",
]

_HIGHEST_MS = 3_600_000
_SIGNIFICANT_DIGITS = 3


class ResultKind(StrEnum):
    """Outcome of a request.

    ``GOOD`` and ``LATE`` are complete answers before and after the deadline. ``WRONG``
    is an answer that belongs to another request, or that is or may be incomplete,
    ``FAILED`` an error status without a problem document, and ``CUT`` a lost connection
    or a stream without its end. The others are the execution states of refusals: the
    request was not run, may have been run, or was answered earlier under the same key.
    """

    GOOD = "good"
    LATE = "late"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"
    CUT = "cut"
    WRONG = "wrong"


@dataclass(frozen=True)
class LoadResult:
    """Result of one request.

    Parameters
    ----------
    kind : ResultKind
        Outcome.
    reason : str
        Problem type or other cause of a failure; empty for complete answers.
    total_ms, first_token_ms : float
        Time from the first attempt to the end and to the first token of any attempt.
        An unstreamed answer has its first token at its end.
    tokens : int
        Number of tokens of a complete answer; otherwise 0.
    tries : int
        Number of attempts.
    """

    kind: ResultKind
    reason: str
    total_ms: float
    first_token_ms: float
    tokens: int
    tries: int


@dataclass(frozen=True)
class TierReport:
    """Statistics of one tier.

    ``goodput`` is the share of requests that were answered completely before their
    deadline. The latencies cover complete answers, including late ones.
    """

    tier: int
    sent: int
    good: int
    goodput: float
    p50_ms: int
    p95_ms: int
    p99_ms: int
    first_token_p95_ms: int


@dataclass(frozen=True)
class EngineWork:
    """Prefill work of all engines, in tokens.

    ``least_tokens`` is the minimum needed for the answered requests: each distinct
    prompt block computed once, and the rest of each prompt. ``wasted_tokens`` is all
    prefill beyond that, including the prefill of cancelled requests
    (``cancelled_tokens``).
    """

    prefill_tokens: int
    cached_tokens: int
    cancelled_tokens: int
    least_tokens: int
    wasted_tokens: int


@dataclass(frozen=True)
class LoadReport:
    """Statistics of a complete run.

    ``results`` counts the requests by ``ResultKind``, and ``refusals`` those without a
    complete answer by their reason. ``prefill`` and ``executions`` are ``None`` if the
    settings name no stand-ins for them.
    """

    seconds: float
    sent: int
    tiers: tuple[TierReport, ...]
    results: dict[str, int]
    refusals: dict[str, int]
    retries: int
    prefill: EngineWork | None
    executions: ExecutionCount | None


class _TierRecorder:
    def __init__(self) -> None:
        self.sent = 0
        self.good = 0
        self.total = HdrHistogram(1, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
        self.first_token = HdrHistogram(1, _HIGHEST_MS, _SIGNIFICANT_DIGITS)


class LoadRecorder:
    """Collects the results of a run in progress."""

    def __init__(self) -> None:
        self._tiers: dict[int, _TierRecorder] = {}
        self._results: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._retries = 0

    @property
    def ended(self) -> int:
        """Return the number of requests that have ended."""
        return self._results.total()

    @property
    def good(self) -> int:
        """Return the number of requests answered completely before the deadline."""
        return self._results[ResultKind.GOOD]

    def add(self, planned: PlannedRequest, result: LoadResult) -> None:
        """Record the result of a request."""
        tier = self._tiers.setdefault(planned.request_class.tier, _TierRecorder())
        tier.sent += 1
        self._results[result.kind] += 1
        self._retries += result.tries - 1
        if result.reason:
            self._refusals[result.reason] += 1
        if result.kind is ResultKind.GOOD:
            tier.good += 1
        if result.kind in (ResultKind.GOOD, ResultKind.LATE):
            tier.total.record_value(max(1, int(result.total_ms)))
            tier.first_token.record_value(max(1, int(result.first_token_ms)))

    def report(
        self,
        seconds: float,
        prefill: EngineWork | None,
        executions: ExecutionCount | None,
    ) -> LoadReport:
        """Return the statistics of the results recorded so far."""
        tiers = tuple(
            _tier_report(tier, recorder)
            for tier, recorder in sorted(self._tiers.items())
        )
        return LoadReport(
            round(seconds, 3),
            self.ended,
            tiers,
            dict(sorted(self._results.items())),
            dict(sorted(self._refusals.items())),
            self._retries,
            prefill,
            executions,
        )


def _tier_report(tier: int, recorder: _TierRecorder) -> TierReport:
    total = recorder.total
    return TierReport(
        tier,
        recorder.sent,
        recorder.good,
        round(recorder.good / recorder.sent, 4),
        total.get_value_at_percentile(50),
        total.get_value_at_percentile(95),
        total.get_value_at_percentile(99),
        recorder.first_token.get_value_at_percentile(95),
    )
