"""Splitting and parsing of server-sent events that arrive in small pieces."""

import time
import unittest

from sassafraspin.http.events import (
    EventParser,
    EventSplitter,
    EventTooLarge,
    ServerSentEvent,
    StreamPosition,
)

MIB = 1_048_576
GUARD_SECONDS = 60.0


class TestLargeEvents(unittest.TestCase):
    """An event of the largest size in pieces of one byte, and a larger one."""

    def feed_bytes(self, reader: EventSplitter | EventParser, count: int) -> None:
        """Feed single bytes; quadratic time, many minutes, exceeds the guard."""
        guard = time.monotonic() + GUARD_SECONDS
        for number in range(count):
            reader.feed(b"e")
            if number % 1000 == 0 and time.monotonic() > guard:
                self.fail(f"{number} of {count} bytes in {GUARD_SECONDS} s")

    def test_event_in_small_pieces_is_split_in_linear_time(self):
        splitter = EventSplitter()
        self.feed_bytes(splitter, MIB - 10)
        [block] = splitter.feed(b"\n\n")
        self.assertEqual(len(block.raw), MIB - 8)

    def test_event_in_small_pieces_is_parsed_in_linear_time(self):
        parser = EventParser()
        parser.feed(b"data: ")
        self.feed_bytes(parser, MIB - 20)
        [event] = parser.feed(b"\r\n\r\n")
        self.assertEqual(len(event.data), MIB - 20)

    def test_larger_event_is_rejected(self):
        for reader in (EventSplitter(), EventParser()):
            with self.subTest(reader=type(reader)), self.assertRaises(EventTooLarge):
                for _ in range(20):
                    reader.feed(b"e" * 65_536)


class TestPieces(unittest.TestCase):
    """The events do not depend on where the byte stream is divided."""

    def test_every_division(self):
        stream = b"id: 1\r\ndata: a\r\n\r\n: comment\n\ndata: b\ndata: c\n\nid: 2\n"
        expected = [ServerSentEvent("a", "1"), ServerSentEvent("b\nc")]
        for first in range(len(stream) + 1):
            for second in range(first, len(stream) + 1):
                parser = EventParser()
                pieces = (stream[:first], stream[first:second], stream[second:])
                events = [event for piece in pieces for event in parser.feed(piece)]
                self.assertEqual(events, expected, (first, second))

    def test_splitter_returns_every_byte(self):
        stream = b"id: 1\ndata: a\n\ndata: b\n\n\ndata: c\n\nrest\n"
        for first in range(len(stream) + 1):
            splitter = EventSplitter()
            blocks = splitter.feed(stream[:first]) + splitter.feed(stream[first:])
            raw = b"".join(block.raw for block in blocks)
            self.assertEqual(raw + splitter.take_remainder(), stream)
            self.assertEqual([block.id for block in blocks], ["1", None, None])


class TestStreamPosition(unittest.TestCase):
    """Events are counted, and a stream that ends inside one is recognized."""

    def check_position(self, stream: bytes, events: int, is_inside: bool) -> None:
        for first in range(len(stream) + 1):
            position = StreamPosition()
            count = position.feed(stream[:first]) + position.feed(stream[first:])
            self.assertEqual(count, events, first)
            self.assertEqual(position.is_inside_event, is_inside, first)

    def test_whole_events(self):
        self.check_position(b"data: a\n\ndata: b\n\n", 2, False)
        self.check_position(b"data: a\r\n\r\ndata: b\r\n\r\n", 2, False)
        # The last carriage return may be the first half of a line end.
        self.check_position(b"data: a\r\rdata: b\r\r", 1, False)

    def test_end_inside_an_event(self):
        self.check_position(b"data: a\n\ndata", 1, True)
        self.check_position(b"data: a\n\ndata: b\n", 1, True)
        self.check_position(b"data: a\r\n\r\ndata: b\r\n", 1, True)
        self.check_position(b"data: a\r", 0, True)

    def test_empty_stream(self):
        self.assertFalse(StreamPosition().is_inside_event)
        self.assertTrue(StreamPosition().is_at_start)
