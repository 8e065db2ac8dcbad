"""One final answer as a message of RFC 5424, and the way back. No I/O.

    <PRI>1 TIMESTAMP HOSTNAME APP-NAME PROCID MSGID [timeQuality][origin][meta][answer@PEN][attempt0@PEN]... TEXT

- An SD-ID may stand once in a message (section 6.3.2), so attempts are `attempt0@PEN`, `attempt1@PEN` and so on.
- Values are UTF-8 with `"`, `\\` and `]` escaped (6.3.3). What is no UTF-8, and control characters, which would
  end a message on a line-based transport, become U+FFFD, and the element says `replaced="name,..."`.
- A value of more than its bound is cut between characters, and the element says `cut="name,..."`. The bounds are
  such that header and answer fit into 2,048 bytes, which every receiver should take (6.1). Attempts that do not
  fit are left out whole; the latest stay, since they tell how the request ended: `attemptsCut="3"`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime
from functools import lru_cache

LEAST = 2048  # bytes that a receiver should take
ENTERPRISE = "32473"  # the number that RFC 5612 keeps for examples; an installation has its own
FACILITY = 16  # local0
SEVERITIES = {"served": 6, "refused": 5, "denied": 5, "failed": 4, "lost": 3}  # by outcome; section 6.2.1
MOST_ATTEMPTS = 32
BOUNDS = {
    "station": 64,
    "stationId": 20,
    "plan": 48,
    "class": 48,
    "request": 128,
    "gateway": 48,
    "reason": 48,
    "outcome": 16,
    "programme": 64,
}
LAST = 2147483647  # sequence id
WHO = ("station", "stationId", "plan", "class", "gateway", "outcome", "reason", "programme")
PLAIN = re.compile(r"[ !#-\[^-~]*")  # what is neither escaped nor replaced, and has one byte a character
NODE = 64  # bytes of the names of node and zone
BAD = "\ufffd"
CONTROL = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
ESCAPED = re.compile(r'[\\"\]]')
PRINTABLE = re.compile(r"[^!-~]")
BOM = b"\xef\xbb\xbf"


class BadMessage(ValueError):
    """A line that is no message; the text says what and at which byte."""


@dataclass(slots=True)
class Attempt:
    node: str
    zone: str
    outcome: str
    delay: float  # s
    may_have_run: bool


@dataclass(slots=True)
class Answer:
    """A final answer. Times in seconds, `at` of Unix time; texts as they came, with any character."""

    at: float
    sequence: int
    station: str
    station_id: str
    plan: str
    cls: str
    request: str
    outcome: str  # a key of SEVERITIES
    status: int
    reason: str = ""
    took: float = 0.0
    left: float = 0.0
    units: float = 1.0
    spread: int = 1
    attempts: tuple[Attempt, ...] = ()
    programme: str = ""
    factor: int = 1  # answers that this one stands for, where refusals are sampled


@dataclass(frozen=True, slots=True)
class Origin:
    """Who sends: header fields of section 6.2, cut to their bounds and to printable ASCII."""

    hostname: str = ""
    app: str = "coralvale"
    process: str = ""
    enterprise: str = ENTERPRISE
    facility: int = FACILITY
    synced: bool = True


def token(text: str, most: int) -> str:
    """A header field: printable ASCII, `-` where there is none."""
    return PRINTABLE.sub("?", text)[:most] or "-"


def stamp(at: float) -> str:
    """RFC 3339 with microseconds and an offset (section 6.2.3)."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="microseconds")


def cut(text: str, most: int) -> str:
    """The beginning of a text that has at most so many bytes of UTF-8."""
    data = text.encode("utf-8", "surrogatepass")
    return text if len(data) <= most else data[:most].decode("utf-8", "ignore")


def _param(key: str, text: str, most: int) -> tuple[str, str, str]:
    """An SD-PARAM, and the key where something had to be replaced and where something had to be cut."""
    if len(text) <= most and PLAIN.fullmatch(text):  # nearly all
        return f' {key}="{text}"', "", ""
    clean = CONTROL.sub(BAD, text)
    kept = cut(clean, most)
    escaped = ESCAPED.sub(lambda m: chr(92) + m[0], kept)
    return f' {key}="{escaped}"', key if clean != text else "", key if kept != clean else ""


