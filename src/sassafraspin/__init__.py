"""Request scheduler for heterogeneous model engines shared by several teams."""

from sassafraspin.clock import PROCESS_STARTED_AT, steady_time
from sassafraspin.errors import (
    CommandError,
    ExitCode,
    InvalidInput,
    Problem,
    SassafraspinError,
)
from sassafraspin.moves import MoveSpec
from sassafraspin.profiles import Profile
from sassafraspin.settings import DaemonSettings, load_settings

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
