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

from coralvale.cluster.server.messages import FRAME, MOST, Answer, Parcel, decode_parcel, framed

CONNECT = 0.5  # s that a connection may take to come up
SILENCE_MS = 1200  # that what was written may stand unacknowledged
QUEUED = 256  # parcels that wait for a connection to come up
BUFFERED = 16 * 1024 * 1024  # bytes that a peer may leave unread, until its connection is given up
HEADS = 28  # bytes of a datagram's heads
PAUSE = 0.15  # s after a failure until the next try
SLICE = 0.05  # s between slices of what is sent bit by bit
LINK_SHARE = 0.4  # of the link that it may take
MOST_PACED = 4000  # datagrams that wait to be sent; past it new ones are left out, as a full link loses them
SWIM, WORD, OUT, HEALTH, LIFE, PASS, PASSED = b"S", b"W", b"O", b"B", b"L", b"P", b"p"
REPORT, REPORTED = b"Z", b"z"  # of a zone: to one in another, who tells all there; to those
LOAD, CARRY, CARRIED = b"c", b"C", b"k"  # to a carrier; joined words to a carrier elsewhere; to all in a zone


class Frames(asyncio.Protocol):
    """Parcels on a connection, either way."""

    def __init__(self, taken: Callable[[Frames, Parcel], None], lost: Callable[[Frames], None]) -> None:
        self.taken, self.lost_by = taken, lost
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.ip = ""

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        self.ip = transport.get_extra_info("peername")[0]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= FRAME.size:
            (size,) = FRAME.unpack_from(self.buffer, at)
            if size > MOST:
                self.close()
                return
            end = at + FRAME.size + size
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[at + FRAME.size : end])
            at = end
            try:
                parcel = decode_parcel(body)
            except msgspec.ValidationError:
                continue  # of a newer program
            except msgspec.DecodeError:
                self.close()
                return
            self.taken(self, parcel)
        if at:
            del self.buffer[:at]

    def send(self, parcel: Parcel) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > BUFFERED:
            self.close()
            return False
        self.transport.write(framed(parcel))
        return True

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost_by(self)


