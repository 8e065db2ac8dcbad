"""Sends one large valid order to a cluster of real gateways, and small ones behind it.

    python experiments/orders/valid_order.py [--routes N] [--tenants N]

Five gateways on loopback, three with disks. Once the large order, a whole configuration, is acknowledged, small
updates follow each other; each has to be acknowledged within AckMs (5 s, and 3 ms for each route). Each gateway
is asked whether it is ready twenty times a second all the while. Prints one JSON line with the longest time that
each gateway took to answer that, and the leaders that were elected; the exit code is 1 where an order was late.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from coralvale.standins.cluster import CTL, READY, LocalCluster, call, configuration  # noqa: E402

ACK_S = 5.0  # AckMs of the users' sites
ACK_S_PER_ROUTE = 0.003
SILENCE_S = 1.0  # after which an operator tries the next gateway
SILENCE_S_PER_MB = 0.2  # longer for large bodies
PAUSE_S = 0.1  # between two tries
PROBE_INTERVAL_S = 0.05
PROBE_PATIENCE_S = 60.0
SETTLE_S = 3.0  # from the first configuration on
SMALL_ORDERS = 5
TRIES = 400
VIEW_EVENT = "E203"


def large_order(routes: int, tenants: int) -> dict[str, Any]:
    """A valid whole configuration."""
    order = configuration(2, ["s"])
    route = next(iter(order["Routes"].values()))
    for number in range(routes):
        order["Routes"][f"r{number}"] = {**route, "PathPrefix": f"/{number}/"}
    for number in range(tenants):
        order["Tenants"][f"t{number}"] = {"ApiKeys": [f"k{number}"], "Prio": 1, "RatePerS": 6, "Burst": 6}
    return order


def small_order(version: int) -> dict[str, Any]:
    """An update of one route."""
    name, route = next(iter(configuration(version, ["s"])["Routes"].items()))
    return {"Ver": version, "Upsert": {"Routes": {name: {**route, "TargetMs": 400 + version}}}}


async def send(cluster: LocalCluster, operation: str, order: dict[str, Any], base: int) -> tuple[int, float]:
    """Sends an order until it has a clear answer; returns its status (0: none) and the seconds that it took."""
    body = json.dumps(order).encode()
    started_at, silence = time.monotonic(), SILENCE_S + SILENCE_S_PER_MB * len(body) / 1e6
    head = {"X_Myrtlehatch_Base_Version": str(base)}
    for number in range(TRIES):
        ip = cluster.ips[number % len(cluster.ips)]
        answer = await call(ip, CTL, "POST", f"/rpc?call={operation}", body, silence, **head)
        if answer and answer.status < 500:
            return answer.status, time.monotonic() - started_at
        await asyncio.sleep(PAUSE_S)
    return 0, time.monotonic() - started_at


async def probe(ip: str, longest: dict[str, float]) -> None:
    """Asks a gateway whether it is ready, again and again; keeps the longest time until it answers."""
    while True:
        started_at = time.monotonic()
        await call(ip, READY, "GET", "/readyz", patience=PROBE_PATIENCE_S)
        longest[ip] = max(longest.get(ip, 0.0), time.monotonic() - started_at)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def play(routes: int, tenants: int) -> dict[str, Any]:
    """One play; the result by name."""
    cluster = LocalCluster(net="127.78.12")
    longest: dict[str, float] = {}
    try:
        await cluster.start()
        status, _ = await send(cluster, "config.replace", configuration(1, ["s"]), 0)
        assert status == 200, f"the first configuration got {status}"
        await asyncio.sleep(SETTLE_S)
        views = sum(cluster.log(number).count(VIEW_EVENT) for number in range(len(cluster.ips)))
        probes = [asyncio.create_task(probe(ip, longest)) for ip in cluster.ips]
        order = large_order(routes, tenants)
        large = await send(cluster, "config.replace", order, 1)
        small = [await send(cluster, "config.update", small_order(3 + n), 2 + n) for n in range(SMALL_ORDERS)]
        for task in probes:
            task.cancel()
        views = sum(cluster.log(number).count(VIEW_EVENT) for number in range(len(cluster.ips))) - views
    finally:
        await cluster.stop()
    due = ACK_S + ACK_S_PER_ROUTE * routes
    return {
        "megabytes": round(len(json.dumps(order)) / 1e6, 1),
        "large": [large[0], round(large[1], 2)],
        "small": [[status, round(seconds, 2)] for status, seconds in small],
        "late": sum(status != 200 or seconds > due for status, seconds in [large, *small]),
        "longest_silence_s": [round(longest[ip], 2) for ip in cluster.ips],
        "elections_noted": views,
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routes", type=int, default=10, help="routes of the large order")
    parser.add_argument("--tenants", type=int, default=100_000, help="tenants of the large order")
    options = parser.parse_args()
    result = asyncio.run(play(options.routes, options.tenants))
    print(json.dumps(result))
    return 1 if result["late"] else 0


if __name__ == "__main__":
    sys.exit(main())
