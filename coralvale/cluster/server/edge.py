"""The HTTP server for clients: parses requests, forwards attempts to hosts and returns answers.

Decisions about routes, quotas, instances and retries are made by `coralvale.cluster.routing`.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from functools import partial
from typing import Any

from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.events import Event, RequestEvents, log_event
from coralvale.cluster.rate_limit.actions import Decided
from coralvale.cluster.routing.copies import Instance
from coralvale.cluster.routing.router import RETRY_AFTER_S, Job, Router
from coralvale.cluster.server.connection_events import log_connection_end
from coralvale.cluster.server.hosts import HostAnswer, HostAttempt, HostConnection, Hosts
from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.config import Address
from coralvale.net.endings import ConnectionEnd, RequestInHand, WaitsFor
from coralvale.net.exchange import Exchange
from coralvale.net.memory import MemoryAccount
from coralvale.net.server import NOT_FORWARDED_HEADERS, Server, connection_options
from coralvale.net.transport import Answer, Attempt, OutgoingRequest, Sink, Source

REQUEST_ID, TIME_LEFT = b"x-myrtlehatch-request-id", b"x-myrtlehatch-time-left"
TENANT, WANT_INSTANCE, AUTHORIZATION = (
    b"x-myrtlehatch-tenant",
    b"x-myrtlehatch-want-instance",
    b"authorization",
)
NOT_FORWARDED = NOT_FORWARDED_HEADERS | {TIME_LEFT, TENANT, WANT_INSTANCE, AUTHORIZATION}
# A client cannot have these removed by naming them in Connection.
NOT_NOMINABLE = {
    REQUEST_ID,
    TIME_LEFT,
    TENANT,
    WANT_INSTANCE,
    AUTHORIZATION,
    b"host",
    b"content-length",
    b"transfer-encoding",
}
BEARER_PATTERN = re.compile(rb"(?i)bearer +(\S+)")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
TIME_LEFT_PATTERN = re.compile(rb"\d{1,9}(\.\d*)?")
GUARANTEED_SHARE = 1 / 16  # of the memory that clients may hold, that hosts and operators cannot take
MAX_REQUEST_S = 600.0  # deadline of requests without a time left; the route's configured timeout applies too


class DiscardingSink:
    """Receives the rest of a streamed answer whose client has left."""

    def write(self, data: list[bytes]) -> None:
        """Drops the data."""


class Request:
    """A client's request in progress, its current attempt and its timers."""

    __slots__ = (
        "instance",
        "exchange",
        "job",
        "client_left",
        "number",
        "silence_timer",
        "attempt",
        "connections",
        "deadline_timer",
        "sent_at",
        "done",
    )

    def __init__(self, exchange: Exchange, job: Job) -> None:
        self.exchange, self.job = exchange, job
        self.attempt: HostAttempt | None = None
        self.connections: set[object] = set()  # to hosts, that it was written to
        self.instance: Instance | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.silence_timer: asyncio.TimerHandle | None = None
        self.number = 0
        self.sent_at = 0.0
        self.client_left = self.done = False


class EdgeServer(Server):
    """Accepts clients' connections and passes their requests to an `Edge`."""

    request_id_header = REQUEST_ID
    looked_up_headers = frozenset((REQUEST_ID, TIME_LEFT, AUTHORIZATION, b"host"))
    single_value_headers = {
        REQUEST_ID,
        TIME_LEFT,
        AUTHORIZATION,
        b"host",
        b"content-length",
        b"transfer-encoding",
    }

    def __init__(
        self, address: Address, edge: Edge, max_connections: int, memory: MemoryAccount, clock: Clock
    ) -> None:
        super().__init__(
            address,
            None,
            edge,
            max_connections,
            32,
            memory=memory,
            guaranteed_bytes=int(memory.limit * GUARANTEED_SHARE),
            clock=clock,
        )
        self.max_advice = RETRY_AFTER_S
        self.edge = edge

    def early_rejection_status(self, exchange: Exchange) -> int:
        """The status that refuses a request bound to another region before its body is read, else 0."""
        router = self.edge.router
        if not router.home.routes:
            return 0
        host = exchange.fields.get(b"host", b"").decode("latin-1").partition(":")[0].lower()
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        problem = router.check_head(self.edge.clock.monotonic(), host, path)
        return problem.status if problem else 0

    def handle_request(self, exchange: Exchange) -> None:
        if exchange.connection.over_limit or self.refusing:
            exchange.reply(503, retry_after=0.2)
            return
        self.edge.handle_request(exchange)


