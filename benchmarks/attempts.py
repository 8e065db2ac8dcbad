"""What the journal of attempts costs, beside none and beside SQLite.

    python benchmarks/attempts.py [--quick] [--kills N]

  gateway   two gateways in the same run, with the journal and without, asked in turn: latency of `bookmark-add`
            and of `episode-fetch`, p50 and p99
  storage   the same records in batches through the journal's log and through SQLite (WAL, synchronous FULL), in
            turn: attempts a second (an intent and an end each), time of a batch, bytes an attempt
  recovery  a journal of many records: the start of a gateway after it
  --kills   in place of these: so many SIGKILLs under load, and what the hosts and the journal say

The last line is one JSON object. Aims: nothing added to `episode-fetch`; recovery within 2 s.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sqlite3
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from coralvale.attempts.journal import Journal  # noqa: E402
from coralvale.attempts.main import read_records  # noqa: E402
from coralvale.attempts.model import End, Ended, Intent, Verdict  # noqa: E402
from coralvale.attempts.query import request_histories  # noqa: E402
from coralvale.attempts.store import Folder  # noqa: E402
from coralvale.standins.clients import Client, request  # noqa: E402
from coralvale.standins.demo import CLASSES, settings  # noqa: E402
from coralvale.standins.discovery import Roster, entry  # noqa: E402
from coralvale.standins.gateways import GatewayProcess  # noqa: E402
from coralvale.standins.hosts import Host  # noqa: E402

READ, WRITE = CLASSES
PLANS = [{"name": "team", "per_second": 1e6, "most_at_once": 1e6, "excess_cost": 1.0}]
BATCH = 20  # records made durable together


def at(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def asked(name: str, cls: str) -> bytes:
    body = b"a bookmark" if cls == WRITE else b""
    fields = {"Plan": "team", "Cookie": "client=0000000000000101", "Quota_Info": "units=1,spread=1,first=0"}
    return request(name, cls, body=body, method="POST" if body else "GET", X_Timeout="3.000", **fields)


async def gateways(count: int, folder: Path) -> dict[str, Any]:
    hosts = [await Host(f"s-{i}", delay=0.004, slots=64, queue=256).start() for i in range(2)]
    roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
    shared, operator = {**settings(), "packages": PLANS}, f'[attempts]\ndirectory = "{folder / "journal"}"\n'
    pair = [
        await GatewayProcess(folder, name, shared, roster.address, "", roster.known(), 1, text).start()
        for name, text in (("with", operator), ("without", ""))
    ]
    clients = [Client(*await asyncio.open_connection("127.0.0.1", g.port)) for g in pair]
    delays: dict[tuple[str, str], list[float]] = {(g.name, c): [] for g in pair for c in CLASSES}
    for n in range(count):
        for cls in CLASSES:
            for gateway, client in zip(pair, clients, strict=True):
                begun = time.perf_counter()
                said = await client.ask(asked(f"{gateway.name}-{cls}-{n}", cls))
                if said.status == 200 and n >= 20:
                    delays[gateway.name, cls].append(time.perf_counter() - begun)
    for gateway in pair:
        await gateway.end()
    roster.stop()
    for host in hosts:
        host.stop()
    figures = {}
    for cls, name in ((WRITE, "bookmark_add"), (READ, "episode_fetch")):
        for share in (0.5, 0.99):
            added = at(delays["with", cls], share) - at(delays["without", cls], share)
            figures[f"{name}_added_p{round(share * 100)}_ms"] = round(1000 * added, 3)
    return figures


def pairs(first: int, count: int) -> list[tuple[Intent, Ended]]:
    now = time.time()
    return [
        (
            Intent(f"{n:016x}", 0, now, "0000000000000101", WRITE, "s-5be2a07c", "POST", "/api", "0" * 32),
            Ended(f"{n:016x}", 0, now, End.OK),
        )
        for n in range(first, first + count)
    ]


class Sqlite:
    """The other way: a row for an intent, filled in at its end."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.db = sqlite3.connect(path, isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=FULL")
        self.db.execute(
            "CREATE TABLE attempts (request TEXT, attempt INT, at REAL, station TEXT, cls TEXT, node TEXT,"
            " method TEXT, target TEXT, digest TEXT, ended REAL, end TEXT, PRIMARY KEY (request, attempt))"
        )

    def batch(self, rows: list[Intent | Ended]) -> None:
        self.db.execute("BEGIN")
        for r in rows:
            if isinstance(r, Intent):
                values = (r.request, r.attempt, r.at, r.station, r.cls, r.node, r.method, r.target, r.digest)
                self.db.execute("INSERT INTO attempts VALUES (?,?,?,?,?,?,?,?,?,NULL,NULL)", values)
            else:
                told = (r.at, r.end.value, r.request, r.attempt)
                self.db.execute("UPDATE attempts SET ended=?, end=? WHERE request=? AND attempt=?", told)
        self.db.execute("COMMIT")


