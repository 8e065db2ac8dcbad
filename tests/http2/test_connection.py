"""The connection without I/O against a model host, with random schedules of frames and splits of bytes."""

from __future__ import annotations

import pytest
from hyperframe.frame import ContinuationFrame, DataFrame, HeadersFrame, PingFrame, PushPromiseFrame
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from coralvale.http2.connection import Connection, request_fields
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
from coralvale.standins.http2 import LAST, Asked, Http2Peer


class Pair:
    """A connection, a model host, and the bytes in flight between them."""

    def __init__(self, host: Http2Peer | None = None) -> None:
        self.now = 0.0
        self.client, self.host = Connection(Limits()), host or Http2Peer()
        self.to_host, self.back = bytearray(), bytearray()
        self.whole: list[Asked] = []  # complete at the host and not answered
        self.ended: dict[int, Event | str] = {}
        self.answers: dict[int, bytes] = {}
        self.heads: dict[int, Head] = {}
        self.unread: list[Data] = []
        self.events: list[Event] = []
        self.serial = 0
        self.begun: set[str] = set()  # requests of which the host has sent a part of an answer
        self.down = False
        self.client.start(0.0)

    def note(self) -> None:
        for event in self.client.take_events():
            self.events.append(event)
            if isinstance(event, Data):
                self.answers[event.key] = self.answers.get(event.key, b"") + event.data
                self.unread.append(event)
            elif isinstance(event, Head):
                assert event.key not in self.heads
                self.heads[event.key] = event
            elif isinstance(event, Answered | Failed):
                assert event.key not in self.ended, f"{event.key} has ended twice"
                self.ended[event.key] = event
            elif isinstance(event, Closed):
                self.down = True

    def ask(self, body: bytes = b"", until: float = 1e9) -> int:
        self.serial += 1
        head = [(b"Host", b"audio.example"), (b"X-Request-ID", b"%d" % self.serial)]
        method = b"POST" if body else b"GET"
        self.client.request(self.serial, method, b"/x", head, [body] if body else [], until)
        self.note()
        return self.serial

    def send(self) -> None:
        """Takes the client's bytes, which then count as written."""
        self.to_host += self.client.bytes_to_send()
        self.note()

    def go(self, size: int | None = None) -> None:
        data = bytes(self.to_host[:size])
        del self.to_host[: len(data)]
        self.whole += self.host.receive(data)

    def come(self, size: int | None = None) -> None:
        self.back += self.host.out
        self.host.out.clear()
        data = bytes(self.back[:size])
        del self.back[: len(data)]
        if not self.down:
            self.client.receive(self.now, data)
            self.note()

    def settle(self) -> None:
        for _ in range(4):
            self.send()
            self.go()
            self.come()

    def serve(self, asked: Asked, body: bytes = b"ok") -> None:
        if self.host.run(asked):
            self.host.head(asked)
            self.host.data(asked, body)

    def fate(self, key: int) -> Fate | None:
        event = self.ended.get(key)
        return event.fate if isinstance(event, Failed) else None


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "ask", "ask", "ask", "post", "send", "send", "go", "go", "go", "come", "come", "come", "serve",
                "serve", "part", "refuse", "reset", "goaway", "graceful", "limit", "window", "grant", "ping",
                "interim", "cancel", "consume", "tick", "trailers", "settle", "settle",
            )
        ),
        st.integers(0, 70_000),
    ),
    min_size=5,
    max_size=60,
)  # fmt: skip


