"""`coralvale ledger`: what ledgers hold, corrections by hand, and the export of a gateway that is gone."""

from __future__ import annotations

import argparse
import asyncio
import json
import secrets
import sys
import time
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from coralvale.ledger.book import Book
from coralvale.ledger.export import Exporter
from coralvale.ledger.log import Folder, Log, load
from coralvale.ledger.model import MILLION, LedgerError, body, digest

Row = dict[str, Any]


def add(command: argparse.ArgumentParser) -> None:
    """The words of the command."""
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    for word, told in (
        ("show", "use, corrections, batches that wait and tries in doubt"),
        ("doubts", "tries of which nobody knows whether they arrived"),
        ("resolve", "tells a ledger which tries in doubt arrived"),
        ("adjust", "a correction by hand"),
        ("export", "sends what a gateway left that is gone for good"),
        ("reconcile", "compares ledgers with what the billing service has"),
    ):
        one = words.add_parser(word, help=told, description=told)
        many = word in ("show", "doubts", "reconcile")
        one.add_argument(
            "directory", nargs="+" if many else None, metavar="DIRECTORY", help="a gateway's ledger"
        )
        one.add_argument("--json", action="store_true", help="JSON, for programs")
        if word == "resolve":
            one.add_argument(
                "--ran", required=True, metavar="FILE", help="request ids that arrived, one a line"
            )
            one.add_argument("--rest", action="store_true", help="those that are not in FILE did not arrive")
        elif word == "adjust":
            for name in ("station", "plan", "class", "why"):
                one.add_argument(f"--{name}", required=True)
            one.add_argument(
                "--period", required=True, type=int, metavar="N", help="its number, as `show` has it"
            )
            one.add_argument("--units", required=True, type=float, help="below 0: given back")
            one.add_argument("--tries", type=int, default=0, help="0")
        elif word == "export":
            one.add_argument("--target", required=True, metavar="ADDRESS:PORT", help="of the billing service")
            one.add_argument("--limit", type=float, default=60.0, metavar="S", help="seconds at most (60)")
        elif word == "reconcile":
            one.add_argument(
                "--received", required=True, metavar="FILE", help="bodies of batches, one a line"
            )


def run(asked: argparse.Namespace) -> int:
    """Exit codes: 0 well, 1 something is open or differs, 2 a wrong call or a ledger that cannot be used."""
    try:
        call = {"show": show, "doubts": doubts, "resolve": resolve, "adjust": adjust, "export": export,
                "reconcile": reconcile}[asked.word]  # fmt: skip
        return call(asked)
    except OSError as error:
        print(f"coralvale: {error.filename or ''}: {error.strerror}", file=sys.stderr)
    except (LedgerError, ValueError) as error:
        print(f"coralvale: {error}", file=sys.stderr)
    return 2


def book_of(directory: str) -> tuple[str, Book]:
    """A ledger as it is at this moment; its gateway may go on. Raises LedgerError, OSError."""
    found = load(Folder(directory, lock=False))
    if found is None:
        raise LedgerError(f"{directory}: no ledger")
    return found


def when(period: int, seconds: float) -> str:
    return datetime.fromtimestamp(period * seconds, UTC).isoformat(timespec="seconds")


def show(asked: argparse.Namespace) -> int:
    """1 if anything is in doubt."""
    rows, open_ = list[Row](), 0
    for directory in asked.directory:
        name, book = book_of(directory)
        total = book.totals()
        open_ += len(book.doubts)
        rows.append(
            {
                "directory": directory, "ledger": name, "tries": total.tries, "units": total.units / MILLION,
                "sealed": book.sealed, "batches": book.serial, "waiting": len(book.batches),
                "open": len(book.open_), "doubts": len(book.doubts), "corrections": len(book.corrections),
                "periods": [
                    {"period": p, "from": when(p, book.terms.period),
                     "tries": sum(s.tries for s in accounts.values()),
                     "units": sum(s.units for s in accounts.values()) / MILLION}
                    for p, accounts in sorted(book.balances.items())
                ],
            }
        )  # fmt: skip
    if asked.json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(f"{row['directory']}: {row['ledger']}: {row['tries']} tries, {row['units']:g} units")
            print(
                f"  sealed up to period {row['sealed']}; {row['batches']} batches, {row['waiting']} of them "
                "wait; "
                f"{row['open']} tries open, {row['doubts']} in doubt; {row['corrections']} corrections to come"
            )
            for one in row["periods"]:
                print(
                    f"  period {one['period']} from {one['from']}: {one['tries']} tries, {one['units']:g} units"
                )
    return 1 if open_ else 0


def doubts(asked: argparse.Namespace) -> int:
    """1 if there are any."""
    rows = []
    for directory in asked.directory:
        _, book = book_of(directory)
        rows += [
            {
                "request": o.request, "at": datetime.fromtimestamp(o.at, UTC).isoformat(timespec="milliseconds"),
                "station": o.account.station, "plan": o.account.plan, "class": o.account.cls,
                "units": o.units / MILLION, "period": book.period(o.at), "directory": directory,
            }
            for o in book.doubts.values()
        ]  # fmt: skip
    if asked.json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(
                f"{row['at']}  {row['request']}  station {row['station']}  {row['class']}  {row['units']:g} units"
            )
        print(f"{len(rows)} in doubt", file=sys.stderr)
    return 1 if rows else 0


