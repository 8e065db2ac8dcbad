"""Simulates the rate limiters of many gateways on a virtual clock, with schedules of faults between them.

    PYTHONPATH=. python tests/cluster/quota_world.py --seeds 250 --first 0 --jobs 6

runs that many schedules of each kind and prints the worst window as a fraction of the rule's bound; exit code
1 if one exceeded it. A seed and a kind determine a schedule, so the same two give the same run again.
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
from coralvale.cluster.rate_limit.quota import GRANT_LIFETIME_S, Rule
from coralvale.cluster.rate_limit.shares import ShareTable
from coralvale.cluster.rate_limit.usage import PERIOD, TenantUsage
from coralvale.cluster.share_desk import MAX_ANSWER_AGE_S, ShareAnswer, ShareClaim, ShareClaimHandler

RULE = Rule(window=5.0, excess=0.1, slack=20.0)
FOUNDING_S = 4.0  # until all gateways of a new fleet own their shares
MAX_WAIT_S = 0.06  # maximum wait of a request for a token
CLAIM_INTERVAL_S, CLAIM_RETRY_S = 2.0, 0.3  # between a gateway's claims; when its table is old
TENANT = "t"
CAPACITY_EVERY = 16  # admitted requests between checks of what all gateways own
GRACE_S = 2.0  # for which a stopped gateway still serves before it releases its shares
EXIT_DELAY_S = 0.24  # from then until its process has exited
CPU_PERIOD_S, CPU_BUDGET_S = 0.1, 0.02  # CPU quota period, and time until the quota is used up
CONNECT_S = 0.01  # to a host without load
RETRY_AFTER_S = 1.0  # after which an unanswered attempt is retried at another host
CLIENT_DEADLINE_S = 5.0  # after which a client stops waiting
Terms = tuple[float, float]  # requests per second, burst
DEFAULT_RNG = random.Random(1)


class Core:
    """A replica that is the only voter, with a disk, and its handler of share claims.

    A restarted process continues from the disk of the previous one.
    """

    def __init__(
        self, now: float, durable: DurableState | None = None, rng: random.Random = DEFAULT_RNG
    ) -> None:
        self.durable = durable or DurableState()
        me = consensus.Member("d1", "core", "10.0.0.1")
        disk = DurableState(
            self.durable.view, self.durable.vote, self.durable.commit, None, list(self.durable.entries)
        )
        self.replica = Replica(me, disk, Timing(min_voters=1), rng, now)
        self.table = ShareTable()
        tokens = itertools.count(1000).__next__
        self.desk = ShareClaimHandler(self.replica, self.table, tokens, now, RULE.window)
        self.answers: dict[int, ShareAnswer] = {}
        self.holds = False  # settled actions are held in `kept`
        self.kept: list[consensus.Settled] = []
        self.do(now, self.replica.start(now) if durable else self.replica.bootstrap(now))

    def do(self, now: float, actions: Iterable[consensus.Action | ShareAnswer]) -> None:
        """Carries out actions in order; the actions that they cause follow."""
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
        """The answer, if it is immediate."""
        self.do(now, self.desk.claim(now, claim))
        return self.answers.pop(claim.token, None)


def alone() -> RateLimiter:
    """A gateway's limiter that owns all quotas, with full buckets."""
    limiter = RateLimiter(RULE, "alone")
    limiter.holding.own_all()
    return limiter


@frozen
class HostBehaviour:
    """What happens to admitted requests.

    `lost`: fraction of running attempts without an answer, so that another follows while the first may still
    run; `unsent`: fraction of requests that reach no host; `tries`: maximum number of attempts.
    """

    lost: float = 0.0
    unsent: float = 0.0
    tries: int = 3


