"""The replicated state of locks, numbers and keys: what the batches of the log, applied in order, lead to.

Deterministic: no clock, no chance. Every replica that has applied the same entries holds the same state, and
`image` and `restore` carry it in the log's snapshots.

Invariants; `docs/design/coordination.md` has their reasons, tests and mutants:

1. Fences rise with each grant, over all names: one counter that is part of this state.
2. A lock changes hands only from nobody, or from the very fence that the operation names as expired.
3. A put takes effect once: the same value for the same key leads to its first revision for as long as it may
   come again.
4. A group's revisions rise by one with each put; the events kept are all of those above `compacted`.
5. What is refused has changed nothing, and its copies are refused as well.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from hashlib import blake2b

import msgspec
from attrs import define, field

from coralvale.cluster.coordination.model import (
    Acquire,
    Batch,
    Compacted,
    Conflict,
    Event,
    Expire,
    Found,
    Full,
    Granted,
    Held,
    NextNumber,
    NotFound,
    NotHeld,
    Number,
    Operation,
    Outcome,
    Put,
    Release,
    Released,
    Renew,
    Renewed,
    Stored,
    Watched,
    group_of,
)

MOST_LOCKS = 8192
MOST_NUMBERS = 8192
MOST_KEYS = 32_768
MAX_PUTS = 65_536  # that are remembered, to know one that comes again
MOST_BYTES = (
    8 * 1024 * 1024
)  # of keys, values and events; the snapshot has to fit a disk of 64 MB several times
MOST_EVENTS = 1000  # in one answer
REFUSED = 0  # in place of a revision, of a put that was refused
EVENT_OVERHEAD = 32  # bytes of an event beside its texts, about


class Lock(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a lock. `hold_ms`: the longest that was granted under this fence. `reacquired`: its holder has
    asked for it anew, so that a release which is late may be of the hold before."""

    owner: str
    fence: int
    hold_ms: int
    reacquired: bool = False


class Value(msgspec.Struct, frozen=True, array_like=True):
    """A key's value and the revision of its put."""

    value: str
    revision: int


@define
class Group:
    """A group's count of revisions and its newest events; those up to `compacted` are not kept."""

    revision: int = 0
    compacted: int = 0
    events: deque[Event] = field(factory=deque)


class GroupImage(msgspec.Struct, frozen=True, array_like=True):
    name: str
    revision: int
    compacted: int
    events: tuple[Event, ...]


class Image(msgspec.Struct, frozen=True, array_like=True):
    """All of the state as bytes."""

    fence: int = 0
    time_ms: int = 0
    locks: dict[str, Lock] = {}
    numbers: dict[str, int] = {}
    values: dict[str, Value] = {}
    groups: tuple[GroupImage, ...] = ()
    puts: tuple[tuple[bytes, int, int], ...] = ()  # digest, revision, time


_image = msgspec.msgpack.Decoder(Image).decode


def _digest(key: str, value: str) -> bytes:
    return blake2b(f"{len(key)} {key}{value}".encode(), digest_size=12).digest()


def _size(key: str, value: str) -> int:
    return len(key) + len(value.encode()) + EVENT_OVERHEAD


