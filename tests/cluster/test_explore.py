"""Every order of events, within stated bounds, around changes in flight: no schedule is left to chance.

Three voters, a leader with two changes just proposed. At each step one message on its way is delivered (any, so
that others come late, or never) or once more than it was sent, one disk finishes its oldest write, one replica
hears nobody for long, or stands still and hears then, or, within a budget, a replica loses power (unsynced
writes with it), or its disk; in further scenes one joins or one leaves. Breadth first, each state once.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from typing import Any

import pytest
from consensus_world import TIMING, Broken, Disk
from mutants import CountsBeforeDisk, VotesForAny
from test_consensus import VOTERS, A, B, C

from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica
from coralvale.cluster.consensus.state import Progress

STATES = 9000
NEW = m.Member("new", "new", "10.0.0.9")
Step = tuple[str, int | str]


def twin(value: Any) -> Any:
    """A copy that shares nothing that a replica changes."""
    if isinstance(value, dict):
        return {key: twin(item) for key, item in value.items()}
    if isinstance(value, Progress | list | deque | set):
        return copy.copy(value)
    return value


class State:
    """Replicas, their disks, writes and messages under way; what has been seen."""

    def __init__(self, kind: type[Replica]) -> None:
        self.kind, self.now = kind, 10.0
        self.disks = {x.ip: Disk(x.id, DurableState(1, "a", 1, None, [VOTERS])) for x in (A, B, C)}
        self.members: dict[str, Replica] = {}
        self.writes: dict[str, tuple[m.Write, ...]] = {}
        self.way: tuple[tuple[str, str, m.Message, str], ...] = ()
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
            other.__dict__.update({name: twin(value) for name, value in replica.__dict__.items()})
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
        way = frozenset((a, b, repr(w)) for a, b, w, _ in self.way)
        budget = (self.losses, self.silences, self.doubles)
        return members, disks, tuple(self.writes.values()), way, self.acknowledged, budget

    def act(self, ip: str, actions: list[m.Action]) -> None:
        for action in actions:
            match action:
                case m.Send():
                    sent = (ip, action.to.ip, action.message, action.to.id)
                    if sent not in self.way:
                        self.way = (*self.way, sent)
                case m.Write():
                    self.writes[ip] = (*self.writes[ip], action)
                case m.Deliver():
                    if self.delivered.setdefault(action.entry.seq, action.entry) != action.entry:
                        raise Broken(f"two entries as {action.entry.seq}: {self.trace}")
                case m.Settled() if action.accepted:
                    self.acknowledged |= {b"change %d" % action.token}
        replica = self.members[ip]
        lacks = self.acknowledged - {e.body for e in replica.entries}
        if replica.leading and lacks:
            raise Broken(f"a leader lacks what was acknowledged: {self.trace}")

    def steps(self) -> list[Step]:
        found: list[Step] = [("deliver", n) for n in range(len(self.way))]
        found += [("double", n) for n in range(len(self.way)) if self.doubles]
        found += [("write", ip) for ip, writes in self.writes.items() if writes]
        found += [(what, ip) for what in ("silence", "thaw") for ip in self.members if self.silences]
        found += [(what, ip) for what in ("power", "disk") for ip in self.members if self.losses]
        return found

    def step(self, what: str, which: int | str) -> None:
        self.trace = (*self.trace, f"{what} {which}")
        self.now += 0.001
        if isinstance(which, int):
            source, to, message, disk = self.way[which]
            if what == "double":
                self.doubles -= 1
            else:
                self.way = self.way[:which] + self.way[which + 1 :]
            self.act(to, self.members[to].receive(self.now, message, source, disk))
        elif what == "write":
            write, *rest = self.writes[which]
            self.writes[which] = tuple(rest)
            self.disks[which].put(write)
            self.act(which, self.members[which].write_completed(self.now, write.number))
        elif what in ("silence", "thaw"):
            self.silences -= 1
            self.now += 5.0
            if (
                what == "silence"
            ):  # one that stood still and thaws takes messages before its clock is looked at
                self.act(which, self.members[which].tick(self.now))
        else:
            self.losses -= 1
            if what == "disk":
                self.disks[which] = Disk(f"new-{which}")
            self.start(which)


def settle(state: State) -> None:
    """All that is on its way comes to its end, in order."""
    for _ in range(200):
        steps = [s for s in state.steps() if s[0] in ("write", "deliver")]
        if not steps:
            return
        state.step(*steps[0])


def begun(kind: type[Replica], changes: int = 2) -> State:
    """a leads view 2, all know it; changes are proposed."""
    state = State(kind)
    state.step("silence", A.ip)
    settle(state)
    leader = state.members[A.ip]
    assert leader.leading and leader.caught_up
    state.silences, state.trace = 2, ()
    for token in range(changes):
        state.act(A.ip, leader.propose(state.now, token, m.CHANGE, b"change %d" % token))
    return state


def joining(kind: type[Replica]) -> State:
    """A disk that is new at b's address has learned all, and b's place is given to it while a change is in
    flight."""
    state = begun(kind, 0)
    state.members[A.ip].learners[NEW.id] = (m.Member(NEW.id, B.name, NEW.ip), state.now)
    state.disks[NEW.ip] = Disk(NEW.id)
    state.start(NEW.ip)
    state.act(A.ip, state.members[A.ip].tick(state.now + 0.2))
    settle(state)
    state.act(A.ip, state.members[A.ip].propose(state.now, 1, m.CHANGE, b"change 1"))
    state.act(A.ip, state.members[A.ip].tick(state.now + 0.3))
    assert state.members[A.ip].voters.old
    return state


def leaving(kind: type[Replica]) -> State:
    """The leader is asked to leave with a change in flight."""
    state = begun(kind, 1)
    state.act(A.ip, state.members[A.ip].leave(state.now))
    return state


def explore_from(first: State, states: int = STATES) -> tuple[int, int]:
    """States met, and the depth that was reached whole. Raises Broken with the steps that lead there."""
    met, queue, depth = {first.key()}, deque([(0, first)]), 0
    while queue and len(met) < states:
        depth, state = queue.popleft()
        for step in state.steps():
            after = state.clone()
            after.step(*step)
            key = after.key()
            if key not in met:
                met.add(key)
                queue.append((depth + 1, after))
    return len(met), depth


@pytest.mark.parametrize("scene", [begun, joining, leaving])
def test_around_changes_in_flight_nothing_is_lost_in_any_order(scene: Any) -> None:
    states, depth = explore_from(scene(Replica))
    print(f"explored from {scene.__name__}: {states} states, all to depth {depth - 1}")
    assert states >= STATES and depth >= 4


def after_the_acknowledgement(kind: type[Replica]) -> tuple[int, int]:
    """Explores from the moment at which a, who acknowledged, lost its disk, and b its power; c lags."""
    state = begun(kind, 1)
    while not state.acknowledged:
        # Messages as soon as they are sent: of a disk only what a message waits for is done.
        steps: list[Step] = []
        steps += [("deliver", n) for n, (a, b, _, _) in enumerate(state.way) if C.ip not in (a, b)]
        steps += [s for s in state.steps() if s[0] == "write" and s[1] != C.ip]
        state.step(*steps[0])
    state.way = tuple(w for w in state.way if C.ip not in w[:2])
    state.losses, state.doubles = 2, 0
    state.step("power", B.ip)
    state.step("disk", A.ip)
    return explore_from(state)


def test_after_the_acknowledgement_one_disk_and_anothers_power_take_nothing_away() -> None:
    states, depth = after_the_acknowledgement(Replica)
    print(f"explored after the acknowledgement: {states} states, depth {depth}")
    assert states >= 1000


@pytest.mark.parametrize("kind", [VotesForAny, CountsBeforeDisk])
def test_what_is_wrong_is_found_with_the_steps_that_lead_there(kind: type[Replica]) -> None:
    with pytest.raises(Broken, match="silence"):
        after_the_acknowledgement(kind)
