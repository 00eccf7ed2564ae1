"""Loopback proxy between callers and one instance that can harm the link."""

import struct
from contextlib import suppress

import trio

from sassafraspin.settings import Address
from sassafraspin.soak.model import Direction

__all__ = ["LinkProxy"]

_CHUNK_BYTES = 16_384
_LINGER_RESET = struct.pack("ii", 1, 0)
_POLL_SECONDS = 0.01
_ENDS = (trio.BrokenResourceError, trio.ClosedResourceError)


class LinkProxy:
    """Passes connections on to an instance, delayed, held or reset.

    Bytes that are held are passed on once the link is whole again, as TCP would.

    Parameters
    ----------
    target : Address
        Callers' address of the instance.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listeners: list[trio.SocketListener] = []
        self._streams: set[trio.SocketStream] = set()
        self._held: list[Direction] = []
        self._delays: list[float] = []

    @property
    def port(self) -> int:
        """Return the loopback port that callers use."""
        return self._listeners[0].socket.getsockname()[1]

    async def open(self) -> None:
        """Bind a free port."""
        self._listeners = await trio.open_tcp_listeners(0, host=self._target.host)

    async def serve(self) -> None:
        """Pass connections on until cancelled."""
        await trio.serve_listeners(self._serve_connection, self._listeners)

    async def delay(self, seconds: float, delay: float) -> None:
        """Delay everything for some seconds."""
        self._delays.append(delay)
        await trio.sleep(seconds)
        self._delays.remove(delay)

    async def hold(self, seconds: float, direction: Direction) -> None:
        """Hold the bytes of a direction for some seconds."""
        self._held.append(direction)
        await trio.sleep(seconds)
        self._held.remove(direction)

    def reset(self) -> None:
        """Reset every connection."""
        for stream in list(self._streams):
            with suppress(OSError):
                stream.socket.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, _LINGER_RESET
                )
            stream.socket.close()
        self._streams.clear()

    async def _serve_connection(self, caller: trio.SocketStream) -> None:
        try:
            instance = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            return
        pair = {caller, instance}
        self._streams |= pair
        try:
            await self._pass_both_ways(caller, instance)
        finally:
            self._streams -= pair
            with trio.CancelScope(shield=True):
                for stream in pair:
                    await trio.aclose_forcefully(stream)

    async def _pass_both_ways(
        self, caller: trio.SocketStream, instance: trio.SocketStream
    ) -> None:
        """Pass bytes on; a reset of one side ends both."""

        async def pass_on(source, sink, direction):
            try:
                await self._pass(source, sink, direction)
            except _ENDS:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pass_on, caller, instance, Direction.TO_INSTANCE)
            nursery.start_soon(pass_on, instance, caller, Direction.TO_CALLER)

    async def _pass(
        self, source: trio.SocketStream, sink: trio.SocketStream, direction: Direction
    ) -> None:
        while True:
            data = await source.receive_some(_CHUNK_BYTES)
            await self._wait_until_passed(direction)
            if not data:
                await sink.send_eof()
                return
            await sink.send_all(data)

    async def _wait_until_passed(self, direction: Direction) -> None:
        await trio.sleep(max(self._delays, default=0.0))
        while any(item in (direction, Direction.BOTH) for item in self._held):
            await trio.sleep(_POLL_SECONDS)
