"""The edge server on real sockets, between a client and scripted hosts.

Guards against answers that reach the wrong client, retries of requests that may have run, and refusals that
wrongly promise that a request has not run.
"""

from __future__ import annotations

import asyncio
import math
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from quota_world import alone
from scenes import cancel_other_tasks, play
from test_configuration import WHOLE, changed

from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.rate_limit.actions import Admitted, AskTokens, Decided, Source
from coralvale.cluster.rate_limit.shares import ShareTable, even_table
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import InstancePool
from coralvale.cluster.routing.router import Router
from coralvale.cluster.server.edge import Edge, EdgeServer
from coralvale.cluster.server.hosts import Hosts
from coralvale.cluster.settings import Bounds
from coralvale.net.clock import Clock
from coralvale.net.memory import MemoryAccount
from coralvale.net.server import ClientLimits
from coralvale.net.transport import Attempt
from coralvale.net.upstream import Pool
from coralvale.standins.peer import Arrived, Peer
from coralvale.standins.wire import Message, answer, read_message

READ, BOOK = "/x/1", "/x/y/1"


class Scene:
    """One gateway's edge server with a number of scripted hosts."""

    async def start(self, hosts: int, config: dict[str, Any] | None = None) -> Scene:
        self.writers: list[asyncio.StreamWriter] = []  # of clients
        self.peers = [await Peer().start() for _ in range(hosts)]
        self.register = Register(1.5)
        clock = Clock()
        now = clock.monotonic()
        for n, peer in enumerate(self.peers):
            self.register.merge(now, Row(f"i-{n}", "s", "127.0.0.1", peer.port, "z", "v", 4, 0, 0.0, 1))
        chance = random.Random(1)
        limiter = alone()
        router = Router(Bounds(RetryExtra=64), InstancePool(self.register, "z", chance), limiter, chance)
        configuration = parse_configuration(
            config or {**WHOLE, "Limits": {"BodyBytes": 1000}}, Configuration()
        )
        assert isinstance(configuration, Configuration)
        if config != {}:
            router.take_configuration(configuration)
        self.hosts = Hosts(clock, 0.5, 8.0, 100)
        self.edge = Edge(router, self.hosts, clock)
        self.server = EdgeServer(("127.0.0.1", 0), self.edge, 100, MemoryAccount(1 << 20), clock)
        self.server.start()
        return self

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.writers.append(writer)
        return reader, writer

    async def ask(
        self, path: str, id_: str = "r-1", left: int = 1500, more: str = "", body: bytes = b""
    ) -> Message:
        reader, writer = await self.connect()
        method = "POST" if path == BOOK else "GET"
        head = (
            f"{method} {path}?q=1 HTTP/1.1\r\nHost: A.example:80\r\nX-Myrtlehatch-Request-Id: {id_}\r\n"
            f"X-Myrtlehatch-Time-Left: {left}\r\nAuthorization: Bearer k1\r\n"
            f"{more}Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        found = await asyncio.wait_for(read_message(reader), 10.0)
        writer.close()
        return found

    async def stop(self) -> None:
        """Closes everything while the loop still runs, whatever the test left open."""
        await cancel_other_tasks()
        for writer in self.writers:
            writer.transport.abort()
        self.server.close()
        self.hosts.close()
        for peer in self.peers:
            peer.stop()
        await asyncio.sleep(0)  # for the transports to pass on that they are closed


def reply(id_: str, text: bytes = b"ok", status: int = 200, **more: str) -> bytes:
    named = {"X-Myrtlehatch-Request-Id": id_, "X-Myrtlehatch-Seal": "seal", **more}
    return answer(status, text, **{name.replace("-", "_"): value for name, value in named.items()})


def run_scene(
    hosts: int, scene: Callable[[Scene], Awaitable[None]], config: dict[str, Any] | None = None
) -> None:
    """Runs a scene. `config`: replaces the usual configuration; {}: none is known yet."""

    async def whole() -> None:
        await play(await Scene().start(hosts, config), scene)

    asyncio.run(whole())


async def next_request(scene: Scene) -> Arrived:
    """The next request that arrives at any host."""
    waits = [asyncio.ensure_future(peer.next()) for peer in scene.peers]
    done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in rest:
        task.cancel()
    return done.pop().result()


def test_a_host_gets_the_gateways_headers_and_none_that_a_client_forged() -> None:
    async def scene(s: Scene) -> None:
        more = "X-Myrtlehatch-Tenant: other\r\nX-Myrtlehatch-Want-Instance: me\r\n"
        more += "Connection: keep-alive, X-Own\r\nX-Own: 1\r\n"
        asked = asyncio.create_task(s.ask(BOOK, more=more + "X-Kept: yes\r\n", body=b"slot=9"))
        arrived = await next_request(s)
        got = arrived.message
        assert got.first == b"POST /x/y/1?q=1 HTTP/1.1" and got.body == b"slot=9"
        fields = {name: value for name, value in got.headers.items() if name.startswith(b"x-")}
        left = int(fields.pop(b"x-myrtlehatch-time-left"))
        assert 1000 < left < 1500 and b"authorization" not in got.headers and b"keep-alive" not in got.headers
        assert fields == {
            b"x-myrtlehatch-request-id": b"r-1",
            b"x-myrtlehatch-tenant": b"t",
            b"x-myrtlehatch-want-instance": b"i-0",
            b"x-kept": b"yes",
        }
        arrived.reply(reply("r-1", b"booked", **{"X-Myrtlehatch-Load": "1,0,4"}))
        answered = await asked
        assert (answered.status, answered.body) == (200, b"booked")
        assert (
            answered.headers[b"x-myrtlehatch-seal"] == b"seal"
            and b"x-myrtlehatch-load" not in answered.headers
        )

    run_scene(1, scene)


def test_a_surplus_answer_of_a_host_is_given_to_no_client() -> None:
    async def scene(s: Scene) -> None:
        for late in (False, True):
            first = asyncio.create_task(s.ask(BOOK, "r-1"))
            arrived = await next_request(s)
            arrived.reply(reply("r-1", b"mine") + (b"" if late else reply("r-1", b"surplus")))
            assert (await first).body == b"mine"
            second = asyncio.create_task(s.ask(BOOK, "r-2"))
            arrived = await next_request(s)
            if late:
                arrived.reply(reply("r-1", b"surplus"))
            arrived.reply(reply("r-2", b"next"))
            found = await second
            assert (found.status, found.body) == (200, b"next")

    run_scene(1, scene)


def without_length(data: bytes) -> bytes:
    """An answer that ends with its connection."""
    lines = data.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.lower().startswith(b"content-length"))


