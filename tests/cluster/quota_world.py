"""Many gateways' limiters on a virtual clock, with what can go wrong between them, and schedules of it.

    PYTHONPATH=. python tests/cluster/quota_world.py --seeds 250 --first 0 --jobs 6

plays that many schedules of each kind and prints the worst window as a part of the rule's bound; exit code 1
if one passed it. A schedule is a seed and a kind: the same two play the same again.
"""

from __future__ import annotations

import argparse
import itertools
import math
import random
import sys
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from multiprocessing import Pool

import simpy
from attrs import frozen

from coralvale.cluster.consensus import messages as consensus
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.rate_limit.actions import (
    Action,
    Admitted,
    AskTokens,
    Decided,
    GrantTokens,
    Refused,
    ReturnTokens,
)
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import GRANT_LIFE, Rule
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.rate_limit.usage import PERIOD, Use
from coralvale.cluster.share_desk import TAKEN_WITHIN, ShareAnswer, ShareClaim, ShareDesk

RULE = Rule(window=5.0, excess=0.1, slack=20.0)
FOUNDED = 4.0  # s until all gateways of a new fleet own their parts
PATIENCE = 0.06  # s that a request waits for a token
CLAIM_EVERY, CLAIM_SOON = 2.0, 0.3  # s between claims of a gateway; where it has something to learn
TENANT = "t"
CAPACITY_EVERY = 16  # requests let through, between looks at what all gateways own
GRACE = 2.0  # s for which a gateway that is stopped serves on before it gives its parts up
LAST_WORDS = 0.24  # s from then until its process has ended
BUDGET, BUDGET_LEFT = 0.1, 0.02  # s: a core's period, and what of it its share lasts for
REACHED = 0.01  # s on a free way to a host
HELD = 1.0  # s after which a try that a host keeps silent on is made again elsewhere
DEADLINE = 5.0  # s after which a client waits no longer
Terms = tuple[float, float]  # rate a second, burst
FIXED = random.Random(1)


class Core:
    """A replica that is the only voter, with a disk, and its desk of shares. Another process goes on from the
    disk of the one before."""

    def __init__(
        self, now: float, durable: DurableState | None = None, chance: random.Random = FIXED
    ) -> None:
        self.durable = durable or DurableState()
        me = consensus.Member("d1", "core", "10.0.0.1")
        disk = DurableState(
            self.durable.view, self.durable.vote, self.durable.commit, None, list(self.durable.entries)
        )
        self.replica = Replica(me, disk, Timing(min_voters=1), chance, now)
        self.table = ShareTable()
        tokens = itertools.count(1000).__next__
        self.desk = ShareDesk(self.replica, self.table, tokens, now, RULE.window)
        self.answers: dict[int, ShareAnswer] = {}
        self.holds = False  # settled actions are kept back
        self.kept: list[consensus.Settled] = []
        self.do(now, self.replica.start(now) if durable else self.replica.bootstrap(now))

    def do(self, now: float, actions: Iterable[consensus.Action | ShareAnswer]) -> None:
        """Carries out, in order; what that leads to comes after it."""
        queue = deque(actions)
        while queue:
            action = queue.popleft()
            match action:
                case consensus.Write():
                    disk = self.durable
                    disk.view, disk.vote, disk.commit = action.view, action.vote, action.commit
                    disk.entries += action.entries
                    queue += self.replica.write_completed(now, action.number)
                case consensus.Deliver() if action.entry.kind == consensus.SHARES:
                    self.desk.deliver(now, action.entry.body)
                case consensus.Settled():
                    if self.holds:
                        self.kept.append(action)
                    else:
                        queue += self.desk.settled(now, action.token, action.accepted)
                case ShareAnswer():
                    self.answers[action.token] = action

    def tick(self, now: float) -> None:
        self.do(now, self.replica.tick(now))
        self.do(now, self.desk.tick(now))

    def claim(self, now: float, claim: ShareClaim) -> ShareAnswer | None:
        """The answer, where it comes at once."""
        self.do(now, self.desk.claim(now, claim))
        return self.answers.pop(claim.token, None)


