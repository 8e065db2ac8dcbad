"""One connection to a host that speaks HTTP/2, without I/O: requests and bytes in, bytes and events out.

`h2` handles frames, HPACK, flow control and the states of streams. This module adds what `h2` lacks:

- Requests that were certainly not run (see `model`). A request is encoded only when the socket asks for
  bytes. A queued request has therefore not changed the compression state and can be withdrawn at any time.
- GOAWAY. `h2` treats it as the end of the connection and drops its unsent data; RFC 9113, 6.8 lets streams up
  to the last id finish. So frames are split before `h2` sees them, and GOAWAY is handled here.
- Limits on the work that a host can cause: frames that carry no part of an answer are counted, as are the
  bytes of a header block. `h2` gets one frame at a time, so that the outcome does not depend on how the bytes
  are split.

Nothing is written before the host's first SETTINGS frame: a host that does not speak HTTP/2 has then run
nothing, and its limit on streams is known before the first request.
"""

from __future__ import annotations

import contextlib
import re
from collections import OrderedDict, deque
from dataclasses import dataclass

import h2.events as h2_events
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import NoAvailableStreamIDError, ProtocolError
from h2.settings import SettingCodes, Settings
from hpack import NeverIndexedHeaderTuple

from coralvale.http2.model import (
    Answered,
    Closed,
    Closing,
    Code,
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

MAX_FRAME_BYTES = 16_384  # largest frame accepted from a host: the default of RFC 9113, 4.2
MAX_ENCODED_AHEAD_BYTES = 64 * 1024  # ahead of the socket: encoded requests can't be withdrawn
MAX_CONTINUATION_FRAMES = 32  # of one header block; h2 has a limit of 64 and reports another error code
MAX_INTERIM_ANSWERS = 8  # 1xx responses before the final one
DATA, HEADERS, SETTINGS, PUSH, GOAWAY, CONTINUATION = 0x0, 0x1, 0x4, 0x5, 0x7, 0x9
END_STREAM, END_HEADERS = 0x1, 0x4
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110, 5.6.2
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00\r\n]")  # RFC 9113, 8.2.1
PATH = re.compile(rb"/[\x21-\x7e]*")
# Fields of a single connection (RFC 9113, 8.2.2), or expressed by a pseudo-header field.
DROPPED_FIELDS = {
    b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade", b"te", b"host",
    b"http2-settings", b"content-length", b"trailer", b"expect",
}  # fmt: skip

# Different in each request, or secret (RFC 7541, 7.1.3): indexed, they would evict other fields from the
# compression table.
NEVER_INDEXED_FIELDS = {b"x-request-id", b"x-timeout", b"cookie", b"authorization", b"quota-info"}

Fields = list[tuple[bytes, bytes]]


