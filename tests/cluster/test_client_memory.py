"""What clients can make a gateway's edge server hold, and that nothing of it stays, over real sockets."""

from __future__ import annotations

import asyncio
import gc
import weakref

from net_helpers import until
from test_edge import BOOK, READ, Scene, next_request, reply, run_scene

from coralvale.net.client_connection import MAX_PIPELINED, MAX_PIPELINED_BYTES, ClientConnection
from coralvale.net.endings import EndCause
from coralvale.net.memory import REQUEST_BYTES

BODY_BYTES = 1000  # of the scene's configuration


def head(id_: str, path: str = READ, more: str = "") -> bytes:
    method = "POST" if path == BOOK else "GET"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: A.example\r\nX-Myrtlehatch-Request-Id: {id_}\r\n"
        f"X-Myrtlehatch-Time-Left: 60000\r\nAuthorization: Bearer k1\r\n{more}\r\n"
    ).encode()


CHUNKED = "Transfer-Encoding: chunked\r\n"


async def status(reader: asyncio.StreamReader) -> int:
    line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 10.0)
    return int(line.split()[1])


def only_connection(s: Scene) -> ClientConnection:
    (connection,) = s.server.connections
    return connection


def test_a_trailer_line_that_does_not_end_is_refused() -> None:
    async def scene(s: Scene) -> None:
        s.server.limits.max_head_bytes, s.server.limits.large_head_status = 2_000, 431
        reader, writer = await s.connect()
        writer.write(head("r-1", BOOK, CHUNKED) + b"3\r\nabc\r\n0\r\nX-Sum: ")
        for _ in range(8):
            writer.write(b"A" * 1_000)
            await asyncio.sleep(0.02)
        assert await status(reader) == 431

    run_scene(1, scene)


def test_a_chunk_extension_that_does_not_end_is_refused() -> None:
    async def scene(s: Scene) -> None:
        s.server.limits.max_head_bytes, s.server.limits.large_head_status = 2_000, 431
        reader, writer = await s.connect()
        writer.write(head("r-1", BOOK, CHUNKED) + b"3;")
        for _ in range(8):
            writer.write(b"e" * 1_000)
            await asyncio.sleep(0.02)
        assert await status(reader) == 431

    run_scene(1, scene)


def test_trailers_and_extensions_within_the_limit_are_no_part_of_the_request() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        chunks = b"5;ab=cd\r\n12345\r\n" * 100
        writer.write(
            head("r-1", BOOK, CHUNKED) + chunks + b"0;e\r\nHost: b\r\nX: " + b"c" * 10_000 + b"\r\n\r\n"
        )
        arrived = await next_request(s)
        assert arrived.message.body == b"12345" * 100 and arrived.message.headers[b"host"] == b"A.example"
        arrived.reply(reply("r-1"))
        assert await status(reader) == 200

    run_scene(1, scene)


def test_the_account_holds_what_a_request_holds_and_nothing_after_it() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(head("r-1", BOOK, CHUNKED) + b"1\r\na\r\n" * 500)
        await until(lambda: s.server.memory.held >= REQUEST_BYTES + 500)
        writer.write(b"0\r\n\r\n")
        arrived = await next_request(s)
        assert s.server.memory.held >= REQUEST_BYTES + 500
        arrived.reply(reply("r-1"))
        assert await status(reader) == 200
        await until(lambda: s.server.memory.held == 0)
        writer.write(head("r-2", BOOK, CHUNKED) + b"1\r\na\r\n" * 500)
        await until(lambda: s.server.memory.held >= REQUEST_BYTES + 500)
        writer.transport.abort()
        await until(lambda: s.server.memory.held == s.server.memory.account.held == 0)

    run_scene(1, scene)


def test_a_request_beyond_the_account_is_refused_with_a_time_to_come_again() -> None:
    async def scene(s: Scene) -> None:
        s.server.memory.account.limit = s.server.memory.guaranteed = 0
        answered = await s.ask(READ)
        assert answered.status == 503 and float(answered.headers[b"retry-after"]) > 0
        assert all(peer.arrived.empty() for peer in s.peers)
        s.server.memory.account.limit = 1 << 20
        asked = asyncio.create_task(s.ask(READ, "r-2"))
        (await next_request(s)).reply(reply("r-2"))
        assert (await asked).status == 200

    run_scene(1, scene)


def test_a_request_that_was_read_within_the_account_is_not_refused_at_its_end() -> None:
    """What is charged while a request comes is more than what it holds in the end."""

    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(head("r-1", BOOK, CHUNKED) + b"1\r\na\r\n" * 500)
        await until(lambda: s.server.memory.held >= REQUEST_BYTES + 500)
        s.server.memory.account.limit = s.server.memory.guaranteed = 0
        writer.write(b"0\r\n\r\n")
        (await next_request(s)).reply(reply("r-1"))
        assert await status(reader) == 200

    run_scene(1, scene)


def test_answers_that_are_not_read_are_cut_off_while_the_account_is_full() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(head("r-1"))
        arrived = await next_request(s)
        connection = only_connection(s)
        s.server.memory.account.limit = s.server.memory.guaranteed = 1
        assert connection.transport
        connection.transport.get_write_buffer_size = lambda: 100_000  # type: ignore[method-assign]
        connection.pause_writing()
        arrived.reply(reply("r-1"))
        await until(lambda: not s.server.connections)
        assert s.server.end_counts.connections[EndCause.MEMORY] == 1 and s.server.memory.held == 0
        assert reader.exception() is None or isinstance(reader.exception(), OSError)

    run_scene(1, scene)


