"""The gateway process: passes events to the decision module and carries out the actions it returns.

The node itself does not choose hosts, retries or refusals. On its own it only does the following: it answers
a request when the decision module raised an exception, ends attempts and requests at their deadline, and does
not write an attempt whose client has left or whose host has gone or is draining since the module ordered it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from coralvale import Gateway, handover
from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.config import Address, Config, HostInstance
from coralvale.net.counter import CounterClient
from coralvale.net.discovery import Discovery, Endpoint
from coralvale.net.door import MAX_CONNECTIONS as MAX_MANAGEMENT_CONNECTIONS
from coralvale.net.door import ManagementServer
from coralvale.net.endings import ConnectionEnd, RequestInHand, WaitsFor
from coralvale.net.exchange import Exchange
from coralvale.net.figures import RequestStats
from coralvale.net.marks import MaintenanceSet
from coralvale.net.memory import MemoryAccount
from coralvale.net.parsed_request import ParsedRequest
from coralvale.net.server import NOT_FORWARDED_HEADERS, Server, connection_options
from coralvale.net.sockets import Sockets
from coralvale.net.takeover import Predecessor, TakeoverServer
from coralvale.net.transport import Answer, Attempt, OutgoingRequest, Source, Transport
from coralvale.net.upstream import Upstreams
from coralvale.tally import REPLY_TIMEOUTS

log = logging.getLogger(__name__)

# Wait for the answer to the first discovery watch; after that the configured list of hosts is used.
WATCH_ANSWER_TIMEOUT_S = 0.25
# Wait after that answer for a line with the changes; the registry sends none if nothing has changed.
LIST_CHANGE_WAIT_S = 0.01
ANSWER_MARGIN_S = 0.05  # reserved before the client's deadline for writing the answer
# Requests read this soon after the start may have been sent before the process could read them.
STARTUP_PERIOD_S = 1.0
MAX_BOOT_S = 0.6  # upper bound of the start-up time, in which the machine already accepts connections
ACCEPT_AFTER_SIGTERM_S = 0.45  # new connections go on coming for 0.2 to 0.4 s after SIGTERM
CLOSE_RACE_S = 0.25  # further time for clients whose request crossed the closing of their idle connection
# SIGKILL leaves the longest request deadline, at most 3 s, to answer; the margin is kept off it.
SHUTDOWN_DEADLINE_S, SHUTDOWN_MARGIN_S = 3.0, 0.2
BACKGROUND_REPLY_TIMEOUT_S = 1.0  # of counter calls that no request waits for
FLUSH_S = 0.1  # for the last answers to leave
# Memory reserved for everything but bodies, and the least for bodies whatever the limit is.
RESERVED_MEMORY_MB, MIN_BODY_MEMORY_MB = 28.0, 4.0
# Descriptors for everything but clients and hosts: listener, watch, counter, logs, the event loop's own.
RESERVED_DESCRIPTORS = 64
MAINTENANCE_POLL_S = 0.1  # between checks for maintenance changes made by another process of this gateway
# Hosts listed at some time; operators may put one of them into maintenance that is not listed now.
MAX_LISTED_HOSTS = 10_000
EXIT_AFTER_HANDOVER_S = 12.0  # after a handover the process ends by itself if no SIGTERM has come
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
LOGGED_HEADERS = (b"plan", b"x-priority-class", b"x-request-id", b"cookie")
MAX_LOGGED_HEADER_BYTES, MAX_LOGGED_TARGET_BYTES = 256, 1024
UNWRITTEN = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # any other outcome: the request reached its host


@dataclass(frozen=True, slots=True)
class AuthorisationResult:
    """An authoriser's verdict on one request.

    Denied: `status`, `headers` and `body` are the answer to the client. Allowed: `headers` are added to the
    request to the host and replace those of the same name; those named in `remove` (lower case) are dropped.
    """

    verdict: api.Verdict
    why: str = ""
    status: int = 403
    headers: tuple[tuple[bytes, bytes], ...] = ()
    remove: frozenset[bytes] = frozenset()
    body: bytes = b""


class RequestAuthoriser(Protocol):
    """External authorisation: it is asked before a request that needs it is sent."""

    def needs(self, arrival: ParsedRequest) -> bool:
        """Whether the request must be allowed by an authoriser."""

    def ask(
        self,
        arrival: ParsedRequest,
        exchange: Exchange,
        time_left: float,
        done: Callable[[AuthorisationResult], None],
    ) -> None:
        """Starts a check that takes at most `time_left` seconds.

        `done` is called exactly once, never from within this call, unless `cancel` is called first.
        """

    def cancel(self, request: str) -> None:
        """Cancels the check of a request: nothing waits for its result any more."""

    def close(self) -> None:
        """Closes all connections."""


class AttemptJournal(Protocol):
    """A durable journal: an attempt that must not run twice is recorded before it is sent."""

    def records(self, cls: int) -> bool:
        """Whether attempts of this request class are recorded."""

    def refuses(self, cls: int) -> bool:
        """Whether requests of this class must be refused at once, because they could not be recorded."""

    def record_intent(
        self,
        arrival: ParsedRequest,
        exchange: Exchange,
        attempt: int,
        node: str,
        told: Callable[[bool], None],
    ) -> None:
        """Records that an attempt is about to be sent.

        `told` is called once, later, with whether the attempt may be sent.
        """

    def record_outcome(self, request: str, attempt: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt whose intent was recorded."""

    def record_answer(self, request: str, status: int) -> None:
        """Records the final answer of a request that has a recorded attempt."""

    def close(self) -> None:
        """Makes queued records durable, then closes the journal."""


