"""Opening of connections to servers."""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger

__all__ = [
    "Connector",
    "Dial",
    "DirectConnector",
    "ServerPath",
    "dial_tcp",
]

_PROBE_TIMEOUT_SECONDS = 0.1

Dial = Callable[[Address], Awaitable[trio.SocketStream]]
"""Opens a TCP connection to an address; raises ``OSError``."""

_log = part_logger("http")


async def dial_tcp(address: Address) -> trio.SocketStream:
    """Open a TCP connection; raises ``OSError`` if that fails."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    connection = trio.socket.socket(family)
    try:
        await connection.connect((address.host, address.port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


@dataclass(frozen=True)
class ServerPath:
    """An open connection to a server.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    relay : str or None
        Name of the instance through which it leads, ``None`` if it is direct.
    """

    stream: trio.SocketStream
    relay: str | None = None


class PooledConnection(Protocol):
    """What a connector needs to know of an idle connection."""

    address: Address
    relay: str | None
    received_at: float


class Connector(Protocol):
    """Opens connections to servers and says which open ones may still be used."""

    async def connect(self, address: Address) -> ServerPath:
        """Open a connection; raises ``OSError`` if that fails."""

    def may_reuse(self, connection: PooledConnection) -> bool:
        """Return whether an idle connection may be used for another request."""

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether no process listens on an address."""

    def has_lost_path(self, address: Address) -> bool:
        """Return whether this instance lost its own path to a server that is up."""


class DirectConnector:
    """Opens TCP connections to the servers themselves.

    Parameters
    ----------
    dial : Dial
        Opens a TCP connection.
    """

    def __init__(self, dial: Dial = dial_tcp) -> None:
        self._dial = dial

    async def connect(self, address: Address) -> ServerPath:
        """Open a connection; raises ``OSError`` if that fails."""
        return ServerPath(await self._dial(address))

    def may_reuse(self, connection: PooledConnection) -> bool:
        """Return that any idle connection may be used."""
        return True

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether no process listens on an address, by trying to connect.

        An address that does not respond in time counts as one that may listen.
        """
        with trio.move_on_after(_PROBE_TIMEOUT_SECONDS):
            try:
                stream = await self._dial(address)
            except ConnectionRefusedError:
                return True
            except OSError as error:
                _log.debug("Cannot probe {}: {}.", address, error.strerror)
            else:
                stream.socket.close()
        return False

    def has_lost_path(self, address: Address) -> bool:
        """Return False: without another path it cannot be told from the server."""
        return False
