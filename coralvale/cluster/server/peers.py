"""Connections between gateways, and the datagrams beside them. Nothing here decides."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from socket import inet_aton, inet_ntoa
from typing import Any

import msgspec

from coralvale.cluster.server.messages import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    PeerMessage,
    PeerReply,
    decode_message,
    frame,
)

CONNECT_TIMEOUT_S = 0.5  # s that a connection may take to come up
USER_TIMEOUT_MS = 1200  # that what was written may stand unacknowledged
MAX_QUEUED = 256  # parcels that wait for a connection to come up
MAX_BUFFERED_BYTES = 16 * 1024 * 1024  # bytes that a peer may leave unread, until its connection is given up
HEADER_BYTES = 28  # bytes of a datagram's heads
RECONNECT_DELAY_S = 0.15  # s after a failure until the next try
PACING_INTERVAL_S = 0.05  # s between slices of what is sent bit by bit
PACED_LINK_SHARE = 0.4  # of the link that it may take
MAX_PACED = 4000  # datagrams that wait to be sent; past it new ones are left out, as a full link loses them
SWIM, GOSSIP, IN_FLIGHT, HEALTH, HOST_ROWS, FORWARD, FORWARDED = b"S", b"W", b"O", b"B", b"L", b"P", b"p"
REPORT, REPORTED = b"Z", b"z"  # of a zone: to one in another, who tells all there; to those
RELAY_REQUEST, RELAY_BATCH, RELAYED = (
    b"c",
    b"C",
    b"k",
)  # to a carrier; joined words to a carrier elsewhere; to all in a zone


class PeerConnection(asyncio.Protocol):
    """Parcels on a connection, either way."""

    def __init__(
        self,
        on_message: Callable[[PeerConnection, PeerMessage], None],
        on_lost: Callable[[PeerConnection], None],
    ) -> None:
        self.on_message, self.on_lost = on_message, on_lost
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.ip = ""

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.ip = transport.get_extra_info("peername")[0]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= FRAME_HEADER.size:
            (size,) = FRAME_HEADER.unpack_from(self.buffer, at)
            if size > MAX_FRAME_BYTES:
                self.close()
                return
            end = at + FRAME_HEADER.size + size
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[at + FRAME_HEADER.size : end])
            at = end
            try:
                message = decode_message(body)
            except msgspec.ValidationError:
                continue  # of a newer program
            except msgspec.DecodeError:
                self.close()
                return
            self.on_message(self, message)
        if at:
            del self.buffer[:at]

    def send(self, message: PeerMessage) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.close()
            return False
        self.transport.write(frame(message))
        return True

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_lost(self)


class Link:
    """To one gateway: made when something is to be sent, made anew when it breaks."""

    def __init__(self, own_ip: str, ip: str, port: int) -> None:
        self.own_ip, self.ip, self.port = own_ip, ip, port
        self.connection: PeerConnection | None = None
        self.queue: list[PeerMessage] = []
        self.waiting: dict[int, asyncio.Future[PeerReply | None]] = {}
        self.task: asyncio.Task[None] | None = None
        self.not_before = 0.0
        self.stale_replies = 0  # answers that came too late to be anybody's
        self.loop = asyncio.get_running_loop()

    def send(self, message: PeerMessage) -> None:
        if self.connection and self.connection.send(message):
            return
        if len(self.queue) < MAX_QUEUED:
            self.queue.append(message)
        if self.task is None:
            self.task = self.loop.create_task(self._connect())

    async def request(self, number: int, message: PeerMessage, timeout: float) -> PeerReply | None:
        """The answer, or None if none comes in time."""
        future: asyncio.Future[PeerReply | None] = self.loop.create_future()
        self.waiting[number] = future
        self.send(message)
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(number, None)

    async def _connect(self) -> None:
        try:
            if (wait := self.not_before - self.loop.time()) > 0:
                await asyncio.sleep(wait)
            connection = PeerConnection(self._received, self._lost)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # From the own address: it is what others answer to, on a machine that has several.
                await self.loop.create_connection(
                    lambda: connection, self.ip, self.port, local_addr=(self.own_ip, 0)
                )
            self.connection = connection
            queue, self.queue = self.queue, []
            for message in queue:
                connection.send(message)
        except (OSError, TimeoutError):
            self._failed()
        finally:
            self.task = None

    def _failed(self) -> None:
        self.not_before = self.loop.time() + RECONNECT_DELAY_S
        self.queue.clear()
        for future in list(self.waiting.values()):
            if not future.done():
                future.set_result(None)

    def _received(self, connection: PeerConnection, message: PeerMessage) -> None:
        if connection is not self.connection:
            self.stale_replies += 1  # of a connection that was given up
            return
        number = getattr(message, "number", None)
        future = self.waiting.get(number) if number is not None else None
        if future and not future.done() and isinstance(message, PeerReply):
            future.set_result(message)
        else:
            self.stale_replies += 1

    def _lost(self, connection: PeerConnection) -> None:
        if self.connection is connection:
            self.connection = None
            self._failed()

    def reset(self) -> None:
        """It said nothing in time: a path that is cut tells nothing of itself."""
        if self.connection:
            self.connection.close()

    def close(self) -> None:
        if self.task:
            self.task.cancel()
        self.reset()


class Peers:
    """All links, the listener, and the datagrams."""

    def __init__(
        self,
        ip: str,
        port: int,
        on_message: Callable[[PeerConnection, PeerMessage], None],
        on_datagram: Callable[[str, bytes], None],
    ) -> None:
        self.ip, self.port, self.on_message, self.on_datagram = ip, port, on_message, on_datagram
        self.links: dict[str, Link] = {}
        self.paced: deque[tuple[bytes, str]] = deque()
        self.bytes_per_interval = 0.0  # that `pace` sends; 0: all at once
        self.credit = 0.0
        self.pacing = False
        self.accepted: set[PeerConnection] = set()
        # Requests are numbered on from a number of this process's own: what was meant for the one before it at
        # this address is nobody's.
        self.last_number = int.from_bytes(os.urandom(4)) << 20

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, self.ip, self.port, backlog=256)
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.on_datagram), local_addr=(self.ip, self.port)
        )

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self.on_message, self.accepted.discard)
        self.accepted.add(connection)
        return connection

    def link(self, ip: str) -> Link:
        link = self.links.get(ip)
        if link is None:
            link = self.links[ip] = Link(self.ip, ip, self.port)
        return link

    def next_number(self) -> int:
        self.last_number += 1
        return self.last_number

    def send_datagram(self, ip: str, kind: bytes, data: bytes) -> None:
        self.udp.sendto(kind + data, (ip, self.port))

    def broadcast(self, near: Iterable[str], far: Iterable[str], kind: bytes, data: bytes) -> None:
        """To all in this zone; and to one in each other zone, who passes it on there: links between are
        dear."""
        sendto, port, whole = self.udp.sendto, self.port, kind + data
        if self.bytes_per_interval and kind == GOSSIP:
            self.send_paced(near, whole)
        else:
            for ip in near:
                sendto(whole, (ip, port))
        passed = FORWARD + inet_aton(self.ip) + whole
        for ip in far:
            sendto(passed, (ip, port))

    def forward(self, near: Iterable[str], data: bytes) -> None:
        """What came to be passed on, to all others in this zone."""
        whole = FORWARDED + data
        if self.bytes_per_interval and data[4:5] == GOSSIP:
            self.send_paced(near, whole)
            return
        for ip in near:
            self.udp.sendto(whole, (ip, self.port))

    def send_paced(self, ips: Iterable[str], whole: bytes) -> None:
        """Sends bit by bit: a word to thirty others at once would hold up a narrow link for all else."""
        self.paced.extend((whole, ip) for ip in ips if len(self.paced) < MAX_PACED)
        if not self.pacing and self.paced:
            self.pacing, self.credit = True, 0.0
            self._send_next_paced()

    def _send_next_paced(self) -> None:
        self.credit += self.bytes_per_interval
        while self.paced and (self.credit > 0 or not self.bytes_per_interval):
            whole, ip = self.paced.popleft()
            self.credit -= len(whole) + HEADER_BYTES
            self.udp.sendto(whole, (ip, self.port))
        self.pacing = bool(self.paced)
        if self.pacing:
            asyncio.get_running_loop().call_later(PACING_INTERVAL_S, self._send_next_paced)

    @staticmethod
    def unpack_forwarded(data: bytes) -> tuple[str, bytes, bytes] | None:
        """Of what was passed on: whose it is, its kind, itself."""
        return (inet_ntoa(data[:4]), data[4:5], data[5:]) if len(data) > 5 else None

    def retain_links(self, ips: set[str]) -> None:
        """Lets go of links to those that are no longer known."""
        for ip in [ip for ip in self.links if ip not in ips]:
            self.links.pop(ip).close()

    def close(self) -> None:
        self.server.close()
        self.udp.close()
        for link in self.links.values():
            link.close()
        for connection in list(self.accepted):
            connection.close()


class DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[str, bytes], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ANN401
        self.on_datagram(addr[0], data)

    def error_received(self, exc: Exception) -> None:
        """An address that took none: probes tell what is to be known of it."""
