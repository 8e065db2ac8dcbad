"""Which connection to a host takes a request, when another is opened, which are let go. No I/O.

Few connections: one is filled to its limit on streams before another is opened, as each costs a handshake, and
hosts hold few. The least loaded takes a request, so that the loss of one loses as little as may be. Where all are
full a request waits where the least wait, and no more wait than could be served in turn: one past that is not
sent, and the decision module sends it elsewhere or refuses it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Fallback(Enum):
    """What there is to be done where no connection takes a request."""

    OPEN = "open"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """One connection. `room` is its streams that may be opened, less than nought over a lowered limit."""

    free_streams: int
    waiting: int
    ready: bool
    closing: bool = False  # closing or dead: it takes nothing
    idle_since: float | None = None  # where it carries nothing


def choose(loads: Sequence[ConnectionLoad], max_connections: int, max_streams: int) -> int | Fallback:
    """The number of the connection that takes a request. `most` connections, `streams` on each."""
    free = [
        n
        for n, load in enumerate(loads)
        if not load.closing and load.ready and load.free_streams > load.waiting
    ]
    if free:
        return max(free, key=lambda n: loads[n].free_streams - loads[n].waiting)
    connecting = [
        n for n, load in enumerate(loads) if not (load.closing or load.ready) and load.waiting < max_streams
    ]
    if connecting:
        return min(connecting, key=lambda n: loads[n].waiting)
    if sum(not load.closing for load in loads) < max_connections:
        return Fallback.OPEN
    full = [
        n
        for n, load in enumerate(loads)
        if not load.closing and load.waiting < max_streams and load.free_streams > -max_streams
    ]
    return min(full, key=lambda n: loads[n].waiting) if full else Fallback.NOT_SENT


def idle_connections(loads: Sequence[ConnectionLoad], now: float, idle_timeout: float) -> list[int]:
    """Connections that have carried nothing for `most_idle` seconds."""
    return [
        n for n, load in enumerate(loads)
        if load.idle_since is not None and not load.closing and now - load.idle_since >= idle_timeout
    ]  # fmt: skip
