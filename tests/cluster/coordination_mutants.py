"""Broken variants of coordination, one per property that it relies on, and the rules that detect them."""

from __future__ import annotations

import re
from collections.abc import Callable

from attrs import frozen
from consensus_world import InvariantViolation
from coordination_scenes import (
    delayed_put,
    delayed_release,
    leader_without_followers,
    leader_without_replies,
    stale_read,
    stale_renewals,
)
from coordination_world import RETAIN_S, CoordinationWorld

from coralvale.cluster.coordination import model as c
from coralvale.cluster.coordination.desk import (
    CoordinationAnswer,
    CoordinationHandler,
    PendingCall,
    Result,
    Turn,
)
from coralvale.cluster.coordination.leases import Leases
from coralvale.cluster.coordination.state import CoordinationState, Image, Lock
from coralvale.cluster.coordination.watches import WaitingWatch

SEEDS = 40
SECONDS = 20.0
Found = c.Operation | c.Outcome | WaitingWatch | None


class FenceNotInSnapshot(CoordinationState):
    """The fence counter restarts at 0 when a snapshot is loaded."""

    def replace(self, image: Image) -> None:
        super().replace(image)
        self.last_fence = 0


class NumbersNotInSnapshot(CoordinationState):
    """Numbers restart when a snapshot is loaded."""

    def replace(self, image: Image) -> None:
        super().replace(image)
        self.numbers = {}


class EventsNotInSnapshot(CoordinationState):
    """A snapshot has a group's revision without its events, and `compacted` does not say so."""

    def image(self) -> bytes:
        for group in self.groups.values():
            group.events.clear()
        return super().image()

    def watch(self, name: str, after: int) -> c.Watched | c.Compacted:
        group = self.groups.get(name)
        if group is None or after >= group.revision:
            return c.Watched((), after)
        return c.Watched(tuple(e for e in group.events if e.revision > after), group.revision)


class TakesOverWithoutFenceCheck(CoordinationState):
    """An acquire after an expired lease takes the lock, whoever holds it by then."""

    def _acquire(self, operation: c.Acquire) -> c.Outcome:
        if operation.expired_fence:
            self.locks.pop(operation.name, None)
        return super()._acquire(operation)


class ReleasesReacquiredLock(CoordinationState):
    """A delayed release ends the next hold of the same owner."""

    def _acquire(self, operation: c.Acquire) -> c.Outcome:
        outcome = super()._acquire(operation)
        if lock := self.locks.get(operation.name):
            self.locks[operation.name] = Lock(lock.owner, lock.fence, lock.hold_ms)
        return outcome


class ForgetsFirstRevisions(CoordinationState):
    """A retried put is recognised only while its value is the current one."""

    def _expire_puts(self, horizon_ms: int) -> None:
        self.puts.clear()


class PutsNotInSnapshot(CoordinationState):
    """The puts remembered to recognise retries are not in a snapshot."""

    def replace(self, image: Image) -> None:
        super().replace(image)
        self.puts.clear()


class IgnoresExpected(CoordinationState):
    """A put takes effect whatever its expected revision is."""

    def _put(self, operation: c.Put) -> c.Outcome:
        return super()._put(c.Put(operation.key, operation.value))


class IgnoresEarlierLeases(CoordinationHandler):
    """A new leader does not wait out leases that an earlier leader may have renewed."""

    def _begin_view(self, now: float) -> None:
        super()._begin_view(now)
        self.leases = Leases(-1e9)


class RenewsWithoutBarrier(CoordinationHandler):
    """A renewal is acknowledged without confirmation by a majority."""

    def _classify(self, now: float, pending: PendingCall) -> Found:
        found = super()._classify(now, pending)
        if found is None and isinstance(pending.call, c.Renew):
            return self._read(pending.call)
        return found


class RenewsWithoutExtending(CoordinationHandler):
    """A renewal is acknowledged without extending the lease."""

    def _extend_lease(self, now: float, call: c.Call) -> None:
        if not isinstance(call, c.Renew):
            super()._extend_lease(now, call)


class LongerHoldNotLogged(CoordinationHandler):
    """A renewal for longer than the hold time in the log is not logged."""

    def _classify(self, now: float, pending: PendingCall) -> Found:
        return None if isinstance(pending.call, c.Renew) else super()._classify(now, pending)


class ReadsWithoutBarrier(CoordinationHandler):
    """A key is read from the local state without confirmation by a majority."""

    def _classify(self, now: float, pending: PendingCall) -> Found:
        if isinstance(pending.call, c.Get):
            return self.state.get(pending.call.key)
        return super()._classify(now, pending)


