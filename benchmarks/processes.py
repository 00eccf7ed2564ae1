"""CPU time and memory of processes, read from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["ProcessUsage", "read_usage"]

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class ProcessUsage:
    """CPU time of a process since its start, and its resident memory."""

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the current resource usage of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(stat[11]), int(stat[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage((user + system) / _TICKS_PER_SECOND, pages * _PAGE_BYTES)
