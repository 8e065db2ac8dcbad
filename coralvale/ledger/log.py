"""A ledger's records on a disk. No clock; files are an argument (`Files` below, or faulty ones in tests).

- Segments, `ledger-00000001` and so on: each begins with a snapshot of the book and goes on with what happened
  since, in frames (`coralvale.disk`), so that the newest whole one is all that a start reads.
- Writing: a segment is allocated whole and mapped. A record is there as soon as its bytes are copied, whatever
  becomes of the process, and no call waits for the disk. `sync` brings it to the disk, in a thread.
- A kill in the middle of a copy leaves a torn end, which holds no whole record; the start begins a new segment.
- Damage, a record that is not whole and has a whole one behind it: the start is refused and names the byte, since
  a ledger with a hole in it must be looked at.
- Old segments are kept for audits, so many at most; never fewer than the newest and the one before it.
"""

from __future__ import annotations

import json
import mmap
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from coralvale import disk
from coralvale.ledger.book import Book, Terms
from coralvale.ledger.model import LedgerError, Record, decode, encode

PREFIX, HEADER = "ledger-", b"coralvale ledger 1\n"
MOST = 64 * 1024 * 1024  # bytes of a snapshot
KEEP = 100  # segments
RESERVE = 4096  # bytes


class Region(Protocol):
    """A file that is mapped."""

    def put(self, at: int, data: bytes) -> None: ...

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """What a ledger needs of a folder. Every call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def allocate(self, name: str, size: int) -> Region: ...

    def remove(self, name: str) -> None: ...


class Mapped:
    """A file of a fixed size, mapped."""

    def __init__(self, path: Path, size: int) -> None:
        number = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(number, 0, size)  # a full disk is told now, not by a signal at a later write
            self.map = mmap.mmap(number, size)
        except OSError:
            os.close(number)
            path.unlink(missing_ok=True)
            raise
        self.number = number

    def put(self, at: int, data: bytes) -> None:
        self.map[at : at + len(data)] = data

    def sync(self) -> None:
        # msync would keep the interpreter for as long as it takes; on Linux this brings mapped pages as well.
        os.fdatasync(self.number)

    def close(self) -> None:
        self.map.close()
        os.close(self.number)


class Folder(disk.Folder):
    """A ledger's directory, which one process has. Raises LedgerError if another has it, OSError."""

    def __init__(self, path: str, lock: bool = True) -> None:
        try:
            super().__init__(path, lock)
        except disk.FolderInUseError:
            raise LedgerError(f"{path}: another process has this ledger") from None

    def allocate(self, name: str, size: int) -> Mapped:
        return Mapped(self.path / name, size)


def segments(names: Sequence[str]) -> list[str]:
    """Names of segments, oldest first."""
    return sorted(n for n in names if n.startswith(PREFIX) and n[len(PREFIX) :].isdecimal())


def read_segment(name: str, data: bytes) -> tuple[dict[str, Any], list[Record]] | None:
    """A segment's snapshot and records; None if its snapshot is not whole. Raises LedgerError if damaged."""
    if not data.startswith(HEADER):
        if not HEADER.startswith(data[: len(HEADER)].rstrip(b"\0")):
            raise LedgerError(f"{name}: no segment of a ledger that this program knows")
        return None
    first = disk.read_record(data, len(HEADER), MOST)
    if first is None:
        if disk.find_record(data, len(HEADER), MOST) >= 0:
            raise LedgerError(f"{name}: damaged at byte {len(HEADER)}")
        return None
    payload, at = first
    found: list[Record] = []
    while (row := disk.read_record(data, at, MOST)) is not None:
        found.append(decode(row[0]))
        at = row[1]
    if data[at : at + 1].strip(b"\0") and disk.find_record(data, at, MOST) >= 0:
        raise LedgerError(f"{name}: damaged at byte {at}")
    if not data[at : at + 1].strip(b"\0") and (after := disk.find_record(data, at, MOST)) >= 0:
        raise LedgerError(f"{name}: nothing at byte {at}, but a record at byte {after}")
    return json.loads(payload), found


def load(files: Files, terms: Terms | None = None) -> tuple[str, Book] | None:
    """The name and the book of the ledger in `files`; None if there is none. Raises LedgerError, OSError.

    Without `terms` it is read by its own period, and all that is over is due.
    """
    for name in reversed(segments(files.names())):
        if (read := read_segment(name, files.read(name))) is None:
            continue  # the process was gone before it was whole: the one before it has all
        snapshot, records = read
        period = float(snapshot["period"])
        if terms and terms.period != period:
            raise LedgerError(f"{name}: its period is {period:g} s, not {terms.period:g}")
        book = Book.restore(terms or Terms(period, 0.0, 0.0, 0.0), snapshot["book"])
        for number, record in enumerate(records):
            try:
                book.apply(record)
            except LedgerError as error:
                raise LedgerError(f"{name}: record {number}: {error}") from None
        return str(snapshot["ledger"]), book
    return None


class Log:
    """A ledger that is written to. `new` makes the name of a ledger that begins here; its period is for good.

    Raises LedgerError, or OSError where the files do. An OSError of `write` leaves book and disk as they were.
    """

    def __init__(self, files: Files, terms: Terms, new: Callable[[], str], segment: int = 8 << 20) -> None:
        self.files, self.segment = files, segment
        names = segments(files.names())
        self.serial = int(names[-1][len(PREFIX) :]) if names else 0
        known = load(files, terms)
        self.ledger, self.book = known if known else (new(), Book(terms))
        self.region: Region | None = None
        self.old: list[Region] = []  # that are still to be synced
        self.at = self.size = 0
        self._begin()

    def _begin(self) -> None:
        """A new segment, with all that is so far."""
        state = {"ledger": self.ledger, "period": self.book.terms.period, "book": self.book.snapshot()}
        told = json.dumps(state, separators=(",", ":"))
        data = disk.encode_record(told.encode())
        size = max(self.segment, 2 * (len(HEADER) + len(data)))
        serial = self.serial + 1
        region = self.files.allocate(f"{PREFIX}{serial:08d}", size)
        region.put(len(HEADER), data)
        region.put(0, HEADER)  # last: without it the segment counts for nothing
        if self.region:
            self.old.append(self.region)
        self.region, self.serial, self.size = region, serial, size
        self.at = len(HEADER) + len(data)

    def write(self, records: Sequence[Record]) -> None:
        """Records what happened, and does it."""
        for record in records:
            data = disk.encode_record(encode(record))
            if self.at + len(data) > self.size:
                self._begin()
            assert self.region
            self.region.put(self.at, data)
            self.at += len(data)
            self.book.apply(record)

    def make_room(self) -> None:
        """Begins the next segment early where this one is nearly full, so that a full disk is seen in time."""
        if self.at + RESERVE > self.size:
            self._begin()

    def sync(self) -> None:
        """Brings all to the disk, and retires the oldest segments. May be called in another thread."""
        region, old = self.region, self.old[:]
        for one in old:
            one.sync()
        if region:
            region.sync()
        for one in old:  # only now is the newest segment sure to be there
            one.close()
            self.old.remove(one)
        names = segments(self.files.names())
        for name in names[: max(0, len(names) - KEEP)]:
            self.files.remove(name)

    def close(self) -> None:
        self.sync()
        if self.region:
            self.region.close()
            self.region = None