class RejectsProposedCalls(CoordinationHandler):
    """A put whose entry may still be committed is answered `Unavailable`."""

    def _abandon_turn(self, turn: Turn) -> Result:
        refused = c.Unavailable("the leader changed")
        return self._answer_all(turn, refused, refused)


class ConflictWithOwnRetry(CoordinationHandler):
    """A retried put conflicts with the revision that it created itself."""

    def _classify_put(self, call: c.Put) -> c.Operation | c.Outcome:
        revision = self.state.key_revision(call.key)
        if call.expected is not None and revision > call.expected:
            return c.Conflict(revision)
        return super()._classify_put(call)


class ConflictWithGroupRevision(CoordinationHandler):
    """A conflict reports the group's revision instead of the key's."""

    def _classify_put(self, call: c.Put) -> c.Operation | c.Outcome:
        found = super()._classify_put(call)
        revision = self.state.group_revision(c.group_of(call.key))
        return c.Conflict(revision) if isinstance(found, c.Conflict) else found


class CompactsEarly(CoordinationHandler):
    """Events are kept for less than the promised retention."""

    def _submit_turn(self, now: float, turn: Turn) -> Result:
        self.event_retention_ms = int(300 * RETAIN_S)
        return super()._submit_turn(now, turn)


class NotifiesBeforeCommit(CoordinationHandler):
    """Watches are notified of puts when they are proposed, before the commit."""

    def _submit_turn(self, now: float, turn: Turn) -> Result:
        completed = super()._submit_turn(now, turn)
        foreseen = CoordinationState()
        foreseen.restore(self.state.image())
        foreseen.apply(c.Batch(0, foreseen.time_ms, 0, 0, tuple(turn.operations)))
        for group in {c.group_of(o.key) for o in turn.operations if isinstance(o, c.Put)}:
            for watch in self.watches.take_group(group):
                completed.append(CoordinationAnswer(watch.token, foreseen.watch(group, watch.after)))
        return completed


class SkipsEvents(CoordinationState):
    """A watch that lags is given only the newest events."""

    def watch(self, name: str, after: int) -> c.Watched | c.Compacted:
        found = super().watch(name, after)
        return c.Watched(found.events[-2:], found.revision) if isinstance(found, c.Watched) else found


@frozen
class Mutant:
    """A broken variant, and a pattern of the rules of which one has to detect it."""

    name: str
    rules: str
    handler: type[CoordinationHandler] = CoordinationHandler
    state: type[CoordinationState] = CoordinationState
    scene: Callable[[CoordinationWorld], object] = lambda world: world.play(SECONDS)

    def find_violation(self) -> tuple[int, str]:
        """The seed with which one of the rules was broken, and how; (-1, "") if none was."""
        for seed in range(SEEDS):
            world = CoordinationWorld(seed, 3, self.handler, self.state)
            try:
                self.scene(world)
            except InvariantViolation as error:
                if re.search(self.rules, str(error)):
                    return seed, str(error)
        return -1, ""


MUTANTS = (
    Mutant("fences not in the snapshot", "ONE", state=FenceNotInSnapshot),
    Mutant("numbers not in the snapshot", "ORDER", state=NumbersNotInSnapshot),
    Mutant("events not in the snapshot", "ORDER", state=EventsNotInSnapshot),
    Mutant("known puts not in the snapshot", "MIXED", state=PutsNotInSnapshot, scene=delayed_put),
    Mutant("takes over without comparing the fence", "ONE", state=TakesOverWithoutFenceCheck),
    Mutant("releases what was reacquired", "ONE", state=ReleasesReacquiredLock, scene=delayed_release),
    Mutant("forgets first revisions", "MIXED", state=ForgetsFirstRevisions),
    Mutant("ignores the expected revision", "ORDER", state=IgnoresExpected),
    Mutant("skips events", "ORDER", state=SkipsEvents),
    Mutant("counts leases from zero", "ONE", IgnoresEarlierLeases),
    Mutant("renews without a majority", "ONE", RenewsWithoutBarrier, scene=stale_renewals),
    Mutant("renews without counting the time", "ONE", RenewsWithoutExtending),
    Mutant("does not write a longer hold", "ONE", LongerHoldNotLogged),
    Mutant("reads without a majority", "STALE", ReadsWithoutBarrier, scene=stale_read),
    Mutant("refuses what was proposed", "REFUSED", RejectsProposedCalls, scene=leader_without_replies),
    Mutant("finds a conflict with itself", "REFUSED", ConflictWithOwnRetry),
    Mutant("names the group's revision", "MIXED", ConflictWithGroupRevision),
    Mutant("compacts too early", "LOST", CompactsEarly),
    Mutant(
        "tells what is not committed",
        "ORDER|MIXED|LOST",
        NotifiesBeforeCommit,
        scene=leader_without_followers,
    ),
)
