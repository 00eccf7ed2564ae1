"""Faults played on a deployment from which servers leave: scenarios, seeds, sequences.

Run ``python -m tests.drain_model --help`` to play more of them than CI does.
"""

import argparse
import itertools
import random
import sys
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from unittest import mock

import trio

from sassafraspin.backends import Announcement
from sassafraspin.daemon.control_service import ControlService
from sassafraspin.membership import HeartbeatReply, MemberLease
from sassafraspin.routed.standby_scope import StandbyScope
from tests.drain_deployment import CONTACT_SECONDS, DrainModel, Report, Scenario
from tests.drain_world import (
    CONTROL_NAMES,
    ENTRY_NAMES,
    INSTANCE_NAMES,
    Harm,
    LeavePlan,
)

_SHORT_BYTES = 55
"""More than a heartbeat and its reply without an update, less than other messages."""

_SETTLE_SECONDS = 9.0
"""Calm at the end: contact, the lease of a member and time for a view."""


# Scenarios


async def lure(model: DrainModel) -> None:
    """Cut the leader from the other control instances only; servers leave meanwhile.

    The servers that leave report to the new leader first. The cut lasts longer than
    it takes until the others count as in touch, so all rules hold for them.
    """
    old = model.leader().name
    peers = model.control_peers(old)
    model.cut(old, peers)
    await trio.sleep(3.1)
    leader = model.leader()
    first = peers if leader is None else [leader.name]
    targets = (*first, *ENTRY_NAMES)
    model.leave("s1", LeavePlan(targets=targets))
    model.leave("s2", LeavePlan(withdraws=True, targets=targets))
    await trio.sleep(2.4)
    model.heal(old, peers)
    await trio.sleep(_SETTLE_SECONDS)


async def lone_entry(model: DrainModel) -> None:
    """Cut an entry instance from all others; servers leave meanwhile."""
    others = [name for name in INSTANCE_NAMES if name != "e1"]
    model.cut("e1", others)
    await trio.sleep(0.05)
    targets = CONTROL_NAMES
    model.leave("s1", LeavePlan(targets=targets, lingers=10.0))
    model.leave("s2", LeavePlan(withdraws=True, targets=targets, lingers=10.0))
    await trio.sleep(9.0)
    model.heal("e1", others)
    await trio.sleep(_SETTLE_SECONDS)


async def deaf_entry(model: DrainModel) -> None:
    """Let only the shortest messages reach an entry instance; servers leave meanwhile.

    Its lease is renewed, but it gets neither grants nor the new configuration.
    """
    model.harm("e1", CONTROL_NAMES, Harm(max_bytes=_SHORT_BYTES))
    await trio.sleep(0.05)
    model.leave("s1", LeavePlan(targets=CONTROL_NAMES, lingers=10.0))
    model.leave("s2", LeavePlan(True, targets=CONTROL_NAMES, lingers=10.0))
    await trio.sleep(9.0)
    model.harm("e1", CONTROL_NAMES, None)
    await trio.sleep(_SETTLE_SECONDS)


async def late_ready(model: DrainModel) -> None:
    """Let an old ``ready`` arrive at a leader that was not there when servers left."""
    old = model.leader().name
    plan = LeavePlan(withdraws=True, targets=(old,), lingers=14.0)
    model.leave("s1", plan)
    model.leave("s2", plan)
    await trio.sleep(1.5)
    model.kill(old)
    await trio.sleep(CONTACT_SECONDS + 0.2)
    leader = model.leader()
    for server in ("s1", "s2"):
        model.repeat_ready(server, leader.name)
    await trio.sleep(4.0)
    model.mend_all()
    await trio.sleep(_SETTLE_SECONDS)


async def newcomer(model: DrainModel) -> None:
    """Start an entry instance whose first control instance is the one cut off.

    It has left the view, so that the new leader does not tell it unasked, and gets no
    calls, so that it does not notice by them that it asks the wrong one.
    """
    model.idle.add("e1")
    await _make_leader(model, CONTROL_NAMES[0])
    old, peers = CONTROL_NAMES[0], model.control_peers(CONTROL_NAMES[0])
    model.cut(old, peers)
    model.kill("e1")
    await trio.sleep(5.0)
    model.start("e1")
    await trio.sleep(6.0)
    model.mend_all()
    await trio.sleep(_SETTLE_SECONDS)


