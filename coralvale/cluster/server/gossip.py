"""Gossip between gateways: the periodic messages of this gateway, and the handling of received datagrams.

In a large fleet, carriers relay the messages (`relay`), and zones may report sums to each other instead
(`zone_reports`).
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from zlib import crc32

import msgspec

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.host_health.watch import VerdictChange as Verdict
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.routing.copies import VERDICT_GAP_S, InstancePool
from coralvale.cluster.server import quotas, relay
from coralvale.cluster.server.arrivals import HostReplication
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.membership import LARGE_FLEET, LARGE_FLEET_ABOVE, SMALL_FLEET, Membership
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

IN_FLIGHT_INTERVAL_S = 0.04  # between messages about attempts in flight, at least
MAX_IN_FLIGHT_MESSAGES_PER_S = 350  # that a gateway sends, and receives
IN_FLIGHT_LINK_SHARE = 0.05  # of the bandwidth that these messages may use
IN_FLIGHT_BYTES = 70  # of one message, with datagram headers
RELAYED_IN_FLIGHT_BYTES = 25  # of one message in a batch
RELAYED_IN_FLIGHT_INTERVAL_S = 0.1  # between relayed messages, at least
# At least, if zones report: of many zones, each has only a small part of the attempts in flight.
REPORTED_IN_FLIGHT_INTERVAL_S = 0.2
RELAYED_KINDS = (GOSSIP, IN_FLIGHT, HEALTH)  # that carriers relay
# Links between zones are expensive: other zones get the attempts in flight with the gossip messages.
ZONE_ONLY_KINDS = (IN_FLIGHT,)
CORE_REPEAT_S = 2.0  # after a change of the core's members, for which each gossip message has them


class GossipExchange:
    """Sends this gateway's gossip and applies that of the others. `quotas` and `reports` share its
    datagrams."""

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
        is_ready: Callable[[], bool],
    ) -> None:
        self.runtime, self.membership, self.core, self.changes = runtime, membership, core, changes
        self.host_replication, self.limiter, self.instances, self.is_ready = (
            host_replication,
            limiter,
            instances,
            is_ready,
        )
        self.shares, self.quotas = shares, QuotaExchange(runtime, changes, limiter)
        self.register = host_replication.register
        self.in_flight_in_gossip = False
        self.batch, self.carriers, self.batch_scheduled = RelayBatch(), Carriers(), False
        self.reports = ZoneReportExchange(
            runtime,
            membership,
            core,
            changes,
            host_replication,
            limiter,
            shares,
            instances,
            self.carriers,
            is_ready,
        )

    async def gossip_loop(self) -> None:
        """Sends usage, heartbeats and load to all gateways, each `PERIOD` s."""
        due = core_changed_at = self.runtime.clock.monotonic()
        last_core: tuple[int, tuple[str, ...]] = (0, ())
        while True:
            now = self.runtime.clock.monotonic()
            self.limiter.step(now)
            self.instances.decay_sent()
            self.log_verdicts(self.instances.update_verdicts(now))
            view, leader, core = self.core.known_view()
            usage, whole = self.limiter.usage_report(now)
            if (view, core) != last_core:
                last_core, core_changed_at = (view, core), now
            carries = self.is_carrier(now)
            self.carriers.record(now, self.runtime.settings.Ip, carries)
            beats = self.register.take_fresh_beats()
            self.reports.note_beats(beats)
            message = GossipMessage(
                self.changes.configuration.version,
                self.register.digest,
                view,
                leader,
                core if whole or now - core_changed_at < CORE_REPEAT_S else (),
                pack_usage(usage),
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
        """Sends this gateway's attempts in flight to all, as often as bandwidth and processor allow; and new
        errors.

        Also switches between the settings for small and large fleets.
        """
        last_data, sent_at, health_sent_at = b"", 0.0, 0.0
        bytes_per_s = self.runtime.settings.Limits.NicMbps * 1e6 / 8
        while True:
            now = self.runtime.clock.monotonic()
            count = self.membership.swim.there - 1
            self.membership.is_large = large = count > LARGE_FLEET_ABOVE
            near, far = self.membership.broadcast_targets()
            relayed = large and bool(
                self.carriers.active(now, (*near, self.runtime.settings.Ip), relay.NEAR_TIMEOUT_S)
            )
            if relayed:
                min_interval = (
                    REPORTED_IN_FLIGHT_INTERVAL_S
                    if self.membership.uses_reports
                    else RELAYED_IN_FLIGHT_INTERVAL_S
                )
                interval = max(
                    min_interval, len(near) * RELAYED_IN_FLIGHT_BYTES / (IN_FLIGHT_LINK_SHARE * bytes_per_s)
                )
            else:
                receivers = len(near) if self.membership.uses_reports else count
                interval = max(
                    IN_FLIGHT_INTERVAL_S,
                    receivers / MAX_IN_FLIGHT_MESSAGES_PER_S,
                    receivers * IN_FLIGHT_BYTES / (IN_FLIGHT_LINK_SHARE * bytes_per_s),
                )
            # In a large fleet this gateway's part of the load at a host of another zone is small: other zones
            # get it with the gossip messages.
            self.in_flight_in_gossip = large and not self.membership.uses_reports
            self.runtime.peers.bytes_per_interval = (
                PACED_LINK_SHARE * bytes_per_s * PACING_INTERVAL_S if large else 0.0
            )
            self.membership.swim.settings = LARGE_FLEET if large else SMALL_FLEET
            data = pack_in_flight(self.instances.in_flight_counts())
            if data != last_data or (data and now - sent_at > PERIOD):
                last_data, sent_at = data, now
                if large and not relayed:
                    self.runtime.peers.broadcast(near, [], IN_FLIGHT, data)
                else:
                    self.send_to_all(IN_FLIGHT, data)
            # Errors are reported at once instead of with the next gossip message; in a large fleet without
            # carriers that message is no later.
            if (
                self.instances.health.report_due
                and (relayed or not large)
                and now - health_sent_at >= VERDICT_GAP_S
            ):
                health_sent_at = now
                self.send_to_all(HEALTH, pack_health(self.instances.health.own_report(now)))
            await asyncio.sleep(interval)

    def crosses_zones(self, kind: bytes) -> bool:
        """Whether messages of a kind go to other zones one by one; False if zones report sums instead."""
        return kind not in ZONE_ONLY_KINDS and not self.membership.uses_reports

    def send_to_all(self, kind: bytes, data: bytes) -> None:
        """Sends a message to all gateways that should get it: through a carrier if there is one, else to
        each."""
        near, far = self.membership.broadcast_targets()
        if self.membership.uses_reports:
            far = []
        if self.membership.is_large:
            me, now = self.runtime.settings.Ip, self.runtime.clock.monotonic()
            if active := self.carriers.active(now, (*near, me), relay.NEAR_TIMEOUT_S):
                if me in active:
                    self.add_to_batch(me, kind + data, self.crosses_zones(kind))
                else:
                    # Attempts in flight always go through the same carrier: an old message that overtakes a
                    # new one would count for long.
                    target = active[crc32(me.encode()) % len(active)] if kind in ZONE_ONLY_KINDS else ""
                    self.runtime.peers.send_datagram(
                        target or self.carriers.pick(active), RELAY_REQUEST, kind + data
                    )
                return
        self.runtime.peers.broadcast(near, far, kind, data)

    def is_carrier(self, now: float) -> bool:
        """Whether this gateway offers to relay the messages of others to all in its zone."""
        near, _ = self.membership.broadcast_targets()
        bytes_per_s = self.runtime.settings.Limits.NicMbps * 1e6 / 8
        gateways, has_replica = self.membership.swim.there, self.core.replica is not None
        if self.membership.uses_reports:
            gateways = len(near) + 1 + relay.REPORT_WEIGHT * len(self.membership.far)
        self.carriers.max_active = relay.carrier_count(gateways, len(near), PERIOD)
        return (
            self.membership.is_large
            and self.is_ready()
            and not self.runtime.stopping
            and relay.can_carry(gateways, len(near), bytes_per_s, PERIOD, has_replica)
        )

    def add_to_batch(self, ip: str, message: bytes, to_other_zones: bool) -> None:
        """At a carrier: adds a gateway's message to the next batch."""
        self.batch.add(ip, message, to_other_zones)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.runtime.loop.call_later(relay.BATCH_INTERVAL_S, self.send_batch)

    def send_batch(self) -> None:
        """At a carrier: sends the batch to all in this zone, and to one gateway, a carrier if known, of each
        other."""
        self.batch_scheduled = False
        near_batches, far_batches = self.batch.take()
        near, far = self.membership.broadcast_targets()
        now = self.runtime.clock.monotonic()
        for data in near_batches:
            self.runtime.peers.send_paced(near, RELAYED + data)
        if far_batches:
            for random_target, ips in zip(far, self.membership.far.values(), strict=True):
                active = self.carriers.active(now, ips, relay.FAR_TIMEOUT_S)
                target = self.carriers.pick(active) if active else random_target
                for data in far_batches:
                    self.runtime.peers.send_datagram(target, RELAY_BATCH, data)

    def log_verdicts(self, changes: list[Verdict]) -> None:
        """Logs changed health verdicts."""
        for change in changes:
            copy = self.instances.by_hash.get(change.id_hash)
            log_event(
                Event.HEALTH,
                id=copy.entry.id if copy else f"{change.id_hash:08x}",
                before=change.before.name.lower(),
                after=change.after.name.lower(),
                ill=change.ill,
                all=change.ill + change.well,
                reporters=change.reporters,
            )

    def handle_datagram(self, ip: str, data: bytes) -> None:
        """Handles a received datagram; invalid ones are ignored."""
        kind, body = data[:1], data[1:]
        if kind in (FORWARD, FORWARDED):
            forwarded = self.runtime.peers.unpack_forwarded(body)
            if forwarded is None or forwarded[0] == self.runtime.settings.Ip:
                return
            if kind == FORWARD:
                self.runtime.peers.forward(self.membership.broadcast_targets()[0], body)
            if forwarded[1] != SWIM:
                self._handle_message(*forwarded)
        elif kind == RELAY_REQUEST:
            if body and body[:1] in RELAYED_KINDS:
                self.add_to_batch(ip, body, self.crosses_zones(body[:1]))
                self._handle_message(ip, body[:1], body[1:])
        elif kind in (RELAY_BATCH, RELAYED):
            self._handle_relayed(ip, kind, body)
        elif kind in (REPORT, REPORTED):
            self.log_verdicts(self.reports.handle_datagram(kind, body))
        elif kind in quotas.KINDS:
            self.quotas.handle_datagram(ip, kind, body)
        else:
            self._handle_message(ip, kind, body)

    def _handle_relayed(self, ip: str, kind: bytes, body: bytes) -> None:
        """Handles a batch of messages, for this gateway or (`RELAY_BATCH`) for all in its zone."""
        if kind == RELAYED and ip in self.carriers.heard_at:
            self.carriers.heard_at[ip] = self.runtime.clock.monotonic()
        for sender, message in relay.unpack_batch(body):
            if sender == self.runtime.settings.Ip or message[:1] not in RELAYED_KINDS:
                continue
            if kind == RELAY_BATCH:
                self.add_to_batch(sender, message, False)
            self._handle_message(sender, message[:1], message[1:])

    def _handle_message(self, ip: str, kind: bytes, body: bytes) -> None:
        """Handles a message of the gateway at an address."""
        now = self.runtime.clock.monotonic()
        if kind == IN_FLIGHT:
            try:
                self.instances.update_in_flight(now, ip, unpack_in_flight(body))
            except struct.error:
                return
        elif kind == HOST_ROWS:
            try:
                self.host_replication.merge_rows(decode_rows(body).rows)
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
        """Applies a gossip message of another gateway."""
        self.membership.record_gossip(now, (ip,))
        if message.region and (mismatch := self.membership.region_mismatch(ip, message.region)):
            log_event(Event.REGION_OF_OTHER, **mismatch)
        self.carriers.record(now, ip, message.carries)
        self.shares.note_version(message.shares)
        update_heard_view(self.core, message.view, message.leader, message.core)
        unknown = self.register.merge_beats(now, message.beats)
        if self.reports.zones.covers(now, ip):
            return  # its usage and load are in its zone's report; they would count twice
        self.limiter.usage.record_peer(
            now, ip, unpack_usage(message.usage, self.changes.tenants), message.whole, message.version
        )
        self.log_verdicts(self.instances.update_health(now, ip, unpack_health(message.health)))
        if message.in_flight is not None:
            self.instances.update_in_flight(now, ip, unpack_in_flight(message.in_flight))
        self.reports.note_beats(message.beats)
        self.host_replication.compare(now, ip, message.digest, unknown)
