"""What the ledger is made of: records, the lines that are billed, and its errors.

A *try* is a request of which an attempt was made; its station pays for it once, in units, in the period in
which its first attempt was made, if any of its attempts came whole to a host. Periods are numbered from
Unix time 0. Units are whole millionths everywhere here, so that sums are exact in any order.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import lru_cache
from typing import Any


class LedgerError(ValueError):
    """A ledger, or a call, that cannot be used; one line: place, what is wrong."""


MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class Account:
    """Whom a line is for: station (16 hex digits), plan and class, by the names that were valid at the time."""

    station: str
    plan: str
    cls: str


# Records: what happened, in order. A ledger's state is what they add up to, and nothing else.


@dataclass(frozen=True, slots=True)
class Opened:
    """A try's first attempt is about to be made, at a moment of Unix time."""

    request: str
    at: float
    account: Account
    units: int


@dataclass(frozen=True, slots=True)
class Closed:
    """A try is over; `arrived`: an attempt came whole to a host, so that it is paid for."""

    request: str
    arrived: bool


@dataclass(frozen=True, slots=True)
class Doubted:
    """The process that made a try is gone, and nobody knows whether it arrived: nothing is billed for it yet."""

    request: str


@dataclass(frozen=True, slots=True)
class Resolved:
    """What became of a try in doubt, by whoever asked the hosts."""

    request: str
    arrived: bool


@dataclass(frozen=True, slots=True)
class Adjusted:
    """A correction by hand: units (below 0: given back) and tries for an account in a period, and why.

    `name` is its own, so that it is done once however often it is handed in.
    """

    name: str
    period: int
    account: Account
    tries: int
    units: int
    why: str


@dataclass(frozen=True, slots=True)
class Sealed:
    """A period is over: what stands in it is what it is billed, and later changes are corrections."""

    period: int


@dataclass(frozen=True, slots=True)
class Corrected:
    """The corrections so far become a batch."""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The billing service has a batch."""

    serial: int


Record = Opened | Closed | Doubted | Resolved | Adjusted | Sealed | Corrected | Acknowledged
KINDS: dict[str, type] = {
    "o": Opened, "c": Closed, "d": Doubted, "r": Resolved, "j": Adjusted, "s": Sealed, "k": Corrected,
    "a": Acknowledged,
}  # fmt: skip
LETTERS = {kind: letter for letter, kind in KINDS.items()}


@dataclass(frozen=True, slots=True)
class Line:
    """What a batch says of an account in a period. `why` is empty for use, else it is a correction."""

    period: int
    account: Account
    tries: int
    units: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Batch:
    """Lines that are exported together, once: `serial` counts the batches of one ledger from 1."""

    serial: int
    lines: tuple[Line, ...]


def written(value: Any) -> Any:  # noqa: ANN401
    """A record, or what is in one, as JSON knows it."""
    if isinstance(value, Account):
        return [value.station, value.plan, value.cls]
    if isinstance(value, Line):
        return [value.period, written(value.account), value.tries, value.units, value.why]
    return value


text_of = json.JSONEncoder(separators=(",", ":")).encode  # json.dumps would make one for each call
quoted = json.encoder.encode_basestring_ascii


@lru_cache(16_384)
def _account(account: Account) -> str:
    return text_of(written(account))


def encode(record: Record) -> bytes:
    """A record as it stands in a log; the two that each try has are put together by hand."""
    if isinstance(record, Opened):
        account = _account(record.account)
        return f'["o",{quoted(record.request)},{record.at!r},{account},{record.units}]'.encode()
    if isinstance(record, Closed):
        return f'["c",{quoted(record.request)},{"true" if record.arrived else "false"}]'.encode()
    fields = [written(getattr(record, name)) for name in record.__slots__]
    return text_of([LETTERS[type(record)], *fields]).encode()


def decode(data: bytes) -> Record:
    """A record as `encode` wrote it. Raises LedgerError."""
    try:
        letter, *fields = json.loads(data)
        kind = KINDS[letter]
        values = [Account(*f) if isinstance(f, list) else f for f in fields]
        made: Record = kind(*values)
        if hasattr(made, "request") and not isinstance(made.request, str):
            raise TypeError(f"a request {made.request!r}")
        if isinstance(made, Opened) and not (
            isinstance(made.at, float | int)
            and isinstance(made.account, Account)
            and isinstance(made.units, int)
        ):
            raise TypeError("an opened try of other fields")
    except (ValueError, KeyError, TypeError) as error:
        raise LedgerError(f"no record of a ledger: {error}") from None
    return made


def line_of(row: list[Any]) -> Line:
    """A line as `written` gave it."""
    period, account, tries, units, why = row
    return Line(int(period), Account(*account), int(tries), int(units), str(why))


def body(ledger: str, batch: Batch) -> bytes:
    """A batch as it is exported: always the same bytes for the same batch."""
    rows = [
        {
            "period": line.period,
            "station": line.account.station,
            "plan": line.account.plan,
            "class": line.account.cls,
            "tries": line.tries,
            "microunits": line.units,
            "correction": line.why,
        }
        for line in batch.lines
    ]
    told = {"ledger": ledger, "serial": batch.serial, "lines": rows}
    return json.dumps(told, sort_keys=True, separators=(",", ":")).encode()


def digest(data: bytes) -> str:
    """What tells two bodies apart; stands in ETag."""
    return hashlib.sha256(data).hexdigest()
