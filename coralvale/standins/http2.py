"""A host that speaks HTTP/2: what it runs is counted by request id, and it can be made to misbehave.

`Http2Peer` is the model without I/O. It reads and writes frames by `hyperframe` and `hpack` alone, so that it
shares no code of states with what it tests, and raises Violation for what RFC 9113 forbids a client. `Http2Host`
serves it on a loopback port by a seeded script.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import ssl
import time
from collections import Counter
from dataclasses import dataclass, field

import hpack
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    GoAwayFrame,
    HeadersFrame,
    PingFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
REFUSED, CANCEL = 0x7, 0x8
LAST = (1 << 31) - 1


class Violation(AssertionError):
    """The client did what RFC 9113 forbids."""


@dataclass(eq=False)
class Asked:
    """A stream of the client's."""

    id: int
    name: str = ""  # its request id
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    whole: bool = False  # the client has ended it
    over: bool = False  # this side has ended or reset it, or the client has reset it
    window: int = 65_535  # what this side may still send on it
    given: int = 65_535  # what the client may still send on it


class Http2Peer:
    """Raises Violation from `receive`. `out` is what goes to the client."""

    def __init__(self, limit: int | None = 100, window: int = 65_535) -> None:
        self.out, self.buffer, self.preface = bytearray(), bytearray(), False
        self.streams: dict[int, Asked] = {}
        self.ran: Counter[str] = Counter()
        self.not_run: set[str] = set()  # told to the client as not run
        self.last_seen, self.goaway_at = 0, LAST
        self.encoder, self.decoder = hpack.Encoder(), hpack.Decoder()
        self.block = b""
        self.limit = self.limit_due = None if limit is None else limit
        self.limits: list[int | None] = []  # told and not acknowledged
        self.window, self.client_window, self.given = window, 65_535, 65_535
        self.windows: list[int] = []
        self.initial = 65_535  # the client's initial window
        self.pings = 0  # that the client has acknowledged
        self.left: set[str] = set()  # request ids that the client has reset
        self.dead = False  # the client has sent GOAWAY
        self.code = 0
        self.settings(limit=limit, window=window)

    # What the client sends

    def receive(self, data: bytes) -> list[Asked]:
        """Requests that have become whole."""
        self.buffer += data
        if not self.preface:
            if len(self.buffer) < len(PREFACE):
                return []
            if not self.buffer.startswith(PREFACE):
                raise Violation("no preface")
            del self.buffer[: len(PREFACE)]
            self.preface = True
        whole: list[Asked] = []
        while len(self.buffer) >= 9:
            frame, length = Frame.parse_frame_header(memoryview(bytes(self.buffer[:9])))
            if length > 16_384:
                raise Violation("a frame that is too large")
            if len(self.buffer) < 9 + length:
                break
            frame.parse_body(memoryview(bytes(self.buffer[9 : 9 + length])))
            del self.buffer[: 9 + length]
            if (asked := self._frame(frame)) is not None:
                whole.append(asked)
        return whole

    def _frame(self, frame: Frame) -> Asked | None:
        if isinstance(frame, SettingsFrame):
            self._settings(frame)
        elif isinstance(frame, HeadersFrame):
            if frame.stream_id <= self.last_seen or not frame.stream_id % 2:
                raise Violation(f"stream {frame.stream_id} after {self.last_seen}")
            self.last_seen = frame.stream_id
            asked = self.streams[frame.stream_id] = Asked(
                frame.stream_id, window=self.initial, given=self.window
            )
            asked.whole = "END_STREAM" in frame.flags
            self.block = frame.data
            return self._headed(asked, frame)
        elif isinstance(frame, ContinuationFrame):
            self.block += frame.data
            return self._headed(self.streams[frame.stream_id], frame)
        elif isinstance(frame, DataFrame):
            return self._data(frame)
        elif isinstance(frame, RstStreamFrame):
            if frame.stream_id > self.last_seen:
                raise Violation("RST_STREAM on an idle stream")
            self.streams[frame.stream_id].over = True
            self.left.add(self.streams[frame.stream_id].name)
        elif isinstance(frame, WindowUpdateFrame):
            if frame.stream_id:
                self.streams[frame.stream_id].window += frame.window_increment
            else:
                self.client_window += frame.window_increment
        elif isinstance(frame, PingFrame):
            if "ACK" in frame.flags:
                self.pings += 1
            else:
                self._put(PingFrame(0, frame.opaque_data, flags=["ACK"]))
        elif isinstance(frame, GoAwayFrame):
            self.dead, self.code = True, frame.error_code
        return None

    def _settings(self, frame: SettingsFrame) -> None:
        if "ACK" not in frame.flags:
            now = frame.settings.get(SettingsFrame.INITIAL_WINDOW_SIZE, self.initial)
            for asked in self.streams.values():
                asked.window += now - self.initial
            self.initial = now
            self._put(SettingsFrame(0, flags=["ACK"]))
            return
        self.limit, window = self.limits.pop(0), self.windows.pop(0)
        for asked in self.streams.values():
            asked.given += window - self.window
        self.window = window

    def _headed(self, asked: Asked, frame: HeadersFrame | ContinuationFrame) -> Asked | None:
        if "END_HEADERS" not in frame.flags:
            return None
        for name, value in self.decoder.decode(self.block, raw=True):
            asked.fields.append((bytes(name), bytes(value)))
        asked.name = dict(asked.fields).get(b"x-request-id", b"").decode()
        # Held to what it has acknowledged, and to the wider of that and what is under way before it has.
        limits = [self.limit, *self.limits] if self.limits else [self.limit]
        if None not in limits and self.open() > max(n for n in limits if n is not None):
            raise Violation(f"{self.open()} streams are open, the limit is {self.limit}")
        return asked if asked.whole else None

    def _data(self, frame: DataFrame) -> Asked | None:
        asked = self.streams.get(frame.stream_id)
        if asked is None or asked.whole:
            raise Violation(f"DATA on stream {frame.stream_id}")
        size = frame.flow_controlled_length
        asked.given, self.given = asked.given - size, self.given - size
        # A window that SETTINGS made smaller binds once they are acknowledged.
        wider = max([0, *(w - self.window for w in self.windows)])
        if size and (asked.given + wider < 0 or self.given < 0):
            raise Violation("more DATA than its window")
        asked.body += frame.data
        asked.whole = "END_STREAM" in frame.flags
        return asked if asked.whole and not asked.over else None

    def open(self) -> int:
        """Streams that count against the limit (RFC 9113, 5.1.2): open, or half closed from either side."""
        return sum(not (asked.over and asked.whole) and not asked.over for asked in self.streams.values())

    # What the host does

    def _put(self, frame: Frame) -> None:
        self.out += frame.serialize()

    def settings(self, limit: int | None = None, window: int | None = None) -> None:
        """Other limits. What is left out stays; a limit of None at the start is none."""
        told: dict[int, int] = {}
        if limit is not None:
            told[SettingsFrame.MAX_CONCURRENT_STREAMS] = limit
        if window is not None:
            told[SettingsFrame.INITIAL_WINDOW_SIZE] = window
        self.limit_due = limit if limit is not None else self.limit_due
        due = self.windows[-1] if self.windows else self.window
        self.limits.append(self.limit_due)
        self.windows.append(due if window is None else window)
        self._put(SettingsFrame(0, told))

    def grant(self, stream: int, size: int) -> None:
        """Lets the client send more: on a stream, or with 0 on the connection."""
        self._put(WindowUpdateFrame(stream, size))
        if stream:
            self.streams[stream].given += size
        else:
            self.given += size

    def run(self, asked: Asked) -> bool:
        """Executes a whole request, unless the client was told that it is not."""
        if asked.over or not asked.whole or asked.id > self.goaway_at:
            return False
        self.ran[asked.name] += 1
        return True

    def head(self, asked: Asked, status: int = 200, *fields: tuple[str, str], end: bool = False) -> None:
        """Fields of an answer; status 1xx may come ahead of it."""
        block = self.encoder.encode([(":status", str(status)), *fields])
        self._put(
            HeadersFrame(asked.id, block, flags=["END_HEADERS", "END_STREAM"] if end else ["END_HEADERS"])
        )
        asked.over = asked.over or end

    def data(self, asked: Asked, data: bytes, end: bool = True) -> int:
        """As much of `data` as the client's windows let through; how much that was. Ends only with all of it."""
        size = max(0, min(len(data), asked.window, self.client_window))
        done = end and size == len(data)
        for start in range(0, max(size, 1), 16_384):
            part = data[start : min(start + 16_384, size)]
            last = done and start + 16_384 >= size
            if part or last:
                self._put(DataFrame(asked.id, part, flags=["END_STREAM"] if last else []))
        asked.window, self.client_window = asked.window - size, self.client_window - size
        asked.over = asked.over or done
        return size

    def trailers(self, asked: Asked, *fields: tuple[str, str]) -> None:
        block = self.encoder.encode(list(fields))
        self._put(HeadersFrame(asked.id, block, flags=["END_HEADERS", "END_STREAM"]))
        asked.over = True

    def reset(self, asked: Asked, code: int = REFUSED) -> None:
        """Ends a stream. REFUSED_STREAM says that it was not run, so it must not have been."""
        self._put(RstStreamFrame(asked.id, code))
        if code == REFUSED and not self.ran[asked.name]:
            self.not_run.add(asked.name)
        asked.over = True

    def goaway(self, last: int, code: int = 0) -> None:
        """Streams above `last` do not run from now on. It never rises."""
        self.goaway_at = min(self.goaway_at, last)
        self._put(GoAwayFrame(0, self.goaway_at, code))

    def ping(self) -> None:
        self._put(PingFrame(0, b"12345678"))

    def raw(self, data: bytes) -> None:
        self.out += data


