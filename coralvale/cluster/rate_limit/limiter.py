"""Rate limiting of tenants at one gateway, without I/O: admission, and token exchange with other gateways.

Two limits apply to each request. The first is the restrictor of the design (NICC ND1621,
`coralvale.restrictor`): a leaky bucket per tenant that is charged one unit per request and refuses above a
threshold of at most the burst (`TenantBucket`). Once per second its leak rate is set to what was admitted
here times the quota over the metered use of all gateways; it is no lower than the quota divided by the number
of gateways, and its rise per update is bounded.

The second keeps all gateways together within the quota and depends on no usage report and on no clock but
each gateway's own: a request needs a token. Tokens come from this gateway's own share of the quota (`escrow`)
or are granted by another owner from its share. A table in the replicated log divides the shares (`shares`).
The invariant and the arithmetic are in docs/design/quotas.md.
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
from coralvale.cluster.rate_limit.borrowing import MAX_BACKOFF_S, MAX_TOKENS_PER_ASK, Borrowing
from coralvale.cluster.rate_limit.escrow import Escrow
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.quota import CellSizes, Quota, Rule
from coralvale.cluster.rate_limit.tenant import Tally, Tenant, TenantBucket
from coralvale.cluster.rate_limit.usage import PERIOD, FleetUsage, TenantUsage, Window

FULL_REPORT_EVERY = 4  # one usage report in so many covers all tenants; the others only those that changed
# Time after a gateway joined or came back in which all usage reports are full: it is ready when it knows all.
FULL_REPORTS_AFTER_JOIN_S = 1.2
IDLE_TIMEOUT_S = 60.0  # without a request; then a tenant's state is dropped
RATE_INTERVAL_S = 0.95  # between leak rate updates: a second, less a margin for timers that fire early
MAX_STEP_S = 2.0  # upper bound of the period from which rates are computed
# Backoff from an owner that has no token, and from one that needs all its tokens itself.
EMPTY_BACKOFF_S, BUSY_BACKOFF_S = 0.25, 1.0
MIN_RETRY_AFTER_S = 0.05  # lower bound of the retry-after time given to clients


class RateLimiter:
    """Rate limiter for all tenants at one gateway.

    Call `take_actions` after each call that may have produced actions, and `expire` no later than `due`.
    """

    def __init__(self, rule: Rule, address: str = "", rng: random.Random | None = None) -> None:
        self.rule, self.cells = rule, CellSizes.of(rule)
        self.holding = Holding(address)
        self.usage = FleetUsage(rule.window)
        self.tenants: dict[str, Tenant] = {}
        self.gateway_count = 1  # gateways that may be serving, including this one
        self.stepped_at = self.rates_set_at = -math.inf
        self.report_count = 0
        # Random start of the ask numbers: answers to asks of the previous process match none of this one's.
        first_number = (rng or random.Random()).getrandbits(24) << 8
        self.borrowing = Borrowing(self.usage, first_number, self._take, self._refuse_without_token)

    # Requests

    def request(
        self, now: float, name: str, rate: float, burst: float, ticket: object = None, max_wait: float = 0.0
    ) -> Verdict:
        """Admits or refuses a request, or queues it for up to `max_wait` s for a token of another gateway.

        `rate`: requests per second, 0 or less for no limit; `burst`: requests; `ticket`: for `Decided`.
        """
        if rate <= 0:
            return Admitted(Source.NONE)
        tenant = self._tenant(now, name, rate, burst)
        tenant.requests_in_step += 1
        bucket = tenant.bucket
        bucket.seen_at = now
        bucket.drain(now)
        # Raises the threshold, up to the burst, to what the local tokens cover, and to one request at least:
        # a bucket below the burst does not refuse the request before a token is looked for.
        bucket.level = bucket.fill + max(1.0, tenant.escrow.available(now))
        if wait := bucket.wait(1.0):
            return self._refuse(tenant, wait)
        if admitted := self._take(now, tenant):
            return admitted
        if self.borrowing.wait(now, tenant, ticket, max_wait):
            return Waiting()
        return self._refuse_without_token(now, tenant)

    def _refuse_without_token(self, now: float, tenant: Tenant) -> Refused:
        """Refuses a request for which no token is available, here or from another gateway."""
        return self._refuse(tenant, self._token_delay(now, tenant))

    def _refuse(self, tenant: Tenant, wait: float) -> Refused:
        tenant.tally.refused += 1
        return Refused(min(MAX_BACKOFF_S, max(MIN_RETRY_AFTER_S, wait)))

    def _token_delay(self, now: float, tenant: Tenant) -> float:
        """Estimated seconds until a token may be available."""
        if not self.holding.version:
            return EMPTY_BACKOFF_S
        backoffs = [until - now for until in tenant.backoff_until.values() if until > now]
        return min([tenant.escrow.wait(), *backoffs])

    def _take(self, now: float, tenant: Tenant) -> Admitted | None:
        """Admits a request with a local token: granted ones first, because they expire soon."""
        if tenant.table_change != self.holding.table_changes:
            self._apply_table(now, tenant)
        if tenant.grant_pool.take(now):
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
        """Refunds an admitted request that was sent to no host.

        The leaky bucket is refunded; the metered use is not reduced, which errs on the safe side. A granted
        token is not returned: its owner counts it as used.
        """
        if tenant := self.tenants.get(name):
            tenant.tally.given_back += 1
            tenant.bucket.refund(1.0, 1.0)
            if admitted.source is Source.OWN:
                tenant.escrow.put_back(now, admitted.taken_at, 1)

    # Quotas and shares

    def _tenant(self, now: float, name: str, rate: float, burst: float) -> Tenant:
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self._add_tenant(now, name, rate, burst)
        elif tenant.rate != rate or tenant.burst != burst:
            self._change_terms(now, tenant, rate, burst)
        elif tenant.bucket.entries != self.gateway_count:
            tenant.bucket.set_plan(tenant.bucket.plan, self.gateway_count)
        if tenant.table_change != self.holding.table_changes:
            self._apply_table(now, tenant)
        return tenant

    def _add_tenant(self, now: float, name: str, rate: float, burst: float) -> Tenant:
        plan = api.Plan(name, rate, max(1.0, burst), excess_cost=1.0)
        tenant = self.tenants[name] = Tenant(
            name,
            rate,
            burst,
            TenantBucket(plan, self.gateway_count, now),
            Quota.of(self.cells, rate, burst),
            self._new_escrow(now),
            Window(self.rule.window, self.rule.window / 50),
        )
        return tenant

    def _new_escrow(self, now: float) -> Escrow:
        """A bucket for newly acquired cells or for a tenant without state."""
        return Escrow(now, self.holding.owned_since, self.holding.with_allowance)

    def _change_terms(self, now: float, tenant: Tenant, rate: float, burst: float) -> None:
        bucket, scale = tenant.bucket, rate / tenant.rate
        bucket.drain(now)
        bucket.set_plan(api.Plan(tenant.name, rate, max(1.0, burst), excess_cost=1.0), self.gateway_count)
        bucket.rate = max(bucket.floor, min(bucket.rate * scale, rate))
        tenant.rate, tenant.burst = rate, burst
        tenant.quota = Quota.of(self.cells, rate, burst)
        self._update_share(now, tenant)

    def _apply_table(self, now: float, tenant: Tenant) -> None:
        """Applies a new share table; a tenant that had no cells here gets a new bucket if it has some now.

        Cells gained by a change of the quota go into the existing bucket instead, because this process may
        have used them under the previous quota.
        """
        had_none = not tenant.size.depth
        self._update_share(now, tenant)
        if had_none and tenant.size.depth:
            tenant.escrow = self._new_escrow(now)
            tenant.escrow.resize(now, tenant.size)

    def _update_share(self, now: float, tenant: Tenant) -> None:
        """Computes the locally owned share of a tenant's quota and the other owners."""
        owners = self.holding.owners(tenant.name, tenant.quota.cells)
        tenant.size = tenant.quota.bucket(owners.pop(self.holding.address, ()))
        tenant.lenders = sorted(owners)
        tenant.escrow.resize(now, tenant.size)
        tenant.backoff_until.clear()
        tenant.table_change = self.holding.table_changes

    # Token exchange with other gateways

    def handle_ask(
        self, now: float, sender: str, number: int, name: str, rate: float, burst: float, count: int
    ) -> None:
        """Answers another gateway's ask with tokens of the local share."""
        if rate <= 0:
            return
        tenant = self._tenant(now, name, rate, burst)
        tenant.bucket.seen_at = now
        granted, wait = 0, BUSY_BACKOFF_S
        if self.holding.is_valid(now):
            granted = tenant.escrow.take(now, min(count, MAX_TOKENS_PER_ASK))
            if granted == count:
                wait = 0.0
            elif tenant.demand <= tenant.escrow.fill_rate:
                wait = max(EMPTY_BACKOFF_S, tenant.escrow.wait())
        if granted:
            tenant.tally.lent += granted
            tenant.lend(sender, number, now, granted)
        answer = GrantTokens(sender, number, name, granted, min(MAX_BACKOFF_S, wait))
        self.borrowing.actions.append(answer)

    def handle_return(self, now: float, sender: str, number: int, name: str, count: int) -> None:
        """Takes back unused tokens of a grant: once per grant, and no more than were granted."""
        if (tenant := self.tenants.get(name)) and (lent := tenant.lent.pop((sender, number), None)):
            tenant.escrow.put_back(now, lent.at, min(count, lent.count))

    def handle_grant(self, now: float, sender: str, number: int, name: str, count: int, wait: float) -> None:
        """Handles the answer to an ask of this gateway."""
        if tenant := self.tenants.get(name):
            self.borrowing.granted(now, tenant, sender, number, count, wait)

    def due(self) -> float:
        """Time of the next timeout, for `expire`; inf if nothing is pending."""
        return self.borrowing.due()

    def expire(self, now: float) -> None:
        """Gives up asks that timed out and refuses requests whose maximum wait is over."""
        self.borrowing.expire(now)

    def take_actions(self) -> list[Action]:
        """Returns and clears the pending actions."""
        actions, self.borrowing.actions = self.borrowing.actions, []
        return actions

    def take_tallies(self) -> dict[str, Tally]:
        """Returns the tallies of tenants with requests refused since the last call; resets all tallies."""
        found = {name: tenant.tally for name, tenant in self.tenants.items() if tenant.tally.refused}
        for tenant in self.tenants.values():
            tenant.tally = Tally()
        return found

    # Usage reports and leak rates

    def usage_report(self, now: float) -> tuple[TenantUsage, bool]:
        """The local usage to report to all gateways, and whether it is full (else only the changes)."""
        whole = (
            self.report_count % FULL_REPORT_EVERY == 0
            or now - self.usage.last_joined_at < FULL_REPORTS_AFTER_JOIN_S
        )
        self.report_count += 1
        use: TenantUsage = {}
        for name, tenant in self.tenants.items():
            newest = (tenant.window.total(now), tenant.admitted_last_step)
            if newest != tenant.last_reported if not whole else newest != (0, 0):
                use[name] = newest
            tenant.last_reported = newest
        return use, whole

    def step(self, now: float) -> None:
        """Ends a period, before a usage report is sent: updates usage and leak rates, drops idle tenants."""
        elapsed = min(MAX_STEP_S, now - self.stepped_at) if self.stepped_at > -math.inf else PERIOD
        self.stepped_at = now
        rates = now - self.rates_set_at >= RATE_INTERVAL_S
        self.rates_set_at = now if rates else self.rates_set_at
        self.usage.drop_stale(now)
        self.gateway_count = self.usage.gateway_count(now)
        for name, tenant in list(self.tenants.items()):
            tenant.step(elapsed, self.usage.elsewhere(name).newest)
            if rates:
                self._update_leak_rate(now, tenant)
            idle = now - tenant.bucket.seen_at > IDLE_TIMEOUT_S
            if idle and not tenant.waiting and not tenant.window.total(now):
                del self.tenants[name]

    def _update_leak_rate(self, now: float, tenant: Tenant) -> None:
        """Sets a tenant's leak rate from the metered use."""
        bucket = tenant.bucket
        bucket.record_reading(now, tenant.fleet_rate / bucket.plan.rate)
        bucket.own_late = tenant.own_rate  # of the same age as the reading
        bucket.step(now)
