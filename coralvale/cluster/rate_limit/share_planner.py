"""Computes the next change of the share table from the gateways' claims, at the leader.

A newly elected leader knows no claims; all that it needs of the past is in the table. The only safety
requirement here is that a cell is reassigned only after its owner has released it (`shares`, rules 2 and 3).
"""

from __future__ import annotations

from heapq import heapify, heapreplace

from attrs import define

from coralvale.cluster.rate_limit.shares import (
    CELLS,
    NO_OWNER,
    RELEASE_AFTER_S,
    CellAssignment,
    ShareChange,
    ShareTable,
    distribute,
)

NEWCOMER_DELAY_S = 1.0  # from the first newcomer's claim until cells are assigned: a fleet starts all at once
DEPARTED_RELEASE_S = 20.0  # from an owner's shutdown until its cells go to others: it may restart
CLAIM_TIMEOUT_S = 30.0  # since its newest claim, after which a gateway is considered dead
MAX_CLAIMS = CELLS  # gateways known at once; further ones own nothing
PRUNE_INTERVAL_S = 1.0  # between removals of claims that are no longer needed


@define
class Claim:
    """A gateway's newest claim. `version`: of the table that it follows; `left`: it is shutting down."""

    first_at: float
    last_at: float
    version: int
    left: bool = False


class SharePlanner:
    """Plans table changes at the leader.

    Call `claim` for each claim of a gateway, and `next_change` whenever no change is in flight.
    """

    def __init__(self, table: ShareTable, now: float) -> None:
        self.table, self.since = table, now
        self.claims: dict[str, Claim] = {}
        self.pruned_at = now

    def claim(self, now: float, address: str, version: int, left: bool = False) -> None:
        """Records that a gateway uses only the cells that this table version gives to it.

        `left`: its process is shutting down and uses none from now on.
        """
        if claim := self.claims.get(address):
            claim.last_at, claim.version, claim.left = now, version, left
            return
        if now - self.pruned_at >= PRUNE_INTERVAL_S:
            self._prune(now)
        if len(self.claims) < MAX_CLAIMS:
            self.claims[address] = Claim(now, now, version, left)

    def _prune(self, now: float) -> None:
        """Drops claims of gateways that are gone and own nothing."""
        self.pruned_at = now
        needed = {*self.table.owners, *(move.to for move in self.table.transfers.values())}
        gone = [name for name in self.claims if name not in needed and not self._is_alive(now, name)]
        for name in gone:
            del self.claims[name]

    def next_change(self, now: float) -> ShareChange | None:
        """The next change, or None if the table needs none as far as is known."""
        by_owner = self.table.cells_by_owner()
        free = set(by_owner.pop(NO_OWNER, []))
        newcomers = self._newcomers(now, by_owner)
        if not by_owner:
            return ShareChange(self.table.version, distribute(newcomers)) if newcomers else None
        given = self._completed_transfers(now)
        free |= self._released(now, by_owner) - {cell for cells in given.values() for cell in cells}
        transfers: dict[str, list[int]] = {}
        if newcomers:
            transfers = self._make_room(now, by_owner, newcomers, free, given)
        self._assign_free(now, by_owner, free, given)
        if not given and not transfers:
            return None
        return ShareChange(self.table.version, _assignments(given), _assignments(transfers))

    def _newcomers(self, now: float, by_owner: dict[str, list[int]]) -> list[str]:
        """Live gateways that own nothing; none until all that start together had time to claim."""
        promised = {move.to for move in self.table.transfers.values()}
        waiting = {
            address: claim
            for address, claim in self.claims.items()
            if address not in by_owner and address not in promised and self._is_alive(now, address)
        }
        if not waiting or now - min(claim.first_at for claim in waiting.values()) < NEWCOMER_DELAY_S:
            return []
        return sorted(waiting)[: max(0, CELLS - len(by_owner) - len(promised))]

    def _completed_transfers(self, now: float) -> dict[str, list[int]]:
        """Cells in transfer that their owner no longer uses, by the new owner."""
        given: dict[str, list[int]] = {}
        for cell, move in self.table.transfers.items():
            owner = self.table.owners[cell]
            claim = self.claims.get(owner)
            if (claim and claim.version >= move.version) or self._is_released(now, owner):
                given.setdefault(move.to, []).append(cell)
        return given

    def _is_alive(self, now: float, address: str) -> bool:
        claim = self.claims.get(address)
        return claim is not None and not claim.left and now - claim.last_at < CLAIM_TIMEOUT_S

    def _is_released(self, now: float, owner: str) -> bool:
        claim = self.claims.get(owner)
        if claim is None:
            return now - self.since > RELEASE_AFTER_S
        return now - claim.last_at > (DEPARTED_RELEASE_S if claim.left else RELEASE_AFTER_S)

    def _released(self, now: float, by_owner: dict[str, list[int]]) -> set[int]:
        return {cell for owner, cells in by_owner.items() if self._is_released(now, owner) for cell in cells}

    def _make_room(
        self,
        now: float,
        by_owner: dict[str, list[int]],
        newcomers: list[str],
        free: set[int],
        given: dict[str, list[int]],
    ) -> dict[str, list[int]]:
        """Gives each newcomer an even share: from free cells, then from the owners with the most cells."""
        fair = max(1, CELLS // (len(by_owner) + len(newcomers)))
        donors = self._donors(now, by_owner)
        transfers: dict[str, list[int]] = {}
        for address in newcomers:
            for _ in range(fair):
                if free:
                    given.setdefault(address, []).append(free.pop())
                elif donors and -donors[0][0] > fair:
                    size, owner, cells = donors[0]
                    transfers.setdefault(address, []).append(cells[-1])
                    heapreplace(donors, (size + 1, owner, cells[:-1]))
        return transfers

    def _donors(self, now: float, by_owner: dict[str, list[int]]) -> list[tuple[int, str, list[int]]]:
        """Heap of live owners, the one with the most cells first, with the cells that are not in transfer."""
        donors = []
        for owner, cells in by_owner.items():
            if self._is_alive(now, owner):
                staying = [cell for cell in cells if cell not in self.table.transfers]
                donors.append((-len(staying), owner, staying))
        heapify(donors)
        return donors

    def _assign_free(
        self, now: float, by_owner: dict[str, list[int]], free: set[int], given: dict[str, list[int]]
    ) -> None:
        """Assigns the remaining free cells to the live owners with the fewest cells."""
        poorest = [(len(cells), owner) for owner, cells in by_owner.items() if self._is_alive(now, owner)]
        heapify(poorest)
        while free and poorest:
            size, owner = poorest[0]
            given.setdefault(owner, []).append(free.pop())
            heapreplace(poorest, (size + 1, owner))


def _assignments(cells: dict[str, list[int]]) -> tuple[CellAssignment, ...]:
    return tuple(CellAssignment(address, tuple(sorted(found))) for address, found in sorted(cells.items()))
