"""`coralvale answers`: what files of syslog messages tell of answers. They are only read, in bounded memory."""

from __future__ import annotations

import argparse
import json
import os
import re
import sys
import time
import zlib
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, BinaryIO

from coralvale.syslog.framing import Splitter
from coralvale.syslog.messages import SEVERITIES
from coralvale.syslog.search import Found, Query, Row, Summary, search

CHUNK = 1 << 20
POLL = 0.2  # s between looks at a file that is followed
SHOWN = 100  # bad lines that are shown
GZIP, GZIP_ONLY = b"\x1f\x8b", 31  # how a file begins; zlib's word for the format
Record = dict[str, Any]


def add(command: argparse.ArgumentParser) -> None:
    """The words of the command."""
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    for word, told in (
        ("search", "answers that match, oldest first as the files are given"),
        ("summary", "how many answers of each outcome a station had, over time"),
    ):
        one = words.add_parser(word, help=told, description=told)
        one.add_argument(
            "file", nargs="+", metavar="FILE", help="lines or octet-counted, plain or gzip; - is stdin"
        )
        one.add_argument(
            "--rotated", action="store_true", help="FILE.2.gz, FILE.1 and so on, ahead of each FILE"
        )
        one.add_argument("--json", action="store_true", help="JSON, for programs: one object a line")
        one.add_argument("--bad", action="store_true", help="reads every message, and shows what is none")
        one.add_argument("--station", default="", help="name or id of a station")
        one.add_argument("--outcome", default="", choices=["", *sorted(SEVERITIES)], metavar="OUTCOME",
                         help=", ".join(sorted(SEVERITIES)))  # fmt: skip
        for name in ("request", "node", "class"):
            one.add_argument(f"--{name}", default="", help=f"only this {name}")
        for name in ("since", "until"):
            one.add_argument(f"--{name}", default="", metavar="TIME", help="2026-12-01T10:00:00, UTC")
        if word == "search":
            one.add_argument(
                "--follow", action="store_true", help="goes on as the last FILE grows, until stopped"
            )
        else:
            one.add_argument("--every", type=float, default=60.0, metavar="S", help="seconds of a step (60)")


def moment(name: str, text: str, default: float) -> float:
    """Seconds of Unix time. Raises ValueError for what is no time."""
    if not text:
        return default
    try:
        read = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"--{name}: expected a time like 2026-12-01T10:00:00, got {text!r}") from None
    return (read if read.tzinfo else read.replace(tzinfo=UTC)).timestamp()


def rotated(path: str) -> list[str]:
    """The files of a rotated set, oldest first."""
    place = Path(path)
    form = re.compile(re.escape(place.name) + r"\.(\d+)(\.gz)?")
    found = [(int(m[1]), p) for p in place.parent.iterdir() if (m := form.fullmatch(p.name))]
    return [*(str(p) for _, p in sorted(found, reverse=True)), path]


def chunks(path: str, follow: bool = False) -> Iterator[bytes]:
    """The bytes of a file, unpacked. Raises OSError."""
    with open(path, "rb") if path != "-" else os.fdopen(os.dup(0), "rb") as file:
        first = file.read(CHUNK)
        if first[:2] == GZIP:
            yield from unpacked(file, first, path)
            return
        if first:
            yield first
        while data := file.read(CHUNK):
            yield data
        if not follow:
            return
        yield from followed(path, file)


def unpacked(file: BinaryIO, first: bytes, path: str) -> Iterator[bytes]:
    """The contents of a gzip file; one that is cut off gives what there is, and a line on standard error."""
    data, member = first, zlib.decompressobj(GZIP_ONLY)
    while data:
        try:
            yield member.decompress(data, CHUNK)
        except zlib.error as error:
            print(f"coralvale: {path}: {error}", file=sys.stderr)
            return
        if member.eof:  # rotated files are sometimes put together from several
            data, member = member.unused_data or file.read(CHUNK), zlib.decompressobj(GZIP_ONLY)
        else:
            data = member.unconsumed_tail or file.read(CHUNK)
            if not data:
                print(f"coralvale: {path}: the compressed data is cut off", file=sys.stderr)


