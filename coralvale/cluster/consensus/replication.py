"""Replication: entries and snapshots from the leader to the others, commits, and the read barrier."""

from __future__ import annotations

from collections import deque

from coralvale.cluster.consensus.election import Elections
from coralvale.cluster.consensus.messages import (
    ROUND_UNKNOWN,
    Append,
    AppendReply,
    Entry,
    Member,
    Send,
    Settled,
    Snapshot,
    SnapshotPart,
    SnapshotPartReply,
)
from coralvale.cluster.consensus.snapshot import SnapshotDownload, SnapshotUpload
from coralvale.cluster.consensus.state import Progress

KEPT_ENTRIES = 512  # kept behind a snapshot: a replica that lags by less needs no snapshot
KEPT_BYTES = 2 * 1024 * 1024  # of the bodies of these entries
SNAPSHOT_EVERY_ENTRIES = 512
SNAPSHOT_EVERY_BYTES = 4 * 1024 * 1024  # of entry bodies: the disk has room for 64 MB
MAX_KEPT_ENTRIES = 2048  # while replicas are receiving a snapshot
MAX_KEPT_BYTES = 8 * 1024 * 1024  # of the bodies of these entries
MAX_BATCH_ENTRIES = 64  # in one message
MAX_BATCH_BYTES = 256 * 1024  # of entry bodies in one message, unless a single entry is larger
MIN_LINK_BYTES_PER_S = 64 * 1024  # on a slower link a long entry may be sent twice
MAX_IN_FLIGHT = 256  # entries proposed and not yet committed
REMEMBERED_ROUNDS = 64  # broadcasts whose send time is remembered
NO_ROUND = 0  # in a reply to anything but a broadcast


