"""Members of the order of changes on a virtual clock: their disks, the words between them, and what befalls
them.

A schedule is data from a seed. After each step the invariants of `grafting.machine` are checked by an
observer that sees what was delivered and what was acknowledged, nothing else.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import simpy
from attrs import define, field

from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import Graft, Record, Terms

TERMS = Terms()


class Broken(AssertionError):
    """An invariant does not hold."""


@define(eq=False)
class Disk:
    """What is synced; a write that is under way when the power goes is lost."""

    id: str
    record: Record = field(factory=Record)

    def put(self, write: m.Write) -> None:
        r = self.record
        if write.cut is not None:
            r.entries = [e for e in r.entries if e.seq < write.cut]
        if write.saved is not None:
            r.entries = [e for e in r.entries if e.seq > write.saved.seq]
            r.saved = write.saved
        known = {e.seq: e for e in r.entries} | {e.seq: e for e in write.entries}
        r.entries = [known[seq] for seq in sorted(known)]
        r.view, r.vote, r.commit = write.view, write.vote, write.commit


@define(eq=False)
class Place:
    """A machine: its process, if one runs, and its disk."""

    ip: str
    disk: Disk
    machine: Graft | None = None
    life: int = 0
    busy_until: float = 0.0  # of the disk
    full_until: float = 0.0  # it takes no write
    state: list[bytes] = field(factory=list)  # what its deliveries led to


class World:
    def __init__(self, seed: int, members: int, kind: Callable[..., Graft] = Graft) -> None:
        self.env, self.chance, self.kind = simpy.Environment(), random.Random(seed), kind
        self.places: dict[str, Place] = {}
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.delivered: dict[int, m.Entry] = {}
        self.acknowledged: dict[int, bytes] = {}  # token: body
        self.holders: dict[int, str] = {}
        self.tokens = 0
        self.disks = 0
        for n in range(members):
            self.add(f"10.0.0.{n}")
        first = self.places["10.0.0.0"]
        assert first.machine
        self.act(first, first.machine.found(0.0))

    def add(self, ip: str) -> Place:
        place = self.places[ip] = Place(ip, self.new_disk())
        self.start(place)
        return place

    def new_disk(self) -> Disk:
        self.disks += 1
        return Disk(f"disk-{self.disks}")

    def start(self, place: Place) -> None:
        place.life += 1
        r = place.disk.record
        record = Record(r.view, r.vote, r.commit, r.saved, list(r.entries))
        me = m.Member(place.disk.id, f"n-{place.ip}", place.ip)
        place.machine = self.kind(me, record, TERMS, random.Random(self.chance.random()), self.env.now)
        place.state, place.busy_until = [], self.env.now
        self.act(place, place.machine.start(self.env.now))
        self.env.process(self.run(place, place.life))

    def kill(self, place: Place) -> None:
        place.machine, place.life = None, place.life + 1

    def wipe(self, place: Place) -> None:
        self.kill(place)
        place.disk = self.new_disk()

    def run(self, place: Place, life: int) -> object:
        while place.life == life and place.machine:
            yield self.env.timeout(0.04 + 0.02 * self.chance.random())
            if place.life != life or not place.machine:
                return
            machine = place.machine
            self.act(place, machine.tick(self.env.now))
            if machine.astray(self.env.now):
                holder = next((p for p in self.places.values() if p.machine and p.machine.holding), None)
                if holder:
                    self.send(place, holder.ip, m.Join(machine.me))

    def act(self, place: Place, actions: list[m.Action]) -> None:
        for action in actions:
            if isinstance(action, m.Send):
                self.send(place, action.to.ip, action.message)
            elif isinstance(action, m.Write):
                took = self.chance.choice((0.001, 0.003, 0.02))
                place.busy_until = max(place.busy_until, place.full_until, self.env.now) + took
                self.env.process(self.write(place, place.life, place.disk, action, place.busy_until))
            elif isinstance(action, m.Deliver):
                self.see(place, action.entry)
            elif isinstance(action, m.Restore):
                place.state = action.saved.body.split(b"\n") if action.saved.body else []
            elif action.well:
                self.acknowledged[action.token] = b"change %d" % action.token
        machine = place.machine
        if machine and machine.holding:
            if self.holders.setdefault(machine.view, place.disk.id) != place.disk.id:
                raise Broken(f"two holders of view {machine.view}")
            if machine.delivered == machine.commit and machine.delivered - machine.base.seq > 128:
                self.act(place, machine.save(b"\n".join(place.state)))

    def see(self, place: Place, entry: m.Entry) -> None:
        if self.delivered.setdefault(entry.seq, entry) != entry:
            raise Broken(f"two entries were delivered as {entry.seq}")
        place.state.append(entry.body)

    def write(self, place: Place, life: int, disk: Disk, write: m.Write, at: float) -> object:
        yield self.env.timeout(at - self.env.now)
        if place.life == life and place.machine:
            disk.put(write)
            self.act(place, place.machine.wrote(self.env.now, write.number))

    def send(self, place: Place, ip: str, message: m.Message) -> None:
        lot = self.chance.random()
        if (place.ip, ip) in self.cut or lot < 0.02:
            return
        for _ in range(2 if lot > 0.98 else 1):
            self.env.process(self.carry(place.ip, ip, message, 0.001 + 0.02 * self.chance.random() ** 3))

    def carry(self, source: str, ip: str, message: m.Message, after: float) -> object:
        yield self.env.timeout(after)
        place = self.places.get(ip)
        if place and place.machine and (source, ip) not in self.cut:
            self.act(place, place.machine.receive(self.env.now, message, source))

    # What is asked, and what befalls

    def propose(self) -> None:
        holders = [p for p in self.places.values() if p.machine and p.machine.holding]
        if holders:
            place = self.chance.choice(holders)
            assert place.machine
            self.tokens += 1
            body = b"change %d" % self.tokens
            self.act(place, place.machine.propose(self.env.now, self.tokens, m.CHANGE, body))

    def asking(self, until: float) -> object:
        while self.env.now < until:
            yield self.env.timeout(self.chance.random() * 0.1)
            self.propose()

    def cut_off(self, inside: set[str], one_way: bool) -> None:
        for a in self.places:
            for b in self.places:
                if (a in inside) != (b in inside) and (not one_way or a in inside):
                    self.cut.add((a, b))

    def trouble(self, until: float) -> object:
        """Within a budget of one: the next thing is lost only when what was lost before is whole again."""
        serial = 100
        while self.env.now < until:
            yield self.env.timeout(0.3 + self.chance.random() * 2)
            place = self.chance.choice(list(self.places.values()))
            what = self.chance.choice(("kill", "wipe", "replace", "cut", "all", "acked", "leave", "full"))
            down = 0.2 + self.chance.random() * 3
            holder = next((p for p in self.places.values() if p.machine and p.machine.holding), place)
            if what == "acked":  # right after a word was given
                self.propose()
                before = len(self.acknowledged)
                for _ in range(200):
                    yield self.env.timeout(0.001)
                    if len(self.acknowledged) > before:
                        break
                place, what = holder, self.chance.choice(("kill", "wipe"))
                if self.chance.random() < 0.5:  # the others that count lose power too
                    for other in self.places.values():
                        if other is not place:
                            self.kill(other)
                            self.start(other)
            if what == "leave" and holder.machine:
                self.act(holder, holder.machine.leave(self.env.now))
                yield self.env.timeout(0.05)
                place, what = holder, "kill"
            if what == "all":
                for other in self.places.values():
                    self.kill(other)
                yield self.env.timeout(down / 3)
                for other in self.places.values():
                    self.start(other)
            elif what == "cut":
                self.cut_off({place.ip}, self.chance.random() < 0.4)
                yield self.env.timeout(down)
                self.cut.clear()
            elif what == "full":
                place.full_until = self.env.now + down
                yield self.env.timeout(down)
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

    def whole(self) -> object:
        """Waits until all that run are seated and hold all."""
        for _ in range(400):
            yield self.env.timeout(0.05)
            machines = [p.machine for p in self.places.values() if p.machine]
            ids = {p.disk.id for p in self.places.values()}
            seated = [x for x in machines if x.seated and x.settled and not x.seats.old]
            same = {x.commit for x in seated}
            if (
                len(seated) == len(ids)
                and len(same) == 1
                and all({s.id for s in x.seats.new} == ids for x in seated)
            ):
                return
        raise Broken(f"not whole again after 20 s at {self.env.now:.1f}")

    def play(self, seconds: float) -> int:
        """Plays a schedule; how many changes were acknowledged. Raises Broken."""
        self.env.run(self.env.process(self.whole()))
        asking = self.env.process(self.asking(seconds))
        self.env.run(self.env.process(self.trouble(seconds)))
        self.env.run(asking)
        self.env.run(self.env.process(self.whole()))
        for place in self.places.values():
            lost = set(self.acknowledged.values()) - set(place.state)
            if lost:
                raise Broken(f"{place.ip} lacks what was acknowledged: {sorted(lost)[:3]}")
        return len(self.acknowledged)
