"""Messages between gateways: a silent peer delays no other, and the data that it leaves unread is bounded."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from coralvale.cluster.consensus.messages import Member
from coralvale.cluster.registry.register import Row
from coralvale.cluster.server import peers
from coralvale.cluster.server.messages import (
    Ack,
    ClaimShares,
    ConfigurationRequest,
    HostRows,
    HostRowsRequest,
    MembershipPacket,
    Nominate,
    Nominee,
    PeerMessage,
    PeerReply,
    Reply,
    SharesReply,
    UpdateReply,
    UpdateRequest,
    frame,
)
from coralvale.cluster.server.peers import PeerConnection, Peers

LONG_S = 20.0  # far above all timeouts


def free_port(ips: list[str]) -> int:
    """A port that is free at all these addresses, for TCP and UDP, below the ephemeral ports."""
    while True:
        port = random.randrange(10_000, 30_000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as one:
                        one.bind((ip, port))
        except OSError:
            continue
        return port


def answer_message(connection: PeerConnection, message: PeerMessage) -> None:
    if isinstance(message, HostRowsRequest):
        connection.send(Ack(message.number))
    elif isinstance(message, UpdateRequest):
        connection.send(UpdateReply(message.number + 1))  # to another request
    elif isinstance(message, Nominate):
        raise TypeError(message.member.name)


def run_scene(scene: Callable[[Peers, str, str], Awaitable[None]]) -> None:
    """Runs a scene with a peer that answer_message and one that accepts connections but sends nothing."""
    net = f"127.77.{os.getpid() % 250}"
    port = free_port([f"{net}.{n}" for n in (1, 2, 3)])

    async def whole() -> None:
        here, there = (Peers(f"{net}.{n}", port, answer_message, lambda ip, data: None) for n in (1, 2))
        await here.start()
        await there.start()
        silent = socket.socket()
        silent.bind((f"{net}.3", port))
        silent.listen(8)
        try:
            await asyncio.wait_for(scene(here, there.ip, f"{net}.3"), LONG_S)
        finally:
            silent.close()
            here.close()
            there.close()

    asyncio.run(whole())


def test_a_request_to_a_silent_peer_times_out_and_delays_no_other() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        slow = asyncio.create_task(here.link(silent).request(1, HostRowsRequest(1), 0.4))
        number = here.next_number()
        assert await here.link(there).request(number, HostRowsRequest(number), LONG_S) == Ack(number)
        assert await slow is None
        # A reply to another request is discarded.
        assert await here.link(there).request(7, UpdateRequest(7, 0), 0.2) is None
        assert not here.link(there).waiting and not here.link(silent).waiting

    run_scene(scene)


def test_a_reply_on_a_previous_connection_is_discarded() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        link, number = here.link(there), here.next_number()
        assert await link.request(number, HostRowsRequest(number), LONG_S) == Ack(number)
        before, link.connection = link.connection, None  # as after a broken connection: another one follows
        assert before is not None
        number = here.next_number()
        asked = asyncio.create_task(link.request(number, HostRowsRequest(number), LONG_S))
        await asyncio.sleep(0)
        before.on_message(before, Ack(number))
        assert not asked.done() and link.stale_replies == 1
        assert await asked == Ack(number)
        before.close()

    run_scene(scene)


def test_request_numbers_of_a_new_process_differ_from_those_of_the_previous_one() -> None:
    made = {
        Peers("127.0.0.1", 1, answer_message, lambda ip, data: None).next_number() >> 20 for _ in range(20)
    }
    assert len(made) > 15


def test_a_closed_port_fails_at_once_and_a_link_reconnects() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        nobody = silent[:-1] + "4"
        assert await here.link(nobody).request(1, HostRowsRequest(1), LONG_S) is None
        here.link(there).reset()
        assert await here.link(there).request(2, HostRowsRequest(2), LONG_S) == Ack(2)
        here.link(there).reset()
        while here.link(there).connection:
            await asyncio.sleep(0)
        assert await here.link(there).request(3, HostRowsRequest(3), LONG_S) == Ack(3)

    run_scene(scene)


def test_data_that_a_peer_leaves_unread_is_bounded() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        link = here.link(silent)
        link.send(HostRowsRequest(1))
        while link.connection is None:
            await asyncio.sleep(0)
        connection, much = link.connection, MembershipPacket(bytes(1 << 20))
        for _ in range(64):
            if not connection.send(much):
                break
        assert connection.transport and connection.transport.is_closing()
        assert connection.transport.get_write_buffer_size() <= peers.MAX_BUFFERED_BYTES + 2 * (1 << 20)
        for _ in range(2000):  # without a connection, messages wait in a bounded queue
            link.send(HostRowsRequest(2))
        assert len(link.queue) <= peers.MAX_QUEUED

    run_scene(scene)


def test_a_message_to_many_is_paced_on_a_narrow_link_and_the_queue_is_bounded() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        sent: list[str] = []

        class Udp:
            def sendto(self, data: bytes, at: tuple[str, int]) -> None:
                sent.append(at[0])

            def close(self) -> None: ...

        here.udp.close()
        here.udp = Udp()  # type: ignore[assignment]
        many = [f"10.0.0.{n}" for n in range(31)]
        here.broadcast(many, [], peers.GOSSIP, bytes(500))
        assert sent == many  # no pacing: at once
        sent.clear()
        here.bytes_per_interval = 1000.0  # 100 kB/s
        here.broadcast(many, [], peers.GOSSIP, bytes(500))
        assert len(sent) <= 3
        here.broadcast(many[:2], [], peers.IN_FLIGHT, b"now")  # urgent messages are not paced
        assert sent[-2:] == many[:2]
        here.forward(many, bytes(4) + peers.GOSSIP + bytes(500))
        while here.paced:
            await asyncio.sleep(0)
        assert [ip for ip in sent if ip not in many[:2]] == many[2:] * 2
        for _ in range(1000):
            here.broadcast(many, [], peers.GOSSIP, bytes(500))
        assert len(here.paced) <= peers.MAX_PACED

    run_scene(scene)


def test_paced_datagrams_are_sent_when_pacing_ends() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        here.bytes_per_interval = 10.0
        here.broadcast([there] * 9, [], peers.GOSSIP, bytes(500))
        assert here.paced
        here.bytes_per_interval = 0.0
        while here.paced:
            await asyncio.sleep(0)
        assert not here.pacing

    run_scene(scene)


# Each request between gateways, with the only reply that it may get.
EXCHANGES: tuple[tuple[PeerMessage, PeerReply], ...] = (
    (UpdateRequest(5, 3), UpdateReply(5, None, False, True)),
    (ConfigurationRequest(5, None), Reply(5, 200, b"{}")),
    (HostRowsRequest(5, (1, 2)), HostRows(5, [Row("i-1", "s", "10.0.0.1", 80, "z", "v", 4, 1, 0.0, 1)])),
    (Nominate(5, Member("d1", "core", "10.0.0.1")), Nominee(5, "d1")),
    (ClaimShares(5, 2), SharesReply(5, True, b"table", 1.0)),
    (HostRowsRequest(5), Ack(5)),
)


class Resetting(asyncio.Protocol):
    """A peer that resets its connection after `cut` bytes of the request or of the reply; without a cut it
    replies."""

    cut: int | None = None
    in_request = True
    answer = b""

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport, self.read = transport, 0

    def data_received(self, data: bytes) -> None:
        self.read += len(data)
        kind = type(self)
        if kind.cut is None:
            self.transport.write(kind.answer)
        elif not kind.in_request or self.read > kind.cut:
            if not kind.in_request:
                self.transport.write(kind.answer[: kind.cut])
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            asyncio.get_running_loop().call_soon(self.transport.abort)


@pytest.mark.parametrize("query, answer", EXCHANGES)
def test_a_reset_at_any_byte_of_an_exchange_yields_its_reply_or_none(
    query: PeerMessage, answer: PeerReply, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Never a part of a reply or a reply to another request; and the link works for the next request."""
    monkeypatch.setattr(peers, "RECONNECT_DELAY_S", 0.0)
    whole = frame(answer)

    async def scene(here: Peers, there: str, silent: str) -> None:
        ip = f"{silent[:-1]}5"
        listener = await asyncio.get_running_loop().create_server(Resetting, ip, here.port)
        link = here.link(ip)
        cuts = [(True, n) for n in range(len(frame(query)))] + [(False, n) for n in range(len(whole) + 1)]
        for in_request, cut in cuts:
            Resetting.cut, Resetting.in_request, Resetting.answer = cut, in_request, whole
            found = await link.request(5, query, LONG_S)
            assert found is None or (found == answer and cut == len(whole)), (in_request, cut)
            while link.connection:  # until the reset is noticed
                await asyncio.sleep(0)
            Resetting.cut = None
            assert await link.request(5, query, LONG_S) == answer
            link.reset()
            while link.connection:
                await asyncio.sleep(0)
        assert not link.waiting
        listener.close()

    run_scene(scene)


