"""Octet counting and lines, in pieces of any size; sampling by its sums."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coralvale.syslog.framing import Arrivals, Bad, Splitter, frame
from coralvale.syslog.sampling import MOST, Sampler

message = st.binary(max_size=40).map(lambda data: b"<13>1 " + data)
lines = st.binary(max_size=40).map(lambda data: b"<13>1 " + data.replace(b"\n", b"").replace(b"\r", b""))


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


@given(st.lists(message), st.lists(st.integers(0, 400)))
def test_counted_messages_come_whole_whatever_they_hold_and_however_they_are_cut(
    messages: list[bytes], cuts: list[int]
) -> None:
    splitter, found = Splitter(), list[bytes]()
    for piece in pieces(b"".join(map(frame, messages)), cuts):
        found += splitter.feed(piece)
    assert [*found, *splitter.end()] == messages


@given(st.lists(lines), st.lists(st.integers(0, 400)), st.sampled_from([b"\n", b"\r\n"]))
def test_lines_come_whole_however_they_are_cut(messages: list[bytes], cuts: list[int], end: bytes) -> None:
    splitter, found = Splitter(), list[bytes]()
    for piece in pieces(b"".join(m + end for m in messages), cuts):
        found += splitter.feed(piece)
    assert [*found, *splitter.end()] == messages


@given(st.lists(st.binary(max_size=60)), st.integers(0, 30))
def test_any_bytes_are_read_within_the_bound_and_a_good_line_behind_them_is_found(
    data: list[bytes], most: int
) -> None:
    splitter = Splitter(64)
    for piece in data:
        list(splitter.feed(piece))
        assert len(splitter.rest) <= 64 + 16
    found = list(splitter.feed(b"x" * 70 + b"\n<13>1 good\n"))
    assert found[-1] == b"<13>1 good" and not isinstance(found[-1], Bad)


def test_what_is_no_frame_is_told_as_bad_and_skipped() -> None:
    splitter = Splitter(32)
    found = list(splitter.feed(b"hello\n5 hello\n999999 <a\n<13>1 a\n" + b"<" + b"y" * 40))
    assert [isinstance(m, Bad) for m in found] == [True, True, True, False, True]
    assert list(splitter.feed(b"yy\n<13>1 b")) == [] and list(splitter.end()) == [b"<13>1 b"]


@given(st.lists(st.integers(1, 50)), st.lists(st.integers(0, 2000)))
def test_messages_have_arrived_once_their_last_byte_has(sizes: list[int], reached: list[int]) -> None:
    arrivals, done = Arrivals(), 0
    for size in sizes:
        arrivals.wrote(size)
    most = 0
    for count in reached:
        most = max(most, count)
        done += arrivals.reached(count)
        assert done == sum(sum(sizes[: n + 1]) <= most for n in range(len(sizes)))


@given(
    st.lists(st.tuples(st.floats(0, 0.5), st.sampled_from("abc")), max_size=300),
    st.integers(0, 5),
    st.integers(1, 7),
)
def test_the_factors_and_what_is_pending_add_up_to_all_refusals(
    events: list[tuple[float, str]], over: int, factor: int
) -> None:
    sampler, now, came, told = Sampler(over, factor), 100.0, Counter[str](), Counter[str]()
    for pause, kind in events:
        now += pause
        came[kind] += 1
        told[kind] += sampler.stands_for(now, kind)
        pending = {name: known.pending for name, known in sampler.kinds.items()}
        assert all(came[name] == told[name] + pending.get(name, 0) for name in came)
        assert all(count < factor for count in pending.values())
    assert sampler.pending() == sum(came.values()) - sum(told.values())
    if factor == 1:
        assert told == came


def test_a_flood_is_thinned_and_kinds_are_bounded() -> None:
    sampler = Sampler(10, 50)
    told = [sampler.stands_for(1.0 + n / 1000, "flood") for n in range(1000)]
    assert told[:10] == [1] * 10 and sum(map(bool, told)) == 10 + 990 // 50 and set(told) == {0, 1, 50}
    for n in range(2 * MOST):
        sampler.stands_for(3.0, n)
    assert len(sampler.kinds) == MOST and sampler.stands_for(3.0, "one more") == 1
    sampler.stands_for(100.0, "one after all is quiet")
    assert len(sampler.kinds) < 10
    with pytest.raises(ValueError, match="sampling over 1 by 0"):
        Sampler(1, 0)
