"""Daemon and engine processes of a soak run."""

import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import msgspec
import trio

from sassafraspin.daemon import hash_token
from sassafraspin.loopback import LOOPBACK_HOST, free_ports
from sassafraspin.settings import Address
from sassafraspin.soak.model import SoakSettings
from sassafraspin.soak.plan import CONTROL_INSTANCES

__all__ = ["PROFILE", "SERVICE", "Deployment", "TOKEN"]

TOKEN = "soak"
SERVICE = "model"
PROFILE = "question"

_ANNOUNCE_INTERVAL_MS = 200
_ANNOUNCEMENT_TTL_MS = 1_500
_CONTROL_TIMINGS = {
    "heartbeat_interval_ms": 200,
    "member_lease_ms": 1_500,
    "election_timeout_ms": 500,
}
"""0.4 to 0.5 of the defaults, so that leaders change several times in a short run."""


class Deployment:
    """Starts, signals and stops daemons and stand-in engines as separate processes.

    Parameters
    ----------
    settings : SoakSettings
        Number of daemons and engines.
    folder : Path
        Folder for settings files, data and logs.
    """

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self._folder = folder
        count = 3 * settings.instances
        ports = free_ports(count + settings.engines)
        addresses = [Address(LOOPBACK_HOST, port) for port in ports]
        self.callers = addresses[0:count:3]
        self.operators = addresses[1:count:3]
        self._peers = addresses[2:count:3]
        self.engines = addresses[count:]
        self._processes: dict[str, trio.Process] = {}
        for number in range(settings.instances):
            self._write_settings(f"entry-{number}", self._instance_settings(number))
        for number in range(settings.engines):
            self._write_settings(f"engine-{number}", self._engine_settings(number))

    async def start_instance(self, number: int) -> None:
        """Start an instance unless it is running."""
        await self._start(f"entry-{number}", "entry")

    async def start_engine(self, number: int) -> None:
        """Start an engine unless it is running."""
        await self._start(f"engine-{number}", "stand-in", "engine")

    def signal_instance(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to an instance if it is running."""
        self._signal(f"entry-{number}", signal_number)

    def signal_engine(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to an engine if it is running."""
        self._signal(f"engine-{number}", signal_number)

    async def wait_instance_exit(self, number: int) -> int:
        """Wait until an instance's process exits and return its exit status."""
        return await self._processes[f"entry-{number}"].wait()

    async def wait_engine_exit(self, number: int) -> int:
        """Wait until an engine's process exits and return its exit status."""
        return await self._processes[f"engine-{number}"].wait()

    def delete_data(self, number: int) -> None:
        """Delete the data files of a stopped instance."""
        folder = self._folder / f"data-entry-{number}"
        for path in folder.iterdir():
            path.unlink()

    async def stop(self) -> None:
        """Kill all processes, including suspended ones."""
        for process in self._processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            await process.wait()

    async def _start(self, name: str, *command: str) -> None:
        running = self._processes.get(name)
        if running is not None and running.poll() is None:
            return
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = await trio.lowlevel.open_process(
                [
                    sys.executable,
                    "-m",
                    "sassafraspin",
                    *command,
                    str(self._folder / f"{name}.json"),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def _signal(self, name: str, signal_number: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(signal_number)

    def _write_settings(self, name: str, document: dict) -> None:
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(document))

    def _instance_settings(self, number: int) -> dict:
        token_hash = hash_token(TOKEN)
        account = {
            "name": "soak",
            "token_sha256": token_hash,
            "default_profile": PROFILE,
        }
        return {
            "instance": {
                "name": f"entry-{number}",
                "region": "r",
                "availability_zone": f"z{number % 3}",
            },
            "listen": {
                "callers": self.callers[number],
                "operators": self.operators[number],
                "peers": self._peers[number],
            },
            "control": {
                "instances": [
                    {
                        "name": f"entry-{item}",
                        "host": LOOPBACK_HOST,
                        "port": address.port,
                    }
                    for item, address in enumerate(self._peers[:CONTROL_INSTANCES])
                ],
                "data_folder": f"data-entry-{number}",
                **_CONTROL_TIMINGS,
            },
            "access": {
                "client_accounts": [account],
                "operators": [{"name": "soak", "token_sha256": token_hash}],
                "backend_server_token_sha256": token_hash,
            },
            "services": [{"name": SERVICE, "kind": "model", "checks_fencing": True}],
            "readiness_grace_ms": 100,
        }

    def _engine_settings(self, number: int) -> dict:
        return {
            "id": f"engine-{number}",
            "service": SERVICE,
            "listen": self.engines[number],
            "availability_zone": f"z{number % 3}",
            "decode_tokens_per_second": 400.0,
            "announcer": {
                "targets": self.operators,
                "token": TOKEN,
                "ttl_ms": _ANNOUNCEMENT_TTL_MS,
                "interval_ms": _ANNOUNCE_INTERVAL_MS,
            },
        }