# Guards against issue 60, review/1, MIXED and REFUSED: a late second answer without a length, which ends with its
# connection, was taken for the answer to the next request on it, or for its refusal.
@pytest.mark.parametrize("refusal", [False, True])
def test_a_surplus_answer_without_a_length_ends_no_other_request(refusal: bool) -> None:
    if refusal:
        surplus = without_length(reply("r-1", b"", 503, **{"X-Myrtlehatch-Not-Executed": "1"}))
    else:
        surplus = without_length(reply("r-1", b"surplus"))

    async def scene(s: Scene) -> None:
        for path, expected in ((BOOK, (502, b"")), (READ, (200, b"own"))):
            first = asyncio.create_task(s.ask(path, "r-1"))
            arrived = await next_request(s)
            arrived.reply(reply("r-1", b"mine"))
            assert (await first).body == b"mine"
            second = asyncio.create_task(s.ask(path, "r-2"))
            arrived = await next_request(s)
            arrived.reply(surplus)
            arrived.close()
            if path == READ:  # sent again, on a connection of its own
                (await next_request(s)).reply(reply("r-2", b"own"))
            found = await second
            assert (found.status, found.body) == expected
            assert all(peer.arrived.empty() for peer in s.peers)

    run_scene(1, scene)


def test_an_invalid_or_mismatched_answer_of_a_host_is_an_error() -> None:
    wrong = [
        b"garbage that is no answer\r\n\r\n",
        answer(200, b"unsealed", X_Myrtlehatch_Request_Id="r-1"),
        answer(200, b"nameless", X_Myrtlehatch_Seal="seal"),
        reply("r-1", b"packed", **{"Content-Encoding": "gzip"}),
        reply("r-1", b"a whole body")[:-4],  # cut off by the end of the connection
        reply("r-1", b"no status", 700),
        reply("r-1", b"no status", 999, **{"X-Myrtlehatch-Not-Executed": "1"}),
    ]

    async def scene(s: Scene) -> None:
        for data in wrong:
            asked = asyncio.create_task(s.ask(BOOK))
            arrived = await next_request(s)
            arrived.reply(data)
            arrived.close()
            found = await asked
            assert found.status == 502 and found.body == b"", data  # it may have run, so nothing is promised
            assert all(peer.arrived.empty() for peer in s.peers)

    run_scene(2, scene)


