"""The stand-ins do what the protocol says of those they stand for."""

from __future__ import annotations

import asyncio
import json
import time

from net_helpers import run, soon

from coralvale.standins.clients import Client, request
from coralvale.standins.counter import Tally
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.hosts import Host


async def client(port: int) -> Client:
    return Client(*await asyncio.open_connection("127.0.0.1", port))


def test_a_host_counts_what_it_ran_and_turns_away_what_it_did_not() -> None:
    async def test() -> None:
        host = await Host("s-1", delay=0.001, slots=1, queue=1).start()
        one = await client(host.port)
        before = time.time()
        assert (await one.ask(request("a"))).body == b"served by s-1"
        host.draining = True
        said = await one.ask(request("b"))
        assert said.status == 503 and said.headers[b"x-not-processed"] == b"1"
        assert host.ran == {"a": 1} and host.since(before) == 2 and not host.since(time.time())
        host.draining, host.delay = False, 0.2
        many = [await client(host.port) for _ in range(3)]
        statuses = sorted([m.status for m in await asyncio.gather(*(c.ask(request("q")) for c in many))])
        assert statuses == [200, 200, 503] and host.ran["q"] == 2  # one worked on, one waits, one is too many
        host.reset_share = 1.0
        one.send(request("c"))
        assert await one.at_end() and host.ran["c"] == 1
        host.stop()

    run(test())


def test_a_roster_tells_watches_its_list_then_its_changes() -> None:
    async def test() -> None:
        roster = await Roster(entry("s-1", 1), index=7).start()
        watch = await client(roster.port)
        watch.send(b"GET /discovery/hosts?stream=1 HTTP/1.1\r\n\r\n")
        await soon(watch.reader.readuntil(b"\r\n\r\n"))

        async def told() -> dict[str, object]:
            size = int(await soon(watch.reader.readline()), 16)
            data = await soon(watch.reader.readexactly(size + 2))
            return dict(json.loads(data))

        assert await told() == {"index": 7, "snapshot": True, "endpoints": [entry("s-1", 1)]}
        roster.tell("s-1", status="leaving")
        change = await told()
        assert change["index"] == 8 and change["endpoints"] == [entry("s-1", 1, status="leaving")]
        roster.tell("s-1", status="left")
        assert (await told())["endpoints"] and not roster.endpoints
        whole = await (await client(roster.port)).ask(b"GET /discovery/hosts HTTP/1.1\r\n\r\n")
        assert json.loads(whole.body)["index"] == 9
        roster.stop()

    run(test())


def test_a_tally_adds_forgets_at_the_end_of_a_life_and_loses_all() -> None:
    tally = Tally()
    assert [tally.add("x", 2, 1.0, at) for at in (0.0, 0.5, 1.0)] == [2, 4, 2]

    async def test() -> None:
        await tally.start()
        one = await client(tally.port)
        for text, status in (("9?n=1.5&keep_ms=1000", 200), ("9?n=a", 400), ("?n=1&keep_ms=1000", 404)):
            assert (await one.ask(f"POST /tally/{text} HTTP/1.1\r\n\r\n".encode())).status == status
        tally.lose()
        assert (await one.ask(b"POST /tally/9?n=-2&keep_ms=1000 HTTP/1.1\r\n\r\n")).body == b"-2"
        tally.turning_away = True
        assert (await one.ask(b"POST /tally/9?n=1&keep_ms=1000 HTTP/1.1\r\n\r\n")).status == 503
        tally.stop()

    run(test())
