"""The restrictor of a tenant at one gateway, and what the gateways' metering feeds to it.

The design's bucket (NICC ND1621, `coralvale.restrictor`): it drains at the leak rate, is charged one a
request, and refuses past a threshold that no class may fill beyond the burst; each second the leak rate
becomes what was let through times the quota over metered use, no lower than the quota split over the
tenant's gateways, rising by a bound at most. There is no store: each gateway tells all others what it has
let through in the rule's window, and at which rate lately, so that what is lost or comes twice does no harm,
and one that has just started knows all of it by its first round of words.

What keeps all gateways together within the quota while the meter is nought, late or cut off:

- The threshold is the burst's part by the leak rate. It is more only by this gateway's part of the room that
  is left in the window of the rule, as the newest words of all tell it, and that part is spent once between
  two words.
- A gateway that says nothing, and did not say that it leaves, may be serving behind a cut: its even part of
  the quota is kept for it, and is room for nobody else.
"""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

from coralvale import interface as api
from coralvale.cluster.rate_limit.ended import EndedUse
from coralvale.restrictor import Restrictor

PERIOD = 0.5  # s between words of a gateway
NOTHING = (0, 0)  # told of a tenant: let through in the window, and since the word before
LATE = 1.3  # s without a word after which what a gateway said of its use is too old to part the room by
SILENT = 2.2  # s without a word after which a gateway may be behind a cut
KEPT_FOR = 60.0  # s for which its part is kept for it
TAIL = 1e-6
MOST = 2000  # gateways known at once, as membership has it; words of further ones are left out
MARGIN = 0.97  # of what the rule allows
PART = 0.4  # of what the fleet's bucket has left, parted between two words, beside what it drains meanwhile
GUARD = 0.6  # of the room that the rule's window has left, that may be parted between two words
UNHEARD = 0.75  # of what others let through in their newest period: taken to have been let through since
SPIKE = 3.4  # s of its quota that a tenant may send until all hear of it: nine times its usual, for 0.6 s
UNSURE = 2.0  # s from its start, at most, for which a gateway that has not heard all others knows too little
FEWEST = 8  # gateways that are taken to serve until then, if no more are known of
UNSURE_PARTS = 2.0  # even parts of the flow that it grants itself until then
FREE = 8.0  # requests that a gateway may let through between two words while there is room for a spike
MET = 1.2  # s after one was met, or came back, in which all words are whole: it is ready when it knows all
WHOLE_EVERY = 4  # words of which one tells of all tenants; the others of those of whom there is news
SMOOTH = 0.5  # weight of the newest half second in a rate
IDLE = 60.0  # s without a request after which a tenant's bucket is forgotten
RATED = 0.95  # s between new leak rates, less what timers go off early


@frozen
class Rule:
    """The quota's rule: in any `window` seconds at most (rate x window + burst) x (1 + excess) + slack."""

    window: float
    excess: float
    slack: float


class TenantBucket(Restrictor):
    """One tenant's bucket, with a threshold that follows what is surely unused."""

    def __init__(self, plan: api.Plan, entries: int, now: float) -> None:
        self.level = 0.0  # up to where the room that is left lets the bucket be filled, until the next word
        self.credit = 0.0  # requests that may be let through until then, whatever the bucket says
        super().__init__(plan, entries, now, now)

    def threshold(self, units: float) -> float:
        part = self.plan.burst * min(1.0, self.rate / max(self.plan.rate, TAIL))
        return max(units, part, min(self.plan.burst, self.level))


Use = dict[str, tuple[int, int]]  # by tenant: requests let through in the window, and since the word before


@define
class Other:
    """What another gateway has said that it let through."""

    use: Use = field(factory=dict)
    heard: float = 0.0
    spoke: bool = False
    left: bool = False
    life: int = 0  # of the process that said so


@define
class Elsewhere:
    """What all others let through of one tenant: in the window, and in their newest periods."""

    window: int = 0
    newest: int = 0


