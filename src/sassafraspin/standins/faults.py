"""Faults injected into versions: requests that fail or are slow."""

import random
from collections import Counter
from dataclasses import dataclass

from sassafraspin.standins.model import FaultSettings

__all__ = ["FaultEffect", "FaultModel"]


@dataclass(frozen=True)
class FaultEffect:
    """Combined effect of all faults on one request."""

    fails: bool = False
    slowdown: float = 1.0


class FaultModel:
    """Determines the effect of the configured faults on each request.

    Parameters
    ----------
    faults : tuple of FaultSettings
        Faults of all versions.
    generator : random.Random
        Selects the affected requests.
    """

    def __init__(
        self, faults: tuple[FaultSettings, ...], generator: random.Random
    ) -> None:
        self._faults = faults
        self._generator = generator
        self._request_counts: Counter[str] = Counter()

    def effect(self, version: str, route: str, running: int) -> FaultEffect:
        """Count a request of a version and return the effect of the faults on it."""
        previous_requests = self._request_counts[version]
        self._request_counts[version] += 1
        fails = False
        slowdown = 1.0
        for fault in self._faults:
            if not _applies(fault, version, route, running, previous_requests):
                continue
            if self._generator.random() >= fault.share:
                continue
            if fault.kind == "fail":
                fails = True
            else:
                slowdown *= fault.factor
        return FaultEffect(fails, slowdown)


def _applies(
    fault: FaultSettings, version: str, route: str, running: int, previous_requests: int
) -> bool:
    return (
        fault.version == version
        and previous_requests >= fault.after_requests
        and running >= fault.running_from
        and fault.route in (None, route)
    )
