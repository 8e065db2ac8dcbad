"""The limit of tenants at one gateway, without I/O: what is let in, and what gateways ask of each other for it.

The ordinary path is the design's restrictor (NICC ND1621, `coralvale.restrictor`): a bucket for each tenant
that is charged one a request, refuses past a threshold that no class may fill beyond the burst, and whose leak
rate becomes, each second, what was let through times the quota over metered use, no lower than the quota split
over the gateways and rising by a bound at most.

What holds all gateways together within the quota is beside it, and rests on no reading and on no clock but
each gateway's own: a request needs a token. Tokens come from this gateway's own part of the quota (`escrow`),
or were granted by another owner out of its part. Parts are divided by a table that the replicated log keeps
(`shares`). The invariant, and the arithmetic: docs/design/quotas.md.
"""

from __future__ import annotations

import math
import random

from coralvale import interface as api
from coralvale.cluster.rate_limit.actions import (
    Action,
    Admitted,
    GrantTokens,
    Refused,
    Source,
    Verdict,
    Waiting,
)
from coralvale.cluster.rate_limit.borrowing import MOST_ASKED, MOST_PAUSE, Borrowing
from coralvale.cluster.rate_limit.escrow import Escrow
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.quota import CellSizes, Quota, Rule
from coralvale.cluster.rate_limit.tenant import Tally, Tenant, TenantBucket
from coralvale.cluster.rate_limit.usage import PERIOD, FleetUsage, TenantUsage, Window

WHOLE_EVERY = 4  # words of which one tells of all tenants; the others of those of whom there is news
MET = 1.2  # s after a gateway was met, or came back, in which all words are whole: it is ready when it knows all
IDLE = 60.0  # s without a request after which a tenant's state is forgotten
RATED = 0.95  # s between new leak rates, less what timers go off early
LONGEST_STEP = 2.0  # s of a period that rates are worked out from, at most
EMPTY, BUSY = 0.25, 1.0  # s for which an empty owner is of no use; the same where it needs all for itself
LEAST_PAUSE = 0.05  # s that a client is told to wait, at least


