"""Shared ceilings and quotas of all stations at one gateway, and this gateway's calls to the counter.

    method     plan with a ceiling        plan with a quota, if `quotas` is on
    wait       asks the ceiling's escrow  asks the quota's escrow; None if the gateway's own logic decides
    charge     charges both, when the request is sent
    due        returns due calls, within `calls` a second over all stations; reads of demands come last
    reply      passes a total to the escrow that asked for it

At most `MAX_POOLS` pools are kept. Beyond that a new pool replaces an idle one with a full bucket; if there
is none, the request is refused as over its ceiling (for a quota, the gateway's own logic decides). A gateway
outside the set of gateways that a request names owns no part: it refuses as well, and logs this once a
minute.

Names on the counter are 63-bit numbers. Two names differ unless kind, window length, donor, recipient, window
and pool all agree. Of the window number the last 16 bits are used: they repeat after most of a day, and a
name is kept for at most a minute. One more bit separates them from the names under which gateways before
version 0.2 granted rates.
"""

from __future__ import annotations

import heapq
import math

from coralvale import interface as api
from coralvale.allowance.escrow import Escrow
from coralvale.allowance.model import Call, Ceiling, CounterState, Kind, Name

WINDOW_LENGTHS_S = (1, 2, 3, 4)
MAX_GATEWAYS = 16  # of one station
MAX_POOLS = 20_000  # a station's ceiling is one pool, its quota another
MAX_BURST_S = 4.0  # of the rate of calls: the longest window, in which all calls may fall close together
LOG_INTERVAL_S = 60.0  # between log lines about the same fault
IDLE_S = 30.0  # time without a request after which a pool may be evicted


def counter_name(name: Name, length: int) -> int:
    """Encodes a name as a number of 63 bits; `length` is that of windows, in whole seconds."""
    value = 1 << 2 | 1 << 1 | (name.kind is Kind.GRANT)
    for bits, part in (
        (2, length - 1),
        (4, name.donor),
        (4, name.recipient),
        (16, name.window),
        (34, name.station),
    ):
        value = value << bits | part & (1 << bits) - 1
    return value


