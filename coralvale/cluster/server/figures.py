"""Figures for Prometheus, on an address of their own, where one was named. Imported only then.

The text is made by the client library from what the rooms have counted; nothing is counted here. Tenants are told
by name, hosts by service alone: lives come and go, and each would be a series for ever.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from coralvale.cluster.host_health.watch import Verdict
from coralvale.cluster.server.coordination_figures import DELAYS_MS, CoordinationFigures, held
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.server import ClientLimits, Exchange, Server

if TYPE_CHECKING:
    from coralvale.cluster.server.node import GatewayNode

MOST = 16  # connections


class Figures:
    """What a gateway knows, as metrics."""

    def __init__(self, node: GatewayNode) -> None:
        self.node = node
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def collect(self) -> Iterator[Any]:
        o = self.node
        now = o.runtime.clock.monotonic()
        view, leader, core = o.core.known()
        for name, says, value in (
            ("ready", "1 while the platform may send new connections", float(o.is_ready())),
            (
                "configuration_version",
                "of the configuration in force",
                float(o.changes.configuration.version),
            ),
            ("view", "of the core, the newest that is known of", float(view)),
            ("core_members", "machines that hold the state", float(len(core))),
            ("core_leader_known", "1 while the leader of the view is known", float(bool(leader))),
            ("core_holder_known", "the same, for one version more", float(bool(leader))),
            ("voter", "1 where this gateway's disk votes", float(o.core.role() in ("voter", "changing"))),
            ("gateways", "that are taken to serve", float(o.gateways())),
            ("requests_open", "requests in hand", float(len(o.edge.open))),
            (
                "disk_failing_seconds",
                "for which the disk has refused writes",
                now - o.core.disk_failed if o.core.disk_failed else 0.0,
            ),
        ):
            yield GaugeMetricFamily(f"myrtlehatch_{name}", says, value=value)
        answers = CounterMetricFamily("myrtlehatch_answers", "answers to clients", labels=["status"])
        for status, count in o.edge.answers.items():
            answers.add_metric([str(status)], float(count))
        yield answers
        hosts = GaugeMetricFamily(
            "myrtlehatch_hosts", "lives of hosts that are known", labels=["service", "state"]
        )
        sour = GaugeMetricFamily(
            "myrtlehatch_copies", "by what is held against them", labels=["service", "verdict"]
        )
        for service, lives in o.register.by_service.items():
            states: dict[str, int] = {}
            verdicts = {verdict: 0 for verdict in Verdict}
            for life in lives.values():
                states[life.state.name.lower()] = states.get(life.state.name.lower(), 0) + 1
                if copy := o.instances.by_id.get(life.id):
                    verdicts[o.instances.health.verdict(copy.id_hash)] += 1
            for state, count in states.items():
                hosts.add_metric([service, state], float(count))
            for verdict, count in verdicts.items():
                sour.add_metric([service, verdict.name.lower()], float(count))
        yield hosts
        yield sour
        used = GaugeMetricFamily(
            "myrtlehatch_tenant_rate", "requests let through a second", labels=["tenant", "where"]
        )
        leak = GaugeMetricFamily(
            "myrtlehatch_tenant_leak", "of its bucket here, requests a second", labels=["tenant"]
        )
        for tenant, metered in o.limiter.tenants.items():
            used.add_metric([tenant, "here"], float(metered.own_rate))
            used.add_metric([tenant, "all"], float(metered.fleet_rate))
            leak.add_metric([tenant], float(metered.bucket.rate))
        yield used
        yield leak
        sizes = held(o.core.coordination, o.core.coordination_desk)
        yield from _coordination(o.coordination.figures, sizes)

    def text(self) -> bytes:
        return bytes(generate_latest(self.registry))


def _coordination(figures: CoordinationFigures, sizes: dict[str, int]) -> Iterator[Any]:
    prefix = "myrtlehatch_coordination"
    turns, fence = sizes.pop("turns"), sizes.pop("fence")
    yield GaugeMetricFamily(f"{prefix}_fence", "the newest that was given", value=float(fence))
    yield CounterMetricFamily(f"{prefix}_turns", "begun as the leader", value=float(turns))
    yield CounterMetricFamily(
        f"{prefix}_takeovers", "of locks, granted as the leader", value=figures.takeovers
    )
    size = GaugeMetricFamily(f"{prefix}_size", "of what the replica holds, and what waits", labels=["of"])
    for name, value in sizes.items():
        size.add_metric([name], float(value))
    yield size
    answers = CounterMetricFamily(f"{prefix}_answers", "to callers", labels=["call", "status"])
    for (call, status), count in figures.answers.items():
        answers.add_metric([call, str(status)], float(count))
    yield answers
    calls = CounterMetricFamily(f"{prefix}_calls", "settled as the leader", labels=["call", "outcome"])
    for (call, outcome), count in figures.outcomes.items():
        calls.add_metric([call, outcome], float(count))
    yield calls
    delays = HistogramMetricFamily(f"{prefix}_seconds", "until a call was settled as the leader")
    delays.add_metric([], _buckets(figures.delays), figures.delay_sum)
    yield delays


def _buckets(delays: list[int]) -> list[tuple[str, float]]:
    """Cumulative, by upper ends in seconds."""
    ends = [str(ms / 1000) for ms in DELAYS_MS] + ["+Inf"]
    return list(zip(ends, (float(count) for count in accumulate(delays)), strict=True))


class _Page:
    """Answers GET /metrics and nothing else."""

    ready = True

    def __init__(self, figures: Figures) -> None:
        self.figures = figures

    def handle(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("the platform's own requests do not come here")

    def rejected(self, exchange: Exchange, status: int, why: str) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...


class FiguresServer(Server):
    single_value_headers = {b"content-length", b"transfer-encoding"}

    def __init__(self, at: Address, figures: Figures, clock: Clock) -> None:
        super().__init__(at, None, _Page(figures), MOST, 16, clock=clock)
        self.figures = figures
        self.limits = ClientLimits(max_body_bytes=0, head_timeout=2.0, idle_timeout=10.0)

    def handle_request(self, exchange: Exchange) -> None:
        if exchange.method != b"GET" or exchange.target.partition(b"?")[0] != b"/metrics":
            exchange.reply(404)
            return
        exchange.reply(200, self.figures.text(), [(b"Content-Type", CONTENT_TYPE_LATEST.encode())])
