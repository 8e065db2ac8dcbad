"""One customer's quota at one gateway: NICC ND1621's leaky bucket, its leak rate, the part of a ceiling."""

from __future__ import annotations

import math
from dataclasses import replace

from coralvale import interface as api
from coralvale.state import Asked

SMOOTH = 0.5  # weight of the newest second in own and metered use: two seconds of memory tame one odd reading
STEP_S = 1.0  # s between new leak rates, as the design sets it
DAMP = 0.5  # share of the way to the wanted leak rate taken at once, so that gateways do not chase each other
GROWTH = 0.5  # most a leak rate grows in one step: a doubling takes two steps
QUIET = 4.0  # s without a reading after which it is stale: the meter's usual lateness twice over
EASE = 0.25  # share of the way back to the floor in each step without readings
ASKING = 8.0  # s over which a customer's asking here is averaged: its mean gap there is some seconds
LIGHT, HEAVY = 0.4, 1.0  # times its quota that a customer asks for, by what it asks here: surely under, over
IDLE = 60.0  # s after which an idle customer's restrictor is dropped, once its bucket is empty
PARTED = (
    3.0  # requests, the part of a burst that a gateway can tell a customer's quota by without the counter
)
FEW = 4  # gateways of a set whose parts the meter can still tell


class Restrictor:
    """One customer's leaky bucket, its leak rate, and this gateway's share of the ceiling."""

    def __init__(self, plan: api.Plan, entries: int, now: float, born: float) -> None:
        self.set_plan(plan, entries)
        self.rate = self.floor
        self.fill, self.at, self.seen_at = 0.0, now, now
        self.passed, self.open = 0.0, 0  # units let through since the last step; attempts out
        self.own = self.own_late = self.use = 0.0  # own_late lags own by as much as readings lag use
        self.reading, self.reading_at = 0.0, -math.inf
        self.asking, self.asked_at = 0.0, now  # units a second asked for here, refused ones too
        # Units that an authoriser was asked about: a store of its own, that denials do not empty.
        self.checks = 0.0
        self.known, self.known_at = 0.0, now  # the least that all gateways' store holds, as the counter told
        # Of the ceiling's burst: what this process may hold once another has taken over from it, and what
        # processes before it may hold. Both end at one moment, so that all together never hold more than it.
        self.kept: float | None = None
        self.lent, self.lent_until = 0.0, -math.inf
        self.left, self.left_at = 0.0, born  # of the ceiling, when it was last on a plan that has one
        # Of the ceiling, what was taken for requests that wait for an authoriser: until they come to a host
        # it keeps its place in the burst. A lower ceiling begins an epoch: what was taken before is void.
        self.waiting, self.epoch = 0.0, 0
        # A restart must not refill the ceiling, so the share is empty at birth and fills from then on.
        self.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * (now - born))

    def set_plan(self, plan: api.Plan, entries: int) -> None:
        """Takes plan and set as a request names them: one that named others must not bind all that follow."""
        self.plan, self.entries = plan, max(1, entries)
        self.floor = plan.rate / self.entries

    def change(self, now: float, plan: api.Plan) -> None:
        """Another plan is in force from now on: the leak rate keeps its share, and no store is refilled."""
        old = self.plan
        lower = plan.ceiling_rate < old.ceiling_rate or plan.ceiling_burst < old.ceiling_burst
        if plan.ceiling_rate and (lower or not old.ceiling_rate):
            self.epoch, self.waiting = self.epoch + 1, 0.0
        if plan.ceiling_rate and not old.ceiling_rate:
            risen = self.left + plan.ceiling_rate * (now - self.left_at)
            self.ceiling = min(plan.ceiling_burst, risen, math.inf if self.kept is None else self._top(now))
        elif old.ceiling_rate and not plan.ceiling_rate:
            self.left, self.left_at = self.ceiling, now
        if old.rate and plan.rate:
            self.rate *= plan.rate / old.rate

    def drain(self, now: float) -> None:
        # Twice a second for every customer, so without calls to max().
        elapsed = now - self.at if now > self.at else 0.0
        if elapsed:
            leaked = self.rate * elapsed
            self.fill = self.fill - leaked if self.fill > leaked else 0.0
            self.checks = self.checks - leaked if self.checks > leaked else 0.0
        else:
            now = self.at
        # A plan without one, named by mistake, leaves the customer's as it was.
        if self.plan.ceiling_rate:
            # What others keep is theirs until that moment; this store grows into it from then on, not before.
            top = self._top(self.at) if self.kept is None else self._top(now)
            risen = self.ceiling + self.plan.ceiling_rate * elapsed * (self.kept is None)
            self.ceiling = min(top, risen)
        self.at = now

    def _top(self, now: float) -> float:
        """The most units of the ceiling that this process may hold."""
        alone = now >= self.lent_until
        if self.kept is not None:
            return 0.0 if alone else self.kept - self.waiting
        burst = self.plan.ceiling_burst
        return (burst if alone else max(0.0, burst - self.lent)) - self.waiting

    def threshold(self, units: float) -> float:
        """Burst scaled with the leak rate, one request at least; more where letting in wrongly costs less."""
        # Let in wrongly a request costs c, refused wrongly its worth; the factor is 1 where these are equal.
        cost = max(0.0, self.plan.excess_cost - self.plan.excess_worth)
        rate = max(self.plan.rate, 1e-9)
        # One that asks for little overall has the burst to itself, whichever gateway it comes to: a part of
        # it is a request or two, and by chance two that belong together come to the same gateway.
        asks = self.asking * math.exp((self.asked_at - self.at) / ASKING) * self.entries / rate
        spare = min(1.0, max(0.0, (HEAVY - asks) / (HEAVY - LIGHT)))
        share = self.rate / rate
        return max(units, self.plan.burst * (share + spare * (1 - share)) * 2 / (1 + cost))

    def record_demand(self, now: float, units: float) -> None:
        """Takes down that the customer has asked, when all has been decided by what it asked before."""
        self.asking = self.asking * math.exp((self.asked_at - now) / ASKING) + units / ASKING
        self.asked_at = now

    def wait(self, units: float) -> float:
        """Seconds until the bucket has room, 0 when it has it now."""
        return max(0.0, (self.fill + units - self.threshold(units)) / self.rate) if self.plan.rate else 0.0

    def ceiling_wait(self, units: float) -> float:
        short = units * self.entries - self.ceiling  # shares are even, so a request takes for all
        return max(0.0, short / self.plan.ceiling_rate) if self.plan.ceiling_rate else 0.0

    def sparse(self, units: float) -> bool:
        """Whether this gateway's part of the burst is under a request, in a large set: it knows little."""
        return self.plan.rate > 0 and self.entries > FEW and self.plan.burst < units * self.entries

    def scattered(self, units: float) -> bool:
        """Whether its part of the burst is a few requests, which chance and an uneven split soon empty."""
        return self.plan.rate > 0 and self.entries > FEW and self.plan.burst < PARTED * units * self.entries

    def told_full(self, now: float, units: float) -> bool:
        """Whether the store of all gateways had no room when the counter last told of it, not long ago."""
        return now - self.known_at < ASKING and self.known + units > self.plan.burst

    def known_wait(self, now: float, units: float) -> float:
        """Seconds until the store of all gateways may have room, 0 where it may have it now."""
        short = self.known - max(0.0, self.plan.burst - units) - self.plan.rate * (now - self.known_at)
        return max(0.0, short / self.plan.rate) if self.plan.rate else 0.0

    def open_full(self) -> bool:
        """Whether own attempts, hung ones too, reach the open limit, or its even part where no rate binds."""
        limit = self.plan.open_limit / (1 if self.plan.rate else self.entries)
        return limit > 0 and self.open >= max(1.0, limit)

    def check_wait(self, units: float) -> float:
        """Seconds until one more may be asked about: no more are than the quota could let in."""
        room = self.threshold(units) - self.checks - units
        return max(0.0, -room / self.rate) if self.plan.rate else 0.0

    def charge(self, units: float) -> float:
        """Takes a request's units; returns by how much the store filled."""
        before = self.fill
        self.fill = max(self.fill, min(self.fill + units, self.threshold(units)))
        self.passed += units
        self.ceiling -= units * self.entries
        return self.fill - before

    def wait_with(self, units: float) -> int:
        """A request whose units were taken waits: it is open; returns the epoch, to be given back to `go`."""
        self.open += 1
        self.waiting += units * self.entries
        return self.epoch

    def go(self, units: float, epoch: int) -> None:
        """It is on its way, or comes to nothing."""
        self.open -= 1
        if epoch == self.epoch:
            self.waiting = max(0.0, self.waiting - units * self.entries)

    def late(self, units: float) -> int:
        """Units that were taken have come to no host: what has risen meanwhile is too much. The epoch."""
        if self.plan.ceiling_rate:
            self.ceiling = min(self.ceiling, self._top(self.at) - units * self.entries)
        return self.epoch

    def refund(self, units: float, filled: float, ceiling: bool = True) -> None:
        """Gives back what was charged for a request that was not sent, to the ceiling too or not."""
        self.fill, self.passed = max(0.0, self.fill - filled), max(0.0, self.passed - units)
        if ceiling:
            self.ceiling = min(max(self.ceiling, self._top(self.at)), self.ceiling + units * self.entries)

    def record_reading(self, now: float, usage: float | None) -> None:
        """Takes a reading of the meter."""
        if usage is not None and 0 <= usage < math.inf:
            self.reading, self.reading_at = usage, now

    def step(self, now: float) -> None:
        """Sets the leak rate: own use times the quota over metered use of the same, late, time."""
        self.drain(now)
        self.own_late += SMOOTH * (self.own - self.own_late)
        self.own += SMOOTH * (self.passed / STEP_S - self.own)
        self.passed = 0.0
        if now - self.reading_at > QUIET:
            self.rate += EASE * (self.floor - self.rate)
            return
        self.use += SMOOTH * (self.reading - self.use)
        grown = self.rate * (1 + GROWTH)
        wanted = self.own_late / self.use if self.use > 0 else grown
        self.rate += DAMP * (max(self.floor, min(wanted, grown, self.plan.rate)) - self.rate)


