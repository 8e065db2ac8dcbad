"""The leak rate: its floor, its growth limit, and several gateways on one lagging meter."""

import math

from helpers import PLAN, Bench, server


def drive(bench: Bench, seconds: float, rate: float, usage: float | None) -> int:
    """Sends `rate` requests per second of one customer with two entry gateways, all answered with `usage`."""
    sent = 0
    for _ in range(int(seconds * rate)):
        bench.wait(1 / rate)
        name, actions = bench.request(entry_gateways=2)
        if name in bench.gateway.requests:
            sent += 1
            bench.done(name, usage=usage)
    return sent


def restrictor(bench: Bench):  # noqa: ANN201
    return bench.gateway.customers[1]


def test_a_new_customer_starts_at_the_floor() -> None:
    bench = Bench()
    bench.request(entry_gateways=2)
    assert restrictor(bench).rate == PLAN.rate / 2


def test_the_rate_rises_to_the_own_share_of_the_use_and_at_most_to_the_quota() -> None:
    bench = Bench()
    drive(bench, 10, 2.0, usage=0.5)  # this gateway sees all of the use
    assert PLAN.rate * 0.95 < restrictor(bench).rate <= PLAN.rate


def test_the_rate_grows_at_most_by_its_limit() -> None:
    bench = Bench()
    drive(bench, 1.0, 2.0, usage=0.0)
    before = restrictor(bench).rate
    bench.wait(1.0)
    assert before < restrictor(bench).rate <= before * 1.5


def test_the_rate_keeps_the_floor_when_others_use_the_quota() -> None:
    bench = Bench()
    drive(bench, 10, 0.5, usage=3.0)
    assert restrictor(bench).rate == PLAN.rate / 2


def test_the_rate_returns_to_the_floor_without_readings() -> None:
    bench = Bench()
    drive(bench, 10, 2.0, usage=0.5)
    bench.wait(30.0)
    assert abs(restrictor(bench).rate - PLAN.rate / 2) < 0.05


def test_two_gateways_on_a_lagging_meter_settle_near_the_quota() -> None:
    """Demand of twice the quota, split unevenly: what both admit settles near the quota."""
    gateways = [Bench(seed=s) for s in (1, 2)]
    history: list[int] = []
    total = 0
    for second in range(60):
        reading = sum(history[-3:-2]) / PLAN.rate if len(history) > 2 else None
        sent = sum(drive(b, 1.0, rate, reading) for b, rate in zip(gateways, (6.0, 2.0), strict=True))
        history.append(sent)
        total += sent if second >= 20 else 0
    assert 0.9 * PLAN.rate <= total / 40 <= 1.2 * PLAN.rate


def test_true_units_correct_the_estimate() -> None:
    bench = Bench(settles_after=True)
    name, _ = bench.request(units=1.0)
    bench.done(name, units=3.0)
    assert restrictor(bench).fill == 3.0


def test_idle_customers_and_finished_requests_are_dropped() -> None:
    bench = Bench(servers=(server("a"), server("b")))
    for customer in range(500):
        name, _ = bench.request(customer=customer)
        bench.done(name)
    assert bench.gateway.requests == {}
    bench.wait(62.0)
    assert len(bench.gateway.customers) == 0


def test_invalid_readings_and_units_are_skipped() -> None:
    bench = Bench(settles_after=True)
    for odd in (math.nan, math.inf, -math.inf, -0.5):
        name, _ = bench.request(entry_gateways=2)
        bench.done(name, usage=odd, units=odd)
        bench.wait(3.0)
    assert restrictor(bench).rate == PLAN.rate / 2
    assert math.isfinite(restrictor(bench).fill)
