"""Configuration that every instance applies, and its incremental updates."""

from collections import deque

from sassafraspin.control.commands import CommandOutcome, decode_command
from sassafraspin.control.state import ControlState
from sassafraspin.membership import ConfigImage, ConfigTail, ConfigUpdate

__all__ = ["Configuration"]

_RETAINED_COMMANDS = 1_000


class Configuration:
    """Applied state of the control log on one instance; its index never decreases.

    Control instances apply entries of their own log. All other instances apply the
    updates that control instances send.
    """

    def __init__(self) -> None:
        self._state = ControlState()
        self._recent_commands: deque[bytes | None] = deque(maxlen=_RETAINED_COMMANDS)

    @property
    def state(self) -> ControlState:
        """Return the applied state."""
        return self._state

    @property
    def index(self) -> int:
        """Return the index of the last log entry applied."""
        return self._state.index

    @property
    def retained_bytes(self) -> int:
        """Return the bytes of the commands retained for updates."""
        return sum(len(data) for data in self._recent_commands if data is not None)

    def apply(self, index: int, data: bytes | None) -> CommandOutcome | None:
        """Apply the log entry at the next index; ignore entries already applied."""
        if index <= self._state.index:
            return None
        command = None if data is None else decode_command(data)
        outcome = self._state.apply(index, command)
        self._recent_commands.append(data)
        return outcome

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state with a newer snapshot; an older snapshot is ignored."""
        if index <= self._state.index:
            return
        self._state = ControlState.from_bytes(index, data)
        self._recent_commands.clear()

    def update_since(self, index: int) -> ConfigUpdate | None:
        """Return the update for an instance at ``index``, ``None`` if it lacks nothing.

        The update is the log tail if the tail is still retained, else a snapshot.
        """
        missing = self._state.index - index
        if missing <= 0:
            return None
        if missing <= len(self._recent_commands):
            return ConfigTail(index + 1, tuple(self._recent_commands)[-missing:])
        return ConfigImage(self._state.index, self._state.to_bytes())

    def apply_update(self, update: ConfigUpdate) -> None:
        """Apply an update; a log tail that would leave a gap is ignored."""
        match update:
            case ConfigImage():
                self.restore(update.index, update.data)
            case ConfigTail():
                if update.first_index > self._state.index + 1:
                    return
                for offset, data in enumerate(update.commands):
                    self.apply(update.first_index + offset, data)
