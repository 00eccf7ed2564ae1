"""Memory of this process, and the schedule of its reports."""

import os
from pathlib import Path

__all__ = ["ReportSchedule", "resident_bytes"]

_INTERVAL_SECONDS = 5.0

_GROWTH_BYTES = 16 * 1024 * 1024
"""Growth since the last report that is reported without waiting for the interval."""

_CHECK_SECONDS = 0.5
"""Interval at which the memory is read."""

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process; raises ``OSError``."""
    return int(_STATM.read_text().split()[1]) * _PAGE_BYTES


class ReportSchedule:
    """Decides when resource usage is reported.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._next_check_at = now + _CHECK_SECONDS
        self._reported_at = now
        self._reported_bytes = 0

    def is_check_due(self, now: float) -> bool:
        """Return whether to read the memory now, and schedule the next time."""
        if now < self._next_check_at:
            return False
        self._next_check_at = now + _CHECK_SECONDS
        return True

    def is_due(self, resident: int, now: float) -> bool:
        """Return whether to report now, and record the report if so.

        Parameters
        ----------
        resident : int
            Resident memory in bytes.
        now : float
            Monotonic time in seconds.
        """
        has_grown = resident - self._reported_bytes >= _GROWTH_BYTES
        if not has_grown and now - self._reported_at < _INTERVAL_SECONDS:
            return False
        self._reported_at = now
        self._reported_bytes = resident
        return True
