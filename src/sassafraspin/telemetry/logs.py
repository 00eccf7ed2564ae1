"""Log configuration; each record carries the name of the component that wrote it."""

import sys
import traceback
from typing import TYPE_CHECKING, Literal

import msgspec
from loguru import logger

from sassafraspin.telemetry.line_writer import LineWriter

if TYPE_CHECKING:
    from loguru import Logger, Message

__all__ = ["JsonSink", "LogFormat", "configure_logs", "part_logger"]

LogFormat = Literal["text", "json"]

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level:<7} {extra[part]}: {message}"


def configure_logs(level: str, log_format: LogFormat) -> None:
    """Configure logging for the process.

    Text is written to standard error. JSON is written to standard output without
    blocking: lines are dropped if the reader is too slow or has closed the pipe.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    log_format : {"text", "json"}
        ``json`` writes one JSON object per line.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    if log_format == "json":
        writer = LineWriter(sys.stdout.fileno())
        logger.add(JsonSink(writer), level=level, format="", backtrace=False)
        return
    logger.add(sys.stderr, level=level, format=_TEXT_FORMAT, backtrace=False)


def part_logger(part: str) -> "Logger":
    """Return the logger of one component.

    Parameters
    ----------
    part : str
        Component name that prefixes each record, for example ``ledger``.

    Returns
    -------
    loguru.Logger
        Logger bound to the component name.
    """
    return logger.bind(part=part)


class JsonSink:
    """Loguru sink that writes each record as one JSON object.

    The object holds the time, the level, the component (``part``), the message
    (``text``) and the bound fields. If lines were dropped since the previous record,
    ``dropped_lines`` holds their number.
    """

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._reported_drops = 0

    def __call__(self, message: "Message") -> None:
        """Write one record."""
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
