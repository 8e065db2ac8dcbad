"""The journal: makes records durable in batches, copies open intents to each new segment. No own I/O.

An attempt is open while it has an intent and no recorded end. Rules:

  1. The callback of an intent is called with True only after a successful sync that came after the write
     of the intent.
  2. A segment is written under the name `N.new`, begins with all open intents and a checkpoint, is
     synced, and only then renamed to `N.attempts`. So a segment with its final name is complete up to its
     checkpoint, and recovery reads only the newest one. An old segment is never written to again, even if
     its tail is torn.
  3. After a failed write or sync, nothing written to the segment since its last successful sync is relied
     on: the next batch starts a new segment, which contains all open intents again (a page whose sync
     failed may be lost although a later sync succeeds).
  4. An intent that is recovered without an end stays open in every later segment for `retention_s`
     seconds, since the attempt may have run. Only an `Ended` record closes it.
  5. Segments are deleted by age and total size, oldest first, never the newest.

A crash between any two operations leaves only the files of rule 2: an `N.new` that was not renamed is
removed at the next start.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from coralvale.attempts.frames import encode, header, scan_segment
from coralvale.attempts.model import (
    Checkpoint,
    Ended,
    File,
    Files,
    Intent,
    JournalError,
    Record,
)

SUFFIX, UNFINISHED_SUFFIX = ".attempts", ".new"
DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024  # size from which the next batch starts a new segment
MAX_PENDING_BYTES = 16 * 1024 * 1024  # queued for writing; beyond it records are rejected
MAX_OPEN_ATTEMPTS = 100_000  # beyond it intents are rejected
DEFAULT_RETENTION_S = 7 * 24 * 3600.0
AttemptKey = tuple[str, int]  # request id, attempt number
DurabilityCallback = Callable[[bool], None]


def segment_names(names: list[str]) -> list[str]:
    """The names among `names` that are segments, oldest first."""
    return sorted(name for name in names if name.endswith(SUFFIX) and name[: -len(SUFFIX)].isdecimal())


@dataclass
class Recovered:
    """What recovery found."""

    unresolved: list[Intent] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)  # one line each, with file name and position
    record_count: int = 0  # of records that were read


class Journal:
    """One gateway's journal in `files`. Not thread-safe, but `enqueue` may come from another thread.

    Raises JournalError if a segment has a newer format, and OSError where the files do.
    """

    def __init__(
        self,
        files: Files,
        now: float,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        retention_s: float = DEFAULT_RETENTION_S,
        max_total_bytes: int = 1 << 30,
    ) -> None:
        self.files, self.segment_bytes, self.retention_s, self.max_total_bytes = (
            files,
            segment_bytes,
            retention_s,
            max_total_bytes,
        )
        self.open: dict[AttemptKey, Intent] = {}
        self.pending: list[tuple[Record, DurabilityCallback | None]] = []
        self.pending_bytes = 0  # estimated size of `pending`
        self.file: File | None = None
        self.size = 0
        self.sizes: dict[str, tuple[int, float]] = {}  # per segment: bytes, time of its last write
        self.recovered = self._recover(now)
        self._start_segment(now)

    # Recovery

    def _recover(self, now: float) -> Recovered:
        """Reads segments from the newest back to the last checkpoint, and restores the open intents."""
        found, names = Recovered(), self.files.names()
        for name in names:
            if name.endswith(UNFINISHED_SUFFIX):
                self.files.remove(name)
        segments = segment_names(names)
        self.number = max((int(name[: -len(SUFFIX)]) for name in segments), default=0)
        for name in segments:
            self.sizes[name] = (self.files.size(name), now)
        closed: set[AttemptKey] = set()  # attempts that ended in segments newer than the one being read
        for name in reversed(segments):  # newest first, until one has a checkpoint
            try:
                read = scan_segment(name, self.files.read(name))
            except JournalError as error:
                if "format" in str(error):
                    raise
                found.problems.append(str(error))
                continue
            found.problems += [f"{name}: damaged from byte {a} to {b}, skipped" for a, b in read.damaged]
            if read.torn_bytes:
                found.problems.append(f"{name}: a torn tail of {read.torn_bytes} bytes, cut")
            found.record_count += len(read.records)
            older: dict[AttemptKey, Intent] = {}
            for record in read.records:
                if isinstance(record, Intent):
                    older[record.request, record.attempt] = record
                elif isinstance(record, Ended):
                    older.pop((record.request, record.attempt), None)
            self.open = {key: intent for key, intent in older.items() if key not in closed} | self.open
            if read.checkpoint_index >= 0:
                break
            closed |= {(r.request, r.attempt) for r in read.records if isinstance(r, Ended)}
        found.unresolved = list(self.open.values())
        return found

    # Records

    def enqueue(self, record: Record, on_durable: DurabilityCallback | None = None) -> bool:
        """Queues a record for the next batch; `flush` calls `on_durable` with whether it was made durable.

        False if the queue or the set of open attempts is full; then the record is not queued.
        """
        if self.pending_bytes > MAX_PENDING_BYTES or (
            isinstance(record, Intent) and len(self.open) >= MAX_OPEN_ATTEMPTS
        ):
            return False
        self.pending.append((record, on_durable))
        self.pending_bytes += 256
        return True

    def flush(self, now: float) -> bool:
        """Makes all queued records durable as one batch and calls their callbacks. False if the disk failed."""
        batch, self.pending, self.pending_bytes = self.pending, [], 0
        if not batch:
            return True
        for record, _ in batch:
            if isinstance(record, Intent):
                self.open[record.request, record.attempt] = record
            elif isinstance(record, Ended):
                self.open.pop((record.request, record.attempt), None)
        try:
            if self.file is None or self.size >= self.segment_bytes:
                self._start_segment(now)
            data = b"".join(encode(record) for record, _ in batch)
            assert self.file is not None
            self.file.write(data)
            self.file.sync()
            self.size += len(data)
            self.sizes[self._segment_name()] = self.size, now
        except OSError:
            self._abandon_segment()
            for record, on_durable in batch:
                if not isinstance(record, Intent):  # the next segment copies open intents anyway
                    self.pending.append((record, None))
                if on_durable:
                    on_durable(False)
            self.pending_bytes = 256 * len(self.pending)
            return False
        for _, on_durable in batch:
            if on_durable:
                on_durable(True)
        return True

    def _abandon_segment(self) -> None:
        """Closes the current segment; the next batch starts a new one."""
        if self.file is not None:
            with contextlib.suppress(OSError):
                self.file.close()
        self.file = None

    # Segments

    def _segment_name(self) -> str:
        return f"{self.number:010d}{SUFFIX}"

    def _start_segment(self, now: float) -> None:
        """Starts a new segment that begins with all open intents and a checkpoint."""
        self._abandon_segment()
        number = self.number + 1
        name = f"{number:010d}"
        self.open = {key: intent for key, intent in self.open.items() if now - intent.at < self.retention_s}
        carried = list(self.open.values())
        data = header(number) + b"".join(map(encode, carried)) + encode(Checkpoint(now, len(carried)))
        file = self.files.create(name + UNFINISHED_SUFFIX)
        try:
            file.write(data)
            file.sync()
            self.files.rename(name + UNFINISHED_SUFFIX, name + SUFFIX)
        except OSError:
            file.close()
            raise
        self.file, self.number, self.size = file, number, len(data)
        self.sizes[self._segment_name()] = self.size, now
        self._delete_old_segments(now)

    def _delete_old_segments(self, now: float) -> None:
        """Removes segments past their retention time, and the oldest while their total size is too large."""
        for name in segment_names(list(self.sizes))[:-1]:
            size, newest = self.sizes[name]
            total = sum(size for size, _ in self.sizes.values())
            if now - newest <= self.retention_s and total <= self.max_total_bytes:
                return
            try:
                self.files.remove(name)
            except OSError:
                return
            del self.sizes[name]
