"""Durable storage in a data folder."""

from sassafraspin.storage.files import (
    DataFolder,
    DiskFull,
    DiskReadOnly,
    Files,
    StorageError,
)
from sassafraspin.storage.records import (
    RecordScan,
    ScanEnd,
    frame_record,
    scan_records,
)

__all__ = [
    "DataFolder",
    "DiskFull",
    "DiskReadOnly",
    "Files",
    "RecordScan",
    "ScanEnd",
    "StorageError",
    "frame_record",
    "scan_records",
]
