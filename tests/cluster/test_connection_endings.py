"""Connections of clients that end around SIGTERM: what was read from them is answered, or was never passed on."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from scenes import play
from test_edge import BOOK, READ, Scene, SteppedClock, next_request, reply, request_bytes, wait_until
from test_processes import run_scene as run_processes

from coralvale.net.endings import ConnectionEnd, EndCause, WaitsFor
from coralvale.standins.cluster import CTL, EDGE, LocalCluster
from coralvale.standins.peer import Arrived
from coralvale.standins.wire import read_message

SCENE_LIMIT_S = 30.0  # for a scene to end
LONG_ANSWER_BYTES = 2 << 20  # more than the buffers between a gateway and a client that does not read


def run_scene(hosts: int, scene: Callable[[Scene], Awaitable[None]]) -> None:
    """Runs a scene on the event loop of the program."""

    async def whole() -> None:
        async with asyncio.timeout(SCENE_LIMIT_S):
            await play(await Scene().start(hosts), scene)

    uvloop.run(whole())


def record_ends(s: Scene) -> list[ConnectionEnd]:
    """A list that the ends of connections are added to."""
    ends: list[ConnectionEnd] = []
    s.edge.connection_ended = ends.append  # type: ignore[method-assign]
    return ends


def terminate(s: Scene) -> None:
    """What a gateway does with its connections at SIGTERM."""
    s.server.drain()
    s.server.close_idle()


class SlowClient:
    """A client with small buffers, whose reading the test controls."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        self.socket.setblocking(False)
        self.received = bytearray()

    async def connect(self, port: int) -> None:
        await self.loop.sock_connect(self.socket, ("127.0.0.1", port))

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.socket, data)

    async def read(self, size: int, pause: float = 0.0) -> None:
        """Reads until `size` bytes have come or the connection ends; `pause`: s after each part."""
        while len(self.received) < size and (data := await self.loop.sock_recv(self.socket, 65_536)):
            self.received += data
            await asyncio.sleep(pause)

    async def at_end(self) -> bool:
        """Whether the connection ends without a further byte."""
        with contextlib.suppress(ConnectionResetError):
            return not await self.loop.sock_recv(self.socket, 1)
        return True


async def ask_slowly(s: Scene, path: str) -> tuple[SlowClient, Arrived]:
    """A slow client that has sent the request r-0, and that request at its host."""
    client = SlowClient()
    await client.connect(s.server.port)
    await client.send(request_bytes(path, "r-0", b""))
    return client, await next_request(s)


# Guards against LOST: after SIGTERM the first answer closed the connection under the requests behind it.
@pytest.mark.parametrize("paths", [(READ, READ), (READ, BOOK, READ, BOOK)])
def test_requests_behind_an_answer_are_answered_after_sigterm(paths: tuple[str, ...]) -> None:
    async def scene(s: Scene) -> None:
        ends = record_ends(s)
        reader, writer = await s.connect()
        writer.write(b"".join(request_bytes(path, f"r-{n}", b"") for n, path in enumerate(paths)))
        arrived = [await next_request(s) for _ in paths]
        terminate(s)
        by_id = {a.message.headers[b"x-myrtlehatch-request-id"]: a for a in arrived}
        for number in range(len(paths)):
            by_id[b"r-%d" % number].reply(reply(f"r-{number}"))
            found = await read_message(reader)
            assert (found.status, found.headers[b"x-myrtlehatch-request-id"]) == (200, b"r-%d" % number)
            is_last = number == len(paths) - 1
            assert (found.headers.get(b"connection") == b"close") is is_last
        assert await reader.read(1) == b""
        await wait_until(lambda: bool(ends))
        assert ends[0].cause is EndCause.SHUTDOWN and not ends[0].in_hand

    run_scene(2, scene)


# Guards against LOST: the connection was closed under an answer that was being read, and under the next request.
@pytest.mark.parametrize("announced", [True, False])
def test_a_request_written_while_an_answer_is_read_disturbs_no_answer_after_sigterm(announced: bool) -> None:
    async def scene(s: Scene) -> None:
        client, arrived = await ask_slowly(s, BOOK)
        if announced:  # the head of the first answer says that it is the last one
            terminate(s)
        text = bytes(LONG_ANSWER_BYTES)
        arrived.reply(reply("r-0", text))
        await client.read(65_536)
        terminate(s)
        await client.send(request_bytes(BOOK, "r-1", b""))
        if announced:
            (connection,) = s.server.connections
            await asyncio.sleep(0.1)
            assert connection.has_unread()  # nothing is read that gets no answer
        head_size = client.received.index(b"\r\n\r\n") + 4
        assert (b"Connection: close" in client.received[:head_size]) is announced
        if not announced:
            (await next_request(s)).reply(reply("r-1"))
        await client.read(head_size + len(text), pause=0.04)
        assert len(client.received) >= head_size + len(text)
        if announced:
            assert await client.at_end() and not s.peers[0].arrived.qsize()
        else:
            await client.read(head_size + len(text) + 10)
            assert client.received[head_size + len(text) :].startswith(b"HTTP/1.1 200")

    run_scene(1, scene)


