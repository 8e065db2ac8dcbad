"""A TCP relay on loopback in front of a host: it forwards bytes, and can reset connections or stall them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

READ_BYTES = 1 << 16  # at once
BUFFER_BYTES = 1 << 16  # of its sockets: a host that does not read holds the gateway up


def small_listener(ip: str) -> socket.socket:
    """A socket bound to a free port, whose connections have small receive buffers."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind((ip, 0))
    return sock


class Relay:
    """Listens on a port of its own and forwards to another port of the same address."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.target_port = 0
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, target_port: int) -> int:
        """Begins to forward to `target_port`; returns the port that it listens on."""
        self.target_port = target_port
        sock = small_listener(self.ip)
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=READ_BYTES)
        port: int = sock.getsockname()[1]
        return port

    def reset(self) -> None:
        """Resets all connections, on both sides."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def silence(self, seconds: float) -> None:
        """Forwards nothing for a while; no bytes are lost."""
        self.forwarding.clear()
        await asyncio.sleep(seconds)
        self.forwarding.set()

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self.server.close()
        self.reset()
        self.forwarding.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            back_reader, back_writer = await asyncio.open_connection(self.ip, self.target_port)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(back_writer)
        back_socket = back_writer.get_extra_info("socket")
        back_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        try:
            await asyncio.gather(self._forward(reader, back_writer), self._forward(back_reader, writer))
        finally:
            for one in (writer, back_writer):
                one.close()
                self.writers.discard(one)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.forwarding.wait()
                writer.write(data)
                await writer.drain()
        if not writer.is_closing():
            with contextlib.suppress(OSError):
                writer.close()
