"""Parses coordination calls of applications and operators, as PROTOCOL defines them, from HTTP to typed calls.

Two calls are for operators: `coordination.list` (`of`: locks, numbers or keys) and `locks.expire`.
"""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from coralvale.cluster.coordination.model import (
    MAX_HOLD_MS,
    MAX_LISTED_NAMES,
    MAX_POLL_MS,
    MAX_REASON_CHARS,
    MAX_VALUE_BYTES,
    NAME_PATTERN,
    Acquire,
    Call,
    Expire,
    Get,
    ListNames,
    NextNumber,
    Put,
    Release,
    Renew,
    Watch,
)
from coralvale.cluster.coordination.model import NameKind as Listable
from coralvale.cluster.errors import Kind, Problem

MAX_REVISION = 2**53  # also of fences: the largest range of integers that JSON numbers hold exactly


class AcquireBody(msgspec.Struct):
    Owner: str
    HoldMs: float


class RenewBody(msgspec.Struct):
    Owner: str
    fence: int
    HoldMs: float


class ReleaseBody(msgspec.Struct):
    Owner: str
    fence: int


class PutBody(msgspec.Struct):
    Val: str
    Duty: int | None = None


class ExpireBody(msgspec.Struct):
    fence: int
    Reason: str


class ListBody(msgspec.Struct):
    """`After`: the last name of the previous page; `Most`: page size."""

    After: str = ""
    Prefix: str = ""
    Most: int = MAX_LISTED_NAMES


_acquire = msgspec.json.Decoder(AcquireBody).decode
_renew = msgspec.json.Decoder(RenewBody).decode
_release = msgspec.json.Decoder(ReleaseBody).decode
_put = msgspec.json.Decoder(PutBody).decode
_expire = msgspec.json.Decoder(ExpireBody).decode
_list = msgspec.json.Decoder(ListBody).decode


def _name(text: str, field: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{field}: expected 1 to 128 printable characters without spaces")
    return text


def _hold_ms(value: float) -> int:
    if not 1 <= value <= MAX_HOLD_MS:
        raise ValueError(f"HoldMs: expected 1 to {MAX_HOLD_MS}")
    return int(value)


def _fence(value: int) -> int:
    if not 0 <= value <= MAX_REVISION:
        raise ValueError("fence: expected one that was granted")
    return value


def _read_acquire(name: str, body: bytes) -> Call:
    sent = _acquire(body)
    return Acquire(name, _name(sent.Owner, "Owner"), _hold_ms(sent.HoldMs))


def _read_renew(name: str, body: bytes) -> Call:
    sent = _renew(body)
    return Renew(name, _name(sent.Owner, "Owner"), _fence(sent.fence), _hold_ms(sent.HoldMs))


def _read_release(name: str, body: bytes) -> Call:
    sent = _release(body)
    return Release(name, _name(sent.Owner, "Owner"), _fence(sent.fence))


def _read_put(name: str, body: bytes) -> Call:
    sent = _put(body)
    if len(sent.Val.encode()) > MAX_VALUE_BYTES:
        raise ValueError(f"Val: expected {MAX_VALUE_BYTES} bytes at most")
    if sent.Duty is not None and not 0 <= sent.Duty <= MAX_REVISION:
        raise ValueError("Duty: expected a revision")
    return Put(name, sent.Val, sent.Duty)


def _read_get(name: str, body: bytes) -> Call:
    return Get(name)


def _read_expire(name: str, body: bytes) -> Call:
    sent = _expire(body)
    if not 1 <= len(sent.Reason) <= MAX_REASON_CHARS or not sent.Reason.isprintable():
        raise ValueError(f"Reason: expected 1 to {MAX_REASON_CHARS} printable characters")
    return Expire(name, _fence(sent.fence), sent.Reason)


def _read_list(name: str, body: bytes) -> Call:
    sent = _list(body or b"{}")
    if name not in {kind.value for kind in Listable}:
        raise ValueError("of: expected locks, numbers or keys")
    after = _name(sent.After, "After") if sent.After else ""
    prefix = _name(sent.Prefix, "Prefix") if sent.Prefix else ""
    if not 1 <= sent.Most <= MAX_LISTED_NAMES:
        raise ValueError(f"Most: expected 1 to {MAX_LISTED_NAMES}")
    return ListNames(Listable(name), after, prefix, sent.Most)


READERS: dict[str, Callable[[str, bytes], Call]] = {
    "locks.begin": _read_acquire,
    "locks.heartbeat": _read_renew,
    "locks.finish": _read_release,
    "cells.replace": _read_put,
    "cells.read": _read_get,
    "locks.expire": _read_expire,
    "coordination.list": _read_list,
}


def read_call(call: str, name: str, body: bytes) -> Call | Problem:
    """Parses the RPC `call`, one of `READERS`; `name` is its `of` parameter."""
    try:
        return READERS[call](_name(name, "of"), body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Problem(Kind.BAD_REQUEST, str(error))


def read_number(name: str) -> Call | Problem:
    """Parses `POST /numbers/ID`."""
    try:
        return NextNumber(_name(name, "ID"))
    except ValueError as error:
        return Problem(Kind.BAD_REQUEST, str(error))


def read_watch(group: str, query: str) -> Call | Problem:
    """Parses `GET /watch/ID?after=REVISION&PollMs=MS`."""
    fields = parse_qs(query, keep_blank_values=True)
    try:
        after = _whole_number(fields.get("after", ["0"])[0], "after", MAX_REVISION)
        poll_ms = _whole_number(fields.get("PollMs", ["0"])[0], "PollMs", MAX_REVISION)
        return Watch(_name(group, "ID"), after, min(poll_ms, MAX_POLL_MS))
    except ValueError as error:
        return Problem(Kind.BAD_REQUEST, str(error))


def _whole_number(text: str, field: str, maximum: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 16 or int(text) > maximum:
        raise ValueError(f"{field}: expected a whole number up to {maximum}")
    return int(text)
