"""Model of backend servers that name a rate limit in their answers, with its oracle.

The instances, links and callers are those of ``drain_deployment``.
"""

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

import trio

from sassafraspin.http import ConnectFailed, Headers, Request
from tests.drain_deployment import CONTACT_SECONDS, DrainModel, Report
from tests.drain_world import (
    CONTROL_NAMES,
    ENTRY_NAMES,
    INSTANCE_NAMES,
    Answer,
    Instance,
    LeavePlan,
)

__all__ = ["LimitModel", "disturb", "play_random_limits"]

WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
PASSED_ON_SECONDS = 0.5
"""Stated bounds; none of them was measured."""

_SLOW_ANSWER_SHARE = 0.05


@dataclass(frozen=True)
class _Arrival:
    at: float
    instance: str


@dataclass
class _LimitedServer:
    """What one backend server names, and what reaches it.

    ``named`` holds the values with the time from which each is named, ``None`` if none
    is.
    """

    named: list[tuple[float, float | None]] = field(default_factory=list)
    passed_on: dict[str, float] = field(default_factory=dict)
    arrivals: deque[_Arrival] = field(default_factory=deque)

    @property
    def limit(self) -> float | None:
        """Return the limit that is named now."""
        return self.named[-1][1] if self.named else None

    def allowed(self, now: float) -> float | None:
        """Return the requests allowed in the window that ends now, ``None`` for all."""
        begin = now - WINDOW_SECONDS - CONTACT_SECONDS
        relevant: list[float | None] = [None]
        for since, limit in self.named:
            if since <= begin:
                relevant.clear()
            relevant.append(limit)
        limits = [limit for limit in relevant if limit is not None]
        if len(limits) < len(relevant):
            return None
        return LIMIT_FACTOR * WINDOW_SECONDS * max(limits) + LIMIT_SLACK


class LimitModel(DrainModel):
    """Instances whose backend servers may name a rate limit.

    ``LIMIT`` is the users' rule: a server gets no more in a window than it allows, over
    all instances that know its limit and were not disturbed meanwhile.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.
    servers : int
        Number of backend servers.
    calls_per_second : float
        Rate of calls at each instance.
    """

    def __init__(
        self, seed: int, servers: int = 4, calls_per_second: float = 8.0
    ) -> None:
        super().__init__(seed, servers, calls_per_second)
        self._limited: defaultdict[str, _LimitedServer] = defaultdict(_LimitedServer)

    def name_limit(self, server: str, limit: float | None) -> None:
        """Make a server name a limit from now on, ``None`` for none."""
        self.note(f"{server} names {limit}")
        self._limited[server].named.append((trio.current_time(), limit))

    def restart(self, server: str) -> None:
        """Make a server leave and start again; its next boot names no limit."""
        self.leave(server, LeavePlan(lingers=0.0, restarts_after=0.5))

    def arrivals(self, server: str, seconds: float) -> int:
        """Return the number of requests that reached a server lately."""
        since = trio.current_time() - seconds
        return sum(item.at >= since for item in self._limited[server].arrivals)

    async def _reach(self, instance: Instance, request: Request) -> Answer:
        server = self.servers[request.headers.get("x-expect-instance")]
        request_id = request.headers.get("x-request-id")
        await trio.sleep(self.generator.uniform(0.0005, 0.003))
        if not server.is_running:
            self._calls[request_id].was_failed_by_server = True
            raise ConnectFailed("the server has ended")
        self._calls[request_id].runs.append(server.name)
        self._record_arrival(server.name, instance.name)
        await trio.sleep(self.generator.choice((0.005, 0.02, 0.06, 0.3)))
        limited = self._limited[server.name]
        limit = None if server.is_leaving else limited.limit
        is_slow = self.generator.random() < _SLOW_ANSWER_SHARE
        await trio.sleep(self.generator.uniform(0.0, 0.6 if is_slow else 0.005))
        headers = Headers((("x-request-id", request_id), ("x-response-seal", "seal")))
        if limit is not None:
            headers = headers.adding("server-limit", f"{limit}")
            limited.passed_on.setdefault(instance.name, trio.current_time())
        return Answer(200, headers, b"answer")

    def _record_arrival(self, name: str, instance: str) -> None:
        limited = self._limited[name]
        now = trio.current_time()
        limited.arrivals.append(_Arrival(now, instance))
        while limited.arrivals[0].at < now - WINDOW_SECONDS:
            limited.arrivals.popleft()
        allowed = limited.allowed(now)
        if allowed is None:
            return
        counted = sum(self._is_bound(limited, item) for item in limited.arrivals)
        if counted > allowed:
            self._violate(
                "LIMIT",
                name,
                limited.limit,
                text=f"{name} got {counted} requests in {WINDOW_SECONDS} s, "
                f"{allowed:.1f} allowed by {limited.limit} a second",
            )

    def _is_bound(self, limited: _LimitedServer, arrival: _Arrival) -> bool:
        """Return whether an arrival counts: its sender knew the limit, undisturbed."""
        knew_at = limited.passed_on.get(arrival.instance, float("inf"))
        return arrival.at - knew_at >= PASSED_ON_SECONDS and self.contact.is_in_touch(
            arrival.instance
        )


def play_random_limits(seed: int, seconds: float = 40.0) -> Report:
    """Play random limits and faults of one instance at a time."""

    async def scenario(model: LimitModel) -> None:
        generator = random.Random(seed)
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            _change_limits(model, generator)
            await disturb(model, generator)
            await trio.sleep(generator.uniform(0.5, 6.0))
        model.mend_all()

    return LimitModel(seed).run(scenario)


def _change_limits(model: LimitModel, generator: random.Random) -> None:
    server = generator.choice(("s1", "s2", "s3"))
    if generator.random() < 0.2:
        model.restart(server)
        model.name_limit(server, None)
    elif not model.servers[server].is_told_to_leave:
        model.name_limit(server, generator.choice((None, 0.0, 0.3, 1.0, 2.7, 8.0)))


async def disturb(model: DrainModel, generator: random.Random) -> None:
    """Kill, pause or cut one instance for a while, the leader more often."""
    leader = model.leader()
    name = leader.name if leader is not None and generator.random() < 0.4 else None
    name = name or generator.choice(INSTANCE_NAMES)
    seconds = generator.uniform(0.2, 5.0)
    match generator.choice(("kill", "pause", "cut", "cut from control", "nothing")):
        case "kill":
            model.kill(name)
            await trio.sleep(seconds)
            model.start(name)
        case "pause":
            model.pause(name)
            await trio.sleep(seconds)
            model.resume(name)
        case "cut":
            model.cut(name, INSTANCE_NAMES)
            await trio.sleep(seconds)
            model.heal(name, INSTANCE_NAMES)
        case "cut from control":
            entry = generator.choice(ENTRY_NAMES)
            model.cut(entry, CONTROL_NAMES)
            await trio.sleep(seconds)
            model.heal(entry, CONTROL_NAMES)
