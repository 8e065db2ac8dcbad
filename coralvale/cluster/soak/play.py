"""One run of the soak: a cluster, its workload, a schedule of faults, an end in order, and the verdict."""

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

START_TIMEOUT_S = 60.0  # s for all gateways to be ready at first
RECOVERY_TIMEOUT_S = 30.0  # s for all to be ready after the last act
CALM_S = 3.5  # s of traffic after that, and until all gateways are in touch
LEAVE_TRAFFIC_S = 5.0  # s of traffic after hosts have said that they leave: past the end of DrainMs
LAST_READ_TIMEOUT_S = 30.0  # s for the last read of the configuration


class SoakError(Exception):
    """The run could not be played: nothing is said of the gateways."""


@frozen
class Outcome:
    """What a run led to."""

    schedule: Schedule
    events: list[Event]
    violations: list[Violation]
    left_out: int  # acts whose turn did not come


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
    """Plays a schedule; `folder` keeps its history and its gateways' logs. Raises SoakError.

    `program`: what Python starts for a gateway; `to_the_end`: with the calm after the last act, and the end in
    order.
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
            raise SoakError("the first configuration was not taken")
        for number in cluster.members():
            await _wait_until_ready(cluster, number, START_TIMEOUT_S)
    except TimeoutError:
        raise SoakError("the gateways did not come up") from None


async def _wait_until_ready(cluster: SoakCluster, number: int, seconds: float) -> None:
    await cluster.until(lambda: cluster.ready(number), seconds)
    cluster.record(number, "ready")


async def _shut_down(cluster: SoakCluster, workload: Workload) -> None:
    """All come back, some calm, hosts that leave in it, a last read, and the end of all under traffic."""
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