class QuotaWorld:
    """A fleet of gateways and the core on a virtual clock.

    Messages take 0.5 to 40 ms, and up to `slow` s more; the fraction `loss` of them is lost. The core is on
    side 0 of a partition and keeps the share table on disk; its leader may be lost.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        rate: float,
        burst: float,
        slow: float = 0.0,
        loss: float = 0.01,
        hosts: HostBehaviour | None = None,
        late: float = 0.0,
    ) -> None:
        """`hosts`: if given, requests go on to hosts and are counted when they first run there, by the time
        at which their clients sent them; otherwise when they are admitted. `late`: upper bound of the
        additional delay of answers to claims, in seconds.
        """
        self.hosts, self.late = hosts, late
        # Of requests that ran: time sent, time of the first run.
        self.ran: deque[tuple[float, float]] = deque()
        self.runs: deque[float] = deque()  # time sent, for each run including retries
        self.runs_worst = 0.0  # worst window of all runs, as a fraction of the bound
        self.env, self.rng = simpy.Environment(), random.Random(seed)
        self.slow, self.loss = slow, loss
        self.versions: list[Terms] = [(rate, burst)]  # of the tenant's terms, newest last
        self.known: dict[str, int] = {}  # by gateway, the version that it uses
        self.held_until = [0.0]  # by version, the last time at which a gateway used it
        self.limiters: dict[str, RateLimiter] = {}
        self.started_at: dict[str, float] = {}
        self.sides: dict[str, int] = {}
        self.frozen: set[str] = set()
        self.queues: dict[str, list[float]] = defaultdict(
            list
        )  # by frozen gateway, when its waiting requests were sent
        self.inboxes: dict[str, list[Callable[[RateLimiter], None]]] = defaultdict(list)
        self.admitted: deque[float] = deque()
        self.requested = self.refused = self.worst = 0
        self.excess = 0.0  # worst window, as a fraction of the bound in force
        self.core: Core | None = Core(0.0, None, self.rng)
        self.tokens = itertools.count(1)
        for n in range(count):
            self.start_gateway(f"g{n}")
        self.env.process(self.lead())
        self.env.run(FOUNDING_S)

    @property
    def max_requests(self) -> float:
        """What the rule allows under the newest terms."""
        return RULE.max_requests(*self.versions[-1])

    def bound(self) -> float:
        """What the rule allows in the window that ends now.

        A lower limit applies one window after all gateways, including frozen and partitioned ones, use it.
        """
        for version in {*self.known.values(), len(self.versions) - 1}:
            self.held_until[version] = self.env.now
        held = [v for v, until in enumerate(self.held_until) if until >= self.env.now - RULE.window]
        if any(self.versions[v][0] <= 0 for v in held):
            return math.inf
        return max(RULE.max_requests(*self.versions[v]) for v in held)

    # Gateways

    def start_gateway(self, name: str) -> None:
        self.started_at[name] = self.env.now
        self.known[name] = self.newest(name)
        limiter = self.limiters[name] = RateLimiter(RULE, name, random.Random(self.rng.random()))
        for other, theirs in self.limiters.items():
            if other != name:
                limiter.usage.peer_joined(self.env.now, other)
                theirs.usage.peer_joined(self.env.now, name)
        self.env.process(self.gossip(name, limiter))
        self.env.process(self.claims(name, limiter))

    def newest(self, name: str) -> int:
        """The newest version that a starting process can learn.

        On the core's side it is the newest of all, on the other side the newest used by a gateway there; the
        oldest if it is alone.
        """
        side = self.sides.get(name, 0)
        if side == 0:
            return len(self.versions) - 1
        there = [self.known[o] for o in self.limiters if o != name and self.sides.get(o, 0) == side]
        return max(there, default=0)

    def change_terms(self, after: float, rate: float, burst: float) -> Iterator[simpy.Event]:
        """Publishes a configuration with new terms; a rate of 0 means no limit."""
        yield self.env.timeout(after)
        self.bound()
        self.versions.append((rate, burst))
        self.held_until.append(self.env.now)
        for name, limiter in list(self.limiters.items()):
            self.env.process(self.learn(name, limiter, len(self.versions) - 1))

    def learn(self, name: str, limiter: RateLimiter, version: int) -> Iterator[simpy.Event]:
        yield self.env.timeout(self.delay() + 0.2 * self.rng.random())
        while self.limiters.get(name) is limiter and self.known[name] < version:
            if name in self.frozen or self.sides.get(name, 0):
                yield self.env.timeout(0.05)
                continue
            self.bound()
            self.known[name] = version

    def terms(self, name: str) -> Terms:
        return self.versions[self.known[name]]

    def wait_while_frozen(self, name: str, limiter: RateLimiter) -> Iterator[simpy.Event]:
        """Waits while the gateway is frozen."""
        while name in self.frozen and self.limiters.get(name) is limiter:
            yield self.env.timeout(0.02)

    def gossip(self, name: str, limiter: RateLimiter) -> Iterator[simpy.Event]:
        yield self.env.timeout(PERIOD * self.rng.random())
        while self.limiters.get(name) is limiter:
            yield from self.wait_while_frozen(name, limiter)
            limiter.step(self.env.now)
            self.broadcast(name, *limiter.usage_report(self.env.now))
            yield self.env.timeout(PERIOD)

    def broadcast(self, name: str, use: TenantUsage, whole: bool) -> None:
        version = self.known.get(name, 0)
        for other in self.limiters:
            if other != name:
                self.send(
                    name, other, lambda to: to.usage.record_peer(self.env.now, name, use, whole, version)
                )

    def claims(self, name: str, limiter: RateLimiter) -> Iterator[simpy.Event]:
        yield self.env.timeout(0.2 * self.rng.random())
        while self.limiters.get(name) is limiter:
            yield from self.wait_while_frozen(name, limiter)
            if self.sides.get(name, 0) == 0:
                self.env.process(self.claim(name, limiter, limiter.holding.version))
            newest = self.core.table.version if self.core else 0
            behind = limiter.holding.version < newest or not limiter.holding.owns_any()
            yield self.env.timeout(CLAIM_RETRY_S if behind else CLAIM_INTERVAL_S)

    def claim(
        self, name: str, limiter: RateLimiter, version: int, left: bool = False
    ) -> Iterator[simpy.Event]:
        asked_at = self.env.now
        yield self.env.timeout(self.delay())
        if self.core is None or self.sides.get(name, 0) or self.rng.random() < self.loss:
            return
        answer = self.core.claim(self.env.now, ShareClaim(next(self.tokens), name, version, left))
        if answer is None or not answer.settled or left:
            return
        if self.late:
            yield self.env.timeout(self.late * self.rng.random())

        def answered(to: RateLimiter) -> None:
            if to is limiter:
                now = self.env.now
                since = max(self.started_at[name], now - answer.age)
                allowed = answer.allowed and now - asked_at < MAX_ANSWER_AGE_S
                table = ShareTable.restored(answer.table) if answer.table else None
                to.holding.apply_answer(since, asked_at, table, allowed)

        self.send("core", name, answered)

    def lead(self) -> Iterator[simpy.Event]:
        while True:
            yield self.env.timeout(0.05)
            if self.core:
                self.core.tick(self.env.now)

    def lose_leader(self, after: float, back: float) -> Iterator[simpy.Event]:
        """The leader dies and loses all state that is not on its disk; a new one starts after `back` s."""
        yield self.env.timeout(after)
        if self.core is None:
            return
        disk, self.core = self.core.durable, None
        yield self.env.timeout(back)
        self.core = Core(self.env.now, disk, self.rng)

    def restore(self, after: float) -> Iterator[simpy.Event]:
        """Replaces the state of the leader's claim handler by a snapshot."""
        yield self.env.timeout(after)
        if self.core:
            self.core.desk.restore(self.env.now, self.core.table.image())

    # Messages

    def delay(self) -> float:
        return 0.0005 + (0.04 + self.slow) * self.rng.random() ** (1 if self.slow else 4)

    def send(self, sender: str, to: str, take: Callable[[RateLimiter], None]) -> None:
        if self.rng.random() >= self.loss:
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
        """Sends the messages of a gateway's limiter and applies its decisions."""
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
                    to.handle_ask(self.env.now, name, a.number, a.tenant, *self.terms(a.to), a.count)

                self.send(name, a.to, asked)
            case GrantTokens():
                g = action
                self.send(
                    name,
                    g.to,
                    lambda to: to.handle_grant(
                        self.env.now, name, g.number, g.tenant, g.count, g.retry_after
                    ),
                )
            case ReturnTokens():
                r = action
                self.send(
                    name, r.to, lambda to: to.handle_return(self.env.now, name, r.number, r.tenant, r.count)
                )
            case Decided():
                self.decided(name, action.ticket, action.verdict)

    def expire(self, name: str, limiter: RateLimiter, wait: float) -> Iterator[simpy.Event]:
        yield self.env.timeout(wait + 0.001)
        yield from self.wait_while_frozen(name, limiter)
        if self.limiters.get(name) is limiter:
            limiter.expire(self.env.now)
            self.carry_out(name)

    # Clients

    def arrive(self, name: str, sent: float | None = None) -> None:
        """A request arrives at a gateway. `sent`: time at which its client sent it, by default now."""
        limiter = self.limiters.get(name)
        if limiter is None:
            return
        sent = self.env.now if sent is None else sent
        if name in self.frozen:
            self.queues[name].append(sent)
            return
        self.requested += 1
        verdict = limiter.request(self.env.now, TENANT, *self.terms(name), sent, MAX_WAIT_S)
        if isinstance(verdict, Admitted | Refused):
            self.decided(name, sent, verdict)
        self.carry_out(name)

    def capacity(self) -> float:
        """What the shares of all gateways may admit in a window, as a fraction of the bound."""
        window = RULE.window + GRANT_LIFETIME_S
        escrows = [
            limiter.tenants[TENANT].escrow for limiter in self.limiters.values() if TENANT in limiter.tenants
        ]
        return sum(e.depth + e.fill_rate * window for e in escrows) / self.bound()

    def decided(self, name: str, sent: object, verdict: Admitted | Refused) -> None:
        if isinstance(verdict, Refused):
            self.refused += 1
        elif self.hosts is None:
            self.count()
        else:
            assert isinstance(sent, float)
            self.env.process(self.run(self.hosts, name, self.limiters[name], sent, verdict))

    def run(
        self, hosts: HostBehaviour, name: str, limiter: RateLimiter, sent: float, admitted: Admitted
    ) -> Iterator[simpy.Event]:
        """Makes the attempts of an admitted request, each when its gateway is not frozen."""
        if self.rng.random() < hosts.unsent:
            yield self.env.timeout(self.rng.choice((CONNECT_S, GRANT_LIFETIME_S / 2, CLIENT_DEADLINE_S)))
            yield from self.wait_while_frozen(name, limiter)
            limiter.refund(self.env.now, TENANT, admitted)
            return
        for number in range(hosts.tries):
            yield self.env.timeout(CONNECT_S * self.rng.random())
            yield from self.wait_while_frozen(name, limiter)
            if self.limiters.get(name) is not limiter:
                return
            self.env.process(self.reach(sent, number == 0))
            if self.rng.random() >= hosts.lost:
                return
            yield self.env.timeout(self.rng.choice((CONNECT_S, RETRY_AFTER_S)))

    def reach(self, sent: float, first: bool) -> Iterator[simpy.Event]:
        """An attempt reaches a host, which runs it."""
        yield self.env.timeout(CONNECT_S * self.rng.random())
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
        """Counts an admitted request."""
        self.admitted.append(self.env.now)
        while self.env.now - self.admitted[0] > RULE.window:
            self.admitted.popleft()
        self.worst = max(self.worst, len(self.admitted))
        self.excess = max(self.excess, len(self.admitted) / self.bound())
        if len(self.admitted) % CAPACITY_EVERY == 0:
            self.excess = max(self.excess, self.capacity())

    def clients(self, a_second: float, until: float) -> Iterator[simpy.Event]:
        """Random arrivals, spread unevenly over the gateways."""
        names = list(self.limiters)
        weights = [0.3 + self.rng.random() for _ in names]
        while self.env.now < until:
            yield self.env.timeout(self.rng.expovariate(a_second))
            self.arrive(self.rng.choices(names, weights)[0])

    def play(self, a_second: float, seconds: float) -> None:
        self.env.run(self.env.process(self.clients(a_second, self.env.now + seconds)))

    # Faults

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
        self.start_gateway(name)

    def cut(self, names: set[str], after: float, lasts: float) -> Iterator[simpy.Event]:
        yield self.env.timeout(after)
        self.sides = dict.fromkeys(names, 1)
        yield self.env.timeout(lasts)
        self.sides = {}

    def freeze(self, name: str, after: float, lasts: float) -> Iterator[simpy.Event]:
        """Freezes a gateway. Then it first serves what waits in its sockets: requests, then messages."""
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
        """CPU throttling: in each period the gateway runs until its quota is used up, then stands still."""
        yield self.env.timeout(after + CPU_PERIOD_S * self.rng.random())
        ends = self.env.now + lasts
        while self.env.now < ends and name in self.limiters:
            yield from self.freeze(name, CPU_BUDGET_S, CPU_PERIOD_S - CPU_BUDGET_S)

    def stop(self, name: str, after: float, back: float) -> Iterator[simpy.Event]:
        """SIGTERM: the gateway serves for the grace time, releases its shares, exits, and starts again."""
        yield self.env.timeout(after + GRACE_S)
        if (limiter := self.limiters.get(name)) is None:
            return
        limiter.holding.release_all()
        self.env.process(self.claim(name, limiter, limiter.holding.version, left=True))
        yield self.env.timeout(EXIT_DELAY_S)
        if self.limiters.get(name) is limiter:
            yield from self.kill(name, 0.0, back)

    def join(self, name: str, after: float) -> Iterator[simpy.Event]:
        """Starts a gateway at a new address."""
        yield self.env.timeout(after)
        self.start_gateway(name)


