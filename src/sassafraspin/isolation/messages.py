"""Messages between control instances about the ends of backend servers."""

import msgspec

__all__ = ["EndReport", "SuspectedEnd"]


class SuspectedEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a server, with the suspected parts of each request it was to answer."""

    server: str
    age_ms: int
    requests: tuple[tuple[str, ...], ...]


class EndReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The control leader's latest ends with suspected parts, oldest first."""

    ends: tuple[SuspectedEnd, ...] = ()
