"""One order of changes among the members of a view, without I/O.

Sources: K. Birman, T. Joseph, "Exploiting virtual synchrony in distributed systems" (SOSP 1987), for views
that stop, trim and go on; B. Liskov, J. Cowling, "Viewstamped Replication Revisited" (2012) and D. Ongaro,
J. Ousterhout, "In search of an understandable consensus algorithm" (ATC 2014), for what must be compared
when a view ends, the trial round, and joint majorities while members change. Words: the holder (primary,
leader) of a view orders; a member votes in a view at most once; `commit` is what all may deliver.

What holds at every moment, and what each rule is for:

1. A view has at most one holder: a vote is on disk before it is sent, and majorities meet.
2. What was delivered is in the log of every later holder: an entry counts only when it is on disk at a
majority, and
   a vote is given only to a log that is at least as new.
3. A disk that was lost is nobody's: a member's id is drawn with its disk, so a lost one can neither vote
again nor
   be counted; the machine comes back under a new id and is seated only after it holds all that was delivered.
4. While members change, majorities of the old and the new are needed for all, the end of the change itself
too.
5. The holder that hears no majority for `silence` stops: one that can send and not hear would else hold up
the view.
"""

from __future__ import annotations

import random
from collections import deque

from attrs import define, field, frozen

from coralvale.cluster.consensus.messages import (
    CHANGE,
    OPENING,
    READ,
    SEATS,
    Action,
    Ballot,
    Canvass,
    Copy,
    Deliver,
    Entry,
    Extend,
    Extended,
    Join,
    Member,
    Message,
    Restore,
    Saved,
    Seats,
    Send,
    Settled,
    Successor,
    Write,
)
from coralvale.cluster.consensus.voters import pack_seats, unpack_seats

KEPT = 64  # entries that are kept one by one behind what is delivered; a member further back gets a copy
BATCH = 16  # entries in one message
ASPIRANTS = 16  # disks that wait for a seat
COPY_AGAIN = 2.0  # s until a copy that was not answered is sent again: it may be long
STRANGERS = 64  # senders of no seat whose address is kept, to answer them


@frozen
class Terms:
    """Times in seconds."""

    beat: float = 0.15  # between words of the holder
    patience: float = 0.6  # without a word until a member canvasses, to twice this by lot
    silence: float = 0.9  # without a majority's word until a holder stops
    gone: float = 1.5  # without a word until a member's seat may go to another disk
    spare: float = 8.0  # the same for a member that is not needed for the budget
    again: float = 0.4  # until what was not answered is sent again
    least: int = 3  # members below which nothing is acknowledged: what the fault budget needs


@define
class Record:
    """What is on disk when a member starts."""

    view: int = 0
    vote: str = ""
    commit: int = 0
    saved: Saved | None = None
    entries: list[Entry] = field(factory=list)


@define
class Peer:
    """What the holder knows of another."""

    next: int
    match: int = 0
    heard: float = 0.0
    sent: float = -1.0
    asked: int = 0  # up to where entries are out, unanswered; 0: none are
    told: int = 0  # up to where it knows that all is delivered


