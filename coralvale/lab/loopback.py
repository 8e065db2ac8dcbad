"""The same arrivals in real time: real gateways as processes, hosts and a counter as stand-ins on loopback.

What the laboratory says of a platform is held against this. The clients are the world's own, with the same
chance; customers' truth is kept by the same stores, charged when a host takes a request. What has no stand-in is
refused with its place: only the counter's faults, killed gateways and surges can be in the time line, and a
counter's capacity, hosts' cold start and the ways between zones are not played.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from coralvale.lab.measure import Measure
from coralvale.lab.model import Experiment, LabError
from coralvale.lab.world.clients import Clients, Effect, head
from coralvale.lab.world.engine import Engine
from coralvale.standins.clients import Client
from coralvale.standins.counter import Tally
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import GatewayProcess, free_port
from coralvale.standins.hosts import Host
from coralvale.standins.wire import answer

FAULTS = ("counter.down", "counter.swap", "gateway.kill", "load.surge")
REPEATS = {"safe": "free", "unsafe": "single_shot"}
MOST = 24  # gateways: each is a process
SETTLE = 2.0  # s for members to find each other before the first request
IDLE = 60.0  # s that connections to hosts are kept


class RealEngine(Engine):
    """The world's words for the running loop's clock."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.begun, self.events, self.stopped = self.loop.time(), 0, False

    @property
    def now(self) -> float:  # type: ignore[override]
        return self.loop.time() - self.begun

    def later(self, delay: float, what: Callable[..., None], *given: Any) -> None:  # noqa: ANN401
        if not self.stopped:
            self.loop.call_later(max(0.0, delay), what, *given)


class Counted(Host):
    """A host whose work is each request's own, and that tells of what it takes."""

    def __init__(self, name: str, slots: int, queue: int, takes: Callable[[str], float]) -> None:
        super().__init__(name, slots=slots, queue=queue)
        self.takes = takes

    async def _answer(self, name: str, writer: asyncio.StreamWriter) -> None:
        work = self.takes(name)
        async with self.slots:
            await asyncio.sleep(work)
        self.ran[name] += 1
        writer.write(answer(200, b"served by " + self.name.encode()))


class Front:
    """Clients of one gateway."""

    def __init__(self, world: Loopback, port: int) -> None:
        self.world, self.port = world, port
        self.idle: list[Client] = []

    def take(self, effect: Effect, leaves_at: float) -> None:
        self.world.spawn(self._ask(effect))

    async def _ask(self, effect: Effect) -> None:
        world = self.world
        name = f"{effect.name}.{effect.tries}"
        world.asked[name] = effect
        left = effect.asked_at + effect.cls.give_up - world.engine.now
        client = self.idle.pop() if self.idle else None
        try:
            if client is None:
                client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
            said = await client.ask(head(effect, name, max(0.001, left)))
        except (OSError, asyncio.IncompleteReadError):
            # Its gateway was killed: as in the world, what ran is not asked again unless that is safe.
            again = effect.cls.repeat == "safe" or name not in world.charged
            world.add("killed")
            world.clients.turned_away(effect, 0.0, again)
            return
        self.idle.append(client)
        if said.status == 200:
            world.served(effect)
        elif said.status in (429, 503):
            world.refused(effect, float(said.headers.get(b"retry-after", b"0")))
        else:
            world.add("failed")
            if effect.cls.repeat == "safe":
                world.clients.turned_away(effect, 0.0, True)


