"""What holds for a station at this gateway at this moment: the plan book, read for the decision module. No I/O.

A request names a plan; the book's word goes before it. What is in force is an `api.Plan` of the station's own:

  figures    those of its plan in the book, or in the settings where the book does not know the plan
  quota      with the rate and burst that it has reserved for this moment
  ceiling    the lowest of all that hold at any moment from `GUARD` ago until `AHEAD` from now

So around a change both ceilings hold. `AHEAD`: an attempt that is sent now comes whole to its host within the
time that a connection may take to come up; what arrives under the new plan was charged to its ceiling.
`GUARD`: clocks differ by less, so no gateway leaves a ceiling while another is still under it.

Out of touch: the service tells every change `lead` seconds ahead. What a gateway has heard is what the book said
at a moment, so that until `lead - AHEAD - GUARD` after it the gateway knows of all that holds. Past that, if it
is `strict`, it holds every station to the floor as well: no plan that it could be missing has a lower ceiling. If
it is not, it goes on with what it knows.
"""

from __future__ import annotations

import math
from dataclasses import replace

from coralvale import interface as api
from coralvale.plans.book import Book

AHEAD = 0.35  # s: 0.25 for a connection to come up, and what a write waits for
GUARD = 0.12  # s: clocks that step by 50 ms, twice over, and some
NAMES = 1024  # of plans beside the settings' own, four times what a book may have
MOST = 50_000  # stations whose terms are kept between requests; past that they are read from the book again


class Terms:
    """The plans in force, for one gateway. Their numbers: the settings' own, then those of the book alone."""

    def __init__(self, settings: api.Settings, strict: bool, floor: tuple[float, float] = (0.0, 0.0)) -> None:
        self.settings, self.strict, self.own_floor = settings, strict, floor
        self.book = Book()
        self.names = [plan.name for plan in settings.plans]
        self.numbers = {
            name.encode(): number for number, name in enumerate(self.names)
        }  # as headers name them
        self.known_until = -math.inf
        # By station and number of the plan that it names: what is in force, and until when.
        self.kept: dict[tuple[int, int], tuple[float, api.Plan]] = {}
        self.floored: dict[api.Plan, api.Plan] = {}
        self.made: dict[
            api.Plan, api.Plan
        ] = {}  # the same figures are the same object: a change tells itself

    # What is heard of the book

    def changed(self, book: Book | None = None) -> None:
        """The book has other entries than before, or is another one."""
        self.book = book or self.book
        for name in self.book.plans:
            if name.encode() not in self.numbers:
                self._number(name)
        self.kept.clear()
        self.floored.clear()

    def _number(self, name: str) -> None:
        """Past `NAMES` a name takes the number of one that no book has had any more for long."""
        number, own = len(self.names), len(self.settings.plans)
        if number < own + NAMES:
            self.names.append(name)
        else:
            number = next(n for n in range(own, number) if self.names[n] not in self.book.plans)
            del self.numbers[self.names[number].encode()]
            self.names[number] = name
        self.numbers[name.encode()] = number

    def heard(self, moment: float) -> None:
        """The book is all that there was at a moment, on the clock that all machines read."""
        rate, burst = self.book.floor()
        if rate < self.own_floor[0] or burst < self.own_floor[1]:
            return  # plans may be below what this gateway would hold to: it must not take itself for in touch
        self.known_until = max(self.known_until, self.book.soonest(moment) - AHEAD - GUARD)

    def in_touch(self, now: float) -> bool:
        return now < self.known_until

    # What is in force

    def plan(self, now: float, customer: int, named: int) -> api.Plan:
        """What is in force for a station whose request names a plan."""
        key = customer, named
        found = self.kept.get(key)
        if found is None or now >= found[0]:
            if len(self.kept) >= MOST:
                self.kept.clear()
            until, read = self._read(now, customer, named)
            if len(self.made) >= MOST:
                self.made.clear()
            found = self.kept[key] = until, self.made.setdefault(read, read)
        plan = found[1]
        if self.strict and now >= self.known_until:
            return self._floored(plan)
        return plan

    def _read(self, now: float, customer: int, named: int) -> tuple[float, api.Plan]:
        station, book, name = f"{customer:016x}", self.book, self.names[named]
        edges = sorted(set(book.edges(station, name)))
        rate, burst = book.extra(station, now)
        plan = self._base(station, name, now)
        if plan.rate and rate:
            plan = replace(plan, rate=plan.rate + rate, burst=plan.burst + burst)
        moments = [now - GUARD, now, *(e for e in edges if now - GUARD < e <= now + AHEAD)]
        around = [self._base(station, name, moment) for moment in moments]
        ceilings = [(p.ceiling_rate, p.ceiling_burst) for p in around if p.ceiling_rate]
        if ceilings:
            lowest = min(r for r, _ in ceilings), min(b for _, b in ceilings)
            if lowest != (plan.ceiling_rate, plan.ceiling_burst):
                plan = replace(plan, ceiling_rate=lowest[0], ceiling_burst=lowest[1])
        later = [moment for edge in edges for moment in (edge - AHEAD, edge, edge + GUARD) if moment > now]
        return min(later, default=math.inf), plan

    def _base(self, station: str, name: str, moment: float) -> api.Plan:
        """The plan that a station is on, without what it has reserved."""
        name = self.book.on(station, moment) or name
        if (plan := self.book.plan(name, moment)) is not None:
            return plan
        number = self.numbers[name.encode()]
        # A plan that the book alone knows, named before it holds: as the first there is of it.
        return (
            self.settings.plans[number]
            if number < len(self.settings.plans)
            else self.book.plans[name][0].what
        )

    def _floored(self, plan: api.Plan) -> api.Plan:
        if (floored := self.floored.get(plan)) is None:
            rate, burst = self.own_floor
            if plan.ceiling_rate:
                rate, burst = min(rate, plan.ceiling_rate), min(burst, plan.ceiling_burst)
            floored = self.floored[plan] = replace(plan, ceiling_rate=rate, ceiling_burst=burst)
        return floored
