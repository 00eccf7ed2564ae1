"""Length-prefixed, checksummed records in an append-only file."""

import struct
from dataclasses import dataclass
from enum import StrEnum

import xxhash

__all__ = ["RecordScan", "ScanEnd", "frame_record", "scan_records"]


_HEADER = struct.Struct("<IQ")
"""Payload length in bytes, then the payload's 64-bit checksum."""

MAX_RECORD_BYTES = 64 * 1024 * 1024


class ScanEnd(StrEnum):
    """Result of scanning a file of records."""

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
        ``TORN`` if the last record is incomplete, as after a crash before the sync.
        ``CORRUPT`` if a checksum or length is invalid, which no crash explains.
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
