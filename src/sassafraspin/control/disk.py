"""Durable state of a control replica: log, snapshot and disk identity."""

import uuid
from dataclasses import replace

import msgspec

from sassafraspin.control.effects import AppendToDisk, SaveSnapshot, SaveTerm
from sassafraspin.control.log import EMPTY_SNAPSHOT, ReplicatedLog
from sassafraspin.control.messages import Entry, Snapshot
from sassafraspin.control.replica import PersistentState
from sassafraspin.storage import Files, ScanEnd, frame_record, scan_records
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import ControlLogCut, log_event

__all__ = ["ReplicaDisk"]

_LOG_FILE = "control.log"
_SNAPSHOT_FILE = "control.snapshot"

_log = part_logger("storage")


class _DiskIdentity(msgspec.Struct, frozen=True, tag="identity"):
    disk_id: str
    may_bootstrap: bool = True


class _TermRecord(msgspec.Struct, frozen=True, tag="term"):
    term: int
    voted_for: str | None
    recovering: bool = False


class _EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    first_index: int
    entries: tuple[Entry, ...]


_Record = _DiskIdentity | _TermRecord | _EntriesRecord

_DECODER = msgspec.msgpack.Decoder(_Record)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_ENCODER = msgspec.msgpack.Encoder()


class ReplicaDisk:
    """Stores the durable state of a replica.

    A damaged record at the end of the log is cut. A write that was interrupted leaves
    one and was never acknowledged, but damage to the last record looks the same, so the
    replica is recovering from then on; see ``Quorum``.

    After any other corruption the log and the snapshot are discarded and the disk gets
    a new identity. The replica rejoins as a learner: its votes count only after the new
    identity was added to the voters, because it may have lost entries and votes stored
    under the old identity. The disk bootstraps no quorum, as it belonged to one.

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
        self._append(_term_record(effect))

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
            self._identity,
            _term_record(term),
            _EntriesRecord(effect.snapshot.index + 1, effect.entries),
        )
        self._synced_bytes = None
        self._replace_log(b"".join(map(_frame, records)))

    def _append(self, record: _Record) -> None:
        assert self._synced_bytes is not None
        data = _frame(record)
        self._files.append(_LOG_FILE, data)
        self._synced_bytes += len(data)

    def _replace_log(self, content: bytes) -> None:
        self._files.replace(_LOG_FILE, content)
        self._synced_bytes = len(content)

    @property
    def _identity(self) -> _DiskIdentity:
        state = self._persistent_state
        return _DiskIdentity(state.disk_id, state.may_bootstrap)

    def _open(self) -> PersistentState:
        content = self._files.read(_LOG_FILE)
        if content is None and self._files.read(_SNAPSHOT_FILE) is None:
            return self._initialize(may_bootstrap=True)
        state = self._load((content or b"")[: self._synced_bytes])
        if state is None:
            _log.error(
                "Control log or snapshot is corrupt; discarding both and rejoining "
                "as a learner."
            )
            return self._initialize(may_bootstrap=False)
        return state

    def _initialize(self, may_bootstrap: bool) -> PersistentState:
        """Start with an empty log and a new identity.

        The snapshot is removed last. Until then it shows that there was a log.
        """
        state = PersistentState(uuid.uuid4().hex, may_bootstrap=may_bootstrap)
        self._synced_bytes = None
        self._replace_log(_frame(_DiskIdentity(state.disk_id, may_bootstrap)))
        self._files.remove(_SNAPSHOT_FILE)
        return state

    def _load(self, content: bytes) -> PersistentState | None:
        """Return the state on the disk, ``None`` if it is corrupt."""
        scan = scan_records(content)
        snapshot = self._load_snapshot()
        if scan.end is ScanEnd.CORRUPT or snapshot is None:
            return None
        state = _rebuild_state(scan.payloads, snapshot)
        if state is None:
            return None
        kept = content[: scan.valid_bytes]
        if scan.end is ScanEnd.TORN:
            state = replace(state, recovering=True)
            kept += _frame(_TermRecord(state.term, state.voted_for, recovering=True))
            last_index = snapshot.index + len(state.entries)
            cut = len(content) - scan.valid_bytes
            log_event(ControlLogCut(cut, state.term, last_index))
        self._replace_log(kept)
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


def _term_record(saved: SaveTerm) -> _TermRecord:
    return _TermRecord(saved.term, saved.voted_for, saved.recovering)


def _frame(record: _Record) -> bytes:
    return frame_record(_ENCODER.encode(record))


def _rebuild_state(
    payloads: tuple[bytes, ...], snapshot: Snapshot
) -> PersistentState | None:
    """Rebuild the replica state from log records.

    Returns ``None`` if a record cannot be decoded, if entries are missing between two
    records, or if no record holds the disk identity.
    """
    identity = None
    term = _TermRecord(0, None)
    log = ReplicatedLog(snapshot)
    for payload in payloads:
        try:
            record = _DECODER.decode(payload)
        except msgspec.DecodeError:
            return None
        match record:
            case _DiskIdentity():
                identity = record
            case _TermRecord():
                term = record
            case _EntriesRecord():
                if record.first_index > log.last_index + 1:
                    return None
                _replay_record(log, record)
    if identity is None:
        return None
    return PersistentState(
        identity.disk_id,
        term.term,
        term.voted_for,
        snapshot,
        log.entries_from(snapshot.index + 1),
        term.recovering,
        identity.may_bootstrap,
    )


def _replay_record(log: ReplicatedLog, record: _EntriesRecord) -> None:
    """Write a record's entries to the log, skipping those that the snapshot covers."""
    covered = max(0, log.snapshot.index + 1 - record.first_index)
    log.write(record.first_index + covered, record.entries[covered:])
