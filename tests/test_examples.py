"""Validation of the example files."""

import unittest
from pathlib import Path

from sassafraspin.load import LoadSettings
from sassafraspin.moves import MoveSpec
from sassafraspin.profiles import Profile
from sassafraspin.settings import check_document, load_settings, read_document
from sassafraspin.standins import EngineSettings

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"

SCHEMAS = {
    "*/profiles/*.json": Profile,
    "*/moves/*.json": MoveSpec,
    "quickstart/quick-question.json": Profile,
    "quickstart/move-*.json": MoveSpec,
    "quickstart/load.json": LoadSettings,
    "quickstart/engine-*.json": EngineSettings,
}


class TestExamples(unittest.TestCase):
    """Each example file is valid for the command that reads it."""

    def test_all_example_files_are_valid(self):
        checked = set()
        for pattern, schema in SCHEMAS.items():
            for file in EXAMPLES.glob(pattern):
                document = read_document(file).ok
                result = check_document(schema, document, str(file))
                self.assertTrue(result.is_ok(), result)
                checked.add(file)
        for file in EXAMPLES.glob("*/entry-*.json"):
            self.assertTrue(load_settings(file).is_ok(), file)
            checked.add(file)
        self.assertEqual(checked, set(EXAMPLES.glob("**/*.json")))

    def test_profiles_name_configured_services(self):
        for folder in EXAMPLES.iterdir():
            settings = load_settings(folder / "entry-1.json").ok
            services = {service.name for service in settings.services}
            for file in folder.glob("profiles/*.json"):
                self.assertIn(read_document(file).ok["service"], services)