class Edge:
    """Handles the requests in progress at this gateway."""

    ready = True

    def __init__(
        self,
        router: Router,
        hosts: Hosts,
        clock: Clock,
        run_quota_actions: Callable[[], None] = lambda: None,
    ) -> None:
        """`run_quota_actions`: sends the rate limiter's token requests to other gateways for waiting requests."""
        self.router, self.hosts, self.clock = router, hosts, clock
        self.run_quota_actions = run_quota_actions
        self.waiting: dict[Job, Request] = {}  # requests that wait for a token of their tenant's quota
        self.loop = asyncio.get_running_loop()
        self.open: set[Request] = set()
        self.answers: dict[int, int] = {}

    # Handler protocol of `Server`

    def handle(self, exchange: Exchange, fields: Any) -> None:  # noqa: ANN401
        raise AssertionError("EdgeServer does not call take()")

    def rejected(self, exchange: Exchange, status: int, why: str) -> None:
        self.answers[status] = self.answers.get(status, 0) + 1

    def connection_ended(self, end: ConnectionEnd) -> None:
        log_connection_end("edge", end)

    def describe(self, exchange: Exchange) -> RequestInHand:
        """What a request in hand waits for."""
        if exchange.head is not None and not exchange.source:
            return RequestInHand(exchange.name, WaitsFor.EARLIER_ANSWER)
        request: Request | None = exchange.handler_state
        if request is None:
            return RequestInHand(exchange.name)
        now, job, attempt = self.clock.monotonic(), request.job, request.attempt
        left = job.own_deadline - now
        if attempt and exchange.source:
            waited = now - request.sent_at
            return RequestInHand(exchange.name, WaitsFor.REST, attempt.server, request.number, waited, left)
        if job.waits_for_token or attempt is None or attempt.ended:
            waits_for = WaitsFor.TOKEN if job.waits_for_token else WaitsFor.HANDLER
            return RequestInHand(exchange.name, waits_for, waited=now - job.arrived_at, time_left=left)
        waits_for = self.hosts.waits_for(attempt)
        waited = now - request.sent_at
        return RequestInHand(exchange.name, waits_for, attempt.server, request.number, waited, left)

    def client_disconnected(self, exchange: Exchange) -> None:
        """Handles the loss of a client's connection before its answer was complete."""
        request: Request | None = exchange.handler_state
        if request is None:
            return
        request.client_left = True
        # A written request that may run only once is not cancelled, since that would interrupt the host while
        # it runs. A request that is not written yet is dropped: its body was released with the connection.
        attempt = request.attempt
        being_written = attempt is not None and attempt.connection is not None
        if request.job.route.repeatable or not being_written:
            self._finish(request)
            if attempt and not attempt.ended:
                self.hosts.abort(attempt, Outcome.CANCELLED)
            return
        exchange.detached = True  # its body may still be on its way to the host
        if attempt and attempt.sink:
            attempt.sink = DiscardingSink()
            assert isinstance(attempt.connection, HostConnection)
            attempt.connection.resume()  # reading may be paused for this client

    # Arrival of requests

    def handle_request(self, exchange: Exchange) -> None:
        """Admits or refuses a request, and starts its first attempt unless it waits for a token."""
        now, fields = self.clock.monotonic(), exchange.fields
        id_ = fields.get(REQUEST_ID, b"")
        left = fields.get(TIME_LEFT, b"")
        host = fields.get(b"host", b"")
        if (
            not REQUEST_ID_PATTERN.fullmatch(id_)
            or not host
            or (left and not TIME_LEFT_PATTERN.fullmatch(left))
        ):
            return exchange.reply(400, b"a request id, a host and the time left are needed\n")
        key = BEARER_PATTERN.fullmatch(fields.get(AUTHORIZATION, b""))
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        job = self.router.admit(
            now,
            id_,
            host.decode("latin-1").partition(":")[0].lower(),
            path,
            key[1].decode("latin-1") if key else None,
            float(left) / 1000 if left else MAX_REQUEST_S,
        )
        if isinstance(job, Problem):
            if RequestEvents.enabled:
                why = f": {job.kind.value}"
                log_event(Event.ANSWERED, id=id_.decode(), status=job.status, ms=0.0, why=why)
            return self._send_problem(exchange, job)
        if RequestEvents.enabled:
            log_event(Event.TAKEN, id=id_.decode(), route=job.route_name, tenant=job.tenant or "nobody")
        request = exchange.handler_state = Request(exchange, job)
        self.open.add(request)
        # Before the end of the process, `give_up` answers it.
        request.deadline_timer = self.loop.call_later(job.own_deadline - now, self._deadline_expired, request)
        if job.waits_for_token:
            self.waiting[job] = request
            self.run_quota_actions()
        else:
            self._start_attempt(request)
        return None

    def apply_decision(self, decision: Decided) -> None:
        """Handles the rate limiter's decision on a request that waited for a token."""
        job = decision.ticket
        assert isinstance(job, Job)
        request = self.waiting.pop(job, None)
        problem = self.router.apply_verdict(job, decision.verdict)
        if request is None or request.done:
            self.router.refund(self.clock.monotonic(), job)
        elif problem:
            self._fail(request, problem)
        else:
            self._start_attempt(request)

    def _send_problem(self, exchange: Exchange, problem: Problem) -> None:
        status = problem.status
        self.answers[status] = self.answers.get(status, 0) + 1
        exchange.reply(status, retry_after=problem.retry_after if problem.promises_not_run else 0.0)

    # Attempts

    def _start_attempt(self, request: Request) -> None:
        """Sends the request to the next instance, or fails it if there is none."""
        now, job = self.clock.monotonic(), request.job
        instance = self.router.pick(now, job)
        if isinstance(instance, Problem):
            return self._fail(request, instance)
        row = instance.entry.row
        request.instance, request.number, request.sent_at = instance, job.tries, now
        if RequestEvents.enabled:
            log_event(Event.TRY, id=job.id.decode(), number=job.tries, host=row.id)
        attempt = request.attempt = HostAttempt(
            row.id,
            (row.ip, row.port),
            partial(self._payload, request, instance),
            partial(self._attempt_ended, request, instance, job.tries),
            partial(self._begin_stream, request),
        )
        attempt.request, attempt.used_connections = job.id.decode("latin-1"), request.connections
        attempt.sent_at = now
        if request.silence_timer:
            request.silence_timer.cancel()
            request.silence_timer = None
        if wait := self.router.silence_timeout(now, job):
            request.silence_timer = self.loop.call_later(wait, self._silence_expired, request, attempt)
        self.hosts.send(attempt)
        return None

    def _payload(self, request: Request, instance: Instance) -> OutgoingRequest | None:
        """Returns the request to write, or None if it must not be sent any more.

        Called just before the write: while the attempt waited for a connection, the client may have disconnected,
        the deadline may have passed, or the host may have started to drain.
        """
        now, job, exchange = self.clock.monotonic(), request.job, request.exchange
        if request.done or request.client_left or now >= job.deadline:
            return None
        if not self.router.instances.register.may_serve(instance.entry.id):
            return None
        # While it waited, the region binding may have changed, or the binding's lease may have expired.
        if self.router.home.routes and self.router.home.refusal(now, job.route_name):
            return None
        left = int((job.deadline - now) * 1000)
        headers = [
            *self._forwarded_headers(request),
            (b"X-Myrtlehatch-Time-Left", b"%d" % max(1, left)),
            (b"X-Myrtlehatch-Want-Instance", instance.entry.id.encode()),
        ]
        return OutgoingRequest(exchange.method, exchange.target, headers, exchange.parts)

    @staticmethod
    def _forwarded_headers(request: Request) -> list[tuple[bytes, bytes]]:
        """The client's headers that its host gets, and the tenant."""
        exchange, job = request.exchange, request.job
        named = exchange.fields.get(b"connection")
        drop = NOT_FORWARDED if named is None else NOT_FORWARDED | (connection_options(named) - NOT_NOMINABLE)
        headers = [(name, value) for name, value in exchange.headers if name.lower() not in drop]
        if job.tenant:
            headers.append((b"X-Myrtlehatch-Tenant", job.tenant.encode()))
        return headers

    def _silence_expired(self, request: Request, attempt: HostAttempt) -> None:
        """Gives up an attempt that got no answer in time, if its host counts as silent."""
        if attempt.ended or request.attempt is not attempt or attempt.sink or not request.instance:
            return
        now, was_sent = self.clock.monotonic(), attempt.connection is not None
        silent = self.router.is_silent(now, request.instance, request.sent_at)
        if silent and self.router.may_repeat(now, request.job, was_sent):
            self.hosts.abort(attempt, Outcome.TIMEOUT)

    def _attempt_ended(
        self,
        request: Request,
        instance: Instance,
        number: int,
        attempt: Attempt,
        outcome: Outcome,
        answer: Answer | None,
    ) -> None:
        """Answers the client, streams on, retries or fails the request, by the outcome of an attempt."""
        now, job = self.clock.monotonic(), request.job
        status = answer.status if answer else 0
        if isinstance(answer, HostAnswer) and answer.load:
            instance.update_load(now, *answer.load)
        if RequestEvents.enabled:
            ms = (now - request.sent_at) * 1000
            name, result = job.id.decode(), outcome.value
            log_event(
                Event.TRY_ENDED,
                id=name,
                number=number,
                host=instance.entry.id,
                outcome=result,
                status=status,
                ms=ms,
                written=attempt.progress.value,
            )
        streaming = attempt.sink is not None
        problem = self.router.try_ended(now, job, instance, number, outcome, status, now - request.sent_at)
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
            self._log_bound_answer(job, status)
            if RequestEvents.enabled:
                log_event(
                    Event.ANSWERED,
                    id=job.id.decode(),
                    status=status,
                    ms=(now - job.arrived_at) * 1000,
                    why="",
                )
            request.exchange.reply(status, answer.body, answer.headers)
        elif outcome is Outcome.CANCELLED or request.client_left:
            self._finish(request)
        elif problem is not None and outcome is not Outcome.OK:
            self._fail(request, problem)
        else:
            self._start_attempt(request)

    def _begin_stream(
        self, request: Request, attempt: Attempt, answer: Answer, length: int | None, source: Source
    ) -> Sink | None:
        """Starts to stream an answer that is too long to be buffered whole.

        Returns the sink for its body, or None if the answer is not valid for this request.
        """
        if request.done or not isinstance(answer, HostAnswer) or not answer.sealed or answer.encoded:
            return None
        if request.client_left:
            return DiscardingSink()
        if request.deadline_timer:
            request.deadline_timer.cancel()
            request.deadline_timer = self.loop.call_later(
                max(0.0, request.job.own_deadline - self.clock.monotonic()),
                self._stream_deadline_expired,
                request,
            )
        self._log_bound_answer(request.job, answer.status)
        request.exchange.start_stream(answer.headers, length, source)
        return request.exchange

    def _log_bound_answer(self, job: Job, status: int) -> None:
        """Logs, for the audit of regions, that this gateway returns a host's answer to a bound request."""
        if bound := self.router.home.routes.get(job.route_name):
            name, here = job.id.decode(), self.router.home.region
            log_event(Event.BOUND, id=name, service=job.service, bound=bound, status=status, region=here)

    # Ends of requests

    def end_by(self, moment: float) -> None:
        """Requests are answered by `moment`, as the process ends: none is waited for or tried again beyond it."""
        self.router.end_by(moment, (request.job for request in self.open))

    def give_up(self, exchange: Exchange) -> None:
        """Answers a request in hand with what is known of it, as the process ends."""
        request: Request | None = exchange.handler_state
        if request is None or request.done:
            self._send_problem(exchange, Problem(Kind.NOT_RUN, retry_after=RETRY_AFTER_S))
        else:
            self._deadline_expired(request)

    def _stream_deadline_expired(self, request: Request) -> None:
        """Cancels the attempt whose answer is being streamed; the client's connection is aborted."""
        if request.attempt and not request.attempt.ended:
            self.hosts.abort(request.attempt, Outcome.TIMEOUT)

    def _deadline_expired(self, request: Request) -> None:
        """Cancels the current attempt and answers the request with its timeout status."""
        if request.done:
            return
        request.done = True
        if request.attempt and not request.attempt.ended:
            self.hosts.abort(request.attempt, Outcome.TIMEOUT)
        self._fail(request, self.router.time_out(self.clock.monotonic(), request.job))

    def _fail(self, request: Request, problem: Problem) -> None:
        self._finish(request)
        if RequestEvents.enabled:
            ms = (self.clock.monotonic() - request.job.arrived_at) * 1000
            why = f": {problem.kind.value}" + (f" ({problem.reason})" if problem.reason else "")
            log_event(Event.ANSWERED, id=request.job.id.decode(), status=problem.status, ms=ms, why=why)
        self._send_problem(request.exchange, problem)

    def _finish(self, request: Request) -> None:
        request.done = True
        self.open.discard(request)
        if request.exchange.detached:
            request.exchange.release()
        for timer in (request.deadline_timer, request.silence_timer):
            if timer:
                timer.cancel()
