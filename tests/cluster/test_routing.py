"""A request's way: what may be promised, when it is sent again, how its copy is picked."""

from __future__ import annotations

import random
from typing import Any

from quota_world import alone
from test_configuration import changed

from coralvale.cluster.configuration.model import Configuration, Part, Route, parse_configuration
from coralvale.cluster.errors import ANSWERS, Kind, Problem, Promise
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import Copies, Copy
from coralvale.cluster.routing.router import Job, Router
from coralvale.cluster.routing.tries import ENDS
from coralvale.cluster.settings import Bounds
from coralvale.interface import Outcome

BOUNDS = Bounds(RetryExtra=64)


def router(hosts: int = 6, **at: Any) -> Router:
    register = Register(1.5)
    for n in range(hosts):
        register.take(0.0, Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, 1))
    chance = random.Random(3)
    made = Router(BOUNDS, Copies(register, "z", chance), alone(), chance)
    configuration = parse_configuration(changed(**at), Configuration())
    assert isinstance(configuration, Configuration)
    assert made.take_configuration(configuration)
    return made


def enter(made: Router, path: str = "/x/1", key: str | None = "k1", left: float = 1.5) -> Job:
    job = made.enter(1.0, b"id", "a.example", path, key, left)
    assert isinstance(job, Job)
    return job


def sent(made: Router, job: Job) -> Copy:
    copy = made.pick(1.0, job)
    assert isinstance(copy, Copy)
    return copy


def kind(found: Any) -> Kind:
    assert isinstance(found, Problem)
    return found.kind


def test_every_kind_has_an_answer_and_only_promises_have_their_statuses() -> None:
    assert set(ANSWERS) == set(Kind)
    for each, answer in ANSWERS.items():
        if each not in (Kind.UNSETTLED, Kind.DISK):
            assert (answer.status in (429, 503, 408, 421)) == (answer.promise is Promise.NOT_RUN)


def test_who_is_let_in() -> None:
    made = router(Routes__r__Public=True)
    assert kind(made.enter(1.0, b"i", "a.example", "/nowhere/", "k1", 1.0)) is Kind.NO_ROUTE
    assert kind(made.enter(1.0, b"i", "a.example", "/x/y/1", None, 1.0)) is Kind.NO_KEY
    assert kind(made.enter(1.0, b"i", "a.example", "/x/y/1", "other", 1.0)) is Kind.NO_KEY
    assert kind(made.enter(1.0, b"i", "a.example", "/x/y/1", "", 1.0)) is Kind.NO_KEY
    assert enter(made, "/x/y/1", "k3").tenant == "u"
    assert enter(made, "/x/1", None).tenant == "" and enter(made, "/x/1", "k2").tenant == "t"
    empty = Router(BOUNDS, made.copies, made.limiter, random.Random(1))
    assert kind(empty.enter(1.0, b"i", "a.example", "/x/1", "k1", 1.0)) is Kind.NO_CONFIGURATION


def test_a_version_never_goes_back() -> None:
    made = router()
    older = parse_configuration({**changed(), "Ver": 1}, Configuration())
    assert (
        isinstance(older, Configuration)
        and not made.take_configuration(older)
        and made.configuration.version == 2
    )


def test_what_may_run_once_is_never_sent_again_nor_refused_when_it_may_have_run() -> None:
    for outcome in (Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT):
        made = router()
        job = enter(made, "/x/y/1")
        assert kind(made.ended(1.1, job, sent(made, job), 1, outcome, 0, 0.1)) is Kind.MAYBE_RUN
        assert not made.give_up(9.0, job).promises
    made = router()
    job = enter(made, "/x/y/1")
    for number in (1, 2):  # turned away, twice: all tries that the route has
        found = made.ended(1.1, job, sent(made, job), number, Outcome.FULL, 503, 0.1)
    assert kind(found) is Kind.NOT_RUN and found.promises


def test_each_way_that_a_try_can_end_stands_in_the_one_table() -> None:
    assert set(ENDS) == set(Outcome)
    once = {outcome for outcome, end in ENDS.items() if end.may_repeat(False)}
    assert once == {Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.FULL}
    assert {o for o, end in ENDS.items() if not end.may_repeat(True)} == {Outcome.OK}
    for outcome, end in ENDS.items():
        made = router()
        job = enter(made, "/x/y/1")
        copy = made.pick(1.0, job)
        assert isinstance(copy, Copy)
        found = made.ended(1.1, job, copy, 1, outcome, 500, 0.1)
        if outcome is Outcome.OK:
            assert found is None  # the host's answer is the client's, whatever it is
            continue
        assert job.maybe is end.may_have_run
        # Once it may have run, nothing that promises is ever said of it.
        assert made.give_up(1.2, job).promises is not end.may_have_run


def test_what_is_repeatable_goes_to_another_copy() -> None:
    made = router()
    job = enter(made)
    first = sent(made, job)
    assert made.ended(1.1, job, first, 1, Outcome.RESET, 0, 0.1) is None
    assert sent(made, job) is not first
    assert kind(made.ended(1.1, job, first, 2, Outcome.RESET, 0, 0.1)) is Kind.MAYBE_RUN


def test_without_a_byte_sent_it_goes_on_and_at_last_is_refused_with_its_room_given_back() -> None:
    made = router()
    job = enter(made, "/x/y/1")
    tries = 0
    while (found := made.ended(1.1, job, sent(made, job), tries + 1, Outcome.CONNECT_FAILED, 0, 0.0)) is None:
        tries += 1
    assert tries >= 2 and found.promises and job.admitted is None
    assert made.limiter.tenants["t"].bucket.fill == 0
    none = router(hosts=0)
    assert kind(none.pick(1.0, enter(none))) is Kind.NO_HOST


def test_a_copy_that_is_loaded_slow_or_ill_is_passed_over() -> None:
    made = router()
    copies = [made.copies.get(1.0, life) for life in made.copies.register.usable(1.0, "s")]
    copies[0].told(1.0, 4, 12, 4)
    copies[1].slow = 4.0
    copies[2].failed(1.0, 5.0)
    picked = {made.copies.pick(1.0, "s", 0.2, set()) for _ in range(100)}
    assert picked.isdisjoint(copies[:3]) and len(picked) >= 1
    for copy in copies:
        copy.failed(1.0, 5.0)
    assert made.copies.pick(1.0, "s", 0.2, set()) is not None  # all are ill: one is used all the same


def test_one_that_answers_from_anothers_address_is_left_alone() -> None:
    made = router(hosts=2)
    job = enter(made)
    wrong = sent(made, job)
    assert made.ended(1.1, job, wrong, 1, Outcome.FULL, 421, 0.01) is None
    assert all(made.copies.pick(1.2, "s", 0.2, set()) is not wrong for _ in range(20))


def test_each_part_of_a_split_gets_its_weights_share_to_within_a_few_requests() -> None:
    route = Route("a", "/", "idempotent", 100.0, Split=(Part("s", 90), Part("s2", 10)))
    for seed in range(20):
        made = router()
        made.chance = random.Random(seed)
        picked = [made._service("r", route) for _ in range(300)]
        for first in range(0, 300, 100):
            assert 8 <= picked[first : first + 100].count("s2") <= 12
        starts = {made._service(f"r{n}", route) for n in range(100)}
        assert starts == {"s", "s2"}  # not all begin with the same
