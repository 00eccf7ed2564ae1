"""Isolation of harmful prompt parts by the control leader."""

import uuid

from sassafraspin.control import IsolatePart
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.messages import Propose
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch import ReleaseResult, SlotRelease
from sassafraspin.isolation import CrashEvidence, CrashReport, PartVerdict
from sassafraspin.telemetry.events import PartIsolated, log_event

__all__ = ["PartIsolation"]

_PROPOSAL_INTERVAL_SECONDS = 0.3
_REPORT_INTERVAL_SECONDS = 0.5
_REPORT_RETENTION_SECONDS = 60.0
_MS_PER_SECOND = 1000


class PartIsolation:
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
        self._last_report = CrashReport()
        self._reported_at = node.now()
        self._was_leader = False

    def record(self, release: SlotRelease) -> None:
        """Record how a request with shared prompt parts ended."""
        now = self._node.now()
        server, parts = release.backend_id, release.parts
        if not parts:
            return
        if release.result is ReleaseResult.ANSWERED:
            sent_at = now - release.total_ms / _MS_PER_SECOND
            self._evidence.record_answer(parts, now)
            self._evidence.record_running(server, sent_at, now)
        elif self._is_explained(release):
            return
        elif release.may_have_crashed_server:
            self._evidence.record_crash(server, parts, now)
        elif release.was_broken_off:
            self._evidence.record_loss(server, parts, now)

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
            self._node.send(self._node.name, Propose(command))

    def _is_explained(self, release: SlotRelease) -> bool:
        """Return whether a part that was found already explains the crash."""
        if any(part in self._proposed for part in release.parts):
            return True
        isolation = self._node.configuration.state.isolation
        return isolation.find(release.parts) is not None

    def _isolate(self, verdict: PartVerdict) -> None:
        log_event(PartIsolated(verdict.part, verdict.servers, verdict.was_answered))
        self._node.metrics.count("isolated_parts")
        change_id = f"isolate-{uuid.uuid4().hex}"
        command = IsolatePart(change_id, 0, verdict.part, verdict.servers)
        self._proposed[verdict.part] = command
        self._node.send(self._node.name, Propose(command))