def alone() -> RateLimiter:
    """A gateway's limiter that owns all quotas, full."""
    limiter = RateLimiter(RULE, "alone")
    limiter.holding.own_all()
    return limiter


@frozen
class HostsOf:
    """What becomes of a request that was let in. `lost`: of tries that run, those whose answer does not come,
    so that another follows while the first may still run; `unsent`: of requests, those that reach no host."""

    lost: float = 0.0
    unsent: float = 0.0
    tries: int = 3


class QuotaWorld:
    """Words and asks take half a millisecond to 40 ms, and `slow` s more; `loss` of them are lost. The core is
    on side 0 of a cut, and keeps the table of shares on disk; its leader may be lost."""

    def __init__(
        self,
        seed: int,
        count: int,
        rate: float,
        burst: float,
        slow: float = 0.0,
        loss: float = 0.01,
        hosts: HostsOf | None = None,
        late: float = 0.0,
    ) -> None:
        """`hosts`: requests go on to hosts, and are counted when they first run there, by when their clients
        sent them; without, when they are let in. `late`: s more that answers to claims take at most."""
        self.hosts, self.late = hosts, late
        self.ran: deque[tuple[float, float]] = deque()  # of requests that ran: when sent, when they first ran
        self.runs: deque[float] = deque()  # of these, and of further tries
        self.runs_worst = 0.0  # window of all runs, as a part of the bound
        self.env, self.chance = simpy.Environment(), random.Random(seed)
        self.slow, self.loss = slow, loss
        self.versions: list[Terms] = [(rate, burst)]  # of the tenant's terms, the newest last
        self.known: dict[str, int] = {}  # by gateway, the version that it goes by
        self.held_until = [0.0]  # by version, until when some gateway has gone by it
        self.limiters: dict[str, RateLimiter] = {}
        self.born: dict[str, float] = {}
        self.sides: dict[str, int] = {}
        self.frozen: set[str] = set()
        self.queues: dict[str, list[float]] = defaultdict(list)  # when what waits in a frozen one was sent
        self.inboxes: dict[str, list[Callable[[RateLimiter], None]]] = defaultdict(list)
        self.passed: deque[float] = deque()
        self.asked = self.refused = self.worst = 0
        self.excess = 0.0  # the worst window, as a part of the bound that was in force
        self.core: Core | None = Core(0.0, None, self.chance)
        self.tokens = itertools.count(1)
        for n in range(count):
            self.begin(f"g{n}")
        self.env.process(self.lead())
        self.env.run(FOUNDED)

    @property
    def most(self) -> float:
        """What the rule allows by the newest terms."""
        return RULE.most(*self.versions[-1])

    def bound(self) -> float:
        """What the rule allows in the window that ends now: a lower limit binds one window after all gateways,
        frozen and cut off ones too, go by it."""
        for version in {*self.known.values(), len(self.versions) - 1}:
            self.held_until[version] = self.env.now
        held = [v for v, until in enumerate(self.held_until) if until >= self.env.now - RULE.window]
        if any(self.versions[v][0] <= 0 for v in held):
            return math.inf
        return max(RULE.most(*self.versions[v]) for v in held)

    # Gateways

    def begin(self, name: str) -> None:
        self.born[name] = self.env.now
        self.known[name] = self.newest(name)
        limiter = self.limiters[name] = RateLimiter(RULE, name, random.Random(self.chance.random()))
        for other, theirs in self.limiters.items():
            if other != name:
                limiter.usage.know(self.env.now, other)
                theirs.usage.know(self.env.now, name)
        self.env.process(self.words(name, limiter))
        self.env.process(self.claims(name, limiter))

    def newest(self, name: str) -> int:
        """The newest version that a process which starts can learn: on the core's side the newest of all, on
        the other what some gateway there goes by; the oldest where it is alone."""
        side = self.sides.get(name, 0)
        if side == 0:
            return len(self.versions) - 1
        there = [self.known[o] for o in self.limiters if o != name and self.sides.get(o, 0) == side]
        return max(there, default=0)

    def change_terms(self, after: float, rate: float, burst: float) -> Iterator[simpy.Event]:
        """A configuration with new terms; a rate of 0: no limit."""
        yield self.env.timeout(after)
        self.bound()
        self.versions.append((rate, burst))
        self.held_until.append(self.env.now)
        for name, limiter in list(self.limiters.items()):
            self.env.process(self.learn(name, limiter, len(self.versions) - 1))

    def learn(self, name: str, limiter: RateLimiter, version: int) -> Iterator[simpy.Event]:
        yield self.env.timeout(self.delay() + 0.2 * self.chance.random())
        while self.limiters.get(name) is limiter and self.known[name] < version:
            if name in self.frozen or self.sides.get(name, 0):
                yield self.env.timeout(0.05)
                continue
            self.bound()
            self.known[name] = version

    def terms(self, name: str) -> Terms:
        return self.versions[self.known[name]]

    def alive(self, name: str, limiter: RateLimiter) -> Iterator[simpy.Event]:
        """Waits while it stands still."""
        while name in self.frozen and self.limiters.get(name) is limiter:
            yield self.env.timeout(0.02)

    def words(self, name: str, limiter: RateLimiter) -> Iterator[simpy.Event]:
        yield self.env.timeout(PERIOD * self.chance.random())
        while self.limiters.get(name) is limiter:
            yield from self.alive(name, limiter)
            limiter.step(self.env.now)
            self.tell(name, *limiter.told(self.env.now))
            yield self.env.timeout(PERIOD)

    def tell(self, name: str, use: Use, whole: bool) -> None:
        version = self.known.get(name, 0)
        for other in self.limiters:
            if other != name:
                self.send(name, other, lambda to: to.usage.hear(self.env.now, name, use, whole, version))

    def claims(self, name: str, limiter: RateLimiter) -> Iterator[simpy.Event]:
        yield self.env.timeout(0.2 * self.chance.random())
        while self.limiters.get(name) is limiter:
            yield from self.alive(name, limiter)
            if self.sides.get(name, 0) == 0:
                self.env.process(self.claim(name, limiter, limiter.holding.version))
            newest = self.core.table.version if self.core else 0
            behind = limiter.holding.version < newest or not limiter.holding.owns_any()
            yield self.env.timeout(CLAIM_SOON if behind else CLAIM_EVERY)

    def claim(
        self, name: str, limiter: RateLimiter, version: int, left: bool = False
    ) -> Iterator[simpy.Event]:
        asked_at = self.env.now
        yield self.env.timeout(self.delay())
        if self.core is None or self.sides.get(name, 0) or self.chance.random() < self.loss:
            return
        answer = self.core.claim(self.env.now, ShareClaim(next(self.tokens), name, version, left))
        if answer is None or not answer.settled or left:
            return
        if self.late:
            yield self.env.timeout(self.late * self.chance.random())

        def answered(to: RateLimiter) -> None:
            if to is limiter:
                now = self.env.now
                since = max(self.born[name], now - answer.age)
                allowed = answer.allowed and now - asked_at < TAKEN_WITHIN
                table = ShareTable.restored(answer.table) if answer.table else None
                to.holding.take(since, asked_at, table, allowed)

        self.send("core", name, answered)

    def lead(self) -> Iterator[simpy.Event]:
        while True:
            yield self.env.timeout(0.05)
            if self.core:
                self.core.tick(self.env.now)

    def lose_leader(self, after: float, back: float) -> Iterator[simpy.Event]:
        """What a leader knows beside what is on its disk is lost with it."""
        yield self.env.timeout(after)
        if self.core is None:
            return
        disk, self.core = self.core.durable, None
        yield self.env.timeout(back)
        self.core = Core(self.env.now, disk, self.chance)

    def restore(self, after: float) -> Iterator[simpy.Event]:
        """A snapshot takes the place of what the leader's desk has seen."""
        yield self.env.timeout(after)
        if self.core:
            self.core.desk.restore(self.env.now, self.core.table.image())

    # Messages

    def delay(self) -> float:
        return 0.0005 + (0.04 + self.slow) * self.chance.random() ** (1 if self.slow else 4)

    def send(self, sender: str, to: str, take: Callable[[RateLimiter], None]) -> None:
        if self.chance.random() >= self.loss:
            self.env.process(self.bring(sender, to, take))

    def bring(self, sender: str, to: str, take: Callable[[RateLimiter], None]) -> Iterator[simpy.Event]:
        yield self.env.timeout(self.delay())
        if to not in self.limiters or self.sides.get(sender, 0) != self.sides.get(to, 0):
            return
        if to in self.frozen:
            self.inboxes[to].append(take)
            return
        take(self.limiters[to])
        self.carry_out(to)

    def carry_out(self, name: str) -> None:
        """What a gateway's limiter has to send, and its decisions."""
        limiter = self.limiters[name]
        for action in limiter.take_actions():
            self.carry_out_one(name, action)
        if (due := limiter.due()) < float("inf"):
            self.env.process(self.expire(name, limiter, max(0.0, due - self.env.now)))

    def carry_out_one(self, name: str, action: Action) -> None:
        match action:
            case AskTokens():
                a = action

                def asked(to: RateLimiter) -> None:
                    to.asked(self.env.now, name, a.number, a.tenant, *self.terms(a.to), a.count)

                self.send(name, a.to, asked)
            case GrantTokens():
                g = action
                self.send(
                    name,
                    g.to,
                    lambda to: to.granted(self.env.now, name, g.number, g.tenant, g.count, g.wait),
                )
            case ReturnTokens():
                r = action
                self.send(name, r.to, lambda to: to.returned(self.env.now, name, r.number, r.tenant, r.count))
            case Decided():
                self.decided(name, action.ticket, action.verdict)

    def expire(self, name: str, limiter: RateLimiter, wait: float) -> Iterator[simpy.Event]:
        yield self.env.timeout(wait + 0.001)
        yield from self.alive(name, limiter)
        if self.limiters.get(name) is limiter:
            limiter.expire(self.env.now)
            self.carry_out(name)

    # Clients

    def arrive(self, name: str, sent: float | None = None) -> None:
        """`sent`: by its client; now, where it is not said."""
        limiter = self.limiters.get(name)
        if limiter is None:
            return
        sent = self.env.now if sent is None else sent
        if name in self.frozen:
            self.queues[name].append(sent)
            return
        self.asked += 1
        verdict = limiter.request(self.env.now, TENANT, *self.terms(name), sent, PATIENCE)
        if isinstance(verdict, Admitted | Refused):
            self.decided(name, sent, verdict)
        self.carry_out(name)

    def capacity(self) -> float:
        """What all gateways' own parts may let through in a window, as a part of what the rule allows."""
        window = RULE.window + GRANT_LIFE
        escrows = [
            limiter.tenants[TENANT].escrow for limiter in self.limiters.values() if TENANT in limiter.tenants
        ]
        return sum(e.depth + e.fill * window for e in escrows) / self.bound()

    def decided(self, name: str, sent: object, verdict: Admitted | Refused) -> None:
        if isinstance(verdict, Refused):
            self.refused += 1
        elif self.hosts is None:
            self.count()
        else:
            assert isinstance(sent, float)
            self.env.process(self.run(self.hosts, name, self.limiters[name], sent, verdict))

    def run(
        self, hosts: HostsOf, name: str, limiter: RateLimiter, sent: float, admitted: Admitted
    ) -> Iterator[simpy.Event]:
        """Its tries, each written when its gateway runs."""
        if self.chance.random() < hosts.unsent:
            yield self.env.timeout(self.chance.choice((REACHED, GRANT_LIFE / 2, DEADLINE)))
            yield from self.alive(name, limiter)
            limiter.refund(self.env.now, TENANT, admitted)
            return
        for number in range(hosts.tries):
            yield self.env.timeout(REACHED * self.chance.random())
            yield from self.alive(name, limiter)
            if self.limiters.get(name) is not limiter:
                return
            self.env.process(self.reach(sent, number == 0))
            if self.chance.random() >= hosts.lost:
                return
            yield self.env.timeout(self.chance.choice((REACHED, HELD)))

    def reach(self, sent: float, first: bool) -> Iterator[simpy.Event]:
        """A try comes to a host, which runs it."""
        yield self.env.timeout(REACHED * self.chance.random())
        now, since = self.env.now, self.env.now - RULE.window
        self.runs.append(sent)
        self.runs_worst = max(self.runs_worst, sum(at >= since for at in self.runs) / self.bound())
        while len(self.runs) > 1 and self.runs[0] < since:
            self.runs.popleft()
        if not first:
            return
        self.ran.append((sent, now))
        while self.ran[0][1] < since:
            self.ran.popleft()
        window = sum(at >= since for at, _ in self.ran)
        self.worst = max(self.worst, window)
        self.excess = max(self.excess, window / self.bound())
        if len(self.ran) % CAPACITY_EVERY == 0:
            self.excess = max(self.excess, self.capacity())

    def count(self) -> None:
        """A request is let through."""
        self.passed.append(self.env.now)
        while self.env.now - self.passed[0] > RULE.window:
            self.passed.popleft()
        self.worst = max(self.worst, len(self.passed))
        self.excess = max(self.excess, len(self.passed) / self.bound())
        if len(self.passed) % CAPACITY_EVERY == 0:
            self.excess = max(self.excess, self.capacity())

    def clients(self, a_second: float, until: float) -> Iterator[simpy.Event]:
        """Arrivals by chance, spread unevenly over the gateways."""
        names = list(self.limiters)
        weights = [0.3 + self.chance.random() for _ in names]
        while self.env.now < until:
            yield self.env.timeout(self.chance.expovariate(a_second))
            self.arrive(self.chance.choices(names, weights)[0])

    def play(self, a_second: float, seconds: float) -> None:
        self.env.run(self.env.process(self.clients(a_second, self.env.now + seconds)))

    # Troubles

    def kill(self, name: str, after: float, back: float) -> Iterator[simpy.Event]:
        yield self.env.timeout(after)
        if name not in self.limiters:
            return
        self.bound()
        del self.limiters[name], self.known[name]
        self.inboxes.pop(name, None)
        self.queues.pop(name, None)
        self.frozen.discard(name)
        yield self.env.timeout(back)
        self.begin(name)

    def cut(self, names: set[str], after: float, lasts: float) -> Iterator[simpy.Event]:
        yield self.env.timeout(after)
        self.sides = dict.fromkeys(names, 1)
        yield self.env.timeout(lasts)
        self.sides = {}

    def freeze(self, name: str, after: float, lasts: float) -> Iterator[simpy.Event]:
        """At the thaw what waits in its sockets is served first: requests, then messages."""
        yield self.env.timeout(after)
        if name not in self.limiters:
            return
        self.frozen.add(name)
        yield self.env.timeout(lasts)
        self.frozen.discard(name)
        for sent in self.queues.pop(name, [])[:200]:
            self.arrive(name, sent)
        for take in self.inboxes.pop(name, []):
            if name in self.limiters:
                take(self.limiters[name])
        if name in self.limiters:
            self.carry_out(name)

    def stall(self, name: str, after: float, lasts: float) -> Iterator[simpy.Event]:
        """Its share of a core is a quota: it runs until that is spent, then not for the rest of a period."""
        yield self.env.timeout(after + BUDGET * self.chance.random())
        ends = self.env.now + lasts
        while self.env.now < ends and name in self.limiters:
            yield from self.freeze(name, BUDGET_LEFT, BUDGET - BUDGET_LEFT)

    def stop(self, name: str, after: float, back: float) -> Iterator[simpy.Event]:
        """SIGTERM: it serves on while its clients do, gives its parts up, ends, and starts again."""
        yield self.env.timeout(after + GRACE)
        if (limiter := self.limiters.get(name)) is None:
            return
        limiter.holding.give_up()
        self.env.process(self.claim(name, limiter, limiter.holding.version, left=True))
        yield self.env.timeout(LAST_WORDS)
        if self.limiters.get(name) is limiter:
            yield from self.kill(name, 0.0, back)

    def join(self, name: str, after: float) -> Iterator[simpy.Event]:
        """A gateway at an address that is new."""
        yield self.env.timeout(after)
        self.begin(name)


