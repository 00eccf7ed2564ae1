"""Fault matrix: injects every fault at every protocol step and reports the verdicts.

Run as ``python -m tests.fault_matrix``; prints the table of docs/FAULTS.md.
"""

import random
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sassafraspin.control.messages import AppendReply, AppendRequest
from sassafraspin.ledger import (
    Claim,
    ClaimAnswer,
    CloseClaim,
    CopyAck,
    CopyRecords,
    RecordState,
    SyncReply,
    SyncRequest,
)
from tests.ledger_model import LedgerModel
from tests.quorum_model import QuorumModel
from tests.simulation import NetworkConditions

COLUMNS = (
    "process death",
    "death of the peer",
    "lost disk",
    "partition",
    "freeze",
    "silent connection",
    "duplicated and delayed messages",
    "concurrent operators",
    "second loss after repair",
)

NOT_RUN = "-"
HOLDS = "holds"

_SEEDS = (1, 2, 3)
_KEY = 1


@dataclass(frozen=True)
class Cell:
    """Verdict for one fault at one step."""

    row: str
    column: str
    verdict: str


class StepTrigger:
    """Injects a fault when a message of a given type is first sent.

    An ``AppendRequest`` without entries is a heartbeat and does not count.

    Parameters
    ----------
    model : LedgerModel or QuorumModel
        Model whose network is observed.
    message_type : type
        Type of the message.
    inject : callable
        Called with the source and the target of the message.
    """

    def __init__(
        self, model, message_type: type, inject: Callable[[str, str], None]
    ) -> None:
        self._send = model.network.send
        self._message_type = message_type
        self._inject = inject
        self.fired = False
        model.network.send = self._send_and_trigger

    def _send_and_trigger(self, source: str, target: str, message: object) -> None:
        self._send(source, target, message)
        content = message[1] if isinstance(message, tuple) else message
        is_match = isinstance(content, self._message_type)
        if isinstance(content, AppendRequest) and not content.entries:
            is_match = False
        if is_match and not self.fired:
            self.fired = True
            self._inject(source, target)


# Requests and views


def _ledger_cell(
    message_type: type, column: str, seed: int, rejoin: bool = False
) -> str:
    """Inject a fault into a claim, or into the view change when a member rejoins."""
    model = LedgerModel(seed=seed)
    model.network.generator = random.Random(seed)
    model.run(3.0)
    primary = model.holders(_KEY, {0})[0]
    others = [name for name in model.names if name != primary]
    if rejoin:
        model.kill(others[-1])
    fault = _ledger_fault(model, column, primary)
    if fault is None:
        return NOT_RUN
    trigger = StepTrigger(model, message_type, fault)
    if rejoin:
        model.start(others[-1])
        model.run(4.0)
    entry = others[0]
    model.call(entry, _KEY)
    model.run(0.3)
    model.end_call(entry, RecordState.ANSWERED)
    model.run(0.3)
    if not trigger.fired:
        return NOT_RUN
    for name in others[1:3]:
        model.call(name, _KEY)
    model.run(8.0)
    _remove_ledger_faults(model)
    model.call(others[2], _KEY)
    model.run(8.0)
    model.check_recovery()
    return HOLDS


def _ledger_fault(
    model: LedgerModel, column: str, primary: str
) -> Callable[[str, str], None] | None:
    def block(*pairs: tuple[str, str]) -> None:
        model.network.blocked_links.update(pairs)

    def isolate(name: str) -> None:
        for other in (*model.names, "control"):
            block((name, other), (other, name))

    def fail_twice(source: str, target: str) -> None:
        model.kill(source)
        original_tick = model._tick
        repaired_at = model.network.now + 3.0
        done = []

        def tick() -> None:
            original_tick()
            if not done and model.network.now >= repaired_at:
                done.append(True)
                for name in model.holders(_KEY, {0}):
                    model.kill(name)

        model._tick = tick

    faults = {
        "process death": lambda source, target: model.kill(source),
        "death of the peer": lambda source, target: model.kill(target),
        "partition": lambda source, target: isolate(source),
        "freeze": lambda source, target: setattr(model.nodes[source], "frozen", True),
        "silent connection": lambda source, target: block((source, target)),
        "duplicated and delayed messages": lambda source, target: setattr(
            model.network, "conditions", NetworkConditions(0.01, 0.8, 0.0, 1.0)
        ),
        "second loss after repair": fail_twice,
    }
    return faults.get(column)


def _remove_ledger_faults(model: LedgerModel) -> None:
    model.network.blocked_links.clear()
    model.network.conditions = NetworkConditions()
    for node in model.nodes.values():
        node.frozen = False


