"""Three gateways on loopback switch plans under load; their service is killed, one of them is cut off from it.

Admissions are read from the hosts, and held against the ceilings that the book has at that moment. What the
gateways' ledgers export must be the first tries that the hosts counted.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

from net_helpers import run, until
from plans.plan_world import Line, PlansProcess, plans

from coralvale.standins.billing import Billing
from coralvale.standins.clients import Station, Tallies
from coralvale.standins.clients import load as ask
from coralvale.standins.demo import CLASSES, settings
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import GatewayProcess
from coralvale.standins.hosts import Host

CEILING, BURST = 24.0, 27.0  # of `federal`
FLOOR = (12.0, 15.0)
SLACK = 0.15  # s of the rate: the way from a gateway to a host
LEAD = 2.0
MOVED = Station("moved", 0x101, "team", 90.0)
OTHER = Station("other", 0x202, "federal", 60.0)  # is not in the book: on what its requests name
NAME = f"{MOVED.number:016x}"
BOTH = 0.6  # s around a change in which a first try may be told by either plan


def passed(arrivals: list[float], ceiling: float, burst: float) -> float:
    """The most units by which any window of t seconds held more than burst + ceiling x (t + SLACK)."""
    most = burst + ceiling * SLACK
    level, last, worst = most, 0.0, 0.0
    for at in arrivals:
        level = min(most, level + ceiling * (at - last)) - 1.0
        last, worst = at, max(worst, -level)
    return worst


def test_plans_are_switched_under_load_and_ceilings_and_bills_hold(tmp_path: Path) -> None:
    packages: list[dict[str, Any]] = [
        {"name": "team", "per_second": 5000.0, "most_at_once": 5000.0, "excess_cost": 1.0},
        {"name": "federal", "per_second": 5000.0, "most_at_once": 5000.0, "never_over_rate": CEILING,
         "hard_burst": BURST},
    ]  # fmt: skip
    common = {**settings(), "packages": packages, "n_instances": 3}
    common["classes"] = [{**cls, "aim_s": 0.4, "give_up_s": 1.0} for cls in common["classes"]]
    changes: list[tuple[float, str]] = []

    async def test() -> None:
        hosts = [await Host(f"s-{i}", delay=0.01, slots=64, queue=256).start() for i in range(4)]
        roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
        billing = await Billing(3).start()
        billing.lose, billing.deny = 0.3, 0.2
        terms = f"lead_s = {LEAD}\nfloor_rate = {FLOOR[0]}\nfloor_burst = {FLOOR[1]}\n"
        service = await PlansProcess(tmp_path, terms + 'gateways = ["g0", "g1", "g2"]\n').start()
        line = await Line(service.port).start()
        address = service.address
        for name, ceiling in (("team", ()), ("federal", (str(CEILING), str(BURST)))):
            words = ["--ceiling-rate", ceiling[0], "--ceiling-burst", ceiling[1]] if ceiling else []
            done = await plans(address, "define", name, "--rate", "5000", "--burst", "5000", *words)
            assert done[0] == 0, done

        def operator(n: int) -> str:
            ledger = f'[ledger]\ndirectory = "{tmp_path}/ledger-{n}"\ntarget = "{billing.target}"\n'
            ledger += "period_s = 1.0\ngrace_s = 1.0\npatience_s = 3.0\ngather_s = 0.2\n"
            port = line.port if n == 1 else service.port
            table = (
                f'[plans]\nservice = "127.0.0.1:{port}"\ndirectory = "{tmp_path}/copy-{n}"\nstrict = true\n'
            )
            return ledger + table + f"floor_rate = {FLOOR[0]}\nfloor_burst = {FLOOR[1]}\n"

        gateways = [
            GatewayProcess(
                tmp_path, f"g{n}", {**common, "me": n}, roster.address, "", roster.known(), n, operator(n)
            )
            for n in range(3)
        ]
        await asyncio.gather(*(gateway.start() for gateway in gateways))

        async def move(plan: str, *words: str) -> tuple[int, Any, str]:
            code, told, said = await plans(address, "move", NAME, plan, *words)
            assert told, said
            changes.append((told["at"], plan))
            return code, told, said

        def counted(station: Station, begin: float = 0.0, end: float = 1e12) -> list[float]:
            prefix = f"{station.number:x}-"
            names = [(at, name) for host in hosts for at, name in host.arrivals if name.startswith(prefix)]
            first: dict[str, float] = {}
            for at, name in sorted(names):
                first.setdefault(name, at)
            return [at for at in first.values() if begin <= at < end]

        async def after(at: float, seconds: float) -> None:
            await asyncio.sleep(max(0.0, at + seconds - time.time()))

        ports, tallies = [g.port for g in gateways], Tallies()
        loads = [asyncio.create_task(ask(s, ports, 60.0, tallies, CLASSES, 1)) for s in (MOVED, OTHER)]
        await until(lambda: len(counted(MOVED)) > 100)
        await asyncio.sleep(1.0)
        code, told, said = await move("federal", "--wait")
        assert code == 0 and told["missing"] == [], said  # all gateways knew before it held
        await after(told["at"], 3.0)
        code, told, _ = await move("team", "--wait")
        await after(told["at"], 2.0)
        # The service dies with a command under way; said again under its name it is carried out once.
        await service.end(signal.SIGKILL)
        moving = asyncio.create_task(move("federal", "--command", "match-morning"))
        await asyncio.sleep(0.3)
        await service.start()
        code, told, said = await moving
        assert code == 0, said
        again = await plans(address, "move", NAME, "federal", "--command", "match-morning")
        assert again[0] == 0 and again[1]["serial"] == told["serial"] and again[1]["already"]
        await after(told["at"], 2.0)
        # A gateway dies and comes back, with the copy that it kept.
        await gateways[2].end(signal.SIGKILL)
        await gateways[2].start()
        code, told, _ = await move("team", "--wait")
        await after(told["at"], 1.5)
        # One gateway is cut off, and does not hear of the change: it holds to the floor before that can hold.
        line.cut = True
        code, told, said = await move("federal", "--wait")
        assert code == 1 and "not known in time at g1" in said
        await after(told["at"], 4.0)
        line.cut = False
        code, state, _ = await plans(address, "show")
        assert code == 0 and state["serial"] >= told["serial"]
        await asyncio.sleep(1.5)
        over = time.time()
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)

        # Ceilings, at every moment at which one is in force.
        spans = zip(changes, [*changes[1:], (over, "")], strict=True)
        for (begin, plan), (end, _) in spans:
            there = sorted(counted(MOVED, begin, end))
            if plan == "federal":
                assert passed(there, CEILING, BURST) == 0.0, (begin, passed(there, CEILING, BURST))
                assert len(there) > 0.35 * CEILING * (end - begin)  # and it is served
            else:
                assert len(there) > 1.3 * CEILING * (end - begin)  # nothing holds it on `team`
        assert passed(sorted(counted(OTHER)), CEILING, BURST) == 0.0

        # Bills: what is exported is what hosts counted, each try once, by the plan of its first attempt.
        await asyncio.sleep(1.2)
        ran = sorted({name for host in hosts for _, name in host.arrivals})
        (tmp_path / "ran").write_text("\n".join(ran))
        for n in range(3):
            words = ("resolve", f"{tmp_path}/ledger-{n}", "--ran", str(tmp_path / "ran"), "--rest")
            await asyncio.to_thread(ledger, *words)
        billing.lose = billing.deny = 0.0
        wanted = Counter(f"{int(name.split('-')[0], 16):016x}" for name in ran)
        async with asyncio.timeout(30):
            while tries(billing, "station") != wanted:
                await asyncio.sleep(0.1)
        assert set(billing.created.values()) == {1} and billing.repeated.total() > 0
        by_plan = Counter(
            {plan: n for (station, plan), n in tries(billing, "station", "plan").items() if station == NAME}
        )
        on = [(0.0, "team"), *changes]
        sure, either = Counter[str](), 0
        for at in counted(MOVED):
            near = any(abs(at - moment) < BOTH for moment, _ in changes)
            either += near
            sure[[plan for moment, plan in on if moment <= at][-1]] += not near
        assert set(by_plan) == {"team", "federal"}
        assert all(sure[plan] <= by_plan[plan] <= sure[plan] + either for plan in by_plan), (by_plan, sure)

        said_ = gateways[1].said()
        assert any("out of touch, every station is held to the floor" in text for text in said_)
        for gateway in gateways:
            assert await gateway.end() == 0
            assert not any("Traceback" in text for text in gateway.said())
        assert await service.end() == 0
        assert "Traceback" not in service.log.read_text()
        for one in (*hosts, roster, billing, line):
            one.stop()

    run(test())


def tries(billing: Billing, *keys: str) -> Counter[Any]:
    told = Counter[Any]()
    for row in billing.lines():
        told[row[keys[0]] if len(keys) == 1 else tuple(row[key] for key in keys)] += row["tries"]
    return told


def ledger(*words: str) -> None:
    import subprocess
    import sys

    from plans.plan_world import ROOT

    told = [sys.executable, "-m", "coralvale", "ledger", *words]
    assert subprocess.run(told, cwd=ROOT, capture_output=True, timeout=60, check=False).returncode == 0
