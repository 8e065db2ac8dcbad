"""A hard ceiling shared by gateways that trust neither one another's life nor the counter.

Each of the n gateways of a station owns a part: a bucket of burst B/n that fills at rate C/n. What a gateway will
not need it *gives*, for one window of time, to another that asks. Time is cut into windows of `length` seconds on
the clock that all machines read. What is given is a share g of a part, from 0 to 1, so that it means the same
under other figures.

  giver    Subtracts g C/n from its own rate first, from `guard` before the window until `guard` after it, then
           adds g to the name GIVE(window, giver, taker). It never takes it back, whatever the reply.
  taker    Reads that name (adds nought) and fills faster by g C/n from `guard` after the window's start until
           `guard` before its end; g is the highest total it has seen, at most 1.
  restart  A gateway that starts may have given away parts of this window and, if 0.83 of it are over, of the
           next, and forgotten it: it owns nothing until the window after, and its bucket begins empty. What it
           had taken it may read again: the same rate for the same window, not more. What a dead gateway took
           ends with the window.

**Why the ceiling holds.** GIVE names have one writer and are new with every window. Whatever the counter does
short of inventing amounts (losing, forking, answering late or not at all, adding what it said it did not, coming
back empty), no total of such a name is above what its writer added, hence above what it had subtracted before.
So at every moment the rates at which buckets fill add up to at most C while clocks differ by less than
2 * guard; buckets hold at most B; so any t seconds let in at most B + C t. Nothing is noticed, believed or voted
on for this. A counter that heals by adding up two halves may show up to twice a gift; clamped to C/n that is at
most one more part for one window.

**What trust is for.** Calls that do no good are not made. ASK names carry every gateway's wish in one number (two
digits each), and a wrong wish only wastes; so asks may be lost or garbled without harm.

  state    entered when                                  left when            calls
  -------  --------------------------------------------  -------------------  -------------------------------
  whole    at the start                                  -                    as due
  crowded  a reply took over a quarter of a window       replies come fast    every second window
  short    a total is below what this gateway added      totals fit again     as due: a loss harms nothing
  silent   two calls in a row had no reply, or a         a reply comes        wishes alone, one a window: the
           refusal                                                            first reply brings all back

Calls of one gateway for one station in a window: at most one ASK write, one ASK read, n - 1 gifts and n - 1
reads. Over any time at most `SPEND` calls for each request of the station that it has seen, and 2 n + 2 that were
saved up. Stations make theirs at moments of their own, so that a counter is not called by all at once.

**Another plan.** `settle` takes new figures at once; the time since the bucket was last filled counts by the
lower of both. While gateways differ on the figures the rates add up to at most the larger rate and the buckets to
the larger burst: a part is of the one or of the other. From when no request is let in by the old figures any more
they add up to the new ones, whatever was given before.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from coralvale.allowance.model import Call, Ceiling, Kind, Name, Trust

GUARD = 0.06  # s: clocks that step by 50 ms, twice over
KEEP = 0.02  # share of its part that a giver keeps at least: its own station may come back within the window
NEED = 1.0  # times its own asking that a gateway keeps: what it keeps beyond that is lost for the window
WISH = 1.3  # times its refusals that a gateway asks for: what it gets too much costs only the giver's spare
MEMORY = 1.0  # s over which asking is averaged
STEPS = 99  # a wish is told in this many parts of the whole ceiling: two digits
PLACES = 3  # gateways whose wishes fit into one exact total of seven digits
QUIET = 2  # calls in a row without a reply that make a counter silent
# Shares of a window at which wishes for the next are told, and are read, at the latest. The later, the less has
# changed when the gift holds; what is left must do for two calls, one after the other.
ASK_AT, GIVE_AT = 0.84, 0.93
ASK_BEFORE, GIVE_BEFORE = (
    0.45,
    0.25,
)  # s before its end, at the least: whoever drives this does so every 0.1 s
EARLIER = 0.1  # share of a window by which some stations do both earlier
SPEND, HEARSAY = 0.5, 0.1  # calls to the counter for each request seen here, and for each refused elsewhere


@dataclass(slots=True)
class Window:
    """What is agreed for one window."""

    given: dict[int, float] = field(default_factory=dict)  # to whom, share of a part
    taken: dict[int, float] = field(default_factory=dict)  # from whom, share of a part
    asked: bool = False
    looked: bool = False
    read: set[int] = field(default_factory=set)


class Escrow:
    """One station's ceiling at one gateway: place `me` of `gateways`, born at `born`."""

    def __init__(
        self,
        ceiling: Ceiling,
        station: int,
        gateways: int,
        index: int,
        born: float,
        length: float = 3.0,
        guard: float = GUARD,
        memory: float = MEMORY,
    ) -> None:
        if not (gateways >= 1 and 0 <= index < gateways and length >= 1 > 8 * guard):
            raise ValueError(
                f"gateway {index} of {gateways}, windows of {length} s with a guard of {guard} s"
            )
        self.ceiling, self.station, self.gateways, self.index = ceiling, station, gateways, index
        self.length, self.guard, self.memory = length, guard, memory
        # Rate that is promised to others up to a moment or past it, and cannot be given away before.
        self.reserved: Callable[[float], float] = lambda moment: 0.0
        self.part, self.capacity = ceiling.rate / gateways, ceiling.burst / gateways
        self.windows: dict[int, Window] = {}
        self.ask_at = min(ASK_AT, 1 - ASK_BEFORE / length)  # shares of a window
        self.give_at = min(GIVE_AT, 1 - GIVE_BEFORE / length)
        # Gifts of an earlier life may run in this window, and in the next if there was time to tell them.
        told = born - self.window(born) * length > (self.give_at - EARLIER) * length - 2 * guard
        self.owns_from = (self.window(born) + 1 + told) * length + guard if gateways > 1 else born
        self.tokens, self.at = 0.0, born
        self.asking, self.refused, self.asking_at = 0.0, 0.0, born
        self.trust, self.unanswered = Trust.WHOLE, 0
        self.added: dict[Name, float] = {}
        self.out: dict[Name, float] = {}  # calls without a reply, to when they were made
        self.changes: list[str] = []  # of trust, a line each, to be logged once
        self.credit = self.saved = 2.0 * gateways + 2  # calls that may be made now, and at most
        self.shift = station * 0.6180339887 % 1  # stations take turns within a window

    def window(self, now: float) -> int:
        return math.floor(now / self.length)

    # Requests

    def settle(self, now: float, ceiling: Ceiling) -> None:
        """Takes other figures for the station, from now on."""
        part = ceiling.rate / self.gateways
        # Nobody knows here since when they hold: not before the last request, which was let in by the old ones.
        self.part = min(self.part, part)
        self._fill(now)
        self.ceiling, self.part, self.capacity = ceiling, part, ceiling.burst / self.gateways
        self.tokens = min(self.tokens, self.capacity)

    def wait(self, now: float, units: float) -> float:
        """Takes down what is asked for; 0 if there is room for it, else seconds until there may be."""
        self._fill(now)
        self._forget(now)
        self.asking += units / self.memory
        self.credit = min(self.saved, self.credit + SPEND)
        if self.tokens + 1e-9 >= units:
            return 0.0
        self.refused += units / self.memory
        return max(1e-3, (units - self.tokens) / max(self.rate(now), self.part / 10, 1e-9))

    def charge(self, units: float) -> None:
        """The units that `wait` found room for, just now, are used; fewer than nought give back what was not."""
        self.tokens = min(self.capacity, self.tokens - units)

    def admit(self, now: float, units: float) -> float:
        """Both in one: 0 if the request is let in, and charged; else the seconds after which it might be."""
        wait = self.wait(now, units)
        if not wait:
            self.charge(units)
        return wait

    def record_demand(self, now: float, asking: float, refused: float, requests: float) -> None:
        """In place of `wait` where requests are only told of: units a second asked for and refused, how many."""
        self._fill(now)
        self.asking, self.refused, self.asking_at = asking, refused, now
        self.credit = min(self.saved, self.credit + SPEND * requests)

    def fill(self, now: float, promised: float, capacity: float) -> float:
        """Fills the bucket to now, less `promised` units a second that others take of it, to at most `most`."""
        elapsed = max(0.0, now - self.at)
        self._fill(now)
        self.tokens = min(capacity, self.tokens - promised * elapsed)
        return self.tokens

    def min_rate(self, now: float, until: float) -> float:
        """The lowest rate that it surely has at every moment from now to `until`."""
        rates, at = [self.rate(now), self.rate(until)], now
        while (at := self._edge(at)) < until:
            rates += [self.rate(at), self.rate(at - 1e-6)]
        return min(rates)

    def settled(self, now: float) -> bool:
        """Whether forgetting it and beginning anew, as one that was never asked for, would change nothing."""
        self._fill(now)
        given = any(window.given for window in self.windows.values())
        return not given and now >= self.owns_from and self.tokens >= self.capacity

    def rate(self, now: float) -> float:
        """Units a second at which the bucket fills at this moment."""
        if now < self.owns_from:
            own = 0.0
        else:
            given = sum(
                sum(w.given.values())
                for number, w in self.windows.items()
                if number * self.length - self.guard <= now < (number + 1) * self.length + self.guard
            )
            own = self.part * (1 - given)
        here = self.window(now)
        taken = 0.0
        inside = here * self.length + self.guard <= now < (here + 1) * self.length - self.guard
        if inside and here in self.windows:
            taken = self.part * sum(self.windows[here].taken.values())
        return max(0.0, own) + taken

    def _fill(self, now: float) -> None:
        """Fills the bucket to now, piece by piece between the moments at which the rate may change."""
        # A clock that was set back fills nothing twice; what is long past is one full bucket at most.
        if now > self.at + 3 * self.length:
            self.tokens = min(
                self.capacity, self.tokens + self.rate(self.at) * (now - self.at - 3 * self.length)
            )
            self.at = now - 3 * self.length
        while self.at < now:
            end = min(now, self._edge(self.at))
            self.tokens = min(self.capacity, self.tokens + self.rate((self.at + end) / 2) * (end - self.at))
            self.at = end

    def _edge(self, now: float) -> float:
        """The next moment after now at which the rate may change."""
        start = self.window(now) * self.length
        edges = (start + self.guard, start + self.length - self.guard, start + self.length + self.guard)
        edge = next(e for e in edges if e > now)
        return self.owns_from if now < self.owns_from < edge else edge

    def _forget(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.asking_at) / self.memory)
        self.asking, self.refused, self.asking_at = (
            self.asking * decay,
            self.refused * decay,
            max(now, self.asking_at),
        )

    # The counter

    def tick(self, now: float) -> list[Call]:
        """Calls that are due; to be called at `next_at`, or more often."""
        if self.gateways == 1:
            return []
        self._fill(now)
        self._forget(now)
        self._overdue(now)
        here = self.window(now)
        for number in [n for n in self.windows if n < here - 1]:
            del self.windows[number]
        self.added = {name: amount for name, amount in self.added.items() if name.window >= here - 1}
        if not self._worth(here):
            return []
        place = now / self.length - here + EARLIER * self.shift
        calls = self._take(now, here) + self._take(now, here + 1)
        coming = self.windows.setdefault(here + 1, Window())
        if place >= self.ask_at and not coming.asked:
            coming.asked = True
            calls += self._ask(now, here + 1)
        if place >= self.give_at and not coming.looked:
            coming.looked = True
            if now >= self.owns_from and self._spare() > 0 and self.credit >= 2:
                calls.append(self._call(now, Name(Kind.ASK, self.station, here + 1), 0.0))
        return calls

    def next_at(self, now: float) -> float:
        """When `tick` may have something to do next."""
        moments = []
        for window in (self.window(now), self.window(now) + 1):
            moments += [
                (window + at - EARLIER * self.shift) * self.length for at in (self.ask_at, self.give_at)
            ]
            moments.append(self._take_at((window + 1) * self.length))
        return min(m for m in moments if m > now)

    def _take_at(self, start: float) -> float:
        """When gifts for the window that begins at `start` are read: all have been told by then."""
        return start - self.guard / 2 - 0.04 * self.shift * self.length

    def _worth(self, window: int) -> bool:
        """Whether calls are made in this window, by what is held of the counter."""
        if self.trust is Trust.CROWDED:
            return (window + self.index) % 2 == 0
        return True

    def _ask(self, now: float, window: int) -> list[Call]:
        wish = min(self.refused * WISH, self.ceiling.rate - self.part)
        steps = (
            min(STEPS, math.ceil(STEPS * wish / self.ceiling.rate)) if self.refused > 0.05 * self.part else 0
        )
        # Who cannot pay for reading what it is given need not ask.
        if not steps or self.index >= PLACES or self.credit < self.gateways:
            return []
        self.windows[window].read = set()
        return [self._call(now, Name(Kind.ASK, self.station, window), steps * 100.0**self.index)]

    def _take(self, now: float, here: int) -> list[Call]:
        """Reads of gifts for this window: by one that asked for them, once from each."""
        window = self.windows.get(here)
        asked = Name(Kind.ASK, self.station, here)
        if (
            self.trust is Trust.SILENT
            or window is None
            or asked not in self.added
            or now < self._take_at(here * self.length)
        ):
            return []
        givers = [g for g in range(self.gateways) if g != self.index and g not in window.read]
        window.read.update(givers)
        return [self._call(now, Name(Kind.GIVE, self.station, here, g, self.index), 0.0) for g in givers]

    def _spare(self) -> float:
        """What of its part a gateway will not need in the next window."""
        start = (self.window(self.at) + 1) * self.length - self.guard
        keep = max(KEEP * self.part, NEED * self.asking, self.reserved(start))
        return max(0.0, self.part - keep)

    def _call(self, now: float, name: Name, amount: float) -> Call:
        self.credit -= 1
        if amount:
            self.added[name] = self.added.get(name, 0.0) + amount
        self.out[name] = now
        return Call(name, amount, 2 * self.length + 1)

    def unsent(self, call: Call) -> None:
        """A call that was not made. What was subtracted for a gift stays subtracted: a gift to nobody."""
        self.out.pop(call.name, None)
        self.credit = min(self.saved, self.credit + 1)
        if call.amount:
            left = self.added.get(call.name, 0.0) - call.amount
            if left > 1e-9:
                self.added[call.name] = left
            else:
                self.added.pop(call.name, None)

    def reply(self, now: float, name: Name, total: float | None) -> list[Call]:
        """Takes a total, or None for a call that failed or may have been added; returns gifts it calls for."""
        made = self.out.pop(name, None)
        if total is None or not math.isfinite(total):
            self._unheard()
            return []
        self.unanswered = 0
        if total < self.added.get(name, 0.0) - 1e-6:
            self._trusted(Trust.SHORT, f"{name} is at {total:g} after {self.added[name]:g} were added here")
        elif made is not None and now - made > self.length / 4:
            self._trusted(Trust.CROWDED, f"a reply took {now - made:.2f} s")
        else:
            self._trusted(Trust.WHOLE, "replies come in time and fit")
        if name.kind is Kind.GIVE:
            self._given(now, name, total)
            return []
        return self._give(now, name.window, total)

    def _given(self, now: float, name: Name, total: float) -> None:
        window = self.windows.get(name.window)
        if name.taker != self.index or window is None:
            return
        self._fill(now)  # what is past was filled without it
        before = window.taken.get(name.giver, 0.0)
        window.taken[name.giver] = max(before, min(total, 1.0))

    def _give(self, now: float, number: int, total: float) -> list[Call]:
        """Gives what is spare to those that ask for it, in the measure of their wishes."""
        window = self.windows.get(number)
        if window is None or window.given or number <= self.window(now) or now < self.owns_from:
            return []
        if now >= number * self.length - self.guard:  # too late: its own part of it may be in use
            return []
        if now < (number - 1 + self.give_at - EARLIER) * self.length:  # a restart now would not know of it
            return []
        whole = int(max(0.0, min(total, 10.0**7 - 1)) + 0.5)
        wishes = {
            place: min(STEPS, whole // 100**place % 100) * self.ceiling.rate / STEPS
            for place in range(min(PLACES, self.gateways))
            if place != self.index
        }
        wanted, spare = sum(wishes.values()), self._spare()
        # A wish is refusals elsewhere: that the station is busy, though little of it comes here.
        self.credit = min(self.saved, self.credit + HEARSAY * wanted * self.length)
        if not wanted or not spare or self.credit < 1:
            return []
        self._fill(now)
        calls = []
        for place, wish in wishes.items():
            gift = math.floor(min(spare * wish / wanted, wish) / self.part * 1e6) / 1e6
            if gift > 0 and self.credit >= 1:
                window.given[place] = gift  # subtracted before it is told: whatever becomes of the call
                calls.append(self._call(now, Name(Kind.GIVE, self.station, number, self.index, place), gift))
        return calls

    def _overdue(self, now: float) -> None:
        late = [name for name, made in self.out.items() if now - made > self.length]
        for name in late:
            del self.out[name]
            self._unheard()

    def _unheard(self) -> None:
        self.unanswered += 1
        if self.unanswered >= QUIET:
            self._trusted(Trust.SILENT, f"{self.unanswered} calls in a row without a reply")

    def _trusted(self, state: Trust, why: str) -> None:
        if state is not self.trust:
            self.changes.append(f"counter: {self.trust.value} -> {state.value}: {why}")
            del self.changes[:-16]
            self.trust = state
