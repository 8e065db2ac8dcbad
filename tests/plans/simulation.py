"""Three gateways, a plan book and a station that changes plans under load, on a virtual clock. No sockets.

    python tests/plans/simulation.py SEED      # plays one schedule and tells what happened

A seed is a schedule: the station is moved between plans with and without a hard ceiling, each time told ahead;
gateways hear of it late, are cut off from the book for up to 20 s, die and come back (with the book they had
kept, or without one); clocks are off by up to 50 ms. Requests are on their way when a plan changes: some wait for
an authoriser, some connections fail and are tried again, what is sent comes whole to a host up to 0.3 s later.

After every arrival at a host the ceiling that is in force by the book at that moment is checked as a bucket of
B + slack that fills at C and takes other figures at the moment of a change: full where the plan before had none.
"""

from __future__ import annotations

import heapq
import random
import sys
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from coralvale import Gateway  # noqa: E402
from coralvale import interface as api  # noqa: E402
from coralvale.plans.book import Book  # noqa: E402
from coralvale.plans.model import Entry  # noqa: E402
from coralvale.plans.terms import Terms  # noqa: E402

STATION = 7
NAME = f"{STATION:016x}"
STEP = 0.02  # s
SLACK = 0.35  # s of the ceiling's rate: for as long a connection may hold back what was let in
LEAD = 3.0
FLOOR = (4.0, 6.0)
PLANS = (
    api.Plan("team", 300.0, 300.0),
    api.Plan("federal", 300.0, 300.0, ceiling_rate=12.0, ceiling_burst=18.0),
    api.Plan("small", 300.0, 300.0, ceiling_rate=4.0, ceiling_burst=6.0),
)
SETTINGS = api.Settings(
    gateways=3,
    zone=0,
    classes=(api.RequestClass("read", aim=2.0, give_up=4.0, worth=1.0, repeat=api.Repeat.SAFE),),
    plans=PLANS,
    drain_grace=0.5,
    cold_share=0.25,
    warm_after=10.0,
    fall_multiple=2.0,
    fall_window=3.0,
    max_attempts=4,
)
HOSTS = api.ServerList(
    api.ListKind.FULL, tuple(api.Server(f"s-{i}", api.ServerState.HEALTHY) for i in range(12))
)


class Passed(AssertionError):
    """A ceiling was passed; the text holds the seed."""


@dataclass
class One:
    """A gateway, what it knows of the book, and whether it reaches the service."""

    gateway: Gateway
    terms: Terms
    off: float
    cut_until: float = 0.0
    poll_at: float = 0.0
    out: set[str] = field(default_factory=set)


@dataclass
class Result:
    arrived: int = 0
    moves: int = 0
    asked: int = 0
    floored: int = 0  # requests let in or not while their gateway was out of touch
    caught: int = 0  # let in under a plan without a ceiling, come to a host under one
    used: float = 0.0  # of the largest number of units that ceilings let in