def storage(count: int, folder: Path) -> dict[str, Any]:
    lent = Folder(str(folder / "log"))
    journal, other = Journal(lent, time.time(), segment_bytes=1 << 40), Sqlite(folder / "attempts.db")
    times: dict[str, list[float]] = {"log": [], "sqlite": []}
    for first in range(0, count, BATCH):
        both = pairs(first, BATCH)
        for rows in ([intent for intent, _ in both], [end for _, end in both]):
            begun = time.perf_counter()
            for row in rows:
                journal.enqueue(row)
            assert journal.flush(time.time())
            times["log"].append(time.perf_counter() - begun)
            begun = time.perf_counter()
            other.batch(list(rows))
            times["sqlite"].append(time.perf_counter() - begun)
    size = sum(lent.size(name) for name in lent.names() if name != "lock")
    rows = sum((folder / name).stat().st_size for name in ("attempts.db",))
    lent.close()
    other.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    rows = (folder / "attempts.db").stat().st_size
    return {
        "log_attempts_a_second": round(count / sum(times["log"])),
        "sqlite_attempts_a_second": round(count / sum(times["sqlite"])),
        "log_batch_p50_ms": round(1000 * at(times["log"], 0.5), 3),
        "log_batch_p99_ms": round(1000 * at(times["log"], 0.99), 3),
        "sqlite_batch_p50_ms": round(1000 * at(times["sqlite"], 0.5), 3),
        "sqlite_batch_p99_ms": round(1000 * at(times["sqlite"], 0.99), 3),
        "log_bytes_an_attempt": round(size / count),
        "sqlite_bytes_an_attempt": round(rows / count),
    }


def recovery(count: int, folder: Path) -> dict[str, Any]:
    lent = Folder(str(folder / "long"))
    journal = Journal(lent, time.time())
    for first in range(0, count // 2, 5000):
        for intent, end in pairs(first, min(5000, count // 2 - first)):
            journal.enqueue(intent)
            journal.enqueue(end)
        journal.flush(time.time())
    for intent, _ in pairs(10**9, 100):
        journal.enqueue(intent)
    journal.flush(time.time())
    lent.close()
    begun = time.perf_counter()
    again = Folder(str(folder / "long"))
    found = Journal(again, time.time()).recovered
    took = time.perf_counter() - begun
    again.close()
    assert len(found.unresolved) == 100
    return {"records": count, "recovery_s": round(took, 3), "aim_recovery_met": took <= 2.0}


async def kills(count: int, folder: Path, seed: int) -> dict[str, Any]:
    """Kills under load; raises AssertionError if an execution has no intent or a bookmark ran twice."""
    lots, statuses = random.Random(seed), Counter[int]()
    hosts = [await Host(f"s-{i}", delay=0.004, slots=64, queue=256).start() for i in range(3)]
    for host in hosts:
        host.reset_share = 0.05
    roster = await Roster(*(entry(h.name, h.port, zone="north") for h in hosts)).start()
    gateway = GatewayProcess(
        folder, "g", {**settings(), "packages": PLANS}, roster.address, "", roster.known(),
        operator=f'[attempts]\ndirectory = "{folder / "kills"}"\n',
    )  # fmt: skip
    await gateway.start()
    going, sending, serial = True, set[asyncio.Task[None]](), 0

    async def one(name: str) -> None:
        try:
            client = Client(*await asyncio.open_connection("127.0.0.1", gateway.port))
            statuses[(await client.ask(asked(name, WRITE))).status] += 1
            client.close()
        except (OSError, asyncio.IncompleteReadError):
            statuses[0] += 1

    async def load() -> None:
        nonlocal serial
        while going:
            serial += 1
            task = asyncio.create_task(one(f"k{serial}"))
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(0.004)

    loading = asyncio.create_task(load())
    for n in range(count):
        await asyncio.sleep(0.1 + 0.3 * lots.random())
        await gateway.end(signal.SIGKILL)
        await gateway.start()
        if n % 20 == 19:
            print(f"{n + 1} kills, {serial} requests", flush=True)
    going = False
    await loading
    await asyncio.gather(*sending)
    await gateway.end()
    ran = Counter[str]()
    for host in hosts:
        ran += host.ran
        host.stop()
    roster.stop()
    found = {b.request: b for b in request_histories({"g": read_records(str(folder / "kills"))})}
    verdicts = Counter(b.verdict for b in found.values())
    wrong = [n for n, b in found.items() if b.verdict is Verdict.NOT_SENT and ran[n]]
    assert max(ran.values()) == 1 and set(ran) <= set(found) and not wrong
    return {
        "kills": count,
        "requests": serial,
        "executions": sum(ran.values()),
        "ran_twice": sum(n > 1 for n in ran.values()),
        "without_intent": len(set(ran) - set(found)),
        "not_sent_but_ran": len(wrong),
        "verdicts": {verdict.value: n for verdict, n in verdicts.items()},
        "may_have_run_that_ran": sum(
            1 for n, b in found.items() if b.verdict is Verdict.MAY_HAVE_RUN and ran[n]
        ),
    }


def main() -> int:
    told = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    told.add_argument("--quick", action="store_true", help="a tenth of all")
    told.add_argument(
        "--kills", type=int, default=0, metavar="N", help="N kills under load in place of the rest"
    )
    told.add_argument("--seed", type=int, default=1)
    options = told.parse_args()
    with tempfile.TemporaryDirectory(dir=ROOT / "logs" if (ROOT / "logs").is_dir() else None) as name:
        folder, part = Path(name), 10 if options.quick else 1
        if options.kills:
            result = asyncio.run(kills(options.kills, folder, options.seed))
        else:
            result = asyncio.run(gateways(1000 // part, folder))
            print(json.dumps(result), flush=True)
            result |= storage(20_000 // part, folder)
            print(json.dumps(result), flush=True)
            result |= recovery(1_000_000 // part, folder)
    print(json.dumps({"benchmark": "attempts", **result}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
