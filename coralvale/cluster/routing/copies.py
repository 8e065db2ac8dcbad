"""Copies of a service as this gateway knows them, and the choice among them.

Health is the decision module's (`coralvale.health.Host`); the load is what hosts tell in their answers, to
any gateway, beside what this gateway has out there itself.
"""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Iterable

from coralvale import interface as api
from coralvale.cluster.host_health.watch import Change, Watch, ZoneRow
from coralvale.cluster.registry.register import Life, Register, State
from coralvale.cluster.routing.home import Home
from coralvale.health import Host

DRAWN = (
    8  # copies that are drawn and compared: the newest word of a load is old, and all would go to the least
)
NEAR = 5  # of them, of this zone: what is out there is known sooner, and links between zones are dear
NEWS = 0.3  # s after which what a copy told of its load counts for half
TOLD_LESS = 1.0  # requests by which it has to be over what gateways have out, to count: one may have ended
ABROAD = 1.25  # times the expected time in another zone that one in this zone may take
SILENT = 1.2  # s without a word of what it has out, after which a gateway's is forgotten
LISTED = 0.5  # s for which a list of copies is kept, if none came or went: those gone silent are seen so late
SOON = 0.1  # s between new verdicts at least, while other gateways tell of what is ill
EACH_WORD = 0.01  # s more for each that tells: to weigh all words costs the more
FADE = 0.9  # of what was sent lately that counts half a second later
COLD = 2.0  # times as slow a copy is taken to be until it says that it is warm


def mark(life: str) -> int:
    """What stands for a life in words of what is out: 32 bits, so that two of hundreds are hardly the
    same."""
    return zlib.crc32(life.encode())


class Copy(Host):
    """One life of a host."""

    def __init__(self, life: Life, now: float) -> None:
        super().__init__(api.Server(life.id, api.ServerState.HEALTHY, scale=1.0), now)
        self.life, self.mark = life, mark(life.id)
        self.load = 0.0  # running and waiting there, as it told last
        self.load_at = -1e9
        self.slots = max(1, life.row.slots)
        self.picked, self.recent = 0, 0.0  # since the newest look, and lately
        self.elsewhere = 0  # tries that other gateways have out there, as they told last

    def told(self, now: float, running: int, waiting: int, slots: int) -> None:
        self.load, self.load_at = float(running + waiting), now
        if slots > 0:
            self.slots = slots

    def there(self, now: float) -> float:
        """Requests that are taken to be there: what all gateways have out, or what it told itself lately."""
        told = self.load * math.pow(0.5, max(0.0, now - self.load_at) / NEWS) - TOLD_LESS
        return max(float(len(self.in_flight) + self.elsewhere), told)

    def expected(self, now: float) -> float:
        """How much longer than on an idle copy of the usual speed a request is expected to take there."""
        slow = float(self.relative_delay(now))
        if now < self.life.warm_at:
            slow = max(slow, COLD)
        over = max(0.0, self.there(now) + 1 - self.slots) / self.slots
        return max(0.2, slow) * (1 + over)


