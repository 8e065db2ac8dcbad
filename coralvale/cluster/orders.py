"""Operators' orders at the leader, without I/O: what is answered, and what must be known before it is.

Every answer that depends on the configuration in force is given behind agreement with a majority: a change that
is taken by its commit, a refusal, an order that was taken before, and a reading by a read barrier. Where that
cannot be had there is no clear answer (503), and the operator sends the order again as it was.

An order is known by its bytes and the version that it builds on; the configuration's history remembers those
that were taken. Orders are settled one after the other, each judged by what those before it led to.
"""

from __future__ import annotations

from collections import deque

from attrs import define, frozen

from coralvale.cluster.configuration.history import AlreadyApplied, BaseTooOld, Change, ChangeHistory, pack
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import ANSWERS, Kind, Problem

MOST_WAITING = 64  # orders; the operators have eight under way


@frozen
class ChangeAnswer:
    """What the operator is told. `problem` is set where nothing was done, or is not known to be."""

    token: int
    body: bytes = b"{}"
    problem: Problem | None = None
    change: Change | None = None  # the order that was taken by this call

    @property
    def status(self) -> int:
        return ANSWERS[self.problem.kind].status if self.problem else 200


@define
class ChangeRequest:
    """The one in hand. `proposed`: it was put into the log, else a barrier is awaited."""

    token: int
    change: Change
    proposed: bool = False


Result = list[consensus.Action | ChangeAnswer]


def unsettled(token: int, reason: str) -> ChangeAnswer:
    return ChangeAnswer(token, problem=Problem(Kind.UNSETTLED, reason))


class ChangeRequestHandler:
    """`settled` is to be called with each `Settled` action that the replica returns for these tokens."""

    def __init__(self, replica: Replica, history: ChangeHistory) -> None:
        self.replica, self.history = replica, history
        self.waiting: deque[ChangeRequest] = deque()
        self.current: ChangeRequest | None = None
        self.reads: set[int] = set()

    def read(self, now: float, token: int) -> Result:
        """The newest configuration."""
        if not self.replica.in_contact(now):
            return [unsettled(token, "no majority answers")]
        self.reads.add(token)
        return [*self.replica.barrier(now, token)]

    def submit(self, now: float, token: int, change: Change) -> Result:
        """An operator's change."""
        if len(self.waiting) >= MOST_WAITING:
            return [unsettled(token, "too many orders are waiting")]
        self.waiting.append(ChangeRequest(token, change))
        return self._next(now)

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """The replica has decided on a proposal or a barrier of this desk."""
        if token in self.reads:
            self.reads.remove(token)
            if accepted:
                return [ChangeAnswer(token, self.history.config())]
            return [unsettled(token, "no majority answers")]
        order = self.current
        if order is None or order.token != token:
            return []
        self.current = None
        if not accepted:
            return [unsettled(token, "no majority answers"), *self._next(now)]
        return [*self._confirmed(now, order), *self._next(now)]

    def _next(self, now: float) -> Result:
        done: Result = []
        while self.current is None and self.waiting:
            done += self._begin(now, self.waiting.popleft())
        return done

    def _begin(self, now: float, order: ChangeRequest) -> Result:
        replica = self.replica
        if not replica.leading or not replica.settled or not replica.in_contact(now):
            return [unsettled(order.token, "no longer the leader, or not yet")]
        self.current = order
        if self.history.validate(order.change) is not None:
            return [*replica.barrier(now, order.token)]
        return self._propose(now, order)

    def _propose(self, now: float, order: ChangeRequest) -> Result:
        self.current, order.proposed = order, True
        return [*self.replica.propose(now, order.token, consensus.CHANGE, pack(order.change))]

    def _confirmed(self, now: float, order: ChangeRequest) -> Result:
        """What the history says now is what is in force: judged again, since more may have been delivered."""
        token, change = order.token, order.change
        if order.proposed:
            if self.history.was_applied(change):
                return [ChangeAnswer(token, change=change)]
            return [unsettled(token, "another came first")]
        found = self.history.validate(change)
        if isinstance(found, AlreadyApplied):
            return [ChangeAnswer(token)]
        if isinstance(found, BaseTooOld):
            return [unsettled(token, "it builds on a version so old that nobody knows whether it was taken")]
        if isinstance(found, Problem):
            return [ChangeAnswer(token, problem=found)]
        return self._propose(now, order)
