"""Broken replicas, one for each invariant at the head of `consensus/replica.py`, and where each is to show."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import frozen
from consensus_world import Broken, World

from coralvale.cluster.configuration.history import Change, Problem
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import Kind
from coralvale.cluster.orders import ChangeAnswer, ChangeRequest, ChangeRequestHandler, Result

SEEDS = 150
SECONDS = 20.0


class VotesForAny(Replica):
    """A vote is given to a log that is older than the own."""

    def _answer_vote(self, now: float, ask: m.VoteRequest) -> None:
        newer = m.VoteRequest(ask.view, ask.sender, 1 << 40, 1 << 40, ask.pre_vote, ask.transferred)
        super()._answer_vote(now, newer)


class CountsBeforeDisk(Replica):
    """A reply is given before what it is about is on disk."""

    def _write(self, sends: list[m.Send], *args: Any, **named: Any) -> None:
        super()._write([], *args, **named)
        self.out += sends
        self.durable = self.last


class ForgetsVote(Replica):
    """A vote is not put on disk."""

    def _write(self, *args: Any, **named: Any) -> None:
        super()._write(*args, **named)
        w = self.out[-1]
        assert isinstance(w, m.Write)
        view = max(0, w.view - 1)
        self.out[-1] = m.Write(w.number, view, "", w.commit, w.cut, w.entries, w.snapshot, w.trim)


class NeverStepsDown(Replica):
    """A leader that hears no majority goes on."""

    def _lead_tick(self, now: float) -> None:
        for peer in self.peers.values():
            peer.heard = now
        super()._lead_tick(now)


class TakesOldReplies(Replica):
    """Any reply confirms a reading, whenever it was made."""

    def _note_round(self, now: float, progress: Any, number: int) -> None:
        super()._note_round(now, progress, number)
        progress.round, progress.contact = self.round, now
        self._confirm_reads()


class CommitsAlone(Replica):
    """What is on the leader's own disk is committed."""

    def _count_commit(self, now: float) -> None:
        if self.durable > self.commit:
            self.commit = self.durable
            self._deliver()
            self._voters_committed(now)


class NewAlone(m.VoterSet, frozen=True, array_like=True):
    """A joint configuration that asks the new voters alone."""

    def majority(self, ids: set[str]) -> bool:
        return 2 * sum(member.id in ids for member in self.new) > len(self.new)


class NeedsNewAlone(Replica):
    """While voters change, a majority of the new ones is enough."""

    @property
    def voters(self) -> m.VoterSet:
        return NewAlone(super().voters.new, super().voters.old)

    def _voters_at(self, seq: int) -> m.VoterSet:
        found = super()._voters_at(seq)
        return NewAlone(found.new, found.old)


class EmptySnapshot(Replica):
    """A snapshot takes the place of what it does not contain."""

    def save(self, body: bytes) -> list[m.Action]:
        if not self.due_for_snapshot():
            return []
        return super().save(b"")


class EndsAtOnce(Replica):
    """A replica that leaves ends at once, whatever the others hold."""

    def leave(self, now: float) -> list[m.Action]:
        done = super().leave(now)
        self.may_end = True
        return done


class RefusesUnasked(ChangeRequestHandler):
    """A refusal, and a reading, are given by what is known here."""

    def read(self, now: float, token: int) -> Result:
        return [ChangeAnswer(token, self.history.config())]

    def _begin(self, now: float, order: ChangeRequest) -> Result:
        found = self.history.validate(order.change)
        if isinstance(found, Problem):
            return [ChangeAnswer(order.token, problem=found)]
        return super()._begin(now, order)


class ForgetsOrders(ChangeRequestHandler):
    """An order that was taken is not known again."""

    def _begin(self, now: float, order: ChangeRequest) -> Result:
        if order.change.base != self.history.configuration.version and self.replica.settled:
            return [ChangeAnswer(order.token, problem=Problem(Kind.OTHER_VERSION))]
        return super()._begin(now, order)


class AnswersBeforeCommit(ChangeRequestHandler):
    """An order is acknowledged when it is proposed."""

    def _propose(self, now: float, order: ChangeRequest) -> Result:
        return [*super()._propose(now, order), ChangeAnswer(order.token, change=order.change)]


class JudgesTogether(ChangeRequestHandler):
    """Orders on one base are proposed side by side, and each is taken for done once it is in the log."""

    def _begin(self, now: float, order: ChangeRequest) -> Result:
        done = super()._begin(now, order)
        if order.proposed:
            self.beside = getattr(self, "beside", {})
            self.beside[order.token] = order
            self.current = None
        return done

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        order: ChangeRequest | None = getattr(self, "beside", {}).pop(token, None)
        if order is None:
            return super().settled(now, token, accepted)
        return [ChangeAnswer(token, change=order.change)] if accepted else []


@frozen
class Suspect:
    """A broken variant, the invariant that it breaks, and how it is looked for."""

    name: str
    invariant: int
    replica: Callable[..., Replica] = Replica
    desk: type[ChangeRequestHandler] = ChangeRequestHandler
    keeps_ids: bool = False
    scene: Callable[[World], object] = lambda world: world.play(SECONDS)

    def hunt(self) -> str:
        """What broke, and where; "" if nothing did."""
        for seed in range(SEEDS):
            try:
                self.scene(World(seed, 3, self.replica, desk=self.desk, keeps_ids=self.keeps_ids))
            except Broken as error:
                return f"seed {seed}: {error}"
        return ""


MUTANTS = (
    Suspect("forgets its vote", 1, ForgetsVote),
    Suspect("votes for any log", 2, VotesForAny),
    Suspect("counts before the disk", 2, CountsBeforeDisk),
    Suspect("commits without a majority", 2, CommitsAlone),
    Suspect("a lost disk votes again", 3, keeps_ids=True),
    Suspect("needs the new voters alone", 4, NeedsNewAlone, scene=World.parted),
    Suspect("never steps down", 5, NeverStepsDown),
    Suspect("takes old replies for a reading", 6, TakesOldReplies, scene=World.late_replies),
    Suspect("refuses by what it knows", 6, desk=RefusesUnasked),
    Suspect("snapshot without its contents", 7, EmptySnapshot),
    Suspect("ends at once", 8, EndsAtOnce, scene=World.only_copy),
    Suspect("forgets orders", 6, desk=ForgetsOrders),
    Suspect("acknowledges before the commit", 2, desk=AnswersBeforeCommit),
    Suspect("judges orders side by side", 6, desk=JudgesTogether),
)

__all__ = ["MUTANTS", "Change", "NeedsNewAlone", "Suspect"]
