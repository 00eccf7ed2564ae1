"""The routing table: routes, services, client accounts and limits in one document."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "DeclaredTable",
    "Engine",
    "Route",
    "RouteKind",
    "RoutedAccount",
    "RoutedService",
    "RoutingTable",
    "ServiceShare",
]


class RouteKind(StrEnum):
    """What may be repeated of the requests of a route.

    A ``SAFE`` request may run more than once, an ``UNSAFE`` one at most once. A
    ``STREAM`` is answered by events and runs at most once unless it may be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where calls go whose host and path match.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host of the calls, in lower case and without port.
    path_prefix : str
        Start of the paths of the calls; begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    timeout_ms : int
        Time within which a call gets its final answer, in milliseconds.
    objective_ms : int
        Time within which the answer, or the first event of a stream, is on time.
    event_gap_ms : int
        Longest pause between the events of a stream that is on time.
    patience_ms : int
        Time without an event after which callers leave a stream, also before its
        first event; 0 if they wait until the timeout.
    tier : int
        Urgency from 0, the highest.
    shares : tuple of ServiceShare
        Services that take the calls.
    max_tries : int
        Backend servers that one call may be sent to.
    public : bool
        Whether a call needs no key of a client account.
    resumable : bool
        Whether a stream may go on at another backend server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    objective_ms: int
    event_gap_ms: int
    patience_ms: int
    tier: int
    shares: tuple[ServiceShare, ...]
    max_tries: int
    public: bool
    resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True)
class Engine:
    """What the model engines of a service have in common.

    Parameters
    ----------
    kv_tokens : int
        KV memory of one engine, in tokens.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    """

    kv_tokens: int
    tokens_per_event: int


@dataclass(frozen=True)
class RoutedService:
    """A service that routes name.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one backend server accepts from all instances together.
    engine : Engine or None
        Set for services of model engines.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclass(frozen=True)
class RoutedAccount:
    """A client account with its keys and its usage cap over all instances.

    Parameters
    ----------
    name : str
        Name of the account, which backend servers are told.
    keys : tuple of str
        Keys that its callers may send.
    tier : int or None
        Urgency that goes before that of the route; ``None`` leaves the route's.
    charges_tokens : bool
        Whether the cap counts tokens; else it counts requests.
    plain_tokens : int
        Tokens that a request without token counts is charged.
    rate_per_second, burst : float
        Cap: refill rate and size of its bucket; a rate of 0 means no cap.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None
    charges_tokens: bool
    plain_tokens: int
    rate_per_second: float
    burst: float


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RoutingTable:
    """One version of everything that is declared; the highest is in force."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    accounts: tuple[RoutedAccount, ...]
    limits: CallerLimits


@dataclass(frozen=True)
class DeclaredTable:
    """A routing table with the document that the operator sent for it."""

    table: RoutingTable
    source: bytes