async def forgotten_entry(model: DrainModel) -> None:
    """Join an entry instance that the view and all control instances have forgotten.

    It was cut off until it had left the view, which it does not know, and each control
    instance was started again since.
    """
    others = [name for name in INSTANCE_NAMES if name != "e1"]
    model.cut("e1", others)
    await trio.sleep(5.0)
    for name in CONTROL_NAMES:
        model.kill(name)
        await trio.sleep(1.0)
        model.start(name)
        await trio.sleep(3.0)
    model.heal("e1", others)
    await trio.sleep(_SETTLE_SECONDS)


async def _make_leader(model: DrainModel, name: str) -> None:
    """Kill leaders until this control instance leads, then wait for calm."""
    while model.leader() is None or model.leader().name != name:
        leader = model.leader()
        if leader is not None:
            model.kill(leader.name)
            await trio.sleep(2.0)
            model.start(leader.name)
        await trio.sleep(1.0)
    await trio.sleep(_SETTLE_SECONDS)


async def random_faults(model: DrainModel) -> None:
    """Play random faults for a while, with servers that leave, then calm."""
    generator = random.Random(model.generator.random())
    end = trio.current_time() + 22.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_play_leaves, model, generator)
        nursery.start_soon(_play_late_pings, model, generator)
        async with trio.open_nursery() as faults:
            while trio.current_time() < end:
                faults.start_soon(_play_fault, model, generator)
                await trio.sleep(generator.choice((0.3, 1.5, 4.0, 6.0)))
        model.mend_all()
        await trio.sleep(_SETTLE_SECONDS)
        nursery.cancel_scope.cancel()


async def _play_leaves(model: DrainModel, generator: random.Random) -> None:
    while True:
        await trio.sleep(generator.uniform(0.2, 3.0))
        count = generator.randint(0, 3)
        plan = LeavePlan(
            withdraws=generator.random() < 0.4,
            targets=tuple(generator.sample(INSTANCE_NAMES, count)),
            lingers=generator.choice((2.5, 5.0, 9.0)),
            restarts_after=generator.choice((0.1, 0.5, 2.0)),
        )
        model.leave(generator.choice(("s1", "s2")), plan)


async def _play_late_pings(model: DrainModel, generator: random.Random) -> None:
    while True:
        await trio.sleep(generator.expovariate(0.8))
        server = generator.choice(("s1", "s2"))
        instance = generator.choice(INSTANCE_NAMES)
        model.delay_ready(server, instance, generator.uniform(0.3, 6.0))


async def _play_fault(model: DrainModel, generator: random.Random) -> None:
    """Inject one fault, and remove it after a while."""
    seconds = generator.choice((0.2, 0.7, 1.5, 3.2, 4.5, 6.5, 9.0))
    leader = model.leader()
    name = generator.choice(INSTANCE_NAMES)
    if leader is not None and generator.random() < 0.5:
        name = leader.name
    others = [other for other in INSTANCE_NAMES if other != name]
    some = generator.choice(
        (
            model.control_peers(name),
            others,
            generator.sample(others, generator.randint(1, 4)),
        )
    )
    match generator.choice(("cut", "cut", "one way", "pause", "kill", "harm", "ping")):
        case "cut":
            model.cut(name, some)
            await trio.sleep(seconds)
            model.heal(name, some)
        case "one way":
            model.cut(name, some, both_ways=False)
            await trio.sleep(seconds)
            model.heal(name, some)
        case "pause":
            model.pause(name)
            await trio.sleep(seconds)
            model.resume(name)
        case "kill":
            model.kill(name)
            await trio.sleep(seconds)
            model.start(name)
        case "harm":
            harm = Harm(generator.choice((0.0, 0.1, 0.5)), generator.choice((0.0, 1.5)))
            model.harm(name, some, harm)
            await trio.sleep(seconds)
            model.harm(name, some, None)
        case "ping":
            model.cut(name, ["s1", "s2"])
            await trio.sleep(seconds)
            model.heal(name, ["s1", "s2"])


# Sequences

_STEP_SECONDS = 0.3
_WAIT_SECONDS = 3.1
_LAST_WAIT_SECONDS = 5.4
"""Until machines are in touch again and the bound of a leave has passed."""


def _leader_or_first(model: DrainModel) -> str:
    leader = model.leader()
    return CONTROL_NAMES[0] if leader is None else leader.name


def _cut_leader_from_peers(model: DrainModel) -> None:
    leader = _leader_or_first(model)
    model.cut(leader, model.control_peers(leader))


