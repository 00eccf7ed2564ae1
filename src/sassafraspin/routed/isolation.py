"""Isolation of prompt parts and requests that crash servers, by the control leader."""

import uuid

from sassafraspin.control import Command, IsolatePart, ReadmitPart
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.messages import Propose
from sassafraspin.daemon.node import Node, wall_clock_ms
from sassafraspin.dispatch import ReleaseResult, SlotRelease
from sassafraspin.dispatch.grants import Grant
from sassafraspin.isolation import (
    CrashEvidence,
    CrashReport,
    Harmful,
    SignatureKind,
    SignatureVerdict,
    Suspicion,
    signature_kind,
)
from sassafraspin.telemetry.events import PartIsolated, RequestIsolated, log_event

__all__ = ["SignatureIsolation"]

_PROPOSAL_INTERVAL_SECONDS = 0.3
_REPORT_INTERVAL_SECONDS = 0.5
_REPORT_RETENTION_SECONDS = 60.0
_MS_PER_SECOND = 1000

_REQUEST_ISOLATION_MS = 600_000
"""Time after which an isolated request is tried again: its service may be mended."""

_EXPIRY_INTERVAL_SECONDS = 10.0
_EXPIRY_OPERATOR = "expiry"


class SignatureIsolation:
    """Collects the evidence of all entry instances and proposes isolations.

    Entry instances report how each request ended to the dispatcher, which is the
    control leader, so the evidence is joined there; the verdict is a command of the
    control log, which every instance applies.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    control : ControlService
        Knows whether this instance is the control leader.
    """

    def __init__(self, node: Node, control: ControlService) -> None:
        self._node = node
        self._control = control
        self._evidence = CrashEvidence()
        self._proposed: dict[str, IsolatePart] = {}
        self._next_proposal_at = 0.0
        self._next_expiry_at = 0.0
        self._last_report = CrashReport()
        self._reported_at = node.now()
        self._was_leader = False

    def suspicion(self, signature: str) -> Suspicion:
        """Return how far an equal request is suspected."""
        if self._is_found((signature,)):
            return Harmful()
        return self._evidence.suspicion(signature)

    def record(self, release: SlotRelease, grant: Grant | None) -> None:
        """Record how a request ended; ``grant`` is that of its slot, if it is known."""
        if release.path_failed:
            return
        now = self._node.now()
        server, incarnation, reporter = release.backend_id, 0, ""
        signatures = release.parts
        if grant is not None:
            incarnation = grant.message.incarnation
            reporter = grant.entry
            signatures = tuple(filter(None, (*signatures, grant.request.signature)))
        if release.result is ReleaseResult.ANSWERED or release.server_failed_it:
            sent_at = now - release.total_ms / _MS_PER_SECOND
            self._evidence.record_answer(signatures, now)
            self._evidence.record_running(server, sent_at, now, incarnation)
        elif not signatures or self._is_found(signatures):
            return
        elif release.may_have_crashed_server:
            self._evidence.record_crash(server, signatures, now, incarnation, reporter)
        elif release.was_broken_off:
            self._evidence.record_loss(server, signatures, now, incarnation, reporter)

    def withdraw(self, reporters: frozenset[str]) -> None:
        """Forget the crashes that only instances without a path have reported."""
        if reporters:
            self._evidence.withdraw(reporters)

    def tick(self) -> None:
        """On the leader, isolate the parts found and report what is suspected."""
        now = self._node.now()
        is_leader = self._control.leads(now)
        if is_leader and not self._was_leader:
            self._restart(now)
        self._was_leader = is_leader
        if not is_leader:
            return
        while (verdict := self._evidence.find_harmful(now)) is not None:
            self._isolate(verdict)
        self._send_report(now)
        self._propose_again(now)
        self._readmit_expired(now)

    def on_report(self, report: CrashReport) -> None:
        """Keep the latest report of the leader."""
        self._last_report = report
        self._reported_at = self._node.now()

    def _restart(self, now: float) -> None:
        """Begin with what the previous leader reported.

        Older evidence of this instance lacks the answers that other leaders saw.
        """
        self._evidence = CrashEvidence()
        self._proposed.clear()
        if now - self._reported_at < _REPORT_RETENTION_SECONDS:
            self._evidence.adopt(self._last_report, self._reported_at)

    def _send_report(self, now: float) -> None:
        """Report suspected crashes, if any, to the other control instances."""
        if now - self._reported_at < _REPORT_INTERVAL_SECONDS:
            return
        report = self._evidence.report(now)
        if not report.crashes and not self._last_report.crashes:
            return
        self.on_report(report)
        for name in self._node.lease.control_names:
            if name != self._node.name:
                self._node.send(name, report)

    def _propose_again(self, now: float) -> None:
        """Propose isolations again until they are in force."""
        if not self._proposed or now < self._next_proposal_at:
            return
        self._next_proposal_at = now + _PROPOSAL_INTERVAL_SECONDS
        isolation = self._node.configuration.state.isolation
        self._proposed = {
            part: command
            for part, command in self._proposed.items()
            if isolation.find((part,)) is None
        }
        for command in self._proposed.values():
            self._propose(command)

    def _readmit_expired(self, now: float) -> None:
        """End the isolation of requests after some time; parts stay isolated."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + _EXPIRY_INTERVAL_SECONDS
        isolated_before = wall_clock_ms() - _REQUEST_ISOLATION_MS
        for item in self._node.configuration.state.isolation.all_parts():
            is_request = signature_kind(item.part) is SignatureKind.REQUEST
            if is_request and item.since_ms < isolated_before:
                change_id = f"expire-{uuid.uuid4().hex}"
                self._propose(ReadmitPart(change_id, _EXPIRY_OPERATOR, 0, item.part))

    def _is_found(self, signatures: tuple[str, ...]) -> bool:
        """Return whether one of the signatures was found already."""
        if any(signature in self._proposed for signature in signatures):
            return True
        isolation = self._node.configuration.state.isolation
        return isolation.find(signatures) is not None

    def _isolate(self, verdict: SignatureVerdict) -> None:
        signature, servers = verdict.signature, verdict.servers
        match signature_kind(signature):
            case SignatureKind.PART:
                log_event(PartIsolated(signature, servers, verdict.was_answered))
                self._node.metrics.count("isolated_parts")
            case SignatureKind.REQUEST:
                log_event(RequestIsolated(signature, servers, verdict.was_answered))
                self._node.metrics.count("isolated_requests")
        command = IsolatePart(f"isolate-{uuid.uuid4().hex}", 0, signature, servers)
        self._proposed[signature] = command
        self._propose(command)

    def _propose(self, command: Command) -> None:
        self._node.send(self._node.name, Propose(command))
