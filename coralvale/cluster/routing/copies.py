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
from coralvale.cluster.host_health.watch import HealthTracker, VerdictChange, ZoneHealthRow
from coralvale.cluster.registry.register import HostEntry, Register, State
from coralvale.cluster.routing.home import HomeRegion
from coralvale.health import Host

SAMPLE_SIZE = (
    8  # copies that are drawn and compared: the newest word of a load is old, and all would go to the least
)
MIN_SAMPLE_IN_ZONE = (
    5  # of them, of this zone: what is out there is known sooner, and links between zones are dear
)
LOAD_HALF_LIFE_S = 0.3  # s after which what a copy told of its load counts for half
REPORTED_LOAD_MARGIN = (
    1.0  # requests by which it has to be over what gateways have out, to count: one may have ended
)
OTHER_ZONE_FACTOR = 1.25  # times the expected time in another zone that one in this zone may take
GATEWAY_SILENCE_S = 1.2  # s without a word of what it has out, after which a gateway's is forgotten
CANDIDATES_TTL_S = (
    0.5  # s for which a list of copies is kept, if none came or went: those gone silent are seen so late
)
VERDICT_GAP_S = 0.1  # s between new verdicts at least, while other gateways tell of what is ill
VERDICT_GAP_PER_REPORT_S = 0.01  # s more for each that tells: to weigh all words costs the more
SENT_DECAY = 0.9  # of what was sent lately that counts half a second later
COLD_SLOWNESS = 2.0  # times as slow a copy is taken to be until it says that it is warm


def id_hash(instance_id: str) -> int:
    """What stands for a life in words of what is out: 32 bits, so that two of hundreds are hardly the
    same."""
    return zlib.crc32(instance_id.encode())


class Instance(Host):
    """One life of a host."""

    def __init__(self, life: HostEntry, now: float) -> None:
        super().__init__(api.Server(life.id, api.ServerState.HEALTHY, scale=1.0), now)
        self.entry, self.id_hash = life, id_hash(life.id)
        self.load = 0.0  # running and waiting there, as it told last
        self.load_at = -1e9
        self.slots = max(1, life.row.slots)
        self.picked, self.recent = 0, 0.0  # since the newest look, and lately
        self.in_flight_elsewhere = 0  # tries that other gateways have out there, as they told last

    def update_load(self, now: float, running: int, waiting: int, slots: int) -> None:
        self.load, self.load_at = float(running + waiting), now
        if slots > 0:
            self.slots = slots

    def load_estimate(self, now: float) -> float:
        """Requests that are taken to be there: what all gateways have out, or what it told itself lately."""
        told = (
            self.load * math.pow(0.5, max(0.0, now - self.load_at) / LOAD_HALF_LIFE_S) - REPORTED_LOAD_MARGIN
        )
        return max(float(len(self.out) + self.in_flight_elsewhere), told)

    def relative_time(self, now: float) -> float:
        """How much longer than on an idle copy of the usual speed a request is expected to take there."""
        slow = float(self.slowness(now))
        if now < self.entry.warm_at:
            slow = max(slow, COLD_SLOWNESS)
        over = max(0.0, self.load_estimate(now) + 1 - self.slots) / self.slots
        return max(0.2, slow) * (1 + over)


