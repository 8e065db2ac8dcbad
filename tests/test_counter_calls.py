"""Calls to the counter over sockets: pipelining, timeouts, broken connections and invalid answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
from net_helpers import Arrived, Peer, answer, run, soon, until

from coralvale.interface import CounterReply
from coralvale.net.counter import CounterClient


@contextlib.asynccontextmanager
async def counter(
    time_out: float = 20.0, stuck: float = 20.0
) -> AsyncIterator[tuple[CounterClient, Peer, asyncio.Queue[CounterReply]]]:
    peer, replies = await Peer().start(), asyncio.Queue[CounterReply]()
    yield CounterClient(peer.address, time_out, 5.0, replies.put_nowait, stuck), peer, replies
    peer.stop()


def total(value: str) -> bytes:
    return answer(body=value.encode())


def test_a_call_sends_amount_and_lifetime_and_gets_the_total() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, -2.5, 4.0)
            arrived = await peer.next()
            assert arrived.message.first == b"POST /tally/8?n=-2.500000&keep_ms=4000 HTTP/1.1"
            arrived.reply(total("38.5"))
            assert await soon(replies.get()) == CounterReply(8, True, 38.5)

    run(test())


def test_calls_are_pipelined_on_one_connection_and_answered_in_order() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            for amount in (1.0, 2.0, 3.0):
                calls.add(8, amount, 4.0)
            arrived: list[Arrived] = [await peer.next() for _ in range(3)]
            assert {a.connection for a in arrived} == {1}
            for i, a in enumerate(arrived):
                a.reply(total(str(i)))
            assert [(await soon(replies.get())).total for _ in range(3)] == [0.0, 1.0, 2.0]

    run(test())


@pytest.mark.parametrize(
    ("reply", "maybe"),
    [
        (answer(503), False),
        (answer(400), False),
        (answer(404), False),
        (answer(500), True),
        (total("x"), True),
    ],
)
def test_a_rejected_call_was_not_added_and_a_failed_one_may_have_been(reply: bytes, maybe: bool) -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(reply)
            assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=maybe)

    run(test())


def test_a_refused_connection_added_nothing_and_a_broken_one_may_have() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reset()
            assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                calls.address = closed.getsockname()
                calls.add(8, 1.0, 4.0)
                assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=False)
            calls.address = peer.address
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(total("1"))
            assert (await soon(replies.get())).ok

    run(test())


def test_a_late_answer_is_not_taken_for_that_of_the_next_call() -> None:
    async def test() -> None:
        async with counter(time_out=0.05) as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            late = await peer.next()
            assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            calls.timeout = 20.0
            calls.add(8, 1.0, 4.0)
            own = await peer.next()
            assert own.connection == late.connection
            late.reply(total("100"))
            own.reply(total("200"))
            assert await soon(replies.get()) == CounterReply(8, True, 200.0)
            assert replies.empty()

    run(test())


def test_a_connection_without_answers_is_replaced() -> None:
    async def test() -> None:
        async with counter(time_out=0.05, stuck=0.01) as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            assert (await soon(replies.get())).maybe_added
            await until(lambda: peer.closed == 1)
            calls.timeout = 20.0
            calls.add(8, 1.0, 4.0)
            await peer.next()
            (await peer.next()).reply(total("1"))
            assert (await soon(replies.get())).ok and peer.connections == 2

    run(test())


def test_an_idle_connection_is_closed_before_the_counter_does(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(total("1"))
            assert (await soon(replies.get())).ok
            await until(lambda: peer.closed == 1)

    monkeypatch.setattr("coralvale.net.counter.IDLE_TIMEOUT_S", 0.01)
    run(test())


def test_a_retired_counter_waits_for_its_replies_and_closes() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            arrived = await peer.next()
            calls.drain()
            arrived.reply(total("3"))
            assert await soon(replies.get()) == CounterReply(8, True, 3.0)
            await until(lambda: peer.closed == 1)
            assert replies.empty()

    run(test())


def test_a_call_that_a_retired_counter_leaves_unanswered_may_have_been_added() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            await peer.next()
            calls.drain()
            peer.stop()
            assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            assert replies.empty()

    run(test())


@pytest.mark.parametrize(
    "body", [b"", b"nan", b"inf", b"1_0", b"+3", b"0x1", b"9" * 100, b"<html>", b"x" * 9000]
)
def test_an_answer_without_a_number_closes_its_connection(body: bytes) -> None:
    """The amount was added; nothing further on that connection can be used."""

    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(answer(body=body))
            assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            await until(lambda: peer.closed == 1)
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(total("2"))
            assert await soon(replies.get()) == CounterReply(8, True, 2.0)

    run(test())


def test_an_answer_without_a_call_closes_the_connection_and_is_ignored() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(total("5") + total("77"))
            assert await soon(replies.get()) == CounterReply(8, True, 5.0)
            await until(lambda: peer.closed == 1)
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(total("6"))
            assert await soon(replies.get()) == CounterReply(8, True, 6.0)

    run(test())


def test_an_endless_response_head_closes_the_connection() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next()).reply(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 100_000)
            assert await soon(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            await until(lambda: peer.closed == 1)

    run(test())
