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

from coralvale.allowance.model import Call, Ceiling, CounterState, Kind, Name

CLOCK_GUARD_S = 0.06  # s: clocks that step by 50 ms, twice over
MIN_KEPT_SHARE = (
    0.02  # share of its part that a giver keeps at least: its own station may come back within the window
)
KEPT_DEMAND_FACTOR = (
    1.0  # times its own asking that a gateway keeps: what it keeps beyond that is lost for the window
)
DEMAND_FACTOR = (
    1.3  # times its refusals that a gateway asks for: what it gets too much costs only the giver's spare
)
DEMAND_AVERAGING_S = 1.0  # s over which asking is averaged
DEMAND_STEPS = 99  # a wish is told in this many parts of the whole ceiling: two digits
MAX_DEMANDING_GATEWAYS = 3  # gateways whose wishes fit into one exact total of seven digits
SILENT_AFTER_FAILURES = 2  # calls in a row without a reply that make a counter silent
# Shares of a window at which wishes for the next are told, and are read, at the latest. The later, the less has
# changed when the gift holds; what is left must do for two calls, one after the other.
DEMAND_PHASE, GRANT_PHASE = 0.84, 0.93
DEMAND_BEFORE_END_S, GRANT_BEFORE_END_S = (
    0.45,
    0.25,
)  # s before its end, at the least: whoever drives this does so every 0.1 s
MAX_PHASE_SHIFT = 0.1  # share of a window by which some stations do both earlier
CALLS_PER_REQUEST, CALLS_PER_REMOTE_REFUSAL = (
    0.5,
    0.1,
)  # calls to the counter for each request seen here, and for each refused elsewhere


@dataclass(slots=True)
class Window:
    """What is agreed for one window."""

    granted: dict[int, float] = field(default_factory=dict)  # to whom, share of a part
    received: dict[int, float] = field(default_factory=dict)  # from whom, share of a part
    demand_sent: bool = False
    demand_read: bool = False
    grants_read: set[int] = field(default_factory=set)


