"""What this gateway tells all others, and what it takes from their datagrams."""

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
from coralvale.cluster.server.membership import LARGE_FLEET, MANY, SMALL_FLEET, Membership
from coralvale.cluster.server.messages import (
    Word,
    decode_rows,
    decode_word,
    encode,
    pack_health,
    pack_out,
    pack_use,
    unpack_health,
    unpack_out,
    unpack_use,
)
from coralvale.cluster.server.peers import (
    CARRIED,
    CARRY,
    HEALTH,
    LIFE,
    LINK_SHARE,
    LOAD,
    OUT,
    PASS,
    PASSED,
    REPORT,
    REPORTED,
    SLICE,
    SWIM,
    WORD,
)
from coralvale.cluster.server.quotas import QuotaExchange
from coralvale.cluster.server.relay import Carriers, RelayBatch
from coralvale.cluster.server.runtime import Runtime
from coralvale.cluster.server.shares import ShareClaims
from coralvale.cluster.server.zone_reports import ZoneReportExchange, hear_view
from coralvale.members import wire as swim_wire
from coralvale.members.model import MembersError

OUT_EVERY = 0.04  # s between words of what is out at copies, at the least
OUT_A_SECOND = 350  # of them that a gateway sends, and gets, at most
OUT_SHARE = 0.05  # of the link that they may take
OUT_BYTES = 70  # of one, with its heads
CARRIED_OUT_BYTES = 25  # of one that is joined to others
CARRIED_OUT_EVERY = 0.1  # s between them, at the least
REPORTED_OUT_EVERY = 0.2  # s where zones report: what is out in one of many zones is the lesser part
TOLD = (WORD, OUT, HEALTH)  # kinds that carriers bring
NEAR_ONLY = (OUT,)  # links between zones are dear: there, what is out is told in the other words
CORE_NEWS = 2.0  # s for which a change of the core is told in each word


