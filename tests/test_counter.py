"""The counter exception: when it acts, what it lets in, and that it never holds a request for long."""

import math

from helpers import PLAN, Bench

from coralvale import interface as api


def counting(**more: object) -> Bench:
    return Bench(gateways=100, may_count=True, counter_timeout=0.05, **more)


def ask(bench: Bench, **more: object) -> tuple[str, api.Count]:
    name, actions = bench.request(entry_gateways=100, **more)
    assert [type(a) for a in actions] == [api.Count]
    return name, actions[0]


def test_nothing_is_asked_where_the_part_of_the_burst_is_half_a_request() -> None:
    bench = Bench(gateways=100, may_count=True, counter_timeout=0.05)
    for _ in range(20):
        _, actions = bench.request(entry_gateways=16)  # a burst of 8 units: half of one for each
        assert not [a for a in actions if isinstance(a, api.Count)]


def test_nothing_is_asked_where_there_is_no_counter_or_little_time() -> None:
    assert [type(a) for a in Bench(gateways=100).request(entry_gateways=100)[1]] == [api.Send]
    bench = counting()
    _, actions = bench.request(entry_gateways=100, expires_at=bench.now + 0.15)
    assert not [a for a in actions if isinstance(a, api.Count)]


def test_nothing_is_asked_while_a_fresh_reading_and_the_bucket_have_room() -> None:
    bench = counting()
    name, call = ask(bench)
    bench.feed(api.CounterReply(call.name, True, 1.0))
    bench.done(name, usage=0.2)
    bench.gateway.customers[1].fill = 0.0
    assert [type(a) for a in bench.request(entry_gateways=100)[1]] == [api.Send]


def test_many_gateways_let_in_about_one_burst_in_a_window() -> None:
    """300 gateways with one request each: a bucket each would let in 300 units of a burst of 8."""
    total, sent = 0.0, 0
    for seed in range(300):
        bench = counting(seed=seed)
        bench.now = 100.01
        _, call = ask(bench)
        total += call.amount
        actions = bench.feed(api.CounterReply(call.name, True, total))
        sent += [type(a) for a in actions] == [api.Send]
    assert PLAN.burst - 1 <= sent <= PLAN.burst + 1


def test_a_window_known_to_be_used_up_needs_no_further_call() -> None:
    bench = counting()
    _, call = ask(bench)
    (refusal,) = bench.feed(api.CounterReply(call.name, True, 50.0))
    assert isinstance(refusal, api.Refuse) and 0 < refusal.advice <= 1.0
    assert [type(a) for a in bench.request(entry_gateways=100)[1]] == [api.Refuse]
    bench.wait(PLAN.burst / PLAN.rate)
    ask(bench)


def test_the_bucket_alone_decides_when_the_counter_fails() -> None:
    for reply in ((False, 0.0), (True, math.nan), (True, math.inf)):
        bench = counting()
        _, call = ask(bench)
        assert [type(a) for a in bench.feed(api.CounterReply(call.name, *reply))] == [api.Send]
        second = bench.request(entry_gateways=100)[1]
        if isinstance(second[0], api.Count):
            second = bench.feed(api.CounterReply(second[0].name, False, 0.0))
        assert [type(a) for a in second] == [api.Refuse]


def test_a_silent_counter_loses_no_request() -> None:
    bench = counting()
    name, _ = ask(bench)
    sends = [a for a in bench.wait(0.3) if isinstance(a, api.Send)]
    assert [s.request for s in sends] == [name]
    assert bench.gateway.asked == {}


def test_a_failing_counter_is_asked_ever_less_and_again_later() -> None:
    bench = counting()

    def asked_of(first: int) -> int:
        asked = 0
        for customer in range(first, first + 100):
            call = bench.request(customer=customer, entry_gateways=100)[1][0]
            if isinstance(call, api.Count):
                asked += 1
                bench.feed(api.CounterReply(call.name, False, 0.0))
        return asked

    assert asked_of(0) < 40
    bench.wait(30.0)
    ask(bench, customer=1000)


def test_a_client_that_leaves_while_the_counter_is_asked_gets_nothing_more() -> None:
    bench = counting()
    name, call = ask(bench)
    bench.feed(api.Abandoned(name))
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []  # a reply that nobody waits for
    assert bench.gateway.asked == {} and bench.gateway.requests == {}


def test_a_call_stands_for_those_not_made() -> None:
    bench = counting()
    _, call = ask(bench)
    assert call.amount == 1.0
    bench.feed(api.CounterReply(call.name, False, 0.0))
    calls = [bench.request(customer=c, entry_gateways=100)[1][0] for c in range(2, 30)]
    assert {round(c.amount, 2) for c in calls if isinstance(c, api.Count)} == {round(1 / 0.6, 2)}
