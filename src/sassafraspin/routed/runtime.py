"""Components of a daemon that start once the control instances are known."""

import math
import random
from dataclasses import replace

from sassafraspin.admission import UsageReport
from sassafraspin.backends import ServerNotices
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.daemon.dispatch_service import DispatcherMessage, DispatchService
from sassafraspin.daemon.messages import PeerMessage, Propose, ProposeReply
from sassafraspin.daemon.proposals import ProposalClient
from sassafraspin.daemon.setup import client_timeouts
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.dispatch import (
    ActiveGrant,
    AnnounceBackend,
    FirstTokenNotice,
    HeldGrants,
    RateLimitNotice,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWaiting,
    SlotWithdraw,
    UnknownGrants,
)
from sassafraspin.dispatch.budget import RetryReport
from sassafraspin.dispatch.directory import BackendDirectory
from sassafraspin.dispatch.directory_messages import (
    DirectoryListing,
    DirectoryQuery,
    DirectoryUpdate,
)
from sassafraspin.http import (
    ClientLimits,
    Dial,
    DirectConnector,
    HttpClient,
    MemoryBudget,
    MemoryKind,
    dial_tcp,
)
from sassafraspin.isolation import CrashReport
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
)
from sassafraspin.moves import MoveEvidence
from sassafraspin.relay import RelayConnector
from sassafraspin.routed.adapter import ProtocolAdapter
from sassafraspin.routed.directory_exchange import DirectoryExchange
from sassafraspin.routed.entry import RoutedEntry
from sassafraspin.routed.isolation import SignatureIsolation
from sassafraspin.routed.leader_scope import LeaderScope
from sassafraspin.routed.operations import Operations
from sassafraspin.routed.retirement import RetirementView
from sassafraspin.routed.routing_view import RoutingView
from sassafraspin.routed.settings import RoutedSettings
from sassafraspin.routed.setup import daemon_settings, make_node
from sassafraspin.routed.standby_scope import StandbyScope
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import Address, NamedAddress
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import (
    EvacuationsInForce,
    LeaderChanged,
    ResourceUsage,
    log_event,
)
from sassafraspin.telemetry.resources import ReportSchedule, resident_bytes

__all__ = ["RoutedRuntime"]

_MS_PER_SECOND = 1000
_BYTES_PER_KB = 1024

_log = part_logger("daemon")


