"""Model of a request that crashes each server that runs it, with its oracle.

The instances, links and callers are those of ``drain_deployment``.
"""

import random
from dataclasses import dataclass

import trio

from sassafraspin.http import ConnectFailed, ConnectionLost, Headers, Request
from sassafraspin.settings import Address
from tests.drain_deployment import CONTACT_SECONDS, DrainModel, Report
from tests.drain_world import (
    INSTANCE_NAMES,
    Answer,
    Call,
    CallResponder,
    Instance,
    Server,
)
from tests.limit_model import disturb

__all__ = ["CrashModel", "CrashShape", "play_random_crashes"]

ALLOWED_RETRIES = 3
"""Stated bound; it was not measured."""

_HARMFUL_BODY = b"harmful"
_POPULAR_BODY = b"popular"
_RUN_SECONDS = (0.02, 0.05, 0.12)
_SERVED_STATUS = 200


@dataclass(frozen=True)
class CrashShape:
    """Load and servers of a play.

    Parameters
    ----------
    servers : int
        Number of backend servers.
    calls_per_second, harmful_per_second : float
        Rates of sound calls and of copies of the harmful one, over all instances.
    popular_share : float
        Share of the sound calls that equal one another.
    restart_seconds : float
        Time until a crashed server is back.
    accepts_connections : bool
        Whether the address of a crashed server accepts connections.
    lost_share : float
        Share of the sound answers that a server breaks off without a crash.
    """

    servers: int = 8
    calls_per_second: float = 36.0
    harmful_per_second: float = 3.0
    popular_share: float = 0.0
    restart_seconds: float = 3.0
    accepts_connections: bool = True
    lost_share: float = 0.0


class _CrashingServer(Server):
    """Server that crashes when it is told to, and starts again after some time."""

    slots = 6
    restart_seconds = 3.0

    async def run(self) -> None:
        """Serve, crash and start again, until cancelled."""
        while True:
            self._start()
            await self._serve()
            self.is_running = False
            await trio.sleep(self.restart_seconds)

    def crash(self) -> None:
        """End the server at once, with all that it runs."""
        self.is_running = False
        self._told_to_leave.set()

    async def run_for(self, seconds: float) -> bool:
        """Work for some time; return whether the server lived that long."""
        ended = self._told_to_leave
        with trio.move_on_after(seconds):
            await ended.wait()
        return not ended.is_set()


