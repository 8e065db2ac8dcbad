"""Days on which copies sour, on the cluster's own machines and a virtual clock.

Each gateway is the real `Router` with `Copies`, `Register` and `Watch`; words between gateways are packed and
unpacked as on the wire, come late, and are lost now and then. Hosts, clients and the way between are the
model's. An observer sees what hosts ran and what clients got, and nothing else: a booking that ran twice, or that
was promised not to have run and did, is `Broken`.

The same day is played with what gateways tell each other of copies left out (`alone`), as the thing to beat.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
import tomllib
from collections import Counter, defaultdict, deque
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import cattrs
from attrs import define, field, frozen

from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.errors import Problem
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.rate_limit.shares import even_table
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import Instance, InstancePool
from coralvale.cluster.routing.home import HomeRegion
from coralvale.cluster.routing.router import Job, Router
from coralvale.cluster.server.messages import pack_health, pack_in_flight, unpack_health, unpack_in_flight
from coralvale.cluster.settings import Bounds
from coralvale.interface import Outcome
from coralvale.lab.model import LabError
from coralvale.lab.world.engine import Engine

WORD_LOST = 0.01
OUT_EVERY = 0.1  # s between words of what is out
KEPT_OFF = 3.0  # s for which a node has to send a copy less than `OFF` of its even share, to have moved off
OFF = 0.05
WAYS = ("errors", "garble", "lost", "slow", "silent")


@frozen
class Kind:
    """Requests of one kind: `rate` a second over all gateways, `work`, `aim` and `deadline` in s."""

    name: str
    service: str
    rate: float
    work: float
    deadline: float
    aim: float = 0.0
    once: bool = False  # may run once
    tries: int = 2


@frozen
class Service:
    name: str
    copies: int
    slots: int = 4
    queue: int = 4


@frozen
class Sour:
    """From `at` on, for `lasts` s, copies of a service answer ill: `share` of what they get, by `how`.

    errors: their own 500; garble: bytes that are no answer; lost: they run it and the answer is lost; slow:
    `share` times their work; silent: they run nothing and say nothing.
    """

    service: str
    at: float
    lasts: float
    how: str
    copies: int = 1
    share: float = 1.0
    only: str = ""  # requests of this kind alone


@frozen
class Day:
    seconds: float
    gateways: int
    zones: int
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    sour: tuple[Sour, ...]
    way: float = 0.0015  # s one way


_converter = cattrs.Converter(forbid_extra_keys=True)


def load(path: str) -> Day:
    """Reads a day. Raises LabError, which names the place of each mistake."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise LabError(f"{path}: {error}") from None
    try:
        day: Day = _converter.structure(raw, Day)
    except cattrs.BaseValidationError as error:
        raise LabError("\n".join(f"{path}: {line}" for line in cattrs.transform_error(error))) from None
    known = {s.name: s for s in day.services}
    wrong = [
        f"kinds[{n}].service: {k.service!r} is not there"
        for n, k in enumerate(day.kinds)
        if k.service not in known
    ]
    for n, sour in enumerate(day.sour):
        if sour.how not in WAYS:
            wrong.append(f"sour[{n}].how: {sour.how!r}, expected one of {', '.join(WAYS)}")
        if sour.service not in known:
            wrong.append(f"sour[{n}].service: {sour.service!r} is not there")
        elif not 0 < sour.copies <= known[sour.service].copies:
            wrong.append(f"sour[{n}].copies: {sour.copies}, expected 1 to {known[sour.service].copies}")
    if wrong:
        raise LabError("\n".join(f"{path}: {line}" for line in wrong))
    return day


class Broken(AssertionError):
    """A booking ran twice, or ran although it was promised that it had not and never would."""


@define(eq=False)
class Request:
    id: str
    kind: Kind
    gateway: Gateway
    asked: float
    job: Job | None = None
    done: bool = False


@define(eq=False)
class Try:
    request: Request
    copy: Instance
    number: int
    sent: float
    ended: bool = False


