"""The shared counter: names, totals, lives, on one loopback port; it can lose, swap and refuse."""

from __future__ import annotations

import asyncio
import contextlib
import time
from urllib.parse import parse_qs, urlsplit

from coralvale.standins.wire import answer, read_message


class Tally:
    """Adds amounts to names and answers with the totals. `totals` maps a name to (total, end of its life)."""

    def __init__(self) -> None:
        self.totals: dict[str, tuple[float, float]] = {}
        self.turning_away = False
        self.calls = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> Tally:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def lose(self) -> None:
        """Forgets every total, as a counter that was swapped for an empty one."""
        self.totals.clear()

    def add(self, name: str, amount: float, keep: float, now: float) -> float:
        """Adds to a name and tells its total; a name that has outlived `keep` seconds begins at nought."""
        total, end = self.totals.get(name, (0.0, now + keep))
        if now >= end:
            total, end = 0.0, now + keep
        self.totals[name] = total + amount, end
        return total + amount

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    writer.write(self._answer(message.first))
        finally:
            self.writers.discard(writer)
            writer.close()

    def _answer(self, first: bytes) -> bytes:
        self.calls += 1
        if self.turning_away:
            return answer(503, b"")
        url = urlsplit(first.split(b" ")[1].decode("latin-1"))
        fields = parse_qs(url.query)
        prefix, _, name = url.path.rpartition("/")
        try:
            amount, keep = float(fields["n"][0]), min(60_000, int(fields["keep_ms"][0]))
        except (KeyError, ValueError):
            return answer(400, b"")
        if prefix != "/tally" or not 1 <= len(name) <= 64 or not abs(amount) <= 1e9 or keep < 1:
            return answer(404, b"")
        return answer(200, b"%.7g" % self.add(name, amount, keep / 1000, time.monotonic()))
