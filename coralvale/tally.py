"""A customer's store kept on the shared counter, for gateways that each see too little of it.

The counter only adds, so the number under a name stands for the leaky bucket of NICC ND1621 by a line:

    fill(t) = number + START x burst - rate x (t - when the name's epoch began)

One call adds a try's units and tells the fill that it found. Where that is below nought the customer has been
idle: what ran over is added, or it could be saved up. Where there is no room the units are taken off again.
Names change with epochs, as the counter forgets them; a new name finds its store at START of the burst.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from coralvale import interface as api
from coralvale.restrictor import STEP_S, Restrictor

EPOCH = 40.0  # s that a name serves: the counter keeps it for 60 s at most
KEEP = 60.0  # s that it is kept, from its first call
START = 0.5  # of the burst that counts as used when an epoch begins: half of it too much or too little
LAZY = 0.5  # requests by which a store may be wrong before a call puts it right
TRUST = 0.15  # share of the asking that comes back in a second after the counter was crowded
GAIN = 0.1  # share that an answer in time brings back: a counter that answers is soon asked again
DOUBT = 0.4  # share of the asking that one call without an answer in time takes away
AGAIN = 0.1  # of the calls for first tries that are made for clients' retries: most of them are over
LEARNT = 8.0  # s over which it is learnt what a plan's customers are let in for
LOOSE = 1.0  # times that rate at which they are let in uncounted
SPARE = 2.0  # s of that rate that may come at once while the counter answers, which puts stores right
ALONE = 1.0  # s of it while it does not
HEARD = 1.0  # s after its last answer for which the counter is taken to be there
LEAST = 0.1  # share that goes on being asked, to hear when it is better
OUT = 2.0  # usual delays after which an attempt is taken to be out no more
LEEWAY = 0.25  # of a request that a store may be short of: what calls on their way will have drained, about
GONE = 2.0  # s without an answer, with calls that failed, after which a counter may come back empty
LOST, FRESH = 0.55, 2.0  # of the burst that is then taken as used under a new name; for so many bursts' time
TICK = 0.1  # s between looks at what is overdue: well under any delay that a client would notice
REPLY_TIMEOUTS = 4.0  # counter time-outs that a reply is waited for: a late one was added too
LATE = 1.5  # times the counter's time-out that an answer may take before the counter is taken to be crowded
SPOILT = 2.0  # requests by which a store may be over its burst before that is taken for calls that were lost


@dataclass(slots=True)
class Call:
    """A call on its way; those that put a store right have no request that waits."""

    at: float
    amount: float = 0.0  # units
    request: api.Request | None = None
    restrictor: Restrictor | None = None
    begun: float = 0.0  # when the name's epoch began


@dataclass(slots=True)
class Usual:
    """What a plan's sparse customers were let in for here while the counter told, and uncounted since."""

    at: float
    units: float = 0.0  # let in, each forgotten over `LEARNT` seconds of a counter that answers
    time: float = 0.0  # s, forgotten in the same way: their quotient is the rate
    fill: float = 0.0  # of a bucket (NICC ND1621) that leaks at that rate
    asked: float = 0.0  # units that the counter was asked about, and those of them that it had room for
    found: float = 0.0
    told: bool = True  # whether the counter answers

    def drain(self, now: float, told: bool) -> None:
        elapsed, self.at, self.told = max(0.0, now - self.at), now, told
        self.fill = max(0.0, self.fill - LOOSE * elapsed * self.rate())
        if told:
            kept = math.exp(-elapsed / LEARNT)
            self.units, self.time = self.units * kept, self.time * kept + LEARNT * (1 - kept)
            self.asked, self.found = self.asked * kept, self.found * kept

    def rate(self) -> float:
        return self.units / self.time if self.time > 0 else 0.0

    def size(self) -> float:
        return (SPARE if self.told else ALONE) * LOOSE * self.rate()

    def wait(self, units: float) -> float:
        """Seconds until one more may be let in uncounted, 0 where it may, or where too little is known."""
        if self.time < LEARNT / 3:
            return 0.0
        rate = max(LOOSE * self.rate(), 1e-3)
        return max(0.0, (self.fill + units - max(units, self.size())) / rate)


