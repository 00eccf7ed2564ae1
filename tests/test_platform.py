"""Platform adapter: settings, configurations, registrations and headers."""

import json
import re
import subprocess
import sys
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from sassafraspin.backends import shared_parts
from sassafraspin.dispatch import RefusalReason, SlotRefusal
from sassafraspin.errors import InvalidInput
from sassafraspin.http import BadRequest, Headers, Request
from sassafraspin.platform.adapter import PlatformAdapter
from sassafraspin.platform.boot import decode_boot_settings
from sassafraspin.platform.document import decode_table
from sassafraspin.platform.registration import decode_registration
from sassafraspin.routed import BackendTarget
from sassafraspin.routed.problems import AnswerLost, NotDispatched
from sassafraspin.routed.setup import daemon_settings
from sassafraspin.routes import RouteKind
from sassafraspin.settings import Address
from tests.fuzz import fuzz_settings

FUZZ_SETTINGS = fuzz_settings(examples=300, steps=1)
SOURCES = Path(__file__).resolve().parent.parent / "src" / "sassafraspin"

BOOT = """
node_name = "front-b-1"
ip = "10.2.0.7"
zone = "b"
region = "south"
internal_ports = [7600, 7615]
seeds = ["10.1.0.5:8229", "10.2.0.7:8229"]
bootstrap = true
data_dir = "/data/instance"
heartbeat_ms = 1200
new_field = 1
[listen]
front = "10.2.0.7:8221"
readiness = "10.2.0.7:8224"
control = "10.2.0.7:8229"
[fault_tolerance]
machines = 2
[bounds]
retry_budget_ratio = 0.5
budget_slack = 60
"""


