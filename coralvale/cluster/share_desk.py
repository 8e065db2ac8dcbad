"""Handles the gateways' claims of quota shares at the leader, without I/O.

A claim is answered with the share table behind a read barrier, so a leader that was replaced cannot answer
with a table that is older than the claim. Only log entries change the table, one in flight at a time.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from attrs import frozen

from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.rate_limit.share_planner import SharePlanner
from coralvale.cluster.rate_limit.shares import (
    ALLOWANCE_RENEWED,
    ALLOWANCE_SPENT,
    ShareChange,
    ShareTable,
    pack_change,
)

MAX_WAITING_CLAIMS = 4096
STARTUP_S = 10.0  # for this time after its start, a leader assumes that other processes have started too
ALLOWANCE_GRANT_S = 4.0  # after the allowance was spent, processes that start in this time receive it
MAX_ANSWER_AGE_S = 1.0  # from a claim to its answer; a later answer grants no allowance
# The allowance is renewed after `ALLOWANCE_GRANT_S`, `MAX_ANSWER_AGE_S`, the quota window and this margin.
RENEWAL_MARGIN_S = 5.0


@frozen
class ShareClaim:
    """A gateway's claim. `version`: of the table that it follows; `left`: it shuts down and uses no cell."""

    token: int
    address: str
    version: int
    left: bool = False


@frozen
class ShareAnswer:
    """Answer to a claim.

    `settled`: whether the claim was decided; False if this replica cannot answer: the other fields are empty
    then. `table`: snapshot; empty if the claim's version is current. `age`: seconds, at least, for which the
    claimer's address has owned all that it owns now. `allowed`: its process may start with its allowance.
    """

    token: int
    settled: bool
    table: bytes = b""
    age: float = 0.0
    allowed: bool = False


Result = list[consensus.Action | ShareAnswer]


