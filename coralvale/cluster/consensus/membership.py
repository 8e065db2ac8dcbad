"""Membership changes: learners, the replacement of voters, and the orderly leave of a replica.

Each change goes through a joint configuration. While it is in progress, every decision, including the end of
the change itself, needs majorities of both the old and the new set. Only one change is in progress at a time,
and none starts before an entry of the leader's own view is committed.
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
LEARNER_TIMEOUT_S = 3.0  # without a join request until a learner is dropped
LEAVE_TIMEOUT_S = 1.5  # without a leave request: the process has ended, or no longer wants to leave
LEAVE_REQUEST_INTERVAL_S = 0.2  # between the requests of a leaving replica
LEARNER_MAX_SILENT_HEARTBEATS = 4  # a learner silent for longer is not made a voter


class Membership(Replication):
    """At the leader: learners, leaving replicas and the next voters. At a leaving replica: whether it may
    stop."""

    learners: dict[str, tuple[Member, float]]  # by id, with the time of the last join request
    # Unlike `leaving`, which says that this replica itself is being stopped:
    departing: dict[str, float]  # ids of replicas that ask to leave, with the time of the last request
    safe_to_stop = False  # this replica is leaving, and all that is committed is safe without it
    leave_requested_at = -1e9

    def _begin_membership(self) -> None:
        self.learners, self.departing = {}, {}

    def _learners(self) -> dict[str, Member]:
        return {i: member for i, (member, _) in self.learners.items()}

    def _step_down(self, now: float) -> None:
        super()._step_down(now)
        self.learners.clear()
        self.departing.clear()

    def _is_leaving(self, member_id: str) -> bool:
        return member_id in self.departing

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
        for member_id, (_, asked) in list(self.learners.items()):
            if now - asked > LEARNER_TIMEOUT_S:
                del self.learners[member_id]
                if member_id not in self.voters.all():
                    self.peers.pop(member_id, None)
        for member_id, asked in list(self.departing.items()):
            if now - asked > LEAVE_TIMEOUT_S:
                del self.departing[member_id]

    def _ready_learners(self, now: float) -> list[Member]:
        """Learners that hold all that is committed, and reply."""
        ready = []
        for member_id, (member, _) in self.learners.items():
            progress = self.peers.get(member_id)
            if progress is None or member_id in self.departing:
                continue
            holds_all = progress.match_seq >= self.commit and progress.match_seq > 0
            if (
                holds_all
                and now - progress.last_reply_at
                <= self.timing.heartbeat_interval * LEARNER_MAX_SILENT_HEARTBEATS
            ):
                ready.append(member)
        return ready

    # Changes

    def _voters_changing(self) -> bool:
        """Whether a change of voters is in progress, or no entry of this view is committed yet."""
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
        """Ends a joint configuration once it is committed; a leader that has lost its vote by it steps
        down."""
        voters = self.voters
        for member_id in [member_id for member_id in self.learners if member_id in voters.all()]:
            del self.learners[member_id]
        if not self.leading or self._voters_at(self.commit) != voters:
            return
        if voters.old:
            self._append(now, VOTERS, encode_voters(VoterSet(voters.new)))
        elif self.me.id not in voters.all():
            self._step_down(now)

    # Leaving

    def _leave_tick(self, now: float) -> None:
        """While this replica is leaving: as the leader, hands over; else asks the leader whether it may
        stop."""
        if not self.leaving or now - self.leave_requested_at < LEAVE_REQUEST_INTERVAL_S:
            return
        self.leave_requested_at = now
        if self.leading and len(self.voters.all()) == 1:
            self.safe_to_stop = True  # it is the only voter
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

    def _safe_without(self, member_id: str) -> bool:
        """Whether all that is committed is on disk at a majority of the voters that stay, which are those
        that have not asked to leave."""
        if self._voters_changing():
            return False
        remaining = [m.id for m in self.voters.new if m.id not in self.departing]
        holders = {i for i, p in self.peers.items() if p.match_seq >= self.commit}
        if self.durable_seq >= self.commit:
            holders.add(self.me.id)
        return 2 * sum(i in holders for i in remaining) > len(remaining)

    def _handle_leave_reply(self, reply: LeaveReply) -> None:
        if self.leaving and reply.view == self.view:
            self.safe_to_stop = self.safe_to_stop or reply.safe
