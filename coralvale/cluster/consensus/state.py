"""What every part of a replica shares: its log, its view, what is on disk, and the actions to be carried out."""

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

MAX_KNOWN_SENDERS = 64  # senders without a vote whose address is kept, to answer them
NO_VOTERS = VoterSet(())


@frozen
class Timing:
    """Times in seconds."""

    heartbeat_interval: float = 0.15  # between broadcasts of the leader
    election_timeout: float = (
        0.6  # without a message of the leader until a replica campaigns, to twice this by lot
    )
    quorum_timeout: float = 0.9  # without a majority's replies until a leader steps down
    replace_after: float = 1.5  # without a reply until a voter's place may go to a learner
    remove_spare_after: float = 4.0  # the same until a voter that the budget does not need is removed
    resend_after: float = 0.4  # until what was not answered is sent again
    min_voters: int = 3  # voters below which nothing is acknowledged: what the fault budget needs


@define
class DurableState:
    """What is on disk when a replica starts. Entries may begin before the snapshot."""

    view: int = 0
    vote: str = ""
    commit: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(factory=list)


@define
class Progress:
    """What the leader knows of another replica."""

    next_seq: int  # the first entry to be sent
    match_seq: int = 0  # up to where its disk agrees
    last_reply_at: float = 0.0  # when its last reply came
    contact_at: float = -1e9  # when the newest broadcast was sent that it has answered
    round: int = 0  # of that broadcast
    resend_at: float = 0.0  # when what is outstanding is taken for lost
    in_flight_seq: int = 0  # up to where entries are sent and not answered; 0: none are
    commit_sent: int = 0  # up to where it knows that all is committed
    upload: SnapshotUpload | None = None


class ReplicaState(ABC):
    """The log and the volatile state of one replica, with the helpers that all of its parts use."""

    def __init__(
        self, me: Member, durable: DurableState, timing: Timing, rng: random.Random, now: float
    ) -> None:
        self.me, self.timing, self.rng = me, timing, rng
        self.view, self.vote = durable.view, durable.vote
        self.snapshot = durable.snapshot or Snapshot(0, 0, NO_VOTERS, b"")
        self._load_log(durable.entries)
        self.commit = max(self.snapshot.seq, min(durable.commit, self.last_seq))
        self.applied = self.snapshot.seq
        self.applied_bytes = 0  # of the entries since the snapshot
        self.leader = ""  # of this view, "" while there is none
        self.leading = False
        self.leaving = False  # this process is being stopped
        self.leader_heard_at = now  # the leader's last message
        # One that starts asks soon: where there is a leader, a pre-vote does no harm.
        self.election_wait = timing.election_timeout * (0.2 + 0.5 * rng.random())
        self.known_senders: dict[str, Member] = {}  # without a vote, by what they sent
        self.peers: dict[str, Progress] = {}
        self.tokens: dict[int, int] = {}  # seq: token of what was proposed here in this view
        self.durable_seq = self.last_seq
        self.write_number = self.written_number = 0
        self.pending_sends: deque[tuple[int, int, list[Send]]] = (
            deque()
        )  # write, entries on disk by it, what it lets go
        self.actions: list[Action] = []
        self.stale_messages = 0  # messages of an older view that were refused

    def _load_log(self, entries: list[Entry]) -> None:
        """Where the log goes back behind the snapshot its first entry only tells the view before the second."""
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
        return self.entries[-1].seq if self.entries else self.log_start

    def _view_of(self, seq: int) -> int | None:
        """The view of an entry, None where it is not known."""
        if seq == self.log_start:
            return self.log_start_view
        at = seq - self.log_start - 1
        return self.entries[at].view if 0 <= at < len(self.entries) else None

    @property
    def voters(self) -> VoterSet:
        """Of the newest entry that names them, whether it is committed or not."""
        return self.voter_log[-1][1] if self.voter_log else self.snapshot.voters

    def _voters_at(self, seq: int) -> VoterSet:
        return next((v for at, v in reversed(self.voter_log) if at <= seq), self.snapshot.voters)

    @property
    def is_voter(self) -> bool:
        return self.me.id in self.voters.all()

    @property
    def bootstrapped(self) -> bool:
        return bool(self.voters.new)

    @property
    def caught_up(self) -> bool:
        """Whether this replica knows that it has delivered all that was committed when its view began."""
        return bool(self.leader) and self._view_of(self.commit) == self.view

    def in_contact(self, now: float) -> bool:
        """Whether this replica is, as far as it can know, on the side that goes on: a leader by broadcasts that
        a majority answered, another by its leader's messages."""
        if self.leading:
            heard = {i for i, p in self.peers.items() if now - p.contact_at < self.timing.quorum_timeout}
            return self.voters.majority(heard | {self.me.id})
        return bool(self.leader) and now - self.leader_heard_at < self.timing.election_timeout

    def needs_join(self, now: float) -> bool:
        """Whether this disk has to ask to be kept up to date: it has no vote, or hears no leader, and may have
        lost its vote while it was away. A leader passes over those that vote."""
        return not self.is_voter or (not self.leading and not self.in_contact(now))

    def _add_entry(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == VOTERS:
            self.voter_log.append((entry.seq, decode_voters(entry.body)))

    def _truncate_from(self, seq: int) -> None:
        """Takes entries out that a view before left unsettled."""
        while self.entries and self.entries[-1].seq >= seq:
            self.entries.pop()
        while self.voter_log and self.voter_log[-1][0] >= seq:
            self.voter_log.pop()
        self.durable_seq = min(self.durable_seq, seq - 1)
        self.pending_sends = deque(
            (n, min(durable, seq - 1), sends) for n, durable, sends in self.pending_sends
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """All that is here gives way to a snapshot. On disk only what was committed is known to agree with it."""
        self.durable_seq = min(self.durable_seq, self.commit)
        self.snapshot, self.entries = snapshot, deque()
        self.log_start, self.log_start_view = snapshot.seq, snapshot.view
        self.voter_log.clear()
        self.commit = self.applied = snapshot.seq
        self.applied_bytes = 0
        self.pending_sends = deque(
            (n, min(durable, snapshot.seq), sends) for n, durable, sends in self.pending_sends
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
        """`sends` wait until this, and all before it, is on disk."""
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
        """By the leader: one entry more."""
        entry = Entry(self.last_seq + 1, self.view, kind, body)
        self._add_entry(entry)
        self._write([], entries=(entry,))
        self._replicate(now)

    def _member(self, name: str) -> Member | None:
        return self.voters.all().get(name) or self.known_senders.get(name)

    def _reply(self, to: str, message: Message) -> None:
        if member := self._member(to):
            self.actions.append(Send(member, message))

    def _other_replicas(self) -> dict[str, Member]:
        """All that the leader keeps up to date."""
        others = self.voters.all() | self._learners()
        others.pop(self.me.id, None)
        return others

    @abstractmethod
    def _replicate(self, now: float, heartbeat: bool = False) -> None:
        """Sends to each other replica what it lacks; with `heartbeat` something to all of them."""

    @abstractmethod
    def _learners(self) -> dict[str, Member]:
        """Disks without a vote that are kept up to date."""