class GossipExchange:
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
        self.out_in_words = False
        self.batch, self.carriers, self.relaying = RelayBatch(), Carriers(), False
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

    async def tell(self) -> None:
        """Every half second, to all: what was let through, which beats came, how loaded copies are."""
        due = told_at = self.runtime.clock.monotonic()
        told_core: tuple[int, tuple[str, ...]] = (0, ())
        while True:
            now = self.runtime.clock.monotonic()
            self.limiter.step(now)
            self.instances.decay_sent()
            self.tell_health(self.instances.update_verdicts(now))
            view, leader, core = self.core.known()
            use, whole = self.limiter.usage_report(now)
            if (view, core) != told_core:
                told_core, told_at = (view, core), now
            carries = self.carries(now)
            self.carriers.hear(now, self.runtime.settings.Ip, carries)
            beats = self.register.take_fresh_beats()
            self.reports.note_beats(beats)
            word = Word(
                self.changes.configuration.version,
                self.register.digest,
                view,
                leader,
                core if whole or now - told_at < CORE_NEWS else (),
                pack_use(use),
                whole,
                beats,
                pack_health(self.instances.health.own_report(now)),
                pack_out(self.instances.in_flight_counts()) if self.out_in_words else None,
                carries,
                self.runtime.settings.Region if whole else "",
                shares=self.limiter.holding.version,
            )
            self.tell_all(WORD, encode(word))
            due = max(due + PERIOD, now + PERIOD / 2)
            await asyncio.sleep(due - now)

    async def tell_out(self) -> None:
        """What this gateway has out at copies, to all, as often as the link and the processor can bear."""
        before, told_at, ill_at = b"", 0.0, 0.0
        link = self.runtime.settings.Limits.NicMbps * 1e6 / 8
        while True:
            now = self.runtime.clock.monotonic()
            count = self.membership.swim.there - 1
            self.membership.large = large = count > MANY
            near, far = self.membership.zones()
            carried = large and bool(self.carriers.of(now, (*near, self.runtime.settings.Ip), relay.NEAR))
            if carried:
                least = REPORTED_OUT_EVERY if self.membership.by_reports else CARRIED_OUT_EVERY
                every = max(least, len(near) * CARRIED_OUT_BYTES / (OUT_SHARE * link))
            else:
                told = len(near) if self.membership.by_reports else count
                every = max(OUT_EVERY, told / OUT_A_SECOND, told * OUT_BYTES / (OUT_SHARE * link))
            # In a large fleet other zones, whose part at a copy is small, are told in the other words.
            self.out_in_words = large and not self.membership.by_reports
            self.runtime.peers.bytes_a_slice = LINK_SHARE * link * SLICE if large else 0.0
            self.membership.swim.settings = LARGE_FLEET if large else SMALL_FLEET
            data = pack_out(self.instances.in_flight_counts())
            if data != before or (data and now - told_at > PERIOD):
                before, told_at = data, now
                if large and not carried:
                    self.runtime.peers.cast_all(near, [], OUT, data)
                else:
                    self.tell_all(OUT, data)
            # What is ill is told at once, not with the next word; without carriers a large fleet's words are
            # no later.
            if self.instances.health.report_due and (carried or not large) and now - ill_at >= VERDICT_GAP_S:
                ill_at = now
                self.tell_all(HEALTH, pack_health(self.instances.health.own_report(now)))
            await asyncio.sleep(every)

    def onward(self, kind: bytes) -> bool:
        """Whether other zones are told words of a kind, and not by reports."""
        return kind not in NEAR_ONLY and not self.membership.by_reports

    def tell_all(self, kind: bytes, data: bytes) -> None:
        """A word to all that are told it: by a carrier where there is one, else to each."""
        near, far = self.membership.zones()
        if self.membership.by_reports:
            far = []
        if self.membership.large:
            me, now = self.runtime.settings.Ip, self.runtime.clock.monotonic()
            if found := self.carriers.of(now, (*near, me), relay.NEAR):
                if me in found:
                    self.relay(me, kind + data, self.onward(kind))
                else:
                    # What is out goes by one and the same: an older one behind a newer would stand for long.
                    at = found[crc32(me.encode()) % len(found)] if kind in NEAR_ONLY else ""
                    self.runtime.peers.cast(at or self.carriers.next(found), LOAD, kind + data)
                return
        self.runtime.peers.cast_all(near, far, kind, data)

    def carries(self, now: float) -> bool:
        """Whether this gateway brings the words of others to all in its zone."""
        near, _ = self.membership.zones()
        link = self.runtime.settings.Limits.NicMbps * 1e6 / 8
        gateways, replica = self.membership.swim.there, self.core.replica is not None
        if self.membership.by_reports:
            gateways = len(near) + 1 + relay.REPORT_WORDS * len(self.membership.far)
        self.carriers.most = relay.wanted(gateways, len(near), PERIOD)
        return (
            self.membership.large
            and self.is_ready()
            and not self.runtime.stopping
            and relay.bears(gateways, len(near), link, PERIOD, replica)
        )

    def relay(self, ip: str, whole: bytes, onward: bool) -> None:
        self.batch.add(ip, whole, onward)
        if not self.relaying:
            self.relaying = True
            self.runtime.loop.call_later(relay.EVERY, self.send_batch)

    def send_batch(self) -> None:
        self.relaying = False
        here, abroad = self.batch.take()
        near, far = self.membership.zones()
        now = self.runtime.clock.monotonic()
        for data in here:
            self.runtime.peers.pace(near, CARRIED + data)
        if abroad:
            for by_lot, ips in zip(far, self.membership.far.values(), strict=True):
                found = self.carriers.of(now, ips, relay.FAR)
                at = self.carriers.next(found) if found else by_lot
                for data in abroad:
                    self.runtime.peers.cast(at, CARRY, data)

    def tell_health(self, changes: list[Verdict]) -> None:
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

    def datagram(self, ip: str, data: bytes) -> None:
        kind, body = data[:1], data[1:]
        if kind in (PASS, PASSED):
            passed = self.runtime.peers.unpack(body)
            if passed is None or passed[0] == self.runtime.settings.Ip:
                return
            if kind == PASS:
                self.runtime.peers.pass_on(self.membership.zones()[0], body)
            if passed[1] != SWIM:
                self._said(*passed)
        elif kind == LOAD:
            if body and body[:1] in TOLD:
                self.relay(ip, body, self.onward(body[:1]))
                self._said(ip, body[:1], body[1:])
        elif kind in (CARRY, CARRIED):
            self._carried(ip, kind, body)
        elif kind in (REPORT, REPORTED):
            self.tell_health(self.reports.datagram(kind, body))
        elif kind in quotas.KINDS:
            self.quotas.handle_datagram(ip, kind, body)
        else:
            self._said(ip, kind, body)

    def _carried(self, ip: str, kind: bytes, body: bytes) -> None:
        """Joined words: to this gateway, or (`CARRY`) for all in its zone."""
        if kind == CARRIED and ip in self.carriers.heard:
            self.carriers.heard[ip] = self.runtime.clock.monotonic()
        for whose, whole in relay.unpack(body):
            if whose == self.runtime.settings.Ip or whole[:1] not in TOLD:
                continue
            if kind == CARRY:
                self.relay(whose, whole, False)
            self._said(whose, whole[:1], whole[1:])

    def _said(self, ip: str, kind: bytes, body: bytes) -> None:
        """A datagram, of the gateway at an address."""
        now = self.runtime.clock.monotonic()
        if kind == OUT:
            try:
                self.instances.update_in_flight(now, ip, unpack_out(body))
            except struct.error:
                return
        elif kind == LIFE:
            try:
                self.host_replication.merge_rows(decode_rows(body).rows)
            except msgspec.MsgspecError:
                return
        elif kind == HEALTH:
            if self.reports.zones.covers(now, ip):
                return
            try:
                self.tell_health(self.instances.update_health(now, ip, unpack_health(body)))
            except struct.error:
                return
        elif kind == WORD:
            try:
                self.word(now, ip, decode_word(body))
            except (msgspec.MsgspecError, struct.error):
                return
        elif kind == SWIM:
            try:
                packet = swim_wire.read(body)
            except MembersError:
                return
            self.membership.swim.receive(now, (ip, self.runtime.settings.peers_port), packet)
            self.membership.carry()

    def word(self, now: float, ip: str, word: Word) -> None:
        self.membership.hear(now, (ip,))
        if word.region and (strange := self.membership.strange(ip, word.region)):
            log_event(Event.REGION_OF_OTHER, **strange)
        self.carriers.hear(now, ip, word.carries)
        self.shares.heard(word.shares)
        hear_view(self.core, word.view, word.leader, word.core)
        unknown = self.register.merge_beats(now, word.beats)
        if self.reports.zones.covers(now, ip):
            return  # what it does is in the report of its zone, and would count twice
        self.limiter.usage.record_peer(
            now, ip, unpack_use(word.use, self.changes.tenants), word.whole, word.version
        )
        self.tell_health(self.instances.update_health(now, ip, unpack_health(word.health)))
        if word.out is not None:
            self.instances.update_in_flight(now, ip, unpack_out(word.out))
        self.reports.note_beats(word.beats)
        self.host_replication.compare(now, ip, word.digest, unknown)
