"""What goes on in a soak beside its faults: clients, hosts, an operator, callers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from coralvale.cluster.soak.callers import Caller, Numbers
from coralvale.cluster.soak.clients import Asked, Client, Manner
from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import Writer
from coralvale.cluster.soak.hosts import SoakHost
from coralvale.cluster.soak.measure import sample, watch_own_loop
from coralvale.cluster.soak.operator import SERVICES, Operator, key_of

HOSTS = 4  # of each service
RATE = 120.0  # requests a second of all clients, at most
PACE = 0.12  # s between a client's requests, at least
PRESSING = 4  # clients of the tenant that presses
PRESSING_PACE = 0.08  # s between the requests of each of them
PROBE_PACE = 0.25  # s between probes of the newest routes
CHANGE_PACE = 1.5  # s between changes
READ_PACE = 1.0  # s between reads of the configuration

MANNERS = (
    (Manner.PLAIN, "read", 6),
    (Manner.PLAIN, "book", 3),
    (Manner.BODY, "book", 2),
    (Manner.CHUNKED, "book", 1),
    (Manner.PLAIN, "long", 1),
    (Manner.SLOW, "long", 1),
    (Manner.LEAVES, "book", 1),
    (Manner.LEAVES, "read", 1),
)  # manner, path, weight


class Workload:
    """All that calls the cluster, as tasks."""

    def __init__(self, cluster: SoakCluster, history: Writer, seed: int, coordination: bool = True) -> None:
        self.cluster, self.history, self.coordination = cluster, history, coordination
        self.chance = random.Random(f"workload/{seed}")
        self.operator = Operator(cluster, history, seed)
        self.hosts: list[SoakHost] = []
        self.tasks: set[asyncio.Future[None]] = set()
        self.failures: list[str] = []  # errors of the workload's own
        self.clients: list[Client] = []
        self.leaving: set[asyncio.Task[None]] = set()

    async def start_hosts(self) -> None:
        for service in SERVICES:
            for n in range(HOSTS):
                await self.start_host(service, f"zone-{n % 2}")

    async def start_host(self, service: str, zone: str) -> SoakHost:
        host = SoakHost(self.history, service, self.cluster, zone)
        self.hosts.append(await host.start())
        return host

    def leave(self, host: SoakHost) -> None:
        """A host leaves in order, and another of its service begins."""
        self.hosts.remove(host)
        task = asyncio.create_task(host.leave())
        self.leaving.add(task)
        task.add_done_callback(self.leaving.discard)

    def start(self) -> None:
        count = 2 * len(self.cluster.members())
        pace = max(PACE, count / RATE)
        for number in range(count):
            self._spawn(self._client(number, pace))
        for number in range(PRESSING):
            self._spawn(self._presses(count + number))
        self._spawn(self._probes(count + PRESSING))
        self._spawn(self._repeat(self.operator.change, CHANGE_PACE))
        self._spawn(self._repeat(self.operator.read, READ_PACE))
        self._spawn(sample(self.cluster, self.history))
        self._spawn(watch_own_loop(self.history))
        if self.coordination:
            self._start_callers()

    def _start_callers(self) -> None:
        numbers = Numbers()
        made = [Caller(self.cluster, self.history, numbers, f"app-{n}") for n in range(8)]
        for n, caller in enumerate(made):
            caller.at = n
        for caller in made[:4]:
            self._spawn(caller.hold_locks())
        self._spawn(made[4].draw_numbers())
        self._spawn(made[5].draw_numbers())
        self._spawn(made[6].put_and_get())
        self._spawn(made[7].put_and_get())
        for caller in made[:2]:
            self._spawn(caller.watch())

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Future[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.failures.append(repr(error))

    async def stop(self) -> None:
        """Clients end where they are; what was asked and not answered counts as left."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        for host in self.hosts:
            host.crash()
        for task in list(self.leaving):
            task.cancel()

    async def _client(self, number: int, pace: float) -> None:
        client = Client(self.cluster, self.history, number, heeds_close=number % 3 != 0)
        self.clients.append(client)
        manners = [(manner, path) for manner, path, _ in MANNERS]
        weights = [weight for _, _, weight in MANNERS]
        while True:
            manner, path = self.chance.choices(manners, weights)[0]
            service = self.chance.choice(SERVICES)
            asked = Asked(f"/{service}/{path}/1", path != "book", key_of("station"), "station", manner)
            await client.ask(asked)
            await asyncio.sleep(self.chance.uniform(0.5, 1.5) * pace)

    async def _presses(self, number: int) -> None:
        client = Client(self.cluster, self.history, number)
        self.clients.append(client)
        while True:
            await client.ask(Asked("/archive/read/1", True, key_of("hot"), "hot"))
            await asyncio.sleep(PRESSING_PACE)

    async def _probes(self, number: int) -> None:
        """Asks on the routes of the newest changes, at one gateway after another."""
        client = Client(self.cluster, self.history, number)
        self.clients.append(client)
        while True:
            members = self.cluster.running()
            for path in self.operator.probes()[-2:]:
                if members and await client.connect(self.chance.choice(members)):
                    await client.ask(Asked(f"{path}1", True, key_of("station"), "station", proper=False))
            await asyncio.sleep(PROBE_PACE)

    async def _repeat(self, work: Callable[[], Awaitable[object]], pace: float) -> None:
        while True:
            await work()
            await asyncio.sleep(pace)