@dataclass
class Faults:
    """What a host does wrong, as shares of requests from 0 to 1, drawn from its seed."""

    refuse: float = 0.0  # REFUSED_STREAM in place of running it
    goaway: float = 0.0  # GOAWAY with the last id that it has run, then the connection is closed
    graceful: float = 0.0  # GOAWAY in two steps; what came between is run
    drop: float = 0.0  # the connection is reset, whatever ran
    lost_answer: float = 0.0  # runs it, and resets the connection
    error: float = 0.0  # 500


class Http2Host:
    """Serves `Http2Peer`s on a loopback port. `ran` counts executions by request id, over all connections."""

    def __init__(
        self,
        name: str,
        delay: float = 0.005,
        seed: int = 0,
        limit: int | None = 100,
        faults: Faults | None = None,
        tls: ssl.SSLContext | None = None,
        body: bytes = b"",
        window: int | None = None,
    ) -> None:
        """With `window`, that many bytes of each request's body are let through, and never more."""
        self.name, self.delay, self.limit, self.tls, self.window = name, delay, limit, tls, window
        self.faults, self.random = faults or Faults(), random.Random(f"{seed}/{name}")
        self.body = body or b"served by " + name.encode()
        self.ran: Counter[str] = Counter()
        self.arrivals: list[tuple[float, str]] = []  # Unix time and request id of every whole request
        self.fields: dict[str, list[tuple[bytes, bytes]]] = {}
        self.left: set[str] = set()  # request ids that the gateway has reset
        self.told: Counter[str] = Counter()  # requests of which it told the gateway that they did not run
        self.answered: Counter[str] = Counter()
        self.broken: list[float] = []  # Unix times at which it broke a connection without a word
        self.violations: list[str] = []
        self.opened = self.most_open = 0  # connections
        self.writers: set[asyncio.StreamWriter] = set()
        self.ended: set[asyncio.StreamWriter] = set()  # on which it has closed its half
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> Http2Host:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, ssl=self.tls)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def since(self, moment: float) -> int:
        """Requests that came whole later than `moment`, Unix time in seconds."""
        return sum(at > moment for at, _ in self.arrivals)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.opened += 1
        self.most_open = max(self.most_open, len(self.writers))
        peer = Http2Peer(self.limit, 65_535 if self.window is None else self.window)
        peer.left = self.left
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                self._flush(peer, writer)
                while data := await reader.read(65_536):
                    for asked in peer.receive(data):
                        task = asyncio.get_running_loop().create_task(self._answer(peer, asked, writer))
                        self.tasks.add(task)
                        task.add_done_callback(self.tasks.discard)
                    for asked in list(peer.streams.values()):  # room to send as much again
                        if self.window is None and not asked.whole and asked.given < 32_768:
                            peer.grant(asked.id, 65_536)
                    if peer.given < 1 << 20:
                        peer.grant(0, 1 << 20)
                    self._flush(peer, writer)
        except Violation as error:
            self.violations.append(str(error))
        finally:
            self.writers.discard(writer)
            self.ended.discard(writer)
            writer.close()

    def _break(self, writer: asyncio.StreamWriter) -> None:
        self.broken.append(time.time())
        writer.transport.abort()

    def _flush(self, peer: Http2Peer, writer: asyncio.StreamWriter) -> None:
        if peer.out and not writer.is_closing() and writer not in self.ended:
            writer.write(bytes(peer.out))
        peer.out.clear()

    async def _answer(self, peer: Http2Peer, asked: Asked, writer: asyncio.StreamWriter) -> None:
        lot, faults = self.random.random(), self.faults
        self.arrivals.append((time.time(), asked.name))
        if asked.over:
            return
        if asked.id > peer.goaway_at:  # GOAWAY has told of it
            self.told[asked.name] += 1
            return
        if writer in self.ended:
            return

        def falls(share: float) -> bool:
            nonlocal lot
            lot -= share
            return lot < 0

        if falls(faults.refuse):
            peer.reset(asked)
            self.told[asked.name] += 1
            self._flush(peer, writer)
            return
        if falls(faults.goaway):
            peer.goaway(max([0, *(a.id for a in peer.streams.values() if peer.ran[a.name])]))
            above = [a for a in peer.streams.values() if a.id > peer.goaway_at and not a.over and a.whole]
            for a in above:
                self.told[a.name] += 1
                a.over = True
            self._flush(peer, writer)
            # Its half alone: to close with bytes unread would reset the connection, and the word could be lost.
            if writer.can_write_eof():
                self.ended.add(writer)
                writer.write_eof()
            else:
                writer.close()
            return
        if falls(faults.drop):
            self._break(writer)
            return
        graceful, lost, error = falls(faults.graceful), falls(faults.lost_answer), falls(faults.error)
        await asyncio.sleep(self.delay * (0.5 + self.random.random()))
        if writer.is_closing() or writer in self.ended or not peer.run(asked):
            return
        self.ran[asked.name] += 1
        self.fields[asked.name] = asked.fields
        if lost:
            self._break(writer)
            return
        peer.head(asked, 500 if error else 200, ("content-length", str(len(self.body))))
        rest = self.body[peer.data(asked, self.body) :]
        self._flush(peer, writer)
        if graceful and peer.goaway_at == LAST:
            peer.goaway(LAST)
            self._flush(peer, writer)
            await asyncio.sleep(self.delay)
            peer.goaway(peer.last_seen)
            self._flush(peer, writer)
        while rest and not asked.over and not writer.is_closing():
            await asyncio.sleep(0.002)
            rest = rest[peer.data(asked, rest) :]
            self._flush(peer, writer)
        self.answered[asked.name] += asked.over
