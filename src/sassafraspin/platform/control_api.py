"""HTTP API for operators and runners, served by the control leader."""

from typing import Annotated
from urllib.parse import unquote

import msgspec

from sassafraspin.daemon.node import wall_clock_ms
from sassafraspin.errors import InvalidInput
from sassafraspin.http import (
    BadRequest,
    Headers,
    NotFound,
    Request,
    RequestProblem,
    Response,
    problem_response,
)
from sassafraspin.platform.document import decode_table
from sassafraspin.platform.registration import decode_registration
from sassafraspin.routed import Operations, RolloutState

__all__ = ["ControlApi"]

_ROOT = "sassafraspin"
_JSON = Headers((("content-type", "application/json"),))
_REDIRECT_STATUS = 307

_MAX_DURATION_SECONDS = 1e9
"""Longest rollout, 30 years; its milliseconds are replicated in 64 bits."""

_ROLLOUT_STATES = {
    RolloutState.RUNNING: "running",
    RolloutState.SUCCEEDED: "succeeded",
    RolloutState.ROLLED_BACK: "rolled_back",
}


class _RolloutRequest(msgspec.Struct):
    """``target`` is the software version to roll out."""

    service: str
    target: str
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_DURATION_SECONDS)]


class _RolloutReport(msgspec.Struct):
    state: str
    target: str


_ROLLOUT_DECODER = msgspec.json.Decoder(_RolloutRequest)


class ControlApi:
    """Handles control requests; other instances redirect to a known control leader.

    Parameters
    ----------
    operations : Operations
        Executes the requests.
    announcement_ttl_ms : int
        Lifetime of a runner's registration.
    """

    def __init__(self, operations: Operations, announcement_ttl_ms: int) -> None:
        self._operations = operations
        self._announcement_ttl_ms = announcement_ttl_ms

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        leader = self._operations.leader_address()
        if not self._operations.is_leader and leader is not None:
            location = f"http://{leader.host}:{leader.port}{request.target}"
            return Response(_REDIRECT_STATUS, Headers((("location", location),)))
        try:
            return await self._answer(request)
        except InvalidInput as error:
            return problem_response(BadRequest(str(error)))
        except RequestProblem as problem:
            return problem_response(problem)

    async def _answer(self, request: Request) -> Response:
        parts = [unquote(part) for part in request.path.split("/") if part]
        match (request.method, *parts):
            case ("PUT", root, "config") if root == _ROOT:
                return await self._put_config(request)
            case ("GET", root, "config") if root == _ROOT:
                return self._read_config()
            case ("PUT", root, "instances", name) if root == _ROOT:
                return await self._register(name, request)
            case ("DELETE", root, "instances", name) if root == _ROOT:
                # The time is above each start until now; starts number incarnations.
                await self._operations.withdraw(name, wall_clock_ms())
                return Response(200)
            case ("POST", root, "rollouts") if root == _ROOT:
                return await self._start_rollout(request)
            case ("GET", root, "rollouts", service) if root == _ROOT:
                return self._read_rollout(service)
            case ("POST", root, "evacuations", zone) if root == _ROOT:
                return await self._evacuate(zone)
            case ("DELETE", root, "evacuations", zone) if root == _ROOT:
                await self._operations.reopen(zone)
                return Response(200)
            case ("GET", root, "evacuations") if root == _ROOT:
                evacuations = self._operations.evacuations()
                return Response(200, _JSON, msgspec.json.encode(evacuations))
            case ("GET", root, "isolated-parts") if root == _ROOT:
                parts = self._operations.isolated_parts()
                return Response(200, _JSON, msgspec.json.encode(parts))
            case ("DELETE", root, "isolated-parts", part) if root == _ROOT:
                return await self._readmit_part(part)
            case _:
                raise NotFound(f"no call is named {request.method} {request.path}")

    async def _put_config(self, request: Request) -> Response:
        table = decode_table(request.body)
        await self._operations.put_table(table, request.body)
        return Response(200)

    def _read_config(self) -> Response:
        declared = self._operations.read_table()
        if declared is None:
            raise NotFound("no configuration was accepted yet")
        return Response(200, _JSON, declared.source)

    async def _register(self, name: str, request: Request) -> Response:
        announcement = decode_registration(
            name, request.body, self._announcement_ttl_ms
        )
        await self._operations.announce(announcement)
        return Response(200, _JSON, b"{}")

    async def _start_rollout(self, request: Request) -> Response:
        try:
            order = _ROLLOUT_DECODER.decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise BadRequest(str(error)) from error
        await self._operations.start_rollout(
            order.service, order.target, order.duration_s
        )
        return Response(200)

    async def _evacuate(self, zone: str) -> Response:
        if not self._operations.knows_zone(zone):
            raise NotFound(f"no availability zone is named {zone!r}")
        await self._operations.evacuate(zone)
        return Response(200)

    async def _readmit_part(self, part: str) -> Response:
        if not await self._operations.readmit_part(part):
            raise NotFound(f"the part {part!r} is not isolated")
        return Response(200)

    def _read_rollout(self, service: str) -> Response:
        found = self._operations.rollout_status(service)
        if found is None:
            raise NotFound(f"no rollout of {service!r} was ordered")
        state, target = found
        report = _RolloutReport(_ROLLOUT_STATES[state], target)
        return Response(200, _JSON, msgspec.json.encode(report))
