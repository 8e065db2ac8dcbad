"""HTTP server for operators, on a listener of its own that answers at any load of the gateway.

Each connection carries one request:

    GET /healthcheck        200 once this process can serve, else 503
    GET /stats              statistics, one `key=value` per line
    GET /NAME               page of a subsystem that the operator's file enables, such as `members`
    POST /hosts/ID/maint    take a host out of service
    POST /hosts/ID/ready    put it back into service

At most `MAX_CONNECTIONS` connections are open. One without a complete request is closed after
`REQUEST_TIMEOUT_S`, or earlier if a new connection needs the slot: the oldest such connection is evicted,
so that many idle connections cannot lock out a caller.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

import httptools

from coralvale.net.config import Address

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 24
MAX_REQUEST_BYTES = 8 * 1024  # head and body together
REQUEST_TIMEOUT_S = 6.0  # for a complete request to arrive
LINGER_S = 1.0  # for an answer to be sent
ACCEPT_PAUSE_S = 0.05  # without accepting, after accept() failed
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    500: "Error",
    503: "No",
}


class ManagedNode(Protocol):
    """The node that the server reports on and changes."""

    def can_serve(self) -> bool:
        """Whether this process can serve."""

    def stats(self) -> str:
        """Statistics, one `key=value` per line."""

    @property
    def pages(self) -> Mapping[bytes, Callable[[], str]]:
        """Functions that render the pages of subsystems, by name."""

    def set_maintenance(self, host: str, out: bool) -> tuple[int, str]:
        """Takes a host out of service or puts it back; returns status and text of the answer."""


def decide(node: ManagedNode, method: bytes, target: bytes) -> tuple[int, str]:
    """Status and text of the answer to a request."""
    parts = target.partition(b"?")[0].split(b"/")[1:]
    page = node.pages.get(parts[0]) if len(parts) == 1 else None
    if page is not None or parts in ([b"healthcheck"], [b"stats"]):
        wanted = b"GET"
    elif len(parts) == 3 and parts[0] == b"hosts" and parts[2] in (b"maint", b"ready"):
        wanted = b"POST"
    else:
        return 404, "no such call\n"
    if method != wanted and not (method == b"HEAD" and wanted == b"GET"):
        return 405, f"{wanted.decode()} is wanted\n"
    if page is not None:
        return 200, page()
    if parts[0] == b"healthcheck":
        return (200, "yes\n") if node.can_serve() else (503, "not yet\n")
    if parts[0] == b"stats":
        return 200, node.stats()
    try:
        host = unquote_to_bytes(parts[1]).decode()
    except UnicodeDecodeError:
        return 404, "no such host\n"
    return node.set_maintenance(host, parts[2] == b"maint")


class ManagementConnection(asyncio.Protocol):
    """A connection: one request, one answer, then closed."""

    def __init__(self, server: ManagementServer) -> None:
        self.server, self.target, self.size = server, b"", 0
        self.transport: asyncio.Transport | None = None
        self.answered = False

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.server.connections[self] = self.server.loop.call_later(REQUEST_TIMEOUT_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.size += len(data)
        if self.size > MAX_REQUEST_BYTES:
            self.answer(400, "too long\n")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, "no call\n")

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        try:
            status, text = decide(self.server.node, self.parser.get_method(), self.target)
        except Exception:
            log.exception("an operator's request failed")
            status, text = 500, "failed\n"
        self.answer(status, text)

    def answer(self, status: int, text: str) -> None:
        if self.answered or self.transport is None:
            return
        self.answered = True
        body = text.encode()
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        self.transport.write(head.encode() + (body if self.parser.get_method() != b"HEAD" else b""))
        self.transport.write_eof()
        self.server.connections.pop(self).cancel()
        self.server.connections[self] = self.server.loop.call_later(LINGER_S, self.transport.abort)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if timer := self.server.connections.pop(self, None):
            timer.cancel()


class ManagementServer:
    """Listens on `address`, whose port may be 0. Raises OSError if it cannot."""

    def __init__(self, address: Address, node: ManagedNode) -> None:
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.connections: OrderedDict[ManagementConnection, asyncio.TimerHandle] = OrderedDict()
        self.tasks: set[asyncio.Task[Any]] = set()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        try:
            self.socket.bind(address)
            self.socket.listen(256)
        except OSError:
            self.socket.close()
            raise
        self._resume()

    @property
    def port(self) -> int:
        return int(self.socket.getsockname()[1])

    def _resume(self) -> None:
        if self.socket.fileno() >= 0:
            self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(32):
            try:
                accepted, _peer = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno == errno.ECONNABORTED:
                    continue
                self._make_room()
                self.loop.remove_reader(self.socket.fileno())
                self.loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            accepted.setblocking(False)
            if len(self.connections) + len(self.tasks) >= MAX_CONNECTIONS:
                self._make_room()
            task = self.loop.create_task(self._attach(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ManagementConnection(self), accepted)
        except OSError:
            accepted.close()

    def _make_room(self) -> None:
        """Aborts the oldest connection without a complete request, or the oldest of all."""
        oldest = next((c for c in self.connections if not c.answered), next(iter(self.connections), None))
        if oldest is not None and oldest.transport:
            self.connections.pop(oldest).cancel()
            oldest.transport.abort()

    def close(self) -> None:
        """Closes the listener and aborts all connections."""
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
