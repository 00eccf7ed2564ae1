"""Tunnels that this instance opens through others."""

from dataclasses import dataclass

import trio

from sassafraspin.http import Dial, ServerPath
from sassafraspin.http.sockets import detect_lost_peer, reset
from sassafraspin.membership import Member
from sassafraspin.relay.choice import RelayChoice
from sassafraspin.relay.messages import (
    BadFrame,
    TunnelReply,
    TunnelRequest,
    encode_request,
    receive_reply,
)
from sassafraspin.settings import Address
from sassafraspin.telemetry import part_logger

__all__ = ["TunnelClient", "TunnelResult"]

_RELAY_SECONDS = 0.15
_RELAY_CONNECT_MS = 100
"""Time limits for a tunnel, and for its relay to connect to the server."""

_RELAY_STAGGER_SECONDS = 0.06
"""Time after which the next relay is asked too."""

_MAX_RELAYS = 4
_HELPFUL_REPLIES = (
    TunnelReply.CONNECTED,
    TunnelReply.TARGET_REFUSED,
    TunnelReply.TARGET_UNREACHABLE,
)

_log = part_logger("relay")


@dataclass(frozen=True)
class TunnelResult:
    """An open tunnel, the reply of a relay that reaches other servers, or neither."""

    path: ServerPath | None = None
    reply: TunnelReply | None = None


@dataclass
class _Search:
    """State of a search for a tunnel."""

    result: TunnelResult = TunnelResult()


class TunnelClient:
    """Opens tunnels through other instances.

    Parameters
    ----------
    dial : Dial
        Opens a TCP connection to another instance.
    port : int
        Port of the tunnel server of each instance.
    relays : RelayChoice
        Chooses the instances to ask.
    """

    def __init__(self, dial: Dial, port: int, relays: RelayChoice) -> None:
        self._dial = dial
        self._port = port
        self._relays = relays

    @property
    def has_relays(self) -> bool:
        """Return whether other instances are known."""
        return bool(self._relays.candidates(trio.current_time(), 1))

    async def open(self, address: Address) -> TunnelResult:
        """Ask other instances for a tunnel, the next one if one is slow or cannot help.

        The first that opens it, or that finds the server down, ends the search.
        """
        search = _Search()
        relays = self._relays.candidates(trio.current_time(), _MAX_RELAYS)
        try:
            async with trio.open_nursery() as nursery:
                for relay in relays:
                    answered = trio.Event()
                    nursery.start_soon(
                        self._try_relay,
                        relay,
                        address,
                        search,
                        answered,
                        nursery.cancel_scope,
                    )
                    with trio.move_on_after(_RELAY_STAGGER_SECONDS):
                        await answered.wait()
        except BaseException:
            if search.result.path is not None:
                reset(search.result.path.stream)
            raise
        return search.result

    async def _try_relay(
        self,
        relay: Member,
        address: Address,
        search: _Search,
        answered: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        reply, stream = await self._ask(relay, address)
        now = trio.current_time()
        answered.set()
        if reply not in _HELPFUL_REPLIES:
            self._relays.record_failure(relay.name, now)
            return
        self._relays.record_success(relay.name, now)
        scope.cancel()
        if search.result.path is not None:
            if stream is not None:
                reset(stream)
            return
        path = None if stream is None else ServerPath(stream, relay.name)
        search.result = TunnelResult(path, reply)

    async def _ask(
        self, relay: Member, address: Address
    ) -> tuple[TunnelReply | None, trio.SocketStream | None]:
        """Return the reply of a relay, ``None`` without one, and the open tunnel."""
        request = TunnelRequest(address.host, address.port, _RELAY_CONNECT_MS)
        stream = None
        reply = None
        try:
            with trio.move_on_after(_RELAY_SECONDS):
                stream = await self._dial(Address(relay.host, self._port))
                detect_lost_peer(stream)
                await stream.send_all(encode_request(request))
                reply = await receive_reply(stream)
        except (OSError, BadFrame, trio.BrokenResourceError) as error:
            _log.debug("No tunnel through {}: {}.", relay.name, error)
        finally:
            if stream is not None and reply is not TunnelReply.CONNECTED:
                reset(stream)
                stream = None
        return reply, stream
