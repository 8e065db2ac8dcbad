"""Tokens that gateways ask of each other, in datagrams, and requests that wait for them. `rate_limit` decides."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from zlib import crc32

from coralvale.cluster.rate_limit.actions import AskTokens, Decided, GrantTokens, ReturnTokens
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.runtime import Runtime

ASK, GRANT, RETURN = b"q", b"g", b"r"
KINDS = (ASK, GRANT, RETURN)
_TOKENS = struct.Struct("!IIH")  # number, what stands for the tenant, tokens
_GRANT = struct.Struct("!IIHH")  # and milliseconds to wait
MOST_MS = 0xFFFF


class QuotaExchange:
    """`decided`: takes what becomes of a request that waited; set once there is a gate for clients."""

    on_decision: Callable[[Decided], None]

    def __init__(self, runtime: Runtime, changes: Changes, limiter: RateLimiter) -> None:
        self.runtime, self.changes, self.limiter = runtime, changes, limiter
        self.timer: asyncio.TimerHandle | None = None

    def run_actions(self) -> None:
        """What the limiter has to send, and its decisions."""
        while actions := self.limiter.take_actions():
            for action in actions:
                match action:
                    case Decided():
                        self.on_decision(action)
                    case AskTokens():
                        body = _TOKENS.pack(action.number, _mark(action.tenant), action.count)
                        self.runtime.peers.cast(action.to, ASK, body)
                    case ReturnTokens():
                        body = _TOKENS.pack(action.number, _mark(action.tenant), action.count)
                        self.runtime.peers.cast(action.to, RETURN, body)
                    case GrantTokens():
                        ms = min(MOST_MS, int(action.retry_after * 1000))
                        body = _GRANT.pack(action.number, _mark(action.tenant), action.count, ms)
                        self.runtime.peers.cast(action.to, GRANT, body)
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.limiter.due()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if due < float("inf"):
            wait = max(0.001, due - self.runtime.clock.monotonic())
            self.timer = self.runtime.loop.call_later(wait, self._expire)

    def _expire(self) -> None:
        self.timer = None
        self.limiter.expire(self.runtime.clock.monotonic())
        self.run_actions()

    def handle_datagram(self, ip: str, kind: bytes, body: bytes) -> None:
        """Another gateway's ask, or its answer. What cannot be read, or is of an unknown tenant,
        is passed over."""
        now = self.runtime.clock.monotonic()
        try:
            if kind == GRANT:
                number, mark, count, ms = _GRANT.unpack(body)
            else:
                number, mark, count = _TOKENS.unpack(body)
        except struct.error:
            return
        name = self.changes.tenants.get(mark)
        if name is None:
            return
        if kind == GRANT:
            self.limiter.handle_grant(now, ip, number, name, count, ms / 1000)
        elif kind == RETURN:
            self.limiter.handle_return(now, ip, number, name, count)
        elif terms := self.changes.configuration.tenant(name):
            self.limiter.handle_ask(now, ip, number, name, terms.RatePerS, terms.Burst, count)
        self.run_actions()


def _mark(tenant: str) -> int:
    """What stands for a tenant's name, as in words."""
    return crc32(tenant.encode())
