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
from collections.abc import Iterable
from enum import Enum, unique

from attrs import frozen

from coralvale import interface as api
from coralvale.cluster.rate_limit.escrow import Escrow
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.quota import GRANT_LIFE, Quota, Rule
from coralvale.cluster.rate_limit.tenant import Ask, Tenant, TenantBucket, Waiter
from coralvale.cluster.rate_limit.terms import DivisionChanges, TermsChange
from coralvale.cluster.rate_limit.usage import PERIOD, FleetUsage, Use, Window

WHOLE_EVERY = 4  # words of which one tells of all tenants; the others of those of whom there is news
MET = 1.2  # s after a gateway was met, or came back, in which all words are whole: it is ready when it knows all
IDLE = 60.0  # s without a request after which a tenant's state is forgotten
RATED = 0.95  # s between new leak rates, less what timers go off early
LONGEST_STEP = 2.0  # s of a period that rates are worked out from, at most
MOST_ASKED = 64  # tokens asked for at once
MOST_WAITING = 64  # requests of a tenant that wait for tokens
MOST_LATE = 8  # asks of a tenant that were given up and may still be answered
AHEAD = 0.1  # s of what is asked for here, that is asked for beside those that wait
LEAST_TIMEOUT, MOST_TIMEOUT = 0.015, 0.05  # s that a lender has to answer until another is asked as well
ROUND_TRIPS = 2.0  # usual round trips that it has
FIRST_ROUND_TRIP = 0.01  # s, taken for usual until there was one
LEARNING = 0.2  # weight of the newest round trip
SILENT = 1.0  # s for which a lender that did not answer is not asked
EMPTY, BUSY = 0.25, 1.0  # s for which an empty lender is not asked; the same where it needs all for itself
MOST_PAUSE = 2.0  # s, of these and of what a client is told, at most
LEAST_PAUSE = 0.05  # s that a client is told to wait, at least


@unique
class Source(Enum):
    """Where the token of a request came from."""

    OWN = "own part"
    GRANTED = "granted by another"
    NONE = "no limit"


@frozen
class Admitted:
    source: Source


@frozen
class Refused:
    """`wait`: s after which the client may come back."""

    wait: float


@frozen
class Waiting:
    """A token is being asked for: a `Decided` follows."""


Verdict = Admitted | Refused | Waiting


@frozen
class Decided:
    """What becomes of a request that waited, by the ticket that it was entered with."""

    ticket: object
    verdict: Admitted | Refused


@frozen
class AskTokens:
    """To be sent to another owner."""

    to: str
    number: int
    tenant: str
    count: int


@frozen
class GrantTokens:
    """The answer to an ask. `wait`: s for which it is of no use to ask again, where fewer are granted."""

    to: str
    number: int
    tenant: str
    count: int
    wait: float


@frozen
class ReturnTokens:
    """Granted tokens that were not used and never will be. `number`: of the ask that they were granted for."""

    to: str
    number: int
    tenant: str
    count: int


Action = Decided | AskTokens | GrantTokens | ReturnTokens


