"""Three gateway processes and a counter with faults, while stations exceed their quotas.

Admitted requests are counted at the hosts, not by the gateways: every attempt that arrives whole at a host
counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from net_helpers import run, until

from coralvale.standins.clients import Station, Tallies, load
from coralvale.standins.counter import Tally
from coralvale.standins.demo import CLASSES, settings
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import GatewayProcess
from coralvale.standins.hosts import Host

RATE, BURST = 24.0, 27.0  # of the quota of one station and the ceiling of the other
SLACK = 0.15  # s of the rate: the delay from a gateway to a host
STATIONS = (
    Station("federal", 0x304, "federal", 4 * RATE),  # limited only by its ceiling
    Station("team", 0x101, "team", 7 * RATE),  # load of seven times its quota
)
UNEVEN = {"federal": (0.9, 0.05, 0.05), "team": (0.96, 0.02, 0.02)}
WINDOW = 1  # s: short windows for a short test; the proof does not depend on the length


@dataclass
class World:
    hosts: list[Host]
    counter: Tally
    gateways: list[GatewayProcess]
    doors: list[int]
    tallies: Tallies

    def arrivals(self, station: Station) -> list[float]:
        prefix = f"{station.number:x}-"
        return sorted(at for host in self.hosts for at, name in host.arrivals if name.startswith(prefix))

    def used(self, station: Station, begin: float, end: float) -> float:
        """Returns the share of the rate that was admitted between two Unix times."""
        return sum(begin <= at < end for at in self.arrivals(station)) / (end - begin) / RATE

    def evenly_split(self, station: Station, begin: float, end: float) -> float:
        """Returns the share of the rate that evenly split parts would admit between two Unix times."""
        asked = Counter(port for at, port in self.tallies.asked[station.name] if begin <= at < end)
        rates = [count / (end - begin) / RATE for count in asked.values()]
        return sum(min(1 / 3, rate) for rate in rates)


def worst_excess(arrivals: list[float]) -> float:
    """Returns the most units above BURST + RATE * (t + SLACK) in any t seconds."""
    most = BURST + RATE * SLACK
    level, last, worst = most, 0.0, 0.0
    for at in arrivals:
        level = min(most, level + RATE * (at - last)) - 1.0
        last, worst = at, max(worst, -level)
    return worst


@contextlib.asynccontextmanager
async def world(folder: Path) -> AsyncIterator[World]:
    hosts = [await Host(f"s-{i}", delay=0.002, slots=64, queue=256).start() for i in range(2)]
    roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
    counter = await Tally().start()
    doors = [await counter.door() for _ in range(3)]
    packages = [
        {
            "name": "federal",
            "per_second": 1000.0,
            "most_at_once": 1000.0,
            "never_over_rate": RATE,
            "hard_burst": BURST,
        },
        {"name": "team", "per_second": RATE, "most_at_once": BURST, "excess_cost": 1.0},
    ]
    common = {**settings(), "n_instances": 3, "packages": packages}
    operator = f"[allowance]\nquotas = true\nwindow_s = {WINDOW}\n"
    gateways = [
        GatewayProcess(
            folder, f"g-{me}", {**common, "me": me}, roster.address, f"127.0.0.1:{doors[me]}", roster.known(), me,
            operator,
        )
        for me in range(3)
    ]  # fmt: skip
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        yield World(hosts, counter, gateways, doors, Tallies())
    finally:
        for gateway in gateways:
            if gateway.process and gateway.process.returncode is None:
                await gateway.end(signal.SIGKILL)
        counter.stop()
        roster.stop()
        for host in hosts:
            host.stop()


def test_no_limit_is_exceeded_while_the_counter_is_killed_split_swapped_and_late(tmp_path: Path) -> None:
    phases: dict[str, tuple[float, float]] = {}

    async def phase(name: str, seconds: float) -> None:
        begin = time.time()
        await asyncio.sleep(seconds)
        phases[name] = begin, time.time()

    async def test() -> None:
        async with world(tmp_path) as w:
            ports = [gateway.port for gateway in w.gateways]
            loads = [
                asyncio.create_task(load(s, ports, 60.0, w.tallies, CLASSES, 1, UNEVEN[s.name]))
                for s in STATIONS
            ]
            await until(lambda: all(len(w.arrivals(s)) > BURST for s in STATIONS))
            await asyncio.sleep(4 * WINDOW)  # grants have followed the demand
            await phase("whole", 4.0)
            doors = await w.counter.kill()
            await asyncio.sleep(2 * WINDOW)  # grants for this window and the next are lost
            await phase("killed", 4.0)
            await w.counter.revive(doors)
            await asyncio.sleep(2 * WINDOW)
            await phase("back", 3.0)
            w.counter.split({w.doors[0]}, copied=True)
            await phase("split", 3.0)
            w.counter.heal(keep_second=True)
            for _ in range(4):  # replaced by an empty counter several times in a row
                w.counter.lose()
                await asyncio.sleep(0.4)
            w.counter.delay = 0.5
            await phase("late", 2.0)
            w.counter.delay = 0.0
            await w.gateways[1].end(signal.SIGKILL)  # with a grant in effect
            w.counter.lose_share(0.9, seed=1)
            await w.gateways[1].start()
            await phase("restarted", 3.0)
            for task in loads:
                task.cancel()
            await asyncio.gather(*loads, return_exceptions=True)
            for station in STATIONS:
                arrivals = w.arrivals(station)
                assert worst_excess(arrivals) == 0.0, (station.name, worst_excess(arrivals))
                shares = {name: w.used(station, *times) for name, times in phases.items()}
                even = {name: w.evenly_split(station, *times) for name, times in phases.items()}
                evenly = (even["whole"] + even["back"]) / 2
                assert (shares["whole"] + shares["back"]) / 2 > evenly + 0.05, (station.name, even, shares)
                assert shares["killed"] > even["killed"] - 0.15, (station.name, even, shares)
                assert all(shares[name] > even[name] / 2 for name in phases), (station.name, even, shares)
            lost = sum(counts["lost"] for counts in w.tallies.answers.values())
            answered = sum(sum(counts.values()) for counts in w.tallies.answers.values())
            assert lost <= answered / 50  # requests at the killed gateway, or to its closed port
            assert all(max(host.ran.values()) == 1 for host in w.hosts)
            said = w.gateways[0].said()
            assert any("counter silent: " in line for line in said)
            assert any("counter no longer silent: " in line for line in said)
            assert sum("counter silent" in line for line in said) < 20

    run(test())
