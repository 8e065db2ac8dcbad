"""Simulates applications' calls on a virtual clock against replicas that crash, freeze, stall or are
partitioned.

    PYTHONPATH=.:tests/cluster python tests/cluster/coordination_world.py --seeds 250 --first 0 --jobs 2

runs that many schedules with each number of members and prints a summary; the exit code is 1 if a rule was
broken. A schedule is a seed and a number of members; the same two give the same run with the same
PYTHONHASHSEED.

Behind each replica stand the real `CoordinationHandler` and `CoordinationState`. Callers use any gateway and
try another after a second without an answer; calls on their way to the leader may be delayed by seconds.
`coordination_checker` checks what callers observed and knows nothing of the simulation.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import Counter
from collections.abc import Generator
from multiprocessing import Pool
from typing import Any

import simpy
from attrs import define, frozen
from consensus_world import InvariantViolation, Machine, World
from coordination_checker import Record, check

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import Replica
from coralvale.cluster.coordination import model as c
from coralvale.cluster.coordination.desk import CoordinationAnswer, CoordinationHandler
from coralvale.cluster.coordination.state import CoordinationState

SECONDS = 20.0
MEMBERS = (3, 4, 5)
CALL_TIMEOUT_S = 1.0  # then a caller tries another gateway
RETRY_S = 4.0  # how long a call without a clear answer is retried
READ_BACK_S = 6.0  # how long calls are retried at the end
RETAIN_S = 2.0  # short, so that events are compacted within a schedule
DELAYED_SHARE = 0.04  # fraction of the calls to the leader that are delayed
MAX_DELAY_S = 6.0
REPORT_EVERY = 30  # schedules
MAX_COMMIT_LAG = 10  # log entries
EDGE_COUNT = 2  # gateways without a replica
LOCKS, KEYS, NUMBERS = ("l1", "l2"), ("g1.a", "g1.b", "g2.a"), ("n1",)
HOLDS_MS = (200, 600, 1500, 3000)
NOT_DONE = c.Unavailable | c.Full
Process = Generator[simpy.Event, Any, Any]


@define(eq=False)
class Edge:
    """A gateway without a replica."""

    ip: str
    frozen_until: float = 0.0


@define(eq=False)
class Member:
    """State and handler of one process; `life` counts the processes of a machine."""

    life: int
    state: CoordinationState
    handler: CoordinationHandler


@frozen
class Waiting:
    """A call pending at the leader."""

    gateway: Edge | Machine
    reply: simpy.Event


class CoordinationWorld(World):
    """A `World` whose replicas also handle coordination calls, with callers and their history."""

    def __init__(
        self,
        seed: int,
        members: int,
        handler: type[CoordinationHandler] = CoordinationHandler,
        state: type[CoordinationState] = CoordinationState,
        kind: type[Replica] = Replica,
    ) -> None:
        self.handler_type, self.state_type = handler, state
        self.members: dict[str, Member] = {}
        self.at_leader: dict[int, Waiting] = {}
        self.history: list[Record] = []
        self.gateway_by_caller: dict[str, Edge | Machine] = {}  # by caller
        self.resume_from: dict[str, int] = {}  # by group: revision to resume from at the end
        self.edges = [Edge(f"10.9.0.{n}") for n in range(EDGE_COUNT)]
        self.values = self.late = 0
        self.calm = False  # whether all faults are over
        super().__init__(seed, members, kind)

    # Machines

    def member(self, place: Machine) -> Member:
        """The state and handler of the process that runs now."""
        known = self.members.get(place.ip)
        if known is None or known.life != place.life:
            known = self.members[place.ip] = self.make_member(place)
        return known

    def make_member(self, place: Machine) -> Member:
        assert place.replica
        state = self.state_type()
        chance = random.Random(self.chance.random())
        handler = self.handler_type(place.replica, state, self.next_token, chance, RETAIN_S)
        handler.event_retention_ms -= 10_000  # the margin is longer than a schedule
        return Member(place.life, state, handler)

    def next_token(self) -> int:
        self.tokens += 1
        return self.tokens

    def run(self, place: Machine, life: int) -> Process:
        while place.life == life and place.replica:
            late = 0.3 if not self.calm and self.chance.random() < 0.01 else 0.0
            yield self.env.timeout(0.04 + 0.02 * self.chance.random() + late)
            yield from self.wait_while_frozen(place)
            if place.life != life or not place.replica:
                return
            replica, member = place.replica, self.member(place)
            self.act(place, replica.tick(self.env.now))
            self.act(place, member.handler.tick(self.env.now))
            if replica.due_for_snapshot():
                self.act(place, replica.save_snapshot(place.history.image(b"", member.state.image())))
            if replica.needs_join(self.env.now) and not replica.leaving and (leader := self.leader()):
                self.send(place, leader.ip, m.JoinRequest(replica.me))

    def carry_out(self, place: Machine, action: Any) -> None:  # noqa: ANN401
        now = self.env.now
        match action:
            case m.Deliver() if action.entry.kind == m.COORDINATION:
                self.check_delivered(place, action.entry)
                place.pending.extend(self.member(place).handler.deliver(now, action.entry.body))
            case m.Restore():
                image = place.history.restore(action.snapshot.body)
                place.pending.extend(self.member(place).handler.restore(image.coordination))
            case m.Settled():
                place.pending.extend(self.member(place).handler.settled(now, action.token, action.accepted))
            case CoordinationAnswer():
                if waiting := self.at_leader.pop(action.token, None):
                    self.env.process(self.send_answer(place, waiting, action.outcome))
            case _:
                super().carry_out(place, action)

    # Path of a call

    def ask(self, caller: str, call: c.Call, at: Edge | Machine | None = None) -> Process:
        """Makes one call, at gateway `at` or any, and records it in the history; returns its outcome, None if
        none came in time."""
        reply, sent = self.env.event(), self.env.now
        record = len(self.history)
        timeout_s = CALL_TIMEOUT_S + (call.poll_ms / 1000 if isinstance(call, c.Watch) else 0.0)
        self.history.append(Record(caller, call, sent, sent + timeout_s))
        self.env.process(self.route_call(at or self.gateway_of(caller), call, reply))
        yield reply | self.env.timeout(timeout_s)
        outcome = reply.value if reply.triggered else None
        if isinstance(outcome, c.Unknown):
            outcome = None
        self.history[record] = Record(caller, call, sent, self.env.now, outcome)
        if outcome is None or isinstance(outcome, NOT_DONE):
            self.gateway_by_caller.pop(caller, None)
        if isinstance(outcome, c.Stored | c.Granted | c.Number):
            # `trouble` counts these, to cause faults right after an acknowledgement.
            self.acknowledged[b"%d" % record] = Change(0, True, b"")
        return outcome

    def gateway_of(self, caller: str) -> Edge | Machine:
        """A caller stays at one gateway until it gets a failure or a timeout from it."""
        known = self.gateway_by_caller.get(caller)
        if known is None or (isinstance(known, Machine) and self.machines.get(known.ip) is not known):
            known = self.gateway_by_caller[caller] = self.chance.choice(
                [*self.machines.values(), *self.edges]
            )
        return known

    def route_call(self, gateway: Edge | Machine, call: c.Call, reply: simpy.Event) -> Process:
        """Delivers a call to the gateway, which forwards it to the leader that it knows of."""
        yield self.env.timeout(0.001 + 0.004 * self.chance.random())
        yield from self.wait_while_frozen(gateway)
        if isinstance(gateway, Machine) and (
            not gateway.replica or self.machines.get(gateway.ip) is not gateway
        ):
            self.tell(reply, c.Unknown("it is down"))
            return
        leader = self.known_leader(gateway)
        if leader is None:
            self.tell(reply, c.Unavailable("no leader is known"))
        elif leader is gateway:
            self.arrive_at(leader, gateway, call, reply)
        else:
            yield from self.forward(gateway, leader, call, reply)

    def known_leader(self, gateway: Edge | Machine) -> Machine | None:
        knows = gateway if isinstance(gateway, Machine) else self.chance.choice(list(self.machines.values()))
        if not knows.replica or not (named := knows.replica.voters.all().get(knows.replica.leader)):
            return None
        return self.machines.get(named.ip)

    def forward(self, gateway: Edge | Machine, leader: Machine, call: c.Call, reply: simpy.Event) -> Process:
        life = leader.life
        yield self.env.timeout(0.001 + 0.01 * self.chance.random() ** 3)
        if not self.calm and self.chance.random() < DELAYED_SHARE:
            self.late += 1
            yield self.env.timeout(MAX_DELAY_S * self.chance.random())
        if not (yield from self.travels(gateway.ip, leader.ip)):
            return
        yield from self.wait_while_frozen(leader)
        if leader.life != life and self.chance.random() < 0.7:
            return  # lost with its connection; otherwise it was queued for the next one
        self.arrive_at(leader, gateway, call, reply)

    def travels(self, source: str, to: str) -> Process:
        """Whether a message arrives: a partition loses it, or delays it until the partition heals."""
        if (source, to) in self.blocked_links and self.chance.random() < 0.5:
            return False
        while (source, to) in self.blocked_links:
            yield self.env.timeout(0.01)
        return True

    def arrive_at(self, place: Machine, gateway: Edge | Machine, call: c.Call, reply: simpy.Event) -> None:
        if not place.replica or self.machines.get(place.ip) is not place:
            return
        token = self.next_token()
        self.at_leader[token] = Waiting(gateway, reply)
        if not place.replica.leading:
            self.act(place, [CoordinationAnswer(token, c.Unavailable("not the leader"))])
            return
        self.act(place, self.member(place).handler.call(self.env.now, token, call))

    def send_answer(self, leader: Machine, waiting: Waiting, outcome: c.Outcome) -> Process:
        yield self.env.timeout(0.001 + 0.01 * self.chance.random() ** 3)
        if waiting.gateway is leader or (yield from self.travels(leader.ip, waiting.gateway.ip)):
            yield from self.wait_while_frozen(waiting.gateway)
            self.tell(waiting.reply, outcome)

    def tell(self, reply: simpy.Event, outcome: c.Outcome) -> None:
        if not reply.triggered:
            reply.succeed(outcome)

    # Callers

    def call_until_clear(self, caller: str, call: c.Call, seconds: float = RETRY_S) -> Process:
        """Retries a call for `seconds` until there is a clear answer other than a failure."""
        ends, outcome = self.env.now + seconds, None
        while self.env.now < ends:
            outcome = yield from self.ask(caller, call)
            if outcome is not None and not isinstance(outcome, NOT_DONE):
                return outcome
            yield self.env.timeout(0.05 + 0.1 * self.chance.random())
        return None

    def hold_locks(self, owner: str, until: float) -> Process:
        """Acquires and releases locks, always as the same owner, whatever became of its earlier holds."""
        while self.env.now < until:
            yield self.env.timeout(0.3 * self.chance.random())
            name, hold_ms = self.chance.choice(LOCKS), self.chance.choice(HOLDS_MS)
            sent = self.env.now
            outcome = yield from self.ask(owner, c.Acquire(name, owner, hold_ms))
            ends = sent + hold_ms / 1000
            if not isinstance(outcome, c.Granted) or self.env.now >= ends:
                continue
            drawn = self.chance.random()
            if drawn < 0.4:
                yield self.env.timeout(0.1 * self.chance.random())
            elif drawn < 0.7:
                yield from self.renew_lock(owner, name, outcome.fence, ends)
            elif drawn < 0.85:  # the holder crashes
                yield self.env.timeout(2 * self.chance.random())
                continue
            else:  # the holder oversleeps its lease
                yield self.env.timeout(ends - self.env.now + self.chance.random())
                yield from self.ask(owner, c.Renew(name, owner, outcome.fence, hold_ms))
            release = c.Release(name, owner, outcome.fence)
            if self.chance.random() < 0.7:
                yield from self.call_until_clear(owner, release)
            else:  # it acquires again, whatever becomes of the release
                self.env.process(self.ask(owner, release))

    def renew_lock(self, owner: str, name: str, fence: int, ends: float) -> Process:
        """Keeps a lock by renewals with shorter and longer hold times."""
        for _ in range(self.chance.randrange(1, 8)):
            yield self.env.timeout((ends - self.env.now) * 0.6 * self.chance.random())
            hold_ms, sent = self.chance.choice(HOLDS_MS), self.env.now
            outcome = yield from self.ask(owner, c.Renew(name, owner, fence, hold_ms))
            if isinstance(outcome, c.Renewed) and self.env.now < ends:
                ends = sent + hold_ms / 1000
            if isinstance(outcome, c.NotHeld) or self.env.now >= ends:
                return

    def draw_numbers(self, caller: str, until: float) -> Process:
        """Draws numbers."""
        while self.env.now < until:
            yield self.env.timeout(0.2 * self.chance.random())
            yield from self.ask(caller, c.NextNumber(self.chance.choice(NUMBERS)))

    def put_values(self, caller: str, until: float) -> Process:
        """Puts values, with and without an expected revision, and repeats some puts."""
        known: dict[str, int] = {}
        while self.env.now < until:
            yield self.env.timeout(0.15 * self.chance.random())
            key = self.chance.choice(KEYS)
            self.values += 1
            expected = self.chance.choice((None, known.get(key, 0), known.get(key, 0)))
            put = c.Put(key, f"{caller}-{self.values}", expected)
            outcome = yield from self.call_until_clear(caller, put)
            if isinstance(outcome, c.Stored | c.Conflict):
                known[key] = outcome.revision
            if self.chance.random() < 0.05:  # its answer was lost
                self.env.process(self.call_until_clear(caller, put))

    def read_keys(self, caller: str, until: float) -> Process:
        while self.env.now < until:
            yield self.env.timeout(0.15 * self.chance.random())
            yield from self.ask(caller, c.Get(self.chance.choice(KEYS)))

    def watch_group(self, caller: str, group: str, until: float) -> Process:
        after = 0
        while self.env.now < until:
            outcome = yield from self.ask(caller, c.Watch(group, after, 700))
            if isinstance(outcome, c.Watched):
                after = self.resume_from[group] = outcome.revision
            elif isinstance(outcome, c.Compacted):
                after = 0
            slept = self.chance.choice((0.01, 0.01, 0.01, 0.01, 0.8 * RETAIN_S, 4 * RETAIN_S))
            yield self.env.timeout(slept * self.chance.random())

    def run_operators(self, until: float) -> Process:
        """Runs all callers."""
        callers = [self.hold_locks(f"holder-{n}", until) for n in range(5)]
        callers += [self.draw_numbers(f"counts-{n}", until) for n in range(2)]
        callers += [self.put_values(f"puts-{n}", until) for n in range(3)]
        callers += [self.read_keys(f"reads-{n}", until) for n in range(2)]
        callers += [self.watch_group(f"watches-{n}", f"g{n % 2 + 1}.", until) for n in range(4)]
        yield self.env.all_of([self.env.process(caller) for caller in callers])

    def read_back(self) -> Process:
        """Acquires every lock, reads every key and group, and draws every number once more."""
        calls: list[c.Call] = [c.Acquire(name, "last", 200) for name in LOCKS]
        calls += [c.Get(key) for key in KEYS]
        calls += [c.NextNumber(name) for name in NUMBERS]
        for group in {c.group_of(key) for key in KEYS}:
            calls += [c.Watch(group, 0, 0), c.Watch(group, self.resume_from.get(group, 0), 200)]
        asked = [self.env.process(self.call_until_clear("last", call, READ_BACK_S)) for call in calls]
        yield self.env.all_of(asked)

    # Faults, in addition to `trouble`

    def disturb(self, until: float) -> Process:
        """Short faults beside losses: frozen gateways, stalled disks, partitioned leaders."""
        while self.env.now < until:
            yield self.env.timeout(0.5 + 2 * self.chance.random())
            place, seconds = self.chance.choice(list(self.machines.values())), self.chance.random()
            match self.chance.choice(("edge", "place", "disk", "leader", "cut", "cut")):
                case "edge":
                    self.chance.choice(self.edges).frozen_until = self.env.now + 4 * seconds
                case "place":
                    place.frozen_until = max(place.frozen_until, self.env.now + seconds)
                case "disk":
                    place.full_until = max(place.full_until, self.env.now + 0.6 * seconds)
                case "leader":  # about as long as an election takes
                    leader = self.leader() or place
                    leader.frozen_until = max(leader.frozen_until, self.env.now + 0.6 + 0.4 * seconds)
                case "cut":
                    yield from self.partition(self.leader() or place, 0.6 + seconds)

    def partition(self, place: Machine, seconds: float) -> Process:
        """Partitions a replica from the others: both directions, or only outgoing, or only incoming."""
        others = [ip for ip in self.machines if ip != place.ip]
        ways = {(place.ip, ip) for ip in others}, {(ip, place.ip) for ip in others}
        fresh = self.chance.choice((ways[0] | ways[1], *ways)) - self.blocked_links
        self.blocked_links |= fresh
        yield self.env.timeout(seconds)
        self.blocked_links -= fresh

    def wait_until_recovered(self) -> Process:
        """As in `World`, but until the faults are over, commit indexes may differ by `MAX_COMMIT_LAG`."""
        for _ in range(600):
            yield self.env.timeout(0.05)
            replicas = [p.replica for p in self.machines.values() if p.replica]
            ids = {p.disk.id for p in self.machines.values()}
            calm = [r for r in replicas if r.caught_up and not r.voters.old and r.in_contact(self.env.now)]
            commits = [r.commit for r in calm]
            if len(calm) != len(ids) or max(commits) - min(commits) > (0 if self.calm else MAX_COMMIT_LAG):
                continue
            voters = {v.id for v in calm[0].voters.new}
            expected = len(ids) - 1 + len(ids) % 2
            if voters <= ids and len(voters) == expected and len({r.voters for r in calm}) == 1:
                return
        raise InvariantViolation(f"not whole again after 30 s at {self.env.now:.1f}")

    def play(self, seconds: float) -> int:
        """Runs a schedule; returns the number of calls. Raises Broken."""
        self.env.run(self.env.process(self.wait_until_recovered()))
        asking = self.env.process(self.run_operators(seconds))
        self.env.process(self.disturb(seconds - 2.0))
        self.env.run(self.env.process(self.inject_faults(seconds)))
        self.env.run(asking)
        self.finish()
        return len(self.history)

    def finish(self) -> None:
        """Ends all faults, reads everything back, and checks the history. Raises Broken."""
        self.calm = True
        self.env.run(self.env.process(self.wait_until_recovered()))
        end = self.env.now
        self.env.run(self.env.process(self.read_back()))
        self.env.run(self.env.process(self.wait_until_recovered()))
        self.check_history(end)
        self.check_end()

    def check_history(self, end: float | None = None) -> None:
        """Checks the history. Raises Broken."""
        if found := check(self.history, RETAIN_S, end):
            raise InvariantViolation(
                "; ".join(f"{violation.rule}: {violation.reason}" for violation in found[:3])
            )

    def check_end(self) -> None:
        """Replicas that hold the same log hold the same state."""
        images: dict[int, set[bytes]] = {}
        for place in self.machines.values():
            if place.replica:
                images.setdefault(place.replica.applied, set()).add(self.member(place).state.image())
        if any(len(of_one) > 1 for of_one in images.values()):
            raise InvariantViolation("replicas with the same log hold different states")


def play(schedule: tuple[int, int]) -> tuple[str, Counter[str], int]:
    """Runs one schedule: the violation or "", calls by outcome, and the number of delayed calls."""
    seed, members = schedule
    world = CoordinationWorld(seed, members)
    broken = ""
    try:
        world.play(SECONDS)
    except InvariantViolation as error:
        broken = f"CoordinationWorld({seed}, {members}).play({SECONDS}): {error}"
    outcomes = Counter(
        f"{type(r.call).__name__} {type(r.outcome).__name__ if r.outcome else 'unclear'}"
        for r in world.history
    )
    return broken, outcomes, world.late


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    given = parser.parse_args()
    schedules = [(s, n) for s in range(given.first, given.first + given.seeds) for n in MEMBERS]
    outcomes, late, broken = Counter[str](), 0, 0
    with Pool(given.jobs) as pool:
        for done, (problem, of_one, late_ones) in enumerate(pool.imap_unordered(play, schedules), 1):
            outcomes, late = outcomes + of_one, late + late_ones
            if problem:
                broken += 1
                print(problem, flush=True)
            if done % REPORT_EVERY == 0:
                print(f"{done} of {len(schedules)} schedules, {broken} broken", flush=True)
    print(f"{len(schedules)} schedules, {outcomes.total()} calls, {late} late at the leader, {broken} broken")
    print(", ".join(f"{what} {count}" for what, count in sorted(outcomes.items())))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
