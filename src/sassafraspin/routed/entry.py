"""Calls on declared routes: from the HTTP request to the whole answer."""

import random
from dataclasses import dataclass, replace

import trio

from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import InternalFailure
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.http import HttpClient, Request, RequestProblem, Responder
from sassafraspin.routed.call import RoutedCall, read_routed_call
from sassafraspin.routed.dialect import CallFacts, Dialect
from sassafraspin.routed.exchange import RoutedExchange
from sassafraspin.routed.problems import (
    NoRoute,
    NotCurrent,
    NotDispatched,
    UnknownKey,
)
from sassafraspin.routed.routing_view import RoutingView
from sassafraspin.routes import RouteIndex
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import CallEnded, CallRefused, log_event

__all__ = ["RoutedEntry"]

_MS_PER_SECOND = 1000

_ROUTES_WAIT_SECONDS = 1.0
_ROUTES_WAIT_SHARE = 0.5
"""Longest wait for the routes after a start, in seconds and as a part of the time that
the caller has; an election and one heartbeat take less."""

_ROUTES_POLL_SECONDS = 0.01

_log = part_logger("entry")


class RoutedEntry:
    """Takes calls, has them answered and refuses what cannot be done.

    Parameters
    ----------
    node : Node
        Shared handles of the daemon.
    dialect : Dialect
        Translates messages.
    view : RoutingView
        Routing table in force.
    slots : SlotClient
        Client of the dispatcher.
    client : HttpClient
        Client of the backend servers.
    generator : random.Random
        Draws the service of routes that several share.
    """

    def __init__(
        self,
        node: Node,
        dialect: Dialect,
        view: RoutingView,
        slots: SlotClient,
        client: HttpClient,
        generator: random.Random,
    ) -> None:
        self._node = node
        self._dialect = dialect
        self._view = view
        self._slots = slots
        self._client = client
        self._generator = generator
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are being served."""
        return self._in_flight

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one HTTP request of a caller."""
        visit = _Visit(request, responder, self._node.now())
        self._in_flight += 1
        try:
            await self._serve(visit)
        except RequestProblem as problem:
            await self._refuse(problem, visit)
        except (trio.Cancelled, trio.BrokenResourceError, trio.ClosedResourceError):
            log_event(_end_event(visit, self._node.now()))
            raise
        except Exception:
            _log.exception("A call failed.")
            await self._refuse(InternalFailure(), visit)
        finally:
            self._in_flight -= 1

    async def _serve(self, visit: "_Visit") -> None:
        facts = self._dialect.read_call(visit.request)
        index = await self._wait_for_routes(facts)
        call = self._read_call(visit.request, facts, index)
        visit.call = call
        exchange = RoutedExchange(
            self._node,
            self._dialect,
            self._slots,
            self._client,
            call,
            visit.responder,
            visit.started_at,
        )
        await exchange.run()
        self._node.metrics.count(f"answered.{call.route.name}")

    def _read_call(
        self, request: Request, facts: CallFacts, index: RouteIndex
    ) -> RoutedCall:
        """Return the call; what an old table does not know may have been added."""
        try:
            return read_routed_call(request, facts, index, self._generator)
        except (NoRoute, UnknownKey) as problem:
            if self._view.is_fresh:
                raise
            raise NotCurrent(f"{problem}, but the routes here may be old") from problem

    async def _wait_for_routes(self, facts: CallFacts) -> RouteIndex:
        """Return the routes in force; after a start they come within a moment.

        Raises
        ------
        NotCurrent
            If they do not come while the caller can still be answered.
        """
        longest = _ROUTES_WAIT_SECONDS
        if facts.wait_ms is not None:
            longest = min(longest, _ROUTES_WAIT_SHARE * facts.wait_ms / _MS_PER_SECOND)
        with trio.move_on_after(longest):
            while not self._view.is_known:
                await trio.sleep(_ROUTES_POLL_SECONDS)
        return self._view.index()

    async def _refuse(self, problem: RequestProblem, visit: "_Visit") -> None:
        """Send the problem; an answer that has begun is cut instead."""
        self._node.metrics.count(f"refused.{problem.execution}.{problem.reason}")
        log_event(_refusal_event(problem, visit, self._node.now()))
        if not visit.responder.has_started:
            await visit.responder.send(self._dialect.refusal(problem))


@dataclass
class _Visit:
    """A request of a caller and what became known of it."""

    request: Request
    responder: Responder
    started_at: float
    call: RoutedCall | None = None


def _end_event(visit: _Visit, now: float) -> CallEnded:
    call = visit.call
    return CallEnded(
        request=visit.request.headers.get("x-request-id") or "",
        route=None if call is None else call.route.name,
        tier=None if call is None else call.tier,
        account=None if call is None else call.account_name,
        after_ms=int((now - visit.started_at) * _MS_PER_SECOND),
        cut=visit.responder.has_started,
    )


def _refusal_event(problem: RequestProblem, visit: _Visit, now: float) -> CallRefused:
    event = CallRefused(
        request=visit.request.headers.get("x-request-id") or "",
        status=problem.status,
        reason=problem.reason,
        execution=problem.execution.value,
        detail=str(problem),
        retry_after_ms=problem.retry_after_ms,
        after_ms=int((now - visit.started_at) * _MS_PER_SECOND),
        cut=visit.responder.has_started,
    )
    call = visit.call
    if call is not None:
        event = replace(
            event,
            route=call.route.name,
            tier=call.tier,
            account=call.account_name,
            charged_tokens=call.charged_tokens,
        )
    if isinstance(problem, NotDispatched):
        refusal = problem.refusal
        event = replace(
            event,
            wait_ms=refusal.wait_ms,
            open_slots=refusal.open_slots,
            busy_slots=refusal.busy_slots,
            waiting=refusal.waiting,
        )
    return event