def step(pair: Pair, name: str, number: int) -> None:
    host = pair.host
    waiting = [a for a in pair.whole if not a.over]
    any_open = [a for a in host.streams.values() if not a.over and a.id <= host.goaway_at]
    asked = waiting[number % len(waiting)] if waiting else None
    if name == "settle":
        pair.settle()
    elif name == "ask":
        pair.ask()
    elif name == "post":
        pair.ask(b"x" * (1 + number))
    elif name == "send":
        pair.send()
    elif name == "go":
        pair.go(number % 300 if number % 2 else None)
    elif name == "come":
        pair.come(number % 40 if number % 2 else None)
    elif name == "serve" and asked and not host.ran[asked.name]:
        pair.serve(asked, b"y" * (number % 3000))
    elif name == "part" and asked and not host.ran[asked.name] and host.run(asked):
        host.head(asked)
        host.data(asked, b"z" * (number % 100), end=False)
    elif name == "trailers" and asked and not host.ran[asked.name] and host.run(asked):
        host.head(asked)
        host.data(asked, b"t", end=False)
        host.trailers(asked, ("x-sum", "1"))
    elif name == "refuse" and any_open:
        chosen = any_open[number % len(any_open)]
        if not host.ran[chosen.name] and chosen.name:
            host.reset(chosen)
    elif name == "reset" and any_open:
        host.reset(any_open[number % len(any_open)], 0x8)
    elif name == "goaway":  # never below a stream that it has run
        least = max([0, *(a.id for a in host.streams.values() if host.ran[a.name])])
        host.goaway(least + number % 8)
    elif name == "graceful":
        host.goaway(LAST)
    elif name == "limit":
        host.settings(limit=number % 4)
    elif name == "window":
        host.settings(window=number)
    elif name == "grant":
        host.grant(0, 1 + number)
        for each in any_open:
            host.grant(each.id, 1 + number)
    elif name == "ping":
        host.ping()
    elif name == "interim" and asked and not host.ran[asked.name]:
        host.head(asked, 103)
        pair.begun.add(asked.name)
    elif name == "cancel" and pair.serial:
        key = 1 + number % pair.serial
        if key not in pair.ended:
            fate = pair.client.cancel(key)
            pair.ended[key] = Failed(key, fate, "cancelled") if fate is Fate.NOT_RUN else "cancelled"
    elif name == "consume":
        for data in pair.unread:
            pair.client.consumed(data.key, data.credit)
        pair.unread.clear()
    elif name == "tick":
        pair.now += number % 7 * 0.1
        pair.client.tick(pair.now)
        pair.note()


