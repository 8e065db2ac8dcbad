"""The HTTP server for calls of hosts, operators and applications, and for the readiness check."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Coroutine
from typing import Annotated, Any
from urllib.parse import parse_qs, unquote

import msgspec
from msgspec import Meta

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.configuration.model import MAX_VERSION
from coralvale.cluster.coordination.model import Call
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.events import Event, log_event
from coralvale.cluster.registry.register import Row, State
from coralvale.cluster.routing.router import RETRY_AFTER_S
from coralvale.cluster.server.connection_events import log_connection_end
from coralvale.cluster.server.coordination_api import READERS, read_call, read_number, read_watch
from coralvale.cluster.settings import parse_address
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.endings import ConnectionEnd, RequestInHand, WaitsFor
from coralvale.net.exchange import Exchange
from coralvale.net.memory import MemoryAccount
from coralvale.net.server import ClientLimits, Server

BASE_VERSION = b"x-myrtlehatch-base-version"
STATES = {"up": State.UP, "draining": State.DRAINING}
HOST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_READINESS_BODY_BYTES = 64 * 1024  # at the address for checks of readiness, which have none
MAX_CONNECTIONS = 512
GUARANTEED_SHARE = 1 / 32  # of the memory that clients may hold, that those of other servers cannot take
WATCH_PATH, NUMBERS_PATH = "/watch/", "/numbers/"
JSON_BODIES = {200, 412}  # statuses whose answers have a body that callers read


# Rows of hosts are sent on to all gateways: what has no place in a message must not come into the register.
HostText = Annotated[str, Meta(max_length=512)]
MAX_CALLS = (1 << 63) - 1
MAX_CAPACITY = (1 << 31) - 1


class HeartbeatBody(msgspec.Struct):
    """Body of a host's heartbeat, as PROTOCOL defines it."""

    Svc: HostText
    Address: HostText
    Az: HostText = ""
    Ver: HostText = ""
    Capacity: Annotated[int, Meta(ge=-MAX_CAPACITY, le=MAX_CAPACITY)] = 1
    State: HostText = "up"
    WarmupMs: float = 0.0
    Calls: Annotated[int, Meta(ge=-MAX_CALLS, le=MAX_CALLS)] = 0


_decode_heartbeat = msgspec.json.Decoder(HeartbeatBody).decode


def read_heartbeat(name: str, body: bytes) -> Row | Problem:
    """Parses the heartbeat of the host `name`. A state that is not known counts as draining."""
    if not HOST_ID_PATTERN.fullmatch(name):
        return Problem(Kind.BAD_REQUEST, "of: expected a host's id")
    try:
        beat = _decode_heartbeat(body)
        ip, port = parse_address(beat.Address)
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


def base_version(text: bytes) -> int | None:
    """The version that a change builds on; None if the header holds no version that there can be."""
    if not text.isdigit() or len(text) > len(str(MAX_VERSION)) or int(text) > MAX_VERSION:
        return None
    return int(text)


StatusAndBody = tuple[int, bytes]
Handler = Callable[[Exchange, str], Coroutine[Any, Any, StatusAndBody]]


class ControlBackend:
    """The operations behind the calls; `GatewayNode` implements them."""

    heartbeat: Callable[[Row], Awaitable[bool]]
    deregister: Callable[[str], Awaitable[bool]]
    change_configuration: Callable[[Change], Awaitable[StatusAndBody]]
    read_configuration: Callable[[], Awaitable[StatusAndBody]]
    coordinate: Callable[[Call], Awaitable[StatusAndBody]]
    is_ready: Callable[[], bool]
    status: Callable[[], bytes]
    history: Callable[[], StatusAndBody]


