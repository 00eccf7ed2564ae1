"""Daemon that serves the routes of a routing table.

Instances find each other through seed addresses, and the control leader is the only
dispatcher. The daemon in ``sassafraspin.daemon`` instead reads its services and control
instances from a settings file and distributes dispatch over the instances.
"""

from sassafraspin.routed.adapter import (
    BackendTarget,
    CallMetadata,
    ProtocolAdapter,
    ResponseMetadata,
)
from sassafraspin.routed.daemon import RoutedDaemon
from sassafraspin.routed.operations import Operations, RolloutState
from sassafraspin.routed.settings import RoutedListen, RoutedSettings

__all__ = [
    "BackendTarget",
    "CallMetadata",
    "Operations",
    "ProtocolAdapter",
    "ResponseMetadata",
    "RolloutState",
    "RoutedDaemon",
    "RoutedListen",
    "RoutedSettings",
]