class Link:
    """To one gateway: made when something is to be sent, made anew when it breaks."""

    def __init__(self, own: str, ip: str, port: int) -> None:
        self.own, self.ip, self.port = own, ip, port
        self.frames: Frames | None = None
        self.queue: list[Parcel] = []
        self.waiting: dict[int, asyncio.Future[Answer | None]] = {}
        self.task: asyncio.Task[None] | None = None
        self.not_before = 0.0
        self.stale = 0  # answers that came too late to be anybody's
        self.loop = asyncio.get_running_loop()

    def send(self, parcel: Parcel) -> None:
        if self.frames and self.frames.send(parcel):
            return
        if len(self.queue) < QUEUED:
            self.queue.append(parcel)
        if self.task is None:
            self.task = self.loop.create_task(self._connect())

    async def request(self, number: int, parcel: Parcel, patience: float) -> Answer | None:
        """The answer, or None if none comes in time."""
        future: asyncio.Future[Answer | None] = self.loop.create_future()
        self.waiting[number] = future
        self.send(parcel)
        try:
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(number, None)

    async def _connect(self) -> None:
        try:
            if (wait := self.not_before - self.loop.time()) > 0:
                await asyncio.sleep(wait)
            frames = Frames(self._taken, self._lost)
            async with asyncio.timeout(CONNECT):
                # From the own address: it is what others answer to, on a machine that has several.
                await self.loop.create_connection(
                    lambda: frames, self.ip, self.port, local_addr=(self.own, 0)
                )
            self.frames = frames
            queue, self.queue = self.queue, []
            for parcel in queue:
                frames.send(parcel)
        except (OSError, TimeoutError):
            self._failed()
        finally:
            self.task = None

    def _failed(self) -> None:
        self.not_before = self.loop.time() + PAUSE
        self.queue.clear()
        for future in list(self.waiting.values()):
            if not future.done():
                future.set_result(None)

    def _taken(self, frames: Frames, parcel: Parcel) -> None:
        if frames is not self.frames:
            self.stale += 1  # of a connection that was given up
            return
        number = getattr(parcel, "number", None)
        future = self.waiting.get(number) if number is not None else None
        if future and not future.done() and isinstance(parcel, Answer):
            future.set_result(parcel)
        else:
            self.stale += 1

    def _lost(self, frames: Frames) -> None:
        if self.frames is frames:
            self.frames = None
            self._failed()

    def reset(self) -> None:
        """It said nothing in time: a path that is cut tells nothing of itself."""
        if self.frames:
            self.frames.close()

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
        parcel: Callable[[Frames, Parcel], None],
        datagram: Callable[[str, bytes], None],
    ) -> None:
        self.ip, self.port, self.parcel, self.datagram = ip, port, parcel, datagram
        self.links: dict[str, Link] = {}
        self.paced: deque[tuple[bytes, str]] = deque()
        self.bytes_a_slice = 0.0  # that `pace` sends; 0: all at once
        self.credit = 0.0
        self.pacing = False
        self.accepted: set[Frames] = set()
        # Requests are numbered on from a number of this process's own: what was meant for the one before it at
        # this address is nobody's.
        self.number = int.from_bytes(os.urandom(4)) << 20

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, self.ip, self.port, backlog=256)
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.datagram), local_addr=(self.ip, self.port)
        )

    def _accept(self) -> Frames:
        frames = Frames(self.parcel, self.accepted.discard)
        self.accepted.add(frames)
        return frames

    def link(self, ip: str) -> Link:
        link = self.links.get(ip)
        if link is None:
            link = self.links[ip] = Link(self.ip, ip, self.port)
        return link

    def next(self) -> int:
        self.number += 1
        return self.number

    def cast(self, ip: str, kind: bytes, data: bytes) -> None:
        self.udp.sendto(kind + data, (ip, self.port))

    def cast_all(self, near: Iterable[str], far: Iterable[str], kind: bytes, data: bytes) -> None:
        """To all in this zone; and to one in each other zone, who passes it on there: links between are
        dear."""
        sendto, port, whole = self.udp.sendto, self.port, kind + data
        if self.bytes_a_slice and kind == WORD:
            self.pace(near, whole)
        else:
            for ip in near:
                sendto(whole, (ip, port))
        passed = PASS + inet_aton(self.ip) + whole
        for ip in far:
            sendto(passed, (ip, port))

    def pass_on(self, near: Iterable[str], data: bytes) -> None:
        """What came to be passed on, to all others in this zone."""
        whole = PASSED + data
        if self.bytes_a_slice and data[4:5] == WORD:
            self.pace(near, whole)
            return
        for ip in near:
            self.udp.sendto(whole, (ip, self.port))

    def pace(self, ips: Iterable[str], whole: bytes) -> None:
        """Sends bit by bit: a word to thirty others at once would hold up a narrow link for all else."""
        self.paced.extend((whole, ip) for ip in ips if len(self.paced) < MOST_PACED)
        if not self.pacing and self.paced:
            self.pacing, self.credit = True, 0.0
            self._slice()

    def _slice(self) -> None:
        self.credit += self.bytes_a_slice
        while self.paced and (self.credit > 0 or not self.bytes_a_slice):
            whole, ip = self.paced.popleft()
            self.credit -= len(whole) + HEADS
            self.udp.sendto(whole, (ip, self.port))
        self.pacing = bool(self.paced)
        if self.pacing:
            asyncio.get_running_loop().call_later(SLICE, self._slice)

    @staticmethod
    def unpack(data: bytes) -> tuple[str, bytes, bytes] | None:
        """Of what was passed on: whose it is, its kind, itself."""
        return (inet_ntoa(data[:4]), data[4:5], data[5:]) if len(data) > 5 else None

    def keep(self, ips: set[str]) -> None:
        """Lets go of links to those that are no longer known."""
        for ip in [ip for ip in self.links if ip not in ips]:
            self.links.pop(ip).close()

    def close(self) -> None:
        self.server.close()
        self.udp.close()
        for link in self.links.values():
            link.close()
        for frames in list(self.accepted):
            frames.close()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, taken: Callable[[str, bytes], None]) -> None:
        self.taken = taken

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ANN401
        self.taken(addr[0], data)

    def error_received(self, exc: Exception) -> None:
        """An address that took none: probes tell what is to be known of it."""
