"""Durable state of a control replica: log, snapshot and disk identity."""

import uuid

import msgspec

from sassafraspin.control.effects import AppendToDisk, SaveSnapshot, SaveTerm
from sassafraspin.control.log import EMPTY_SNAPSHOT, ReplicatedLog
from sassafraspin.control.messages import Entry, Snapshot
from sassafraspin.control.replica import PersistentState
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
    """Stores the durable state of a replica.

    An incomplete record at the end of the log is discarded: a crash interrupted its
    write, so it was never acknowledged. After any other corruption the log and the
    snapshot are discarded and the disk gets a new identity. The replica rejoins as a
    learner: its votes count only after the new identity was added to the voters,
    because it may have lost entries and votes stored under the old identity.

    The log is written anew whenever it is opened: bytes that were written, but not
    synced, can be read back and are still lost with the power.

    Parameters
    ----------
    files : Files
        The data folder.
    """

    def __init__(self, files: Files) -> None:
        self._files = files
        self._synced_bytes: int | None = None
        self._persistent_state = self._open()

    @property
    def persistent_state(self) -> PersistentState:
        """Return the state that was on the disk when it was opened."""
        return self._persistent_state

    def reload(self) -> PersistentState:
        """Read the durable state back after a ``StorageError``.

        Bytes of a failed append are cut off. Raises ``StorageError`` while the disk
        refuses writes.
        """
        self._persistent_state = self._open()
        return self._persistent_state

    def save_term(self, effect: SaveTerm) -> None:
        """Write the term and the vote durably."""
        self._append(_TermRecord(effect.term, effect.voted_for))

    def append(self, effect: AppendToDisk) -> None:
        """Write log entries durably."""
        self._append(_EntriesRecord(effect.first_index, effect.entries))

    def save_snapshot(self, effect: SaveSnapshot, term: SaveTerm) -> None:
        """Write a snapshot durably, then remove the entries it covers from the log.

        A crash between the two writes leaves the new snapshot with the old log.
        Loading then skips the log entries that the snapshot covers.
        """
        snapshot = frame_record(_ENCODER.encode(effect.snapshot))
        self._files.replace(_SNAPSHOT_FILE, snapshot)
        records = (
            _DiskIdentity(self._persistent_state.disk_id),
            _TermRecord(term.term, term.voted_for),
            _EntriesRecord(effect.snapshot.index + 1, effect.entries),
        )
        content = b"".join(frame_record(_ENCODER.encode(item)) for item in records)
        self._synced_bytes = None
        self._replace_log(content)

    def _append(self, record: _Record) -> None:
        assert self._synced_bytes is not None
        data = frame_record(_ENCODER.encode(record))
        self._files.append(_LOG_FILE, data)
        self._synced_bytes += len(data)

    def _replace_log(self, content: bytes) -> None:
        self._files.replace(_LOG_FILE, content)
        self._synced_bytes = len(content)

    def _open(self) -> PersistentState:
        return self._load() or self._initialize()

    def _initialize(self) -> PersistentState:
        persistent_state = PersistentState(disk_id=uuid.uuid4().hex)
        identity = frame_record(
            _ENCODER.encode(_DiskIdentity(persistent_state.disk_id))
        )
        self._synced_bytes = None
        self._files.remove(_SNAPSHOT_FILE)
        self._replace_log(identity)
        return persistent_state

    def _load(self) -> PersistentState | None:
        content = self._files.read(_LOG_FILE)
        if content is None:
            return None
        scan = scan_records(content[: self._synced_bytes])
        snapshot = self._load_snapshot()
        if scan.end is ScanEnd.CORRUPT or snapshot is None:
            _log.error(
                "Control log or snapshot is corrupt; discarding both and rejoining "
                "as a learner."
            )
            return None
        if scan.end is ScanEnd.TORN:
            _log.warning(
                "Discarding an incomplete record at the end of the control log."
            )
        state = _rebuild_state(scan.payloads, snapshot)
        if state is not None:
            self._replace_log(content[: scan.valid_bytes])
        return state

    def _load_snapshot(self) -> Snapshot | None:
        content = self._files.read(_SNAPSHOT_FILE)
        if content is None:
            return EMPTY_SNAPSHOT
        scan = scan_records(content)
        if scan.end is not ScanEnd.COMPLETE or len(scan.payloads) != 1:
            return None
        try:
            return _SNAPSHOT_DECODER.decode(scan.payloads[0])
        except msgspec.DecodeError:
            return None


def _rebuild_state(
    payloads: tuple[bytes, ...], snapshot: Snapshot
) -> PersistentState | None:
    """Rebuild the replica state from log records.

    Returns ``None`` if a record cannot be decoded, if entries are missing between two
    records, or if no record holds the disk identity.
    """
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
                _replay_record(log, record)
    if disk_id is None:
        return None
    entries = log.entries_from(snapshot.index + 1)
    return PersistentState(disk_id, term.term, term.voted_for, snapshot, entries)


def _replay_record(log: ReplicatedLog, record: _EntriesRecord) -> None:
    """Write a record's entries to the log, skipping those that the snapshot covers."""
    covered = max(0, log.snapshot.index + 1 - record.first_index)
    log.write(record.first_index + covered, record.entries[covered:])
