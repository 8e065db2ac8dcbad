"""Zone reports: sends this zone's report if this gateway is its reporter, and applies those of other
zones."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable

import msgspec

from coralvale.cluster.host_health.watch import VerdictChange as Verdict
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.usage import PERIOD, TenantUsage
from coralvale.cluster.reports.model import (
    HealthSum,
    InFlightSum,
    Presence,
    Report,
    ReportHead,
    UsageSum,
    uses_zone_reports,
)
from coralvale.cluster.reports.speaker import GATEWAY_TIMEOUT_S, ZoneReporter
from coralvale.cluster.reports.sums import sum_in_flight, sum_usage
from coralvale.cluster.reports.zones import ZoneReports
from coralvale.cluster.routing.copies import InstancePool
from coralvale.cluster.server import relay
from coralvale.cluster.server.arrivals import HostReplication
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.membership import Membership
from coralvale.cluster.server.messages import (
    MAX_ADDRESSES,
    MAX_BEATS,
    decode_report,
    encode,
    pack_addresses,
    pack_health_sum,
    pack_in_flight,
    pack_usage_sum,
    unpack_addresses,
    unpack_health_sum,
    unpack_in_flight,
    unpack_usage_sum,
)
from coralvale.cluster.server.peers import REPORT, REPORTED
from coralvale.cluster.server.relay import Carriers
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.server.shares import ShareClaims

CHECK_INTERVAL_S = 0.1  # between checks whether a report is due, at candidates for reporter
HEALTH_INTERVAL_S = 0.2  # between health reports while errors increase, at least
FORGET_AFTER_S = 60.0  # without a report, after which a zone is dropped
MAX_BEATS_KEPT = 512  # heartbeats that wait to be reported


def update_heard_view(core: Core, view: int, leader: str, voters: tuple[str, ...]) -> None:
    """Records a view of the core that another gateway reports: the newest one, and its leader once known."""
    known, _, before = core.heard_view
    if view > known or (view == known and leader):
        core.heard_view = (view, leader, voters or before)


class ZoneReportExchange:
    """Sends and receives zone reports."""

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        core: Core,
        changes: Changes,
        host_replication: HostReplication,
        limiter: RateLimiter,
        shares: ShareClaims,
        instances: InstancePool,
        carriers: Carriers,
        is_ready: Callable[[], bool],
    ) -> None:
        self.runtime, self.membership, self.core, self.changes = runtime, membership, core, changes
        self.host_replication, self.limiter, self.shares, self.instances = (
            host_replication,
            limiter,
            shares,
            instances,
        )
        self.carriers, self.is_ready = carriers, is_ready
        self.reporter, self.zones = ZoneReporter(runtime.settings.Ip), ZoneReports()
        self.may_report = False  # this gateway is a candidate for reporter of its zone
        self.serial = runtime.process_token
        self.members: dict[
            int, tuple[bytes, list[str]]
        ] = {}  # by zone: addresses of its gateways, packed and unpacked
        self.beats: dict[str, int] = {}  # heartbeats received in this zone since its last report
        self.reported_ill: dict[int, int] = {}  # errors by host, as last reported
        self.health_reported_at = 0.0

    # Reports of this zone

    async def report_loop(self) -> None:
        """Reports this zone whenever this gateway has to."""
        while True:
            await asyncio.sleep(self.step(self.runtime.clock.monotonic()))

    def step(self, now: float) -> float:
        """Sends a report if one is due here; returns the seconds until the next check."""
        gateways, before = self.membership.swim.there, self.membership.uses_reports
        self.membership.uses_reports = uses_zone_reports(gateways, before)
        candidates = self._candidates(now) if self.membership.uses_reports else []
        self.may_report = (
            self.reporter.address in candidates and self.is_ready() and not self.runtime.stopping
        )
        if not self.may_report:
            self.beats.clear()
            return PERIOD
        if now >= self.reporter.due(candidates):
            self._report(now, candidates)
        elif candidates[0] == self.reporter.address and now - self.health_reported_at >= HEALTH_INTERVAL_S:
            self._report_health(now, candidates)
        return CHECK_INTERVAL_S

    def note_beats(self, beats: list[tuple[str, int]]) -> None:
        """Adds heartbeats that gateways of this zone have received to the next report."""
        if self.membership.uses_reports and len(self.beats) < MAX_BEATS_KEPT:
            self.beats.update(beats)

    def _reachable(self, now: float) -> list[str]:
        """Addresses of this zone's gateways whose gossip arrives, and of this one."""
        peers, (near, _) = self.limiter.usage.peers, self.membership.broadcast_targets()
        known = [ip for ip in near if ip in peers and not peers[ip].left]
        return [
            *(ip for ip in known if now - peers[ip].heard_at <= GATEWAY_TIMEOUT_S),
            self.reporter.address,
        ]

    def _candidates(self, now: float) -> list[str]:
        here = self._reachable(now)
        return self.reporter.candidates(here, self.carriers.active(now, here, relay.NEAR_TIMEOUT_S))

    def _report(self, now: float, candidates: list[str]) -> None:
        """Sends all parts of a report to the other zones."""
        here = self._reachable(now)
        self.reporter.start_report(now, len(here))
        for presence in self._presences(now, here):
            self._send(candidates, presence)
        self._send(candidates, UsageSum(self._head(), pack_usage_sum(sum_usage(self._usage_reports(here)))))
        by_gateway = self.instances.in_flight_by_gateway
        in_flight = [
            [(copy.id_hash, count) for copy, count in by_gateway[ip][1]] for ip in here if ip in by_gateway
        ]
        self._send(
            candidates,
            InFlightSum(
                self._head(), pack_in_flight(sum_in_flight([*in_flight, self.instances.in_flight_counts()]))
            ),
        )
        self._report_health(now, candidates, force=bool(self.reported_ill))

    def _head(self) -> ReportHead:
        self.serial += 1
        zone, reporter = self.membership.swim.me.zone, self.reporter
        return ReportHead(zone, reporter.address, reporter.gateways, self.serial)

    def _presences(self, now: float, here: list[str]) -> list[Presence]:
        carriers = self.carriers.active(now, here, relay.NEAR_TIMEOUT_S)
        addresses = [*carriers, *(ip for ip in here if ip not in carriers)][:MAX_ADDRESSES]
        view, leader, core = self.core.known_view()
        beats, self.beats = list(self.beats.items()), {}
        digest, shares = self.host_replication.register.digest, self.limiter.holding.version
        return [
            Presence(
                self._head(),
                pack_addresses(addresses),
                len(carriers),
                digest,
                shares,
                view,
                leader,
                core,
                beats[at : at + MAX_BEATS],
            )
            for at in range(0, max(1, len(beats)), MAX_BEATS)
        ]

    def _usage_reports(self, here: list[str]) -> list[TenantUsage]:
        peers = self.limiter.usage.peers
        own = {
            name: tenant.last_reported
            for name, tenant in self.limiter.tenants.items()
            if any(tenant.last_reported)
        }
        return [own, *(peers[ip].use for ip in here if ip in peers)]

    def _report_health(self, now: float, candidates: list[str], force: bool = False) -> None:
        """Reports health at once if errors have increased, instead of with the next report; always if
        `force`."""
        rows = self.instances.zone_health(now)
        ill = {mark: count for mark, _, count, *_ in rows}
        if force or any(count > self.reported_ill.get(mark, 0) for mark, count in ill.items()):
            self.reported_ill, self.health_reported_at = ill, now
            self._send(candidates, HealthSum(self._head(), pack_health_sum(rows)))

    def _send(self, candidates: list[str], report: Report) -> None:
        """Sends a part of a report to one gateway of each other zone, which sends it on, and presence to the
        standbys."""
        peers, data, now = self.runtime.peers, encode(report), self.runtime.clock.monotonic()
        _, far = self.membership.broadcast_targets()
        for random_target, ips in zip(far, self.membership.far.values(), strict=True):
            active = self.carriers.active(now, ips, relay.FAR_TIMEOUT_S)
            peers.send_datagram(self.carriers.pick(active) if active else random_target, REPORT, data)
        if isinstance(report, Presence):
            for ip in candidates:
                if ip != self.reporter.address:
                    peers.send_datagram(ip, REPORTED, data)

    # Reports of other zones

    def handle_datagram(self, kind: bytes, body: bytes) -> list[Verdict]:
        """Handles a part of a report; returns the changed health verdicts."""
        now = self.runtime.clock.monotonic()
        try:
            report = decode_report(body)
            if report.head.zone == self.membership.swim.me.zone:
                self.reporter.other_reported(now, report.head.gateways)
                return []
            if not self.zones.accepts(now, report.head, type(report)):
                return []
            if kind == REPORT:
                self.runtime.peers.send_paced(self.membership.broadcast_targets()[0], REPORTED + body)
            return self._apply(now, report)
        except (msgspec.MsgspecError, struct.error, OSError):
            return []

    def _apply(self, now: float, report: Report) -> list[Verdict]:
        zone = report.head.zone
        match report:
            case Presence():
                self._apply_presence(now, report)
            case UsageSum():
                use = unpack_usage_sum(report.rows, self.changes.tenants)
                self.limiter.usage.record_zone(now, zone, use)
            case InFlightSum():
                self.instances.update_in_flight(now, f"zone {zone}", unpack_in_flight(report.rows))
            case HealthSum():
                return self.instances.update_zone_health(now, zone, unpack_health_sum(report.rows))
        return []

    def _apply_presence(self, now: float, report: Presence) -> None:
        packed, addresses = self.members.get(report.head.zone, (b"", []))
        if packed != report.addresses:
            addresses = unpack_addresses(report.addresses)
            self.members[report.head.zone] = report.addresses, addresses
            self.zones.set_members(report.head.zone, addresses)
        self.limiter.usage.mark_present(now, addresses)
        self.membership.record_gossip(now, addresses)
        for ip in addresses[: report.carriers]:
            self.carriers.record(now, ip, True)
        for ip in addresses[report.carriers :]:
            self.carriers.record(now, ip, False)
        self.shares.note_version(report.shares)
        update_heard_view(self.core, report.view, report.leader, report.core)
        unknown = self.host_replication.register.merge_beats(now, report.beats)
        # Candidates for reporter reconcile the register between zones; the others of their zone reconcile
        # with them, by the digests in gossip messages.
        if self.may_report:
            self.host_replication.compare(now, report.head.reporter, report.digest, unknown)
        for zone in self.zones.drop_silent(now, FORGET_AFTER_S):
            self.members.pop(zone, None)
