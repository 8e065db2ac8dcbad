"""Messages of RFC 5424: any text through our own parser and through one that nobody here wrote."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from syslog_rfc5424_parser import SyslogMessage

from coralvale.syslog.messages import (
    BAD,
    CONTROL,
    LEAST,
    SEVERITIES,
    Answer,
    Attempt,
    BadMessage,
    Encoder,
    Origin,
    decode,
    encode,
)

AT = 1_796_121_000.123456
HARD = [
    "]",
    '"',
    "\\",
    "\\]",
    "a\nb",
    "\0",
    "\u202eabc",
    "\U0001f4fb\U0001f1e6",
    "x" * 10_240,
    "é" * 70,
    "\ud800",
    "",
]
ORIGIN = Origin("gateway-1", process="77")
text = st.text(st.characters(), max_size=200) | st.sampled_from(HARD)
attempts = st.builds(Attempt, text, text, text, st.floats(0, 100), st.booleans())
answers = st.builds(
    Answer,
    at=st.floats(0, 4e9),
    sequence=st.integers(1, 2**40),
    station=text,
    station_id=text,
    plan=text,
    cls=text,
    request=text | st.just("r" * 5_000),
    outcome=st.sampled_from(sorted(SEVERITIES)),
    status=st.integers(100, 599),
    reason=text,
    took=st.floats(0, 1e6),
    left=st.floats(-100, 1e6),
    units=st.floats(0, 1e6),
    spread=st.integers(1, 100),
    attempts=st.lists(attempts, max_size=40).map(tuple),
    factor=st.sampled_from([1, 10]),
)


def unescaped(value: str) -> str:
    """The other parser leaves escapes as they stand."""
    out, rest = "", iter(value)
    for c in rest:
        out += next(rest) if c == "\\" else c
    return out


@given(answer=answers, host=text, limit=st.integers(LEAST, 20_000))
def test_any_answer_is_a_message_within_its_bound_that_both_parsers_read_alike(
    answer: Answer, host: str, limit: int
) -> None:
    origin = Origin(host, process="1", enterprise="32473")
    data = encode(answer, origin, limit)
    assert len(data) <= limit and b"\n" not in data and b"\0" not in data and b"\r" not in data
    ours = decode(data)
    if b"\\\\" not in data:  # an escaped backslash before a quote is where the other parser loses its way
        other = SyslogMessage.parse(data.decode())
        told = {name: {k: unescaped(v) for k, v in values.items()} for name, values in other.sd.items()}
        assert told == ours.elements and other.msgid == ours.kind
    assert ours.kind == answer.outcome and ours.severity == SEVERITIES[answer.outcome]
    assert ours.at == pytest.approx(answer.at, abs=1e-3)
    own = ours.elements["answer@32473"]
    for key, value in (("station", answer.station), ("request", answer.request), ("reason", answer.reason)):
        clean = CONTROL.sub(BAD, value)
        assert clean.startswith(own[key])
        assert (own[key] == clean) == (key not in own.get("cut", "").split(","))
        assert (clean == value) == (key not in own.get("replaced", "").split(","))
    kept = [name for name in ours.elements if name.startswith("attempt")]
    assert len(kept) + int(own.get("attemptsCut", 0)) == len(answer.attempts) == int(own["attempts"])
    if kept:  # the last ones, whole
        first = len(answer.attempts) - len(kept)
        assert kept == [f"attempt{n}@32473" for n in range(first, len(answer.attempts))]
        assert ours.elements[kept[-1]]["mayHaveRun"] == str(int(answer.attempts[-1].may_have_run))
    assert 1 <= int(ours.elements["meta"]["sequenceId"]) <= 2147483647


def test_a_message_is_as_the_rfc_has_it() -> None:
    answer = Answer(
        AT, 5, 'Radio "Ceibo" [AM]', "0000000000000101", "basico", "bookmark-add", "r1", "failed", 502, "", 0.25,
        1.5, 1.0, 3, (Attempt("s-1", "a", "reset", 0.2, True),),
    )  # fmt: skip
    assert encode(answer, ORIGIN) == (
        b"<132>1 2026-12-01T10:30:00.123456+00:00 gateway-1 coralvale 77 failed "
        b'[timeQuality tzKnown="1" isSynced="1"][origin software="coralvale" enterpriseId="32473"]'
        b'[meta sequenceId="5"][answer@32473 station="Radio \\"Ceibo\\" [AM\\]" stationId="0000000000000101" '
        b'plan="basico" class="bookmark-add" gateway="gateway-1" outcome="failed" reason="" request="r1" '
        b'status="502" took="0.250000" left="1.500000" units="1" spread="3" attempts="1"]'
        b'[attempt0@32473 node="s-1" zone="a" outcome="reset" mayHaveRun="1" delay="0.200000"] failed 502'
    )


@given(st.binary(max_size=300))
def test_any_line_is_read_or_refused(data: bytes) -> None:
    good = encode(Answer(AT, 1, "s", "1", "p", "c", "r", "served", 200), ORIGIN)
    for line in (data, good[: len(data)] + data, good.replace(b"served", data[:8] or b"x")):
        try:
            decode(line)
        except BadMessage as error:
            assert str(error)


def test_what_is_wrong_is_named_with_its_place() -> None:
    for line, why in (
        (b"hello", "no header"),
        (b"<192>1 - - - - - -", "priority 192"),
        (b"<13>1 2026-13-01T00:00:00Z - - - - -", "no time"),
        (b'<13>1 - - - - - [a b="c"', "no end of a"),
        (b'<13>1 - - - - - [a b="c"][a b="c"]', "a stands twice, at byte 25"),
        (b'<13>1 - - - - - [a b="\xff"]', "no UTF-8 at byte"),
        (b"<13>1 - - - - - x", "no structured data"),
    ):
        with pytest.raises(BadMessage, match=why):
            decode(line)
    assert (
        decode(b"<13>1 - - - - - -").elements == {}
        and decode(b"<13>1 - h - - - - \xef\xbb\xbfhi").text == "hi"
    )
    with pytest.raises(ValueError, match="a limit of 100 bytes"):
        encode(Answer(AT, 1, "s", "1", "p", "c", "r", "served", 200), ORIGIN, 100)


@given(st.lists(st.floats(0, 4e9) | st.integers(0, 20).map(lambda n: AT + n / 7), min_size=1, max_size=20))
def test_one_encoder_tells_the_time_of_each_answer_also_when_the_clock_steps_back(times: list[float]) -> None:
    encoder = Encoder(ORIGIN)
    for at in times:
        message = decode(encoder.encode(Answer(at, 1, "s", "1", "p", "c", "r", "served", 200)))
        assert message.at is not None and abs(message.at - at) < 2e-6
