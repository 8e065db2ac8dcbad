"""Bounded model checking: every order and every loss of messages in a small world, up to a depth.

The world is two gateways with the real decisions, two hosts, one counter and one customer. At each step any
message on its way may come next, be lost (within a budget), or time may pass. States that have been met are
not gone into again; two that differ only in what cannot matter may count twice, but none that differs is
taken for another (`Canon`). From every leaf the rest is played to its end without faults, so that a lost
answer shows.
"""

from __future__ import annotations

import hashlib
import itertools
import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from coralvale import Gateway
from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.lab.model import Plan, Violation
from coralvale.lab.truth import Rules, Store
from coralvale.lab.world.fleet import Policy

STEP = 0.3  # s that pass at once
TOOK = 0.02  # s that an answer says it took: messages take no time here but what `wait` lets pass
PATIENCE = 0.12  # s after which a call to the counter counts as failed
SLACK = 0.5
LIMIT = 200  # steps in which a leaf has to come to rest
AGED = 10.0  # s that gateways are old when it begins: a new one has nothing of a ceiling yet
PLAN = Plan(name="only", rate=1.0, burst=3.0, ceiling_rate=0.4, ceiling_burst=2.0, ceiling_slack=0.0)
Make = Callable[[api.Settings, int], Policy]


@dataclass(frozen=True)
class Bounds:
    """How far is looked."""

    depth: int = 7  # choices in a row
    losses: int = 1  # messages lost, connections broken
    requests: int = 2
    states: int = 200_000


@dataclass
class Report:
    """What was found. `path` leads to the first violation, choice by choice."""

    states: int = 0
    leaves: int = 0
    met_again: int = 0
    complete: bool = True
    violation: Violation | None = None
    path: tuple[str, ...] = ()


@dataclass
class Message:
    """On its way: `kind` is one of ask, list, send, answer, call, total."""

    kind: str
    to: int
    given: tuple[object, ...]
    due: float = 0.0

    def __str__(self) -> str:
        what = self.given[0]
        name = getattr(what, "request", None) or getattr(what, "id", None) or getattr(what, "name", "")
        return f"{self.kind} {name} to {self.to}"