def _leave(withdraws: bool) -> Callable[[DrainModel], None]:
    def leave(model: DrainModel) -> None:
        targets = (_leader_or_first(model),)
        plan = LeavePlan(withdraws=withdraws, targets=targets, lingers=12.0)
        model.leave("s2" if withdraws else "s1", plan)

    return leave


def _late_ready(model: DrainModel) -> None:
    for server in ("s1", "s2"):
        model.repeat_ready(server, _leader_or_first(model))


STEPS: dict[str, Callable[[DrainModel], None]] = {
    "leave": _leave(withdraws=False),
    "withdraw": _leave(withdraws=True),
    "late": _late_ready,
    "cut-peers": _cut_leader_from_peers,
    "cut-leader": lambda model: model.cut(_leader_or_first(model), INSTANCE_NAMES),
    "cut-entry": lambda model: model.cut("e1", INSTANCE_NAMES),
    "pause-leader": lambda model: model.pause(_leader_or_first(model)),
    "pause-entry": lambda model: model.pause("e1"),
    "kill-leader": lambda model: model.kill(_leader_or_first(model)),
    "kill-entry": lambda model: model.kill("e1"),
    "mend": lambda model: model.mend_all(),
    "wait": lambda model: None,
}
"""Alphabet of the sequences; ``wait`` lasts until machines are in touch again."""

_LEAVES = frozenset({"leave", "withdraw"})
_FAULTS = frozenset(STEPS) - _LEAVES - {"late", "mend", "wait"}


def sequences(length: int) -> Iterator[tuple[str, ...]]:
    """Yield all sequences of steps that may show something.

    Each has a fault and a server that leaves, no ``mend`` before a fault and no
    ``late`` before a leave, and no two ``wait`` in a row.
    """
    for steps in itertools.product(STEPS, repeat=length):
        if not (_LEAVES.intersection(steps) and _FAULTS.intersection(steps)):
            continue
        first_leave = min(steps.index(item) for item in _LEAVES if item in steps)
        first_fault = min(steps.index(item) for item in _FAULTS if item in steps)
        if "late" in steps[:first_leave] or "mend" in steps[:first_fault]:
            continue
        if steps[0] == "wait" or ("wait", "wait") in itertools.pairwise(steps):
            continue
        yield steps


def play_steps(steps: tuple[str, ...]) -> Scenario:
    """Return the scenario of a sequence of steps, which ends with all faults mended."""

    async def scenario(model: DrainModel) -> None:
        for name in steps:
            STEPS[name](model)
            await trio.sleep(_WAIT_SECONDS if name == "wait" else _STEP_SECONDS)
        await trio.sleep(_LAST_WAIT_SECONDS)
        model.mend_all()
        await trio.sleep(_SETTLE_SECONDS)

    return scenario


# Mutations


def _without_age() -> AbstractContextManager:
    """Let instances dispatch on their own for as long as the leader is silent."""

    def owns(self, service: str) -> bool:
        return self._dispatcher_is_silent()

    return mock.patch.object(StandbyScope, "owns", owns)


def _without_order() -> AbstractContextManager:
    """Let old announcements of servers that have left count."""
    from sassafraspin.backends.retirement import RetirementStore

    def covers(self, announcement: Announcement) -> bool:
        return False

    return mock.patch.object(RetirementStore, "covers", covers)


def _with_answer_at_once() -> AbstractContextManager:
    """Acknowledge that a server leaves without waiting for the members."""
    return _with_members_in_force(True)


def _without_acknowledgement() -> AbstractContextManager:
    """Wait for the members for ever."""
    return _with_members_in_force(False)


def _with_members_in_force(value: bool) -> AbstractContextManager:
    def is_in_force(self, index: int, since: float) -> bool:
        return value

    return mock.patch.object(ControlService, "is_in_force", is_in_force)


def _with_any_reply_as_contact() -> AbstractContextManager:
    """Take a reply that names no leader for a sign that the right one is asked."""
    original = MemberLease.on_reply

    def on_reply(
        self, source: str, reply: HeartbeatReply, config_index: int, now: float
    ) -> None:
        assert hasattr(self, "_leader_contact_at")
        if reply.leader is None:
            self._leader_contact_at = now
        original(self, source, reply, config_index, now)

    return mock.patch.object(MemberLease, "on_reply", on_reply)