class Graft:
    """One member. `tick` is to be called at least every `beat`; each call returns actions to carry out in
    order."""

    def __init__(self, me: Member, record: Record, terms: Terms, chance: random.Random, now: float) -> None:
        self.me, self.terms, self.chance = me, terms, chance
        self.view, self.vote = record.view, record.vote
        self.base = record.saved or Saved(0, 0, Seats(()), b"")
        self.entries = deque(record.entries)
        self.commit = max(self.base.seq, min(record.commit, self.last))
        self.delivered = self.base.seq
        self.holder: str = ""  # of this view, "" while there is none
        self.holding = False
        self.heard = now  # the holder's last word
        # One that starts asks soon: where there is a holder, a trial does no harm.
        self.wait = self.terms.patience * (0.2 + 0.5 * self.chance.random())
        self.trial: set[str] | None = None
        self.given: set[str] | None = None
        self.canvassed = 0  # the write that has the own vote
        self.known: dict[str, Member] = {}  # of no seat, by what they sent
        self.peers: dict[str, Peer] = {}
        self.aspirants: dict[str, tuple[Member, float]] = {}
        self.tokens: dict[int, int] = {}  # seq: token of what was proposed here in this view
        self.durable = self.last
        self.number = self.written = 0
        self.after: deque[tuple[int, int, list[Send]]] = (
            deque()
        )  # write, entries on disk by it, words after it
        self.out: list[Action] = []
        self.beat_at = now

    # What is known

    @property
    def last(self) -> int:
        return self.entries[-1].seq if self.entries else self.base.seq

    def _view_of(self, seq: int) -> int | None:
        if seq == self.base.seq:
            return self.base.view
        at = seq - self.base.seq - 1
        return self.entries[at].view if 0 <= at < len(self.entries) else None

    @property
    def seats(self) -> Seats:
        """Of the newest entry that names them, whether it is delivered or not."""
        return self._seats_at(self.last)

    def _seats_at(self, seq: int) -> Seats:
        for entry in reversed(self.entries):
            if entry.kind == SEATS and entry.seq <= seq:
                return unpack_seats(entry.body)
        return self.base.seats

    @property
    def seated(self) -> bool:
        return self.me.id in self.seats.all()

    @property
    def founded(self) -> bool:
        return bool(self.seats.new)

    @property
    def settled(self) -> bool:
        """Whether this member knows that it has delivered all that was delivered when its view began."""
        return bool(self.holder) and self._view_of(self.commit) == self.view

    def attached(self, now: float) -> bool:
        """Whether this member is, as far as it can know, on the side that goes on."""
        if self.holding:
            heard = {i for i, p in self.peers.items() if now - p.heard < self.terms.patience} | {self.me.id}
            return self.seats.majority(heard)
        return bool(self.holder) and now - self.heard < self.terms.patience

    def astray(self, now: float) -> bool:
        """Whether this disk has to ask for a seat: it has none, or hears no holder, and may have lost the one
        that it knows of while it was away. A holder passes over those that are seated."""
        return not self.seated or (not self.holding and not self.attached(now))

    def _lot(self) -> float:
        return self.terms.patience * (1 + self.chance.random())

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    # Events

    def start(self, now: float) -> list[Action]:
        """Delivers again what was delivered before this process began."""
        if self.base.seq or self.base.seats.new:
            self.out.append(Restore(self.base))
        self._deliver()
        return self._done()

    def found(self, now: float) -> list[Action]:
        """The first member of all: there is nobody else yet. To be called once in a system's life."""
        assert not self.founded and not self.last and not self.view
        self.view, self.vote, self.holder, self.holding = 1, self.me.id, self.me.id, True
        self._append(now, SEATS, pack_seats(Seats((self.me,))))
        return self._done()

    def propose(self, now: float, token: int, kind: int, body: bytes) -> list[Action]:
        """To be ordered; `Settled(token)` answers it, once."""
        if not self.holding or (kind == CHANGE and len(self.seats.new) < self.terms.least):
            self.out.append(Settled(token, False))
        else:
            self.tokens[self.last + 1] = token
            self._append(now, kind, body)
        return self._done()

    def leave(self, now: float) -> list[Action]:
        """The process ends: a holder names the member whose disk has the most."""
        if self.holding:
            there = [(p.match, i) for i, p in self.peers.items() if now - p.heard < self.terms.silence]
            seated = self.seats.all()
            there = [(match, i) for match, i in there if i in seated]
            if there:
                self.out.append(Send(seated[max(there)[1]], Successor(self.view, self.me.id)))
        return self._done()

    def wrote(self, now: float, number: int) -> list[Action]:
        """A `Write` is on disk, and so are all before it."""
        self.written = max(self.written, number)
        while self.after and self.after[0][0] <= number:
            _, durable, sends = self.after.popleft()
            self.durable = min(durable, self.last)
            self.out += sends
        if self.holding:
            self._count(now)
        elif self.given is not None and number >= self.canvassed and self.seats.majority(self.given):
            self._begin(now)  # the only member: nobody else is asked
        return self._done()

    def tick(self, now: float) -> list[Action]:
        if self.holding:
            self._hold(now)
        elif not self.seated:
            if self.holder and now - self.heard > self.wait:
                self.holder = ""
        elif now - self.heard > self.wait:
            self.heard, self.wait = now, self._lot()
            self.holder = ""
            self._canvass(now, trial=True)
        return self._done()

    def receive(self, now: float, message: Message, ip: str) -> list[Action]:
        """A message has come from an address."""
        if isinstance(message, Join):
            self._join(now, message.member)
            return self._done()
        if message.sender == self.me.id:
            return self._done()
        if len(self.known) >= STRANGERS:
            self.known.clear()
        self.known[message.sender] = Member(message.sender, "", ip)
        if isinstance(message, Canvass):
            self._asked(now, message)
        elif isinstance(message, Ballot):
            self._counted(now, message)
        elif isinstance(message, Extended):
            self._answered(now, message)
        elif message.view >= self.view:  # what follows comes from the view's holder
            if isinstance(message, Successor):
                if message.view == self.view and self.seated and not self.holding:
                    self._canvass(now, trial=False, named=True)
                return self._done()
            if message.view > self.view or self.holder != message.sender:
                self._enter(now, message.view, message.sender)
            self.heard = now
            self.trial = self.given = None
            if isinstance(message, Extend):
                self._extend(now, message)
            else:
                self._copied(now, message)
        else:
            self._reply(message.sender, Extended(self.view, self.me.id, False, self.last))
        return self._done()

    # Views

    def _enter(self, now: float, view: int, holder: str) -> None:
        """Stops what was going on in the view before."""
        if self.holding or self.tokens:
            self._stop(now)
        if view > self.view:
            self.view, self.vote = view, ""
        self.holder, self.holding = holder, False

    def _stop(self, now: float) -> None:
        """What was proposed here is no longer this member's to settle."""
        self.holding, self.holder = False, ""
        self.heard, self.wait = now, self._lot()
        self.peers.clear()
        self.aspirants.clear()
        self.out += [Settled(token, False) for token in self.tokens.values()]
        self.tokens.clear()

    def _canvass(self, now: float, trial: bool, named: bool = False) -> None:
        if not trial:
            self.view, self.vote, self.holder = self.view + 1, self.me.id, ""
            self.heard, self.wait = now, self._lot()
        asks = Canvass(
            self.view + 1 if trial else self.view,
            self.me.id,
            self._view_of(self.last) or 0,
            self.last,
            trial,
            named,
        )
        sends = [Send(m, asks) for m in self.seats.all().values() if m.id != self.me.id]
        if trial:
            self.trial, self.given = {self.me.id}, None
            self.out += sends
            if self.seats.majority(self.trial):
                self._canvass(now, trial=False)
        else:
            # The own vote counts when it is on disk; the words go out then, so answers come after it.
            self.trial, self.given = None, {self.me.id}
            self._write(sends)
            self.canvassed = self.number

    def _asked(self, now: float, ask: Canvass) -> None:
        newer = (ask.last_view, ask.last_seq) >= (self._view_of(self.last) or 0, self.last)
        followed = self.holding or (bool(self.holder) and now - self.heard < self.terms.patience)
        if ask.trial:
            given = newer and ask.view > self.view and not followed
            self._reply(ask.sender, Ballot(ask.view if given else self.view, self.me.id, given, True))
            return
        if ask.view > self.view and (ask.named or not followed):
            if self.holding or self.tokens:
                self._stop(now)
            self.view, self.vote, self.holder = ask.view, "", ""
            self.trial = self.given = None
        given = newer and ask.view == self.view and self.vote in ("", ask.sender) and not self.holder
        if given:
            self.vote, self.heard = ask.sender, now
            if member := self._member(ask.sender):
                self._write([Send(member, Ballot(self.view, self.me.id, True))])
        else:
            self._reply(ask.sender, Ballot(self.view, self.me.id, False))

    def _counted(self, now: float, ballot: Ballot) -> None:
        if ballot.view > self.view and not ballot.given:
            if self.holding or self.tokens:
                self._stop(now)
            self.view, self.vote, self.holder = ballot.view, "", ""
            self.trial = self.given = None
            return
        if not ballot.given:
            return
        if ballot.trial:
            if self.trial is not None and ballot.view == self.view + 1:
                self.trial.add(ballot.sender)
                if self.seats.majority(self.trial):
                    self._canvass(now, trial=False)
        elif self.given is not None and ballot.view == self.view and not self.holding:
            self.given.add(ballot.sender)
            if self.seats.majority(self.given):
                self._begin(now)

    def _begin(self, now: float) -> None:
        """Holds the view, and goes on from all that this disk has."""
        self.trial = self.given = None
        self.holding, self.holder = True, self.me.id
        self.peers = {i: Peer(self.last + 1, heard=now) for i in self.seats.all() if i != self.me.id}
        self._append(now, OPENING, b"")

    # The holder

    def _append(self, now: float, kind: int, body: bytes) -> None:
        entry = Entry(self.last + 1, self.view, kind, body)
        self.entries.append(entry)
        self._write([], entries=(entry,))
        self._feed(now)

    def _others(self) -> dict[str, Member]:
        others = {i: m for i, m in self.seats.all().items() if i != self.me.id}
        others.update((i, m) for i, (m, _) in self.aspirants.items() if i not in others)
        return others

    def _feed(self, now: float, beat: bool = False) -> None:
        for i, member in self._others().items():
            peer = self.peers.setdefault(i, Peer(self.last + 1, heard=now))
            free = not peer.asked or now - peer.sent >= self.terms.again
            if not beat and not free:
                continue
            if peer.next <= self.base.seq:
                if not peer.asked or now - peer.sent >= COPY_AGAIN:
                    peer.sent, peer.asked = now, self.base.seq
                    self.out.append(Send(member, Copy(self.view, self.me.id, self.base)))
                continue
            at = peer.next - self.base.seq - 1
            some: tuple[Entry, ...] = ()
            if free:
                some = tuple(self.entries[k] for k in range(at, min(at + BATCH, len(self.entries))))
            if not some and not beat:
                continue
            before = peer.next - 1
            peer.told = max(peer.told, min(self.commit, before + len(some)))
            self.out.append(
                Send(
                    member,
                    Extend(self.view, self.me.id, before, self._view_of(before) or 0, self.commit, some),
                )
            )
            if some:
                peer.sent, peer.asked = now, some[-1].seq

    def _hold(self, now: float) -> None:
        heard = {i for i, p in self.peers.items() if now - p.heard < self.terms.silence} | {self.me.id}
        if not self.seats.majority(heard):
            self._stop(now)
            return
        for i, (_, asked) in list(self.aspirants.items()):
            if now - asked > 3.0:
                del self.aspirants[i]
                if i not in self.seats.all():
                    self.peers.pop(i, None)
        self._seat(now)
        if now >= self.beat_at:
            self.beat_at = now + self.terms.beat
            self._feed(now, beat=True)

    def _answered(self, now: float, answer: Extended) -> None:
        if answer.view > self.view:
            if self.holding or self.tokens:
                self._stop(now)
            self.view, self.vote, self.holder = answer.view, "", ""
            self.trial = self.given = None
            return
        if not self.holding or answer.view != self.view or (peer := self.peers.get(answer.sender)) is None:
            return
        peer.heard = now
        if not answer.fits or answer.seq >= peer.asked:
            peer.asked = 0
        if answer.fits:
            peer.match = max(peer.match, answer.seq)
            peer.next = peer.match + 1
            self._count(now)
        else:
            peer.next = max(1, min(peer.next - 1, answer.seq + 1))
        if peer.next <= self.last:
            self._feed(now)
        elif peer.told < self.commit and (member := self._others().get(answer.sender)):
            peer.told = self.commit
            view = self._view_of(peer.match) or 0
            self.out.append(Send(member, Extend(self.view, self.me.id, peer.match, view, self.commit)))

    def _count(self, now: float) -> None:
        """What is on disk at a majority is delivered; only an entry of this view tells of those before it."""
        commit = self.commit
        for seq in range(self.last, self.commit, -1):
            if self._view_of(seq) != self.view:
                break
            has = {i for i, p in self.peers.items() if p.match >= seq}
            if self.durable >= seq:
                has.add(self.me.id)
            if self.seats.majority(has):
                commit = seq
                break
        if commit > self.commit:
            self.commit = commit
            self._deliver()
            self._seated(now)
            if self.holding:
                self._feed(now, beat=True)
                self.beat_at = now + self.terms.beat

    # Members

    def _join(self, now: float, member: Member) -> None:
        if not self.holding or member.id in self.seats.all():
            return
        if member.id not in self.aspirants:
            if len(self.aspirants) >= ASPIRANTS:
                return
            self.peers[member.id] = Peer(self.last + 1, heard=now)
        self.aspirants[member.id] = (member, now)

    def _changing(self) -> bool:
        """Whether a change of members is on its way, or this view's first entry is."""
        if self.seats.old or self._view_of(self.commit) != self.view:
            return True
        return any(e.kind == SEATS and e.seq > self.commit for e in self.entries)

    def _seat(self, now: float) -> None:
        """Gives a seat to a disk that holds all, in place of one that is lost, or beside the others."""
        if self._changing():
            return
        now_in = self.seats.new
        silent = [
            (now - p.heard, m)
            for m in now_in
            if (p := self.peers.get(m.id)) and now - p.heard > self.terms.gone
        ]
        for i, (member, _) in self.aspirants.items():
            peer = self.peers.get(i)
            if peer is None or peer.match < self.commit or peer.match == 0:
                continue
            if now - peer.heard > self.terms.beat * 4:
                continue
            same = [m for m in now_in if m.ip == member.ip or m.name == member.name]
            lost = same[0] if same else max(silent, key=lambda s: s[0])[1] if silent else None
            stay = tuple(m for m in now_in if lost is None or m.id != lost.id)
            self._append(now, SEATS, pack_seats(Seats((*stay, member), now_in)))
            return
        if len(now_in) > self.terms.least:
            for quiet, member in silent:
                if quiet > self.terms.spare:
                    stay = tuple(m for m in now_in if m.id != member.id)
                    self._append(now, SEATS, pack_seats(Seats(stay, now_in)))
                    return

    def _seated(self, now: float) -> None:
        """A change of members that all know of is ended; one that has no seat any more stops."""
        seats = self.seats
        for i in [i for i in self.aspirants if i in seats.all()]:
            del self.aspirants[i]
        if not self.holding or self._seats_at(self.commit) != seats:
            return
        if seats.old:
            self._append(now, SEATS, pack_seats(Seats(seats.new)))
        elif self.me.id not in seats.all():
            self._stop(now)

    # The others

    def _extend(self, now: float, word: Extend) -> None:
        at = self._view_of(word.before_seq)
        if word.before_seq < self.base.seq:
            # Its beginning is part of what was delivered here long ago.
            self._reply(word.sender, Extended(self.view, self.me.id, True, self.commit))
            return
        if at is None or at != word.before_view:
            hint = min(self.last, word.before_seq - 1) if at is None else self.commit
            self._reply(word.sender, Extended(self.view, self.me.id, False, hint))
            return
        cut: int | None = None
        fresh: list[Entry] = []
        for entry in word.entries:
            mine = self._view_of(entry.seq)
            if mine == entry.view and not fresh:
                continue
            if mine is not None and not fresh:  # trims what the view before left unsettled
                cut = entry.seq
                while self.entries and self.entries[-1].seq >= entry.seq:
                    self.entries.pop()
                self.durable = min(self.durable, entry.seq - 1)
                self.after = deque((n, min(d, entry.seq - 1), sends) for n, d, sends in self.after)
            fresh.append(entry)
            self.entries.append(entry)
        upto = word.before_seq + len(word.entries)
        commit = max(self.commit, min(word.commit, upto))
        delivers = commit > self.commit
        self.commit = commit
        sender = self._member(word.sender)
        sends = [Send(sender, Extended(self.view, self.me.id, True, upto))] if sender else []
        if fresh or cut is not None:
            self._write(sends, cut=cut, entries=tuple(fresh))
        elif self.after:
            # Everything before is not on disk yet: the word waits for it.
            number, durable, waiting = self.after[-1]
            self.after[-1] = (number, durable, [*waiting, *sends])
        else:
            self.out += sends
        if delivers:
            self._deliver()

    def _copied(self, now: float, word: Copy) -> None:
        saved = word.saved
        if saved.seq <= self.commit and self.founded:
            self._reply(word.sender, Extended(self.view, self.me.id, True, self.commit))
            return
        self.base, self.entries = saved, deque()
        self.commit = self.delivered = saved.seq
        self.out.append(Restore(saved))
        member = self._member(word.sender)
        word_back = Extended(self.view, self.me.id, True, saved.seq)
        self.after = deque((n, min(d, saved.seq), sends) for n, d, sends in self.after)
        self._write([Send(member, word_back)] if member else [], cut=0, saved=saved)

    def save(self, body: bytes) -> list[Action]:
        """What was delivered led to `body`: entries that are far behind need not be kept any more."""
        if self.delivered - self.base.seq > 2 * KEPT:
            seq = self.delivered
            view = self._view_of(seq) or 0
            self.base = Saved(seq, view, self._seats_at(seq), body)
            while self.entries and self.entries[0].seq <= seq:
                self.entries.popleft()
            self._write([], saved=self.base)
        return self._done()

    # Shared

    def _deliver(self) -> None:
        while self.delivered < self.commit:
            self.delivered += 1
            entry = self.entries[self.delivered - self.base.seq - 1]
            if entry.kind in (CHANGE, READ):
                self.out.append(Deliver(entry))
            if (token := self.tokens.pop(entry.seq, None)) is not None:
                self.out.append(Settled(token, True))

    def _write(
        self,
        sends: list[Send],
        cut: int | None = None,
        entries: tuple[Entry, ...] = (),
        saved: Saved | None = None,
    ) -> None:
        self.number += 1
        self.out.append(Write(self.number, self.view, self.vote, self.commit, cut, entries, saved))
        self.after.append((self.number, self.last, sends))

    def _member(self, name: str) -> Member | None:
        return self.seats.all().get(name) or self.known.get(name)

    def _reply(self, to: str, message: Message) -> None:
        if member := self._member(to):
            self.out.append(Send(member, message))