@define(eq=False)
class HostModel:
    """One copy: slots, a queue, and what ails it."""

    world: World
    life: str
    service: Service
    speed: float
    running: int = 0
    waiting: deque[Try] = field(factory=deque)
    ail: Sour | None = None

    def arrive(self, one: Try) -> None:
        ail = self.ail if self.ail and self.ail.only in ("", one.request.kind.name) else None
        if ail and ail.how == "silent" and self.world.chance.random() < ail.share:
            self.world.ill(self)
            return
        if self.running >= self.service.slots:
            if len(self.waiting) >= self.service.queue:
                self.world.back(one, Outcome.FULL, 503)
            else:
                self.waiting.append(one)
            return
        self._run(one, ail)

    def _run(self, one: Try, ail: Sour | None) -> None:
        world = self.world
        if world.engine.now > one.request.asked + one.request.kind.deadline:
            world.back(one, Outcome.FULL, 503)
            return self._next()
        self.running += 1
        world.ran(one.request)
        work = one.request.kind.work * self.speed * world.chance.uniform(0.6, 1.4)
        bad = ail is not None and (ail.how == "slow" or world.chance.random() < ail.share)
        if ail and bad and ail.how == "slow":
            work *= ail.share
        world.engine.later(work, self._ended, one, ail if bad else None)
        return None

    def _ended(self, one: Try, ail: Sour | None) -> None:
        self.running -= 1
        world = self.world
        if ail:
            world.ill(self)
        how = ail.how if ail else ""
        if how == "errors":
            world.back(one, Outcome.OK, 500)
        elif how in ("garble", "lost"):
            world.back(one, Outcome.ERROR if how == "garble" else Outcome.RESET, 0)
        else:
            world.back(one, Outcome.OK, 200)
        self._next()

    def _next(self) -> None:
        while self.waiting and self.running < self.service.slots:
            one = self.waiting.popleft()
            self._run(one, self.ail if self.ail and self.ail.only in ("", one.request.kind.name) else None)


class Gateway:
    """The cluster's own way of a request, between the model's clients and hosts."""

    def __init__(self, world: World, number: int, plot: Configuration) -> None:
        self.world, self.number, self.zone = world, number, world.zone(number)
        self.name = f"gateway-{number}"
        chance = random.Random(f"{world.seed}/{number}")
        self.register = Register(1e6)
        self.instances = InstancePool(self.register, self.zone, chance, world.home(number))
        limiter = RateLimiter(Rule(5.0, 0.1, 20.0), self.name)
        names = [f"gateway-{other}" for other in range(world.day.gateways)]
        limiter.holding.apply_answer(-math.inf, math.inf, even_table(names))
        bounds = Bounds(RetryExtra=64.0)
        self.router = Router(bounds, self.instances, limiter, chance)
        self.router.take_configuration(plot)

    def ask(self, request: Request) -> None:
        now = self.world.engine.clock
        kind = request.kind
        job = self.router.admit(
            now, request.id.encode(), "day.example", f"/{kind.name}/1", None, kind.deadline
        )
        if isinstance(job, Problem):
            return self.world.answered(request, job.status, job.promises_not_run)
        request.job = job
        self.world.engine.later(job.deadline - now, self._time_up, request)
        self.next(request)
        return None

    def next(self, request: Request) -> None:
        assert request.job
        now = self.world.engine.clock
        copy = self.router.pick(now, request.job)
        if isinstance(copy, Problem):
            return self.world.answered(request, copy.status, copy.promises_not_run)
        self.world.sent(self, copy, request)
        one = Try(request, copy, request.job.tries, now)
        self.world.engine.later(self.world.day.way, self.world.hosts[copy.entry.id].arrive, one)
        if wait := self.router.silence_timeout(now, request.job):
            self.world.engine.later(wait, self._impatient, one)
        return None

    def _impatient(self, one: Try) -> None:
        if not one.ended and self.router.is_silent(self.world.engine.clock, one.copy, one.sent):
            self.ended(one, Outcome.TIMEOUT, 0)

    def _time_up(self, request: Request) -> None:
        if request.done:
            return
        assert request.job
        for copy in self.instances.by_id.values():
            for key in [k for k in copy.in_flight if k[0] == request.id]:
                self.ended(Try(request, copy, key[1], copy.in_flight[key]), Outcome.TIMEOUT, 0, last=True)
        problem = self.router.time_out(self.world.engine.clock, request.job)
        self.world.answered(request, problem.status, problem.promises_not_run)

    def ended(self, one: Try, outcome: Outcome, status: int, last: bool = False) -> None:
        request, now = one.request, self.world.engine.clock
        if one.ended:
            return
        one.ended = True
        assert request.job
        if (request.id, one.number) not in one.copy.in_flight:
            return
        problem = self.router.try_ended(
            now, request.job, one.copy, one.number, outcome, status, now - one.sent
        )
        if request.done or last:
            return
        if outcome is Outcome.OK and not self.router.may_retry_answer(now, request.job, status):
            self.world.answered(request, status, False)
        elif problem is not None and outcome is not Outcome.OK:
            self.world.answered(request, problem.status, problem.promises_not_run)
        else:
            self.next(request)


