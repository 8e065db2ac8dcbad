"""Replicas on a virtual clock: their disks, the messages between them, operators, and what befalls them all.

A schedule is data from a seed. Operators send orders and readings to any replica, again and again until they get
a clear answer, as PROTOCOL has it; the real `ChangeRequestHandler` and `ChangeHistory` stand behind each replica.
After each step the invariants are checked by an observer that sees what was delivered and what was answered,
nothing else.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import simpy
from attrs import define, field

from coralvale.cluster.configuration.history import Change, ChangeHistory
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.orders import ChangeAnswer, ChangeRequestHandler

TIMING = Timing()
PATIENCE = 0.9  # s for one answer
OPERATORS = 3
CALLS = 3  # of one operator, under way at once


class Broken(AssertionError):
    """An invariant does not hold."""


@define(eq=False)
class Disk:
    """What is synced; a write that is under way when the power goes is lost."""

    id: str
    state: DurableState = field(factory=DurableState)

    def put(self, write: m.Write) -> None:
        s = self.state
        if write.cut is not None:
            s.entries = [e for e in s.entries if e.seq < write.cut]
        if write.snapshot is not None:
            s.entries = [e for e in s.entries if e.seq >= write.trim]
            s.snapshot = write.snapshot
        if write.entries:
            known = {e.seq: e for e in s.entries} | {e.seq: e for e in write.entries}
            s.entries = [known[seq] for seq in sorted(known)]
        s.view, s.vote, s.commit = write.view, write.vote, write.commit

    def read(self) -> DurableState:
        s = self.state
        return DurableState(s.view, s.vote, s.commit, s.snapshot, list(s.entries))


def history_on(disk: Disk) -> ChangeHistory:
    """What all entries on a disk lead to, committed or not."""
    state, history = disk.read(), ChangeHistory()
    if state.snapshot:
        history.restore(state.snapshot.body)
    for entry in state.entries:
        if entry.kind == m.CHANGE and entry.seq > (state.snapshot.seq if state.snapshot else 0):
            history.deliver(entry.body)
    return history


@define(eq=False)
class Place:
    """A machine: its process, if one runs, its disk, its link."""

    ip: str
    disk: Disk
    replica: Replica | None = None
    desk: ChangeRequestHandler | None = None
    history: ChangeHistory = field(factory=ChangeHistory)
    life: int = 0
    busy_until: float = 0.0  # of the disk
    full_until: float = 0.0  # it takes no write
    frozen_until: float = 0.0  # its process stands still; what comes meanwhile is read afterwards
    link: float = 0.0  # bytes a second that it can take, 0 for any number
    link_until: float = 0.0
    pending: deque[m.Action | ChangeAnswer] = field(factory=deque)
    acting: bool = False


@define(eq=False)
class Call:
    """An order, or (change None) a reading, until it has a clear answer."""

    change: Change | None
    begun: float
    least: int  # the newest version that was acknowledged before it began
    answered: Callable[[ChangeAnswer], None]


def size_of(message: m.Message) -> int:
    """Bytes, about."""
    if isinstance(message, m.Append):
        return 60 + sum(len(e.body) + 20 for e in message.entries)
    return 60 + (len(message.data) if isinstance(message, m.SnapshotPart) else 0)


class World:
    def __init__(self, seed: int, members: int, kind: Callable[..., Replica] = Replica, **more: Any) -> None:
        """`more`: `desk`, the class of the order desks; `keeps_ids`: a disk that was lost has its id again."""
        self.env, self.chance = simpy.Environment(), random.Random(seed)
        # Of every second world the log is short, so that snapshots are made and brought.
        short = {"snapshot_every": 12, "kept": 4} if seed % 2 else {}
        self.kind = type(kind.__name__, (kind,), short) if isinstance(kind, type) else kind
        self.keeps_ids: bool = more.get("keeps_ids", False)
        self.desk_kind: type[ChangeRequestHandler] = more.get("desk", ChangeRequestHandler)
        self.places: dict[str, Place] = {}
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.delivered: dict[int, m.Entry] = {}
        self.effective: dict[int, bytes] = {}  # version: digest of the change that led to it
        self.bases: dict[int, int] = {}  # base: version of the change that was taken on it
        self.acknowledged: dict[bytes, Change] = {}
        self.newest = self.acked = 0  # versions: delivered anywhere; acknowledged
        self.moved_at = 0.0  # when `newest` rose last
        self.leaders: dict[int, str] = {}
        self.calls: dict[int, Call] = {}
        self.tokens = self.disks = self.steps = self.reads = self.refusals = self.repeats = 0
        for n in range(members):
            self.add(f"10.0.0.{n}")
        first = self.places["10.0.0.0"]
        assert first.replica
        self.act(first, first.replica.found(0.0))

    # Machines

    def add(self, ip: str) -> Place:
        place = self.places[ip] = Place(ip, self.new_disk())
        self.start(place)
        return place

    def new_disk(self) -> Disk:
        self.disks += 1
        return Disk(f"disk-{self.disks}")

    def start(self, place: Place) -> None:
        place.life += 1
        me = m.Member(place.disk.id, f"n-{place.ip}", place.ip)
        chance = random.Random(self.chance.random())
        place.replica = self.kind(me, place.disk.read(), TIMING, chance, self.env.now)
        place.history = ChangeHistory()
        place.desk = self.desk_kind(place.replica, place.history)
        place.pending.clear()
        place.busy_until, place.frozen_until = self.env.now, 0.0
        self.act(place, place.replica.start(self.env.now))
        self.env.process(self.run(place, place.life))

    def kill(self, place: Place) -> None:
        place.replica, place.desk, place.life = None, None, place.life + 1

    def wipe(self, place: Place) -> None:
        self.kill(place)
        place.disk = Disk(place.disk.id) if self.keeps_ids else self.new_disk()

    def run(self, place: Place, life: int) -> object:
        while place.life == life and place.replica:
            yield self.env.timeout(0.04 + 0.02 * self.chance.random())
            yield from self.awake(place)
            if place.life != life or not place.replica:
                return
            replica = place.replica
            self.act(place, replica.tick(self.env.now))
            if replica.due_for_snapshot():
                self.act(place, replica.save(place.history.image()))
            if replica.needs_seat(self.env.now) and not replica.leaving:
                leader = next((p for p in self.places.values() if p.replica and p.replica.leading), None)
                if leader:
                    self.send(place, leader.ip, m.JoinRequest(replica.me))

    def act(self, place: Place, actions: list[Any]) -> None:
        self.steps += 1
        place.pending.extend(actions)
        if place.acting:
            return
        place.acting = True
        try:
            while place.pending:
                self.carry_out(place, place.pending.popleft())
        finally:
            place.acting = False
        replica = place.replica
        if (
            replica
            and replica.leading
            and self.leaders.setdefault(replica.view, place.disk.id) != place.disk.id
        ):
            raise Broken(f"two leaders of view {replica.view}")

    def carry_out(self, place: Place, action: m.Action | ChangeAnswer) -> None:
        match action:
            case m.Send():
                self.send(place, action.to.ip, action.message, action.to.id)
            case m.Write():
                took = self.chance.choice((0.001, 0.003, 0.02))
                place.busy_until = max(place.busy_until, place.full_until, self.env.now) + took
                self.env.process(self.write(place, place.life, place.disk, action, place.busy_until))
            case m.Deliver():
                self.see(place, action.entry)
            case m.Restore():
                place.history.restore(action.snapshot.body)
                self.took(place.history)
            case m.Settled():
                if place.desk:
                    place.pending.extend(place.desk.settled(self.env.now, action.token, action.accepted))
            case ChangeAnswer():
                self.answer(action)

    def see(self, place: Place, entry: m.Entry) -> None:
        if self.delivered.setdefault(entry.seq, entry) != entry:
            raise Broken(f"two entries were delivered as {entry.seq}")
        if entry.kind == m.CHANGE and place.history.deliver(entry.body):
            self.took(place.history)

    def took(self, history: ChangeHistory) -> None:
        version = history.configuration.version
        if version > self.newest:
            self.newest, self.moved_at = version, self.env.now
        for digest, to in history.applied.items():
            if self.effective.setdefault(to, digest) != digest:
                raise Broken(f"two changes led to version {to}")

    def write(self, place: Place, life: int, disk: Disk, write: m.Write, at: float) -> object:
        yield self.env.timeout(at - self.env.now)
        if place.life == life and place.replica:
            disk.put(write)
            yield from self.awake(place)
            if place.life == life and place.replica:
                self.act(place, place.replica.wrote(self.env.now, write.number))

    def awake(self, place: Place) -> object:
        """A process that stood still finds all that has come meanwhile in any order."""
        while place.frozen_until > self.env.now:
            yield self.env.timeout(place.frozen_until - self.env.now + 0.004 * self.chance.random())

    def send(self, place: Place, ip: str, message: m.Message, to: str = "") -> None:
        lot = self.chance.random()
        if (place.ip, ip) in self.cut or lot < 0.02:
            return
        for _ in range(2 if lot > 0.98 else 1):
            after = 0.001 + 0.02 * self.chance.random() ** 3
            other = self.places.get(ip)
            if other and other.link:
                other.link_until = max(other.link_until, self.env.now) + size_of(message) / other.link
                after += other.link_until - self.env.now
            self.env.process(self.carry(place.ip, ip, message, to, after))

    def carry(self, source: str, ip: str, message: m.Message, to: str, after: float) -> object:
        yield self.env.timeout(after)
        place = self.places.get(ip)
        if place is None or (source, ip) in self.cut:
            return
        life = place.life
        yield from self.awake(place)
        if place.replica and place.life == life:
            self.act(place, place.replica.receive(self.env.now, message, source, to))

    # Operators

    def call(self, place: Place, change: Change | None, answered: Callable[[ChangeAnswer], None]) -> None:
        """One call at one machine, which passes it on to the leader that it knows of."""
        replica = place.replica
        if replica and not replica.leading:
            leader = replica.voters.all().get(replica.leader)
            other = self.places.get(leader.ip) if leader else None
            if other is None or (place.ip, other.ip) in self.cut or (other.ip, place.ip) in self.cut:
                return
            place, replica = other, other.replica
        if replica is None or place.desk is None:
            return
        self.tokens += 1
        token = self.tokens
        self.calls[token] = Call(change, self.env.now, self.acked, answered)
        self.env.process(self.arrive(place, place.life, token))

    def arrive(self, place: Place, life: int, token: int) -> object:
        yield from self.awake(place)
        if place.life == life and place.desk and place.replica and place.replica.leading:
            change = self.calls[token].change
            desk = place.desk
            self.act(
                place, desk.submit(self.env.now, token, change) if change else desk.read(self.env.now, token)
            )

    def answer(self, answer: ChangeAnswer) -> None:
        """Checks an answer against what all that was seen allows."""
        call = self.calls.pop(answer.token, None)
        if call is None:
            return
        if call.change is None:
            if answer.status == 200:
                self.check_read(call, json.loads(answer.body).get("Ver", 0))
        elif answer.status == 200:
            self.check_acknowledged(call.change)
        elif answer.status != 503:
            self.check_refused(call, answer)
        if self.env.now - call.begun < PATIENCE:
            call.answered(answer)

    def check_read(self, call: Call, version: int) -> None:
        self.reads += 1
        if version < call.least:
            raise Broken(f"a reading went back: {version}, and {call.least} was acknowledged before it")
        self.acked = max(self.acked, version)

    def check_acknowledged(self, change: Change) -> None:
        digest = change.digest()
        versions = [to for to, taken in self.effective.items() if taken == digest]
        if len(versions) != 1:
            raise Broken(f"a change that was acknowledged has {len(versions)} effects")
        self.repeats += digest in self.acknowledged
        self.acknowledged[digest] = change
        if self.bases.setdefault(change.base, versions[0]) != versions[0]:
            raise Broken(f"two changes on top of {change.base} were acknowledged")
        self.acked = max(self.acked, versions[0])

    def check_refused(self, call: Call, answer: ChangeAnswer) -> None:
        self.refusals += 1
        assert call.change
        if call.change.digest() in self.effective.values():
            raise Broken(f"a change that was taken was refused with {answer.status}")
        if call.change.base == self.newest and self.moved_at < call.begun and answer.status == 412:
            raise Broken(f"a change on top of {self.newest}, the newest, was refused by an older version")

    def operator(self, until: float) -> object:
        """Sends changes on top of the newest version that it knows of, each until it gets a clear answer."""
        known = 0
        while self.env.now < until:
            yield self.env.timeout(self.chance.random() * 0.15)
            if self.chance.random() < 0.3:
                answer = yield self.env.process(self.until_clear(None, until))
                if answer:
                    known = json.loads(answer.body).get("Ver", 0)
                continue
            version = known + self.chance.randint(1, 3)
            body = json.dumps(
                {"Ver": version, "Routes": {}, "Svcs": {}, "Note": self.chance.random()}
            ).encode()
            change = Change(known, True, body)
            answer = yield self.env.process(self.until_clear(change, until))
            if answer and answer.status == 200:
                known = max(known, version)
                if self.chance.random() < 0.2:  # the answer was lost on its way
                    self.env.process(self.until_clear(change, until))

    def until_clear(self, change: Change | None, until: float) -> Any:
        found: list[ChangeAnswer] = []
        while self.env.now < until:
            place = self.chance.choice(list(self.places.values()))
            self.call(place, change, lambda answer: found.append(answer) if answer.status != 503 else None)
            for _ in range(20):
                yield self.env.timeout(PATIENCE / 20)
                if found:
                    return found[0]
            yield self.env.timeout(0.05)
        return None

    def asking(self, until: float) -> object:
        yield self.env.all_of([self.env.process(self.operator(until)) for _ in range(OPERATORS)])

    # What befalls

    def cut_off(self, inside: set[str], one_way: bool) -> None:
        for a in self.places:
            for b in self.places:
                if (a in inside) != (b in inside) and (not one_way or a in inside):
                    self.cut.add((a, b))

    def leader(self) -> Place | None:
        return next((p for p in self.places.values() if p.replica and p.replica.leading), None)

    def trouble(self, until: float) -> object:
        """Within a budget of one: the next thing is lost only when what was lost before is whole again."""
        serial = 100
        while self.env.now < until:
            yield self.env.timeout(0.3 + self.chance.random() * 2)
            place = self.chance.choice(list(self.places.values()))
            what = self.chance.choice(
                (
                    "kill",
                    "wipe",
                    "replace",
                    "planned",
                    "cut",
                    "all",
                    "acked",
                    "leave",
                    "full",
                    "freeze",
                    "freeze",
                )
            )
            down = 0.2 + self.chance.random() * 3
            leader = self.leader() or place
            if what == "acked":  # right after an acknowledgement
                before = len(self.acknowledged)
                for _ in range(400):
                    yield self.env.timeout(0.001)
                    if len(self.acknowledged) > before:
                        break
                place, what = leader, self.chance.choice(("kill", "wipe"))
                if self.chance.random() < 0.5:  # the others lose power too
                    for other in self.places.values():
                        if other is not place:
                            self.kill(other)
                            self.start(other)
            if what == "leave" and leader.replica:
                yield from self.leave(leader)
                place, what = leader, "kill"
            if what == "all":
                for other in self.places.values():
                    self.kill(other)
                yield self.env.timeout(down / 3)
                for other in self.places.values():
                    self.start(other)
            elif what == "cut":
                self.cut_off({self.chance.choice((place, leader)).ip}, self.chance.random() < 0.4)
                yield self.env.timeout(down)
                self.cut.clear()
            elif what == "full":
                place.full_until = self.env.now + down
                yield self.env.timeout(down)
            elif what == "freeze":
                self.chance.choice((place, leader)).frozen_until = self.env.now + down
                yield self.env.timeout(down)
            elif what == "planned":  # the new one first; the old one is gone once it may end
                serial += 1
                self.add(f"10.0.0.{serial}")
                yield from self.whole()
                yield from self.leave(place)
                self.kill(place)
                del self.places[place.ip]
            elif what == "replace":
                self.kill(place)
                del self.places[place.ip]
                serial += 1
                yield self.env.timeout(down / 2)
                self.add(f"10.0.0.{serial}")
            else:
                self.wipe(place) if what == "wipe" else self.kill(place)
                yield self.env.timeout(down)
                self.start(place)
            yield from self.whole()

    def leave(self, place: Place, grace: float = 5.0) -> object:
        """SIGTERM: the replica is asked to leave, and ends when it may, or when its time is up."""
        assert place.replica
        ends = self.env.now + grace
        self.act(place, place.replica.leave(self.env.now))
        while place.replica and not place.replica.may_end and self.env.now < ends:
            yield self.env.timeout(0.02)

    def whole(self) -> object:
        """Waits until all that run hold all, and as many of them vote as are to: the largest odd number."""
        for _ in range(400):
            yield self.env.timeout(0.05)
            replicas = [p.replica for p in self.places.values() if p.replica]
            ids = {p.disk.id for p in self.places.values()}
            calm = [r for r in replicas if r.settled and not r.voters.old and r.in_contact(self.env.now)]
            if len(calm) != len(ids) or len({r.commit for r in calm}) != 1:
                continue
            voters = {v.id for v in calm[0].voters.new}
            expected = len(ids) - 1 + len(ids) % 2
            if voters <= ids and len(voters) == expected and len({r.voters for r in calm}) == 1:
                return
        raise Broken(f"not whole again after 20 s at {self.env.now:.1f}")

    def play(self, seconds: float) -> int:
        """Plays a schedule; how many changes were acknowledged. Raises Broken."""
        self.env.run(self.env.process(self.whole()))
        asking = self.env.process(self.asking(seconds))
        self.env.run(self.env.process(self.trouble(seconds)))
        self.env.run(asking)
        self.env.run(self.env.process(self.whole()))
        self.check_end()
        return len(self.acknowledged)

    def only_copy(self) -> None:
        """The one that leaves and the leader alone have the newest changes; it ends, and the leader's disk is
        lost right after it: what was acknowledged must be on the third's disk. Raises Broken."""
        self.env.run(self.env.process(self.whole()))
        leader = self.leader()
        leaves, lags = (p for p in self.places.values() if p is not leader)
        assert leader
        lags.full_until = self.env.now + 2.0
        self.env.run(self.env.process(self.asking(self.env.now + 1.0)))
        self.env.run(self.env.process(self.leave(leaves)))
        self.kill(leaves)
        self.wipe(leader)
        if set(self.acknowledged) - set(history_on(lags.disk).applied):
            raise Broken("the one that left had the only copy")

    def late_replies(self) -> None:
        """A leader finds replies to broadcasts from before it stood still, right after it was asked to read.
        Raises Broken where they confirm the reading."""
        self.env.run(self.env.process(self.whole()))
        leader = self.leader()
        assert leader and leader.replica
        replica, now, old = leader.replica, self.env.now + 30.0, leader.replica.round
        done = replica.barrier(now, 99)
        for peer in list(replica.peers):
            late = m.AppendReply(replica.view, peer, True, replica.last, old)
            done += replica.receive(now, late, "10.0.0.1")
        if any(isinstance(action, m.Settled) for action in done):
            raise Broken("replies from before confirmed a reading")

    def frozen_leader(self) -> None:
        """Again and again a leader stands still just when it has sent a broadcast; it finds the replies, and what
        operators asked it, when the others have gone on. Raises Broken."""
        for _ in range(6):
            self.env.run(self.env.process(self.whole()))
            leader = self.leader()
            assert leader and leader.replica
            sent = leader.replica.round
            while leader.replica.round == sent:
                self.env.run(until=self.env.now + 0.001)
            leader.frozen_until = self.env.now + 3.0
            self.env.run(self.env.process(self.asking(self.env.now + 3.2)))
        self.env.run(self.env.process(self.whole()))
        self.check_end()

    def parted(self) -> bool:
        """One member is cut off, its vote goes to a new disk; while it does, the other goes to the cut off
        one's side. Whether any change was acknowledged while they were apart. Raises Broken."""
        self.env.run(self.env.process(self.whole()))
        leader = self.leader()
        assert leader
        cut, other = (p for p in self.places.values() if p is not leader)
        self.cut_off({cut.ip}, False)
        self.env.run(until=self.env.now + TIMING.gone + 0.5)
        new = self.add("10.0.0.9")
        self.cut_off({cut.ip}, False)
        for _ in range(20_000):
            self.env.run(until=self.env.now + 0.001)
            if leader.replica and new.disk.id in leader.replica.voters.all():
                break
        self.cut.clear()
        self.cut_off({cut.ip, other.ip}, False)
        self.env.run(self.env.process(self.asking(self.env.now + 6.0)))
        went_on = bool(self.acknowledged)
        self.cut.clear()
        self.env.run(until=self.env.now + 6.0)
        for place in self.places.values():
            if (
                place.replica
                and place.replica.is_voter
                and set(self.acknowledged) - set(place.history.applied)
            ):
                raise Broken("what was acknowledged is gone")
        return went_on

    def check_end(self) -> None:
        for place in self.places.values():
            lost = set(self.acknowledged) - set(place.history.applied)
            if lost:
                raise Broken(f"{place.ip} lacks {len(lost)} changes that were acknowledged")
            if place.history.configuration.version != self.newest:
                raise Broken(f"{place.ip} is at {place.history.configuration.version}, not {self.newest}")