def resolve(asked: argparse.Namespace) -> int:
    from coralvale.ledger.service import write_inbox

    _, book = book_of(asked.directory)
    ran = set(Path(asked.ran).read_text().split())
    rows: list[Row] = [{"resolve": request, "arrived": True} for request in book.doubts if request in ran]
    if asked.rest:
        rows += [{"resolve": request, "arrived": False} for request in book.doubts if request not in ran]
    if rows:
        write_inbox(asked.directory, f"resolve-{secrets.token_hex(8)}", rows)
    arrived = sum(row["arrived"] for row in rows)
    told = {"doubts": len(book.doubts), "arrived": arrived, "not_arrived": len(rows) - arrived}
    print(
        json.dumps(told)
        if asked.json
        else f"{arrived} arrived, {len(rows) - arrived} did not; handed to the ledger"
    )
    return 0 if len(rows) == len(book.doubts) else 1


def adjust(asked: argparse.Namespace) -> int:
    from coralvale.ledger.service import write_inbox

    book_of(asked.directory)
    name = f"adjust-{secrets.token_hex(8)}"
    fields = {
        key: getattr(asked, key) for key in ("period", "station", "plan", "class", "tries", "units", "why")
    }
    write_inbox(asked.directory, name, [{"name": name, **fields}])
    print(json.dumps({"name": name}) if asked.json else f"{name}: handed to the ledger")
    return 0


def export(asked: argparse.Namespace) -> int:
    """1 if not all is acknowledged within the limit."""
    left = asyncio.run(_export(asked))
    print(json.dumps({"waiting": left}) if asked.json else f"{left} batches still wait")
    return 1 if left else 0


async def _export(asked: argparse.Namespace) -> int:
    import h11

    from coralvale.ledger.service import create

    folder = Folder(asked.directory)
    try:
        if (found := load(folder)) is None:
            raise LedgerError(f"{asked.directory}: no ledger")
        ledger = Log(folder, found[1].terms, lambda: "")
        ledger.write(ledger.book.doubt_all())
        while records := ledger.book.tick(time.time()):
            ledger.write(records)
        exporter, end = Exporter(ledger.ledger, 0), time.monotonic() + asked.limit
        while ledger.book.batches and time.monotonic() < end and not exporter.stopped:
            now = time.monotonic()
            if (put := exporter.due(now, ledger.book.batches)) is None:
                await asyncio.sleep(0.05)
                continue
            try:
                async with asyncio.timeout(max(0.1, min(10.0, end - now))):
                    status, tag = await create(asked.target, None, put)
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                exporter.failed(time.monotonic())
                continue
            if exporter.answered(time.monotonic(), status, tag):
                ledger.write(ledger.book.acknowledge(put.serial))
                print(f"batch {put.serial}: acknowledged", file=sys.stderr)
        if exporter.stopped:
            print(f"coralvale: {exporter.stopped}", file=sys.stderr)
        ledger.close()
        return len(ledger.book.batches)
    finally:
        folder.close()


def reconcile(asked: argparse.Namespace) -> int:
    """1 if anything differs, or is in doubt."""
    received: dict[tuple[str, int], bytes] = {}
    problems, tries, units = list[str](), 0, 0
    for number, text in enumerate(Path(asked.received).read_bytes().splitlines(), 1):
        try:
            told = json.loads(text)
            key = str(told["ledger"]), int(told["serial"])
            tries += sum(int(line["tries"]) for line in told["lines"])
            units += sum(int(line["microunits"]) for line in told["lines"])
        except (ValueError, KeyError, TypeError):
            raise LedgerError(f"{asked.received}: line {number}: no batch") from None
        if key in received:
            problems.append(f"{key[0]}: batch {key[1]}: received twice")
        received[key] = text
    own, own_units, known, found = 0, 0, set[str](), Counter[str]()
    for directory in asked.directory:
        name, book = book_of(directory)
        known.add(name)
        waiting = sum(line.tries for batch in book.batches.values() for line in batch.lines)
        own += book.done.tries + waiting
        own_units += book.done.units + sum(line.units for b in book.batches.values() for line in b.lines)
        found["doubts"] += len(book.doubts)
        for serial in range(1, book.serial + 1):
            there, batch = received.pop((name, serial), None), book.batches.get(serial)
            if there is None:
                state = "waits" if batch else "acknowledged, but not received"
                problems.append(f"{name}: batch {serial}: {state}")
            elif batch and digest(body(name, batch)) != digest(there):
                problems.append(f"{name}: batch {serial}: received with other contents")
        problems += [f"{name}: batch {n}: received, but never made" for m, n in received if m == name]
    problems += [f"{m}: a ledger that was not given" for m in sorted({m for m, _ in received} - known)]
    result = {
        "tries": {"ledgers": own, "received": tries},
        "units": {"ledgers": own_units / MILLION, "received": units / MILLION},
        "doubts": found["doubts"], "problems": problems,
    }  # fmt: skip
    if asked.json:
        print(json.dumps(result))
    else:
        for line in problems:
            print(line)
        print(
            f"ledgers {own} tries, {own_units / MILLION:g} units; "
            f"received {tries} tries, {units / MILLION:g} units"
        )
    same = own == tries and own_units == units
    return 0 if same and not problems and not found["doubts"] else 1
