"""The share table: which gateway owns which share of the tenants' quotas. It is kept in the replicated log.

Every quota is divided over the same `CELLS` cells. At any time at most one process uses a cell:

1. A cell has one owner, an address; an address has one process at a time.
2. A cell with an owner is reassigned only after the owner has released it: a `Transfer` is recorded first,
   the owner learns of it and stops using the cell, confirms that with its next claim, and only then does the
   owner change.
3. An owner that cannot reach the leader stops using its cells `LEASE_S` after the last answered claim; the
   leader gives them to others no earlier than `RELEASE_AFTER_S` after the last claim.

4. Processes that start may begin with an allowance in their buckets once per window of the rule: the table
   records whether it was spent, and a leader renews it only after the table has said so for long enough.

Only log entries change the table. Each is made for one version of it and has no effect on another version.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

import msgspec
from attrs import define, field, frozen

CELLS = 4096  # a power of two, no less than the gateways of the largest fleet
LEASE_S = 3600.0  # since the last answered claim; long, because regions may be partitioned for an hour
RELEASE_AFTER_S = LEASE_S + 60.0  # without a claim, after which an owner's cells may go to others
NO_OWNER = ""
ALLOWANCE_UNCHANGED, ALLOWANCE_SPENT, ALLOWANCE_RENEWED = 0, 1, 2  # changes of the allowance
_INDEX = struct.Struct(f"!{CELLS}H")


class CellAssignment(msgspec.Struct, frozen=True, array_like=True):
    """Cells assigned to an address."""

    address: str
    cells: tuple[int, ...]


class ShareChange(msgspec.Struct, frozen=True, array_like=True):
    """A log entry that changes the table. `base`: the version of the table that it was made for."""

    base: int
    owners: tuple[CellAssignment, ...] = ()  # new owners
    transfers: tuple[CellAssignment, ...] = ()  # cells that their owners have to release, by the new owner
    allowance: int = ALLOWANCE_UNCHANGED  # change of the allowance for processes that start


class ShareImage(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot of the table. `owners`: for each cell the number of its owner, from 1; 0 if it has none."""

    version: int
    addresses: tuple[str, ...]
    owners: bytes
    transfers: tuple[tuple[int, str, int], ...] = ()  # cell, new owner, version that recorded it
    spent: bool = False


@frozen
class Transfer:
    """A cell that its owner has to release to `to`. `version`: of the table that recorded this first."""

    to: str
    version: int


_encode = msgspec.msgpack.Encoder().encode
_change = msgspec.msgpack.Decoder(ShareChange).decode
_image = msgspec.msgpack.Decoder(ShareImage).decode


def pack_change(change: ShareChange) -> bytes:
    return _encode(change)


@define
class ShareTable:
    """The share table: the address of each cell's owner, and the transfers in progress."""

    version: int = 0
    owners: list[str] = field(factory=lambda: [NO_OWNER] * CELLS)
    transfers: dict[int, Transfer] = field(factory=dict)
    spent: bool = False  # the allowance was spent and may not be spent again yet

    def usable_by(self, cell: int) -> str:
        """The address that may use a cell: its owner, unless that has to release it."""
        return NO_OWNER if cell in self.transfers else self.owners[cell]

    def cells_by_owner(self) -> dict[str, list[int]]:
        """Cells of each owner, by address; `NO_OWNER` for those without one."""
        found: dict[str, list[int]] = {}
        for cell, owner in enumerate(self.owners):
            found.setdefault(owner, []).append(cell)
        return found

    def deliver(self, body: bytes) -> ShareChange | None:
        """Applies a log entry; None if it was made for another version and has no effect."""
        change = _change(body)
        if change.base != self.version:
            return None
        self.version += 1
        for given in change.owners:
            for cell in given.cells:
                self.owners[cell] = given.address
                self.transfers.pop(cell, None)
        for given in change.transfers:
            for cell in given.cells:
                self.transfers[cell] = Transfer(given.address, self.version)
        if change.allowance != ALLOWANCE_UNCHANGED:
            self.spent = change.allowance == ALLOWANCE_SPENT
        return change

    def replace(self, table: ShareTable) -> None:
        """Takes over the content of another table, in place, for holders of this object."""
        self.version, self.owners = table.version, table.owners
        self.transfers, self.spent = table.transfers, table.spent

    def image(self) -> bytes:
        """Snapshot of the table."""
        addresses = sorted({owner for owner in self.owners if owner != NO_OWNER})
        number = {address: at for at, address in enumerate(addresses, 1)} | {NO_OWNER: 0}
        owners = _INDEX.pack(*(number[owner] for owner in self.owners))
        transfers = tuple((cell, move.to, move.version) for cell, move in sorted(self.transfers.items()))
        return _encode(ShareImage(self.version, tuple(addresses), owners, transfers, self.spent))

    @staticmethod
    def restored(body: bytes) -> ShareTable:
        """The table of a snapshot made by `image`. Raises ValueError if the bytes are no such snapshot."""
        if not body:
            return ShareTable()
        try:
            image = _image(body)
            names = (NO_OWNER, *image.addresses)
            owners = [names[number] for number in _INDEX.unpack(image.owners)]
        except (msgspec.MsgspecError, struct.error, IndexError) as error:
            raise ValueError(f"no table of shares: {error}") from None
        transfers = {cell: Transfer(to, version) for cell, to, version in image.transfers}
        return ShareTable(image.version, owners, transfers, image.spent)


def even_table(addresses: Iterable[str]) -> ShareTable:
    """An initial table with all cells distributed evenly."""
    table = ShareTable()
    table.deliver(pack_change(ShareChange(0, distribute(sorted(addresses)))))
    return table


def distribute(addresses: list[str]) -> tuple[CellAssignment, ...]:
    """Distributes all cells over the addresses, so that evenly spaced subsets of cells are spread as well.

    Uses multiples of the golden ratio (D. Knuth, TAOCP 3, 6.4), which no power of two is in step with.
    """
    found: dict[str, list[int]] = {address: [] for address in addresses}
    for cell in range(CELLS):
        at = (cell * 0x9E3779B1 & 0xFFFFFFFF) * len(addresses) >> 32
        found[addresses[at]].append(cell)
    return tuple(CellAssignment(address, tuple(cells)) for address, cells in found.items() if cells)
