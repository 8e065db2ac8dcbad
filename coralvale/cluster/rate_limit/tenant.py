"""State of one tenant at one gateway: leaky bucket, owned share of the quota, and asks to other owners."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

from coralvale import interface as api
from coralvale.cluster.rate_limit.escrow import Escrow, GrantPool, Withdrawal
from coralvale.cluster.rate_limit.quota import EMPTY_BUCKET, BucketSize, Quota
from coralvale.cluster.rate_limit.usage import PERIOD, Window
from coralvale.restrictor import Restrictor

MIN_RATE = 1e-6  # requests per second; keeps the divisor above zero
MAX_LENT_GRANTS = 256  # newest grants per tenant whose unused tokens can be returned
SMOOTHING_WEIGHT = 0.5  # weight of the newest period (half a second) in a smoothed rate


class TenantBucket(Restrictor):
    """The leaky bucket of the design (NICC ND1621), with a threshold that follows the local tokens.

    The threshold is the burst scaled with the leak rate, raised to `level` up to the burst: this first limit
    refuses nothing below the burst for which this gateway has tokens.
    """

    def __init__(self, plan: api.Plan, entries: int, now: float) -> None:
        self.level = 0.0  # the fill after using all tokens available here, or one if there are none
        super().__init__(plan, entries, now, now)

    def threshold(self, units: float) -> float:
        part = self.plan.burst * min(1.0, self.rate / max(self.plan.rate, MIN_RATE))
        return max(units, part, min(self.plan.burst, self.level))


@frozen
class Waiter:
    """A request that waits for a granted token, at most until `until` (s)."""

    ticket: object
    until: float


@frozen
class Ask:
    """An ask for tokens that was sent to another owner."""

    number: int
    to: str
    count: int
    sent_at: float


@define
class Tally:
    """Counts of one tenant's requests and tokens since the last tally."""

    refused: int = 0
    own: int = 0  # admitted with tokens of this gateway's own share
    granted: int = 0  # admitted with tokens granted by other owners
    given_back: int = 0  # refunded: admitted, but sent to no host
    lent: int = 0  # tokens granted to other gateways


@define(eq=False)
class Tenant:
    """Rate limiting state of one tenant at this gateway. `rate`: requests per second; `burst`: requests."""

    name: str
    rate: float
    burst: float
    bucket: TenantBucket
    quota: Quota
    escrow: Escrow
    window: Window  # requests admitted here
    table_change: int = -1  # `Holding.table_changes` that `size` and `lenders` were computed from
    size: BucketSize = EMPTY_BUCKET  # bucket size of the share owned here
    lenders: list[str] = field(factory=list)  # addresses of the other owners
    grant_pool: GrantPool = field(factory=GrantPool)
    waiting: deque[Waiter] = field(factory=deque)
    ask: Ask | None = None  # the outstanding ask
    late_asks: dict[int, Ask] = field(factory=dict)  # timed out, by number: a late answer may still be useful
    backoff_until: dict[str, float] = field(factory=dict)  # by lender: not asked before this time, s
    lent: dict[tuple[str, int], Withdrawal] = field(factory=dict)  # by borrower and the number of its ask
    admitted_in_step: int = 0  # admitted since the last step
    admitted_last_step: int = 0  # admitted in the period before the last step
    requests_in_step: int = 0  # requests since the last step, including refused ones
    own_rate: float = 0.0  # requests admitted here per second, smoothed
    demand: float = 0.0  # requests per second, including refused ones, smoothed
    fleet_rate: float = 0.0  # requests admitted by all gateways per second, smoothed
    last_reported: tuple[int, int] = (0, 0)
    tally: Tally = field(factory=Tally)

    def charge(self, now: float) -> None:
        """Counts an admitted request."""
        self.bucket.charge(1.0)
        self.admitted_in_step += 1
        self.window.add(now, 1)

    def lend(self, to: str, number: int, now: float, count: int) -> None:
        """Records tokens granted to another gateway, so that it can return unused ones."""
        self.lent[to, number] = Withdrawal(now, count)
        while len(self.lent) > MAX_LENT_GRANTS:
            del self.lent[next(iter(self.lent))]

    def step(self, elapsed: float, newest_elsewhere: int) -> None:
        """Updates the smoothed rates at the end of a period of `elapsed` s."""
        self.admitted_last_step, self.admitted_in_step = self.admitted_in_step, 0
        asked, self.requests_in_step = self.requests_in_step, 0
        self.own_rate += SMOOTHING_WEIGHT * (self.admitted_last_step / elapsed - self.own_rate)
        self.demand += SMOOTHING_WEIGHT * (asked / elapsed - self.demand)
        self.fleet_rate += SMOOTHING_WEIGHT * (
            self.admitted_last_step / elapsed + newest_elsewhere / PERIOD - self.fleet_rate
        )

    def lender(self, now: float, turn: int, reachable: list[str]) -> str | None:
        """The next lender to ask: round robin over those that are not backed off; None if there is none."""
        ready = [name for name in reachable if self.backoff_until.get(name, -math.inf) <= now]
        return ready[turn % len(ready)] if ready else None
