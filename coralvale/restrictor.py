"""One customer's quota at one gateway: the leaky bucket of NICC ND1621, its leak rate, part of a ceiling.

Units are those of requests; rates are units per second; times are seconds. A customer's limits are kept in
three places: the leaky bucket of each gateway, the shared bucket on the counter (`coralvale.tally`), and the
tokens of a ceiling.
"""

from __future__ import annotations

import math
from dataclasses import replace

from coralvale import interface as api
from coralvale.state import HeldCheck

EWMA_WEIGHT = 0.5  # of the newest second in own and metered use: two seconds of memory damp one odd reading
STEP_S = 1.0  # interval between new leak rates, as the design sets it
DAMPING = 0.5  # share of the way to the wanted leak rate taken per step, so that gateways do not oscillate
MAX_GROWTH = 0.5  # largest growth of a leak rate in one step: a doubling takes two steps
MAX_READING_AGE_S = 4.0  # age past which a meter reading is stale: twice the meter's usual lag
FLOOR_RETURN = 0.25  # share of the way back to the floor in each step without readings
DEMAND_WINDOW_S = 8.0  # averaging time of a customer's demand here, whose mean gap is some seconds
# Estimated demand over the quota below and above which a customer is surely under or over its quota.
LIGHT_DEMAND, HEAVY_DEMAND = 0.4, 1.0
IDLE_TIMEOUT_S = 60.0  # after which an idle customer's restrictor is dropped, once its bucket is empty
SCATTERED_REQUESTS = 3.0  # requests in a gateway's part of a burst by which it can apply a quota uncounted
# Gateways in a set up to which no request is counted: the meter can still tell apart the gateways' parts.
SMALL_SET = 4


