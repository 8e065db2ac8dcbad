"""Days of the users' bench on which copies sour, and what their logs say of them.

  day SITE --seed N       prints a day (TOML) of a site file: its busiest traffic, a tenant that sends many times
                          its usual, and one to three copies at a time that lose or spoil most of their answers
  read LOG [--alone LOG]  from gateways' logs with every try (MYRTLEHATCH_LOG=DEBUG): for each copy that soured,
                          seconds from its first ill answer until the last node had moved off it, and what it
                          still got. Beside it the same day, where each node learns alone: the thing to beat.

`read` takes many logs, ends with one JSON line, and measures as `coralvale lab souring` does: a node has moved
off when it sends a copy less than a twentieth of its even share for three seconds.
"""

from __future__ import annotations

import argparse
import json
import random
import re
import tomllib
from collections import defaultdict
from pathlib import Path
from statistics import median
from typing import Any

from two_regions import inline

from coralvale.lab.souring import KEPT_OFF, OFF

TRY = re.compile(r"^\s*(-?\d+\.\d+) (\S+) .*E512 request (\S+): try (\d+) to host (\S+)")
ENDED = re.compile(r"^\s*(-?\d+\.\d+) (\S+) .*E513 request (\S+): try (\d+) at host (\S+) ended (\S+) (\d+)")
SPAN = 1.0  # s into which answers of a copy are counted, to find when it was ill
MOST_ILL = 0.65  # of them, past which it was: copies that are full turn away some, those that sour spoil most
SOME = 3  # answers that are to be there


def day(site: dict[str, Any], seed: int) -> str:
    """A day's text; what it needs is taken from the site's busiest day."""
    chance = random.Random(seed)
    busiest = max(site["day"], key=lambda d: sum(t["per_s"] for t in d["traffic"]))
    services = [s["name"] for s in site["services"]]

    def ill(at: float, service: str, count: int) -> str:
        kind = chance.choice(["garble", "answer_lost", "garble", "answer_lost"])
        share = chance.uniform(0.7, 0.95)
        lasts = chance.uniform(6.0, 8.0)
        return (
            f'  {{ at = {at:.2f}, kind = "{kind}", how = "", service = "{service}", count = {count}, '
            f"x = {share:.2f}, for_s = {lasts:.2f} }},"
        )

    first, second = chance.sample(services, 2)
    lines = [
        "[[day]]", 'name = "souring"', 'slot = "trouble"', f"seed = {chance.randrange(10**9)}", "one = 0.9",
        "zero = 0.5", "goal = { floor = 0.4 }", "labels = []", "wall = 2.4", "light = false", "plan = []",
        "faults = [",
        ill(chance.uniform(3.0, 5.0), first, 1),
        ill(chance.uniform(4.0, 6.0), second, 1),
        f'  {{ at = {chance.uniform(8.0, 14.0):.2f}, kind = "hot_tenant", x = 6.0, for_s = 6.0, how = "" }},',
        ill(chance.uniform(15.0, 17.0), chance.choice(services), chance.choice([2, 3])),
        "]", "traffic = [",
    ]  # fmt: skip
    for each in busiest["traffic"]:
        lines.append("  " + inline(each) + ",")
    return "\n".join([*lines, "]", ""])


class Seen:
    """What the logs of all gateways of one day tell."""

    def __init__(self, path: Path) -> None:
        self.sent: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))  # host, node
        self.came: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        tries: dict[tuple[str, str], tuple[float, str]] = {}
        self.per_node: dict[str, int] = defaultdict(int)
        with path.open(errors="replace") as lines:
            for line in lines:
                if found := TRY.match(line):
                    at, node, request, number, host = found.groups()
                    self.sent[host][node].append(float(at))
                    self.per_node[node] += 1
                    tries[request, number] = float(at), host
                elif found := ENDED.match(line):
                    at, node, request, number, host, outcome, status = found.groups()
                    if outcome in ("error", "reset", "timeout", "ok"):
                        self.came[host].append((float(at), outcome != "ok" or status.startswith("5")))
        for answers in self.came.values():
            answers.sort()

    def sour(self) -> list[tuple[str, float, float]]:
        """Copies, from their first ill answer to their last one, of spans in which most were ill."""
        found = []
        for host, answers in self.came.items():
            begun = ends = None
            for n, (at, bad) in enumerate(answers):
                if not bad:
                    continue
                after = [b for t, b in answers[n:] if t < at + SPAN]
                if begun is None and len(after) >= SOME and sum(after) > MOST_ILL * len(after):
                    begun = at
                if begun is not None:
                    if ends is not None and at - ends > 8.0:
                        break
                    ends = at
            if begun is not None and ends is not None:
                found.append((host, begun, max(ends, begun + KEPT_OFF)))
        return found

    def moved_off(self, host: str, begun: float) -> float:
        """Seconds until the last node had moved off a copy."""
        last = 0.0
        for node in self.per_node:
            times = sorted(t for t in self.sent[host][node] if t >= begun)
            mean = sum(len(t) for t in self.sent[host].values()) / max(1, len(self.per_node)) / 30.0
            for start in [begun, *times]:
                window = [t for t in times if start < t <= start + KEPT_OFF]
                if len(window) <= OFF * mean * KEPT_OFF:
                    last = max(last, start - begun)
                    break
        return last


def read(paths: list[Path]) -> dict[str, Any]:
    times, after = [], []
    for path in paths:
        seen = Seen(path)
        for host, begun, ends in seen.sour():
            took = seen.moved_off(host, begun)
            times.append(took)
            after.append(sum(begun <= t < ends for of in seen.sent[host].values() for t in of))
    if not times:
        return {"days": len(paths), "copies": 0}
    times.sort()
    return {
        "days": len(paths),
        "copies": len(times),
        "moved_off_median_s": round(median(times), 2),
        "moved_off_95th_s": round(times[int(0.95 * (len(times) - 1))], 2),
        "moved_off_most_s": round(times[-1], 2),
        "within_1_5_s": round(sum(t <= 1.5 for t in times) / len(times), 3),
        "requests_there_median": median(after),
    }


def main() -> None:
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    sub = arguments.add_subparsers(dest="what", required=True)
    made = sub.add_parser("day", help="print a day")
    made.add_argument("site", type=Path)
    made.add_argument("--seed", type=int, default=1)
    told = sub.add_parser("read", help="read logs")
    told.add_argument("logs", type=Path, nargs="+")
    told.add_argument("--alone", type=Path, nargs="*", default=[])
    asked = arguments.parse_args()
    if asked.what == "day":
        print(day(tomllib.loads(asked.site.read_text()), asked.seed), end="")
        return
    found = {"shared": read(asked.logs)}
    if asked.alone:
        found["alone"] = read(asked.alone)
    for name, row in found.items():
        print(name, row)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
