"""HTTP server of a stand-in plain service."""

import random
import time

import msgspec
import trio

from sassafraspin.backends import Announcement
from sassafraspin.http import (
    Headers,
    HttpServer,
    Request,
    Responder,
    Response,
)
from sassafraspin.settings import HttpLimits
from sassafraspin.standins.announcer import Announcer
from sassafraspin.standins.executions import ExecutionCounter
from sassafraspin.standins.faults import FaultModel
from sassafraspin.standins.model import PlainServiceSettings

__all__ = ["PlainServer"]

_JSON = Headers((("content-type", "application/json"),))


class PlainServer:
    """Answers each call after ``answer_ms`` and counts executions by key.

    Parameters
    ----------
    settings : PlainServiceSettings
        Addresses, answer time and faults.
    """

    def __init__(self, settings: PlainServiceSettings) -> None:
        self._settings = settings
        self._executions = ExecutionCounter()
        self._faults = FaultModel(settings.faults, random.Random(settings.seed))
        self._running = 0
        self._leaving = False
        self._incarnation = time.time_ns() // 1_000
        self._announcer = Announcer(
            settings.announcer, self._announcement, random.Random(settings.seed)
        )
        self._server = HttpServer(settings.listen, HttpLimits(), self._handle)

    @property
    def executions(self) -> ExecutionCounter:
        """Return the execution counter of this service."""
        return self._executions

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve calls and send announcements until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._server.serve)
            nursery.start_soon(self._announcer.run)
            task_status.started()

    def leave(self) -> None:
        """Announce that this service accepts no new work."""
        self._leaving = True
        self._announcer.announce_soon()

    def _announcement(self) -> Announcement:
        settings = self._settings
        return Announcement(
            id=settings.id,
            incarnation=self._incarnation,
            service=settings.service,
            address=settings.listen,
            availability_zone=settings.availability_zone,
            hardware="plain",
            versions=settings.versions,
            ttl_ms=settings.announcer.ttl_ms,
            slots=settings.slots,
            leaving=self._leaving,
        )

    async def _handle(self, request: Request, responder: Responder) -> None:
        match (request.method, request.path):
            case ("GET", "/executions"):
                body = msgspec.json.encode(self._executions.count())
                await responder.send(Response(200, _JSON, body))
            case ("POST", "/leave"):
                self.leave()
                await responder.send(Response(202))
            case _:
                await responder.send(await self._execute(request))

    async def _execute(self, request: Request) -> Response:
        self._executions.record(request.headers.get("idempotency-key"))
        version = request.headers.get("sassafraspin-version") or "v1"
        effect = self._faults.effect(version, request.path, self._running)
        self._running += 1
        try:
            seconds = self._settings.answer_ms / 1000 * effect.slowdown
            await trio.sleep(seconds)
        finally:
            self._running -= 1
        headers = _JSON
        request_id = request.headers.get("x-request-id")
        if request_id is not None:
            headers = headers.adding("x-request-id", request_id)
        if effect.fails:
            return Response(500, headers, b'{"error":"the service failed"}')
        document = {
            "executed": True,
            "path": request.path,
            "version": version,
            "traceparent": request.headers.get("traceparent"),
        }
        return Response(200, headers, msgspec.json.encode(document))
