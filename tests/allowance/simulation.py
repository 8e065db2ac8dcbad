"""Gateways, a counter and a station under a schedule of faults, on a virtual clock. One seed is one schedule.

    python tests/allowance/simulation.py SEED      # plays one schedule and tells what happened

The counter does all that the protocol lets one do: it loses shares of its counts, forks and heals to either
half, is replaced by an empty one, is silent, late, turns calls away, adds what it does not answer. Gateways die
and come back after 0.1 or 2 s, clocks step by 50 ms, the busiest gateway changes every 7 s. In every third
schedule the station is named with another plan in the middle, by each gateway at a moment of its own: there the
bound is the larger ceiling's.

After every request that is let in the ceiling is checked as a bucket of B + slack that fills at C: it holds in
every window if and only if that bucket never falls below nought. After every step the rates of all gateways are
added up, and their buckets: what the bound is proved from is checked itself, where a bound alone would hide a
small breach in its slack.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from coralvale.allowance.escrow import Escrow  # noqa: E402
from coralvale.allowance.model import Call, Ceiling, Kind, Name  # noqa: E402

STEP = 0.05  # s
SLACK = 0.15  # s of the ceiling's rate: what sockets and clock steps may add, as the protocol has it
KINDS = ("loss", "fork", "heal", "swap", "silent", "late", "crowded", "maybe", "well")


class CeilingExceeded(AssertionError):
    """The ceiling was passed; the text holds the seed."""


@dataclass
class Counter:
    """Names and totals in one or two halves; a gateway talks to one of them."""

    halves: list[dict[str, float]] = field(default_factory=lambda: [{}])
    side: dict[int, int] = field(default_factory=dict)
    delay: float = 0.002
    silent: bool = False
    turns_away: float = 0.0
    maybe: float = 0.0
    calls: int = 0

    def add(self, who: int, call: Call, lots: random.Random) -> float | None:
        self.calls += 1
        if self.silent or lots.random() < self.turns_away:
            return None
        half = self.halves[self.side.get(who, 0) % len(self.halves)]
        name = str(call.name)
        half[name] = half.get(name, 0.0) + call.amount
        return None if lots.random() < self.maybe else half[name]

    def fault(self, kind: str, lots: random.Random, gateways: int) -> None:
        if kind == "loss":
            kept = 1 - lots.uniform(0.38, 0.93)
            for half in self.halves:
                for name in half:
                    half[name] *= kept if lots.random() < 0.5 else float(lots.random() < kept)
        elif kind == "fork" and len(self.halves) == 1:
            empty = lots.random() < 0.5  # each half has all that was, or one begins anew
            self.halves.append({} if empty else dict(self.halves[0]))
            self.side = {n: lots.randrange(2) for n in range(gateways)}
        elif kind == "heal" and len(self.halves) == 2:
            self.halves = [self.halves[lots.randrange(2)]]
        elif kind == "swap":
            self.halves = [{} for _ in self.halves]
        elif kind == "silent":
            self.silent = True
        elif kind == "late":
            self.delay = 0.5
        elif kind == "crowded":
            self.delay, self.turns_away = 1.2, 0.4
        elif kind == "maybe":
            self.maybe = 0.5
        else:
            self.silent, self.delay, self.turns_away, self.maybe = False, 0.002, 0.0, 0.0


@dataclass
class Result:
    admitted: int = 0
    offered: int = 0
    calls: int = 0
    requests: int = 0
    refused_with_room: int = 0  # refused while one gateway that saw all would have let them in
    used_by_second: list[float] = field(default_factory=list)  # units let in, by second
    even_split_by_second: list[float] = field(
        default_factory=list
    )  # the same by an even split, of the same requests
    max_excess: float = 0.0  # units at most by which any t seconds held more than burst + rate x t
    trust: set[str] = field(default_factory=set)


def count(by_second: list[float], now: float) -> None:
    by_second += [0.0] * (int(now) + 1 - len(by_second))
    by_second[int(now)] += 1


def simulate(
    seed: int,
    seconds: float = 24.0,
    gateways: int = 3,
    ceiling: Ceiling | None = None,
    faults: float = 0.4,
    weights: list[float] | None = None,
    asked: float = 0.0,
    script: dict[float, str] | None = None,
    crashes: bool = True,
    length: float | None = None,
    change: tuple[float, Ceiling] | None = None,
) -> Result:
    """One schedule. `faults` a second, or `script` in their place; `weights` fix how gateways share the load.

    `change`: from that many seconds on the station is on another ceiling, which each gateway finds with its next
    request; from then on that ceiling is the bound.

    Raises Passed with the seed if the ceiling is passed.
    """
    lots = random.Random(seed)
    ceiling = ceiling or Ceiling(lots.uniform(2, 40), lots.uniform(4, 60))
    length = length or lots.choice([1.0, 2.0, 3.0, 4.0])
    times = asked or lots.choice([0.5, 1.5, 3.0, 7.0])
    counter, result = Counter(), Result()
    begun = 1000.0 + lots.random() * length
    plans, named = [ceiling], [0] * gateways
    if change:
        plans.append(change[1])
    elif crashes and seed % 3 == 0:
        plans.append(Ceiling(lots.uniform(0.2, 3) * ceiling.rate, lots.uniform(0.2, 3) * ceiling.burst))
    tops = plans if change else []
    top = ceiling if change else Ceiling(max(p.rate for p in plans), max(p.burst for p in plans))
    steps = [0.0] * gateways  # what each clock is off by

    def fresh(place: int, now: float) -> Escrow:
        return Escrow(plans[named[place]], 7, gateways, place, now, length)

    nodes: list[Escrow | None] = [fresh(n, begun - 10.0) for n in range(gateways)]
    back = [0.0] * gateways
    replies: list[tuple[float, int, Escrow, Name, float | None]] = []
    level, level_at = top.burst + SLACK * top.rate, begun
    strict = top.burst  # the same without the slack
    parts, parts_at = [ceiling.burst / gateways] * gateways, [begun] * gateways
    script = dict(script or {})
    for step in range(int(seconds / STEP)):
        now = begun + step * STEP
        for at in [at for at in script if begun + at <= now]:
            counter.fault(script.pop(at), lots, gateways)
        if faults and lots.random() < faults * STEP:
            counter.fault(lots.choice(KINDS), lots, gateways)
        if crashes and lots.random() < 0.06 * STEP:
            place = lots.randrange(gateways)
            nodes[place], back[place] = None, now + lots.choice([0.1, 2.0])
        if crashes and lots.random() < 0.2 * STEP:
            steps[lots.randrange(gateways)] = lots.choice([-0.05, 0.0, 0.05])
        if change and now >= begun + change[0] and top is tops[0]:
            top, named = tops[1], [1] * gateways
            level, strict = min(level, top.burst + SLACK * top.rate), min(strict, top.burst)
        if not change and len(plans) > 1 and lots.random() < 0.3 * STEP * gateways:
            place = lots.randrange(gateways)
            named[place] = 1 - named[place]
            if node := nodes[place]:
                node.settle(now + steps[place], plans[named[place]])
        for place in range(gateways):
            if nodes[place] is None and now >= back[place]:
                nodes[place] = fresh(place, now + steps[place])
        busiest = int((now - begun) / 7) % gateways
        shares = weights or [0.8 if n == busiest else 0.2 / max(1, gateways - 1) for n in range(gateways)]
        due = [r for r in replies if r[0] <= now]
        replies = [r for r in replies if r[0] > now]
        calls: list[tuple[int, Escrow, Call]] = []
        for _, place, node, name, total in due:
            if nodes[place] is node:
                calls += [(place, node, call) for call in node.reply(now + steps[place], name, total)]
        for place, node in enumerate(nodes):
            if node is None:
                continue
            if step % 2 == 0:
                calls += [(place, node, call) for call in node.tick(now + steps[place])]
            wanted = times * ceiling.rate * shares[place] * STEP
            for _ in range(int(wanted + lots.random())):
                result.requests += 1
                if node.ceiling != plans[named[place]]:
                    node.settle(now + steps[place], plans[named[place]])
                level = min(top.burst + SLACK * top.rate, level + top.rate * (now - level_at))
                strict = min(top.burst, strict + top.rate * (now - level_at))
                level_at = now
                filled = parts[place] + ceiling.rate / gateways * (now - parts_at[place])
                parts[place], parts_at[place] = min(ceiling.burst / gateways, filled), now
                if parts[place] >= 1:
                    parts[place] -= 1
                    count(result.even_split_by_second, now - begun)
                if node.admit(now + steps[place], 1.0) > 0:
                    result.refused_with_room += level >= 1.0 + SLACK * top.rate
                else:
                    level, strict = level - 1.0, strict - 1.0
                    result.admitted += 1
                    result.max_excess = max(result.max_excess, -strict)
                    count(result.used_by_second, now - begun)
                    if level < -1e-6:
                        raise CeilingExceeded(
                            f"seed {seed}: the ceiling is passed {now - begun:.2f} s in, by {-level:.3f}"
                        )
        for place, node, call in calls:
            if call.name.kind is Kind.GIVE and call.amount and not 0 <= call.amount <= 1:
                raise CeilingExceeded(f"seed {seed}: a gift of {call.amount}")
            total = counter.add(place, call, lots)
            replies.append((now + counter.delay, place, node, call.name, total))
        if any(node and node.ceiling != top for node in nodes) and change:
            continue  # one that has not been asked since the change owes nobody its word
        alive = [(place, node) for place, node in enumerate(nodes) if node is not None]
        result.trust.update(node.trust.value for _, node in alive)
        rates = sum(node.rate(now + steps[place]) for place, node in alive)
        if rates > top.rate * (1 + 1e-9):
            raise CeilingExceeded(
                f"seed {seed}: rates add up to {rates:.3f} of {top.rate:.3f} {now - begun:.2f} s in"
            )
        if sum(node.tokens for _, node in alive) > top.burst * (1 + 1e-9):
            raise CeilingExceeded(f"seed {seed}: buckets hold more than the burst {now - begun:.2f} s in")
    result.calls = counter.calls
    return result


if __name__ == "__main__":
    played = simulate(int(sys.argv[1]))
    print(
        f"seed {sys.argv[1]}: {played.requests} requests, {played.admitted} let in, {played.calls} calls to the "
        f"counter, which was {', '.join(sorted(played.trust))}"
    )
