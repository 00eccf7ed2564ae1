"""Calls on declared routes: from the HTTP request to the whole answer."""

import random
from dataclasses import replace

import trio

from sassafraspin.daemon.node import Node
from sassafraspin.daemon.problems import InternalFailure
from sassafraspin.daemon.slots import SlotClient
from sassafraspin.http import HttpClient, Request, RequestProblem, Responder
from sassafraspin.routed.call import read_routed_call
from sassafraspin.routed.dialect import Dialect
from sassafraspin.routed.exchange import RoutedExchange
from sassafraspin.routed.problems import NotDispatched
from sassafraspin.routed.routing_view import RoutingView
from sassafraspin.telemetry import part_logger
from sassafraspin.telemetry.events import CallRefused, log_event

__all__ = ["RoutedEntry"]

_MS_PER_SECOND = 1000

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
        self._in_flight += 1
        started_at = self._node.now()
        try:
            await self._serve(request, responder)
        except RequestProblem as problem:
            await self._refuse(problem, request, responder, started_at)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            _log.exception("A call failed.")
            await self._refuse(InternalFailure(), request, responder, started_at)
        finally:
            self._in_flight -= 1

    async def _serve(self, request: Request, responder: Responder) -> None:
        facts = self._dialect.read_call(request)
        call = read_routed_call(request, facts, self._view.index(), self._generator)
        exchange = RoutedExchange(
            self._node, self._dialect, self._slots, self._client, call, responder
        )
        await exchange.run()
        self._node.metrics.count(f"answered.{call.route.name}")

    async def _refuse(
        self,
        problem: RequestProblem,
        request: Request,
        responder: Responder,
        started_at: float,
    ) -> None:
        """Send the problem; an answer that has begun is cut instead."""
        self._node.metrics.count(f"refused.{problem.execution}.{problem.reason}")
        after_ms = int((self._node.now() - started_at) * _MS_PER_SECOND)
        log_event(_refusal_event(problem, request, after_ms, responder.has_started))
        if not responder.has_started:
            await responder.send(self._dialect.refusal(problem))


def _refusal_event(
    problem: RequestProblem, request: Request, after_ms: int, cut: bool
) -> CallRefused:
    event = CallRefused(
        request=request.headers.get("x-request-id") or "",
        status=problem.status,
        reason=problem.reason,
        execution=problem.execution.value,
        detail=str(problem),
        retry_after_ms=problem.retry_after_ms,
        after_ms=after_ms,
        cut=cut,
    )
    if not isinstance(problem, NotDispatched):
        return event
    refusal = problem.refusal
    return replace(
        event,
        wait_ms=refusal.wait_ms,
        open_slots=refusal.open_slots,
        busy_slots=refusal.busy_slots,
        waiting=refusal.waiting,
    )
