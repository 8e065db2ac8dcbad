"""What a process owes at its end: the moments, and that each request in hand is answered by them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from test_connection_endings import ask_slowly, run_scene, terminate
from test_edge import BOOK, READ, Scene, next_request, reply, request_bytes, wait_until

from coralvale.cluster.rate_limit.actions import Waiting
from coralvale.cluster.server.ctl import Control, ControlBackend, ControlServer
from coralvale.cluster.shutdown import LEAST_CUT_MARGIN_S, shutdown_schedule
from coralvale.net.clock import Clock
from coralvale.net.endings import WaitsFor
from coralvale.standins.cluster import call
from coralvale.standins.wire import read_message

ENDS_IN_S = 0.6  # from a scene's SIGTERM to the moment by which it answers


@pytest.mark.parametrize("grace", [0.5, 2.0, 6.0, 10.0, 30.0])
@pytest.mark.parametrize("late", [0.0, 0.05, 0.3, 1.0, 4.0])
def test_the_moments_of_an_end_follow_each_other_and_lie_before_sigkill(grace: float, late: float) -> None:
    s = shutdown_schedule(100.0 - late, 100.0, grace)
    assert s.accept <= s.handle < s.answer < s.cut and s.take_calls < s.answer
    if grace >= 2.0:
        assert s.cut <= 100.0 - late + grace - LEAST_CUT_MARGIN_S


# Guards against LOST: an answer in a host's place before the last sixth of GraceS, when the host may be at work.
@pytest.mark.parametrize("grace", [6.0, 10.0])
@pytest.mark.parametrize("late", [0.0, 0.1, 0.3])
def test_nothing_is_given_up_before_the_last_sixth_of_the_grace(grace: float, late: float) -> None:
    assert shutdown_schedule(100.0 - late, 100.0, grace).answer >= 100.0 + grace * 5 / 6


# Guards against LOST: a process that was held up took requests later than 3 s after SIGTERM, and met SIGKILL.
def test_a_process_that_handles_sigterm_late_reckons_from_when_it_may_have_come() -> None:
    s = shutdown_schedule(100.0, 101.5, 6.0)
    assert s.accept <= s.handle <= 103.0 and s.cut < 106.0


def end(s: Scene) -> None:
    """Tells a scene's gateway of its end, as SIGTERM does."""
    terminate(s)
    s.edge.end_by(s.edge.clock.monotonic() + ENDS_IN_S)


# Guards against LOST: what was in hand as the process ended got no answer.
def test_each_request_in_hand_is_answered_with_what_is_known_as_its_process_ends() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(b"".join(request_bytes(BOOK, f"r-{n}", b"") for n in range(3)))
        arrived = {}
        for _ in range(3):
            one = await next_request(s)
            arrived[one.message.headers[b"x-myrtlehatch-request-id"]] = one
        arrived[b"r-2"].reply(reply("r-2"))
        (connection,) = s.server.connections
        await wait_until(lambda: connection.exchanges[2].head is not None)
        terminate(s)
        given_up = s.server.answer_unfinished()
        waits = [(request.name, request.waits_for) for request in given_up]
        assert waits == [("r-0", WaitsFor.FIRST_BYTE), ("r-1", WaitsFor.FIRST_BYTE)]
        assert s.server.end_counts.given_up[WaitsFor.FIRST_BYTE] == 2
        found = [await read_message(reader) for _ in range(3)]
        assert [one.status for one in found] == [504, 504, 200]
        assert [b"connection" in one.headers for one in found] == [False, False, True]
        assert await reader.read(1) == b""

    run_scene(2, scene)


# Guards against LOST: what was not sent yet as the process ended got no answer, and no promise.
@pytest.mark.parametrize("waits_for", [WaitsFor.TOKEN, WaitsFor.CONNECTION])
def test_a_request_that_no_host_has_got_is_refused_as_its_process_ends(waits_for: WaitsFor) -> None:
    async def scene(s: Scene) -> None:
        if waits_for is WaitsFor.TOKEN:
            s.edge.router.limiter.request = lambda *arguments: Waiting()  # type: ignore[method-assign]
        else:
            s.hosts.connect = lambda pool, attempt: None  # type: ignore[method-assign]
        reader, writer = await s.connect()
        writer.write(request_bytes(BOOK, "r-0", b""))
        await wait_until(lambda: bool(s.edge.open))
        end(s)
        (given_up,) = s.server.answer_unfinished()
        assert given_up.waits_for is waits_for and given_up.time_left > ENDS_IN_S
        found = await read_message(reader)
        assert found.status == 503 and b"retry-after" in found.headers

    run_scene(1, scene)


class HangingBackend(ControlBackend):
    """A backend whose operations never end."""

    def __init__(self) -> None:
        for name in ControlBackend.__annotations__:
            setattr(self, name, self._hang)

    async def _hang(self, *arguments: Any) -> Any:
        await asyncio.Event().wait()


