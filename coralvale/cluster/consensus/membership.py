"""Changes of the voters by agreement: learners, replacement, and a replica that leaves in order.

Each change is a joint configuration: while it is on its way majorities of the old and the new set are needed
for all, the end of the change itself too; one change at a time, and none before an entry of the leader's own
view is committed.
"""

from __future__ import annotations

from coralvale.cluster.consensus.messages import (
    VOTERS,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    Member,
    Send,
    VoterSet,
)
from coralvale.cluster.consensus.replication import Replication
from coralvale.cluster.consensus.state import Progress
from coralvale.cluster.consensus.voters import Limits, encode_voters, next_voters

MAX_LEARNERS = 16
LEARNER_TIMEOUT_S = 3.0  # s without a request
LEAVE_TIMEOUT_S = 1.5  # s: the process has ended, or its leave was taken back
LEAVE_REQUEST_INTERVAL_S = 0.2  # s between a leaving replica's requests
READY_MAX_SILENT_HEARTBEATS = 4  # heartbeats without a reply after which a learner is not taken


class Membership(Replication):
    """At the leader: who learns, who leaves, which voters follow. At one that leaves: whether it may end."""

    learners: dict[str, tuple[Member, float]]  # and when they asked last
    departing: dict[str, float]  # replicas that ask to leave, and when they did last
    safe_to_stop = False  # this replica leaves, and what is committed is safe without it
    leave_requested_at = -1e9

    def _begin_membership(self) -> None:
        self.learners, self.departing = {}, {}

    def _learners(self) -> dict[str, Member]:
        return {i: member for i, (member, _) in self.learners.items()}

    def _step_down(self, now: float) -> None:
        super()._step_down(now)
        self.learners.clear()
        self.departing.clear()

    def _is_leaving(self, name: str) -> bool:
        return name in self.departing

    # Learners

    def _handle_join_request(self, now: float, request: JoinRequest) -> None:
        member = request.member
        if not self.leading or member.id in self.voters.all():
            return
        if member.id not in self.learners:
            if len(self.learners) >= MAX_LEARNERS:
                return
            self.peers[member.id] = Progress(self.last_seq + 1, last_reply_at=now)
        self.learners[member.id] = (member, now)

    def _expire_requests(self, now: float) -> None:
        for name, (_, asked) in list(self.learners.items()):
            if now - asked > LEARNER_TIMEOUT_S:
                del self.learners[name]
                if name not in self.voters.all():
                    self.peers.pop(name, None)
        for name, asked in list(self.departing.items()):
            if now - asked > LEAVE_TIMEOUT_S:
                del self.departing[name]

    def _ready_learners(self, now: float) -> list[Member]:
        """Those that hold all that is committed, and answer."""
        ready = []
        for name, (member, _) in self.learners.items():
            progress = self.peers.get(name)
            if progress is None or name in self.departing:
                continue
            holds_all = progress.match_seq >= self.commit and progress.match_seq > 0
            if (
                holds_all
                and now - progress.last_reply_at
                <= self.timing.heartbeat_interval * READY_MAX_SILENT_HEARTBEATS
            ):
                ready.append(member)
        return ready

    # Changes

    def _voters_changing(self) -> bool:
        """Whether a change of voters is on its way, or this view's first entry is."""
        if self.voters.old or self._view_of(self.commit) != self.view:
            return True
        return bool(self.voter_log) and self.voter_log[-1][0] > self.commit

    def _planned_voters(self, now: float) -> tuple[Member, ...] | None:
        silent = {i: now - p.last_reply_at for i, p in self.peers.items()}
        limits = Limits(self.timing.min_voters, self.timing.replace_after, self.timing.remove_spare_after)
        return next_voters(self.voters.new, self._ready_learners(now), silent, self.departing.keys(), limits)

    def _change_voters(self, now: float) -> None:
        if self._voters_changing():
            return
        if (planned := self._planned_voters(now)) is not None:
            self._append(now, VOTERS, encode_voters(VoterSet(planned, self.voters.new)))

    def _advance_voter_change(self, now: float) -> None:
        """A change that all know of is ended; a leader that has no vote any more steps down."""
        voters = self.voters
        for name in [name for name in self.learners if name in voters.all()]:
            del self.learners[name]
        if not self.leading or self._voters_at(self.commit) != voters:
            return
        if voters.old:
            self._append(now, VOTERS, encode_voters(VoterSet(voters.new)))
        elif self.me.id not in voters.all():
            self._step_down(now)

    # Leaving

    def _leave_tick(self, now: float) -> None:
        """A replica that is being stopped: a leader names another, the others ask whether they may end."""
        if not self.leaving or now - self.leave_requested_at < LEAVE_REQUEST_INTERVAL_S:
            return
        self.leave_requested_at = now
        if self.leading and len(self.voters.all()) == 1:
            self.safe_to_stop = True  # there is nobody else
        elif self.leading:
            self._transfer_leadership(now)
        elif self.leader:
            self._reply(self.leader, LeaveRequest(self.view, self.me.id))

    def _handle_leave_request(self, now: float, request: LeaveRequest) -> None:
        if not self.leading or (member := self._member(request.sender)) is None:
            return
        self.departing[request.sender] = now
        self._change_voters(now)
        safe = self._safe_without(request.sender)
        self.actions.append(Send(member, LeaveReply(self.view, self.me.id, safe)))

    def _safe_without(self, name: str) -> bool:
        """Whether all that is committed is on disk at a majority of the voters that stay."""
        if self._voters_changing():
            return False
        stay = [m.id for m in self.voters.new if m.id not in self.departing]
        has = {i for i, p in self.peers.items() if p.match_seq >= self.commit}
        if self.durable_seq >= self.commit:
            has.add(self.me.id)
        return 2 * sum(i in has for i in stay) > len(stay)

    def _handle_leave_reply(self, reply: LeaveReply) -> None:
        if self.leaving and reply.view == self.view:
            self.safe_to_stop = self.safe_to_stop or reply.safe
