"""Drives the decision module: what happens becomes its events, its actions are carried out.

The node chooses no host, no retry and no refusal. What it decides alone are guards of the transport: it
answers for a module that failed, ends what is still held at its deadline, and does not write an attempt
that has become pointless or forbidden since it was ordered.
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
from coralvale.net.door import MAX_CONNECTIONS as CALLERS
from coralvale.net.door import ManagementServer
from coralvale.net.figures import Figures
from coralvale.net.marks import Marks
from coralvale.net.server import NOT_FORWARDED_HEADERS, Exchange, ParsedRequest, Server, connection_options
from coralvale.net.sockets import Sockets
from coralvale.net.takeover import Offer, Successor
from coralvale.net.transport import Answer, Attempt, Outgoing, Source, Transport
from coralvale.net.upstream import Upstreams
from coralvale.tally import REPLY_TIMEOUTS

log = logging.getLogger(__name__)

READY = 0.25  # s that the answer to the first watch may take; without it the known list must do
SETTLE = 0.01  # s after that answer for the line that holds what has changed; where nothing has, none comes
ANSWER_ROOM = 0.05  # s before the client's time is up, kept for writing an answer
YOUNG = 1.0  # s after its start in which what a process reads may have been sent before it could read
BOOT = 0.6  # s that a process may take to come up, in which its machine has taken connections already
ACCEPT = 0.45  # s after SIGTERM in which new connections go on coming (0.2 to 0.4 s)
CROSSED = 0.25  # s more, for clients whose request crossed the closing of their idle connection
DEADLINE, BEFORE = (
    3.0,
    0.2,
)  # s: the kill leaves the longest deadline, this at most, to answer; some less is used
PATIENT = 1.0  # s that the counter may take for a call that nobody waits for
FLUSH = 0.1  # s for the last answers to leave
OWN_MEMORY, LEAST_BODIES = 28.0, 4.0  # MB: kept for all but bodies; for bodies, whatever the limit
RESERVE = 64  # descriptors for all but clients and hosts: listener, watch, counter, logs, the loop's own
REFRESH = 0.1  # s between looks at what another process of this gateway was told of hosts
SEEN = 10_000  # hosts that were listed once, by which an operator may name one that is not listed now
LEFT = 12.0  # s after which a process that has handed on its work ends by itself, if no SIGTERM has come
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NAMED = (b"plan", b"x-priority-class", b"x-request-id", b"cookie")  # headers that a witness is told
TOLD, TARGET = 256, 1024  # bytes of each of them, and of a target
UNWRITTEN = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # what was written whole has come to its host


@dataclass(frozen=True, slots=True)
class Ruling:
    """What an authoriser said of one request.

    Denied: `status`, `headers` and `body` are the answer to the client. Allowed: `headers` are added to the
    request to the host, in place of those of the same name; those in `remove` (lower case) are taken off it.
    """

    verdict: api.Verdict
    why: str = ""
    status: int = 403
    headers: tuple[tuple[bytes, bytes], ...] = ()
    remove: frozenset[bytes] = frozenset()
    body: bytes = b""


class Gate(Protocol):
    """Authorisers beside the node: it is asked before a request that needs it is sent."""

    def needs(self, arrival: ParsedRequest) -> bool:
        """Whether a request has to be allowed by an authoriser."""

    def ask(
        self, arrival: ParsedRequest, exchange: Exchange, left: float, done: Callable[[Ruling], None]
    ) -> None:
        """Asks, for `left` seconds at most. `done` is called once and later, unless `leave` is called before."""

    def leave(self, request: str) -> None:
        """Nobody waits for the answer any more."""

    def close(self) -> None:
        """Lets go of all connections."""


class Recorder(Protocol):
    """A journal beside the node: an attempt that must not run twice is recorded before it is sent."""

    def records(self, cls: int) -> bool:
        """Whether attempts of a class are recorded."""

    def refuses(self, cls: int) -> bool:
        """Whether a request of a class is to be refused at once, since it could not be recorded."""

    def intend(
        self,
        arrival: ParsedRequest,
        exchange: Exchange,
        attempt: int,
        node: str,
        told: Callable[[bool], None],
    ) -> None:
        """An attempt is about to be sent; `told` is called once, later, with whether it may be."""

    def ended(self, request: str, attempt: int, outcome: Outcome) -> None:
        """An attempt that was recorded has ended."""

    def answered(self, request: str, status: int) -> None:
        """A request of which an attempt was recorded has its final answer."""

    def close(self) -> None:
        """Makes durable what is on its way."""


@dataclass(slots=True)
class Final:
    """A request's final answer, and how it came about. Times in seconds, `at` of Unix time."""

    arrival: ParsedRequest | None  # None: it was turned away before it was known what it is
    fields: dict[bytes, bytes]  # without an arrival: what there is of the headers NAMED, cut to TOLD bytes
    target: bytes
    at: float
    status: int  # 499: the client had gone
    reason: str  # the decisions' reason for a refusal, or why it was turned away
    took: float
    left: float  # of the client's time; below 0 if the answer was late
    attempts: tuple[tuple[str, int, Outcome | None, float], ...]  # server, zone, outcome (None: out), delay
    outcome: str = ""  # where it is not what the status tells


