"""Bounds over the sum of forty gateways. Each fails without the mechanism that it guards."""

from __future__ import annotations

import heapq
import random
from typing import Any

import pytest

from coralvale.lab import policies
from coralvale.lab.experiment import parse
from coralvale.lab.model import Experiment
from coralvale.lab.world.platform import Platform
from coralvale.net.clock import Clock
from coralvale.net.discovery import Discovery

SEEDS = [1, 2]


def fleet(**more: Any) -> Experiment:
    """Forty gateways, sixty hosts in three zones, three hundred customers; a few of them over their ceiling."""
    said: dict[str, Any] = {
        "name": "fleet",
        "classes": [
            {"name": "fetch", "work": 0.13, "aim": 1.7, "give_up": 6.9, "worth": 3.0},
            {"name": "add", "work": 0.13, "aim": 1.7, "give_up": 6.9, "worth": 2.0, "repeat": "unsafe"},
        ],
        "plans": [
            {"name": "small", "share": 10, "rate": 0.5, "burst": 2.0, "price": 0.7, "entries": 0.75},
            {"name": "middle", "share": 10, "rate": 1.0, "burst": 4.0, "price": 1.3, "entries": 0.75},
            {"name": "large", "share": 9, "rate": 4.0, "burst": 6.0, "price": 1.6, "ceiling_rate": 8.0,
             "ceiling_burst": 12.0, "ceiling_slack": 1.0, "entries": 0.15},
        ],
        "fleet": {"gateways": 40, "hosts": 60, "zones": 3, "cold_share": 0.24, "warm_after": 18.0, "queue": 1000},
        "load": {"customers": 300, "rate": 480.0, "hot": 50, "hot_times": 3.0, "retries": 0},
        "counter": {"capacity": 600.0},
        "measure": {"warm_up": 3.0},
    }  # fmt: skip
    return parse({**said, **more})


def played(made: Experiment, seed: int) -> Platform:
    """Runs an experiment, which must break no rule."""
    print(f"seed {seed}")
    world = Platform(made, seed, "ours", policies.factory("ours"))
    world.run()
    assert world.violations == []
    return world


def work(world: Platform, names: list[str], second: int) -> float:
    return sum(sum(world.measure.work[name][second:]) for name in names)


@pytest.mark.parametrize("seed", SEEDS)
def test_quotas_are_used_and_hardly_exceeded_in_normal_service(seed: int) -> None:
    """Without quotas on the counter 0.050 of the units are over quota, and 0.93 of what fits is admitted."""
    summary = played(fleet(seconds=25.0), seed).left().figures
    assert summary["beyond"] <= 0.042
    assert summary["fitting"] >= 0.95
    assert summary["calls"] <= 1.6
    assert summary["hosts"] <= 20  # hosts of the subset: eight, and one more every five seconds


@pytest.mark.parametrize("seed", SEEDS)
def test_quotas_are_used_after_most_gateways_are_killed_at_once(seed: int) -> None:
    killed = {"at": 8.0, "what": "gateway.kill", "share": 0.7, "by": 1.0}
    world = played(fleet(seconds=24.0, timeline=[killed], measure={"warm_up": 10.0}), seed)
    summary = world.left()
    assert summary.figures["fitting"] >= 0.95 and summary.figures["failed"] <= 0.01
    assert sum(summary.series["calls"][19:24]) > 0  # the counter is trusted again


@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_zone_gets_its_share_again_after_it_returns_cold(seed: int) -> None:
    troubles = [
        {"at": 5.0, "what": "counter.down", "lasts": 5.0},
        {"at": 5.0, "what": "zone.lost", "zone": 1, "lasts": 5.0},
        {"at": 10.0, "what": "counter.swap"},  # it comes back elsewhere, empty
    ]
    world = played(fleet(seconds=36.0, timeline=troubles), seed)
    zone = [h.name for h in world.hosts.values() if h.zone == 1]
    assert world.rules.coldest <= 2.0
    share = work(world, zone, 30) / work(world, list(world.hosts), 30)
    assert (
        share >= 0.7 * len(zone) / 60
    )  # warm for 2 s; 0.13 of the even share if new hosts never joined the subsets


@pytest.mark.parametrize("seed", SEEDS)
def test_replacing_six_in_ten_hosts_overloads_no_cold_host(seed: int) -> None:
    replaced = {"at": 5.0, "what": "host.replace", "share": 0.6, "over": 7.0}
    world = played(fleet(seconds=24.0, timeline=[replaced], discovery={"spread": 0.3}), seed)
    summary = world.left().figures
    assert summary["coldest"] <= 1.15  # 1.3 if cold hosts were taken for warm; the rule allows 2
    assert summary["hosts"] <= 48  # 58 if the subset were drawn anew at each change
    assert summary["fitting"] >= 0.95 and summary["failed"] <= 0.01


def queue_at_discovery(
    fleet: int, seed: int, overbook: float = 2.0, a_call: float = 0.2
) -> tuple[float, list[float]]:
    """Forty watches break at once: when the last is answered again (s), and the times of all calls.

    Discovery takes `a_call` seconds for each call, one after another, abandoned or not. A call that is not
    answered in 2 s fails; one that would take longer than `overbook` times that is rejected.
    """
    rng = random.Random(seed)
    watches = []
    for _ in range(40):
        made = Discovery(("", 0), (), (), Clock(), lambda *_: None, fleet=fleet)
        made.random = random.Random(rng.random())
        watches.append(made)
    due = [(made._start_delay() + 0.05 * rng.random(), i) for i, made in enumerate(watches)]
    heapq.heapify(due)
    free, calls, last = 0.0, list[float](), 0.0
    while due and due[0][0] < 60.0:
        now, i = heapq.heappop(due)
        made = watches[i]
        calls.append(now)
        free = max(free, now)
        if free + a_call - now > overbook * 2.0:
            failed = now
        elif (free := free + a_call) - now <= 2.0:
            last = max(last, free)
            continue
        else:
            failed = now + 2.0
        made._back_off(False, True)
        heapq.heappush(due, (failed + made.backoff * (0.5 + made.random.random()), i))
    return (last if not due else 60.0), calls


@pytest.mark.parametrize("seed", range(20))
def test_a_fleet_whose_watches_break_at_once_has_all_of_them_back_soon(seed: int) -> None:
    back, calls = queue_at_discovery(40, seed)
    assert back <= 30.0 and len(calls) <= 5 * 40


def test_without_turns_the_queue_at_discovery_does_not_drain() -> None:
    """The same forty with the pauses of a fleet of one."""
    results = [queue_at_discovery(1, seed) for seed in range(20)]
    assert min(back for back, _ in results) >= 40.0
    assert min(len(calls) for _, calls in results) >= 500
