"""Who has read the book how far: the service's table of gateways. No I/O.

A gateway tells with each question up to which record it has applied the book; that is its acknowledgement of all
records up to there. Bound: `MOST` names; past that the one not heard for longest is forgotten.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MOST = 1000
GONE = 60.0  # s without a question after which a gateway that nobody expects is not waited for


@dataclass(slots=True)
class Reader:
    """One gateway: the newest record that it has applied, and when it was heard."""

    serial: int
    heard_at: float


class Readers:
    """`expected` are waited for, however long they are silent; others as long as they are heard."""

    def __init__(self, expected: tuple[str, ...] = ()) -> None:
        self.expected = expected
        self.seen: OrderedDict[str, Reader] = OrderedDict()

    def heard(self, now: float, name: str, serial: int) -> None:
        """A gateway asks for what comes after a record."""
        self.seen[name] = Reader(serial, now)
        self.seen.move_to_end(name)
        while len(self.seen) > MOST:
            self.seen.popitem(last=False)

    def waited_for(self, now: float) -> list[str]:
        """Names of all that should know of changes."""
        alive = [name for name, reader in self.seen.items() if now - reader.heard_at < GONE]
        return sorted({*self.expected, *alive})

    def missing(self, now: float, serial: int) -> list[str]:
        """Who has not applied a record yet, of all that should."""
        return [n for n in self.waited_for(now) if n not in self.seen or self.seen[n].serial < serial]
