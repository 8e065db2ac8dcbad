"""Zone reports: no gateway counts twice and none is missing for more than two periods, even if a zone's
reporter dies, freezes, is partitioned or is late."""

from __future__ import annotations

import random
from collections.abc import Generator
from typing import Any
from zlib import crc32

import pytest
import simpy
from test_relay import GATEWAYS, run_scene
from test_relay import Fleet as RelayFleet

from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.host_health.watch import HealthTracker, Verdict
from coralvale.cluster.rate_limit.usage import PERIOD, FleetUsage
from coralvale.cluster.registry.register import Row
from coralvale.cluster.reports import model
from coralvale.cluster.reports.model import (
    REPORTS_BELOW,
    REPORTS_FROM,
    InFlightSum,
    ReportHead,
    UsageSum,
    uses_zone_reports,
)
from coralvale.cluster.reports.speaker import GATEWAY_TIMEOUT_S, ZoneReporter
from coralvale.cluster.reports.sums import sum_in_flight, sum_usage
from coralvale.cluster.reports.zones import STALE_AFTER_S, ZoneReports
from coralvale.cluster.routing.copies import id_hash
from coralvale.cluster.server.messages import GossipMessage, encode, pack_health, pack_in_flight, pack_usage
from coralvale.cluster.server.peers import FORWARD, GOSSIP, HEALTH, IN_FLIGHT, RELAY_BATCH, REPORT

ZONES, GATEWAYS_PER_ZONE = 3, 6
CHECK_INTERVAL_S = 0.1
MAX_LOCAL_DELAY_S, MAX_REMOTE_DELAY_S = 0.03, 0.08
WINDOW = 5.0  # s
TENANT = "t"

Event = Generator[simpy.Event, Any, None]


