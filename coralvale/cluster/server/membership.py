"""Who is there: membership's packets, and whom a word goes to."""

from __future__ import annotations

import math
from collections.abc import Iterable

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.rate_limit.usage import MAX_GATEWAYS, FleetUsage
from coralvale.cluster.server.messages import Gossip
from coralvale.cluster.server.peers import SWIM
from coralvale.cluster.server.runtime import Runtime
from coralvale.members import wire as swim_wire
from coralvale.members.model import GONE, Changed, Stalled
from coralvale.members.model import Member as Gateway
from coralvale.members.model import Settings as SwimSettings
from coralvale.members.model import State as GatewayState
from coralvale.members.swim import Swim

SMALL_FLEET = SwimSettings()
# What many small machines say to each other waits longer on their links: no answer in 0.1 s is no sign.
LARGE_FLEET = SwimSettings(period=0.6, timeout=0.25)
MANY = 24  # gateways from which on a fleet is large
TALKS = 2.2  # s since a word, for which one that membership calls dead is still told all


class Membership:
    def __init__(self, runtime: Runtime, usage: FleetUsage) -> None:
        self.runtime, self.usage = runtime, usage
        self.large = False
        self.by_reports = False  # zones report to each other, in place of words to all (`zone_reports`)
        self.talks: dict[str, float] = {}  # by address, when a word of theirs came
        self.near: list[str] | None = None  # addresses of the others in this zone; None: to be looked up
        self.far: dict[int, list[str]] = {}  # of those in others
        self.regions: dict[str, str] = {}  # by address, what each said last of its region

    def strange(self, ip: str, region: str) -> dict[str, str] | None:
        """What to tell of a gateway whose region is not that of its zone here, when it first says so."""
        if self.regions.get(ip) == region:
            return None
        if len(self.regions) > MAX_GATEWAYS:
            self.regions.clear()
        settings = self.runtime.settings
        zones = sorted(settings.Zones)
        for known in self.swim.known.values():
            member = known.update.member
            if known.there and member.address[0] == ip:
                self.regions[ip] = region
                zone = zones[member.zone] if member.zone < len(zones) else ""
                by_zone = settings.Zones.get(zone, "no region that is known")
                if region != by_zone:
                    return {"name": member.name, "zone": zone, "region": region, "by_zone": by_zone}
        return None

    def hear(self, now: float, ips: Iterable[str]) -> None:
        """Words of these gateways come, here or in their zone."""
        if len(self.talks) > MAX_GATEWAYS:
            self.talks.clear()
        for ip in ips:
            self.talks[ip] = now

    def others(self) -> list[Gateway]:
        """All others that are there: those that membership has alive, and those that it calls dead and whose
        words still come, which may be of one that is slow to answer probes, or of the probers."""
        me, now = self.runtime.settings.Hostname, self.runtime.clock.monotonic()
        found = []
        for name in sorted(self.swim.known):
            update = self.swim.known[name].update
            talks = now - self.talks.get(update.member.address[0], -math.inf) < TALKS
            if name != me and (update.state not in GONE or (update.state is GatewayState.DEAD and talks)):
                found.append(update.member)
        return found

    def zones(self) -> tuple[list[str], list[str]]:
        """Addresses of the others in this zone, and of one in each other, by lot: a dead one misses one
        word."""
        if self.near is None:
            self.near, self.far = [], {}
            for member in self.others():
                if member.zone == self.swim.me.zone:
                    self.near.append(member.address[0])
                else:
                    self.far.setdefault(member.zone, []).append(member.address[0])
        return self.near, [self.runtime.chance.choice(ips) for ips in self.far.values()]

    def carry(self) -> None:
        """Sends what membership has to say, and takes what it has found out."""
        swim, now = self.swim, self.runtime.clock.monotonic()
        sends, swim.sends = swim.sends, []
        for send in sends:
            body = swim_wire.body(send.packet)
            if send.whole:
                self.runtime.peers.link(send.to[0]).send(Gossip(body))
            else:
                self.runtime.peers.cast(send.to[0], SWIM, body)
        events, swim.events = swim.events, []
        for event in events:
            if isinstance(event, Changed):
                self.near = None
                member, state = event.update.member, event.update.state
                if member.name == self.runtime.settings.Hostname:
                    continue
                if event.before is not state and state is not GatewayState.SUSPECT:
                    log_event(Event.MEMBER, name=member.name, state=state.name.lower())
                if state is GatewayState.LEFT:
                    self.usage.peer_left(member.address[0])
                elif state is GatewayState.ALIVE:
                    self.usage.peer_joined(now, member.address[0])
            elif isinstance(event, Stalled):
                log_event(Event.STALLED, seconds=event.seconds)

    def begin(self) -> None:
        s, now = self.runtime.settings, self.runtime.clock.monotonic()
        zones = sorted(s.Zones)
        zone = zones.index(s.Az) if s.Az in zones else len(zones)
        me = Gateway(s.Hostname, (s.Ip, s.peers_port), zone)
        self.swim = Swim(me, self.runtime.life, SMALL_FLEET, self.runtime.chance, now)
        self.swim.join(now, [(ip, s.peers_port) for ip in s.seeds])
