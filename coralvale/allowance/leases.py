"""Ceilings shared by several control services: the rate that each may assign to its proxies.

Uses the same `Escrow` as the gateways, with two differences. Admitted rate is promised for some seconds
ahead, in assignments with a time to live: a promise is limited to the rate that the escrow is guaranteed to
have until then, and promised rate is not granted to other services. And windows are long enough for promises
to fit into them.
"""

from __future__ import annotations

import hashlib

from coralvale.allowance.escrow import Escrow
from coralvale.allowance.model import Call, Ceiling, Name

WINDOW_S = 16.0  # length of a window: twice the time to live of an assignment
DEMAND_AVERAGING_S = 4.0  # averages demand between reports
MAX_CEILINGS = 20_000
MAX_SERVICES = 16  # that share a ceiling


def ceiling_id(station: str, plan: int) -> int:
    """Identifies a station's ceiling on a plan: a 120-bit digest of both."""
    digest = hashlib.blake2b(f"{plan}/{station}".encode(), digest_size=15)
    return int.from_bytes(digest.digest(), "big")


class Leases:
    """Holds one escrow for each ceiling, at service number `place` of `services`.

    `started_at` is the start of this process and `free_at` the time until which no escrow owns any rate, both
    in Unix seconds. Names on the counter are texts of at most 60 characters. Raises ValueError if `place` is
    out of range.
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
        """Returns the escrow of a station's ceiling, created if needed.

        Raises OverflowError if it is new and `max_ceilings` are kept already.
        """
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
        """Marks a ceiling as unused: its escrow is deleted once a new one would give no additional rate."""
        number = ceiling_id(station, plan)
        if number in self.escrows:
            self.escrows[number].reserved = lambda moment: 0.0
            self.idle.add(number)

    def due(self, now: float) -> list[tuple[str, Call]]:
        """Returns the calls to the counter that are due, each with its name on the counter."""
        for number in [n for n in self.idle if self.escrows[n].can_evict(now)]:
            self.idle.discard(number)
            del self.escrows[number]
        calls = []
        for number, escrow in self.escrows.items():
            calls += self._name_calls(number, escrow.tick(now))
            self._collect_changes(escrow)
        return calls

    def reply(self, now: float, name: str, total: float | None) -> list[tuple[str, Call]]:
        """Handles a total, or None for a failed call; returns the calls that follow from it."""
        number, known = self.in_flight.pop(name, (-1, None))
        escrow = self.escrows.get(number)
        if known is None or escrow is None:
            return []
        calls = self._name_calls(number, escrow.reply(now, known, total))
        self._collect_changes(escrow)
        return calls

    def _name_calls(self, number: int, calls: list[Call]) -> list[tuple[str, Call]]:
        """Pairs calls with their names on the counter and records them as in flight."""
        named_calls = []
        for call in calls:
            text = f"s{WINDOW_S:g}{call.name}"
            self.in_flight[text] = number, call.name
            named_calls.append((text, call))
        return named_calls

    def _collect_changes(self, escrow: Escrow) -> None:
        self.log_lines += escrow.state_changes
        escrow.state_changes.clear()