def test_an_answer_that_was_just_written_is_not_cut_off_for_the_memory_of_others() -> None:
    """uvloop hands what was written to the kernel at the end of its turn: until then it is in the buffer."""

    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(head("r-1"))
        arrived = await next_request(s)
        connection = only_connection(s)
        assert connection.transport
        connection.transport.get_write_buffer_size = lambda: 100  # type: ignore[method-assign]
        arrived.reply(reply("r-1"))
        assert await status(reader) == 200
        assert connection.sheddable_bytes() == 0
        s.server.memory.account.limit = s.server.memory.guaranteed = 1
        connection.update_buffered()
        await asyncio.sleep(0.3)
        assert only_connection(s) is connection and not connection.transport.is_closing()

    run_scene(1, scene)


def test_input_that_waits_is_charged_as_long_as_it_is_held() -> None:
    async def scene(s: Scene) -> None:
        s.server.limits.max_body_bytes = 1 << 20
        _, writer = await s.connect()
        writer.write(head("r-1", BOOK, CHUNKED))
        await until(lambda: s.server.connections and only_connection(s).in_chunks)
        connection, before = only_connection(s), s.server.memory.held
        connection.data_received(b"1\r\na\r\n" * 30_000)
        assert s.server.memory.held - before >= 180_000  # with the part that is parsed
        await until(lambda: not connection.input)
        assert s.server.memory.held < before + 180_000

    run_scene(1, scene)


def test_of_pipelined_requests_no_more_than_the_bound_are_taken_and_all_are_answered() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(b"".join(head(f"r-{n}", "/nowhere/") for n in range(300)))
        for _ in range(300):
            assert await status(reader) == 404
            await reader.readuntil(b"\r\n\r\n")
        writer.write(b"".join(head(f"r-{n}") for n in range(1000, 1400)))
        arrived = await next_request(s)
        most = 16 * 1024 // len(head("r-1000")) + MAX_PIPELINED
        for _ in range(20):
            await asyncio.sleep(0.01)
            assert len(only_connection(s).exchanges) <= most
        assert arrived.message.headers[b"x-myrtlehatch-request-id"].startswith(b"r-1")

    run_scene(1, scene)


def test_of_pipelined_requests_with_long_heads_few_are_taken() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(b"".join(head(f"r-{n}", READ, "a:\r\n" * 3_000) for n in range(60)))
        await next_request(s)
        for _ in range(20):
            await asyncio.sleep(0.01)
            held = sum(exchange.held_bytes for exchange in only_connection(s).exchanges)
            assert held <= MAX_PIPELINED_BYTES + 2 * 16 * 1024 + 3 * REQUEST_BYTES

    run_scene(1, scene)


def test_no_request_is_taken_while_answers_are_not_read() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await until(lambda: len(s.server.connections) == 1)
        connection = only_connection(s)
        right = connection.transport.get_write_buffer_size  # type: ignore[union-attr]
        assert right() == 0
        connection.buffered_bytes = 300_000  # as if so much was not read
        connection.update_buffered = lambda: None  # type: ignore[method-assign]
        writer.write(head("r-1"))
        await asyncio.sleep(0.2)
        assert not connection.exchanges and connection.has_unread()
        connection.buffered_bytes = 0
        connection.resume_writing()
        (await next_request(s)).reply(reply("r-1"))

    run_scene(1, scene)


def test_a_closed_connection_keeps_nothing_until_the_garbage_collection() -> None:
    async def scene(s: Scene) -> None:
        gc.collect()
        gc.disable()
        try:
            _, writer = await s.connect()
            writer.write(head("r-1", BOOK, CHUNKED) + b"3\r\nabc\r\n0\r\nX-Sum: AAA")
            await until(lambda: s.server.connections and only_connection(s).reading)
            closed = weakref.ref(only_connection(s))
            writer.transport.abort()
            await until(lambda: not s.server.connections)
            await until(lambda: closed() is None)
        finally:
            gc.enable()

    run_scene(1, scene)


def test_an_answered_request_keeps_nothing_until_the_garbage_collection() -> None:
    async def scene(s: Scene) -> None:
        gc.collect()
        gc.disable()
        try:
            reader, writer = await s.connect()
            writer.write(head("r-1", READ, "a:\r\n" * 1_000))
            arrived = await next_request(s)
            exchange = only_connection(s).exchanges[0]
            assert exchange.headers.held_bytes > 2_000
            arrived.reply(reply("r-1"))
            assert await status(reader) == 200
            await until(lambda: exchange.headers.held_bytes == 0 and exchange.handler_state is None)
        finally:
            gc.enable()

    run_scene(1, scene)


def test_small_chunks_leave_the_loop_to_others() -> None:
    """Of 200 kB in small chunks that came at once each turn of the loop parses a part."""

    async def scene(s: Scene) -> None:
        s.server.limits.max_body_bytes = 1 << 20
        _, writer = await s.connect()
        writer.write(head("r-1", BOOK, CHUNKED))
        await until(lambda: s.server.connections and only_connection(s).in_chunks)
        connection = only_connection(s)
        connection.data_received(b"1\r\na\r\n" * 30_000)
        assert 0 < connection.size <= 16 * 1024 // 6 + 1
        await until(lambda: connection.size == 30_000)

    run_scene(1, scene)
