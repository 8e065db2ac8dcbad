"""Clients of a gateway: a connection that a test drives by hand, and requests in the protocol's form."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from coralvale.standins.peer import LIMIT
from coralvale.standins.wire import Message, read_message

LONGEST = 60.0  # s that a load lasts


class Client:
    """A client connection of a gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def receive(self) -> Message:
        return await asyncio.wait_for(read_message(self.reader), LIMIT)

    async def ask(self, data: bytes) -> Message:
        self.send(data)
        return await self.receive()

    async def at_end(self) -> bool:
        """Whether the gateway has ended the connection, with nothing more sent."""
        try:
            return await asyncio.wait_for(self.reader.read(), LIMIT) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


def request(
    id: str = "r1",
    cls: str = "read",
    target: str = "/api",
    body: bytes = b"",
    method: str = "",
    **headers: str | None,
) -> bytes:
    """A request in the protocol's form; a header given as None is left out, GET is for the class `read`."""
    fields: dict[str, str | None] = {
        "Host": "service.internal",
        "X-Request-ID": id,
        "X-Priority-Class": cls,
        "Plan": "team",
        "Cookie": "client=00000000b4d65521",
        "X-Timeout": "30",
        "Quota-Info": "units=1,spread=2,first=1",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body:
        fields["Content-Length"] = str(len(body))
    method = method or ("GET" if cls == "read" else "POST")
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items() if v is not None)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Tallies:
    """What clients asked and saw: each request's Unix time and gateway by station; answers by station and by what
    they mean, and how long each took, in seconds."""

    answers: dict[str, Counter[str]] = field(default_factory=dict)
    delays: list[float] = field(default_factory=list)
    asked: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

    def note(self, station: str, meaning: str, delay: float) -> None:
        self.answers.setdefault(station, Counter())[meaning] += 1
        self.delays.append(delay)

    def total(self, meaning: str) -> int:
        return sum(counts[meaning] for counts in self.answers.values())


@dataclass(frozen=True)
class Station:
    """A customer that asks `rate` times a second, each request for one unit."""

    name: str
    number: int
    plan: str
    rate: float


def meaning(status: int) -> str:
    """What an answer tells a client, by the protocol's table."""
    return "served" if status == 200 else "refused" if status in (429, 503) else "failed"


async def load(
    station: Station,
    ports: Sequence[int],
    seconds: float,
    tallies: Tallies,
    classes: tuple[str, ...],
    seed: int = 0,
    weights: Sequence[float] | None = None,
    enough: Callable[[], bool] = lambda: True,
) -> None:
    """Sends a station's requests on kept connections for some seconds, and notes every answer.

    `ports` are the gateways of its set, from number 0 on; each gets its part by `weights`, by default the same.
    On a machine that is too busy for the rate it goes on until there was `enough`, for `LONGEST` at most.
    """
    lots, kept = random.Random(f"{seed}/{station.name}"), {port: list[Client]() for port in ports}
    begin, sending, serial = time.monotonic(), set[asyncio.Task[None]](), 0
    asked = tallies.asked.setdefault(station.name, [])

    async def one(name: str, cls: str, port: int) -> None:
        begun, idle = time.monotonic(), kept[port]
        asked.append((time.time(), port))
        try:
            client = idle.pop() if idle else Client(*await asyncio.open_connection("127.0.0.1", port))
            fields = {"Plan": station.plan, "Cookie": f"client={station.number:016x}"}
            fields |= {"Quota_Info": f"units=1,spread={len(ports)},first=0", "X_Timeout": "4.000"}
            body = b"" if cls == classes[0] else b"a bookmark"
            said = await client.ask(request(name, cls, body=body, method="POST" if body else "GET", **fields))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            tallies.note(station.name, "lost", time.monotonic() - begun)
            return
        tallies.note(station.name, meaning(said.status), time.monotonic() - begun)
        if said.headers.get(b"connection") != b"close":
            idle.append(client)
        else:
            client.close()

    while (lasted := time.monotonic() - begin) < seconds or (lasted < LONGEST and not enough()):
        serial += 1
        port = lots.choices(ports, weights)[0]
        task = asyncio.create_task(one(f"{station.number:x}-{seed}-{serial}", lots.choice(classes), port))
        sending.add(task)
        task.add_done_callback(sending.discard)
        await asyncio.sleep(lots.expovariate(station.rate))
    await asyncio.gather(*sending)
    for client in [client for idle in kept.values() for client in idle]:
        client.close()
