"""Client of the shared counter: pipelined calls on a few persistent connections, answered in order.

Times and timeouts are in seconds.
"""

from __future__ import annotations

import asyncio
import re
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from coralvale.interface import CounterReply
from coralvale.net.config import Address

CONNECTIONS = 2  # calls for one name use the same connection, so that they are answered in order
IDLE_TIMEOUT_S = 4.0  # well before the counter closes idle connections, which it does at up to 10 s
MAX_BODY_BYTES = 64  # of a response, which is one number
MAX_RESPONSE_BYTES = 4096  # without a complete response; bounds memory for a head that does not end
STALL_TIMEOUT_S = 0.5  # without the answer to the oldest call, after which its connection is closed


NUMBER = re.compile(rb"\s*-?\d{1,15}(\.\d{0,15})?([eE][-+]?\d{1,2})?\s*")  # float() also accepts 1_0 and inf


@dataclass(slots=True, eq=False)
class Call:
    """A call to the counter and its HTTP request."""

    name: int | str
    text: bytes
    timer: asyncio.TimerHandle | None = None
    written_at: float | None = None
    done: bool = False


class CounterClient:
    """Adds to numbers of the counter; `on_reply` gets exactly one reply for each call.

    A call without an answer within `timeout` gets a reply that says whether it may have been added.
    """

    def __init__(
        self,
        address: Address,
        timeout: float,
        connect_timeout: float,
        on_reply: Callable[[CounterReply], None],
        stall_timeout: float = STALL_TIMEOUT_S,
    ) -> None:
        self.address, self.timeout, self.connect_timeout = address, timeout, connect_timeout
        self.on_reply, self.stall_timeout = on_reply, stall_timeout
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection | None] = [None] * CONNECTIONS
        self.tasks: set[asyncio.Task[None]] = set()

    def add(self, name: int | str, amount: float, lifetime: float) -> None:
        """Adds `amount` to the number `name`, which the counter keeps for `lifetime` seconds."""
        keep = min(60_000, max(1, round(lifetime * 1000)))
        host, port = self.address
        text = f"POST /tally/{name}?n={amount:.6f}&keep_ms={keep} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        call = Call(name, f"{text}Content-Length: 0\r\n\r\n".encode())
        number = name % CONNECTIONS if isinstance(name, int) else zlib.crc32(name.encode()) % CONNECTIONS
        connection = self.connections[number]
        if connection is None or connection.closed:
            connection = self.connections[number] = CounterConnection(self)
            task = self.loop.create_task(self._connect(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        call.timer = self.loop.call_later(self.timeout, self._on_timeout, connection, call)
        connection.add(call)

    def close(self) -> None:
        """Closes all connections."""
        for task in self.tasks:
            task.cancel()
        for connection in self.connections:
            if connection:
                connection.close()

    def drain(self) -> None:
        """Closes once the calls in flight have their replies; no calls may be added any more."""
        for connection in self.connections:
            if connection:
                connection.draining = True
                connection.update_idle()
        self.loop.call_later(max(self.stall_timeout, self.timeout), self.close)

    async def _connect(self, connection: CounterConnection) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            connection.close()
            connection.connection_lost(None)

    def _on_timeout(self, connection: CounterConnection, call: Call) -> None:
        """The call has no answer in time; it may have been added unless it was never written."""
        self.reply(call, CounterReply(call.name, False, 0.0, maybe_added=call.written_at is not None))
        first = connection.calls[0] if connection.calls else None
        if (
            first
            and first.written_at is not None
            and self.loop.time() - first.written_at > self.stall_timeout
        ):
            connection.close()

    def reply(self, call: Call, reply: CounterReply) -> None:
        """Delivers a reply, unless the call has had one."""
        if not call.done:
            call.done = True
            if call.timer:
                call.timer.cancel()
            self.on_reply(reply)


class CounterConnection(asyncio.Protocol):
    """A connection. A call that timed out stays queued, so that its late answer is matched to it."""

    def __init__(self, owner: CounterClient) -> None:
        self.owner, self.closed, self.body = owner, False, b""
        self.calls: deque[Call] = deque()
        self.transport: asyncio.Transport | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self.size = 0
        self.draining = False  # closes as soon as its calls are answered

    def add(self, call: Call) -> None:
        """Queues a call and writes it if the connection is established."""
        self.calls.append(call)
        if self.transport:
            self._write(call)

    def _write(self, call: Call) -> None:
        assert self.transport is not None
        if self.idle_timer:
            self.idle_timer.cancel()
            self.idle_timer = None
        call.written_at = self.owner.loop.time()
        self.transport.write(call.text)

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.parser = httptools.HttpResponseParser(self)
        self.calls = deque(
            call for call in self.calls if not call.done
        )  # calls that timed out meanwhile are dropped
        for call in self.calls:
            self._write(call)
        self.update_idle()

    def update_idle(self) -> None:
        """Without calls: closes the connection if draining, else starts its idle timeout."""
        if self.draining and not self.calls and self.transport:
            self.close()
        elif not self.calls and not self.idle_timer:
            self.idle_timer = self.owner.loop.call_later(IDLE_TIMEOUT_S, self.close)

    def data_received(self, data: bytes) -> None:
        if not self.calls:  # unsolicited data
            self.close()
            return
        self.size += len(data)
        if self.size > MAX_RESPONSE_BYTES:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
        self.update_idle()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError("response body too long")

    def on_message_begin(self) -> None:
        if not self.calls:  # more responses than calls
            raise ValueError("a response without a call")

    def on_message_complete(self) -> None:
        self.size = 0
        status, body, self.body = self.parser.get_status_code(), self.body, b""
        if status < 200:
            return
        call = self.calls.popleft()
        if status == 200 and NUMBER.fullmatch(body):
            self.owner.reply(call, CounterReply(call.name, True, float(body)))
        else:  # 503, 400 and 404 mean that nothing was added; with anything else it may have been
            plain = status in (503, 400, 404)
            self.owner.reply(call, CounterReply(call.name, False, 0.0, maybe_added=not plain))
            if not plain:  # the connection cannot be trusted after an invalid answer
                self.close()
        if not self.parser.should_keep_alive():
            self.close()

    def close(self) -> None:
        self.closed = True
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.idle_timer:
            self.idle_timer.cancel()
        while self.calls:
            call = self.calls.popleft()
            maybe = call.written_at is not None
            self.owner.reply(call, CounterReply(call.name, False, 0.0, maybe_added=maybe))