def _params(*rows: tuple[str, str, int]) -> tuple[str, tuple[str, ...], tuple[str, ...]]:
    """SD-PARAMs of keys, texts and bounds; the keys of those that were changed, and of those that were cut."""
    made = [_param(*row) for row in rows]
    replaced = tuple(key for _, key, _ in made if key)
    return "".join([text for text, _, _ in made]), replaced, tuple(key for _, _, key in made if key)


def _marks(replaced: tuple[str, ...], short: tuple[str, ...]) -> str:
    """What an element says of what it had to cut or replace."""
    told = f' replaced="{",".join(replaced)}"' if replaced else ""
    return f'{told} cut="{",".join(short)}"' if short else told


@lru_cache(8192)
def _who(*texts: str) -> tuple[str, tuple[str, ...], tuple[str, ...]]:
    """The part of `answer` that many messages have in common, in the order of WHO."""
    rows = zip(WHO, texts, strict=True)
    return _params(*[(key, text, BOUNDS[key]) for key, text in rows if text or key != "programme"])


@lru_cache(8192)
def _attempt(number: int, enterprise: str, node: str, zone: str, outcome: str, may_have_run: bool) -> str:
    """An element of an attempt but for its delay and its end."""
    text, *marks = _params(("node", node, NODE), ("zone", zone, NODE), ("outcome", outcome, 32))
    return f'[attempt{number}@{enterprise}{text} mayHaveRun="{int(may_have_run)}"{_marks(*marks)} delay="'


class Encoder:
    """Makes the messages of one sender, of at most `limit` bytes. Raises ValueError for a limit under LEAST."""

    def __init__(self, origin: Origin, limit: int = LEAST) -> None:
        if limit < LEAST:
            raise ValueError(f"a limit of {limit} bytes, at least {LEAST}")
        self.origin, self.limit = origin, limit
        self.enterprise = token(origin.enterprise, 12)
        self.fields = f"{token(origin.hostname, 64)} {token(origin.app, 48)} {token(origin.process, 32)}"
        self.known = (
            f'[timeQuality tzKnown="1" isSynced="{int(origin.synced)}"]'
            f'[origin software="coralvale" enterpriseId="{self.enterprise}"]'
        )
        self.heads = {outcome: self._head(outcome, severity) for outcome, severity in SEVERITIES.items()}
        self.second, self.stamp = -1, ""

    def _head(self, kind: str, severity: int) -> tuple[str, str, str]:
        """What stands before the time, behind it, and in the text."""
        word = token(kind, 32)
        return f"<{self.origin.facility * 8 + severity}>1 ", f" {self.fields} {word} {self.known}", word

    def _time(self, at: float) -> str:
        """RFC 3339 with microseconds and an offset (section 6.2.3); a second's text is made once."""
        micros = round(at * 1e6)
        second = micros // 1_000_000
        if second != self.second:
            self.second, self.stamp = second, stamp(second)[:19]
        return f"{self.stamp}.{micros - second * 1_000_000:06d}+00:00"

    def encode(self, answer: Answer) -> bytes:
        """The message of an answer."""
        outcome, attempts = answer.outcome, answer.attempts
        priority, head, word = self.heads.get(outcome) or self._head(outcome, 5)
        who, replaced, short = _who(
            answer.station, answer.station_id, answer.plan, answer.cls, self.origin.hostname, outcome,
            answer.reason, answer.programme,
        )  # fmt: skip
        request, request_replaced, request_cut = _param("request", answer.request, BOUNDS["request"])
        if request_replaced:
            replaced = (*replaced, "request")
        if request_cut:
            short = (*short, "request")
        # 7.3.1: sequenceId begins at 1 and goes on with 1 after its last value.
        own = (
            f'{priority}{self._time(answer.at)}{head}[meta sequenceId="{(answer.sequence - 1) % LAST + 1}"]'
            f'[answer@{self.enterprise}{who}{request} status="{answer.status}" took="{answer.took:.6f}"'
            f' left="{answer.left:.6f}" units="{answer.units:g}" spread="{answer.spread}"'
            f' attempts="{len(attempts)}"'
        )
        if answer.factor != 1:
            own += f' factor="{answer.factor}"'
        if replaced or short:
            own += _marks(replaced, short)
        first = max(0, len(attempts) - MOST_ATTEMPTS)
        told = [
            f'{_attempt(n, self.enterprise, a.node, a.zone, a.outcome, a.may_have_run)}{a.delay:.6f}"]'
            for n, a in enumerate(attempts[first:], first)
        ]
        while True:
            left_out = f' attemptsCut="{len(attempts) - len(told)}"' if len(told) < len(attempts) else ""
            data = f"{own}{left_out}]{''.join(told)} {word} {answer.status}".encode()
            if len(data) <= self.limit or not told:
                return data
            del told[0]

    def gap(self, at: float, counts: Mapping[str, int], first: int, last: int, dropped: int) -> bytes:
        """The message of answers that were dropped: how many of each outcome, between which sequence ids.

        `dropped`: all since the start. It has no sequence id of its own, so that those of answers have no other
        gaps.
        """
        priority, head, _ = self._head("dropped", 4)
        told = " ".join(f'{name}="{counts[name]}"' for name in sorted(counts) if name in SEVERITIES)
        own = f'[dropped@{self.enterprise} {told} first="{first}" last="{last}" sinceStart="{dropped}"]'
        return f"{priority}{self._time(at)}{head}{own} dropped {sum(counts.values())}".encode()


