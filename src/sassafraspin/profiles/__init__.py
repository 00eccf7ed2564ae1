"""Request profiles and their versioned changes by operators."""

from sassafraspin.profiles.profile import LOWEST_TIER, Profile
from sassafraspin.profiles.store import (
    ProfileChange,
    ProfileConflict,
    ProfileDecision,
    ProfileStore,
    ProfileUnchanged,
    ProfileUpdated,
)

__all__ = [
    "LOWEST_TIER",
    "Profile",
    "ProfileChange",
    "ProfileConflict",
    "ProfileDecision",
    "ProfileStore",
    "ProfileUnchanged",
    "ProfileUpdated",
]
