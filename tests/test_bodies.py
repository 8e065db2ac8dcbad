"""Long answers and bodies, slow peers, and each message framing of HTTP/1.1, over sockets."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
from net_helpers import Arrived, Peer, World, answer, chunk, entry, request, run, settings, soon, until, world
from test_node import send_all

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.net.server import MAX_ANSWER_BUFFER_BYTES

LONG = os.urandom(3 * 1024 * 1024)


async def open_stream(w: World) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", w.node.server.port, limit=1 << 26)


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[bytes, bytes]]:
    first, *lines = (await soon(reader.readuntil(b"\r\n\r\n")))[:-4].split(b"\r\n")
    pairs = [line.split(b": ", 1) for line in lines]
    return int(first.split()[1]), {name.lower(): value for name, value in pairs}


async def read_chunked_body(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunked body up to its last chunk."""
    body = b""
    while size := int(await soon(reader.readline()), 16):
        body += await soon(reader.readexactly(size))
        assert await soon(reader.readexactly(2)) == b"\r\n"
    assert await soon(reader.readexactly(2)) == b"\r\n"
    return body


def with_length(data: bytes) -> bytes:
    return answer(200, data, Usage_Percent="85")


def in_chunks(data: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n"
    parts = [chunk(data[at : at + 50_001]) for at in range(0, len(data), 50_001)]
    return head + b"".join(parts) + b"0\r\nX-Trailer: y\r\n\r\n"


def until_close(data: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, len(LONG)])
@pytest.mark.parametrize("form", [with_length, in_chunks, until_close])
def test_answers_of_any_framing_and_length_arrive_complete(form: Callable[[bytes], bytes], size: int) -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            reader, writer = await open_stream(w)
            for name in ("r1", "r2"):  # the client's connection is reused for the second
                writer.write(request(name))
                arrived = await host.next()
                arrived.reply(form(LONG[:size]))
                if form is until_close:
                    arrived.close()
                status, headers = await read_head(reader)
                if b"content-length" in headers:
                    body = await soon(reader.readexactly(int(headers[b"content-length"])))
                else:
                    body = await read_chunked_body(reader)
                assert status == 200 and body == LONG[:size]
                done = await w.done(1 if name == "r1" else 2)
                assert (done.outcome, done.finished) == (Outcome.OK, True)
                send_all(w, "s-1")
            assert not w.node.pending and w.node.request_stats.in_flight == 0
            assert w.node.request_stats.counts[0][0] == 2
            writer.close()
        host.stop()

    run(test())


def test_answer_is_streamed_and_delay_is_that_of_its_first_bytes() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            reader, writer = await open_stream(w)
            writer.write(request("r1"))
            arrived = await host.next()
            whole = with_length(LONG)
            arrived.reply(whole[:200_000])
            status, _ = await read_head(reader)
            assert status == 200 and len(await soon(reader.readexactly(70_000))) == 70_000
            (started,) = w.script.of(api.StreamStarted)
            assert started.usage == 0.85 and [e.request for e in w.script.of(api.Handed)] == ["r1"]
            assert w.node.request_stats.in_flight == 1 and not w.script.of(api.AttemptDone)
            arrived.reply(whole[200_000:])
            assert await soon(reader.readexactly(len(LONG) - 70_000)) == LONG[70_000:]
            done = await w.done()
            assert done.usage is None and done.delay <= started.delay + 0.05
            writer.close()
        host.stop()

    run(test())


def test_deadline_does_not_cut_off_an_answer_that_has_started() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1", until_in=0.3)
            reader, writer = await open_stream(w)
            writer.write(request("r1", X_Timeout="0.4"))
            arrived = await host.next()
            whole = with_length(LONG)
            arrived.reply(whole[:200_000])
            await read_head(reader)
            await asyncio.sleep(0.6)  # past the deadlines of the attempt and of the client
            arrived.reply(whole[200_000:])
            assert await soon(reader.readexactly(len(LONG))) == LONG
            writer.close()
        host.stop()

    run(test())


def reset(arrived: Arrived) -> None:
    """Ends a connection by RST; without SO_LINGER a peer that has sent everything ends it by FIN."""
    linger = struct.pack("ii", 1, 0)
    arrived.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    arrived.reset()


