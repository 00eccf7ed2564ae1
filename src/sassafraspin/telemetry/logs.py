"""Log output: short sentences with a fixed prefix for each part."""

import sys
import traceback
from typing import TYPE_CHECKING, Literal

import msgspec
from loguru import logger

from sassafraspin.telemetry.lines import LineWriter

if TYPE_CHECKING:
    from loguru import Logger, Message

__all__ = ["JsonSink", "LogFormat", "configure_logs", "part_logger"]

LogFormat = Literal["text", "json"]

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level:<7} {extra[part]}: {message}"


def configure_logs(level: str, log_format: LogFormat) -> None:
    """Send log records at ``level`` and above to the standard error stream.

    JSON lines go to standard output instead, and are dropped when nobody reads them.

    Parameters
    ----------
    level : str
        Name of the lowest level that is written.
    log_format : {"text", "json"}
        ``json`` writes one JSON object a line.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    if log_format == "json":
        writer = LineWriter(sys.stdout.fileno())
        logger.add(JsonSink(writer), level=level, format="", backtrace=False)
        return
    logger.add(sys.stderr, level=level, format=_TEXT_FORMAT, backtrace=False)


def part_logger(part: str) -> "Logger":
    """Return the logger of one part of the system.

    Parameters
    ----------
    part : str
        Fixed prefix of each record, for example ``ledger``.

    Returns
    -------
    loguru.Logger
        Logger bound to the prefix.
    """
    return logger.bind(part=part)


class JsonSink:
    """Writes each record as one JSON object: time, level, part, text and fields."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._reported_drops = 0

    def __call__(self, message: "Message") -> None:
        """Write a record."""
        record = message.record
        fields = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "text": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            fields["exception"] = "".join(
                traceback.format_exception(*record["exception"])
            )
        if self._writer.dropped > self._reported_drops:
            fields["dropped_lines"] = self._writer.dropped - self._reported_drops
            self._reported_drops = self._writer.dropped
        self._writer.write(msgspec.json.encode(fields, enc_hook=str) + b"\n")
