"""Deployment from which backend servers leave while faults happen, with its oracle."""

import itertools
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import trio
import trio.testing
from loguru import logger

from sassafraspin.http import ConnectFailed, ConnectionLost, Headers, Request, Response
from sassafraspin.settings import Address
from tests.drain_world import (
    CONTROL_NAMES,
    INSTANCE_NAMES,
    KEY,
    PING_SECONDS,
    Answer,
    Call,
    CallResponder,
    Harm,
    Instance,
    LeavePlan,
    Links,
    Server,
    Timeline,
    configuration,
    deterministic_run,
)

LEASE_SECONDS = 3.0
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
VIEW_SECONDS = LEASE_SECONDS + 1.0
ACKNOWLEDGE_SECONDS = 4.0
"""Stated targets; none of them was measured."""

_OBSERVE_SECONDS = 0.05
_MAX_VIOLATIONS = 8

Scenario = Callable[["DrainModel"], Awaitable[None]]


@dataclass
class Report:
    """Result of a run.

    Parameters
    ----------
    violations : list of str
        Broken rules with their times, empty if there are none.
    leader_seconds : list of float
        For each leadership and running instance that reaches the leader, the time
        from the leader's lease, or from the last fault at the instance, until the
        instance knew the leader.
    acknowledge_seconds : list of float
        Time until the acknowledgement of each server that left.
    calls, served : int
        Number of calls, and of those that were answered with a success.
    trace : list of str
        Faults, acknowledgements and, if asked for, logged events.
    """

    violations: list[str] = field(default_factory=list)
    leader_seconds: list[float] = field(default_factory=list)
    acknowledge_seconds: list[float] = field(default_factory=list)
    calls: int = 0
    served: int = 0
    trace: list[str] = field(default_factory=list)


@dataclass
class _Leadership:
    """The instance that holds the leader lease, and since when."""

    instance: str
    incarnation: int
    term: int
    since: float
    known_by: set[str] = field(default_factory=set)


class Contact:
    """Decides which instances are in touch, by the users' definition.

    Parameters
    ----------
    instances : dict
        The instances by name.
    links : Links
        Links between them.
    """

    def __init__(self, instances: dict[str, Instance], links: Links) -> None:
        self._instances = instances
        self._links = links
        self.last_change = 0.0
        self._control_change = 0.0
        self._own_change = dict.fromkeys(instances, 0.0)

    def change(self, action: Callable[[], None], instances: Iterable[str] = ()) -> None:
        """Apply a change of the faults.

        Parameters
        ----------
        action : callable
            Makes the change.
        instances : iterable of str
            Instances that it concerns directly: started, ended, paused or resumed.
        """
        now = trio.current_time()
        links_before = self._link_state()
        without_path = self._without_path()
        action()
        touched = set(instances) | without_path | self._without_path()
        links_after = self._link_state()
        changed_links = links_before ^ links_after
        for source, target, harm in changed_links:
            if harm is not None:
                touched |= {source, target}
        control = set(CONTROL_NAMES)
        if control.intersection(instances) or any(
            {source, target} <= control for source, target, _ in changed_links
        ):
            self._control_change = now
        for name in touched.intersection(self._own_change):
            self._own_change[name] = now
        self.last_change = now

    def changed_at(self, name: str) -> float:
        """Return when an instance, or its path to the others, was last disturbed."""
        return self._own_change[name]

    def is_in_touch(self, name: str) -> bool:
        """Return whether an instance is in touch now."""
        now = trio.current_time()
        return (
            self._instances[name].is_running
            and self.is_control_stable()
            and now - self._own_change[name] >= CONTACT_SECONDS
            and name not in self._without_path()
            and not any(name in link for link in self._links.harmed)
        )

    def is_control_stable(self) -> bool:
        """Return whether the control instances are, and were, stable."""
        now = trio.current_time()
        control = set(CONTROL_NAMES)
        return (
            now - self._control_change >= CONTACT_SECONDS
            and bool(self._with_majority())
            and not any(set(link) <= control for link in self._links.harmed)
        )

    def quiet_seconds(self) -> float:
        """Return for how long all has been quiet.

        The control instances are stable, no link is disrupted, and no other fault has
        begun or ended. An instance that is paused or has ended may stay so.
        """
        if not self.is_control_stable() or self._links.harmed or self._links.blocked:
            return 0.0
        since = max(self._control_change + CONTACT_SECONDS, self.last_change)
        return trio.current_time() - since

    def _link_state(self) -> frozenset[tuple[str, str, Harm | None]]:
        cut = {(source, target, None) for source, target in self._links.blocked}
        harmed = {(*link, harm) for link, harm in self._links.harmed.items()}
        return frozenset(cut | harmed)

    def _with_majority(self) -> list[str]:
        """Return the running control instances that reach more than half of them."""
        running = [name for name in CONTROL_NAMES if self._instances[name].is_running]
        return [
            name
            for name in running
            if 2
            * sum(
                name == other or self._links.connects(name, other) for other in running
            )
            > len(CONTROL_NAMES)
        ]

    def _without_path(self) -> set[str]:
        """Return the instances without a path to a control instance with majority."""
        needed = self._with_majority()
        return {
            name
            for name in self._instances
            if any(
                name != other and not self._links.connects(name, other)
                for other in needed
            )
        }


