"""Processes operators' change requests ("orders") at the leader, without I/O.

Every answer that depends on the current configuration is confirmed by a majority first: an applied change by
its commit; a refusal, a retry of an applied change, and a read by a read barrier. Where a majority cannot be
reached the outcome stays open (503), and the operator sends the same request again.

A change is identified by its bytes and the version that it builds on; `ChangeHistory` remembers those that
were applied. Requests are settled one at a time, each against the result of the ones before it.
"""

from __future__ import annotations

from collections import deque

from attrs import define, frozen

from coralvale.cluster.configuration.history import AlreadyApplied, BaseTooOld, Change, ChangeHistory, pack
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import ANSWERS, Kind, Problem

MAX_WAITING_REQUESTS = 64  # operators have eight in flight


@frozen
class ChangeAnswer:
    """The answer to an operator. `problem` is set where nothing was done, or where the outcome is unknown."""

    token: int
    body: bytes = b"{}"
    problem: Problem | None = None
    change: Change | None = None  # the change, where this request applied it

    @property
    def status(self) -> int:
        """The HTTP status."""
        return ANSWERS[self.problem.kind].status if self.problem else 200


@define
class ChangeRequest:
    """A change request. `proposed`: it was proposed to the log; otherwise its read barrier is pending."""

    token: int
    change: Change
    proposed: bool = False


Result = list[consensus.Action | ChangeAnswer]


def unsettled(token: int, reason: str) -> ChangeAnswer:
    """The answer to a request whose outcome is open."""
    return ChangeAnswer(token, problem=Problem(Kind.NO_MAJORITY, reason))


class ChangeRequestHandler:
    """Answers operators' change requests and reads of the configuration at the leader.

    The caller passes each `Settled` action of the replica to `settled`. Times are in s of the steady clock.
    """

    def __init__(self, replica: Replica, history: ChangeHistory) -> None:
        self.replica, self.history = replica, history
        self.waiting: deque[ChangeRequest] = deque()
        self.current: ChangeRequest | None = None
        self.reads: set[int] = set()

    def read(self, now: float, token: int) -> Result:
        """Reads the current configuration, behind a read barrier."""
        if not self.replica.in_contact(now):
            return [unsettled(token, "no majority answers")]
        self.reads.add(token)
        return [*self.replica.barrier(now, token)]

    def submit(self, now: float, token: int, change: Change) -> Result:
        """Queues an operator's change."""
        if len(self.waiting) >= MAX_WAITING_REQUESTS:
            return [unsettled(token, "too many orders are waiting")]
        self.waiting.append(ChangeRequest(token, change))
        return self._start_next(now)

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """Handles the result of a proposal or read barrier; other tokens are ignored."""
        if token in self.reads:
            self.reads.remove(token)
            if accepted:
                return [ChangeAnswer(token, self.history.config())]
            return [unsettled(token, "no majority answers")]
        request = self.current
        if request is None or request.token != token:
            return []
        self.current = None
        if not accepted:
            return [unsettled(token, "no majority answers"), *self._start_next(now)]
        return [*self._resolve(now, request), *self._start_next(now)]

    def _start_next(self, now: float) -> Result:
        result: Result = []
        while self.current is None and self.waiting:
            result += self._begin(now, self.waiting.popleft())
        return result

    def _begin(self, now: float, request: ChangeRequest) -> Result:
        replica = self.replica
        if not replica.leading or not replica.caught_up or not replica.in_contact(now):
            return [unsettled(request.token, "no longer the leader, or not yet")]
        problem = self.history.validate(request.change)
        self.current = request  # only now: if the check raises, the requests behind it still get their turn
        if problem is not None:
            return [*replica.barrier(now, request.token)]
        return self._propose(now, request)

    def _propose(self, now: float, request: ChangeRequest) -> Result:
        self.current, request.proposed = request, True
        return [*self.replica.propose(now, request.token, consensus.CHANGE, pack(request.change))]

    def _resolve(self, now: float, request: ChangeRequest) -> Result:
        """Answers a request that a majority confirmed. The history is current now; the request is validated
        again, since other changes may have been delivered meanwhile."""
        token, change = request.token, request.change
        if request.proposed:
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
        return self._propose(now, request)
