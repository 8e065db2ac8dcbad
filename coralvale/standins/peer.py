"""A scripted server: a test reads what came and answers it, or leaves it unanswered."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from coralvale.standins.wire import Message, read_message

LIMIT = 20.0  # s within which anything that is waited for must have happened


@dataclass
class Arrived:
    """A request at a stand-in, and the connection to answer it on."""

    message: Message
    writer: asyncio.StreamWriter
    connection: int

    def reply(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        self.writer.transport.abort()


@dataclass
class Peer:
    """A server on a port of its own: every request it gets is put into `arrived`; `auto` answers at once."""

    auto: bytes | None = None
    arrived: asyncio.Queue[Arrived] = field(default_factory=asyncio.Queue)
    connections: int = 0
    closed: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                arrived = Arrived(await read_message(reader), writer, number)
                if self.auto is not None:
                    writer.write(self.auto)
                self.arrived.put_nowait(arrived)
        self.closed += 1
        writer.close()

    async def next(self) -> Arrived:
        return await asyncio.wait_for(self.arrived.get(), LIMIT)

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