class DrainModel:
    """Three control instances, three entry instances, servers, callers and an oracle.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.
    servers : int
        Number of backend servers.
    calls_per_second : float
        Rate of calls at each instance.
    traces_events : bool
        Whether the trace includes the events that the instances log.
    server_failures : float
        Probability that a server refuses a request, fails or breaks off. The last
        server never does, so that calls can be served while the others are ejected.
    """

    def __init__(
        self,
        seed: int,
        servers: int = 3,
        calls_per_second: float = 4.0,
        traces_events: bool = False,
        server_failures: float = 0.0,
    ) -> None:
        self.server_failures = server_failures
        self._seed = seed
        self._traces_events = traces_events
        self._calls_per_second = calls_per_second
        self.generator = random.Random(seed)
        self.timeline = Timeline()
        self.links = Links(self.timeline, self._fork())
        self.instances = {
            name: Instance(name, number, self._fork())
            for number, name in enumerate(INSTANCE_NAMES, start=1)
        }
        self.contact = Contact(self.instances, self.links)
        self.servers = {
            name: self._make_server(name, number)
            for number, name in enumerate(
                (f"s{number}" for number in range(1, servers + 1)), start=1
            )
        }
        self.report = Report()
        self.idle: set[str] = set()
        self._call_counter = 0
        self._calls: dict[str, Call] = {}
        self._leadership: _Leadership | None = None
        self._reported: set[tuple] = set()
        self._nursery: trio.Nursery | None = None
        self._is_over = False

    def run(self, scenario: Scenario) -> Report:
        """Run a scenario after a calm start; return what happened."""
        self._leadership = None
        handler = self._trace_events() if self._traces_events else None
        if handler is None:
            logger.disable("sassafraspin")
        try:
            with deterministic_run(self._seed):
                trio.run(
                    self._run,
                    scenario,
                    clock=trio.testing.MockClock(autojump_threshold=0),
                )
        finally:
            logger.enable("sassafraspin")
            if handler is not None:
                logger.remove(handler)
        return self.report

    def _make_server(self, name: str, number: int) -> Server:
        return Server(name, number, self._exchange, self._acknowledged, self._fork())

    # State

    def leader(self) -> Instance | None:
        """Return the running instance that holds the leader lease, if any."""
        leaders = [
            instance
            for instance in self.instances.values()
            if instance.is_running
            and instance.runtime._control.leads(instance.clock.now())
        ]
        if len(leaders) > 1:
            self._violate("two leaders", [item.name for item in leaders])
        return leaders[0] if leaders else None

    def control_peers(self, name: str) -> list[str]:
        """Return the other control instances."""
        return [other for other in CONTROL_NAMES if other != name]

    # Faults

    def start(self, name: str) -> None:
        """Start the process of an instance, if none runs."""
        instance = self.instances[name]
        if instance.is_alive:
            return
        self.note(f"start {name}")
        self.contact.change(
            lambda: instance.start(
                self._nursery, self._deliver, self._reach, self._refuses
            ),
            [name],
        )

    def kill(self, name: str) -> None:
        """Kill the process of an instance."""
        if not self.instances[name].is_alive:
            return
        self.note(f"kill {name}")
        self.contact.change(self.instances[name].kill, [name])

    def pause(self, name: str) -> None:
        """Suspend the process of an instance."""
        if not self.instances[name].is_running:
            return
        self.note(f"pause {name}")
        self.contact.change(self.instances[name].pause, [name])

    def resume(self, name: str) -> None:
        """Let a suspended process go on."""
        instance = self.instances[name]
        if not instance.gate.is_closed:
            return
        self.note(f"resume {name}")
        self.contact.change(instance.resume, [name])

    def cut(self, one: str, others: Iterable[str], both_ways: bool = True) -> None:
        """Cut a machine from others, or only what it sends to them."""
        others = [other for other in others if other != one]
        self.note(f"cut {one} from {others}{'' if both_ways else ' one way'}")
        links = {(one, other) for other in others}
        if both_ways:
            links |= {(other, one) for other in others}
        self.contact.change(lambda: self.links.blocked.update(links))

    def heal(self, one: str, others: Iterable[str]) -> None:
        """Join a machine with others."""
        others = [other for other in others if other != one]
        links = {(one, other) for other in others}
        links |= {(other, one) for other in others}
        if not links & self.links.blocked:
            return
        self.note(f"heal {one} with {others}")
        self.contact.change(lambda: self.links.blocked.difference_update(links))

    def harm(self, one: str, others: Iterable[str], harm: Harm | None) -> None:
        """Harm the links of a machine to others, or mend them with ``None``."""
        others = [other for other in others if other != one]
        links = {(one, other) for other in others}
        links |= {(other, one) for other in others}
        self.note(f"harm {one} to {others}: {harm}")

        def change() -> None:
            for link in links:
                self.links.harmed.pop(link, None)
                if harm is not None:
                    self.links.harmed[link] = harm

        self.contact.change(change)

    def mend_all(self) -> None:
        """Remove all faults: join and mend links, resume and start instances."""
        if self.links.blocked:
            self.note("heal all")
            self.contact.change(self.links.blocked.clear)
        if self.links.harmed:
            self.note("mend all")
            self.contact.change(self.links.harmed.clear)
        for name in INSTANCE_NAMES:
            self.resume(name)
            self.start(name)

    def leave(self, server: str, plan: LeavePlan) -> None:
        """Make a server leave."""
        if not self.servers[server].is_told_to_leave:
            self.note(f"{server} leaves: {plan}")
            self.servers[server].leave(plan)

    def repeat_ready(self, server: str, instance: str) -> None:
        """Let the last ``ready`` of a server arrive again at an instance."""
        request = self.servers[server].ready_ping()
        if request is None:
            return
        self.note(f"late ready of {server} at {instance}")
        self._nursery.start_soon(self._exchange, server, instance, request)

    def delay_ready(self, server: str, instance: str, seconds: float) -> None:
        """Let a copy of the last ``ready`` of a server arrive later at an instance."""
        request = self.servers[server].ready_ping(arrives_in=seconds)
        if request is None:
            return
        self.note(f"ready of {server} to {instance} takes {seconds:.2f} s")
        self.timeline.after(
            seconds,
            lambda: self._nursery.start_soon(self._exchange, server, instance, request),
        )

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.report.trace.append(f"{trio.current_time():8.3f} {text}")

    # Run

    async def _run(self, scenario: Scenario) -> None:
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self.timeline.run)
            for name in INSTANCE_NAMES:
                self.start(name)
            self._nursery.start_soon(self._observe)
            await self._declare_routes()
            for server in self.servers.values():
                self._nursery.start_soon(server.run)
            for name in INSTANCE_NAMES:
                self._nursery.start_soon(self._call_at, name, self._fork())
            while not self._is_calm():
                await trio.sleep(0.1)
            self.note("calm")
            await scenario(self)
            self._is_over = True
            self._nursery.cancel_scope.cancel()

    def _fork(self) -> random.Random:
        return random.Random(self.generator.random())

    async def _declare_routes(self) -> None:
        headers = Headers((("host", "control"),))
        request = Request("PUT", "/sassafraspin/config", headers, configuration())
        for name in itertools.cycle(CONTROL_NAMES):
            answered = await self._exchange("operator", name, request)
            if answered is not None and answered[1].status == 200:
                return
            await trio.sleep(0.1)

    def _deliver(self, source: str, target: str, frame: bytes) -> None:
        instance = self.instances[target]
        self.links.pass_on(source, target, lambda: instance.deliver(frame), len(frame))

    async def _exchange(
        self, source: str, instance: str, request: Request
    ) -> tuple[str, Response] | None:
        """Send a control request; follow two redirects; return who answered.

        Returns ``None`` without a response within the time that servers wait.
        """
        with trio.move_on_after(PING_SECONDS):
            for _ in range(3):
                response = await self._ask(source, instance, request)
                if response is None or response.status != 307:
                    break
                host = response.headers.get("location").split("/")[2].partition(":")[0]
                instance = self._at_host(host)
            return None if response is None else (instance, response)
        return None

    def _at_host(self, host: str) -> str:
        return next(name for name, item in self.instances.items() if item.host == host)

    async def _ask(
        self, source: str, instance: str, request: Request
    ) -> Response | None:
        send, receive = trio.open_memory_channel[Response | None](1)

        def answer(response: Response | None) -> None:
            self.links.pass_on(
                instance, source, lambda: send.send_nowait(response), repeat=False
            )

        def arrive() -> None:
            self.instances[instance].handle_control(request, answer)

        self.links.pass_on(source, instance, arrive, repeat=False)
        return await receive.receive()

    # Calls

    async def _call_at(self, name: str, generator: random.Random) -> None:
        while True:
            await trio.sleep(generator.expovariate(self._calls_per_second))
            kind = generator.choice(("safe", "unsafe"))
            if name not in self.idle:
                self._send_call(name, kind)

    def _send_call(self, name: str, kind: str, body: bytes = b"question") -> None:
        self._call_counter += 1
        request_id = f"call-{self._call_counter}"
        headers = Headers(
            (
                ("host", "mill.example"),
                ("x-request-id", request_id),
                ("authorization", f"Token {KEY}"),
            )
        )
        request = Request("POST", f"/{kind}/x", headers, body)
        responder = CallResponder()
        call = Call(
            request_id,
            name,
            kind == "safe",
            trio.current_time(),
            self.contact.is_in_touch(name),
            self._is_calm(),
        )
        self._calls[request_id] = call
        self.instances[name].handle_call(
            request, responder, lambda: self._end_call(call, responder)
        )

    def _end_call(self, call: Call, responder: CallResponder) -> None:
        del self._calls[call.request_id]
        if self._is_over:
            return
        self.report.calls += 1
        status = None if responder.response is None else responder.response.status
        if status == 200:
            self.report.served += 1
        elif status == 500 and not call.was_failed_by_server:
            self._violate("INTERNAL", call)
        elif call.was_calm and self._is_calm() and not call.was_failed_by_server:
            self._violate("UNSERVED", call.instance, text=f"{status} in calm: {call}")
        if len(call.runs) > 1 and not call.is_idempotent:
            self._violate("TWICE", call)

    def _refuses(self, address: Address) -> bool:
        """Return whether no process listens on the address of a server."""
        return False

    async def _reach(self, instance: Instance, request: Request) -> Answer:
        """Answer a request that an instance sends to a server."""
        server = self.servers[request.headers.get("x-expect-instance")]
        request_id = request.headers.get("x-request-id")
        call = self._calls[request_id]
        arrived = trio.Event()

        def arrive() -> None:
            arrived.set()
            if server.is_running:
                call.runs.append(server.name)
                self._check_drained(instance.name, server, call)

        # What is sent arrives even if the sender is paused or ends right after.
        self.timeline.after(self.generator.uniform(0.0005, 0.003), arrive)
        await arrived.wait()
        if not server.is_running:
            # Nobody can know that of a server that ended without an acknowledgement.
            call.was_failed_by_server = server.boot.acknowledged_at is None
            raise ConnectFailed("the server has ended")
        await trio.sleep(self.generator.choice((0.005, 0.02, 0.06, 0.3)))
        own = ("x-request-id", request_id)
        is_steady = server is list(self.servers.values())[-1]
        if is_steady or self.generator.random() >= self.server_failures:
            seal = ("x-response-seal", "seal")
            return Answer(200, Headers((own, seal)), b"answer")
        call.was_failed_by_server = True
        match self.generator.choice(("refuses", "fails", "breaks off")):
            case "refuses":
                call.runs.pop()
                return Answer(503, Headers((own, ("x-not-executed", "1"))), b"")
            case "fails":
                return Answer(500, Headers((own,)), b"")
            case _:
                raise ConnectionLost("the server broke off")

    # Oracle

    def _check_drained(self, instance: str, server: Server, call: Call) -> None:
        """Check a request that reaches a server.

        ``DRAIN`` is the users' rule, for instances in touch. ``PROMISE`` is what an
        acknowledgement says about all instances: none uses the server any more.
        """
        now = trio.current_time()
        boot = server.boot
        if boot.acknowledged_at is None or now - boot.acknowledged_at <= DRAIN_SECONDS:
            return
        late = now - boot.acknowledged_at
        is_bound = call.was_in_touch and self.contact.is_in_touch(instance)
        text = f"{instance} used {server.name} {late:.3f} s after its leave"
        self.note(f"{text}, {'in touch' if is_bound else 'out of touch'}: {call}")
        since = boot.binding_since
        if is_bound and since is not None and now - since > DRAIN_SECONDS:
            self._violate("DRAIN", instance, server.name, text=text)
        else:
            self._violate("PROMISE", instance, server.name, text=text)

    def _acknowledged(self, server: Server, instance: str) -> None:
        now = trio.current_time()
        boot = server.boot
        if boot.acknowledged_at == now:
            waited = now - boot.leaving_since
            self.report.acknowledge_seconds.append(waited)
            self.note(
                f"{instance} acknowledged that {server.name} leaves: {waited:.3f}"
            )
        if boot.binding_since is None and self.contact.is_in_touch(instance):
            boot.binding_since = now
            self.note(f"{instance}, in touch, acknowledged that {server.name} leaves")

    async def _observe(self) -> None:
        while True:
            await trio.sleep(_OBSERVE_SECONDS)
            self._observe_leader()
            self._measure_leader_known()
            self._check_leader_known()
            self._check_view()
            self._check_acknowledged()

    def _observe_leader(self) -> None:
        instance = self.leader()
        if instance is None:
            if self._leadership is not None:
                self.note(f"{self._leadership.instance} has no leader lease any more")
            self._leadership = None
            return
        term = instance.runtime._control.status().term
        before = self._leadership
        current = (instance.name, instance.incarnation, term)
        if before is not None and current == (
            before.instance,
            before.incarnation,
            before.term,
        ):
            return
        self._leadership = _Leadership(*current, trio.current_time())
        self.note(f"{instance.name} has the leader lease of term {term}")

    def _measure_leader_known(self) -> None:
        """Record how long instances that reach a new leader took to know it."""
        leadership = self._leadership
        if leadership is None:
            return
        for name, instance in self.instances.items():
            is_reached = self.links.connects(name, leadership.instance)
            if not instance.is_running or not is_reached or name in leadership.known_by:
                continue
            if self._knows_leader(instance, leadership):
                leadership.known_by.add(name)
                since = max(leadership.since, self.contact.changed_at(name))
                self.report.leader_seconds.append(trio.current_time() - since)

    def _check_leader_known(self) -> None:
        leadership = self._leadership
        if leadership is None or not self.contact.is_in_touch(leadership.instance):
            return
        led_for = trio.current_time() - leadership.since
        for name, instance in self.instances.items():
            if (
                led_for >= LEASE_SECONDS
                and self.contact.is_in_touch(name)
                and not self._knows_leader(instance, leadership)
            ):
                known = instance.runtime.node.lease.leader
                standby = instance.runtime._slots.uses_standby
                self._violate(
                    "LEADER",
                    name,
                    leadership.instance,
                    leadership.term,
                    text=f"{name} is in touch, knows {known} (standby: {standby}), "
                    f"{led_for:.2f} s after the lease of {leadership.instance}",
                )

    def _knows_leader(self, instance: Instance, leadership: _Leadership) -> bool:
        runtime = instance.runtime
        is_known = runtime.node.lease.leader == leadership.instance
        return is_known and not runtime._slots.uses_standby

    def _calm_seconds(self) -> float:
        """Return the time since the last change of the faults or of the leader."""
        if self._leadership is None:
            return 0.0
        since = max(self.contact.last_change, self._leadership.since)
        return trio.current_time() - since

    def _check_view(self) -> None:
        if self._calm_seconds() < VIEW_SECONDS:
            return
        leadership = self._leadership
        if not self.contact.is_in_touch(leadership.instance):
            return
        view = self.instances[leadership.instance].runtime.node.view
        for name, instance in self.instances.items():
            identity = instance.member.identity
            if self.contact.is_in_touch(name) and not view.contains(identity):
                names = [member.name for member in view.members]
                self._violate(
                    "VIEW", name, view.number, text=f"{name} is not in view {names}"
                )

    def _check_acknowledged(self) -> None:
        quiet = self.contact.quiet_seconds()
        now = trio.current_time()
        for server in self.servers.values():
            boot = server.boot
            is_waiting = server.is_leaving and boot.acknowledged_at is None
            if not is_waiting or boot.has_given_up or not server.is_running:
                continue
            waited = min(quiet, now - boot.leaving_since)
            if waited > ACKNOWLEDGE_SECONDS:
                self._violate("ACK", server.name, text=f"{server.name} has no ack")

    def _is_calm(self) -> bool:
        """Return whether all is well, so that calls must be served."""
        now = trio.current_time()
        return (
            self._calm_seconds() >= VIEW_SECONDS
            and not self.links.blocked
            and not self.links.harmed
            and all(item.is_running for item in self.instances.values())
            and any(
                not server.is_told_to_leave
                and server.boot.ready_since is not None
                and now - server.boot.ready_since > VIEW_SECONDS
                for server in self.servers.values()
            )
        )

    def _violate(self, rule: str, *key: object, text: str = "") -> None:
        """Record a broken rule, once for each key."""
        identity = (rule, *map(str, key))
        if identity in self._reported:
            return
        self._reported.add(identity)
        line = f"{trio.current_time():.3f} s: {rule}: {text or ' '.join(identity[1:])}"
        self.note(f"BROKEN {line}")
        if len(self.report.violations) < _MAX_VIOLATIONS:
            self.report.violations.append(line)

    def _trace_events(self) -> int:
        def sink(message) -> None:
            extra = message.record["extra"]
            event = extra.get("event") or message.record["message"]
            rest = {
                key: value
                for key, value in extra.items()
                if key not in ("event", "part")
            }
            self.note(f"  {event} {rest if extra.get('event') else ''}")

        return logger.add(sink, level="INFO", format="{message}")
