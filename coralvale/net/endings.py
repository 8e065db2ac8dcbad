"""How connections of clients end: the cause, and what was in hand or unsent at that moment."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum


class EndCause(Enum):
    """Why a connection ended. The values are labels of a metric and appear in logs."""

    CLIENT_CLOSED = "client closed"  # the client has finished sending
    CLIENT_RESET = "client reset"
    FINAL_ANSWER = "final answer"  # the answer was announced as the connection's last one
    SHUTDOWN = "shutdown"  # the server is draining
    INVALID_REQUEST = "invalid request"
    TIMED_OUT_REQUEST = "timed-out request"
    IDLE = "idle"
    MAKE_ROOM = "make room"  # evicted for another connection
    SLOW_READER = "slow reader"
    BROKEN_ANSWER = "broken answer"  # a streamed answer could not be completed
    MEMORY = "memory"  # clients made the process hold too much, and this one did not read its answers
    PROCESS_EXIT = "process exit"


class WaitsFor(Enum):
    """What a request in hand waits for. The values are labels of a metric and appear in logs."""

    TOKEN = "token"  # of its tenant's quota
    CONNECTION = "connection"  # to its host
    WRITE = "write"  # of all its bytes to its host
    FIRST_BYTE = "first byte"  # of its host's answer
    REST = "rest"  # of its host's answer
    EARLIER_ANSWER = "earlier answer"  # of its connection; its own is complete
    HANDLER = "handler"  # the process itself


@dataclass(slots=True, frozen=True)
class RequestInHand:
    """A request that is read completely and not answered completely.

    `attempt`: number of its current attempt, at `host`; 0 and "" without one. `waited`: seconds since that
    attempt began, or since the request arrived. `time_left`: seconds until its deadline.
    """

    name: str
    waits_for: WaitsFor = WaitsFor.HANDLER
    host: str = ""
    attempt: int = 0
    waited: float = 0.0
    time_left: float = math.inf

    def __str__(self) -> str:
        at = f" of attempt {self.attempt} at {self.host}" if self.attempt else ""
        left = f", {self.time_left:.2f} s left" if self.time_left < math.inf else ""
        return f"{self.name} (waits for {self.waits_for.value}{at}, {self.waited:.2f} s{left})"


CLIENT_CAUSES = {EndCause.CLIENT_CLOSED, EndCause.CLIENT_RESET}
# That reset the connection under answers whose client may still read.
CUTTING_CAUSES = {EndCause.SLOW_READER, EndCause.BROKEN_ANSWER, EndCause.MEMORY, EndCause.PROCESS_EXIT}


@dataclass(slots=True)
class ConnectionEnd:
    """The end of a connection, as it was when it was decided.

    `in_hand`: requests read completely and not answered completely; `partly_read`: a further request had been
    read in part; `unsent_bytes`: of answers, in the process or not yet acknowledged by the client's kernel;
    `unread`: the kernel held input; `requests`: those in hand; `shutting_down`: the server was draining.
    """

    cause: EndCause
    in_hand: int = 0
    partly_read: bool = False
    unsent_bytes: int = 0
    unread: bool = False
    requests: tuple[RequestInHand, ...] = ()
    shutting_down: bool = False

    @property
    def request_names(self) -> tuple[str, ...]:
        """The names of the requests in hand."""
        return tuple(request.name for request in self.requests)

    @property
    def drops_requests(self) -> bool:
        """Whether requests in hand, or the end of an answer, were dropped although the client was still there."""
        if self.cause in CLIENT_CAUSES:
            return False
        return self.in_hand > 0 or (self.unsent_bytes > 0 and self.cause in CUTTING_CAUSES)


class EndCounts:
    """Ended connections by cause, and the requests dropped with them by cause and what they waited for."""

    def __init__(self) -> None:
        self.connections: Counter[EndCause] = Counter()
        self.dropped_requests: Counter[tuple[EndCause, WaitsFor]] = Counter()
        self.given_up: Counter[WaitsFor] = Counter()  # answered by the process itself as it ends

    def add(self, end: ConnectionEnd) -> None:
        """Counts an ended connection."""
        self.connections[end.cause] += 1
        if end.drops_requests:
            for request in end.requests:
                self.dropped_requests[end.cause, request.waits_for] += 1
            if not end.requests:  # the end of an answer
                self.dropped_requests[end.cause, WaitsFor.EARLIER_ANSWER] += 1
