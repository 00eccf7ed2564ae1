"""Execution counts by idempotency key, used to verify at-most-once execution."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["ExecutionCount", "ExecutionCounter"]


@dataclass(frozen=True)
class ExecutionCount:
    """Total executions, distinct keys, and the counts of keys executed repeatedly."""

    executions: int
    keys: int
    repeated: dict[str, int]


class ExecutionCounter:
    """Counts executions by idempotency key."""

    def __init__(self) -> None:
        self._executions = 0
        self._keys: Counter[str] = Counter()

    def record(self, key: str | None) -> None:
        """Record one execution."""
        self._executions += 1
        if key is not None:
            self._keys[key] += 1

    def count(self) -> ExecutionCount:
        """Return a summary of the counts."""
        repeated = {key: count for key, count in self._keys.items() if count > 1}
        return ExecutionCount(self._executions, len(self._keys), repeated)

    def keys(self) -> frozenset[str]:
        """Return the keys that were executed at least once."""
        return frozenset(self._keys)
