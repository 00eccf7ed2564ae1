"""Messages between control instances about the crashes of backend servers."""

import msgspec

__all__ = ["CrashReport", "SuspectedCrash"]


class SuspectedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a server, with the suspected signatures of each request it had.

    ``is_refused`` says whether it refused connections afterwards.
    """

    server: str
    age_ms: int
    requests: tuple[tuple[str, ...], ...]
    is_refused: bool = True
    incarnation: int = 0


class CrashReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The control leader's latest crashes with suspected signatures, oldest first.

    ``answers`` and ``losses`` count requests of late, answered and broken off.
    """

    crashes: tuple[SuspectedCrash, ...] = ()
    answers: float = 0.0
    losses: float = 0.0
