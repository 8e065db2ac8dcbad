"""What one gateway owns of the tenants' quotas, according to the newest share table that it received."""

from __future__ import annotations

import math

from attrs import frozen

from coralvale.cluster.rate_limit.quota import cell_at
from coralvale.cluster.rate_limit.shares import CELLS, LEASE_S, NO_OWNER, ShareTable, even_table


@frozen
class FleetShare:
    """A gateway's share of anything that is divided by the share table.

    `share`: fraction of all cells, 0 to 1; `since`: time (s) since when its process has owned it.
    """

    share: float
    since: float


class Holding:
    """The cells owned here: none before the leader answers a claim, nor after the lease has expired.

    The lease ends `LEASE_S` after the last answered claim was sent.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.table = ShareTable()
        self.lease_until = -math.inf  # end of the lease, s
        self.owned_since = math.inf  # when the newest cells were acquired, s
        self.with_allowance = False  # new buckets start with their allowance
        self.owner_count = 0  # gateways that own any cell
        self.usable_count = 0  # cells owned here that are not being transferred
        self.table_changes = 0  # counted here; values computed at another count are outdated

    @property
    def version(self) -> int:
        """Version of the table; 0 before the first one."""
        return self.table.version

    def apply_answer(
        self, since: float, asked_at: float, table: ShareTable | None, with_allowance: bool = False
    ) -> bool:
        """Applies the leader's answer to a claim sent at `asked_at` (s). Returns whether the table changed.

        `table`: None if the table known here is current. `since`: time (s) since when nobody else has used
        the cells that it assigns to this gateway. `with_allowance`: buckets may start with their allowance.
        """
        self.lease_until = max(self.lease_until, asked_at + LEASE_S)
        if table is None or table.version <= self.table.version:
            return False
        before = self._usable()
        self.table = table
        self.owner_count = len(set(table.owners) - {NO_OWNER})
        self.table_changes += 1
        usable = self._usable()
        self.usable_count = len(usable)
        if usable - before:
            self.owned_since, self.with_allowance = since, with_allowance
        return True

    def _usable(self) -> set[int]:
        return {cell for cell, owner in enumerate(self.table.owners) if owner == self.address} - set(
            self.table.transfers
        )

    def own_all(self) -> None:
        """Assigns all cells to this gateway, without a log or a lease; for simulations and tests."""
        self.apply_answer(0.0, math.inf, even_table([self.address]))
        self.owned_since = -math.inf

    def release_all(self) -> None:
        """Stops using all cells, because this process is shutting down."""
        self.lease_until = -math.inf

    def is_valid(self, now: float) -> bool:
        """Whether the lease has not expired."""
        return now < self.lease_until

    def share(self, now: float) -> FleetShare:
        """The usable share; 0 if the lease has expired."""
        return FleetShare(self.usable_count / CELLS if self.is_valid(now) else 0.0, self.owned_since)

    def owns_any(self) -> bool:
        """Whether the table assigns any cell to this gateway, whatever the lease."""
        return self.address in self.table.owners

    def owners(self, tenant: str, cells: int) -> dict[str, list[int]]:
        """The ranks that each gateway owns of a tenant's quota with `cells` cells, by address."""
        found: dict[str, list[int]] = {}
        for rank in range(cells):
            owner = self.table.usable_by(cell_at(tenant, rank))
            if owner != NO_OWNER:
                found.setdefault(owner, []).append(rank)
        return found
