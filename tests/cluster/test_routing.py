"""Router decisions: admission, retries, promises in errors, and the choice of the instance."""

from __future__ import annotations

import random
from typing import Any

from quota_world import alone
from test_configuration import changed

from coralvale.cluster.configuration.model import Configuration, Part, Route, parse_configuration
from coralvale.cluster.errors import ANSWERS, Kind, Problem, Promise
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import Instance, InstancePool
from coralvale.cluster.routing.router import Job, Router
from coralvale.cluster.routing.tries import ENDS
from coralvale.cluster.settings import Bounds
from coralvale.interface import Outcome

BOUNDS = Bounds(RetryExtra=64)


def router(hosts: int = 6, **at: Any) -> Router:
    register = Register(1.5)
    for n in range(hosts):
        register.merge(0.0, Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, 1))
    chance = random.Random(3)
    made = Router(BOUNDS, InstancePool(register, "z", chance), alone(), chance)
    configuration = parse_configuration(changed(**at), Configuration())
    assert isinstance(configuration, Configuration)
    assert made.take_configuration(configuration)
    return made


def admitted_job(made: Router, path: str = "/x/1", key: str | None = "k1", left: float = 1.5) -> Job:
    job = made.admit(1.0, b"id", "a.example", path, key, left)
    assert isinstance(job, Job)
    return job


def picked_instance(made: Router, job: Job) -> Instance:
    instance = made.pick(1.0, job)
    assert isinstance(instance, Instance)
    return instance


def kind(found: Any) -> Kind:
    assert isinstance(found, Problem)
    return found.kind


def test_each_problem_kind_has_an_answer_and_only_promises_use_the_promising_statuses() -> None:
    assert set(ANSWERS) == set(Kind)
    for each, answer in ANSWERS.items():
        if each not in (Kind.NO_MAJORITY, Kind.DISK):
            assert (answer.status in (429, 503, 408, 421)) == (answer.promise is Promise.NOT_RUN)


def test_requests_without_route_key_or_configuration_are_refused() -> None:
    made = router(Routes__r__Public=True)
    assert kind(made.admit(1.0, b"i", "a.example", "/nowhere/", "k1", 1.0)) is Kind.NO_ROUTE
    assert kind(made.admit(1.0, b"i", "a.example", "/x/y/1", None, 1.0)) is Kind.UNAUTHENTICATED
    assert kind(made.admit(1.0, b"i", "a.example", "/x/y/1", "other", 1.0)) is Kind.UNAUTHENTICATED
    assert kind(made.admit(1.0, b"i", "a.example", "/x/y/1", "", 1.0)) is Kind.UNAUTHENTICATED
    assert admitted_job(made, "/x/y/1", "k3").tenant == "u"
    assert admitted_job(made, "/x/1", None).tenant == "" and admitted_job(made, "/x/1", "k2").tenant == "t"
    empty = Router(BOUNDS, made.instances, made.limiter, random.Random(1))
    assert kind(empty.admit(1.0, b"i", "a.example", "/x/1", "k1", 1.0)) is Kind.NO_CONFIGURATION


def test_an_older_configuration_does_not_replace_a_newer_one() -> None:
    made = router()
    older = parse_configuration({**changed(), "Ver": 1}, Configuration())
    assert (
        isinstance(older, Configuration)
        and not made.take_configuration(older)
        and made.configuration.version == 2
    )


def test_a_run_once_request_that_may_have_run_is_neither_retried_nor_refused_with_a_promise() -> None:
    for outcome in (Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT):
        made = router()
        job = admitted_job(made, "/x/y/1")
        assert (
            kind(made.try_ended(1.1, job, picked_instance(made, job), 1, outcome, 0, 0.1)) is Kind.MAYBE_RUN
        )
        assert not made.time_out(9.0, job).promises_not_run
    made = router()
    job = admitted_job(made, "/x/y/1")
    for number in (1, 2):  # turned away by two hosts: all tries of the route
        found = made.try_ended(1.1, job, picked_instance(made, job), number, Outcome.FULL, 503, 0.1)
    assert kind(found) is Kind.NOT_RUN and found.promises_not_run


