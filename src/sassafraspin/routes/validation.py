"""Validation of routing tables before they are accepted."""

from collections.abc import Iterator

from sassafraspin.errors import Problem
from sassafraspin.routes.table import Route, RoutingTable

__all__ = ["validate_table"]


def validate_table(table: RoutingTable) -> tuple[Problem, ...]:
    """Return every problem of a routing table; empty if the table is valid."""
    return (
        *_service_problems(table),
        *_route_problems(table),
        *_account_problems(table),
    )


def _service_problems(table: RoutingTable) -> Iterator[Problem]:
    names: set[str] = set()
    for position, service in enumerate(table.services):
        if service.name in names:
            yield Problem(f"$.services[{position}].name", "names another service too")
        names.add(service.name)


def _route_problems(table: RoutingTable) -> Iterator[Problem]:
    services = {service.name for service in table.services}
    match_rules: set[tuple[str, str]] = set()
    for position, route in enumerate(table.routes):
        path = f"$.routes[{position}]"
        yield from _one_route_problems(path, route, services)
        match_rule = (route.host, route.path_prefix)
        if match_rule in match_rules:
            yield Problem(path, "another route has the same host and path prefix")
        match_rules.add(match_rule)


def _one_route_problems(
    path: str, route: Route, services: set[str]
) -> Iterator[Problem]:
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield Problem(f"{path}.path_prefix", "must begin and end with a slash")
    if route.timeout_ms <= 0:
        yield Problem(f"{path}.timeout_ms", "must be at least 1 ms")
    if route.max_tries < 1:
        yield Problem(f"{path}.max_tries", "must be at least 1")
    if any(share.weight < 0 for share in route.shares):
        yield Problem(f"{path}.shares", "weights must not be negative")
    if sum(share.weight for share in route.shares) <= 0:
        yield Problem(f"{path}.shares", "weights must add up to more than 0")
    for share in route.shares:
        if share.service not in services:
            yield Problem(f"{path}.shares", f"no service is named {share.service!r}")


def _account_problems(table: RoutingTable) -> Iterator[Problem]:
    key_owners: dict[str, str] = {}
    names: set[str] = set()
    for position, account in enumerate(table.accounts):
        path = f"$.accounts[{position}]"
        if account.name in names:
            yield Problem(f"{path}.name", "names another account too")
        names.add(account.name)
        for key in account.keys:
            if key_owners.setdefault(key, account.name) != account.name:
                yield Problem(f"{path}.keys", "another account has the same key")
