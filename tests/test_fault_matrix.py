"""Fault matrix: all cells pass, and a removed safety mechanism makes one fail."""

import unittest
from unittest import mock

from sassafraspin.ledger import Ledger
from tests.fault_matrix import rows, run_cell, run_matrix


class TestFaultMatrix(unittest.TestCase):
    """Verdicts of every fault at every protocol step."""

    def test_every_cell_holds(self):
        for cell in run_matrix():
            with self.subTest(row=cell.row, column=cell.column):
                self.assertFalse(cell.verdict.startswith("FAILS"), cell.verdict)

    def test_missing_copies_are_caught(self):
        cells = dict(rows())
        with mock.patch.object(Ledger, "_backups", lambda ledger, key: []):
            verdict = run_cell(cells["request: claim answered"], "process death")
        self.assertIn("dispatched more than once", verdict)