# Guards against LOST: a call of a host or the operator that was being handled was cut as its gateway ended.
def test_each_call_in_hand_is_answered_as_its_process_ends() -> None:
    async def scene() -> None:
        server = ControlServer(("127.0.0.1", 0), Control(HangingBackend()), Clock())
        server.start()
        try:
            heartbeat = b'{"Svc":"s","Address":"10.0.0.1:80"}'
            target = "/rpc?call=instances.heartbeat&of=i-1"
            called = asyncio.create_task(call("127.0.0.1", server.port, "POST", target, heartbeat))
            await wait_until(server.is_sending)
            server.drain()
            server.refuse()
            assert len(server.answer_unfinished()) == 1
            found = await called
            assert found and found.status == 504 and found.headers[b"connection"] == b"close"
        finally:
            server.close()

    asyncio.run(asyncio.wait_for(scene(), 20.0))


# Guards against LOST: a request that came in part was cut with no answer as its process ended.
def test_a_request_read_in_part_is_refused_as_its_process_ends() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(request_bytes(BOOK, "r-0", b"xy")[:-1])
        await wait_until(lambda: any(c.reading for c in s.server.connections))
        terminate(s)
        assert s.server.answer_unfinished() == []
        found = await read_message(reader)
        assert found.status == 503 and found.headers[b"connection"] == b"close"
        assert not s.peers[0].connections

    run_scene(1, scene)


# Guards against LOST: an answer that has begun is not given up: nothing can be said in its place.
def test_an_answer_that_has_begun_goes_on_as_its_process_ends() -> None:
    async def scene(s: Scene) -> None:
        s.server.max_buffered_bytes = s.server.memory.account.limit = 1 << 24
        client, arrived = await ask_slowly(s, READ)
        end(s)
        text = bytes(300_000)
        whole = reply("r-0", text)
        arrived.reply(whole[:200_000])
        await client.read(100_000)
        assert s.server.answer_unfinished() == []
        await asyncio.sleep(ENDS_IN_S + 0.1)
        assert not arrived.writer.is_closing()  # the gateway still reads from the host
        arrived.reply(whole[200_000:])
        await client.read(len(text))
        assert len(client.received) >= len(text)

    run_scene(1, scene)


# Guards against LOST: deadlines behind the end of the process: hosts were handed more time than it had.
def test_what_is_passed_on_as_the_process_ends_is_handed_the_time_that_it_has() -> None:
    async def scene(s: Scene) -> None:
        reader, writer = await s.connect()
        writer.write(b"P")
        await wait_until(lambda: any(c.reading for c in s.server.connections))
        end(s)
        writer.write(request_bytes(BOOK, "r-0", b"")[1:])
        arrived = await next_request(s)
        assert int(arrived.message.headers[b"x-myrtlehatch-time-left"]) <= ENDS_IN_S * 1000
        s.server.answer_unfinished()
        assert (await read_message(reader)).status == 504

    run_scene(1, scene)


# Guards against LOST: a try at a silent host, which may be at work, was ended and answered 502 in its place.
def test_a_try_at_a_silent_host_goes_on_where_the_retry_budget_allows_no_other() -> None:
    async def scene(s: Scene) -> None:
        router = s.edge.router
        router._budget_allows_retry = lambda now, service: False  # type: ignore[method-assign]
        router.route_delays = dict.fromkeys(router.configuration.items["Routes"], 0.02)
        reader, writer = await s.connect()
        writer.write(request_bytes(READ, "r-0", b""))
        arrived = await next_request(s)
        await asyncio.sleep(0.4)  # over SILENCE_DELAYS times the expected delay
        assert not arrived.writer.is_closing()
        arrived.reply(reply("r-0"))
        assert (await read_message(reader)).status == 200

    run_scene(2, scene)


# Guards against LOST: a try that a silent host held was not given to another before the process ended.
def test_a_silent_try_is_repeated_elsewhere_only_while_an_answer_can_come_before_the_end() -> None:
    async def scene(s: Scene) -> None:
        for ends_in, tries in ((ENDS_IN_S, 2), (0.05, 1)):
            s.edge.router.ends_at = float("inf")
            s.server.closing = False
            s.edge.router.route_delays = dict.fromkeys(s.edge.router.configuration.items["Routes"], 0.02)
            reader, writer = await s.connect()
            writer.write(request_bytes(READ, f"r-{tries}", b""))
            await next_request(s)
            s.edge.end_by(s.edge.clock.monotonic() + ends_in)
            if tries == 2:
                (await next_request(s)).reply(reply("r-2"))
            else:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.4):
                        assert not await next_request(s)
                s.server.answer_unfinished()
            assert (await read_message(reader)).status == (200 if tries == 2 else 504)

    run_scene(2, scene)
