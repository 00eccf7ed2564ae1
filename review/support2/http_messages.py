"""HTTP/1.1 messages over asyncio streams, as clients, runners and operators use them.

Only the standard library is used, so that no part of the project under review decides
what is seen on a connection.
"""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Answer", "Message", "read_message", "request_bytes", "send_request"]

_READ_BYTES = 65_536


@dataclass
class Message:
    """A request or a response with its complete body."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass
class Answer:
    """What a client saw of one attempt; ``status`` is 0 without a response."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""
    seconds: float = 0.0


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and header fields; raises ``EOFError`` at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError("closed before a head") from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the rest of a message; raises ``EOFError`` if it is cut off."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        return await _read_chunks(reader)
    length = message.headers.get("content-length")
    if length is not None:
        try:
            return await reader.readexactly(int(length))
        except asyncio.IncompleteReadError as error:
            raise EOFError("cut off inside a body") from error
    if message.first_line.startswith("HTTP/"):
        return await reader.read(-1)
    return b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("cut off inside chunks")
        size = int(line.split(b";")[0], 16)
        try:
            chunk = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as error:
            raise EOFError("cut off inside a chunk") from error
        if size == 0:
            return body
        body += chunk[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message."""
    message = await read_head(reader)
    message.body = await read_body(reader, message)
    return message


async def send_request(address: tuple[str, int], data: bytes, timeout: float) -> Answer:
    """Send a request on a channel of its own; return what was seen of its answer."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            head = await read_head(reader)
            answer.status = int(head.first_line.split()[1])
            answer.headers = head.headers
            answer.body = await read_body(reader, head)
            answer.is_whole = True
    except TimeoutError:
        answer.error = "time limit"
    except (OSError, EOFError) as error:
        answer.error = str(error) or type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    answer.seconds = loop.time() - began
    return answer
