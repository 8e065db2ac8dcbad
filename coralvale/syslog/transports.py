"""The ways to a receiver: UDP (RFC 5426), TCP and TLS with octet counting (RFC 6587, RFC 5425), a local datagram
socket. They carry out what `delivery` decides, and tell it how much has arrived.

  TCP    what the receiver's kernel has acknowledged: bytes written less those that SIOCOUTQ counts as unsent or
         unacknowledged (tcp(7)), less what stands in the transport's buffer
  TLS    the same, but bytes on the wire are not those that were written: all has arrived when nothing is left
         at two looks in a row
  local  what the receiver's socket has taken; a full one is waited for
  UDP    what has gone out: nobody can know more
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import socket
import ssl
import struct
import termios
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from coralvale.syslog.framing import Arrivals, frame

LOOK = 0.05  # s between looks at what has arrived, while something is out
SELDOM = 0.25  # the same, after it has not moved for a while
DATAGRAM = 65_507  # bytes of a datagram by UDP over IPv4 (RFC 5426, section 3.2)


class Told(Protocol):
    """Who is told: of a connection that came about, of messages that arrived, of its end."""

    def connected(self) -> None: ...

    def arrived(self, count: int) -> None: ...

    def lost(self, why: str) -> None: ...


class Way(Protocol):
    """A connection to a receiver."""

    async def open(self) -> None:
        """Comes about, or raises OSError (ssl.SSLError among them)."""

    def write(self, messages: Sequence[bytes]) -> None:
        """Sends messages behind those that were written before."""

    def close(self) -> None:
        """Ends at once; nobody is told anything after that."""


def reason(error: Exception) -> str:
    """Why a connection failed, in a few words that are the same for the same cause."""
    if isinstance(error, ssl.SSLCertVerificationError):
        return f"certificate refused: {error.verify_message}"
    if isinstance(error, ssl.SSLError):
        return f"no TLS: {error.reason or error}"
    if isinstance(error, OSError) and error.errno:
        return os.strerror(error.errno) if error.errno > 0 else str(error)
    return str(error) or type(error).__name__


class Stream(asyncio.Protocol):
    """TCP, or TLS where a context is given."""

    def __init__(
        self, address: tuple[str, int], told: Told, context: ssl.SSLContext | None = None, name: str = ""
    ) -> None:
        self.address, self.told, self.context, self.name = address, told, context, name
        self.loop = asyncio.get_running_loop()
        self.transport: Any = None
        self.number = -1
        self.arrivals = Arrivals()
        self.reached = self.empty_at = self.still = 0
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    async def open(self) -> None:
        more: dict[str, Any] = {}
        if self.context:
            more = {"ssl": self.context, "server_hostname": self.name or self.address[0]}
        transport, _ = await self.loop.create_connection(lambda: self, *self.address, **more)
        if self.closed:
            transport.abort()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.number = transport.get_extra_info("socket").fileno()
        if not self.closed:
            self.told.connected()

    def data_received(self, data: bytes) -> None:
        """A receiver says nothing in this protocol; what it says all the same is not kept."""

    def write(self, messages: Sequence[bytes]) -> None:
        parts = [frame(message) for message in messages]
        for part in parts:
            self.arrivals.wrote(len(part))
        self.transport.write(b"".join(parts))
        if self.timer is None:
            self.timer = self.loop.call_later(LOOK, self._look)

    def _look(self) -> None:
        self.timer = None
        if self.closed or self.transport.is_closing():
            return
        left = struct.unpack("i", fcntl.ioctl(self.number, termios.TIOCOUTQ, b"\0\0\0\0"))[0]
        left += self.transport.get_write_buffer_size()
        if not self.context:
            reached = self.arrivals.written - left
        else:
            reached = self.empty_at if not left else 0
            self.empty_at = self.arrivals.written if not left else 0
        self.still = 0 if reached > self.reached else self.still + 1
        self.reached = max(self.reached, reached)
        count = self.arrivals.reached(self.reached)
        if self.arrivals.ends:
            self.timer = self.loop.call_later(SELDOM if self.still > 50 else LOOK, self._look)
        if count:
            self.told.arrived(count)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer:
            self.timer.cancel()
        if not self.closed:
            self.closed = True
            self.told.lost(reason(exc) if exc else "closed by the receiver")

    def close(self) -> None:
        self.closed = True
        if self.timer:
            self.timer.cancel()
        if self.transport:
            self.transport.abort()


class Datagrams:
    """UDP to an address and port, or a local datagram socket by its path."""

    def __init__(self, address: tuple[str, int] | str, told: Told) -> None:
        self.address, self.told = address, told
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[bytes] = deque()
        self.socket: socket.socket | None = None
        self.watched = False

    async def open(self) -> None:
        if isinstance(self.address, str):
            family: int = socket.AF_UNIX
        else:
            family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.connect(self.address)
        except OSError:
            opened.close()
            raise
        self.socket = opened
        self.told.connected()

    def write(self, messages: Sequence[bytes]) -> None:
        self.waiting += messages
        if not self.watched:
            self._send()

    def _send(self) -> None:
        count, why = 0, ""
        while self.waiting and self.socket:
            try:
                self.socket.send(self.waiting[0])
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                if error.errno == errno.ENOBUFS:
                    break
                if error.errno != errno.EMSGSIZE:  # that one alone cannot go: there is no use in trying again
                    why = reason(error)
                    break
            self.waiting.popleft()
            count += 1
        watch = bool(self.waiting) and not why
        if self.socket and watch != self.watched:
            self.watched = watch
            if watch:
                self.loop.add_writer(self.socket.fileno(), self._send)
            else:
                self.loop.remove_writer(self.socket.fileno())
        # Told from the loop, not from within `write`: who decides is not to be entered again.
        if count:
            self.loop.call_soon(self._tell, count)
        if why:
            self.loop.call_soon(self._fail, why)

    def _tell(self, count: int) -> None:
        if self.socket:
            self.told.arrived(count)

    def _fail(self, why: str) -> None:
        if self.socket:
            self.close()
            self.told.lost(why)

    def close(self) -> None:
        if self.socket:
            if self.watched:
                self.loop.remove_writer(self.socket.fileno())
            self.socket.close()
            self.socket = None


def context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """What a TLS receiver is held to: its name, its dates, and the authorities of `ca` or of the system.

    Raises OSError or ssl.SSLError for files that cannot be used.
    """
    made = ssl.create_default_context(cafile=ca or None)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    if certificate:
        made.load_cert_chain(certificate, key)
    return made


Maker = Callable[[Told], Way]
