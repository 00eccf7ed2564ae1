"""Store of all profiles with compare-and-set by version."""

from dataclasses import dataclass

from sassafraspin.profiles.profile import Profile

__all__ = [
    "ProfileChange",
    "ProfileConflict",
    "ProfileDecision",
    "ProfileStore",
    "ProfileUnchanged",
    "ProfileUpdated",
]

_MAX_VERSIONS_PER_PROFILE = 50


@dataclass(frozen=True)
class ProfileChange:
    """One accepted version of a profile.

    Parameters
    ----------
    profile : Profile
        Content of this version.
    operator : str
        Operator who made the change.
    change_id : str
        Unique ID of the change.
    at_ms : int
        Wall clock time at which it was proposed, in milliseconds since 1970.
    """

    profile: Profile
    operator: str
    change_id: str
    at_ms: int


@dataclass(frozen=True)
class ProfileUpdated:
    """The change was accepted."""

    change: ProfileChange


@dataclass(frozen=True)
class ProfileUnchanged:
    """The same content is already the current version."""

    change: ProfileChange


@dataclass(frozen=True)
class ProfileConflict:
    """The version is not the next one: it is already taken or skips a version.

    Parameters
    ----------
    current : ProfileChange or None
        The current version; ``None`` if the profile does not exist.
    """

    current: ProfileChange | None


ProfileDecision = ProfileUpdated | ProfileUnchanged | ProfileConflict


class ProfileStore:
    """Profiles by name, each with its most recent versions.

    A change is accepted only if its version follows the current one. Of two concurrent
    changes the first wins, and the other gets a conflict with the winning change. The
    current profile, sent again with its version, is reported as unchanged.
    """

    def __init__(self, history: tuple[ProfileChange, ...] = ()) -> None:
        self._history: dict[str, list[ProfileChange]] = {}
        for change in history:
            self._history.setdefault(change.profile.name, []).append(change)

    def put(self, change: ProfileChange) -> ProfileDecision:
        """Apply a change if its version is the next one."""
        current = self.current(change.profile.name)
        if current is not None and current.profile == change.profile:
            return ProfileUnchanged(current)
        next_version = 1 if current is None else current.profile.version + 1
        if change.profile.version != next_version:
            return ProfileConflict(current)
        versions = self._history.setdefault(change.profile.name, [])
        versions.append(change)
        del versions[:-_MAX_VERSIONS_PER_PROFILE]
        return ProfileUpdated(change)

    def current(self, name: str) -> ProfileChange | None:
        """Return the current version of a profile."""
        versions = self._history.get(name)
        return versions[-1] if versions else None

    def history(self, name: str) -> tuple[ProfileChange, ...]:
        """Return the retained versions of a profile, oldest first."""
        return tuple(self._history.get(name, ()))

    def all_current(self) -> tuple[ProfileChange, ...]:
        """Return the current version of each profile, by name."""
        return tuple(versions[-1] for _, versions in sorted(self._history.items()))

    def all_history(self) -> tuple[ProfileChange, ...]:
        """Return all retained versions, by name and version."""
        return tuple(
            change
            for _, versions in sorted(self._history.items())
            for change in versions
        )
