"""A simulation of replicas on a virtual clock: their disks, the messages between them, operators, and faults.

The schedule follows from a seed. Operators send changes and reads to any replica and retry until they get a
clear answer, as the protocol requires. Each replica has a real `ChangeRequestHandler` and `ChangeHistory`.
After each step the invariants are checked only against what was delivered and what was answered.
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
from coralvale.cluster.orders import ChangeAnswer, ChangeRequestHandler, CheckChange

TIMING = Timing()
ANSWER_TIMEOUT_S = 0.9  # for one answer
OPERATORS = 3
CALLS = 3  # of one operator, in flight at once


class InvariantViolation(AssertionError):
    """An invariant does not hold."""


@define(eq=False)
class Disk:
    """The synced data; a write that is in progress when power is lost is lost."""

    id: str
    state: DurableState = field(factory=DurableState)

    def apply(self, write: m.Write) -> None:
        s = self.state
        if write.truncate_from is not None:
            s.entries = [e for e in s.entries if e.seq < write.truncate_from]
        if write.snapshot is not None:
            s.entries = [e for e in s.entries if e.seq >= write.trim_below]
            s.snapshot = write.snapshot
        if write.entries:
            known = {e.seq: e for e in s.entries} | {e.seq: e for e in write.entries}
            s.entries = [known[seq] for seq in sorted(known)]
        s.view, s.vote, s.commit = write.view, write.vote, write.commit

    def read(self) -> DurableState:
        s = self.state
        return DurableState(s.view, s.vote, s.commit, s.snapshot, list(s.entries))


def history_on(disk: Disk) -> ChangeHistory:
    """The history after all entries on a disk, committed or not."""
    state, history = disk.read(), ChangeHistory()
    if state.snapshot:
        history.restore(state.snapshot.body)
    for entry in state.entries:
        if entry.kind == m.CHANGE and entry.seq > (state.snapshot.seq if state.snapshot else 0):
            history.deliver(entry.body)
    return history


@define(eq=False)
class Machine:
    """A machine: its process, if one runs, its disk and its link."""

    ip: str
    disk: Disk
    replica: Replica | None = None
    desk: ChangeRequestHandler | None = None
    history: ChangeHistory = field(factory=ChangeHistory)
    life: int = 0
    busy_until: float = 0.0  # of the disk
    full_until: float = 0.0  # it takes no writes until then
    frozen_until: float = 0.0  # its process is suspended; messages are read afterwards
    link: float = 0.0  # bytes per second, 0 for no limit
    link_until: float = 0.0
    pending: deque[m.Action | ChangeAnswer | CheckChange] = field(factory=deque)
    acting: bool = False


@define(eq=False)
class Call:
    """One call by an operator: a change, or a read if `change` is None."""

    change: Change | None
    begun: float
    min_version: int  # newest version acknowledged before the call
    on_answer: Callable[[ChangeAnswer], None]


def message_size(message: m.Message) -> int:
    """The approximate size of a message in bytes."""
    if isinstance(message, m.Append):
        return 60 + sum(len(e.body) + 20 for e in message.entries)
    return 60 + (len(message.data) if isinstance(message, m.SnapshotPart) else 0)


class World:
    def __init__(
        self, seed: int, members: int, replica_class: Callable[..., Replica] = Replica, **more: Any
    ) -> None:
        """`more`: `desk`: class of the handlers of change requests; `keeps_ids`: a lost disk comes back under
        the same id; `check_seconds`: how long the check of a change may take, none: no time."""
        self.env, self.chance = simpy.Environment(), random.Random(seed)
        self.check_seconds: tuple[float, ...] = more.get("check_seconds", ())
        # In every second world the log is short, so that snapshots are taken and transferred.
        short = {"snapshot_every": 12, "kept_entries": 4} if seed % 2 else {}
        self.replica_class = (
            type(replica_class.__name__, (replica_class,), short)
            if isinstance(replica_class, type)
            else replica_class
        )
        self.keeps_ids: bool = more.get("keeps_ids", False)
        self.desk_class: type[ChangeRequestHandler] = more.get("desk", ChangeRequestHandler)
        self.machines: dict[str, Machine] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # from, to
        self.delivered: dict[int, m.Entry] = {}
        self.effective: dict[int, bytes] = {}  # digest of the change that led to each version
        self.bases: dict[int, int] = {}  # by base, the version of the change accepted on it
        self.acknowledged: dict[bytes, Change] = {}
        self.newest_version = self.newest_acknowledged = 0  # delivered anywhere; acknowledged
        self.newest_changed_at = 0.0  # when `newest_version` last increased
        self.leaders: dict[int, str] = {}
        self.calls: dict[int, Call] = {}
        self.tokens = self.disks = self.steps = self.reads = self.refusals = self.repeats = 0
        for n in range(members):
            self.add(f"10.0.0.{n}")
        first = self.machines["10.0.0.0"]
        assert first.replica
        self.act(first, first.replica.bootstrap(0.0))

    # Machines

    def add(self, ip: str) -> Machine:
        machine = self.machines[ip] = Machine(ip, self.new_disk())
        self.start(machine)
        return machine

    def new_disk(self) -> Disk:
        self.disks += 1
        return Disk(f"disk-{self.disks}")

    def start(self, machine: Machine) -> None:
        machine.life += 1
        me = m.Member(machine.disk.id, f"n-{machine.ip}", machine.ip)
        chance = random.Random(self.chance.random())
        machine.replica = self.replica_class(me, machine.disk.read(), TIMING, chance, self.env.now)
        machine.history = ChangeHistory()
        machine.desk = self.desk_class(machine.replica, machine.history)
        machine.pending.clear()
        machine.busy_until, machine.frozen_until = self.env.now, 0.0
        self.act(machine, machine.replica.start(self.env.now))
        self.env.process(self.run(machine, machine.life))

    def kill(self, machine: Machine) -> None:
        machine.replica, machine.desk, machine.life = None, None, machine.life + 1

    def wipe(self, machine: Machine) -> None:
        self.kill(machine)
        machine.disk = Disk(machine.disk.id) if self.keeps_ids else self.new_disk()

    def run(self, machine: Machine, life: int) -> object:
        while machine.life == life and machine.replica:
            yield self.env.timeout(0.04 + 0.02 * self.chance.random())
            yield from self.wait_while_frozen(machine)
            if machine.life != life or not machine.replica:
                return
            replica = machine.replica
            self.act(machine, replica.tick(self.env.now))
            if replica.due_for_snapshot():
                self.act(machine, replica.save_snapshot(machine.history.image()))
            if replica.needs_join(self.env.now) and not replica.leaving:
                leader = next((p for p in self.machines.values() if p.replica and p.replica.leading), None)
                if leader:
                    self.send(machine, leader.ip, m.JoinRequest(replica.me))

    def act(self, machine: Machine, actions: list[Any]) -> None:
        self.steps += 1
        machine.pending.extend(actions)
        if machine.acting:
            return
        machine.acting = True
        try:
            while machine.pending:
                self.carry_out(machine, machine.pending.popleft())
        finally:
            machine.acting = False
        replica = machine.replica
        if (
            replica
            and replica.leading
            and self.leaders.setdefault(replica.view, machine.disk.id) != machine.disk.id
        ):
            raise InvariantViolation(f"two leaders of view {replica.view}")

    def carry_out(self, machine: Machine, action: m.Action | ChangeAnswer | CheckChange) -> None:
        match action:
            case m.Send():
                self.send(machine, action.to.ip, action.message, action.to.id)
            case m.Write():
                took = self.chance.choice((0.001, 0.003, 0.02))
                machine.busy_until = max(machine.busy_until, machine.full_until, self.env.now) + took
                self.env.process(self.write(machine, machine.life, machine.disk, action, machine.busy_until))
            case m.Deliver():
                self.check_delivered(machine, action.entry)
            case m.Restore():
                machine.history.restore(action.snapshot.body)
                self.check_history(machine.history)
            case m.Settled():
                if machine.desk:
                    machine.pending.extend(machine.desk.settled(self.env.now, action.token, action.accepted))
            case CheckChange():
                if self.check_seconds:
                    self.env.process(self.check_change(machine, machine.life, action))
                elif machine.desk:
                    machine.pending.extend(machine.desk.checked(self.env.now, action.token, action.run()))
            case ChangeAnswer():
                self.check_answer(action)

    def check_change(self, machine: Machine, life: int, action: CheckChange) -> object:
        """Carries out a check beside everything else."""
        yield self.env.timeout(self.chance.choice(self.check_seconds))
        yield from self.wait_while_frozen(machine)
        if machine.life == life and machine.desk:
            self.act(machine, machine.desk.checked(self.env.now, action.token, action.run()))

    def check_delivered(self, machine: Machine, entry: m.Entry) -> None:
        if self.delivered.setdefault(entry.seq, entry) != entry:
            raise InvariantViolation(f"two entries were delivered as {entry.seq}")
        if entry.kind == m.CHANGE and machine.history.deliver(entry.body):
            self.check_history(machine.history)

    def check_history(self, history: ChangeHistory) -> None:
        version = history.configuration.version
        if version > self.newest_version:
            self.newest_version, self.newest_changed_at = version, self.env.now
        for digest, to in history.applied.items():
            if self.effective.setdefault(to, digest) != digest:
                raise InvariantViolation(f"two changes led to version {to}")

    def write(self, machine: Machine, life: int, disk: Disk, write: m.Write, at: float) -> object:
        yield self.env.timeout(at - self.env.now)
        if machine.life == life and machine.replica:
            disk.apply(write)
            yield from self.wait_while_frozen(machine)
            if machine.life == life and machine.replica:
                self.act(machine, machine.replica.write_completed(self.env.now, write.number))

    def wait_while_frozen(self, machine: Machine) -> object:
        """A suspended process finds all that arrived meanwhile, in any order."""
        while machine.frozen_until > self.env.now:
            yield self.env.timeout(machine.frozen_until - self.env.now + 0.004 * self.chance.random())

    def send(self, machine: Machine, ip: str, message: m.Message, to: str = "") -> None:
        lot = self.chance.random()
        if (machine.ip, ip) in self.blocked_links or lot < 0.02:
            return
        for _ in range(2 if lot > 0.98 else 1):
            after = 0.001 + 0.02 * self.chance.random() ** 3
            other = self.machines.get(ip)
            if other and other.link:
                other.link_until = max(other.link_until, self.env.now) + message_size(message) / other.link
                after += other.link_until - self.env.now
            self.env.process(self.transmit(machine.ip, ip, message, to, after))

    def transmit(self, source: str, ip: str, message: m.Message, to: str, after: float) -> object:
        yield self.env.timeout(after)
        machine = self.machines.get(ip)
        if machine is None or (source, ip) in self.blocked_links:
            return
        life = machine.life
        yield from self.wait_while_frozen(machine)
        if machine.replica and machine.life == life:
            self.act(machine, machine.replica.receive(self.env.now, message, source, to))

    # Operators

    def call(
        self, machine: Machine, change: Change | None, on_answer: Callable[[ChangeAnswer], None]
    ) -> None:
        """Sends one call to a machine, which forwards it to the leader that it knows."""
        replica = machine.replica
        if replica and not replica.leading:
            leader = replica.voters.all().get(replica.leader)
            other = self.machines.get(leader.ip) if leader else None
            if (
                other is None
                or (machine.ip, other.ip) in self.blocked_links
                or (other.ip, machine.ip) in self.blocked_links
            ):
                return
            machine, replica = other, other.replica
        if replica is None or machine.desk is None:
            return
        self.tokens += 1
        token = self.tokens
        self.calls[token] = Call(change, self.env.now, self.newest_acknowledged, on_answer)
        self.env.process(self.deliver_call(machine, machine.life, token))

    def deliver_call(self, machine: Machine, life: int, token: int) -> object:
        yield from self.wait_while_frozen(machine)
        if machine.life == life and machine.desk and machine.replica and machine.replica.leading:
            change = self.calls[token].change
            desk = machine.desk
            self.act(
                machine,
                desk.submit(self.env.now, token, change) if change else desk.read(self.env.now, token),
            )

    def check_answer(self, answer: ChangeAnswer) -> None:
        """Checks an answer against everything that was delivered and answered so far."""
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
        if self.env.now - call.begun < ANSWER_TIMEOUT_S:
            call.on_answer(answer)

    def check_read(self, call: Call, version: int) -> None:
        self.reads += 1
        if version < call.min_version:
            raise InvariantViolation(
                f"stale read of version {version}: {call.min_version} was acknowledged before it"
            )
        self.newest_acknowledged = max(self.newest_acknowledged, version)

    def check_acknowledged(self, change: Change) -> None:
        digest = change.digest()
        versions = [to for to, taken in self.effective.items() if taken == digest]
        if len(versions) != 1:
            raise InvariantViolation(f"a change that was acknowledged has {len(versions)} effects")
        self.repeats += digest in self.acknowledged
        self.acknowledged[digest] = change
        if self.bases.setdefault(change.base, versions[0]) != versions[0]:
            raise InvariantViolation(f"two changes on top of {change.base} were acknowledged")
        self.newest_acknowledged = max(self.newest_acknowledged, versions[0])

    def check_refused(self, call: Call, answer: ChangeAnswer) -> None:
        self.refusals += 1
        assert call.change
        if call.change.digest() in self.effective.values():
            raise InvariantViolation(f"a change that was taken was refused with {answer.status}")
        if (
            call.change.base == self.newest_version
            and self.newest_changed_at < call.begun
            and answer.status == 412
        ):
            raise InvariantViolation(
                f"a change on top of {self.newest_version}, the newest, was refused by an older version"
            )

    def operator(self, until: float) -> object:
        """Sends changes based on the newest version that it knows, retrying each until it gets a clear
        answer."""
        known = 0
        while self.env.now < until:
            yield self.env.timeout(self.chance.random() * 0.15)
            if self.chance.random() < 0.3:
                answer = yield self.env.process(self.call_until_clear(None, until))
                if answer:
                    known = json.loads(answer.body).get("Ver", 0)
                continue
            version = known + self.chance.randint(1, 3)
            body = json.dumps(
                {"Ver": version, "Routes": {}, "Svcs": {}, "Note": self.chance.random()}
            ).encode()
            change = Change(known, True, body)
            answer = yield self.env.process(self.call_until_clear(change, until))
            if answer and answer.status == 200:
                known = max(known, version)
                if self.chance.random() < 0.2:  # as if the answer was lost
                    self.env.process(self.call_until_clear(change, until))

    def call_until_clear(self, change: Change | None, until: float) -> Any:
        found: list[ChangeAnswer] = []
        while self.env.now < until:
            machine = self.chance.choice(list(self.machines.values()))
            self.call(machine, change, lambda answer: found.append(answer) if answer.status != 503 else None)
            for _ in range(20):
                yield self.env.timeout(ANSWER_TIMEOUT_S / 20)
                if found:
                    return found[0]
            yield self.env.timeout(0.05)
        return None

    def run_operators(self, until: float) -> object:
        yield self.env.all_of([self.env.process(self.operator(until)) for _ in range(OPERATORS)])

    # Faults

    def isolate(self, inside: set[str], one_way: bool) -> None:
        for a in self.machines:
            for b in self.machines:
                if (a in inside) != (b in inside) and (not one_way or a in inside):
                    self.blocked_links.add((a, b))

    def leader(self) -> Machine | None:
        return next((p for p in self.machines.values() if p.replica and p.replica.leading), None)

    def inject_faults(self, until: float) -> object:
        """Injects faults within a fault budget of one: each only after the cluster has recovered from the
        last."""
        serial = 100
        while self.env.now < until:
            yield self.env.timeout(0.3 + self.chance.random() * 2)
            machine = self.chance.choice(list(self.machines.values()))
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
            leader = self.leader() or machine
            if what == "acked":  # a loss right after an acknowledgement
                before = len(self.acknowledged)
                for _ in range(400):
                    yield self.env.timeout(0.001)
                    if len(self.acknowledged) > before:
                        break
                machine, what = leader, self.chance.choice(("kill", "wipe"))
                if self.chance.random() < 0.5:  # the others lose power too
                    for other in self.machines.values():
                        if other is not machine:
                            self.kill(other)
                            self.start(other)
            if what == "leave" and leader.replica:
                yield from self.leave(leader)
                machine, what = leader, "kill"
            if what == "all":
                for other in self.machines.values():
                    self.kill(other)
                yield self.env.timeout(down / 3)
                for other in self.machines.values():
                    self.start(other)
            elif what == "cut":
                self.isolate({self.chance.choice((machine, leader)).ip}, self.chance.random() < 0.4)
                yield self.env.timeout(down)
                self.blocked_links.clear()
            elif what == "full":
                machine.full_until = self.env.now + down
                yield self.env.timeout(down)
            elif what == "freeze":
                self.chance.choice((machine, leader)).frozen_until = self.env.now + down
                yield self.env.timeout(down)
            elif what == "planned":  # the new machine joins first; the old one stops once that is safe
                serial += 1
                self.add(f"10.0.0.{serial}")
                yield from self.wait_until_recovered()
                yield from self.leave(machine)
                self.kill(machine)
                del self.machines[machine.ip]
            elif what == "replace":
                self.kill(machine)
                del self.machines[machine.ip]
                serial += 1
                yield self.env.timeout(down / 2)
                self.add(f"10.0.0.{serial}")
            else:
                self.wipe(machine) if what == "wipe" else self.kill(machine)
                yield self.env.timeout(down)
                self.start(machine)
            yield from self.wait_until_recovered()

    def leave(self, machine: Machine, grace: float = 5.0) -> object:
        """As after SIGTERM: asks the replica to leave, and waits until it may stop or its time is up."""
        assert machine.replica
        ends = self.env.now + grace
        self.act(machine, machine.replica.leave(self.env.now))
        while machine.replica and not machine.replica.safe_to_stop and self.env.now < ends:
            yield self.env.timeout(0.02)

    def wait_until_recovered(self) -> object:
        """Waits until all replicas run and have the same commit index, and the largest odd number of them
        vote."""
        for _ in range(400):
            yield self.env.timeout(0.05)
            replicas = [p.replica for p in self.machines.values() if p.replica]
            ids = {p.disk.id for p in self.machines.values()}
            calm = [r for r in replicas if r.caught_up and not r.voters.old and r.in_contact(self.env.now)]
            if len(calm) != len(ids) or len({r.commit for r in calm}) != 1:
                continue
            voters = {v.id for v in calm[0].voters.new}
            expected = len(ids) - 1 + len(ids) % 2
            if voters <= ids and len(voters) == expected and len({r.voters for r in calm}) == 1:
                return
        raise InvariantViolation(f"not recovered after 20 s at {self.env.now:.1f}")

    def play(self, seconds: float) -> int:
        """Runs a schedule; returns the number of acknowledged changes. Raises InvariantViolation."""
        self.env.run(self.env.process(self.wait_until_recovered()))
        asking = self.env.process(self.run_operators(seconds))
        self.env.run(self.env.process(self.inject_faults(seconds)))
        self.env.run(asking)
        self.env.run(self.env.process(self.wait_until_recovered()))
        self.check_end()
        return len(self.acknowledged)

    def check_only_copy_on_leave(self) -> None:
        """The newest changes are only on the leader and on a replica that leaves. It stops, and right after
        it the leader's disk is lost: the third disk must hold all acknowledged changes. Raises
        InvariantViolation."""
        self.env.run(self.env.process(self.wait_until_recovered()))
        leader = self.leader()
        leaves, lags = (p for p in self.machines.values() if p is not leader)
        assert leader
        lags.full_until = self.env.now + 2.0
        self.env.run(self.env.process(self.run_operators(self.env.now + 1.0)))
        self.env.run(self.env.process(self.leave(leaves)))
        self.kill(leaves)
        self.wipe(leader)
        if set(self.acknowledged) - set(history_on(lags.disk).applied):
            raise InvariantViolation("the replica that left had the only copy of an acknowledged change")

    def check_late_replies(self) -> None:
        """A suspended leader is asked to read, and then receives replies to broadcasts from before. Raises
        InvariantViolation if they confirm the read."""
        self.env.run(self.env.process(self.wait_until_recovered()))
        leader = self.leader()
        assert leader and leader.replica
        replica, now, old = leader.replica, self.env.now + 30.0, leader.replica.round
        done = replica.barrier(now, 99)
        for peer in list(replica.peers):
            late = m.AppendReply(replica.view, peer, True, replica.last_seq, old)
            done += replica.receive(now, late, "10.0.0.1")
        if any(isinstance(action, m.Settled) for action in done):
            raise InvariantViolation("replies to earlier broadcasts confirmed a read")

    def check_frozen_leader(self) -> None:
        """Repeatedly suspends a leader right after it sent a broadcast; it finds the replies and the
        operators' calls when the others have gone on. Raises InvariantViolation."""
        for _ in range(6):
            self.env.run(self.env.process(self.wait_until_recovered()))
            leader = self.leader()
            assert leader and leader.replica
            sent = leader.replica.round
            while leader.replica.round == sent:
                self.env.run(until=self.env.now + 0.001)
            leader.frozen_until = self.env.now + 3.0
            self.env.run(self.env.process(self.run_operators(self.env.now + 3.2)))
        self.env.run(self.env.process(self.wait_until_recovered()))
        self.check_end()

    def check_partition_during_change(self) -> bool:
        """One member is cut off and a new disk replaces it as a voter; during this change the other follower
        moves to the side of the one that is cut off. Returns whether any change was acknowledged during the
        partition. Raises InvariantViolation."""
        self.env.run(self.env.process(self.wait_until_recovered()))
        leader = self.leader()
        assert leader
        cut, other = (p for p in self.machines.values() if p is not leader)
        self.isolate({cut.ip}, False)
        self.env.run(until=self.env.now + TIMING.replace_after + 0.5)
        new = self.add("10.0.0.9")
        self.isolate({cut.ip}, False)
        for _ in range(20_000):
            self.env.run(until=self.env.now + 0.001)
            if leader.replica and new.disk.id in leader.replica.voters.all():
                break
        self.blocked_links.clear()
        self.isolate({cut.ip, other.ip}, False)
        self.env.run(self.env.process(self.run_operators(self.env.now + 6.0)))
        went_on = bool(self.acknowledged)
        self.blocked_links.clear()
        self.env.run(until=self.env.now + 6.0)
        for machine in self.machines.values():
            if (
                machine.replica
                and machine.replica.is_voter
                and set(self.acknowledged) - set(machine.history.applied)
            ):
                raise InvariantViolation("an acknowledged change is lost")
        return went_on

    def check_end(self) -> None:
        for machine in self.machines.values():
            lost = set(self.acknowledged) - set(machine.history.applied)
            if lost:
                raise InvariantViolation(f"{machine.ip} lacks {len(lost)} changes that were acknowledged")
            if machine.history.configuration.version != self.newest_version:
                raise InvariantViolation(
                    f"{machine.ip} is at {machine.history.configuration.version}, not {self.newest_version}"
                )