class RateLimiter:
    """All tenants at one gateway. Call `take_actions` after each call that may have led to some, and `expire`
    no later than `due`."""

    def __init__(self, rule: Rule, address: str = "", chance: random.Random | None = None) -> None:
        self.rule, self.cells = rule, CellSizes.of(rule)
        self.holding = Holding(address)
        self.usage = FleetUsage(rule.window)
        self.tenants: dict[str, Tenant] = {}
        self.count = 1  # gateways that may be serving, this one too
        self.stepped_at = self.rated = -math.inf
        self.words = 0
        # Numbers go on from one of this process's own: an answer to the one before it is nobody's.
        first_number = (chance or random.Random()).getrandbits(24) << 8
        self.borrowing = Borrowing(self.usage, first_number, self._take, self._refuse_late)

    # The request's path

    def request(
        self, now: float, name: str, rate: float, burst: float, ticket: object = None, patience: float = 0.0
    ) -> Verdict:
        """`patience`: s that the request may wait for a token; without it only those that are here count."""
        if rate <= 0:
            return Admitted(Source.NONE)
        tenant = self._of(now, name, rate, burst)
        tenant.asked += 1
        bucket = tenant.bucket
        bucket.seen_at = now
        bucket.drain(now)
        bucket.level = bucket.fill + max(1.0, tenant.escrow.available(now))
        if wait := bucket.wait(1.0):
            return self._refuse(tenant, wait)
        if admitted := self._take(now, tenant):
            return admitted
        if self.borrowing.wait(now, tenant, ticket, patience):
            return Waiting()
        return self._refuse_late(now, tenant)

    def _refuse_late(self, now: float, tenant: Tenant) -> Refused:
        """There is no token, here or elsewhere."""
        return self._refuse(tenant, self._pause(now, tenant))

    def _refuse(self, tenant: Tenant, wait: float) -> Refused:
        tenant.tally.refused += 1
        return Refused(min(MOST_PAUSE, max(LEAST_PAUSE, wait)))

    def _pause(self, now: float, tenant: Tenant) -> float:
        """Seconds after which a token may be here."""
        if not self.holding.version:
            return EMPTY
        quiet = [until - now for until in tenant.quiet.values() if until > now]
        return min([tenant.escrow.wait(), *quiet])

    def _take(self, now: float, tenant: Tenant) -> Admitted | None:
        """Lets a request in by a token that is here: granted ones first, they end soon."""
        if tenant.table != self.holding.changes:
            self._follow_table(now, tenant)
        if tenant.stock.take(now):
            source = Source.GRANTED
            tenant.tally.granted += 1
        elif self.holding.is_valid(now) and tenant.escrow.take(now, 1):
            source = Source.OWN
            tenant.tally.own += 1
        else:
            return None
        tenant.charge(now)
        return Admitted(source, now)

    def refund(self, now: float, name: str, admitted: Admitted) -> None:
        """A request that was let in was sent to no host: the bucket has it back, the meter keeps to the safe
        side. A granted token is not given back: its owner counts it as used."""
        if tenant := self.tenants.get(name):
            tenant.tally.given_back += 1
            tenant.bucket.refund(1.0, 1.0)
            if admitted.source is Source.OWN:
                tenant.escrow.put_back(now, admitted.taken_at, 1)

    # Terms, and what is owned

    def _of(self, now: float, name: str, rate: float, burst: float) -> Tenant:
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self._begin(now, name, rate, burst)
        elif tenant.rate != rate or tenant.burst != burst:
            self._change_terms(now, tenant, rate, burst)
        elif tenant.bucket.entries != self.count:
            tenant.bucket.settle(tenant.bucket.plan, self.count)
        if tenant.table != self.holding.changes:
            self._follow_table(now, tenant)
        return tenant

    def _begin(self, now: float, name: str, rate: float, burst: float) -> Tenant:
        plan = api.Plan(name, rate, max(1.0, burst), excess_cost=1.0)
        tenant = self.tenants[name] = Tenant(
            name,
            rate,
            burst,
            TenantBucket(plan, self.count, now),
            Quota.of(self.cells, rate, burst),
            self._new_escrow(now),
            Window(self.rule.window, self.rule.window / 50),
        )
        return tenant

    def _new_escrow(self, now: float) -> Escrow:
        """For cells that have come to be owned here, or of a tenant that nothing is known of."""
        return Escrow(now, self.holding.owned_since, self.holding.allowed)

    def _change_terms(self, now: float, tenant: Tenant, rate: float, burst: float) -> None:
        bucket, scale = tenant.bucket, rate / tenant.rate
        bucket.drain(now)
        bucket.settle(api.Plan(tenant.name, rate, max(1.0, burst), excess_cost=1.0), self.count)
        bucket.rate = max(bucket.floor, min(bucket.rate * scale, rate))
        tenant.rate, tenant.burst = rate, burst
        tenant.quota = Quota.of(self.cells, rate, burst)
        self._settle(now, tenant)

    def _follow_table(self, now: float, tenant: Tenant) -> None:
        """Another table may have brought cells of a tenant that had none here. What new terms bring instead is
        in the bucket that there is: under the terms before, this process may have used it."""
        had_none = not tenant.size.depth
        self._settle(now, tenant)
        if had_none and tenant.size.depth:
            tenant.escrow = self._new_escrow(now)
            tenant.escrow.settle(now, tenant.size)

    def _settle(self, now: float, tenant: Tenant) -> None:
        """Works out what is owned here of a tenant's quota."""
        owners = self.holding.owners(tenant.name, tenant.quota.cells)
        tenant.size = tenant.quota.bucket(owners.pop(self.holding.address, ()))
        tenant.lenders = sorted(owners)
        tenant.escrow.settle(now, tenant.size)
        tenant.quiet.clear()
        tenant.table = self.holding.changes

    # What gateways ask of each other

    def handle_ask(
        self, now: float, sender: str, number: int, name: str, rate: float, burst: float, count: int
    ) -> None:
        """Another gateway asks for tokens out of what is owned here."""
        if rate <= 0:
            return
        tenant = self._of(now, name, rate, burst)
        tenant.bucket.seen_at = now
        granted, wait = 0, BUSY
        if self.holding.is_valid(now):
            granted = tenant.escrow.take(now, min(count, MOST_ASKED))
            if granted == count:
                wait = 0.0
            elif tenant.demand <= tenant.escrow.fill:
                wait = max(EMPTY, tenant.escrow.wait())
        if granted:
            tenant.tally.lent += granted
            tenant.lend(sender, number, now, granted)
        answer = GrantTokens(sender, number, name, granted, min(MOST_PAUSE, wait))
        self.borrowing.actions.append(answer)

    def handle_return(self, now: float, sender: str, number: int, name: str, count: int) -> None:
        """Tokens granted out of what is owned here come back: once for each grant, and no more than it had."""
        if (tenant := self.tenants.get(name)) and (lent := tenant.lent.pop((sender, number), None)):
            tenant.escrow.put_back(now, lent.at, min(count, lent.count))

    def handle_grant(self, now: float, sender: str, number: int, name: str, count: int, wait: float) -> None:
        """The answer to an ask of this gateway."""
        if tenant := self.tenants.get(name):
            self.borrowing.granted(now, tenant, sender, number, count, wait)

    def due(self) -> float:
        """When `expire` has something to do; inf while nothing is awaited."""
        return self.borrowing.due()

    def expire(self, now: float) -> None:
        """Lenders that did not answer are passed over, and requests that waited long enough are refused."""
        self.borrowing.expire(now)

    def take_actions(self) -> list[Action]:
        """What is to be done, each once."""
        actions, self.borrowing.actions = self.borrowing.actions, []
        return actions

    def take_tallies(self) -> dict[str, Tally]:
        """Of tenants that were refused something since the last call, what became of their requests."""
        found = {name: tenant.tally for name, tenant in self.tenants.items() if tenant.tally.refused}
        for tenant in self.tenants.values():
            tenant.tally = Tally()
        return found

    # Words

    def usage_report(self, now: float) -> tuple[TenantUsage, bool]:
        """What this gateway says of itself, to be told to all; whether it is whole, or only what has
        changed."""
        whole = self.words % WHOLE_EVERY == 0 or now - self.usage.met < MET
        self.words += 1
        use: TenantUsage = {}
        for name, tenant in self.tenants.items():
            newest = (tenant.window.total(now), tenant.newest)
            if newest != tenant.last_reported if not whole else newest != (0, 0):
                use[name] = newest
            tenant.last_reported = newest
        return use, whole

    def step(self, now: float) -> None:
        """Before a word is sent: new leak rates."""
        elapsed = min(LONGEST_STEP, now - self.stepped_at) if self.stepped_at > -math.inf else PERIOD
        self.stepped_at = now
        rates = now - self.rated >= RATED
        self.rated = now if rates else self.rated
        self.usage.drop_stale(now)
        self.count = self.usage.gateway_count(now)
        for name, tenant in list(self.tenants.items()):
            tenant.step(elapsed, self.usage.elsewhere(name).newest)
            if rates:
                self._rate(now, tenant)
            idle = now - tenant.bucket.seen_at > IDLE
            if idle and not tenant.waiting and not tenant.window.total(now):
                del self.tenants[name]

    def _rate(self, now: float, tenant: Tenant) -> None:
        """A new leak rate."""
        bucket = tenant.bucket
        bucket.heard(now, tenant.fleet_rate / bucket.plan.rate)
        bucket.own_late = tenant.own_rate  # as old as the reading is
        bucket.step(now)