def test_an_answer_that_is_cut_as_its_connection_ends_is_reported() -> None:
    async def scene(s: Scene) -> None:
        ends = record_ends(s)
        client, arrived = await ask_slowly(s, BOOK)
        terminate(s)
        arrived.reply(reply("r-0", bytes(300_000)))
        await wait_until(lambda: bool(s.server.lingering))
        s.server.close()
        await wait_until(lambda: bool(ends))
        assert ends[0].cause is EndCause.PROCESS_EXIT and ends[0].unsent_bytes and ends[0].drops_requests

    run_scene(1, scene)


def test_the_end_of_a_connection_tells_what_each_request_in_hand_waits_for() -> None:
    async def scene(s: Scene) -> None:
        ends = record_ends(s)
        _, writer = await s.connect()
        writer.write(b"".join(request_bytes(BOOK, f"r-{n}", b"") for n in range(3)))
        arrived = {
            a.message.headers[b"x-myrtlehatch-request-id"]: a
            for a in [await next_request(s) for _ in range(3)]
        }
        arrived[b"r-1"].reply(reply("r-1")[:20])
        arrived[b"r-2"].reply(reply("r-2"))
        (connection,) = s.server.connections
        await wait_until(lambda: connection.exchanges[2].head is not None)
        s.server.close()
        await wait_until(lambda: bool(ends))
        waits = [request.waits_for for request in ends[0].requests]
        assert waits == [WaitsFor.FIRST_BYTE, WaitsFor.REST, WaitsFor.EARLIER_ANSWER]
        first = ends[0].requests[0]
        assert (
            first.host.startswith("i-") and first.attempt == 1 and 0 < first.waited < 20 > first.time_left > 0
        )
        assert s.server.end_counts.dropped_requests[EndCause.PROCESS_EXIT, WaitsFor.FIRST_BYTE] == 1

    run_scene(2, scene)


# Guards against LOST: a client that read its last answer steadily was cut off as one that reads too slowly.
def test_a_steady_reader_of_the_last_answer_is_not_cut_off() -> None:
    async def scene(s: Scene) -> None:
        clock = s.server.clock = SteppedClock()
        s.server.max_buffered_bytes = s.server.memory.account.limit = 1 << 24
        client, arrived = await ask_slowly(s, BOOK)
        terminate(s)
        text = bytes(LONG_ANSWER_BYTES)
        arrived.reply(reply("r-0", text))
        await wait_until(lambda: bool(s.server.lingering))
        while len(client.received) < len(text):
            before = len(client.received)
            await client.read(before + 120_000)  # 24 kB a second
            assert len(client.received) > before
            await asyncio.sleep(0.02)
            clock.ahead += 5.0
            s.server._sweep()
        assert client.received.endswith(text[-1000:])

    run_scene(1, scene)


# Guards against a process that waits to the end of GraceS: its client had reset the connection under the end.
def test_a_connection_that_its_client_resets_as_it_ends_is_not_waited_for() -> None:
    async def scene(s: Scene) -> None:
        client, arrived = await ask_slowly(s, BOOK)
        terminate(s)
        arrived.reply(reply("r-0", bytes(300_000)))
        await wait_until(lambda: bool(s.server.lingering))
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.socket.close()  # with a reset
        async with asyncio.timeout(2.0):
            while s.server.connections or s.server.is_sending():
                await asyncio.sleep(0.01)

    run_scene(1, scene)


# Guards against LOST: a request that had come in part was dropped with the answer before it.
def test_a_request_read_in_part_is_answered_after_sigterm() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        second = request_bytes(READ, "r-1", b"")
        writer.write(request_bytes(READ, "r-0", b"") + second[:30])
        arrived = await next_request(s)
        terminate(s)
        arrived.reply(reply("r-0"))
        found = await read_message(reader)
        assert found.status == 200 and b"connection" not in found.headers
        writer.write(second[30:])
        (await next_request(s)).reply(reply("r-1"))
        found = await read_message(reader)
        assert found.status == 200 and found.headers[b"connection"] == b"close"

    run_scene(1, scene)