class Witness(Protocol):
    """Whoever is to be told of every final answer. It is called on the answer's path and must never wait."""

    def answered(self, final: Final) -> None: ...


class Meter(Protocol):
    """A ledger beside the node: a try is recorded before its first attempt, and again when it is over."""

    def refuses(self) -> bool:
        """Whether requests are to be refused at once, since they could not be recorded."""

    def opened(self, arrival: ParsedRequest) -> bool:
        """The first attempt of a request is about to be made; whether it may be."""

    def closed(self, request: str, arrived: bool) -> None:
        """No attempt of a request is out any more; `arrived`: one of them was written whole to a host."""

    def close(self) -> None:
        """Makes durable what is known."""


class Terms(api.Terms, Protocol):
    """Plans that change in service, beside the node."""

    numbers: dict[bytes, int]  # of plans, as headers name them


class Held:
    """A request from its last byte until it is answered and no attempt is out."""

    __slots__ = (
        "answered",
        "arrival",
        "attempts",
        "checking",
        "exchange",
        "expires_at",
        "maybe",
        "metered",
        "out",
        "ruling",
        "streaming",
        "taken_at",
        "timer",
        "timed_out",
    )

    def __init__(
        self, exchange: Exchange, arrival: ParsedRequest, taken_at: float, expires_at: float
    ) -> None:
        self.exchange, self.arrival = exchange, arrival
        self.taken_at, self.expires_at = taken_at, expires_at
        self.attempts: list[Attempt] = []
        self.out = 0
        self.answered = self.maybe = self.timed_out = self.checking = self.streaming = self.metered = False
        self.ruling: Ruling | None = None
        self.timer: asyncio.TimerHandle | None = None


