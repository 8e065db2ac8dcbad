"""Enforces a ceiling shared by n gateways without trusting the counter or the survival of any gateway.

A ceiling allows at most B + C t units in any t seconds. Each of the n gateways of a station owns one part: a
token bucket of burst B/n that fills at rate C/n. A gateway can grant rate that it does not need to another
gateway, for one time window. Windows are `length` seconds long on the clock that all machines read. A grant
is a share g of a part, from 0 to 1, so that it stays valid when the figures of the ceiling change.

donor      First lowers its own rate by g C/n, from `guard` before the window until `guard` after it. Then it
           adds g to the name GRANT(window, donor, recipient). It never takes a grant back, whatever the
           reply.
recipient  Reads that name (by adding 0) and fills its bucket faster by g C/n from `guard` after the start of
           the window until `guard` before its end. g is the highest total that it has seen, at most 1.
restart    A gateway that starts may have granted rate before and lost the record of it: for the current
           window and, once 0.83 of that has passed, for the next. It owns nothing until the first window that
           cannot be affected, and its bucket starts empty. Grants that it had received may be read again:
           they give the same rate for the same window. What a dead gateway received ends with the window.

**Why the ceiling holds.** Each GRANT name has one writer and is new in every window. Unless the counter
invents amounts, no total of such a name exceeds what its writer added, and so what the writer had subtracted
before. This includes a counter that loses data, forks, answers late or never, adds what it reported as
failed, or restarts empty. So at every moment the fill rates add up to at most C, as long as clocks differ by
less than 2 * guard; buckets hold at most B; so at most B + C t units are admitted in any t seconds. This
needs no failure detection and no agreement. A counter that merges two halves by addition can show up to twice
a grant; limited to C/n this is at most one more part for one window.

**What the counter state is for.** It avoids calls that achieve nothing. One number under a DEMAND name holds
the demands of all gateways (two digits each). A wrong demand only wastes rate, so demands may be lost or
garbled without harm.

  state    entered when                               left when             calls
  -------  -----------------------------------------  --------------------  --------------------------------
  whole    at the start                               -                     as due
  crowded  a reply took over a quarter of a window    replies are fast      every second window
  short    a total is below what this gateway added   totals match again    as due: lost data harms nothing
  silent   two calls in a row had no reply or were    a reply arrives       demands alone, one a window: the
           refused                                                          first reply restores all others

In each window a gateway makes, for one station, at most one DEMAND write, one DEMAND read, n - 1 grants and
n - 1 grant reads. Over any period it makes at most `CALLS_PER_REQUEST` calls for each request of the station
that it has seen, plus 2 n + 2 saved calls. Stations make their calls at different moments, so that they do
not all call a counter at once.

**Change of the ceiling.** `set_ceiling` applies new figures at once; the time since the bucket was last
filled counts at the lower of the two rates. While gateways have different figures, each part belongs to one
ceiling or the other, so the rates add up to at most the larger rate and the buckets to the larger burst. Once
no gateway admits requests by the old figures they add up to the new ones, whatever was granted before.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from coralvale.allowance.model import Call, Ceiling, CounterState, Kind, Name

CLOCK_GUARD_S = 0.06  # two clocks that each step by 50 ms differ by less than twice this
MIN_KEPT_SHARE = 0.02  # of its part that a donor always keeps: its station may return within the window
KEPT_DEMAND_FACTOR = 1.0  # times its own demand that a donor keeps: more would be lost for the window
DEMAND_FACTOR = 1.3  # times its refused rate that a gateway demands: too much costs only spare rate of donors
DEMAND_AVERAGING_S = 1.0  # time constant of the averages of demanded and refused rate
DEMAND_STEPS = 99  # a demand is encoded in two digits, as this many steps of the whole ceiling
MAX_DEMANDING_GATEWAYS = 3  # gateways whose demands fit into one exact total of seven digits
SILENT_AFTER_FAILURES = 2  # calls in a row without a reply
# Latest shares of a window at which demands for the next window are sent and read. The later they are, the
# less the load has changed when a grant takes effect; the rest of the window must be enough for two calls in
# sequence.
DEMAND_PHASE, GRANT_PHASE = 0.84, 0.93
# The same as the least time before the end of the window: the caller runs `tick` only every 0.1 s.
DEMAND_BEFORE_END_S, GRANT_BEFORE_END_S = 0.45, 0.25
MAX_PHASE_SHIFT = 0.1  # share of a window by which stations send and read demands earlier, at most
# Calls to the counter that are allowed for each request seen here, and for each request refused elsewhere.
CALLS_PER_REQUEST, CALLS_PER_REMOTE_REFUSAL = 0.5, 0.1


@dataclass(slots=True)
class Window:
    """Grants and progress of one window; grants are shares of a part, by the other gateway's index."""

    granted: dict[int, float] = field(default_factory=dict)  # by recipient
    received: dict[int, float] = field(default_factory=dict)  # by donor
    demand_sent: bool = False
    demand_read: bool = False
    grants_read: set[int] = field(default_factory=set)


