"""gRPC's own xDS client against the control service: an independent reading of what is served."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from control.world import GRACE, ROOT, SERVICE, Process, World
from net_helpers import run, soon, until

from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import free_port
from coralvale.standins.grpc_client import bootstrap
from coralvale.standins.grpc_hosts import GrpcHost


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, state: bool, **more: Any
) -> AsyncIterator[tuple[World, list[GrpcHost], Process]]:
    hosts = [await GrpcHost(f"s-{i}").start() for i in range(4)]
    zones = ("north", "south")
    entries = [entry(h.name, h.port, zone=zones[i % 2]) for i, h in enumerate(hosts)]
    entries[0] |= more
    roster = await Roster(*entries).start()
    w = World({}, roster, free_port())
    control = Process(w, folder, 0, state)
    await control.start()
    await listening(w)
    try:
        yield w, hosts, control
    finally:
        await control.end(signal.SIGKILL)
        roster.stop()
        for host in hosts:
            await host.stop()


async def listening(w: World) -> None:
    """Until the service takes connections: a client that finds none fails its first calls, rightly."""
    async with asyncio.timeout(10):
        while True:
            with contextlib.suppress(OSError):
                (await asyncio.open_connection("127.0.0.1", w.port))[1].close()
                return
            await asyncio.sleep(0.02)


async def client(w: World, folder: Path, rate: float) -> asyncio.subprocess.Process:
    """The client, once it has made its first call."""
    (folder / "bootstrap.json").write_text(bootstrap(w.target, "grpc-client"))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "coralvale.standins.grpc_client",
        SERVICE,
        str(rate),
        cwd=ROOT,
        env={**os.environ, "GRPC_XDS_BOOTSTRAP": str(folder / "bootstrap.json")},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    assert process.stdout is not None
    assert (await soon(process.stdout.readline())).strip() == b"ready"
    return process


async def result(process: asyncio.subprocess.Process) -> dict[str, dict[str, int]]:
    out, _ = await soon(process.communicate(b""))
    return dict(json.loads(out))


@pytest.mark.parametrize("state", [True, False])
def test_it_follows_a_drain_and_goes_on_through_a_restart(tmp_path: Path, state: bool) -> None:
    async def test() -> None:
        async with fleet(tmp_path, state) as (w, hosts, control):
            one = await client(w, tmp_path, 200.0)
            await until(lambda: all(len(h.arrivals) > 40 for h in hosts))  # evenly, over both zones
            told = await w.drain("s-0")
            await asyncio.sleep(GRACE + 0.5)
            assert hosts[0].since(told + GRACE) == 0
            await control.end(signal.SIGKILL)
            before = len(hosts[1].arrivals)
            await until(lambda: len(hosts[1].arrivals) > before + 40)  # it goes on with what it has
            await control.start()
            w.roster.tell("s-1", status="leaving")
            second = time.time()
            await until(lambda: len(hosts[2].arrivals) > 100 and not hosts[1].since(time.time() - 0.3))
            assert hosts[0].since(told + GRACE) == 0 and hosts[1].arrivals[-1][0] < second + 10
            got = await result(one)
            assert got["failed"] == {}
            assert set(got["served"]) == {"s-0", "s-1", "s-2", "s-3"}
            assert {cls for _, cls in hosts[2].arrivals} == {"read", "write", "other"}

    run(test())


def test_a_cold_host_gets_its_part_though_this_client_weighs_no_endpoints(tmp_path: Path) -> None:
    """Cold from 0.5: a locality of its own gives it half of an even share at first, and more as it warms."""

    async def test() -> None:
        started = int((time.time() - 0.0) * 1000)
        async with fleet(tmp_path, False, since_ms=started + 60_000) as (w, hosts, _):  # not begun to warm
            one = await client(w, tmp_path, 400.0)
            await until(lambda: sum(len(h.arrivals) for h in hosts) > 1200)
            counts = [len(h.arrivals) for h in hosts]
            share = counts[0] / (sum(counts[1:]) / 3)
            assert 0.35 < share < 0.65, counts
            assert (await result(one))["failed"] == {}

    run(test())
