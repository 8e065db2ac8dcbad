"""What membership costs, what it finds, and what quotas by owners keep beside the counter and even shares.

    python benchmarks/membership.py [--quick]

First members alone, on a virtual clock: datagrams, bytes and processor time a member a second, the time until
all know of a death, the part of all keys that a join moves. Then real gateways as processes on loopback with
customers over, near and under their quotas, three of the twelve killed on the way: the same arrivals for quotas
by owners, by the counter (a stand-in that is never short), and by even shares. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from members.cluster import Cluster  # noqa: E402

from coralvale.lab import loopback  # noqa: E402
from coralvale.lab.experiment import parse  # noqa: E402
from coralvale.members.model import Member  # noqa: E402
from coralvale.members.placement import Placement  # noqa: E402
from coralvale.members.wire import Sealer  # noqa: E402

SHOWN = (
    "served", "beyond", "half_empty", "with_room", "refused", "calls", "p50.fetch", "p99.fetch",
)  # fmt: skip


class Weighed(Cluster):
    """One that seals what it sends, as the sockets do."""

    sealer = Sealer("bench", {1: bytes(16)}, 1, b"12345678")
    size = 0  # bytes

    def _carry(self, node: Any, send: Any) -> None:
        if not send.whole:
            self.size += len(self.sealer.seal(send.packet))
        super()._carry(node, send)


def members(count: int, seconds: float) -> dict[str, float]:
    """Quiet, then one death."""
    cluster = Weighed(1)
    for n in range(count):
        cluster.start(f"m{n}")
        cluster.run(0.01)
    cluster.settle(60.0)
    cluster.run(5.0)
    sent, size, began = cluster.datagrams, cluster.size, time.process_time()
    cluster.run(seconds)
    cost, each = time.process_time() - began, count * seconds
    told = {
        "datagrams_a_s": (cluster.datagrams - sent) / each,
        "bytes_a_s": (cluster.size - size) / each,
        "us_of_cpu_a_s": 1e6 * cost / each,
    }
    at = cluster.now
    cluster.kill(f"m{count // 2}")
    while len(cluster.found[f"m{count // 2}"]) < count - 1 and cluster.now < at + 30:
        cluster.run(0.05)
    found = sorted(cluster.found[f"m{count // 2}"].values())
    told["death_known_to_first_s"] = found[0] - at
    told["death_known_to_all_s"] = found[-1] - at
    return {name: round(value, 3) for name, value in told.items()}


def keys(count: int) -> dict[str, float]:
    made = Placement([Member(f"m{n}", ("h", n + 1)) for n in range(count)])
    lots = random.Random(1)
    held = [lots.randrange(1 << 64).to_bytes(8) for _ in range(10_000)]
    began = time.process_time()
    for key in held:
        made.owner(key)
    found = time.process_time() - began
    began = time.process_time()
    made.join(Member("new", ("h", 9999)))
    took = time.process_time() - began
    moved = sum(owner is not None and owner.name == "new" for owner in map(made.owner, held))
    return {
        "moved_share": moved / len(held), "even_share": 1 / (count + 1),
        "us_a_new_key": round(1e6 * found / len(held), 1),
        "ms_of_a_join": round(1e3 * took, 1),
    }  # fmt: skip


def day(quick: bool, counter: bool) -> Any:
    said: dict[str, Any] = {
        "name": "owners",
        "seconds": 12.0 if quick else 40.0,
        "fleet": {"gateways": 12, "hosts": 6, "cores": 64},
        "classes": [
            {"name": "fetch", "share": 0.7, "work": 0.05, "worth": 3.0},
            {"name": "add", "share": 0.3, "work": 0.05, "worth": 2.0, "repeat": "unsafe"},
        ],
        "plans": [
            {"name": "small", "share": 0.6, "rate": 0.7, "burst": 2.5, "excess_cost": 0.8},
            {"name": "middle", "share": 0.4, "rate": 1.3, "burst": 5.0, "excess_cost": 1.2},
        ],
        "load": {"customers": 150, "rate": 100.0, "hot": 1, "hot_times": 20.0, "over": 0.1, "near": 0.2,
                 "spikes": 0.2},
        "measure": {"warm_up": 4.0},
        "timeline": [{"at": 8.0, "what": "gateway.kill", "share": 0.25, "by": 1.0}],
    }  # fmt: skip
    if counter:
        said["counter"] = {"capacity": 1e5}
    return parse(said)


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--quick", action="store_true", help="smaller fleets, one seed")
    asked = words.parse_args()
    told: dict[str, Any] = {"members": {}, "keys": {}, "quotas": {}}
    for count in (3, 50, 200) if asked.quick else (3, 50, 200, 500, 1000):
        told["members"][count] = members(count, 5.0 if count <= 200 else 2.0)
        told["keys"][count] = keys(count)
        print(f"{count} members: {told['members'][count]}", file=sys.stderr)
    for name, counter, owners in (("owners", True, True), ("counter", True, False), ("even", False, False)):
        runs = [
            asyncio.run(loopback.play(day(asked.quick, counter), seed, owners))
            for seed in ((1,) if asked.quick else (1, 2, 3))
        ]
        told["quotas"][name] = {f: round(statistics.mean(run.get(f, 0.0) for run in runs), 4) for f in SHOWN}
        print(f"{name}: {told['quotas'][name]}", file=sys.stderr)
    print(json.dumps(told))


if __name__ == "__main__":
    main()
