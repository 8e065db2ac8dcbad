"""The server for hosts, the operator and applications, and the one that says whether this gateway is ready."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.coordination.model import Call
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.registry.register import Row, State
from coralvale.cluster.server.coordination_api import READERS, read_call, read_number, read_watch
from coralvale.cluster.settings import address
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.server import ClientLimits, Exchange, Server

BASE = b"x-myrtlehatch-base-version"
STATES = {"up": State.UP, "draining": State.DRAINING}
WORD = re.compile(r"[!-~]{1,128}")
MOST_BODY = 64 * 1024 * 1024
MOST = 512  # connections
WATCH, NUMBERS = "/watch/", "/numbers/"
JSON_BODIES = {200, 412}  # statuses whose answers have a body that callers read


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
Handler = Callable[[Exchange, str], Coroutine[Any, Any, Answered]]


class Desk:
    """What the calls ask for; the node carries it out."""

    beat: Callable[[Row], Awaitable[bool]]
    leave: Callable[[str], Awaitable[bool]]
    change: Callable[[Change], Awaitable[Answered]]
    read: Callable[[], Awaitable[Answered]]
    coordinate: Callable[[Call], Awaitable[Answered]]
    is_ready: Callable[[], bool]
    status: Callable[[], bytes]
    history: Callable[[], Answered]


class Control:
    """Takes the calls; it is also what the server asks for readiness."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.handlers: dict[str, Handler] = {
            "instances.heartbeat": self._beat,
            "instances.deregister": self._leave,
            "config.replace": self._replace,
            "config.update": self._update,
            "config.read": self._read,
            "gateway.history": self._history,
            "gateway.status": self._status,
        }

    @property
    def ready(self) -> bool:
        return self.desk.is_ready()

    def handle(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("the platform's own requests do not come here")

    def rejected(self, exchange: Exchange, status: int, why: str) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...

    def call(self, exchange: Exchange) -> None:
        path, _, query = exchange.target.decode("latin-1").partition("?")
        if path == "/readyz":
            exchange.reply(200 if self.ready else 503)
            return
        work = self._work(exchange, path, query)
        if work is None:
            exchange.reply(404)
            return
        task = self.loop.create_task(self._answer(exchange, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _work(self, exchange: Exchange, path: str, query: str) -> Coroutine[Any, Any, Answered] | None:
        """What carries a call out; None where there is no such call."""
        if exchange.method == b"GET" and path.startswith(WATCH):
            return self._coordinate(read_watch(unquote(path[len(WATCH) :]), query))
        if exchange.method != b"POST":
            return None
        if path.startswith(NUMBERS):
            return self._coordinate(read_number(unquote(path[len(NUMBERS) :])))
        if path != "/rpc":
            return None
        fields = parse_qs(query)
        name, of = fields.get("call", [""])[0], fields.get("of", [""])[0]
        if name in READERS:
            return self._coordinate(read_call(name, of, exchange.body))
        handler = self.handlers.get(name)
        return handler(exchange, of) if handler else None

    async def _answer(self, exchange: Exchange, work: Coroutine[Any, Any, Answered]) -> None:
        status, body = await work
        headers = [(b"Content-Type", b"application/json")] if status in JSON_BODIES else None
        exchange.reply(status, body, headers)

    async def _coordinate(self, call: Call | Problem) -> Answered:
        if isinstance(call, Problem):
            return call.status, call.reason.encode()
        return await self.desk.coordinate(call)

    async def _beat(self, exchange: Exchange, of: str) -> Answered:
        row = read_beat(of, exchange.body)
        if isinstance(row, Problem):
            return row.status, row.reason.encode()
        return (200, b"{}") if await self.desk.beat(row) else (503, b"")

    async def _leave(self, exchange: Exchange, of: str) -> Answered:
        return (200, b"{}") if await self.desk.leave(of) else (503, b"")

    async def _replace(self, exchange: Exchange, of: str) -> Answered:
        return await self._change(exchange, whole=True)

    async def _update(self, exchange: Exchange, of: str) -> Answered:
        return await self._change(exchange, whole=False)

    async def _change(self, exchange: Exchange, whole: bool) -> Answered:
        base = exchange.fields.get(BASE, b"").strip()
        if not base.isdigit() or len(base) >= 19:
            return 400, b"X-Myrtlehatch-Base-Version: expected a whole number"
        return await self.desk.change(Change(int(base), whole, exchange.body))

    async def _read(self, exchange: Exchange, of: str) -> Answered:
        return await self.desk.read()

    async def _history(self, exchange: Exchange, of: str) -> Answered:
        return self.desk.history()

    async def _status(self, exchange: Exchange, of: str) -> Answered:
        return 200, self.desk.status()


class ControlServer(Server):
    single_value_headers = {BASE, b"content-length", b"transfer-encoding"}

    def __init__(self, at: Address, control: Control, clock: Clock, most: int = MOST) -> None:
        super().__init__(at, None, control, most, 64, max_total_body_bytes=2 * MOST_BODY, clock=clock)
        self.control = control
        self.limits = ClientLimits(max_body_bytes=MOST_BODY, head_timeout=5.0, idle_timeout=30.0)

    def handle_request(self, exchange: Exchange) -> None:
        self.control.call(exchange)