class Escrow:
    """One gateway's part of one station's ceiling.

    `index` is this gateway's place among `gateways`, `started_at` the start of its process. Times are Unix
    time in seconds; `length` (of a window), `guard` and `memory` (of the demand average) are seconds.
    """

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
        # Returns the rate that is promised at a moment or beyond it and so must not be granted to other
        # gateways.
        self.reserved: Callable[[float], float] = lambda moment: 0.0
        self.own_rate, self.capacity = ceiling.rate / gateways, ceiling.burst / gateways
        self.windows: dict[int, Window] = {}
        self.demand_phase = min(DEMAND_PHASE, 1 - DEMAND_BEFORE_END_S / length)  # as shares of a window
        self.grant_phase = min(GRANT_PHASE, 1 - GRANT_BEFORE_END_S / length)
        # An earlier process of this gateway may have granted rate for this window, and for the next one if it
        # was late enough in this window for that.
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
        self.added: dict[Name, float] = {}  # what this gateway has added to each name
        self.in_flight: dict[Name, float] = {}  # calls without a reply, with the time when they were made
        self.state_changes: list[str] = []  # one log line for each, cleared by the caller
        self.call_credit = self.max_call_credit = 2.0 * gateways + 2  # calls to the counter
        self.phase_shift = station * 0.6180339887 % 1  # spreads the stations' calls over a window

    def window(self, now: float) -> int:
        """Number of the window that contains `now`."""
        return math.floor(now / self.length)

    # Requests

    def set_ceiling(self, now: float, ceiling: Ceiling) -> None:
        """Applies a changed ceiling from now on."""
        own_rate = ceiling.rate / self.gateways
        # The time of the change is unknown here, but it is after the last request, which was admitted by the
        # old figures. So the time since then counts at the lower rate.
        self.own_rate = min(self.own_rate, own_rate)
        self._fill(now)
        self.ceiling, self.own_rate, self.capacity = ceiling, own_rate, ceiling.burst / self.gateways
        self.tokens = min(self.tokens, self.capacity)

    def wait(self, now: float, units: float) -> float:
        """Records the demand; returns 0 if there are enough tokens, else the seconds until there may be."""
        self._fill(now)
        self._decay_demand(now)
        self.demand += units / self.memory
        self.call_credit = min(self.max_call_credit, self.call_credit + CALLS_PER_REQUEST)
        if self.tokens + 1e-9 >= units:
            return 0.0
        self.refused_rate += units / self.memory
        return max(1e-3, (units - self.tokens) / max(self.rate(now), self.own_rate / 10, 1e-9))

    def charge(self, units: float) -> None:
        """Takes the units that `wait` has just found room for; negative units are a refund."""
        self.tokens = min(self.capacity, self.tokens - units)

    def admit(self, now: float, units: float) -> float:
        """`wait` and `charge` in one: returns 0 if the request is admitted, else the seconds to wait."""
        wait = self.wait(now, units)
        if not wait:
            self.charge(units)
        return wait

    def record_demand(self, now: float, demand: float, refused_rate: float, requests: float) -> None:
        """Replaces `wait` for a caller that has only reports of requests.

        `demand` and `refused_rate` are in units a second, `requests` is the number of requests.
        """
        self._fill(now)
        self.demand, self.refused_rate, self.demand_at = demand, refused_rate, now
        self.call_credit = min(self.max_call_credit, self.call_credit + CALLS_PER_REQUEST * requests)

    def fill(self, now: float, promised: float, capacity: float) -> float:
        """Fills the bucket to at most `capacity`, less `promised` units a second; returns the tokens."""
        elapsed = max(0.0, now - self.filled_at)
        self._fill(now)
        self.tokens = min(capacity, self.tokens - promised * elapsed)
        return self.tokens

    def min_rate(self, now: float, until: float) -> float:
        """Returns the rate that is guaranteed at every moment from now to `until`."""
        rates, at = [self.rate(now), self.rate(until)], now
        while (at := self._next_rate_change(at)) < until:
            rates += [self.rate(at), self.rate(at - 1e-6)]
        return min(rates)

    def can_evict(self, now: float) -> bool:
        """Whether deleting this escrow and creating it anew on the next request would change nothing."""
        self._fill(now)
        granted = any(window.granted for window in self.windows.values())
        return not granted and now >= self.owns_from and self.tokens >= self.capacity

    def rate(self, now: float) -> float:
        """Returns the units a second at which the bucket fills at `now`."""
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
        """Fills the bucket up to now, interval by interval between changes of the rate."""
        # A clock that was set back fills nothing twice. An interval of more than three windows is filled in
        # one step, to at most a full bucket.
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
        """Returns the next moment after now at which the rate may change."""
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
        """Returns the calls that are due; must run at the time of `next_at`, or more often."""
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
        """Returns the next time at which `tick` may have something to do."""
        moments = []
        for window in (self.window(now), self.window(now) + 1):
            moments += [
                (window + at - MAX_PHASE_SHIFT * self.phase_shift) * self.length
                for at in (self.demand_phase, self.grant_phase)
            ]
            moments.append(self._read_grants_at((window + 1) * self.length))
        return min(m for m in moments if m > now)

    def _read_grants_at(self, start: float) -> float:
        """Returns when grants for the window that starts at `start` are read: all are written by then."""
        return start - self.guard / 2 - 0.04 * self.phase_shift * self.length

    def _may_call(self, window: int) -> bool:
        """Whether calls may be made in this window, given the state of the counter."""
        if self.counter_state is CounterState.CROWDED:
            return (window + self.index) % 2 == 0
        return True

    def _send_demand(self, now: float, window: int) -> list[Call]:
        """Announces the rate that this gateway lacks, for the given window, if it has refused enough."""
        wanted_rate = min(self.refused_rate * DEMAND_FACTOR, self.ceiling.rate - self.own_rate)
        steps = (
            min(DEMAND_STEPS, math.ceil(DEMAND_STEPS * wanted_rate / self.ceiling.rate))
            if self.refused_rate > 0.05 * self.own_rate
            else 0
        )
        # Without the credit to read grants afterwards, a demand would be useless.
        if not steps or self.index >= MAX_DEMANDING_GATEWAYS or self.call_credit < self.gateways:
            return []
        self.windows[window].grants_read = set()
        return [self._call(now, Name(Kind.DEMAND, self.station, window), steps * 100.0**self.index)]

    def _read_grants(self, now: float, current: int) -> list[Call]:
        """Reads the grants of each donor once, if this gateway has sent a demand for the window."""
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
        """Returns the rate that this gateway will not need of its own part in the next window."""
        start = (self.window(self.filled_at) + 1) * self.length - self.guard
        kept_rate = max(
            MIN_KEPT_SHARE * self.own_rate, KEPT_DEMAND_FACTOR * self.demand, self.reserved(start)
        )
        return max(0.0, self.own_rate - kept_rate)

    def _call(self, now: float, name: Name, amount: float) -> Call:
        """Makes a call and records it; an amount of 0 reads the total."""
        self.call_credit -= 1
        if amount:
            self.added[name] = self.added.get(name, 0.0) + amount
        self.in_flight[name] = now
        return Call(name, amount, 2 * self.length + 1)

    def call_not_sent(self, call: Call) -> None:
        """Records that a call was not made. Rate subtracted for a grant stays subtracted; nobody gets it."""
        self.in_flight.pop(call.name, None)
        self.call_credit = min(self.max_call_credit, self.call_credit + 1)
        if call.amount:
            left = self.added.get(call.name, 0.0) - call.amount
            if left > 1e-9:
                self.added[call.name] = left
            else:
                self.added.pop(call.name, None)

    def reply(self, now: float, name: Name, total: float | None) -> list[Call]:
        """Handles a total, or None for a failed or uncertain call; returns the grants to write.

        `now` is Unix time in seconds.
        """
        sent_at = self.in_flight.pop(name, None)
        if total is None or not math.isfinite(total):
            self._count_failure()
            return []
        self.failed_calls = 0
        if total < self.added.get(name, 0.0) - 1e-6:
            self._set_state(
                CounterState.SHORT, f"total of {name} is {total:g}, below the {self.added[name]:g} added here"
            )
        elif sent_at is not None and now - sent_at > self.length / 4:
            self._set_state(CounterState.CROWDED, f"a reply took {now - sent_at:.2f} s")
        else:
            self._set_state(CounterState.WHOLE, "replies are in time and consistent")
        if name.kind is Kind.GRANT:
            self._receive_grant(now, name, total)
            return []
        return self._grant(now, name.window, total)

    def _receive_grant(self, now: float, name: Name, total: float) -> None:
        """Raises the share received from a donor to the total, at most 1; a lower total changes nothing."""
        window = self.windows.get(name.window)
        if name.recipient != self.index or window is None:
            return
        self._fill(now)  # the time until now counts without the grant
        before = window.received.get(name.donor, 0.0)
        window.received[name.donor] = max(before, min(total, 1.0))

    def _grant(self, now: float, number: int, total: float) -> list[Call]:
        """Grants spare rate to the gateways that demand it, in proportion to their demands."""
        window = self.windows.get(number)
        if window is None or window.granted or number <= self.window(now) or now < self.owns_from:
            return []
        if now >= number * self.length - self.guard:  # too late: the rate may already be in use
            return []
        # Too early: a process restarted now would not allow for a grant for that window.
        if now < (number - 1 + self.grant_phase - MAX_PHASE_SHIFT) * self.length:
            return []
        encoded = int(max(0.0, min(total, 10.0**7 - 1)) + 0.5)
        wanted_rates = {
            place: min(DEMAND_STEPS, encoded // 100**place % 100) * self.ceiling.rate / DEMAND_STEPS
            for place in range(min(MAX_DEMANDING_GATEWAYS, self.gateways))
            if place != self.index
        }
        total_wanted, spare = sum(wanted_rates.values()), self._spare_rate()
        # Demands show refusals at other gateways: the station is busy, even if few of its requests arrive
        # here.
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
                window.granted[place] = share  # before the call, whatever its outcome
                calls.append(
                    self._call(now, Name(Kind.GRANT, self.station, number, self.index, place), share)
                )
        return calls

    def _expire_calls(self, now: float) -> None:
        """Counts calls as failed that have had no reply for the length of a window."""
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
