"""Dispatch by the control leader, the only instance that grants slots."""

from collections.abc import Iterator
from dataclasses import replace

from sassafraspin.admission import Limits, UsageCaps, UsageLog, UsageReport
from sassafraspin.backends import STRICT_SHARE, Announcement, Backend
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch.budget import (
    RetryBudget,
    RetryHistory,
    RetryLog,
    RetryReport,
)
from sassafraspin.dispatch.directory import (
    BackendDirectory,
)
from sassafraspin.moves import Move, MovePhase
from sassafraspin.routes import DeclaredTable, RoutedService
from sassafraspin.settings import DispatchSettings, ServiceSettings

__all__ = ["LeaderScope"]

_UNKNOWN_VERSION = "none"

_REPORT_INTERVAL_SECONDS = 0.5
"""Interval between usage reports. A new leader estimates the usage since the last."""


class LeaderScope:
    """Dispatch scope in which the control leader owns every service.

    A single dispatcher counts each account's usage over all services, and the leader
    lease keeps two dispatchers from acting at once.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    control : ControlService
        Knows whether this instance is the control leader.
    directory : BackendDirectory
        Backend servers as reported by the previous dispatcher.
    """

    def __init__(
        self, node: Node, control: ControlService, directory: BackendDirectory
    ) -> None:
        self._node = node
        self._control = control
        self._directory = directory
        self._usage_log = UsageLog(node.settings.dispatch)
        self._caps = UsageCaps(node.settings.dispatch, node.now())
        self._retry_log = RetryLog(node.settings.dispatch)
        self._budgets: dict[str, RetryBudget] = {}
        self._next_report_at = 0.0
        self._declared: DeclaredTable | None = None
        self._services: tuple[ServiceSettings, ...] = ()
        self._was_leader = False
        self._is_first_dispatcher = False

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return the services of the routing table."""
        self._follow_leadership()
        declared = self._node.configuration.state.routing
        if declared is not None and declared is not self._declared:
            self._declared = declared
            self._services = tuple(map(_service_settings, declared.table.services))
            self._caps.set_accounts(declared.table.accounts)
        return self._services

    def owns(self, service: str) -> bool:
        """Return whether this instance leads; the leader owns every service."""
        return self._follow_leadership()

    def _follow_leadership(self) -> bool:
        """Return whether this instance leads.

        The first call after it has become the leader restarts caps and budgets.
        """
        is_leader = self._control.leads(self._node.now())
        if is_leader and not self._was_leader:
            self._restart_caps()
            # Without a routing table nobody can have dispatched before.
            routing = self._node.configuration.state.routing
            self._is_first_dispatcher = routing is None
            self._budgets.clear()
        self._was_leader = is_leader
        return is_leader

    def limits(self) -> Limits:
        """Return the usage caps, which all services share."""
        return self._caps

    def retry_budget(self, service: str) -> RetryBudget:
        """Return a retry budget that continues those of the previous dispatchers."""
        history = self._retry_log.history(service, self._node.now())
        if self._is_first_dispatcher and service not in self._budgets:
            history = RetryHistory()
        budget = RetryBudget(self.settings(), history)
        self._budgets[service] = budget
        # Retries are allowed only once a reserve for them was reported.
        self._next_report_at = float("-inf")
        return budget

    def record_usage(self, report: UsageReport | RetryReport) -> None:
        """Record the usage that the leader reported."""
        match report:
            case UsageReport():
                self._usage_log.add_report(report, self._node.now())
            case RetryReport():
                self._retry_log.add_report(report, self._node.now())

    def usage_reports(self) -> Iterator[UsageReport | RetryReport]:
        """Yield the usage reports that are due for the other control instances.

        They are recorded here too, since this instance may lead again after a brief
        loss of its lease.
        """
        now = self._node.now()
        if now >= self._next_report_at:
            self._next_report_at = now + _REPORT_INTERVAL_SECONDS
            for report in (*self._caps.reports(now), self._retry_report(now)):
                self.record_usage(report)
                yield report

    def _retry_report(self, now: float) -> RetryReport:
        return RetryReport(
            {service: item.report(now) for service, item in self._budgets.items()}
        )

    def settings(self) -> DispatchSettings:
        """Return the dispatch settings of this instance; a leader borrows nothing."""
        return replace(self._node.settings.dispatch, lends_slots=False)

    def rate_share(self) -> float:
        """Return the whole: only the leader dispatches."""
        return 1.0

    def cold_share(self, backend_id: str, rate: float) -> float:
        """Return the part that leaves room for bursts: only the leader dispatches."""
        return STRICT_SHARE

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the lowest announced version that may be exposed without a move."""
        announced = {
            version for backend in backends for version in backend.announcement.versions
        }
        usable = announced - self._unreleased_versions(service.name)
        return min(usable, default=_UNKNOWN_VERSION)

    def running_move(self, service: str) -> Move | None:
        """Return the move in progress for a service, if any."""
        return self._node.configuration.state.moves.running(service)

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return the backend servers that the previous dispatcher knew."""
        retirements = self._node.configuration.state.retirements
        return tuple(
            announcement
            for announcement in self._directory.known_servers(service, self._node.now())
            if not retirements.covers(announcement)
        )

    def backends_revision(self) -> None:
        """Return ``None``: servers announce themselves to the dispatcher."""

    def _unreleased_versions(self, service: str) -> set[str]:
        """Return the targets of moves that are not done; only moves may expose them."""
        return {
            move.spec.to_version
            for move in self._node.configuration.state.moves.all_moves()
            if move.spec.service == service and move.phase is not MovePhase.DONE
        }

    def _restart_caps(self) -> None:
        """Restart the usage caps from the reports of the previous leader.

        The object is reused, since pools that are still open refer to it.
        """
        self._caps.restart(self._node.now(), self._usage_log)


def _service_settings(service: RoutedService) -> ServiceSettings:
    kind = "plain" if service.engine is None else "model"
    return ServiceSettings(
        service.name,
        kind,
        loads_versions=False,
        cold_rate=service.cold_rate,
        cache_tokens=0 if service.engine is None else service.engine.kv_tokens,
    )
