"""Whom to ask, the breaker, the cache, and what the decisions do with a request that is asked about."""

from __future__ import annotations

import random
from dataclasses import replace

from helpers import SETTINGS, full_list, server
from hypothesis import given
from hypothesis import strategies as st

from coralvale import interface as api
from coralvale.authorisation.checks import FAILS, LONGEST, PAUSE, Checks, Rule, State
from coralvale.interface import Verdict
from coralvale.logic import Gateway

RULE = Rule(
    "ceibo", plans=frozenset({1}), stations=frozenset({7}), classes=frozenset({0}), allows=frozenset({0})
)


def checks(**changes: int) -> Checks[str]:
    return Checks(replace(RULE, **changes), seed=1)


def test_a_rule_matches_what_it_names_and_empty_matches_all() -> None:
    assert RULE.matches(1, 7, 0)
    assert not (RULE.matches(0, 7, 0) or RULE.matches(1, 8, 0) or RULE.matches(1, 7, 1))
    assert Rule("all").matches(0, 99, 5)
    assert checks().without(0) is Verdict.ALLOWED and checks().without(1) is Verdict.NO_ANSWER


def test_failures_in_a_row_open_the_breaker_and_one_check_tries_again() -> None:
    one, now = checks(), 100.0
    for n in range(FAILS):
        assert not one.begin(now, f"r{n}")
        one.failed(now, f"r{n}", "no answer in time")
    assert one.state is State.OPEN and one.out == 0
    assert one.begin(now + PAUSE * 0.49, "x") == "it has not answered lately"
    later = now + PAUSE * 1.51
    assert not one.begin(later, "trial") and one.begin(later, "other")  # one alone
    one.failed(later, "trial", "reset")
    assert one.state is State.OPEN and one.begin(later + PAUSE, "x") and one.pause == 4 * PAUSE
    assert not one.begin(later + 3 * PAUSE, "left")
    one.left("left")  # its client has gone: that says nothing, so another is tried
    assert not one.begin(later + 3 * PAUSE, "trial")
    one.answered(later + 3 * PAUSE, "trial", None, "yes")
    assert one.state is State.CLOSED and one.pause == PAUSE and one.failures == 0
    assert [line.split(":")[0] for line in one.lines] == [
        "authoriser ceibo is not asked for a while", "authoriser ceibo answers again",
    ]  # fmt: skip


def test_answers_between_failures_keep_the_breaker_closed() -> None:
    one = checks()
    for n in range(10 * FAILS):
        one.begin(1.0, str(n))
        one.failed(1.0, str(n), "reset") if n % FAILS else one.answered(1.0, str(n), None, "no")
    assert one.state is State.CLOSED


@given(st.lists(st.tuples(st.sampled_from("basflx"), st.integers(0, 5), st.floats(0, 3)), max_size=200))
def test_whatever_comes_checks_out_are_counted_and_never_lost(events: list[tuple[str, int, float]]) -> None:
    one, now, out = checks(most_out=3), 0.0, set[str]()
    for kind, n, step in events:
        now, request = now + step, str(n)
        if kind == "b" and request not in out:
            if not one.begin(now, request):
                out.add(request)
        elif request in out and kind in "afl":
            out.discard(request)
            if kind == "a":
                one.answered(now, request, (1, 0, b"me"), "yes")
            elif kind == "f":
                one.failed(now, request, "reset")
            else:
                one.left(request)
        assert one.out == len(out) <= 3 and one.pause <= LONGEST
        assert not one.trial or one.trial in out
    now += 2 * LONGEST  # whatever was, an authoriser is tried again
    for request in out:
        one.left(request)
    assert not one.begin(now, "again")


def test_the_cache_is_bounded_in_entries_and_time_and_keeps_denials() -> None:
    one = checks(cache_entries=2)
    for n in range(3):
        one.begin(0.0, str(n))
        one.answered(0.0, str(n), (7, 0, b"%d" % n), "no" if n else "yes")
    assert one.cached(1.0, (7, 0, b"0")) is None and one.cached(1.0, (7, 0, b"1")) == "no"
    assert one.cached(1.0, None) is None and one.cached(1.0, (8, 0, b"1")) is None
    assert one.cached(10.0, (7, 0, b"1")) is None and len(one.cache) == 1
    plain = checks()
    plain.begin(0.0, "r")
    plain.answered(0.0, "r", (7, 0, b"me"), "yes")
    assert not plain.cache


# The decisions

PLAN = api.Plan(
    "team", rate=4.0, burst=8.0, excess_cost=1.0, open_limit=0.0, ceiling_rate=8.0, ceiling_burst=16.0
)
CLASSES = (*SETTINGS.classes, replace(SETTINGS.classes[0], name="write", repeat=api.Repeat.UNSAFE))


def gateway(**changes: object) -> Gateway:
    plan = replace(PLAN, **changes)  # type: ignore[arg-type]
    made = Gateway(replace(SETTINGS, gateways=1, plans=(plan,), classes=CLASSES), 1)
    made.handle(50.0, full_list(server("a"), server("b")))  # since when its part of the ceiling has filled
    return made


def arrive(made: Gateway, n: int, now: float = 100.0, cls: int = 0, expires: float = 4.0) -> list[api.Action]:
    told = api.Request(f"r{n}", cls, 0, 7, 1, now + expires, check=True)
    return [a for a in made.handle(now, told) if not isinstance(a, api.SetTimer)]