def request_fields(
    method: bytes, target: bytes, headers: Fields, size: int | None, scheme: bytes = b"http"
) -> Fields:
    """Returns the fields of a request in HTTP/2 (RFC 9113, 8.3.1); `size` is that of the body or None.

    Raises RequestError for input that a host or proxy could read as a different request.
    """
    if not TOKEN.fullmatch(method) or method == b"CONNECT":
        raise RequestError(f"method: {method!r}")
    if not PATH.fullmatch(target):
        raise RequestError("target: expected a path in visible ASCII")
    hosts = [value for name, value in headers if name.lower() == b"host"]
    if len(hosts) > 1 or any(not re.fullmatch(rb"[\x21-\x7e]*", h) or b"@" in h for h in hosts):
        raise RequestError("host: expected one authority")
    fields = [(b":method", method), (b":scheme", scheme)]
    if hosts and hosts[0]:
        fields.append((b":authority", hosts[0]))
    fields.append(NeverIndexedHeaderTuple(b":path", target))
    for name, value in headers:
        lower = name.lower()
        if not TOKEN.fullmatch(name):
            raise RequestError(f"a field's name: {name!r}")
        if FORBIDDEN_IN_VALUE.search(value):
            raise RequestError(f"{lower.decode()}: CR, LF or NUL in the value")
        if lower in NEVER_INDEXED_FIELDS:
            fields.append(NeverIndexedHeaderTuple(lower, value.strip(b" \t")))
        elif lower not in DROPPED_FIELDS:
            fields.append((lower, value.strip(b" \t")))
    if size is not None:
        fields.append(NeverIndexedHeaderTuple(b"content-length", b"%d" % size))
    return fields


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a stream; nothing of it has been encoded."""

    fields: Fields
    body: list[bytes]
    deadline: float


@dataclass(slots=True, eq=False)
class Stream:
    """A request that has been encoded in part or whole."""

    key: int
    id: int
    body: deque[memoryview]
    body_encoded: bool = False
    status: int = 0
    interim_count: int = 0
    credit: int = 0  # bytes of flow control credit to return to the host


class Connection:
    """State machine of one connection; `key` is the caller's own id of a request.

    Every method may produce events, which the caller collects with `take_events`. Times are the caller's
    clock, in seconds.
    """

    def __init__(self, limits: Limits, scheme: bytes = b"http") -> None:
        self.limits, self.scheme = limits, scheme
        # Outbound fields are checked once, by `request_fields`.
        self.h2 = H2Connection(
            H2Configuration(client_side=True, header_encoding=None, validate_outbound_headers=False)
        )
        self.waiting: OrderedDict[int, QueuedRequest] = OrderedDict()
        self.streams: dict[int, Stream] = {}
        self.keys: dict[int, Stream] = {}
        self.ready = self.closing = self.closed = False
        self.last_stream_id = (1 << 31) - 1  # highest stream id that the host may still run
        self.events: list[Event] = []
        self.out = bytearray()
        self.buffer, self.header_block_bytes, self.continuations, self.in_header_block = (
            bytearray(),
            0,
            0,
            False,
        )
        self.control_budget, self.control_budget_at = limits.control_frame_burst, 0.0
        self.credit = 0
        self.received_at = self.pinged_at = 0.0

    def start(self, now: float) -> None:
        """Prepares the connection preface and the settings of this end."""
        self.received_at = self.control_budget_at = now
        initial = {
            SettingCodes.ENABLE_PUSH: 0,
            SettingCodes.INITIAL_WINDOW_SIZE: self.limits.window,
            SettingCodes.MAX_FRAME_SIZE: MAX_FRAME_BYTES,
            SettingCodes.MAX_HEADER_LIST_SIZE: self.limits.header_bytes,
        }
        self.h2.local_settings = Settings(client=True, initial_values=initial)
        self.h2.decoder.max_header_list_size = self.limits.header_bytes
        self.h2.initiate_connection()
        # A slow client must only stop its own stream, so the connection's window is large enough for all
        # streams.
        self.h2.increment_flow_control_window(self.limits.streams * self.limits.window)

    # Requests

    @property
    def load(self) -> int:
        """Number of requests that it carries or that are queued for it."""
        return len(self.streams) + len(self.waiting)

    @property
    def free_streams(self) -> int:
        """Number of streams that may be opened now; negative after the host has lowered its limit."""
        if not self.ready or self.closing or self.closed:
            return 0
        return min(self.limits.streams, self.h2.remote_settings.max_concurrent_streams) - len(self.streams)

    def request(
        self, key: int, method: bytes, target: bytes, headers: Fields, body: list[bytes], deadline: float
    ) -> None:
        """Queues a request, which may wait for a stream until `deadline`. Raises RequestError."""
        size = sum(map(len, body))
        fields = request_fields(
            method, target, headers, size if body or method != b"GET" else None, self.scheme
        )
        if self.closing or self.closed:
            self.events.append(Failed(key, Fate.NOT_RUN, "the connection is closing"))
        else:
            self.waiting[key] = QueuedRequest(fields, [part for part in body if part], deadline)

    def cancel(self, key: int) -> Fate:
        """Cancels a request; no event follows. Returns whether it may have run."""
        if self.waiting.pop(key, None):
            return Fate.NOT_RUN
        if stream := self.keys.get(key):
            self._remove(stream)
            self._reset(stream, Code.CANCEL)
        return Fate.UNKNOWN

    def consumed(self, key: int, credit: int) -> None:
        """Returns `credit` bytes of flow control window to the host, after data has been passed on."""
        if (stream := self.keys.get(key)) is None or self.closed:
            return
        stream.credit += credit
        if stream.credit >= self.limits.window // 2:
            self.h2.increment_flow_control_window(stream.credit, stream.id)
            stream.credit = 0

    # Bytes

    def bytes_to_send(self) -> bytes:
        """Returns the bytes to write now. They count as written: their requests may run."""
        if not self.closed:
            while self.waiting and self.free_streams > 0 and self._unsent() < MAX_ENCODED_AHEAD_BYTES:
                self._open_stream()
            self._send_bodies()
        self.out += self.h2.data_to_send()
        out, self.out = bytes(self.out), bytearray()
        return out

    def _unsent(self) -> int:
        """Returns the number of encoded bytes that have not been handed to the socket."""
        self.out += self.h2.data_to_send()
        return len(self.out)

    def _open_stream(self) -> None:
        """Encodes the head of the first queued request on a new stream."""
        try:
            number = self.h2.get_next_available_stream_id()
        except NoAvailableStreamIDError:  # RFC 9113, 5.1.1: needs a new connection
            self._start_closing("stream ids are used up")
            return
        key, queued = self.waiting.popitem(last=False)
        stream = Stream(
            key, number, deque(memoryview(part) for part in queued.body), body_encoded=not queued.body
        )
        try:
            self.h2.send_headers(number, queued.fields, end_stream=stream.body_encoded)
        except ProtocolError as error:  # the compression state may be inconsistent now
            self.events.append(Failed(key, Fate.NOT_RUN, str(error)))
            self._start_closing(f"h2 rejected a request: {error}")
            return
        self.streams[number] = self.keys[key] = stream
        if stream.body_encoded:
            self.events.append(Sent(key))

    def _send_bodies(self) -> None:
        """Sends one frame of each stream in turn, within the windows: no large body blocks the others."""
        moved = True
        while moved and self._unsent() < MAX_ENCODED_AHEAD_BYTES:
            moved = False
            for stream in list(self.streams.values()):
                if stream.body_encoded:
                    continue
                room = min(self.h2.local_flow_control_window(stream.id), self.h2.max_outbound_frame_size)
                if room <= 0:
                    continue
                part, rest = stream.body[0][:room], stream.body[0][room:]
                if rest:
                    stream.body[0] = rest
                else:
                    stream.body.popleft()
                stream.body_encoded, moved = not stream.body, True
                self.h2.send_data(stream.id, bytes(part), end_stream=stream.body_encoded)
                if stream.body_encoded:
                    self.events.append(Sent(stream.key))

    def receive(self, now: float, data: bytes) -> None:
        """Handles received bytes, split into frames here."""
        self.received_at, self.pinged_at = now, 0.0
        self.buffer += data
        while len(self.buffer) >= 9 and not self.closed:
            length = int.from_bytes(self.buffer[:3], "big")
            kind, flags = self.buffer[3], self.buffer[4]
            stream = int.from_bytes(self.buffer[5:9], "big") & 0x7FFFFFFF
            if not self.ready and (kind != SETTINGS or flags & 1):  # RFC 9113, 3.4
                self._terminate("it does not speak HTTP/2", Code.PROTOCOL_ERROR)
                return
            if length > MAX_FRAME_BYTES:  # rejected by its header, before its payload arrives
                self._terminate("a frame that is too large", Code.FRAME_SIZE_ERROR)
                return
            if len(self.buffer) < 9 + length:
                return
            frame = bytes(self.buffer[: 9 + length])
            del self.buffer[: 9 + length]
            if self._check_limits(now, kind, flags, length):
                self._handle_frame(frame, kind, stream, length)
        self._terminate_if_done()

    def _check_limits(self, now: float, kind: int, flags: int, length: int) -> bool:
        """Counts a frame against the limits; if one is exceeded, ends the connection and returns False."""
        self.control_budget = min(
            self.limits.control_frame_burst,
            self.control_budget + self.limits.control_frames_per_s * (now - self.control_budget_at),
        )
        self.control_budget_at = now
        if kind in (HEADERS, PUSH, CONTINUATION):
            self.header_block_bytes = length if kind != CONTINUATION else self.header_block_bytes + length
            self.continuations = 0 if kind != CONTINUATION else self.continuations + 1
            self.in_header_block = not flags & END_HEADERS
            if (
                self.header_block_bytes > self.limits.header_bytes
                or self.continuations > MAX_CONTINUATION_FRAMES
            ):
                self._terminate("a header block that is too large", Code.ENHANCE_YOUR_CALM)
                return False
            cost = 0
        else:
            cost = int(kind != DATA or not (length or flags & END_STREAM))
        self.control_budget -= cost
        if self.control_budget < 0:
            self._terminate("a flood of control frames", Code.ENHANCE_YOUR_CALM)
            return False
        return True

    def _handle_frame(self, frame: bytes, kind: int, stream: int, length: int) -> None:
        """Handles GOAWAY here and passes all other frames to `h2`."""
        if kind == GOAWAY and not self.in_header_block and stream == 0 and length >= 8:
            last = int.from_bytes(frame[9:13], "big") & 0x7FFFFFFF
            self._goaway(last, int.from_bytes(frame[13:17], "big"))
        else:
            self._feed(frame)

    def _feed(self, frame: bytes) -> None:
        try:
            events = self.h2.receive_data(frame)
        except ProtocolError as error:
            self._terminate(str(error) or type(error).__name__, error.error_code)
            return
        except Exception as error:  # whatever a host sends, its requests must end
            self._terminate(f"{type(error).__name__}: {error}", Code.PROTOCOL_ERROR)
            return
        for event in events:
            self._handle_event(event)

    def _handle_event(self, event: h2_events.Event) -> None:
        if isinstance(event, h2_events.RemoteSettingsChanged):
            if not self.ready:
                self.ready = True
                self.events.append(Ready())
            return
        number = getattr(event, "stream_id", None)
        if isinstance(event, h2_events.DataReceived):
            self._credit(event.flow_controlled_length)
        if (stream := self.streams.get(number or 0)) is None:
            return  # frames sent before the host knew that the stream had ended
        if isinstance(event, h2_events.InformationalResponseReceived):
            stream.interim_count += 1
            if stream.interim_count > MAX_INTERIM_ANSWERS:
                self._fail(stream, "too many interim answers", Code.ENHANCE_YOUR_CALM)
        elif isinstance(event, h2_events.ResponseReceived):
            self._handle_head(stream, [(bytes(name), bytes(value)) for name, value in event.headers or []])
        elif isinstance(event, h2_events.DataReceived):
            self.events.append(Data(stream.key, event.data or b"", event.flow_controlled_length or 0))
        elif isinstance(event, h2_events.StreamEnded):
            self._remove(stream)
            if stream.status:
                self.events.append(Answered(stream.key))
            else:
                self.events.append(Failed(stream.key, Fate.UNKNOWN, "stream ended without an answer"))
            if not stream.body_encoded:  # RFC 9113, 8.1: answered before the request was complete
                self._reset(stream, Code.NO_ERROR)
        elif isinstance(event, h2_events.StreamReset):
            self._remove(stream)
            refused = event.error_code == Code.REFUSED_STREAM.value and not stream.status
            fate = Fate.NOT_RUN if refused and not stream.interim_count else Fate.UNKNOWN
            by_host = fate is Fate.NOT_RUN
            self.events.append(Failed(stream.key, fate, f"reset by the host ({event.error_code})", by_host))

    def _handle_head(self, stream: Stream, fields: Fields) -> None:
        headers = [(name, value) for name, value in fields if not name.startswith(b":")]
        status = next((value for name, value in fields if name == b":status"), b"")
        sound = all(TOKEN.fullmatch(name) and not FORBIDDEN_IN_VALUE.search(value) for name, value in headers)
        if not (sound and re.fullmatch(rb"[2-9]\d\d", status)):
            self._fail(stream, "malformed answer", Code.PROTOCOL_ERROR)
            return
        stream.status = int(status)
        self.events.append(Head(stream.key, stream.status, headers))

    def _credit(self, length: int | None) -> None:
        self.credit += length or 0
        if self.credit >= self.limits.window // 2 and not self.closed:
            self.h2.increment_flow_control_window(self.credit)
            self.credit = 0

    # End of streams and of the connection

    def _goaway(self, last: int, code: int) -> None:
        # It must not rise: requests above it were reported as not run and may have been sent elsewhere.
        self.last_stream_id = min(self.last_stream_id, last)
        self._start_closing(f"the host is closing ({code})")
        for stream in [s for s in self.streams.values() if s.id > self.last_stream_id]:
            self._remove(stream)
            self.events.append(Failed(stream.key, Fate.NOT_RUN, f"the host is closing ({code})", True))
        self._terminate_if_done()

    def _start_closing(self, why: str) -> None:
        """Opens no new streams and fails the queued requests."""
        if not self.closing:
            self.closing = True
            self.events.append(Closing(why))
        self._fail_waiting(why)

    def retire(self, why: str) -> None:
        """Opens no new streams; those that are open finish as usual."""
        self._start_closing(why)
        self._terminate_if_done()

    def lost(self, why: str) -> None:
        """Ends all requests, after the socket was closed."""
        self.closed = self.closing = True
        self._fail_waiting(why)
        for stream in list(self.streams.values()):
            self._remove(stream)
            self.events.append(Failed(stream.key, Fate.UNKNOWN, why))

    def tick(self, now: float) -> None:
        """Fails queued requests past their deadline and checks a silent host with PING."""
        for key in [k for k, queued in self.waiting.items() if now >= queued.deadline]:
            del self.waiting[key]
            self.events.append(Failed(key, Fate.NOT_RUN, "no stream was free in time"))
        if self.closed or not self.streams:
            self.pinged_at = 0.0
        elif self.pinged_at and now - self.pinged_at >= self.limits.ping_timeout_s:
            self._terminate("it does not answer PING", Code.NO_ERROR)
        elif not self.pinged_at and now - self.received_at >= self.limits.ping_after_s:
            self.pinged_at = now
            self.h2.ping(b"coralvale"[:8])
        self._terminate_if_done()

    def take_events(self) -> list[Event]:
        """Returns the events since the last call."""
        events, self.events = self.events, []
        return events

    def _terminate(self, why: str, code: Code | int) -> None:
        """Closes the connection with an error code and ends all requests."""
        if self.closed:
            return
        number = code.value if isinstance(code, Code) else int(code)
        with contextlib.suppress(ProtocolError):  # h2 has closed it already
            self.h2.close_connection(number)
        self.events.append(Closed(why, number))  # before the events of its requests, which need the reason
        self.lost(why)

    def _terminate_if_done(self) -> None:
        if self.closing and not self.closed and not self.streams:
            self._terminate("all streams have ended", Code.NO_ERROR)

    def _fail_waiting(self, why: str) -> None:
        for key in self.waiting:
            self.events.append(Failed(key, Fate.NOT_RUN, why))
        self.waiting.clear()

    def _fail(self, stream: Stream, why: str, code: Code) -> None:
        self._remove(stream)
        self._reset(stream, code)
        self.events.append(Failed(stream.key, Fate.UNKNOWN, why))

    def _reset(self, stream: Stream, code: Code) -> None:
        with contextlib.suppress(ProtocolError):  # closed by both sides in the meantime
            self.h2.reset_stream(stream.id, code.value)

    def _remove(self, stream: Stream) -> None:
        self.streams.pop(stream.id, None)
        self.keys.pop(stream.key, None)
