"""Structured logs: JSON events, non-blocking output and request timelines."""

import io
import json
import os
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from loguru import logger

from sassafraspin.cli import main
from sassafraspin.telemetry.events import (
    EVENTS,
    CallRefused,
    DispatcherLost,
    TableInForce,
    describe_events,
    log_event,
)
from sassafraspin.telemetry.line_writer import LineWriter
from sassafraspin.telemetry.logs import JsonSink
from sassafraspin.telemetry.resources import ReportSchedule, resident_bytes
from sassafraspin.telemetry.timeline import read_timeline
from tests.test_routed_daemon import RoutedTestCase

OPERATIONS = Path(__file__).resolve().parent.parent / "docs" / "OPERATIONS.md"


class MemoryWriter:
    """Stores lines in memory in place of a ``LineWriter``."""

    def __init__(self):
        self.lines: list[bytes] = []
        self.dropped = 0

    def write(self, line: bytes) -> None:
        self.lines.append(line)


def refusal_event(request: str) -> CallRefused:
    """Return the event of a refused request."""
    return CallRefused(request, 503, "too-late", "not-run", "no slot", 200, 3, False)


class TestReportSchedule(unittest.TestCase):
    """Resource reports are periodic, and earlier when memory has grown."""

    def test_interval_and_growth(self):
        schedule = ReportSchedule(0.0)
        small, large = 20 << 20, 60 << 20
        self.assertFalse(schedule.is_check_due(0.1))
        self.assertTrue(schedule.is_check_due(0.5))
        self.assertFalse(schedule.is_check_due(0.6))
        self.assertTrue(schedule.is_due(small, 1.0))
        self.assertFalse(schedule.is_due(small, 5.0))
        self.assertTrue(schedule.is_due(large, 5.1))
        self.assertFalse(schedule.is_due(large, 10.0))
        self.assertTrue(schedule.is_due(large, 10.2))

    def test_resident_memory_is_read(self):
        self.assertGreater(resident_bytes(), 1 << 20)


class TestLineWriter(unittest.TestCase):
    """A slow or closed reader loses lines but never blocks the writer."""

    def test_full_pipe_drops_and_counts_lines(self):
        reader, writer = os.pipe()
        try:
            lines = LineWriter(writer)
            # 1 MB; the pipe and the buffer hold 64 KiB each.
            for _ in range(10_000):
                lines.write(b"x" * 99 + b"\n")
            self.assertGreater(lines.dropped, 5_000)
            os.read(reader, 1 << 20)
            dropped = lines.dropped
            lines.write(b"after\n")
            self.assertEqual(lines.dropped, dropped)
        finally:
            os.close(reader)
            os.close(writer)

    def test_lines_are_not_split(self):
        reader, writer = os.pipe()
        lines = LineWriter(writer)
        received = io.BytesIO()
        for number in range(3_000):
            lines.write(b"%05d " % number + b"x" * 93 + b"\n")
            if number % 500 == 499:
                received.write(os.read(reader, 1 << 20))
        lines._flush()
        os.close(writer)
        while chunk := os.read(reader, 1 << 20):
            received.write(chunk)
        os.close(reader)
        lengths = {len(line) for line in received.getvalue().splitlines()}
        self.assertEqual(lengths, {99})

    def test_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        lines = LineWriter(writer)
        lines.write(b"line\n")
        os.close(writer)
        self.assertEqual(lines.dropped, 1)


class TestEvents(unittest.TestCase):
    """Events are written as one JSON object per line."""

    def setUp(self):
        self.writer = MemoryWriter()
        handler = logger.add(JsonSink(self.writer), level="INFO", format="")
        self.addCleanup(logger.remove, handler)

    def test_event_fields_are_written(self):
        log_event(refusal_event("id-1"))
        item = json.loads(self.writer.lines[-1])
        self.assertEqual(item["event"], "CallRefused")
        self.assertEqual(item["part"], "entry")
        self.assertEqual((item["request"], item["status"]), ("id-1", 503))
        self.assertIsInstance(item["time"], float)

    def test_exceptions_are_written(self):
        try:
            raise ValueError("broken")
        except ValueError:
            logger.bind(part="entry").exception("A call failed.")
        self.assertIn("broken", json.loads(self.writer.lines[-1])["exception"])

    def test_next_line_reports_dropped_lines(self):
        self.writer.dropped = 7
        log_event(refusal_event("id-1"))
        self.assertEqual(json.loads(self.writer.lines[-1])["dropped_lines"], 7)
        log_event(refusal_event("id-1"))
        self.assertNotIn("dropped_lines", json.loads(self.writer.lines[-1]))

    def test_page_lists_every_event(self):
        self.assertIn(describe_events(), OPERATIONS.read_text())
        for kind in EVENTS:
            self.assertTrue(kind.text.endswith("."), kind)


class TestTimeline(unittest.TestCase):
    """Timeline of a request, assembled from several logs."""

    def lines(self, *events) -> list[bytes]:
        writer = MemoryWriter()
        handler = logger.add(JsonSink(writer), level="INFO", format="")
        for event in events:
            log_event(event)
        logger.remove(handler)
        return writer.lines

    def test_order_and_context_events(self):
        first = self.lines(
            TableInForce(7, 2, 2, 1), refusal_event("id-9"), DispatcherLost("c", 80)
        )
        second = self.lines(refusal_event("id-1"), refusal_event("id-2"))
        third = self.lines(DispatcherLost("c", 80), refusal_event("id-1"))
        logs = [("one", first), ("two", second), ("three", [b"12.5 x ", *third])]
        timeline = read_timeline("id-1", logs)
        self.assertEqual(
            [(line.source, line.event) for line in timeline],
            [
                ("two", "CallRefused"),
                ("three", "DispatcherLost"),
                ("three", "CallRefused"),
            ],
        )

    def test_lines_without_events_are_skipped(self):
        invalid_lines = [b"", b"{", b"[1]", b'{"time": "x"}', b"\xff{}"]
        self.assertEqual(read_timeline("id-1", [("log", invalid_lines)]), [])

    def test_explain_and_events_commands(self):
        runner = CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "front-1.log"
            log.write_bytes(b"".join(self.lines(refusal_event("id-1"))))
            found = runner.invoke(main, ["explain", "id-1", str(log)])
            self.assertEqual(found.exit_code, 0, found.output)
            self.assertIn("reason=too-late", found.output)
            missing = runner.invoke(main, ["explain", "id-2", str(log)])
            self.assertEqual(missing.exit_code, 4)
        listed = runner.invoke(main, ["events"])
        self.assertEqual(listed.output.strip(), describe_events())


class TestSecrets(RoutedTestCase):
    """API keys and request bodies are not logged."""

    def test_keys_and_bodies_are_not_logged(self):
        writer = MemoryWriter()
        handler = logger.add(JsonSink(writer), level="DEBUG", format="")
        self.addCleanup(logger.remove, handler)

        async def scenario(deployment):
            await deployment.call("/unsafe/1")
            await deployment.call("/safe/1", authorization="Token stolen-key")
            await deployment.call("/nowhere/1")

        self.run_scenario(scenario)
        text = b"".join(writer.lines)
        self.assertIn(b"TryEnded", text)
        self.assertIn(b"unknown-key", text)
        for secret in (b"Token", b"stolen-key", b"question", b'"key"'):
            self.assertNotIn(secret, text)