def kinds(actions: list[api.Action]) -> list[str]:
    return [type(a).__name__ for a in actions if not isinstance(a, api.SetTimer)]


def checked(made: Gateway, n: int, verdict: Verdict, now: float = 100.0) -> list[str]:
    return kinds(made.handle(now, api.Checked(f"r{n}", verdict)))


def test_a_request_is_asked_about_before_it_is_sent_and_sent_once_it_is_allowed() -> None:
    made = gateway()
    assert kinds(arrive(made, 1)) == ["Check"]
    assert checked(made, 1, Verdict.ALLOWED) == ["Send"]
    assert checked(made, 1, Verdict.ALLOWED) == []  # one approval, once
    assert kinds(arrive(made, 2)) == ["Check"] and checked(made, 2, Verdict.DENIED) == ["Deny"]
    assert kinds(arrive(made, 3)) == ["Check"] and checked(made, 3, Verdict.NO_ANSWER) == ["Refuse"]
    assert not made.pending_checks and made.customers[7].open == 1


def test_a_flood_beyond_quota_is_no_flood_at_the_authoriser_denied_or_not() -> None:
    for verdict in Verdict:
        made, asked = gateway(), 0
        for n in range(1000):
            now = 100.0 + n / 100  # 100 a second for 10 s, of a quota of 4
            if kinds(arrive(made, n, now)) == ["Check"]:
                asked += 1
                checked(made, n, verdict, now)
                made.handle(now, api.AttemptDone(f"r{n}", 0, api.Outcome.OK, 0.01, True))
        assert asked <= 8 + 4 * 10 + 1, (verdict, asked)


def test_those_that_wait_together_cannot_pass_the_quota_and_a_denied_one_costs_nothing() -> None:
    made = gateway()
    waiting = [n for n in range(1000) if kinds(arrive(made, n)) == ["Check"]]
    assert len(waiting) == 8
    assert all(checked(made, n, Verdict.ALLOWED) == ["Send"] for n in waiting)
    assert kinds(arrive(made, 1000)) == ["Refuse"]
    made = gateway()
    for n in range(8):
        arrive(made, n)
        checked(made, n, Verdict.DENIED)
    restrictor = made.customers[7]
    assert (
        restrictor.fill == 0
        and restrictor.ceiling == 16.0
        and restrictor.open == 0
        and restrictor.passed == 0
    )
    plain = [made.handle(100.0, api.Request(f"p{n}", 0, 0, 7, 1, 104.0)) for n in range(9)]
    assert [kinds(a)[0] for a in plain] == ["Send"] * 8 + ["Refuse"]


def test_an_approval_that_comes_too_late_or_after_the_client_has_left_sends_nothing() -> None:
    made = gateway()
    arrive(made, 1)
    assert checked(made, 1, Verdict.ALLOWED, 103.99) == ["Refuse"]
    arrive(made, 2)
    made.handle(100.5, api.Abandoned("r2"))
    assert checked(made, 2, Verdict.ALLOWED) == [] and not made.pending_checks
    assert made.customers[7].open == 0


def test_an_approval_holds_for_all_attempts_and_a_write_that_may_have_run_has_no_other() -> None:
    made = gateway()
    arrive(made, 1, cls=1)
    checked(made, 1, Verdict.ALLOWED)
    again = made.handle(100.1, api.AttemptDone("r1", 0, api.Outcome.CONNECT_FAILED, 0.01, False))
    assert kinds(again) == ["Send"]  # not asked again
    assert kinds(made.handle(100.2, api.AttemptDone("r1", 1, api.Outcome.RESET, 0.01, False))) == ["Fail"]


@given(seed=st.integers(0, 2**32))
def test_every_request_has_one_final_answer_in_any_order(seed: int) -> None:
    lots, made, open_, answers = (
        random.Random(seed),
        gateway(open_limit=6.0),
        dict[str, int](),
        dict[str, int](),
    )
    now = 100.0

    def note(actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                open_[action.request] = open_.get(action.request, -1) + 1
            elif isinstance(action, (api.Refuse, api.Deny, api.Fail)):
                answers[action.request] = answers.get(action.request, 0) + 1

    names = [f"r{n}" for n in range(40)]
    for n in range(40):
        now += lots.random() / 4
        note(arrive(made, n, now, lots.randrange(2), lots.choice([0.2, 1.0, 4.0])))
        for _ in range(lots.randrange(3)):
            if made.pending_checks and lots.random() < 0.7:
                note(
                    made.handle(
                        now, api.Checked(lots.choice(list(made.pending_checks)), lots.choice(list(Verdict)))
                    )
                )
            elif open_:
                name = lots.choice(list(open_))
                outcome = lots.choice([api.Outcome.OK, api.Outcome.RESET, api.Outcome.CONNECT_FAILED])
                attempt, ok = open_.pop(name), outcome is api.Outcome.OK
                if ok:
                    answers[name] = answers.get(name, 0) + 1
                before = set(open_)
                actions = made.handle(now, api.AttemptDone(name, attempt, outcome, 0.01, ok))
                for action in actions:
                    if isinstance(action, api.Send):
                        open_[name] = attempt + 1
                note([a for a in actions if not isinstance(a, api.Send)])
                assert set(open_) - before <= {name}
    for name in list(made.pending_checks):
        note(made.handle(now, api.Checked(name, Verdict.DENIED)))
    assert all(answers.get(name, 0) == (name not in open_) for name in names), seed
    assert not made.pending_checks and made.customers[7].open == len(open_)
