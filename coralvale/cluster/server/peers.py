"""Connections and datagrams between gateways. Makes no decisions."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from socket import inet_aton, inet_ntoa
from typing import Any

import msgspec

from coralvale.cluster.events import Event, log_event
from coralvale.cluster.server.messages import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    PeerMessage,
    PeerReply,
    decode_message,
    frame,
)

CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_MS = 1200  # TCP_USER_TIMEOUT: for which sent data may stay unacknowledged
MAX_QUEUED = 256  # messages that wait for a connection
# That a peer may leave unread, besides one large message, before its connection is closed.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
HEADER_BYTES = 28  # IP and UDP headers of a datagram
RECONNECT_DELAY_S = 0.15  # after a failure
PACING_INTERVAL_S = 0.05  # between the bursts of paced sending
PACED_LINK_SHARE = 0.4  # of the bandwidth that paced sending may use
MAX_PACED = 4000  # waiting datagrams; further ones are dropped, as on a congested link

# Kinds of datagrams. FORWARD: from another zone, to be sent on here as FORWARDED.
SWIM, GOSSIP, IN_FLIGHT, HEALTH, HOST_ROWS, FORWARD, FORWARDED = b"S", b"W", b"O", b"B", b"L", b"P", b"p"
# Of a zone: to one gateway of another zone; sent on to all there, and to the standbys in the own zone.
REPORT, REPORTED = b"Z", b"z"
# One message to a carrier; a batch to a carrier of another zone; a batch to all in a zone.
RELAY_REQUEST, RELAY_BATCH, RELAYED = b"c", b"C", b"k"


class PeerConnection(asyncio.Protocol):
    """One connection, outgoing or accepted, that carries framed messages both ways."""

    def __init__(
        self,
        on_message: Callable[[PeerConnection, PeerMessage], None],
        on_lost: Callable[[PeerConnection], None],
    ) -> None:
        self.on_message, self.on_lost = on_message, on_lost
        self.buffer = bytearray()
        self.largest_unsent = 0  # bytes of the largest frame among those that may be unsent
        self.transport: asyncio.Transport | None = None
        self.ip = ""

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.ip = transport.get_extra_info("peername")[0]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        offset = 0
        while len(self.buffer) - offset >= FRAME_HEADER.size:
            (size,) = FRAME_HEADER.unpack_from(self.buffer, offset)
            if size > MAX_FRAME_BYTES:
                self.close()
                return
            end = offset + FRAME_HEADER.size + size
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[offset + FRAME_HEADER.size : end])
            offset = end
            try:
                message = decode_message(body)
            except msgspec.ValidationError:
                continue  # of a newer version
            except msgspec.DecodeError:
                self.close()
                return
            self._handle(message)
        if offset:
            del self.buffer[:offset]

    def _handle(self, message: PeerMessage) -> None:
        """Passes a message on. An error in its handling must not end the connection, which others use as well."""
        try:
            self.on_message(self, message)
        except Exception as error:  # noqa: BLE001
            log_event(Event.FAILED, reason=f"{type(message).__name__} from {self.ip}: {error!r}")

    def send(self, message: PeerMessage) -> bool:
        """Sends a message; returns False if the connection is closed, also because of too much unread
        data."""
        if self.transport is None or self.transport.is_closing():
            return False
        unsent = self.transport.get_write_buffer_size()
        if not unsent:
            self.largest_unsent = 0
        if unsent > self.largest_unsent + MAX_BUFFERED_BYTES:
            self.close()
            return False
        data = frame(message)
        self.largest_unsent = max(self.largest_unsent, len(data))
        self.transport.write(data)
        return True

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_lost(self)


class Link:
    """Messages to one gateway, over a connection that is opened on demand and reopened after it broke."""

    def __init__(self, own_ip: str, ip: str, port: int) -> None:
        self.own_ip, self.ip, self.port = own_ip, ip, port
        self.connection: PeerConnection | None = None
        self.queue: list[PeerMessage] = []
        self.waiting: dict[int, asyncio.Future[PeerReply | None]] = {}
        self.task: asyncio.Task[None] | None = None
        self.not_before = 0.0
        self.stale_replies = 0  # number of replies that nobody waits for any more
        self.loop = asyncio.get_running_loop()

    def send(self, message: PeerMessage) -> None:
        """Sends a message, or queues it until there is a connection; drops it if the queue is full."""
        if self.connection and self.connection.send(message):
            return
        if len(self.queue) < MAX_QUEUED:
            self.queue.append(message)
        if self.task is None:
            self.task = self.loop.create_task(self._connect())

    async def request(self, number: int, message: PeerMessage, timeout: float) -> PeerReply | None:
        """Sends a request; returns its reply, or None after `timeout` s or if the connection fails."""
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
                # On a machine with several addresses: others reply to the source address.
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
            self.stale_replies += 1  # from a previous connection
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
        """Closes the connection after a timeout, because a broken network path gives no error."""
        if self.connection:
            self.connection.close()

    def close(self) -> None:
        """Closes the link for good."""
        if self.task:
            self.task.cancel()
        self.reset()


class Peers:
    """The links to all gateways, the listener for their connections, and the datagram socket."""

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
        self.bytes_per_interval = 0.0  # that `send_paced` sends; 0: everything at once
        self.credit = 0.0
        self.pacing = False
        self.accepted: set[PeerConnection] = set()
        # Request numbers start at a random value, so that a reply to a previous process at this address
        # matches no request.
        self.last_number = int.from_bytes(os.urandom(4)) << 20

    async def start(self) -> None:
        """Binds the listener and the datagram socket."""
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
        """Returns the link to a gateway, creating it if needed."""
        link = self.links.get(ip)
        if link is None:
            link = self.links[ip] = Link(self.ip, ip, self.port)
        return link

    def next_number(self) -> int:
        """Returns a new request number, which is also used for tokens."""
        self.last_number += 1
        return self.last_number

    def send_datagram(self, ip: str, kind: bytes, data: bytes) -> None:
        """Sends a datagram of a kind to a gateway."""
        self.udp.sendto(kind + data, (ip, self.port))

    def broadcast(self, near: Iterable[str], far: Iterable[str], kind: bytes, data: bytes) -> None:
        """Sends a datagram to `near`, and to `far`, one gateway of each other zone, which forwards it there.

        Links between zones are expensive.
        """
        sendto, port, datagram = self.udp.sendto, self.port, kind + data
        if self.bytes_per_interval and kind == GOSSIP:
            self.send_paced(near, datagram)
        else:
            for ip in near:
                sendto(datagram, (ip, port))
        forwarded = FORWARD + inet_aton(self.ip) + datagram
        for ip in far:
            sendto(forwarded, (ip, port))

    def forward(self, near: Iterable[str], data: bytes) -> None:
        """Sends a datagram that came with `FORWARD` to the others of this zone."""
        datagram = FORWARDED + data
        if self.bytes_per_interval and data[4:5] == GOSSIP:
            self.send_paced(near, datagram)
            return
        for ip in near:
            self.udp.sendto(datagram, (ip, self.port))

    def send_paced(self, ips: Iterable[str], datagram: bytes) -> None:
        """Sends a datagram to many in small bursts: thirty at once would delay all other traffic on a narrow
        link."""
        self.paced.extend((datagram, ip) for ip in ips if len(self.paced) < MAX_PACED)
        if not self.pacing and self.paced:
            self.pacing, self.credit = True, 0.0
            self._send_next_paced()

    def _send_next_paced(self) -> None:
        self.credit += self.bytes_per_interval
        while self.paced and (self.credit > 0 or not self.bytes_per_interval):
            datagram, ip = self.paced.popleft()
            self.credit -= len(datagram) + HEADER_BYTES
            self.udp.sendto(datagram, (ip, self.port))
        self.pacing = bool(self.paced)
        if self.pacing:
            asyncio.get_running_loop().call_later(PACING_INTERVAL_S, self._send_next_paced)

    @staticmethod
    def unpack_forwarded(data: bytes) -> tuple[str, bytes, bytes] | None:
        """Splits a forwarded datagram into its sender's address, its kind and its data."""
        return (inet_ntoa(data[:4]), data[4:5], data[5:]) if len(data) > 5 else None

    def retain_links(self, ips: set[str]) -> None:
        """Closes the links to gateways that are no longer known."""
        for ip in [ip for ip in self.links if ip not in ips]:
            self.links.pop(ip).close()

    def close(self) -> None:
        """Closes sockets, links and accepted connections."""
        self.server.close()
        self.udp.close()
        for link in self.links.values():
            link.close()
        for connection in list(self.accepted):
            connection.close()


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams, with the sender's address, to a callback."""

    def __init__(self, on_datagram: Callable[[str, bytes], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ANN401
        self.on_datagram(addr[0], data)

    def error_received(self, exc: Exception) -> None:
        """Ignores an unreachable address: the probes of membership detect it."""
