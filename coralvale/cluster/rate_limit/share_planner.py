"""What the leader makes of the gateways' claims: the next change of the table of shares.

A leader that has just been elected knows no claims; what it needs of the past is in the table. Nothing here is
needed for safety but that a cell is given on only when its owner has let it go (`ShareTable`, 2 and 3).
"""

from __future__ import annotations

from heapq import heapify, heapreplace

from attrs import define

from coralvale.cluster.rate_limit.shares import (
    CELLS,
    NOBODY,
    RELEASE,
    CellAssignment,
    ShareChange,
    ShareTable,
    deal,
)

GATHER = 1.0  # s from the first claim of a newcomer until newcomers get cells: a fleet starts all at once
LEFT = 20.0  # s after an owner has said that it ends, until its cells go to others: it may start again
ALIVE = 30.0  # s since its newest claim for which a gateway is taken to be there
MOST_CLAIMS = CELLS  # gateways that are known at once; further ones own nothing
FORGET_EVERY = 1.0  # s between looks at which claims are of no use any more


@define
class Claim:
    """What a gateway said last: when, which version of the table it follows, whether its process ends."""

    first: float
    at: float
    version: int
    left: bool = False


class SharePlanner:
    """At the leader. `claim` for each gateway that asks, `next_change` whenever the table stands still."""

    def __init__(self, table: ShareTable, now: float) -> None:
        self.table, self.since = table, now
        self.claims: dict[str, Claim] = {}
        self.forgotten_at = now

    def claim(self, now: float, address: str, version: int, left: bool = False) -> None:
        """A gateway uses the cells that the table of this version gives to it, and no others. `left`: it ends,
        and uses none from now on."""
        if claim := self.claims.get(address):
            claim.at, claim.version, claim.left = now, version, left
            return
        if now - self.forgotten_at >= FORGET_EVERY:
            self._forget(now)
        if len(self.claims) < MOST_CLAIMS:
            self.claims[address] = Claim(now, now, version, left)

    def _forget(self, now: float) -> None:
        """Of gateways that are gone and own nothing: what they said last is of no use any more."""
        self.forgotten_at = now
        needed = {*self.table.owners, *(move.to for move in self.table.moves.values())}
        gone = [name for name in self.claims if name not in needed and not self._is_there(now, name)]
        for name in gone:
            del self.claims[name]

    def next_change(self, now: float) -> ShareChange | None:
        """None: the table is as it should be, as far as is known."""
        by_owner = self.table.cells_by_owner()
        free = set(by_owner.pop(NOBODY, []))
        newcomers = self._newcomers(now, by_owner)
        if not by_owner:
            return ShareChange(self.table.version, deal(newcomers)) if newcomers else None
        given = self._let_go(now)
        free |= self._released(now, by_owner) - {cell for cells in given.values() for cell in cells}
        moves: dict[str, list[int]] = {}
        if newcomers:
            moves = self._make_room(now, by_owner, newcomers, free, given)
        self._give_rest(now, by_owner, free, given)
        if not given and not moves:
            return None
        return ShareChange(self.table.version, _packed(given), _packed(moves))

    def _newcomers(self, now: float, by_owner: dict[str, list[int]]) -> list[str]:
        """Gateways that own nothing; none until all that start together had time to claim."""
        promised = {move.to for move in self.table.moves.values()}
        waiting = {
            address: claim
            for address, claim in self.claims.items()
            if address not in by_owner and address not in promised and self._is_there(now, address)
        }
        if not waiting or now - min(claim.first for claim in waiting.values()) < GATHER:
            return []
        return sorted(waiting)[: max(0, CELLS - len(by_owner) - len(promised))]

    def _let_go(self, now: float) -> dict[str, list[int]]:
        """Cells on the move whose owner does not use them any more, by who gets them."""
        given: dict[str, list[int]] = {}
        for cell, move in self.table.moves.items():
            owner = self.table.owners[cell]
            claim = self.claims.get(owner)
            if (claim and claim.version >= move.version) or self._is_released(now, owner):
                given.setdefault(move.to, []).append(cell)
        return given

    def _is_there(self, now: float, address: str) -> bool:
        claim = self.claims.get(address)
        return claim is not None and not claim.left and now - claim.at < ALIVE

    def _is_released(self, now: float, owner: str) -> bool:
        claim = self.claims.get(owner)
        if claim is None:
            return now - self.since > RELEASE
        return now - claim.at > (LEFT if claim.left else RELEASE)

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
        """Takes an even part for each newcomer: from what is free, then from those that have the most."""
        fair = max(1, CELLS // (len(by_owner) + len(newcomers)))
        donors = self._donors(now, by_owner)
        moves: dict[str, list[int]] = {}
        for address in newcomers:
            for _ in range(fair):
                if free:
                    given.setdefault(address, []).append(free.pop())
                elif donors and -donors[0][0] > fair:
                    size, owner, cells = donors[0]
                    moves.setdefault(address, []).append(cells[-1])
                    heapreplace(donors, (size + 1, owner, cells[:-1]))
        return moves

    def _donors(self, now: float, by_owner: dict[str, list[int]]) -> list[tuple[int, str, list[int]]]:
        """Owners that are there, the richest first, with cells that are not on the move."""
        donors = []
        for owner, cells in by_owner.items():
            if self._is_there(now, owner):
                staying = [cell for cell in cells if cell not in self.table.moves]
                donors.append((-len(staying), owner, staying))
        heapify(donors)
        return donors

    def _give_rest(
        self, now: float, by_owner: dict[str, list[int]], free: set[int], given: dict[str, list[int]]
    ) -> None:
        """What is still free goes to the poorest owners that are there."""
        poorest = [(len(cells), owner) for owner, cells in by_owner.items() if self._is_there(now, owner)]
        heapify(poorest)
        while free and poorest:
            size, owner = poorest[0]
            given.setdefault(owner, []).append(free.pop())
            heapreplace(poorest, (size + 1, owner))


def _packed(cells: dict[str, list[int]]) -> tuple[CellAssignment, ...]:
    return tuple(CellAssignment(address, tuple(sorted(found))) for address, found in sorted(cells.items()))
