"""The instances of each service, and the choice of the one that gets a request.

An instance's own health is kept by `coralvale.health.Host`, from this gateway's attempts. Its load is the
larger of what all gateways have in flight there and of the load that it reported in its answers.
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

# Instances compared for one request. Reported loads are stale: if all were compared, every gateway would
# send to the least loaded one.
SAMPLE_SIZE = 8
# Of the sample, in this gateway's zone: load is known sooner there, and links between zones are expensive.
MIN_SAMPLE_IN_ZONE = 5
LOAD_HALF_LIFE_S = 0.3  # half-life of a reported load
# Requests by which a reported load must exceed the gateways' in-flight count: one may have ended since.
REPORTED_LOAD_MARGIN = 1.0
OTHER_ZONE_FACTOR = 1.25  # multiplies the expected time of an instance in another zone
GATEWAY_SILENCE_S = 1.2  # a gateway's in-flight counts are dropped when no newer ones came for so long
# Lifetime of a candidate list while the register does not change; a silent instance is noticed that late.
CANDIDATES_TTL_S = 0.5
VERDICT_GAP_S = 0.1  # minimum time between evaluations that reports of failures set off
VERDICT_GAP_PER_REPORT_S = 0.01  # minimum per reporting gateway, since the cost grows with their number
SENT_DECAY = 0.9  # factor, each half second, on the count of requests sent recently
COLD_SLOWNESS = 2.0  # least slowness assumed until an instance reports that it is warm


def id_hash(instance_id: str) -> int:
    """The 32-bit CRC that names an instance between gateways; a collision among hundreds is unlikely."""
    return zlib.crc32(instance_id.encode())


class Instance(Host):
    """One instance of a service: a host process from its start to its end, known by its `Id`."""

    def __init__(self, entry: HostEntry, now: float) -> None:
        super().__init__(api.Server(entry.id, api.ServerState.HEALTHY, scale=1.0), now)
        self.entry, self.id_hash = entry, id_hash(entry.id)
        self.load = 0.0  # requests running and queued there, by its last report
        self.load_at = -1e9
        self.slots = max(1, entry.row.slots)
        self.picked, self.recent = 0, 0.0  # requests sent: since the last decay, and recently
        self.in_flight_elsewhere = 0  # tries that other gateways have in flight there, by their last reports

    def update_load(self, now: float, running: int, waiting: int, slots: int) -> None:
        """Takes the load that the instance reported in an answer; `slots` 0: unchanged."""
        self.load, self.load_at = float(running + waiting), now
        if slots > 0:
            self.slots = slots

    def load_estimate(self, now: float) -> float:
        """Estimated requests there: all gateways' in flight, or its own decayed report, whichever is more."""
        reported = (
            self.load * math.pow(0.5, max(0.0, now - self.load_at) / LOAD_HALF_LIFE_S) - REPORTED_LOAD_MARGIN
        )
        return max(float(len(self.in_flight) + self.in_flight_elsewhere), reported)

    def relative_time(self, now: float) -> float:
        """Expected time of a request there, relative to an idle instance of ordinary speed."""
        slow = float(self.relative_delay(now))
        if now < self.entry.warm_at:
            slow = max(slow, COLD_SLOWNESS)
        over = max(0.0, self.load_estimate(now) + 1 - self.slots) / self.slots
        return max(0.2, slow) * (1 + over)


