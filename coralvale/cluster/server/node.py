"""The process of one gateway: its servers, its state machines, and the background tasks that connect them.

It performs the I/O; the decisions are made by the other packages.
"""

from __future__ import annotations

import asyncio
import os
import signal
from functools import partial
from pathlib import Path

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.coordination.model import Call as CoordinationCall
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.loop_pauses import LOGGED_PAUSE_S
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.regions import Regions
from coralvale.cluster.regions import read as read_regions
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.reload_signal import release_reload_signal
from coralvale.cluster.routing.copies import InstancePool
from coralvale.cluster.routing.home import HomeRegion
from coralvale.cluster.routing.router import Router
from coralvale.cluster.server.arrivals import HostReplication
from coralvale.cluster.server.changes import Changes
from coralvale.cluster.server.coordination import Coordination
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.ctl import (
    MAX_BODY_BYTES,
    MAX_READINESS_BODY_BYTES,
    Control,
    ControlBackend,
    ControlServer,
    StatusAndBody,
)
from coralvale.cluster.server.edge import Edge, EdgeServer
from coralvale.cluster.server.gossip import GossipExchange
from coralvale.cluster.server.guard import run_guarded
from coralvale.cluster.server.hosts import Hosts
from coralvale.cluster.server.membership import Membership
from coralvale.cluster.server.messages import (
    Ack,
    ClaimShares,
    ConfigurationRequest,
    ConsensusMessage,
    CoordinationRequest,
    HostRows,
    HostRowsRequest,
    MembershipPacket,
    Nominate,
    Nominee,
    PeerMessage,
    UpdateRequest,
)
from coralvale.cluster.server.peers import PeerConnection
from coralvale.cluster.server.runtime import TICK_S, Runtime
from coralvale.cluster.server.shares import ShareClaims
from coralvale.cluster.server.status import status
from coralvale.cluster.settings import Settings, SettingsError, parse_address, read
from coralvale.cluster.shutdown import ShutdownSchedule, shutdown_schedule
from coralvale.members import wire as swim_wire
from coralvale.members.model import MembersError
from coralvale.net.clock import Clock
from coralvale.net.memory import MemoryAccount
from coralvale.net.server import ClientLimits, Server

CONNECT_TIMEOUT_S = 0.4  # to a host
HOST_IDLE_S = 8.0  # for which an idle connection to a host is kept, unless the host announces less
MAX_REST_S = 0.25  # between checks of what is due, at a gateway without a replica
SETTINGS_CHECK_INTERVAL_S = 1.0  # between checks whether the settings file has changed
SENT_CHECK_INTERVAL_S = 0.02  # between checks whether all answers have been sent
LEAVE_MESSAGES = 4  # that tell the other gateways that this one leaves
LEAVE_INTERVAL_S = 0.06  # between them
MAX_NAMED_REQUESTS = 20  # in the log event of those that a process gave up
RESERVED_DESCRIPTORS = 300  # for files, peers and the event loop
CLIENT_MEMORY_SHARE = 0.35  # of the machine's memory, for what clients make the process hold
HOST_CONNECTIONS_SHARE = 0.45  # of the other descriptors, for connections to hosts
STARTUP_WAIT_S = 2.0  # for which a starting gateway waits for the hosts, and the usage reports of all others
QUORUM_WAIT_S = 4.0  # after which a core member without a majority serves by the state on its disk


