"""Single requests through a deployment of separate processes."""

import json
import tempfile
import unittest
from pathlib import Path

import openai

from tests.deployment import (
    CALLER_TOKEN,
    SECOND_OPERATOR_TOKEN,
    Deployment,
    call,
)


class TestSingleRequest(unittest.TestCase):
    """Calls to two entry instances, one with the control role, and stand-in servers."""

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
        return (
            f"http://127.0.0.1:{self.deployment.instances[instance].callers_port}{path}"
        )

    def send_chat(self, headers: dict | None = None, **fields) -> tuple[int, bytes]:
        body = {
            "model": "sorter-model",
            "messages": [{"role": "user", "content": "fill power of lot 7?"}],
            "max_tokens": 8,
            **fields,
        }
        return call("POST", self.url("/v1/chat/completions"), body, headers=headers)

    def test_complete_answer(self):
        status, body = self.send_chat()
        self.assertEqual(status, 200)
        content = json.loads(body)["choices"][0]["message"]["content"]
        self.assertEqual(len(content.split()), 8)

    def test_streamed_answer(self):
        status, body = self.send_chat(stream=True)
        self.assertEqual(status, 200)
        data = [line for line in body.split(b"\n") if line.startswith(b"data: ")]
        self.assertEqual(len(data), 9)
        self.assertEqual(data[-1], b"data: [DONE]")

    def test_repeated_key_is_dispatched_once(self):
        headers = {"Idempotency-Key": "lot-7-question"}
        first, _ = self.send_chat(headers)
        self.assertEqual(first, 200)
        status, body = self.send_chat(headers)
        self.assertEqual(status, 409)
        self.assertEqual(json.loads(body)["execution"], "answered")
        executions = call("GET", f"http://127.0.0.1:{self.engine_port}/executions")
        self.assertEqual(json.loads(executions[1])["repeated"], {})

    def test_plain_call(self):
        headers = {
            "Sassafraspin-Profile": "bale-release",
            "Idempotency-Key": "bale-9",
            "traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        }
        url = self.url("/dispatch-desk/bales/9/release")
        status, body = call("POST", url, {"bale": 9}, headers=headers)
        self.assertEqual(status, 200)
        self.assertTrue(json.loads(body)["executed"])
        self.assertEqual(json.loads(body)["traceparent"], headers["traceparent"])

    def test_openai_client_works_unchanged(self):
        with openai.OpenAI(api_key=CALLER_TOKEN, base_url=self.url("/v1")) as client:
            messages = [{"role": "user", "content": "stock of lot 8?"}]
            complete = client.chat.completions.create(
                model="sorter-model", messages=messages, max_tokens=5
            )
            stream = client.chat.completions.create(
                model="sorter-model", messages=messages, max_tokens=5, stream=True
            )
            chunks = [chunk.choices[0].delta.content for chunk in stream]
            text = client.completions.create(
                model="sorter-model", prompt="one line", max_tokens=4
            )
            names = [model.id for model in client.models.list()]
        self.assertEqual(len(complete.choices[0].message.content.split()), 5)
        self.assertEqual(complete.usage.completion_tokens, 5)
        self.assertEqual(len("".join(chunks).split()), 5)
        self.assertEqual(len(text.choices[0].text.split()), 4)
        self.assertEqual(names, ["sorter-model"])

    def test_openai_client_raises_typed_errors(self):
        with openai.OpenAI(api_key="wrong", base_url=self.url("/v1")) as client:
            with self.assertRaises(openai.AuthenticationError):
                client.completions.create(model="sorter-model", prompt="x")

    def test_resent_change_returns_the_first_outcome(self):
        file = Path(self._folder.name) / "resent.json"
        document = {
            "name": "resent",
            "version": 1,
            "service": "sorter-model",
            "tier": 2,
            "deadline_ms": 1000,
        }
        file.write_text(json.dumps(document))
        command = ("profile", "put", str(file), "--change-id", "resent-1", "--json")
        first = self.deployment.command(*command)
        again = self.deployment.command(*command, token=SECOND_OPERATOR_TOKEN)
        self.assertEqual(first.returncode, 0, first.stderr)
        self.assertEqual(json.loads(again.stdout), json.loads(first.stdout))

    def test_invalid_input_error_names_the_field(self):
        file = Path(self._folder.name) / "bad.json"
        file.write_text('{"name": "bad", "version": 1, "service": "sorter-model"}')
        put = self.deployment.command("profile", "put", str(file))
        self.assertEqual(put.returncode, 2)
        self.assertIn("$.tier", put.stderr)
        status, body = self.send_chat(messages="text")
        self.assertEqual(status, 422)
        self.assertIn("$.messages", json.loads(body)["detail"])

    def test_unknown_profile_is_rejected_without_execution(self):
        status, body = self.send_chat({"Sassafraspin-Profile": "missing"})
        self.assertEqual(status, 404)
        self.assertEqual(json.loads(body)["execution"], "not-run")

    def test_unreachable_deadline_is_refused_without_execution(self):
        headers = {"Sassafraspin-Deadline-Ms": "1"}
        status, body = self.send_chat(headers, max_tokens=16)
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["execution"], "not-run")
        self.assertIsNotNone(json.loads(body)["retry_after_ms"])

    def test_status_shows_current_configuration(self):
        shown = self.deployment.command("status", instance_number=1)
        self.assertEqual(shown.returncode, 0, shown.stderr)
        for text in ("view", "entry-2", "quick-question", "fresh"):
            self.assertIn(text, shown.stdout)

    def test_invalid_token_returns_a_problem_document(self):
        url = self.url("/v1/chat/completions")
        status, body = call("POST", url, {}, token="wrong")
        self.assertEqual(status, 401)
        self.assertEqual(json.loads(body)["execution"], "not-run")

    def test_conflicting_profile_version_is_rejected(self):
        put = self.deployment.put_profile(tier=1)
        self.assertEqual(put.returncode, 3, put.stderr)
        self.assertIn("Conflict", put.stderr)
