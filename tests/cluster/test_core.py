"""The core's shell: an error in one action or handler holds up nothing that stands behind it."""

from __future__ import annotations

import asyncio
import threading
from types import SimpleNamespace
from typing import Any, cast

import pytest

from coralvale.cluster.configuration.history import BuiltChange, Change
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.orders import ChangeAnswer, CheckChange
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.runtime import Runtime


class Handler:
    """Stands for a handler of calls; answers what is settled, or raises."""

    def __init__(self, raises: bool) -> None:
        self.raises, self.tokens, self.withdrawn = raises, list[int](), list[int]()

    def submit(self, now: float, token: int, change: Change) -> list[ChangeAnswer]:
        return []

    def withdraw(self, token: int) -> None:
        self.withdrawn.append(token)

    def checked(self, now: float, token: int, found: BuiltChange | Problem) -> list[ChangeAnswer]:
        return [ChangeAnswer(token, found.reason.encode())] if isinstance(found, Problem) else []

    def settled(self, now: float, token: int, accepted: bool) -> list[ChangeAnswer]:
        self.tokens.append(token)
        if self.raises:
            raise KeyError(token)
        return [ChangeAnswer(token, b"settled")]


def make_core() -> Core:
    settings = SimpleNamespace(Ip="10.0.0.1", seeds=(), Bootstrap=False, holds_state=True)
    clock = SimpleNamespace(monotonic=lambda: 5.0)
    runtime = SimpleNamespace(
        settings=settings,
        clock=clock,
        started_at=0.0,
        loop=asyncio.get_running_loop(),
        spawn=asyncio.ensure_future,
        peers=SimpleNamespace(next_number=lambda: 9),
    )
    return Core(cast(Runtime, runtime), lambda configuration: None, lambda rows: None)


# Guards against an error in one handler: what was settled behind it reached no other, whose calls then waited for
# ever, since each handler has one proposal or barrier in flight.
def test_a_handler_that_raises_withholds_nothing_from_the_others() -> None:
    async def scene() -> None:
        core = make_core()
        core.desk = cast(Any, Handler(raises=True))
        core.share_desk = cast(Any, Handler(raises=True))
        core.coordination_desk = cast(Any, last := Handler(raises=False))
        core.answers[8] = asyncio.get_running_loop().create_future()
        core.execute([consensus.Settled(7, True), consensus.Settled(8, True)])
        assert last.tokens == [7, 8] and core.answers[8].result().body == b"settled"

    asyncio.run(scene())


def test_an_action_that_raises_holds_up_none_behind_it() -> None:
    async def scene() -> None:
        core = make_core()
        core.desk = cast(Any, Handler(raises=False))
        core.answers[8] = asyncio.get_running_loop().create_future()
        broken = consensus.Deliver(consensus.Entry(1, 1, consensus.CHANGE, b"not an entry"))
        core.execute([broken, consensus.Settled(8, True)])
        assert core.answers[8].result().body == b"settled" and not core.pending and not core.executing

    asyncio.run(scene())


class WaitingCheck(CheckChange):
    """A check that ends once the event loop has gone on."""

    loop_went_on = threading.Event()

    def run(self) -> BuiltChange | Problem:
        return Problem(Kind.INVALID, "beside" if self.loop_went_on.wait(5.0) else "on the loop")


# Guards against Acks: the leader's event loop stood still for as long as the check of an order took.
def test_the_event_loop_goes_on_while_an_order_is_checked() -> None:
    async def scene() -> None:
        core = make_core()
        core.desk = cast(Any, Handler(raises=False))
        answer = core.answers[7] = asyncio.get_running_loop().create_future()
        check = WaitingCheck(7, Change(0, True, b""), Configuration())
        core.execute([check])
        await asyncio.sleep(0.05)
        check.loop_went_on.set()
        assert (await asyncio.wait_for(answer, 20.0)).body == b"beside"

    asyncio.run(scene())


# Guards against orders that nobody waits for any more and that are checked before those behind them.
def test_an_order_is_withdrawn_when_its_time_is_over() -> None:
    async def scene() -> None:
        core = make_core()
        core.desk = cast(Any, handler := Handler(raises=False))
        assert await core.submit_change(Change(0, True, b""), 0.01) is None
        assert handler.withdrawn == [9] and not core.answers

    asyncio.run(scene())


# Guards against orders that wait for ever behind one whose check could not even begin.
def test_an_order_is_answered_where_no_thread_can_be_started(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuses(thread: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    async def scene() -> None:
        core = make_core()
        core.desk = cast(Any, Handler(raises=False))
        answer = core.answers[7] = asyncio.get_running_loop().create_future()
        with monkeypatch.context() as patched:
            patched.setattr(threading.Thread, "start", refuses)
            core.execute([CheckChange(7, Change(0, True, b""), Configuration())])
            await asyncio.sleep(0)
        assert b"can't start new thread" in (await asyncio.wait_for(answer, 20.0)).body

    asyncio.run(scene())
