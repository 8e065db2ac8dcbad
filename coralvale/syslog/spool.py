"""Messages on the disk, in the order in which they came, until they have arrived. No clock, no thread of its own;
files are an argument (`coralvale.disk.Folder`, or a faulty one in tests), and every call may raise OSError.

  files      `spool-00000001` and so on, each a header and frames (`coralvale.disk`), a message each.
             `done` says how far they are done with: segment and byte. It is replaced whole, by a rename.
  a kill     what was appended is there: the kernel has it. It is not synced: a power cut takes the last seconds.
             `done` may be older than the truth: what lies between is sent again, with the same sequence ids.
  a start    begins a new segment; a torn end is never written on, and a damaged message is skipped and counted.
  the bound  past `most` bytes nothing more is taken, past 80% no refusals and failures, past 60% no refusals, so
             that a flood of refusals leaves room for what was served. What is not taken is told as a gap.
  segments   that are done with are removed.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Sequence

from coralvale.disk import AppendableFile, Files, encode_record, find_record, read_record

PREFIX, DONE = "spool-", "done"
ROOM = (0.6, 0.8, 1.0)  # share of the bound up to which each rank is taken
MOST = 64 * 1024  # bytes of a message
HEADER = b"coralvale spool 1\n"


class Spool:
    """The spool of one delivery. Raises OSError for a folder that cannot be read, ValueError for a bad bound."""

    def __init__(self, files: Files, most: int, segment: int = 1 << 20) -> None:
        if segment < 4096 or most < 2 * segment:
            raise ValueError(f"a spool of {most} bytes in segments of {segment}")
        self.files, self.most, self.segment = files, most, segment
        self.sizes: dict[str, int] = {n: files.size(n) for n in sorted(files.names()) if n.startswith(PREFIX)}
        self.damaged = 0  # messages or stretches that were skipped
        self.open: AppendableFile | None = None
        self.open_name = ""
        self.serial = int(next(reversed(self.sizes), PREFIX + "0")[len(PREFIX) :])
        self.done = self._read_done()
        self.at = self.done  # where the next fetch begins
        self.fetched: deque[tuple[str, int]] = deque()  # where each message ends that is out
        self._sweep()

    @property
    def size(self) -> int:
        return sum(self.sizes.values())

    def _read_done(self) -> tuple[str, int]:
        begin = (next(iter(self.sizes), ""), len(HEADER))
        try:
            name, place = json.loads(self.files.read(DONE))
            return (str(name), int(place)) if name in self.sizes else begin
        except (OSError, ValueError, TypeError):
            return begin  # all that is there is sent again

    def append(self, messages: Sequence[tuple[int, int, bytes]]) -> frozenset[int]:
        """Takes messages: rank, sequence id, bytes. Returns the ids of those that the bound left out.

        Raises OSError if the disk does not take all: then none counts as taken, and what part of them is on the
        disk is sent all the same, so that some may arrive twice.
        """
        parts, left_out, size = list[bytes](), set[int](), self.size
        for rank, sequence, data in messages:
            if size + len(data) + 32 > self.most * ROOM[rank] or len(data) > MOST:
                left_out.add(sequence)
                continue
            parts.append(encode_record(data))
            size += len(parts[-1])
        if parts:
            self._write(b"".join(parts))
        return frozenset(left_out)

    def _write(self, data: bytes) -> None:
        if self.open is None or self.sizes[self.open_name] >= self.segment:
            self._begin()
        assert self.open is not None
        try:
            self.open.write(data)
        except OSError:
            # How much of it is there is not known: nothing is ever written behind it.
            self._end_segment()
            raise
        self.sizes[self.open_name] += len(data)

    def _begin(self) -> None:
        self._end_segment()
        self.serial += 1
        name = f"{PREFIX}{self.serial:08d}"
        opened = self.files.create(name)
        self.sizes[name] = 0  # known from now on, so that it is removed in its time even if the write fails
        self.open, self.open_name = opened, name
        try:
            opened.write(HEADER)
        except OSError:
            self._end_segment()
            raise
        self.sizes[name] = len(HEADER)

    def _end_segment(self) -> None:
        if self.open is not None:
            opened, self.open = self.open, None
            opened.close()
            self.sizes[self.open_name] = self.files.size(self.open_name)

    def fetch(self, size: int) -> tuple[bytes, ...]:
        """The next messages, of about `size` bytes; none: no more are there."""
        found, got = list[bytes](), 0
        name, place = self.at
        if name not in self.sizes:
            name, place = next(iter(self.sizes), ""), len(HEADER)
        while name and got < size:
            data = self.files.read_from(name, place, max(size, 2 * MOST))
            before = got
            got, place = self._take(name, place, data, size, got, found)
            if got == before and place + len(data) < self.sizes[name]:  # a long stretch that is damaged
                data = self.files.read_from(name, place, self.sizes[name])
                got, place = self._take(name, place, data, size, got, found)
            following = self._after(name)
            # The end of a segment that is written to is not the end of it.
            if got >= size or (name == self.open_name and self.open) or not following:
                break
            if place < self.sizes[name]:
                if found:  # more of this segment, in the next fetch
                    break
                self.damaged += 1  # a torn end
            name, place = following, len(HEADER)
        self.at = name, place
        return tuple(found)

    def _take(
        self, name: str, place: int, data: bytes, size: int, got: int, found: list[bytes]
    ) -> tuple[int, int]:
        at = 0
        while at < len(data) and got < size:
            read = read_record(data, at, MOST)
            if read is None:
                after = find_record(data, at, MOST)
                if after < 0:
                    break
                self.damaged += 1
                at = after
                continue
            payload, at = read
            found.append(payload)
            got += len(payload)
            self.fetched.append((name, place + at))
        return got, place + at

    def _after(self, name: str) -> str:
        return next((other for other in self.sizes if other > name), "")

    def advance(self, count: int) -> None:
        """The oldest `count` messages that were fetched are done with."""
        for _ in range(count):
            self.done = self.fetched.popleft()
        self._sweep()
        self.files.replace(DONE, json.dumps(self.done).encode())

    def _sweep(self) -> None:
        """Removes the segments before the one that holds the oldest message that is not done with."""
        for name in [n for n in self.sizes if n < self.done[0]]:
            self.files.remove(name)
            del self.sizes[name]

    def rewind(self) -> None:
        """What was fetched and is not done with is fetched again."""
        self.fetched.clear()
        self.at = self.done

    def close(self) -> None:
        self._end_segment()
