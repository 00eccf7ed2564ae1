"""Configurations and orders that must be refused, or served as they say (CONFIG)."""

import json
import unittest

import msgspec
import trio

from sassafraspin.errors import InvalidInput
from sassafraspin.http import Request
from sassafraspin.platform.document import decode_table
from tests.routed_deployment import (
    RoutedDeployment,
    configuration,
    routed_deployment,
)

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


class TestNamesInHeaders(unittest.TestCase):
    """Names and headers outside ASCII reach the servers, and callers get answers."""

    def run_test(self, account: dict, key: str, **headers: str) -> Request:
        """Call with a key of an account; return what the server has received."""

        async def call(deployment: RoutedDeployment) -> Request:
            document = configuration(2)
            document["tenants"] = [account]
            await deployment.control("PUT", "config", document)
            while True:
                answer = await deployment.call(
                    "/safe/x", authorization=f"Token {key}", **headers
                )
                if answer.status != 401:
                    break
                await trio.sleep(0.05)
            self.assertEqual(answer.status, 200, bytes(answer.body))
            return next(item for one in deployment.runners for item in one.requests)

        async def scenario() -> Request:
            async with routed_deployment() as deployment:
                return await call(deployment)

        return trio.run(scenario)

    def test_account_outside_ascii(self):
        request = self.run_test({"name": "Tüyhane", "api_keys": ["key-2"]}, "key-2")
        tenant = request.headers.get("x-tenant")
        self.assertEqual(tenant.encode("latin-1").decode(), "Tüyhane")

    def test_key_outside_ascii(self):
        key = "schlüssel".encode().decode("latin-1")
        self.run_test({"name": "mill", "api_keys": ["schlüssel"]}, key)

    def test_header_of_the_caller_outside_ascii(self):
        account = {"name": "mill", "api_keys": ["key-2"]}
        request = self.run_test(account, "key-2", x_note="caf\xe9")
        self.assertEqual(request.headers.get("x-note"), "caf\xe9")

    def test_server_outside_ascii(self):
        async def scenario() -> Request:
            async with routed_deployment(runners=1) as deployment:
                [runner] = deployment.runners
                await deployment.register(runner, "draining")
                runner.name = "%E2%82%ACuro"
                await deployment.register(runner)
                answer = await deployment.call("/safe/x")
                self.assertEqual(answer.status, 200, bytes(answer.body))
                return runner.requests[-1]

        expected = trio.run(scenario).headers.get("x-expect-instance")
        self.assertEqual(expected.encode("latin-1").decode(), "\u20acuro")

    def test_server_that_no_header_can_name(self):
        async def scenario() -> int:
            async with routed_deployment(runners=1) as deployment:
                [runner] = deployment.runners
                runner.name = "i-1%0D%0Ax:y"
                return (await deployment.register(runner)).status

        self.assertEqual(trio.run(scenario), 400)

    def test_account_that_no_header_can_carry(self):
        for name in ("a\r\nx-tenant: b", "a\0", " a", "a\t"):
            document = configuration()
            document["tenants"][0]["name"] = name
            with self.subTest(name=name), self.assertRaises(InvalidInput):
                decode_table(json.dumps(document).encode())


class TestOrders(unittest.TestCase):
    """Orders of operators whose values or names are unusual get a clear answer."""

    def order(self, method: str, path: str, document: dict | None = None) -> int:
        """Return the status of an order, 0 if there is none after a while."""

        async def scenario() -> int:
            async with routed_deployment() as deployment:
                with trio.move_on_after(3.0):
                    answer = await deployment.control(method, path, document)
                    return answer.status
                return 0

        return trio.run(scenario)

    def test_rollout_without_end(self):
        document = {"service": "desk", "target": "v2", "duration_s": 1e300}
        self.assertEqual(self.order("POST", "rollouts", document), 400)

    def test_rollout_of_centuries(self):
        document = {"service": "desk", "target": "v2", "duration_s": 1e17}
        self.assertEqual(self.order("POST", "rollouts", document), 400)

    def test_name_with_an_escaped_character(self):
        self.assertEqual(self.order("POST", "evacuations/%61"), 200)


if __name__ == "__main__":
    unittest.main()
