"""Samples a soak's processes (descriptors, memory, waits for a CPU) and records stalls of its event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os

from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import Sample, Stall, Writer, now
from coralvale.standins.cluster import CTL, call

SAMPLE_INTERVAL_S = 0.5  # between samples of a process
STALL_CHECK_INTERVAL_S = 0.05  # between checks of the soak's own event loop
MIN_STALL_S = 0.05  # shorter delays are not recorded
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024


async def sample_processes(cluster: SoakCluster, history: Writer) -> None:
    """Samples all processes that are not frozen, until it is cancelled."""
    while True:
        for number, process in list(cluster.processes.items()):
            if number not in cluster.frozen:
                await _sample_process(cluster, history, number, process.pid)
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _sample_process(cluster: SoakCluster, history: Writer, number: int, pid: int) -> None:
    life = cluster.lives[number]
    tasks = await _tasks(cluster, number)
    with contextlib.suppress(OSError, ValueError, IndexError):
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        memory = int(_read(f"/proc/{pid}/statm").split()[1]) * PAGE_KIB
        waited = int(_read(f"/proc/{pid}/schedstat").split()[1]) / 1e9
        if cluster.lives[number] == life:
            history.write(Sample(now(), number, life, descriptors, memory, waited, tasks))


def _read(path: str) -> str:
    with open(path) as file:
        return file.read()


async def _tasks(cluster: SoakCluster, number: int) -> int:
    found = await call(cluster.ips[number], CTL, "POST", "/rpc?call=gateway.status", patience=0.5)
    if found is None or found.status != 200:
        return 0
    return int(json.loads(found.body).get("tasks", 0))


async def record_stalls(history: Writer) -> None:
    """Records delays of this process's event loop: its clients' times are late by as much."""
    while True:
        begun = now()
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        late = now() - begun - STALL_CHECK_INTERVAL_S
        if late > MIN_STALL_S:
            history.write(Stall(now(), late))
