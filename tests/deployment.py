"""Deployments of separate processes on loopback for end-to-end tests."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sassafraspin.daemon import hash_token
from sassafraspin.loopback import free_ports

CALLER_TOKEN = "caller-token"
OPERATOR_TOKEN = "operator-token"
SECOND_OPERATOR_TOKEN = "second-operator-token"
BACKEND_TOKEN = "backend-token"

_READY_SECONDS = 60.0


def wait_until(condition, what: str, seconds: float = _READY_SECONDS) -> None:
    """Wait for a condition; the timeout only keeps a failed run from hanging."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {what}")
        time.sleep(0.05)


@dataclass
class Instance:
    """One entry instance: its ports, settings file and process."""

    name: str
    callers_port: int
    operators_port: int
    peers_port: int
    file: Path
    process: subprocess.Popen | None = None


@dataclass
class Deployment:
    """Entry instances, the first ones with the control role, and stand-in servers.

    Stand-in servers are processes of ``sassafraspin stand-in`` that simulate backend
    servers: model engines and plain services. A plain service has no model; calls under
    its path prefix are forwarded to it unchanged.

    Parameters
    ----------
    folder : Path
        Folder for settings, data and logs.
    instances : list of Instance
        Entry instances.
    processes : list of subprocess.Popen
        Every process started, for ``stop``.
    """

    folder: Path
    instances: list[Instance]
    processes: list[subprocess.Popen] = field(default_factory=list)

    @classmethod
    def create(
        cls, folder: Path, count: int = 1, control: int = 1, **overrides: Any
    ) -> "Deployment":
        """Write settings of ``count`` instances, ``control`` of them control nodes.

        ``overrides`` are settings by section: a dictionary updates the section, any
        other value replaces it.
        """
        ports = free_ports(3 * count)
        instances = []
        for number in range(count):
            name = f"entry-{number + 1}"
            instance_ports = ports[3 * number : 3 * number + 3]
            instances.append(Instance(name, *instance_ports, folder / f"{name}.json"))
        deployment = cls(folder, instances)
        for number, instance in enumerate(instances):
            settings = deployment._settings(number, control, overrides)
            instance.file.write_text(json.dumps(settings))
        return deployment

    def _settings(self, number: int, control: int, overrides: dict) -> dict:
        instance = self.instances[number]
        address = {"host": "127.0.0.1"}
        settings = {
            "instance": {
                "name": instance.name,
                "region": "marmara",
                "availability_zone": f"marmara-{number % 4 + 1}",
            },
            "listen": {
                "callers": {**address, "port": instance.callers_port},
                "operators": {**address, "port": instance.operators_port},
                "peers": {**address, "port": instance.peers_port},
            },
            "control": {
                "instances": [
                    {"name": item.name, **address, "port": item.peers_port}
                    for item in self.instances[:control]
                ],
                "data_folder": f"data-{instance.name}",
                "heartbeat_interval_ms": 200,
                "member_lease_ms": 1500,
                "election_timeout_ms": 500,
            },
            "access": {
                "client_accounts": [
                    {
                        "name": "mill-floor",
                        "token_sha256": hash_token(CALLER_TOKEN),
                        "default_profile": "quick-question",
                    }
                ],
                "operators": [
                    {"name": "ayse", "token_sha256": hash_token(OPERATOR_TOKEN)},
                    {
                        "name": "mehmet",
                        "token_sha256": hash_token(SECOND_OPERATOR_TOKEN),
                    },
                ],
                "backend_server_token_sha256": hash_token(BACKEND_TOKEN),
            },
            "services": [
                {"name": "sorter-model", "kind": "model", "checks_fencing": True},
                {
                    "name": "dispatch-desk",
                    "kind": "plain",
                    "path_prefix": "/dispatch-desk/",
                },
            ],
            "readiness_grace_ms": 100,
        }
        for section, values in overrides.items():
            if isinstance(values, dict):
                settings[section] = {**settings.get(section, {}), **values}
            else:
                settings[section] = values
        return settings

    def start_instance(self, instance: Instance) -> None:
        """Start the process of an instance."""
        instance.process = self._start(instance.name, "entry", str(instance.file))

    def start(self) -> None:
        """Start every instance and wait until all are ready."""
        for instance in self.instances:
            self.start_instance(instance)
        for instance in self.instances:
            self.wait_ready(instance)

    def wait_ready(self, instance: Instance) -> None:
        """Wait until the readiness check of an instance succeeds."""
        url = f"http://127.0.0.1:{instance.callers_port}/readyz"
        wait_until(lambda: _status(url) == 200, f"{instance.name} is ready")

    def start_engine(self, number: int, **overrides: Any) -> int:
        """Start a stand-in model engine; return its port."""
        settings = {
            "id": f"runner-{number}",
            "service": "sorter-model",
            "decode_tokens_per_second": 400.0,
            **overrides,
        }
        return self._start_stand_in("engine", settings)

    def start_service(self, number: int, **overrides: Any) -> int:
        """Start a stand-in plain service; return its port."""
        settings = {"id": f"desk-{number}", "service": "dispatch-desk", **overrides}
        return self._start_stand_in("service", settings)

    def _start_stand_in(self, kind: str, settings: dict) -> int:
        [port] = free_ports(1)
        targets = [
            {"host": "127.0.0.1", "port": item.operators_port}
            for item in self.instances
        ]
        settings = {
            "listen": {"host": "127.0.0.1", "port": port},
            "availability_zone": "marmara-1",
            **settings,
            "announcer": {
                "targets": targets,
                "token": BACKEND_TOKEN,
                "interval_ms": 200,
                "ttl_ms": 1500,
                **settings.get("announcer", {}),
            },
        }
        file = self.folder / f"{settings['id']}.json"
        file.write_text(json.dumps(settings))
        self._start(settings["id"], "stand-in", kind, str(file))
        return port

    def wait_backends(self, service: str, count: int) -> None:
        """Wait until one dispatcher has ``count`` backend servers that accept work."""

        def enough() -> bool:
            pools = [
                pool
                for instance in self.instances
                if instance.process is not None and instance.process.poll() is None
                for pool in self.status(instance)["pools"]
                if pool["service"] == service
            ]
            return any(pool["accepting"] >= count for pool in pools)

        wait_until(enough, f"{service} has {count} backend servers")

    def status(self, instance: Instance) -> dict:
        """Return the status of an instance, without pools if it answers an error."""
        code, body = call(
            "GET",
            f"http://127.0.0.1:{instance.operators_port}/v1/status",
            token=OPERATOR_TOKEN,
        )
        return json.loads(body) if code == 200 else {"pools": []}

    def command(
        self, *arguments: str, token: str = OPERATOR_TOKEN, instance_number: int = 0
    ) -> subprocess.CompletedProcess:
        """Run an operator command against an instance."""
        environment = {
            **os.environ,
            "SASSAFRASPIN_SERVER": f"http://127.0.0.1:{self.instances[instance_number].operators_port}",
            "SASSAFRASPIN_TOKEN": token,
        }
        return subprocess.run(
            [sys.executable, "-m", "sassafraspin", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def put_profile(self, **fields: Any) -> subprocess.CompletedProcess:
        """Put a profile with the command line.

        If the command succeeds, wait until all instances have the profile.
        """
        document = {
            "name": "quick-question",
            "version": 1,
            "service": "sorter-model",
            "tier": 0,
            "deadline_ms": 20_000,
            "answer_tokens": 16,
            **fields,
        }
        file = self.folder / f"{document['name']}-{document['version']}.json"
        file.write_text(json.dumps(document))
        result = self.command("profile", "put", str(file), "--json")
        if result.returncode == 0:
            self._wait_in_force(document["name"], document["version"])
        return result

    def _wait_in_force(self, name: str, version: int) -> None:
        def everywhere() -> bool:
            for instance in self.instances:
                url = f"http://127.0.0.1:{instance.operators_port}/v1/profiles/{name}"
                code, body = call("GET", url, token=OPERATOR_TOKEN)
                if code != 200 or json.loads(body)["profile"]["version"] < version:
                    return False
            return True

        wait_until(everywhere, f"profile {name} is current on all instances")

    def stop(self) -> None:
        """Stop every process that was started."""
        for process in self.processes:
            if process.poll() is None:
                # A failed test may have left the process suspended by SIGSTOP.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def _start(self, name: str, *arguments: str) -> subprocess.Popen:
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "sassafraspin", *arguments],
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process


def call(
    method: str,
    url: str,
    body: dict | None = None,
    token: str = CALLER_TOKEN,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one HTTP request and return the status and the body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Authorization", f"Bearer {token}")
    request.add_header("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=60) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def _status(url: str) -> int | None:
    """Return the HTTP status of a GET request, ``None`` if there is no answer."""
    try:
        return call("GET", url)[0]
    except OSError:
        return None
