"""Control instances persisted on disk, for a restart while no seed is reachable."""

import msgspec

from sassafraspin.settings import NamedAddress
from sassafraspin.storage import Files, ScanEnd, frame_record, scan_records
from sassafraspin.telemetry import part_logger

__all__ = ["ControlInstanceStore"]

_FILE = "control.instances"
_DECODER = msgspec.msgpack.Decoder(tuple[NamedAddress, ...])

_log = part_logger("discovery")


class ControlInstanceStore:
    """Persists the last known control instances.

    Parameters
    ----------
    files : Files
        The data folder.
    """

    def __init__(self, files: Files) -> None:
        self._files = files

    def load(self) -> tuple[NamedAddress, ...]:
        """Return the stored instances, empty if the file is missing or corrupt.

        Raises
        ------
        msgspec.DecodeError
            If an intact record does not hold a list of instances.
        """
        content = self._files.read(_FILE)
        if content is None:
            return ()
        scan = scan_records(content)
        if scan.end is not ScanEnd.COMPLETE or len(scan.payloads) != 1:
            _log.warning("List of control instances is corrupt; querying the seeds.")
            return ()
        return _DECODER.decode(scan.payloads[0])

    def save(self, instances: tuple[NamedAddress, ...]) -> None:
        """Store the instances durably; raises ``StorageError``."""
        payload = msgspec.msgpack.encode(instances)
        self._files.replace(_FILE, frame_record(payload))
