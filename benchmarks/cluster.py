"""CPU cost of the cluster's decisions beside the single-process gateway's, and how it grows with the fleet.

  request   CPU of the decisions about one request: route, key, bucket, instance, answer. Compared with
            `coralvale.Gateway.handle` for a request and its answer with as many hosts, in the same run; also
            with every service bound to a region.
  fleet     for 12, 68, 96 and 500 gateways: CPU of one step of quota metering and of one received report;
            bytes per second that a gateway sends, idle and under load, and of them between zones; datagrams
            per second that it sends and receives. In a large fleet carriers batch the reports: what a carrier
            and another gateway send and receive, compared with all-to-all in the same run.
  change    CPU of one change by name in a configuration of 5,000 routes, and of finding a route in it.
  live      gateways as processes on loopback, three with disks: ms from an acknowledgement until the last
            gateway has the change, and s from the restart of all after a kill of all until the first and the
            last are ready. All share the machine's cores.

Prints one line of JSON at the end.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import random
import time
from collections.abc import Callable
from typing import Any

from coralvale import Gateway
from coralvale import interface as api
from coralvale.cluster.configuration.history import Change, ChangeHistory, pack
from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import Instance, InstancePool
from coralvale.cluster.routing.home import HomeRegion
from coralvale.cluster.routing.router import Job, Router
from coralvale.cluster.server.gossip import (
    IN_FLIGHT_INTERVAL_S,
    IN_FLIGHT_LINK_SHARE,
    MAX_IN_FLIGHT_MESSAGES_PER_S,
    RELAYED_IN_FLIGHT_BYTES,
    RELAYED_IN_FLIGHT_INTERVAL_S,
)
from coralvale.cluster.server.membership import LARGE_FLEET_ABOVE
from coralvale.cluster.server.messages import GossipMessage, encode, pack_in_flight, pack_usage
from coralvale.cluster.server.relay import BATCH_INTERVAL_S, RelayBatch
from coralvale.cluster.settings import Bounds
from coralvale.standins.cluster import LocalCluster, configuration

HOSTS, TENANTS, UDP = 30, 8, 28
RULE = Rule(5.0, 0.1, 20.0)


def config(routes: int, tenants: int = TENANTS) -> dict[str, Any]:
    return {
        "Ver": 1,
        "Routes": {
            f"r{n}": {
                "Vhost": "a.example", "PathPrefix": f"/p{n}/", "Kind": "idempotent", "TimeoutMs": 2500,
                "TargetMs": 400, "Tries": 2, "Svc": "s",
            }
            for n in range(routes)
        },
        "Svcs": {"s": {"HealthPath": "/h", "MaxConns": 100}},
        "Tenants": {f"t{n}": {"ApiKeys": [f"k{n}"], "RatePerS": 1e6, "Burst": 1e6} for n in range(tenants)},
    }  # fmt: skip


def microseconds(what: Callable[[], object], rounds: int) -> float:
    """CPU of one call in microseconds, the best of five runs."""
    best = float("inf")
    for _ in range(5):
        begun = time.process_time()
        for _ in range(rounds):
            what()
        best = min(best, (time.process_time() - begun) / rounds)
    return best * 1e6


def cluster_request(now: list[float], bound: bool = False) -> Callable[[], object]:
    """A function that decides on one request. `now`: clock, s; `bound`: routes are bound to its region."""
    register = Register(1.5)
    for n in range(HOSTS):
        register.merge(0.0, Row(f"i-{n}", "s", "10.0.0.1", n + 1, "z", "v", 4, 0, 0.0, 1))
    chance = random.Random(1)
    limiter = RateLimiter(RULE, "alone")
    limiter.holding.own_all()
    home = HomeRegion("home", {"z": "home"})
    home.core_heard_at = 1e18
    router = Router(Bounds(RetryExtra=64), InstancePool(register, "z", chance, home), limiter, chance)
    text = config(12)
    if bound:
        text["Svcs"]["s"]["Region"] = "home"
    configuration = parse_configuration(text, Configuration())
    assert isinstance(configuration, Configuration)
    router.take_configuration(configuration)

    def request() -> None:
        now[0] += 0.02
        if now[0] - limiter.stepped_at >= PERIOD:
            limiter.step(now[0])
            limiter.usage_report(now[0])
        if home.routes:  # as the edge server does for each head
            router.check_head(now[0], "a.example", "/p3/x")
        job = router.admit(now[0], b"id", "a.example", "/p3/x", "k3", 1.5)
        assert isinstance(job, Job)
        instance = router.pick(now[0], job)
        assert isinstance(instance, Instance)
        router.try_ended(now[0] + 0.1, job, instance, 1, api.Outcome.OK, 200, 0.1)

    return request


def single_process_request(now: list[float]) -> Callable[[], object]:
    settings = api.Settings(
        gateways=12,
        zone=0,
        classes=(api.RequestClass("read", aim=0.4, give_up=2.5, worth=1.0, repeat=api.Repeat.SAFE),),
        plans=(api.Plan("basic", rate=1e6, burst=1e6),),
        drain_grace=0.5, cold_share=0.25, warm_after=10.0, fall_multiple=2.0, fall_window=3.0, max_attempts=4,
    )  # fmt: skip
    gateway = Gateway(settings, seed=1)
    servers = tuple(api.Server(f"i-{n}", api.ServerState.HEALTHY) for n in range(HOSTS))
    gateway.handle(0.0, api.ServerList(api.ListKind.FULL, servers))
    serial = [0]

    def request() -> None:
        now[0] += 0.02
        serial[0] += 1
        name = f"r-{serial[0]}"
        if serial[0] % 25 == 0:
            gateway.handle(now[0], api.TimerFired(0))
        gateway.handle(now[0], api.Request(name, 0, 0, serial[0] % TENANTS, 12, now[0] + 2.5))
        gateway.handle(now[0] + 0.1, api.AttemptDone(name, 0, api.Outcome.OK, 0.1, True, usage=0.5))

    return request


def carrier_traffic(gateways: int, zones: int, word: int, out: int) -> dict[str, float]:
    """Traffic of a zone's two carriers over ten seconds, counted on real batches.

    They carry reports of all gateways and in-flight counts of their own zone. `word`, `out`: sizes in bytes.
    """
    chance, near = random.Random(3), gateways // zones
    every = max(
        RELAYED_IN_FLIGHT_INTERVAL_S, near * RELAYED_IN_FLIGHT_BYTES / (IN_FLIGHT_LINK_SHARE * 2e6 / 8)
    )
    sent_datagrams = []
    for number in range(gateways):
        ip = f"10.0.{number >> 8}.{number & 255}"
        for kind, size, period in ((b"W", word, PERIOD), (b"O", out, every)):
            if kind == b"W" or number < near:
                at = period * chance.random()
                while at < 10.0:
                    sent_datagrams.append((at, ip, kind + bytes(size), kind == b"W" and number < near))
                    at += period
    sent_datagrams.sort()
    got = size = 0
    slots: list[dict[int, RelayBatch]] = [{}, {}]
    for n, (at, ip, whole, onward) in enumerate(sent_datagrams):
        slots[n % 2].setdefault(int(at / BATCH_INTERVAL_S), RelayBatch()).add(ip, whole, onward)
    sent = 0
    for of in slots:
        for batch in of.values():
            here, abroad = batch.take()
            got += len(here)
            size += sum(len(d) + 1 + UDP for d in here)
            sent += len(here) * (near - 1) + len(abroad) * (zones - 1)
    own = 1 / PERIOD + 1 / every
    return {
        "datagrams_s": round(own + got / 10),
        "carrier_datagrams_s": round((sent / 2 + len(sent_datagrams) / 2) / 10),
        "got_bytes_s": round(size / 10),
        "carrier_bytes_s": round(size * near / 2 / 10),
    }


def fleet(gateways: int, zones: int, quick: bool) -> dict[str, float]:
    """Costs of one gateway of many: 80 tenants, of which each gateway serves some; 2 instances a gateway."""
    tenants, limiter, chance = 80, RateLimiter(RULE), random.Random(2)
    use = {f"t{n}": (chance.randrange(1, 9), chance.randrange(3)) for n in range(tenants // 2)}
    others = [f"10.0.{n >> 8}.{n & 255}" for n in range(gateways - 1)]
    for other in others:
        limiter.usage.record_peer(0.0, other, use)
    for n in range(tenants):
        limiter.request(0.0, f"t{n}", 100.0, 100.0)
    at = [0.0]

    def step() -> None:
        at[0] += PERIOD
        limiter.step(at[0])

    def report_received() -> None:
        limiter.usage.record_peer(at[0], others[0], use, False)

    def word(usage: dict[str, tuple[int, int]]) -> int:
        return len(
            encode(
                GossipMessage(9, 1 << 31, 5, "10.0.0.1", (), pack_usage(usage), False, [("i-7f3a91c2", 40)])
            )
        )

    sends = (gateways - 1) / zones + zones - 1
    changed = dict(list(use.items())[: tenants // 8])
    idle = (word({}) + 1 + UDP) / PERIOD
    every = max(IN_FLIGHT_INTERVAL_S, (gateways - 1) / MAX_IN_FLIGHT_MESSAGES_PER_S)
    near = gateways / zones - 1
    out = len(pack_in_flight([(n, 1) for n in range(6)])) + 1 + UDP
    words = (word(changed) + 1 + UDP) / PERIOD
    # To each gateway of the zone, to one of each other zone, and what comes from there to each of the zone.
    apart = (
        gateways - 1 <= LARGE_FLEET_ABOVE
    )  # in-flight counts are sent apart; else other zones get them in reports
    far = out / every if apart else (out - 1 - UDP) / PERIOD
    loaded = words * (near + zones - 1) + out * near / every + far * (zones - 1)
    passed = (words + far) * (zones - 1) * near

    def datagrams(apart: bool) -> float:
        abroad = (1 / PERIOD + apart / every) * (zones - 1)
        return 2 * ((1 / PERIOD + 1 / every) * near + abroad + abroad * near)

    rounds = 20 if quick else 200
    joined = carrier_traffic(gateways, zones, word(changed) + out, out - UDP) if not apart else {}
    return {
        "gateways": gateways,
        "step_us": round(microseconds(step, rounds), 1),
        "heard_us": round(microseconds(report_received, rounds * 5), 2),
        "idle_bytes_s": round(idle * sends),
        "loaded_bytes_s": round(loaded + passed),
        "between_zones_bytes_s": round((words + far) * (zones - 1)),
        "datagrams_s": round(datagrams(apart)),
        **({"all_tell_all": round(datagrams(apart)), **joined} if joined else {}),
    }


def change(quick: bool) -> dict[str, float]:
    history = ChangeHistory()
    body = json.dumps(config(5000)).encode()
    begun = time.process_time()
    assert history.validate(Change(0, True, body)) is None and history.deliver(pack(Change(0, True, body)))
    first = time.process_time() - begun

    def by_name() -> None:
        version = history.configuration.version
        row = {**config(1)["Routes"]["r0"], "TimeoutMs": 1000 + version}
        one = Change(
            version, False, json.dumps({"Ver": version + 1, "Upsert": {"Routes": {"r7": row}}}).encode()
        )
        assert history.validate(one) is None and history.deliver(pack(one))

    return {
        "routes": 5000,
        "first_ms": round(first * 1e3, 1),
        "by_name_ms": round(microseconds(by_name, 2 if quick else 10) / 1e3, 2),
        "route_us": round(
            microseconds(lambda: history.configuration.route("a.example", "/p4999/a/b/c"), 2000), 2
        ),
    }


def log_time(line: str) -> float:
    """Time of a log line, in seconds of the day."""
    hours, minutes, seconds = line.split(" ", 1)[0].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


async def live(gateways: int) -> dict[str, float]:
    """Times on a cluster on loopback: one change, then a kill and a restart of all."""
    net = f"127.{os.getpid() % 200 + 20}.{gateways}"
    cluster = await LocalCluster(gateways, 3, net).start()

    def lines(event: str) -> list[float]:
        """When each gateway last logged an event, in seconds of the day; NaN if never."""
        found = []
        for number in range(gateways):
            times = [log_time(line) for line in cluster.log(number).splitlines() if event in line]
            found.append(times[-1] if times else math.nan)
        return found

    async def all_have(event: str) -> None:
        await cluster.until(lambda: not any(math.isnan(at) for at in lines(event)), 120.0)

    async def all_ready() -> None:
        """Waits until all are ready: a gateway reports that only when it is asked, as the platform does."""
        await asyncio.gather(*(cluster.until(lambda n=n: cluster.ready(n), 120.0) for n in range(gateways)))  # type: ignore[misc]

    try:
        await cluster.host("schedule")
        first = await cluster.send("config.replace", configuration(1, ["schedule"], 0.0), 0)
        assert first and first.status == 200
        await all_ready()
        change = {"Ver": 2, "Upsert": {"Tenants": {"second": {"ApiKeys": ["k2"]}}}}
        found = await cluster.send("config.update", change, 1)
        assert found and found.status == 200
        await all_have("E301 configuration 2 ")
        acknowledged = [at for at in lines("E302 change to version 2 ") if not math.isnan(at)]
        spread = max(lines("E301 configuration 2 ")) - min(acknowledged)
        await asyncio.gather(*(cluster.kill(number) for number in range(gateways)))
        for number in range(gateways):
            (cluster.path / f"log-{number}").write_text("")
        for number in range(gateways):
            await cluster.begin(number)
        await all_ready()
        begun, ready = min(lines("E101 ")), lines("E102 ")
    finally:
        await cluster.stop()
    return {
        "gateways": gateways,
        "spread_ms": round(spread * 1000, 1),
        "ready_first_s": round(min(ready) - begun, 2),
        "ready_last_s": round(max(ready) - begun, 2),
    }


def main() -> None:
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("--quick", action="store_true", help="fewer rounds")
    quick = arguments.parse_args().quick
    rounds = 400 if quick else 4000
    ours, present = (
        microseconds(cluster_request([0.0]), rounds),
        microseconds(single_process_request([0.0]), rounds),
    )
    times = ours / present
    at_home = microseconds(cluster_request([0.0], bound=True), rounds)
    print(f"bound to a region: {at_home:.1f} us, {at_home / ours:.2f} times")
    print(f"decisions of a request: {ours:.1f} us, the present program's {present:.1f} us, {times:.2f} times")
    rows = [fleet(n, zones, quick) for n, zones in ((12, 3), (68, 4), (96, 3), (500, 4))]
    for row in rows:
        print(row)
    changes = change(quick)
    print(changes)
    alive = [asyncio.run(live(n)) for n in ((6,) if quick else (12, 48, 96))]
    for row in alive:
        print(row)
    summary = {
        "request_us": round(ours, 1),
        "present_us": round(present, 1),
        "times": round(ours / present, 2),
        "bound_us": round(at_home, 1),
    }
    print(json.dumps({**summary, "fleet": rows, "change": changes, "live": alive}))


if __name__ == "__main__":
    main()
