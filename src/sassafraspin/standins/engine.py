"""HTTP server of a stand-in model engine."""

import random
import time

import msgspec
import trio

from sassafraspin.backends import Announcement
from sassafraspin.http import (
    Headers,
    HttpServer,
    InvalidField,
    NotFound,
    Request,
    RequestProblem,
    Responder,
    Response,
    ServerSentEvent,
    format_event,
    problem_response,
    read_body,
)
from sassafraspin.settings import HttpLimits
from sassafraspin.standins.announcer import Announcer
from sassafraspin.standins.answers import (
    chunk_document,
    completion_document,
    token_text,
)
from sassafraspin.standins.engine_core import EngineCore, count_tokens
from sassafraspin.standins.executions import ExecutionCounter
from sassafraspin.standins.jobs import Job, JobState, JobTable
from sassafraspin.standins.model import EngineSettings
from sassafraspin.standins.orders import FencingGuard, Order

__all__ = ["EngineServer"]

_JSON = Headers((("content-type", "application/json"),))
_DEFAULT_ANSWER_TOKENS = 16
_STREAM_END = "[DONE]"


class EngineServer:
    """Serves completions with the timing of a continuous-batching engine.

    Parameters
    ----------
    settings : EngineSettings
        Addresses, speeds, memory size and faults.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._core = EngineCore(settings)
        self._executions = ExecutionCounter()
        self._jobs = JobTable()
        self._fencing_guard = FencingGuard(settings.checks_fencing)
        self._versions = settings.versions
        self._last_used_at: dict[str, float] = {}
        self._role = "both"
        self._leaving = False
        self._incarnation = time.time_ns() // 1_000
        self._slots = trio.Semaphore(settings.slots)
        self._memory_freed = trio.Event()
        self._generator = random.Random(settings.seed)
        self._announcer = Announcer(
            settings.announcer, self._announcement, self._generator
        )
        self._server = HttpServer(settings.listen, HttpLimits(), self._handle)
        self._nursery: trio.Nursery | None = None

    @property
    def executions(self) -> ExecutionCounter:
        """Return the execution counter of this engine."""
        return self._executions

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve requests and send announcements until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._server.serve)
            nursery.start_soon(self._announcer.run)
            task_status.started()

    def leave(self) -> None:
        """Announce that this engine accepts no new work."""
        self._leaving = True
        self._announcer.announce_soon()

    def _announcement(self) -> Announcement:
        settings = self._settings
        now = trio.current_time()
        report = self._core.cache_report(now)
        if self._generator.random() < settings.announcer.cache_report_loss:
            # Drops the report just made; the next one has the following number.
            report = self._core.cache_report(now)
        return Announcement(
            id=settings.id,
            incarnation=self._incarnation,
            service=settings.service,
            address=settings.listen,
            availability_zone=settings.availability_zone,
            hardware=settings.hardware,
            versions=self._versions,
            ttl_ms=settings.announcer.ttl_ms,
            slots=settings.slots,
            kv_tokens=settings.kv_tokens,
            prefill_tokens_per_second=settings.prefill_tokens_per_second,
            decode_tokens_per_second=settings.decode_tokens_per_second,
            leaving=self._leaving,
            load=self._core.load_report(now),
            cache=report,
        )

    async def _handle(self, request: Request, responder: Responder) -> None:
        try:
            await self._route(request, responder)
        except RequestProblem as problem:
            if not responder.has_started:
                await responder.send(problem_response(problem))

    async def _route(self, request: Request, responder: Responder) -> None:
        parts = [part for part in request.path.split("/") if part]
        match (request.method, *parts):
            case ("POST", "v1", "chat", "completions") | ("POST", "v1", "completions"):
                await self._serve_completion(request, responder)
            case ("GET", "v1", "streams", request_id):
                await self._resume(request, request_id, responder)
            case ("DELETE", "v1", "streams", request_id):
                await responder.send(self._cancel(request_id))
            case ("POST", "v1", "orders"):
                await responder.send(await self._execute_order(request))
            case ("POST", "v1", "leave"):
                self.leave()
                await responder.send(Response(202))
            case ("GET", "role"):
                body = msgspec.json.encode({"role": self._role})
                await responder.send(Response(200, _JSON, body))
            case ("GET", "executions"):
                body = msgspec.json.encode(self._executions.count())
                await responder.send(Response(200, _JSON, body))
            case ("GET", "totals"):
                body = msgspec.json.encode(self._core.totals)
                await responder.send(Response(200, _JSON, body))
            case _:
                raise NotFound(f"{request.method} {request.path} is not served")

    async def _serve_completion(self, request: Request, responder: Responder) -> None:
        document = msgspec.json.decode(request.body)
        chat = request.path == "/v1/chat/completions"
        prompt = (
            msgspec.json.encode(document["messages"])
            if chat
            else (document["prompt"].encode())
        )
        job = Job(
            request.headers.get("x-request-id") or "direct",
            chat,
            document.get("model", ""),
            _answer_tokens(document),
        )
        self._check_version(job)
        self._jobs.add(job)
        self._executions.record(request.headers.get("idempotency-key"))
        assert self._nursery is not None
        self._nursery.start_soon(self._generate, job, prompt, request.path)
        if document.get("stream", False):
            await self._stream(job, 0, responder)
        else:
            await self._send_complete_answer(job, prompt, responder)

    def _check_version(self, job: Job) -> None:
        version = _version(job)
        if version not in self._versions:
            raise InvalidField("$.model", f"version {version!r} is not loaded")
        self._last_used_at[version] = trio.current_time()

    async def _generate(self, job: Job, prompt: bytes, route: str) -> None:
        """Wait for a slot and KV memory, then compute one answer.

        Continues if the caller's connection is lost, so that the stream can be resumed.
        """
        with job.scope:
            self._core.record_waiting(1)
            is_waiting = True
            try:
                async with self._slots:
                    await self._wait_for_memory(job, prompt)
                    self._core.record_waiting(-1)
                    is_waiting = False
                    await self._compute(job, prompt, route)
            finally:
                if is_waiting:
                    self._core.record_waiting(-1)
        if job.state is JobState.RUNNING:
            job.end(JobState.CANCELLED)

    async def _wait_for_memory(self, job: Job, prompt: bytes) -> None:
        while not self._core.has_memory(prompt, job.answer_tokens):
            await self._memory_freed.wait()

    async def _compute(self, job: Job, prompt: bytes, route: str) -> None:
        effect = self._core.start(prompt, job.answer_tokens, _version(job), route)
        generated = 0
        prefill_tokens = self._core.prefill(prompt, trio.current_time())
        try:
            prefill = self._core.prefill_seconds(prefill_tokens)
            await trio.sleep(prefill * effect.slowdown)
            if effect.fails:
                return
            for number in range(job.answer_tokens):
                await trio.sleep(self._core.token_seconds() * effect.slowdown)
                self._core.record_token()
                generated += 1
                is_last = number == job.answer_tokens - 1
                word = token_text(job, number)
                reason = "stop" if is_last else None
                job.append_event(chunk_document(job, word, reason))
            job.append_event(_STREAM_END)
            job.end(JobState.FINISHED)
        finally:
            if job.state is not JobState.FINISHED:
                self._core.record_cancelled(prefill_tokens)
            self._core.finish(prompt, job.answer_tokens, generated)
            self._memory_freed.set()
            self._memory_freed = trio.Event()

    async def _stream(self, job: Job, position: int, responder: Responder) -> None:
        await job.wait_for_event(position)
        if job.state is JobState.CANCELLED and not job.events:
            await responder.send(_failure_response(job))
            return
        headers = Headers(
            (
                ("content-type", "text/event-stream"),
                ("x-request-id", job.request_id),
            )
        )
        await responder.start(200, headers)
        while True:
            await job.wait_for_event(position)
            if position >= len(job.events):
                break
            event = ServerSentEvent(job.events[position], str(position))
            await responder.write(format_event(event))
            position += 1
        if job.state is JobState.FINISHED:
            await responder.finish()

    async def _send_complete_answer(
        self, job: Job, prompt: bytes, responder: Responder
    ) -> None:
        while job.state is JobState.RUNNING:
            await job.wait_for_event(len(job.events))
        if job.state is not JobState.FINISHED:
            await responder.send(_failure_response(job))
            return
        words = [token_text(job, number) for number in range(job.answer_tokens)]
        body = completion_document(job, "".join(words), count_tokens(prompt))
        headers = _JSON.adding("x-request-id", job.request_id)
        await responder.send(Response(200, headers, body))

    async def _resume(
        self, request: Request, request_id: str, responder: Responder
    ) -> None:
        job = self._jobs.get(request_id)
        if job is None:
            raise NotFound(f"stream {request_id!r} is not known")
        after = request.query.removeprefix("after=")
        if not after.lstrip("-").isdigit():
            raise InvalidField("after", "must be a whole number")
        await self._stream(job, int(after) + 1, responder)

    def _cancel(self, request_id: str) -> Response:
        job = self._jobs.get(request_id)
        if job is None:
            raise NotFound(f"stream {request_id!r} is not known")
        job.scope.cancel()
        return Response(200, _JSON, msgspec.json.encode({"state": job.state}))

    async def _execute_order(self, request: Request) -> Response:
        order = read_body(request, Order)
        if not self._fencing_guard.accept(order):
            message = f"a newer number than {order.fencing} was seen"
            raise InvalidField("$.fencing", message)
        await trio.sleep(self._settings.load_ms / 1000)
        self._apply_order(order)
        self._announcer.announce_soon()
        return Response(200)

    def _apply_order(self, order: Order) -> None:
        match order:
            case Order(kind="role", role=str(role)):
                self._role = role
            case Order(kind="load", version=str(version)):
                self._load(version)
            case Order(kind="unload", version=str(version)):
                others = tuple(name for name in self._versions if name != version)
                self._versions = others or self._versions
            case _:
                raise InvalidField("$", "the order lacks its version or role")

    def _load(self, version: str) -> None:
        """Load a version; unload the least recently used one if there are too many."""
        others = [name for name in self._versions if name != version]
        others.sort(key=lambda name: self._last_used_at.get(name, 0.0))
        kept = others[len(others) - (self._settings.max_versions - 1) :]
        self._versions = (*kept, version)


def _version(job: Job) -> str:
    return job.model.partition(":")[2] or "v1"


def _answer_tokens(document: dict) -> int:
    limit = document.get("max_completion_tokens") or document.get("max_tokens")
    return limit or _DEFAULT_ANSWER_TOKENS


def _failure_response(job: Job) -> Response:
    body = msgspec.json.encode({"error": {"message": "the engine failed"}})
    return Response(500, _JSON.adding("x-request-id", job.request_id), body)