class Gateway:
    """A gateway that admits one request of a tenant in each period."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.zone, self.address = fleet, number % ZONES, f"10.0.{number % ZONES}.{number}"
        self.up, self.frozen, self.cut = True, False, False
        self.reporter, self.zones, self.usage = ZoneReporter(self.address), ZoneReports(), FleetUsage(WINDOW)
        self.serial = 0
        self.reports = 0
        self.heard_at: dict[int, list[float]] = {zone: [] for zone in range(ZONES)}

    def here(self) -> list[str]:
        now, others = self.fleet.env.now, self.usage.peers
        near = [ip for ip, one in self.fleet.all.items() if one.zone == self.zone and ip in others]
        return [*(ip for ip in near if now - others[ip].heard_at <= GATEWAY_TIMEOUT_S), self.address]

    def gossip_loop(self) -> Event:
        yield self.fleet.env.timeout(self.fleet.rng.random() * PERIOD)
        while self.up:
            if not self.frozen:
                for other in self.fleet.all.values():
                    if other.zone == self.zone and other is not self:
                        self.fleet.send(self, other, MAX_LOCAL_DELAY_S, other.receive_gossip, self.address)
            yield self.fleet.env.timeout(PERIOD)

    def receive_gossip(self, address: str) -> None:
        self.usage.record_peer(self.fleet.env.now, address, {TENANT: (10, 1)})

    def report_loop(self) -> Event:
        yield self.fleet.env.timeout(self.fleet.rng.random() * CHECK_INTERVAL_S)
        while self.up:
            if not self.frozen:
                self.turn()
            yield self.fleet.env.timeout(CHECK_INTERVAL_S)

    def turn(self) -> None:
        now, here = self.fleet.env.now, self.here()
        self.usage.drop_stale(now)
        order = self.reporter.candidates(here, ())
        if now < self.reporter.due(order):
            return
        self.reporter.start_report(now, len(here))
        self.serial, self.reports = self.serial + 1, self.reports + 1
        uses = [self.usage.peers[ip].use for ip in here if ip != self.address]
        use = sum_usage([{TENANT: (10, 1)}, *uses])
        head = ReportHead(self.zone, self.address, len(here), self.serial)
        for zone in range(ZONES):
            if zone != self.zone:
                at = self.fleet.rng.choice([o for o in self.fleet.all.values() if o.zone == zone and o.up])
                self.fleet.send(self, at, MAX_REMOTE_DELAY_S, at.take, head, use, here, True)
        for ip in order:
            if ip != self.address:
                other = self.fleet.all[ip]
                self.fleet.send(self, other, MAX_LOCAL_DELAY_S, other.receive_own_report, head)

    def receive_own_report(self, head: ReportHead) -> None:
        self.reporter.other_reported(self.fleet.env.now, head.gateways)

    def take(self, head: ReportHead, use: dict[str, tuple[int, int]], here: list[str], first: bool) -> None:
        now = self.fleet.env.now
        if not self.zones.accepts(now, head, UsageSum):
            return
        if first:
            for other in self.fleet.all.values():
                if other.zone == self.zone and other is not self:
                    self.fleet.send(self, other, MAX_LOCAL_DELAY_S, other.take, head, use, here, False)
        self.heard_at[head.zone].append(now)
        self.zones.set_members(head.zone, here)
        self.usage.record_zone(now, head.zone, use)
        self.usage.mark_present(now, here)


class Fleet:
    def __init__(self, seed: int) -> None:
        self.env, self.rng, self.loss = simpy.Environment(), random.Random(seed), 0.0
        made = [Gateway(self, number) for number in range(ZONES * GATEWAYS_PER_ZONE)]
        self.all = {one.address: one for one in made}
        for one in made:
            self.env.process(one.gossip_loop())
            self.env.process(one.report_loop())

    def zone(self, number: int) -> list[Gateway]:
        return [one for one in self.all.values() if one.zone == number]

    def reporter(self, zone: int) -> Gateway:
        return min((one for one in self.zone(zone) if one.up), key=lambda one: one.address)

    def send(self, source: Gateway, to: Gateway, delay: float, take: Any, *arguments: Any) -> None:  # noqa: ANN401
        if source.cut or to.cut or self.rng.random() < self.loss:
            return

        def arrive() -> Event:
            yield self.env.timeout(self.rng.random() * delay)
            while to.frozen:
                yield self.env.timeout(CHECK_INTERVAL_S / 10)
            if to.up and not to.cut:
                take(*arguments)

        self.env.process(arrive())

    def counted_use(self, at: Gateway) -> int:
        """Requests in a period of all other gateways, as counted by one gateway from their reports."""
        return at.usage.elsewhere(TENANT).newest

    def run(self, until: float) -> None:
        """Runs the fleet and checks at each step that no gateway counts another twice."""
        while self.env.now < until:
            self.env.run(until=min(until, self.env.now + CHECK_INTERVAL_S / 2))
            for one in self.all.values():
                assert self.counted_use(one) <= ZONES * GATEWAYS_PER_ZONE - 1, (
                    f"counts twice at {one.address}, {self.env.now:.2f}"
                )

    def longest_gap(self, zone: int, since: float, until: float) -> float:
        """The longest time without a report of a zone at any healthy gateway of another zone."""
        found = 0.0
        for one in self.all.values():
            if one.zone != zone and one.up and not one.cut and not one.frozen:
                times = [at for at in one.heard_at[zone] if since <= at <= until]
                found = max(found, *(b - a for a, b in zip([since, *times], [*times, until], strict=True)))
        return found


def test_without_faults_each_gateway_counts_once_and_each_zone_has_one_reporter() -> None:
    fleet = Fleet(1)
    fleet.run(2.0)  # at the start each gateway takes itself for the first candidate
    before = {one.address: one.reports for one in fleet.all.values()}
    fleet.run(10.0)
    assert {fleet.counted_use(one) for one in fleet.all.values()} == {ZONES * GATEWAYS_PER_ZONE - 1}
    for zone in range(ZONES):
        made = [one.reports - before[one.address] for one in fleet.zone(zone)]
        assert sum(made) == max(made) <= 8.0 / PERIOD + 1
    assert (
        fleet.longest_gap(0, 2.0, 10.0)
        <= PERIOD + 2 * CHECK_INTERVAL_S + MAX_REMOTE_DELAY_S + MAX_LOCAL_DELAY_S
    )


@pytest.mark.parametrize("fault", ["up", "frozen", "cut"])
@pytest.mark.parametrize("seed", range(12))
def test_a_lost_reporter_is_replaced_within_two_periods(fault: str, seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(4.0 + fleet.rng.random())
    gone, begun = fleet.reporter(0), fleet.env.now
    setattr(gone, fault, fault != "up")
    fleet.run(begun + 6.0)
    assert (
        fleet.longest_gap(0, begun - PERIOD, begun + 6.0)
        <= 2 * PERIOD + MAX_REMOTE_DELAY_S + MAX_LOCAL_DELAY_S
    )
    others = [one for one in fleet.all.values() if one.zone and one is not gone]
    assert {fleet.counted_use(one) for one in others} <= {
        ZONES * GATEWAYS_PER_ZONE - 1,
        ZONES * GATEWAYS_PER_ZONE - 2,
    }
    # A reporter that comes back reports again, and no gateway counts twice.
    if fault != "up":
        setattr(gone, fault, False)
        fleet.run(begun + 12.0)
        assert {fleet.counted_use(one) for one in fleet.all.values()} == {ZONES * GATEWAYS_PER_ZONE - 1}


@pytest.mark.parametrize("seed", range(6))
def test_a_partitioned_zone_is_reported_by_its_larger_part(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.run(4.0)
    alone = fleet.reporter(0)
    alone.usage = FleetUsage(WINDOW)  # receives nothing from its zone, and continues to report
    alone.receive_gossip = lambda address: None  # type: ignore[method-assign]
    fleet.run(10.0)
    counts = [fleet.counted_use(one) for one in fleet.zone(1)]
    assert min(counts) >= ZONES * GATEWAYS_PER_ZONE - 1 - 1 and alone.reports > 8


def test_lost_reports_leave_the_previous_ones_in_force() -> None:
    fleet = Fleet(3)
    fleet.run(5.0)
    fleet.loss = 0.2
    for step in range(20):
        fleet.run(5.0 + step / 2)
        assert all(
            fleet.counted_use(one) >= ZONES * GATEWAYS_PER_ZONE - 1 - GATEWAYS_PER_ZONE
            for one in fleet.all.values()
        )
    fleet.loss = 0.0
    fleet.run(20.0)
    assert {fleet.counted_use(one) for one in fleet.all.values()} == {ZONES * GATEWAYS_PER_ZONE - 1}


def test_a_gateway_in_a_zone_report_is_not_counted_by_its_own_reports() -> None:
    usage, zones = FleetUsage(WINDOW), ZoneReports()
    usage.record_peer(0.0, "a", {TENANT: (9, 3)})
    assert usage.elsewhere(TENANT).newest == 3
    assert zones.accepts(0.1, ReportHead(1, "b", 2, 1), UsageSum)
    zones.set_members(1, ["a", "b"])
    usage.record_zone(0.1, 1, {TENANT: (20, 7)})
    usage.mark_present(0.1, ["a", "b"])
    assert usage.elsewhere(TENANT).newest == 7 and usage.is_reachable(0.2, "a") and usage.has_heard_all()
    assert zones.covers(0.2, "a") and not zones.covers(0.2, "c") and not zones.covers(3.0, "a")
    usage.drop_stale(0.2 + WINDOW)
    assert usage.elsewhere(TENANT).newest == 0


def test_only_membership_and_no_older_report_brings_back_a_gateway_that_left() -> None:
    usage = FleetUsage(WINDOW)
    usage.mark_present(0.0, ["a"])
    usage.peer_left("a")
    usage.mark_present(0.1, ["a"])
    assert not usage.is_reachable(0.2, "a") and usage.gateway_count(0.2) == 1 and usage.has_heard_all()
    usage.peer_joined(1.0, "a")
    usage.mark_present(1.1, ["a"])
    assert usage.is_reachable(1.2, "a") and usage.gateway_count(1.2) == 2


def test_a_report_counts_once_and_the_reporter_of_more_gateways_wins() -> None:
    zones = ZoneReports()
    assert zones.accepts(0.0, ReportHead(1, "a", 5, 1), UsageSum) and not zones.accepts(
        0.0, ReportHead(1, "a", 5, 1), UsageSum
    )
    assert zones.accepts(0.0, ReportHead(1, "a", 5, 1), InFlightSum)
    assert not zones.accepts(0.1, ReportHead(1, "b", 4, 1), UsageSum)
    assert zones.accepts(0.1, ReportHead(1, "b", 5, 2), UsageSum)
    assert zones.accepts(0.1 + STALE_AFTER_S, ReportHead(1, "c", 1, 3), UsageSum)
    assert zones.drop_silent(0.1 + STALE_AFTER_S, 10.0) == [] and zones.drop_silent(60.0, 10.0) == [1]


def test_zone_reports_switch_on_and_off_with_hysteresis() -> None:
    assert not uses_zone_reports(REPORTS_FROM - 1, False) and uses_zone_reports(REPORTS_FROM, False)
    assert uses_zone_reports(REPORTS_BELOW, True) and not uses_zone_reports(REPORTS_BELOW - 1, True)


def test_sums_add_up_the_reports_of_all_gateways() -> None:
    assert sum_usage([{"a": (3, 1)}, {"a": (4, 0), "b": (1, 1)}]) == {"a": (7, 1), "b": (1, 1)}
    assert sum_in_flight([[(1, 2), (2, 1)], [(2, 4)]]) == [(2, 5), (1, 2)]


def test_evidence_from_zone_reports_gives_the_same_verdict_as_direct_reports() -> None:
    lives = {"s": set(range(20))}
    one, far, summing = HealthTracker(), HealthTracker(), HealthTracker()
    for reporter, rows in {"a": [(7, 1, 9)], "b": [(7, 0, 2)], "c": [(7, 6, 0)]}.items():
        one.update_report(0.0, reporter, rows)
        summing.update_report(0.0, reporter, rows)
    blind = [(mark, 0, 1) for mark in range(20)]
    one.update_report(0.0, "blind", blind)
    summing.update_report(0.0, "blind", blind)
    rows = summing.zone_evidence(0.1, lives)
    assert rows == [(7, 7, 11, 6, 3)]
    far.update_zone(0.1, 2, rows)
    changed, changed_far = one.update_verdicts(0.2, lives), far.update_verdicts(0.2, lives)
    assert changed == changed_far and changed[0].after is Verdict.SOUR and changed[0].reporters == 3
    assert far.details(7)[2] == ["zone 2"] and far.any_sour()


def test_gateways_get_their_own_zone_by_gossip_and_other_zones_by_reports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(model, "REPORTS_FROM", 2)
    monkeypatch.setattr(model, "REPORTS_BELOW", 2)

    def scene() -> None:
        fleet = RelayFleet(2)
        for one in fleet.all.values():
            one.membership.uses_reports, one.was_ready = True, True
            one.membership.swim.there = GATEWAYS
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
                one.gossip.carriers.record(fleet.now, ip, ip in fleet.carriers)
                use, beats = pack_usage({TENANT: (4, 2)}), [("i-1", int(fleet.now * 10))]
                word = GossipMessage(
                    1, one.register.digest, 3, first, (first,), use, beats=beats, carries=ip in fleet.carriers
                )
                one.gossip.send_to_all(GOSSIP, encode(word))
                one.gossip.send_to_all(IN_FLIGHT, pack_in_flight([(id_hash("i-1"), 1)]))
                one.gossip.send_to_all(HEALTH, pack_health([(id_hash("i-1"), 0, 3)] if ip == first else []))
            fleet.deliver()
            for one in fleet.all.values():
                one.gossip.reports.step(fleet.now)
            fleet.deliver()
        # No gossip message goes to the other zone; its report goes to one gateway there.
        assert (
            not fleet.kinds[RELAY_BATCH]
            and not fleet.kinds[FORWARD]
            and 2 * 3 <= fleet.kinds[REPORT] <= 2 * 5
        )
        near = GATEWAYS // 2 - 1
        for ip, one in fleet.all.items():
            usage, silent = (
                one.limiter.usage,
                [at for at in one.membership.gossip_heard_at.values() if at < fleet.now],
            )
            assert len(one.membership.gossip_heard_at) == GATEWAYS - 1 and not silent
            assert usage.has_heard_all() and usage.is_reachable(fleet.now, last if ip != last else first)
            # Its own zone by gossip messages; the other zone without what its reporter itself admitted.
            assert usage.elsewhere(TENANT).newest == 2 * near + 2 * near
            copy = one.instances.by_hash[id_hash("i-1")]
            assert copy.in_flight_elsewhere == near + near and copy.entry.row.calls == int(fleet.now * 10)
            assert one.core.heard_view == (3, first, (first,))
            assert one.instances.health.zone_reports or one.membership.swim.me.zone == 0

    run_scene(scene)
