"""Membership of the fleet: runs the SWIM protocol, and tells whom messages are sent to."""

from __future__ import annotations

import math
from collections.abc import Iterable

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.rate_limit.usage import MAX_GATEWAYS, FleetUsage
from coralvale.cluster.server.messages import MembershipPacket
from coralvale.cluster.server.peers import SWIM
from coralvale.cluster.server.runtime import Runtime
from coralvale.members import wire as swim_wire
from coralvale.members.model import GONE, Changed, Stalled
from coralvale.members.model import Member as Gateway
from coralvale.members.model import Settings as SwimSettings
from coralvale.members.model import State as GatewayState
from coralvale.members.swim import Swim

SMALL_FLEET = SwimSettings()
# On the links of many small machines messages wait longer: no answer within 0.1 s is not a sign of failure.
LARGE_FLEET = SwimSettings(period=0.6, timeout=0.25)
LARGE_FLEET_ABOVE = 24  # other gateways: with more, the fleet counts as large
GOSSIP_ALIVE_S = 2.2  # since its last message, for which a gateway that SWIM calls dead still gets messages


class Membership:
    """The gateways of the fleet, as SWIM and their own messages show them."""

    def __init__(self, runtime: Runtime, usage: FleetUsage) -> None:
        self.runtime, self.usage = runtime, usage
        self.is_large = False
        self.uses_reports = False  # zones send reports instead of gossip to all (`zone_reports`)
        self.gossip_heard_at: dict[str, float] = {}  # by address, time of the last message
        self.near: list[str] | None = None  # addresses of the others in this zone; None: to be computed
        self.far: dict[int, list[str]] = {}  # addresses in other zones, by zone
        self.regions: dict[str, str] = {}  # by address, the region last announced

    def region_mismatch(self, ip: str, region: str) -> dict[str, str] | None:
        """Fields of the event to log, once, for a gateway that announces another region than the settings
        here have for its zone; None if there is nothing to log."""
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

    def record_gossip(self, now: float, ips: Iterable[str]) -> None:
        """Records that messages of these gateways arrive, here or in their zone."""
        if len(self.gossip_heard_at) > MAX_GATEWAYS:
            self.gossip_heard_at.clear()
        for ip in ips:
            self.gossip_heard_at[ip] = now

    def others(self) -> list[Gateway]:
        """All other gateways that messages are sent to: those that SWIM does not count as gone, and those
        that it calls dead while their messages still arrive: they, or those that probe them, may only be
        slow."""
        me, now = self.runtime.settings.Hostname, self.runtime.clock.monotonic()
        others = []
        for name in sorted(self.swim.known):
            update = self.swim.known[name].update
            gossips = now - self.gossip_heard_at.get(update.member.address[0], -math.inf) < GOSSIP_ALIVE_S
            if name != me and (update.state not in GONE or (update.state is GatewayState.DEAD and gossips)):
                others.append(update.member)
        return others

    def broadcast_targets(self) -> tuple[list[str], list[str]]:
        """Addresses of the others in this zone, and of one random gateway in each other zone, so that a dead
        one costs that zone only one message."""
        if self.near is None:
            self.near, self.far = [], {}
            for member in self.others():
                if member.zone == self.swim.me.zone:
                    self.near.append(member.address[0])
                else:
                    self.far.setdefault(member.zone, []).append(member.address[0])
        return self.near, [self.runtime.rng.choice(ips) for ips in self.far.values()]

    def flush(self) -> None:
        """Sends the packets and handles the events that SWIM has produced."""
        swim, now = self.swim, self.runtime.clock.monotonic()
        sends, swim.sends = swim.sends, []
        for send in sends:
            body = swim_wire.body(send.packet)
            if send.whole:
                self.runtime.peers.link(send.to[0]).send(MembershipPacket(body))
            else:
                self.runtime.peers.send_datagram(send.to[0], SWIM, body)
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

    def start(self) -> None:
        """Joins the fleet through the seeds."""
        s, now = self.runtime.settings, self.runtime.clock.monotonic()
        zones = sorted(s.Zones)
        zone = zones.index(s.Az) if s.Az in zones else len(zones)
        me = Gateway(s.Hostname, (s.Ip, s.peers_port), zone)
        self.swim = Swim(me, self.runtime.incarnation, SMALL_FLEET, self.runtime.rng, now)
        self.swim.join(now, [(ip, s.peers_port) for ip in s.seeds])
