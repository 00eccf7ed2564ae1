"""Request and response types shared by the HTTP server and client."""

import re
import unicodedata
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafraspin.http.memory import MemoryHold

__all__ = [
    "Headers",
    "Request",
    "Response",
    "decode_text",
    "encode_text",
    "has_two_framings",
    "is_header_text",
    "to_origin_form",
]

_AUTHORITY = re.compile(r"[^/?]*")


@dataclass(frozen=True)
class Headers:
    """Header fields with case-insensitive lookup.

    Parameters
    ----------
    items : tuple of (str, str)
        Pairs of lower-case name and value, in the order received. Each character of a
        value stands for one byte, as header fields may have any encoding.
    """

    items: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_wire(cls, items: Iterable[tuple[bytes, bytes]]) -> "Headers":
        """Decode header fields from h11, which gives the names in lower case."""
        return cls(
            tuple(
                (name.decode("ascii"), value.decode("latin-1")) for name, value in items
            )
        )

    def to_wire(self) -> list[tuple[bytes, bytes]]:
        """Encode the header fields for h11."""
        return [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in self.items
        ]

    def get(self, name: str) -> str | None:
        """Return the first value of a field, or ``None`` if it is absent."""
        lower_name = name.lower()
        for key, value in self.items:
            if key == lower_name:
                return value
        return None

    def without(self, names: frozenset[str]) -> "Headers":
        """Return a copy without the fields in ``names`` (lower case)."""
        return Headers(tuple(item for item in self.items if item[0] not in names))

    def adding(self, name: str, value: str) -> "Headers":
        """Return a copy with a field appended."""
        return Headers((*self.items, (name.lower(), value)))


@dataclass(frozen=True)
class Request:
    """An HTTP request with its complete body.

    A large body that was received is a view of the memory into which it was read.
    ``read_seconds`` is the time from its first byte until it was complete.
    """

    method: str
    target: str
    headers: Headers = field(default_factory=Headers)
    body: bytes | memoryview = b""
    read_seconds: float = 0.0

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query string without the question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True)
class Response:
    """An HTTP response with its body.

    Parameters
    ----------
    status : int
        Status code.
    headers : Headers
        Header fields.
    body : bytes
        Body as far as it was received, complete if ``is_framed``.
    is_framed : bool
        Whether the sender declared the end of the body. A body whose end is not
        declared ends with its connection and may be incomplete.
    hold : MemoryHold or None
        Memory that a large body holds while it is sent.
    """

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes | memoryview = b""
    is_framed: bool = True
    hold: "MemoryHold | None" = field(default=None, compare=False, repr=False)


def encode_text(text: str) -> str:
    """Return text in UTF-8 as the value of a header field."""
    return text.encode().decode("latin-1")


def is_header_text(text: str) -> bool:
    """Return whether a header field can carry a text unchanged."""
    is_printable = not any(unicodedata.category(item) == "Cc" for item in text)
    return is_printable and text == text.strip(" ")


def decode_text(value: str) -> str:
    """Return the text of a header field in UTF-8; other bytes stay as they are."""
    try:
        return value.encode("latin-1").decode()
    except UnicodeDecodeError:
        return value


def has_two_framings(headers: Headers) -> bool:
    """Return whether a message declares both a length and chunks.

    Its two ends may read different lengths, and take the rest for another message
    (RFC 9112, section 6.3).
    """
    is_chunked = headers.get("transfer-encoding") is not None
    return is_chunked and headers.get("content-length") is not None


def to_origin_form(target: str, headers: Headers) -> tuple[str, Headers]:
    """Return the path and query of a target, and the headers with its host.

    A target in absolute form names the host itself, whatever the header says (RFC 9112,
    section 3.2.2). Other targets stay as they are.
    """
    if not target.lower().startswith(("http://", "https://")):
        return target, headers
    rest = target.partition("://")[2]
    authority = _AUTHORITY.match(rest)[0]
    path = rest[len(authority) :]
    if not path.startswith("/"):
        path = f"/{path}"
    host = authority.rpartition("@")[2]
    return path, headers.without(frozenset({"host"})).adding("host", host)
