"""Validation of settings files."""

import copy
import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from sassafraspin.cli import main
from sassafraspin.settings import load_settings
from tests.deployment import Deployment


class TestSettings(unittest.TestCase):
    """All problems are reported together, each with its JSON path."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        deployment = Deployment.create(self.folder)
        self.file = deployment.instances[0].file
        self.document = json.loads(self.file.read_text())

    def problem_paths(self, document: dict) -> list[str]:
        self.file.write_text(json.dumps(document))
        checked = load_settings(self.file)
        self.assertTrue(checked.is_error())
        return [problem.path for problem in checked.error.problems]

    def test_valid_settings_are_accepted(self):
        self.assertTrue(load_settings(self.file).is_ok())

    def test_comments_are_ignored(self):
        self.document["$comment"] = "north hall"
        self.document["listen"]["$comment"] = "loopback"
        self.file.write_text(json.dumps(self.document))
        self.assertTrue(load_settings(self.file).is_ok())

    def test_all_problems_are_reported_together(self):
        document = copy.deepcopy(self.document)
        document["unknown"] = 1
        document["instance"]["name"] = 5
        document["http"] = {"header_bytes": 1}
        document["listen"]["operators"] = document["listen"]["callers"]
        document["services"][1].pop("path_prefix")
        # Not reported here: the data folder is checked only if the instance is valid.
        document["control"]["data_folder"] = "missing/data"
        problem_paths = self.problem_paths(document)
        for path in (
            "$.unknown",
            "$.instance.name",
            "$.http.header_bytes",
            "$.listen.operators.port",
            "$.services[1].path_prefix",
        ):
            self.assertIn(path, problem_paths)

    def test_missing_parent_folder_is_reported(self):
        self.document["control"]["data_folder"] = "missing/data"
        self.assertEqual(self.problem_paths(self.document), ["$.control.data_folder"])

    def test_even_number_of_control_instances_is_rejected(self):
        additional = dict(self.document["control"]["instances"][0], name="entry-9")
        self.document["control"]["instances"].append(additional)
        self.assertIn("$.control.instances", self.problem_paths(self.document))

    def test_duplicate_json_key_is_rejected(self):
        self.file.write_text('{"instance": 1, "instance": 2}')
        error = load_settings(self.file).error
        self.assertIn("given twice", str(error))

    def test_invalid_json_is_rejected(self):
        for content in (b"", b"{", b"\xff\xfe", b"[" * 100_000):
            self.file.write_bytes(content)
            self.assertTrue(load_settings(self.file).is_error())

    def test_check_settings_exit_status(self):
        runner = CliRunner()
        good = runner.invoke(main, ["check-settings", str(self.file)])
        self.assertEqual(good.exit_code, 0)
        self.file.write_text("{}")
        bad = runner.invoke(main, ["check-settings", str(self.file)])
        self.assertEqual(bad.exit_code, 2)
        self.assertIn("$.instance", bad.output)
