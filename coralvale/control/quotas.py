"""What each proxy may let through of a station's quota: the decisions of the Rate Limit Quota Service.

A bucket is a station on a plan at one proxy. Its rate is the project's own: one `Restrictor` (the leaky bucket
of NICC ND1621 with the meter-scaled leak rate) for each bucket, stepped every second with what the proxy let
through; the metered use is the sum of what all proxies let through. Floor: the quota split over the station's
proxies; growth bounded; as on the gateway.

The hard ceiling (rate C, burst B) of a station is kept as a sum of leases, and by construction:

  live      An assignment (rate r, bucket b) may be in force from when it is sent until `ttl + margin` later,
            whether or not its proxy is still heard. At a proxy one is in force at a time, so a proxy counts
            with its highest live rate. Rule 1: the sum over proxies of their highest live rates is at most C.
  level     What may still be given away in buckets. It fills at C less that sum, to at most B less the buckets
            of live assignments; each assignment that a proxy does not already hold takes its b from it, since
            a proxy that gets a new one begins with a full bucket. Rule 2: no level, no new assignment.
  renewal   The same figures again: the proxy keeps its bucket (RLQS filter: an equal strategy only extends the
            time to live), so it takes nothing.
  start     An earlier life of the service may have given all away: for `ttl + margin` after the start nothing
            is free, and the level begins at nought.

So what proxies can let through in any window of t seconds is at most: buckets that were full at its start and
level then (together B at most) + rates (C t at most, with what fills the level) = B + C t. No report enters
into this bound: a proxy that says nothing, or anything, can only change who gets what.

  several   Where other control services serve the same stations (`leases`), rate and level are those of this
            service's part of the ceiling (`coralvale.allowance`): what is surely its own until an assignment
            ends, and its bucket. An assignment that would outlive what was lent to this service is given for a
            shorter time, `SHORTEST` at least.

The burst of a soft quota is held the same way, by what is reported: a new bucket is taken from a store that fills
with the part of the quota that is not used. Without it every change of a rate would give a burst away (measured
before: 1.9 times the quota through four uneven proxies).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from coralvale import interface as api
from coralvale.allowance.escrow import Escrow
from coralvale.allowance.leases import Leases
from coralvale.allowance.model import Ceiling
from coralvale.restrictor import STEP_S, Restrictor

BucketId = tuple[tuple[str, str], ...]  # the sorted pairs of envoy.service.rate_limit_quota.v3.BucketId
SPARE = 0.05  # share of a ceiling that is not given away as rate, so that the level fills and shares can move
CHANGE = 0.1  # relative change of a rate that is worth a new assignment
WISH = 1.25  # times what a proxy was asked for that is kept for it of a ceiling
LONGEST = 60.0  # s that one report is taken to cover at most
BELIEVED = 10.0  # times its plan that a report is believed; more would only drown the other proxies' use
STEPS = 0.1, 0.25, 0.5, 1.0  # of its even part that a proxy of a shared ceiling gets, by what it asks for
SHORTEST = 1.0  # s that an assignment lives, if what is lent to this service ends so soon
TICKS = 10  # fills of a token bucket a second, at most


@dataclass(frozen=True, slots=True)
class Assign:
    """A token bucket for a proxy: `rate` a second, `burst` tokens at most; a rate of 0 lets nothing in.

    `rate` None: no limit. `ttl` is in seconds from when the proxy gets it.
    """

    bucket: BucketId
    rate: float | None
    burst: int
    ttl: float


@dataclass(frozen=True, slots=True)
class Abandon:
    """The service knows nothing of this bucket, or no longer: the proxy forgets it."""

    bucket: BucketId


@dataclass(frozen=True, slots=True)
class Report:
    """One envoy.service.rate_limit_quota.v3 BucketQuotaUsage; `elapsed` in seconds since the last one."""

    bucket: BucketId
    station: str
    plan: int
    elapsed: float
    allowed: float
    denied: float


@dataclass(slots=True)
class Live:
    rate: float
    burst: int
    until: float


@dataclass(slots=True)
class Share:
    """One proxy's part of a station."""

    bucket: BucketId
    restrictor: Restrictor
    heard_at: float
    used: float = 0.0  # requests a second that it let through, by its newest report
    asked: float = 0.0  # and that it was asked for
    given: Assign | None = None
    given_at: float = -math.inf


