"""Metrics for Prometheus, served on a separate address; imported only if one is configured.

The page is rendered by the client library from counters that other modules keep. Tenants are labelled by name,
hosts only by service: instances come and go, and each would leave a time series behind.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from coralvale.cluster.host_health.watch import Verdict
from coralvale.cluster.server.coordination_figures import DELAYS_MS, CoordinationMetrics, replica_sizes
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.endings import ConnectionEnd, EndCounts, RequestInHand
from coralvale.net.exchange import Exchange
from coralvale.net.memory import MemoryAccount
from coralvale.net.server import ClientLimits, Server

if TYPE_CHECKING:
    from coralvale.cluster.server.node import GatewayNode

MAX_CONNECTIONS = 16
GUARANTEED_BYTES = 512 * 1024  # that requests and unread pages may hold, whatever others do


class GatewayMetrics:
    """A Prometheus collector for the state of a gateway."""

    def __init__(self, node: GatewayNode) -> None:
        self.node = node
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def collect(self) -> Iterator[Any]:
        node = self.node
        now = node.runtime.clock.monotonic()
        view, leader, core = node.core.known_view()
        for name, help_text, value in (
            ("ready", "1 while the platform may send new connections", float(node.is_ready())),
            (
                "configuration_version",
                "of the configuration in force",
                float(node.changes.configuration.version),
            ),
            ("view", "of the core, the newest that is known of", float(view)),
            ("core_members", "machines that hold the state", float(len(core))),
            ("core_leader_known", "1 while the leader of the view is known", float(bool(leader))),
            ("core_holder_known", "the same, for one version more", float(bool(leader))),
            ("voter", "1 where this gateway's disk votes", float(node.core.role() in ("voter", "changing"))),
            ("gateways", "that are taken to serve", float(node.gateways())),
            ("requests_open", "requests in hand", float(len(node.edge.open))),
            ("client_memory_bytes", "that clients make the process hold", float(node.client_memory.held)),
            ("client_memory_limit_bytes", "the most of it", float(node.client_memory.limit)),
            (
                "loop_longest_pause_seconds",
                "of the event loop, in the last one to two minutes",
                node.runtime.pauses.longest,
            ),
            (
                "disk_failing_seconds",
                "for which the disk has refused writes",
                now - node.core.disk_failed_at if node.core.disk_failed_at else 0.0,
            ),
        ):
            yield GaugeMetricFamily(f"myrtlehatch_{name}", help_text, value=value)
        answers = CounterMetricFamily("myrtlehatch_answers", "answers to clients", labels=["status"])
        for status, count in node.edge.answers.items():
            answers.add_metric([str(status)], float(count))
        yield answers
        yield CounterMetricFamily(
            "myrtlehatch_client_memory_refused",
            "requests that were refused as clients held too much memory",
            value=float(node.client_memory.refused),
        )
        yield CounterMetricFamily(
            "myrtlehatch_client_memory_shed",
            "connections that were closed, or not read on, for the memory of another",
            value=float(node.client_memory.shed),
        )
        yield from _connection_ends(node.edge_server.end_counts)
        owners = CounterMetricFamily(
            "myrtlehatch_host_answers", "answers of hosts, by the request that they name", labels=["request"]
        )
        for owner, count in node.hosts.answers.items():
            owners.add_metric([owner.value], float(count))
        yield owners
        hosts = GaugeMetricFamily(
            "myrtlehatch_hosts", "lives of hosts that are known", labels=["service", "state"]
        )
        copies = GaugeMetricFamily(
            "myrtlehatch_copies", "by what is held against them", labels=["service", "verdict"]
        )
        for service, lives in node.register.by_service.items():
            states: dict[str, int] = {}
            verdicts = {verdict: 0 for verdict in Verdict}
            for life in lives.values():
                states[life.state.name.lower()] = states.get(life.state.name.lower(), 0) + 1
                if copy := node.instances.by_id.get(life.id):
                    verdicts[node.instances.health.verdict(copy.id_hash)] += 1
            for state, count in states.items():
                hosts.add_metric([service, state], float(count))
            for verdict, count in verdicts.items():
                copies.add_metric([service, verdict.name.lower()], float(count))
        yield hosts
        yield copies
        used = GaugeMetricFamily(
            "myrtlehatch_tenant_rate", "requests let through a second", labels=["tenant", "where"]
        )
        leak = GaugeMetricFamily(
            "myrtlehatch_tenant_leak", "of its bucket here, requests a second", labels=["tenant"]
        )
        for tenant, metered in node.limiter.tenants.items():
            used.add_metric([tenant, "here"], float(metered.own_rate))
            used.add_metric([tenant, "all"], float(metered.fleet_rate))
            leak.add_metric([tenant], float(metered.bucket.rate))
        yield used
        yield leak
        sizes = replica_sizes(node.core.coordination, node.core.coordination_desk)
        yield from _coordination_metrics(node.coordination.metrics, sizes)

    def text(self) -> bytes:
        """The metrics page."""
        return bytes(generate_latest(self.registry))


def _connection_ends(counts: EndCounts) -> Iterator[Any]:
    ended = CounterMetricFamily("myrtlehatch_connections_ended", "of clients, by the cause", labels=["cause"])
    dropped = CounterMetricFamily(
        "myrtlehatch_requests_dropped",
        "read completely and not answered completely when their connection ended, by the cause "
        "and what they waited for",
        labels=["cause", "waits_for"],
    )
    for cause, count in counts.connections.items():
        ended.add_metric([cause.value], float(count))
    for (cause, waits_for), count in counts.dropped_requests.items():
        dropped.add_metric([cause.value, waits_for.value], float(count))
    yield ended
    yield dropped
    given_up = CounterMetricFamily(
        "myrtlehatch_requests_given_up",
        "answered by the gateway itself as its process ends, by what they waited for",
        labels=["waits_for"],
    )
    for waits_for, count in counts.given_up.items():
        given_up.add_metric([waits_for.value], float(count))
    yield given_up


def _coordination_metrics(metrics: CoordinationMetrics, sizes: dict[str, int]) -> Iterator[Any]:
    prefix = "myrtlehatch_coordination"
    turns, fence = sizes.pop("turns"), sizes.pop("fence")
    yield GaugeMetricFamily(f"{prefix}_fence", "the newest that was given", value=float(fence))
    yield CounterMetricFamily(f"{prefix}_turns", "begun as the leader", value=float(turns))
    yield CounterMetricFamily(
        f"{prefix}_takeovers", "of locks, granted as the leader", value=metrics.takeovers
    )
    size = GaugeMetricFamily(f"{prefix}_size", "of what the replica holds, and what waits", labels=["of"])
    for name, value in sizes.items():
        size.add_metric([name], float(value))
    yield size
    answers = CounterMetricFamily(f"{prefix}_answers", "to callers", labels=["call", "status"])
    for (call, status), count in metrics.answers.items():
        answers.add_metric([call, str(status)], float(count))
    yield answers
    calls = CounterMetricFamily(f"{prefix}_calls", "settled as the leader", labels=["call", "outcome"])
    for (call, outcome), count in metrics.outcomes.items():
        calls.add_metric([call, outcome], float(count))
    yield calls
    delays = HistogramMetricFamily(f"{prefix}_seconds", "until a call was settled as the leader")
    delays.add_metric([], _buckets(metrics.delays), metrics.delay_sum)
    yield delays


def _buckets(delays: list[int]) -> list[tuple[str, float]]:
    """Cumulative counts by the buckets' upper bounds in seconds."""
    ends = [str(ms / 1000) for ms in DELAYS_MS] + ["+Inf"]
    return list(zip(ends, (float(count) for count in accumulate(delays)), strict=True))


