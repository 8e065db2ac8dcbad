"""One replica of the replicated log, as a state machine without I/O.

The parts of a replica are a chain of classes, each of which extends the one before: `ReplicaState` (log and
volatile state), `Elections`, `Replication`, `Membership`, and `Replica` with the public methods. A method
that an earlier class needs and a later one provides is declared in the earlier one, abstract or with a
default.

Entries are committed once the leader has found them on disk at a majority, those of earlier views only
together with a later entry of its own view; `commit` is the seq of the last entry that this replica knows to
be committed. An entry is delivered when it is passed to the caller in a `Deliver` action, after its commit
and in order of seq; entries that concern only the protocol (NO_OP, VOTERS) are skipped. `applied` is the seq
of the last entry that was delivered, skipped or replaced by a snapshot.

Sources: K. Birman, T. Joseph, "Exploiting virtual synchrony in distributed systems" (SOSP 1987), for view
changes, which stop the processing, discard unfinished work and continue in the new view; B. Liskov,
J. Cowling, "Viewstamped Replication Revisited" (2012) and D. Ongaro, J. Ousterhout, "In search of an
understandable consensus algorithm" (ATC 2014), for the comparison of logs when a view ends, the pre-vote,
joint majorities, and the read index.

Invariants. Each has a section in docs/design/control-state.md, a test, and a mutant: a variant of the code
that breaks the invariant, which the tests must detect.

1. A view has at most one leader: a vote is written to disk before it is sent, and any two majorities overlap.
2. What was delivered is in the log of every later leader: an entry is committed only once it is on disk at a
   majority, and a vote is granted only to a candidate whose log is at least as new.
3. The identity of a lost disk is never used again: a member's id is drawn with its disk, so a lost disk can
   neither vote again nor be counted. Its machine comes back under a new id, and votes only once it holds all
   that is committed.
4. While the voters change, every decision needs majorities of both the old and the new set.
5. A leader that hears from no majority for `Timing.quorum_timeout` steps down.
6. An answer that depends on the newest state is given only after a read barrier: a majority has answered a
   broadcast that was sent after the request, in this view.
7. A snapshot replaces only what it contains, and is installed only if complete and as it was sent. Entries
   behind it are kept, so that a replica that lags by little needs no snapshot.
8. A replica that leaves stops once all that is committed is on disk at a majority of the replicas that stay,
   or when its time is up.
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
    """One member of the replicated log: elections, replication and changes of the voters.

    The caller must call `tick` at least once per heartbeat interval, and carry out the actions that each call
    returns, in order. `now` is always the time in seconds of a monotonic clock.
    """

    def __init__(
        self, me: Member, durable: DurableState, timing: Timing, rng: random.Random, now: float
    ) -> None:
        super().__init__(me, durable, timing, rng, now)
        self.heartbeat_at = now
        self._begin_replication()
        self._begin_membership()

    def start(self, now: float) -> list[Action]:
        """Restores the snapshot and delivers again the entries that were known to be committed at the last
        stop."""
        if self.snapshot.seq or self.snapshot.voters.new:
            self.actions.append(Restore(self.snapshot))
        self._deliver()
        return self._take_actions()

    def bootstrap(self, now: float) -> list[Action]:
        """Starts a new cluster with this replica as its only voter. May be called only once in the life
        of a system."""
        assert not self.bootstrapped and not self.last_seq and not self.view
        self.view, self.vote, self.leader, self.leading = 1, self.me.id, self.me.id, True
        self._append(now, VOTERS, encode_voters(VoterSet((self.me,))))
        return self._take_actions()

    def propose(self, now: float, token: int, kind: int, body: bytes) -> list[Action]:
        """Proposes an entry. Exactly one `Settled(token)` action follows: accepted once the entry is
        committed and delivered here, not accepted if it was refused at once or this replica steps down
        before.

        It is refused at once if this replica is not the leader, if too many entries are in flight, or, for
        the kinds CHANGE, SHARES and COORDINATION, if there are fewer voters than `Timing.min_voters`.
        """
        too_few = kind in (CHANGE, SHARES, COORDINATION) and len(self.voters.new) < self.timing.min_voters
        if not self.leading or too_few or self.last_seq - self.commit >= MAX_IN_FLIGHT:
            self.actions.append(Settled(token, False))
        else:
            self.tokens[self.last_seq + 1] = token
            self._append(now, kind, body)
        return self._take_actions()

    def barrier(self, now: float, token: int) -> list[Action]:
        """Starts a read barrier.

        `Settled(token, True)` means that the state delivered here by then is no older than this call.
        """
        if not self.leading or not self.caught_up:
            self.actions.append(Settled(token, False))
        else:
            self._read_barrier(now, token)
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Starts to leave, since the process is being stopped; `safe_to_stop` becomes true when that is
        safe."""
        self.leaving = True
        self.leave_requested_at = -1e9
        self._leave_tick(now)
        return self._take_actions()

    def write_completed(self, now: float, number: int) -> list[Action]:
        """Reports that the `Write` with this number, and all before it, are on disk."""
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
        """Takes a snapshot, if one is due, and trims the log.

        `body`: the encoded state after all entries delivered so far.
        """
        if self.due_for_snapshot():
            self._save_snapshot(body)
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Does what is due: heartbeats, elections, changes of voters, requests to leave."""
        if self.leading:
            self._leader_tick(now)
        else:
            self._election_tick(now)
        self._leave_tick(now)
        return self._take_actions()

    def _leader_tick(self, now: float) -> None:
        responsive = {
            i for i, p in self.peers.items() if now - p.last_reply_at < self.timing.quorum_timeout
        } | {self.me.id}
        if not self.voters.majority(responsive):
            self._step_down(now)
            return
        self._expire_requests(now)
        self._change_voters(now)
        if self.last_seq - self.durable_seq > MAX_IN_FLIGHT:  # this replica's own disk makes no progress
            self._transfer_leadership(now)
        if self.leading and now >= self.heartbeat_at:
            self._broadcast(now)

    def receive(self, now: float, message: Message, ip: str, to: str = "") -> list[Action]:
        """Handles a message from the address `ip`.

        `to`: id of the disk that the message is meant for, "" if not stated. A message for another disk than
        the one that is at this address now is counted as stale and ignored.
        """
        if to and to != self.me.id:
            self.stale_messages += 1
        elif isinstance(message, JoinRequest):
            self._handle_join_request(now, message)
        elif message.sender != self.me.id:
            # When full, all are dropped: each is known again from its next message.
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
