"""Crowds of clients that keep to no limits, at one gateway's process, and what the process must stay within."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from scenes import cancel_other_tasks, play

from coralvale.standins.cluster import EDGE, KEY, LocalCluster, StandIn, configuration
from coralvale.standins.wire import Message, read_message

MEMORY_MB = 100  # of the machine: the bound on the resident memory of the process
MAX_DESCRIPTORS = 600  # of the machine: the bound on the open descriptors of the process
CROWD_S = 6.0  # for which a crowd stays
LOOKS = 12  # at the descriptors of the process, meanwhile
RETURN_S = 0.05  # before a client that was closed on comes again
ANSWER_S = 60.0  # for an ordinary request afterwards, with further tries


@dataclass(frozen=True)
class Kind:
    """What each client of a crowd sends to `port`, and how many clients there are."""

    name: str
    pieces: Callable[[], Iterator[bytes]]
    clients: int
    port: int = EDGE
    reads: bool = True


def head(first: str = "POST /schedule/book/1", **more: str) -> bytes:
    """A request's head without the empty line that ends it."""
    fields = {
        "Host": "demo.example",
        "X-Myrtlehatch-Request-Id": os.urandom(8).hex(),
        "X-Myrtlehatch-Time-Left": "60000",
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    lines = [f"{first} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n"


def in_chunks(size: int, chunk: int, at_once: int = 64 * 1024) -> Iterator[bytes]:
    """A body of `size` bytes in chunks of `chunk`, without its end, in pieces of `at_once` bytes or more."""
    one = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    group = max(1, at_once // len(one))
    for left in range(size // chunk, 0, -group):
        yield one * min(group, left)


def resident_peak(pid: int) -> int:
    """The most memory in bytes that was resident in a process so far."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM"))


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


class Gateway:
    """One gateway's process with small limits before two hosts."""

    def __init__(self, cluster: LocalCluster) -> None:
        self.cluster = cluster
        self.most_descriptors = 0

    @property
    def process(self) -> asyncio.subprocess.Process:
        return self.cluster.processes[0]

    async def play(self, kind: Kind) -> None:
        """Plays a crowd for CROWD_S: each client sends, holds its connection, and comes again once closed on."""
        tasks = [asyncio.create_task(self._client(kind)) for _ in range(kind.clients)]
        for _ in range(LOOKS):
            await asyncio.sleep(CROWD_S / LOOKS)
            self._look()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _client(self, kind: Kind) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._send_and_hold(kind)
            await asyncio.sleep(RETURN_S)

    async def _send_and_hold(self, kind: Kind) -> None:
        """Sends what a client of the kind sends, and returns once its connection has ended."""
        reader, writer = await asyncio.open_connection(self.cluster.ips[0], kind.port, limit=4096)
        try:
            if not kind.reads:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            for piece in kind.pieces():
                writer.write(piece)
                await writer.drain()
            if not kind.reads:
                await asyncio.Event().wait()
            while await reader.read(4096):
                pass
        finally:
            writer.transport.abort()

    def _look(self) -> None:
        if self.process.returncode is None:
            self.most_descriptors = max(self.most_descriptors, descriptors(self.process.pid))

    async def check(self) -> None:
        """The process lives within the limits of its machine, and answers ordinary requests."""
        assert self.process.returncode is None, "the process has ended"
        peak = resident_peak(self.process.pid)
        print(f"peak {peak / 1e6:.0f} MB, {self.most_descriptors} descriptors")
        assert peak <= MEMORY_MB * 1e6, f"{peak / 1e6:.0f} MB were resident, the machine has {MEMORY_MB}"
        assert self.most_descriptors <= MAX_DESCRIPTORS
        for method, path in (("GET", "/schedule/read/1"), ("POST", "/schedule/book/1")):
            await self.cluster.until(lambda method=method, path=path: self._served(method, path), ANSWER_S)  # type: ignore[misc]

    async def _served(self, method: str, path: str) -> bool:
        found = await self.cluster.request(0, path, method)
        return found is not None and found.status == 200


async def send_whole(ip: str, pieces: Iterator[bytes]) -> Message | None:
    """Sends a request and returns its answer, None if none comes."""
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection(ip, EDGE)
            try:
                with contextlib.suppress(OSError):  # an answer may come before all is sent
                    for piece in pieces:
                        writer.write(piece)
                        await writer.drain()
                return await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


def run_scene(
    scene: Callable[[Gateway], Awaitable[None]],
    memory_mb: int = MEMORY_MB,
    body_bytes: int = 1 << 20,
    host: type[StandIn] = StandIn,
    max_descriptors: int = MAX_DESCRIPTORS,
) -> None:
    """Plays a scene at a gateway's process of its own, with two hosts of a class."""

    broken = ""

    async def prepared(cluster: LocalCluster) -> None:
        nonlocal broken
        try:
            for _ in range(2):
                cluster.hosts.append(await host("schedule", cluster.ips[0], cluster.ips).start())
            first = configuration(1, ["schedule"], 0.0)
            first["Limits"]["BodyBytes"] = body_bytes
            for route in first["Routes"].values():
                route["TimeoutMs"] = 60_000
            found = await cluster.send("config.replace", first, 0)
            assert found and found.status == 200
            await cluster.until(lambda: cluster.ready(0))
            await scene(Gateway(cluster))
        except Exception as error:  # noqa: BLE001
            # Raised again once the loop has ended: its traceback would keep streams alive beyond the loop.
            broken = f"{type(error).__name__}: {error}"
            print(cluster.log(0)[-3000:])
        finally:
            await cancel_other_tasks()

    async def main() -> None:
        number = os.getpid() % 60000 + 1000
        cluster = LocalCluster(
            1,
            1,
            f"127.{number >> 8}.{number & 255}",
            memory_mb=memory_mb,
            max_descriptors=max_descriptors,
            budget=0,
        )
        await play(await cluster.start(), prepared)

    asyncio.run(main())
    gc.collect()
    assert not broken, broken
