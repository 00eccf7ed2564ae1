"""Messages of the ledger per request, and the wait of keys after an instance failure.

Run as ``python -m benchmarks.failover``. It uses a virtual clock and the default lease
duration.
"""

import random
import statistics

import click
from tests.ledger_model import LedgerModel

from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.ledger import ClaimDecision, LedgerMessage, RecordKey, RecordState
from sassafraspin.membership import MemberTimings
from sassafraspin.rpc import MessageCodec

_INSTANCES = 11
_MEMBER_TIMINGS = MemberTimings(lease=3.0, clock_drift=0.04)
_NEW_KEYS = 150
_SEEDS = range(1, 11)


@click.command()
def main() -> None:
    """Print messages and bytes per request, and waiting times after a failure."""
    _echo_cost()
    _echo_failure()


def _echo_cost() -> None:
    model = LedgerModel(_INSTANCES, seed=1)
    model.run(5.0)
    codec = MessageCodec(PeerMessage)
    sizes: dict[str, list[int]] = {}
    send = model.network.send

    def count(source: str, target: str, envelope: tuple) -> None:
        identity, message = envelope
        if isinstance(message, LedgerMessage) and source != target:
            data = codec.encode_frame(
                identity.name, identity.incarnation, [codec.encode_message(message)]
            )
            sizes.setdefault(type(message).__name__, []).append(len(data))
        send(source, target, envelope)

    model.network.send = count
    primary = model.holders(1, {0})[0]
    entry = next(
        name for name in model.names if name not in model.holders(1, {0, 1, 2})
    )
    model.call(entry, 1)
    model.run(0.5)
    model.end_call(entry, RecordState.ANSWERED)
    model.run(0.5)
    total = sum(map(sum, sizes.values()))
    messages = sum(map(len, sizes.values()))
    click.echo(
        f"one keyed request, primary {primary}: {messages} messages, {total} bytes"
    )
    for name, values in sizes.items():
        click.echo(f"  {name}: {len(values)} of {statistics.mean(values):.0f} bytes")


def _echo_failure() -> None:
    waits = sorted(wait for seed in _SEEDS for wait in _waits_after_failure(seed))
    click.echo(
        f"{_INSTANCES} instances, lease {_MEMBER_TIMINGS.lease:.0f} s, one failed:"
    )
    for limit in (0.1, 0.5, 3.0):
        delayed = sum(wait > limit for wait in waits) / len(waits)
        click.echo(f"  {delayed:.0%} of new keys wait longer than {limit} s")
    click.echo(f"  the slowest is granted after {waits[-1]:.1f} s")


def _waits_after_failure(seed: int) -> list[float]:
    """Return the waits of new keys that are claimed just after an instance failed."""
    model = LedgerModel(_INSTANCES, seed=seed, timings=_MEMBER_TIMINGS)
    model.network.generator = random.Random(seed)
    model.run(5.0)
    failed = model.names[seed % _INSTANCES]
    survivors = [name for name in model.names if name != failed]
    model.kill(failed)
    started_at = model.network.now
    granted_at: dict[RecordKey, float] = {}
    for number in range(_NEW_KEYS):
        model.call(survivors[number % len(survivors)], 10_000 + number)
    while len(granted_at) < _NEW_KEYS and model.network.now < started_at + 30:
        model.run(0.05)
        for key in model.dispatched:
            granted_at.setdefault(key, model.network.now - started_at)
    assert model.decisions[ClaimDecision.GRANTED] == _NEW_KEYS
    return list(granted_at.values())


if __name__ == "__main__":
    main()
