"""Sends load orders to backend servers over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from sassafraspin.dispatch.loading import LoadOrder
from sassafraspin.errors import RemoteFailure
from sassafraspin.http import Headers, HttpClient, Request
from sassafraspin.telemetry import part_logger

__all__ = ["OrderSender"]

_QUEUE_CAPACITY = 64

_log = part_logger("orders")


class _OrderDocument(msgspec.Struct, frozen=True):
    kind: str
    version: str
    fencing: int


@dataclass(frozen=True)
class _QueuedOrder:
    order: LoadOrder
    on_end: Callable[[], None]


class OrderSender:
    """Sends queued load orders one at a time.

    Parameters
    ----------
    client : HttpClient
        HTTP client for backend servers.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._send, self._receive = trio.open_memory_channel[_QueuedOrder](
            _QUEUE_CAPACITY
        )

    def enqueue(self, order: LoadOrder, on_end: Callable[[], None]) -> None:
        """Queue an order; ``on_end`` runs once it is answered, failed or dropped."""
        try:
            self._send.send_nowait(_QueuedOrder(order, on_end))
        except trio.WouldBlock:
            on_end()

    async def run(self) -> None:
        """Send queued orders until cancelled."""
        async for queued in self._receive:
            await self._send_order(queued.order)
            queued.on_end()

    async def _send_order(self, order: LoadOrder) -> None:
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
            _log.warning("Load order to {} failed: {}.", order.backend_id, error)
            return
        if response.status >= 300:
            _log.warning(
                "{} rejected the order to load version {} with HTTP status {}.",
                order.backend_id,
                order.version,
                response.status,
            )
