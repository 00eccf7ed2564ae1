"""A configuration raises the largest body while callers keep their connections."""

import asyncio
import time
from pathlib import Path

from support.deployment import Deployment
from support.runner import Answer, Run, Runner
from support.script import CannotRun, Record, run_script
from support.wire import Broken, Connection

SERVICE = "scribe-pool"
HOST = "radio.example"
RUNNERS, SLOTS = 4, 7
CALLERS = 30

EARLIER_BODY_BYTES = 65_536
MAX_BODY_BYTES = 4_194_304
BODY_BYTES = 110_000
"""Largest request of the sheet's kinds, which only the later configuration allows."""

APPLY_SECONDS = 2.0
ROUNDS = 3
DENIED_SLACK, DENIED_SHARE = 5, 1 / 500
OWN_REFUSALS = range(300, 500)
NOT_COUNTED = (408, 421, 429)


def configuration(version: int, body_bytes: int) -> dict:
    """Return a configuration with one route."""
    route = {
        "name": "read",
        "hostname": HOST,
        "path_prefix": "/read/",
        "route_type": "unsafe",
        "timeout_ms": 8_000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 1,
        "public": True,
    }
    service = {"name": SERVICE, "health_path": "/health", "max_connections": 390}
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": body_bytes,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }


class Caller:
    """A caller that keeps its connection.

    Parameters
    ----------
    deployment : Deployment
        The instances.
    number : int
        Number of the caller, which selects its instance.
    """

    def __init__(self, deployment: Deployment, number: int) -> None:
        host = deployment.hosts[number % deployment.count]
        self._connection = Connection(host, deployment.ports["front"])
        self._number = number
        self._count = 0

    async def send(self, size: int) -> tuple[str, int | None]:
        """Send a request; return its identifier and the status of the answer."""
        self._count += 1
        request_id = f"{self._number:08x}{self._count:08x}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "8000"}
        try:
            async with asyncio.timeout(8.2):
                answer = await self._connection.request(
                    "POST", "/read/1", headers, bytes(size)
                )
            return request_id, answer.status
        except (Broken, TimeoutError):
            self._connection.close()
            return request_id, None

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


async def put(deployment: Deployment, document: dict, record: Record) -> None:
    """Send a configuration until it is acknowledged."""
    answer = await deployment.order("PUT", "/sassafraspin/config", document)
    if answer is None or answer.status != 200:
        raise CannotRun(f"the configuration was not accepted: {answer}")
    record.note(
        f"configuration {document['version']} is acknowledged, largest body "
        f"{document['limits']['max_body_bytes']}"
    )


async def case(deployment: Deployment, record: Record, with_trouble: bool) -> bool:
    """Return whether few proper requests were refused."""
    runs: list[Run] = []

    async def respond(run: Run) -> Answer:
        return Answer(200, b"read", 0.03)

    earlier = EARLIER_BODY_BYTES if with_trouble else MAX_BODY_BYTES
    await put(deployment, configuration(1, earlier), record)
    runners = [
        Runner(deployment, f"i-{item}", SERVICE, "v1", respond, runs, SLOTS)
        for item in range(RUNNERS)
    ]
    await asyncio.gather(*(runner.start() for runner in runners))
    if not await deployment.wait_ready():
        raise CannotRun("the instances are not ready")
    await asyncio.sleep(3.0)
    callers = [Caller(deployment, number) for number in range(CALLERS)]
    first = await asyncio.gather(*(caller.send(1_000) for caller in callers))
    if any(status != 200 for _, status in first):
        raise CannotRun(f"small requests are not served: {first}")
    record.note(f"{CALLERS} callers got an answer and keep their connections")
    await put(deployment, configuration(2, MAX_BODY_BYTES), record)
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    sent = denied = 0
    for _ in range(ROUNDS):
        began_at = time.monotonic()
        ends = await asyncio.gather(*(caller.send(BODY_BYTES) for caller in callers))
        sent += len(ends)
        refused = [
            (request_id, status)
            for request_id, status in ends
            if status in OWN_REFUSALS and status not in NOT_COUNTED
        ]
        denied += len(refused)
        statuses = [status for _, status in ends]
        counts = {status: statuses.count(status) for status in set(statuses)}
        record.note(f"{len(ends)} requests of {BODY_BYTES} bytes ended: {counts}")
        record.note(f"refused: {refused[:3]} ...", began_at)
        await asyncio.sleep(0.5)
    for caller in callers:
        caller.close()
    for runner in runners:
        runner.stop()
    allowed = DENIED_SLACK + DENIED_SHARE * (sent + len(first))
    record.result(
        f"{denied} of {sent} proper requests, sent over {APPLY_SECONDS:.0f} s after "
        f"the acknowledgement, were refused; {allowed:.0f} may be"
    )
    return denied <= allowed


if __name__ == "__main__":
    run_script(case, Path(__file__).resolve().parent)
