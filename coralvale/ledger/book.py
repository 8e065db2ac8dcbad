"""The ledger's decisions: in which period a try is paid, when one is sealed, what is a correction. No I/O.

Commands (`open`, `close`, `tick`, ...) return the records that they call for; `apply` is all that changes
the state, so that a ledger read back from its records is the ledger that wrote them. `snapshot` and
`restore` are the same in one piece, by which an old record need not be read again.

  rule                                                                     why
  -----------------------------------------------------------------------  ---------------------------------------
  A try belongs to the period of its first attempt, however late the       what a station used on the last day
  next ones and its end come.                                              of a month is that month's
  It is counted when it is over, once, if any attempt came whole to a      a try that never left costs nothing
  host.
  A period is sealed `grace` after its end, when none of its tries is      nothing is missing from a batch that
  open; `patience` after its end in any case.                              was only slow
  What a sealed period says is never changed: what comes later is a        the receiver has it, and bills by it
  correction, in a batch of its own.
  Periods are sealed in order; one without lines makes no batch.
  A try whose process is gone is in doubt: it is in no batch until it      to bill what did not run is worse than
  is resolved, and then in its period, or a correction to it.              to bill it late
  A batch keeps its serial and its bytes until it is acknowledged.         so that it can be sent again unchanged

What is always true: tries that were closed as arrived = tries in open periods + in corrections + in batches
that wait + in batches that were acknowledged, less what was adjusted by hand (`totals`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from coralvale.ledger.model import (
    Account,
    Acknowledged,
    Adjusted,
    Batch,
    Closed,
    Corrected,
    Doubted,
    LedgerError,
    Line,
    Opened,
    Record,
    Resolved,
    Sealed,
    line_of,
    written,
)

LATE, FOUND = "late", "resolved"  # why there is a correction
OTHERS = "(others)"  # in place of a station, where there are too many
REMEMBERED = 10_000  # corrections by hand


@dataclass(frozen=True)
class Terms:
    """Seconds."""

    period: float = 3600.0
    grace: float = 10.0  # at least the longest time that a try may take
    patience: float = 60.0
    gather: float = 60.0  # corrections are gathered for as long
    most_accounts: int = 100_000  # of a period; use past that is counted for OTHERS, by plan and class
    most_open: int = 200_000  # tries that are open or in doubt; past that one is refused, or served unbilled

    def __post_init__(self) -> None:
        if not (self.period > 0 and 0 <= self.grace <= self.patience and self.gather >= 0):
            raise LedgerError(f"terms: {self}")


@dataclass(slots=True)
class Sum:
    tries: int = 0
    units: int = 0

    def add(self, tries: int, units: int) -> None:
        self.tries += tries
        self.units += units


@dataclass(slots=True)
class Book:
    """One ledger's state."""

    terms: Terms
    open_: dict[str, Opened] = field(default_factory=dict)
    doubts: dict[str, Opened] = field(default_factory=dict)
    balances: dict[int, dict[Account, Sum]] = field(default_factory=dict)  # of periods that are not sealed
    corrections: dict[tuple[int, Account, str], Sum] = field(default_factory=dict)
    batches: dict[int, Batch] = field(default_factory=dict)  # that wait to be acknowledged, by serial
    sealed: int | None = None  # the newest sealed period; those before it are sealed as well
    serial: int = 0
    done: Sum = field(default_factory=Sum)  # in acknowledged batches
    adjusted: dict[str, None] = field(default_factory=dict)  # names of the newest corrections by hand
    corrected_at: float = -math.inf
    pending: dict[int, int] = field(default_factory=dict)  # open tries by period

    # Commands

    def period(self, at: float) -> int:
        return math.floor(at / self.terms.period)

    def open(self, at: float, request: str, account: Account, units: int) -> list[Record]:
        """A try's first attempt is about to be made. Raises LedgerError if it is known, or too many are."""
        if request in self.open_ or request in self.doubts:
            raise LedgerError(f"{request}: is open already")
        if len(self.open_) + len(self.doubts) >= self.terms.most_open:
            raise LedgerError(f"{self.terms.most_open} tries are open or in doubt")
        # A clock that steps back into a sealed period must not change it: the try is a late one there.
        return [Opened(request, at, account, units)]

    def close(self, request: str, arrived: bool) -> list[Record]:
        """A try is over. One that is not open has been closed before, or was never taken."""
        return [Closed(request, arrived)] if request in self.open_ else []

    def doubt_all(self) -> list[Record]:
        """At a start: what the process before left open."""
        return [Doubted(request) for request in self.open_]

    def resolve(self, request: str, arrived: bool) -> list[Record]:
        """Raises LedgerError for a try that is not in doubt."""
        if request not in self.doubts:
            raise LedgerError(f"{request}: is not in doubt")
        return [Resolved(request, arrived)]

    def adjust(
        self, name: str, period: int, account: Account, tries: int, units: int, why: str
    ) -> list[Record]:
        """Raises LedgerError for a correction that was made before, without a reason, or of nothing."""
        if name in self.adjusted:
            raise LedgerError(f"{name}: is done already")
        if not why.strip() or why in (LATE, FOUND):
            raise LedgerError("a correction needs a reason of its own")
        if not tries and not units:
            raise LedgerError("a correction of nothing")
        return [Adjusted(name, period, account, tries, units, why)]

    def acknowledge(self, serial: int) -> list[Record]:
        return [Acknowledged(serial)] if serial in self.batches else []

    def tick(self, now: float) -> list[Record]:
        """What is due: at most one period is sealed at a call, so that one call is short."""
        due = min([*self.balances, *self.pending], default=None)
        if due is not None:
            over = now - (due + 1) * self.terms.period
            if over >= self.terms.patience or (over >= self.terms.grace and not self.pending.get(due)):
                return [Sealed(due)]
        if self.corrections and now - self.corrected_at >= self.terms.gather:
            self.corrected_at = now
            return [Corrected()]
        return []

    # What they do

    def apply(self, record: Record) -> None:
        """Changes the state as a record says. Raises LedgerError for one that cannot follow what was."""
        if isinstance(record, Opened):
            self.open_[record.request] = record
            period = self.period(record.at)
            if not self._is_sealed(period):
                self.pending[period] = self.pending.get(period, 0) + 1
        elif isinstance(record, Closed):
            opened = self._taken(self.open_, record.request)
            if record.arrived:
                self._count(opened, LATE)
        elif isinstance(record, Doubted):
            self.doubts[record.request] = self._taken(self.open_, record.request)
        elif isinstance(record, Resolved):
            if (found := self.doubts.pop(record.request, None)) is None:
                raise LedgerError(f"{record.request}: resolved, but not in doubt")
            if record.arrived:
                self._count(found, FOUND)
        elif isinstance(record, Adjusted):
            self.adjusted[record.name] = None
            if len(self.adjusted) > REMEMBERED:
                del self.adjusted[next(iter(self.adjusted))]
            key = record.period, record.account, record.why
            self.corrections.setdefault(key, Sum()).add(record.tries, record.units)
        elif isinstance(record, Sealed):
            self._seal(record.period)
        elif isinstance(record, Corrected):
            rows = [Line(p, a, s.tries, s.units, why) for (p, a, why), s in self.corrections.items()]
            self.corrections.clear()
            self._batch(rows)
        elif (batch := self.batches.pop(record.serial, None)) is None:
            raise LedgerError(f"batch {record.serial}: acknowledged, but not waiting")
        else:
            for line in batch.lines:
                self.done.add(line.tries, line.units)

    def _taken(self, where: dict[str, Opened], request: str) -> Opened:
        opened = where.pop(request, None)
        if opened is None:
            raise LedgerError(f"{request}: closed, but not open")
        period = self.period(opened.at)
        if period in self.pending:
            self.pending[period] -= 1
            if not self.pending[period]:
                del self.pending[period]
        return opened

    def _is_sealed(self, period: int) -> bool:
        return self.sealed is not None and period <= self.sealed

    def _count(self, opened: Opened, why: str) -> None:
        period, account = self.period(opened.at), opened.account
        others = Account(OTHERS, account.plan, account.cls)
        if self._is_sealed(period):
            key = period, account, why
            if key not in self.corrections and len(self.corrections) >= self.terms.most_accounts:
                key = period, others, why
            self.corrections.setdefault(key, Sum()).add(1, opened.units)
            return
        accounts = self.balances.setdefault(period, {})
        if account not in accounts and len(accounts) >= self.terms.most_accounts:
            account = others
        accounts.setdefault(account, Sum()).add(1, opened.units)

    def _seal(self, period: int) -> None:
        if self._is_sealed(period) or any(other < period for other in self.balances):
            raise LedgerError(f"period {period}: sealed out of order")
        self.sealed = period
        for other in [p for p in self.pending if p <= period]:
            del self.pending[other]
        sums = self.balances.pop(period, {})
        self._batch([Line(period, account, s.tries, s.units) for account, s in sums.items()])

    def _batch(self, rows: Iterable[Line]) -> None:
        if lines := tuple(sorted(rows, key=_order)):
            self.serial += 1
            self.batches[self.serial] = Batch(self.serial, lines)

    # All of it

    def totals(self) -> Sum:
        """Tries and units that are billed, or will be: adjustments among them, doubts not."""
        total = Sum(self.done.tries, self.done.units)
        sums = [s for accounts in self.balances.values() for s in accounts.values()]
        for one in [*sums, *self.corrections.values()]:
            total.add(one.tries, one.units)
        for batch in self.batches.values():
            for line in batch.lines:
                total.add(line.tries, line.units)
        return total

    def snapshot(self) -> dict[str, Any]:
        """The state as JSON knows it."""
        return {
            "open": [[o.request, o.at, written(o.account), o.units] for o in self.open_.values()],
            "doubts": [[o.request, o.at, written(o.account), o.units] for o in self.doubts.values()],
            "balances": [
                [period, written(account), s.tries, s.units]
                for period, accounts in self.balances.items()
                for account, s in accounts.items()
            ],
            "corrections": [
                [p, written(a), s.tries, s.units, why] for (p, a, why), s in self.corrections.items()
            ],
            "batches": [[b.serial, [written(line) for line in b.lines]] for b in self.batches.values()],
            "adjusted": list(self.adjusted),
            "sealed": self.sealed,
            "serial": self.serial,
            "done": [self.done.tries, self.done.units],
        }

    @classmethod
    def restore(cls, terms: Terms, data: dict[str, Any]) -> Book:
        """The book that gave this snapshot. Raises LedgerError."""
        try:
            book = cls(terms, sealed=data["sealed"], serial=int(data["serial"]), done=Sum(*data["done"]))
            for request, at, account, units in data["open"]:
                book.apply(Opened(request, at, Account(*account), units))
            for request, at, account, units in data["doubts"]:
                book.doubts[request] = Opened(request, at, Account(*account), units)
            for period, account, tries, units in data["balances"]:
                book.balances.setdefault(period, {})[Account(*account)] = Sum(tries, units)
            for period, account, tries, units, why in data["corrections"]:
                book.corrections[period, Account(*account), why] = Sum(tries, units)
            book.adjusted = dict.fromkeys(data["adjusted"])
            for serial, rows in data["batches"]:
                book.batches[serial] = Batch(serial, tuple(line_of(row) for row in rows))
        except (KeyError, TypeError, ValueError) as error:
            raise LedgerError(f"no snapshot of a ledger: {error!r}") from None
        return book


def _order(line: Line) -> tuple[int, str, str, str, str]:
    account = line.account
    return line.period, account.station, account.plan, account.cls, line.why
