"""The demo, as run by ``make demo``."""

import re
import socket
import unittest

from click.testing import CliRunner

from sassafraspin.cli import main


class TestDemo(unittest.TestCase):
    """The demo succeeds and closes all its ports."""

    def test_demo_succeeds_and_closes_its_ports(self):
        opened: list[int] = []
        bind = socket.socket.bind

        def recording_bind(self, address):
            bind(self, address)
            opened.append(self.getsockname()[1])

        socket.socket.bind = recording_bind
        try:
            result = CliRunner().invoke(main, ["demo"], catch_exceptions=False)
        finally:
            socket.socket.bind = bind
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.output, r"to-good +good +(done|taken-back)")
        self.assertRegex(result.output, r"to-bad +bad +taken-back")
        self.assertIsNone(re.search(r"wrong +\d", result.output))
        for port in set(opened):
            with socket.socket() as probe:
                self.assertNotEqual(probe.connect_ex(("127.0.0.1", port)), 0)
