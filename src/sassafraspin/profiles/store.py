"""Aggregate of all profiles: compare-and-set by version."""

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

_HISTORY_PER_PROFILE = 50


@dataclass(frozen=True)
class ProfileChange:
    """One accepted version of a profile.

    Parameters
    ----------
    profile : Profile
        Content of the version.
    operator : str
        Who made the change.
    change_id : str
        Identity of the change.
    at_ms : int
        Wall clock time of acceptance, in milliseconds since 1970.
    """

    profile: Profile
    operator: str
    change_id: str
    at_ms: int


@dataclass(frozen=True)
class ProfileUpdated:
    """The change is accepted."""

    change: ProfileChange


@dataclass(frozen=True)
class ProfileUnchanged:
    """The same content is already the current version."""

    change: ProfileChange


@dataclass(frozen=True)
class ProfileConflict:
    """Another change holds the version, or a version was left out.

    Parameters
    ----------
    current : ProfileChange or None
        The change in force; ``None`` when the profile does not exist.
    """

    current: ProfileChange | None


ProfileDecision = ProfileUpdated | ProfileUnchanged | ProfileConflict


class ProfileStore:
    """Profiles by name, each with its latest versions.

    A put is accepted only if it names the version after the current one. That
    decides a race between operators: the first one wins, the other one is told of
    the winner.
    """

    def __init__(self, history: tuple[ProfileChange, ...] = ()) -> None:
        self._history: dict[str, list[ProfileChange]] = {}
        for change in history:
            self._history.setdefault(change.profile.name, []).append(change)

    def put(self, change: ProfileChange) -> ProfileDecision:
        """Accept or refuse a change."""
        current = self.current(change.profile.name)
        if current is not None and current.profile == change.profile:
            return ProfileUnchanged(current)
        next_version = 1 if current is None else current.profile.version + 1
        if change.profile.version != next_version:
            return ProfileConflict(current)
        versions = self._history.setdefault(change.profile.name, [])
        versions.append(change)
        del versions[:-_HISTORY_PER_PROFILE]
        return ProfileUpdated(change)

    def current(self, name: str) -> ProfileChange | None:
        """Return the change in force for a profile."""
        versions = self._history.get(name)
        return versions[-1] if versions else None

    def history(self, name: str) -> tuple[ProfileChange, ...]:
        """Return the kept versions of a profile, oldest first."""
        return tuple(self._history.get(name, ()))

    def all_current(self) -> tuple[ProfileChange, ...]:
        """Return the change in force of each profile, by name."""
        return tuple(versions[-1] for _, versions in sorted(self._history.items()))

    def all_history(self) -> tuple[ProfileChange, ...]:
        """Return every kept change, by name and version."""
        return tuple(
            change
            for _, versions in sorted(self._history.items())
            for change in versions
        )
