"""Request scheduler for heterogeneous model engines shared by several teams."""

from sassafraspin.clock import PROCESS_STARTED_AT, steady_time
from sassafraspin.deferred import deferred_attributes
from sassafraspin.errors import (
    CommandError,
    ExitCode,
    InvalidInput,
    Problem,
    SassafraspinError,
)

__all__ = [
    "CommandError",
    "DaemonSettings",
    "ExitCode",
    "InvalidInput",
    "MoveSpec",
    "PROCESS_STARTED_AT",
    "Problem",
    "Profile",
    "SassafraspinError",
    "load_settings",
    "steady_time",
]

__getattr__ = deferred_attributes(
    __name__,
    {
        "DaemonSettings": "sassafraspin.settings",
        "MoveSpec": "sassafraspin.moves",
        "Profile": "sassafraspin.profiles",
        "load_settings": "sassafraspin.settings",
    },
)