class Restrictor:
    """One customer's leaky bucket, its leak rate, and this gateway's share of the ceiling.

    `ceiling` is the share times the number of gateways, in units of the whole set: it has the plan's ceiling
    rate and burst, and each request is charged its units times `entries`.
    """

    def __init__(self, plan: api.Plan, entries: int, now: float, started_at: float) -> None:
        self.set_plan(plan, entries)
        self.rate = self.floor
        self.fill, self.drained_at, self.seen_at = 0.0, now, now
        self.passed, self.open = 0.0, 0  # units admitted since the last step; attempts in flight
        # Admitted rate here, smoothed; `own_late` is smoothed once more, because a meter reading lags the use
        # that it reports and must be compared with admissions of the same age. `metered_fraction`: use at all
        # gateways over the quota's rate, smoothed.
        self.own = self.own_late = self.metered_fraction = 0.0
        self.reading, self.reading_at = 0.0, -math.inf
        self.demand, self.demand_at = 0.0, now  # units per second requested here, refused ones too
        # Units that an authoriser was asked about: a bucket of its own, which denials do not empty.
        self.check_fill = 0.0
        self.known, self.known_at = 0.0, now  # least fill of the shared bucket, by the counter's last reply
        # Ceiling tokens, reserved ones included, that this process may hold after another has taken over
        # from it; None before.
        self.retained: float | None = None
        # Ceiling tokens that processes before this one may hold until `lent_until`. What this process retains
        # ends then too, so that all processes together never hold more than the ceiling's burst.
        self.lent, self.lent_until = 0.0, -math.inf
        # Ceiling tokens left, and when, at the last switch from a plan with a ceiling to one without.
        # Before any such switch: none, at the gateway's start.
        self.left, self.left_at = 0.0, started_at
        # `reserved`: ceiling tokens of requests that wait for an authoriser, which keep their place in the
        # burst until they reach a server. `epoch`: number of the ceiling in force (not the epoch of a name on
        # the counter); a new or lower ceiling begins the next, in which charges and reservations of earlier
        # ones are void.
        self.reserved, self.epoch = 0.0, 0
        # A restart must not refill the ceiling, so the share starts empty and fills from then on.
        self.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * (now - started_at))

    def set_plan(self, plan: api.Plan, entries: int) -> None:
        """Sets the plan and the number of gateways when a request names others than the last one did.

        They are taken from each request, so that a wrong one does not bind later requests.
        """
        self.plan, self.entries = plan, max(1, entries)
        self.floor = plan.rate / self.entries

    def switch_plan(self, now: float, plan: api.Plan) -> None:
        """Adapts rate and ceiling to another plan in force, before `set_plan` sets it; only with `api.Terms`.

        The leak rate keeps its share of the quota; neither the bucket nor the ceiling is refilled.
        """
        old = self.plan
        lower = plan.ceiling_rate < old.ceiling_rate or plan.ceiling_burst < old.ceiling_burst
        if plan.ceiling_rate and (lower or not old.ceiling_rate):
            self.epoch, self.reserved = self.epoch + 1, 0.0
        if plan.ceiling_rate and not old.ceiling_rate:
            risen = self.left + plan.ceiling_rate * (now - self.left_at)
            self.ceiling = min(
                plan.ceiling_burst, risen, math.inf if self.retained is None else self._ceiling_limit(now)
            )
        elif old.ceiling_rate and not plan.ceiling_rate:
            self.left, self.left_at = self.ceiling, now
        if old.rate and plan.rate:
            self.rate *= plan.rate / old.rate

    def drain(self, now: float) -> None:
        """Lets the bucket leak, and refills the ceiling, up to `now`."""
        # Runs twice a second for every customer, so it avoids calls to max().
        elapsed = now - self.drained_at if now > self.drained_at else 0.0
        if elapsed:
            leaked = self.rate * elapsed
            self.fill = self.fill - leaked if self.fill > leaked else 0.0
            self.check_fill = self.check_fill - leaked if self.check_fill > leaked else 0.0
        else:
            now = self.drained_at
        # A plan without a ceiling, named by mistake, leaves the customer's ceiling as it was.
        if self.plan.ceiling_rate:
            # Earlier processes may spend what they retain until `lent_until`; the ceiling here grows into
            # that part only afterwards.
            top = self._ceiling_limit(self.drained_at) if self.retained is None else self._ceiling_limit(now)
            risen = self.ceiling + self.plan.ceiling_rate * elapsed * (self.retained is None)
            self.ceiling = min(top, risen)
        self.drained_at = now

    def _ceiling_limit(self, now: float) -> float:
        """The largest number of ceiling tokens that this process may hold, without reserved ones."""
        alone = now >= self.lent_until
        if self.retained is not None:
            return 0.0 if alone else self.retained - self.reserved
        burst = self.plan.ceiling_burst
        return (burst if alone else max(0.0, burst - self.lent)) - self.reserved

    def threshold(self, units: float) -> float:
        """Bucket size: the burst scaled with the leak rate, at least a request; more if excess costs less."""
        # A wrong admission costs `cost` times the request's worth, a wrong refusal its worth. The factor
        # 2 / (1 + cost) is 1 if both are equal.
        cost = max(0.0, self.plan.excess_cost - self.plan.excess_worth)
        rate = max(self.plan.rate, 1e-9)
        # A customer of low overall demand has the whole burst at each gateway: its even part of it would be a
        # request or two, and if requests that belong together reach the same gateway by chance, one would be
        # refused wrongly.
        asks = (
            self.demand * math.exp((self.demand_at - self.drained_at) / DEMAND_WINDOW_S) * self.entries / rate
        )
        spare = min(1.0, max(0.0, (HEAVY_DEMAND - asks) / (HEAVY_DEMAND - LIGHT_DEMAND)))
        share = self.rate / rate
        return max(units, self.plan.burst * (share + spare * (1 - share)) * 2 / (1 + cost))

    def record_demand(self, now: float, units: float) -> None:
        """Adds a request to the demand, after it was decided by the demand before it."""
        self.demand = (
            self.demand * math.exp((self.demand_at - now) / DEMAND_WINDOW_S) + units / DEMAND_WINDOW_S
        )
        self.demand_at = now

    def wait(self, units: float) -> float:
        """Seconds until the bucket has room, 0 if it has now."""
        return max(0.0, (self.fill + units - self.threshold(units)) / self.rate) if self.plan.rate else 0.0

    def ceiling_wait(self, units: float) -> float:
        """Seconds until this gateway's share of the ceiling has room, 0 if it has now."""
        # The ceiling is in units of the whole set and shares are even, so a request counts `entries` times.
        short = units * self.entries - self.ceiling
        return max(0.0, short / self.plan.ceiling_rate) if self.plan.ceiling_rate else 0.0

    def sparse(self, units: float) -> bool:
        """Whether this gateway's part of the burst is less than a request, in a set above `SMALL_SET`.

        It then sees too few of the customer's requests to apply the quota alone.
        """
        return self.plan.rate > 0 and self.entries > SMALL_SET and self.plan.burst < units * self.entries

    def scattered(self, units: float) -> bool:
        """Whether this gateway's part of the burst is a few requests, in a set above `SMALL_SET`.

        Chance and an uneven split of the requests soon use up so few.
        """
        return (
            self.plan.rate > 0
            and self.entries > SMALL_SET
            and self.plan.burst < SCATTERED_REQUESTS * units * self.entries
        )

    def known_full(self, now: float, units: float) -> bool:
        """Whether the shared bucket was full by the counter's last reply, if that is recent."""
        return now - self.known_at < DEMAND_WINDOW_S and self.known + units > self.plan.burst

    def known_wait(self, now: float, units: float) -> float:
        """Seconds until the shared bucket may have room, 0 if it may have now."""
        short = self.known - max(0.0, self.plan.burst - units) - self.plan.rate * (now - self.known_at)
        return max(0.0, short / self.plan.rate) if self.plan.rate else 0.0

    def open_limit_reached(self) -> bool:
        """Whether own attempts, hung ones too, reach the open limit, or its even part if no rate binds."""
        limit = self.plan.open_limit / (1 if self.plan.rate else self.entries)
        return limit > 0 and self.open >= max(1.0, limit)

    def check_wait(self, units: float) -> float:
        """Seconds until an authoriser may be asked again: at most as often as the quota could admit."""
        room = self.threshold(units) - self.check_fill - units
        return max(0.0, -room / self.rate) if self.plan.rate else 0.0

    def charge(self, units: float) -> float:
        """Charges a request's units; returns by how much the bucket filled, for `refund`."""
        before = self.fill
        self.fill = max(self.fill, min(self.fill + units, self.threshold(units)))
        self.passed += units
        self.ceiling -= units * self.entries
        return self.fill - before

    def reserve(self, units: float) -> int:
        """Reserves a charged request's place while it waits; returns the epoch, to be passed to `release`."""
        self.open += 1
        self.reserved += units * self.entries
        return self.epoch

    def release(self, units: float, epoch: int) -> None:
        """Ends a reservation: the request was sent, or will not be."""
        self.open -= 1
        if epoch == self.epoch:
            self.reserved = max(0.0, self.reserved - units * self.entries)

    def cap_refill(self, units: float) -> int:
        """Limits the ceiling before charged units reach a server late; returns the epoch for the request.

        What was refilled while they had reached no server would be too much: the ceiling becomes at most what
        this process may hold, less these units.
        """
        if self.plan.ceiling_rate:
            self.ceiling = min(self.ceiling, self._ceiling_limit(self.drained_at) - units * self.entries)
        return self.epoch

    def refund(self, units: float, filled: float, ceiling: bool = True) -> None:
        """Refunds a request that was not sent: the bucket by `filled`, and the ceiling if `ceiling`."""
        self.fill, self.passed = max(0.0, self.fill - filled), max(0.0, self.passed - units)
        if ceiling:
            self.ceiling = min(
                max(self.ceiling, self._ceiling_limit(self.drained_at)), self.ceiling + units * self.entries
            )

    def record_reading(self, now: float, usage: float | None) -> None:
        """Takes a meter reading, a fraction of the quota's rate; values that are no amount are skipped."""
        if usage is not None and 0 <= usage < math.inf:
            self.reading, self.reading_at = usage, now

    def step(self, now: float) -> None:
        """Sets the leak rate: the rate admitted here over the metered fraction of the quota's rate.

        Both are of the same age, see `own_late`. Without a fresh reading the rate returns towards the floor.
        """
        self.drain(now)
        self.own_late += EWMA_WEIGHT * (self.own - self.own_late)
        self.own += EWMA_WEIGHT * (self.passed / STEP_S - self.own)
        self.passed = 0.0
        if now - self.reading_at > MAX_READING_AGE_S:
            self.rate += FLOOR_RETURN * (self.floor - self.rate)
            return
        self.metered_fraction += EWMA_WEIGHT * (self.reading - self.metered_fraction)
        grown = self.rate * (1 + MAX_GROWTH)
        wanted = self.own_late / self.metered_fraction if self.metered_fraction > 0 else grown
        self.rate += DAMPING * (max(self.floor, min(wanted, grown, self.plan.rate)) - self.rate)


