"""One gateway's process: its servers, its state machines, and the tasks between them. It carries out what the
other packages decide."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.coordination.model import Call as CoordinationCall
from coralvale.cluster.events import Event, tell
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.regions import Regions
from coralvale.cluster.regions import read as read_regions
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import InstancePool
from coralvale.cluster.routing.home import HomeRegion
from coralvale.cluster.routing.router import Router
from coralvale.cluster.server.arrivals import Arrivals
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.coordination import Coordination
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.ctl import Answered, Control, ControlServer, Desk
from coralvale.cluster.server.edge import Edge, EdgeServer
from coralvale.cluster.server.gossip import GossipExchange
from coralvale.cluster.server.hosts import Hosts
from coralvale.cluster.server.membership import Membership
from coralvale.cluster.server.messages import (
    Ask,
    Call,
    ClaimShares,
    ConsensusMessage,
    Coordinate,
    Gossip,
    Nominate,
    Nominee,
    Noted,
    Parcel,
    Pull,
    Rows,
)
from coralvale.cluster.server.peers import Frames
from coralvale.cluster.server.runtime import TICK, Runtime
from coralvale.cluster.server.shares import ShareClaims
from coralvale.cluster.server.status import status
from coralvale.cluster.settings import Settings, SettingsError, address, read
from coralvale.members import wire as swim_wire
from coralvale.members.model import MembersError
from coralvale.net.clock import Clock
from coralvale.net.server import ClientLimits, Server

CONNECT_TIMEOUT = 0.4  # s
HOST_IDLE = 8.0  # s that a connection to a host is kept idle, unless it says less
REST = 0.25  # s between looks at what is due at a gateway without a disk, at most
LOOK = 1.0  # s between looks at the settings file
ACCEPT = 2.9  # s after SIGTERM for which new connections still come: the platform asks twice
SPARE = 0.7  # s before the end of GraceS by which all is answered
CALL = 1.0  # s within which a call of hosts, operators or applications is answered, but for large orders
RESERVED = 300  # descriptors for files, peers and the loop
HOSTS_PART = 0.45  # of the others, for connections to hosts
UNHEARD = 2.0  # s for which one that starts waits until it knows hosts, and what all others let through
UNSETTLED = 4.0  # s after which a member of the core that hears no majority serves what its disk has


class GatewayNode(Desk):
    def __init__(
        self,
        settings: Settings,
        path: str,
        clock: Clock | None = None,
        metrics: str = "",
        regions: Regions | None = None,
    ) -> None:
        """`metrics`: ip:port of the page for Prometheus, none without it; `regions`: what binds services beside
        the configuration."""
        self.metrics, bounds = metrics, settings.Bounds
        runtime = self.runtime = Runtime(
            settings, path, clock or Clock(), self._parcel, lambda ip, data: self.gossip.datagram(ip, data)
        )
        rules = regions or Regions()
        self.home = HomeRegion(self._region(settings), settings.Zones, rules.Bindings, rules.Lease)
        self.abroad_told: dict[str, int] = {}
        self.hosts_abroad: set[str] = set()
        self.unsure_told = False
        self.register = Register(settings.HeartbeatMs / 1000)
        self.instances = InstancePool(self.register, settings.Az, runtime.chance, self.home)
        rule = Rule(bounds.QuotaWindowS, bounds.QuotaExcess, bounds.QuotaSlack)
        self.limiter = RateLimiter(rule, settings.Ip, runtime.chance)
        self.router = Router(bounds, self.instances, self.limiter, runtime.chance)
        self.membership = Membership(runtime, self.limiter.usage)
        self.changes = Changes(runtime, self.router, self._bound_clients)
        self.arrivals = Arrivals(runtime, self.membership, self.register, self._retire)
        self.core = Core(runtime, self.changes.in_force, self.arrivals.remember)
        self.changes.core = self.arrivals.core = self.core
        self.coordination = Coordination(runtime, self.core)
        self.core.notice = self.coordination.notice
        self.shares = ShareClaims(runtime, self.core, self.limiter.holding)
        self.gossip = GossipExchange(
            runtime,
            self.membership,
            self.core,
            self.changes,
            self.arrivals,
            self.limiter,
            self.shares,
            self.instances,
            self.is_ready,
        )
        self.was_ready = False
        self.ended = asyncio.Event()

    @staticmethod
    def _region(settings: Settings) -> str:
        """Where this gateway is; none where its zone and its region do not go together: nobody is to trust it
        then, itself least."""
        by_zone = settings.Zones.get(settings.Az, "")
        if by_zone == settings.Region:
            return settings.Region
        tell(
            Event.REGION_UNSURE, zone=settings.Az, by_zone=by_zone or "none", region=settings.Region or "none"
        )
        return ""

    # Start and end

    async def run(self) -> None:
        settings = self.runtime.settings
        tell(
            Event.STARTED,
            name=settings.Hostname,
            ip=settings.Ip,
            bootstrap=settings.Bootstrap,
            disk=settings.holds_state,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            self.runtime.loop.add_signal_handler(number, self.stop)
        self.runtime.loop.add_signal_handler(signal.SIGHUP, self.read_again)
        limits = settings.Limits
        descriptors = max(64, limits.MaxFds - RESERVED)
        most_hosts = int(descriptors * HOSTS_PART)
        bodies = int(limits.MemMb * 0.25 * 1e6)
        self.hosts = Hosts(self.runtime.clock, CONNECT_TIMEOUT, HOST_IDLE / 0.8, most_hosts)
        self.edge = Edge(self.router, self.hosts, self.runtime.clock, self.gossip.quotas.carry_out)
        self.gossip.quotas.decided = self.edge.decided
        self.control = Control(self)
        self.servers: list[Server] = []
        if settings.Listen.Edge:
            self.front = EdgeServer(
                address(settings.Listen.Edge), self.edge, descriptors - most_hosts, bodies, self.runtime.clock
            )
            self.servers.append(self.front)
        for text in (settings.Listen.Readyz, settings.Listen.Ctl):
            if text:
                self.servers.append(ControlServer(address(text), self.control, self.runtime.clock))
        if self.metrics:
            from coralvale.cluster.server.figures import Figures, FiguresServer

            self.servers.append(FiguresServer(address(self.metrics), Figures(self), self.runtime.clock))
        await self.runtime.peers.start()
        self.membership.begin()
        if settings.holds_state:
            await self.core.open()
        for server in self.servers:
            server.start()
        for work in (
            self._pulse,
            self.gossip.tell,
            self.gossip.tell_out,
            self.gossip.reports.tell,
            self.changes.follow,
            self._watch,
            self.core.join,
            self.shares.follow,
            self.arrivals.keep_hosts,
        ):
            self.runtime.spawn(self.runtime.keep(work))
        self.runtime.spawn(self.arrivals.pull_first())
        await self.ended.wait()
        for task in list(self.runtime.tasks):
            task.cancel()
        for server in self.servers:
            server.close()
        self.hosts.close()
        self.runtime.peers.close()
        await self.core.close()

    def stop(self) -> None:
        if not self.runtime.stopping:
            self.runtime.stopping = True
            self.runtime.spawn(self._leave())

    async def _leave(self) -> None:
        """Out of the platform's list, then out: nobody is cut, and duties are handed on first."""
        tell(Event.LEAVING, open=len(self.edge.open))
        begun = self.runtime.clock.monotonic()
        ends = begun + max(1.0, self.runtime.settings.Bounds.GraceS - SPARE)
        self.front.drain()
        self.coordination.stop()
        self.core.leave()
        self.front.close_idle()
        await asyncio.sleep(min(ACCEPT, max(0.0, ends - self.runtime.clock.monotonic() - 0.5)))
        self.front.stop_accepting()
        while self.edge.open and self.runtime.clock.monotonic() < ends:
            self.front.close_idle()
            await asyncio.sleep(0.02)
        self.front.close_idle()
        while not self.core.may_end() and self.runtime.clock.monotonic() < ends:
            await asyncio.sleep(0.02)
        if not self.core.may_end():
            tell(Event.ENDS_UNSAFE)
        await self._answer_control(ends)
        self.runtime.spawn(self.shares.give_up())  # heard or not: they are kept for this address for a while
        self.membership.swim.leave(self.runtime.clock.monotonic())
        for _ in range(4):
            self.membership.carry()
            await asyncio.sleep(0.06)
        tell(Event.ENDED, open=len(self.edge.open))
        self.ended.set()

    async def _answer_control(self, ends: float) -> None:
        """Calls of hosts, operators and applications that are in hand get their answers first."""
        left = min(CALL, ends - self.runtime.clock.monotonic())
        if self.control.tasks and left > 0:
            await asyncio.wait(set(self.control.tasks), timeout=left)

    def read_again(self) -> None:
        try:
            fresh = read(self.runtime.path)
        except SettingsError as error:
            tell(Event.SETTINGS_BAD, reason=str(error))
            return
        if fresh != self.runtime.settings:
            self.runtime.settings = fresh
            self.home.set_regions(self._region(fresh), fresh.Zones)
            self.instances.candidates.clear()
            self.membership.swim.seeds = [(ip, fresh.peers_port) for ip in fresh.seeds if ip != fresh.Ip]
            tell(Event.SETTINGS_READ, seeds=len(fresh.Seeds))

    async def _watch(self) -> None:
        """The settings file may change without a signal."""
        before: object = None
        while True:
            try:
                stat = os.stat(self.runtime.path)
                seen = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            except OSError:
                seen = before  # type: ignore[assignment]
            if before is not None and seen != before:
                self.read_again()
            before = seen
            await asyncio.sleep(LOOK)

    # Readiness

    def is_ready(self) -> bool:
        if self.runtime.stopping or not self.changes.configuration.version:
            return False
        now = self.runtime.clock.monotonic()
        age = now - self.runtime.born
        if not self.was_ready:
            if (
                self.core.replica
                and self.core.replica.bootstrapped
                and not self.core.replica.caught_up
                and age < UNSETTLED
            ):
                return False
            if age < UNHEARD and not (self.register.entries and self._knows_others()):
                return False
            self.was_ready = True
            tell(
                Event.READY,
                seconds=age,
                version=self.changes.configuration.version,
                hosts=len(self.register.entries),
                gateways=self.gateways(),
            )
        return True

    def _knows_others(self) -> bool:
        """Whether all gateways that are known of have told of themselves, and the leader who owns what."""
        usage = self.limiter.usage
        return bool(usage.peers) and usage.has_heard_all() and self.limiter.holding.version > 0

    def gateways(self) -> int:
        """Gateways that a budget is divided over: those that may be serving, and all that own shares."""
        owners = self.limiter.holding.owner_count
        return max(self.limiter.usage.gateway_count(self.runtime.clock.monotonic()), owners)

    # What is due

    async def _pulse(self) -> None:
        """What is due: membership, the order of changes."""
        swept = 0.0
        while True:
            now = self.runtime.clock.monotonic()
            if self.core.delivers():
                self.home.core_heard_at = now
            if now >= self.membership.swim.due():
                self.membership.swim.tick(now)
            self.membership.carry()
            if self.core.replica:
                self.core.tick(now)
                self.core.tell_view()
            if now - swept > 1.0:
                swept = now
                self._sweep(now)
            # The order of changes has many clocks; without it membership's next moment is known.
            rest = (
                TICK
                if self.core.replica
                else min(REST, self.membership.swim.due() - self.runtime.clock.monotonic())
            )
            await asyncio.sleep(max(TICK, rest))

    def _sweep(self, now: float) -> None:
        for name in self.register.sweep(now):
            tell(Event.HOST_LOST, id=name)
        self.instances.drop_silent_gateways(now)
        for copy in self.instances.sweep():
            row = copy.entry.row
            self._retire(row)
        self._tell_quotas()
        self.coordination.look(now)
        if self.home.routes:
            self._tell_home(now)
        self.membership.near = None  # who only talks may have come or gone
        self.limiter.borrowing.same_zone = frozenset(self.membership.zones()[0])
        known = (
            {m.address[0] for m in self.membership.others()}
            | set(self.core.known()[2])
            | set(self.runtime.settings.seeds)
        )
        self.runtime.peers.keep(known)
        self.gossip.carriers.keep(known | {self.runtime.settings.Ip})

    def _tell_quotas(self) -> None:
        """What was refused of tenants past their quota since the last time, and what was let through."""
        for tenant, tally in self.limiter.take_tallies().items():
            tell(Event.QUOTA, count=tally.refused, tenant=tenant)
            tell(
                Event.CHARGED,
                tenant=tenant,
                own=tally.own,
                granted=tally.granted,
                given_back=tally.given_back,
                lent=tally.lent,
            )

    def _tell_home(self, now: float) -> None:
        for bound, count in self.home.refused.items():
            if news := count - self.abroad_told.get(bound, 0):
                tell(Event.ABROAD, count=news, bound=bound)
                self.abroad_told[bound] = count
        unsure = not self.home.lease_valid(now)
        if unsure and not self.unsure_told:
            tell(Event.BINDING_UNSURE, seconds=min(now - self.home.core_heard_at, now - self.runtime.born))
        self.unsure_told = unsure
        here = set()
        for service, bound in self.home.services.items():
            for name, life in self.register.by_service.get(service, {}).items():
                if not self.home.host_allowed(service, life.row.az):
                    here.add(name)
                    if name not in self.hosts_abroad:
                        tell(Event.HOST_ABROAD, id=name, service=service, bound=bound, zone=life.row.az)
        self.hosts_abroad = here

    def _bound_clients(self, bounds: ClientLimits) -> None:
        self.front.limits = bounds

    def _retire(self, row: Row) -> None:
        self.hosts.retire((row.id, 0.0, (row.ip, row.port)))

    # What hosts and operators call

    async def beat(self, row: Row) -> bool:
        return await self.arrivals.beat(row)

    async def leave(self, name: str) -> bool:
        return await self.arrivals.leave(name)

    async def change(self, change: Change) -> Answered:
        return await self.changes.change(change)

    async def read(self) -> Answered:
        return await self.changes.read()

    def history(self) -> Answered:
        return self.changes.history()

    def status(self) -> bytes:
        return status(self)

    async def coordinate(self, call: CoordinationCall) -> Answered:
        return await self.coordination.call(call)

    # What other gateways send

    def _parcel(self, frames: Frames, parcel: Parcel) -> None:
        now = self.runtime.clock.monotonic()
        if isinstance(parcel, ConsensusMessage):
            if self.core.replica:
                self.core.act(self.core.replica.receive(now, parcel.message, frames.ip, parcel.to))
        elif isinstance(parcel, Gossip):
            try:
                packet = swim_wire.read(parcel.packet)
            except MembersError:
                return
            self.membership.swim.receive(now, (frames.ip, self.runtime.settings.peers_port), packet)
            self.membership.carry()
        elif isinstance(parcel, Ask):
            self.runtime.spawn(self.changes.asked(frames, parcel))
        elif isinstance(parcel, Call):
            self.runtime.spawn(self.changes.called(frames, parcel))
        elif isinstance(parcel, Coordinate):
            self.runtime.spawn(self.coordination.called(frames, parcel))
        elif isinstance(parcel, ClaimShares):
            self.runtime.spawn(self.shares.claimed(frames, parcel))
        elif isinstance(parcel, Rows):
            self.arrivals.note(parcel.rows)
            frames.send(Noted(parcel.number))
        elif isinstance(parcel, Pull):
            frames.send(Rows(parcel.number, self.register.rows(now, parcel.parts)))
        elif isinstance(parcel, Nominate):
            named = self.core.founding.answer_request(now, parcel.member.id, bool(self.core.known()[2]))
            frames.send(Nominee(parcel.number, named))


async def serve(path: str, metrics: str = "", regions: str = "") -> None:
    settings = read(path)
    bound = read_regions(regions, settings.Zones)
    await GatewayNode(settings, str(Path(path)), metrics=metrics, regions=bound).run()