def test_a_repeatable_request_is_retried_elsewhere_and_a_run_once_request_is_not() -> None:
    async def scene(s: Scene) -> None:
        asked = asyncio.create_task(s.ask(READ))
        first = await next_request(s)
        first.reset()
        second = await next_request(s)
        wants = {a.message.headers[b"x-myrtlehatch-want-instance"] for a in (first, second)}
        assert wants == {b"i-0", b"i-1"}
        second.reply(reply("r-1", b"well"))
        assert (await asked).body == b"well"
        asked = asyncio.create_task(s.ask(BOOK))
        (await next_request(s)).reset()
        assert (await asked).status == 502
        assert all(peer.arrived.empty() for peer in s.peers)

    run_scene(2, scene)


def test_a_request_that_all_hosts_turn_away_is_refused_with_a_promise() -> None:
    async def scene(s: Scene) -> None:
        asked = asyncio.create_task(s.ask(BOOK))
        for status in (503, 421):
            arrived = await next_request(s)
            arrived.reply(reply("r-1", b"", status, **{"X-Myrtlehatch-Not-Executed": "1"}))
        found = await asked
        assert found.status == 503 and float(found.headers[b"retry-after"]) > 0

    run_scene(2, scene)


def test_a_silent_host_is_waited_for_until_the_clients_timeout() -> None:
    async def scene(s: Scene) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asked = asyncio.create_task(s.ask(BOOK, left=400))
        await next_request(s)
        found = await asked
        assert found.status == 504 and b"retry-after" not in found.headers
        assert loop.time() - begun > 0.3

    run_scene(1, scene)


def test_a_host_that_leaves_before_the_write_gets_nothing() -> None:
    async def scene(s: Scene) -> None:
        s.register.merge(9e9, Row("i-0", "s", "127.0.0.1", 1, "z", "v", 4, 1, 0.0, 2))
        found = await s.ask(BOOK)
        assert found.status == 503 and s.peers[0].connections == 0

    run_scene(1, scene)


