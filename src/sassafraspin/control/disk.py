"""A control replica's disk: the log, the snapshot and the disk's identity."""

import uuid

import msgspec

from sassafraspin.control.effects import AppendToDisk, SaveSnapshot, SaveTerm
from sassafraspin.control.log import EMPTY_SNAPSHOT, ReplicatedLog
from sassafraspin.control.messages import Entry, Snapshot
from sassafraspin.control.replica import ReplicaImage
from sassafraspin.storage import Files, ScanEnd, frame_record, scan_records
from sassafraspin.telemetry import part_logger

__all__ = ["ReplicaDisk"]

_LOG_FILE = "control.log"
_SNAPSHOT_FILE = "control.snapshot"

_log = part_logger("storage")


class _DiskIdentity(msgspec.Struct, frozen=True, tag="identity"):
    disk_id: str


class _TermRecord(msgspec.Struct, frozen=True, tag="term"):
    term: int
    voted_for: str | None


class _EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    first_index: int
    entries: tuple[Entry, ...]


_Record = _DiskIdentity | _TermRecord | _EntriesRecord

_DECODER = msgspec.msgpack.Decoder(_Record)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_ENCODER = msgspec.msgpack.Encoder()


class ReplicaDisk:
    """Keeps what a replica must not forget.

    A log that is torn at its end is cut there: the record was never acknowledged.
    Any other damage makes the disk a new one with another identity, so that the
    replica comes back as a learner instead of voting on what it lost.

    Parameters
    ----------
    files : Files
        The data folder.
    """

    def __init__(self, files: Files) -> None:
        self._files = files
        self._image = self._load() or self._start_over()

    @property
    def image(self) -> ReplicaImage:
        """Return what the disk held when it was opened."""
        return self._image

    def save_term(self, effect: SaveTerm) -> None:
        """Make the term and vote durable."""
        self._append(_TermRecord(effect.term, effect.voted_for))

    def append(self, effect: AppendToDisk) -> None:
        """Make entries durable."""
        self._append(_EntriesRecord(effect.first_index, effect.entries))

    def save_snapshot(self, effect: SaveSnapshot, term: SaveTerm) -> None:
        """Make a snapshot durable and drop the log before it.

        A crash between the two files leaves the new snapshot with the old log,
        whose older entries are passed over when loading.
        """
        snapshot = frame_record(_ENCODER.encode(effect.snapshot))
        self._files.replace(_SNAPSHOT_FILE, snapshot)
        records = (
            _DiskIdentity(self._image.disk_id),
            _TermRecord(term.term, term.voted_for),
            _EntriesRecord(effect.snapshot.index + 1, effect.entries),
        )
        content = b"".join(frame_record(_ENCODER.encode(item)) for item in records)
        self._files.replace(_LOG_FILE, content)

    def _append(self, record: _Record) -> None:
        self._files.append(_LOG_FILE, frame_record(_ENCODER.encode(record)))

    def _start_over(self) -> ReplicaImage:
        image = ReplicaImage(disk_id=uuid.uuid4().hex)
        identity = frame_record(_ENCODER.encode(_DiskIdentity(image.disk_id)))
        self._files.remove(_SNAPSHOT_FILE)
        self._files.replace(_LOG_FILE, identity)
        return image

    def _load(self) -> ReplicaImage | None:
        content = self._files.read(_LOG_FILE)
        if content is None:
            return None
        scan = scan_records(content)
        snapshot = self._load_snapshot()
        if scan.end is ScanEnd.CORRUPT or snapshot is None:
            _log.error("The disk is damaged. This replica starts as a learner.")
            return None
        if scan.end is ScanEnd.TORN:
            _log.warning("Cut a record that was not written to its end.")
            self._files.replace(_LOG_FILE, content[: scan.good_bytes])
        return _image_of(scan.payloads, snapshot)

    def _load_snapshot(self) -> Snapshot | None:
        content = self._files.read(_SNAPSHOT_FILE)
        if content is None:
            return EMPTY_SNAPSHOT
        scan = scan_records(content)
        if scan.end is not ScanEnd.WHOLE or len(scan.payloads) != 1:
            return None
        try:
            return _SNAPSHOT_DECODER.decode(scan.payloads[0])
        except msgspec.DecodeError:
            return None


def _image_of(payloads: tuple[bytes, ...], snapshot: Snapshot) -> ReplicaImage | None:
    """Return what the records say, or ``None`` if they contradict each other."""
    disk_id = None
    term = SaveTerm(0, None)
    log = ReplicatedLog(snapshot)
    for payload in payloads:
        try:
            record = _DECODER.decode(payload)
        except msgspec.DecodeError:
            return None
        match record:
            case _DiskIdentity():
                disk_id = record.disk_id
            case _TermRecord():
                term = SaveTerm(record.term, record.voted_for)
            case _EntriesRecord():
                if record.first_index > log.last_index + 1:
                    return None
                _replay(log, record)
    if disk_id is None:
        return None
    entries = log.entries_from(snapshot.index + 1)
    return ReplicaImage(disk_id, term.term, term.voted_for, snapshot, entries)


def _replay(log: ReplicatedLog, record: _EntriesRecord) -> None:
    """Write a record's entries, passing over those that the snapshot covers."""
    covered = max(0, log.snapshot.index + 1 - record.first_index)
    log.write(record.first_index + covered, record.entries[covered:])
