"""When the node tells its ledger of a try: once before it leaves, once when nothing of it is out."""

from __future__ import annotations

from net_helpers import Arrived, World, answer, entry, request, run, soon, until, world

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.net.server import ParsedRequest
from coralvale.standins.peer import Peer


class Book:
    """A ledger that may be made to refuse."""

    def __init__(self) -> None:
        self.told: list[tuple[str, object]] = []
        self.willing, self.refusing = True, False

    def refuses(self) -> bool:
        return self.refusing

    def try_started(self, arrival: ParsedRequest) -> bool:
        self.told.append((arrival.id, "opened"))
        return self.willing

    def try_ended(self, request: str, arrived: bool) -> None:
        self.told.append((request, arrived))

    def close(self) -> None:
        self.told.append(("", "end"))


def sends(w: World, *servers: str) -> None:
    """The module tries these servers in turn until one answers, then fails the request."""
    left = list(servers)

    def go(name: str) -> list[api.Action]:
        return [api.Send(name, left.pop(0), 0.0)] if left else [api.Fail(name)]

    w.script.on(api.Request, lambda event: go(event.id))
    w.script.on(
        api.AttemptDone,
        lambda event: [] if event.outcome is Outcome.OK or event.finished else go(event.request),
    )


def test_a_try_whose_first_server_is_gone_is_recorded_when_it_leaves_for_the_next() -> None:
    async def test() -> None:
        host = await Peer(auto=answer()).start()
        async with world(entry("s-1", host.port)) as w:
            book = Book()
            w.node.meter = book
            sends(w, "unknown", "s-1")
            assert (await w.ask(request("a"))).status == 200
            await until(lambda: len(book.told) == 2)
            assert book.told == [("a", "opened"), ("a", True)]
            sends(w, "unknown", "unknown")
            assert (await w.ask(request("b"))).status == 502
            assert len(book.told) == 2  # nothing of it ever left
        assert book.told[-1] == ("", "end")
        host.stop()

    run(test())


def test_a_try_is_open_until_its_last_attempt_is_over_even_if_its_client_has_gone() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            book = Book()
            w.node.meter = book
            sends(w, "s-1")
            client = await w.client()
            client.send(request("a"))
            there: Arrived = await soon(host.next())
            client.close()
            await until(lambda: w.script.of(api.Abandoned))
            assert book.told == [("a", "opened")]
            there.reply(answer())
            await until(lambda: len(book.told) == 2)
            assert book.told[1] == ("a", True)
        host.stop()

    run(test())


def test_what_cannot_be_recorded_is_refused_at_once_where_it_has_to_be() -> None:
    async def test() -> None:
        host = await Peer(auto=answer()).start()
        async with world(entry("s-1", host.port)) as w:
            book = Book()
            w.node.meter = book
            sends(w, "s-1")
            book.willing = False
            assert (await w.ask(request("a"))).status == 502 and host.arrived.empty()
            assert w.script.of(api.AttemptDone)[0].outcome is Outcome.NOT_SENT
            book.refusing = True
            said = await w.ask(request("b"))
            assert said.status == 503 and float(said.headers[b"retry-after"]) > 0
            assert [name for name, _ in book.told] == ["a"]
        host.stop()

    run(test())
