"""The configuration that every instance follows, and how it is brought up to date."""

from collections import deque

from sassafraspin.control.commands import CommandOutcome, decode_command
from sassafraspin.control.state import ControlState
from sassafraspin.membership import ConfigImage, ConfigTail, ConfigUpdate

__all__ = ["Configuration"]

_KEPT_COMMANDS = 1_000


class Configuration:
    """Applied state of the control log on one instance, never going back.

    Control instances feed it from their log, all others from updates.
    """

    def __init__(self) -> None:
        self._state = ControlState()
        self._recent: deque[bytes | None] = deque(maxlen=_KEPT_COMMANDS)

    @property
    def state(self) -> ControlState:
        """Return the applied state."""
        return self._state

    @property
    def index(self) -> int:
        """Return the log index of the last command applied."""
        return self._state.index

    def apply(self, index: int, data: bytes | None) -> CommandOutcome | None:
        """Apply the log entry at the next index; older ones are passed over."""
        if index <= self._state.index:
            return None
        command = None if data is None else decode_command(data)
        outcome = self._state.apply(index, command)
        self._recent.append(data)
        return outcome

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a newer snapshot; an older one is passed over."""
        if index <= self._state.index:
            return
        self._state = ControlState.from_bytes(index, data)
        self._recent.clear()

    def update_since(self, index: int) -> ConfigUpdate | None:
        """Return what an instance at ``index`` lacks, ``None`` if nothing.

        The log tail is sent as far back as it is kept, else a snapshot.
        """
        missing = self._state.index - index
        if missing <= 0:
            return None
        if missing <= len(self._recent):
            return ConfigTail(index + 1, tuple(self._recent)[-missing:])
        return ConfigImage(self._state.index, self._state.to_bytes())

    def take_update(self, update: ConfigUpdate) -> None:
        """Bring the state up to date; a tail that leaves a gap is dropped."""
        match update:
            case ConfigImage():
                self.restore(update.index, update.data)
            case ConfigTail():
                if update.first_index > self._state.index + 1:
                    return
                for offset, data in enumerate(update.commands):
                    self.apply(update.first_index + offset, data)
