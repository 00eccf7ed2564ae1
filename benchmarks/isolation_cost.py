"""Costs of the evidence on harmful prompt parts, for a request and for an end.

Prints a Markdown table. The leader handles the reports of all instances, so the cost of
a report does not depend on their number; heartbeats carry nothing.
"""

import sys
import time
from collections.abc import Callable

import msgspec

from sassafraspin.dispatch import ReleaseResult, SlotRelease
from sassafraspin.isolation import (
    CrashEvidence,
    IsolatedPart,
    IsolationStore,
    request_signature,
)

_REPEATS = 20_000
_ENDS = 256
_REQUESTS_PER_END = 7
_ISOLATED_PARTS = 1_000
_PARTS = ("5c1e07a2", "91bd3f06")


def main() -> None:
    """Measure and print all costs."""
    print("| what | cost |")
    print("| --- | --- |")
    for name, value in _measure().items():
        print(f"| {name} | {value} |")


def _measure() -> dict[str, str]:
    evidence = _full_evidence()
    store = IsolationStore(
        IsolatedPart(f"part{number}", (), 0) for number in range(_ISOLATED_PARTS)
    )
    answer_us = _microseconds(lambda: _record_answer(evidence), _REPEATS)
    look_up_us = _microseconds(lambda: store.find(_PARTS), _REPEATS)
    tick_us = _microseconds(lambda: CrashEvidence().find_harmful(1.0), _REPEATS)
    sign_us = _microseconds(lambda: _sign(2_000), _REPEATS)
    sign_large_ms = _microseconds(lambda: _sign(4_000_000), 20) / 1000
    suspicion_us = _microseconds(lambda: evidence.suspicion(_sign(0)), _REPEATS)
    find_ms = _microseconds(lambda: _full_evidence().find_harmful(1e6), 20) / 1000
    build_ms = _microseconds(_full_evidence, 20) / 1000
    report = evidence.report(1.0)
    return {
        "report of an answered request, at the leader": f"{answer_us:.2f} us",
        "look-up of two parts among 1,000 isolated ones": f"{look_up_us:.2f} us",
        "bytes of a report with two parts, beside one without": (
            f"{_release_bytes(_PARTS)}, {_release_bytes(())}"
        ),
        "signature of a request of 2 kB": f"{sign_us:.2f} us",
        "signature of a request of 4 MB": f"{sign_large_ms:.2f} ms",
        "signature of an empty request, and its suspicion": f"{suspicion_us:.2f} us",
        "periodic look without evidence": f"{tick_us:.2f} us",
        "search for a harmful part with 256 ends of 7 requests": (
            f"{find_ms - build_ms:.1f} ms"
        ),
        "largest report to the other control instances": (
            f"{len(msgspec.msgpack.encode(report))} bytes"
        ),
    }


def _sign(body_bytes: int) -> str:
    body = b"x" * body_bytes
    return request_signature("scribe-pool", "lehu860", "POST", "/rpd/2f", body)


def _record_answer(evidence: CrashEvidence) -> None:
    evidence.record_answer(_PARTS, 1.0)
    evidence.record_running("server0", 0.5, 1.0)


def _full_evidence() -> CrashEvidence:
    evidence = CrashEvidence()
    for number in range(_ENDS):
        for request in range(_REQUESTS_PER_END):
            parts = (f"first{number % 40}", f"own{number}-{request}")
            evidence.record_crash(f"server{number}", parts, number / 100)
    return evidence


def _release_bytes(parts: tuple[str, ...]) -> int:
    release = SlotRelease(
        "scribe-pool",
        "scribe-pool:0123456789abcdef0123456789abcdef:0",
        "front-chaguanas-1-1767524092420854-main-1-185",
        "i-6c0fced3da",
        ReleaseResult.ANSWERED,
        128,
        956,
        215,
        parts,
    )
    return len(msgspec.msgpack.encode(release))


def _microseconds(action: Callable[[], object], repeats: int) -> float:
    started_at = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started_at) / repeats * 1e6


if __name__ == "__main__":
    sys.exit(main())
