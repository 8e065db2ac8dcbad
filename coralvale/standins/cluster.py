"""A small cluster on loopback: gateways as processes, with stand-in hosts, clients and an operator.

Each gateway has an address of its own in 127.0.0.0/8 and the same ports, as machines of the users have. Used
by the demo and by tests; it imports nothing of the program but starts it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coralvale.standins.wire import Message, answer, read_message

EDGE, READY, CTL, PEERS, METRICS = 8405, 8406, 8407, 7660, 8410
BEAT = 0.5  # s between a host's beats
KEY = "demo-key"
PATIENT = 30.0  # s for which the operator comes again


def settings(
    number: int,
    ips: list[str],
    disks: int,
    folder: Path,
    bootstrap: bool,
    regions: tuple[str, str] = ("home", "home"),
    seeds: list[str] | None = None,
    budget: int = 1,
    memory_mb: int = 300,
    max_descriptors: int = 1000,
) -> str:
    """A gateway's settings file. The first `disks` have a disk. `regions`: of the two zones; `seeds`: IP numbers,
    the first three gateways without it; `budget`: machines with a disk that may be lost at once; `memory_mb`,
    `max_descriptors`: limits of each machine."""
    ip = ips[number]
    holds = number < disks
    disk_mb = 64 if holds else 0
    return f"""Hostname: "gateway-{number}"
Ip: "{ip}"
Az: "zone-{number % 2}"
Region: "{regions[number % 2]}"
Zones: {{zone-0: "{regions[0]}", zone-1: "{regions[1]}"}}
Listen: {{Edge: "{ip}:{EDGE}", Readyz: "{ip}:{READY}", Ctl: "{ip}:{CTL}"}}
PortRange: [{PEERS}, {PEERS + 15}]
Seeds: {json.dumps([f"{i}:{CTL}" for i in seeds or ips[:3]])}
Bootstrap: {str(bootstrap).lower()}
Voting: {str(holds).lower()}
Limits: {{CpuFrac: 0.8, Ncpu: 1, MemMb: {memory_mb}, MaxFds: {max_descriptors}, NicMbps: 1000, DiskMb: {disk_mb}}}
Datadir: "{folder / f"data-{number}" if holds else ""}"
HeartbeatMs: {int(BEAT * 1000)}
FaultBudget: {{Nodes: {budget}, Zones: 0, Regions: 0}}
Bounds: ["GraceS=6", "DrainMs=2500", "RetryRatio=0.2", "RetryWindowS=10", "RetryExtra=64", "QuotaWindowS=5",
  "QuotaExcess=0.1", "QuotaSlack=20", "ContactMs=3000", "ApplyMs=2500"]
"""


def configuration(version: int, services: list[str], rate: float = 60.0) -> dict[str, Any]:
    """One idempotent and one mutating route for each service."""
    routes = {}
    for name in services:
        for kind, path in (("idempotent", "read"), ("mutating", "book")):
            routes[f"{name}-{path}"] = {
                "Vhost": "demo.example",
                "PathPrefix": f"/{name}/{path}/",
                "Kind": kind,
                "TimeoutMs": 2000,
                "TargetMs": 400,
                "Prio": 1,
                "Svc": name,
                "Tries": 2,
                "Public": False,
            }
    return {
        "Ver": version,
        "Routes": routes,
        "Svcs": {
            n: {"HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": False} for n in services
        },
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 1048576, "HdrReadMs": 3000, "IdleMs": 15000},
        "Tenants": {"station": {"ApiKeys": [KEY], "Prio": 1, "RatePerS": rate, "Burst": rate}},
    }


async def call(
    ip: str, port: int, method: str, path: str, body: bytes = b"", patience: float = 3.0, **headers: str
) -> Message | None:
    """One request on a connection of its own; None if nothing whole came."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


