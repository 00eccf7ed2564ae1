"""Configurations that must be refused, or served as they say (CONFIG)."""

import json
import unittest

import msgspec

from sassafraspin.errors import InvalidInput
from sassafraspin.platform.document import decode_table
from tests.routed_deployment import configuration

NUMBER = "@number"


def _document_with(number: str, *path: str | int) -> bytes:
    """Return a document with a number at a path, written as given."""
    document = configuration()
    document["limits"] = {}
    part = document
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = NUMBER
    return json.dumps(document).replace(f'"{NUMBER}"', number).encode()


class TestUnreadableDocuments(unittest.TestCase):
    """A document that is no valid JSON text is not acknowledged."""

    def test_bytes_that_are_no_utf_8_in_a_field_that_is_not_used(self):
        document = configuration()
        document["services"][0]["health_path"] = "/health"
        body = json.dumps(document).encode()
        decode_table(body)
        with self.assertRaises(InvalidInput):
            decode_table(body.replace(b"/health", b"/he\xff\xfe"))


class TestNumbers(unittest.TestCase):
    """Numbers that cannot be replicated or used are not acknowledged."""

    PATHS = (
        ("version",),
        ("routes", 0, "timeout_ms"),
        ("routes", 0, "target_latency_ms"),
        ("routes", 0, "target_gap_ms"),
        ("routes", 0, "priority"),
        ("routes", 0, "max_attempts"),
        ("services", 0, "max_connections"),
        ("services", 0, "cold_per_s"),
        ("limits", "max_header_bytes"),
        ("limits", "max_body_bytes"),
        ("limits", "header_timeout_ms"),
        ("limits", "idle_timeout_ms"),
        ("tenants", 0, "priority"),
        ("tenants", 0, "plain_tokens"),
        ("tenants", 0, "rate_per_s"),
        ("tenants", 0, "burst"),
    )

    def test_numbers_above_64_bits(self):
        for path in self.PATHS:
            for number in (str(2**64), "1e308"):
                with self.subTest(path=path, number=number):
                    with self.assertRaises(InvalidInput):
                        decode_table(_document_with(number, *path))

    def test_negative_numbers(self):
        for path in self.PATHS[1:]:
            with self.subTest(path=path):
                with self.assertRaises(InvalidInput):
                    decode_table(_document_with("-1", *path))

    def test_large_numbers_are_replicated(self):
        for path in self.PATHS:
            with self.subTest(path=path):
                table = decode_table(_document_with(str(2**40), *path))
                msgspec.msgpack.encode(table)

    def test_weights_without_a_finite_sum(self):
        document = configuration()
        shares = [{"service": "desk", "weight": 1e308}] * 2
        document["routes"][0].update(service=None, traffic_split=shares)
        with self.assertRaises(InvalidInput):
            decode_table(json.dumps(document).encode())


if __name__ == "__main__":
    unittest.main()