class Customers(dict[int, Restrictor]):
    """All customers' restrictors: the plan in force for each, and what requests that wait keep of it."""

    def __init__(
        self, settings: api.Settings, allowance: api.Allowance | None = None, terms: api.Terms | None = None
    ) -> None:
        self.settings, self.allowance, self.terms = settings, allowance, terms

    def of(self, now: float, request: api.Request, born: float) -> Restrictor:
        """The customer's, with the plan that is in force and the set that the request names."""
        named, customer, entries = request.plan, request.customer, request.entry_gateways
        plan = self.terms.plan(now, customer, named) if self.terms else self.settings.plans[named]
        if (restrictor := self.get(customer)) is None:
            restrictor = self[customer] = Restrictor(plan, entries, now, born)
            if self.settings.may_count and restrictor.sparse(request.units):
                # After a restart of all gateways one request from each would be a burst that nobody has.
                restrictor.fill = max(0.0, request.units - restrictor.floor * (now - born))
        if restrictor.plan is not plan or restrictor.entries != entries:
            restrictor.drain(now)
            if self.terms:
                restrictor.change(now, plan)
            restrictor.set_plan(plan, entries)
            restrictor.rate = max(restrictor.floor, min(restrictor.rate, plan.rate))
        return restrictor

    def ceiling_wait(self, now: float, request: api.Request, restrictor: Restrictor) -> float:
        """Seconds until the ceiling has room, 0 if it has."""
        shared = self.allowance.wait(now, request, restrictor.plan, False) if self.allowance else None
        return restrictor.ceiling_wait(request.units) if shared is None else shared

    def still(self, now: float, request: api.Request, restrictor: Restrictor, epoch: int) -> float:
        """0 if a request may go on that was charged a while ago, when another plan may have been in force.

        Else the seconds to wait. What comes to its host under a ceiling counts for it, whenever let in.
        """
        if self.terms and self.get(request.customer) is restrictor:
            self.of(now, request, now)
        restrictor.drain(now)
        if epoch == restrictor.epoch:
            return 0.0
        wait = self.ceiling_wait(now, request, restrictor)
        if not wait:
            restrictor.ceiling -= request.units * restrictor.entries
            if self.allowance:
                self.allowance.charge(request, replace(restrictor.plan, rate=0.0))
        return wait

    def give_back(self, asked: Asked) -> None:
        """A request that was not sent costs its customer nothing; that it was asked about still counts."""
        restrictor, units = asked.restrictor, asked.request.units
        counts = asked.epoch == restrictor.epoch  # else the ceiling that it was charged to holds no more
        restrictor.go(units, asked.epoch)
        restrictor.refund(units, asked.filled, counts)
        if self.allowance:
            plan = asked.plan if counts else replace(asked.plan, ceiling_rate=0.0)
            self.allowance.refund(asked.request, plan)

    def step(self, now: float) -> None:
        """Sets the leak rates; forgets who has been idle."""
        for name, restrictor in list(self.items()):
            restrictor.step(now)
            if now - restrictor.seen_at > IDLE and not (restrictor.open or restrictor.fill):
                del self[name]
