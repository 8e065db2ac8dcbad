"""The gate for hosts and the operator, and the one that says whether this gateway is ready."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.registry.register import Row, State
from coralvale.cluster.settings import address
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.server import Bounds, Exchange, Server

BASE = b"x-myrtlehatch-base-version"
STATES = {"up": State.UP, "draining": State.DRAINING}
WORD = re.compile(r"[!-~]{1,128}")
MOST_BODY = 64 * 1024 * 1024
MOST = 512  # connections


class Beat(msgspec.Struct):
    """A host's call, as PROTOCOL has it."""

    Svc: str
    Address: str
    Az: str = ""
    Ver: str = ""
    Capacity: int = 1
    State: str = "up"
    WarmupMs: float = 0.0
    Calls: int = 0


_beat = msgspec.json.Decoder(Beat).decode


def read_beat(name: str, body: bytes) -> Row | Problem:
    if not WORD.fullmatch(name):
        return Problem(Kind.BAD_REQUEST, "of: expected a host's id")
    try:
        beat = _beat(body)
        ip, port = address(beat.Address)
    except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
        return Problem(Kind.BAD_REQUEST, str(error))
    state = STATES.get(beat.State, State.DRAINING)
    return Row(
        name,
        beat.Svc,
        ip,
        port,
        beat.Az,
        beat.Ver,
        max(1, beat.Capacity),
        int(state),
        max(0.0, beat.WarmupMs),
        beat.Calls,
    )


Answered = tuple[int, bytes]


class Desk:
    """What the calls ask for; the node carries it out."""

    beat: Callable[[Row], Awaitable[bool]]
    leave: Callable[[str], Awaitable[bool]]
    change: Callable[[Change], Awaitable[Answered]]
    read: Callable[[], Awaitable[Answered]]
    is_ready: Callable[[], bool]
    status: Callable[[], bytes]
    history: Callable[[], Answered]


class Control:
    """Takes the calls; it is also what the server asks for readiness."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    @property
    def ready(self) -> bool:
        return self.desk.is_ready()

    def take(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("the platform's own requests do not come here")

    def turned_away(self, exchange: Exchange, status: int, why: str) -> None: ...

    def client_left(self, exchange: Exchange) -> None: ...

    def call(self, exchange: Exchange) -> None:
        path, _, query = exchange.target.partition(b"?")
        if path == b"/readyz":
            exchange.reply(200 if self.ready else 503)
            return
        if path != b"/rpc" or exchange.method != b"POST":
            exchange.reply(404)
            return
        names = parse_qs(query.decode("latin-1"))
        name, of = names.get("call", [""])[0], names.get("of", [""])[0]
        task = self.loop.create_task(self._carry_out(exchange, name, of))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _carry_out(self, exchange: Exchange, name: str, of: str) -> None:
        status, body = 404, b""
        if name == "instances.heartbeat":
            row = read_beat(of, exchange.body)
            if isinstance(row, Problem):
                status, body = row.status, row.reason.encode()
            else:
                status, body = (200, b"{}") if await self.desk.beat(row) else (503, b"")
        elif name == "instances.deregister":
            status, body = (200, b"{}") if await self.desk.leave(of) else (503, b"")
        elif name in ("config.replace", "config.update"):
            base = exchange.fields.get(BASE, b"").strip()
            if base.isdigit() and len(base) < 19:
                status, body = await self.desk.change(
                    Change(int(base), name == "config.replace", exchange.body)
                )
            else:
                status, body = 400, b"X-Myrtlehatch-Base-Version: expected a whole number"
        elif name == "config.read":
            status, body = await self.desk.read()
        elif name == "gateway.history":
            status, body = self.desk.history()
        elif name == "gateway.status":
            status, body = 200, self.desk.status()
        headers = [(b"Content-Type", b"application/json")] if status == 200 else None
        exchange.reply(status, body, headers)


class ControlServer(Server):
    once = {BASE, b"content-length", b"transfer-encoding"}

    def __init__(self, at: Address, control: Control, clock: Clock, most: int = MOST) -> None:
        super().__init__(at, None, control, most, 64, most_bodies=2 * MOST_BODY, clock=clock)
        self.control = control
        self.bounds = Bounds(body=MOST_BODY, partial=5.0, idle=30.0)

    def request(self, exchange: Exchange) -> None:
        self.control.call(exchange)
