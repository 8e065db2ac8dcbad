"""Applications' coordination calls, the operations in the log, and the outcomes of calls.

Calls are sent between gateways and stored in the log as msgspec arrays: a newer version may only append
fields with defaults. Times are whole milliseconds.
"""

from __future__ import annotations

import re
from enum import Enum

import msgspec
from attrs import frozen

MAX_NAME_CHARS = 128  # of the name of a lock, number, key or owner
MAX_VALUE_BYTES = 1024
MAX_HOLD_MS = 600_000  # hold time of a lock without a renewal; a new leader has to wait it out
MAX_POLL_MS = 30_000  # wait time of a watch
MAX_REASON_CHARS = 256  # of an operator's reason
MAX_LISTED_NAMES = 256  # on one page
NAME_PATTERN = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARS}}}")


class Acquire(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Acquires a lock. `expired_fence`: set by the leader in the log, the fence of the holder whose lease has
    ended; 0: none."""

    name: str
    owner: str
    hold_ms: int
    expired_fence: int = 0


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Extends the lease of a held lock."""

    name: str
    owner: str
    fence: int
    hold_ms: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Releases a held lock."""

    name: str
    owner: str
    fence: int


class NextNumber(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Draws the next number of a counter, above all numbers drawn before under the name."""

    name: str


class Put(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Stores a value. `expected`: the revision the key must have, 0 for a missing key; None: any."""

    key: str
    value: str
    expected: int | None = None


class Get(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reads the value and revision of a key."""

    key: str


class Watch(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Waits up to `poll_ms` for puts in a group above revision `after`. With `after` 0, only asks for the
    group's current revision, without waiting."""

    group: str
    after: int
    poll_ms: int


class Expire(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Takes a lock from its holder. The leader expires abandoned locks, long after the end of their lease,
    with an empty `reason`. An operator may expire a lock that its holder still relies on, and has to give a
    reason."""

    name: str
    fence: int
    reason: str = ""


class NameKind(Enum):
    """What can be listed."""

    LOCKS = "locks"
    NUMBERS = "numbers"
    KEYS = "keys"


class ListNames(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """An operator's request for a page of names: those above `after` that begin with `prefix`, in order."""

    kind: NameKind
    after: str = ""
    prefix: str = ""
    limit: int = MAX_LISTED_NAMES


Call = Acquire | Renew | Release | NextNumber | Put | Get | Watch | Expire | ListNames
Operation = Acquire | Renew | Release | NextNumber | Put | Expire


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One log entry: operations that are applied in order.

    `number`: random id chosen by the proposing handler. `time_ms`: the log's own time, which leaders advance
    by their monotonic clocks. `events_horizon_ms`, `puts_horizon_ms`: absolute points of the log's time;
    older events, and the memory of older puts by which retries are recognised, are dropped.
    """

    number: int
    time_ms: int
    events_horizon_ms: int
    puts_horizon_ms: int
    operations: tuple[Operation, ...] = ()


class Event(msgspec.Struct, frozen=True, array_like=True):
    """A put, as reported to watches."""

    key: str
    value: str
    revision: int
    time_ms: int


# Outcomes of calls


@frozen
class Granted:
    """The caller holds the lock under this fence."""

    fence: int


@frozen
class Renewed:
    """The holder's lease was extended."""


@frozen
class Released:
    """The answer to a `Release`: the owner does not hold the lock under this fence, whether or not it did
    before, or the release was ignored, as it may be a delayed one of an earlier hold (see `Lock.reacquired`).
    Also the answer to an `Expire` from the log: the lock is not held under its fence."""


@frozen
class Held:
    """Another owner holds the lock, or may hold it."""


@frozen
class NotHeld:
    """The lock is not held under the given fence."""


@frozen
class Number:
    """The number drawn."""

    value: int


@frozen
class Stored:
    """The revision of the put; a repeated put gets the revision of the first."""

    revision: int


@frozen
class Conflict:
    """The key's revision differs from the expected one; 0: the key does not exist."""

    revision: int


@frozen
class Found:
    """A key's value and revision."""

    value: str
    revision: int


@frozen
class NotFound:
    """The key does not exist."""


@frozen
class Watched:
    """All puts of a group above the watch's revision, up to and including `revision`."""

    events: tuple[Event, ...]
    revision: int


@frozen
class Compacted:
    """Events after the watch's revision have been compacted away."""


@frozen
class LockRow:
    """A lock in a list. `renewed_s`: s since its last grant or renewal, None if that was not in the leader's
    present view. `left_s`: s until its lease ends; negative: s since it ended."""

    name: str
    owner: str
    fence: int
    hold_ms: int
    renewed_s: float | None
    left_s: float


@frozen
class NumberRow:
    """A counter in a list. `value`: the last number drawn."""

    name: str
    value: int


@frozen
class KeyRow:
    """A key in a list."""

    name: str
    value: str
    revision: int


Row = LockRow | NumberRow | KeyRow


@frozen
class Listed:
    """A page of names. `more`: there are further names after the last row."""

    rows: tuple[Row, ...]
    more: bool


@frozen
class Full:
    """A size limit would be exceeded; nothing was done."""

    reason: str


@frozen
class Unavailable:
    """Nothing was done: no leader with a majority accepted the call."""

    reason: str


@frozen
class Unknown:
    """The call may have taken effect, or may still do so."""

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
    """The name up to and including the first dot. All keys of a group share one revision counter."""
    prefix, dot, _ = key.partition(".")
    return prefix + dot


_decode_batch = msgspec.msgpack.Decoder(Batch).decode


def pack_batch(batch: Batch) -> bytes:
    """Encodes a log entry."""
    return msgspec.msgpack.encode(batch)


def unpack_batch(body: bytes) -> Batch:
    """Decodes a log entry. Raises msgspec.DecodeError if it is not a batch."""
    return _decode_batch(body)
