"""The core's shell: an error in one action or handler holds up nothing that stands behind it."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.orders import ChangeAnswer
from coralvale.cluster.server.core import Core
from coralvale.cluster.server.runtime import Runtime


class Handler:
    """Stands for a handler of calls; answers what is settled, or raises."""

    def __init__(self, raises: bool) -> None:
        self.raises, self.tokens = raises, list[int]()

    def settled(self, now: float, token: int, accepted: bool) -> list[ChangeAnswer]:
        self.tokens.append(token)
        if self.raises:
            raise KeyError(token)
        return [ChangeAnswer(token, b"settled")]


def make_core() -> Core:
    settings = SimpleNamespace(Ip="10.0.0.1", seeds=(), Bootstrap=False, holds_state=True)
    clock = SimpleNamespace(monotonic=lambda: 5.0)
    runtime = SimpleNamespace(settings=settings, clock=clock, started_at=0.0)
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
