"""Applications' calls at the leader, without I/O: what is answered, and what must be known before it is.

Calls are taken in turns, one turn on its way at a time. A turn that changes something is one entry of the log,
whose commit also proves that this leader still led after the turn's calls had come; a turn that changes nothing
is a read barrier, which proves the same. What a turn only reads is read once that is known, so every answer is
as new as its call.

What needs no proof is answered at once: that another may hold a lock, that a put was stored, or that its key has
gone beyond the revision that it expected. Neither is ever taken back.

An answer that nothing was done is given only to a call that was never proposed. A call whose entry is not known
to be committed is answered `Unknown`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.coordination.leases import Leases
from coralvale.cluster.coordination.listing import list_names
from coralvale.cluster.coordination.model import (
    Acquire,
    Batch,
    Call,
    Conflict,
    Expire,
    Full,
    Get,
    Held,
    ListNames,
    NextNumber,
    NotHeld,
    Operation,
    Outcome,
    Put,
    Release,
    Released,
    Renew,
    Renewed,
    Stored,
    Unavailable,
    Unknown,
    Watch,
    Watched,
    group_of,
    pack_batch,
    unpack_batch,
)
from coralvale.cluster.coordination.notices import Notice, holders, notices
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.coordination.watches import WaitingWatch, Watches

MOST_WAITING = 1024  # calls that wait for a turn
MAX_CALLS_PER_TURN = 256  # calls
MOST_AGE = 0.8  # s that a call waits for a turn; callers are silent for a second before they ask elsewhere
PUTS_REMEMBERED_MS = (
    120_000  # for which a put is known when it comes again; callers repeat one for some seconds
)
EVENTS_MARGIN_MS = 10_000  # beyond twice the time for which events are promised to be kept
SWEEP_EVERY = 10.0  # s between looks for locks that nobody asks for
SWEEP_AFTER = 60.0  # s after the end of its lease until such a lock is dropped
MOST_SWEPT = 64  # locks in one sweep


@frozen
class CoordinationAnswer:
    """What a call led to."""

    token: int
    outcome: Outcome


@frozen
class PendingCall:
    """A call that waits; `at`: when it came."""

    token: int
    call: Call
    at: float


@define
class Turn:
    """What is on its way. `writers`: tokens of the operations, 0 where nobody waits; `readers`: calls that are
    answered by the state at the turn's end."""

    token: int
    number: int
    operations: list[Operation] = field(factory=list)
    writers: list[int] = field(factory=list)
    readers: list[PendingCall] = field(factory=list)
    outcomes: list[Outcome] | None = None


@frozen
class CoordinationNotice:
    """For the log of this gateway."""

    notice: Notice


Result = list[consensus.Action | CoordinationAnswer | CoordinationNotice]