class Customers(dict[int, Restrictor]):
    """All customers' restrictors, with the plan in force for each; refunds of requests that were not sent."""

    def __init__(
        self, settings: api.Settings, allowance: api.Allowance | None = None, terms: api.Terms | None = None
    ) -> None:
        self.settings, self.allowance, self.terms = settings, allowance, terms

    def of(self, now: float, request: api.Request, started_at: float) -> Restrictor:
        """The customer's restrictor, with the plan in force and the gateway set that the request names."""
        named, customer, entries = request.plan, request.customer, request.entry_gateways
        plan = self.terms.plan(now, customer, named) if self.terms else self.settings.plans[named]
        if (restrictor := self.get(customer)) is None:
            restrictor = self[customer] = Restrictor(plan, entries, now, started_at)
            if self.settings.may_count and restrictor.sparse(request.units):
                # After a restart of all gateways one request at each would exceed any burst.
                restrictor.fill = max(0.0, request.units - restrictor.floor * (now - started_at))
        if restrictor.plan is not plan or restrictor.entries != entries:
            restrictor.drain(now)
            if self.terms:
                restrictor.switch_plan(now, plan)
            restrictor.set_plan(plan, entries)
            restrictor.rate = max(restrictor.floor, min(restrictor.rate, plan.rate))
        return restrictor

    def ceiling_wait(self, now: float, request: api.Request, restrictor: Restrictor) -> float:
        """Seconds until the ceiling, shared or this gateway's part, has room, 0 if it has now."""
        shared = self.allowance.wait(now, request, restrictor.plan, False) if self.allowance else None
        return restrictor.ceiling_wait(request.units) if shared is None else shared

    def recheck_wait(self, now: float, request: api.Request, restrictor: Restrictor, epoch: int) -> float:
        """0 if a request charged earlier may still be sent, although its plan may have changed since.

        Else the seconds to wait. A request that reaches a server while a ceiling holds counts towards it,
        whenever it was admitted.
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

    def give_back(self, check: HeldCheck) -> None:
        """Refunds a request that was not sent; that its authoriser was asked still counts."""
        restrictor, units = check.restrictor, check.request.units
        counts = check.epoch == restrictor.epoch  # else the ceiling that was charged is no longer in force
        restrictor.release(units, check.epoch)
        restrictor.refund(units, check.charged, counts)
        if self.allowance:
            plan = check.plan if counts else replace(check.plan, ceiling_rate=0.0)
            self.allowance.refund(check.request, plan)

    def step(self, now: float) -> None:
        """Sets the leak rates; drops idle customers."""
        for name, restrictor in list(self.items()):
            restrictor.step(now)
            if now - restrictor.seen_at > IDLE_TIMEOUT_S and not (restrictor.open or restrictor.fill):
                del self[name]
