"""What the plan service answers to gateways and callers, and what it may say that it knows. No I/O.

A gateway asks for what comes after the record that it has; an answer holds records, and `asof`: the moment up to
which they are all that was told. Every record holds `lead` after it was told at the soonest, so a gateway relies
on `asof + lead`. A command is checked at one moment and durable at a later one; until then, and while it is not
known whether it will be found on the disk after a crash, `asof` stays where it was before it was checked.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import Any

from coralvale.plans.book import Book
from coralvale.plans.commands import record_for
from coralvale.plans.model import Entry, Record
from coralvale.plans.readers import Readers

PAGE = 1000  # entries of one answer
ROWS = 1000  # changes, and reservations, that `state` shows: the next ones
KEPT = 10_000  # newest entries that are kept for gateways that are behind; one further behind gets the whole book


@dataclass(frozen=True, slots=True)
class Told:
    """An answer to a gateway: a head, and `entries` of it that come one by one."""

    head: dict[str, Any]
    entries: list[Entry]


class Desk:
    """One plan service's state: `id` names its book, by which a gateway knows another one."""

    def __init__(self, book: Book, id_: str, expected: tuple[str, ...] = ()) -> None:
        self.book, self.id, self.readers = book, id_, Readers(expected)
        self.entries: deque[Entry] = deque(maxlen=KEPT)
        self.doubt: float | None = None  # since when a record may be on the disk that is not in the book

    # Commands

    def check(self, now: float, data: Any) -> tuple[Entry, bool]:  # noqa: ANN401
        """The entry of a command, and whether it has still to be written. Raises PlansError, Refused."""
        entry = record_for(self.book, now, data)
        new = entry.serial > self.book.serial
        if new and self.doubt is None:
            self.doubt = now
        return entry, new

    def own(self, now: float, record: Record) -> Entry:
        """The entry of a record that the service makes itself."""
        if self.doubt is None:
            self.doubt = now
        return Entry(self.book.serial + 1, "", record)

    def durable(self, entry: Entry) -> None:
        """An entry is written: it holds, and no older try at its place does."""
        self.book.apply(entry)
        self.entries.append(entry)
        self.doubt = None

    def settled(self) -> None:
        """The disk holds the book and nothing else."""
        self.doubt = None

    # Gateways

    def asof(self, now: float) -> float:
        return now if self.doubt is None else min(now, self.doubt)

    def read(self, now: float, reader: str, id_: str, after: int | None) -> Told | None:
        """The answer to a gateway that has a book up to a record; None if there is nothing new to tell."""
        known = id_ == self.id and after is not None and after <= self.book.serial
        if known and after is not None:
            self.readers.heard(now, reader, after)
            if after == self.book.serial:
                return None
            first = self.book.serial - len(self.entries) + 1
            if after + 1 >= first:
                page = list(islice(self.entries, after + 1 - first, after + 1 - first + PAGE))
                # A page that is not the last does not hold all that was told.
                asof = self.asof(now) if after + len(page) == self.book.serial else None
                return self._told(asof, after + len(page), False, page)
        return self._told(self.asof(now), self.book.serial, True, list(self.book.kept()))

    def nothing_new(self, now: float) -> Told:
        return self._told(self.asof(now), self.book.serial, False, [])

    def _told(self, asof: float | None, serial: int, whole: bool, entries: list[Entry]) -> Told:
        head = {"id": self.id, "asof": asof, "serial": serial, "whole": whole, "entries": len(entries)}
        return Told(head, entries)

    # Operators

    def state(self, now: float) -> dict[str, Any]:
        """What holds, what is to come, and who knows of it; as JSON."""
        book, waited = self.book, self.readers.waited_for(now)
        known = {name: self.readers.seen[name] for name in waited if name in self.readers.seen}

        def missing(serial: int) -> list[str]:
            return [name for name in waited if name not in known or known[name].serial < serial]

        changes = sorted(
            ((change.at, kind, name, change) for kind, table in book.tables() for name, changes in table.items()
             for change in changes if change.at > now),
            key=lambda row: row[:3],
        )  # fmt: skip
        booked = sorted(book.reserved.values(), key=lambda b: b.record.at)
        to_come = [
            {
                "serial": change.serial, "at": at, "in_s": round(at - now, 3), "kind": kind, "name": name,
                "to": change.what if kind != "plan" else change.what.name, "missing": missing(change.serial),
            }
            for at, kind, name, change in changes[:ROWS]
        ]  # fmt: skip
        reserved = [
            {
                "id": b.record.id, "pool": b.record.pool, "station": b.record.station, "rate": b.record.rate,
                "burst": b.record.burst, "at": b.record.at, "until": b.until, "missing": missing(b.serial),
            }
            for b in booked[:ROWS]
        ]  # fmt: skip
        gateways = [
            {
                "name": name,
                "serial": known[name].serial if name in known else None,
                "heard_s": round(now - known[name].heard_at, 3) if name in known else None,
            }
            for name in waited
        ]
        return {
            "id": self.id,
            "serial": book.serial,
            "now": now,
            "lead_s": book.lead(now),
            "floor": list(book.floor()),
            "doubt": self.doubt is not None,
            "gateways": gateways,
            "plans": {name: book.plan(name, now) is not None for name in book.plans},
            "stations": len(book.stations),
            "pools": {name: [[at, rate] for at, rate in book.left(name)] for name in book.pools},
            "to_come": to_come,
            "reserved": reserved,
            "more": len(changes) + len(booked) - len(to_come) - len(reserved),
        }
