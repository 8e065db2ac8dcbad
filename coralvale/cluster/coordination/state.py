"""The replicated state machine of locks, numbers and keys. It applies the batches of the log in order.

It is deterministic: it reads no clock and no random numbers. All replicas that have applied the same entries
hold the same state; `image` and `restore` write and read it in snapshots of the log.

Invariants; `docs/design/coordination.md` has their reasons, tests and mutants:

1. Fences rise with each grant, over all lock names: they come from one counter in this state.
2. A lock gets a new holder only if it is free, or if the operation names exactly its current fence as
   expired.
3. A put takes effect once: repeating the same value for the same key returns its first revision for as long
   as the put may be retried.
4. A group's revision rises by one with each put; exactly the events above `compacted` are kept.
5. A rejected operation has changed nothing, and delayed duplicates of it are rejected as well.
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

MAX_LOCKS = 8192
MAX_NUMBERS = 8192
MAX_KEYS = 32_768
MAX_PUTS = 65_536  # remembered in order to recognise retries
# Of keys, values and events. Several copies of the snapshot have to fit on a disk of 64 MB.
MAX_STORED_BYTES = 8 * 1024 * 1024
MAX_EVENTS_PER_ANSWER = 1000
REFUSED_REVISION = 0  # recorded in place of a revision for a put that was refused
EVENT_OVERHEAD_BYTES = 32  # approximate size of an event without its key and value


class Lock(msgspec.Struct, frozen=True, array_like=True):
    """The holder of a lock. `hold_ms`: the longest hold time granted under this fence. `reacquired`: the
    holder has acquired it again under the same fence, so a release that arrives may be a delayed one of its
    earlier hold and is ignored."""

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
    """A group's revision and its newest events; events up to revision `compacted` are dropped."""

    revision: int = 0
    compacted: int = 0
    events: deque[Event] = field(factory=deque)


class GroupImage(msgspec.Struct, frozen=True, array_like=True):
    """A `Group` in a snapshot."""

    name: str
    revision: int
    compacted: int
    events: tuple[Event, ...]


class Image(msgspec.Struct, frozen=True, array_like=True):
    """The whole state as it is stored in a snapshot."""

    fence: int = 0
    time_ms: int = 0
    locks: dict[str, Lock] = {}
    numbers: dict[str, int] = {}
    values: dict[str, Value] = {}
    groups: tuple[GroupImage, ...] = ()
    puts: tuple[tuple[bytes, int, int], ...] = ()  # digest, revision, time


_decode_image = msgspec.msgpack.Decoder(Image).decode


def _digest(key: str, value: str) -> bytes:
    return blake2b(f"{len(key)} {key}{value}".encode(), digest_size=12).digest()


def _size(key: str, value: str) -> int:
    return len(key) + len(value.encode()) + EVENT_OVERHEAD_BYTES


