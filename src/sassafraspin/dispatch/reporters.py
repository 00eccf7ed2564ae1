"""Entry instances that report failures, and whether they can reach the servers at all.

An instance that is cut off from the servers reports a failure of each server that it
is granted. If other instances get answers of these servers afterwards, its path has
failed and not the servers.
"""

from dataclasses import dataclass, field

__all__ = ["Reporters", "ServerVersion"]

_REORDERING_SECONDS = 0.1
"""Reports of two instances about the same moment arrive within this time."""

_FAILURE_SECONDS = 10.0
"""Age from which on a failure says nothing about the present path."""

_DOUBT_SECONDS = 5.0
"""Time after which an instance is trusted again: since the last refutation if it is cut
off, otherwise since its last failure."""

_MIN_SERVERS = 2
_MIN_REFUTED = 2
_MAX_FAILURES = 16


@dataclass(frozen=True)
class ServerVersion:
    """A version in one run of a server.

    Versions are told apart because one may fail while another one answers.
    """

    server: str
    incarnation: int
    version: str


@dataclass
class _Reporter:
    """What is known of an entry instance; times are monotonic, in seconds.

    ``failures`` are those since its last answer that nobody has refuted; ``refuted`` is
    the number of the others, at the servers ``refuted_at``. ``silent`` are the servers
    that did not answer it for long and have not failed.
    """

    failures: dict[ServerVersion, float] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    refuted: int = 0
    refuted_at: set[str] = field(default_factory=set)
    answered_at: float = float("-inf")
    doubted_until: float = float("-inf")
    grants: int = 0

    @property
    def servers(self) -> int:
        """Return the number of servers that it failed to get an answer from."""
        open_at = {source.server for source in self.failures}
        return len(self.refuted_at | open_at)


