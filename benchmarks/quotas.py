"""A hard ceiling through three gateways that are asked unevenly: how much of it is used, by four ways of sharing.

    python benchmarks/quotas.py [--quick]

Ways, under the same load (its arrivals drawn for each): `even` and `today` (the project's `Restrictor`, whose
ceiling is split evenly), `escrow` (`coralvale.allowance`), `one` gateway that sees all. Scenarios: the counter
whole, lost (silent), split with a copy in each half, swapped for an empty one every 5 s, crowded (totals 1.2 s
late, four in ten turned away). Virtual time: the figures are the same on every machine. The last line is one JSON
object; shares are of the ceiling's rate, `over` is the most by which `even` or `one` passed burst + rate x t, in
units; for `escrow` the simulation itself ends with an error past 0.15 s of the rate.

The soft quotas' part of the allowance is not built yet, so this measures ceilings alone.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from allowance.simulation import play  # noqa: E402

from coralvale import interface as api  # noqa: E402
from coralvale.allowance.model import Ceiling  # noqa: E402
from coralvale.restrictor import Restrictor  # noqa: E402

CEILING = Ceiling(10.0, 20.0)
STEP, WARM = 0.05, 16
LOADS = {"90/5/5": [0.9, 0.05, 0.05], "60/30/10": [0.6, 0.3, 0.1], "busiest changes every 7 s": None}
SCENARIOS: dict[str, dict[float, str]] = {
    "whole": {},
    "lost": {0.0: "silent"},
    "split": {float(at): "fork" for at in range(0, 200, 20)}
    | {float(at): "heal" for at in range(10, 200, 20)},
    "swapped": {float(at): "swap" for at in range(0, 200, 5)},
    "crowded": {0.0: "crowded"},
}


class Passing:
    """How far admissions pass burst + rate x t over any window, in units."""

    def __init__(self) -> None:
        self.level, self.at, self.worst = CEILING.burst, 0.0, 0.0

    def note(self, now: float) -> None:
        self.level = min(CEILING.burst, self.level + CEILING.rate * (now - self.at)) - 1.0
        self.at = now
        self.worst = max(self.worst, -self.level)


def split(
    seconds: float, seed: int, weights: list[float] | None, gateways: int, asked: float
) -> tuple[float, float]:
    """Share used and the most by which the bound was passed, with `Restrictor` as it is."""
    lots, passing = random.Random(seed), Passing()
    plan = api.Plan("federal", 0.0, 0.0, ceiling_rate=CEILING.rate, ceiling_burst=CEILING.burst)
    nodes = [Restrictor(plan, gateways, 0.0, -1000.0) for _ in range(gateways)]
    used = 0
    for step in range(int(seconds / STEP)):
        now = step * STEP
        busiest = int(now / 7) % 3
        shares = weights or [0.8 if n == busiest else 0.1 for n in range(3)]
        shares = [1.0] if gateways == 1 else shares
        for node, share in zip(nodes, shares, strict=True):
            node.drain(now)
            for _ in range(int(asked * CEILING.rate * share * STEP + lots.random())):
                if not node.ceiling_wait(1.0):
                    node.charge(1.0)
                    passing.note(now)
                    used += now >= WARM
    return used / (seconds - WARM) / CEILING.rate, max(0.0, passing.worst)


def bench(seconds: float, seeds: int) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for load, weights in LOADS.items():
        for scenario, script in SCENARIOS.items():
            shares: dict[str, list[float]] = {"even": [], "escrow": [], "one": []}
            calls, over = [], 0.0
            for seed in range(seeds):
                for way, gateways in (("even", 3), ("one", 1)):
                    share, passed = split(seconds, seed, weights, gateways, 2.0)
                    shares[way].append(share)
                    over = max(over, passed)
                played = play(
                    seed, seconds, 3, CEILING, 0.0, weights, 2.0, dict(script), crashes=False, length=4.0
                )
                late = played.used[WARM : int(seconds)]
                shares["escrow"].append(sum(late) / len(late) / CEILING.rate)
                calls.append(played.calls / played.requests)
            row = {way: round(sum(values) / seeds, 3) for way, values in shares.items()}
            row["today"] = row["even"]
            row["calls_a_request"] = round(sum(calls) / seeds, 3)
            row["over"] = round(over, 2)
            result[f"{load}, {scenario}"] = row
            print(f"{load:26s} {scenario:8s} {row}", flush=True)
    return result


def main() -> int:
    asked = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    asked.add_argument("--quick", action="store_true", help="60 s and 2 seeds in place of 120 s and 8")
    quick = asked.parse_args().quick
    rows = bench(60.0, 2) if quick else bench(120.0, 8)
    whole = [row["escrow"] for name, row in rows.items() if name.endswith("whole") and "changes" not in name]
    bad = [row["escrow"] - row["even"] for name, row in rows.items() if name.endswith("lost")]
    print(
        json.dumps(
            {
                "benchmark": "quotas",
                "ceiling": {"rate": CEILING.rate, "burst": CEILING.burst},
                "rows": rows,
                "whole_worst": min(whole),
                "aim_whole": 0.95,
                "aim_whole_met": min(whole) >= 0.95,
                "lost_over_even_worst": round(min(bad), 3),
                "calls_worst": max(row["calls_a_request"] for row in rows.values()),
                "aim_calls": 0.2,
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
