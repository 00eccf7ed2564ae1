"""Socket options of connections over which a lost peer must be noticed."""

import errno
import socket
import struct

import trio

__all__ = [
    "check_not_reset",
    "detect_lost_peer",
    "is_path_error",
    "limit_unread",
    "reset",
    "reset_on_close",
]

_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 3
_LOST_AFTER_MS = 2_000

_PATH_ERRORS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH))


def detect_lost_peer(stream: trio.SocketStream, lost_ms: int = _LOST_AFTER_MS) -> None:
    """Let the system end a connection whose peer machine acknowledges nothing.

    A process that is merely silent is not affected, as its system acknowledges what is
    sent to it and each keep-alive probe. Options that the system lacks are left out.
    """
    _set(stream, socket.SOL_SOCKET, "SO_KEEPALIVE", 1)
    _set(stream, socket.IPPROTO_TCP, "TCP_KEEPIDLE", _KEEPALIVE_SECONDS)
    _set(stream, socket.IPPROTO_TCP, "TCP_KEEPINTVL", _KEEPALIVE_SECONDS)
    _set(stream, socket.IPPROTO_TCP, "TCP_KEEPCNT", _KEEPALIVE_PROBES)
    limit_unread(stream, lost_ms)


def limit_unread(stream: trio.SocketStream, limit_ms: int) -> None:
    """Set how long bytes may stay unacknowledged, 0 for the limit of the system.

    On Linux it also limits how long a peer that acknowledges, but reads nothing, may
    leave its receive buffer full.
    """
    _set(stream, socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", limit_ms)


def reset_on_close(stream: trio.SocketStream, enabled: bool) -> None:
    """Set whether a close of the connection resets it and drops unsent bytes."""
    linger = struct.pack("ii", int(enabled), 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that its peer sees a reset instead of an orderly end."""
    try:
        reset_on_close(stream, True)
    except OSError:
        # The socket was closed before.
        return
    stream.socket.close()


def check_not_reset(stream: trio.SocketStream) -> None:
    """Raise ``BrokenResourceError`` if a connection was reset after its orderly end.

    Its peer has not read all that was sent to it. Reads report only the orderly end.
    """
    if stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise trio.BrokenResourceError("the connection was reset after its end")


def is_path_error(error: BaseException) -> bool:
    """Return whether a connection broke because its peer machine is out of reach."""
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in _PATH_ERRORS


def _set(stream: trio.SocketStream, level: int, name: str, value: int) -> None:
    option = getattr(socket, name, None)
    if option is not None:
        stream.socket.setsockopt(level, option, value)
