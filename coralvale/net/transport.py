"""Interface between the node and the connections to hosts; each version of HTTP implements `Transport`.

The node starts an attempt with `send` and gets its outcome exactly once, through `Attempt.on_end`. A
transport does not choose hosts and sends nothing twice; the decision module decides on retries. The outcome
says whether the request may have run: NOT_SENT, CONNECT_FAILED and FULL mean that it certainly did not run,
all others that it may have. Whether a request written in part can run depends on the hosts' protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Protocol

from coralvale.interface import Outcome
from coralvale.net.config import Address, HostInstance

MAX_JOINED_BODY_BYTES = 64 * 1024  # larger bodies are not copied into one write with the head


@unique
class WriteProgress(Enum):
    """How much of a request was handed to the socket before its attempt ended."""

    NONE = "not written"
    PART = "written in part"
    WHOLE = "written"


@unique
class AnswerOwner(Enum):
    """Which request an answer belongs to. It is decided once, when the head of the answer is complete."""

    OWN = "own"  # the request that waits for it
    OTHER = "other"  # another request: it is read to its end and dropped
    UNKNOWN = "unknown"  # the answer does not say: it ends the attempt, and nothing of it is used


@dataclass(slots=True)
class OutgoingRequest:
    """A request to a host, independent of the HTTP version. `headers` holds no connection-specific fields."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: list[bytes] = field(default_factory=list)
    time_left: float | None = None  # s that the host may take; sent as X-Timeout

    def http1(self) -> list[bytes]:
        """The HTTP/1.1 message (RFC 9112), as the pieces to write."""
        size = sum(map(len, self.body))
        head = b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
            self.method,
            self.target,
            b"".join([b"%b: %b\r\n" % header for header in self.headers]),
            b"" if self.time_left is None else b"X-Timeout: %.3f\r\n" % self.time_left,
            b"Content-Length: %d\r\n" % size if self.body or self.method != b"GET" else b"",
        )
        # A short message is joined for a single write; a long body is written in the pieces it arrived in.
        return [head, *self.body] if size > MAX_JOINED_BODY_BYTES else [b"".join([head, *self.body])]


@dataclass(slots=True)
class Answer:
    """A host's complete answer.

    `usage` is the customer's metered use as a fraction of its rate, `report` the host's load report, and
    `not_processed` the host's statement that it did not run the request.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    usage: float | None = None
    report: tuple[float, ...] = ()
    not_processed: bool = False


class Sink(Protocol):
    """Receives a streamed answer: the client's exchange."""

    def write(self, data: list[bytes]) -> None: ...


class Source(Protocol):
    """The connection that a streamed answer is read from; reading can be paused."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one host, from the decision to send it until its outcome."""

    server: str
    address: Address
    payload: Callable[[], OutgoingRequest | None]  # called just before writing; None: do not send
    on_end: Callable[[Attempt, Outcome, Answer | None], None]
    # Called when a 200 answer is too long to be buffered; returns its receiver, or None to reject it.
    on_stream: Callable[[Attempt, Answer, int | None, Source], Sink | None] | None = None
    number: int = 0
    sent_at: float = 0.0
    started_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    connection: object = field(default=None, repr=False)  # private to the transport: what carries the attempt
    ended: bool = False
    broke: bool = False  # its connection was established and then broke
    alone: bool = True  # no other attempt's end reports the same broken connection
    progress: WriteProgress = WriteProgress.NONE  # over HTTP/1.1; set when its connection ends it
    # Connections that this attempt or an earlier one of its request was written to; None: they are not recorded.
    used_connections: set[object] | None = field(default=None, repr=False)
    sink: Sink | None = None  # receives the answer once it is streamed
    streamed_at: float = 0.0  # when streaming began
    zone: int = -1
    kind: int = -1  # of the host, its number in the settings
    outcome: Outcome | None = None  # set at the end
    delay: float = 0.0  # s, set at the end

    @property
    def place(self) -> HostInstance:
        """Identifies the host: a host that restarts or moves gets another place."""
        return self.server, self.started_at, self.address

    def may_use(self, connection: object) -> bool:
        """Whether no attempt of this request was written to the connection.

        A late copy of the answer to an earlier attempt names the same request, so on the same connection it
        could not be told from the answer to this one.
        """
        return self.used_connections is None or connection not in self.used_connections

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Reports the outcome; only the first call has an effect."""
        if not self.ended:
            self.ended, self.connection = True, None
            if self.timer:
                self.timer.cancel()
            self.on_end(self, outcome, answer)


class Transport(Protocol):
    """Connections to all hosts, over one or several versions of HTTP."""

    @property
    def written(self) -> int:
        """Number of attempts whose last byte has been written."""

    def stats(self) -> str:
        """Additional `key=value` lines for the operators' statistics; empty for HTTP/1.1."""

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt. It ends exactly once: by the host's answer, a failure, or `abort`."""

    def abort(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt with `outcome`, or with NOT_SENT if a host cannot have run it."""

    def abandon(self, attempt: Attempt) -> None:
        """Called when the client has left and the attempt may be dropped.

        The attempt ends as CANCELLED if cancelling it does not cost a connection; otherwise it goes on.
        """

    def retire(self, place: HostInstance) -> None:
        """Called when a host drains, has gone, restarted or moved.

        Attempts in flight end normally; nothing new is sent over its connections.
        """

    def close(self) -> None:
        """Closes all connections at once."""