@frozen
class Played:
    seed: int
    kind: str
    count: int
    rate: float
    worst: float  # window, as a part of the rule's bound
    runs: float = 0.0  # the same, of further tries too


KINDS = (
    "none",
    "slow",
    "loss",
    "kill",
    "cut",
    "freeze",
    "kill cut",
    "kill freeze",
    "kill slow",
    "cut freeze",
    "kill twice",
    "kill cut freeze loss",
    "leader kill twice cut join",
    "leader kill join slow loss",
    "leader twice kill all",
    "terms",
    "terms cut kill join",
    "terms cut freeze kill twice",
    "terms leader kill all",
    "terms by side",
    "hosts",
    "hosts stall",
    "hosts stall kill twice",
    "hosts stop",
    "hosts stop freeze restore late",
    "hosts stop kill leader restore late",
    "hosts terms stop stall restore late",
    "hosts terms stop kill cut leader join late",
)
MILD = 8.0  # s of the usual load before the troubles
LENGTH = 12.0  # s of a tenant that sends many times its quota, with the troubles


def play(seed: int, kind: str, sizes: tuple[int, ...] = (12, 24, 68)) -> Played:
    """One schedule."""
    chance = random.Random(seed)
    count, rate = chance.choice(sizes), chance.choice((5.0, 20.0, 60.0, 110.0))
    if "side" in kind:
        rate = chance.uniform(10, 16)
    burst = rate * chance.choice((1, 1.5))
    slow = 0.5 if "slow" in kind else 0.1 if count > 16 else 0.0
    hosts, late = None, 0.9 if "late" in kind else 0.0
    if "hosts" in kind:
        hosts = HostsOf(chance.choice((0.0, 0.05, 0.5)), chance.choice((0.0, 0.05, 0.3)))
    world = QuotaWorld(seed, count, rate, burst, slow, 0.1 if "loss" in kind else 0.01, hosts, late)
    world.play(rate / 1.6, MILD)
    names = list(world.limiters)
    chance.shuffle(names)
    for trouble in troubles(world, kind, names, chance):
        world.env.process(trouble)
    if "side" in kind:
        world.play(rate / 1.6, MILD)  # the troubles are over, buckets are full
    world.play(rate * chance.choice((3, 4.7, 7.5)), LENGTH)
    return Played(seed, kind, count, rate, round(world.excess, 3), round(world.runs_worst, 3))


