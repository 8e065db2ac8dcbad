"""The clients' gate: reads requests, carries tries to hosts, writes answers. `routing` decides."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from functools import partial
from typing import Any

from coralvale.cluster.errors import Problem
from coralvale.cluster.events import Event, Told, tell
from coralvale.cluster.rate_limit.actions import Decided
from coralvale.cluster.routing.copies import Instance
from coralvale.cluster.routing.router import Job, Router
from coralvale.cluster.server.hosts import HostAnswer, HostAttempt, Hosts
from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.server import NOT_FORWARDED_HEADERS, Exchange, Server, connection_options
from coralvale.net.transport import Answer, Attempt, Outgoing, Source

ID, LEFT = b"x-myrtlehatch-request-id", b"x-myrtlehatch-time-left"
TENANT, WANT, AUTH = b"x-myrtlehatch-tenant", b"x-myrtlehatch-want-instance", b"authorization"
STRIPPED = NOT_FORWARDED_HEADERS | {LEFT, TENANT, WANT, AUTH}
NEVER = {ID, LEFT, TENANT, WANT, AUTH, b"host", b"content-length", b"transfer-encoding"}
BEARER = re.compile(rb"(?i)bearer +(\S+)")
WORD = re.compile(rb"[!-~]{1,128}")
NUMBER = re.compile(rb"\d{1,9}(\.\d*)?")
LONGEST = 600.0  # s that a request without a time of its own may take: the operator's time-out binds


class Request:
    """A client's request while it is in hand."""

    __slots__ = (
        "copy",
        "exchange",
        "headers",
        "job",
        "left",
        "number",
        "patience",
        "attempt",
        "timer",
        "sent_at",
        "done",
    )

    def __init__(self, exchange: Exchange, job: Job, headers: list[tuple[bytes, bytes]]) -> None:
        self.exchange, self.job, self.headers = exchange, job, headers
        self.attempt: HostAttempt | None = None
        self.copy: Instance | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.patience: asyncio.TimerHandle | None = None
        self.number = 0
        self.sent_at = 0.0
        self.left = self.done = False


class EdgeServer(Server):
    single_value_headers = {ID, LEFT, AUTH, b"host", b"content-length", b"transfer-encoding"}

    def __init__(self, address: Address, edge: Edge, most: int, bodies: int, clock: Clock) -> None:
        super().__init__(address, None, edge, most, 32, max_total_body_bytes=bodies, clock=clock)
        self.edge = edge

    def early_rejection_status(self, exchange: Exchange) -> int:
        router = self.edge.router
        if not router.home.routes:
            return 0
        host = exchange.fields.get(b"host", b"").decode("latin-1").partition(":")[0].lower()
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        problem = router.check_head(self.edge.clock.monotonic(), host, path)
        return problem.status if problem else 0

    def handle_request(self, exchange: Exchange) -> None:
        if exchange.connection.over_limit:
            exchange.close = True
            exchange.reply(503, retry_after=0.2)
            return
        self.edge.take_request(exchange)


