"""Quotas kept on the shared counter, for customers of whom each gateway sees too few requests.

The counter only adds, so the number under a name represents a leaky bucket of NICC ND1621 that all gateways
share, here called the shared bucket:

    fill(t) = number + INITIAL_FILL x burst - rate x (t - when the name's epoch began)

One call adds a request's units and returns the number, hence the fill. A fill below 0 means that the customer
has been idle: the overflow is added, or the customer could save it up. If there is no room the units are
subtracted again. A name is used for one epoch of `EPOCH_S`, as the counter forgets names; a new one starts
at INITIAL_FILL of the burst. These epochs are not those of `Restrictor.epoch`, which numbers a customer's
ceilings.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from coralvale import interface as api
from coralvale.restrictor import STEP_S, Restrictor

EPOCH_S = 40.0  # time for which a name is used: the counter keeps it for `LIFETIME_S` at most
LIFETIME_S = 60.0  # time for which the counter keeps a name, from its first call
INITIAL_FILL = 0.5  # of the burst at the start of an epoch: at most half of it too much or too little
CORRECTION_REQUESTS = 0.5  # requests by which a number may be wrong before a call corrects it
TRUST_RECOVERY_PER_S = 0.15  # share of the calls that comes back per second after the counter was overloaded
TRUST_GAIN = 0.1  # share of the calls that a reply in time brings back, so that use resumes soon
TRUST_LOSS = 0.4  # share of the calls that one without a reply in time takes away
RETRY_CALL_SHARE = 0.1  # calls for clients' retries over those for first tries: most retries are over quota
RATE_WINDOW_S = 8.0  # averaging time of the rate at which a plan's customers are admitted
UNCOUNTED_FACTOR = 1.0  # rate of uncounted admissions, as a multiple of the rate over `RATE_WINDOW_S`
# Uncounted admissions at once, in seconds of that rate: while the counter replies, which corrects the shared
# buckets, and while it does not.
BURST_S = 2.0
OUTAGE_BURST_S = 1.0
ALIVE_S = 1.0  # time after its last reply for which the counter counts as reachable
MIN_CALL_SHARE = 0.1  # share of the calls that is always made, to notice a recovery
OPEN_DELAYS = 2.0  # usual delays after which an attempt is no longer taken to be in flight
# Requests by which the shared bucket may lack room and still admit: about what drains while calls are on
# their way.
LEEWAY_REQUESTS = 0.25
LOSS_SILENCE_S = 2.0  # time without a reply, with failed calls, after which a counter may come back empty
# Share of the burst that counts as used under a name that is new after such a loss, and for how long from the
# first reply after it, in times to drain a burst.
LOST_FILL, LOST_BURSTS = 0.55, 2.0
TICK_S = 0.1  # interval between checks for overdue calls: well under any delay that a client would notice
REPLY_TIMEOUTS = 4.0  # counter time-outs that a reply is waited for: a late one was added too
LATE_TIMEOUTS = 1.5  # counter time-outs after which a reply is a sign of overload
# Requests over the burst in the shared bucket up to which other calls explain them; above, calls were lost.
MAX_OVERFILL_REQUESTS = 2.0


@dataclass(slots=True)
class Call:
    """A call to the counter without a reply yet; corrections have no request that waits."""

    sent_at: float
    amount: float = 0.0  # units
    request: api.Request | None = None
    restrictor: Restrictor | None = None
    epoch_start: float = 0.0  # when the epoch of the counter's name began


@dataclass(slots=True)
class UncountedBucket:
    """Limits the uncounted admissions of a plan's sparse customers here: a leaky bucket.

    It leaks at the rate at which the counter admitted such customers, times `UNCOUNTED_FACTOR`.
    """

    drained_at: float
    admitted: float = 0.0  # units, forgotten over `RATE_WINDOW_S` while the counter replies
    time: float = 0.0  # s, forgotten in the same way: `admitted / time` is the rate
    fill: float = 0.0  # of the leaky bucket (NICC ND1621) at that rate
    asked: float = 0.0  # units that the counter was asked about, forgotten in the same way
    found: float = 0.0  # those of them for which the shared bucket had room
    alive: bool = True  # whether the counter replies

    def drain(self, now: float, alive: bool) -> None:
        """Lets the bucket leak up to `now`; the rate is forgotten only while the counter is alive."""
        elapsed, self.drained_at, self.alive = max(0.0, now - self.drained_at), now, alive
        self.fill = max(0.0, self.fill - UNCOUNTED_FACTOR * elapsed * self.rate())
        if alive:
            kept = math.exp(-elapsed / RATE_WINDOW_S)
            self.admitted, self.time = self.admitted * kept, self.time * kept + RATE_WINDOW_S * (1 - kept)
            self.asked, self.found = self.asked * kept, self.found * kept

    def rate(self) -> float:
        """Units per second."""
        return self.admitted / self.time if self.time > 0 else 0.0

    def size(self) -> float:
        """Units that may be admitted at once."""
        return (BURST_S if self.alive else OUTAGE_BURST_S) * UNCOUNTED_FACTOR * self.rate()

    def wait(self, units: float) -> float:
        """Seconds until a request of these units may be admitted uncounted; 0 if it may now.

        Also 0 until the rate has been observed for a third of `RATE_WINDOW_S`.
        """
        if self.time < RATE_WINDOW_S / 3:
            return 0.0
        rate = max(UNCOUNTED_FACTOR * self.rate(), 1e-3)
        return max(0.0, (self.fill + units - max(units, self.size())) / rate)


class CounterQuota:
    """One gateway's calls to the counter for customers of whom it sees few requests."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.calls: dict[int, deque[Call]] = {}
        # When the counter last replied, and when it first replied again after a loss.
        self.answered_at = self.recovered_at = -math.inf
        self.failing = False  # whether calls have failed since then
        self.uncounted: dict[str, UncountedBucket] = {}  # by plan
        self.trust, self.trust_at = 1.0, 0.0  # share of the wanted calls that is made
        self.mistake_costs = [self._mistake_cost(plan) for plan in settings.plans]

    @staticmethod
    def _mistake_cost(plan: api.Plan) -> float:
        """What a wrong decision costs, relative to other plans."""
        return plan.price * max(plan.excess_cost, 0.1)

    @staticmethod
    def epoch(now: float, customer: int) -> tuple[int, float]:
        """A customer's name on the counter at `now`, and when its epoch began."""
        place = now / EPOCH_S + customer % 97 / 97  # customers' epochs must not all begin at once
        return customer << 24 | int(place) & 0xFFFFFF, now - place % 1 * EPOCH_S

    def ask(self, now: float, request: api.Request, restrictor: Restrictor) -> api.Count | None:
        """The call that tells whether the shared bucket has room; None if none is to be made."""
        self.trust, self.trust_at = min(1.0, self.trust + TRUST_RECOVERY_PER_S * (now - self.trust_at)), now
        # Costliest mistakes first, by the plan in force, which need not be one of the settings'.
        rank = sum(other > self._mistake_cost(restrictor.plan) for other in self.mistake_costs)
        last = len(self.mistake_costs) - 1  # a plan cheaper than all of them ranks as the cheapest
        if self.rng.random() >= max(MIN_CALL_SHARE, (last + 1) * self.trust - min(rank, last)) * (
            RETRY_CALL_SHARE if request.retried else 1
        ):
            return None
        name, begun = self.epoch(now, request.customer)
        # Adding units and subtracting them again takes two calls: where a refusal is likely the number is
        # only read, and charged if there was room after all. Concurrent reads may both find the same room.
        amount = 0.0 if request.retried or restrictor.known_full(now, request.units) else request.units
        self.calls.setdefault(name, deque()).append(Call(now, amount, request, restrictor, begun))
        return api.Count(name, amount, LIFETIME_S)

    def wait(self, now: float, request: api.Request, restrictor: Restrictor) -> float:
        """Seconds until a sparse customer's uncounted request may be admitted, 0 if it may now.

        During a counter outage a gateway mostly gets customers that it has not seen, and cannot tell who is
        over quota. But it knows the rate at which the counter admitted customers of that plan: the gateways
        together continue at that rate, even if all customers ask for more at once.

        While the counter replies, this also adds to that rate the units that it would probably have admitted.
        """
        if not (self.settings.may_count and restrictor.sparse(request.units)):
            return 0.0
        # A retry was refused by another gateway, most likely because its customer is over quota.
        if request.retried:
            return STEP_S
        uncounted = self._uncounted(now, restrictor)
        # Whether this request is admitted or not, it is taken to fit as often as counted ones do.
        if now - self.answered_at < ALIVE_S:
            uncounted.admitted += request.units * (1 + uncounted.found) / (1 + uncounted.asked)
        return uncounted.wait(request.units)

    def record_admitted(
        self, now: float, request: api.Request, restrictor: Restrictor, counted: bool
    ) -> None:
        """Charges a sparse customer's admitted request to its plan's bucket, a counted one to the rate."""
        units = request.units
        if not (self.settings.may_count and restrictor.sparse(units)):
            return
        uncounted = self._uncounted(now, restrictor)
        uncounted.admitted += units * counted
        uncounted.fill = min(uncounted.fill + units, max(units, uncounted.size()))

    def _uncounted(self, now: float, restrictor: Restrictor) -> UncountedBucket:
        uncounted = self.uncounted.setdefault(restrictor.plan.name, UncountedBucket(now))
        uncounted.drain(now, now - self.answered_at < ALIVE_S)
        return uncounted

    def take_reply(self, now: float, event: api.CounterReply) -> Call | None:
        """The call that a reply belongs to, None if to none of these; updates the trust in the counter.

        Replies for one name come in the order of its calls.
        """
        if not (calls := self.calls.get(int(event.name) if isinstance(event.name, int) else -1)):
            return None
        call = calls.popleft()
        if not calls:
            del self.calls[int(event.name)]
        # Links under normal load have delays of their own: only a reply later than a client would notice, a
        # rejected call or a lost one is a sign of a counter that more calls would overload.
        took, late = now - call.sent_at, max(LATE_TIMEOUTS * self.settings.counter_timeout, 1e-3)
        overload = min(1.0, max(0.0, took / late - 1)) if event.ok else 1.0
        self.trust = max(MIN_CALL_SHARE, self.trust * (1 - TRUST_LOSS * overload))
        if event.ok:
            if self.failing and now - self.answered_at > LOSS_SILENCE_S:
                self.recovered_at = now
            self.answered_at, self.failing = now, False
        else:
            self.failing = True
        if not overload:
            self.trust = min(1.0, self.trust + TRUST_GAIN)
        return call

    def settle(
        self, now: float, call: Call, total: float, usual: float, not_sent: bool
    ) -> tuple[float, list[api.Action]]:
        """Decides by a reply's total: seconds until there is room, 0 if there is, and calls to correct it.

        `usual`: usual delay of the request's class, s; `not_sent`: another limit has refused the request.
        """
        request, restrictor = call.request, call.restrictor
        assert request is not None and restrictor is not None
        plan = restrictor.plan
        # The shared bucket's fill before this call: `raw_fill` as the number gives it, below 0 after an idle
        # time, and `before` as it counts. `room`: the largest fill at which the request is admitted.
        raw_fill = total - call.amount + INITIAL_FILL * plan.burst - plan.rate * (now - call.epoch_start)
        before, room = max(0.0, raw_fill), max(0.0, plan.burst - request.units)
        if total == call.amount and now - self.recovered_at < LOST_BURSTS * plan.burst / plan.rate:
            # The name is new since the counter lost its numbers: the lost bucket was hardly empty.
            before = max(before, LOST_FILL * plan.burst)
        # The quota's rate alone keeps `in_flight` attempts in flight. An open limit of no more than these
        # leaves no room beyond that rate, one of twice as many leaves the whole burst.
        if plan.open_limit:
            in_flight = OPEN_DELAYS * plan.rate * usual
            room = min(room, plan.burst * max(0.0, plan.open_limit / in_flight - 1)) if in_flight else room
        wait = 0.0
        if not_sent or before > room + LEEWAY_REQUESTS * request.units:
            wait = max((before - room) / plan.rate, 1e-3)
            # Subtracts only its own units: other calls subtract theirs. A larger excess is due to lost calls.
            fill = before if before <= plan.burst + MAX_OVERFILL_REQUESTS * request.units else plan.burst
        else:
            fill = before + request.units
        restrictor.known, restrictor.known_at = min(fill, plan.burst), now
        if not request.retried:
            uncounted = self._uncounted(now, restrictor)
            uncounted.asked, uncounted.found = (
                uncounted.asked + request.units,
                uncounted.found + request.units * (not wait),
            )
        correction = fill - raw_fill - call.amount
        if abs(correction) <= CORRECTION_REQUESTS * request.units:
            return wait, []
        # The name of the corrected call, even if the next epoch has begun.
        name, _ = self.epoch(call.epoch_start + EPOCH_S / 2, request.customer)
        self.calls.setdefault(name, deque()).append(Call(now))
        return wait, [api.Count(name, correction, LIFETIME_S)]

    def overdue(self, now: float) -> list[tuple[int, Call]]:
        """Calls whose reply is overdue; the caller takes them as failed."""
        late = (REPLY_TIMEOUTS + 1) * self.settings.counter_timeout
        return [(n, c) for n, calls in self.calls.items() for c in calls if now - c.sent_at > late]

    def abandon(self, request: str) -> None:
        """Drops a request that nobody waits for; its call keeps its place in the order."""
        for calls in self.calls.values():
            for call in calls:
                if call.request and call.request.id == request:
                    call.request = None
