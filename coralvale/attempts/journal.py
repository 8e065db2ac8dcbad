"""The journal: records in, batches made durable, what is open carried from segment to segment. No I/O of its own.

Rules:

  1. An intent is *told* (its waiter is called with True) only when a sync that came after its write has
     succeeded.
  2. A segment is written under the name `N.new`, begins with all that is open and a checkpoint, is synced, and
     only then renamed to `N.attempts`. So a segment that has its name is whole up to its checkpoint, and recovery
     reads the newest one alone. An old segment is never written to again, whatever its tail looks like.
  3. After a write or sync that failed nothing that the segment holds since its last good sync is relied on: the
     next batch begins a new segment, which carries all that is open anew (a page that failed to sync may be lost
     although a later sync succeeds).
  4. What is recovered with an intent and no end is open, and stays open in every later segment, for `keep`
     seconds: it may have run. Nobody but `Ended` closes it.
  5. Segments are retired by age and size, oldest first, never the newest.

Crashes between any two operations leave rule 2's files: a `N.new` that was not renamed is removed at the start.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from coralvale.attempts.frames import frame, header, scan
from coralvale.attempts.model import (
    Checkpoint,
    Ended,
    File,
    Files,
    Intent,
    JournalError,
    Record,
)

SUFFIX, NEW = ".attempts", ".new"
SEGMENT = 4 * 1024 * 1024  # bytes after which the next segment begins
WAITING = 16 * 1024 * 1024  # bytes that wait to be written, at most: past that nothing is taken
OPEN = 100_000  # attempts without an end, at most
KEEP = 7 * 24 * 3600.0  # s
Key = tuple[str, int]
Told = Callable[[bool], None]


def segment_names(names: list[str]) -> list[str]:
    """Names of segments, oldest first."""
    return sorted(name for name in names if name.endswith(SUFFIX) and name[: -len(SUFFIX)].isdecimal())


@dataclass
class Recovered:
    """What was found at the start."""

    unresolved: list[Intent] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)  # a line each, naming file and place
    read: int = 0  # records


class Journal:
    """One gateway's journal in `files`. Not for two threads at once, but for `put`, which may come from another.

    Raises JournalError if a segment is of a newer format, and OSError where the files do.
    """

    def __init__(
        self, files: Files, now: float, segment_bytes: int = SEGMENT, keep: float = KEEP, most: int = 1 << 30
    ) -> None:
        self.files, self.segment_bytes, self.keep, self.most = files, segment_bytes, keep, most
        self.open: dict[Key, Intent] = {}
        self.waiting: list[tuple[Record, Told | None]] = []
        self.bytes = 0  # that wait
        self.file: File | None = None
        self.size = 0
        self.sizes: dict[str, tuple[int, float]] = {}  # of segments: bytes, newest time
        self.recovered = self._recover(now)
        self._rotate(now)

    # At the start

    def _recover(self, now: float) -> Recovered:
        found, names = Recovered(), self.files.names()
        for name in names:
            if name.endswith(NEW):
                self.files.remove(name)
        told = segment_names(names)
        self.number = max((int(name[: -len(SUFFIX)]) for name in told), default=0)
        for name in told:
            self.sizes[name] = (self.files.size(name), now)
        closed: set[Key] = set()  # by what has been read already, which is newer
        for name in reversed(told):  # back to the newest checkpoint, then forward from there
            try:
                read = scan(name, self.files.read(name))
            except JournalError as error:
                if "format" in str(error):
                    raise
                found.problems.append(str(error))
                continue
            found.problems += [f"{name}: damaged from byte {a} to {b}, skipped" for a, b in read.damaged]
            if read.torn:
                found.problems.append(f"{name}: a torn tail of {read.torn} bytes, cut")
            found.read += len(read.records)
            older: dict[Key, Intent] = {}
            for record in read.records:
                if isinstance(record, Intent):
                    older[record.request, record.attempt] = record
                elif isinstance(record, Ended):
                    older.pop((record.request, record.attempt), None)
            self.open = {key: intent for key, intent in older.items() if key not in closed} | self.open
            if read.checkpoint >= 0:
                break
            closed |= {(r.request, r.attempt) for r in read.records if isinstance(r, Ended)}
        found.unresolved = list(self.open.values())
        return found

    # Records

    def enqueue(self, record: Record, told: Told | None = None) -> bool:
        """Takes a record for the next batch; False if too much waits already, and then nothing was taken."""
        if self.bytes > WAITING or (isinstance(record, Intent) and len(self.open) >= OPEN):
            return False
        self.waiting.append((record, told))
        self.bytes += 256
        return True

    def flush(self, now: float) -> bool:
        """Makes all that waits durable, as one batch; tells each waiter. False if the disk failed it."""
        batch, self.waiting, self.bytes = self.waiting, [], 0
        if not batch:
            return True
        for record, _ in batch:
            if isinstance(record, Intent):
                self.open[record.request, record.attempt] = record
            elif isinstance(record, Ended):
                self.open.pop((record.request, record.attempt), None)
        try:
            if self.file is None or self.size >= self.segment_bytes:
                self._rotate(now)
            data = b"".join(frame(record) for record, _ in batch)
            assert self.file is not None
            self.file.write(data)
            self.file.sync()
            self.size += len(data)
            self.sizes[self._name()] = self.size, now
        except OSError:
            self._distrust()
            for record, told in batch:
                if not isinstance(record, Intent):  # for the next segment; intents that are open are carried
                    self.waiting.append((record, None))
                if told:
                    told(False)
            self.bytes = 256 * len(self.waiting)
            return False
        for _, told in batch:
            if told:
                told(True)
        return True

    def _distrust(self) -> None:
        if self.file is not None:
            with contextlib.suppress(OSError):
                self.file.close()
        self.file = None

    # Segments

    def _name(self) -> str:
        return f"{self.number:010d}{SUFFIX}"

    def _rotate(self, now: float) -> None:
        """Begins a new segment with all that is open."""
        self._distrust()
        number = self.number + 1
        name = f"{number:010d}"
        self.open = {key: intent for key, intent in self.open.items() if now - intent.at < self.keep}
        carried = list(self.open.values())
        data = header(number) + b"".join(map(frame, carried)) + frame(Checkpoint(now, len(carried)))
        file = self.files.create(name + NEW)
        try:
            file.write(data)
            file.sync()
            self.files.rename(name + NEW, name + SUFFIX)
        except OSError:
            file.close()
            raise
        self.file, self.number, self.size = file, number, len(data)
        self.sizes[self._name()] = self.size, now
        self._retire(now)

    def _retire(self, now: float) -> None:
        """Removes segments that are too old, or the oldest while all together are too large."""
        for name in segment_names(list(self.sizes))[:-1]:
            size, newest = self.sizes[name]
            total = sum(size for size, _ in self.sizes.values())
            if now - newest <= self.keep and total <= self.most:
                return
            try:
                self.files.remove(name)
            except OSError:
                return
            del self.sizes[name]