class CoordinationState:
    """Locks, numbers and keys. The caller passes every batch of the log to `apply`, in order."""

    def __init__(self) -> None:
        self.replace(Image())

    def replace(self, image: Image) -> None:
        """Replaces the whole state and rebuilds what is derived from it."""
        self.last_fence, self.time_ms = image.fence, image.time_ms
        self.locks, self.numbers, self.values = dict(image.locks), dict(image.numbers), dict(image.values)
        self.groups = {g.name: Group(g.revision, g.compacted, deque(g.events)) for g in image.groups}
        events = [(e.time_ms, e.revision, g.name) for g in image.groups for e in g.events]
        self.events_by_age = deque((time_ms, name) for time_ms, _, name in sorted(events))
        self.puts: OrderedDict[bytes, tuple[int, int]] = OrderedDict(
            (digest, (revision, time_ms)) for digest, revision, time_ms in image.puts
        )
        self.stored_bytes = sum(_size(key, value.value) for key, value in self.values.items())
        self.stored_bytes += sum(_size(e.key, e.value) for g in self.groups.values() for e in g.events)

    def image(self) -> bytes:
        """The whole state as bytes, for a snapshot."""
        groups = tuple(
            GroupImage(name, g.revision, g.compacted, tuple(g.events)) for name, g in self.groups.items()
        )
        puts = tuple((digest, revision, time_ms) for digest, (revision, time_ms) in self.puts.items())
        image = Image(self.last_fence, self.time_ms, self.locks, self.numbers, self.values, groups, puts)
        return msgspec.msgpack.encode(image)

    def restore(self, body: bytes) -> None:
        """Loads the result of `image`; an empty `body`, from a snapshot of an earlier version, is the empty
        state."""
        self.replace(_decode_image(body) if body else Image())

    def skip_ahead(self, amount: int) -> None:
        """Advances the last fence, each counter and each group's revision by `amount`, because a lost log may
        already have issued the values in between. Drops all events.

        Held locks with their fences, keys with their values and revisions, and remembered puts stay.
        """
        self.last_fence += amount
        self.numbers = {name: value + amount for name, value in self.numbers.items()}
        self.events_by_age.clear()
        for group in self.groups.values():
            group.revision += amount
            group.compacted = group.revision
            self.stored_bytes -= sum(_size(event.key, event.value) for event in group.events)
            group.events.clear()

    # Operations of the log

    def apply(self, batch: Batch) -> list[Outcome]:
        """Applies a committed batch; the outcomes are in the order of its operations."""
        self.time_ms = max(self.time_ms, batch.time_ms)
        self._expire_puts(batch.puts_horizon_ms)
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
        if lock is None and len(self.locks) >= MAX_LOCKS:
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
        if operation.name not in self.numbers and len(self.numbers) >= MAX_NUMBERS:
            return Full("too many numbers are counted")
        value = self.numbers[operation.name] = self.numbers.get(operation.name, 0) + 1
        return Number(value)

    def _put(self, operation: Put) -> Outcome:
        key, value = operation.key, operation.value
        known = self.stored_revision(key, value)
        if known:
            return Stored(known)
        revision = self.key_revision(key)
        if self.was_refused(key, value):
            return Conflict(revision)
        if operation.expected is not None and operation.expected != revision:
            return self._reject_put(operation, revision)
        if problem := self._check_capacity(operation):
            return problem
        return Stored(self._store(key, value))

    def _reject_put(self, operation: Put, revision: int) -> Outcome:
        """Refuses a put whose expected revision differs. If it expects a later revision than the current one,
        a delayed duplicate of it could match once the key has reached that revision, so it is remembered as
        refused."""
        assert operation.expected is not None
        if operation.expected > revision:
            if len(self.puts) >= MAX_PUTS:
                return Full("too many puts of late")
            self.puts[_digest(operation.key, operation.value)] = (REFUSED_REVISION, self.time_ms)
        return Conflict(revision)

    def _check_capacity(self, operation: Put) -> Full | None:
        if operation.key not in self.values and len(self.values) >= MAX_KEYS:
            return Full("too many keys are kept")
        # Twice the size: the value itself and its event.
        if (
            len(self.puts) >= MAX_PUTS
            or self.stored_bytes + 2 * _size(operation.key, operation.value) > MAX_STORED_BYTES
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
        self.events_by_age.append((self.time_ms, name))
        self.stored_bytes += 2 * _size(key, value)  # the value and its event
        self.puts[_digest(key, value)] = (group.revision, self.time_ms)
        return group.revision

    def _expire_puts(self, horizon_ms: int) -> None:
        while self.puts:
            digest, (_, time_ms) = next(iter(self.puts.items()))
            if time_ms >= horizon_ms:
                return
            del self.puts[digest]

    def _compact(self, horizon_ms: int) -> None:
        while self.events_by_age and self.events_by_age[0][0] < horizon_ms:
            _, name = self.events_by_age.popleft()
            group = self.groups[name]
            event = group.events.popleft()
            group.compacted = event.revision
            self.stored_bytes -= _size(event.key, event.value)

    # Queries

    def held(self, name: str, owner: str, fence: int) -> Lock | None:
        """The lock, if this owner holds it under this fence."""
        lock = self.locks.get(name)
        return lock if lock and lock.owner == owner and lock.fence == fence else None

    def stored_revision(self, key: str, value: str) -> int:
        """The first revision of a put of this value to this key; 0 if none is known."""
        if known := self.puts.get(_digest(key, value)):
            return known[0]
        current = self.values.get(key)
        return current.revision if current and current.value == value else 0

    def was_refused(self, key: str, value: str) -> bool:
        """Whether a put of this value to this key was refused, and duplicates have to be refused too."""
        known = self.puts.get(_digest(key, value))
        return known is not None and known[0] == REFUSED_REVISION

    def key_revision(self, key: str) -> int:
        """The key's revision, 0 if the key does not exist."""
        current = self.values.get(key)
        return current.revision if current else 0

    def get(self, key: str) -> Found | NotFound:
        """The key's value and revision."""
        current = self.values.get(key)
        return Found(current.value, current.revision) if current else NotFound()

    def watch(self, name: str, after: int) -> Watched | Compacted:
        """The events above revision `after`, at most `MAX_EVENTS_PER_ANSWER`; empty if there are none yet."""
        group = self.groups.get(name)
        if group is None or after >= group.revision:
            return Watched((), after)
        if after < group.compacted:
            return Compacted()
        first = len(group.events) - (group.revision - after)
        events = tuple(
            group.events[n] for n in range(first, min(first + MAX_EVENTS_PER_ANSWER, len(group.events)))
        )
        return Watched(events, events[-1].revision)

    def group_revision(self, name: str) -> int:
        """The revision of a group, 0 if it has no puts."""
        group = self.groups.get(name)
        return group.revision if group else 0
