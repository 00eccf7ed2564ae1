"""The demo as ``make demo`` runs it."""

import re
import socket
import unittest

from click.testing import CliRunner

from sassafraspin.cli import main


class TestDemo(unittest.TestCase):
    """The main job in one process."""

    def test_runs_and_leaves_no_port_behind(self):
        opened: list[int] = []
        bind = socket.socket.bind

        def note(self, address):
            bind(self, address)
            opened.append(self.getsockname()[1])

        socket.socket.bind = note
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
