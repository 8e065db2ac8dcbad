"""A billing service with faults: batches are created once by `PUT` with `If-None-Match: *` (RFC 9110, 13.1.2).

`lose` is the share of answers that are lost after a batch was created, `deny` of requests that get 503 before,
`stall` holds every answer back until it is cleared. `created` and `repeated` count by path.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import random
from collections import Counter
from typing import Any

from coralvale.standins.wire import answer, read_message


class Billing:
    """Listens on loopback, on the port that it had before if it had one."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.lose = self.deny = 0.0
        self.stall = False
        self.batches: dict[str, bytes] = {}
        self.created, self.repeated = Counter[str](), Counter[str]()
        self.asked = asyncio.Event()
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def target(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Billing:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def lines(self) -> list[dict[str, Any]]:
        """All lines of all batches."""
        return [line for data in self.batches.values() for line in json.loads(data)["lines"]]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    method, path, _ = message.first.decode().split(" ")
                    self.asked.set()
                    if method != "PUT" or message.headers.get(b"if-none-match") != b"*":
                        writer.write(answer(400, b"PUT with If-None-Match: * alone\n"))
                        continue
                    if self.random.random() < self.deny:
                        writer.write(answer(503, b"later\n"))
                        continue
                    there = path in self.batches
                    if there:
                        self.repeated[path] += 1
                    else:
                        self.batches[path] = message.body
                        self.created[path] += 1
                    while self.stall:
                        await asyncio.sleep(0.01)
                    if self.random.random() < self.lose:
                        writer.transport.abort()
                        return
                    tag = hashlib.sha256(self.batches[path]).hexdigest()
                    writer.write(answer(412 if there else 201, b"", ETag=f'"{tag}"'))
        finally:
            self.writers.discard(writer)
            writer.close()
