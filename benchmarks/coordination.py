"""Measures how many coordination calls one leader settles and their delay, compared with one sync per call.

    python benchmarks/coordination.py [--quick]

Five members run the real `Replica`, `CoordinationHandler` and `CoordinationState` on a simulated clock: 2 ms
per sync, 1.4 ms one way between members, and the processor time that each step took on this machine, with one
core per member. Delays are measured at the leader, from a call's arrival to its answer, without the network
to the caller and without forwarding between gateways.

  full      twice as many callers as calls in a turn, each with one put in flight: calls per second, median
            and 99th percentile of the delay, by the maximum number of calls in a turn. 1 is one sync per call.
  reading   the same with reads, which cost a read barrier and no sync.
  offered   puts that arrive at random at a constant rate, with turns as they are and with one sync per call.
  bound     puts at a constant rate until the first is refused because too many recent puts are remembered, or
            for 150 s; and the size of a snapshot of the state then.
  storage   ms of one synced write of the real store, in the temporary folder, by the puts in its entry.

The last line is one JSON object. Target: 2,000 puts per second.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any

from attrs import define, field

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from coralvale.cluster.configuration.history import ChangeHistory  # noqa: E402
from coralvale.cluster.consensus import messages as m  # noqa: E402
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing  # noqa: E402
from coralvale.cluster.coordination import desk as desk_module  # noqa: E402
from coralvale.cluster.coordination import model as c  # noqa: E402
from coralvale.cluster.coordination.desk import CoordinationAnswer, CoordinationHandler  # noqa: E402
from coralvale.cluster.coordination.state import MAX_PUTS, CoordinationState  # noqa: E402
from coralvale.cluster.storage.store import Store  # noqa: E402

MEMBERS = 5
SYNC_S = 0.002
ONE_WAY_S = 0.0014  # latency between members
TICK_S = 0.05
RETAIN_S = 20.0
KEYS = 40
SIZES = (1, 4, 16, 64, 256)  # maximum calls in a turn
DEFAULT_MAX_CALLS = desk_module.MAX_CALLS_PER_TURN
TARGET_RATE = 2000  # puts per second
RATES = (120, 500, TARGET_RATE, 4000)  # calls per second
BOUND_RATES = (TARGET_RATE, 600, 500)
BOUND_S = 150.0
SETTLE_S = 20.0  # for all members to become voters
Job = Callable[[], list[Any]]


@define(eq=False)
class Machine:
    """One member: its core runs one job at a time, its disk one sync at a time."""

    replica: Replica
    state: CoordinationState
    handler: CoordinationHandler
    history: ChangeHistory = field(factory=ChangeHistory)
    jobs: deque[Job] = field(factory=deque)
    busy: bool = False
    unsynced: list[m.Write] = field(factory=list)
    syncing: bool = False
    cpu: float = 0.0  # s
    syncs: int = 0


class Model:
    """A discrete-event simulation of the members on its own clock, in s."""

    def __init__(self) -> None:
        self.now, self.chance, self.serials = 0.0, random.Random(7), count()
        self.tokens = count(1)
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.answered: Callable[[int, c.Outcome], None] = lambda token, outcome: None
        self.machines = [self._machine(n) for n in range(MEMBERS)]
        self.leader = self.machines[0]
        self.by_id = {machine.replica.me.id: machine for machine in self.machines}
        for machine in self.machines:
            self.do(machine, lambda machine=machine: machine.replica.start(self.now))  # type: ignore[misc]
            self.at(TICK_S * self.chance.random(), lambda machine=machine: self._tick(machine))  # type: ignore[misc]
        self.do(self.leader, lambda: self.leader.replica.bootstrap(self.now))
        self.run(SETTLE_S)
        assert self.leader.replica.leading and len(self.leader.replica.voters.new) == MEMBERS

    def _machine(self, number: int) -> Machine:
        me = m.Member(f"disk-{number}", f"gateway-{number}", f"10.0.0.{number}")
        chance = random.Random(number)
        replica = Replica(me, DurableState(), Timing(min_voters=MEMBERS), chance, self.now)
        state = CoordinationState()
        handler = CoordinationHandler(replica, state, lambda: next(self.tokens), chance, RETAIN_S)
        return Machine(replica, state, handler)

    def at(self, when: float, then: Callable[[], None]) -> None:
        heapq.heappush(self.due, (when, next(self.serials), then))

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, then = heapq.heappop(self.due)
            then()
        self.now = until

    def do(self, machine: Machine, job: Job) -> None:
        machine.jobs.append(job)
        if not machine.busy:
            self._work(machine)

    def _work(self, machine: Machine) -> None:
        """Runs the next job; its results leave the machine after the processor time that it took."""
        machine.busy = True
        begun = time.thread_time()
        actions = self._carry_out(machine, machine.jobs.popleft()())
        took = time.thread_time() - begun
        machine.cpu += took
        self.at(self.now + took, lambda: self._finish_work(machine, actions))

    def _finish_work(self, machine: Machine, actions: list[Any]) -> None:
        for action in actions:
            self._emit(machine, action)
        machine.busy = False
        if machine.jobs:
            self._work(machine)

    def _carry_out(self, machine: Machine, actions: list[Any]) -> list[Any]:
        """Carries out deliveries and decisions inside the machine; returns the remaining actions."""
        left, out = deque(actions), list[Any]()
        while left:
            action = left.popleft()
            match action:
                case m.Deliver():
                    if action.entry.kind == m.COORDINATION:
                        left.extend(machine.handler.deliver(self.now, action.entry.body))
                case m.Settled():
                    left.extend(machine.handler.settled(self.now, action.token, action.accepted))
                case m.Restore():
                    image = machine.history.restore(action.snapshot.body)
                    left.extend(machine.handler.restore(image.coordination))
                case _:
                    out.append(action)
        return out

    def _emit(self, machine: Machine, action: Any) -> None:  # noqa: ANN401
        match action:
            case m.Send():
                self.at(self.now + ONE_WAY_S, lambda: self._receive(machine, action))
            case m.Write():
                machine.unsynced.append(action)
                if not machine.syncing:
                    self._sync(machine)
            case CoordinationAnswer():
                self.answered(action.token, action.outcome)

    def _receive(self, source: Machine, sent: m.Send) -> None:
        other, ip = self.by_id[sent.to.id], source.replica.me.ip
        self.do(other, lambda: other.replica.receive(self.now, sent.message, ip, sent.to.id))

    def _sync(self, machine: Machine) -> None:
        """All waiting writes are one transaction, as in the gateway."""
        last, machine.unsynced, machine.syncing = machine.unsynced[-1].number, [], True
        machine.syncs += 1
        self.at(self.now + SYNC_S, lambda: self._finish_sync(machine, last))

    def _finish_sync(self, machine: Machine, last: int) -> None:
        machine.syncing = False
        if machine.unsynced:
            self._sync(machine)
        self.do(machine, lambda: machine.replica.write_completed(self.now, last))

    def _tick(self, machine: Machine) -> None:
        self.do(machine, lambda: self._run_tick(machine))
        self.at(self.now + TICK_S, lambda: self._tick(machine))

    def _run_tick(self, machine: Machine) -> list[Any]:
        replica = machine.replica
        actions: list[Any] = [*replica.tick(self.now), *machine.handler.tick(self.now)]
        if replica.due_for_snapshot():
            actions += replica.save_snapshot(machine.history.image(b"", machine.state.image()))
        if replica.needs_join(self.now):
            actions.append(m.Send(self.leader.replica.me, m.JoinRequest(replica.me)))
        return actions


class Load:
    """Calls at the leader from time `begun` on, and their outcomes. `max_calls`: in a turn."""

    def __init__(self, max_calls: int) -> None:
        desk_module.MAX_CALLS_PER_TURN = max_calls
        self.model = Model()
        self.model.answered = self._answered
        self.leader = self.model.leader
        self.begun, self.cpu, self.syncs = self.model.now, self.leader.cpu, self.leader.syncs
        self.turns = self.leader.handler.turns
        self.sent: dict[int, float] = {}
        self.delays: list[float] = []
        self.outcomes: Counter[str] = Counter()
        self.first_refused_at = 0.0  # s after `begun`
        self.again: Callable[[], None] = lambda: None
        self.serials = count()

    def put(self) -> None:
        serial = next(self.serials)
        self._ask(c.Put(f"g1.{serial % KEYS}", f"{serial:016x}"))

    def get(self) -> None:
        self._ask(c.Get(f"g1.{next(self.serials) % KEYS}"))

    def _ask(self, call: c.Call) -> None:
        token = next(self.model.tokens)
        self.sent[token] = self.model.now
        self.model.do(self.leader, lambda: self.leader.handler.call(self.model.now, token, call))

    def _answered(self, token: int, outcome: c.Outcome) -> None:
        self.outcomes[type(outcome).__name__] += 1
        sent = self.sent.pop(token)
        if isinstance(outcome, c.Full | c.Unavailable | c.Unknown):
            self.first_refused_at = self.first_refused_at or self.model.now - self.begun
        else:
            self.delays.append(self.model.now - sent)
        self.again()

    def callers(self, number: int, ask: Callable[[], None], seconds: float) -> dict[str, Any]:
        """Runs `number` callers with one call in flight each, without pauses."""
        self.again = ask
        for _ in range(number):
            ask()
        self.model.run(self.begun + seconds)
        return self.figures(seconds)

    def offered(self, rate: float, seconds: float, until_full: bool = False) -> dict[str, Any]:
        """Runs puts with exponential inter-arrival times at `rate` per second."""

        def come() -> None:
            if not (until_full and self.first_refused_at):
                self.put()
                self.model.at(self.model.now + self.model.chance.expovariate(rate), come)

        self.model.at(self.begun, come)
        ends = self.begun + seconds
        while self.model.now < ends and not (until_full and self.first_refused_at):
            self.model.run(min(ends, self.model.now + 0.5))
        return {"rate": rate, **self.figures(self.model.now - self.begun)}

    def figures(self, seconds: float) -> dict[str, Any]:
        good = sorted(self.delays)
        turns = self.leader.handler.turns - self.turns
        calls = sum(self.outcomes.values())
        return {
            "calls_a_second": round(len(good) / seconds),
            "p50_ms": round(1e3 * good[len(good) // 2], 1) if good else None,
            "p99_ms": round(1e3 * good[int(len(good) * 0.99)], 1) if good else None,
            "calls_in_a_turn": round(calls / max(1, turns), 1),
            "syncs_a_second": round((self.leader.syncs - self.syncs) / seconds),
            "leader_us_a_call": round(1e6 * (self.leader.cpu - self.cpu) / max(1, calls), 1),
            "first_refused_s": round(self.first_refused_at, 1) or None,
            "outcomes": dict(self.outcomes),
        }


def storage(puts: int, rounds: int) -> dict[str, Any]:
    """Times synced writes to the real store of one entry with `puts` puts."""
    operations = tuple(c.Put(f"g1.{n % KEYS}", f"{n:016x}") for n in range(puts))
    body = c.pack_batch(c.Batch(1, 0, 0, 0, operations))
    took = []
    with tempfile.TemporaryDirectory(prefix="coordination-") as folder:
        store = Store(folder)
        for seq in range(1, rounds + 1):
            entry = m.Entry(seq, 1, m.COORDINATION, body)
            begun = time.perf_counter()
            store.write([m.Write(seq, 1, "a", seq, None, (entry,))])
            took.append(1e3 * (time.perf_counter() - begun))
        store.close()
    took.sort()
    return {
        "puts": puts,
        "bytes": len(body),
        "p50_ms": round(took[rounds // 2], 2),
        "p99_ms": round(took[int(rounds * 0.99)], 2),
    }


def image(state: CoordinationState) -> dict[str, Any]:
    """Time and size of the coordination part of a snapshot. It is taken every 512 entries and blocks all
    else."""
    begun = time.thread_time()
    body = state.image()
    return {"image_ms": round(1e3 * (time.thread_time() - begun), 1), "image_bytes": len(body)}


def print_row(name: str, row: dict[str, Any]) -> dict[str, Any]:
    print(f"{name:24s} {row}", flush=True)
    return row


def main() -> int:
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("--quick", action="store_true", help="shorter runs, without the part `bound`")
    quick = arguments.parse_args().quick
    seconds = 0.5 if quick else 2.0
    full = [
        {"most_in_turn": size}
        | print_row(f"full, {size} in a turn", (load := Load(size)).callers(2 * size, load.put, seconds))
        for size in SIZES
    ]
    reading = print_row(
        "reading, as it is",
        (load := Load(DEFAULT_MAX_CALLS)).callers(2 * DEFAULT_MAX_CALLS, load.get, seconds),
    )
    steady = 1.0 if quick else 5.0
    offered = [
        print_row(f"offered, {rate} a second", Load(DEFAULT_MAX_CALLS).offered(rate, steady))
        for rate in RATES
    ]
    one_each = print_row("offered, one sync a call", Load(1).offered(TARGET_RATE, steady))
    bound = [
        print_row(
            f"bound, {rate} a second",
            (load := Load(DEFAULT_MAX_CALLS)).offered(rate, BOUND_S, until_full=True)
            | image(load.leader.state),
        )
        for rate in (() if quick else BOUND_RATES)
    ]
    desk_module.MAX_CALLS_PER_TURN = DEFAULT_MAX_CALLS
    disk = [print_row("storage", storage(size, 60 if quick else 400)) for size in SIZES]
    at_aim = next(row for row in offered if row["rate"] == TARGET_RATE)
    summary = {
        "benchmark": "coordination",
        "sync_ms": 1e3 * SYNC_S,
        "members": MEMBERS,
        "full": full,
        "reading": reading,
        "offered": offered,
        "offered_one_sync_a_call": one_each,
        "bound": bound,
        "puts_remembered": MAX_PUTS,
        "storage": disk,
        "aim": TARGET_RATE,
        "aim_met": at_aim["calls_a_second"] >= 0.95 * TARGET_RATE and set(at_aim["outcomes"]) == {"Stored"},
        "times_one_sync": round(full[-1]["calls_a_second"] / max(1, full[0]["calls_a_second"]), 1),
    }
    print(json.dumps(summary))
    return 0


if __name__ == "__main__":
    sys.exit(main())
