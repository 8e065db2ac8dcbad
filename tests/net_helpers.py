"""A gateway on loopback between stand-ins: settings, start and stop, and a scripted decision module."""

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
from coralvale.standins.clients import Client, request
from coralvale.standins.discovery import Registry, entry, line
from coralvale.standins.peer import LIMIT, Arrived, Peer
from coralvale.standins.wire import Message, answer, chunk

__all__ = [
    "LIMIT", "SETTINGS", "Arrived", "Client", "Message", "Peer", "Registry", "Script", "World", "answer",
    "chunk", "entry", "line", "request", "run", "settings", "soon", "until", "world",
]  # fmt: skip

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
    """A copy of SETTINGS; dicts in `changes` are merged, other values replace."""
    copy = json.loads(json.dumps(SETTINGS))
    for key, value in changes.items():
        copy[key] = {**copy[key], **value} if isinstance(value, dict) else value
    return copy


def run(test: Coroutine[Any, Any, None], limit: float = 3 * LIMIT) -> None:
    """Runs a test on uvloop, as the program does, with a time limit of `limit` seconds."""

    async def limited() -> None:
        async with asyncio.timeout(limit):
            await test

    uvloop.run(limited())


async def soon(awaitable: Awaitable[Any]) -> Any:
    """Awaits with a time limit of LIMIT seconds."""
    return await asyncio.wait_for(awaitable, LIMIT)


async def until(condition: Callable[[], object]) -> None:
    """Polls a condition that has no event, such as a count of connections, for LIMIT seconds at most."""
    async with asyncio.timeout(LIMIT):
        while not condition():
            await asyncio.sleep(0.002)


class Script:
    """Replaces the decision module: records its events and returns the actions that the test has set."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.rules: dict[type, Callable[[Any], list[api.Action]]] = {}

    def on(self, kind: type, rule: Callable[[Any], list[api.Action]]) -> None:
        """Sets what returns the actions for events of a type."""
        self.rules[kind] = rule

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return self.rules.get(type(event), lambda _: [])(event)

    def of(self, kind: type) -> list[Any]:
        """The recorded events of a type."""
        return [event for event in self.events if isinstance(event, kind)]


@dataclass
class World:
    """A running gateway with its stand-ins, its script and the clients that tests have opened."""

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
        """Waits until the module has got `count` outcomes; returns the last of these."""
        await until(lambda: len(self.script.of(api.AttemptDone)) >= count)
        return self.script.of(api.AttemptDone)[count - 1]


@contextlib.asynccontextmanager
async def world(
    *known: dict[str, Any], real: bool = False, sockets: int = 256, **changes: dict[str, Any]
) -> AsyncIterator[World]:
    """A started gateway; unless `real`, a script replaces the decision module."""
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
    node.started_at -= 60.0  # so that requests count as sent after the start-up
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
