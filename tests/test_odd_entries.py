"""Entries of another writer among the announcements: refused, and nothing ends."""

import json
import random
import unittest

import msgspec
import trio

from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.dispatch import SlotRevoke
from sassafraspin.errors import InvalidInput
from sassafraspin.http import Headers, Request
from sassafraspin.platform.registration import decode_registration
from sassafraspin.rpc import PeerNetwork
from sassafraspin.settings import Address
from tests.routed_deployment import routed_deployment

GUARD_SECONDS = 60.0
DEPTH = 10_000
SEEDS = 300

GOOD = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}
ODD_VALUES = {
    "address": (
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:8_0",
        "127.0.0.1: 80",
        "127.0.0.1:\u0668\u0660",
        "127.0.0.1:" + "9" * 5_000,
        "mill.example:80",
        "1.2.3:80",
        ":80",
        "80",
        "",
    ),
    "slots": (0, -1, 2**64, 10**30, 1.5, "4", None, True, [4]),
    "sequence": (-1, 2**63, 10**400, "1", {}),
    "born": (-1, 2**63, 10**30),
    "state": ("gone", 1, None),
    "service": ("", 7, "x" * 4_000),
    "version": (None, "", "x" * 4_000),
    "zone": (None, "x" * 4_000),
}
"""Values that name no server to use, by field."""


def odd_bodies() -> list[bytes]:
    """Return bodies that name no server to use."""
    text = json.dumps(GOOD)
    bodies = [
        json.dumps({**GOOD, name: value}).encode()
        for name, values in ODD_VALUES.items()
        for value in values
    ]
    bodies += [
        json.dumps({key: GOOD[key] for key in GOOD if key != name}).encode()
        for name in GOOD
        if name != "born"
    ]
    nested = "[" * DEPTH + "]" * DEPTH
    bodies += [
        nested.encode(),
        text.replace('"desk"', nested).encode(),
        (text[:-1] + f', "models": {nested}}}').encode(),
        ('{"models":' * DEPTH).encode(),
        text.replace('"slots": 4', '"slots": NaN').encode(),
        text.replace('"slots": 4', '"slots": 1e400').encode(),
        text.replace('"slots": 4', f'"slots": {"9" * 5_000}').encode(),
        text.replace('"desk"', '"\\ud800"').encode(),
        text.replace("desk", "\xff").encode("latin-1"),
        text[:-1].encode(),
        b"",
        b"\xff\xfe\x00",
    ]
    return bodies


class TestRegistrationDecoder(unittest.TestCase):
    """Decoder of what servers, and others, register."""

    def test_odd_entries_are_invalid_input(self):
        for body in odd_bodies():
            with self.subTest(body=body[:80]), self.assertRaises(InvalidInput):
                decode_registration("i-1", body, 1_000)

    def test_odd_names_are_invalid_input(self):
        body = json.dumps(GOOD).encode()
        for name in ("", "x" * 4_000):
            with self.subTest(name=name[:8]), self.assertRaises(InvalidInput):
                decode_registration(name, body, 1_000)

    def test_fields_that_are_not_read_may_hold_anything(self):
        body = json.dumps({**GOOD, "models": [10**30, None], "x": {}}).encode()
        self.assertEqual(decode_registration("i-1", body, 1_000).slots, 4)

    def test_repeated_field_counts_as_its_last_value(self):
        text = json.dumps(GOOD)[:-1] + ', "slots": 7}'
        self.assertEqual(decode_registration("i-1", text.encode(), 1_000).slots, 7)

    def test_damaged_entries_raise_no_other_error(self):
        generator = random.Random(7)
        body = json.dumps(GOOD).encode()
        for _ in range(SEEDS):
            damaged = bytearray(body)
            for _ in range(generator.randint(1, 6)):
                damaged[generator.randrange(len(damaged))] = generator.randrange(256)
            try:
                announcement = decode_registration("i-1", bytes(damaged), 1_000)
            except InvalidInput:
                continue
            # What is accepted must fit into the messages to other instances.
            msgspec.msgpack.encode(announcement)


class TestDaemonWithOddEntries(unittest.TestCase):
    """The daemon goes on and serves while odd entries arrive."""

    def test_odd_entries_are_refused_and_the_others_hold(self):
        async def run() -> None:
            with trio.fail_after(GUARD_SECONDS):
                async with routed_deployment(runners=1) as deployment:
                    for number, body in enumerate(odd_bodies()):
                        request = Request(
                            "PUT",
                            f"/sassafraspin/instances/odd-{number}",
                            Headers((("host", "control"),)),
                            body,
                        )
                        response = await deployment.client.send(
                            deployment.listen.control, request
                        )
                        self.assertEqual(response.status, 400, body[:80])
                    # Two periods of the daemon's periodic work.
                    await trio.sleep(0.25)
                    self.assertTrue(deployment.daemon.is_ready)
                    response = await deployment.call("/unsafe/1")
                    self.assertEqual(response.status, 200)

        trio.run(run)


class TestPeerFrames(unittest.TestCase):
    """Datagrams that are no frames of another instance."""

    def setUp(self):
        self.messages = []
        self.network = PeerNetwork(
            "e1",
            1,
            Address("127.0.0.1", 1),
            PeerMessage,
            lambda source, incarnation, message: self.messages.append(message),
        )

    def test_malformed_frames_are_dropped(self):
        frame = msgspec.msgpack.encode(["e2", 1, [SlotRevoke("r", "g")]])
        nested = b"\x91" * DEPTH + b"\x90"
        for data in (
            b"",
            nested,
            frame[:-1],
            frame.replace(b"\x93", b"\x94", 1) + nested,
            frame.replace(b"\xa2e2", b"\xa2\xff\xfe", 1),
            msgspec.msgpack.encode(["e2", -1, 5]),
        ):
            with self.subTest(data=data[:20]):
                self.network._receive_frame(data)
        self.assertEqual(self.messages, [])
        self.network._receive_frame(frame)
        self.assertEqual(len(self.messages), 1)