class RateLimiter:
    """All tenants at one gateway. Call `take_actions` after each call that may have led to some, and `expire`
    no later than `due`."""

    def __init__(self, rule: Rule, address: str = "", chance: random.Random | None = None) -> None:
        self.rule = rule
        self.holding = Holding(address)
        self.usage = FleetUsage(rule.window)
        self.tenants: dict[str, Tenant] = {}
        self.refused: dict[str, int] = {}
        self.count = 1  # gateways that may be serving, this one too
        self.near: frozenset[str] = frozenset()  # addresses in this zone: asked first
        self.divisions = DivisionChanges(self.holding, self.usage.version_of)
        self.divided: dict[str, float] = {}  # by tenant, since when it is divided otherwise; inf: just now
        self.stepped = self.rated = -math.inf
        self.words = 0
        self.actions: list[Action] = []
        self.asking: dict[str, Tenant] = {}
        # Numbers go on from one of this process's own: an answer to the one before it is nobody's.
        self.number = (chance or random.Random()).getrandbits(24) << 8
        self.round_trip = FIRST_ROUND_TRIP

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
        if (source := self._take(now, tenant)) is not None:
            tenant.charge(now)
            return Admitted(source)
        if patience <= 0 or len(tenant.waiting) >= MOST_WAITING:
            return self._refuse(tenant, self._pause(now, tenant))
        if tenant.ask is None and self._lender(now, tenant) is None:
            return self._refuse(tenant, self._pause(now, tenant))
        tenant.waiting.append(Waiter(ticket, now + patience))
        self._ask(now, tenant)
        return Waiting()

    def _refuse(self, tenant: Tenant, wait: float) -> Refused:
        self.refused[tenant.name] = self.refused.get(tenant.name, 0) + 1
        return Refused(min(MOST_PAUSE, max(LEAST_PAUSE, wait)))

    def _pause(self, now: float, tenant: Tenant) -> float:
        """Seconds after which a token may be here."""
        if not self.holding.version:
            return EMPTY
        quiet = [until - now for until in tenant.quiet.values() if until > now]
        return min([tenant.escrow.wait(), *quiet])

    def _take(self, now: float, tenant: Tenant) -> Source | None:
        """A token that is here: granted ones first, they end soon."""
        if tenant.table != self.holding.changes:
            self._divide(now, tenant)
        if tenant.stock.take(now):
            return Source.GRANTED
        if self.holding.is_valid(now) and tenant.escrow.take(now, 1):
            return Source.OWN
        return None

    def refund(self, name: str, source: Source) -> None:
        """A request that was let in was sent to no host: the bucket has it back, the meter keeps to the safe
        side. A granted token is not given back: its owner counts it as used."""
        if tenant := self.tenants.get(name):
            tenant.bucket.refund(1.0, 1.0)
            if source is Source.OWN:
                tenant.escrow.put_back(1)

    # Terms and parts

    def terms_change(self, version: int, changes: Iterable[TermsChange]) -> None:
        """A newer configuration is in force."""
        for change in changes:
            before, after = change.before, change.after
            if before.rate <= 0 or after.rate <= 0:
                continue
            parts = Quota.of(self.rule, before.rate, before.burst).parts
            if parts != Quota.of(self.rule, after.rate, after.burst).parts:
                self.divisions.note(change.tenant, parts, version)
                self.divided[change.tenant] = math.inf

    def _of(self, now: float, name: str, rate: float, burst: float) -> Tenant:
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self._begin(now, name, rate, burst)
        elif tenant.rate != rate or tenant.burst != burst:
            self._change_terms(now, tenant, rate, burst)
        elif tenant.bucket.entries != self.count:
            tenant.bucket.settle(tenant.bucket.plan, self.count)
        if tenant.table != self.holding.changes:
            self._divide(now, tenant)
        return tenant

    def _begin(self, now: float, name: str, rate: float, burst: float) -> Tenant:
        plan = api.Plan(name, rate, max(1.0, burst), excess_cost=1.0)
        tenant = self.tenants[name] = Tenant(
            name,
            rate,
            burst,
            TenantBucket(plan, self.count, now),
            Quota.of(self.rule, rate, burst),
            self._empty(now, name),
            Window(self.rule.window, self.rule.window / 50),
        )
        return tenant

    def _empty(self, now: float, name: str) -> Escrow:
        """For what has come to be owned here: by the table, or as the quota is divided otherwise."""
        divided = min(now, self.divided.get(name, -math.inf))
        if divided > self.holding.since:
            return Escrow(now, divided)
        return Escrow(now, self.holding.since, self.holding.allowed)

    def _change_terms(self, now: float, tenant: Tenant, rate: float, burst: float) -> None:
        bucket, scale = tenant.bucket, rate / tenant.rate
        bucket.drain(now)
        bucket.settle(api.Plan(tenant.name, rate, max(1.0, burst), excess_cost=1.0), self.count)
        bucket.rate = max(bucket.floor, min(bucket.rate * scale, rate))
        tenant.rate, tenant.burst = rate, burst
        tenant.quota = Quota.of(self.rule, rate, burst)
        tenant.table = -1

    def _divide(self, now: float, tenant: Tenant) -> None:
        """What is owned here of a tenant's quota."""
        holding, quota = self.holding, tenant.quota
        owners = holding.owners(tenant.name, quota.parts)
        before, tenant.owned = tenant.owned, owners.pop(holding.address, 0)
        if tenant.owned and not before:
            tenant.escrow = self._empty(now, tenant.name)
        tenant.lenders = sorted(owners)
        share = tenant.owned / quota.parts
        tenant.escrow.settle(now, quota, share * self.divisions.scale(tenant.name, quota.parts))
        tenant.quiet.clear()
        tenant.table = holding.changes

    # Tokens of others

    def _lender(self, now: float, tenant: Tenant) -> str | None:
        reachable = [name for name in tenant.lenders if self.usage.in_reach(now, name)]
        near = [name for name in reachable if name in self.near]
        return tenant.lender(now, self.number, near) or tenant.lender(now, self.number, reachable)

    def _ask(self, now: float, tenant: Tenant) -> None:
        """Asks the next lender for what the waiting need; where there is none they are refused."""
        if tenant.ask is not None or not tenant.waiting:
            return
        lender = self._lender(now, tenant)
        if lender is None:
            while tenant.waiting:
                self._give_up(now, tenant, tenant.waiting.popleft())
            return
        self.number = (self.number + 1) & 0xFFFFFFFF
        count = min(MOST_ASKED, len(tenant.waiting) + int(tenant.demand * AHEAD))
        tenant.ask = Ask(self.number, lender, count, now)
        self.asking[tenant.name] = tenant
        self.actions.append(AskTokens(lender, self.number, tenant.name, count))

    def _give_up(self, now: float, tenant: Tenant, waiter: Waiter) -> None:
        refused = self._refuse(tenant, self._pause(now, tenant))
        self.actions.append(Decided(waiter.ticket, refused))

    def asked(
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
            tenant.lend(sender, number, granted)
        self.actions.append(GrantTokens(sender, number, name, granted, min(MOST_PAUSE, wait)))

    def returned(self, sender: str, number: int, name: str, count: int) -> None:
        """Tokens granted out of what is owned here come back: once for each grant, and no more than it had."""
        if (tenant := self.tenants.get(name)) and (lent := tenant.lent.pop((sender, number), 0)):
            tenant.escrow.put_back(min(count, lent))

    def granted(self, now: float, sender: str, number: int, name: str, count: int, wait: float) -> None:
        """The answer to an ask. What was not asked for, comes twice, or is from another, is passed over."""
        tenant = self.tenants.get(name)
        if tenant is None:
            return
        ask = tenant.ask if tenant.ask and tenant.ask.number == number else tenant.late.pop(number, None)
        if ask is None or ask.to != sender:
            return
        if ask is tenant.ask:
            tenant.ask = None
            self.round_trip += LEARNING * (now - ask.sent_at - self.round_trip)
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
        while tenant.waiting and (source := self._take(now, tenant)) is not None:
            tenant.charge(now)
            self.actions.append(Decided(tenant.waiting.popleft().ticket, Admitted(source)))

    def _rest(self, tenant: Tenant) -> None:
        if tenant.ask is None and not tenant.waiting:
            self.asking.pop(tenant.name, None)

    def timeout(self) -> float:
        """Seconds that a lender has to answer."""
        return min(MOST_TIMEOUT, max(LEAST_TIMEOUT, ROUND_TRIPS * self.round_trip))

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
                self._give_up(now, tenant, tenant.waiting.popleft())
            self._ask(now, tenant)
            self._rest(tenant)

    def _pass_over(self, now: float, tenant: Tenant, ask: Ask) -> None:
        """It may still answer: what it grants then is of use until it ends."""
        tenant.ask = None
        tenant.quiet[ask.to] = now + SILENT
        self.round_trip += LEARNING * (now - ask.sent_at - self.round_trip)
        tenant.late[ask.number] = ask
        while len(tenant.late) > MOST_LATE:
            del tenant.late[next(iter(tenant.late))]

    def take_actions(self) -> list[Action]:
        """What is to be done, each once."""
        actions, self.actions = self.actions, []
        return actions

    # Words

    def told(self, now: float) -> tuple[Use, bool]:
        """What this gateway says of itself, to be told to all; whether it is whole, or only what has
        changed."""
        whole = self.words % WHOLE_EVERY == 0 or now - self.usage.met < MET
        self.words += 1
        use: Use = {}
        for name, tenant in self.tenants.items():
            newest = (tenant.window.total(now), tenant.newest)
            if newest != tenant.told if not whole else newest != (0, 0):
                use[name] = newest
            tenant.told = newest
        return use, whole

    def step(self, now: float) -> None:
        """Before a word is sent: new leak rates."""
        elapsed = min(LONGEST_STEP, now - self.stepped) if self.stepped > -math.inf else PERIOD
        self.stepped = now
        rates = now - self.rated >= RATED
        self.rated = now if rates else self.rated
        self.usage.forget_old(now)
        self.count = self.usage.count(now)
        for name, since in list(self.divided.items()):
            if since == math.inf:
                self.divided[name] = now
            elif now - since > IDLE:
                del self.divided[name]
        for name in self.divisions.forget():
            if name in self.tenants:
                self.tenants[name].table = -1
        for name, tenant in list(self.tenants.items()):
            tenant.step(elapsed, self.usage.elsewhere(name).newest)
            bucket = tenant.bucket
            if rates:
                bucket.heard(now, tenant.use / bucket.plan.rate)
                bucket.own_late = tenant.mine  # as old as the reading is
                bucket.step(now)
            if now - bucket.seen_at > IDLE and not tenant.waiting and not tenant.window.total(now):
                del self.tenants[name]
                self.asking.pop(name, None)
