"""Hosts, discovery and a counter on loopback sockets, and a gateway between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import uvloop

from coralvale import interface as api
from coralvale.net.config import parse_config
from coralvale.net.node import Node

LIMIT = 20.0  # s within which anything that is waited for must have happened

SETTINGS: dict[str, Any] = {
    "n_instances": 3,
    "me": 0,
    "locality": 1,
    "zones": ["north", "south"],
    "skus": ["small", "large"],
    "classes": [
        {"name": "read", "aim_s": 5.0, "give_up_s": 30.0, "worth": 3.0, "repeat": "free"},
        {"name": "write", "aim_s": 5.0, "give_up_s": 30.0, "worth": 2.0, "repeat": "single_shot"},
    ],
    "packages": [{"name": "team", "per_second": 1000.0, "most_at_once": 1000.0}],
    "ceilings": {
        "send_cap": 4,
        "connect_timeout_s": 5.0,
        "conn_idle_s": 60.0,
        "most_held": 100,
        "retry_after": True,
        "max_retry_after_s": 0.5,
        "may_cancel": True,
    },
    "family_info": {"may_count": True, "count_wait_s": 5.0, "use_period_s": 0.5, "most_units": 4},
    "rules": {
        "stop_sending_within_s": 10.0,
        "cold_from": 0.5,
        "ramp_time_s": 1.0,
        "fall_multiple": 2.0,
        "overload_for_s": 3.0,
    },
}


def settings(**changes: dict[str, Any]) -> dict[str, Any]:
    copy = json.loads(json.dumps(SETTINGS))
    for key, value in changes.items():
        copy[key] = {**copy[key], **value} if isinstance(value, dict) else value
    return copy


def run(test: Coroutine[Any, Any, None]) -> None:
    """Runs a test on the program's own event loop, and ends it if what it waits for never comes."""

    async def limited() -> None:
        async with asyncio.timeout(3 * LIMIT):
            await test

    uvloop.run(limited())


async def soon(awaitable: Awaitable[Any]) -> Any:
    return await asyncio.wait_for(awaitable, LIMIT)


async def until(condition: Callable[[], object]) -> None:
    """Waits for a condition that no event tells of, such as a count of connections."""
    async with asyncio.timeout(LIMIT):
        while not condition():
            await asyncio.sleep(0.002)


@dataclass
class Message:
    """An HTTP message as it came."""

    first: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split(b" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return Message(first, headers, body)


def answer(status: int = 200, body: bytes = b"ok", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Arrived:
    """A request at a fake host or counter, and the connection to answer it on."""

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
        return await soon(self.arrived.get())

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Registry(Peer):
    """Discovery: each watch is answered with a head, then with what the test tells."""

    async def watch(self) -> Arrived:
        watch = await self.next()
        watch.reply(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watch


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def line(index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> bytes:
    message = {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}
    return json.dumps(message).encode() + b"\n"


def entry(name: str, port: int, **more: Any) -> dict[str, Any]:
    fields = {"name": name, "address": f"127.0.0.1:{port}", "zone": "south", "type": "large", "group": 1}
    return {**fields, "status": "active", "weight": 1.0, "since_ms": 0, **more}


class Client:
    """A client connection of a gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def receive(self) -> Message:
        return await soon(read_message(self.reader))

    async def ask(self, data: bytes) -> Message:
        self.send(data)
        return await self.receive()

    async def at_end(self) -> bool:
        """Whether the gateway has ended the connection, with nothing more sent."""
        try:
            return await soon(self.reader.read()) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


def request(
    id: str = "r1", cls: str = "read", target: str = "/api", body: bytes = b"", **headers: str | None
) -> bytes:
    """A request in PROTOCOL's form; a header given as None is left out."""
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
    method = "GET" if cls == "read" else "POST"
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items() if v is not None)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Script:
    """In the module's place: records the events and answers each as the test has laid down."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.rules: dict[type, Callable[[Any], list[api.Action]]] = {}

    def on(self, kind: type, rule: Callable[[Any], list[api.Action]]) -> None:
        self.rules[kind] = rule

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return self.rules.get(type(event), lambda _: [])(event)

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


@dataclass
class World:
    node: Node
    registry: Registry
    counter: Peer
    script: Script
    clients: list[Client] = field(default_factory=list)

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.node.server.port))
        self.clients.append(client)
        return client

    async def ask(self, data: bytes) -> Message:
        return await (await self.client()).ask(data)

    async def done(self, count: int = 1) -> api.AttemptDone:
        """The newest of `count` outcomes that the module has been told."""
        await until(lambda: len(self.script.of(api.AttemptDone)) >= count)
        return self.script.of(api.AttemptDone)[count - 1]


@contextlib.asynccontextmanager
async def world(
    *known: dict[str, Any], real: bool = False, sockets: int = 256, **changes: dict[str, Any]
) -> AsyncIterator[World]:
    """A gateway that has started; unless `real`, a script decides in the module's place."""
    registry, counter = Registry(), Peer()
    await registry.start()
    await counter.start()
    config = parse_config(
        {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{registry.port}",
            "counter": f"127.0.0.1:{counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets},
            "known": {"index": 41, "snapshot": True, "endpoints": list(known)},
            "settings": settings(**changes),
        }
    )
    node, script = Node(config), Script()
    if not real:
        node.gateway = script  # type: ignore[assignment]
    node.start()
    result = World(node, registry, counter, script)
    try:
        yield result
    finally:
        for client in result.clients:
            client.close()
        node.close()
        registry.stop()
        counter.stop()
