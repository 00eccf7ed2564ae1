"""Request and reply that open a tunnel."""

import enum

import msgspec
import trio

from sassafraspin.errors import RemoteFailure

__all__ = [
    "BadFrame",
    "TunnelReply",
    "TunnelRequest",
    "encode_reply",
    "encode_request",
    "receive_reply",
    "receive_request",
]

_LENGTH_BYTES = 1


class BadFrame(RemoteFailure):
    """The peer sent no valid frame."""


class TunnelRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a connection to a backend server.

    ``connect_ms`` is the time limit for opening it.
    """

    host: str
    port: int
    connect_ms: int


class TunnelReply(enum.IntEnum):
    """Result of a request for a tunnel; bytes are copied only after ``CONNECTED``.

    The relay reaches other servers if it answers ``TARGET_REFUSED`` (the server refused
    the connection) or ``TARGET_UNREACHABLE``; it does not after ``NO_PATH``. ``DENIED``
    means that it does not know the server, is stopping or has too many tunnels.
    """

    CONNECTED = 0
    TARGET_REFUSED = 1
    TARGET_UNREACHABLE = 2
    NO_PATH = 3
    DENIED = 4


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(TunnelRequest)


def encode_request(request: TunnelRequest) -> bytes:
    """Return a request as its length in one byte and its MessagePack encoding."""
    data = _encoder.encode(request)
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


def encode_reply(reply: TunnelReply) -> bytes:
    """Return a reply as one byte."""
    return bytes((reply,))


async def receive_request(stream: trio.abc.ReceiveStream) -> TunnelRequest:
    """Read one request and no byte after it; raises ``BadFrame``."""
    length = int.from_bytes(await _receive_exactly(stream, _LENGTH_BYTES), "big")
    data = await _receive_exactly(stream, length)
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise BadFrame(f"invalid tunnel request: {error}") from error


async def receive_reply(stream: trio.abc.ReceiveStream) -> TunnelReply:
    """Read one reply and no byte after it; raises ``BadFrame``."""
    (value,) = await _receive_exactly(stream, 1)
    try:
        return TunnelReply(value)
    except ValueError as error:
        raise BadFrame(f"invalid tunnel reply: {error}") from error


async def _receive_exactly(stream: trio.abc.ReceiveStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        part = await stream.receive_some(count - len(data))
        if not part:
            raise BadFrame("the connection ended inside a tunnel frame")
        data += part
    return data