def troubles(
    world: QuotaWorld, kind: str, names: list[str], chance: random.Random
) -> Iterator[Iterator[simpy.Event]]:
    count = len(names)
    if "kill" in kind:
        share, at = 1.0 if "all" in kind else chance.choice((0.2, 0.6, 0.9, 1.0)), chance.uniform(0, 4)
        for name in names[: int(share * count)]:
            yield world.kill(name, at + chance.uniform(0, 0.1), chance.uniform(0.5, 2.5))
            if "twice" in kind:
                yield world.kill(name, at + 3.5, chance.uniform(0.5, 1))
    if "cut" in kind:
        cut = set(names[: int(count * chance.choice((0.2, 0.5)))])
        yield world.cut(cut, chance.uniform(0, 4), chance.uniform(2, 8))
    if "freeze" in kind:
        at = chance.uniform(0, 4)
        for name in names[-max(1, int(count * 0.2)) :]:
            yield world.freeze(name, at, chance.choice((4.0, 8.0)))
    if "leader" in kind:
        at = chance.uniform(0, 4)
        yield world.lose_leader(at, chance.uniform(0.5, 2))
        if "twice" in kind:
            yield world.lose_leader(at + 3.5, chance.uniform(0.5, 1))
    if "stall" in kind:
        for name in names[: int(count * chance.choice((0.3, 1.0)))]:
            yield world.stall(name, chance.uniform(0, 2), LENGTH)
    if "stop" in kind:
        at, gap = chance.uniform(0, 2), chance.choice((0.0, 0.1, 0.5))
        for n, name in enumerate(names):
            yield world.stop(name, at + n * gap, chance.uniform(0.1, 1.5))
    if "restore" in kind:
        for _ in range(3):
            yield world.restore(chance.uniform(0, LENGTH))
    if "side" in kind:
        yield from terms_by_side(world, names, chance)
    elif "terms" in kind:
        at, (rate, burst) = 0.0, world.versions[0]
        while at < LENGTH:
            at += chance.uniform(0.3, 4)
            times = chance.choice((0, 0.1, 0.5, 2, 8, 1, 1))  # 0: the limit goes away
            yield world.change_terms(at, rate * times, burst * times)
    if "join" in kind:
        for n in range(chance.choice((1, 3))):
            yield world.join(f"new{n}", chance.uniform(0, 5))