class Edge:
    """What is in hand at this gateway."""

    ready = True

    def __init__(
        self,
        router: Router,
        hosts: Hosts,
        clock: Clock,
        carry_out_quotas: Callable[[], None] = lambda: None,
    ) -> None:
        """`carry_out_quotas`: sends what the rate limiter asks of other gateways, for requests that wait."""
        self.router, self.hosts, self.clock = router, hosts, clock
        self.carry_out_quotas = carry_out_quotas
        self.waiting: dict[Job, Request] = {}  # for a token of their tenant's quota
        self.loop = asyncio.get_running_loop()
        self.open: set[Request] = set()
        self.answers: dict[int, int] = {}

    # The protocol of the server

    def handle(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("the platform's own requests do not come here")

    def rejected(self, exchange: Exchange, status: int, why: str) -> None:
        self.answers[status] = self.answers.get(status, 0) + 1

    def client_disconnected(self, exchange: Exchange) -> None:
        request: Request | None = exchange.handler_state
        if request is None:
            return
        request.left = True
        # What may run once and was written runs to its end: its host would be broken off in the middle of it.
        # What was not written never is: its body is gone with the client.
        attempt = request.attempt
        being_written = attempt is not None and attempt.connection is not None
        if request.job.route.repeatable or not being_written:
            self._finish(request)
            if attempt and not attempt.ended:
                self.hosts.give_up(attempt, Outcome.CANCELLED)

    # In

    def take_request(self, exchange: Exchange) -> None:
        now, fields = self.clock.monotonic(), exchange.fields
        id_ = fields.get(ID, b"")
        left = fields.get(LEFT, b"")
        host = fields.get(b"host", b"")
        if not WORD.fullmatch(id_) or not host or (left and not NUMBER.fullmatch(left)):
            return exchange.reply_and_close(400, b"a request id, a host and the time left are needed\n")
        key = BEARER.fullmatch(fields.get(AUTH, b""))
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        job = self.router.admit(
            now,
            id_,
            host.decode("latin-1").partition(":")[0].lower(),
            path,
            key[1].decode("latin-1") if key else None,
            float(left) / 1000 if left else LONGEST,
        )
        if isinstance(job, Problem):
            if Told.requests:
                why = f": {job.kind.value}"
                tell(Event.ANSWERED, id=id_.decode(), status=job.status, ms=0.0, why=why)
            return self._say(exchange, job)
        drop = STRIPPED | (
            connection_options(fields[b"connection"]) - NEVER if b"connection" in fields else set()
        )
        headers = [(n, v) for n, v in exchange.headers if n.lower() not in drop]
        if job.tenant:
            headers.append((b"X-Myrtlehatch-Tenant", job.tenant.encode()))
        if Told.requests:
            tell(Event.TAKEN, id=id_.decode(), route=job.route_name, tenant=job.tenant or "nobody")
        request = exchange.handler_state = Request(exchange, job, headers)
        self.open.add(request)
        request.timer = self.loop.call_later(job.deadline - now, self._time_up, request)
        if job.waits_for_token:
            self.waiting[job] = request
            self.carry_out_quotas()
        else:
            self._try(request)
        return None

    def decided(self, decision: Decided) -> None:
        """What became of a request that waited for a token."""
        job = decision.ticket
        assert isinstance(job, Job)
        request = self.waiting.pop(job, None)
        problem = self.router.apply_verdict(job, decision.verdict)
        if request is None or request.done:
            self.router.refund(self.clock.monotonic(), job)
        elif problem:
            self._end(request, problem)
        else:
            self._try(request)

    def _say(self, exchange: Exchange, problem: Problem) -> None:
        status = problem.status
        self.answers[status] = self.answers.get(status, 0) + 1
        exchange.reply(status, retry_after=problem.retry_after if problem.promises else 0.0)

    # Tries

    def _try(self, request: Request) -> None:
        now, job = self.clock.monotonic(), request.job
        copy = self.router.pick(now, job)
        if isinstance(copy, Problem):
            return self._end(request, copy)
        row = copy.entry.row
        request.copy, request.number, request.sent_at = copy, job.tries, now
        if Told.requests:
            tell(Event.TRY, id=job.id.decode(), number=job.tries, host=row.id)
        attempt = request.attempt = HostAttempt(
            row.id,
            (row.ip, row.port),
            partial(self._payload, request, copy),
            partial(self._ended, request, copy, job.tries),
            partial(self._stream, request),
        )
        attempt.request = job.id.decode("latin-1")
        attempt.sent_at = now
        if request.patience:
            request.patience.cancel()
            request.patience = None
        if wait := self.router.silence_timeout(now, job):
            request.patience = self.loop.call_later(wait, self._impatient, request, attempt)
        self.hosts.send(attempt)
        return None

    def _payload(self, request: Request, copy: Instance) -> Outgoing | None:
        """Asked just before the write: the client may have left, or the host begun to leave."""
        now, job, exchange = self.clock.monotonic(), request.job, request.exchange
        if request.done or request.left or now >= job.deadline:
            return None
        if not self.router.instances.register.may_serve(copy.entry.id):
            return None
        if self.router.home.routes and self.router.home.refusal(now, job.route_name):
            return None  # what binds it changed while it waited for a connection
        left = int((job.deadline - now) * 1000)
        headers = [
            *request.headers,
            (b"X-Myrtlehatch-Time-Left", b"%d" % max(1, left)),
            (b"X-Myrtlehatch-Want-Instance", copy.entry.id.encode()),
        ]
        return Outgoing(exchange.method, exchange.target, headers, exchange.parts)

    def _impatient(self, request: Request, attempt: HostAttempt) -> None:
        if attempt.ended or request.attempt is not attempt or attempt.sink or not request.copy:
            return
        if self.router.is_silent(self.clock.monotonic(), request.copy, request.sent_at):
            self.hosts.give_up(attempt, Outcome.TIMEOUT)

    def _ended(
        self,
        request: Request,
        copy: Instance,
        number: int,
        attempt: Attempt,
        outcome: Outcome,
        answer: Answer | None,
    ) -> None:
        now, job = self.clock.monotonic(), request.job
        status = answer.status if answer else 0
        if isinstance(answer, HostAnswer) and answer.load:
            copy.update_load(now, *answer.load)
        if Told.requests:
            ms = (now - request.sent_at) * 1000
            name, told = job.id.decode(), outcome.value
            tell(
                Event.TRY_ENDED,
                id=name,
                number=number,
                host=copy.entry.id,
                outcome=told,
                status=status,
                ms=ms,
            )
        streaming = attempt.sink is not None
        problem = self.router.try_ended(now, job, copy, number, outcome, status, now - request.sent_at)
        if request.done:
            if streaming:
                self._finish(request)
                request.exchange.abort()
            return
        if streaming:
            self._finish(request)
            if outcome is Outcome.OK:
                request.exchange.finish()
            else:
                request.exchange.abort()
            return
        if (
            outcome is Outcome.OK
            and answer is not None
            and not self.router.may_retry_answer(now, job, status)
        ):
            self._finish(request)
            self.answers[status] = self.answers.get(status, 0) + 1
            self._record(job, status)
            if Told.requests:
                tell(
                    Event.ANSWERED,
                    id=job.id.decode(),
                    status=status,
                    ms=(now - job.arrived_at) * 1000,
                    why="",
                )
            request.exchange.reply(status, answer.body, answer.headers)
        elif outcome is Outcome.CANCELLED or request.left:
            self._finish(request)
        elif problem is not None and outcome is not Outcome.OK:
            self._end(request, problem)
        else:
            self._try(request)

    def _stream(
        self, request: Request, attempt: Attempt, answer: Answer, length: int | None, source: Source
    ) -> Exchange | None:
        """An answer that is longer than is waited for is passed on as it comes."""
        if request.done or not isinstance(answer, HostAnswer) or not answer.sealed or answer.encoded:
            return None
        if request.timer:
            request.timer.cancel()
            request.timer = self.loop.call_later(
                max(0.0, request.job.deadline - self.clock.monotonic()), self._cut, request
            )
        self._record(request.job, answer.status)
        request.exchange.start_stream(answer.headers, length, source)
        return request.exchange

    def _record(self, job: Job, status: int) -> None:
        """For the audit: a host's answer to a bound request goes to its client from here."""
        if bound := self.router.home.routes.get(job.route_name):
            name, here = job.id.decode(), self.router.home.region
            tell(Event.BOUND, id=name, service=job.service, bound=bound, status=status, region=here)

    # Ends

    def _cut(self, request: Request) -> None:
        if request.attempt and not request.attempt.ended:
            self.hosts.give_up(request.attempt, Outcome.TIMEOUT)

    def _time_up(self, request: Request) -> None:
        if request.done:
            return
        request.done = True
        if request.attempt and not request.attempt.ended:
            self.hosts.give_up(request.attempt, Outcome.TIMEOUT)
        self._end(request, self.router.time_out(self.clock.monotonic(), request.job))

    def _end(self, request: Request, problem: Problem) -> None:
        self._finish(request)
        if Told.requests:
            ms = (self.clock.monotonic() - request.job.arrived_at) * 1000
            why = f": {problem.kind.value}" + (f" ({problem.reason})" if problem.reason else "")
            tell(Event.ANSWERED, id=request.job.id.decode(), status=problem.status, ms=ms, why=why)
        self._say(request.exchange, problem)

    def _finish(self, request: Request) -> None:
        request.done = True
        self.open.discard(request)
        for timer in (request.timer, request.patience):
            if timer:
                timer.cancel()