def configuration(**fields) -> dict:
    """Return a valid configuration."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "hostname": "Mill.example",
                "path_prefix": "/reports/",
                "route_type": "stream",
                "timeout_ms": 6000,
                "target_latency_ms": 600,
                "priority": 0,
                "traffic_split": [
                    {"service": "model", "weight": 90},
                    {"service": "desk", "weight": 10},
                ],
                "max_attempts": 2,
                "public": False,
                "stream_resume": True,
                "target_gap_ms": 200,
            },
            {
                "name": "r-2",
                "hostname": "mill.example",
                "path_prefix": "/stock/",
                "route_type": "safe",
                "timeout_ms": 600.0,
                "service": "desk",
            },
        ],
        "services": [
            {
                "name": "model",
                "max_connections": 380,
                "engine": {"kv_capacity_tokens": 1000, "stride": 3},
            },
            {"name": "desk", "max_connections": 120},
        ],
        "tenants": [
            {
                "name": "mill",
                "api_keys": ["k1", "k2"],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 100,
                "burst": 500,
            }
        ],
        **fields,
    }


def registration(**fields) -> dict:
    """Return a valid registration."""
    return {
        "service": "model",
        "address": "10.1.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 7,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
        **fields,
    }


def encoded(document: dict) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()


class TestNames(unittest.TestCase):
    """Wire names of the platform appear only in the platform package."""

    PLATFORM_NAMES = re.compile(
        r"(?i:x-(response-seal|prefix-hash|token-counts|expect-instance|kv-backup|pin-ms"
        r"|length-hint|not-executed|tenant|deadline-ms|hold|expect-version))"
        r"|kv-(fetch|from|move|events|list)|hold-take|fleetbench|/sassafraspin/ready"
        r"|heartbeat_url|path_prefix_|traffic_split|stream_resume|target_gap_ms"
        r"|max_attempts|route_type|api_keys|rolled_back\b|SASSAFRASPIN_SETTINGS",
    )

    def test_names_stay_in_the_package(self):
        found = [
            (str(path.relative_to(SOURCES)), match.group())
            for path in SOURCES.rglob("*.py")
            if "platform" not in path.relative_to(SOURCES).parts
            for match in self.PLATFORM_NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])


class TestImports(unittest.TestCase):
    """An instance imports no part that it never runs: each costs memory and a start."""

    UNUSED = (
        "expression",
        "hypothesis",
        "openai",
        "pydantic",
        "sassafraspin.cli",
        "sassafraspin.daemon.daemon",
        "sassafraspin.settings.check",
    )

    def test_unused_modules_are_not_imported(self):
        code = (
            "import sys, sassafraspin.platform.main;"
            f"print([name for name in {self.UNUSED!r} if name in sys.modules])"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual(result.stdout.strip(), "[]")


class TestBootSettings(unittest.TestCase):
    """Decoding of the settings file."""

    def test_fields(self):
        settings = decode_boot_settings(BOOT.encode(), "boot.toml")
        self.assertEqual(settings.instance.name, "front-b-1")
        self.assertEqual(settings.listen.peers, Address("10.2.0.7", 7600))
        self.assertEqual(settings.listen.control, Address("10.2.0.7", 8229))
        self.assertEqual(settings.seeds[0], Address("10.1.0.5", 7600))
        self.assertEqual(settings.tolerated_losses, 2)
        self.assertEqual(settings.data_folder, Path("/data/instance"))
        self.assertTrue(settings.may_found)
        self.assertEqual(settings.dispatch.retry_share, 0.4)
        self.assertEqual(settings.dispatch.retry_allowance, 48)

    def test_instances_lend_slots_where_a_contract_says_so(self):
        """Deployments that do not ask for it are served as before."""
        settings = decode_boot_settings(BOOT.encode(), "boot.toml")
        self.assertFalse(settings.dispatch.lends_slots)
        text = 'contracts = ["health", "pool"]\n' + BOOT
        settings = decode_boot_settings(text.encode(), "boot.toml")
        self.assertTrue(settings.dispatch.lends_slots)

    def test_tunnels_where_a_contract_says_so(self):
        """Deployments that do not ask for them, or lack a port, have none."""
        settings = decode_boot_settings(BOOT.encode(), "boot.toml")
        self.assertIsNone(settings.listen.tunnels)
        text = 'contracts = ["recover"]\n' + BOOT
        settings = decode_boot_settings(text.encode(), "boot.toml")
        self.assertEqual(settings.listen.tunnels, Address("10.2.0.7", 7601))
        text = text.replace("[7600, 7615]", "[7600, 7600]")
        settings = decode_boot_settings(text.encode(), "boot.toml")
        self.assertIsNone(settings.listen.tunnels)

    def test_tunnels_fit_the_limits_of_the_machine(self):
        # Guards against limits that together exceed the memory or the descriptors.
        for memory_mb, max_fds in ((128, 4_100), (300, 4_100), (300, 600)):
            text = (
                'contracts = ["recover"]\n'
                f"{BOOT}[limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n"
            )
            settings = decode_boot_settings(text.encode(), "boot.toml")
            limits = settings.http
            self.assertGreater(settings.max_tunnels, 0)
            self.assertLessEqual(
                64_000_000
                + limits.connections * 36_864
                + limits.memory_bytes
                + settings.max_tunnels * 40_960,
                memory_mb * 1_000_000,
            )
            self.assertLessEqual(
                2 * (limits.connections + settings.max_tunnels)
                + limits.control_connections,
                max_fds - 200,
            )

    def test_limits_of_the_machine(self):
        # Guards against limits that together exceed the memory or the descriptors.
        for memory_mb, max_fds in ((88, 4_100), (128, 4_100), (300, 4_100), (300, 600)):
            text = f"{BOOT}[limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n"
            limits = decode_boot_settings(text.encode(), "boot.toml").http
            connections_bytes = limits.connections * 36_864
            self.assertLessEqual(
                64_000_000 + connections_bytes + limits.memory_bytes,
                memory_mb * 1_000_000,
            )
            self.assertLessEqual(
                2 * limits.connections + limits.control_connections, max_fds - 200
            )
            self.assertGreater(limits.memory_bytes, 3 * 4_194_304)

    def test_tolerated_losses_set_the_number_of_voters(self):
        settings = decode_boot_settings(BOOT.encode(), "boot.toml")
        self.assertEqual(daemon_settings(settings, ()).control.voters, 5)

    def test_only_the_first_seed_bootstraps(self):
        self.assertFalse(decode_boot_settings(BOOT.encode(), "boot.toml").founds)
        first = BOOT.replace('ip = "10.2.0.7"', 'ip = "10.1.0.5"').encode()
        self.assertTrue(decode_boot_settings(first, "boot.toml").founds)
        later = first.replace(b"bootstrap = true", b"bootstrap = false")
        restarted = decode_boot_settings(later, "boot.toml")
        self.assertFalse(restarted.founds or restarted.may_found)

    def test_requests_are_aborted_in_the_last_sixth_of_the_shutdown_time(self):
        settings = decode_boot_settings(BOOT.encode(), "boot.toml")
        abort_at_ms = settings.readiness_grace_ms + settings.drain_timeout_ms
        self.assertGreater(abort_at_ms, 8_000 * 5 / 6)
        self.assertLess(abort_at_ms, 8_000 - 500)

    def test_without_data_dir(self):
        text = BOOT.replace('data_dir = "/data/instance"', 'data_dir = ""')
        settings = decode_boot_settings(text.encode(), "boot.toml")
        self.assertIsNone(settings.data_folder)
        self.assertFalse(settings.may_found)

    def test_error_names_the_field(self):
        text = BOOT.replace('node_name = "front-b-1"', "node_name = 5")
        with self.assertRaisesRegex(InvalidInput, "node_name"):
            decode_boot_settings(text.encode(), "boot.toml")
        with self.assertRaises(InvalidInput):
            decode_boot_settings(b"= broken", "boot.toml")


class TestConfiguration(unittest.TestCase):
    """Decoding of configuration documents."""

    def test_fields(self):
        table = decode_table(encoded(configuration()))
        self.assertEqual(table.version, 7)
        first, second = table.routes
        self.assertEqual(first.host, "mill.example")
        self.assertEqual(first.kind, RouteKind.STREAM)
        self.assertEqual([share.weight for share in first.shares], [90, 10])
        self.assertTrue(first.resumable)
        self.assertEqual(second.max_tries, 1)
        self.assertEqual(second.timeout_ms, 600)
        self.assertEqual(table.services[0].engine.tokens_per_event, 3)
        self.assertEqual(table.accounts[0].keys, ("k1", "k2"))
        self.assertTrue(table.accounts[0].charges_tokens)

    def test_unknown_route_type_is_not_idempotent(self):
        document = configuration()
        document["routes"][1]["route_type"] = "new-kind"
        table = decode_table(encoded(document))
        self.assertFalse(table.routes[1].is_idempotent)

    def test_invalid_fields(self):
        for change in (
            lambda item: item["routes"][0]["traffic_split"][0].update(service="x"),
            lambda item: item["routes"][1].update(service="x"),
            lambda item: item["routes"][1].pop("service"),
            lambda item: item["routes"][1].update(timeout_ms=0),
            lambda item: item["routes"][1].update(path_prefix="/reports/"),
            lambda item: item["routes"][0]["traffic_split"].clear(),
            lambda item: [
                split.update(weight=0) for split in item["routes"][0]["traffic_split"]
            ],
            lambda item: item["tenants"].append({"name": "x", "api_keys": ["k1"]}),
            lambda item: item.pop("version"),
            lambda item: item.update(version="7"),
        ):
            document = configuration()
            change(document)
            with self.subTest(document=document):
                with self.assertRaises(InvalidInput):
                    decode_table(encoded(document))

    def test_unknown_service_beside_a_split(self):
        """An invalid configuration must not be acknowledged (CONFIG)."""
        document = configuration()
        document["routes"][0]["service"] = "x"
        with self.assertRaises(InvalidInput):
            decode_table(encoded(document))

    def test_service_beside_a_split_that_is_known_or_empty(self):
        for name in ("desk", "", None):
            with self.subTest(name=name):
                document = configuration()
                document["routes"][0]["service"] = name
                table = decode_table(encoded(document))
                self.assertEqual(len(table.routes[0].shares), 2)

    def test_truncated_document(self):
        body = encoded(configuration())
        for length in range(0, len(body) - 1, 37):
            with self.assertRaises(InvalidInput):
                decode_table(body[:length])

    @FUZZ_SETTINGS
    @given(st.binary() | st.recursive(st.none() | st.integers(), st.lists).map(str))
    def test_fuzz(self, data):
        body = data if isinstance(data, bytes) else data.encode()
        with self.assertRaises(InvalidInput):
            decode_table(body)

    @FUZZ_SETTINGS
    @given(st.data())
    def test_fuzz_of_one_field(self, data):
        document = configuration()
        part = data.draw(
            st.sampled_from(
                [document, *document["routes"], *document["services"]]
                + document["tenants"]
            )
        )
        name = data.draw(st.sampled_from(sorted(part)))
        part[name] = data.draw(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text()
        )
        try:
            decode_table(encoded(document))
        except InvalidInput:
            pass


class TestRegistration(unittest.TestCase):
    """Decoding of runner registrations."""

    def decode(self, **fields):
        return decode_registration("i-1", encoded(registration(**fields)), 4_000)

    def test_fields(self):
        announcement = self.decode()
        self.assertEqual(announcement.id, "i-1")
        self.assertEqual(announcement.address, Address("10.1.0.9", 8080))
        self.assertEqual(announcement.order, (1_700_000_000_000, 4))
        self.assertFalse(announcement.leaving)
        self.assertTrue(self.decode(state="draining").leaving)

    def test_invalid_fields(self):
        for fields in (
            {"state": "resting"},
            {"slots": 0},
            {"slots": "7"},
            {"address": "10.1.0.9"},
            {"address": "10.1.0.9:0"},
            {"sequence": -1},
            {"service": None},
            {"born": 1.5},
        ):
            with self.subTest(fields=fields):
                with self.assertRaises(InvalidInput):
                    self.decode(**fields)

    @FUZZ_SETTINGS
    @given(st.binary())
    def test_fuzz(self, body):
        with self.assertRaises(InvalidInput):
            decode_registration("i-1", body, 4_000)

    @FUZZ_SETTINGS
    @given(
        st.sampled_from(sorted(registration())),
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    )
    def test_fuzz_of_one_field(self, name, value):
        try:
            self.decode(**{name: value})
        except InvalidInput:
            pass


class TestAdapter(unittest.TestCase):
    """Translation of headers between callers and runners."""

    def setUp(self):
        self.adapter = PlatformAdapter(4_000)

    def request(self, *headers: tuple[str, str]) -> Request:
        return Request("POST", "/reports/1?x=2", Headers(headers), b"body")

    def test_call_metadata(self):
        metadata = self.adapter.read_call(
            self.request(
                ("host", "mill.example"),
                ("x-request-id", "id-1"),
                ("x-deadline-ms", "6000"),
                ("x-token-counts", "1460,80"),
                ("x-length-hint", "20"),
                ("authorization", "Token k1"),
            )
        )
        self.assertEqual(metadata.key, "k1")
        self.assertEqual(metadata.timeout_ms, 6000)
        self.assertEqual((metadata.prompt_tokens, metadata.answer_tokens), (1460, 20))
        self.assertEqual(metadata.charged_tokens, 1540)

    def test_parts_of_the_prompt(self):
        header = ("x-prefix-hash", "5C1e07a2:800, 91bd3f06:410,e4402b7d:250")
        metadata = self.adapter.read_call(self.request(header))
        parts = [(part.id, part.tokens) for part in metadata.prompt]
        expected = [("5c1e07a2", 800), ("91bd3f06", 410), ("e4402b7d", 250)]
        self.assertEqual(parts, expected)
        self.assertEqual(shared_parts(metadata.prompt), ("5c1e07a2", "91bd3f06"))

    def test_unreadable_parts_of_the_prompt_are_ignored(self):
        for value in ("", "a", "a:", ":1", "a:b", "a:-1", "a:1,", "a:1" + "0" * 99):
            request = self.request(("x-prefix-hash", value))
            self.assertEqual(self.adapter.read_call(request).prompt, (), value)

    def test_malformed_numbers(self):
        for header in (("x-token-counts", "7"), ("x-deadline-ms", "soon")):
            with self.assertRaises(BadRequest):
                self.adapter.read_call(self.request(header))

    def test_reserved_headers_of_the_caller_are_dropped(self):
        sent = self.request(
            ("host", "mill.example"),
            ("x-request-id", "id-1"),
            ("x-deadline-ms", "6000"),
            ("authorization", "Token k1"),
            ("x-tenant", "other"),
            ("x-hold", "h"),
            ("x-pin-ms", "9"),
            ("x-kv-backup", "1.2.3.4:5"),
            ("kv-from", "1.2.3.4:5/h"),
            ("kv-fetch", "1.2.3.4:5"),
            ("x-expect-instance", "i-9"),
            ("connection", "close, x-secret"),
            ("x-secret", "s"),
            ("content-length", "4"),
            ("x-model", "m"),
            ("x-prefix-hash", "ab:3"),
        )
        target = BackendTarget("i-1", "mill", 5_500, None)
        got = self.adapter.backend_request(sent, target)
        self.assertEqual(
            sorted(got.headers.items),
            [
                ("host", "mill.example"),
                ("x-deadline-ms", "5500"),
                ("x-expect-instance", "i-1"),
                ("x-model", "m"),
                ("x-prefix-hash", "ab:3"),
                ("x-request-id", "id-1"),
                ("x-tenant", "mill"),
            ],
        )
        self.assertEqual((got.target, got.body), ("/reports/1?x=2", b"body"))

    def test_resumed_request_carries_the_last_event_id(self):
        target = BackendTarget("i-1", None, 5_500, "12")
        got = self.adapter.backend_request(self.request(), target)
        self.assertEqual(got.headers.get("last-event-id"), "12")
        self.assertIsNone(got.headers.get("x-tenant"))

    def test_responses_that_report_no_execution(self):
        headers = Headers((("x-not-executed", "1"),))
        self.assertTrue(self.adapter.read_response(503, headers).not_run)
        self.assertTrue(self.adapter.read_response(421, Headers()).not_run)
        self.assertFalse(self.adapter.read_response(503, Headers()).not_run)

    def test_retry_after_has_fractions(self):
        response = self.adapter.refusal(
            NotDispatched(SlotRefusal("r", RefusalReason.TOO_LATE, 250))
        )
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers.get("retry-after"), "0.250")
        self.assertIsNone(
            self.adapter.refusal(AnswerLost("lost")).headers.get("retry-after")
        )