@frozen
class ScheduleResult:
    """Result of one schedule."""

    seed: int
    kind: str
    count: int
    rate: float
    worst: float  # worst window, as a fraction of the rule's bound
    runs: float = 0.0  # the same, including retries


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
WARM_UP_S = 8.0  # of the usual load before the faults
OVERLOAD_S = 12.0  # of many times the quota, with the faults


def play(seed: int, kind: str, sizes: tuple[int, ...] = (12, 24, 68)) -> ScheduleResult:
    """Runs one schedule."""
    rng = random.Random(seed)
    count, rate = rng.choice(sizes), rng.choice((5.0, 20.0, 60.0, 110.0))
    if "side" in kind:
        rate = rng.uniform(10, 16)
    burst = rate * rng.choice((1, 1.5))
    slow = 0.5 if "slow" in kind else 0.1 if count > 16 else 0.0
    hosts, late = None, 0.9 if "late" in kind else 0.0
    if "hosts" in kind:
        hosts = HostBehaviour(rng.choice((0.0, 0.05, 0.5)), rng.choice((0.0, 0.05, 0.3)))
    world = QuotaWorld(seed, count, rate, burst, slow, 0.1 if "loss" in kind else 0.01, hosts, late)
    world.play(rate / 1.6, WARM_UP_S)
    names = list(world.limiters)
    rng.shuffle(names)
    for fault in faults(world, kind, names, rng):
        world.env.process(fault)
    if "side" in kind:
        world.play(rate / 1.6, WARM_UP_S)  # the faults are over, buckets are full
    world.play(rate * rng.choice((3, 4.7, 7.5)), OVERLOAD_S)
    return ScheduleResult(seed, kind, count, rate, round(world.excess, 3), round(world.runs_worst, 3))


