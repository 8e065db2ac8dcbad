"""Proxies that are not ours: xDS clients that carry real requests to hosts, with faults. Needs gRPC.

`Proxy` speaks ADS in either form and routes as Envoy does with `locality_weighted_lb_config`, round robin and
`healthy_panic_threshold` 0: by lot over localities, then over their endpoints that are healthy. It honours
`endpoint_stale_after`. `QuotaProxy` speaks RLQS and keeps token buckets as Envoy's filter does.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from google.rpc import status_pb2

from coralvale.standins.clients import Client, request

TYPES = "type.googleapis.com/"
LISTENER = TYPES + "envoy.config.listener.v3.Listener"
ROUTE = TYPES + "envoy.config.route.v3.RouteConfiguration"
CLUSTER = TYPES + "envoy.config.cluster.v3.Cluster"
ENDPOINTS = TYPES + "envoy.config.endpoint.v3.ClusterLoadAssignment"
PARSED: dict[str, Any] = {
    LISTENER: listener_pb2.Listener,
    ROUTE: route_pb2.RouteConfiguration,
    CLUSTER: cluster_pb2.Cluster,
    ENDPOINTS: endpoint_pb2.ClusterLoadAssignment,
}
KINDS = (CLUSTER, ENDPOINTS, LISTENER, ROUTE)
BACKOFF = 0.05, 0.4  # s before a new stream, at least and at most, doubled each time
# s that the next response may take to be of the same turn. A proxy that stalled decodes all that its socket holds
# before it goes on with anything else; responses that come later are a turn of their own.
TURN = 0.02
RECONNECT = (
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.max_reconnect_backoff_ms", 200),
    ("grpc.use_local_subchannel_pool", 1),  # proxies are machines of their own: no connection is shared
)


@dataclass(frozen=True)
class Target:
    host: str
    address: tuple[str, int]
    weight: float
    healthy: bool


@dataclass
class Seen:
    """One response as the proxy got it, for tests that look at order."""

    at: float
    type_url: str
    version: str
    names: tuple[str, ...]


@dataclass
class Held:
    """What a proxy keeps over reconnects: resources by type, and the versions it would name."""

    resources: dict[str, dict[str, bytes]] = field(default_factory=lambda: {kind: {} for kind in KINDS})
    versions: dict[str, dict[str, str]] = field(default_factory=lambda: {kind: {} for kind in KINDS})
    whole: dict[str, str] = field(default_factory=dict)


class Proxy:
    """One proxy. `refuse(type_url, resources)` returns the error of a NACK or None; `reading` lets it read."""

    def __init__(self, name: str, target: str, service: str, delta: bool = False, seed: int = 0) -> None:
        self.name, self.target, self.service, self.delta = name, target, service, delta
        self.random = random.Random(f"{seed}/{name}")
        self.held = Held()
        self.targets: list[list[Target]] = []  # by locality
        self.stale_at = math.inf
        self.refuse: Callable[[str, list[bytes]], str | None] = lambda kind, resources: None
        self.reading = asyncio.Event()
        self.reading.set()
        self.connected = self.dropped = False
        self.paused = False  # it reads no more: nothing that is on its way has an effect
        self.away = False  # stays away from the service, and goes on with what it has
        self.seen: list[Seen] = []
        self.results: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.idle: dict[tuple[str, int], list[Client]] = {}
        self.changed = asyncio.Event()
        self.sending: set[asyncio.Task[None]] = set()
        self.call: Any = None
        self.serial = 0

    # The stream

    async def run(self) -> None:
        """Streams for good; after each end it comes back with what it has."""
        backoff = BACKOFF[0]
        while True:
            while self.away:
                await asyncio.sleep(0.01)
            before = len(self.seen)
            try:
                await self._stream()
            except grpc.RpcError as error:
                self.errors[error.code().name] += 1
            except asyncio.InvalidStateError:  # the stream ended between a read and the answer to it
                self.errors["ENDED"] += 1
            except asyncio.CancelledError:
                if not self.dropped:  # gRPC tells a call that was cancelled here in the words of a task
                    raise
            finally:
                self.connected = self.dropped = False
            backoff = BACKOFF[0] if len(self.seen) > before else min(2 * backoff, BACKOFF[1])
            await asyncio.sleep(backoff * (0.5 + self.random.random()))

    async def _stream(self) -> None:
        async with grpc.aio.insecure_channel(self.target, options=RECONNECT) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources() if self.delta else stub.StreamAggregatedResources()
            self.call = call
            for kind in KINDS:
                await call.write(self._first(kind))
            self.connected = True
            next_one: asyncio.Future[Any] | None = None
            while True:
                stalled = not self.reading.is_set()
                self.paused = stalled
                await self.reading.wait()
                self.paused = False
                told = [await (next_one or call.read())]
                next_one = None
                while stalled and told[-1] is not grpc.aio.EOF:
                    next_one = asyncio.ensure_future(call.read())
                    await asyncio.wait({next_one}, timeout=TURN)
                    if not next_one.done():
                        break
                    told.append(await next_one)
                    next_one = None
                for answer in [self._take(response) for response in told if response is not grpc.aio.EOF]:
                    await call.write(answer)
                if told[-1] is grpc.aio.EOF:
                    code = await call.code()
                    self.errors[code.name] += 1
                    return

    def drop(self) -> None:
        """Breaks the stream, as a network would; it comes back by itself."""
        if self.call is not None and self.connected:
            self.dropped = True
            self.call.cancel()

    def _names(self, kind: str) -> tuple[str, ...]:
        return () if kind in (LISTENER, CLUSTER) else (self.service,)

    def _first(self, kind: str) -> Any:  # noqa: ANN401
        node = base_pb2.Node(id=self.name, cluster="standins", user_agent_name="coralvale-standin")
        if self.delta:
            asked = discovery_pb2.DeltaDiscoveryRequest(
                node=node, type_url=kind, resource_names_subscribe=self._names(kind)
            )
            asked.initial_resource_versions.update(self.held.versions[kind])
            return asked
        version = self.held.whole.get(kind, "")
        return discovery_pb2.DiscoveryRequest(
            node=node, type_url=kind, resource_names=self._names(kind), version_info=version
        )

    def _take(self, response: Any) -> Any:  # noqa: ANN401
        kind = response.type_url
        if self.delta:
            told = {r.name: (r.version, r.resource.value) for r in response.resources}
            version = response.system_version_info
        else:
            told = {self._name(kind, r.value): (response.version_info, r.value) for r in response.resources}
            version = response.version_info
        self.seen.append(Seen(time.time(), kind, version, tuple(told)))
        error = self.refuse(kind, [value for _, value in told.values()])
        if error is None:
            self._apply(kind, told, list(response.removed_resources) if self.delta else [])
            if not self.delta:
                self.held.whole[kind] = version
        detail = status_pb2.Status(code=3, message=error) if error else None
        self.changed.set()
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(
                type_url=kind, response_nonce=response.nonce, error_detail=detail
            )
        return discovery_pb2.DiscoveryRequest(
            type_url=kind,
            response_nonce=response.nonce,
            resource_names=self._names(kind),
            version_info=self.held.whole.get(kind, ""),
            error_detail=detail,
        )

    @staticmethod
    def _name(kind: str, value: bytes) -> str:
        read = PARSED[kind].FromString(value)
        return str(read.cluster_name if kind == ENDPOINTS else read.name)

    def _apply(self, kind: str, told: dict[str, tuple[str, bytes]], removed: list[str]) -> None:
        held = self.held.resources[kind]
        if not self.delta and kind in (LISTENER, CLUSTER):
            held.clear()
        held.update({name: value for name, (_, value) in told.items()})
        self.held.versions[kind].update({name: version for name, (version, _) in told.items()})
        for name in removed:
            held.pop(name, None)
            self.held.versions[kind].pop(name, None)
        if kind == ENDPOINTS and self.service in told:
            self._endpoints(endpoint_pb2.ClusterLoadAssignment.FromString(held[self.service]))

    def _endpoints(self, assignment: Any) -> None:  # noqa: ANN401
        self.targets = [
            [
                Target(
                    e.endpoint.hostname,
                    (
                        e.endpoint.address.socket_address.address,
                        e.endpoint.address.socket_address.port_value,
                    ),
                    locality.load_balancing_weight.value / max(1, working(locality)),
                    e.health_status in (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY),
                )
                for e in locality.lb_endpoints
            ]
            for locality in assignment.endpoints
        ]
        lease = assignment.policy.endpoint_stale_after.ToNanoseconds() / 1e9
        self.stale_at = time.monotonic() + lease if lease else math.inf

    # Requests

    def pick(self) -> Target | None:
        """By weight, of those that may be used now; None if there is none."""
        if time.monotonic() >= self.stale_at:
            return None
        well = [[t for t in locality if t.healthy] for locality in self.targets]
        well = [locality for locality in well if locality]
        if not well:
            return None
        weights = [sum(t.weight for t in locality) for locality in well]
        return self.random.choice(self.random.choices(well, weights)[0])

    async def load(self, rate: float) -> None:
        """Requests at `rate` a second, for good; `results` counts how they ended."""
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            target = self.pick()
            if target is None:
                self.results["refused"] += 1  # answered at once: 503 with Retry-After
                continue
            self.serial += 1
            task = asyncio.ensure_future(self._one(target, f"{self.name}-{self.serial}"))
            self.sending.add(task)
            task.add_done_callback(self.sending.discard)

    async def _one(self, target: Target, name: str) -> None:
        idle = self.idle.setdefault(target.address, [])
        try:
            client = idle.pop() if idle else Client(*await asyncio.open_connection(*target.address))
            said = await client.ask(request(name))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.results["failed"] += 1
            return
        idle.append(client)
        self.results["served" if said.status == 200 else "turned away"] += 1

    async def has(self, condition: Callable[[], bool], limit: float = 10.0) -> None:
        """Waits until a response has made the condition true. Raises TimeoutError after `limit` seconds."""
        async with asyncio.timeout(limit):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def hosts(self, healthy: bool = True) -> set[str]:
        return {t.host for locality in self.targets for t in locality if t.healthy or not healthy}


def working(locality: Any) -> int:  # noqa: ANN401
    """Endpoints of a locality that take work; its weight is theirs together."""
    return sum(e.health_status != health_check_pb2.DRAINING for e in locality.lb_endpoints)


@dataclass
class Bucket:
    """A token bucket as the rate limit quota filter of Envoy keeps it."""

    rate: float = 0.0
    most: float = 0.0
    tokens: float = 0.0
    at: float = 0.0
    until: float = -math.inf
    strategy: bytes = b""
    rule: int | None = None
    allowed: int = 0
    denied: int = 0

    def assign(self, action: Any, now: float) -> None:  # noqa: ANN401
        strategy = action.rate_limit_strategy.SerializeToString(deterministic=True)
        if strategy != self.strategy or now >= self.until:
            bucket = action.rate_limit_strategy.token_bucket
            blanket = action.rate_limit_strategy.WhichOneof("strategy") == "blanket_rule"
            self.rule = action.rate_limit_strategy.blanket_rule if blanket else None
            interval = bucket.fill_interval.ToNanoseconds() / 1e9
            self.rate = bucket.tokens_per_fill.value / interval if interval else 0.0
            self.most = self.tokens = float(bucket.max_tokens)
            self.at, self.strategy = now, strategy
        self.until = now + action.assignment_time_to_live.ToNanoseconds() / 1e9

    def ask(self, now: float) -> bool:
        self.tokens = min(self.most, self.tokens + self.rate * (now - self.at))
        self.at = now
        allowed = now < self.until and (self.rule == 0 if self.rule is not None else self.tokens >= 1)
        self.tokens -= allowed
        self.allowed += allowed
        self.denied += not allowed
        return allowed


class QuotaProxy:
    """An RLQS client with one bucket for a station; what has no live assignment is refused."""

    def __init__(self, target: str, domain: str, station: str, plan: str, every: float = 0.2) -> None:
        self.target, self.domain, self.every = target, domain, every
        self.id = {"station": station, "plan": plan}
        self.bucket = Bucket()
        self.abandoned = 0
        self.answered = asyncio.Event()
        self.reporting = True

    async def run(self) -> None:
        """Reports and takes assignments until its stream ends; raises what ended it."""
        async with grpc.aio.insecure_channel(self.target, options=RECONNECT) as channel:
            call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()
            reports = asyncio.ensure_future(self._report(call))
            try:
                async for response in call:
                    for action in response.bucket_action:
                        if action.HasField("abandon_action"):
                            self.abandoned += 1
                        else:
                            self.bucket.assign(action.quota_assignment_action, time.monotonic())
                    self.answered.set()
            finally:
                reports.cancel()

    async def _report(self, call: Any) -> None:  # noqa: ANN401
        last = time.monotonic()
        while True:
            now = time.monotonic()
            if self.reporting:
                usage = rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage(
                    num_requests_allowed=self.bucket.allowed, num_requests_denied=self.bucket.denied
                )
                usage.bucket_id.bucket.update(self.id)
                usage.time_elapsed.FromNanoseconds(int((now - last) * 1e9))
                self.bucket.allowed = self.bucket.denied = 0
                last = now
                reports = rlqs_pb2.RateLimitQuotaUsageReports(domain=self.domain, bucket_quota_usages=[usage])
                with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                    await call.write(reports)
            await asyncio.sleep(self.every)

    async def load(self, rate: float, seconds: float, admitted: list[float]) -> None:
        """Asks its bucket `rate` times a second; `admitted` gets the moment of each request let through."""
        end, next_at = time.monotonic() + seconds, time.monotonic()
        while (now := time.monotonic()) < end:
            while next_at <= now:
                if self.bucket.ask(now):
                    admitted.append(now)
                next_at += 1 / rate
            await asyncio.sleep(0.005)
