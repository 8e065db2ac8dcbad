"""Quotas on the shared counter: when it is called, what it admits, and that no request waits for long."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from dataclasses import replace

import pytest
from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.restrictor import Restrictor
from coralvale.tally import EPOCH_S, INITIAL_FILL, LEEWAY_REQUESTS


def counting_gateway(**more: object) -> Bench:
    return Bench(gateways=100, may_count=True, counter_timeout=0.05, **more)


def ask(bench: Bench, **more: object) -> tuple[str, api.Count]:
    name, actions = bench.request(entry_gateways=100, **more)
    assert [type(a) for a in actions] == [api.Count]
    return name, actions[0]


class FakeCounter:
    """A counter in memory: totals by name, each call answered at once."""

    def __init__(self) -> None:
        self.totals: defaultdict[int | str, float] = defaultdict(float)
        self.calls = 0

    def add(self, call: api.Count) -> api.CounterReply:
        self.calls += 1
        self.totals[call.name] += call.amount
        return api.CounterReply(call.name, True, self.totals[call.name])

    def answer_calls(self, bench: Bench, actions: list[api.Action]) -> list[api.Action]:
        """Answers all calls among the actions, and those that follow; returns the other actions."""
        rest = []
        for action in actions:
            if isinstance(action, api.Count):
                rest += self.answer_calls(bench, bench.feed(self.add(action)))
            else:
                rest.append(action)
        return rest


def test_no_call_is_made_where_the_part_of_the_burst_is_some_requests_or_the_set_is_small() -> None:
    for plan, entries in ((replace(PLAN, burst=3.0 * 8), 8), (api.Plan("small", 0.5, 1.0), 4)):
        bench = counting_gateway(plans=(plan,))
        for _ in range(20):
            _, actions = bench.request(entry_gateways=entries)
            assert not [a for a in actions if isinstance(a, api.Count)]
        assert isinstance(bench.request(customer=2, entry_gateways=9)[1][0], api.Count)


def test_no_call_is_made_without_a_counter_or_with_little_time_left() -> None:
    assert [type(a) for a in Bench(gateways=100).request(entry_gateways=100)[1]] == [api.Send]
    bench = counting_gateway()
    _, actions = bench.request(entry_gateways=100, expires_at=bench.now + 0.15)
    assert not [a for a in actions if isinstance(a, api.Count)]


@pytest.mark.parametrize("asked", [0.5, 0.9, 3.0])
def test_forty_gateways_admit_what_one_store_would(asked: float) -> None:
    """Each sees one request in ten seconds. Separate buckets would admit 40 bursts, or refuse with room."""
    rng, fake, benches = (
        random.Random(int(asked * 10)),
        FakeCounter(),
        [counting_gateway(seed=n) for n in range(40)],
    )
    fill, at, sent, beyond, tries = 0.0, 100.0, 0, 0, 0
    alone, fitting = 0.0, 0  # a store that sees every try, and what it would admit
    while at < 100.0 + 3 * EPOCH_S:
        gap = rng.expovariate(asked * PLAN.rate)
        fill, at = max(0.0, fill - PLAN.rate * gap), at + gap
        bench = rng.choice(benches)
        bench.now = at
        name, actions = bench.request(entry_gateways=40)
        sends = [a for a in fake.answer_calls(bench, actions) if isinstance(a, api.Send)]
        fits = fill + 1 <= PLAN.burst
        alone = max(0.0, alone - PLAN.rate * gap)
        if alone + 1 <= PLAN.burst:
            alone, fitting = alone + 1, fitting + 1
        tries += 1
        if sends:
            sent, beyond, fill = sent + 1, beyond + (not fits), fill + fits
            bench.done(name)
    most = PLAN.burst + PLAN.rate * 3 * EPOCH_S
    started = 4 * INITIAL_FILL * PLAN.burst  # a new epoch begins with half a burst, whatever was used before
    assert sent <= most + started + 2
    assert beyond <= started + 0.02 * most
    assert sent >= 0.97 * fitting
    assert fake.calls <= 2 * tries  # one for each try, and one to correct it


def test_an_idle_customer_saves_up_at_most_one_burst() -> None:
    fake, bench = FakeCounter(), counting_gateway()
    fake.answer_calls(bench, ask(bench)[1:])
    bench.now += 0.8 * EPOCH_S
    sent = 0
    for seed in range(300):
        other = counting_gateway(seed=seed)
        other.now = bench.now
        sent += [type(a) for a in fake.answer_calls(other, other.request(entry_gateways=100)[1])] == [
            api.Send
        ]
    assert sent == PLAN.burst


def test_concurrent_corrections_of_one_store_do_not_block_it_for_long() -> None:
    """Both find it idle and both add the overflow: the next refusal subtracts the excess."""
    fake, benches = FakeCounter(), [counting_gateway(seed=n) for n in range(2)]
    calls = [ask(b)[1] for b in benches]
    replies = [fake.add(call) for call in calls]
    rights = [b.feed(reply) for b, reply in zip(benches, replies, strict=True)]
    for actions in rights:
        fake.answer_calls(benches[0], [a for a in actions if isinstance(a, api.Count)])
    third = counting_gateway(seed=3)
    first = fake.answer_calls(third, third.request(entry_gateways=100)[1])
    third.wait(2 / PLAN.rate)
    second = fake.answer_calls(third, third.request(entry_gateways=100)[1])
    assert api.Send in [type(a) for a in first + second]


def test_units_of_a_request_that_another_limit_refuses_are_subtracted_again() -> None:
    fake, bench = FakeCounter(), counting_gateway(plans=(api.Plan("one", 4.0, 8.0, open_limit=1.0),))
    _, one = ask(bench)
    _, two = ask(bench)
    _, begun = bench.gateway.counter.epoch(bench.now, 1)
    fake.totals[one.name] = 4.0 * (bench.now - begun) - INITIAL_FILL * 8.0  # neither idle nor in use
    replies = [fake.add(one), fake.add(two)]
    bench.feed(replies[0])
    refusal, right = bench.feed(replies[1])
    assert isinstance(refusal, api.Refuse) and refusal.reason == "open limit"
    assert isinstance(right, api.Count) and right.amount == pytest.approx(-1.0)


def test_a_store_known_to_be_full_needs_no_further_call() -> None:
    bench = counting_gateway()
    fake = FakeCounter()
    _, call = ask(bench)
    fake.totals[call.name] = 1e6
    (refusal,) = fake.answer_calls(bench, [call])
    assert isinstance(refusal, api.Refuse) and 0 < refusal.advice <= 1.0
    assert [type(a) for a in bench.request(entry_gateways=100)[1]] == [api.Refuse]
    bench.wait((1 + LEEWAY_REQUESTS) / PLAN.rate)
    ask(bench)


def test_the_bucket_alone_decides_when_the_counter_fails() -> None:
    for reply in ((False, 0.0), (True, math.nan), (True, math.inf)):
        bench = counting_gateway()
        bench.wait(30.0)  # longer than its part of the quota needs for a request
        _, call = ask(bench)
        assert [type(a) for a in bench.feed(api.CounterReply(call.name, *reply))] == [api.Send]
        second = bench.request(entry_gateways=100)[1]
        if isinstance(second[0], api.Count):
            second = bench.feed(api.CounterReply(second[0].name, False, 0.0))
        assert [type(a) for a in second] == [api.Refuse]


def test_a_fleet_that_just_started_admits_no_uncounted_burst() -> None:
    """Forty gateways have just started, and the counter fails: one request each would be a burst of forty."""
    plan = api.Plan("small", 0.5, 1.0, excess_cost=1.0)
    for age, most in ((0.0, 0), (20.0, 0), (81.0, 40)):
        let_in = 0
        for seed in range(40):
            bench = counting_gateway(plans=(plan,), seed=seed)
            bench.wait(age)
            actions = bench.request(entry_gateways=40)[1]
            if isinstance(actions[0], api.Count):
                actions = bench.feed(api.CounterReply(actions[0].name, False, 0.0))
            let_in += isinstance(actions[0], api.Send)
        assert let_in == most, (age, let_in)


def test_a_counter_without_replies_loses_no_request() -> None:
    bench = counting_gateway()
    bench.wait(30.0)
    name, _ = ask(bench)
    sends = [a for a in bench.wait(0.3) if isinstance(a, api.Send)]
    assert [s.request for s in sends] == [name]
    assert bench.gateway.counter.calls == {}


def test_a_failing_counter_gets_fewer_calls_and_all_again_later() -> None:
    bench = counting_gateway()

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


def test_an_overloaded_counter_is_called_first_for_plans_with_the_costliest_mistakes() -> None:
    dear, cheap = (
        api.Plan("dear", 4.0, 8.0, excess_cost=1.2, price=1.3),
        api.Plan("cheap", 4.0, 8.0, excess_cost=0.8),
    )
    bench = counting_gateway(plans=(cheap, dear))
    bench.gateway.counter.trust, bench.gateway.counter.trust_at = 0.5, bench.now
    asked = [0, 0]
    for customer in range(200):
        for plan in (0, 1):
            first = bench.request(customer=2 * customer + plan, plan=plan, entry_gateways=100)[1][0]
            asked[plan] += isinstance(first, api.Count)
    assert asked[1] == 200 and asked[0] < 30


def test_a_constant_network_delay_is_not_taken_for_an_overloaded_counter() -> None:
    """Three gateways in four are far from the counter: a delay that never changes is no sign of a queue."""
    bench = counting_gateway()
    for customer in range(200):
        call = bench.request(customer=customer, entry_gateways=100)[1][0]
        assert isinstance(call, api.Count)
        bench.now += 0.02
        bench.feed(api.CounterReply(call.name, True, 1.0))
    assert bench.gateway.counter.trust > 0.95


def test_a_client_that_leaves_during_a_counter_call_gets_no_answer() -> None:
    bench = counting_gateway()
    name, call = ask(bench)
    bench.feed(api.Abandoned(name))
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []  # a reply to no call
    assert bench.gateway.counter.calls == {} and bench.gateway.requests == {}


def test_a_request_larger_than_its_burst_is_admitted_once() -> None:
    """The room is at least one request: else one larger than its plan's burst would always be refused."""
    fake, bench = FakeCounter(), counting_gateway(plans=(api.Plan("small", 4.0, 2.0),))
    _, actions = bench.request(entry_gateways=100, units=3.0)
    assert [type(a) for a in fake.answer_calls(bench, actions)] == [api.Send]
    assert [type(a) for a in bench.request(entry_gateways=100, units=3.0)[1]] == [api.Refuse]


def test_calls_are_made_for_a_plan_that_is_not_in_the_settings() -> None:
    """With plans that change at run time a request's plan number may be past those of the settings."""
    bench = counting_gateway()
    other = api.Plan("new", 4.0, 2.0, price=9.0)
    restrictor = Restrictor(other, 100, bench.now, bench.now)
    request = api.Request("r", 0, 7, 1, 100, bench.now + 4.0)
    assert isinstance(bench.gateway.counter.ask(bench.now, request, restrictor), api.Count)
