"""Builds the components of a routed daemon from its settings."""

from dataclasses import replace

from sassafraspin.clock import PROCESS_STARTED_AT, steady_time
from sassafraspin.control import Configuration
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.setup import member_timings
from sassafraspin.discovery import DiscoverySettings, InstanceCard
from sassafraspin.membership import Member, MemberLease
from sassafraspin.routed.settings import RoutedSettings
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import (
    AccessSettings,
    DaemonSettings,
    ListenSettings,
    NamedAddress,
)
from sassafraspin.telemetry import Metrics

__all__ = [
    "daemon_settings",
    "instance_card",
    "make_node",
    "discovery_settings",
]

_MS_PER_SECOND = 1000

_VIEW_RETENTION_MS = 0
"""Earlier views place request records, which this daemon does not keep."""


def make_node(settings: DaemonSettings, member: Member, network: PeerNetwork) -> Node:
    """Return the context that the components of a daemon share."""
    control = settings.control
    lease = MemberLease(
        member,
        tuple(address.name for address in control.instances),
        control.heartbeat_interval_ms / _MS_PER_SECOND,
        member_timings(control),
    )
    return Node(
        settings,
        member,
        Configuration(view_retention_ms=_VIEW_RETENTION_MS),
        lease,
        Metrics(f"sassafraspin.{member.name}"),
        steady_time,
        network.send,
        leader_dispatches=True,
        started_at=PROCESS_STARTED_AT,
    )


def daemon_settings(
    settings: RoutedSettings, control: tuple[NamedAddress, ...]
) -> DaemonSettings:
    """Return the settings of the components shared with ``sassafraspin.daemon``."""
    folder = settings.data_folder
    listen = settings.listen
    return DaemonSettings(
        instance=settings.instance,
        listen=ListenSettings(listen.callers, listen.control, listen.peers),
        control=replace(
            settings.control,
            instances=control,
            data_folder=None if folder is None else folder.name,
            spare=folder is not None,
            voters=_voters(settings),
        ),
        access=AccessSettings((), (), ""),
        services=(),
        http=settings.http,
        dispatch=settings.dispatch,
    )


def discovery_settings(settings: RoutedSettings) -> DiscoverySettings:
    """Return the settings for discovering the control instances."""
    return DiscoverySettings(
        settings.seeds,
        settings.founds,
        _voters(settings),
        settle=settings.founding_settle_ms / _MS_PER_SECOND,
    )


def instance_card(settings: RoutedSettings, member: Member) -> InstanceCard:
    """Return the description of this instance that is sent to others."""
    return InstanceCard(
        member.name,
        member.availability_zone,
        member.host,
        member.port,
        settings.may_found,
    )


def _voters(settings: RoutedSettings) -> int:
    """Return the number of voters that tolerate the losses in the settings."""
    return 2 * settings.tolerated_losses + 1
