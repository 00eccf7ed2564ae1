"""A small deployment: the project's daemons as processes on loopback addresses."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from review.support2.http_messages import Answer, request_bytes, send_request

__all__ = ["ROOT", "Deployment", "Record"]

ROOT = Path(__file__).resolve().parents[2]

_SETTINGS = """
node_name = "{name}"
role = "instance"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "marmara"
internal_ports = [{peer},{peer_last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
fault_counted = {counted}
data_dir = "{data}"
discovery = "registration"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","quota","rollout"]
config_mode = "highest"
[zones]
marmara-a = "marmara"
marmara-b = "marmara"
marmara-c = "marmara"
marmara-d = "marmara"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.968
cores = 2
memory_mb = 150
max_fds = 4100
link_mbps = 1000.0
disk_mb = 64
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
strict_revoke = false
revoke_ms = 5000
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

_STOP_SECONDS = 3.0
_DISKS = 3


class Record:
    """Writes what was sent, answered and run to a file, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        elapsed = time.monotonic() - self._began
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Deployment:
    """Daemons, started with the command of the deploy file; the first three have disks.

    Parameters
    ----------
    record : Record
        Where starts, signals and calls are written.
    count : int
        Number of daemons.
    """

    def __init__(self, record: Record, count: int = 3) -> None:
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._hosts = [f"127.0.0.{number + 11}" for number in range(count)]
        ports = _free_ports(self._hosts, 4)
        self._front, self._readiness, self._control, self._peer = ports
        self._processes: dict[int, subprocess.Popen] = {}
        self._has_started: set[int] = set()
        self.exits: list[tuple[int, int]] = []

    @property
    def count(self) -> int:
        """Return the number of daemons."""
        return len(self._hosts)

    def front(self, number: int) -> tuple[str, int]:
        """Return the address of a daemon for clients."""
        return self._hosts[number], self._front

    def control(self, number: int) -> tuple[str, int]:
        """Return the address of a daemon for operators and runners."""
        return self._hosts[number], self._control

    def log(self, number: int) -> Path:
        """Return the file with the output of a daemon."""
        return self._folder / f"daemon-{number}.log"

    def start(self, number: int) -> None:
        """Start a daemon, or start it again."""
        settings = self._write_settings(number)
        command = ["python3", "deploy/instance.py"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SASSAFRASPIN_SETTINGS"] = str(settings)
        with self.log(number).open("ab") as log:
            self._processes[number] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._has_started.add(number)
        self.record.write(f"daemon {number} starts")

    def signal(
        self, number: int, signal_number: signal.Signals, is_recorded: bool = True
    ) -> None:
        """Send a signal to a daemon that this deployment has started."""
        process = self._processes[number]
        if process.poll() is None:
            process.send_signal(signal_number)
            if is_recorded:
                self.record.write(f"daemon {number} gets {signal_number.name}")

    def exit_status(self, number: int) -> int | None:
        """Return the exit status of a daemon, ``None`` while it runs."""
        return self._processes[number].poll()

    async def is_ready(self, number: int) -> bool:
        """Return whether a daemon says that it takes clients."""
        address = (self._hosts[number], self._readiness)
        data = request_bytes("GET", "/sassafraspin/ready", {"Host": "control"})
        answer = await send_request(address, data, 1.0)
        return answer.status == 200

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until every daemon is ready; raises ``TimeoutError``."""
        async with asyncio.timeout(seconds):
            for number in range(self.count):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.1)

    async def call(
        self, number: int, method: str, path: str, document: object = None
    ) -> tuple[int, Answer]:
        """Send a control call; return who answered it, following two redirects."""
        body = b"" if document is None else json.dumps(document).encode()
        address = self.control(number)
        answer = Answer()
        for _ in range(3):
            headers = {"Host": "control", "Content-Type": "application/json"}
            data = request_bytes(method, path, headers, body)
            answer = await send_request(address, data, 1.0)
            if answer.status != 307:
                break
            place = answer.headers["location"].split("/")[2]
            host, _, port = place.partition(":")
            address = (host, int(port))
        who = self._hosts.index(address[0]) if address[0] in self._hosts else -1
        return who, answer

    async def order(
        self,
        method: str,
        path: str,
        document: object,
        number: int = 0,
        seconds: float = 20.0,
    ) -> Answer:
        """Send an order to ``number`` and the others until it has a clear answer."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        pause = 0.1
        while True:
            _, answer = await self.call(number, method, path, document)
            status = answer.status
            self.record.write(f"{method} {path} at daemon {number}: {status}")
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                return answer
            if loop.time() > ends_at:
                return answer
            number = (number + 1) % self.count
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.0)

    async def leader(self) -> int | None:
        """Return the daemon that answers reads of the configuration itself."""
        for number in range(self.count):
            who, answer = await self.call(number, "GET", "/sassafraspin/config")
            if answer.status == 200:
                return who
        return None

    def stop(self) -> None:
        """End all daemons and remove their files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(_STOP_SECONDS)
        if os.environ.get("KEEP"):
            print(self._folder, file=sys.stderr)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def _write_settings(self, number: int) -> Path:
        host = self._hosts[number]
        has_disk = number < _DISKS
        data = self._folder / f"data-{number}"
        if has_disk:
            data.mkdir(exist_ok=True)
        seeds = ",".join(f'"{item}:{self._control}"' for item in self._hosts[:3])
        path = self._folder / f"daemon-{number}.toml"
        path.write_text(
            _SETTINGS.format(
                name=f"front-{number}",
                ip=host,
                zone=f"marmara-{'abcd'[number % 4]}",
                peer=self._peer,
                peer_last=self._peer + 1,
                seeds=seeds,
                bootstrap="false" if number in self._has_started else "true",
                data=data if has_disk else "",
                counted="true" if has_disk else "false",
                front=self._front,
                readiness=self._readiness,
                control=self._control,
            )
        )
        return path


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports, two apart, that are free on all hosts for TCP and UDP."""
    found: list[int] = []
    for port in range(17_000 + os.getpid() % 5_000, 32_000, 2):
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
            if len(found) == count:
                return found
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
