"""Tokens of other owners: requests that wait for them, whom to ask, and how long for an answer."""

from __future__ import annotations

import math
from collections.abc import Callable

from coralvale.cluster.rate_limit.actions import (
    Action,
    Admitted,
    AskTokens,
    Decided,
    Refused,
    ReturnTokens,
)
from coralvale.cluster.rate_limit.quota import GRANT_LIFE
from coralvale.cluster.rate_limit.tenant import Ask, Tenant, Waiter
from coralvale.cluster.rate_limit.usage import FleetUsage

MOST_ASKED = 64  # tokens asked for at once
MOST_WAITING = 64  # requests of a tenant that wait for tokens
MOST_LATE = 8  # asks of a tenant that were given up and may still be answered
AHEAD = 0.1  # s of what is asked for here, that is asked for beside those that wait
LEAST_TIMEOUT, MOST_TIMEOUT = 0.015, 0.05  # s that a lender has to answer until another is asked as well
ROUND_TRIPS = 2.0  # usual round trips that it has
FIRST_ROUND_TRIP = 0.01  # s, taken for usual until there was one
LEARNING = 0.2  # weight of the newest round trip
SILENT = 1.0  # s for which a lender that did not answer is not asked
MOST_PAUSE = 2.0  # s for which one that had too few is not asked, at most


class Borrowing:
    """`take` gives a token that is here, if there is one; `refuse` the answer to a request that gets none."""

    def __init__(
        self,
        usage: FleetUsage,
        first_number: int,
        take: Callable[[float, Tenant], Admitted | None],
        refuse: Callable[[float, Tenant], Refused],
    ) -> None:
        self.usage, self.number, self.take, self.refuse = usage, first_number, take, refuse
        self.same_zone: frozenset[str] = frozenset()  # addresses in this zone: asked first
        self.round_trip = FIRST_ROUND_TRIP
        self.asking: dict[str, Tenant] = {}
        self.actions: list[Action] = []

    def wait(self, now: float, tenant: Tenant, ticket: object, patience: float) -> bool:
        """A request waits for a token for up to `patience` s; False where there is nobody to ask."""
        if patience <= 0 or len(tenant.waiting) >= MOST_WAITING:
            return False
        if tenant.ask is None and self._lender(now, tenant) is None:
            return False
        tenant.waiting.append(Waiter(ticket, now + patience))
        self._ask(now, tenant)
        return True

    def _lender(self, now: float, tenant: Tenant) -> str | None:
        reachable = [name for name in tenant.lenders if self.usage.is_reachable(now, name)]
        near = [name for name in reachable if name in self.same_zone]
        return tenant.lender(now, self.number, near) or tenant.lender(now, self.number, reachable)

    def _ask(self, now: float, tenant: Tenant) -> None:
        """Asks the next lender for what the waiting need; where there is none they are refused."""
        if tenant.ask is not None or not tenant.waiting:
            return
        lender = self._lender(now, tenant)
        if lender is None:
            while tenant.waiting:
                self._give_up(now, tenant)
            return
        self.number = (self.number + 1) & 0xFFFFFFFF
        count = min(MOST_ASKED, len(tenant.waiting) + int(tenant.demand * AHEAD))
        tenant.ask = Ask(self.number, lender, count, now)
        self.asking[tenant.name] = tenant
        self.actions.append(AskTokens(lender, self.number, tenant.name, count))

    def _give_up(self, now: float, tenant: Tenant) -> None:
        """Refuses the one that has waited longest."""
        ticket = tenant.waiting.popleft().ticket
        self.actions.append(Decided(ticket, self.refuse(now, tenant)))

    def granted(self, now: float, tenant: Tenant, sender: str, number: int, count: int, wait: float) -> None:
        """The answer to an ask. What was not asked for, comes twice, or is from another, is passed over."""
        ask = tenant.ask if tenant.ask and tenant.ask.number == number else tenant.late.pop(number, None)
        if ask is None or ask.to != sender:
            return
        if ask is tenant.ask:
            tenant.ask = None
            self._learn(now, ask)
        if count < ask.count:
            tenant.quiet[sender] = now + min(MOST_PAUSE, max(0.0, wait))
        else:
            tenant.quiet.pop(sender, None)
        if now < ask.sent_at + GRANT_LIFE:
            self._use(now, tenant, ask, min(count, ask.count))
        self._ask(now, tenant)
        self._rest(tenant)

    def _use(self, now: float, tenant: Tenant, ask: Ask, count: int) -> None:
        """Serves those that wait; of what is left is kept what will be asked for before it ends."""
        kept = min(count, len(tenant.waiting) + int(tenant.demand * GRANT_LIFE))
        tenant.stock.add(ask.sent_at + GRANT_LIFE, kept)
        if count > kept:
            self.actions.append(ReturnTokens(ask.to, ask.number, tenant.name, count - kept))
        self._serve(now, tenant)

    def _serve(self, now: float, tenant: Tenant) -> None:
        while tenant.waiting and (admitted := self.take(now, tenant)) is not None:
            self.actions.append(Decided(tenant.waiting.popleft().ticket, admitted))

    def _rest(self, tenant: Tenant) -> None:
        if tenant.ask is None and not tenant.waiting:
            self.asking.pop(tenant.name, None)

    # Time

    def timeout(self) -> float:
        """Seconds that a lender has to answer."""
        return min(MOST_TIMEOUT, max(LEAST_TIMEOUT, ROUND_TRIPS * self.round_trip))

    def _learn(self, now: float, ask: Ask) -> None:
        self.round_trip += LEARNING * (now - ask.sent_at - self.round_trip)

    def due(self) -> float:
        """When `expire` has something to do; inf while nothing is awaited."""
        moments = [math.inf]
        for tenant in self.asking.values():
            if tenant.ask:
                moments.append(tenant.ask.sent_at + self.timeout())
            if tenant.waiting:
                moments.append(tenant.waiting[0].until)
        return min(moments)

    def expire(self, now: float) -> None:
        """Lenders that did not answer are passed over, and requests that waited long enough are refused."""
        for tenant in list(self.asking.values()):
            if tenant.ask and now >= tenant.ask.sent_at + self.timeout():
                self._pass_over(now, tenant, tenant.ask)
            self._serve(now, tenant)
            while tenant.waiting and now >= tenant.waiting[0].until:
                self._give_up(now, tenant)
            self._ask(now, tenant)
            self._rest(tenant)

    def _pass_over(self, now: float, tenant: Tenant, ask: Ask) -> None:
        """It may still answer: what it grants then is of use until it ends."""
        tenant.ask = None
        tenant.quiet[ask.to] = now + SILENT
        self._learn(now, ask)
        tenant.late[ask.number] = ask
        while len(tenant.late) > MOST_LATE:
            del tenant.late[next(iter(tenant.late))]