class Replication(Elections):
    """Log replication. Replies tell what a follower has on disk; what is on a majority's disks is
    committed."""

    kept_entries = KEPT_ENTRIES
    snapshot_every = SNAPSHOT_EVERY_ENTRIES
    round = 0  # number of this replica's last broadcast as a leader; not reset at a new view
    read_rounds: deque[tuple[int, int]]  # read barriers: the round that a majority must answer, the token
    round_times: deque[tuple[int, float]]  # recent rounds and when they were sent
    download: SnapshotDownload

    def _begin_replication(self) -> None:
        self.read_rounds, self.round_times = deque(), deque(maxlen=REMEMBERED_ROUNDS)
        self.download = SnapshotDownload()

    def _step_down(self, now: float) -> None:
        self.actions += [Settled(token, False) for _, token in self.read_rounds]
        self.read_rounds.clear()
        super()._step_down(now)

    # The leader

    def _broadcast(self, now: float) -> None:
        self.round += 1
        self.round_times.append((self.round, now))
        self.heartbeat_at = now + self.timing.heartbeat_interval
        self._replicate(now, heartbeat=True)

    def _replicate(self, now: float, heartbeat: bool = False) -> None:
        for member_id, member in self._other_replicas().items():
            progress = self.peers.setdefault(member_id, Progress(self.last_seq + 1, last_reply_at=now))
            self._replicate_to(now, member, progress, heartbeat)

    def _replicate_to(self, now: float, member: Member, progress: Progress, heartbeat: bool) -> None:
        if progress.next_seq <= self.log_start:
            self._send_snapshot_part(now, member, progress)
            if heartbeat:
                self._send_append(member, progress, self.log_start, ())
            return
        progress.upload = None
        may_send = not progress.in_flight_seq or now >= progress.resend_at
        entries = self._batch(progress.next_seq) if may_send else ()
        if not entries and not heartbeat:
            return
        self._send_append(member, progress, progress.next_seq - 1, entries)
        if entries:
            size = sum(len(entry.body) for entry in entries)
            progress.resend_at = now + self.timing.resend_after + size / MIN_LINK_BYTES_PER_S
            progress.in_flight_seq = entries[-1].seq

    def _send_append(
        self, member: Member, progress: Progress, before: int, entries: tuple[Entry, ...]
    ) -> None:
        progress.commit_sent = max(progress.commit_sent, min(self.commit, before + len(entries)))
        view = self._view_of(before) or 0
        append = Append(self.view, self.me.id, before, view, self.commit, entries, self.round)
        self.actions.append(Send(member, append))

    def _batch(self, first: int) -> tuple[Entry, ...]:
        """Entries from `first` on, bounded in number and bytes, but at least one if there is any."""
        batch: list[Entry] = []
        size = 0
        for index in range(
            first - self.log_start - 1, min(first - self.log_start - 1 + MAX_BATCH_ENTRIES, len(self.entries))
        ):
            entry = self.entries[index]
            size += len(entry.body)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def _send_snapshot_part(self, now: float, member: Member, progress: Progress) -> None:
        if progress.upload is None or progress.upload.seq < self.log_start:
            progress.upload = SnapshotUpload.of(self.snapshot)
        if part := progress.upload.next_part(now, self.view, self.me.id):
            self.actions.append(Send(member, part))

    def _handle_append_reply(self, now: float, reply: AppendReply) -> None:
        if reply.view > self.view:
            self._enter_view(now, reply.view, "")
            return
        progress = self.peers.get(reply.sender)
        if not self.leading or reply.view != self.view or progress is None:
            self.stale_messages += 1
            return
        progress.last_reply_at = now
        self._record_round(now, progress, reply.round)
        if not reply.accepted or reply.seq >= progress.in_flight_seq:
            progress.in_flight_seq = 0
        if reply.accepted:
            progress.match_seq = max(progress.match_seq, reply.seq)
            progress.next_seq = progress.match_seq + 1
            self._advance_commit(now)
        else:
            # Back by at least one entry, or at once to the entry after the follower's hint.
            progress.next_seq = max(1, min(progress.next_seq - 1, reply.seq + 1))
        self._replicate_after_reply(now, reply.sender, progress)

    def _replicate_after_reply(self, now: float, member_id: str, progress: Progress) -> None:
        member = self._other_replicas().get(member_id)
        if member is None or not self.leading:
            return
        if progress.next_seq <= self.last_seq:
            self._replicate_to(now, member, progress, heartbeat=False)
        elif progress.commit_sent < self.commit:
            self._send_append(member, progress, progress.match_seq, ())

    def _record_round(self, now: float, progress: Progress, number: int) -> None:
        """Notes which broadcast a reply answers.

        Contact counts from the time when that broadcast was sent, so that old replies which a suspended
        process reads late prove nothing. A reply from a version that sends no round cannot be checked in
        this way: it counts as contact when it arrives, but never confirms a read.
        """
        if number == ROUND_UNKNOWN:
            progress.contact_at = now
        elif number > progress.round:
            progress.round = number
            progress.contact_at = next((at for n, at in self.round_times if n == number), progress.contact_at)
            self._confirm_reads()

    def _advance_commit(self, now: float) -> None:
        """Commits what is on disk at a majority. Entries of earlier views are committed only together with a
        later entry of this view."""
        for seq in range(self.last_seq, self.commit, -1):
            if self._view_of(seq) != self.view:
                return
            holders = {i for i, p in self.peers.items() if p.match_seq >= seq}
            if self.durable_seq >= seq:
                holders.add(self.me.id)
            if self.voters.majority(holders):
                self.commit = seq
                self._deliver()
                self._advance_voter_change(now)
                if self.leading:
                    self._broadcast(now)
                return

    def _advance_voter_change(self, now: float) -> None:
        """Called when the commit index advances: a change of voters may have to proceed."""

    # The read barrier

    def _read_barrier(self, now: float, token: int) -> None:
        """Starts a barrier that succeeds once a majority has answered a broadcast sent after this call."""
        self._broadcast(now)
        self.read_rounds.append((self.round, token))
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        while self.read_rounds:
            number, token = self.read_rounds[0]
            answered = {i for i, p in self.peers.items() if p.round >= number} | {self.me.id}
            if not self.voters.majority(answered):
                return
            self.read_rounds.popleft()
            self.actions.append(Settled(token, True))

    # A follower

    def _handle_append(self, now: float, append: Append) -> None:
        own_view = self._view_of(append.before_seq)
        if append.before_seq < self.log_start:
            # The append begins before this log, within what was delivered here earlier.
            self._answer_append(append, True, min(self.commit, self.durable_seq))
            return
        if own_view is None or own_view != append.before_view:
            # The hint lets the leader go back by more than one entry: this log ends before `before_seq`, or
            # differs there, and then only its committed entries are known to agree with the leader's log.
            hint = min(self.last_seq, append.before_seq - 1) if own_view is None else self.commit
            self._answer_append(append, False, hint)
            return
        truncate_from, fresh = self._merge_entries(append.entries)
        last_seq = append.before_seq + len(append.entries)
        self.commit, before = max(self.commit, min(append.commit, last_seq)), self.commit
        if fresh or truncate_from is not None:
            self._write(
                self._append_reply(append, last_seq), truncate_from=truncate_from, entries=tuple(fresh)
            )
        else:
            # Only entries on disk are acknowledged; the reply for the others waits for their write.
            self._answer_append(append, True, min(last_seq, self.durable_seq))
        if self.commit > before:
            self._deliver()

    def _merge_entries(self, entries: tuple[Entry, ...]) -> tuple[int | None, list[Entry]]:
        """Adds new entries, after removing uncommitted ones of an earlier view that conflict with them.

        Returns where the removal began (None if nothing was removed) and the new entries.
        """
        truncate_from: int | None = None
        fresh: list[Entry] = []
        for entry in entries:
            own_view = self._view_of(entry.seq)
            if not fresh and (own_view == entry.view or entry.seq <= self.commit):
                continue
            if own_view is not None and not fresh:
                truncate_from = entry.seq
                self._truncate_from(entry.seq)
            fresh.append(entry)
            self._add_entry(entry)
        return truncate_from, fresh

    def _append_reply(self, append: Append, seq: int) -> list[Send]:
        sender = self._member(append.sender)
        reply = AppendReply(self.view, self.me.id, True, seq, append.round)
        return [Send(sender, reply)] if sender else []

    def _answer_append(self, append: Append, accepted: bool, seq: int) -> None:
        self._reply(append.sender, AppendReply(self.view, self.me.id, accepted, seq, append.round))

    # Snapshots

    def _handle_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        if part.seq <= self.commit and self.bootstrapped:
            agreed = min(self.commit, self.durable_seq)
            self._reply(part.sender, AppendReply(self.view, self.me.id, True, agreed, NO_ROUND))
            return
        snapshot = self.download.add_part(part)
        if snapshot is None:
            offset = len(self.download.data)
            self._reply(part.sender, SnapshotPartReply(self.view, self.me.id, part.checksum, offset))
            return
        self._install_snapshot(snapshot)
        sender = self._member(part.sender)
        reply = AppendReply(self.view, self.me.id, True, snapshot.seq, NO_ROUND)
        self._write(
            [Send(sender, reply)] if sender else [],
            truncate_from=0,
            snapshot=snapshot,
            trim_below=snapshot.seq,
        )

    def _handle_snapshot_part_reply(self, now: float, reply: SnapshotPartReply) -> None:
        progress = self.peers.get(reply.sender)
        if not self.leading or reply.view != self.view or progress is None or progress.upload is None:
            self.stale_messages += 1
            return
        progress.last_reply_at = now
        member = self._other_replicas().get(reply.sender)
        if progress.upload.acknowledge(reply.checksum, reply.offset) and member:
            self._replicate_to(now, member, progress, heartbeat=False)

    def due_for_snapshot(self) -> bool:
        """Whether `save_snapshot` should be called: enough entries or bytes were delivered since the last
        snapshot."""
        many = self.applied - self.snapshot.seq > self.snapshot_every
        large = self.applied_bytes > SNAPSHOT_EVERY_BYTES
        return (many or large) and self.applied == self.commit

    def _save_snapshot(self, body: bytes) -> None:
        seq = self.applied
        self.applied_bytes = 0
        self.snapshot = Snapshot(seq, self._view_of(seq) or 0, self._voters_at(seq), body)
        upload_seqs = [p.upload.seq for p in self.peers.values() if p.upload]
        start = min([self._trim_start(seq, self.kept_entries, KEPT_BYTES), *upload_seqs])
        self._trim(max(start, self._trim_start(seq, MAX_KEPT_ENTRIES, MAX_KEPT_BYTES)))
        self._write([], snapshot=self.snapshot, trim_below=self.log_start)

    def _trim_start(self, seq: int, most: int, most_bytes: int) -> int:
        """The entry after which at most `most` entries, with at most `most_bytes` of bodies, follow up to
        `seq`."""
        size = 0
        for start in range(seq, max(self.log_start, seq - most), -1):
            size += len(self.entries[start - self.log_start - 1].body)
            if size > most_bytes:
                return start
        return seq - most

    def _trim(self, start: int) -> None:
        """Removes entries up to `start`, and voter sets that the snapshot contains."""
        while self.entries and self.entries[0].seq <= start:
            first = self.entries.popleft()
            self.log_start, self.log_start_view = first.seq, first.view
        while self.voter_log and self.voter_log[0][0] <= self.snapshot.seq:
            self.voter_log.popleft()
