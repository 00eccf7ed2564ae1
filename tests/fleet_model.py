"""Model of a large fleet: routed instances behind links with a rate and a queue.

The instances are the project's own; links, clock and servers are virtual. Run
``python -m tests.fleet_model --help`` to play other sizes than CI does.
"""

import argparse
import heapq
import json
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import msgspec
import trio

from sassafraspin.dispatch import RateLimitNotice
from sassafraspin.http import Headers, Request
from sassafraspin.membership import Member, MemberIdentity
from sassafraspin.platform.adapter import PlatformAdapter
from sassafraspin.routed import RoutedListen, RoutedSettings
from sassafraspin.routed.runtime import RoutedRuntime
from sassafraspin.rpc.network import NetworkUsage
from sassafraspin.settings import (
    Address,
    ControlSettings,
    DispatchSettings,
    InstanceSettings,
    NamedAddress,
)
from tests.drain_world import deterministic_run
from tests.routed_deployment import configuration
from tests.routed_model import run_in_virtual_time

__all__ = ["FleetReport", "FleetShape", "play_fleet"]

_BITS_PER_BYTE = 8
_MEGABIT = 1_000_000
_LATENCY_SECONDS = 0.0014
_HEADER_BYTES = 60
_MAX_QUEUE_SECONDS = 1.0
"""A link drops what would wait longer."""

_TICK_SECONDS = 0.1
_ANNOUNCEMENT_SECONDS = 1.2
_LEASE_SECONDS = 3.0
_RATE_LIMIT = 2.7
_HEADERS = Headers((("host", "control"),))


@dataclass(frozen=True)
class FleetShape:
    """Size of a fleet, its links, and what is done to its leader.

    Parameters
    ----------
    instances, servers : int
        Numbers of instances, control instances included, and of backend servers.
    control : int
        Number of instances with a disk.
    seconds : float
        Time that is played.
    freeze_leader_at : float or None
        When the leader freezes, for two seconds.
    freezes_when_complete : bool
        Whether it freezes only once every instance knows all servers.
    name_limit_at : float or None
        When the leader is told that a server has named a rate limit.
    control_megabits, member_megabits : float
        Rates of the links.
    seed : int
        Seed of all that is random, the order of tasks included.
    """

    instances: int = 200
    servers: int = 162
    control: int = 6
    seconds: float = 15.0
    freeze_leader_at: float | None = None
    freezes_when_complete: bool = True
    name_limit_at: float | None = None
    control_megabits: float = 100.0
    member_megabits: float = 5.0
    seed: int = 1


@dataclass
class FleetReport:
    """What happened in a play.

    Parameters
    ----------
    terms : set of int
        Terms in which an instance held the leader lease.
    seconds_without_leader : float
        Time without a leader, after the first one.
    sent_bytes, sent_messages : Counter
        By type of message.
    first_second_bytes : int
        Bytes that the last leader sent in its first second.
    dropped_messages : int
        Messages that found a full link.
    longest_queue_seconds : float
        Longest time that a message of a control instance waited for its link.
    complete_directories : int
        Instances that knew all servers at the end.
    limit_known_seconds : float or None
        Time until every instance knew the rate limit that was named, ``None`` if one of
        them did not learn it.
    """

    terms: set[int] = field(default_factory=set)
    seconds_without_leader: float = 0.0
    sent_bytes: Counter = field(default_factory=Counter)
    sent_messages: Counter = field(default_factory=Counter)
    first_second_bytes: int = 0
    dropped_messages: int = 0
    longest_queue_seconds: float = 0.0
    complete_directories: int = 0
    limit_known_seconds: float | None = None


class _Link:
    """One direction of an instance's link."""

    def __init__(self, megabits: float) -> None:
        self._bytes_per_second = megabits * _MEGABIT / _BITS_PER_BYTE
        self._free_at = 0.0

    def transmit(self, size: int, at: float) -> float | None:
        """Return when the last byte has passed, ``None`` if the queue is full."""
        start = max(at, self._free_at)
        if start - at > _MAX_QUEUE_SECONDS:
            return None
        self._free_at = start + size / self._bytes_per_second
        return self._free_at


