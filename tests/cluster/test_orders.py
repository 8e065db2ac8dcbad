"""The handler of operators' orders: what may hold one up, and that it holds up no other."""

from __future__ import annotations

import json
from typing import Any, cast

import pytest
from consensus_world import InvariantViolation, World

from coralvale.cluster import orders
from coralvale.cluster.configuration import history as history_module
from coralvale.cluster.configuration.history import LARGE_BODY_BYTES, BuiltChange, Change, ChangeHistory
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.orders import (
    MAX_WAITING_BYTES,
    ChangeAnswer,
    ChangeRequestHandler,
    CheckChange,
)

SEEDS = 40
SECONDS = 25.0
CHECK_SECONDS = (0.0, 0.0, 0.002, 0.02, 0.5, 2.5)  # now and then longer than an election


def order(version: int, **fields: Any) -> Change:
    return Change(0, True, json.dumps({"Ver": version, **fields}).encode())


def large_order(version: int, **fields: Any) -> Change:
    return order(version, Note="x" * LARGE_BODY_BYTES, **fields)


VALID, OTHER, INVALID = order(2), order(3), order(4, Routes=[])
LARGE_INVALID, LARGE_VALID = large_order(5, Routes=[]), large_order(6)


class Leader:
    """A replica that takes every proposal and barrier; `leading` may change."""

    leading = caught_up = True

    def __init__(self) -> None:
        self.proposed: list[int] = []
        self.barriers: list[int] = []

    def in_contact(self, now: float) -> bool:
        return True

    def propose(self, now: float, token: int, kind: int, body: bytes) -> list[Any]:
        self.proposed.append(token)
        return []

    def barrier(self, now: float, token: int) -> list[Any]:
        self.barriers.append(token)
        return []


class Scene:
    def __init__(self) -> None:
        self.leader, self.history = Leader(), ChangeHistory()
        self.handler = ChangeRequestHandler(cast(Replica, self.leader), self.history)

    def submit(self, token: int, change: Change) -> list[Any]:
        return list(self.handler.submit(1.0, token, change))

    def check(self, action: Any) -> list[Any]:
        assert isinstance(action, CheckChange)
        return list(self.handler.checked(2.0, action.token, action.run()))


# Guards against review/3, Acks: a check that raised held up each order behind it, and its caller got no answer.
def test_a_check_that_raises_is_answered_and_holds_up_no_other_order(monkeypatch: pytest.MonkeyPatch) -> None:
    def check_fails(*sent: Any) -> None:
        raise TypeError("unhashable")

    scene = Scene()
    (check,) = scene.submit(1, VALID)
    assert scene.submit(2, OTHER) == []
    with monkeypatch.context() as patched:
        patched.setattr(history_module, "admit", check_fails)
        answer, following = scene.check(check)
    assert isinstance(answer, ChangeAnswer) and answer.token == 1 and answer.status == 500
    assert scene.check(following) == [] and scene.leader.proposed == [2]


# Guards against Acks: the event loop of the leader was held up for as long as a check took.
def test_a_check_is_left_to_the_caller_and_reads_go_on_beside_it() -> None:
    scene = Scene()
    (check,) = scene.submit(1, INVALID)
    assert isinstance(check, CheckChange) and not scene.leader.barriers
    scene.handler.read(1.5, 9)
    assert scene.leader.barriers == [9]
    assert [
        answer.status for answer in scene.handler.settled(1.6, 9, True) if isinstance(answer, ChangeAnswer)
    ] == [200]
    assert scene.check(check) == [] and scene.leader.barriers == [9, 1]
    (answer,) = scene.handler.settled(3.0, 1, True)
    assert isinstance(answer, ChangeAnswer) and answer.status == 400 and answer.times
    assert (answer.times.waiting, answer.times.check, answer.times.agreement) == (0.0, 1.0, 1.0)


def test_a_refused_order_that_is_sent_again_is_not_checked_again() -> None:
    scene = Scene()
    scene.check(scene.submit(1, INVALID)[0])
    scene.handler.settled(3.0, 1, True)
    assert scene.submit(2, INVALID) == [] and scene.leader.barriers == [1, 2]
    (answer,) = scene.handler.settled(4.0, 2, True)
    assert isinstance(answer, ChangeAnswer) and answer.status == 400
    assert isinstance(scene.submit(3, VALID)[0], CheckChange)