class Tally:
    """One gateway's calls to the counter for customers that it sees seldom."""

    def __init__(self, settings: api.Settings, lots: random.Random) -> None:
        self.settings, self.lots = settings, lots
        self.calls: dict[int, deque[Call]] = {}
        self.heard_at = (
            self.back_at
        ) = -math.inf  # when the counter last answered; answered again after a loss
        self.silent = False  # since then calls have failed
        self.usual: dict[str, Usual] = {}  # by plan
        self.trust, self.told_at = 1.0, 0.0  # share of the wanted calls that are made
        self.dear = [self._dear(plan) for plan in settings.plans]  # what a mistake costs, by plan

    @staticmethod
    def _dear(plan: api.Plan) -> float:
        return plan.price * max(plan.excess_cost, 0.1)

    @staticmethod
    def epoch(now: float, customer: int) -> tuple[int, float]:
        """A customer's name on the counter at this time, and when its epoch began."""
        place = now / EPOCH + customer % 97 / 97  # customers' epochs must not all begin at once
        return customer << 24 | int(place) & 0xFFFFFF, now - place % 1 * EPOCH

    def ask(self, now: float, request: api.Request, restrictor: Restrictor) -> api.Count | None:
        """The call that tells whether the store has room; None where there is to be none."""
        self.trust, self.told_at = min(1.0, self.trust + TRUST * (now - self.told_at)), now
        # By the plan in force, which need not be one of the settings'. Dearest mistakes first.
        rank = sum(other > self._dear(restrictor.plan) for other in self.dear)
        last = len(self.dear) - 1  # one cheaper than all of them is asked for like the cheapest
        if self.lots.random() >= max(LEAST, (last + 1) * self.trust - min(rank, last)) * (
            AGAIN if request.retried else 1
        ):
            return None
        name, begun = self.epoch(now, request.customer)
        # Units added and taken off again are a second call: where a refusal is likely the store is read
        # and charged if there was room after all. Two that read at once may both find the same room.
        amount = 0.0 if request.retried or restrictor.told_full(now, request.units) else request.units
        self.calls.setdefault(name, deque()).append(Call(now, amount, request, restrictor, begun))
        return api.Count(name, amount, KEEP)

    def wait(self, now: float, request: api.Request, restrictor: Restrictor) -> float:
        """Seconds until a sparse customer's request may go on that was not counted, 0 if it may now.

        When the counter is away a gateway sees mostly customers that it has not seen, and cannot tell who is
        over its quota. But it knows what customers of that plan were let in for while the counter told: the
        fleet goes on at that rate by the sum of its gateways, also where all of them ask for more at once.
        """
        if not (self.settings.may_count and restrictor.sparse(request.units)):
            return 0.0
        # Who comes again was refused by another gateway, as most are who ask for more than their quota.
        if request.retried:
            return STEP_S
        usual = self._usual(now, restrictor)
        if now - self.heard_at < HEARD:  # as many of them fit as of those that are asked about, let in or not
            usual.units += request.units * (1 + usual.found) / (1 + usual.asked)
        return usual.wait(request.units)

    def let(self, now: float, request: api.Request, restrictor: Restrictor, counted: bool) -> None:
        """A request goes on, counted or not; if its customer is a sparse one it is taken down."""
        units = request.units
        if not (self.settings.may_count and restrictor.sparse(units)):
            return
        usual = self._usual(now, restrictor)
        usual.units += units * counted
        usual.fill = min(usual.fill + units, max(units, usual.size()))

    def _usual(self, now: float, restrictor: Restrictor) -> Usual:
        usual = self.usual.setdefault(restrictor.plan.name, Usual(now))
        usual.drain(now, now - self.heard_at < HEARD)
        return usual

    def answered(self, now: float, event: api.CounterReply) -> Call | None:
        """The call that a reply belongs to; replies for one name come in the order of its calls."""
        if not (calls := self.calls.get(int(event.name) if isinstance(event.name, int) else -1)):
            return None
        call = calls.popleft()
        if not calls:
            del self.calls[int(event.name)]
        # A line that is well used has delays of its own: only what is later than a client would notice, is
        # turned away or is lost tells of a counter that more calls would crowd.
        took, late = now - call.at, max(LATE * self.settings.counter_timeout, 1e-3)
        crowded = min(1.0, max(0.0, took / late - 1)) if event.ok else 1.0
        self.trust = max(LEAST, self.trust * (1 - DOUBT * crowded))
        if event.ok:
            if self.silent and now - self.heard_at > GONE:
                self.back_at = now
            self.heard_at, self.silent = now, False
        else:
            self.silent = True
        if not crowded:
            self.trust = min(1.0, self.trust + GAIN)
        return call

    def settle(
        self, now: float, call: Call, total: float, usual: float, not_sent: bool
    ) -> tuple[float, list[api.Action]]:
        """From the total found: seconds until there is room, 0 if there is, and what puts it right."""
        request, restrictor = call.request, call.restrictor
        assert request is not None and restrictor is not None
        plan = restrictor.plan
        found = total - call.amount + START * plan.burst - plan.rate * (now - call.begun)
        idle, room = max(0.0, found), max(0.0, plan.burst - request.units)
        if total == call.amount and now - self.back_at < FRESH * plan.burst / plan.rate:
            idle = max(
                idle, LOST * plan.burst
            )  # a name that is new since the loss: its store was hardly empty
        if (
            plan.open_limit
        ):  # at its rate the customer has so many out at any moment, of those that it may have
            out = OUT * plan.rate * usual
            room = min(room, plan.burst * max(0.0, plan.open_limit / out - 1)) if out else room
        wait = 0.0
        if not_sent or idle > room + LEEWAY * request.units:
            wait = max((idle - room) / plan.rate, 1e-3)
            # Its own units alone: what is over beside them others will take off; lost calls leave more.
            fill = idle if idle <= plan.burst + SPOILT * request.units else plan.burst
        else:
            fill = idle + request.units
        restrictor.known, restrictor.known_at = min(fill, plan.burst), now
        if not request.retried:
            told = self._usual(now, restrictor)
            told.asked, told.found = told.asked + request.units, told.found + request.units * (not wait)
        right = fill - found - call.amount
        if abs(right) <= LAZY * request.units:
            return wait, []
        name, _ = self.epoch(call.begun + EPOCH / 2, request.customer)
        self.calls.setdefault(name, deque()).append(Call(now))
        return wait, [api.Count(name, right, KEEP)]

    def tick(self, now: float) -> list[tuple[int, Call]]:
        """Calls whose reply is lost; to be taken as failed."""
        late = (REPLY_TIMEOUTS + 1) * self.settings.counter_timeout
        return [(n, c) for n, calls in self.calls.items() for c in calls if now - c.at > late]

    def leave(self, request: str) -> None:
        """Nobody waits for a request any more; its call keeps its place."""
        for calls in self.calls.values():
            for call in calls:
                if call.request and call.request.id == request:
                    call.request = None