class InstancePool:
    """All copies of all services that are known, by life."""

    def __init__(
        self, register: Register, zone: str, rng: random.Random, home: HomeRegion | None = None
    ) -> None:
        self.register, self.zone, self.rng = register, zone, rng
        self.home = home or HomeRegion("", {})
        self.health, self.evaluated_at = HealthTracker(), 0.0
        self.candidates: dict[
            tuple[str, str], tuple[int, float, list[Instance], list[Instance]]
        ] = {}  # by service and region: the register's version, until when; near, far
        self.serving_hashes: tuple[int, dict[str, set[int]]] = (
            -1,
            {},
        )  # the register's version; marks by service
        self.ejected: set[int] = set()  # marks of copies that are passed over for what is held against them
        self.by_id: dict[str, Instance] = {}
        self.by_hash: dict[int, Instance] = {}  # by what stands for a life in words of what is out
        self.in_flight_by_gateway: dict[
            str, tuple[float, list[tuple[Instance, int]]]
        ] = {}  # by gateway: when, what it has out

    def get(self, now: float, life: HostEntry) -> Instance:
        instance = self.by_id.get(life.id)
        if instance is None:
            instance = self.by_id[life.id] = Instance(life, now)
            self.by_hash[instance.id_hash] = instance
        return instance

    # What gateways tell each other of what they have out

    def in_flight_counts(self) -> list[tuple[int, int]]:
        """This gateway's: marks of copies, and tries out there."""
        return [(number, len(instance.out)) for number, instance in self.by_hash.items() if instance.out]

    def update_in_flight(self, now: float, gateway: str, out: Iterable[tuple[int, int]]) -> None:
        """Another's, in place of what it told before. Copies that nothing was sent to from here are met by
        it."""
        self._clear_in_flight(gateway)
        if self.has_unknown_entries:
            for life in self.register.entries.values():
                self.get(now, life)
        told = [(instance, count) for number, count in out if (instance := self.by_hash.get(number))]
        for instance, count in told:
            instance.in_flight_elsewhere += count
        self.in_flight_by_gateway[gateway] = (now, told)

    @property
    def has_unknown_entries(self) -> bool:
        return len(self.by_id) < len(self.register.entries)

    def _clear_in_flight(self, gateway: str) -> None:
        for instance, count in self.in_flight_by_gateway.pop(gateway, (0.0, []))[1]:
            instance.in_flight_elsewhere -= count

    def drop_silent_gateways(self, now: float) -> None:
        """One that has said nothing for long has nothing out any more, or nobody knows."""
        for gateway in [
            g for g, (at, _) in self.in_flight_by_gateway.items() if now - at > GATEWAY_SILENCE_S
        ]:
            self._clear_in_flight(gateway)

    def sweep(self) -> list[Instance]:
        """Forgets lives that the register has forgotten, or that are gone, and returns them."""
        gone = [c for name, c in self.by_id.items() if not self.register.may_serve(name) and not c.out]
        for instance in gone:
            del self.by_id[instance.entry.id]
            self.by_hash.pop(instance.id_hash, None)
        return gone

    def _candidates(self, now: float, service: str, region: str) -> tuple[list[Instance], list[Instance]]:
        """Copies that may get something new, in this zone and elsewhere; of a region where one is named. Looked
        up anew when the register changes, and now and then."""
        listed = self.candidates.get((service, region))
        if listed is None or listed[0] != self.register.version or now >= listed[1]:
            lives = self.register.usable(now, service)
            if region:
                lives = [life for life in lives if self.home.zones.get(life.row.az) == region]
            near = [self.get(now, life) for life in lives if life.row.az == self.zone]
            far = [self.get(now, life) for life in lives if life.row.az != self.zone]
            self.rng.shuffle(near)
            self.rng.shuffle(far)
            listed = (self.register.version, now + CANDIDATES_TTL_S, near, far)
            self.candidates[service, region] = listed
        return listed[2], listed[3]

    def pick(
        self,
        now: float,
        service: str,
        usual: float,
        without: set[str],
        once: bool = False,
        region: str = "",
    ) -> Instance | None:
        """The copy with the least expected time among some drawn by lot; an ill one only where all are
        ill. `once`: what may run once is kept away from doubtful copies the more: no other can mend it.
        `region`: what the request is bound to, "" for nothing."""
        near, far = self._candidates(now, service, region)
        if without or self.ejected:
            near, far = self._without(near, far, without)
        count = len(near) + len(far)
        if not count:
            return None
        if count <= SAMPLE_SIZE:
            pool = near + far
        else:
            some = min(len(near), max(MIN_SAMPLE_IN_ZONE, SAMPLE_SIZE - len(far)))
            pool = self._drawn(near, some) + self._drawn(far, SAMPLE_SIZE - some)
        best = self._best(now, [c for c in pool if not c.ill(now, usual)], once)
        if best is None and len(pool) < count:
            best = self._best(now, [c for c in near + far if not c.ill(now, usual)], once)
        if chosen := best or self._best(now, pool, once):
            chosen.picked += 1
        return chosen

    def _drawn(self, of: list[Instance], count: int) -> list[Instance]:
        """Neighbours in a list that is in another order twice a second, from a place by lot: a third of the time
        of a sample."""
        if count >= len(of):
            return of
        at = int(self.rng.random() * len(of))
        return of[at : at + count] + of[: max(0, at + count - len(of))]

    def _without(
        self, near: list[Instance], far: list[Instance], without: set[str]
    ) -> tuple[list[Instance], list[Instance]]:
        """Without those that were tried, and those that are passed over; as far as others are left."""
        for passed_over in (self.ejected, frozenset[int]()):
            rest = [
                [c for c in of if c.id_hash not in passed_over and c.entry.id not in without]
                for of in (near, far)
            ]
            if rest[0] or rest[1]:
                return rest[0], rest[1]
        return near, far

    def _best(self, now: float, pool: list[Instance], once: bool) -> Instance | None:
        best, least, zone, cases = None, math.inf, self.zone, self.health.records
        for instance in pool:
            time = instance.relative_time(now)
            if instance.entry.row.az != zone:
                time *= OTHER_ZONE_FACTOR
            if cases:
                time *= self.health.weight(instance.id_hash, once)
            if time < least:
                best, least = instance, time
        return best

    def decay_sent(self) -> None:
        """Every half second: what was sent lately counts less."""
        for known in self.by_id.values():
            known.recent, known.picked = SENT_DECAY * known.recent + known.picked, 0

    def update_health(
        self, now: float, gateway: str, rows: list[tuple[int, int, int]]
    ) -> list[VerdictChange]:
        """What another gateway has found; where it is ill of something, verdicts come soon, not with the next
        word."""
        self.health.update_report(now, gateway, rows)
        return self._update_verdicts_if_due(now) if any(ill for _, _, ill in rows) else []

    def _update_verdicts_if_due(self, now: float) -> list[VerdictChange]:
        soon = max(VERDICT_GAP_S, VERDICT_GAP_PER_REPORT_S * len(self.health.reports))
        return self.update_verdicts(now) if now - self.evaluated_at >= soon else []

    def update_zone_health(self, now: float, zone: int, rows: list[ZoneHealthRow]) -> list[VerdictChange]:
        """What the gateways of another zone have found together."""
        self.health.update_zone(now, zone, rows)
        return self._update_verdicts_if_due(now) if any(row[2] for row in rows) else []

    def zone_health(self, now: float) -> list[ZoneHealthRow]:
        """What this gateway and those whose words come have found together."""
        return self.health.zone_evidence(now, self._serving_hashes())

    def _serving_hashes(self) -> dict[str, set[int]]:
        """What stands for the lives that may serve, by service. Made anew when the register changes."""
        if self.serving_hashes[0] != self.register.version:
            lives = {
                service: {id_hash(name) for name, life in of.items() if life.state is State.UP}
                for service, of in self.register.by_service.items()
            }
            self.serving_hashes = (self.register.version, lives)
        return self.serving_hashes[1]

    def update_verdicts(self, now: float) -> list[VerdictChange]:
        """New verdicts of what all gateways have found."""
        self.evaluated_at = now
        lives = self._serving_hashes()
        changes = self.health.update_verdicts(now, lives)
        self.ejected = set()
        if self.health.any_sour():
            for id_hashes in lives.values():
                there = {m: instance for m in id_hashes if (instance := self.by_hash.get(m))}
                self.ejected |= self.health.to_eject(
                    {m: (c.slots, c.load_estimate(now)) for m, c in there.items()}
                )
        return changes
