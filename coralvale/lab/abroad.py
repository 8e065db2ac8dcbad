"""Days of services that are bound to a home region: a busy day, nodes that fail, a failover, a region cut off.

The gateways, hosts and clients are those of `souring`: real `Router`, `Copies`, `Home`, on a virtual clock. The
checker knows the regions and the bindings, and sees which gateway sent which request to which host, and which
gateway answered; it asks the machines nothing. Anything of a bound request that a gateway abroad sends, or that a
host abroad gets, is `Broken`; so is an answer of a bound service from outside.
"""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import cattrs
from attrs import evolve, frozen

from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.routing.copies import Instance
from coralvale.cluster.routing.home import LEASE_S, HomeRegion
from coralvale.interface import Outcome
from coralvale.lab import souring
from coralvale.lab.model import LabError
from coralvale.lab.souring import Broken, Gateway, Kind, Request, Service, World

WHAT = ("kill", "back", "lose_zone", "cut", "mend", "bind", "busy")
TRIES = 3  # of a client, at a gateway by lot each
PAUSE = 0.05  # s until a client comes again after a refusal
NEWS = 0.5  # s between words of the core


@frozen
class Region:
    name: str
    gateways: int
    zones: int = 1
    clients: float = 1.0  # of all requests, by weight, come from here


@frozen
class Bound(Service):
    """`copies` in each region; `region` "": bound nowhere."""

    region: str = ""


@frozen
class Event:
    """At `at` s: kill or back (`count` gateways of a region, all without a number), lose_zone (gateways and
    hosts of one zone, for good), cut or mend (a region's gateways from the core), bind (`service` to `region`),
    busy (`times` the usual from then on)."""

    at: float
    what: str
    region: str = ""
    service: str = ""
    count: int = 0
    times: float = 1.0
    note: str = ""


@frozen
class Day:
    seconds: float
    regions: tuple[Region, ...]
    services: tuple[Bound, ...]
    kinds: tuple[Kind, ...]
    events: tuple[Event, ...] = ()
    stray: float = 0.15  # of the requests come in at a gateway of another region first
    lease: float = LEASE_S
    way: float = 0.0015

    # What `souring` asks of a day.
    @property
    def gateways(self) -> int:
        return sum(region.gateways for region in self.regions)

    sour: tuple[souring.Sour, ...] = ()


_converter = cattrs.Converter(forbid_extra_keys=True)


def load(path: str) -> Day:
    """Reads a day. Raises LabError, which names the place of each mistake."""
    try:
        raw = tomllib.loads(Path(path).read_text())
        day: Day = _converter.structure(raw, Day)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise LabError(f"{path}: {error}") from None
    except cattrs.BaseValidationError as error:
        raise LabError("\n".join(f"{path}: {line}" for line in cattrs.transform_error(error))) from None
    regions, services = {r.name for r in day.regions}, {s.name for s in day.services}
    wrong = [f"services[{n}].region: {s.region!r} is not there" for n, s in enumerate(day.services)
             if s.region and s.region not in regions]  # fmt: skip
    wrong += [f"kinds[{n}].service: {k.service!r} is not there" for n, k in enumerate(day.kinds)
              if k.service not in services]  # fmt: skip
    for n, event in enumerate(day.events):
        if event.what not in WHAT:
            wrong.append(f"events[{n}].what: {event.what!r}, expected one of {', '.join(WHAT)}")
        elif event.what != "busy" and event.region not in regions:
            wrong.append(f"events[{n}].region: {event.region!r} is not there")
        if event.what == "bind" and event.service not in services:
            wrong.append(f"events[{n}].service: {event.service!r} is not there")
    if not day.regions:
        wrong.append("regions: none")
    if wrong:
        raise LabError("\n".join(f"{path}: {line}" for line in wrong))
    return day


