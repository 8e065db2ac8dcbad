"""What plans that change in service cost: a request, a command, the way to all gateways, a large book.

    python benchmarks/plans.py [--quick]

  request   decisions for one request (arrival and answer) without the book, and with one that has many stations,
            in turns; beside it the look-up alone, a bare dict's, and the first look-up of a station
  command   durable commands a second of one caller and of eight, beside SQLite (WAL, synchronous = FULL) that
            does one insert a transaction on the same disk, in turns
  news      from a command's answer until every follower has it, beside as many that ask every half second
  book      seconds to read, bytes and memory of a book of many stations; the longest that a follower's loop was
            held while it took the book in
  reserve   ms of a reservation that is granted, and of one that is refused with an earliest time, in a pool that
            has 9,900 (quick: 1,000)

The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import sqlite3
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from coralvale import Gateway  # noqa: E402
from coralvale import interface as api  # noqa: E402
from coralvale.disk import Folder  # noqa: E402
from coralvale.net.clock import Clock  # noqa: E402
from coralvale.operator import Plans, PlanService  # noqa: E402
from coralvale.plans.book import Book  # noqa: E402
from coralvale.plans.follower import Follower  # noqa: E402
from coralvale.plans.model import Entry, Record, Refused, entry_of, written  # noqa: E402
from coralvale.plans.service import Service  # noqa: E402
from coralvale.plans.store import Store  # noqa: E402
from coralvale.plans.terms import Terms  # noqa: E402

NOW = 1_800_000_000.0
PLANS = (api.Plan("team", 1e6, 1e6), api.Plan("large", 2e6, 2e6))
SETTINGS = api.Settings(
    gateways=1,
    zone=0,
    classes=(api.RequestClass("read", aim=1.0, give_up=4.0, worth=1.0, repeat=api.Repeat.SAFE),),
    plans=PLANS,
    drain_grace=0.5,
    cold_share=0.25,
    warm_after=10.0,
    fall_multiple=2.0,
    fall_window=3.0,
    max_attempts=4,
)
HOSTS = api.ServerList(
    api.ListKind.FULL, tuple(api.Server(f"s-{i}", api.ServerState.HEALTHY) for i in range(9))
)


def do(book: Book, record: Record | None) -> None:
    assert record
    book.apply(Entry(book.serial + 1, "", record))


def large(stations: int) -> Book:
    book = Book()
    do(book, book.led(NOW - 1000, 5.0, (1.0, 1.0)))
    for plan in PLANS:
        do(book, book.define(NOW - 900, plan))
    for n in range(stations):
        do(book, book.move(NOW - 900, f"{n:016x}", PLANS[n % 2].name, NOW - 890 + n * 1e-6))
    return book


def requests(count: int, stations: int, terms: Terms | None) -> float:
    """Seconds of CPU for the decisions of each request."""
    gateway = Gateway(SETTINGS, 1, None, terms)
    gateway.handle(NOW - 100, HOSTS)
    gc.collect()
    begun = time.process_time()
    for n in range(count):
        now, name = NOW + n * 1e-3, f"r{n}"
        gateway.handle(now, api.Request(name, 0, 0, n * 7919 % stations, 1, now + 4.0))
        gateway.handle(now + 1e-4, api.AttemptDone(name, 0, api.Outcome.OK, 1e-4, True))
    return (time.process_time() - begun) / count


def request(quick: bool) -> dict[str, Any]:
    stations, count, turns = 1000, 5_000 if quick else 20_000, 3 if quick else 7
    terms = Terms(SETTINGS, strict=True, floor=(1.0, 1.0))
    terms.changed(large(10_000 if quick else 100_000))
    terms.known_until = NOW + 1e6
    begun = time.process_time()
    for n in range(stations):
        terms.plan(NOW, n, 0)
    first = (time.process_time() - begun) / stations * 1e6
    rows = [(requests(count, stations, None), requests(count, stations, terms)) for _ in range(turns)]
    bare, with_book = (statistics.median(row[i] for row in rows) * 1e6 for i in (0, 1))
    table = dict.fromkeys(range(stations), PLANS[0])
    looked = []
    for find in (lambda n: table[n], lambda n: terms.plan(NOW, n, 0)):
        begun = time.process_time()
        for n in range(count * 5):
            find(n % stations)
        looked.append((time.process_time() - begun) / (count * 5) * 1e6)
    return {
        "without_us": round(bare, 2), "with_us": round(with_book, 2), "added_us": round(with_book - bare, 2),
        "ratio": round(with_book / bare, 3), "dict_us": round(looked[0], 3), "look_up_us": round(looked[1], 3),
        "first_look_up_us": round(first, 1),
    }  # fmt: skip


async def say(session: ClientSession, port: int, command: dict[str, Any]) -> dict[str, Any]:
    async with session.post(f"http://127.0.0.1:{port}/commands", json=command) as answer:
        told: dict[str, Any] = await answer.json()
        assert answer.status == 200, told
        return told


async def serving(folder: str, listen: str = "127.0.0.1:0") -> Service:
    service = Service(PlanService(directory=folder, listen=listen, lead_s=5.0), Store(Folder(folder)))
    await service.start()
    async with ClientSession() as session:
        for plan in PLANS:
            figures = {"name": plan.name, "rate": 1.0, "burst": 1.0}
            await say(session, service.port, {"command": f"d{plan.name}", "do": "plan", "plan": figures})
    return service


def sqlite(folder: str, seconds: float) -> float:
    """Inserts a second, a durable transaction each."""
    base = sqlite3.connect(f"{folder}/beside.db", isolation_level=None)
    base.execute("pragma journal_mode = wal")
    base.execute("pragma synchronous = full")
    base.execute("create table if not exists book (serial integer primary key, record text)")
    count, begun = 0, time.monotonic()
    while time.monotonic() - begun < seconds:
        base.execute("insert into book (record) values (?)", ('["c1","move",1.0,"0000000000000007","team"]',))
        count += 1
    base.close()
    return count / (time.monotonic() - begun)


async def command(quick: bool) -> dict[str, Any]:
    seconds, turns = (0.5, 2) if quick else (2.0, 4)
    rows: dict[str, list[float]] = {"one": [], "eight": [], "sqlite": []}
    with tempfile.TemporaryDirectory(dir=ROOT, prefix=".bench-") as folder:  # on a disk, not in memory
        service, serial = await serving(folder), 0

        async def call(session: ClientSession, end: float) -> int:
            nonlocal serial
            count = 0
            while time.monotonic() < end:
                serial += 1
                count += 1
                told = {"command": f"c{serial}", "do": "move", "station": f"{serial:016x}", "plan": "team"}
                await say(session, service.port, told)
            return count

        async with ClientSession() as session:
            for _ in range(turns):
                for name, callers in (("one", 1), ("eight", 8)):
                    end = time.monotonic() + seconds
                    counts = await asyncio.gather(*(call(session, end) for _ in range(callers)))
                    rows[name].append(sum(counts) / seconds)
                rows["sqlite"].append(await asyncio.to_thread(sqlite, folder, seconds))
        await service.stop()
    return {f"{name}_per_s": round(statistics.median(values)) for name, values in rows.items()}


async def news(quick: bool) -> dict[str, Any]:
    followers, times = (50, 10) if quick else (300, 30)
    rows: dict[str, list[float]] = {"waiting": [], "asking": []}
    with tempfile.TemporaryDirectory(dir=ROOT, prefix=".bench-") as folder:
        service, clock, ends = await serving(folder), Clock(), list[float]()
        held = [
            Follower(Plans(service=f"127.0.0.1:{service.port}"), f"g{n}", Terms(SETTINGS, False), clock)
            for n in range(followers)
        ]
        tasks = [asyncio.ensure_future(one.run()) for one in held]
        asked = [0] * followers

        async def ask(session: ClientSession, number: int) -> None:
            """What one does that asks now and then: every half second, at moments of its own."""
            await asyncio.sleep(number / followers / 2)
            while True:
                query = {"reader": f"x{number}", "id": service.desk.id, "after": str(max(1, asked[number]))}
                async with session.get(f"http://127.0.0.1:{service.port}/book", params=query) as answer:
                    asked[number] = json.loads(await answer.content.readline())["serial"]
                await asyncio.sleep(0.5)

        async def until(known: Any, begun: float) -> float:
            async with asyncio.timeout(30):
                while not known():
                    await asyncio.sleep(0.001)
            return (time.monotonic() - begun) * 1e3

        async with ClientSession() as session, ClientSession() as others:
            asking = [asyncio.ensure_future(ask(others, n)) for n in range(followers)]
            await asyncio.sleep(2.0)
            for n in range(times):
                move = {"command": f"n{n}", "do": "move", "station": f"{n:016x}", "plan": "team"}
                told = await say(session, service.port, move)
                begun, serial = time.monotonic(), told["serial"]
                first, second = await asyncio.gather(
                    until(lambda s=serial: all(one.book.serial >= s for one in held), begun),
                    until(lambda s=serial: min(asked) >= s, begun),
                )
                rows["waiting"].append(first)
                rows["asking"].append(second)
                ends.append(told["at"])
            for task in (*tasks, *asking):
                task.cancel()
            await asyncio.gather(*tasks, *asking, return_exceptions=True)
        await service.stop()
    found: dict[str, Any] = {"followers": followers}
    for name, values in rows.items():
        found[f"{name}_p50_ms"] = round(statistics.median(values), 1)
        found[f"{name}_worst_ms"] = round(max(values), 1)
    return found


async def taken(made: Book) -> float:
    """The longest that the loop is held, in ms, while a follower takes a whole book in."""
    follower = Follower(Plans(service="127.0.0.1:1"), "g0", Terms(SETTINGS, False), Clock())
    entries = list(made.kept())
    head = {"id": "a", "asof": 1.0, "serial": made.serial, "whole": True, "entries": len(entries)}
    longest, over = 0.0, False

    async def lines() -> AsyncIterator[bytes]:
        for row in (head, *map(written, entries)):
            yield json.dumps(row).encode()

    async def beat() -> None:
        nonlocal longest
        while not over:
            begun = time.monotonic()
            await asyncio.sleep(0)
            longest = max(longest, time.monotonic() - begun)

    beating = asyncio.ensure_future(beat())
    await follower.take(lines())
    over = True
    await beating
    assert follower.book == made
    return longest * 1e3


def book(quick: bool) -> dict[str, Any]:
    stations = 20_000 if quick else 200_000
    gc.collect()
    tracemalloc.start()
    made = large(stations)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    text = json.dumps([written(entry) for entry in made.kept()], separators=(",", ":"))
    begun = time.process_time()
    again = Book.restore(map(entry_of, json.loads(text)), made.serial)
    spent = time.process_time() - begun
    assert again == made
    return {
        "stations": stations, "snapshot_mb": round(len(text) / 1e6, 1), "memory_mb": round(size / 1e6, 1),
        "restore_s": round(spent, 2), "held_ms": round(asyncio.run(taken(made)), 1),
    }  # fmt: skip


def reserve(quick: bool) -> dict[str, Any]:
    held, tries = (1_000, 20) if quick else (9_900, 50)
    full = large(10)
    do(full, full.pool(NOW - 800, "matches", 1000.0))
    for n in range(held):  # a wall of reservations that leaves 100 units a second for 20 days
        at = NOW + 100 + n // 10 * 1700.0
        do(full, full.reserve(NOW, f"r{n}", "matches", f"{n % 10:016x}", 90.0, at, at + 1700.0))
    times: dict[str, list[float]] = {"granted": [], "refused": []}
    for n in range(tries):
        for word, rate in (("granted", 1.0), ("refused", 150.0)):
            begun = time.process_time()
            try:
                full.reserve(NOW, f"x{n}", "matches", f"{1:016x}", rate, NOW + 500.0, NOW + 4000.0)
            except Refused as error:
                assert word == "refused" and error.earliest is not None
            times[word].append((time.process_time() - begun) * 1e3)
    return {"held": held, **{f"{word}_ms": round(statistics.median(v), 1) for word, v in times.items()}}


def main() -> int:
    asked = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    asked.add_argument("--quick", action="store_true", help="fewer and shorter rounds")
    quick = asked.parse_args().quick
    rows: dict[str, Any] = {}
    parts: dict[str, Any] = {
        "request": request,
        "command": command,
        "news": news,
        "book": book,
        "reserve": reserve,
    }
    for name, part in parts.items():
        made = part(quick)
        rows[name] = asyncio.run(made) if asyncio.iscoroutine(made) else made
        print(f"{name:8s} {rows[name]}", flush=True)
    request_, command_, news_ = rows["request"], rows["command"], rows["news"]
    aims = {
        "added_us": (request_["added_us"], 2.0, request_["added_us"] <= 2.0),
        "commands_of_sqlite": (
            round(command_["one_per_s"] / command_["sqlite_per_s"], 2), 0.5,
            command_["one_per_s"] >= 0.5 * command_["sqlite_per_s"],
        ),
        "news_worst_ms": (news_["waiting_worst_ms"], 500.0, news_["waiting_worst_ms"] <= 500.0),
    }  # fmt: skip
    told = {name: {"is": value, "aim": aim, "met": bool(met)} for name, (value, aim, met) in aims.items()}
    print(json.dumps({"benchmark": "plans", **rows, "aims": told}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
