"""Model of instances with request records on a simulated network, with invariants."""

import random
from collections import Counter
from dataclasses import dataclass, field

from sassafraspin.ledger import (
    Claim,
    ClaimAnswer,
    ClaimDecision,
    CloseClaim,
    Ledger,
    RecordKey,
    RecordState,
)
from sassafraspin.membership import (
    HeartbeatReply,
    Member,
    MemberHeartbeat,
    MemberIdentity,
    MemberLease,
    MemberTable,
    MemberTimings,
    View,
)
from sassafraspin.settings import LedgerSettings
from tests.simulation import MAX_CLOCK_DRIFT, DriftingClock, SimulatedNetwork

TICK_SECONDS = 0.05
CONTROL = "control"
TIMINGS = MemberTimings(lease=1.5, clock_drift=MAX_CLOCK_DRIFT)
HEARTBEAT_SECONDS = 0.2
REPEAT_SECONDS = 0.2

_SERVICE_KEY = RecordKey("service", "model")


@dataclass
class OpenCall:
    """A request that an entry instance is handling."""

    key: RecordKey
    request_id: str
    next_claim_at: float = 0.0
    dispatched: bool = False


@dataclass
class LedgerNode:
    """One incarnation of an instance."""

    member: Member
    lease: MemberLease
    ledger: Ledger
    views: tuple[View, ...] = (View(),)
    calls: dict[str, OpenCall] = field(default_factory=dict)
    frozen: bool = False


@dataclass(frozen=True)
class ViewUpdate:
    """Heartbeat reply to one incarnation of an instance, with the views."""

    reply: HeartbeatReply
    receiver: MemberIdentity
    views: tuple[View, ...]