# Guards against one message whose handling raises: it closed the connection, and the requests on it got no
# answer.
def test_a_message_whose_handling_raises_ends_no_connection_and_no_request() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        link = here.link(there)
        assert await link.request(1, HostRowsRequest(1), LONG_S) == Ack(1)
        before = link.connection
        link.send(Nominate(2, Member("raises", "raises", there)))
        assert await link.request(3, HostRowsRequest(3), LONG_S) == Ack(3)
        assert link.connection is before

    run_scene(scene)


# Guards against a large order that no link between gateways carried: the message behind it closed the connection.
def test_a_message_above_the_bound_is_sent_whole_though_others_follow_it() -> None:
    async def scene(here: Peers, there: str, silent: str) -> None:
        size = 2 * peers.MAX_BUFFERED_BYTES
        link = here.link(there)
        assert await link.request(1, HostRowsRequest(1), LONG_S) == Ack(1)
        connection = link.connection
        link.send(MembershipPacket(bytes(size)))
        assert (
            connection and connection.transport and connection.transport.get_write_buffer_size() > size // 2
        )
        assert await link.request(2, HostRowsRequest(2), LONG_S) == Ack(2)
        assert link.connection is connection
        # Once it is through, the bound is what it was.
        assert not connection.transport.get_write_buffer_size()
        link.send(HostRowsRequest(3))
        assert connection.largest_unsent < 1000

    run_scene(scene)
