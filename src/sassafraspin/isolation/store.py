"""Isolated prompt parts and requests, as agreed in the control log."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["IsolatedPart", "IsolationStore"]

_MAX_PARTS = 1_000


@dataclass(frozen=True)
class IsolatedPart:
    """A prompt part whose requests are refused, or an equal request that is.

    Parameters
    ----------
    part : str
        Signature: the identifier of the part, or the digest of the request.
    servers : tuple of str
        Backend servers that crashed with requests that have it.
    since_ms : int
        Wall clock time of the isolation, in milliseconds since 1970.
    """

    part: str
    servers: tuple[str, ...]
    since_ms: int


class IsolationStore:
    """Isolated parts, oldest first; beyond ``_MAX_PARTS`` the oldest one is dropped.

    Parameters
    ----------
    parts : iterable of IsolatedPart
        Initial content, oldest first.
    """

    def __init__(self, parts: Iterable[IsolatedPart] = ()) -> None:
        self._parts = {item.part: item for item in parts}

    def all_parts(self) -> tuple[IsolatedPart, ...]:
        """Return the isolated parts, oldest first."""
        return tuple(self._parts.values())

    def find(self, parts: Iterable[str]) -> str | None:
        """Return the first of the parts that is isolated, ``None`` if none is."""
        return next((part for part in parts if part in self._parts), None)

    def isolate(self, isolated: IsolatedPart) -> bool:
        """Isolate a part; return ``False`` if it is isolated already."""
        if isolated.part in self._parts:
            return False
        if len(self._parts) >= _MAX_PARTS:
            del self._parts[next(iter(self._parts))]
        self._parts[isolated.part] = isolated
        return True

    def readmit(self, part: str) -> bool:
        """End the isolation of a part; return whether it was isolated."""
        return self._parts.pop(part, None) is not None
