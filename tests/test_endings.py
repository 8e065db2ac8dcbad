"""How connections of clients end: the cause that is reported, and what was in hand."""

from __future__ import annotations

import pytest
from net_helpers import World, request, run, until, world

from coralvale import interface as api
from coralvale.net.endings import ConnectionEnd, EndCause


def record_ends(w: World) -> list[ConnectionEnd]:
    """A list that the ends of connections are added to."""
    ends: list[ConnectionEnd] = []
    w.node.connection_ended = ends.append  # type: ignore[method-assign]
    return ends


@pytest.mark.parametrize(
    ("leaves", "cause", "dropped"),
    [(True, EndCause.CLIENT_CLOSED, 0), (False, EndCause.PROCESS_EXIT, 2)],
)
def test_a_connection_that_ends_under_requests_names_them(
    leaves: bool, cause: EndCause, dropped: int
) -> None:
    async def test() -> None:
        async with world() as w:
            ends = record_ends(w)
            client = await w.client()
            client.send(request("r1") + request("r2") + request("r3")[:-9])
            await until(lambda: len(w.script.of(api.Request)) == 2)
            client.close() if leaves else w.node.server.close()
            await until(lambda: ends)
            assert ends[0].cause is cause and ends[0].request_names == ("r1", "r2")
            assert ends[0].in_hand == 2 and ends[0].partly_read
            counts = w.node.server.end_counts
            assert counts.connections == {cause: 1} and sum(counts.dropped_requests.values()) == dropped

    run(test())


def test_an_idle_connection_that_is_closed_drops_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with world() as w:
            ends = record_ends(w)
            client = await w.client()
            w.script.on(api.Request, lambda e: [api.Refuse(e.id, 0.25)])
            await client.ask(request("r1"))
            w.node.server.close_idle()
            assert await client.at_end()
            await until(lambda: ends)
            assert ends[0].cause is EndCause.SHUTDOWN and not ends[0].drops_requests

    run(test())
