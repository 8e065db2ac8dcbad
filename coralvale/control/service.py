"""The control service on sockets: gRPC streams, the watch on discovery, timers and the saved state.

It decides nothing: what a stream is owed, what is served, who is late and what a proxy may let through come from
the modules beside it. One event loop; the only other thread is the one that syncs the saved state.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from envoy.service.status.v3 import csds_pb2
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from coralvale import interface as api
from coralvale.allowance.leases import Leases
from coralvale.allowance.model import Call
from coralvale.authorisation.answering import SERVICES, Answering
from coralvale.authorisation.answers import Answers
from coralvale.control import status
from coralvale.control.drains import Drains
from coralvale.control.model import ENDPOINTS, Acked, Host, Nacked, Placed, StateError, StreamError
from coralvale.control.quotas import Abandon, Assign, BucketId, Meter, Quotas, Report
from coralvale.control.resources import assignment, static
from coralvale.control.roster import Roster, State
from coralvale.control.snapshots import Snapshots
from coralvale.control.store import Saved, Store
from coralvale.control.stream import PATIENCE, Stream
from coralvale.control.wire import Encoder, read_asked, read_bucket, read_delta, write_actions
from coralvale.net.clock import Clock
from coralvale.net.config import Config, HostInstance
from coralvale.net.counter import CounterClient
from coralvale.net.discovery import Discovery
from coralvale.operator.model import Control

log = logging.getLogger(__name__)

TICK = 0.05  # s between looks at what is due: a tenth of the shortest grace
SAVED_WITHIN = 0.05  # s that a drain may wait for the disk before it goes out all the same
RESERVED = 60_000_000  # versions saved ahead (a minute's worth), so that not every new weight is synced
NAMED = 20  # late proxies that the log names for one drain; the metrics page and CSDS name all
STATION = 128  # characters of a station's name in a bucket
BUCKET = 1024  # characters of all of a bucket's id, which is kept as long as the bucket
PATIENT = 1.0  # s that the counter may take
DECIDE = 0.1  # s between ticks of the decisions on checks
LINES = 4  # on the state of the counter, logged in one look
NODE = 256  # characters that are kept of what a proxy calls itself
ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
RLQS = "envoy.service.rate_limit_quota.v3.RateLimitQuotaService"
CSDS = "envoy.service.status.v3.ClientStatusDiscoveryService"
ENDED = (grpc.RpcError, grpc.aio.AbortError, asyncio.InvalidStateError)  # a stream that is over
Context = Any  # grpc.aio.ServicerContext, which has no types of its own


class Connection:
    """One open stream of a proxy: discovery (`stream`) or quotas."""

    def __init__(self, number: int, peer: str, stream: Stream | None, reports: float) -> None:
        self.number, self.peer, self.stream = number, peer, stream
        self.node: Any = None  # envoy.config.core.v3.Node of the first request
        self.wake = asyncio.Event()
        self.error: StreamError | None = None
        self.ended = False
        self.writing_since: float | None = None
        self.meter = Meter(reports)
        self.actions: dict[BucketId, Assign | Abandon] = {}  # at most one waits for each bucket

    @property
    def name(self) -> str:
        """How an operator knows the proxy."""
        return (self.node.id if self.node is not None else "") or self.peer


def told_node(node: Any) -> Any:  # noqa: ANN401
    """What is kept of envoy.config.core.v3.Node: who it is. Its metadata may be as large as a message."""
    return base_pb2.Node(
        id=node.id[:NODE], cluster=node.cluster[:NODE], user_agent_name=node.user_agent_name[:NODE]
    )


class ControlService:
    """One control service: `start`, then `close`. Raises OSError if it cannot listen or keep its state."""

    def __init__(self, config: Config, control: Control, clock: Clock | None = None) -> None:
        self.config, self.control, self.clock = config, control, clock or Clock()
        self.settings = config.settings
        self.connections: dict[int, Connection] = {}
        self.serial = 0
        self.encoder = Encoder()
        self.roster = Roster(config.settings, control.older_list_s)
        self.drains = Drains(config.settings.drain_grace)
        quotas = control.quotas
        born = self.clock.now()
        self.leases: Leases | None = None
        self.counter: CounterClient | None = None
        if quotas.services > 1:
            free_at = born + quotas.assignment_ttl_s + quotas.margin_s
            self.leases = Leases(quotas.services, quotas.place, born, free_at)
        self.quotas = Quotas(
            config.settings,
            born,
            quotas.assignment_ttl_s,
            quotas.margin_s,
            quotas.forget_s,
            control.limits.buckets,
            self.leases,
        )
        self.answering: Answering | None = None
        self.asked: CounterClient | None = None  # for checks, whose callers wait
        if table := control.authorisation:
            answers = Answers(config.settings, config.seed, None, table.most_held, table.repeats)
            self.answering = Answering(answers, self.clock, self._count)
        self.plans = {plan.name: number for number, plan in enumerate(config.settings.plans)}
        self.static = static(config.settings, control.service, control.proxy_address, config.connect_timeout)
        self.lease = control.endpoint_lease_ms / 1000
        self.decide_at = self.renew_at = self.restate_at = self.patience_at = 0.0
        self.counts = dict.fromkeys(("pushes", "acks", "nacks", "reports", "late", "refused", "unsaved"), 0)
        self.state = State.UNKNOWN
        self.snapshots = Snapshots()
        self.store = Store(control.state_dir) if control.state_dir else None
        self.disk = ThreadPoolExecutor(1, "state")
        self.saving: asyncio.Future[None] | None = None
        self.unsaved = self.healthy = self.warming = self.publishing = False
        self.changed = asyncio.Event()  # the roster is another, and is to be saved and served
        self.drained: list[str] = []  # hosts whose drains the next snapshot tells
        zones = dict(enumerate(config.zones))
        self.zone: Callable[[int], str] = lambda number: zones.get(number, "")
        self.discovery = Discovery(config.discovery, config.zones, config.kinds, self.clock, self._listed)
        self.tasks: list[asyncio.Task[None]] = []
        self.port = 0

    # Start and end

    async def start(self) -> None:
        self._restore()
        limits = self.control.limits
        self.server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", limits.message_bytes),
                ("grpc.max_send_message_length", -1),
                ("grpc.keepalive_time_ms", 10_000),
                ("grpc.keepalive_timeout_ms", 5_000),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
                ("grpc.so_reuseport", 0),  # two services on one port would each hold half of the proxies
            )
        )
        self.server.add_generic_rpc_handlers(self._handlers())
        self.health = health.aio.HealthServicer()
        health_pb2_grpc.add_HealthServicer_to_server(self.health, self.server)
        names: tuple[str, ...] = (ADS, RLQS, CSDS, health.SERVICE_NAME, reflection.SERVICE_NAME)
        if self.answering:
            self.answering.add(self.server)
            names += SERVICES
            if self.config.counter:
                waits, within = self.settings.counter_timeout, self.config.connect_timeout
                self.asked = CounterClient(self.config.counter, waits, within, self.answering.counted)
        reflection.enable_server_reflection(names, self.server)
        await self.health.set("", health_pb2.HealthCheckResponse.NOT_SERVING)
        try:
            if self.control.tls:
                self.port = self.server.add_secure_port(self.control.listen, self._credentials())
            else:
                self.port = self.server.add_insecure_port(self.control.listen)
        except RuntimeError as error:  # gRPC's word for an address that cannot be had
            raise OSError(f"{self.control.listen}: {error}") from None
        if not self.port:
            raise OSError(f"{self.control.listen}: cannot listen there")
        self.metrics = None
        if self.control.metrics:
            host, _, port = self.control.metrics.rpartition(":")
            self.metrics = await asyncio.start_server(self._metrics, host.strip("[]"), int(port))
        loop = asyncio.get_running_loop()
        if self.leases and self.config.counter:
            timeout = self.config.connect_timeout
            self.counter = CounterClient(
                self.config.counter, PATIENT, timeout, self._counted, stall_timeout=PATIENT
            )
        self._refresh()
        await self._be_healthy()
        await self.server.start()
        log.info("control service %r listens at %s", self.control.service, self.control.listen)
        self.tasks = [
            loop.create_task(self.discovery.run()),
            loop.create_task(self._publish()),
            loop.create_task(self._tick()),
        ]

    def _credentials(self) -> Any:  # noqa: ANN401
        tls = self.control.tls
        assert tls is not None
        pair = (Path(tls.key).read_bytes(), Path(tls.certificate).read_bytes())
        authority = Path(tls.client_ca).read_bytes() if tls.client_ca else None
        return grpc.ssl_server_credentials([pair], authority, authority is not None)

    def _restore(self) -> None:
        if self.store is None:
            return
        try:
            saved = self.store.load()
        except StateError as error:
            log.error("saved state: %s", error)
            return
        if saved is None:
            return
        self.snapshots = Snapshots(saved.version, saved.kept)
        self.roster.restore(saved.hosts, saved.index, self.clock.now())
        log.info(
            "serving the saved roster until discovery answers: %d hosts, %d leaving",
            len(saved.hosts),
            sum(host.leaving for host in saved.hosts),
        )

    async def close(self, grace: float = 0.0) -> None:
        """Ends all streams: within `grace` seconds, or at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for counter in (self.counter, self.asked):
            if counter:
                counter.close()
        if self.metrics:
            self.metrics.close()
        await self.server.stop(grace)
        if self.saving:
            await asyncio.wait([self.saving])
        self.disk.shutdown()

    def reload(self, config: Config) -> None:
        """SIGHUP: moves to discovery's new address; nothing else is taken while streams are open."""
        if config.discovery != self.discovery.address:
            log.info("discovery is now at %s", config.discovery)
            self.discovery.change_address(config.discovery)

    # The roster

    def _listed(self, kind: api.ListKind, servers: tuple[api.Server, ...], stale: list[HostInstance]) -> None:
        hosts = [
            Host(
                server.id,
                endpoint.address[0],
                endpoint.address[1],
                self.zone(server.zone),
                server.scale,
                server.started_at,
                server.state is api.ServerState.DRAINING,
            )
            for endpoint in self.discovery.endpoints.values()
            for server in (endpoint.server,)
        ]
        if self.answering:
            self.answering.listed(api.ServerList(kind, servers))
        new = self.roster.listed(self.clock.now(), self.discovery.index, hosts)
        if self.roster.state is not self.state:
            if self.roster.state is State.OLDER:
                log.warning(
                    "discovery tells an older list (index %s, served %s): held back for %g s, drains kept",
                    self.discovery.index,
                    self.roster.index,
                    self.control.older_list_s,
                )
            elif self.roster.state is State.LIVE:
                log.info("serving discovery's list: index %s, %d hosts", self.roster.index, len(hosts))
            self.state = self.roster.state
        self.unsaved = True
        self.drained += [drain.life[0] for drain in new]
        self.changed.set()

    async def _publish(self) -> None:
        """Saves, then serves: what has been served must outlive a kill. All that waits goes out as one."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            self.publishing = True
            try:
                # What is seen now is what is served: a list that comes while the disk works has its own turn.
                view, drained = self.roster.view(self.clock.now()), self.drained
                self.drained = []
                await self._save(SAVED_WITHIN)
                self._offer(view, drained)
                self.unsaved = True  # the versions it was given; without them a restart would only send more
                await self._be_healthy()
            except Exception:  # one list that cannot be served must not be the last
                log.exception("cannot serve the newest list")
            finally:
                self.publishing = False

    async def _be_healthy(self) -> None:
        """grpc.health.v1: serving once there is a roster to serve."""
        if self.snapshots.newest and not self.healthy:
            self.healthy = True
            await self.health.set("", health_pb2.HealthCheckResponse.SERVING)

    async def _save(self, within: float) -> None:
        if self.store is None or self.roster.state is State.UNKNOWN:
            return
        if self.saving and not self.saving.done():  # the disk is slow; what is newest is saved after that
            await asyncio.wait([self.saving], timeout=within)
            if not self.saving.done():
                return self._too_slow(within)
        self.unsaved = False
        saved = Saved(
            max(self.snapshots.version, int(self.clock.now() * 1e6)) + RESERVED,
            self.roster.index,
            tuple(self.roster.hosts.values()),
            self.snapshots.kept,
        )
        loop = asyncio.get_running_loop()
        self.saving = loop.run_in_executor(self.disk, self._write, saved)
        await asyncio.wait([self.saving], timeout=within)
        if not self.saving.done():
            self._too_slow(within)

    def _too_slow(self, within: float) -> None:
        self.unsaved = True
        self.counts["unsaved"] += 1
        log.warning("the state is not saved after %g s: serving without; a restart may know less", within)

    def _write(self, saved: Saved) -> None:
        assert self.store is not None
        try:
            self.store.save(saved)
        except OSError as error:
            self.counts["unsaved"] += 1
            log.error("cannot save the state: %s: %s", self.store.path, error.strerror)

    def _refresh(self) -> None:
        """Serves the roster as it is now: at the start, and while weights grow."""
        self._offer(self.roster.view(self.clock.now()), [])

    def _offer(self, view: tuple[Placed, ...] | None, drained: list[str]) -> None:
        """Makes the newest snapshot of a view, and wakes the streams if it is another."""
        if view is None:
            return
        now = self.clock.now()
        self.warming = self.roster.warming(now)  # if so, its last weight is still to be stated
        self.restate_at = now + self.control.restate_ms / 1000
        bodies = {
            **self.static,
            ENDPOINTS: {self.control.service: assignment(self.control.service, view, self.lease)},
        }
        made = self.snapshots.make(now, bodies, urgent=bool(drained))
        if made is None:
            return
        for host in drained:
            log.info("drain of %s told to %d streams", host, len(self.drains.streams))
            self.drains.told(now, host, made.versions[ENDPOINTS])
        for connection in self.connections.values():
            if connection.stream:
                connection.stream.offer(made)
                connection.wake.set()

    # Timers

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            try:
                self._look()
            except Exception:  # one look that fails must not be the last
                log.exception("a look at what is due failed")

    def _look(self) -> None:
        now = self.clock.now()
        if self.answering and now >= self.decide_at:
            self.decide_at = now + DECIDE
            self.answering.tick()
        self._name_late(now)
        if self.warming and now >= self.restate_at and not (self.publishing or self.changed.is_set()):
            self._refresh()
        if self.unsaved and (self.saving is None or self.saving.done()):
            self.tasks = [task for task in self.tasks if not task.done()]
            self.tasks.append(asyncio.get_running_loop().create_task(self._save(1.0)))
        if self.lease and now >= self.renew_at:
            self.renew_at = now + self.lease / 3
            self._wake_all(lambda stream: stream.renew())
        if now >= self.patience_at:  # well within PATIENCE, and not at every look: there may be thousands
            self.patience_at = now + PATIENCE / 10
            self._wake_all(lambda stream: (due := stream.waits_until()) is not None and now >= due)
        if self.leases:
            self._lend(self.leases.due(now))
            for text in self.leases.log_lines[:LINES]:
                log.warning("shared ceilings: %s", text)
            self.leases.log_lines.clear()
        for number, action in self.quotas.tick(now):
            if held := self.connections.get(number):
                held.actions[action.bucket] = action
                held.wake.set()

    def _wake_all(self, due: Callable[[Stream], bool]) -> None:
        for connection in self.connections.values():
            if connection.stream and due(connection.stream):
                connection.wake.set()

    def _name_late(self, now: float) -> None:
        named: dict[str, int] = {}
        for late in self.drains.late(now):
            connection = self.connections.get(late.stream)
            if connection is None:
                continue
            self.counts["late"] += 1
            named[late.host] = named.get(late.host, 0) + 1
            if named[late.host] <= NAMED:
                log.warning(
                    "drain of %s not acknowledged %.2f s after the notice by %s (%s): %s",
                    late.host,
                    now - late.told_at,
                    connection.name,
                    connection.peer,
                    late.why,
                )
            # Its stream is left open: the drain on its way is the first thing it reads after what went before.
            # Ending the stream drops it unread, and leaves the proxy with the older response till it is back.
        for host, count in named.items():
            if count > NAMED:
                log.warning(
                    "drain of %s: %d more proxies have not acknowledged; CSDS names them", host, count - NAMED
                )

    # Checks of other proxies

    def _count(self, action: api.Count) -> None:
        if self.asked:
            self.asked.add(action.name, action.amount, action.lifetime)
        elif self.answering:
            failed = api.CounterReply(action.name, False, 0.0)
            asyncio.get_running_loop().call_soon(self.answering.counted, failed)

    # Ceilings shared with other control services

    def _lend(self, calls: list[tuple[str, Call]]) -> None:
        """Makes calls to the counter. Without one all fail at once: every service keeps to its even part."""
        for name, call in calls:
            if self.counter:
                self.counter.add(name, call.amount, call.lifetime)
            elif self.leases:
                self.leases.reply(self.clock.now(), name, None)

    def _counted(self, reply: api.CounterReply) -> None:
        if self.leases:
            total = reply.total if reply.ok else None
            self._lend(self.leases.reply(self.clock.now(), str(reply.name), total))

    # Discovery streams

    def _handlers(self) -> tuple[Any, ...]:
        def plain(data: bytes) -> bytes:
            return data

        def handler(behaviour: Any, request: Any, response: Any) -> Any:  # noqa: ANN401
            return grpc.stream_stream_rpc_method_handler(behaviour, request.FromString, response)

        asked, delta = discovery_pb2.DiscoveryRequest, discovery_pb2.DeltaDiscoveryRequest
        reports, answers = rlqs_pb2.RateLimitQuotaUsageReports, rlqs_pb2.RateLimitQuotaResponse
        told, status_asked = csds_pb2.ClientStatusResponse, csds_pb2.ClientStatusRequest
        return (
            grpc.method_handlers_generic_handler(
                ADS,
                {
                    "StreamAggregatedResources": handler(self._whole, asked, plain),
                    "DeltaAggregatedResources": handler(self._delta, delta, plain),
                },
            ),
            grpc.method_handlers_generic_handler(
                RLQS, {"StreamRateLimitQuotas": handler(self._quotas, reports, answers.SerializeToString)}
            ),
            grpc.method_handlers_generic_handler(
                CSDS,
                {
                    "StreamClientStatus": handler(self._statuses, status_asked, told.SerializeToString),
                    "FetchClientStatus": grpc.unary_unary_rpc_method_handler(
                        self._status, status_asked.FromString, told.SerializeToString
                    ),
                },
            ),
        )

    async def _whole(self, requests: AsyncIterator[Any], context: Context) -> None:
        await self._serve(requests, context, Stream(False, self.control.limits.names))

    async def _delta(self, requests: AsyncIterator[Any], context: Context) -> None:
        await self._serve(requests, context, Stream(True, self.control.limits.names))

    async def _open(self, context: Context, stream: Stream | None) -> Connection:
        if len(self.connections) >= self.control.limits.streams:
            self.counts["refused"] += 1
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                f"{len(self.connections)} streams are open, at most {self.control.limits.streams}",
            )
        self.serial += 1
        connection = Connection(self.serial, context.peer(), stream, self.control.limits.reports_per_s)
        self.connections[connection.number] = connection
        return connection

    async def _serve(self, requests: AsyncIterator[Any], context: Context, stream: Stream) -> None:
        connection = await self._open(context, stream)
        if self.snapshots.newest:
            stream.offer(self.snapshots.newest)
        reader = asyncio.ensure_future(self._read(connection, stream, requests))
        try:
            while True:
                connection.wake.clear()
                await self._check(connection, context)
                if connection.ended:
                    return
                response = stream.poll(self.clock.now())
                if response is None:
                    await connection.wake.wait()
                    continue
                connection.writing_since = self.clock.now()
                await context.write(self.encoder.encode(response, stream.delta))
                connection.writing_since = None
                self.counts["pushes"] += 1
                if response.type_url == ENDPOINTS:
                    self.drains.written(self.clock.now(), connection.number, response.version)
        finally:
            reader.cancel()
            self.connections.pop(connection.number, None)
            self.drains.closed(connection.number)

    async def _check(self, connection: Connection, context: Context) -> None:
        if connection.error:
            self.counts["refused"] += 1
            log.warning("stream of %s ended: %s", connection.name, connection.error.text)
            await context.abort(grpc.StatusCode[connection.error.code], connection.error.text)

    async def _read(self, connection: Connection, stream: Stream, requests: AsyncIterator[Any]) -> None:
        read = read_delta if stream.delta else read_asked
        with self._reading(connection):
            async for request in requests:
                if connection.node is None and request.HasField("node"):
                    connection.node = told_node(request.node)
                told = stream.ask(read(request))
                if ENDPOINTS in stream.types:
                    self.drains.opened(connection.number)
                for one in told:
                    self._answered(connection, one)
                if not stream.settled():
                    connection.wake.set()

    @contextlib.contextmanager
    def _reading(self, connection: Connection) -> Iterator[None]:
        """Round the reading of a stream: however it ends, its writer is told, and why."""
        try:
            yield
        except StreamError as error:
            connection.error = error
        except ENDED:
            pass
        except Exception:
            log.exception("a request of %s failed", connection.name)
        finally:
            connection.ended = True
            connection.wake.set()

    def _answered(self, connection: Connection, told: Acked | Nacked) -> None:
        if isinstance(told, Acked):
            self.counts["acks"] += 1
            if told.type_url == ENDPOINTS:
                self.drains.acked(self.clock.now(), connection.number, told.version)
            return
        self.counts["nacks"] += 1
        kind = told.type_url.rpartition(".")[2]
        log.warning("%s refuses %s version %d: %s", connection.name, kind, told.version, told.error)
        if told.type_url == ENDPOINTS:
            self.drains.refused(connection.number, told.version, told.error)

    # Quotas

    async def _quotas(self, requests: AsyncIterator[Any], context: Context) -> None:
        connection = await self._open(context, None)
        reader = asyncio.ensure_future(self._read_reports(connection, requests))
        try:
            while True:
                connection.wake.clear()
                await self._check(connection, context)
                if connection.ended:
                    return
                if not connection.actions:
                    await connection.wake.wait()
                    continue
                actions, connection.actions = list(connection.actions.values()), {}
                await context.write(write_actions(actions))
        finally:
            reader.cancel()
            self.connections.pop(connection.number, None)
            self.quotas.closed(connection.number)

    async def _read_reports(self, connection: Connection, requests: AsyncIterator[Any]) -> None:
        domain = ""
        with self._reading(connection):
            async for request in requests:
                domain = domain or request.domain
                if domain != self.control.quotas.domain:
                    raise StreamError(
                        "INVALID_ARGUMENT", f"domain {domain[:64]!r}, expected {self.control.quotas.domain!r}"
                    )
                usages = request.bucket_quota_usages
                if not connection.meter.take(self.clock.now(), max(1, len(usages))):
                    raise StreamError(
                        "RESOURCE_EXHAUSTED",
                        f"more than {self.control.limits.reports_per_s} usage reports in a second",
                    )
                for usage in usages:
                    self._report(connection, usage)
                connection.wake.set()

    def _report(self, connection: Connection, usage: Any) -> None:  # noqa: ANN401
        keys, bucket = self.control.quotas, read_bucket(usage.bucket_id)
        if (size := sum(len(key) + len(value) for key, value in bucket)) > BUCKET:
            raise StreamError("INVALID_ARGUMENT", f"a bucket id of {size} characters, at most {BUCKET}")
        pairs = dict(bucket)
        station = pairs.get(keys.station_key, "")
        plan = self.plans.get(pairs.get(keys.plan_key, ""), -1) if 0 < len(station) <= STATION else -1
        elapsed = usage.time_elapsed.seconds + usage.time_elapsed.nanos / 1e9
        report = Report(bucket, station, plan, elapsed, usage.num_requests_allowed, usage.num_requests_denied)
        self.counts["reports"] += 1
        try:
            actions = self.quotas.report(self.clock.now(), connection.number, report)
        except OverflowError as error:
            raise StreamError("RESOURCE_EXHAUSTED", str(error)) from None
        for action in actions:
            connection.actions[action.bucket] = action

    # What an operator sees

    async def _statuses(self, requests: AsyncIterator[Any], context: Context) -> None:
        async for request in requests:
            await context.write(self._told(request))

    async def _status(self, request: Any, context: Context) -> Any:  # noqa: ANN401
        return self._told(request)

    def _told(self, request: Any) -> Any:  # noqa: ANN401
        open_streams = [c for c in self.connections.values() if c.stream]
        return status.clients(request, open_streams, self.snapshots.newest, self.drains)

    async def _metrics(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(2.0):
                await reader.readuntil(b"\r\n\r\n")
            page = status.metrics(
                self.counts, list(self.connections.values()), self.roster, self.quotas, self.drains
            )
            head = f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {len(page)}\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + page)
            await writer.drain()
        writer.close()