class Loopback:
    """What the clients ask of their world, in real time."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment, self.seed, self.effects = experiment, seed, 0
        self.engine = RealEngine()
        self.measure = Measure(experiment)
        self.asked: dict[str, Effect] = {}
        self.charged: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.drivers: list[Front] = []
        self.clients = Clients(self)  # type: ignore[arg-type]  # it asks for what is here

    def spawn(self, work: Any) -> None:  # noqa: ANN401
        task = self.engine.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def add(self, name: str, amount: float = 1.0) -> None:
        self.measure.tick(self.engine.now)
        self.measure.add(name, amount)

    def takes(self, name: str) -> float:
        """A host has taken a request: its work in s."""
        effect = self.asked[name]
        self.add("attempts")
        if name not in self.charged:
            self.charged.add(name)
            self.add("let in")
            self.add("taken", effect.units)
            if effect.customer.store.take(self.engine.now, effect.units):
                self.add("worth inside", effect.worth)
            else:
                self.add("beyond", effect.units)
                self.add("cost", effect.worth * effect.customer.plan.excess_cost)
        return effect.work

    def served(self, effect: Effect) -> None:
        took = self.engine.now - effect.asked_at
        self.measure.tick(self.engine.now)
        self.measure.delay(effect.cls, took)
        if took <= effect.cls.aim:
            self.measure.add_at("served", effect.asked_at)
            self.measure.add_at("worth served", effect.asked_at, effect.worth)
        else:
            self.measure.add_at("late", effect.asked_at)

    def refused(self, effect: Effect, advice: float) -> None:
        self.add("refused")
        store = effect.customer.store
        if store.room(self.engine.now, effect.units):
            self.add("with room")
        if store.fill <= effect.customer.plan.burst / 2:
            self.add("half empty")
        self.clients.turned_away(effect, advice, True)


def settings(experiment: Experiment, g: int) -> dict[str, Any]:
    """The object `settings` of a gateway's configuration."""
    fleet, counter = experiment.fleet, experiment.counter
    return {
        "n_instances": fleet.gateways, "me": g, "locality": 0, "zones": ["z0"], "skus": ["large"],
        "classes": [
            {"name": c.name, "aim_s": c.aim, "give_up_s": c.give_up, "worth": c.worth,
             "repeat": REPEATS[c.repeat]}
            for c in experiment.classes
        ],
        "packages": [
            {"name": p.name, "per_second": p.rate, "most_at_once": p.burst, "concurrency": p.open_limit,
             "value_factor": p.price, "excess_cost": p.excess_cost, "never_over_rate": p.ceiling_rate,
             "hard_burst": p.ceiling_burst, "tolerance": p.ceiling_slack}
            for p in experiment.plans
        ],
        "ceilings": {"send_cap": fleet.max_attempts, "connect_timeout_s": experiment.ways.connect_timeout,
                     "conn_idle_s": IDLE, "retry_after": True, "max_retry_after_s": fleet.max_advice,
                     "may_cancel": True},
        "family_info": {"may_count": counter is not None,
                        "count_wait_s": counter.timeout if counter else 0.0, "use_period_s": 0.0,
                        "most_units": max(c.units for c in experiment.classes)},
        "rules": {"stop_sending_within_s": fleet.drain_grace, "cold_from": fleet.cold_share,
                  "ramp_time_s": fleet.warm_after, "fall_multiple": fleet.fall_multiple,
                  "overload_for_s": fleet.fall_window},
    }  # fmt: skip


def check(experiment: Experiment) -> None:
    """Raises LabError, a line for each thing that cannot be played here."""
    wrong = [
        f"timeline[{n}].what: {f.what} cannot be played on loopback; expected one of {', '.join(FAULTS)}"
        for n, f in enumerate(experiment.timeline)
        if f.what not in FAULTS
    ]
    if experiment.fleet.gateways > MOST:
        wrong.append(f"fleet.gateways: {experiment.fleet.gateways}, expected at most {MOST} processes here")
    wrong += [
        f"classes[{n}].repeat: {c.repeat!r}, expected one of {', '.join(REPEATS)}"
        for n, c in enumerate(experiment.classes)
        if c.repeat not in REPEATS
    ]
    if wrong:
        raise LabError("\n".join(wrong))