@dataclass(slots=True)
class AccessRecord:
    """One access log entry: a request's final answer and its attempts.

    Times are in seconds; `time` is Unix time.
    """

    arrival: ParsedRequest | None  # None: rejected before the request was parsed
    # Without an arrival: those of LOGGED_HEADERS that were present, cut to MAX_LOGGED_HEADER_BYTES.
    fields: dict[bytes, bytes]
    target: bytes
    time: float
    status: int  # 499: the client had closed its connection
    reason: str  # the decision module's reason for a refusal, or why the request was rejected
    duration: float
    time_left: float  # until the client's deadline; negative if the answer was late
    # Server, zone, outcome (None: in flight), delay of each.
    attempts: tuple[tuple[str, int, Outcome | None, float], ...]
    outcome: str = ""  # set where it differs from what the status implies


class AccessLog(Protocol):
    """Receives every final answer. It is called on the path of the answer, so it must never block."""

    def record(self, final: AccessRecord) -> None: ...


class Meter(Protocol):
    """A usage ledger: records a request before its first attempt and once no attempt is in flight."""

    def refuses(self) -> bool:
        """Whether requests must be refused at once, because they could not be recorded."""

    def try_started(self, arrival: ParsedRequest) -> bool:
        """Records that the first attempt of a request is about to be made; returns whether it may be."""

    def try_ended(self, request: str, arrived: bool) -> None:
        """Records that no attempt of a request is in flight; `arrived`: a host got one of them whole."""

    def close(self) -> None:
        """Makes the ledger durable, then closes it."""


class Terms(api.Terms, Protocol):
    """Plans that may change while the gateway runs."""

    numbers: dict[bytes, int]  # plan numbers by the name that headers use


class PendingRequest:
    """A request, from its last byte until it is answered and none of its attempts is in flight."""

    __slots__ = (
        "answered",
        "arrival",
        "attempts",
        "checking",
        "exchange",
        "expires_at",
        "may_have_run",
        "metered",
        "attempts_in_flight",
        "authorisation",
        "streaming",
        "received_at",
        "timer",
        "timed_out",
    )

    def __init__(
        self, exchange: Exchange, arrival: ParsedRequest, received_at: float, expires_at: float
    ) -> None:
        self.exchange, self.arrival = exchange, arrival
        self.received_at, self.expires_at = received_at, expires_at
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.answered = self.may_have_run = self.timed_out = self.checking = self.streaming = self.metered = (
            False
        )
        self.authorisation: AuthorisationResult | None = None
        self.timer: asyncio.TimerHandle | None = None


