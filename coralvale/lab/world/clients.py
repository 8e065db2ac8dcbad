"""Clients: customers with plans, their arrivals drawn ahead, their retries, and when they leave.

Arrivals and each request's own chance (class, work, gateways, patience) are drawn for blocks of time from
streams of their own, so that every policy meets the same requests whatever it does with them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import numpy as np

from coralvale.lab.model import Class, Plan
from coralvale.lab.streams import generator
from coralvale.lab.truth import Store

if TYPE_CHECKING:
    from coralvale.lab.world.platform import Platform

BLOCK = 0.5  # s of arrivals drawn at once
TRIES = 4  # tries of a request that have chance of their own; later ones use it again
CLASS, WORK, LEAVES, LEAVES_AT, TRY = 0, 1, 2, 3, 4  # places in a request's chance; 4 more for each try
PLACES = TRY + 4 * TRIES
NEAR = 0.95  # of its quota that a customer asks who is near it
LIGHT = 1 / 3  # times the others' part that a light customer asks


class Customer:
    __slots__ = ("entries", "first", "metered", "number", "plan", "plan_number", "store")

    def __init__(self, number: int, plan_number: int, plan: Plan, first: int, entries: int) -> None:
        self.number, self.plan_number, self.plan = number, plan_number, plan
        self.first, self.entries = first, entries
        self.store = Store(plan)
        self.metered = (0, 0.0, 0.0)  # the meter's period, units in it, units in the one before


class Effect:
    """What a client wants once: a first try and the retries that belong to it."""

    __slots__ = (
        "asked_at",
        "chance",
        "cls",
        "cls_number",
        "customer",
        "name",
        "tries",
        "units",
        "work",
        "worth",
    )

    def __init__(
        self, name: str, customer: Customer, number: int, cls: Class, asked_at: float, chance: list[float]
    ) -> None:
        self.name, self.customer, self.cls_number, self.cls = name, customer, number, cls
        self.asked_at, self.chance, self.tries = asked_at, chance, 0
        self.units = cls.units
        self.worth = cls.worth * customer.plan.price * cls.units
        spread = -np.log1p(-chance[WORK]) if cls.spread == "exponential" else 1.0
        self.work = cls.work * max(1e-3, float(spread))


def head(effect: Effect, name: str, left: float) -> bytes:
    """What a client of a real gateway sends for a try that has `left` s, as the protocol has it."""
    customer, method = effect.customer, "GET" if effect.cls.repeat == "safe" else "POST"
    lines = [
        f"{method} /api HTTP/1.1", "Host: service", f"X-Request-ID: {name}",
        f"X-Priority-Class: {effect.cls.name}", f"Plan: {customer.plan.name}",
        f"Cookie: client={customer.number:016x}", f"X-Timeout: {left:.3f}",
        f"Quota-Info: units={effect.units:g},spread={customer.entries},first={customer.first}",
    ]  # fmt: skip
    lines += ["Content-Length: 0"] if method == "POST" else []
    lines += ["X-Retried: 1"] if effect.tries > 1 else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Clients:
    def __init__(self, world: Platform) -> None:
        self.world, experiment = world, world.experiment
        self.load, seed = experiment.load, world.seed
        count, gateways = self.load.customers, experiment.fleet.gateways
        draw = generator(seed, "customers")
        shares = np.array([p.share for p in experiment.plans])
        plans = draw.choice(len(shares), size=count, p=shares / shares.sum())
        kinds, firsts, phases = draw.random((3, count))
        self.customers = []
        for number in range(count):
            plan = experiment.plans[plans[number]]
            entries = max(1, round(plan.entries * gateways))
            made = Customer(number, int(plans[number]), plan, int(firsts[number] * gateways), entries)
            self.customers.append(made)
        quotas = np.array([p.rate or 1.0 for p in experiment.plans])[plans]
        weights = np.where(kinds < self.load.light, LIGHT, 1.0) * quotas
        # Who asks past or near its quota is drawn from a stream of its own: a file without them keeps its chance.
        whose, times = generator(seed, "quotas").random((2, count))
        hot = np.arange(count) < self.load.hot
        over, near = whose < self.load.over, whose >= 1 - self.load.near
        parts = [self.load.hot_times, self.load.over_times * (0.6 + 0.8 * times), NEAR]
        self.rates = np.select([hot, over, near], parts, 0.0) * quotas
        hot = hot | over | near
        left = max(0.0, self.load.rate - self.rates.sum())
        cool = weights * ~hot
        if cool.sum():
            self.rates += left * cool / cool.sum()
        self.spiky = (kinds > 1 - self.load.spikes) & ~hot
        self.phases = phases * self.load.spike_every
        self.plans = plans
        weights = np.arange(1, gateways + 1, dtype=float) ** -self.load.uneven
        self.pull = generator(seed, "gateways").permutation(weights).tolist()
        cuts = np.cumsum([c.share for c in experiment.classes])
        self.cuts = (cuts / cuts[-1]).tolist()
        self.coming = self._arrivals()
        self.leaving = self.load.leaves

    def start(self) -> None:
        self._next()

    # Arrivals

    def _factors(self, at: float) -> np.ndarray:
        """Times its usual rate that each customer asks in the block that begins at `at`."""
        factors = np.ones(len(self.rates))
        if self.load.spikes:
            here = (at + self.phases) % self.load.spike_every < self.load.spike_lasts
            factors[self.spiky & here] = self.load.spike_times
        experiment = self.world.experiment
        for fault in experiment.timeline:
            ends = fault.at + fault.lasts if fault.lasts else experiment.seconds
            if fault.what == "load.surge" and fault.at <= at + BLOCK / 2 < ends:
                named = [
                    n for n, p in enumerate(experiment.plans) if not fault.plans or p.name in fault.plans
                ]
                factors[np.isin(self.plans, named)] *= fault.by
        return factors

    def _arrivals(self) -> Iterator[tuple[float, int, list[float]]]:
        """All first tries in order: when, whose, and their chance."""
        block, end = 0, self.world.experiment.seconds
        while block * BLOCK < end:
            at = block * BLOCK
            factors = self._factors(at)
            times, who, chances = [], [], []
            # More than usual comes from a stream of its own: what comes usually stays as it is.
            for name, part in (("usual", np.minimum(factors, 1.0)), ("more", np.maximum(factors - 1.0, 0.0))):
                draw = generator(self.world.seed, f"arrivals/{name}/{block}")
                counts = draw.poisson(self.rates * (1.0 if name == "usual" else part) * BLOCK)
                whose = np.repeat(np.arange(len(counts)), counts)
                when = at + BLOCK * draw.random(len(whose))
                chance = draw.random((len(whose), PLACES))
                if name == "usual" and (part < 1).any():
                    kept = draw.random(len(whose)) < part[whose]
                    whose, when, chance = whose[kept], when[kept], chance[kept]
                times.append(when)
                who.append(whose)
                chances.append(chance)
            when, whose, chance = np.concatenate(times), np.concatenate(who), np.concatenate(chances)
            for n in np.argsort(when, kind="stable").tolist():
                if when[n] < end:
                    yield float(when[n]), int(whose[n]), chance[n].tolist()
            block += 1

    def _next(self) -> None:
        if (told := next(self.coming, None)) is not None:
            self.world.engine.at(told[0], self._arrive, *told)

    def _arrive(self, at: float, whose: int, chance: list[float]) -> None:
        self._next()
        world, customer = self.world, self.customers[whose]
        number = next(n for n, cut in enumerate(self.cuts) if chance[CLASS] < cut)
        cls = world.experiment.classes[number]
        world.effects += 1
        effect = Effect(f"e{world.effects}", customer, number, cls, at, chance)
        measure = world.measure
        measure.add("asked")
        for name in ("worth asked", f"worth asked {cls.name}", f"worth asked {customer.plan.name}"):
            measure.add(name, effect.worth)
        if customer.store.fits(at, effect.units):
            measure.add("worth fitting", effect.worth)
        self.ask(effect)

    # Tries

    def ask(self, effect: Effect) -> None:
        """The client's next try, at one of its customer's gateways by lot."""
        world = self.world
        place = TRY + 4 * (effect.tries % TRIES)
        one, other, which = effect.chance[place : place + 3]
        customer, gateways = effect.customer, len(world.drivers)
        g = (customer.first + int(one * customer.entries)) % gateways
        h = (customer.first + int(other * customer.entries)) % gateways
        if which * (self.pull[g] + self.pull[h]) >= self.pull[g]:
            g = h
        effect.tries += 1
        world.measure.add("tries")
        leaves_at = 0.0
        if effect.chance[LEAVES] < self.leaving:
            leaves_at = effect.asked_at + effect.chance[LEAVES_AT] * effect.cls.aim
        world.drivers[g].take(effect, leaves_at)

    def turned_away(self, effect: Effect, advice: float, may_repeat: bool) -> None:
        """A try came to nothing; the client asks again while that can still be in time."""
        world = self.world
        if not may_repeat or effect.tries > self.load.retries:
            return
        u = effect.chance[TRY + 4 * ((effect.tries - 1) % TRIES) + 3]
        heeds = u < self.load.heeds
        rest = u / self.load.heeds if heeds else (u - self.load.heeds) / max(1e-9, 1 - self.load.heeds)
        wait = self.load.retry_after * (0.2 + 0.8 * rest)
        if heeds:
            wait = advice + 0.2 * wait
        if world.engine.now + wait < effect.asked_at + effect.cls.aim:
            world.engine.later(wait, self.ask, effect)
