"""Instances of the project as processes of their own, and a stand-in operator."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
from pathlib import Path
from urllib.parse import urlsplit

from support.wire import Response, call

__all__ = ["ROOT", "Deployment"]

ROOT = Path(__file__).resolve().parent.parent.parent

_PORTS = ("front", "readiness", "control", "internal")

_SETTINGS = """\
node_name = "{name}"
role = "instance"
machine_class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "zone-{number}"
region = "region"
internal_ports = [{internal}, {internal}]
seeds = [{seeds}]
bootstrap = {bootstrap}
fault_counted = true
data_dir = "{data}"
discovery = "registration"
entry = "virtual_ip"
heartbeat_ms = 1200
config_mode = "highest"

[listen]
front = "{host}:{front}"
readiness = "{host}:{readiness}"
control = "{host}:{control}"

[limits]
memory_mb = {memory_mb}
max_fds = 4100

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 60
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 110000
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 8
"""


class Deployment:
    """Three instances, each with a disk and a loopback address of its own.

    Parameters
    ----------
    folder : Path
        Folder for settings files, data and logs.
    count : int
        Number of instances.
    memory_mb : int
        Memory limit that the settings name.
    """

    def __init__(self, folder: Path, count: int = 3, memory_mb: int = 300) -> None:
        self._folder = folder
        self._memory_mb = memory_mb
        self.hosts = [f"127.0.0.{21 + number}" for number in range(count)]
        self.ports = dict(zip(_PORTS, _free_ports(self.hosts), strict=True))
        self._processes: dict[int, subprocess.Popen] = {}
        self._started: set[int] = set()

    @property
    def count(self) -> int:
        """Return the number of instances."""
        return len(self.hosts)

    def start(self, number: int) -> None:
        """Start an instance with the command of the deploy file."""
        settings = self._write_settings(number)
        self._started.add(number)
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SASSAFRASPIN_SETTINGS": str(settings),
        }
        with (self._folder / f"instance-{number}.log").open("ab") as log:
            self._processes[number] = subprocess.Popen(
                ["python3", "deploy/instance.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int, number_of_signal: signal.Signals) -> None:
        """Send a signal to an instance that runs."""
        process = self._processes[number]
        if process.poll() is None:
            process.send_signal(number_of_signal)

    def exit_status(self, number: int) -> int | None:
        """Return the exit status of an instance, ``None`` while it runs."""
        return self._processes[number].poll()

    def resident_mb(self, number: int) -> float:
        """Return the memory that an instance holds, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self._processes[number].pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def control_logs(self) -> list[Path]:
        """Return the log files of the control replicas, by instance."""
        return [
            next((self._folder / f"data-{number}").rglob("control.log"))
            for number in range(self.count)
        ]

    def stop(self) -> None:
        """End every process that was started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()

    async def leads(self, number: int) -> bool:
        """Return whether an instance answers a read without naming another one."""
        host, port = self.hosts[number], self.ports["control"]
        answer = await call(host, port, "GET", "/sassafraspin/config")
        return answer is not None and answer.status == 200

    async def is_ready(self, number: int) -> bool:
        """Return whether an instance says that it takes callers."""
        answer = await call(
            self.hosts[number], self.ports["readiness"], "GET", "/sassafraspin/ready"
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Wait until all instances are ready; return whether they are."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            ready = [await self.is_ready(number) for number in range(self.count)]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def order(
        self, method: str, path: str, document: object = None, seconds: float = 15.0
    ) -> Response | None:
        """Send an operator's or a server's call as the pages say.

        A caller follows a 307 twice and goes on to another instance after a failure, a
        5xx, a 408 or 429, or a second without an answer. The last answer is returned if
        the time runs out.
        """
        body = b"" if document is None else json.dumps(document).encode()
        ends_at = time.monotonic() + seconds
        pause, number, answer = 0.05, 0, None
        while time.monotonic() < ends_at:
            found = await self._follow(number % self.count, method, path, body)
            if found is not None:
                answer = found
                if found.status < 500 and found.status not in (307, 408, 429):
                    return found
            number += 1
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.8)
        return answer

    async def _follow(
        self, number: int, method: str, path: str, body: bytes
    ) -> Response | None:
        host, port, target = self.hosts[number], self.ports["control"], path
        answer = None
        for _ in range(3):
            answer = await call(host, port, method, target, body)
            if answer is None or answer.status != 307:
                return answer
            parts = urlsplit(answer.headers["location"])
            host, port, target = parts.hostname, parts.port, parts.path
        return answer

    def _write_settings(self, number: int) -> Path:
        seeds = [f'"{host}:{self.ports["control"]}"' for host in self.hosts[:3]]
        data = self._folder / f"data-{number}"
        data.mkdir(exist_ok=True)
        path = self._folder / f"boot-{number}.toml"
        path.write_text(
            _SETTINGS.format(
                name=f"front-{number}",
                number=number,
                host=self.hosts[number],
                seeds=", ".join(seeds),
                bootstrap=str(number not in self._started).lower(),
                data=data,
                memory_mb=self._memory_mb,
                **self.ports,
            )
        )
        return path


def _free_ports(hosts: list[str]) -> list[int]:
    """Return ports that are free on all hosts, one for each kind."""
    found: list[int] = []
    while len(found) < len(_PORTS):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port not in found and all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
