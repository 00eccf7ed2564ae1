"""Lookup of routes and client accounts."""

import random

from sassafraspin.routes.table import Route, RoutedAccount, RoutingTable

__all__ = ["RouteIndex", "choose_service"]


class RouteIndex:
    """Index of a routing table for lookups.

    Parameters
    ----------
    table : RoutingTable
        Routing table to index.
    """

    def __init__(self, table: RoutingTable) -> None:
        self._table = table
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=lambda item: -len(item.path_prefix)):
            self._routes.setdefault(route.host, []).append(route)
        self._tokens_per_event = {
            service.name: service.engine.tokens_per_event
            for service in table.services
            if service.engine is not None
        }
        self._accounts = {
            key: account for account in table.accounts for key in account.keys
        }

    @property
    def table(self) -> RoutingTable:
        """Return the indexed routing table."""
        return self._table

    @property
    def needs_keys(self) -> bool:
        """Return whether routes that are not public require an API key."""
        return bool(self._table.accounts)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        name = host.partition(":")[0].lower()
        for route in self._routes.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in one event of the service's streams."""
        return self._tokens_per_event.get(service, 1)

    def find_account(self, key: str) -> RoutedAccount | None:
        """Return the client account with the given API key."""
        return self._accounts.get(key)


def choose_service(route: Route, generator: random.Random) -> str:
    """Select a service of the route at random, by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    services = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return generator.choices(services, weights)[0]
