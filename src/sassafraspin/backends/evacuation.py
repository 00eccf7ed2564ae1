"""Evacuated availability zones, as agreed in the control log."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Evacuation", "EvacuationStore"]


@dataclass(frozen=True)
class Evacuation:
    """The order that the servers of an availability zone get no new requests.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    since_ms : int
        Wall clock time of the order, in milliseconds since 1970.
    """

    zone: str
    since_ms: int


class EvacuationStore:
    """Evacuations in force, oldest first.

    Parameters
    ----------
    evacuations : iterable of Evacuation
        Initial content, oldest first.
    """

    def __init__(self, evacuations: Iterable[Evacuation] = ()) -> None:
        self._evacuations = {item.zone: item for item in evacuations}
        self._zones = frozenset(self._evacuations)

    @property
    def zones(self) -> frozenset[str]:
        """Return the names of the evacuated zones."""
        return self._zones

    def all_evacuations(self) -> tuple[Evacuation, ...]:
        """Return the evacuations, oldest first."""
        return tuple(self._evacuations.values())

    def begin(self, evacuation: Evacuation) -> bool:
        """Record an evacuation; return ``False`` if the zone is evacuated already."""
        if evacuation.zone in self._evacuations:
            return False
        self._evacuations[evacuation.zone] = evacuation
        self._zones = frozenset(self._evacuations)
        return True

    def end(self, zone: str) -> bool:
        """End an evacuation; return ``False`` if the zone is not evacuated."""
        if self._evacuations.pop(zone, None) is None:
            return False
        self._zones = frozenset(self._evacuations)
        return True
