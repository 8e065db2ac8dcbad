"""All stations' parts at one gateway: what the decision module asks for a request, and its calls to the counter.

    request    plan with a ceiling        plan with a quota, and `quotas` on
    wait       the ceiling's escrow       the quota's escrow; None where the ordinary path shall decide
    charge     both, when it is sent
    due        calls that are due, within `calls` a second over all stations: gifts and wishes before looks
    reply      a total, to the escrow that asked for it

Bounds: `MOST` pools are kept. A new one past that takes the place of an idle one with a full bucket; if there is
none, the request is refused as over its ceiling (the ordinary path decides on its quota). A gateway that is not
in the set that a request names owns no part: refused as well, and told once a minute.

Names on the counter are numbers of 63 bits, and no two agree in them unless all agrees that must: the kind, the
length of windows, giver, taker, window (its last 16 bits: most of a day, where a name lives for a minute at
most), pool. One bit more tells them from names under which gateways before version 0.2 gave rates.
"""

from __future__ import annotations

import heapq
import math

from coralvale import interface as api
from coralvale.allowance.escrow import Escrow
from coralvale.allowance.model import Call, Ceiling, Kind, Name, Trust

LENGTHS = (1, 2, 3, 4)  # s that a window may have
SET = 16  # gateways of a station, at most
MOST = 20_000  # pools kept: a station's ceiling is one, its quota another
SAVED = 4.0  # s of calls that may be made at once: the longest window, in which all come close together
TOLD = 60.0  # s between lines on the same mistake
IDLE = 30.0  # s without a request after which a pool may be forgotten


def number(name: Name, length: int) -> int:
    """The name on the counter; `length` of windows in whole seconds."""
    value = 1 << 2 | 1 << 1 | (name.kind is Kind.GIVE)
    for bits, part in (
        (2, length - 1),
        (4, name.giver),
        (4, name.taker),
        (16, name.window),
        (34, name.station),
    ):
        value = value << bits | part & (1 << bits) - 1
    return value


