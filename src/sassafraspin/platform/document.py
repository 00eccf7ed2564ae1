"""Decoder for the platform's configuration document."""

from collections.abc import Iterator
from typing import Annotated

import msgspec

from sassafraspin.errors import InvalidInput, Problem
from sassafraspin.http import is_header_text
from sassafraspin.routes import (
    CallerLimits,
    Engine,
    Route,
    RoutedAccount,
    RoutedService,
    RouteKind,
    RoutingTable,
    ServiceShare,
    validate_table,
)

__all__ = ["decode_table"]

_SOURCE = "configuration"
_TOKENS_UNIT = "tokens"
_DEFAULT_OBJECTIVE_MS = 1_000
"""Latency objective of a route that declares none."""

_MIN_PATIENCE_MS = 2_000
_PATIENCE_OBJECTIVES = 4
_PATIENCE_GAPS = 8
"""The platform's clients abandon a stream after a gap of two seconds, four latency
objectives or eight gap objectives, whichever is longest."""


_MAX_COUNT = 2**63 - 1
_MAX_AMOUNT = 2**53
"""Largest whole number, and largest number of a unit: far above any that is meant, and
sums and multiples of it stay finite and within 64 bits."""

_Version = Annotated[int, msgspec.Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]


class _Split(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(msgspec.Struct):
    """A route.

    ``target_latency_ms`` is the latency objective, ``target_gap_ms`` the longest gap
    between events, and ``priority`` 0 is the highest. Without ``allowed_regions``,
    calls may be served in all regions. With ``session_affinity``, calls go to servers
    that keep parts of their prompts.
    """

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: _Amount
    target_latency_ms: _Amount = _DEFAULT_OBJECTIVE_MS
    target_gap_ms: _Amount = 0
    priority: _Count = 0
    service: str | None = None
    traffic_split: list[_Split] | None = None
    max_attempts: _Count = 1
    public: bool = False
    stream_resume: bool = False
    allowed_regions: list[str] = []
    session_affinity: bool = False


class _Engine(msgspec.Struct):
    """``stride`` is the number of tokens in one event of a stream."""

    kv_capacity_tokens: _Count = 0
    stride: _Count = 1


class _Service(msgspec.Struct):
    """``cold_per_s`` is the rate that a runner takes while it is cold, 0 for any."""

    name: str
    max_connections: _Count = 100
    cold_per_s: _Amount = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Count = 3_000
    idle_timeout_ms: _Count = 15_000


class _Tenant(msgspec.Struct):
    """``rate_per_s`` and ``burst`` are in ``unit``, which defaults to requests."""

    name: str
    api_keys: list[str] = []
    priority: _Count | None = None
    unit: str = "requests"
    plain_tokens: _Count = 0
    rate_per_s: _Amount = 0.0
    burst: _Amount = 0.0
    allowed_regions: list[str] = []


class _Document(msgspec.Struct):
    version: _Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_DECODER = msgspec.json.Decoder(_Document)


def decode_table(body: bytes) -> RoutingTable:
    """Decode a configuration document into a routing table.

    Raises
    ------
    InvalidInput
        If the document cannot be decoded or the routing table is invalid.
    """
    try:
        # The decoder skips fields that are not used without a look at their bytes.
        str(body, "utf-8")
        document = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInput(_SOURCE, (Problem("$", str(error)),)) from error
    table = RoutingTable(
        document.version,
        tuple(map(_route, document.routes)),
        tuple(map(_service, document.services)),
        tuple(map(_account, document.tenants)),
        _limits(document.limits),
    )
    problems = (
        *validate_table(table),
        *_unused_service_problems(document),
        *_account_name_problems(document),
    )
    if problems:
        raise InvalidInput(_SOURCE, problems)
    return table


def _unused_service_problems(document: _Document) -> Iterator[Problem]:
    """Yield the unknown services that routes name beside a traffic split."""
    services = {service.name for service in document.services}
    for position, route in enumerate(document.routes):
        is_unused = bool(route.traffic_split and route.service)
        if is_unused and route.service not in services:
            path = f"$.routes[{position}].service"
            yield Problem(path, f"no service is named {route.service!r}")


def _account_name_problems(document: _Document) -> Iterator[Problem]:
    """Yield the names that no header field can carry to a server."""
    for position, account in enumerate(document.tenants):
        if not is_header_text(account.name):
            path = f"$.tenants[{position}].name"
            yield Problem(path, "no control characters, and no space around it")


def _route(item: _Route) -> Route:
    kind = _kind(item.route_type)
    return Route(
        name=item.name,
        host=item.hostname.lower(),
        path_prefix=item.path_prefix,
        kind=kind,
        timeout_ms=int(item.timeout_ms),
        objective_ms=int(item.target_latency_ms),
        event_gap_ms=int(item.target_gap_ms),
        patience_ms=_patience_ms(item) if kind is RouteKind.STREAM else 0,
        tier=item.priority,
        shares=_shares(item),
        max_tries=item.max_attempts,
        public=item.public,
        resumable=item.stream_resume,
        regions=tuple(item.allowed_regions),
        session_affinity=item.session_affinity,
    )


def _patience_ms(item: _Route) -> int:
    """Return the time without an event after which clients abandon a stream."""
    objective = _PATIENCE_OBJECTIVES * item.target_latency_ms
    gaps = _PATIENCE_GAPS * item.target_gap_ms
    return int(max(_MIN_PATIENCE_MS, objective, gaps))


def _kind(text: str) -> RouteKind:
    """Return the kind of a route; an unknown one counts as unsafe."""
    try:
        return RouteKind(text)
    except ValueError:
        return RouteKind.UNSAFE


def _shares(item: _Route) -> tuple[ServiceShare, ...]:
    if item.traffic_split:
        return tuple(
            ServiceShare(split.service, split.weight) for split in item.traffic_split
        )
    return () if item.service is None else (ServiceShare(item.service, 1),)


def _service(item: _Service) -> RoutedService:
    engine = item.engine
    if engine is None:
        return RoutedService(item.name, item.max_connections, None, item.cold_per_s)
    model = Engine(engine.kv_capacity_tokens, engine.stride)
    return RoutedService(item.name, item.max_connections, model, item.cold_per_s)


def _account(item: _Tenant) -> RoutedAccount:
    return RoutedAccount(
        name=item.name,
        keys=tuple(item.api_keys),
        tier=item.priority,
        charges_tokens=item.unit == _TOKENS_UNIT,
        plain_tokens=item.plain_tokens,
        rate_per_second=item.rate_per_s,
        burst=item.burst,
        regions=tuple(item.allowed_regions),
    )


def _limits(item: _Limits) -> CallerLimits:
    return CallerLimits(
        item.max_header_bytes,
        item.max_body_bytes,
        item.header_timeout_ms,
        item.idle_timeout_ms,
    )