class CoordinationState:
    """`apply` is to be called with each batch in the log's order."""

    def __init__(self) -> None:
        self.replace(Image())

    def replace(self, image: Image) -> None:
        self.last_fence, self.time_ms = image.fence, image.time_ms
        self.locks, self.numbers, self.values = dict(image.locks), dict(image.numbers), dict(image.values)
        self.groups = {g.name: Group(g.revision, g.compacted, deque(g.events)) for g in image.groups}
        events = [(e.time_ms, e.revision, g.name) for g in image.groups for e in g.events]
        self.oldest_events = deque((time_ms, name) for time_ms, _, name in sorted(events))
        self.puts: OrderedDict[bytes, tuple[int, int]] = OrderedDict(
            (digest, (revision, time_ms)) for digest, revision, time_ms in image.puts
        )
        self.stored_bytes = sum(_size(key, value.value) for key, value in self.values.items())
        self.stored_bytes += sum(_size(e.key, e.value) for g in self.groups.values() for e in g.events)

    def image(self) -> bytes:
        groups = tuple(
            GroupImage(name, g.revision, g.compacted, tuple(g.events)) for name, g in self.groups.items()
        )
        puts = tuple((digest, revision, time_ms) for digest, (revision, time_ms) in self.puts.items())
        image = Image(self.last_fence, self.time_ms, self.locks, self.numbers, self.values, groups, puts)
        return msgspec.msgpack.encode(image)

    def restore(self, body: bytes) -> None:
        """Takes what `image` gave; nothing where a snapshot of an earlier version has none."""
        self.replace(_image(body) if body else Image())

    def skip_ahead(self, numbers: int) -> None:
        """Leaves out so many fences, numbers and revisions: a log that was lost may have given them. What
        watches were told before is not kept any more."""
        self.last_fence += numbers
        self.numbers = {name: value + numbers for name, value in self.numbers.items()}
        self.oldest_events.clear()
        for group in self.groups.values():
            group.revision += numbers
            group.compacted = group.revision
            self.stored_bytes -= sum(_size(event.key, event.value) for event in group.events)
            group.events.clear()

    # What the log orders

    def apply(self, batch: Batch) -> list[Outcome]:
        self.time_ms = max(self.time_ms, batch.time_ms)
        self._forget_puts(batch.puts_horizon_ms)
        self._compact(batch.events_horizon_ms)
        return [self._apply(operation) for operation in batch.operations]

    def _apply(self, operation: Operation) -> Outcome:
        match operation:
            case Acquire():
                return self._acquire(operation)
            case Renew():
                return self._renew(operation)
            case Release():
                return self._release(operation)
            case NextNumber():
                return self._next_number(operation)
            case Put():
                return self._put(operation)
            case Expire():
                return self._expire(operation)

    def _acquire(self, operation: Acquire) -> Outcome:
        lock = self.locks.get(operation.name)
        if lock is None and len(self.locks) >= MOST_LOCKS:
            return Full("too many locks are held")
        if lock is None or lock.fence == operation.expired_fence:
            self.last_fence += 1
            self.locks[operation.name] = Lock(operation.owner, self.last_fence, operation.hold_ms)
            return Granted(self.last_fence)
        if lock.owner != operation.owner:
            return Held()
        hold_ms = max(lock.hold_ms, operation.hold_ms)
        self.locks[operation.name] = Lock(lock.owner, lock.fence, hold_ms, reacquired=True)
        return Granted(lock.fence)

    def _renew(self, operation: Renew) -> Outcome:
        lock = self.held(operation.name, operation.owner, operation.fence)
        if lock is None:
            return NotHeld()
        if operation.hold_ms > lock.hold_ms:
            self.locks[operation.name] = Lock(lock.owner, lock.fence, operation.hold_ms, lock.reacquired)
        return Renewed()

    def _release(self, operation: Release) -> Outcome:
        lock = self.held(operation.name, operation.owner, operation.fence)
        if lock is not None and not lock.reacquired:
            del self.locks[operation.name]
        return Released()

    def _expire(self, operation: Expire) -> Outcome:
        lock = self.locks.get(operation.name)
        if lock is not None and lock.fence == operation.fence:
            del self.locks[operation.name]
        return Released()

    def _next_number(self, operation: NextNumber) -> Outcome:
        if operation.name not in self.numbers and len(self.numbers) >= MOST_NUMBERS:
            return Full("too many numbers are counted")
        value = self.numbers[operation.name] = self.numbers.get(operation.name, 0) + 1
        return Number(value)

    def _put(self, operation: Put) -> Outcome:
        key, value = operation.key, operation.value
        known = self.stored(key, value)
        if known:
            return Stored(known)
        revision = self.revision(key)
        if self.refused(key, value):
            return Conflict(revision)
        if operation.expected is not None and operation.expected != revision:
            return self._refuse(operation, revision)
        if problem := self._no_room(operation):
            return problem
        return Stored(self._store(key, value))

    def _refuse(self, operation: Put, revision: int) -> Outcome:
        """A copy of a put that expects a later revision than there is could come when the key has got there: it
        is remembered as refused."""
        assert operation.expected is not None
        if operation.expected > revision:
            if len(self.puts) >= MAX_PUTS:
                return Full("too many puts of late")
            self.puts[_digest(operation.key, operation.value)] = (REFUSED, self.time_ms)
        return Conflict(revision)

    def _no_room(self, operation: Put) -> Full | None:
        if operation.key not in self.values and len(self.values) >= MOST_KEYS:
            return Full("too many keys are kept")
        if (
            len(self.puts) >= MAX_PUTS
            or self.stored_bytes + 2 * _size(operation.key, operation.value) > MOST_BYTES
        ):
            return Full("too many puts of late")
        return None

    def _store(self, key: str, value: str) -> int:
        name = group_of(key)
        group = self.groups.setdefault(name, Group())
        group.revision += 1
        if before := self.values.get(key):
            self.stored_bytes -= _size(key, before.value)
        self.values[key] = Value(value, group.revision)
        group.events.append(Event(key, value, group.revision, self.time_ms))
        self.oldest_events.append((self.time_ms, name))
        self.stored_bytes += 2 * _size(key, value)
        self.puts[_digest(key, value)] = (group.revision, self.time_ms)
        return group.revision

    def _forget_puts(self, horizon_ms: int) -> None:
        while self.puts:
            digest, (_, time_ms) = next(iter(self.puts.items()))
            if time_ms >= horizon_ms:
                return
            del self.puts[digest]

    def _compact(self, horizon_ms: int) -> None:
        while self.oldest_events and self.oldest_events[0][0] < horizon_ms:
            _, name = self.oldest_events.popleft()
            group = self.groups[name]
            event = group.events.popleft()
            group.compacted = event.revision
            self.stored_bytes -= _size(event.key, event.value)

    # What is read

    def held(self, name: str, owner: str, fence: int) -> Lock | None:
        """The lock, if it is held so."""
        lock = self.locks.get(name)
        return lock if lock and lock.owner == owner and lock.fence == fence else None

    def stored(self, key: str, value: str) -> int:
        """The first revision of this very put, 0 if it is not known."""
        if known := self.puts.get(_digest(key, value)):
            return known[0]
        current = self.values.get(key)
        return current.revision if current and current.value == value else 0

    def refused(self, key: str, value: str) -> bool:
        """Whether this very put was refused, and could be taken by now."""
        known = self.puts.get(_digest(key, value))
        return known is not None and known[0] == REFUSED

    def revision(self, key: str) -> int:
        """The revision that a key is at, 0 if it is not there."""
        current = self.values.get(key)
        return current.revision if current else 0

    def get(self, key: str) -> Found | NotFound:
        current = self.values.get(key)
        return Found(current.value, current.revision) if current else NotFound()

    def watch(self, name: str, after: int) -> Watched | Compacted:
        """What a watch is to be told; no events if there are none yet."""
        group = self.groups.get(name)
        if group is None or after >= group.revision:
            return Watched((), after)
        if after < group.compacted:
            return Compacted()
        first = len(group.events) - (group.revision - after)
        events = tuple(group.events[n] for n in range(first, min(first + MOST_EVENTS, len(group.events))))
        return Watched(events, events[-1].revision)

    def group_revision(self, name: str) -> int:
        group = self.groups.get(name)
        return group.revision if group else 0
