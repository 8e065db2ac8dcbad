"""This gateway's claim to its parts of the tenants' quotas: made at the leader, and made anew in time."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.messages import ClaimShares, Shares
from coralvale.cluster.server.peers import Frames
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.share_desk import MAX_ANSWER_AGE_S, ShareAnswer

RENEW = 10.0  # s between claims while all is as it should be
SOON = 0.15  # s until the next one where the last got no answer, or this gateway owns nothing yet
PATIENCE = 1.0  # s for an answer
SPREAD = 0.1  # s over which gateways that hear of a newer table at once spread their claims


class ShareClaims:
    def __init__(self, runtime: Runtime, core: Core, holding: Holding) -> None:
        self.runtime, self.core, self.holding = runtime, core, holding
        self.news = asyncio.Event()

    def heard(self, version: int) -> None:
        """Another gateway follows the table of this version."""
        if version > self.holding.version:
            self.news.set()

    async def follow(self) -> None:
        while True:
            answered = await self._claim(left=False)
            pause = RENEW if answered and self.holding.owns_any() else SOON
            self.news.clear()
            try:
                async with asyncio.timeout(pause * (0.75 + 0.5 * self.runtime.chance.random())):
                    await self.news.wait()
                await asyncio.sleep(SPREAD * self.runtime.chance.random())
            except TimeoutError:
                continue

    async def give_up(self) -> None:
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
            log_event(Event.FAILED, reason=str(error))
            return False
        now = self.runtime.clock.monotonic()
        since = max(self.runtime.born, now - answer.age)
        # An answer that was read late, by a process that stood still, brings no allowance.
        allowed = answer.allowed and now - asked_at < MAX_ANSWER_AGE_S
        if self.holding.apply_answer(since, asked_at, table, allowed):
            cells = self.holding.table.owners.count(self.holding.address)
            log_event(Event.SHARES, version=self.holding.version, cells=cells)
        return True

    async def _ask(self, left: bool) -> Shares | None:
        number, version = self.runtime.peers.next(), self.holding.version
        if self.core.leads():
            answer = await self.core.claim(self.runtime.settings.Ip, version, left, PATIENCE)
            return _told(number, answer)
        return await self._pass_on(ClaimShares(number, version, left))

    async def _pass_on(self, claim: ClaimShares) -> Shares | None:
        """To the leader; where it is not known, to one of the core, who may know it."""
        _, leader, core = self.core.known()
        own = self.runtime.settings.Ip
        asked = [leader] if leader else [ip for ip in core or self.runtime.settings.seeds if ip != own]
        if not asked or asked == [own]:
            return None
        link = self.runtime.peers.link(self.runtime.chance.choice(asked))
        told = await link.request(claim.number, claim, PATIENCE)
        return told if isinstance(told, Shares) else None

    async def claimed(self, frames: Frames, claim: ClaimShares) -> None:
        """Another gateway's claim: answered by the leader, passed on to it once by a member of the core."""
        address = claim.address or frames.ip
        if self.core.leads():
            answer = await self.core.claim(address, claim.version, claim.left, PATIENCE)
            frames.send(_told(claim.number, answer))
            return
        told: Shares | None = None
        if not claim.address and self.core.known()[1]:
            number = self.runtime.peers.next()
            told = await self._pass_on(ClaimShares(number, claim.version, claim.left, address))
        if told is None:
            told = Shares(claim.number, settled=False)
        frames.send(replace(told, number=claim.number))


def _told(number: int, answer: ShareAnswer | None) -> Shares:
    if answer is None:
        return Shares(number, settled=False)
    return Shares(number, answer.settled, answer.table, answer.age, answer.allowed)
