"""Bytes and time to bring an instance up to date, by three transfer methods.

The methods are the tail of the log, a full snapshot, and the changed pages of the
encoded state. The last follows "State Transfer with Merkle Trees", but compares a flat
list of page hashes in place of a tree. Run as ``python -m benchmarks.state_transfer``.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import click
import xxhash

from sassafraspin.control import Configuration, ControlState, PutProfile
from sassafraspin.control.commands import decode_command, encode_command
from sassafraspin.profiles import Profile

_PAGE_BYTES = 1024
_HASH_BYTES = 8
_PROFILES = 300
_MISSING_ENTRIES = (1, 100, 1_000)
_REPEATS = 5


@dataclass(frozen=True)
class Cost:
    """Bytes sent in both directions, and the elapsed time of the steps measured.

    For the log tail, the time covers decoding and applying the entries at the receiver.
    For the snapshot, it covers encoding at the sender and decoding at the receiver. For
    the page hashes, it covers encoding and hashing at both ends, the comparison, and
    decoding of the new state.
    """

    bytes: int
    seconds: float


@click.command()
def main() -> None:
    """Print a row for each transfer method and number of missing entries."""
    commands = _commands(_PROFILES + max(_MISSING_ENTRIES))
    click.echo(f"{_PROFILES} profiles, each with up to 50 retained versions")
    click.echo(f"{'behind':>6} {'method':12} {'bytes':>9} {'ms':>8}")
    for behind in _MISSING_ENTRIES:
        base = commands[: len(commands) - behind]
        tail = commands[len(commands) - behind :]
        for name, method in _METHODS.items():
            cost = _fastest(
                lambda method=method, base=base, tail=tail: method(base, tail)
            )
            click.echo(
                f"{behind:6} {name:12} {cost.bytes:9} {cost.seconds * 1000:8.2f}"
            )


def _fastest(run: Callable[[], Cost]) -> Cost:
    return min((run() for _ in range(_REPEATS)), key=lambda cost: cost.seconds)


def _commands(count: int) -> list[bytes]:
    generator = random.Random(1)
    versions = [0] * _PROFILES
    commands = []
    for number in range(count):
        profile_number = (
            number if number < _PROFILES else generator.randrange(_PROFILES)
        )
        versions[profile_number] += 1
        profile = Profile(
            f"profile-{profile_number:03}",
            versions[profile_number],
            "sorter-model",
            number % 4,
            1000 + number,
        )
        command = PutProfile(f"change-{number:06}", "ayse", number, profile)
        commands.append(encode_command(command))
    return commands


def _configuration(commands: list[bytes]) -> Configuration:
    configuration = Configuration()
    for index, data in enumerate(commands, start=1):
        configuration.apply(index, data)
    return configuration


def _send_log_tail(base: list[bytes], tail: list[bytes]) -> Cost:
    receiver = _configuration(base).state
    started_at = time.perf_counter()
    for offset, data in enumerate(tail):
        receiver.apply(len(base) + 1 + offset, decode_command(data))
    seconds = time.perf_counter() - started_at
    return Cost(sum(map(len, tail)), seconds)


def _send_snapshot(base: list[bytes], tail: list[bytes]) -> Cost:
    sender = _configuration([*base, *tail]).state
    started_at = time.perf_counter()
    image = sender.to_bytes()
    ControlState.from_bytes(sender.index, image)
    return Cost(len(image), time.perf_counter() - started_at)


def _send_changed_pages(base: list[bytes], tail: list[bytes]) -> Cost:
    sender = _configuration([*base, *tail]).state
    receiver = _configuration(base).state
    started_at = time.perf_counter()
    new_pages = _pages(sender.to_bytes())
    old_pages = _pages(receiver.to_bytes())
    new_hashes = [xxhash.xxh3_64_intdigest(page) for page in new_pages]
    old_hashes = {xxhash.xxh3_64_intdigest(page) for page in old_pages}
    missing = [
        page
        for page, value in zip(new_pages, new_hashes, strict=True)
        if value not in old_hashes
    ]
    ControlState.from_bytes(sender.index, b"".join(new_pages))
    seconds = time.perf_counter() - started_at
    request_bytes = _HASH_BYTES * len(missing)
    return Cost(
        _HASH_BYTES * len(new_hashes) + request_bytes + sum(map(len, missing)), seconds
    )


def _pages(image: bytes) -> list[bytes]:
    return [
        image[start : start + _PAGE_BYTES]
        for start in range(0, len(image), _PAGE_BYTES)
    ]


_METHODS = {
    "log tail": _send_log_tail,
    "snapshot": _send_snapshot,
    "page hashes": _send_changed_pages,
}


if __name__ == "__main__":
    main()
