"""Authorization/Check and the access log stream on a gRPC server. It decides nothing: see `answers`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from typing import Any

from envoy.service.accesslog.v3 import als_pb2, als_pb2_grpc
from envoy.service.auth.v3 import external_auth_pb2_grpc

from coralvale import interface as api
from coralvale.authorisation.answers import Answers, Mistaken, Out, Refused
from coralvale.authorisation.asked import read_check, read_end, write_answer
from coralvale.net.clock import Clock
from coralvale.net.parsed_request import BadRequest, NameIndex

log = logging.getLogger(__name__)
ROOM = 0.01  # s before a caller's deadline in which its answer is written
SERVICES = ("envoy.service.auth.v3.Authorization", "envoy.service.accesslog.v3.AccessLogService")
Context = Any  # grpc.aio.ServicerContext, which has no types of its own


class Answering:
    """Answers checks; `count` makes a call to the counter, whose reply comes by `counted`."""

    def __init__(self, answers: Answers, clock: Clock, count: Callable[[api.Count], None]) -> None:
        self.answers, self.clock, self.count = answers, clock, count
        self.names = NameIndex(answers.settings)
        self.waiting: dict[str, asyncio.Future[Out]] = {}
        self.unread = 0  # log entries that name no request, or cannot be read

    def add(self, server: Any) -> None:  # noqa: ANN401
        """Adds both services to a grpc.aio server."""
        external_auth_pb2_grpc.add_AuthorizationServicer_to_server(self, server)
        als_pb2_grpc.add_AccessLogServiceServicer_to_server(self, server)

    # Checks

    async def Check(self, request: Any, context: Context) -> Any:  # noqa: ANN401, N802
        """One answer to each check, before its caller's deadline."""
        try:
            return write_answer(await self._decide(request, context.time_remaining()))
        except BadRequest as error:
            return write_answer(Mistaken("", str(error)))
        except Exception:  # whatever fails, the caller has its answer
            log.exception("a check failed")
            return write_answer(Refused("", self.answers.settings.max_advice))

    async def _decide(self, message: Any, remaining: float | None) -> Out:  # noqa: ANN401
        arrival, now = read_check(message, self.names), self.clock.now()
        settings = self.answers.settings
        patience = min(arrival.timeout, settings.classes[arrival.cls].give_up)
        told = api.Request(
            arrival.id, arrival.cls, arrival.plan, arrival.customer, arrival.entry_gateways, now + patience,
            arrival.units, arrival.first_gateway,
        )  # fmt: skip
        if remaining is not None and remaining <= ROOM:
            return Refused(arrival.id, settings.max_advice)
        outs = self.answers.check(now, told)
        if answer := next((o for o in outs if not isinstance(o, (api.Count, api.Log))), None):
            self.carry_out([o for o in outs if o is not answer])
            return answer
        future: asyncio.Future[Out] = asyncio.get_running_loop().create_future()
        self.waiting[arrival.id] = future
        self.carry_out(outs)
        limit = min(patience, (remaining or patience) - ROOM)
        try:
            async with asyncio.timeout(limit):
                return await future
        except TimeoutError:
            return Refused(arrival.id, settings.max_advice)
        finally:
            del self.waiting[arrival.id]
            if future.cancelled():  # out of time, or the caller has gone
                self.carry_out(self.answers.left(self.clock.now(), arrival.id))

    def carry_out(self, outs: list[Out]) -> None:
        for out in outs:
            if isinstance(out, api.Count):
                self.count(out)
            elif isinstance(out, api.Log):
                log.info("%s", out.text)
            elif (future := self.waiting.get(out.request)) and not future.done():
                future.set_result(out)

    def counted(self, reply: api.CounterReply) -> None:
        self.carry_out(self.answers.counted(self.clock.now(), reply))

    def listed(self, event: api.ServerList) -> None:
        self.carry_out(self.answers.listed(self.clock.now(), event))

    def tick(self) -> None:
        self.carry_out(self.answers.tick(self.clock.now()))

    # The access log

    async def StreamAccessLogs(self, requests: AsyncIterator[Any], context: Context) -> Any:  # noqa: ANN401, N802
        """Ends of requests, as proxies log them. A stream that stops costs what it would have told, no more."""
        async for message in requests:
            for entry in message.http_logs.log_entry:
                try:
                    name, outcome, delay, usage = read_end(entry)
                except (ValueError, OverflowError):
                    name = ""
                if name:
                    self.carry_out(self.answers.ended(self.clock.now(), name, outcome, delay, usage))
                else:
                    self.unread += 1
        return als_pb2.StreamAccessLogsResponse()
