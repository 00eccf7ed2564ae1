"""Attribution of the crashes of backend servers to signatures of requests."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from sassafraspin.isolation.crashes import (
    REPORTS_SECONDS,
    Crash,
    crashes_by_moment,
    crashes_that_count,
)
from sassafraspin.isolation.messages import CrashReport, SuspectedCrash
from sassafraspin.isolation.noise import LossNoise, weight
from sassafraspin.isolation.signatures import SignatureKind, signature_kind
from sassafraspin.isolation.suspicion import Suspected, Suspicion, Unsuspected

__all__ = ["CrashEvidence", "SignatureVerdict"]

_SEARCH_INTERVAL_SECONDS = 0.2
_LEAST_LOSS_SHARE = 0.03
_CRASH_RETENTION_SECONDS = 600.0
_SINGLE_CRASH_SECONDS = 60.0
"""Time within which a request has to come again after its only crash."""

_MAX_CRASHES = 256
_MAX_REQUESTS_PER_CRASH = 64
_MAX_ANSWERED = 10_000

_MAX_REPORTED_CRASHES = 16
_MAX_REPORTED_REQUESTS = 16
"""Bounds of a report, which is sent while parts are suspected."""

_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class _Proof:
    """What it takes to find a signature: crashes, and the chance that it is innocent.

    ``crashes`` count alone if the servers refused connections; otherwise ``chance`` is
    the largest chance that an innocent signature was at all of them.
    """

    crashes: int
    chance: float


# A signature that was answered before is less likely to be the cause. Equal requests
# run apart from other suspects, so fewer crashes suffice.
_PROOFS = {
    (SignatureKind.PART, False): _Proof(4, 1e-5),
    (SignatureKind.PART, True): _Proof(5, 1e-7),
    (SignatureKind.REQUEST, False): _Proof(3, 1e-3),
    (SignatureKind.REQUEST, True): _Proof(4, 5e-5),
}

_LEAST_CRASHES = min(proof.crashes for proof in _PROOFS.values())


@dataclass(frozen=True)
class SignatureVerdict:
    """A signature whose requests crash servers.

    Parameters
    ----------
    signature : str
        The signature.
    servers : tuple of str
        Servers that crashed, oldest first.
    was_answered : bool
        Whether a request with it was answered before these crashes.
    """

    signature: str
    servers: tuple[str, ...]
    was_answered: bool


class CrashEvidence:
    """Finds the signatures that make requests crash servers (queries of death).

    A signature is suspected of each crash of a server that had not answered a request
    with it, or had only begun to. An answered request clears its signatures of all
    earlier crashes. A part that was found explains the crashes of its requests, so that
    their other signatures are not suspected of them. An equal request that was found
    explains nothing of its parts: other requests may have them too.

    A server that broke off requests and refused connections has crashed. One that
    accepts connections may have; not if it then answers a request that it had before.
    Such crashes count if an innocent signature is unlikely to be at all of them, by the
    share of other requests that are broken off.
    """

    def __init__(self) -> None:
        self._crashes: deque[Crash] = deque()
        self._last_crashes: OrderedDict[tuple[str, int], Crash] = OrderedDict()
        self._crashes_of_request: dict[str, list[Crash]] = {}
        self._answered_at: dict[str, float] = {}
        self._answered: dict[SignatureKind, OrderedDict[str, None]] = {
            kind: OrderedDict() for kind in SignatureKind
        }
        self._noise = LossNoise()
        self._search_at: float | None = None
        self._next_search_at = 0.0

    def suspicion(self, signature: str) -> Suspicion:
        """Return how far an equal request is suspected."""
        crashes = sum(
            self._is_suspected(signature, crash) and signature in crash.signatures()
            for crash in self._crashes_of_request.get(signature, ())
        )
        return Suspected(crashes) if crashes else Unsuspected()

    def record_answer(self, signatures: tuple[str, ...], now: float) -> None:
        """Record that a server answered a request with these signatures and went on."""
        for signature in signatures:
            self._answered_at[signature] = now
            answered = self._answered[signature_kind(signature)]
            answered[signature] = None
            answered.move_to_end(signature)
            if len(answered) > _MAX_ANSWERED:
                oldest, _ = answered.popitem(last=False)
                del self._answered_at[oldest]

    def record_running(
        self, server: str, sent_at: float, now: float, incarnation: int = 0
    ) -> None:
        """Record that a server answered a request that was sent to it at this time."""
        self._noise.record_answer(server, now)
        run = server, incarnation
        crash = self._last_crashes.get(run)
        if crash is None:
            return
        if sent_at > crash.at:
            del self._last_crashes[run]
        elif crash.is_refuted(sent_at, now):
            crash.requests.clear()
            del self._last_crashes[run]

    def record_crash(
        self,
        server: str,
        signatures: tuple[str, ...],
        now: float,
        incarnation: int = 0,
        reporter: str = "",
    ) -> None:
        """Record a request of a server that refused connections when it was lost."""
        run = server, incarnation
        self._record(run, signatures, now, reporter, is_refused=True)

    def record_loss(
        self,
        server: str,
        signatures: tuple[str, ...],
        now: float,
        incarnation: int = 0,
        reporter: str = "",
    ) -> None:
        """Record a request that a server broke off, for whatever reason."""
        run = server, incarnation
        self._record(run, signatures, now, reporter, is_refused=False)

    def withdraw(self, reporters: frozenset[str]) -> None:
        """Forget the crashes that only instances without a path have reported."""
        withdrawn = [
            crash
            for crash in self._crashes
            if crash.requests and crash.reporters and crash.reporters <= reporters
        ]
        for crash in withdrawn:
            crash.requests.clear()
            if self._last_crashes.get(crash.run) is crash:
                del self._last_crashes[crash.run]
        if withdrawn:
            self._index_all()

    def _record(
        self,
        run: tuple[str, int],
        signatures: tuple[str, ...],
        now: float,
        reporter: str,
        is_refused: bool,
    ) -> None:
        self._drop_old(now)
        crash = self._last_crashes.get(run)
        if crash is None or not crash.explains(now, is_refused):
            crash = self._open_crash(Crash(*run, now, is_refused=is_refused))
        if now - crash.at < REPORTS_SECONDS:
            if reporter:
                crash.reporters.add(reporter)
            self._add_request(crash, signatures, now)

    def _open_crash(self, crash: Crash) -> Crash:
        self._crashes.append(crash)
        self._last_crashes[crash.run] = crash
        self._last_crashes.move_to_end(crash.run)
        if len(self._last_crashes) > _MAX_CRASHES:
            self._last_crashes.popitem(last=False)
        return crash

    def _add_request(
        self, crash: Crash, signatures: tuple[str, ...], now: float
    ) -> None:
        self._noise.record_loss(crash.server, now)
        if len(crash.requests) < _MAX_REQUESTS_PER_CRASH:
            request = frozenset(signatures)
            crash.requests.append(request)
            self._index(crash, request)
        if self._search_at is None or crash.settled_at < self._search_at:
            self._search_at = crash.settled_at

    def _index(self, crash: Crash, signatures: Iterable[str]) -> None:
        """Note a crash for each equal request that is suspected of it."""
        for signature in signatures:
            if signature_kind(signature) is SignatureKind.REQUEST:
                crashes = self._crashes_of_request.setdefault(signature, [])
                if crash not in crashes:
                    crashes.append(crash)

    def _index_all(self) -> None:
        self._crashes_of_request = {}
        for crash in self._crashes:
            self._index(crash, crash.signatures())

    def find_harmful(self, now: float) -> SignatureVerdict | None:
        """Return the most suspected signature if it has reached its crashes.

        It is found once.
        """
        if self._search_at is None or now < max(self._search_at, self._next_search_at):
            return None
        self._drop_cleared(now)
        settled = [crash for crash in self._crashes if now >= crash.settled_at]
        verdict = self._most_suspected(settled, now)
        if verdict is not None:
            self._remove(verdict.signature)
            return verdict
        self._next_search_at = now + _SEARCH_INTERVAL_SECONDS
        self._search_at = min(
            (crash.settled_at for crash in self._crashes if now < crash.settled_at),
            default=None,
        )
        return None

    def report(self, now: float) -> CrashReport:
        """Return the latest crashes with the signatures that are still suspected."""
        crashes = (self._suspected_crash(crash, now) for crash in self._crashes)
        suspected = [crash for crash in crashes if crash.requests]
        return CrashReport(
            tuple(suspected[-_MAX_REPORTED_CRASHES:]),
            self._noise.answers(now),
            self._noise.losses(now),
        )

    def adopt(self, report: CrashReport, received_at: float) -> None:
        """Take over the crashes that a previous leader reported."""
        for item in report.crashes:
            at = received_at - item.age_ms / _MS_PER_SECOND
            requests = [frozenset(parts) for parts in item.requests]
            self._open_crash(
                Crash(item.server, item.incarnation, at, requests, item.is_refused)
            )
        self._index_all()
        self._noise = LossNoise(report.answers, report.losses, received_at)
        self._search_at = received_at

    def _suspected_crash(self, crash: Crash, now: float) -> SuspectedCrash:
        remaining = (
            tuple(
                sorted(item for item in request if self._is_relevant(item, crash, now))
            )
            for request in crash.requests
        )
        suspected = tuple(signatures for signatures in remaining if signatures)
        age_ms = int((now - crash.at) * _MS_PER_SECOND)
        requests = suspected[:_MAX_REPORTED_REQUESTS]
        return SuspectedCrash(
            crash.server, age_ms, requests, crash.is_refused, crash.incarnation
        )

    def _is_relevant(self, signature: str, crash: Crash, now: float) -> bool:
        """Return whether a crash may still tell something of a signature.

        Most requests that a crash breaks off never come again, so that no answer
        clears them.
        """
        if not self._is_suspected(signature, crash):
            return False
        if signature_kind(signature) is SignatureKind.PART:
            return True
        is_recent = now - crash.at < _SINGLE_CRASH_SECONDS
        return is_recent or len(self._crashes_of_request.get(signature, ())) > 1

    def _is_suspected(self, signature: str, crash: Crash) -> bool:
        """Return whether a signature was not answered since the crash."""
        return crash.at > self._answered_at.get(signature, float("-inf"))

    def _drop_old(self, now: float) -> None:
        count = len(self._crashes)
        while self._crashes:
            crash = self._crashes[0]
            is_old = now - crash.at > _CRASH_RETENTION_SECONDS
            if not is_old and len(self._crashes) < _MAX_CRASHES:
                break
            self._crashes.popleft()
        if len(self._crashes) < count:
            self._index_all()

    def _drop_cleared(self, now: float) -> None:
        """Drop settled crashes that tell nothing any more."""
        self._crashes = deque(
            crash
            for crash in self._crashes
            if now < crash.settled_at
            or any(self._is_relevant(item, crash, now) for item in crash.signatures())
        )
        self._index_all()

    def _most_suspected(
        self, crashes: list[Crash], now: float
    ) -> SignatureVerdict | None:
        """Return the signature that explains most among those with enough crashes.

        One that was never answered goes first, then the one with more crashes that
        count, then with more crashes at all, then the one whose crashes are less
        explained by the other signatures of its requests, then an equal request.
        """
        suspected = self._crashes_by_signature(crashes)
        harmful = [
            item
            for item, own in suspected.items()
            if len(own) >= _LEAST_CRASHES
            and self._is_harmful(item, crashes_that_count(own), own, now)
        ]
        if not harmful:
            return None
        counts = {item: len(crashes_that_count(own)) for item, own in suspected.items()}

        def rank(item: str) -> tuple[bool, int, int, int, bool, str]:
            crashes = suspected[item]
            is_unanswered = item not in self._answered_at
            explained = _explained(item, crashes, counts)
            is_request = signature_kind(item) is SignatureKind.REQUEST
            return (
                is_unanswered,
                counts[item],
                len(crashes),
                -explained,
                is_request,
                item,
            )

        found = max(harmful, key=rank)
        servers = tuple(crash.server for crash in suspected[found])
        return SignatureVerdict(found, servers, found in self._answered_at)

    def _is_harmful(
        self, signature: str, counted: list[Crash], suspected: list[Crash], now: float
    ) -> bool:
        """Return whether a signature has enough crashes, and not by chance.

        Servers that refused connections afterwards need no further proof.
        """
        proof = _PROOFS[signature_kind(signature), signature in self._answered_at]
        refusing = {crash.run for crash in counted if crash.is_refused}
        if len(refusing) >= proof.crashes:
            return True
        if len(counted) < proof.crashes:
            return False
        return self._chance(counted, suspected, now) <= proof.chance

    def _chance(
        self, counted: list[Crash], suspected: list[Crash], now: float
    ) -> float:
        """Return the chance that an innocent signature is at all of these crashes.

        Crashes within a moment may have a cause in common.
        """
        own = Counter[str]()
        for crash in suspected:
            own[crash.server] += len(crash.requests) * weight(now - crash.at)
        total = own.total()
        chance = 1.0
        for moment in crashes_by_moment(counted):
            server = moment[0].server
            share = self._noise.share(server, total, own[server], now)
            chance *= max(_LEAST_LOSS_SHARE, share)
        return chance

    def _crashes_by_signature(self, crashes: Iterable[Crash]) -> dict[str, list[Crash]]:
        """Return the crashes of which each signature is suspected, oldest first."""
        found: dict[str, list[Crash]] = {}
        for crash in crashes:
            for signature in frozenset(crash.signatures()):
                if self._is_suspected(signature, crash):
                    found.setdefault(signature, []).append(crash)
        return found

    def _remove(self, signature: str) -> None:
        """Remove what a found signature explains from all crashes."""
        for crash in self._crashes:
            match signature_kind(signature):
                case SignatureKind.PART:
                    kept = (item for item in crash.requests if signature not in item)
                case SignatureKind.REQUEST:
                    kept = (item - {signature} for item in crash.requests)
            crash.requests = [item for item in kept if item]
        self._crashes_of_request.pop(signature, None)


def _explained(signature: str, crashes: list[Crash], counts: dict[str, int]) -> int:
    """Return how far other signatures of its requests explain the crashes of one.

    An equal request and its parts do not explain each other.
    """
    kind = signature_kind(signature)
    others = (
        max(
            (
                counts.get(other, 0)
                for other in request - {signature}
                if signature_kind(other) is kind
            ),
            default=0,
        )
        for crash in crashes
        for request in crash.requests
        if signature in request
    )
    return sum(others)