@dataclass
class StandIn:
    """One life of a host: answers after its work, and beats."""

    service: str
    ip: str
    ctl: list[str]
    work: float = 0.02  # s
    status: int = 200
    padding: bytes = b""  # behind its id in its answers
    zone: str = "zone-0"
    slots: int = 4
    state: str = "up"
    loses: tuple[str, ...] = ()  # starts of the ids of requests that it runs, and whose answers it loses
    hangs_on: tuple[str, ...] = ()  # starts of the ids that it never runs nor answers, like one that is full
    ran: Counter[str] = field(default_factory=Counter)
    time_left: dict[str, float] = field(default_factory=dict)  # s, as it was handed with the latest try

    async def start(self) -> StandIn:
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.calls = self.running = 0
        self.server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self._beats())
        return self

    async def beat(self) -> bool:
        self.calls += 1
        body = {
            "Svc": self.service,
            "Address": f"{self.ip}:{self.port}",
            "Az": self.zone,
            "Ver": "v1",
            "Capacity": self.slots,
            "State": self.state,
            "WarmupMs": 0,
            "Calls": self.calls,
        }
        for ip in random.sample(self.ctl, len(self.ctl)):
            path = f"/rpc?call=instances.heartbeat&of={self.id}"
            found = await call(ip, CTL, "POST", path, json.dumps(body).encode(), 1.0)
            if found and found.status == 200:
                return True
        return False

    async def _beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                id_ = request.headers.get(b"x-myrtlehatch-request-id", b"").decode()
                if request.headers.get(b"x-myrtlehatch-want-instance", b"").decode() != self.id:
                    writer.write(answer(421, b"", X_Myrtlehatch_Request_Id=id_))
                    continue
                if id_.startswith(self.hangs_on):
                    await reader.read()  # it answers nothing further on this connection
                    break
                self.time_left[id_] = int(request.headers.get(b"x-myrtlehatch-time-left", b"0")) / 1000
                self.ran[id_] += 1
                self.running += 1
                await asyncio.sleep(self.work)
                self.running -= 1
                if id_.startswith(self.loses):
                    await reader.read()
                    break
                named = {
                    "X-Myrtlehatch-Request-Id": id_,
                    "X-Myrtlehatch-Seal": f"seal.{self.id}",
                    "X-Myrtlehatch-Load": f"{self.running},0,{self.slots}",
                }
                writer.write(
                    answer(
                        self.status,
                        self.id.encode() + self.padding,
                        **{n.replace("-", "_"): v for n, v in named.items()},
                    )
                )
        writer.close()

    def stop(self) -> None:
        self.task.cancel()
        self.server.close()


