"""Frames that carry messages between instances, and their MessagePack codec."""

from typing import Any, Generic, TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ["Acknowledgement", "Frame", "MessageCodec", "RawCodec"]

M = TypeVar("M")


class Frame(msgspec.Struct, Generic[M], frozen=True, array_like=True):
    """Messages from one instance to another.

    Parameters
    ----------
    source : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender; increases with each start of the process.
    messages : list
        Messages in the order they were sent.
    """

    source: str
    incarnation: int
    messages: list[M]


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Number of frames received on this stream so far."""

    frames: int


class MessageCodec(Generic[M]):
    """Encodes and decodes frames of one message union as MessagePack.

    Parameters
    ----------
    message_type : type
        Union of tagged message structs.
    """

    def __init__(self, message_type: Any) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._last_message: M | None = None
        self._last_encoded = b""
        self._decoder = msgspec.msgpack.Decoder(Frame[message_type])
        self._ack_decoder = msgspec.msgpack.Decoder(Acknowledgement)

    def encode_message(self, message: M) -> bytes:
        """Return the bytes of a message.

        The last result is cached, because a message often goes to many peers.
        """
        if message is not self._last_message:
            self._last_encoded = self._encoder.encode(message)
            self._last_message = message
        return self._last_encoded

    def encode_frame(
        self, source: str, incarnation: int, messages: list[bytes]
    ) -> bytes:
        """Return the bytes of a frame with encoded messages."""
        raw = [msgspec.Raw(message) for message in messages]
        return self._encoder.encode(Frame(source, incarnation, raw))

    def encode_acknowledgement(self, acknowledgement: Acknowledgement) -> bytes:
        """Return the bytes of an acknowledgement."""
        return self._encoder.encode(acknowledgement)

    def decode_frame(self, data: bytes) -> Frame[M]:
        """Return the frame in ``data``; raises ``msgspec.DecodeError``."""
        return self._decoder.decode(data)

    def decode_acknowledgement(self, data: bytes) -> Acknowledgement:
        """Return the acknowledgement in ``data``."""
        return self._ack_decoder.decode(data)


class RawCodec(CodecBase):
    """grpclib codec that passes bytes through, since frames are already encoded."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: type) -> bytes:
        """Return ``message`` unchanged."""
        return message

    def decode(self, data: bytes, message_type: type) -> bytes:
        """Return ``data`` unchanged."""
        return data
