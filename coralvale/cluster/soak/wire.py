"""HTTP/1.1 of the soak's clients and hosts, and bodies derived from a request's id."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from coralvale.standins.wire import Message, chunk

Read = Callable[[int], Awaitable[None]]


def body_of(id_: str, size: int) -> bytes:
    """A body of `size` bytes that is unique to this request."""
    word = hashlib.sha256(id_.encode()).hexdigest().encode()
    return (word * (size // len(word) + 1))[:size]


def is_body_of(id_: str, body: bytes) -> bool:
    """Whether a body is the one of this request, whatever its length."""
    return body == body_of(id_, len(body))


async def read_head(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes]]:
    """The first line and the headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_message(reader: asyncio.StreamReader, pause: float = 0.0, piece_bytes: int = 8192) -> Message:
    """A complete message. `pause`: seconds between pieces of the body, for a slow reader."""
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers, pause, piece_bytes))


async def read_body(
    reader: asyncio.StreamReader, headers: dict[bytes, bytes], pause: float = 0.0, piece_bytes: int = 8192
) -> bytes:
    """The body behind a head with these headers."""
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        return await _read_chunks(reader)
    left = int(headers.get(b"content-length", b"0"))
    if not pause:
        return await reader.readexactly(left)
    parts = []
    while left:
        part = await reader.readexactly(min(piece_bytes, left))
        parts.append(part)
        left -= len(part)
        await asyncio.sleep(pause)
    return b"".join(parts)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def request(method: str, path: str, headers: dict[str, str], body: bytes, chunked: bool = False) -> bytes:
    """A request's bytes."""
    length = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    lines = [f"{method} {path} HTTP/1.1", length, *(f"{n}: {v}" for n, v in headers.items())]
    sent = body
    if chunked:
        middle = len(body) // 2
        sent = b"".join(chunk(part) for part in (body[:middle], body[middle:]) if part) + chunk(b"")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + sent
