"""How connections of clients end: the cause, and what was in hand or unsent at that moment."""

from __future__ import annotations

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
    PROCESS_EXIT = "process exit"


CLIENT_CAUSES = {EndCause.CLIENT_CLOSED, EndCause.CLIENT_RESET}
# That reset the connection under answers whose client may still read.
CUTTING_CAUSES = {EndCause.SLOW_READER, EndCause.BROKEN_ANSWER, EndCause.PROCESS_EXIT}


@dataclass(slots=True)
class ConnectionEnd:
    """The end of a connection, as it was when it was decided.

    `in_hand`: requests read completely and not answered completely; `partly_read`: a further request had been
    read in part; `unsent_bytes`: of answers, in the process or not yet acknowledged by the client's kernel;
    `unread`: the kernel held input; `request_names`: of the requests in hand; `shutting_down`: the server was
    draining.
    """

    cause: EndCause
    in_hand: int = 0
    partly_read: bool = False
    unsent_bytes: int = 0
    unread: bool = False
    request_names: tuple[str, ...] = ()
    shutting_down: bool = False

    @property
    def drops_requests(self) -> bool:
        """Whether requests in hand, or the end of an answer, were dropped although the client was still there."""
        if self.cause in CLIENT_CAUSES:
            return False
        return self.in_hand > 0 or (self.unsent_bytes > 0 and self.cause in CUTTING_CAUSES)


class EndCounts:
    """Ended connections by cause, and the requests in hand that were dropped with them."""

    def __init__(self) -> None:
        self.connections: Counter[EndCause] = Counter()
        self.dropped_requests: Counter[EndCause] = Counter()

    def add(self, end: ConnectionEnd) -> None:
        """Counts an ended connection."""
        self.connections[end.cause] += 1
        if end.drops_requests:
            self.dropped_requests[end.cause] += max(1, end.in_hand)
