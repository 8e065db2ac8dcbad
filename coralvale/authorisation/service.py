"""Asks authorisers over gRPC, beside a gateway's node. It decides nothing: see `checks`."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import grpc
from envoy.service.auth.v3 import external_auth_pb2_grpc

from coralvale import interface as api
from coralvale.authorisation.checks import Checks, Key, Rule
from coralvale.authorisation.wire import check_request, ruling
from coralvale.net.clock import Clock
from coralvale.net.exchange import Exchange
from coralvale.net.node import AuthorisationResult
from coralvale.net.parsed_request import ParsedRequest
from coralvale.operator.model import Authoriser, OperatorError

log = logging.getLogger(__name__)
MESSAGE = 256 * 1024  # bytes of an answer; a larger one is none
LINGER = 60.0  # s that the checks of a moved authoriser have to end
OPTIONS = (
    ("grpc.max_receive_message_length", MESSAGE),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 5_000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),  # a check is one call: what is asked twice would be counted twice
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 2_000),
)


def rules(tables: Sequence[Authoriser], settings: api.Settings) -> list[Rule]:
    """The rules of the operator's file in the settings' numbers. Raises OperatorError that names the key."""
    plans = {plan.name: number for number, plan in enumerate(settings.plans)}
    classes = {cls.name: number for number, cls in enumerate(settings.classes)}
    safe = frozenset(n for n, cls in enumerate(settings.classes) if cls.repeat is api.Repeat.SAFE)

    def numbers(path: str, names: Sequence[str], known: dict[str, int]) -> frozenset[int]:
        for name in names:
            if name not in known:
                raise OperatorError(f"{path}: {name!r} is not in the settings; they have {', '.join(known)}")
        return frozenset(known[name] for name in names)

    made = []
    for number, table in enumerate(tables):
        path = f"authorisation[{number}]"
        of = numbers(f"{path}.classes", table.classes, classes)
        allows = (of or frozenset(classes.values())) if table.without_answer == "allow" else frozenset[int]()
        if of and allows - safe:
            raise OperatorError(
                f"{path}.without_answer: allow, but not all of classes are safe to repeat; expected refuse"
            )
        made.append(
            Rule(
                table.name,
                numbers(f"{path}.plans", table.plans, plans),
                frozenset(int(station, 16) for station in table.stations),
                of,
                allows & safe,
                table.most_out,
                table.cache_entries,
                table.cache_s,
            )
        )
    return made


@dataclass
class Line:
    """One authoriser: its table, what is decided for it, and its connection."""

    table: Authoriser
    checks: Checks[AuthorisationResult]
    channel: Any
    stub: Any = field(init=False)

    def __post_init__(self) -> None:
        self.stub = external_auth_pb2_grpc.AuthorizationStub(self.channel)


def connect(table: Authoriser) -> Any:  # noqa: ANN401
    """A channel to an authoriser. Raises OperatorError if a file of its TLS cannot be read."""
    if table.tls is None:
        return grpc.aio.insecure_channel(table.target, options=OPTIONS)
    try:
        read = [
            Path(p).read_bytes() if p else None for p in (table.tls.ca, table.tls.key, table.tls.certificate)
        ]
    except OSError as error:
        raise OperatorError(f"authorisation: {table.name}: {error.filename}: {error.strerror}") from None
    return grpc.aio.secure_channel(table.target, grpc.ssl_channel_credentials(*read), options=OPTIONS)


class Authorisers:
    """The `RequestAuthoriser` of a node. Raises OperatorError for tables that do not go with the settings."""

    def __init__(self, tables: Sequence[Authoriser], settings: api.Settings, clock: Clock, seed: int) -> None:
        self.settings, self.clock, self.seed = settings, clock, seed
        self.lines: list[Line] = []
        self.tasks: dict[str, tuple[asyncio.Task[None], Line]] = {}  # by request
        self.closing: set[asyncio.Task[None]] = set()
        self.reload(tables)

    def reload(self, tables: Sequence[Authoriser]) -> None:
        """Takes other tables. An authoriser that stays as it was keeps its connection, cache and breaker; checks
        that are out at one that has moved are answered by where it was."""
        new = rules(tables, self.settings)
        before = {line.table.name: line for line in self.lines}
        made = []
        for table, rule in zip(tables, new, strict=True):
            if (line := before.get(table.name)) and line.table == table:
                del before[table.name]
                made.append(line)
                continue
            made.append(
                Line(table, Checks(rule, self.seed ^ zlib.crc32(table.name.encode())), connect(table))
            )
            if line:
                log.info("authoriser %s is now at %s", table.name, table.target)
        self.lines = made
        for line in before.values():
            self._retire(line)

    def _retire(self, line: Line) -> None:
        task = asyncio.get_running_loop().create_task(line.channel.close(LINGER))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    def needs(self, arrival: ParsedRequest) -> bool:
        return self._line(arrival) is not None

    def _line(self, arrival: ParsedRequest) -> Line | None:
        for line in self.lines:
            if line.checks.rule.matches(arrival.plan, arrival.customer, arrival.cls):
                return line
        return None

    def ask(
        self,
        arrival: ParsedRequest,
        exchange: Exchange,
        left: float,
        done: Callable[[AuthorisationResult], None],
    ) -> None:
        loop, line, now = asyncio.get_running_loop(), self._line(arrival), self.clock.now()
        if line is None:  # a reload has taken its authoriser away while it waited for its quota
            loop.call_soon(
                done, AuthorisationResult(api.Verdict.NO_ANSWER, "no authoriser is named for it any more")
            )
            return
        key = self._key(line, arrival, exchange)
        if (kept := line.checks.cached(now, key)) is not None:
            loop.call_soon(done, kept)
            return
        if why := line.checks.begin(now, arrival.id):
            loop.call_soon(done, self._without(line, arrival, why))
            return
        time_out = min(left, line.table.timeout_ms / 1000)
        task = loop.create_task(self._ask(line, arrival, exchange, key, time_out, done))
        self.tasks[arrival.id] = task, line

    @staticmethod
    def _key(line: Line, arrival: ParsedRequest, exchange: Exchange) -> Key | None:
        listener = exchange.field(line.table.listener_header.lower().encode())
        if not line.table.cache_entries or listener is None:
            return None
        return arrival.customer, arrival.cls, listener

    async def _ask(
        self,
        line: Line,
        arrival: ParsedRequest,
        exchange: Exchange,
        key: Key | None,
        time_out: float,
        done: Callable[[AuthorisationResult], None],
    ) -> None:
        checks, cls = line.checks, self.settings.classes[arrival.cls].name
        plan, station = arrival.plan_name, f"{arrival.customer:016x}"
        try:
            request = check_request(arrival, exchange, station, plan, cls)
            # The time-out is kept here as well: an authoriser's deadline is the gateway's clock, not gRPC's.
            async with asyncio.timeout(time_out):
                response = await line.stub.Check(request, timeout=time_out)
            told, dropped = ruling(response)
        except (grpc.RpcError, TimeoutError) as error:
            why = error.code().name if isinstance(error, grpc.aio.AioRpcError) else "no answer in time"
            self._ended(arrival, lambda now: checks.failed(now, arrival.id, why))
            done(self._without(line, arrival, why))
            return
        except Exception:
            log.exception("authoriser %s: a check failed", line.table.name)
            self._ended(arrival, lambda now: checks.failed(now, arrival.id, "an answer that cannot be read"))
            done(self._without(line, arrival, "an answer that cannot be read"))
            return
        if dropped:
            log.warning("authoriser %s: %d headers left out", line.table.name, dropped)
        self._ended(arrival, lambda now: checks.answered(now, arrival.id, key, told))
        done(told)

    def _ended(self, arrival: ParsedRequest, tell: Callable[[float], None]) -> None:
        known = self.tasks.get(arrival.id)
        if (
            known is None or known[0] is not asyncio.current_task()
        ):  # it was left; gRPC may not let go at once
            return
        del self.tasks[arrival.id]
        line = known[1]
        tell(self.clock.now())
        for text in line.checks.lines:
            log.warning("%s", text)
        line.checks.lines.clear()

    @staticmethod
    def _without(line: Line, arrival: ParsedRequest, why: str) -> AuthorisationResult:
        return AuthorisationResult(line.checks.without(arrival.cls), why)

    def cancel(self, request: str) -> None:
        if known := self.tasks.pop(request, None):
            task, line = known
            line.checks.left(request)
            task.cancel()

    def close(self) -> None:
        for task, _ in self.tasks.values():
            task.cancel()
        for line in self.lines:
            self._retire(line)
