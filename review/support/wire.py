"""Minimal HTTP/1.1 client on asyncio for the stand-ins of callers and operators."""

import asyncio
import contextlib
from dataclasses import dataclass, field

__all__ = ["Broken", "Connection", "Response", "call", "read_message"]

_MAX_LINE_BYTES = 65_536


class Broken(Exception):
    """The connection could not be opened, or ended before the answer was complete."""


@dataclass(frozen=True)
class Response:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Connection:
    """A connection that is kept for one request after the other.

    Parameters
    ----------
    host : str
        Address of the server.
    port : int
        Port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open as far as this side knows."""
        return (
            self._writer is not None
            and not self._writer.is_closing()
            and not self._reader.at_eof()
        )

    async def open(self) -> None:
        """Open the connection unless it is open; raises ``Broken``."""
        if self.is_open:
            return
        self.close()
        try:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port, limit=_MAX_LINE_BYTES
            )
        except OSError as error:
            raise Broken(f"cannot connect: {error.strerror}") from error

    async def request(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Response:
        """Send a request and return the complete answer; raises ``Broken``."""
        await self.open()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        try:
            self._writer.write(head + body)
            # A server may answer before it has read the whole body.
            sending = asyncio.ensure_future(self._writer.drain())
            try:
                start, fields, data = await read_message(self._reader)
            finally:
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await sending
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise Broken(f"no complete answer: {error!r}") from error
        except asyncio.CancelledError:
            self.close()
            raise
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Response(int(start.split()[1]), fields, data)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    seconds: float = 1.0,
) -> Response | None:
    """Send one control request; return ``None`` without an answer in time."""
    connection = Connection(host, port)
    headers = {"Host": f"{host}:{port}", "Content-Type": "application/json"}
    try:
        async with asyncio.timeout(seconds):
            return await connection.request(method, target, headers, body)
    except (Broken, TimeoutError):
        return None
    finally:
        connection.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a request or an answer: its first line, its header fields and its body.

    Raises
    ------
    asyncio.IncompleteReadError
        If the peer ends the connection before the message is complete.
    """
    start = await _line(reader)
    fields: dict[str, str] = {}
    while text := await _line(reader):
        name, _, value = text.partition(":")
        fields[name.strip().lower()] = value.strip()
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return start, fields, await _chunks(reader)
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
        return start, fields, body
    if start.startswith("HTTP/"):
        return start, fields, await reader.read(-1)
    return start, fields, b""


async def _line(reader: asyncio.StreamReader) -> str:
    data = await reader.readuntil(b"\r\n")
    return data[:-2].decode("latin-1")


async def _chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int(await _line(reader), 16):
        body += await reader.readexactly(size)
        await _line(reader)
    while await _line(reader):
        pass
    return bytes(body)