class CoordinationHandler:
    """`settled` is to be called with each `Settled` action of the replica, `deliver` and `restore` with what
    the log brings, `tick` now and then."""

    def __init__(
        self,
        replica: Replica,
        state: CoordinationState,
        next_token: Callable[[], int],
        chance: random.Random,
        retain_s: float,
    ) -> None:
        """`retain_s`: s for which a watch may be resumed from a revision that it was given."""
        self.replica, self.state, self.next_token, self.chance = replica, state, next_token, chance
        self.events_kept_ms = int(2000 * retain_s) + EVENTS_MARGIN_MS
        self.waiting: deque[PendingCall] = deque()
        self.watches = Watches()
        self.turn: Turn | None = None
        self.leases = Leases(0.0)
        self.view = 0  # in which this replica leads, and to which the leases belong
        self.first_time_ms = 0  # the log's time at the view's beginning
        self.swept_at = 0.0
        self.turns = 0  # that were begun

    # What comes in

    def call(self, now: float, token: int, call: Call) -> Result:
        """An application's call; its answer follows, here or later."""
        if not self._may_answer(now):
            return [CoordinationAnswer(token, Unavailable("this gateway does not lead, or not yet"))]
        if len(self.waiting) >= MOST_WAITING:
            return [CoordinationAnswer(token, Full("too many calls are waiting"))]
        self._extend_lease(now, call)
        self.waiting.append(PendingCall(token, call, now))
        return self._next_turn(now)

    def deliver(self, now: float, body: bytes) -> Result:
        """An entry of the log."""
        batch = unpack_batch(body)
        before = holders(self.state, batch)
        outcomes = self.state.apply(batch)
        mine = self.turn is not None and self.turn.number == batch.number
        if self.turn and mine:
            self.turn.outcomes = outcomes
        told = notices(batch, outcomes, before, mine)
        done: Result = [CoordinationNotice(notice) for notice in told]
        for group in {group_of(o.key) for o in batch.operations if isinstance(o, Put)}:
            done += self._tell_watches(group)
        return done

    def restore(self, body: bytes) -> Result:
        """A snapshot takes the place of what was delivered."""
        self.state.restore(body)
        return [answer for group in list(self.watches.by_group) for answer in self._tell_watches(group)]

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """The replica has decided on a proposal or a barrier of this desk."""
        turn = self.turn
        if turn is None or turn.token != token:
            return []
        self.turn = None
        answers = self._end_turn(now, turn) if accepted else self._give_up(turn)
        return [*answers, *self._next_turn(now)]

    def tick(self, now: float) -> Result:
        """What is due: calls that have waited too long, watches whose time is up, locks that nobody wants."""
        if not self._may_answer(now):
            return self._refuse_all()
        done: Result = []
        while self.waiting and now - self.waiting[0].at > MOST_AGE:
            pending = self.waiting.popleft()
            done.append(CoordinationAnswer(pending.token, Unavailable("the log takes too long")))
        for watch in self.watches.take_due(now):
            done.append(CoordinationAnswer(watch.token, Watched((), watch.after)))
        return [*done, *self._next_turn(now)]

    # Leadership and time

    def _may_answer(self, now: float) -> bool:
        replica = self.replica
        if not replica.leading or not replica.settled or not replica.in_contact(now):
            return False
        if self.view != replica.view:
            self._begin_view(now)
        return True

    def _begin_view(self, now: float) -> None:
        """All of the log is applied: from now on leases are counted here."""
        self.view = self.replica.view
        self.leases = Leases(now)
        self.first_time_ms = self.state.time_ms
        self.swept_at = now

    def _time_ms(self, now: float) -> int:
        return self.first_time_ms + int((now - self.leases.since) * 1000)

    def _extend_lease(self, now: float, call: Call) -> None:
        """Counted from when the call came, before anything is decided about others' calls."""
        if isinstance(call, Renew):
            lock = self.state.held(call.name, call.owner, call.fence)
        elif isinstance(call, Acquire):
            lock = self.state.locks.get(call.name)
            if lock and (lock.owner != call.owner or self.leases.expired(now, call.name, lock)):
                lock = None
        else:
            return
        if lock:
            self.leases.extend(now, call.name, lock.fence, call.hold_ms)

    # Turns

    def _next_turn(self, now: float) -> Result:
        done: Result = []
        while self.turn is None and (self.waiting or self._sweep_due(now)):
            if not self._may_answer(now):
                return [*done, *self._refuse_all()]
            turn = Turn(self.next_token(), self.chance.getrandbits(62))
            for _ in range(min(len(self.waiting), MAX_CALLS_PER_TURN)):
                done += self._take(now, turn, self.waiting.popleft())
            self._sweep(now, turn)
            done += self._begin(now, turn)
        return done

    def _take(self, now: float, turn: Turn, pending: PendingCall) -> Result:
        """Into the turn, or answered at once."""
        found = self._consider(now, pending)
        if found is None:
            turn.readers.append(pending)
        elif isinstance(found, Operation):
            turn.operations.append(found)
            turn.writers.append(pending.token)
        elif not isinstance(found, WaitingWatch):
            return [CoordinationAnswer(pending.token, found)]
        return []

    def _consider(self, now: float, pending: PendingCall) -> Operation | Outcome | WaitingWatch | None:
        """What a call needs: an operation, an answer, a place among the watches, or (None) to be read."""
        match pending.call:
            case Acquire() as call:
                return self._consider_acquire(now, call)
            case Renew() as call:
                lock = self.state.held(call.name, call.owner, call.fence)
                return call if lock and call.hold_ms > lock.hold_ms else None
            case Release() as call:
                lock = self.state.held(call.name, call.owner, call.fence)
                return call if lock and not lock.reacquired else Released()
            case Expire() as call:
                known = self.state.locks.get(call.name)
                return call if known and known.fence == call.fence else None
            case Put() as call:
                return self._consider_put(call)
            case NextNumber() as call:
                return call
            case Get() | ListNames():
                return None
            case Watch() as call:
                return self._consider_watch(now, pending.token, call)

    def _consider_acquire(self, now: float, call: Acquire) -> Operation | Outcome:
        lock = self.state.locks.get(call.name)
        expired = lock.fence if lock and self.leases.expired(now, call.name, lock) else 0
        if lock and not expired and lock.owner != call.owner:
            return Held()
        return Acquire(call.name, call.owner, call.hold_ms, expired)

    def _consider_put(self, call: Put) -> Operation | Outcome:
        if known := self.state.stored(call.key, call.value):
            return Stored(known)
        revision = self.state.revision(call.key)
        if self.state.refused(call.key, call.value) or (
            call.expected is not None and revision > call.expected
        ):
            return Conflict(revision)
        return call

    def _consider_watch(self, now: float, token: int, call: Watch) -> Outcome | WaitingWatch | None:
        if not call.after:
            return None
        found = self.state.watch(call.group, call.after)
        if not isinstance(found, Watched) or found.events:
            return found
        if self.watches.full:
            return Full("too many watches are waiting")
        watch = WaitingWatch(token, call.group, call.after, now + call.poll_ms / 1000)
        self.watches.add(watch)
        return watch

    def _begin(self, now: float, turn: Turn) -> Result:
        if not turn.operations and not turn.readers:
            return []
        self.turn = turn
        self.turns += 1
        if not turn.operations:
            return [*self.replica.barrier(now, turn.token)]
        time_ms = self._time_ms(now)
        batch = Batch(
            turn.number,
            time_ms,
            time_ms - self.events_kept_ms,
            time_ms - PUTS_REMEMBERED_MS,
            tuple(turn.operations),
        )
        last = self.replica.last
        actions = self.replica.propose(now, turn.token, consensus.COORDINATION, pack_batch(batch))
        if self.replica.last == last:  # it was refused, and stands in no log
            self.turn = None
            refused = Unavailable("the log takes nothing at the moment")
            return [*actions, *self._answer_all(turn, refused, refused)]
        return [*actions]

    def _end_turn(self, now: float, turn: Turn) -> Result:
        outcomes = turn.outcomes
        if turn.operations and outcomes is None:
            return self._give_up(turn)
        answers: Result = []
        for token, operation, outcome in zip(turn.writers, turn.operations, outcomes or [], strict=True):
            self._note_lease(now, operation, outcome)
            if token:
                answers.append(CoordinationAnswer(token, outcome))
        answers += [CoordinationAnswer(p.token, self._answer_reader(now, p.call)) for p in turn.readers]
        return answers

    def _note_lease(self, now: float, operation: Operation, outcome: Outcome) -> None:
        """A grant is counted from its commit, which is later than its call."""
        if isinstance(operation, Acquire | Renew) and (lock := self.state.locks.get(operation.name)):
            if lock.owner == operation.owner and not isinstance(outcome, Full):
                self.leases.extend(now, operation.name, lock.fence, operation.hold_ms)
        elif isinstance(operation, Release | Expire) and operation.name not in self.state.locks:
            self.leases.forget(operation.name)

    def _answer_reader(self, now: float, call: Call) -> Outcome:
        if isinstance(call, ListNames):
            return list_names(now, self.state, self.leases, call)
        return self._read(call)

    def _read(self, call: Call) -> Outcome:
        match call:
            case Renew():
                return Renewed() if self.state.held(call.name, call.owner, call.fence) else NotHeld()
            case Expire():
                return NotHeld()
            case Get():
                return self.state.get(call.key)
            case Watch():
                return Watched((), self.state.group_revision(call.group))
            case _:
                raise AssertionError(f"{type(call).__name__} is not read")

    def _give_up(self, turn: Turn) -> Result:
        """The turn's entry may be committed by another leader, or never."""
        reason = "the leader changed before it was known to be agreed on"
        return self._answer_all(turn, Unknown(reason), Unavailable(reason))

    def _answer_all(self, turn: Turn, writers: Outcome, readers: Outcome) -> Result:
        answers = [CoordinationAnswer(token, writers) for token in turn.writers if token]
        return [*answers, *(CoordinationAnswer(p.token, readers) for p in turn.readers)]

    def _refuse_all(self) -> Result:
        """This replica may not answer any more: none of these calls was proposed."""
        refused = Unavailable("this gateway does not lead any more")
        tokens = [p.token for p in self.waiting] + [w.token for w in self.watches.take_all()]
        self.waiting.clear()
        return [CoordinationAnswer(token, refused) for token in tokens]

    def _tell_watches(self, group: str) -> Result:
        """Those that wait in a group that has news; one that saw more than is here waits on."""
        answers: Result = []
        for watch in self.watches.take(group):
            found = self.state.watch(group, watch.after)
            if isinstance(found, Watched) and not found.events:
                self.watches.add(watch)
            else:
                answers.append(CoordinationAnswer(watch.token, found))
        return answers

    # Locks that nobody asks for

    def _sweep_due(self, now: float) -> bool:
        return now - self.swept_at >= SWEEP_EVERY and bool(self.state.locks)

    def _sweep(self, now: float, turn: Turn) -> None:
        """Drops locks whose lease has been over for long, so that names do not add up."""
        if not self._sweep_due(now):
            return
        self.swept_at = now
        for name, lock in self.state.locks.items():
            if len(turn.operations) >= MAX_CALLS_PER_TURN + MOST_SWEPT:
                break
            if now - self.leases.end(name, lock) >= SWEEP_AFTER:
                turn.operations.append(Expire(name, lock.fence))
                turn.writers.append(0)
