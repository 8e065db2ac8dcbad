"""Reports of zones: this gateway's part in telling its own, and what it takes from those of the others."""

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
    MOST_ADDRESSES,
    MOST_BEATS,
    decode_report,
    encode,
    pack_addresses,
    pack_health_sum,
    pack_out,
    pack_use_sum,
    unpack_addresses,
    unpack_health_sum,
    unpack_out,
    unpack_use_sum,
)
from coralvale.cluster.server.peers import REPORT, REPORTED
from coralvale.cluster.server.relay import Carriers
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.server.shares import ShareClaims

LOOK = 0.1  # s between looks whether a report is due, at those that may speak
HEALTH_EVERY = 0.2  # s between reports of what is ill, at the least, while it changes
LONGEST = 60.0  # s without a report, after which a zone is forgotten
BEATS_KEPT = 512  # beats that wait to be reported


def hear_view(core: Core, view: int, leader: str, voters: tuple[str, ...]) -> None:
    """Another gateway tells of a view: the newest one counts, and who leads it once that is known."""
    known, _, before = core.heard
    if view > known or (view == known and leader):
        core.heard = (view, leader, voters or before)


class ZoneReportExchange:
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
        self.speaker, self.zones = ZoneReporter(runtime.settings.Ip), ZoneReports()
        self.may_speak = False  # it is among the first of its zone
        self.serial = runtime.process
        self.present: dict[int, tuple[bytes, list[str]]] = {}  # by zone: its gateways, packed and not
        self.beats: dict[str, int] = {}  # heard in this zone since its last report
        self.ill: dict[int, int] = {}  # ill answers by copy, as told last
        self.health_at = 0.0

    # This zone's

    async def tell(self) -> None:
        while True:
            await asyncio.sleep(self.turn(self.runtime.clock.monotonic()))

    def turn(self, now: float) -> float:
        """Reports if that is due here; seconds until the next look."""
        there, before = self.membership.swim.there, self.membership.by_reports
        self.membership.by_reports = uses_zone_reports(there, before)
        order = self._order(now) if self.membership.by_reports else []
        self.may_speak = self.speaker.address in order and self.is_ready() and not self.runtime.stopping
        if not self.may_speak:
            self.beats.clear()
            return PERIOD
        if now >= self.speaker.due(order):
            self._report(now, order)
        elif order[0] == self.speaker.address and now - self.health_at >= HEALTH_EVERY:
            self._report_health(now, order)
        return LOOK

    def note_beats(self, beats: list[tuple[str, int]]) -> None:
        """Beats that gateways of this zone have heard."""
        if self.membership.by_reports and len(self.beats) < BEATS_KEPT:
            self.beats.update(beats)

    def _here(self, now: float) -> list[str]:
        """This zone's gateways whose words come, this one too."""
        others, (near, _) = self.limiter.usage.peers, self.membership.zones()
        known = [ip for ip in near if ip in others and not others[ip].left]
        return [*(ip for ip in known if now - others[ip].heard_at <= GATEWAY_TIMEOUT_S), self.speaker.address]

    def _order(self, now: float) -> list[str]:
        here = self._here(now)
        return self.speaker.candidates(here, self.carriers.of(now, here, relay.NEAR))

    def _report(self, now: float, order: list[str]) -> None:
        """All that the other zones are told."""
        here = self._here(now)
        self.speaker.start_report(now, len(here))
        for presence in self._presences(now, here):
            self._send(order, presence)
        self._send(order, UsageSum(self._head(), pack_use_sum(sum_usage(self._uses(here)))))
        told = self.instances.in_flight_by_gateway
        outs = [[(copy.id_hash, count) for copy, count in told[ip][1]] for ip in here if ip in told]
        self._send(
            order,
            InFlightSum(self._head(), pack_out(sum_in_flight([*outs, self.instances.in_flight_counts()]))),
        )
        self._report_health(now, order, again=bool(self.ill))

    def _head(self) -> ReportHead:
        self.serial += 1
        zone, speaker = self.membership.swim.me.zone, self.speaker
        return ReportHead(zone, speaker.address, speaker.gateways, self.serial)

    def _presences(self, now: float, here: list[str]) -> list[Presence]:
        carriers = self.carriers.of(now, here, relay.NEAR)
        addresses = [*carriers, *(ip for ip in here if ip not in carriers)][:MOST_ADDRESSES]
        view, leader, core = self.core.known()
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
                beats[at : at + MOST_BEATS],
            )
            for at in range(0, max(1, len(beats)), MOST_BEATS)
        ]

    def _uses(self, here: list[str]) -> list[TenantUsage]:
        others = self.limiter.usage.peers
        own = {
            name: tenant.last_reported
            for name, tenant in self.limiter.tenants.items()
            if any(tenant.last_reported)
        }
        return [own, *(others[ip].use for ip in here if ip in others)]

    def _report_health(self, now: float, order: list[str], again: bool = False) -> None:
        """What is newly ill is told at once, not with the next report; `again`: though nothing is."""
        rows = self.instances.zone_health(now)
        ill = {mark: count for mark, _, count, *_ in rows}
        if again or any(count > self.ill.get(mark, 0) for mark, count in ill.items()):
            self.ill, self.health_at = ill, now
            self._send(order, HealthSum(self._head(), pack_health_sum(rows)))

    def _send(self, order: list[str], report: Report) -> None:
        """To one in each other zone, who tells all there; and to those that would speak in this one's place."""
        peers, data, now = self.runtime.peers, encode(report), self.runtime.clock.monotonic()
        _, far = self.membership.zones()
        for by_lot, ips in zip(far, self.membership.far.values(), strict=True):
            found = self.carriers.of(now, ips, relay.FAR)
            peers.cast(self.carriers.next(found) if found else by_lot, REPORT, data)
        if isinstance(report, Presence):
            for ip in order:
                if ip != self.speaker.address:
                    peers.cast(ip, REPORTED, data)

    # The other zones'

    def datagram(self, kind: bytes, body: bytes) -> list[Verdict]:
        """A part of a report; new verdicts on copies, if it leads to some."""
        now = self.runtime.clock.monotonic()
        try:
            report = decode_report(body)
            if report.head.zone == self.membership.swim.me.zone:
                self.speaker.other_reported(now, report.head.gateways)
                return []
            if not self.zones.accepts(now, report.head, type(report)):
                return []
            if kind == REPORT:
                self.runtime.peers.pace(self.membership.zones()[0], REPORTED + body)
            return self._take(now, report)
        except (msgspec.MsgspecError, struct.error, OSError):
            return []

    def _take(self, now: float, report: Report) -> list[Verdict]:
        zone = report.head.zone
        match report:
            case Presence():
                self._present(now, report)
            case UsageSum():
                use = unpack_use_sum(report.rows, self.changes.tenants)
                self.limiter.usage.record_zone(now, zone, use)
            case InFlightSum():
                self.instances.update_in_flight(now, f"zone {zone}", unpack_out(report.rows))
            case HealthSum():
                return self.instances.update_zone_health(now, zone, unpack_health_sum(report.rows))
        return []

    def _present(self, now: float, report: Presence) -> None:
        packed, addresses = self.present.get(report.head.zone, (b"", []))
        if packed != report.addresses:
            addresses = unpack_addresses(report.addresses)
            self.present[report.head.zone] = report.addresses, addresses
            self.zones.set_members(report.head.zone, addresses)
        self.limiter.usage.mark_present(now, addresses)
        self.membership.hear(now, addresses)
        for ip in addresses[: report.carriers]:
            self.carriers.hear(now, ip, True)
        for ip in addresses[report.carriers :]:
            self.carriers.hear(now, ip, False)
        self.shares.heard(report.shares)
        hear_view(self.core, report.view, report.leader, report.core)
        unknown = self.host_replication.register.merge_beats(now, report.beats)
        # Those that speak mend the register between zones, and those near them by their words' digests.
        if self.may_speak:
            self.host_replication.compare(now, report.head.reporter, report.digest, unknown)
        for zone in self.zones.drop_silent(now, LONGEST):
            self.present.pop(zone, None)
