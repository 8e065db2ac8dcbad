"""The book on disk: a snapshot, and records after it. The plan service's is the book; a gateway's is its copy.

  snapshot              frames: a head (the book's id, its serial, how many entries), then entries of `Book.kept`,
                        then those by whose command a record was made
  log.SERIAL.NUMBER     frames of a JSON list each: entries from SERIAL on; the higher NUMBER, the newer

A record that could not be written whole, or not made durable, was not acknowledged and is not in the book: the
next one begins a file of its own, under the same serial, and what an older file holds from that serial on does
not count. A torn end of a file is such a record. A hole is damage: it is told, never skipped.
"""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Iterable, Iterator
from itertools import chain, islice
from typing import Any

from coralvale.disk import AppendableFile, Files, encode_record, read_record
from coralvale.plans.book import Book
from coralvale.plans.model import Entry, PlansError, entry_of, written

SNAPSHOT, SPARE = "snapshot", "snapshot.new"
LOG = re.compile(r"log\.(\d{12})\.(\d{6})")
MOST = 256 * 1024 * 1024  # bytes of a frame
ROWS = 100  # entries of a frame of the snapshot
LONG = 20_000  # records after which the log is worth a new snapshot


def frames(data: bytes) -> Iterator[Any]:
    """What the frames hold, up to the first that is not whole."""
    at = 0
    while (found := read_record(data, at, MOST)) is not None:
        payload, at = found
        yield json.loads(payload)


class Store:
    """One folder; `sync`: what `append` has written is durable. Raises OSError as the folder does."""

    def __init__(self, folder: Files, sync: bool = True) -> None:
        self.folder, self.sync = folder, sync
        self.id = ""
        self.file: AppendableFile | None = None
        self.number = self.length = 0

    def load(self) -> Book | None:
        """The book as it was written last; None if there is none. Raises PlansError if it is damaged."""
        names = self.folder.names()
        logs = sorted((int(m[2]), int(m[1]), m[0]) for m in map(LOG.fullmatch, names) if m)
        self.number = logs[-1][0] if logs else 0
        if SNAPSHOT not in names:
            if logs:
                raise PlansError(f"{SNAPSHOT}: missing, though there is {logs[0][2]}")
            return None
        book = self._snapshot()
        entries: dict[int, Entry] = {}
        for _, first, name in logs:
            for later in [serial for serial in entries if serial >= first]:
                del entries[later]
            entries.update((entry.serial, entry) for entry in self._entries(name))
        for serial in sorted(serial for serial in entries if serial > book.serial):
            try:
                book.apply(entries[serial])
            except PlansError as error:
                raise PlansError(f"damaged: {error}") from None
        self.length = len(entries)
        return book

    def _snapshot(self) -> Book:
        rows = list(frames(self.folder.read(SNAPSHOT)))
        try:
            head = rows[0]
            self.id, kept, recent = str(head["id"]), int(head["kept"]), int(head["recent"])
            entries = [entry_of(row) for some in rows[1:] for row in some]
            if len(entries) != kept + recent:
                raise PlansError("damaged")
            return Book.restore(entries[:kept], int(head["serial"]), entries[kept:])
        except (IndexError, KeyError, TypeError, ValueError) as error:
            why = "damaged" if isinstance(error, IndexError) else error
            raise PlansError(f"{SNAPSHOT}: {why}") from None

    def _entries(self, name: str) -> list[Entry]:
        return [entry_of(row) for row in frames(self.folder.read(name))]

    def begin(self, book: Book, id_: str) -> None:
        """Writes a book whole; what was there before is of no more use."""
        for _ in self.beginning(book, id_):
            pass

    def beginning(self, book: Book, id_: str) -> Iterator[None]:
        """The same bit by bit; the book may not change meanwhile."""
        old = [name for name in self.folder.names() if LOG.fullmatch(name)]
        kept, recent = list(book.kept()), list(book.recent.values())
        head = {"id": id_, "serial": book.serial, "kept": len(kept), "recent": len(recent)}
        file = self.folder.create(SPARE)
        try:
            file.write(encode_record(json.dumps(head).encode()))
            rows = chain(kept, recent)
            while some := [written(entry) for entry in islice(rows, ROWS)]:
                file.write(encode_record(json.dumps(some, separators=(",", ":")).encode()))
                yield
            if self.sync:
                file.sync()
        finally:
            file.close()
        self.folder.rename(SPARE, SNAPSHOT)
        self.id = id_
        self.close()
        for name in old:
            self.folder.remove(name)
        self.length = 0

    def append(self, entries: Iterable[Entry]) -> None:
        """Writes entries after all others. If it raises OSError, none of them counts."""
        rows = list(entries)
        try:
            if self.file is None:
                self.number += 1
                self.file = self.folder.create(f"log.{rows[0].serial:012}.{self.number:06}")
            payloads = [json.dumps(written(entry), separators=(",", ":")).encode() for entry in rows]
            self.file.write(b"".join(map(encode_record, payloads)))
            if self.sync:
                self.file.sync()
        except OSError:
            self.close()  # the next one begins a file of its own, which goes before this one
            raise
        self.length += len(rows)

    @property
    def long(self) -> bool:
        """Whether a new snapshot would be of use."""
        return self.length >= LONG

    def close(self) -> None:
        if self.file is not None:
            file, self.file = self.file, None
            with contextlib.suppress(OSError):
                file.close()
