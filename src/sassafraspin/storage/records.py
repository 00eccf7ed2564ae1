"""Length-prefixed, checksummed records in an append-only file."""

import struct
from dataclasses import dataclass
from enum import StrEnum

import xxhash

__all__ = ["RecordScan", "ScanEnd", "frame_record", "scan_records"]


_HEADER = struct.Struct("<IQ")
"""Payload length in bytes, then a 64-bit checksum of the length and the payload."""

MAX_RECORD_BYTES = 64 * 1024 * 1024


class ScanEnd(StrEnum):
    """How the scan of a file of records ended."""

    COMPLETE = "whole"
    TORN = "torn"
    CORRUPT = "corrupt"


@dataclass(frozen=True)
class RecordScan:
    """Records read from a file.

    Parameters
    ----------
    payloads : tuple of bytes
        Payloads of the valid records before the first fault.
    valid_bytes : int
        Total length of the valid records, in bytes.
    end : ScanEnd
        ``TORN`` if the file ends within a record, or if only zero bytes follow the
        valid records. A crash during an append can leave either: the file may have
        grown before its data was synced. A damaged length that exceeds the rest of
        the file is ``TORN`` too.
        ``CORRUPT`` if a checksum does not match or a length exceeds
        ``MAX_RECORD_BYTES``. This is taken as damage to stored records, not as an
        interrupted append.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    end: ScanEnd


def frame_record(payload: bytes) -> bytes:
    """Return ``payload`` with its length and checksum header."""
    return _HEADER.pack(len(payload), _checksum(payload)) + payload


def scan_records(content: bytes) -> RecordScan:
    """Parse the records of a file up to its end or the first fault."""
    payloads: list[bytes] = []
    position = 0
    while position < len(content):
        rest = len(content) - position
        if rest < _HEADER.size or not any(content[position:]):
            return RecordScan(tuple(payloads), position, ScanEnd.TORN)
        length, checksum = _HEADER.unpack_from(content, position)
        if length > MAX_RECORD_BYTES:
            return RecordScan(tuple(payloads), position, ScanEnd.CORRUPT)
        if rest < _HEADER.size + length:
            return RecordScan(tuple(payloads), position, ScanEnd.TORN)
        start = position + _HEADER.size
        payload = content[start : start + length]
        if _checksum(payload) != checksum:
            return RecordScan(tuple(payloads), position, ScanEnd.CORRUPT)
        payloads.append(payload)
        position = start + length
    return RecordScan(tuple(payloads), position, ScanEnd.COMPLETE)


def _checksum(payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack("<I", len(payload)) + payload)
