"""Memory of this process, and the schedule of its reports."""

import os
from pathlib import Path

__all__ = ["ReportSchedule", "resident_bytes"]

_INTERVAL_SECONDS = 5.0

_GROWTH_BYTES = 16 * 1024 * 1024
"""Growth since the last report that is reported without waiting for the interval."""

_MIN_INTERVAL_SECONDS = 0.5

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
        self._reported_at = now
        self._reported_bytes = 0

    def is_due(self, resident: int, now: float) -> bool:
        """Return whether to report now, and record the report if so.

        Parameters
        ----------
        resident : int
            Resident memory in bytes.
        now : float
            Monotonic time in seconds.
        """
        elapsed = now - self._reported_at
        has_grown = resident - self._reported_bytes >= _GROWTH_BYTES
        if elapsed < _INTERVAL_SECONDS and not (
            has_grown and elapsed >= _MIN_INTERVAL_SECONDS
        ):
            return False
        self._reported_at = now
        self._reported_bytes = resident
        return True
