"""Selection of the service version for each request, and the outcome by version."""

import random
from dataclasses import dataclass

from sassafraspin.dispatch.messages import ReleaseResult, SlotRelease, SlotRequest
from sassafraspin.moves import (
    Evidence,
    EvidenceSettings,
    Move,
    MoveEvidence,
    MovePhase,
    Observation,
    RollbackReason,
)

__all__ = ["ServerCounts", "ServerTime", "VersionGate"]

_SOAK_HOLDOUT_SHARE = 0.1
_MAX_SAMPLING_SHARE = 0.5

_MAX_CREDIT_REQUESTS = 3.0
"""Maximum number of requests owed to the new version, which prevents a burst."""


@dataclass(frozen=True)
class ServerCounts:
    """Number of backend servers that accept work: all, and with the new version."""

    servers: int
    new_servers: int


@dataclass(frozen=True)
class ServerTime:
    """Hardware of a server and the request time predicted from its announced speed."""

    hardware: str
    nominal_seconds: float


class VersionGate:
    """Chooses the version for each request and collects the evidence on a new version.

    During a move, the new version gets the traffic share of the current phase, and at
    most ``exposed_requests`` requests while it is sampled. It gets no more requests
    once the comparison with the old version calls for a rollback. The gate belongs to
    the single dispatcher of a service, so its limits hold across all instances.

    Parameters
    ----------
    current_version : str
        Version in force.
    generator : random.Random
        Samples the requests that the new version serves.
    settings : EvidenceSettings
        Parameters of the comparison between the versions.
    """

    def __init__(
        self,
        current_version: str,
        generator: random.Random,
        settings: EvidenceSettings | None = None,
    ) -> None:
        self._current_version = current_version
        self._generator = generator
        self._settings = settings or EvidenceSettings()
        self._move: Move | None = None
        self._evidence = Evidence(self._settings)
        self._shown = 0
        self._in_flight = 0
        self._credit = 0.0
        self._ended_before_step = 0

    @property
    def current_version(self) -> str:
        """Return the version in force."""
        return self._current_version

    @property
    def move(self) -> Move | None:
        """Return the running move, if any."""
        return self._move

    @property
    def shown(self) -> int:
        """Return the number of requests sent to the new version during this move."""
        return self._shown

    def set_move(self, current_version: str, move: Move | None) -> None:
        """Update the version in force and the running move from the replicated log."""
        self._current_version = current_version
        if move == self._move:
            return
        is_other = (
            move is None or self._move is None or move.spec.name != self._move.spec.name
        )
        self._move = move
        self._credit = 0.0
        self._ended_before_step = self._evidence.ended
        if is_other:
            self._evidence = Evidence(self._settings)
            self._shown = 0
            self._in_flight = 0
            self._ended_before_step = 0

    def choose_version(self) -> str:
        """Return the version that should serve a request.

        Requests that went to the old version because the servers of the new one were
        full count as credit: they raise the probability of the new version until it
        has received its share again.
        """
        move = self._move
        if move is None or not self._admits_new():
            return self._current_version
        if self._generator.random() < self._credit + self._share(move):
            return move.spec.to_version
        return self._current_version

    def fallback_version(self, version: str) -> str | None:
        """Return the version to fall back to if all servers of ``version`` are full."""
        move = self._move
        if move is None:
            return None
        if version == move.spec.to_version:
            return self._current_version
        if move.phase is MovePhase.SOAKING and self._admits_new():
            return move.spec.to_version
        return None

    def server_limit(self, version: str, servers: int) -> int | None:
        """Return how many servers may serve a version, ``None`` for all.

        While the share of the new version is small, it is concentrated on the same
        share of the servers, so that each of them has as much load as the others.
        """
        move = self._move
        if move is None or version != move.spec.to_version:
            return None
        if move.phase is MovePhase.SOAKING:
            return None
        return max(1, round(self._share(move) * servers))

    def record_start(self, version: str) -> None:
        """Record that a request was sent to a version."""
        if self._move is not None and self._admits_new():
            owed = self._credit + self._share(self._move) - self._is_new(version)
            self._credit = min(max(owed, -_MAX_CREDIT_REQUESTS), _MAX_CREDIT_REQUESTS)
        if self._is_new(version):
            self._shown += 1
            self._in_flight += 1

    def record_end(self, version: str) -> None:
        """Record that a request has ended."""
        if self._is_new(version):
            self._in_flight = max(0, self._in_flight - 1)

    def record_outcome(
        self,
        version: str,
        request: SlotRequest,
        release: SlotRelease,
        server: ServerTime | None,
        limits_counted: int = 0,
    ) -> None:
        """Record the outcome of a request.

        Parameters
        ----------
        version : str
            Version that served the request.
        request : SlotRequest
            The request.
        release : SlotRelease
            Its outcome.
        server : ServerTime or None
            Predicted time on the server, ``None`` if the server is no longer known.
        limits_counted : int
            Number of slow limits for which ``record_unfinished`` has counted it.
        """
        if self._move is None:
            return
        if release.result is ReleaseResult.NOT_SENT:
            return
        if release.result is ReleaseResult.CANCELLED:
            if server is not None:
                self.record_unfinished(
                    version,
                    request,
                    release.total_ms / 1000,
                    server,
                    limits_counted,
                    is_estimate=release.answer_tokens == 0,
                )
            return
        failed = release.result is ReleaseResult.FAILED
        if failed or server is None:
            hardware = "" if server is None else server.hardware
            observation = Observation(request.route, hardware, failed, None)
        else:
            nominal = server.nominal_seconds
            relative = release.total_ms / 1000 / nominal
            observation = Observation(
                request.route,
                server.hardware,
                False,
                relative,
                nominal,
                limits_counted,
            )
        if self._is_new(version):
            self._evidence.observe_new(observation)
        else:
            self._evidence.observe_old(observation)

    def record_unfinished(
        self,
        version: str,
        request: SlotRequest,
        seconds: float,
        server: ServerTime,
        limits_counted: int,
        is_estimate: bool = True,
    ) -> int:
        """Record a running or cancelled request if it is slow already.

        Parameters
        ----------
        version : str
            Version that serves the request.
        request : SlotRequest
            The request.
        seconds : float
            Time since the request was sent, in seconds.
        server : ServerTime
            Predicted time on the server.
        limits_counted : int
            Result of the previous call for this request, 0 for the first one.
        is_estimate : bool
            Whether the prediction uses the estimated length of the answer, not the
            length of what has arrived.

        Returns
        -------
        int
            Number of slow limits for which the request was counted.
        """
        if self._move is None:
            return limits_counted
        nominal = server.nominal_seconds
        if is_estimate:
            nominal *= self._settings.estimate_factor
        observation = Observation(
            request.route,
            server.hardware,
            False,
            seconds / nominal,
            nominal,
            limits_counted,
        )
        return self._evidence.observe_unfinished(observation, self._is_new(version))

    def report(self, counts: ServerCounts) -> MoveEvidence | None:
        """Return the evidence on the running move for the control leader."""
        move = self._move
        if move is None:
            return None
        return MoveEvidence(
            move.spec.name,
            move.phase,
            move.share,
            self._shown,
            self._evidence.ended - self._ended_before_step,
            self._in_flight,
            counts.new_servers,
            counts.servers,
            self._evidence.reason,
            f"{self._shown} shown, {self._evidence.detail}",
        )

    def _admits_new(self) -> bool:
        move = self._move
        if move is None or not move.phase.admits_new_version:
            return False
        if self._evidence.reason is not RollbackReason.NONE:
            return False
        if move.phase is MovePhase.SAMPLING:
            return self._shown < move.spec.exposed_requests
        return True

    def _share(self, move: Move) -> float:
        match move.phase:
            case MovePhase.SAMPLING:
                return min(move.spec.exposed_share, _MAX_SAMPLING_SHARE)
            case MovePhase.SOAKING:
                return 1 - _SOAK_HOLDOUT_SHARE
            case _:
                return move.share

    def _is_new(self, version: str) -> bool:
        return self._move is not None and version == self._move.spec.to_version
