"""Requests whose attempt ends while they are being written: what is sent again, and what the client is told.

A host may run a request once it has the head, and answer before it has read the body. So a request that was
written in part may have run. The hosts here run a request at its head and leave the body unread.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop
from scenes import play
from test_configuration import changed
from test_edge import BOOK, READ, Scene, reply, request_bytes, wait_until

from coralvale.cluster.registry.register import Row
from coralvale.cluster.settings import Bounds
from coralvale.net.clock import Clock
from coralvale.standins.wire import Message, read_message

BODY = bytes(8_000_000)  # more than the socket buffers hold
MAX_BODY_BYTES = 1 << 25
RECEIVE_BUFFER_BYTES = 16_384


class HeadHost:
    """A host that runs each request at its head and reads no body."""

    def __init__(self) -> None:
        self.runs: list[str] = []  # ids of requests, as they came
        self.on_head: Callable[[str, asyncio.StreamWriter], None] = lambda *_: None

    async def start(self) -> HeadHost:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=4096)
        self.port = sock.getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = [line.partition(b": ") for line in head.lower().split(b"\r\n")]
        ids = [value.decode() for name, _, value in fields if name == b"x-myrtlehatch-request-id"]
        self.runs += ids
        self.on_head(ids[0], writer)


class WriteScene(Scene):
    """A gateway before hosts that read no bodies."""

    async def start_hosts(self, count: int) -> WriteScene:
        self.heads = [await HeadHost().start() for _ in range(count)]
        for number, host in enumerate(self.heads):
            self.add_host(number, host.port)
        self.server.memory.account.limit = MAX_BODY_BYTES
        return self

    def add_host(self, number: int, port: int) -> None:
        row = Row(f"h-{number}", "s", "127.0.0.1", port, "z", "v", 4, 0, 0.0, 1)
        self.register.merge(Clock().monotonic(), row)

    def runs(self) -> list[str]:
        return [id_ for host in self.heads for id_ in host.runs]

    async def stop(self) -> None:
        await super().stop()
        for host in self.heads:
            host.server.close()


def run_hosts(
    count: int, scene: Callable[[WriteScene], Awaitable[None]], config: dict[str, Any] | None = None
) -> None:
    """Runs a scene with `count` hosts on uvloop, as the program does."""

    async def whole() -> None:
        made = WriteScene()
        await made.start(0, config)
        await made.start_hosts(count)
        await play(made, scene)

    uvloop.run(whole())


async def post(s: WriteScene, path: str, left: int = 5000) -> Message:
    """Sends a long request with `left` ms of time; returns the gateway's answer."""
    reader, writer = await s.connect()
    writer.write(request_bytes(path, "r-1", BODY).replace(b"5000", b"%d" % left, 1))
    found = await asyncio.wait_for(read_message(reader), 15.0)
    writer.close()
    return found


def crash(_: str, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


# Guards against issue 60, TWICE: a paid submission ran at a second host after the first had crashed at work.
def test_a_run_once_request_is_not_sent_again_after_its_host_crashed_at_its_head() -> None:
    async def scene(s: WriteScene) -> None:
        for host in s.heads:
            host.on_head = crash
        found = await post(s, BOOK)
        assert s.runs() == ["r-1"]
        assert found.status == 502 and b"retry-after" not in found.headers

    run_hosts(3, scene)


# Guards against BUDGET: a request that had run in part at each of its hosts did not count as a try there.
def test_a_request_written_in_part_counts_as_a_try_of_its_route() -> None:
    async def scene(s: WriteScene) -> None:
        for host in s.heads:
            host.on_head = crash
        found = await post(s, READ)
        assert s.runs() == ["r-1", "r-1"] and found.status == 502

    run_hosts(5, scene, changed(Routes__r__Tries=2))


# Guards against REFUSED: a request that a host was running got 503, the promise that it has not run.
def test_a_deadline_while_a_request_is_written_promises_nothing() -> None:
    async def scene(s: WriteScene) -> None:
        found = await post(s, BOOK, left=500)
        assert s.runs() == ["r-1"]
        assert found.status == 504 and b"retry-after" not in found.headers

    run_hosts(2, scene)


# Guards against BUDGET: a try at a silent host that had the head was left out of the retry budget.
def test_a_silent_host_that_got_a_part_counts_against_the_retry_budget() -> None:
    async def scene(s: WriteScene) -> None:
        s.edge.router.bounds = Bounds(RetryRatio=0.0, RetryExtra=0)
        s.edge.router.route_delays["r"] = 0.02
        found = await post(s, READ, left=1500)
        assert s.runs() == ["r-1"] and not s.edge.open
        assert (
            found.status == 504 and b"retry-after" not in found.headers
        )  # left to its host until its deadline

    run_hosts(5, scene)


def test_a_request_being_written_when_its_client_leaves_runs_at_one_host() -> None:
    async def scene(s: WriteScene) -> None:
        writers: list[asyncio.StreamWriter] = []
        for host in s.heads:
            host.on_head = lambda _, writer: writers.append(writer)
        _, client = await s.connect()
        client.write(request_bytes(BOOK, "r-1", BODY))
        await wait_until(lambda: bool(writers))
        client.transport.abort()
        await asyncio.sleep(0.05)
        writers[0].transport.abort()  # the host crashes after its client has left
        await wait_until(lambda: not s.edge.open)
        await asyncio.sleep(0.05)
        assert s.runs() == ["r-1"]

    run_hosts(3, scene)


@pytest.mark.parametrize("case", ["refused", "turned away"])
def test_a_run_once_request_that_surely_has_not_run_is_still_sent_again(case: str) -> None:
    """The first host takes no connection, or says at the head that it does not run the request."""

    def turn_away(id_: str, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(id_, b"full", 503, **{"X-Myrtlehatch-Not-Executed": "1"}))

    async def scene(s: WriteScene) -> None:
        if case == "refused":
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                s.add_host(8, closed.getsockname()[1])
        else:
            away = await HeadHost().start()
            away.on_head = turn_away
            s.add_host(8, away.port)
        s.heads[0].on_head = lambda id_, writer: writer.write(reply(id_, b"ran"))
        first = s.edge.router.instances.get(s.edge.clock.monotonic(), s.register.entries["h-0"])
        first.delay_ratio = 1.5  # so that the other one is picked first
        found = await post(s, BOOK)
        assert (found.status, found.body) == (200, b"ran") and s.runs() == ["r-1"]
        assert first.picked == 1 and s.edge.router.instances.by_id["h-8"].picked == 1

    run_hosts(1, scene)
