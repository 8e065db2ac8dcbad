"""The platform of an experiment with whole gateways: the real node on virtual time, hosts and services that
speak HTTP.

Hosts, counter, clients, faults, rules and figures are those of `coralvale.lab.world`; here they are
reached through the node's own sockets' code, and what a gateway does is judged by what comes out of it.
An address names who dials it: gateway g reaches host `h3` as `h3:g+1`, so that every end of a connection
knows both of its zones.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.lab.model import Experiment
from coralvale.lab.model import Outcome as Left
from coralvale.lab.streams import number
from coralvale.lab.virtual.http import Answering, Asking
from coralvale.lab.virtual.loop import START, VirtualClock, VirtualLoop, run
from coralvale.lab.virtual.network import Network, Server
from coralvale.lab.world.clients import Effect, head
from coralvale.lab.world.engine import Engine
from coralvale.lab.world.fleet import Attempt, Driver, Policy, Try
from coralvale.lab.world.hosts import Host
from coralvale.lab.world.platform import Platform, ours, settings
from coralvale.net.config import Address, Config
from coralvale.net.node import AccessRecord, Node

NAME = "node"  # of the policy
BEAT = 2.0  # s between the lines of a watch in which nothing changes
CLOSED = 5.0  # s after its end for which a process may still answer
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STATUS = {
    api.ServerState.HEALTHY: "active", api.ServerState.DRAINING: "leaving", api.ServerState.GONE: "left"
}  # fmt: skip
SERVICES = ("discovery", "counter")
Spoil = Callable[[api.Settings, int], Policy]


class LoopEngine(Engine):
    """The loop's time and queue, in the engine's words."""

    origin = START

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.events, self.stopped = loop, 0, False

    @property
    def now(self) -> float:  # type: ignore[override]
        return self.loop.now - START

    def later(self, delay: float, what: Callable[..., None], *given: Any) -> None:  # noqa: ANN401
        self.loop.call_later(max(0.0, delay), self._do, what, given)

    def _do(self, what: Callable[..., None], given: tuple[Any, ...]) -> None:
        if not self.stopped:
            self.events += 1
            what(*given)


class PlatformNetwork(Network):
    """Ways and cuts as the experiment says, by the zones of who dials and of who listens."""

    world: NodePlatform

    def resolve(self, address: Address) -> Address:
        name = address[0]
        return (name, 1) if name in SERVICES or name in self.world.hosts else address

    def _zones(self, address: Address) -> tuple[int, int]:
        name, port = address
        gateways, counter = self.world.experiment.fleet.zones, self.world.experiment.counter
        here = (port - 1) % gateways
        if host := self.world.hosts.get(name):
            return here, host.zone
        return (here, counter.zone) if name == "counter" and counter else (0, 0)

    def blocked(self, address: Address) -> bool:
        return bool(self.world.cut) and not self.world.reaches(*self._zones(address))

    def delay(self, address: Address) -> float:
        ways, (one, other) = self.world.experiment.ways, self._zones(address)
        usual = ways.zone if one == other else ways.between
        return usual * (1 + ways.jitter * (2 * self.lots.random() - 1))


class NodeHost(Host):
    """A host that listens."""

    world: NodePlatform

    def __init__(self, world: NodePlatform, name: str, zone: int, speed: float, born: float | None) -> None:
        super().__init__(world, name, zone, speed, born)
        self.fronts: dict[Answering, None] = {}
        self.listener: Server = world.network.serve(self._front, (name, 1))

    def _front(self) -> Answering:
        made = Answering(self._asked, lambda front: self.fronts.pop(front, None))
        self.fronts[made] = None
        return made

    def _asked(self, front: Answering, method: bytes, target: bytes, headers: dict[bytes, bytes]) -> None:
        world, now = self.world, self.world.engine.now
        held = world.tries.get(headers.get(b"x-request-id", b"").decode())
        if held is None:
            return front.reply(500)
        driver = world.source(front)
        until = now + float(headers.get(b"x-timeout", b"60"))
        attempt = Attempt(driver, held, self.name, now, until)
        attempt.front = front
        held.attempts.append(attempt)
        world.measure.add("attempts")
        world.pairs.add((driver.number, self.name))
        if len(held.attempts) == 1:
            world.measure.add("let in")
        way = max(world.experiment.ways.between, world.experiment.ways.zone) * 2
        world.rules.sent(now - way, driver.number, self.name, driver.told.get(self.name))
        return self.take(attempt)

    def kill(self) -> None:
        super().kill()
        self.listener.close()
        for front in list(self.fronts):
            self.world.network.reset(front.transport)

    def start(self, now: float) -> None:
        super().start(now)
        if not self.listener.is_serving():
            self.listener = self.world.network.serve(self._front, (self.name, 1))


class NodeDriver(Driver):
    """One process: a node with its sockets, the clients' connections to it, and its watch at discovery."""

    world: NodePlatform

    def __init__(self, world: NodePlatform, g: int, life: int) -> None:
        self.world, self.number, self.life = world, g, life
        self.zone = g % world.experiment.fleet.zones
        self.held: dict[str, Try] = {}
        self.told: dict[str, float] = {}
        self.alive, self.retired = True, False
        self.address = f"gateway-{g}", 8000 + life
        self.idle: list[Asking] = []
        self.asking: dict[str, Asking] = {}
        self.reasons: dict[str, str] = {}
        self.watch: Answering | None = None
        self.index = 0
        experiment = world.experiment
        config = Config(
            name=f"g{g}", listen=self.address, discovery=("discovery", g + 1),
            counter=("counter", g + 1) if experiment.counter else None, management=None,
            seed=number(world.seed, f"gateway/{g}/{life}"), sockets=4096, memory=192.0, known={},
            settings=settings(experiment, self.zone, g),
            zones=tuple(f"z{n}" for n in range(experiment.fleet.zones)),
            kinds=(), connect_timeout=experiment.ways.connect_timeout, conn_idle=15.0,
            most_held=20_000,
        )  # fmt: skip
        self.node = Node(config, world.clock, access_log=self, sockets=world.network)
        self.node.discovery.random = random.Random(number(world.seed, f"discovery/{g}/{life}"))
        if world.spoil:
            vars(self.node)["gateway"] = world.spoil(config.settings, config.seed)
        self.node.start()

    # Discovery's word to it

    def listen(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED or self.watch is None:
            return
        now, full = self.world.engine.now, event.kind is api.ListKind.FULL
        entries = []
        for server in event.servers:
            if server.state is api.ServerState.HEALTHY:
                self.told.pop(server.id, None)
            else:
                self.told.setdefault(server.id, now)
            entries.append(
                {
                    "name": server.id, "address": f"{server.id}:{self.number + 1}", "zone": f"z{server.zone}",
                    "status": STATUS[server.state], "weight": server.scale, "since_ms": server.started_at * 1000,
                }
            )  # fmt: skip
        self.index += 1
        said = {"index": self.index, "snapshot": full, "endpoints": entries}
        self._line(json.dumps(said).encode() + b"\n")

    def watched(self, front: Answering) -> None:
        """Its watch has come to discovery."""
        self.watch = front
        front.transport.write(HEAD)
        self.world.discovery.tell(self)
        self._beat(front)

    def _beat(self, front: Answering) -> None:
        if front is self.watch and not front.transport.is_closing():
            if self.world.discovery.up:
                self._line(b"\n")
            self.world.engine.later(BEAT, self._beat, front)

    def _line(self, data: bytes) -> None:
        if self.watch is not None and not self.watch.transport.is_closing():
            self.watch.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    # Clients

    def record(self, final: AccessRecord) -> None:
        """The node's own word for why, as its witness hears it."""
        if final.arrival is not None and final.status in (429, 503):
            self.reasons[final.arrival.id] = final.reason

    def take(self, effect: Effect, leaves_at: float) -> None:
        world = self.world
        now = world.engine.now
        held = Try(f"{effect.name}.{effect.tries}", effect, effect.asked_at + effect.cls.give_up)
        if not self.alive:
            world.measure.add("no gateway")
            return world.clients.turned_away(effect, 0.0, True)
        self.held[held.name] = world.tries[held.name] = held
        world.engine.later(held.expires + world.experiment.measure.slack - now, self._overdue, held)
        if leaves_at > now:
            world.engine.later(leaves_at - now, self._leave, held)
        return self._ask(held, head(effect, held.name, held.expires - now))

    def _ask(self, held: Try, data: bytes) -> None:
        told, broke = partial(self._told, held), partial(self._broke, held, data)
        while self.idle:
            asking = self.idle.pop()
            if not asking.over:
                self.asking[held.name] = asking
                return asking.ask(data, told, broke)
        task = self.world.loop.create_task(self._connect(held, data))
        self.world.tasks.add(task)
        task.add_done_callback(self.world.tasks.discard)
        return None

    async def _connect(self, held: Try, data: bytes) -> None:
        asking = Asking(self._closed)
        try:
            await self.world.loop.create_connection(lambda: asking, *self.address)
        except OSError:
            return self._broke(held, data, new=True)
        if held.gone:
            return asking.leave()
        self.asking[held.name] = asking
        return asking.ask(data, partial(self._told, held), partial(self._broke, held, data, new=True))

    def _closed(self, asking: Asking) -> None:
        if asking in self.idle:
            self.idle.remove(asking)

    def _told(self, held: Try, status: int, headers: dict[bytes, bytes]) -> None:
        """The gateway's final answer is with its client."""
        asking = self.asking.pop(held.name, None)
        if asking is not None and not asking.over:
            self.idle.append(asking)
        reason = self.reasons.pop(held.name, "")
        if self._final(held.name, reason) is None:
            return
        world, effect = self.world, held.effect
        if status == 200:
            world.served(held)
        elif status in (429, 503):
            world.refused(held, reason, self.number)
            world.clients.turned_away(effect, float(headers.get(b"retry-after", b"0")), True)
        else:
            world.measure.add("failed")
            world.clients.turned_away(effect, 0.0, effect.cls.repeat == "safe")

    def _broke(self, held: Try, data: bytes, new: bool = False) -> None:
        """The connection ended without an answer; on a kept one that is closing the client asks again."""
        self.asking.pop(held.name, None)
        if held.gone or held.answers:
            return
        if self.alive and not new and not held.attempts:
            self.world.measure.add("crossed")
            return self._ask(held, data)
        held.gone = True
        self.world.measure.add("dropped" if self.alive else "killed")
        again = held.effect.cls.repeat == "safe" or not held.attempts
        self.world.clients.turned_away(held.effect, 0.0, again)
        return self._drop(held)

    def _leave(self, held: Try) -> None:
        if held.answers or held.gone or not self.alive:
            return
        held.gone = True
        self.world.measure.add("left")
        if asking := self.asking.pop(held.name, None):
            asking.leave()
        self._drop(held)

    def _overdue(self, held: Try) -> None:
        super()._overdue(held)
        self.world.tries.pop(held.name, None)
        self.reasons.pop(held.name, None)

    # Its life

    def feed(self, event: api.Event) -> None:
        """Events come to the node by its own sockets."""

    def stop(self) -> None:
        self.alive = False
        vars(self.node)["_handle"] = lambda event: None  # a killed process does nothing more
        self.node.close()
        for asking in self.idle:
            asking.leave()
        self.held.clear()

    def retire(self) -> None:
        self.retired = True
        self.node.stop()
        self.world.engine.later(CLOSED, self._ended)

    def _ended(self) -> None:
        if self.alive:
            self.alive = False
            self.node.close()

    def _rest(self) -> None:
        """The node itself says when it has ended."""


class NodePlatform(Platform):
    """Made on its loop; `play` plays it once."""

    network: PlatformNetwork
    discovery: Any

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        loop: VirtualLoop,
        stop_at: int = 1,
        spoil: Spoil | None = None,
    ) -> None:
        assert isinstance(loop.network, PlatformNetwork)
        self.loop, self.network, self.clock = loop, loop.network, VirtualClock(loop)
        self.network.world = self
        self.spoil = spoil
        self.tries: dict[str, Try] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.hosts, self.drivers = {}, []
        self.network.serve(lambda: Answering(self._watch), ("discovery", 1))
        self.network.serve(lambda: Answering(self._call), ("counter", 1))
        super().__init__(experiment, seed, NAME, ours, stop_at, LoopEngine(loop))

    def make_host(self, name: str, zone: int, speed: float, born: float | None) -> Host:
        return NodeHost(self, name, zone, speed, born)

    def make_driver(self, g: int, life: int) -> Driver:
        return NodeDriver(self, g, life)

    def source(self, front: Answering) -> NodeDriver:
        """The gateway that dialled."""
        driver = self.drivers[front.transport.dialled[1] - 1]
        assert isinstance(driver, NodeDriver)
        return driver

    # Services

    def _watch(self, front: Answering, method: bytes, target: bytes, headers: dict[bytes, bytes]) -> None:
        if self.discovery.up:
            self.source(front).watched(front)

    def _call(self, front: Answering, method: bytes, target: bytes, headers: dict[bytes, bytes]) -> None:
        url = urlsplit(target.decode())
        fields = parse_qs(url.query)
        said = self.counter.serve(
            self.source(front).number, url.path.rpartition("/")[2], float(fields["n"][0]),
            float(fields["keep_ms"][0]) / 1000,
        )  # fmt: skip
        if said is None:
            self.measure.add("calls without answer")
        elif said[1] is None:
            self.engine.later(said[0], front.reply, 503)
        else:
            self.engine.later(said[0], front.reply, 200, b"%.7g" % said[1])

    # Answers of hosts

    def answer(self, attempt: Attempt, outcome: Outcome, after: float) -> None:
        self._leave_host(attempt)
        attempt.ended = True
        attempt.driver._drop(attempt.held)
        self.engine.later(after, self._reply, attempt, outcome)

    def _reply(self, attempt: Attempt, outcome: Outcome) -> None:
        front: Answering = attempt.front
        usage = self.usage(attempt.held.effect.customer) if outcome is Outcome.OK else None
        more = {} if usage is None else {"Usage_Percent": f"{100 * usage:.1f}"}
        if outcome is Outcome.OK:
            front.reply(200, b"served", **more)
        elif outcome is Outcome.ERROR:
            front.reply(500)
        else:
            front.reply(503 if outcome is Outcome.FULL else 504, X_Not_Processed="1")

    def lose(self, attempt: Attempt, outcome: Outcome) -> None:
        self._leave_host(attempt)
        attempt.ended = True
        attempt.driver._drop(attempt.held)
        self.network.reset(attempt.front.transport)

    # The run

    async def play(self) -> Left:
        self.begin()
        while not self.engine.stopped and self.engine.now < self.experiment.seconds:
            await asyncio.sleep(min(1.0, self.experiment.seconds - self.engine.now))
        left = self.left()
        self.engine.stopped = True
        for driver in self.drivers:
            driver.stop()
        for task in list(self.tasks):
            task.cancel()
        return left


def play(experiment: Experiment, seed: int, stop_at: int = 1, spoil: Spoil | None = None) -> Left:
    """One run with whole gateways; `spoil` puts other decisions into each node, as tests do."""

    async def main(loop: VirtualLoop) -> Left:
        return await NodePlatform(experiment, seed, loop, stop_at, spoil).play()

    left: Left = run(PlatformNetwork(seed), main)
    return left
