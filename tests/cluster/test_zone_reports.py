"""Reports of zones: no gateway counts twice and none is lost for longer than two periods, whoever speaks for a
zone dies, freezes, is cut off or is late."""

from __future__ import annotations

import random
from collections.abc import Generator
from typing import Any
from zlib import crc32

import pytest
import simpy
from test_relay import MANY, play
from test_relay import Fleet as Relayed

from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.host_health.watch import HealthTracker, Verdict
from coralvale.cluster.rate_limit.usage import PERIOD, FleetUsage
from coralvale.cluster.registry.register import Row
from coralvale.cluster.reports import model
from coralvale.cluster.reports.model import BELOW, FROM, Head, OutSum, UseSum, by_reports
from coralvale.cluster.reports.speaker import HEARD, Speaker
from coralvale.cluster.reports.sums import sum_out, sum_use
from coralvale.cluster.reports.zones import STALE, ZoneReports
from coralvale.cluster.routing.copies import id_hash
from coralvale.cluster.server.messages import Word, encode, pack_health, pack_out, pack_use
from coralvale.cluster.server.peers import CARRY, HEALTH, OUT, PASS, REPORT, WORD

ZONES, EACH = 3, 6
LOOK = 0.1  # s
NEAR_DELAY, FAR_DELAY = 0.03, 0.08  # s, at most
WINDOW = 5.0  # s
TENANT = "t"

Event = Generator[simpy.Event, Any, None]


