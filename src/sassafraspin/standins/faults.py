"""Bad versions: which requests fail or slow down."""

import random
from collections import Counter
from dataclasses import dataclass

from sassafraspin.standins.model import FaultSettings

__all__ = ["FaultEffect", "FaultModel"]


@dataclass(frozen=True)
class FaultEffect:
    """What a fault does to one request."""

    fails: bool = False
    slowdown: float = 1.0


class FaultModel:
    """Decides the effect of faults on each request.

    Parameters
    ----------
    faults : tuple of FaultSettings
        Faults by version.
    generator : random.Random
        Draws the requests that are hit.
    """

    def __init__(
        self, faults: tuple[FaultSettings, ...], generator: random.Random
    ) -> None:
        self._faults = faults
        self._generator = generator
        self._served: Counter[str] = Counter()

    def effect(self, version: str, route: str, running: int) -> FaultEffect:
        """Return the effect on a request that starts now."""
        served = self._served[version]
        self._served[version] += 1
        fails = False
        slowdown = 1.0
        for fault in self._faults:
            if not _applies(fault, version, route, running, served):
                continue
            if self._generator.random() >= fault.share:
                continue
            if fault.kind == "fail":
                fails = True
            else:
                slowdown *= fault.factor
        return FaultEffect(fails, slowdown)


def _applies(
    fault: FaultSettings, version: str, route: str, running: int, served: int
) -> bool:
    return (
        fault.version == version
        and served >= fault.after_requests
        and running >= fault.running_from
        and fault.route in (None, route)
    )
