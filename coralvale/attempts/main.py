"""The command `coralvale attempts`: queries journals. It only reads; a gateway may write to them meanwhile."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from coralvale.attempts.frames import SegmentContents, scan_segment
from coralvale.attempts.journal import segment_names
from coralvale.attempts.model import JournalError, Record
from coralvale.attempts.query import Chain, Filter, RequestHistory, chains, request_histories, unresolved
from coralvale.attempts.store import Folder

POLL_INTERVAL_S = 0.2  # of `tail`


def add(command: argparse.ArgumentParser) -> None:
    """Adds the subcommands to the parser."""
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    for word, summary in (
        ("show", "requests with their verdicts, retries joined into chains"),
        ("unresolved", "requests that may have run"),
        ("check", "reads all segments and reports damage"),
        ("merge", "requests of several gateways' journals, one JSON object a line"),
        ("tail", "prints records as they become durable, until stopped"),
    ):
        one = words.add_parser(word, help=summary)
        one.add_argument("directory", nargs="+", metavar="DIRECTORY", help="a gateway's journal")
        one.add_argument("--json", action="store_true", help="print JSON")
        if word in ("show", "merge", "unresolved"):
            for name in ("request", "station", "node", "class"):
                one.add_argument(f"--{name}", default="", help=f"only this {name}")
            for name in ("since", "until"):
                one.add_argument(f"--{name}", default="", metavar="TIME", help="2026-12-01T10:00:00, UTC")


def parse_time(text: str, default: float) -> float:
    """Seconds of Unix time; `default` for an empty text. Raises ValueError if it cannot be parsed."""
    if not text:
        return default
    read = datetime.fromisoformat(text)
    return (read if read.tzinfo else read.replace(tzinfo=UTC)).timestamp()


def format_time(at: float) -> str:
    """ISO 8601 in UTC with milliseconds."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def scan_journal(directory: str) -> Iterator[tuple[str, SegmentContents | JournalError]]:
    """The segments of a journal, oldest first; an error in place of one that cannot be parsed."""
    folder = Folder(directory, lock=False)
    try:
        names = segment_names(folder.names())
    except OSError as error:
        raise JournalError(f"{directory}: {error.strerror}") from None
    for name in names:
        try:
            yield name, scan_segment(f"{directory}/{name}", folder.read(name))
        except FileNotFoundError:  # deleted meanwhile
            continue
        except JournalError as error:
            yield name, error


def read_records(directory: str) -> list[Record]:
    """All records of a journal; segments that cannot be parsed are reported to stderr."""
    found: list[Record] = []
    for _, read in scan_journal(directory):
        if isinstance(read, JournalError):
            print(f"coralvale: {read}", file=sys.stderr)
        else:
            found += read.records
    return found


def as_json(history: RequestHistory) -> dict[str, Any]:
    """The fields of a request that are printed as JSON."""
    first = history.first
    return {
        "request": history.request,
        "gateway": history.gateway,
        "at": format_time(first.at),
        "station": first.station,
        "class": first.cls,
        "method": first.method,
        "target": first.target,
        "digest": first.digest,
        "verdict": history.verdict.value,
        "answered": history.answered.status if history.answered else None,
        "attempts": [
            {
                "node": intent.node,
                "at": format_time(intent.at),
                "end": history.ends[n].end.value if n in history.ends else None,
            }
            for n, intent in sorted(history.intents.items())
        ],
    }


def format_history(history: RequestHistory) -> str:
    """One line of text for a request."""
    fields = as_json(history)
    sent = ", ".join(f"{a['node']}: {a['end'] or 'nothing known'}" for a in fields["attempts"])
    answer = f"answered {fields['answered']}" if fields["answered"] else "no answer on record"
    who = f"{fields['at']}  {history.request}  station {fields['station']}"
    return f"{who}  {history.verdict.value}  [{sent}; {answer}]"


def format_chain(chain: Chain) -> str:
    """A line for a single request; for retries a heading and a line each."""
    if len(chain.requests) == 1:
        return format_history(chain.requests[0])
    head = f"{len(chain.requests)} requests, {chain.certainty}: {chain.verdict.value}"
    return "\n".join([head, *(f"    {format_history(r)}" for r in chain.requests)])


def run(options: argparse.Namespace) -> int:
    """Runs a subcommand.

    Exit codes: 0 success, 1 damage (`check`) or unresolved (`unresolved`), 2 wrong usage or no journal.
    """
    try:
        if options.word == "check":
            return check(options)
        if options.word == "tail":
            return tail(options)
        wanted = Filter(
            options.request, options.station, options.node, getattr(options, "class"),
            parse_time(options.since, float("-inf")), parse_time(options.until, float("inf")),
        )  # fmt: skip
        journals = {Path(d).name or d: read_records(d) for d in options.directory}
    except (JournalError, ValueError) as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    found = [h for h in request_histories(journals) if wanted.matches(h)]  # type: ignore[arg-type]
    if options.word == "merge":
        for history in found:
            print(json.dumps(as_json(history)))
        return 0
    if options.word == "unresolved":
        left = unresolved(found)
        print(
            json.dumps([as_json(h) for h in left])
            if options.json
            else "\n".join(map(format_history, left)) or "none"
        )
        return 1 if left else 0
    request_chains = chains(found)
    if options.json:
        rows = [
            {
                "verdict": c.verdict.value,
                "certainty": c.certainty,
                "requests": [as_json(r) for r in c.requests],
            }
            for c in request_chains
        ]
        print(json.dumps(rows))
    else:
        print("\n".join(map(format_chain, request_chains)) or "none")
    return 0


def check(options: argparse.Namespace) -> int:
    """Reads all segments and prints their problems."""
    rows = []
    for directory in options.directory:
        for name, read in scan_journal(directory):
            problems = [str(read)] if isinstance(read, JournalError) else []
            if isinstance(read, SegmentContents):
                problems = [f"damaged from byte {a} to {b}" for a, b in read.damaged]
                problems += [f"a torn tail of {read.torn_bytes} bytes"] if read.torn_bytes else []
            count = len(read.records) if isinstance(read, SegmentContents) else 0
            rows.append({"segment": f"{directory}/{name}", "records": count, "problems": problems})
    if options.json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(f"{row['segment']}: {row['records']} records; {'; '.join(row['problems']) or 'whole'}")  # type: ignore[arg-type]
    return 1 if any(row["problems"] for row in rows) else 0


def tail(options: argparse.Namespace) -> int:
    """Prints records that become durable after the start."""
    seen = {
        (d, name): len(s.records)
        for d in options.directory
        for name, s in scan_journal(d)
        if isinstance(s, SegmentContents)
    }
    print(json.dumps({"kind": "tail", "directories": len(options.directory)}), flush=True)
    try:
        while True:
            for directory in options.directory:
                for name, read in scan_journal(directory):
                    if not isinstance(read, SegmentContents):
                        continue
                    # Records of a new segment up to its checkpoint are copies from the previous one.
                    begin = seen.get((directory, name), read.checkpoint_index + 1)
                    for record in read.records[begin:]:
                        kind, fields = type(record).__name__.lower(), record.__dataclass_fields__
                        values = {f: getattr(record, f) for f in fields}
                        print(json.dumps({"kind": kind, **values}, default=lambda v: v.value), flush=True)
                    seen[directory, name] = max(begin, len(read.records))
            time.sleep(POLL_INTERVAL_S)
    except KeyboardInterrupt:
        return 0
