"""One replica of the ordered log of changes, without I/O.

Sources: K. Birman, T. Joseph, "Exploiting virtual synchrony in distributed systems" (SOSP 1987), for views that
stop, trim and go on; B. Liskov, J. Cowling, "Viewstamped Replication Revisited" (2012) and D. Ongaro,
J. Ousterhout, "In search of an understandable consensus algorithm" (ATC 2014), for what is compared when a view
ends, the pre-vote, joint majorities, and the read index.

Invariants; each is a section of docs/design/control-state.md, with its test and its mutant:

1. A view has at most one leader: a vote is on disk before it is sent, and majorities meet.
2. What was delivered is in the log of every later leader: an entry is committed only when it is on disk at a
   majority, and a vote is given only to a log that is at least as new.
3. A disk that was lost is nobody's: a member's id is drawn with its disk, so a lost one can neither vote again
   nor be counted; its machine comes back under a new id, and votes only after it holds all that is committed.
4. While voters change, majorities of the old and of the new set are needed for all.
5. A leader that hears no majority for `silence` steps down.
6. An answer that depends on the newest state is given only behind a read barrier: a majority has answered a
   broadcast that was sent after the question, in this view.
7. A snapshot takes the place only of what it contains, whole and as it was sent; entries behind it stay, so
   that one that lags by little needs none.
8. A replica that leaves ends when all that is committed is on disk at a majority of those that stay, or when
   its time is up.
"""

from __future__ import annotations

import random

from coralvale.cluster.consensus.membership import Membership
from coralvale.cluster.consensus.messages import (
    CHANGE,
    COORDINATION,
    SHARES,
    VOTERS,
    Action,
    Append,
    AppendReply,
    FromLeader,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    Member,
    Message,
    Restore,
    Settled,
    SnapshotPart,
    SnapshotPartReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
    VoterSet,
)
from coralvale.cluster.consensus.replication import MAX_IN_FLIGHT, NO_ROUND
from coralvale.cluster.consensus.state import MAX_KNOWN_SENDERS, DurableState, Timing
from coralvale.cluster.consensus.voters import encode_voters


class Replica(Membership):
    """`tick` is to be called at least every heartbeat; each call returns actions to carry out in order."""

    def __init__(
        self, me: Member, durable: DurableState, timing: Timing, rng: random.Random, now: float
    ) -> None:
        super().__init__(me, durable, timing, rng, now)
        self.heartbeat_at = now
        self._begin_replication()
        self._begin_membership()

    def start(self, now: float) -> list[Action]:
        """Delivers again what was delivered before this process began."""
        if self.snapshot.seq or self.snapshot.voters.new:
            self.actions.append(Restore(self.snapshot))
        self._deliver()
        return self._take_actions()

    def bootstrap(self, now: float) -> list[Action]:
        """The first replica of all: there is nobody else yet. To be called once in a system's life."""
        assert not self.bootstrapped and not self.last_seq and not self.view
        self.view, self.vote, self.leader, self.leading = 1, self.me.id, self.me.id, True
        self._append(now, VOTERS, encode_voters(VoterSet((self.me,))))
        return self._take_actions()

    def propose(self, now: float, token: int, kind: int, body: bytes) -> list[Action]:
        """To be ordered; `Settled(token)` answers it, once."""
        too_few = kind in (CHANGE, SHARES, COORDINATION) and len(self.voters.new) < self.timing.min_voters
        if not self.leading or too_few or self.last_seq - self.commit >= MAX_IN_FLIGHT:
            self.actions.append(Settled(token, False))
        else:
            self.tokens[self.last_seq + 1] = token
            self._append(now, kind, body)
        return self._take_actions()

    def barrier(self, now: float, token: int) -> list[Action]:
        """`Settled(token, True)` says: what is delivered here by then is no older than this call."""
        if not self.leading or not self.caught_up:
            self.actions.append(Settled(token, False))
        else:
            self._read_barrier(now, token)
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """The process is being stopped: `may_end` turns true when that is safe."""
        self.leaving = True
        self.leave_requested_at = -1e9
        self._leave_tick(now)
        return self._take_actions()

    def write_completed(self, now: float, number: int) -> list[Action]:
        """A `Write` is on disk, and so are all before it."""
        self.written_number = max(self.written_number, number)
        while self.pending_sends and self.pending_sends[0][0] <= number:
            _, durable, sends = self.pending_sends.popleft()
            self.durable_seq = min(durable, self.last_seq)
            self.actions += sends
        if self.leading:
            self._advance_commit(now)
        else:
            self._lead_if_elected(now)
        return self._take_actions()

    def save_snapshot(self, body: bytes) -> list[Action]:
        """All that was delivered led to `body`: entries that are far behind need not be kept any more."""
        if self.due_for_snapshot():
            self._save_snapshot(body)
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        if self.leading:
            self._leader_tick(now)
        else:
            self._election_tick(now)
        self._leave_tick(now)
        return self._take_actions()

    def _leader_tick(self, now: float) -> None:
        heard = {i for i, p in self.peers.items() if now - p.last_reply_at < self.timing.quorum_timeout} | {
            self.me.id
        }
        if not self.voters.majority(heard):
            self._step_down(now)
            return
        self._expire_requests(now)
        self._change_voters(now)
        if self.last_seq - self.durable_seq > MAX_IN_FLIGHT:  # the own disk stands still
            self._transfer_leadership(now)
        if self.leading and now >= self.heartbeat_at:
            self._broadcast(now)

    def receive(self, now: float, message: Message, ip: str, to: str = "") -> list[Action]:
        """A message has come from an address. `to`: the disk that it is meant for; another may be here now."""
        if to and to != self.me.id:
            self.stale_messages += 1
        elif isinstance(message, JoinRequest):
            self._handle_join_request(now, message)
        elif message.sender != self.me.id:
            if len(self.known_senders) >= MAX_KNOWN_SENDERS:
                self.known_senders.clear()
            self.known_senders[message.sender] = Member(message.sender, "", ip)
            if isinstance(message, FromLeader):
                self._receive_from_leader(now, message)
            else:
                self._receive_from_other(now, message)
        return self._take_actions()

    def _receive_from_other(
        self,
        now: float,
        message: VoteRequest | VoteReply | AppendReply | SnapshotPartReply | LeaveRequest | LeaveReply,
    ) -> None:
        match message:
            case VoteRequest():
                self._handle_vote_request(now, message)
            case VoteReply():
                self._handle_vote_reply(now, message)
            case AppendReply():
                self._handle_append_reply(now, message)
            case SnapshotPartReply():
                self._handle_snapshot_part_reply(now, message)
            case LeaveRequest():
                self._handle_leave_request(now, message)
            case LeaveReply():
                self._handle_leave_reply(message)

    def _receive_from_leader(self, now: float, message: Append | TransferLeadership | SnapshotPart) -> None:
        if message.view < self.view:
            self.stale_messages += 1
            self._reply(message.sender, AppendReply(self.view, self.me.id, False, self.last_seq, NO_ROUND))
            return
        if isinstance(message, TransferLeadership):
            if message.view == self.view and self.is_voter and not self.leading and not self.leaving:
                self._campaign(now, transferred=True)
            return
        if message.view > self.view or self.leader != message.sender:
            self._enter_view(now, message.view, message.sender)
        self.leader_heard_at = now
        self.pre_votes = self.votes = None
        if isinstance(message, Append):
            self._handle_append(now, message)
        else:
            self._handle_snapshot_part(now, message)


__all__ = ["DurableState", "Replica", "Timing"]
