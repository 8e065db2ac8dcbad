"""This gateway's claim to its parts of the tenants' quotas: made at the leader, and made anew in time."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from coralvale.cluster.events import Event, tell
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.messages import ClaimShares, SharesReply
from coralvale.cluster.server.peers import PeerConnection
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.share_desk import MAX_ANSWER_AGE_S, ShareAnswer

RENEW_INTERVAL_S = 10.0  # s between claims while all is as it should be
RETRY_INTERVAL_S = 0.15  # s until the next one where the last got no answer, or this gateway owns nothing yet
CLAIM_TIMEOUT_S = 1.0  # s for an answer
MAX_JITTER_S = 0.1  # s over which gateways that hear of a newer table at once spread their claims


class ShareClaims:
    def __init__(self, runtime: Runtime, core: Core, holding: Holding) -> None:
        self.runtime, self.core, self.holding = runtime, core, holding
        self.newer_table = asyncio.Event()

    def note_version(self, version: int) -> None:
        """Another gateway follows the table of this version."""
        if version > self.holding.version:
            self.newer_table.set()

    async def claim_loop(self) -> None:
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
        """This process ends: its parts are nobody's from now on, and may go to others if it stays away."""
        self.holding.release_all()
        await self._claim(left=True)

    async def _claim(self, left: bool) -> bool:
        """One claim; whether it was answered."""
        asked_at = self.runtime.clock.monotonic()
        answer = await self._ask(left)
        if answer is None or not answer.settled:
            return False
        if left:
            return True
        try:
            table = ShareTable.restored(answer.table) if answer.table else None
        except ValueError as error:
            tell(Event.FAILED, reason=str(error))
            return False
        now = self.runtime.clock.monotonic()
        since = max(self.runtime.started_at, now - answer.age)
        # An answer that was read late, by a process that stood still, brings no allowance.
        allowed = answer.allowed and now - asked_at < MAX_ANSWER_AGE_S
        if self.holding.apply_answer(since, asked_at, table, allowed):
            cells = self.holding.table.owners.count(self.holding.address)
            tell(Event.SHARES, version=self.holding.version, cells=cells)
        return True

    async def _ask(self, left: bool) -> SharesReply | None:
        number, version = self.runtime.peers.next_number(), self.holding.version
        if self.core.is_leader():
            answer = await self.core.claim(self.runtime.settings.Ip, version, left, CLAIM_TIMEOUT_S)
            return _reply(number, answer)
        return await self._forward(ClaimShares(number, version, left))

    async def _forward(self, claim: ClaimShares) -> SharesReply | None:
        """To the leader; where it is not known, to one of the core, who may know it."""
        _, leader, core = self.core.known_view()
        own = self.runtime.settings.Ip
        asked = [leader] if leader else [ip for ip in core or self.runtime.settings.seeds if ip != own]
        if not asked or asked == [own]:
            return None
        link = self.runtime.peers.link(self.runtime.rng.choice(asked))
        reply = await link.request(claim.number, claim, CLAIM_TIMEOUT_S)
        return reply if isinstance(reply, SharesReply) else None

    async def handle_claim(self, connection: PeerConnection, claim: ClaimShares) -> None:
        """Another gateway's claim: answered by the leader, passed on to it once by a member of the core."""
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
