"""Gateways' claims at the leader, without I/O: who owns which part of the tenants' quotas.

A claim is answered with the table behind a read barrier: a leader that was followed by another cannot show a
table that is older than the claim. The table changes by entries of the log, one on its way at a time.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from attrs import frozen

from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.rate_limit.share_planner import SharePlanner
from coralvale.cluster.rate_limit.shares import RENEW, SPEND, ShareChange, ShareTable, pack_change

MOST_WAITING = 4096  # claims
STARTED = 10.0  # s after its start for which a leader takes it that others have started too
ALLOWED_FOR = 4.0  # s for which processes that start get their allowance, once it was spent
TAKEN_WITHIN = 1.0  # s from a claim to when its answer is taken, at most: an older one brings no allowance
RENEWED = 5.0  # s more than these and the rule's window, after which the allowance may be spent again


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
    `age`: s, at least, for which the claimer's address has owned all that it owns now. `allowed`: its process
    may begin with its allowance."""

    token: int
    settled: bool
    table: bytes = b""
    age: float = 0.0
    allowed: bool = False


Result = list[consensus.Action | ShareAnswer]


class ShareDesk:
    """`settled` is to be called with each `Settled` action of the replica, `tick` now and then."""

    def __init__(
        self,
        replica: Replica,
        table: ShareTable,
        next_token: Callable[[], int],
        now: float,
        window: float,
    ) -> None:
        """`window`: of the quotas' rule, s."""
        self.replica, self.table, self.next_token = replica, table, next_token
        self.waiting: list[ShareClaim] = []
        self.asked: list[ShareClaim] = []  # those that the barrier on its way answers
        self.barrier = self.proposal = 0  # tokens, 0 for none
        self.planner: SharePlanner | None = None
        self.spending = False  # a proposal to spend the allowance is on its way
        self.founding: bool | None = None  # there was no table when this replica first led
        self.view = 0  # of the planner
        # What is on disk at the start was in force by then; of what comes later is known when it came.
        self.started = self.since = now
        self.renewed_after = window + ALLOWED_FOR + TAKEN_WITHIN + RENEWED
        self.spent_at = now  # since when, at most, the allowance is known to be spent
        self.allowing = -math.inf  # until when processes that start get theirs, from this leader
        self.allowed: set[str] = set()  # addresses whose processes had it
        self.gained: dict[str, float] = {}  # by address, when it came to own more

    def deliver(self, now: float, body: bytes) -> None:
        """An entry of the log."""
        if change := self.table.deliver(body):
            if change.allowance == SPEND:
                self._spent(now)
            self._note_gains(now, change)

    def _note_gains(self, now: float, change: ShareChange) -> None:
        """Since when owners have owned all that they own; of those that own nothing any more it is forgotten."""
        if not change.owners:
            return
        owners = set(self.table.owners)
        gained = self.gained | {given.address: now for given in change.owners}
        self.gained = {address: since for address, since in gained.items() if address in owners}

    def _spent(self, now: float) -> None:
        """By the leader that had it spent: what it gives, it gives for a while, and to each address once."""
        self.spent_at, self.allowed = now, set()
        self.allowing = now + ALLOWED_FOR if self.spending else -math.inf
        self.spending = False

    def restore(self, now: float, body: bytes) -> None:
        """A snapshot takes the place of what was delivered."""
        self.table.replace(ShareTable.restored(body))
        self.since = self.spent_at = now
        self.gained = {}

    def claim(self, now: float, claim: ShareClaim) -> Result:
        """A gateway's claim; its answer follows, here or by `settled`."""
        if not self._may_answer(now) or len(self.waiting) >= MOST_WAITING:
            return [ShareAnswer(claim.token, settled=False)]
        self.waiting.append(claim)
        return [*self._spend(now), *self._ask(now)]

    def _may_answer(self, now: float) -> bool:
        replica = self.replica
        return replica.leading and replica.caught_up and replica.in_contact(now)

    def _ask(self, now: float) -> Result:
        """One barrier answers all claims that came before it; none while the allowance is being spent."""
        if self.barrier or self.spending or not self.waiting:
            return []
        self.asked, self.waiting = self.waiting, []
        self.barrier = self.next_token()
        return [*self.replica.barrier(now, self.barrier)]

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """The replica has decided on a proposal or a barrier of this desk."""
        if token == self.proposal:
            self.proposal = 0
            self.spending = False
            return self._ask(now)
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
        image = b"" if current else self.table.image()
        return ShareAnswer(claim.token, True, image, age, self._allows(now, claim))

    def _allows(self, now: float, claim: ShareClaim) -> bool:
        """Whether a process may begin with its allowance: one that has just started, and no other at its address
        since it was spent."""
        if claim.version or claim.left or now >= self.allowing or claim.address in self.allowed:
            return False
        self.allowed.add(claim.address)
        return True

    def _current_planner(self, now: float) -> SharePlanner:
        if self.planner is None or self.view != self.replica.view:
            self.planner, self.view = SharePlanner(self.table, now), self.replica.view
        return self.planner

    def tick(self, now: float) -> Result:
        """By the leader: the next change of the table, if one is due."""
        if not self._may_answer(now):
            return []
        if spending := self._spend(now):
            return spending
        return self._propose(now, self._renewal(now) or self._current_planner(now).next_change(now))

    def _propose(self, now: float, change: ShareChange | None) -> Result:
        if self.proposal or change is None:
            return []
        self.proposal = self.next_token()
        return [*self.replica.propose(now, self.proposal, consensus.SHARES, pack_change(change))]

    def _spend(self, now: float) -> Result:
        """Spends the allowance after a leader's own start, when others have started as well: before the first
        claim is answered. Not where the system starts for the first time."""
        table = self.table
        if self.founding is None:
            self.founding = not table.version
        if self.founding or table.spent or self.proposal or now - self.started >= STARTED:
            return []
        self.spending = True
        return self._propose(now, ShareChange(table.version, allowance=SPEND))

    def _renewal(self, now: float) -> ShareChange | None:
        table = self.table
        if table.spent and now - self.spent_at > self.renewed_after:
            return ShareChange(table.version, allowance=RENEW)
        return None