@dataclass(slots=True)
class Station:
    """All proxies of one station on one plan, and what is alive of its ceiling."""

    plan: api.Plan
    shares: dict[int, Share] = field(default_factory=dict)  # by stream
    live: dict[int, list[Live]] = field(default_factory=dict)  # by stream, those that have ended too
    level: float = 0.0
    at: float = 0.0
    escrow: Escrow | None = None  # this service's part of the ceiling, if others have the rest
    burst: float = 0.0  # of the soft quota, what may still be given away in buckets
    burst_at: float = 0.0

    def soften(self, now: float) -> None:
        """Fills the soft burst with what the quota leaves of the reported use."""
        elapsed, self.burst_at = max(0.0, now - self.burst_at), max(self.burst_at, now)
        left = self.plan.rate - sum(share.used for share in self.shares.values())
        self.burst = min(self.plan.burst, max(0.0, self.burst + left * elapsed))

    def rate(self, but: int = -1) -> float:
        """The sum of the highest live rates, of all streams but one."""
        return sum(max(a.rate for a in held) for stream, held in self.live.items() if stream != but)

    def promised(self, moment: float) -> float:
        """The sum of the highest rates that are live at a moment or past it."""
        return sum(
            max((a.rate for a in held if a.until > moment), default=0.0) for held in self.live.values()
        )

    def take(self, burst: float) -> None:
        """A bucket is given away."""
        self.level -= burst
        if self.escrow:
            self.escrow.tokens = self.level

    def advance(self, now: float) -> None:
        """Fills the level to now; counts what ended on the way as alive to the end, which gives less."""
        elapsed, self.at = max(0.0, now - self.at), max(self.at, now)
        given = sum(max(a.burst for a in held) for held in self.live.values())
        if self.escrow:
            self.level = self.escrow.fill(now, self.rate(), max(0.0, self.escrow.capacity - given))
        else:
            room = self.plan.ceiling_burst - given
            self.level = min(max(0.0, room), self.level + (self.plan.ceiling_rate - self.rate()) * elapsed)
        for stream, held in list(self.live.items()):
            if alive := [a for a in held if a.until > now]:
                self.live[stream] = alive
            else:
                del self.live[stream]