class Control:
    """Routes calls to the backend, and reports readiness to the server."""

    def __init__(self, backend: ControlBackend) -> None:
        self.backend = backend
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.handlers: dict[str, Handler] = {
            "instances.heartbeat": self._heartbeat,
            "instances.deregister": self._deregister,
            "config.replace": self._replace,
            "config.update": self._update,
            "config.read": self._read,
            "gateway.history": self._history,
            "gateway.status": self._status,
        }

    @property
    def ready(self) -> bool:
        return self.backend.is_ready()

    def handle(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("ControlServer does not call take()")

    def rejected(self, exchange: Exchange, status: int, why: str) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...

    def connection_ended(self, end: ConnectionEnd) -> None:
        log_connection_end("control", end)

    def describe(self, exchange: Exchange) -> RequestInHand:
        waits_for = WaitsFor.HANDLER if exchange.head is None else WaitsFor.EARLIER_ANSWER
        return RequestInHand(exchange.name, waits_for)

    def give_up(self, exchange: Exchange) -> None:
        """Answers a call in hand as the process ends: it may have taken effect, or may yet."""
        exchange.reply(504)

    def call(self, exchange: Exchange) -> None:
        """Handles one HTTP request, and answers it when its task is done."""
        path, _, query = exchange.target.decode("latin-1").partition("?")
        if path == "/readyz":
            exchange.reply(200 if self.ready else 503)
            return
        work = self._route(exchange, path, query)
        if work is None:
            exchange.reply(404)
            return
        task = self.loop.create_task(self._answer(exchange, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _route(self, exchange: Exchange, path: str, query: str) -> Coroutine[Any, Any, StatusAndBody] | None:
        """The coroutine that handles a call; None if there is no such call."""
        if exchange.method == b"GET" and path.startswith(WATCH_PATH):
            return self._coordinate(read_watch(unquote(path[len(WATCH_PATH) :]), query))
        if exchange.method != b"POST":
            return None
        if path.startswith(NUMBERS_PATH):
            return self._coordinate(read_number(unquote(path[len(NUMBERS_PATH) :])))
        if path != "/rpc":
            return None
        fields = parse_qs(query)
        name, of = fields.get("call", [""])[0], fields.get("of", [""])[0]
        if name in READERS:
            return self._coordinate(read_call(name, of, exchange.body))
        handler = self.handlers.get(name)
        return handler(exchange, of) if handler else None

    async def _answer(self, exchange: Exchange, work: Coroutine[Any, Any, StatusAndBody]) -> None:
        try:
            status, body = await work
        except Exception as error:  # noqa: BLE001 - whatever it is, the caller must not wait for its own time-out
            log_event(Event.FAILED, reason=f"{exchange.target[:80].decode('latin-1')}: {error!r}")
            status, body = 500, b"the call failed here"
        headers = [(b"Content-Type", b"application/json")] if status in JSON_BODIES else None
        exchange.reply(status, body, headers)

    async def _coordinate(self, call: Call | Problem) -> StatusAndBody:
        if isinstance(call, Problem):
            return call.status, call.reason.encode()
        return await self.backend.coordinate(call)

    async def _heartbeat(self, exchange: Exchange, of: str) -> StatusAndBody:
        row = read_heartbeat(of, exchange.body)
        if isinstance(row, Problem):
            return row.status, row.reason.encode()
        return (200, b"{}") if await self.backend.heartbeat(row) else (503, b"")

    async def _deregister(self, exchange: Exchange, of: str) -> StatusAndBody:
        return (200, b"{}") if await self.backend.deregister(of) else (503, b"")

    async def _replace(self, exchange: Exchange, of: str) -> StatusAndBody:
        return await self._change(exchange, whole=True)

    async def _update(self, exchange: Exchange, of: str) -> StatusAndBody:
        return await self._change(exchange, whole=False)

    async def _change(self, exchange: Exchange, whole: bool) -> StatusAndBody:
        base = base_version(exchange.fields.get(BASE_VERSION, b"").strip())
        if base is None:
            return 400, b"X-Myrtlehatch-Base-Version: expected a whole number"
        return await self.backend.change_configuration(Change(base, whole, exchange.body))

    async def _read(self, exchange: Exchange, of: str) -> StatusAndBody:
        return await self.backend.read_configuration()

    async def _history(self, exchange: Exchange, of: str) -> StatusAndBody:
        return self.backend.history()

    async def _status(self, exchange: Exchange, of: str) -> StatusAndBody:
        return 200, self.backend.status()


class ControlServer(Server):
    """Accepts connections of hosts, operators and applications and passes their requests to a `Control`."""

    looked_up_headers = frozenset((BASE_VERSION, b"x-request-id"))
    single_value_headers = {BASE_VERSION, b"content-length", b"transfer-encoding"}

    def __init__(
        self,
        address: Address,
        control: Control,
        clock: Clock,
        max_connections: int = MAX_CONNECTIONS,
        memory: MemoryAccount | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        memory = memory or MemoryAccount(2 * MAX_BODY_BYTES)
        super().__init__(
            address,
            None,
            control,
            max_connections,
            64,
            memory=memory,
            guaranteed_bytes=int(memory.limit * GUARANTEED_SHARE),
            memory_rank=1,
            clock=clock,
        )
        self.max_advice = RETRY_AFTER_S
        self.control = control
        self.limits = ClientLimits(max_body_bytes=max_body_bytes, head_timeout=5.0, idle_timeout=30.0)

    def handle_request(self, exchange: Exchange) -> None:
        if self.refusing:
            exchange.reply(503)
            return
        self.control.call(exchange)
