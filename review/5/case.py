"""Two operators order a rollout of the same service; both orders are acknowledged."""

import asyncio
import json
import signal
from pathlib import Path

from support.deployment import Deployment
from support.runner import Answer, Run, Runner
from support.script import CannotRun, Record, run_script
from support.wire import Broken, Connection

SERVICE = "desk"
HOST = "mill.example"
CLIENTS = 6
PAUSE_SECONDS = 0.2
RUNNERS = 3
DURATION_SECONDS = 20
DOWN_SECONDS = 1.0
READ_SECONDS = 30.0
ROLLOUTS = f"/sassafraspin/rollouts/{SERVICE}"


def configuration() -> dict:
    """Return a configuration with one route."""
    route = {
        "name": "stock",
        "hostname": HOST,
        "path_prefix": "/stock/",
        "route_type": "safe",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": True,
    }
    service = {"name": SERVICE, "health_path": "/health", "max_connections": 120}
    return {"version": 1, "routes": [route], "services": [service]}


async def client(deployment: Deployment, number: int) -> None:
    """Send one request after the other until cancelled."""
    host = deployment.hosts[number % deployment.count]
    connection = Connection(host, deployment.ports["front"])
    count = 0
    while True:
        count += 1
        request_id = f"{number:04x}{count:012x}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "1000"}
        try:
            async with asyncio.timeout(1.2):
                await connection.request("GET", "/stock/1", headers)
        except (Broken, TimeoutError):
            connection.close()
        await asyncio.sleep(PAUSE_SECONDS)


async def order(deployment: Deployment, target: str, record: Record) -> bool:
    """Order a rollout to a version; return whether it was acknowledged."""
    document = {
        "service": SERVICE,
        "target": target,
        "duration_s": DURATION_SECONDS,
    }
    answer = await deployment.order("POST", "/sassafraspin/rollouts", document, 4.0)
    status = "no answer" if answer is None else answer.status
    record.note(f"rollout of {target} ordered: {status}")
    return answer is not None and answer.status == 200


async def read(deployment: Deployment) -> dict:
    """Return what the system says of the rollout, empty without an answer."""
    answer = await deployment.order("GET", ROLLOUTS, seconds=3.0)
    if answer is None or answer.status != 200:
        return {}
    return json.loads(answer.body)


async def wait_until_ended(deployment: Deployment, record: Record) -> None:
    """Wait until the rollout that runs has ended."""
    for _ in range(int(2 * DURATION_SECONDS)):
        status = await read(deployment)
        if status.get("state") in ("succeeded", "rolled_back"):
            record.note(f"the first rollout has ended: {status}")
            return
        await asyncio.sleep(1.0)
    raise CannotRun("the first rollout does not end")


async def final_fault(deployment: Deployment, record: Record) -> None:
    """Kill all processes at once and start them again."""
    record.note("all processes are killed")
    for number in range(deployment.count):
        deployment.signal(number, signal.SIGKILL)
    await asyncio.sleep(DOWN_SECONDS)
    for number in range(deployment.count):
        deployment.start(number)
    if not await deployment.wait_ready(40.0):
        raise CannotRun("the instances are not ready after the final fault")
    record.note("all processes are back and ready")


async def case(deployment: Deployment, record: Record, with_trouble: bool) -> bool:
    """Return whether the rollout that was acknowledged last is known at the end."""
    runs: list[Run] = []

    async def respond(run: Run) -> Answer:
        return Answer(200, b"stock", 0.0225)

    answer = await deployment.order("PUT", "/sassafraspin/config", configuration())
    if answer is None or answer.status != 200:
        raise CannotRun(f"the configuration was not accepted: {answer}")
    runners = {
        version: [
            Runner(
                deployment, f"i-{version}-{item}", SERVICE, version, respond, runs, 6
            )
            for item in range(RUNNERS)
        ]
        for version in ("v1", "v2", "v3")
    }
    await asyncio.gather(*(runner.start() for runner in runners["v1"]))
    if not await deployment.wait_ready():
        raise CannotRun("the instances are not ready")
    tasks = [asyncio.create_task(client(deployment, item)) for item in range(CLIENTS)]
    await asyncio.sleep(4.0)
    if not await order(deployment, "v2", record):
        raise CannotRun("the first rollout was not acknowledged")
    await asyncio.gather(*(runner.start() for runner in runners["v2"]))
    if with_trouble:
        await asyncio.sleep(2.0)
        record.note(f"the other operator orders now; {await read(deployment)}")
    else:
        await wait_until_ended(deployment, record)
    if not await order(deployment, "v3", record):
        record.result("the second rollout was not acknowledged, so it may be missing")
        return True
    await asyncio.gather(*(runner.start() for runner in runners["v3"]))
    await asyncio.sleep(1.0)
    await final_fault(deployment, record)
    seen: list[dict] = []
    for _ in range(int(READ_SECONDS)):
        status = await read(deployment)
        if status and status not in seen:
            seen.append(status)
            record.note(f"read back: {status}")
        await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for group in runners.values():
        for runner in group:
            runner.stop()
    if not seen:
        record.result("the state of the rollout could not be read back")
        return False
    is_known = any(status.get("target") == "v3" for status in seen)
    served = sum(run.version == "v3" for run in runs)
    record.result(
        f"the acknowledged rollout of v3 is {'known' if is_known else 'gone'}; v3 got "
        f"{served} requests"
    )
    return is_known


if __name__ == "__main__":
    run_script(case, Path(__file__).resolve().parent)
