"""Memory and encoded size of membership views and request records.

Run as ``python -m benchmarks.memory``.
"""

import tracemalloc
from collections.abc import Callable
from typing import Any

import click

from sassafraspin.control import ChangeView
from sassafraspin.control.commands import decode_command, encode_command
from sassafraspin.daemon.messages import PeerMessage
from sassafraspin.ledger import (
    RecordKey,
    RecordState,
    RequestRecord,
    SyncReply,
    SyncRequest,
)
from sassafraspin.ledger.store import RecordStore
from sassafraspin.membership import Member, View
from sassafraspin.rpc import MessageCodec

_MEMBERS = (11, 100, 390)
_RECORDS = (1_000, 5_000, 20_000)
_INCARNATION = 1_796_353_076_351_752


@click.command()
def main() -> None:
    """Print encoded sizes and allocated memory."""
    for count in _MEMBERS:
        data = _view(count)
        objects = _allocated(lambda data=data: decode_command(data))
        click.echo(
            f"view of {count} members: {len(data)} bytes encoded, {objects} as objects"
        )
    for count in _RECORDS:
        allocated = _allocated(lambda count=count: _record_store(count))
        click.echo(f"{count} records: {allocated / count:.0f} bytes each")
    codec = MessageCodec(PeerMessage)
    for message in (SyncRequest(300, 1), SyncReply(300, 1, 0, True, ())):
        size = len(
            codec.encode_frame(
                "entry-123", _INCARNATION, [codec.encode_message(message)]
            )
        )
        click.echo(f"{type(message).__name__} without records: {size} bytes")


def _view(count: int) -> bytes:
    members = tuple(
        Member(
            f"entry-{number:03}",
            _INCARNATION + number,
            "marmara",
            f"marmara-{number % 9}",
            "10.20.30.40",
            7200,
        )
        for number in range(count)
    )
    return encode_command(ChangeView("view-1-1", 0, View(3, 2, members)))


def _record_store(count: int) -> RecordStore:
    store = RecordStore(600.0)
    for number in range(count):
        record = RequestRecord(
            RecordKey("mill-floor", f"key-{number:024}"),
            number.to_bytes(16, "big"),
            1,
            f"sorter-model:{number:032x}",
            "entry-123",
            _INCARNATION,
            RecordState.CLAIMED,
        )
        store.store(record, 1.0)
    return store


def _allocated(make: Callable[[], Any]) -> int:
    """Return the bytes allocated by the object that ``make`` returns."""
    tracemalloc.start()
    made = make()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return allocated


if __name__ == "__main__":
    main()
