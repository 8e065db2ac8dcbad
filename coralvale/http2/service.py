"""Sockets of HTTP/2 to hosts, beside those of HTTP/1.1. `connection` and `pool` make the decisions."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from coralvale.http2 import pool
from coralvale.http2.connection import Connection
from coralvale.http2.model import (
    Answered,
    Closed,
    Closing,
    Data,
    Event,
    Failed,
    Fate,
    Head,
    Limits,
    Ready,
    RequestError,
    Sent,
)
from coralvale.interface import Outcome
from coralvale.net.config import HostInstance
from coralvale.net.transport import Attempt
from coralvale.net.upstream import (
    MAX_BUFFERED_BYTES,
    STREAM_STALL_TIMEOUT_S,
    UNKNOWN_LENGTH_WAIT_S,
    Upstreams,
    make_answer,
    outcome_of,
)
from coralvale.operator.model import Http2 as Table
from coralvale.operator.model import OperatorError

log = logging.getLogger(__name__)
CLOSE_TIMEOUT_S = 1.0  # for writing the last bytes of a connection that has ended
TICK_S = 0.02  # between checks of timeouts


@dataclass(slots=True, eq=False)
class Call:
    """An attempt on a connection, and the source of its answer when that is streamed to the client."""

    attempt: Attempt
    link: Link
    key: int
    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    length: int | None = None
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    credit: int = 0  # flow control bytes not returned to the host while the client is slow
    paused: bool = False
    headers_at: float = 0.0
    received_at: float = 0.0

    def pause(self) -> None:
        """Stops returning flow control window to the host, as the client reads slowly."""
        self.paused = True

    def resume(self) -> None:
        """Returns the withheld window to the host, as the client reads again."""
        if self.paused:
            self.paused, self.received_at = False, self.link.owner.clock.now()
            credit, self.credit = self.credit, 0
            self.link.machine.consumed(self.key, credit)
            self.link.pump()


class Link(asyncio.Protocol):
    """The socket of one connection."""

    def __init__(self, owner: Transport, place: HostInstance) -> None:
        self.owner, self.place = owner, place
        self.machine = Connection(owner.limits, b"https" if owner.tls else b"http")
        self.calls: dict[int, Call] = {}
        self.transport: Any = None
        self.write_paused = self.pumping = self.disconnected = False
        self.break_reported = False  # an attempt has reported that the connection broke
        self.last_key = 0
        self.why = ""
        self.idle_since: float | None = None

    def load(self) -> pool.ConnectionLoad:
        """Returns what `pool` needs to choose a connection."""
        machine = self.machine
        closing = machine.closing or machine.closed or self.disconnected
        return pool.ConnectionLoad(
            machine.free_streams, len(machine.waiting), machine.ready, closing, self.idle_since
        )

    # The socket

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        if self.disconnected or self.machine.closed:  # abandoned or retired while connecting
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)
        if (tls := transport.get_extra_info("ssl_object")) and tls.selected_alpn_protocol() != "h2":
            self.why = "it did not agree to h2"
            transport.abort()
            return
        self.machine.start(self.owner.clock.now())
        self.pump()

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self.pump()

    def data_received(self, data: bytes) -> None:
        self.machine.receive(self.owner.clock.now(), data)
        self.pump()

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(self.why or "connection lost")

    def fail(self, why: str) -> None:
        """Ends all requests: the connection is lost or could not be made."""
        if not self.disconnected:
            self.disconnected = True
            self.machine.lost(why)
            self.pump()
            self.owner.link_closed(self)

    # Attempts

    def start(self, attempt: Attempt) -> None:
        """Queues an attempt on this connection."""
        if (payload := attempt.payload()) is None:
            attempt.end(Outcome.NOT_SENT)
            return
        self.last_key += 1
        call = Call(attempt, self, self.last_key)
        deadline = self.owner.clock.now() + self.owner.queue_timeout
        headers = payload.headers
        if payload.time_left is not None:
            headers = [*headers, (b"x-timeout", b"%.3f" % payload.time_left)]
        try:
            self.machine.request(call.key, payload.method, payload.target, headers, payload.body, deadline)
        except RequestError as error:
            log.warning("request cannot be sent over HTTP/2: %s", error)
            attempt.end(Outcome.NOT_SENT)
            return
        self.calls[call.key], attempt.connection, self.idle_since = call, call, None
        self.pump()

    def give_up(self, call: Call, outcome: Outcome) -> None:
        """Cancels a request; its attempt ends as NOT_SENT if it was not run, else with `outcome`."""
        self.calls.pop(call.key, None)
        fate = self.machine.cancel(call.key)
        call.attempt.end(Outcome.NOT_SENT if fate is Fate.NOT_RUN else outcome)
        self.pump()

    def pump(self) -> None:
        """Handles the events of the state machine and writes its bytes, until there are none left."""
        if self.pumping:
            return
        self.pumping = True
        try:
            while True:
                for event in self.machine.take_events():
                    self._handle_event(event)
                if (
                    self.transport is None
                    or self.write_paused
                    or self.disconnected
                    or self.transport.is_closing()
                ):
                    if not self.machine.events:
                        break
                    continue
                data = self.machine.bytes_to_send()
                if data:
                    self.transport.write(data)
                elif not self.machine.events:
                    break
        finally:
            self.pumping = False
        if not self.calls and self.idle_since is None:
            self.idle_since = self.owner.clock.now()
        if self.machine.closed and self.transport and not self.transport.is_closing():
            self.transport.close()  # written bytes are still sent, if the host reads them
            self.owner.loop.call_later(CLOSE_TIMEOUT_S, self.transport.abort)

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, Closed | Closing):
            if isinstance(event, Closed) and event.code:
                log.warning("host %s: connection ended: %s", self.place[0], event.why)
            self.why = self.why or event.why
            return
        if isinstance(event, Ready):
            return
        call = self.calls.get(event.key)
        if call is None:
            return
        if isinstance(event, Sent):
            self.owner.sent += 1
        elif isinstance(event, Head):
            self._handle_head(call, event)
        elif isinstance(event, Data):
            self._data(call, event)
        elif isinstance(event, Answered):
            self._complete(call)
        elif isinstance(event, Failed):
            del self.calls[call.key]
            self._failed(call, event)

    def _failed(self, call: Call, event: Failed) -> None:
        if event.fate is Fate.UNKNOWN:
            self.owner.unknown += 1
            # A broken connection counts as one break, however many requests it carried.
            call.attempt.broke, call.attempt.alone = self.machine.closed, not self.break_reported
            self.break_reported = self.machine.closed
            call.attempt.end(Outcome.RESET)
        elif event.by_host:  # the host is healthy but takes no more requests for now
            self.owner.not_run += 1
            call.attempt.end(Outcome.FULL)
        elif not self.machine.ready and self.machine.closed:
            self.owner.http2_unavailable(self, call.attempt)
        else:
            call.attempt.end(Outcome.NOT_SENT)

    def _handle_head(self, call: Call, event: Head) -> None:
        call.status, call.headers = event.status, event.headers
        call.headers_at = call.received_at = self.owner.clock.now()
        for name, value in event.headers:
            if name == b"content-length" and value.isdigit() and len(value) < 16:
                call.length = int(value)
        if call.length is None and call.status == 200:
            self.owner.loop.call_later(UNKNOWN_LENGTH_WAIT_S, self._stop_buffering, call)
        if call.length is not None and call.length > MAX_BUFFERED_BYTES:
            self._stream_on(call)

    def _stop_buffering(self, call: Call) -> None:
        if self.calls.get(call.key) is call and call.attempt.sink is None:
            self._stream_on(call)
            self.pump()

    def _data(self, call: Call, event: Data) -> None:
        call.received_at = self.owner.clock.now()
        call.size += len(event.data)
        call.body.append(event.data)
        if call.paused:
            call.credit += event.credit
        else:
            self.machine.consumed(call.key, event.credit)
        if call.attempt.sink or call.size > MAX_BUFFERED_BYTES:
            self._stream_on(call)

    def _stream_on(self, call: Call) -> None:
        attempt, owner = call.attempt, self.owner
        if attempt.sink is None:
            answer = make_answer(call.status, call.headers, b"", owner.report_fields)
            sink = None
            if call.status == 200 and attempt.on_stream:
                sink = attempt.on_stream(attempt, answer, call.length, call)
            if sink is None:
                self.give_up(call, Outcome.ERROR)
                return
            attempt.sink, attempt.streamed_at = sink, call.received_at
            if attempt.timer:
                attempt.timer.cancel()
        body, call.body = call.body, []
        if body:
            attempt.sink.write(body)

    def _complete(self, call: Call) -> None:
        del self.calls[call.key]
        body = b"" if call.attempt.sink else b"".join(call.body)
        answer = make_answer(call.status, call.headers, body, self.owner.report_fields)
        call.attempt.end(outcome_of(answer), answer)

    def tick(self, now: float) -> None:
        """Checks timeouts, also those of stalled streams. `now` is the transport's clock, in seconds."""
        self.machine.tick(now)
        for call in [c for c in self.calls.values() if c.attempt.sink and not c.paused]:
            if now - call.received_at > STREAM_STALL_TIMEOUT_S:
                self.give_up(call, Outcome.RESET)
        self.pump()


