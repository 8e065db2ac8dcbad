"""What two hundred gateways admit together, while the counter answers and while it does not.

The bounds hold over the sum of all schedules of a kind: a single one lasts some seconds, and chance moves it.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from typing import Any

import pytest

from coralvale import interface as api
from coralvale import tally
from coralvale.lab import policies
from coralvale.lab.experiment import parse
from coralvale.lab.world.platform import Platform, settings
from coralvale.restrictor import Restrictor
from coralvale.tally import ALIVE_S, OUTAGE_BURST_S, RATE_WINDOW_S, CounterQuota

WORLDS, SCHEDULES, BEGIN = 20, 10, 6
# Of the units sent on, the share beyond quotas; of all tries, the share that is refused with room in the store,
# which counts every try of a customer that asks in vain while one unit waits for any gateway to find it.
BEYOND = {"up": 0.13, "slow": 0.15, "down": 0.14, "split": 0.22, "swapped": 0.23}
WITH_ROOM = {"up": 0.6, "slow": 0.68, "down": 0.72, "split": 0.46, "swapped": 0.5}
WORLD: dict[str, Any] = {
    "name": "quotas",
    "fleet": {"gateways": 200, "hosts": 12, "cores": 256, "queue": 10_000},  # large enough to answer all requests
    "classes": [
        {"name": "fetch", "work": 0.15, "worth": 3.0},
        {"name": "add", "work": 0.15, "worth": 2.0, "repeat": "unsafe"},
    ],
    "plans": [
        {"name": "small", "share": 0.52, "rate": 0.7, "burst": 2.5, "price": 0.7, "excess_cost": 0.8,
         "entries": 0.75},
        {"name": "middle", "share": 0.41, "rate": 1.3, "burst": 5.0, "open_limit": 2.0, "price": 1.3,
         "excess_cost": 1.2, "entries": 0.75},
        {"name": "large", "share": 0.07, "rate": 5.0, "burst": 7.0, "price": 1.6, "excess_cost": 0.8,
         "ceiling_rate": 11.0, "ceiling_burst": 16.0, "ceiling_slack": 1.6, "entries": 0.03},
    ],
    "load": {"customers": 120, "rate": 132.0, "hot": 1, "hot_times": 25.0, "over": 0.1, "near": 0.2,
             "spikes": 0.18},
    "counter": {"capacity": 300.0},
    "measure": {"warm_up": BEGIN},
}  # fmt: skip
PLANS = settings(parse(WORLD)).plans


def play(seed: int) -> dict[str, Counter[str]]:
    """One world through ten schedules, with a counter of 300 calls per second for about as many tries."""
    rng, totals = random.Random(seed), defaultdict[str, Counter[str]](Counter)
    at, states, timeline = BEGIN, list[str](), list[dict[str, Any]]()
    for _ in range(SCHEDULES):
        state, lasts = rng.choice(list(BEYOND)), rng.randint(1, 3)
        if state != "up":
            what = "counter." + ("swap" if state == "swapped" else state)
            by = rng.uniform(0.05, 0.2) if state == "slow" else 0.0
            timeline.append({"at": at, "what": what, "by": by, "lasts": lasts})
        if (by := rng.choice((1.0, 1.0, 1.0, 3.5))) > 1:
            plan = rng.choice(WORLD["plans"])["name"]
            timeline.append({"at": at, "what": "load.surge", "by": by, "lasts": lasts, "plans": [plan]})
        states, at = states + [state] * lasts, at + lasts
    made = parse({**WORLD, "seconds": float(at), "timeline": timeline})
    world = Platform(made, seed, "ours", policies.factory("ours"))
    world.run()
    assert world.violations == [], f"seed {seed}"  # ceilings among them
    series = world.left().series
    for second, state in enumerate(states, BEGIN):
        for name in ("taken", "beyond", "tries", "with room"):
            totals[state][name] += round(series[name][second])
    return totals


def played(seeds: range) -> dict[str, Counter[str]]:
    print(f"seeds {seeds}")
    totals = defaultdict[str, Counter[str]](Counter)
    for seed in seeds:
        for state, counted in play(seed).items():
            totals[state].update(counted)
    return totals


def test_quotas_hold_within_their_bounds_through_counter_outages() -> None:
    for state, totals in played(range(WORLDS)).items():
        assert totals["beyond"] <= BEYOND[state] * totals["taken"], state
        assert totals["with room"] <= WITH_ROOM[state] * totals["tries"], state


def test_without_the_learned_rate_more_is_admitted_during_a_counter_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tally, "UNCOUNTED_FACTOR", 1000.0)
    totals = played(range(WORLDS // 3))["down"]
    assert totals["beyond"] > BEYOND["down"] * totals["taken"]


def made() -> tuple[CounterQuota, Restrictor]:
    restrictor = Restrictor(PLANS[0], 150, 1000.0, 1000.0)
    return CounterQuota(settings(parse(WORLD)), random.Random(1)), restrictor


def test_uncounted_requests_are_admitted_at_the_learned_rate_and_no_faster() -> None:
    counted, restrictor = made()
    request, now = api.Request("r", 0, 0, 7, 150, 2000.0), 1000.0
    while now < 1000.0 + 4 * RATE_WINDOW_S:  # two per second, all counted
        counted.answered_at = now
        counted.record_admitted(now, request, restrictor, True)
        now += 0.5
    admitted, begun = 0, now + ALIVE_S
    for n in range(2000):  # 100 per second, none of them counted
        at = begun + n * 0.01
        if not counted.wait(at, request, restrictor):
            counted.record_admitted(at, request, restrictor, False)
            admitted += 1
    assert 2.0 * 20 * 0.9 <= admitted <= 2.0 * (20 + OUTAGE_BURST_S) * 1.1 + 1


def test_an_overloaded_counter_does_not_lower_the_learned_rate() -> None:
    """Half of the requests are uncounted; those refused for that are as likely to fit as the others."""
    counted, restrictor = made()
    rng, request, now = random.Random(3), api.Request("r", 0, 0, 7, 150, 2000.0), 1000.0
    admitted = 0
    for n in range(1200):  # a minute of two seconds' gaps on average, as clients ask by chance
        now += rng.expovariate(2.0)
        counted.answered_at = now
        if n % 2:
            counted.record_admitted(now, request, restrictor, True)
        elif not counted.wait(now, request, restrictor):
            counted.record_admitted(now, request, restrictor, False)
            admitted += n > 200
    assert admitted >= 0.75 * 500  # of one request a second: with what was admitted in as the rate it was 123


def test_uncounted_requests_are_admitted_as_often_as_counted_ones_fit() -> None:
    """Every second counted request is refused, so uncounted ones are admitted at half their rate."""
    counted, restrictor = made()
    request, now, admitted = api.Request("r", 0, 0, 7, 150, 9000.0), 1000.0, 0
    for n in range(2400):  # two per second, every other one uncounted
        now += 0.5
        counted.answered_at = now
        if n % 2:
            if not counted.wait(now, request, restrictor):
                counted.record_admitted(now, request, restrictor, False)
                admitted += 1
            continue
        _, begun = CounterQuota.epoch(now, 7)
        full = PLANS[0].burst * (1 - tally.INITIAL_FILL) + PLANS[0].rate * (now - begun)
        total = full + 1.0 if n % 4 else full - PLANS[0].burst + 1.0
        wait, _ = counted.settle(now, tally.Call(now, 1.0, request, restrictor, begun), total, 0.15, False)
        assert bool(wait) == bool(n % 4)
        if not wait:
            counted.record_admitted(now, request, restrictor, True)
    assert 0.45 * 1200 <= admitted <= 0.7 * 1200  # all of them, were they taken to fit as they come


def test_a_counter_outage_admits_at_most_one_second_of_the_learned_rate_at_once() -> None:
    counted, restrictor = made()
    request, now = api.Request("r", 0, 0, 7, 150, 2000.0), 1000.0
    while now < 1000.0 + 4 * RATE_WINDOW_S:  # ten per second
        counted.answered_at = now
        counted.record_admitted(now, request, restrictor, True)
        now += 0.1
    admitted = 0
    for n in range(200):  # 1000 per second, after a pause in which the bucket has drained
        at = now + ALIVE_S + 3.0 + n * 0.001
        if not counted.wait(at, request, restrictor):
            counted.record_admitted(at, request, restrictor, False)
            admitted += 1
    assert 10 * OUTAGE_BURST_S * 0.8 <= admitted <= 10 * (OUTAGE_BURST_S + 0.2) * 1.15 + 1


def test_a_gateway_that_has_learned_no_rate_yet_admits() -> None:
    counted, restrictor = made()
    request = api.Request("r", 0, 0, 7, 150, 1004.0)
    assert counted.wait(1000.0, request, restrictor) == 0.0
    counted.record_admitted(1000.0, request, restrictor, False)
    assert counted.wait(1000.1, request, restrictor) == 0.0


@pytest.mark.parametrize("retried", [False, True])
def test_a_retry_reads_the_store_and_is_charged_if_there_is_room(retried: bool) -> None:
    counted, restrictor = made()
    request = api.Request("r", 0, 0, 7, 150, 1004.0, retried=retried)
    while (call := counted.ask(1000.0, request, restrictor)) is None:
        pass  # some calls for retries are not made
    assert call.amount == (0.0 if retried else 1.0)
    kept = counted.take_reply(1000.01, api.CounterReply(call.name, True, call.amount))
    assert kept is not None
    wait, right = counted.settle(1000.01, kept, call.amount, 0.15, False)
    _, begun = CounterQuota.epoch(1000.0, 7)
    found = tally.INITIAL_FILL * PLANS[0].burst - PLANS[0].rate * (1000.01 - begun)
    due = (max(0.0, found) + 1.0) - found  # what the number has to grow by, idle time that ran over as well
    assert wait == 0.0
    assert call.amount + sum(c.amount for c in right if isinstance(c, api.Count)) == pytest.approx(
        due, abs=0.5
    )


def test_a_refused_retry_costs_one_call() -> None:
    counted, restrictor = made()
    request = api.Request("r", 0, 0, 7, 150, 1004.0, retried=True)
    while (call := counted.ask(1000.0, request, restrictor)) is None:
        pass
    _, begun = CounterQuota.epoch(1000.0, 7)
    full = PLANS[0].burst - tally.INITIAL_FILL * PLANS[0].burst + PLANS[0].rate * (1000.01 - begun)
    kept = counted.take_reply(1000.01, api.CounterReply(call.name, True, full))
    assert kept is not None
    wait, right = counted.settle(1000.01, kept, full, 0.15, False)
    assert wait > 0 and not right


def test_a_new_store_after_a_counter_loss_is_not_taken_for_an_empty_one() -> None:
    """In the middle of an epoch a lost number would look like idle time: a whole burst for every customer."""
    room = {}
    for lost in (False, True):
        counted, restrictor = made()
        counted.answered_at, counted.failing = 1000.0, lost
        request = api.Request("r", 0, 0, 7, 150, 1014.0)
        while (call := counted.ask(1010.0, request, restrictor)) is None:
            pass
        kept = counted.take_reply(1010.01, api.CounterReply(call.name, True, call.amount))
        assert kept is not None
        wait, _ = counted.settle(1010.01, kept, call.amount, 0.15, False)
        assert not wait
        room[lost] = PLANS[0].burst - restrictor.known
    assert room[False] == pytest.approx(PLANS[0].burst - 1)
    assert room[True] == pytest.approx((1 - tally.LOST_FILL) * PLANS[0].burst - 1)
