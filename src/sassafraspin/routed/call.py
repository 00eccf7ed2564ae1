"""A caller's request with its route, client account and time limits."""

import random
import uuid
from dataclasses import dataclass

from sassafraspin.backends import cacheable_parts, shared_parts
from sassafraspin.dispatch import LOWEST_TIER, SlotRequest
from sassafraspin.http import Request
from sassafraspin.isolation import request_signature
from sassafraspin.routed.adapter import CallMetadata
from sassafraspin.routed.problems import NoRoute, UnknownKey
from sassafraspin.routes import (
    Route,
    RoutedAccount,
    RouteIndex,
    RouteKind,
    choose_service,
)

__all__ = ["RoutedCall", "call_tier", "match_call"]

_ROUTE_TIERS_PER_ACCOUNT_TIER = 4
"""Route tiers within each account tier; lower route priorities share the last one."""

_LATEST_START_FRACTION = 0.75
"""Fraction of the remaining objective within which the request must be sent.

The backend server needs the rest to produce the first event or a short answer.
"""


@dataclass(frozen=True)
class RoutedCall:
    """One caller request, matched to a route.

    Parameters
    ----------
    call_id : str
        Identifier that is unique over all instances; starts with the service name.
    request : Request
        The HTTP request.
    metadata : CallMetadata
        Values read from its headers.
    route : Route
        Matching route.
    service : str
        Service that handles it.
    account : RoutedAccount or None
        Client account of the caller, ``None`` on a public route.
    deadline_ms : int
        Time limit for the complete answer, in milliseconds.
    tokens_per_event : int
        Tokens in one event of the answer stream.
    table_version : int
        Version of the routing table that was used.
    signature : str
        Signature that equal requests share.
    """

    call_id: str
    request: Request
    metadata: CallMetadata
    route: Route
    service: str
    account: RoutedAccount | None
    deadline_ms: int
    tokens_per_event: int
    table_version: int
    signature: str

    @property
    def tier(self) -> int:
        """Return the tier; the account's tier outranks the route's."""
        return call_tier(self.route, self.account)

    @property
    def account_name(self) -> str | None:
        """Return the name of the client account, ``None`` on a public route."""
        return None if self.account is None else self.account.name

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the identifiers of the prompt parts shared with other requests."""
        return shared_parts(self.metadata.prompt)

    @property
    def placement_parts(self) -> tuple[tuple[str, int], ...]:
        """Return the prompt parts by which the call is placed, empty if it is not."""
        if not self.route.session_affinity:
            return ()
        return cacheable_parts(self.metadata.prompt)

    @property
    def signatures(self) -> tuple[str, ...]:
        """Return all signatures that other requests may share."""
        return (*self.shared_parts, self.signature)

    @property
    def accepts_encodings(self) -> bool:
        """Return whether the caller asked for an encoded answer."""
        return self.request.headers.get("accept-encoding") not in (None, "identity")

    @property
    def regions(self) -> tuple[str, ...] | None:
        """Return the regions in which the call may be served, ``None`` for all.

        Where the route and the account have some, both bind.
        """
        bound = self.route.regions
        own = () if self.account is None else self.account.regions
        if not own:
            return bound or None
        return tuple(name for name in own if not bound or name in bound)

    @property
    def charged_tokens(self) -> int:
        """Return the tokens charged against the account's usage cap."""
        if self.metadata.charged_tokens is not None:
            return self.metadata.charged_tokens
        return 0 if self.account is None else self.account.plain_tokens

    def slot_request(
        self,
        number: int,
        tries: int,
        avoid: tuple[str, ...],
        elapsed_ms: int,
        stream_started: bool,
    ) -> SlotRequest:
        """Return the slot request to send to the dispatcher.

        Parameters
        ----------
        number : int
            Number of slots that were requested for this call before.
        tries : int
            Number of backend servers that were already tried.
        avoid : tuple of str
            Names of the backend servers that must not be chosen.
        elapsed_ms : int
            Time since the call arrived.
        stream_started : bool
            Whether the caller has already received part of a stream.
        """
        remaining_objective_ms = self.route.objective_ms - elapsed_ms
        idle_ms = 0 if stream_started else elapsed_ms
        patience_ms = self.route.patience_ms
        return SlotRequest(
            request_id=f"{self.call_id}:{number}",
            service=self.service,
            client_account=self.account_name or "",
            profile=self.route.name,
            route=self.route.name,
            tier=self.tier,
            prompt_tokens=max(1, self.metadata.prompt_tokens),
            answer_tokens=max(1, self.metadata.answer_tokens),
            deadline_ms=max(1, self.deadline_ms - elapsed_ms),
            cancellable=False,
            avoid=avoid,
            start_within_ms=max(
                1, int(_LATEST_START_FRACTION * remaining_objective_ms)
            ),
            first_token_within_ms=(
                max(1, remaining_objective_ms)
                if self.route.kind is RouteKind.STREAM
                else 0
            ),
            leaves_within_ms=max(1, patience_ms - idle_ms) if patience_ms else 0,
            charged_tokens=self.charged_tokens,
            tries=tries,
            signature=self.signature,
            regions=self.regions,
            parts=self.placement_parts,
            gap_ms=(
                self.route.event_gap_ms if self.route.kind is RouteKind.STREAM else 0
            ),
        )


def call_tier(route: Route, account: RoutedAccount | None) -> int:
    """Return the tier of a call; the account's tier outranks the route's."""
    account_tier = 0 if account is None or account.tier is None else account.tier
    route_tier = min(route.tier, _ROUTE_TIERS_PER_ACCOUNT_TIER - 1)
    return min(account_tier * _ROUTE_TIERS_PER_ACCOUNT_TIER + route_tier, LOWEST_TIER)


def match_call(
    request: Request,
    metadata: CallMetadata,
    index: RouteIndex,
    generator: random.Random,
) -> RoutedCall:
    """Match a request to its route and client account.

    Raises
    ------
    NoRoute
        If no route matches the request.
    UnknownKey
        If the route requires an API key and none of a client account was sent.
    """
    route = index.find_route(metadata.host, request.path)
    if route is None:
        raise NoRoute(f"no route takes {request.path!r} on this host")
    account = None
    if index.needs_keys and not route.public:
        account = None if metadata.key is None else index.find_account(metadata.key)
        if account is None:
            raise UnknownKey("send the key of a client account")
    service = choose_service(route, generator)
    timeout_ms = (
        route.timeout_ms if metadata.timeout_ms is None else metadata.timeout_ms
    )
    return RoutedCall(
        f"{service}:{uuid.uuid4().hex}",
        request,
        metadata,
        route,
        service,
        account,
        min(timeout_ms, route.timeout_ms),
        index.tokens_per_event(service),
        index.table.version,
        request_signature(
            service,
            "" if account is None else account.name,
            request.method,
            request.target,
            request.body,
        ),
    )
