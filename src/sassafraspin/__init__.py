"""A request scheduler for federations that share unlike model engines."""

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
    "Problem",
    "Profile",
    "SassafraspinError",
    "load_settings",
]
