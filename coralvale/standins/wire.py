"""HTTP/1.1 as the stand-ins read and write it: whole messages and small bodies."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """An HTTP message as it came."""

    first: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split(b" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return Message(first, headers, body)


def answer(status: int = 200, body: bytes = b"ok", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
