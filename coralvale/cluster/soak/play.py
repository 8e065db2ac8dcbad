"""One run of the soak: starts a cluster and its load, injects faults, shuts down, and checks the rules."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from attrs import frozen

from coralvale.cluster.soak import checker
from coralvale.cluster.soak.checker import Violation
from coralvale.cluster.soak.cluster import SoakCluster
from coralvale.cluster.soak.history import Act, Event, Writer, now, read
from coralvale.cluster.soak.nemesis import Nemesis
from coralvale.cluster.soak.operator import QUOTAS
from coralvale.cluster.soak.schedule import Schedule, dump
from coralvale.cluster.soak.terms import Terms
from coralvale.cluster.soak.workload import Workload

START_TIMEOUT_S = 60.0  # for each gateway to be ready after the first start
RECOVERY_TIMEOUT_S = 30.0  # for each to be ready after the last act
CALM_S = 3.5  # of traffic after that, enough for all gateways to be in contact
LEAVE_TRAFFIC_S = 5.0  # of traffic after hosts began to leave, longer than DrainMs
LAST_READ_TIMEOUT_S = 30.0  # for the last read of the configuration


class SoakError(Exception):
    """The run could not be carried out. It says nothing about the gateways."""


@frozen
class Outcome:
    """The result of a run."""

    schedule: Schedule
    events: list[Event]
    violations: list[Violation]
    left_out: int  # acts that the fault budget did not allow in time


async def play(
    schedule: Schedule,
    folder: Path,
    net: str,
    *,
    level: str = "INFO",
    program: tuple[str, ...] = ("-m", "coralvale.cluster"),
    coordination: bool = True,
    terms: Terms | None = None,
    orderly_shutdown: bool = True,
) -> Outcome:
    """Runs a schedule. Raises SoakError.

    `folder`: where its history and its gateways' logs are written; `net`: the first three bytes of its
    loopback addresses; `program`: the arguments with which Python starts a gateway; `orderly_shutdown`: after
    the last act wait for calm, let hosts leave and end the gateways by SIGTERM, instead of killing them at
    once.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with contextlib.suppress(ImportError):
        dump(schedule, folder / "schedule.toml")
    path = folder / "history.jsonl"
    path.unlink(missing_ok=True)
    history, terms = Writer(path), terms or Terms()
    cluster = SoakCluster(
        history, schedule.gateways, schedule.disks, net, schedule.budget, level, program, terms
    )
    workload = Workload(cluster, history, schedule.seed, coordination)
    nemesis = Nemesis(cluster, workload, history, schedule)
    try:
        history.write(terms.began_event(now(), schedule.seed, schedule.gateways, QUOTAS))
        await _start(cluster, workload)
        workload.start()
        await nemesis.play()
        if orderly_shutdown:
            await _shut_down(cluster, workload)
    finally:
        await workload.stop()
        await cluster.stop_with_logs(folder)
        history.close()
    if workload.failures:
        raise SoakError("; ".join(workload.failures))
    events = read(path)
    return Outcome(schedule, events, checker.check(events), nemesis.left_out)


async def _start(cluster: SoakCluster, workload: Workload) -> None:
    try:
        await cluster.start()
        await workload.start_hosts()
        if not await workload.operator.install_first():
            raise SoakError("the first configuration was not accepted")
        for number in cluster.members():
            await _wait_until_ready(cluster, number, START_TIMEOUT_S)
    except TimeoutError:
        raise SoakError("the gateways did not become ready") from None


async def _wait_until_ready(cluster: SoakCluster, number: int, seconds: float) -> None:
    await cluster.until(lambda: cluster.ready(number), seconds)
    cluster.record(number, "ready")


async def _shut_down(cluster: SoakCluster, workload: Workload) -> None:
    """Waits until all gateways are back, lets hosts leave, reads the configuration a last time, and ends all
    gateways under traffic."""
    for number in cluster.members():
        with contextlib.suppress(TimeoutError):
            await _wait_until_ready(cluster, number, RECOVERY_TIMEOUT_S)
    await asyncio.sleep(CALM_S)
    for host in workload.hosts[:: len(workload.hosts) // 3]:
        workload.retire_host(host)
    await asyncio.sleep(LEAVE_TRAFFIC_S)
    workload.history.write(Act(now(), "last-read", ""))
    deadline = now() + LAST_READ_TIMEOUT_S
    while now() < deadline and not await workload.operator.read():
        await asyncio.sleep(0.2)
    await asyncio.gather(*(cluster.terminate(number) for number in cluster.running()))