class _Fleet:
    """Instances, links and servers of one play."""

    def __init__(self, shape: FleetShape, folder: Path) -> None:
        self._shape = shape
        self._report = FleetReport()
        self._generator = random.Random(shape.seed)
        self._names = [f"c{n}" for n in range(shape.control)]
        self._names += [f"e{n}" for n in range(shape.instances - shape.control)]
        self._frozen: set[str] = set()
        self._queue: list[tuple[float, int, str, str, object]] = []
        self._sent = 0
        self._wakeup = trio.Event()
        self._size: tuple[object, int] = (None, 0)
        self._leads_since: dict[str, float] = {}
        rates = {
            name: shape.control_megabits if name[0] == "c" else shape.member_megabits
            for name in self._names
        }
        self._egress = {name: _Link(rate) for name, rate in rates.items()}
        self._ingress = {name: _Link(rate) for name, rate in rates.items()}
        voters = min(5, shape.control)
        control = tuple(
            NamedAddress(name, _host(number), 7600)
            for number, name in enumerate(self._names[:voters])
        )
        self._runtimes = {
            name: self._make_runtime(name, number, control, folder)
            for number, name in enumerate(self._names)
        }

    async def play(self) -> FleetReport:
        """Play the fleet and return what happened."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver)
            for name in self._names:
                nursery.start_soon(self._tick, name)
            await trio.sleep(1.0)
            await self._configure()
            for number in range(self._shape.servers):
                nursery.start_soon(self._announce, number)
            if self._shape.freeze_leader_at is not None:
                nursery.start_soon(self._freeze_leader)
            if self._shape.name_limit_at is not None:
                nursery.start_soon(self._name_limit)
            await self._watch()
            nursery.cancel_scope.cancel()
        self._report.complete_directories = self._complete_directories()
        return self._report

    def _complete_directories(self) -> int:
        """Return the number of instances that know all servers."""
        return sum(
            sum(1 for _ in runtime._directory.of_service("desk")) == self._shape.servers
            for runtime in self._runtimes.values()
        )

    def _leader(self) -> str | None:
        for name in self._names[: self._shape.control]:
            runtime = self._runtimes[name]
            if name not in self._frozen and runtime._control.leads(trio.current_time()):
                return name
        return None

    async def _configure(self) -> None:
        request = _control_request("PUT", "config", configuration())
        while True:
            leader = self._leader()
            if leader is not None:
                response = await self._runtimes[leader].handle_control(request)
                if response.status == 200:
                    return
            await trio.sleep(0.05)

    async def _announce(self, number: int) -> None:
        """Announce a server at intervals to whichever instance leads."""
        await trio.sleep(self._generator.uniform(0.0, _ANNOUNCEMENT_SECONDS))
        sequence = 0
        while True:
            leader = self._leader()
            if leader is not None:
                sequence += 1
                document = {
                    "service": "desk",
                    "address": f"10.9.{number // 250}.{number % 250}:8000",
                    "zone": "a",
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "sequence": sequence,
                    "born": 1,
                }
                name = f"instances/i-{number:010d}"
                request = _control_request("PUT", name, document)
                await self._runtimes[leader].handle_control(request)
            await trio.sleep(_ANNOUNCEMENT_SECONDS)

    async def _freeze_leader(self) -> None:
        await trio.sleep_until(self._shape.freeze_leader_at)
        if self._shape.freezes_when_complete:
            while self._complete_directories() < self._shape.instances:
                await trio.sleep(0.05)
        leader = self._leader()
        if leader is None:
            return
        self._frozen.add(leader)
        await trio.sleep(2.0)
        self._frozen.discard(leader)

    async def _name_limit(self) -> None:
        """Tell the leader of a limit and wait until every instance knows it."""
        await trio.sleep_until(self._shape.name_limit_at)
        leader = self._leader()
        assert leader is not None
        server = next(self._runtimes[leader]._directory.of_service("desk"))
        notice = RateLimitNotice(
            "desk", "g", server.id, server.incarnation, _RATE_LIMIT
        )
        self._runtimes[leader].receive(MemberIdentity(leader, 1), notice)
        while not all(
            runtime._directory.find(server.id).rate_limit == _RATE_LIMIT
            for runtime in self._runtimes.values()
        ):
            await trio.sleep(0.01)
        named_at = self._shape.name_limit_at
        self._report.limit_known_seconds = trio.current_time() - named_at

    async def _watch(self) -> None:
        step = 0.01
        while self._leader() is None and trio.current_time() < self._shape.seconds:
            await trio.sleep(step)
        previous = None
        while trio.current_time() < self._shape.seconds:
            leader = self._leader()
            if leader is None:
                self._report.seconds_without_leader += step
            else:
                self._report.terms.add(self._runtimes[leader]._control.term)
                if leader != previous:
                    self._leads_since = {leader: trio.current_time()}
                    self._report.first_second_bytes = 0
            previous = leader
            await trio.sleep(step)

    async def _tick(self, name: str) -> None:
        await trio.sleep(self._generator.uniform(0.0, 0.3))
        while True:
            if name not in self._frozen:
                self._runtimes[name].tick()
            await trio.sleep(_TICK_SECONDS)

    def _send(self, source: str, target: str, message: object) -> None:
        if target not in self._runtimes:
            return
        now = trio.current_time()
        arrives_at: float | None = now
        if source != target:
            size = self._size_of(message)
            kind = type(message).__name__
            self._report.sent_bytes[kind] += size
            self._report.sent_messages[kind] += 1
            if now - self._leads_since.get(source, -1e9) < 1.0:
                self._report.first_second_bytes += size
            arrives_at = self._pass_links(source, target, size, now)
        if arrives_at is None:
            self._report.dropped_messages += 1
            return
        self._sent += 1
        heapq.heappush(self._queue, (arrives_at, self._sent, source, target, message))
        self._wakeup.set()

    def _pass_links(
        self, source: str, target: str, size: int, now: float
    ) -> float | None:
        sent_at = self._egress[source].transmit(size, now)
        if sent_at is None:
            return None
        if source[0] == "c":
            waited = sent_at - now
            self._report.longest_queue_seconds = max(
                self._report.longest_queue_seconds, waited
            )
        return self._ingress[target].transmit(size, sent_at + _LATENCY_SECONDS)

    def _size_of(self, message: object) -> int:
        known, size = self._size
        if known is not message:
            size = len(msgspec.msgpack.encode(message)) + _HEADER_BYTES
            self._size = message, size
        return size

    async def _deliver(self) -> None:
        while True:
            if not self._queue:
                self._wakeup = trio.Event()
                await self._wakeup.wait()
            arrives_at = self._queue[0][0]
            if arrives_at > trio.current_time():
                self._wakeup = trio.Event()
                with trio.move_on_at(arrives_at):
                    await self._wakeup.wait()
                continue
            _, _, source, target, message = heapq.heappop(self._queue)
            if target not in self._frozen and source not in self._frozen:
                identity = MemberIdentity(source, 1)
                self._runtimes[target].receive(identity, message)

    def _make_runtime(
        self, name: str, number: int, control: tuple[NamedAddress, ...], folder: Path
    ) -> RoutedRuntime:
        own = Address(_host(number), 7600)
        has_disk = name[0] == "c"
        settings = RoutedSettings(
            instance=InstanceSettings(name, "south", f"z{number % 6}"),
            listen=RoutedListen(own, own, own, own),
            seeds=(),
            founds=number == 0,
            may_found=has_disk,
            tolerated_losses=len(control) // 2,
            data_folder=folder / name / "data" if has_disk else None,
            control=ControlSettings(
                (),
                member_lease_ms=int(_LEASE_SECONDS * 1000),
                election_timeout_ms=400,
                replace_after_ms=3_000,
            ),
            dispatch=DispatchSettings(
                grant_use_within_ms=500, slot_repeat_ms=40, standby_after_ms=80
            ),
            announcement_ttl_ms=4_200,
        )
        if settings.data_folder is not None:
            settings.data_folder.mkdir(parents=True)
        member = Member(name, 1, "south", f"z{number % 6}", own.host, own.port)
        network = SimpleNamespace(
            send=lambda target, message: self._send(name, target, message),
            set_peer_address=lambda address: None,
            usage=lambda: NetworkUsage(0, None, 0, 0, {}),
        )
        return RoutedRuntime(
            settings,
            control,
            member,
            network,
            PlatformAdapter(4_200),
            random.Random(self._shape.seed * 1_000 + number),
        )


def play_fleet(shape: FleetShape) -> FleetReport:
    """Play a fleet in virtual time and return what happened."""
    reports: list[FleetReport] = []

    async def run() -> None:
        with (
            deterministic_run(shape.seed),
            tempfile.TemporaryDirectory() as folder,
            mock.patch("sassafraspin.routed.setup.steady_time", trio.current_time),
            mock.patch("sassafraspin.routed.setup.PROCESS_STARTED_AT", 0.0),
        ):
            reports.append(await _Fleet(shape, Path(folder)).play())

    run_in_virtual_time(run)
    return reports[0]


def _host(number: int) -> str:
    return f"10.{number // 250}.0.{number % 250 + 1}"


def _control_request(method: str, path: str, document: dict) -> Request:
    body = json.dumps(document).encode()
    return Request(method, f"/sassafraspin/{path}", _HEADERS, body)


def _describe(shape: FleetShape, report: FleetReport) -> str:
    kinds = ", ".join(
        f"{kind} {size // 1000} kB in {report.sent_messages[kind]}"
        for kind, size in report.sent_bytes.most_common(6)
    )
    return (
        f"{shape.instances} x {shape.servers}, seed {shape.seed}: "
        f"{len(report.terms)} terms, {report.seconds_without_leader:.2f} s without a "
        f"leader, {report.first_second_bytes // 1000} kB in the leader's first second, "
        f"longest queue {report.longest_queue_seconds * 1000:.0f} ms, "
        f"{report.dropped_messages} dropped, {report.complete_directories} complete "
        f"directories; {kinds}"
    )


def main(arguments: list[str] | None = None, write: Callable = print) -> None:
    """Play fleets of given sizes and write a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[24, 88, 200, 390])
    parser.add_argument("--servers", type=int, default=162)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--freeze-at", type=float)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args(arguments)
    for instances in options.instances:
        for seed in range(1, options.seeds + 1):
            shape = FleetShape(
                instances,
                options.servers,
                seconds=options.seconds,
                freeze_leader_at=options.freeze_at,
                seed=seed,
            )
            write(_describe(shape, play_fleet(shape)))


if __name__ == "__main__":
    main()
