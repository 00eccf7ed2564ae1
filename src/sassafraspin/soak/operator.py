"""Operator client of a soak run; tracks which profile versions were acknowledged."""

import msgspec
import trio

from sassafraspin.errors import RemoteFailure
from sassafraspin.http import ClientTimeouts, Headers, HttpClient, Request, Response
from sassafraspin.profiles import Profile
from sassafraspin.settings import Address
from sassafraspin.soak.processes import PROFILE, SERVICE, TOKEN

__all__ = ["ProfileOperator"]

_TIMEOUTS = ClientTimeouts(connect=0.5, progress=3.0)
_DEADLINE_MS = 15_000
_ANSWER_TOKENS = 12


class ProfileOperator:
    """Stores successive versions of one profile, each through any instance."""

    def __init__(self) -> None:
        self._client = HttpClient(_TIMEOUTS)
        self._lock = trio.Lock()
        self._next_version = 1
        self._acknowledged_version = 0

    @property
    def acknowledged_version(self) -> int:
        """Return the highest acknowledged version, or 0."""
        return self._acknowledged_version

    async def put(self, address: Address) -> bool:
        """Store the next version and return whether it was acknowledged.

        A version that was not acknowledged is sent again by the next call.
        """
        async with self._lock:
            profile = Profile(
                PROFILE, self._next_version, SERVICE, 0, _DEADLINE_MS, _ANSWER_TOKENS
            )
            body = msgspec.json.encode(profile)
            response = await self._send("PUT", address, body)
            if response is None or response.status >= 300:
                return False
            self._acknowledged_version = self._next_version
            self._next_version += 1
            return True

    async def version_at(self, address: Address) -> int | None:
        """Return the active version at an instance, or ``None`` if it is unknown."""
        response = await self._send("GET", address, b"")
        if response is None or response.status != 200:
            return None
        return msgspec.json.decode(response.body)["profile"]["version"]

    async def _send(
        self, method: str, address: Address, body: bytes
    ) -> Response | None:
        headers = Headers((("host", "soak"), ("authorization", f"Bearer {TOKEN}")))
        request = Request(method, f"/v1/profiles/{PROFILE}", headers, body)
        try:
            return await self._client.send(address, request)
        except RemoteFailure:
            return None