def _shutdown_cell(column: str, seed: int) -> str:
    """Inject a fault while the primary leaves and a call is open."""
    model = LedgerModel(seed=seed)
    model.network.generator = random.Random(seed)
    model.run(3.0)
    primary = model.holders(_KEY, {0})[0]
    others = [name for name in model.names if name != primary]
    fault = _ledger_fault(model, column, primary)
    if fault is None:
        return NOT_RUN
    model.call(others[0], _KEY)
    model.run(0.3)
    model.leave(primary)
    fault(others[1], primary)
    model.run(1.0)
    for name in others[2:4]:
        model.call(name, _KEY)
    model.run(8.0)
    _remove_ledger_faults(model)
    model.check_recovery()
    return HOLDS


# Profile changes


def _profile_cell(message_type: type, column: str, seed: int) -> str:
    model = QuorumModel(seed=seed)
    model.network.generator = random.Random(seed)
    model.run(5.0)
    leader = model.leader()
    assert leader is not None
    fault = _quorum_fault(model, column)
    if fault is None:
        return NOT_RUN
    trigger = StepTrigger(model, message_type, fault)
    model.propose(leader.name)
    model.run(3.0)
    if not trigger.fired:
        return NOT_RUN
    for name in model.nodes:
        model.restart(name)
    model.run(10.0)
    model.network.conditions = NetworkConditions()
    model.check_recovery()
    return HOLDS


def _quorum_fault(model: QuorumModel, column: str) -> Callable[[str, str], None] | None:
    def isolate(name: str) -> None:
        for other in model.nodes:
            if other != name:
                model.network.blocked_links.update({(name, other), (other, name)})

    def lose_disk(source: str, target: str) -> None:
        leader = model.leader()
        victim = next(
            name for name in (source, target) if leader is None or name != leader.name
        )
        model.lose_disk(victim)

    def propose_concurrently(source: str, target: str) -> None:
        for name in model.nodes:
            model.propose_conflicting(name)

    def fail_twice(source: str, target: str) -> None:
        model.crash(source)
        model.schedule(4.0, lambda: model.restart(source))
        model.schedule(8.0, lambda: model.crash(target))

    faults = {
        "process death": lambda source, target: model.crash(source),
        "death of the peer": lambda source, target: model.crash(target),
        "lost disk": lose_disk,
        "partition": lambda source, target: isolate(source),
        "freeze": lambda source, target: setattr(model.nodes[source], "frozen", True),
        "silent connection": lambda source, target: model.network.blocked_links.add(
            (source, target)
        ),
        "duplicated and delayed messages": lambda source, target: setattr(
            model.network, "conditions", NetworkConditions(0.01, 0.8, 0.0, 1.0)
        ),
        "concurrent operators": propose_concurrently,
        "second loss after repair": fail_twice,
    }
    return faults.get(column)


_LEDGER_ROWS = {
    "request: claim sent": Claim,
    "request: copies sent": CopyRecords,
    "request: copy acknowledged": CopyAck,
    "request: claim answered": ClaimAnswer,
    "request: closed": CloseClaim,
}

_VIEW_ROWS = {
    "view change: records requested": SyncRequest,
    "view change: records sent": SyncReply,
}

_PROFILE_ROWS = {
    "profile change: sent to replicas": AppendRequest,
    "profile change: stored by a replica": AppendReply,
}


def rows() -> Iterator[tuple[str, Callable[[str, int], str]]]:
    """Yield the name of each row and the function that runs a cell of it."""
    for name, message_type in _LEDGER_ROWS.items():
        yield (
            name,
            lambda column, seed, message_type=message_type: _ledger_cell(
                message_type, column, seed
            ),
        )
    for name, message_type in _VIEW_ROWS.items():
        yield (
            name,
            lambda column, seed, message_type=message_type: _ledger_cell(
                message_type, column, seed, True
            ),
        )
    for name, message_type in _PROFILE_ROWS.items():
        yield (
            name,
            lambda column, seed, message_type=message_type: _profile_cell(
                message_type, column, seed
            ),
        )
    yield "shutdown: the primary leaves", _shutdown_cell


def run_cell(run: Callable[[str, int], str], column: str) -> str:
    """Run a cell with all seeds and return its verdict."""
    for seed in _SEEDS:
        try:
            verdict = run(column, seed)
        except AssertionError as error:
            return f"FAILS (seed {seed}: {error})"
        if verdict != HOLDS:
            return verdict
    return HOLDS


def run_matrix() -> Iterator[Cell]:
    """Run all cells of the matrix."""
    for row, run in rows():
        for column in COLUMNS:
            yield Cell(row, column, run_cell(run, column))


def main() -> int:
    """Print the matrix as a Markdown table."""
    print("| step | " + " | ".join(COLUMNS) + " |")
    print("| --- " * (len(COLUMNS) + 1) + "|")
    failed = False
    cells = list(run_matrix())
    for row, _ in rows():
        verdicts = [cell.verdict for cell in cells if cell.row == row]
        failed = failed or any(text.startswith("FAILS") for text in verdicts)
        print(f"| {row} | " + " | ".join(verdicts) + " |")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
