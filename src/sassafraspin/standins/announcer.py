"""Repeated announcements of a stand-in to the system."""

import random
from collections.abc import Callable

import msgspec
import trio

from sassafraspin.backends import Announcement
from sassafraspin.errors import RemoteFailure
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request
from sassafraspin.standins.model import AnnouncerSettings
from sassafraspin.telemetry import part_logger

__all__ = ["Announcer"]

_log = part_logger("stand-in")


class Announcer:
    """Sends announcements to one target, and to the next one after a failure.

    Parameters
    ----------
    settings : AnnouncerSettings
        Where and how often.
    read : callable
        Returns the announcement to send.
    generator : random.Random
        Draws the first target.
    """

    def __init__(
        self,
        settings: AnnouncerSettings,
        read: Callable[[], Announcement],
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._read = read
        self._position = generator.randrange(len(settings.targets))
        self._client = HttpClient(ClientTimeouts(connect=0.5, progress=1.0))
        self._changed = trio.Event()

    def announce_soon(self) -> None:
        """Send the next announcement without waiting for the interval."""
        self._changed.set()

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.announce()
            with trio.move_on_after(self._settings.interval_ms / 1000):
                await self._changed.wait()
            self._changed = trio.Event()

    async def announce(self) -> None:
        """Send one announcement, trying each target once."""
        request = self._request()
        targets = self._settings.targets
        for _ in targets:
            target = targets[self._position % len(targets)]
            try:
                response = await self._client.send(target, request)
            except RemoteFailure:
                self._position += 1
                continue
            if response.status >= 300:
                _log.warning("Announcement refused: {}.", response.body.decode())
            return
        _log.debug("No target takes announcements.")

    def _request(self) -> Request:
        body = msgspec.json.encode(self._read())
        headers = Headers(
            (
                ("host", "sassafraspin"),
                ("authorization", f"Bearer {self._settings.token}"),
                ("content-type", "application/json"),
            )
        )
        return Request("POST", "/v1/backend-servers", headers, body)
