"""Orders to backend servers over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from sassafraspin.dispatch.loading import LoadOrder
from sassafraspin.errors import RemoteFailure
from sassafraspin.http import Headers, HttpClient, Request
from sassafraspin.telemetry import part_logger

__all__ = ["OrderSender"]

_QUEUED_ORDERS = 64

_log = part_logger("orders")


class _OrderDocument(msgspec.Struct, frozen=True):
    kind: str
    version: str
    fencing: int


@dataclass(frozen=True)
class _Queued:
    order: LoadOrder
    on_end: Callable[[], None]


class OrderSender:
    """Sends orders one after the other.

    Parameters
    ----------
    client : HttpClient
        Client towards backend servers.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._send, self._receive = trio.open_memory_channel[_Queued](_QUEUED_ORDERS)

    def send_soon(self, order: LoadOrder, on_end: Callable[[], None]) -> None:
        """Queue an order; ``on_end`` is called when it was answered or failed."""
        try:
            self._send.send_nowait(_Queued(order, on_end))
        except trio.WouldBlock:
            on_end()

    async def run(self) -> None:
        """Send queued orders until cancelled."""
        async for queued in self._receive:
            await self._give(queued.order)
            queued.on_end()

    async def _give(self, order: LoadOrder) -> None:
        document = _OrderDocument("load", order.version, order.fencing)
        address = order.address
        headers = Headers(
            (
                ("host", f"{address.host}:{address.port}"),
                ("content-type", "application/json"),
            )
        )
        body = msgspec.json.encode(document)
        request = Request("POST", "/v1/orders", headers, body)
        try:
            response = await self._client.send(address, request)
        except RemoteFailure as error:
            _log.warning("Order to {} failed: {}.", order.backend_id, error)
            return
        if response.status >= 300:
            _log.warning(
                "{} refused to load {} with {}.",
                order.backend_id,
                order.version,
                response.status,
            )