def play(seed: int, seconds: float = 40.0, strict: bool = True) -> Result:
    """One schedule. Raises Passed with the seed if a ceiling is passed."""
    lots, numbers, result = random.Random(seed), count(), Result()
    begun = 5000.0
    book, entries = Book(), list[Entry]()

    def do(record: Any) -> None:
        entries.append(Entry(book.serial + 1, "", record))
        book.apply(entries[-1])

    do(book.led(begun - 100, LEAD, FLOOR))
    for plan in PLANS:
        do(book.define(begun - 50, plan))
    do(book.move(begun - 40, NAME, "team"))

    def fresh(now: float, place: int, kept: Book | None) -> One:
        terms = Terms(SETTINGS, strict, FLOOR)
        if kept:
            terms.changed(kept)
        gateway = Gateway(SETTINGS, seed + place, None, terms)
        gateway.handle(now - 1e-3, HOSTS)
        return One(gateway, terms, lots.choice([-0.05, 0.0, 0.05]))

    nodes: list[One | None] = [fresh(begun - 30.0, place, None) for place in range(3)]
    back, kept = [0.0] * 3, list[Book | None]([None] * 3)
    load = lots.choice([8, 20, 60])  # requests a second
    events: list[tuple[float, int, int, One, Any]] = []  # when, tie, place, gateway, event or arrival
    let_in: dict[str, bool] = {}
    level, level_at, before = 0.0, begun, PLANS[0]
    room = 0.0

    def carry(now: float, place: int, node: One, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Check):
                verdict = lots.choice([api.Verdict.ALLOWED] * 4 + [api.Verdict.DENIED])
                event: Any = api.Checked(action.request, verdict)
                heapq.heappush(events, (now + lots.uniform(0, 2.0), next(numbers), place, node, event))
            elif isinstance(action, api.Send):
                if lots.random() < 0.1:  # the connection does not come up
                    event = ("fails", action.request)
                    heapq.heappush(events, (now + 0.25, next(numbers), place, node, event))
                else:
                    event = ("arrives", action.request)
                    heapq.heappush(events, (now + lots.uniform(0, 0.3), next(numbers), place, node, event))

    attempts: dict[str, int] = {}
    for step in range(int(seconds / STEP)):
        now = begun + step * STEP
        if lots.random() < 0.2 * STEP:
            on = book.on(NAME, now + LEAD)
            to = lots.choice([p.name for p in PLANS if p.name != on])
            at = now + LEAD + lots.choice([0.0, 0.0, 1.0])
            if not book.stations[NAME][-1].at >= at:
                do(book.move(now, NAME, to, at))
                result.moves += 1
        for place in range(3):
            node = nodes[place]
            if node is None:
                if now >= back[place]:
                    nodes[place] = node = fresh(now, place, kept[place])
                else:
                    continue
            if lots.random() < 0.04 * STEP:
                node.cut_until = now + lots.uniform(0, 20)
            if lots.random() < 0.03 * STEP:
                nodes[place], back[place] = None, now + lots.choice([0.1, 2.0])
                copy = (
                    Book.restore(node.terms.book.kept(), node.terms.book.serial)
                    if lots.random() < 0.5
                    else None
                )
                kept[place] = copy
                continue
            if now >= node.poll_at and now >= node.cut_until:
                # The answer left the service a while after it was asked for, and holds all that was told by then.
                node.poll_at = now + lots.uniform(0.1, 1.0)
                asked_at = now + node.off - lots.choice([0.0, 0.3])
                for entry in entries[node.terms.book.serial :]:
                    node.terms.book.apply(entry)
                node.terms.changed()
                node.terms.heard(asked_at)
            for _ in range(int(load * STEP / 3 + lots.random())):
                name = f"r{next(numbers)}"
                result.asked += 1
                result.floored += not node.terms.in_touch(now + node.off)
                local = now + node.off
                request = api.Request(name, 0, 0, STATION, 3, local + 3.0, check=lots.random() < 0.3)
                attempts[name] = -1
                let_in[name] = bool(node.terms.plan(local, STATION, 0).ceiling_rate)
                carry(now, place, node, node.gateway.handle(local, request))
            if step % 5 == 0:
                carry(now, place, node, node.gateway.handle(now + node.off, api.TimerFired(0)))
        while events and events[0][0] <= now:
            at, _, place, node, event = heapq.heappop(events)
            if nodes[place] is not node:
                continue
            if isinstance(event, api.Checked):
                carry(at, place, node, node.gateway.handle(at + node.off, event))
                continue
            word, name = event
            attempts[name] += 1
            if word == "fails":
                done = api.AttemptDone(name, attempts[name], api.Outcome.CONNECT_FAILED, 0.25, False)
                carry(at, place, node, node.gateway.handle(at + node.off, done))
                continue
            plan = book.plan(book.on(NAME, at), at) or PLANS[0]
            if plan.ceiling_rate:
                if not before.ceiling_rate:
                    level, level_at = plan.ceiling_burst + SLACK * plan.ceiling_rate, at
                most = plan.ceiling_burst + SLACK * plan.ceiling_rate
                level = min(most, level + plan.ceiling_rate * (at - level_at)) - 1.0
                room += plan.ceiling_rate * (at - level_at)
                level_at = at
                result.used += 1
                result.caught += not let_in[name]
                if level < -1e-6:
                    told = f"seed {seed}: the ceiling of {plan.name} is passed {at - begun:.2f} s in"
                    raise Passed(f"{told}, by {-level:.2f}; again: python tests/plans/simulation.py {seed}")
            before = plan
            result.arrived += 1
            done = api.AttemptDone(name, attempts[name], api.Outcome.OK, 0.02, True)
            carry(at, place, node, node.gateway.handle(at + node.off, done))
    result.used /= max(room, 1.0)
    return result


if __name__ == "__main__":
    print(play(int(sys.argv[1])))
