"""A customer's quota at one owner: its leaky bucket there, units lent to gateways in leases that end. No I/O.

The owner of a customer is who `placement` says. It has the bucket of NICC ND1621: what it lends fills it at
once, and it drains at the plan's rate. A gateway lends units for the requests that it has, and a little ahead
where it has many; it spends them within LEASE seconds of having asked and gives back what is left. So with one
owner, in any t seconds,

  units let in <= burst + rate x (t + LEASE)

whatever is lost, doubled or late on the way. What a change of owners adds to it:

- handed over by the one before: nothing, or (1 - LOST) x burst if one asks the new owner before the bucket came.
- after a death: (1 - LOST) x burst, since the new bucket begins LOST full.
- two owners in a split: each has its own, so as much again for each part; when the parts meet, the buckets are
  put together, and nobody gets a burst for it.
- one that did not run for a while and comes back sure that it owns: its buckets are full from then on, and a
  grant counts only for who asked this very owner less than LEASE ago: the rate for as long as some still ask it.

What is lost on the way back is taken as spent: too little by as much as one lease for each that was lost.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from coralvale.interface import Plan
from coralvale.members.model import Grant, Hand, Want

LEASE = 1.0  # s from its asking in which what was lent may be spent
LOST = 0.5  # of the burst that counts as used where the owner before has left no word
PAUSE = 0.02  # s until one that found no room asks again, at least
MOST_ASKS = 200.0  # a second for one customer: with more askers each is told to wait longer
ASKERS = 1024  # remembered for a customer
AHEAD = 0.05  # s of its demand that a gateway has in hand before it runs out
SMOOTH = 1.0  # s over which demand is averaged
KEPT = 16  # leases of a customer whose rest may still come back
IDLE = 30.0  # s without a word after which an empty bucket is forgotten
PATIENCE = 0.25  # s until an ask that was not answered is made again
LOOK = 1.0  # s between looks for what is idle, when all places are taken: each goes over all of them


@dataclass(slots=True)
class Bucket:
    plan: int
    fill: float
    at: float
    guess: float = 0.0  # of the fill that stands for what is not known, until the owner before says
    leases: OrderedDict[int, tuple[str, float]] = field(default_factory=OrderedDict)
    askers: dict[str, float] = field(default_factory=dict)  # when each asked last
    seen: float = 0.0


class Owner:
    """The buckets of customers that this member owns. `most` are kept; past it new ones are not lent to."""

    def __init__(self, plans: Sequence[Plan], most: int = 100_000, since: float = math.inf) -> None:
        self.plans, self.most = plans, most
        # When the view last changed. Whoever has not asked since then has used nothing since then.
        self.since = since
        self.buckets: dict[int, Bucket] = {}
        self.looked = -math.inf
        self.serial = 0
        self.full = 0  # asks that found no place

    def _drained(self, now: float, bucket: Bucket) -> Plan:
        plan = self.plans[bucket.plan]
        passed = max(0.0, now - bucket.at)
        bucket.fill = max(0.0, bucket.fill - plan.rate * passed)
        bucket.guess = max(0.0, bucket.guess - plan.rate * passed)
        bucket.at = max(bucket.at, now)
        return plan

    def want(self, now: float, taker: str, want: Want, owns: bool = True) -> Grant:
        """One ask. Where `owns` is false the customer is another's; what comes back is taken all the same."""
        bucket = self.buckets.get(want.key)
        if bucket is not None and 0 < want.back < math.inf:
            self._back(now, taker, bucket, want)
        if not owns:
            return Grant(want.key, 0, 0.0, PAUSE, True)
        said = 0 < want.units < math.inf and 0 < want.least < math.inf
        if not said or not 0 <= want.plan < len(self.plans):
            return Grant(want.key, 0, 0.0, PAUSE)
        if bucket is None:
            if len(self.buckets) >= self.most and not self.forget(now):
                self.full += 1
                return Grant(want.key, 0, 0.0, 1.0)
            lost = self._lost(now, self.plans[want.plan])
            bucket = self.buckets[want.key] = Bucket(want.plan, lost, now, lost)
        elif bucket.plan != want.plan:
            self._drained(now, bucket)
            bucket.plan = want.plan
        plan = self._drained(now, bucket)
        bucket.seen = now
        if len(bucket.askers) >= ASKERS and taker not in bucket.askers:
            bucket.askers = {name: at for name, at in bucket.askers.items() if now - at < 1.0}
        if len(bucket.askers) < ASKERS or taker in bucket.askers:
            bucket.askers[taker] = now
        room = max(plan.burst, want.least) - bucket.fill
        if room + 1e-9 < want.least:
            recent = sum(now - at < 1.0 for at in bucket.askers.values())
            wait = max((want.least - room) / plan.rate, PAUSE, recent / MOST_ASKS)
            return Grant(want.key, 0, 0.0, wait)
        # No more than half of the room beyond what is asked for, so that one does not sit on all of it.
        units = max(want.least, min(want.units, room / 2))
        bucket.fill += units
        self.serial += 1
        bucket.leases[self.serial] = (taker, units)
        if len(bucket.leases) > KEPT:
            bucket.leases.popitem(last=False)
        return Grant(want.key, self.serial, units)

    def _lost(self, now: float, plan: Plan) -> float:
        """What counts as used of a customer that nothing is known of: the owner before may have lent it."""
        return min(LOST * plan.burst, max(0.0, LOST * plan.burst - plan.rate * (now - self.since)))

    def _back(self, now: float, taker: str, bucket: Bucket, want: Want) -> None:
        """Units come back once, to the bucket that lent them, and never more than were lent."""
        held = bucket.leases.get(want.lease)
        if held is None or held[0] != taker:
            return
        del bucket.leases[want.lease]
        self._drained(now, bucket)
        bucket.fill = max(0.0, bucket.fill - min(held[1], want.back))

    def give_up(self, now: float, keys: Sequence[int]) -> list[Hand]:
        """These have another owner now: their buckets, to be sent there."""
        handed = []
        for key in keys:
            if bucket := self.buckets.pop(key, None):
                self._drained(now, bucket)
                handed.append(Hand(key, bucket.plan, bucket.fill))
        return handed

    def take_over(self, now: float, hand: Hand) -> None:
        """A bucket has come from the owner before, or from the other half of a split: what both lent counts."""
        if not (0 <= hand.plan < len(self.plans) and 0 <= hand.fill < math.inf):
            return
        bucket = self.buckets.get(hand.key)
        if bucket is None:
            if len(self.buckets) >= self.most:
                return
            bucket = self.buckets[hand.key] = Bucket(hand.plan, 0.0, now)
        plan = self._drained(now, bucket)
        bucket.fill = min(max(plan.burst, bucket.fill), bucket.fill - bucket.guess + hand.fill)
        bucket.guess = 0.0

    def stalled(self, now: float) -> None:
        """This process did not run for a while: others may have lent since, so nothing is left of any burst."""
        for bucket in self.buckets.values():
            plan = self._drained(now, bucket)
            bucket.fill, bucket.guess = max(bucket.fill, plan.burst), 0.0

    def forget(self, now: float) -> int:
        """Drops buckets that are empty and were not asked for lately; how many."""
        if now - self.looked < LOOK:
            return 0
        self.looked = now
        idle = [
            key
            for key, b in self.buckets.items()
            if now - b.seen > IDLE and b.fill <= self.plans[b.plan].rate * (now - b.at)
        ]
        for key in idle:
            del self.buckets[key]
        return len(idle)


