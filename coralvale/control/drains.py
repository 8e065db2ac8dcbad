"""For each drain: when it was told, when each stream was written, when each proxy acknowledged, who is late.

A drain belongs to the snapshot that first told it. A stream that was sent endpoints of that version or a later
one has been written; one that acknowledged such a version acts on it. Late is a stream that holds endpoints
and has not acknowledged within half the grace: by then an operator can still act before the grace is over.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

KEPT = 256  # newest drains that are remembered; an older one is dropped, whoever has not acknowledged it


@dataclass(slots=True)
class Seen:
    """What one stream has seen of one drain; seconds of Unix time, None where it has not happened."""

    written_at: float | None = None
    acked_at: float | None = None
    refused: str = ""  # the proxy's own words, if it refused the endpoints that tell it


@dataclass(slots=True)
class Record:
    """One drain."""

    host: str
    version: int
    told_at: float
    streams: dict[int, Seen] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Late:
    """A stream that has not acknowledged a drain within half the grace; why, in words for an operator."""

    host: str
    stream: int
    told_at: float
    why: str


class Drains:
    """`grace` is the time in seconds after the notice in which a drained host may still get new work."""

    def __init__(self, grace: float) -> None:
        self.grace = grace
        self.records: list[Record] = []
        # Streams that hold endpoints, to the drains that they have not acknowledged: an ACK, of which there are
        # thousands a second, looks at these alone.
        self.streams: dict[int, list[Record]] = {}
        self.unlooked: deque[Record] = deque()  # drains whose late streams have not been named yet

    def told(self, now: float, host: str, version: int) -> None:
        record = Record(host, version, now, {stream: Seen() for stream in self.streams})
        self.records.append(record)
        self.unlooked.append(record)
        for waiting in self.streams.values():
            waiting.append(record)
            del waiting[:-KEPT]
        del self.records[:-KEPT]

    def opened(self, stream: int) -> None:
        """A stream has subscribed to endpoints: what was told before it gets with its first response."""
        self.streams.setdefault(stream, [])

    def written(self, now: float, stream: int, version: int) -> None:
        for record in self.streams.get(stream, ()):
            seen = record.streams[stream]
            if record.version <= version and seen.written_at is None:
                seen.written_at = now

    def acked(self, now: float, stream: int, version: int) -> None:
        if waiting := self.streams.get(stream):
            for record in waiting:
                if record.version <= version:
                    record.streams[stream].acked_at = now
            self.streams[stream] = [record for record in waiting if record.version > version]

    def refused(self, stream: int, version: int, error: str) -> None:
        for record in self.streams.get(stream, ()):
            if record.version <= version:
                record.streams[stream].refused = error

    def closed(self, stream: int) -> None:
        """A stream that has ended can no longer acknowledge; its proxy is told anew when it comes back."""
        for record in self.streams.pop(stream, ()):
            record.streams.pop(stream, None)

    def late(self, now: float) -> list[Late]:
        """Streams that have not acknowledged a drain by half its grace: looked for once for each drain."""
        found = []
        while self.unlooked and now >= self.unlooked[0].told_at + self.grace / 2:
            record = self.unlooked.popleft()
            found += [
                Late(record.host, stream, record.told_at, why(seen))
                for stream, seen in record.streams.items()
                if seen.acked_at is None
            ]
        return found

    def next_look(self) -> float | None:
        """When streams may become late next; None if no drain is that young."""
        return self.unlooked[0].told_at + self.grace / 2 if self.unlooked else None

    def waiting(self) -> dict[int, list[str]]:
        """Streams that have not acknowledged some drain, to the hosts' names."""
        return {stream: [r.host for r in waiting] for stream, waiting in self.streams.items() if waiting}


def why(seen: Seen) -> str:
    """What an operator is told of a stream that is late."""
    if seen.refused:
        return f"it refused: {seen.refused}"
    if seen.written_at is None:
        return "it does not read: the drain could not be written yet"
    return "it was written and says nothing"
