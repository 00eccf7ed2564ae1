"""A tenant exceeds its cap while the leader is slow, as two dispatchers grant it."""

import asyncio
import signal
from collections import Counter
from pathlib import Path

from review.support2.case import Case, run_case
from review.support2.http_messages import request_bytes, send_request
from review.support2.runner import Runner, configuration

_TOKENS = 2_000
_RATE = 80_212
_BURST = 80_212
_WINDOW_SECONDS = 8.0
_OVERSHOOT = 0.1
_SLACK = 110_000
_REQUESTS_PER_SECOND = 240
_BEFORE_SECONDS = 3.0
_SLOW_SECONDS = 5.5
_AFTER_SECONDS = 3.0
_PERIOD_SECONDS = 0.2
_STOPPED_SECONDS = 0.16
_DEADLINE_MS = 1_500


async def send_often(case: Case, seconds: float, sent: dict[str, float]) -> None:
    """Send the tenant's requests for some time, and wait for their answers."""
    loop = asyncio.get_running_loop()
    statuses: Counter[int] = Counter()

    async def send(number: int) -> None:
        request_id = f"lookup-{number}"
        headers = {
            "Host": "mill.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(_DEADLINE_MS),
            "X-Token-Counts": f"{_TOKENS - 100},100",
            "Authorization": "Token key-1",
        }
        front = case.deployment.front(number % case.deployment.count)
        sent[request_id] = loop.time()
        data = request_bytes("GET", f"/lookup/{number}", headers)
        answer = await send_request(front, data, _DEADLINE_MS / 1000)
        statuses[answer.status] += 1

    began = loop.time()
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < began + seconds:
            while number < (loop.time() - began) * _REQUESTS_PER_SECOND:
                group.create_task(send(number))
                number += 1
            await asyncio.sleep(0.01)
    case.record.write(f"answers by status, 0 without one: {dict(statuses)}")


async def slow_down(case: Case, number: int) -> None:
    """Let a daemon run for a fifth of the time: five times slower."""
    await asyncio.sleep(_BEFORE_SECONDS)
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _SLOW_SECONDS
    case.record.write(f"daemon {number}, the leader, is slowed for {_SLOW_SECONDS} s")
    while loop.time() < ends_at:
        case.deployment.signal(number, signal.SIGSTOP, is_recorded=False)
        await asyncio.sleep(_STOPPED_SECONDS)
        case.deployment.signal(number, signal.SIGCONT, is_recorded=False)
        await asyncio.sleep(_PERIOD_SECONDS - _STOPPED_SECONDS)
    case.record.write(f"daemon {number} runs as before")


def largest_window(times: list[float]) -> int:
    """Return the most tokens that were run within a window."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] >= _WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most * _TOKENS


async def scenario(case: Case) -> bool:
    """Press the cap; return whether more tokens were run than it allows."""
    route = {
        "name": "lookup",
        "path_prefix": "/lookup/",
        "route_type": "safe",
        "timeout_ms": _DEADLINE_MS,
        "target_latency_ms": 500,
    }
    tenant = {
        "name": "mill",
        "api_keys": ["key-1"],
        "unit": "tokens",
        "plain_tokens": 200,
        "rate_per_s": _RATE,
        "burst": _BURST,
    }
    runners = [Runner(case.deployment, f"desk-{n}") for n in range(6)]
    await case.start(configuration(1, [route], tenants=[tenant]), runners)
    leader = await case.deployment.leader()
    if leader is None:
        raise OSError("no daemon leads")
    if case.has_trouble:
        case.tasks.append(asyncio.create_task(slow_down(case, leader)))
    sent: dict[str, float] = {}
    seconds = _BEFORE_SECONDS + _SLOW_SECONDS + _AFTER_SECONDS
    await send_often(case, seconds, sent)
    used = largest_window([run.at for runner in runners for run in runner.runs])
    limit = _RATE * _WINDOW_SECONDS + _BURST
    allowed = limit * (1 + _OVERSHOOT) + _SLACK
    case.record.write(f"{used} tokens were run in 8 s, {allowed:.0f} allowed")
    return used > allowed


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
