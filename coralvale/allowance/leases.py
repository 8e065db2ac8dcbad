"""Ceilings shared by several control services: how much of one each may promise to its proxies.

The same `Escrow` as on the gateways, with two differences: what is let in is promised for some seconds ahead
(assignments with a time to live), so that it may only be what the escrow surely has until then, and what is
promised is not given away; and windows are long, so that promises fit into them.
"""

from __future__ import annotations

import hashlib

from coralvale.allowance.escrow import Escrow
from coralvale.allowance.model import Call, Ceiling, Name

LENGTH = 16.0  # s of a window: twice what an assignment lives
MEMORY = 4.0  # s over which asking is averaged between reports
MOST = 20_000  # ceilings kept
SETS = 16  # services that may share, at most


def pool(station: str, plan: int) -> int:
    """A number for a station's ceiling on a plan that no other has: 120 bits of a digest."""
    digest = hashlib.blake2b(f"{plan}/{station}".encode(), digest_size=15)
    return int.from_bytes(digest.digest(), "big")


class Leases:
    """One escrow for each ceiling at service `place` of `services`, started at `born`; empty until `free_at`.

    Names on the counter are texts of at most 60 characters. Raises ValueError for a place that is not in the set.
    """

    def __init__(self, services: int, place: int, born: float, free_at: float, most: int = MOST) -> None:
        if not 0 <= place < services <= SETS:
            raise ValueError(f"service {place} of {services}, at most {SETS}")
        self.services, self.place, self.born, self.free_at, self.most = services, place, born, free_at, most
        self.held: dict[int, Escrow] = {}
        self.idle: set[int] = set()
        self.out: dict[str, tuple[int, Name]] = {}
        self.log_lines: list[str] = []

    def get(self, now: float, station: str, plan: int, ceiling: Ceiling) -> Escrow:
        """The escrow of a station's ceiling. Raises OverflowError once `most` are kept."""
        number = pool(station, plan)
        self.idle.discard(number)
        if number not in self.held:
            if len(self.held) >= self.most:
                raise OverflowError(f"{len(self.held)} shared ceilings are kept, at most {self.most}")
            escrow = Escrow(ceiling, number, self.services, self.place, self.born, LENGTH, memory=MEMORY)
            escrow.owns_from = max(escrow.owns_from, self.free_at)
            self.held[number] = escrow
        return self.held[number]

    def release(self, station: str, plan: int) -> None:
        """Nobody asks for it any more: it is forgotten as soon as that gives nothing anew."""
        number = pool(station, plan)
        if number in self.held:
            self.held[number].reserved = lambda moment: 0.0
            self.idle.add(number)

    def due(self, now: float) -> list[tuple[str, Call]]:
        """Calls to the counter that are due, with their names there."""
        for number in [n for n in self.idle if self.held[n].settled(now)]:
            self.idle.discard(number)
            del self.held[number]
        calls = []
        for number, escrow in self.held.items():
            calls += self._named(number, escrow.tick(now))
            self._heed(escrow)
        return calls

    def reply(self, now: float, name: str, total: float | None) -> list[tuple[str, Call]]:
        """Takes a total, or None for a call that failed; returns the calls that it leads to."""
        number, known = self.out.pop(name, (-1, None))
        escrow = self.held.get(number)
        if known is None or escrow is None:
            return []
        calls = self._named(number, escrow.reply(now, known, total))
        self._heed(escrow)
        return calls

    def _named(self, number: int, calls: list[Call]) -> list[tuple[str, Call]]:
        named = []
        for call in calls:
            text = f"s{LENGTH:g}{call.name}"
            self.out[text] = number, call.name
            named.append((text, call))
        return named

    def _heed(self, escrow: Escrow) -> None:
        self.log_lines += escrow.changes
        escrow.changes.clear()