class Escrow:
    """One station's ceiling at one gateway: place `me` of `gateways`, born at `born`."""

    def __init__(
        self,
        ceiling: Ceiling,
        station: int,
        gateways: int,
        index: int,
        started_at: float,
        length: float = 3.0,
        guard: float = CLOCK_GUARD_S,
        memory: float = DEMAND_AVERAGING_S,
    ) -> None:
        if not (gateways >= 1 and 0 <= index < gateways and length >= 1 > 8 * guard):
            raise ValueError(
                f"gateway {index} of {gateways}, windows of {length} s with a guard of {guard} s"
            )
        self.ceiling, self.station, self.gateways, self.index = ceiling, station, gateways, index
        self.length, self.guard, self.memory = length, guard, memory
        # Rate that is promised to others up to a moment or past it, and cannot be given away before.
        self.reserved: Callable[[float], float] = lambda moment: 0.0
        self.own_rate, self.capacity = ceiling.rate / gateways, ceiling.burst / gateways
        self.windows: dict[int, Window] = {}
        self.demand_phase = min(DEMAND_PHASE, 1 - DEMAND_BEFORE_END_S / length)  # shares of a window
        self.grant_phase = min(GRANT_PHASE, 1 - GRANT_BEFORE_END_S / length)
        # Gifts of an earlier life may run in this window, and in the next if there was time to tell them.
        may_have_granted_next = (
            started_at - self.window(started_at) * length
            > (self.grant_phase - MAX_PHASE_SHIFT) * length - 2 * guard
        )
        self.owns_from = (
            (self.window(started_at) + 1 + may_have_granted_next) * length + guard
            if gateways > 1
            else started_at
        )
        self.tokens, self.filled_at = 0.0, started_at
        self.demand, self.refused_rate, self.demand_at = 0.0, 0.0, started_at
        self.counter_state, self.failed_calls = CounterState.WHOLE, 0
        self.added: dict[Name, float] = {}
        self.in_flight: dict[Name, float] = {}  # calls without a reply, to when they were made
        self.state_changes: list[str] = []  # of trust, a line each, to be logged once
        self.call_credit = self.max_call_credit = (
            2.0 * gateways + 2
        )  # calls that may be made now, and at most
        self.phase_shift = station * 0.6180339887 % 1  # stations take turns within a window

    def window(self, now: float) -> int:
        return math.floor(now / self.length)

    # Requests

    def set_ceiling(self, now: float, ceiling: Ceiling) -> None:
        """Takes other figures for the station, from now on."""
        own_rate = ceiling.rate / self.gateways
        # Nobody knows here since when they hold: not before the last request, which was let in by the old ones.
        self.own_rate = min(self.own_rate, own_rate)
        self._fill(now)
        self.ceiling, self.own_rate, self.capacity = ceiling, own_rate, ceiling.burst / self.gateways
        self.tokens = min(self.tokens, self.capacity)

    def wait(self, now: float, units: float) -> float:
        """Takes down what is asked for; 0 if there is room for it, else seconds until there may be."""
        self._fill(now)
        self._decay_demand(now)
        self.demand += units / self.memory
        self.call_credit = min(self.max_call_credit, self.call_credit + CALLS_PER_REQUEST)
        if self.tokens + 1e-9 >= units:
            return 0.0
        self.refused_rate += units / self.memory
        return max(1e-3, (units - self.tokens) / max(self.rate(now), self.own_rate / 10, 1e-9))

    def charge(self, units: float) -> None:
        """The units that `wait` found room for, just now, are used; fewer than nought give back what was not."""
        self.tokens = min(self.capacity, self.tokens - units)

    def admit(self, now: float, units: float) -> float:
        """Both in one: 0 if the request is let in, and charged; else the seconds after which it might be."""
        wait = self.wait(now, units)
        if not wait:
            self.charge(units)
        return wait

    def record_demand(self, now: float, demand: float, refused_rate: float, requests: float) -> None:
        """In place of `wait` where requests are only told of: units a second asked for and refused, how many."""
        self._fill(now)
        self.demand, self.refused_rate, self.demand_at = demand, refused_rate, now
        self.call_credit = min(self.max_call_credit, self.call_credit + CALLS_PER_REQUEST * requests)

    def fill(self, now: float, promised: float, capacity: float) -> float:
        """Fills the bucket to now, less `promised` units a second that others take of it, to at most `most`."""
        elapsed = max(0.0, now - self.filled_at)
        self._fill(now)
        self.tokens = min(capacity, self.tokens - promised * elapsed)
        return self.tokens

    def min_rate(self, now: float, until: float) -> float:
        """The lowest rate that it surely has at every moment from now to `until`."""
        rates, at = [self.rate(now), self.rate(until)], now
        while (at := self._next_rate_change(at)) < until:
            rates += [self.rate(at), self.rate(at - 1e-6)]
        return min(rates)

    def can_evict(self, now: float) -> bool:
        """Whether forgetting it and beginning anew, as one that was never asked for, would change nothing."""
        self._fill(now)
        granted = any(window.granted for window in self.windows.values())
        return not granted and now >= self.owns_from and self.tokens >= self.capacity

    def rate(self, now: float) -> float:
        """Units a second at which the bucket fills at this moment."""
        if now < self.owns_from:
            own = 0.0
        else:
            granted = sum(
                sum(w.granted.values())
                for number, w in self.windows.items()
                if number * self.length - self.guard <= now < (number + 1) * self.length + self.guard
            )
            own = self.own_rate * (1 - granted)
        current = self.window(now)
        received = 0.0
        inside = current * self.length + self.guard <= now < (current + 1) * self.length - self.guard
        if inside and current in self.windows:
            received = self.own_rate * sum(self.windows[current].received.values())
        return max(0.0, own) + received

    def _fill(self, now: float) -> None:
        """Fills the bucket to now, piece by piece between the moments at which the rate may change."""
        # A clock that was set back fills nothing twice; what is long past is one full bucket at most.
        if now > self.filled_at + 3 * self.length:
            self.tokens = min(
                self.capacity,
                self.tokens + self.rate(self.filled_at) * (now - self.filled_at - 3 * self.length),
            )
            self.filled_at = now - 3 * self.length
        while self.filled_at < now:
            end = min(now, self._next_rate_change(self.filled_at))
            self.tokens = min(
                self.capacity, self.tokens + self.rate((self.filled_at + end) / 2) * (end - self.filled_at)
            )
            self.filled_at = end

    def _next_rate_change(self, now: float) -> float:
        """The next moment after now at which the rate may change."""
        start = self.window(now) * self.length
        edges = (start + self.guard, start + self.length - self.guard, start + self.length + self.guard)
        edge = next(e for e in edges if e > now)
        return self.owns_from if now < self.owns_from < edge else edge

    def _decay_demand(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.demand_at) / self.memory)
        self.demand, self.refused_rate, self.demand_at = (
            self.demand * decay,
            self.refused_rate * decay,
            max(now, self.demand_at),
        )

    # The counter

    def tick(self, now: float) -> list[Call]:
        """Calls that are due; to be called at `next_at`, or more often."""
        if self.gateways == 1:
            return []
        self._fill(now)
        self._decay_demand(now)
        self._expire_calls(now)
        current = self.window(now)
        for number in [n for n in self.windows if n < current - 1]:
            del self.windows[number]
        self.added = {name: amount for name, amount in self.added.items() if name.window >= current - 1}
        if not self._may_call(current):
            return []
        phase = now / self.length - current + MAX_PHASE_SHIFT * self.phase_shift
        calls = self._read_grants(now, current) + self._read_grants(now, current + 1)
        upcoming = self.windows.setdefault(current + 1, Window())
        if phase >= self.demand_phase and not upcoming.demand_sent:
            upcoming.demand_sent = True
            calls += self._send_demand(now, current + 1)
        if phase >= self.grant_phase and not upcoming.demand_read:
            upcoming.demand_read = True
            if now >= self.owns_from and self._spare_rate() > 0 and self.call_credit >= 2:
                calls.append(self._call(now, Name(Kind.DEMAND, self.station, current + 1), 0.0))
        return calls

    def next_at(self, now: float) -> float:
        """When `tick` may have something to do next."""
        moments = []
        for window in (self.window(now), self.window(now) + 1):
            moments += [
                (window + at - MAX_PHASE_SHIFT * self.phase_shift) * self.length
                for at in (self.demand_phase, self.grant_phase)
            ]
            moments.append(self._read_grants_at((window + 1) * self.length))
        return min(m for m in moments if m > now)

    def _read_grants_at(self, start: float) -> float:
        """When gifts for the window that begins at `start` are read: all have been told by then."""
        return start - self.guard / 2 - 0.04 * self.phase_shift * self.length

    def _may_call(self, window: int) -> bool:
        """Whether calls are made in this window, by what is held of the counter."""
        if self.counter_state is CounterState.CROWDED:
            return (window + self.index) % 2 == 0
        return True

    def _send_demand(self, now: float, window: int) -> list[Call]:
        wanted_rate = min(self.refused_rate * DEMAND_FACTOR, self.ceiling.rate - self.own_rate)
        steps = (
            min(DEMAND_STEPS, math.ceil(DEMAND_STEPS * wanted_rate / self.ceiling.rate))
            if self.refused_rate > 0.05 * self.own_rate
            else 0
        )
        # Who cannot pay for reading what it is given need not ask.
        if not steps or self.index >= MAX_DEMANDING_GATEWAYS or self.call_credit < self.gateways:
            return []
        self.windows[window].grants_read = set()
        return [self._call(now, Name(Kind.DEMAND, self.station, window), steps * 100.0**self.index)]

    def _read_grants(self, now: float, current: int) -> list[Call]:
        """Reads of gifts for this window: by one that asked for them, once from each."""
        window = self.windows.get(current)
        demand_name = Name(Kind.DEMAND, self.station, current)
        if (
            self.counter_state is CounterState.SILENT
            or window is None
            or demand_name not in self.added
            or now < self._read_grants_at(current * self.length)
        ):
            return []
        donors = [g for g in range(self.gateways) if g != self.index and g not in window.grants_read]
        window.grants_read.update(donors)
        return [self._call(now, Name(Kind.GRANT, self.station, current, g, self.index), 0.0) for g in donors]

    def _spare_rate(self) -> float:
        """What of its part a gateway will not need in the next window."""
        start = (self.window(self.filled_at) + 1) * self.length - self.guard
        kept_rate = max(
            MIN_KEPT_SHARE * self.own_rate, KEPT_DEMAND_FACTOR * self.demand, self.reserved(start)
        )
        return max(0.0, self.own_rate - kept_rate)

    def _call(self, now: float, name: Name, amount: float) -> Call:
        self.call_credit -= 1
        if amount:
            self.added[name] = self.added.get(name, 0.0) + amount
        self.in_flight[name] = now
        return Call(name, amount, 2 * self.length + 1)

    def call_not_sent(self, call: Call) -> None:
        """A call that was not made. What was subtracted for a gift stays subtracted: a gift to nobody."""
        self.in_flight.pop(call.name, None)
        self.call_credit = min(self.max_call_credit, self.call_credit + 1)
        if call.amount:
            left = self.added.get(call.name, 0.0) - call.amount
            if left > 1e-9:
                self.added[call.name] = left
            else:
                self.added.pop(call.name, None)

    def reply(self, now: float, name: Name, total: float | None) -> list[Call]:
        """Takes a total, or None for a call that failed or may have been added; returns gifts it calls for."""
        sent_at = self.in_flight.pop(name, None)
        if total is None or not math.isfinite(total):
            self._count_failure()
            return []
        self.failed_calls = 0
        if total < self.added.get(name, 0.0) - 1e-6:
            self._set_state(
                CounterState.SHORT, f"{name} is at {total:g} after {self.added[name]:g} were added here"
            )
        elif sent_at is not None and now - sent_at > self.length / 4:
            self._set_state(CounterState.CROWDED, f"a reply took {now - sent_at:.2f} s")
        else:
            self._set_state(CounterState.WHOLE, "replies come in time and fit")
        if name.kind is Kind.GRANT:
            self._receive_grant(now, name, total)
            return []
        return self._grant(now, name.window, total)

    def _receive_grant(self, now: float, name: Name, total: float) -> None:
        window = self.windows.get(name.window)
        if name.recipient != self.index or window is None:
            return
        self._fill(now)  # what is past was filled without it
        before = window.received.get(name.donor, 0.0)
        window.received[name.donor] = max(before, min(total, 1.0))

    def _grant(self, now: float, number: int, total: float) -> list[Call]:
        """Gives what is spare to those that ask for it, in the measure of their wishes."""
        window = self.windows.get(number)
        if window is None or window.granted or number <= self.window(now) or now < self.owns_from:
            return []
        if now >= number * self.length - self.guard:  # too late: its own part of it may be in use
            return []
        if (
            now < (number - 1 + self.grant_phase - MAX_PHASE_SHIFT) * self.length
        ):  # a restart now would not know of it
            return []
        encoded = int(max(0.0, min(total, 10.0**7 - 1)) + 0.5)
        wanted_rates = {
            place: min(DEMAND_STEPS, encoded // 100**place % 100) * self.ceiling.rate / DEMAND_STEPS
            for place in range(min(MAX_DEMANDING_GATEWAYS, self.gateways))
            if place != self.index
        }
        total_wanted, spare = sum(wanted_rates.values()), self._spare_rate()
        # A wish is refusals elsewhere: that the station is busy, though little of it comes here.
        self.call_credit = min(
            self.max_call_credit, self.call_credit + CALLS_PER_REMOTE_REFUSAL * total_wanted * self.length
        )
        if not total_wanted or not spare or self.call_credit < 1:
            return []
        self._fill(now)
        calls = []
        for place, wanted_rate in wanted_rates.items():
            share = (
                math.floor(min(spare * wanted_rate / total_wanted, wanted_rate) / self.own_rate * 1e6) / 1e6
            )
            if share > 0 and self.call_credit >= 1:
                window.granted[place] = share  # subtracted before it is told: whatever becomes of the call
                calls.append(
                    self._call(now, Name(Kind.GRANT, self.station, number, self.index, place), share)
                )
        return calls

    def _expire_calls(self, now: float) -> None:
        overdue = [name for name, sent_at in self.in_flight.items() if now - sent_at > self.length]
        for name in overdue:
            del self.in_flight[name]
            self._count_failure()

    def _count_failure(self) -> None:
        self.failed_calls += 1
        if self.failed_calls >= SILENT_AFTER_FAILURES:
            self._set_state(CounterState.SILENT, f"{self.failed_calls} calls in a row without a reply")

    def _set_state(self, state: CounterState, why: str) -> None:
        if state is not self.counter_state:
            self.state_changes.append(f"counter: {self.counter_state.value} -> {state.value}: {why}")
            del self.state_changes[:-16]
            self.counter_state = state
