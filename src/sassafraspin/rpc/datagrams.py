"""Datagram transport for small messages, unordered and without delivery guarantee."""

import socket
from collections.abc import Callable

import trio

from sassafraspin.settings import Address

__all__ = ["MAX_DATAGRAM_BYTES", "DatagramSocket"]

MAX_DATAGRAM_BYTES = 1_200
"""Largest payload that fits one packet on common networks."""

_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
_MAX_DATAGRAMS_PER_WAKEUP = 64


class DatagramSocket:
    """A non-blocking UDP socket.

    A datagram that cannot be sent immediately is dropped. The network may lose
    datagrams too, so senders repeat messages that matter.

    Parameters
    ----------
    address : Address
        Address to bind to.
    handler : callable
        Called with the payload of each datagram.
    """

    def __init__(self, address: Address, handler: Callable[[bytes], None]) -> None:
        self._address = address
        self._handler = handler
        self._socket: socket.socket | None = None
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of datagrams dropped because they could not be sent."""
        return self._dropped

    def open(self) -> None:
        """Bind the socket."""
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        sock.bind((self._address.host, self._address.port))
        self._socket = sock

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, host: str, port: int, data: bytes) -> None:
        """Send a datagram, or drop it if it cannot be sent immediately.

        While the socket is not open, datagrams are dropped without being counted.
        """
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (host, port))
        except OSError:
            self._dropped += 1

    async def receive_loop(self) -> None:
        """Pass received datagrams to the handler until cancelled."""
        sock = self._socket
        assert sock is not None
        while True:
            await trio.lowlevel.wait_readable(sock)
            self._receive_batch(sock)

    def _receive_batch(self, sock: socket.socket) -> None:
        for _ in range(_MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._handler(data)
