"""Which request a host's answer belongs to: answers to other requests, answers that name no request.

Each way by which an answer can end is tried, short and long, at the first try of a request and at a further one.
"""

from __future__ import annotations

import asyncio
from itertools import product

import pytest
from test_configuration import changed
from test_edge import (
    BOOK,
    READ,
    GatedHosts,
    Scene,
    next_request,
    reply,
    run_scene,
    wait_until,
    without_length,
)

from coralvale.cluster.server.hosts import HostConnection
from coralvale.net.clock import Clock
from coralvale.net.transport import AnswerOwner
from coralvale.net.upstream import MAX_BUFFERED_BYTES, REUSE_DELAY_S, UNKNOWN_LENGTH_WAIT_S
from coralvale.standins.peer import Arrived
from coralvale.standins.wire import Message, chunk

LONG = b"x" * (4 * MAX_BUFFERED_BYTES)
NOT_RUN = {"X-Myrtlehatch-Not-Executed": "1"}


def chunked(data: bytes) -> bytes:
    """The same answer, in chunks."""
    head, _, body = without_length(data).partition(b"\r\n\r\n")
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + b"0\r\n\r\n"


def framed(id_: str) -> dict[str, bytes]:
    """Whole answers to a request, after which the connection can go on."""
    return {
        "short": reply(id_, b"surplus"),
        "long": reply(id_, LONG),
        "chunked": chunked(reply(id_, b"surplus")),
        "long, chunked": chunked(reply(id_, LONG)),
        "after an interim answer": b"HTTP/1.1 103 x\r\n\r\n" + reply(id_, b"surplus"),
        "not found": reply(id_, b"surplus", 404),
        "failure": reply(id_, b"surplus", 500),
        "refusal": reply(id_, b"", 503, **NOT_RUN),
        "other host": reply(id_, b"", 421, **NOT_RUN),
    }


def unframed(id_: str) -> dict[str, bytes]:
    """Answers to a request that end with their connection."""
    return {
        "to the end, short": without_length(reply(id_, b"surplus")),
        "to the end, long": without_length(reply(id_, LONG)),
        "to the end, refusal": without_length(reply(id_, b"", 503, **NOT_RUN)),
        "cut short": reply(id_, LONG)[:-4],
    }


