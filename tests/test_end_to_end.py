"""One request through separate processes."""

import json
import tempfile
import unittest
from pathlib import Path

from tests.deployment import Deployment, call


class TestThinPath(unittest.TestCase):
    """A caller, an entry instance, a control instance and stand-ins."""

    @classmethod
    def setUpClass(cls):
        cls._folder = tempfile.TemporaryDirectory()
        cls.deployment = Deployment.create(Path(cls._folder.name), count=2, control=1)
        cls.addClassCleanup(cls._folder.cleanup)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.engine_port = cls.deployment.start_engine(1)
        cls.deployment.start_service(1)
        put = cls.deployment.put_profile()
        assert put.returncode == 0, put.stderr
        cls.deployment.put_profile(name="bale-release", service="dispatch-desk", tier=1)
        cls.deployment.wait_backends("sorter-model", 1)
        cls.deployment.wait_backends("dispatch-desk", 1)

    def url(self, path: str, instance: int = 1) -> str:
        return f"http://127.0.0.1:{self.deployment.instances[instance].callers}{path}"

    def ask(self, headers: dict | None = None, **fields) -> tuple[int, bytes]:
        body = {
            "model": "sorter-model",
            "messages": [{"role": "user", "content": "fill power of lot 7?"}],
            "max_tokens": 8,
            **fields,
        }
        return call("POST", self.url("/v1/chat/completions"), body, headers=headers)

    def test_whole_answer(self):
        status, body = self.ask()
        self.assertEqual(status, 200)
        content = json.loads(body)["choices"][0]["message"]["content"]
        self.assertEqual(len(content.split()), 8)

    def test_streamed_answer(self):
        status, body = self.ask(stream=True)
        self.assertEqual(status, 200)
        data = [line for line in body.split(b"\n") if line.startswith(b"data: ")]
        self.assertEqual(len(data), 9)
        self.assertEqual(data[-1], b"data: [DONE]")

    def test_repeated_key_is_dispatched_once(self):
        headers = {"Idempotency-Key": "lot-7-question"}
        first, _ = self.ask(headers)
        self.assertEqual(first, 200)
        status, body = self.ask(headers)
        self.assertEqual(status, 409)
        self.assertEqual(json.loads(body)["execution"], "answered")
        executions = call("GET", f"http://127.0.0.1:{self.engine_port}/executions")
        self.assertEqual(json.loads(executions[1])["repeated"], {})

    def test_plain_call(self):
        headers = {
            "Sassafraspin-Profile": "bale-release",
            "Idempotency-Key": "bale-9",
        }
        url = self.url("/dispatch-desk/bales/9/release")
        status, body = call("POST", url, {"bale": 9}, headers=headers)
        self.assertEqual(status, 200)
        self.assertTrue(json.loads(body)["executed"])

    def test_wrong_token_is_a_problem_document(self):
        url = self.url("/v1/chat/completions")
        status, body = call("POST", url, {}, token="wrong")
        self.assertEqual(status, 401)
        self.assertEqual(json.loads(body)["execution"], "not-run")

    def test_profile_race_has_one_winner(self):
        put = self.deployment.put_profile(tier=1)
        self.assertEqual(put.returncode, 3, put.stderr)
        self.assertIn("Conflict", put.stderr)
