"""For each drain: when it was told, when each stream was written, when each proxy acknowledged, who is late.

A drain belongs to the snapshot that first told it. A stream that was sent endpoints of that version or a later
one has been written; one that acknowledged such a version acts on it. Late is a stream that holds endpoints
and has not acknowledged within half the grace: by then an operator can still act before the grace is over.
"""

from __future__ import annotations

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
    named: set[int] = field(default_factory=set)  # streams that were named as late


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
        self.streams: dict[
            int, int
        ] = {}  # streams that hold endpoints, to the version that they acknowledged

    def told(self, now: float, host: str, version: int) -> None:
        self.records.append(Record(host, version, now, {stream: Seen() for stream in self.streams}))
        del self.records[:-KEPT]

    def opened(self, stream: int) -> None:
        """A stream has subscribed to endpoints. What it was not sent by then it gets with its first response."""
        if stream not in self.streams:
            self.streams[stream] = 0

    def written(self, now: float, stream: int, version: int) -> None:
        for record in self._open(stream, version):
            seen = record.streams[stream]
            seen.written_at = now if seen.written_at is None else seen.written_at

    def acked(self, now: float, stream: int, version: int) -> None:
        self.streams[stream] = max(version, self.streams.get(stream, 0))
        for record in self._open(stream, version):
            record.streams[stream].acked_at = now

    def refused(self, stream: int, version: int, error: str) -> None:
        for record in self._open(stream, version):
            record.streams[stream].refused = error

    def closed(self, stream: int) -> None:
        """A stream that has ended can no longer acknowledge; its proxy is told anew when it comes back."""
        self.streams.pop(stream, None)
        for record in self.records:
            record.streams.pop(stream, None)

    def _open(self, stream: int, version: int) -> list[Record]:
        return [
            r
            for r in self.records
            if r.version <= version and stream in r.streams and r.streams[stream].acked_at is None
        ]

    def late(self, now: float) -> list[Late]:
        """Streams that became late since the last call, each named once for each drain."""
        found = []
        for record in self.records:
            if now < record.told_at + self.grace / 2:
                continue
            for stream, seen in record.streams.items():
                if seen.acked_at is None and stream not in record.named:
                    record.named.add(stream)
                    found.append(Late(record.host, stream, record.told_at, why(seen)))
        return found

    def next_look(self) -> float | None:
        """When the next stream may become late; None if all have acknowledged or were named."""
        due = [
            r.told_at + self.grace / 2
            for r in self.records
            if any(s.acked_at is None and n not in r.named for n, s in r.streams.items())
        ]
        return min(due, default=None)

    def waiting(self) -> dict[int, list[str]]:
        """Streams that have not acknowledged some drain, to the hosts' names."""
        waiting: dict[int, list[str]] = {}
        for record in self.records:
            for stream, seen in record.streams.items():
                if seen.acked_at is None:
                    waiting.setdefault(stream, []).append(record.host)
        return waiting


def why(seen: Seen) -> str:
    """What an operator is told of a stream that is late."""
    if seen.refused:
        return f"it refused: {seen.refused}"
    if seen.written_at is None:
        return "it does not read: the drain could not be written yet"
    return "it was written and says nothing"