@dataclass(slots=True)
class Held:
    """What a gateway has of one customer."""

    plan: int
    units: float = 0.0
    lent: float = 0.0  # of the lease in hand, to begin with
    until: float = -math.inf
    lease: int = 0
    asked: float = -math.inf  # when the ask that is out was made; -inf: none is
    whom: str = ""
    again: float = -math.inf  # the owner has no room until then
    demand: float = 0.0  # units a second, refused ones too
    at: float = 0.0
    least: float = 1.0  # units of the last request
    by: set[str] = field(default_factory=set)  # requests that the lease in hand was spent on


class Taker:
    """What this gateway has been lent. `most` customers are kept; past it the idle ones go."""

    def __init__(self, most: int = 100_000) -> None:
        self.most = most
        self.looked = -math.inf
        self.held: dict[int, Held] = {}
        self.asks: dict[int, None] = {}  # customers for whom something is to be asked or given back, in order
        self.ends: OrderedDict[int, float] = OrderedDict()  # leases in hand and when they end, in order

    def _of(self, now: float, key: int, plan: int) -> Held | None:
        held = self.held.get(key)
        if held is None:
            if len(self.held) >= self.most and not self.forget(now):
                return None
            held = self.held[key] = Held(plan, at=now)
        held.plan = plan
        return held

    def ask(self, now: float, key: int, plan: int, units: float) -> float | None:
        """A request has come: 0 if it may be spent on now, s to wait if there is no room; None: ask first."""
        held = self._of(now, key, plan)
        if held is None:
            return None
        passed = max(0.0, now - held.at)
        held.demand = held.demand * math.exp(-passed / SMOOTH) + units / SMOOTH
        held.at, held.least = max(now, held.at), units
        return self.wait(now, key, units)

    def wait(self, now: float, key: int, units: float) -> float | None:
        """The same without counting it again."""
        held = self.held.get(key)
        if held is None:
            return None
        if now < held.until and held.units + 1e-9 >= units:
            if held.units - units < AHEAD * held.demand - 1:
                self._wish(now, key, held)
            return 0.0
        if now < held.again:
            return held.again - now
        self._wish(now, key, held)
        return None

    def _wish(self, now: float, key: int, held: Held) -> None:
        if now >= held.again and now - held.asked > PATIENCE:
            self.asks[key] = None

    def spend(self, key: int, request: str, units: float) -> None:
        """A request goes on: by what is in hand, or by the ordinary path, which spends nothing."""
        held = self.held.get(key)
        if held is not None and held.units + 1e-9 >= units:
            held.units = max(0.0, held.units - units)
            held.by.add(request)

    def refund(self, key: int, request: str, units: float) -> None:
        """It came to nothing: what the lease in hand was spent on comes back to it, and nothing else."""
        held = self.held.get(key)
        if held is not None and request in held.by:
            held.by.discard(request)
            held.units = min(held.lent, held.units + units)

    def due(self, now: float) -> list[tuple[int, Want]]:
        """What is to be asked and given back now, by customer; the caller knows the owners."""
        while self.ends:
            key, until = next(iter(self.ends.items()))
            if until > now:
                break
            del self.ends[key]
            if (held := self.held.get(key)) and held.units > 0 and held.until <= now:
                self.asks[key] = None
        wants = []
        for key in self.asks:
            held = self.held.get(key)
            if held is None:
                continue
            ended = held.until <= now
            wished = held.at > now - LEASE and now >= held.again and now - held.asked > PATIENCE
            short = ended or held.units < held.least or held.units < AHEAD * held.demand
            units = max(held.least, held.demand * LEASE / 2) if wished and short else 0.0
            back, lease = (held.units, held.lease) if held.units > 0 and (ended or units) else (0.0, 0)
            if units <= 0 and back <= 0:
                continue
            if back:
                held.units = held.lent = 0.0
                held.until = -math.inf
                self.ends.pop(key, None)
            if units:
                held.asked = now
            wants.append((key, Want(key, held.plan, units, held.least, lease, back)))
        self.asks.clear()
        return wants

    def sent(self, key: int, owner: str) -> None:
        """Whom the ask has gone to."""
        if held := self.held.get(key):
            held.whom = owner

    def granted(self, now: float, owner: str, grant: Grant) -> bool:
        """An answer: whether it counts. One that was not asked for, or too long ago, does not."""
        held = self.held.get(grant.key)
        if held is None or held.whom != owner or now - held.asked >= LEASE:
            return False
        asked, held.asked, held.whom = held.asked, -math.inf, ""
        if grant.units > 0:
            held.units = held.lent = grant.units
            held.lease = grant.lease
            held.by.clear()
            held.until = asked + LEASE
            self.ends[grant.key] = held.until
            self.ends.move_to_end(grant.key)
        elif grant.wait > 0:
            held.again = now + min(grant.wait, LEASE)  # nobody's word keeps it from asking for long
        return True

    def lost(self, owner: str) -> None:
        """An owner is gone: what is asked of it will not be answered."""
        for held in self.held.values():
            if held.whom == owner:
                held.whom, held.asked = "", -math.inf

    def forget(self, now: float) -> int:
        """Drops customers that have not asked lately and have nothing in hand; how many."""
        if now - self.looked < LOOK:
            return 0
        self.looked = now
        idle = [key for key, held in self.held.items() if now - held.at > IDLE and held.units <= 0]
        for key in idle:
            del self.held[key]
        return len(idle)
