"""Commands as the plan service takes them: JSON in, a record or an error out. No I/O.

    {"command": "a7f3", "do": "move", "station": "0000000000000007", "plan": "federal", "at": 1764595200.0}

`command` is the caller's name for it; said again it is done once and answered alike. `at` left out means as soon
as all gateways can know of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from typing import Any

from coralvale.plans.book import Book, command_name
from coralvale.plans.model import WORDS, Defined, Entry, PlansError, Record, plan_of

Made = Callable[[Book, float, dict[str, Any]], Record]

# Of each command: what must be given, what may be, and how the book is asked.
TABLE: dict[str, tuple[tuple[str, ...], tuple[str, ...], Made]] = {
    "plan": (("plan",), ("at",), lambda b, now, d: b.define(now, plan_of(d["plan"]), d.get("at"))),
    "move": (("station", "plan"), ("at",), lambda b, now, d: b.move(now, d["station"], d["plan"], d.get("at"))),
    "pool": (("pool", "rate"), ("at",), lambda b, now, d: b.pool(now, d["pool"], d["rate"], d.get("at"))),
    "reserve": (
        ("id", "pool", "station", "rate", "until"),
        ("at", "burst"),
        lambda b, now, d: b.reserve(
            now, d["id"], d["pool"], d["station"], d["rate"], d.get("at"), d["until"], d.get("burst", 0.0)
        ),
    ),
    "cancel": (("id",), (), lambda b, now, d: b.cancel(now, d["id"])),
    "withdraw": (("serial",), (), lambda b, now, d: b.withdraw(now, d["serial"])),
}  # fmt: skip


class Reused(PlansError):
    """The name of a command that was carried out stands over another one."""


def record_for(book: Book, now: float, data: Any) -> Entry:  # noqa: ANN401
    """The entry that a command calls for; one that was carried out gives the entry that it made then.

    Raises PlansError for what is no command, Reused, and Refused for what cannot be done as things stand.
    """
    if not isinstance(data, dict):
        raise PlansError("a command is a JSON object")
    name = command_name(data.get("command"))
    word = data.get("do")
    if not isinstance(word, str) or word not in TABLE:
        raise PlansError(f"do: expected one of {', '.join(TABLE)}, got {word!r:.40}")
    needed, may, made = TABLE[word]
    given = {key for key in data if key not in ("command", "do")}
    if lacking := [key for key in needed if key not in given]:
        raise PlansError(f"{lacking[0]}: missing")
    if unknown := sorted(given - {*needed, *may}):
        raise PlansError(f"{unknown[0]}: unknown; {word} takes {', '.join((*needed, *may))}")
    if isinstance(data.get("serial", 0), bool) or not isinstance(data.get("serial", 0), int):
        raise PlansError("serial: expected a whole number")
    if isinstance(data.get("plan", ""), str) is (word == "plan"):
        raise PlansError("plan: expected a table of figures" if word == "plan" else "plan: expected a name")
    if done := book.done(name):
        if not _alike(done.record, word, data):
            raise Reused(f"command {name}: was another one, record {done.serial}")
        return done
    return Entry(book.serial + 1, name, made(book, now, data))


def _alike(record: Record, word: str, data: dict[str, Any]) -> bool:
    """Whether a record is what a command asks for, as far as the command says."""
    if WORDS[type(record)] != word:
        return False
    if isinstance(record, Defined):
        return plan_of(data["plan"]) == record.plan and data.get("at", record.at) == record.at
    if word == "withdraw":
        return bool(getattr(record, "serial", None) == data["serial"])
    names = [f.name for f in fields(record)]
    return all(
        getattr(record, key) == value for key, value in data.items() if key in names and value is not None
    )
