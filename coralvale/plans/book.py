"""The plan book's decisions: what may be changed, from when, and what is reserved. No I/O.

Commands (`define`, `move`, `reserve`, ...) check what is asked and return the record that it calls for, or raise;
`apply` is all that changes the state, so that a book read back from its records, at the plan service or at a
gateway, is the book that made them. `kept` and `restore` are the same without what is over.

  rule                                                                     why
  -----------------------------------------------------------------------  ---------------------------------------
  A change is told at least `lead` seconds before it holds.                all gateways know it when it comes, and
                                                                           one that has not been told anything for
                                                                           that long knows that it may be missing
                                                                           something
  Changes of one plan, station or pool come in the order of their times;   what holds at a moment is read from the
  one that is to come can be withdrawn, the last one first.                list alone, whatever the order of news
  A station is moved onto plans that the book has at that time; a plan     a name without figures would leave a
  is never taken away.                                                     station without limits
  A reservation is granted whole or not at all, out of what its pool has   what is granted holds; who is told no
  left over all of its time; refused, it is told what would fit.           can ask for less, or another time
  A pool is not made smaller than what is reserved in it.                  the same
  A reservation raises a quota, never a hard ceiling.                      a ceiling is what others rely on
  No ceiling is below the floor.                                           a gateway that is out of touch holds
                                                                           every station to the floor, and so is
                                                                           within any plan that it may be missing
  A command is carried out once, however often it is said.                 whoever got no answer says it again
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Generic, TypeVar, cast

from coralvale import interface as api
from coralvale.plans import calendar
from coralvale.plans.model import (
    COMMAND,
    ID,
    Cancelled,
    Defined,
    Entry,
    Led,
    Moved,
    PlansError,
    Pooled,
    Record,
    Refused,
    Reserved,
    Trimmed,
    Withdrawn,
    named,
    station_of,
)

DAY = 86400.0
HORIZON = 400 * DAY  # s ahead that anything may be planned
LONGEST = 31 * DAY  # s that a reservation may last
SEARCH = 90 * DAY  # s ahead that an earliest time is looked for
MOST_PLANS, MOST_STATIONS, MOST_POOLS, MOST_RESERVED = 256, 200_000, 256, 10_000
MOST_CHANGES = 16  # to come, of one plan, station or pool
KNOWN = 64  # of one, those that are over too
REMEMBERED = 10_000  # commands


T = TypeVar("T")


@dataclass
class Change(Generic[T]):
    """What holds from a moment on, and the record that said so."""

    at: float
    serial: int
    what: T


@dataclass(slots=True)
class Booked:
    """A reservation that was granted; one that was cancelled under way has another end."""

    record: Reserved
    serial: int

    @property
    def until(self) -> float:
        return self.record.until


def current(changes: list[Change[T]], moment: float) -> T | None:
    """What holds at a moment."""
    for change in reversed(changes):
        if change.at <= moment:
            return change.what
    return None


@dataclass(slots=True)
class Book:
    """One plan book. `lead` and `floor` (units a second, units) as `Led` says."""

    serial: int = 0
    plans: dict[str, list[Change[api.Plan]]] = field(default_factory=dict)
    stations: dict[str, list[Change[str]]] = field(default_factory=dict)
    pools: dict[str, list[Change[float]]] = field(default_factory=dict)
    reserved: dict[str, Booked] = field(default_factory=dict)
    of_station: dict[str, list[str]] = field(default_factory=dict)  # ids of its reservations
    leads: list[Change[Led]] = field(default_factory=list)
    recent: dict[str, Entry] = field(default_factory=dict)  # by command, the newest last

    # What holds

    def lead(self, now: float) -> float:
        """Seconds that a change must be told ahead now: as long as an earlier, longer lead may be relied on."""
        lead = self.leads[-1].what.lead if self.leads else 0.0
        for older, newer in zip(self.leads, self.leads[1:], strict=False):
            if now < newer.at + older.what.lead:
                lead = max(lead, older.what.lead)
        return lead

    def soonest(self, moment: float) -> float:
        """When a change may hold, at the soonest, that is told after a moment."""
        ends = [n.at + o.what.lead for o, n in zip(self.leads, self.leads[1:], strict=False)]
        return min(told + self.lead(told) for told in (moment, *(end for end in ends if end > moment)))

    def floor(self) -> tuple[float, float]:
        """Rate and burst that no ceiling is below; 0, 0 where none was set."""
        return (self.leads[-1].what.floor_rate, self.leads[-1].what.floor_burst) if self.leads else (0.0, 0.0)

    def plan(self, name: str, moment: float) -> api.Plan | None:
        return current(self.plans.get(name, []), moment)

    def on(self, station: str, moment: float) -> str:
        """The plan that a station is on; "" if the book does not say."""
        return current(self.stations.get(station, []), moment) or ""

    def extra(self, station: str, moment: float) -> tuple[float, float]:
        """Rate and burst that a station has reserved for a moment."""
        held = [self.reserved[id_] for id_ in self.of_station.get(station, ())]
        now = [b.record for b in held if b.record.at <= moment < b.until]
        return sum(r.rate for r in now), sum(r.burst for r in now)

    def edges(self, station: str, name: str) -> Iterator[float]:
        """Moments at which something changes for a station whose requests name a plan."""
        names = {name}
        for change in self.stations.get(station, ()):
            yield change.at
            names.add(change.what)
        for plan in names:
            yield from (change.at for change in self.plans.get(plan, ()))
        for id_ in self.of_station.get(station, ()):
            booked = self.reserved[id_]
            yield booked.record.at
            yield booked.until

    def left(self, pool: str) -> calendar.Steps:
        """What is free of a pool over time."""
        return calendar.free(
            [(change.at, change.what) for change in self.pools.get(pool, ())],
            [(b.record.at, b.until, b.record.rate) for b in self.reserved.values() if b.record.pool == pool],
        )

    def tables(self) -> tuple[tuple[str, dict[str, list[Change[Any]]]], ...]:
        plans, stations, pools = cast(Any, self.plans), cast(Any, self.stations), cast(Any, self.pools)
        return ("plan", plans), ("station", stations), ("pool", pools)

    # Commands

    def done(self, command: str) -> Entry | None:
        """What a command did, if it was carried out."""
        return self.recent.get(command)

    def define(self, now: float, plan: api.Plan, at: float | None = None) -> Record:
        """A plan, or other figures for it. Raises PlansError, Refused."""
        at = self._ahead(now, at)
        if plan.name not in self.plans and len(self.plans) >= MOST_PLANS:
            raise Refused(f"there are {MOST_PLANS} plans, and may not be more")
        rate, burst = self.floor()
        if plan.ceiling_rate and (plan.ceiling_rate < rate or plan.ceiling_burst < burst):
            raise Refused(
                f"plan {plan.name}: its ceiling ({plan.ceiling_rate:g}, {plan.ceiling_burst:g}) "
                f"is below the floor ({rate:g}, {burst:g})"
            )
        self._last(f"plan {plan.name}", self.plans.get(plan.name, []), now, at)
        return Defined(at, plan)

    def move(self, now: float, station: str, plan: str, at: float | None = None) -> Record:
        """A station onto a plan; "" gives it back to what its requests name."""
        at = self._ahead(now, at)
        station_of(station)
        if plan:
            named("plan", plan)
            if self.plan(plan, at) is None:
                raise Refused(f"plan {plan} is not in the book at that time")
        if station not in self.stations and len(self.stations) >= MOST_STATIONS:
            raise Refused(f"there are {MOST_STATIONS} stations in the book, and may not be more")
        self._last(f"station {station}", self.stations.get(station, []), now, at)
        return Moved(at, station, plan)

    def pool(self, now: float, pool: str, rate: float, at: float | None = None) -> Record:
        """Sets what a pool has from a moment on."""
        at = self._ahead(now, at)
        named("pool", pool)
        _figure("rate", rate)
        if pool not in self.pools and len(self.pools) >= MOST_POOLS:
            raise Refused(f"there are {MOST_POOLS} pools, and may not be more")
        changes = self.pools.get(pool, [])
        self._last(f"pool {pool}", changes, now, at)
        steps = [(change.at, change.what) for change in changes] + [(at, rate)]
        held = {id_: b for id_, b in self.reserved.items() if b.record.pool == pool and b.until > at}
        left = calendar.free(steps, [(b.record.at, b.until, b.record.rate) for b in held.values()])
        if over := [span for span in calendar.over(left) if span[1] > at]:
            begin, end, short = over[0]
            ids = [id_ for id_, b in held.items() if b.record.at < end and b.until > begin]
            raise Refused(
                f"pool {pool}: {short:g} units a second short of what is reserved from {max(begin, at):.3f} on "
                f"({', '.join(sorted(ids)[:8])})"
            )
        return Pooled(at, pool, rate)

    def reserve(
        self,
        now: float,
        id_: str,
        pool: str,
        station: str,
        rate: float,
        at: float | None,
        until: float,
        burst: float = 0.0,
    ) -> Record:
        """Allowance for a known event. Raises Refused with what would fit where it asks for too much."""
        at = self._ahead(now, at)
        named("id", id_, ID)
        station_of(station)
        _figure("rate", rate)
        _figure("burst", burst)
        _figure("until", until)
        if rate <= 0:
            raise PlansError("rate: expected a number above 0")
        if not 0 < until - at <= LONGEST:
            raise PlansError(f"until: expected within {LONGEST / DAY:g} days after the beginning, {at:.3f}")
        if id_ in self.reserved:
            raise Refused(f"reservation {id_}: is there already")
        if pool not in self.pools:
            raise Refused(f"pool {pool}: there is none")
        if len(self.reserved) >= MOST_RESERVED:
            raise Refused(f"there are {MOST_RESERVED} reservations, and may not be more")
        self._under_ceiling(station, at, until, rate)
        left = self.left(pool)
        most = calendar.most(left, at, until)
        if not calendar.fits(left, at, until, rate):
            when = calendar.earliest(left, at, until - at, rate, now + SEARCH)
            raise Refused(
                f"pool {pool}: {rate:g} units a second are more than is left then, {most:g}", most, when
            )
        return Reserved(at, until, id_, pool, station, rate, burst)

    def cancel(self, now: float, id_: str) -> Record:
        """Ends a reservation as soon as all gateways can know of it; one that has not begun never does."""
        if (booked := self.reserved.get(id_)) is None:
            raise Refused(f"reservation {id_}: there is none")
        at = self._ahead(now, None)
        if at >= booked.until:
            raise Refused(f"reservation {id_}: ends before that could be told")
        return Cancelled(at, id_)

    def withdraw(self, now: float, serial: int) -> Record:
        """Takes back a change that is to come, if gateways can still be told in time."""
        for kind, table in self.tables():
            for name, changes in table.items():
                for place, change in enumerate(changes):
                    if change.serial == serial:
                        self._may_withdraw(now, kind, name, list(changes), place)
                        return Withdrawn(now, serial)
        raise Refused(f"record {serial}: no change of a plan, station or pool that is still known")

    def _may_withdraw(self, now: float, kind: str, name: str, changes: list[Change[Any]], place: int) -> None:
        change = changes[place]
        if change.at < now + self.lead(now):
            raise Refused(f"{kind} {name}: the change of {change.at:.3f} is too near to be withdrawn")
        if place != len(changes) - 1:
            raise Refused(f"{kind} {name}: withdraw the last change first, record {changes[-1].serial}")
        if kind == "plan" and place == 0:
            users = [s for s, moves in self.stations.items() if any(m.what == name for m in moves)]
            if users:
                raise Refused(f"plan {name}: station {users[0]} is to be on it")
        if kind == "pool":
            steps = [(c.at, c.what) for c in changes[:place]]
            held = [b for b in self.reserved.values() if b.record.pool == name]
            left = calendar.free(steps, [(b.record.at, b.until, b.record.rate) for b in held])
            if any(end > change.at for _, end, _ in calendar.over(left)):
                raise Refused(f"pool {name}: more is reserved than it had before")

    def led(self, now: float, lead: float, floor: tuple[float, float]) -> Record | None:
        """What the operator sets: None if it is so already. A floor may not be above a plan's ceiling."""
        if self.leads and (self.leads[-1].what.lead, *self.floor()) == (lead, *floor):
            return None
        for name, changes in self.plans.items():
            for change in changes:
                ceiling = change.what.ceiling_rate, change.what.ceiling_burst
                if ceiling[0] and (ceiling[0] < floor[0] or ceiling[1] < floor[1]):
                    raise Refused(f"floor: above the ceiling of plan {name}")
        return Led(now, lead, *floor)

    def trim(self, before: float) -> Record | None:
        """What can be forgotten of the time before a moment; None if nothing can."""
        worn = (changes for _, table in self.tables() for changes in table.values())
        old = any(len(changes) > 1 and changes[1].at <= before for changes in worn)
        gone = any(c[-1].what == "" and c[-1].at <= before for c in self.stations.values())
        ended = any(b.until <= before for b in self.reserved.values())
        return Trimmed(before) if old or gone or ended else None

    def _ahead(self, now: float, at: float | None) -> float:
        """The moment from which a change shall hold; None: as soon as may be."""
        soonest = now + self.lead(now)
        if at is None:
            return soonest
        _figure("at", at)
        if at < soonest:
            raise Refused(f"at: {at:.3f} is too soon; a change is told {self.lead(now):g} s ahead")
        if at > now + HORIZON:
            raise PlansError(f"at: expected within {HORIZON / DAY:g} days")
        return at

    @staticmethod
    def _last(what: str, changes: list[Change[Any]], now: float, at: float) -> None:
        if changes and changes[-1].at >= at:
            raise Refused(
                f"{what}: record {changes[-1].serial} changes it at {changes[-1].at:.3f}: withdraw that first"
            )
        if sum(change.at > now for change in changes) >= MOST_CHANGES:
            raise Refused(f"{what}: {MOST_CHANGES} changes are to come, and may not be more")

    def _under_ceiling(self, station: str, at: float, until: float, rate: float) -> None:
        moments = {at, *(edge for edge in self.edges(station, "") if at < edge < until)}
        for moment in sorted(moments):
            plan = self.plan(self.on(station, moment), moment)
            if plan and plan.ceiling_rate:
                wanted = plan.rate + self.extra(station, moment)[0] + rate
                if wanted > plan.ceiling_rate + calendar.EXACT:
                    room = max(0.0, plan.ceiling_rate - wanted + rate)
                    raise Refused(
                        f"station {station}: plan {plan.name} has a ceiling of {plan.ceiling_rate:g} units a "
                        f"second, which leaves {room:g} above its rate",
                        room,
                    )

    # What they do

    def apply(self, entry: Entry) -> None:
        """Changes the state as an entry says. Raises PlansError for one that cannot follow what was."""
        if entry.serial != self.serial + 1:
            raise PlansError(f"record {entry.serial} after {self.serial}")
        record = entry.record
        if isinstance(record, Defined):
            self._add(self.plans, record.plan.name, Change(record.at, entry.serial, record.plan))
        elif isinstance(record, Moved):
            self._add(self.stations, record.station, Change(record.at, entry.serial, record.plan))
        elif isinstance(record, Pooled):
            self._add(self.pools, record.pool, Change(record.at, entry.serial, record.rate))
        elif isinstance(record, Reserved):
            if record.id in self.reserved:
                raise PlansError(f"record {entry.serial}: reservation {record.id} is there already")
            self.reserved[record.id] = Booked(record, entry.serial)
            self.of_station.setdefault(record.station, []).append(record.id)
        elif isinstance(record, Cancelled):
            booked = self.reserved.get(record.id)
            if booked is None:
                raise PlansError(f"record {entry.serial}: no reservation {record.id}")
            booked.record = replace(booked.record, until=min(booked.until, record.at))
            if booked.until <= booked.record.at:
                self._drop(record.id)
        elif isinstance(record, Withdrawn):
            self._withdraw(record.serial)
        elif isinstance(record, Led):
            self.leads = [*self.leads, Change(record.at, entry.serial, record)][-8:]
        else:
            self._trim(record.at)
        self.serial = entry.serial
        if entry.command:
            self.recent[entry.command] = entry
            if len(self.recent) > REMEMBERED:
                del self.recent[next(iter(self.recent))]

    @staticmethod
    def _add(lists: dict[str, list[Change[T]]], name: str, change: Change[T]) -> None:
        changes = lists.setdefault(name, [])
        if changes and changes[-1].at >= change.at:
            raise PlansError(f"record {change.serial}: {name} is changed at {changes[-1].at:.3f} already")
        changes.append(change)
        del changes[:-KNOWN]  # at most MOST_CHANGES of them are to come: what goes has been over for long

    def _withdraw(self, serial: int) -> None:
        for _, table in self.tables():
            for name, changes in table.items():
                if changes[-1].serial == serial:
                    changes.pop()
                    if not changes:
                        del table[name]
                    return
        raise PlansError(f"record {serial}: withdrawn, but no last change")

    def _drop(self, id_: str) -> None:
        booked = self.reserved.pop(id_)
        ids = self.of_station[booked.record.station]
        ids.remove(id_)
        if not ids:
            del self.of_station[booked.record.station]

    def _trim(self, before: float) -> None:
        for kind, table in self.tables():
            for name, changes in list(table.items()):
                while len(changes) > 1 and changes[1].at <= before:
                    del changes[0]
                if kind == "station" and changes[-1].what == "" and changes[-1].at <= before:
                    del table[name]
        for id_ in [id_ for id_, booked in self.reserved.items() if booked.until <= before]:
            self._drop(id_)

    # All of it

    def kept(self) -> Iterator[Entry]:
        """Entries that together give what holds and will hold, by serial."""
        rows: list[tuple[int, Record]] = []
        for defined in self.plans.values():
            rows += [(c.serial, Defined(c.at, c.what)) for c in defined]
        for station, moves in self.stations.items():
            rows += [(c.serial, Moved(c.at, station, c.what)) for c in moves]
        for pool, rates in self.pools.items():
            rows += [(c.serial, Pooled(c.at, pool, c.what)) for c in rates]
        rows += [(booked.serial, booked.record) for booked in self.reserved.values()]
        rows += [(change.serial, change.what) for change in self.leads]
        for serial, record in sorted(rows, key=lambda row: row[0]):
            yield Entry(serial, "", record)

    def put(self, entry: Entry) -> None:
        """An entry of `kept`, in their order. Raises PlansError."""
        if entry.serial <= self.serial:
            raise PlansError(f"record {entry.serial} after {self.serial}")
        self.serial = entry.serial - 1  # what was between is over, or withdrawn
        self.apply(entry)

    @classmethod
    def restore(cls, kept: Iterable[Entry], serial: int, recent: Iterable[Entry] = ()) -> Book:
        """The book whose entries, serial and remembered commands these are. Raises PlansError."""
        book = cls()
        for entry in kept:
            book.put(entry)
        if serial < book.serial:
            raise PlansError(f"serial {serial} after record {book.serial}")
        book.serial, book.recent = serial, {entry.command: entry for entry in recent}
        return book


def command_name(text: Any) -> str:  # noqa: ANN401
    """A command's name, checked. Raises PlansError."""
    named("command", text, COMMAND)
    return str(text)


def _figure(name: str, value: Any) -> float:  # noqa: ANN401
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise PlansError(f"{name}: expected a number from 0, got {value!r:.40}")
    return float(value)
