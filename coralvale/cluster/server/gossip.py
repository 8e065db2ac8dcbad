"""What this gateway tells all others, and what it takes from their datagrams."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from zlib import crc32

import msgspec

from coralvale.cluster.events import Event, tell
from coralvale.cluster.host_health.watch import VerdictChange as Verdict
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.routing.copies import VERDICT_GAP_S, InstancePool
from coralvale.cluster.server import quotas, relay
from coralvale.cluster.server.arrivals import Arrivals
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.membership import LARGE_FLEET, LARGE_FLEET_FROM, SMALL_FLEET, Membership
from coralvale.cluster.server.messages import (
    GossipMessage,
    decode_gossip,
    decode_rows,
    encode,
    pack_health,
    pack_in_flight,
    pack_usage,
    unpack_health,
    unpack_in_flight,
    unpack_usage,
)
from coralvale.cluster.server.peers import (
    FORWARD,
    FORWARDED,
    GOSSIP,
    HEALTH,
    HOST_ROWS,
    IN_FLIGHT,
    PACED_LINK_SHARE,
    PACING_INTERVAL_S,
    RELAY_BATCH,
    RELAY_REQUEST,
    RELAYED,
    REPORT,
    REPORTED,
    SWIM,
)
from coralvale.cluster.server.quotas import QuotaExchange
from coralvale.cluster.server.relay import Carriers, RelayBatch
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.server.shares import ShareClaims
from coralvale.cluster.server.zone_reports import ZoneReportExchange, update_heard_view
from coralvale.members import wire as swim_wire
from coralvale.members.model import MembersError

IN_FLIGHT_INTERVAL_S = 0.04  # s between words of what is out at copies, at the least
MAX_IN_FLIGHT_MESSAGES_PER_S = 350  # of them that a gateway sends, and gets, at most
IN_FLIGHT_LINK_SHARE = 0.05  # of the link that they may take
IN_FLIGHT_BYTES = 70  # of one, with its heads
RELAYED_IN_FLIGHT_BYTES = 25  # of one that is joined to others
RELAYED_IN_FLIGHT_INTERVAL_S = 0.1  # s between them, at the least
REPORTED_IN_FLIGHT_INTERVAL_S = (
    0.2  # s where zones report: what is out in one of many zones is the lesser part
)
RELAYED_KINDS = (GOSSIP, IN_FLIGHT, HEALTH)  # kinds that carriers bring
ZONE_ONLY_KINDS = (IN_FLIGHT,)  # links between zones are dear: there, what is out is told in the other words
CORE_REPEAT_S = 2.0  # s for which a change of the core is told in each word


class GossipExchange:
    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        core: Core,
        changes: Changes,
        arrivals: Arrivals,
        limiter: RateLimiter,
        shares: ShareClaims,
        instances: InstancePool,
        is_ready: Callable[[], bool],
    ) -> None:
        self.runtime, self.membership, self.core, self.changes = runtime, membership, core, changes
        self.arrivals, self.limiter, self.instances, self.is_ready = arrivals, limiter, instances, is_ready
        self.shares, self.quotas = shares, QuotaExchange(runtime, changes, limiter)
        self.register = arrivals.register
        self.in_flight_in_gossip = False
        self.batch, self.carriers, self.batch_scheduled = RelayBatch(), Carriers(), False
        self.reports = ZoneReportExchange(
            runtime,
            membership,
            core,
            changes,
            arrivals,
            limiter,
            shares,
            instances,
            self.carriers,
            is_ready,
        )

    async def gossip_loop(self) -> None:
        """Every half second, to all: what was let through, which beats came, how loaded copies are."""
        due = told_at = self.runtime.clock.monotonic()
        told_core: tuple[int, tuple[str, ...]] = (0, ())
        while True:
            now = self.runtime.clock.monotonic()
            self.limiter.step(now)
            self.instances.decay_sent()
            self.log_verdicts(self.instances.update_verdicts(now))
            view, leader, core = self.core.known_view()
            use, whole = self.limiter.usage_report(now)
            if (view, core) != told_core:
                told_core, told_at = (view, core), now
            carries = self.is_carrier(now)
            self.carriers.record(now, self.runtime.settings.Ip, carries)
            beats = self.register.take_fresh_beats()
            self.reports.note_beats(beats)
            message = GossipMessage(
                self.changes.configuration.version,
                self.register.digest,
                view,
                leader,
                core if whole or now - told_at < CORE_REPEAT_S else (),
                pack_usage(use),
                whole,
                beats,
                pack_health(self.instances.health.own_report(now)),
                pack_in_flight(self.instances.in_flight_counts()) if self.in_flight_in_gossip else None,
                carries,
                self.runtime.settings.Region if whole else "",
                shares=self.limiter.holding.version,
            )
            self.send_to_all(GOSSIP, encode(message))
            due = max(due + PERIOD, now + PERIOD / 2)
            await asyncio.sleep(due - now)

    async def in_flight_loop(self) -> None:
        """What this gateway has out at copies, to all, as often as the link and the processor can bear."""
        before, told_at, ill_at = b"", 0.0, 0.0
        link = self.runtime.settings.Limits.NicMbps * 1e6 / 8
        while True:
            now = self.runtime.clock.monotonic()
            count = self.membership.swim.there - 1
            self.membership.is_large = large = count > LARGE_FLEET_FROM
            near, far = self.membership.broadcast_targets()
            carried = large and bool(
                self.carriers.active(now, (*near, self.runtime.settings.Ip), relay.NEAR_TIMEOUT_S)
            )
            if carried:
                least = (
                    REPORTED_IN_FLIGHT_INTERVAL_S
                    if self.membership.uses_reports
                    else RELAYED_IN_FLIGHT_INTERVAL_S
                )
                every = max(least, len(near) * RELAYED_IN_FLIGHT_BYTES / (IN_FLIGHT_LINK_SHARE * link))
            else:
                told = len(near) if self.membership.uses_reports else count
                every = max(
                    IN_FLIGHT_INTERVAL_S,
                    told / MAX_IN_FLIGHT_MESSAGES_PER_S,
                    told * IN_FLIGHT_BYTES / (IN_FLIGHT_LINK_SHARE * link),
                )
            # In a large fleet other zones, whose part at a copy is small, are told in the other words.
            self.in_flight_in_gossip = large and not self.membership.uses_reports
            self.runtime.peers.bytes_per_interval = (
                PACED_LINK_SHARE * link * PACING_INTERVAL_S if large else 0.0
            )
            self.membership.swim.settings = LARGE_FLEET if large else SMALL_FLEET
            data = pack_in_flight(self.instances.in_flight_counts())
            if data != before or (data and now - told_at > PERIOD):
                before, told_at = data, now
                if large and not carried:
                    self.runtime.peers.broadcast(near, [], IN_FLIGHT, data)
                else:
                    self.send_to_all(IN_FLIGHT, data)
            # What is ill is told at once, not with the next word; without carriers a large fleet's words are
            # no later.
            if self.instances.health.report_due and (carried or not large) and now - ill_at >= VERDICT_GAP_S:
                ill_at = now
                self.send_to_all(HEALTH, pack_health(self.instances.health.own_report(now)))
            await asyncio.sleep(every)

    def crosses_zones(self, kind: bytes) -> bool:
        """Whether other zones are told words of a kind, and not by reports."""
        return kind not in ZONE_ONLY_KINDS and not self.membership.uses_reports

    def send_to_all(self, kind: bytes, data: bytes) -> None:
        """A word to all that are told it: by a carrier where there is one, else to each."""
        near, far = self.membership.broadcast_targets()
        if self.membership.uses_reports:
            far = []
        if self.membership.is_large:
            me, now = self.runtime.settings.Ip, self.runtime.clock.monotonic()
            if found := self.carriers.active(now, (*near, me), relay.NEAR_TIMEOUT_S):
                if me in found:
                    self.add_to_batch(me, kind + data, self.crosses_zones(kind))
                else:
                    # What is out goes by one and the same: an older one behind a newer would stand for long.
                    at = found[crc32(me.encode()) % len(found)] if kind in ZONE_ONLY_KINDS else ""
                    self.runtime.peers.send_datagram(
                        at or self.carriers.pick(found), RELAY_REQUEST, kind + data
                    )
                return
        self.runtime.peers.broadcast(near, far, kind, data)

    def is_carrier(self, now: float) -> bool:
        """Whether this gateway brings the words of others to all in its zone."""
        near, _ = self.membership.broadcast_targets()
        link = self.runtime.settings.Limits.NicMbps * 1e6 / 8
        gateways, replica = self.membership.swim.there, self.core.replica is not None
        if self.membership.uses_reports:
            gateways = len(near) + 1 + relay.REPORT_WEIGHT * len(self.membership.far)
        self.carriers.max_active = relay.carrier_count(gateways, len(near), PERIOD)
        return (
            self.membership.is_large
            and self.is_ready()
            and not self.runtime.stopping
            and relay.can_carry(gateways, len(near), link, PERIOD, replica)
        )

    def add_to_batch(self, ip: str, whole: bytes, to_other_zones: bool) -> None:
        self.batch.add(ip, whole, to_other_zones)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.runtime.loop.call_later(relay.BATCH_INTERVAL_S, self.send_batch)

    def send_batch(self) -> None:
        self.batch_scheduled = False
        here, abroad = self.batch.take()
        near, far = self.membership.broadcast_targets()
        now = self.runtime.clock.monotonic()
        for data in here:
            self.runtime.peers.send_paced(near, RELAYED + data)
        if abroad:
            for by_lot, ips in zip(far, self.membership.far.values(), strict=True):
                found = self.carriers.active(now, ips, relay.FAR_TIMEOUT_S)
                at = self.carriers.pick(found) if found else by_lot
                for data in abroad:
                    self.runtime.peers.send_datagram(at, RELAY_BATCH, data)

    def log_verdicts(self, changes: list[Verdict]) -> None:
        for change in changes:
            copy = self.instances.by_hash.get(change.id_hash)
            tell(
                Event.HEALTH,
                id=copy.entry.id if copy else f"{change.id_hash:08x}",
                before=change.before.name.lower(),
                after=change.after.name.lower(),
                ill=change.ill,
                all=change.ill + change.well,
                reporters=change.reporters,
            )

    def handle_datagram(self, ip: str, data: bytes) -> None:
        kind, body = data[:1], data[1:]
        if kind in (FORWARD, FORWARDED):
            passed = self.runtime.peers.unpack_forwarded(body)
            if passed is None or passed[0] == self.runtime.settings.Ip:
                return
            if kind == FORWARD:
                self.runtime.peers.forward(self.membership.broadcast_targets()[0], body)
            if passed[1] != SWIM:
                self._handle_message(*passed)
        elif kind == RELAY_REQUEST:
            if body and body[:1] in RELAYED_KINDS:
                self.add_to_batch(ip, body, self.crosses_zones(body[:1]))
                self._handle_message(ip, body[:1], body[1:])
        elif kind in (RELAY_BATCH, RELAYED):
            self._handle_relayed(ip, kind, body)
        elif kind in (REPORT, REPORTED):
            self.log_verdicts(self.reports.handle_datagram(kind, body))
        elif kind in quotas.KINDS:
            self.quotas.datagram(ip, kind, body)
        else:
            self._handle_message(ip, kind, body)

    def _handle_relayed(self, ip: str, kind: bytes, body: bytes) -> None:
        """Joined words: to this gateway, or (`CARRY`) for all in its zone."""
        if kind == RELAYED and ip in self.carriers.heard_at:
            self.carriers.heard_at[ip] = self.runtime.clock.monotonic()
        for whose, whole in relay.unpack_batch(body):
            if whose == self.runtime.settings.Ip or whole[:1] not in RELAYED_KINDS:
                continue
            if kind == RELAY_BATCH:
                self.add_to_batch(whose, whole, False)
            self._handle_message(whose, whole[:1], whole[1:])

    def _handle_message(self, ip: str, kind: bytes, body: bytes) -> None:
        """A datagram, of the gateway at an address."""
        now = self.runtime.clock.monotonic()
        if kind == IN_FLIGHT:
            try:
                self.instances.update_in_flight(now, ip, unpack_in_flight(body))
            except struct.error:
                return
        elif kind == HOST_ROWS:
            try:
                self.arrivals.note(decode_rows(body).rows)
            except msgspec.MsgspecError:
                return
        elif kind == HEALTH:
            if self.reports.zones.covers(now, ip):
                return
            try:
                self.log_verdicts(self.instances.update_health(now, ip, unpack_health(body)))
            except struct.error:
                return
        elif kind == GOSSIP:
            try:
                self.handle_gossip(now, ip, decode_gossip(body))
            except (msgspec.MsgspecError, struct.error):
                return
        elif kind == SWIM:
            try:
                packet = swim_wire.read(body)
            except MembersError:
                return
            self.membership.swim.receive(now, (ip, self.runtime.settings.peers_port), packet)
            self.membership.flush()

    def handle_gossip(self, now: float, ip: str, message: GossipMessage) -> None:
        self.membership.record_gossip(now, (ip,))
        if message.region and (mismatch := self.membership.region_mismatch(ip, message.region)):
            tell(Event.REGION_OF_OTHER, **mismatch)
        self.carriers.record(now, ip, message.carries)
        self.shares.note_version(message.shares)
        update_heard_view(self.core, message.view, message.leader, message.core)
        unknown = self.register.merge_beats(now, message.beats)
        if self.reports.zones.covers(now, ip):
            return  # what it does is in the report of its zone, and would count twice
        self.limiter.usage.record_peer(
            now, ip, unpack_usage(message.usage, self.changes.tenants), message.whole, message.version
        )
        self.log_verdicts(self.instances.update_health(now, ip, unpack_health(message.health)))
        if message.in_flight is not None:
            self.instances.update_in_flight(now, ip, unpack_in_flight(message.in_flight))
        self.reports.note_beats(message.beats)
        self.arrivals.compare(now, ip, message.digest, unknown)
