"""Types of the order of changes: members, entries, messages between members, events in and actions out.

The wire between members is msgspec's array form: a field that a newer program adds stands at the end with a
default. Times are seconds of a clock that never steps back.
"""

from __future__ import annotations

import msgspec
from attrs import frozen

# Kinds of entries.
OPENING, CHANGE, SEATS, READ = 0, 1, 2, 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One disk's life: `id` is drawn when an empty disk is first used, so a disk that was lost is
    nobody's."""

    id: str
    name: str
    ip: str


class Seats(msgspec.Struct, frozen=True, array_like=True):
    """Who votes. While a change of members is on its way, majorities of both `old` and `new` are needed."""

    new: tuple[Member, ...]
    old: tuple[Member, ...] = ()

    def all(self) -> dict[str, Member]:
        return {m.id: m for m in (*self.old, *self.new)}

    def majority(self, ids: set[str]) -> bool:
        """Whether these members are enough, in each of the sets that count."""
        groups = [g for g in (self.old, self.new) if g]
        return bool(groups) and all(2 * sum(m.id in ids for m in g) > len(g) for g in groups)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    seq: int
    view: int
    kind: int
    body: bytes = b""


class Saved(msgspec.Struct, frozen=True, array_like=True):
    """All that entries up to `seq` led to."""

    seq: int
    view: int
    seats: Seats
    body: bytes


# Messages. Each names the disk's life that sends it, and the view it is in.


class Canvass(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote. `trial`: only whether one would be given. `named`: the holder named this one."""

    view: int
    sender: str
    last_view: int
    last_seq: int
    trial: bool = False
    named: bool = False


class Ballot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    view: int
    sender: str
    given: bool
    trial: bool = False


class Extend(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From the holder: what follows the entry before, and up to where all is delivered."""

    view: int
    sender: str
    before_seq: int
    before_view: int
    commit: int
    entries: tuple[Entry, ...] = ()


class Extended(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """`seq`: up to where the sender's disk agrees with the holder; if not `fits`, from where to try again."""

    view: int
    sender: str
    fits: bool
    seq: int


class Copy(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """From the holder to one that lacks entries which are no longer kept one by one."""

    view: int
    sender: str
    saved: Saved


class Successor(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The holder leaves and names the one that is to go on."""

    view: int
    sender: str


class Join(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A disk that is in no view, and wants to be."""

    member: Member


Message = Canvass | Ballot | Extend | Extended | Copy | Successor | Join

# Actions


@frozen
class Send:
    to: Member
    message: Message


@frozen
class Write:
    """To be put on disk and synced, in the order given; `Wrote(number)` answers it."""

    number: int
    view: int
    vote: str
    commit: int
    cut: int | None = None  # entries from this seq on are taken out first
    entries: tuple[Entry, ...] = ()
    saved: Saved | None = None  # takes the place of all entries up to its seq


@frozen
class Deliver:
    """An entry that all members deliver, in this order."""

    entry: Entry


@frozen
class Restore:
    """All that was delivered until now is replaced by this."""

    saved: Saved


@frozen
class Settled:
    """What was proposed under `token` is delivered (`well`), or it will not be by this member's doing."""

    token: int
    well: bool


Action = Send | Write | Deliver | Restore | Settled
