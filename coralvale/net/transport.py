"""What carries attempts to hosts: the protocol that every version of HTTP implements beside `upstream`.

The node orders an attempt with `send` and hears of it once, through `Attempt.end`. A transport chooses no host,
and sends nothing a second time: it tells what it knows, and the decision module judges. Its outcomes say whether
the request ran: NOT_SENT, CONNECT_FAILED and FULL mean that it surely did not, all others that it may have.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from coralvale.interface import Outcome
from coralvale.net.config import Address, HostInstance

SMALL_BODY = 64 * 1024  # bytes of a body up to which it goes in one write with its head


@dataclass(slots=True)
class Outgoing:
    """A request as it goes to a host, in no version's form. `headers` has nothing of one connection alone."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: list[bytes] = field(default_factory=list)
    left: float | None = None  # s that the host may take, told to it as X-Timeout

    def http1(self) -> list[bytes]:
        """The message of RFC 9112, in the pieces that it is to be written in."""
        size = sum(map(len, self.body))
        head = b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
            self.method,
            self.target,
            b"".join([b"%b: %b\r\n" % header for header in self.headers]),
            b"" if self.left is None else b"X-Timeout: %.3f\r\n" % self.left,
            b"Content-Length: %d\r\n" % size if self.body or self.method != b"GET" else b"",
        )
        # In one write where it is short; a long body is written from the pieces that it came in.
        return [head, *self.body] if size > SMALL_BODY else [b"".join([head, *self.body])]


@dataclass(slots=True)
class Answer:
    """A host's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    usage: float | None = None
    report: tuple[float, ...] = ()
    not_processed: bool = False


class Sink(Protocol):
    """What takes an answer as it comes: the client's exchange."""

    def write(self, data: list[bytes]) -> None: ...


class Source(Protocol):
    """What an answer is read from while it is passed on."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one host, from the order to send it until its outcome."""

    server: str
    address: Address
    payload: Callable[[], Outgoing | None]  # asked just before the write; None means: do not send
    on_end: Callable[[Attempt, Outcome, Answer | None], None]
    # Asked when an answer 200 gets longer than is waited for; what it gives takes the answer, None none.
    on_stream: Callable[[Attempt, Answer, int | None, Source], Sink | None] | None = None
    number: int = 0
    sent_at: float = 0.0
    started_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    connection: object = field(default=None, repr=False)  # the transport's own: where the attempt is out
    ended: bool = False
    broke: bool = False  # its connection had come up, and broke
    alone: bool = True  # no other attempt's end tells of the same
    sink: Sink | None = None  # what takes its answer as it comes
    streamed_at: float = 0.0  # since when
    zone: int = -1
    kind: int = -1  # of the host, as the settings number them
    outcome: Outcome | None = None  # once it has ended
    delay: float = 0.0  # s, once it has ended

    @property
    def place(self) -> HostInstance:
        return self.server, self.started_at, self.address

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        if not self.ended:
            self.ended, self.connection = True, None
            if self.timer:
                self.timer.cancel()
            self.on_end(self, outcome, answer)


class Transport(Protocol):
    """Connections to all hosts, of one version of HTTP or of several."""

    @property
    def written(self) -> int:
        """Attempts whose last byte was written."""

    def stats(self) -> str:
        """More lines `key=value` for the operators' figures; none from HTTP/1.1."""

    def send(self, attempt: Attempt) -> None:
        """Takes an attempt up. It ends exactly once, by the host's answer, a failure, or `give_up`."""

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt with `outcome`, or as NOT_SENT if no host can have it."""

    def left(self, attempt: Attempt) -> None:
        """Its client has gone, and running it is of no use: ends as CANCELLED where that costs no connection."""

    def retire(self, place: HostInstance) -> None:
        """A host drains, has gone, restarted or moved: what is out ends as ever, nothing new goes there."""

    def close(self) -> None:
        """Ends all connections at once."""
