"""Types of the consensus protocol: members, entries, messages between replicas, and actions for the caller.

Messages between replicas are encoded as msgspec arrays, so a field added by a newer version must come last
and have a default. Times are seconds of a monotonic clock.

Terms:

- view: a numbered period with at most one leader (Raft: term);
- seq: the position of an entry in the log, counted from 1;
- commit index (`commit`): the seq of the last entry known to be committed;
- round: the number of a leader's broadcast, by which a reply tells the broadcast that it answers.
"""

from __future__ import annotations

import msgspec
from attrs import frozen

# Kinds of entries. Earlier versions wrote READ for each read; such entries are still delivered, but change
# no state.
NO_OP, CHANGE, VOTERS, READ, SHARES, COORDINATION = 0, 1, 2, 3, 4, 5
ROUND_UNKNOWN = -1  # stands for the round in replies from a version that does not send the round


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica's identity: the id of its disk, and the name and address of its machine.

    `id` is drawn when an empty disk is first used, so the id of a lost disk is never used again.
    """

    id: str
    name: str
    ip: str


class VoterSet(msgspec.Struct, frozen=True, array_like=True):
    """The voters. During a change (a joint configuration), majorities of both `old` and `new` are needed."""

    new: tuple[Member, ...]
    old: tuple[Member, ...] = ()

    def all(self) -> dict[str, Member]:
        """All members of both sets, by id."""
        return {m.id: m for m in (*self.old, *self.new)}

    def majority(self, ids: set[str]) -> bool:
        """Whether these ids are a majority of each set in force."""
        groups = [group for group in (self.old, self.new) if group]
        return bool(groups) and all(2 * sum(m.id in ids for m in group) > len(group) for group in groups)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log: its sequence number, the view that it was proposed in, its kind and its encoded
    body."""

    seq: int
    view: int
    kind: int
    body: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after all entries up to `seq`, and the voters then."""

    seq: int
    view: int
    voters: VoterSet
    body: bytes


# Messages. `sender` is the id of the sending replica, `view` the view that it is in. No message has tag 5.


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote.

    `pre_vote`: only asks whether a vote would be granted. `transferred`: the leader named this candidate.
    """

    view: int
    sender: str
    last_view: int
    last_seq: int
    pre_vote: bool = False
    transferred: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Grants or refuses a vote, or a pre-vote."""

    view: int
    sender: str
    granted: bool
    pre_vote: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From the leader: the entries after `before_seq`, and the commit index.

    `round`: number of the leader's newest broadcast; a reply that echoes it was made after that broadcast. It
    is not reset when a view begins.
    """

    view: int
    sender: str
    before_seq: int
    before_view: int
    commit: int
    entries: tuple[Entry, ...] = ()
    round: int = 0


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers an `Append`.

    `seq`: the sender's disk agrees with the leader's log up to here; if not `accepted`, a hint: the leader
    should go on with the entries after it. `round`: that of the `Append`, 0 for none, `ROUND_UNKNOWN` if the
    sender's version does not send it.
    """

    view: int
    sender: str
    accepted: bool
    seq: int
    round: int = ROUND_UNKNOWN


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The leader gives up leadership, and asks the receiver to start an election."""

    view: int
    sender: str


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A replica without a vote asks to be kept up to date, and to vote when another voter is needed."""

    member: Member


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A part of an encoded `Snapshot`, for a replica that lacks entries which the leader no longer keeps."""

    view: int
    sender: str
    seq: int
    checksum: int  # crc32 of the whole; identifies the snapshot, together with `seq` and `size`
    size: int
    offset: int
    data: bytes


class SnapshotPartReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """`offset`: number of bytes of the snapshot received so far."""

    view: int
    sender: str
    checksum: int
    offset: int


class LeaveRequest(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A replica that is being stopped asks whether it may stop now."""

    view: int
    sender: str


class LeaveReply(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """`safe`: all that is committed is on disk at a majority of the replicas that stay."""

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
    """A message to send to another replica."""

    to: Member
    message: Message


@frozen
class Write:
    """Data to write to disk and sync, in the order given; then `Replica.write_completed(number)` must be
    called."""

    number: int
    view: int
    vote: str
    commit: int
    truncate_from: int | None = None  # entries from this seq on are deleted first
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # replaces the previous one
    trim_below: int = 0  # with a snapshot, entries below this seq are deleted


@frozen
class Deliver:
    """A committed entry. All replicas deliver the same entries in the same order."""

    entry: Entry


@frozen
class Restore:
    """Replaces the state built from all earlier deliveries."""

    snapshot: Snapshot


@frozen
class Settled:
    """The result of a proposal or a barrier.

    If it is not `accepted`, the proposal was refused and is in no log, or its outcome is unknown here and it
    may still be committed later; the action does not tell which.
    """

    token: int
    accepted: bool


Action = Send | Write | Deliver | Restore | Settled
