"""The ledger's decisions: which period a try belongs to, when it is sealed, what is a correction. No I/O.

Commands (`open`, `close`, `tick`, ...) return the records that they call for; only `apply` changes the
state, so a ledger that is replayed from its records equals the ledger that wrote them. `snapshot` and
`restore` save and load the whole state, so that older records need not be read again.

  rule                                                                     why
  -----------------------------------------------------------------------  ---------------------------------------
  A try belongs to the period of its first attempt, however late its       use on a month's last day belongs to
  later attempts and its end are.                                          that month
  It is counted once, when it is over, if any attempt arrived completely   a try that was never sent costs nothing
  at a host.
  A period is sealed `grace` after its end if none of its tries is open,   a batch must not miss tries that were
  and `patience` after its end in any case.                                only slow
  A sealed period never changes: later tries are corrections, in a batch   the receiver has the batch and bills
  of their own.                                                            by it
  Periods are sealed in order; a period without lines makes no batch.
  A try whose process died is in doubt: it is in no batch until it is      billing what did not run is worse than
  resolved; then it counts in its period, or as a correction to it.        billing late
  A batch keeps its serial and its bytes until it is acknowledged.         it can be sent again unchanged

Invariant: tries that were closed as arrived = tries in open periods + in corrections + in unacknowledged
batches + in acknowledged batches, less manual adjustments (`totals`).
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
    line_from_json,
    to_json,
)

REASON_LATE, REASON_RESOLVED = "late", "resolved"  # reasons of automatic corrections
OVERFLOW_STATION = "(others)"  # replaces the station once a period has max_accounts
MAX_ADJUSTMENT_NAMES = 10_000  # of recent manual corrections, to detect duplicates


@dataclass(frozen=True)
class Terms:
    """Settings of a ledger; times are in seconds."""

    period: float = 3600.0
    grace: float = 10.0  # at least the longest duration of a try
    patience: float = 60.0
    gather: float = 60.0  # corrections are gathered into a batch for this time
    max_accounts: int = 100_000  # per period; further use counts for OVERFLOW_STATION, by plan and class
    max_open: int = 200_000  # open or in doubt; further tries are refused or served unbilled

    def __post_init__(self) -> None:
        if not (self.period > 0 and 0 <= self.grace <= self.patience and self.gather >= 0):
            raise LedgerError(f"terms: {self}")


@dataclass(slots=True)
class Sum:
    """A count of tries and their microunits."""

    tries: int = 0
    units: int = 0

    def add(self, tries: int, units: int) -> None:
        self.tries += tries
        self.units += units


@dataclass(slots=True)
class Book:
    """The state of one ledger."""

    terms: Terms
    open_tries: dict[str, Opened] = field(default_factory=dict)
    doubts: dict[str, Opened] = field(default_factory=dict)
    balances: dict[int, dict[Account, Sum]] = field(default_factory=dict)  # of periods not yet sealed
    corrections: dict[tuple[int, Account, str], Sum] = field(default_factory=dict)
    batches: dict[int, Batch] = field(default_factory=dict)  # not yet acknowledged, by serial
    sealed: int | None = None  # the newest sealed period; all earlier ones are sealed too
    serial: int = 0
    acknowledged: Sum = field(default_factory=Sum)  # in acknowledged batches
    adjusted: dict[str, None] = field(default_factory=dict)  # names of recent manual corrections, in order
    last_correction_at: float = -math.inf
    open_counts: dict[int, int] = field(default_factory=dict)  # number of open tries per period

    # Commands

    def period(self, at: float) -> int:
        """The number of the period that contains this Unix time."""
        return math.floor(at / self.terms.period)

    def open(self, at: float, request: str, account: Account, units: int) -> list[Record]:
        """The first attempt of a try is about to be made. Raises LedgerError if it is open, or too many are."""
        if request in self.open_tries or request in self.doubts:
            raise LedgerError(f"{request}: is open already")
        if len(self.open_tries) + len(self.doubts) >= self.terms.max_open:
            raise LedgerError(f"{self.terms.max_open} tries are open or in doubt")
        # If the clock stepped back into a sealed period, the try becomes a correction to it.
        return [Opened(request, at, account, units)]

    def close(self, request: str, arrived: bool) -> list[Record]:
        """A try is over. No record if it is not open: it was closed before or never recorded."""
        return [Closed(request, arrived)] if request in self.open_tries else []

    def doubt_all(self) -> list[Record]:
        """At the start: puts the tries that the previous process left open in doubt."""
        return [Doubted(request) for request in self.open_tries]

    def resolve(self, request: str, arrived: bool) -> list[Record]:
        """Resolves a try in doubt. Raises LedgerError if it is not in doubt."""
        if request not in self.doubts:
            raise LedgerError(f"{request}: is not in doubt")
        return [Resolved(request, arrived)]

    def adjust(
        self, name: str, period: int, account: Account, tries: int, units: int, reason: str
    ) -> list[Record]:
        """A manual correction. Raises LedgerError if it was made before, has no reason, or changes nothing."""
        if name in self.adjusted:
            raise LedgerError(f"{name}: is done already")
        if not reason.strip() or reason in (REASON_LATE, REASON_RESOLVED):
            raise LedgerError("a correction needs a reason of its own")
        if not tries and not units:
            raise LedgerError("a correction of nothing")
        return [Adjusted(name, period, account, tries, units, reason)]

    def acknowledge(self, serial: int) -> list[Record]:
        """The billing service has this batch."""
        return [Acknowledged(serial)] if serial in self.batches else []

    def tick(self, now: float) -> list[Record]:
        """The records due at `now`; seals at most one period per call, to keep each call short."""
        due = min([*self.balances, *self.open_counts], default=None)
        if due is not None:
            over = now - (due + 1) * self.terms.period
            if over >= self.terms.patience or (over >= self.terms.grace and not self.open_counts.get(due)):
                return [Sealed(due)]
        if self.corrections and now - self.last_correction_at >= self.terms.gather:
            self.last_correction_at = now
            return [Corrected()]
        return []

    # Effects of records

    def apply(self, record: Record) -> None:
        """Applies a record to the state. Raises LedgerError if it is not valid in this state."""
        if isinstance(record, Opened):
            self.open_tries[record.request] = record
            period = self.period(record.at)
            if not self._is_sealed(period):
                self.open_counts[period] = self.open_counts.get(period, 0) + 1
        elif isinstance(record, Closed):
            opened = self._remove(self.open_tries, record.request)
            if record.arrived:
                self._bill(opened, REASON_LATE)
        elif isinstance(record, Doubted):
            self.doubts[record.request] = self._remove(self.open_tries, record.request)
        elif isinstance(record, Resolved):
            if (found := self.doubts.pop(record.request, None)) is None:
                raise LedgerError(f"{record.request}: resolved, but not in doubt")
            if record.arrived:
                self._bill(found, REASON_RESOLVED)
        elif isinstance(record, Adjusted):
            self.adjusted[record.name] = None
            if len(self.adjusted) > MAX_ADJUSTMENT_NAMES:
                del self.adjusted[next(iter(self.adjusted))]
            key = record.period, record.account, record.reason
            self.corrections.setdefault(key, Sum()).add(record.tries, record.units)
        elif isinstance(record, Sealed):
            self._seal(record.period)
        elif isinstance(record, Corrected):
            rows = [Line(p, a, s.tries, s.units, reason) for (p, a, reason), s in self.corrections.items()]
            self.corrections.clear()
            self._add_batch(rows)
        elif (batch := self.batches.pop(record.serial, None)) is None:
            raise LedgerError(f"batch {record.serial}: acknowledged, but not waiting")
        else:
            for line in batch.lines:
                self.acknowledged.add(line.tries, line.units)

    def _remove(self, where: dict[str, Opened], request: str) -> Opened:
        """Removes an open try and lowers the count of its period."""
        opened = where.pop(request, None)
        if opened is None:
            raise LedgerError(f"{request}: closed, but not open")
        period = self.period(opened.at)
        if period in self.open_counts:
            self.open_counts[period] -= 1
            if not self.open_counts[period]:
                del self.open_counts[period]
        return opened

    def _is_sealed(self, period: int) -> bool:
        return self.sealed is not None and period <= self.sealed

    def _bill(self, opened: Opened, reason: str) -> None:
        """Counts an arrived try in its period, or as a correction if that is sealed."""
        period, account = self.period(opened.at), opened.account
        others = Account(OVERFLOW_STATION, account.plan, account.cls)
        if self._is_sealed(period):
            key = period, account, reason
            if key not in self.corrections and len(self.corrections) >= self.terms.max_accounts:
                key = period, others, reason
            self.corrections.setdefault(key, Sum()).add(1, opened.units)
            return
        accounts = self.balances.setdefault(period, {})
        if account not in accounts and len(accounts) >= self.terms.max_accounts:
            account = others
        accounts.setdefault(account, Sum()).add(1, opened.units)

    def _seal(self, period: int) -> None:
        if self._is_sealed(period) or any(other < period for other in self.balances):
            raise LedgerError(f"period {period}: sealed out of order")
        self.sealed = period
        for other in [p for p in self.open_counts if p <= period]:
            del self.open_counts[other]
        sums = self.balances.pop(period, {})
        self._add_batch([Line(period, account, s.tries, s.units) for account, s in sums.items()])

    def _add_batch(self, rows: Iterable[Line]) -> None:
        if lines := tuple(sorted(rows, key=_line_order)):
            self.serial += 1
            self.batches[self.serial] = Batch(self.serial, lines)

    # The whole state

    def totals(self) -> Sum:
        """Tries and units that are or will be billed, including adjustments, without tries in doubt."""
        total = Sum(self.acknowledged.tries, self.acknowledged.units)
        sums = [s for accounts in self.balances.values() for s in accounts.values()]
        for one in [*sums, *self.corrections.values()]:
            total.add(one.tries, one.units)
        for batch in self.batches.values():
            for line in batch.lines:
                total.add(line.tries, line.units)
        return total

    def snapshot(self) -> dict[str, Any]:
        """The state as a value that JSON can represent."""
        return {
            "open": [[o.request, o.at, to_json(o.account), o.units] for o in self.open_tries.values()],
            "doubts": [[o.request, o.at, to_json(o.account), o.units] for o in self.doubts.values()],
            "balances": [
                [period, to_json(account), s.tries, s.units]
                for period, accounts in self.balances.items()
                for account, s in accounts.items()
            ],
            "corrections": [
                [p, to_json(a), s.tries, s.units, reason] for (p, a, reason), s in self.corrections.items()
            ],
            "batches": [[b.serial, [to_json(line) for line in b.lines]] for b in self.batches.values()],
            "adjusted": list(self.adjusted),
            "sealed": self.sealed,
            "serial": self.serial,
            "done": [self.acknowledged.tries, self.acknowledged.units],
        }

    @classmethod
    def restore(cls, terms: Terms, data: dict[str, Any]) -> Book:
        """Restores a book from a snapshot. Raises LedgerError if it is invalid."""
        try:
            book = cls(
                terms, sealed=data["sealed"], serial=int(data["serial"]), acknowledged=Sum(*data["done"])
            )
            for request, at, account, units in data["open"]:
                book.apply(Opened(request, at, Account(*account), units))
            for request, at, account, units in data["doubts"]:
                book.doubts[request] = Opened(request, at, Account(*account), units)
            for period, account, tries, units in data["balances"]:
                book.balances.setdefault(period, {})[Account(*account)] = Sum(tries, units)
            for period, account, tries, units, reason in data["corrections"]:
                book.corrections[period, Account(*account), reason] = Sum(tries, units)
            book.adjusted = dict.fromkeys(data["adjusted"])
            for serial, rows in data["batches"]:
                book.batches[serial] = Batch(serial, tuple(line_from_json(row) for row in rows))
        except (KeyError, TypeError, ValueError) as error:
            raise LedgerError(f"no snapshot of a ledger: {error!r}") from None
        return book


def _line_order(line: Line) -> tuple[int, str, str, str, str]:
    account = line.account
    return line.period, account.station, account.plan, account.cls, line.reason
