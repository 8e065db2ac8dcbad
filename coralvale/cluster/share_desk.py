"""Gateways' claims at the leader, without I/O: who owns which part of the tenants' quotas.

A claim is answered with the table behind a read barrier: a leader that was followed by another cannot show a
table that is older than the claim. The table changes by entries of the log, one on its way at a time.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.rate_limit.share_planner import SharePlanner
from coralvale.cluster.rate_limit.shares import ShareTable, pack_change

MOST_WAITING = 4096  # claims


@frozen
class ShareClaim:
    """`version`: of the table that the gateway follows; `left`: its process ends, and uses nothing any more."""

    token: int
    address: str
    version: int
    left: bool = False


@frozen
class ShareAnswer:
    """`settled`: False where this replica cannot answer. `table`: packed; empty where the claim's is current.
    `age`: s, at least, for which the claimer's address has owned all that it owns now."""

    token: int
    settled: bool
    table: bytes = b""
    age: float = 0.0


Result = list[consensus.Action | ShareAnswer]


class ShareDesk:
    """`settled` is to be called with each `Settled` action of the replica, `tick` now and then."""

    def __init__(
        self, replica: Replica, table: ShareTable, next_token: Callable[[], int], now: float
    ) -> None:
        self.replica, self.table, self.next_token = replica, table, next_token
        self.waiting: list[ShareClaim] = []
        self.asked: list[ShareClaim] = []  # those that the barrier on its way answers
        self.barrier = self.proposal = 0  # tokens, 0 for none
        self.planner: SharePlanner | None = None
        self.view = 0  # of the planner
        # What is on disk at the start was in force by then; of what comes later is known when it came.
        self.since = now
        self.gained: dict[str, float] = {}  # by address, when it came to own more

    def deliver(self, now: float, body: bytes) -> None:
        """An entry of the log."""
        if change := self.table.deliver(body):
            self.gained |= {given.address: now for given in change.owners}

    def restore(self, now: float, body: bytes) -> None:
        """A snapshot takes the place of what was delivered."""
        self.table.replace(ShareTable.restored(body))
        self.since, self.gained = now, {}

    def claim(self, now: float, claim: ShareClaim) -> Result:
        """A gateway's claim; its answer follows, here or by `settled`."""
        if not self._may_answer(now) or len(self.waiting) >= MOST_WAITING:
            return [ShareAnswer(claim.token, settled=False)]
        self.waiting.append(claim)
        return self._ask(now)

    def _may_answer(self, now: float) -> bool:
        replica = self.replica
        return replica.leading and replica.settled and replica.in_contact(now)

    def _ask(self, now: float) -> Result:
        """One barrier answers all claims that came before it."""
        if self.barrier or not self.waiting:
            return []
        self.asked, self.waiting = self.waiting, []
        self.barrier = self.next_token()
        return [*self.replica.barrier(now, self.barrier)]

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """The replica has decided on a proposal or a barrier of this desk."""
        if token == self.proposal:
            self.proposal = 0
        if token != self.barrier:
            return []
        self.barrier = 0
        claims, self.asked = self.asked, []
        planner = self._current_planner(now) if accepted else None
        answers: Result = [self._answer(now, claim, planner) for claim in claims]
        return [*answers, *self._ask(now)]

    def _answer(self, now: float, claim: ShareClaim, planner: SharePlanner | None) -> ShareAnswer:
        if planner is None:
            return ShareAnswer(claim.token, settled=False)
        planner.claim(now, claim.address, claim.version, claim.left)
        current = claim.version == self.table.version
        age = now - self.gained.get(claim.address, self.since)
        return ShareAnswer(claim.token, True, b"" if current else self.table.image(), age)

    def _current_planner(self, now: float) -> SharePlanner:
        if self.planner is None or self.view != self.replica.view:
            self.planner, self.view = SharePlanner(self.table, now), self.replica.view
        return self.planner

    def tick(self, now: float) -> Result:
        """By the leader: the next change of the table, if one is due."""
        if not self._may_answer(now):
            return []
        planner = self._current_planner(now)
        if self.proposal or (change := planner.next_change(now)) is None:
            return []
        self.proposal = self.next_token()
        return [*self.replica.propose(now, self.proposal, consensus.SHARES, pack_change(change))]
