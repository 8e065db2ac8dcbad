"""A back-end host that works: takes its time, counts what it ran, drains, and can be made to fail."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter

from coralvale.standins.wire import answer, read_message


class Host:
    """Serves requests on a loopback port.

    `slots` are worked on at once, `queue` may wait; what comes beyond is turned away with 503 and
    `X-Not-Processed`, as it is while `draining`. `arrivals` holds (Unix time, request id) for every whole
    request, served or not; `ran` counts executions by request id, so that a second run shows. With `most`, that
    many connections are held, and while they are the port refuses.
    """

    def __init__(
        self,
        name: str,
        delay: float = 0.02,
        slots: int = 8,
        queue: int = 32,
        seed: int = 0,
        most: int = 0,
    ) -> None:
        self.name, self.delay, self.queue, self.most = name, delay, queue, most
        self.slots = asyncio.Semaphore(slots)
        self.random = random.Random(f"{seed}/{name}")
        self.waiting = 0
        self.draining = False
        self.error_share = 0.0  # share of answers that are 500
        self.reset_share = 0.0  # share of requests whose connection is reset after they ran
        self.arrivals: list[tuple[float, str]] = []
        self.ran: Counter[str] = Counter()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.stopped = False

    async def start(self) -> Host:
        """Listens, on the port that it had before if it had one."""
        self.stopped = False
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Dies: the port refuses, open connections are reset."""
        self.stopped = True
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def since(self, moment: float) -> int:
        """Requests that came whole later than `moment`, Unix time in seconds."""
        return sum(at > moment for at, _ in self.arrivals)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        if len(self.writers) == self.most:
            self.server.close()
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    await self._answer(message.headers.get(b"x-request-id", b"").decode("latin-1"), writer)
        finally:
            self.writers.discard(writer)
            writer.close()
            if self.most and not self.stopped and not self.server.is_serving():
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await self.start()

    async def _answer(self, name: str, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append((time.time(), name))
        if self.draining or self.waiting >= self.queue:
            writer.write(answer(503, b"turned away\n", X_Not_Processed="1"))
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(self.delay * (0.5 + self.random.random()))
        finally:
            self.slots.release()
        self.ran[name] += 1
        lot = self.random.random()
        if lot < self.reset_share:
            writer.transport.abort()
        elif lot < self.reset_share + self.error_share:
            writer.write(answer(500, b"failed\n"))
        else:
            writer.write(answer(200, b"served by " + self.name.encode()))