def terms_by_side(
    world: QuotaWorld, names: list[str], chance: random.Random
) -> Iterator[Iterator[simpy.Event]]:
    """A part of the gateways is cut off, the terms change a little, and the processes on the core's side, which
    alone learn of it, are lost: those that follow them have never known the terms of the others."""
    at, share = chance.uniform(0, 2), chance.choice((0.2, 0.5, 0.7))
    cut = names[: max(1, int(len(names) * share))]
    yield world.cut(set(cut), at, MILD + LENGTH)
    rate, burst = world.versions[0]
    times = chance.choice((0.8, 0.95, 1.05, 1.25))
    yield world.change_terms(at + 0.2, rate * times, burst * times)
    for name in names[len(cut) :]:
        yield world.kill(name, at + 0.6, 0.4)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sizes", default="12,24,68", help="gateways, drawn from")
    parser.add_argument("--kinds", default=",".join(KINDS), help="of schedules")
    options = parser.parse_args()
    sizes = tuple(int(size) for size in options.sizes.split(","))
    seeds = range(options.first, options.first + options.seeds)
    kinds = options.kinds.split(",")
    schedules = [(seed, kind, sizes) for kind in kinds for seed in seeds]
    with Pool(options.jobs) as pool:
        played = pool.starmap(play, schedules, chunksize=1)
    broken = [p for p in played if p.worst > 1]
    for kind in kinds:
        worst = max(p.worst for p in played if p.kind == kind)
        runs = max(p.runs for p in played if p.kind == kind)
        count = sum(p.kind == kind for p in broken)
        print(f"{kind}: worst {worst}, all runs {runs}, broken {count} of {options.seeds}")
    for p in broken[:20]:
        print(f"broken: play({p.seed}, {p.kind!r}): {p.count} gateways, rate {p.rate}: {p.worst}")
    print(f"{len(played)} schedules, {len(broken)} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
