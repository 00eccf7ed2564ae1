"""Discovery of the control instances through seeds, and choice of the first ones."""

from sassafraspin.discovery.messages import (
    ControlMap,
    DiscoveryMessage,
    InstanceCard,
    Seek,
)
from sassafraspin.discovery.search import ControlDiscovery, DiscoverySettings
from sassafraspin.discovery.store import ControlInstanceStore

__all__ = [
    "ControlDiscovery",
    "ControlInstanceStore",
    "ControlMap",
    "DiscoveryMessage",
    "DiscoverySettings",
    "InstanceCard",
    "Seek",
]