@dataclass
class Small:
    """The whole state; pickled between choices."""

    make: Make
    requests: int
    now: float = 0.0
    gateways: list[Policy] = field(default_factory=list)
    out: list[Message] = field(default_factory=list)
    timers: list[tuple[float, int, int]] = field(default_factory=list)  # due, gateway, token
    totals: dict[int | str, float] = field(default_factory=dict)
    # attempt: when it times out, its gateway, when it was sent
    until: dict[tuple[str, int], tuple[float, int, float]] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    at: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )  # request: gateway, time by which it is answered
    answers: dict[str, int] = field(default_factory=dict)
    told: dict[tuple[int, str], float] = field(default_factory=dict)
    taken: dict[str, None] = field(default_factory=dict)
    store: Store = field(default_factory=lambda: Store(PLAN))
    found: list[Violation] = field(default_factory=list)
    rules: Rules = field(init=False)

    def __post_init__(self) -> None:
        self.rules = Rules(self.found.append, 0.5, SLACK)
        settings = api.Settings(
            gateways=2, zone=0,
            classes=(api.RequestClass("write", 1.0, 2.0, 1.0, api.Repeat.UNSAFE),),
            plans=(api.Plan("only", PLAN.rate, PLAN.burst, 0, 1, 0, 0, PLAN.ceiling_rate, PLAN.ceiling_burst),),
            drain_grace=0.5, cold_share=0.25, warm_after=10.0, fall_multiple=2.0, fall_window=3.0, max_attempts=3,
            may_count=True, counter_timeout=0.03, max_advice=0.5,
        )  # fmt: skip
        self.gateways = [self.make(settings, seed) for seed in (1, 2)]
        servers = tuple(api.Server(name, api.ServerState.HEALTHY) for name in ("a", "b"))
        for g in (0, 1):
            self.feed(g, api.ServerList(api.ListKind.FULL, servers))
        self.pass_time(AGED)
        for g in (0, 1):
            drain = api.Server("a", api.ServerState.DRAINING)
            self.out.append(Message("list", g, (api.ServerList(api.ListKind.CHANGES, (drain,)),)))
        for n in range(self.requests):
            told = api.Request(f"r{n}", 0, 0, 7, 2, 0.0)
            self.out.append(Message("ask", n % 2, (told,)))

    # What may happen

    def choices(self, losses: int) -> Iterator[str]:
        for n, message in enumerate(self.out):
            yield f"{n}"
            if losses and message.kind in ("send", "answer", "call", "total"):
                yield f"lose {n}"
            if losses and message.kind == "send":
                yield f"break {n}"
        yield "wait"

    def do(self, choice: str) -> bool:
        """Carries a choice out; whether it used up a loss."""
        if choice == "wait":
            self.pass_time(STEP)
            return False
        word, _, number = choice.rpartition(" ")
        message = self.out.pop(int(number))
        if not word:
            self.deliver(message)
        elif message.kind == "send":
            send, attempt, gateway = message.given
            assert isinstance(send, api.Send) and isinstance(attempt, int) and isinstance(gateway, int)
            if word == "break":  # it ran, and the connection broke before its answer
                self.host(send, attempt, gateway, Outcome.RESET)
            else:  # no connection came about
                self.answer(gateway, send.request, attempt, Outcome.CONNECT_FAILED)
        elif message.kind == "call":
            self.timers.append((self.now + PATIENCE, message.to, -1))
        return bool(word)

    def deliver(self, message: Message) -> None:
        what = message.given[0]
        if message.kind == "list":
            self.told[message.to, "a"] = self.now
            self.feed(message.to, what)  # type: ignore[arg-type]
        elif message.kind == "ask":
            assert isinstance(what, api.Request)
            ends = self.now + 2.0
            self.at[what.id] = message.to, ends
            self.feed(message.to, api.Request(what.id, 0, 0, 7, 2, ends))
        elif message.kind == "send":
            send, attempt, gateway = message.given
            assert isinstance(send, api.Send) and isinstance(attempt, int) and isinstance(gateway, int)
            self.host(send, attempt, gateway, Outcome.OK)
        elif message.kind == "call":
            assert isinstance(what, api.Count)
            total = self.totals[what.name] = self.totals.get(what.name, 0.0) + what.amount
            reply = api.CounterReply(what.name, True, total)
            self.out.append(Message("total", message.to, (reply,)))
        else:
            self.feed(message.to, what)  # type: ignore[arg-type]

    def host(self, send: api.Send, attempt: int, gateway: int, outcome: Outcome) -> None:
        """A host has a request: it runs it at once."""
        if send.request not in self.taken:
            self.taken[send.request] = None
            self.store.take(self.now)
            self.rules.charged(self.now, 7, self.store)
        self.rules.ran(self.now, send.request, "unsafe", 0.0, send.server)
        done = api.AttemptDone(
            send.request, attempt, outcome, TOOK, outcome is Outcome.OK, broke=outcome is not Outcome.OK
        )
        self.out.append(Message("answer", gateway, (done,)))

    def answer(self, gateway: int, name: str, attempt: int, outcome: Outcome) -> None:
        told = self.until.get((name, attempt))
        delay = self.now - told[2] if told else 0.0
        self.feed(gateway, api.AttemptDone(name, attempt, outcome, delay, False))

    def pass_time(self, seconds: float) -> None:
        """Timers, timeouts and what is overdue by then, in order."""
        end = self.now + seconds
        while True:
            due = min(self.timers, default=None)
            timeout = min(((t[0], key) for key, t in self.until.items()), default=None)
            if due and due[0] <= end and (not timeout or due[0] <= timeout[0]):
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                if due[2] >= 0:
                    self.feed(due[1], api.TimerFired(due[2]))
            elif timeout and timeout[0] <= end:
                self.now = max(self.now, timeout[0])
                _, gateway, _ = self.until[timeout[1]]
                self.answer(gateway, *timeout[1], Outcome.TIMEOUT)
                self.until.pop(timeout[1], None)
            else:
                break
        self.now = end
        for name, (gateway, ends) in self.at.items():
            if not self.answers.get(name) and self.now > ends + SLACK and not self.found:
                self.rules.silent(self.now, name, gateway)

    def feed(self, g: int, event: api.Event) -> None:
        if isinstance(event, api.AttemptDone):
            if self.until.pop((event.request, event.attempt), None) is None:
                return  # it has timed out before
            if event.outcome is Outcome.OK:
                self.final(event.request)
        for action in self.gateways[g].handle(1000.0 + self.now, self._stamped(event)):
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, g, action.token))
            elif isinstance(action, api.Send):
                number = self.attempts.get(action.request, 0)
                self.attempts[action.request] = number + 1
                self.until[action.request, number] = action.until - 1000.0, g, self.now
                self.rules.sent(self.now, g, action.server, self.told.get((g, action.server)))
                self.out.append(Message("send", g, (action, number, g)))
            elif isinstance(action, api.Count):
                self.out.append(Message("call", g, (action,)))
            elif isinstance(action, api.Refuse | api.Fail):
                self.final(action.request)

    def _stamped(self, event: api.Event) -> api.Event:
        if isinstance(event, api.Request):
            return api.Request(event.id, 0, 0, 7, 2, 1000.0 + event.expires_at)
        return event

    def final(self, name: str) -> None:
        self.answers[name] = self.answers.get(name, 0) + 1
        self.rules.answered(self.now, name, self.answers[name])

    def rest(self) -> None:
        """All that is left, in order and without loss, until nothing is open."""
        for _ in range(LIMIT):
            if self.found or (not self.out and self.now > AGED + 8.0):
                return
            self.do("0" if self.out else "wait")


