"""Exhaustive exploration, within bounds, of the orders of events around changes in flight.

There are three voters, and the leader has just proposed two changes. Each step is one of these: a message is
delivered (in any order, so others are delayed or never arrive) or delivered twice; a disk finishes its oldest
write; a replica hears nothing for a long time, or is suspended and then receives messages before its clock is
read. Within a budget, a replica loses power (with its unsynced writes) or its disk. In further scenes a
replica joins or leaves. The search is breadth-first and visits each state once.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from typing import Any

import pytest
from consensus_world import TIMING, Disk, InvariantViolation
from mutants import CountsBeforeDisk, VotesForAny
from test_consensus import VOTERS, A, B, C

from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica
from coralvale.cluster.consensus.state import Progress

STATES = 9000
NEW = m.Member("new", "new", "10.0.0.9")
Step = tuple[str, int | str]


def copy_value(value: Any) -> Any:
    """A copy that shares nothing that a replica modifies."""
    if isinstance(value, dict):
        return {key: copy_value(item) for key, item in value.items()}
    if isinstance(value, Progress | list | deque | set):
        return copy.copy(value)
    return value


class State:
    """Replicas, their disks, unfinished writes and messages in flight, and what was delivered and
    acknowledged."""

    def __init__(self, kind: type[Replica]) -> None:
        self.kind, self.now = kind, 10.0
        self.disks = {x.ip: Disk(x.id, DurableState(1, "a", 1, None, [VOTERS])) for x in (A, B, C)}
        self.members: dict[str, Replica] = {}
        self.writes: dict[str, tuple[m.Write, ...]] = {}
        self.in_flight: tuple[tuple[str, str, m.Message, str], ...] = ()
        self.delivered: dict[int, m.Entry] = {}
        self.acknowledged: frozenset[bytes] = frozenset()
        self.losses, self.silences, self.doubles = 1, 2, 1
        self.trace: tuple[str, ...] = ()
        for ip in self.disks:
            self.start(ip)

    def start(self, ip: str) -> None:
        disk = self.disks[ip]
        me = m.Member(disk.id, ip, ip)
        self.members[ip] = self.kind(me, disk.read(), TIMING, random.Random(1), self.now)
        self.writes[ip] = ()
        self.act(ip, self.members[ip].start(self.now))

    def clone(self) -> State:
        new: State = copy.copy(self)
        new.disks = {ip: Disk(d.id, copy.copy(d.state)) for ip, d in self.disks.items()}
        new.members = {}
        for ip, replica in self.members.items():
            other = new.members[ip] = copy.copy(replica)
            other.__dict__.update({name: copy_value(value) for name, value in replica.__dict__.items()})
            other.download = copy.deepcopy(replica.download)
        new.writes, new.delivered = dict(self.writes), dict(self.delivered)
        return new

    def key(self) -> Any:
        members = tuple(
            (x.me.id, x.view, x.vote, x.leader, x.leading, tuple(x.entries), x.commit, x.durable_seq,
             x.safe_to_stop, frozenset(x.pre_votes or ()), frozenset(x.votes or ()),
             tuple((i, p.match_seq) for i, p in x.peers.items()), tuple(x.learners), tuple(x.departing))
            for x in self.members.values()
        )  # fmt: skip
        disks = tuple((d.id, d.state.view, d.state.vote, tuple(d.state.entries)) for d in self.disks.values())
        in_flight = frozenset((a, b, repr(w)) for a, b, w, _ in self.in_flight)
        budget = (self.losses, self.silences, self.doubles)
        return members, disks, tuple(self.writes.values()), in_flight, self.acknowledged, budget

    def act(self, ip: str, actions: list[m.Action]) -> None:
        for action in actions:
            match action:
                case m.Send():
                    sent = (ip, action.to.ip, action.message, action.to.id)
                    if sent not in self.in_flight:
                        self.in_flight = (*self.in_flight, sent)
                case m.Write():
                    self.writes[ip] = (*self.writes[ip], action)
                case m.Deliver():
                    if self.delivered.setdefault(action.entry.seq, action.entry) != action.entry:
                        raise InvariantViolation(f"two entries as {action.entry.seq}: {self.trace}")
                case m.Settled() if action.accepted:
                    self.acknowledged |= {b"change %d" % action.token}
        replica = self.members[ip]
        lacks = self.acknowledged - {e.body for e in replica.entries}
        if replica.leading and lacks:
            raise InvariantViolation(f"a leader lacks what was acknowledged: {self.trace}")

    def steps(self) -> list[Step]:
        found: list[Step] = [("deliver", n) for n in range(len(self.in_flight))]
        found += [("double", n) for n in range(len(self.in_flight)) if self.doubles]
        found += [("write", ip) for ip, writes in self.writes.items() if writes]
        found += [(what, ip) for what in ("silence", "thaw") for ip in self.members if self.silences]
        found += [(what, ip) for what in ("power", "disk") for ip in self.members if self.losses]
        return found

    def step(self, what: str, which: int | str) -> None:
        self.trace = (*self.trace, f"{what} {which}")
        self.now += 0.001
        if isinstance(which, int):
            source, to, message, disk = self.in_flight[which]
            if what == "double":
                self.doubles -= 1
            else:
                self.in_flight = self.in_flight[:which] + self.in_flight[which + 1 :]
            self.act(to, self.members[to].receive(self.now, message, source, disk))
        elif what == "write":
            write, *rest = self.writes[which]
            self.writes[which] = tuple(rest)
            self.disks[which].apply(write)
            self.act(which, self.members[which].write_completed(self.now, write.number))
        elif what in ("silence", "thaw"):
            self.silences -= 1
            self.now += 5.0
            # A suspended replica ("thaw") receives messages before its clock is read.
            if what == "silence":
                self.act(which, self.members[which].tick(self.now))
        else:
            self.losses -= 1
            if what == "disk":
                self.disks[which] = Disk(f"new-{which}")
            self.start(which)


def run_to_completion(state: State) -> None:
    """Completes all writes and delivers all messages, in order."""
    for _ in range(200):
        steps = [s for s in state.steps() if s[0] in ("write", "deliver")]
        if not steps:
            return
        state.step(*steps[0])


def changes_in_flight(kind: type[Replica], changes: int = 2) -> State:
    """Replica a leads view 2, which all know, and has proposed changes."""
    state = State(kind)
    state.step("silence", A.ip)
    run_to_completion(state)
    leader = state.members[A.ip]
    assert leader.leading and leader.caught_up
    state.silences, state.trace = 2, ()
    for token in range(changes):
        state.act(A.ip, leader.propose(state.now, token, m.CHANGE, b"change %d" % token))
    return state


def joining(kind: type[Replica]) -> State:
    """A learner with b's name holds everything, and replaces b while a change is in flight."""
    state = changes_in_flight(kind, 0)
    state.members[A.ip].learners[NEW.id] = (m.Member(NEW.id, B.name, NEW.ip), state.now)
    state.disks[NEW.ip] = Disk(NEW.id)
    state.start(NEW.ip)
    state.act(A.ip, state.members[A.ip].tick(state.now + 0.2))
    run_to_completion(state)
    state.act(A.ip, state.members[A.ip].propose(state.now, 1, m.CHANGE, b"change 1"))
    state.act(A.ip, state.members[A.ip].tick(state.now + 0.3))
    assert state.members[A.ip].voters.old
    return state


