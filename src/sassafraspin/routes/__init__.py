"""Declared routes: the service of a call, its client account and its limits."""

from sassafraspin.routes.check import check_table
from sassafraspin.routes.index import RouteIndex, choose_service
from sassafraspin.routes.table import (
    CallerLimits,
    DeclaredTable,
    Engine,
    Route,
    RoutedAccount,
    RoutedService,
    RouteKind,
    RoutingTable,
    ServiceShare,
)

__all__ = [
    "CallerLimits",
    "DeclaredTable",
    "Engine",
    "Route",
    "RouteIndex",
    "RouteKind",
    "RoutedAccount",
    "RoutedService",
    "RoutingTable",
    "ServiceShare",
    "check_table",
    "choose_service",
]
