"""Processes of a soak: settings files, starts, signals; it ends what it started."""

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

_ANNOUNCE_MS = 200
_TTL_MS = 1_500
_TIMINGS = {
    "heartbeat_interval_ms": 200,
    "member_lease_ms": 1_500,
    "election_timeout_ms": 500,
}
"""A quarter to a half of the defaults, so that a short run sees several leaders."""


class Deployment:
    """Daemons and stand-in engines as processes of their own.

    Parameters
    ----------
    settings : SoakSettings
        How many of each.
    folder : Path
        Folder for settings, data and logs.
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
            self._write(f"entry-{number}", self._instance_settings(number))
        for number in range(settings.engines):
            self._write(f"engine-{number}", self._engine_settings(number))

    async def start_instance(self, number: int) -> None:
        """Start an instance, unless it runs."""
        await self._start(f"entry-{number}", "entry")

    async def start_engine(self, number: int) -> None:
        """Start an engine, unless it runs."""
        await self._start(f"engine-{number}", "stand-in", "engine")

    def signal_instance(self, number: int, which: signal.Signals) -> None:
        """Send a signal to an instance that runs."""
        self._signal(f"entry-{number}", which)

    def signal_engine(self, number: int, which: signal.Signals) -> None:
        """Send a signal to an engine that runs."""
        self._signal(f"engine-{number}", which)

    async def instance_end(self, number: int) -> int:
        """Wait for the end of an instance's process; return its exit status."""
        return await self._processes[f"entry-{number}"].wait()

    async def engine_end(self, number: int) -> int:
        """Wait for the end of an engine's process; return its exit status."""
        return await self._processes[f"engine-{number}"].wait()

    def lose_disk(self, number: int) -> None:
        """Delete what an instance that does not run has stored."""
        folder = self._folder / f"data-entry-{number}"
        for path in folder.iterdir():
            path.unlink()

    async def stop(self) -> None:
        """End every process that was started."""
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

    def _signal(self, name: str, which: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(which)

    def _write(self, name: str, document: dict) -> None:
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
                **_TIMINGS,
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
                "ttl_ms": _TTL_MS,
                "interval_ms": _ANNOUNCE_MS,
            },
        }