class Shares:
    """Drives one `Escrow` for each pool. The gateway's index and the number of gateways come from `settings`.

    `started_at` is the start of this process in Unix seconds, `length` that of windows in seconds, `calls`
    the upper bound of calls a second, on average over all stations. Raises ValueError if `length` is not in
    WINDOW_LENGTHS_S.
    """

    def __init__(
        self,
        settings: api.Settings,
        started_at: float,
        length: int = 3,
        quotas: bool = False,
        calls: float = 50.0,
        max_pools: int = MAX_POOLS,
    ) -> None:
        if length not in WINDOW_LENGTHS_S:
            raise ValueError(
                f"windows of {length} s, expected one of {', '.join(map(str, WINDOW_LENGTHS_S))}"
            )
        self.settings, self.started_at, self.length, self.quotas = settings, started_at, length, quotas
        self.calls, self.budget, self.budget_at = calls, MAX_BURST_S * calls, started_at
        self.max_pools = max_pools
        self.pools: dict[int, Escrow] = {}
        self.used_at: dict[int, float] = {}
        self.schedule: list[tuple[float, int]] = []  # heap of pools by the time of the next tick
        self.in_flight: dict[int, tuple[int, Name]] = {}  # calls without a reply, by name on the counter
        self.states: dict[int, CounterState] = {}  # of pools whose counter state is not WHOLE
        self.log_lines: list[str] = []
        self.logged_at: dict[str, float] = {}
        self.skipped_calls = 0  # calls not made because the budget was used up

    # Requests

    def wait(self, now: float, request: api.Request, plan: api.Plan, quota: bool) -> float | None:
        """Returns the seconds until the ceiling (or quota) has room, or 0; None if it is not shared."""
        ceiling = self._ceiling(request, plan, quota)
        if ceiling is None:
            return None
        pool = request.customer << 1 | quota
        escrow = self._escrow(now, pool, request, ceiling)
        if escrow is None:
            return None if quota else self.length
        self.used_at[pool] = now
        return escrow.wait(now, request.units)

    def charge(self, request: api.Request, plan: api.Plan) -> None:
        """Takes the units of a request that is being sent from the ceiling and quota that `wait` checked."""
        self._charge(request, plan, request.units)

    def refund(self, request: api.Request, plan: api.Plan) -> None:
        """Returns the units of a request that was charged and did not use them."""
        self._charge(request, plan, -request.units)

    def _charge(self, request: api.Request, plan: api.Plan, units: float) -> None:
        for quota in (False, True):
            if self._ceiling(request, plan, quota) and (e := self.pools.get(request.customer << 1 | quota)):
                e.charge(units)

    def _ceiling(self, request: api.Request, plan: api.Plan, quota: bool) -> Ceiling | None:
        if not quota:
            return Ceiling(plan.ceiling_rate, plan.ceiling_burst) if plan.ceiling_rate else None
        # If one gateway's part of the burst is smaller than a request, it would refuse all requests: such
        # quotas are not shared.
        units = self.settings.most_units if self.settings.most_units < math.inf else 1.0
        holds = plan.burst >= request.entry_gateways * units
        return Ceiling(plan.rate, plan.burst) if self.quotas and plan.rate and holds else None

    def _escrow(self, now: float, pool: int, request: api.Request, ceiling: Ceiling) -> Escrow | None:
        place = (self.settings.me - request.first) % self.settings.gateways
        size = request.entry_gateways
        if place >= size or size > MAX_GATEWAYS:
            self._log(
                now, f"station {request.customer:x}: this gateway is not in the set that its request names"
            )
            return None
        escrow = self.pools.get(pool)
        if escrow is not None and (escrow.gateways, escrow.index) == (size, place):
            if escrow.ceiling != ceiling:
                escrow.set_ceiling(now, ceiling)
            return escrow
        # This process has granted nothing of a pool that is new here. If the set of gateways has changed it
        # may have, so the part starts as after a restart.
        started_at = self.started_at if escrow is None else now
        if escrow is None and len(self.pools) >= self.max_pools and not self._evict_idle(now):
            self._log(
                now,
                f"{len(self.pools)} pools are kept, at most {self.max_pools}: further stations get no part",
            )
            return None
        if escrow is None:
            heapq.heappush(self.schedule, (now, pool))
        self.pools[pool] = Escrow(ceiling, pool, size, place, started_at, float(self.length))
        return self.pools[pool]

    def _evict_idle(self, now: float) -> bool:
        """Evicts the longest idle pool of which a new escrow would start in the same state, if any."""
        for pool, at in sorted(self.used_at.items(), key=lambda item: item[1])[:64]:
            escrow = self.pools[pool]
            if now - at < IDLE_S:
                return False
            if escrow.can_evict(now):
                del self.pools[pool], self.used_at[pool]
                self.states.pop(pool, None)
                return True
        return False

    # The counter

    def due(self, now: float) -> list[api.Action]:
        """Returns due calls and log lines; must run about ten times a second."""
        elapsed, self.budget_at = max(0.0, now - self.budget_at), max(now, self.budget_at)
        self.budget = min(MAX_BURST_S * self.calls, self.budget + self.calls * elapsed)
        calls: list[tuple[int, Call]] = []
        while self.schedule and self.schedule[0][0] <= now:
            _, pool = heapq.heappop(self.schedule)
            if (escrow := self.pools.get(pool)) is None:
                continue
            calls += [(pool, call) for call in escrow.tick(now)]
            self._log_state_changes(pool, escrow)
            heapq.heappush(self.schedule, (escrow.next_at(now), pool))
        calls.sort(
            key=lambda call: (call[1].name.kind is Kind.DEMAND and not call[1].amount)
        )  # reads of demands last
        actions = self._send_calls(calls)
        actions += [api.Log(line) for line in self.log_lines]
        self.log_lines.clear()
        return actions

    def _send_calls(self, calls: list[tuple[int, Call]]) -> list[api.Action]:
        """Turns calls into actions as far as the budget allows; the others are reported to their escrows."""
        actions: list[api.Action] = []
        for pool, call in calls:
            if self.budget < 1:
                self.skipped_calls += 1
                self.pools[pool].call_not_sent(call)
                continue
            self.budget -= 1
            name = counter_name(call.name, self.length)
            self.in_flight[name] = pool, call.name
            actions.append(api.Count(name, call.amount, call.lifetime, patient=True))
        return actions

    def reply(self, now: float, event: api.CounterReply) -> list[api.Action]:
        """Handles a reply or a failed call; returns the calls that follow from it."""
        known = self.in_flight.pop(event.name, None) if isinstance(event.name, int) else None
        if known is None or (escrow := self.pools.get(known[0])) is None:
            return []
        pool, name = known
        total = event.total if event.ok and math.isfinite(event.total) else None
        calls = escrow.reply(now, name, total)
        self._log_state_changes(pool, escrow)
        return self._send_calls([(pool, call) for call in calls])

    # Log lines

    def _log_state_changes(self, pool: int, escrow: Escrow) -> None:
        """Logs when the first pool enters a state and when the last one leaves it."""
        if not escrow.state_changes:
            return
        why, before = escrow.state_changes[-1].rpartition(": ")[2], self.states.get(pool, CounterState.WHOLE)
        escrow.state_changes.clear()
        held = set(self.states.values())
        if escrow.counter_state is CounterState.WHOLE:
            self.states.pop(pool, None)
        else:
            self.states[pool] = escrow.counter_state
        now_held = set(self.states.values())
        what = "quota" if pool & 1 else "ceiling"
        if escrow.counter_state not in held and escrow.counter_state is not CounterState.WHOLE:
            self.log_lines.append(
                f"counter {escrow.counter_state.value}: {what} of station {pool >> 1:x}: {why}"
            )
        if before is not CounterState.WHOLE and before not in now_held:
            self.log_lines.append(f"counter no longer {before.value}: {what} of station {pool >> 1:x}: {why}")

    def _log(self, now: float, line: str) -> None:
        """Logs a line unless one with the same first word was logged within LOG_INTERVAL_S."""
        kind = line.partition(" ")[0]
        if now - self.logged_at.get(kind, -math.inf) >= LOG_INTERVAL_S:
            self.logged_at[kind] = now
            self.log_lines.append(line)
