"""The control instances on disk, for a start without any seed."""

import msgspec

from sassafraspin.settings import NamedAddress
from sassafraspin.storage import Files, ScanEnd, frame_record, scan_records
from sassafraspin.telemetry import part_logger

__all__ = ["ControlBook"]

_FILE = "control.instances"
_DECODER = msgspec.msgpack.Decoder(tuple[NamedAddress, ...])

_log = part_logger("discovery")


class ControlBook:
    """Keeps the control instances that this instance knew last.

    Parameters
    ----------
    files : Files
        The data folder.
    """

    def __init__(self, files: Files) -> None:
        self._files = files

    def load(self) -> tuple[NamedAddress, ...]:
        """Return the instances, empty if none are kept or the file is damaged."""
        content = self._files.read(_FILE)
        if content is None:
            return ()
        scan = scan_records(content)
        if scan.end is not ScanEnd.COMPLETE or len(scan.payloads) != 1:
            _log.warning("The list of control instances is damaged; asking the seeds.")
            return ()
        return _DECODER.decode(scan.payloads[0])

    def save(self, instances: tuple[NamedAddress, ...]) -> None:
        """Make the instances durable; raises ``StorageError``."""
        payload = msgspec.msgpack.encode(instances)
        self._files.replace(_FILE, frame_record(payload))