class Reporters:
    """Decides whose failures count against the servers of a service.

    A failure is refuted by a later answer of the same server to another instance. An
    instance that fails at several servers without an answer in between, and of which
    several failures were refuted, is cut off until it gets an answer, or no failure is
    refuted for a while. Not all of the servers have to answer others: one that was
    ejected gets no requests.
    """

    def __init__(self) -> None:
        self._reporters: dict[str, _Reporter] = {}
        self._failures: dict[ServerVersion, dict[str, float]] = {}
        self._cut_off: set[str] = set()
        self._limited: set[str] = set()
        self._limited_grants = 0
        self._limiting_servers = _MIN_SERVERS

    def set_server_count(self, count: int) -> None:
        """Set the number of servers: an instance that fails at a third is limited.

        Fewer may be down while long answers of the others take their time.
        """
        self._limiting_servers = max(_MIN_SERVERS, (count + 2) // 3)

    @property
    def cut_off(self) -> frozenset[str]:
        """Return the instances whose failures are due to their path."""
        return frozenset(self._cut_off)

    @property
    def is_alone(self) -> bool:
        """Return whether a single instance reports, which nobody can refute."""
        return len(self._reporters) < 2

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the instances."""
        return tuple(self._reporters)

    def is_cut_off(self, entry: str) -> bool:
        """Return whether the failures of an instance are due to its path."""
        return entry in self._cut_off

    def is_limited(self, entry: str) -> bool:
        """Return whether ``may_hold_more`` decides about an instance."""
        return entry in self._limited

    def has_answer_since(self, entry: str, at: float) -> bool:
        """Return whether an instance reached a server after some time."""
        reporter = self._reporters.get(entry)
        return reporter is not None and reporter.answered_at >= at

    def may_hold_more(self, slots: int) -> bool:
        """Return whether a limited instance may get another one of all slots.

        Those that get no answers and fail at several servers hold at most their share,
        refuted or not: if requests that hang took all slots, the others would get no
        answers either, and nothing would be refuted.
        """
        if self._all_are_limited:
            return True
        share = slots * len(self._limited) // len(self._reporters)
        return self._limited_grants < max(1, share)

    def record_grant(self, entry: str) -> None:
        """Count a slot that was granted to an instance."""
        self._get(entry).grants += 1
        self._limited_grants += entry in self._limited

    def record_end(self, entry: str) -> None:
        """Count a slot that an instance holds no more."""
        self._get(entry).grants -= 1
        self._limited_grants -= entry in self._limited

    def record_contact(self, entry: str, now: float) -> None:
        """Record that an instance reached a server, whatever came of it."""
        reporter = self._get(entry)
        reporter.answered_at = now
        self._trust(entry, reporter)

    def record_answer(
        self, entry: str, source: ServerVersion, now: float
    ) -> tuple[str, ...]:
        """Record an answer; return the instances that it shows to be cut off."""
        self.record_contact(entry, now)
        refuted = [
            other
            for other, at in self._failures.get(source, {}).items()
            if now - at > _REORDERING_SECONDS
        ]
        return tuple(other for other in refuted if self._refute(other, source, now))

    def record_failure(self, entry: str, source: ServerVersion, now: float) -> bool:
        """Record a failure; return whether it counts against the server.

        The first ones of an instance at several servers do until they are refuted.
        Further ones without an answer in between say more about the instance, unless
        no instance gets answers.
        """
        reporter = self._get(entry)
        is_credible = entry not in self._limited
        if self._all_are_limited:
            is_credible = entry not in self._cut_off
        self._add_failure(entry, reporter, source, now)
        reporter.silent.discard(source.server)
        failed = reporter.servers - len(reporter.silent - reporter.refuted_at)
        if failed >= self._limiting_servers:
            self._limit(entry, reporter)
        return is_credible

    def record_silence(self, entry: str, source: ServerVersion, now: float) -> None:
        """Record that a server has not answered an instance for long.

        A busy server may still answer, so that this alone does not limit an instance.
        """
        reporter = self._get(entry)
        if source not in reporter.failures:
            reporter.silent.add(source.server)
        self._add_failure(entry, reporter, source, now)

    def _add_failure(
        self, entry: str, reporter: _Reporter, source: ServerVersion, now: float
    ) -> None:
        if source not in reporter.failures:
            if len(reporter.failures) >= _MAX_FAILURES:
                self._remove(entry, reporter, next(iter(reporter.failures)))
            reporter.failures[source] = now
            self._failures.setdefault(source, {})[entry] = now
        if entry not in self._cut_off:
            reporter.doubted_until = now + _DOUBT_SECONDS

    def record_path_failure(self, entry: str, now: float) -> bool:
        """Record that an instance found its path to have failed.

        Returns whether it was not known to be cut off.
        """
        return self._distrust(entry, self._get(entry), now)

    def expire(self, now: float) -> None:
        """Trust the instances again of which nothing was heard for a while."""
        for entry in list(self._limited):
            reporter = self._reporters[entry]
            if now >= reporter.doubted_until:
                self._trust(entry, reporter)

    def forget(self, entry: str) -> None:
        """Forget an instance that has left and holds no slots."""
        reporter = self._reporters.get(entry)
        if reporter is not None:
            self._trust(entry, reporter)
            del self._reporters[entry]

    @property
    def _all_are_limited(self) -> bool:
        return len(self._limited) == len(self._reporters)

    def _get(self, entry: str) -> _Reporter:
        reporter = self._reporters.get(entry)
        if reporter is None:
            reporter = self._reporters[entry] = _Reporter()
        return reporter

    def _refute(self, entry: str, source: ServerVersion, now: float) -> bool:
        """Refute a failure; return whether its instance is now found to be cut off."""
        reporter = self._reporters[entry]
        failed_at = self._remove(entry, reporter, source)
        if now - failed_at > _FAILURE_SECONDS:
            return False
        reporter.refuted += 1
        if len(reporter.refuted_at) < _MAX_FAILURES:
            reporter.refuted_at.add(source.server)
        if reporter.refuted < _MIN_REFUTED or reporter.servers < _MIN_SERVERS:
            return False
        return self._distrust(entry, reporter, now)

    def _distrust(self, entry: str, reporter: _Reporter, now: float) -> bool:
        reporter.doubted_until = now + _DOUBT_SECONDS
        if entry in self._cut_off:
            return False
        self._cut_off.add(entry)
        self._limit(entry, reporter)
        return True

    def _limit(self, entry: str, reporter: _Reporter) -> None:
        if entry not in self._limited:
            self._limited.add(entry)
            self._limited_grants += reporter.grants

    def _trust(self, entry: str, reporter: _Reporter) -> None:
        for source in list(reporter.failures):
            self._remove(entry, reporter, source)
        reporter.refuted = 0
        reporter.refuted_at.clear()
        reporter.silent.clear()
        self._cut_off.discard(entry)
        if entry in self._limited:
            self._limited.remove(entry)
            self._limited_grants -= reporter.grants

    def _remove(self, entry: str, reporter: _Reporter, source: ServerVersion) -> float:
        failures = self._failures[source]
        del failures[entry]
        if not failures:
            del self._failures[source]
        return reporter.failures.pop(source)
