"""Small messages as datagrams: cheap, unordered, and now and then lost."""

import socket
from collections.abc import Callable

import trio

from sassafraspin.settings import Address

__all__ = ["MAX_DATAGRAM_BYTES", "DatagramPort"]

MAX_DATAGRAM_BYTES = 1_200
"""Largest payload that fits one packet on any usual network."""

_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
_DATAGRAMS_PER_TURN = 64


class DatagramPort:
    """A UDP socket whose sends never wait.

    A datagram that the socket cannot take at once is dropped, as the network may do
    at any time; senders repeat what they need.

    Parameters
    ----------
    address : Address
        Address to receive on.
    handler : callable
        Called with the bytes of each datagram.
    """

    def __init__(self, address: Address, handler: Callable[[bytes], None]) -> None:
        self._address = address
        self._handler = handler
        self._socket: socket.socket | None = None
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many datagrams the socket did not take."""
        return self._dropped

    def open(self) -> None:
        """Bind the socket."""
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        opened.bind((self._address.host, self._address.port))
        self._socket = opened

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, host: str, port: int, data: bytes) -> None:
        """Send a datagram or drop it."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (host, port))
        except OSError:
            self._dropped += 1

    async def receive_forever(self) -> None:
        """Hand over datagrams until cancelled."""
        opened = self._socket
        assert opened is not None
        while True:
            await trio.lowlevel.wait_readable(opened)
            self._receive_some(opened)

    def _receive_some(self, opened: socket.socket) -> None:
        for _ in range(_DATAGRAMS_PER_TURN):
            try:
                data = opened.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._handler(data)
