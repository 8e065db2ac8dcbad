"""HTTP/1.1 connections to hosts: outcomes, reuse, idle limit and the limit on connections."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import struct
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
from net_helpers import Peer, answer, run, soon, until

from coralvale.cluster.server.hosts import HostConnection
from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.transport import Answer, Attempt, OutgoingRequest, WriteProgress
from coralvale.net.upstream import Connection, IdleLimit, Upstreams, read_load, read_usage

PAYLOAD = b"GET /api HTTP/1.1\r\nX-Request-ID: r1\r\n\r\n"


class RawRequest(OutgoingRequest):
    """A request with bytes given by the test."""

    def __init__(self, *pieces: bytes) -> None:
        super().__init__(b"GET", b"/", [])
        self.pieces = list(pieces)

    def http1(self) -> list[bytes]:
        return self.pieces


class AdjustableClock(Clock):
    """A clock that a test can set forward by `ahead` seconds."""

    __test__ = False

    def __init__(self) -> None:
        super().__init__()
        self.ahead = 0.0

    def now(self) -> float:
        return super().now() + self.ahead


@dataclass
class Bench:
    """A transport with one host; the ends of its attempts are queued."""

    upstreams: Upstreams
    clock: AdjustableClock
    host: Peer
    ended: asyncio.Queue[tuple[Attempt, Outcome, Answer | None]] = field(default_factory=asyncio.Queue)

    def send(
        self, payload: bytes | None = PAYLOAD, address: tuple[str, int] | None = None, server: str = "s-1"
    ) -> Attempt:
        attempt = Attempt(
            server,
            address or self.host.address,
            lambda: RawRequest(payload) if payload else None,
            lambda *end: self.ended.put_nowait(end),
        )
        self.upstreams.send(attempt)
        return attempt

    async def outcome(self) -> Outcome:
        return (await soon(self.ended.get()))[1]


@contextlib.asynccontextmanager
async def bench(
    auto: bytes | None = None, max_connections: int = 10, connect: float = 5.0
) -> AsyncIterator[Bench]:
    host, clock = await Peer(auto).start(), AdjustableClock()
    yield Bench(Upstreams(clock, connect, 15.0, max_connections), clock, host)
    host.stop()


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (answer(), Outcome.OK),
        (answer(500), Outcome.ERROR),
        (answer(404), Outcome.ERROR),
        (answer(204, b""), Outcome.ERROR),
        (answer(503), Outcome.ERROR),
        (answer(504), Outcome.ERROR),
        (answer(503, X_Not_Processed="0"), Outcome.ERROR),
        (answer(500, X_Not_Processed="1"), Outcome.ERROR),
        (answer(503, X_Not_Processed="1"), Outcome.FULL),
        (answer(504, X_Not_Processed="1"), Outcome.FULL),
        (b"nonsense\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + answer(), Outcome.OK),
        (answer(500, b"x" * (64 * 1024 + 1)), Outcome.ERROR),
        (b"HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\nx", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 20_000, Outcome.ERROR),
        (b"HTTP/1.1 102 Processing\r\n\r\n" * 3 + answer(), Outcome.OK),
        (b"HTTP/1.1 102 Processing\r\n\r\n" * 100, Outcome.ERROR),
        (answer(Usage_Percent="1e999", X_Server_Load="[" * 9000), Outcome.OK),
    ],
)
def test_answers_map_to_the_outcomes_of_the_protocols_table(reply: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with bench(auto=reply) as b:
            b.send()
            assert await b.outcome() is outcome

    run(test())


@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_without_a_length_is_complete_at_eof_but_not_at_a_reset(reset: bool) -> None:
    async def test() -> None:
        async with bench() as b:
            loop = asyncio.get_running_loop()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                b.send(address=listener.getsockname())
                accepted, _ = await soon(loop.sock_accept(listener))
                assert await soon(loop.sock_recv(accepted, 4096)) == PAYLOAD
            # Both are in the kernel before the gateway's loop polls: it sees the data and its end at once.
            accepted.send(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            if reset:
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            assert await b.outcome() is (Outcome.RESET if reset else Outcome.OK)

    run(test())


def test_a_refused_connection_ends_as_connect_failed() -> None:
    async def test() -> None:
        async with bench() as b:
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                b.send(address=closed.getsockname())
                assert await b.outcome() is Outcome.CONNECT_FAILED
            assert b.upstreams.open == 0

    run(test())


def test_an_unanswered_syn_ends_at_the_connect_timeout() -> None:
    async def test() -> None:
        async with bench(connect=0.05) as b:
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                silent.listen(0)
                fillers = [socket.socket() for _ in range(4)]  # a full backlog answers no SYN
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(silent.getsockname())
                b.send(address=silent.getsockname())
                assert await b.outcome() is Outcome.CONNECT_FAILED
                assert b.upstreams.open == 0
                for filler in fillers:
                    filler.close()

    run(test())


@pytest.mark.parametrize("turns", range(4))
def test_a_stall_of_the_loop_while_connecting_keeps_no_place_among_the_open_connections(turns: int) -> None:
    """`turns`: of the loop before the stall, which is longer than a connection may take to be opened."""

    async def test() -> None:
        async with bench(auto=answer(), connect=0.05) as b:
            for _ in range(5):
                b.send()
            for _ in range(turns):
                await asyncio.sleep(0)
            time.sleep(0.2)  # noqa: ASYNC251 - the stall
            for _ in range(5):
                assert await b.outcome() in (Outcome.OK, Outcome.CONNECT_FAILED)
            for pool in list(b.upstreams.pools.values()):
                pool.retire()
            await until(lambda: b.upstreams.open == 0 and not b.upstreams.connections)

    run(test())


@pytest.mark.parametrize("framing", [b"0\r\nX-Sum: ", b"5;"], ids=["trailer", "extension"])
def test_framing_of_an_answer_that_does_not_end_is_given_up(framing: bytes) -> None:
    async def test() -> None:
        async with bench() as b:
            b.send()
            arrived = await b.host.next()
            arrived.reply(b"HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + framing)
            for _ in range(20):
                if not b.ended.empty():
                    break
                arrived.reply(b"A" * 16_384)
                await asyncio.sleep(0.01)
            assert await b.outcome() is Outcome.ERROR

    run(test())


def test_a_break_after_the_last_byte_is_a_reset_and_nothing_is_sent_twice() -> None:
    async def test() -> None:
        async with bench() as b:
            b.send()
            (await b.host.next()).reset()
            assert await b.outcome() is Outcome.RESET
            b.send()
            arrived = await b.host.next()
            arrived.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            arrived.close()
            assert await b.outcome() is Outcome.RESET
            b.send()
            (await b.host.next()).reply(answer())
            assert await b.outcome() is Outcome.OK
            assert b.host.connections == 3 and b.host.arrived.empty()

    run(test())


def test_a_break_before_the_last_byte_ends_as_connect_failed() -> None:
    async def test() -> None:
        async with bench() as b:
            with socket.socket() as host:
                host.bind(("127.0.0.1", 0))
                host.listen(1)
                host.setblocking(False)
                # Far more than the socket buffers hold, so that the end of it stays unwritten.
                b.send(b"x" * (64 * 1024 * 1024), address=host.getsockname())
                connection, _ = await soon(asyncio.get_running_loop().sock_accept(host))
                assert await soon(asyncio.get_running_loop().sock_recv(connection, 100))
                connection.close()
                assert await b.outcome() is Outcome.CONNECT_FAILED

    run(test())


def test_the_end_of_an_attempt_says_how_much_of_its_request_was_written() -> None:
    async def test() -> None:
        async with bench() as b:
            whole = b.send()
            (await b.host.next()).reset()
            await b.outcome()
            assert whole.progress is WriteProgress.WHOLE
            part = b.send(b"x" * (64 * 1024 * 1024))
            await until(lambda: b.host.connections == 2)
            b.upstreams.abort(part, Outcome.TIMEOUT)
            assert part.progress is WriteProgress.PART
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                none = b.send(address=closed.getsockname())
                for _ in range(2):
                    await b.outcome()
                assert none.progress is WriteProgress.NONE

    run(test())


# Guards against issue 60, both ways: hosts of the two programs begin a request at its head, or at its end.
@pytest.mark.parametrize(
    ("kind", "broken", "given_up"),
    [
        (Connection, Outcome.CONNECT_FAILED, Outcome.NOT_SENT),
        (HostConnection, Outcome.RESET, Outcome.TIMEOUT),
    ],
)
def test_each_program_decides_whether_a_part_of_a_request_may_run(
    kind: type[Connection], broken: Outcome, given_up: Outcome
) -> None:
    async def test() -> None:
        async with bench() as b:
            b.upstreams.connection_class = kind
            request = b"POST / HTTP/1.1\r\nContent-Length: 64000000\r\n\r\n" + bytes(64_000_000)
            b.send(request)
            await until(lambda: b.host.connections == 1)
            b.host.writers[0].transport.abort()
            assert await b.outcome() is broken
            attempt = b.send(request)
            await until(lambda: b.host.connections == 2 and attempt.connection is not None)
            b.upstreams.abort(attempt, Outcome.TIMEOUT)
            assert await b.outcome() is given_up

    run(test())


def test_the_most_recently_used_connection_is_reused_first() -> None:
    async def test() -> None:
        async with bench() as b:
            b.send()
            b.send()
            first, second = await b.host.next(), await b.host.next()
            for arrived in (first, second):
                arrived.reply(answer())
                assert await b.outcome() is Outcome.OK
            for _ in range(3):
                b.clock.ahead += 1  # past the reuse delay
                b.send()
                arrived = await b.host.next()
                assert arrived.connection == second.connection
                arrived.reply(answer())
                assert await b.outcome() is Outcome.OK
            assert b.host.connections == 2

    run(test())


def test_a_connection_that_the_host_closed_is_not_reused() -> None:
    async def test() -> None:
        async with bench(auto=answer()) as b:
            b.send()
            assert await b.outcome() is Outcome.OK
            (await b.host.next()).close()
            await until(lambda: b.upstreams.open == 0)
            b.send()
            assert await b.outcome() is Outcome.OK
            assert b.host.connections == 2
        async with bench(auto=answer(Connection="close")) as b:
            for _ in range(2):
                b.send()
                assert await b.outcome() is Outcome.OK
            assert b.host.connections == 2

    run(test())


def test_a_close_not_yet_reported_by_the_loop_is_seen_before_reuse() -> None:
    async def test() -> None:
        async with bench() as b:
            with socket.socket() as host:
                host.bind(("127.0.0.1", 0))
                host.listen(2)
                host.setblocking(False)
                loop = asyncio.get_running_loop()
                b.send(address=host.getsockname())
                first, _ = await soon(loop.sock_accept(host))
                await soon(loop.sock_recv(first, 1000))
                await soon(loop.sock_sendall(first, answer()))
                assert await b.outcome() is Outcome.OK
                first.close()
                b.send(address=host.getsockname())  # at once: the event loop has had no turn to read the EOF
                second, _ = await soon(loop.sock_accept(host))
                assert await soon(loop.sock_recv(second, 1000)) == PAYLOAD
                second.close()

    run(test())


def test_idle_connections_are_closed_before_the_hosts_limit() -> None:
    async def test() -> None:
        async with bench(auto=answer()) as b:
            b.send()
            assert await b.outcome() is Outcome.OK
            b.clock.ahead = 12.5  # of the 15 s that the host allows
            b.send()
            assert await b.outcome() is Outcome.OK
            assert b.host.connections == 2
            b.clock.ahead = 25.0
            await until(lambda: b.upstreams.open == 0 and not b.upstreams.pools)

    run(test())


def test_a_second_answer_is_not_taken_for_the_next_requests_answer() -> None:
    async def test() -> None:
        async with bench() as b:
            b.send()
            (await b.host.next()).reply(answer(body=b"own") + answer(500, body=b"nobody's"))
            _, outcome, own = await soon(b.ended.get())
            assert outcome is Outcome.OK and own is not None and own.body == b"own"
            b.send()
            arrived = await b.host.next()
            assert arrived.connection == 2
            arrived.reply(answer())
            assert await b.outcome() is Outcome.OK

    run(test())


def test_an_aborted_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with bench() as b:
            attempt = b.send()
            late = await b.host.next()
            b.upstreams.abort(attempt, Outcome.TIMEOUT)
            assert await b.outcome() is Outcome.TIMEOUT
            late.reply(answer(body=b"late"))
            b.send()
            arrived = await b.host.next()
            assert arrived.connection == 2
            arrived.reply(answer(body=b"own"))
            _, outcome, own = await soon(b.ended.get())
            assert outcome is Outcome.OK and own is not None and own.body == b"own"
            assert b.ended.empty()

    run(test())


def test_an_attempt_aborted_while_connecting_is_not_written() -> None:
    async def test() -> None:
        async with bench(auto=answer()) as b:
            attempt = b.send()
            b.upstreams.abort(attempt, Outcome.TIMEOUT)
            assert await b.outcome() is Outcome.NOT_SENT
            b.send(payload=None)
            assert await b.outcome() is Outcome.NOT_SENT
            b.send()
            assert await b.outcome() is Outcome.OK
            assert b.host.arrived.qsize() == 1 and b.ended.empty()

    run(test())


def test_idle_connections_are_evicted_at_the_connection_limit() -> None:
    async def test() -> None:
        async with bench(max_connections=2) as b:
            other = await Peer(answer()).start()
            b.send()
            b.send()
            first = await b.host.next()
            await b.host.next()
            b.send(address=other.address)
            assert await b.outcome() is Outcome.NOT_SENT
            first.reply(answer())
            assert await b.outcome() is Outcome.OK
            b.send(address=other.address)
            assert await b.outcome() is Outcome.OK
            assert other.connections == 1
            await until(lambda: b.upstreams.open == 2)
            other.stop()

    run(test())


@pytest.mark.parametrize(
    ("text", "usage"), [(b"85", 0.85), (b"0", 0.0), (b"x", None), (b"-1", None), (b"nan", None)]
)
def test_usage_percent_is_read_as_a_fraction(text: bytes, usage: float | None) -> None:
    assert read_usage(text) == usage


def test_a_load_report_is_read_in_the_settings_order() -> None:
    assert read_load(b'{"queue":2,"inflight":7}', ("inflight", "queue")) == (7.0, 2.0)
    assert read_load(b"[]", ("inflight",)) == () and read_load(b"{", ("inflight",)) == ()
    huge = b'{"inflight":1%s,"queue":-1}' % (b"0" * 400)
    assert read_load(huge, ("inflight",)) == ()
    (queue,) = read_load(b'{"queue":-1}', ("queue",))
    assert math.isnan(queue)
    assert read_load(b"[" * 100_000, ("inflight",)) == ()


def test_a_new_host_at_an_old_address_inherits_no_connection() -> None:
    """Whether idle or busy when the old host went: its late data must not reach another request."""

    async def test() -> None:
        async with bench() as b:
            first, second = b.send(), b.send()
            one, two = await b.host.next(), await b.host.next()
            one.reply(answer())
            assert await b.outcome() is Outcome.OK
            b.upstreams.retire(first.place)  # one connection is idle, one busy
            await until(lambda: b.host.closed == 1)
            two.reply(answer())
            assert await b.outcome() is Outcome.OK and second.ended
            await until(lambda: b.host.closed == 2 and b.upstreams.open == 0)
            b.send(server="s-2")
            b.send(server="s-1")
            assert {(await b.host.next()).connection, (await b.host.next()).connection} == {3, 4}

    run(test())


def test_stray_bytes_after_an_answer_are_not_taken_for_the_next_answer() -> None:
    """A waiting attempt does not get the connection in the same turn of the loop as the answer."""

    async def test() -> None:
        async with bench() as b:
            b.send()
            arrived = await b.host.next()
            b.upstreams.max_connections = 1  # so that the next one has to wait
            pool = next(iter(b.upstreams.pools.values()))
            waits = Attempt(
                "s-1", b.host.address, lambda: RawRequest(PAYLOAD), lambda *end: b.ended.put_nowait(end)
            )
            pool.waiting.append(waits)
            arrived.reply(answer(body=b"right"))
            _, outcome, got = await soon(b.ended.get())
            assert outcome is Outcome.OK and got is not None and got.body == b"right"
            assert not waits.connection  # not in the same turn
            arrived.reply(answer(body=b"wrong"))
            await until(lambda: b.upstreams.open == 0)
            assert not waits.ended

    run(test())


def test_an_error_in_reading_an_answer_ends_its_attempt_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(value: bytes) -> float:
        raise MemoryError

    async def test() -> None:
        async with bench() as b:
            b.send()
            (await b.host.next()).reply(answer(Usage_Percent="1"))
            assert await b.outcome() is Outcome.ERROR
            await until(lambda: b.upstreams.open == 0)
            assert b.ended.empty()

    monkeypatch.setattr("coralvale.net.upstream.read_usage", fail)
    run(test())


def test_the_idle_age_at_which_connections_break_is_learned_and_forgotten() -> None:
    """A host silently drops idle connections and answers later writes on them with a reset."""

    async def test() -> None:
        async with bench() as b:
            b.upstreams.sweep_timer.cancel()  # the periodic decay follows the loop's time

            async def ask(after: float) -> int:
                b.clock.ahead += after
                b.send()
                arrived = await b.host.next()
                arrived.reply(answer())
                assert await b.outcome() is Outcome.OK
                return arrived.connection

            assert [await ask(after) for after in (0.0, 0.1, 0.1, 2.0)] == [1] * 4
            b.clock.ahead += 3.0
            b.send()
            (await b.host.next()).reset()
            assert await b.outcome() is Outcome.RESET
            assert await ask(0.0) == 2
            assert await ask(0.1) == await ask(0.1) == 2  # younger ones are still reused
            assert await ask(3.0) == 3
            b.upstreams.idle_limit.decay(60.0)
            assert await ask(3.0) == 3

    run(test())


def test_connections_are_reused_if_all_ages_break_alike() -> None:
    limit = IdleLimit(12.0)
    for number in range(1000):
        limit.record(0.001 * 2 ** (number % 14), broke=number % 10 == 0)
    assert limit.limit_s == 12.0
    limit.decay(100.0)
    for number in range(20):
        limit.record(0.3, broke=number % 2 == 0)
    assert 0.1 < limit.limit_s <= 0.3
