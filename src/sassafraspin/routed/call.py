"""A caller's request with everything that decides on its treatment."""

import random
import uuid
from dataclasses import dataclass

from sassafraspin.dispatch import LOWEST_TIER, SlotRequest
from sassafraspin.http import Request
from sassafraspin.routed.dialect import CallFacts
from sassafraspin.routed.problems import NoRoute, UnknownKey
from sassafraspin.routes import (
    Route,
    RoutedAccount,
    RouteIndex,
    RouteKind,
    choose_service,
)

__all__ = ["RoutedCall", "read_routed_call"]

_ROUTE_TIERS = 4
"""Tiers of routes that are told apart within one tier of accounts."""

_START_SHARE = 0.75
"""Part of the objective within which a request has to be sent to be answered on time.

A backend server needs the rest for the first event or for a short answer.
"""


@dataclass(frozen=True)
class RoutedCall:
    """One request of a caller.

    Parameters
    ----------
    identity : str
        Name of this request among the instances; starts with the service.
    request : Request
        The HTTP request.
    facts : CallFacts
        What its headers say.
    route : Route
        Route that takes it.
    service : str
        Service that it goes to.
    account : RoutedAccount or None
        Who calls, ``None`` on a public route.
    deadline_ms : int
        Time within which it gets its final answer.
    tokens_per_event : int
        Tokens that an event of its answer holds.
    table_version : int
        Version of the routing table that decided.
    """

    identity: str
    request: Request
    facts: CallFacts
    route: Route
    service: str
    account: RoutedAccount | None
    deadline_ms: int
    tokens_per_event: int
    table_version: int

    @property
    def tier(self) -> int:
        """Return the urgency: that of the account goes before that of the route."""
        account = self.account
        account_tier = 0 if account is None or account.tier is None else account.tier
        route_tier = min(self.route.tier, _ROUTE_TIERS - 1)
        return min(account_tier * _ROUTE_TIERS + route_tier, LOWEST_TIER)

    @property
    def account_name(self) -> str | None:
        """Return the name of the client account, ``None`` on a public route."""
        return None if self.account is None else self.account.name

    @property
    def charged_tokens(self) -> int:
        """Return what a usage cap in tokens is charged."""
        if self.facts.charged_tokens is not None:
            return self.facts.charged_tokens
        return 0 if self.account is None else self.account.plain_tokens

    def slot_request(
        self, tries: int, avoid: tuple[str, ...], elapsed_ms: int, has_events: bool
    ) -> SlotRequest:
        """Return the question for a slot.

        Parameters
        ----------
        tries : int
            Backend servers that the request was sent to before.
        avoid : tuple of str
            Their names.
        elapsed_ms : int
            Time since the call came.
        has_events : bool
            Whether the caller has got the first events of a stream.
        """
        objective_left_ms = self.route.objective_ms - elapsed_ms
        silent_ms = 0 if has_events else elapsed_ms
        patience_ms = self.route.patience_ms
        return SlotRequest(
            request_id=f"{self.identity}:{tries}",
            service=self.service,
            client_account=self.account_name or "",
            profile=self.route.name,
            route=self.route.name,
            tier=self.tier,
            prompt_tokens=max(1, self.facts.prompt_tokens),
            answer_tokens=max(1, self.facts.answer_tokens),
            deadline_ms=max(1, self.deadline_ms - elapsed_ms),
            cancellable=False,
            avoid=avoid,
            start_within_ms=max(1, int(_START_SHARE * objective_left_ms)),
            first_token_within_ms=(
                max(1, objective_left_ms) if self.route.kind is RouteKind.STREAM else 0
            ),
            leaves_within_ms=max(1, patience_ms - silent_ms) if patience_ms else 0,
            charged_tokens=self.charged_tokens,
            tries=tries,
        )


def read_routed_call(
    request: Request, facts: CallFacts, index: RouteIndex, generator: random.Random
) -> RoutedCall:
    """Return the call that a request stands for.

    Raises
    ------
    NoRoute
        If no route takes the request.
    UnknownKey
        If its route needs a key and no account holds the one that was sent.
    """
    route = index.find_route(facts.host, request.path)
    if route is None:
        raise NoRoute(f"no route takes {request.path!r} on this host")
    account = None
    if index.needs_keys and not route.public:
        account = None if facts.key is None else index.find_account(facts.key)
        if account is None:
            raise UnknownKey("send the key of a client account")
    service = choose_service(route, generator)
    wait_ms = route.timeout_ms if facts.wait_ms is None else facts.wait_ms
    return RoutedCall(
        f"{service}:{uuid.uuid4().hex}",
        request,
        facts,
        route,
        service,
        account,
        min(wait_ms, route.timeout_ms),
        index.tokens_per_event(service),
        index.table.version,
    )
