"""World of the drain model: instances, links, clocks, servers and callers, all virtual.

Every instance is a real ``RoutedRuntime`` in one trio run on a virtual clock. Only its
surroundings are replaced: the peer network, the disk, the clock, the HTTP client to
backend servers and the HTTP servers.
"""

import heapq
import itertools
import json
import random
import types
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Generator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import trio

from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.http import (
    BodyFraming,
    Headers,
    MemoryBudget,
    MemoryHold,
    Request,
    RequestProblem,
    Response,
    problem_response,
)
from sassafraspin.membership import Member, MemberIdentity
from sassafraspin.platform.adapter import PlatformAdapter
from sassafraspin.routed.runtime import RoutedRuntime
from sassafraspin.routed.settings import RoutedListen, RoutedSettings
from sassafraspin.rpc import NetworkUsage
from sassafraspin.rpc.frames import MessageCodec
from sassafraspin.settings import (
    Address,
    ControlSettings,
    DispatchSettings,
    HttpLimits,
    InstanceSettings,
    NamedAddress,
)
from tests.simulation import MAX_CLOCK_DRIFT, MemoryFiles

CONTROL_NAMES = ("c1", "c2", "c3")
ENTRY_NAMES = ("e1", "e2", "e3")
INSTANCE_NAMES = CONTROL_NAMES + ENTRY_NAMES

HEARTBEAT_SECONDS = 1.2
TICK_SECONDS = 0.1
PING_SECONDS = 1.0
"""Time that a backend server waits for the answer to a ping."""

PING_DELAY_SECONDS = 10.0
"""Longest time for which a ping is on its way; the users' pages speak of seconds."""

PEER_PORT = 7000
CONTROL_PORT = 8000
SERVICE = "desk"
KEY = "key"

_ANNOUNCEMENT_TTL_MS = int(3.5 * HEARTBEAT_SECONDS * 1000)
_WALL_CLOCK_START = 1_700_000_000.0

_CODEC: MessageCodec = MessageCodec(PeerMessage)


class Timeline:
    """Calls functions at points of virtual time, in order."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._changed = trio.Event()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``seconds``."""
        at = trio.current_time() + seconds
        heapq.heappush(self._queue, (at, next(self._counter), action))
        self._changed.set()

    async def run(self) -> None:
        """Call the functions that are due, until cancelled."""
        while True:
            while self._queue and self._queue[0][0] <= trio.current_time():
                heapq.heappop(self._queue)[2]()
            self._changed = trio.Event()
            due = self._queue[0][0] if self._queue else float("inf")
            with trio.move_on_at(due):
                await self._changed.wait()


class DriftingClock:
    """Clock of an instance, with a random offset and rate.

    Parameters
    ----------
    generator : random.Random
        Source of the offset and the rate.
    """

    def __init__(self, generator: random.Random) -> None:
        self._offset = generator.uniform(0, 1000)
        half = MAX_CLOCK_DRIFT / 2
        self._rate = 1 + generator.uniform(-half, half)

    def now(self) -> float:
        """Return the instance's time in seconds."""
        return self._offset + self._rate * trio.current_time()


@dataclass(frozen=True)
class Harm:
    """Loss and additional delay of messages on a link.

    Messages of more than ``max_bytes`` are lost, as if their stream hung.
    """

    loss: float = 0.0
    delay: float = 0.0
    max_bytes: int | None = None


