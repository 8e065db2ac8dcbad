"""Processes applications' coordination calls at the leader, without I/O.

Calls are processed in batches called turns, and at most one turn is in flight. A turn with operations becomes
one log entry; its commit also proves that this replica was still the leader after the calls of the turn
arrived. A turn without operations is a read barrier, which proves the same. Reads of a turn are evaluated
after that proof, so every read is linearizable: its answer is at least as recent as the call's arrival.

Some outcomes are answered at once, without that proof, from the state delivered here. It contains only
committed entries, so nothing in it is undone, and fences and revisions only rise:

- `Held`: another owner may hold the lock;
- `Released`: the lock is not held under the fence of the call, or the release is ignored (`Lock.reacquired`);
- `Stored`: the put is stored already;
- `Conflict`: the key's revision is past the expected one, or the same put is remembered as refused;
- `Watched` with events, and `Compacted`: the group has puts above the revision of the watch;
- `Full`: too many calls or watches wait at this gateway, which says nothing about the state.

`Unavailable` and `Full` mean that nothing was done; they are given only to calls that were not proposed or
that changed nothing. A call whose log entry is not known to be committed is answered `Unknown`.
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
from coralvale.cluster.coordination.notices import Notice, affected_holders, collect_notices
from coralvale.cluster.coordination.state import CoordinationState
from coralvale.cluster.coordination.watches import WaitingWatch, Watches

MAX_WAITING_CALLS = 1024  # calls queued for a turn
MAX_CALLS_PER_TURN = 256
MAX_WAIT_S = 0.8  # in the queue; below the 1 s after which callers try another gateway
PUT_RETENTION_MS = 120_000  # how long a repeated put is recognised; callers retry for some seconds
EVENT_RETENTION_MARGIN_MS = 10_000  # added to twice the promised retention of events
SWEEP_INTERVAL_S = 10.0  # between scans for abandoned locks
SWEEP_DELAY_S = 60.0  # from the end of a lease until its lock is removed
MAX_SWEPT_LOCKS = 64  # a sweep fills its turn up to this many operations above MAX_CALLS_PER_TURN


@frozen
class CoordinationAnswer:
    """The outcome of the call with this token."""

    token: int
    outcome: Outcome


@frozen
class PendingCall:
    """A queued call and the time, in s of the monotonic clock, at which it arrived."""

    token: int
    call: Call
    received_at: float


@define
class Turn:
    """A batch of calls that is processed together.

    `token`: of its proposal or read barrier. `number`: random id, also in its log entry. `writers`: tokens of
    the callers, one per operation; 0 where no caller waits. `readers`: calls that are answered from the state
    once the turn is settled. `outcomes`: of the operations, None until the entry is delivered.
    """

    token: int
    number: int
    operations: list[Operation] = field(factory=list)
    writers: list[int] = field(factory=list)
    readers: list[PendingCall] = field(factory=list)
    outcomes: list[Outcome] | None = None


@frozen
class CoordinationNotice:
    """An event for the operational log of this gateway."""

    notice: Notice


Result = list[consensus.Action | CoordinationAnswer | CoordinationNotice]


class CoordinationHandler:
    """Answers coordination calls at the leader and applies coordination entries at every replica.

    The caller passes each `Settled` action of the replica to `settled`, committed entries to `deliver`,
    snapshots to `restore`, and calls `tick` regularly. Times are in s of the monotonic clock.
    """

    def __init__(
        self,
        replica: Replica,
        state: CoordinationState,
        next_token: Callable[[], int],
        rng: random.Random,
        retain_s: float,
    ) -> None:
        """`retain_s`: how long, in s, a watch may be resumed from a revision that it was given."""
        self.replica, self.state, self.next_token, self.rng = replica, state, next_token, rng
        self.event_retention_ms = int(2000 * retain_s) + EVENT_RETENTION_MARGIN_MS
        self.waiting: deque[PendingCall] = deque()
        self.watches = Watches()
        self.turn: Turn | None = None
        self.leases = Leases(0.0)
        self.view = 0  # the view in which this replica leads; `leases` belong to it
        self.view_start_ms = 0  # the log's time when the view began
        self.last_sweep_at = 0.0
        self.turns = 0  # number of turns submitted

    # Inputs

    def call(self, now: float, token: int, call: Call) -> Result:
        """Accepts an application's call. Its answer is returned here or by a later method call."""
        if not self._may_answer(now):
            return [CoordinationAnswer(token, Unavailable("this gateway does not lead, or not yet"))]
        if len(self.waiting) >= MAX_WAITING_CALLS:
            return [CoordinationAnswer(token, Full("too many calls are waiting"))]
        self._extend_lease(now, call)
        self.waiting.append(PendingCall(token, call, now))
        return self._next_turn(now)

    def deliver(self, now: float, body: bytes) -> Result:
        """Applies a committed log entry; returns notices and the answers of watches that it completes."""
        batch = unpack_batch(body)
        before = affected_holders(self.state, batch)
        outcomes = self.state.apply(batch)
        proposed_here = self.turn is not None and self.turn.number == batch.number
        if self.turn and proposed_here:
            self.turn.outcomes = outcomes
        notices = collect_notices(batch, outcomes, before, proposed_here)
        result: Result = [CoordinationNotice(notice) for notice in notices]
        for group in {group_of(o.key) for o in batch.operations if isinstance(o, Put)}:
            result += self._notify_watches(group)
        return result

    def restore(self, body: bytes) -> Result:
        """Replaces the state by that of a snapshot."""
        self.state.restore(body)
        return [answer for group in list(self.watches.by_group) for answer in self._notify_watches(group)]

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """Handles the result of a proposal or read barrier; other tokens are ignored."""
        turn = self.turn
        if turn is None or turn.token != token:
            return []
        self.turn = None
        answers = self._complete_turn(now, turn) if accepted else self._abandon_turn(turn)
        return [*answers, *self._next_turn(now)]

    def tick(self, now: float) -> Result:
        """Handles timeouts: of queued calls, of watches, and of abandoned locks."""
        if not self._may_answer(now):
            return self._reject_all()
        result: Result = []
        while self.waiting and now - self.waiting[0].received_at > MAX_WAIT_S:
            pending = self.waiting.popleft()
            result.append(CoordinationAnswer(pending.token, Unavailable("the log takes too long")))
        for watch in self.watches.take_expired(now):
            result.append(CoordinationAnswer(watch.token, Watched((), watch.after)))
        return [*result, *self._next_turn(now)]

    # Leadership and time

    def _may_answer(self, now: float) -> bool:
        """Whether this replica leads, has delivered what was committed before its view, and is in contact
        with a majority. The first time in a view, begins the view here, with new leases."""
        replica = self.replica
        if not replica.leading or not replica.caught_up or not replica.in_contact(now):
            return False
        if self.view != replica.view:
            self._begin_view(now)
        return True

    def _begin_view(self, now: float) -> None:
        """Starts lease bookkeeping for a new view; the whole log has been applied."""
        self.view = self.replica.view
        self.leases = Leases(now)
        self.view_start_ms = self.state.time_ms
        self.last_sweep_at = now

    def _time_ms(self, now: float) -> int:
        return self.view_start_ms + int((now - self.leases.started_at) * 1000)

    def _extend_lease(self, now: float, call: Call) -> None:
        """Extends the holder's lease from the arrival of its call, before other owners' calls are decided."""
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
        result: Result = []
        while self.turn is None and (self.waiting or self._sweep_due(now)):
            if not self._may_answer(now):
                return [*result, *self._reject_all()]
            turn = Turn(self.next_token(), self.rng.getrandbits(62))
            for _ in range(min(len(self.waiting), MAX_CALLS_PER_TURN)):
                result += self._add_to_turn(now, turn, self.waiting.popleft())
            self._sweep(now, turn)
            result += self._submit_turn(now, turn)
        return result

    def _add_to_turn(self, now: float, turn: Turn, pending: PendingCall) -> Result:
        """Adds a call to the turn, or answers it at once."""
        found = self._classify(now, pending)
        if found is None:
            turn.readers.append(pending)
        elif isinstance(found, Operation):
            turn.operations.append(found)
            turn.writers.append(pending.token)
        elif not isinstance(found, WaitingWatch):
            return [CoordinationAnswer(pending.token, found)]
        return []

    def _classify(self, now: float, pending: PendingCall) -> Operation | Outcome | WaitingWatch | None:
        """An operation to propose, an immediate outcome, a registered watch, or None for a read."""
        match pending.call:
            case Acquire() as call:
                return self._classify_acquire(now, call)
            case Renew() as call:
                # Leases are not replicated, so only a longer hold time changes the state. Other renewals are
                # answered as reads; the lease was extended when the call arrived.
                lock = self.state.held(call.name, call.owner, call.fence)
                return call if lock and call.hold_ms > lock.hold_ms else None
            case Release() as call:
                lock = self.state.held(call.name, call.owner, call.fence)
                return call if lock and not lock.reacquired else Released()
            case Expire() as call:
                known = self.state.locks.get(call.name)
                return call if known and known.fence == call.fence else None
            case Put() as call:
                return self._classify_put(call)
            case NextNumber() as call:
                return call
            case Get() | ListNames():
                return None
            case Watch() as call:
                return self._classify_watch(now, pending.token, call)

    def _classify_acquire(self, now: float, call: Acquire) -> Operation | Outcome:
        lock = self.state.locks.get(call.name)
        expired = lock.fence if lock and self.leases.expired(now, call.name, lock) else 0
        if lock and not expired and lock.owner != call.owner:
            return Held()
        return Acquire(call.name, call.owner, call.hold_ms, expired)

    def _classify_put(self, call: Put) -> Operation | Outcome:
        if known := self.state.stored_revision(call.key, call.value):
            return Stored(known)
        revision = self.state.key_revision(call.key)
        if self.state.was_refused(call.key, call.value) or (
            call.expected is not None and revision > call.expected
        ):
            return Conflict(revision)
        return call

    def _classify_watch(self, now: float, token: int, call: Watch) -> Outcome | WaitingWatch | None:
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

    def _submit_turn(self, now: float, turn: Turn) -> Result:
        if not turn.operations and not turn.readers:
            return []
        if not turn.operations:
            self._begin_turn(turn)
            return [*self.replica.barrier(now, turn.token)]
        time_ms = self._time_ms(now)
        batch = Batch(
            turn.number,
            time_ms,
            time_ms - self.event_retention_ms,
            time_ms - PUT_RETENTION_MS,
            tuple(turn.operations),
        )
        body = pack_batch(batch)
        self._begin_turn(turn)  # nothing that can fail may stand between this and the proposal
        last = self.replica.last_seq
        actions = self.replica.propose(now, turn.token, consensus.COORDINATION, body)
        # `Settled` does not tell a refusal from an unknown outcome. Here the log did not grow: the proposal
        # was refused, and the entry is in no log.
        if self.replica.last_seq == last:
            self.turn = None
            refused = Unavailable("the log takes nothing at the moment")
            return [*actions, *self._answer_all(turn, refused, refused)]
        return [*actions]

    def _begin_turn(self, turn: Turn) -> None:
        self.turn = turn
        self.turns += 1

    def _complete_turn(self, now: float, turn: Turn) -> Result:
        outcomes = turn.outcomes
        if turn.operations and outcomes is None:
            return self._abandon_turn(turn)
        answers: Result = []
        for token, operation, outcome in zip(turn.writers, turn.operations, outcomes or [], strict=True):
            self._record_lease(now, operation, outcome)
            if token:
                answers.append(CoordinationAnswer(token, outcome))
        answers += [CoordinationAnswer(p.token, self._answer_reader(now, p.call)) for p in turn.readers]
        return answers

    def _record_lease(self, now: float, operation: Operation, outcome: Outcome) -> None:
        """Updates the lease after a commit: grants and longer holds count from the commit, which is after the
        call; released and expired locks lose their lease."""
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

    def _abandon_turn(self, turn: Turn) -> Result:
        """Answers the calls of a turn whose log entry may still be committed by another leader, or never."""
        reason = "the leader changed before it was known to be agreed on"
        return self._answer_all(turn, Unknown(reason), Unavailable(reason))

    def _answer_all(self, turn: Turn, writers: Outcome, readers: Outcome) -> Result:
        answers = [CoordinationAnswer(token, writers) for token in turn.writers if token]
        return [*answers, *(CoordinationAnswer(p.token, readers) for p in turn.readers)]

    def _reject_all(self) -> Result:
        """Answers queued calls and watches when this replica may not answer; none of them was proposed."""
        refused = Unavailable("this gateway does not lead any more")
        tokens = [p.token for p in self.waiting] + [w.token for w in self.watches.take_all()]
        self.waiting.clear()
        return [CoordinationAnswer(token, refused) for token in tokens]

    def _notify_watches(self, group: str) -> Result:
        """Answers the watches of a group that has new events. A watch from a revision above the group's
        current one keeps waiting."""
        answers: Result = []
        for watch in self.watches.take_group(group):
            found = self.state.watch(group, watch.after)
            if isinstance(found, Watched) and not found.events:
                self.watches.add(watch)
            else:
                answers.append(CoordinationAnswer(watch.token, found))
        return answers

    # Abandoned locks

    def _sweep_due(self, now: float) -> bool:
        return now - self.last_sweep_at >= SWEEP_INTERVAL_S and bool(self.state.locks)

    def _sweep(self, now: float, turn: Turn) -> None:
        """Proposes to remove locks whose lease ended long ago, so that unused names do not accumulate."""
        if not self._sweep_due(now):
            return
        self.last_sweep_at = now
        for name, lock in self.state.locks.items():
            if len(turn.operations) >= MAX_CALLS_PER_TURN + MAX_SWEPT_LOCKS:
                break
            if now - self.leases.end(name, lock) >= SWEEP_DELAY_S:
                turn.operations.append(Expire(name, lock.fence))
                turn.writers.append(0)