def encode(answer: Answer, origin: Origin, limit: int = LEAST) -> bytes:
    """One message. Raises ValueError for a limit under LEAST."""
    return Encoder(origin, limit).encode(answer)


# The way back


@dataclass
class Message:
    """A message as it was read. `elements`: SD-ID to its parameters, unescaped."""

    facility: int
    severity: int
    at: float | None
    hostname: str
    app: str
    process: str
    kind: str  # MSGID
    elements: dict[str, dict[str, str]] = field(default_factory=dict)
    text: str = ""


HEAD = re.compile(
    rb"<(0|[1-9]\d{0,2})>1 (-|\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d{1,6})?(?:Z|[+-]\d\d:\d\d)) "
    rb"([!-~]{1,255}) ([!-~]{1,48}) ([!-~]{1,128}) ([!-~]{1,32}) "
)
NAME = rb"[!#-<>-\\^-~]{1,32}"
OPEN, PARAM = (
    re.compile(rb"\[(" + NAME + rb")"),
    re.compile(rb" (" + NAME + rb')="([^"\\\]]*(?:\\.[^"\\\]]*)*)"', re.S),
)
UNESCAPE = re.compile(r'\\([\\"\]])')


def decode(data: bytes) -> Message:
    """Reads one message. Raises BadMessage."""
    match = HEAD.match(data)
    if match is None:
        raise BadMessage("no header of RFC 5424 at byte 0")
    priority = int(match[1])
    if priority > 191:
        raise BadMessage(f"priority {priority}, at most 191")
    try:
        at = None if match[2] == b"-" else datetime.fromisoformat(match[2].decode()).timestamp()
    except (ValueError, OverflowError):
        raise BadMessage(f"no time: {match[2].decode()}") from None
    host, app, process, kind = ("" if match[n] == b"-" else match[n].decode() for n in (3, 4, 5, 6))
    message = Message(priority // 8, priority % 8, at, host, app, process, kind)
    place = match.end()
    if data[place : place + 1] == b"-":
        place += 1
    else:
        place = _elements(data, place, message)
    if data[place : place + 1] not in (b"", b" "):
        raise BadMessage(f"no end of the structured data at byte {place}")
    message.text = data[place + 1 :].removeprefix(BOM).decode("utf-8", "replace")
    return message


def _elements(data: bytes, place: int, message: Message) -> int:
    begin = place
    while match := OPEN.match(data, place):
        name, place = match[1].decode(), match.end()
        if name in message.elements:
            raise BadMessage(f"{name} stands twice, at byte {match.start()}")
        values: dict[str, str] = {}
        while param := PARAM.match(data, place):
            try:
                value = param[2].decode()
            except UnicodeDecodeError:
                raise BadMessage(f"no UTF-8 at byte {param.start(2)}") from None
            values[param[1].decode()] = UNESCAPE.sub(r"\1", value) if "\\" in value else value
            place = param.end()
        if data[place : place + 1] != b"]":
            raise BadMessage(f"no end of {name} at byte {place}")
        message.elements[name] = values
        place += 1
    if place == begin:
        raise BadMessage(f"no structured data at byte {place}")
    return place