class Gateway:
    """One gateway that lets one request of a tenant through in each period."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.zone, self.address = fleet, number % ZONES, f"10.0.{number % ZONES}.{number}"
        self.up, self.frozen, self.cut = True, False, False
        self.speaker, self.zones, self.usage = Speaker(self.address), ZoneReports(), FleetUsage(WINDOW)
        self.serial = 0
        self.reports = 0
        self.heard_at: dict[int, list[float]] = {zone: [] for zone in range(ZONES)}

    def here(self) -> list[str]:
        now, others = self.fleet.env.now, self.usage.others
        near = [ip for ip, one in self.fleet.all.items() if one.zone == self.zone and ip in others]
        return [*(ip for ip in near if now - others[ip].heard <= HEARD), self.address]

    def words(self) -> Event:
        yield self.fleet.env.timeout(self.fleet.chance.random() * PERIOD)
        while self.up:
            if not self.frozen:
                for other in self.fleet.all.values():
                    if other.zone == self.zone and other is not self:
                        self.fleet.send(self, other, NEAR_DELAY, other.word, self.address)
            yield self.fleet.env.timeout(PERIOD)

    def word(self, address: str) -> None:
        self.usage.hear(self.fleet.env.now, address, {TENANT: (10, 1)})

    def speak(self) -> Event:
        yield self.fleet.env.timeout(self.fleet.chance.random() * LOOK)
        while self.up:
            if not self.frozen:
                self.turn()
            yield self.fleet.env.timeout(LOOK)

    def turn(self) -> None:
        now, here = self.fleet.env.now, self.here()
        self.usage.forget_old(now)
        order = self.speaker.order(here, ())
        if now < self.speaker.due(order):
            return
        self.speaker.reports(now, len(here))
        self.serial, self.reports = self.serial + 1, self.reports + 1
        uses = [self.usage.others[ip].use for ip in here if ip != self.address]
        use = sum_use([{TENANT: (10, 1)}, *uses])
        head = Head(self.zone, self.address, len(here), self.serial)
        for zone in range(ZONES):
            if zone != self.zone:
                at = self.fleet.chance.choice([o for o in self.fleet.all.values() if o.zone == zone and o.up])
                self.fleet.send(self, at, FAR_DELAY, at.take, head, use, here, True)
        for ip in order:
            if ip != self.address:
                other = self.fleet.all[ip]
                self.fleet.send(self, other, NEAR_DELAY, other.own_zone, head)

    def own_zone(self, head: Head) -> None:
        self.speaker.heard(self.fleet.env.now, head.gateways)

    def take(self, head: Head, use: dict[str, tuple[int, int]], here: list[str], first: bool) -> None:
        now = self.fleet.env.now
        if not self.zones.takes(now, head, UseSum):
            return
        if first:
            for other in self.fleet.all.values():
                if other.zone == self.zone and other is not self:
                    self.fleet.send(self, other, NEAR_DELAY, other.take, head, use, here, False)
        self.heard_at[head.zone].append(now)
        self.zones.present(head.zone, here)
        self.usage.hear_zone(now, head.zone, use)
        self.usage.present(now, here)


class Fleet:
    def __init__(self, seed: int) -> None:
        self.env, self.chance, self.lossy = simpy.Environment(), random.Random(seed), 0.0
        made = [Gateway(self, number) for number in range(ZONES * EACH)]
        self.all = {one.address: one for one in made}
        for one in made:
            self.env.process(one.words())
            self.env.process(one.speak())

    def zone(self, number: int) -> list[Gateway]:
        return [one for one in self.all.values() if one.zone == number]

    def speaker(self, zone: int) -> Gateway:
        return min((one for one in self.zone(zone) if one.up), key=lambda one: one.address)

    def send(self, source: Gateway, to: Gateway, delay: float, take: Any, *arguments: Any) -> None:  # noqa: ANN401
        if source.cut or to.cut or self.chance.random() < self.lossy:
            return

        def arrive() -> Event:
            yield self.env.timeout(self.chance.random() * delay)
            while to.frozen:
                yield self.env.timeout(LOOK / 10)
            if to.up and not to.cut:
                take(*arguments)

        self.env.process(arrive())

    def counted(self, at: Gateway) -> int:
        """Requests of a period that a gateway counts of all others, as they have told it."""
        return at.usage.elsewhere(TENANT).newest

    def run(self, until: float) -> None:
        """Looks at all gateways at each step: nobody counts twice."""
        while self.env.now < until:
            self.env.run(until=min(until, self.env.now + LOOK / 2))
            for one in self.all.values():
                assert self.counted(one) <= ZONES * EACH - 1, (
                    f"counts twice at {one.address}, {self.env.now:.2f}"
                )

    def longest(self, zone: int, since: float, until: float) -> float:
        """The longest time without a report of a zone at any gateway of another that is well."""
        found = 0.0
        for one in self.all.values():
            if one.zone != zone and one.up and not one.cut and not one.frozen:
                times = [at for at in one.heard_at[zone] if since <= at <= until]
                found = max(found, *(b - a for a, b in zip([since, *times], [*times, until], strict=True)))
        return found


def test_in_a_calm_fleet_each_counts_each_once_and_one_speaks_for_a_zone() -> None:
    fleet = Fleet(1)
    fleet.run(2.0)  # before it has heard the others, each takes itself for the first
    before = {one.address: one.reports for one in fleet.all.values()}
    fleet.run(10.0)
    assert {fleet.counted(one) for one in fleet.all.values()} == {ZONES * EACH - 1}
    for zone in range(ZONES):
        made = [one.reports - before[one.address] for one in fleet.zone(zone)]
        assert sum(made) == max(made) <= 8.0 / PERIOD + 1
    assert fleet.longest(0, 2.0, 10.0) <= PERIOD + 2 * LOOK + FAR_DELAY + NEAR_DELAY


@pytest.mark.parametrize("trouble", ["up", "frozen", "cut"])
@pytest.mark.parametrize("seed", range(12))
def test_one_that_speaks_and_is_gone_is_replaced_within_two_periods(trouble: str, seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(4.0 + fleet.chance.random())
    gone, begun = fleet.speaker(0), fleet.env.now
    setattr(gone, trouble, trouble != "up")
    fleet.run(begun + 6.0)
    assert fleet.longest(0, begun - PERIOD, begun + 6.0) <= 2 * PERIOD + FAR_DELAY + NEAR_DELAY
    others = [one for one in fleet.all.values() if one.zone and one is not gone]
    assert {fleet.counted(one) for one in others} <= {ZONES * EACH - 1, ZONES * EACH - 2}
    # One that comes back speaks again, and nobody counts twice.
    if trouble != "up":
        setattr(gone, trouble, False)
        fleet.run(begun + 12.0)
        assert {fleet.counted(one) for one in fleet.all.values()} == {ZONES * EACH - 1}


@pytest.mark.parametrize("seed", range(6))
def test_a_zone_that_is_cut_in_two_is_told_by_the_larger_part(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(4.0)
    alone = fleet.speaker(0)
    alone.usage = FleetUsage(WINDOW)  # it hears nobody of its zone, and goes on speaking
    alone.word = lambda address: None  # type: ignore[method-assign]
    fleet.run(10.0)
    told = [fleet.counted(one) for one in fleet.zone(1)]
    assert min(told) >= ZONES * EACH - 1 - 1 and alone.reports > 8


def test_lost_reports_leave_what_was_told_before() -> None:
    fleet = Fleet(3)
    fleet.run(5.0)
    fleet.lossy = 0.2
    for step in range(20):
        fleet.run(5.0 + step / 2)
        assert all(fleet.counted(one) >= ZONES * EACH - 1 - EACH for one in fleet.all.values())
    fleet.lossy = 0.0
    fleet.run(20.0)
    assert {fleet.counted(one) for one in fleet.all.values()} == {ZONES * EACH - 1}


def test_a_gateway_in_a_report_is_not_counted_by_its_own_words() -> None:
    usage, zones = FleetUsage(WINDOW), ZoneReports()
    usage.hear(0.0, "a", {TENANT: (9, 3)})
    assert usage.elsewhere(TENANT).newest == 3
    assert zones.takes(0.1, Head(1, "b", 2, 1), UseSum)
    zones.present(1, ["a", "b"])
    usage.hear_zone(0.1, 1, {TENANT: (20, 7)})
    usage.present(0.1, ["a", "b"])
    assert usage.elsewhere(TENANT).newest == 7 and usage.in_reach(0.2, "a") and usage.heard_all()
    assert zones.covers(0.2, "a") and not zones.covers(0.2, "c") and not zones.covers(3.0, "a")
    usage.forget_old(0.2 + WINDOW)
    assert usage.elsewhere(TENANT).newest == 0


def test_a_report_older_than_a_leave_does_not_bring_it_back_and_membership_does() -> None:
    usage = FleetUsage(WINDOW)
    usage.present(0.0, ["a"])
    usage.left("a")
    usage.present(0.1, ["a"])
    assert not usage.in_reach(0.2, "a") and usage.count(0.2) == 1 and usage.heard_all()
    usage.know(1.0, "a")
    usage.present(1.1, ["a"])
    assert usage.in_reach(1.2, "a") and usage.count(1.2) == 2


def test_a_report_counts_once_and_the_fuller_one_first() -> None:
    zones = ZoneReports()
    assert zones.takes(0.0, Head(1, "a", 5, 1), UseSum) and not zones.takes(0.0, Head(1, "a", 5, 1), UseSum)
    assert zones.takes(0.0, Head(1, "a", 5, 1), OutSum)
    assert not zones.takes(0.1, Head(1, "b", 4, 1), UseSum)
    assert zones.takes(0.1, Head(1, "b", 5, 2), UseSum)
    assert zones.takes(0.1 + STALE, Head(1, "c", 1, 3), UseSum)
    assert zones.silent(0.1 + STALE, 10.0) == [] and zones.silent(60.0, 10.0) == [1]


def test_zones_report_from_a_size_on_and_not_to_and_fro() -> None:
    assert not by_reports(FROM - 1, False) and by_reports(FROM, False)
    assert by_reports(BELOW, True) and not by_reports(BELOW - 1, True)


def test_sums_are_of_what_each_told() -> None:
    assert sum_use([{"a": (3, 1)}, {"a": (4, 0), "b": (1, 1)}]) == {"a": (7, 1), "b": (1, 1)}
    assert sum_out([[(1, 2), (2, 1)], [(2, 4)]]) == [(2, 5), (1, 2)]


def test_evidence_by_zones_leads_to_the_verdict_of_the_same_words() -> None:
    lives = {"s": set(range(20))}
    one, far, speaker = HealthTracker(), HealthTracker(), HealthTracker()
    for reporter, rows in {"a": [(7, 1, 9)], "b": [(7, 0, 2)], "c": [(7, 6, 0)]}.items():
        one.update_report(0.0, reporter, rows)
        speaker.update_report(0.0, reporter, rows)
    blind = [(mark, 0, 1) for mark in range(20)]
    one.update_report(0.0, "blind", blind)
    speaker.update_report(0.0, "blind", blind)
    rows = speaker.zone_evidence(0.1, lives)
    assert rows == [(7, 7, 11, 6, 3)]
    far.update_zone(0.1, 2, rows)
    changed, changed_far = one.update_verdicts(0.2, lives), far.update_verdicts(0.2, lives)
    assert changed == changed_far and changed[0].after is Verdict.SOUR and changed[0].reporters == 3
    assert far.details(7)[2] == ["zone 2"] and far.any_sour()


def test_gateways_hear_their_zone_by_words_and_another_by_reports(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(model, "FROM", 2)
    monkeypatch.setattr(model, "BELOW", 2)

    def scene() -> None:
        fleet = Relayed(2)
        for one in fleet.all.values():
            one.membership.by_reports, one.was_ready = True, True
            one.membership.swim.there = MANY
            one.changes.configuration = Configuration(1)
            one.changes.tenants = {crc32(TENANT.encode()): TENANT}
        first, last = fleet.ips[0], fleet.ips[-1]
        row = Row("i-1", "s", "10.1.0.1", 1, "zone-0", "v1", 2, 0, 0.0, 1)
        for one in fleet.all.values():
            one.register.merge(fleet.now, row)
            one.instances.get(fleet.now, one.register.entries["i-1"])
        for _ in range(2):
            fleet.kinds.clear()
            fleet.now += PERIOD
            for ip, one in fleet.all.items():
                one.gossip.carriers.hear(fleet.now, ip, ip in fleet.carriers)
                use, beats = pack_use({TENANT: (4, 2)}), [("i-1", int(fleet.now * 10))]
                word = Word(
                    1, one.register.digest, 3, first, (first,), use, beats=beats, carries=ip in fleet.carriers
                )
                one.gossip.tell_all(WORD, encode(word))
                one.gossip.tell_all(OUT, pack_out([(id_hash("i-1"), 1)]))
                one.gossip.tell_all(HEALTH, pack_health([(id_hash("i-1"), 0, 3)] if ip == first else []))
            fleet.deliver()
            for one in fleet.all.values():
                one.gossip.reports.turn(fleet.now)
            fleet.deliver()
        # No word goes to the other zone, and its report goes to one there.
        assert not fleet.kinds[CARRY] and not fleet.kinds[PASS] and 2 * 3 <= fleet.kinds[REPORT] <= 2 * 5
        near = MANY // 2 - 1
        for ip, one in fleet.all.items():
            usage, silent = one.limiter.usage, [at for at in one.membership.talks.values() if at < fleet.now]
            assert len(one.membership.talks) == MANY - 1 and not silent
            assert usage.heard_all() and usage.in_reach(fleet.now, last if ip != last else first)
            # Its own zone's others by words; the other zone without what its speaker has let through itself.
            assert usage.elsewhere(TENANT).newest == 2 * near + 2 * near
            copy = one.instances.by_hash[id_hash("i-1")]
            assert copy.in_flight_elsewhere == near + near and copy.entry.row.calls == int(fleet.now * 10)
            assert one.core.heard == (3, first, (first,))
            assert one.instances.health.zone_reports or one.membership.swim.me.zone == 0

    play(scene)