def faults(
    world: QuotaWorld, kind: str, names: list[str], rng: random.Random
) -> Iterator[Iterator[simpy.Event]]:
    count = len(names)
    if "kill" in kind:
        share, at = 1.0 if "all" in kind else rng.choice((0.2, 0.6, 0.9, 1.0)), rng.uniform(0, 4)
        for name in names[: int(share * count)]:
            yield world.kill(name, at + rng.uniform(0, 0.1), rng.uniform(0.5, 2.5))
            if "twice" in kind:
                yield world.kill(name, at + 3.5, rng.uniform(0.5, 1))
    if "cut" in kind:
        cut = set(names[: int(count * rng.choice((0.2, 0.5)))])
        yield world.cut(cut, rng.uniform(0, 4), rng.uniform(2, 8))
    if "freeze" in kind:
        at = rng.uniform(0, 4)
        for name in names[-max(1, int(count * 0.2)) :]:
            yield world.freeze(name, at, rng.choice((4.0, 8.0)))
    if "leader" in kind:
        at = rng.uniform(0, 4)
        yield world.lose_leader(at, rng.uniform(0.5, 2))
        if "twice" in kind:
            yield world.lose_leader(at + 3.5, rng.uniform(0.5, 1))
    if "stall" in kind:
        for name in names[: int(count * rng.choice((0.3, 1.0)))]:
            yield world.stall(name, rng.uniform(0, 2), OVERLOAD_S)
    if "stop" in kind:
        at, gap = rng.uniform(0, 2), rng.choice((0.0, 0.1, 0.5))
        for n, name in enumerate(names):
            yield world.stop(name, at + n * gap, rng.uniform(0.1, 1.5))
    if "restore" in kind:
        for _ in range(3):
            yield world.restore(rng.uniform(0, OVERLOAD_S))
    if "side" in kind:
        yield from terms_by_side(world, names, rng)
    elif "terms" in kind:
        at, (rate, burst) = 0.0, world.versions[0]
        while at < OVERLOAD_S:
            at += rng.uniform(0.3, 4)
            times = rng.choice((0, 0.1, 0.5, 2, 8, 1, 1))  # 0: no limit
            yield world.change_terms(at, rate * times, burst * times)
    if "join" in kind:
        for n in range(rng.choice((1, 3))):
            yield world.join(f"new{n}", rng.uniform(0, 5))


def terms_by_side(world: QuotaWorld, names: list[str], rng: random.Random) -> Iterator[Iterator[simpy.Event]]:
    """Different terms on the two sides of a partition.

    Some gateways are partitioned, the terms change a little, and the processes on the core's side, which
    alone learn of the change, are lost: their successors have never known the terms of the others.
    """
    at, share = rng.uniform(0, 2), rng.choice((0.2, 0.5, 0.7))
    cut = names[: max(1, int(len(names) * share))]
    yield world.cut(set(cut), at, WARM_UP_S + OVERLOAD_S)
    rate, burst = world.versions[0]
    times = rng.choice((0.8, 0.95, 1.05, 1.25))
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