class LocalCluster:
    """Gateways as processes. `start` makes the first start of all of them."""

    def __init__(
        self,
        gateways: int = 5,
        disks: int = 3,
        net: str = "127.77.0",
        level: str = "INFO",
        metrics: bool = False,
        regions: tuple[str, str] = ("home", "home"),
        program: tuple[str, ...] = ("-m", "coralvale.cluster"),
        budget: int = 1,
        memory_mb: int = 300,
        max_descriptors: int = 1000,
    ) -> None:
        """`program`: what Python starts for a gateway; `memory_mb`, `max_descriptors`: limits of each machine."""
        self.level, self.metrics, self.regions = level, metrics, regions
        self.program, self.budget = program, budget
        self.memory_mb, self.max_descriptors = memory_mb, max_descriptors
        self.folder = tempfile.TemporaryDirectory(prefix="cluster-")
        self.path = Path(self.folder.name)
        self.ips = [f"{net}.{n + 1}" for n in range(gateways)]
        self.disks = disks
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.hosts: list[StandIn] = []

    def settings(self, number: int, bootstrap: bool = False) -> str:
        """The text of a gateway's settings file."""
        return settings(
            number,
            self.ips,
            self.disks,
            self.path,
            bootstrap,
            self.regions,
            budget=self.budget,
            memory_mb=self.memory_mb,
            max_descriptors=self.max_descriptors,
        )

    async def begin(self, number: int, bootstrap: bool = False) -> None:
        file = self.path / f"settings-{number}.yaml"
        file.write_text(self.settings(number, bootstrap))
        log = (self.path / f"log-{number}").open("ab")
        self.processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            *(("run", "--metrics", f"{self.ips[number]}:{METRICS}") if self.metrics else ()),
            env={**os.environ, "MYRTLEHATCH_CONFIG": str(file), "MYRTLEHATCH_LOG": self.level},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def start(self) -> LocalCluster:
        for number in range(len(self.ips)):
            await self.begin(number, bootstrap=True)
        return self

    async def host(self, service: str, zone: str = "zone-0") -> StandIn:
        made = await StandIn(service, self.ips[0], self.ips, zone=zone).start()
        self.hosts.append(made)
        return made

    def log(self, number: int) -> str:
        return (self.path / f"log-{number}").read_text()

    async def kill(self, number: int, how: int = signal.SIGKILL) -> int:
        process = self.processes[number]
        process.send_signal(how)
        code = await process.wait()
        self.processes.pop(number, None)
        return code

    async def send(self, call_: str, body: dict[str, Any], base: int) -> Message | None:
        """An operator's change: to any gateway, and to others until one gives a clear answer, for a while."""
        ends = time.monotonic() + PATIENT
        while time.monotonic() < ends:
            ip = random.choice(self.ips)
            headers = {"X_Myrtlehatch_Base_Version": str(base)}
            found = await call(
                ip, CTL, "POST", f"/rpc?call={call_}", json.dumps(body).encode(), 1.5, **headers
            )
            if found and found.status < 500:
                return found
            await asyncio.sleep(0.2)
        return None

    async def read(self) -> dict[str, Any]:
        ends = time.monotonic() + PATIENT
        while time.monotonic() < ends:
            found = await call(random.choice(self.ips), CTL, "POST", "/rpc?call=config.read")
            if found and found.status == 200:
                whole: dict[str, Any] = json.loads(found.body)
                return whole
            await asyncio.sleep(0.2)
        raise TimeoutError("no gateway gives the configuration")

    async def until(self, seen: Callable[[], Any], seconds: float = 20.0) -> None:
        """Waits until `seen()`, which may be awaited, holds. Raises TimeoutError."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            found = seen()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError("did not come to be in time")

    async def ready(self, number: int) -> bool:
        found = await call(self.ips[number], READY, "GET", "/readyz", patience=0.5)
        return found is not None and found.status == 200

    async def request(self, number: int, path: str, method: str = "GET", key: str = KEY) -> Message | None:
        headers = {
            "Host": "demo.example",
            "X_Myrtlehatch_Request_Id": f"{random.getrandbits(64):016x}",
            "X_Myrtlehatch_Time_Left": "1500",
            "Authorization": f"Bearer {key}",
        }
        return await call(self.ips[number], EDGE, method, path, b"", 2.0, **headers)

    async def stop(self) -> None:
        for host in self.hosts:
            host.stop()
        for number in list(self.processes):
            await self.kill(number)
        self.folder.cleanup()


async def demo(seconds: float, tell: Callable[[str], object]) -> dict[str, Any]:
    """Three gateways with disks and two without, traffic, a change taken, a gateway killed. The summary."""
    cluster = await LocalCluster().start()
    answers: Counter[str] = Counter()
    running = True

    async def client(number: int) -> None:
        at = number % len(cluster.ips)
        while running:
            found = await cluster.request(at, "/schedule/read/1" if number % 3 else "/schedule/book/1", "GET")
            answers[str(found.status) if found else "none"] += 1
            if found is None:  # it is gone: the platform would pass this client on to another
                at = (at + 1) % len(cluster.ips)
            await asyncio.sleep(0.1)

    try:
        for _ in range(4):
            await cluster.host("schedule")
        first = await cluster.send("config.replace", configuration(1, ["schedule"], 120.0), 0)
        tell(f"the first configuration is taken: {first.status if first else 'no answer'}")
        for number in range(len(cluster.ips)):
            await cluster.until(lambda number=number: cluster.ready(number))  # type: ignore[misc]
        tell(f"{len(cluster.ips)} gateways are ready, {cluster.disks} of them with disks")
        clients = [asyncio.create_task(client(n)) for n in range(8)]
        await asyncio.sleep(seconds / 3)
        tell(f"answers so far: {dict(answers)}")
        upsert = {"Routes": configuration(2, ["schedule"])["Routes"]}
        upsert["Routes"]["schedule-read"]["TimeoutMs"] = 1200
        changed = await cluster.send("config.update", {"Ver": 2, "Upsert": upsert}, 1)
        tell(f"a change under traffic is taken: {changed.status if changed else 'no answer'}")
        await asyncio.sleep(seconds / 3)
        await cluster.kill(0)
        tell("gateway-0, which founded the core, is killed")
        await asyncio.sleep(seconds / 3)
        third = await cluster.send("config.update", {"Ver": 3, "Upsert": upsert}, 2)
        tell(f"a change without it is taken: {third.status if third else 'no answer'}")
        await cluster.begin(0)
        await cluster.until(lambda: cluster.ready(0))
        tell("gateway-0 is back, and ready")
        running = False
        await asyncio.gather(*clients)
        version = (await cluster.read())["Ver"]
        twice = sum(n > 1 for host in cluster.hosts for n in host.ran.values())
        served = answers["200"] / max(1, sum(answers.values()))
        return {
            "answers": dict(answers),
            "served": round(served, 4),
            "version": version,
            "run_twice": twice,
            "well": version == 3 and served > 0.9 and twice == 0,
        }
    finally:
        running = False
        await cluster.stop()
