"""Types of the plan book: its records, what it answers, its errors. Times are seconds of Unix time.

A record says what holds from a moment on. Records have serials from 1, without holes; whoever has applied the
same records has the same book, byte for byte. As JSON a record is a list whose first word is its kind.
"""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass, fields
from typing import Any

from coralvale import interface as api

NAME, ID, COMMAND = 64, 64, 128  # most characters of a plan's or pool's name, a reservation's, a command's
FIGURES = tuple(f.name for f in fields(api.Plan))


class PlansError(ValueError):
    """A plan book, a record or a command that makes no sense; the message is one plain line."""


class Refused(PlansError):
    """A command that cannot be carried out as things stand, and what could be instead.

    `most` is the largest rate that fits where a reservation asked for more, `earliest` the first moment from
    which what it asked for fits for as long (None: not within the horizon).
    """

    def __init__(self, why: str, most: float | None = None, earliest: float | None = None) -> None:
        super().__init__(why)
        self.most, self.earliest = most, earliest


@dataclass(frozen=True, slots=True)
class Defined:
    """A plan has these figures from `at` on."""

    at: float
    plan: api.Plan


@dataclass(frozen=True, slots=True)
class Moved:
    """A station (16 hex digits) is on a plan from `at` on; on "" it is on what its requests name."""

    at: float
    station: str
    plan: str


@dataclass(frozen=True, slots=True)
class Pooled:
    """From `at` on a pool has `rate` units a second that can be reserved."""

    at: float
    pool: str
    rate: float


@dataclass(frozen=True, slots=True)
class Reserved:
    """A station has `rate` units a second more in [at, until), and `burst` units more of burst."""

    at: float
    until: float
    id: str
    pool: str
    station: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Cancelled:
    """A reservation ends at `at`; before its beginning: it never is."""

    at: float
    id: str


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The change that record `serial` made is not to come. `at` is when this was said."""

    at: float
    serial: int


@dataclass(frozen=True, slots=True)
class Led:
    """From `at` on changes are told at least `lead` seconds ahead; at `floor` no ceiling is lower."""

    at: float
    lead: float
    floor_rate: float
    floor_burst: float


@dataclass(frozen=True, slots=True)
class Trimmed:
    """What was over before `at` is forgotten."""

    at: float


Record = Defined | Moved | Pooled | Reserved | Cancelled | Withdrawn | Led | Trimmed
KINDS: dict[str, type[Any]] = {
    "plan": Defined, "move": Moved, "pool": Pooled, "reserve": Reserved, "cancel": Cancelled,
    "withdraw": Withdrawn, "lead": Led, "trim": Trimmed,
}  # fmt: skip
TYPES = {kind: [(f.name, f.type) for f in fields(kind)] for kind in KINDS.values()}
WORDS = {kind: word for word, kind in KINDS.items()}


@dataclass(frozen=True, slots=True)
class Entry:
    """A record in its place. `command` is the name under which it was asked for, said again with each retry."""

    serial: int
    command: str
    record: Record


def written(entry: Entry) -> list[Any]:
    """An entry as JSON knows it."""
    record = entry.record
    if isinstance(record, Defined):
        row: list[Any] = [record.at, list(astuple(record.plan))]
    else:
        row = list(astuple(record))
    return [entry.serial, entry.command, WORDS[type(record)], *row]


def entry_of(row: Any) -> Entry:  # noqa: ANN401
    """The entry that `written` gave. Raises PlansError."""
    try:
        serial, command, word, *values = row
        kind = KINDS[word]
        if kind is Defined:
            at, figures = values
            values = [at, plan_of(dict(zip(FIGURES, figures, strict=True)))]
        for (name, type_), value in zip(TYPES[kind], values, strict=True):
            _typed(name, value, type_)
        if not isinstance(serial, int) or isinstance(serial, bool) or not isinstance(command, str):
            raise TypeError("serial and command")
        return Entry(serial, command, kind(*values))
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise PlansError(f"no record of a plan book: {error}") from None


def _typed(name: str, value: Any, kind: Any) -> None:  # noqa: ANN401
    if kind == "float":
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise TypeError(f"{name}: expected a number, got {value!r}")
    elif kind == "int":
        if isinstance(value, bool) or not isinstance(value, int):
            raise TypeError(f"{name}: expected a whole number, got {value!r}")
    elif kind == "str" and not isinstance(value, str):
        raise TypeError(f"{name}: expected a text, got {value!r}")


def plan_of(figures: Any) -> api.Plan:  # noqa: ANN401
    """A plan by its figures, checked. Raises PlansError that names the figure."""
    if not isinstance(figures, dict):
        raise PlansError("plan: expected a table of figures")
    unknown = sorted(set(figures) - set(FIGURES))
    if unknown:
        raise PlansError(f"plan.{unknown[0]}: unknown; expected {', '.join(FIGURES)}")
    name = figures.get("name")
    named("plan.name", name)
    for key in FIGURES[1:]:
        value = figures.get(key, 0.0)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e12:
            raise PlansError(f"plan.{key}: expected a number from 0, got {value!r}")
    for key in ("rate", "burst"):
        if key not in figures:
            raise PlansError(f"plan.{key}: missing; 0 means no limit")
    plan = api.Plan(str(name), **{key: float(value) for key, value in figures.items() if key != "name"})
    if plan.rate > 0 and plan.burst <= 0:
        raise PlansError("plan.burst: a rate needs a burst above 0")
    if plan.ceiling_rate > 0 and plan.ceiling_burst <= 0:
        raise PlansError("plan.ceiling_burst: a ceiling needs a burst above 0")
    return plan


def named(path: str, text: Any, most: int = NAME) -> None:  # noqa: ANN401
    """Raises PlansError unless it is a plain word: what a header or a path can hold as it stands."""
    if not (isinstance(text, str) and 0 < len(text) <= most and all("!" <= c <= "~" for c in text)):
        raise PlansError(f"{path}: expected a plain word of at most {most} characters, got {text!r:.80}")


def station_of(text: Any) -> str:  # noqa: ANN401
    """A station as it stands in the cookie `client`. Raises PlansError."""
    if not (isinstance(text, str) and len(text) == 16 and all(c in "0123456789abcdef" for c in text)):
        raise PlansError(f"station: expected 16 hex digits, got {text!r:.80}")
    if int(text, 16) >= 2**33:
        raise PlansError(f"station: {text} is above the largest, 00000001ffffffff")
    return text