class Canon:
    """The same bytes for states that no event can tell apart: values by what they hold, objects by order."""

    def __init__(self) -> None:
        self.met: dict[int, int] = {}
        self.parts: list[str] = []

    def mark(self, world: Small, losses: int) -> bytes:
        self._walk(losses)
        self._walk(world)
        return hashlib.blake2b("\0".join(self.parts).encode(), digest_size=16).digest()

    def _walk(self, it: Any) -> None:  # noqa: ANN401
        add = self.parts.append
        if it is None or isinstance(it, int | float | str | Enum):
            return add(repr(it))
        if isinstance(it, random.Random):
            return add(str(hash(it.getstate())))
        if callable(it):
            return add(getattr(it, "__qualname__", type(it).__name__))
        if not isinstance(it, tuple) and id(it) in self.met:
            return add(f"#{self.met[id(it)]}")
        self.met[id(it)] = len(self.met)
        add(type(it).__name__)
        names = [*getattr(it, "__dict__", ()), *_slots(type(it))]
        if isinstance(it, dict):  # in its order, which decisions may go by
            it_holds: list[Any] = [part for pair in it.items() for part in pair]
        elif isinstance(it, tuple | list | deque):
            it_holds = list(it)
        elif names:
            it_holds = []
        else:
            raise TypeError(f"cannot tell states apart by a {type(it).__name__}")
        add(str(len(it_holds)))
        for part in it_holds:
            self._walk(part)
        for name in names:
            self._walk(getattr(it, name, None))
        return None


def _slots(kind: type) -> list[str]:
    return [name for base in kind.__mro__ for name in getattr(base, "__slots__", ())]


def explore(bounds: Bounds, make: Make = Gateway, say: Callable[[int], None] = lambda states: None) -> Report:
    """Looks at every state within the bounds, shallow ones first; ends at the first violation."""
    report = Report()
    start = pickle.dumps(Small(make, bounds.requests))
    seen = {Canon().mark(pickle.loads(start), bounds.losses)}
    level: list[tuple[bytes, int, tuple[str, ...]]] = [(start, bounds.losses, ())]
    for depth in itertools.count():
        following: list[tuple[bytes, int, tuple[str, ...]]] = []
        for state, losses, path in level:
            if depth >= bounds.depth or report.states >= bounds.states:
                report.complete = report.complete and depth >= bounds.depth
                report.leaves += 1
                leaf: Small = pickle.loads(state)
                leaf.rest()
                if leaf.found:
                    report.violation, report.path = leaf.found[0], (*path, "rest")
                    return report
                continue
            here: Small = pickle.loads(state)
            for choice in here.choices(losses):
                world: Small = pickle.loads(state)
                said = "wait" if choice == "wait" else _say(choice, world)
                lost = world.do(choice)
                report.states += 1
                if report.states % 1000 == 0:
                    say(report.states)
                if world.found:
                    report.violation, report.path = world.found[0], (*path, said)
                    return report
                world.out.sort(key=str)
                mark = Canon().mark(world, losses - lost)
                if mark in seen:
                    report.met_again += 1
                    continue
                seen.add(mark)
                reached = pickle.dumps(world)
                following.append((reached, losses - lost, (*path, said)))
        if not following:
            return report
        level = following
    return report


def _say(choice: str, world: Small) -> str:
    word, _, number = choice.rpartition(" ")
    return f"{word or 'deliver'} {world.out[int(number)]}"
