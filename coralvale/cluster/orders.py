"""Processes operators' change requests ("orders") at the leader, without I/O.

Every answer that depends on the current configuration is confirmed by a majority first: an applied change by
its commit; a refusal, a retry of an applied change, and a read by a read barrier. Where a majority cannot be
reached the outcome stays open (503), and the operator sends the same request again.

A change is identified by its bytes and the version that it builds on; `ChangeHistory` remembers those that
were applied. Requests are settled one at a time, each against the result of the ones before it.

A check may take long, so it is an action for the caller (`CheckChange`), which carries it out beside the event
loop and passes its result to `checked`. A request whose caller has given up is not begun.

The time of a check grows with the body, so large requests are checked beside the others, one at a time, and join
the queue once their check is done. A small request that comes meanwhile on the same version may be applied first;
the large one has then lost the race.
"""

from __future__ import annotations

from collections import deque
from itertools import chain

from attrs import define, frozen

from coralvale.cluster.configuration.history import (
    LARGE_BODY_BYTES,
    AlreadyApplied,
    BaseTooOld,
    BuiltChange,
    Change,
    ChangeHistory,
    check_change,
    pack,
)
from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.errors import ANSWERS, Kind, Problem

MAX_WAITING_REQUESTS = 64  # operators have eight in flight
MAX_WAITING_BYTES = 128 * 1024 * 1024  # of their bodies: two of the largest


@frozen
class StepTimes:
    """How long a request took in each step, in s."""

    waiting: float  # for the requests before it
    check: float
    agreement: float  # until a majority confirmed the outcome

    def __str__(self) -> str:
        return (
            f"waited {self.waiting * 1000:.0f} ms, check {self.check * 1000:.0f} ms, "
            f"agreement {self.agreement * 1000:.0f} ms"
        )


@frozen
class ChangeAnswer:
    """The answer to an operator. `problem` is set where nothing was done, or where the outcome is unknown."""

    token: int
    body: bytes = b"{}"
    problem: Problem | None = None
    change: Change | None = None  # the change, where this request applied it
    times: StepTimes | None = None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return ANSWERS[self.problem.kind].status if self.problem else 200


@frozen
class CheckChange:
    """Asks the caller to check a change, and to pass the result to `ChangeRequestHandler.checked`."""

    token: int
    change: Change
    before: Configuration  # that the change builds on

    def run(self) -> BuiltChange | Problem:
        """The result. Uses nothing that changes, so it may run in a thread; raises nothing."""
        return check_change(self.change, self.before)


@define
class ChangeRequest:
    """A change request. Its check, its read barrier or its proposal is pending while it is current.

    `found`: the result of its check. Times are in s of the monotonic clock.
    """

    token: int
    change: Change
    received_at: float = 0.0
    begun_at: float = 0.0
    checked_at: float = 0.0
    checking: bool = False
    found: BuiltChange | Problem | None = None
    proposed: bool = False

    @property
    def is_large(self) -> bool:
        """Whether it is checked beside the others."""
        return len(self.change.body) > LARGE_BODY_BYTES

    def times(self, now: float) -> StepTimes:
        """How long each step took; `now`: the request is answered."""
        checked_at = self.checked_at or self.begun_at
        return StepTimes(self.begun_at - self.received_at, checked_at - self.begun_at, now - checked_at)


Result = list[consensus.Action | ChangeAnswer | CheckChange]
NOT_LEADING = "no longer the leader, or not yet"


def unsettled(token: int, reason: str) -> ChangeAnswer:
    """The answer to a request whose outcome is open."""
    return ChangeAnswer(token, problem=Problem(Kind.NO_MAJORITY, reason))