# Hypothesis derives the schedules from the function's text without comments: new names would draw others.
@settings(max_examples=2000, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(STEPS, st.booleans(), st.booleans(), st.sampled_from([None, 1, 3, 100]))
@example([("ask", 0), ("ask", 0), ("ask", 0), ("interim", 0), ("refuse", 0)], True, True, None)
def test_what_is_called_not_run_did_not_run_in_any_schedule(
    steps: list[tuple[str, int]], early: bool, last_words: bool, limit: int | None
) -> None:
    pair = Pair(host=Http2Peer(limit))
    if early:
        pair.settle()
        pair.ask()
        pair.settle()
    for name, number in steps:
        step(pair, name, number)
        counted = {k for k in range(1, pair.serial + 1) if k in pair.ended} | set(pair.client.waiting)
        assert len(counted | set(pair.client.keys)) == pair.serial  # no request is lost
    if last_words:  # all bytes of the host arrive before the connection breaks
        while pair.back or pair.host.out:
            pair.come()
    heard = not (pair.back or pair.host.out)
    pair.client.lost("the socket broke")
    pair.note()
    # The host continues: bytes in flight arrive, and it runs all requests that it may.
    pair.go()
    for asked in pair.whole:
        if not pair.host.ran[asked.name]:
            pair.host.run(asked)
    streams = {asked.name: asked for asked in pair.host.streams.values()}
    for key in range(1, pair.serial + 1):
        ran, event, asked = pair.host.ran[str(key)], pair.ended[key], streams.get(str(key))
        assert ran <= 1
        if pair.fate(key) is Fate.NOT_RUN:
            assert not ran, f"{key} is called not run, and ran"
        if isinstance(event, Answered):
            assert ran == 1
        told = asked and (asked.name in pair.host.not_run or asked.id > pair.host.goaway_at)
        if isinstance(event, Failed) and (asked is None or (told and heard and last_words)):
            # If this end closed the connection, it may not have read the host's frame.
            # A host that refuses what it has begun to answer contradicts itself (RFC 9113, 8.7).
            above = asked is not None and asked.id > pair.host.goaway_at
            doubtful = asked is not None and asked.name in pair.begun and not above
            wanted = Fate.UNKNOWN if doubtful else Fate.NOT_RUN
            assert event.fate is wanted or pair.down, f"{key}: {event}"


@pytest.mark.parametrize("interim", [False, True])
def test_a_refusal_after_a_part_of_an_answer_promises_nothing(interim: bool) -> None:
    """Guards against a request that is sent again: its host had begun to answer it before it refused it."""
    pair = Pair()
    pair.settle()
    key = pair.ask()
    pair.settle()
    (asked,) = pair.whole
    if interim:
        pair.host.head(asked, 103)
    pair.host.reset(asked)
    pair.settle()
    assert pair.fate(key) is (Fate.UNKNOWN if interim else Fate.NOT_RUN)


def test_goaway_with_an_id_below_at_and_above_a_request_in_flight() -> None:
    for offset, fate in ((-2, Fate.NOT_RUN), (0, Fate.UNKNOWN), (2, Fate.UNKNOWN)):
        pair = Pair()
        pair.settle()
        pair.ask()
        key = pair.ask(b"b" * 200_000)  # more than the window, so part of the body is unsent
        pair.settle()
        stream = pair.client.keys[key]
        assert not stream.body_encoded
        pair.host.goaway(stream.id + offset)
        pair.come()
        if fate is Fate.UNKNOWN:
            assert key not in pair.ended  # it continues
            pair.client.lost("broken")
            pair.note()
        assert pair.fate(key) is fate


def test_buffered_bytes_are_still_sent_in_order_after_goaway() -> None:
    pair = Pair()
    pair.settle()
    first = pair.ask()
    pair.settle()
    second = pair.ask()
    pair.host.ping()
    pair.host.goaway(1)
    pair.come()  # before the second is sent
    assert pair.fate(second) is Fate.NOT_RUN
    pair.settle()  # the PING reply must not be lost
    assert pair.host.pings == 1 and len(pair.host.streams) == 1
    pair.serve(pair.whole[0])
    pair.settle()
    assert isinstance(pair.ended[first], Answered) and pair.down


def test_a_two_step_goaway_serves_requests_sent_between_the_steps() -> None:
    pair = Pair()
    pair.settle()
    keys = [pair.ask() for _ in range(3)]
    pair.send()
    pair.host.goaway(LAST)
    pair.come()
    assert any(isinstance(e, Closing) for e in pair.events) and not pair.ended
    late = pair.ask()
    assert pair.fate(late) is Fate.NOT_RUN  # can be sent to another host at once
    pair.go()
    pair.host.goaway(3)
    for asked in pair.whole[:2]:
        pair.serve(asked)
    pair.settle()
    assert [type(pair.ended[k]) for k in keys] == [Answered, Answered, Failed]
    assert pair.fate(keys[2]) is Fate.NOT_RUN and pair.down


def test_a_stream_limit_lowered_below_the_open_streams_and_raised_again() -> None:
    pair = Pair(host=Http2Peer(4))
    pair.settle()
    keys = [pair.ask(until=5.0) for _ in range(6)]
    pair.settle()
    assert len(pair.host.streams) == 4
    for limit in (2, 0, 1, 0):
        pair.host.settings(limit=limit)
    pair.settle()
    assert pair.client.free_streams == -4
    for asked in list(pair.whole):
        pair.serve(asked)
    pair.settle()
    assert len(pair.host.streams) == 4 and pair.client.free_streams == 0  # none over the limit
    pair.now = 5.0
    pair.client.tick(5.0)
    pair.note()
    assert [pair.fate(k) for k in keys[4:]] == [Fate.NOT_RUN] * 2  # failed at their deadline
    pair.host.settings(limit=10)
    pair.settle()
    pair.ask()
    pair.settle()
    assert len(pair.host.streams) == 5


def test_a_negative_window_stops_a_body_until_it_is_positive_again() -> None:
    pair = Pair()
    pair.settle()
    key = pair.ask(b"c" * 100_000)
    pair.settle()
    sent = len(pair.host.streams[1].body)
    assert sent == 65_535
    pair.host.settings(window=10)
    pair.host.grant(0, 1_000_000)
    pair.host.grant(1, 1000)  # still negative
    pair.settle()
    assert len(pair.host.streams[1].body) == sent
    pair.host.grant(1, 200_000)
    pair.settle()
    assert pair.whole and len(pair.whole[0].body) == 100_000
    pair.serve(pair.whole[0])
    pair.settle()
    assert isinstance(pair.ended[key], Answered)


def test_a_slow_client_blocks_only_its_own_stream() -> None:
    pair = Pair()
    pair.settle()
    slow, quick = pair.ask(), pair.ask()
    pair.settle()
    first, second = pair.whole
    pair.host.run(first)
    pair.host.head(first)
    sent = pair.host.data(first, b"d" * 500_000, end=False)
    assert sent == 65_535
    pair.settle()
    assert pair.host.data(first, b"d") == 0
    total = 0
    pair.host.run(second)
    pair.host.head(second)
    while total < 1_000_000:
        total += pair.host.data(second, b"e" * min(50_000, 1_000_000 - total), end=False)
        pair.settle()
        for data in [d for d in pair.unread if d.key == quick]:
            pair.client.consumed(quick, data.credit)
        pair.settle()
    assert len(pair.answers[quick]) == 1_000_000 and len(pair.answers[slow]) == 65_535


def test_ping_distinguishes_a_silent_host_from_a_slow_one() -> None:
    pair = Pair()
    pair.settle()
    key = pair.ask()
    pair.settle()
    for number in range(1, 60):  # slow, but it answers PING
        pair.now = 0.1 * number
        pair.client.tick(pair.now)
        pair.settle()
    assert key not in pair.ended
    for number in range(60, 120):
        pair.now = 0.1 * number
        pair.client.tick(pair.now)
        pair.note()
        pair.send()
    assert pair.down and pair.fate(key) is Fate.UNKNOWN


def test_exhausted_stream_ids_end_the_connection_without_lost_requests() -> None:
    pair = Pair()
    pair.settle()
    pair.client.h2.highest_outbound_stream_id = LAST - 2
    first, second = pair.ask(), pair.ask()
    pair.send()
    assert pair.client.closing and pair.fate(second) is Fate.NOT_RUN
    pair.host.last_seen = 0
    pair.go()
    pair.serve(pair.whole[0])
    pair.settle()
    assert isinstance(pair.ended[first], Answered) and pair.down


def test_refused_stream_after_part_of_an_answer_is_unknown() -> None:
    pair = Pair()
    pair.settle()
    key = pair.ask()
    pair.settle()
    pair.host.head(pair.whole[0])
    pair.host.reset(pair.whole[0], 0x7)
    pair.settle()
    assert pair.fate(key) is Fate.UNKNOWN


def test_an_answer_before_the_end_of_the_request_stops_its_body() -> None:
    pair = Pair()
    pair.settle()
    key = pair.ask(b"f" * 300_000)
    pair.settle()
    asked = pair.host.streams[1]
    pair.host.ran[asked.name] += 1
    pair.host.head(asked, 200)
    pair.host.data(asked, b"no need")
    pair.settle()
    assert isinstance(pair.ended[key], Answered) and pair.answers[key] == b"no need"
    other = pair.ask()
    pair.settle()
    pair.serve(pair.whole[-1])
    pair.settle()
    assert isinstance(pair.ended[other], Answered)


@pytest.mark.parametrize(("status", "fields"), [(304, [("content-length", "5")]), (204, []), (200, [])])
def test_answers_without_a_body_are_complete(status: int, fields: list[tuple[str, str]]) -> None:
    pair = Pair()
    pair.settle()
    key = pair.ask()
    pair.settle()
    pair.host.ran[pair.whole[0].name] += 1
    pair.host.head(pair.whole[0], status, *fields, end=True)
    pair.settle()
    assert isinstance(pair.ended[key], Answered) and pair.heads[key].status == status
    assert not pair.down


def hostile_frames(name: str, pair: Pair) -> bytes:
    host = pair.host
    asked = host.streams[1]
    block = host.encoder.encode([(":status", "200"), ("x-a", "b" * 60)])
    if name == "ping flood":
        return PingFrame(0, b"12345678").serialize() * 3000
    if name == "settings flood":
        return bytes.fromhex("000000040000000000") * 3000
    if name == "empty data":
        return HeadersFrame(1, block, flags=["END_HEADERS"]).serialize() + DataFrame(1).serialize() * 3000
    if name == "rst flood":
        return b"".join(bytes.fromhex("00000403000000000100000008") for _ in range(3000))
    if name == "continuation":
        parts = [ContinuationFrame(1, b"\0" * 16_000).serialize() for _ in range(100)]
        return HeadersFrame(1, block).serialize() + b"".join(parts)
    if name == "small continuation":
        return HeadersFrame(1, block).serialize() + ContinuationFrame(1, b"").serialize() * 3000
    if name == "header bomb":  # one large table entry, referenced many times
        bomb = host.encoder.encode([(":status", "200"), ("x-bomb", "b" * 3900)])
        return HeadersFrame(1, bomb + bytes([0x80 | 62]) * 4000, flags=["END_HEADERS"]).serialize()
    if name == "push":
        return PushPromiseFrame(1, 2, block, flags=["END_HEADERS"]).serialize()
    if name == "large frame":
        return bytes.fromhex("ffffff000000000001")
    if name == "upper case":
        return HeadersFrame(
            1, host.encoder.encode([(":status", "200"), ("X-Up", "1")]), flags=["END_HEADERS"]
        ).serialize()
    if name == "data ahead of the head":
        return DataFrame(1, b"x").serialize()
    if name == "window overflow":
        return bytes.fromhex("00000408000000000" + "07fffffff") * 2
    if name == "idle stream":
        return DataFrame(asked.id + 100, b"x").serialize()
    assert name == "goaway in a header block"
    return HeadersFrame(1, block).serialize() + bytes.fromhex("0000080700000000000000000100000000")


HOSTILE = {
    "ping flood": 0xB, "settings flood": 0xB, "empty data": 0xB, "rst flood": 0xB, "continuation": 0xB,
    "small continuation": 0xB, "header bomb": 0xB, "push": 0x1, "large frame": 0x6, "upper case": 0x1,
    "data ahead of the head": 0x1, "window overflow": 0x3, "idle stream": 0x1, "goaway in a header block": 0x1,
}  # fmt: skip


@pytest.mark.parametrize("name", HOSTILE)
@pytest.mark.parametrize("cut", [1, 16_000])
def test_a_hostile_host_ends_its_connection_with_the_right_error_code(name: str, cut: int) -> None:
    pair = Pair()
    pair.settle()
    out = pair.ask()
    pair.settle()
    waits = pair.ask()
    data = hostile_frames(name, pair)
    for start in range(0, len(data), cut):
        if pair.down:
            break
        pair.client.receive(0.0, data[start : start + cut])
        pair.note()
    dead = [event for event in pair.events if isinstance(event, Closed)]
    assert [event.code for event in dead] == [HOSTILE[name]], dead
    assert pair.fate(waits) is Fate.NOT_RUN
    assert pair.fate(out) is Fate.UNKNOWN
    assert len(pair.client.bytes_to_send()) < 32_768  # the output that it causes is limited
    assert not pair.client.streams and not pair.client.waiting


def test_no_request_is_sent_to_a_host_without_http2() -> None:
    pair = Pair()
    key = pair.ask()
    pair.send()
    pair.client.receive(0.0, b"HTTP/1.1 400 Bad Request\r\n\r\n")
    pair.note()
    assert pair.fate(key) is Fate.NOT_RUN and pair.down and b"\x00\x00" not in pair.to_host[:3]
    assert not any(isinstance(event, Ready | Sent) for event in pair.events)


@pytest.mark.parametrize(
    ("method", "target", "headers"),
    [
        (b"GET", b"/a b", []),
        (b"GET", b"http://other/", []),
        (b"GET", b"*", []),
        (b"GET", b"/\r\nX: y", []),
        (b"G T", b"/", []),
        (b"CONNECT", b"/", []),
        (b"GET", b"/", [(b"Host", b"a"), (b"host", b"b")]),
        (b"GET", b"/", [(b"Host", b"a b")]),
        (b"GET", b"/", [(b"Host", b"user@a")]),
        (b"GET", b"/", [(b":path", b"/other")]),
        (b"GET", b"/", [(b"x y", b"1")]),
        (b"GET", b"/", [(b"x", b"a\r\nb")]),
        (b"GET", b"/", [(b"x", b"a\0b")]),
    ],
)
def test_input_that_could_be_read_as_another_request_is_rejected(
    method: bytes, target: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    with pytest.raises(RequestError):
        request_fields(method, target, headers, None)


def test_fields_are_converted_to_http2() -> None:
    headers = [
        (b"Host", b"audio.example:80"), (b"TE", b"trailers, deflate"), (b"Connection", b"x-mine"),
        (b"Transfer-Encoding", b"chunked"), (b"Cookie", b"a=b; c=d"), (b"X-Name", b" v "),
        (b"Content-Length", b"99"), (b"Upgrade", b"h2c"),
    ]  # fmt: skip
    assert request_fields(b"POST", b"/p?q=%20", headers, 7) == [
        (b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"audio.example:80"),
        (b":path", b"/p?q=%20"), (b"cookie", b"a=b; c=d"), (b"x-name", b"v"), (b"content-length", b"7"),
    ]  # fmt: skip


def test_an_answer_to_head_may_have_a_length_without_a_body() -> None:
    pair = Pair()
    pair.settle()
    pair.client.request(1, b"HEAD", b"/x", [(b"X-Request-ID", b"1")], [], 1e9)
    pair.settle()
    pair.host.head(pair.whole[0], 200, ("content-length", "5"), end=True)
    pair.settle()
    assert [type(event) for event in pair.events if not isinstance(event, Ready | Sent)] == [Head, Answered]


@pytest.mark.parametrize(
    ("fields", "body"),
    [
        ([("content-length", "5")], b"123"),
        ([("content-length", "5")], b"1234567"),
        ([("content-length", "x")], b"1"),
        ([("x-a", "b\r\nSet-Cookie: c")], b"1"),
        ([("x-a", "b\0")], b"1"),
        ([("x a", "b")], b"1"),
        ([("transfer-encoding", "chunked")], b"1"),
        ([(":path", "/")], b"1"),
        ([(":status", "200")], b"1"),
    ],
)
def test_a_malformed_answer_ends_its_request_as_unknown(fields: list[tuple[str, str]], body: bytes) -> None:
    pair = Pair()
    pair.settle()
    key = pair.ask()
    pair.settle()
    pair.host.run(pair.whole[0])
    pair.host.head(pair.whole[0], 200, *fields)
    pair.host.data(pair.whole[0], body)
    pair.settle()
    assert pair.fate(key) is Fate.UNKNOWN
    assert all(b"\r" not in value for head in pair.heads.values() for _, value in head.headers)
