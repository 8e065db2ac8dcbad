"""The leaky bucket against values computed by hand.

`Bench` has one plan (`helpers.PLAN`): a rate of 4 units per second, a burst of 8 units, and an excess cost of
1, so that the threshold is not scaled by cost.
"""

from helpers import Bench

from coralvale import interface as api


def kinds(actions: list[api.Action]) -> list[type]:
    return [type(a) for a in actions]


def test_a_single_entry_gateway_admits_the_burst_and_then_the_rate() -> None:
    bench = Bench()
    sent = 0
    for _ in range(12):
        name, actions = bench.request()
        sent += kinds(actions) == [api.Send]
        bench.done(name)
    assert sent == 8  # the burst of 8 units, all at one moment
    bench.wait(0.25)  # 4 units per second: one more unit of room
    assert kinds(bench.request()[1]) == [api.Send]
    assert kinds(bench.request()[1]) == [api.Refuse]


def test_a_customer_at_its_whole_quota_has_the_burst_scaled_with_the_floor() -> None:
    bench = Bench()
    for _ in range(60):  # 4 units per second, the whole quota, twice the part of this gateway
        bench.wait(0.25)
        bench.done(bench.request(entry_gateways=2)[0])
    bench.wait(4.0)  # the bucket is empty again
    sent = 0
    for _ in range(12):
        name, actions = bench.request(entry_gateways=2)
        sent += kinds(actions) == [api.Send]
        bench.done(name)
    assert sent == 4  # half of the burst


def test_a_customer_of_low_demand_has_the_whole_burst_at_one_gateway() -> None:
    bench = Bench()
    assert all(kinds(bench.request(entry_gateways=2)[1]) == [api.Send] for _ in range(6))


def test_the_advice_is_the_time_until_the_bucket_has_room() -> None:
    bench = Bench()
    for _ in range(8):
        bench.request()
    _, actions = bench.request()
    assert actions == [api.Refuse("r9", 0.25)]


def test_each_customer_has_its_own_bucket() -> None:
    bench = Bench()
    for _ in range(9):
        bench.request(customer=1)
    assert kinds(bench.request(customer=2)[1]) == [api.Send]