async def read_broken_answer(
    w: World, host: Peer, end: Callable[[Arrived], None], form: Callable[[bytes], bytes]
) -> bytes:
    """What a client gets of an answer that its host breaks off; `RESET` is appended after a reset."""
    send_all(w, "s-1")
    reader, writer = await open_stream(w)
    writer.write(request("r1"))
    arrived = await host.next()
    arrived.reply(form(LONG)[: len(LONG) // 2])
    await read_head(reader)
    end(arrived)
    got = b""
    try:
        while part := await soon(reader.read(1 << 16)):
            got += part
    except ConnectionError:
        got += b"RESET"
    writer.close()
    return got


@pytest.mark.parametrize("form", [with_length, in_chunks])
@pytest.mark.parametrize("end", [Arrived.close, reset])
def test_client_sees_that_an_answer_broken_off_by_the_host_is_truncated(
    form: Callable[[bytes], bytes], end: Callable[[Arrived], None]
) -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            got = await read_broken_answer(w, host, end, form)
            assert len(got) < len(LONG) and not got.endswith(b"0\r\n\r\n")
            done = await w.done()
            assert done.outcome is Outcome.RESET
            assert len(w.script.of(api.AttemptDone)) == 1  # no retry
            assert w.node.request_stats.counts[0] == [0, 0, 1] and not w.node.pending
        host.stop()

    run(test())


def test_reset_of_an_answer_framed_by_close_is_not_taken_for_its_end() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            got = await read_broken_answer(w, host, reset, until_close)
            assert not got.endswith(b"0\r\n\r\n") and (await w.done()).outcome is Outcome.RESET
        host.stop()

    run(test())


def test_host_that_stalls_within_an_answer_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("coralvale.net.upstream.STREAM_STALL_TIMEOUT_S", 0.2)

    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            await read_broken_answer(w, host, lambda arrived: None, with_length)
            assert (await w.done()).outcome is Outcome.RESET
        host.stop()

    run(test())


def test_client_that_does_not_read_pauses_the_host_and_memory_stays_bounded() -> None:
    """Most of 200 MB waits at the host; when the client leaves, the attempt is cancelled."""

    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", w.node.server.port))
            client.sendall(request("r1"))
            arrived = await host.next()
            arrived.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n")
            sent = 0
            while sent < 200_000_000:
                arrived.reply(bytes(1 << 20))
                sent += 1 << 20
                try:
                    await asyncio.wait_for(arrived.writer.drain(), 0.5)
                except TimeoutError:
                    break
            assert sent < 64 << 20  # buffered in kernels and the gateway
            (connection,) = w.node.server.connections
            assert w.node.server.buffered_bytes <= MAX_ANSWER_BUFFER_BYTES + 512 * 1024  # plus one read
            assert (
                connection.transport
                and connection.transport.get_write_buffer_size() <= connection.buffered_bytes
            )
            client.close()
            done = await w.done()
            assert done.outcome is Outcome.CANCELLED and not w.node.pending
            await until(lambda: w.node.server.buffered_bytes == 0)
        host.stop()

    run(test())


def test_slow_client_gets_the_complete_answer() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            reader, writer = await asyncio.open_connection("127.0.0.1", w.node.server.port, limit=4096)
            writer.write(request("r1"))
            (await host.next()).reply(in_chunks(LONG))
            await read_head(reader)
            got = await read_chunked_body(reader)
            assert got == LONG
            writer.close()
        host.stop()

    run(test())


def test_pipelined_answers_stay_in_order_behind_a_long_one() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", w.node.clock.now() + 60)])
            reader, writer = await open_stream(w)
            writer.write(request("r1") + request("r2"))
            one, two = [await host.next() for _ in range(2)]
            if one.message.headers[b"x-request-id"] == b"r2":
                one, two = two, one
            two.reply(in_chunks(LONG[::-1]))
            await asyncio.sleep(0.05)
            one.reply(with_length(LONG))
            _, headers = await read_head(reader)
            assert await soon(reader.readexactly(int(headers[b"content-length"]))) == LONG
            await read_head(reader)
            assert await read_chunked_body(reader) == LONG[::-1]
            writer.close()
        host.stop()

    run(test())


def test_http_1_0_client_gets_no_chunked_answer() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            reader, writer = await open_stream(w)
            writer.write(request("r1").replace(b"HTTP/1.1", b"HTTP/1.0"))
            (await host.next()).reply(in_chunks(LONG))
            _, headers = await read_head(reader)
            assert b"transfer-encoding" not in headers and headers[b"connection"] == b"close"
            assert await soon(reader.read()) == LONG
            writer.close()
        host.stop()

    run(test())


# Bodies


def body_in_chunks(name: str, body: bytes) -> bytes:
    parts = [chunk(body[at : at + 40_000]) for at in range(0, len(body), 40_000)]
    head = request(name, "write", Transfer_Encoding=" Chunked ")
    return head + b"".join(parts) + b"0\r\nX-Request-ID: other\r\n\r\n"


@pytest.mark.parametrize(
    "form",
    [lambda body: request("r1", "write", body=body), lambda body: body_in_chunks("r1", body)],
    ids=["length", "chunks"],
)
def test_long_body_reaches_the_host_unchanged_also_on_a_retry(form: Any) -> None:
    async def test() -> None:
        first, second = await Peer().start(), await Peer().start()
        async with world(entry("s-1", first.port), entry("s-2", second.port)) as w:
            send_all(w, "s-1", "s-2")
            _, writer = await open_stream(w)
            writer.write(form(LONG))
            arrived = await first.next()
            assert arrived.message.body == LONG and arrived.message.headers[b"x-request-id"] == b"r1"
            assert w.node.server.memory.held >= len(LONG)
            arrived.reply(answer(503, X_Not_Processed="1"))
            arrived = await second.next()
            assert arrived.message.body == LONG
            arrived.reply(answer(200))
            await w.done(2)
            await until(lambda: not w.node.server.memory.held)
            writer.close()
        first.stop()
        second.stop()

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("first_is_larger", [False, True])
def test_of_bodies_above_the_total_limit_the_largest_is_refused_at_once(
    chunked: bool, first_is_larger: bool
) -> None:
    async def test() -> None:
        async with world() as w:
            w.node.server.memory.account.limit = (
                1_090_000  # 800 kB, and input that waits, but not both bodies
            )
            sizes = (800_000, 300_000) if first_is_larger else (300_000, 800_000)
            streams = []
            for name, size in zip(("r1", "r2"), sizes, strict=True):
                body = LONG[: size + 100_000]
                data = body_in_chunks(name, body) if chunked else request(name, "write", body=body)
                streams.append(await open_stream(w))
                streams[-1][1].write(data[:size])  # all but the last 100 kB
                await until(lambda: w.node.server.memory.held >= sizes[0] - 64_000)
            refused, kept = streams if first_is_larger else reversed(streams)
            status, headers = await read_head(refused[0])
            assert status == 503 and float(headers[b"retry-after"]) > 0
            assert headers[b"connection"] == b"close"
            await until(lambda: 200_000 < w.node.server.memory.held < 400_000)
            assert not kept[0].at_eof()
            for _, writer in streams:
                writer.close()
            await until(lambda: w.node.server.memory.held == 0)

    run(test())


def test_whitespace_around_values_and_absolute_form_targets_are_stripped() -> None:
    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            _, writer = await open_stream(w)
            data = request("r1", target="http://service.internal:80/api?a=b", Plan="\t team \t")
            writer.write(data.replace(b"X-Request-ID: r1", b"x-request-id:r1 \t"))
            arrived = await host.next()
            assert arrived.message.first == b"GET /api?a=b HTTP/1.1"
            assert arrived.message.headers[b"x-request-id"] == b"r1"
            writer.close()
        host.stop()

    run(test())


def test_body_times_out_only_below_the_lowest_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("coralvale.net.server.HEAD_TIMEOUT_S", 0.4)
    monkeypatch.setattr("coralvale.net.server.SWEEP_INTERVAL_S", 0.05)

    async def test() -> None:
        host = await Peer(auto=answer(200)).start()
        async with world(entry("s-1", host.port), ceilings=settings()["ceilings"]) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", w.node.clock.now() + 60)])

            async def send(name: str, gap: float, piece: int) -> int:
                reader, writer = await open_stream(w)
                data = request(name, "write", body=bytes(100_000))
                cut = data.index(b"\r\n\r\n") + 4
                writer.write(data[:cut])
                for at in range(cut, len(data), piece):
                    await asyncio.sleep(gap)
                    if reader.at_eof() or reader._buffer:  # type: ignore[attr-defined]
                        break
                    writer.write(data[at : at + piece])
                status, _ = await read_head(reader)
                writer.close()
                return status

            # 100 kB: r1 sends it in 1 s, which 64 kB/s and the first 0.4 s allow; r2 at 10 kB/s is too slow.
            assert await asyncio.gather(send("r1", 0.05, 5_000), send("r2", 0.1, 1_000)) == [200, 408]
        host.stop()

    run(test())


def test_answer_of_a_slow_host_is_streamed_from_its_first_bytes() -> None:
    """At once if the head announces a long answer, after 0.25 s if it announces no length."""

    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            for name, whole in (("r1", with_length(LONG)), ("r2", in_chunks(LONG))):
                send_all(w, "s-1", until_in=1.0)
                reader, writer = await open_stream(w)
                writer.write(request(name, X_Timeout="1.5"))
                arrived = await host.next()
                arrived.reply(whole[:500])
                status, _ = await read_head(reader)  # long before 64 KiB have come
                assert status == 200 and w.script.of(api.StreamStarted)[-1].request == name
                arrived.reply(whole[500:])
                got = await (
                    read_chunked_body(reader) if name == "r2" else soon(reader.readexactly(len(LONG)))
                )
                assert got == LONG
                await w.done(1 if name == "r1" else 2)
                writer.close()
        host.stop()

    run(test())


def test_host_connection_paused_for_a_slow_client_is_read_again() -> None:
    """The end of a long answer arrives while its host is paused; the next answer must still be read."""

    async def test() -> None:
        host = await Peer().start()
        async with world(entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", w.node.clock.now() + 60)])
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", w.node.server.port))
            client.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(client, request("r1"))
            (await host.next()).reply(with_length(LONG[:900_000]))
            got = b""
            while len(got) < 900_000:
                got += await soon(asyncio.get_running_loop().sock_recv(client, 20_000))
                await asyncio.sleep(0)
            assert (await w.done()).outcome is Outcome.OK
            client.close()
            await asyncio.sleep(0.01)  # the connection to the host is idle
            reader, writer = await open_stream(w)
            writer.write(request("r2"))
            arrived = await host.next()
            assert arrived.connection == 1  # the same connection
            arrived.reply(answer(200, b"next"))
            status, _ = await read_head(reader)
            assert status == 200 and await soon(reader.readexactly(4)) == b"next"
            writer.close()
        host.stop()

    run(test())
