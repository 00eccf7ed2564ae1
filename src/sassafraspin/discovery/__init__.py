"""Discovery of the control instances through seeds, and choice of the first quorum."""

from sassafraspin.discovery.book import ControlBook
from sassafraspin.discovery.messages import (
    ControlMap,
    DiscoveryMessage,
    InstanceCard,
    Seek,
)
from sassafraspin.discovery.search import ControlSearch, SearchSettings

__all__ = [
    "ControlBook",
    "ControlMap",
    "ControlSearch",
    "DiscoveryMessage",
    "InstanceCard",
    "SearchSettings",
    "Seek",
]