class Copies:
    """All copies of all services that are known, by life."""

    def __init__(
        self, register: Register, zone: str, chance: random.Random, home: Home | None = None
    ) -> None:
        self.register, self.zone, self.chance = register, zone, chance
        self.home = home or Home("", {})
        self.watch, self.weighed = Watch(), 0.0
        self.lists: dict[
            tuple[str, str], tuple[int, float, list[Copy], list[Copy]]
        ] = {}  # by service and region: the register's version, until when; near, far
        self.serving: tuple[int, dict[str, set[int]]] = (-1, {})  # the register's version; marks by service
        self.over: set[int] = set()  # marks of copies that are passed over for what is held against them
        self.copies: dict[str, Copy] = {}
        self.marks: dict[int, Copy] = {}  # by what stands for a life in words of what is out
        self.told: dict[str, tuple[float, list[tuple[Copy, int]]]] = {}  # by gateway: when, what it has out

    def get(self, now: float, life: Life) -> Copy:
        copy = self.copies.get(life.id)
        if copy is None:
            copy = self.copies[life.id] = Copy(life, now)
            self.marks[copy.mark] = copy
        return copy

    # What gateways tell each other of what they have out

    def out(self) -> list[tuple[int, int]]:
        """This gateway's: marks of copies, and tries out there."""
        return [(number, len(copy.in_flight)) for number, copy in self.marks.items() if copy.in_flight]

    def hear(self, now: float, gateway: str, out: Iterable[tuple[int, int]]) -> None:
        """Another's, in place of what it told before. Copies that nothing was sent to from here are met by
        it."""
        self._unhear(gateway)
        if self.missing:
            for life in self.register.lives.values():
                self.get(now, life)
        told = [(copy, count) for number, count in out if (copy := self.marks.get(number))]
        for copy, count in told:
            copy.elsewhere += count
        self.told[gateway] = (now, told)

    @property
    def missing(self) -> bool:
        return len(self.copies) < len(self.register.lives)

    def _unhear(self, gateway: str) -> None:
        for copy, count in self.told.pop(gateway, (0.0, []))[1]:
            copy.elsewhere -= count

    def forget_silent(self, now: float) -> None:
        """One that has said nothing for long has nothing out any more, or nobody knows."""
        for gateway in [g for g, (at, _) in self.told.items() if now - at > SILENT]:
            self._unhear(gateway)

    def sweep(self) -> list[Copy]:
        """Forgets lives that the register has forgotten, or that are gone, and returns them."""
        gone = [c for name, c in self.copies.items() if not self.register.may_serve(name) and not c.in_flight]
        for copy in gone:
            del self.copies[copy.life.id]
            self.marks.pop(copy.mark, None)
        return gone

    def _listed(self, now: float, service: str, region: str) -> tuple[list[Copy], list[Copy]]:
        """Copies that may get something new, in this zone and elsewhere; of a region where one is named. Looked
        up anew when the register changes, and now and then."""
        listed = self.lists.get((service, region))
        if listed is None or listed[0] != self.register.version or now >= listed[1]:
            lives = self.register.usable(now, service)
            if region:
                lives = [life for life in lives if self.home.zones.get(life.row.az) == region]
            near = [self.get(now, life) for life in lives if life.row.az == self.zone]
            far = [self.get(now, life) for life in lives if life.row.az != self.zone]
            self.chance.shuffle(near)
            self.chance.shuffle(far)
            listed = (self.register.version, now + LISTED, near, far)
            self.lists[service, region] = listed
        return listed[2], listed[3]

    def pick(
        self,
        now: float,
        service: str,
        usual: float,
        without: set[str],
        once: bool = False,
        region: str = "",
    ) -> Copy | None:
        """The copy with the least expected time among some drawn by lot; an ill one only where all are
        ill. `once`: what may run once is kept away from doubtful copies the more: no other can mend it.
        `region`: what the request is bound to, "" for nothing."""
        near, far = self._listed(now, service, region)
        if without or self.over:
            near, far = self._but(near, far, without)
        count = len(near) + len(far)
        if not count:
            return None
        if count <= DRAWN:
            pool = near + far
        else:
            some = min(len(near), max(NEAR, DRAWN - len(far)))
            pool = self._drawn(near, some) + self._drawn(far, DRAWN - some)
        best = self._best(now, [c for c in pool if not c.unhealthy(now, usual)], once)
        if best is None and len(pool) < count:
            best = self._best(now, [c for c in near + far if not c.unhealthy(now, usual)], once)
        if chosen := best or self._best(now, pool, once):
            chosen.picked += 1
        return chosen

    def _drawn(self, of: list[Copy], count: int) -> list[Copy]:
        """Neighbours in a list that is in another order twice a second, from a place by lot: a third of the time
        of a sample."""
        if count >= len(of):
            return of
        at = int(self.chance.random() * len(of))
        return of[at : at + count] + of[: max(0, at + count - len(of))]

    def _but(self, near: list[Copy], far: list[Copy], without: set[str]) -> tuple[list[Copy], list[Copy]]:
        """Without those that were tried, and those that are passed over; as far as others are left."""
        for passed_over in (self.over, frozenset[int]()):
            rest = [
                [c for c in of if c.mark not in passed_over and c.life.id not in without]
                for of in (near, far)
            ]
            if rest[0] or rest[1]:
                return rest[0], rest[1]
        return near, far

    def _best(self, now: float, pool: list[Copy], once: bool) -> Copy | None:
        best, least, zone, cases = None, math.inf, self.zone, self.watch.cases
        for copy in pool:
            time = copy.expected(now)
            if copy.life.row.az != zone:
                time *= ABROAD
            if cases:
                time *= self.watch.weight(copy.mark, once)
            if time < least:
                best, least = copy, time
        return best

    def fade(self) -> None:
        """Every half second: what was sent lately counts less."""
        for known in self.copies.values():
            known.recent, known.picked = FADE * known.recent + known.picked, 0

    def hear_health(self, now: float, gateway: str, rows: list[tuple[int, int, int]]) -> list[Change]:
        """What another gateway has found; where it is ill of something, verdicts come soon, not with the next
        word."""
        self.watch.hear(now, gateway, rows)
        return self._weigh_soon(now) if any(ill for _, _, ill in rows) else []

    def _weigh_soon(self, now: float) -> list[Change]:
        soon = max(SOON, EACH_WORD * len(self.watch.words))
        return self.weigh(now) if now - self.weighed >= soon else []

    def hear_zone(self, now: float, zone: int, rows: list[ZoneRow]) -> list[Change]:
        """What the gateways of another zone have found together."""
        self.watch.hear_zone(now, zone, rows)
        return self._weigh_soon(now) if any(row[2] for row in rows) else []

    def sum_health(self, now: float) -> list[ZoneRow]:
        """What this gateway and those whose words come have found together."""
        return self.watch.sum_here(now, self._serving())

    def _serving(self) -> dict[str, set[int]]:
        """What stands for the lives that may serve, by service. Made anew when the register changes."""
        if self.serving[0] != self.register.version:
            lives = {
                service: {mark(name) for name, life in of.items() if life.state is State.UP}
                for service, of in self.register.by_service.items()
            }
            self.serving = (self.register.version, lives)
        return self.serving[1]

    def weigh(self, now: float) -> list[Change]:
        """New verdicts of what all gateways have found."""
        self.weighed = now
        lives = self._serving()
        changes = self.watch.weigh(now, lives)
        self.over = set()
        if self.watch.any_sour():
            for marks in lives.values():
                there = {m: copy for m in marks if (copy := self.marks.get(m))}
                self.over |= self.watch.passed_over({m: (c.slots, c.there(now)) for m, c in there.items()})
        return changes
