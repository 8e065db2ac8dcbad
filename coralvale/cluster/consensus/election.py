"""Elections: pre-votes, votes, the start and the end of a leadership."""

from __future__ import annotations

from coralvale.cluster.consensus.messages import (
    NO_OP,
    Send,
    Settled,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from coralvale.cluster.consensus.state import Progress, ReplicaState


class Elections(ReplicaState):
    """Leader election with pre-votes, after Ongaro and Ousterhout (ATC 2014)."""

    pre_votes: set[str] | None = None  # ids that would vote for this replica; None while it does not ask
    votes: set[str] | None = None  # ids that voted for this replica; None while it is no candidate
    # Number of the write with this replica's own vote: the vote counts only once that is on disk.
    vote_write_number = 0

    def _enter_view(self, now: float, view: int, leader: str) -> None:
        """Enters a newer view, or follows its leader; ends an own leadership or candidacy."""
        if self.leading or self.tokens:
            self._step_down(now)
        if view > self.view:
            self.view, self.vote = view, ""
        self.leader, self.leading = leader, False
        self.pre_votes = self.votes = None

    def _step_down(self, now: float) -> None:
        """Ends a leadership. Proposals made here are answered as not accepted: their outcome is not known
        here."""
        self.leading, self.leader = False, ""
        self.leader_heard_at, self.election_wait = now, self._random_election_wait()
        self.peers.clear()
        self.actions += [Settled(token, False) for token in self.tokens.values()]
        self.tokens.clear()

    def _random_election_wait(self) -> float:
        return self.timing.election_timeout * (1 + self.rng.random())

    # A candidate

    def _election_tick(self, now: float) -> None:
        if now - self.leader_heard_at <= self.election_wait:
            return
        if not self.is_voter:
            self.leader = ""
            return
        self.leader_heard_at, self.election_wait, self.leader = now, self._random_election_wait(), ""
        if not self.leaving:
            self._request_pre_votes()

    def _vote_request(self, view: int, pre_vote: bool, transferred: bool = False) -> VoteRequest:
        last_view = self._view_of(self.last_seq) or 0
        return VoteRequest(view, self.me.id, last_view, self.last_seq, pre_vote, transferred)

    def _to_voters(self, request: VoteRequest) -> list[Send]:
        return [Send(m, request) for m in self.voters.all().values() if m.id != self.me.id]

    def _request_pre_votes(self) -> None:
        self.pre_votes, self.votes = {self.me.id}, None
        self.actions += self._to_voters(self._vote_request(self.view + 1, True))
        if self.voters.majority(self.pre_votes):
            self._campaign(self.leader_heard_at)

    def _campaign(self, now: float, transferred: bool = False) -> None:
        """Starts an election. The own vote counts, and the requests go out, once the vote is on disk."""
        self.view, self.vote, self.leader = self.view + 1, self.me.id, ""
        self.leader_heard_at, self.election_wait = now, self._random_election_wait()
        self.pre_votes, self.votes = None, {self.me.id}
        self._write(self._to_voters(self._vote_request(self.view, False, transferred)))
        self.vote_write_number = self.write_number

    def _handle_vote_reply(self, now: float, reply: VoteReply) -> None:
        if reply.view > self.view and not reply.granted:
            self._enter_view(now, reply.view, "")
        elif not reply.granted:
            return
        elif reply.pre_vote:
            if self.pre_votes is not None and reply.view == self.view + 1:
                self.pre_votes.add(reply.sender)
                if self.voters.majority(self.pre_votes):
                    self._campaign(now)
        elif self.votes is not None and reply.view == self.view and not self.leading:
            self.votes.add(reply.sender)
            self._lead_if_elected(now)

    def _lead_if_elected(self, now: float) -> None:
        if (
            self.votes is not None
            and self.written_number >= self.vote_write_number
            and self.voters.majority(self.votes)
        ):
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        """Becomes the leader of this view, with all entries of the own log."""
        self.pre_votes = self.votes = None
        self.leading, self.leader = True, self.me.id
        self.peers = {
            i: Progress(self.last_seq + 1, last_reply_at=now, contact_at=now) for i in self._other_replicas()
        }
        self._append(now, NO_OP)

    # A voter

    def _handle_vote_request(self, now: float, request: VoteRequest) -> None:
        as_new = (request.last_view, request.last_seq) >= (self._view_of(self.last_seq) or 0, self.last_seq)
        # A replica in contact with a leader refuses other candidates, except one that a leader has named.
        hears_leader = self.in_contact(now)
        if request.pre_vote:
            granted = as_new and request.view > self.view and not hears_leader
            self._reply(
                request.sender, VoteReply(request.view if granted else self.view, self.me.id, granted, True)
            )
            return
        if request.view > self.view and (request.transferred or not hears_leader):
            self._enter_view(now, request.view, "")
        if as_new and request.view == self.view and self.vote in ("", request.sender) and not self.leader:
            self.vote, self.leader_heard_at = request.sender, now
            if member := self._member(request.sender):
                self._write([Send(member, VoteReply(self.view, self.me.id, True))])
        else:
            self._reply(request.sender, VoteReply(self.view, self.me.id, False))

    # A leader that leaves

    def _transfer_leadership(self, now: float) -> None:
        """Hands leadership to the reachable voter that has the most entries on disk."""
        voters = self.voters.all()
        reachable = [
            (p.match_seq, i)
            for i, p in self.peers.items()
            if i in voters and now - p.last_reply_at < self.timing.quorum_timeout and not self._is_leaving(i)
        ]
        if reachable:
            self.actions.append(Send(voters[max(reachable)[1]], TransferLeadership(self.view, self.me.id)))

    def _is_leaving(self, member_id: str) -> bool:
        """Whether the replica with this id has asked to leave; `Membership` keeps track of that."""
        return False
