"""Which gateway owns which part of the tenants' quotas: a table that the replicated log keeps.

Every quota is divided over the same `CELLS` cells. At any moment a cell is used by one process at most:

1. A cell has one owner, an address; an address has one process at a time.
2. A cell that has an owner goes to another only after the owner has let it go: a `move` is recorded first, the
   owner learns of it and stops using the cell, says so with its next claim, and only then the owner changes.
3. An owner that cannot reach the leader stops using its cells `LEASE` seconds after the last claim that was
   answered; the leader gives them to others no earlier than `RELEASE` seconds after the last claim.

4. Processes that start may begin with an allowance in their buckets once in a window of the rule: the table
   says whether it was spent, and a leader renews it only after it has seen the table say so for long enough.

The table is changed by entries of the log alone, each made for one version of it: what was made for another
has no effect.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import msgspec
from attrs import define, field, frozen

CELLS = 4096  # a power of two, no less than the gateways of the largest fleet
LEASE = (
    3600.0  # s after the last answered claim for which an owner may use its cells: regions part for an hour
)
RELEASE = LEASE + 60.0  # s without a claim after which an owner's cells may go to others
NOBODY = ""
SAME, SPEND, RENEW = 0, 1, 2  # what becomes of the allowance
_INDEX = struct.Struct(f"!{CELLS}H")


class CellAssignment(msgspec.Struct, frozen=True, array_like=True):
    """Cells that are given to an address."""

    address: str
    cells: tuple[int, ...]


class ShareChange(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log. `base`: the version of the table that it was made for."""

    base: int
    owners: tuple[CellAssignment, ...] = ()  # whose cells they are from now on
    moves: tuple[CellAssignment, ...] = ()  # that their owners are to let go, and for whom
    allowance: int = SAME  # what becomes of the allowance for processes that start


class ShareImage(msgspec.Struct, frozen=True, array_like=True):
    """The whole table as bytes: by cell the number of its owner, counted from 1; 0 for nobody."""

    version: int
    addresses: tuple[str, ...]
    owners: bytes
    moves: tuple[tuple[int, str, int], ...] = ()  # cell, to whom, since which version
    spent: bool = False


@frozen
class Move:
    """A cell that its owner is to let go. `version`: of the table that says so first."""

    to: str
    version: int


_encode = msgspec.msgpack.Encoder().encode
_change = msgspec.msgpack.Decoder(ShareChange).decode
_image = msgspec.msgpack.Decoder(ShareImage).decode


def pack_change(change: ShareChange) -> bytes:
    return _encode(change)


@define
class ShareTable:
    """By cell its owner's address."""

    version: int = 0
    owners: list[str] = field(factory=lambda: [NOBODY] * CELLS)
    moves: dict[int, Move] = field(factory=dict)
    spent: bool = False  # the allowance was, and not so long ago that it may be again

    def usable(self, cell: int) -> str:
        """Who may use a cell: its owner, unless that is to let it go."""
        return NOBODY if cell in self.moves else self.owners[cell]

    def cells_by_owner(self) -> dict[str, list[int]]:
        found: dict[str, list[int]] = {}
        for cell, owner in enumerate(self.owners):
            found.setdefault(owner, []).append(cell)
        return found

    def deliver(self, body: bytes) -> ShareChange | None:
        """Applies an entry of the log; None where it was made for another version and has no effect."""
        change = _change(body)
        if change.base != self.version:
            return None
        self.version += 1
        for given in change.owners:
            for cell in given.cells:
                self.owners[cell] = given.address
                self.moves.pop(cell, None)
        for given in change.moves:
            for cell in given.cells:
                self.moves[cell] = Move(given.address, self.version)
        if change.allowance != SAME:
            self.spent = change.allowance == SPEND
        return change

    def replace(self, table: ShareTable) -> None:
        """Takes another table's place, for those that hold this one."""
        self.version, self.owners = table.version, table.owners
        self.moves, self.spent = table.moves, table.spent

    def image(self) -> bytes:
        addresses = sorted({owner for owner in self.owners if owner != NOBODY})
        number = {address: at for at, address in enumerate(addresses, 1)} | {NOBODY: 0}
        owners = _INDEX.pack(*(number[owner] for owner in self.owners))
        moves = tuple((cell, move.to, move.version) for cell, move in sorted(self.moves.items()))
        return _encode(ShareImage(self.version, tuple(addresses), owners, moves, self.spent))

    @staticmethod
    def restored(body: bytes) -> ShareTable:
        """What `image` gave. Raises ValueError for what is no such table."""
        if not body:
            return ShareTable()
        try:
            image = _image(body)
            names = (NOBODY, *image.addresses)
            owners = [names[number] for number in _INDEX.unpack(image.owners)]
        except (msgspec.MsgspecError, struct.error, IndexError) as error:
            raise ValueError(f"no table of shares: {error}") from None
        moves = {cell: Move(to, version) for cell, to, version in image.moves}
        return ShareTable(image.version, owners, moves, image.spent)


def even_table(addresses: Iterable[str]) -> ShareTable:
    """A first table, all cells dealt evenly."""
    table = ShareTable()
    table.deliver(pack_change(ShareChange(0, deal(sorted(addresses)))))
    return table


def deal(addresses: list[str]) -> tuple[CellAssignment, ...]:
    """All cells over the addresses, so that every evenly spaced choice of cells is spread over them as well:
    by multiples of the golden ratio (D. Knuth, TAOCP 3, 6.4), which no power of two is in step with."""
    found: dict[str, list[int]] = {address: [] for address in addresses}
    for cell in range(CELLS):
        at = (cell * 0x9E3779B1 & 0xFFFFFFFF) * len(addresses) >> 32
        found[addresses[at]].append(cell)
    return tuple(CellAssignment(address, tuple(cells)) for address, cells in found.items() if cells)
