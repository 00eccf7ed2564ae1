"""Backend server on raw sockets that sends given bytes and then ends the connection."""

import enum
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from sassafraspin.settings import Address

__all__ = [
    "CHUNKED",
    "Ending",
    "Script",
    "ScriptedServer",
    "chunk",
    "read_request",
    "reset",
]

CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
"""Last header of a chunked answer, with the end of its head."""

_READ_BYTES = 65_536


class Ending(enum.Enum):
    """What happens to the connection after the last byte of an answer."""

    CLOSED = "closed"
    RESET = "reset"
    OPEN = "open"


@dataclass(frozen=True)
class Script:
    """One answer: its bytes, head included, and the end of its connection."""

    data: bytes
    ending: Ending = Ending.CLOSED


@dataclass
class ScriptedServer:
    """Listens on several ports and answers the requests of all of them in turn.

    Parameters
    ----------
    scripts : sequence of Script
        Answers in the order of the requests; the last one is repeated.
    port_count : int
        Number of ports on which it listens, each as if it were a server of its own.
    """

    scripts: Sequence[Script]
    port_count: int = 1
    addresses: list[Address] = field(default_factory=list)
    requests: list[bytes] = field(default_factory=list)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = []
        for _ in range(self.port_count):
            listeners += await trio.open_tcp_listeners(0, host="127.0.0.1")
        for listener in listeners:
            host, port = listener.socket.getsockname()
            self.addresses.append(Address(host, port))
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        while (request := await read_request(stream)) is not None:
            number = min(len(self.requests), len(self.scripts) - 1)
            self.requests.append(request)
            script = self.scripts[number]
            await stream.send_all(script.data)
            match script.ending:
                case Ending.CLOSED:
                    await stream.aclose()
                    return
                case Ending.RESET:
                    reset(stream)
                    return


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_request(stream: trio.SocketStream) -> bytes | None:
    """Return the head of the next request once its body was read, ``None`` at the end.

    The body must have a declared length.
    """
    received = b""
    while b"\r\n\r\n" not in received:
        try:
            data = await stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        if not data:
            return None
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += await stream.receive_some(_READ_BYTES)
    return head


def reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset in place of an orderly close."""
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()
