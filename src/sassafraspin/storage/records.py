"""Records with checksums in an append-only file."""

import struct
from dataclasses import dataclass
from enum import StrEnum

import xxhash

__all__ = ["RecordScan", "ScanEnd", "frame_record", "scan_records"]


_HEADER = struct.Struct("<IQ")
"""Payload length in bytes, then the payload's 64-bit checksum."""

MAX_RECORD_BYTES = 64 * 1024 * 1024


class ScanEnd(StrEnum):
    """How a scan of records ended."""

    WHOLE = "whole"
    TORN = "torn"
    CORRUPT = "corrupt"


@dataclass(frozen=True)
class RecordScan:
    """Records read from a file.

    Parameters
    ----------
    payloads : tuple of bytes
        Payloads of the good records before the first fault.
    good_bytes : int
        Length of the good records, in bytes.
    end : ScanEnd
        ``TORN`` if the last record was not written to its end, which a crash
        before its sync explains; ``CORRUPT`` if a checksum fails, which it does
        not.
    """

    payloads: tuple[bytes, ...]
    good_bytes: int
    end: ScanEnd


def frame_record(payload: bytes) -> bytes:
    """Return the bytes that hold ``payload`` in a file."""
    return _HEADER.pack(len(payload), _checksum(payload)) + payload


def scan_records(content: bytes) -> RecordScan:
    """Read the records of a file up to its end or the first fault."""
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
    return RecordScan(tuple(payloads), position, ScanEnd.WHOLE)


def _checksum(payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack("<I", len(payload)) + payload)
