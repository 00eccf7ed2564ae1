"""All instances lose power while two of them write a change to their disks."""

import asyncio
import json
import signal
import struct
from pathlib import Path

from support.deployment import Deployment
from support.script import CannotRun, Record, run_script
from support.wire import call

SERVICE = "desk"
ROUTES = 40
HEADER = struct.Struct("<IQ")
"""Length and checksum before each record of the log."""

BLOCK_BYTES = 4096
SENT_SECONDS = 0.2
DOWN_SECONDS = 1.0
READ_ATTEMPTS = 30
CONFIG = "/sassafraspin/config"


def configuration(version: int) -> dict:
    """Return a configuration with some routes."""
    routes = [
        {
            "name": f"route-{number}",
            "hostname": "mill.example",
            "path_prefix": f"/route-{number}/",
            "route_type": "safe",
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "public": True,
        }
        for number in range(ROUTES)
    ]
    service = {"name": SERVICE, "health_path": "/health", "max_connections": 120}
    return {"version": version, "routes": routes, "services": [service]}


def last_large_record(log: bytes) -> bytes:
    """Return the last record of a log that takes more than a block."""
    position, found = 0, b""
    while position < len(log):
        length, _ = HEADER.unpack_from(log, position)
        end = position + HEADER.size + length
        if end - position > BLOCK_BYTES:
            found = log[position:end]
        position = end
    return found


def tear(log: bytes, write: bytes) -> bytes:
    """Return a log after a loss of power during a write that was not synced.

    The file has its new length; of the blocks of the write, the second is missing.
    """
    first = BLOCK_BYTES - len(log) % BLOCK_BYTES
    last = min(first + BLOCK_BYTES, len(write))
    return log + write[:first] + bytes(last - first) + write[last:]


async def put(deployment: Deployment, version: int, record: Record) -> None:
    """Send a configuration until it is acknowledged."""
    answer = await deployment.order("PUT", CONFIG, configuration(version))
    if answer is None or answer.status != 200:
        raise CannotRun(f"configuration {version} was not accepted: {answer}")
    record.note(f"configuration {version} is acknowledged")


async def lose_power(
    deployment: Deployment, record: Record, with_trouble: bool
) -> None:
    """End all instances while the followers write what the leader has sent them.

    The followers stand still from just before the change on, so that their writes are
    missing or torn, as they are laid out here, and nothing after them is on the disks.
    """
    leaders = [item for item in range(deployment.count) if await deployment.leads(item)]
    if len(leaders) != 1:
        raise CannotRun(f"leaders: {leaders}")
    leader = leaders[0]
    followers = [item for item in range(deployment.count) if item != leader]
    for number in followers:
        deployment.signal(number, signal.SIGSTOP)
    body = json.dumps(configuration(3)).encode()
    host, port = deployment.hosts[leader], deployment.ports["control"]
    answer = await call(host, port, "PUT", CONFIG, body, SENT_SECONDS)
    record.note(f"configuration 3 is sent to instance {leader}: {answer}")
    for number in range(deployment.count):
        deployment.signal(number, signal.SIGKILL)
    record.note("all instances lose power")
    await asyncio.sleep(DOWN_SECONDS)
    logs = deployment.control_logs()
    write = last_large_record(logs[leader].read_bytes())
    if not write or answer is not None:
        raise CannotRun("configuration 3 was not on its way")
    for number in followers:
        synced = logs[number].read_bytes()
        if with_trouble:
            logs[number].write_bytes(tear(synced, write))
        state = "torn" if with_trouble else "missing"
        record.note(
            f"instance {number}: {len(synced)} bytes were synced, the write of "
            f"{len(write)} bytes after them is {state}"
        )


async def case(deployment: Deployment, record: Record, with_trouble: bool) -> bool:
    """Return whether the acknowledged configuration is there at the end."""
    await put(deployment, 1, record)
    await put(deployment, 2, record)
    if not await deployment.wait_ready():
        raise CannotRun("the instances are not ready")
    await asyncio.sleep(3.0)
    await lose_power(deployment, record, with_trouble)
    for number in range(deployment.count):
        deployment.start(number)
    answer = None
    for _ in range(READ_ATTEMPTS):
        answer = await deployment.order("GET", CONFIG, seconds=1.0)
        if answer is not None and answer.status == 200:
            version = json.loads(answer.body)["version"]
            record.result(f"configuration {version} is read back; 2 was acknowledged")
            return version >= 2
        await asyncio.sleep(0.3)
    status = "no answer" if answer is None else answer.status
    ready = [await deployment.is_ready(number) for number in range(deployment.count)]
    record.result(
        f"the acknowledged configuration 2 is not read back: {status}; instances that "
        f"are ready: {sum(ready)} of {deployment.count}"
    )
    return False


if __name__ == "__main__":
    run_script(case, Path(__file__).resolve().parent)