class ShareClaimHandler:
    """Answers share claims and proposes table changes.

    Call the method `settled` with each `Settled` action of the replica (the end of a proposal or a barrier;
    not that of a claim), and `tick` periodically.
    """

    def __init__(
        self,
        replica: Replica,
        table: ShareTable,
        next_token: Callable[[], int],
        now: float,
        window: float,
    ) -> None:
        """`window`: the quota window in s. `next_token`: returns a new token for a proposal or a barrier."""
        self.replica, self.table, self.next_token = replica, table, next_token
        self.waiting_claims: list[ShareClaim] = []
        self.claims_in_flight: list[ShareClaim] = []  # claims that the barrier in flight will answer
        self.barrier = self.proposal = 0  # tokens of those in flight, 0 for none
        self.planner: SharePlanner | None = None
        self.allowance_proposed = False  # a proposal to spend the allowance is in flight
        self.first_start: bool | None = None  # there was no table when this replica first led; None before
        self.planner_view = 0  # of the replica when the planner was made
        # Cells in the log or snapshot on disk are taken to be owned since the start at the latest; for later
        # entries the time of delivery is recorded in `gained_at`.
        self.started_at = self.restored_at = now
        self.renewal_delay = window + ALLOWANCE_GRANT_S + MAX_ANSWER_AGE_S + RENEWAL_MARGIN_S
        self.spent_at = now  # latest time at which the allowance was spent
        self.allowance_until = -math.inf  # until then processes that start get the allowance
        self.allowance_addresses: set[str] = set()  # addresses that have received it
        self.gained_at: dict[str, float] = {}  # by address, when it last gained cells

    def deliver(self, now: float, body: bytes) -> None:
        """Applies a log entry."""
        if change := self.table.deliver(body):
            if change.allowance == ALLOWANCE_SPENT:
                self._record_spent(now)
            self._record_gains(now, change)

    def _record_gains(self, now: float, change: ShareChange) -> None:
        """Records when owners gained cells; drops addresses that own nothing any more."""
        if not change.owners:
            return
        owners = set(self.table.owners)
        gained = self.gained_at | {given.address: now for given in change.owners}
        self.gained_at = {address: since for address, since in gained.items() if address in owners}

    def _record_spent(self, now: float) -> None:
        """Records that the allowance was spent; the leader that proposed it grants it for a limited time."""
        self.spent_at, self.allowance_addresses = now, set()
        self.allowance_until = now + ALLOWANCE_GRANT_S if self.allowance_proposed else -math.inf
        self.allowance_proposed = False

    def restore(self, now: float, body: bytes) -> None:
        """Replaces the delivered state by a snapshot."""
        self.table.replace(ShareTable.restored(body))
        self.restored_at = self.spent_at = now
        self.gained_at = {}

    def claim(self, now: float, claim: ShareClaim) -> Result:
        """Handles a gateway's claim; its answer is returned here or by a later call of `settled`."""
        if not self._may_answer(now) or len(self.waiting_claims) >= MAX_WAITING_CLAIMS:
            return [ShareAnswer(claim.token, settled=False)]
        self.waiting_claims.append(claim)
        return [*self._propose_spend(now), *self._start_barrier(now)]

    def _may_answer(self, now: float) -> bool:
        replica = self.replica
        return replica.leading and replica.caught_up and replica.in_contact(now)

    def _start_barrier(self, now: float) -> Result:
        """Starts one barrier for all waiting claims, but none while the allowance is being spent."""
        if self.barrier or self.allowance_proposed or not self.waiting_claims:
            return []
        self.claims_in_flight, self.waiting_claims = self.waiting_claims, []
        self.barrier = self.next_token()
        return [*self.replica.barrier(now, self.barrier)]

    def settled(self, now: float, token: int, accepted: bool) -> Result:
        """Handles the end of a proposal or a barrier; `token` and `accepted` as in `Settled`.

        The end of the barrier in flight answers the claims that it was started for.
        """
        if token == self.proposal:
            self.proposal = 0
            self.allowance_proposed = False
            return self._start_barrier(now)
        if token != self.barrier:
            return []
        self.barrier = 0
        claims, self.claims_in_flight = self.claims_in_flight, []
        planner = self._current_planner(now) if accepted else None
        answers: Result = [self._answer(now, claim, planner) for claim in claims]
        return [*answers, *self._start_barrier(now)]

    def _answer(self, now: float, claim: ShareClaim, planner: SharePlanner | None) -> ShareAnswer:
        if planner is None:
            return ShareAnswer(claim.token, settled=False)
        planner.claim(now, claim.address, claim.version, claim.left)
        current = claim.version == self.table.version
        age = now - self.gained_at.get(claim.address, self.restored_at)
        image = b"" if current else self.table.image()
        return ShareAnswer(claim.token, True, image, age, self._may_use_allowance(now, claim))

    def _may_use_allowance(self, now: float, claim: ShareClaim) -> bool:
        """Whether a process may use its allowance: only a new one, once per address since it was spent."""
        if (
            claim.version
            or claim.left
            or now >= self.allowance_until
            or claim.address in self.allowance_addresses
        ):
            return False
        self.allowance_addresses.add(claim.address)
        return True

    def _current_planner(self, now: float) -> SharePlanner:
        if self.planner is None or self.planner_view != self.replica.view:
            self.planner, self.planner_view = SharePlanner(self.table, now), self.replica.view
        return self.planner

    def tick(self, now: float) -> Result:
        """Proposes the next change of the table if one is due; at the leader."""
        if not self._may_answer(now):
            return []
        if spending := self._propose_spend(now):
            return spending
        return self._propose(now, self._renewal(now) or self._current_planner(now).next_change(now))

    def _propose(self, now: float, change: ShareChange | None) -> Result:
        if self.proposal or change is None:
            return []
        self.proposal = self.next_token()
        return [*self.replica.propose(now, self.proposal, consensus.SHARES, pack_change(change))]

    def _propose_spend(self, now: float) -> Result:
        """Proposes to spend the allowance, before the first claim is answered.

        Only for `STARTUP_S` after the leader's own start, when others have started as well, and not when the
        system starts for the first time.
        """
        table = self.table
        if self.first_start is None:
            self.first_start = not table.version
        if self.first_start or table.spent or self.proposal or now - self.started_at >= STARTUP_S:
            return []
        self.allowance_proposed = True
        return self._propose(now, ShareChange(table.version, allowance=ALLOWANCE_SPENT))

    def _renewal(self, now: float) -> ShareChange | None:
        table = self.table
        if table.spent and now - self.spent_at > self.renewal_delay:
            return ShareChange(table.version, allowance=ALLOWANCE_RENEWED)
        return None