def test_smuggled_and_malformed_requests_reach_no_host() -> None:
    both = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /x/y/2 HTTP/1.1\r\n\r\n"
    marks = b"Host: a.example\r\nX-Myrtlehatch-Request-Id: r-1\r\nAuthorization: Bearer k1\r\n"
    cases: list[tuple[bytes, int]] = [
        (b"POST /x/y/1 HTTP/1.1\r\n" + marks + both, 400),
        (b"POST /x/y/1 HTTP/1.1\r\n" + marks + b"Content-Length: 1, 1\r\n\r\nx", 400),
        (b"POST /x/y/1 HTTP/1.1\r\n" + marks + marks + b"Content-Length: 0\r\n\r\n", 400),
        (b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n\r\n", 400),
        (b"GET /x/1 HTTP/1.1\r\n" + marks.replace(b"r-1", b"r 1") + b"\r\n", 400),
        (b"GET /x/1 HTTP/1.1\r\n" + marks.replace(b"k1", b"k9") + b"\r\n", 401),
        (b"GET /z/1 HTTP/1.1\r\n" + marks + b"\r\n", 404),
    ]

    async def scene(s: Scene) -> None:
        for data, status in cases:
            reader, writer = await s.connect()
            writer.write(data)
            assert (await asyncio.wait_for(read_message(reader), 10.0)).status == status, data
            writer.close()
        assert s.peers[0].connections == 0

    run_scene(1, scene)


class GatedHosts(Hosts):
    """Hosts whose new connections wait for an event."""

    gate: asyncio.Event

    async def _connect(self, pool: Pool, attempt: Attempt) -> None:
        await self.gate.wait()
        await super()._connect(pool, attempt)


def request_bytes(path: str, id_: str, body: bytes) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Myrtlehatch-Request-Id: {id_}\r\n"
        f"X-Myrtlehatch-Time-Left: 5000\r\nAuthorization: Bearer k1\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def wait_until(found: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not found():
            await asyncio.sleep(0.002)


def test_a_request_whose_client_left_before_it_was_written_reaches_no_host() -> None:
    async def scene(s: Scene) -> None:
        for gate_opens_first in (False, True):
            s.hosts.close()
            hosts = s.hosts = s.edge.hosts = GatedHosts(Clock(), 5.0, 8.0, 100)
            hosts.gate = asyncio.Event()
            _, writer = await s.connect()
            writer.write(request_bytes(BOOK, "left", b"slot=9"))
            await wait_until(lambda: bool(s.edge.open))
            (request,) = s.edge.open
            if gate_opens_first:  # its connection is made before the client's leaving is handled
                request.client_left = True
                hosts.gate.set()
                await wait_until(lambda: request.attempt is not None and request.attempt.ended)  # noqa: B023
            writer.transport.abort()
            await wait_until(lambda: not s.edge.open)
            hosts.gate.set()
            stays = asyncio.create_task(s.ask(BOOK, "stays", left=5000, body=b"slot=1"))
            arrived = await next_request(s)
            assert arrived.message.headers[b"x-myrtlehatch-request-id"] == b"stays"
            assert arrived.message.body == b"slot=1"
            arrived.reply(reply("stays"))
            assert (await stays).status == 200

    run_scene(1, scene)


def test_a_request_that_is_being_written_when_its_client_leaves_is_written_whole() -> None:
    async def scene(s: Scene) -> None:
        body = bytes(range(256)) * 3000
        _, writer = await s.connect()
        writer.write(request_bytes(BOOK, "r-1", body))
        await wait_until(lambda: any(r.attempt and r.attempt.connection for r in s.edge.open))
        writer.transport.abort()
        arrived = await next_request(s)
        assert arrived.message.body == body
        arrived.reply(reply("r-1"))
        await wait_until(lambda: not s.edge.open)

    run_scene(1, scene)


def test_without_a_configuration_requests_are_refused_with_503_and_retry_after() -> None:
    async def scene(s: Scene) -> None:
        found = await s.ask(BOOK)
        assert found.status == 503 and float(found.headers[b"retry-after"]) > 0

    run_scene(1, scene, {})


def test_a_request_is_answered_with_504_at_its_routes_timeout() -> None:
    async def scene(s: Scene) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asked = asyncio.create_task(s.ask(BOOK, left=60_000))
        arrived = await next_request(s)
        assert int(arrived.message.headers[b"x-myrtlehatch-time-left"]) <= 300
        assert (await asked).status == 504 and 0.2 < loop.time() - begun < 10.0

    run_scene(1, scene, changed(Routes__deep__TimeoutMs=300, Routes__deep__TargetMs=100))


def test_a_retry_carries_the_time_that_is_left_by_then() -> None:
    async def scene(s: Scene) -> None:
        asked = asyncio.create_task(s.ask(READ, left=1500))
        first = await next_request(s)
        time_left = int(first.message.headers[b"x-myrtlehatch-time-left"])
        before = asyncio.get_running_loop().time()
        await wait_until(lambda: asyncio.get_running_loop().time() - before > 0.2)
        first.reset()
        second = await next_request(s)
        assert int(second.message.headers[b"x-myrtlehatch-time-left"]) <= time_left - 150
        second.reply(reply("r-1"))
        assert (await asked).status == 200

    run_scene(2, scene)


def test_a_repeatable_request_whose_client_left_is_cancelled_at_the_host() -> None:
    async def scene(s: Scene) -> None:
        _, writer = await s.connect()
        writer.write(request_bytes(READ, "r-1", b""))
        await next_request(s)
        assert not s.peers[0].closed
        writer.transport.abort()
        await wait_until(lambda: s.peers[0].closed == 1)

    run_scene(1, scene)


@pytest.mark.parametrize("cause", ["idle", "end", "room", "bound"])
def test_a_request_on_a_kept_connection_is_answered_before_the_connection_closes(cause: str) -> None:
    """Each cause that makes a gateway close connections while a host works on a request."""

    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        for number, path in enumerate((READ, BOOK, READ)):
            writer.write(request_bytes(path, f"r-{number}", b"body"))
            arrived = await next_request(s)
            if number == 2:
                if cause == "idle":  # idle connections are closed at once
                    s.server.limits = ClientLimits(idle_timeout=0.0, head_timeout=0.0)
                    s.server._sweep()
                elif cause == "end":  # SIGTERM
                    s.server.drain()
                    s.server.close_idle()
                    s.server.stop_accepting()
                elif cause == "room":  # idle connections make room for new ones
                    s.server.max_connections = 1
                    s.server.close_idle()
                else:  # a new configuration has limits that the request exceeds
                    s.server.limits = ClientLimits(max_head_bytes=1, max_body_bytes=1, idle_timeout=0.0)
                    s.server._sweep()
            arrived.reply(reply(f"r-{number}", b"whole"))
            found = await asyncio.wait_for(read_message(reader), 10.0)
            assert (found.status, found.body) == (200, b"whole")
            assert found.headers[b"x-myrtlehatch-request-id"] == b"r-%d" % number
        writer.close()

    run_scene(1, scene)


def test_a_hosts_own_error_answer_keeps_its_status_seal_and_body() -> None:
    async def scene(s: Scene) -> None:
        for status in (500, 503):
            asked = asyncio.create_task(s.ask(BOOK))
            (await next_request(s)).reply(reply("r-1", b"no", status))
            found = await asked
            assert (found.status, found.headers[b"x-myrtlehatch-seal"], found.body) == (
                status,
                b"seal",
                b"no",
            )

    run_scene(1, scene)


def test_a_connection_with_an_unfinished_request_body_is_not_reused() -> None:
    """A host answers after the head of a long request, before it has read the body."""

    async def scene(s: Scene) -> None:
        ended: list[bool] = []

        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(reply("r-1", b"enough"))
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            while await reader.read(1 << 16):
                pass
            ended.append(True)
            writer.close()

        server = await asyncio.start_server(early, "127.0.0.1", 0, limit=1 << 10)
        port = server.sockets[0].getsockname()[1]
        s.register.entries.clear()
        s.register.by_service.clear()
        s.register.merge(Clock().monotonic(), Row("i-early", "s", "127.0.0.1", port, "z", "v", 4, 0, 0.0, 1))
        _, writer = await s.connect()
        writer.write(request_bytes(BOOK, "r-1", bytes(900_000)))
        await wait_until(lambda: bool(ended))
        assert not any(pool.idle for pool in s.hosts.pools.values())
        server.close()

    run_scene(1, scene)


class Lender:
    """Another gateway that owns all quotas, in the table that this one knows."""

    def __init__(self, s: Scene, grants: int) -> None:
        """`grants`: tokens granted per request for tokens; below 0 it does not answer."""
        self.scene, self.grants = s, grants
        self.limiter = s.edge.router.limiter
        self.limiter.holding.table = ShareTable()
        self.limiter.holding.apply_answer(0.0, math.inf, even_table(["far"]))
        self.limiter.usage.record_peer(s.edge.clock.monotonic(), "far", {})
        s.edge.run_quota_actions = self.run_actions

    def run_actions(self) -> None:
        """Carries out the limiter's actions; requests for tokens are granted at once."""
        now = self.scene.edge.clock.monotonic()
        for action in self.limiter.take_actions():
            if isinstance(action, Decided):
                self.scene.edge.apply_decision(action)
            elif isinstance(action, AskTokens) and self.grants >= 0:
                self.limiter.handle_grant(now, "far", action.number, action.tenant, self.grants, 0.4)
                self.scene.edge.loop.call_soon(self.run_actions)


def test_a_request_waits_for_its_tenants_token_and_is_answered_either_way() -> None:
    async def scene(s: Scene) -> None:
        lender = Lender(s, 1)
        asked = asyncio.create_task(s.ask(BOOK))
        arrived = await next_request(s)
        arrived.reply(reply("r-1", b"booked"))
        assert (await asked).body == b"booked"
        lender.grants = 0
        refused = await s.ask(BOOK, "r-2")
        assert refused.status == 429 and 0.2 < float(refused.headers[b"retry-after"]) <= 0.4
        assert not s.edge.open and not s.edge.waiting

    run_scene(1, scene)


def test_a_token_granted_after_its_client_left_is_not_spent_on_the_request() -> None:
    async def scene(s: Scene) -> None:
        lender = Lender(s, -1)
        asked = asyncio.create_task(s.ask(BOOK))
        async with asyncio.timeout(5.0):
            while not s.edge.waiting:
                await asyncio.sleep(0.01)
        (job,) = s.edge.waiting
        asked.cancel()
        (request,) = s.edge.open
        s.edge.client_disconnected(request.exchange)
        before = lender.limiter.tenants["t"].bucket.fill = 5.0
        s.edge.apply_decision(Decided(job, Admitted(Source.GRANTED)))
        assert lender.limiter.tenants["t"].bucket.fill == before - 1 and job.admitted is None
        assert not s.edge.waiting and not s.edge.open and not s.peers[0].arrived.qsize()

    run_scene(1, scene)


@pytest.mark.parametrize("leaves", ["before the answer", "in the answer", "without reading"])
def test_nothing_is_kept_of_a_long_answer_whose_client_has_left(leaves: str) -> None:
    """Guards against memory without a bound: a run-once request goes on at its host."""

    async def scene(s: Scene) -> None:
        _, writer = await s.connect()
        writer.write(request_bytes(BOOK, "r-1", b"slot=9"))
        arrived = await next_request(s)
        (request,) = s.edge.open
        assert request.attempt
        whole = reply("r-1", bytes(24 << 20))
        at = {"before the answer": 0, "in the answer": 1 << 20, "without reading": len(whole)}[leaves]
        arrived.reply(whole[:at])
        if leaves == "in the answer":
            await wait_until(lambda: request.attempt.sink is not None)
        elif leaves == "without reading":
            await wait_until(lambda: any(c.paused for c in s.hosts.connections))
        writer.transport.abort()
        await wait_until(lambda: request.client_left)
        arrived.reply(whole[at:])
        await wait_until(lambda: not s.edge.open)
        assert not sum(map(len, request.exchange.pending))
        assert s.hosts.connections and not s.peers[0].closed  # the host was not broken off

    run_scene(1, scene)


class SteppedClock(Clock):
    """A clock that a test sets forward by `ahead` seconds."""

    ahead = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead


@pytest.mark.parametrize(("step_bytes", "served"), [(400_000, True), (1, False), (0, False)])
def test_a_client_that_reads_slowly_but_steadily_gets_its_whole_answer(step_bytes: int, served: bool) -> None:
    """Guards against LOST: an answer was cut off 10 s after it began to wait, though its client read on.

    A client that reads almost nothing is still cut off: it would hold its buffer for ever.
    """

    async def scene(s: Scene) -> None:
        clock = s.server.clock = SteppedClock()
        s.server.max_buffered_bytes = s.server.memory.account.limit = 1 << 24
        loop, text = asyncio.get_running_loop(), bytes(4 << 20)
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", s.server.port))
            await loop.sock_sendall(client, request_bytes(BOOK, "r-1", b"slot=9"))
            (await next_request(s)).reply(reply("r-1", text))
            await wait_until(lambda: not s.edge.open)
            (connection,) = s.server.connections
            assert connection.write_paused
            got = bytearray()
            for _ in range(6 if served else 3):  # half a minute; one that is cut off is by 15 s
                wanted = len(got) + step_bytes
                while len(got) < wanted and (data := await loop.sock_recv(client, wanted - len(got))):
                    got += data
                await asyncio.sleep(0.05)  # for the kernel to take more
                clock.ahead += 5.0
                s.server._sweep()
            assert (connection in s.server.connections) is served
            while served and len(got) < len(text):
                got += await asyncio.wait_for(loop.sock_recv(client, 1 << 20), 10.0)
            assert not served or got.endswith(text)

    run_scene(1, scene)
