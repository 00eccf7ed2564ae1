"""Routing table: routes, services, client accounts and limits, with lookups."""

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
from sassafraspin.routes.validation import validate_table

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
    "validate_table",
    "choose_service",
]