class RoutedRuntime:
    """Control, dispatch, request entry and control requests of one daemon.

    ``handle_control`` handles the HTTP requests of operators and backend servers, and
    ``relay`` opens connections through other instances, ``None`` without tunnels.

    Parameters
    ----------
    settings : RoutedSettings
        Settings of the daemon.
    control : tuple of NamedAddress
        The control instances.
    member : Member
        This instance and its incarnation.
    network : PeerNetwork
        Message exchange with the other instances.
    adapter : ProtocolAdapter
        Translates between HTTP messages and the daemon's own types.
    generator : random.Random
        Source of random choices.
    memory : MemoryBudget or None
        Memory for requests and responses; by default one of its own.
    dial : Dial
        Opens TCP connections to backend servers and other instances.
    """

    def __init__(
        self,
        settings: RoutedSettings,
        control: tuple[NamedAddress, ...],
        member: Member,
        network: PeerNetwork,
        adapter: ProtocolAdapter,
        generator: random.Random,
        memory: MemoryBudget | None = None,
        dial: Dial = dial_tcp,
    ) -> None:
        memory = memory or MemoryBudget(settings.http.memory_bytes)
        self._settings = settings
        self._memory = memory
        self._network = network
        self._applied_view = 0
        own_settings = daemon_settings(settings, control)
        self.node = make_node(own_settings, member, network)
        self.routing_view = RoutingView(self.node)
        self.relay = self._make_relay(dial, generator)
        self._client = HttpClient(
            client_timeouts(own_settings.dispatch),
            _client_limits(memory),
            memory,
            self.relay or DirectConnector(dial),
        )
        self._proposals = ProposalClient(self.node)
        base_folder = settings.data_folder.parent if settings.data_folder else None
        self._control = ControlService(
            self.node, base_folder, generator, network.set_peer_address
        )
        dispatch = own_settings.dispatch
        self._isolation = SignatureIsolation(self.node, self._control)
        self._directory = BackendDirectory(dispatch.directory_keep_ms / _MS_PER_SECOND)
        self._directory_exchange = DirectoryExchange(
            self.node,
            self._directory,
            settings.announcement_ttl_ms / _MS_PER_SECOND,
        )
        leader_scope = LeaderScope(self.node, self._control, self._directory)
        self._leader_scope = leader_scope
        self._dispatch = DispatchService(
            self.node,
            generator,
            _ignore_load_order,
            leader_scope,
            suspects=self._isolation,
        )
        standby_scope = StandbyScope(
            self.node,
            leader_scope,
            self._directory,
            lambda: self._slots.uses_standby,
            generator,
        )
        # Dispatches this instance's own calls while the dispatcher is silent.
        self._standby = DispatchService(
            self.node, generator, _ignore_load_order, standby_scope, "standby"
        )
        self._slots = SlotClient(self.node, self._standby, generator)
        self._notices = ServerNotices()
        self.entry = RoutedEntry(
            self.node,
            adapter,
            self.routing_view,
            self._slots,
            self._client,
            self._notices,
            generator,
        )
        operations = Operations(
            self.node,
            self._control,
            self._proposals,
            self._dispatch,
            RetirementView(self.node),
        )
        self.handle_control = adapter.control_handler(operations)
        self._report_schedule = ReportSchedule(self.node.now())
        self._logged_leader: str | None = None
        self._reported_retirement = 0
        self._logged_zones: frozenset[str] = frozenset()

    def _make_relay(
        self, dial: Dial, generator: random.Random
    ) -> RelayConnector | None:
        """Return the connector over other instances, ``None`` without a port for it."""
        address = self._settings.listen.tunnels
        if address is None:
            return None
        return RelayConnector(
            dial,
            address.port,
            self._settings.instance.region,
            self._other_members,
            lambda: self.servers,
            generator,
        )

    def _other_members(self) -> list[Member]:
        own = self.node.name
        return [member for member in self.node.view.members if member.name != own]

    @property
    def servers(self) -> frozenset[Address]:
        """Return the addresses of the known backend servers."""
        known = (item.announcement.address for item in self._dispatch.backends())
        return self._directory.addresses.union(known)

    @property
    def has_table(self) -> bool:
        """Return whether this instance has a routing table."""
        return self.node.configuration.state.routing is not None

    def tick(self) -> None:
        """Run the periodic work of every component."""
        now = self.node.now()
        self._control.tick(now)
        self._update_peer_addresses()
        self._slots.tick()
        self._dispatch.tick()
        self._standby.tick()
        self._log_evacuations()
        self._send_heartbeat(now)
        self._isolation.withdraw(self._dispatch.cut_off_entries())
        self._isolation.tick()
        self._client.close_unusable()
        if self.relay is not None:
            self.relay.tick(self._client.active_connections, self._client.received_at)
        self._notices.forget_ended(now, self._directory.incarnation_of)
        # The lease may have ended since the pools were updated, which closes them.
        if self._control.leads(self.node.now()):
            self._directory_exchange.publish(self._dispatch.backends(), now)
            self._send_usage_reports()
        else:
            self._directory_exchange.stop_publishing()
        self._report_resources(now)

    def _send_heartbeat(self, now: float) -> None:
        """Report to the control leader if that is due, or if a server was retired.

        The leader answers the server when all members have reported that.
        """
        node = self.node
        retired = node.configuration.state.retirements.last_index
        if retired != self._reported_retirement:
            self._reported_retirement = retired
            self._dispatch.apply_retirements()
            node.lease.report_soon()
        heartbeat = node.lease.tick(
            node.configuration.index, node.view.number, node.view, now
        )
        self._log_leader_change(None, now)
        if heartbeat is not None:
            node.send(heartbeat.name, heartbeat.heartbeat)

    def _log_evacuations(self) -> None:
        zones = self.node.configuration.state.evacuations.zones
        if zones != self._logged_zones:
            self._logged_zones = zones
            log_event(EvacuationsInForce(tuple(sorted(zones))))

    def silent_members(self) -> list[Member]:
        """Return the members that do not report to this leader, none if it is none."""
        return self._control.silent_members(self.node.now())

    def start_leaving(self) -> None:
        """Prepare the other instances for the end of this one; it still serves."""
        self._control.leave()

    def close(self) -> None:
        """Close every idle connection to backend servers."""
        self._client.close()

    def _send_usage_reports(self) -> None:
        """Send the usage reports that are due to the other control instances.

        Any of them may become the next leader and then enforces the usage caps.
        """
        for report in self._leader_scope.usage_reports():
            for name in self.node.lease.control_names:
                if name != self.node.name:
                    self.node.send(name, report)

    def _report_resources(self, now: float) -> None:
        if not self._report_schedule.is_check_due(now):
            return
        try:
            resident = resident_bytes()
        except OSError as error:
            _log.debug("Cannot read the memory of this process: {}.", error)
            return
        if not self._report_schedule.is_due(resident, now):
            return
        usage = self._network.usage()
        memory = self._memory.usage
        log_event(
            ResourceUsage(
                resident // _BYTES_PER_KB,
                usage.pending_bytes,
                usage.largest_peer,
                usage.largest_peer_bytes,
                usage.dropped_messages,
                {
                    name: sent // _BYTES_PER_KB
                    for name, sent in usage.sent_bytes.items()
                },
                self.node.configuration.retained_bytes,
                self._control.log_bytes,
                self.entry.in_flight,
                int(usage.callback_delay * _MS_PER_SECOND),
                memory.held_bytes,
                memory.refused_requests,
                memory.closed_connections,
            )
        )

    def receive(self, source: MemberIdentity, message: PeerMessage) -> None:
        """Handle a message from another instance or from this one."""
        now = self.node.now()
        match message:
            case MemberHeartbeat():
                digest = self._directory_exchange.advertised_digest(now)
                self._control.on_heartbeat(source, message, now, digest)
            case HeartbeatReply():
                self._on_heartbeat_reply(source.name, message, now)
            case SlotRelease():
                grant = self._dispatch.grant_of(message)
                self._isolation.record(message, grant)
                self._receive_of_grant(source.name, message)
            case SlotRequest(lent=True):
                self._slots.check_dispatcher()
                self._receive_of_borrower(source.name, message)
            case HeldGrants(lent=True):
                self._receive_of_borrower(source.name, message)
            case ActiveGrant() if message.request.lent:
                self._receive_of_borrower(source.name, message)
            case SlotWithdraw() | RateLimitNotice() | FirstTokenNotice():
                self._receive_of_grant(source.name, message)
            case SlotRequest() | ActiveGrant() | HeldGrants() | AnnounceBackend():
                self._dispatch.receive(source.name, message)
            case SlotGrant() | SlotRefusal() | SlotRevoke():
                self._slots.receive(source.name, message)
            case SlotWaiting() | UnknownGrants():
                self._slots.receive(source.name, message)
            case DirectoryUpdate():
                self._directory.apply(message, now)
                self._standby.follow_directory()
            case DirectoryQuery():
                self._directory_exchange.answer(source.name, message, now)
            case DirectoryListing():
                self._directory_exchange.apply_listing(message)
                self._standby.follow_directory()
            case UsageReport() | RetryReport():
                self._leader_scope.record_usage(message)
            case CrashReport():
                self._isolation.on_report(message)
            case MoveEvidence():
                self._control.on_evidence(message)
            case Propose():
                self._control.on_propose(source.name, message, now)
            case ProposeReply():
                self._proposals.receive(message)
            case _:
                self._control.on_replica_message(source.name, message, now)

    def _receive_of_grant(self, source: str, message: DispatcherMessage) -> None:
        """Give a message about one slot to whoever granted it: leader or standby."""
        self._dispatch.receive(source, message)
        if source != self.node.name:
            self._receive_of_borrower(source, message)

    def _receive_of_borrower(self, source: str, message: DispatcherMessage) -> None:
        """Give a message about a slot that this instance lends to its standby."""
        if self.node.settings.dispatch.lends_slots:
            self._standby.receive(source, message)

    def _on_heartbeat_reply(
        self, source: str, reply: HeartbeatReply, now: float
    ) -> None:
        configuration = self.node.configuration
        lease = self.node.lease
        if reply.update is not None:
            configuration.apply_update(reply.update)
            lease.on_update(configuration.index, reply.update.last_index)
        # ``sent_at`` is 0 if the leader sends the message unasked.
        if reply.sent_at > 0:
            lease.on_reply(source, reply, configuration.index, now)
        else:
            lease.on_announcement(source, reply, configuration.index, now)
        if reply.leader == source == lease.leader:
            self._slots.on_dispatcher_active()
            if source != self.node.name:
                self._directory_exchange.follow(reply.directory, now)
        self._log_leader_change(source, now)
        self._update_peer_addresses()

    def _log_leader_change(self, told_by: str | None, now: float) -> None:
        lease = self.node.lease
        if lease.leader == self._logged_leader:
            return
        self._logged_leader = lease.leader
        age = lease.configuration_age(now)
        age_ms = None if age == math.inf else int(age * _MS_PER_SECOND)
        log_event(LeaderChanged(lease.leader, told_by, self.node.view.number, age_ms))

    def _update_peer_addresses(self) -> None:
        view = self.node.view
        if view.number == self._applied_view:
            return
        self._applied_view = view.number
        for member in view.members:
            if member.name != self.node.name:
                self._network.set_peer_address(member.address)


def _client_limits(memory: MemoryBudget) -> ClientLimits:
    """Return limits by which responses that fit the memory are not broken off."""
    limits = ClientLimits()
    room = memory.limit_bytes(MemoryKind.RESPONSE)
    return replace(limits, all_bodies_bytes=max(limits.all_bodies_bytes, room))


def _ignore_load_order(order, ended) -> None:
    """Ignore a command to load a version; backend servers load theirs themselves."""