def without_id(data: bytes) -> bytes:
    """The same answer, with no request id."""
    head, _, body = data.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 103"):
        return head + b"\r\n\r\n" + without_id(body)
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"x-myrtlehatch-request-id")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class OwnerScene:
    """A gateway with a kept connection to each of its hosts, over which one request was answered."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        # An expected delay, in s, so long that no attempt is given up as silent, also on a busy machine.
        scene.edge.router.route_delays["r"] = 0.8

    async def keep_connections(self) -> None:
        """Sends the request `first` to each host; the last one answers it, the others turn it away."""
        asked = asyncio.create_task(self.scene.ask(READ, "first", left=5000))
        for _ in self.scene.peers[1:]:
            (await next_request(self.scene)).reply(reply("first", b"", 503, **NOT_RUN))
        (await next_request(self.scene)).reply(reply("first", b"mine"))
        assert (await asked).body == b"mine"

    async def ask(self, path: str, further: bool) -> tuple[asyncio.Task[Message], Arrived]:
        """Sends a request; returns it at its host, at its second one if `further`."""
        asked = asyncio.create_task(self.scene.ask(path, "next", left=5000))
        arrived = await next_request(self.scene)
        if further:
            arrived.reply(reply("next", b"", 503, **NOT_RUN))
            arrived = await next_request(self.scene)
        assert arrived.connection == 1
        return asked, arrived

    def connections(self) -> list[HostConnection]:
        """The connections on which an answer is awaited."""
        found = [c for c in self.scene.hosts.connections if c.attempt]
        assert all(isinstance(c, HostConnection) for c in found)
        return found  # type: ignore[return-value]

    def arrivals(self) -> int:
        return sum(peer.arrived.qsize() for peer in self.scene.peers)


@pytest.mark.parametrize("further", [False, True], ids=["first try", "further try"])
@pytest.mark.parametrize("path", [READ, BOOK])
@pytest.mark.parametrize("shape", framed(""))
def test_a_whole_surplus_answer_ends_no_other_request(shape: str, path: str, further: bool) -> None:
    """Guards against MIXED and REFUSED: the answer to an earlier request in the place of the next one due."""

    async def scene(s: Scene) -> None:
        scene = OwnerScene(s)
        await scene.keep_connections()
        asked, arrived = await scene.ask(path, further)
        arrived.reply(framed("first")[shape])
        await wait_until(lambda: s.hosts.answers[AnswerOwner.OTHER] == 1)
        await wait_until(lambda: all(c.owner is None for c in scene.connections()))  # dropped to its end
        assert not asked.done() and not scene.arrivals()
        arrived.reply(reply("next", b"own"))
        found = await asked
        assert (found.status, found.body) == (200, b"own")
        assert found.headers[b"x-myrtlehatch-request-id"] == b"next"
        assert not scene.arrivals()

    run_scene(2, scene)


@pytest.mark.parametrize("path", [READ, BOOK])
@pytest.mark.parametrize("shape", unframed(""))
def test_a_surplus_answer_to_the_end_of_its_connection_ends_no_other_request(shape: str, path: str) -> None:
    """Guards against MIXED, REFUSED and TWICE: the connection breaks, so the request may have run."""

    async def scene(s: Scene) -> None:
        scene = OwnerScene(s)
        await scene.keep_connections()
        asked, arrived = await scene.ask(path, False)
        arrived.reply(unframed("first")[shape])
        arrived.close()
        if path == READ:  # sent again, to the other host
            (await next_request(s)).reply(reply("next", b"own"))
        found = await asked
        assert (found.status, found.body) == ((200, b"own") if path == READ else (502, b""))
        assert b"retry-after" not in found.headers and not scene.arrivals()

    run_scene(2, scene)


@pytest.mark.parametrize("slow", [False, True], ids=["long", "slow"])
def test_a_surplus_answer_is_neither_streamed_nor_kept(slow: bool) -> None:
    """Guards against MIXED: a surplus answer that is too long to be buffered, or of unknown length and slow.

    Nothing of it may stay in memory either: a host could send any amount.
    """

    async def scene(s: Scene) -> None:
        scene = OwnerScene(s)
        await scene.keep_connections()
        asked, arrived = await scene.ask(READ, False)
        surplus = chunked(reply("first", b"part")) if slow else reply("first", LONG)
        head, _, body = surplus.partition(b"\r\n\r\n")
        parts = [head + b"\r\n\r\n", body[: len(body) // 2], body[len(body) // 2 :]]
        for part in parts:
            arrived.reply(part)
            await asyncio.sleep(0.6 * UNKNOWN_LENGTH_WAIT_S)
            assert all(not c.body for c in scene.connections())
        assert not asked.done()
        arrived.reply(reply("next", b"own"))
        found = await asked
        assert (found.status, found.body) == (200, b"own") and not scene.arrivals()

    run_scene(1, scene)


@pytest.mark.parametrize("further", [False, True], ids=["first try", "further try"])
@pytest.mark.parametrize("path", [READ, BOOK])
@pytest.mark.parametrize("shape", [*framed(""), *unframed("")])
def test_an_answer_that_names_no_request_is_given_to_no_client(shape: str, path: str, further: bool) -> None:
    """Guards against MIXED, REFUSED and TWICE: whose answer it is can't be told, so the request may have run."""

    async def scene(s: Scene) -> None:
        scene = OwnerScene(s)
        await scene.keep_connections()
        asked, arrived = await scene.ask(path, further)
        arrived.reply(without_id({**framed("first"), **unframed("first")}[shape]))
        if shape in unframed(""):
            arrived.close()
        if path == READ:  # sent again, to a host that has not had it
            (await next_request(s)).reply(reply("next", b"own"))
        found = await asked
        assert (found.status, found.body) == ((200, b"own") if path == READ else (502, b""))
        assert b"retry-after" not in found.headers and not scene.arrivals()
        assert s.hosts.answers[AnswerOwner.UNKNOWN] == 1

    run_scene(3, scene, changed(Routes__r__Tries=3, Limits={"BodyBytes": 1000}))


def test_an_answer_that_names_two_requests_is_given_to_no_client() -> None:
    """Guards against MIXED: an answer that bears the id of its request and another one."""

    async def scene(s: Scene) -> None:
        asked = asyncio.create_task(s.ask(BOOK, "next"))
        arrived = await next_request(s)
        arrived.reply(reply("next", b"whose").replace(b"\r\n", b"\r\nX-Myrtlehatch-Request-Id: first\r\n", 1))
        assert (await asked).status == 502

    run_scene(1, scene)


