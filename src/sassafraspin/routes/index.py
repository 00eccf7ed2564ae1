"""Lookup of the route and the client account of a call."""

import random

from sassafraspin.routes.table import Route, RoutedAccount, RoutingTable

__all__ = ["RouteIndex", "choose_service"]


class RouteIndex:
    """A routing table prepared for lookups.

    Parameters
    ----------
    table : RoutingTable
        Table in force.
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
        """Return the table."""
        return self._table

    @property
    def needs_keys(self) -> bool:
        """Return whether callers have to send a key unless their route is public."""
        return bool(self._table.accounts)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        name = host.partition(":")[0].lower()
        for route in self._routes.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tokens_per_event(self, service: str) -> int:
        """Return the tokens that an event of the service's streams holds."""
        return self._tokens_per_event.get(service, 1)

    def find_account(self, key: str) -> RoutedAccount | None:
        """Return the client account that holds a key."""
        return self._accounts.get(key)


def choose_service(route: Route, generator: random.Random) -> str:
    """Return a service of the route, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    services = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return generator.choices(services, weights)[0]
