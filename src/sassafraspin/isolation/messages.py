"""Messages between control instances about the crashes of backend servers."""

import msgspec

__all__ = ["CrashReport", "SuspectedCrash"]


class SuspectedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a server, with the suspected parts of each request it was to answer."""

    server: str
    age_ms: int
    requests: tuple[tuple[str, ...], ...]


class CrashReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The control leader's latest crashes with suspected parts, oldest first."""

    crashes: tuple[SuspectedCrash, ...] = ()