class InstancePool:
    """All known instances of all services."""

    def __init__(
        self, register: Register, zone: str, rng: random.Random, home: HomeRegion | None = None
    ) -> None:
        self.register, self.zone, self.rng = register, zone, rng
        self.home = home or HomeRegion("", {})
        self.health, self.evaluated_at = HealthTracker(), 0.0
        # By service and region: the register's version, expiry time, instances in this zone, and in others
        self.candidates: dict[tuple[str, str], tuple[int, float, list[Instance], list[Instance]]] = {}
        # The register's version; ID hashes by service
        self.serving_hashes: tuple[int, dict[str, set[int]]] = (-1, {})
        self.ejected: set[int] = set()  # ID hashes of instances that get nothing new
        self.by_id: dict[str, Instance] = {}
        self.by_hash: dict[int, Instance] = {}  # by `id_hash`
        # By gateway: when it was reported, and counts by instance
        self.in_flight_by_gateway: dict[str, tuple[float, list[tuple[Instance, int]]]] = {}

    def get(self, now: float, entry: HostEntry) -> Instance:
        """The instance of a registry entry; created if it is new."""
        instance = self.by_id.get(entry.id)
        if instance is None:
            instance = self.by_id[entry.id] = Instance(entry, now)
            self.by_hash[instance.id_hash] = instance
        return instance

    # In-flight counts that gateways exchange

    def in_flight_counts(self) -> list[tuple[int, int]]:
        """This gateway's: ID hashes of instances, and its tries in flight there."""
        return [
            (number, len(instance.in_flight))
            for number, instance in self.by_hash.items()
            if instance.in_flight
        ]

    def update_in_flight(self, now: float, gateway: str, out: Iterable[tuple[int, int]]) -> None:
        """Another gateway's counts, which replace its previous ones.

        Creates instances of entries that nothing was sent to from here yet, so that they are counted too.
        """
        self._clear_in_flight(gateway)
        if self.has_unknown_entries:
            for entry in self.register.entries.values():
                self.get(now, entry)
        counts = [(instance, count) for number, count in out if (instance := self.by_hash.get(number))]
        for instance, count in counts:
            instance.in_flight_elsewhere += count
        self.in_flight_by_gateway[gateway] = (now, counts)

    @property
    def has_unknown_entries(self) -> bool:
        """Whether the register has more entries than there are instances here."""
        return len(self.by_id) < len(self.register.entries)

    def _clear_in_flight(self, gateway: str) -> None:
        for instance, count in self.in_flight_by_gateway.pop(gateway, (0.0, []))[1]:
            instance.in_flight_elsewhere -= count

    def drop_silent_gateways(self, now: float) -> None:
        """Drops counts of gateways that sent none for `GATEWAY_SILENCE_S`: they are 0 or unknown by now."""
        for gateway in [
            g for g, (at, _) in self.in_flight_by_gateway.items() if now - at > GATEWAY_SILENCE_S
        ]:
            self._clear_in_flight(gateway)

    def sweep(self) -> list[Instance]:
        """Removes and returns instances that may not serve and have nothing in flight."""
        gone = [c for name, c in self.by_id.items() if not self.register.may_serve(name) and not c.in_flight]
        for instance in gone:
            del self.by_id[instance.entry.id]
            self.by_hash.pop(instance.id_hash, None)
        return gone

    def _candidates(self, now: float, service: str, region: str) -> tuple[list[Instance], list[Instance]]:
        """Instances that may get new requests, in this zone and in others; only of `region` if one is named.

        Cached until the register changes, for `CANDIDATES_TTL_S` at most.
        """
        listed = self.candidates.get((service, region))
        if listed is None or listed[0] != self.register.version or now >= listed[1]:
            entries = self.register.usable(now, service)
            if region:
                entries = [entry for entry in entries if self.home.zones.get(entry.row.az) == region]
            near = [self.get(now, entry) for entry in entries if entry.row.az == self.zone]
            far = [self.get(now, entry) for entry in entries if entry.row.az != self.zone]
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
        """The instance with the least expected time in a random sample; an ill one only where all are ill.

        `usual`: ordinary delay of the service, s; `without`: IDs of instances that were tried before; `once`:
        the request may run only once, so doubtful instances weigh more: a failure can't be retried elsewhere;
        `region`: the region that the request is bound to, "" for none.
        """
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
            pool = self._sample(near, some) + self._sample(far, SAMPLE_SIZE - some)
        best = self._best(now, [c for c in pool if not c.unhealthy(now, usual)], once)
        if best is None and len(pool) < count:
            best = self._best(now, [c for c in near + far if not c.unhealthy(now, usual)], once)
        if chosen := best or self._best(now, pool, once):
            chosen.picked += 1
        return chosen

    def _sample(self, of: list[Instance], count: int) -> list[Instance]:
        """A run of neighbours from a random position; the list is shuffled twice a second.

        It takes a third of the time of `random.sample`.
        """
        if count >= len(of):
            return of
        at = int(self.rng.random() * len(of))
        return of[at : at + count] + of[: max(0, at + count - len(of))]

    def _without(
        self, near: list[Instance], far: list[Instance], without: set[str]
    ) -> tuple[list[Instance], list[Instance]]:
        """Leaves out instances that were tried or ejected; ejected ones are used when no others are left."""
        for ejected in (self.ejected, frozenset[int]()):
            rest = [
                [c for c in of if c.id_hash not in ejected and c.entry.id not in without]
                for of in (near, far)
            ]
            if rest[0] or rest[1]:
                return rest[0], rest[1]
        return near, far

    def _best(self, now: float, pool: list[Instance], once: bool) -> Instance | None:
        """The instance with the least expected time, with its zone and verdict weighed in."""
        best, least, zone, records = None, math.inf, self.zone, self.health.records
        for instance in pool:
            time = instance.relative_time(now)
            if instance.entry.row.az != zone:
                time *= OTHER_ZONE_FACTOR
            if records:
                time *= self.health.weight(instance.id_hash, once)
            if time < least:
                best, least = instance, time
        return best

    def decay_sent(self) -> None:
        """Called every half second: decays the counts of requests sent recently."""
        for known in self.by_id.values():
            known.recent, known.picked = SENT_DECAY * known.recent + known.picked, 0

    def update_health(
        self, now: float, gateway: str, rows: list[tuple[int, int, int]]
    ) -> list[VerdictChange]:
        """Another gateway's results; verdicts follow soon if any are ill, else with the next evaluation."""
        self.health.update_report(now, gateway, rows)
        return self._update_verdicts_if_due(now) if any(ill for _, _, ill in rows) else []

    def _update_verdicts_if_due(self, now: float) -> list[VerdictChange]:
        gap = max(VERDICT_GAP_S, VERDICT_GAP_PER_REPORT_S * len(self.health.reports))
        return self.update_verdicts(now) if now - self.evaluated_at >= gap else []

    def update_zone_health(self, now: float, zone: int, rows: list[ZoneHealthRow]) -> list[VerdictChange]:
        """The summed results of another zone's gateways; verdicts follow soon if any are ill."""
        self.health.update_zone(now, zone, rows)
        return self._update_verdicts_if_due(now) if any(row[2] for row in rows) else []

    def zone_health(self, now: float) -> list[ZoneHealthRow]:
        """The summed results of this gateway and of those whose reports it gets."""
        return self.health.zone_evidence(now, self._serving_hashes())

    def _serving_hashes(self) -> dict[str, set[int]]:
        """ID hashes of the entries that may serve, by service. Cached until the register changes."""
        if self.serving_hashes[0] != self.register.version:
            serving = {
                service: {id_hash(name) for name, entry in of.items() if entry.state is State.UP}
                for service, of in self.register.by_service.items()
            }
            self.serving_hashes = (self.register.version, serving)
        return self.serving_hashes[1]

    def update_verdicts(self, now: float) -> list[VerdictChange]:
        """Evaluates the reports of all gateways, and chooses which instances are ejected."""
        self.evaluated_at = now
        serving = self._serving_hashes()
        changes = self.health.update_verdicts(now, serving)
        self.ejected = set()
        if self.health.any_sour():
            for id_hashes in serving.values():
                instances = {h: instance for h in id_hashes if (instance := self.by_hash.get(h))}
                self.ejected |= self.health.to_eject(
                    {h: (i.slots, i.load_estimate(now)) for h, i in instances.items()}
                )
        return changes