class Quotas:
    """Reports in, assignments out. `ttl`, `margin` and `forget` are seconds; `most` bounds the buckets kept."""

    def __init__(
        self,
        settings: api.Settings,
        born: float,
        ttl: float,
        margin: float,
        forget: float,
        most: int,
        leases: Leases | None = None,
    ) -> None:
        self.settings, self.born = settings, born
        self.ttl, self.margin, self.forget, self.most = ttl, margin, forget, most
        self.leases = leases
        self.stations: dict[tuple[str, int], Station] = {}
        self.buckets = 0
        self.step_at = born + STEP_S
        self.distrusted = 0  # reports with a number that cannot be

    # In

    def report(self, now: float, stream: int, report: Report) -> list[Assign | Abandon]:
        """Takes one report of one proxy; returns the assignment that is due on its stream, if any.

        Raises OverflowError once `most` buckets are kept.
        """
        if not 0 <= report.plan < len(self.settings.plans):
            return [Abandon(report.bucket)]
        key, plan = (report.station, report.plan), self.settings.plans[report.plan]
        fresh = Station(plan, at=self._free_at(), burst=plan.burst, burst_at=now)
        if stream not in (station := self.stations.get(key) or fresh).shares:
            if self.buckets >= self.most:
                raise OverflowError(f"{self.buckets} quota buckets are kept, at most {self.most}")
            if self.leases and plan.ceiling_rate and station.escrow is None:
                ceiling = Ceiling(plan.ceiling_rate, plan.ceiling_burst)
                station.escrow = self.leases.get(now, report.station, report.plan, ceiling)
                station.escrow.reserved = station.promised
                station.at = max(station.at, now)
            self.buckets += 1
            self.stations[key] = station
            share = Share(report.bucket, Restrictor(plan, len(station.shares) + 1, now, self.born), now)
            station.shares[stream] = share
            self._settle(station)
        share = station.shares[stream]
        share.bucket, share.heard_at = report.bucket, now
        self._believe(share, plan, report)
        return self._due(now, station, stream)

    def _free_at(self) -> float:
        """Until then all that an earlier life of the service gave away may still be in force."""
        return self.born + self.ttl + self.margin

    def _believe(self, share: Share, plan: api.Plan, report: Report) -> None:
        elapsed, allowed, denied = report.elapsed, report.allowed, report.denied
        if not (
            math.isfinite(elapsed) and elapsed >= 0 and 0 <= allowed < math.inf and 0 <= denied < math.inf
        ):
            self.distrusted += 1
            return
        if (
            elapsed == 0
        ):  # the first report of a bucket subscribes; what it counts has no time to be spread on
            return
        most = BELIEVED * max(plan.rate + plan.burst, plan.ceiling_rate + plan.ceiling_burst, 1.0)
        elapsed = min(elapsed, LONGEST)
        self.distrusted += allowed / elapsed > most
        share.used = min(allowed / elapsed, most)
        share.asked = min((allowed + denied) / elapsed, most)

    def closed(self, stream: int) -> None:
        """A stream has ended. What its proxy holds stays alive until its time; its buckets are forgotten."""
        for station in self.stations.values():
            self._drop(station, stream)

    def _drop(self, station: Station, stream: int) -> None:
        if station.shares.pop(stream, None):
            self.buckets -= 1
            self._settle(station)

    def _settle(self, station: Station) -> None:
        """The station's proxies have changed: the floor of each is the quota split anew."""
        for share in station.shares.values():
            restrictor = share.restrictor
            restrictor.set_plan(station.plan, len(station.shares))
            restrictor.rate = max(restrictor.floor, min(restrictor.rate, station.plan.rate))

    def tick(self, now: float) -> list[tuple[int, Assign | Abandon]]:
        """To be called often: steps the rates each second, renews, forgets. Returns (stream, action)."""
        if now < self.step_at:
            return []
        self.step_at = max(self.step_at + STEP_S, now)
        actions: list[tuple[int, Assign | Abandon]] = []
        for key, station in list(self.stations.items()):
            station.advance(now)
            for stream, share in list(station.shares.items()):
                if now - share.heard_at > self.forget:
                    actions.append((stream, Abandon(share.bucket)))
                    self._drop(station, stream)
                elif now - share.heard_at > self.ttl:
                    share.used = share.asked = 0.0  # silent: what it may still let through is not use
            use = sum(share.used for share in station.shares.values())
            if station.escrow:
                asked = sum(share.asked for share in station.shares.values())
                station.escrow.record_demand(now, asked, max(0.0, asked - use), asked * STEP_S)
            for share in station.shares.values():
                share.restrictor.passed = share.used * STEP_S
                share.restrictor.reading = use / station.plan.rate if station.plan.rate else 0.0
                share.restrictor.reading_at = now
                share.restrictor.step(now)
            for stream, share in station.shares.items():
                if now - share.heard_at <= self.ttl:
                    actions += [(stream, action) for action in self._due(now, station, stream)]
            if not station.shares and not station.live:
                del self.stations[key]
                if self.leases and station.escrow:
                    self.leases.release(*key)
        return actions

    # Out

    def _due(self, now: float, station: Station, stream: int) -> list[Assign | Abandon]:
        """The assignment for a proxy, if what it holds is another or is about to end."""
        share = station.shares[stream]
        new = self._wanted(now, station, stream, share)
        held = share.given if share.given and now < share.given_at + share.given.ttl else None
        if held is not None and same(held, new):
            if now < share.given_at + held.ttl / 3:
                return []
            new = held = replace(held, ttl=new.ttl)
        if station.plan.ceiling_rate:
            new = self._within(now, station, stream, held, new)
        elif new is not held and new.rate:
            station.soften(now)
            new = Assign(new.bucket, new.rate, max(1, min(new.burst, math.floor(station.burst))), new.ttl)
            station.burst -= new.burst
        share.given, share.given_at = new, now
        return [new]

    def _wanted(self, now: float, station: Station, stream: int, share: Share) -> Assign:
        plan, rate = station.plan, share.restrictor.rate
        if not plan.rate and not plan.ceiling_rate:
            return Assign(share.bucket, None, 0, self.ttl)
        part = rate / plan.rate if plan.rate else 1.0
        burst = plan.burst * part if plan.rate else plan.ceiling_burst
        if plan.ceiling_rate:
            station.advance(now)
            rate = min(rate if plan.rate else math.inf, self._part(now, station, stream))
            most = station.escrow.capacity if station.escrow else plan.ceiling_burst
            burst = min(burst, most / (2 * len(station.shares)))
        return Assign(share.bucket, rate, max(1, math.floor(burst)), self._lives(now, station))

    def _lives(self, now: float, station: Station) -> float:
        """Seconds that an assignment may live: less than `ttl` while what is lent to this service ends sooner."""
        if station.escrow is None:
            return self.ttl
        escrow, full = station.escrow, now + self.ttl + self.margin
        end = (escrow.window(now) + 1) * escrow.length - escrow.guard - 0.001
        short = end - self.margin - now
        longer = short < SHORTEST or short >= self.ttl
        if longer or escrow.min_rate(now, full) >= (1 - SPARE) * escrow.min_rate(now, end):
            return self.ttl
        return short

    def _part(self, now: float, station: Station, stream: int) -> float:
        """A proxy's part of the ceiling: what others neither hold nor ask for, an even part at least."""
        most = self._most(now, station, now + self._lives(now, station) + self.margin)
        even = most / len(station.shares)
        taken = station.rate(but=stream)
        wished = sum(
            max(0.0, min(WISH * s.asked, even) - max((a.rate for a in station.live.get(n, ())), default=0.0))
            for n, s in station.shares.items()
            if n != stream
        )
        part = max(even, most - taken - wished)
        if station.escrow:
            # What a proxy does not ask for is left to be lent: in steps, since every change costs it a bucket.
            wish = WISH * station.shares[stream].asked / even if even > 0 else 0.0
            part = min(part, even * next((step for step in STEPS if step >= wish), math.inf))
        return part

    @staticmethod
    def _most(now: float, station: Station, until: float) -> float:
        """The rate that may be promised from now until a moment, over all proxies of this service."""
        rate = station.escrow.min_rate(now, until) if station.escrow else station.plan.ceiling_rate
        return (1 - SPARE) * rate

    def _within(self, now: float, station: Station, stream: int, held: Assign | None, new: Assign) -> Assign:
        """Rules 1 and 2 of the ceiling: what may not be given is not, whoever wants it."""
        station.advance(now)
        until = now + new.ttl + self.margin
        free = 0.0 if now < self._free_at() else self._most(now, station, until) - station.rate(but=stream)
        if station.escrow and new is held and (new.rate or 0.0) > free + 1e-9:
            held = None  # what was lent to this service ends, and with it what it promised
        if new is not held:
            rate, burst = min(new.rate or 0.0, free), min(new.burst, math.floor(station.level))
            if rate > 0 and burst >= 1:
                station.take(burst)
                new = Assign(new.bucket, rate, burst, new.ttl)
            elif held is not None and (held.rate or 0.0) <= free:
                # Nothing to begin another bucket with: it goes on with the one that it has.
                new = held = replace(held, ttl=new.ttl)
            else:
                new = Assign(new.bucket, 0.0, 0, new.ttl)
        if new.rate:
            lives = station.live.setdefault(stream, [])
            if lives and new is held:
                lives[-1].until = max(lives[-1].until, until)
            else:
                lives.append(Live(new.rate, new.burst, until))
        return new


def same(held: Assign, new: Assign) -> bool:
    """Whether a proxy may go on with what it holds: a new assignment costs a bucket and a message."""
    if held.rate is None or new.rate is None or not held.rate or not new.rate:
        return held.rate == new.rate
    return abs(new.rate - held.rate) <= CHANGE * held.rate


def token_bucket(assign: Assign) -> tuple[int, int, float]:
    """(max_tokens, tokens_per_fill, fill_interval in s) that give exactly `rate`, in whole tokens."""
    rate = assign.rate or 0.0
    tokens = max(1, min(assign.burst, math.ceil(rate / TICKS)))
    return max(assign.burst, 1), tokens, tokens / rate


class Meter:
    """A bound on events a second: `take` tells whether one more is within it."""

    def __init__(self, rate: float) -> None:
        self.rate, self.level, self.at = rate, rate, -math.inf

    def take(self, now: float, count: int = 1) -> bool:
        elapsed, self.at = (now - self.at if self.at > -math.inf else 0.0), now
        self.level = min(self.rate, self.level + self.rate * max(0.0, elapsed))
        if self.level < count:
            return False
        self.level -= count
        return True
