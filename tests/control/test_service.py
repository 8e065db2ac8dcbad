"""The control service on sockets: drains through every failure, limits, recovery, what operators see."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import grpc
import pytest
from control.world import GRACE, SERVICE, Process, World, all_have, config, service, world
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from envoy.service.status.v3 import csds_pb2, csds_pb2_grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc
from net_helpers import run, soon, until

from coralvale.control.model import CLUSTER, ENDPOINTS, LISTENER, ROUTE
from coralvale.control.roster import State
from coralvale.control.service import ControlService
from coralvale.operator import Control, ControlQuotas
from coralvale.standins.clients import Client
from coralvale.standins.counter import Tally
from coralvale.standins.discovery import entry
from coralvale.standins.gateways import free_port
from coralvale.standins.hosts import Host
from coralvale.standins.proxies import Proxy, QuotaProxy

LEASE = 300  # ms


async def fleet(w: World, count: int = 20, rate: float = 25.0) -> None:
    """Proxies of both kinds that carry requests."""
    await asyncio.gather(*(w.proxy(f"proxy-{i}", bool(i % 2), rate) for i in range(count)))


def served(w: World) -> int:
    return sum(p.results["served"] for p in w.proxies)


def test_after_a_drain_no_request_reaches_the_host() -> None:
    """Twenty proxies, half of them delta; the host is later removed, then comes back cold."""

    async def test() -> None:
        async with world() as w, service(w, restate_ms=100) as control:
            await fleet(w)
            await until(lambda: served(w) > 100)
            told = await w.drain("s-0")
            assert w.hosts["s-0"].arrivals
            await until(lambda: control.drains.records and not control.drains.waiting())
            record = control.drains.records[0]
            assert len(record.streams) == 20 and control.counts["late"] == 0
            for seen in record.streams.values():
                assert seen.written_at and seen.acked_at and seen.acked_at - told < 0.5
            assert await w.late("s-0", told, 0.3) == 0
            assert {p.hosts(healthy=False) == {"s-0", "s-1", "s-2", "s-3"} for p in w.proxies} == {True}
            w.roster.tell("s-0", status="left")
            await until(lambda: all("s-0" not in p.hosts(healthy=False) for p in w.proxies))
            w.roster.tell("s-0", address=f"127.0.0.1:{w.hosts['s-0'].port}", since_ms=time.time() * 1000)
            await until(lambda: w.hosts["s-0"].since(told + 0.5) > 0)  # its new life gets work again
            weights = [t.weight for loc in w.proxies[0].targets for t in loc if t.host == "s-0"]
            assert 0 < weights[0] < 1000
            await until(
                lambda: _weight(w.proxies[0], "s-0") == _weight(w.proxies[0], "s-1")
            )  # restated until warm
            assert sum(p.results["failed"] + p.results["turned away"] for p in w.proxies) == 0

    run(test())


def _weight(proxy: Proxy, host: str) -> float:
    (weight,) = [t.weight for locality in proxy.targets for t in locality if t.host == host]
    return weight


def test_a_drain_told_while_a_host_warms_and_the_disk_is_slow_is_still_a_drain(tmp_path: Path) -> None:
    """New weights are stated all the time; none of them may carry the drain away before it is told as one."""

    async def test() -> None:
        async with world() as w, service(w, restate_ms=50, state_dir=str(tmp_path)) as control:
            await fleet(w, 2, rate=0.0)
            assert control.store is not None
            save = control.store.save

            def slow(saved: Any) -> None:
                time.sleep(0.2)
                save(saved)

            control.store.save = slow  # type: ignore[method-assign]
            w.roster.tell("s-1", since_ms=time.time() * 1000)
            for name in ("s-0", "s-2"):
                await asyncio.sleep(0.15)
                told = await w.drain(name)
                await until(lambda: not any(name in p.hosts() for p in w.proxies))  # noqa: B023
                assert time.time() - told < 0.5
            assert [r.host for r in control.drains.records] == ["s-0", "s-2"]
            assert control.counts["unsaved"] > 0
            newest = control.snapshots.newest
            assert newest is not None and newest.urgent == control.drains.records[-1].version

    run(test())


def test_a_cold_host_gets_its_share_from_all_proxies_together() -> None:
    async def test() -> None:
        rules = {"stop_sending_within_s": 0.5, "ramp_time_s": 60.0, "cold_from": 0.25}
        async with world() as w, service(w, {"rules": rules}):
            w.roster.tell("s-0", since_ms=time.time() * 1000)
            await fleet(w, 10, rate=60.0)
            before = {n: len(h.arrivals) for n, h in w.hosts.items()}
            await until(lambda: served(w) > 2000)
            got = {n: len(h.arrivals) - before[n] for n, h in w.hosts.items()}
            share = got["s-0"] / (sum(got.values()) / (3 + 0.25))
            assert 0.15 < share < 0.35, got

    run(test())


def test_a_proxy_that_comes_back_with_stale_state_is_told_the_drain_first() -> None:
    """Both kinds, carrying requests: cut off before the drain, back after it with all that they had.

    While they are away their lease ends; what they are told first when they are back takes the host away.
    """

    async def test() -> None:
        async with world() as w, service(w, endpoint_lease_ms=LEASE):
            await fleet(w, 20)
            await until(
                lambda: all(len({s.type_url for s in p.seen}) == 4 for p in w.proxies) and served(w) > 200
            )
            away = w.proxies[10:]
            for proxy in away:
                proxy.away = True
                proxy.drop()
            await until(lambda: not any(p.connected for p in away))
            told = await w.drain("s-0")
            for proxy in away:
                assert "s-0" in proxy.hosts()
                proxy.seen.clear()
            await asyncio.sleep(0.3)
            for proxy in away:
                proxy.away = False
            await all_have(w, "s-1", "s-2", "s-3")
            for proxy in away:
                kinds = [s.type_url for s in proxy.seen]
                # A delta proxy is sent what has changed and no more; one that cannot name what it has, all.
                assert set(kinds) == {ENDPOINTS} if proxy.delta else set(kinds[:2]) == {CLUSTER, ENDPOINTS}
            assert await w.late("s-0", told, 0.5) == 0

    run(test())


@pytest.mark.parametrize("trouble", ["refuses", "stops reading"])
def test_a_proxy_that_will_not_hear_of_a_drain_is_named_and_its_lease_ends(
    trouble: str, caplog: pytest.LogCaptureFixture
) -> None:
    """With a lease its endpoints lapse before the grace is over; it serves nothing rather than that host."""

    async def test() -> None:
        async with world() as w, service(w, endpoint_lease_ms=LEASE) as control:
            await fleet(w, 20)
            await until(lambda: served(w) > 200)
            for proxy in w.proxies:
                proxy.results.clear()  # what it refused before it knew any host
            bad = w.proxies[:2]  # one of each kind
            for proxy in bad:
                if trouble == "refuses":
                    proxy.refuse = lambda kind, resources: "not me" if kind == ENDPOINTS else None
                else:
                    proxy.reading.clear()
                    await until(lambda: proxy.paused)  # noqa: B023
            await asyncio.sleep(LEASE / 1000)  # so that a renewal is on its way to one that reads no more
            told = await w.drain("s-0")
            await until(lambda: control.counts["late"] >= 2)
            if trouble == "refuses":
                clients = await statuses(w)
                assert {c.node.id for c in clients if _errors(c)} <= {"proxy-0", "proxy-1"}
            assert await w.late("s-0", told, 1.0 if trouble == "refuses" else 10.0 - GRACE) == 0
            others = sum(p.results["refused"] for p in w.proxies[2:])
            assert others <= served(w) / 100 and all(p.results["refused"] > others for p in bad)
            before = [len(p.seen) for p in bad]
            for proxy in bad:
                proxy.refuse = lambda kind, resources: None
                proxy.reading.set()
            await all_have(w, "s-1", "s-2", "s-3")
            await asyncio.sleep(0.3)
            # One that reads again comes first to what was on its way when it stalled, which tells of no drain,
            # and right behind it to the drain: its stream was left open, so that nothing lies between.
            assert w.hosts["s-0"].since(told + GRACE) == 0
            if trouble != "refuses":
                waited = [[s.version for s in p.seen[n : n + 2]] for p, n in zip(bad, before, strict=True)]
                assert all(old < drained for old, drained in waited), waited
                assert not any(p.errors for p in bad)

    run(test())
    late = [m for m in caplog.messages if "drain of s-0 not acknowledged" in m and " by " in m]
    assert {m.split(" by ")[1].split(" ")[0] for m in late} == {"proxy-0", "proxy-1"}
    assert ("not me" in caplog.text) == (trouble == "refuses")


async def statuses(w: World, node: str = "") -> list[Any]:
    request = csds_pb2.ClientStatusRequest()
    if node:
        request.node_matchers.add().node_id.exact = node
    async with grpc.aio.insecure_channel(w.target) as channel:
        return list(
            (await csds_pb2_grpc.ClientStatusDiscoveryServiceStub(channel).FetchClientStatus(request)).config
        )


def _errors(client: Any) -> list[str]:
    return [x.error_state.details for x in client.generic_xds_configs if x.error_state.details]


def test_without_a_lease_a_late_proxy_is_named_in_log_metrics_and_csds(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        metrics = f"127.0.0.1:{free_port()}"
        async with world() as w, service(w, metrics=metrics) as control:
            await fleet(w, 4, rate=0.0)
            w.proxies[1].refuse = lambda kind, resources: "broken"
            await w.drain("s-0")
            await until(lambda: control.counts["late"])
            (client,) = await statuses(w, "proxy-1")
            assert any("broken" in e and "drain of s-0 not acknowledged" in e for e in _errors(client))
            well = await statuses(w, "proxy-2")
            assert {x.config_status for x in well[0].generic_xds_configs} == {csds_pb2.SYNCED}
            assert len(await statuses(w)) == 4
            host, _, port = metrics.partition(":")
            page = Client(*await asyncio.open_connection(host, int(port)))
            body = (await page.ask(b"GET /metrics HTTP/1.1\r\n\r\n")).body.decode()
            assert 'drain_unacknowledged{node="proxy-1",host="s-0"} 1' in body
            assert "coralvale_control_late_total 1" in body
            assert 'streams{kind="discovery"} 4' in body

    run(test())
    assert "by proxy-1" in caplog.text and "it refused: broken" in caplog.text


def test_one_that_does_not_read_delays_nobody_and_gets_the_newest() -> None:
    async def test() -> None:
        async with world() as w, service(w):
            await fleet(w, 4, rate=0.0)
            slow, well = w.proxies[0], w.proxies[1:]
            slow.reading.clear()
            for number in range(200):
                w.roster.tell("s-1", since_ms=1000.0 * (number + 1))
                await asyncio.sleep(0.002)
            w.roster.tell("s-0", status="leaving")
            await until(lambda: all(p.hosts() == {"s-1", "s-2", "s-3"} for p in well))
            before = len(slow.seen)
            slow.reading.set()
            await slow.has(lambda: "s-0" not in slow.hosts())
            assert len(slow.seen) - before <= 4  # one that was on its way, the drain, the newest
            for proxy in w.proxies:
                versions = [int(s.version) for s in proxy.seen if s.type_url == ENDPOINTS]
                assert versions == sorted(versions)

    run(test())


@pytest.mark.parametrize("state", [True, False])
def test_killed_after_half_the_streams_have_a_drain_it_goes_on_from_there(
    tmp_path: Path, state: bool
) -> None:
    """SIGKILL, and back a second later: nobody sends to the drained host, and nothing older is served."""

    async def test() -> None:
        async with world() as w:
            control = Process(w, tmp_path, LEASE, state)
            await control.start()
            await fleet(w, 20)
            await until(lambda: served(w) > 200)
            half = w.proxies[10:]
            for proxy in half:
                proxy.reading.clear()
            await until(lambda: all(p.paused for p in half))
            told = await w.drain("s-0")
            await until(lambda: all("s-0" not in p.hosts() for p in w.proxies[:10]))
            await control.end(signal.SIGKILL)
            for proxy in half:
                proxy.reading.set()
            if state:
                w.roster.stop()  # discovery is gone too: only the saved roster knows of the drain
            await asyncio.sleep(1.0)
            await control.start()
            await until(lambda: all(p.connected and p.hosts() == {"s-1", "s-2", "s-3"} for p in w.proxies))
            assert await w.late("s-0", told, 0.5) == 0
            for proxy in w.proxies:
                versions = [int(s.version) for s in proxy.seen if s.type_url == ENDPOINTS]
                assert versions == sorted(versions)
            assert await control.end() == 0
            assert ("serving the saved roster" in control.said()) == state

    run(test())


def test_a_restart_cannot_be_seen_from_outside(tmp_path: Path) -> None:
    """With a state, delta proxies that come back are sent nothing that they have."""

    async def test() -> None:
        async with world() as w:
            for _ in range(2):
                async with service(w, state_dir=str(tmp_path)) as control:
                    if not w.proxies:
                        await fleet(w, 2, rate=0.0)
                    await until(lambda: len(control.drains.streams) == 2)  # noqa: B023
                    await asyncio.sleep(0.3)
                    seen = list(w.proxies[1].seen)
                    await until(lambda: control.saving is None or control.saving.done())  # noqa: B023
            assert w.proxies[1].delta and seen == w.proxies[1].seen
            assert [s.type_url for s in seen] == [CLUSTER, ENDPOINTS, LISTENER, ROUTE]

    run(test())


def test_an_unknown_roster_is_held_back_and_an_older_one_undoes_no_drain(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with world() as w:
            w.roster.stop()
            async with service(w, state_dir=str(tmp_path)) as control:
                proxy = await w.proxy("early", delta=False, ready=False)
                await until(lambda: proxy.connected and control.connections)
                assert await healthy(w) == health_pb2.HealthCheckResponse.NOT_SERVING
                await asyncio.sleep(0.3)
                assert not proxy.seen and control.roster.state is State.UNKNOWN
                await w.roster.start()
                await proxy.has(lambda: len(proxy.hosts()) == 4)
                await until(lambda: control.healthy)
                assert await healthy(w) == health_pb2.HealthCheckResponse.SERVING
                await fleet(w, 20)
                await until(lambda: served(w) > 200)
                told = await w.drain("s-0")
                await proxy.has(lambda: "s-0" not in proxy.hosts())
                w.roster.stop()
                w.roster.index, w.roster.endpoints["s-0"] = 0, entry("s-0", 1)
                await w.roster.start()
                await until(lambda: control.roster.state is State.OLDER)
                assert "s-0" not in proxy.hosts()
            async with service(w, state_dir=str(tmp_path)) as control:
                await until(lambda: control.roster.state is State.OLDER)
                late = await w.proxy("late", delta=True, ready=False)
                await late.has(lambda: late.hosts() == {"s-1", "s-2", "s-3"})
                await until(lambda: all(p.connected for p in w.proxies))
                assert await w.late("s-0", told, 1.0) == 0

    run(test())
    assert "older list" in caplog.text


async def healthy(w: World) -> int:
    async with grpc.aio.insecure_channel(w.target) as channel:
        answer = await health_pb2_grpc.HealthStub(channel).Check(health_pb2.HealthCheckRequest())
        return int(answer.status)


def test_a_damaged_state_is_refused_by_name_and_started_without(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "roster.json").write_bytes(b"nonsense")

    async def test() -> None:
        async with world() as w, service(w, state_dir=str(tmp_path)):
            await w.proxy("p", delta=True)

    run(test())
    assert f"{tmp_path}/roster.json: " in caplog.text and "starting without it" in caplog.text


async def status_of(w: World, *requests: Any, delta: bool = False) -> tuple[str, str]:
    """Sends requests on a stream of its own and returns the status that ends it."""
    async with grpc.aio.insecure_channel(w.target) as channel:
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        call = stub.DeltaAggregatedResources() if delta else stub.StreamAggregatedResources()
        try:
            for request in requests:
                await call.write(request)
            while await soon(call.read()) is not grpc.aio.EOF:
                pass
        except grpc.RpcError:
            pass
        return (await call.code()).name, await call.details()


async def quota_status(w: World, reports: Any) -> str:
    async with grpc.aio.insecure_channel(w.target) as channel:
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas()
        await call.write(reports)
        return str((await soon(call.code())).name)


def test_limits_are_told_by_a_status_and_disturb_nobody() -> None:
    async def test() -> None:
        limits = {"names": 1000, "streams": 3, "message_bytes": 100_000, "reports_per_s": 20}
        from coralvale.operator import ControlLimits

        async with world() as w, service(w, limits=ControlLimits(**limits)) as control:
            proxy = await w.proxy("well", delta=False)
            names = [f"name-{i}" for i in range(2000)]
            asked = discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=names)
            code, text = await status_of(w, asked)
            assert code == "RESOURCE_EXHAUSTED" and "2000 names subscribed, at most 1000" in text
            more = discovery_pb2.DeltaDiscoveryRequest(type_url=ENDPOINTS, resource_names_subscribe=names)
            assert (await status_of(w, more, delta=True))[0] == "RESOURCE_EXHAUSTED"
            huge = discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=["x" * 200_000])
            assert (await status_of(w, huge))[0] == "RESOURCE_EXHAUSTED"
            two = [await w.proxy(f"more-{i}", delta=True) for i in range(2)]
            code, text = await status_of(w, asked)
            assert code == "RESOURCE_EXHAUSTED" and "3 streams are open" in text
            two[0].away = True
            two[0].drop()
            await until(lambda: len(control.connections) == 2)
            usage = rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage()
            for domain, count, code in (
                ("coralvale", 21, "RESOURCE_EXHAUSTED"),
                ("else", 1, "INVALID_ARGUMENT"),
            ):
                flood = rlqs_pb2.RateLimitQuotaUsageReports(
                    domain=domain, bucket_quota_usages=[usage] * count
                )
                assert await quota_status(w, flood) == code
            assert proxy.connected and not proxy.errors

    run(test())


def test_an_unknown_type_and_a_reused_nonce_are_passed_over() -> None:
    async def test() -> None:
        async with world() as w, service(w) as control, grpc.aio.insecure_channel(w.target) as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            node = base_pb2.Node(id="odd")
            await call.write(discovery_pb2.DiscoveryRequest(node=node, type_url="type.googleapis.com/what"))
            await call.write(discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=[SERVICE]))
            first = await soon(call.read())
            ack = discovery_pb2.DiscoveryRequest(
                type_url=ENDPOINTS, resource_names=[SERVICE], response_nonce=first.nonce
            )
            await call.write(ack)
            w.roster.tell("s-0", status="leaving")
            second = await soon(call.read())
            await call.write(ack)  # reused: it belongs to the first response
            await until(
                lambda: [c.stream.passed_over for c in control.connections.values() if c.stream] == [2]
            )
            assert control.drains.waiting()  # and acknowledges no drain
            ack.response_nonce = second.nonce
            await call.write(ack)
            await until(lambda: not control.drains.waiting())

    run(test())


def test_what_is_served_keeps_the_rules() -> None:
    """Repeats by class, panic off, no merge window, zones and both kinds of listener."""

    async def test() -> None:
        async with world() as w, service(w, proxy_address="127.0.0.1:10000") as control:
            await w.proxy("p", delta=True)
            held = control.snapshots.newest
            assert held is not None
            routes = (
                route_pb2.RouteConfiguration.FromString(held.types[ROUTE][SERVICE].body)
                .virtual_hosts[0]
                .routes
            )
            read, write, other = routes
            assert read.match.headers[0].string_match.exact == "read" and read.route.timeout.seconds == 30
            assert "reset" in read.route.retry_policy.retry_on
            assert write.route.retry_policy.retry_on == "connect-failure,refused-stream"
            assert write.route.retry_policy.num_retries.value == 3
            assert not other.match.headers and not other.route.HasField("retry_policy")
            cluster = cluster_pb2.Cluster.FromString(held.types[CLUSTER][SERVICE].body)
            assert cluster.common_lb_config.HasField("healthy_panic_threshold")
            assert cluster.common_lb_config.healthy_panic_threshold.value == 0
            assert cluster.common_lb_config.HasField("update_merge_window")
            assert cluster.common_lb_config.update_merge_window.ToNanoseconds() == 0
            listeners = {n: listener_pb2.Listener.FromString(r.body) for n, r in held.types[LISTENER].items()}
            assert listeners[SERVICE].HasField("api_listener")
            assert listeners[f"{SERVICE}-proxy"].address.socket_address.port_value == 10000
            endpoints = endpoint_pb2.ClusterLoadAssignment.FromString(held.types[ENDPOINTS][SERVICE].body)
            assert {loc.locality.zone for loc in endpoints.endpoints} == {"north", "south"}

    run(test())


def test_quotas_follow_reports_and_a_ceiling_is_held_when_a_proxy_vanishes() -> None:
    """Two proxies at twice the ceiling; one vanishes holding its part, the other asks for all of it."""

    async def test() -> None:
        quotas = ControlQuotas(assignment_ttl_s=1.0, margin_s=0.2)
        async with world(1) as w, service(w, quotas=quotas) as control:
            pair = [QuotaProxy(w.target, "coralvale", "radio-1", "federal") for _ in range(2)]
            tasks = [asyncio.ensure_future(p.run()) for p in pair]
            admitted: list[float] = []
            begun = time.monotonic()
            loads = [asyncio.ensure_future(p.load(100.0, 8.0, admitted)) for p in pair]
            await asyncio.sleep(4.0)
            tasks[0].cancel()  # its stream is gone; it uses what it holds until that ends
            await asyncio.gather(*loads)
            tasks[1].cancel()
            assert all(station.rate() <= 50 for station in control.quotas.stations.values())
            assert len(admitted) > 8 * 50 * 0.3
            for window in (0.5, 1.0, 2.0, 4.0, 8.0):
                for first in range(0, len(admitted), 11):
                    count = sum(admitted[first] <= at < admitted[first] + window for at in admitted)
                    assert count <= 60 + 50 * window + 2, (window, count, admitted[first] - begun)
            nobody = QuotaProxy(w.target, "coralvale", "radio-1", "no such plan")
            task = asyncio.ensure_future(nobody.run())
            await until(lambda: nobody.abandoned)
            task.cancel()

    run(test())


def test_two_services_share_a_ceiling_through_the_counter_and_keep_it_when_it_dies(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """One service's proxy asks for four times the ceiling, the other's for little."""
    monkeypatch.setattr("coralvale.allowance.leases.WINDOW_S", 2.0)

    async def test() -> None:
        tally = await Tally().start()
        async with world(1) as w:
            told = replace(config(w.roster.address), counter=("127.0.0.1", tally.port))
            made = []
            for place in range(2):
                quotas = ControlQuotas(assignment_ttl_s=0.5, margin_s=0.2, services=2, place=place)
                listen = f"127.0.0.1:{free_port()}"
                made.append(ControlService(told, Control(service=SERVICE, listen=listen, quotas=quotas)))
                await made[-1].start()
            pair = [QuotaProxy(f"127.0.0.1:{m.port}", "coralvale", "radio-1", "federal") for m in made]
            tasks = [asyncio.ensure_future(p.run()) for p in pair]
            admitted: list[float] = []
            loads = [
                asyncio.ensure_future(p.load(rate, 14.0, admitted))
                for p, rate in zip(pair, (200.0, 2.0), strict=True)
            ]
            lent = lambda: [  # noqa: E731
                e.rate(m.clock.now()) for m in made if m.leases for e in m.leases.escrows.values()
            ]
            await until(lambda: len(lent()) == 2 and max(lent()) > 30)  # of 50, of which 25 are its own
            assert sum(lent()) <= 50 + 1e-6 and len(tally.totals) >= 2
            await tally.kill()
            await until(lambda: "shared ceilings: counter: " in caplog.text and "-> silent" in caplog.text)
            await until(lambda: lent() == [25.0, 25.0])
            await asyncio.gather(*loads)
            for task in tasks:
                task.cancel()
            for m in made:
                await m.close()
            for window in (0.5, 1.0, 2.0, 4.0, 8.0):
                for first in range(0, len(admitted), 11):
                    count = sum(admitted[first] <= at < admitted[first] + window for at in admitted)
                    assert count <= 60 + 50 * window + 2, (window, count)

    run(test())


def test_an_address_that_is_taken_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(1) as w:
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", w.port)
            control = Process(w, tmp_path, 0, False)
            await control.start()
            assert await soon(control.process.wait()) == 1
            assert control.said().splitlines()[-1].startswith("coralvale: cannot start: 127.0.0.1:")
            server.close()

    run(test())


def test_hosts_that_drain_together_go_out_in_one_piece() -> None:
    async def test() -> None:
        async with world(6) as w, service(w) as control:
            await fleet(w, 4, rate=0.0)
            pushes = control.counts["pushes"]
            for name in ("s-0", "s-1", "s-2"):
                w.roster.tell(name, status="leaving")
            await all_have(w, "s-3", "s-4", "s-5")
            assert len(control.drains.records) == 3 and control.counts["pushes"] - pushes <= 3 * 4
            assert isinstance(w.hosts["s-0"], Host)

    run(test())
