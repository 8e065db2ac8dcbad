"""The command `coralvale ledger`: shows ledgers, submits corrections, exports ledgers of lost gateways."""

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
from coralvale.ledger.model import MICROUNITS_PER_UNIT, LedgerError, batch_body, digest

JsonObject = dict[str, Any]


def add(command: argparse.ArgumentParser) -> None:
    """Adds the subcommands to the parser."""
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    for word, summary in (
        ("show", "use, corrections, unacknowledged batches and tries in doubt"),
        ("doubts", "tries that may or may not have arrived"),
        ("resolve", "states which tries in doubt arrived"),
        ("adjust", "submits a manual correction"),
        ("export", "exports the ledger of a gateway that is gone for good"),
        ("reconcile", "compares ledgers with the batches that the billing service has"),
    ):
        one = words.add_parser(word, help=summary, description=summary)
        many = word in ("show", "doubts", "reconcile")
        one.add_argument(
            "directory", nargs="+" if many else None, metavar="DIRECTORY", help="a gateway's ledger"
        )
        one.add_argument("--json", action="store_true", help="print JSON")
        if word == "resolve":
            one.add_argument(
                "--ran", required=True, metavar="FILE", help="request ids that arrived, one a line"
            )
            one.add_argument(
                "--rest", action="store_true", help="tries in doubt that are not in FILE did not arrive"
            )
        elif word == "adjust":
            for name in ("station", "plan", "class", "why"):
                one.add_argument(f"--{name}", required=True)
            one.add_argument(
                "--period", required=True, type=int, metavar="N", help="its number, as in `show`"
            )
            one.add_argument("--units", required=True, type=float, help="negative: credited")
            one.add_argument("--tries", type=int, default=0, help="default 0")
        elif word == "export":
            one.add_argument("--target", required=True, metavar="ADDRESS:PORT", help="of the billing service")
            one.add_argument(
                "--limit", type=float, default=60.0, metavar="S", help="time limit in seconds (60)"
            )
        elif word == "reconcile":
            one.add_argument(
                "--received", required=True, metavar="FILE", help="bodies of batches, one a line"
            )


def run(options: argparse.Namespace) -> int:
    """Runs a subcommand.

    Exit codes: 0 success, 1 something is open or differs, 2 wrong usage or a ledger that cannot be used.
    """
    try:
        call = {"show": show, "doubts": doubts, "resolve": resolve, "adjust": adjust, "export": export,
                "reconcile": reconcile}[options.word]  # fmt: skip
        return call(options)
    except OSError as error:
        print(f"coralvale: {error.filename or ''}: {error.strerror}", file=sys.stderr)
    except (LedgerError, ValueError) as error:
        print(f"coralvale: {error}", file=sys.stderr)
    return 2


def load_book(directory: str) -> tuple[str, Book]:
    """Name and current state of a ledger; its gateway may be running. Raises LedgerError, OSError."""
    found = load(Folder(directory, lock=False))
    if found is None:
        raise LedgerError(f"{directory}: no ledger")
    return found


def format_period_start(period: int, seconds: float) -> str:
    """Start of a period of this length, ISO 8601 in UTC."""
    return datetime.fromtimestamp(period * seconds, UTC).isoformat(timespec="seconds")


def show(options: argparse.Namespace) -> int:
    """Prints the state of ledgers; 1 if any try is in doubt."""
    rows, open_ = list[JsonObject](), 0
    for directory in options.directory:
        name, book = load_book(directory)
        total = book.totals()
        open_ += len(book.doubts)
        rows.append(
            {
                "directory": directory, "ledger": name, "tries": total.tries,
                "units": total.units / MICROUNITS_PER_UNIT,
                "sealed": book.sealed, "batches": book.serial, "waiting": len(book.batches),
                "open": len(book.open_tries), "doubts": len(book.doubts), "corrections": len(book.corrections),
                "periods": [
                    {"period": p, "from": format_period_start(p, book.terms.period),
                     "tries": sum(s.tries for s in accounts.values()),
                     "units": sum(s.units for s in accounts.values()) / MICROUNITS_PER_UNIT}
                    for p, accounts in sorted(book.balances.items())
                ],
            }
        )  # fmt: skip
    if options.json:
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


def doubts(options: argparse.Namespace) -> int:
    """Lists the tries in doubt; 1 if there are any."""
    rows = []
    for directory in options.directory:
        _, book = load_book(directory)
        rows += [
            {
                "request": o.request, "at": datetime.fromtimestamp(o.at, UTC).isoformat(timespec="milliseconds"),
                "station": o.account.station, "plan": o.account.plan, "class": o.account.cls,
                "units": o.units / MICROUNITS_PER_UNIT, "period": book.period(o.at), "directory": directory,
            }
            for o in book.doubts.values()
        ]  # fmt: skip
    if options.json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(
                f"{row['at']}  {row['request']}  station {row['station']}  {row['class']}  {row['units']:g} units"
            )
        print(f"{len(rows)} in doubt", file=sys.stderr)
    return 1 if rows else 0