def test_an_order_whose_caller_has_given_up_is_not_begun() -> None:
    scene = Scene()
    (check,) = scene.submit(1, VALID)
    scene.submit(2, OTHER)
    scene.submit(3, OTHER)
    scene.handler.withdraw(2)
    scene.handler.withdraw(1)  # it was begun: its outcome is carried through
    scene.check(check)
    assert scene.leader.proposed == [1]
    _, following = scene.handler.settled(3.0, 1, False)
    assert isinstance(following, CheckChange) and following.token == 3


def test_a_leader_that_lost_its_place_while_an_order_was_checked_proposes_nothing() -> None:
    scene = Scene()
    (check,) = scene.submit(1, VALID)
    scene.submit(2, OTHER)
    scene.leader.leading = False
    answers = scene.check(check)
    assert [(answer.token, answer.status) for answer in answers] == [(1, 503), (2, 503)]
    assert not scene.leader.proposed and scene.handler.current is None


def test_a_leader_that_lost_its_place_while_a_large_order_was_checked_checks_no_other() -> None:
    scene = Scene()
    (check,) = scene.submit(1, LARGE_VALID)
    scene.submit(2, large_order(7))
    scene.leader.leading = False
    answers = scene.check(check)
    assert sorted((answer.token, answer.status) for answer in answers) == [(1, 503), (2, 503)]
    assert not scene.leader.proposed and scene.handler.large_checking is None


def test_the_result_of_another_check_is_ignored() -> None:
    scene = Scene()
    (check,) = scene.submit(1, VALID)
    assert scene.handler.checked(1.5, 7, Problem(Kind.INVALID)) == []
    assert scene.check(check) == [] and scene.leader.proposed == [1]
    assert scene.handler.checked(1.6, 1, check.run()) == [] and scene.leader.proposed == [1]


def test_an_order_that_was_overtaken_while_it_was_checked_is_told_so() -> None:
    scene = Scene()
    (check,) = scene.submit(1, INVALID)
    assert scene.history.deliver(history_module.pack(OTHER))
    assert scene.check(check) == [] and scene.leader.barriers == [1]
    assert not scene.history.refused  # what is kept of checks is about the current version
    (answer,) = scene.handler.settled(3.0, 1, True)
    assert isinstance(answer, ChangeAnswer) and answer.status == 412


