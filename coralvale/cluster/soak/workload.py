"""The load of a soak run: clients, hosts, an operator, and callers of coordination."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from coralvale.cluster.soak.callers import Caller, CallNumbers
from coralvale.cluster.soak.clients import PATIENT_LIMIT_S, TIME_LIMIT_S, Client, RequestSpec, RequestStyle
from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import Writer
from coralvale.cluster.soak.hosts import SoakHost
from coralvale.cluster.soak.measure import record_stalls, sample_processes
from coralvale.cluster.soak.operator import SERVICES, Operator, api_key
from coralvale.cluster.soak.pipelining import PipeliningClient

HOSTS_PER_SERVICE = 4
MAX_RATE_PER_S = 120.0  # requests of all clients without a quota
MIN_INTERVAL_S = 0.12  # between a client's requests
HOT_CLIENTS = 4  # clients of the tenant that exceeds its quota
HOT_INTERVAL_S = 0.08  # between the requests of each of them
UPLOAD_CLIENTS = 2
UPLOAD_INTERVAL_S = 0.5  # between the uploads of each of them
PIPELINING_CLIENTS = 4  # clients with several requests in hand
MAX_SERIES = 4  # requests of such a client at once
OVERLAPPING_SHARE = 0.3  # of its series, in which a request is written while an answer is read
SERIES_INTERVAL_S = 0.1  # between its series
PATIENT_CLIENTS = 6  # clients that wait longer than a process has after SIGTERM, beside one for each gateway
PATIENT_PIPELINING_CLIENTS = 2
PATIENT_INTERVAL_S = 0.05  # between a patient client's requests
PROBE_INTERVAL_S = 0.25  # between probes of the newest routes
CHANGE_INTERVAL_S = 1.5  # between configuration changes
READ_INTERVAL_S = 1.0  # between reads of the configuration

REQUEST_MIX = (
    (RequestStyle.PLAIN, "read", 6),
    (RequestStyle.PLAIN, "book", 3),
    (RequestStyle.BODY, "book", 2),
    (RequestStyle.CHUNKED, "book", 1),
    (RequestStyle.PLAIN, "long", 1),
    (RequestStyle.SLOW, "long", 1),
    (RequestStyle.LEAVES, "book", 1),
    (RequestStyle.LEAVES, "read", 1),
)  # style, path, weight


class Workload:
    """Runs all callers of the cluster as tasks. `coordination`: with callers of locks, numbers and keys."""

    def __init__(self, cluster: SoakCluster, history: Writer, seed: int, coordination: bool = True) -> None:
        self.cluster, self.history, self.coordination = cluster, history, coordination
        self.rng = random.Random(f"workload/{seed}")
        self.operator = Operator(cluster, history, seed)
        self.hosts: list[SoakHost] = []
        self.hosts_started = 0
        self.tasks: set[asyncio.Future[None]] = set()
        self.failures: list[str] = []  # exceptions of the workload's own tasks
        self.clients: list[Client] = []
        self.leaving: set[asyncio.Task[None]] = set()

    async def start_hosts(self) -> None:
        """Starts all hosts, in two zones."""
        for service in SERVICES:
            for n in range(HOSTS_PER_SERVICE):
                await self.start_host(service, f"zone-{n % 2}")

    async def start_host(self, service: str, zone: str) -> SoakHost:
        """Starts one host of a service."""
        self.hosts_started += 1
        # Each in both zones; a service's first four hosts have all combinations.
        runs_at_head = self.hosts_started % 4 in (1, 2)
        sends_copies = self.hosts_started % 4 in (0, 1)
        host = SoakHost(self.history, service, self.cluster, zone, runs_at_head, sends_copies)
        self.hosts.append(await host.start())
        return host

    def retire_host(self, host: SoakHost) -> None:
        """Lets a host leave in order, in a task of its own."""
        self.hosts.remove(host)
        task = asyncio.create_task(host.leave())
        self.leaving.add(task)
        task.add_done_callback(self.leaving.discard)

    def start(self) -> None:
        """Starts all clients, the operator, the measurements and the callers."""
        count = 2 * len(self.cluster.members())
        interval = max(MIN_INTERVAL_S, count / MAX_RATE_PER_S)
        for number in range(count):
            self._spawn(self._station_client(number, interval))
        for number in range(HOT_CLIENTS):
            self._spawn(self._hot_client(count + number))
        self._spawn(self._probe_client(count + HOT_CLIENTS))
        for number in range(UPLOAD_CLIENTS):
            self._spawn(self._upload_client(count + HOT_CLIENTS + 1 + number))
        first = count + HOT_CLIENTS + 1 + UPLOAD_CLIENTS
        for number in range(PIPELINING_CLIENTS):
            self._spawn(self._pipelining_client(first + number, TIME_LIMIT_S))
        first += PIPELINING_CLIENTS
        for number in range(PATIENT_PIPELINING_CLIENTS):
            self._spawn(self._pipelining_client(first + number, PATIENT_LIMIT_S))
        first += PATIENT_PIPELINING_CLIENTS
        for number in range(PATIENT_CLIENTS + len(self.cluster.members())):
            self._spawn(self._patient_client(first + number))
        self._spawn(self._repeat(self.operator.change, CHANGE_INTERVAL_S))
        self._spawn(self._repeat(self.operator.read, READ_INTERVAL_S))
        self._spawn(sample_processes(self.cluster, self.history))
        self._spawn(record_stalls(self.history))
        if self.coordination:
            self._start_callers()

    def _start_callers(self) -> None:
        numbers = CallNumbers()
        made = [Caller(self.cluster, self.history, numbers, f"app-{n}") for n in range(8)]
        for n, caller in enumerate(made):
            caller.gateway_index = n
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
        """Cancels all tasks. Requests without an answer are recorded as `Left`."""
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

    async def _station_client(self, number: int, interval: float) -> None:
        client = Client(self.cluster, self.history, number, honours_close=number % 3 != 0)
        self.clients.append(client)
        styles = [(style, path) for style, path, _ in REQUEST_MIX]
        weights = [weight for _, _, weight in REQUEST_MIX]
        while True:
            style, path = self.rng.choices(styles, weights)[0]
            service = self.rng.choice(SERVICES)
            spec = RequestSpec(f"/{service}/{path}/1", path != "book", api_key("station"), "station", style)
            await client.send(spec)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * interval)

    async def _hot_client(self, number: int) -> None:
        client = Client(self.cluster, self.history, number)
        self.clients.append(client)
        while True:
            await client.send(RequestSpec("/archive/read/1", True, api_key("hot"), "hot"))
            await asyncio.sleep(HOT_INTERVAL_S)

    async def _upload_client(self, number: int) -> None:
        client = Client(self.cluster, self.history, number)
        self.clients.append(client)
        while True:
            service = self.rng.choice(SERVICES)
            style = RequestStyle.UPLOAD
            await client.send(RequestSpec(f"/{service}/book/1", False, api_key("station"), "station", style))
            await asyncio.sleep(UPLOAD_INTERVAL_S)

    async def _patient_client(self, number: int) -> None:
        """Sends one request at a time, and uses its connection until the process is gone."""
        client = Client(self.cluster, self.history, number, honours_close=False)
        self.clients.append(client)
        while True:
            service, path = self.rng.choice(SERVICES), self.rng.choice(("read", "read", "book"))
            key = api_key("station")
            spec = RequestSpec(f"/{service}/{path}/1", path != "book", key, "station", limit=PATIENT_LIMIT_S)
            await client.send(spec)
            await asyncio.sleep(PATIENT_INTERVAL_S)

    async def _pipelining_client(self, number: int, limit: float) -> None:
        """Sends series of short requests at once, or of long answers with the next request written meanwhile."""
        client = PipeliningClient(self.cluster, self.history, number)
        self.clients.append(client)
        while True:
            overlapping = self.rng.random() < OVERLAPPING_SHARE
            paths = ["long"] if overlapping else ["read", "book"]
            specs = [
                RequestSpec(
                    f"/{self.rng.choice(SERVICES)}/{path}/1",
                    path != "book",
                    api_key("station"),
                    "station",
                    limit=limit,
                )
                for path in self.rng.choices(paths, k=self.rng.randint(2, MAX_SERIES))
            ]
            await client.send_series(specs, overlapping)
            await asyncio.sleep(SERIES_INTERVAL_S)

    async def _probe_client(self, number: int) -> None:
        """Sends requests on the routes of the newest changes, to a randomly chosen gateway each."""
        client = Client(self.cluster, self.history, number)
        self.clients.append(client)
        while True:
            members = self.cluster.running()
            for path in self.operator.probe_paths()[-2:]:
                if members and await client.connect(self.rng.choice(members)):
                    await client.send(
                        RequestSpec(f"{path}1", True, api_key("station"), "station", proper=False)
                    )
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _repeat(self, work: Callable[[], Awaitable[object]], interval: float) -> None:
        while True:
            await work()
            await asyncio.sleep(interval)
