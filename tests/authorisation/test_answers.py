"""Answering for other proxies: the module's own decisions, one answer each, ends from the access log."""

from __future__ import annotations

import random
from dataclasses import replace

from helpers import SETTINGS, full_list, server
from hypothesis import given
from hypothesis import strategies as st

from coralvale import interface as api
from coralvale.authorisation.answers import Allowed, Answers, Mistaken, Out, Refused
from coralvale.interface import Outcome

PLAN = api.Plan("team", 4.0, 8.0, open_limit=3.0, excess_cost=1.0)
HARD = api.Plan("federal", 1000.0, 1000.0, ceiling_rate=5.0, ceiling_burst=10.0)
ONE = replace(SETTINGS, gateways=1, plans=(PLAN, HARD))
AT = 1000.0


def answers(settings: api.Settings = ONE, most: int = 1000) -> Answers:
    made = Answers(settings, 1, None, most, repeats=2)
    made.listed(AT - 100.0, full_list(server("a"), server("b")))
    return made


def request(n: int, now: float = AT, plan: int = 0, **more: float) -> api.Request:
    return api.Request(f"r{n}", 0, plan, 7, 1, now + 4.0, **more)  # type: ignore[arg-type]


def only(outs: list[Out]) -> Out:
    (out,) = [o for o in outs if not isinstance(o, (api.Count, api.Log))]
    return out


def test_open_requests_are_learned_from_the_log_and_from_the_give_up_time_without_it() -> None:
    made = answers()
    assert [type(only(made.check(AT, request(n)))) for n in range(4)] == [Allowed] * 3 + [Refused]
    assert made.ended(AT + 0.1, "r0", Outcome.OK, 0.1, 0.5) == []
    assert isinstance(only(made.check(AT + 0.1, request(4))), Allowed)
    assert isinstance(only(made.check(AT + 0.1, request(5))), Refused)
    assert made.gateway.customers[7].reading == 0.5
    for _ in range(2):
        made.ended(AT + 0.2, "r0", Outcome.OK, 0.1)  # told twice
    made.ended(AT + 0.2, "who", Outcome.OK, 0.1)
    assert made.strays == 3 and made.gateway.customers[7].open == 3
    made.tick(AT + 4.05)
    assert set(made.known) == {"r4"} and made.gateway.customers[7].open == 1
    made.tick(AT + 5.0)
    assert not made.known and made.gateway.customers[7].open == 0 and not made.gateway.requests


def test_the_same_request_is_charged_once_and_an_id_is_no_way_round_a_quota() -> None:
    made = answers()
    assert isinstance(only(made.check(AT, request(1))), Allowed)
    fill = made.gateway.customers[7].fill
    assert only(made.check(AT + 1, request(1))) == Allowed("r1", 3.0)
    assert isinstance(only(made.check(AT + 1, request(1))), Allowed)
    assert made.gateway.customers[7].fill <= fill and made.gateway.customers[7].open == 1
    assert only(made.check(AT + 1, request(1))) == Mistaken("r1", "x-request-id: in use")
    made.check(AT + 1, request(2))
    assert isinstance(only(made.check(AT + 1, request(2, units=2.0))), Mistaken)


def test_what_is_known_is_bounded_and_a_deadline_that_is_past_refused() -> None:
    made = answers(most=1)
    assert isinstance(only(made.check(AT, request(1, AT - 4.0))), Refused)
    assert isinstance(only(made.check(AT, request(1))), Allowed)
    assert isinstance(only(made.check(AT, request(2))), Refused) and len(made.known) == 1
    made = answers()
    for n in range(5000):
        made.check(AT, request(n))
    assert len(made.ends) <= 10  # what was refused is not kept


def test_a_request_that_waits_for_the_counter_is_answered_by_it_or_forgotten() -> None:
    sparse = api.Plan("basico", 0.5, 1.0, excess_cost=1.0)
    made = answers(replace(ONE, gateways=9, plans=(sparse,), may_count=True, counter_timeout=0.03))
    asked = api.Request("r1", 0, 0, 7, 9, AT + 4.0)
    (count,) = made.check(AT, asked)
    assert isinstance(count, api.Count) and made.known["r1"].waiting
    assert isinstance(only(made.counted(AT + 0.01, api.CounterReply(count.name, True, 1.0))), Allowed)
    made = answers(replace(ONE, gateways=9, plans=(sparse,), may_count=True, counter_timeout=0.03))
    made.check(AT, asked)
    made.left(AT + 0.01, "r1")
    assert not made.known and not [
        c for calls in made.gateway.counter.calls.values() for c in calls if c.request
    ]


@given(seed=st.integers(0, 2**32))
def test_every_check_has_one_answer_and_nothing_is_left_behind(seed: int) -> None:
    lots, made, now = random.Random(seed), answers(most=20), AT
    admitted: list[float] = []
    for n in range(300):
        now += lots.expovariate(20.0)
        told = request(lots.randrange(200), now, lots.randrange(2))
        before = told.id in made.known
        out = only(made.check(now, told))
        assert out.request == told.id  # type: ignore[union-attr]
        if isinstance(out, Allowed) and not before and told.plan == 1:
            admitted.append(now)
        if lots.random() < 0.5:
            made.ended(now, f"r{lots.randrange(200)}", lots.choice(list(Outcome)), lots.uniform(-1, 9), 0.5)
        if n % 5 == 0:
            made.tick(now)
        assert len(made.known) <= 20
        assert sum(not k.ended for k in made.known.values()) == made.gateway.customers[7].open, seed
    level, last = HARD.ceiling_burst, AT
    for at in admitted:
        level, last = min(HARD.ceiling_burst, level + HARD.ceiling_rate * (at - last)) - 1, at
        assert level >= -1e-6, seed
    made.tick(now + 10.0)
    assert not made.known and not made.ends and made.gateway.customers[7].open == 0