class Node:
    """One gateway process.

    `allowance` shares quotas with other gateways; without it nothing is shared, at no cost. `folder` belongs
    to this gateway alone and is the same for its previous and next process; without it the maintenance state
    of hosts is lost when the process ends, and no process can take over from another. `carry` wraps the
    HTTP/1.1 transport in one that also speaks another version of HTTP.
    """

    def __init__(
        self,
        config: Config,
        clock: Clock | None = None,
        allowance: api.Allowance | None = None,
        authoriser: RequestAuthoriser | None = None,
        attempt_journal: AttemptJournal | None = None,
        folder: Path | None = None,
        access_log: AccessLog | None = None,
        meter: Meter | None = None,
        terms: Terms | None = None,
        carry: Callable[[Upstreams], Transport] | None = None,
        sockets: Sockets | None = None,
    ) -> None:
        self.access_log, self.meter, self.terms = access_log, meter, terms
        self.config, self.settings = config, config.settings
        self.clock = clock or Clock()
        self.started_at = self.clock.now()
        self.loop = asyncio.get_running_loop()
        self.allowance, self.authoriser, self.attempt_journal = allowance, authoriser, attempt_journal
        self.gateway = Gateway(config.settings, config.seed, allowance, terms)
        self.folder = folder if config.management else None
        self.maintenance, self.listed_hosts = MaintenanceSet(self.folder), OrderedDict[str, None]()
        self.request_stats = RequestStats([c.name for c in config.settings.classes])
        self.predecessor = Predecessor.find(self.folder / "takeover") if self.folder else None
        self.takeover_started = self.handed_over = False
        self.takeover_server: TakeoverServer | None = None
        self.management_server: ManagementServer | None = None
        self.pending: dict[str, PendingRequest] = {}
        self.ready = False
        # Called with each new request before the decision module gets it. True: the request is deferred until
        # the given callback is called.
        self.defer: Callable[[float, api.Request, Callable[[], None]], bool] | None = None
        self.pages: dict[bytes, Callable[[], str]] = {}  # pages of subsystems, served on the management port
        self.ends_at: float | None = None  # after SIGTERM: when all requests must be answered
        self.accepting_stopped = False
        self.stopped: asyncio.Future[None] = self.loop.create_future()
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.timer_delays: dict[int, float] = {}  # by timer token, to set a timer again whose event failed
        reserve = min(
            RESERVED_DESCRIPTORS + (MAX_MANAGEMENT_CONNECTIONS if config.management else 0),
            config.sockets // 4,
        )
        share = (config.sockets - reserve) // 2  # for clients, and the same for hosts
        surplus = share // 8
        listener = self.predecessor.listener if self.predecessor else None
        self.server = Server(
            config.listen,
            config.settings,
            self,
            share - surplus,
            surplus,
            listener,
            bool(self.folder),
            MemoryAccount(int(max(config.memory - RESERVED_MEMORY_MB, MIN_BODY_MEMORY_MB) * 1e6)),
            clock=self.clock,
            sockets=sockets,
        )
        if terms:
            self.server.names.plans, self.server.names.plan_names = terms.numbers, terms.names
        plain = Upstreams(
            self.clock,
            config.connect_timeout,
            config.conn_idle,
            share,
            config.settings.report_fields,
            sockets,
        )
        self.upstreams: Transport = carry(plain) if carry else plain
        # Where the list is pushed, an agent on this machine answers at once and its list counts as current.
        fleet = config.settings.gateways if config.settings.ask_for_list else 1
        self.discovery = Discovery(
            config.discovery, config.zones, config.kinds, self.clock, self._on_server_list, fleet=fleet
        )
        self.counter = self._make_counter(config.counter)
        self.background_counter = self._make_background_counter(config.counter)
        self.actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: self._refuse_request,
            api.Fail: self._fail_request,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.Count: self._count,
            api.Check: self._check,
            api.Deny: self._deny,
            api.FollowList: lambda _: self.discovery.refresh(),
            api.FetchList: lambda _: self.discovery.refresh(),
            api.Log: lambda action: log.info("%s", action.text),
        }

    def start(self) -> None:
        """Starts discovery, the listener and the management port.

        Once discovery has answered, or after WATCH_ANSWER_TIMEOUT_S, the process becomes ready or takes over
        from the running one.
        """
        for host in self.maintenance.hosts:
            self.feed(api.Maintained(host, True))
        self.discovery.apply(self.config.known, cached=True)
        self.discovery_task = self.loop.create_task(self.discovery.run())
        self.server.start(accept=self.predecessor is None)
        if self.config.management:
            self.management_server = ManagementServer(self.config.management, self)
        if self.folder:
            self.loop.call_later(MAINTENANCE_POLL_S, self._refresh_maintenance)
        self.discovery.on_answer = self._on_discovery_answer
        self.loop.call_later(WATCH_ANSWER_TIMEOUT_S, self._start_serving_or_take_over)

    def _on_discovery_answer(self) -> None:
        self.loop.call_later(LIST_CHANGE_WAIT_S, self._start_serving_or_take_over)

    def _start_serving_or_take_over(self) -> None:
        if self.predecessor and not self.takeover_started:
            self.takeover_started = True
            self.takeover_task = self.loop.create_task(self._take_over(self.predecessor))
        elif not self.takeover_started and not self.ready:
            self._start_serving()

    def _start_serving(self) -> None:
        self.ready = self.ends_at is None
        if self.folder and self.ready and self.takeover_server is None:
            try:
                listener = lambda: self.server.socket  # noqa: E731
                self.takeover_server = TakeoverServer(
                    self.folder / "takeover", listener, self._hand_over, self._on_handover
                )
            except OSError as error:
                log.warning("no process will be able to take over from this one: %s", error)

    # Takeover between processes

    async def _take_over(self, predecessor: Predecessor) -> None:
        """Takes over from the running process, with an empty state if that process sends none."""
        state = await predecessor.receive_state()
        if state is not None:
            try:
                count = handover.import_state(self.gateway, self.clock.now(), state)
                log.info("taken over, with what is known of %d customers", count)
            except ValueError as error:
                log.warning("taken over without the state received: %s", error)
        if self.ends_at is None:
            self.server.resume_accepting()
        await predecessor.confirm()
        self.takeover_started, self.predecessor = False, None
        self._start_serving()

    def _hand_over(self) -> dict[str, Any]:
        """Stops accepting clients and returns the state for the next process, which is ready."""
        log.info("handing over")
        self.server.pause_accepting()
        self.server.drain()
        return handover.export_state(self.gateway, self.clock.now())

    def _on_handover(self, succeeded: bool) -> None:
        """Ends accepting for good after a handover, or goes on serving if it failed."""
        if not succeeded:
            log.warning("the process that was to take over is gone: going on")
            handover.resume(self.gateway, self.clock.now())
            if self.ends_at is None:
                self.server.closing = False
                self.server.resume_accepting()
            return
        # Idle connections stay open until SIGTERM: the answer to their next request tells the client to
        # connect again, while closing one now could reject a request that is already on its way.
        self.handed_over = self.accepting_stopped = True
        self.server.release_listener()
        self.loop.call_later(EXIT_AFTER_HANDOVER_S, self.stop)

    # Operators (the `Operated` protocol of the management port)

    def can_serve(self) -> bool:
        return self.ready

    def stats(self) -> str:
        """`key=value` lines of the process's statistics."""
        self.request_stats.attempts = self.upstreams.written
        now = self.clock.now()
        lines = self.request_stats.lines(len(self.discovery.endpoints), self.gateway.fleet.avoided(now))
        return lines + self.upstreams.stats()

    def set_maintenance(self, host: str, out: bool) -> tuple[int, str]:
        """Puts a host into maintenance or back into service; returns status and text of the answer."""
        if not (
            host in self.discovery.endpoints or host in self.listed_hosts or host in self.maintenance.hosts
        ):
            return 404, "no such host\n"
        try:
            kept = self.maintenance.set(host, out)
        except ValueError as error:
            return 503, f"{error}\n"
        self._apply_maintenance(host, out)
        return (200, "done\n") if kept else (500, "done here, but a new process will not know of it\n")

    def _apply_maintenance(self, host: str, out: bool) -> None:
        log.info("host %s is %s", host, "taken out by hand" if out else "given back by hand")
        self.feed(api.Maintained(host, out))
        if out and (endpoint := self.discovery.endpoints.get(host)):
            self.upstreams.retire(endpoint.instance)

    def _refresh_maintenance(self) -> None:
        """Applies maintenance changes that another process of this gateway has written."""
        for host, out in self.maintenance.refresh().items():
            self._apply_maintenance(host, out)
        self.loop.call_later(MAINTENANCE_POLL_S, self._refresh_maintenance)

    def reload(self, config: Config) -> None:
        """Applies new addresses of discovery and the counter, without interrupting connections or requests.

        Nothing else can change while the process runs: limits and settings stay as they were at the start.
        """
        if config.discovery != self.discovery.address:
            log.info("discovery is now at %s", config.discovery)
            self.discovery.change_address(config.discovery)
        if config.counter == (self.counter.address if self.counter else None):
            return
        log.info("the counter is now at %s", config.counter)
        if self.counter:
            self.counter.drain()
        self.counter = self._make_counter(config.counter)
        if self.background_counter:
            self.background_counter.drain()
        self.background_counter = self._make_background_counter(config.counter)

    def _make_counter(self, address: Address | None) -> CounterClient | None:
        if address is None:
            return None
        reply_timeout = REPLY_TIMEOUTS * self.settings.counter_timeout
        return CounterClient(address, reply_timeout, self.config.connect_timeout, self.feed)

    def _make_background_counter(self, address: Address | None) -> CounterClient | None:
        """A counter client for calls that no request waits for.

        It has connections of its own, so that slow calls do not delay those that requests wait for.
        """
        if address is None or self.allowance is None:
            return None
        return CounterClient(
            address,
            BACKGROUND_REPLY_TIMEOUT_S,
            self.config.connect_timeout,
            self.feed,
            stall_timeout=BACKGROUND_REPLY_TIMEOUT_S,
        )

    def close(self) -> None:
        """Closes all sockets at once."""
        self.discovery_task.cancel()
        self.server.close()
        if self.management_server:
            self.management_server.close()
        if self.takeover_server:
            self.takeover_server.close()
        self.upstreams.close()
        if self.authoriser:
            self.authoriser.close()
        if self.attempt_journal:
            self.attempt_journal.close()
        if self.meter:
            self.meter.close()
        for counter in (self.counter, self.background_counter):
            if counter:
                counter.close()

    # Events in, actions out

    def feed(self, event: api.Event) -> None:
        """Passes an event to the decision module and carries out the actions that it returns.

        An event that comes up while an action is carried out is queued until the current one is finished.
        """
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.gateway.handle(self.clock.now(), event)
        except Exception:
            log.exception("the decision module failed on %s", type(event).__name__)
            self._recover(event)
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:
                log.exception("cannot carry out %r", action)

    def _recover(self, event: api.Event) -> None:
        """Answers the request, or sets the timer again, of an event on which the decision module failed."""
        if isinstance(event, api.TimerFired):
            self._set_timer(api.SetTimer(event.token, self.timer_delays.get(event.token, 1.0)))
        elif isinstance(event, api.Request):
            self._answer_unresolved(self.pending.get(event.id))
        elif (
            isinstance(event, api.AttemptDone)
            and (pending := self.pending.get(event.request))
            and not pending.attempts_in_flight
        ):
            self._answer_unresolved(pending)

    def _answer_unresolved(self, pending: PendingRequest | None) -> None:
        """Answers a request that the decision module left unanswered.

        The answer is a refusal (503) if retrying is harmless, else a failure (502 or 504).
        """
        if pending is None or pending.answered:
            return
        if pending.may_have_run and self.settings.classes[pending.arrival.cls].repeat is not api.Repeat.SAFE:
            self._answer(pending, 504 if pending.timed_out else 502, "given up")
        else:
            self._answer(pending, 503, "given up", retry_after=self.settings.max_advice)
        self.feed(api.Abandoned(pending.arrival.id))

    def _answer(
        self,
        pending: PendingRequest,
        status: int,
        reason: str,
        outcome: str = "",
        **answer: Any,  # noqa: ANN401
    ) -> None:
        if not pending.answered:
            pending.answered = True
            pending.exchange.reply(status, **answer)
            self.request_stats.finished(pending.arrival.cls, status)
            self._record_answer(pending, status, reason, outcome)
            self._forget(pending)

    def _record_answer(
        self, pending: PendingRequest, status: int, reason: str = "", outcome: str = ""
    ) -> None:
        if (
            self.attempt_journal
            and pending.attempts
            and status != 499
            and self.attempt_journal.records(pending.arrival.cls)
        ):
            self.attempt_journal.record_answer(pending.arrival.id, status)
        if self.access_log:
            now, arrival = self.clock.now(), pending.arrival
            took = now - pending.received_at
            attempts = tuple(
                [(a.server, a.zone, a.outcome, a.delay or now - a.sent_at) for a in pending.attempts]
            )
            time_left = arrival.timeout - took
            target = pending.exchange.target[:MAX_LOGGED_TARGET_BYTES]
            record = AccessRecord(
                arrival, {}, target, now, status, reason, took, time_left, attempts, outcome
            )
            self.access_log.record(record)

    def rejected(
        self, exchange: Exchange, status: int, why: str, arrival: ParsedRequest | None = None
    ) -> None:
        """Logs a request that was answered without the decision module."""
        if self.access_log:
            time_left = arrival.timeout if arrival else 0.0
            # There may be 64 KB of headers: only what is logged is kept.
            fields = {
                name: exchange.fields[name][:MAX_LOGGED_HEADER_BYTES]
                for name in LOGGED_HEADERS
                if name in exchange.fields
            }
            target = exchange.target[:MAX_LOGGED_TARGET_BYTES]
            self.access_log.record(
                AccessRecord(arrival, fields, target, self.clock.now(), status, why, 0.0, time_left, ())
            )

    def _forget(self, pending: PendingRequest) -> None:
        """Releases a request that is answered, once none of its attempts is in flight."""
        if pending.answered and pending.checking and self.authoriser:
            pending.checking = False
            self.authoriser.cancel(pending.arrival.id)
        if pending.answered and not pending.attempts_in_flight:
            if pending.timer:
                pending.timer.cancel()
            self.pending.pop(pending.arrival.id, None)
            if self.meter and pending.metered:
                arrived = any(attempt.outcome not in UNWRITTEN for attempt in pending.attempts)
                self.meter.try_ended(pending.arrival.id, arrived)
            pending.exchange.handler_state = (
                None  # breaks the reference cycle: the garbage collector is not needed
            )
            pending.attempts.clear()
            if self.ends_at is not None:
                self._finish_if_drained()

    # Clients

    def handle(self, exchange: Exchange, arrival: ParsedRequest) -> None:
        """Takes a complete request from the server and passes it to the decision module."""
        if arrival.id in self.pending:  # two requests under one id cannot be told apart
            exchange.reply_and_close(400, b"x-request-id: in use\n")
            self.request_stats.rejected(arrival.cls, 400)
            self.rejected(exchange, 400, "x-request-id in use", arrival)
            return
        full = len(self.pending) >= self.config.most_held
        unrecorded = self.attempt_journal and self.attempt_journal.refuses(arrival.cls)
        if full or unrecorded or (self.meter and self.meter.refuses()):
            exchange.reply(503, retry_after=self.settings.max_advice)
            self.request_stats.rejected(arrival.cls, 503)
            self.rejected(exchange, 503, "too many held" if full else "not to be recorded", arrival)
            return
        now = self.clock.now()
        if self.terms:
            self._apply_plan(now, arrival)
        cls = self.settings.classes[arrival.cls]
        time_limit = min(arrival.timeout, cls.give_up)
        # The client's time runs from when it sent the request, which may be when this process began to start.
        if now - self.started_at < STARTUP_PERIOD_S:
            time_limit = max(min(time_limit, cls.aim), time_limit - (now - self.started_at + MAX_BOOT_S))
        expires_at = now + max(0.0, time_limit - ANSWER_MARGIN_S)
        if self.ends_at is not None:
            expires_at = min(expires_at, self.ends_at)
        pending = PendingRequest(exchange, arrival, now, expires_at)
        exchange.handler_state = pending
        self.pending[arrival.id] = pending
        self.request_stats.started()
        request = api.Request(
            id=arrival.id,
            cls=arrival.cls,
            plan=arrival.named_plan,
            customer=arrival.customer,
            entry_gateways=arrival.entry_gateways,
            expires_at=expires_at,
            units=arrival.units,
            first=arrival.first_gateway,
            check=self.authoriser is not None and self.authoriser.needs(arrival),
            retried=arrival.retried,
        )
        if self.defer is None or not self.defer(
            now, request, partial(self._resume_deferred, pending, request)
        ):
            self.feed(request)
        if not pending.answered:  # under overload most requests are refused at once and need no timer
            pending.timer = self.loop.call_later(max(0.0, expires_at - now), self._on_deadline, pending)

    def _apply_plan(self, now: float, arrival: ParsedRequest) -> None:
        """Sets the plan that applies to the request now, whichever plan the request names."""
        if self.terms:
            name = self.terms.plan(now, arrival.customer, arrival.named_plan).name
            if name != arrival.plan_name:
                arrival.plan_name, arrival.plan = name, self.terms.numbers[name.encode()]

    def connection_ended(self, end: ConnectionEnd) -> None:
        if end.drops_requests:
            names = ", ".join(map(str, end.requests))
            log.warning(
                "connection ended (%s) with %d requests in hand: %s", end.cause.value, end.in_hand, names
            )

    def describe(self, exchange: Exchange) -> RequestInHand:
        """What a request in hand waits for: its newest attempt, if one is in flight."""
        pending: PendingRequest | None = exchange.handler_state
        if exchange.head is not None and not exchange.source:
            return RequestInHand(exchange.name, WaitsFor.EARLIER_ANSWER)
        if pending is None:
            return RequestInHand(exchange.name)
        now, attempt = self.clock.now(), next((a for a in pending.attempts[::-1] if not a.ended), None)
        if attempt is None:
            waited = now - pending.received_at
            return RequestInHand(exchange.name, waited=waited, time_left=pending.expires_at - now)
        waits_for = WaitsFor.CONNECTION if attempt.connection is None else WaitsFor.FIRST_BYTE
        return RequestInHand(
            exchange.name,
            WaitsFor.REST if attempt.sink else waits_for,
            attempt.server,
            attempt.number,
            now - attempt.sent_at,
            pending.expires_at - now,
        )

    def give_up(self, exchange: Exchange) -> None:
        """Answers a request in hand with what is known of it."""
        pending: PendingRequest | None = exchange.handler_state
        if pending is None:
            exchange.reply(503, retry_after=self.settings.max_advice)
        else:
            self._on_deadline(pending)

    def client_disconnected(self, exchange: Exchange) -> None:
        """Handles a client that closed its connection before its answer was complete."""
        pending = exchange.handler_state
        if pending is not None and pending.streaming:
            pending.streaming = False
            self.request_stats.finished(pending.arrival.cls, 499)
            self._record_answer(pending, 499, "client left")
            for attempt in list(pending.attempts):
                if not attempt.ended:
                    self.upstreams.abort(attempt, Outcome.CANCELLED)
        elif pending is not None and not pending.answered:
            pending.answered = True
            self.request_stats.finished(pending.arrival.cls, 499)
            self._record_answer(pending, 499, "client left")
            self.feed(api.Abandoned(pending.arrival.id))
            # An attempt that must not run twice may finish: the journal and the ledger need its outcome.
            if (
                self.settings.may_cancel
                and self.settings.classes[pending.arrival.cls].repeat is api.Repeat.SAFE
            ):
                for attempt in list(pending.attempts):
                    if not attempt.ended:
                        self.upstreams.abandon(attempt)
            self._forget(pending)

    def _resume_deferred(self, pending: PendingRequest, request: api.Request) -> None:
        """Passes on a deferred request, unless its client has left or its deadline has passed meanwhile."""
        if self.pending.get(request.id) is pending and not pending.answered:
            self.feed(request)

    def _on_deadline(self, pending: PendingRequest) -> None:
        """Ends the attempts as timed out at the client's deadline and answers the request."""
        for attempt in list(pending.attempts):
            if not attempt.ended:
                self.upstreams.abort(attempt, Outcome.TIMEOUT)
        self._answer_unresolved(pending)

    # Actions of the decision module

    def _send(self, action: api.Send) -> None:
        pending = self.pending.get(action.request)
        if pending is None:
            log.error("the decision module ordered an attempt of a request that is not pending")
            return
        now, endpoint = self.clock.now(), self.discovery.endpoints.get(action.server)
        number = len(pending.attempts)
        pending.attempts_in_flight += 1
        if endpoint is not None and self.meter and not pending.metered:
            if self.terms:  # the plan at the first attempt sets the price
                self._apply_plan(now, pending.arrival)
            pending.metered = self.meter.try_started(pending.arrival)
        if endpoint is None or (self.meter and not pending.metered):
            done = partial(self._on_attempt_end, pending)
            attempt = Attempt(action.server, ("", 0), lambda: None, done, number=number, sent_at=now)
            pending.attempts.append(attempt)
            attempt.end(Outcome.NOT_SENT)
            return
        until = min(action.until or pending.expires_at, pending.expires_at)

        def payload() -> OutgoingRequest | None:
            if pending.answered or not self._may_send(endpoint):
                return None
            time_left = until - self.clock.now()
            return self._build_request(pending, time_left) if time_left > 0 else None

        done, begun = partial(self._on_attempt_end, pending), partial(self._on_stream_start, pending)
        attempt = Attempt(action.server, endpoint.address, payload, done, begun, number, now)
        attempt.started_at, attempt.zone = endpoint.server.started_at, endpoint.server.zone
        attempt.kind = endpoint.server.kind
        pending.attempts.append(attempt)
        if until < pending.expires_at - 0.001:
            attempt.timer = self.loop.call_later(
                max(0.0, until - now), self.upstreams.abort, attempt, Outcome.TIMEOUT
            )
        if self.attempt_journal and self.attempt_journal.records(pending.arrival.cls):
            told = partial(self._on_recorded, attempt)
            self.attempt_journal.record_intent(pending.arrival, pending.exchange, number, action.server, told)
        else:
            self.upstreams.send(attempt)

    def _on_recorded(self, attempt: Attempt, may_send: bool) -> None:
        """Sends an attempt once its intent is durable, unless it has ended while it waited."""
        if attempt.ended:
            return
        if may_send:
            self.upstreams.send(attempt)
        else:
            attempt.end(Outcome.NOT_SENT)

    def _may_send(self, chosen: Endpoint) -> bool:
        """Whether the chosen host is still listed as it was, in service, and not draining for too long."""
        endpoint = self.discovery.endpoints.get(chosen.server.id)
        if (
            endpoint is None
            or endpoint.instance != chosen.instance
            or chosen.server.id in self.maintenance.hosts
        ):
            return False
        since = endpoint.draining_since
        return since is None or self.clock.now() - since < self.settings.drain_grace / 2

    @staticmethod
    def _build_request(pending: PendingRequest, time_left: float) -> OutgoingRequest:
        exchange = pending.exchange
        headers = list(exchange.headers)
        if (authorisation := pending.authorisation) and (authorisation.headers or authorisation.remove):
            other = authorisation.remove | {name.lower() for name, _ in authorisation.headers}
            headers = [h for h in headers if h[0].lower() not in other] + list(authorisation.headers)
        named = exchange.fields.get(b"connection")
        dropped = NOT_FORWARDED_HEADERS | connection_options(named) if named else NOT_FORWARDED_HEADERS
        headers = [h for h in headers if h[0].lower() not in dropped]
        return OutgoingRequest(exchange.method, exchange.target, headers, exchange.parts, time_left)

    def _on_stream_start(
        self, pending: PendingRequest, attempt: Attempt, answer: Answer, length: int | None, source: Source
    ) -> Any:  # noqa: ANN401
        """Starts streaming a long answer to the client; from now on no deadline ends it."""
        if pending.answered:
            return None
        pending.answered = pending.streaming = True
        if pending.timer:
            pending.timer.cancel()
        pending.exchange.start_stream(answer.headers, length, source)
        delay = self.clock.now() - attempt.sent_at
        self.feed(api.StreamStarted(pending.arrival.id, attempt.number, delay, answer.usage))
        self.feed(api.Handed(pending.arrival.id))
        return pending.exchange

    def _on_stream_end(self, pending: PendingRequest, whole: bool) -> None:
        """Ends a streamed answer; `whole`: all of it has come."""
        pending.streaming = False
        if whole:
            pending.exchange.finish()
        else:
            pending.exchange.abort()
        self.request_stats.finished(pending.arrival.cls, 200 if whole else 502)
        self._record_answer(pending, 200 if whole else 502, "" if whole else "broke in the middle")

    def _on_attempt_end(
        self, pending: PendingRequest, attempt: Attempt, outcome: Outcome, answer: Answer | None
    ) -> None:
        """Handles an attempt's outcome; the first complete answer goes to the client at once."""
        pending.attempts_in_flight -= 1
        pending.may_have_run = pending.may_have_run or outcome not in NOT_RUN
        pending.timed_out = outcome is Outcome.TIMEOUT
        if self.attempt_journal and self.attempt_journal.records(pending.arrival.cls):
            self.attempt_journal.record_outcome(pending.arrival.id, attempt.number, outcome)
        # The time that the client takes to read a streamed answer does not count as the host's delay.
        attempt.delay = (attempt.streamed_at or self.clock.now()) - attempt.sent_at
        attempt.outcome = outcome
        if attempt.sink and pending.streaming:
            self._on_stream_end(pending, outcome is Outcome.OK)
        elif outcome is Outcome.OK and answer and not pending.answered:
            pending.answered = True
            pending.exchange.reply(200, answer.body, answer.headers)
            self.request_stats.finished(pending.arrival.cls, 200)
            self._record_answer(pending, 200)
        self.feed(
            api.AttemptDone(
                request=pending.arrival.id,
                attempt=attempt.number,
                outcome=outcome,
                delay=attempt.delay,
                finished=pending.answered,
                usage=answer.usage if answer and not attempt.sink else None,
                report=answer.report if answer else (),
                broke=attempt.broke,
                alone=attempt.alone,
            )
        )
        self._forget(pending)

    def _cancel(self, action: api.Cancel) -> None:
        pending = self.pending.get(action.request)
        if (
            pending
            and 0 <= action.attempt < len(pending.attempts)
            and not pending.attempts[action.attempt].ended
        ):
            self.upstreams.abort(pending.attempts[action.attempt], Outcome.CANCELLED)

    def _refuse_request(self, action: api.Refuse) -> None:
        if pending := self.pending.get(action.request):
            self._answer(pending, 503, action.reason, retry_after=action.advice)

    def _fail_request(self, action: api.Fail) -> None:
        if pending := self.pending.get(action.request):
            self._answer(pending, 504 if pending.timed_out else 502, "failed")

    def _set_timer(self, action: api.SetTimer) -> None:
        self.timer_delays[action.token] = action.delay
        self.loop.call_later(max(0.0, action.delay), self.feed, api.TimerFired(action.token))

    def _probe(self, action: api.Probe) -> None:
        endpoint, started = self.discovery.endpoints.get(action.server), self.clock.now()

        def ended(attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
            report = answer.report if answer else ()
            self.feed(api.ProbeDone(action.server, outcome, self.clock.now() - started, report))

        alive = OutgoingRequest(b"GET", b"/alive", [(b"Host", action.server.encode())])
        attempt = Attempt(action.server, endpoint.address if endpoint else ("", 0), lambda: alive, ended)
        if endpoint is None:
            attempt.end(Outcome.NOT_SENT)
            return
        attempt.started_at, attempt.kind = endpoint.server.started_at, endpoint.server.kind
        attempt.timer = self.loop.call_later(
            self.config.connect_timeout, self.upstreams.abort, attempt, Outcome.TIMEOUT
        )
        self.upstreams.send(attempt)

    def _count(self, action: api.Count) -> None:
        counter = self.background_counter if action.patient else self.counter
        if counter is None:
            self.feed(api.CounterReply(action.name, False, 0.0))
        else:
            counter.add(action.name, action.amount, action.lifetime)

    # Authorisers

    def _check(self, action: api.Check) -> None:
        pending = self.pending.get(action.request)
        if pending is None or self.authoriser is None:
            self.feed(api.Checked(action.request, api.Verdict.NO_ANSWER))
            return
        pending.checking = True
        time_left = pending.expires_at - self.clock.now()
        self.authoriser.ask(
            pending.arrival, pending.exchange, time_left, partial(self._on_authorisation, pending)
        )

    def _on_authorisation(self, pending: PendingRequest, authorisation: AuthorisationResult) -> None:
        if pending.checking:
            pending.checking, pending.authorisation = False, authorisation
            self.feed(api.Checked(pending.arrival.id, authorisation.verdict))

    def _deny(self, action: api.Deny) -> None:
        pending = self.pending.get(action.request)
        if pending and pending.authorisation:
            authorisation, wait = pending.authorisation, 0.0
            if authorisation.status in (429, 503) and not any(
                n.lower() == b"retry-after" for n, _ in authorisation.headers
            ):
                wait = self.settings.max_advice
            self._answer(
                pending, authorisation.status, authorisation.why, "denied",
                body=authorisation.body, headers=list(authorisation.headers), retry_after=wait,
            )  # fmt: skip

    # The server list

    def _on_server_list(
        self, kind: api.ListKind, servers: tuple[api.Server, ...], stale: list[HostInstance]
    ) -> None:
        for place in stale:
            self.upstreams.retire(place)
        if self.config.management:
            for server in servers:
                self.listed_hosts[server.id] = None
                self.listed_hosts.move_to_end(server.id)
            while len(self.listed_hosts) > MAX_LISTED_HOSTS:
                self.listed_hosts.popitem(last=False)
        self.feed(api.ServerList(kind, servers))

    # Shutdown

    def stop(self) -> None:
        """Stops on SIGTERM: goes on accepting for a short time, answers all pending requests, then ends."""
        if self.ends_at is not None:
            return
        log.info("stopping")
        self.ready = False
        last = min(SHUTDOWN_DEADLINE_S, max(c.give_up for c in self.settings.classes)) - SHUTDOWN_MARGIN_S
        self.ends_at = self.clock.now() + last
        self.server.drain()
        # Idle connections stay open for a while: a request on one in that time is served, and its answer
        # closes the connection, while closing it at once would cross the request.
        self.loop.call_later(min(ACCEPT_AFTER_SIGTERM_S, last), self._close_idle_connections)
        if not self.handed_over:
            self.loop.call_later(min(ACCEPT_AFTER_SIGTERM_S + CLOSE_RACE_S, last), self._stop_accepting)
        self.loop.call_later(last, self._end_at_deadline)

    def _stop_accepting(self) -> None:
        """Closes the listener; the process ends when no connection is left."""
        self.server.stop_accepting()
        self.accepting_stopped = True

    def _close_idle_connections(self) -> None:
        """Closes idle connections until none is left; one with an unread request is served first."""
        self.server.close_idle()
        self._finish_if_drained()
        if not self.stopped.done():
            self.loop.call_later(0.05, self._close_idle_connections)

    def _finish_if_drained(self) -> None:
        if self.accepting_stopped and not self.server.connections:
            self._finish_stopping()

    def _end_at_deadline(self) -> None:
        """Answers the requests that are still pending, then ends."""
        self.server.refuse()
        for pending in list(self.pending.values()):
            self._on_deadline(pending)
        self.server.close_idle()
        self.loop.call_later(FLUSH_S, self._finish_stopping)

    def _finish_stopping(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)
