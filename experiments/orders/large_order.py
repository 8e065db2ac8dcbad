"""Sends one large invalid order to a cluster of real gateways, and small valid ones behind it.

    python experiments/orders/large_order.py [--routes N] [--numbers N] [--after S]

Five gateways on loopback, three with disks. The large order is a whole configuration of `--routes` valid routes
and one that has no tries, or (`--numbers`) of one route whose split is a list of numbers. The operator sends it
on to the next gateway where it gets no clear answer, as PROTOCOL.md says. Small orders follow each other from
`--after` seconds on; each has to be acknowledged within AckMs (5 s). Prints one JSON line; the exit code is 1
where one was not.
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

from coralvale.standins.cluster import CTL, LocalCluster, call, configuration  # noqa: E402

ACK_S = 5.0  # AckMs of the users' sites
SILENCE_S = 1.0  # after which an operator tries the next gateway
SILENCE_S_PER_MB = 0.2  # longer for large bodies
PAUSE_S = 0.1  # between two tries
SETTLE_S = 3.0  # from the first configuration on
SMALL_ORDERS_AFTER = 3  # the end of the large order
TRIES = 40


def large_order(routes: int, numbers: int) -> bytes:
    """The body of the large order. It is invalid by its last route alone."""
    order = configuration(2, ["s"])
    name, route = next(iter(order["Routes"].items()))
    if numbers:
        order["Routes"][name] = {**route, "Split": [1] * numbers}
    for number in range(routes):
        order["Routes"][f"r{number}"] = {**route, "PathPrefix": f"/{number}/"}
    order["Routes"]["last"] = {**route, "Tries": 0}
    return json.dumps(order).encode()


async def send(cluster: LocalCluster, body: bytes, base: int) -> tuple[int, float]:
    """Sends an order until it has a clear answer; returns its status (0: none) and the seconds that it took."""
    started_at, silence = time.monotonic(), SILENCE_S + SILENCE_S_PER_MB * len(body) / 1e6
    head = {"X_Myrtlehatch_Base_Version": str(base)}
    for number in range(TRIES):
        ip = cluster.ips[number % len(cluster.ips)]
        answer = await call(ip, CTL, "POST", "/rpc?call=config.replace", body, silence, **head)
        if answer and answer.status < 500:
            return answer.status, time.monotonic() - started_at
        await asyncio.sleep(PAUSE_S)
    return 0, time.monotonic() - started_at


async def play(routes: int, numbers: int, wait: float) -> dict[str, Any]:
    """One play; the result by name. `wait`: s from the large order until the first small one."""
    cluster = LocalCluster(net="127.78.11")
    try:
        await cluster.start()
        status, _ = await send(cluster, json.dumps(configuration(1, ["s"])).encode(), 0)
        assert status == 200, f"the first configuration got {status}"
        await asyncio.sleep(SETTLE_S)
        body = large_order(routes, numbers)
        large = asyncio.create_task(send(cluster, body, 1))
        await asyncio.sleep(wait)
        small: list[tuple[int, float]] = []
        version, after = 1, 0
        while after < SMALL_ORDERS_AFTER:
            after += large.done()
            following = json.dumps(configuration(version + 1, ["s"])).encode()
            small.append(await send(cluster, following, version))
            version += small[-1][0] == 200
        status, seconds = await large
    finally:
        await cluster.stop()
    late = [seconds for status, seconds in small if status != 200 or seconds > ACK_S]
    return {
        "megabytes": round(len(body) / 1e6, 1),
        "large": [status, round(seconds, 2)],
        "small": len(small),
        "slowest_small_s": round(max(seconds for _, seconds in small), 2),
        "late_small": len(late),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routes", type=int, default=10_000, help="valid routes of the large order")
    parser.add_argument("--numbers", type=int, default=0, help="numbers in the split of a route")
    parser.add_argument("--after", type=float, default=0.1, help="s until the first small order")
    options = parser.parse_args()
    result = asyncio.run(play(options.routes, options.numbers, options.after))
    print(json.dumps(result))
    return 1 if result["late_small"] else 0


if __name__ == "__main__":
    sys.exit(main())
