"""A request of a client and its answer, buffered whole or streamed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from coralvale.net.body_buffer import BodyBuffer
from coralvale.net.closing import Phase
from coralvale.net.header_block import HeaderBlock
from coralvale.net.memory import REQUEST_BYTES
from coralvale.net.transport import Source

if TYPE_CHECKING:
    from coralvale.net.client_connection import ClientConnection

MAX_NAME_BYTES = 64  # of a request's id in logs
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
# An authoriser may deny a request with any status from 400 to 599.
STATUS_LINES = {status: b"HTTP/1.1 %d \r\n" % status for status in range(200, 400)}
STATUS_LINES |= {status: b"HTTP/1.1 %d Denied\r\n" % status for status in range(400, 600)}
STATUS_LINES |= {status: f"HTTP/1.1 {status} {reason}\r\n".encode() for status, reason in REASONS.items()}


class Exchange:
    """A request and its answer."""

    __slots__ = (
        "chunked", "connection", "detached", "fields", "final", "finished", "handler_state", "head", "headers",
        "held_bytes", "http_1_0", "method", "pending", "received", "source", "started", "target",
    )  # fmt: skip

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.method = self.target = b""
        self.received = BodyBuffer()
        self.held_bytes = 0  # charged to the memory of its server's clients
        self.detached = False  # in hand without its connection: its handler calls `release`
        self.http_1_0 = False  # the client speaks HTTP/1.0
        self.source: Source | None = None  # where a streamed answer is read from
        self.pending: list[bytes] = []  # data of a streamed answer that is not written yet
        self.started = self.finished = self.chunked = False
        self.headers = HeaderBlock()
        self.fields: dict[bytes, bytes] = {}  # those that the server looks up, by name in lower case
        self.head: bytes | None = None  # of the answer, without `Connection` and the line that ends it
        self.final = False  # no request behind it on its connection is handled
        self.handler_state: Any = None  # the handler's record of the request

    @property
    def name(self) -> str:
        """The start of the request's id for logs, or of its target if it has none."""
        id_ = self.fields.get(self.connection.server.request_id_header, b"")
        return (id_ or self.target)[:MAX_NAME_BYTES].decode("latin-1")

    @property
    def parts(self) -> list[bytes]:
        """The body received so far, in the order received."""
        return self.received.pieces

    @property
    def body(self) -> bytes:
        """The body received so far."""
        if len(self.received.pieces) > 1:
            joined = b"".join(self.received.take())
            self.received.append(joined)
        return b"".join(self.received.pieces)

    def field(self, name: bytes) -> bytes | None:
        """The value of a header, given in lower case, that the server may not look up itself."""
        return self.fields[name] if name in self.fields else self.headers.last(name)

    # Memory

    def needed_bytes(self) -> int:
        """The memory that the request takes."""
        return REQUEST_BYTES + self.headers.held_bytes + len(self.target) + self.received.held_bytes

    def hold(self, size: int) -> bool:
        """Has `size` bytes charged for the request in all; False if what is more of them is refused."""
        connection = self.connection
        if size <= self.held_bytes:
            self._charge(size)
            return True
        if not connection.server.memory.reserve(connection, size - self.held_bytes):
            return False
        self.held_bytes = size
        return True

    def release_body(self) -> None:
        """Drops the body, which is not needed any more."""
        self.received.clear()
        if self.held_bytes:
            self._charge(min(self.held_bytes, self.needed_bytes()))

    def release(self) -> None:
        """Drops all that is large, as the request is in hand no more.

        It and its handler's record refer to each other, and would stay until the cyclic garbage collection.
        """
        self.received.clear()
        self.headers.clear()
        self.handler_state = None
        self._charge(0)

    def _charge(self, size: int) -> None:
        self.connection.server.memory.charge(size - self.held_bytes)
        self.held_bytes = size

    def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
        retry_after: float = 0.0,
    ) -> None:
        """Answers the request; further answers are ignored. Answers are sent in the order of the requests.

        `retry_after` is in seconds; 0 sends no Retry-After.
        """
        if self.head is not None:
            return
        parts = [STATUS_LINES[status], b"Content-Length: %d\r\n" % len(body)]
        if headers:
            parts += [b"%b: %b\r\n" % header for header in headers]
        elif body:
            parts.append(b"Content-Type: text/plain\r\n")
        if retry_after > 0:
            parts.append(b"Retry-After: %.3f\r\n" % retry_after)
        self.head = b"".join(parts)
        if self.method != b"HEAD":
            self.pending.append(body)
        self.release_body()
        self.connection.flush()

    # Streamed answers

    def start_stream(self, headers: list[tuple[bytes, bytes]], length: int | None, source: Source) -> None:
        """Starts a 200 answer whose body follows by `write`; `length` in bytes, None if it is unknown."""
        self.source = source
        parts = [STATUS_LINES[200], *(b"%b: %b\r\n" % header for header in headers)]
        if length is not None:
            parts.append(b"Content-Length: %d\r\n" % length)
        elif not self.http_1_0:  # else it ends with its connection, on which it is the last
            self.chunked = True
            parts.append(b"Transfer-Encoding: chunked\r\n")
        self.head = b"".join(parts)
        self.release_body()

    def write(self, data: list[bytes]) -> None:
        """Sends a part of the body. Pauses the source if too much is buffered for clients.

        Data is buffered while the client does not read or earlier answers of its connection are not sent.
        """
        if self.chunked and data:
            data = [b"%x\r\n" % sum(map(len, data)), *data, b"\r\n"]
        self.pending.append(b"".join(data))  # many small pieces take several times their size in memory
        self.connection.flush()
        if self.source and not self.finished and (self.pending or self.connection.write_paused):
            self.connection.update_buffered()
            if not self.connection.server.may_buffer(self.connection):
                self.source.pause()
                self.connection.server.waiting_for_buffer[self.connection] = None

    def finish(self) -> None:
        """Ends a streamed answer."""
        self.finished = True
        self.source = None
        if self.chunked:
            self.pending.append(b"0\r\n\r\n")
        self.connection.flush()

    def abort(self) -> None:
        """Aborts a streamed answer that cannot be completed, so that the client sees that it is truncated."""
        self.connection.abort()
        self.source = None

    def reply_and_close(self, status: int, body: bytes = b"") -> None:
        """Rejects a request and closes the connection, as its next request is likely invalid too.

        Requests behind it are not handled. To be called before the handler of the request returns.
        """
        self.final = True
        self.connection.phase = Phase.LAST_READ
        self.reply(status, body)