def followed(path: str, file: BinaryIO) -> Iterator[bytes]:
    """What a file grows by; where another has taken its place (a rotation), that one from its beginning."""
    opened = file
    while True:
        if data := opened.read(CHUNK):
            yield data
            continue
        yield b""  # time to show what has been found so far
        time.sleep(POLL)
        try:
            now, there = os.stat(path), os.fstat(opened.fileno())
        except FileNotFoundError:
            continue
        if (now.st_ino, now.st_dev) != (there.st_ino, there.st_dev) or now.st_size < opened.tell():
            if data := opened.read(CHUNK):  # the last of the old one
                yield data
            if opened is not file:
                opened.close()
            opened = open(path, "rb")  # noqa: SIM115


def messages(paths: list[str], follow: bool) -> Iterator[bytes]:
    for path in paths:
        splitter = Splitter()
        for data in chunks(path, follow and path == paths[-1]):
            yield from splitter.feed(data)
            if follow and not data:
                sys.stdout.flush()
        yield from splitter.end()


def line(row: Row) -> str:
    """An answer for people."""
    told = row.told()
    who = told["station"] or told["stationId"] or "(no station)"
    sent = ", ".join(
        f"{a['node']}{'/' + a['zone'] if a['zone'] else ''}: {a['outcome']} in {1000 * a['delay']:.0f} ms"
        + ("" if a["mayHaveRun"] else ", did not run")
        for a in told["attempts"]
    )
    cut = f"{told['attemptsCut']} earlier; " if told["attemptsCut"] else ""
    why = f" ({told['reason']})" if told["reason"] else ""
    times = f" x{told['factor']}" if told["factor"] > 1 else ""
    return (
        f"{told['at']}  {told['request'] or '-'}  {who}  {told['class'] or '-'}  "
        f"{told['outcome']} {told['status']}{why}{times}  [{cut}{sent or 'not sent'}]  by {told['gateway']}"
    )


def run(asked: argparse.Namespace) -> int:
    """Exit codes: 0 something was found, 1 nothing was, 2 a wrong call or a file that cannot be read."""
    try:
        query = Query(
            asked.station, getattr(asked, "class"), asked.request, asked.node, asked.outcome,
            moment("since", asked.since, float("-inf")), moment("until", asked.until, float("inf")), asked.bad,
        )  # fmt: skip
        if asked.word == "summary" and not asked.every > 0:
            raise ValueError("--every: expected a number above 0")
        paths = [
            p for path in asked.file for p in (rotated(path) if asked.rotated and path != "-" else [path])
        ]
        return _run(asked, query, paths)
    except OSError as error:
        print(f"coralvale: {error.filename or ''}: {error.strerror}", file=sys.stderr)
        return 2
    except ValueError as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0


def _run(asked: argparse.Namespace, query: Query, paths: list[str]) -> int:
    found, bad, count = Found(), list[tuple[bytes, str]](), 0
    follow = asked.word == "search" and asked.follow
    summary = Summary(getattr(asked, "every", 60.0))
    for row in search(messages(paths, follow), query, found, bad if asked.bad else None):
        count += 1
        if asked.word == "summary":
            summary.add(row)
        else:
            print(json.dumps(row.told()) if asked.json else line(row))
        _show(bad)
    _show(bad)
    if asked.word == "summary":
        _table(summary.told(), asked.json)
    told = {"answers": count, "messages": found.messages, "bad": found.bad, "dropped": dict(found.dropped)}
    if asked.json:
        print(json.dumps({"end": told}))
    else:
        lost = ", ".join(f"{n} {name}" for name, n in sorted(found.dropped.items()))
        print(
            f"{count} answers among {found.messages} messages; {found.bad} lines are none"
            + (f"; gateways had to drop: {lost}" if lost else ""),
            file=sys.stderr,
        )
    return 0 if count else 1


def _show(bad: list[tuple[bytes, str]]) -> None:
    """Shows bad lines as they come, so many at most."""
    for data, why in bad[:SHOWN]:
        print(f"bad: {why}: {data[:200]!r}", file=sys.stderr)
    bad.clear()


def _table(rows: list[Record], as_json: bool) -> None:
    if as_json:
        for row in rows:
            print(json.dumps(row))
        return
    names = sorted({name for row in rows for name in row} - {"at", "station"})
    print(f"{'from':29s} {'station':24s}" + "".join(f" {name:>9s}" for name in names))
    for row in rows:
        cells = "".join(f" {row.get(name, 0):9d}" for name in names)
        print(f"{row['at']:29s} {row['station'][:24]:24s}{cells}")