def member(folder: Path, ports: list[int], g: int, more: str) -> str:
    """An operator's file by which gateways keep quotas among themselves."""
    keys = folder / "keys"
    if not keys.exists():
        keys.write_text(f'first = 1\n[keys]\n1 = "{os.urandom(16).hex()}"\n')
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in ports[:2])
    return (
        f'[members]\ncluster = "lab"\nkeys = "{keys}"\nlisten = "127.0.0.1:{ports[g]}"\n'
        f"seeds = [{seeds}]\nquotas = true\n{more}"
    )


async def play(experiment: Experiment, seed: int, members: bool = False, more: str = "") -> dict[str, float]:
    """Plays it in real time. The figures of `measure.FIGURES` that can be told from outside.

    With `members` the gateways know of one another and keep quotas by owners, in place of the counter; `more`
    has lines of their `[members]`.
    """
    check(experiment)
    hosts: list[Counted] = []
    gateways: list[GatewayProcess] = []
    counter = await Tally().start() if experiment.counter else None
    roster: Roster | None = None
    world: Loopback | None = None

    def takes(name: str) -> float:
        assert world is not None
        return world.takes(name)

    try:
        for n in range(experiment.fleet.hosts):
            host = Counted(f"h{n}", experiment.fleet.cores, experiment.fleet.queue, takes)
            hosts.append(host)
            await host.start()
        roster = await Roster(*(entry(h.name, h.port, zone="z0", type="large") for h in hosts)).start()
        with tempfile.TemporaryDirectory() as folder:
            address = f"127.0.0.1:{counter.port}" if counter else ""
            ports = [free_port() for _ in range(experiment.fleet.gateways)]
            for g in range(experiment.fleet.gateways):
                operator = member(Path(folder), ports, g, more) if members else ""
                made = settings(experiment, g), roster.address, address, roster.known(), seed + g, operator
                gateways.append(GatewayProcess(Path(folder), f"g{g}", *made))
            await asyncio.gather(*(gateway.start() for gateway in gateways))
            if members:
                await asyncio.sleep(SETTLE)
            world = Loopback(experiment, seed)
            world.drivers = [Front(world, gateway.port) for gateway in gateways]
            for fault in experiment.timeline:
                if counter and fault.what == "counter.down":
                    world.engine.at(fault.at, lambda f=fault: world.spawn(_away(counter, f.lasts)))
                elif counter and fault.what == "counter.swap":
                    world.engine.at(fault.at, counter.lose)
                elif fault.what == "gateway.kill":
                    lots = random.Random(f"{seed}/{fault.at}")
                    for gateway in lots.sample(gateways, max(1, round(fault.share * len(gateways)))):
                        world.engine.at(fault.at, world.spawn, _again(gateway, fault.by))
            world.clients.start()
            before = 0
            for second in range(int(experiment.seconds)):
                await asyncio.sleep(max(0.0, second + 1 - world.engine.now))
                if counter:
                    world.measure.tick(second + 0.5)
                    world.measure.add("calls", counter.calls - before)
                    before = counter.calls
            world.engine.stopped = True
            last = max(c.give_up for c in experiment.classes) + 1.0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(last):
                    while world.tasks:
                        await asyncio.wait(set(world.tasks))
    finally:
        for gateway in gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                await gateway.end()
        for host in hosts:
            host.stop()
        if roster is not None:
            roster.stop()
        if counter is not None:
            counter.stop()
    return world.measure.figures(experiment.plans, 0.0)


async def _again(gateway: GatewayProcess, seconds: float) -> None:
    """Killed, and a new process in its place so many seconds later."""
    await gateway.end(9)
    await asyncio.sleep(seconds)
    await gateway.start()


async def _away(counter: Tally, seconds: float) -> None:
    """The counter's ports refuse; what it had is kept, as `counter.down` means it."""
    kept = dict(counter.totals)
    ports = await counter.kill()
    await asyncio.sleep(seconds or 3600.0)
    await counter.revive(ports)
    counter.totals.update(kept)
