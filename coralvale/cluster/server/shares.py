"""This gateway's claim to its shares of the tenants' quotas: made at the leader, and renewed periodically."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.messages import ClaimShares, SharesReply
from coralvale.cluster.server.peers import PeerConnection
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.share_desk import MAX_ANSWER_AGE_S, ShareAnswer

RENEW_INTERVAL_S = 10.0  # between claims, normally
RETRY_INTERVAL_S = 0.15  # after a claim without an answer, or while this gateway owns no shares
CLAIM_TIMEOUT_S = 1.0
MAX_JITTER_S = 0.1  # spreads the claims of gateways that learn of a newer table at the same time


class ShareClaims:
    """Claims this gateway's shares, and handles claims of others at the leader."""

    def __init__(self, runtime: Runtime, core: Core, holding: Holding) -> None:
        self.runtime, self.core, self.holding = runtime, core, holding
        self.newer_table = asyncio.Event()

    def note_version(self, version: int) -> None:
        """Claims soon if another gateway follows a newer table version."""
        if version > self.holding.version:
            self.newer_table.set()

    async def claim_loop(self) -> None:
        """Claims periodically, and soon after a newer table is known of. Intervals vary by 25 %."""
        while True:
            answered = await self._claim(left=False)
            pause = RENEW_INTERVAL_S if answered and self.holding.owns_any() else RETRY_INTERVAL_S
            self.newer_table.clear()
            try:
                async with asyncio.timeout(pause * (0.75 + 0.5 * self.runtime.rng.random())):
                    await self.newer_table.wait()
                await asyncio.sleep(MAX_JITTER_S * self.runtime.rng.random())
            except TimeoutError:
                continue

    async def release(self) -> None:
        """Releases the shares at shutdown; they may go to other gateways if this one does not come back."""
        self.holding.release_all()
        await self._claim(left=True)

    async def _claim(self, left: bool) -> bool:
        """Makes one claim; returns whether it was answered."""
        asked_at = self.runtime.clock.monotonic()
        answer = await self._ask(left)
        if answer is None or not answer.settled:
            return False
        if left:
            return True
        try:
            table = ShareTable.restored(answer.table) if answer.table else None
        except ValueError as error:
            log_event(Event.FAILED, reason=str(error))
            return False
        now = self.runtime.clock.monotonic()
        since = max(self.runtime.started_at, now - answer.age)
        # An answer that was read late, because the process was frozen, brings no allowance.
        allowed = answer.allowed and now - asked_at < MAX_ANSWER_AGE_S
        if self.holding.apply_answer(since, asked_at, table, allowed):
            cells = self.holding.table.owners.count(self.holding.address)
            log_event(Event.SHARES, version=self.holding.version, cells=cells)
        return True

    async def _ask(self, left: bool) -> SharesReply | None:
        number, version = self.runtime.peers.next_number(), self.holding.version
        if self.core.is_leader():
            answer = await self.core.claim(self.runtime.settings.Ip, version, left, CLAIM_TIMEOUT_S)
            return _reply(number, answer)
        return await self._forward(ClaimShares(number, version, left))

    async def _forward(self, claim: ClaimShares) -> SharesReply | None:
        """Sends a claim to the leader or, if it is unknown, to a member of the core, which may know it."""
        _, leader, core = self.core.known_view()
        own = self.runtime.settings.Ip
        targets = [leader] if leader else [ip for ip in core or self.runtime.settings.seeds if ip != own]
        if not targets or targets == [own]:
            return None
        link = self.runtime.peers.link(self.runtime.rng.choice(targets))
        reply = await link.request(claim.number, claim, CLAIM_TIMEOUT_S)
        return reply if isinstance(reply, SharesReply) else None

    async def handle_claim(self, connection: PeerConnection, claim: ClaimShares) -> None:
        """Answers another gateway's claim at the leader; a member of the core forwards it to the leader,
        once."""
        address = claim.address or connection.ip
        if self.core.is_leader():
            answer = await self.core.claim(address, claim.version, claim.left, CLAIM_TIMEOUT_S)
            connection.send(_reply(claim.number, answer))
            return
        reply: SharesReply | None = None
        if not claim.address and self.core.known_view()[1]:
            number = self.runtime.peers.next_number()
            reply = await self._forward(ClaimShares(number, claim.version, claim.left, address))
        if reply is None:
            reply = SharesReply(claim.number, settled=False)
        connection.send(replace(reply, number=claim.number))


def _reply(number: int, answer: ShareAnswer | None) -> SharesReply:
    if answer is None:
        return SharesReply(number, settled=False)
    return SharesReply(number, answer.settled, answer.table, answer.age, answer.allowed)