class GatewayNode(ControlBackend):
    """One gateway process; `run` serves until it is stopped."""

    def __init__(
        self,
        settings: Settings,
        path: str,
        clock: Clock | None = None,
        metrics: str = "",
        regions: Regions | None = None,
    ) -> None:
        """`metrics`: ip:port of the Prometheus endpoint, "" for none; `regions`: bindings of services to
        regions that are not part of the configuration."""
        self.metrics, bounds = metrics, settings.Bounds
        runtime = self.runtime = Runtime(
            settings,
            path,
            clock or Clock(),
            self._handle_message,
            lambda ip, data: self.gossip.handle_datagram(ip, data),
        )
        rules = regions or Regions()
        self.home = HomeRegion(self._own_region(settings), settings.Zones, rules.Bindings, rules.Lease)
        self.logged_refusals: dict[str, int] = {}
        self.logged_hosts_abroad: set[str] = set()
        self.lease_loss_logged = False
        self.register = Register(settings.HeartbeatMs / 1000)
        self.instances = InstancePool(self.register, settings.Az, runtime.rng, self.home)
        rule = Rule(bounds.QuotaWindowS, bounds.QuotaExcess, bounds.QuotaSlack)
        self.limiter = RateLimiter(rule, settings.Ip, runtime.rng)
        self.router = Router(bounds, self.instances, self.limiter, runtime.rng)
        self.membership = Membership(runtime, self.limiter.usage)
        self.changes = Changes(runtime, self.router, self._set_client_bounds)
        self.host_replication = HostReplication(runtime, self.membership, self.register, self._retire)
        self.core = Core(runtime, self.changes.apply, self.host_replication.restore)
        self.changes.core = self.host_replication.core = self.core
        self.coordination = Coordination(runtime, self.core)
        self.core.on_notice = self.coordination.handle_notice
        self.shares = ShareClaims(runtime, self.core, self.limiter.holding)
        self.gossip = GossipExchange(
            runtime,
            self.membership,
            self.core,
            self.changes,
            self.host_replication,
            self.limiter,
            self.shares,
            self.instances,
            self.is_ready,
        )
        self.was_ready = False
        self.stopped = asyncio.Event()

    @staticmethod
    def _own_region(settings: Settings) -> str:
        """This gateway's region; "" if the settings name another region for its zone, because then neither
        can be trusted."""
        by_zone = settings.Zones.get(settings.Az, "")
        if by_zone == settings.Region:
            return settings.Region
        log_event(
            Event.REGION_UNSURE, zone=settings.Az, by_zone=by_zone or "none", region=settings.Region or "none"
        )
        return ""

    # Start and shutdown

    async def run(self) -> None:
        """Starts all servers and background tasks, serves until `stop`, and closes everything."""
        settings = self.runtime.settings
        log_event(
            Event.STARTED,
            name=settings.Hostname,
            ip=settings.Ip,
            bootstrap=settings.Bootstrap,
            disk=settings.holds_state,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            self.runtime.loop.add_signal_handler(number, self.stop)
        self.runtime.loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        release_reload_signal()
        limits = settings.Limits
        descriptors = max(64, limits.MaxFds - RESERVED_DESCRIPTORS)
        max_host_connections = int(descriptors * HOST_CONNECTIONS_SHARE)
        self.client_memory = MemoryAccount(int(limits.MemMb * CLIENT_MEMORY_SHARE * 1e6))
        self.hosts = Hosts(self.runtime.clock, CONNECT_TIMEOUT_S, HOST_IDLE_S / 0.8, max_host_connections)
        self.edge = Edge(self.router, self.hosts, self.runtime.clock, self.gossip.quotas.run_actions)
        self.gossip.quotas.on_decision = self.edge.apply_decision
        self.control = Control(self)
        self.servers: list[Server] = []
        if settings.Listen.Edge:
            self.edge_server = EdgeServer(
                parse_address(settings.Listen.Edge),
                self.edge,
                descriptors - max_host_connections,
                self.client_memory,
                self.runtime.clock,
            )
            self.servers.append(self.edge_server)
        for text, max_body_bytes in (
            (settings.Listen.Readyz, MAX_READINESS_BODY_BYTES),
            (settings.Listen.Ctl, MAX_BODY_BYTES),
        ):
            if text:
                self.servers.append(self._control_server(text, max_body_bytes))
        if self.metrics:
            from coralvale.cluster.server.figures import GatewayMetrics, MetricsServer

            self.servers.append(
                MetricsServer(
                    parse_address(self.metrics), GatewayMetrics(self), self.runtime.clock, self.client_memory
                )
            )
        await self.runtime.peers.start()
        self.membership.start()
        if settings.holds_state:
            await self.core.open()
        for server in self.servers:
            server.start()
        for loop in (
            self._tick_loop,
            self.gossip.gossip_loop,
            self.gossip.in_flight_loop,
            self.gossip.reports.report_loop,
            self.changes.follow_core,
            self._watch_settings,
            self.core.join_loop,
            self.shares.claim_loop,
            self.host_replication.save_periodically,
        ):
            self.runtime.spawn(self.runtime.run_forever(loop))
        self.runtime.spawn(self.host_replication.pull_at_start())
        await self.stopped.wait()
        for task in list(self.runtime.tasks):
            task.cancel()
        for server in self.servers:
            server.close()
        self.hosts.close()
        self.runtime.peers.close()
        await self.core.close()

    def _control_server(self, address: str, max_body_bytes: int) -> ControlServer:
        return ControlServer(
            parse_address(address),
            self.control,
            self.runtime.clock,
            memory=self.client_memory,
            max_body_bytes=max_body_bytes,
        )

    def stop(self) -> None:
        """Starts the graceful shutdown, once."""
        if not self.runtime.stopping:
            self.runtime.stopping = True
            self.runtime.spawn(self._shut_down())

    async def _shut_down(self) -> None:
        """Shuts down gracefully: gives what `coralvale.cluster.shutdown` says that is owed, then ends."""
        now = self.runtime.clock.monotonic()
        earliest = self.runtime.pauses.earliest_arrival(now)
        schedule = shutdown_schedule(earliest, now, self.runtime.settings.Bounds.GraceS)
        log_event(Event.LEAVING, open=len(self.edge.open), late=now - earliest)
        self.edge_server.drain()
        self.edge.end_by(schedule.answer)
        self.coordination.stop()
        self.core.leave()
        self.edge_server.close_idle()
        finishing = [
            self.runtime.loop.create_task(self._finish_requests(schedule)),
            self.runtime.loop.create_task(self._wait_for_voters(schedule)),
        ]
        await asyncio.wait(finishing, timeout=max(0.0, schedule.take_calls - self.runtime.clock.monotonic()))
        self._refuse_calls()
        await asyncio.gather(*finishing)
        await self._answer_all(self.servers, schedule)
        await self._tell_leave()
        log_event(Event.ENDED, open=len(self.edge.open))
        self.stopped.set()

    async def _finish_requests(self, schedule: ShutdownSchedule) -> None:
        """Takes clients' requests as long as they can be answered, and answers all."""
        await self._sleep_until(schedule.accept)
        self.edge_server.stop_accepting()
        await self._sleep_until(schedule.handle)
        self.edge_server.refuse()
        await self._answer_all([self.edge_server], schedule)

    async def _wait_for_voters(self, schedule: ShutdownSchedule) -> None:
        """Waits until the other voters have what this one knows, and its leadership."""
        while not self.core.can_stop() and self.runtime.clock.monotonic() < schedule.cut:
            await asyncio.sleep(0.02)
        if not self.core.can_stop():
            log_event(Event.ENDS_UNSAFE)

    def _refuse_calls(self) -> None:
        """Refuses further calls of hosts, operators and applications; those in progress go on."""
        for server in self.servers:
            server.drain()
            server.refuse()
            server.stop_accepting()
            server.close_idle()

    async def _answer_all(self, servers: list[Server], schedule: ShutdownSchedule) -> None:
        """Waits for the answers to what was read; what has none in time is answered with what is known."""
        await self._until_sent(servers, schedule.answer)
        for server in servers:
            run_guarded("answers at the end", partial(self._give_up, server))
        await self._until_sent(servers, schedule.cut)

    def _give_up(self, server: Server) -> None:
        """Has a server answer what is in hand with what is known, and logs it."""
        if given_up := server.answer_unfinished():
            names = ", ".join(map(str, given_up[:MAX_NAMED_REQUESTS]))
            kind = "edge" if server is self.edge_server else "control"
            log_event(Event.REQUESTS_GIVEN_UP, count=len(given_up), server=kind, names=names)

    async def _until_sent(self, servers: list[Server], deadline: float) -> None:
        """Waits until clients have received the answers to all requests that were read, or until the deadline."""
        while any(server.is_sending() for server in servers) and self.runtime.clock.monotonic() < deadline:
            for server in servers:
                server.close_idle()
            await asyncio.sleep(SENT_CHECK_INTERVAL_S)

    async def _tell_leave(self) -> None:
        """Gives back the shares of quotas, and tells the other gateways that this one leaves."""
        self.runtime.spawn(self.shares.release())  # even if it gets lost: the shares stay reserved a while
        self.membership.swim.leave(self.runtime.clock.monotonic())
        for _ in range(LEAVE_MESSAGES):
            self.membership.flush()
            await asyncio.sleep(LEAVE_INTERVAL_S)

    async def _sleep_until(self, moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - self.runtime.clock.monotonic()))

    def reload_settings(self) -> None:
        """Reads the settings file again; invalid settings are logged and change nothing."""
        try:
            fresh = read(self.runtime.path)
        except SettingsError as error:
            log_event(Event.SETTINGS_BAD, reason=str(error))
            return
        if fresh != self.runtime.settings:
            self.runtime.settings = fresh
            self.home.set_regions(self._own_region(fresh), fresh.Zones)
            self.instances.candidates.clear()
            self.membership.swim.seeds = [(ip, fresh.peers_port) for ip in fresh.seeds if ip != fresh.Ip]
            log_event(Event.SETTINGS_READ, seeds=len(fresh.Seeds))

    async def _watch_settings(self) -> None:
        """Reloads the settings when their file changes, also without SIGHUP."""
        previous: object = None
        while True:
            try:
                stat = os.stat(self.runtime.path)
                current = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            except OSError:
                current = previous  # type: ignore[assignment]
            if previous is not None and current != previous:
                self.reload_settings()
            previous = current
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)

    # Readiness

    def is_ready(self) -> bool:
        """Whether this gateway should get requests from the platform."""
        if self.runtime.stopping or not self.changes.configuration.version:
            return False
        now = self.runtime.clock.monotonic()
        age = now - self.runtime.started_at
        if not self.was_ready:
            if (
                self.core.replica
                and self.core.replica.bootstrapped
                and not self.core.replica.caught_up
                and age < QUORUM_WAIT_S
            ):
                return False
            if age < STARTUP_WAIT_S and not (self.register.entries and self._knows_others()):
                return False
            self.was_ready = True
            log_event(
                Event.READY,
                seconds=age,
                version=self.changes.configuration.version,
                hosts=len(self.register.entries),
                gateways=self.gateways(),
            )
        return True

    def _knows_others(self) -> bool:
        """Whether all known gateways have reported their usage, and the leader has sent the share table."""
        usage = self.limiter.usage
        return bool(usage.peers) and usage.has_heard_all() and self.limiter.holding.version > 0

    def gateways(self) -> int:
        """Number of gateways that a budget is divided by: those that may be serving, or all owners of shares
        if more."""
        owners = self.limiter.holding.owner_count
        return max(self.limiter.usage.gateway_count(self.runtime.clock.monotonic()), owners)

    # Periodic work

    async def _tick_loop(self) -> None:
        """Drives the clocks of membership and of the replica, and sweeps once per second."""
        swept_at = 0.0
        while True:
            now = self.runtime.clock.monotonic()
            if self.core.follows_log():
                self.home.core_heard_at = now
            if now >= self.membership.swim.due():
                self.membership.swim.tick(now)
            self.membership.flush()
            if self.core.replica:
                self.core.tick(now)
                self.core.log_view_and_snapshot()
            if now - swept_at > 1.0:
                swept_at = now
                self._sweep(now)
            # A replica has many deadlines, so it is polled; without one only the next deadline of membership
            # counts.
            pause = (
                TICK_S
                if self.core.replica
                else min(MAX_REST_S, self.membership.swim.due() - self.runtime.clock.monotonic())
            )
            due = self.runtime.clock.monotonic() + max(TICK_S, pause)
            self.runtime.pauses.expect(due)
            await asyncio.sleep(max(TICK_S, pause))
            self._record_pause(due)

    def _record_pause(self, due: float) -> None:
        pause = self.runtime.pauses.record(due, self.runtime.clock.monotonic())
        if pause >= LOGGED_PAUSE_S:
            log_event(Event.LOOP_PAUSED, ms=pause * 1000)

    def _sweep(self, now: float) -> None:
        """Removes expired hosts and peers, and logs what has accumulated since the last sweep."""
        for name in self.register.sweep(now):
            log_event(Event.HOST_LOST, id=name)
        self.instances.drop_silent_gateways(now)
        for copy in self.instances.sweep():
            row = copy.entry.row
            self._retire(row)
        self._log_quotas()
        self.coordination.tick(now)
        if self.home.routes:
            self._log_home_region(now)
        self.membership.near = None  # gateways known only by their gossip may have come or gone
        self.limiter.borrowing.same_zone = frozenset(self.membership.broadcast_targets()[0])
        known = (
            {m.address[0] for m in self.membership.others()}
            | set(self.core.known_view()[2])
            | set(self.runtime.settings.seeds)
        )
        self.runtime.peers.retain_links(known)
        self.gossip.carriers.retain(known | {self.runtime.settings.Ip})

    def _log_quotas(self) -> None:
        """Logs, by tenant, the requests refused over quota and those admitted since the last call."""
        for tenant, tally in self.limiter.take_tallies().items():
            log_event(Event.QUOTA, count=tally.refused, tenant=tenant)
            log_event(
                Event.CHARGED,
                tenant=tenant,
                own=tally.own,
                granted=tally.granted,
                given_back=tally.given_back,
                lent=tally.lent,
            )

    def _log_home_region(self, now: float) -> None:
        """Logs refused requests that are bound to other regions, a lost lease, and hosts outside their
        service's region."""
        for bound, count in self.home.refused.items():
            if new := count - self.logged_refusals.get(bound, 0):
                log_event(Event.ABROAD, count=new, bound=bound)
                self.logged_refusals[bound] = count
        lease_lost = not self.home.lease_valid(now)
        if lease_lost and not self.lease_loss_logged:
            log_event(
                Event.BINDING_UNSURE,
                seconds=min(now - self.home.core_heard_at, now - self.runtime.started_at),
            )
        self.lease_loss_logged = lease_lost
        abroad = set()
        for service, bound in self.home.services.items():
            for name, entry in self.register.by_service.get(service, {}).items():
                if not self.home.host_allowed(service, entry.row.az):
                    abroad.add(name)
                    if name not in self.logged_hosts_abroad:
                        log_event(Event.HOST_ABROAD, id=name, service=service, bound=bound, zone=entry.row.az)
        self.logged_hosts_abroad = abroad

    def _set_client_bounds(self, bounds: ClientLimits) -> None:
        self.edge_server.limits = bounds

    def _retire(self, row: Row) -> None:
        self.hosts.retire((row.id, 0.0, (row.ip, row.port)))

    # Calls of hosts, operators and applications (`Desk`)

    async def heartbeat(self, row: Row) -> bool:
        return await self.host_replication.heartbeat(row)

    async def deregister(self, name: str) -> bool:
        return await self.host_replication.deregister(name)

    async def change_configuration(self, change: Change) -> StatusAndBody:
        return await self.changes.change(change)

    async def read_configuration(self) -> StatusAndBody:
        return await self.changes.read()

    def history(self) -> StatusAndBody:
        return self.changes.history()

    def status(self) -> bytes:
        return status(self)

    async def coordinate(self, call: CoordinationCall) -> StatusAndBody:
        return await self.coordination.call(call)

    # Messages of other gateways

    def _handle_message(self, connection: PeerConnection, message: PeerMessage) -> None:
        now = self.runtime.clock.monotonic()
        if isinstance(message, ConsensusMessage):
            if self.core.replica:
                self.core.execute(self.core.replica.receive(now, message.message, connection.ip, message.to))
        elif isinstance(message, MembershipPacket):
            try:
                packet = swim_wire.read(message.packet)
            except MembersError:
                return
            self.membership.swim.receive(now, (connection.ip, self.runtime.settings.peers_port), packet)
            self.membership.flush()
        elif isinstance(message, UpdateRequest):
            self.runtime.spawn(self.changes.handle_update_request(connection, message))
        elif isinstance(message, ConfigurationRequest):
            self.runtime.spawn(self.changes.handle_request(connection, message))
        elif isinstance(message, CoordinationRequest):
            self.runtime.spawn(self.coordination.handle_forwarded(connection, message))
        elif isinstance(message, ClaimShares):
            self.runtime.spawn(self.shares.handle_claim(connection, message))
        elif isinstance(message, HostRows):
            self.host_replication.merge_rows(message.rows)
            connection.send(Ack(message.number))
        elif isinstance(message, HostRowsRequest):
            connection.send(HostRows(message.number, self.register.rows(now, message.parts)))
        elif isinstance(message, Nominate):
            named = self.core.founding.answer_request(now, message.member.id, bool(self.core.known_view()[2]))
            connection.send(Nominee(message.number, named))


async def serve(path: str, metrics: str = "", regions: str = "") -> None:
    """Runs a gateway until it is stopped. `path`: of its settings; `metrics`: ip:port of the Prometheus
    endpoint; `regions`: path of the bindings to regions."""
    settings = read(path)
    bound = read_regions(regions, settings.Zones)
    await GatewayNode(settings, str(Path(path)), metrics=metrics, regions=bound).run()
