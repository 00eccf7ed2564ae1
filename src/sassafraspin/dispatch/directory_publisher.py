"""What a dispatcher has to publish of its backend servers."""

from collections.abc import KeysView

from sassafraspin.backends import Announcement, Backend
from sassafraspin.dispatch.directory import BackendDirectory, ServerState
from sassafraspin.dispatch.directory_messages import DirectoryUpdate, split_updates

__all__ = ["DirectoryPublisher"]

_MS_PER_SECOND = 1000

_COLD_TOLERANCE_MS = 500
"""Difference between the actual and the published cold time above which it is published
again: a server may turn cold, or stay so for longer, at any moment."""

_REFRESH_SECONDS = 1.0
"""Interval at which a dispatcher confirms the servers in its own directory."""


class DirectoryPublisher:
    """Finds what a dispatcher has to publish: what its own directory lacks.

    A dispatcher starts from the directory that its predecessor published, so that
    nothing is sent for a change of the dispatcher alone.

    Parameters
    ----------
    directory : BackendDirectory
        The directory of this instance; updated with what is published.
    """

    def __init__(self, directory: BackendDirectory) -> None:
        self._directory = directory
        self._own: dict[str, int] = {}
        # What was compared last, and found not to differ. Most servers do not change
        # from one tick to the next.
        self._compared: dict[str, tuple[ServerState, Announcement]] = {}
        self._next_refresh_at = float("-inf")

    def updates(
        self, backends: tuple[Backend, ...], now: float
    ) -> list[DirectoryUpdate]:
        """Apply what has changed to the directory and return it for the others."""
        changed = [
            state.to_announcement()
            for state in (_state(backend, now) for backend in backends)
            if self._lacks(state, now)
        ]
        own = {
            backend.announcement.id: backend.announcement.incarnation
            for backend in backends
        }
        updates = split_updates(changed)
        gone = self._gone(own.keys())
        if gone:
            updates.append(DirectoryUpdate((), gone))
            for backend_id in gone:
                self._compared.pop(backend_id, None)
        self._own = own
        for update in updates:
            self._directory.apply(update, now)
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + _REFRESH_SECONDS
            self._directory.refresh(own.keys(), now)
        return updates

    def stop(self) -> None:
        """Forget this dispatcher's servers: another one publishes from now on."""
        self._own = {}
        self._compared = {}

    def _lacks(self, state: ServerState, now: float) -> bool:
        """Return whether the directory does not have this or a later state."""
        backend_id = state.announcement.id
        known = self._directory.find(backend_id)
        if known is None:
            return True
        if known.order > state.announcement.order:
            return False
        cold_ms = self._directory.cold_ms(backend_id, now)
        if abs(state.cold_ms - cold_ms) > _COLD_TOLERANCE_MS:
            return True
        if bool(state.cold_ms) != bool(known.cold_ms):
            return True
        if self._compared.get(backend_id) == (state, known):
            return False
        if state.differs(known):
            return True
        self._compared[backend_id] = state, known
        return False

    def _gone(self, names: KeysView[str]) -> dict[str, int]:
        """Return the servers to remove, with their incarnations.

        Servers that leave, and that this dispatcher never had, end by themselves.
        """
        known = {**self._directory.incarnations(), **self._own}
        return {name: known[name] for name in known.keys() - names}


def _state(backend: Backend, now: float) -> ServerState:
    """Return the announcement with what the dispatcher knows of the server."""
    announcement, speed = backend.announcement, backend.speed
    leaving = announcement.leaving or backend.is_withdrawn
    return ServerState(
        announcement,
        leaving,
        speed.prefill_rate,
        speed.decode_rate,
        backend.named_rate_limit,
        backend.pace.published_limit,
        int(backend.cold_seconds(now) * _MS_PER_SECOND),
        backend.pace.tolerance,
    )
