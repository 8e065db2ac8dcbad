"""The book on disk: a snapshot, and records after it. The plan service's is the book; a gateway's is its copy.

  snapshot              one frame: the book's id, and `Book.snapshot`
  log.SERIAL.NUMBER     frames of a JSON list each: entries from SERIAL on; the higher NUMBER, the newer

A record that could not be written whole, or not made durable, was not acknowledged and is not in the book: the
next one begins a file of its own, under the same serial, and what an older file holds from that serial on does
not count. A torn end of a file is such a record. A hole is damage: it is told, never skipped.
"""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Iterable

from coralvale.disk import Appended, Files, frame, payload_at
from coralvale.plans.book import Book
from coralvale.plans.model import Entry, PlansError, entry_of, written

SNAPSHOT, SPARE = "snapshot", "snapshot.new"
LOG = re.compile(r"log\.(\d{12})\.(\d{6})")
MOST = 256 * 1024 * 1024  # bytes of a frame
LONG = 20_000  # records after which the log is worth a new snapshot


class Store:
    """One folder; `sync`: what `append` has written is durable. Raises OSError as the folder does."""

    def __init__(self, folder: Files, sync: bool = True) -> None:
        self.folder, self.sync = folder, sync
        self.id = ""
        self.file: Appended | None = None
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
        data = self.folder.read(SNAPSHOT)
        found = payload_at(data, 0, MOST)
        if found is None:
            raise PlansError(f"{SNAPSHOT}: damaged")
        try:
            told = json.loads(found[0])
            self.id, book = str(told["id"]), Book.restore(told["book"])
        except (ValueError, KeyError, TypeError) as error:
            raise PlansError(f"{SNAPSHOT}: {error}") from None
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

    def _entries(self, name: str) -> list[Entry]:
        data, at, entries = self.folder.read(name), 0, list[Entry]()
        while (found := payload_at(data, at, MOST)) is not None:
            payload, at = found
            entries.append(entry_of(json.loads(payload)))
        return entries

    def begin(self, book: Book, id_: str) -> None:
        """Writes a book whole; what was there before is of no more use."""
        old = [name for name in self.folder.names() if LOG.fullmatch(name)]
        payload = json.dumps({"id": id_, "book": book.snapshot()}, separators=(",", ":")).encode()
        file = self.folder.create(SPARE)
        try:
            file.write(frame(payload))
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
            self.file.write(b"".join(map(frame, payloads)))
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
