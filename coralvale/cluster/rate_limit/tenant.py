"""One tenant at one gateway: its restrictor, what is owned of its quota, and what is asked of other owners."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

from coralvale import interface as api
from coralvale.cluster.rate_limit.escrow import Escrow, Stock, Taken
from coralvale.cluster.rate_limit.quota import NOTHING, BucketSize, Quota
from coralvale.cluster.rate_limit.usage import PERIOD, Window
from coralvale.restrictor import Restrictor

TAIL = 1e-6
MOST_LENT = 256  # grants that may still come back unused, of those the newest
SMOOTH = 0.5  # weight of the newest half second in a rate


class TenantBucket(Restrictor):
    """The design's bucket (NICC ND1621), with a threshold that follows what may surely be let through here."""

    def __init__(self, plan: api.Plan, entries: int, now: float) -> None:
        self.level = 0.0  # up to where the tokens that are there let the bucket be filled
        super().__init__(plan, entries, now, now)

    def threshold(self, units: float) -> float:
        part = self.plan.burst * min(1.0, self.rate / max(self.plan.rate, TAIL))
        return max(units, part, min(self.plan.burst, self.level))


@frozen
class Waiter:
    """A request that waits for a granted token, until a moment at the latest."""

    ticket: object
    until: float


@frozen
class Ask:
    """Tokens asked of another owner."""

    number: int
    to: str
    count: int
    sent_at: float


@define
class Tally:
    """Requests and tokens of one tenant since the last tally."""

    refused: int = 0
    own: int = 0  # let through by this gateway's own part
    granted: int = 0  # let through by tokens of other owners
    given_back: int = 0  # let through and sent to no host
    lent: int = 0  # tokens granted to others


@define(eq=False)
class Tenant:
    name: str
    rate: float
    burst: float
    bucket: TenantBucket
    quota: Quota
    escrow: Escrow
    window: Window  # of what was let through here
    table: int = -1  # the holding's change that `size` and `lenders` are worked out from
    size: BucketSize = NOTHING  # of what is owned here
    lenders: list[str] = field(factory=list)  # other owners
    stock: Stock = field(factory=Stock)
    waiting: deque[Waiter] = field(factory=deque)
    ask: Ask | None = None  # the one whose answer is awaited
    late: dict[int, Ask] = field(factory=dict)  # those that were given up, whose answer may still be of use
    quiet: dict[str, float] = field(factory=dict)  # until when a lender is not asked
    lent: dict[tuple[str, int], Taken] = field(
        factory=dict
    )  # by to whom tokens were granted, and its ask's number
    passed: int = 0  # let through since the last step
    newest: int = 0  # in the period before that
    asked: int = 0  # requests since the last step, refused ones too
    own_rate: float = 0.0  # let through a second, smoothed
    demand: float = 0.0  # requests a second, smoothed
    fleet_rate: float = 0.0  # let through by all gateways a second, smoothed
    last_reported: tuple[int, int] = (0, 0)
    tally: Tally = field(factory=Tally)

    def charge(self, now: float) -> None:
        """A request is let through."""
        self.bucket.charge(1.0)
        self.passed += 1
        self.window.add(now, 1)

    def lend(self, to: str, number: int, now: float, count: int) -> None:
        """Tokens were granted to another gateway."""
        self.lent[to, number] = Taken(now, count)
        while len(self.lent) > MOST_LENT:
            del self.lent[next(iter(self.lent))]

    def step(self, elapsed: float, newest_elsewhere: int) -> None:
        """A period is over."""
        self.newest, self.passed = self.passed, 0
        asked, self.asked = self.asked, 0
        self.own_rate += SMOOTH * (self.newest / elapsed - self.own_rate)
        self.demand += SMOOTH * (asked / elapsed - self.demand)
        self.fleet_rate += SMOOTH * (self.newest / elapsed + newest_elsewhere / PERIOD - self.fleet_rate)

    def lender(self, now: float, turn: int, reachable: list[str]) -> str | None:
        """Whom to ask next: those not known to be empty or silent take turns."""
        ready = [name for name in reachable if self.quiet.get(name, -math.inf) <= now]
        return ready[turn % len(ready)] if ready else None
