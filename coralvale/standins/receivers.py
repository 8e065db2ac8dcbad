"""A syslog receiver with faults: octet counting over TCP or TLS, datagrams by UDP or by a local socket.

`mode` may be changed at any time: `read`; `stall` accepts and reads nothing; `reset` resets the connection at
each message; `slow` reads one byte a second. Messages are kept as they came; half ones at a connection's end are
not.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable

HELD = 8 * 1024  # bytes of the receiving buffer, so that a stalled receiver holds little


class Receiver:
    """Listens on loopback, on the port that it had before if it had one."""

    def __init__(self, tls: ssl.SSLContext | None = None, on: Callable[[bytes], None] | None = None) -> None:
        self.tls, self.on, self.mode, self.port = tls, on, "read", 0
        self.messages: list[bytes] = []
        self.connections = self.resets = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()

    @property
    def target(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Receiver:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, HELD)
        listener.bind(("127.0.0.1", self.port))
        self.port = listener.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=listener, ssl=self.tls, limit=HELD)
        return self

    def stop(self) -> None:
        """Dies: the port refuses, open connections are reset."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.turn("read")  # whoever waits in a stall comes to its end

    def turn(self, mode: str) -> None:
        """Another mode, from now on."""
        self.mode = mode
        self.changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            with contextlib.suppress(
                OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
            ):
                await self._read(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            while self.mode == "stall":  # its buffer fills up, then the kernel's
                self.changed.clear()
                await self.changed.wait()
            if self.mode == "slow":
                await reader.readexactly(1)
                await asyncio.sleep(1.0)
                continue
            count = int(await reader.readuntil(b" "))
            data = await reader.readexactly(count)
            if self.mode == "reset":
                self.resets += 1
                writer.transport.abort()
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        self.messages.append(data)
        if self.on:
            self.on(data)


class DatagramReceiver:
    """Takes datagrams, by UDP on loopback or, with a path, by a local socket."""

    def __init__(self, path: str = "") -> None:
        self.path, self.messages = path, list[bytes]()
        self.port = 0

    @property
    def target(self) -> str:
        return self.path or f"127.0.0.1:{self.port}"

    async def start(self) -> DatagramReceiver:
        loop = asyncio.get_running_loop()
        opened = socket.socket(socket.AF_UNIX if self.path else socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind(self.path or ("127.0.0.1", self.port))
        if not self.path:
            self.port = opened.getsockname()[1]
        self.socket = opened
        loop.add_reader(opened.fileno(), self._readable)
        return self

    def _readable(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.messages.append(self.socket.recv(65_536))

    def stop(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