def resolve(options: argparse.Namespace) -> int:
    """Submits resolutions of tries in doubt; 1 if some remain in doubt."""
    from coralvale.ledger.service import write_inbox

    _, book = load_book(options.directory)
    ran = set(Path(options.ran).read_text().split())
    rows: list[JsonObject] = [
        {"resolve": request, "arrived": True} for request in book.doubts if request in ran
    ]
    if options.rest:
        rows += [{"resolve": request, "arrived": False} for request in book.doubts if request not in ran]
    if rows:
        write_inbox(options.directory, f"resolve-{secrets.token_hex(8)}", rows)
    arrived = sum(row["arrived"] for row in rows)
    result = {"doubts": len(book.doubts), "arrived": arrived, "not_arrived": len(rows) - arrived}
    print(
        json.dumps(result)
        if options.json
        else f"{arrived} arrived, {len(rows) - arrived} did not; handed to the ledger"
    )
    return 0 if len(rows) == len(book.doubts) else 1


def adjust(options: argparse.Namespace) -> int:
    """Submits a manual correction."""
    from coralvale.ledger.service import write_inbox

    load_book(options.directory)
    name = f"adjust-{secrets.token_hex(8)}"
    fields = {
        key: getattr(options, key) for key in ("period", "station", "plan", "class", "tries", "units", "why")
    }
    write_inbox(options.directory, name, [{"name": name, **fields}])
    print(json.dumps({"name": name}) if options.json else f"{name}: handed to the ledger")
    return 0


def export(options: argparse.Namespace) -> int:
    """Exports all batches; 1 if some are not acknowledged within the limit."""
    left = asyncio.run(_export_batches(options))
    print(json.dumps({"waiting": left}) if options.json else f"{left} batches still wait")
    return 1 if left else 0


async def _export_batches(options: argparse.Namespace) -> int:
    """The number of batches that are still not acknowledged."""
    import h11

    from coralvale.ledger.service import put_batch

    folder = Folder(options.directory)
    try:
        if (found := load(folder)) is None:
            raise LedgerError(f"{options.directory}: no ledger")
        ledger = Log(folder, found[1].terms, lambda: "")
        ledger.write(ledger.book.doubt_all())
        while records := ledger.book.tick(time.time()):
            ledger.write(records)
        exporter, end = Exporter(ledger.ledger, 0), time.monotonic() + options.limit
        while ledger.book.batches and time.monotonic() < end and not exporter.stopped:
            now = time.monotonic()
            if (put := exporter.due(now, ledger.book.batches)) is None:
                await asyncio.sleep(0.05)
                continue
            try:
                async with asyncio.timeout(max(0.1, min(10.0, end - now))):
                    status, tag = await put_batch(options.target, None, put)
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


def reconcile(options: argparse.Namespace) -> int:
    """Compares ledgers with received batches; 1 if anything differs or is in doubt."""
    received: dict[tuple[str, int], bytes] = {}
    problems, tries, units = list[str](), 0, 0
    for number, text in enumerate(Path(options.received).read_bytes().splitlines(), 1):
        try:
            batch_fields = json.loads(text)
            key = str(batch_fields["ledger"]), int(batch_fields["serial"])
            tries += sum(int(line["tries"]) for line in batch_fields["lines"])
            units += sum(int(line["microunits"]) for line in batch_fields["lines"])
        except (ValueError, KeyError, TypeError):
            raise LedgerError(f"{options.received}: line {number}: no batch") from None
        if key in received:
            problems.append(f"{key[0]}: batch {key[1]}: received twice")
        received[key] = text
    own, own_units, known, found = 0, 0, set[str](), Counter[str]()
    for directory in options.directory:
        name, book = load_book(directory)
        known.add(name)
        waiting = sum(line.tries for batch in book.batches.values() for line in batch.lines)
        own += book.acknowledged.tries + waiting
        own_units += book.acknowledged.units + sum(
            line.units for b in book.batches.values() for line in b.lines
        )
        found["doubts"] += len(book.doubts)
        for serial in range(1, book.serial + 1):
            there, batch = received.pop((name, serial), None), book.batches.get(serial)
            if there is None:
                state = "waits" if batch else "acknowledged, but not received"
                problems.append(f"{name}: batch {serial}: {state}")
            elif batch and digest(batch_body(name, batch)) != digest(there):
                problems.append(f"{name}: batch {serial}: received with other contents")
        problems += [f"{name}: batch {n}: received, but never made" for m, n in received if m == name]
    problems += [f"{m}: a ledger that was not given" for m in sorted({m for m, _ in received} - known)]
    result = {
        "tries": {"ledgers": own, "received": tries},
        "units": {"ledgers": own_units / MICROUNITS_PER_UNIT, "received": units / MICROUNITS_PER_UNIT},
        "doubts": found["doubts"], "problems": problems,
    }  # fmt: skip
    if options.json:
        print(json.dumps(result))
    else:
        for line in problems:
            print(line)
        print(
            f"ledgers {own} tries, {own_units / MICROUNITS_PER_UNIT:g} units; "
            f"received {tries} tries, {units / MICROUNITS_PER_UNIT:g} units"
        )
    same = own == tries and own_units == units
    return 0 if same and not problems and not found["doubts"] else 1
