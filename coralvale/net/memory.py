"""The account of the memory that clients make a process hold: one for all its servers.

What is held is charged, not what came over the wire: a header line or a chunk of a few bytes may take fifty times
its size as objects. Each server has a share of the account. While the account is full, the connection that holds
most of what may be given up is shed: one of a share with a lower rank, else one of the same share. The one that
asks for more memory is refused if it holds most itself, or if nothing may be given up.

| what is held                                  | shed by                                             |
| --------------------------------------------- | --------------------------------------------------- |
| a request that has come in part               | 503 with `Retry-After`: it has not run and will not |
| input behind requests that are in hand        | reading no more of it; its connection is closed     |
|                                               | after the answers to what was read                  |
| whole answers that their client does not read | resetting the connection                            |
| a request that was read, until it is answered | nothing: it is answered                             |

Invariants:

1. What is held is at most the limit, the guaranteed parts of all shares, and what one read brings; beside it
   stand the connections themselves, whose number is bounded.
2. A share below its guaranteed part is never refused: neither clients, nor hosts and operators, can keep the
   others out.

Sizes are in bytes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

REQUEST_BYTES = 4 * 1024  # of a request beside its header lines and body: its objects, timers and attempt
PIECE_BYTES = 64  # of an object of bytes beside its content, with its place in a list
# That is freed beyond what is needed, as a share of the limit: holders are not compared for each piece.
RECLAIM_MARGIN = 1 / 16


class Holder(Protocol):
    """A connection that holds memory."""

    def sheddable_bytes(self) -> int:
        """What `shed` would free."""

    def may_be_shed(self) -> bool:
        """Whether `shed` may be called now."""

    def shed(self) -> None:
        """Frees what may be given up, by refusing or closing."""


class MemoryShare:
    """What one server's connections hold.

    `guaranteed`: up to which it is never refused; `rank`: connections of shares with a lower one are shed for it.
    """

    def __init__(self, account: MemoryAccount, holders: Iterable[Holder], guaranteed: int, rank: int) -> None:
        self.account, self.holders, self.guaranteed, self.rank = account, holders, guaranteed, rank
        self.held = 0

    def charge(self, size: int) -> None:
        """Records `size` more bytes that are held already; negative for what was freed."""
        self.held += size
        self.account.held += size

    def reserve(self, holder: Holder, size: int) -> bool:
        """Charges what a connection is about to hold, or refuses it, after others were shed where that helps."""
        if not self._fits(size):
            self.account.reclaim(self, size, holder)
            if not self._fits(size):
                self.account.refused += 1
                return False
        self.charge(size)
        return True

    def charge_and_reclaim(self, holder: Holder, size: int) -> bool:
        """Charges what came already; False if the connection itself has to give up what it holds."""
        self.charge(size)
        if self._fits(0):
            return True
        self.account.reclaim(self, 0, holder)
        return self._fits(0)

    def has_room(self) -> bool:
        """Whether anything more may be held."""
        return self._fits(1)

    def _fits(self, size: int) -> bool:
        return self.held + size <= self.guaranteed or self.account.held + size <= self.account.limit


class MemoryAccount:
    """The memory held for the connections of all servers of a process, and its limit."""

    def __init__(self, limit: int) -> None:
        self.limit, self.held = limit, 0
        self.shares: list[MemoryShare] = []
        self.refused = self.shed = 0  # numbers of connections, for metrics

    def share(self, holders: Iterable[Holder], guaranteed: int, rank: int) -> MemoryShare:
        """Adds the share of a server. `holders`: its connections."""
        share = MemoryShare(self, holders, guaranteed, rank)
        self.shares.append(share)
        return share

    def reclaim(self, share: MemoryShare, size: int, requester: Holder) -> None:
        """Sheds connections until `size` fits with a margin, or until the requester would be next.

        Those of shares with a lower rank go first, then those of this share; of each the largest holder first.
        """
        wanted = self.limit - size - int(self.limit * RECLAIM_MARGIN)
        lower = [holder for other in self.shares if other.rank < share.rank for holder in other.holders]
        for holders in (lower, share.holders):
            for holder in sorted(holders, key=lambda holder: -holder.sheddable_bytes()):
                if self.held <= wanted or holder is requester:
                    return
                if not holder.sheddable_bytes():
                    break
                if holder.may_be_shed():
                    self.shed += 1
                    holder.shed()
