"""Which version of a service a request is shown, and what came of it."""

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
    TakeBackReason,
)

__all__ = ["ServerCounts", "ServerTime", "VersionGate"]

_SOAK_HOLD_OUT = 0.1
_MAX_SAMPLING_SHARE = 0.5

_MAX_CREDIT = 3.0
"""Most requests that the new version is owed, so that it gets no burst."""


@dataclass(frozen=True)
class ServerCounts:
    """Backend servers that accept work: all, and those with the new version."""

    servers: int
    new_servers: int


@dataclass(frozen=True)
class ServerTime:
    """Hardware of a server and the time that its announced speed predicts."""

    hardware: str
    nominal_seconds: float


class VersionGate:
    """Bounds what a new version is shown and stops it on its own evidence at once.

    The gate is part of the one dispatcher of a service, so its bounds hold for all
    instances together.

    Parameters
    ----------
    current_version : str
        Version in force.
    generator : random.Random
        Draws the requests that the new version is shown.
    settings : EvidenceSettings
        How the versions are compared.
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
        """Return the move that runs, if any."""
        return self._move

    @property
    def shown(self) -> int:
        """Return how many requests the new version was shown in this move."""
        return self._shown

    def follow(self, current_version: str, move: Move | None) -> None:
        """Take over the version in force and the running move from the log."""
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
        """Return the version that a request should be shown.

        Requests that went to the old version for want of room at the new one's
        servers are owed to it: they raise its chance until it has its share again.
        """
        move = self._move
        if move is None or not self._admits_new():
            return self._current_version
        if self._generator.random() < self._credit + self._share(move):
            return move.spec.to_version
        return self._current_version

    def other_version(self, version: str) -> str | None:
        """Return the version to fall back to when one has no room."""
        move = self._move
        if move is None:
            return None
        if version == move.spec.to_version:
            return self._current_version
        if move.phase is MovePhase.SOAKING and self._admits_new():
            return move.spec.to_version
        return None

    def server_limit(self, version: str, servers: int) -> int | None:
        """Return how many servers may carry a version, ``None`` for all.

        While its share is small, the new version is concentrated on that share of
        the servers, so that they carry as much as the others do.
        """
        move = self._move
        if move is None or version != move.spec.to_version:
            return None
        if move.phase is MovePhase.SOAKING:
            return None
        return max(1, round(self._share(move) * servers))

    def note_start(self, version: str) -> None:
        """Record that a request is sent to a version."""
        if self._move is not None and self._admits_new():
            owed = self._credit + self._share(self._move) - self._is_new(version)
            self._credit = min(max(owed, -_MAX_CREDIT), _MAX_CREDIT)
        if self._is_new(version):
            self._shown += 1
            self._in_flight += 1

    def note_end(self, version: str) -> None:
        """Record that a request is no longer running."""
        if self._is_new(version):
            self._in_flight = max(0, self._in_flight - 1)

    def note_outcome(
        self,
        version: str,
        request: SlotRequest,
        release: SlotRelease,
        server: ServerTime | None,
    ) -> None:
        """Record how a request ended.

        Parameters
        ----------
        version : str
            Version that it was shown.
        request : SlotRequest
            The request.
        release : SlotRelease
            How it ended.
        server : ServerTime or None
            What was to be expected of the server, if it is still known.
        """
        if self._move is None:
            return
        if release.result in (ReleaseResult.CANCELLED, ReleaseResult.NOT_SENT):
            return
        failed = release.result is ReleaseResult.FAILED
        if failed or server is None:
            hardware = "" if server is None else server.hardware
            observation = Observation(request.route, hardware, failed, None)
        else:
            nominal = server.nominal_seconds
            relative = release.total_ms / 1000 / nominal
            observation = Observation(
                request.route, server.hardware, False, relative, nominal
            )
        if self._is_new(version):
            self._evidence.observe_new(observation)
        else:
            self._evidence.observe_old(observation)

    def report(self, counts: ServerCounts) -> MoveEvidence | None:
        """Return the report on the running move for the control leader."""
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
        if self._evidence.reason is not TakeBackReason.NONE:
            return False
        if move.phase is MovePhase.SAMPLING:
            return self._shown < move.spec.exposed_requests
        return True

    def _share(self, move: Move) -> float:
        match move.phase:
            case MovePhase.SAMPLING:
                return min(move.spec.exposed_share, _MAX_SAMPLING_SHARE)
            case MovePhase.SOAKING:
                return 1 - _SOAK_HOLD_OUT
            case _:
                return move.share

    def _is_new(self, version: str) -> bool:
        return self._move is not None and version == self._move.spec.to_version
