"""Redirects of control requests to the control leader."""

import json
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from urllib.parse import urlsplit

import msgspec
import trio

from sassafraspin.control import ChangeView
from sassafraspin.control.commands import decode_command
from sassafraspin.http import Headers, HttpClient, Request, Response
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberLease,
    MemberTimings,
    View,
)
from sassafraspin.routed import Operations, RoutedListen
from sassafraspin.settings import Address
from tests.routed_deployment import TIMEOUTS, routed_cluster

CONTROL_PORT = 7300
MAX_REDIRECTS = 2
REDIRECT_STATUS = 307


def leader_member(host: str = "10.0.0.1", control_port: int = 0) -> Member:
    """Return the view's entry of the control leader."""
    return Member("front-1", 1, "south", "a", host, 7400, control_port)


def registration(port: int) -> Request:
    """Return the request that registers the backend server ``i-1``."""
    document = {
        "service": "desk",
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    headers = Headers((("host", "control"),))
    body = json.dumps(document).encode()
    return Request("PUT", "/sassafraspin/instances/i-1", headers, body)


async def follow(
    client: HttpClient, address: Address, request: Request
) -> tuple[Response, list[Address]]:
    """Send a request, follow its redirects, and start again after a 503.

    Return the last response and the addresses asked for it, in order.
    """
    asked = [address]
    while True:
        response = await client.send(asked[-1], request)
        if response.status == 503:
            await trio.sleep(0.05)
            asked = [address]
        elif response.status != REDIRECT_STATUS or len(asked) > MAX_REDIRECTS:
            return response, asked
        else:
            location = urlsplit(response.headers.get("location"))
            asked.append(Address(location.hostname, location.port))


class TestInstancesOfOneHost(unittest.TestCase):
    """Instances that share a host and have control ports of their own."""

    def run_scenario(
        self, scenario: Callable[[list[RoutedListen]], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(60):
                async with routed_cluster(3) as listens:
                    await scenario(listens)

        trio.run(run)

    def test_each_instance_redirects_to_the_leader(self):
        async def scenario(listens):
            client = HttpClient(TIMEOUTS)
            request = registration(listens[0].callers.port)
            answered_by = set()
            for listen in listens:
                response, asked = await follow(client, listen.control, request)
                self.assertEqual(response.status, 200, asked)
                answered_by.add(asked[-1])
            client.close()
            self.assertEqual(len(answered_by), 1)

        self.run_scenario(scenario)


class TestLeaderAddress(unittest.TestCase):
    """The address that an instance redirects to."""

    def setUp(self):
        self.now = 0.0
        control_names = ("front-1", "front-2")
        own = Member("front-2", 1, "south", "b", "10.0.0.2", 7400, CONTROL_PORT)
        self.lease = MemberLease(own, control_names, 0.5, MemberTimings(lease=3.0))
        self.node = SimpleNamespace(
            name=own.name,
            member=own,
            lease=self.lease,
            view=View(1, 1, (leader_member(), own)),
            now=lambda: self.now,
        )
        self.control = SimpleNamespace(term=1)
        self.operations = Operations(self.node, self.control, None, None, None)

    def hear(self, leader: str, term: int = 1) -> None:
        """Receive a reply in which the leader grants a lease."""
        voters = ("front-1", "front-2")
        reply = HeartbeatReply(leader, 3_000, 0, self.now, None, voters, term)
        self.lease.on_reply(leader, reply, 0, self.now)

    def test_leader_that_granted_the_lease_is_returned(self):
        self.hear("front-1")
        self.now = 1.0
        self.assertEqual(
            self.operations.leader_address(), Address("10.0.0.1", CONTROL_PORT)
        )

    def test_leader_that_was_not_heard_for_a_lease_is_not_returned(self):
        self.hear("front-1")
        self.now = 10.0
        self.assertIsNone(self.operations.leader_address())

    def test_port_that_the_leader_reports_is_returned(self):
        self.node.view = View(1, 1, (leader_member(control_port=7301),))
        self.hear("front-1")
        self.assertEqual(self.operations.leader_address(), Address("10.0.0.1", 7301))

    def test_unknown_port_on_the_own_host_is_not_guessed(self):
        self.node.view = View(1, 1, (leader_member(self.node.member.host),))
        self.hear("front-1")
        self.assertIsNone(self.operations.leader_address())

    def test_leader_of_a_term_before_the_own_is_not_returned(self):
        """An instance that led in a later term and was cut off may be followed."""
        self.hear("front-1", term=3)
        self.assertIsNotNone(self.operations.leader_address())
        self.control.term = 4
        self.assertIsNone(self.operations.leader_address())

    def test_leader_of_a_build_without_terms_is_returned(self):
        self.control.term = 4
        self.hear("front-1", term=0)
        self.assertIsNotNone(self.operations.leader_address())

    def test_instance_itself_is_not_returned(self):
        self.hear("front-2")
        self.assertIsNone(self.operations.leader_address())


class TestViewsOfOtherBuilds(unittest.TestCase):
    """Instances of builds with and without control ports read each other's views."""

    def test_member_without_control_port_is_read(self):
        entry = msgspec.to_builtins(leader_member())
        del entry["control_port"]
        data = msgspec.msgpack.encode(ChangeView("v", 0, View(1, 0, (entry,))))
        (member,) = decode_command(data).view.members
        self.assertEqual(member, leader_member())

    def test_member_with_fields_of_a_later_build_is_read(self):
        entry = {**msgspec.to_builtins(leader_member()), "later": 1}
        data = msgspec.msgpack.encode(ChangeView("v", 0, View(1, 0, (entry,))))
        (member,) = decode_command(data).view.members
        self.assertEqual(member, leader_member())


if __name__ == "__main__":
    unittest.main()
