"""Borrowing tokens from other gateways: waiting requests, choice of the lender, and timeouts."""

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
from coralvale.cluster.rate_limit.quota import GRANT_LIFETIME_S
from coralvale.cluster.rate_limit.tenant import Ask, Tenant, Waiter
from coralvale.cluster.rate_limit.usage import FleetUsage

MAX_TOKENS_PER_ASK = 64
MAX_WAITING_REQUESTS = 64  # per tenant
MAX_LATE_ASKS = 8  # per tenant: asks that timed out and may still be answered
PREFETCH_S = 0.1  # an ask covers the waiting requests and the demand of this time
# Bounds of the timeout of an ask, after which another lender is asked as well.
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.015, 0.05
TIMEOUT_ROUND_TRIPS = 2.0  # timeout in smoothed round trips
INITIAL_ROUND_TRIP_S = 0.01  # estimate before the first answer
ROUND_TRIP_WEIGHT = 0.2  # weight of the newest round trip in the estimate
SILENT_BACKOFF_S = 1.0  # a lender that did not answer is not asked for this time
MAX_BACKOFF_S = 2.0  # upper bound of the time for which a lender that had too few tokens is not asked


class Borrowing:
    """Asks other gateways for tokens, one ask per tenant at a time, and decides requests that wait for them.

    `take` takes a token that is available locally, if there is one; `refuse` makes the answer to a request
    that gets none. What is to be sent and decided is appended to `actions`.
    """

    def __init__(
        self,
        usage: FleetUsage,
        first_number: int,
        take: Callable[[float, Tenant], Admitted | None],
        refuse: Callable[[float, Tenant], Refused],
    ) -> None:
        self.usage, self.number, self.take, self.refuse = usage, first_number, take, refuse
        self.same_zone: frozenset[str] = frozenset()  # gateways in this zone, preferred as lenders
        self.round_trip = INITIAL_ROUND_TRIP_S
        self.pending: dict[str, Tenant] = {}
        self.actions: list[Action] = []

    def wait(self, now: float, tenant: Tenant, ticket: object, max_wait: float) -> bool:
        """Queues a request for up to `max_wait` s. False if the queue is full or there is no lender."""
        if max_wait <= 0 or len(tenant.waiting) >= MAX_WAITING_REQUESTS:
            return False
        if tenant.ask is None and self._lender(now, tenant) is None:
            return False
        tenant.waiting.append(Waiter(ticket, now + max_wait))
        self._ask(now, tenant)
        return True

    def _lender(self, now: float, tenant: Tenant) -> str | None:
        reachable = [name for name in tenant.lenders if self.usage.is_reachable(now, name)]
        near = [name for name in reachable if name in self.same_zone]
        return tenant.lender(now, self.number, near) or tenant.lender(now, self.number, reachable)

    def _ask(self, now: float, tenant: Tenant) -> None:
        """Asks the next lender for the waiting requests; refuses them all if there is no lender."""
        if tenant.ask is not None or not tenant.waiting:
            return
        lender = self._lender(now, tenant)
        if lender is None:
            while tenant.waiting:
                self._refuse_oldest(now, tenant)
            return
        self.number = (self.number + 1) & 0xFFFFFFFF
        count = min(MAX_TOKENS_PER_ASK, len(tenant.waiting) + int(tenant.demand * PREFETCH_S))
        tenant.ask = Ask(self.number, lender, count, now)
        self.pending[tenant.name] = tenant
        self.actions.append(AskTokens(lender, self.number, tenant.name, count))

    def _refuse_oldest(self, now: float, tenant: Tenant) -> None:
        """Refuses the request that has waited longest."""
        ticket = tenant.waiting.popleft().ticket
        self.actions.append(Decided(ticket, self.refuse(now, tenant)))

    def granted(self, now: float, tenant: Tenant, sender: str, number: int, count: int, wait: float) -> None:
        """Handles the answer to an ask; ignores unknown numbers, duplicates and answers of another sender."""
        ask = tenant.ask if tenant.ask and tenant.ask.number == number else tenant.late_asks.pop(number, None)
        if ask is None or ask.to != sender:
            return
        if ask is tenant.ask:
            tenant.ask = None
            self._update_round_trip(now, ask)
        if count < ask.count:
            tenant.backoff_until[sender] = now + min(MAX_BACKOFF_S, max(0.0, wait))
        else:
            tenant.backoff_until.pop(sender, None)
        if now < ask.sent_at + GRANT_LIFETIME_S:
            self._use_grant(now, tenant, ask, min(count, ask.count))
        self._ask(now, tenant)
        self._forget_if_idle(tenant)

    def _use_grant(self, now: float, tenant: Tenant, ask: Ask, count: int) -> None:
        """Serves waiting requests, keeps what the demand uses before the grant expires, returns the rest."""
        kept = min(count, len(tenant.waiting) + int(tenant.demand * GRANT_LIFETIME_S))
        tenant.grant_pool.add(ask.sent_at + GRANT_LIFETIME_S, kept)
        if count > kept:
            self.actions.append(ReturnTokens(ask.to, ask.number, tenant.name, count - kept))
        self._serve(now, tenant)

    def _serve(self, now: float, tenant: Tenant) -> None:
        while tenant.waiting and (admitted := self.take(now, tenant)) is not None:
            self.actions.append(Decided(tenant.waiting.popleft().ticket, admitted))

    def _forget_if_idle(self, tenant: Tenant) -> None:
        if tenant.ask is None and not tenant.waiting:
            self.pending.pop(tenant.name, None)

    # Timeouts

    def timeout(self) -> float:
        """Seconds after which an unanswered ask times out."""
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_ROUND_TRIPS * self.round_trip))

    def _update_round_trip(self, now: float, ask: Ask) -> None:
        self.round_trip += ROUND_TRIP_WEIGHT * (now - ask.sent_at - self.round_trip)

    def due(self) -> float:
        """Time of the next timeout, for `expire`; inf if nothing is pending."""
        moments = [math.inf]
        for tenant in self.pending.values():
            if tenant.ask:
                moments.append(tenant.ask.sent_at + self.timeout())
            if tenant.waiting:
                moments.append(tenant.waiting[0].until)
        return min(moments)

    def expire(self, now: float) -> None:
        """Gives up asks that timed out and refuses requests whose maximum wait is over."""
        for tenant in list(self.pending.values()):
            if tenant.ask and now >= tenant.ask.sent_at + self.timeout():
                self._abandon_ask(now, tenant, tenant.ask)
            self._serve(now, tenant)
            while tenant.waiting and now >= tenant.waiting[0].until:
                self._refuse_oldest(now, tenant)
            self._ask(now, tenant)
            self._forget_if_idle(tenant)

    def _abandon_ask(self, now: float, tenant: Tenant, ask: Ask) -> None:
        """Gives up an ask that timed out. A late answer is still used until its tokens expire."""
        tenant.ask = None
        tenant.backoff_until[ask.to] = now + SILENT_BACKOFF_S
        self._update_round_trip(now, ask)
        tenant.late_asks[ask.number] = ask
        while len(tenant.late_asks) > MAX_LATE_ASKS:
            del tenant.late_asks[next(iter(tenant.late_asks))]