class Node:
    """One gateway.

    `allowance` shares parts with other gateways; without one nothing is shared, and nothing is paid for it.
    `folder` is this gateway's alone and the same for the process before and after this one; without it what
    operators say of hosts lasts as long as the process, and no process takes over from another. `carry` puts
    another version of HTTP before the pools of HTTP/1.1.
    """

    def __init__(
        self,
        config: Config,
        clock: Clock | None = None,
        allowance: api.Allowance | None = None,
        gate: Gate | None = None,
        recorder: Recorder | None = None,
        folder: Path | None = None,
        witness: Witness | None = None,
        meter: Meter | None = None,
        terms: Terms | None = None,
        carry: Callable[[Upstreams], Transport] | None = None,
        sockets: Sockets | None = None,
    ) -> None:
        self.witness, self.meter, self.terms = witness, meter, terms
        self.config, self.settings = config, config.settings
        self.clock = clock or Clock()
        self.born = self.clock.now()
        self.loop = asyncio.get_running_loop()
        self.allowance, self.gate, self.recorder = allowance, gate, recorder
        self.gateway = Gateway(config.settings, config.seed, allowance, terms)
        self.folder = folder if config.management else None
        self.marks, self.seen = Marks(self.folder), OrderedDict[str, None]()
        self.figures = Figures([c.name for c in config.settings.classes])
        self.successor = Successor.find(self.folder / "takeover") if self.folder else None
        self.taking = self.ceded = False
        self.offer: Offer | None = None
        self.management_server: ManagementServer | None = None
        self.held: dict[str, Held] = {}
        self.ready = False
        # Asked before a request is judged: whether it is kept back, to be judged when the given call is made.
        self.hold: Callable[[float, api.Request, Callable[[], None]], bool] | None = None
        self.pages: dict[bytes, Callable[[], str]] = {}  # of subsystems, at the operators' door
        self.ends_at: float | None = None  # after SIGTERM, when all must be answered
        self.accepting_ended = False
        self.stopped: asyncio.Future[None] = self.loop.create_future()
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.delays: dict[int, float] = {}  # the module's timers by token, to set one again that was lost
        reserve = min(RESERVE + (CALLERS if config.management else 0), config.sockets // 4)
        share = (config.sockets - reserve) // 2  # for clients, and for hosts
        surplus = share // 8
        listener = self.successor.listener if self.successor else None
        self.server = Server(
            config.listen,
            config.settings,
            self,
            share - surplus,
            surplus,
            listener,
            bool(self.folder),
            int(max(config.memory - OWN_MEMORY, LEAST_BODIES) * 1e6),
            self.clock,
            sockets,
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
        # Where the list is pushed, an agent of this machine answers at once, and what it has counts as told.
        fleet = config.settings.gateways if config.settings.ask_for_list else 1
        self.discovery = Discovery(
            config.discovery, config.zones, config.kinds, self.clock, self._listed, fleet=fleet
        )
        self.counter = self._make_counter(config.counter)
        self.patient = self._make_patient(config.counter)
        self.actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
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
        for host in self.marks.out:
            self.feed(api.Maintained(host, True))
        self.discovery.apply(self.config.known, cached=True)
        self.watching = self.loop.create_task(self.discovery.run())
        self.server.start(accept=self.successor is None)
        if self.config.management:
            self.management_server = ManagementServer(self.config.management, self)
        if self.folder:
            self.loop.call_later(REFRESH, self._refresh)
        self.discovery.on_answer = self._settle
        self.loop.call_later(READY, self._be_ready)

    def _settle(self) -> None:
        self.loop.call_later(SETTLE, self._be_ready)

    def _be_ready(self) -> None:
        if self.successor and not self.taking:
            self.taking = True
            self.take_over = self.loop.create_task(self._take_over(self.successor))
        elif not self.taking and not self.ready:
            self._serve()

    def _serve(self) -> None:
        self.ready = self.ends_at is None
        if self.folder and self.ready and self.offer is None:
            try:
                listener = lambda: self.server.socket  # noqa: E731
                self.offer = Offer(self.folder / "takeover", listener, self._cede, self._ceded)
            except OSError as error:
                log.warning("no process will be able to take over from this one: %s", error)

    # One process after another

    async def _take_over(self, successor: Successor) -> None:
        """Goes on from the process that serves now; if it gives nothing, from nothing."""
        state = await successor.take()
        if state is not None:
            try:
                count = handover.import_state(self.gateway, self.clock.now(), state)
                log.info("taken over, with what is known of %d customers", count)
            except ValueError as error:
                log.warning("taken over without %s", error)
        if self.ends_at is None:
            self.server.resume_accepting()
        await successor.taken()
        self.taking, self.successor = False, None
        self._serve()

    def _cede(self) -> dict[str, Any]:
        """Another process is ready: no more clients are taken, and it gets the state."""
        log.info("handing over")
        self.server.pause_accepting()
        self.server.drain()
        return handover.export_state(self.gateway, self.clock.now())

    def _ceded(self, well: bool) -> None:
        if not well:
            log.warning("the process that was to take over is gone: going on")
            handover.resume(self.gateway, self.clock.now())
            if self.ends_at is None:
                self.server.closing = False
                self.server.resume_accepting()
            return
        # Idle connections stay until SIGTERM: their next request is served and told to go elsewhere, and to
        # close one would turn back a request that is on its way.
        self.ceded = self.accepting_ended = True
        self.server.release_listener()
        self.loop.call_later(LEFT, self.stop)

    # Operators

    def can_serve(self) -> bool:
        return self.ready

    def stats(self) -> str:
        self.figures.attempts = self.upstreams.written
        now = self.clock.now()
        lines = self.figures.lines(len(self.discovery.endpoints), self.gateway.fleet.avoided(now))
        return lines + self.upstreams.stats()

    def set_maintenance(self, host: str, out: bool) -> tuple[int, str]:
        if not (host in self.discovery.endpoints or host in self.seen or host in self.marks.out):
            return 404, "no such host\n"
        try:
            kept = self.marks.set(host, out)
        except ValueError as error:
            return 503, f"{error}\n"
        self._mark(host, out)
        return (200, "done\n") if kept else (500, "done here, but a new process will not know of it\n")

    def _mark(self, host: str, out: bool) -> None:
        log.info("host %s is %s", host, "taken out by hand" if out else "given back by hand")
        self.feed(api.Maintained(host, out))
        if out and (endpoint := self.discovery.endpoints.get(host)):
            self.upstreams.retire(endpoint.instance)

    def _refresh(self) -> None:
        for host, out in self.marks.refresh().items():
            self._mark(host, out)
        self.loop.call_later(REFRESH, self._refresh)

    def reload(self, config: Config) -> None:
        """Moves discovery and the counter to their new addresses; clients, hosts and requests go on.

        Only these two can change under way. The limits and the settings hold from start to end.
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
        if self.patient:
            self.patient.drain()
        self.patient = self._make_patient(config.counter)

    def _make_counter(self, address: Address | None) -> CounterClient | None:
        if address is None:
            return None
        patience = REPLY_TIMEOUTS * self.settings.counter_timeout
        return CounterClient(address, patience, self.config.connect_timeout, self.feed)

    def _make_patient(self, address: Address | None) -> CounterClient | None:
        """For calls that no request waits for: connections of their own, so that they hold up no other."""
        if address is None or self.allowance is None:
            return None
        return CounterClient(address, PATIENT, self.config.connect_timeout, self.feed, stall_timeout=PATIENT)

    def close(self) -> None:
        """Lets go of all sockets, at once."""
        self.watching.cancel()
        self.server.close()
        if self.management_server:
            self.management_server.close()
        if self.offer:
            self.offer.close()
        self.upstreams.close()
        if self.gate:
            self.gate.close()
        if self.recorder:
            self.recorder.close()
        if self.meter:
            self.meter.close()
        for counter in (self.counter, self.patient):
            if counter:
                counter.close()

    # Events in, actions out

    def feed(self, event: api.Event) -> None:
        """Hands an event to the module; one that comes of carrying out an action waits its turn."""
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
        """The module failed on an event: its request is answered all the same, its timer set again."""
        if isinstance(event, api.TimerFired):
            self._set_timer(api.SetTimer(event.token, self.delays.get(event.token, 1.0)))
        elif isinstance(event, api.Request):
            self._give_up(self.held.get(event.id))
        elif isinstance(event, api.AttemptDone) and (held := self.held.get(event.request)) and not held.out:
            self._give_up(held)

    def _give_up(self, held: Held | None) -> None:
        """The answer that nobody decided: a refusal only if trying again does no harm, else a failure."""
        if held is None or held.answered:
            return
        if held.maybe and self.settings.classes[held.arrival.cls].repeat is not api.Repeat.SAFE:
            self._finish(held, 504 if held.timed_out else 502, "given up")
        else:
            self._finish(held, 503, "given up", retry_after=self.settings.max_advice)
        self.feed(api.Abandoned(held.arrival.id))

    def _finish(self, held: Held, status: int, reason: str, outcome: str = "", **answer: Any) -> None:  # noqa: ANN401
        if not held.answered:
            held.answered = True
            held.exchange.reply(status, **answer)
            self.figures.ended(held.arrival.cls, status)
            self._tell_answer(held, status, reason, outcome)
            self._forget(held)

    def _tell_answer(self, held: Held, status: int, reason: str = "", outcome: str = "") -> None:
        if self.recorder and held.attempts and status != 499 and self.recorder.records(held.arrival.cls):
            self.recorder.answered(held.arrival.id, status)
        if self.witness:
            now, arrival = self.clock.now(), held.arrival
            took = now - held.taken_at
            attempts = tuple(
                [(a.server, a.zone, a.outcome, a.delay or now - a.sent_at) for a in held.attempts]
            )
            left = arrival.timeout - took
            target = held.exchange.target[:TARGET]
            told = Final(arrival, {}, target, now, status, reason, took, left, attempts, outcome)
            self.witness.answered(told)

    def rejected(
        self, exchange: Exchange, status: int, why: str, arrival: ParsedRequest | None = None
    ) -> None:
        """A request was answered that the decisions have not seen."""
        if self.witness:
            left = arrival.timeout if arrival else 0.0
            # Whoever sent it may have sent 64 KB of headers: no more is kept of them than is told.
            fields = {name: exchange.fields[name][:TOLD] for name in NAMED if name in exchange.fields}
            target = exchange.target[:TARGET]
            self.witness.answered(
                Final(arrival, fields, target, self.clock.now(), status, why, 0.0, left, ())
            )

    def _forget(self, held: Held) -> None:
        if held.answered and held.checking and self.gate:
            held.checking = False
            self.gate.leave(held.arrival.id)
        if held.answered and not held.out:
            if held.timer:
                held.timer.cancel()
            self.held.pop(held.arrival.id, None)
            if self.meter and held.metered:
                arrived = any(attempt.outcome not in UNWRITTEN for attempt in held.attempts)
                self.meter.closed(held.arrival.id, arrived)
            held.exchange.handler_state = None  # no cycles are left behind: nothing waits for the collector
            held.attempts.clear()
            if self.ends_at is not None:
                self._end_if_done()

    # Clients

    def handle(self, exchange: Exchange, arrival: ParsedRequest) -> None:
        if arrival.id in self.held:  # ids are new with every request; two under one cannot be told apart
            exchange.reply_and_close(400, b"x-request-id: in use\n")
            self.figures.turned_away(arrival.cls, 400)
            self.rejected(exchange, 400, "x-request-id in use", arrival)
            return
        full = len(self.held) >= self.config.most_held
        unkept = self.recorder and self.recorder.refuses(arrival.cls)
        if full or unkept or (self.meter and self.meter.refuses()):
            exchange.reply(503, retry_after=self.settings.max_advice)
            self.figures.turned_away(arrival.cls, 503)
            self.rejected(exchange, 503, "too many held" if full else "not to be recorded", arrival)
            return
        now = self.clock.now()
        if self.terms:
            self._in_force(now, arrival)
        cls = self.settings.classes[arrival.cls]
        patience = min(arrival.timeout, cls.give_up)
        if now - self.born < YOUNG:  # its time runs since it was sent, which may be since the process began
            patience = max(min(patience, cls.aim), patience - (now - self.born + BOOT))
        expires_at = now + max(0.0, patience - ANSWER_ROOM)
        if self.ends_at is not None:
            expires_at = min(expires_at, self.ends_at)
        held = Held(exchange, arrival, now, expires_at)
        exchange.handler_state = held
        self.held[arrival.id] = held
        self.figures.taken()
        request = api.Request(
            id=arrival.id,
            cls=arrival.cls,
            plan=arrival.named_plan,
            customer=arrival.customer,
            entry_gateways=arrival.entry_gateways,
            expires_at=expires_at,
            units=arrival.units,
            first=arrival.first_gateway,
            check=self.gate is not None and self.gate.needs(arrival),
            retried=arrival.retried,
        )
        if self.hold is None or not self.hold(now, request, partial(self._judge, held, request)):
            self.feed(request)
        if not held.answered:  # most requests of a busy day are refused at once and need no timer
            held.timer = self.loop.call_later(max(0.0, expires_at - now), self._expire, held)

    def _in_force(self, now: float, arrival: ParsedRequest) -> None:
        """The plan that a request falls under, whatever it names."""
        if self.terms:
            name = self.terms.plan(now, arrival.customer, arrival.named_plan).name
            if name != arrival.plan_name:
                arrival.plan_name, arrival.plan = name, self.terms.numbers[name.encode()]

    def client_disconnected(self, exchange: Exchange) -> None:
        held = exchange.handler_state
        if held is not None and held.streaming:
            held.streaming = False
            self.figures.ended(held.arrival.cls, 499)
            self._tell_answer(held, 499, "client left")
            for attempt in list(held.attempts):
                if not attempt.ended:
                    self.upstreams.give_up(attempt, Outcome.CANCELLED)
        elif held is not None and not held.answered:
            held.answered = True
            self.figures.ended(held.arrival.cls, 499)
            self._tell_answer(held, 499, "client left")
            self.feed(api.Abandoned(held.arrival.id))
            # What must not run twice may end: its journal and the bill are to know how.
            if self.settings.may_cancel and self.settings.classes[held.arrival.cls].repeat is api.Repeat.SAFE:
                for attempt in list(held.attempts):
                    if not attempt.ended:
                        self.upstreams.left(attempt)
            self._forget(held)

    def _judge(self, held: Held, request: api.Request) -> None:
        """A request that was held until its quota's owner had been asked; its client may have gone meanwhile."""
        if self.held.get(request.id) is held and not held.answered:
            self.feed(request)

    def _expire(self, held: Held) -> None:
        """The client's time is up: attempts end as timed out, and what is then unanswered is answered."""
        for attempt in list(held.attempts):
            if not attempt.ended:
                self.upstreams.give_up(attempt, Outcome.TIMEOUT)
        self._give_up(held)

    # The module's actions

    def _send(self, action: api.Send) -> None:
        held = self.held.get(action.request)
        if held is None:
            log.error("the decision module sent a request that is not held")
            return
        now, endpoint = self.clock.now(), self.discovery.endpoints.get(action.server)
        number = len(held.attempts)
        held.out += 1
        if endpoint is not None and self.meter and not held.metered:
            if self.terms:  # what it costs is told by the plan of its first attempt
                self._in_force(now, held.arrival)
            held.metered = self.meter.opened(held.arrival)
        if endpoint is None or (self.meter and not held.metered):
            done = partial(self._done, held)
            attempt = Attempt(action.server, ("", 0), lambda: None, done, number=number, sent_at=now)
            held.attempts.append(attempt)
            attempt.end(Outcome.NOT_SENT)
            return
        until = min(action.until or held.expires_at, held.expires_at)

        def payload() -> Outgoing | None:
            if held.answered or not self._may_go(endpoint):
                return None
            left = until - self.clock.now()
            return self._payload(held, left) if left > 0 else None

        done, begun = partial(self._done, held), partial(self._begun, held)
        attempt = Attempt(action.server, endpoint.address, payload, done, begun, number, now)
        attempt.started_at, attempt.zone = endpoint.server.started_at, endpoint.server.zone
        attempt.kind = endpoint.server.kind
        held.attempts.append(attempt)
        if until < held.expires_at - 0.001:
            attempt.timer = self.loop.call_later(
                max(0.0, until - now), self.upstreams.give_up, attempt, Outcome.TIMEOUT
            )
        if self.recorder and self.recorder.records(held.arrival.cls):
            told = partial(self._recorded, attempt)
            self.recorder.intend(held.arrival, held.exchange, number, action.server, told)
        else:
            self.upstreams.send(attempt)

    def _recorded(self, attempt: Attempt, well: bool) -> None:
        """Only what is durable is sent; one that was given up while it waited is not."""
        if attempt.ended:
            return
        if well:
            self.upstreams.send(attempt)
        else:
            attempt.end(Outcome.NOT_SENT)

    def _may_go(self, chosen: Endpoint) -> bool:
        """Whether a host is still the one that was chosen, and not leaving for longer than is allowed."""
        endpoint = self.discovery.endpoints.get(chosen.server.id)
        if endpoint is None or endpoint.instance != chosen.instance or chosen.server.id in self.marks.out:
            return False
        since = endpoint.draining_since
        return since is None or self.clock.now() - since < self.settings.drain_grace / 2

    @staticmethod
    def _payload(held: Held, left: float) -> Outgoing:
        exchange = held.exchange
        headers = exchange.headers
        if (ruling := held.ruling) and (ruling.headers or ruling.remove):
            other = ruling.remove | {name.lower() for name, _ in ruling.headers}
            headers = [h for h in headers if h[0].lower() not in other] + list(ruling.headers)
        named = exchange.fields.get(b"connection")
        dropped = NOT_FORWARDED_HEADERS | connection_options(named) if named else NOT_FORWARDED_HEADERS
        headers = [h for h in headers if h[0].lower() not in dropped]
        return Outgoing(exchange.method, exchange.target, headers, exchange.parts, left)

    def _begun(self, held: Held, attempt: Attempt, answer: Answer, length: int | None, source: Source) -> Any:  # noqa: ANN401
        """A long answer begins: it goes to the client as it comes, and no deadline ends it from now on."""
        if held.answered:
            return None
        held.answered = held.streaming = True
        if held.timer:
            held.timer.cancel()
        held.exchange.start_stream(answer.headers, length, source)
        delay = self.clock.now() - attempt.sent_at
        self.feed(api.StreamStarted(held.arrival.id, attempt.number, delay, answer.usage))
        self.feed(api.Handed(held.arrival.id))
        return held.exchange

    def _streamed(self, held: Held, whole: bool) -> None:
        """A long answer has ended: all of it, or as much as there will be."""
        held.streaming = False
        if whole:
            held.exchange.finish()
        else:
            held.exchange.abort()
        self.figures.ended(held.arrival.cls, 200 if whole else 502)
        self._tell_answer(held, 200 if whole else 502, "" if whole else "broke in the middle")

    def _done(self, held: Held, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        """An attempt's one outcome; the first whole answer goes to the client at once."""
        held.out -= 1
        held.maybe = held.maybe or outcome not in NOT_RUN
        held.timed_out = outcome is Outcome.TIMEOUT
        if self.recorder and self.recorder.records(held.arrival.cls):
            self.recorder.ended(held.arrival.id, attempt.number, outcome)
        # What the client took to read is not the host's delay.
        attempt.delay = (attempt.streamed_at or self.clock.now()) - attempt.sent_at
        attempt.outcome = outcome
        if attempt.sink and held.streaming:
            self._streamed(held, outcome is Outcome.OK)
        elif outcome is Outcome.OK and answer and not held.answered:
            held.answered = True
            held.exchange.reply(200, answer.body, answer.headers)
            self.figures.ended(held.arrival.cls, 200)
            self._tell_answer(held, 200)
        self.feed(
            api.AttemptDone(
                request=held.arrival.id,
                attempt=attempt.number,
                outcome=outcome,
                delay=attempt.delay,
                finished=held.answered,
                usage=answer.usage if answer and not attempt.sink else None,
                report=answer.report if answer else (),
                broke=attempt.broke,
                alone=attempt.alone,
            )
        )
        self._forget(held)

    def _cancel(self, action: api.Cancel) -> None:
        held = self.held.get(action.request)
        if held and 0 <= action.attempt < len(held.attempts) and not held.attempts[action.attempt].ended:
            self.upstreams.give_up(held.attempts[action.attempt], Outcome.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        if held := self.held.get(action.request):
            self._finish(held, 503, action.reason, retry_after=action.advice)

    def _fail(self, action: api.Fail) -> None:
        if held := self.held.get(action.request):
            self._finish(held, 504 if held.timed_out else 502, "failed")

    def _set_timer(self, action: api.SetTimer) -> None:
        self.delays[action.token] = action.delay
        self.loop.call_later(max(0.0, action.delay), self.feed, api.TimerFired(action.token))

    def _probe(self, action: api.Probe) -> None:
        endpoint, started = self.discovery.endpoints.get(action.server), self.clock.now()

        def ended(attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
            report = answer.report if answer else ()
            self.feed(api.ProbeDone(action.server, outcome, self.clock.now() - started, report))

        alive = Outgoing(b"GET", b"/alive", [(b"Host", action.server.encode())])
        attempt = Attempt(action.server, endpoint.address if endpoint else ("", 0), lambda: alive, ended)
        if endpoint is None:
            attempt.end(Outcome.NOT_SENT)
            return
        attempt.started_at, attempt.kind = endpoint.server.started_at, endpoint.server.kind
        attempt.timer = self.loop.call_later(
            self.config.connect_timeout, self.upstreams.give_up, attempt, Outcome.TIMEOUT
        )
        self.upstreams.send(attempt)

    def _count(self, action: api.Count) -> None:
        counter = self.patient if action.patient else self.counter
        if counter is None:
            self.feed(api.CounterReply(action.name, False, 0.0))
        else:
            counter.add(action.name, action.amount, action.lifetime)

    # Authorisers

    def _check(self, action: api.Check) -> None:
        held = self.held.get(action.request)
        if held is None or self.gate is None:
            self.feed(api.Checked(action.request, api.Verdict.NO_ANSWER))
            return
        held.checking = True
        left = held.expires_at - self.clock.now()
        self.gate.ask(held.arrival, held.exchange, left, partial(self._ruled, held))

    def _ruled(self, held: Held, ruling: Ruling) -> None:
        if held.checking:
            held.checking, held.ruling = False, ruling
            self.feed(api.Checked(held.arrival.id, ruling.verdict))

    def _deny(self, action: api.Deny) -> None:
        held = self.held.get(action.request)
        if held and held.ruling:
            ruling, wait = held.ruling, 0.0
            if ruling.status in (429, 503) and not any(
                n.lower() == b"retry-after" for n, _ in ruling.headers
            ):
                wait = self.settings.max_advice
            self._finish(
                held, ruling.status, ruling.why, "denied",
                body=ruling.body, headers=list(ruling.headers), retry_after=wait,
            )  # fmt: skip

    # The list of hosts

    def _listed(self, kind: api.ListKind, servers: tuple[api.Server, ...], stale: list[HostInstance]) -> None:
        for place in stale:
            self.upstreams.retire(place)
        if self.config.management:
            for server in servers:
                self.seen[server.id] = None
                self.seen.move_to_end(server.id)
            while len(self.seen) > SEEN:
                self.seen.popitem(last=False)
        self.feed(api.ServerList(kind, servers))

    # The end

    def stop(self) -> None:
        """SIGTERM: new connections may come for a while; what was taken is answered; then it ends."""
        if self.ends_at is not None:
            return
        log.info("stopping")
        self.ready = False
        last = min(DEADLINE, max(c.give_up for c in self.settings.classes)) - BEFORE
        self.ends_at = self.clock.now() + last
        self.server.drain()
        # Idle connections are left alone for a while: who asks on one in that time is served and told to go,
        # where closing it at once would cross the request.
        self.loop.call_later(min(ACCEPT, last), self._linger)
        if not self.ceded:
            self.loop.call_later(min(ACCEPT + CROSSED, last), self._stop_accepting)
        self.loop.call_later(last, self._end)

    def _stop_accepting(self) -> None:
        self.server.stop_accepting()
        self.accepting_ended = True

    def _linger(self) -> None:
        """Closes idle connections until none is left; one with an unread request is served first."""
        self.server.close_idle()
        self._end_if_done()
        if not self.stopped.done():
            self.loop.call_later(0.05, self._linger)

    def _end_if_done(self) -> None:
        if self.accepting_ended and not self.server.connections:
            self._ended()

    def _end(self) -> None:
        for held in list(self.held.values()):
            self._expire(held)
        self.server.close_idle()
        self.loop.call_later(FLUSH, self._ended)

    def _ended(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)
