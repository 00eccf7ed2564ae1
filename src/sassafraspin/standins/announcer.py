"""Periodic announcements of a stand-in to an instance."""

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

_UNAVAILABLE_STATUS = 503

_log = part_logger("stand-in")


class Announcer:
    """Sends periodic announcements to one target; fails over to the next.

    Parameters
    ----------
    settings : AnnouncerSettings
        Targets, token and interval.
    make_announcement : callable
        Returns the announcement to send.
    generator : random.Random
        Selects the first target.
    """

    def __init__(
        self,
        settings: AnnouncerSettings,
        make_announcement: Callable[[], Announcement],
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._make_announcement = make_announcement
        self._target_index = generator.randrange(len(settings.targets))
        self._client = HttpClient(ClientTimeouts(connect=0.5, progress=1.0))
        self._wake = trio.Event()

    def announce_soon(self) -> None:
        """Send the next announcement without waiting for the interval to pass."""
        self._wake.set()

    async def run(self) -> None:
        """Send announcements until cancelled."""
        while True:
            await self.announce()
            with trio.move_on_after(self._settings.interval_ms / 1000):
                await self._wake.wait()
            self._wake = trio.Event()

    async def announce(self) -> None:
        """Send one announcement; try each target once until one accepts it.

        An instance that answers 503 can't pass it on now, but another may. Any other
        refusal is logged and not sent to the next target.
        """
        request = self._request()
        targets = self._settings.targets
        for _ in targets:
            target = targets[self._target_index % len(targets)]
            try:
                response = await self._client.send(target, request)
            except RemoteFailure:
                self._target_index += 1
                continue
            if response.status == _UNAVAILABLE_STATUS:
                self._target_index += 1
                continue
            if response.status >= 300:
                _log.warning("Announcement refused: {}.", response.body.decode())
            return
        _log.debug("No target accepted the announcement.")

    def _request(self) -> Request:
        body = msgspec.json.encode(self._make_announcement())
        headers = Headers(
            (
                ("host", "sassafraspin"),
                ("authorization", f"Bearer {self._settings.token}"),
                ("content-type", "application/json"),
            )
        )
        return Request("POST", "/v1/backend-servers", headers, body)
