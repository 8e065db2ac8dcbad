"""Types of the consensus among replicas: members, entries, messages between replicas, actions for the caller.

The wire between replicas is msgspec's array form: a field that a newer program adds stands at the end with a
default. Times are seconds of a clock that never steps back.
"""

from __future__ import annotations

import msgspec
from attrs import frozen

# Kinds of entries. READ was written by earlier versions for each reading; it has no effect.
NO_OP, CHANGE, VOTERS, READ, SHARES, COORDINATION = 0, 1, 2, 3, 4, 5
ROUND_UNKNOWN = -1  # instead of a round, from a version that does not tell it


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One disk's life: `id` is drawn when an empty disk is first used, so a disk that was lost is nobody's."""

    id: str
    name: str
    ip: str


class VoterSet(msgspec.Struct, frozen=True, array_like=True):
    """Who votes. While it changes (a joint configuration), majorities of both `old` and `new` are needed."""

    new: tuple[Member, ...]
    old: tuple[Member, ...] = ()

    def all(self) -> dict[str, Member]:
        return {m.id: m for m in (*self.old, *self.new)}

    def majority(self, ids: set[str]) -> bool:
        """Whether these members are enough, in each of the sets that count."""
        groups = [group for group in (self.old, self.new) if group]
        return bool(groups) and all(2 * sum(m.id in ids for m in group) > len(group) for group in groups)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    seq: int
    view: int
    kind: int
    body: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the entries up to `seq` led to."""

    seq: int
    view: int
    voters: VoterSet
    body: bytes


# Messages. Each names the disk that sends it, and the view that its sender is in.


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """`pre_vote`: only asks whether a vote would be given. `transferred`: the leader named this candidate."""

    view: int
    sender: str
    last_view: int
    last_seq: int
    pre_vote: bool = False
    transferred: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    view: int
    sender: str
    granted: bool
    pre_vote: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From the leader: what follows the entry before, and up to where all is committed.

    `round` counts the leader's broadcasts in its view: a reply that echoes it was made after that broadcast.
    """

    view: int
    sender: str
    before_seq: int
    before_view: int
    commit: int
    entries: tuple[Entry, ...] = ()
    round: int = 0


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """`seq`: up to where the sender's disk agrees with the leader's log; if not `accepted`, from where to try
    again. `round`: the one of the `Append` that it answers, 0 for none; `ROUND_UNKNOWN` where it is not told."""

    view: int
    sender: str
    accepted: bool
    seq: int
    round: int = ROUND_UNKNOWN


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The leader leaves, and names the replica that is to follow it."""

    view: int
    sender: str


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A disk without a vote asks to be kept up to date, and to vote when one more is needed."""

    member: Member


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Bytes of an encoded `Snapshot`, from the leader to one that lacks entries which are no longer kept."""

    view: int
    sender: str
    seq: int
    checksum: int  # crc32 of all of it; with `seq` and `size` it tells one snapshot from another
    size: int
    offset: int
    data: bytes


class SnapshotPartReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """`offset`: up to where the snapshot has come."""

    view: int
    sender: str
    checksum: int
    offset: int


class LeaveRequest(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A replica that is being stopped asks whether it may end."""

    view: int
    sender: str


class LeaveReply(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """`safe`: all that is committed is on disk at a majority of those that stay."""

    view: int
    sender: str
    safe: bool


FromLeader = Append | TransferLeadership | SnapshotPart
Message = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | TransferLeadership
    | JoinRequest
    | SnapshotPart
    | SnapshotPartReply
    | LeaveRequest
    | LeaveReply
)

# Actions


@frozen
class Send:
    to: Member
    message: Message


@frozen
class Write:
    """To be put on disk and synced, in the order given; `Replica.write_completed(number)` answers it."""

    number: int
    view: int
    vote: str
    commit: int
    truncate_from: int | None = None  # entries from this seq on are taken out first
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # takes the place of the one before
    trim_below: int = 0  # entries below this seq are not needed any more


@frozen
class Deliver:
    """An entry that all replicas deliver, in this order."""

    entry: Entry


@frozen
class Restore:
    """All that was delivered until now is replaced by this."""

    snapshot: Snapshot


@frozen
class Settled:
    """A proposal or a barrier is decided: `accepted`, or not known to be, by this replica's doing."""

    token: int
    accepted: bool


Action = Send | Write | Deliver | Restore | Settled
