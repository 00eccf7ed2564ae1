"""Isolation of harmful prompt parts by the control leader."""

import uuid

from sassafraspin.control import IsolatePart
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.messages import Propose
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch import ReleaseResult, SlotRelease
from sassafraspin.isolation import EndEvidence, PartVerdict
from sassafraspin.telemetry.events import PartIsolated, log_event

__all__ = ["PartIsolation"]

_PROPOSAL_INTERVAL_SECONDS = 0.3


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
        self._evidence = EndEvidence()
        self._proposed: dict[str, IsolatePart] = {}
        self._next_proposal_at = 0.0

    def record(self, release: SlotRelease) -> None:
        """Record how a request with shared prompt parts ended."""
        now = self._node.now()
        if not release.parts:
            return
        if release.result is ReleaseResult.ANSWERED:
            self._evidence.record_answer(release.parts, now)
            return
        if not release.may_have_ended_server or self._is_explained(release):
            return
        self._evidence.record_end(release.backend_id, release.parts, now)

    def tick(self) -> None:
        """Isolate the parts found, and propose isolations until they are in force."""
        now = self._node.now()
        if not self._control.leads(now):
            self._proposed.clear()
            return
        while (verdict := self._evidence.find_harmful(now)) is not None:
            self._isolate(verdict)
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
        """Return whether a part that was found already explains the end."""
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