class Abroad(World):
    """A day, from a seed. `free`: the same day with nothing bound, for what binding costs."""

    home_made: type[HomeRegion] = HomeRegion

    def __init__(self, day: Day, seed: int, free: bool = False) -> None:
        self.plan, self.free = day, free
        if free:
            day = evolve(day, services=tuple(evolve(s, region="") for s in day.services))
        self.bound = {s.name: s.region for s in day.services}
        self.before = dict(self.bound)  # what was bound before the newest change, and until when it may count
        self.counts_until = -1.0
        self.zones: dict[str, str] = {}
        self.places: list[str] = []  # zones of gateways
        for region in day.regions:
            names = [f"{region.name}-{n + 1}" for n in range(region.zones)]
            self.zones.update(dict.fromkeys(names, region.name))
            self.places += [names[n % region.zones] for n in range(region.gateways)]
        self.at: list[tuple[float, str, str]] = []  # when, who answered, what
        self.down: set[int] = set()
        self.cut: set[str] = set()
        self.open: dict[int, set[Request]] = {n: set() for n in range(day.gateways)}
        self.times, self.version = 1.0, 1
        many = tuple(
            Service(s.name, s.copies * len(self.zones), s.slots, s.queue) for s in day.services
        )  # in each zone
        super().__init__(_Seen(day, many), seed)  # type: ignore[arg-type]

    # What `World` asks

    def zone(self, number: int) -> str:
        """Copies are dealt out to zones in turn; gateways stand where the day has them."""
        if not hasattr(self, "gateways"):
            return self.places[number]
        return list(self.zones)[number % len(self.zones)]

    def home(self, number: int) -> HomeRegion:
        zone = self.places[number]
        made = self.home_made(self.zones[zone], self.zones, {}, self.plan.lease)
        made.core_heard_at = self.engine.clock
        return made

    def _configuration(self) -> dict[str, Any]:
        found = super()._configuration()
        for name, region in self.bound.items():
            if region:
                found["Svcs"][name]["Region"] = region
        found["Ver"] = self.version
        return found

    def _plan(self) -> list[Any]:
        return []

    def rates(self, service: str) -> float:
        return 0.0

    def region_of(self, gateway: Gateway) -> str:
        return self.zones[self.places[gateway.number]]

    # What is seen

    def allowed(self, service: str) -> set[str]:
        """Regions in which it may be begun now; none: anywhere."""
        found = {self.bound[service]}
        if self.engine.now <= self.counts_until:
            found.add(self.before[service])
        return set() if "" in found else found

    def sent(self, gateway: Gateway, copy: Instance, request: Request) -> None:
        allowed = self.allowed(request.kind.service)
        here, there = self.region_of(gateway), self.zones[copy.entry.row.az]
        if allowed and (here not in allowed or there != here):
            raise Broken(f"{self.engine.now:.2f}: {request.id} of {here} sent to {there}, bound to {allowed}")

    def answered(self, request: Request, status: int, promises: bool) -> None:
        if request.done:
            return
        gateway = request.gateway
        self.open[gateway.number].discard(request)
        if status == 200 and (self.bound[request.kind.service] or self.free):
            here, allowed = self.region_of(gateway), self.allowed(request.kind.service)
            # What began at home before a change ends where it began.
            if allowed and here not in allowed and request.asked > self.counts_until:
                raise Broken(f"{self.engine.now:.2f}: {request.id} answered in {here}, bound to {allowed}")
            self.at.append((self.engine.now, here, "answered"))
        if promises and status == 421:
            self.figures["refused abroad"] += 1
            self.at.append((self.engine.now, self.region_of(gateway), "refused abroad"))
            if self._again(request):
                return
        super().answered(request, status, promises)
        if status != 200:
            self.at.append((self.engine.now, self.region_of(gateway), "not served"))

    def _again(self, request: Request) -> bool:
        """The client comes again, with an id of its own, at another gateway: it knows nothing of regions."""
        count = request.id.count("+") + 1
        if count >= TRIES or request.asked + request.kind.deadline - self.engine.now <= PAUSE:
            return False
        request.done = True
        again = Request(f"{request.id}+", request.kind, request.gateway, request.asked)
        if request.kind.once:
            self.once.add(again.id)
        self.engine.later(PAUSE, self._enter, again, False)
        return True

    def _enter(self, request: Request, first: bool) -> None:
        if request.done:
            return
        region = self.region_by_lot() if first else self.region_of(request.gateway)
        if not first or self.chance.random() < self.plan.stray:
            others = [r for r in dict.fromkeys(self.zones.values()) if r != region]
            region = self.chance.choice(others) if others else region
        there = [g for g in self.gateways if g.number not in self.down and self.region_of(g) == region]
        there = there or [g for g in self.gateways if g.number not in self.down]
        if not there:
            return self.answered(request, 503, True)
        request.gateway = self.chance.choice(there)
        self.open[request.gateway.number].add(request)
        request.gateway.ask(request)
        return None

    def region_by_lot(self) -> str:
        regions = self.plan.regions
        return self.chance.choices([r.name for r in regions], [r.clients for r in regions])[0]

    def _arrive(self, kind: Kind) -> None:
        self.serial += 1
        request = Request(f"{kind.name}-{self.serial}", kind, self.gateways[0], self.engine.now)
        self.figures["bookings asked" if kind.once else "reads asked"] += 1
        if kind.once:
            self.once.add(request.id)
        self._enter(request, True)
        self.engine.later(self.chance.expovariate(kind.rate * self.times), self._arrive, kind)

    # What happens

    def _happen(self, event: Event) -> None:
        there = [g for g in self.gateways if self.region_of(g) == event.region]
        if event.what == "kill":
            up = [g for g in there if g.number not in self.down]
            for gateway in self.chance.sample(up, min(len(up), event.count or len(up))):
                self._kill(gateway)
        elif event.what == "back":
            for gateway in [g for g in there if g.number in self.down][: event.count or None]:
                self.down.discard(gateway.number)
                gateway.instances.home.core_heard_at = -1e18  # it has heard nothing since it began
        elif event.what == "lose_zone":
            zone = next(z for z, region in self.zones.items() if region == event.region)
            for gateway in there:
                if self.places[gateway.number] == zone and gateway.number not in self.down:
                    self._kill(gateway)
            for life, host in self.hosts.items():
                if self.gateways[0].register.entries[life].row.az == zone:
                    host.ail = souring.Sour(host.service.name, 0.0, 1e9, "silent")
                    for gateway in self.gateways:
                        self.engine.later(2.0, self._missed, gateway, life)
        elif event.what == "cut":
            self.cut.add(event.region)
        elif event.what == "mend":
            self.cut.discard(event.region)
        elif event.what == "busy":
            self.times = event.times
        elif not self.free:
            self._bind(event)

    def _missed(self, gateway: Gateway, life: str) -> None:
        gateway.register.mark_gone(self.engine.clock, life)

    def _kill(self, gateway: Gateway) -> None:
        self.down.add(gateway.number)
        for request in sorted(self.open.pop(gateway.number), key=lambda r: r.id):
            for copy in gateway.instances.by_id.values():
                for key in [k for k in copy.in_flight if k[0] == request.id]:
                    del copy.in_flight[key]
            if request.done:
                continue
            self.figures["cut by a kill"] += 1
            # A client of a read comes again; a booking may have run, and nobody may ask for it twice.
            if request.kind.once or not self._again(request):
                request.done = True
                self.at.append((self.engine.now, self.region_of(gateway), "not served"))
        self.open[gateway.number] = set()

    def back(self, one: souring.Try, outcome: Outcome, status: int) -> None:
        if one.request.gateway.number not in self.down:
            super().back(one, outcome, status)

    def _bind(self, event: Event) -> None:
        self.before, self.version = dict(self.bound), self.version + 1
        self.bound[event.service] = event.region
        # A gateway in touch follows within a word of the core; one that is cut off stops within its lease.
        self.counts_until = self.engine.now + max(2 * NEWS, self.plan.lease if self.cut else 0.0)
        plot = parse_configuration(self._configuration(), self.gateways[0].router.configuration)
        assert isinstance(plot, Configuration), plot
        self.newest = plot

    def _news(self, gateway: Gateway) -> None:
        if self.region_of(gateway) not in self.cut and gateway.number not in self.down:
            gateway.instances.home.core_heard_at = self.engine.clock
            if self.newest is not None:
                gateway.router.take_configuration(self.newest)
        self.engine.later(NEWS, self._news, gateway)

    newest: Configuration | None = None

    def play(self) -> dict[str, Any]:
        for event in self.plan.events:
            self.engine.at(event.at, self._happen, event)
        for gateway in self.gateways:
            self.engine.later(NEWS * self.chance.random(), self._news, gateway)
        return super().play()

    def _told(self) -> dict[str, Any]:
        by: Counter[str] = Counter()
        for _, region, what in self.at:
            by[f"{what} in {region}"] += 1
        asked = self.figures["bookings asked"] + self.figures["reads asked"]
        served = self.figures["bookings answered"] + self.figures["reads answered"]
        row: dict[str, Any] = {"seed": self.seed, "bound": not self.free, "served": served / max(1, asked)}
        return {**row, **dict(sorted(self.figures.items())), "by": dict(sorted(by.items()))}


