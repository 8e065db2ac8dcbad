"""When and how a server ends a client's connection: the one place that decides it.

A connection passes through these phases, in this order:

| phase     | further requests       | answers                  | left when                        |
| --------- | ---------------------- | ------------------------ | -------------------------------- |
| OPEN      | are read and handled   | follow their requests    | the last request is read or its  |
|           |                        |                          | answer announced, or it is idle  |
| LAST_READ | are not handled        | the one with none behind | it is written                    |
|           |                        | says `Connection: close` |                                  |
| FINISHING | stay in the kernel     | none, the write side is  | the client has all bytes, and    |
|           |                        | shut down                | closes or has had LINGER_S to    |

Draining (after SIGTERM, or beyond the limit of connections) is no phase: requests are handled as before, and an
answer with nothing behind it, in hand, read in part or in the kernel, is announced as the last one.

Invariants:

1. A request that is handled is answered: a connection comes to FINISHING with no request in hand.
2. A draining connection is not read once its last answer is announced, so that nothing is read and not answered.
3. A connection is closed once the client's kernel has acknowledged all bytes: closing a socket that has unread
   input resets the connection, and what is not acknowledged by then is lost.

What ends a connection otherwise, and is reported as such (`net.endings`): the client leaves, it reads too slowly,
an answer breaks off in its middle, the process ends.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

LINGER_S = 1.0  # for a client that has all bytes to close the connection itself
POLL_INTERVAL_S = 0.02  # between checks whether a client has all bytes


class Phase(Enum):
    """The phase of a connection; see the table of this module."""

    OPEN = auto()
    LAST_READ = auto()
    FINISHING = auto()


def answer_is_last(
    phase: Phase, draining: bool, in_hand: int, partly_read: bool, has_unread: Callable[[], bool]
) -> bool:
    """Whether the answer that is about to be written is the connection's last one.

    `in_hand`: requests that are read and not answered, with the one of this answer; `partly_read`: a further
    one has come in part; `has_unread`: asks the kernel for input.
    """
    if in_hand > 1:
        return False
    if phase is Phase.LAST_READ:
        return True
    return draining and not partly_read and not has_unread()


@dataclass(slots=True)
class Delivery:
    """What of the written bytes has reached the client of a connection that is finishing.

    `unsent_bytes`: in the process or not acknowledged; `client_closed`: the client has closed its side too;
    `delivered_for`: seconds since nothing was unsent.
    """

    unsent_bytes: int
    client_closed: bool
    delivered_for: float


def may_close(delivery: Delivery) -> bool:
    """Whether a connection that is finishing may be closed."""
    if delivery.unsent_bytes:
        return False
    return delivery.client_closed or delivery.delivered_for >= LINGER_S
