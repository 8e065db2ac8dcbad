"""Broken variants of coordination, one for each thing that it relies on, and the rules that are to miss it."""

from __future__ import annotations

import re
from collections.abc import Callable

from attrs import frozen
from consensus_world import Broken
from coordination_scenes import (
    late_put,
    late_release,
    mute_leader,
    stale_reading,
    stale_renewals,
    unheard_leader,
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
    """The count of fences begins anew with a snapshot."""

    def replace(self, image: Image) -> None:
        super().replace(image)
        self.last_fence = 0


class NumbersNotInSnapshot(CoordinationState):
    """Numbers begin anew with a snapshot."""

    def replace(self, image: Image) -> None:
        super().replace(image)
        self.numbers = {}


class EventsNotInSnapshot(CoordinationState):
    """A snapshot has a group's count and not its events, and does not say so."""

    def image(self) -> bytes:
        for group in self.groups.values():
            group.events.clear()
        return super().image()

    def watch(self, name: str, after: int) -> c.Watched | c.Compacted:
        group = self.groups.get(name)
        if group is None or after >= group.revision:
            return c.Watched((), after)
        return c.Watched(tuple(e for e in group.events if e.revision > after), group.revision)


class TakesOverUnseen(CoordinationState):
    """A lock that was seen to be over is taken, whoever holds it by now."""

    def _acquire(self, operation: c.Acquire) -> c.Outcome:
        if operation.expired_fence:
            self.locks.pop(operation.name, None)
        return super()._acquire(operation)


class ReleasesWhatWasReacquired(CoordinationState):
    """A release that is late ends the hold after it."""

    def _acquire(self, operation: c.Acquire) -> c.Outcome:
        outcome = super()._acquire(operation)
        if lock := self.locks.get(operation.name):
            self.locks[operation.name] = Lock(lock.owner, lock.fence, lock.hold_ms)
        return outcome


class ForgetsFirstRevisions(CoordinationState):
    """A put that comes again is known only while its value stands."""

    def _expire_puts(self, horizon_ms: int) -> None:
        self.puts.clear()


class PutsNotInSnapshot(CoordinationState):
    """What is known of puts that may come again is not in a snapshot."""

    def replace(self, image: Image) -> None:
        super().replace(image)
        self.puts.clear()


class IgnoresExpected(CoordinationState):
    """A put takes effect whatever has come before it."""

    def _put(self, operation: c.Put) -> c.Outcome:
        return super()._put(c.Put(operation.key, operation.value))


class CountsFromZero(CoordinationHandler):
    """A new leader waits for nobody whom an earlier one may have told to hold on."""

    def _begin_view(self, now: float) -> None:
        super()._begin_view(now)
        self.leases = Leases(-1e9)


class RenewsUnconfirmed(CoordinationHandler):
    """A renewal is acknowledged without a majority's answer."""

    def _classify(self, now: float, pending: PendingCall) -> Found:
        found = super()._classify(now, pending)
        if found is None and isinstance(pending.call, c.Renew):
            return self._read(pending.call)
        return found


class RenewsWithoutTime(CoordinationHandler):
    """A renewal is acknowledged, and its time is not counted."""

    def _extend_lease(self, now: float, call: c.Call) -> None:
        if not isinstance(call, c.Renew):
            super()._extend_lease(now, call)


class LongerUnwritten(CoordinationHandler):
    """A renewal for longer than the log knows is not written."""

    def _classify(self, now: float, pending: PendingCall) -> Found:
        return None if isinstance(pending.call, c.Renew) else super()._classify(now, pending)


class ReadsUnconfirmed(CoordinationHandler):
    """A key is read as it is here."""

    def _classify(self, now: float, pending: PendingCall) -> Found:
        if isinstance(pending.call, c.Get):
            return self.state.get(pending.call.key)
        return super()._classify(now, pending)


class RefusesWhatWasProposed(CoordinationHandler):
    """A put whose entry may yet be committed is answered that nothing was done."""

    def _abandon_turn(self, turn: Turn) -> Result:
        refused = c.Unavailable("the leader changed")
        return self._answer_all(turn, refused, refused)


class ConflictBeforeKnown(CoordinationHandler):
    """A put that comes again is judged by the revision that it made itself."""

    def _classify_put(self, call: c.Put) -> c.Operation | c.Outcome:
        revision = self.state.key_revision(call.key)
        if call.expected is not None and revision > call.expected:
            return c.Conflict(revision)
        return super()._classify_put(call)


class ConflictByGroup(CoordinationHandler):
    """A conflict names the group's revision."""

    def _classify_put(self, call: c.Put) -> c.Operation | c.Outcome:
        found = super()._classify_put(call)
        revision = self.state.group_revision(c.group_of(call.key))
        return c.Conflict(revision) if isinstance(found, c.Conflict) else found


class CompactsEarly(CoordinationHandler):
    """Events are kept for less than was promised."""

    def _submit_turn(self, now: float, turn: Turn) -> Result:
        self.event_retention_ms = int(300 * RETAIN_S)
        return super()._submit_turn(now, turn)


class TellsUncommitted(CoordinationHandler):
    """Watches are told of puts when they are proposed."""

    def _submit_turn(self, now: float, turn: Turn) -> Result:
        done = super()._submit_turn(now, turn)
        foreseen = CoordinationState()
        foreseen.restore(self.state.image())
        foreseen.apply(c.Batch(0, foreseen.time_ms, 0, 0, tuple(turn.operations)))
        for group in {c.group_of(o.key) for o in turn.operations if isinstance(o, c.Put)}:
            for watch in self.watches.take_group(group):
                done.append(CoordinationAnswer(watch.token, foreseen.watch(group, watch.after)))
        return done


class SkipsEvents(CoordinationState):
    """A watch that is behind is told the newest events alone."""

    def watch(self, name: str, after: int) -> c.Watched | c.Compacted:
        found = super().watch(name, after)
        return c.Watched(found.events[-2:], found.revision) if isinstance(found, c.Watched) else found


@frozen
class Suspect:
    """A broken variant, and the rules one of which is to miss what it takes out."""

    name: str
    rules: str
    desk: type[CoordinationHandler] = CoordinationHandler
    state: type[CoordinationState] = CoordinationState
    scene: Callable[[CoordinationWorld], object] = lambda world: world.play(SECONDS)

    def hunt(self) -> tuple[int, str]:
        """In which schedule one of the rules was broken, and how; (-1, "") if none was."""
        for seed in range(SEEDS):
            world = CoordinationWorld(seed, 3, self.desk, self.state)
            try:
                self.scene(world)
            except Broken as error:
                if re.search(self.rules, str(error)):
                    return seed, str(error)
        return -1, ""


MUTANTS = (
    Suspect("fences not in the snapshot", "ONE", state=FenceNotInSnapshot),
    Suspect("numbers not in the snapshot", "ORDER", state=NumbersNotInSnapshot),
    Suspect("events not in the snapshot", "ORDER", state=EventsNotInSnapshot),
    Suspect("known puts not in the snapshot", "MIXED", state=PutsNotInSnapshot, scene=late_put),
    Suspect("takes over without comparing the fence", "ONE", state=TakesOverUnseen),
    Suspect("releases what was reacquired", "ONE", state=ReleasesWhatWasReacquired, scene=late_release),
    Suspect("forgets first revisions", "MIXED", state=ForgetsFirstRevisions),
    Suspect("ignores the expected revision", "ORDER", state=IgnoresExpected),
    Suspect("skips events", "ORDER", state=SkipsEvents),
    Suspect("counts leases from zero", "ONE", CountsFromZero),
    Suspect("renews without a majority", "ONE", RenewsUnconfirmed, scene=stale_renewals),
    Suspect("renews without counting the time", "ONE", RenewsWithoutTime),
    Suspect("does not write a longer hold", "ONE", LongerUnwritten),
    Suspect("reads without a majority", "STALE", ReadsUnconfirmed, scene=stale_reading),
    Suspect("refuses what was proposed", "REFUSED", RefusesWhatWasProposed, scene=unheard_leader),
    Suspect("finds a conflict with itself", "REFUSED", ConflictBeforeKnown),
    Suspect("names the group's revision", "MIXED", ConflictByGroup),
    Suspect("compacts too early", "LOST", CompactsEarly),
    Suspect("tells what is not committed", "ORDER|MIXED|LOST", TellsUncommitted, scene=mute_leader),
)
