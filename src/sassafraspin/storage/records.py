"""Length-prefixed, checksummed records in an append-only file."""

import struct
from dataclasses import dataclass
from enum import StrEnum

import xxhash

__all__ = ["RecordScan", "ScanEnd", "frame_record", "scan_records"]


_HEADER = struct.Struct("<IQ")
"""Payload length in bytes, then a 64-bit checksum of the length and the payload."""


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
        ``TORN`` if the last record is damaged. An interrupted append leaves that: the
        file may lack any part of it, at its old length or at its new one. Damage to
        the last record that was stored looks the same.
        ``CORRUPT`` if a valid record follows the damage, so that the damaged one had
        been stored.
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
        payload = _payload_at(content, position)
        if payload is None:
            has_more = _has_record_after(content, position)
            end = ScanEnd.CORRUPT if has_more else ScanEnd.TORN
            return RecordScan(tuple(payloads), position, end)
        payloads.append(payload)
        position += _HEADER.size + len(payload)
    return RecordScan(tuple(payloads), position, ScanEnd.COMPLETE)


def _payload_at(content: bytes, position: int) -> bytes | None:
    """Return the payload of the record at a position, ``None`` if it is not valid."""
    start = position + _HEADER.size
    if start > len(content):
        return None
    length, checksum = _HEADER.unpack_from(content, position)
    if start + length > len(content):
        return None
    payload = content[start : start + length]
    return payload if _checksum(payload) == checksum else None


def _has_record_after(content: bytes, position: int) -> bool:
    """Return whether a valid record starts anywhere after a position.

    The length of the damaged record may be damaged too.
    """
    return any(
        _payload_at(content, start) is not None
        for start in range(position + 1, len(content) - _HEADER.size + 1)
    )


def _checksum(payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(struct.pack("<I", len(payload)) + payload)
