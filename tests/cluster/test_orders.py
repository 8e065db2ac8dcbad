"""The handler of operators' orders: what may hold one up, and that it holds up no other."""

from __future__ import annotations

import json
from typing import Any, cast

import pytest
from consensus_world import InvariantViolation, World

from coralvale.cluster.configuration import history as history_module
from coralvale.cluster.configuration.history import Change, ChangeHistory
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.orders import MAX_WAITING_BYTES, ChangeAnswer, ChangeRequestHandler, CheckChange

SEEDS = 40
SECONDS = 25.0
CHECK_SECONDS = (0.0, 0.0, 0.002, 0.02, 0.5, 2.5)  # now and then longer than an election


def order(version: int, **fields: Any) -> Change:
    return Change(0, True, json.dumps({"Ver": version, **fields}).encode())


VALID, OTHER, INVALID = order(2), order(3), order(4, Routes=[])


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


def test_the_result_of_another_check_is_ignored() -> None:
    scene = Scene()
    (check,) = scene.submit(1, VALID)
    assert scene.handler.checked(1.5, 7, Problem(Kind.INVALID)) == []
    assert scene.check(check) == [] and scene.leader.proposed == [1]
    assert scene.handler.checked(1.6, 1, Configuration()) == [] and scene.leader.proposed == [1]


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
    scene.submit(1, VALID)
    assert scene.submit(2, large) == [] and scene.submit(3, large) == []
    (answer,) = scene.submit(4, large)
    assert isinstance(answer, ChangeAnswer) and answer.status == 503


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
