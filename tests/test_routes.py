"""Routing table: validation, route lookup and versioning."""

import random
import unittest
from dataclasses import replace

from sassafraspin.control import OutcomeKind, PutTable
from sassafraspin.control.state import ControlState
from sassafraspin.routes import (
    CallerLimits,
    DeclaredTable,
    Route,
    RoutedAccount,
    RoutedService,
    RouteIndex,
    RouteKind,
    RoutingTable,
    ServiceShare,
    choose_service,
    validate_table,
)


def route(name: str = "reports", **fields) -> Route:
    """Return a route to the service ``sorter-model``."""
    return Route(
        **{
            "name": name,
            "host": "mill.example",
            "path_prefix": f"/{name}/",
            "kind": RouteKind.SAFE,
            "timeout_ms": 2_000,
            "objective_ms": 500,
            "event_gap_ms": 200,
            "patience_ms": 2_000,
            "tier": 0,
            "shares": (ServiceShare("sorter-model", 1),),
            "max_tries": 2,
            "public": False,
            "resumable": False,
            **fields,
        }
    )


def account(name: str = "mill", **fields) -> RoutedAccount:
    """Return an account with one API key and no usage cap."""
    return RoutedAccount(
        **{
            "name": name,
            "keys": (f"{name}-key",),
            "tier": None,
            "charges_tokens": True,
            "plain_tokens": 200,
            "rate_per_second": 0.0,
            "burst": 0.0,
            **fields,
        }
    )


def table(version: int = 1, **fields) -> RoutingTable:
    """Return a valid routing table."""
    return RoutingTable(
        **{
            "version": version,
            "routes": (route(),),
            "services": (RoutedService("sorter-model", 100, None),),
            "accounts": (account(),),
            "limits": CallerLimits(),
            **fields,
        }
    )


class TestValidateTable(unittest.TestCase):
    """Each problem is reported with the path of its field."""

    def paths(self, **fields) -> list[str]:
        return [problem.path for problem in validate_table(table(**fields))]

    def test_valid_table(self):
        self.assertEqual(self.paths(), [])

    def test_unknown_service(self):
        shares = (ServiceShare("nobody", 1),)
        self.assertEqual(
            self.paths(routes=(route(shares=shares),)), ["$.routes[0].shares"]
        )

    def test_duplicate_host_and_path_prefix(self):
        routes = (route(), replace(route(), name="other"))
        self.assertEqual(self.paths(routes=routes), ["$.routes[1]"])

    def test_zero_total_weight(self):
        shares = (ServiceShare("sorter-model", 0),)
        self.assertEqual(
            self.paths(routes=(route(shares=shares),)), ["$.routes[0].shares"]
        )

    def test_zero_timeout(self):
        self.assertEqual(
            self.paths(routes=(route(timeout_ms=0),)), ["$.routes[0].timeout_ms"]
        )

    def test_prefix_without_slashes(self):
        self.assertEqual(
            self.paths(routes=(route(path_prefix="/reports"),)),
            ["$.routes[0].path_prefix"],
        )

    def test_duplicate_key(self):
        accounts = (account(), account("radio", keys=("mill-key",)))
        self.assertEqual(self.paths(accounts=accounts), ["$.accounts[1].keys"])


class TestRouteIndex(unittest.TestCase):
    """Calls match the longest path prefix of their host."""

    def setUp(self):
        routes = (route("a"), route("b", path_prefix="/a/b/"), route("c", host="x"))
        self.index = RouteIndex(table(routes=routes))

    def test_longest_prefix(self):
        self.assertEqual(self.index.find_route("mill.example", "/a/b/c").name, "b")
        self.assertEqual(self.index.find_route("mill.example", "/a/c").name, "a")

    def test_prefix_ends_at_a_slash(self):
        self.assertIsNone(self.index.find_route("mill.example", "/ab"))

    def test_host_is_matched_without_case_and_port(self):
        self.assertEqual(self.index.find_route("Mill.Example:80", "/a/").name, "a")
        self.assertIsNone(self.index.find_route("other.example", "/a/"))

    def test_account_by_key(self):
        self.assertEqual(self.index.find_account("mill-key").name, "mill")
        self.assertIsNone(self.index.find_account("other"))

    def test_services_are_selected_by_weight(self):
        shares = (ServiceShare("v1", 90), ServiceShare("v2", 10), ServiceShare("v3", 0))
        generator = random.Random(1)
        drawn = [choose_service(route(shares=shares), generator) for _ in range(1000)]
        self.assertEqual(drawn.count("v3"), 0)
        self.assertTrue(60 <= drawn.count("v2") <= 140, drawn.count("v2"))


class TestDeclaredTable(unittest.TestCase):
    """Only a table with a higher version replaces the current one."""

    def put(self, state: ControlState, version: int, source: bytes) -> OutcomeKind:
        declared = DeclaredTable(table(version), source)
        command = PutTable(f"{version}-{source}", 0, declared)
        return state.apply(state.index + 1, command).kind

    def test_higher_version_takes_effect(self):
        state = ControlState()
        self.assertEqual(self.put(state, 3, b"first"), OutcomeKind.ACCEPTED)
        self.assertEqual(self.put(state, 7, b"second"), OutcomeKind.ACCEPTED)
        self.assertEqual(state.routing.source, b"second")

    def test_equal_and_lower_versions_are_ignored(self):
        state = ControlState()
        self.put(state, 7, b"first")
        self.assertEqual(self.put(state, 7, b"other"), OutcomeKind.UNCHANGED)
        self.assertEqual(self.put(state, 3, b"older"), OutcomeKind.UNCHANGED)
        self.assertEqual(state.routing.source, b"first")

    def test_table_survives_a_snapshot(self):
        state = ControlState()
        self.put(state, 7, b"first")
        copy = ControlState.from_bytes(state.index, state.to_bytes())
        self.assertEqual(copy.routing, state.routing)
