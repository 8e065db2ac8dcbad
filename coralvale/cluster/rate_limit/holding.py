"""What one gateway owns of the tenants' quotas, by the newest table of shares that it was told."""

from __future__ import annotations

import math

from attrs import frozen

from coralvale.cluster.rate_limit.quota import cell_at
from coralvale.cluster.rate_limit.shares import CELLS, LEASE, NOBODY, ShareTable, even_table


@frozen
class FleetShare:
    """What a gateway owns of whatever is divided by the table. `share`: of all cells, 0 to 1; `since`: s, since
    when its process has owned it."""

    share: float
    since: float


class Holding:
    """Owns nothing until the leader has answered a claim, and from `LEASE` after the last answer on."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.table = ShareTable()
        self.lease_until = -math.inf  # end of the lease
        self.owned_since = math.inf  # when the newest cells came to be owned here
        self.allowed = False  # buckets begin with their allowance
        self.owner_count = 0  # gateways that own something
        self.usable_count = 0  # cells that are owned here and not on the move
        self.changes = 0  # of the table, counted here: what was worked out from another is void

    @property
    def version(self) -> int:
        return self.table.version

    def apply_answer(
        self, since: float, asked_at: float, table: ShareTable | None, allowed: bool = False
    ) -> bool:
        """The leader's answer to a claim that was sent at `asked_at`; None: the table is the one known here.
        `since`: since when nobody else has used what is owned by it; `allowed`: buckets may begin with their
        allowance. Whether there is another table now."""
        self.lease_until = max(self.lease_until, asked_at + LEASE)
        if table is None or table.version <= self.table.version:
            return False
        before = self._usable()
        self.table = table
        self.owner_count = len(set(table.owners) - {NOBODY})
        self.changes += 1
        usable = self._usable()
        self.usable_count = len(usable)
        if usable - before:
            self.owned_since, self.allowed = since, allowed
        return True

    def _usable(self) -> set[int]:
        return {cell for cell, owner in enumerate(self.table.owners) if owner == self.address} - set(
            self.table.moves
        )

    def own_all(self) -> None:
        """Takes all for owned here since ever: a gateway that is alone, without a log, for laboratories."""
        self.apply_answer(0.0, math.inf, even_table([self.address]))
        self.owned_since = -math.inf

    def release_all(self) -> None:
        """This process ends: it uses nothing from now on."""
        self.lease_until = -math.inf

    def is_valid(self, now: float) -> bool:
        return now < self.lease_until

    def share(self, now: float) -> FleetShare:
        return FleetShare(self.usable_count / CELLS if self.is_valid(now) else 0.0, self.owned_since)

    def owns_any(self) -> bool:
        return self.address in self.table.owners

    def owners(self, tenant: str, cells: int) -> dict[str, list[int]]:
        """By gateway, which ranks it owns of a tenant's quota that has so many cells."""
        found: dict[str, list[int]] = {}
        for rank in range(cells):
            owner = self.table.usable(cell_at(tenant, rank))
            if owner != NOBODY:
                found.setdefault(owner, []).append(rank)
        return found
