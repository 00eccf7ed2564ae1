"""Log output: short sentences with a fixed prefix for each part."""

import sys
from typing import TYPE_CHECKING, Literal

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

__all__ = ["LogFormat", "configure_logs", "part_logger"]

LogFormat = Literal["text", "json"]

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level:<7} {extra[part]}: {message}"


def configure_logs(level: str, log_format: LogFormat) -> None:
    """Send log records at ``level`` and above to the standard error stream.

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
        logger.add(sys.stderr, level=level, serialize=True, backtrace=False)
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
