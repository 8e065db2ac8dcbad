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
from dataclasses import dataclass, field
from datetime import UTC, datetime

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
}
NODE = 64  # bytes of the names of node and zone
BAD = "\ufffd"
CONTROL = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
ESCAPED = re.compile(r'[\\"\]]')
PRINTABLE = re.compile(r"[^!-~]")
BOM = b"\xef\xbb\xbf"


class BadMessage(ValueError):
    """A line that is no message; the text says what and at which byte."""


@dataclass(frozen=True, slots=True)
class Attempt:
    node: str
    zone: str
    outcome: str
    delay: float  # s
    may_have_run: bool


@dataclass(frozen=True, slots=True)
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


def element(name: str, values: dict[str, str], bounds: dict[str, int]) -> str:
    """An SD-ELEMENT; says by itself what it had to cut or replace."""
    parts, replaced, short = [], [], []
    for key, value in values.items():
        clean = CONTROL.sub(BAD, value)
        if clean != value:
            replaced.append(key)
        kept = cut(clean, bounds.get(key, 256))
        if kept != clean:
            short.append(key)
        parts.append(f'{key}="{ESCAPED.sub(lambda m: chr(92) + m[0], kept)}"')
    if replaced:
        parts.append(f'replaced="{",".join(replaced)}"')
    if short:
        parts.append(f'cut="{",".join(short)}"')
    return f"[{name} {' '.join(parts)}]"


def encode(answer: Answer, origin: Origin, limit: int = LEAST) -> bytes:
    """The message of an answer, of at most `limit` bytes. Raises ValueError for a limit under LEAST."""
    if limit < LEAST:
        raise ValueError(f"a limit of {limit} bytes, at least {LEAST}")
    priority = origin.facility * 8 + SEVERITIES.get(answer.outcome, 5)
    head = (
        f"<{priority}>1 {stamp(answer.at)} {token(origin.hostname, 64)} {token(origin.app, 48)} "
        f"{token(origin.process, 32)} {token(answer.outcome, 32)} "
    )
    synced = f'[timeQuality tzKnown="1" isSynced="{int(origin.synced)}"]'
    known = f'[origin software="coralvale" enterpriseId="{token(origin.enterprise, 12)}"]'
    meta = f'[meta sequenceId="{(answer.sequence - 1) % 2147483647 + 1}"]'  # 7.3.1: from 1, wraps to 1
    values = {
        "station": answer.station,
        "stationId": answer.station_id,
        "plan": answer.plan,
        "class": answer.cls,
        "request": answer.request,
        "gateway": origin.hostname,
        "outcome": answer.outcome,
        "status": str(answer.status),
        "reason": answer.reason,
        "took": f"{answer.took:.6f}",
        "left": f"{answer.left:.6f}",
        "units": f"{answer.units:g}",
        "spread": str(answer.spread),
        "attempts": str(len(answer.attempts)),
    }
    if answer.factor != 1:
        values["factor"] = str(answer.factor)
    text = f" {answer.outcome} {answer.status}"

    def whole(told: str, left_out: int) -> bytes:
        more = {"attemptsCut": str(left_out)} if left_out else {}
        own = element(f"answer@{token(origin.enterprise, 12)}", values | more, BOUNDS | {"outcome": 16})
        return f"{head}{synced}{known}{meta}{own}{told}{text}".encode()

    room = limit - len(whole("", len(answer.attempts)))
    kept: list[str] = []
    for number in range(len(answer.attempts) - 1, -1, -1):
        told = _attempt(number, answer.attempts[number], origin)
        size = len(told.encode())
        if size > room or len(kept) >= MOST_ATTEMPTS:
            break
        room -= size
        kept.insert(0, told)
    return whole("".join(kept), len(answer.attempts) - len(kept))


def _attempt(number: int, attempt: Attempt, origin: Origin) -> str:
    values = {
        "node": attempt.node,
        "zone": attempt.zone,
        "outcome": attempt.outcome,
        "delay": f"{attempt.delay:.6f}",
        "mayHaveRun": str(int(attempt.may_have_run)),
    }
    name = f"attempt{number}@{token(origin.enterprise, 12)}"
    return element(name, values, {"node": NODE, "zone": NODE, "outcome": 32})


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
    re.compile(rb" (" + NAME + rb')="((?:[^"\\\]]|\\.)*)"', re.S),
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
            values[param[1].decode()] = UNESCAPE.sub(r"\1", value)
            place = param.end()
        if data[place : place + 1] != b"]":
            raise BadMessage(f"no end of {name} at byte {place}")
        message.elements[name] = values
        place += 1
    if place == begin:
        raise BadMessage(f"no structured data at byte {place}")
    return place
