"""`coralvale attempts`: what journals tell. They are only read, and a gateway may go on writing to them."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from coralvale.attempts.frames import Scan, scan
from coralvale.attempts.journal import segment_names
from coralvale.attempts.model import JournalError, Record
from coralvale.attempts.query import Bookmark, Chain, Filter, chains, request_histories, unresolved
from coralvale.attempts.store import Folder

POLL = 0.2  # s between looks of `tail`


def add(command: argparse.ArgumentParser) -> None:
    """The words of the command."""
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    for word, told in (
        ("show", "requests, joined into chains, each with its verdict"),
        ("unresolved", "requests that may have run, and of which nobody knows"),
        ("check", "reads all segments and names what is damaged"),
        ("merge", "the requests of several gateways' journals, one JSON object a line"),
        ("tail", "records as they are made durable, until it is stopped"),
    ):
        one = words.add_parser(word, help=told)
        one.add_argument("directory", nargs="+", metavar="DIRECTORY", help="a gateway's journal")
        one.add_argument("--json", action="store_true", help="JSON, for programs")
        if word in ("show", "merge", "unresolved"):
            for name in ("request", "station", "node", "class"):
                one.add_argument(f"--{name}", default="", help=f"only this {name}")
            for name in ("since", "until"):
                one.add_argument(f"--{name}", default="", metavar="TIME", help="2026-12-01T10:00:00, UTC")


def moment(text: str, default: float) -> float:
    """Seconds of Unix time. Raises ValueError for what is no time."""
    if not text:
        return default
    read = datetime.fromisoformat(text)
    return (read if read.tzinfo else read.replace(tzinfo=UTC)).timestamp()


def when(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def scans(directory: str) -> Iterator[tuple[str, Scan | JournalError]]:
    """The segments of a journal, oldest first; an error in place of one that cannot be read."""
    folder = Folder(directory, lock=False)
    try:
        names = segment_names(folder.names())
    except OSError as error:
        raise JournalError(f"{directory}: {error.strerror}") from None
    for name in names:
        try:
            yield name, scan(f"{directory}/{name}", folder.read(name))
        except FileNotFoundError:  # retired since
            continue
        except JournalError as error:
            yield name, error


def read_records(directory: str) -> list[Record]:
    found: list[Record] = []
    for _, read in scans(directory):
        if isinstance(read, JournalError):
            print(f"coralvale: {read}", file=sys.stderr)
        else:
            found += read.records
    return found


def told(bookmark: Bookmark) -> dict[str, Any]:
    """A request for programs."""
    first = bookmark.first
    return {
        "request": bookmark.request,
        "gateway": bookmark.gateway,
        "at": when(first.at),
        "station": first.station,
        "class": first.cls,
        "method": first.method,
        "target": first.target,
        "digest": first.digest,
        "verdict": bookmark.verdict.value,
        "answered": bookmark.answered.status if bookmark.answered else None,
        "attempts": [
            {
                "node": intent.node,
                "at": when(intent.at),
                "end": bookmark.ends[n].end.value if n in bookmark.ends else None,
            }
            for n, intent in sorted(bookmark.intents.items())
        ],
    }


def line(bookmark: Bookmark) -> str:
    told_ = told(bookmark)
    sent = ", ".join(f"{a['node']}: {a['end'] or 'nothing known'}" for a in told_["attempts"])
    answer = f"answered {told_['answered']}" if told_["answered"] else "no answer on record"
    who = f"{told_['at']}  {bookmark.request}  station {told_['station']}"
    return f"{who}  {bookmark.verdict.value}  [{sent}; {answer}]"


def show(chain: Chain) -> str:
    if len(chain.requests) == 1:
        return line(chain.requests[0])
    head = f"{len(chain.requests)} requests, {chain.certainty}: {chain.verdict.value}"
    return "\n".join([head, *(f"    {line(b)}" for b in chain.requests)])


def run(asked: argparse.Namespace) -> int:
    """Exit codes: 0 well, 1 damaged (`check`) or something open (`unresolved`), 2 a wrong call or no journal."""
    try:
        if asked.word == "check":
            return check(asked)
        if asked.word == "tail":
            return tail(asked)
        wanted = Filter(
            asked.request, asked.station, asked.node, getattr(asked, "class"),
            moment(asked.since, float("-inf")), moment(asked.until, float("inf")),
        )  # fmt: skip
        journals = {Path(d).name or d: read_records(d) for d in asked.directory}
    except (JournalError, ValueError) as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    found = [b for b in request_histories(journals) if wanted.takes(b)]  # type: ignore[arg-type]
    if asked.word == "merge":
        for bookmark in found:
            print(json.dumps(told(bookmark)))
        return 0
    if asked.word == "unresolved":
        left = unresolved(found)
        print(json.dumps([told(b) for b in left]) if asked.json else "\n".join(map(line, left)) or "none")
        return 1 if left else 0
    made = chains(found)
    if asked.json:
        rows = [
            {"verdict": c.verdict.value, "certainty": c.certainty, "requests": [told(b) for b in c.requests]}
            for c in made
        ]
        print(json.dumps(rows))
    else:
        print("\n".join(map(show, made)) or "none")
    return 0


def check(asked: argparse.Namespace) -> int:
    rows = []
    for directory in asked.directory:
        for name, read in scans(directory):
            bad = [str(read)] if isinstance(read, JournalError) else []
            if isinstance(read, Scan):
                bad = [f"damaged from byte {a} to {b}" for a, b in read.damaged]
                bad += [f"a torn tail of {read.torn} bytes"] if read.torn else []
            count = len(read.records) if isinstance(read, Scan) else 0
            rows.append({"segment": f"{directory}/{name}", "records": count, "problems": bad})
    if asked.json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(f"{row['segment']}: {row['records']} records; {'; '.join(row['problems']) or 'whole'}")  # type: ignore[arg-type]
    return 1 if any(row["problems"] for row in rows) else 0


def tail(asked: argparse.Namespace) -> int:
    """Prints records that become durable from now on."""
    seen = {(d, name): len(s.records) for d in asked.directory for name, s in scans(d) if isinstance(s, Scan)}
    print(json.dumps({"kind": "tail", "directories": len(asked.directory)}), flush=True)
    try:
        while True:
            for directory in asked.directory:
                for name, read in scans(directory):
                    if not isinstance(read, Scan):
                        continue
                    # What a new segment carries up to its checkpoint has been seen in the one before.
                    begin = seen.get((directory, name), read.checkpoint + 1)
                    for record in read.records[begin:]:
                        kind, fields = type(record).__name__.lower(), record.__dataclass_fields__
                        values = {f: getattr(record, f) for f in fields}
                        print(json.dumps({"kind": kind, **values}, default=lambda v: v.value), flush=True)
                    seen[directory, name] = max(begin, len(read.records))
            time.sleep(POLL)
    except KeyboardInterrupt:
        return 0