def leaving(kind: type[Replica]) -> State:
    """The leader is asked to leave while a change is in flight."""
    state = changes_in_flight(kind, 1)
    state.act(A.ip, state.members[A.ip].leave(state.now))
    return state


def explore_from(first: State, states: int = STATES) -> tuple[int, int]:
    """Number of states visited, and the depth reached. Raises InvariantViolation with the steps that lead to
    it."""
    seen, queue, depth = {first.key()}, deque([(0, first)]), 0
    while queue and len(seen) < states:
        depth, state = queue.popleft()
        for step in state.steps():
            after = state.clone()
            after.step(*step)
            key = after.key()
            if key not in seen:
                seen.add(key)
                queue.append((depth + 1, after))
    return len(seen), depth


@pytest.mark.parametrize("scene", [changes_in_flight, joining, leaving])
def test_no_order_of_events_loses_an_acknowledged_change(scene: Any) -> None:
    states, depth = explore_from(scene(Replica))
    print(f"explored from {scene.__name__}: {states} states, all to depth {depth - 1}")
    assert states >= STATES and depth >= 4


def after_the_acknowledgement(kind: type[Replica]) -> tuple[int, int]:
    """Explores from the state in which a, which acknowledged, has lost its disk, and b its power, while c
    lags."""
    state = changes_in_flight(kind, 1)
    while not state.acknowledged:
        # Messages are delivered first; a disk write is done only when no message can be delivered.
        steps: list[Step] = []
        steps += [("deliver", n) for n, (a, b, _, _) in enumerate(state.in_flight) if C.ip not in (a, b)]
        steps += [s for s in state.steps() if s[0] == "write" and s[1] != C.ip]
        state.step(*steps[0])
    state.in_flight = tuple(w for w in state.in_flight if C.ip not in w[:2])
    state.losses, state.doubles = 2, 0
    state.step("power", B.ip)
    state.step("disk", A.ip)
    return explore_from(state)


def test_losing_a_disk_and_power_after_the_acknowledgement_loses_nothing() -> None:
    states, depth = after_the_acknowledgement(Replica)
    print(f"explored after the acknowledgement: {states} states, depth {depth}")
    assert states >= 1000


@pytest.mark.parametrize("kind", [VotesForAny, CountsBeforeDisk])
def test_exploration_finds_mutants_and_reports_the_steps(kind: type[Replica]) -> None:
    with pytest.raises(InvariantViolation, match="silence"):
        after_the_acknowledgement(kind)
