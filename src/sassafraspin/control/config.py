"""Configuration that every instance applies, and its incremental updates."""

from collections import deque

from sassafraspin.control.commands import CommandOutcome, decode_command
from sassafraspin.control.state import VIEW_RETENTION_MS, ControlState
from sassafraspin.membership import (
    ConfigImage,
    ConfigTail,
    ConfigUpdate,
    InvalidUpdate,
    PackedUpdate,
    unpack_update,
)
from sassafraspin.telemetry import part_logger

__all__ = ["Configuration"]

_log = part_logger("control")

_RETAINED_COMMANDS = 1_000
_RETAINED_BYTES = 4 * 1024 * 1024

_MAX_TAIL_BYTES = 128 * 1024
"""Bytes of commands in one update, unless a single command is larger."""


class Configuration:
    """Applied state of the control log on one instance; its index never decreases.

    Control instances apply entries of their own log. All other instances apply the
    updates that control instances send.

    Parameters
    ----------
    view_retention_ms : int
        Time for which a view is retained after it was replaced, in milliseconds.
    """

    def __init__(self, view_retention_ms: int = VIEW_RETENTION_MS) -> None:
        self._view_retention_ms = view_retention_ms
        self._state = ControlState(view_retention_ms=view_retention_ms)
        self._recent_commands: deque[bytes | None] = deque()
        self._retained_bytes = 0
        self._image: ConfigImage | None = None
        self._tail: ConfigTail | None = None

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
        return self._retained_bytes

    def apply(self, index: int, data: bytes | None) -> CommandOutcome | None:
        """Apply the log entry at the next index; ignore entries already applied."""
        if index <= self._state.index:
            return None
        command = None if data is None else decode_command(data)
        outcome = self._state.apply(index, command)
        self._retain(data)
        return outcome

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state with a newer snapshot; an older snapshot is ignored."""
        if index <= self._state.index:
            return
        self._state = ControlState.from_bytes(index, data, self._view_retention_ms)
        self._recent_commands.clear()
        self._retained_bytes = 0
        self._tail = None

    def update_since(self, index: int) -> ConfigTail | ConfigImage | None:
        """Return an update for an instance at ``index``, ``None`` if it lacks nothing.

        The update is a log tail if that is short. Otherwise it is a snapshot, unless
        the log tail takes fewer bytes; then the update is the first part of the tail.
        """
        missing = self._state.index - index
        if missing <= 0:
            return None
        if missing > len(self._recent_commands):
            return self._current_image()
        tail = self._tail_from(index + 1)
        if tail.size <= _MAX_TAIL_BYTES:
            return tail
        image = self._current_image()
        if image.size <= tail.size:
            return image
        return ConfigTail(index + 1, _leading_commands(tail.commands))

    def apply_update(self, update: ConfigUpdate) -> None:
        """Apply an update; a log tail that would leave a gap is ignored."""
        match update:
            case PackedUpdate():
                self._apply_packed(update)
            case ConfigImage():
                self.restore(update.index, update.data)
            case ConfigTail():
                if update.first_index > self._state.index + 1:
                    return
                for offset, data in enumerate(update.commands):
                    self.apply(update.first_index + offset, data)

    def _apply_packed(self, packed: PackedUpdate) -> None:
        try:
            self.apply_update(unpack_update(packed))
        except InvalidUpdate as error:
            _log.warning("Ignored a configuration update: {}.", error)

    def _retain(self, data: bytes | None) -> None:
        """Retain a command for updates; drop the oldest ones above the limits."""
        commands = self._recent_commands
        commands.append(data)
        self._retained_bytes += _size(data)
        while len(commands) > 1 and (
            len(commands) > _RETAINED_COMMANDS or self._retained_bytes > _RETAINED_BYTES
        ):
            self._retained_bytes -= _size(commands.popleft())

    def _tail_from(self, first_index: int) -> ConfigTail:
        """Return all commands from an index on; most members lack the same ones."""
        tail = self._tail
        last_index = self._state.index
        if tail is None or (tail.first_index, tail.last_index) != (
            first_index,
            last_index,
        ):
            missing = last_index - first_index + 1
            tail = ConfigTail(first_index, tuple(self._recent_commands)[-missing:])
            self._tail = tail
        return tail

    def _current_image(self) -> ConfigImage:
        if self._image is None or self._image.index != self._state.index:
            self._image = ConfigImage(self._state.index, self._state.to_bytes())
        return self._image


def _size(data: bytes | None) -> int:
    return 0 if data is None else len(data)


def _leading_commands(commands: tuple[bytes | None, ...]) -> tuple[bytes | None, ...]:
    """Return the first command and those after it that fit into one update."""
    total = 0
    for count, data in enumerate(commands):
        total += _size(data)
        if count > 0 and total > _MAX_TAIL_BYTES:
            return commands[:count]
    return commands