class ChangeRequestHandler:
    """Answers operators' change requests and reads of the configuration at the leader.

    The caller passes each `Settled` action of the replica to `settled`, and the result of each `CheckChange` to
    `checked`. Times are in s of the monotonic clock.
    """

    def __init__(self, replica: Replica, history: ChangeHistory) -> None:
        self.replica, self.history = replica, history
        self.waiting: deque[ChangeRequest] = deque()
        self.current: ChangeRequest | None = None
        self.large_waiting: deque[ChangeRequest] = deque()  # for their check
        self.large_checking: ChangeRequest | None = None
        self.reads: set[int] = set()

    def read(self, now: float, token: int) -> Result:
        """Reads the current configuration, behind a read barrier."""
        if not self.replica.in_contact(now):
            return [unsettled(token, "no majority answers")]
        self.reads.add(token)
        return [*self.replica.barrier(now, token)]

    def submit(self, now: float, token: int, change: Change) -> Result:
        """Queues an operator's change."""
        if not self._has_room_for(change):
            return [unsettled(token, "too many orders are waiting")]
        request = ChangeRequest(token, change, now)
        (self.large_waiting if request.is_large else self.waiting).append(request)
        return self._start(now)

    def withdraw(self, token: int) -> None:
        """Forgets a request that waits, since its caller has given up; one that was begun is carried on."""
        self.waiting = deque(r for r in self.waiting if r.token != token or r.found is not None)
        self.large_waiting = deque(r for r in self.large_waiting if r.token != token)

    def checked(self, now: float, token: int, found: BuiltChange | Problem) -> Result:
        """Handles the result of a check; those of requests that are not being checked are ignored."""
        request = next(
            (r for r in (self.current, self.large_checking) if r and r.checking and r.token == token), None
        )
        if request is None:
            return []
        request.checking, request.checked_at, request.found = False, now, found
        if isinstance(found, Problem):
            self.history.record_check(request.change, found)
        if request is self.large_checking:
            self.large_checking = None
            self.waiting.appendleft(request)
            return self._start(now)
        if not self._may_answer(now):
            return self._finish(now, unsettled(token, NOT_LEADING))
        return self._continue(now, request)

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
        if not accepted:
            return self._finish(now, unsettled(token, "no majority answers"))
        return self._resolve(now, request)

    def _has_room_for(self, change: Change) -> bool:
        waiting = [len(request.change.body) for request in chain(self.waiting, self.large_waiting)]
        return len(waiting) < MAX_WAITING_REQUESTS and sum(waiting) + len(change.body) <= MAX_WAITING_BYTES

    def _finish(self, now: float, answer: ChangeAnswer) -> Result:
        """Answers the current request, and starts the next one."""
        self.current = None
        return [answer, *self._start(now)]

    def _may_answer(self, now: float) -> bool:
        replica = self.replica
        return replica.leading and replica.caught_up and replica.in_contact(now)

    def _start(self, now: float) -> Result:
        """Starts what can be started: the check of a large request, and the next request."""
        result: Result = []
        while self.large_checking is None and self.large_waiting:
            result += self._begin_large(now, self.large_waiting.popleft())
        while self.current is None and self.waiting:
            result += self._begin(now, self.waiting.popleft())
        return result

    def _begin_large(self, now: float, request: ChangeRequest) -> Result:
        if not self._may_answer(now):
            return [unsettled(request.token, NOT_LEADING)]
        if self.history.known_outcome(request.change) is not None:
            self.waiting.append(request)  # it needs no check
            return []
        self.large_checking, request.begun_at = request, now
        return self._check(request)

    def _begin(self, now: float, request: ChangeRequest) -> Result:
        if not self._may_answer(now):
            return [unsettled(request.token, NOT_LEADING)]
        self.current, request.begun_at = request, request.begun_at or now
        return self._continue(now, request)

    def _check(self, request: ChangeRequest) -> Result:
        request.checking = True
        return [CheckChange(request.token, request.change, self.history.configuration)]

    def _continue(self, now: float, request: ChangeRequest) -> Result:
        """The next step of the current request: its check, or what follows from the result of its check."""
        found, token = request.found, request.token
        if self.history.known_outcome(request.change) is not None:
            return [*self.replica.barrier(now, token)]
        if found is None and request.is_large:
            self.current = None
            self.large_waiting.append(request)
            return self._start(now)
        if found is None:
            return self._check(request)
        if isinstance(found, BuiltChange):
            return self._propose(now, request, found)
        if found.kind is Kind.CHECK_FAILED:
            return self._finish(now, ChangeAnswer(token, problem=found, times=request.times(now)))
        return [*self.replica.barrier(now, token)]

    def _propose(self, now: float, request: ChangeRequest, found: BuiltChange) -> Result:
        self.history.record_check(request.change, found)
        self.current, request.proposed = request, True
        return [*self.replica.propose(now, request.token, consensus.CHANGE, pack(request.change))]

    def _resolve(self, now: float, request: ChangeRequest) -> Result:
        """Answers a request that a majority confirmed. The history is current now; its outcome is looked up
        again, since other changes may have been delivered meanwhile."""
        token, change, times = request.token, request.change, request.times(now)
        if request.proposed:
            if self.history.was_applied(change):
                return self._finish(now, ChangeAnswer(token, change=change, times=times))
            return self._finish(now, unsettled(token, "another came first"))
        outcome = self.history.known_outcome(change) or request.found
        if isinstance(outcome, AlreadyApplied):
            return self._finish(now, ChangeAnswer(token))
        if isinstance(outcome, BaseTooOld):
            reason = "it builds on a version so old that nobody knows whether it was taken"
            return self._finish(now, unsettled(token, reason))
        if isinstance(outcome, Problem):
            return self._finish(now, ChangeAnswer(token, problem=outcome, times=times))
        return self._continue(now, request)
