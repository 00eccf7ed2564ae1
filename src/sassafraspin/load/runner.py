"""Sends the requests of a load run and checks the answers."""

import itertools
from collections.abc import Callable
from contextlib import aclosing

import msgspec
import trio

from sassafraspin.backends import prefix_hashes
from sassafraspin.errors import RemoteFailure
from sassafraspin.http import (
    ClientTimeouts,
    ConnectFailed,
    EventParser,
    Headers,
    HttpClient,
    OpenResponse,
    ProblemDocument,
    Request,
)
from sassafraspin.load.model import LoadSettings
from sassafraspin.load.report import (
    EngineWork,
    LoadRecorder,
    LoadReport,
    LoadResult,
    ResultKind,
)
from sassafraspin.load.schedule import PlannedRequest, plan_requests
from sassafraspin.settings import Address
from sassafraspin.standins.engine_core import EngineTotals
from sassafraspin.standins.executions import ExecutionCount

__all__ = ["LoadRunner"]

_PROGRESS_INTERVAL_SECONDS = 5.0
_STALL_TIMEOUT_SECONDS = 120.0
_DEFAULT_RETRY_DELAY_SECONDS = 0.2
_STREAM_END = "[DONE]"
_BLOCK_TOKENS = 64


class LoadRunner:
    """Executes one load run.

    Parameters
    ----------
    settings : LoadSettings
        Settings of the run.
    on_progress : callable or None
        Called every few seconds with the recorder of the run.
    """

    def __init__(
        self,
        settings: LoadSettings,
        on_progress: Callable[[LoadRecorder], None] | None = None,
    ) -> None:
        self._settings = settings
        self._on_progress = on_progress
        self._recorder = LoadRecorder()
        self._client = HttpClient(ClientTimeouts(progress=_STALL_TIMEOUT_SECONDS))
        self._targets = itertools.cycle(settings.targets)
        self._prompt_blocks: set[int] = set()
        self._unshared_tokens = 0

    async def run(self) -> LoadReport:
        """Send all requests, wait for their results and return the report."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as requests:
                nursery.start_soon(self._report_progress)
                for planned in plan_requests(self._settings):
                    await trio.sleep_until(started_at + planned.at)
                    requests.start_soon(self._send, planned)
            nursery.cancel_scope.cancel()
        seconds = trio.current_time() - started_at
        report = self._recorder.report(
            seconds, await self._engine_work(), await self._executions()
        )
        self._client.close()
        return report

    async def _report_progress(self) -> None:
        while True:
            await trio.sleep(_PROGRESS_INTERVAL_SECONDS)
            if self._on_progress is not None:
                self._on_progress(self._recorder)

    async def _send(self, planned: PlannedRequest) -> None:
        exchange = _Exchange(self._client, planned, self._settings, self._targets)
        result = await exchange.run()
        if result.kind in (ResultKind.GOOD, ResultKind.LATE):
            self._record_prompt(planned)
        self._recorder.add(planned, result)

    def _record_prompt(self, planned: PlannedRequest) -> None:
        if planned.request_class.kind == "plain":
            return
        prompt = msgspec.json.encode(_messages(planned))
        hashes = prefix_hashes(prompt)
        self._prompt_blocks.update(hashes)
        self._unshared_tokens += max(1, len(prompt) // 4) - _BLOCK_TOKENS * len(hashes)

    async def _engine_work(self) -> EngineWork | None:
        if not self._settings.engines:
            return None
        totals = [
            await self._fetch(address, "/totals", EngineTotals)
            for address in self._settings.engines
        ]
        prefill = sum(item.prefill_tokens for item in totals if item)
        cached = sum(item.cached_tokens for item in totals if item)
        cancelled = sum(item.cancelled_prefill_tokens for item in totals if item)
        minimum = _BLOCK_TOKENS * len(self._prompt_blocks) + self._unshared_tokens
        return EngineWork(
            prefill, cached, cancelled, minimum, max(0, prefill - minimum)
        )

    async def _executions(self) -> ExecutionCount | None:
        addresses = (*self._settings.engines, *self._settings.services)
        if not addresses:
            return None
        counts = [
            await self._fetch(address, "/executions", ExecutionCount)
            for address in addresses
        ]
        known = [count for count in counts if count is not None]
        repeated: dict[str, int] = {}
        for count in known:
            repeated.update(count.repeated)
        return ExecutionCount(
            sum(count.executions for count in known),
            sum(count.keys for count in known),
            repeated,
        )

    async def _fetch(self, address: Address, target: str, kind: type):
        """Return a document served by a stand-in, or ``None`` if it is unreachable."""
        request = Request("GET", target, Headers((("host", "stand-in"),)))
        try:
            response = await self._client.send(address, request)
        except RemoteFailure:
            return None
        return msgspec.json.decode(response.body, type=kind)


class _Exchange:
    """One request of the load, including its retries."""

    def __init__(
        self,
        client: HttpClient,
        planned: PlannedRequest,
        settings: LoadSettings,
        targets: "itertools.cycle[Address]",
    ) -> None:
        self._client = client
        self._planned = planned
        self._settings = settings
        self._targets = targets
        self._started_at = trio.current_time()
        self._first_token_at: float | None = None
        self._attempts = 0
        self._retry_delay = _DEFAULT_RETRY_DELAY_SECONDS

    async def run(self) -> LoadResult:
        """Send the request, with retries, and return its last result.

        A retry follows if the request was not run or the connection was lost, a retry
        is left and the retry delay ends before the deadline.
        """
        while True:
            self._attempts += 1
            result = await self._attempt()
            may_retry = result.kind in (ResultKind.NOT_RUN, ResultKind.CUT)
            if not may_retry or self._attempts > self._settings.retries:
                return result
            if not self._has_time_for(self._retry_delay):
                return result
            await trio.sleep(self._retry_delay)

    def _has_time_for(self, delay: float) -> bool:
        elapsed = trio.current_time() - self._started_at
        return elapsed + delay < self._planned.request_class.deadline_ms / 1000

    async def _attempt(self) -> LoadResult:
        address = next(self._targets)
        try:
            async with self._client.open(address, self._request(address)) as response:
                return await self._read_result(response)
        except ConnectFailed:
            return self._result(ResultKind.NOT_RUN, "connect-failed")
        except RemoteFailure:
            return self._result(ResultKind.CUT, "connection-lost")

    def _request(self, address: Address) -> Request:
        request_class = self._planned.request_class
        headers = Headers(
            (
                ("host", f"{address.host}:{address.port}"),
                ("authorization", f"Bearer {request_class.account_token}"),
                ("content-type", "application/json"),
                ("sassafraspin-profile", request_class.profile),
            )
        )
        if request_class.keyed:
            key = f"{self._settings.seed}-{self._planned.number}"
            headers = headers.adding("idempotency-key", key)
        return Request("POST", request_class.path, headers, self._body())

    def _body(self) -> bytes:
        planned = self._planned
        if planned.request_class.kind == "plain":
            return msgspec.json.encode({"number": planned.number})
        return msgspec.json.encode(
            {
                "model": "any",
                "messages": _messages(planned),
                "max_tokens": planned.answer_tokens,
                "stream": planned.request_class.streamed,
            }
        )

    async def _read_result(self, response: OpenResponse) -> LoadResult:
        content_type = response.headers.get("content-type") or ""
        if content_type.startswith("text/event-stream"):
            return await self._read_stream_result(response)
        body = await response.read()
        self._first_token_at = trio.current_time()
        if content_type.startswith("application/problem+json"):
            return self._problem_result(body)
        if response.status >= 300:
            return self._result(ResultKind.FAILED, f"status-{response.status}")
        if self._planned.request_class.kind == "plain":
            if not response.is_framed:
                return self._result(ResultKind.WRONG, "end-not-declared")
            return self._complete_result(0)
        document = msgspec.json.decode(body)
        text = document["choices"][0]["message"]["content"]
        return self._check_answer(text.split(" "), document["id"])

    async def _read_stream_result(self, response: OpenResponse) -> LoadResult:
        parser = EventParser()
        words: list[str] = []
        answer_id = ""
        async with aclosing(response.chunks()) as chunks:
            async for chunk in chunks:
                for event in parser.feed(chunk):
                    if event.data == _STREAM_END:
                        return self._check_answer(words, answer_id)
                    document = msgspec.json.decode(event.data)
                    if "error" in document:
                        kind = ResultKind(document["error"]["execution"])
                        return self._result(kind, document["error"]["type"])
                    if self._first_token_at is None:
                        self._first_token_at = trio.current_time()
                    answer_id = document["id"]
                    words.append(document["choices"][0]["delta"]["content"].strip())
        return self._result(ResultKind.CUT, "stream-cut")

    def _problem_result(self, body: bytes) -> LoadResult:
        problem = msgspec.json.decode(body, type=ProblemDocument)
        if problem.retry_after_ms is not None:
            self._retry_delay = problem.retry_after_ms / 1000
        return self._result(ResultKind(problem.execution), problem.type)

    def _check_answer(self, words: list[str], answer_id: str) -> LoadResult:
        """Check that the answer is complete and belongs to this request."""
        expected = [
            f"{answer_id[-6:]}.{number}"
            for number in range(self._planned.answer_tokens)
        ]
        if words != expected:
            return self._result(ResultKind.WRONG, "wrong-answer")
        return self._complete_result(len(words))

    def _complete_result(self, tokens: int) -> LoadResult:
        elapsed_ms = (trio.current_time() - self._started_at) * 1000
        in_time = elapsed_ms <= self._planned.request_class.deadline_ms
        kind = ResultKind.GOOD if in_time else ResultKind.LATE
        return self._result(kind, "", tokens)

    def _result(self, kind: ResultKind, reason: str, tokens: int = 0) -> LoadResult:
        now = trio.current_time()
        first_token_at = self._first_token_at or now
        return LoadResult(
            kind,
            reason,
            (now - self._started_at) * 1000,
            (first_token_at - self._started_at) * 1000,
            tokens,
            self._attempts,
        )


def _messages(planned: PlannedRequest) -> list[dict[str, str]]:
    return [{"role": "user", "content": planned.prompt}]
