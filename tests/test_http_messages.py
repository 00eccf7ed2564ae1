"""Header fields and targets of requests, as they are received and sent."""

import unittest

import trio

from sassafraspin.http import Headers
from sassafraspin.http.messages import to_origin_form
from tests.routed_deployment import routed_deployment


class TestHeaders(unittest.TestCase):
    """Header fields are sent as they were received."""

    def test_bytes_outside_ascii(self):
        items = [(b"x-note", b"caf\xc3\xa9 \xff")]
        self.assertEqual(Headers.from_wire(items).to_wire(), items)


class TestTargets(unittest.TestCase):
    """A route is found whichever form the target of a request has."""

    def test_absolute_form(self):
        headers = Headers((("host", "other.example"), ("x-note", "n")))
        for target, path in (
            ("http://mill.example/safe/x?y=1", "/safe/x?y=1"),
            ("HTTP://mill.example", "/"),
            ("https://user@mill.example?y=1", "/?y=1"),
        ):
            with self.subTest(target=target):
                found, fields = to_origin_form(target, headers)
                self.assertEqual(found, path)
                self.assertEqual(fields.get("host"), "mill.example")
                self.assertEqual(fields.get("x-note"), "n")

    def test_other_forms(self):
        for target in ("/safe/x", "/http://x/", "*"):
            self.assertEqual(to_origin_form(target, Headers()), (target, Headers()))

    def test_call_in_absolute_form(self):
        async def scenario() -> int:
            async with routed_deployment() as deployment:
                answer = await deployment.call("http://mill.example/safe/x")
                return answer.status

        self.assertEqual(trio.run(scenario), 200)


if __name__ == "__main__":
    unittest.main()
