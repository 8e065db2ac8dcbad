"""A control service between stand-ins: hosts, discovery, proxies that carry requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from net_helpers import LIMIT, settings, until

from coralvale.control.service import ControlService
from coralvale.net.config import Config, parse_config
from coralvale.operator import Control
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import free_port
from coralvale.standins.hosts import Host
from coralvale.standins.proxies import Proxy

ROOT = Path(__file__).resolve().parent.parent.parent
SERVICE = "parana-campus"
GRACE = 0.5
RULES = {"stop_sending_within_s": GRACE, "ramp_time_s": 1.0}
FEDERAL = {
    "name": "federal",
    "per_second": 40.0,
    "most_at_once": 80.0,
    "never_over_rate": 50.0,
    "hard_burst": 60.0,
}


def data(discovery: str, **changes: Any) -> dict[str, Any]:
    """The JSON configuration of a control service."""
    changes = {"rules": RULES, "packages": [{**FEDERAL, "name": "team"}, FEDERAL], **changes}
    return {
        "name": "c1",
        "listen": "127.0.0.1:1",
        "discovery": discovery,
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": []},
        "settings": settings(**changes),
    }


def config(discovery: str, **changes: Any) -> Config:
    return parse_config(data(discovery, **changes))


@dataclass
class World:
    hosts: dict[str, Host]
    roster: Roster
    port: int
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)

    @property
    def target(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def proxy(self, name: str, delta: bool, rate: float = 0.0, ready: bool = True) -> Proxy:
        proxy = Proxy(name, self.target, SERVICE, delta)
        self.proxies.append(proxy)
        self.tasks.append(asyncio.ensure_future(proxy.run()))
        if rate:
            self.tasks.append(asyncio.ensure_future(proxy.load(rate)))
        if ready:
            await proxy.has(lambda: bool(proxy.hosts()))
        return proxy

    async def drain(self, name: str) -> float:
        """Tells a drain; returns the moment of the notice."""
        told = time.time()
        self.roster.tell(name, status="leaving")
        return told

    async def late(self, name: str, told: float, seconds: float = 1.0) -> int:
        """Requests that reach a host later than the grace after the notice, within some seconds more."""
        await asyncio.sleep(max(0.0, told + GRACE + seconds - time.time()))
        return self.hosts[name].since(told + GRACE)


@contextlib.asynccontextmanager
async def world(hosts: int = 4) -> AsyncIterator[World]:
    """Hosts and a discovery that lists them; the control service comes from `service` or `process`."""
    made = {f"s-{i}": await Host(f"s-{i}", delay=0.002, slots=64, queue=256).start() for i in range(hosts)}
    zones = ("north", "south")
    roster = await Roster(
        *(entry(n, h.port, zone=zones[i % 2]) for i, (n, h) in enumerate(made.items()))
    ).start()
    result = World(made, roster, free_port())
    try:
        yield result
    finally:
        left = set(result.tasks)
        while left:  # gRPC may take a cancellation that crosses the end of a call for the call's own
            for task in left:
                task.cancel()
            _, left = await asyncio.wait(left, timeout=0.2)
        roster.stop()
        for host in made.values():
            host.stop()


@contextlib.asynccontextmanager
async def service(
    w: World, changes: dict[str, Any] | None = None, **control: Any
) -> AsyncIterator[ControlService]:
    """A control service in this process, on the world's port."""
    made = ControlService(
        config(w.roster.address, **(changes or {})),
        Control(service=SERVICE, listen=w.target, **control),
    )
    await made.start()
    try:
        yield made
    finally:
        await made.close()


class Process:
    """A control service as its own process, to be killed."""

    def __init__(self, w: World, folder: Path, lease: int, state: bool) -> None:
        self.folder = folder
        (folder / "config.json").write_text(json.dumps(data(w.roster.address)))
        lines = [
            "[control]",
            f"service = '{SERVICE}'",
            f"listen = '{w.target}'",
            f"endpoint_lease_ms = {lease}",
        ]
        if state:
            lines.append(f"state_dir = '{folder / 'state'}'")
        (folder / "operator.toml").write_text("\n".join(lines))
        self.log = (folder / "log").open("ab")

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "coralvale",
            "control",
            "--operator",
            str(self.folder / "operator.toml"),
            cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(self.folder / "config.json")},
            stderr=self.log,
        )

    async def end(self, number: int = signal.SIGTERM) -> int:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return await asyncio.wait_for(self.process.wait(), LIMIT)

    def said(self) -> str:
        return (self.folder / "log").read_text()


async def all_have(w: World, *names: str) -> None:
    await until(lambda: all(p.hosts() == set(names) for p in w.proxies))