class _MetricsHandler:
    """Handler protocol of `Server` for a server that answers only GET /metrics."""

    ready = True

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.metrics = metrics

    def handle(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("MetricsServer does not call take()")

    def rejected(self, exchange: Exchange, status: int, why: str) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...

    def connection_ended(self, end: ConnectionEnd) -> None: ...

    def describe(self, exchange: Exchange) -> RequestInHand:
        return RequestInHand(exchange.name)

    def give_up(self, exchange: Exchange) -> None:
        exchange.reply(503)


class MetricsServer(Server):
    """Serves the metrics page."""

    single_value_headers = {b"content-length", b"transfer-encoding"}

    def __init__(
        self, address: Address, metrics: GatewayMetrics, clock: Clock, memory: MemoryAccount | None = None
    ) -> None:
        super().__init__(
            address,
            None,
            _MetricsHandler(metrics),
            MAX_CONNECTIONS,
            16,
            memory=memory,
            guaranteed_bytes=GUARANTEED_BYTES,
            memory_rank=1,
            clock=clock,
        )
        self.metrics = metrics
        self.limits = ClientLimits(max_body_bytes=0, head_timeout=2.0, idle_timeout=10.0)

    def handle_request(self, exchange: Exchange) -> None:
        if exchange.method != b"GET" or exchange.target.partition(b"?")[0] != b"/metrics":
            exchange.reply(404)
            return
        exchange.reply(200, self.metrics.text(), [(b"Content-Type", CONTENT_TYPE_LATEST.encode())])