# Guards against LOST: a request that the kernel had received was dropped with the answer before it.
def test_a_request_in_the_kernel_is_answered_after_sigterm() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(request_bytes(READ, "r-0", b""))
        arrived = await next_request(s)
        (connection,) = s.server.connections
        assert connection.transport
        connection.transport.pause_reading()  # the loop has not come to it yet
        writer.write(request_bytes(READ, "r-1", b""))
        await wait_until(connection.has_unread)
        terminate(s)
        arrived.reply(reply("r-0"))
        found = await read_message(reader)
        assert found.status == 200 and b"connection" not in found.headers
        connection.transport.resume_reading()
        (await next_request(s)).reply(reply("r-1"))
        found = await read_message(reader)
        assert found.status == 200 and found.headers[b"connection"] == b"close"

    run_scene(1, scene)


# Guards against LOST: near its end a gateway read requests that it could not answer any more.
def test_a_gateway_near_its_end_refuses_what_it_reads_and_reads_nothing_behind_requests() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(request_bytes(BOOK, "r-0", b""))
        arrived = await next_request(s)
        _, partly = await s.connect()
        partly.write(b"POST ")
        await wait_until(lambda: any(c.reading for c in s.server.connections))
        terminate(s)
        s.server.refuse()
        writer.write(request_bytes(BOOK, "r-1", b""))
        partly.write(request_bytes(BOOK, "r-2", b"")[5:])
        await wait_until(lambda: len(s.server.connections) == 1)  # the second one was refused
        (connection,) = s.server.connections
        assert connection.has_unread() and len(connection.exchanges) == 1
        arrived.reply(reply("r-0"))
        found = await read_message(reader)
        assert found.status == 200 and found.headers[b"connection"] == b"close"
        assert not s.peers[0].arrived.qsize()

    run_scene(1, scene)


