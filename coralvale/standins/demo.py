"""The demo: a real gateway as a process of its own between stand-ins, some stations over quota, one drain."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from coralvale.standins.clients import Station, Tallies, load
from coralvale.standins.counter import Tally
from coralvale.standins.discovery import Roster, entry
from coralvale.standins.gateways import GatewayProcess
from coralvale.standins.hosts import Host

CLASSES = ("episode-fetch", "bookmark-add")
PLANS = {"basico": (4.0, 12.0), "provincial": (20.0, 40.0), "federal": (40.0, 80.0)}
STATIONS = (
    Station("Radio Ceibo", 0x101, "basico", 3.0),
    Station("FM Isla Verde", 0x102, "basico", 12.0),  # three times its quota
    Station("LT9 Litoral", 0x203, "provincial", 15.0),
    Station("Radio Federal", 0x304, "federal", 70.0),  # over its quota, and held by a ceiling
)


def settings() -> dict[str, Any]:
    """The object `settings` of a gateway's configuration, with the demo's classes and plans."""
    return {
        "n_instances": 1,
        "me": 0,
        "locality": 0,
        "zones": ["north", "south"],
        "skus": ["large"],
        "classes": [
            {"name": CLASSES[0], "aim_s": 1.0, "give_up_s": 4.0, "worth": 3.0, "repeat": "free"},
            {"name": CLASSES[1], "aim_s": 1.0, "give_up_s": 4.0, "worth": 2.0, "repeat": "single_shot"},
        ],
        "packages": [
            {
                "name": name,
                "per_second": rate,
                "most_at_once": burst,
                "excess_cost": 1.0,
                **({"never_over_rate": 50.0, "hard_burst": 100.0} if name == "federal" else {}),
            }
            for name, (rate, burst) in PLANS.items()
        ],
        "ceilings": {
            "send_cap": 4,
            "connect_timeout_s": 0.25,
            "conn_idle_s": 15.0,
            "retry_after": True,
            "max_retry_after_s": 0.5,
            "may_cancel": True,
        },
        "family_info": {"may_count": True, "count_wait_s": 0.03, "use_period_s": 0.5, "most_units": 1},
        "rules": {
            "stop_sending_within_s": 0.5,
            "cold_from": 0.3,
            "ramp_time_s": 8.0,
            "fall_multiple": 2.0,
            "overload_for_s": 3.0,
        },
    }


async def demo(
    seconds: float, seed: int, tell: Callable[[str], object], http2: bool = False
) -> dict[str, Any]:
    """Runs it; `tell(line)` shows what happens. Returns the summary. With `http2` the hosts speak that."""
    hosts: list[Any]
    if http2:
        from coralvale.standins.http2 import Http2Host

        hosts = [await Http2Host(f"s-{i}", delay=0.02, seed=seed).start() for i in range(4)]
    else:
        hosts = [await Host(f"s-{i}", seed=seed).start() for i in range(4)]
    roster = await Roster(
        *(entry(h.name, h.port, zone=("north", "south")[i % 2]) for i, h in enumerate(hosts))
    ).start()
    counter = await Tally().start()
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(
            Path(folder),
            "demo",
            settings(),
            roster.address,
            f"127.0.0.1:{counter.port}",
            roster.known(),
            seed,
            operator="[http2]\n" if http2 else "",
        )
        try:
            await gateway.start()
            tell(f"gateway on 127.0.0.1:{gateway.port}, {len(hosts)} hosts, {len(STATIONS)} stations")
            result = await _play(seconds, seed, tell, gateway.port, hosts, roster)
        finally:
            result_code = await gateway.end()
        result["refusals"] = [
            line.partition("refused in ")[2] for line in gateway.said() if "refused in " in line
        ]
        result["gateway_exit"] = result_code
        if http2:
            result["connections"] = sum(host.opened for host in hosts)
    for host in hosts:
        host.stop()
    roster.stop()
    counter.stop()
    return result


async def _play(
    seconds: float,
    seed: int,
    tell: Callable[[str], object],
    port: int,
    hosts: list[Any],
    roster: Roster,
) -> dict[str, Any]:
    tallies = Tallies()
    loads = [asyncio.create_task(load(s, [port], seconds, tallies, CLASSES, seed)) for s in STATIONS]
    told = 0.0
    for second in range(1, int(seconds) + 1):
        await asyncio.sleep(1.0)
        if not told and second >= seconds / 2:
            told = time.time()
            roster.tell("s-0", status="leaving")
            tell("-- s-0 is told as leaving: nothing new may reach it 0.5 s from now")
        parts = [f"{s.name}: {_line(tallies, s.name)}" for s in STATIONS]
        tell(f"{second:3d} s  " + " | ".join(parts))
    await asyncio.gather(*loads)
    late = hosts[0].since(told + 0.5) if told else 0
    twice = sum(1 for host in hosts for count in host.ran.values() if count > 1)
    delays = sorted(tallies.delays) or [0.0]
    return {
        "seconds": seconds,
        "stations": {s.name: dict(sorted(tallies.answers.get(s.name, {}).items())) for s in STATIONS},
        "served": tallies.total("served"),
        "refused": tallies.total("refused"),
        "failed": tallies.total("failed"),
        "lost": tallies.total("lost"),
        "late_after_drain": late,
        "ran_twice_on_a_host": twice,
        "p50_ms": round(1000 * delays[len(delays) // 2], 1),
        "p99_ms": round(1000 * delays[int(len(delays) * 0.99)], 1),
    }


def _line(tallies: Tallies, name: str) -> str:
    counts = tallies.answers.get(name, Counter[str]())
    return ", ".join(f"{count} {what}" for what, count in sorted(counts.items(), reverse=True)) or "-"


def run(seconds: float, as_json: bool, seed: int, http2: bool = False) -> int:
    """The command: 0 if requests were served, none was lost and the drain was kept; else 1."""
    result = asyncio.run(demo(seconds, seed, (lambda line: None) if as_json else print, http2))
    if as_json:
        print(json.dumps(result))
    else:
        _show(result)
    return 0 if result["served"] and not result["lost"] and not result["late_after_drain"] else 1


def _show(result: dict[str, Any]) -> None:
    print(f"\n{'station':16s} {'served':>8s} {'refused':>8s} {'failed':>8s} {'lost':>6s}")
    for name, counts in result["stations"].items():
        cells = [counts.get(what, 0) for what in ("served", "refused", "failed", "lost")]
        print(f"{name:16s} {cells[0]:8d} {cells[1]:8d} {cells[2]:8d} {cells[3]:6d}")
    for line in result["refusals"]:
        print(f"refused in {line}")
    print(
        f"answers: p50 {result['p50_ms']} ms, p99 {result['p99_ms']} ms; "
        f"reached the drained host after 0.5 s: {result['late_after_drain']}"
    )
    if "connections" in result:
        print(f"connections to hosts over HTTP/2: {result['connections']}")
