"""Errors of a disk that pass: full for a while, or a write or sync that fails."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from sassafraspin.control import ReplicaDisk
from sassafraspin.control.effects import AppendToDisk, SaveSnapshot, SaveTerm
from sassafraspin.control.messages import CommandEntry, Snapshot
from sassafraspin.storage import DataFolder, DiskFull, StorageError
from tests.quorum_model import QuorumModel
from tests.routed_deployment import routed_deployment
from tests.simulation import MemoryFiles

LOG = "control.log"


class TestQuorumWithFullDisks(unittest.TestCase):
    """The quorum of the model while disks are full, one after the other."""

    def setUp(self):
        self.model = QuorumModel(3, seed=4)
        self.model.run(4.0)

    def change(self, seconds: float = 2.0) -> int:
        """Propose a change; return how many are acknowledged ``seconds`` later."""
        leader = self.model.leader()
        if leader is not None:
            self.model.propose(leader.name)
        self.model.run(seconds)
        return len(self.model.acknowledged)

    def fill(self, name: str, seconds: float) -> None:
        """Fill a disk for a while, with changes before, meanwhile and after."""
        files = self.model.nodes[name].files
        files.full, files.torn_bytes = True, 9
        self.change(seconds)
        files.full = False
        self.model.run(2.0)

    def test_changes_are_acknowledged_after_all_disks_were_full_in_turn(self):
        # Guards against replicas that stay stopped after a full disk has room again.
        for name in ("c0", "c1", "c2"):
            self.fill(name, 4.0)
        before = len(self.model.acknowledged)
        self.assertEqual(self.change(), before + 1)
        self.model.check_recovery()

    def test_changes_are_acknowledged_after_all_disks_were_full_at_once(self):
        # Guards against a quorum that is lost for good when all disks were full.
        for node in self.model.nodes.values():
            node.files.full = True
        self.change(4.0)
        before = len(self.model.acknowledged)
        for node in self.model.nodes.values():
            node.files.full = False
        self.model.run(3.0)
        self.assertEqual(self.change(), before + 1)

    def test_quorum_is_founded_after_a_disk_was_full_meanwhile(self):
        # Guards against a first quorum that lacks a replica, or never forms.
        model = QuorumModel(3, seed=4)
        for node in model.nodes.values():
            node.files.full = True
        model.run(3.0)
        self.assertIsNone(model.leader())
        for name in ("c1", "c2", "c0"):
            model.nodes[name].files.full = False
            model.run(1.0)
        model.check_recovery()

    def test_nothing_is_acknowledged_without_a_majority_of_disks(self):
        # Guards against acknowledging what is not durable while disks are full.
        before = self.change()
        for name in ("c0", "c1"):
            self.model.nodes[name].files.full = True
        self.assertEqual(self.change(5.0), before)
        self.model.nodes["c2"].files.full = True
        self.assertEqual(self.change(5.0), before)


class TestReplicaDiskAfterErrors(unittest.TestCase):
    """What is on the disk after an error that has passed."""

    def setUp(self):
        self.files = MemoryFiles()
        self.disk = ReplicaDisk(self.files)
        self.disk.save_term(SaveTerm(1, "c0"))

    def entries(self, *indexes: int) -> AppendToDisk:
        entries = tuple(CommandEntry(1, b"entry %d" % index) for index in indexes)
        return AppendToDisk(indexes[0], entries)

    def test_part_of_a_failed_write_is_followed_by_no_later_one(self):
        # Guards against a log that is unreadable from a partial write on.
        for taken in range(60):
            with self.subTest(taken=taken):
                self.setUp()
                self.files.full, self.files.torn_bytes = True, taken
                with self.assertRaises(DiskFull):
                    self.disk.append(self.entries(1))
                with self.assertRaises(DiskFull):
                    self.disk.reload()
                self.files.full = False
                self.assertEqual(self.disk.reload().entries, ())
                self.disk.append(self.entries(1, 2))
                self.files.crash()
                state = ReplicaDisk(self.files).persistent_state
                self.assertEqual(len(state.entries), 2)
                self.assertEqual(state.disk_id, self.disk.persistent_state.disk_id)

    def test_entries_after_a_failed_sync_survive_a_loss_of_power(self):
        # Guards against trusting bytes that were read back but never reached the disk.
        self.files.fails_to_sync = True
        with self.assertRaises(StorageError):
            self.disk.append(self.entries(1))
        self.files.fails_to_sync = False
        kept = len(self.disk.reload().entries)
        self.disk.append(self.entries(kept + 1))
        self.files.crash()
        state = ReplicaDisk(self.files).persistent_state
        self.assertEqual(len(state.entries), kept + 1)

    def test_what_a_new_process_reads_survives_a_loss_of_power(self):
        # Guards against a process that trusts what a killed one had not synced.
        self.files.fails_to_sync = True
        with self.assertRaises(StorageError):
            self.disk.append(self.entries(1))
        self.files.fails_to_sync = False
        read = ReplicaDisk(self.files).persistent_state
        self.files.crash()
        self.assertEqual(ReplicaDisk(self.files).persistent_state, read)

    def test_failed_compaction_keeps_the_log(self):
        # Guards against losing entries if the disk fills up during a compaction.
        self.disk.append(self.entries(1, 2))
        snapshot = Snapshot(2, 1, (), b"state")
        self.files.full = True
        with self.assertRaises(DiskFull):
            self.disk.save_snapshot(SaveSnapshot(snapshot, ()), SaveTerm(1, "c0"))
        self.files.full = False
        self.assertEqual(len(self.disk.reload().entries), 2)


class TestDataFolderErrors(unittest.TestCase):
    """Errors of the operating system in a real folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = DataFolder(Path(folder.name))
        self.addCleanup(self.files.close)

    def test_folder_is_synced_again_after_a_failed_sync(self):
        # Guards against a new file whose name is never made durable.
        with mock.patch.object(os, "fsync", side_effect=OSError(errno.EIO, "error")):
            with self.assertRaises(StorageError):
                self.files.append(LOG, b"a")
        with mock.patch.object(os, "fsync", wraps=os.fsync) as fsync:
            self.files.append(LOG, b"b")
        self.assertEqual(fsync.call_count, 1)

    def test_disk_that_fills_up_within_a_write_is_reloaded(self):
        # Guards against appending after a partial write of the operating system.
        disk = ReplicaDisk(self.files)
        write = os.write

        def write_some(descriptor: int, data: bytes) -> int:
            if len(data) < 10:
                raise OSError(errno.ENOSPC, "no space left")
            return write(descriptor, data[:10])

        with mock.patch.object(os, "write", write_some), self.assertRaises(DiskFull):
            disk.save_term(SaveTerm(7, "c1"))
        self.assertEqual(disk.reload().term, 0)
        disk.save_term(SaveTerm(8, "c2"))
        self.assertEqual(ReplicaDisk(self.files).persistent_state.term, 8)


class TestStartWithFullDisk(unittest.TestCase):
    """A daemon that starts while its disk takes no writes."""

    def test_daemon_bootstraps_and_serves_once_the_disk_has_room(self):
        # Guards against a control role that stays disabled after a full disk at start.
        remaining = 8
        fsync = os.fsync

        def sync(descriptor: int) -> None:
            nonlocal remaining
            remaining -= 1
            if remaining >= 0:
                raise OSError(errno.ENOSPC, "no space left")
            fsync(descriptor)

        async def scenario() -> None:
            with trio.fail_after(30):
                async with routed_deployment() as deployment:
                    response = await deployment.call("/safe/1")
                    self.assertEqual(response.status, 200)
                    folder = deployment.daemon._settings.data_folder
                    while not (folder / "control.instances").exists():
                        await trio.sleep(0.05)

        with mock.patch.object(os, "fsync", sync):
            trio.run(scenario)
        self.assertLess(remaining, 0)


if __name__ == "__main__":
    unittest.main()
