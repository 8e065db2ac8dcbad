"""How fast the laboratory plays, and what whole gateways cost beside the decisions alone.

Aim: 200 gateways, 200 hosts, 5,000 customers, 1,000 first tries a second, in at most three times real time on
one core with the decisions alone, with memory that does not grow. One JSON object as the last line.
"""

from __future__ import annotations

import argparse
import json
import resource
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from coralvale.lab import policies, runs  # noqa: E402
from coralvale.lab.experiment import parse  # noqa: E402
from coralvale.lab.explore import Bounds, explore  # noqa: E402
from coralvale.lab.model import Experiment  # noqa: E402
from coralvale.lab.runs import Job  # noqa: E402
from coralvale.lab.world.platform import Platform  # noqa: E402


def platform(gateways: int, hosts: int, customers: int, rate: float, seconds: float) -> Experiment:
    return parse(
        {
            "name": "bench",
            "seconds": seconds,
            "classes": [
                {"name": "fetch", "share": 0.7, "work": 0.1, "worth": 3.0},
                {"name": "add", "share": 0.3, "work": 0.08, "worth": 2.0, "repeat": "unsafe"},
            ],
            "plans": [
                {"name": "small", "share": 5, "rate": 0.7, "burst": 2.5, "excess_cost": 0.8},
                {"name": "middle", "share": 4, "rate": 1.3, "burst": 5.0, "excess_cost": 1.2},
            ],
            "fleet": {"gateways": gateways, "hosts": hosts, "zones": min(3, hosts)},
            "load": {"customers": customers, "rate": rate, "hot": 2, "light": 0.3},
            "counter": {"capacity": 1.6 * rate},
            "timeline": [{"at": seconds / 2, "what": "host.kill", "share": 0.1, "lasts": 3.0}],
        }
    )


def memory() -> float:
    """MB that the process has now; its highest mark would hide what grows below an earlier run's."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--quick", action="store_true", help="a tenth of it")
    asked = words.parse_args()
    part = 0.1 if asked.quick else 1.0
    told: dict[str, object] = {}

    # The thing to beat is time itself; beside it the plainest policy, which is what the world costs by itself.
    seconds = 60.0 * part + 4.0
    made = platform(200, 200, 5000, 1000.0, seconds)
    for name in ("ours", "plain"):
        began = time.process_time()
        left = runs.play(made, Job((), 1, name))
        took = time.process_time() - began
        tries = left.figures["asked"] * left.figures["tries"]
        told[name] = {
            "times_real_time": round(took / seconds, 3),
            "asked": left.figures["asked"],
            "us_a_try": round(1e6 * took / tries, 1),
        }
        print(f"{name}: {seconds:g} s in {took:.1f} s of one core", file=sys.stderr)

    # Memory: the second half of a long run may not need more than the first.
    long = platform(20, 20, 500, 100.0, 3600.0 * part)
    world, marks = Platform(long, 1, "ours", policies.factory("ours")), list[float]()
    quarter = max(1, int(long.seconds / 4))
    world.run(lambda second: marks.append(memory()) if second % quarter == 0 else None)
    told["long_run"] = {"seconds": long.seconds, "mb_by_quarter": [round(m, 1) for m in marks]}

    made = platform(12, 18, 300, 120.0, 20.0 * max(part, 0.5))
    for name in ("ours", "node"):
        began = time.process_time()
        left = runs.play(made, Job((), 1, name))
        told[f"small_{name}"] = {"times_real_time": round((time.process_time() - began) / made.seconds, 3),
                                 "score": left.figures["score"]}  # fmt: skip

    began = time.process_time()
    found = explore(Bounds(depth=4 if asked.quick else 5))
    told["explored"] = {"states": found.states, "met_again": found.met_again, "leaves": found.leaves,
                        "states_a_second": round(found.states / (time.process_time() - began))}  # fmt: skip
    print(json.dumps(told))


if __name__ == "__main__":
    main()
