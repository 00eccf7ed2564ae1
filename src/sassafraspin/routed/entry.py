"""HTTP entry point for calls on the routes of the routing table."""

import math
import random
from dataclasses import dataclass, replace

import trio

from sassafraspin.backends import ServerNotices
from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import InternalFailure
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.http import Claim, HttpClient, Request, RequestProblem, Responder
from sassafraspin.routed.adapter import CallMetadata, ProtocolAdapter
from sassafraspin.routed.call import RoutedCall, call_tier, match_call
from sassafraspin.routed.exchange import RoutedExchange
from sassafraspin.routed.problems import (
    InstanceStops,
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

_MAX_ROUTES_WAIT_SECONDS = 1.0
_MAX_ROUTES_WAIT_FRACTION = 0.5
"""Longest wait for the routing table after a start, in seconds and as a fraction of the
caller's time limit; the shorter one applies. An election and one heartbeat normally
take less than a second."""

_ROUTES_POLL_SECONDS = 0.01

_log = part_logger("entry")


class RoutedEntry:
    """Accepts calls, forwards them to backend servers and reports failures.

    Unlike ``EntryService`` in ``sassafraspin.daemon``, it matches calls to routes and
    keeps no ledger of requests.

    Parameters
    ----------
    node : Node
        Shared context of the daemon.
    adapter : ProtocolAdapter
        Translates HTTP messages.
    routing_view : RoutingView
        Current routing table.
    slots : SlotClient
        Client for the dispatcher.
    client : HttpClient
        Client for the backend servers.
    notices : ServerNotices
        What backend servers have said about themselves.
    generator : random.Random
        Selects a service on routes that split their traffic over several services.
    """

    def __init__(
        self,
        node: Node,
        adapter: ProtocolAdapter,
        routing_view: RoutingView,
        slots: SlotClient,
        client: HttpClient,
        notices: ServerNotices,
        generator: random.Random,
    ) -> None:
        self._node = node
        self._adapter = adapter
        self._routing_view = routing_view
        self._slots = slots
        self._client = client
        self._notices = notices
        self._generator = generator
        self._in_flight = 0
        self._exchanges: set[RoutedExchange] = set()
        self._stops_at = math.inf

    @property
    def in_flight(self) -> int:
        """Return the number of calls in progress."""
        return self._in_flight

    def stop_at(self, time: float) -> None:
        """Take no more calls that may last longer than until this time.

        Callers that are told so at once are served by another instance.
        """
        self._stops_at = time

    def stop_calls(self) -> None:
        """End all calls with a final answer; started streams are left incomplete."""
        for exchange in self._exchanges:
            exchange.stop()

    def claim(self, request: Request, peer: str) -> Claim:
        """Return who sends a request and how urgent it is, from its head.

        Requests that are refused once they are complete come last.
        """
        unknown = Claim(peer)
        if not self._routing_view.is_available:
            return unknown
        try:
            metadata = self._adapter.read_call(request)
            index = self._routing_view.index()
        except RequestProblem:
            return unknown
        route = index.find_route(metadata.host, request.path)
        if route is None:
            return unknown
        timeout_ms = route.timeout_ms
        if metadata.timeout_ms is not None:
            timeout_ms = min(timeout_ms, metadata.timeout_ms)
        if route.public or not index.needs_keys:
            return Claim(peer, call_tier(route, None), timeout_ms)
        account = None if metadata.key is None else index.find_account(metadata.key)
        if account is None:
            return unknown
        return Claim(account.name, call_tier(route, account), timeout_ms)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle one HTTP request from a caller."""
        started_at = self._node.now() - request.read_seconds
        context = _CallContext(request, responder, started_at)
        self._in_flight += 1
        try:
            await self._serve(context)
        except RequestProblem as problem:
            await self._refuse(problem, context)
        except (trio.Cancelled, trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller disconnected or stopped reading, or the daemon is stopping.
            log_event(_call_ended_event(context, self._node.now()))
            raise
        except Exception:
            _log.exception("Unexpected error while handling a call.")
            await self._refuse(InternalFailure(), context)
        finally:
            self._in_flight -= 1

    async def _serve(self, context: "_CallContext") -> None:
        metadata = self._adapter.read_call(context.request)
        index = await self._wait_for_routes(metadata)
        call = self._match_call(context.request, metadata, index)
        context.call = call
        if context.started_at + call.deadline_ms / _MS_PER_SECOND > self._stops_at:
            raise InstanceStops()
        exchange = RoutedExchange(
            self._node,
            self._adapter,
            self._slots,
            self._client,
            self._notices,
            call,
            context.responder,
            context.started_at,
        )
        self._exchanges.add(exchange)
        try:
            await exchange.run()
        finally:
            self._exchanges.discard(exchange)
        self._node.metrics.count(f"answered.{call.route.name}")

    def _match_call(
        self, request: Request, metadata: CallMetadata, index: RouteIndex
    ) -> RoutedCall:
        """Match the request; a miss is final only with a fresh routing table.

        A stale table may lack a route or API key that was added since its confirmation.
        """
        try:
            return match_call(request, metadata, index, self._generator)
        except (NoRoute, UnknownKey) as problem:
            if self._routing_view.is_fresh:
                raise
            raise NotCurrent(f"{problem}, but the routes here may be old") from problem

    async def _wait_for_routes(self, metadata: CallMetadata) -> RouteIndex:
        """Return the current routes, waiting for them after a start.

        Raises
        ------
        NotCurrent
            If they do not arrive while the caller can still be answered.
        """
        timeout = _MAX_ROUTES_WAIT_SECONDS
        if metadata.timeout_ms is not None:
            timeout = min(
                timeout,
                _MAX_ROUTES_WAIT_FRACTION * metadata.timeout_ms / _MS_PER_SECOND,
            )
        with trio.move_on_after(timeout):
            while not self._routing_view.is_available:
                await trio.sleep(_ROUTES_POLL_SECONDS)
        return self._routing_view.index()

    async def _refuse(self, problem: RequestProblem, context: "_CallContext") -> None:
        """Record a failure, and send an error response unless a response has started.

        A started response is left incomplete: the HTTP server closes its connection,
        so that the caller detects the truncation.
        """
        self._node.metrics.count(f"refused.{problem.execution}.{problem.reason}")
        log_event(_call_refused_event(problem, context, self._node.now()))
        if not context.responder.has_started:
            await context.responder.send(self._adapter.refusal(problem))


@dataclass
class _CallContext:
    """A caller's request and its matched call, if any."""

    request: Request
    responder: Responder
    started_at: float
    call: RoutedCall | None = None


def _call_ended_event(context: _CallContext, now: float) -> CallEnded:
    call = context.call
    return CallEnded(
        request=context.request.headers.get("x-request-id") or "",
        route=None if call is None else call.route.name,
        tier=None if call is None else call.tier,
        account=None if call is None else call.account_name,
        after_ms=int((now - context.started_at) * _MS_PER_SECOND),
        cut=context.responder.has_started,
    )


def _call_refused_event(
    problem: RequestProblem, context: _CallContext, now: float
) -> CallRefused:
    event = CallRefused(
        request=context.request.headers.get("x-request-id") or "",
        status=problem.status,
        reason=problem.reason,
        execution=problem.execution.value,
        detail=str(problem),
        retry_after_ms=problem.retry_after_ms,
        after_ms=int((now - context.started_at) * _MS_PER_SECOND),
        cut=context.responder.has_started,
    )
    call = context.call
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
