"""Ceilings shared by several control services: how much of one each may promise to its proxies.

The same `Escrow` as on the gateways, with two differences: what is let in is promised for some seconds ahead
(assignments with a time to live), so that it may only be what the escrow surely has until then, and what is
promised is not given away; and windows are long, so that promises fit into them.
"""

from __future__ import annotations

import hashlib

from coralvale.allowance.escrow import Escrow
from coralvale.allowance.model import Call, Ceiling, Name

WINDOW_S = 16.0  # s of a window: twice what an assignment lives
DEMAND_AVERAGING_S = 4.0  # s over which asking is averaged between reports
MAX_CEILINGS = 20_000  # ceilings kept
MAX_SERVICES = 16  # services that may share, at most


def ceiling_id(station: str, plan: int) -> int:
    """A number for a station's ceiling on a plan that no other has: 120 bits of a digest."""
    digest = hashlib.blake2b(f"{plan}/{station}".encode(), digest_size=15)
    return int.from_bytes(digest.digest(), "big")


class Leases:
    """One escrow for each ceiling at service `place` of `services`, started at `born`; empty until `free_at`.

    Names on the counter are texts of at most 60 characters. Raises ValueError for a place that is not in the set.
    """

    def __init__(
        self, services: int, place: int, started_at: float, free_at: float, max_ceilings: int = MAX_CEILINGS
    ) -> None:
        if not 0 <= place < services <= MAX_SERVICES:
            raise ValueError(f"service {place} of {services}, at most {MAX_SERVICES}")
        self.services, self.place, self.started_at, self.free_at, self.max_ceilings = (
            services,
            place,
            started_at,
            free_at,
            max_ceilings,
        )
        self.escrows: dict[int, Escrow] = {}
        self.idle: set[int] = set()
        self.in_flight: dict[str, tuple[int, Name]] = {}
        self.log_lines: list[str] = []

    def get(self, now: float, station: str, plan: int, ceiling: Ceiling) -> Escrow:
        """The escrow of a station's ceiling. Raises OverflowError once `most` are kept."""
        number = ceiling_id(station, plan)
        self.idle.discard(number)
        if number not in self.escrows:
            if len(self.escrows) >= self.max_ceilings:
                raise OverflowError(
                    f"{len(self.escrows)} shared ceilings are kept, at most {self.max_ceilings}"
                )
            escrow = Escrow(
                ceiling,
                number,
                self.services,
                self.place,
                self.started_at,
                WINDOW_S,
                memory=DEMAND_AVERAGING_S,
            )
            escrow.owns_from = max(escrow.owns_from, self.free_at)
            self.escrows[number] = escrow
        return self.escrows[number]

    def release(self, station: str, plan: int) -> None:
        """Nobody asks for it any more: it is forgotten as soon as that gives nothing anew."""
        number = ceiling_id(station, plan)
        if number in self.escrows:
            self.escrows[number].reserved = lambda moment: 0.0
            self.idle.add(number)

    def due(self, now: float) -> list[tuple[str, Call]]:
        """Calls to the counter that are due, with their names there."""
        for number in [n for n in self.idle if self.escrows[n].can_evict(now)]:
            self.idle.discard(number)
            del self.escrows[number]
        calls = []
        for number, escrow in self.escrows.items():
            calls += self._name_calls(number, escrow.tick(now))
            self._collect_changes(escrow)
        return calls

    def reply(self, now: float, name: str, total: float | None) -> list[tuple[str, Call]]:
        """Takes a total, or None for a call that failed; returns the calls that it leads to."""
        number, known = self.in_flight.pop(name, (-1, None))
        escrow = self.escrows.get(number)
        if known is None or escrow is None:
            return []
        calls = self._name_calls(number, escrow.reply(now, known, total))
        self._collect_changes(escrow)
        return calls

    def _name_calls(self, number: int, calls: list[Call]) -> list[tuple[str, Call]]:
        named_calls = []
        for call in calls:
            text = f"s{WINDOW_S:g}{call.name}"
            self.in_flight[text] = number, call.name
            named_calls.append((text, call))
        return named_calls

    def _collect_changes(self, escrow: Escrow) -> None:
        self.log_lines += escrow.state_changes
        escrow.state_changes.clear()
