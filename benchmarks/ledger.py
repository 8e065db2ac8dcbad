"""What the ledger costs, beside SQLite and beside none.

    python benchmarks/ledger.py [--quick]

  record    an open and a close a try: through the ledger's log, and through SQLite (WAL, synchronous NORMAL, a
            transaction each, as safe from a kill), in turns: microseconds a try, p50 and p99 of one record
  gateway   two gateways in the same run, with a ledger and without, in turns: CPU a request, p50 and p99
  start     a ledger of many tries in open periods: seconds until it can be written to
  seal      a period of many accounts: seconds of the one call that seals it

The last line is one JSON object. Aims: 20 us a try; no p99 that can be told from that without one; a start
within 1 s.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sqlite3
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from coralvale.ledger.book import Terms  # noqa: E402
from coralvale.ledger.log import Folder, Log  # noqa: E402
from coralvale.ledger.model import Account  # noqa: E402
from coralvale.standins.clients import Client, request  # noqa: E402
from coralvale.standins.demo import CLASSES, settings  # noqa: E402
from coralvale.standins.discovery import Roster, entry  # noqa: E402
from coralvale.standins.gateways import GatewayProcess  # noqa: E402
from coralvale.standins.hosts import Host  # noqa: E402

PLANS = [{"name": "team", "per_second": 1e6, "most_at_once": 1e6, "excess_cost": 1.0}]
TICK = os.sysconf("SC_CLK_TCK")
ACCOUNTS = [Account(f"{n:016x}", "team", CLASSES[n % 2]) for n in range(500)]


def at(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def records(count: int, folder: Path) -> dict[str, Any]:
    lent = Folder(str(folder / "ledger"))
    log = Log(lent, Terms(period=1e6, grace=10.0, patience=60.0), lambda: "bench")
    db = sqlite3.connect(folder / "ledger.db", isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    db.execute("PRAGMA synchronous=NORMAL")
    db.execute("CREATE TABLE tries (request TEXT PRIMARY KEY, at REAL, account INT, units INT, arrived INT)")
    times: dict[str, list[float]] = {"log": [], "sqlite": []}
    for n in range(count):
        name, account = f"{n:016x}", ACCOUNTS[n % 500]
        begun = time.perf_counter()
        log.write(log.book.open(1.0, name, account, 1_000_000))
        middle = time.perf_counter()
        log.write(log.book.close(name, True))
        times["log"] += [middle - begun, time.perf_counter() - middle]
        begun = time.perf_counter()
        db.execute("INSERT INTO tries VALUES (?, 1.0, ?, 1000000, NULL)", (name, n % 500))
        middle = time.perf_counter()
        db.execute("UPDATE tries SET arrived = 1 WHERE request = ?", (name,))
        times["sqlite"] += [middle - begun, time.perf_counter() - middle]
    result: dict[str, Any] = {}
    for way, took in times.items():
        result[f"{way}_try_us"] = round(1e6 * sum(took) / count, 1)
        result[f"{way}_record_p50_us"] = round(1e6 * at(took, 0.5), 1)
        result[f"{way}_record_p99_us"] = round(1e6 * at(took, 0.99), 1)
    log.close()
    begun = time.perf_counter()
    again = Log(lent, Terms(period=1e6, grace=10.0, patience=60.0), lambda: "bench")
    result["start_s"] = round(time.perf_counter() - begun, 4)
    for n in range(20_000):
        again.write(again.book.open(1.0, f"s{n}", Account(f"{n:016x}", "team", CLASSES[0]), 1))
        again.write(again.book.close(f"s{n}", True))
    begun = time.perf_counter()
    again.write(again.book.tick(3e6))
    result["seal_20000_accounts_s"] = round(time.perf_counter() - begun, 4)
    assert len(again.book.batches) == 1 and again.book.totals().tries == count + 20_000
    again.close()
    lent.close()
    db.close()
    return result


def cpu(process: asyncio.subprocess.Process | None) -> float:
    assert process
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def gateways(rounds: int, folder: Path) -> dict[str, Any]:
    hosts = [await Host(f"s-{i}", delay=0.002, slots=256, queue=4096).start() for i in range(3)]
    roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
    shared, operator = {**settings(), "packages": PLANS}, f'[ledger]\ndirectory = "{folder / "own"}"\n'
    pair = [
        await GatewayProcess(folder, name, shared, roster.address, "", roster.known(), 1, text).start()
        for name, text in (("with", operator), ("without", ""))
    ]
    used, delays, serial = [0.0, 0.0], [list[float](), list[float]()], 0

    async def one(n: int, end: float) -> None:
        nonlocal serial
        client = Client(*await asyncio.open_connection("127.0.0.1", pair[n].port))
        while time.perf_counter() < end:
            serial += 1
            fields = {"Plan": "team", "Cookie": f"client={serial % 100:016x}", "X_Timeout": "3.000"}
            name = f"q{serial}"
            asked = request(name, CLASSES[0], Quota_Info="units=1,spread=1,first=0", method="GET", **fields)
            begun = time.perf_counter()
            await client.ask(asked)
            delays[n].append(time.perf_counter() - begun)
        client.close()

    for turn in range(rounds):
        for n in (0, 1) if turn % 2 else (1, 0):
            before, end = cpu(pair[n].process), time.perf_counter() + 1.0
            await asyncio.gather(*(one(n, end) for _ in range(8)))
            used[n] += cpu(pair[n].process) - before
    for gateway in pair:
        await gateway.end()
    roster.stop()
    for host in hosts:
        host.stop()
    each = [u / len(d) for u, d in zip(used, delays, strict=True)]
    return {
        "added_us": round(1e6 * (each[0] - each[1]), 1),
        "requests_a_core": round(each[1] / each[0], 4),
        "p50_ms": [round(1e3 * at(d, 0.5), 2) for d in delays],
        "p99_ms": [round(1e3 * at(d, 0.99), 2) for d in delays],
    }


def main() -> int:
    told = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    told.add_argument("--quick", action="store_true", help="a fifth of all")
    options = told.parse_args()
    part = 5 if options.quick else 1
    with tempfile.TemporaryDirectory() as name:
        result = records(50_000 // part, Path(name))
        print(json.dumps(result), flush=True)
        result["gateway"] = uvloop.run(gateways(20 // part, Path(name)))
    result["aim_try_met"] = result["log_try_us"] <= 20.0
    result["aim_start_met"] = result["start_s"] <= 1.0
    print(json.dumps({"benchmark": "ledger", **result}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