class CrashModel(DrainModel):
    """Instances, one request that crashes servers, and sound ones.

    ``BUDGET`` is the users' rule: few copies of the harmful request reach servers once
    it has crashed three of them.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.
    shape : CrashShape
        Load and servers.
    """

    def __init__(self, seed: int, shape: CrashShape = CrashShape()) -> None:
        self._shape = shape
        self._crashes: list[float] = []
        self._late_arrivals = 0
        self._harmful_calls: set[str] = set()
        self._sound: list[tuple[float, bool, bool]] = []
        self._is_harmful_on = False
        per_instance = shape.calls_per_second / len(INSTANCE_NAMES)
        super().__init__(seed, shape.servers, per_instance)

    @property
    def crashes(self) -> int:
        """Return the number of servers that have crashed."""
        return len(self._crashes)

    def start_harmful(self) -> None:
        """Let copies of the harmful request come from now on."""
        if not self._is_harmful_on:
            self._nursery.start_soon(self._call_harmful, self._fork())
        self._is_harmful_on = True

    def served_share(self, since: float, popular: bool = False) -> float:
        """Return the served share of the sound calls since a time, 1 of none."""
        answers = [
            is_served
            for sent_at, is_served, is_popular in self._sound
            if sent_at >= since and (is_popular or not popular)
        ]
        return sum(answers) / len(answers) if answers else 1.0

    def _make_server(self, name: str, number: int) -> Server:
        server = _CrashingServer(
            name, number, self._exchange, self._acknowledged, self._fork()
        )
        server.restart_seconds = self._shape.restart_seconds
        return server

    def _refuses(self, address: Address) -> bool:
        text = f"{address.host}:{address.port}"
        [server] = [item for item in self.servers.values() if item.address == text]
        return not server.is_running and not self._shape.accepts_connections

    async def _call_at(self, name: str, generator: random.Random) -> None:
        count = 0
        while True:
            await trio.sleep(generator.expovariate(self._calls_per_second))
            count += 1
            is_popular = generator.random() < self._shape.popular_share
            own = f"{name}-{count}".encode()
            kind = generator.choice(("safe", "unsafe"))
            self._send_call(name, kind, _POPULAR_BODY if is_popular else own)

    async def _call_harmful(self, generator: random.Random) -> None:
        while True:
            rate = self._shape.harmful_per_second
            await trio.sleep(generator.expovariate(rate))
            name = generator.choice(INSTANCE_NAMES)
            if self.instances[name].is_running:
                self._send_call(name, "safe", _HARMFUL_BODY)

    def _send_call(self, name: str, kind: str, body: bytes = b"question") -> None:
        super()._send_call(name, kind, body)
        call = self._calls.get(f"call-{self._call_counter}")
        if call is not None:
            call.body = body

    def _end_call(self, call: Call, responder: CallResponder) -> None:
        body = getattr(call, "body", b"")
        # What a crash takes along, or its wake, is measured by ``served_share``.
        call.was_calm = False
        call.was_failed_by_server = True
        super()._end_call(call, responder)
        if body != _HARMFUL_BODY and self.contact.is_in_touch(call.instance):
            response = responder.response
            is_served = response is not None and response.status == _SERVED_STATUS
            self._sound.append((call.sent_at, is_served, body == _POPULAR_BODY))

    async def _reach(self, instance: Instance, request: Request) -> Answer:
        server = self.servers[request.headers.get("x-expect-instance")]
        request_id = request.headers.get("x-request-id")
        await trio.sleep(self.generator.uniform(0.0005, 0.003))
        if not server.is_running:
            if self._shape.accepts_connections:
                raise ConnectionLost("closed without an answer", is_closed=True)
            raise ConnectFailed("the server has ended")
        self._calls[request_id].runs.append(server.name)
        is_harmful = request.body == _HARMFUL_BODY
        if is_harmful:
            self._record_harmful(instance)
        seconds = self.generator.choice(_RUN_SECONDS)
        has_lived = await server.run_for(seconds)
        if has_lived and is_harmful:
            self._crashes.append(trio.current_time())
            self.note(f"{server.name} crashes, sent by {instance.name}")
            server.crash()
        is_lost = self.generator.random() < self._shape.lost_share
        if not has_lived or is_harmful or is_lost:
            raise ConnectionLost("the server broke off", is_closed=True)
        headers = (("x-request-id", request_id), ("x-response-seal", "seal"))
        return Answer(200, Headers(headers), b"answer")

    def _record_harmful(self, instance: Instance) -> None:
        now = trio.current_time()
        self.note(f"harmful request from {instance.name}")
        if len(self._crashes) < 3 or now <= self._crashes[2] + CONTACT_SECONDS:
            return
        if not self.contact.is_in_touch(instance.name):
            return
        self._late_arrivals += 1
        if self._late_arrivals > ALLOWED_RETRIES:
            self._violate(
                "BUDGET",
                text=f"{self._late_arrivals} copies reached servers later than "
                f"{CONTACT_SECONDS} s after the third crash; {self.crashes} crashes",
            )


def play_random_crashes(seed: int, seconds: float = 40.0) -> Report:
    """Play random servers and loads, and faults of one instance at a time."""
    generator = random.Random(seed)
    shape = CrashShape(
        servers=generator.choice((3, 4, 8)),
        harmful_per_second=generator.choice((0.5, 3.0)),
        popular_share=generator.choice((0.0, 0.5)),
        accepts_connections=generator.random() < 0.5,
        lost_share=generator.choice((0.0, 0.0, 0.05)),
    )

    async def scenario(model: CrashModel) -> None:
        model.start_harmful()
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await disturb(model, generator)
            await trio.sleep(generator.uniform(0.5, 6.0))
        model.mend_all()

    return CrashModel(seed, shape).run(scenario)
