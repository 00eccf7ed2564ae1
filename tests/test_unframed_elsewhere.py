"""Answers without a declared end at the other daemon and at the load tool."""

import unittest

import trio

from sassafraspin.daemon.relay import AnswerTiming, BackendRelay
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request
from sassafraspin.load import LoadRunner, LoadSettings, RequestClass
from tests.scripted_server import Script, ScriptedServer

GUARD_SECONDS = 60.0
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{}"


class TestProfileDaemon(unittest.TestCase):
    """A plain answer is passed on with the claim of its server."""

    def test_answer_that_may_be_short_is_not_given_a_length(self):
        async def run():
            server = ScriptedServer([Script(ANSWER)])
            client = HttpClient(ClientTimeouts())
            request = Request("GET", "/", Headers((("host", "test"),)))
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    async with client.open(server.addresses[0], request) as opened:
                        timing = AnswerTiming(0.0)
                        relay = BackendRelay(client)
                        complete = await relay.read_complete(opened, timing)
                    nursery.cancel_scope.cancel()
            self.assertEqual((complete.body, complete.is_framed), (b"{}", False))

        trio.run(run)


class TestLoadTool(unittest.TestCase):
    """The load tool does not count an answer that may be short as complete."""

    def test_plain_answer_without_a_declared_end_is_wrong(self):
        reports = []

        async def run():
            server = ScriptedServer([Script(ANSWER)])
            plain = RequestClass("plain", 1, 0, "plain", "token", 5_000, kind="plain")
            with trio.fail_after(GUARD_SECONDS):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    settings = LoadSettings(
                        tuple(server.addresses), 0.2, 50.0, (plain,)
                    )
                    reports.append(await LoadRunner(settings).run())
                    nursery.cancel_scope.cancel()

        trio.run(run)
        [report] = reports
        self.assertGreater(report.sent, 0)
        self.assertEqual(report.results, {"wrong": report.sent})
