"""TCP proxy between callers and one instance that injects network faults."""

import trio

from sassafraspin.http.sockets import reset
from sassafraspin.settings import Address
from sassafraspin.soak.model import Direction

__all__ = ["LinkProxy"]

_CHUNK_BYTES = 16_384
_POLL_INTERVAL_SECONDS = 0.01
_CONNECTION_LOST = (trio.BrokenResourceError, trio.ClosedResourceError)


class LinkProxy:
    """Forwards connections to an instance and can delay, block or reset them.

    Blocked bytes are forwarded once the block ends, as TCP would retransmit them.

    Parameters
    ----------
    target : Address
        Caller address of the instance.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listeners: list[trio.SocketListener] = []
        self._streams: set[trio.SocketStream] = set()
        self._blocked: list[Direction] = []
        self._delays: list[float] = []

    @property
    def port(self) -> int:
        """Return the port on which the proxy listens."""
        return self._listeners[0].socket.getsockname()[1]

    async def open(self) -> None:
        """Listen on a free port."""
        self._listeners = await trio.open_tcp_listeners(0, host=self._target.host)

    async def serve(self) -> None:
        """Forward connections until cancelled."""
        await trio.serve_listeners(self._serve_connection, self._listeners)

    async def delay(self, seconds: float, delay: float) -> None:
        """Delay all traffic by ``delay`` seconds for a period of ``seconds``."""
        self._delays.append(delay)
        await trio.sleep(seconds)
        self._delays.remove(delay)

    async def block(self, seconds: float, direction: Direction) -> None:
        """Block the traffic in a direction for a period of ``seconds``."""
        self._blocked.append(direction)
        await trio.sleep(seconds)
        self._blocked.remove(direction)

    def reset(self) -> None:
        """Reset all connections."""
        for stream in list(self._streams):
            reset(stream)
        self._streams.clear()

    async def _serve_connection(self, caller: trio.SocketStream) -> None:
        try:
            instance = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            return
        pair = {caller, instance}
        self._streams |= pair
        try:
            await self._forward_both_directions(caller, instance)
        finally:
            self._streams -= pair
            with trio.CancelScope(shield=True):
                for stream in pair:
                    await trio.aclose_forcefully(stream)

    async def _forward_both_directions(
        self, caller: trio.SocketStream, instance: trio.SocketStream
    ) -> None:
        """Forward bytes in both directions; a reset on one side ends both."""

        async def forward(source, sink, direction):
            try:
                await self._forward(source, sink, direction)
            except _CONNECTION_LOST:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(forward, caller, instance, Direction.TO_INSTANCE)
            nursery.start_soon(forward, instance, caller, Direction.TO_CALLER)

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, direction: Direction
    ) -> None:
        while True:
            data = await source.receive_some(_CHUNK_BYTES)
            await self._wait_for_faults(direction)
            if not data:
                await sink.send_eof()
                return
            await sink.send_all(data)

    async def _wait_for_faults(self, direction: Direction) -> None:
        await trio.sleep(max(self._delays, default=0.0))
        while any(item in (direction, Direction.BOTH) for item in self._blocked):
            await trio.sleep(_POLL_INTERVAL_SECONDS)