class Transport:
    """The `Transport` of HTTP/2. Hosts without HTTP/2 are served by `plain` or not at all, as the table says.

    Connections count towards the same limit as those of `plain`.
    """

    def __init__(self, table: Table, plain: Upstreams, kinds: Sequence[str] = ()) -> None:
        """`kinds` are the kinds of hosts in the settings. Raises OperatorError if the table names another."""
        for name in table.kinds:
            if name not in kinds:
                raise OperatorError(
                    f"http2.kinds: {name!r} is not in the settings; they have {', '.join(kinds)}"
                )
        self.kinds = frozenset(kinds.index(name) for name in table.kinds)
        self.table, self.plain, self.clock = table, plain, plain.clock
        self.limits = Limits(
            streams=table.streams, ping_after_s=table.ping_after_s, ping_timeout_s=table.ping_wait_s
        )
        self.queue_timeout, self.report_fields = table.wait_ms / 1000, plain.report_fields
        self.tls = ssl_context(table)
        self.loop = asyncio.get_running_loop()
        self.links: dict[HostInstance, list[Link]] = {}
        self.without_http2: set[HostInstance] = set()  # hosts that do not speak HTTP/2
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent = self.not_run = self.unknown = 0
        self.timer = self.loop.call_later(TICK_S, self._tick)

    @property
    def written(self) -> int:
        """Requests written by this transport and `plain`."""
        return self.sent + self.plain.written

    def stats(self) -> str:
        """Returns the metrics of `plain` and of HTTP/2, one a line."""
        links = [link for links in self.links.values() for link in links]
        figures = {
            "http2_connections": len(links),
            "http2_streams": sum(len(link.machine.streams) for link in links),
            "http2_waiting": sum(len(link.machine.waiting) for link in links),
            "http2_not_run": self.not_run,
            "http2_unknown": self.unknown,
            "http2_hosts_without": len(self.without_http2),
        }
        return self.plain.stats() + "".join(f"{name}={count}\n" for name, count in figures.items())

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt over a connection to its host, opening one if needed, or over `plain`."""
        place = attempt.place
        other = self.kinds and attempt.kind not in self.kinds
        if other or (place in self.without_http2 and self.table.without == "http1"):
            self.plain.send(attempt)
            return
        links = self.links.setdefault(place, [])
        chosen = pool.choose([link.load() for link in links], self.table.connections, self.limits.streams)
        if isinstance(chosen, int):
            links[chosen].start(attempt)
        elif chosen is pool.Fallback.OPEN and self.plain.make_room():
            link = Link(self, place)
            links.append(link)
            self.plain.open += 1
            task = self.loop.create_task(self._connect(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            link.start(attempt)
        else:
            attempt.end(Outcome.NOT_SENT)

    async def _connect(self, link: Link) -> None:
        name = (self.table.tls.server_name or link.place[2][0]) if self.table.tls else None
        try:
            async with asyncio.timeout(self.plain.connect_timeout):
                await self.loop.create_connection(
                    lambda: link, *link.place[2], ssl=self.tls, server_hostname=name
                )
                while not link.machine.ready and not link.disconnected:  # a silent host counts as unreachable
                    await asyncio.sleep(TICK_S)
        except (OSError, TimeoutError) as error:
            link.why = link.why or f"no connection: {error}"
            if link.transport:
                link.transport.abort()
            link.fail(link.why)

    def http2_unavailable(self, link: Link, attempt: Attempt) -> None:
        """Handles an attempt whose connection ended before the first SETTINGS: nothing was written."""
        if link.why in ("it does not speak HTTP/2", "it did not agree to h2"):
            if link.place not in self.without_http2:
                self.without_http2.add(link.place)
                log.warning("host %s: %s; %s", link.place[0], link.why, self.table.without)
            if self.table.without == "http1":
                attempt.connection = None
                self.loop.call_soon(self.plain.send, attempt)
                return
        attempt.end(Outcome.CONNECT_FAILED)

    def link_closed(self, link: Link) -> None:
        """Removes a connection that has ended."""
        self.plain.open -= 1
        links = self.links.get(link.place, [])
        if link in links:
            links.remove(link)
        if not links:
            self.links.pop(link.place, None)

    def abort(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt with an outcome."""
        call = attempt.connection
        if isinstance(call, Call):
            call.link.give_up(call, outcome)
        else:
            self.plain.abort(attempt, outcome)

    def abandon(self, attempt: Attempt) -> None:
        """Cancels an attempt over HTTP/2."""
        if isinstance(attempt.connection, Call):
            attempt.connection.link.give_up(attempt.connection, Outcome.CANCELLED)

    def retire(self, place: HostInstance) -> None:
        """Closes the connections to a host that is leaving, once their streams have finished."""
        self.without_http2.discard(place)
        for link in list(self.links.get(place, [])):
            link.machine.retire("the host is leaving")
            link.pump()
        self.plain.retire(place)

    def close(self) -> None:
        """Aborts all connections and closes `plain`."""
        self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for links in list(self.links.values()):
            for link in list(links):
                if link.transport:
                    link.transport.abort()
                link.fail("gateway shutting down")
        self.plain.close()

    def _tick(self) -> None:
        self.timer = self.loop.call_later(TICK_S, self._tick)
        now = self.clock.now()
        for links in list(self.links.values()):
            for number in pool.idle_connections([link.load() for link in links], now, self.table.idle_s):
                links[number].machine.retire("idle")
            for link in list(links):
                if link.machine.load or link.machine.closing:
                    link.tick(now)


def ssl_context(table: Table) -> ssl.SSLContext | None:
    """Returns a TLS context for h2 alone (RFC 9113, 3.2). Raises OperatorError for an unusable file."""
    if table.tls is None:
        return None
    try:
        made = ssl.create_default_context(cafile=table.tls.ca or None)
    except (OSError, ssl.SSLError) as error:
        raise OperatorError(f"http2.tls.ca: {table.tls.ca}: {error}") from None
    made.set_alpn_protocols(["h2"])
    return made
