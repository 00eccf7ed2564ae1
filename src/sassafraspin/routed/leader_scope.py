"""Dispatch at the control leader: it alone grants slots, for every service."""

from collections.abc import Iterator

from sassafraspin.admission import Limits, UsageCaps, UsageLog, UsageReport
from sassafraspin.backends import Announcement, Backend
from sassafraspin.daemon.control_shell import ControlShell
from sassafraspin.daemon.node import Node
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.moves import Move, MovePhase
from sassafraspin.routes import DeclaredTable, RoutedService
from sassafraspin.settings import DispatchSettings, ServiceSettings

__all__ = ["LeaderScope"]

_UNKNOWN_VERSION = "none"

_REPORT_SECONDS = 0.5
"""Time between two reports of usage; what is used meanwhile is estimated."""


class LeaderScope:
    """Services of the routing table, all dispatched by the control leader.

    One place counts what an account uses of all services, and the lease of the
    leader keeps two dispatchers from acting at once.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    control : ControlShell
        Knows whether this instance leads.
    directory : BackendDirectory
        Backend servers as the dispatcher before told of them.
    """

    def __init__(
        self, node: Node, control: ControlShell, directory: BackendDirectory
    ) -> None:
        self._node = node
        self._control = control
        self._directory = directory
        self._usage_log = UsageLog(node.settings.dispatch)
        self._caps = UsageCaps(node.settings.dispatch, node.now())
        self._next_report_at = 0.0
        self._declared: DeclaredTable | None = None
        self._services: tuple[ServiceSettings, ...] = ()
        self._led = False

    def services(self) -> tuple[ServiceSettings, ...]:
        """Return the services of the routing table."""
        declared = self._node.configuration.state.routing
        if declared is not None and declared is not self._declared:
            self._declared = declared
            self._services = tuple(map(_settings, declared.table.services))
            self._caps.follow(declared.table.accounts)
        return self._services

    def owns(self, service: str) -> bool:
        """Return whether this instance leads."""
        leads = self._control.leads(self._node.now())
        if leads and not self._led:
            self._start_caps()
        self._led = leads
        return leads

    def limits(self) -> Limits:
        """Return the usage caps, the same for every service."""
        return self._caps

    def note_usage(self, report: UsageReport) -> None:
        """Take in what the leader charged."""
        self._usage_log.take(report, self._node.now())

    def usage_reports(self) -> Iterator[UsageReport]:
        """Return what is due to be told to the instances that may lead next.

        This one may do so as well, after its lease ended for a moment.
        """
        now = self._node.now()
        if now >= self._next_report_at:
            self._next_report_at = now + _REPORT_SECONDS
            for report in self._caps.reports(now):
                self._usage_log.take(report, now)
                yield report

    def settings(self) -> DispatchSettings:
        """Return the settings of this instance."""
        return self._node.settings.dispatch

    def initial_version(
        self, service: ServiceSettings, backends: tuple[Backend, ...]
    ) -> str:
        """Return the first version that is announced and was not taken back."""
        announced = {
            version for backend in backends for version in backend.announcement.versions
        }
        usable = announced - self._refused_versions(service.name)
        return min(usable, default=_UNKNOWN_VERSION)

    def running_move(self, service: str) -> Move | None:
        """Return the move that runs."""
        return self._node.configuration.state.moves.running(service)

    def known_backends(self, service: str) -> tuple[Announcement, ...]:
        """Return the servers that the dispatcher before knew."""
        return tuple(self._directory.of_service(service))

    def _refused_versions(self, service: str) -> set[str]:
        """Return the versions that may only be shown by a move."""
        return {
            move.spec.to_version
            for move in self._node.configuration.state.moves.all_moves()
            if move.spec.service == service and move.phase is not MovePhase.DONE
        }

    def _start_caps(self) -> None:
        """Count on from what the leader before told of its charges.

        The same object goes on, since pools that are still open hold it.
        """
        self._caps.restart(self._node.now(), self._usage_log)


def _settings(service: RoutedService) -> ServiceSettings:
    kind = "plain" if service.engine is None else "model"
    return ServiceSettings(service.name, kind, loads_versions=False)
