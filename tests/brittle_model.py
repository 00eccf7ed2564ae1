"""Model of backend servers that fall over if they refuse too many requests.

The instances, links and callers are those of ``drain_deployment``.
"""

from collections import deque
from collections.abc import Callable

import trio

from sassafraspin.http import ConnectFailed, ConnectionLost, Headers, Request
from tests.drain_deployment import CONTACT_SECONDS, DrainModel
from tests.drain_world import INSTANCE_NAMES, Answer, Instance, Server

__all__ = ["AT_WORK", "BrittleModel", "BrittleServer"]

AT_WORK = 4
"""Requests that a server runs at the same time."""

WAITING = 6
DOWN_SECONDS = 4.0
_WINDOW_SECONDS = 1.0
_WORK_SECONDS = 0.4
_REJECTION_SECONDS = 0.002


class BrittleServer(Server):
    """A server with a short queue, which it refuses to lengthen.

    ``tolerance`` is the number of requests that it says it can refuse in a second.
    Once ``is_brittle`` is set, it falls over if it refuses more.
    """

    slots = AT_WORK + WAITING

    def __init__(self, *arguments, has_fallen: Callable[[Server], None]) -> None:
        super().__init__(*arguments)
        self._has_fallen = has_fallen
        self.tolerance: int | None = None
        self.is_brittle = False
        self.waiting_room = WAITING
        self.falls: list[float] = []
        self.refusals: list[float] = []
        self.worked_seconds = 0.0
        self._at_work = 0
        self._queue: deque[trio.Event] = deque()
        self._fallen = trio.Event()

    @property
    def in_flight(self) -> int:
        """Return the number of requests at work or waiting."""
        return self._at_work + len(self._queue)

    async def serve(self, seconds: float) -> bool:
        """Run a request; return whether it was run, or else refused.

        Raises ``ConnectionLost`` if the server falls over meanwhile.
        """
        fallen = self._fallen
        if self._at_work < AT_WORK:
            self._at_work += 1
        elif len(self._queue) < self.waiting_room:
            await self._wait(fallen)
        else:
            await self._refuse()
            return False
        try:
            with trio.move_on_after(seconds):
                await fallen.wait()
        finally:
            if not fallen.is_set():
                self._end_work()
        if fallen.is_set():
            raise ConnectionLost("the server fell over")
        self.worked_seconds += seconds
        return True

    async def _wait(self, fallen: trio.Event) -> None:
        """Wait until a request that has ended hands over its place at work."""
        starts = trio.Event()
        self._queue.append(starts)
        try:
            await starts.wait()
        except trio.Cancelled:
            if starts in self._queue:
                self._queue.remove(starts)
            elif not fallen.is_set():
                self._end_work()
            raise
        if fallen.is_set():
            raise ConnectionLost("the server fell over")

    def _end_work(self) -> None:
        if self._queue:
            self._queue.popleft().set()
        else:
            self._at_work -= 1

    async def _refuse(self) -> None:
        now = trio.current_time()
        self.refusals.append(now)
        lately = sum(at > now - _WINDOW_SECONDS for at in self.refusals)
        if self.is_brittle and lately > self.tolerance:
            self._fall()
        await trio.sleep(_REJECTION_SECONDS)

    def _fall(self) -> None:
        self.falls.append(trio.current_time())
        self.is_running = False
        self._fallen.set()
        for starts in self._queue:
            starts.set()
        self._has_fallen(self)

    def start_again(self) -> None:
        """Start a new process after a fall."""
        self._at_work = 0
        self._queue.clear()
        self._fallen = trio.Event()
        self._start()

    async def _ping(self, state: str | None) -> bool:
        return self.is_running and await super()._ping(state)


class BrittleModel(DrainModel):
    """Instances whose backend servers may say that refusals make them fall over.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.
    servers : int
        Number of backend servers.
    load : float
        Requests that are wanted, relative to what all servers can do.
    """

    def __init__(self, seed: int, servers: int = 6, load: float = 3.0) -> None:
        self.served_shares: list[float] = []
        capacity = servers * AT_WORK / _WORK_SECONDS
        super().__init__(seed, servers, load * capacity / len(INSTANCE_NAMES))

    @property
    def falls(self) -> int:
        """Return the number of falls of all servers."""
        return sum(len(item.falls) for item in self.servers.values())

    @property
    def worked_seconds(self) -> float:
        """Return the time of work for all requests that were run, in seconds."""
        return sum(item.worked_seconds for item in self.servers.values())

    @property
    def busy_share(self) -> float:
        """Return the share of the slots of all servers that are in use."""
        servers = self.servers.values()
        return sum(item.in_flight for item in servers) / sum(
            item.slots for item in servers
        )

    def refusals_since(self, begin: float) -> int:
        """Return the number of refusals of all servers since a time."""
        return sum(
            at >= begin for item in self.servers.values() for at in item.refusals
        )

    async def become_brittle(self, tolerance: int, waiting_room: int) -> None:
        """Make all servers say that they are brittle, and be so once all know."""
        self.note(f"the servers tolerate {tolerance} refusals a second")
        for server in self.servers.values():
            server.tolerance = tolerance
        await trio.sleep(CONTACT_SECONDS)
        self.note(f"the servers let {waiting_room} wait")
        for server in self.servers.values():
            server.waiting_room = waiting_room
            server.is_brittle = True

    async def serve(self, seconds: float) -> None:
        """Measure the share of the work that they can do that the servers do."""
        worked_seconds = self.worked_seconds
        await trio.sleep(seconds)
        worked_seconds = self.worked_seconds - worked_seconds
        self.served_shares.append(
            worked_seconds / (AT_WORK * len(self.servers) * seconds)
        )
        self.note(f"did {self.served_shares[-1]:.2f} of the work that servers can do")

    def recover(self) -> None:
        """Make all servers sound again."""
        self.note("the servers are sound again")
        for server in self.servers.values():
            server.tolerance = None
            server.is_brittle = False
            server.waiting_room = WAITING

    def _make_server(self, name: str, number: int) -> BrittleServer:
        return BrittleServer(
            name,
            number,
            self._exchange,
            self._acknowledged,
            self._fork(),
            has_fallen=self._restart_later,
        )

    async def _reach(self, instance: Instance, request: Request) -> Answer:
        server = self.servers[request.headers.get("x-expect-instance")]
        request_id = request.headers.get("x-request-id")
        call = self._calls[request_id]
        await trio.sleep(self.generator.uniform(0.0005, 0.003))
        if not server.is_running:
            raise ConnectFailed("the server is down")
        has_run = await server.serve(_WORK_SECONDS * self.generator.uniform(0.5, 1.5))
        await trio.sleep(self.generator.uniform(0.0005, 0.003))
        headers = Headers((("x-request-id", request_id),))
        if server.tolerance is not None:
            headers = headers.adding("server-brittle", f"{server.tolerance}")
        if not has_run:
            return Answer(503, headers.adding("x-not-executed", "1"), b"")
        call.runs.append(server.name)
        return Answer(200, headers.adding("x-response-seal", "seal"), b"answer")

    def _restart_later(self, server: BrittleServer) -> None:
        def start() -> None:
            self.note(f"{server.name} is back")
            server.start_again()

        self.note(f"{server.name} fell over")
        self.timeline.after(DOWN_SECONDS, start)

    def _violate(self, rule: str, *key: object, text: str = "") -> None:
        # Callers want more than can be served.
        if rule != "UNSERVED":
            super()._violate(rule, *key, text=text)
