"""Monotonic clock of the daemons, and the start time of this process.

The package imports this module first, so that the start time is taken before the slow
imports.
"""

import time

__all__ = ["PROCESS_STARTED_AT", "steady_time"]


def steady_time() -> float:
    """Return monotonic seconds, including time in which the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


PROCESS_STARTED_AT = steady_time()
"""``steady_time`` at the start of this process.

An earlier process that used the same data folder had ended by then.
"""