@dataclass(frozen=True)
class Mutation:
    """A defect, and the scenario that must find it.

    Parameters
    ----------
    apply : callable
        Returns the context in which the defect is there.
    scenario : Scenario
        The scenario.
    rule : str
        The rule that it breaks.
    """

    apply: Callable[[], AbstractContextManager]
    scenario: Scenario
    rule: str


MUTATIONS = {
    "no-age": Mutation(_without_age, lone_entry, "PROMISE"),
    "no-order": Mutation(_without_order, late_ready, "DRAIN"),
    "answer-at-once": Mutation(_with_answer_at_once, lone_entry, "PROMISE"),
    "no-answer": Mutation(_without_acknowledgement, lure, "ACK"),
    "any-reply": Mutation(_with_any_reply_as_contact, newcomer, "LEADER"),
}
SCENARIOS = {
    "lure": lure,
    "lone-entry": lone_entry,
    "deaf-entry": deaf_entry,
    "late-ready": late_ready,
    "newcomer": newcomer,
    "forgotten-entry": forgotten_entry,
}


def has_retirements() -> bool:
    """Return whether the code has what the mutations change."""
    return hasattr(MemberLease, "may_act_alone")


# Runs


def play(
    seed: int,
    scenario: Scenario,
    mutation: str | None = None,
    calls_per_second: float = 10.0,
    server_failures: float = 0.0,
    traces_events: bool = False,
) -> Report:
    """Play a scenario with a seed and, if one is named, with a mutation."""
    defect = nullcontext() if mutation is None else MUTATIONS[mutation].apply()
    with defect:
        model = DrainModel(
            seed,
            calls_per_second=calls_per_second,
            traces_events=traces_events,
            server_failures=server_failures,
        )
        return model.run(scenario)


def play_seed(seed: int, mutation: str | None = None, traces: bool = False) -> Report:
    """Play random faults."""
    return play(
        seed,
        random_faults,
        mutation,
        calls_per_second=4.0,
        server_failures=0.03,
        traces_events=traces,
    )


def play_sequence(
    steps: tuple[str, ...], mutation: str | None = None, traces: bool = False
) -> Report:
    """Play a sequence of steps."""
    return play(
        0, play_steps(steps), mutation, calls_per_second=4.0, traces_events=traces
    )


def main() -> int:
    """Play scenarios, seeds or sequences; print the broken rules."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--scenario", choices=SCENARIOS, help="written scenario")
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--steps", help="one sequence, with commas")
    parser.add_argument("--length", type=int, help="all sequences of this length")
    parser.add_argument("--part", default="0/1", help="part of them, as 0/3")
    parser.add_argument("--mutation", choices=MUTATIONS, help="defect to inject")
    parser.add_argument("--trace", action="store_true", help="print the traces")
    options = parser.parse_args()
    failed = runs = 0
    for name, report in _reports(options):
        runs += 1
        failed += bool(report.violations)
        if report.violations or not options.length:
            _show(name, report, options.trace)
    print(f"{runs} runs, {failed} failed")
    return 1 if failed else 0


def _reports(options: argparse.Namespace) -> Iterator[tuple[str, Report]]:
    mutation, traces = options.mutation, options.trace
    if options.steps:
        steps = tuple(options.steps.split(","))
        yield options.steps, play_sequence(steps, mutation, traces)
    if options.length:
        part, parts = map(int, options.part.split("/"))
        for steps in itertools.islice(sequences(options.length), part, None, parts):
            yield ",".join(steps), play_sequence(steps, mutation, traces)
    for seed in range(options.first, options.first + options.seeds):
        if options.scenario is None:
            yield f"seed {seed}", play_seed(seed, mutation, traces)
        else:
            scenario = SCENARIOS[options.scenario]
            report = play(seed, scenario, mutation, traces_events=traces)
            yield f"{options.scenario} {seed}", report


def _show(name: str, report: Report, with_trace: bool) -> None:
    slowest = max(report.leader_seconds, default=0.0)
    acknowledged = max(report.acknowledge_seconds, default=0.0)
    print(
        f"{name}: {'FAILED' if report.violations else 'ok'}; leader known after "
        f"{slowest:.2f} s, acknowledged after {acknowledged:.2f} s, "
        f"{report.served} of {report.calls} calls served",
        flush=True,
    )
    for line in report.trace if with_trace else report.violations:
        print(f"    {line}")


if __name__ == "__main__":
    sys.exit(main())
