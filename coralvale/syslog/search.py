"""What is asked of files of answers, and what one message tells. No I/O.

A message that cannot match is found by a few bytes that it would have to hold, without reading it: most of a file
is passed over in that way. So lines that are no message are all counted, but what is wrong inside of a message
shows only in those that are read; `exact` reads all.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from coralvale.syslog.framing import Bad
from coralvale.syslog.messages import BOUNDS, CONTROL, ESCAPED, NODE, SEVERITIES, BadMessage, Message, decode

ROWS = 100_000  # rows of a summary; what comes beyond is put together as OTHERS
OTHERS = "(others)"


@dataclass(frozen=True)
class Row:
    """An answer as it was told; times in seconds, `at` of Unix time."""

    at: float
    gateway: str
    sequence: int
    values: dict[str, str]  # of the element `answer`
    attempts: tuple[dict[str, str], ...] = ()

    @property
    def factor(self) -> int:
        return whole(self.values.get("factor", "1"), 1)

    def told(self) -> dict[str, Any]:
        """For programs."""
        numbers = {key: self.values.get(key, "") for key in ("took", "left", "units")}
        names = ("station", "stationId", "plan", "class", "request", "outcome", "reason", "programme")
        return {
            "at": when(self.at),
            "gateway": self.gateway,
            "sequence": self.sequence,
            **{key: self.values.get(key, "") for key in names},
            "status": whole(self.values.get("status", ""), 0),
            **{key: number(text) for key, text in numbers.items()},
            "spread": whole(self.values.get("spread", ""), 0),
            "factor": self.factor,
            "attempts": [
                {
                    "node": a.get("node", ""),
                    "zone": a.get("zone", ""),
                    "outcome": a.get("outcome", ""),
                    "delay": number(a.get("delay", "")),
                    "mayHaveRun": a.get("mayHaveRun") == "1",
                }
                for a in self.attempts
            ],
            "attemptsCut": whole(self.values.get("attemptsCut", ""), 0),
            "cut": self.values.get("cut", ""),
            "replaced": self.values.get("replaced", ""),
        }


@dataclass(frozen=True)
class Dropped:
    """Answers that a gateway could not tell of."""

    at: float
    gateway: str
    counts: dict[str, int]
    first: int
    last: int


def whole(text: str, default: int) -> int:
    return int(text) if text.isascii() and text.isdecimal() and len(text) < 19 else default


def number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def when(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def read(message: Message) -> Row | Dropped | None:
    """An answer or a gap out of a message; None for one of another program. Raises BadMessage."""
    elements = {name.partition("@")[0]: values for name, values in message.elements.items() if "@" in name}
    if message.at is None:
        raise BadMessage("no time")
    if values := elements.get("answer"):
        order = sorted((n for n in elements if n.startswith("attempt") and n[7:].isdecimal()), key=_number)
        sequence = whole(message.elements.get("meta", {}).get("sequenceId", ""), 0)
        attempts = tuple(elements[name] for name in order)
        return Row(message.at, values.get("gateway") or message.hostname, sequence, values, attempts)
    if values := elements.get("dropped"):
        counts = {name: whole(values[name], 0) for name in SEVERITIES if name in values}
        first, last = (whole(values.get(name, ""), 0) for name in ("first", "last"))
        return Dropped(message.at, message.hostname, counts, first, last)
    return None


def _number(name: str) -> int:
    return int(name[7:])


@dataclass(frozen=True)
class Query:
    """What is asked for; empty is all. `station` is a name or an id of 16 hex digits."""

    station: str = ""
    cls: str = ""
    request: str = ""
    node: str = ""
    outcome: str = ""
    since: float = -math.inf
    until: float = math.inf
    exact: bool = False

    def needles(self) -> list[bytes]:
        """Bytes that each message must hold that matches."""
        if self.exact:
            return []
        asked = [
            ("class", self.cls),
            ("request", self.request),
            ("node", self.node),
            ("outcome", self.outcome),
        ]
        asked.append(("", self.station))
        found = []
        for key, value in asked:
            bound = BOUNDS.get(key, NODE)
            # As it stands in a message, unless it had to be cut or replaced there.
            if value and len(value.encode("utf-8", "replace")) <= bound and not CONTROL.search(value):
                escaped = ESCAPED.sub(lambda m: "\\" + m[0], value)
                found.append((f'{key}="{escaped}"' if key else f'="{escaped}"').encode())
        return found

    def takes(self, row: Row) -> bool:
        values = row.values
        return (
            (not self.station or self.station in (values.get("station"), values.get("stationId")))
            and self.cls in ("", values.get("class"))
            and self.request in ("", values.get("request"))
            and self.outcome in ("", values.get("outcome"))
            and (not self.node or any(a.get("node") == self.node for a in row.attempts))
            and self.since <= row.at <= self.until
        )


@dataclass
class Found:
    """How far a search has come."""

    messages: int = 0
    bad: int = 0
    others: int = 0  # messages of other programs
    dropped: Counter[str] = field(default_factory=Counter)


def search(
    messages: Iterable[bytes], query: Query, found: Found, bad: list[tuple[bytes, str]] | None = None
) -> Iterable[Row]:
    """The answers that match, as they come. What is no message is counted, and put into `bad` if it is given."""
    needles = query.needles()
    for data in messages:
        found.messages += 1
        if not isinstance(data, Bad):
            # Gaps are always read, so that a search can say what it cannot know of.
            skip = any(needle not in data for needle in needles) and b"[dropped@" not in data
            if skip:
                continue
            try:
                row = read(decode(data))
            except BadMessage as error:
                why = str(error)
            else:
                if isinstance(row, Row):
                    if query.takes(row):
                        yield row
                elif row is None:
                    found.others += 1
                elif query.since <= row.at <= query.until:
                    found.dropped.update(row.counts)
                continue
        else:
            why = "no message"
        found.messages -= 1
        found.bad += 1
        if bad is not None:
            bad.append((bytes(data), why))


@dataclass
class Summary:
    """Outcomes of stations over time: answers (by their factors) in steps of `every` seconds."""

    every: float
    rows: dict[tuple[float, str], Counter[str]] = field(default_factory=dict)

    def add(self, row: Row) -> None:
        step = row.at // self.every * self.every
        station = row.values.get("station") or row.values.get("stationId", "")
        key = step, station
        if key not in self.rows and len(self.rows) >= ROWS:
            key = 0.0, OTHERS
        self.rows.setdefault(key, Counter())[row.values.get("outcome", "")] += row.factor

    def told(self) -> list[dict[str, Any]]:
        return [
            {"at": when(step), "station": station, **dict(sorted(counts.items()))}
            for (step, station), counts in sorted(self.rows.items())
        ]