# Guards against LOST: beyond 32 connections that had come to their end, the oldest was reset under its answer.
def test_no_answer_is_cut_for_the_number_of_connections_that_end(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(s: Scene) -> None:
        s.server.max_buffered_bytes = s.server.memory.account.limit = 1 << 24
        clients = [SlowClient() for _ in range(3)]
        text = bytes(LONG_ANSWER_BYTES)
        for number, client in enumerate(clients):
            await client.connect(s.server.port)
            await client.send(request_bytes(BOOK, f"r-{number}", b""))
        arrived = [await next_request(s) for _ in clients]
        terminate(s)
        for one in arrived:
            one.reply(reply(one.message.headers[b"x-myrtlehatch-request-id"].decode(), text))
        await wait_until(lambda: len(s.server.lingering) == len(clients))
        await asyncio.sleep(0.1)
        for client in clients:
            await client.read(len(text))
            assert len(client.received) >= len(text)

    monkeypatch.setattr("coralvale.net.server.MAX_LINGERING", 1)
    run_scene(1, scene)


# Guards against LOST: requests on a connection beyond the limit were read, and only the first was answered.
def test_each_request_of_a_connection_beyond_the_limit_is_refused() -> None:
    async def scene(s: Scene) -> None:
        s.server.max_connections = 0
        reader, writer = await s.connect()
        writer.write(request_bytes(READ, "r-0", b"") + request_bytes(READ, "r-1", b""))
        found = [await read_message(reader) for _ in range(2)]
        assert [f.status for f in found] == [503, 503]
        assert [b"connection" in f.headers for f in found] == [False, True]
        assert await reader.read(1) == b"" and not s.peers[0].connections

    run_scene(1, scene)


# Guards against LOST: the answer to a request of HTTP/1.0 can end with its connection, and others behind it too.
def test_nothing_is_passed_on_behind_a_request_of_http_1_0() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        old = request_bytes(READ, "r-0", b"").replace(b"HTTP/1.1", b"HTTP/1.0\r\nConnection: keep-alive")
        writer.write(old + request_bytes(READ, "r-1", b""))
        (await next_request(s)).reply(reply("r-0"))
        assert (await read_message(reader)).headers[b"connection"] == b"close"
        assert await reader.read(1) == b"" and not s.peers[0].arrived.qsize()

    run_scene(1, scene)


# Guards against LOST: a process ended, and reset its connections, with answers in the kernel's buffers.
def test_an_answer_that_the_kernel_still_holds_counts_as_being_sent() -> None:
    async def scene(s: Scene) -> None:
        client, arrived = await ask_slowly(s, READ)
        terminate(s)
        text = bytes(300_000)
        arrived.reply(reply("r-0", text))
        (connection,) = s.server.connections
        await wait_until(lambda: not connection.exchanges)
        assert connection.transport
        await wait_until(lambda: not connection.transport or not connection.transport.get_write_buffer_size())
        assert s.server.is_sending()
        await client.read(len(text))
        assert await client.at_end() or client.received.endswith(text[-1000:])
        await wait_until(lambda: not s.server.is_sending())

    run_scene(1, scene)


# Guards against LOST at any time: a refused request closed the connection under a good one behind it.
def test_a_refused_request_between_two_good_ones_takes_neither_along() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        bad = request_bytes(READ, "", b"")
        writer.write(request_bytes(READ, "r-0", b"") + bad + request_bytes(READ, "r-2", b""))
        arrived = [await next_request(s)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                arrived.append(await next_request(s))
        for one in arrived:
            id_ = one.message.headers[b"x-myrtlehatch-request-id"].decode()
            one.reply(reply(id_))
        statuses = []
        with contextlib.suppress(asyncio.IncompleteReadError):
            while len(statuses) < 3:
                statuses.append((await read_message(reader)).status)
        assert statuses[:2] == [200, 400]
        assert len(statuses) == 1 + len(arrived)  # each that was passed on was answered

    run_scene(2, scene)


# Guards against LOST: a good request behind a refused one was read and got no answer.
def test_a_request_behind_a_refused_one_is_answered() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(request_bytes(READ, "", b"") + request_bytes(READ, "r-1", b""))
        assert (await read_message(reader)).status == 400
        (await next_request(s)).reply(reply("r-1"))
        assert (await read_message(reader)).status == 200

    run_scene(1, scene)


# Guards against LOST: a request that came late after SIGTERM was passed on, and cut as the process ended.
def test_a_late_request_is_answered_before_its_gateway_ends_or_not_run() -> None:
    async def scene(cluster: LocalCluster) -> None:
        def request(id_: str) -> bytes:
            return (
                f"POST /schedule/book/1 HTTP/1.1\r\nHost: demo.example\r\nX-Myrtlehatch-Request-Id: {id_}\r\n"
                "X-Myrtlehatch-Time-Left: 9000\r\nAuthorization: Bearer demo-key\r\nContent-Length: 2\r\n\r\nab"
            ).encode()

        for host in cluster.hosts:
            host.work = 1.9
        early, late = [await asyncio.open_connection(cluster.ips[3], EDGE) for _ in range(2)]
        for _, writer in (early, late):
            writer.write(b"P")  # so that it is not idle when SIGTERM comes
        await asyncio.sleep(0.1)
        ended = asyncio.create_task(cluster.kill(3, signal.SIGTERM))
        await asyncio.sleep(1.6)
        late[1].write(request("late")[1:-1])
        await asyncio.sleep(0.9)
        early[1].write(request("early")[1:])  # is being answered when the late one has come
        await asyncio.sleep(1.2)
        late[1].write(b"b")  # 3.7 s after SIGTERM: its host is done after 5.6 s
        answers = [await reader.read(12) for reader, _ in (early, late)]
        ran = {id_ for host in cluster.hosts for id_ in host.ran}
        assert answers[0] == b"HTTP/1.1 200" and "early" in ran
        assert answers[1] == (b"HTTP/1.1 200" if "late" in ran else b"HTTP/1.1 503")
        assert await ended == 0
        for _, writer in (early, late):
            writer.close()

    run_processes(scene)


# Guards against LOST: a host's call that was being handled was cut as its gateway ended.
def test_calls_that_end_as_their_gateway_does_are_answered_or_not_handled() -> None:
    async def scene(cluster: LocalCluster) -> None:
        streams = [await asyncio.open_connection(cluster.ips[3], CTL) for _ in range(10)]
        for _, writer in streams:
            writer.write(b"POST ")
        ended = asyncio.create_task(cluster.kill(3, signal.SIGTERM))
        statuses = []

        async def deregister(number: int) -> None:
            reader, writer = streams[number]
            await asyncio.sleep(2.6 + 0.1 * number)
            with contextlib.suppress(OSError):
                writer.write(b"/rpc?call=instances.deregister&of=i-%d HTTP/1.1\r\n\r\n" % number)
                statuses.append((await reader.read(12))[9:])

        calls = asyncio.gather(*(deregister(number) for number in range(len(streams))))
        await asyncio.sleep(2.5)
        cluster.processes[2].send_signal(signal.SIGSTOP)  # each call now waits for it, 0.75 s
        await calls
        assert await ended == 0
        cluster.processes[2].send_signal(signal.SIGCONT)
        assert b"200" in statuses and set(statuses) <= {b"200", b"503", b""}
        assert "E517" not in cluster.log(3)  # none was dropped in its midst
        for _, writer in streams:
            writer.close()

    run_processes(scene)