COPIES = ["refusal", "other host", "to the end, refusal"]


# A run-once request has no further try after a failure.
@pytest.mark.parametrize(("path", "shape"), [(READ, "failure"), *product((READ, BOOK), COPIES)])
def test_a_copy_of_the_answer_to_an_earlier_try_ends_no_later_one(shape: str, path: str) -> None:
    """Guards against TWICE, REFUSED and BUDGET: the copy names the same request as the answer that is due.

    Each host is tried once more when all were tried. A host sends its second copy when the later try has come.
    """

    async def scene(s: Scene) -> None:
        scene = OwnerScene(s)
        copy = {**framed("next"), **unframed("next")}[shape]
        tries: list[Arrived] = []
        asked = asyncio.create_task(s.ask(path, "next", left=5000))
        for _ in s.peers:
            tries.append(await next_request(s))
            await asyncio.sleep(10 * REUSE_DELAY_S)  # connections kept before may be used again by then
            tries[-1].reply(framed("next").get(shape, framed("next")["refusal"]))
        tries.append(await next_request(s))  # at one of the two hosts again
        for earlier in tries[:2]:
            earlier.reply(copy)
        await asyncio.sleep(0.05)  # for the copy to reach the gateway
        tries[2].reply(reply("next", b"own"))
        found = await asked
        assert (found.status, found.body) == (200, b"own")
        assert not scene.arrivals()

    run_scene(2, scene, changed(Routes__r__Tries=4, Routes__deep__Tries=4, Limits={"BodyBytes": 1000}))


def test_a_waiting_try_is_not_written_to_a_connection_of_an_earlier_one() -> None:
    """Guards against TWICE and REFUSED: a connection that becomes free goes to the attempt that waits for one."""

    async def scene(s: Scene) -> None:
        OwnerScene(s)
        s.hosts.close()
        hosts = s.hosts = s.edge.hosts = GatedHosts(Clock(), 5.0, 8.0, 100)
        hosts.gate = asyncio.Event()
        hosts.gate.set()
        asked = asyncio.create_task(s.ask(READ, "next", left=5000))
        first = await next_request(s)
        hosts.gate.clear()  # the later try has to wait for its new connection
        first.reply(reply("next", b"", 503, **NOT_RUN))
        (pool,) = hosts.pools.values()
        await wait_until(lambda: bool(pool.waiting))
        other = asyncio.create_task(s.ask(READ, "other", left=5000))
        arrived = await next_request(s)
        assert arrived.connection == 1
        arrived.reply(reply("other", b"other's"))
        assert (await other).body == b"other's"
        await asyncio.sleep(20 * REUSE_DELAY_S)  # the free connection is offered to those that wait
        assert pool.waiting and not s.peers[0].arrived.qsize()
        hosts.gate.set()
        arrived = await next_request(s)
        assert arrived.connection == 2
        arrived.reply(reply("next", b"own"))
        assert (await asked).body == b"own"

    run_scene(1, scene, changed(Routes__r__Tries=4, Limits={"BodyBytes": 1000}))


def test_a_further_try_takes_another_kept_connection_before_it_opens_a_new_one() -> None:
    """A try avoids only the connections that its own request was written to."""

    async def scene(s: Scene) -> None:
        OwnerScene(s)
        two = [asyncio.create_task(s.ask(READ, f"r-{n}", left=5000)) for n in range(2)]
        for arrived in [await next_request(s) for _ in two]:
            id_ = arrived.message.headers[b"x-myrtlehatch-request-id"].decode()
            arrived.reply(reply(id_, b"own"))
        await asyncio.gather(*two)
        asked = asyncio.create_task(s.ask(READ, "next", left=5000))
        first = await next_request(s)
        first.reply(reply("next", b"", 503, **NOT_RUN))
        again = await next_request(s)
        assert {first.connection, again.connection} == {1, 2}
        again.reply(reply("next", b"own"))
        assert (await asked).body == b"own" and s.peers[0].connections == 2

    run_scene(1, scene, changed(Routes__r__Tries=4, Limits={"BodyBytes": 1000}))
