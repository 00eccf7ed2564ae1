"""A daemon for declared routes: peers found by seeds, one dispatcher at the leader."""

from sassafraspin.routed.daemon import RoutedDaemon
from sassafraspin.routed.dialect import (
    AnswerFacts,
    BackendTarget,
    CallFacts,
    Dialect,
)
from sassafraspin.routed.operations import Operations, RolloutState
from sassafraspin.routed.settings import RoutedListen, RoutedSettings

__all__ = [
    "AnswerFacts",
    "BackendTarget",
    "CallFacts",
    "Dialect",
    "Operations",
    "RolloutState",
    "RoutedDaemon",
    "RoutedListen",
    "RoutedSettings",
]
