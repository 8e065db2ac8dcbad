"""CPU and memory per request of the decisions, for a small and a large fleet, compared with another checkout.

    python benchmarks/fleet.py [--quick] [--before CHECKOUT]

Requests of many customers go through one gateway with sixty hosts: one of three gateways, then one of forty whose
counter answers each call. With `--before` the code of another checkout runs the same in alternating rounds, so
that changes of the machine's load affect both. The last line is one JSON object: microseconds per request,
kB kept per thousand customers, share of requests sent on.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path

HERE = Path(__file__).resolve()


def play(requests: int, gateways: int, entries: int) -> tuple[float, float, float]:
    """Microseconds of CPU per request, kB per thousand customers, and the share of requests sent on."""
    from coralvale import Gateway
    from coralvale import interface as api

    settings = api.Settings(
        gateways=gateways, zone=0, drain_grace=0.5, cold_share=0.24, warm_after=18.0, fall_multiple=2.0,
        fall_window=3.0, max_attempts=4, may_count=True, counter_timeout=0.03, max_advice=0.5,
        classes=(api.RequestClass("fetch", 1.7, 6.9, 3.0, api.Repeat.SAFE),),
        plans=(api.Plan("small", 0.5, 2.0, excess_cost=0.8), api.Plan("middle", 1.0, 4.0, excess_cost=1.2)),
    )  # fmt: skip
    rng, gateway, now = random.Random(1), Gateway(settings, 1), 1000.0
    hosts = tuple(api.Server(f"h{i}", api.ServerState.HEALTHY) for i in range(60))
    gateway.handle(now, api.ServerList(api.ListKind.FULL, hosts))
    totals: dict[int | str, float] = {}
    sent = 0

    def ask(now: float, request: api.Request) -> None:
        """Plays a request to its end: one left in flight would slow down all later ones."""
        nonlocal sent
        due = list(gateway.handle(now, request))
        while due:
            action = due.pop(0)
            if isinstance(action, api.Count):
                totals[action.name] = totals.get(action.name, 0.0) + action.amount
                due += gateway.handle(now + 0.005, api.CounterReply(action.name, True, totals[action.name]))
            elif isinstance(action, api.Send):
                sent += 1
                done = api.AttemptDone(action.request, 0, api.Outcome.OK, 0.15, True, usage=0.5)
                due += gateway.handle(now + 0.15, done)

    tracemalloc.start()
    customers = 2000
    for n in range(customers):
        ask(now, api.Request(f"w{n}", 0, n % 2, n, entries, now + 6.9))
        now += 0.002
    kept = tracemalloc.get_traced_memory()[0] / 1024 / customers * 1000
    tracemalloc.stop()
    sent, began = 0, time.process_time()
    for n in range(requests):
        now += 0.01
        if n % 10 == 0:
            gateway.handle(now, api.TimerFired(0))
        ask(now, api.Request(f"r{n}", 0, n % 2, rng.randrange(customers), entries, now + 6.9))
    return (time.process_time() - began) / requests * 1e6, kept, sent / requests


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="fewer requests and rounds")
    parser.add_argument("--before", type=Path, help="a checkout to measure beside this one")
    parser.add_argument("--play", nargs=3, type=int, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.play:
        print(json.dumps(play(*given.play)))
        return 0
    trees = {"now": HERE.parent.parent}
    if given.before:
        if not (given.before / "coralvale").is_dir():
            print(f"fleet.py: {given.before}: no checkout", file=sys.stderr)
            return 2
        trees["before"] = given.before.resolve()
    requests, rounds = (5_000, 3) if given.quick else (20_000, 9)
    results: dict[str, dict[str, float]] = {}
    for name, (gateways, entries) in {"small": (3, 3), "large": (40, 30)}.items():
        figures: dict[str, list[list[float]]] = {tree: [] for tree in trees}
        for number in range(rounds):
            print(f"{name}: round {number + 1} of {rounds}", file=sys.stderr)
            for tree, path in trees.items():
                command = [sys.executable, str(HERE), "--play", str(requests), str(gateways), str(entries)]
                env = {**os.environ, "PYTHONPATH": str(path)}
                out = subprocess.run(command, env=env, check=True, capture_output=True, text=True).stdout
                figures[tree].append(json.loads(out))
        results[name] = {}
        for tree, rows in figures.items():
            results[name][f"{tree}_us"] = round(statistics.median(row[0] for row in rows), 1)
            results[name][f"{tree}_kb"] = round(statistics.median(row[1] for row in rows), 1)
            results[name][f"{tree}_sent"] = round(statistics.median(row[2] for row in rows), 3)
    print(json.dumps(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