class Shares:
    """Drives one `Escrow` for each pool. `me` is this gateway's number of `gateways`, `born` its start.

    `calls` is the most calls a second, over all stations, on average. Raises ValueError for a length of windows
    that is not in LENGTHS.
    """

    def __init__(
        self,
        settings: api.Settings,
        born: float,
        length: int = 3,
        quotas: bool = False,
        calls: float = 50.0,
        most: int = MOST,
    ) -> None:
        if length not in LENGTHS:
            raise ValueError(f"windows of {length} s, expected one of {', '.join(map(str, LENGTHS))}")
        self.settings, self.born, self.length, self.quotas = settings, born, length, quotas
        self.calls, self.budget, self.budget_at = calls, SAVED * calls, born
        self.most = most
        self.pools: dict[int, Escrow] = {}
        self.seen: dict[int, float] = {}
        self.due_at: list[tuple[float, int]] = []  # a heap: when a pool's escrow has something to do
        self.out: dict[int, tuple[int, Name]] = {}  # calls without a reply
        self.states: dict[int, Trust] = {}  # of pools whose counter is not whole
        self.log_lines: list[str] = []
        self.told: dict[str, float] = {}
        self.skipped = 0  # looks that the budget had no room for

    # Requests

    def wait(self, now: float, request: api.Request, plan: api.Plan, quota: bool) -> float | None:
        """Seconds until the ceiling (or the quota) has room, 0 if it has now; None if it is not shared here."""
        ceiling = self._ceiling(request, plan, quota)
        if ceiling is None:
            return None
        pool = request.customer << 1 | quota
        escrow = self._escrow(now, pool, request, ceiling)
        if escrow is None:
            return None if quota else self.length
        self.seen[pool] = now
        return escrow.wait(now, request.units)

    def charge(self, request: api.Request, plan: api.Plan) -> None:
        """The request is sent: it takes its units from what `wait` found room in."""
        self._take(request, plan, request.units)

    def refund(self, request: api.Request, plan: api.Plan) -> None:
        """What was charged was not used after all."""
        self._take(request, plan, -request.units)

    def _take(self, request: api.Request, plan: api.Plan, units: float) -> None:
        for quota in (False, True):
            if self._ceiling(request, plan, quota) and (e := self.pools.get(request.customer << 1 | quota)):
                e.charge(units)

    def _ceiling(self, request: api.Request, plan: api.Plan, quota: bool) -> Ceiling | None:
        if not quota:
            return Ceiling(plan.ceiling_rate, plan.ceiling_burst) if plan.ceiling_rate else None
        # A part of the burst that holds no request would refuse all: small quotas keep to the ordinary path.
        units = self.settings.most_units if self.settings.most_units < math.inf else 1.0
        holds = plan.burst >= request.entry_gateways * units
        return Ceiling(plan.rate, plan.burst) if self.quotas and plan.rate and holds else None

    def _escrow(self, now: float, pool: int, request: api.Request, ceiling: Ceiling) -> Escrow | None:
        place = (self.settings.me - request.first) % self.settings.gateways
        size = request.entry_gateways
        if place >= size or size > SET:
            self._tell(now, f"station {request.customer:x} comes here by a set that has no part here")
            return None
        escrow = self.pools.get(pool)
        if escrow is not None and (escrow.gateways, escrow.index) == (size, place):
            if escrow.ceiling != ceiling:
                escrow.settle(now, ceiling)
            return escrow
        # In this life nothing of a pool that is new here was given away. One that comes by another set than
        # before may have been, so its part begins as after a restart.
        born = self.born if escrow is None else now
        if escrow is None and len(self.pools) >= self.most and not self._forget(now):
            self._tell(
                now, f"{len(self.pools)} pools are kept, at most {self.most}: further stations have no part"
            )
            return None
        if escrow is None:
            heapq.heappush(self.due_at, (now, pool))
        self.pools[pool] = Escrow(ceiling, pool, size, place, born, float(self.length))
        return self.pools[pool]

    def _forget(self, now: float) -> bool:
        """Forgets the pool that has been idle for longest, if it owes nothing and would begin as it is."""
        for pool, at in sorted(self.seen.items(), key=lambda item: item[1])[:64]:
            escrow = self.pools[pool]
            if now - at < IDLE:
                return False
            if escrow.settled(now):
                del self.pools[pool], self.seen[pool]
                self.states.pop(pool, None)
                return True
        return False

    # The counter

    def due(self, now: float) -> list[api.Action]:
        """Calls and lines that are due; to be asked for some ten times a second."""
        elapsed, self.budget_at = max(0.0, now - self.budget_at), max(now, self.budget_at)
        self.budget = min(SAVED * self.calls, self.budget + self.calls * elapsed)
        calls: list[tuple[int, Call]] = []
        while self.due_at and self.due_at[0][0] <= now:
            _, pool = heapq.heappop(self.due_at)
            if (escrow := self.pools.get(pool)) is None:
                continue
            calls += [(pool, call) for call in escrow.tick(now)]
            self._heed(pool, escrow)
            heapq.heappush(self.due_at, (escrow.next_at(now), pool))
        calls.sort(key=lambda call: (call[1].name.kind is Kind.ASK and not call[1].amount))  # looks last
        actions = self._count(calls)
        actions += [api.Log(line) for line in self.log_lines]
        self.log_lines.clear()
        return actions

    def _count(self, calls: list[tuple[int, Call]]) -> list[api.Action]:
        actions: list[api.Action] = []
        for pool, call in calls:
            if self.budget < 1:
                self.skipped += 1
                self.pools[pool].unsent(call)
                continue
            self.budget -= 1
            name = number(call.name, self.length)
            self.out[name] = pool, call.name
            actions.append(api.Count(name, call.amount, call.lifetime, patient=True))
        return actions

    def reply(self, now: float, event: api.CounterReply) -> list[api.Action]:
        """Takes a reply, or the lack of one; returns the calls that it leads to."""
        known = self.out.pop(event.name, None) if isinstance(event.name, int) else None
        if known is None or (escrow := self.pools.get(known[0])) is None:
            return []
        pool, name = known
        total = event.total if event.ok and math.isfinite(event.total) else None
        calls = escrow.reply(now, name, total)
        self._heed(pool, escrow)
        return self._count([(pool, call) for call in calls])

    # What an operator sees

    def _heed(self, pool: int, escrow: Escrow) -> None:
        """A line when the first pool enters a state, and when the last one leaves it."""
        if not escrow.changes:
            return
        why, before = escrow.changes[-1].rpartition(": ")[2], self.states.get(pool, Trust.WHOLE)
        escrow.changes.clear()
        held = set(self.states.values())
        if escrow.trust is Trust.WHOLE:
            self.states.pop(pool, None)
        else:
            self.states[pool] = escrow.trust
        now_held = set(self.states.values())
        what = "quota" if pool & 1 else "ceiling"
        if escrow.trust not in held and escrow.trust is not Trust.WHOLE:
            self.log_lines.append(f"counter {escrow.trust.value}: {what} of station {pool >> 1:x}: {why}")
        if before is not Trust.WHOLE and before not in now_held:
            self.log_lines.append(f"counter no longer {before.value}: {what} of station {pool >> 1:x}: {why}")

    def _tell(self, now: float, line: str) -> None:
        kind = line.partition(" ")[0]
        if now - self.told.get(kind, -math.inf) >= TOLD:
            self.told[kind] = now
            self.log_lines.append(line)