class World:
    def __init__(self, day: Day, seed: int, alone: bool = False) -> None:
        self.day, self.seed, self.alone = day, seed, alone
        self.engine, self.chance = Engine(), random.Random(seed)
        self.runs: Counter[str] = Counter()
        self.promised: set[str] = set()
        self.picks: dict[str, dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
        self.first_ill: dict[tuple[str, float], float] = {}  # of a life, by when it was to sour
        self.figures: Counter[str] = Counter()
        self.serial = 0
        self.once: set[str] = set()  # requests that may run once
        plot = parse_configuration(self._configuration(), Configuration())
        assert isinstance(plot, Configuration), plot
        self.gateways = [Gateway(self, n, plot) for n in range(day.gateways)]
        self.hosts: dict[str, HostModel] = {}
        for service in day.services:
            for n in range(service.copies):
                life = f"i-{service.name}-{n}"
                self.hosts[life] = HostModel(self, life, service, self.chance.uniform(0.8, 1.25))
                row = Row(life, service.name, "10.0.0.1", 80 + n, self.zone(n), "v", service.slots, 0, 0.0, 1)
                for gateway in self.gateways:
                    gateway.register.merge(self.engine.clock, row)
        self.soured = self._plan()

    def zone(self, number: int) -> str:
        """Of a gateway, or a copy, by its number."""
        return f"z{number % self.day.zones}"

    def home(self, number: int) -> HomeRegion | None:
        """What a gateway knows of regions."""
        return None

    def _configuration(self) -> dict[str, Any]:
        routes = {
            k.name: {
                "Vhost": "day.example", "PathPrefix": f"/{k.name}/",
                "Kind": "mutating" if k.once else "idempotent",
                "TimeoutMs": k.deadline * 1000, "TargetMs": (k.aim or k.deadline) * 1000, "Tries": k.tries,
                "Svc": k.service, "Public": True,
            }
            for k in self.day.kinds
        }  # fmt: skip
        return {"Ver": 1, "Routes": routes, "Svcs": {s.name: {} for s in self.day.services}}

    def _plan(self) -> list[tuple[Sour, list[str]]]:
        found = []
        for sour in self.day.sour:
            lives = [life for life, host in self.hosts.items() if host.service.name == sour.service]
            chosen = self.chance.sample(lives, sour.copies)
            found.append((sour, chosen))
            for life in chosen:
                self.engine.at(sour.at, self._ail, life, sour)
                self.engine.at(sour.at + sour.lasts, self._ail, life, None)
        return found

    def _ail(self, life: str, sour: Sour | None) -> None:
        self.hosts[life].ail = sour

    # What is seen

    def ill(self, host: HostModel) -> None:
        if host.ail:
            self.first_ill.setdefault((host.life, host.ail.at), self.engine.now)

    def sent(self, gateway: Gateway, copy: Instance, request: Request) -> None:
        self.picks[copy.entry.id][gateway.number].append(self.engine.now)

    def ran(self, request: Request) -> None:
        self.runs[request.id] += 1
        if request.kind.once:
            if self.runs[request.id] > 1:
                raise Broken(f"{request.id} ran twice")
            if request.id in self.promised:
                raise Broken(f"{request.id} ran after it was promised that it never will")

    def answered(self, request: Request, status: int, promises: bool) -> None:
        if request.done:
            return
        request.done = True
        kind, took = request.kind, self.engine.now - request.asked
        word = "bookings" if kind.once else "reads"
        if promises and kind.once:
            self.promised.add(request.id)
            if self.runs[request.id]:
                raise Broken(f"{request.id} was refused with a promise and has run")
        what = "answered" if status == 200 else "refused" if promises else "failed"
        self.figures[f"{word} {what}"] += 1
        if status == 200 and took <= (kind.aim or kind.deadline):
            self.figures[f"{word} in aim"] += 1

    def back(self, one: Try, outcome: Outcome, status: int) -> None:
        gateway = one.request.gateway
        host = self.hosts[one.copy.entry.id]
        load = (host.running, len(host.waiting), host.service.slots)
        self.engine.later(self.day.way, self._back, gateway, one, outcome, status, load)

    def _back(
        self, gateway: Gateway, one: Try, outcome: Outcome, status: int, load: tuple[int, int, int]
    ) -> None:
        if outcome in (Outcome.OK, Outcome.FULL):
            one.copy.update_load(self.engine.clock, *load)
        gateway.ended(one, outcome, status)

    # What goes on

    def _arrive(self, kind: Kind) -> None:
        self.serial += 1
        request = Request(
            f"{kind.name}-{self.serial}", kind, self.chance.choice(self.gateways), self.engine.now
        )
        self.figures["bookings asked" if kind.once else "reads asked"] += 1
        if kind.once:
            self.once.add(request.id)
        request.gateway.ask(request)
        self.engine.later(self.chance.expovariate(kind.rate), self._arrive, kind)

    def _word(self, gateway: Gateway) -> None:
        now = self.engine.clock
        gateway.instances.decay_sent()
        for change in gateway.instances.update_verdicts(now):
            self.figures[f"verdicts {change.after.name.lower()}"] += 1
        self._tell_health_report(gateway)
        self.engine.later(PERIOD, self._word, gateway)

    def _tell_health_report(self, gateway: Gateway) -> None:
        data = pack_health(gateway.instances.health.own_report(self.engine.clock))
        if self.alone:
            return
        for other in self.gateways:
            if other is not gateway and self.chance.random() >= WORD_LOST:
                self.figures["bytes"] += len(data)
                late = self.day.way + 0.002 * self.chance.random()
                self.engine.later(late, self._heard, other, gateway.name, data)

    def _heard(self, gateway: Gateway, reporter: str, data: bytes) -> None:
        for change in gateway.instances.update_health(self.engine.clock, reporter, unpack_health(data)):
            self.figures[f"verdicts {change.after.name.lower()}"] += 1

    def _out(self, gateway: Gateway) -> None:
        data = pack_in_flight(gateway.instances.in_flight_counts())
        for other in self.gateways:
            if other is not gateway and self.chance.random() >= WORD_LOST:
                self.engine.later(self.day.way, self._heard_out, other, gateway.name, data)
        if gateway.instances.health.report_due:
            self._tell_health_report(gateway)
        self.engine.later(OUT_EVERY, self._out, gateway)

    def _heard_out(self, gateway: Gateway, reporter: str, data: bytes) -> None:
        gateway.instances.update_in_flight(self.engine.clock, reporter, unpack_in_flight(data))

    def play(self) -> dict[str, Any]:
        for kind in self.day.kinds:
            self.engine.later(self.chance.expovariate(kind.rate), self._arrive, kind)
        for gateway in self.gateways:
            self.engine.later(PERIOD * self.chance.random(), self._word, gateway)
            self.engine.later(OUT_EVERY * self.chance.random(), self._out, gateway)
        self.engine.run(self.day.seconds)
        return self._told()

    # Figures

    def doubled(self) -> int:
        """Bookings that ran more than once."""
        return sum(runs > 1 and id_ in self.once for id_, runs in self.runs.items())

    def rates(self, service: str) -> float:
        """Requests a second that an even share of a service's copies would get of one gateway."""
        rate = sum(k.rate for k in self.day.kinds if k.service == service)
        copies = next(s.copies for s in self.day.services if s.name == service)
        return rate / copies / self.day.gateways

    def moved_off(self, life: str, sour: Sour) -> float:
        """Seconds from a copy's first ill answer until the last gateway had moved off it; inf: never; 0: it
        answered ill to none, or so late that nothing can be told."""
        begun, ends = self.first_ill.get((life, sour.at), float("inf")), sour.at + sour.lasts
        if begun + KEPT_OFF > ends:
            return 0.0
        last = 0.0
        allowed = OFF * self.rates(sour.service) * KEPT_OFF
        for gateway in self.gateways:
            times = [t for t in self.picks[life][gateway.number] if begun <= t < ends]
            for start in [begun, *times]:
                window = [t for t in times if start < t <= start + KEPT_OFF]
                if len(window) <= allowed and start + KEPT_OFF <= ends:
                    last = max(last, start - begun)
                    break
            else:
                last = float("inf")
        return last

    def _told(self) -> dict[str, Any]:
        sours = []
        for sour, lives in self.soured:
            for life in lives:
                begun = self.first_ill.get((life, sour.at), sour.at)
                ends = sour.at + sour.lasts
                sent = sum(begun <= t < ends for times in self.picks[life].values() for t in times)
                even = self.rates(sour.service) * self.day.gateways * max(1e-9, ends - begun)
                sours.append(
                    {"copy": life, "how": sour.how, "share": sour.share, "moved_off": self.moved_off(life, sour),
                     "of_even": sent / even}
                )  # fmt: skip
        return {"seed": self.seed, "alone": self.alone, **dict(sorted(self.figures.items())), "sour": sours}


def plot(world: World, path: str) -> None:
    """The share of each copy that sours at each gateway over time, and the bookings."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [(sour, life) for sour, lives in world.soured for life in lives]
    figure, axes = pyplot.subplots(len(rows), 1, figsize=(10, 2.2 * len(rows)), sharex=True, squeeze=False)
    edges = [float(n) for n in range(int(world.day.seconds) + 1)]
    for (axis,), (sour, life) in zip(axes, rows, strict=True):
        for gateway in world.gateways:
            times = world.picks[life][gateway.number]
            counts = [sum(a <= t < a + 1 for t in times) for a in edges]
            axis.step(edges, counts, where="post", linewidth=0.8)
        axis.axvspan(sour.at, sour.at + sour.lasts, color="tab:red", alpha=0.12)
        axis.set_ylabel("requests/s\nof each node", fontsize=8)
        axis.set_title(f"{life}: {sour.how}, {sour.share:g} of what it gets", fontsize=9, loc="left")
    f = world.figures
    figure.suptitle(
        f"bookings: {f['bookings asked']} asked, {f['bookings answered']} answered, {f['bookings refused']} "
        f"refused with a promise, {f['bookings failed']} failed, {world.doubled()} doubled",
        fontsize=10,
    )  # fmt: skip
    figure.supxlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def _one(job: tuple[Day, int, bool]) -> dict[str, Any] | str:
    try:
        return World(*job).play()
    except Broken as error:
        return str(error)


def run(asked: argparse.Namespace) -> int:
    """Plays a day over seeds, shared and each node alone. 1 if a booking was doubled, or promised and run."""
    day = load(asked.file)
    if asked.seeds < 1:
        raise LabError(f"--seeds: {asked.seeds}, expected 1 or more")
    found: dict[str, list[dict[str, Any]]] = {"shared": [], "alone": []}
    broken = []
    jobs = [(day, asked.first + n, name == "alone") for n in range(asked.seeds) for name in found]
    with ProcessPoolExecutor(asked.jobs) as pool:
        for done, (job, row) in enumerate(zip(jobs, pool.map(_one, jobs), strict=True), 1):
            name = "alone" if job[2] else "shared"
            if isinstance(row, str):
                broken.append(f"seed {job[1]}, {name}: {row}")
            else:
                found[name].append(row)
            if not asked.json:
                print(f"\r{done} of {len(jobs)} days", end="", file=sys.stderr, flush=True)
    if asked.plot:
        world = World(day, asked.first)
        world.play()
        plot(world, asked.plot)
    told = {name: summary(rows) for name, rows in found.items()}
    if asked.json:
        print(json.dumps({"days": asked.seeds, "broken": broken, **told}))
        return 1 if broken else 0
    print(file=sys.stderr)
    heads = f"{'moved off s':>24} {'of even share':>14} {'bookings failed':>16} {'reads failed':>13}"
    print(f"{'':<10} {heads} {'broken':>7}")
    for name, row in told.items():
        spread = f"{row['moved_off_median']:.2f} ({row['moved_off_most']:.2f} at most)"
        print(
            f"{name:<10} {spread:>24} {row['of_even']:>14.3f} {row['bookings_failed']:>16.4f}"
            f" {row['reads_failed']:>13.4f} {len(broken):>7}"
        )
    for line in broken:
        print(line)
    return 1 if broken else 0


def summary(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Over days: the seconds until the last node moved off, and the shares that failed."""
    sours = [s for row in rows for s in row["sour"]]
    times = sorted(s["moved_off"] for s in sours)
    asked = sum(row.get("bookings asked", 0) for row in rows)
    reads = sum(row.get("reads asked", 0) for row in rows)
    by: dict[str, list[float]] = {}
    for sour in sours:
        by.setdefault(f"{sour['how']} {sour['share']:g}", []).append(sour["moved_off"])
    return {
        "moved_off_median": times[len(times) // 2] if times else 0.0,
        "moved_off_95th": times[int(0.95 * (len(times) - 1))] if times else 0.0,
        "moved_off_most": times[-1] if times else 0.0,
        "moved_off": {how: [sorted(t)[len(t) // 2], max(t)] for how, t in sorted(by.items())},
        "of_even": sum(s["of_even"] for s in sours) / max(1, len(sours)),
        "bookings_failed": sum(row.get("bookings failed", 0) for row in rows) / max(1, asked),
        "bookings_refused": sum(row.get("bookings refused", 0) for row in rows) / max(1, asked),
        "reads_failed": sum(row.get("reads failed", 0) for row in rows) / max(1, reads),
        "bookings_asked": asked,
        "bytes": sum(row.get("bytes", 0) for row in rows) / max(1, len(rows)),
    }
