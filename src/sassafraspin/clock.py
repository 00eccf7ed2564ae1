"""Clock of the daemons, and when this process began.

The package imports this module first, so that the beginning is noted before the
slow imports.
"""

import time

__all__ = ["PROCESS_STARTED_AT", "steady_time"]


def steady_time() -> float:
    """Return seconds of a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


PROCESS_STARTED_AT = steady_time()
"""Time of ``steady_time`` at which this process began; an earlier process on the same
disk had ended by then."""