def test_each_outcome_of_a_try_is_decided_by_the_table() -> None:
    assert set(ENDS) == set(Outcome)
    once = {outcome for outcome, end in ENDS.items() if end.may_repeat(False)}
    assert once == {Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.FULL}
    assert {o for o, end in ENDS.items() if not end.may_repeat(True)} == {Outcome.OK}
    for outcome, end in ENDS.items():
        made = router()
        job = admitted_job(made, "/x/y/1")
        instance = made.pick(1.0, job)
        assert isinstance(instance, Instance)
        found = made.try_ended(1.1, job, instance, 1, outcome, 500, 0.1)
        if outcome is Outcome.OK:
            assert found is None  # the host's answer goes to the client, whatever its status
            continue
        assert job.may_have_run is end.may_have_run
        # After a try that may have run, no answer promises that the request has not run.
        assert made.time_out(1.2, job).promises_not_run is not end.may_have_run


def test_a_repeatable_request_is_retried_at_another_instance() -> None:
    made = router()
    job = admitted_job(made)
    first = picked_instance(made, job)
    assert made.try_ended(1.1, job, first, 1, Outcome.RESET, 0, 0.1) is None
    assert picked_instance(made, job) is not first
    assert kind(made.try_ended(1.1, job, first, 2, Outcome.RESET, 0, 0.1)) is Kind.MAYBE_RUN


def test_a_request_that_reached_no_host_is_retried_then_refused_and_refunded() -> None:
    made = router()
    job = admitted_job(made, "/x/y/1")
    tries = 0
    while (
        found := made.try_ended(
            1.1, job, picked_instance(made, job), tries + 1, Outcome.CONNECT_FAILED, 0, 0.0
        )
    ) is None:
        tries += 1
    assert tries >= 2 and found.promises_not_run and job.admitted is None
    assert made.limiter.tenants["t"].bucket.fill == 0
    none = router(hosts=0)
    assert kind(none.pick(1.0, admitted_job(none))) is Kind.NO_HOST


def test_loaded_slow_and_failing_instances_are_not_picked_while_others_are_left() -> None:
    made = router()
    instances = [made.instances.get(1.0, entry) for entry in made.instances.register.usable(1.0, "s")]
    instances[0].update_load(1.0, 4, 12, 4)
    instances[1].delay_ratio = 4.0
    instances[2].record_failure(1.0, 5.0)
    picked = {made.instances.pick(1.0, "s", 0.2, set()) for _ in range(100)}
    assert picked.isdisjoint(instances[:3]) and len(picked) >= 1
    for instance in instances:
        instance.record_failure(1.0, 5.0)
    assert made.instances.pick(1.0, "s", 0.2, set()) is not None  # all are ill: one is still used


def test_an_instance_whose_address_belongs_to_another_is_avoided() -> None:
    made = router(hosts=2)
    job = admitted_job(made)
    wrong = picked_instance(made, job)
    assert made.try_ended(1.1, job, wrong, 1, Outcome.FULL, 421, 0.01) is None
    assert all(made.instances.pick(1.2, "s", 0.2, set()) is not wrong for _ in range(20))


def test_each_part_of_a_split_gets_its_share_to_within_a_few_requests() -> None:
    route = Route("a", "/", "idempotent", 100.0, Split=(Part("s", 90), Part("s2", 10)))
    for seed in range(20):
        made = router()
        made.rng = random.Random(seed)
        picked = [made._choose_service("r", route) for _ in range(300)]
        for first in range(0, 300, 100):
            assert 8 <= picked[first : first + 100].count("s2") <= 12
        starts = {made._choose_service(f"r{n}", route) for n in range(100)}
        assert starts == {"s", "s2"}  # routes do not all begin with the same part
