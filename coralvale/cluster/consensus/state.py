"""State shared by all parts of a replica: its log, its view, what is on disk, and the actions to carry
out."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque

from attrs import define, field, frozen

from coralvale.cluster.consensus.messages import (
    CHANGE,
    COORDINATION,
    READ,
    SHARES,
    VOTERS,
    Action,
    Deliver,
    Entry,
    Member,
    Message,
    Restore,
    Send,
    Settled,
    Snapshot,
    VoterSet,
    Write,
)
from coralvale.cluster.consensus.snapshot import SnapshotUpload
from coralvale.cluster.consensus.voters import decode_voters

MAX_KNOWN_SENDERS = 64  # senders without a vote whose addresses are kept, to reply to them
NO_VOTERS = VoterSet(())


@frozen
class Timing:
    """Timeouts and intervals, in seconds. Only `min_voters` is a count.

    The fault budget is the number of voters whose simultaneous loss must be tolerated:
    (min_voters - 1) // 2.
    """

    heartbeat_interval: float = 0.15  # between the leader's broadcasts
    # Without a message from the leader until a replica campaigns; drawn at random, up to twice this.
    election_timeout: float = 0.6
    quorum_timeout: float = 0.9  # without replies from a majority until a leader steps down
    replace_after: float = 1.5  # without a reply until a learner may replace a voter
    remove_spare_after: float = 4.0  # without a reply until a voter beyond `min_voters` is removed
    resend_after: float = 0.4  # until unanswered entries are sent again
    min_voters: int = 3  # with fewer, nothing is acknowledged: the fault budget needs them


@define
class DurableState:
    """What is on disk when a replica starts. The entries may begin before the snapshot."""

    view: int = 0
    vote: str = ""
    commit: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(factory=list)


@define
class Progress:
    """What the leader knows about another replica."""

    next_seq: int  # the first entry to send
    match_seq: int = 0  # up to here its disk is known to agree with the leader's log
    last_reply_at: float = 0.0  # time of its last reply
    contact_at: float = -1e9  # send time of the newest broadcast that it has answered
    round: int = 0  # number of that broadcast
    resend_at: float = 0.0  # when entries in flight are considered lost
    in_flight_seq: int = 0  # the last entry sent and not answered, 0 if there is none
    commit_sent: int = 0  # the highest commit index that was sent to it
    upload: SnapshotUpload | None = None


class ReplicaState(ABC):
    """The log and the volatile state of one replica, with helpers shared by its parts."""

    def __init__(
        self, me: Member, durable: DurableState, timing: Timing, rng: random.Random, now: float
    ) -> None:
        self.me, self.timing, self.rng = me, timing, rng
        self.view, self.vote = durable.view, durable.vote
        self.snapshot = durable.snapshot or Snapshot(0, 0, NO_VOTERS, b"")
        self._load_log(durable.entries)
        self.commit = max(self.snapshot.seq, min(durable.commit, self.last_seq))
        self.applied = self.snapshot.seq
        self.applied_bytes = 0  # bytes of entry bodies applied since the snapshot
        self.leader = ""  # id of this view's leader, "" while there is none
        self.leading = False
        self.leaving = False  # this process is being stopped
        # When the wait for a leader last (re)started: at a message from the leader, a vote granted, the start
        # of an election here, or a step-down.
        self.leader_heard_at = now
        # The first wait after a start is short: if there is a leader, a pre-vote does no harm.
        self.election_wait = timing.election_timeout * (0.2 + 0.5 * rng.random())
        self.known_senders: dict[str, Member] = {}  # senders of recent messages, by id
        self.peers: dict[str, Progress] = {}
        self.tokens: dict[int, int] = {}  # token of each entry proposed here in this view, by seq
        self.durable_seq = self.last_seq
        self.write_number = self.written_number = 0
        # For each unfinished write: its number, the last entry on disk after it, messages that wait for it.
        self.pending_sends: deque[tuple[int, int, list[Send]]] = deque()
        self.actions: list[Action] = []
        self.stale_messages = 0  # messages refused because of an older view or a lost disk

    def _load_log(self, entries: list[Entry]) -> None:
        """Sets up the log.

        If the entries begin at or before the snapshot, the first one is only an anchor: its seq and view tell
        where the log starts, so that an append after it can be compared, and it is not part of the log.
        """
        self.entries = deque(entries)
        self.log_start, self.log_start_view = self.snapshot.seq, self.snapshot.view
        if entries and entries[0].seq <= self.snapshot.seq:
            first = self.entries.popleft()
            self.log_start, self.log_start_view = first.seq, first.view
        self.voter_log: deque[tuple[int, VoterSet]] = deque(
            (e.seq, decode_voters(e.body)) for e in self.entries if e.kind == VOTERS
        )

    # The log

    @property
    def last_seq(self) -> int:
        """Sequence number of the last entry of the log."""
        return self.entries[-1].seq if self.entries else self.log_start

    def _view_of(self, seq: int) -> int | None:
        """The view of an entry, None if it is not known."""
        if seq == self.log_start:
            return self.log_start_view
        index = seq - self.log_start - 1
        return self.entries[index].view if 0 <= index < len(self.entries) else None

    @property
    def voters(self) -> VoterSet:
        """The voters by the newest entry that sets them, whether that is committed or not."""
        return self.voter_log[-1][1] if self.voter_log else self.snapshot.voters

    def _voters_at(self, seq: int) -> VoterSet:
        return next((v for at, v in reversed(self.voter_log) if at <= seq), self.snapshot.voters)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the old or the new set of voters."""
        return self.me.id in self.voters.all()

    @property
    def bootstrapped(self) -> bool:
        """Whether this replica knows of any voters."""
        return bool(self.voters.new)

    @property
    def caught_up(self) -> bool:
        """Whether this replica knows that it has delivered everything that was committed when its view
        began."""
        return bool(self.leader) and self._view_of(self.commit) == self.view

    def in_contact(self, now: float) -> bool:
        """Whether this replica is, as far as it can know, on the majority side of a partition.

        A leader judges by the broadcasts that a majority has answered, a follower by its leader's messages.
        """
        if self.leading:
            responsive = {i for i, p in self.peers.items() if now - p.contact_at < self.timing.quorum_timeout}
            return self.voters.majority(responsive | {self.me.id})
        return bool(self.leader) and now - self.leader_heard_at < self.timing.election_timeout

    def needs_join(self, now: float) -> bool:
        """Whether this replica should send join requests.

        It should if it has no vote, or hears no leader: it may have lost its vote while it was away. The
        leader ignores join requests from voters.
        """
        return not self.is_voter or (not self.leading and not self.in_contact(now))

    def _add_entry(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == VOTERS:
            self.voter_log.append((entry.seq, decode_voters(entry.body)))

    def _truncate_from(self, seq: int) -> None:
        """Removes uncommitted entries of an earlier view, from `seq` on."""
        while self.entries and self.entries[-1].seq >= seq:
            self.entries.pop()
        while self.voter_log and self.voter_log[-1][0] >= seq:
            self.voter_log.pop()
        self.durable_seq = min(self.durable_seq, seq - 1)
        self.pending_sends = deque(
            (n, min(durable, seq - 1), sends) for n, durable, sends in self.pending_sends
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot.

        Until the snapshot is on disk, only entries that were committed here before are known to agree with it,
        also those of writes that are under way.
        """
        agreed = self.commit
        self.durable_seq = min(self.durable_seq, agreed)
        self.snapshot, self.entries = snapshot, deque()
        self.log_start, self.log_start_view = snapshot.seq, snapshot.view
        self.voter_log.clear()
        self.commit = self.applied = snapshot.seq
        self.applied_bytes = 0
        self.pending_sends = deque(
            (n, min(durable, agreed), sends) for n, durable, sends in self.pending_sends
        )
        self.actions.append(Restore(snapshot))

    # Actions

    def _take_actions(self) -> list[Action]:
        out, self.actions = self.actions, []
        return out

    def _deliver(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self.entries[self.applied - self.log_start - 1]
            self.applied_bytes += len(entry.body)
            if entry.kind in (CHANGE, READ, SHARES, COORDINATION):
                self.actions.append(Deliver(entry))
            if (token := self.tokens.pop(entry.seq, None)) is not None:
                self.actions.append(Settled(token, True))

    def _write(
        self,
        sends: list[Send],
        truncate_from: int | None = None,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
        trim_below: int = 0,
    ) -> None:
        """Requests a write. `sends` go out once it, and all writes before it, are on disk."""
        self.write_number += 1
        self.actions.append(
            Write(
                self.write_number,
                self.view,
                self.vote,
                self.commit,
                truncate_from,
                entries,
                snapshot,
                trim_below,
            )
        )
        self.pending_sends.append((self.write_number, self.last_seq, sends))

    def _append(self, now: float, kind: int, body: bytes = b"") -> None:
        """Appends an entry as the leader, and replicates it."""
        entry = Entry(self.last_seq + 1, self.view, kind, body)
        self._add_entry(entry)
        self._write([], entries=(entry,))
        self._replicate(now)

    def _member(self, member_id: str) -> Member | None:
        return self.voters.all().get(member_id) or self.known_senders.get(member_id)

    def _reply(self, to: str, message: Message) -> None:
        if member := self._member(to):
            self.actions.append(Send(member, message))

    def _other_replicas(self) -> dict[str, Member]:
        """All other replicas that the leader keeps up to date."""
        others = self.voters.all() | self._learners()
        others.pop(self.me.id, None)
        return others

    @abstractmethod
    def _replicate(self, now: float, heartbeat: bool = False) -> None:
        """Sends each other replica the entries that it lacks; with `heartbeat`, sends a message to all of
        them."""

    @abstractmethod
    def _learners(self) -> dict[str, Member]:
        """Replicas without a vote that are kept up to date, by id."""
