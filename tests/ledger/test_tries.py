"""When the node reports a try to its ledger: once before it is sent, once when no attempt is in flight."""

from __future__ import annotations

from net_helpers import Arrived, World, answer, entry, request, run, soon, until, world

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.net.parsed_request import ParsedRequest
from coralvale.standins.peer import Peer


class FakeMeter:
    """A ledger that can be set to refuse."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, object]] = []
        self.accepts, self.refusing = True, False

    def refuses(self) -> bool:
        return self.refusing

    def try_started(self, arrival: ParsedRequest) -> bool:
        self.calls.append((arrival.id, "opened"))
        return self.accepts

    def try_ended(self, request: str, arrived: bool) -> None:
        self.calls.append((request, arrived))

    def close(self) -> None:
        self.calls.append(("", "end"))


def script_attempts(w: World, *servers: str) -> None:
    """Scripts the module to try these servers in turn until one answers, then to fail the request."""
    left = list(servers)

    def go(name: str) -> list[api.Action]:
        return [api.Send(name, left.pop(0), 0.0)] if left else [api.Fail(name)]

    w.script.on(api.Request, lambda event: go(event.id))
    w.script.on(
        api.AttemptDone,
        lambda event: [] if event.outcome is Outcome.OK or event.finished else go(event.request),
    )


def test_try_whose_first_server_is_unknown_is_recorded_when_sent_to_the_next() -> None:
    async def test() -> None:
        host = await Peer(auto=answer()).start()
        async with world(entry("s-1", host.port)) as w:
            meter = FakeMeter()
            w.node.meter = meter
            script_attempts(w, "unknown", "s-1")
            assert (await w.ask(request("a"))).status == 200
            await until(lambda: len(meter.calls) == 2)
            assert meter.calls == [("a", "opened"), ("a", True)]
            script_attempts(w, "unknown", "unknown")
            assert (await w.ask(request("b"))).status == 502
            assert len(meter.calls) == 2  # it was never sent
        assert meter.calls[-1] == ("", "end")
        host.stop()

    run(test())


def test_try_stays_open_until_its_last_attempt_ends_even_if_the_client_left() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            meter = FakeMeter()
            w.node.meter = meter
            script_attempts(w, "s-1")
            client = await w.client()
            client.send(request("a"))
            there: Arrived = await soon(host.next())
            client.close()
            await until(lambda: w.script.of(api.Abandoned))
            assert meter.calls == [("a", "opened")]
            there.reply(answer())
            await until(lambda: len(meter.calls) == 2)
            assert meter.calls[1] == ("a", True)
        host.stop()

    run(test())


def test_request_that_cannot_be_recorded_is_refused_at_once() -> None:
    async def test() -> None:
        host = await Peer(auto=answer()).start()
        async with world(entry("s-1", host.port)) as w:
            meter = FakeMeter()
            w.node.meter = meter
            script_attempts(w, "s-1")
            meter.accepts = False
            assert (await w.ask(request("a"))).status == 502 and host.arrived.empty()
            assert w.script.of(api.AttemptDone)[0].outcome is Outcome.NOT_SENT
            meter.refusing = True
            said = await w.ask(request("b"))
            assert said.status == 503 and float(said.headers[b"retry-after"]) > 0
            assert [name for name, _ in meter.calls] == ["a"]
        host.stop()

    run(test())
