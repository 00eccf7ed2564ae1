"""Requests and responses as the HTTP server and client exchange them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Headers", "Request", "Response"]


@dataclass(frozen=True)
class Headers:
    """Header fields, looked up without regard to case.

    Parameters
    ----------
    items : tuple of (str, str)
        Names in lower case and values, in the order received.
    """

    items: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_wire(cls, items: Iterable[tuple[bytes, bytes]]) -> "Headers":
        """Return the fields as they are received, names in lower case."""
        return cls(
            tuple(
                (name.decode("ascii"), value.decode("latin-1")) for name, value in items
            )
        )

    def get(self, name: str) -> str | None:
        """Return the first value of the field ``name``, or ``None``."""
        wanted = name.lower()
        for key, value in self.items:
            if key == wanted:
                return value
        return None

    def without(self, names: frozenset[str]) -> "Headers":
        """Return a copy that lacks the fields in ``names`` (lower case)."""
        return Headers(tuple(item for item in self.items if item[0] not in names))

    def adding(self, name: str, value: str) -> "Headers":
        """Return a copy with one more field."""
        return Headers((*self.items, (name.lower(), value)))


@dataclass(frozen=True)
class Request:
    """One HTTP request with its whole body."""

    method: str
    target: str
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query without the question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True)
class Response:
    """One HTTP response with its whole body."""

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