class _Seen:
    """A day as `souring.World` sees it: copies in every zone."""

    def __init__(self, day: Day, services: tuple[Service, ...]) -> None:
        self.seconds, self.gateways, self.kinds = day.seconds, day.gateways, day.kinds
        self.services, self.sour, self.way, self.zones = services, day.sour, day.way, 1


def plot(world: Abroad, path: str) -> None:
    """Answers of bound services a second by the region that gave them, refusals, and what happened."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(2, 1, figsize=(10, 6), sharex=True)
    edges = list(range(int(world.plan.seconds) + 1))

    def counts(region: str, what: str) -> list[int]:
        return [sum(a <= t < a + 1 for t, r, w in world.at if r == region and w == what) for a in edges]

    for region in dict.fromkeys(world.zones.values()):
        above.step(edges, counts(region, "answered"), where="post", label=f"answered in {region}")
        below.step(
            edges, counts(region, "refused abroad"), where="post", label=f"refused by {region}, abroad"
        )
    lost = [sum(a <= t < a + 1 for t, _, w in world.at if w == "not served") for a in edges]
    below.step(edges, lost, where="post", label="not served", color="tab:red")
    top = above.get_ylim()[1]
    for event in world.plan.events:
        for axis in (above, below):
            axis.axvline(event.at, color="0.6", linewidth=0.8, linestyle="--")
        above.text(event.at + 0.2, top * 0.98, event.note or event.what, rotation=90, fontsize=7, va="top")
    above.set_ylabel("answers a second")
    below.set_ylabel("requests a second")
    below.set_xlabel("seconds")
    for axis in (above, below):
        axis.legend(fontsize=8, loc="center left")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def run(asked: argparse.Namespace) -> int:
    """Plays a day over seeds, bound and free. 1 if anything bound was begun or answered abroad."""
    day = load(asked.file)
    broken, rows = [], []
    for seed in range(asked.first, asked.first + asked.seeds):
        for free in (False, True):
            try:
                rows.append(Abroad(day, seed, free).play())
            except Broken as error:
                broken.append(f"seed {seed}: {error}")
        if not asked.json:
            print(f"\r{seed - asked.first + 1} of {asked.seeds} days", end="", file=sys.stderr, flush=True)
    if asked.plot:
        world = Abroad(day, asked.first)
        world.play()
        plot(world, asked.plot)
    told = {
        name: {
            "served": sum(r["served"] for r in of) / max(1, len(of)),
            "by": dict(sum((Counter(r["by"]) for r in of), Counter())),
        }
        for name, of in (
            ("bound", [r for r in rows if r["bound"]]),
            ("free", [r for r in rows if not r["bound"]]),
        )
    }
    if asked.json:
        print(json.dumps({"days": asked.seeds, "broken": broken, **told}))
    else:
        print(file=sys.stderr)
        for name, row in told.items():
            print(
                f"{name:<6} served {row['served']:.4f}; "
                + ", ".join(f"{k}: {v}" for k, v in row["by"].items())
            )
        for line in broken:
            print(line)
    return 1 if broken else 0
