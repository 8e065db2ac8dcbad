"""The shared counter: names, totals, lives, on loopback ports; it loses, splits, is swapped, late, refuses."""

from __future__ import annotations

import asyncio
import contextlib
import random
from urllib.parse import parse_qs, urlsplit

from coralvale.standins.wire import answer, read_message

Totals = dict[str, tuple[float, float]]  # a name to (total, end of its life)


class Tally:
    """Adds amounts to names and answers with the totals.

    `doors` are more ports to the same counter. After `split` the doors that are named there reach the second
    half, all others and the first port the first; each half goes on with what it had, or empty.
    """

    def __init__(self) -> None:
        self.totals: Totals = {}
        self.second: Totals | None = None
        self.beyond: set[int] = set()  # doors to the second half
        self.doors: list[asyncio.Server] = []
        self.turning_away = False
        self.delay = 0.0  # s before an answer, whose amount is added at once
        self.calls = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> Tally:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def door(self) -> int:
        """Opens one more port to the counter; returns it."""
        self.doors.append(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        return int(self.doors[-1].sockets[0].getsockname()[1])

    async def kill(self) -> list[int]:
        """Dies: all its ports refuse and all its counts are gone. Returns the doors, for `revive`."""
        ports = [int(door.sockets[0].getsockname()[1]) for door in self.doors]
        self.stop()
        self.doors.clear()
        self.lose()
        return ports

    async def revive(self, ports: list[int]) -> None:
        """Comes back empty, on the ports that it had."""
        await self.start()
        self.doors = [await asyncio.start_server(self._serve, "127.0.0.1", port) for port in ports]

    def stop(self) -> None:
        for server in (self.server, *self.doors):
            server.close()
        for writer in self.writers:
            writer.transport.abort()

    def lose(self) -> None:
        """Forgets every total, as a counter that was swapped for an empty one."""
        for half in (self.totals, self.second or {}):
            half.clear()

    def lose_share(self, share: float, seed: int) -> None:
        """Forgets this share of the names, drawn by lot."""
        lots = random.Random(seed)
        for half in (self.totals, self.second or {}):
            for name in sorted(half):
                if lots.random() < share:
                    del half[name]

    def split(self, beyond: set[int], copied: bool) -> None:
        """From now on these doors reach a second half, that has what the first has, or nothing."""
        self.second, self.beyond = dict(self.totals) if copied else {}, beyond

    def heal(self, keep_second: bool) -> None:
        """One counter again, with the totals of one of the halves."""
        if keep_second and self.second is not None:
            self.totals = self.second
        self.second, self.beyond = None, set()

    def add(self, name: str, amount: float, keep: float, now: float, totals: Totals | None = None) -> float:
        """Adds to a name and tells its total; a name that has outlived `keep` seconds begins at nought."""
        totals = self.totals if totals is None else totals
        total, end = totals.get(name, (0.0, now + keep))
        if now >= end:
            total, end = 0.0, now + keep
        totals[name] = total + amount, end
        return total + amount

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    port = writer.get_extra_info("sockname")[1]
                    half = self.second if self.second is not None and port in self.beyond else self.totals
                    said = self._answer(message.first, half)
                    if self.delay:
                        await asyncio.sleep(self.delay)
                    writer.write(said)
        finally:
            self.writers.discard(writer)
            writer.close()

    def _answer(self, first: bytes, totals: Totals) -> bytes:
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
        return answer(
            200, b"%.7g" % self.add(name, amount, keep / 1000, asyncio.get_running_loop().time(), totals)
        )