class LedgerModel:
    """Instances that claim keys, with the number of dispatches of each key.

    Parameters
    ----------
    size : int
        Number of instances.
    backup_copies : int
        Number of backup copies of each record.
    seed : int
        Seed of the clocks.
    timings : MemberTimings
        Lease duration and clock drift.
    """

    def __init__(
        self,
        size: int = 5,
        backup_copies: int = 2,
        seed: int = 0,
        timings: MemberTimings = TIMINGS,
    ) -> None:
        self.network = SimulatedNetwork(self._deliver)
        self._generator = random.Random(seed)
        self._settings = LedgerSettings(backup_copies=backup_copies)
        self._names = [f"entry-{number}" for number in range(size)]
        self._clocks = {
            name: DriftingClock(self.network, self._generator)
            for name in (*self._names, CONTROL)
        }
        self._incarnation = 0
        self._counter = 0
        self._timings = timings
        self._table = MemberTable(timings, self._clocks[CONTROL].now())
        self._views: tuple[View, ...] = (View(),)
        self.nodes: dict[str, LedgerNode] = {}
        self.dispatched: Counter[RecordKey] = Counter()
        self.decisions: Counter[str] = Counter()
        self.kill_count = 0
        for name in self._names:
            self.start(name)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all instances, running or not."""
        return tuple(self._names)

    def holders(self, number: int, ranks: set[int]) -> list[str]:
        """Return the members with these ranks for a key in the newest view."""
        key = RecordKey("account", f"key-{number}")
        ranked = self._views[-1].ranked(key.hash_key, 3)
        return [ranked[rank].name for rank in sorted(ranks) if rank < len(ranked)]

    # Faults

    def start(self, name: str) -> None:
        """Start a new incarnation of an instance, without any records."""
        if name in self.nodes:
            return
        self._incarnation += 1
        zone = f"zone-{self._names.index(name) % 3}"
        member = Member(name, self._incarnation, "r", zone, "127.0.0.1", 1)
        lease = MemberLease(member, (CONTROL,), HEARTBEAT_SECONDS, self._timings)
        ledger = Ledger(member.identity, self._settings)
        self.nodes[name] = LedgerNode(member, lease, ledger)

    def kill(self, name: str) -> None:
        """Kill an instance together with its calls and records."""
        if self.nodes.pop(name, None) is not None:
            self.kill_count += 1

    def leave(self, name: str) -> None:
        """Let an instance without open calls release its lease and leave."""
        node = self.nodes.get(name)
        if node is not None and not node.calls:
            node.lease.leave()

    # Calls

    def call(self, name: str, number: int) -> None:
        """Send a request with an idempotency key to an instance."""
        node = self.nodes.get(name)
        if node is None or node.lease.is_leaving:
            return
        self._counter += 1
        request_id = f"r{self._counter}"
        key = RecordKey("account", f"key-{number}")
        node.calls[request_id] = OpenCall(key, request_id)

    def end_call(self, name: str, state: RecordState) -> None:
        """Close the oldest dispatched call of an instance with a final state."""
        node = self.nodes.get(name)
        if node is None or node.frozen:
            return
        for call in list(node.calls.values()):
            if call.dispatched and state is not RecordState.NOT_RUN:
                self._close(node, call, state)
                return

    def abandon_call(self, name: str) -> None:
        """Close the oldest call that an instance has not dispatched as ``NOT_RUN``."""
        node = self.nodes.get(name)
        if node is None or node.frozen:
            return
        for call in list(node.calls.values()):
            if not call.dispatched:
                self._close(node, call, RecordState.NOT_RUN)
                return

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.network.run(seconds, self._tick, TICK_SECONDS)

    def check(self) -> None:
        """Check that no key was dispatched twice and at most one member owns a service.

        Two members that own the service key would both act as its dispatcher.
        """
        owners = [
            node.member.name
            for node in self.nodes.values()
            if self._may_act(node) and node.ledger.owns(_SERVICE_KEY)
        ]
        assert len(owners) <= 1, f"two dispatchers: {owners}"
        repeated = {key.key: n for key, n in self.dispatched.items() if n > 1}
        assert not repeated, f"dispatched more than once: {repeated}"

    def check_recovery(self) -> None:
        """Remove all faults and check that new keys are decided."""
        self.network.blocked_links.clear()
        for name in self._names:
            if name in self.nodes:
                self.nodes[name].frozen = False
                if self.nodes[name].lease.is_leaving:
                    self.kill(name)
            self.start(name)
        self.run(20.0)
        before = self._decided_claims()
        for number, name in enumerate(self._names):
            self.call(name, 1_000 + number)
        self.run(5.0)
        decided = self._decided_claims() - before
        assert decided >= len(self._names), "new keys were not decided"
        self.check()

    def _decided_claims(self) -> int:
        """Return the number of claims granted, or unknown because of lost copies."""
        granted = self.decisions[ClaimDecision.GRANTED]
        if self.kill_count < 2:
            return granted
        return granted + self.decisions[ClaimDecision.UNKNOWN]

    def _tick(self) -> None:
        now = self._clocks[CONTROL].now()
        view = self._table.plan_view(self._views[-1], now)
        if view is not None:
            self._views = (*self._views, view)
        for node in list(self.nodes.values()):
            if not node.frozen:
                self._tick_node(node)
        self.check()

    def _tick_node(self, node: LedgerNode) -> None:
        now = self._now(node)
        heartbeat = node.lease.tick(
            node.views[-1].number, node.ledger.synced_view, node.views[-1], now
        )
        if heartbeat is not None:
            self._send(node, CONTROL, heartbeat.heartbeat)
        self._run_effects(node, node.ledger.install_views(node.views, now))
        self._run_effects(node, node.ledger.tick(self._may_act(node), now))
        for call in node.calls.values():
            self._claim(node, call, now)

    def _claim(self, node: LedgerNode, call: OpenCall, now: float) -> None:
        if call.dispatched or now < call.next_claim_at:
            return
        call.next_claim_at = now + REPEAT_SECONDS
        view = node.views[-1]
        claim = Claim(call.key, b"digest", call.request_id, view.number)
        self._send_to_primary(node, call.key, claim)

    def _close(self, node: LedgerNode, call: OpenCall, state: RecordState) -> None:
        del node.calls[call.request_id]
        close = CloseClaim(call.key, call.request_id, state)
        self._send_to_primary(node, call.key, close)

    def _send_to_primary(
        self, node: LedgerNode, key: RecordKey, message: object
    ) -> None:
        ranked = node.views[-1].ranked(key.hash_key, 1)
        if ranked:
            self._send(node, ranked[0].name, message)

    def _send(self, node: LedgerNode, target: str, message: object) -> None:
        self.network.send(node.member.name, target, (node.member.identity, message))

    def _deliver(self, source: str, target: str, envelope: tuple) -> None:
        identity, message = envelope
        if target == CONTROL:
            self._on_heartbeat(identity, message)
            return
        node = self.nodes.get(target)
        if node is None or node.frozen:
            return
        match message:
            case ViewUpdate():
                self._on_update(node, message)
            case ClaimAnswer():
                self._on_answer(node, message)
            case _:
                now = self._now(node)
                may_act = self._may_act(node)
                effects = node.ledger.receive(identity, message, may_act, now)
                self._run_effects(node, effects)

    def _on_heartbeat(self, source: MemberIdentity, message: MemberHeartbeat) -> None:
        now = self._clocks[CONTROL].now()
        lease = self._table.grant(source, message, self._views[-1], now)
        reply = HeartbeatReply(
            CONTROL,
            int(lease * 1000),
            self._views[-1].number,
            message.sent_at,
            None,
        )
        update = ViewUpdate(reply, source, self._views)
        control = MemberIdentity(CONTROL, 0)
        self.network.send(CONTROL, source.name, (control, update))

    def _on_update(self, node: LedgerNode, update: "ViewUpdate") -> None:
        if update.receiver != node.member.identity:
            return
        if update.views[-1].number > node.views[-1].number:
            node.views = update.views
        now = self._now(node)
        node.lease.on_reply(CONTROL, update.reply, node.views[-1].number, now)
        self._run_effects(node, node.ledger.install_views(node.views, now))

    def _on_answer(self, node: LedgerNode, answer: ClaimAnswer) -> None:
        call = node.calls.get(answer.request_id)
        if call is None or call.dispatched:
            return
        self.decisions[answer.decision] += 1
        match answer.decision:
            case ClaimDecision.GRANTED:
                call.dispatched = True
                self.dispatched[call.key] += 1
            case ClaimDecision.NOT_READY | ClaimDecision.FULL:
                pass
            case _:
                del node.calls[answer.request_id]

    def _may_act(self, node: LedgerNode) -> bool:
        held = node.lease.is_held(self._now(node))
        return held and node.views[-1].contains(node.member.identity)

    def _run_effects(self, node: LedgerNode, effects: list) -> None:
        for effect in effects:
            self._send(node, effect.name, effect.message)

    def _now(self, node: LedgerNode) -> float:
        return self._clocks[node.member.name].now()
