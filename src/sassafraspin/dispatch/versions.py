"""Which version of a service a request is shown."""

from sassafraspin.dispatch.messages import SlotRelease, SlotRequest

__all__ = ["VersionGate"]


class VersionGate:
    """Shows every request the version in force.

    Parameters
    ----------
    current_version : str
        Version in force.
    """

    def __init__(self, current_version: str) -> None:
        self._current_version = current_version

    @property
    def current_version(self) -> str:
        """Return the version in force."""
        return self._current_version

    def choose_version(self, request: SlotRequest, now: float) -> str:
        """Return the version that a request is shown."""
        return self._current_version

    def note_start(self, version: str, request: SlotRequest, now: float) -> None:
        """Record that a request is sent to a version."""

    def note_end(
        self, version: str, request: SlotRequest, release: SlotRelease, now: float
    ) -> None:
        """Record how a request to a version ended."""
