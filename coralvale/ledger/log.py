"""A ledger's records on disk. No clock; files are an argument (`Files` below, or faulty ones in tests).

- Segments are named `ledger-00000001` and so on. Each starts with a snapshot of the book, followed by the
  records since, in the format of `coralvale.disk`; a start reads only the newest complete segment.
- Writing: a segment is allocated at its full size and mapped into memory. A record survives the process
  as soon as its bytes are copied, and no write waits for the disk. `sync` brings the records to the disk,
  in a thread.
- A kill during a copy leaves a torn tail without a valid record; the next start begins a new segment.
- Damage, an invalid record followed by a valid one: the start is refused with the byte offset, since a
  ledger with missing records must be inspected.
- Old segments are kept for audits, at most MAX_SEGMENTS; the newest and the one before it are never
  deleted.
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
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
MAX_SEGMENTS = 100  # that are kept
MIN_FREE_BYTES = 4096  # left in a segment; with less, `make_room` starts the next one


class MappedFile(Protocol):
    """A memory-mapped file of a fixed size."""

    def write_at(self, offset: int, data: bytes) -> None: ...

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """The directory operations that a ledger needs. Every call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def allocate(self, name: str, size: int) -> MappedFile: ...

    def remove(self, name: str) -> None: ...


class MappedSegment:
    """A new file of a fixed size, mapped into memory. Raises OSError if the disk has no room for it."""

    def __init__(self, path: Path, size: int) -> None:
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, size)  # a full disk is reported here, not by a signal at a later write
            self.map = mmap.mmap(fd, size)
        except OSError:
            os.close(fd)
            path.unlink(missing_ok=True)
            raise
        self.fd = fd

    def write_at(self, offset: int, data: bytes) -> None:
        self.map[offset : offset + len(data)] = data

    def sync(self) -> None:
        # msync would hold the interpreter until it ends; on Linux fdatasync writes mapped pages as well.
        os.fdatasync(self.fd)

    def close(self) -> None:
        self.map.close()
        os.close(self.fd)


class Folder(disk.Folder):
    """A ledger's directory, locked by one process. Raises LedgerError if another has locked it, OSError."""

    def __init__(self, path: str, lock: bool = True) -> None:
        try:
            super().__init__(path, lock)
        except disk.FolderInUseError:
            raise LedgerError(f"{path}: another process has this ledger") from None

    def allocate(self, name: str, size: int) -> MappedSegment:
        """Creates and maps a file of `size` bytes."""
        return MappedSegment(self.path / name, size)


def segment_names(names: Sequence[str]) -> list[str]:
    """The names among `names` that are segments, oldest first."""
    return sorted(n for n in names if n.startswith(PREFIX) and n[len(PREFIX) :].isdecimal())


def read_segment(name: str, data: bytes) -> tuple[dict[str, Any], list[Record]] | None:
    """A segment's snapshot and records; None if its snapshot is incomplete. Raises LedgerError if damaged."""
    if not data.startswith(HEADER):
        if not HEADER.startswith(data[: len(HEADER)].rstrip(b"\0")):
            raise LedgerError(f"{name}: no segment of a ledger that this program knows")
        return None
    first = disk.read_record(data, len(HEADER), MAX_SNAPSHOT_BYTES)
    if first is None:
        if disk.find_record(data, len(HEADER), MAX_SNAPSHOT_BYTES) >= 0:
            raise LedgerError(f"{name}: damaged at byte {len(HEADER)}")
        return None
    payload, offset = first
    found: list[Record] = []
    while (row := disk.read_record(data, offset, MAX_SNAPSHOT_BYTES)) is not None:
        found.append(decode(row[0]))
        offset = row[1]
    if data[offset : offset + 1].strip(b"\0") and disk.find_record(data, offset, MAX_SNAPSHOT_BYTES) >= 0:
        raise LedgerError(f"{name}: damaged at byte {offset}")
    if (
        not data[offset : offset + 1].strip(b"\0")
        and (next_record := disk.find_record(data, offset, MAX_SNAPSHOT_BYTES)) >= 0
    ):
        raise LedgerError(f"{name}: nothing at byte {offset}, but a record at byte {next_record}")
    return json.loads(payload), found


