"""Compression of configuration updates; tables and views repeat most of their bytes."""

import zlib

import msgspec

from sassafraspin.membership.messages import ConfigImage, ConfigTail, PackedUpdate

__all__ = ["InvalidUpdate", "pack_update", "unpack_update"]

_LEVEL = 1
_MAX_UNPACKED_BYTES = 64 * 1024 * 1024

_DECODER = msgspec.msgpack.Decoder(ConfigTail | ConfigImage)


class InvalidUpdate(ValueError):
    """A packed update cannot be decompressed or decoded."""


def pack_update(update: ConfigTail | ConfigImage) -> PackedUpdate:
    """Return the compressed form of an update."""
    data = zlib.compress(msgspec.msgpack.encode(update), _LEVEL)
    return PackedUpdate(update.last_index, data)


def unpack_update(packed: PackedUpdate) -> ConfigTail | ConfigImage:
    """Return the update in its original form; raises ``InvalidUpdate``."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed.data, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise InvalidUpdate(f"cannot decompress: {error}") from error
    if not decompressor.eof:
        raise InvalidUpdate("the compressed data is truncated or too large")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidUpdate(f"cannot decode: {error}") from error
