"""Exchange of quota tokens between gateways in datagrams. `coralvale.cluster.rate_limit` decides."""

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
_TOKENS = struct.Struct("!IIH")  # number, CRC-32 of the tenant's name, tokens
_GRANT = struct.Struct("!IIHH")  # the same, and Retry-After in ms
MAX_RETRY_AFTER_MS = 0xFFFF


class QuotaExchange:
    """Carries out the actions of the rate limiter.

    `on_decision`: called with the decision on a request that waited; set once the edge server exists.
    """

    on_decision: Callable[[Decided], None]

    def __init__(self, runtime: Runtime, changes: Changes, limiter: RateLimiter) -> None:
        self.runtime, self.changes, self.limiter = runtime, changes, limiter
        self.timer: asyncio.TimerHandle | None = None

    def run_actions(self) -> None:
        """Sends the limiter's messages, passes on its decisions, and sets the timer for its next deadline."""
        while actions := self.limiter.take_actions():
            for action in actions:
                match action:
                    case Decided():
                        self.on_decision(action)
                    case AskTokens():
                        body = _TOKENS.pack(action.number, _tenant_crc(action.tenant), action.count)
                        self.runtime.peers.send_datagram(action.to, ASK, body)
                    case ReturnTokens():
                        body = _TOKENS.pack(action.number, _tenant_crc(action.tenant), action.count)
                        self.runtime.peers.send_datagram(action.to, RETURN, body)
                    case GrantTokens():
                        ms = min(MAX_RETRY_AFTER_MS, int(action.retry_after * 1000))
                        body = _GRANT.pack(action.number, _tenant_crc(action.tenant), action.count, ms)
                        self.runtime.peers.send_datagram(action.to, GRANT, body)
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
        """Handles a datagram of another gateway.

        Datagrams that cannot be decoded or that name an unknown tenant are ignored.
        """
        now = self.runtime.clock.monotonic()
        try:
            if kind == GRANT:
                number, tenant_crc, count, ms = _GRANT.unpack(body)
            else:
                number, tenant_crc, count = _TOKENS.unpack(body)
        except struct.error:
            return
        name = self.changes.tenants.get(tenant_crc)
        if name is None:
            return
        if kind == GRANT:
            self.limiter.handle_grant(now, ip, number, name, count, ms / 1000)
        elif kind == RETURN:
            self.limiter.handle_return(now, ip, number, name, count)
        elif terms := self.changes.configuration.tenant(name):
            self.limiter.handle_ask(now, ip, number, name, terms.RatePerS, terms.Burst, count)
        self.run_actions()


def _tenant_crc(tenant: str) -> int:
    """CRC-32 of a tenant's name, which stands for it in datagrams, as in gossip."""
    return crc32(tenant.encode())