class Links:
    """Directed links between machines, with delay, loss, duplication and cuts.

    Messages overtake each other, because each has a delay of its own.

    Parameters
    ----------
    timeline : Timeline
        Delivers the messages.
    generator : random.Random
        Source of delays and losses.
    """

    def __init__(self, timeline: Timeline, generator: random.Random) -> None:
        self._timeline = timeline
        self._generator = generator
        self.blocked: set[tuple[str, str]] = set()
        self.harmed: dict[tuple[str, str], Harm] = {}
        self.max_delay = 0.012
        self.duplication = 0.02

    def is_open(self, source: str, target: str) -> bool:
        """Return whether the link is not cut in this direction."""
        return (source, target) not in self.blocked

    def connects(self, one: str, other: str) -> bool:
        """Return whether the link is not cut in any direction."""
        return self.is_open(one, other) and self.is_open(other, one)

    def pass_on(
        self,
        source: str,
        target: str,
        deliver: Callable[[], None],
        size: int = 0,
        repeat: bool = True,
    ) -> None:
        """Call ``deliver`` once, several times or never, after a delay.

        Parameters
        ----------
        source, target : str
            Names of the machines.
        deliver : callable
            Hands the message over.
        size : int
            Bytes of the message.
        repeat : bool
            Whether the message may be duplicated.
        """
        if source == target:
            self._timeline.after(0.0, deliver)
            return
        harm = self.harmed.get((source, target), Harm())
        copies = 1
        if repeat and self._generator.random() < self.duplication:
            copies = 2
        for _ in range(copies):
            delay = self._generator.uniform(0.0005, self.max_delay)
            delay += self._generator.uniform(0.0, harm.delay)
            if self._generator.random() < harm.loss:
                continue
            if harm.max_bytes is not None and size > harm.max_bytes:
                continue
            self._timeline.after(delay, lambda: self._arrive(source, target, deliver))

    def _arrive(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        if self.is_open(source, target):
            deliver()


class Gate:
    """Holds back the tasks of an instance while it is paused."""

    def __init__(self) -> None:
        self._opened = trio.Event()
        self._opened.set()

    @property
    def is_closed(self) -> bool:
        """Return whether tasks are held back."""
        return not self._opened.is_set()

    def close(self) -> None:
        """Hold back the tasks from their next step on."""
        if self._opened.is_set():
            self._opened = trio.Event()

    def open(self) -> None:
        """Let the tasks go on."""
        self._opened.set()

    def run(self, coroutine: Coroutine) -> Awaitable:
        """Return an awaitable that runs a coroutine while the gate is open.

        What the coroutine waits for may happen while the gate is closed; it learns
        about it afterwards, as in a process that was suspended.
        """
        return _Gated(coroutine, self)

    async def passed(self) -> None:
        """Wait until the gate is open, even if the task is cancelled meanwhile."""
        with trio.CancelScope(shield=True):
            while self.is_closed:
                await self._opened.wait()


class _Gated:
    def __init__(self, coroutine: Coroutine, gate: Gate) -> None:
        self._coroutine = coroutine
        self._gate = gate

    def __await__(self) -> Generator[Any, Any, Any]:
        value: Any = None
        while True:
            if self._gate.is_closed:
                yield from _steps(self._gate.passed())
            try:
                trap = self._coroutine.send(value)
            except StopIteration as end:
                return end.value
            value = yield trap


@types.coroutine
def _steps(coroutine: Coroutine) -> Generator[Any, Any, None]:
    yield from coroutine.__await__()


class Port:
    """Peer network of one incarnation of an instance; like ``PeerNetwork``.

    Parameters
    ----------
    instance : Instance
        The instance.
    deliver : callable
        Called with the name of the target and a frame.
    """

    def __init__(
        self, instance: "Instance", deliver: Callable[[str, bytes], None]
    ) -> None:
        self._name = instance.name
        self._incarnation = instance.incarnation
        self._deliver = deliver
        self._known = {self._name, *CONTROL_NAMES}
        self.is_open = True

    def send(self, peer: str, message: Any) -> None:
        """Send a message, unless the process has ended or knows no address."""
        if not self.is_open or peer not in self._known:
            return
        data = _CODEC.encode_message(message)
        frame = _CODEC.encode_frame(self._name, self._incarnation, [data])
        self._deliver(peer, frame)

    def set_peer_address(self, address: NamedAddress) -> None:
        """Record that the address of an instance is known."""
        self._known.add(address.name)

    def usage(self) -> NetworkUsage:
        """Return that nothing is pending."""
        return NetworkUsage(0, None, 0, 0, {})


@dataclass
class Answer:
    """Response of a backend server as ``OpenResponse`` shows it."""

    status: int
    headers: Headers
    body: bytes
    framing: BodyFraming = BodyFraming.LENGTH
    is_framed: bool = True
    is_encoded: bool = False
    relay: str | None = None

    async def read(self) -> bytes:
        """Return the body."""
        return self.body

    def take_hold(self) -> MemoryHold:
        """Return memory of which nothing is held, as bodies are small."""
        return MemoryHold(MemoryBudget(1))

    async def discard(self) -> None:
        """Ignore the body."""


class ServerClient:
    """HTTP client of an instance; requests reach the servers of the model.

    Parameters
    ----------
    instance : Instance
        The instance.
    reach : callable
        Coroutine function that is called with the instance and the request, and
        returns the answer of the server.
    refuses : callable
        Returns whether no process listens on an address.
    """

    def __init__(
        self,
        instance: "Instance",
        reach: Callable[["Instance", Request], Awaitable[Answer]],
        refuses: Callable[[Address], bool],
    ) -> None:
        self._instance = instance
        self._reach = reach
        self._refuses = refuses

    @asynccontextmanager
    async def open(
        self, address: Address, request: Request, may_abandon: bool = False
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its response."""
        yield await self._reach(self._instance, request)

    def has_lost_path(self, address: Address) -> bool:
        """Return False: instances are not partitioned from servers."""
        return False

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether no process listens on an address."""
        return self._refuses(address)

    def close_unusable(self) -> None:
        """Do nothing: there are no connections."""

    def close(self) -> None:
        """Do nothing: there are no connections."""


class Instance:
    """One machine: its disk and clock, and the process that runs on it, if any.

    Parameters
    ----------
    name : str
        Name; its control role follows from it.
    number : int
        Distinguishes the addresses of instances.
    generator : random.Random
        Source of randomness.
    """

    def __init__(self, name: str, number: int, generator: random.Random) -> None:
        self.name = name
        self.host = f"10.0.0.{number}"
        self.clock = DriftingClock(generator)
        self.incarnation = 0
        self.runtime: RoutedRuntime | None = None
        self.gate = Gate()
        self._files = MemoryFiles() if name in CONTROL_NAMES else None
        self._generator = generator
        self._port: Port | None = None
        self._inbox: deque[Callable[[], None]] = deque()
        self._scope: trio.CancelScope | None = None
        self._nursery: trio.Nursery | None = None

    @property
    def is_alive(self) -> bool:
        """Return whether a process runs here, paused or not."""
        return self.runtime is not None

    @property
    def is_running(self) -> bool:
        """Return whether a process runs here that is not paused."""
        return self.is_alive and not self.gate.is_closed

    @property
    def member(self) -> Member:
        """Return the member entry of the process."""
        return Member(self.name, self.incarnation, "south", "a", self.host, PEER_PORT)

    def start(
        self,
        nursery: trio.Nursery,
        deliver: Callable[[str, str, bytes], None],
        reach: Callable[["Instance", Request], Awaitable[Answer]],
        refuses: Callable[[Address], bool],
    ) -> None:
        """Start a process with a new incarnation; a control instance has its disk."""
        self.incarnation += 1
        self.gate = Gate()
        self._inbox.clear()
        self._port = Port(self, lambda peer, frame: deliver(self.name, peer, frame))
        client = ServerClient(self, reach, refuses)
        with _patched_surroundings(self.clock, self._files, client):
            self.runtime = RoutedRuntime(
                _settings(self),
                control_addresses(),
                self.member,
                self._port,
                PlatformAdapter(_ANNOUNCEMENT_TTL_MS),
                random.Random(self._generator.random()),
            )
        self._scope = trio.CancelScope()
        nursery.start_soon(self._run, self.runtime, self._scope)

    def kill(self) -> None:
        """End the process at once; it sends nothing more."""
        self.runtime = None
        self._inbox.clear()
        if self._port is not None:
            self._port.is_open = False
        self._nursery = None
        if self._scope is not None:
            self._scope.cancel()
        self.gate.open()

    def pause(self) -> None:
        """Suspend the process: its messages queue, and none of its tasks goes on."""
        if self.is_alive:
            self.gate.close()

    def resume(self) -> None:
        """Let the process go on, with all messages that came meanwhile."""
        self.gate.open()
        while self._inbox and self.is_running:
            self._inbox.popleft()()

    def deliver(self, frame: bytes) -> None:
        """Hand a frame of another instance to the process."""
        self._when_running(lambda: self._receive(frame))

    def handle_control(
        self, request: Request, answer: Callable[[Response | None], None]
    ) -> None:
        """Pass a control request to the process; ``answer`` gets its response.

        It gets ``None`` if no process runs here, or if it ends before the answer.
        """
        if not self.is_alive:
            answer(None)
            return
        self._when_running(
            lambda: self._start_soon(self._answer_control, request, answer)
        )

    def handle_call(
        self, request: Request, responder: "CallResponder", ended: Callable[[], None]
    ) -> None:
        """Pass a call to the process; ``ended`` is called when it is done with it."""
        if not self.is_alive:
            ended()
            return
        self._when_running(
            lambda: self._start_soon(self._answer_call, request, responder, ended)
        )

    async def _run(self, runtime: RoutedRuntime, scope: trio.CancelScope) -> None:
        gate = self.gate
        with scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                wait = self._generator.uniform(0, TICK_SECONDS)
                while True:
                    await gate.run(trio.sleep(wait))
                    runtime.tick()
                    wait = TICK_SECONDS

    def _when_running(self, action: Callable[[], None]) -> None:
        if not self.is_alive:
            return
        if self.gate.is_closed:
            self._inbox.append(action)
        else:
            action()

    def _start_soon(self, function: Callable[..., Awaitable], *arguments: Any) -> None:
        """Start a task of the process; requests before its first tick are lost."""
        if self._nursery is not None:
            self._nursery.start_soon(function, self.runtime, *arguments)

    def _receive(self, frame: bytes) -> None:
        decoded = _CODEC.decode_frame(frame)
        identity = MemberIdentity(decoded.source, decoded.incarnation)
        for message in decoded.messages:
            self.runtime.receive(identity, message)

    async def _answer_control(
        self,
        runtime: RoutedRuntime,
        request: Request,
        answer: Callable[[Response | None], None],
    ) -> None:
        response: Response | None = None
        try:
            response = await self.gate.run(_handle_control(runtime, request))
        finally:
            answer(response if self.runtime is runtime else None)

    async def _answer_call(
        self,
        runtime: RoutedRuntime,
        request: Request,
        responder: "CallResponder",
        ended: Callable[[], None],
    ) -> None:
        try:
            await self.gate.run(runtime.entry.handle(request, responder))
        finally:
            ended()


async def _handle_control(runtime: RoutedRuntime, request: Request) -> Response:
    try:
        return await runtime.handle_control(request)
    except RequestProblem as problem:
        return problem_response(problem)


@dataclass
class CallResponder:
    """Records the response to a call."""

    response: Response | None = None

    @property
    def has_started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self.response is not None

    async def send(self, response: Response) -> None:
        """Record a response."""
        await trio.lowlevel.checkpoint()
        self.response = response


@dataclass
class ServerBoot:
    """One incarnation of a backend server, as the oracle sees it.

    Parameters
    ----------
    born : int
        Unix time of its start, in milliseconds.
    leaving_since : float or None
        When it first said that it leaves.
    acknowledged_at : float or None
        When it first got an acknowledgement of that.
    binding_since : float or None
        When it first got an acknowledgement of an instance in touch.
    ready_since : float or None
        When it first got an acknowledgement that it is ready.
    """

    born: int
    leaving_since: float | None = None
    acknowledged_at: float | None = None
    binding_since: float | None = None
    ready_since: float | None = None
    has_given_up: bool = False


@dataclass
class LeavePlan:
    """How a backend server leaves.

    Parameters
    ----------
    withdraws : bool
        Whether it sends ``DELETE`` without having reported ``draining``.
    targets : tuple of str
        Instances that it asks first.
    lingers : float
        Seconds for which it serves on after the acknowledgement.
    restarts_after : float or None
        Seconds after its end at which it starts again, ``None`` for never.
    """

    withdraws: bool = False
    targets: tuple[str, ...] = ()
    lingers: float = 6.0
    restarts_after: float | None = None


Exchange = Callable[[str, str, Request], Awaitable[tuple[str, Response] | None]]
"""Sends a control request of a server to an instance; returns who answered it."""


class Server:
    """A backend server, which pings the instances as the users' servers do.

    Parameters
    ----------
    name : str
        Its name.
    number : int
        Distinguishes the addresses of servers.
    exchange : Exchange
        Sends a request.
    acknowledged : callable
        Called with the server and the name of the instance that acknowledged that it
        leaves.
    generator : random.Random
        Source of randomness.
    """

    slots = 12

    def __init__(
        self,
        name: str,
        number: int,
        exchange: Exchange,
        acknowledged: Callable[["Server", str], None],
        generator: random.Random,
    ) -> None:
        self.name = name
        self.address = f"10.0.1.{number}:9000"
        self.is_running = False
        self.boot = ServerBoot(0)
        self._last_ready_ping: tuple[float, Request] | None = None
        self._exchange = exchange
        self._acknowledged = acknowledged
        self._generator = generator
        self._sequence = 0
        self._targets = list(INSTANCE_NAMES)
        self._plan: LeavePlan | None = None
        self._told_to_leave = trio.Event()

    @property
    def is_leaving(self) -> bool:
        """Return whether it has said that it leaves."""
        return self.boot.leaving_since is not None

    @property
    def is_told_to_leave(self) -> bool:
        """Return whether it leaves, or is about to."""
        return self._told_to_leave.is_set() or not self.is_running

    def ready_ping(self, arrives_in: float = 0.0) -> Request | None:
        """Return the last ``ready`` ping, ``None`` if it would be too long on its way.

        Parameters
        ----------
        arrives_in : float
            Time until another copy of it arrives, in seconds.
        """
        if self._last_ready_ping is None:
            return None
        sent_at, request = self._last_ready_ping
        delay = trio.current_time() + arrives_in - sent_at
        return request if delay <= PING_DELAY_SECONDS else None

    def leave(self, plan: LeavePlan) -> None:
        """Make the server leave; ignored if it does already."""
        if not self._told_to_leave.is_set():
            self._plan = plan
            self._told_to_leave.set()

    async def run(self) -> None:
        """Start, leave when told to, and start again, until it stays away."""
        while True:
            self._start()
            await self._serve()
            plan = self._plan
            assert plan is not None
            await self._leave(plan)
            self.is_running = False
            if plan.restarts_after is None:
                return
            await trio.sleep(plan.restarts_after)

    def _start(self) -> None:
        self.boot = ServerBoot(int(wall_clock() * 1000))
        self.is_running = True
        self._sequence = 0
        self._plan = None
        self._told_to_leave = trio.Event()
        self._generator.shuffle(self._targets)

    async def _serve(self) -> None:
        while not self._told_to_leave.is_set():
            if await self._ping("ready") and self.boot.ready_since is None:
                self.boot.ready_since = trio.current_time()
            pause = HEARTBEAT_SECONDS * self._generator.uniform(0.9, 1.1)
            with trio.move_on_after(pause):
                await self._told_to_leave.wait()

    async def _leave(self, plan: LeavePlan) -> None:
        boot = self.boot
        boot.leaving_since = trio.current_time()
        others = [name for name in self._targets if name not in plan.targets]
        self._targets = [*plan.targets, *others]
        state = None if plan.withdraws else "draining"
        with trio.move_on_after(12.0):
            while not await self._ping(state):
                await trio.sleep(0.1)
        boot.has_given_up = boot.acknowledged_at is None
        end = trio.current_time() + plan.lingers
        while trio.current_time() < end:
            await trio.sleep(HEARTBEAT_SECONDS)
            if state is not None:
                await self._ping(state)
        await self._ping(None)

    async def _ping(self, state: str | None) -> bool:
        """Ask one instance after the other; return whether one acknowledged.

        A ``state`` of ``None`` is the withdrawal.
        """
        request = self._request(state)
        for attempt in range(len(self._targets)):
            if attempt > 0:
                await trio.sleep(min(0.1 * 2**attempt, 0.4))
            answered = await self._exchange(self.name, self._targets[0], request)
            if answered is not None and 200 <= answered[1].status < 300:
                if state != "ready":
                    self._record_acknowledgement(answered[0])
                return True
            self._targets.append(self._targets.pop(0))
            if state == "ready" and self._told_to_leave.is_set():
                return False
        return False

    def _record_acknowledgement(self, instance: str) -> None:
        if self.boot.acknowledged_at is None:
            self.boot.acknowledged_at = trio.current_time()
        self._acknowledged(self, instance)

    def _request(self, state: str | None) -> Request:
        path = f"/sassafraspin/instances/{self.name}"
        headers = Headers((("host", "control"),))
        if state is None:
            return Request("DELETE", path, headers)
        self._sequence += 1
        document = {
            "service": SERVICE,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "sequence": self._sequence,
            "born": self.boot.born,
        }
        request = Request("PUT", path, headers, json.dumps(document).encode())
        if state == "ready":
            self._last_ready_ping = trio.current_time(), request
        return request


@dataclass
class Call:
    """One call of a caller, as the oracle sees it."""

    request_id: str
    instance: str
    is_idempotent: bool
    sent_at: float
    was_in_touch: bool
    was_calm: bool
    runs: list[str] = field(default_factory=list)
    was_failed_by_server: bool = False


def control_addresses() -> tuple[NamedAddress, ...]:
    """Return the addresses of the control instances."""
    return tuple(
        NamedAddress(name, f"10.0.0.{number}", PEER_PORT)
        for number, name in enumerate(CONTROL_NAMES, start=1)
    )


def configuration() -> bytes:
    """Return a configuration with an idempotent route and one that is not."""
    routes = [
        {
            "name": kind,
            "hostname": "mill.example",
            "path_prefix": f"/{kind}/",
            "route_type": kind,
            "timeout_ms": 4_000,
            "target_latency_ms": 1_000,
            "service": SERVICE,
            "max_attempts": tries,
        }
        for kind, tries in (("safe", 2), ("unsafe", 1))
    ]
    document = {
        "version": 1,
        "routes": routes,
        "services": [{"name": SERVICE, "max_connections": 50}],
        "tenants": [{"name": "mill", "api_keys": [KEY]}],
    }
    return json.dumps(document).encode()


def wall_clock() -> float:
    """Return the Unix time in seconds, which is the same on all machines."""
    return _WALL_CLOCK_START + trio.current_time()


@contextmanager
def deterministic_run(seed: int):
    """Make trio's scheduling, UUIDs and the wall clock depend on the seed only."""
    identifiers = random.Random(seed)

    def uuid4() -> SimpleNamespace:
        return SimpleNamespace(hex=f"{identifiers.getrandbits(128):032x}")

    with (
        mock.patch("trio._core._run._r", random.Random(seed)),
        mock.patch("trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch("uuid.uuid4", uuid4),
        mock.patch(
            "sassafraspin.daemon.node.time",
            SimpleNamespace(time_ns=lambda: int(wall_clock() * 1e9)),
        ),
        mock.patch("sassafraspin.routed.runtime.resident_bytes", lambda: 0),
    ):
        yield


@contextmanager
def _patched_surroundings(
    clock: DriftingClock, files: MemoryFiles | None, client: ServerClient
):
    """Give a ``RoutedRuntime`` that is constructed its own clock, disk and client."""
    with (
        mock.patch("sassafraspin.routed.setup.steady_time", clock.now),
        mock.patch("sassafraspin.routed.setup.PROCESS_STARTED_AT", clock.now()),
        mock.patch(
            "sassafraspin.daemon.control_service.DataFolder", lambda path: files
        ),
        mock.patch("sassafraspin.routed.runtime.HttpClient", lambda *_: client),
    ):
        yield


def _settings(instance: Instance) -> RoutedSettings:
    """Return the settings that ``platform/boot.py`` gives an instance."""
    host = instance.host
    has_disk = instance.name in CONTROL_NAMES
    return RoutedSettings(
        instance=InstanceSettings(instance.name, "south", "a"),
        listen=RoutedListen(
            Address(host, 80),
            Address(host, 81),
            Address(host, CONTROL_PORT),
            Address(host, PEER_PORT),
        ),
        seeds=(),
        founds=False,
        may_found=has_disk,
        tolerated_losses=1,
        data_folder=Path("/virtual") / instance.name if has_disk else None,
        control=ControlSettings(
            (),
            election_timeout_ms=400,
            replace_after_ms=3_000,
            snapshot_after_entries=40,
        ),
        dispatch=DispatchSettings(
            slot_timeout_ms=1_000,
            grant_use_within_ms=500,
            connect_timeout_ms=400,
            progress_timeout_ms=30_000,
            slot_repeat_ms=40,
            standby_after_ms=80,
        ),
        http=HttpLimits(),
        announcement_ttl_ms=_ANNOUNCEMENT_TTL_MS,
    )
