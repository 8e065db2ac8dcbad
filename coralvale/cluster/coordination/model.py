"""Calls of applications, what the log orders of them, and what they are answered.

Calls travel between gateways and stand in the log in msgspec's array form: a newer program adds fields at the
end, with defaults. Times are whole milliseconds.
"""

from __future__ import annotations

import re
from enum import Enum

import msgspec
from attrs import frozen

MAX_NAME_CHARS = 128  # characters of a lock's, counter's, key's or owner's name
MAX_VALUE_BYTES = 1024  # bytes of a value
MAX_HOLD_MS = 600_000  # that a lock may be held without a renewal: what a new leader has to wait out
MAX_POLL_MS = 30_000  # that a watch may wait
MAX_REASON_CHARS = 256  # characters of an operator's reason
MAX_LISTED_NAMES = 256  # names in one page of a list
NAME_PATTERN = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARS}}}")


class Acquire(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A lock. `expired_fence`: in the log, the holder's fence whose lease the leader has seen out; 0: none."""

    name: str
    owner: str
    hold_ms: int
    expired_fence: int = 0


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """More time for a lock that is held."""

    name: str
    owner: str
    fence: int
    hold_ms: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A lock given back."""

    name: str
    owner: str
    fence: int


class NextNumber(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A number above all that were given under the name."""

    name: str


class Put(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """`expected`: the revision that the key must be at, 0 for a key that is not there; None: any."""

    key: str
    value: str
    expected: int | None = None


class Get(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The value of a key."""

    key: str


class Watch(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Puts in a group above a revision; `after` 0 asks only for the group's revision."""

    group: str
    after: int
    poll_ms: int


class Expire(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A lock is taken from its holder. By the leader: one whose lease has been over for long, and that nobody
    asks for. By an operator, who says why in `reason`: one whose holder may still count on it."""

    name: str
    fence: int
    reason: str = ""


class NameKind(Enum):
    """What names are listed of."""

    LOCKS = "locks"
    NUMBERS = "numbers"
    KEYS = "keys"


class ListNames(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """An operator's question for a page of names that begin with `prefix`, in order, from above `after`."""

    kind: NameKind
    after: str = ""
    prefix: str = ""
    most: int = MAX_LISTED_NAMES


Call = Acquire | Renew | Release | NextNumber | Put | Get | Watch | Expire | ListNames
Operation = Acquire | Renew | Release | NextNumber | Put | Expire


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log: operations that are applied in order.

    `number`: drawn by the desk that proposed it. `time_ms`: the log's own time, which leaders carry on by their
    steady clocks. Events and puts older than their horizons need not be remembered any more.
    """

    number: int
    time_ms: int
    events_horizon_ms: int
    puts_horizon_ms: int
    operations: tuple[Operation, ...] = ()


class Event(msgspec.Struct, frozen=True, array_like=True):
    """A put, as watches are told of it."""

    key: str
    value: str
    revision: int
    time_ms: int


# What calls lead to


@frozen
class Granted:
    """The lock is the caller's, under this fence."""

    fence: int


@frozen
class Renewed:
    """The holder has more time."""


@frozen
class Released:
    """The lock is not the caller's any more, if it ever was."""


@frozen
class Held:
    """Another holds the lock, or may hold it."""


@frozen
class NotHeld:
    """The lock is not held under the fence that was named."""


@frozen
class Number:
    """The number given."""

    value: int


@frozen
class Stored:
    """The put's revision, of its first arrival."""

    revision: int


@frozen
class Conflict:
    """The key is at another revision than the put expected; 0: it is not there."""

    revision: int


@frozen
class Found:
    """A key's value."""

    value: str
    revision: int


@frozen
class NotFound:
    """There is no such key."""


@frozen
class Watched:
    """All puts of a group above the watch's revision and up to `revision`."""

    events: tuple[Event, ...]
    revision: int


@frozen
class Compacted:
    """The events after the watch's revision are not kept any more."""


@frozen
class LockRow:
    """A lock in a list, as the leader knows it. `renewed_s`: s since its last grant or renewal, None where an
    earlier leader answered it. `left_s`: s until it may change hands; less than 0: since when it might have."""

    name: str
    owner: str
    fence: int
    hold_ms: int
    renewed_s: float | None
    left_s: float


@frozen
class NumberRow:
    """`value`: the last that was given."""

    name: str
    value: int


@frozen
class KeyRow:
    name: str
    value: str
    revision: int


Row = LockRow | NumberRow | KeyRow


@frozen
class Listed:
    """A page of names. `more`: there are names above the last of these."""

    rows: tuple[Row, ...]
    more: bool


@frozen
class Full:
    """A bound on what is kept would be passed; nothing was done."""

    reason: str


@frozen
class Unavailable:
    """Nothing was done: no leader with a majority took the call."""

    reason: str


@frozen
class Unknown:
    """The call may have taken effect, or may yet."""

    reason: str


Outcome = (
    Granted
    | Renewed
    | Released
    | Held
    | NotHeld
    | Number
    | Stored
    | Conflict
    | Found
    | NotFound
    | Watched
    | Compacted
    | Listed
    | Full
    | Unavailable
    | Unknown
)


def group_of(key: str) -> str:
    """Keys whose names agree up to the first dot, with it, share one count of revisions."""
    prefix, dot, _ = key.partition(".")
    return prefix + dot


_batch = msgspec.msgpack.Decoder(Batch).decode


def pack_batch(batch: Batch) -> bytes:
    return msgspec.msgpack.encode(batch)


def unpack_batch(body: bytes) -> Batch:
    """Raises msgspec.DecodeError for what is no batch."""
    return _batch(body)