def load(files: Files, terms: Terms | None = None) -> tuple[str, Book] | None:
    """The name and the book of the ledger in `files`; None if there is none. Raises LedgerError, OSError.

    Without `terms`, its own period is used, and every period that is over is due for sealing.
    """
    for name in reversed(segment_names(files.names())):
        if (read := read_segment(name, files.read(name))) is None:
            continue  # the process ended before it was complete: the previous segment has all records
        snapshot, records = read
        period = float(snapshot["period"])
        if terms and terms.period != period:
            raise LedgerError(f"{name}: its period is {period:g} s, not {terms.period:g}")
        book = Book.restore(terms or Terms(period, 0.0, 0.0, 0.0), snapshot["book"])
        for index, record in enumerate(records):
            try:
                book.apply(record)
            except LedgerError as error:
                raise LedgerError(f"{name}: record {index}: {error}") from None
        return str(snapshot["ledger"]), book
    return None


class Log:
    """A ledger opened for writing. `make_name` names a new ledger; its period can't be changed later.

    Raises LedgerError, or OSError where the files do. An OSError of `write` leaves book and disk unchanged.
    """

    def __init__(
        self, files: Files, terms: Terms, make_name: Callable[[], str], segment_bytes: int = 8 << 20
    ) -> None:
        self.files, self.segment_bytes = files, segment_bytes
        names = segment_names(files.names())
        self.segment_number = int(names[-1][len(PREFIX) :]) if names else 0
        known = load(files, terms)
        self.ledger, self.book = known if known else (make_name(), Book(terms))
        self.current: MappedFile | None = None
        self.unsynced: list[MappedFile] = []  # previous segments that are still to be synced
        self.offset = self.size = 0
        self._start_segment()

    def _start_segment(self) -> None:
        """Starts a new segment with a snapshot of the book."""
        state = {"ledger": self.ledger, "period": self.book.terms.period, "book": self.book.snapshot()}
        snapshot = json.dumps(state, separators=(",", ":"))
        data = disk.encode_record(snapshot.encode())
        size = max(self.segment_bytes, 2 * (len(HEADER) + len(data)))
        segment_number = self.segment_number + 1
        current = self.files.allocate(f"{PREFIX}{segment_number:08d}", size)
        current.write_at(len(HEADER), data)
        current.write_at(0, HEADER)  # written last: a segment without it is ignored
        if self.current:
            self.unsynced.append(self.current)
        self.current, self.segment_number, self.size = current, segment_number, size
        self.offset = len(HEADER) + len(data)

    def write(self, records: Sequence[Record]) -> None:
        """Writes records and applies them to the book."""
        for record in records:
            data = disk.encode_record(encode(record))
            if self.offset + len(data) > self.size:
                self._start_segment()
            assert self.current
            self.current.write_at(self.offset, data)
            self.offset += len(data)
            self.book.apply(record)

    def make_room(self) -> None:
        """Starts the next segment early if this one is nearly full, to notice a full disk in time."""
        if self.offset + MIN_FREE_BYTES > self.size:
            self._start_segment()

    def sync(self) -> None:
        """Syncs all records to the disk and deletes the oldest segments. May be called in another thread."""
        current, unsynced = self.current, self.unsynced[:]
        for one in unsynced:
            one.sync()
        if current:
            current.sync()
        for one in unsynced:  # only now is the newest segment durable
            one.close()
            self.unsynced.remove(one)
        names = segment_names(self.files.names())
        for name in names[: max(0, len(names) - MAX_SEGMENTS)]:
            self.files.remove(name)

    def close(self) -> None:
        """Syncs and closes the current segment."""
        self.sync()
        if self.current:
            self.current.close()
            self.current = None
