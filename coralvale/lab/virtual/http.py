"""HTTP/1.1 at the ends of a virtual network: who asks a gateway, and who answers it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools


class Asking(asyncio.Protocol):
    """A client's connection, one request at a time: `told(status, headers)` or `broke()` once for each."""

    def __init__(self, closed: Callable[[Asking], None]) -> None:
        self.closed = closed
        self.transport: Any = None
        self.told: Callable[[int, dict[bytes, bytes]], None] | None = None
        self.broke: Callable[[], None] | None = None
        self.used = False  # whether a request has been answered on it
        self.over = False
        self._renew()

    def _renew(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def ask(
        self, data: bytes, told: Callable[[int, dict[bytes, bytes]], None], broke: Callable[[], None]
    ) -> None:
        self.told, self.broke = told, broke
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        status, headers, told = self.parser.get_status_code(), self.headers, self.told
        if 100 <= status < 200:
            return
        keeps = self.parser.should_keep_alive()
        self.told = self.broke = None
        self.used = True
        self._renew()
        if not keeps:
            self.over = True
            self.transport.close()
        if told:
            told(status, headers)

    def leave(self) -> None:
        """The client goes."""
        self.told = self.broke = None
        self.over = True
        if self.transport:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.over = True
        broke, self.told, self.broke = self.broke, None, None
        self.closed(self)
        if broke:
            broke()


class Answering(asyncio.Protocol):
    """A server's connection: `asked(self, method, target, headers)` for each request; `reply` answers it."""

    def __init__(
        self,
        asked: Callable[[Answering, bytes, bytes, dict[bytes, bytes]], None],
        lost: Callable[[Answering], None] = lambda connection: None,
    ) -> None:
        self.asked, self.lost = asked, lost
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.headers = b"", dict[bytes, bytes]()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.target, self.headers = b"", {}

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.asked(self, self.parser.get_method(), self.target, self.headers)

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        if self.transport.is_closing():
            return
        lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost(self)
