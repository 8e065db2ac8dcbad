"""What happens to a platform, as data: each kind of the time line, how it is done and undone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coralvale import interface as api
from coralvale.lab.model import Fault
from coralvale.lab.streams import generator

if TYPE_CHECKING:
    from coralvale.lab.world.hosts import Host
    from coralvale.lab.world.platform import Platform

NOTICED = 1.0  # s until discovery tells of a host that is gone
MEANING = {
    "host.kill": "hosts (share, or a zone's) are gone, and come back cold after `lasts`",
    "host.slow": "hosts take `by` times as long",
    "host.fail": "hosts answer a share `by` of requests with an error",
    "host.silent": "hosts take connections and say nothing",
    "host.reset": "hosts break a share `by` of connections under a request, half of them before it ran",
    "host.drain": "hosts drain, and are gone `by` s after that (2 s for 0); they come back cold after `lasts`",
    "host.replace": "hosts (share) are replaced by cold ones, one after another within `over`",
    "zone.lost": "all hosts of a zone are gone, and come back cold after `lasts`",
    "zone.cut": "a zone reaches no other, nor the counter if that is elsewhere",
    "counter.down": "no call is answered",
    "counter.slow": "every answer takes `by` s longer",
    "counter.loss": "a share `by` of calls is lost",
    "counter.split": "two halves count apart; afterwards one of them stays",
    "counter.swap": "an empty counter stands in its place",
    "discovery.down": "nobody hears of changes, and asks are not answered",
    "discovery.late": "changes come `by` s later",
    "gateway.kill": "gateways (share) are killed and start anew `by` s later",
    "gateway.restart": "gateways (share) restart gently, one after another within `over`",
    "load.surge": "customers (of `plans`, or all) ask `by` times as much",
    "load.leaves": "a share `by` of clients leaves before its aim",
}


def plan(world: Platform) -> None:
    """Puts the whole time line on the run's queue."""
    for n, fault in enumerate(world.experiment.timeline):
        world.engine.at(fault.at, _start, world, fault, n)


def _some(world: Platform, fault: Fault, n: int, of: list[int]) -> list[int]:
    """Those that it happens to, by a stream of the fault's own."""
    count = max(1, round(fault.share * len(of)))
    return [of[i] for i in generator(world.seed, f"fault/{n}").permutation(len(of))[:count].tolist()]


def _hosts(world: Platform, fault: Fault, n: int) -> list[Host]:
    alive = [h for h in world.hosts.values() if h.alive and (fault.zone < 0 or h.zone == fault.zone)]
    if fault.zone >= 0 and not fault.share:
        return alive
    return [alive[i] for i in _some(world, fault, n, list(range(len(alive))))]


def _start(world: Platform, fault: Fault, n: int) -> None:
    kind, engine, by = fault.what, world.engine, fault.by
    ends = fault.lasts
    if kind in ("host.kill", "zone.lost"):
        zone = max(0, fault.zone) if kind == "zone.lost" else fault.zone
        hosts = (
            [h for h in world.hosts.values() if h.zone == zone and h.alive]
            if kind == "zone.lost"
            else _hosts(world, fault, n)
        )
        for host in hosts:
            host.kill()
        engine.later(NOTICED, _gone, world, hosts)
        if ends:
            engine.later(ends, _back, world, hosts)
    elif kind in ("host.slow", "host.fail", "host.silent", "host.reset"):
        hosts = _hosts(world, fault, n)
        name = kind.removeprefix("host.")
        value, usual = {
            "slow": (by or 5.0, 1.0), "fail": (by or 1.0, 0.0), "reset": (by or 0.1, 0.0), "silent": (True, False)
        }[name]  # fmt: skip
        for host in hosts:
            setattr(host, name, value)
        if ends:
            engine.later(ends, _usual, world, hosts, name, usual)
    elif kind == "host.drain":
        hosts = _hosts(world, fault, n)
        for place, host in enumerate(hosts):
            engine.later(fault.over * place / len(hosts), _drain, world, host, by or 2.0, ends)
    elif kind == "host.replace":
        hosts = _hosts(world, fault, n)
        for place, host in enumerate(hosts):
            engine.later(fault.over * place / len(hosts), _replace, world, host)
    elif kind == "zone.cut":
        zone = max(0, fault.zone)
        world.cut.add(zone)
        if ends:
            engine.later(ends, world.cut.discard, zone)
    elif kind.startswith("counter."):
        _counter(world, fault)
    elif kind == "discovery.down":
        world.discovery.up = False
        if ends:
            engine.later(ends, world.discovery.back)
    elif kind == "discovery.late":
        world.discovery.late = by
        if ends:
            engine.later(ends, _set, world.discovery, "late", 0.0)
    elif kind == "gateway.kill":
        for g in _some(world, fault, n, list(range(len(world.drivers)))):
            world.drivers[g].stop()
            engine.later(by, world.replace, g, False)
    elif kind == "gateway.restart":
        chosen = _some(world, fault, n, list(range(len(world.drivers))))
        for place, g in enumerate(chosen):
            engine.later(fault.over * place / len(chosen), world.replace, g, True)
    elif kind == "load.leaves":
        usual = world.clients.leaving
        world.clients.leaving = by
        if ends:
            engine.later(ends, _set, world.clients, "leaving", usual)
    # load.surge is in the arrivals, which are drawn ahead


def _counter(world: Platform, fault: Fault) -> None:
    counter, later, ends = world.counter, world.engine.later, fault.lasts
    kind = fault.what.removeprefix("counter.")
    if kind == "swap":
        counter.swap()
    elif kind == "split":
        counter.split()
        if ends:
            later(ends, counter.mend)
    else:
        name, value, usual = {
            "down": ("up", False, True), "slow": ("slow", fault.by, 0.0), "loss": ("loss", fault.by, 0.0)
        }[kind]  # fmt: skip
        setattr(counter, name, value)
        if ends:
            later(ends, _set, counter, name, usual)


def _set(what: object, name: str, value: float | bool) -> None:
    setattr(what, name, value)


def _usual(world: Platform, hosts: list[Host], name: str, value: float | bool) -> None:
    for host in hosts:
        setattr(host, name, value)


def _gone(world: Platform, hosts: list[Host]) -> None:
    if dead := [h for h in hosts if not h.alive]:
        world.discovery.change(dead, api.ServerState.GONE)


def _back(world: Platform, hosts: list[Host]) -> None:
    for host in hosts:
        host.start(world.engine.now)
    world.discovery.change(hosts, api.ServerState.HEALTHY)


def _drain(world: Platform, host: Host, wait: float, ends: float) -> None:
    host.draining = True
    world.discovery.change([host], api.ServerState.DRAINING)
    world.engine.later(wait, _end, world, host)
    if ends:
        world.engine.later(max(ends, wait + 0.1), _back, world, [host])


def _end(world: Platform, host: Host) -> None:
    host.kill()
    world.discovery.change([host], api.ServerState.GONE)


def _replace(world: Platform, host: Host) -> None:
    base = host.name.partition("+")[0]
    name = f"{base}+{sum(h.partition('+')[0] == base for h in world.hosts)}"
    made = world.hosts[name] = world.make_host(name, host.zone, host.speed, world.engine.now)
    world.discovery.change([made], api.ServerState.HEALTHY)
    _drain(world, host, 2.0, 0.0)
