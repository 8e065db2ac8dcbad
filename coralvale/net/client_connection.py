"""A client's connection: reads and frames its requests, writes their answers in order, and ends by `net.closing`.

Times are in seconds.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from itertools import islice
from typing import TYPE_CHECKING, Any

import httptools

from coralvale.net.closing import Delivery, Phase, answer_is_last, may_close
from coralvale.net.endings import ConnectionEnd, EndCause, RequestInHand
from coralvale.net.exchange import REASONS, Exchange

if TYPE_CHECKING:
    from coralvale.net.server import Server

MAX_PIPELINED = 16  # unanswered requests of one connection, from which on no more are taken from it
MAX_PIPELINED_BYTES = 256 * 1024  # held by unanswered requests of one connection, to the same effect
MAX_UNREAD_ANSWER_BYTES = 256 * 1024  # of whole answers that a client does not read, to the same effect
# That is parsed of a connection in one turn of the event loop, but for a body with a length: small chunks cost
# far more time than their bytes do.
PARSED_PER_TURN_BYTES = 16 * 1024
NO_INPUT = memoryview(b"")
HELD_STEP_BYTES = 16 * 1024  # of which multiples are charged for a request that is being read
# Lowest average rate of a body that takes longer than HEAD_TIMEOUT_S; the protocol asks for 64,000
# after the first 2 s.
MIN_BODY_BYTES_PER_S = 50_000
STREAM_SEND_BUFFER_BYTES = 256 * 1024  # SO_SNDBUF of a connection with a streamed answer
JOINED_BYTES = 64 * 1024  # of an answer, up to which joining its parts costs less than writing them singly
WRITE_TIMEOUT_S = 10.0  # for a client that does not read its answer
# Lowest average rate, over WRITE_TIMEOUT_S, at which a client may read an answer that waits for it. The kernel
# reports what was read in steps of a hundred kilobytes or so.
MIN_READ_BYTES_PER_S = 10_000


class ClientConnection(asyncio.Protocol):
    """A client connection. Answers are sent in the order of the requests."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None  # while requests are read
        self.exchanges: deque[Exchange] = deque()
        self.reading: Exchange | None = None
        self.complete: deque[Exchange] = deque()  # read completely and not handled yet
        self.active_at = self.opened_at = self.server.clock.monotonic()
        self.message_began_at = 0.0
        self.buffered_bytes = 0  # of answers not yet sent, as last counted against the bounds
        self.written_bytes = 0  # handed to the transport
        self.taken_bytes = 0  # of these, passed on by the transport when its progress was last checked
        self.headers_complete_at = 0.0  # of the request that is being read
        self.has_requested = False  # whether a complete request was ever received
        self.size = self.head_size = 0
        self.in_body = self.in_chunks = False
        self.has_progress = False  # whether the piece that was parsed last brought a part of the body
        # Parsed since the body last grew: the parser keeps a trailer line until it ends.
        self.framing_bytes = 0
        self.input = NO_INPUT  # that has come and is not parsed yet
        self.input_charge = 0  # of it, charged to the memory of clients
        self.is_parsing = self.parse_scheduled = False
        self.error_status = 0  # status of the last answer, which closes the connection; 0 if none
        self.phase = Phase.OPEN
        self.read_paused = self.write_paused = False
        self.over_limit = False  # above `max_connections`: answered with 503 and closed
        self.delivered_at: float | None = None  # once the client has all bytes of a finishing connection
        self.end: ConnectionEnd | None = None  # once it is decided

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.update_idle()

    # Reading

    def data_received(self, data: bytes) -> None:
        if self.phase is not Phase.OPEN:
            return  # behind the last request, or a malformed one that cannot be framed
        self.active_at = self.server.clock.monotonic()
        self.server.idle_connections.pop(self, None)
        self.input = memoryview(bytes(self.input) + data if self.input else data)
        self._parse_input()

    def _parse_input(self) -> None:
        """Parses a piece of the input, if more requests may be taken; what is left waits, and reading with it."""
        if self.phase is Phase.OPEN and self.input and self._may_take_more():
            self.is_parsing = True
            try:
                self._parse(self._next_piece())
                self._handle_complete()
            finally:
                self.is_parsing = False
        if self.phase is Phase.OPEN:
            if self.error_status:
                self._reply_error()
            elif self.server.refusing:
                self.stop_reading()
        if self.phase is not Phase.OPEN:
            self._drop_input()
            self.update_idle()
            return
        self._charge_input()
        if self.input:
            self._pause_reading()
            self._resume_input()
        elif self.read_paused:
            self._resume_input()
        self.update_idle()

    def _parse_scheduled(self) -> None:
        self.parse_scheduled = False
        if self in self.server.connections and self.transport and not self.transport.is_closing():
            self._parse_input()

    def _may_take_more(self) -> bool:
        """Whether more may be taken of the connection, by what is in hand and what its client has not read."""
        if len(self.exchanges) >= MAX_PIPELINED:
            return False
        if sum(exchange.held_bytes for exchange in self.exchanges) > MAX_PIPELINED_BYTES:
            return False
        return self.buffered_bytes <= MAX_UNREAD_ANSWER_BYTES or self._is_streaming()

    def _is_streaming(self) -> bool:
        return bool(self.exchanges and self.exchanges[0].source)

    def _next_piece(self) -> memoryview:
        """Takes from the input what is to be parsed in this turn."""
        piece = self.input
        if self.in_chunks or not self.in_body:
            piece = piece[:PARSED_PER_TURN_BYTES]
        self.input = self.input[len(piece) :] if len(piece) < len(self.input) else NO_INPUT
        return piece

    def _parse(self, piece: memoryview) -> None:
        if not self.in_body:
            self.head_size += len(piece)  # on_header does not see a header that does not end
        self.has_progress = False
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not (self.complete and self.complete[-1].final):  # what is behind the last request is ignored
                self.error_status = self.error_status or 400
        if self.reading is None or self.error_status:
            return
        limits = self.server.limits
        self.framing_bytes = 0 if self.has_progress or not self.in_chunks else self.framing_bytes + len(piece)
        if (not self.in_body and self.head_size > limits.max_head_bytes) or (
            self.framing_bytes > limits.max_head_bytes
        ):
            self.error_status = limits.large_head_status
        elif not self._hold_reading(self.reading):
            self.error_status = 503

    def _hold_reading(self, exchange: Exchange) -> bool:
        """Charges what the request that is being read holds, in the parser too; False if it is refused."""
        needed = exchange.needed_bytes() + self.framing_bytes
        if not self.in_body:
            needed += self.head_size
        if needed <= exchange.held_bytes:
            return True
        return exchange.hold(-(-needed // HELD_STEP_BYTES) * HELD_STEP_BYTES)

    def _charge_input(self) -> None:
        """Charges input that waits, with its parsed part, which is in the same piece of memory.

        It is dropped, with what is being read, if there is no room for it.
        """
        size = len(memoryview(self.input.obj)) if self.input else 0
        more, self.input_charge = size - self.input_charge, size
        if more <= 0:
            self.server.memory.charge(more)
        elif not self.server.memory.charge_and_reclaim(self, more):
            self.shed()

    def _drop_input(self) -> None:
        """Ends parsing: drops input as if it were still in the kernel, and what the parser holds.

        The parser refers to this connection: without this both would stay until the cyclic garbage collection.
        """
        self.parser = None
        self.input = NO_INPUT
        self.server.memory.charge(-self.input_charge)
        self.input_charge = 0

    def _resume_input(self) -> None:
        """Goes on with the input, and with reading once all of it is parsed, if more may be taken."""
        if self.phase is not Phase.OPEN or self.parse_scheduled or not self._may_take_more():
            return
        if self.input:
            self.parse_scheduled = True
            self.server.loop.call_soon(self._parse_scheduled)
        elif self.read_paused and self.transport:
            self.read_paused = False
            self.transport.resume_reading()

    def _handle_complete(self) -> None:
        """Hands complete requests to the server, up to the last one of the connection."""
        while self.complete and self.phase is Phase.OPEN:
            exchange = self.complete.popleft()
            self.exchanges.append(exchange)
            if exchange.final:
                self.phase = Phase.LAST_READ
            if exchange.hold(exchange.needed_bytes()):
                self.server.handle_request(exchange)
            else:
                exchange.reply(503, retry_after=self.server.max_advice)
                self.server.handler.rejected(exchange, 503, "too much memory is held")
        for exchange in self.complete:
            exchange.release()
        self.complete.clear()

    def _pause_reading(self) -> None:
        if self.transport and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def stop_reading(self) -> None:
        """Reads no further request, if one is in hand and none has come in part."""
        if self.phase is Phase.OPEN and self.exchanges and self.reading is None:
            self.phase = Phase.LAST_READ
            self._pause_reading()

    def _reply_error(self) -> None:
        """Queues an error as the last answer. Nothing more is read, as a large body may follow (60 MB)."""
        self._pause_reading()
        self._drop_input()
        if self.reading:
            self.reading.release()
        exchange = Exchange(self)
        exchange.final = True
        self.phase = Phase.LAST_READ
        self.exchanges.append(exchange)
        exchange.reply(
            self.error_status, retry_after=self.server.max_advice if self.error_status == 503 else 0.0
        )
        self.server.handler.rejected(
            self.reading or exchange, self.error_status, REASONS[self.error_status].lower()
        )

    def answer_unfinished(self) -> list[RequestInHand]:
        """Has each request in hand answered that has no answer, and refuses one that is read in part.

        An answer that has begun goes on. Returns the requests that were in hand without an answer.
        """
        handler = self.server.handler
        unanswered = [exchange for exchange in self.exchanges if exchange.head is None]
        given_up = [handler.describe(exchange) for exchange in unanswered]
        for exchange in unanswered:
            handler.give_up(exchange)
        if self.reading and self.phase is Phase.OPEN:
            self.error_status = 503
            self._reply_error()
            self.reading = None
        return given_up

    def sheddable_bytes(self) -> int:
        """What `shed` would free."""
        if self.transport is None or self.transport.is_closing():
            return 0
        if self.phase is Phase.OPEN and (self.reading or self.input):
            return self.input_charge + (self.reading.held_bytes if self.reading else 0)
        return self.buffered_bytes if self._has_unread_answers() else 0

    def _has_unread_answers(self) -> bool:
        """Whether whole answers wait since the client does not read: the kernel takes no more."""
        return self.write_paused and not self._is_streaming()

    def may_be_shed(self) -> bool:
        """Whether it is not parsing: it must not change then."""
        return not self.is_parsing

    def shed(self) -> None:
        """Frees what the table of `coralvale.net.memory` lets go, as clients hold too much memory."""
        if self.phase is Phase.OPEN and self.reading:
            self.error_status = 503
            self._reply_error()
            self.reading = None
        elif self.phase is Phase.OPEN and self.input:
            self.phase = Phase.LAST_READ
            self._drop_input()
            if not self.exchanges:
                self.finish(EndCause.MEMORY)
        elif self._has_unread_answers():
            self.cut(EndCause.MEMORY)
            self._release_answers()

    def update_idle(self) -> None:
        """Puts the connection on the list of idle ones if it is idle. The one idle longest is evicted first."""
        if self.is_idle():
            self.server.idle_connections[self] = None

    def reject_timed_out(self) -> None:
        """Answers 408 to a request that did not arrive completely in time."""
        self.error_status = 408
        self._reply_error()
        self.reading = None

    def is_too_slow(self, now: float) -> bool:
        """Whether the request that is being read arrives more slowly than is allowed.

        Not while earlier requests of the connection are unanswered.
        """
        if not self.reading or self.exchanges:
            return False
        if self.in_body:
            return (
                now - self.headers_complete_at
                > self.server.limits.head_timeout + self.size / MIN_BODY_BYTES_PER_S
            )
        return now - self.message_began_at > self.server.limits.head_timeout

    def on_message_begin(self) -> None:
        self.reading = Exchange(self)
        self.message_began_at = self.server.clock.monotonic()
        self.size, self.in_body, self.in_chunks = 0, False, False
        self.framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        assert self.reading is not None
        self.reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        exchange, lower, value = self.reading, name.lower(), value.strip(b" \t")  # RFC 9110, section 5.5
        assert exchange is not None
        if self.in_body:  # a trailer: of no use to hosts, and must not replace a header
            return
        self.size += len(name) + len(value)
        if self.size > self.server.limits.max_head_bytes:
            self.error_status = self.server.limits.large_head_status
            raise ValueError("too many headers")
        if lower in self.server.kept_headers:
            twice = lower in exchange.fields and lower in self.server.single_value_headers
            exchange.fields[lower] = b"" if twice else value  # two values count as none
        exchange.headers.append(name, value)

    def on_headers_complete(self) -> None:
        exchange = self.reading
        assert exchange is not None
        exchange.method = self.parser.get_method()
        exchange.http_1_0 = self.parser.get_http_version() == "1.0"
        self.size, self.in_body = 0, True
        self.headers_complete_at = self.server.clock.monotonic()
        length = exchange.fields.get(b"content-length", b"0")
        if b"transfer-encoding" in exchange.fields:
            # With Content-Length as well, the body may hide a second request (request smuggling).
            coding = exchange.fields[b"transfer-encoding"].strip().lower()
            self.in_chunks = True
            if b"content-length" in exchange.fields or coding != b"chunked":
                self.error_status = 400
        elif not length.strip().isdigit():  # a sign, a list, or two headers
            self.error_status = 400
        elif len(length.strip()) > 9 or int(length) > self.server.limits.max_body_bytes:
            self.error_status = 413
        else:
            self.error_status = self.server.early_rejection_status(exchange)
        if self.error_status:
            raise ValueError("the length cannot be used")  # stops the parser before the body
        if exchange.fields.get(b"expect", b"").lower() == b"100-continue" and not (
            self.exchanges or self.complete
        ):
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        assert self.reading is not None
        self.has_progress = True
        self.size += len(body)
        if self.size > self.server.limits.max_body_bytes:
            self.error_status = 413
            raise ValueError("the body cannot be kept")
        self.reading.received.append(body)

    def on_message_complete(self) -> None:
        exchange, self.reading = self.reading, None
        self.head_size, self.in_body, self.in_chunks = 0, False, False
        if exchange is None or self.error_status:
            return
        self.has_requested = True
        # A proxy keeps no connection of an HTTP/1.0 client (RFC 9112, appendix C.2.2).
        exchange.final = exchange.http_1_0 or not self.parser.should_keep_alive()
        self.complete.append(exchange)

    # Writing

    def flush(self) -> None:
        """Writes the answers that are next in order, as far as they are known."""
        if self.transport is None or self.transport.is_closing() or self.phase is Phase.FINISHING:
            return
        while self.exchanges and (head := self.exchanges[0].head) is not None:
            exchange = self.exchanges[0]
            self.active_at = self.server.clock.monotonic()
            if not exchange.started:
                exchange.started = True
                self._write_head(exchange, head)
            self._write_pending(exchange)
            if exchange.source:  # more of the answer follows
                if not self.write_paused:
                    exchange.source.resume()
                return
            self.exchanges.popleft().release()
        if self.buffered_bytes or self.exchanges or self.write_paused:
            self.update_buffered()
            if self.transport.is_closing():  # it was shed
                return
        if self.phase is Phase.LAST_READ and not self.exchanges:
            self.finish(self._final_cause())
            return
        self.update_idle()
        if not self.is_parsing and self.read_paused:
            self._resume_input()

    def _write_head(self, exchange: Exchange, head: bytes) -> None:
        """Writes the head of an answer, and announces there if it is the last one."""
        assert self.transport is not None
        in_hand = len(self.exchanges) + len(self.complete)
        is_last = answer_is_last(
            self.phase,
            self.over_limit or self.server.closing,
            in_hand,
            self.reading is not None,
            self.has_unread,
        )
        if is_last and self.phase is Phase.OPEN:
            self.phase = Phase.LAST_READ
            self._pause_reading()
        if exchange.source:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_SEND_BUFFER_BYTES)
        exchange.pending[:0] = [head, b"Connection: close\r\n\r\n" if is_last else b"\r\n"]

    def _write_pending(self, exchange: Exchange) -> None:
        if not exchange.pending:
            return
        assert self.transport is not None
        size = sum(map(len, exchange.pending))
        self.written_bytes += size
        if size <= JOINED_BYTES:
            self.transport.write(b"".join(exchange.pending))
        else:
            self.transport.writelines(exchange.pending)
        exchange.pending = []

    def record_end(self, cause: EndCause) -> ConnectionEnd:
        """Records why the connection ends, and what is in hand; the first cause counts."""
        if self.end is None:
            unwritten = sum(len(data) for exchange in self.exchanges for data in exchange.pending)
            self.end = ConnectionEnd(
                cause,
                len(self.exchanges),
                self.reading is not None,
                self.unsent_bytes() + unwritten,
                self.transport is not None and self.has_unread(),
                self._requests_in_hand(),
                self.server.closing,
            )
        return self.end

    def cut(self, cause: EndCause) -> None:
        """Resets the connection, whatever is in hand or unsent."""
        if self.transport is None:
            return
        if self.phase is Phase.FINISHING and self.unsent_bytes():
            self.end = None  # it did not end as was decided
        self.record_end(cause)
        self.transport.abort()

    def _requests_in_hand(self) -> tuple[RequestInHand, ...]:
        describe = self.server.handler.describe
        return tuple(describe(exchange) for exchange in islice(self.exchanges, MAX_PIPELINED))

    def _final_cause(self) -> EndCause:
        if self.error_status:
            return EndCause.TIMED_OUT_REQUEST if self.error_status == 408 else EndCause.INVALID_REQUEST
        return EndCause.SHUTDOWN if self.server.closing else EndCause.FINAL_ANSWER

    def finish(self, cause: EndCause) -> None:
        """Ends the connection once its client has received all that was written."""
        assert self.transport is not None
        end = self.record_end(cause)
        self.phase = Phase.FINISHING
        self.server.idle_connections.pop(self, None)
        if not (self.error_status or end.partly_read or end.unsent_bytes or end.unread):
            self.transport.close()
            return
        self._pause_reading()
        self.active_at = self.server.clock.monotonic()
        self._take_progress()  # what the client acknowledges counts from here on
        self.transport.write_eof()
        self.server.linger(self)

    def unsent_bytes(self) -> int:
        """Bytes written that the client's kernel has not acknowledged."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size() + self.server.sockets.unacknowledged(self.transport)

    def check_delivery(self, now: float) -> None:
        """Closes a finishing connection if it may be closed, or if its client has reset it."""
        if self.transport is None:
            return
        if self.server.sockets.was_reset(self.transport):
            self.transport.abort()
            return
        unsent = self.unsent_bytes()
        if not unsent and self.delivered_at is None:
            self.delivered_at = now
        closed = self.server.sockets.closed_by_peer(self.transport)
        waited = now - self.delivered_at if self.delivered_at is not None else 0.0
        if may_close(Delivery(unsent, closed, waited)):
            self.transport.close()

    def has_unread(self) -> bool:
        """Whether data has come that is not parsed: here, or in the kernel where the loop has not reported it."""
        assert self.transport is not None
        return bool(self.input) or self.server.sockets.unread(self.transport)()

    def pause_writing(self) -> None:
        self.write_paused = True
        self._take_progress()

    def _take_progress(self) -> int:
        """Returns the bytes that the transport has passed on since the last call.

        Of a finishing connection those that the client has acknowledged.
        """
        assert self.transport is not None
        finishing = self.phase is Phase.FINISHING
        left = self.unsent_bytes() if finishing else self.transport.get_write_buffer_size()
        taken, before = self.written_bytes - left, self.taken_bytes
        self.taken_bytes = taken
        return taken - before

    def reads_too_slowly(self, now: float) -> bool:
        """Whether the client has held up an answer for WRITE_TIMEOUT_S and read too little of it meanwhile."""
        waits = self.write_paused or (self.phase is Phase.FINISHING and self.delivered_at is None)
        if not waits or now - self.active_at <= WRITE_TIMEOUT_S:
            return False
        if self._take_progress() < MIN_READ_BYTES_PER_S * WRITE_TIMEOUT_S:
            return True
        self.active_at = now
        return False

    def resume_writing(self) -> None:
        self.write_paused, self.active_at = False, self.server.clock.monotonic()
        self.update_buffered()
        if self.exchanges and (source := self.exchanges[0].source):
            source.resume()
        self.server.resume_sources()
        if self.read_paused:
            self._resume_input()

    def update_buffered(self) -> None:
        """Updates the count of answer bytes that are buffered for this client."""
        kept = self.transport.get_write_buffer_size() if self.transport else 0
        kept += sum(len(data) for exchange in self.exchanges for data in exchange.pending)
        more, self.buffered_bytes = kept - self.buffered_bytes, kept
        self.server.buffered_bytes += more
        if more <= 0:
            self.server.memory.charge(more)
        elif not self.server.memory.charge_and_reclaim(self, more) and not self.is_parsing:
            self.shed()

    def _release_answers(self) -> None:
        self.server.buffered_bytes -= self.buffered_bytes
        self.server.memory.charge(-self.buffered_bytes)
        self.buffered_bytes = 0

    def abort(self) -> None:
        """Resets the connection in the middle of an answer, so that the client cannot take it for complete."""
        self.cut(EndCause.BROKEN_ANSWER)

    def connection_lost(self, exc: Exception | None) -> None:
        self._report_end(EndCause.CLIENT_RESET if exc else EndCause.CLIENT_CLOSED)
        self.server.remove(self)
        self._release_answers()
        self._drop_input()
        self.server.resume_sources()
        if self.reading:
            self.reading.release()
        for exchange in self.exchanges:
            if exchange.head is None:
                exchange.head = b""
                self.server.handler.client_disconnected(exchange)
            elif exchange.source:
                exchange.source = None
                self.server.handler.client_disconnected(exchange)
            if not exchange.detached:
                exchange.release()
        self.reading = None
        self.exchanges.clear()

    def _report_end(self, cause: EndCause) -> None:
        """Reports the end of the connection, with this cause unless another one was recorded."""
        end = self.end or ConnectionEnd(
            cause,
            in_hand=len(self.exchanges),
            partly_read=self.reading is not None,
            requests=self._requests_in_hand(),
            shutting_down=self.server.closing,
        )
        self.server.end_counts.add(end)
        self.server.handler.connection_ended(end)

    def is_idle(self) -> bool:
        """Whether the connection is open and no request is being read or answered."""
        in_hand = self.exchanges or self.complete or self.reading or self.input
        return self.phase is Phase.OPEN and not in_hand and self.transport is not None

    def is_sending(self) -> bool:
        """Whether a request on it is unanswered, or a part of an answer has not been sent."""
        return self.transport is not None and (bool(self.exchanges) or self.unsent_bytes() > 0)

    def close_idle(self, cause: EndCause) -> bool:
        """Ends the connection if it is idle and the kernel has no unread data; returns whether it did."""
        if not self.is_idle() or self.has_unread():
            return False
        self.finish(cause)
        return True
