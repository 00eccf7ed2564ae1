"""Routing table with its routes, services, client accounts and limits."""

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
    """Retry semantics of a route's requests.

    A ``SAFE`` request may run more than once, an ``UNSAFE`` one at most once. A
    ``STREAM`` request returns events and runs at most once unless it is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """Weight of one service in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Route for calls with a matching host and path.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host to match, in lower case and without port.
    path_prefix : str
        Path prefix to match; begins and ends with a slash.
    kind : RouteKind
        Retry semantics.
    timeout_ms : int
        Time limit for the complete answer, in milliseconds.
    objective_ms : int
        Latency objective for the answer or the first event of a stream, in
        milliseconds.
    event_gap_ms : int
        Objective for the longest gap between events of a stream, in milliseconds.
    patience_ms : int
        Time without an event after which callers abandon a stream, also before the
        first event, in milliseconds; 0 if they wait until the timeout.
    tier : int
        Priority; 0 is the highest.
    shares : tuple of ServiceShare
        Services that handle the calls, with their weights.
    max_tries : int
        Maximum number of backend servers to try for one call.
    public : bool
        Whether calls need no API key.
    resumable : bool
        Whether another backend server may continue an interrupted stream.
    regions : tuple of str
        Regions in which calls may be served, empty for all.
    session_affinity : bool
        Whether calls are placed by the parts of their prompts, which servers keep in
        their prefix caches.
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
    regions: tuple[str, ...] = ()
    session_affinity: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True)
class Engine:
    """Properties shared by the model engines of a service.

    Parameters
    ----------
    kv_tokens : int
        KV cache capacity of one engine, in tokens.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    kv_tokens: int
    tokens_per_event: int


@dataclass(frozen=True)
class RoutedService:
    """A service that routes refer to.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one backend server accepts, summed over all instances.
    engine : Engine or None
        Engine properties, ``None`` for a service without model engines.
    cold_rate : float
        Requests a second that a server takes from all instances together while it is
        slow after its start; 0 for any number.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_rate: float = 0.0


@dataclass(frozen=True)
class RoutedAccount:
    """A client account with its API keys and its usage cap over all instances.

    Parameters
    ----------
    name : str
        Name of the account, also sent to backend servers.
    keys : tuple of str
        API keys of its callers.
    tier : int or None
        Priority that outranks the route's; ``None`` uses the route's alone.
    charges_tokens : bool
        Whether the cap counts tokens instead of requests.
    plain_tokens : int
        Tokens charged for a request without token counts.
    rate_per_second, burst : float
        Usage cap as refill rate and size of a bucket; a rate of 0 means no cap.
    regions : tuple of str
        Regions in which the account's calls may be served, empty for all.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None
    charges_tokens: bool
    plain_tokens: int
    rate_per_second: float
    burst: float
    regions: tuple[str, ...] = ()


@dataclass(frozen=True)
class CallerLimits:
    """Size limits of caller requests and time limits of their connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class RoutingTable:
    """One version of the routing configuration; the highest version applies."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    accounts: tuple[RoutedAccount, ...]
    limits: CallerLimits


@dataclass(frozen=True)
class DeclaredTable:
    """A routing table and the operator's document that it was decoded from."""

    table: RoutingTable
    source: bytes
