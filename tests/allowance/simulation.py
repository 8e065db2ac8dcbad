"""Simulates gateways, a counter and a station with faults on a virtual clock; a seed fixes the schedule.

    python tests/allowance/simulation.py SEED      # runs one schedule and prints a summary

The counter has every fault that the protocol allows: it loses shares of its totals, forks and merges to
either half, is replaced by an empty one, is silent or late, refuses calls, and adds amounts without a reply.
Gateways crash and restart after 0.1 or 2 s, clocks step by 50 ms, and the busiest gateway changes every 7 s.
In every third schedule the station's plan changes, at a different time for each gateway; there the bound is
that of the larger ceiling.

Each admitted request is checked against a bucket of B + slack that fills at C: the ceiling holds in every
interval if and only if that bucket never falls below 0. After each step the rates of all gateways and their
tokens are added up too. These sums are what the proof relies on; a check of the bound alone could hide a
small violation in its slack.
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
SLACK = 0.15  # s of the ceiling's rate: allowance of the protocol for sockets and clock steps
FAULTS = ("loss", "fork", "heal", "swap", "silent", "late", "crowded", "maybe", "well")


class CeilingExceeded(AssertionError):
    """The ceiling or a sum that it depends on was exceeded; the message names the seed."""


@dataclass
class Counter:
    """A counter with injected faults: totals by name in one or two halves, of which a gateway uses one."""

    halves: list[dict[str, float]] = field(default_factory=lambda: [{}])
    side: dict[int, int] = field(default_factory=dict)
    delay: float = 0.002
    silent: bool = False
    refusal_rate: float = 0.0
    lost_reply_rate: float = 0.0
    calls: int = 0

    def add(self, who: int, call: Call, rng: random.Random) -> float | None:
        self.calls += 1
        if self.silent or rng.random() < self.refusal_rate:
            return None
        half = self.halves[self.side.get(who, 0) % len(self.halves)]
        name = str(call.name)
        half[name] = half.get(name, 0.0) + call.amount
        return None if rng.random() < self.lost_reply_rate else half[name]

    def fault(self, kind: str, rng: random.Random, gateways: int) -> None:
        if kind == "loss":
            kept = 1 - rng.uniform(0.38, 0.93)
            for half in self.halves:
                for name in half:
                    half[name] *= kept if rng.random() < 0.5 else float(rng.random() < kept)
        elif kind == "fork" and len(self.halves) == 1:
            empty = rng.random() < 0.5  # both halves have all totals, or one starts empty
            self.halves.append({} if empty else dict(self.halves[0]))
            self.side = {n: rng.randrange(2) for n in range(gateways)}
        elif kind == "heal" and len(self.halves) == 2:
            self.halves = [self.halves[rng.randrange(2)]]
        elif kind == "swap":
            self.halves = [{} for _ in self.halves]
        elif kind == "silent":
            self.silent = True
        elif kind == "late":
            self.delay = 0.5
        elif kind == "crowded":
            self.delay, self.refusal_rate = 1.2, 0.4
        elif kind == "maybe":
            self.lost_reply_rate = 0.5
        else:
            self.silent, self.delay, self.refusal_rate, self.lost_reply_rate = False, 0.002, 0.0, 0.0


@dataclass
class Result:
    admitted: int = 0
    offered: int = 0
    calls: int = 0
    requests: int = 0
    refused_with_room: int = 0  # refused although a single gateway that sees all requests would admit them
    used_by_second: list[float] = field(default_factory=list)  # units admitted
    even_split_by_second: list[float] = field(default_factory=list)  # units that even parts would admit
    max_excess: float = 0.0  # most units above burst + rate * t in any t seconds
    counter_states: set[str] = field(default_factory=set)


def count_second(by_second: list[float], now: float) -> None:
    by_second += [0.0] * (int(now) + 1 - len(by_second))
    by_second[int(now)] += 1


def simulate(
    seed: int,
    seconds: float = 24.0,
    gateways: int = 3,
    ceiling: Ceiling | None = None,
    faults: float = 0.4,
    weights: list[float] | None = None,
    load_factor: float = 0.0,
    script: dict[float, str] | None = None,
    crashes: bool = True,
    length: float | None = None,
    change: tuple[float, Ceiling] | None = None,
) -> Result:
    """Runs one schedule of `seconds`.

    `faults` is the number of random faults a second; `script` gives faults by time in seconds. `weights` are
    the shares of the load by gateway. `load_factor` is the load as a multiple of the ceiling's rate, 0 for a
    random one. `change` gives a time in seconds from which the station has another ceiling: each gateway
    applies it with its next request, and it is the bound from that time on.

    Raises CeilingExceeded.
    """
    rng = random.Random(seed)
    ceiling = ceiling or Ceiling(rng.uniform(2, 40), rng.uniform(4, 60))
    length = length or rng.choice([1.0, 2.0, 3.0, 4.0])
    offered_load = load_factor or rng.choice([0.5, 1.5, 3.0, 7.0])
    counter, result = Counter(), Result()
    started_at = 1000.0 + rng.random() * length
    plans, plan_of = [ceiling], [0] * gateways
    if change:
        plans.append(change[1])
    elif crashes and seed % 3 == 0:
        plans.append(Ceiling(rng.uniform(0.2, 3) * ceiling.rate, rng.uniform(0.2, 3) * ceiling.burst))
    tops = plans if change else []
    bound = ceiling if change else Ceiling(max(p.rate for p in plans), max(p.burst for p in plans))
    clock_offsets = [0.0] * gateways  # s

    def new_escrow(place: int, now: float) -> Escrow:
        return Escrow(plans[plan_of[place]], 7, gateways, place, now, length)

    nodes: list[Escrow | None] = [new_escrow(n, started_at - 10.0) for n in range(gateways)]
    restart_at = [0.0] * gateways
    replies: list[tuple[float, int, Escrow, Name, float | None]] = []
    level, level_at = bound.burst + SLACK * bound.rate, started_at
    strict = bound.burst  # like `level`, without the slack
    parts, parts_at = [ceiling.burst / gateways] * gateways, [started_at] * gateways
    script = dict(script or {})
    for step in range(int(seconds / STEP)):
        now = started_at + step * STEP
        for at in [at for at in script if started_at + at <= now]:
            counter.fault(script.pop(at), rng, gateways)
        if faults and rng.random() < faults * STEP:
            counter.fault(rng.choice(FAULTS), rng, gateways)
        if crashes and rng.random() < 0.06 * STEP:
            place = rng.randrange(gateways)
            nodes[place], restart_at[place] = None, now + rng.choice([0.1, 2.0])
        if crashes and rng.random() < 0.2 * STEP:
            clock_offsets[rng.randrange(gateways)] = rng.choice([-0.05, 0.0, 0.05])
        if change and now >= started_at + change[0] and bound is tops[0]:
            bound, plan_of = tops[1], [1] * gateways
            level, strict = min(level, bound.burst + SLACK * bound.rate), min(strict, bound.burst)
        if not change and len(plans) > 1 and rng.random() < 0.3 * STEP * gateways:
            place = rng.randrange(gateways)
            plan_of[place] = 1 - plan_of[place]
            if node := nodes[place]:
                node.set_ceiling(now + clock_offsets[place], plans[plan_of[place]])
        for place in range(gateways):
            if nodes[place] is None and now >= restart_at[place]:
                nodes[place] = new_escrow(place, now + clock_offsets[place])
        busiest = int((now - started_at) / 7) % gateways
        shares = weights or [0.8 if n == busiest else 0.2 / max(1, gateways - 1) for n in range(gateways)]
        due = [r for r in replies if r[0] <= now]
        replies = [r for r in replies if r[0] > now]
        calls: list[tuple[int, Escrow, Call]] = []
        for _, place, node, name, total in due:
            if nodes[place] is node:
                calls += [(place, node, call) for call in node.reply(now + clock_offsets[place], name, total)]
        for place, node in enumerate(nodes):
            if node is None:
                continue
            if step % 2 == 0:
                calls += [(place, node, call) for call in node.tick(now + clock_offsets[place])]
            wanted = offered_load * ceiling.rate * shares[place] * STEP
            for _ in range(int(wanted + rng.random())):
                result.requests += 1
                if node.ceiling != plans[plan_of[place]]:
                    node.set_ceiling(now + clock_offsets[place], plans[plan_of[place]])
                level = min(bound.burst + SLACK * bound.rate, level + bound.rate * (now - level_at))
                strict = min(bound.burst, strict + bound.rate * (now - level_at))
                level_at = now
                filled = parts[place] + ceiling.rate / gateways * (now - parts_at[place])
                parts[place], parts_at[place] = min(ceiling.burst / gateways, filled), now
                if parts[place] >= 1:
                    parts[place] -= 1
                    count_second(result.even_split_by_second, now - started_at)
                if node.admit(now + clock_offsets[place], 1.0) > 0:
                    result.refused_with_room += level >= 1.0 + SLACK * bound.rate
                else:
                    level, strict = level - 1.0, strict - 1.0
                    result.admitted += 1
                    result.max_excess = max(result.max_excess, -strict)
                    count_second(result.used_by_second, now - started_at)
                    if level < -1e-6:
                        raise CeilingExceeded(
                            f"seed {seed}: ceiling exceeded {now - started_at:.2f} s in, by {-level:.3f}"
                        )
        for place, node, call in calls:
            if call.name.kind is Kind.GRANT and call.amount and not 0 <= call.amount <= 1:
                raise CeilingExceeded(f"seed {seed}: a grant of {call.amount}")
            total = counter.add(place, call, rng)
            replies.append((now + counter.delay, place, node, call.name, total))
        if any(node and node.ceiling != bound for node in nodes) and change:
            continue  # a gateway without a request since the change still has the old ceiling
        alive = [(place, node) for place, node in enumerate(nodes) if node is not None]
        result.counter_states.update(node.counter_state.value for _, node in alive)
        rates = sum(node.rate(now + clock_offsets[place]) for place, node in alive)
        if rates > bound.rate * (1 + 1e-9):
            raise CeilingExceeded(
                f"seed {seed}: rates add up to {rates:.3f} of {bound.rate:.3f} {now - started_at:.2f} s in"
            )
        if sum(node.tokens for _, node in alive) > bound.burst * (1 + 1e-9):
            raise CeilingExceeded(
                f"seed {seed}: buckets hold more than the burst {now - started_at:.2f} s in"
            )
    result.calls = counter.calls
    return result


if __name__ == "__main__":
    played = simulate(int(sys.argv[1]))
    print(
        f"seed {sys.argv[1]}: {played.requests} requests, {played.admitted} admitted, {played.calls} calls "
        f"to the counter, which was {', '.join(sorted(played.counter_states))}"
    )