class Window:
    """A running sum over the last seconds, in steps."""

    def __init__(self, length: float, step: float) -> None:
        self.length, self.step = length, step
        self.steps: deque[tuple[float, int]] = deque()
        self.sum = 0

    def add(self, now: float, count: int) -> None:
        if count <= 0:
            return
        self.sum += count
        if self.steps and now - self.steps[-1][0] < self.step:
            at, before = self.steps[-1]
            self.steps[-1] = (at, before + count)
        else:
            self.steps.append((now, count))

    def total(self, now: float) -> int:
        while self.steps and now - self.steps[0][0] > self.length:
            self.sum -= self.steps.popleft()[1]
        return self.sum


@define
class Metered:
    """One tenant's use."""

    bucket: TenantBucket
    window: Window  # of what was let through here
    passed: int = 0  # of it, since the last step
    newest: int = 0  # of it, in the period before that
    mine: float = 0.0  # a second, smoothed
    use: float = 0.0  # a second, all gateways', smoothed
    told: tuple[int, int] = (0, 0)
    fill: float = 0.0  # of the whole fleet's bucket, as far as it has been told


class RateLimiter:
    """All tenants' metering at one gateway."""

    def __init__(self, rule: Rule) -> None:
        self.rule = rule
        self.tenants: dict[str, Metered] = {}
        self.others: dict[str, Other] = {}
        self.sums: dict[str, Elsewhere] = {}
        self.ended = EndedUse()
        self.stepped = self.rated = -math.inf
        self.begun = -math.inf  # the first step
        self.refused: dict[str, int] = {}
        self.words, self.met = 0, -math.inf
        self.count, self.missing = 1, 0  # gateways that may be serving, this one too; of them, the silent
        self.late = 0  # and those that are late, the silent among them

    # The request's path

    def wait(self, now: float, name: str, rate: float, burst: float) -> float:
        """Seconds until a request of the tenant may pass, 0 if it may and is charged for it."""
        if rate <= 0:
            return 0.0
        metered = self._of(now, name, rate, burst)
        bucket = metered.bucket
        bucket.seen_at = now
        bucket.drain(now)
        wait = bucket.wait(1.0)
        if not wait and bucket.credit < 1.0:
            wait = max(0.05, self.stepped + PERIOD - now)
        if wait:
            self.refused[name] = self.refused.get(name, 0) + 1
            return wait
        bucket.charge(1.0)
        bucket.credit -= 1.0
        metered.passed += 1
        metered.window.add(now, 1)
        return 0.0

    def refund(self, name: str) -> None:
        """What was charged for was sent to no host: the bucket has it back, the meter keeps to the safe
        side."""
        if metered := self.tenants.get(name):
            metered.bucket.refund(1.0, 1.0)
            metered.bucket.credit += 1.0

    def _of(self, now: float, name: str, rate: float, burst: float) -> Metered:
        metered = self.tenants.get(name)
        entries = self.count
        if metered is None:
            plan = api.Plan(name, rate, max(1.0, burst), excess_cost=1.0)
            metered = Metered(
                TenantBucket(plan, entries, now), Window(self.rule.window, self.rule.window / 50)
            )
            self.tenants[name] = metered
            self._room(now, metered, self.elsewhere(name))
        plan = metered.bucket.plan
        if plan.rate != rate or plan.burst != max(1.0, burst):
            bucket = metered.bucket
            bucket.drain(now)
            scale = rate / plan.rate
            bucket.settle(api.Plan(name, rate, max(1.0, burst), excess_cost=1.0), entries)
            bucket.rate = max(bucket.floor, min(bucket.rate * scale, rate))
            self._room(now, metered, self.elsewhere(name))
        elif metered.bucket.entries != entries:
            metered.bucket.settle(plan, entries)
        return metered

    # Others

    def entries(self, now: float) -> int:
        """Gateways that serve, or may be serving behind a cut, this one as well."""
        return 1 + sum(not o.left and now - o.heard < KEPT_FOR for o in self.others.values())

    def silent(self, now: float, since: float = SILENT) -> int:
        """Of them, those that have not been heard of lately."""
        return sum(not o.left and since <= now - o.heard < KEPT_FOR for o in self.others.values())

    def know(self, now: float, name: str) -> None:
        """Another gateway is there, though it has said nothing of tenants yet."""
        self.met = now
        if name not in self.others and len(self.others) < MOST:
            self.others[name] = Other(heard=now)
            self.count = self.entries(now)

    def left(self, name: str) -> None:
        """A gateway has said that it ends."""
        if other := self.others.get(name):
            other.left = True

    def hear(self, now: float, name: str, use: Use, whole: bool = True, life: int = 0) -> None:
        """Another gateway's word: of all tenants, or of those of whom it has something else to say. `life`: of
        its process, 0 where it is not told. What one that was killed let through is in the window still."""
        other = self.others.get(name)
        if other is None:
            if len(self.others) >= MOST:
                return
            other = self.others[name] = Other()
            self.count += 1
        if life and other.life and life != other.life:
            self._process_ended(now, other)
        other.life = life or other.life
        if whole:
            for tenant in [t for t in other.use if t not in use]:
                self._take(other, tenant, (0, 0))
            other.spoke = True
        for tenant, told in use.items():
            self._take(other, tenant, told)
        other.heard, other.left = now, False

    def _process_ended(self, now: float, other: Other) -> None:
        """What a process that is no more let through stays in the window, by its last word and after it."""
        ends = other.heard + self.rule.window
        if ends <= now:
            return
        for tenant, (window, newest) in other.use.items():
            # After its last word it may have let through as much as in the period before.
            self.ended.add(ends, tenant, window if other.left else window + newest)

    def _take(self, other: Other, tenant: str, told: tuple[int, int]) -> None:
        before = other.use.get(tenant, NOTHING)
        if told == before:
            return
        if (sums := self.sums.get(tenant)) is None:
            sums = self.sums[tenant] = Elsewhere()
        sums.window += told[0] - before[0]
        sums.newest += told[1] - before[1]
        if told != NOTHING:
            other.use[tenant] = told
        else:
            other.use.pop(tenant, None)

    def heard_all(self) -> bool:
        """Whether each gateway that is known of has told its use: until then this one knows too little."""
        return all(o.spoke or o.left for o in self.others.values())

    def unsure(self, now: float) -> bool:
        """Whether this gateway has just started and does not know yet what the others let through."""
        return now - self.begun < UNSURE and not (self.others and self.heard_all())

    def told(self, now: float) -> tuple[Use, bool]:
        """What this gateway says of itself, to be told to all; whether it is whole, or only what has
        changed."""
        whole = self.words % WHOLE_EVERY == 0 or now - self.met < MET
        self.words += 1
        use: Use = {}
        for name, metered in self.tenants.items():
            newest = (metered.window.total(now), metered.newest)
            if newest != metered.told if not whole else newest != (0, 0):
                use[name] = newest
            metered.told = newest
        return use, whole

    def elsewhere(self, name: str) -> Elsewhere:
        """What all others let through, as far as they have told it."""
        return self.sums.get(name) or Elsewhere()

    # Time

    def step(self, now: float) -> None:
        """Before a word is sent: new leak rates, and parts of the room that is left."""
        if self.begun == -math.inf:
            self.begun = now
        elapsed = min(2.0, now - self.stepped) if self.stepped > -math.inf else PERIOD
        self.stepped = now
        rates = now - self.rated >= RATED
        self.rated = now if rates else self.rated
        for other in self.others.values():
            if other.use and now - other.heard > self.rule.window:
                for tenant in list(other.use):
                    self._take(other, tenant, (0, 0))
        self.ended.expire(now)
        self.count, self.missing, self.late = self.entries(now), self.silent(now), self.silent(now, LATE)
        absent = self.missing / self.count
        for name, metered in list(self.tenants.items()):
            bucket, sums = metered.bucket, self.elsewhere(name)
            metered.newest, metered.passed = metered.passed, 0
            metered.mine += SMOOTH * (metered.newest / elapsed - metered.mine)
            drained = self._flow(bucket.plan) * elapsed
            metered.fill = max(0.0, metered.fill + metered.newest + sums.newest - drained)
            metered.use += SMOOTH * (metered.newest / elapsed + sums.newest / PERIOD - metered.use)
            if rates:
                # What is kept for gateways that cannot be heard counts as used.
                bucket.heard(now, metered.use / bucket.plan.rate + absent)
                bucket.own_late = metered.mine  # as old as the reading is
                bucket.step(now)
            self._room(now, metered, sums)
            if now - bucket.seen_at > IDLE and not metered.window.total(now):
                del self.tenants[name]
        for name in [n for n, sums in self.sums.items() if not (sums.window or sums.newest)]:
            del self.sums[name]

    def _most(self, plan: api.Plan) -> float:
        """Requests that all may let through in the rule's window, less a margin."""
        rule = self.rule
        return ((plan.rate * rule.window + plan.burst) * (1 + rule.excess) + rule.slack) * MARGIN

    def _flow(self, plan: api.Plan) -> float:
        """Requests a second that use the window up beside the burst; the quota, and a little more."""
        rule = self.rule
        burst = plan.burst * (1 + rule.excess) + rule.slack / 2
        return max(0.0, self._most(plan) - burst) / rule.window

    def _room(self, now: float, metered: Metered, sums: Elsewhere) -> None:
        """This gateway's part of what all may let through until the next word.

        All together are held to one bucket: of the quota's burst, and of the rate that uses the rule's window up
        beside it. What it drains until the next word is parted whole, of what it has left a `PART`: what others
        let through since their last word is not known here, it is taken to be as much as in the period before,
        and room that is seen late is approached and not overshot (a delayed integrator does not while its gain
        times its delay is under 1/e). Without the bucket the window's whole room went in a second, and the tenant
        got a third of its quota for the four after that. The window itself may not be passed, and bounds all.
        While even a tenant that sends `SPIKE` times its quota at once could not fill the room before all hear of
        it, nothing needs parting: a part of the few requests that one of many gateways sees of a small tenant
        would be less than one.
        """
        rule, plan = self.rule, metered.bucket.plan
        if self.unsure(now):
            even = self._flow(plan) * PERIOD / max(self.count, FEWEST)
            self._grant(now, metered, max(1.0, UNSURE_PARTS * even))
            return
        most = self._most(plan)
        kept = self.missing / self.count * most
        unknown = sums.newest * UNHEARD
        used = sums.window + self.ended.of(plan.name) + metered.window.total(now)
        room = max(0.0, most - kept - used - unknown)
        even = 1 / self.count
        share = 0.5 * even + 0.5 * (metered.mine / metered.use if metered.use > 0 else even)
        # The less is heard of the others the more even: two sides of a cut would each take the use for theirs.
        share += min(1.0, 2 * self.late * even) * (even - share)
        burst = plan.burst * (1 + rule.excess) + rule.slack / 2
        left = burst - metered.fill - unknown
        flow = max(0.0, self._flow(plan) * PERIOD + PART * left)
        part = min(GUARD * room, flow) * min(1.0, share)
        free = room - SPIKE * plan.rate
        if free > 0 and left > burst / 2:
            part = max(part, min(free, FREE))
        self._grant(now, metered, part)

    def _grant(self, now: float, metered: Metered, part: float) -> None:
        """What this gateway may let through until the next word."""
        bucket = metered.bucket
        bucket.drain(now)
        bucket.level = bucket.fill + part
        # What was not used is kept, up to one request: of a small part the next period may have need.
        bucket.credit = part + min(1.0, max(0.0, bucket.credit))
