"""Selects the connection to a host for a request, a new one if needed, and finds idle ones. No I/O.

Few connections are kept: one is filled to its limit of streams before another is opened, as each costs a
handshake and hosts accept only a few. The least loaded connection takes a request, so that the loss of one
affects as few requests as possible. If all are full, a request is queued where the queue is shortest, up to
one request for each stream; beyond that it is not sent, and the gateway logic sends it to another host or
refuses it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Fallback(Enum):
    """What to do if no connection can take a request."""

    OPEN = "open"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """Load of one connection; `free_streams` is negative after the host has lowered its limit."""

    free_streams: int
    waiting: int
    ready: bool
    closing: bool = False  # closing or closed: takes no requests
    idle_since: float | None = None  # None while it carries requests


def choose(loads: Sequence[ConnectionLoad], max_connections: int, max_streams: int) -> int | Fallback:
    """Returns the index of the connection that takes a request, or what to do if none can."""
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
    """Returns the indexes of connections without requests for at least `idle_timeout` seconds."""
    return [
        n for n, load in enumerate(loads)
        if load.idle_since is not None and not load.closing and now - load.idle_since >= idle_timeout
    ]  # fmt: skip
