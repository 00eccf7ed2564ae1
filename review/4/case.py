"""A request with two framings carries the bytes of another request in its body."""

import asyncio
import re
from pathlib import Path

from support.deployment import Deployment
from support.runner import Answer, Run, Runner
from support.script import CannotRun, Record, run_script
from support.wire import Broken, Connection

SERVICE = "lines-desk"
HOST = "radio.example"
KEY = "i9n73hh2b9wu3fexd9dn"
RUNNERS, SLOTS = 3, 6
CALLERS = 6
WAIT_SECONDS = 1.5
LAST_CHUNK = b"0\r\n\r\n"


def configuration() -> dict:
    """Return a configuration with one route and one account."""
    route = {
        "name": "dedication",
        "hostname": HOST,
        "path_prefix": "/dedication/",
        "route_type": "unsafe",
        "timeout_ms": 1_000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 1,
        "public": False,
    }
    service = {"name": SERVICE, "health_path": "/health", "max_connections": 130}
    return {
        "version": 1,
        "routes": [route],
        "services": [service],
        "tenants": [{"name": "radio", "api_keys": [KEY]}],
    }


def head(request_id: str) -> bytes:
    """Return the head of a request up to its framing."""
    lines = [
        "POST /dedication/1 HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 1000",
        f"Authorization: Token {KEY}",
    ]
    return "".join(f"{line}\r\n" for line in lines).encode()


def chunked(body: bytes) -> bytes:
    """Return a body in one chunk and the last one."""
    return b"%x\r\n%s\r\n%s" % (len(body), body, LAST_CHUNK)


def with_inner(request_id: str, inner_id: str) -> bytes:
    """Return one request whose declared length covers the bytes of another one."""
    inner = head(inner_id) + b"Content-Length: 5\r\n\r\ninner"
    body = chunked(b"outer") + inner
    framing = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % len(body)
    return head(request_id) + framing + body


def without_inner(request_id: str) -> bytes:
    """Return the request in chunks alone."""
    return head(request_id) + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b"outer")


async def send(host: str, port: int, data: bytes) -> bytes:
    """Send bytes on a new connection; return what comes back in a while."""
    reader, writer = await asyncio.open_connection(host, port)
    received = b""
    try:
        writer.write(data)
        async with asyncio.timeout(WAIT_SECONDS):
            while part := await reader.read(65_536):
                received += part
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()
    return received


async def check_served(deployment: Deployment) -> None:
    """Check that an ordinary request is served."""
    connection = Connection(deployment.hosts[0], deployment.ports["front"])
    headers = {
        "Host": HOST,
        "X-Request-Id": "ordinary",
        "X-Deadline-Ms": "1000",
        "Authorization": f"Token {KEY}",
    }
    try:
        answer = await connection.request("POST", "/dedication/1", headers, b"outer")
    except Broken as error:
        raise CannotRun(str(error)) from error
    finally:
        connection.close()
    if answer.status != 200:
        raise CannotRun(f"an ordinary request is not served: {answer}")


async def case(deployment: Deployment, record: Record, with_trouble: bool) -> bool:
    """Return whether only requests were run that a client had sent."""
    runs: list[Run] = []

    async def respond(run: Run) -> Answer:
        return Answer(200, b"logged", 0.045)

    answer = await deployment.order("PUT", "/sassafraspin/config", configuration())
    if answer is None or answer.status != 200:
        raise CannotRun(f"the configuration was not accepted: {answer}")
    runners = [
        Runner(deployment, f"i-{item}", SERVICE, "v1", respond, runs, SLOTS)
        for item in range(RUNNERS)
    ]
    await asyncio.gather(*(runner.start() for runner in runners))
    if not await deployment.wait_ready():
        raise CannotRun("the instances are not ready")
    await asyncio.sleep(2.0)
    await check_served(deployment)
    sent = {"ordinary"}
    for number in range(CALLERS):
        request_id, inner_id = f"sent{number:012x}", f"inner{number:011x}"
        sent.add(request_id)
        if with_trouble:
            data = with_inner(request_id, inner_id)
        else:
            data = without_inner(request_id)
        host = deployment.hosts[number % deployment.count]
        received = await send(host, deployment.ports["front"], data)
        statuses = re.findall(rb"HTTP/1.1 (\d{3})", received)
        record.note(f"request {request_id} sent to {host}: {len(data)} bytes")
        record.note(f"answers on its connection: {b' '.join(statuses).decode()}")
    for runner in runners:
        runner.stop()
    for run in runs:
        record.note(f"{run.runner} ran {run.request_id}", run.at)
    unasked = [run.request_id for run in runs if run.request_id not in sent]
    record.result(
        f"{len(sent)} requests were sent and {len(runs)} run; nobody sent "
        f"{len(unasked)} of these"
    )
    return not unasked


if __name__ == "__main__":
    run_script(case, Path(__file__).resolve().parent)
