"""Process faults under load; stand-in servers detect repeated executions."""

import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.deployment import CALLER_TOKEN, Deployment, call, wait_until


class TestProcessFaults(unittest.TestCase):
    """Three instances, all with the control role, two engines and a plain service."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.deployment = Deployment.create(self.folder, count=3, control=3)
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.engines = [self.deployment.start_engine(number) for number in (1, 2)]
        self.services = [self.deployment.start_service(1)]
        for name, service, tier in (
            ("quick-question", "sorter-model", 0),
            ("bale-release", "dispatch-desk", 1),
        ):
            put = self.deployment.put_profile(name=name, service=service, tier=tier)
            self.assertEqual(put.returncode, 0, put.stderr)
        self.deployment.wait_backends("sorter-model", 2)
        self.deployment.wait_backends("dispatch-desk", 1)

    def start_load(self, seconds: float) -> subprocess.Popen:
        """Start a load on all instances, with idempotency keys and retries."""
        common = {
            "account_token": CALLER_TOKEN,
            "deadline_ms": 20_000,
            "answer": {"median": 12},
        }
        settings = {
            "targets": _addresses(
                item.callers_port for item in self.deployment.instances
            ),
            "seconds": seconds,
            "requests_per_second": 30,
            "retries": 4,
            "engines": _addresses(self.engines),
            "services": _addresses(self.services),
            "classes": [
                {
                    "name": "question",
                    "weight": 2,
                    "tier": 0,
                    "profile": "quick-question",
                    **common,
                },
                {
                    "name": "release",
                    "weight": 1,
                    "tier": 1,
                    "profile": "bale-release",
                    "kind": "plain",
                    "path": "/dispatch-desk/bales/release",
                    **common,
                },
            ],
        }
        file = self.folder / "load.json"
        file.write_text(json.dumps(settings))
        return subprocess.Popen(
            [sys.executable, "-m", "sassafraspin", "load", str(file), "--json"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def finish_load(self, load: subprocess.Popen) -> dict:
        """Wait for a load and return its report after checking the invariants."""
        output, _ = load.communicate(timeout=120)
        report = json.loads(output)
        self.assertEqual(report["executions"]["repeated"], {})
        self.assertNotIn("wrong", report["results"])
        self.assertGreater(report["results"]["good"], 0)
        return report

    def test_killed_instance(self):
        load = self.start_load(8)
        time.sleep(2)
        target = self.deployment.instances[0]
        target.process.kill()
        target.process.wait()
        time.sleep(3)
        self.deployment.start_instance(target)
        self.finish_load(load)
        self.deployment.wait_ready(target)

    def test_frozen_instance(self):
        load = self.start_load(8)
        time.sleep(2)
        target = self.deployment.instances[1]
        target.process.send_signal(signal.SIGSTOP)
        time.sleep(3)
        target.process.send_signal(signal.SIGCONT)
        self.finish_load(load)
        self.deployment.wait_ready(target)

    def test_graceful_shutdown_interrupts_no_request(self):
        load = self.start_load(6)
        time.sleep(2)
        leaving = self.deployment.instances[2]
        leaving.process.send_signal(signal.SIGTERM)
        wait_until(
            lambda: leaving.process.poll() is not None, "the instance has exited"
        )
        self.assertEqual(leaving.process.returncode, 0)
        report = self.finish_load(load)
        for result in ("cut", "unknown", "failed"):
            self.assertNotIn(result, report["results"], report)

    def test_leaving_engine_gets_no_new_work(self):
        leaving = f"http://127.0.0.1:{self.engines[0]}"
        self.assertEqual(call("POST", f"{leaving}/v1/leave")[0], 202)
        time.sleep(2)
        before = call("GET", f"{leaving}/executions")[1]
        report = self.finish_load(self.start_load(3))
        self.assertEqual(call("GET", f"{leaving}/executions")[1], before)
        self.assertEqual(report["results"], {"good": report["sent"]})

    def test_acknowledged_profile_survives_leader_loss(self):
        leader = next(
            item
            for item in self.deployment.instances
            if self.deployment.status(item)["control"]["role"] == "leader"
        )
        put = self.deployment.put_profile(version=2, tier=3)
        self.assertEqual(put.returncode, 0, put.stderr)
        leader.process.kill()
        leader.process.wait()
        number = (self.deployment.instances.index(leader) + 1) % 3
        survivor = self.deployment.instances[number]

        def has_new_leader() -> bool:
            name = self.deployment.status(survivor)["control"]["leader"]
            return name not in (None, leader.name)

        wait_until(has_new_leader, "another instance is the leader")
        shown = self.deployment.command(
            "profile", "get", "quick-question", "--json", instance_number=number
        )
        self.assertEqual(json.loads(shown.stdout)[0]["profile"]["version"], 2)


def _addresses(ports) -> list[dict]:
    return [{"host": "127.0.0.1", "port": port} for port in ports]
