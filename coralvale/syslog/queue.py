"""What waits to be sent to one receiver: bounded in bytes, dropped by a rule, and its gaps told. No I/O.

  rule of dropping   when a message does not fit, the oldest go first of the lowest rank that is there: refusals
                     and denials (0), then failures and lost ones (1), then what was served (2). One that ranks
                     lower than all that waits is dropped itself. So a flood of refusals costs refusals.
  order              what is left goes out in the order in which it came.
  gap                ahead of the next message, or as soon as nothing is on its way, a message says how many of
                     each outcome were dropped since the last one that said so, and between which sequence ids.
                     It is made when the queue is read, so that it takes no room while there is none.
  in flight          what was read is kept until `sent`; after `back` (the connection was lost) it goes out again,
                     the same bytes with the same sequence id. A receiver can tell the second by that id.

Every message that was put is thus sent, waiting, or counted in a gap: `accounts` tells the three.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import Protocol

RANKS = {"refused": 0, "denied": 0, "failed": 1, "lost": 1, "served": 2}
OVERHEAD = 120  # bytes that a message takes beside its own


class Told(Protocol):
    """A message that is not encoded yet: bytes that it takes in memory, and when it is sent, about."""

    size: int
    length: int

    def encode(self) -> bytes: ...


class Queued:
    """A message and what the rule needs of it. It is encoded when it is sent.

    `length`: bytes that it takes when it is sent, at most; `size`: those that it takes in the queue.
    """

    __slots__ = ("data", "length", "outcome", "rank", "sequence", "size")

    def __init__(self, sequence: int, outcome: str, data: bytes | Told) -> None:
        self.sequence, self.outcome, self.data = sequence, outcome, data
        if isinstance(data, bytes):
            self.length, self.size = len(data), len(data) + OVERHEAD
        else:
            self.length, self.size = data.length, data.size
        self.rank = RANKS.get(outcome, 0)


@dataclass(slots=True)
class Gap:
    """What was dropped since the last gap that was told."""

    counts: Counter[str] = field(default_factory=Counter)
    first: int = 0
    last: int = 0

    def note(self, message: Queued) -> None:
        self.first = min(self.first, message.sequence) if self.counts else message.sequence
        self.last = max(self.last, message.sequence) if self.counts else message.sequence
        self.counts[message.outcome] += 1


class Queue:
    """Messages for one receiver, of at most `most` bytes together. Raises ValueError for too small a bound."""

    def __init__(self, most: int) -> None:
        if most < 4096:
            raise ValueError(f"a queue of {most} bytes, at least 4096")
        self.most, self.bytes = most, 0
        self.waiting = OrderedDict[int, Queued]()  # by sequence, in the order that they came
        self.ranks: tuple[OrderedDict[int, None], ...] = (OrderedDict(), OrderedDict(), OrderedDict())
        self.flying: deque[Queued] = deque()
        self.gap = Gap()
        self.dropped = self.done = 0

    @property
    def untold(self) -> bool:
        """Whether something was dropped of which no gap has told yet."""
        return bool(self.gap.counts)

    def put(self, message: Queued) -> bool:
        """Takes a message; whether it waits now. Sequence ids are new with every message."""
        rank = message.rank
        while self.bytes + message.size > self.most:
            lowest = next((r for r in range(rank + 1) if self.ranks[r]), None)
            if lowest is None:
                self._drop(message)
                return False
            oldest = next(iter(self.ranks[lowest]))
            self._drop(self._take(oldest))
        self.waiting[message.sequence] = message
        self.ranks[rank][message.sequence] = None
        self.bytes += message.size
        return True

    def _take(self, sequence: int) -> Queued:
        message = self.waiting.pop(sequence)
        del self.ranks[message.rank][sequence]
        self.bytes -= message.size
        return message

    def _drop(self, message: Queued) -> None:
        self.dropped += 1
        self.gap.note(message)

    def read(self, most: int) -> tuple[Gap | None, list[Queued]]:
        """The gap that is to be told, if any, and the next batch: `most` bytes at most, one message at least."""
        gap, batch, size = None, list[Queued](), 0
        if self.untold and (self.waiting or not self.flying):
            gap, self.gap = self.gap, Gap()
        while self.waiting:
            message = next(iter(self.waiting.values()))
            if batch and size + message.length > most:
                break
            self._take(message.sequence)
            self.bytes += message.size  # what flies takes its room still
            self.flying.append(message)
            batch.append(message)
            size += message.length
        return gap, batch

    def sent(self, count: int, dropped: frozenset[int] = frozenset()) -> None:
        """The oldest `count` messages in flight have gone, but for those of these sequence ids."""
        for _ in range(count):
            message = self.flying.popleft()
            self.bytes -= message.size
            if message.sequence in dropped:
                self._drop(message)
            else:
                self.done += 1

    def back(self, gap: Gap | None = None) -> None:
        """The connection was lost: what flies waits again, ahead of all else; an untold gap is told again."""
        flying, self.flying = list(self.flying), deque()
        rest = list(self.waiting.values())
        self.waiting.clear()
        for held in self.ranks:
            held.clear()
        self.bytes = 0
        for message in [*flying, *rest]:
            self.waiting[message.sequence] = message
            self.ranks[message.rank][message.sequence] = None
            self.bytes += message.size
        if gap:
            self.tell_again(gap)

    def tell_again(self, gap: Gap) -> None:
        """A gap that was read did not arrive: it is told again."""
        self.gap.first = min(gap.first, self.gap.first) if self.gap.counts else gap.first
        self.gap.last = max(gap.last, self.gap.last)
        self.gap.counts += gap.counts

    def accounts(self) -> tuple[int, int, int]:
        """Messages that have gone, that wait or fly, and that were dropped."""
        return self.done, len(self.waiting) + len(self.flying), self.dropped
