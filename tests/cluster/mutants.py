"""Mutants: variants of the replica and of the handler of change requests, each of which breaks an invariant
listed in `consensus/replica.py`. The tests must detect each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import frozen
from consensus_world import InvariantViolation, World

from coralvale.cluster.configuration.history import BuiltChange, Change, Problem
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import Kind
from coralvale.cluster.orders import ChangeAnswer, ChangeRequest, ChangeRequestHandler, Result

SEEDS = 150
SECONDS = 20.0


class VotesForAny(Replica):
    """Votes for a candidate whose log is older than its own."""

    def _handle_vote_request(self, now: float, request: m.VoteRequest) -> None:
        newer = m.VoteRequest(
            request.view, request.sender, 1 << 40, 1 << 40, request.pre_vote, request.transferred
        )
        super()._handle_vote_request(now, newer)


class CountsBeforeDisk(Replica):
    """Replies before the acknowledged data is on disk."""

    def _write(self, sends: list[m.Send], *args: Any, **named: Any) -> None:
        super()._write([], *args, **named)
        self.actions += sends
        self.durable_seq = self.last_seq


class ForgetsVote(Replica):
    """Does not write its vote to disk."""

    def _write(self, *args: Any, **named: Any) -> None:
        super()._write(*args, **named)
        w = self.actions[-1]
        assert isinstance(w, m.Write)
        view = max(0, w.view - 1)
        self.actions[-1] = m.Write(
            w.number, view, "", w.commit, w.truncate_from, w.entries, w.snapshot, w.trim_below
        )


class NeverStepsDown(Replica):
    """A leader that hears from no majority does not step down."""

    def _leader_tick(self, now: float) -> None:
        for peer in self.peers.values():
            peer.last_reply_at = now
        super()._leader_tick(now)


class TakesOldReplies(Replica):
    """Any reply confirms a read, however old it is."""

    def _record_round(self, now: float, progress: Any, number: int) -> None:
        super()._record_round(now, progress, number)
        progress.round, progress.contact_at = self.round, now
        self._confirm_reads()


class CommitsAlone(Replica):
    """Commits what is on the leader's own disk."""

    def _advance_commit(self, now: float) -> None:
        if self.durable_seq > self.commit:
            self.commit = self.durable_seq
            self._deliver()
            self._advance_voter_change(now)


class NewAlone(m.VoterSet, frozen=True, array_like=True):
    """A joint configuration that needs only a majority of the new voters."""

    def majority(self, ids: set[str]) -> bool:
        return 2 * sum(member.id in ids for member in self.new) > len(self.new)


class NeedsNewAlone(Replica):
    """During a change of voters, needs only a majority of the new ones."""

    @property
    def voters(self) -> m.VoterSet:
        return NewAlone(super().voters.new, super().voters.old)

    def _voters_at(self, seq: int) -> m.VoterSet:
        found = super()._voters_at(seq)
        return NewAlone(found.new, found.old)


class EmptySnapshot(Replica):
    """A snapshot replaces entries whose effects it does not contain."""

    def save_snapshot(self, body: bytes) -> list[m.Action]:
        if not self.due_for_snapshot():
            return []
        return super().save_snapshot(b"")


class EndsAtOnce(Replica):
    """A leaving replica stops at once, whatever the others hold."""

    def leave(self, now: float) -> list[m.Action]:
        done = super().leave(now)
        self.safe_to_stop = True
        return done


class RefusesUnasked(ChangeRequestHandler):
    """Refuses and reads by the local state, without a read barrier."""

    def read(self, now: float, token: int) -> Result:
        return [ChangeAnswer(token, self.history.config())]

    def _begin(self, now: float, order: ChangeRequest) -> Result:
        found = self.history.validate(order.change)
        if isinstance(found, Problem):
            return [ChangeAnswer(order.token, problem=found)]
        return super()._begin(now, order)


class ForgetsOrders(ChangeRequestHandler):
    """Does not recognise the repetition of a change request that was accepted."""

    def _begin(self, now: float, order: ChangeRequest) -> Result:
        if order.change.base != self.history.configuration.version and self.replica.caught_up:
            return [ChangeAnswer(order.token, problem=Problem(Kind.OTHER_VERSION))]
        return super()._begin(now, order)


class AnswersBeforeCommit(ChangeRequestHandler):
    """Acknowledges a change request when it is proposed."""

    def _propose(self, now: float, order: ChangeRequest, found: BuiltChange) -> Result:
        return [*super()._propose(now, order, found), ChangeAnswer(order.token, change=order.change)]


class JudgesTogether(ChangeRequestHandler):
    """Proposes changes on the same base concurrently, and acknowledges each once it is in the log."""

    def checked(self, now: float, token: int, found: BuiltChange | Problem) -> Result:
        order = self.current
        done = super().checked(now, token, found)
        if order and order.proposed and order is self.current:
            self.beside = getattr(self, "beside", {})
            self.beside[order.token] = order
            self.current = None
            done += self._start(now)
        return done

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        order: ChangeRequest | None = getattr(self, "beside", {}).pop(token, None)
        if order is None:
            return super().settled(now, token, accepted)
        return [ChangeAnswer(token, change=order.change)] if accepted else []


@frozen
class Mutant:
    """A mutant, the number of the invariant that it breaks, and the scene in which to look for the
    violation."""

    name: str
    invariant: int
    replica: Callable[..., Replica] = Replica
    desk: type[ChangeRequestHandler] = ChangeRequestHandler
    keeps_ids: bool = False
    scene: Callable[[World], object] = lambda world: world.play(SECONDS)

    def find_violation(self) -> str:
        """The first violation and its seed, "" if there is none."""
        for seed in range(SEEDS):
            try:
                self.scene(World(seed, 3, self.replica, desk=self.desk, keeps_ids=self.keeps_ids))
            except InvariantViolation as error:
                return f"seed {seed}: {error}"
        return ""


MUTANTS = (
    Mutant("forgets its vote", 1, ForgetsVote),
    Mutant("votes for any log", 2, VotesForAny),
    Mutant("counts before the disk", 2, CountsBeforeDisk),
    Mutant("commits without a majority", 2, CommitsAlone),
    Mutant("a lost disk votes again", 3, keeps_ids=True),
    Mutant("needs the new voters alone", 4, NeedsNewAlone, scene=World.check_partition_during_change),
    Mutant("never steps down", 5, NeverStepsDown),
    Mutant("takes old replies for a reading", 6, TakesOldReplies, scene=World.check_late_replies),
    Mutant("refuses by what it knows", 6, desk=RefusesUnasked),
    Mutant("snapshot without its contents", 7, EmptySnapshot),
    Mutant("ends at once", 8, EndsAtOnce, scene=World.check_only_copy_on_leave),
    Mutant("forgets orders", 6, desk=ForgetsOrders),
    Mutant("acknowledges before the commit", 2, desk=AnswersBeforeCommit),
    Mutant("judges orders side by side", 6, desk=JudgesTogether),
)

__all__ = ["MUTANTS", "Change", "NeedsNewAlone", "Mutant"]