def test_the_bodies_of_waiting_orders_have_a_bound_together() -> None:
    scene, large = Scene(), Change(0, True, bytes(MAX_WAITING_BYTES // 2))
    scene.submit(1, large)  # it is checked, and does not wait
    assert scene.submit(2, large) == [] and scene.submit(3, large) == []
    (answer,) = scene.submit(4, large)
    assert isinstance(answer, ChangeAnswer) and answer.status == 503


# Guards against Acks: a small order waited for the whole check of a large one (large_order.py of experiments).
@pytest.mark.parametrize("large", [LARGE_INVALID, LARGE_VALID], ids=["invalid", "valid"])
def test_a_small_order_does_not_wait_for_the_check_of_a_large_one(large: Change) -> None:
    scene = Scene()
    (large_check,) = scene.submit(1, large)
    (check,) = scene.submit(2, VALID)
    assert scene.check(check) == [] and scene.leader.proposed == [2]
    assert scene.history.deliver(history_module.pack(VALID))
    (answer,) = scene.handler.settled(3.0, 2, True)
    assert isinstance(answer, ChangeAnswer) and answer.status == 200
    # The large one lost the race, whatever its check found; a majority confirms it first.
    assert scene.check(large_check) == [] and scene.leader.barriers == [1] and scene.leader.proposed == [2]
    (answer,) = scene.handler.settled(4.0, 1, True)
    assert isinstance(answer, ChangeAnswer) and answer.token == 1 and answer.status == 412


def test_a_large_order_whose_check_ends_while_a_small_one_is_agreed_on_waits_for_that() -> None:
    scene = Scene()
    scene.check(scene.submit(2, VALID)[0])
    (large_check,) = scene.submit(1, LARGE_VALID)
    assert scene.check(large_check) == [] and scene.leader.proposed == [2]
    scene.handler.withdraw(1)  # it was begun: its outcome is carried through
    unsettled, *_ = scene.handler.settled(3.0, 2, False)
    assert isinstance(unsettled, ChangeAnswer) and unsettled.status == 503
    assert scene.leader.proposed == [2, 1]
    assert scene.history.deliver(history_module.pack(LARGE_VALID))
    (answer,) = scene.handler.settled(4.0, 1, True)
    assert isinstance(answer, ChangeAnswer) and (answer.token, answer.status) == (1, 200)


def test_the_leader_does_not_build_again_what_its_check_of_a_large_order_built() -> None:
    scene = Scene()
    (large_check,) = scene.submit(1, LARGE_VALID)
    scene.check(scene.submit(2, INVALID)[0])
    scene.handler.settled(2.5, 2, True)  # refused: the version is the same
    built = large_check.run()
    assert isinstance(built, BuiltChange)
    assert scene.handler.checked(3.0, 1, built) == [] and scene.leader.proposed == [1]
    assert (
        scene.history.deliver(history_module.pack(LARGE_VALID))
        and scene.history.configuration is built.configuration
    )


def test_large_orders_are_checked_one_at_a_time_and_a_refused_one_only_once() -> None:
    scene = Scene()
    (first,) = scene.submit(1, LARGE_INVALID)
    assert scene.submit(2, LARGE_INVALID) == [] and scene.submit(3, LARGE_VALID) == []
    (second,) = scene.check(first)  # of the third: the outcome of the second is that of the first
    assert isinstance(second, CheckChange) and second.token == 3 and scene.leader.barriers == [1]
    (answer,) = scene.handler.settled(3.0, 1, True)
    assert isinstance(answer, ChangeAnswer) and answer.status == 400 and scene.leader.barriers == [1, 2]
    (answer,) = scene.handler.settled(3.0, 2, True)
    assert isinstance(answer, ChangeAnswer) and (answer.token, answer.status) == (2, 400)
    assert scene.check(second) == [] and scene.leader.proposed == [3]


def test_a_large_order_whose_check_raises_is_answered_and_the_next_is_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def check_fails(*sent: Any) -> None:
        raise TypeError("unhashable")

    scene = Scene()
    (check,) = scene.submit(1, LARGE_VALID)
    scene.submit(2, large_order(7))
    with monkeypatch.context() as patched:
        patched.setattr(history_module, "admit", check_fails)
        following, answer = scene.check(check)
    assert isinstance(answer, ChangeAnswer) and (answer.token, answer.status) == (1, 500)
    assert scene.check(following) == [] and scene.leader.proposed == [2]


def test_large_orders_that_wait_go_with_their_callers_and_count_for_the_bound() -> None:
    scene, large = Scene(), Change(0, True, bytes(MAX_WAITING_BYTES // 2))
    scene.submit(1, large)
    assert scene.submit(2, large) == [] and scene.submit(3, large) == []
    (answer,) = scene.submit(4, VALID)  # the bound is on all that wait together
    assert isinstance(answer, ChangeAnswer) and answer.status == 503
    scene.handler.withdraw(2)
    (check,) = scene.submit(5, VALID)
    assert isinstance(check, CheckChange) and check.token == 5


@pytest.mark.parametrize("members", [3, 5])
def test_no_acknowledged_change_is_lost_where_some_checks_are_beside_the_others(
    monkeypatch: pytest.MonkeyPatch, members: int
) -> None:
    monkeypatch.setattr(orders, "LARGE_BODY_BYTES", 62)  # about half of the orders of this world
    acknowledged = large = 0
    for seed in range(SEEDS):
        world = World(seed, members, check_seconds=CHECK_SECONDS)
        try:
            acknowledged += world.play(SECONDS)
        except InvariantViolation as error:
            raise AssertionError(f"World({seed}, {members}), threshold 62: {error}") from error
        large += sum(len(change.body) > 62 for change in world.acknowledged.values())
    assert acknowledged > SEEDS * 10 and large > SEEDS


@pytest.mark.parametrize("members", [3, 5])
def test_no_acknowledged_change_is_lost_where_checks_take_long(members: int) -> None:
    acknowledged = 0
    for seed in range(SEEDS):
        world = World(seed, members, check_seconds=CHECK_SECONDS)
        try:
            acknowledged += world.play(SECONDS)
        except InvariantViolation as error:
            raise AssertionError(f"World({seed}, {members}, check_seconds=CHECK_SECONDS): {error}") from error
    assert acknowledged > SEEDS * 10
