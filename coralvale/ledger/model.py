"""The ledger's records, the lines and batches that are billed, and its errors.

A *try* is a request of which an attempt was made. If any of its attempts arrived completely at a host,
its station is billed for it once, in units, in the period of its first attempt. Periods are numbered from
Unix time 0. Units are integer millionths (microunits) in all records, so that sums are exact in any
order.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import lru_cache
from typing import Any


class LedgerError(ValueError):
    """A ledger or a call is invalid; the message is one line: place, what is wrong."""


MICROUNITS_PER_UNIT = 1_000_000


@dataclass(frozen=True, slots=True)
class Account:
    """Who is billed: station (16 hex digits), plan and class, by their names at the time of use."""

    station: str
    plan: str
    cls: str


# Records are events in order. A ledger's state is fully determined by them.


@dataclass(frozen=True, slots=True)
class Opened:
    """The first attempt of a try is about to be made; `at` is Unix time in seconds."""

    request: str
    at: float
    account: Account
    units: int


@dataclass(frozen=True, slots=True)
class Closed:
    """A try is over; `arrived`: an attempt arrived completely at a host, so the try is billed."""

    request: str
    arrived: bool


@dataclass(frozen=True, slots=True)
class Doubted:
    """The process died before the try was over: it is unknown whether it arrived; not billed yet."""

    request: str


@dataclass(frozen=True, slots=True)
class Resolved:
    """A try in doubt was resolved by hand, by what the hosts report."""

    request: str
    arrived: bool


@dataclass(frozen=True, slots=True)
class Adjusted:
    """A manual correction: units (negative: credited) and tries for an account in a period, and the reason.

    `name` is unique, so that a correction that is submitted again is not applied again.
    """

    name: str
    period: int
    account: Account
    tries: int
    units: int
    reason: str


@dataclass(frozen=True, slots=True)
class Sealed:
    """A period is closed: its sums become a batch, and later changes are corrections."""

    period: int


@dataclass(frozen=True, slots=True)
class Corrected:
    """The corrections gathered so far become a batch."""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The billing service has received a batch."""

    serial: int


Record = Opened | Closed | Doubted | Resolved | Adjusted | Sealed | Corrected | Acknowledged
RECORD_TYPES: dict[str, type] = {
    "o": Opened, "c": Closed, "d": Doubted, "r": Resolved, "j": Adjusted, "s": Sealed, "k": Corrected,
    "a": Acknowledged,
}  # fmt: skip
TYPE_CODES = {kind: letter for letter, kind in RECORD_TYPES.items()}


@dataclass(frozen=True, slots=True)
class Line:
    """Tries and units of an account in a period. `reason`: empty for use, else why it is corrected."""

    period: int
    account: Account
    tries: int
    units: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Batch:
    """Lines that are exported together, once; `serial` numbers the batches of a ledger from 1."""

    serial: int
    lines: tuple[Line, ...]


def to_json(value: Any) -> Any:  # noqa: ANN401
    """A record's field, or a line, as a value that JSON can represent."""
    if isinstance(value, Account):
        return [value.station, value.plan, value.cls]
    if isinstance(value, Line):
        return [value.period, to_json(value.account), value.tries, value.units, value.reason]
    return value


compact_json = json.JSONEncoder(
    separators=(",", ":")
).encode  # json.dumps would create an encoder for each call
json_string = json.encoder.encode_basestring_ascii


@lru_cache(16_384)
def _account_json(account: Account) -> str:
    return compact_json(to_json(account))


def encode(record: Record) -> bytes:
    """The bytes of a record in a log. The two records of each try are formatted without the encoder."""
    if isinstance(record, Opened):
        account = _account_json(record.account)
        return f'["o",{json_string(record.request)},{record.at!r},{account},{record.units}]'.encode()
    if isinstance(record, Closed):
        return f'["c",{json_string(record.request)},{"true" if record.arrived else "false"}]'.encode()
    fields = [to_json(getattr(record, name)) for name in record.__slots__]
    return compact_json([TYPE_CODES[type(record)], *fields]).encode()


def decode(data: bytes) -> Record:
    """A record as `encode` wrote it. Raises LedgerError."""
    try:
        letter, *fields = json.loads(data)
        kind = RECORD_TYPES[letter]
        values = [Account(*f) if isinstance(f, list) else f for f in fields]
        record: Record = kind(*values)
        if hasattr(record, "request") and not isinstance(record.request, str):
            raise TypeError(f"a request {record.request!r}")
        if isinstance(record, Opened) and not (
            isinstance(record.at, float | int)
            and isinstance(record.account, Account)
            and isinstance(record.units, int)
        ):
            raise TypeError("an opened try of other fields")
    except (ValueError, KeyError, TypeError) as error:
        raise LedgerError(f"no record of a ledger: {error}") from None
    return record


def line_from_json(row: list[Any]) -> Line:
    """The line that `to_json` converted."""
    period, account, tries, units, reason = row
    return Line(int(period), Account(*account), int(tries), int(units), str(reason))


def batch_body(ledger: str, batch: Batch) -> bytes:
    """The exported body of a batch: always the same bytes for the same batch."""
    rows = [
        {
            "period": line.period,
            "station": line.account.station,
            "plan": line.account.plan,
            "class": line.account.cls,
            "tries": line.tries,
            "microunits": line.units,
            "correction": line.reason,
        }
        for line in batch.lines
    ]
    fields = {"ledger": ledger, "serial": batch.serial, "lines": rows}
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def digest(data: bytes) -> str:
    """SHA-256 of a body in hex; sent and compared as its ETag."""
    return hashlib.sha256(data).hexdigest()
